#ifndef VH_INVARIANT_H
#define VH_INVARIANT_H

/*
 * Run-time checks of the system's invariants, with counters. The packages core,
 * gateway and state make the checks, the daemon sets whether a violation aborts
 * it, and the stand-ins report violations under the same names.
 */

#include <stdbool.h>
#include <stdint.h>

/**
 * enum vh_invariant_id - the invariants, by number
 *
 * docs/ARCHITECTURE.md states each one in full.
 */
enum vh_invariant_id {
	VH_I1_CAPACITY,
	VH_I2_ONE_PLACE,
	VH_I3_KEYS,
	VH_I4_LIMITS,
	VH_I5_ANSWERS,
	VH_I6_NOT_RUN,
	VH_I7_AT_MOST_ONCE,
	VH_I8_LEAVING,
	VH_I9_DRAIN,
	VH_I10_CONFIG,
	VH_INVARIANT_COUNT
};

/**
 * vh_invariant_check - records one check of an invariant
 * @inv: the invariant
 * @ok: whether it holds
 * @fmt: the observed state, for the log
 *
 * Counts the check. If @ok is false, also counts and logs a violation, and
 * aborts the process if vh_invariant_set_abort(true) was called. Returns @ok.
 */
bool vh_invariant_check(enum vh_invariant_id inv, bool ok, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

void vh_invariant_set_abort(bool on);
uint64_t vh_invariant_checked(enum vh_invariant_id inv);
uint64_t vh_invariant_violated(enum vh_invariant_id inv);

/* vh_invariant_name - for example "I1_capacity" */
const char *vh_invariant_name(enum vh_invariant_id inv);

#endif
