#ifndef VH_RACKS_PRIV_H
#define VH_RACKS_PRIV_H

/*
 * The state of the racks on this node, and the functions that the sources of
 * the service "racks" share. Internal to the package: included by racks.c and
 * racks_*.c.
 */

#include "end_notifier.h"
#include "racks.h"
#include "vh/gang.h"
#include "vh/preempt.h"
#include "vh/waitlist.h"
#include "vh/worker_client.h"
#include "wire.h"
#include "worker_health.h"

/* A worker of a known rack and its client. */
struct worker {
	struct worker *next;
	struct rack *rack;
	char *id;
	char *address;
	uint16_t port;
	struct vh_worker_client *client;
};

/* A call that waits for the outcome of a start. */
struct place_waiter {
	struct place_waiter *next;
	char *task;
	uint32_t attempt;
	struct vh_peer_reply *reply;
};

/* A task for which others were preempted, to avoid preempting twice for it. */
struct rack_preemption {
	uint64_t demand;
	int64_t at_ms;
};

/* The preemption budget of a team on this node. */
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
	struct place_waiter *waiters;
	struct vh_waitlist waitlist;
	struct vh_gang_table gangs;
	struct rack_preemption preempted[32];
	struct worker_health health;
	const struct wire_place *current_request; /* during a decision */
	struct vh_timer timer;
};

struct vh_racks {
	struct vh_core *core;
	struct vh_service service;
	struct rack *list;
	struct end_notifier end_notifier;
	uint64_t *placed;
	uint64_t *refused;
	uint64_t *preempted;
	struct team_preempt_budget *budgets;
	uint64_t freed_client_bytes; /* sent and received by them */
	bool stopping;
};

/* racks.c */
struct rack *rack_find(const struct vh_racks *rs, struct vh_slice name);
void rack_schedule_tick(struct rack *r);

/* racks_preempt.c: preempts batch tasks for an urgent one that found no
 * capacity. */
void rack_preempt_for(struct rack *r, const struct wire_place *msg);

/* racks_rpc.c: handlers of the calls from homes. */
void racks_rpc_register(struct vh_racks *rs);

/* Answers every call that waits for this attempt; false if there is none. */
bool rack_answer_waiters(struct rack *r, struct vh_slice task, uint32_t attempt,
			 enum vh_err err, struct vh_slice body);

#endif
