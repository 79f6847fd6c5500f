#ifndef CELL_LEAD_PRIV_H
#define CELL_LEAD_PRIV_H

#include "owner.h"

#define OWNER_GC_MAX_JOBS 256 /* ended jobs whose records go with one append */

enum owner_phase {
	OWNER_FENCING,
	OWNER_LOADING,
	OWNER_ACTIVE,
	OWNER_ENDED
};

/**
 * struct lead
 * @calls: calls that are out
 * @sequence: of the append that is out, or was last
 * @batch: the engine's batch in that append, 0: none
 * @awaiting_store: nothing is decided until the store has taken a write
 * @asked: calls to the policy service that are out, by sequence
 */
struct lead {
	struct vh_kernel *kernel;
	const struct vh_ports *ports;
	struct hub *hub;
	struct owner_ops ops;
	void *ctx;
	uint64_t epoch;
	enum owner_phase phase;
	struct engine *engine;
	struct topic_reader fleet;
	struct topic_reader state;
	struct topic_reader jobs;
	struct vh_timer run;
	struct vh_timer retry;
	unsigned int calls;
	unsigned int n_loaded;

	bool append_in_flight;
	unsigned int failures; /* tries of the append that is out */
	bool refused;	       /* the store turned the last one away */
	bool awaiting_store;
	uint64_t sequence;
	uint64_t batch;
	struct eng_record *records;
	size_t n_records;
	int64_t append_sent_ms;
	int64_t last_write_ms;
	int64_t last_run_ms;
	int64_t run_duration_ms; /* how long the last run took */

	struct writer writer; /* of callers' records */

	bool gc_in_flight;
	struct vh_timer drop;
	uint64_t gc_jobs[OWNER_GC_MAX_JOBS]; /* jobs whose records are going */
	size_t n_gc_jobs;

	struct advice_balancer advice_balancer;
	int own_balancer_node;
	GHashTable *asked;
	uint64_t advice_sequence;
};

void owner_schedule_run(struct lead *l);
int64_t owner_now_ms(const struct lead *l);

/* owner_has_ended - the lead has ended; a call that comes back changes nothing */
bool owner_has_ended(struct lead *l);

/* lead_orders.c: the engine's orders to workers */
struct engine *owner_engine_new(struct lead *l, const struct eng_settings *s);

/* owner_record_append_time - the store took a write of states, after so long */
void owner_record_append_time(struct lead *l, int64_t took_ms);

/* owner_apply_record - a caller's record that is stored; may be given twice */
void owner_apply_record(struct lead *l, struct vh_slice key,
			struct vh_slice value);

/* owner_submit.c: records of callers, its own and other nodes' */
void owner_submit_init(struct lead *l);
void owner_on_submit(void *ctx, struct peer_conn *link,
		     const struct vh_frame *f);

/* lead_drop.c: drops the records of accepted jobs that have ended */
void owner_gc_init(struct lead *l);
void owner_gc_finish(struct lead *l);

/* lead_asks.c: calls to the policy service, by all nodes */
void owner_advice_init(struct lead *l);
void owner_advice_finish(struct lead *l);
void owner_advice_expire(struct lead *l);
bool owner_advice_available(void *ctx, double cost_ms);
bool owner_advise(void *ctx, const struct eng_advice_request *ask);

#endif
