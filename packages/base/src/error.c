#include "vh/error.h"

static const struct vh_err_info err_table[VH_ERR_COUNT] = {
	[VH_OK] = { "ok", 200, VH_OUTCOME_RAN, 0 },
	[VH_ERR_BAD_REQUEST] = { "bad_request", 400, VH_OUTCOME_NOT_RUN, 0 },
	[VH_ERR_TOO_LARGE] = { "too_large", 413, VH_OUTCOME_NOT_RUN, 0 },
	[VH_ERR_UNAUTHENTICATED] = { "unauthenticated", 401, VH_OUTCOME_NOT_RUN,
				     0 },
	[VH_ERR_FORBIDDEN] = { "forbidden", 403, VH_OUTCOME_NOT_RUN, 0 },
	[VH_ERR_NOT_FOUND] = { "not_found", 404, VH_OUTCOME_NOT_RUN, 0 },
	[VH_ERR_NO_SUCH_JOB] = { "no_such_job", 410, VH_OUTCOME_NOT_RUN, 0 },
	[VH_ERR_METHOD_NOT_ALLOWED] = { "method_not_allowed", 405,
					VH_OUTCOME_NOT_RUN, 0 },
	[VH_ERR_CONFLICT] = { "conflict", 409, VH_OUTCOME_NOT_RUN, 0 },
	[VH_ERR_VERSION_SUPERSEDED] = { "version_superseded", 409,
					VH_OUTCOME_NOT_RUN, 0 },
	[VH_ERR_INVALID_CONFIG] = { "invalid_config", 422, VH_OUTCOME_NOT_RUN,
				    0 },
	[VH_ERR_RATE_LIMITED] = { "rate_limited", 429, VH_OUTCOME_NOT_RUN, 1 },
	[VH_ERR_OVERLOADED] = { "overloaded", 503, VH_OUTCOME_NOT_RUN, 2 },
	[VH_ERR_NEVER_FITS] = { "never_fits", 422, VH_OUTCOME_NOT_RUN, 0 },
	[VH_ERR_NO_CAPACITY] = { "no_capacity", 503, VH_OUTCOME_NOT_RUN, 1 },
	[VH_ERR_LIMIT_REACHED] = { "limit_reached", 429, VH_OUTCOME_NOT_RUN,
				   1 },
	[VH_ERR_DEADLINE] = { "deadline", 504, VH_OUTCOME_NOT_RUN, 0 },
	[VH_ERR_TIMEOUT] = { "timeout", 504, VH_OUTCOME_UNKNOWN, 0 },
	[VH_ERR_NOT_READY] = { "not_ready", 503, VH_OUTCOME_NOT_RUN, 1 },
	[VH_ERR_DRAINING] = { "draining", 503, VH_OUTCOME_NOT_RUN, 1 },
	[VH_ERR_LOG_UNAVAILABLE] = { "log_unavailable", 503, VH_OUTCOME_NOT_RUN,
				     5 },
	[VH_ERR_STORE_SILENT] = { "store_silent", 503, VH_OUTCOME_NOT_RUN, 2 },
	[VH_ERR_OFFSET_GONE] = { "offset_gone", 500, VH_OUTCOME_NOT_RUN, 0 },
	[VH_ERR_CORRUPT] = { "corrupt", 500, VH_OUTCOME_UNKNOWN, 0 },
	[VH_ERR_NOT_OWNER] = { "not_owner", 503, VH_OUTCOME_NOT_RUN, 1 },
	[VH_ERR_STALE_EPOCH] = { "stale_epoch", 503, VH_OUTCOME_NOT_RUN, 1 },
	[VH_ERR_UNREACHABLE] = { "unreachable", 503, VH_OUTCOME_NOT_RUN, 1 },
	[VH_ERR_UPSTREAM_FAILED] = { "upstream_failed", 502, VH_OUTCOME_UNKNOWN,
				     0 },
	[VH_ERR_UNKNOWN_OUTCOME] = { "unknown_outcome", 500, VH_OUTCOME_UNKNOWN,
				     0 },
	[VH_ERR_CANCELLED] = { "cancelled", 409, VH_OUTCOME_NOT_RUN, 0 },
	[VH_ERR_INTERNAL] = { "internal", 500, VH_OUTCOME_UNKNOWN, 0 },
};

GQuark vh_error_quark(void)
{
	return g_quark_from_static_string("vh-error-quark");
}

const struct vh_err_info *vh_err_info(enum vh_err kind)
{
	if ((unsigned int)kind >= VH_ERR_COUNT)
		kind = VH_ERR_INTERNAL;
	return &err_table[kind];
}

const char *vh_outcome_name(enum vh_outcome outcome)
{
	static const char *const names[] = { "not_run", "unknown", "ran" };

	return names[outcome];
}

enum vh_err vh_err_kind(const GError *err)
{
	if (!err)
		return VH_OK;
	if (err->domain != VH_ERROR)
		return VH_ERR_INTERNAL;
	return (enum vh_err)err->code;
}

enum vh_err vh_err_from_name(struct vh_slice name)
{
	for (int k = 0; k < VH_ERR_COUNT; k++) {
		if (vh_slice_eq_str(name, err_table[k].name))
			return (enum vh_err)k;
	}
	return VH_ERR_INTERNAL;
}
