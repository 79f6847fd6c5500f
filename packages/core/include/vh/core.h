#ifndef VH_CORE_H
#define VH_CORE_H

/*
 * The services of a node that the gateway uses for the client API and the
 * operators' API, and the methods of the calls between nodes. Each ops table
 * belongs to the service named in its comment; look the service up with
 * vh_kernel_find().
 */

#include "vh/kernel.h"
#include "vh/objects.h"
#include "vh/peer.h"

/**
 * struct vh_config_ops - service "config": the current configuration objects
 * @objects: the set in effect; NULL until the first one is known. Valid until
 *	     the next iteration of the event loop.
 * @version: version of that set; 0 for none
 * @age_ms: time since this node last heard from the log, directly or through
 *	    a peer; grows while both are unreachable
 * @publish: creates a new version. @base is the version that it was derived
 *	     from. @id (may be empty) is kept in the history. @text is a
 *	     complete set in INI. @done receives VH_OK and the new version;
 *	     VH_ERR_VERSION_SUPERSEDED and the current version;
 *	     VH_ERR_INVALID_CONFIG; VH_ERR_LOG_UNAVAILABLE (not published);
 *	     VH_ERR_UNKNOWN_OUTCOME.
 * @text: the set in effect as canonical INI
 * @watch: registers @fn, which is called after each change of version
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
	/* the JSON of GET /v1/config/history, newest first, @limit entries at
	 * most */
	void (*history)(void *self, size_t limit, struct vh_buf *json);
	/* canonical text of an older version; false if it is not retained */
	bool (*text_at)(void *self, uint64_t version, struct vh_buf *text);
};

/**
 * struct vh_submit_request - a job submission, validated by the gateway
 * @key: Idempotency-Key, or empty
 * @request: id of the caller's request, unique across all nodes; serves as the
 *	     key if @key is empty, so that the gateway may safely retry
 * @fingerprint: hash of the request body
 */
struct vh_submit_request {
	const struct vh_team *team;
	struct vh_slice key;
	struct vh_slice request;
	uint64_t fingerprint;
	const struct vh_job_spec *spec;
};

/**
 * struct vh_jobs_ops - service "jobs": jobs on any node, through their homes
 *
 * Each @done is called exactly once, asynchronously. @message explains an
 * error; @json is the job as documented in docs/API.md. If submit returns
 * VH_ERR_UNKNOWN_OUTCOME, the job may have been accepted.
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

	/* Non-idempotent service requests, executed at most once for each key
	 * of the caller. Results of begin: VH_OK: recorded durably, send the
	 * request now; VH_ERR_UNKNOWN_OUTCOME: begun before, its end is not
	 * known; VH_ERR_CONFLICT: the key belongs to a different request;
	 * VH_ERR_CANCELLED: ended before, with @status; anything else: not
	 * begun. */
	void (*request_begin)(void *self, const struct vh_team *team,
			      struct vh_slice key, uint64_t fingerprint,
			      void (*done)(void *ctx, enum vh_err err,
					   uint32_t status),
			      void *ctx);
	/* @status 0: the request certainly did not run; frees the key */
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
	struct vh_res size; /* of one replica, with its slots and connections */
	bool leaving;
};

/**
 * struct vh_upstreams_ops - service "upstreams": the workers that run a service
 * @lookup: the known upstreams, refreshed in the background as long as lookups
 *	    continue; returns their number. *@age_ms is the time since the
 *	    last refresh (-1: none yet). Valid until the next iteration of the
 *	    event loop.
 */
struct vh_upstreams_ops {
	size_t (*lookup)(void *self, struct vh_slice service,
			 const struct vh_upstream **out, int64_t *age_ms);
	/* calls @fn once, after the next refresh that found upstreams or
	 * after @timeout_ms */
	void (*wait)(void *self, struct vh_slice service, int64_t timeout_ms,
		     void (*fn)(void *ctx), void *ctx);
};

/**
 * struct vh_status_ops - service "status": node status for operators, as JSON
 */
struct vh_status_ops {
	void (*status)(void *self, struct vh_buf *json);
	void (*nodes)(void *self, struct vh_buf *json);
	void (*workers)(void *self, struct vh_buf *json);
	void (*jobs)(void *self, struct vh_buf *json);
};

/* Methods of the calls between nodes. */
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
	VH_METHOD_GATEWAY_FIRST = 64 /* 64 to 95 belong to the gateway */
};

#endif
