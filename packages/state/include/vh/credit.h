#ifndef VH_CREDIT_H
#define VH_CREDIT_H

/*
 * Divides a team's limit among its homes and transfers shares of it between
 * them. Called by the homes in packages/core; the home state of this package
 * uses its constants.
 */

#include "vh/home.h"

/*
 * Credit is counted in parts of the limit, so a changed limit scales every
 * home's share. Home 0 starts with all parts.
 *
 * A transfer takes three VH_REC_TRANSFER records: the sender's VH_TRANSFER_OUT,
 * after which neither home may use the parts; the receiver's VH_TRANSFER_IN,
 * which adds them to its share; and the sender's VH_TRANSFER_SETTLED. As all of
 * them are in the homes' streams, credit belongs to the unit and passes to the
 * next owner.
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

/* vh_home_credit_used - parts needed by started tasks; 0 without a limit */
uint32_t vh_home_credit_used(const struct vh_home *h);

/* vh_home_credit_wanted - parts needed by started and waiting tasks */
uint32_t vh_home_credit_wanted(const struct vh_home *h);

/**
 * vh_home_transfer_out - starts a transfer to home @to of the same team
 *
 * Returns false if fewer than @parts are free or if another outgoing transfer
 * is still being appended. On true, append *body as VH_REC_TRANSFER; the parts
 * can no longer be used. If the append is refused, call
 * vh_home_transfer_out_failed().
 */
bool vh_home_transfer_out(struct vh_home *h, uint32_t to, uint32_t parts,
			  struct vh_buf *body);
void vh_home_transfer_out_failed(struct vh_home *h);

/*
 * vh_home_transfer_pending - returns the oldest transfer that is not settled.
 * Repeat the offer to the receiver's owner until it replies.
 */
bool vh_home_transfer_pending(const struct vh_home *h,
			      struct vh_credit_transfer *out);

/*
 * vh_home_transfer_in - handles an offered transfer. Returns true if *body must
 * be appended as VH_REC_TRANSFER, false if the transfer was received before.
 * Reply with vh_home_transfer_received() once the record has been applied.
 */
bool vh_home_transfer_in(struct vh_home *h, uint32_t from, uint64_t seq,
			 uint32_t parts, struct vh_buf *body);
uint64_t vh_home_transfer_received(const struct vh_home *h, uint32_t from);

/*
 * vh_home_transfer_settle - the receiver has all transfers up to @received_seq.
 * Returns true if *body must be appended as VH_REC_TRANSFER.
 */
bool vh_home_transfer_settle(struct vh_home *h, uint32_t to,
			     uint64_t received_seq, struct vh_buf *body);

/** struct vh_credit_state - the credit that one home reports */
struct vh_credit_state {
	uint32_t index;
	uint32_t parts;
	uint32_t used;
	uint32_t wanted;
};

/**
 * vh_credit_transfer_parts - computes how many parts @sender sends to @receiver
 *
 * The giver sends what it does not want itself. If the taker has less than an
 * equal share, the giver also sends wanted but unused parts above its own equal
 * share. Returns 0 if there is nothing to send.
 */
uint32_t vh_credit_transfer_parts(const struct vh_credit_state *sender,
				  const struct vh_credit_state *receiver,
				  uint32_t homes);

#endif
