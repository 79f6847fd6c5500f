#ifndef VH_ERROR_H
#define VH_ERROR_H

#include <glib.h>

#include "vh/slice.h"

/**
 * enum vh_err - the closed list of error kinds
 *
 * Every error in the program is one of these, as the code of a GError in the
 * domain VH_ERROR. vh_err_info() gives the answer that a caller gets for it.
 */
enum vh_err {
	VH_OK,
	VH_ERR_BAD_REQUEST,	/* malformed or out of range */
	VH_ERR_TOO_LARGE,	/* body, header, frame or job over its limit */
	VH_ERR_UNAUTHENTICATED, /* no key, unknown key, withdrawn key */
	VH_ERR_FORBIDDEN, /* the key's team may not use this queue or service */
	VH_ERR_NOT_FOUND,
	VH_ERR_NO_SUCH_JOB,
	VH_ERR_METHOD_NOT_ALLOWED, /* HTTP method not served on this path */
	VH_ERR_CONFLICT,	   /* same idempotency key, other request */
	VH_ERR_VERSION_SUPERSEDED, /* publish made from a version that was superseded */
	VH_ERR_INVALID_CONFIG, /* objects do not pass the whole-set check */
	VH_ERR_RATE_LIMITED,   /* the team's own rate or concurrency limit */
	VH_ERR_OVERLOADED,     /* shed by class */
	VH_ERR_NEVER_FITS,     /* no worker could ever hold it */
	VH_ERR_NO_CAPACITY,    /* nothing free now */
	VH_ERR_LIMIT_REACHED,  /* the team's upper limit */
	VH_ERR_DEADLINE,       /* deadline passed before a start */
	VH_ERR_TIMEOUT,	       /* started, no answer in time */
	VH_ERR_NOT_READY,      /* starting, or no fresh configuration */
	VH_ERR_DRAINING,
	VH_ERR_LOG_UNAVAILABLE, /* needs a record and the log takes none */
	VH_ERR_STORE_SILENT, /* the store does not answer; nothing was sent */
	VH_ERR_OFFSET_GONE,  /* retention removed the offset */
	VH_ERR_CORRUPT,	     /* checksum or shape of a record or frame */
	VH_ERR_NOT_OWNER,    /* asked a node that does not own the unit */
	VH_ERR_STALE_EPOCH,  /* fenced: a newer owner exists */
	VH_ERR_UNREACHABLE,  /* no connection; nothing was sent */
	VH_ERR_UPSTREAM_FAILED, /* upstream failed after the request was sent */
	VH_ERR_UNKNOWN_OUTCOME, /* may or may not have run */
	VH_ERR_CANCELLED,
	VH_ERR_INTERNAL,
	VH_ERR_COUNT
};

/**
 * enum vh_outcome - what an error says about the work
 * @VH_OUTCOME_NOT_RUN: the work has not run and will not
 * @VH_OUTCOME_UNKNOWN: it may have run
 * @VH_OUTCOME_RAN: it ran
 */
enum vh_outcome {
	VH_OUTCOME_NOT_RUN,
	VH_OUTCOME_UNKNOWN,
	VH_OUTCOME_RAN
};

/**
 * struct vh_err_info - the answer for one kind of error
 * @name: the kind as callers see it
 * @status: HTTP status
 * @outcome: outcome unless the place that failed knows better
 * @retry_after_s: seconds for Retry-After, 0 for no such header
 */
struct vh_err_info {
	const char *name;
	int status;
	enum vh_outcome outcome;
	int retry_after_s;
};

#define VH_ERROR vh_error_quark()
GQuark vh_error_quark(void);

/* vh_err_info - never NULL; out-of-range kinds give VH_ERR_INTERNAL's row */
const struct vh_err_info *vh_err_info(enum vh_err kind);

/* vh_outcome_name - "not_run", "unknown" or "ran" */
const char *vh_outcome_name(enum vh_outcome outcome);

/* vh_err_kind - the kind of @err; VH_ERR_INTERNAL for foreign domains */
enum vh_err vh_err_kind(const GError *err);

/* vh_err_from_name - VH_ERR_INTERNAL when the name is unknown */
enum vh_err vh_err_from_name(struct vh_slice name);

#endif
