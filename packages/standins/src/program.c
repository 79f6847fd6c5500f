#include "program.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

static void on_signal(evutil_socket_t sig, short what, void *ctx)
{
	struct vh_program *p = ctx;

	(void)sig;
	(void)what;
	vh_kernel_stop(&p->kernel);
}

void vh_program_parse_options(int *argc, char ***argv,
			      const GOptionEntry *entries, const char *summary)
{
	GOptionContext *ctx = g_option_context_new(NULL);
	GError *err = NULL;

	g_option_context_set_summary(ctx, summary);
	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, argc, argv, &err) || *argc > 1) {
		fprintf(stderr, "%s\n",
			err ? err->message : "unexpected argument");
		exit(2);
	}
	g_option_context_free(ctx);
}

void vh_program_init(struct vh_program *p, const struct vh_clock *clock)
{
	vh_kernel_init(&p->kernel, clock);
	signal(SIGPIPE, SIG_IGN);
	p->term = evsignal_new(p->kernel.base, SIGTERM, on_signal, p);
	p->interrupt = evsignal_new(p->kernel.base, SIGINT, on_signal, p);
	event_add(p->term, NULL);
	event_add(p->interrupt, NULL);
}

void vh_program_finish(struct vh_program *p)
{
	event_free(p->term);
	event_free(p->interrupt);
	vh_kernel_finish(&p->kernel);
}

void vh_program_print_ready(const char *name, uint16_t port)
{
	printf("{\"program\":\"%s\",\"port\":%u}\n", name, port);
	fflush(stdout);
}

int vh_program_report_error(GError *err)
{
	fprintf(stderr, "%s\n", err->message);
	g_error_free(err);
	return 1;
}
