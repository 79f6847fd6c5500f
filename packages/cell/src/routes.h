#ifndef CELL_ROUTES_H
#define CELL_ROUTES_H

/*
 * Looks up the queue of a request and the team of an API key in the
 * configuration. Internal to the package; called by cell.c.
 */

#include "vh/ports.h"

/* routes_find - returns the queue with the longest matching prefix, or NULL */
const struct vh_queue_config *routes_find(const struct vh_config_view *v,
					  struct vh_slice host,
					  struct vh_slice path);

/* routes_find_team - returns the team of an API key, or NULL */
const struct eng_team *routes_find_team(const struct vh_config_view *v,
					struct vh_slice key);

#endif
