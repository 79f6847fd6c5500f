#include "vh/credit.h"

uint32_t vh_credit_transfer_parts(const struct vh_credit_state *sender,
				  const struct vh_credit_state *receiver,
				  uint32_t homes)
{
	uint32_t equal_share =
		homes ? VH_CREDIT_PARTS / homes : VH_CREDIT_PARTS;
	uint32_t needed, keep, spare;

	if (receiver->wanted <= receiver->parts ||
	    sender->used >= sender->parts)
		return 0;
	needed = receiver->wanted - receiver->parts;
	keep = sender->wanted;
	if (keep > sender->parts)
		keep = sender->parts;
	if (receiver->parts < equal_share && keep > equal_share)
		keep = equal_share;
	if (keep < sender->used)
		keep = sender->used;
	spare = sender->parts - keep;
	return spare < needed ? spare : needed;
}
