#ifndef VH_ADMISSION_H
#define VH_ADMISSION_H

/*
 * Admits callers' requests within the teams' limits, sheds load and queues
 * requests until they may run. Performs no I/O. Internal to the package; called
 * by gateway.c, request.c and test_admission.cc.
 */

#include "fairq.h"
#include "vh/clock.h"
#include "vh/objects.h"

/**
 * struct vh_admission_team - one team's use of this node
 * @tokens: token bucket of the team's rate limit, in requests
 * @refilled_ms: time of the last refill of @tokens
 * @active: requests admitted, running or queued
 * @initialized: the bucket has been filled for the first time
 */
struct vh_admission_team {
	char name[VH_NAME_MAX + 1];
	double tokens;
	int64_t refilled_ms;
	uint32_t active;
	bool initialized;
	struct vh_admission_team *next;
};

/**
 * struct vh_admission - admission control of this node
 * @max_active: limit on concurrently running requests
 * @max_waiting: limit on queued requests
 * @nodes: nodes that share the teams' limits, this one included
 *
 * Each node enforces its share of a team's rate and concurrency limits, rounded
 * up.
 */
struct vh_admission {
	uint32_t max_active;
	uint32_t max_waiting;
	uint32_t nodes;
	uint32_t active;
	struct vh_fairq waiting;
	struct vh_admission_team *teams;
};

/**
 * struct vh_admission_item - admission state of one request
 * @queue_item: must be the first member, see vh_admission_next()
 * @active: the request is running rather than queued
 */
struct vh_admission_item {
	struct vh_fairq_item queue_item;
	struct vh_admission_team *team;
	bool active;
};

void vh_admission_init(struct vh_admission *a, uint32_t max_active,
		       uint32_t max_waiting);
void vh_admission_finish(struct vh_admission *a);

/**
 * vh_admission_acquire - admits or refuses a new request of @team
 *
 * VH_OK: @item->active tells whether the request may run now or was queued.
 * VH_ERR_RATE_LIMITED: the team exceeded its own limit. VH_ERR_OVERLOADED: load
 * was shed; batch requests are shed when the queue is half full, service
 * requests at three quarters, urgent requests when it is full.
 */
enum vh_err vh_admission_acquire(struct vh_admission *a,
				 const struct vh_team *team, enum vh_class cls,
				 int64_t now_ms,
				 struct vh_admission_item *item);

/* vh_admission_next - dequeues the next request that may run; NULL if none */
struct vh_admission_item *vh_admission_next(struct vh_admission *a);

/* vh_admission_release - a request has completed or left the queue */
void vh_admission_release(struct vh_admission *a,
			  struct vh_admission_item *item);

#endif
