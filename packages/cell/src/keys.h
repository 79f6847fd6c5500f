#ifndef CELL_KEYS_H
#define CELL_KEYS_H

/*
 * Formats and parses the keys of the records that the cell stores. Internal to
 * the package; called by cell.c, ownership.c, owner.c and owner_gc.c.
 */

#include "vh/slice.h"

/* Keys of the records that the cell writes. */
#define VH_KEY_BYTES 28
#define VH_RECORD_OVERHEAD 5 /* the lengths of a record and of its key */
#define VH_KEY_BYTES_MAX 255 /* of any record: its length has one byte */
#define VH_KEY_JOB 'j'	     /* an accepted job */
#define VH_KEY_CANCEL 'c'    /* the cancellation of a job */
#define VH_KEY_STATE 's'     /* the state of a job */
#define VH_KEY_PART 'p'	     /* a part of it, followed by its first task */
#define VH_KEY_LEARNED 'l'   /* statistics of the owner, followed by a name */
#define VH_KEY_OWNER "owner"
/* Sorts after all other keys of the state topic, so that the page of records
 * after VH_KEY_BEFORE_HEARTBEAT holds the heartbeat alone. */
#define VH_KEY_HEARTBEAT "~pulse"
#define VH_KEY_BEFORE_HEARTBEAT "~"

/* vh_key_format - writes the key of the record of kind @kind of job @id */
void vh_key_format(char out[VH_KEY_BYTES], char kind, uint64_t id);

/* vh_key_parse - gets the job from a key; false if it is not of kind @kind */
bool vh_key_parse(struct vh_slice key, char kind, uint64_t *id);

/* vh_key_format_part, vh_key_parse_part - the same for a part of a job's state */
void vh_key_format_part(char out[VH_KEY_BYTES], uint64_t id,
			uint32_t first_task);
bool vh_key_parse_part(struct vh_slice key, uint64_t *id, uint32_t *first_task);

/* vh_key_parse_learned - gets the name from the key of a learned record */
bool vh_key_parse_learned(struct vh_slice key, struct vh_slice *name);

#endif
