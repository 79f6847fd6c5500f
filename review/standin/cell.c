#include "internal.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/*
 * The script's processes, settings and calls. REPO names the repository, OUT the
 * folder of record.txt, TMP a temporary folder.
 */
#define START_TIMEOUT_MS 20000
#define ARGS_MAX 8
#define ATTEMPTS 5 /* a consumer's first attempt and its four retries */
#define CALL_TIMEOUT_MS 3000
#define PORT_FIRST 12000u
#define PORTS_PER_SCRIPT 40u
#define PORT_GROUPS 400u
#define PORTS (PORT_GROUPS * PORTS_PER_SCRIPT)

struct node {
	char name[32];
	pid_t pid;
	uint16_t front;
	uint16_t readiness;
	uint16_t metrics;
	uint16_t peer;
	uint16_t store;
	struct store_port store_port;
	char settings[512];
};

struct event_base *base;
pthread_mutex_t lock;

static struct node nodes[CELL_NODES_MAX];
static unsigned int n_nodes;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec started;
static char command[256];

int64_t cell_now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (t.tv_sec - started.tv_sec) * 1000 +
	       (t.tv_nsec - started.tv_nsec) / 1000000;
}

void cell_sleep_ms(int64_t ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

	if (ms > 0)
		nanosleep(&t, NULL);
}

void cell_sleep_until_ms(int64_t at_ms)
{
	cell_sleep_ms(at_ms - cell_now_ms());
}

void cell_record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	if (record_file) {
		fprintf(record_file, "%9.3f  ", (double)cell_now_ms() / 1000);
		va_start(args, format);
		vfprintf(record_file, format, args);
		va_end(args);
		fputc('\n', record_file);
		fflush(record_file);
	}
	pthread_mutex_unlock(&record_lock);
}

bool cell_trouble(void)
{
	const char *v = getenv("TROUBLE");

	return !v || strcmp(v, "0");
}

void cell_finish(int status)
{
	for (unsigned int i = 0; i < n_nodes; i++) {
		if (nodes[i].pid > 0) {
			kill(nodes[i].pid, SIGKILL);
			waitpid(nodes[i].pid, NULL, 0);
		}
	}
	cell_record("%s", status == 1	? "result: the rule was broken"
			  : status == 0 ? "result: the rule held"
					: "result: the case could not run");
	printf("%s\n", status == 1   ? "the rule was broken"
		       : status == 0 ? "the rule held"
				     : "the case could not run");
	fflush(stdout);
	_exit(status);
}

void cell_skip(const char *why)
{
	cell_record("cannot run: %s", why);
	cell_finish(2);
}

/* Servers */

struct later {
	struct evhttp_request *req;
	struct evbuffer *out;
	int status;
	struct event *timer;
};

static void send_reply(struct evhttp_request *req, int status,
		       struct evbuffer *out)
{
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/json");
	evhttp_send_reply(req, status, "", out);
	evbuffer_free(out);
}

static void on_later(evutil_socket_t fd, short events, void *ctx)
{
	struct later *l = ctx;

	(void)fd;
	(void)events;
	event_free(l->timer);
	send_reply(l->req, l->status, l->out);
	free(l);
}

void http_reply_later(struct evhttp_request *req, int status,
		      struct evbuffer *out, unsigned int delay_ms)
{
	struct timeval tv = { delay_ms / 1000, delay_ms % 1000 * 1000 };
	struct later *l;

	if (!delay_ms) {
		send_reply(req, status, out);
		return;
	}
	l = calloc(1, sizeof(*l));
	l->req = req;
	l->out = out;
	l->status = status;
	l->timer = evtimer_new(base, on_later, l);
	evtimer_add(l->timer, &tv);
}

void http_no_delay(struct evhttp_request *req)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);
	int on = 1;

	setsockopt(bufferevent_getfd(evhttp_connection_get_bufferevent(conn)),
		   IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

uint16_t http_listen(void (*fn)(struct evhttp_request *, void *), void *ctx)
{
	struct evhttp *http = evhttp_new(base);
	struct evhttp_bound_socket *s =
		evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
	struct sockaddr_in at;
	socklen_t len = sizeof(at);

	if (!s)
		cell_skip("no free port");
	evhttp_set_gencb(http, fn, ctx);
	evhttp_set_max_body_size(http, 4 << 20);
	getsockname(evhttp_bound_socket_get_fd(s), (struct sockaddr *)&at,
		    &len);
	return ntohs(at.sin_port);
}

static void *serve(void *ctx)
{
	event_base_dispatch(ctx);
	return NULL;
}

/* Nodes */

/* Below the ports that the system gives to outgoing connections, so that none
 * takes the port before the node listens. */
static uint16_t free_port(void)
{
	static unsigned int next;
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };

	if (!next)
		next = (unsigned int)getpid() % PORT_GROUPS * PORTS_PER_SCRIPT;
	for (unsigned int i = 0; i < PORTS; i++) {
		unsigned int port = PORT_FIRST + next++ % PORTS;
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		int failed;

		at.sin_port = htons((uint16_t)port);
		failed = bind(fd, (struct sockaddr *)&at, sizeof(at));
		close(fd);
		if (!failed)
			return (uint16_t)port;
	}
	cell_skip("no free port");
}

static void read_command(const char *repo)
{
	char path[512];
	char line[512];
	FILE *f;

	snprintf(path, sizeof(path), "%s/deploy/system.toml", repo);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof(line), f)) {
		if (sscanf(line, "run = \"%255[^\"]", command) == 1)
			break;
	}
	if (f)
		fclose(f);
	if (!*command)
		cell_skip("deploy/system.toml names no command");
}

struct field {
	const char *name;
	char value[64];
};

static void write_line(FILE *out, const char *line, const struct field *fields,
		       size_t n)
{
	const char *open;

	while ((open = strstr(line, "{{"))) {
		const char *close = strstr(open, "}}");
		size_t len = (size_t)(close - open - 2);

		fwrite(line, 1, (size_t)(open - line), out);
		for (size_t i = 0; i < n; i++) {
			if (strlen(fields[i].name) == len &&
			    !strncmp(fields[i].name, open + 2, len))
				fputs(fields[i].value, out);
		}
		line = close + 2;
	}
	fputs(line, out);
}

/* Fills in the settings template of the deploy file, as the platform does. */
static void write_settings(const char *repo, struct node *n)
{
	struct field f[] = {
		{ "nodeName", "" },
		{ "zone", "z0" },
		{ "ip", "127.0.0.1" },
		{ "listen.frontend", "" },
		{ "listen.readiness", "" },
		{ "portRange.0", "" },
		{ "portRange.1", "" },
		{ "platform.address", "" },
		{ "advice", "" },
		{ "limits.cpuShare", "0.25" },
		{ "bounds.holdMaxMs", "6000" },
		{ "bounds.contactMs", "4000" },
		{ "heartbeatMs", "1500" },
		{ "bounds.stopMs", "900" },
		{ "bounds.gangMs", "3000" },
		{ "bounds.revokeMs", "5000" },
		{ "bounds.graceS", "6" },
	};
	char path[512];
	char line[512];
	FILE *in;
	FILE *out;

	snprintf(f[0].value, sizeof(f[0].value), "%s", n->name);
	snprintf(f[3].value, sizeof(f[3].value), "127.0.0.1:%u", n->front);
	snprintf(f[4].value, sizeof(f[4].value), "127.0.0.1:%u", n->readiness);
	snprintf(f[5].value, sizeof(f[5].value), "%u", n->peer);
	snprintf(f[6].value, sizeof(f[6].value), "%u", n->metrics);
	snprintf(f[7].value, sizeof(f[7].value), "127.0.0.1:%u", n->store);
	snprintf(path, sizeof(path), "%s/deploy/node.ini", repo);
	in = fopen(path, "r");
	out = fopen(n->settings, "w");
	if (!in || !out)
		cell_skip("the settings cannot be written");
	while (fgets(line, sizeof(line), in))
		write_line(out, line, f, sizeof(f) / sizeof(f[0]));
	fclose(in);
	fclose(out);
}

void cell_node_start(unsigned int node)
{
	struct node *n = &nodes[node];
	const char *repo = getenv("REPO");
	char text[256];
	char log[600];
	char *args[ARGS_MAX + 1];
	int n_args = 0;

	/* All that may allocate is done before fork(). */
	snprintf(log, sizeof(log), "%s.log", n->settings);
	snprintf(text, sizeof(text), "%s", command);
	for (char *p = strtok(text, " "); p && n_args < ARGS_MAX;
	     p = strtok(NULL, " "))
		args[n_args++] = p;
	args[n_args] = NULL;
	setenv("VANILLAHOLLOW_NODE_FILE", n->settings, 1);
	n->pid = fork();
	if (!n->pid) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		/* No process outlives the script, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		for (int i = 3; i < 1024; i++)
			close(i);
		if (chdir(repo) == 0)
			execv(args[0], args);
		_exit(127);
	}
	cell_record("%s: process started", n->name);
}

void cell_node_signal(unsigned int node, int signal)
{
	struct node *n = &nodes[node];

	kill(n->pid, signal);
	if (signal == SIGKILL) {
		waitpid(n->pid, NULL, 0);
		n->pid = 0;
	}
	cell_record("%s: signal %d (%s)", n->name, signal, strsignal(signal));
}

long cell_node_rss_kb(unsigned int node)
{
	char path[64];
	char line[256];
	long kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)nodes[node].pid);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof(line), f)) {
		if (sscanf(line, "VmRSS: %ld", &kb) == 1)
			break;
	}
	if (f)
		fclose(f);
	return kb;
}

/* The record of a claim holds the name of the node. */
unsigned int cell_owner(void)
{
	char value[512];
	int len = cell_store_value("keyed.vh-owner", "owner", value,
				   sizeof(value) - 1);

	for (unsigned int i = 0; len > 0 && i < n_nodes; i++) {
		if (memmem(value, (size_t)len, nodes[i].name,
			   strlen(nodes[i].name)))
			return i;
	}
	return 0;
}

static void put_config(const struct cell_settings *s)
{
	char value[2048];
	int n;

	n = snprintf(
		value, sizeof(value),
		"{\"version\":7,\"routes\":[{\"name\":\"q1\",\"host\":\"%s\","
		"\"prefix\":\"%s\",\"kind\":\"mutating\",\"timeoutMs\":3000,"
		"\"targetDurationMs\":1200,\"priority\":1,\"service\":\"svc\","
		"\"maxAttempts\":%u,\"stretch\":2.2,\"public\":false}],"
		"\"services\":[{\"name\":\"svc\",\"healthPath\":\"/healthz\","
		"\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,"
		"\"admissionCheck\":false,\"spare\":false}],\"limits\":"
		"{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
		"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
		"\"tenants\":[{\"name\":\"team-a\",\"apiKeys\":[\"%s\"],"
		"\"priority\":1,\"weight\":1000,\"cap\":{\"cpu\":0,"
		"\"memMb\":0,\"gpu\":0}}]}",
		CELL_HOST, CELL_PREFIX, s->max_attempts, CELL_KEY);
	store_put("keyed.op", "config", value, (size_t)n);
}

static bool node_ready(unsigned int node)
{
	char reply[256];
	uint16_t front = nodes[node].front;
	int status;

	nodes[node].front = nodes[node].readiness;
	status = cell_call(node, "GET", "/readyz", "", 500, reply,
			   sizeof(reply));
	nodes[node].front = front;
	return status == 200;
}

static void wait_ready(void)
{
	char state[32];

	for (unsigned int i = 0; i < n_nodes; i++) {
		while (!node_ready(i)) {
			if (cell_now_ms() > START_TIMEOUT_MS)
				cell_skip("a node does not become ready");
			cell_sleep_ms(50);
		}
	}
	/* An owner knows that there is no such job. */
	while (cell_job_status(0, UINT64_MAX, state, sizeof(state)) != 410) {
		if (cell_now_ms() > START_TIMEOUT_MS)
			cell_skip("no node owns the cell");
		cell_sleep_ms(50);
	}
}

void cell_start(const struct cell_settings *s)
{
	const char *repo = getenv("REPO");
	const char *out = getenv("OUT");
	const char *tmp = getenv("TMP");
	pthread_mutexattr_t attr;
	pthread_t thread;
	char path[512];

	clock_gettime(CLOCK_MONOTONIC, &started);
	signal(SIGPIPE, SIG_IGN);
	if (!repo || !out || !tmp)
		cell_skip("REPO, OUT and TMP have to be set");
	snprintf(path, sizeof(path), "%s/record.txt", out);
	record_file = fopen(path, "w");
	cell_record("TROUBLE=%d, %u nodes, %u workers", cell_trouble(),
		    s->nodes, s->workers);
	read_command(repo);
	pthread_mutexattr_init(&attr);
	pthread_mutexattr_settype(&attr, PTHREAD_MUTEX_RECURSIVE);
	pthread_mutex_init(&lock, &attr);
	base = event_base_new();
	workers_init(s->workers, s->far_ms, s->workers_far);
	put_config(s);
	for (unsigned int i = 0; i < s->nodes; i++) {
		struct node *n = &nodes[i];

		snprintf(n->name, sizeof(n->name), "edge-%u", i);
		snprintf(n->settings, sizeof(n->settings), "%s/node-%u.ini",
			 tmp, i);
		n->store_port.far_ms = s->far_nodes >> i & 1 ? s->far_ms : 0;
		n->store = http_listen(store_request, &n->store_port);
		n->front = free_port();
		n->readiness = free_port();
		n->metrics = free_port();
		n->peer = free_port();
		write_settings(repo, n);
		n_nodes++;
	}
	pthread_create(&thread, NULL, serve, base);
	for (unsigned int i = 0; i < n_nodes; i++)
		cell_node_start(i);
	wait_ready();
	cell_record("the cell is ready, %s owns it", nodes[cell_owner()].name);
}

/* Calls */

static int connect_to(uint16_t port, int timeout_ms)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_port = htons(port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct timeval tv = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	if (connect(fd, (struct sockaddr *)&at, sizeof(at))) {
		close(fd);
		return -1;
	}
	return fd;
}

int cell_call(unsigned int node, const char *method, const char *path,
	      const char *body, int timeout_ms, char *reply, size_t size)
{
	int fd = connect_to(nodes[node].front, timeout_ms);
	int64_t until = cell_now_ms() + timeout_ms;
	char *request = NULL;
	char *content;
	size_t used = 0;
	ssize_t n;
	int status = 0;
	int len;

	reply[0] = '\0';
	if (fd < 0)
		return 0;
	len = asprintf(&request,
		       "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s"
		       "\r\nContent-Type: application/json\r\n"
		       "Content-Length: %zu\r\nX-Deadline-Ms: %d\r\n"
		       "Connection: close\r\n\r\n%s",
		       method, path, CELL_HOST, CELL_KEY, strlen(body),
		       timeout_ms, body);
	if (send(fd, request, (size_t)len, MSG_NOSIGNAL) == len) {
		while (used + 1 < size && cell_now_ms() < until &&
		       (n = recv(fd, reply + used, size - used - 1, 0)) > 0)
			used += (size_t)n;
	}
	reply[used] = '\0';
	close(fd);
	free(request);
	content = strstr(reply, "\r\n\r\n");
	if (!content || sscanf(reply, "HTTP/1.1 %d", &status) != 1)
		return 0;
	memmove(reply, content + 4, strlen(content + 4) + 1);
	return status;
}

int cell_job_status(unsigned int node, uint64_t id, char *state, size_t size)
{
	char path[64];
	char reply[1024];
	char *at;
	int status;

	snprintf(path, sizeof(path), "%s%016" PRIx64, CELL_PREFIX, id);
	status = cell_call(node, "GET", path, "", CALL_TIMEOUT_MS, reply,
			   sizeof(reply));
	at = strstr(reply, "\"state\":\"");
	snprintf(state, size, "%.*s", at ? (int)strcspn(at + 9, "\"") : 0,
		 at ? at + 9 : "");
	return status;
}

bool cell_submit(uint64_t id, const char *spec, const char *steps)
{
	char path[64];
	char body[4096];
	char reply[1024];
	int status = 0;

	snprintf(path, sizeof(path), "%s%016" PRIx64, CELL_PREFIX, id);
	snprintf(body, sizeof(body), "{\"spec\":\"%s\",\"steps\":%s}", spec,
		 steps);
	for (unsigned int i = 0; i < ATTEMPTS; i++) {
		unsigned int node = (unsigned int)(id + i) % n_nodes;

		status = cell_call(node, "POST", path, body, CALL_TIMEOUT_MS,
				   reply, sizeof(reply));
		cell_record("consumer: POST %016" PRIx64 " to %s: %d", id,
			    nodes[node].name, status);
		if (status / 100 == 2)
			return true;
		cell_sleep_ms(200);
	}
	return false;
}
