#ifndef VH_CREDIT_H
#define VH_CREDIT_H

#include "vh/home.h"

/*
 * The limit of a team with several homes, divided among them. Credit is
 * counted in parts of the limit, so that a new limit scales what each home
 * has. Home 0 begins with all of it. Parts go from home to home by VH_REC_TRANSFER
 * records: the giver's (they are nobody's then), the taker's (they are the
 * taker's), and the giver's again that it is settled. All of it is in the
 * homes' streams, so credit belongs to the unit and a successor inherits it.
 */
#define VH_CREDIT_PARTS UINT32_C(1000000)
#define VH_HOMES_MAX 64

enum vh_transfer_kind {
	VH_TRANSFER_OUT,
	VH_TRANSFER_IN,
	VH_TRANSFER_SETTLED
};

struct vh_credit_transfer {
	uint32_t to;
	uint64_t seq;
	uint32_t parts;
};

/* vh_home_credit_parts - parts that this home may use now */
uint32_t vh_home_credit_parts(const struct vh_home *h);

/* vh_home_credit_used - parts that its started tasks need; 0 without a limit */
uint32_t vh_home_credit_used(const struct vh_home *h);

/* vh_home_credit_wanted - parts that it needs to start what waits as well */
uint32_t vh_home_credit_wanted(const struct vh_home *h);

/**
 * vh_home_transfer_out - gives parts to home @to of the same team
 *
 * Returns false if it has not that many free, or if another gift is on its way
 * to the log. True: append *body as VH_REC_TRANSFER; the parts cannot be used any
 * more. If the append is refused, call vh_home_transfer_out_failed().
 */
bool vh_home_transfer_out(struct vh_home *h, uint32_t to, uint32_t parts,
			  struct vh_buf *body);
void vh_home_transfer_out_failed(struct vh_home *h);

/* vh_home_transfer_pending - the oldest gift not known to have been taken: offer
 * it to the taker's owner until it answers */
bool vh_home_transfer_pending(const struct vh_home *h,
			      struct vh_credit_transfer *out);

/* vh_home_transfer_in - a gift is offered: true if *body is to be appended as
 * VH_REC_TRANSFER; false if it was taken before. Answer with
 * vh_home_transfer_received() once that is applied. */
bool vh_home_transfer_in(struct vh_home *h, uint32_t from, uint64_t seq,
			 uint32_t parts, struct vh_buf *body);
uint64_t vh_home_transfer_received(const struct vh_home *h, uint32_t from);

/* vh_home_transfer_settle - the taker has all gifts up to @received_seq: true if
 * *body is to be appended as VH_REC_TRANSFER */
bool vh_home_transfer_settle(struct vh_home *h, uint32_t to,
			     uint64_t received_seq, struct vh_buf *body);

/**
 * struct vh_credit_state - what one home says about its credit
 */
struct vh_credit_state {
	uint32_t index;
	uint32_t parts;
	uint32_t used;
	uint32_t wanted;
};

/**
 * vh_credit_transfer_parts - decides what home @giver gives to home @taker
 *
 * Gives what the giver does not need itself, and of the rest half of the
 * difference when the taker has less than an equal part. 0: nothing.
 */
uint32_t vh_credit_transfer_parts(const struct vh_credit_state *giver,
				  const struct vh_credit_state *taker,
				  uint32_t homes);

#endif
