#ifndef VH_ERROR_H
#define VH_ERROR_H

/*
 * The kinds of errors, with the response that a client receives for each. Used
 * by the packages cell, core, gateway, peer, platform and state, by the adapter
 * in platform/ and by the stand-ins.
 */

#include <glib.h>

#include "vh/slice.h"

/**
 * enum vh_err - all error kinds
 *
 * Every error in the program is one of these, used as the code of a GError in
 * the domain VH_ERROR. vh_err_info() gives the response that a client receives.
 */
enum vh_err {
	VH_OK,
	VH_ERR_BAD_REQUEST, /* malformed or out of range */
	VH_ERR_TOO_LARGE,   /* body, header, frame or job exceeds its limit */
	VH_ERR_UNAUTHENTICATED, /* missing, unknown or revoked key */
	VH_ERR_FORBIDDEN, /* the key's team may not use this queue or service */
	VH_ERR_NOT_FOUND,
	VH_ERR_NO_SUCH_JOB,
	VH_ERR_METHOD_NOT_ALLOWED, /* HTTP method not supported on this path */
	VH_ERR_CONFLICT, /* idempotency key reused for a different request */
	VH_ERR_VERSION_SUPERSEDED, /* publish based on a superseded version */
	VH_ERR_INVALID_CONFIG,	   /* object set fails validation */
	VH_ERR_RATE_LIMITED,  /* team's rate or concurrency limit reached */
	VH_ERR_OVERLOADED,    /* load shedding by request class */
	VH_ERR_NEVER_FITS,    /* exceeds the capacity of every worker */
	VH_ERR_NO_CAPACITY,   /* no worker has free capacity now */
	VH_ERR_LIMIT_REACHED, /* team's upper limit reached */
	VH_ERR_DEADLINE,      /* deadline passed before the work started */
	VH_ERR_TIMEOUT,	      /* started, but no response in time */
	VH_ERR_NOT_READY,     /* starting up, or configuration out of date */
	VH_ERR_DRAINING,
	VH_ERR_LOG_UNAVAILABLE, /* log rejects a required record */
	VH_ERR_STORE_SILENT,	/* store not responding; nothing was sent */
	VH_ERR_OFFSET_GONE,	/* offset removed by log retention */
	VH_ERR_CORRUPT,		/* bad checksum or malformed record or frame */
	VH_ERR_NOT_OWNER,	/* this node does not own the requested unit */
	VH_ERR_STALE_EPOCH,	/* fenced off by a newer owner */
	VH_ERR_UNREACHABLE,	/* no connection; nothing was sent */
	VH_ERR_UPSTREAM_FAILED, /* upstream failed after the request was sent */
	VH_ERR_UNKNOWN_OUTCOME, /* may or may not have run */
	VH_ERR_CANCELLED,
	VH_ERR_INTERNAL,
	VH_ERR_COUNT
};

/**
 * enum vh_outcome - whether the requested work ran
 * @VH_OUTCOME_NOT_RUN: the work has not run and will not run
 * @VH_OUTCOME_UNKNOWN: the work may have run
 * @VH_OUTCOME_RAN: the work ran
 */
enum vh_outcome {
	VH_OUTCOME_NOT_RUN,
	VH_OUTCOME_UNKNOWN,
	VH_OUTCOME_RAN
};

/**
 * struct vh_err_info - the response for one kind of error
 * @name: the kind's name in responses
 * @status: HTTP status
 * @outcome: default outcome; the code that reports the error may override it
 * @retry_after_s: value of the Retry-After header in seconds, 0 for no header
 */
struct vh_err_info {
	const char *name;
	int status;
	enum vh_outcome outcome;
	int retry_after_s;
};

#define VH_ERROR vh_error_quark()
GQuark vh_error_quark(void);

/* vh_err_info - never NULL; out-of-range kinds map to VH_ERR_INTERNAL */
const struct vh_err_info *vh_err_info(enum vh_err kind);

/* vh_outcome_name - "not_run", "unknown" or "ran" */
const char *vh_outcome_name(enum vh_outcome outcome);

/* vh_err_kind - VH_OK if @err is NULL; VH_ERR_INTERNAL for other domains */
enum vh_err vh_err_kind(const GError *err);

/* vh_err_from_name - VH_ERR_INTERNAL if the name is unknown */
enum vh_err vh_err_from_name(struct vh_slice name);

#endif
