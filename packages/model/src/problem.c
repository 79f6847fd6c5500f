#include "vh/problem.h"

#include <glib.h>

void vh_problems_init(struct vh_problems *p)
{
	memset(p, 0, sizeof(*p));
}

void vh_problems_finish(struct vh_problems *p)
{
	for (size_t i = 0; i < p->n; i++) {
		g_free(p->items[i].file);
		g_free(p->items[i].group);
		g_free(p->items[i].key);
		g_free(p->items[i].text);
	}
	g_free(p->items);
	vh_problems_init(p);
}

void vh_problems_vadd(struct vh_problems *p, bool warning, const char *file,
		      const char *group, const char *key, const char *fmt,
		      va_list ap)
{
	struct vh_problem *item;

	p->items = g_renew(struct vh_problem, p->items, p->n + 1);
	item = &p->items[p->n++];
	item->file = g_strdup(file);
	item->group = g_strdup(group ? group : "");
	item->key = g_strdup(key);
	item->text = g_strdup_vprintf(fmt, ap);
	item->warning = warning;
	if (!warning)
		p->n_errors++;
}

void vh_problems_add(struct vh_problems *p, bool warning, const char *file,
		     const char *group, const char *key, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vh_problems_vadd(p, warning, file, group, key, fmt, ap);
	va_end(ap);
}

void vh_problems_render(const struct vh_problems *p, struct vh_buf *out)
{
	for (size_t i = 0; i < p->n; i++) {
		const struct vh_problem *item = &p->items[i];

		vh_buf_printf(out, "%s: ", item->file);
		if (*item->group)
			vh_buf_printf(out, "[%s] ", item->group);
		if (item->key)
			vh_buf_printf(out, "%s: ", item->key);
		vh_buf_printf(out, "%s: %s\n",
			      item->warning ? "warning" : "error", item->text);
	}
}
