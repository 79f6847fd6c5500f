#ifndef VH_CORE_H
#define VH_CORE_H

#include "vh/kernel.h"
#include "vh/objects.h"
#include "vh/peer.h"

/*
 * What the gateway and the operators' API use of the rest. Each table is the
 * ops of the service of that name; find it with vh_kernel_find().
 */

/**
 * struct vh_config_ops - service "config": the objects in force
 * @objects: the set enforced now; NULL until the first is known. Valid until
 *	     the loop turns.
 * @version: of that set; 0 for none
 * @age_ms: how old this node's newest word from the log, directly or through
 *	    a peer, is; grows while both are out of reach
 * @publish: makes a new version. @base is the version that it was made from.
 *	     @id (may be empty) is kept in the history. @text is a whole set in
 *	     INI. @done: VH_OK and the new version;
 *	     VH_ERR_VERSION_SUPERSEDED and the version in force; VH_ERR_INVALID_CONFIG;
 *	     VH_ERR_LOG_UNAVAILABLE (not published); VH_ERR_UNKNOWN_OUTCOME.
 * @text: the set in force as canonical INI
 * @watch: called after each change of version
 */
struct vh_config_ops {
	const struct vh_objects *(*objects)(void *self);
	uint64_t (*version)(void *self);
	int64_t (*age_ms)(void *self);
	void (*publish)(void *self, uint64_t base, struct vh_slice author,
			struct vh_slice id, struct vh_slice text,
			void (*done)(void *ctx, enum vh_err err,
				     uint64_t version, struct vh_slice message),
			void *ctx);
	struct vh_slice (*text)(void *self);
	void (*watch)(void *self, void (*fn)(void *ctx), void *ctx);
	/* the JSON of GET /v1/config/history, newest first, at most @limit */
	void (*history)(void *self, size_t limit, struct vh_buf *json);
	/* canonical text of an older version; false if it is not kept */
	bool (*text_at)(void *self, uint64_t version, struct vh_buf *text);
};

/**
 * struct vh_submit_request - a job from a caller, checked by the gateway
 * @key: Idempotency-Key, or empty
 * @request: id of the caller's request, unique over all nodes; the key when
 *	     @key is empty, so that the gateway may safely ask again
 * @fingerprint: hash of the body
 */
struct vh_submit_request {
	const struct vh_team *team;
	struct vh_slice key;
	struct vh_slice request;
	uint64_t fingerprint;
	const struct vh_job_spec *spec;
};

/**
 * struct vh_jobs_ops - service "jobs": jobs anywhere, through their homes
 *
 * Answers come once, later. @message explains an error; @json is the job as
 * docs/API.md shows it. VH_ERR_UNKNOWN_OUTCOME from submit: the job may have
 * been accepted.
 */
struct vh_jobs_ops {
	void (*submit)(void *self, const struct vh_submit_request *submit,
		       int64_t timeout_ms,
		       void (*done)(void *ctx, enum vh_err err,
				    struct vh_slice id,
				    struct vh_slice message),
		       void *ctx);
	void (*get)(void *self, struct vh_slice team, struct vh_slice id,
		    int64_t wait_ms,
		    void (*done)(void *ctx, enum vh_err err,
				 struct vh_slice json),
		    void *ctx);
	void (*cancel)(void *self, struct vh_slice team, struct vh_slice id,
		       void (*done)(void *ctx, enum vh_err err,
				    struct vh_slice json),
		       void *ctx);
	void (*explain)(void *self, struct vh_slice id,
			void (*done)(void *ctx, enum vh_err err,
				     struct vh_slice json),
			void *ctx);

	/* Non-idempotent service requests, at most once by the caller's key.
	 * begin: VH_OK: durable, send it now; VH_ERR_UNKNOWN_OUTCOME: begun
	 * before, end unknown; VH_ERR_CONFLICT: other request with this key;
	 * VH_ERR_CANCELLED: ended before, with @status; else: not begun. */
	void (*request_begin)(void *self, const struct vh_team *team,
			      struct vh_slice key, uint64_t fingerprint,
			      void (*done)(void *ctx, enum vh_err err,
					   uint32_t status),
			      void *ctx);
	/* status 0: it surely did not run and the key is free again */
	void (*request_end)(void *self, const struct vh_team *team,
			    struct vh_slice key, uint32_t status,
			    void (*done)(void *ctx, enum vh_err err),
			    void *ctx);
};

/**
 * struct vh_upstream - a worker that runs replicas of a service
 */
struct vh_upstream {
	struct vh_slice worker;
	struct vh_slice address;
	uint16_t port;
	struct vh_slice region;
	struct vh_slice zone;
	struct vh_slice rack;
	uint32_t replicas;
	struct vh_res size; /* of one replica: slots and conns are its share */
	bool leaving;
};

/**
 * struct vh_upstreams_ops - service "upstreams": where a service runs
 * @lookup: the upstreams known now, refreshed in the background while asked
 *	    for; returns how many, *@age_ms how old the news is (-1: none yet).
 *	    Valid until the loop turns.
 */
struct vh_upstreams_ops {
	size_t (*lookup)(void *self, struct vh_slice service,
			 const struct vh_upstream **out, int64_t *age_ms);
	/* calls @fn once when lookup would give something new, or after
	 * @timeout_ms */
	void (*wait)(void *self, struct vh_slice service, int64_t timeout_ms,
		     void (*fn)(void *ctx), void *ctx);
};

/**
 * struct vh_status_ops - service "status": what operators ask for, as JSON
 */
struct vh_status_ops {
	void (*status)(void *self, struct vh_buf *json);
	void (*nodes)(void *self, struct vh_buf *json);
	void (*workers)(void *self, struct vh_buf *json);
	void (*jobs)(void *self, struct vh_buf *json);
};

/* Methods between nodes. */
enum vh_method {
	VH_METHOD_SUBMIT = 16,
	VH_METHOD_JOB_GET,
	VH_METHOD_JOB_CANCEL,
	VH_METHOD_EXPLAIN,
	VH_METHOD_REQUEST_BEGIN,
	VH_METHOD_REQUEST_END,
	VH_METHOD_PLACE,
	VH_METHOD_STOP,
	VH_METHOD_PLACED,
	VH_METHOD_TASK_ENDED,
	VH_METHOD_RECONCILE,
	VH_METHOD_UPSTREAMS,
	VH_METHOD_CONFIG_GET,
	VH_METHOD_CREDIT_REQUEST,
	VH_METHOD_CREDIT_TRANSFER,
	VH_METHOD_HOLD,
	VH_METHOD_HOLD_CONFIRM,
	VH_METHOD_GATEWAY_FIRST = 64 /* 64 to 95 are the gateway's own */
};

#endif
