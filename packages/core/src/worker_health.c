#include "worker_health.h"

#include <glib.h>

void worker_health_clear(struct worker_health *h)
{
	for (size_t i = 0; i < h->health.n_workers; i++)
		g_free(h->ids[i]);
	memset(h, 0, sizeof(*h));
}

/* VH_HEALTH_WORKERS_MAX if there is no place for it. */
static size_t find(struct worker_health *h, struct vh_slice worker)
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
static struct vh_slice parent(struct vh_slice s)
{
	while (s.len && s.data[s.len - 1] != '/')
		s.len--;
	return vh_slice(s.data, s.len ? s.len - 1 : 0);
}

void worker_health_ended(struct worker_health *h, struct vh_slice worker,
			 const struct vh_ended_task *ended, int64_t now_ms)
{
	uint64_t job = vh_slice_hash(parent(ended->task), 0);
	uint64_t team = vh_slice_hash(parent(ended->home), 0);
	size_t at = find(h, worker);

	if (at == VH_HEALTH_WORKERS_MAX)
		return;
	if (ended->end == VH_END_DONE)
		vh_health_succeeded(&h->health, at, job, now_ms);
	else if (ended->end == VH_END_FAILED)
		vh_health_failed(&h->health, at, job, (uint32_t)team, now_ms);
	else
		vh_health_ended_inconclusive(&h->health, at);
}

void worker_health_started(struct worker_health *h, struct vh_slice worker,
			   int64_t now_ms)
{
	size_t at = find(h, worker);

	if (at < VH_HEALTH_WORKERS_MAX)
		vh_health_started(&h->health, at, now_ms);
}

bool worker_health_accepts(struct worker_health *h, struct vh_slice worker,
			   uint32_t *failures, int64_t now_ms)
{
	size_t at = find(h, worker);

	*failures = 0;
	if (at == VH_HEALTH_WORKERS_MAX)
		return true;
	*failures = vh_health_failures(&h->health, at, now_ms);
	return vh_health_accepts(&h->health, at, now_ms);
}
