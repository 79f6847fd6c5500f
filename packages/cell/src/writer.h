#ifndef CELL_WRITER_H
#define CELL_WRITER_H

/*
 * Durable writes to a topic of the store, with an outcome for each record.
 * Internal to the package; called by cell.c and the sources of the owner.
 */

#include "vh/ports.h"

/**
 * enum write_outcome - what became of a record
 * @WRITE_STORED: durably stored
 * @WRITE_NOT_SENT: not stored; never sent because the store does not respond
 * @WRITE_UNKNOWN: timed out; may or may not be stored
 * @WRITE_REJECTED: not stored; refused by the store, which may still accept
 *		    writes from other nodes
 * @WRITE_INVALID: not stored; refused by the store, and would be by any node
 */
enum write_outcome {
	WRITE_STORED,
	WRITE_NOT_SENT,
	WRITE_UNKNOWN,
	WRITE_REJECTED,
	WRITE_INVALID
};

/**
 * struct writer - batches records of many callers into appends
 * @waiting: records that are not part of the append in flight
 * @sent: records of the append in flight
 * @batch_bytes_max: bytes of the records of one append
 * @batch_bytes: the same, while the store refuses larger ones
 * @linger_ms: how long to wait for further records before an append; 0: send
 *	       at once
 * @queued_since_ms: when @waiting last became non-empty
 * @sent_ms: when the append in flight was sent
 * @latency_ms: decaying maximum of the duration of successful appends
 * @consecutive_timeouts: attempts in a row without an answer
 *
 * Requests may arrive faster than the store answers, or the store may not
 * answer at all. At most one append is in flight; the next one carries all
 * records that arrived meanwhile. If an append takes too long, records that
 * have not been sent complete as WRITE_NOT_SENT, so that their callers can try
 * another node. The time limit of an append follows the observed latency: a
 * slow store is not an unresponsive one, and attempts that are given up too
 * early only add to its load. Storing a record twice has no further effect, so
 * a record whose append had no answer is sent again until it is given up. An append that
 * the store would refuse again is divided, until the record that it refuses stands alone.
 */
struct writer {
	struct vh_kernel *kernel;
	const struct vh_ports *ports;
	enum vh_topic topic;
	GQueue waiting;
	GQueue sent;
	bool in_flight;
	bool closed;
	size_t batch_bytes_max;
	size_t batch_bytes;
	int64_t linger_ms;
	int64_t queued_since_ms;
	int64_t sent_ms;
	int64_t latency_ms;
	unsigned int consecutive_timeouts;
	int64_t retry_at_ms;
	struct vh_timer timer;
};

void writer_init(struct writer *w, struct vh_kernel *kernel,
		 const struct vh_ports *ports, enum vh_topic topic,
		 const struct vh_store_limits *limits);

/**
 * writer_finish - completes all records as not sent or unknown
 *
 * @w must not be freed before writer_idle().
 */
void writer_finish(struct writer *w);
bool writer_idle(const struct writer *w);

/**
 * writer_add - appends a record
 * @key, @value: copied
 * @deadline_ms: monotonic time by which @done is called
 * @maybe_stored: the record may already be stored by another node
 * @done: may be called before writer_add() returns
 */
void writer_add(struct writer *w, struct vh_slice key, struct vh_slice value,
		int64_t deadline_ms, bool maybe_stored,
		void (*done)(void *ctx, enum write_outcome outcome), void *ctx);

/* writer_tick - gives up overdue records and sends; called by the timer */
void writer_tick(struct writer *w);

#endif
