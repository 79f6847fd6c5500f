#ifndef VH_UPSTREAMS_H
#define VH_UPSTREAMS_H

#include "core_priv.h"

/* Service "upstreams": where services run, asked of their teams' homes once a
 * second for as long as somebody here wants to know. */
struct vh_upstreams *upstreams_new(struct vh_core *core);
void upstreams_free(struct vh_upstreams *u);
struct vh_service *upstreams_service(struct vh_upstreams *u);

#endif
