#include "worker_health.h"

#include <glib.h>

void worker_health_clear(struct worker_health *h)
{
	for (size_t i = 0; i < h->health.n_workers; i++)
		g_free(h->ids[i]);
	memset(h, 0, sizeof(*h));
}

/* The worker's index, which is added if new; VH_HEALTH_WORKERS_MAX if the table
 * is full. */
static size_t find_or_add(struct worker_health *h, struct vh_slice worker)
{
	size_t i = 0;

	while (i < h->health.n_workers && !vh_slice_eq_str(worker, h->ids[i]))
		i++;
	if (i == h->health.n_workers && i < VH_HEALTH_WORKERS_MAX) {
		h->ids[i] = vh_slice_dup(worker);
		h->health.n_workers++;
	}
	return i;
}

/* The part of @s before its last '/'. */
static struct vh_slice path_parent(struct vh_slice s)
{
	while (s.len && s.data[s.len - 1] != '/')
		s.len--;
	return vh_slice(s.data, s.len ? s.len - 1 : 0);
}

void worker_health_ended(struct worker_health *h, struct vh_slice worker,
			 const struct vh_ended_task *ended, int64_t now_ms)
{
	uint64_t job = vh_slice_hash(path_parent(ended->task), 0);
	uint64_t team = vh_slice_hash(path_parent(ended->home), 0);
	size_t slot = find_or_add(h, worker);

	if (slot == VH_HEALTH_WORKERS_MAX)
		return;
	if (ended->end == VH_END_DONE)
		vh_health_succeeded(&h->health, slot, job, now_ms);
	else if (ended->end == VH_END_FAILED)
		vh_health_failed(&h->health, slot, job, (uint32_t)team, now_ms);
	else
		vh_health_ended_inconclusive(&h->health, slot);
}

void worker_health_started(struct worker_health *h, struct vh_slice worker,
			   int64_t now_ms)
{
	size_t slot = find_or_add(h, worker);

	if (slot < VH_HEALTH_WORKERS_MAX)
		vh_health_started(&h->health, slot, now_ms);
}

bool worker_health_accepts(struct worker_health *h, struct vh_slice worker,
			   uint32_t *failures, int64_t now_ms)
{
	size_t slot = find_or_add(h, worker);

	*failures = 0;
	if (slot == VH_HEALTH_WORKERS_MAX)
		return true;
	*failures = vh_health_failures(&h->health, slot, now_ms);
	return vh_health_accepts(&h->health, slot, now_ms);
}
