#include "vh/infeasible.h"

#include <glib.h>

void vh_infeasible_init(struct vh_infeasible_list *list)
{
	*list = (struct vh_infeasible_list){ 0 };
}

void vh_infeasible_finish(struct vh_infeasible_list *list)
{
	g_free(list->items);
	vh_infeasible_init(list);
}

void vh_infeasible_add(struct vh_infeasible_list *list, uint64_t id,
		       const struct vh_res *size)
{
	if (list->n == list->cap) {
		list->cap = list->cap ? 2 * list->cap : 16;
		list->items = g_renew(struct vh_infeasible_task, list->items,
				      list->cap);
	}
	list->items[list->n++] = (struct vh_infeasible_task){ id, *size };
}

static bool fits_any(const struct vh_res *size, const struct vh_res *capacities,
		     size_t n)
{
	for (size_t i = 0; i < n; i++) {
		if (vh_res_fits(size, &capacities[i]))
			return true;
	}
	return false;
}

void vh_infeasible_recheck(struct vh_infeasible_list *list,
			   const struct vh_res *capacities, size_t n,
			   void (*fn)(void *ctx, uint64_t id), void *ctx)
{
	size_t kept = 0;

	for (size_t i = 0; i < list->n; i++) {
		struct vh_infeasible_task item = list->items[i];

		if (fits_any(&item.size, capacities, n))
			fn(ctx, item.id);
		else
			list->items[kept++] = item;
	}
	list->n = kept;
}

void vh_infeasible_remove(struct vh_infeasible_list *list,
			  bool (*gone)(void *ctx, uint64_t id), void *ctx)
{
	size_t kept = 0;

	for (size_t i = 0; i < list->n; i++) {
		if (!gone(ctx, list->items[i].id))
			list->items[kept++] = list->items[i];
	}
	list->n = kept;
}
