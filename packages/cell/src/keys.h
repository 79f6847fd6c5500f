#ifndef CELL_KEYS_H
#define CELL_KEYS_H

#include "vh/slice.h"

/* Keys of the records that this system writes. */
#define VH_KEY_BYTES 20
#define VH_KEY_JOB 'j'	  /* an accepted job */
#define VH_KEY_CANCEL 'c' /* its cancelling */
#define VH_KEY_STATE 's'  /* its state */
#define VH_KEY_OWNER "owner"
#define VH_KEY_HEARTBEAT "~pulse" /* last in order, so that it is found alone */
#define VH_KEY_BEFORE_HEARTBEAT "~"

void vh_key_format(char out[VH_KEY_BYTES], char kind, uint64_t id);

/* vh_key_parse - false if @key is not of that kind */
bool vh_key_parse(struct vh_slice key, char kind, uint64_t *id);

#endif
