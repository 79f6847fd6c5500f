#ifndef VH_COST_H
#define VH_COST_H

#include "core_priv.h"

/*
 * Service "cost": what this process spends, as metrics, refreshed each second:
 * vh_uptime_seconds, vh_process_cpu_seconds_total, vh_process_resident_bytes
 * and vh_control_bytes_total, sent and received, by part: peers, log, workers.
 */
struct vh_cost *cost_new(struct vh_core *core);
void cost_free(struct vh_cost *c);
struct vh_service *cost_service(struct vh_cost *c);

#endif
