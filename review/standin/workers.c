#include "internal.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/*
 * The workers of the cell. Each has an address, an entry in the store, a clock
 * and a lease for all that it runs.
 */
#define TICK_MS 5
#define HEARTBEAT_MS 1500
#define HOLD_MAX_MS 6000
#define GANG_WAIT_MS 3000
#define STOP_TAKES_MS 300 /* of at most 900 ms */
#define ENDS_LISTED_MAX 500
#define RUNS_MAX 512
#define WORKER_CPU 16000
#define WORKER_MEM_MB 65536

/* A run of a task; @ends_ms is 0 while a gang waits, or if it lasts. */
struct run {
	char task[80];
	unsigned int number;
	unsigned int gang; /* members, 0: no gang */
	int64_t takes_ms;
	int64_t since_ms;
	int64_t ends_ms;
	int64_t stops_ms;
};

struct end {
	int64_t number;
	char task[80];
	unsigned int run;
	char how[12];
};

/* The highest run of a task that was stopped or has ended here. */
struct past {
	char task[80];
	unsigned int run;
	struct past *next;
};

struct hold {
	struct worker *w;
	struct evhttp_request *req;
	struct event *timer;
	struct hold *next;
};

struct worker {
	unsigned int number;
	char id[32];
	uint16_t port;
	unsigned int far_ms;
	bool silent;
	bool entry_gone;
	int64_t silent_since_ms;
	int64_t born_wall_ms;
	int64_t born_ms;
	int64_t next_entry_ms;
	int64_t seq;
	uint64_t fence;
	int64_t until_ms; /* of the lease, on the worker's clock */
	struct run runs[RUNS_MAX];
	unsigned int n_runs;
	struct end *ends;
	size_t n_ends;
	size_t ends_room;
	int64_t last_end;
	struct past *past;
	struct hold *holds;
};

/* What is known of a job, over all workers. */
struct job_seen {
	uint64_t id;
	unsigned int starts;
	unsigned int working;
	int64_t idle_since_ms;
	unsigned int done;
	unsigned int failed;
	unsigned int lapsed;
	unsigned int stopped;
	unsigned int other;
};

static struct worker workers[CELL_WORKERS_MAX];
static unsigned int n_workers;
static struct job_seen *jobs;
static size_t n_jobs;
static size_t jobs_room;

static struct job_seen *job_seen(uint64_t id)
{
	for (size_t i = n_jobs; i-- > 0;) {
		if (jobs[i].id == id)
			return &jobs[i];
	}
	if (n_jobs == jobs_room) {
		jobs_room = jobs_room ? 2 * jobs_room : 256;
		jobs = realloc(jobs, jobs_room * sizeof(*jobs));
	}
	memset(&jobs[n_jobs], 0, sizeof(*jobs));
	jobs[n_jobs].id = id;
	jobs[n_jobs].idle_since_ms = cell_now_ms();
	return &jobs[n_jobs++];
}

static uint64_t job_of(const char *task)
{
	return strtoull(task, NULL, 16);
}

static int64_t clock_ms(const struct worker *w)
{
	return cell_now_ms() - w->born_ms;
}

static void note_work(const char *task, int change)
{
	struct job_seen *j = job_seen(job_of(task));

	j->working = (unsigned int)((int)j->working + change);
	if (!j->working)
		j->idle_since_ms = cell_now_ms();
}

static struct past *past_of(struct worker *w, const char *task, bool create)
{
	struct past *p = w->past;

	while (p && strcmp(p->task, task))
		p = p->next;
	if (p || !create)
		return p;
	p = calloc(1, sizeof(*p));
	snprintf(p->task, sizeof(p->task), "%s", task);
	p->next = w->past;
	w->past = p;
	return p;
}

static struct run *run_find(struct worker *w, const char *task,
			    unsigned int number)
{
	for (unsigned int i = 0; i < w->n_runs; i++) {
		if (w->runs[i].number == number &&
		    !strcmp(w->runs[i].task, task))
			return &w->runs[i];
	}
	return NULL;
}

static void count_end(const char *task, const char *how)
{
	struct job_seen *j = job_seen(job_of(task));

	if (!strcmp(how, "done"))
		j->done++;
	else if (!strcmp(how, "failed"))
		j->failed++;
	else if (!strcmp(how, "lapsed"))
		j->lapsed++;
	else if (!strcmp(how, "stopped"))
		j->stopped++;
	else
		j->other++;
}

static void answer_holds(struct worker *w);

static void run_end(struct worker *w, struct run *r, const char *how)
{
	struct past *p = past_of(w, r->task, true);
	struct end *e;

	if (w->n_ends == w->ends_room) {
		w->ends_room = w->ends_room ? 2 * w->ends_room : 64;
		w->ends = realloc(w->ends, w->ends_room * sizeof(*e));
	}
	e = &w->ends[w->n_ends++];
	e->number = ++w->last_end;
	memcpy(e->task, r->task, sizeof(e->task));
	e->run = r->number;
	snprintf(e->how, sizeof(e->how), "%s", how);
	p->run = p->run > r->number ? p->run : r->number;
	count_end(r->task, how);
	note_work(r->task, -1);
	cell_record("%s: %s run %u ends: %s", w->id, r->task, r->number, how);
	*r = w->runs[--w->n_runs];
}

/* Task names up to the last dot, which tell the step. */
static bool same_step(const char *a, const char *b)
{
	size_t n = (size_t)(strrchr(a, '.') - a);

	return n == (size_t)(strrchr(b, '.') - b) && !strncmp(a, b, n);
}

/* Lets a gang work once all members of one run are present. */
static void gang_check(const struct run *first)
{
	unsigned int present = 0;
	int64_t ends_ms = cell_now_ms() + first->takes_ms;

	for (int pass = 0; pass < 2; pass++) {
		for (unsigned int i = 0; i < n_workers; i++) {
			struct worker *w = &workers[i];

			for (unsigned int k = 0; !w->silent && k < w->n_runs;
			     k++) {
				struct run *r = &w->runs[k];

				if (r->number != first->number ||
				    !same_step(r->task, first->task))
					continue;
				if (pass)
					r->ends_ms = ends_ms;
				else
					present++;
			}
		}
		if (present < first->gang)
			return;
	}
}

static void worker_tick(struct worker *w)
{
	int64_t now = cell_now_ms();
	bool lapsed = w->until_ms && clock_ms(w) > w->until_ms;

	for (unsigned int i = w->n_runs; i-- > 0;) {
		struct run *r = &w->runs[i];

		if (lapsed)
			run_end(w, r, "lapsed");
		else if (r->ends_ms && r->ends_ms <= now)
			run_end(w, r, "done");
		else if (r->stops_ms && r->stops_ms <= now)
			run_end(w, r, "stopped");
		else if (r->gang && !r->ends_ms &&
			 now - r->since_ms > GANG_WAIT_MS)
			run_end(w, r, "alone");
	}
	if (w->n_ends)
		answer_holds(w);
}

static void entry_put(struct worker *w)
{
	char value[512];
	int n;

	n = snprintf(value, sizeof(value),
		     "{\"service\":\"svc\",\"address\":\"127.0.0.1:%u\","
		     "\"zone\":\"z%u\",\"version\":\"v1\",\"slots\":8,"
		     "\"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":"
		     "{\"cpu\":%d,\"memMb\":%d,\"gpu\":0},\"labels\":[\"a\","
		     "\"rack%u\"],\"clockMs\":%" PRId64 ",\"born\":%" PRId64
		     ",\"seq\":%" PRId64 "}",
		     w->port, w->number % 2, WORKER_CPU, WORKER_MEM_MB,
		     w->number / 8, clock_ms(w), w->born_wall_ms, ++w->seq);
	store_put("keyed.servers", w->id, value, (size_t)n);
	w->next_entry_ms = cell_now_ms() + HEARTBEAT_MS;
}

static void worker_entry(struct worker *w)
{
	int64_t now = cell_now_ms();

	if (!w->silent && w->next_entry_ms <= now) {
		entry_put(w);
	} else if (w->silent && !w->entry_gone &&
		   now - w->silent_since_ms > 3 * HEARTBEAT_MS) {
		store_put("keyed.servers", w->id, "", 0);
		w->entry_gone = true;
		cell_record("store: the entry of %s has expired", w->id);
	}
}

static void on_tick(evutil_socket_t fd, short events, void *ctx)
{
	(void)fd;
	(void)events;
	(void)ctx;
	pthread_mutex_lock(&lock);
	for (unsigned int i = 0; i < n_workers; i++) {
		if (!workers[i].silent)
			worker_tick(&workers[i]);
		worker_entry(&workers[i]);
	}
	pthread_mutex_unlock(&lock);
}

static void reply(struct worker *w, struct evhttp_request *req, int status,
		  const char *reason)
{
	struct evbuffer *out = evbuffer_new();

	evbuffer_add_printf(out, "{\"clockMs\":%" PRId64, clock_ms(w));
	if (reason)
		evbuffer_add_printf(out, ",\"reason\":\"%s\"", reason);
	evbuffer_add_printf(out, "}");
	http_reply_later(req, status, out, 2 * w->far_ms);
}

static void extend_lease(struct worker *w, int64_t until_ms)
{
	int64_t longest = clock_ms(w) + HOLD_MAX_MS;

	if (until_ms > longest)
		until_ms = longest;
	if (until_ms > w->until_ms)
		w->until_ms = until_ms;
}

static int64_t number(const json_t *body, const char *name)
{
	return json_integer_value(json_object_get(body, name));
}

static void run_begin(struct worker *w, const char *task, unsigned int run,
		      const char *spec)
{
	struct run *r = &w->runs[w->n_runs++];
	unsigned int members = 0;
	int takes_ms = 0;

	memset(r, 0, sizeof(*r));
	snprintf(r->task, sizeof(r->task), "%s", task);
	r->number = run;
	r->since_ms = cell_now_ms();
	if (sscanf(spec, "gang %u %d", &members, &takes_ms) == 2)
		r->gang = members;
	else if (sscanf(spec, "run %d", &takes_ms) == 1)
		r->ends_ms = r->since_ms + takes_ms;
	r->takes_ms = takes_ms;
	job_seen(job_of(task))->starts++;
	note_work(task, 1);
	cell_record("%s: starts %s run %u", w->id, task, run);
	if (r->gang)
		gang_check(r);
}

static void run_start(struct worker *w, struct evhttp_request *req,
		      const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	const char *spec = json_string_value(json_object_get(body, "spec"));
	unsigned int run = (unsigned int)number(body, "run");
	int64_t until_ms = number(body, "untilMs");
	const struct past *p;

	if (!task || !spec || !run || w->n_runs == RUNS_MAX) {
		reply(w, req, 400, NULL);
		return;
	}
	p = past_of(w, task, false);
	if (run_find(w, task, run)) {
		extend_lease(w, until_ms);
		reply(w, req, 200, NULL);
	} else if (p && run <= p->run) {
		extend_lease(w, until_ms);
		reply(w, req, 409, "old");
	} else if (until_ms <= clock_ms(w)) {
		reply(w, req, 409, "late");
	} else {
		extend_lease(w, until_ms);
		run_begin(w, task, run, spec);
		reply(w, req, 200, NULL);
	}
}

static void run_stop(struct worker *w, struct evhttp_request *req,
		     const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	unsigned int run = (unsigned int)number(body, "run");
	struct run *r = task ? run_find(w, task, run) : NULL;
	struct past *p = task ? past_of(w, task, true) : NULL;

	if (p && p->run < run)
		p->run = run;
	if (r && !r->stops_ms)
		r->stops_ms = cell_now_ms() + STOP_TAKES_MS;
	reply(w, req, 200, NULL);
}

static void hold_reply(struct worker *w, struct evhttp_request *req)
{
	struct evbuffer *out = evbuffer_new();

	evbuffer_add_printf(out,
			    "{\"clockMs\":%" PRId64 ",\"born\":%" PRId64
			    ",\"running\":[",
			    clock_ms(w), w->born_wall_ms);
	for (unsigned int i = 0; i < w->n_runs; i++) {
		const struct run *r = &w->runs[i];

		evbuffer_add_printf(out, "%s[\"%s\",%u,\"\",100,0]",
				    i ? "," : "", r->task, r->number);
	}
	evbuffer_add_printf(out, "],\"finished\":[");
	for (size_t i = 0; i < w->n_ends && i < ENDS_LISTED_MAX; i++) {
		const struct end *e = &w->ends[i];

		evbuffer_add_printf(out,
				    "%s[%" PRId64 ",\"%s\",%u,\"%s\",\"\"]",
				    i ? "," : "", e->number, e->task, e->run,
				    e->how);
	}
	evbuffer_add_printf(out, "]}");
	http_reply_later(req, 200, out, 2 * w->far_ms);
}

static void hold_end(struct hold *h)
{
	struct hold **p = &h->w->holds;

	while (*p != h)
		p = &(*p)->next;
	*p = h->next;
	event_free(h->timer);
	if (!h->w->silent)
		hold_reply(h->w, h->req);
	free(h);
}

static void answer_holds(struct worker *w)
{
	while (w->holds)
		hold_end(w->holds);
}

static void on_hold_over(evutil_socket_t fd, short events, void *ctx)
{
	(void)fd;
	(void)events;
	pthread_mutex_lock(&lock);
	hold_end(ctx);
	pthread_mutex_unlock(&lock);
}

static void hold(struct worker *w, struct evhttp_request *req,
		 const json_t *body)
{
	int64_t ack = number(body, "ackPosition");
	int64_t wait_ms = number(body, "waitMs");
	struct timeval tv = { (time_t)(wait_ms / 1000),
			      (suseconds_t)(wait_ms % 1000 * 1000) };
	size_t n = 0;
	struct hold *h;

	if (json_object_get(body, "untilMs"))
		extend_lease(w, number(body, "untilMs"));
	while (n < w->n_ends && w->ends[n].number <= ack)
		n++;
	if (n) {
		memmove(w->ends, w->ends + n,
			(w->n_ends - n) * sizeof(*w->ends));
		w->n_ends -= n;
		cell_record("%s: ends up to %" PRId64 " are acknowledged",
			    w->id, ack);
	}
	if (w->n_ends || wait_ms <= 0) {
		hold_reply(w, req);
		return;
	}
	h = calloc(1, sizeof(*h));
	h->w = w;
	h->req = req;
	h->timer = evtimer_new(base, on_hold_over, h);
	h->next = w->holds;
	w->holds = h;
	evtimer_add(h->timer, &tv);
}

static void dispatch(struct worker *w, struct evhttp_request *req,
		     const char *path, const json_t *body)
{
	const char *id = evhttp_find_header(
		evhttp_request_get_input_headers(req), "X-Expect-Instance");
	uint64_t fence = (uint64_t)number(body, "fencingToken");

	if (id && strcmp(id, w->id)) {
		reply(w, req, 421, NULL);
		return;
	}
	if (fence < w->fence) {
		reply(w, req, 409, "fence");
		return;
	}
	w->fence = fence;
	if (!strcmp(path, "/run-start"))
		run_start(w, req, body);
	else if (!strcmp(path, "/run-stop"))
		run_stop(w, req, body);
	else if (!strcmp(path, "/hold"))
		hold(w, req, body);
	else
		reply(w, req, 404, NULL);
}

static void on_request(struct evhttp_request *req, void *ctx)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	struct worker *w = ctx;
	json_t *body = json_loadb((const char *)evbuffer_pullup(in, -1),
				  evbuffer_get_length(in), 0, NULL);

	http_no_delay(req);
	pthread_mutex_lock(&lock);
	/* A dark worker reads nothing and never answers. */
	if (!w->silent)
		dispatch(w, req, path, body);
	pthread_mutex_unlock(&lock);
	json_decref(body);
}

static void worker_born(struct worker *w)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	w->born_wall_ms = (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
	w->born_ms = cell_now_ms() - 1; /* its clock is above 0 */
	w->next_entry_ms = 0;
	w->seq = 0;
	w->fence = 0;
	w->until_ms = 0;
	w->n_ends = 0;
	w->last_end = 0;
	w->past = NULL;
	w->silent = false;
	w->entry_gone = false;
}

void workers_init(unsigned int n, unsigned int far_ms, bool all_far)
{
	struct timeval tv = { 0, TICK_MS * 1000 };
	struct event *tick = event_new(base, -1, EV_PERSIST, on_tick, NULL);

	n_workers = n;
	for (unsigned int i = 0; i < n; i++) {
		struct worker *w = &workers[i];

		w->number = i;
		w->far_ms = all_far || i % 2 ? far_ms : 0;
		snprintf(w->id, sizeof(w->id), "i-%08x", 0x7f3a0000 + i);
		w->port = http_listen(on_request, w);
		worker_born(w);
		worker_entry(w);
	}
	event_add(tick, &tv);
}

void cell_worker_silence(unsigned int worker)
{
	struct worker *w = &workers[worker];

	pthread_mutex_lock(&lock);
	while (w->n_runs) {
		const char *task = w->runs[--w->n_runs].task;

		cell_record("%s: %s is gone with its worker", w->id, task);
		note_work(task, -1);
	}
	w->silent = true;
	w->silent_since_ms = cell_now_ms();
	pthread_mutex_unlock(&lock);
	cell_record("%s crashes and is silent", w->id);
}

void cell_worker_restart(unsigned int worker)
{
	struct worker *w = &workers[worker];

	pthread_mutex_lock(&lock);
	worker_born(w);
	pthread_mutex_unlock(&lock);
	cell_record("%s starts again, born at %" PRId64, w->id,
		    w->born_wall_ms);
}

int cell_worker_of(uint64_t id)
{
	int found = -1;

	pthread_mutex_lock(&lock);
	for (unsigned int i = 0; i < n_workers && found < 0; i++) {
		for (unsigned int k = 0; k < workers[i].n_runs; k++) {
			if (job_of(workers[i].runs[k].task) == id)
				found = (int)i;
		}
	}
	pthread_mutex_unlock(&lock);
	return found;
}

unsigned int cell_starts(uint64_t id)
{
	unsigned int n;

	pthread_mutex_lock(&lock);
	n = job_seen(id)->starts;
	pthread_mutex_unlock(&lock);
	return n;
}

unsigned int cell_ends(uint64_t id, const char *how)
{
	const struct job_seen *j;
	unsigned int n;

	pthread_mutex_lock(&lock);
	j = job_seen(id);
	n = !strcmp(how, "done")      ? j->done
	    : !strcmp(how, "failed")  ? j->failed
	    : !strcmp(how, "lapsed")  ? j->lapsed
	    : !strcmp(how, "stopped") ? j->stopped
				      : j->other;
	pthread_mutex_unlock(&lock);
	return n;
}

int64_t cell_idle_ms(uint64_t id)
{
	const struct job_seen *j;
	int64_t idle;

	pthread_mutex_lock(&lock);
	j = job_seen(id);
	idle = j->working ? 0 : cell_now_ms() - j->idle_since_ms;
	pthread_mutex_unlock(&lock);
	return idle;
}
