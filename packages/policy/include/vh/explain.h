#ifndef VH_EXPLAIN_H
#define VH_EXPLAIN_H

/*
 * Renders an explanation of why a task waits or how it was placed. Called only
 * by the unit tests.
 */

#include "vh/buf.h"
#include "vh/place.h"

/**
 * enum vh_reason - why a task waits, or how it was placed
 */
enum vh_reason {
	VH_REASON_PLACED,
	VH_REASON_PREEMPTED_OTHERS,
	VH_REASON_NOT_DURABLE, /* its job's record is not yet in the log */
	VH_REASON_LIMIT,       /* the team's upper limit is reached */
	VH_REASON_NO_CREDIT,   /* other homes hold the team's limit credit */
	VH_REASON_FULL,	       /* no worker has room */
	VH_REASON_NOT_FIRST,   /* the free room goes to preceding demands */
	VH_REASON_NEVER_FITS,  /* no worker is large enough */
	VH_REASON_NONE_USABLE, /* no worker accepts tasks */
	VH_REASON_REGION,      /* waits for room in its preferred region */
	VH_REASON_GANG,	       /* waits until all tasks of its gang have room */
	VH_REASON_BACKOFF,     /* failed before; waits for its next attempt */
	VH_REASON_RETRY_BUDGET,	  /* the cell's retry budget is used up */
	VH_REASON_PREEMPT_BUDGET, /* the team's preemptions are used up */
	VH_REASON_NO_VICTIMS,	  /* preemption would not make room */
	VH_REASON_UNRECONCILED, /* after a takeover: racks have yet to report */
	VH_REASON_DEADLINE,	/* the latest start has passed */
	VH_REASON_COUNT
};

/**
 * struct vh_explanation - a reason and the values that its text contains
 * @where: the rack or worker; for a refusal the one closest to fitting
 * @dim, @short_by: the dimension that is short there, and the missing amount
 * @others: number of preceding demands, of gang tasks without room, of stopped
 *	    tasks, or of racks that have yet to report
 * @next: team of the first demand in order
 * @until_ms: milliseconds until the next try
 *
 * Fields that the reason does not use are ignored.
 */
struct vh_explanation {
	enum vh_reason reason;
	struct vh_slice where;
	enum vh_dim dim;
	uint32_t short_by;
	uint32_t others;
	struct vh_slice next;
	int64_t until_ms;
};

/* vh_reason_name - for example "full"; part of the JSON API and of metrics */
const char *vh_reason_name(enum vh_reason reason);

/* vh_explain_render - appends the reason as text, and what would resolve it */
void vh_explain_render(const struct vh_explanation *e, struct vh_buf *out);

/* vh_explain_place - fills in the result of vh_place(), but not @where */
void vh_explain_place(struct vh_explanation *e,
		      const struct vh_place_result *result);

#endif
