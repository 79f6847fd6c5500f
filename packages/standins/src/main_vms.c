#include "program.h"
#include "vm_server.h"

static int port, lag_ms, count;
static char *vms_file, *fleet_file;

static const GOptionEntry entries[] = {
	{ "port", 0, 0, G_OPTION_ARG_INT, &port, "port; 0: any free port",
	  "N" },
	{ "vms", 0, 0, G_OPTION_ARG_FILENAME, &vms_file,
	  "JSON file in the format of GET /vms, with ports", "FILE" },
	{ "fleet", 0, 0, G_OPTION_ARG_FILENAME, &fleet_file,
	  "INI file with the racks of the fleet", "FILE" },
	{ "count", 0, 0, G_OPTION_ARG_INT, &count,
	  "number of workers to generate without a file", "N" },
	{ "lag-ms", 0, 0, G_OPTION_ARG_INT, &lag_ms,
	  "delay until a change becomes visible", "MS" },
	G_OPTION_ENTRY_NULL
};

static bool load_vms(struct vh_fleet *f, const char *path, GError **err)
{
	json_error_t e;
	json_t *json = json_load_file(path, 0, &e);
	bool ok = json != NULL;

	if (!ok)
		g_set_error(err, VH_ERROR, VH_ERR_INVALID_CONFIG, "%s:%d: %s",
			    path, e.line, e.text);
	else
		ok = vh_fleet_from_json(f, json_object_get(json, "vms"), err);
	json_decref(json);
	return ok;
}

int main(int argc, char **argv)
{
	struct vh_program p;
	struct vh_vm_server s;
	struct vh_fleet fleet = { 0 };
	GError *err = NULL;

	vh_program_parse_options(&argc, &argv, entries,
				 "Simulates the platform's VM list.");
	if (vms_file && !load_vms(&fleet, vms_file, &err))
		return vh_program_report_error(err);
	if (fleet_file && !vh_fleet_load(&fleet, fleet_file, &err))
		return vh_program_report_error(err);
	if (count > 0 && !fleet.n)
		vh_fleet_generate(&fleet, (uint32_t)count);
	vh_program_init(&p, vh_clock_system());
	if (!vh_vm_server_start(&s, &p.kernel, (uint16_t)port, &fleet, lag_ms,
				&err))
		return vh_program_report_error(err);
	vh_program_print_ready("vh-standin-vms", s.http.port);
	vh_kernel_run(&p.kernel);
	vh_vm_server_stop(&s);
	vh_fleet_finish(&fleet);
	vh_program_finish(&p);
	return 0;
}
