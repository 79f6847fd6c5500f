#ifndef CELL_ROUTES_H
#define CELL_ROUTES_H

#include "vh/ports.h"

/* routes_find - the queue with the longest prefix that fits, or NULL */
const struct vh_queue_config *routes_find(const struct vh_config_view *v,
					  struct vh_slice host,
					  struct vh_slice path);

/* routes_find_team - the team that holds a key, or NULL */
const struct eng_team *routes_find_team(const struct vh_config_view *v,
					struct vh_slice key);

#endif
