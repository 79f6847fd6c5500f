#ifndef VH_LOG_SERVER_H
#define VH_LOG_SERVER_H

#include "httpd.h"
#include "streams.h"

/** enum vh_log_outage - how the log service is out of reach */
enum vh_log_outage {
	VH_LOG_OUTAGE_NONE,
	VH_LOG_OUTAGE_REFUSE, /* answers 503: surely not appended */
	VH_LOG_OUTAGE_SILENT, /* closes the connection without an answer */
	VH_LOG_OUTAGE_HANG    /* holds each request until it is up again */
};

/**
 * struct vh_log_faults - what goes wrong, set by POST /control
 * @outage: type of the outage, VH_LOG_OUTAGE_NONE for normal operation
 * @latency_ms: usual time to an answer
 * @jitter_ms: a random part added to it, 0 to this
 * @slow_ms: added to it, as a fault
 * @effect_delay_ms: an append takes effect this long after its connection was
 *		     closed without an answer; 0: in time
 * @lose_replies: probability that an append takes effect without an answer
 * @reject: probability of a 503
 * @max_appends_per_s: more get a 429; 0 for no limit
 */
struct vh_log_faults {
	enum vh_log_outage outage;
	int64_t latency_ms;
	int64_t jitter_ms;
	int64_t slow_ms;
	int64_t effect_delay_ms;
	double lose_replies;
	double reject;
	int64_t max_appends_per_s;
};

/** struct vh_log_counters - what the service did, GET /stats */
struct vh_log_counters {
	uint64_t appends;
	uint64_t append_bytes;
	uint64_t reads;
	uint64_t read_bytes;
	uint64_t rejected;
	uint64_t lost_replies;
};

/**
 * struct vh_log_server - the log service of docs/PLATFORM.md
 */
struct vh_log_server {
	struct vh_httpd http;
	struct vh_streams streams;
	struct vh_log_faults faults;
	struct vh_log_counters counters;
	struct _GRand *rand;
	struct _GPtrArray *waiting_reads;   /* reads that wait for a record */
	struct _GPtrArray *hung_requests;   /* requests held by an outage */
	struct _GPtrArray *pending_appends; /* appends on their way */
	struct vh_timer retention_timer;
	int64_t window_s; /* window of max_appends_per_s */
	int64_t appends_in_window;
};

bool vh_log_server_start(struct vh_log_server *s, struct vh_kernel *kernel,
			 uint16_t port, const struct vh_log_faults *faults,
			 uint64_t retain_records, int64_t retain_ms,
			 uint32_t seed, GError **err);
void vh_log_server_stop(struct vh_log_server *s);

#endif
