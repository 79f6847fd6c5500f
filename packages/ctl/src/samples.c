#include "samples.h"

#include <math.h>
#include <stdlib.h>

#define BUCKET_SUFFIX "_bucket"

/* Parses NAME{LABELS} VALUE or NAME VALUE; returns false for other lines. */
static bool parse_line(const char *line, struct sample *out)
{
	size_t name = strcspn(line, "{ ");
	const char *labels = line + name;
	const char *value = labels;
	char *end;

	if (!name || *line == '#')
		return false;
	if (*labels == '{') {
		labels++;
		value = strrchr(labels, '}');
		if (!value)
			return false;
	}
	out->value = g_ascii_strtod(value + 1, &end);
	if (end == value + 1)
		return false;
	out->name = g_strndup(line, name);
	out->labels = *value == '}'
			      ? g_strndup(labels, (size_t)(value - labels))
			      : g_strdup("");
	return true;
}

void samples_parse(struct samples *s, struct vh_slice text)
{
	char *copy = vh_slice_dup(text);
	char **lines = g_strsplit(copy, "\n", -1);

	s->n = 0;
	s->items = g_new0(struct sample, g_strv_length(lines) + 1);
	for (size_t i = 0; lines[i]; i++) {
		if (parse_line(lines[i], &s->items[s->n]))
			s->n++;
	}
	g_strfreev(lines);
	g_free(copy);
}

void samples_finish(struct samples *s)
{
	for (size_t i = 0; i < s->n; i++) {
		g_free(s->items[i].name);
		g_free(s->items[i].labels);
	}
	g_free(s->items);
	memset(s, 0, sizeof(*s));
}

char *sample_label(const struct sample *sample, const char *name)
{
	size_t len = strlen(name);
	const char *at = sample->labels;

	while (at && *at) {
		const char *eq = strstr(at, "=\"");
		const char *end = eq ? strchr(eq + 2, '"') : NULL;

		if (!end)
			return NULL;
		if ((size_t)(eq - at) == len && !strncmp(at, name, len))
			return g_strndup(eq + 2, (size_t)(end - eq) - 2);
		at = end + 1;
		if (*at == ',')
			at++;
	}
	return NULL;
}

double samples_sum(const struct samples *s, const char *name)
{
	double sum = NAN;

	for (size_t i = 0; i < s->n; i++) {
		if (strcmp(s->items[i].name, name) != 0)
			continue;
		sum = (isnan(sum) ? 0 : sum) + s->items[i].value;
	}
	return sum;
}

static void histogram_free(void *ptr)
{
	struct histogram *d = ptr;

	g_free(d->name);
	g_free(d->team);
	g_free(d->cls);
	g_array_free(d->buckets, TRUE);
	g_free(d);
}

GPtrArray *histograms_new(void)
{
	return g_ptr_array_new_with_free_func(histogram_free);
}

/* Finds or creates a histogram; takes ownership of @team and @cls. */
static struct histogram *histogram_get(GPtrArray *histograms, const char *name,
				       char *team, char *cls)
{
	struct histogram *d;

	for (unsigned int i = 0; i < histograms->len; i++) {
		d = histograms->pdata[i];
		if (!strcmp(d->name, name) && !strcmp(d->team, team) &&
		    !strcmp(d->cls, cls)) {
			g_free(team);
			g_free(cls);
			return d;
		}
	}
	d = g_new0(struct histogram, 1);
	d->name = g_strdup(name);
	d->team = team;
	d->cls = cls;
	d->buckets = g_array_new(FALSE, FALSE, sizeof(struct bucket));
	g_ptr_array_add(histograms, d);
	return d;
}

static void histogram_add_count(struct histogram *d, double le, double count)
{
	struct bucket b = { le, count };
	unsigned int i = 0;

	d->count += count;
	while (i < d->buckets->len &&
	       g_array_index(d->buckets, struct bucket, i).le < le)
		i++;
	if (i < d->buckets->len &&
	    g_array_index(d->buckets, struct bucket, i).le <= le)
		g_array_index(d->buckets, struct bucket, i).count += count;
	else
		g_array_insert_val(d->buckets, i, b);
}

static char *label_or_dash(const struct sample *s, const char *name)
{
	char *value = sample_label(s, name);

	return value ? value : g_strdup("-");
}

/* Names the series of a bucket without its label le: it changes where the next
 * histogram begins. */
static char *series_name(const struct sample *s)
{
	const char *le = strstr(s->labels, "le=\"");

	return g_strdup_printf("%s{%.*s", s->name,
			       le ? (int)(le - s->labels) : 0, s->labels);
}

void histograms_add(GPtrArray *histograms, const struct samples *s,
		    const char *suffix, double sign)
{
	char *bucket_suffix = g_strconcat(suffix, BUCKET_SUFFIX, NULL);
	char *series = NULL;
	double previous = 0;

	for (size_t i = 0; i < s->n; i++) {
		const struct sample *b = &s->items[i];
		char *le;
		char *name;
		char *now;

		if (!g_str_has_suffix(b->name, bucket_suffix))
			continue;
		le = sample_label(b, "le");
		now = series_name(b);
		if (g_strcmp0(series, now) != 0)
			previous = 0;
		g_free(series);
		series = now;
		name = g_strndup(b->name,
				 strlen(b->name) - strlen(BUCKET_SUFFIX));
		if (le && b->value > previous)
			histogram_add_count(
				histogram_get(histograms, name,
					      label_or_dash(b, "team"),
					      label_or_dash(b, "class")),
				strcmp(le, "+Inf") != 0
					? g_ascii_strtod(le, NULL)
					: INFINITY,
				sign * (b->value - previous));
		previous = b->value;
		g_free(name);
		g_free(le);
	}
	g_free(series);
	g_free(bucket_suffix);
}

static int compare_histograms(const void *a, const void *b)
{
	const struct histogram *const *x = a;
	const struct histogram *const *y = b;
	int r = strcmp((*x)->name, (*y)->name);

	if (!r)
		r = strcmp((*x)->cls, (*y)->cls);
	return r ? r : strcmp((*x)->team, (*y)->team);
}

void histograms_sort(GPtrArray *histograms)
{
	if (histograms->len)
		qsort(histograms->pdata, histograms->len, sizeof(void *),
		      compare_histograms);
}

double histogram_quantile(const struct histogram *d, double q)
{
	double last = 0;
	double seen = 0;

	for (unsigned int i = 0; i < d->buckets->len; i++) {
		const struct bucket *b =
			&g_array_index(d->buckets, struct bucket, i);

		if (b->count <= 0)
			continue;
		seen += b->count;
		if (!isinf(b->le))
			last = b->le;
		if (seen >= q * d->count)
			break;
	}
	return last;
}
