#include "placement.h"

#include "vh/place.h"

#define MAX_RACK_WORKERS 256

static enum vh_err reason_kind(enum vh_place_reason reason)
{
	switch (reason) {
	case VH_PLACE_OK:
		return VH_OK;
	case VH_PLACE_NEVER_FITS:
		return VH_ERR_NEVER_FITS;
	case VH_PLACE_NONE_USABLE:
		return VH_ERR_NOT_READY;
	case VH_PLACE_FULL:
		break;
	}
	return VH_ERR_NO_CAPACITY;
}

size_t placement_choose(struct vh_core *core, const struct vh_start *start,
			const struct vh_worker_view *views, size_t n,
			enum vh_err *why)
{
	struct vh_candidate cands[MAX_RACK_WORKERS];
	struct vh_place_result result;
	struct vh_want want = {
		.size = start->size,
		.cls = start->cls,
		.region = UINT32_MAX,
		.spread = start->cls == VH_CLASS_SERVICE,
	};
	size_t used = n < MAX_RACK_WORKERS ? n : MAX_RACK_WORKERS;

	(void)core;
	memset(cands, 0, used * sizeof(cands[0]));
	for (size_t i = 0; i < used; i++) {
		cands[i].capacity = views[i].capacity;
		cands[i].free = views[i].free;
		cands[i].usable = views[i].usable;
		cands[i].same_job = views[i].n_tasks;
	}
	vh_place(&want, cands, used, &result);
	*why = reason_kind(result.reason);
	return result.index < used ? result.index : n;
}
