#include "service_api.h"

void vh_service_api_run(struct vh_work *w)
{
	vh_work_error(w, VH_ERR_NOT_READY, vh_slice(NULL, 0));
}
