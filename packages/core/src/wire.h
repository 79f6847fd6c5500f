#ifndef VH_WIRE_H
#define VH_WIRE_H

/*
 * Packs and unpacks the bodies of the calls between homes and racks. Unpacked
 * slices point into the body. Internal to the package: used on both sides of
 * these calls and by the service "upstreams".
 */

#include "vh/codec.h"
#include "vh/gang.h"
#include "vh/rack.h"

void wire_pack_res(struct vh_buf *out, const struct vh_res *res);
void wire_unpack_res(struct vh_unpack *u, struct vh_res *res);

/**
 * struct wire_place - body of VH_METHOD_PLACE; the answer is the worker's id
 * @deadline_in_ms: time left until the deadline, 0 for no deadline
 * @again: the same start was requested before and its outcome is unknown: the
 *	   rack reports the outcome or makes sure that the start never begins
 *	   (VH_ERR_CANCELLED)
 * @rack_epoch: epoch of the rack owner that is asked
 * @waited_ms: time since the job was accepted
 * @share, @step: as in struct vh_demand
 * @run_ms: estimated run time, 0 if unknown
 * @ticket: ticket of the gang whose confirmed hold is to be used; id 0: none
 */
struct wire_place {
	struct vh_slice rack;
	struct vh_start start;
	int64_t deadline_in_ms;
	bool again;
	uint64_t rack_epoch;
	int64_t waited_ms;
	uint64_t share;
	uint64_t step;
	uint32_t priority;
	uint32_t run_ms;
	struct vh_gang_ticket ticket;
};

void wire_place_pack(struct vh_buf *out, const struct wire_place *p);
bool wire_place_unpack(struct vh_unpack *u, struct vh_slice body,
		       struct wire_place *p);

/**
 * struct wire_ended - body of VH_METHOD_TASK_ENDED, answered VH_OK once the end
 *		       is durable
 */
struct wire_ended {
	struct vh_ended_task ended;
	struct vh_slice worker;
};

void wire_ended_pack(struct vh_buf *out, const struct wire_ended *e);
bool wire_ended_unpack(struct vh_unpack *u, struct vh_slice body,
		       struct wire_ended *e);

/** struct wire_stop - body of VH_METHOD_STOP */
struct wire_stop {
	struct vh_slice rack;
	struct vh_stop stop;
};

void wire_stop_pack(struct vh_buf *out, const struct wire_stop *s);
bool wire_stop_unpack(struct vh_unpack *u, struct vh_slice body,
		      struct wire_stop *s);

/**
 * struct wire_hold - body of VH_METHOD_HOLD and VH_METHOD_HOLD_CONFIRM
 * @tasks: tasks to hold or to confirm; VH_METHOD_HOLD with 0 releases all holds
 *
 * VH_METHOD_HOLD is answered with [held], the number of tasks held.
 * VH_METHOD_HOLD_CONFIRM is answered VH_OK if all @tasks are held.
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
