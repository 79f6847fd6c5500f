#ifndef VH_FAIRQ_H
#define VH_FAIRQ_H

#include "vh/job.h"

struct vh_fairq_flow;

/**
 * struct vh_fairq_item - embedded in what waits
 * @flow: NULL while it is not in a queue
 */
struct vh_fairq_item {
	struct vh_fairq_flow *flow;
	enum vh_class cls;
	struct vh_fairq_item *next;
	struct vh_fairq_item *prev;
};

/**
 * struct vh_fairq - a queue that is fair between teams
 * @n: items in it
 *
 * Classes go in order: urgent, service, batch; but one pop in eight starts
 * with the last class, so that none starves. Within a class teams share in
 * proportion to their weights, and within a team the first come goes first.
 */
struct vh_fairq {
	struct vh_fairq_flow *flows;
	double clock;
	uint32_t pops;
	size_t n;
};

void vh_fairq_init(struct vh_fairq *q);
void vh_fairq_finish(struct vh_fairq *q);

void vh_fairq_push(struct vh_fairq *q, struct vh_slice team, uint32_t weight,
		   enum vh_class cls, struct vh_fairq_item *item);

/* vh_fairq_push_front - puts back an item that was popped */
void vh_fairq_push_front(struct vh_fairq *q, struct vh_slice team,
			 uint32_t weight, enum vh_class cls,
			 struct vh_fairq_item *item);

/* vh_fairq_pop - takes the next item; NULL if there is none */
struct vh_fairq_item *vh_fairq_pop(struct vh_fairq *q);
void vh_fairq_remove(struct vh_fairq *q, struct vh_fairq_item *item);

/* vh_fairq_for_each - calls @fn for all items; @fn may remove its item */
void vh_fairq_for_each(struct vh_fairq *q,
		       void (*fn)(void *ctx, struct vh_fairq_item *item),
		       void *ctx);

/* vh_fairq_team_len - items of one team */
size_t vh_fairq_team_len(const struct vh_fairq *q, struct vh_slice team);

#endif
