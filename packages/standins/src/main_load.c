#include <stdlib.h>

#include "loadgen.h"
#include "program.h"

#define MAX_NODES 64
#define EXIT_INCONSISTENT 3

static char *profile_file, *json_file;
static char **node_ports;
static int checker_port, rate_per_s, duration_s, seed = 1, timeout_s = 60;
static gboolean quiet;

static const GOptionEntry entries[] = {
	{ "profile", 0, 0, G_OPTION_ARG_FILENAME, &profile_file,
	  "INI file with the load profile", "FILE" },
	{ "node", 0, 0, G_OPTION_ARG_STRING_ARRAY, &node_ports,
	  "client port of an entry node; may be repeated", "PORT" },
	{ "witness", 0, 0, G_OPTION_ARG_INT, &checker_port,
	  "control port of vh-standin-workers", "PORT" },
	{ "rate", 0, 0, G_OPTION_ARG_INT, &rate_per_s,
	  "jobs and requests per second; 0: as in the profile", "N" },
	{ "duration", 0, 0, G_OPTION_ARG_INT, &duration_s,
	  "time in which load is sent; 0: as in the profile", "SECONDS" },
	{ "patience", 0, 0, G_OPTION_ARG_INT, &timeout_s,
	  "maximum time to the final answer of a job or request", "SECONDS" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "random seed", "N" },
	{ "json", 0, 0, G_OPTION_ARG_FILENAME, &json_file,
	  "also write the result to FILE as JSON", "FILE" },
	{ "quiet", 0, 0, G_OPTION_ARG_NONE, &quiet, "do not print progress",
	  NULL },
	G_OPTION_ENTRY_NULL
};

static void on_done(void *ctx)
{
	vh_kernel_stop(ctx);
}

static size_t parse_ports(uint16_t *ports)
{
	size_t n = 0;

	for (char **p = node_ports; p && *p && n < MAX_NODES; p++)
		ports[n++] = (uint16_t)g_ascii_strtoull(*p, NULL, 10);
	return n;
}

static int print_report(const struct vh_loadgen_stats *t)
{
	vh_loadgen_stats_print(t, stdout);
	if (json_file) {
		json_t *json = vh_loadgen_stats_json(t);

		json_dump_file(json, json_file, JSON_INDENT(1));
		json_decref(json);
	}
	return vh_loadgen_stats_consistent(t) ? 0 : EXIT_INCONSISTENT;
}

int main(int argc, char **argv)
{
	uint16_t ports[MAX_NODES];
	struct vh_program p;
	struct vh_profile profile;
	struct vh_loadgen_settings settings = { 0 };
	struct vh_loadgen load;
	GError *err = NULL;
	int status;

	vh_program_parse_options(&argc, &argv, entries,
				 "Sends a mixed load and checks every answer.");
	settings.n_nodes = parse_ports(ports);
	if (!profile_file || !settings.n_nodes || !checker_port) {
		fprintf(stderr,
			"--profile, --node and --witness are required\n");
		return 2;
	}
	if (!vh_profile_load(&profile, profile_file, &err))
		return vh_program_report_error(err);
	settings.profile = &profile;
	settings.nodes = ports;
	settings.checker_port = (uint16_t)checker_port;
	settings.rate_per_s =
		rate_per_s > 0 ? (uint32_t)rate_per_s : profile.rate_per_s;
	settings.duration_ms =
		(duration_s > 0 ? duration_s : (int)profile.duration_s) *
		(int64_t)VH_MS_PER_S;
	settings.answer_timeout_ms = timeout_s * (int64_t)VH_MS_PER_S;
	settings.seed = (uint32_t)seed;
	settings.progress = !quiet;
	vh_program_init(&p, vh_clock_system());
	vh_loadgen_init(&load, &p.kernel, &settings, on_done, &p.kernel);
	vh_loadgen_start(&load);
	vh_kernel_run(&p.kernel);
	status = print_report(&load.stats);
	vh_loadgen_finish(&load);
	vh_profile_finish(&profile);
	vh_program_finish(&p);
	return status;
}
