#include <event2/event.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "settings.h"
#include "vh/core_node.h"
#include "vh/gateway.h"
#include "vh/invariant.h"
#include "vh/log.h"
#include "vh/platform_main.h"

#define EXIT_BAD_SETTINGS 2
#define MAX_SEEDS 64

struct options {
	char *settings;
	gboolean check_only;
	gboolean version;
	gboolean platform;
	gboolean abort_on_violation;
};

struct daemon {
	struct vh_settings settings;
	struct vh_kernel kernel;
	struct vh_peer *peer;
	struct vh_core *core;
	struct vh_gateway *gateway;
	struct event *term;
	struct event *intr;
};

static bool parse_options(int *argc, char ***argv, struct options *o)
{
	GOptionEntry entries[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &o->settings,
		  "Settings file", "FILE" },
		{ "check-settings", 0, 0, G_OPTION_ARG_NONE, &o->check_only,
		  "Check the settings file and start nothing", NULL },
		{ "abort-on-violation", 0, 0, G_OPTION_ARG_NONE,
		  &o->abort_on_violation,
		  "Abort when an invariant is violated, for tests", NULL },
		{ "platform", 0, 0, G_OPTION_ARG_NONE, &o->platform,
		  "Run on the users' platform, with the settings file it names",
		  NULL },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &o->version,
		  "Show the version", NULL },
		G_OPTION_ENTRY_NULL
	};
	GOptionContext *context = g_option_context_new("");
	GError *err = NULL;
	bool ok;

	g_option_context_set_summary(
		context, "One node of the vanillahollow cluster scheduler.");
	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, argc, argv, &err);
	if (!ok) {
		fprintf(stderr, "vanillahollowd: %s\n", err->message);
		g_error_free(err);
	} else if (*argc > 1) {
		fprintf(stderr, "vanillahollowd: unexpected argument '%s'\n",
			(*argv)[1]);
		ok = false;
	}
	g_option_context_free(context);
	return ok;
}

static void print_problems(const struct vh_problems *problems)
{
	for (size_t i = 0; i < problems->n; i++) {
		const struct vh_problem *p = &problems->items[i];

		fprintf(stderr, "%s: [%s]%s%s: %s%s\n", p->file, p->group,
			p->key ? " " : "", p->key ? p->key : "",
			p->warning ? "warning: " : "", p->text);
	}
}

static bool load_settings(struct vh_settings *s, const char *path)
{
	struct vh_problems problems;
	bool ok;

	vh_problems_init(&problems);
	ok = vh_settings_load(s, path, &problems);
	print_problems(&problems);
	vh_problems_finish(&problems);
	return ok;
}

static void on_signal(evutil_socket_t fd, short what, void *ctx)
{
	struct daemon *d = ctx;

	(void)fd;
	(void)what;
	if (d->kernel.draining) {
		vh_log(G_LOG_LEVEL_WARNING,
		       "second termination signal: stopping at once", NULL);
		vh_kernel_stop(&d->kernel);
		return;
	}
	vh_log(G_LOG_LEVEL_INFO, "termination signal: draining", NULL);
	vh_kernel_drain(&d->kernel);
}

static void create_peer(struct daemon *d)
{
	const struct vh_settings *s = &d->settings;
	struct vh_slice seeds[MAX_SEEDS];
	struct vh_peer_settings p = {
		.id = vh_slice_str(s->node.id),
		.address = vh_slice_str(s->peers.listen.address),
		.port = s->peers.listen.port,
		.region = vh_slice_str(s->node.region),
		.zone = vh_slice_str(s->node.zone),
		.secret = vh_slice_str(s->peers.secret),
		.seeds = seeds,
		.heartbeat_ms = s->peers.heartbeat_ms,
		.suspect_ms = s->peers.suspect_ms,
		.dead_ms = s->peers.dead_ms,
	};

	while (p.n_seeds < MAX_SEEDS && s->peers.seeds[p.n_seeds]) {
		seeds[p.n_seeds] = vh_slice_str(s->peers.seeds[p.n_seeds]);
		p.n_seeds++;
	}
	d->peer = vh_peer_new(&p, &d->kernel);
	vh_kernel_add(&d->kernel, vh_peer_service(d->peer));
}

static void create_core(struct daemon *d)
{
	const struct vh_settings *s = &d->settings;
	char *operators = g_strdup_printf("%s:%u", s->operators.listen.address,
					  s->operators.listen.port);
	struct vh_core_settings c = {
		.id = vh_slice_str(s->node.id),
		.region = vh_slice_str(s->node.region),
		.zone = vh_slice_str(s->node.zone),
		.operators = vh_slice_str(operators),
		.log_address = vh_slice_str(s->platform.log.address),
		.log_port = s->platform.log.port,
		.vms_address = vh_slice_str(s->platform.vms.address),
		.vms_port = s->platform.vms.port,
		.appends_per_s = s->platform.appends_per_s,
		.retention_s = s->platform.retention_s,
	};

	d->core = vh_core_new(&c, &d->kernel, d->peer);
	g_free(operators);
}

static void create_gateway(struct daemon *d)
{
	const struct vh_settings *s = &d->settings;
	size_t n = s->operators.n_tokens;
	struct vh_operator_token *tokens =
		g_new0(struct vh_operator_token, n + 1);
	struct vh_gateway_settings g = {
		.node = vh_slice_str(s->node.id),
		.region = vh_slice_str(s->node.region),
		.zone = vh_slice_str(s->node.zone),
		.callers_address = vh_slice_str(s->callers.listen.address),
		.callers_port = s->callers.listen.port,
		.operators_address = vh_slice_str(s->operators.listen.address),
		.operators_port = s->operators.listen.port,
		.operators = tokens,
		.n_operators = n,
		.max_body_bytes = s->callers.max_body_bytes,
		.max_connections = s->callers.max_connections,
		.idle_timeout_ms = s->callers.idle_timeout_s * VH_MS_PER_S,
		.buffered_bytes = (uint64_t)s->limits.buffered_mb << 20,
	};

	for (size_t i = 0; i < n; i++) {
		tokens[i].name = vh_slice_str(s->operators.tokens[i].name);
		memcpy(tokens[i].hash, s->operators.tokens[i].hash,
		       sizeof(tokens[i].hash));
	}
	d->gateway = vh_gateway_new(&g, &d->kernel);
	vh_kernel_add(&d->kernel, vh_gateway_service(d->gateway));
	g_free(tokens);
}

static void daemon_finish(struct daemon *d)
{
	vh_gateway_free(d->gateway);
	vh_core_free(d->core);
	vh_peer_free(d->peer);
	event_free(d->term);
	event_free(d->intr);
	vh_kernel_finish(&d->kernel);
	vh_settings_finish(&d->settings);
}

static int run(struct daemon *d)
{
	GError *err = NULL;

	vh_log_init(d->settings.node.id, d->settings.node.log_level);
	vh_kernel_init(&d->kernel, vh_clock_system());
	signal(SIGPIPE, SIG_IGN);
	d->term = evsignal_new(d->kernel.base, SIGTERM, on_signal, d);
	d->intr = evsignal_new(d->kernel.base, SIGINT, on_signal, d);
	event_add(d->term, NULL);
	event_add(d->intr, NULL);
	create_peer(d);
	create_core(d);
	create_gateway(d);
	if (!vh_kernel_start(&d->kernel, &err)) {
		vh_log(G_LOG_LEVEL_CRITICAL, "cannot start", "error",
		       err->message, NULL);
		g_error_free(err);
		daemon_finish(d);
		return EXIT_FAILURE;
	}
	vh_log(G_LOG_LEVEL_INFO, "started", NULL);
	vh_kernel_run(&d->kernel);
	vh_log(G_LOG_LEVEL_INFO, "stopped", NULL);
	daemon_finish(d);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct options o = { 0 };
	struct daemon d = { 0 };

	if (!parse_options(&argc, &argv, &o))
		return EXIT_BAD_SETTINGS;
	if (o.version) {
		puts("vanillahollowd " VH_VERSION);
		return EXIT_SUCCESS;
	}
	if (o.platform)
		return vh_platform_main();
	if (!o.settings) {
		fprintf(stderr, "vanillahollowd: --settings FILE is missing\n");
		return EXIT_BAD_SETTINGS;
	}
	vh_settings_init(&d.settings);
	if (!load_settings(&d.settings, o.settings)) {
		vh_settings_finish(&d.settings);
		return EXIT_BAD_SETTINGS;
	}
	if (o.check_only) {
		vh_settings_finish(&d.settings);
		return EXIT_SUCCESS;
	}
	vh_invariant_set_abort(o.abort_on_violation);
	return run(&d);
}
