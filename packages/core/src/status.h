#ifndef VH_STATUS_H
#define VH_STATUS_H

/*
 * Service "status": the state of this node for operators, as JSON. Internal to
 * the package: core.c creates the service; the gateway calls it through struct
 * vh_status_ops.
 */

#include "core_priv.h"

struct vh_status *status_new(struct vh_core *core);
void status_free(struct vh_status *s);
struct vh_service *status_service(struct vh_status *s);

#endif
