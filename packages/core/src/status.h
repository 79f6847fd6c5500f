#ifndef VH_STATUS_H
#define VH_STATUS_H

#include "core_priv.h"

/* Service "status": the state of this node for operators, as JSON. */
struct vh_status *status_new(struct vh_core *core);
void status_free(struct vh_status *s);
struct vh_service *status_service(struct vh_status *s);

#endif
