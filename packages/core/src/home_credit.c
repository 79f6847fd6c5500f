#include "home_priv.h"

#include "owners.h"
#include "vh/credit.h"

/*
 * Transfers limit credit between the homes of a team. A home that lacks credit
 * to start its waiting tasks sends its credit, usage and demand to the team's
 * other homes. One with spare credit transfers some: it appends a record of the
 * outgoing transfer, repeats the transfer call until the receiver acknowledges
 * it, and appends a record that the transfer is settled.
 */

#define REQUEST_INTERVAL_MS 150
#define TRANSFER_INTERVAL_MS 250
#define CALL_TIMEOUT_MS 3000
#define NO_BODY vh_slice("", 0)

static struct sibling_name {
	char name[VH_UNIT_MAX + 1];
} sibling_unit(const struct home *h, uint32_t index)
{
	struct sibling_name sibling;

	g_snprintf(sibling.name, sizeof(sibling.name), "home/%s/%u", h->team,
		   index);
	return sibling;
}

static void own_credit(const struct home *h, struct vh_credit_state *s)
{
	s->index = h->index;
	s->parts = vh_home_credit_parts(h->state);
	s->used = vh_home_credit_used(h->state);
	s->wanted = vh_home_credit_wanted(h->state);
}

static void request_done(void *ctx, enum vh_err err, struct vh_slice body)
{
	(void)err;
	(void)body;
	home_op_free(ctx);
}

static void send_request(struct home *h, uint32_t index,
			 const struct vh_credit_state *s)
{
	struct sibling_name sibling = sibling_unit(h, index);
	struct vh_claim claim;
	struct vh_buf body;

	if (!owners_get(h->homes->core->owners, vh_slice_str(sibling.name),
			&claim))
		return;
	vh_buf_init(&body);
	vh_pack_array(&body, 5);
	vh_pack_slice(&body, vh_slice_str(sibling.name));
	vh_pack_u64(&body, s->index);
	vh_pack_u64(&body, s->parts);
	vh_pack_u64(&body, s->used);
	vh_pack_u64(&body, s->wanted);
	vh_peer_call(h->homes->core->peer, claim.node, VH_METHOD_CREDIT_REQUEST,
		     vh_buf_slice(&body), CALL_TIMEOUT_MS, request_done,
		     home_op_new(h, true));
	vh_buf_finish(&body);
}

static void settle_recorded(void *arg, enum vh_err err, uint64_t offset)
{
	(void)err;
	(void)offset;
	home_op_free(arg);
}

static void transfer_done(void *ctx, enum vh_err err, struct vh_slice body)
{
	struct home_op *op = ctx;
	struct home *h = op->home;
	uint32_t to = op->attempt;
	struct vh_buf record;
	struct vh_unpack u;

	home_op_free(op);
	if (!h)
		return;
	h->transfer_in_flight = false;
	if (err != VH_OK || !h->open)
		return;
	vh_buf_init(&record);
	vh_unpack_init(&u, body, NULL);
	if (vh_home_transfer_settle(h->state, to, vh_unpack_u64(&u), &record))
		vh_log_stream_append(h->stream, VH_REC_TRANSFER,
				     vh_buf_slice(&record), settle_recorded,
				     home_op_new(h, false));
	vh_unpack_finish(&u);
	vh_buf_finish(&record);
}

/* Sends the oldest transfer that the receiver has not acknowledged. */
static void send_pending_transfer(struct home *h)
{
	struct sibling_name sibling;
	struct vh_claim claim;
	struct vh_credit_transfer transfer;
	struct home_op *op;
	struct vh_buf body;

	if (h->transfer_in_flight || home_now_ms(h) < h->next_transfer_ms ||
	    !vh_home_transfer_pending(h->state, &transfer))
		return;
	sibling = sibling_unit(h, transfer.to);
	if (!owners_get(h->homes->core->owners, vh_slice_str(sibling.name),
			&claim))
		return;
	h->transfer_in_flight = true;
	h->next_transfer_ms = home_now_ms(h) + TRANSFER_INTERVAL_MS;
	op = home_op_new(h, true);
	op->attempt = transfer.to;
	vh_buf_init(&body);
	vh_pack_array(&body, 4);
	vh_pack_slice(&body, vh_slice_str(sibling.name));
	vh_pack_u64(&body, h->index);
	vh_pack_u64(&body, transfer.seq);
	vh_pack_u64(&body, transfer.parts);
	vh_peer_call(h->homes->core->peer, claim.node,
		     VH_METHOD_CREDIT_TRANSFER, vh_buf_slice(&body),
		     CALL_TIMEOUT_MS, transfer_done, op);
	vh_buf_finish(&body);
}

void home_transfer_credit(struct home *h)
{
	struct vh_credit_state s;

	if (h->n_homes < 2)
		return;
	send_pending_transfer(h);
	own_credit(h, &s);
	if (s.wanted <= s.parts || home_now_ms(h) < h->next_credit_request_ms)
		return;
	h->next_credit_request_ms = home_now_ms(h) + REQUEST_INTERVAL_MS;
	for (uint32_t k = 0; k < h->n_homes; k++) {
		if (k != h->index)
			send_request(h, k, &s);
	}
}

static void transfer_out_recorded(void *arg, enum vh_err err, uint64_t offset)
{
	struct home_op *op = arg;
	struct home *h = op->home;

	(void)offset;
	home_op_free(op);
	if (err == VH_ERR_LOG_UNAVAILABLE)
		vh_home_transfer_out_failed(h->state);
	else if (err == VH_OK)
		send_pending_transfer(h);
}

static void transfer_to(struct home *h, const struct vh_credit_state *requester)
{
	struct vh_credit_state own;
	struct vh_buf body;
	uint32_t parts;

	own_credit(h, &own);
	parts = vh_credit_transfer_parts(&own, requester, h->n_homes);
	if (!parts || vh_log_stream_is_stale(h->stream))
		return;
	vh_buf_init(&body);
	if (vh_home_transfer_out(h->state, requester->index, parts, &body))
		vh_log_stream_append(h->stream, VH_REC_TRANSFER,
				     vh_buf_slice(&body), transfer_out_recorded,
				     home_op_new(h, false));
	vh_buf_finish(&body);
}

static void on_credit_request(void *ctx, const struct vh_node *from,
			      struct vh_slice body, struct vh_peer_reply *reply)
{
	struct vh_credit_state requester;
	struct vh_unpack u;
	struct home *h;

	(void)from;
	vh_unpack_init(&u, body, NULL);
	h = home_find(ctx, vh_unpack_slice(&u));
	requester.index = vh_unpack_u32(&u);
	requester.parts = vh_unpack_u32(&u);
	requester.used = vh_unpack_u32(&u);
	requester.wanted = vh_unpack_u32(&u);
	if (u.ok && h && h->open && requester.index < h->n_homes)
		transfer_to(h, &requester);
	vh_unpack_finish(&u);
	vh_peer_answer(reply, VH_OK, NO_BODY);
}

static void answer_received(struct home *h, uint32_t from,
			    struct vh_peer_reply *reply)
{
	struct vh_buf out;

	vh_buf_init(&out);
	vh_pack_array(&out, 1);
	vh_pack_u64(&out, vh_home_transfer_received(h->state, from));
	vh_peer_answer(reply, VH_OK, vh_buf_slice(&out));
	vh_buf_finish(&out);
}

static void transfer_in_recorded(void *arg, enum vh_err err, uint64_t offset)
{
	struct home_op *op = arg;
	struct vh_peer_reply *reply = op->reply;

	(void)offset;
	op->reply = NULL;
	if (err == VH_OK)
		answer_received(op->home, op->attempt, reply);
	else
		vh_peer_answer(reply, err, NO_BODY);
	home_schedule_dispatch(op->home);
	home_op_free(op);
}

static void on_credit_transfer(void *ctx, const struct vh_node *from,
			       struct vh_slice body,
			       struct vh_peer_reply *reply)
{
	struct vh_unpack u;
	struct vh_buf record;
	struct home_op *op;
	struct home *h;
	uint32_t sender, parts;
	uint64_t seq;

	(void)from;
	vh_unpack_init(&u, body, NULL);
	h = home_find(ctx, vh_unpack_slice(&u));
	sender = vh_unpack_u32(&u);
	seq = vh_unpack_u64(&u);
	parts = vh_unpack_u32(&u);
	vh_buf_init(&record);
	if (!u.ok || !h || !h->open) {
		vh_peer_answer(reply, VH_ERR_NOT_OWNER, NO_BODY);
	} else if (vh_home_transfer_in(h->state, sender, seq, parts, &record)) {
		op = home_op_new(h, false);
		op->reply = reply;
		op->attempt = sender;
		vh_log_stream_append(h->stream, VH_REC_TRANSFER,
				     vh_buf_slice(&record),
				     transfer_in_recorded, op);
	} else {
		answer_received(h, sender, reply);
	}
	vh_buf_finish(&record);
	vh_unpack_finish(&u);
}

void home_credit_register(struct vh_homes *hs)
{
	struct vh_peer *p = hs->core->peer;

	vh_peer_set_handler(p, VH_METHOD_CREDIT_REQUEST, on_credit_request, hs);
	vh_peer_set_handler(p, VH_METHOD_CREDIT_TRANSFER, on_credit_transfer,
			    hs);
}
