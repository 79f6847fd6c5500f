#ifndef VH_RECORD_H
#define VH_RECORD_H

/*
 * The stored form of log records, of the batches that hold them and of job
 * specs. Called by the streams, claims, homes and snapshots of this package and
 * by packages/core.
 */

#include "vh/buf.h"
#include "vh/error.h"
#include "vh/job.h"

/**
 * enum vh_rec_kind - kinds of log records
 *
 * The numbers are part of the stored format and must not change. Readers skip
 * unknown kinds.
 */
enum vh_rec_kind {
	VH_REC_CLAIM = 1,     /* stream "claims": a node takes a unit */
	VH_REC_RELEASE = 2,   /* stream "claims": an owner releases it */
	VH_REC_PUBLISH = 3,   /* stream "config": a set of changed objects */
	VH_REC_OPEN = 10,     /* home stream: a new owner's first record */
	VH_REC_JOB = 11,      /* home stream: a job was accepted */
	VH_REC_ATTEMPT = 12,  /* home stream: a non-idempotent start */
	VH_REC_END = 13,      /* home stream: a task ended */
	VH_REC_CANCEL = 14,   /* home stream: a job was cancelled */
	VH_REC_TRANSFER = 15, /* home stream: credit between homes */
	VH_REC_REQUEST = 16,  /* home stream: a non-idempotent request starts */
	VH_REC_REQUEST_END = 17, /* home stream: its result */
	VH_REC_SNAP_BEGIN = 30,	 /* any stream: a chunked snapshot */
	VH_REC_SNAP_CHUNK = 31,
	VH_REC_SNAP_END = 32,
};

/**
 * struct vh_batch - the records of one writer in one append
 * @writer: node id and incarnation, "node-1/5f3a9c"; never reused
 * @seq: numbers the writer's batches in this stream from 1
 * @epoch: epoch of the unit that the stream belongs to, 0 for none
 * @records: packed records
 *
 * Format: msgpack array [version, writer, seq, epoch, checksum, records]. The
 * records are a byte string of concatenated [kind, body] arrays. The checksum
 * is the first 8 bytes of the SHA-256 of the packed writer, seq and epoch and
 * the records.
 */
struct vh_batch {
	struct vh_slice writer;
	uint64_t seq;
	uint64_t epoch;
	struct vh_slice records;
};

/* vh_batch_pack - appends the packed batch to @out */
void vh_batch_pack(const struct vh_batch *batch, struct vh_buf *out);

/*
 * vh_batch_unpack - sets VH_ERR_CORRUPT if the batch is truncated, damaged or
 * of another version
 */
bool vh_batch_unpack(struct vh_slice bytes, struct vh_batch *out, GError **err);

/* vh_record_add - appends one [kind, body] array to @records */
void vh_record_add(struct vh_buf *records, enum vh_rec_kind kind,
		   struct vh_slice body);

/*
 * vh_record_next - removes the first record from @rest. Returns false at the
 * end or on malformed bytes; @rest is not empty in the latter case.
 */
bool vh_record_next(struct vh_slice *rest, uint32_t *kind,
		    struct vh_slice *body);

/*
 * Job specs in msgpack, used in records and between nodes. The unpacked spec
 * points into @bytes; free its tasks with g_free().
 */
void vh_job_spec_pack(const struct vh_job_spec *spec, struct vh_buf *out);
bool vh_job_spec_unpack(struct vh_slice bytes, struct vh_job_spec *out,
			GError **err);

#endif
