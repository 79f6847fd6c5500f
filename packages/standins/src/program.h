#ifndef VH_PROGRAM_H
#define VH_PROGRAM_H

/*
 * Options, signals and output that the stand-in programs share. Internal to
 * the package: the main function of each program uses it.
 */

#include "vh/kernel.h"

/**
 * struct vh_program - common part of the stand-in programs
 * @kernel: event loop and clock; stops on SIGTERM and SIGINT
 */
struct vh_program {
	struct vh_kernel kernel;
	struct event *term;
	struct event *interrupt;
};

/* vh_program_parse_options - parses the options; on an error prints a message
 * and exits with status 2 */
void vh_program_parse_options(int *argc, char ***argv,
			      const GOptionEntry *entries, const char *summary);

void vh_program_init(struct vh_program *p, const struct vh_clock *clock);
void vh_program_finish(struct vh_program *p);

/* vh_program_print_ready - prints the line {"program":NAME,"port":PORT} */
void vh_program_print_ready(const char *name, uint16_t port);

/* vh_program_report_error - prints and frees @err; returns exit status 1 */
int vh_program_report_error(GError *err);

#endif
