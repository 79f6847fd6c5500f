#ifndef CELL_WRITER_H
#define CELL_WRITER_H

#include "vh/ports.h"

/*
 * WRITE_STORED	  it lasts
 * WRITE_NOT_SENT  never sent, since the store is silent: surely not stored
 * WRITE_UNKNOWN  the time ran out; it may be stored
 * WRITE_REJECTED  the store refused it: surely not stored; it may serve others
 */
enum write_outcome {
	WRITE_STORED,
	WRITE_NOT_SENT,
	WRITE_UNKNOWN,
	WRITE_REJECTED
};

/**
 * struct writer - appends records of many callers together
 *
 * Load that it answers: requests come faster than the store answers, or it
 * does not answer at all. One append is out at a time and carries all that
 * came meanwhile. While one has been out for long, what has not been sent is
 * refused, so that its caller can go elsewhere. How long that is follows from
 * how long the store has been taking: a slow one is not a silent one, and tries
 * given up too early only add to what it has to do. Records are idempotent by
 * their keys, so one without an answer is sent again, for a while.
 */
struct writer {
	struct vh_kernel *kernel;
	const struct vh_ports *ports;
	enum vh_topic topic;
	GQueue waiting;
	GQueue sent;
	bool open;
	bool closed;
	int64_t linger_ms; /* how long a record waits for company; 0: not */
	int64_t first_ms;  /* when the first that waits came */
	int64_t sent_ms;   /* when the append that is out was sent */
	int64_t took_ms;   /* how long stored appends take, the newest most */
	unsigned int
		consecutive_timeouts; /* tries in a row without an answer */
	int64_t pause_until_ms;
	struct vh_timer tick;
};

void writer_init(struct writer *w, struct vh_kernel *kernel,
		 const struct vh_ports *ports, enum vh_topic topic);

/* writer_finish - ends all that waits; @w must live until writer_idle() */
void writer_finish(struct writer *w);
bool writer_idle(const struct writer *w);

/**
 * writer_add - appends a record
 * @key, @value: copied
 * @deadline_ms: monotonic; @done is called by then, and may be called at once
 * @doubtful: it may be stored already, by another way
 */
void writer_add(struct writer *w, struct vh_slice key, struct vh_slice value,
		int64_t deadline_ms, bool doubtful,
		void (*done)(void *ctx, enum write_outcome outcome), void *ctx);

/* writer_tick - ends what has waited too long; called by a timer of its own */
void writer_tick(struct writer *w);

#endif
