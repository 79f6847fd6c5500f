#ifndef VH_PLACEMENT_H
#define VH_PLACEMENT_H

#include "core_priv.h"
#include "vh/rack.h"

/* Chooses a worker of one rack by policy; the adapter between struct
 * vh_worker_view and struct vh_candidate. Returns @n and *@why if none. */
size_t placement_choose(struct vh_core *core, const struct vh_start *start,
			const struct vh_worker_view *views, size_t n,
			enum vh_err *why);

#endif
