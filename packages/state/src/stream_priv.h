#ifndef VH_STREAM_PRIV_H
#define VH_STREAM_PRIV_H

#include "backoff.h"
#include "vh/stream.h"
#include "writers.h"

/* One record that waits to be appended or is under way. */
struct stream_record {
	struct stream_record *next;
	uint64_t epoch;
	void (*done)(void *arg, enum vh_err err, uint64_t offset);
	void *arg;
	size_t len;
	char record[];
};

/* Records in the order they were queued. */
struct stream_queue {
	struct stream_record *head;
	struct stream_record **tail;
	size_t bytes;
};

/*
 * What a transport's answer is matched by: it outlives the stream if need be,
 * and an answer whose token is not the newest is old.
 */
struct stream_request {
	struct stream_request *next;
	struct vh_stream *stream;
	uint64_t token;
	int64_t start_ms;
};

enum append_state {
	APPEND_NONE,	/* no batch under way */
	APPEND_SENT,	/* waits for the reply */
	APPEND_BACKOFF, /* to be sent again */
	APPEND_ACKED	/* at @offset; not read up to there yet */
};

struct stream_append {
	enum append_state state;
	uint64_t seq;
	uint64_t epoch;
	uint64_t offset;
	uint64_t token;
	int64_t start_ms;
	struct vh_buf bytes;
	struct stream_queue items;
	struct vh_backoff backoff;
};

struct vh_stream {
	struct vh_stream_settings settings;
	struct vh_log_transport transport;
	struct vh_stream_callbacks callbacks;
	char *writer; /* no other stream object ever has the same */
	GRand *rand;
	struct stream_request *calls;
	uint64_t tokens;
	int64_t now_ms;

	bool started;
	bool caught_up;
	uint64_t next;
	int64_t fresh_ms;
	uint64_t opened; /* newest epoch of a VH_REC_OPEN */
	struct vh_writers writers;
	bool reading;
	uint64_t read_token;
	int64_t read_start_ms;
	int64_t read_wait_ms;
	struct vh_backoff read_backoff;

	uint64_t epoch;
	uint64_t snapshots;		/* written */
	struct snap_write *snap_writes; /* under way */
	struct stream_queue waiting;
	struct stream_append append;
	struct vh_stream_stats stats;
};

void stream_queue_init(struct stream_queue *q);
struct stream_request *stream_request_new(struct vh_stream *s);
void stream_request_free(struct stream_request *call);

/* Handles the batch at the next offset. */
void stream_apply_entry(struct vh_stream *s, struct vh_slice bytes);

/* The own batch @seq was applied at @offset. */
void stream_append_applied(struct vh_stream *s, uint64_t seq, uint64_t offset);

/* Ends all appends of epochs below @s->opened: they have no effect. */
void stream_append_fence(struct vh_stream *s);

/* Reading went past @offset without settling an acknowledged append there. */
void stream_append_missed(struct vh_stream *s);

/* Reading starts elsewhere: the batch under way may never be seen. */
void stream_append_restart(struct vh_stream *s);
int64_t stream_append_tick(struct vh_stream *s);
void stream_append_finish(struct vh_stream *s);

/* snapshot.c */
void snap_writes_free(struct vh_stream *s);

#endif
