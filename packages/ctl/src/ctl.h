#ifndef CTL_H
#define CTL_H

/*
 * Declares the entry point, the shared state and the command table of vhctl,
 * the operators' command-line tool. Internal to the package; main.c and
 * test_ctl.cc call ctl_main(), and most other sources use the shared types.
 */

#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>

#include "vh/buf.h"

/** enum ctl_exit - exit codes, as the manual page vhctl(1) lists them */
enum ctl_exit {
	CTL_OK,
	CTL_FAILED,	 /* refused or not found */
	CTL_USAGE,	 /* wrong command line */
	CTL_INVALID,	 /* the objects contain errors */
	CTL_CONFLICT,	 /* another publish came first */
	CTL_UNAVAILABLE, /* no node answered, or none could serve the request */
	CTL_NOT_IN_FORCE, /* published, but not in force on all nodes in time */
	CTL_UNKNOWN_OUTCOME /* may have taken effect */
};

/**
 * struct ctl_options - options of all commands
 * @base_version: version that the change is based on; -1 if not given
 * @out_path: file that a report is written to
 * @limit: number of versions to list
 * @count: number of updates of top; 0: until interrupted
 */
struct ctl_options {
	char *server;
	char *nodes;
	char *token_file;
	char *output;
	char *name;
	char *out_path;
	gint64 base_version;
	gint timeout_s;
	gint limit;
	gint interval_s;
	gint count;
	gboolean wait;
};

/**
 * struct ctl - state of one vhctl invocation
 * @loop: event loop that requests run on, one at a time
 * @out: stream for results
 * @err: stream for messages
 * @json_output: whether results are printed as JSON
 */
struct ctl {
	struct event_base *loop;
	FILE *out;
	FILE *err;
	struct ctl_options opt;
	char *token;
	bool json_output;
};

/**
 * struct ctl_command - a subcommand of vhctl
 * @args: its arguments, shown in its help
 * @options: NULL-terminated names of its own options, in addition to those
 *	     that all commands have; NULL for none
 */
struct ctl_command {
	const char *name;
	const char *args;
	const char *summary;
	const char *examples;
	const char *const *options;
	int (*run)(struct ctl *c, int argc, char **argv);
};

/* ctl_commands - all commands, terminated by an entry without a name */
extern const struct ctl_command ctl_commands[];

/* ctl_main - parses the command line and runs the command;
 * returns the exit code */
int ctl_main(struct event_base *loop, FILE *out, FILE *err, int argc,
	     char **argv);

/* ctl_usage_error - reports an invalid command line; returns CTL_USAGE */
int ctl_usage_error(struct ctl *c, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

int cmd_check(struct ctl *c, int argc, char **argv);
int cmd_diff(struct ctl *c, int argc, char **argv);
int cmd_publish(struct ctl *c, int argc, char **argv);
int cmd_rollback(struct ctl *c, int argc, char **argv);
int cmd_get(struct ctl *c, int argc, char **argv);
int cmd_list(struct ctl *c, int argc, char **argv);
int cmd_history(struct ctl *c, int argc, char **argv);
int cmd_key(struct ctl *c, int argc, char **argv);
int cmd_status(struct ctl *c, int argc, char **argv);
int cmd_nodes(struct ctl *c, int argc, char **argv);
int cmd_workers(struct ctl *c, int argc, char **argv);
int cmd_jobs(struct ctl *c, int argc, char **argv);
int cmd_explain(struct ctl *c, int argc, char **argv);
int cmd_report(struct ctl *c, int argc, char **argv);
int cmd_top(struct ctl *c, int argc, char **argv);
int cmd_drain(struct ctl *c, int argc, char **argv);

#endif
