#include "claim.h"

#include <glib.h>
#include <string.h>

#define LOOK_AFTER_MS 350    /* an owner not heard for so long is looked for */
#define SILENT_MS 900	     /* without a word and a write for so long: gone */
#define LOOK_PAUSE_MS 400    /* after a look that saw it write */
#define LOOK_FAILED_MS 300   /* after a look that the store did not answer */
#define REFUSED_PAUSE_MS 300 /* after a claim that came second */
#define UNPROVED_MS 2500     /* an owner acts so long without the store */
#define TURNED_AWAY_MS 250   /* the store served nothing, but answered */
#define UNANSWERED_MS 900    /* the store did not answer at all */
#define ASK_PAUSE_MS 300     /* between two questions to the nodes */
#define YIELD_KNOWN_MS 2000  /* a node connected so long will stay */
#define YIELD_NEARER_MS 25   /* nearer to the store by so much */
#define YIELD_STRONGER 2     /* times as strong */
#define FORMER_SLACK_MS 800  /* an order on its way, a late timer */

void claim_init(struct claim *c, int64_t delay_ms, int64_t now_ms)
{
	memset(c, 0, sizeof(*c));
	c->delay_ms = delay_ms;
	c->heard_ms = now_ms;
}

void claim_record(struct claim *c, uint64_t epoch, bool mine, bool released,
		  int64_t now_ms)
{
	if (epoch < c->epoch || (epoch == c->epoch && !released))
		return;
	c->epoch = epoch;
	c->mine = mine && !released;
	c->released = released;
	c->dead = false;
	c->busy = false;
	c->heard_ms = now_ms;
	c->proved_ms = now_ms;
	c->look_after_ms = 0;
	c->vacant_ms = released ? now_ms : 0;
}

void claim_known(struct claim *c, int64_t now_ms)
{
	c->known = true;
	if (!c->epoch && !c->vacant_ms)
		c->vacant_ms = now_ms;
}

void claim_heard(struct claim *c, uint64_t epoch, int64_t now_ms)
{
	if (epoch < c->epoch || c->released)
		return;
	c->heard_ms = now_ms;
	c->dead = false;
	if (!c->mine)
		c->vacant_ms = 0;
}

void claim_dead(struct claim *c, uint64_t epoch, int64_t now_ms)
{
	if (epoch != c->epoch || c->mine || c->dead)
		return;
	c->dead = true;
	if (!c->vacant_ms)
		c->vacant_ms = now_ms;
}

void claim_looked(struct claim *c, bool writes, bool failed, int64_t now_ms)
{
	c->busy = false;
	c->look_after_ms = now_ms + (failed ? LOOK_FAILED_MS : LOOK_PAUSE_MS);
	if (failed || writes)
		return;
	if (now_ms - c->heard_ms >= SILENT_MS && !c->vacant_ms)
		c->vacant_ms = now_ms;
}

void claim_refused(struct claim *c, int64_t now_ms)
{
	c->busy = false;
	if (c->vacant_ms)
		c->vacant_ms = now_ms + REFUSED_PAUSE_MS;
}

void claim_reached(struct claim *c, int64_t now_ms)
{
	c->reached_ms = now_ms;
}

void claim_vacant(struct claim *c, uint64_t epoch, int64_t now_ms)
{
	if (epoch == c->epoch && !c->mine && !c->vacant_ms)
		c->vacant_ms = now_ms;
}

static enum claim_action owner_tick(struct claim *c, int64_t now_ms,
				    const struct claim_view *v)
{
	int64_t away_ms = now_ms - MAX(v->answered_ms, c->proved_ms);

	if (away_ms < (v->refused ? TURNED_AWAY_MS : UNANSWERED_MS))
		return CLAIM_NOTHING;
	if (now_ms - c->reached_ms < ASK_PAUSE_MS)
		return CLAIM_STEP_DOWN;
	if (now_ms - c->proved_ms >= UNPROVED_MS &&
	    (!v->peers || v->peers_reach))
		return CLAIM_STEP_DOWN;
	/* Down for all: nobody can claim, and what runs goes on. */
	if (!v->peers || now_ms < c->ask_after_ms)
		return CLAIM_NOTHING;
	c->ask_after_ms = now_ms + ASK_PAUSE_MS;
	return CLAIM_ASK;
}

enum claim_action claim_tick(struct claim *c, int64_t now_ms,
			     const struct claim_view *view)
{
	if (c->mine)
		return owner_tick(c, now_ms, view);
	if (!c->known || c->busy)
		return CLAIM_NOTHING;
	if (c->vacant_ms) {
		if (now_ms - c->vacant_ms < c->delay_ms)
			return CLAIM_NOTHING;
		c->busy = true;
		return CLAIM_TAKE;
	}
	if (now_ms - c->heard_ms < LOOK_AFTER_MS || now_ms < c->look_after_ms)
		return CLAIM_NOTHING;
	c->busy = true;
	return CLAIM_LOOK;
}

bool claim_yields(struct claim_place own, struct claim_place other,
		  int64_t known_ms)
{
	if (known_ms < YIELD_KNOWN_MS)
		return false;
	if (other.strength >= own.strength * YIELD_STRONGER)
		return true;
	return other.strength >= own.strength &&
	       other.store_ms + YIELD_NEARER_MS <= own.store_ms;
}

int64_t claim_former_ms(void)
{
	return UNPROVED_MS + FORMER_SLACK_MS;
}

void claim_gave_up(struct claim *c, int64_t now_ms)
{
	c->mine = false;
	c->heard_ms = now_ms;
	c->busy = false;
	c->vacant_ms = 0;
}
