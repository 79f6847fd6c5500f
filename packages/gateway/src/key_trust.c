#include "key_trust.h"

void vh_key_trust_init(struct vh_key_trust *t, int64_t max_age_ms)
{
	t->max_age_ms = max_age_ms;
	t->last_live = 1;
	t->untrusted = false;
}

bool vh_key_trust_update(struct vh_key_trust *t, int64_t age_ms, size_t live)
{
	if (age_ms <= t->max_age_ms) {
		t->last_live = live;
		t->untrusted = false;
	} else if (live * 2 <= t->last_live) {
		t->untrusted = true;
	}
	return !t->untrusted;
}
