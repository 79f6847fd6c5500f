#include "fairq.h"

#include <glib.h>

#define REVERSE_INTERVAL 8 /* one pop in 8 is in reverse class order */

struct vh_fairq_flow {
	struct vh_fairq_flow *next;
	char team[VH_NAME_MAX + 1];
	uint32_t weight;
	size_t n;
	double virtual_time; /* items served, divided by weight */
	struct vh_fairq_item *head[VH_CLASS_COUNT];
	struct vh_fairq_item *tail[VH_CLASS_COUNT];
};

void vh_fairq_init(struct vh_fairq *q)
{
	memset(q, 0, sizeof(*q));
}

void vh_fairq_finish(struct vh_fairq *q)
{
	while (q->flows) {
		struct vh_fairq_flow *f = q->flows;

		q->flows = f->next;
		g_free(f);
	}
	memset(q, 0, sizeof(*q));
}

static struct vh_fairq_flow *find_flow(const struct vh_fairq *q,
				       struct vh_slice team)
{
	struct vh_fairq_flow *f = q->flows;

	while (f && !vh_slice_eq_str(team, f->team))
		f = f->next;
	return f;
}

static struct vh_fairq_flow *get_flow(struct vh_fairq *q, struct vh_slice team,
				      uint32_t weight)
{
	struct vh_fairq_flow *f = find_flow(q, team);

	if (!f) {
		f = g_new0(struct vh_fairq_flow, 1);
		if (team.len && team.len <= VH_NAME_MAX)
			memcpy(f->team, team.data, team.len);
		f->next = q->flows;
		q->flows = f;
	}
	f->weight = weight ? weight : 1;
	/* An idle team accumulates no credit. */
	if (!f->n && f->virtual_time < q->virtual_time)
		f->virtual_time = q->virtual_time;
	return f;
}

void vh_fairq_push(struct vh_fairq *q, struct vh_slice team, uint32_t weight,
		   enum vh_class cls, struct vh_fairq_item *item)
{
	struct vh_fairq_flow *f = get_flow(q, team, weight);

	item->flow = f;
	item->cls = cls;
	item->next = NULL;
	item->prev = f->tail[cls];
	if (item->prev)
		item->prev->next = item;
	else
		f->head[cls] = item;
	f->tail[cls] = item;
	f->n++;
	q->n++;
}

void vh_fairq_push_front(struct vh_fairq *q, struct vh_slice team,
			 uint32_t weight, enum vh_class cls,
			 struct vh_fairq_item *item)
{
	struct vh_fairq_flow *f = get_flow(q, team, weight);

	item->flow = f;
	item->cls = cls;
	item->prev = NULL;
	item->next = f->head[cls];
	if (item->next)
		item->next->prev = item;
	else
		f->tail[cls] = item;
	f->head[cls] = item;
	f->virtual_time -= 1.0 / f->weight;
	f->n++;
	q->n++;
}

void vh_fairq_remove(struct vh_fairq *q, struct vh_fairq_item *item)
{
	struct vh_fairq_flow *f = item->flow;

	if (item->prev)
		item->prev->next = item->next;
	else
		f->head[item->cls] = item->next;
	if (item->next)
		item->next->prev = item->prev;
	else
		f->tail[item->cls] = item->prev;
	item->flow = NULL;
	f->n--;
	q->n--;
}

static struct vh_fairq_flow *min_virtual_time_flow(const struct vh_fairq *q,
						   enum vh_class cls)
{
	struct vh_fairq_flow *best = NULL;

	for (struct vh_fairq_flow *f = q->flows; f; f = f->next) {
		if (f->head[cls] &&
		    (!best || f->virtual_time < best->virtual_time))
			best = f;
	}
	return best;
}

struct vh_fairq_item *vh_fairq_pop(struct vh_fairq *q)
{
	bool reversed = ++q->pops % REVERSE_INTERVAL == 0;
	struct vh_fairq_flow *f = NULL;
	struct vh_fairq_item *item = NULL;

	for (int k = 0; k < VH_CLASS_COUNT && !f; k++) {
		int c = reversed ? VH_CLASS_COUNT - 1 - k : k;

		f = min_virtual_time_flow(q, (enum vh_class)c);
		if (f)
			item = f->head[c];
	}
	if (!item)
		return NULL;
	vh_fairq_remove(q, item);
	q->virtual_time = f->virtual_time > q->virtual_time ? f->virtual_time
							    : q->virtual_time;
	f->virtual_time += 1.0 / f->weight;
	return item;
}

void vh_fairq_for_each(struct vh_fairq *q,
		       void (*fn)(void *ctx, struct vh_fairq_item *item),
		       void *ctx)
{
	for (struct vh_fairq_flow *f = q->flows; f; f = f->next) {
		for (int c = 0; c < VH_CLASS_COUNT; c++) {
			struct vh_fairq_item *next;

			for (struct vh_fairq_item *i = f->head[c]; i;
			     i = next) {
				next = i->next;
				fn(ctx, i);
			}
		}
	}
}

size_t vh_fairq_team_len(const struct vh_fairq *q, struct vh_slice team)
{
	const struct vh_fairq_flow *f = find_flow(q, team);

	return f ? f->n : 0;
}
