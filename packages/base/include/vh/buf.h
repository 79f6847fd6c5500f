#ifndef VH_BUF_H
#define VH_BUF_H

/*
 * Growable byte buffers, for output whose size is not known in advance. Most
 * packages and the adapter in platform/ build text and serialized records in
 * them.
 */

#include "vh/slice.h"

/**
 * struct vh_buf - a growable byte buffer that owns its memory
 * @data: the bytes, not NUL-terminated
 * @len: bytes in use
 * @cap: bytes allocated
 *
 * A zeroed struct is an empty buffer. vh_buf_finish() frees the memory. As
 * everywhere in this program, a failed allocation aborts the process.
 */
struct vh_buf {
	char *data;
	size_t len;
	size_t cap;
};

void vh_buf_init(struct vh_buf *buf);
void vh_buf_finish(struct vh_buf *buf);

/* vh_buf_clear - sets the length to 0 and keeps the allocated memory */
void vh_buf_clear(struct vh_buf *buf);

/* vh_buf_reserve - grows the buffer to hold @n more bytes and returns a pointer
 * to them; @len is unchanged */
char *vh_buf_reserve(struct vh_buf *buf, size_t n);

void vh_buf_add(struct vh_buf *buf, const void *data, size_t len);
void vh_buf_add_slice(struct vh_buf *buf, struct vh_slice s);
void vh_buf_add_str(struct vh_buf *buf, const char *str);
void vh_buf_printf(struct vh_buf *buf, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* vh_buf_consume - removes @n bytes from the front */
void vh_buf_consume(struct vh_buf *buf, size_t n);

static inline struct vh_slice vh_buf_slice(const struct vh_buf *buf)
{
	return vh_slice(buf->data, buf->len);
}

#endif
