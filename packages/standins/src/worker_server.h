#ifndef VH_WORKER_SERVER_H
#define VH_WORKER_SERVER_H

/*
 * Serves all simulated workers and a control port over HTTP. Internal to the
 * package: vh-standin-workers runs it, and worker_host.c and worker_control.c
 * implement parts of it.
 */

#include "fleet.h"
#include "httpd.h"
#include "invariant_checker.h"
#include "worker.h"

struct vh_worker_server;

/**
 * struct vh_worker_host - a worker with its HTTP port
 * @drop_replies: probability that a request is executed but gets no response
 * @lose_requests: probability that a request is dropped unread
 * @latency_ms: latency added to each response
 */
struct vh_worker_host {
	struct vh_worker_server *server;
	struct vh_fleet_vm vm;
	struct vh_worker worker;
	struct vh_httpd http;
	struct vh_timer resume_timer;
	GPtrArray *long_polls; /* sync requests that wait for a task's end */
	GPtrArray *requests;   /* service requests in progress */
	GPtrArray *deferred;   /* received during a pause, in order */
	double drop_replies;
	double lose_requests;
	int64_t latency_ms;
	bool failed;
	bool has_new_ends; /* since the long polls were last answered */
};

struct vh_worker_settings {
	uint16_t port;	    /* of /control, /witness, /ledger, /vms, /stats */
	uint16_t base_port; /* of the first worker; 0: any free ports */
	int64_t latency_ms;
	int64_t leaving_grace_ms;
	int64_t limit_grace_ms;
	size_t max_runs;
	size_t max_tokens;
	uint32_t seed;
};

/** struct vh_worker_counters - counters of all workers, served by GET /stats */
struct vh_worker_counters {
	uint64_t syncs;
	uint64_t sync_bytes_in;
	uint64_t sync_bytes_out;
	uint64_t stale_epochs;
	uint64_t starts;
	uint64_t refused;
	uint64_t requests;
	uint64_t requests_not_run;
};

/**
 * struct vh_worker_server - all workers of a run and their invariant checker
 *
 * One process simulates all workers, so that one clock orders all events.
 */
struct vh_worker_server {
	struct vh_kernel *kernel;
	struct vh_worker_settings settings;
	struct vh_worker_host *hosts;
	size_t n_hosts;
	struct vh_httpd control;
	struct vh_checker checker;
	struct vh_worker_counters counters;
	struct vh_timer due_timer;
	GRand *rand;
};

bool vh_worker_server_start(struct vh_worker_server *s,
			    struct vh_kernel *kernel,
			    const struct vh_fleet *fleet,
			    const struct vh_worker_settings *settings,
			    GError **err);
void vh_worker_server_stop(struct vh_worker_server *s);

/* vh_worker_server_advance - processes the due events of all workers */
void vh_worker_server_advance(struct vh_worker_server *s);

/* vh_worker_host_serve - handles one request to a worker's port */
void vh_worker_host_serve(void *ctx, struct vh_httpd_req *req);

/* vh_worker_host_serve_deferred - handles the requests received during a
 * pause */
void vh_worker_host_serve_deferred(struct vh_worker_host *h);

/* vh_worker_host_answer_long_polls - answers the sync requests that wait */
void vh_worker_host_answer_long_polls(struct vh_worker_host *h);

/* vh_worker_host_drop_service_requests - drops the requests of a replica that
 * ended, or all requests if @replica is NULL */
void vh_worker_host_drop_service_requests(struct vh_worker_host *h,
					  const struct vh_worker_task *replica);

/* vh_worker_control_serve - handles one request to the control port */
void vh_worker_control_serve(void *ctx, struct vh_httpd_req *req);

/* vh_worker_host_fail - fails the VM: closes its port and loses its tasks */
void vh_worker_host_fail(struct vh_worker_host *h);

/* vh_worker_host_recover - restarts a failed VM on the same port */
bool vh_worker_host_recover(struct vh_worker_host *h, GError **err);
void vh_worker_host_pause(struct vh_worker_host *h, int64_t ms);

#endif
