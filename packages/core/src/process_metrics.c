#include "process_metrics.h"

#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#include "racks.h"

#define REFRESH_MS 1000
#define US_PER_S 1e6

struct vh_process_metrics {
	struct vh_core *core;
	struct vh_service service;
	struct vh_timer timer;
	int64_t started_ms;
	double *uptime;
	double *cpu;
	double *resident;
	uint64_t *peers;
	uint64_t *log;
	uint64_t *workers;
};

static double timeval_to_s(struct timeval t)
{
	return (double)t.tv_sec + (double)t.tv_usec / US_PER_S;
}

/* Returns 0 if the system does not report it. */
static double resident_bytes(void)
{
	FILE *f = fopen("/proc/self/statm", "re");
	unsigned long total = 0;
	unsigned long resident = 0;

	if (!f)
		return 0;
	if (fscanf(f, "%lu %lu", &total, &resident) != 2)
		resident = 0;
	fclose(f);
	return (double)resident * (double)sysconf(_SC_PAGESIZE);
}

static void refresh(void *ctx)
{
	struct vh_process_metrics *pm = ctx;
	struct vh_core *core = pm->core;
	uint64_t sent;
	uint64_t received;
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	*pm->cpu = timeval_to_s(usage.ru_utime) + timeval_to_s(usage.ru_stime);
	*pm->resident = resident_bytes();
	*pm->uptime =
		(double)(vh_kernel_now_ms(core->kernel) - pm->started_ms) /
		VH_MS_PER_S;
	vh_peer_byte_counts(core->peer, &sent, &received);
	*pm->peers = sent + received;
	*pm->log = vh_log_client_bytes(core->log);
	*pm->workers = racks_worker_bytes(core->racks);
	vh_timer_start(&pm->timer, REFRESH_MS);
}

static bool process_metrics_start(void *self, struct vh_kernel *kernel,
				  GError **err)
{
	struct vh_process_metrics *pm = self;

	(void)err;
	pm->started_ms = vh_kernel_now_ms(kernel);
	refresh(pm);
	return true;
}

static void process_metrics_stop(void *self)
{
	struct vh_process_metrics *pm = self;

	vh_timer_stop(&pm->timer);
}

struct vh_process_metrics *process_metrics_new(struct vh_core *core)
{
	struct vh_process_metrics *pm = g_new0(struct vh_process_metrics, 1);
	struct vh_metrics *m = &core->kernel->metrics;
	const char *bytes = "vh_control_bytes_total";

	pm->core = core;
	pm->uptime = vh_metrics_gauge(m, "vh_uptime_seconds", "");
	pm->cpu = vh_metrics_gauge(m, "vh_process_cpu_seconds_total", "");
	pm->resident = vh_metrics_gauge(m, "vh_process_resident_bytes", "");
	pm->peers = vh_metrics_counter(m, bytes, "part=\"peers\"");
	pm->log = vh_metrics_counter(m, bytes, "part=\"log\"");
	pm->workers = vh_metrics_counter(m, bytes, "part=\"workers\"");
	vh_timer_init(&pm->timer, core->kernel, refresh, pm);
	pm->service.name = "cost";
	pm->service.self = pm;
	pm->service.start = process_metrics_start;
	pm->service.stop = process_metrics_stop;
	return pm;
}

void process_metrics_free(struct vh_process_metrics *pm)
{
	vh_timer_finish(&pm->timer);
	g_free(pm);
}

struct vh_service *process_metrics_service(struct vh_process_metrics *pm)
{
	return &pm->service;
}
