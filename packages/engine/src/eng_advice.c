#include "eng_priv.h"

/*
 * Selects the workers to ask the policy service about, and when.
 *
 * A call takes up to 0.75 s, during which the step waits and loses value, and
 * each node makes only one call at a time. So the first call for a step is made
 * as soon as the step is runnable, and names about as many workers as the step
 * is expected to need, or all workers if calls are slow. The answers are
 * cached, and later calls name only workers that can take more of its tasks.
 */
#define TICKET_MARGIN_MS 200	/* for a start request in transit */
#define ADVICE_SLOTS_FACTOR 1.5 /* requested slots per waiting task */
#define ADVICE_EXTRA_WORKERS 2	/* in a call, beyond these slots */
#define ADVICE_WORKERS_MAX 100	/* in one call */
#define ADVICE_INTERVAL_MS 120	/* from an answer to the next call */
#define ADVICE_RETRY_MS 200	/* after a failed call */
#define SLOW_ADVICE_MS 150.0	/* first calls this slow name all workers */
#define GANG_READY_SHARE 0.7 /* of a gang's slots, before tickets are renewed */
#define TICKET_MIN_VALIDITY_MS 250 /* of a gang's tickets, after a call */
#define EMPTY_INTERVAL_MS 60	   /* until workers are looked for again */
#define COLLECT_FACTOR 2       /* candidates to choose from, per one to name */
#define APPROVAL_RATE_MIN 0.05 /* bound of the moving average */
#define APPROVAL_EWMA_WEIGHT 0.1 /* weight of a new answer */

void eng_advice_free(gpointer p)
{
	struct worker_advice *a = p;

	g_free(a->ticket);
	g_free(a);
}

struct worker_advice *eng_advice_find(const struct step *s,
				      const struct worker *w)
{
	if (!eng_set_contains(&s->asked_set, w->index))
		return NULL;
	return g_hash_table_lookup(s->advice_by_worker, w);
}

bool eng_worker_has_label(const struct worker *w, struct vh_slice label)
{
	for (char **l = w->labels; *l; l++) {
		if (vh_slice_eq_str(label, *l))
			return true;
	}
	return false;
}

bool eng_worker_matches(const struct step *s, const struct worker *w)
{
	if (s->job->service != w->service)
		return false;
	return !s->spec->label.len || eng_worker_has_label(w, s->spec->label);
}

static uint32_t tasks_on_worker(const struct step *s, const struct worker *w)
{
	uint32_t n = 0;

	for (guint i = 0; i < w->tasks->len; i++) {
		const struct task *t = w->tasks->pdata[i];

		if (t->step == s)
			n++;
	}
	return n;
}

static int64_t count_fitting(int64_t free, int64_t need, int64_t max)
{
	return need > 0 ? MIN(max, MAX(free, 0) / need) : max;
}

struct eng_resources eng_free_resources(const struct worker *w)
{
	struct eng_resources r = {
		.cpu_milli = w->capacity.cpu_milli - w->used.cpu_milli -
			     w->reserved.cpu_milli,
		.mem_mb = w->capacity.mem_mb - w->used.mem_mb -
			  w->reserved.mem_mb,
		.gpu = w->capacity.gpu - w->used.gpu - w->reserved.gpu,
	};

	return r;
}

uint32_t eng_tasks_fitting(const struct step *s, struct eng_resources free)
{
	const struct eng_resources *need = &s->spec->need;
	int64_t n = s->spec->n_tasks;

	if (!s->spec->filler)
		n = count_fitting(free.cpu_milli, need->cpu_milli, n);
	n = count_fitting(free.mem_mb, need->mem_mb, n);
	return (uint32_t)count_fitting(free.gpu, need->gpu, n);
}

uint32_t eng_free_slots(struct engine *e, const struct step *s,
			const struct worker *w)
{
	struct eng_resources free = eng_free_resources(w);
	int64_t n;

	e->stats.workers_examined++;
	/* Most workers of a busy cell are full, and this is quick to see. */
	if (free.cpu_milli < s->spec->need.cpu_milli && !s->spec->filler)
		return 0;
	if (!eng_worker_usable(e, w) || !eng_worker_matches(s, w))
		return 0;
	n = eng_tasks_fitting(s, free);
	if (n > 0 && s->spec->max_per_worker)
		n = MIN(n, (int64_t)s->spec->max_per_worker -
				   (int64_t)tasks_on_worker(s, w));
	return n > 0 ? (uint32_t)n : 0;
}

bool eng_ticket_valid(const struct engine *e, const struct worker_advice *a)
{
	return a->approved && a->expires_ms > e->now_ms + TICKET_MARGIN_MS +
						      e->store_latency_ms;
}

/* A worker that a call may name. */
struct candidate {
	struct worker *w;
	double slots;	    /* expected number, by the chance of approval */
	bool known;	    /* approved by an earlier answer */
	bool reserved;	    /* a gang waits for it, or it is cold */
	int speed_class;    /* of eng_speed_class() */
	int latency_bucket; /* in units of LATENCY_BUCKET_MS */
	uint64_t order;	    /* among equals; differs by step */
};

/*
 * Steps that are asked about at the same time begin in different parts of a
 * large cell, or all would be approved for the same workers, which only the
 * first of them can use. Within a part all begin with the same workers, which
 * keeps others free for wide gangs.
 */
static uint64_t order_for(const struct engine *e, const struct step *s,
			  const struct worker *w)
{
	return eng_part_key(s, w->index / eng_part_workers(e)) | w->index;
}

static int by_usefulness(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->reserved != y->reserved)
		return x->reserved ? 1 : -1;
	if (x->known != y->known)
		return x->known ? -1 : 1;
	if (x->speed_class != y->speed_class)
		return x->speed_class < y->speed_class ? -1 : 1;
	if (x->latency_bucket != y->latency_bucket)
		return x->latency_bucket < y->latency_bucket ? -1 : 1;
	if (x->slots != y->slots)
		return x->slots < y->slots ? 1 : -1;
	return x->order < y->order ? -1 : x->order > y->order;
}

/* Restores the heap, whose root is the least useful, below position @at. */
static void sift_down(struct candidate *heap, size_t n, size_t at)
{
	for (size_t child = 2 * at + 1; child < n; child = 2 * at + 1) {
		struct candidate swapped = heap[at];

		if (child + 1 < n &&
		    by_usefulness(&heap[child + 1], &heap[child]) > 0)
			child++;
		if (by_usefulness(&heap[at], &heap[child]) >= 0)
			return;
		heap[at] = heap[child];
		heap[child] = swapped;
		at = child;
	}
}

/* Moves the @k most useful of @n candidates to the front, in any order. */
static void select_most_useful(struct candidate *c, size_t n, size_t k)
{
	for (size_t i = k / 2; i-- > 0;)
		sift_down(c, k, i);
	for (size_t i = k; i < n; i++) {
		if (by_usefulness(&c[i], &c[0]) >= 0)
			continue;
		c[0] = c[i];
		sift_down(c, k, 0);
	}
}

static void sort_candidates(struct candidate *c, size_t n)
{
	if (!n)
		return;
	if (n > ADVICE_WORKERS_MAX)
		select_most_useful(c, n, ADVICE_WORKERS_MAX);
	qsort(c, MIN(n, ADVICE_WORKERS_MAX), sizeof(*c), by_usefulness);
}

/*
 * How many of the sorted candidates a call should name. @n_slots is the number
 * of slots on workers with valid tickets.
 */
static size_t count_to_request(const struct step *s, const struct candidate *c,
			       size_t n, double n_slots, bool all_workers)
{
	double wanted = s->n_waiting * ADVICE_SLOTS_FACTOR;
	size_t take = 0;

	if (all_workers)
		return MIN(n, ADVICE_WORKERS_MAX);
	while (take < n && n_slots < wanted)
		n_slots += c[take++].slots;
	return MIN(MIN(take + ADVICE_EXTRA_WORKERS, n), ADVICE_WORKERS_MAX);
}

/**
 * struct collection - candidates of one call
 * @candidates: struct candidate
 * @enough_slots: expected slots after which no further part is looked at
 * @new_slots: slots on workers not asked about yet, all of them if approved
 * @valid_slots: slots on workers with valid tickets
 * @n_open: candidates that no gang waits for
 */
struct collection {
	GArray *candidates;
	double enough_slots;
	uint64_t new_slots;
	uint64_t valid_slots;
	size_t n_open;
};

static void add_candidate(struct engine *e, struct step *s, struct worker *w,
			  bool known, uint32_t slots, struct collection *out)
{
	bool gang = s->spec->gang && s->spec->n_tasks > 1;
	struct candidate c = {
		.w = w,
		.slots = known ? slots : slots * s->job->queue->approval_rate,
		.known = known,
		.reserved = eng_worker_cold_for(e, s, w) ||
			    (!gang && eng_recently_reserved(e, w)),
		.speed_class = eng_speed_class(s, w),
		.order = order_for(e, s, w),
	};

	if (!gang)
		c.latency_bucket =
			eng_latency_bucket(eng_worker_latency_ms(w, s));
	if (!known)
		out->new_slots += slots;
	out->n_open += !c.reserved;
	g_array_append_val(out->candidates, c);
}

/* Whether enough candidates are known for the best of them to be good. */
static bool collected_enough(const struct step *s, const struct collection *out)
{
	if (out->n_open >= COLLECT_FACTOR * ADVICE_WORKERS_MAX)
		return true;
	return out->n_open >= COLLECT_FACTOR * ADVICE_EXTRA_WORKERS &&
	       (double)out->new_slots * s->job->queue->approval_rate >=
		       out->enough_slots;
}

/* Workers with room that were not asked about, in one latency bucket or all. */
static void collect_new(struct engine *e, struct step *s,
			struct room_scan *scan, struct collection *out)
{
	struct worker *w;

	while (!collected_enough(s, out) && eng_scan_next_part(scan)) {
		while ((w = eng_scan_next(scan))) {
			uint32_t slots;

			if (eng_set_contains(&s->asked_set, w->index))
				continue;
			slots = eng_free_slots(e, s, w);
			if (slots)
				add_candidate(e, s, w, false, slots, out);
		}
	}
}

/*
 * In a cell of several parts, the search ends with the part that brought enough
 * candidates. Steps for which latency matters look for near workers in all
 * parts first.
 */
static void collect_with_room(struct engine *e, struct step *s,
			      struct collection *out)
{
	bool any_latency = (s->spec->gang && s->spec->n_tasks > 1) ||
			   !eng_latency_matters(s);
	struct room_scan scan;

	eng_scan_begin(e, s, &scan);
	if (any_latency || scan.n_parts <= 1) {
		collect_new(e, s, &scan, out);
		return;
	}
	for (int b = 0; b < LATENCY_BUCKETS && !collected_enough(s, out); b++) {
		eng_scan_restart(&scan, b);
		collect_new(e, s, &scan, out);
	}
}

/* Matching workers that were not asked about, whether they have room or not. */
static void collect_listed(struct engine *e, struct step *s, bool free_soon,
			   struct collection *out)
{
	struct room_scan scan;
	struct worker *w;

	eng_scan_begin(e, s, &scan);
	while (out->n_open < COLLECT_FACTOR * ADVICE_WORKERS_MAX &&
	       eng_scan_next_part(&scan)) {
		while ((w = eng_scan_next_listed(&scan))) {
			uint32_t slots;

			if (eng_set_contains(&s->asked_set, w->index))
				continue;
			slots = eng_free_slots(e, s, w);
			if (free_soon)
				slots = MAX(slots, eng_reserved_slots(s, w));
			add_candidate(e, s, w, false, slots, out);
		}
	}
}

/* Adds an approved worker to the candidates, unless its ticket is valid. */
static uint32_t count_approved(struct engine *e, struct step *s,
			       const struct approval *a, int64_t valid_until,
			       uint32_t slots, struct collection *out)
{
	if (a->advice->expires_ms > valid_until)
		out->valid_slots += slots;
	else if (slots)
		add_candidate(e, s, a->w, true, slots, out);
	return slots;
}

/* Slots on workers that are reserved for the gang, but not free yet. */
static uint64_t count_reserved(struct engine *e, struct step *s,
			       int64_t valid_until, struct collection *out)
{
	uint64_t n = 0;

	for (guint i = 0; s->reservation_active && i < s->reservations->len;
	     i++) {
		const struct reservation *r =
			&g_array_index(s->reservations, struct reservation, i);
		struct approval a = { r->w, eng_advice_find(s, r->w) };
		uint32_t free = eng_free_slots(e, s, r->w);

		if (a.advice && !free)
			n += count_approved(e, s, &a, valid_until, r->slots,
					    out);
	}
	return n;
}

/* Slots on approved workers, now or, if they are reserved, soon. */
static uint64_t count_known(struct engine *e, struct step *s, bool free_soon,
			    int64_t valid_until, struct collection *out)
{
	uint64_t n = 0;

	for (guint i = 0; i < s->open->len; i++) {
		const struct approval *a =
			&g_array_index(s->open, struct approval, i);
		uint32_t slots = eng_free_slots(e, s, a->w);

		if (free_soon && slots)
			slots = MAX(slots, eng_reserved_slots(s, a->w));
		n += count_approved(e, s, a, valid_until, slots, out);
	}
	return free_soon ? n + count_reserved(e, s, valid_until, out) : n;
}

/*
 * Candidates for a waiting gang. While too few approved workers are known,
 * these are all matching workers not asked about yet, free or not. Then there
 * are none until GANG_READY_SHARE of the gang's slots are free, or reserved and
 * free soon. From then on they are the workers whose tickets would expire too
 * early, so that all tickets are valid at the same time, and free workers not
 * asked about yet.
 */
static size_t gang_candidates(struct engine *e, struct step *s,
			      struct collection *out)
{
	const struct eng_advice_params *params = &s->job->spec->advice;
	int64_t valid_until =
		e->now_ms + TICKET_MIN_VALIDITY_MS +
		(int64_t)(params->decide_ms +
			  params->each_ms * (double)s->spec->n_tasks);
	bool free_soon = s->est_wait_ms <= e->settings.stop_ms;
	uint64_t known_slots = 0;
	double ready_slots;

	if (s->enough_advised)
		known_slots = count_known(e, s, free_soon, valid_until, out);
	if (s->enough_advised)
		collect_with_room(e, s, out);
	else
		collect_listed(e, s, free_soon, out);
	ready_slots = (double)known_slots +
		      (double)out->new_slots * s->job->queue->approval_rate;
	if (s->enough_advised &&
	    ready_slots < GANG_READY_SHARE * s->spec->n_tasks)
		return 0;
	sort_candidates((struct candidate *)(void *)out->candidates->data,
			out->candidates->len);
	return count_to_request(
		s, (struct candidate *)(void *)out->candidates->data,
		out->candidates->len, (double)out->valid_slots,
		!s->enough_advised);
}

/* Returns the slots on workers with valid tickets. */
static double find_candidates(struct engine *e, struct step *s,
			      bool all_workers, struct collection *out)
{
	int64_t valid_until =
		e->now_ms + TICKET_MARGIN_MS + e->store_latency_ms;

	count_known(e, s, false, valid_until, out);
	if (out->valid_slots >= s->n_waiting)
		return (double)out->valid_slots;
	if (all_workers)
		collect_listed(e, s, false, out);
	else
		collect_with_room(e, s, out);
	return (double)out->valid_slots;
}

static void send_advice_request(struct engine *e, struct step *s,
				const struct vh_slice *ids, size_t n)
{
	const struct eng_advice_params *params = &s->job->spec->advice;
	struct eng_advice_request request = {
		.job = s->job->id,
		.step = s->number,
		.workers = ids,
		.n = n,
		.cost_ms = params->decide_ms + params->each_ms * (double)n,
	};

	s->advice_pending = e->callbacks.advise(e->callbacks.ctx, &request);
	e->stats.advice_calls += s->advice_pending;
}

static size_t step_candidates(struct engine *e, struct step *s,
			      struct collection *out)
{
	bool all_workers = s->job->spec->advice.decide_ms >= SLOW_ADVICE_MS &&
			   !g_hash_table_size(s->advice_by_worker);
	double n_slots = find_candidates(e, s, all_workers, out);
	struct candidate *c = (struct candidate *)(void *)out->candidates->data;
	size_t n = out->candidates->len;

	if (n_slots >= s->n_waiting || !n)
		return 0;
	sort_candidates(c, n);
	return count_to_request(s, c, n, n_slots, all_workers);
}

/* Whether a call can be made now; asked once per cost and pass. */
static bool advice_available(struct engine *e, double cost_ms)
{
	if (!e->callbacks.advice_available)
		return true;
	if (e->no_advice_cost_ms > 0 && cost_ms >= e->no_advice_cost_ms)
		return false;
	if (e->callbacks.advice_available(e->callbacks.ctx, cost_ms))
		return true;
	e->no_advice_cost_ms = cost_ms;
	return false;
}

/* A call for a step that its team's limit keeps waiting would be taken from
 * steps that could use the answer. */
static bool quota_allows_more(const struct step *s)
{
	return eng_team_quota_allows(s, s->spec->gang ? s->spec->n_tasks : 1);
}

void eng_request_advice(struct engine *e, struct step *s)
{
	const struct eng_advice_params *params = &s->job->spec->advice;
	struct collection c = {
		.enough_slots =
			COLLECT_FACTOR * ADVICE_SLOTS_FACTOR * s->n_waiting,
	};
	struct vh_slice ids[ADVICE_WORKERS_MAX];
	size_t n;

	if (!params->needed || s->advice_pending ||
	    s->next_advice_ms > e->now_ms || !quota_allows_more(s))
		return;
	/* Avoids searches, costly when thousands of steps wait. */
	if (!advice_available(e, params->decide_ms))
		return;
	c.candidates = g_array_sized_new(FALSE, FALSE, sizeof(struct candidate),
					 ADVICE_WORKERS_MAX);
	n = s->spec->gang && s->spec->n_tasks > 1 ? gang_candidates(e, s, &c)
						  : step_candidates(e, s, &c);
	for (size_t i = 0; i < n; i++)
		ids[i] = eng_str(
			g_array_index(c.candidates, struct candidate, i).w->id);
	if (n)
		send_advice_request(e, s, ids, n);
	else
		s->next_advice_ms = e->now_ms + EMPTY_INTERVAL_MS;
	g_array_free(c.candidates, TRUE);
}

static struct step *find_step(struct engine *e, uint64_t job, uint32_t step)
{
	struct job *j = g_hash_table_lookup(e->jobs, &job);

	if (!j || !j->steps || step >= j->spec->n_steps)
		return NULL;
	return &j->steps[step];
}

static void approve(struct step *s, struct worker *w, struct worker_advice *a)
{
	struct approval approval = { w, a };

	if (a->approved)
		return;
	a->approved = true;
	g_array_append_val(s->approved, approval);
	g_array_append_val(s->open, approval);
	eng_set_add(&s->approved_set, w->index);
}

static struct worker_advice *advice_get(struct step *s, struct worker *w)
{
	struct worker_advice *a = eng_advice_find(s, w);

	if (a)
		return a;
	a = g_new0(struct worker_advice, 1);
	g_hash_table_insert(s->advice_by_worker, w, a);
	eng_set_add(&s->asked_set, w->index);
	return a;
}

void eng_advice_received(struct engine *e, uint64_t job, uint32_t step,
			 const struct vh_slice *requested, size_t n_requested,
			 const struct eng_advised_worker *approved,
			 size_t n_approved, int64_t sent_ms, int64_t valid_ms,
			 int64_t now_ms)
{
	struct step *s = find_step(e, job, step);
	struct queue *q;

	e->now_ms = now_ms;
	if (!s)
		return;
	s->advice_pending = false;
	s->next_advice_ms = now_ms + ADVICE_INTERVAL_MS;
	s->plan_expires_ms = 0;
	for (size_t i = 0; i < n_requested; i++) {
		struct worker *w = eng_worker_find(e, requested[i]);

		if (w)
			advice_get(s, w);
	}
	for (size_t i = 0; i < n_approved; i++) {
		struct worker *w = eng_worker_find(e, approved[i].worker);
		struct worker_advice *a = w ? advice_get(s, w) : NULL;

		if (!a)
			continue;
		approve(s, w, a);
		g_free(a->ticket);
		a->ticket = vh_slice_dup(approved[i].ticket);
		a->expires_ms = sent_ms + valid_ms;
	}
	q = s->job->queue;
	if (n_requested)
		q->approval_rate += APPROVAL_EWMA_WEIGHT *
				    ((double)n_approved / (double)n_requested -
				     q->approval_rate);
	q->approval_rate = CLAMP(q->approval_rate, APPROVAL_RATE_MIN, 1.0);
	eng_job_reclaim(e, s->job);
}

void eng_advice_failed(struct engine *e, uint64_t job, uint32_t step,
		       int64_t now_ms)
{
	struct step *s = find_step(e, job, step);

	e->now_ms = now_ms;
	if (!s)
		return;
	s->advice_pending = false;
	s->next_advice_ms = now_ms + ADVICE_RETRY_MS;
	eng_job_reclaim(e, s->job);
}
