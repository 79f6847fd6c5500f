/* Measures a node's traffic for membership and summaries, by cluster size. */
#include <signal.h>
#include <stdio.h>

#include "vh/peer.h"

#define NODES_MAX 200
#define HEARTBEAT_MS 500
#define WARMUP_MS 20000
#define MEASURE_MS 10000
#define SUMMARY_BYTES 200
#define SUMMARY_EVERY_MS 1000
#define BOUND_BYTES_PER_S 11000.0

struct bench {
	struct vh_kernel kernel;
	struct vh_peer *peers[NODES_MAX];
	size_t n;
	struct vh_timer summary_timer;
	unsigned int summary_changes;
};

static uint64_t total_bytes(const struct bench *b)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < b->n; i++) {
		uint64_t sent, received;

		vh_peer_byte_counts(b->peers[i], &sent, &received);
		sum += sent + received;
	}
	return sum;
}

static void change_summaries(void *ctx)
{
	struct bench *b = ctx;
	char text[SUMMARY_BYTES];

	memset(text, 'a' + (int)(b->summary_changes++ % 26), sizeof(text));
	for (size_t i = 0; i < b->n; i++)
		vh_peer_set_summary(b->peers[i], vh_slice(text, sizeof(text)));
	vh_timer_start(&b->summary_timer, SUMMARY_EVERY_MS);
}

static void add_node(struct bench *b)
{
	char id[16], seed[32];
	struct vh_slice seeds[1];
	struct vh_peer_settings s = { .address = VH_SLICE("127.0.0.1"),
				      .region = VH_SLICE("lahore"),
				      .zone = VH_SLICE("lahore-a"),
				      .secret = VH_SLICE("secret"),
				      .heartbeat_ms = HEARTBEAT_MS,
				      .suspect_ms = 3 * HEARTBEAT_MS,
				      .dead_ms = 8 * HEARTBEAT_MS };
	struct vh_service *service;
	GError *err = NULL;

	g_snprintf(id, sizeof(id), "node-%zu", b->n);
	s.id = vh_slice_str(id);
	if (b->n) {
		g_snprintf(seed, sizeof(seed), "127.0.0.1:%u",
			   vh_peer_port(b->peers[0]));
		seeds[0] = vh_slice_str(seed);
		s.seeds = seeds;
		s.n_seeds = 1;
	}
	b->peers[b->n] = vh_peer_new(&s, &b->kernel);
	service = vh_peer_service(b->peers[b->n]);
	if (!service->start(service->self, &b->kernel, &err))
		g_error("%s", err->message);
	b->n++;
}

static void run_for(struct bench *b, int64_t ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = ms % 1000 * 1000 };

	event_base_loopexit(b->kernel.base, &tv);
	event_base_loop(b->kernel.base, EVLOOP_NO_EXIT_ON_EMPTY);
}

/* Mean number of nodes that a node sees in @state. */
static double mean_seen(const struct bench *b, enum vh_node_state state)
{
	size_t sum = 0;

	for (size_t i = 0; i < b->n; i++) {
		const struct vh_node *nodes;
		size_t n = vh_peer_nodes(b->peers[i], &nodes);

		for (size_t k = 0; k < n; k++)
			sum += nodes[k].state == state;
	}
	return (double)sum / (double)b->n;
}

static void measure(size_t n)
{
	struct bench *b = g_new0(struct bench, 1);
	uint64_t before;
	double rate;

	vh_kernel_init(&b->kernel, vh_clock_system());
	while (b->n < n)
		add_node(b);
	vh_timer_init(&b->summary_timer, &b->kernel, change_summaries, b);
	vh_timer_start(&b->summary_timer, 0);
	run_for(b, WARMUP_MS);
	before = total_bytes(b);
	run_for(b, MEASURE_MS);
	rate = (double)(total_bytes(b) - before) / (double)n /
	       (MEASURE_MS / 1000.0);
	printf("bench membership_bytes_%zu_nodes %.0f B/s/node %.0f %s\n", n,
	       rate, BOUND_BYTES_PER_S,
	       rate <= BOUND_BYTES_PER_S ? "ok" : "FAIL");
	printf("bench membership_seen_alive_%zu_nodes %.1f nodes %zu %s\n", n,
	       mean_seen(b, VH_NODE_ALIVE), n,
	       mean_seen(b, VH_NODE_ALIVE) >= (double)n - 0.5 ? "ok" : "FAIL");
	printf("bench membership_seen_suspect_%zu_nodes %.1f nodes 0 info\n", n,
	       mean_seen(b, VH_NODE_SUSPECT));
	printf("bench membership_seen_dead_%zu_nodes %.1f nodes 0 info\n", n,
	       mean_seen(b, VH_NODE_DEAD));
	fflush(stdout);
	vh_timer_finish(&b->summary_timer);
	for (size_t i = 0; i < b->n; i++) {
		struct vh_service *service = vh_peer_service(b->peers[i]);

		service->stop(service->self);
	}
	for (size_t i = 0; i < b->n; i++)
		vh_peer_free(b->peers[i]);
	vh_kernel_finish(&b->kernel);
	g_free(b);
}

int main(void)
{
	signal(SIGPIPE, SIG_IGN);
	measure(7);
	measure(50);
	measure(NODES_MAX);
	return 0;
}
