#ifndef VH_STREAMS_H
#define VH_STREAMS_H

/*
 * Stores the records of the simulated log in memory. Internal to the package:
 * the log server uses it.
 */

#include "vh/buf.h"

/**
 * struct vh_streams - append-only streams of records, in memory
 * @retain_records: records kept per stream; 0: all
 * @retain_ms: time for which a record is kept; 0: forever
 *
 * Performs no I/O; the caller passes the time.
 */
struct vh_streams {
	struct _GHashTable *by_name;
	uint64_t retain_records;
	int64_t retain_ms;
};

void vh_streams_init(struct vh_streams *s, uint64_t retain_records,
		     int64_t retain_ms);
void vh_streams_finish(struct vh_streams *s);

/* vh_streams_append - appends a record and returns its offset */
uint64_t vh_streams_append(struct vh_streams *s, const char *name,
			   struct vh_slice record, int64_t now_ms);

/* vh_streams_expire - removes the records that exceed the retention */
void vh_streams_expire(struct vh_streams *s, int64_t now_ms);

/* vh_streams_bounds - returns the offsets of the oldest kept record and of the
 * next record to be appended */
void vh_streams_bounds(const struct vh_streams *s, const char *name,
		       uint64_t *first, uint64_t *next);

/**
 * vh_streams_read - writes [first, next, [[offset, bin], ...]] as msgpack
 * @from: offset of the first record
 * @max_bytes: maximum size of the records; one larger record is still returned
 *
 * Returns false if @from is below the oldest kept offset.
 */
bool vh_streams_read(const struct vh_streams *s, const char *name,
		     uint64_t from, size_t max_bytes, struct vh_buf *out);

#endif
