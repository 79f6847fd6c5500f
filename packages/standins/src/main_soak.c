#include <inttypes.h>

#include "program.h"
#include "fault_schedule.h"

#define NODES_MAX 15

static int seed = 1, duration_s = 60, nodes = 3, gap_ms = 2500;
static char *fleet_file;

static const GOptionEntry entries[] = {
	{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "random seed", "N" },
	{ "duration", 0, 0, G_OPTION_ARG_INT, &duration_s,
	  "length of the schedule; all faults are repaired by then",
	  "SECONDS" },
	{ "nodes", 0, 0, G_OPTION_ARG_INT, &nodes,
	  "number of nodes of the cell", "N" },
	{ "gap-ms", 0, 0, G_OPTION_ARG_INT, &gap_ms,
	  "mean time between the starts of two faults", "MS" },
	{ "fleet", 0, 0, G_OPTION_ARG_FILENAME, &fleet_file,
	  "INI file with the racks of the fleet", "FILE" },
	G_OPTION_ENTRY_NULL
};

int main(int argc, char **argv)
{
	struct vh_fault_schedule_settings settings = { 0 };
	struct vh_fault_schedule s;
	struct vh_fleet fleet;
	GError *err = NULL;

	vh_program_parse_options(
		&argc, &argv, entries,
		"Prints a random sequence of faults and repairs, one per "
		"line: the time in ms and the action.");
	if (!fleet_file || nodes < 1 || nodes > NODES_MAX || gap_ms < 2) {
		fprintf(stderr,
			"--fleet is required, --nodes must be 1 to %d and "
			"--gap-ms at least 2\n",
			NODES_MAX);
		return 2;
	}
	if (!vh_fleet_load(&fleet, fleet_file, &err))
		return vh_program_report_error(err);
	settings.nodes = (uint32_t)nodes;
	settings.fleet = &fleet;
	settings.duration_ms = duration_s * (int64_t)VH_MS_PER_S;
	settings.gap_ms = gap_ms;
	settings.seed = (uint32_t)seed;
	vh_fault_schedule_init(&s, &settings);
	for (unsigned int i = 0; i < s.events->len; i++) {
		const struct vh_fault_event *e =
			&g_array_index(s.events, struct vh_fault_event, i);

		printf("%" PRId64 " %s\n", e->at_ms, e->action);
	}
	vh_fault_schedule_finish(&s);
	vh_fleet_finish(&fleet);
	return 0;
}
