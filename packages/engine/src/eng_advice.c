#include "eng_priv.h"

/*
 * Which workers to ask the policy service about, and when.
 *
 * Load that it answers: a step waits for a call of up to 0.75 s while its
 * worth runs out, and each node can make only one call at a time. So a step is
 * asked for once, as soon as it is ready, about as many workers as it will
 * probably need; what is known of a worker is kept, and a second call names
 * only workers that may help.
 */
#define TICKET_MARGIN_MS 200   /* for a start on its way to a worker */
#define ASK_SPARE 1.5	       /* workers asked for, against those needed */
#define ASK_EXTRA 2	       /* and so many more */
#define ASK_MOST 100	       /* workers that one call may name */
#define ASK_AGAIN_MS 120       /* after a call that found no room */
#define ASK_FAILED_MS 200      /* after a call without an answer */
#define LONG_DECISION_MS 150.0 /* such a call is made once for all workers */
#define FAR_STEP_MS 25	       /* of distance, that short work feels */
#define READY_SHARE 0.7	    /* of a gang's room free: its tickets are renewed */
#define TICKET_LASTS_MS 250 /* beyond the call that would renew it */
#define GOOD_SHARE_STEP 0.1 /* weight of a new answer in the learned share */

void eng_advice_free(gpointer p)
{
	struct verdict *v = p;

	g_free(v->ticket);
	g_free(v);
}

struct verdict *eng_advice_find(const struct step *s, const struct worker *w)
{
	return g_hash_table_lookup(s->advice_by_worker, w);
}

static bool has_label(const struct worker *w, struct vh_slice label)
{
	for (char **l = w->labels; *l; l++) {
		if (vh_slice_eq_str(label, *l))
			return true;
	}
	return false;
}

bool eng_worker_matches(const struct step *s, const struct worker *w)
{
	if (!vh_slice_eq_str(s->job->spec->service, w->service))
		return false;
	return !s->spec->label.len || has_label(w, s->spec->label);
}

static uint32_t on_worker(const struct step *s, const struct worker *w)
{
	uint32_t n = 0;

	for (guint i = 0; i < w->tasks->len; i++) {
		const struct task *t = w->tasks->pdata[i];

		if (t->step == s)
			n++;
	}
	return n;
}

static int64_t fit(int64_t free, int64_t need, int64_t most)
{
	return need > 0 ? MIN(most, MAX(free, 0) / need) : most;
}

struct eng_resources eng_free_resources(const struct worker *w)
{
	struct eng_resources r = {
		.cpu_milli = w->capacity.cpu_milli - w->used.cpu_milli -
			     w->held.cpu_milli,
		.mem_mb = w->capacity.mem_mb - w->used.mem_mb - w->held.mem_mb,
		.gpu = w->capacity.gpu - w->used.gpu - w->held.gpu,
	};

	return r;
}

uint32_t eng_tasks_fitting(const struct step *s, struct eng_resources room)
{
	const struct eng_resources *need = &s->spec->need;
	int64_t n = s->spec->n_tasks;

	if (!s->spec->filler)
		n = fit(room.cpu_milli, need->cpu_milli, n);
	n = fit(room.mem_mb, need->mem_mb, n);
	return (uint32_t)fit(room.gpu, need->gpu, n);
}

/* How many tasks of a step a worker has room for now. */
uint32_t eng_free_slots(const struct engine *e, const struct step *s,
			const struct worker *w)
{
	int64_t n;

	if (!eng_worker_usable(e, w) || !eng_worker_matches(s, w))
		return 0;
	n = eng_tasks_fitting(s, eng_free_resources(w));
	if (n > 0 && s->spec->max_per_worker)
		n = MIN(n, (int64_t)s->spec->max_per_worker -
				   (int64_t)on_worker(s, w));
	return n > 0 ? (uint32_t)n : 0;
}

bool eng_ticket_valid(const struct engine *e, const struct verdict *v)
{
	return v->good &&
	       v->expires_ms > e->now_ms + TICKET_MARGIN_MS + e->store_ms;
}

/* One worker that may be named, and what it would bring. */
struct candidate {
	struct worker *w;
	double slots; /* tasks, times the chance that it is good */
	bool known;
	bool held; /* a gang waits for its room */
	int far;   /* distance, in steps of FAR_STEP_MS */
};

static int by_use(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->held != y->held)
		return x->held ? 1 : -1;
	if (x->known != y->known)
		return x->known ? -1 : 1;
	if (x->far != y->far)
		return x->far < y->far ? -1 : 1;
	return x->slots < y->slots ? 1 : x->slots > y->slots ? -1 : 0;
}

/* How many of the sorted candidates to name. */
static size_t enough(const struct step *s, const struct candidate *c, size_t n,
		     double have, bool everyone)
{
	double want = s->n_waiting * ASK_SPARE;
	size_t take = 0;

	if (everyone)
		return MIN(n, ASK_MOST);
	while (take < n && have < want)
		have += c[take++].slots;
	return MIN(MIN(take + ASK_EXTRA, n), ASK_MOST);
}

/* Whether asking about a worker may help a gang that waits. */
static bool gang_may_use(const struct step *s, const struct worker *w,
			 const struct verdict *v, double slots)
{
	if (v && !v->good)
		return false;
	if (s->enough_advised)
		return slots > 0;
	return !v && w->listed && eng_worker_matches(s, w);
}

/*
 * For a gang that waits: workers that nothing is known of, free or not, while
 * those that are good are too few; then nobody, until nearly all of its room
 * is free; then those whose tickets would not last, so that all are valid at
 * one moment, and free ones that nothing is known of.
 */
static size_t gang_candidates(struct engine *e, struct step *s,
			      struct candidate *out)
{
	const struct eng_advice_params *terms = &s->job->spec->advice;
	int64_t lasting = e->now_ms + TICKET_LASTS_MS +
			  (int64_t)(terms->decide_ms +
				    terms->each_ms * (double)s->spec->n_tasks);
	bool soon = s->est_wait_ms <= e->settings.stop_ms;
	double ready = 0;
	double have = 0;
	size_t n = 0;

	for (guint i = 0; i < e->worker_list->len; i++) {
		struct worker *w = e->worker_list->pdata[i];
		struct verdict *v = eng_advice_find(s, w);
		double slots = eng_free_slots(e, s, w);

		if (soon)
			slots = MAX(slots, (double)eng_reserved_slots(s, w));
		if (!gang_may_use(s, w, v, slots))
			continue;
		ready += v ? slots : slots * s->job->queue->approval_rate;
		if (v && v->expires_ms > lasting) {
			have += slots;
			continue;
		}
		out[n].w = w;
		out[n].known = v;
		out[n].held = false;
		out[n].far = 0;
		out[n].slots = v ? slots : slots * s->job->queue->approval_rate;
		n++;
	}
	if (s->enough_advised && ready < READY_SHARE * s->spec->n_tasks)
		return 0;
	qsort(out, n, sizeof(*out), by_use);
	return enough(s, out, n, have, !s->enough_advised);
}

static size_t candidates(struct engine *e, struct step *s, bool everyone,
			 struct candidate *out, double *have)
{
	size_t n = 0;

	*have = 0;
	for (guint i = 0; i < e->worker_list->len; i++) {
		struct worker *w = e->worker_list->pdata[i];
		struct verdict *v = eng_advice_find(s, w);
		double slots;

		if (v && !v->good)
			continue;
		slots = eng_free_slots(e, s, w);
		if (v && eng_ticket_valid(e, v)) {
			*have += slots;
			continue;
		}
		if (!slots &&
		    !(everyone && !v && w->listed && eng_worker_matches(s, w)))
			continue;
		out[n].w = w;
		out[n].known = v;
		out[n].held = eng_recently_reserved(e, w);
		out[n].far = (int)(eng_worker_latency_ms(w, s) / FAR_STEP_MS);
		out[n].slots = v ? slots : slots * s->job->queue->approval_rate;
		n++;
	}
	qsort(out, n, sizeof(*out), by_use);
	return n;
}

static void send_ask(struct engine *e, struct step *s,
		     const struct vh_slice *ids, size_t n)
{
	const struct eng_advice_params *terms = &s->job->spec->advice;
	struct eng_advice_request ask = {
		.job = s->job->id,
		.step = s->number,
		.workers = ids,
		.n = n,
		.cost_ms = terms->decide_ms + terms->each_ms * (double)n,
	};

	s->asking = e->ports.advise(e->ports.ctx, &ask);
	e->stats.advice_calls += s->asking;
}

static size_t single_candidates(struct engine *e, struct step *s,
				struct candidate *out)
{
	bool everyone = s->job->spec->advice.decide_ms >= LONG_DECISION_MS &&
			!g_hash_table_size(s->advice_by_worker);
	double have;
	size_t n = candidates(e, s, everyone, out, &have);

	return have < s->n_waiting && n ? enough(s, out, n, have, everyone) : 0;
}

void eng_request_advice(struct engine *e, struct step *s)
{
	const struct eng_advice_params *terms = &s->job->spec->advice;
	struct candidate *c;
	struct vh_slice ids[ASK_MOST];
	size_t n;

	if (!terms->needed || s->asking || s->ask_after_ms > e->now_ms)
		return;
	/* With thousands of steps waiting, looking at workers is what costs. */
	if (e->ports.advice_available &&
	    !e->ports.advice_available(e->ports.ctx, terms->decide_ms))
		return;
	c = g_new(struct candidate, e->worker_list->len + 1);
	n = s->spec->gang && s->spec->n_tasks > 1 ? gang_candidates(e, s, c)
						  : single_candidates(e, s, c);
	for (size_t i = 0; i < n; i++)
		ids[i] = eng_str(c[i].w->id);
	if (n)
		send_ask(e, s, ids, n);
	g_free(c);
}

static struct step *find_step(struct engine *e, uint64_t job, uint32_t step)
{
	struct job *j = g_hash_table_lookup(e->jobs, &job);

	if (!j || !j->steps || step >= j->spec->n_steps)
		return NULL;
	return &j->steps[step];
}

static struct verdict *verdict_get(struct step *s, struct worker *w)
{
	struct verdict *v = eng_advice_find(s, w);

	if (v)
		return v;
	v = g_new0(struct verdict, 1);
	g_hash_table_insert(s->advice_by_worker, w, v);
	return v;
}

void eng_advice_received(struct engine *e, uint64_t job, uint32_t step,
			 const struct vh_slice *asked, size_t n_asked,
			 const struct eng_advised_worker *good, size_t n_good,
			 int64_t sent_ms, int64_t valid_ms, int64_t now_ms)
{
	struct step *s = find_step(e, job, step);
	struct queue *q;

	e->now_ms = now_ms;
	if (!s)
		return;
	s->asking = false;
	s->ask_after_ms = now_ms + ASK_AGAIN_MS;
	s->plan_expires_ms = 0;
	for (size_t i = 0; i < n_asked; i++) {
		struct worker *w = eng_worker_find(e, asked[i]);

		if (w)
			verdict_get(s, w);
	}
	for (size_t i = 0; i < n_good; i++) {
		struct worker *w = eng_worker_find(e, good[i].worker);
		struct verdict *v = w ? verdict_get(s, w) : NULL;

		if (!v)
			continue;
		v->good = true;
		g_free(v->ticket);
		v->ticket = vh_slice_dup(good[i].ticket);
		v->expires_ms = sent_ms + valid_ms;
	}
	q = s->job->queue;
	if (n_asked)
		q->approval_rate +=
			GOOD_SHARE_STEP *
			((double)n_good / (double)n_asked - q->approval_rate);
	q->approval_rate = CLAMP(q->approval_rate, 0.05, 1.0);
	eng_job_reclaim(e, s->job);
}

void eng_advice_failed(struct engine *e, uint64_t job, uint32_t step,
		       int64_t now_ms)
{
	struct step *s = find_step(e, job, step);

	e->now_ms = now_ms;
	if (!s)
		return;
	s->asking = false;
	s->ask_after_ms = now_ms + ASK_FAILED_MS;
	eng_job_reclaim(e, s->job);
}
