#ifndef VH_PROCESS_METRICS_H
#define VH_PROCESS_METRICS_H

/*
 * Service "cost": resource usage of this process as metrics. Internal to the
 * package: only core.c calls it.
 */

#include "core_priv.h"

/*
 * Refreshes the metrics every second: vh_uptime_seconds,
 * vh_process_cpu_seconds_total, vh_process_resident_bytes and
 * vh_control_bytes_total, bytes sent plus received by part: peers, log,
 * workers.
 */
struct vh_process_metrics *process_metrics_new(struct vh_core *core);
void process_metrics_free(struct vh_process_metrics *pm);
struct vh_service *process_metrics_service(struct vh_process_metrics *pm);

#endif
