/*
 * Stand-ins for the scripts of the third review: the platform's store, a worker
 * and a consumer's call, as the users' PROTOCOL.md tells them. One process each,
 * on loopback.
 *
 *   box store PORT RECORD
 *   box worker ID PORT STORE_PORT RECORD ZONE RACK CPU MEM_MB
 *   box call METHOD PORT PATH [HOST [KEY [TIMEOUT_MS [BODY]]]]
 *   box ports N
 *
 * The spec of a task tells the worker what to do: "ms=N" runs N milliseconds,
 * N = 0 until it is stopped; "save=1" keeps checkpoints.
 */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define RECORD_BYTES 262144 /* of one record, as the settings tell */
#define CALL_BYTES 2097152
#define PAGE_ITEMS 500
#define PAGE_BYTES (1024 * 1024)
#define ANSWER_MS 4	 /* what an answer of the store takes */
#define HOLD_MAX_MS 6000 /* if the environment does not tell */
#define STOP_MS 50
#define SAVE_MS 500
#define BEAT_MS 1500
#define ENDS_MAX 500

static struct event_base *base;
static FILE *record_file;

static int64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static int64_t wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

__attribute__((format(printf, 1, 2))) static void note(const char *format, ...)
{
	int64_t t = wall_ms();
	va_list args;

	fprintf(record_file, "%lld.%03d ", (long long)(t / 1000),
		(int)(t % 1000));
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
}

static void *must(void *p)
{
	if (!p) {
		perror("box");
		exit(2);
	}
	return p;
}

static void open_record(const char *path)
{
	record_file = must(fopen(path, "a"));
}

static struct evhttp *listen_on(int port,
				void (*fn)(struct evhttp_request *, void *))
{
	struct evhttp *h = evhttp_new(base);

	evhttp_set_allowed_methods(h, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
					      EVHTTP_REQ_DELETE);
	if (evhttp_bind_socket(h, "127.0.0.1", (uint16_t)port)) {
		fprintf(stderr, "box: cannot listen on %d\n", port);
		exit(2);
	}
	evhttp_set_gencb(h, fn, NULL);
	return h;
}

/* A short last segment does not wait for the peer. */
static void no_delay(struct evhttp_request *req)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);
	int on = 1;

	setsockopt(bufferevent_getfd(evhttp_connection_get_bufferevent(conn)),
		   IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static void reply_json(struct evhttp_request *req, int status, json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT);

	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/json");
	evbuffer_add(evhttp_request_get_output_buffer(req), text, strlen(text));
	evhttp_send_reply(req, status, NULL, NULL);
	free(text);
	json_decref(o);
}

static json_t *request_json(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t n = evbuffer_get_length(in);
	const char *p = (const char *)evbuffer_pullup(in, -1);

	return n ? json_loadb(p, n, 0, NULL) : NULL;
}

/* ---- the store ---- */

struct record {
	unsigned char *bytes; /* with its length */
	size_t len;
	char *key;
};

/* @sorted: positions of the newest records, by key */
struct topic {
	char name[64];
	struct record *records;
	size_t n;
	size_t room;
	size_t *sorted;
	size_t n_sorted;
	size_t sorted_room;
	uint64_t epoch;
	uint64_t seq;
	bool has_epoch;
	struct topic *next;
};

struct reader {
	struct evhttp_request *req;
	struct topic *topic;
	uint64_t from;
	struct event *timer;
	struct reader *next;
};

struct beat {
	char *key;
	int64_t at_ms;
	struct beat *next;
};

static struct topic *topics;
static struct reader *readers;
static struct beat *beats;

static struct topic *topic_find(const char *name, bool create)
{
	struct topic *t = topics;

	while (t && strcmp(t->name, name))
		t = t->next;
	if (t || !create)
		return t;
	t = must(calloc(1, sizeof(*t)));
	snprintf(t->name, sizeof(t->name), "%s", name);
	t->next = topics;
	topics = t;
	return t;
}

static uint32_t read_be32(const unsigned char *p)
{
	return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 |
	       (uint32_t)p[2] << 8 | p[3];
}

/* The first place whose key is not before @key, or with @after, is behind it. */
static size_t find_key(const struct topic *t, const char *key, bool after)
{
	size_t low = 0;
	size_t high = t->n_sorted;

	while (low < high) {
		size_t middle = (low + high) / 2;
		int order = strcmp(t->records[t->sorted[middle]].key, key);

		if (order < 0 || (after && !order))
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static void index_record(struct topic *t, size_t position, bool has_value)
{
	const char *key = t->records[position].key;
	size_t at = find_key(t, key, false);
	bool known =
		at < t->n_sorted && !strcmp(t->records[t->sorted[at]].key, key);
	size_t *p;

	if (known && has_value) {
		t->sorted[at] = position;
		return;
	}
	if (t->n_sorted == t->sorted_room) {
		t->sorted_room = t->sorted_room ? 2 * t->sorted_room : 256;
		t->sorted = must(
			realloc(t->sorted, t->sorted_room * sizeof(size_t)));
	}
	p = t->sorted + at;
	if (known) {
		memmove(p, p + 1, (--t->n_sorted - at) * sizeof(size_t));
	} else if (has_value) {
		memmove(p + 1, p, (t->n_sorted++ - at) * sizeof(size_t));
		*p = position;
	}
}

static void topic_add(struct topic *t, const unsigned char *p, size_t len)
{
	struct record *r;
	size_t key_len = p[4];

	if (t->n == t->room) {
		t->room = t->room ? 2 * t->room : 256;
		t->records = must(realloc(t->records, t->room * sizeof(*r)));
	}
	r = &t->records[t->n];
	r->bytes = must(malloc(len));
	memcpy(r->bytes, p, len);
	r->len = len;
	r->key = must(strndup((const char *)p + 5, key_len));
	index_record(t, t->n++, len > 5 + key_len);
}

static void add_keyed(struct topic *t, const char *key, const char *value,
		      size_t value_len)
{
	size_t key_len = strlen(key);
	size_t len = 1 + key_len + value_len;
	unsigned char *p = must(malloc(4 + len));
	uint32_t be = htonl((uint32_t)len);

	memcpy(p, &be, 4);
	p[4] = (unsigned char)key_len;
	memcpy(p + 5, key, key_len);
	memcpy(p + 5 + key_len, value, value_len);
	topic_add(t, p, 4 + len);
	free(p);
}

static void send_records(struct evhttp_request *req, const struct topic *t,
			 uint64_t from)
{
	struct evbuffer *out = evhttp_request_get_output_buffer(req);
	uint32_t head[4] = { 0, htonl((uint32_t)t->n), 0, 0 };
	size_t bytes = 0;

	evbuffer_add(out, head, sizeof(head));
	for (uint64_t i = from; i < t->n && bytes < PAGE_BYTES; i++) {
		evbuffer_add(out, t->records[i].bytes, t->records[i].len);
		bytes += t->records[i].len;
	}
	evhttp_send_reply(req, 200, NULL, NULL);
}

static void reader_end(struct reader *r)
{
	struct reader **p = &readers;

	while (*p != r)
		p = &(*p)->next;
	*p = r->next;
	send_records(r->req, r->topic, r->from);
	event_free(r->timer);
	free(r);
}

static void on_reader_timer(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	reader_end(ctx);
}

static void wake_readers(const struct topic *t)
{
	struct reader *next;

	for (struct reader *r = readers; r; r = next) {
		next = r->next;
		if (r->topic == t && t->n > r->from)
			reader_end(r);
	}
}

static const char *param(struct evkeyvalq *q, const char *name)
{
	return evhttp_find_header(q, name);
}

static uint64_t param_u64(struct evkeyvalq *q, const char *name)
{
	const char *v = param(q, name);

	return v ? strtoull(v, NULL, 10) : 0;
}

/* Returns the number of records, or -1 if they break a limit. */
static int count_records(const unsigned char *p, size_t n)
{
	int count = 0;

	if (n > CALL_BYTES)
		return -1;
	while (n) {
		size_t len;

		if (n < 5)
			return -1;
		len = read_be32(p);
		if (len > RECORD_BYTES || len > n - 4 || !len || p[4] > len - 1)
			return -1;
		p += 4 + len;
		n -= 4 + len;
		count++;
	}
	return count;
}

static void reply_error(struct evhttp_request *req, int status,
			const char *reason, const char *name, uint64_t value)
{
	json_t *o = json_object();

	if (reason)
		json_object_set_new(o, "reason", json_string(reason));
	if (name)
		json_object_set_new(o, name, json_integer((json_int_t)value));
	reply_json(req, status, o);
}

/* The producer's part of an append. Returns whether it goes on. */
static bool check_producer(struct evhttp_request *req, struct topic *t,
			   struct evkeyvalq *q)
{
	static json_int_t last_offset;
	uint64_t epoch = param_u64(q, "epoch");
	uint64_t seq = param_u64(q, "seq");

	if (!param(q, "producer"))
		return true;
	if (t->has_epoch && epoch < t->epoch) {
		reply_error(req, 409, "fenced", NULL, 0);
		return false;
	}
	if (!t->has_epoch || epoch > t->epoch) {
		t->has_epoch = true;
		t->epoch = epoch;
		t->seq = seq;
		return true;
	}
	if (seq == t->seq && seq) { /* a repeat */
		reply_json(req, 200,
			   json_pack("{s:I,s:I}", "offset", last_offset, "end",
				     (json_int_t)t->n));
		return false;
	}
	if (seq != t->seq + 1) {
		reply_error(req, 409, "seq", "seq", t->seq + 1);
		return false;
	}
	last_offset = (json_int_t)t->n;
	t->seq = seq;
	return true;
}

static void append(struct evhttp_request *req, struct evkeyvalq *q)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t n = evbuffer_get_length(in);
	const unsigned char *p = n ? evbuffer_pullup(in, -1) : NULL;
	struct topic *t = topic_find(param(q, "topic"), true);
	int count = count_records(p, n);
	size_t first = t->n;

	if (count < 0) {
		note("store: append to %s refused, %zu bytes are over a limit",
		     t->name, n);
		reply_error(req, 400, "size", NULL, 0);
		return;
	}
	if (param(q, "at") && param_u64(q, "at") != t->n) {
		reply_error(req, 412, NULL, "end", t->n);
		return;
	}
	if (!check_producer(req, t, q))
		return;
	while (count--) {
		size_t len = 4 + (size_t)read_be32(p);

		topic_add(t, p, len);
		p += len;
	}
	reply_json(req, 200,
		   json_pack("{s:I,s:I}", "offset", (json_int_t)first, "end",
			     (json_int_t)t->n));
	wake_readers(t);
}

static void read_log(struct evhttp_request *req, struct evkeyvalq *q)
{
	struct topic *t = topic_find(param(q, "topic"), false);
	uint64_t from = param_u64(q, "from");
	uint64_t wait_ms = param_u64(q, "waitMs");
	struct timeval tv = { (time_t)(wait_ms / 1000),
			      (suseconds_t)(wait_ms % 1000 * 1000) };
	struct reader *r;

	if (!t) {
		evhttp_send_reply(req, 404, NULL, NULL);
		return;
	}
	if (from < t->n || !wait_ms) {
		send_records(req, t, from);
		return;
	}
	r = must(calloc(1, sizeof(*r)));
	r->req = req;
	r->topic = t;
	r->from = from;
	r->timer = evtimer_new(base, on_reader_timer, r);
	evtimer_add(r->timer, &tv);
	r->next = readers;
	readers = r;
}

static char *base64(const unsigned char *p, size_t n)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	char *out = must(malloc(n / 3 * 4 + 5));
	char *o = out;

	for (size_t i = 0; i < n; i += 3) {
		uint32_t v = (uint32_t)p[i] << 16;

		if (i + 1 < n)
			v |= (uint32_t)p[i + 1] << 8;
		if (i + 2 < n)
			v |= p[i + 2];
		*o++ = digits[v >> 18];
		*o++ = digits[v >> 12 & 63];
		*o++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
		*o++ = i + 2 < n ? digits[v & 63] : '=';
	}
	*o = '\0';
	return out;
}

/* A page that is answered after the time that an answer takes. */
struct page {
	struct evhttp_request *req;
	struct topic *topic;
	char *after;
	struct event *timer;
};

static void send_page(evutil_socket_t fd, short what, void *ctx)
{
	struct page *page = ctx;
	const struct topic *t = page->topic;
	size_t i = page->after ? find_key(t, page->after, true) : 0;
	json_t *items = json_array();
	size_t bytes = 0;

	(void)fd;
	(void)what;
	while (i < t->n_sorted && json_array_size(items) < PAGE_ITEMS &&
	       bytes < PAGE_BYTES) {
		const struct record *r = &t->records[t->sorted[i++]];
		size_t skip = 5 + strlen(r->key);
		char *value = base64(r->bytes + skip, r->len - skip);

		json_array_append_new(items,
				      json_pack("{s:s,s:s,s:I}", "key", r->key,
						"value", value, "offset",
						(json_int_t)(r - t->records)));
		bytes += r->len;
		free(value);
	}
	reply_json(page->req, 200,
		   json_pack("{s:o,s:b,s:I}", "items", items, "more",
			     i < t->n_sorted, "end", (json_int_t)t->n));
	event_free(page->timer);
	free(page->after);
	free(page);
}

static void newest(struct evhttp_request *req, struct evkeyvalq *q)
{
	struct timeval tv = { 0, ANSWER_MS * 1000 };
	const char *after = param(q, "dependsOn");
	struct topic *t = topic_find(param(q, "topic"), false);
	struct page *page;

	if (!t) {
		evhttp_send_reply(req, 404, NULL, NULL);
		return;
	}
	page = must(calloc(1, sizeof(*page)));
	page->req = req;
	page->topic = t;
	page->after = after ? must(strdup(after)) : NULL;
	page->timer = evtimer_new(base, send_page, page);
	evtimer_add(page->timer, &tv);
}

/* A worker's check-in or an operator's change. */
static void write_entry(struct evhttp_request *req, const char *topic,
			const char *key)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t n = evbuffer_get_length(in);
	struct topic *t = topic_find(topic, true);
	struct beat *b = beats;

	add_keyed(t, key, n ? (const char *)evbuffer_pullup(in, -1) : "", n);
	wake_readers(t);
	if (!strcmp(topic, "keyed.servers")) {
		while (b && strcmp(b->key, key))
			b = b->next;
		if (!b) {
			b = must(calloc(1, sizeof(*b)));
			b->key = must(strdup(key));
			b->next = beats;
			beats = b;
		}
		b->at_ms = now_ms();
	} else {
		note("operator: %s stored", key);
	}
	reply_json(req, 200, json_object());
}

/* Another writer's entry among those of the workers: @n bytes that are no text. */
static void write_foreign(struct evhttp_request *req, struct evkeyvalq *q)
{
	size_t n = param_u64(q, "n");
	struct topic *t = topic_find("keyed.servers", true);
	char *bytes = must(malloc(n));

	memset(bytes, 0xf7, n);
	add_keyed(t, param(q, "key"), bytes, n);
	wake_readers(t);
	free(bytes);
	reply_json(req, 200, json_object());
}

static void on_store_request(struct evhttp_request *req, void *ctx)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = evhttp_uri_get_path(uri);
	const char *query = evhttp_uri_get_query(uri);
	struct evkeyvalq q;

	(void)ctx;
	no_delay(req);
	evhttp_parse_query_str(query ? query : "", &q);
	if (!strcmp(path, "/log-append"))
		append(req, &q);
	else if (!strcmp(path, "/log-read"))
		read_log(req, &q);
	else if (!strcmp(path, "/log-newest"))
		newest(req, &q);
	else if (!strcmp(path, "/check-in"))
		write_entry(req, "keyed.servers", param(&q, "key"));
	else if (!strcmp(path, "/foreign"))
		write_foreign(req, &q);
	else if (!strcmp(path, "/operator"))
		write_entry(req, "keyed.op", param(&q, "key"));
	else
		evhttp_send_reply(req, 404, NULL, NULL);
	evhttp_clear_headers(&q);
}

/* Removes the entries of workers that were silent for three intervals. */
static void on_beat_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct topic *t = topic_find("keyed.servers", true);

	(void)fd;
	(void)what;
	(void)ctx;
	for (struct beat *b = beats; b; b = b->next) {
		if (!b->at_ms || now_ms() - b->at_ms < 3 * BEAT_MS)
			continue;
		b->at_ms = 0;
		add_keyed(t, b->key, "", 0);
		wake_readers(t);
		note("store: entry of %s removed", b->key);
	}
}

static int store_main(char **args)
{
	struct timeval tv = { 0, 200000 };
	struct event *timer;

	open_record(args[1]);
	listen_on(atoi(args[0]), on_store_request);
	timer = event_new(base, -1, EV_PERSIST, on_beat_timer, NULL);
	event_add(timer, &tv);
	event_base_dispatch(base);
	return 0;
}

/* ---- a worker ---- */

struct run {
	char task[96];
	int64_t number;
	int64_t start_ms;
	int64_t work_ms; /* 0: until it is stopped */
	bool saves;
	int64_t end_ms; /* of a stop; 0: none */
	struct run *next;
};

struct end {
	int64_t n;
	char task[96];
	int64_t run;
	const char *how;
	char saved[20];
	struct end *next;
};

/* The highest run of a task that was stopped or has ended here. */
struct past {
	char task[96];
	int64_t run;
	struct past *next;
};

struct waiting_hold {
	struct evhttp_request *req;
	int64_t until_ms;
	struct waiting_hold *next;
};

static struct {
	const char *id;
	int port;
	int store_port;
	const char *zone;
	const char *rack;
	int cpu;
	int mem_mb;
	int64_t born_ms;
	int64_t started_ms;
	int64_t fence;
	int64_t lease_until_ms;
	int64_t n_ends;
	int64_t beats;
	struct run *runs;
	struct end *ends;
	struct past *past;
	struct waiting_hold *holds;
} worker;

static int64_t worker_clock(void)
{
	return now_ms() - worker.started_ms + 1000;
}

static struct past *past_get(const char *task)
{
	struct past *p = worker.past;

	while (p && strcmp(p->task, task))
		p = p->next;
	if (p)
		return p;
	p = must(calloc(1, sizeof(*p)));
	snprintf(p->task, sizeof(p->task), "%s", task);
	p->next = worker.past;
	worker.past = p;
	return p;
}

static void saved_text(const struct run *r, char out[20])
{
	int64_t saved = (now_ms() - r->start_ms) / SAVE_MS * SAVE_MS;

	out[0] = '\0';
	if (r->saves && saved)
		snprintf(out, 20, "%016llx", (unsigned long long)saved);
}

static json_t *lists(void)
{
	json_t *running = json_array();
	json_t *finished = json_array();
	char saved[20];
	int n = 0;

	for (struct run *r = worker.runs; r; r = r->next) {
		saved_text(r, saved);
		json_array_append_new(running, json_pack("[s,I,s,i,i]", r->task,
							 (json_int_t)r->number,
							 saved, 100, 100));
	}
	for (struct end *e = worker.ends; e && n < ENDS_MAX; e = e->next, n++)
		json_array_append_new(finished,
				      json_pack("[I,s,I,s,s]", (json_int_t)e->n,
						e->task, (json_int_t)e->run,
						e->how, e->saved));
	return json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
			 (json_int_t)worker_clock(), "born",
			 (json_int_t)worker.born_ms, "running", running,
			 "finished", finished);
}

static void answer_holds(bool all)
{
	struct waiting_hold **p = &worker.holds;

	while (*p) {
		struct waiting_hold *h = *p;

		if (!all && h->until_ms > now_ms()) {
			p = &h->next;
			continue;
		}
		*p = h->next;
		reply_json(h->req, 200, lists());
		free(h);
	}
}

static void end_run(struct run *r, const char *how)
{
	struct end *e = must(calloc(1, sizeof(*e)));
	struct run **p = &worker.runs;
	struct end **tail = &worker.ends;
	struct past *past = past_get(r->task);

	while (*p != r)
		p = &(*p)->next;
	*p = r->next;
	e->n = ++worker.n_ends;
	memcpy(e->task, r->task, sizeof(e->task));
	e->run = r->number;
	e->how = how;
	saved_text(r, e->saved);
	while (*tail)
		tail = &(*tail)->next;
	*tail = e;
	if (past->run < r->number)
		past->run = r->number;
	note("%s: %s run %lld ends %s", worker.id, r->task,
	     (long long)r->number, how);
	free(r);
}

static void on_worker_tick(evutil_socket_t fd, short what, void *ctx)
{
	bool lapsed = worker_clock() >= worker.lease_until_ms;
	int64_t ends = worker.n_ends;
	struct run *next;

	(void)fd;
	(void)what;
	(void)ctx;
	for (struct run *r = worker.runs; r; r = next) {
		next = r->next;
		if (lapsed)
			end_run(r, "lapsed");
		else if (r->end_ms && now_ms() >= r->end_ms)
			end_run(r, "stopped");
		else if (r->work_ms && now_ms() - r->start_ms >= r->work_ms)
			end_run(r, "done");
	}
	answer_holds(worker.n_ends != ends);
}

static void refuse(struct evhttp_request *req, const char *reason)
{
	reply_json(req, 409,
		   json_pack("{s:I,s:s}", "clockMs", (json_int_t)worker_clock(),
			     "reason", reason));
}

static void take_lease(int64_t until_ms)
{
	const char *max = getenv("HOLD_MAX_MS");
	int64_t longest = worker_clock() + (max ? atoll(max) : HOLD_MAX_MS);

	if (until_ms > longest)
		until_ms = longest;
	if (until_ms > worker.lease_until_ms)
		worker.lease_until_ms = until_ms;
}

static int64_t member(const json_t *o, const char *name)
{
	return json_integer_value(json_object_get(o, name));
}

static int64_t spec_number(const char *spec, const char *name)
{
	const char *p = spec ? strstr(spec, name) : NULL;

	return p ? atoll(p + strlen(name)) : 0;
}

static void reply_clock(struct evhttp_request *req)
{
	reply_json(req, 200,
		   json_pack("{s:I}", "clockMs", (json_int_t)worker_clock()));
}

static void start_run(struct evhttp_request *req, const json_t *o)
{
	const char *task = json_string_value(json_object_get(o, "task"));
	const char *spec = json_string_value(json_object_get(o, "spec"));
	int64_t number = member(o, "run");
	struct run *r = worker.runs;

	if (member(o, "untilMs") <= worker_clock()) {
		refuse(req, "late");
		return;
	}
	take_lease(member(o, "untilMs"));
	while (r && (strcmp(r->task, task) || r->number != number))
		r = r->next;
	if (r) {
		reply_clock(req);
		return;
	}
	if (past_get(task)->run >= number) {
		refuse(req, "old");
		return;
	}
	r = must(calloc(1, sizeof(*r)));
	snprintf(r->task, sizeof(r->task), "%s", task);
	r->number = number;
	r->start_ms = now_ms();
	r->work_ms = spec_number(spec, "ms=");
	r->saves = spec_number(spec, "save=");
	r->next = worker.runs;
	worker.runs = r;
	note("%s: %s run %lld begins", worker.id, task, (long long)number);
	reply_clock(req);
}

static void stop_run(struct evhttp_request *req, const json_t *o)
{
	const char *task = json_string_value(json_object_get(o, "task"));
	int64_t number = member(o, "run");
	struct past *p = past_get(task);

	if (p->run < number)
		p->run = number;
	for (struct run *r = worker.runs; r; r = r->next) {
		if (!strcmp(r->task, task) && r->number <= number && !r->end_ms)
			r->end_ms = now_ms() + STOP_MS;
	}
	reply_clock(req);
}

static void hold(struct evhttp_request *req, const json_t *o)
{
	int64_t wait_ms = member(o, "waitMs");
	struct waiting_hold *h;

	if (json_object_get(o, "untilMs"))
		take_lease(member(o, "untilMs"));
	while (worker.ends && worker.ends->n <= member(o, "ackPosition")) {
		struct end *e = worker.ends;

		worker.ends = e->next;
		free(e);
	}
	if (!wait_ms || worker.ends) {
		reply_json(req, 200, lists());
		return;
	}
	h = must(calloc(1, sizeof(*h)));
	h->req = req;
	h->until_ms = now_ms() + wait_ms;
	h->next = worker.holds;
	worker.holds = h;
}

static void on_hold_closed(struct evhttp_connection *conn, void *ctx)
{
	struct waiting_hold **p = &worker.holds;

	(void)ctx;
	while (*p) {
		struct waiting_hold *h = *p;

		if (evhttp_request_get_connection(h->req) != conn) {
			p = &h->next;
			continue;
		}
		*p = h->next;
		free(h);
	}
}

static void on_worker_request(struct evhttp_request *req, void *ctx)
{
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	const char *expected = evhttp_find_header(
		evhttp_request_get_input_headers(req), "X-Expect-Instance");
	json_t *o;

	(void)ctx;
	no_delay(req);
	evhttp_connection_set_closecb(evhttp_request_get_connection(req),
				      on_hold_closed, NULL);
	if (!strcmp(path, "/healthz")) {
		evhttp_send_reply(req, 200, NULL, NULL);
		return;
	}
	if (expected && strcmp(expected, worker.id)) {
		evhttp_send_reply(req, 421, NULL, NULL);
		return;
	}
	o = request_json(req);
	if (!o) {
		evhttp_send_reply(req, 400, NULL, NULL);
		return;
	}
	if (member(o, "fencingToken") < worker.fence) {
		refuse(req, "fence");
	} else {
		worker.fence = member(o, "fencingToken");
		if (!strcmp(path, "/hold"))
			hold(req, o);
		else if (!strcmp(path, "/run-start"))
			start_run(req, o);
		else if (!strcmp(path, "/run-stop"))
			stop_run(req, o);
		else
			evhttp_send_reply(req, 404, NULL, NULL);
	}
	json_decref(o);
}

static void on_check_in_done(struct evhttp_request *req, void *ctx)
{
	(void)req;
	(void)ctx;
}

static void check_in(void)
{
	static struct evhttp_connection *conn;
	struct evhttp_request *req = evhttp_request_new(on_check_in_done, NULL);
	char address[32];
	char path[96];
	char *text;
	json_t *o;

	if (!conn)
		conn = evhttp_connection_base_new(base, NULL, "127.0.0.1",
						  (uint16_t)worker.store_port);
	snprintf(address, sizeof(address), "127.0.0.1:%d", worker.port);
	snprintf(path, sizeof(path), "/check-in?key=%s", worker.id);
	o = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],"
		      "s:I,s:I,s:I}",
		      "service", "svc", "address", address, "zone", worker.zone,
		      "version", "v1", "slots", 8, "state", "ready",
		      "coldRemainingMs", 0, "capacity", "cpu", worker.cpu,
		      "memMb", worker.mem_mb, "gpu", 0, "labels", "a",
		      worker.rack, "clockMs", (json_int_t)worker_clock(),
		      "born", (json_int_t)worker.born_ms, "seq",
		      (json_int_t)++worker.beats);
	text = json_dumps(o, JSON_COMPACT);
	evbuffer_add(evhttp_request_get_output_buffer(req), text, strlen(text));
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
			  "store");
	evhttp_make_request(conn, req, EVHTTP_REQ_POST, path);
	free(text);
	json_decref(o);
}

static void on_worker_beat(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	(void)ctx;
	check_in();
}

static void every(int64_t ms, event_callback_fn fn)
{
	struct timeval tv = { (time_t)(ms / 1000),
			      (suseconds_t)(ms % 1000 * 1000) };

	event_add(event_new(base, -1, EV_PERSIST, fn, NULL), &tv);
}

static int worker_main(char **args)
{
	worker.id = args[0];
	worker.port = atoi(args[1]);
	worker.store_port = atoi(args[2]);
	open_record(args[3]);
	worker.zone = args[4];
	worker.rack = args[5];
	worker.cpu = atoi(args[6]);
	worker.mem_mb = atoi(args[7]);
	worker.born_ms = wall_ms();
	worker.started_ms = now_ms();
	listen_on(worker.port, on_worker_request);
	check_in();
	every(10, on_worker_tick);
	every(BEAT_MS, on_worker_beat);
	event_base_dispatch(base);
	return 0;
}

/* ---- a call ---- */

struct call {
	int status;
	char *body;
};

static void on_called(struct evhttp_request *req, void *ctx)
{
	struct call *c = ctx;
	struct evbuffer *in;
	size_t n;

	if (req && evhttp_request_get_response_code(req)) {
		in = evhttp_request_get_input_buffer(req);
		n = evbuffer_get_length(in);
		c->status = evhttp_request_get_response_code(req);
		c->body = must(calloc(1, n + 1));
		evbuffer_remove(in, c->body, n);
	}
	event_base_loopbreak(base);
}

/* Prints the status, 0 without an answer, and the body. */
static int call_main(int n, char **args)
{
	enum evhttp_cmd_type method = !strcmp(args[0], "POST") ? EVHTTP_REQ_POST
				      : !strcmp(args[0], "DELETE")
					      ? EVHTTP_REQ_DELETE
					      : EVHTTP_REQ_GET;
	struct evhttp_connection *conn = evhttp_connection_base_new(
		base, NULL, "127.0.0.1", (uint16_t)atoi(args[1]));
	struct call c = { 0, NULL };
	struct evhttp_request *req = evhttp_request_new(on_called, &c);
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);
	int64_t timeout_ms = n > 5 ? atoll(args[5]) : 3000;
	struct timeval tv = { (time_t)(timeout_ms / 1000),
			      (suseconds_t)(timeout_ms % 1000 * 1000) };
	char text[160];

	evhttp_add_header(h, "Host", n > 3 ? args[3] : "test.example");
	if (n > 4 && *args[4]) {
		snprintf(text, sizeof(text), "Token %s", args[4]);
		evhttp_add_header(h, "Authorization", text);
	}
	snprintf(text, sizeof(text), "%lld", (long long)timeout_ms);
	evhttp_add_header(h, "X-Deadline-Ms", text);
	evhttp_add_header(h, "Connection", "close");
	if (n > 6) {
		evhttp_add_header(h, "Content-Type", "application/json");
		evbuffer_add(evhttp_request_get_output_buffer(req), args[6],
			     strlen(args[6]));
	}
	evhttp_connection_set_timeout_tv(conn, &tv);
	evhttp_make_request(conn, req, method, args[2]);
	event_base_dispatch(base);
	printf("%d %s\n", c.status, c.body ? c.body : "");
	return 0;
}

/* Prints free ports of the loopback address. */
static int ports_main(int n)
{
	for (int i = 0; i < n; i++) {
		struct sockaddr_in at = { .sin_family = AF_INET };
		socklen_t len = sizeof(at);
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (fd < 0 || bind(fd, (struct sockaddr *)&at, len) ||
		    getsockname(fd, (struct sockaddr *)&at, &len))
			return 2;
		printf("%d\n", ntohs(at.sin_port));
	}
	return 0;
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	base = event_base_new();
	if (argc == 4 && !strcmp(argv[1], "store"))
		return store_main(argv + 2);
	if (argc == 10 && !strcmp(argv[1], "worker"))
		return worker_main(argv + 2);
	if (argc == 3 && !strcmp(argv[1], "ports"))
		return ports_main(atoi(argv[2]));
	if (argc >= 5 && !strcmp(argv[1], "call"))
		return call_main(argc - 2, argv + 2);
	fprintf(stderr, "usage: box store|worker|call ...\n");
	return 2;
}
