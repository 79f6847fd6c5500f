#include "vh/job.h"

static const char *const class_names[VH_CLASS_COUNT] = {
	[VH_CLASS_URGENT] = "urgent",
	[VH_CLASS_SERVICE] = "service",
	[VH_CLASS_BATCH] = "batch",
};

const char *vh_class_name(enum vh_class c)
{
	return (unsigned int)c < VH_CLASS_COUNT ? class_names[c] : "unknown";
}

enum vh_class vh_class_from_name(struct vh_slice name)
{
	for (int c = 0; c < VH_CLASS_COUNT; c++) {
		if (vh_slice_eq_str(name, class_names[c]))
			return (enum vh_class)c;
	}
	return VH_CLASS_COUNT;
}
