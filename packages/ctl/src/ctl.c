#include "ctl.h"

#include <stdlib.h>

#define TIMEOUT_DEFAULT_S 10
#define HISTORY_LIMIT_DEFAULT 20
#define INTERVAL_DEFAULT_S 2
#define SERVER_DEFAULT "127.0.0.1:8081"

/* An option; its value is stored at @offset in struct ctl_options. */
struct option_spec {
	const char *name;
	GOptionArg arg;
	size_t offset;
	const char *help;
	const char *value;
};

#define OPTION_OFFSET(field) offsetof(struct ctl_options, field)

static const struct option_spec common_options[] = {
	{ "server", G_OPTION_ARG_STRING, OPTION_OFFSET(server),
	  "operators' listeners, tried in turn (VHCTL_SERVER, " SERVER_DEFAULT
	  ")",
	  "IP:PORT[,...]" },
	{ "nodes", G_OPTION_ARG_STRING, OPTION_OFFSET(nodes),
	  "operators' listeners of all nodes; by default the list that "
	  "a server returns (VHCTL_NODES)",
	  "IP:PORT[,...]" },
	{ "token-file", G_OPTION_ARG_FILENAME, OPTION_OFFSET(token_file),
	  "file with the operator's token (VHCTL_TOKEN holds a token)",
	  "FILE" },
	{ "output", G_OPTION_ARG_STRING, OPTION_OFFSET(output),
	  "text (default) or json", "FORMAT" },
	{ "timeout", G_OPTION_ARG_INT, OPTION_OFFSET(timeout_s),
	  "timeout of one call, default 10", "SECONDS" },
};

static const struct option_spec command_options[] = {
	{ "base", G_OPTION_ARG_INT64, OPTION_OFFSET(base_version),
	  "version that the change was made from", "VERSION" },
	{ "wait", G_OPTION_ARG_NONE, OPTION_OFFSET(wait),
	  "wait until it is in force on every live node", NULL },
	{ "name", G_OPTION_ARG_STRING, OPTION_OFFSET(name),
	  "name of the new key", "NAME" },
	{ "limit", G_OPTION_ARG_INT, OPTION_OFFSET(limit),
	  "number of versions, default 20", "N" },
	{ "out", G_OPTION_ARG_FILENAME, OPTION_OFFSET(out_path),
	  "file to write the report to", "FILE" },
	{ "interval", G_OPTION_ARG_INT, OPTION_OFFSET(interval_s),
	  "seconds between updates, default 2", "SECONDS" },
	{ "count", G_OPTION_ARG_INT, OPTION_OFFSET(count),
	  "number of updates, default 0: until stopped", "N" },
};

static GOptionEntry make_entry(const struct option_spec *spec,
			       struct ctl_options *opt)
{
	GOptionEntry entry = { .long_name = spec->name,
			       .arg = spec->arg,
			       .arg_data = (char *)opt + spec->offset,
			       .description = spec->help,
			       .arg_description = spec->value };

	return entry;
}

static bool has_option(const struct ctl_command *command, const char *name)
{
	return command->options && g_strv_contains(command->options, name);
}

static GOptionContext *new_option_context(struct ctl *c,
					  const struct ctl_command *command)
{
	GOptionEntry entries[G_N_ELEMENTS(common_options) +
			     G_N_ELEMENTS(command_options) + 1] = { 0 };
	char *usage =
		command ? g_strdup_printf("%s %s", command->name, command->args)
			: g_strdup("COMMAND ...");
	GOptionContext *context = g_option_context_new(usage);
	size_t n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(common_options); i++)
		entries[n++] = make_entry(&common_options[i], &c->opt);
	for (size_t i = 0; i < G_N_ELEMENTS(command_options); i++) {
		if (command && has_option(command, command_options[i].name))
			entries[n++] = make_entry(&command_options[i], &c->opt);
	}
	g_option_context_add_main_entries(context, entries, NULL);
	g_option_context_set_help_enabled(context, FALSE);
	g_option_context_set_strict_posix(context, command == NULL);
	g_free(usage);
	return context;
}

int ctl_usage_error(struct ctl *c, const char *fmt, ...)
{
	va_list ap;
	char *text;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	fprintf(c->err, "vhctl: %s; see vhctl help\n", text);
	g_free(text);
	return CTL_USAGE;
}

static const struct ctl_command *find_command(const char *name)
{
	for (size_t i = 0; ctl_commands[i].name; i++) {
		if (!g_strcmp0(ctl_commands[i].name, name))
			return &ctl_commands[i];
	}
	return NULL;
}

static int print_command_help(struct ctl *c, const struct ctl_command *command)
{
	GOptionContext *context = new_option_context(c, command);
	char *text;

	g_option_context_set_summary(context, command->summary);
	text = g_option_context_get_help(context, TRUE, NULL);
	fprintf(c->out, "%s\nExamples:\n%s", text, command->examples);
	g_free(text);
	g_option_context_free(context);
	return CTL_OK;
}

static int print_help(struct ctl *c)
{
	fputs("vhctl COMMAND [OPTIONS] [ARGUMENTS]\n\nCommands:\n", c->out);
	for (size_t i = 0; ctl_commands[i].name; i++)
		fprintf(c->out, "  %-9s %-28s %s\n", ctl_commands[i].name,
			ctl_commands[i].args, ctl_commands[i].summary);
	fputs("  help      [COMMAND]                    options and examples\n"
	      "\nExit codes:\n"
	      "  0 done\n"
	      "  1 refused or not found\n"
	      "  2 wrong command line\n"
	      "  3 the objects contain errors\n"
	      "  4 another publish came first\n"
	      "  5 no node answered, or none could serve the request now\n"
	      "  6 published, but not in force on all live nodes in time\n"
	      "  7 may have taken effect; the message says how to find out\n",
	      c->out);
	return CTL_OK;
}

static bool read_token(struct ctl *c)
{
	GError *err = NULL;

	if (!c->opt.token_file) {
		c->token = g_strdup(g_getenv("VHCTL_TOKEN"));
		return true;
	}
	if (!g_file_get_contents(c->opt.token_file, &c->token, NULL, &err)) {
		fprintf(c->err, "vhctl: %s\n", err->message);
		g_error_free(err);
		return false;
	}
	g_strstrip(c->token);
	return true;
}

static void default_from_env(char **option, const char *name,
			     const char *fallback)
{
	const char *env = g_getenv(name);

	if (*option)
		return;
	*option = g_strdup(env && *env ? env : fallback);
}

static int complete_options(struct ctl *c)
{
	default_from_env(&c->opt.server, "VHCTL_SERVER", SERVER_DEFAULT);
	default_from_env(&c->opt.nodes, "VHCTL_NODES", NULL);
	if (c->opt.output && strcmp(c->opt.output, "json") != 0 &&
	    strcmp(c->opt.output, "text") != 0)
		return ctl_usage_error(c, "--output must be text or json");
	if (c->opt.timeout_s < 1 || c->opt.limit < 1 || c->opt.interval_s < 1 ||
	    c->opt.count < 0)
		return ctl_usage_error(
			c, "a number is out of range: --timeout, --limit and "
			   "--interval are at least 1, --count at least 0");
	c->json_output = c->opt.output && !strcmp(c->opt.output, "json");
	return read_token(c) ? CTL_OK : CTL_USAGE;
}

static bool is_help_arg(const char *arg)
{
	return !strcmp(arg, "help") || !strcmp(arg, "--help") ||
	       !strcmp(arg, "-h");
}

/* Parses the options that @command accepts; returns the exit code. */
static int parse_options(struct ctl *c, const struct ctl_command *command,
			 int *argc, char ***argv)
{
	GOptionContext *context = new_option_context(c, command);
	GError *err = NULL;
	int code = CTL_OK;

	if (!g_option_context_parse(context, argc, argv, &err)) {
		code = ctl_usage_error(c, "%s", err->message);
		g_error_free(err);
	}
	g_option_context_free(context);
	return code;
}

static int dispatch(struct ctl *c, int argc, char **argv)
{
	const struct ctl_command *command;
	const char *name;
	int code;

	/* options may also precede the command */
	if (argc > 1 && argv[1][0] == '-' && !is_help_arg(argv[1])) {
		code = parse_options(c, NULL, &argc, &argv);
		if (code != CTL_OK)
			return code;
	}
	if (argc < 2 || (is_help_arg(argv[1]) && argc < 3))
		return argc < 2 ? ctl_usage_error(c, "missing command")
				: print_help(c);
	name = is_help_arg(argv[1]) ? argv[2] : argv[1];
	command = find_command(name);
	if (!command)
		return ctl_usage_error(c, "unknown command \"%s\"", name);
	if (is_help_arg(argv[1]) || (argc > 2 && is_help_arg(argv[2])))
		return print_command_help(c, command);
	argc--;
	argv++;
	code = parse_options(c, command, &argc, &argv);
	if (code == CTL_OK)
		code = complete_options(c);
	return code == CTL_OK ? command->run(c, argc - 1, argv + 1) : code;
}

int ctl_main(struct event_base *loop, FILE *out, FILE *err, int argc,
	     char **argv)
{
	struct ctl c = { .loop = loop, .out = out, .err = err };
	char **args = g_new0(char *, argc + 1);
	int code;

	c.opt.base_version = -1;
	c.opt.timeout_s = TIMEOUT_DEFAULT_S;
	c.opt.limit = HISTORY_LIMIT_DEFAULT;
	c.opt.interval_s = INTERVAL_DEFAULT_S;
	for (int i = 0; i < argc; i++)
		args[i] = argv[i];
	code = dispatch(&c, argc, args);
	g_free(args);
	g_free(c.opt.server);
	g_free(c.opt.nodes);
	g_free(c.opt.token_file);
	g_free(c.opt.output);
	g_free(c.opt.name);
	g_free(c.opt.out_path);
	g_free(c.token);
	return code;
}
