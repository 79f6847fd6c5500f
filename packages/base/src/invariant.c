#include "vh/invariant.h"

#include <glib.h>
#include <stdarg.h>
#include <stdlib.h>

static uint64_t checked[VH_INVARIANT_COUNT];
static uint64_t violated[VH_INVARIANT_COUNT];
static bool abort_on_violation;

static const char *const names[VH_INVARIANT_COUNT] = {
	"I1_capacity", "I2_one_place", "I3_keys",	  "I4_limits",
	"I5_answers",  "I6_not_run",   "I7_at_most_once", "I8_leaving",
	"I9_drain",    "I10_config",
};

bool vh_invariant_check(enum vh_invariant_id inv, bool ok, const char *fmt, ...)
{
	va_list ap;
	char *text;

	checked[inv]++;
	if (ok)
		return true;
	violated[inv]++;
	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_critical("invariant %s violated: %s", names[inv], text);
	g_free(text);
	if (abort_on_violation)
		abort();
	return false;
}

void vh_invariant_set_abort(bool on)
{
	abort_on_violation = on;
}

uint64_t vh_invariant_checked(enum vh_invariant_id inv)
{
	return checked[inv];
}

uint64_t vh_invariant_violated(enum vh_invariant_id inv)
{
	return violated[inv];
}

const char *vh_invariant_name(enum vh_invariant_id inv)
{
	return names[inv];
}
