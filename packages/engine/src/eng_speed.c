#include "eng_priv.h"

#include <math.h>

#include "vh/ratio_hist.h"

/*
 * Speeds of workers and run times of queues; see docs/design/speeds.md.
 *
 * A worker's speed is 1 if its tasks take the usual time and 2 if they take
 * half of it. It is measured against other tasks of the same step, which share
 * the error of the estimate, or, for steps of a few tasks, against the usual
 * ratio of a queue whose estimates are reliable. It is the median of the last
 * few samples, so that single tasks that take many times longer do not count.
 */
#define RUN_MIN_MS 100 /* shorter runs consist of latencies */
/* From the request to its confirmation. A run that was confirmed later, or that
 * a former owner started, began at an unknown time. */
#define START_UNSURE_MS 500
#define FALL_SAMPLES 5 /* the speed falls with the median of these, */
#define SAMPLES_MIN 3  /* at least, */
/* Of the noise, per root of the samples: twice the error of a median. */
#define SURE_FACTOR 3.1
#define NOISE_WEIGHT_MIN 0.01  /* of a new distance from the median */
#define NOISE_FIRST_SAMPLES 10 /* that the initial noise is worth */
#define NOISE_MAX 0.7	       /* bound of a distance, for a heavy tail */
/* The former owner has stored only speeds that were beyond its noise. */
#define RESTORED_NOISE 0.2
#define SPEED_MIN 0.02 /* bounds of a sample */
#define SPEED_MAX 8.0
#define COMPARED_MIN 3	 /* runs of a step that are compared */
#define OTHERS_MIN 2	 /* of these, on other workers */
#define PLAN_MS 100	 /* between two calculations of what a step needs */
#define UPDATE_MS 500	 /* between two checks for overdue runs */
#define STALL_MS 1000	 /* without a pass: reports have been waiting */
#define FORGET_MS 60000	 /* without a sample: the oldest one is dropped */
#define OVERDUE_FACTOR 2 /* of the expected time */
/* Beyond a heavy tail of seven times the usual: as sure as SAMPLES_MIN. */
#define OVERDUE_SURE_FACTOR 10
#define SLOW_BELOW 0.7 /* reported as slow */
#define SLOW_UNTIL 0.8
#define HIST_DECAY_AT 256    /* samples, so that a queue that changes shows */
#define STEP_SAMPLES_MAX 8   /* of a step, in the histogram of its queue */
#define QUEUE_SAMPLES_MIN 20 /* before the histogram counts */
#define RELIABLE_BUCKETS 4   /* between the quartiles: a factor of 2.4 */
#define BUCKET_MIDDLE 0.917  /* of its upper bound: 2^(-1/8) */
#define OVERRUN_SHARE 0.25   /* least remaining time, per elapsed time */
#define GANG_MARGIN 1.2	     /* of the expected time, as the slowest counts */
#define BATCH_MARGIN 1.5     /* of the expected time on a slow worker */
#define VERY_SLOW 0.4	     /* speed below which steps with slack avoid it */
#define SPEED_ANY 100.0	     /* above all speeds: the faster, the better */
#define SLOWNESS_MAX 10.0    /* bound of the slowness in a cost */

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* The lower median, since long run times are more often exceptions. */
static double median(double *values, size_t n)
{
	qsort(values, n, sizeof(*values), by_value);
	return values[(n - 1) / 2];
}

static double ratio_of_bucket(unsigned int bucket)
{
	return BUCKET_MIDDLE * (double)vh_ratio_upper(bucket) / VH_RATIO_SCALE;
}

/* queues */

void eng_queue_ratios_changed(struct queue *q)
{
	unsigned int low;
	unsigned int high;

	q->usual_ratio = 1;
	q->high_ratio = 1;
	q->reliable = false;
	if (q->n_ratios < QUEUE_SAMPLES_MIN)
		return;
	q->usual_ratio = ratio_of_bucket(
		vh_hist_quantile(q->ratios, VH_RATIO_BUCKETS, q->n_ratios, 50));
	/* Below a heavy tail, which no worker is fast enough for. */
	q->high_ratio = ratio_of_bucket(
		vh_hist_quantile(q->ratios, VH_RATIO_BUCKETS, q->n_ratios, 90));
	low = vh_hist_quantile(q->ratios, VH_RATIO_BUCKETS, q->n_ratios, 25);
	high = vh_hist_quantile(q->ratios, VH_RATIO_BUCKETS, q->n_ratios, 75);
	q->reliable = high - low <= RELIABLE_BUCKETS;
}

static void queue_add(struct queue *q, double run_ms, int64_t estimate_ms)
{
	vh_hist_decay(q->ratios, VH_RATIO_BUCKETS, &q->n_ratios, HIST_DECAY_AT);
	q->ratios[vh_ratio_bucket((uint32_t)MIN(run_ms, (double)UINT32_MAX),
				  (uint32_t)MIN(estimate_ms,
						(int64_t)UINT32_MAX))]++;
	q->n_ratios++;
	q->ratios_unstored++;
	eng_queue_ratios_changed(q);
}

/*
 * The median of the ratios above @ratio, which a run has reached already; 0 if
 * no run took longer.
 */
static double median_above(const struct queue *q, double ratio)
{
	unsigned int first = vh_ratio_bucket(
		(uint32_t)CLAMP(ratio * VH_RATIO_SCALE, 0, UINT32_MAX),
		VH_RATIO_SCALE);
	uint32_t n = 0;

	for (unsigned int b = first + 1; b < VH_RATIO_BUCKETS; b++)
		n += q->ratios[b];
	if (!n)
		return 0;
	return ratio_of_bucket(first + 1 +
			       vh_hist_quantile(q->ratios + first + 1,
						VH_RATIO_BUCKETS - first - 1, n,
						50));
}

/* expected times */

double eng_expected_ms(const struct step *s)
{
	if (s->usual_ms > 0)
		return s->usual_ms;
	return (double)s->spec->estimate_ms * s->job->queue->usual_ratio;
}

int64_t eng_path_ms(const struct step *s)
{
	return s->critical_path_ms +
	       (int64_t)((s->job->queue->usual_ratio - 1) *
			 (double)s->path_work_ms);
}

double eng_speed(const struct worker *w)
{
	return w->speed.value;
}

int64_t eng_speed_remaining_ms(const struct engine *e, const struct task *t)
{
	double estimate = (double)t->step->spec->estimate_ms;
	double speed = eng_speed(t->worker);
	double expected = eng_expected_ms(t->step) / speed;
	double elapsed = (double)(e->now_ms - t->since_ms);
	double remaining = expected - elapsed;

	if (t->state != TASK_RUNNING)
		return (int64_t)expected;
	if (remaining <= 0 && estimate > 0)
		remaining = median_above(t->step->job->queue,
					 elapsed * speed / estimate) *
				    estimate / speed -
			    elapsed;
	return (int64_t)MAX(remaining, OVERRUN_SHARE * elapsed);
}

/* speeds of workers */

static void report_crossing(struct engine *e, struct worker *w)
{
	struct speed *v = &w->speed;
	bool slow = eng_speed(w) < (v->slow ? SLOW_UNTIL : SLOW_BELOW);

	if (slow == v->slow)
		return;
	v->slow = slow;
	eng_worker_report_event(
		e, w, slow ? "worker is slow" : "worker is no longer slow",
		false);
}

/* 0 if a median of @n samples may differ from 0 by chance. */
static double significant(double log_speed, size_t n, double noise)
{
	return fabs(log_speed) * sqrt((double)n) < SURE_FACTOR * noise
		       ? 0
		       : log_speed;
}

/* The logarithm of the median of the @n newest samples; of @extra first. */
static double newest_median(const struct speed *v, const double *extra,
			    size_t n_extra, size_t n, double noise)
{
	double values[SPEED_SAMPLES];
	size_t k = 0;

	for (; k < n && k < n_extra; k++)
		values[k] = extra[k];
	for (unsigned int i = 0; k < n && i < v->n; i++)
		values[k++] = v->samples[(v->next + SPEED_SAMPLES - 1 - i) %
					 SPEED_SAMPLES];
	return significant(log(median(values, k)), k, noise);
}

/*
 * A fall shows in the median of the newest samples; a rise must also show in
 * that of all. @extra are samples of runs that are overdue.
 */
static void update_speed(struct engine *e, struct worker *w,
			 const double *extra, size_t n_extra)
{
	struct speed *v = &w->speed;
	double log_speed = 0;

	v->known = v->n + n_extra >= SAMPLES_MIN;
	v->log_median = v->n ? newest_median(v, NULL, 0, SPEED_SAMPLES, 0) : 0;
	if (v->known)
		log_speed = MIN(newest_median(v, extra, n_extra, FALL_SAMPLES,
					      e->speed_noise),
				newest_median(v, extra, n_extra, SPEED_SAMPLES,
					      e->speed_noise));
	v->value = exp(log_speed);
	v->slowness = MIN(exp(-log_speed) - 1, SLOWNESS_MAX);
	v->rank = (int)lround(-2 * log_speed / G_LN2);
	report_crossing(e, w);
}

/*
 * How far samples of one worker lie from their median: tasks of a step that
 * differ widely say little about the workers.
 */
static void update_noise(struct engine *e, const struct speed *v, double speed)
{
	double distance;
	double weight;

	if (v->n < SAMPLES_MIN)
		return;
	distance =
		fabs(log(speed) - newest_median(v, NULL, 0, SPEED_SAMPLES, 0));
	weight =
		MAX(NOISE_WEIGHT_MIN, 1.0 / (NOISE_FIRST_SAMPLES + e->n_noise));
	e->n_noise++;
	e->speed_noise += weight * (MIN(distance, NOISE_MAX) - e->speed_noise);
}

static void add_sample(struct engine *e, struct worker *w, double speed)
{
	struct speed *v = &w->speed;

	update_noise(e, v, speed / e->mean_speed);
	v->samples[v->next] =
		CLAMP(speed / e->mean_speed, SPEED_MIN, SPEED_MAX);
	v->next = (v->next + 1) % SPEED_SAMPLES;
	v->n = MIN(v->n + 1, SPEED_SAMPLES);
	v->sampled_ms = e->now_ms;
	v->kept_ms = e->now_ms;
	update_speed(e, w, NULL, 0);
}

void eng_speed_set(struct engine *e, struct worker *w, double speed,
		   unsigned int n)
{
	struct speed *v = &w->speed;

	if (!e->n_noise)
		e->speed_noise = RESTORED_NOISE;
	v->n = MIN(n, SPEED_SAMPLES);
	v->next = v->n % SPEED_SAMPLES;
	v->kept_ms = e->now_ms;
	for (unsigned int i = 0; i < v->n; i++)
		v->samples[i] = CLAMP(speed, SPEED_MIN, SPEED_MAX);
	update_speed(e, w, NULL, 0);
}

void eng_speed_reset(struct worker *w)
{
	memset(&w->speed, 0, sizeof(w->speed));
	w->speed.value = 1;
}

/*
 * Whether the time since the task entered its state is its run time. It is not
 * if the start was confirmed late, or if nothing was heard meanwhile.
 */
static bool run_time_known(const struct engine *e, const struct task *t)
{
	return t->state == TASK_RUNNING && t->first_sent_ms &&
	       t->since_ms - t->first_sent_ms <= START_UNSURE_MS &&
	       t->since_ms > e->stalled_ms;
}

/*
 * Updates what a task of the step takes at the usual speed. Of tasks that start
 * together, those end first that take least, so their median is known once half
 * of them have ended. Those of a long step start one after the other.
 */
static void update_usual(struct step *s)
{
	double times[STEP_TIMES];
	size_t n = MIN(s->n_timed, STEP_TIMES);
	size_t middle = MIN(s->spec->n_tasks, STEP_TIMES) / 2;

	if (n <= middle)
		return;
	for (size_t i = 0; i < n; i++)
		times[i] = s->timed[i].run_ms * eng_speed(s->timed[i].w);
	qsort(times, n, sizeof(*times), by_value);
	s->usual_ms = times[middle];
}

/* Whether enough runs of the step were on other workers. */
static bool comparable(const struct step *s, const struct worker *w)
{
	size_t n = 0;

	for (guint i = 0; i < MIN(s->n_timed, STEP_TIMES); i++)
		n += s->timed[i].w != w;
	return n >= OTHERS_MIN;
}

static bool estimate_reliable(const struct step *s)
{
	return s->job->queue->reliable && s->spec->estimate_ms > 0;
}

/*
 * The tasks of a step are often on few workers, which then are their own
 * measure, so a reliable estimate is preferred.
 */
static void compare(struct engine *e, const struct step *s,
		    const struct timed_run *r)
{
	if (!estimate_reliable(s) && comparable(s, r->w))
		add_sample(e, r->w, s->usual_ms / r->run_ms);
}

static void compare_in_step(struct engine *e, struct step *s,
			    const struct timed_run *r)
{
	guint at = s->n_timed % STEP_TIMES;
	bool first = s->usual_ms <= 0;

	if (!s->timed)
		s->timed = g_new(struct timed_run, STEP_TIMES);
	s->timed[at] = *r;
	s->n_timed++;
	update_usual(s);
	if (s->usual_ms <= 0)
		return;
	/* The first ones had nothing to be compared with when they ended. */
	for (guint i = first ? 0 : at; i <= at; i++)
		compare(e, s, &s->timed[i]);
}

static void compare_with_queue(struct engine *e, const struct step *s,
			       const struct timed_run *r)
{
	add_sample(e, r->w,
		   (double)s->spec->estimate_ms * s->job->queue->usual_ratio /
			   r->run_ms);
}

/* Chosen by index: the first to end would be those that took least. */
static bool sampled_for_queue(const struct task *t)
{
	uint32_t every = (t->step->spec->n_tasks + STEP_SAMPLES_MAX - 1) /
			 STEP_SAMPLES_MAX;

	return t->step->spec->gang ? !t->index : !(t->index % every);
}

/* A gang ends when its slowest member does. */
static double gang_speed(const struct step *s)
{
	double speed = SPEED_MAX;

	for (uint32_t k = 0; k < s->spec->n_tasks; k++) {
		if (s->tasks[k].worker)
			speed = MIN(speed, eng_speed(s->tasks[k].worker));
	}
	return speed;
}

void eng_speed_run_done(struct engine *e, const struct task *t)
{
	struct step *s = t->step;
	struct timed_run r = { t->worker, (double)(e->now_ms - t->since_ms) };

	if (!run_time_known(e, t) || s->spec->service || t->checkpoint.len)
		return;
	/* The ends in the first report after a silence are late. */
	if (t->worker->silent_until_ms == e->now_ms || r.run_ms < RUN_MIN_MS)
		return;
	if (s->spec->estimate_ms > 0 && sampled_for_queue(t))
		queue_add(s->job->queue,
			  r.run_ms * (s->spec->gang ? gang_speed(s)
						    : eng_speed(t->worker)),
			  s->spec->estimate_ms);
	if (s->spec->gang || e->settings.ignore_speeds)
		return;
	if (s->spec->n_tasks >= COMPARED_MIN)
		compare_in_step(e, s, &r);
	if (estimate_reliable(s))
		compare_with_queue(e, s, &r);
}

/*
 * Samples of runs that should have ended. They count only if no run has ended
 * on the worker since then: on a sound one, others go on ending.
 */
static size_t overdue_samples(const struct engine *e, const struct worker *w,
			      double *out)
{
	size_t n = 0;

	for (guint i = 0; i < w->tasks->len; i++) {
		const struct task *t = w->tasks->pdata[i];
		double usual = eng_expected_ms(t->step);
		double expected = usual / eng_speed(w);
		double elapsed = (double)(e->now_ms - t->since_ms);
		size_t weight = elapsed > OVERDUE_SURE_FACTOR * expected
					? SAMPLES_MIN
					: 1;

		if (t->done || t->step->spec->gang || t->step->spec->service)
			continue;
		if (usual < RUN_MIN_MS || !run_time_known(e, t) ||
		    elapsed < OVERDUE_FACTOR * expected)
			continue;
		if ((double)(w->speed.sampled_ms - t->since_ms) > expected)
			continue;
		while (weight-- && n < FALL_SAMPLES)
			out[n++] = MAX(usual / elapsed, SPEED_MIN);
	}
	return n;
}

static void update_worker(struct engine *e, struct worker *w)
{
	double overdue[FALL_SAMPLES];
	struct speed *v = &w->speed;
	size_t n;

	/* One that does not answer is not slow. */
	if (!w->listed || w->hold_failures)
		return;
	if (v->n && e->now_ms - v->kept_ms > FORGET_MS) {
		v->n--;
		v->kept_ms = e->now_ms;
		update_speed(e, w, NULL, 0);
	}
	n = overdue_samples(e, w, overdue);
	if (n || v->n_overdue)
		update_speed(e, w, overdue, n);
	v->n_overdue = n;
}

/*
 * Speeds are compared with each other only, so their mean would drift; samples
 * are divided by it.
 */
static double mean_speed(const struct engine *e)
{
	double sum = 0;
	guint n = 0;

	for (guint i = 0; i < e->worker_list->len; i++) {
		const struct worker *w = e->worker_list->pdata[i];

		if (!w->listed)
			continue;
		sum += w->speed.log_median;
		n++;
	}
	return n ? exp(sum / n) : 1;
}

void eng_update_speeds(struct engine *e)
{
	if (e->scheduled_ms && e->now_ms - e->scheduled_ms > STALL_MS)
		e->stalled_ms = e->now_ms;
	e->scheduled_ms = e->now_ms;
	if (e->now_ms < e->next_speeds_ms || e->settings.ignore_speeds)
		return;
	e->next_speeds_ms = e->now_ms + UPDATE_MS;
	for (guint i = 0; i < e->worker_list->len; i++)
		update_worker(e, e->worker_list->pdata[i]);
	e->mean_speed = mean_speed(e);
}

/* choice of workers */

/*
 * The speed at which the job ends by its objective or, if that is missed at the
 * usual speed, by the cutoff.
 */
static double speed_needed(const struct engine *e, const struct step *s,
			   double margin)
{
	double expected = eng_expected_ms(s);
	double own = (double)s->spec->estimate_ms * s->job->queue->usual_ratio;
	double rest = MAX((double)eng_path_ms(s) - own, 0);
	double left = (double)(s->job->due_ms - e->now_ms) - rest;

	if (left < expected)
		left = (double)(s->job->cutoff_ms - e->now_ms) - rest;
	margin *= s->job->queue->high_ratio / s->job->queue->usual_ratio;
	return left > 0 ? margin * expected / left : SPEED_ANY;
}

void eng_speed_plan(const struct engine *e, struct step *s)
{
	if (s->next_speed_ms > e->now_ms)
		return;
	s->next_speed_ms = e->now_ms + PLAN_MS;
	s->any_in_time = s->spec->gang && s->spec->n_tasks > 1;
	if (!s->spec->estimate_ms || s->spec->service)
		s->min_speed = 0;
	else if (s->any_in_time)
		s->min_speed = speed_needed(e, s, GANG_MARGIN);
	else if (!s->job->spec->priority)
		s->min_speed = SPEED_ANY;
	else
		s->min_speed = MAX(speed_needed(e, s, BATCH_MARGIN), VERY_SLOW);
}
