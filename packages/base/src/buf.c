#include "vh/buf.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>

#define BUF_MIN_CAP 64

void vh_buf_init(struct vh_buf *buf)
{
	memset(buf, 0, sizeof(*buf));
}

void vh_buf_finish(struct vh_buf *buf)
{
	g_free(buf->data);
	vh_buf_init(buf);
}

void vh_buf_clear(struct vh_buf *buf)
{
	buf->len = 0;
}

char *vh_buf_reserve(struct vh_buf *buf, size_t n)
{
	size_t need = buf->len + n;

	if (need > buf->cap) {
		size_t cap = buf->cap ? buf->cap : BUF_MIN_CAP;

		while (cap < need)
			cap *= 2;
		buf->data = g_realloc(buf->data, cap);
		buf->cap = cap;
	}
	return buf->data + buf->len;
}

void vh_buf_add(struct vh_buf *buf, const void *data, size_t len)
{
	if (!len)
		return;
	memcpy(vh_buf_reserve(buf, len), data, len);
	buf->len += len;
}

void vh_buf_add_slice(struct vh_buf *buf, struct vh_slice s)
{
	vh_buf_add(buf, s.data, s.len);
}

void vh_buf_add_str(struct vh_buf *buf, const char *str)
{
	vh_buf_add(buf, str, strlen(str));
}

void vh_buf_printf(struct vh_buf *buf, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n <= 0)
		return;
	vh_buf_reserve(buf, (size_t)n + 1);
	va_start(ap, fmt);
	vsnprintf(buf->data + buf->len, (size_t)n + 1, fmt, ap);
	va_end(ap);
	buf->len += (size_t)n;
}

void vh_buf_consume(struct vh_buf *buf, size_t n)
{
	if (n >= buf->len) {
		buf->len = 0;
		return;
	}
	memmove(buf->data, buf->data + n, buf->len - n);
	buf->len -= n;
}
