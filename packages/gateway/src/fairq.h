#ifndef VH_FAIRQ_H
#define VH_FAIRQ_H

/*
 * Queues requests so that teams share capacity by weight. Internal to the
 * package; called by admission.c for requests that wait to run, and by
 * service_api.c and upstream.c for requests that wait for an upstream.
 */

#include "vh/job.h"

struct vh_fairq_flow;

/**
 * struct vh_fairq_item - queue linkage, embedded in the queued object
 * @flow: NULL while the item is not queued
 */
struct vh_fairq_item {
	struct vh_fairq_flow *flow;
	enum vh_class cls;
	struct vh_fairq_item *next;
	struct vh_fairq_item *prev;
};

/**
 * struct vh_fairq - weighted fair queue with one flow per team
 * @virtual_time: highest virtual time at which a flow was served; a flow that
 *		  was idle starts from it
 * @pops: calls of vh_fairq_pop()
 * @n: queued items
 *
 * Classes have strict priority in the order urgent, service, batch, but every
 * eighth pop serves them in reverse order so that none starves. Within a class
 * teams share in proportion to their weights; within a team items are served
 * first in, first out.
 */
struct vh_fairq {
	struct vh_fairq_flow *flows;
	double virtual_time;
	uint32_t pops;
	size_t n;
};

void vh_fairq_init(struct vh_fairq *q);
void vh_fairq_finish(struct vh_fairq *q);

void vh_fairq_push(struct vh_fairq *q, struct vh_slice team, uint32_t weight,
		   enum vh_class cls, struct vh_fairq_item *item);

/* vh_fairq_push_front - requeues a popped item at the head of its flow */
void vh_fairq_push_front(struct vh_fairq *q, struct vh_slice team,
			 uint32_t weight, enum vh_class cls,
			 struct vh_fairq_item *item);

/* vh_fairq_pop - removes and returns the next item; NULL if empty */
struct vh_fairq_item *vh_fairq_pop(struct vh_fairq *q);
void vh_fairq_remove(struct vh_fairq *q, struct vh_fairq_item *item);

/* vh_fairq_for_each - calls @fn for each item; @fn may remove that item */
void vh_fairq_for_each(struct vh_fairq *q,
		       void (*fn)(void *ctx, struct vh_fairq_item *item),
		       void *ctx);

/* vh_fairq_team_len - number of items queued for one team */
size_t vh_fairq_team_len(const struct vh_fairq *q, struct vh_slice team);

#endif
