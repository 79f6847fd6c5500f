#ifndef VH_UPSTREAMS_H
#define VH_UPSTREAMS_H

/*
 * Service "upstreams": the workers that run services. Internal to the package:
 * core.c creates the service; the gateway calls it through struct
 * vh_upstreams_ops.
 */

#include "core_priv.h"

/* Queries the workers from the teams' homes once per second as long as lookups
 * continue on this node. */
struct vh_upstreams *upstreams_new(struct vh_core *core);
void upstreams_free(struct vh_upstreams *us);
struct vh_service *upstreams_service(struct vh_upstreams *us);

#endif
