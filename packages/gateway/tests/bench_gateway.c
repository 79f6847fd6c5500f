/*
 * Latency, processor time and memory that the gateway adds to a request.
 * Callers and the upstream run in processes of their own so that the gateway's
 * use can be measured separately.
 */
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "vh/core.h"
#include "vh/gateway.h"

#define REQUESTS 20000
#define CALLERS 16
#define IDLE_CONNECTIONS 10000
#define BUSY_CONNECTIONS 2000
#define BUSY_MS 3000
#define MB (1024.0 * 1024.0)
#define KEY "bench-key"

/**
 * struct bench - the gateway under test and the fakes of its services
 * @bare_port: port of an HTTP server in the same process that responds without
 *	       the gateway, for comparison
 */
struct bench {
	struct vh_kernel kernel;
	struct vh_gateway *gateway;
	struct vh_objects objects;
	struct vh_service config;
	struct vh_service upstreams;
	struct vh_upstream upstream;
	uint16_t bare_port;
};

/* Sent by the callers' process through a pipe. */
struct result {
	double p50_us;
	double p99_us;
	double seconds;
	uint64_t responses;
	uint64_t failures;
};

static const struct vh_objects *get_objects(void *self)
{
	return &((struct bench *)self)->objects;
}

static uint64_t get_version(void *self)
{
	(void)self;
	return 1;
}

static int64_t get_age(void *self)
{
	(void)self;
	return 0;
}

static void watch(void *self, void (*fn)(void *ctx), void *ctx)
{
	(void)self;
	(void)fn;
	(void)ctx;
}

static size_t lookup(void *self, struct vh_slice service,
		     const struct vh_upstream **out, int64_t *age_ms)
{
	(void)service;
	*out = &((struct bench *)self)->upstream;
	*age_ms = 0;
	return 1;
}

static void wait_changes(void *self, struct vh_slice service,
			 int64_t timeout_ms, void (*fn)(void *ctx), void *ctx)
{
	(void)self;
	(void)service;
	(void)timeout_ms;
	(void)fn;
	(void)ctx;
}

static const struct vh_config_ops config_ops = { .objects = get_objects,
						 .version = get_version,
						 .age_ms = get_age,
						 .watch = watch };
static const struct vh_upstreams_ops upstreams_ops = { .lookup = lookup,
						       .wait = wait_changes };

static int64_t now_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

static void respond(struct evhttp_request *req)
{
	const char *id = evhttp_find_header(
		evhttp_request_get_input_headers(req), "Vh-Request-Id");
	struct evbuffer *out = evbuffer_new();

	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Vh-Request-Id", id ? id : "");
	evbuffer_add_printf(out, "argon: 12 cylinders\n");
	evhttp_send_reply(req, 200, "OK", out);
	evbuffer_free(out);
}

static void respond_late(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	respond(ctx);
}

/* Responds after BUSY_MS if the path contains "late", else at once. */
static void serve(struct evhttp_request *req, void *ctx)
{
	const char *uri = evhttp_request_get_uri(req);
	struct timeval delay = { .tv_sec = BUSY_MS / 1000 };

	if (strstr(uri, "late"))
		event_base_once(ctx, -1, EV_TIMEOUT, respond_late, req, &delay);
	else
		respond(req);
}

static struct evhttp *listen_http(struct event_base *base, uint16_t *port)
{
	struct evhttp *http = evhttp_new(base);
	struct evhttp_bound_socket *bound;
	struct sockaddr_in at = { 0 };
	socklen_t len = sizeof(at);

	evhttp_set_gencb(http, serve, base);
	bound = evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
	getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&at,
		    &len);
	*port = ntohs(at.sin_port);
	return http;
}

/* Main loop of the upstream process; it exits when @exit_fd is closed. */
static void run_upstream(int ready, int exit_fd)
{
	struct event_base *base = event_base_new();
	uint16_t port;
	char byte;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	listen_http(base, &port);
	if (write(ready, &port, sizeof(port)) != sizeof(port))
		_exit(1);
	while (!event_base_loop(base, EVLOOP_ONCE)) {
		struct timeval none = { 0, 0 };
		fd_set set;

		FD_ZERO(&set);
		FD_SET(exit_fd, &set);
		if (select(exit_fd + 1, &set, NULL, NULL, &none) > 0 &&
		    read(exit_fd, &byte, 1) <= 0)
			_exit(0);
	}
	_exit(0);
}

/**
 * struct load - workload of the callers' process
 * @callers: connections, each with one request at a time
 * @total: requests to send, at least one per connection
 * @keep_open: keep the connections open until the exit pipe is closed
 */
struct load {
	uint16_t port;
	const char *path;
	int callers;
	int total;
	bool keep_open;
	int sent;
	int done;
	uint64_t failures;
	struct vh_histogram latency_us;
	struct event_base *base;
};

struct bench_conn {
	struct load *load;
	struct evhttp_connection *evcon;
	int64_t sent_us;
};

static void send_one(struct bench_conn *c);

static void on_response(struct evhttp_request *req, void *ctx)
{
	struct bench_conn *c = ctx;
	struct load *l = c->load;

	if (!req || evhttp_request_get_response_code(req) != 200)
		l->failures++;
	vh_histogram_add(&l->latency_us, (uint64_t)(now_us() - c->sent_us));
	if (++l->done == l->total)
		event_base_loopbreak(l->base);
	else if (l->sent < l->total)
		send_one(c);
}

static void send_one(struct bench_conn *c)
{
	struct evhttp_request *req = evhttp_request_new(on_response, c);
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);

	c->load->sent++;
	evhttp_add_header(h, "Host", "n");
	evhttp_add_header(h, "Authorization", "Bearer " KEY);
	evbuffer_add_printf(evhttp_request_get_output_buffer(req), "argon?");
	c->sent_us = now_us();
	evhttp_make_request(c->evcon, req, EVHTTP_REQ_POST, c->load->path);
}

static void run_callers(struct load *l, int out, int exit_fd)
{
	struct bench_conn *all = g_new0(struct bench_conn, l->callers);
	struct result r = { 0 };
	int64_t start = now_us();
	char byte;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	l->base = event_base_new();
	for (int i = 0; i < l->callers; i++) {
		all[i].load = l;
		all[i].evcon = evhttp_connection_base_new(l->base, NULL,
							  "127.0.0.1", l->port);
		evhttp_connection_set_timeout(all[i].evcon, 60);
		send_one(&all[i]);
	}
	event_base_loop(l->base, 0);
	r.seconds = (double)(now_us() - start) / 1e6;
	r.p50_us = (double)vh_histogram_quantile(&l->latency_us, 0.5);
	r.p99_us = (double)vh_histogram_quantile(&l->latency_us, 0.99);
	r.responses = (uint64_t)l->done;
	r.failures = l->failures;
	if (write(out, &r, sizeof(r)) != sizeof(r))
		_exit(1);
	if (l->keep_open && read(exit_fd, &byte, 1) < 0)
		_exit(1);
	_exit(0);
}

static void on_pipe_readable(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(ctx);
}

static double cpu_s(void)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	return (double)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) +
	       (double)(u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1e6;
}

static double resident_mb(void)
{
	unsigned long size = 0, resident = 0;
	FILE *f = fopen("/proc/self/statm", "r");

	if (f && fscanf(f, "%lu %lu", &size, &resident) != 2)
		resident = 0;
	if (f)
		fclose(f);
	return (double)resident * (double)sysconf(_SC_PAGESIZE) / MB;
}

/* Runs @l in a child process while this one serves requests; returns the
 * processor time spent on serving, in seconds. Waits for the child to exit
 * unless @exit_fd is given: a child with @l->keep_open then exits once
 * *@exit_fd has been closed. */
static double run_load(struct bench *b, struct load *l, struct result *r,
		       int *exit_fd)
{
	int out[2], exit_pipe[2];
	struct event *ev;
	double before;
	pid_t pid;

	if (pipe(out) || pipe(exit_pipe))
		exit(1);
	pid = fork();
	if (!pid) {
		close(out[0]);
		close(exit_pipe[1]);
		run_callers(l, out[1], exit_pipe[0]);
	}
	close(out[1]);
	close(exit_pipe[0]);
	ev = event_new(b->kernel.base, out[0], EV_READ, on_pipe_readable,
		       b->kernel.base);
	event_add(ev, NULL);
	before = cpu_s();
	event_base_loop(b->kernel.base, EVLOOP_NO_EXIT_ON_EMPTY);
	before = cpu_s() - before;
	if (read(out[0], r, sizeof(*r)) != sizeof(*r))
		r->failures = 1;
	event_free(ev);
	close(out[0]);
	if (exit_fd) {
		*exit_fd = exit_pipe[1];
		return before;
	}
	close(exit_pipe[1]);
	waitpid(pid, NULL, 0);
	return before;
}

static void print_result(const char *name, double value, const char *unit,
			 double bound, const char *verdict)
{
	printf("bench %s %.3f %s %.3f %s\n", name, value, unit, bound, verdict);
	fflush(stdout);
}

static const char *verdict_at_most(double value, double bound)
{
	return value <= bound ? "ok" : "FAIL";
}

static void start_gateway(struct bench *b, uint16_t upstream_port)
{
	struct vh_gateway_settings s = {
		.node = VH_SLICE("node-1"),
		.region = VH_SLICE("lahore"),
		.zone = VH_SLICE("lahore-a"),
		.callers_address = VH_SLICE("127.0.0.1"),
		.operators_address = VH_SLICE("127.0.0.1"),
		.max_connections = 16384,
		.max_active = 4096,
	};
	char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, KEY, -1);
	char *ini = g_strdup_printf("[share \"gold\"]\nweight = 1\n"
				    "[team \"shop\"]\nshare = gold\n"
				    "[key \"shop-1\"]\nteam = shop\n"
				    "sha256 = %s\n"
				    "[service \"stock\"]\nteam = shop\n"
				    "idempotent = true\ntimeout_ms = 20000\n",
				    hash);
	struct vh_ini_source source = { VH_SLICE("bench.ini"),
					vh_slice_str(ini) };
	struct vh_problems problems;
	GError *err = NULL;

	vh_problems_init(&problems);
	if (!vh_objects_load(&b->objects, &source, 1, &problems))
		g_error("%s", problems.items[0].text);
	vh_problems_finish(&problems);
	g_free(ini);
	g_free(hash);
	b->config.name = "config";
	b->config.self = b;
	b->config.ops = &config_ops;
	b->upstreams.name = "upstreams";
	b->upstreams.self = b;
	b->upstreams.ops = &upstreams_ops;
	b->upstream.worker = vh_slice_str("w-1");
	b->upstream.address = vh_slice_str("127.0.0.1");
	b->upstream.port = upstream_port;
	b->upstream.region = s.region;
	b->upstream.zone = s.zone;
	b->upstream.replicas = 1;
	b->upstream.size.v[VH_SLOTS] = BUSY_CONNECTIONS;
	b->upstream.size.v[VH_CONNS] = BUSY_CONNECTIONS;
	vh_kernel_add(&b->kernel, &b->config);
	vh_kernel_add(&b->kernel, &b->upstreams);
	b->gateway = vh_gateway_new(&s, &b->kernel);
	vh_kernel_add(&b->kernel, vh_gateway_service(b->gateway));
	if (!vh_kernel_start(&b->kernel, &err))
		g_error("%s", err->message);
}

static struct result measure(struct bench *b, uint16_t port, const char *path,
			     int callers, double *cpu)
{
	struct load l = { .port = port,
			  .path = path,
			  .callers = callers,
			  .total = REQUESTS };
	struct result r = { 0 };

	*cpu = run_load(b, &l, &r, NULL);
	if (r.failures)
		print_result("failed_requests", (double)r.failures, "requests",
			     0, "FAIL");
	return r;
}

static void bench_latency(struct bench *b)
{
	static const char path[] = "/v1/services/stock/requests";
	uint16_t port = vh_gateway_callers_port(b->gateway);
	struct result direct, through, bare;
	double cpu_direct, cpu_through, cpu_bare, added, exchange;

	direct = measure(b, b->upstream.port, "/v1/requests/stock", 1,
			 &cpu_direct);
	through = measure(b, port, path, 1, &cpu_through);
	added = through.p50_us - direct.p50_us;
	exchange = direct.p50_us;
	print_result("added_latency_p50", added, "us", 1.5 * exchange,
		     verdict_at_most(added, 1.5 * exchange));
	print_result("added_latency_p99", through.p99_us - direct.p99_us, "us",
		     0, "info");
	print_result("direct_latency_p50", direct.p50_us, "us", 0, "info");
	bare = measure(b, b->bare_port, "/", CALLERS, &cpu_bare);
	through = measure(b, port, path, CALLERS, &cpu_through);
	print_result("bare_exchanges_per_core", REQUESTS / cpu_bare,
		     "requests/s", 0, "info");
	print_result("requests_per_core", REQUESTS / cpu_through, "requests/s",
		     REQUESTS / cpu_bare / 2,
		     verdict_at_most(cpu_through, 2 * cpu_bare));
	print_result("busy_latency_p99_bare", bare.p99_us, "us", 0, "info");
	print_result("busy_latency_p99", through.p99_us, "us", 0, "info");
}

static void bench_memory(struct bench *b)
{
	uint16_t port = vh_gateway_callers_port(b->gateway);
	struct load idle = { .port = port,
			     .path = "/v1/services/none/requests",
			     .callers = IDLE_CONNECTIONS,
			     .total = IDLE_CONNECTIONS,
			     .keep_open = true };
	struct load busy = { .port = port,
			     .path = "/v1/services/stock/requests/late",
			     .callers = BUSY_CONNECTIONS,
			     .total = BUSY_CONNECTIONS,
			     .keep_open = true };
	double before = resident_mb(), after;
	struct result r;
	int end_idle, end_busy;

	run_load(b, &idle, &r, &end_idle);
	after = resident_mb();
	print_result("memory_10000_idle", after - before, "MB", 0, "info");
	run_load(b, &busy, &r, &end_busy);
	print_result("busy_answers_that_failed", (double)r.failures, "requests",
		     0, verdict_at_most((double)r.failures, 0));
	after = resident_mb();
	print_result("memory_10000_idle_2000_busy", after, "MB", 64,
		     verdict_at_most(after, 64));
	close(end_idle);
	close(end_busy);
	while (waitpid(-1, NULL, WNOHANG) > 0)
		;
}

int main(void)
{
	static struct bench bench;
	struct bench *b = &bench;
	int ready[2], exit_pipe[2];
	uint16_t port;

	signal(SIGPIPE, SIG_IGN);
	if (pipe(ready) || pipe(exit_pipe))
		return 1;
	if (!fork()) {
		close(exit_pipe[1]);
		run_upstream(ready[1], exit_pipe[0]);
	}
	close(exit_pipe[0]);
	if (read(ready[0], &port, sizeof(port)) != sizeof(port))
		exit(1);
	vh_kernel_init(&b->kernel, vh_clock_system());
	listen_http(b->kernel.base, &b->bare_port);
	start_gateway(b, port);
	bench_latency(b);
	bench_memory(b);
	vh_gateway_free(b->gateway);
	vh_objects_finish(&b->objects);
	vh_kernel_finish(&b->kernel);
	return 0;
}
