#ifndef VH_EXPLAIN_H
#define VH_EXPLAIN_H

#include "vh/buf.h"
#include "vh/place.h"

/**
 * enum vh_reason - why a task waits, or why it was placed as it was
 */
enum vh_reason {
	VH_REASON_PLACED,
	VH_REASON_PREEMPTED_OTHERS,
	VH_REASON_NOT_DURABLE,	/* its job's record is on the way to the log */
	VH_REASON_LIMIT,	/* the team's upper limit */
	VH_REASON_NO_CREDIT,	/* other homes hold the team's limit credit */
	VH_REASON_FULL,		/* nothing free that is large enough */
	VH_REASON_TURN,		/* room goes to others whose turn is before */
	VH_REASON_NEVER_FITS,	/* no worker is large enough; parked */
	VH_REASON_NONE_USABLE,	/* no worker takes work */
	VH_REASON_REGION,	/* waits for its own region */
	VH_REASON_GANG,		/* waits until all of the gang have room */
	VH_REASON_BACKOFF,	/* failed before, tries again later */
	VH_REASON_RETRY_BUDGET, /* too many retries in the cell */
	VH_REASON_PREEMPT_BUDGET,
	VH_REASON_NO_VICTIMS,
	VH_REASON_UNSEALED, /* after a takeover: racks not yet heard */
	VH_REASON_DEADLINE,
	VH_REASON_COUNT
};

/**
 * struct vh_explanation - a reason with its amounts; what does not belong to
 *			   the reason is ignored
 * @where: rack or worker concerned; of a refusal the closest one
 * @dim, @short_by: what is short there
 * @others: demands before; gang tasks without room; racks not heard
 * @next: team whose turn is first
 * @until_ms: milliseconds until it is tried again or gives up
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

/* vh_reason_name - for example "full"; stable, for JSON and metrics */
const char *vh_reason_name(enum vh_reason reason);

/* vh_explain_render - appends a sentence, and one on what would change it */
void vh_explain_render(const struct vh_explanation *e, struct vh_buf *out);

/* vh_explain_place - fills in what vh_place() said; @where is left alone */
void vh_explain_place(struct vh_explanation *e,
		      const struct vh_place_result *result);

#endif
