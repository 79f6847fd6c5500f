#ifndef CELL_LEAD_H
#define CELL_LEAD_H

#include "advice_balancer.h"
#include "topic_reader.h"
#include "peer_server.h"
#include "writer.h"

/**
 * struct owner_settings
 * @engine: fence and former_owner_ms are filled in
 */
struct owner_settings {
	struct eng_settings engine;
};

/**
 * struct owner_ops - what an owner tells its node
 * @proved: the store took a write of this owner that was sent at @sent_ms
 * @gave_up: the ownership has been lost; the lead has stopped
 * @freed: the lead's last call is back, and its memory goes
 * @reached: a node that was asked says that it reaches the store
 */
struct owner_ops {
	void (*proved)(void *ctx, int64_t sent_ms);
	void (*gave_up)(void *ctx, const char *why);
	void (*reached)(void *ctx);
	void (*freed)(void *ctx);
};

struct lead;

/**
 * owner_new - acts as the owner of an epoch
 *
 * Fences former owners at the store, reads back what they stored, fences them
 * at the workers, and then decides.
 */
struct lead *owner_new(struct vh_kernel *kernel, const struct vh_ports *ports,
		       struct hub *hub, const struct owner_settings *settings,
		       uint64_t epoch, int64_t former_owner_ms,
		       const struct owner_ops *ops, void *ctx);

/* owner_end - stops deciding; frees itself when its last call is back */
void owner_end(struct lead *l);

/**
 * owner_submit - stores a record of a caller, and takes it in at once
 * @patience_ms: @done is called by then
 */
void owner_submit(struct lead *l, struct vh_slice key, struct vh_slice value,
		  int64_t patience_ms,
		  void (*done)(void *ctx, enum write_outcome outcome),
		  void *ctx);

/* owner_accepts_submits - whether owner_submit() may be called */
bool owner_accepts_submits(const struct lead *l);

/* owner_set_config - teams of the configuration in force */
void owner_set_config(struct lead *l, const struct vh_config_view *view);

/* owner_job_status - false in @known while recovery or the store keeps it from
 * being known */
enum eng_job_status owner_job_status(struct lead *l, uint64_t job, bool *known);
bool owner_pending_jobs(struct lead *l, struct vh_slice queue, size_t *jobs);

/* owner_stats - false while it is not deciding */
bool owner_stats(const struct lead *l, struct eng_stats *out);

/**
 * owner_store_health - how the store has been serving this owner
 * @refused: its last write was turned away
 *
 * Returns when the newest call that was served had been sent, 0: none was.
 */
int64_t owner_store_health(const struct lead *l, bool *refused);
uint64_t owner_epoch(const struct lead *l);

#endif
