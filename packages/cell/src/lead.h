#ifndef CELL_LEAD_H
#define CELL_LEAD_H

#include "advisors.h"
#include "follow.h"
#include "hub.h"
#include "writer.h"

/**
 * struct lead_settings
 * @engine: fence and former_ms are filled in
 */
struct lead_settings {
	struct eng_settings engine;
};

/**
 * struct lead_ops - what an owner tells its node
 * @proved: the store took a write of this owner that was sent at @sent_ms
 * @gave_up: the ownership has been lost; the lead has stopped
 * @freed: the lead's last call is back, and its memory goes
 * @reached: a node that was asked says that it reaches the store
 */
struct lead_ops {
	void (*proved)(void *ctx, int64_t sent_ms);
	void (*gave_up)(void *ctx, const char *why);
	void (*reached)(void *ctx);
	void (*freed)(void *ctx);
};

struct lead;

/**
 * lead_new - acts as the owner of an epoch
 *
 * Fences former owners at the store, reads back what they stored, fences them
 * at the workers, and then decides.
 */
struct lead *lead_new(struct vh_kernel *kernel, const struct vh_ports *ports,
		      struct hub *hub, const struct lead_settings *settings,
		      uint64_t epoch, int64_t former_ms,
		      const struct lead_ops *ops, void *ctx);

/* lead_end - stops deciding; frees itself when its last call is back */
void lead_end(struct lead *l);

/**
 * lead_submit - stores a record of a caller, and takes it in at once
 * @patience_ms: @done is called by then
 */
void lead_submit(struct lead *l, struct vh_slice key, struct vh_slice value,
		 int64_t patience_ms,
		 void (*done)(void *ctx, enum write_outcome outcome),
		 void *ctx);

/* lead_takes - whether lead_submit() may be called */
bool lead_takes(const struct lead *l);

/* lead_config - teams of the configuration in force */
void lead_config(struct lead *l, const struct vh_config_view *view);

/* lead_status - false in @known while recovery or the store keeps it from
 * being known */
enum eng_status lead_status(struct lead *l, uint64_t job, bool *known);
bool lead_count(struct lead *l, struct vh_slice queue, size_t *jobs);

/* lead_stats - false while it is not deciding */
bool lead_stats(const struct lead *l, struct eng_stats *out);

/**
 * lead_store - how the store has been serving this owner
 * @refused: its last write was turned away
 *
 * Returns when the newest call that was served had been sent, 0: none was.
 */
int64_t lead_store(const struct lead *l, bool *refused);
uint64_t lead_epoch(const struct lead *l);

#endif
