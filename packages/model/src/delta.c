#include "vh/delta.h"

/* A group of a canonical text; at the end of it header is empty. */
struct group {
	struct vh_slice text;	/* header line and key lines */
	struct vh_slice header; /* without brackets */
	struct vh_slice keys;	/* key lines */
};

/* Reads groups one after another; ok is false after a malformed one. */
struct reader {
	struct vh_slice rest;
	struct group now;
	bool ok;
};

static size_t line_len(struct vh_slice text)
{
	const char *end = text.len ? memchr(text.data, '\n', text.len) : NULL;

	return end ? (size_t)(end - text.data) + 1 : text.len;
}

static struct vh_slice tail(struct vh_slice s, size_t from)
{
	return vh_slice(s.data ? s.data + from : NULL, s.len - from);
}

static void reader_next(struct reader *r)
{
	struct vh_slice last = r->now.header;
	size_t head = line_len(r->rest);
	size_t len = head;

	memset(&r->now, 0, sizeof(r->now));
	if (!r->rest.len)
		return;
	if (head < 4 || r->rest.data[0] != '[' ||
	    r->rest.data[head - 2] != ']' || r->rest.data[head - 1] != '\n') {
		r->ok = false;
		r->rest.len = 0;
		return;
	}
	while (len < r->rest.len && r->rest.data[len] != '[')
		len += line_len(tail(r->rest, len));
	r->now.text = vh_slice(r->rest.data, len);
	r->now.header = vh_slice(r->rest.data + 1, head - 3);
	r->now.keys = vh_slice(r->rest.data + head, len - head);
	r->rest = tail(r->rest, len);
	/* removals are marked by a leading minus, which does not sort */
	if (r->now.header.data[0] == '-')
		r->now.header = tail(r->now.header, 1);
	if (!r->now.header.len)
		r->ok = false;
	if (last.len && vh_slice_cmp(last, r->now.header) >= 0)
		r->ok = false;
}

static void reader_init(struct reader *r, struct vh_slice text)
{
	memset(r, 0, sizeof(*r));
	r->rest = text;
	r->ok = true;
	reader_next(r);
}

/* Order of the readers' present groups; the end sorts last. */
static int reader_cmp(const struct reader *a, const struct reader *b)
{
	if (!a->now.header.len || !b->now.header.len)
		return !a->now.header.len - !b->now.header.len;
	return vh_slice_cmp(a->now.header, b->now.header);
}

const char *vh_change_name(enum vh_change change)
{
	static const char *const names[] = { "added", "removed", "changed" };

	return names[change];
}

void vh_objects_diff(struct vh_slice from, struct vh_slice to,
		     void (*fn)(void *ctx, const struct vh_group_change *c),
		     void *ctx)
{
	struct reader a;
	struct reader b;

	reader_init(&a, from);
	reader_init(&b, to);
	while (a.now.header.len || b.now.header.len) {
		int order = reader_cmp(&a, &b);
		struct vh_group_change c = { .change = VH_CHANGE_CHANGED };

		if (order <= 0) {
			c.group = a.now.header;
			c.from = a.now.keys;
		}
		if (order >= 0) {
			c.group = b.now.header;
			c.to = b.now.keys;
		}
		if (order < 0)
			c.change = VH_CHANGE_REMOVED;
		else if (order > 0)
			c.change = VH_CHANGE_ADDED;
		if (order || !vh_slice_eq(c.from, c.to))
			fn(ctx, &c);
		if (order <= 0)
			reader_next(&a);
		if (order >= 0)
			reader_next(&b);
	}
}

static void add_change(void *ctx, const struct vh_group_change *c)
{
	struct vh_buf *delta = ctx;
	bool removed = c->change == VH_CHANGE_REMOVED;

	vh_buf_printf(delta, "[%s%.*s]\n", removed ? "-" : "",
		      VH_SLICE_ARGS(c->group));
	if (!removed)
		vh_buf_add_slice(delta, c->to);
}

void vh_objects_delta_make(struct vh_slice from, struct vh_slice to,
			   struct vh_buf *delta)
{
	vh_objects_diff(from, to, add_change, delta);
}

static bool is_removal(const struct group *g)
{
	return g->text.len > 1 && g->text.data[1] == '-';
}

bool vh_objects_delta_apply(struct vh_slice from, struct vh_slice delta,
			    struct vh_buf *to)
{
	size_t len_before = to->len;
	struct reader a;
	struct reader d;
	bool ok = true;

	reader_init(&a, from);
	reader_init(&d, delta);
	while (ok && (a.now.header.len || d.now.header.len)) {
		int order = reader_cmp(&a, &d);

		if (order < 0)
			vh_buf_add_slice(to, a.now.text);
		else if (!is_removal(&d.now))
			vh_buf_add_slice(to, d.now.text);
		else if (order > 0 || d.now.keys.len)
			ok = false;
		if (order <= 0)
			reader_next(&a);
		if (order >= 0)
			reader_next(&d);
	}
	ok = ok && a.ok && d.ok;
	if (!ok)
		to->len = len_before;
	return ok;
}
