#include "internal.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/*
 * The platform's store: topics with one partition, of which the keyed ones keep
 * the newest record of each key. It answers after ANSWER_MS, plus twice the
 * distance of the node that calls.
 */
#define ANSWER_MS 4
#define TOPICS_MAX 16
#define PAGE_ITEMS 500
#define PAGE_BYTES (1 << 20)
#define READ_RECORDS 1024
#define RECORD_BYTES 262144
#define CALL_BYTES 2097152

struct record {
	char key[256];
	size_t key_len;
	unsigned char *value;
	size_t len;
};

struct item {
	char *key;
	size_t record; /* its offset */
};

struct topic {
	char name[64];
	struct record *records;
	size_t n;
	size_t room;
	struct item *items; /* sorted by key */
	size_t n_items;
	size_t items_room;
	bool down;
	uint64_t epoch;
	uint64_t seq;
	bool has_seq;
	uint64_t done_seq[5];
	uint64_t done_offset[5];
	unsigned int n_done;
};

struct waiting_read {
	struct evhttp_request *req;
	struct topic *topic;
	uint64_t from;
	unsigned int delay_ms;
	struct event *timer;
	struct waiting_read *next;
};

static struct topic topics[TOPICS_MAX];
static size_t n_topics;
static struct waiting_read *waiting;

static struct topic *topic_find(const char *name, bool create)
{
	for (size_t i = 0; i < n_topics; i++) {
		if (!strcmp(topics[i].name, name))
			return &topics[i];
	}
	if (!create || n_topics == TOPICS_MAX)
		return NULL;
	snprintf(topics[n_topics].name, sizeof(topics[0].name), "%s", name);
	return &topics[n_topics++];
}

/* Position of the first item whose key is not less than @key. */
static size_t item_position(const struct topic *t, const char *key)
{
	size_t low = 0;
	size_t high = t->n_items;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (strcmp(t->items[middle].key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static void topic_add(struct topic *t, const char *key, size_t key_len,
		      const void *value, size_t len)
{
	struct record *r;
	size_t at;
	bool known;

	if (t->n == t->room) {
		t->room = t->room ? 2 * t->room : 1024;
		t->records = realloc(t->records, t->room * sizeof(*r));
	}
	r = &t->records[t->n++];
	memcpy(r->key, key, key_len);
	r->key[key_len] = '\0';
	r->key_len = key_len;
	r->value = malloc(len + 1);
	memcpy(r->value, value, len);
	r->len = len;
	at = item_position(t, r->key);
	known = at < t->n_items && !strcmp(t->items[at].key, r->key);
	if (known && len) {
		t->items[at].record = t->n - 1;
	} else if (known) {
		free(t->items[at].key);
		memmove(&t->items[at], &t->items[at + 1],
			(t->n_items - at - 1) * sizeof(*t->items));
		t->n_items--;
	} else if (len) {
		if (t->n_items == t->items_room) {
			t->items_room =
				t->items_room ? 2 * t->items_room : 1024;
			t->items = realloc(t->items,
					   t->items_room * sizeof(*t->items));
		}
		memmove(&t->items[at + 1], &t->items[at],
			(t->n_items - at) * sizeof(*t->items));
		t->items[at].key = strdup(r->key);
		t->items[at].record = t->n - 1;
		t->n_items++;
	}
}

static void put_be(struct evbuffer *out, uint64_t v, int bytes)
{
	unsigned char b[8];

	for (int i = 0; i < bytes; i++)
		b[i] = (unsigned char)(v >> 8 * (bytes - 1 - i));
	evbuffer_add(out, b, (size_t)bytes);
}

static void reply_records(struct evhttp_request *req, struct topic *t,
			  uint64_t from, unsigned int delay_ms)
{
	struct evbuffer *out = evbuffer_new();

	put_be(out, t->n, 8);
	put_be(out, 0, 8);
	for (uint64_t i = from; i < t->n && i < from + READ_RECORDS; i++) {
		const struct record *r = &t->records[i];

		put_be(out, 1 + r->key_len + r->len, 4);
		put_be(out, r->key_len, 1);
		evbuffer_add(out, r->key, r->key_len);
		evbuffer_add(out, r->value, r->len);
	}
	http_reply_later(req, 200, out, delay_ms);
}

static void waiting_end(struct waiting_read *w)
{
	struct waiting_read **p = &waiting;

	while (*p != w)
		p = &(*p)->next;
	*p = w->next;
	event_free(w->timer);
	reply_records(w->req, w->topic, w->from, w->delay_ms);
	free(w);
}

static void on_wait_over(evutil_socket_t fd, short events, void *ctx)
{
	(void)fd;
	(void)events;
	pthread_mutex_lock(&lock);
	waiting_end(ctx);
	pthread_mutex_unlock(&lock);
}

static void wake_readers(const struct topic *t)
{
	struct waiting_read *next;

	for (struct waiting_read *w = waiting; w; w = next) {
		next = w->next;
		if (w->topic == t && w->from < t->n)
			waiting_end(w);
	}
}

static const char *param(const struct evkeyvalq *query, const char *name)
{
	return evhttp_find_header(query, name);
}

static uint64_t number(const struct evkeyvalq *query, const char *name)
{
	const char *v = param(query, name);

	return v ? strtoull(v, NULL, 10) : 0;
}

static void reply_json(struct evhttp_request *req, int status,
		       unsigned int delay_ms, const char *format, ...)
{
	struct evbuffer *out = evbuffer_new();
	va_list args;

	va_start(args, format);
	evbuffer_add_vprintf(out, format, args);
	va_end(args);
	http_reply_later(req, status, out, delay_ms);
}

/* Adds the records of a call's body; false: malformed. */
static bool add_records(struct topic *t, const unsigned char *p, size_t n)
{
	while (n) {
		uint32_t len;

		if (n < 4)
			return false;
		memcpy(&len, p, 4);
		len = ntohl(len);
		if (len > n - 4 || len > RECORD_BYTES || !len ||
		    (size_t)p[4] + 1 > len)
			return false;
		topic_add(t, (const char *)p + 5, p[4], p + 5 + p[4],
			  len - 1 - p[4]);
		p += 4 + len;
		n -= 4 + len;
	}
	return true;
}

/* Checks the producer's epoch and sequence number. Returns true if the call was
 * answered. */
static bool check_producer(struct topic *t, struct evhttp_request *req,
			   uint64_t epoch, uint64_t seq, bool empty,
			   unsigned int delay_ms)
{
	if (epoch < t->epoch) {
		reply_json(req, 409, delay_ms, "{\"reason\":\"fenced\"}");
		return true;
	}
	if (epoch > t->epoch) {
		t->epoch = epoch;
		t->has_seq = false;
		t->n_done = 0;
	}
	if (empty) {
		t->seq = seq;
		t->has_seq = true;
		reply_json(req, 200, delay_ms, "{\"offset\":%zu,\"end\":%zu}",
			   t->n, t->n);
		return true;
	}
	for (unsigned int i = 0; i < 5 && i < t->n_done; i++) {
		if (t->done_seq[i] == seq) {
			reply_json(req, 200, delay_ms,
				   "{\"offset\":%" PRIu64 ",\"end\":%zu}",
				   t->done_offset[i], t->n);
			return true;
		}
	}
	if (t->has_seq && seq != t->seq + 1) {
		reply_json(req, 409, delay_ms,
			   "{\"reason\":\"seq\",\"seq\":%" PRIu64 "}",
			   t->seq + 1);
		return true;
	}
	t->seq = seq;
	t->has_seq = true;
	t->done_seq[t->n_done % 5] = seq;
	t->done_offset[t->n_done % 5] = t->n;
	t->n_done++;
	return false;
}

static void append(struct evhttp_request *req, const struct evkeyvalq *query,
		   unsigned int delay_ms)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	const unsigned char *body = evbuffer_pullup(in, -1);
	const char *at = param(query, "at");
	struct topic *t = topic_find(param(query, "topic"), true);
	size_t first;

	if (t->down)
		return; /* it never answers */
	if (len > CALL_BYTES) {
		reply_json(req, 413, delay_ms, "{}");
		return;
	}
	if (at && strtoull(at, NULL, 10) != t->n) {
		reply_json(req, 412, delay_ms, "{\"end\":%zu}", t->n);
		return;
	}
	if (param(query, "producer") &&
	    check_producer(t, req, number(query, "epoch"), number(query, "seq"),
			   !len, delay_ms))
		return;
	first = t->n;
	if (!add_records(t, body, len)) {
		reply_json(req, 400, delay_ms, "{}");
		return;
	}
	reply_json(req, 200, delay_ms, "{\"offset\":%zu,\"end\":%zu}", first,
		   t->n);
	wake_readers(t);
}

static void read_records(struct evhttp_request *req,
			 const struct evkeyvalq *query, unsigned int delay_ms)
{
	struct topic *t = topic_find(param(query, "topic"), true);
	uint64_t from = number(query, "from");
	uint64_t wait = number(query, "waitMs");
	struct waiting_read *w;
	struct timeval tv = { (time_t)(wait / 1000),
			      (suseconds_t)(wait % 1000 * 1000) };

	if (t->down)
		return; /* it never answers */
	if (from < t->n || !wait) {
		reply_records(req, t, from, delay_ms);
		return;
	}
	w = calloc(1, sizeof(*w));
	w->req = req;
	w->topic = t;
	w->from = from;
	w->delay_ms = delay_ms;
	w->timer = evtimer_new(base, on_wait_over, w);
	w->next = waiting;
	waiting = w;
	evtimer_add(w->timer, &tv);
}

static char *base64(const unsigned char *p, size_t n)
{
	static const char digits[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnop"
		"qrstuvwxyz0123456789+/";
	char *out = malloc((n + 2) / 3 * 4 + 1);
	char *o = out;

	for (size_t i = 0; i < n; i += 3) {
		uint32_t v = (uint32_t)p[i] << 16 |
			     (i + 1 < n ? (uint32_t)p[i + 1] << 8 : 0) |
			     (i + 2 < n ? p[i + 2] : 0);

		*o++ = digits[v >> 18];
		*o++ = digits[v >> 12 & 63];
		*o++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
		*o++ = i + 2 < n ? digits[v & 63] : '=';
	}
	*o = '\0';
	return out;
}

static void newest(struct evhttp_request *req, const struct evkeyvalq *query,
		   unsigned int delay_ms)
{
	struct topic *t = topic_find(param(query, "topic"), false);
	const char *after = param(query, "dependsOn");
	struct evbuffer *out;
	size_t bytes = 0;
	size_t i;
	size_t n = 0;

	if (!t) {
		reply_json(req, 404, delay_ms, "{}");
		return;
	}
	if (t->down)
		return; /* it never answers */
	out = evbuffer_new();
	i = after ? item_position(t, after) : 0;
	if (after && i < t->n_items && !strcmp(t->items[i].key, after))
		i++;
	evbuffer_add_printf(out, "{\"items\":[");
	for (; i < t->n_items && n < PAGE_ITEMS && bytes < PAGE_BYTES; i++) {
		const struct record *r = &t->records[t->items[i].record];
		char *value = base64(r->value, r->len);

		evbuffer_add_printf(out,
				    "%s{\"key\":\"%s\",\"value\":\"%s\","
				    "\"offset\":%zu}",
				    n++ ? "," : "", r->key, value,
				    t->items[i].record);
		bytes += r->len;
		free(value);
	}
	evbuffer_add_printf(out, "],\"more\":%s,\"end\":%zu}",
			    i < t->n_items ? "true" : "false", t->n);
	http_reply_later(req, 200, out, delay_ms);
}

void store_request(struct evhttp_request *req, void *ctx)
{
	const struct store_port *port = ctx;
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = evhttp_uri_get_path(uri);
	unsigned int delay_ms = ANSWER_MS + 2 * port->far_ms;
	struct evkeyvalq query;

	http_no_delay(req);
	pthread_mutex_lock(&lock);
	evhttp_parse_query_str(evhttp_uri_get_query(uri), &query);
	if (!param(&query, "topic"))
		evhttp_send_reply(req, 400, NULL, NULL);
	else if (!strcmp(path, "/log-append"))
		append(req, &query, delay_ms);
	else if (!strcmp(path, "/log-read"))
		read_records(req, &query, delay_ms);
	else if (!strcmp(path, "/log-newest"))
		newest(req, &query, delay_ms);
	else
		evhttp_send_reply(req, 404, NULL, NULL);
	evhttp_clear_headers(&query);
	pthread_mutex_unlock(&lock);
}

void store_put(const char *topic, const char *key, const void *value,
	       size_t len)
{
	struct topic *t = topic_find(topic, true);

	topic_add(t, key, strlen(key), value, len);
	wake_readers(t);
}

void cell_store_add(const char *topic, const char *key, const void *value,
		    size_t len)
{
	pthread_mutex_lock(&lock);
	topic_add(topic_find(topic, true), key, strlen(key), value, len);
	pthread_mutex_unlock(&lock);
}

void cell_store_down(const char *topic, bool down)
{
	pthread_mutex_lock(&lock);
	topic_find(topic, true)->down = down;
	pthread_mutex_unlock(&lock);
	cell_record("store: the partition of %s is %s", topic,
		    down ? "down and silent" : "up again");
}

size_t cell_store_keys(const char *topic, const char *prefix)
{
	const struct topic *t;
	size_t n = 0;

	pthread_mutex_lock(&lock);
	t = topic_find(topic, true);
	for (size_t i = 0; i < t->n_items; i++)
		n += !strncmp(t->items[i].key, prefix, strlen(prefix));
	pthread_mutex_unlock(&lock);
	return n;
}

int cell_store_value(const char *topic, const char *key, void *out, size_t size)
{
	const struct topic *t;
	size_t at;
	int len = -1;

	pthread_mutex_lock(&lock);
	t = topic_find(topic, true);
	at = item_position(t, key);
	if (at < t->n_items && !strcmp(t->items[at].key, key)) {
		const struct record *r = &t->records[t->items[at].record];

		len = (int)(r->len < size ? r->len : size);
		memcpy(out, r->value, (size_t)len);
	}
	pthread_mutex_unlock(&lock);
	return len;
}

bool cell_store_has(const char *topic, const char *key)
{
	char byte;

	return cell_store_value(topic, key, &byte, 1) >= 0;
}
