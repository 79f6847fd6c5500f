#include "vh/log.h"

#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "vh/buf.h"

#define LOG_MAX_FIELDS 16
#define FIELD_PREFIX "VH_"
/* Token bucket that limits the rate of lines. */
#define MAX_LINES_PER_S 400.0
#define MAX_BURST_LINES 2000.0
/* Below PIPE_BUF, so that a write to a pipe that polls writable can't block. */
#define MAX_LINE_BYTES 4000u

static char *node_name;
static GLogLevelFlags min_log_level = G_LOG_LEVEL_INFO;
static double line_tokens = MAX_BURST_LINES;
static unsigned int dropped_lines;

static const struct {
	GLogLevelFlags level;
	const char *name;
} levels[] = {
	{ G_LOG_LEVEL_ERROR, "error" },	    { G_LOG_LEVEL_CRITICAL, "error" },
	{ G_LOG_LEVEL_WARNING, "warning" }, { G_LOG_LEVEL_MESSAGE, "info" },
	{ G_LOG_LEVEL_INFO, "info" },	    { G_LOG_LEVEL_DEBUG, "debug" },
};

static const char *level_name(GLogLevelFlags level)
{
	for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
		if (level & levels[i].level)
			return levels[i].name;
	}
	return "info";
}

static void add_json_string(struct vh_buf *out, const char *text)
{
	vh_buf_add_str(out, "\"");
	for (const char *p = text; *p; p++) {
		unsigned char c = (unsigned char)*p;

		if (c == '"' || c == '\\')
			vh_buf_printf(out, "\\%c", c);
		else if (c < 0x20)
			vh_buf_printf(out, "\\u%04x", c);
		else
			vh_buf_add(out, p, 1);
	}
	vh_buf_add_str(out, "\"");
}

static void add_line_header(struct vh_buf *out, GLogLevelFlags level)
{
	struct timespec now;
	struct tm tm;
	char ts[40];

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &tm);
	strftime(ts, sizeof(ts), "%Y-%m-%dT%H:%M:%S", &tm);
	vh_buf_printf(out,
		      "{\"ts\":\"%s.%03ldZ\",\"level\":\"%s\",\"node\":", ts,
		      now.tv_nsec / 1000000, level_name(level));
	add_json_string(out, node_name ? node_name : "");
}

/* Lines are dropped if the reader has stalled, so that logging never blocks. */
static bool stdout_writable(void)
{
	struct pollfd p = { .fd = STDOUT_FILENO, .events = POLLOUT };

	return poll(&p, 1, 0) == 1 && (p.revents & POLLOUT);
}

/* Adds the tokens for the time since the last call. */
static void refill_line_tokens(void)
{
	static int64_t last_ms;
	struct timespec now;
	int64_t now_ms;

	clock_gettime(CLOCK_MONOTONIC, &now);
	now_ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
	line_tokens += (double)(now_ms - last_ms) * MAX_LINES_PER_S / 1000;
	line_tokens = MIN(line_tokens, MAX_BURST_LINES);
	last_ms = now_ms;
}

static void write_to_stdout(const struct vh_buf *line)
{
	size_t n = MIN(line->len, MAX_LINE_BYTES);

	if (!stdout_writable() || write(STDOUT_FILENO, line->data, n) < 0)
		dropped_lines++;
}

/* Limits reports of dropped lines to one per second. */
static bool drop_report_due(void)
{
	static time_t last;
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	if (now.tv_sec == last || !stdout_writable())
		return false;
	last = now.tv_sec;
	return true;
}

static void report_dropped_lines(void)
{
	struct vh_buf line;

	vh_buf_init(&line);
	add_line_header(&line, G_LOG_LEVEL_WARNING);
	vh_buf_printf(&line, ",\"msg\":\"lines left out\",\"count\":\"%u\"}\n",
		      dropped_lines);
	dropped_lines = 0;
	write_to_stdout(&line);
	vh_buf_finish(&line);
}

/* Severe lines, such as invariant violations, bypass the rate limit. */
static void write_line(const struct vh_buf *line, bool severe)
{
	refill_line_tokens();
	if (line_tokens < 1 && !severe) {
		dropped_lines++;
		return;
	}
	line_tokens -= 1;
	if (dropped_lines && drop_report_due())
		report_dropped_lines();
	write_to_stdout(line);
}

static GLogWriterOutput write_json(GLogLevelFlags level,
				   const GLogField *fields, gsize n,
				   gpointer data)
{
	struct vh_buf line;

	(void)data;
	if ((level & G_LOG_LEVEL_MASK) > min_log_level)
		return G_LOG_WRITER_HANDLED;
	vh_buf_init(&line);
	add_line_header(&line, level);
	for (gsize i = 0; i < n; i++) {
		const char *key = fields[i].key;

		if (!strcmp(key, "MESSAGE"))
			vh_buf_add_str(&line, ",\"msg\":");
		else if (!strncmp(key, FIELD_PREFIX, strlen(FIELD_PREFIX)))
			vh_buf_printf(&line,
				      ",\"%s\":", key + strlen(FIELD_PREFIX));
		else
			continue;
		add_json_string(&line, fields[i].value);
	}
	vh_buf_add_str(&line, "}\n");
	write_line(&line, level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL));
	vh_buf_finish(&line);
	return G_LOG_WRITER_HANDLED;
}

void vh_log_init(const char *node, GLogLevelFlags min_level)
{
	g_free(node_name);
	node_name = g_strdup(node);
	min_log_level = min_level;
	g_log_set_writer_func(write_json, NULL, NULL);
}

GLogLevelFlags vh_log_level_from_name(const char *name)
{
	static const struct {
		const char *name;
		GLogLevelFlags level;
	} names[] = {
		{ "debug", G_LOG_LEVEL_DEBUG },
		{ "info", G_LOG_LEVEL_INFO },
		{ "warning", G_LOG_LEVEL_WARNING },
		{ "error", G_LOG_LEVEL_CRITICAL },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (!strcmp(names[i].name, name))
			return names[i].level;
	}
	return 0;
}

void vh_log(GLogLevelFlags level, const char *msg, ...)
{
	GLogField fields[LOG_MAX_FIELDS];
	char keys[LOG_MAX_FIELDS][48];
	gsize n = 0;
	va_list ap;
	const char *key;

	fields[n++] = (GLogField){ "MESSAGE", msg, -1 };
	va_start(ap, msg);
	while (n < LOG_MAX_FIELDS && (key = va_arg(ap, const char *))) {
		const char *value = va_arg(ap, const char *);

		g_snprintf(keys[n], sizeof(keys[n]), FIELD_PREFIX "%s", key);
		fields[n] = (GLogField){ keys[n], value ? value : "", -1 };
		n++;
	}
	va_end(ap);
	g_log_structured_array(level, fields, n);
}
