#ifndef VH_PORTS_H
#define VH_PORTS_H

/*
 * Interfaces to the outside of the cell: a store with topics of keyed records,
 * workers and a policy service. Each is a table of operations with a context.
 * Every operation invokes its callback exactly once, from the event loop, after
 * the operation has returned. The cell calls the operations. platform/
 * implements them, and the tests of this package have simulated ones.
 */

#include "vh/engine.h"
#include "vh/kernel.h"

/**
 * enum vh_topic - topics of the store
 * @VH_TOPIC_OBJECTS: the operators' configuration; read only
 * @VH_TOPIC_FLEET: workers that have registered themselves; read only
 * @VH_TOPIC_OWNER: ownership records of the cell
 * @VH_TOPIC_JOBS: accepted jobs and cancellations, written by every node
 * @VH_TOPIC_STATE: states of jobs, written by the owner only
 */
enum vh_topic {
	VH_TOPIC_OBJECTS,
	VH_TOPIC_FLEET,
	VH_TOPIC_OWNER,
	VH_TOPIC_JOBS,
	VH_TOPIC_STATE,
	VH_TOPIC_COUNT
};

enum vh_store_result {
	VH_STORE_OK,
	VH_STORE_UNKNOWN, /* no answer; may have taken effect, or still may */
	VH_STORE_REFUSED, /* rejected without effect */
	VH_STORE_INVALID, /* the same, and so would be the same request later */
	VH_STORE_FENCED,  /* a writer with a higher epoch has written */
	VH_STORE_BAD_SEQUENCE, /* not the next sequence number; see expected */
	VH_STORE_CONFLICT, /* the topic ends elsewhere than required; see end */
	VH_STORE_OFFSET_GONE /* the offset is no longer retained */
};

/**
 * struct vh_record - a record of a topic
 * @offset: position in the topic; 0 for a record to be written
 * @value: empty for a tombstone, which deletes the key
 */
struct vh_record {
	struct vh_slice key;
	struct vh_slice value;
	uint64_t offset;
};

/**
 * struct vh_append - atomic append of records
 * @records: if there are none, the append only sets the epoch
 * @if_end: append only if the topic ends at @end
 * @epoch: epoch of the writer; from then on, the store rejects writers of this
 *	   topic with lower epochs; 0: no fencing
 * @sequence: one more than the sequence number of the previous append of this
 *	      epoch
 */
struct vh_append {
	enum vh_topic topic;
	const struct vh_record *records;
	size_t n;
	bool if_end;
	uint64_t end;
	uint64_t epoch;
	uint64_t sequence;
	int64_t timeout_ms;
};

/**
 * struct vh_append_reply - result of an append
 * @offset: offset of the first record written
 * @end: end of the topic
 * @expected: sequence number that the store expects next
 */
struct vh_append_reply {
	enum vh_store_result result;
	uint64_t offset;
	uint64_t end;
	uint64_t expected;
};

/**
 * struct vh_read_reply - one page of records
 * @records: valid only during the callback
 * @end: end of the topic at the time of the read
 * @more: further pages follow
 * @last_key: the last key of the page, as the store names it as far as the reply
 *	      tells, even if no record is made of it; empty: that of the last record
 *
 * Records whose key is no text are left out, since their key may not be known.
 */
struct vh_read_reply {
	enum vh_store_result result;
	const struct vh_record *records;
	size_t n;
	uint64_t end;
	bool more;
	struct vh_slice last_key;
};

/**
 * struct vh_store_limits - what the store accepts
 * @record_bytes: of one record with its key and their lengths; 0: not known
 * @call_bytes: of all records of one append; 0: not known
 */
struct vh_store_limits {
	size_t record_bytes;
	size_t call_bytes;
};

struct vh_store_ops {
	void (*append)(void *self, const struct vh_append *a,
		       void (*done)(void *ctx, const struct vh_append_reply *),
		       void *ctx);
	/* read - reads the records from offset @from on; if there are none,
	 * waits up to @wait_ms for new ones */
	void (*read)(void *self, enum vh_topic topic, uint64_t from,
		     int64_t wait_ms,
		     void (*done)(void *ctx, const struct vh_read_reply *),
		     void *ctx);
	/* newest - reads the latest record of each key, in pages by key; the
	 * page starts after key @after, or with the first key if it is empty.
	 * VH_STORE_INVALID: no page starts there */
	void (*newest)(void *self, enum vh_topic topic, struct vh_slice after,
		       void (*done)(void *ctx, const struct vh_read_reply *),
		       void *ctx);
};

/**
 * struct vh_worker_ops - calls to workers
 *
 * An order reaches the boot that it is meant for or none, see struct eng_boot. One
 * that was not sent for this reason ends with ENG_REPLY_NOT_SENT.
 */
struct vh_worker_ops {
	void (*start)(void *self, uint64_t fence,
		      const struct eng_start_request *o,
		      void (*done)(void *ctx, enum eng_reply answer),
		      void *ctx);
	void (*stop)(void *self, uint64_t fence,
		     const struct eng_stop_request *o,
		     void (*done)(void *ctx, enum eng_reply answer), void *ctx);
	/* hold - renews the worker's lease and gets its report; @report is
	 * NULL on failure */
	void (*hold)(void *self, uint64_t fence,
		     const struct eng_hold_request *o,
		     void (*done)(void *ctx, enum eng_reply answer,
				  const struct eng_worker_report *report),
		     void *ctx);
};

/**
 * struct vh_policy_reply - answer of the policy service
 * @good: workers that may run the step, with their tickets
 * @valid_ms: lifetime of the tickets
 */
struct vh_policy_reply {
	bool ok;
	const struct eng_advised_worker *good;
	size_t n;
	int64_t valid_ms;
};

struct vh_policy_ops {
	void (*advise)(void *self, uint64_t job, uint32_t step,
		       const struct vh_slice *workers, size_t n,
		       void (*done)(void *ctx, const struct vh_policy_reply *),
		       void *ctx);
};

/**
 * struct vh_queue_config - one queue of the configuration
 * @host: host name of the requests routed to this queue; empty: any
 * @prefix: path prefix of these requests
 * @priority, @max_attempts, @stretch, @target_ms: settings of the queue's jobs,
 *	see struct eng_job_spec
 * @allow_anonymous: requests need no API key
 */
struct vh_queue_config {
	struct vh_slice name;
	struct vh_slice host;
	struct vh_slice prefix;
	struct vh_slice service;
	uint32_t priority;
	uint32_t max_attempts;
	double stretch;
	int64_t target_ms;
	int64_t timeout_ms;
	struct eng_advice_params advice;
	bool allow_anonymous;
};

/**
 * struct vh_api_key - an API key and its team
 * @team: index into the configuration's teams
 */
struct vh_api_key {
	struct vh_slice key;
	size_t team;
};

/**
 * struct vh_config_view - the operators' configuration, decoded
 * @arena: owns all strings of the view
 */
struct vh_config_view {
	uint64_t version;
	struct vh_queue_config *queues;
	size_t n_queues;
	struct eng_team *teams;
	size_t n_teams;
	struct vh_api_key *keys;
	size_t n_keys;
	size_t max_body_bytes;
	GStringChunk *arena;
};

void vh_config_view_free(struct vh_config_view *v);

/**
 * struct vh_decode_ops - decoders for records that the cell does not write
 * @config: returns NULL if the record is not a configuration
 * @drained_zone: returns false if the record is not about the drain of a zone;
 *		  @zone borrows from @key and is empty if the key names none;
 *		  @malformed: the value is not as documented
 * @worker: returns false if the record is not a usable worker; @out borrows
 *	    from @scratch, which the caller frees; @problem: why it is not, a
 *	    constant string; NULL if the record was deleted
 */
struct vh_decode_ops {
	struct vh_config_view *(*config)(struct vh_slice key,
					 struct vh_slice value);
	bool (*drained_zone)(struct vh_slice key, struct vh_slice value,
			     struct vh_slice *zone, bool *malformed);
	bool (*worker)(struct vh_slice key, struct vh_slice value,
		       struct eng_worker_info *out, GStringChunk *scratch,
		       const char **problem);
};

/**
 * struct vh_ports - all interfaces, each with its context
 */
struct vh_ports {
	const struct vh_store_ops *store;
	void *store_self;
	const struct vh_worker_ops *workers;
	void *workers_self;
	const struct vh_policy_ops *policy;
	void *policy_self;
	const struct vh_decode_ops *decode;
};

#endif
