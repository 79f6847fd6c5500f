#include "vh/delta.h"

/* A group of a canonical text; header is empty at the end of the text. */
struct group {
	struct vh_slice text;	/* header line and key lines */
	struct vh_slice header; /* without brackets */
	struct vh_slice keys;	/* key lines */
};

/* Iterates over the groups of a text; ok is false after a malformed one. */
struct group_reader {
	struct vh_slice rest;
	struct group cur;
	bool ok;
};

static size_t line_len(struct vh_slice text)
{
	const char *end = text.len ? memchr(text.data, '\n', text.len) : NULL;

	return end ? (size_t)(end - text.data) + 1 : text.len;
}

static struct vh_slice slice_from(struct vh_slice s, size_t from)
{
	return vh_slice(s.data ? s.data + from : NULL, s.len - from);
}

static void reader_next(struct group_reader *r)
{
	struct vh_slice prev_header = r->cur.header;
	size_t header_len = line_len(r->rest);
	size_t len = header_len;

	memset(&r->cur, 0, sizeof(r->cur));
	if (!r->rest.len)
		return;
	if (header_len < 4 || r->rest.data[0] != '[' ||
	    r->rest.data[header_len - 2] != ']' ||
	    r->rest.data[header_len - 1] != '\n') {
		r->ok = false;
		r->rest.len = 0;
		return;
	}
	while (len < r->rest.len && r->rest.data[len] != '[')
		len += line_len(slice_from(r->rest, len));
	r->cur.text = vh_slice(r->rest.data, len);
	r->cur.header = vh_slice(r->rest.data + 1, header_len - 3);
	r->cur.keys = vh_slice(r->rest.data + header_len, len - header_len);
	r->rest = slice_from(r->rest, len);
	/* the minus that marks a removal is not part of the sort key */
	if (r->cur.header.data[0] == '-')
		r->cur.header = slice_from(r->cur.header, 1);
	if (!r->cur.header.len)
		r->ok = false;
	if (prev_header.len && vh_slice_cmp(prev_header, r->cur.header) >= 0)
		r->ok = false;
}

static void reader_init(struct group_reader *r, struct vh_slice text)
{
	memset(r, 0, sizeof(*r));
	r->rest = text;
	r->ok = true;
	reader_next(r);
}

/* Compares the current groups of two readers; the end of a text sorts last. */
static int reader_cmp(const struct group_reader *a,
		      const struct group_reader *b)
{
	if (!a->cur.header.len || !b->cur.header.len)
		return !a->cur.header.len - !b->cur.header.len;
	return vh_slice_cmp(a->cur.header, b->cur.header);
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
	struct group_reader a;
	struct group_reader b;

	reader_init(&a, from);
	reader_init(&b, to);
	while (a.cur.header.len || b.cur.header.len) {
		int cmp = reader_cmp(&a, &b);
		struct vh_group_change c = { .change = VH_CHANGE_CHANGED };

		if (cmp <= 0) {
			c.group = a.cur.header;
			c.from = a.cur.keys;
		}
		if (cmp >= 0) {
			c.group = b.cur.header;
			c.to = b.cur.keys;
		}
		if (cmp < 0)
			c.change = VH_CHANGE_REMOVED;
		else if (cmp > 0)
			c.change = VH_CHANGE_ADDED;
		if (cmp || !vh_slice_eq(c.from, c.to))
			fn(ctx, &c);
		if (cmp <= 0)
			reader_next(&a);
		if (cmp >= 0)
			reader_next(&b);
	}
}

static void append_change(void *ctx, const struct vh_group_change *c)
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
	vh_objects_diff(from, to, append_change, delta);
}

static bool is_removal(const struct group *g)
{
	return g->text.len > 1 && g->text.data[1] == '-';
}

bool vh_objects_delta_apply(struct vh_slice from, struct vh_slice delta,
			    struct vh_buf *to)
{
	size_t len_before = to->len;
	struct group_reader a;
	struct group_reader d;
	bool ok = true;

	reader_init(&a, from);
	reader_init(&d, delta);
	while (ok && (a.cur.header.len || d.cur.header.len)) {
		int cmp = reader_cmp(&a, &d);

		if (cmp < 0)
			vh_buf_add_slice(to, a.cur.text);
		else if (!is_removal(&d.cur))
			vh_buf_add_slice(to, d.cur.text);
		else if (cmp > 0 || d.cur.keys.len)
			ok = false;
		if (cmp <= 0)
			reader_next(&a);
		if (cmp >= 0)
			reader_next(&d);
	}
	ok = ok && a.ok && d.ok;
	if (!ok)
		to->len = len_before;
	return ok;
}
