#include "process_metrics.h"

#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#include "racks.h"

#define PERIOD_MS 1000
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

static double seconds(struct timeval t)
{
	return (double)t.tv_sec + (double)t.tv_usec / US_PER_S;
}

/* 0 if the system does not tell. */
static double resident_bytes(void)
{
	FILE *f = fopen("/proc/self/statm", "re");
	unsigned long all = 0;
	unsigned long resident = 0;

	if (!f)
		return 0;
	if (fscanf(f, "%lu %lu", &all, &resident) != 2)
		resident = 0;
	fclose(f);
	return (double)resident * (double)sysconf(_SC_PAGESIZE);
}

static void refresh(void *ctx)
{
	struct vh_process_metrics *c = ctx;
	struct vh_core *core = c->core;
	uint64_t sent;
	uint64_t received;
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	*c->cpu = seconds(usage.ru_utime) + seconds(usage.ru_stime);
	*c->resident = resident_bytes();
	*c->uptime = (double)(vh_kernel_now_ms(core->kernel) - c->started_ms) /
		     VH_MS_PER_S;
	vh_peer_byte_counts(core->peer, &sent, &received);
	*c->peers = sent + received;
	*c->log = vh_log_client_bytes(core->log);
	*c->workers = racks_worker_bytes(core->racks);
	vh_timer_start(&c->timer, PERIOD_MS);
}

static bool cost_start(void *self, struct vh_kernel *kernel, GError **err)
{
	struct vh_process_metrics *c = self;

	(void)err;
	c->started_ms = vh_kernel_now_ms(kernel);
	refresh(c);
	return true;
}

static void cost_stop(void *self)
{
	struct vh_process_metrics *c = self;

	vh_timer_stop(&c->timer);
}

struct vh_process_metrics *process_metrics_new(struct vh_core *core)
{
	struct vh_process_metrics *c = g_new0(struct vh_process_metrics, 1);
	struct vh_metrics *m = &core->kernel->metrics;
	const char *bytes = "vh_control_bytes_total";

	c->core = core;
	c->uptime = vh_metrics_gauge(m, "vh_uptime_seconds", "");
	c->cpu = vh_metrics_gauge(m, "vh_process_cpu_seconds_total", "");
	c->resident = vh_metrics_gauge(m, "vh_process_resident_bytes", "");
	c->peers = vh_metrics_counter(m, bytes, "part=\"peers\"");
	c->log = vh_metrics_counter(m, bytes, "part=\"log\"");
	c->workers = vh_metrics_counter(m, bytes, "part=\"workers\"");
	vh_timer_init(&c->timer, core->kernel, refresh, c);
	c->service.name = "cost";
	c->service.self = c;
	c->service.start = cost_start;
	c->service.stop = cost_stop;
	return c;
}

void process_metrics_free(struct vh_process_metrics *c)
{
	vh_timer_finish(&c->timer);
	g_free(c);
}

struct vh_service *process_metrics_service(struct vh_process_metrics *c)
{
	return &c->service;
}
