#ifndef VH_LOG_SERVER_H
#define VH_LOG_SERVER_H

/*
 * Simulates the platform's log service over HTTP, with faults to inject.
 * Internal to the package: vh-standin-log runs it.
 */

#include "httpd.h"
#include "streams.h"

/** enum vh_log_outage - behaviour of the log service during an outage */
enum vh_log_outage {
	VH_LOG_OUTAGE_NONE,
	VH_LOG_OUTAGE_REFUSE, /* responds with 503; nothing is appended */
	VH_LOG_OUTAGE_SILENT, /* closes the connection without a response */
	VH_LOG_OUTAGE_HANG    /* handles requests after the outage only */
};

/**
 * struct vh_log_faults - faults to inject, set by POST /control
 * @outage: type of the outage, VH_LOG_OUTAGE_NONE for normal operation
 * @latency_ms: normal latency of a response
 * @jitter_ms: upper bound of the random latency added to it
 * @slow_ms: latency added as a fault
 * @effect_delay_ms: delay of the effect of an append whose connection is
 *		     closed without a response; 0: it has the normal latency
 * @lose_replies: probability that an append takes effect but gets no response
 * @reject: probability that an append gets a 503
 * @max_appends_per_s: appends above this rate get a 429; 0: no limit
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

/** struct vh_log_counters - counters of the service, served by GET /stats */
struct vh_log_counters {
	uint64_t appends;
	uint64_t append_bytes;
	uint64_t reads;
	uint64_t read_bytes;
	uint64_t rejected;
	uint64_t lost_replies;
};

/**
 * struct vh_log_server - simulates the log service of docs/PLATFORM.md
 */
struct vh_log_server {
	struct vh_httpd http;
	struct vh_streams streams;
	struct vh_log_faults faults;
	struct vh_log_counters counters;
	struct _GRand *rand;
	struct _GPtrArray *waiting_reads;   /* long polls for a record */
	struct _GPtrArray *hung_requests;   /* deferred by an outage */
	struct _GPtrArray *pending_appends; /* not yet in effect */
	struct vh_timer retention_timer;
	int64_t window_s; /* second in which appends_in_window is counted */
	int64_t appends_in_window;
};

bool vh_log_server_start(struct vh_log_server *s, struct vh_kernel *kernel,
			 uint16_t port, const struct vh_log_faults *faults,
			 uint64_t retain_records, int64_t retain_ms,
			 uint32_t seed, GError **err);
void vh_log_server_stop(struct vh_log_server *s);

#endif
