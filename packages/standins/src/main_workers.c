#include "team_limits.h"
#include "program.h"
#include "worker_server.h"

#define MAX_RUNS 200000
#define MAX_TOKENS 1000000

static int port, base_port, count = 50, latency_ms, seed = 1;
static int leaving_grace_ms = 5000, limit_grace_ms = 6000;
static char *fleet_file, *objects_dir;

static const GOptionEntry entries[] = {
	{ "port", 0, 0, G_OPTION_ARG_INT, &port,
	  "port of /control, /witness, /ledger, /vms; 0: any free port", "N" },
	{ "base-port", 0, 0, G_OPTION_ARG_INT, &base_port,
	  "port of the first worker; 0: any free ports", "N" },
	{ "fleet", 0, 0, G_OPTION_ARG_FILENAME, &fleet_file,
	  "INI file with the racks of the fleet", "FILE" },
	{ "objects", 0, 0, G_OPTION_ARG_FILENAME, &objects_dir,
	  "directory of INI files with the teams' limits to check", "DIR" },
	{ "count", 0, 0, G_OPTION_ARG_INT, &count,
	  "number of workers to generate without --fleet", "N" },
	{ "latency-ms", 0, 0, G_OPTION_ARG_INT, &latency_ms,
	  "latency added to each response", "MS" },
	{ "leaving-grace-ms", 0, 0, G_OPTION_ARG_INT, &leaving_grace_ms,
	  "time in which a leaving worker may still get work", "MS" },
	{ "limit-grace-ms", 0, 0, G_OPTION_ARG_INT, &limit_grace_ms,
	  "time in which a replaced limit is still accepted", "MS" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "random seed", "N" },
	G_OPTION_ENTRY_NULL
};

int main(int argc, char **argv)
{
	struct vh_program p;
	struct vh_worker_server s;
	struct vh_worker_settings settings = { 0 };
	struct vh_fleet fleet;
	GError *err = NULL;

	vh_program_parse_options(
		&argc, &argv, entries,
		"Simulates the platform's workers in one process.");
	if (!fleet_file)
		vh_fleet_generate(&fleet, (uint32_t)MAX(count, 0));
	else if (!vh_fleet_load(&fleet, fleet_file, &err))
		return vh_program_report_error(err);
	settings.port = (uint16_t)port;
	settings.base_port = (uint16_t)base_port;
	settings.latency_ms = latency_ms;
	settings.leaving_grace_ms = leaving_grace_ms;
	settings.limit_grace_ms = limit_grace_ms;
	settings.max_runs = MAX_RUNS;
	settings.max_tokens = MAX_TOKENS;
	settings.seed = (uint32_t)seed;
	vh_program_init(&p, vh_clock_system());
	if (!vh_worker_server_start(&s, &p.kernel, &fleet, &settings, &err))
		return vh_program_report_error(err);
	if (objects_dir &&
	    !vh_team_limits_load(&s.checker, objects_dir, 0, &err))
		return vh_program_report_error(err);
	vh_program_print_ready("vh-standin-workers", s.control.port);
	vh_kernel_run(&p.kernel);
	vh_worker_server_stop(&s);
	vh_fleet_finish(&fleet);
	vh_program_finish(&p);
	return 0;
}
