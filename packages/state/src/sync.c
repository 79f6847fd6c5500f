#include "vh/sync.h"

static const char *const end_names[VH_END_COUNT] = { "done", "failed",
						     "stopped", "lost",
						     "void" };

const char *vh_end_name(enum vh_end end)
{
	return end_names[end];
}

enum vh_end vh_end_from_name(struct vh_slice name)
{
	for (int i = 0; i < VH_END_COUNT; i++) {
		if (vh_slice_eq_str(name, end_names[i]))
			return (enum vh_end)i;
	}
	return VH_END_COUNT;
}
