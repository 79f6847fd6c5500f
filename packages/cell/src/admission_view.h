#ifndef CELL_ADMISSION_VIEW_H
#define CELL_ADMISSION_VIEW_H

/*
 * The owner's view of the load as a WIRE_LOAD frame. Internal to the package;
 * called by owner_admission.c and owner_client.c.
 */

#include "admission.h"
#include "wire.h"

/* admission_view_pack - builds a frame; to be sent by wire_send() */
void admission_view_pack(struct wire_msg *msg, const struct eng_load *load,
			 uint64_t epoch, int64_t wall_ms);

/**
 * admission_view_read - replaces @load by the view in a frame
 *
 * Returns false if the frame is malformed; @load is then empty, with at_ms 0,
 * which no time makes usable.
 */
bool admission_view_read(struct eng_load *load, const struct vh_frame *f);

#endif
