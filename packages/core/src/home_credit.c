#include "home_priv.h"

#include "owners.h"
#include "vh/credit.h"

/*
 * Moves limit credit between the homes of one team. A home that cannot start
 * what waits tells its siblings what it has and wants; one with credit to
 * spare gives some: a record of its own, an offer until the taker answers, and
 * a record that it is settled.
 */

#define ASK_MS 150
#define OFFER_MS 250
#define CALL_TIMEOUT_MS 3000
#define NO_BODY vh_slice("", 0)

static struct credit_unit {
	char name[VH_UNIT_MAX + 1];
} sibling_unit(const struct home *h, uint32_t index)
{
	struct credit_unit unit;

	g_snprintf(unit.name, sizeof(unit.name), "home/%s/%u", h->team, index);
	return unit;
}

static void own_state(const struct home *h, struct vh_credit_state *s)
{
	s->index = h->index;
	s->parts = vh_home_credit_parts(h->state);
	s->used = vh_home_credit_used(h->state);
	s->wanted = vh_home_credit_wanted(h->state);
}

static void ask_done(void *ctx, enum vh_err err, struct vh_slice body)
{
	(void)err;
	(void)body;
	home_op_free(ctx);
}

static void ask_sibling(struct home *h, uint32_t index,
			const struct vh_credit_state *s)
{
	struct credit_unit unit = sibling_unit(h, index);
	struct vh_claim claim;
	struct vh_buf body;

	if (!owners_get(h->homes->core->owners, vh_slice_str(unit.name),
			&claim))
		return;
	vh_buf_init(&body);
	vh_pack_array(&body, 5);
	vh_pack_slice(&body, vh_slice_str(unit.name));
	vh_pack_u64(&body, s->index);
	vh_pack_u64(&body, s->parts);
	vh_pack_u64(&body, s->used);
	vh_pack_u64(&body, s->wanted);
	vh_peer_call(h->homes->core->peer, claim.node, VH_METHOD_CREDIT_REQUEST,
		     vh_buf_slice(&body), CALL_TIMEOUT_MS, ask_done,
		     home_op_new(h, true));
	vh_buf_finish(&body);
}

static void settled(void *arg, enum vh_err err, uint64_t offset)
{
	(void)err;
	(void)offset;
	home_op_free(arg);
}

static void offer_done(void *ctx, enum vh_err err, struct vh_slice body)
{
	struct home_op *op = ctx;
	struct home *h = op->home;
	uint32_t to = op->attempt;
	struct vh_buf record;
	struct vh_unpack u;

	home_op_free(op);
	if (!h)
		return;
	h->offering = false;
	if (err != VH_OK || !h->open)
		return;
	vh_buf_init(&record);
	vh_unpack_init(&u, body, NULL);
	if (vh_home_transfer_settle(h->state, to, vh_unpack_u64(&u), &record))
		vh_log_stream_append(h->stream, VH_REC_TRANSFER,
				     vh_buf_slice(&record), settled,
				     home_op_new(h, false));
	vh_unpack_finish(&u);
	vh_buf_finish(&record);
}

/* Offers the oldest gift that is not known to have been taken. */
static void offer(struct home *h)
{
	struct credit_unit unit;
	struct vh_claim claim;
	struct vh_credit_transfer move;
	struct home_op *op;
	struct vh_buf body;

	if (h->offering || home_now_ms(h) < h->next_offer_ms ||
	    !vh_home_transfer_pending(h->state, &move))
		return;
	unit = sibling_unit(h, move.to);
	if (!owners_get(h->homes->core->owners, vh_slice_str(unit.name),
			&claim))
		return;
	h->offering = true;
	h->next_offer_ms = home_now_ms(h) + OFFER_MS;
	op = home_op_new(h, true);
	op->attempt = move.to;
	vh_buf_init(&body);
	vh_pack_array(&body, 4);
	vh_pack_slice(&body, vh_slice_str(unit.name));
	vh_pack_u64(&body, h->index);
	vh_pack_u64(&body, move.seq);
	vh_pack_u64(&body, move.parts);
	vh_peer_call(h->homes->core->peer, claim.node,
		     VH_METHOD_CREDIT_TRANSFER, vh_buf_slice(&body),
		     CALL_TIMEOUT_MS, offer_done, op);
	vh_buf_finish(&body);
}

void home_transfer_credit(struct home *h)
{
	struct vh_credit_state s;

	if (h->n_homes < 2)
		return;
	offer(h);
	own_state(h, &s);
	if (s.wanted <= s.parts || home_now_ms(h) < h->next_credit_request_ms)
		return;
	h->next_credit_request_ms = home_now_ms(h) + ASK_MS;
	for (uint32_t k = 0; k < h->n_homes; k++) {
		if (k != h->index)
			ask_sibling(h, k, &s);
	}
}

static void move_recorded(void *arg, enum vh_err err, uint64_t offset)
{
	struct home_op *op = arg;
	struct home *h = op->home;

	(void)offset;
	home_op_free(op);
	if (err == VH_ERR_LOG_UNAVAILABLE)
		vh_home_transfer_out_failed(h->state);
	else if (err == VH_OK)
		offer(h);
}

static void give(struct home *h, const struct vh_credit_state *taker)
{
	struct vh_credit_state own;
	struct vh_buf body;
	uint32_t parts;

	own_state(h, &own);
	parts = vh_credit_transfer_parts(&own, taker, h->n_homes);
	if (!parts || vh_log_stream_is_stale(h->stream))
		return;
	vh_buf_init(&body);
	if (vh_home_transfer_out(h->state, taker->index, parts, &body))
		vh_log_stream_append(h->stream, VH_REC_TRANSFER,
				     vh_buf_slice(&body), move_recorded,
				     home_op_new(h, false));
	vh_buf_finish(&body);
}

static void on_ask(void *ctx, const struct vh_node *from, struct vh_slice body,
		   struct vh_peer_reply *reply)
{
	struct vh_credit_state taker;
	struct vh_unpack u;
	struct home *h;

	(void)from;
	vh_unpack_init(&u, body, NULL);
	h = home_find(ctx, vh_unpack_slice(&u));
	taker.index = vh_unpack_u32(&u);
	taker.parts = vh_unpack_u32(&u);
	taker.used = vh_unpack_u32(&u);
	taker.wanted = vh_unpack_u32(&u);
	if (u.ok && h && h->open && taker.index < h->n_homes)
		give(h, &taker);
	vh_unpack_finish(&u);
	vh_peer_answer(reply, VH_OK, NO_BODY);
}

static void answer_taken(struct home *h, uint32_t from,
			 struct vh_peer_reply *reply)
{
	struct vh_buf out;

	vh_buf_init(&out);
	vh_pack_array(&out, 1);
	vh_pack_u64(&out, vh_home_transfer_received(h->state, from));
	vh_peer_answer(reply, VH_OK, vh_buf_slice(&out));
	vh_buf_finish(&out);
}

static void taken_recorded(void *arg, enum vh_err err, uint64_t offset)
{
	struct home_op *op = arg;
	struct vh_peer_reply *reply = op->reply;

	(void)offset;
	op->reply = NULL;
	if (err == VH_OK)
		answer_taken(op->home, op->attempt, reply);
	else
		vh_peer_answer(reply, err, NO_BODY);
	home_schedule_dispatch(op->home);
	home_op_free(op);
}

static void on_give(void *ctx, const struct vh_node *from, struct vh_slice body,
		    struct vh_peer_reply *reply)
{
	struct vh_unpack u;
	struct vh_buf record;
	struct home_op *op;
	struct home *h;
	uint32_t giver, parts;
	uint64_t seq;

	(void)from;
	vh_unpack_init(&u, body, NULL);
	h = home_find(ctx, vh_unpack_slice(&u));
	giver = vh_unpack_u32(&u);
	seq = vh_unpack_u64(&u);
	parts = vh_unpack_u32(&u);
	vh_buf_init(&record);
	if (!u.ok || !h || !h->open) {
		vh_peer_answer(reply, VH_ERR_NOT_OWNER, NO_BODY);
	} else if (vh_home_transfer_in(h->state, giver, seq, parts, &record)) {
		op = home_op_new(h, false);
		op->reply = reply;
		op->attempt = giver;
		vh_log_stream_append(h->stream, VH_REC_TRANSFER,
				     vh_buf_slice(&record), taken_recorded, op);
	} else {
		answer_taken(h, giver, reply);
	}
	vh_buf_finish(&record);
	vh_unpack_finish(&u);
}

void home_credit_register(struct vh_homes *hs)
{
	struct vh_peer *p = hs->core->peer;

	vh_peer_set_handler(p, VH_METHOD_CREDIT_REQUEST, on_ask, hs);
	vh_peer_set_handler(p, VH_METHOD_CREDIT_TRANSFER, on_give, hs);
}
