#include "vh/explain.h"

/** struct reason_text - a reason's name, and its text with {placeholders} */
struct reason_text {
	const char *name;
	const char *text;
};

static const struct reason_text reason_texts[VH_REASON_COUNT] = {
	[VH_REASON_PLACED] = { "placed", "Placed on {where}." },
	[VH_REASON_PREEMPTED_OTHERS] = { "preempted_others",
					 "Placed on {where}, where {others} "
					 "batch tasks were stopped to make "
					 "room." },
	[VH_REASON_NOT_DURABLE] = { "not_durable",
				    "Its job is not yet durable. It is placed "
				    "on a worker once the log has taken the "
				    "record." },
	[VH_REASON_LIMIT] = { "limit",
			      "It would exceed the team's upper limit by "
			      "{by} {dim}. It is placed on a worker once "
			      "tasks of the team end or the limit is "
			      "raised." },
	[VH_REASON_NO_CREDIT] = { "no_credit",
				  "Other homes of the team hold the credit "
				  "for its limit. It is placed on a worker "
				  "once they transfer credit." },
	[VH_REASON_FULL] = { "full",
			     "No worker has room. The closest, {where}, is "
			     "short of {by} {dim}. It is placed on a worker "
			     "once that much is free on it." },
	[VH_REASON_NOT_FIRST] = { "turn",
				  "There is room, but {others} demands precede "
				  "it, the first of team {next}. It is placed "
				  "on "
				  "a worker once its team has the lowest "
				  "weighted share." },
	[VH_REASON_NEVER_FITS] = { "never_fits",
				   "No worker is large enough. The largest, "
				   "{where}, is short of {by} {dim}. It is "
				   "tried again when the fleet changes." },
	[VH_REASON_NONE_USABLE] = { "none_usable",
				    "No worker takes work now: they are "
				    "leaving, quarantined, or not yet "
				    "adopted." },
	[VH_REASON_REGION] = { "region",
			       "Its region is full. Other regions are tried "
			       "in {until} ms, because transfers between "
			       "regions have a cost." },
	[VH_REASON_GANG] = { "gang",
			     "{others} tasks of its gang have no room yet. "
			     "The gang is placed on workers once all have." },
	[VH_REASON_BACKOFF] = { "backoff",
				"It failed before and is tried again in "
				"{until} ms." },
	[VH_REASON_RETRY_BUDGET] = { "retry_budget",
				     "Many tasks fail, and retries wait for "
				     "their budget. It is tried again in "
				     "{until} ms." },
	[VH_REASON_PREEMPT_BUDGET] = { "preempt_budget",
				       "Its team has used up its preemption "
				       "budget for this minute." },
	[VH_REASON_NO_VICTIMS] = { "no_victims",
				   "Stopping every batch task that may be "
				   "stopped would not make room." },
	[VH_REASON_UNRECONCILED] = { "unsealed",
				     "After a change of owner, {others} racks "
				     "have "
				     "not yet reported what runs there." },
	[VH_REASON_DEADLINE] = { "deadline",
				 "Its deadline passed before it was placed." },
};

static const char *const dim_units[VH_DIM_COUNT] = { "milli-processors",
						     "MiB of memory",
						     "accelerators", "slots",
						     "connections" };

const char *vh_reason_name(enum vh_reason reason)
{
	return (unsigned int)reason < VH_REASON_COUNT
		       ? reason_texts[reason].name
		       : "unknown";
}

static void append_placeholder(const struct vh_explanation *e,
			       struct vh_slice name, struct vh_buf *out)
{
	if (vh_slice_eq_str(name, "where"))
		vh_buf_add_slice(out, e->where.len ? e->where
						   : vh_slice_str("a worker"));
	else if (vh_slice_eq_str(name, "by"))
		vh_buf_printf(out, "%u", e->short_by);
	else if (vh_slice_eq_str(name, "dim"))
		vh_buf_add_str(out, dim_units[e->dim]);
	else if (vh_slice_eq_str(name, "others"))
		vh_buf_printf(out, "%u", e->others);
	else if (vh_slice_eq_str(name, "next"))
		vh_buf_add_slice(out, e->next);
	else if (vh_slice_eq_str(name, "until"))
		vh_buf_printf(out, "%lld", (long long)e->until_ms);
}

void vh_explain_render(const struct vh_explanation *e, struct vh_buf *out)
{
	const char *p;

	if ((unsigned int)e->reason >= VH_REASON_COUNT)
		return;
	p = reason_texts[e->reason].text;
	while (*p) {
		size_t plain = strcspn(p, "{");
		size_t len;

		vh_buf_add(out, p, plain);
		p += plain;
		if (!*p)
			break;
		len = strcspn(p, "}");
		append_placeholder(e, vh_slice(p + 1, len - 1), out);
		p += len + 1;
	}
}

void vh_explain_place(struct vh_explanation *e,
		      const struct vh_place_result *result)
{
	static const enum vh_reason reasons[] = {
		[VH_PLACE_OK] = VH_REASON_PLACED,
		[VH_PLACE_NONE_USABLE] = VH_REASON_NONE_USABLE,
		[VH_PLACE_NEVER_FITS] = VH_REASON_NEVER_FITS,
		[VH_PLACE_FULL] = VH_REASON_FULL,
	};

	e->reason = reasons[result->reason];
	e->dim = result->short_dim;
	e->short_by = result->short_by;
}
