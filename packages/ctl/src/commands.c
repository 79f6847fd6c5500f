#include "ctl.h"

static const char *const publish_options[] = { "base", "wait", NULL };
static const char *const key_options[] = { "name", "wait", NULL };
static const char *const history_options[] = { "limit", NULL };
static const char *const report_options[] = { "out", NULL };
static const char *const top_options[] = { "interval", "count", NULL };

const struct ctl_command ctl_commands[] = {
	{ "check", "FILE|DIRECTORY...",
	  "check a set of objects without publishing it",
	  "  vhctl check objects/\n"
	  "  vhctl check --output json teams.ini queues.ini\n",
	  NULL, cmd_check },
	{ "diff", "FILE|DIRECTORY...",
	  "show what publishing a set would change", "  vhctl diff objects/\n",
	  NULL, cmd_diff },
	{ "publish", "FILE|DIRECTORY...", "publish a whole set of objects",
	  "  vhctl get > set.ini; vi set.ini; vhctl publish --wait set.ini\n"
	  "  vhctl publish --base 41 objects/\n",
	  publish_options, cmd_publish },
	{ "get", "[KIND [NAME]]", "print the objects in force",
	  "  vhctl get > set.ini\n  vhctl get queue stock-checks\n", NULL,
	  cmd_get },
	{ "list", "[KIND]", "list the objects in force",
	  "  vhctl list team\n  vhctl list --output json\n", NULL, cmd_list },
	{ "history", "", "list the published versions, newest first",
	  "  vhctl history --limit 5\n", history_options, cmd_history },
	{ "rollback", "VERSION", "publish an older version again, as a new one",
	  "  vhctl rollback 41 --wait\n", publish_options, cmd_rollback },
	{ "key", "grant TEAM|withdraw NAME",
	  "grant or withdraw a key of a team",
	  "  vhctl key grant karachi --name karachi-2027\n"
	  "  vhctl key withdraw karachi-2026 --wait\n",
	  key_options, cmd_key },
	{ "status", "", "show a node's view of the cell",
	  "  vhctl status --server 10.0.0.7:8081\n", NULL, cmd_status },
	{ "nodes", "", "list nodes and the object versions they enforce",
	  "  vhctl nodes\n", NULL, cmd_nodes },
	{ "workers", "", "list workers, their capacity and what is committed",
	  "  vhctl workers --output json\n", NULL, cmd_workers },
	{ "jobs", "", "list jobs that have not ended, and why they wait",
	  "  vhctl jobs\n", NULL, cmd_jobs },
	{ "explain", "JOB", "explain why a job waits or where it ran",
	  "  vhctl explain karachi.0.1a.7\n", NULL, cmd_explain },
	{ "top", "", "show waiting times and homes, updated periodically",
	  "  vhctl top --interval 5\n  vhctl top --count 1 --output json\n",
	  top_options, cmd_top },
	{ "report", "", "write an HTML file that reports on the cell",
	  "  vhctl report --out monday.html\n", report_options, cmd_report },
	{ "drain", "NODE", "make a node hand over its work and end",
	  "  vhctl drain node-3\n", NULL, cmd_drain },
	{ NULL, NULL, NULL, NULL, NULL, NULL },
};
