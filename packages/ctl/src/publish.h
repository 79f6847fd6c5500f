#ifndef PUBLISH_H
#define PUBLISH_H

#include "client.h"

/**
 * publish_text - publishes a whole set
 * @base: version that it was made from
 * @version: the version it became
 *
 * An answer that was lost is settled: the history tells whether the publish is
 * in it, and the same publish is sent again until it is known to have won or
 * lost. Sending again is safe since only one publish from @base can win.
 * Returns an exit code after a message.
 */
int publish_text(struct ctl *c, uint64_t base, struct vh_slice text,
		 uint64_t *version);

/* publish_wait - waits until every live node enforces @version; exit code */
int publish_wait(struct ctl *c, uint64_t version);

/* publish_report - prints the result of a publish; waits if --wait was given;
 * returns the exit code */
int publish_report(struct ctl *c, uint64_t version);

/* fetch_set - the set in force, with its version; exit code */
int fetch_set(struct ctl *c, struct ctl_answer *answer);

#endif
