#include "page_cursor.h"

/* What sorts after all other characters, and after all bytes. */
#define LAST_CHARACTER "\xf4\x8f\xbf\xbf" /* U+10FFFF */
#define LAST_BYTE "\xff"
#define REPLACEMENT "\xef\xbf\xbd" /* U+FFFD */

void page_cursor_init(struct page_cursor *c)
{
	c->after = NULL;
	c->others =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	c->used = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
					(GDestroyNotify)g_bytes_unref, NULL);
}

void page_cursor_finish(struct page_cursor *c)
{
	g_clear_pointer(&c->after, g_bytes_unref);
	g_clear_pointer(&c->others, g_ptr_array_unref);
	g_clear_pointer(&c->used, g_hash_table_unref);
}

void page_cursor_reset(struct page_cursor *c)
{
	g_clear_pointer(&c->after, g_bytes_unref);
	g_ptr_array_set_size(c->others, 0);
	g_hash_table_remove_all(c->used);
}

static struct vh_slice bytes_slice(GBytes *bytes)
{
	gsize len;
	const char *data = g_bytes_get_data(bytes, &len);

	return vh_slice(data, len);
}

struct vh_slice page_cursor_after(const struct page_cursor *c)
{
	return c->after ? bytes_slice(c->after) : vh_slice(NULL, 0);
}

static void add_key(struct page_cursor *c, struct vh_slice key)
{
	if (key.len)
		g_ptr_array_add(c->others, g_bytes_new(key.data, key.len));
}

/* Length of the part of a key that is known to be the store's: up to what is no
 * character, or may stand for what is none. */
static size_t known_len(struct vh_slice key)
{
	const char *replaced =
		g_strstr_len(key.data, (gssize)key.len, REPLACEMENT);
	const char *end = key.data + key.len;

	g_utf8_validate_len(key.data, key.len, &end);
	return (size_t)((replaced && replaced < end ? replaced : end) -
			key.data);
}

/* Keys that sort after all that begin with the known part of @key. */
static void add_guesses(struct page_cursor *c, struct vh_slice key)
{
	static const char *const ends[] = { LAST_CHARACTER, LAST_BYTE };
	size_t len = key.len ? known_len(key) : 0;

	for (size_t i = 0; len < key.len && i < G_N_ELEMENTS(ends); i++) {
		struct vh_buf guess = { 0 };

		vh_buf_add(&guess, key.data, len);
		vh_buf_add_str(&guess, ends[i]);
		add_key(c, vh_buf_slice(&guess));
		vh_buf_finish(&guess);
	}
}

bool page_cursor_try_other(struct page_cursor *c)
{
	while (c->others->len) {
		GBytes *key = g_ptr_array_steal_index(c->others, 0);

		if (!g_hash_table_add(c->used, g_bytes_ref(key))) {
			g_bytes_unref(key);
			continue;
		}
		g_clear_pointer(&c->after, g_bytes_unref);
		c->after = key;
		return true;
	}
	return false;
}

bool page_cursor_advance(struct page_cursor *c,
			 const struct vh_read_reply *page)
{
	g_ptr_array_set_size(c->others, 0);
	if (page->n)
		add_key(c, page->records[page->n - 1].key);
	add_key(c, page->last_key);
	add_guesses(c, page->last_key);
	return page_cursor_try_other(c);
}

static bool ends_with(struct vh_slice s, const char *end)
{
	size_t n = strlen(end);

	return s.len >= n && !memcmp(s.data + s.len - n, end, n);
}

bool page_cursor_skips(const struct page_cursor *c)
{
	struct vh_slice after = page_cursor_after(c);

	return ends_with(after, LAST_CHARACTER) || ends_with(after, LAST_BYTE);
}
