#ifndef CELL_KEYS_H
#define CELL_KEYS_H

#include "vh/slice.h"

/* Keys of the records that the cell writes. */
#define VH_KEY_BYTES 20
#define VH_KEY_JOB 'j'	  /* an accepted job */
#define VH_KEY_CANCEL 'c' /* the cancellation of a job */
#define VH_KEY_STATE 's'  /* the state of a job */
#define VH_KEY_OWNER "owner"
/* Sorts last, so that a read after VH_KEY_BEFORE_HEARTBEAT returns it alone. */
#define VH_KEY_HEARTBEAT "~pulse"
#define VH_KEY_BEFORE_HEARTBEAT "~"

void vh_key_format(char out[VH_KEY_BYTES], char kind, uint64_t id);

/* vh_key_parse - returns false if @key is not of kind @kind */
bool vh_key_parse(struct vh_slice key, char kind, uint64_t *id);

#endif
