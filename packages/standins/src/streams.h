#ifndef VH_STREAMS_H
#define VH_STREAMS_H

#include "vh/buf.h"

/**
 * struct vh_streams - append-only streams of records, in memory
 * @retain_records: records kept per stream, 0 for all
 * @retain_ms: how long a record is kept, 0 for ever
 *
 * Pure: time comes in as milliseconds.
 */
struct vh_streams {
	struct _GHashTable *by_name;
	uint64_t retain_records;
	int64_t retain_ms;
};

void vh_streams_init(struct vh_streams *s, uint64_t retain_records,
		     int64_t retain_ms);
void vh_streams_finish(struct vh_streams *s);

/* vh_streams_append - returns the record's offset */
uint64_t vh_streams_append(struct vh_streams *s, const char *name,
			   struct vh_slice record, int64_t now_ms);

/* vh_streams_expire - removes what retention no longer keeps */
void vh_streams_expire(struct vh_streams *s, int64_t now_ms);

/* vh_streams_bounds - oldest kept offset and the next one to be given */
void vh_streams_bounds(const struct vh_streams *s, const char *name,
		       uint64_t *first, uint64_t *next);

/**
 * vh_streams_read - appends [first, next, [[offset, bin], ...]] as msgpack
 * @from: first offset wanted
 * @max_bytes: room for records; one is given even when it is larger
 *
 * Returns false when @from is below the oldest kept offset.
 */
bool vh_streams_read(const struct vh_streams *s, const char *name,
		     uint64_t from, size_t max_bytes, struct vh_buf *out);

#endif
