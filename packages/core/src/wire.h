#ifndef VH_WIRE_H
#define VH_WIRE_H

#include "vh/codec.h"
#include "vh/gang.h"
#include "vh/rack.h"

/* Bodies of the calls between homes and racks. Slices borrow. */

void wire_pack_res(struct vh_buf *out, const struct vh_res *res);
void wire_unpack_res(struct vh_unpack *u, struct vh_res *res);

/**
 * struct wire_place - VH_METHOD_PLACE, answered with the worker's id
 * @again: the same start was asked before and its fate is unknown: tell it,
 *	   or make sure that it never begins (VH_ERR_CANCELLED)
 * @deadline_in_ms: time left, 0 for no limit
 * @waited_ms: since the job was accepted
 * @share, @step: as in struct vh_demand
 * @run_ms: estimated run time, 0 for not known
 */
struct wire_place {
	struct vh_slice rack;
	struct vh_start start;
	int64_t deadline_in_ms;
	bool again;
	uint64_t rack_epoch; /* of the owner that is asked */
	int64_t waited_ms;
	uint64_t share;
	uint64_t step;
	uint32_t priority;
	uint32_t run_ms;
	struct vh_gang_ticket
		ticket; /* of a gang's confirmed holds; id 0: none */
};

void wire_place_pack(struct vh_buf *out, const struct wire_place *p);
bool wire_place_unpack(struct vh_unpack *u, struct vh_slice body,
		       struct wire_place *p);

/** struct wire_ended - VH_METHOD_TASK_ENDED, answered VH_OK once durable */
struct wire_ended {
	struct vh_ended_task ended;
	struct vh_slice worker;
};

void wire_ended_pack(struct vh_buf *out, const struct wire_ended *e);
bool wire_ended_unpack(struct vh_unpack *u, struct vh_slice body,
		       struct wire_ended *e);

/** struct wire_stop - VH_METHOD_STOP */
struct wire_stop {
	struct vh_slice rack;
	struct vh_stop stop;
};

void wire_stop_pack(struct vh_buf *out, const struct wire_stop *s);
bool wire_stop_unpack(struct vh_unpack *u, struct vh_slice body,
		      struct wire_stop *s);

/**
 * struct wire_hold - VH_METHOD_HOLD, answered [held], and
 *		      VH_METHOD_HOLD_CONFIRM, answered VH_OK if all are held
 * @tasks: 0 gives all holds back
 */
struct wire_hold {
	struct vh_slice rack;
	struct vh_slice home;
	uint64_t home_epoch;
	struct vh_gang_ticket ticket;
	struct vh_res size;
	enum vh_class cls;
	uint32_t tasks;
};

void wire_hold_pack(struct vh_buf *out, const struct wire_hold *h);
bool wire_hold_unpack(struct vh_unpack *u, struct vh_slice body,
		      struct wire_hold *h);

void wire_running_task_pack(struct vh_buf *out,
			    const struct vh_running_task *run,
			    struct vh_slice worker);
void wire_running_task_unpack(struct vh_unpack *u, struct vh_running_task *run,
			      struct vh_slice *worker);

#endif
