#ifndef VH_PORTS_H
#define VH_PORTS_H

#include "vh/engine.h"
#include "vh/kernel.h"

/*
 * What the cell needs from outside: a store that keeps topics of records by
 * key, workers, and a policy service. Each is a table of operations with a
 * context; every operation calls back exactly once, later, from the loop.
 */

/**
 * enum vh_topic - where records lie
 * @VH_TOPIC_OBJECTS: the operators' configuration; read only
 * @VH_TOPIC_FLEET: workers, as they list themselves; read only
 * @VH_TOPIC_OWNER: who owns the cell
 * @VH_TOPIC_JOBS: accepted jobs and cancellings, from every node
 * @VH_TOPIC_STATE: states of jobs, from the owner
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
	VH_STORE_UNKNOWN,      /* no answer: done, or not, or done later */
	VH_STORE_REFUSED,      /* nothing was done */
	VH_STORE_FENCED,       /* a writer with a higher epoch has written */
	VH_STORE_BAD_SEQUENCE, /* not the number that follows; see expected */
	VH_STORE_CONFLICT, /* the topic does not end where it was to; see end */
	VH_STORE_OFFSET_GONE /* the offset is no longer kept */
};

/**
 * struct vh_record - a record of a topic
 * @offset: its number; 0 when it is to be written
 * @value: empty: the key is dropped
 */
struct vh_record {
	struct vh_slice key;
	struct vh_slice value;
	uint64_t offset;
};

/**
 * struct vh_append - records to be added, all or none
 * @records: none: sets the epoch only
 * @if_end: only if the topic ends at @end
 * @epoch: of this writer, 0: no fencing; fences writers with lower ones
 * @sequence: one more than that of the last append of this epoch
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
 * struct vh_append_reply
 * @offset: of the first record written
 * @end: where the topic ends
 * @expected: sequence that would have been right
 */
struct vh_append_reply {
	enum vh_store_result result;
	uint64_t offset;
	uint64_t end;
	uint64_t expected;
};

/**
 * struct vh_read_reply
 * @records: valid during the callback
 * @end: where the topic ended
 * @more: there are further pages; continue behind the last key
 */
struct vh_read_reply {
	enum vh_store_result result;
	const struct vh_record *records;
	size_t n;
	uint64_t end;
	bool more;
};

struct vh_store_ops {
	void (*append)(void *self, const struct vh_append *a,
		       void (*done)(void *ctx, const struct vh_append_reply *),
		       void *ctx);
	/* read - records from an offset on; waits up to @wait_ms for one */
	void (*read)(void *self, enum vh_topic topic, uint64_t from,
		     int64_t wait_ms,
		     void (*done)(void *ctx, const struct vh_read_reply *),
		     void *ctx);
	/* newest - the newest record of each key, a page behind @after */
	void (*newest)(void *self, enum vh_topic topic, struct vh_slice after,
		       void (*done)(void *ctx, const struct vh_read_reply *),
		       void *ctx);
};

/**
 * struct vh_worker_ops - calls to workers
 * @address: IP:PORT
 * @id: of the boot that is meant
 */
struct vh_worker_ops {
	void (*start)(void *self, struct vh_slice address, uint64_t fence,
		      const struct eng_start_request *o,
		      void (*done)(void *ctx, enum eng_reply answer),
		      void *ctx);
	void (*stop)(void *self, struct vh_slice address, struct vh_slice id,
		     uint64_t fence, struct eng_task_ref task,
		     void (*done)(void *ctx, enum eng_reply answer), void *ctx);
	/* hold - @report is NULL unless @answer is ENG_REPLY_OK */
	void (*hold)(void *self, struct vh_slice address, uint64_t fence,
		     const struct eng_hold_request *o,
		     void (*done)(void *ctx, enum eng_reply answer,
				  const struct eng_worker_report *report),
		     void *ctx);
};

/**
 * struct vh_policy_reply - what the policy service said
 * @valid_ms: how long the tickets last
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
 * @host: of the requests that go to it; empty: any
 * @prefix: of their paths
 * @allow_anonymous: no key is needed
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
 * struct vh_api_key - a key and the number of its team in the configuration
 */
struct vh_api_key {
	struct vh_slice key;
	size_t team;
};

/**
 * struct vh_config_view - the operators' configuration, decoded
 * @arena: owns all strings
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
 * struct vh_decode_ops - reads what others write into the store
 * @config: NULL if the record is no configuration
 * @worker: false if the record names no worker to use; @out borrows from
 *	    @scratch, which the caller frees
 */
struct vh_decode_ops {
	struct vh_config_view *(*config)(struct vh_slice key,
					 struct vh_slice value);
	bool (*worker)(struct vh_slice key, struct vh_slice value,
		       struct eng_worker_info *out, GStringChunk *scratch);
};

/**
 * struct vh_ports - all of it
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
