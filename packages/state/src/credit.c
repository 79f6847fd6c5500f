#include "vh/credit.h"

uint32_t vh_credit_transfer_parts(const struct vh_credit_state *giver,
				  const struct vh_credit_state *taker,
				  uint32_t homes)
{
	uint32_t equal = homes ? VH_CREDIT_PARTS / homes : VH_CREDIT_PARTS;
	uint32_t missing, keep, spare;

	if (taker->wanted <= taker->parts || giver->used >= giver->parts)
		return 0;
	missing = taker->wanted - taker->parts;
	keep = giver->wanted;
	if (keep > giver->parts)
		keep = giver->parts;
	if (taker->parts < equal && keep > equal)
		keep = equal;
	if (keep < giver->used)
		keep = giver->used;
	spare = giver->parts - keep;
	return spare < missing ? spare : missing;
}
