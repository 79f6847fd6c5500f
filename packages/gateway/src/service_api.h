#ifndef VH_SERVICE_API_H
#define VH_SERVICE_API_H

#include "gateway_impl.h"

/* vh_service_api_run - sends an admitted request to an upstream */
void vh_service_api_run(struct vh_work *w);

#endif
