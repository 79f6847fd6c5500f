#include "log_server.h"
#include "program.h"

static int port, latency_ms, jitter_ms, retain_records, retain_ms, seed = 1;
static int max_appends_per_s;

static const GOptionEntry entries[] = {
	{ "port", 0, 0, G_OPTION_ARG_INT, &port, "port; 0: any free port",
	  "N" },
	{ "latency-ms", 0, 0, G_OPTION_ARG_INT, &latency_ms,
	  "latency of a response", "MS" },
	{ "jitter-ms", 0, 0, G_OPTION_ARG_INT, &jitter_ms,
	  "maximum random latency added to it", "MS" },
	{ "retain-records", 0, 0, G_OPTION_ARG_INT, &retain_records,
	  "records kept per stream; 0: all", "N" },
	{ "retain-ms", 0, 0, G_OPTION_ARG_INT, &retain_ms,
	  "time for which a record is kept; 0: forever", "MS" },
	{ "max-appends-per-s", 0, 0, G_OPTION_ARG_INT, &max_appends_per_s,
	  "appends above this rate get a 429; 0: no limit", "N" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "random seed", "N" },
	G_OPTION_ENTRY_NULL
};

int main(int argc, char **argv)
{
	struct vh_program p;
	struct vh_log_server s;
	struct vh_log_faults faults = { 0 };
	GError *err = NULL;

	vh_program_parse_options(
		&argc, &argv, entries,
		"Simulates the platform's log service in memory.");
	vh_program_init(&p, vh_clock_system());
	faults.latency_ms = latency_ms;
	faults.jitter_ms = jitter_ms;
	faults.max_appends_per_s = max_appends_per_s;
	if (!vh_log_server_start(&s, &p.kernel, (uint16_t)port, &faults,
				 (uint64_t)retain_records, retain_ms,
				 (uint32_t)seed, &err))
		return vh_program_report_error(err);
	vh_program_print_ready("vh-standin-log", s.http.port);
	vh_kernel_run(&p.kernel);
	vh_log_server_stop(&s);
	vh_program_finish(&p);
	return 0;
}
