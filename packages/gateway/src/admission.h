#ifndef VH_ADMISSION_H
#define VH_ADMISSION_H

#include "fairq.h"
#include "vh/clock.h"
#include "vh/objects.h"

/**
 * struct vh_admission_team - what a team uses of this node
 * @tokens: requests that it may send at once; grows with its rate limit
 */
struct vh_admission_team {
	char name[VH_NAME_MAX + 1];
	double tokens;
	int64_t filled_ms;
	uint32_t active;
	bool seen;
	struct vh_admission_team *next;
};

/**
 * struct vh_admission - decides which requests this node takes; pure
 * @max_active: requests handled at once
 * @max_waiting: requests waiting for their turn
 * @nodes: nodes that share the teams' limits with this one, itself included
 *
 * Rates and concurrency are limited for each node to its part of the team's
 * limit, rounded up.
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
 * struct vh_admission_item - one request's place
 * @active: it is being handled
 */
struct vh_admission_item {
	struct vh_fairq_item wait;
	struct vh_admission_team *team;
	bool active;
};

void vh_admission_init(struct vh_admission *a, uint32_t max_active,
		       uint32_t max_waiting);
void vh_admission_finish(struct vh_admission *a);

/**
 * vh_admission_acquire - a request of @team has come
 *
 * VH_OK: @item->active tells whether it may run now or waits.
 * VH_ERR_RATE_LIMITED: the team's own limit. VH_ERR_OVERLOADED: shed; batch
 * goes when half of the waiting room is full, services at three quarters.
 */
enum vh_err vh_admission_acquire(struct vh_admission *a,
				 const struct vh_team *team, enum vh_class cls,
				 int64_t now_ms,
				 struct vh_admission_item *item);

/* vh_admission_next - the next waiting request that may run; NULL if none may */
struct vh_admission_item *vh_admission_next(struct vh_admission *a);

/* vh_admission_release - a request has ended, or gives up waiting */
void vh_admission_release(struct vh_admission *a,
			  struct vh_admission_item *item);

#endif
