#ifndef VH_STREAM_PRIV_H
#define VH_STREAM_PRIV_H

/*
 * Internal to the package: the data of struct vh_stream, shared by stream.c,
 * stream_append.c and snapshot.c.
 */

#include "backoff.h"
#include "vh/stream.h"
#include "writers.h"

/* A record that is queued or being appended. */
struct stream_record {
	struct stream_record *next;
	uint64_t epoch;
	void (*done)(void *arg, enum vh_err err, uint64_t offset);
	void *arg;
	size_t len;
	char record[];
};

/* Records in queue order. */
struct stream_queue {
	struct stream_record *head;
	struct stream_record **tail;
	size_t bytes;
};

/*
 * Context of one transport request. It may outlive the stream; a reply whose
 * token is not the newest is ignored.
 */
struct stream_request {
	struct stream_request *next;
	struct vh_stream *stream;
	uint64_t token;
	int64_t start_ms;
};

enum append_state {
	APPEND_NONE,	/* no batch in flight */
	APPEND_SENT,	/* waiting for the reply */
	APPEND_BACKOFF, /* waiting to be sent again */
	APPEND_ACKED	/* at @offset; not yet read up to there */
};

struct stream_append {
	enum append_state state;
	uint64_t seq;
	uint64_t epoch;
	uint64_t offset;
	uint64_t token;
	int64_t start_ms;
	struct vh_buf bytes;
	struct stream_queue in_flight;
	struct vh_backoff backoff;
};

struct vh_stream {
	struct vh_stream_settings settings;
	struct vh_log_transport transport;
	struct vh_stream_callbacks callbacks;
	char *writer; /* unique to this stream object */
	GRand *rand;
	struct stream_request *requests;
	uint64_t last_token;
	int64_t now_ms;

	bool started;
	bool caught_up;
	uint64_t next;
	int64_t fresh_ms;
	uint64_t open_epoch; /* newest epoch of a VH_REC_OPEN */
	struct vh_writers writers;
	bool reading;
	uint64_t read_token;
	int64_t read_start_ms;
	int64_t read_wait_ms;
	struct vh_backoff read_backoff;

	uint64_t epoch;
	uint64_t snapshots;		/* number written */
	struct snap_write *snap_writes; /* in progress */
	struct stream_queue queued;
	struct stream_append append;
	struct vh_stream_stats stats;
};

void stream_queue_init(struct stream_queue *q);
struct stream_request *stream_request_new(struct vh_stream *s);
void stream_request_free(struct stream_request *request);

/* Applies the log entry at the next offset. */
void stream_apply_entry(struct vh_stream *s, struct vh_slice bytes);

/* The own batch @seq was applied at @offset. */
void stream_append_applied(struct vh_stream *s, uint64_t seq, uint64_t offset);

/* Ends all appends of epochs below @s->opened; they have no effect. */
void stream_append_fence(struct vh_stream *s);

/* Handles an acknowledged append that was not found at its offset. */
void stream_append_missed(struct vh_stream *s);

/* Reading restarts elsewhere: the batch in flight may never be seen. */
void stream_append_restart(struct vh_stream *s);
int64_t stream_append_tick(struct vh_stream *s);
void stream_append_finish(struct vh_stream *s);

/* snapshot.c */
void snap_writes_free(struct vh_stream *s);

#endif
