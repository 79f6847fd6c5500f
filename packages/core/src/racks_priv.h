#ifndef VH_RACKS_PRIV_H
#define VH_RACKS_PRIV_H

#include "end_notifier.h"
#include "racks.h"
#include "vh/gang.h"
#include "vh/preempt.h"
#include "vh/waitlist.h"
#include "vh/worker_client.h"
#include "wire.h"
#include "worker_health.h"

/* A worker of a known rack and the way to it. */
struct worker {
	struct worker *next;
	struct rack *rack;
	char *id;
	char *address;
	uint16_t port;
	struct vh_worker_client *client;
};

/* A call that waits for a start's fate. */
struct place_waiter {
	struct place_waiter *next;
	char *task;
	uint32_t attempt;
	struct vh_peer_reply *reply;
};

/* Room was made for a task, so that it is not made twice. */
struct rack_preemption {
	uint64_t demand;
	int64_t at_ms;
};

/* What a team may still have others stopped for. */
struct team_preempt_budget {
	struct team_preempt_budget *next;
	uint32_t team;
	struct vh_preempt_budget budget;
};

struct rack {
	struct rack *next;
	struct vh_racks *racks;
	char *name;
	char *unit;
	struct vh_rack *state;
	bool owned;
	struct worker *workers;
	struct place_waiter *waits;
	struct vh_waitlist waiting;
	struct vh_gang_table gangs;
	struct rack_preemption preempted[32];
	struct worker_health health;
	const struct wire_place *asking; /* during a decision */
	struct vh_timer timer;
};

struct vh_racks {
	struct vh_core *core;
	struct vh_service service;
	struct rack *list;
	struct ends ends;
	uint64_t *placed;
	uint64_t *refused;
	uint64_t *preempted;
	struct team_preempt_budget *budgets;
	uint64_t freed_client_bytes; /* of clients that were freed */
	bool stopping;
};

/* racks.c */
struct rack *rack_find(const struct vh_racks *rs, struct vh_slice name);
void rack_schedule_tick(struct rack *r);

/* racks_preempt.c: stops batch tasks for an urgent one that found no room. */
void rack_preempt_for(struct rack *r, const struct wire_place *msg);

/* racks_calls.c: what homes ask. */
void racks_rpc_register(struct vh_racks *rs);

/* Answers every call that waits for this run; false if there is none. */
bool rack_answer_waiters(struct rack *r, struct vh_slice task, uint32_t attempt,
			 enum vh_err err, struct vh_slice body);

#endif
