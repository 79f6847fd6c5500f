#include "vh/invariant.h"

#include <glib.h>
#include <stdarg.h>
#include <stdlib.h>

static uint64_t checked[VH_INV_COUNT];
static uint64_t violated[VH_INV_COUNT];
static bool abort_on_violation;

static const char *const names[VH_INV_COUNT] = {
	"I1_capacity", "I2_one_place", "I3_keys",	  "I4_limits",
	"I5_answers",  "I6_not_run",   "I7_at_most_once", "I8_leaving",
	"I9_drain",    "I10_config",
};

bool vh_invariant(enum vh_inv inv, bool ok, const char *fmt, ...)
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

uint64_t vh_invariant_checked(enum vh_inv inv)
{
	return checked[inv];
}

uint64_t vh_invariant_violated(enum vh_inv inv)
{
	return violated[inv];
}

const char *vh_invariant_name(enum vh_inv inv)
{
	return names[inv];
}
