#include <stdlib.h>

#include "vh/delta.h"
#include "vh/objects.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void load(struct vh_slice text, struct vh_buf *out, bool must_load)
{
	struct vh_ini_source source = { VH_SLICE("input"), text };
	struct vh_problems problems;
	struct vh_objects set;

	vh_problems_init(&problems);
	if (vh_objects_load(&set, &source, 1, &problems)) {
		vh_objects_render(&set, out);
		vh_objects_finish(&set);
	} else if (must_load) {
		abort();
	}
	vh_problems_finish(&problems);
}

/*
 * Checks that a set that loads renders to text that loads again and renders
 * identically, and that any input is either rejected or applied as a delta
 * without a memory error.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct vh_slice text = vh_slice((const char *)data, size);
	struct vh_buf rendered;
	struct vh_buf rendered_again;

	vh_buf_init(&rendered);
	vh_buf_init(&rendered_again);
	load(text, &rendered, false);
	if (rendered.len) {
		load(vh_buf_slice(&rendered), &rendered_again, true);
		if (!vh_slice_eq(vh_buf_slice(&rendered),
				 vh_buf_slice(&rendered_again)))
			abort();
	}
	vh_buf_clear(&rendered_again);
	vh_objects_delta_apply(vh_buf_slice(&rendered), text, &rendered_again);
	vh_buf_finish(&rendered);
	vh_buf_finish(&rendered_again);
	return 0;
}
