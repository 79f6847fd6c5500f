#ifndef PUBLISH_H
#define PUBLISH_H

#include "client.h"

/**
 * publish_objects - publishes a whole set
 * @base: version that it was made from
 * @version: the version it became
 *
 * An answer that was lost is settled: the history tells whether the publish is
 * in it, and the same publish is sent again until it is known to have won or
 * lost. Sending again is safe since only one publish from @base can win.
 * Returns an exit code after a message.
 */
int publish_objects(struct ctl *c, uint64_t base, struct vh_slice text,
		    uint64_t *version);

/* publish_wait_in_force - waits until every live node enforces @version; exit code */
int publish_wait_in_force(struct ctl *c, uint64_t version);

/* publish_print_result - prints the result of a publish; waits if --wait was given;
 * returns the exit code */
int publish_print_result(struct ctl *c, uint64_t version);

/* fetch_objects - the set in force, with its version; exit code */
int fetch_objects(struct ctl *c, struct ctl_response *answer);

#endif
