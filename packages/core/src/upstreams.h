#ifndef VH_UPSTREAMS_H
#define VH_UPSTREAMS_H

#include "core_priv.h"

/* Service "upstreams": the workers that run services. Queried from the teams'
 * homes once per second as long as lookups continue on this node. */
struct vh_upstreams *upstreams_new(struct vh_core *core);
void upstreams_free(struct vh_upstreams *us);
struct vh_service *upstreams_service(struct vh_upstreams *us);

#endif
