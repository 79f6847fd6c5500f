#include "keys.h"

#include <inttypes.h>
#include <stdio.h>

#include "vh/eng_job.h"

void vh_key_format(char out[VH_KEY_BYTES], char kind, uint64_t id)
{
	snprintf(out, VH_KEY_BYTES, "%c%016" PRIx64, kind, id);
}

bool vh_key_parse(struct vh_slice key, char kind, uint64_t *id)
{
	if (!key.len || key.data[0] != kind)
		return false;
	return eng_job_id_parse(vh_slice(key.data + 1, key.len - 1), id);
}

bool vh_key_parse_learned(struct vh_slice key, struct vh_slice *name)
{
	if (key.len < 2 || key.data[0] != VH_KEY_LEARNED)
		return false;
	*name = vh_slice(key.data + 1, key.len - 1);
	return true;
}
