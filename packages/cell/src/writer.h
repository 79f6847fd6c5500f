#ifndef CELL_WRITER_H
#define CELL_WRITER_H

#include "vh/ports.h"

/*
 * WRITE_STORED	  it lasts
 * WRITE_REFUSED  surely not stored, and never will be
 * WRITE_UNKNOWN  the time ran out; it may be stored
 */
enum write_outcome {
	WRITE_STORED,
	WRITE_REFUSED,
	WRITE_UNKNOWN
};

/**
 * struct writer - appends records of many callers together
 *
 * Load that it answers: requests come faster than the store answers. One
 * append is out at a time and carries all that came meanwhile. Records are
 * idempotent by their keys, so one without an answer is sent again until its
 * caller's deadline.
 */
struct writer {
	struct vh_kernel *kernel;
	const struct vh_ports *ports;
	enum vh_topic topic;
	GQueue waiting;
	GQueue sent;
	bool open;
	int64_t stored_ms; /* when the store last took an append, 0: never */
	struct vh_timer retry;
};

void writer_init(struct writer *w, struct vh_kernel *kernel,
		 const struct vh_ports *ports, enum vh_topic topic);
void writer_finish(struct writer *w);

/**
 * writer_add - appends a record
 * @key, @value: copied
 * @deadline_ms: monotonic; @done is called by then
 */
void writer_add(struct writer *w, struct vh_slice key, struct vh_slice value,
		int64_t deadline_ms,
		void (*done)(void *ctx, enum write_outcome outcome), void *ctx);

/* writer_pending - records whose outcome is not known yet */
size_t writer_pending(const struct writer *w);

#endif
