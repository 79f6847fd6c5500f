#include "job_json.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct vh_queue queue = { .name = VH_SLICE("lists"),
				  .cls = VH_CLASS_BATCH };
	struct vh_job_request job;
	struct vh_buf message;

	vh_buf_init(&message);
	if (vh_job_request_read(&job, vh_slice((const char *)data, size),
				&queue, &message) == VH_OK)
		vh_job_request_finish(&job);
	else if (!message.len)
		__builtin_trap(); /* an error must have a message */
	vh_buf_finish(&message);
	return 0;
}
