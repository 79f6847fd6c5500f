#include "wire.h"

void wire_pack_res(struct vh_buf *out, const struct vh_res *res)
{
	vh_pack_array(out, VH_DIM_COUNT);
	for (int d = 0; d < VH_DIM_COUNT; d++)
		vh_pack_u64(out, res->v[d]);
}

void wire_unpack_res(struct vh_unpack *u, struct vh_res *res)
{
	struct vh_unpack sub;

	memset(res, 0, sizeof(*res));
	vh_unpack_array(u, &sub);
	for (int d = 0; d < VH_DIM_COUNT; d++)
		res->v[d] = vh_unpack_u32(&sub);
	u->ok = u->ok && sub.ok;
}

static enum vh_class unpack_class(struct vh_unpack *u)
{
	uint32_t c = vh_unpack_u32(u);

	if (c >= VH_CLASS_COUNT) {
		u->ok = false;
		return VH_CLASS_BATCH;
	}
	return (enum vh_class)c;
}

void wire_place_pack(struct vh_buf *out, const struct wire_place *p)
{
	const struct vh_start *s = &p->start;

	vh_pack_array(out, 20);
	vh_pack_slice(out, p->rack);
	vh_pack_slice(out, s->task);
	vh_pack_u64(out, s->attempt);
	vh_pack_slice(out, s->home);
	vh_pack_u64(out, s->home_epoch);
	vh_pack_u64(out, s->cls);
	wire_pack_res(out, &s->size);
	vh_pack_slice(out, s->service);
	vh_pack_slice(out, s->input);
	vh_pack_i64(out, p->deadline_in_ms);
	vh_pack_bool(out, p->again);
	vh_pack_i64(out, p->waited_ms);
	vh_pack_u64(out, p->share);
	vh_pack_u64(out, p->step);
	vh_pack_u64(out, p->priority);
	vh_pack_u64(out, p->run_ms);
	vh_pack_i64(out, p->ticket.accepted_wall_ms);
	vh_pack_u64(out, p->ticket.id);
	vh_pack_u64(out, p->rack_epoch);
	vh_pack_bool(out, s->idempotent);
}

bool wire_place_unpack(struct vh_unpack *u, struct vh_slice body,
		       struct wire_place *p)
{
	struct vh_start *s = &p->start;

	memset(p, 0, sizeof(*p));
	if (!vh_unpack_init(u, body, NULL))
		return false;
	p->rack = vh_unpack_slice(u);
	s->task = vh_unpack_slice(u);
	s->attempt = vh_unpack_u32(u);
	s->home = vh_unpack_slice(u);
	s->home_epoch = vh_unpack_u64(u);
	s->cls = unpack_class(u);
	wire_unpack_res(u, &s->size);
	s->service = vh_unpack_slice(u);
	s->input = vh_unpack_slice(u);
	p->deadline_in_ms = vh_unpack_i64(u);
	p->again = vh_unpack_bool(u);
	p->waited_ms = vh_unpack_i64(u);
	p->share = vh_unpack_u64(u);
	p->step = vh_unpack_u64(u);
	p->priority = vh_unpack_u32(u);
	p->run_ms = vh_unpack_u32(u);
	p->ticket.accepted_wall_ms = vh_unpack_i64(u);
	p->ticket.id = vh_unpack_u64(u);
	p->rack_epoch = vh_unpack_u64(u);
	s->idempotent = vh_unpack_bool(u);
	return u->ok;
}

void wire_ended_pack(struct vh_buf *out, const struct wire_ended *e)
{
	vh_pack_array(out, 7);
	vh_pack_slice(out, e->ended.home);
	vh_pack_slice(out, e->ended.task);
	vh_pack_u64(out, e->ended.attempt);
	vh_pack_u64(out, e->ended.end);
	vh_pack_i64(out, e->ended.exit_code);
	vh_pack_slice(out, e->ended.result);
	vh_pack_slice(out, e->worker);
}

bool wire_ended_unpack(struct vh_unpack *u, struct vh_slice body,
		       struct wire_ended *e)
{
	uint32_t end;

	memset(e, 0, sizeof(*e));
	if (!vh_unpack_init(u, body, NULL))
		return false;
	e->ended.home = vh_unpack_slice(u);
	e->ended.task = vh_unpack_slice(u);
	e->ended.attempt = vh_unpack_u32(u);
	end = vh_unpack_u32(u);
	e->ended.end = (enum vh_end)end;
	e->ended.exit_code = (int32_t)vh_unpack_i64(u);
	e->ended.result = vh_unpack_slice(u);
	e->worker = vh_unpack_slice(u);
	return u->ok && end < VH_END_COUNT;
}

void wire_stop_pack(struct vh_buf *out, const struct wire_stop *s)
{
	vh_pack_array(out, 4);
	vh_pack_slice(out, s->rack);
	vh_pack_slice(out, s->stop.task);
	vh_pack_u64(out, s->stop.attempt);
	vh_pack_u64(out, s->stop.mode);
}

bool wire_stop_unpack(struct vh_unpack *u, struct vh_slice body,
		      struct wire_stop *s)
{
	uint32_t mode;

	memset(s, 0, sizeof(*s));
	if (!vh_unpack_init(u, body, NULL))
		return false;
	s->rack = vh_unpack_slice(u);
	s->stop.task = vh_unpack_slice(u);
	s->stop.attempt = vh_unpack_u32(u);
	mode = vh_unpack_u32(u);
	s->stop.mode = (enum vh_stop_mode)mode;
	return u->ok && mode <= VH_STOP_THROTTLE;
}

void wire_running_task_pack(struct vh_buf *out,
			    const struct vh_running_task *run,
			    struct vh_slice worker)
{
	vh_pack_array(out, 8);
	vh_pack_slice(out, run->task);
	vh_pack_u64(out, run->attempt);
	vh_pack_slice(out, run->home);
	vh_pack_u64(out, run->home_epoch);
	vh_pack_u64(out, run->cls);
	wire_pack_res(out, &run->size);
	vh_pack_slice(out, run->service);
	vh_pack_slice(out, worker);
}

void wire_running_task_unpack(struct vh_unpack *u, struct vh_running_task *run,
			      struct vh_slice *worker)
{
	struct vh_unpack sub;

	memset(run, 0, sizeof(*run));
	vh_unpack_array(u, &sub);
	run->task = vh_unpack_slice(&sub);
	run->attempt = vh_unpack_u32(&sub);
	run->home = vh_unpack_slice(&sub);
	run->home_epoch = vh_unpack_u64(&sub);
	run->cls = unpack_class(&sub);
	wire_unpack_res(&sub, &run->size);
	run->service = vh_unpack_slice(&sub);
	*worker = vh_unpack_slice(&sub);
	u->ok = u->ok && sub.ok;
}

void wire_hold_pack(struct vh_buf *out, const struct wire_hold *h)
{
	vh_pack_array(out, 8);
	vh_pack_slice(out, h->rack);
	vh_pack_slice(out, h->home);
	vh_pack_u64(out, h->home_epoch);
	vh_pack_i64(out, h->ticket.accepted_wall_ms);
	vh_pack_u64(out, h->ticket.id);
	wire_pack_res(out, &h->size);
	vh_pack_u64(out, h->cls);
	vh_pack_u64(out, h->tasks);
}

bool wire_hold_unpack(struct vh_unpack *u, struct vh_slice body,
		      struct wire_hold *h)
{
	memset(h, 0, sizeof(*h));
	if (!vh_unpack_init(u, body, NULL))
		return false;
	h->rack = vh_unpack_slice(u);
	h->home = vh_unpack_slice(u);
	h->home_epoch = vh_unpack_u64(u);
	h->ticket.accepted_wall_ms = vh_unpack_i64(u);
	h->ticket.id = vh_unpack_u64(u);
	wire_unpack_res(u, &h->size);
	h->cls = unpack_class(u);
	h->tasks = vh_unpack_u32(u);
	return u->ok;
}
