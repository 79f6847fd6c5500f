#include "key_trust.h"

void vh_key_trust_init(struct vh_key_trust *t, int64_t max_age_ms)
{
	t->max_age_ms = max_age_ms;
	t->nodes = 1;
	t->closed = false;
}

bool vh_key_trust_update(struct vh_key_trust *t, int64_t age_ms, size_t living)
{
	if (age_ms <= t->max_age_ms) {
		t->nodes = living;
		t->closed = false;
	} else if (living * 2 <= t->nodes) {
		t->closed = true;
	}
	return !t->closed;
}
