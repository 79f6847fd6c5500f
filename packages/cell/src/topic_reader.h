#ifndef CELL_FOLLOW_H
#define CELL_FOLLOW_H

#include "vh/ports.h"

/**
 * struct topic_reader - keeps up with one topic
 * @wait_ms: how long a read may wait for a record
 * @pause_ms: pause between two reads, for topics that change all the time
 * @tail_only: starts at the end instead of with the newest of each key
 * @record: one record, in order; the newest of each key come first
 * @fresh: all that the store held at @as_of_ms has been given
 *
 * Reads again from the newest of each key when the history it needs is gone.
 */
struct topic_reader {
	struct vh_kernel *kernel;
	const struct vh_ports *ports;
	enum vh_topic topic;
	int64_t wait_ms;
	int64_t pause_ms;
	void (*record)(void *ctx, const struct vh_record *r);
	void (*fresh)(void *ctx, int64_t as_of_ms);
	void *ctx;

	bool stopped;
	bool open; /* a call is out */
	bool loaded;
	uint64_t next; /* offset to read from */
	char *after;   /* key behind which the next page starts */
	int64_t sent_ms;
	int64_t fresh_ms; /* as of when all is known, 0: never */
	unsigned int failures;
	struct vh_timer timer;
};

void topic_reader_start(struct topic_reader *f);

/* topic_reader_stop - no callback comes afterwards; @f must live until topic_reader_idle() */
void topic_reader_stop(struct topic_reader *f);

/* topic_reader_idle - no call is out any more */
bool topic_reader_idle(const struct topic_reader *f);
void topic_reader_finish(struct topic_reader *f);

/* topic_reader_age_ms - how long ago the topic is known to have held no more */
int64_t topic_reader_age_ms(const struct topic_reader *f, int64_t now_ms);

#endif
