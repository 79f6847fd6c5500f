#ifndef CELL_TOPIC_READER_H
#define CELL_TOPIC_READER_H

/*
 * Reads a topic of the store and follows its changes. Internal to the package;
 * called by cell.c, ownership.c and owner.c.
 */

#include "page_cursor.h"

/**
 * struct topic_reader - reader of one topic
 * @wait_ms: long-poll time of a read
 * @poll_interval_ms: pause between two reads, for topics that change constantly
 * @on_record: called for each record: first the latest of each key, then the
 *	       new records in order
 * @on_snapshot: the newest record of each key follows, or all were delivered;
 *		 may be NULL
 * @on_caught_up: all records that the store held at @as_of_ms were delivered
 * @in_flight: a call to the store has not returned
 * @snapshot_read: the latest record of each key has been read
 * @next_offset: offset to read from
 * @page: the page of the snapshot to read
 * @restarts: how often in a row the snapshot was begun again, as the store started no
 *	      page after any known key
 * @stuck_reads: reads in a row that told of records and held none
 * @read_sent_ms: when the read in flight was sent, or the first of its pages
 * @at_once: the next read does not wait for new records
 * @outdated_read: the read in flight, or an earlier page, was sent before
 *		   topic_reader_refresh()
 * @refreshed: all records as of topic_reader_refresh() are known
 * @caught_up_ms: time as of which all records are known; 0: never
 *
 * Starts over with the latest record of each key if the store no longer retains
 * the offset to read from, or answers reads from there without a record.
 */
struct topic_reader {
	struct vh_kernel *kernel;
	const struct vh_ports *ports;
	enum vh_topic topic;
	int64_t wait_ms;
	int64_t poll_interval_ms;
	void (*on_record)(void *ctx, const struct vh_record *r);
	void (*on_snapshot)(void *ctx, bool begins);
	void (*on_caught_up)(void *ctx, int64_t as_of_ms);
	void *ctx;

	bool stopped;
	bool in_flight;
	bool snapshot_read;
	uint64_t next_offset;
	struct page_cursor page;
	unsigned int restarts;
	unsigned int stuck_reads;
	int64_t read_sent_ms;
	int64_t caught_up_ms;
	bool at_once;
	bool outdated_read;
	bool refreshed;
	unsigned int failures;
	struct vh_timer timer;
};

void topic_reader_start(struct topic_reader *t);

/**
 * topic_reader_stop - stops the callbacks
 *
 * @t must not be freed before topic_reader_idle().
 */
void topic_reader_stop(struct topic_reader *t);

/* topic_reader_hurry - reads at once, unless a read is in flight; the next read
 * does not wait for new records */
void topic_reader_hurry(struct topic_reader *t);

/* topic_reader_refresh - the same, and clears @refreshed until all records that
 * the store holds by now were delivered */
void topic_reader_refresh(struct topic_reader *t);

/* topic_reader_idle - whether no call is pending */
bool topic_reader_idle(const struct topic_reader *t);
void topic_reader_finish(struct topic_reader *t);

/* topic_reader_age_ms - time since the reader last had all records; INT64_MAX
 * if it never had */
int64_t topic_reader_age_ms(const struct topic_reader *t, int64_t now_ms);

#endif
