#ifndef OBJECT_SET_H
#define OBJECT_SET_H

/*
 * Reads configuration objects from files or text, checks them and produces
 * their canonical text. Internal to the package; called by cmd_config.c,
 * cmd_key.c and report_data.c.
 */

#include "ctl.h"
#include "vh/objects.h"

/**
 * struct ctl_object_set - a set of objects read from files
 * @objects: valid if @ok
 * @text: its canonical form if @ok
 * @base_version: version that a line "# version N" in the files names, as vhctl
 *		  get writes it; -1 if there is none
 */
struct ctl_object_set {
	struct vh_objects objects;
	struct vh_problems problems;
	struct vh_buf text;
	int64_t base_version;
	bool ok;
};

/**
 * ctl_object_set_read - reads and checks files
 * @paths: @n files; a directory stands for the *.ini files in it, - for
 *	   standard input
 *
 * Returns false after printing an error if a file cannot be read.
 */
bool ctl_object_set_read(struct ctl *c, struct ctl_object_set *set,
			 char **paths, int n);

/* ctl_object_set_parse - parses and checks one text; @name is for messages */
void ctl_object_set_parse(struct ctl_object_set *set, const char *name,
			  struct vh_slice text);

void ctl_object_set_finish(struct ctl_object_set *set);

#endif
