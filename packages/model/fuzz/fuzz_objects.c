#include <stdlib.h>

#include "vh/delta.h"
#include "vh/objects.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void load(struct vh_slice text, struct vh_buf *out, bool must)
{
	struct vh_ini_source source = { VH_SLICE("input"), text };
	struct vh_problems problems;
	struct vh_objects set;

	vh_problems_init(&problems);
	if (vh_objects_load(&set, &source, 1, &problems)) {
		vh_objects_render(&set, out);
		vh_objects_finish(&set);
	} else if (must) {
		abort();
	}
	vh_problems_finish(&problems);
}

/* A set that loads must render to text that loads and renders the same, and
 * any text must be refused or applied as a delta without harm. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct vh_slice text = vh_slice((const char *)data, size);
	struct vh_buf once;
	struct vh_buf twice;

	vh_buf_init(&once);
	vh_buf_init(&twice);
	load(text, &once, false);
	if (once.len) {
		load(vh_buf_slice(&once), &twice, true);
		if (!vh_slice_eq(vh_buf_slice(&once), vh_buf_slice(&twice)))
			abort();
	}
	vh_buf_clear(&twice);
	vh_objects_delta_apply(vh_buf_slice(&once), text, &twice);
	vh_buf_finish(&once);
	vh_buf_finish(&twice);
	return 0;
}
