#ifndef CELL_LEAD_PRIV_H
#define CELL_LEAD_PRIV_H

#include "lead.h"

#define LEAD_DROP_MOST 256 /* ended jobs whose records go with one append */

enum lead_phase {
	LEAD_FENCING,
	LEAD_LOADING,
	LEAD_ACTING,
	LEAD_ENDED
};

/**
 * struct lead
 * @calls: calls that are out
 * @sequence: of the append that is out, or was last
 * @batch: the engine's batch in that append, 0: none
 * @frozen: nothing is decided until the store has taken a write
 * @asked: calls to the policy service that are out, by sequence
 */
struct lead {
	struct vh_kernel *kernel;
	const struct vh_ports *ports;
	struct hub *hub;
	struct lead_ops ops;
	void *ctx;
	uint64_t epoch;
	enum lead_phase phase;
	struct engine *engine;
	struct follow fleet;
	struct follow state;
	struct follow jobs;
	struct vh_timer run;
	struct vh_timer retry;
	unsigned int calls;
	unsigned int n_loaded;

	bool append_open;
	unsigned int failures; /* tries of the append that is out */
	bool refused;	       /* the store turned the last one away */
	bool frozen;
	uint64_t sequence;
	uint64_t batch;
	struct eng_record *records;
	size_t n_records;
	int64_t append_ms;
	int64_t wrote_ms;
	int64_t ran_ms;
	int64_t run_cost_ms; /* how long the last run took */

	struct writer writer; /* of callers' records */

	bool drop_open;
	struct vh_timer drop;
	uint64_t dropping[LEAD_DROP_MOST]; /* jobs whose records are going */
	size_t n_dropping;

	struct advisors advisors;
	int self_advisor;
	GHashTable *asked;
	uint64_t ask_sequence;
};

void lead_poke(struct lead *l);
int64_t lead_now(const struct lead *l);

/* lead_gone - the lead has ended; a call that comes back changes nothing */
bool lead_gone(struct lead *l);

/* lead_orders.c: the engine's orders to workers */
struct engine *lead_engine(struct lead *l, const struct eng_settings *s);

/* lead_count_append - the store took a write of states, after so long */
void lead_count_append(struct lead *l, int64_t took_ms);

/* lead_take - a caller's record that is stored; may be given twice */
void lead_take(struct lead *l, struct vh_slice key, struct vh_slice value);

/* lead_submit.c: records of callers, its own and other nodes' */
void lead_submit_init(struct lead *l);
void lead_on_submit(void *ctx, struct hub_link *link, const struct vh_frame *f);

/* lead_drop.c: drops the records of accepted jobs that have ended */
void lead_drop_init(struct lead *l);
void lead_drop_finish(struct lead *l);

/* lead_asks.c: calls to the policy service, by all nodes */
void lead_asks_init(struct lead *l);
void lead_asks_finish(struct lead *l);
void lead_asks_run(struct lead *l);
bool lead_advice_free(void *ctx, double cost_ms);
bool lead_advise(void *ctx, const struct eng_ask *ask);

#endif
