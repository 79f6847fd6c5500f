#include "keys.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>

#include "vh/eng_job.h"

#define ID_DIGITS 16
#define FIRST_TASK_DIGITS 8

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

void vh_key_format_part(char out[VH_KEY_BYTES], uint64_t id,
			uint32_t first_task)
{
	snprintf(out, VH_KEY_BYTES, "%c%016" PRIx64 "%08" PRIx32, VH_KEY_PART,
		 id, first_task);
}

bool vh_key_parse_part(struct vh_slice key, uint64_t *id, uint32_t *first_task)
{
	const size_t id_end = 1 + ID_DIGITS;
	uint32_t first = 0;

	if (key.len != id_end + FIRST_TASK_DIGITS ||
	    !vh_key_parse(vh_slice(key.data, id_end), VH_KEY_PART, id))
		return false;
	for (size_t i = id_end; i < key.len; i++) {
		if (!g_ascii_isxdigit(key.data[i]))
			return false;
		first = first << 4 |
			(uint32_t)g_ascii_xdigit_value(key.data[i]);
	}
	*first_task = first;
	return true;
}

bool vh_key_parse_learned(struct vh_slice key, struct vh_slice *name)
{
	if (key.len < 2 || key.data[0] != VH_KEY_LEARNED)
		return false;
	*name = vh_slice(key.data + 1, key.len - 1);
	return true;
}
