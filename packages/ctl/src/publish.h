#ifndef PUBLISH_H
#define PUBLISH_H

/*
 * Fetches the configuration objects in force and publishes changed ones.
 * Internal to the package; called by cmd_config.c and cmd_key.c, and by
 * report_data.c, which only fetches.
 */

#include "client.h"

/**
 * publish_objects - publishes a whole set of objects
 * @base: version that the set is based on
 * @version: receives the version that the set was published as
 *
 * If the response is lost, the history tells whether the publish succeeded; the
 * same publish is sent again until its outcome is known. Sending it again is
 * safe because only one publish based on @base can succeed.
 * Returns CTL_OK, or another exit code after printing an error.
 */
int publish_objects(struct ctl *c, uint64_t base, struct vh_slice text,
		    uint64_t *version);

/* publish_wait_in_force - waits until every live node enforces @version;
 * returns the exit code */
int publish_wait_in_force(struct ctl *c, uint64_t version);

/* publish_print_result - prints the result of a publish, after waiting if
 * --wait was given; returns the exit code */
int publish_print_result(struct ctl *c, uint64_t version);

/* fetch_objects - requests the set of objects in force; returns the exit
 * code */
int fetch_objects(struct ctl *c, struct ctl_response *response);

#endif
