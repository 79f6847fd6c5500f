#include "election.h"

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

void election_init(struct claim *c, int64_t delay_ms, int64_t now_ms)
{
	memset(c, 0, sizeof(*c));
	c->delay_ms = delay_ms;
	c->heard_ms = now_ms;
}

void election_record_read(struct claim *c, uint64_t epoch, bool mine,
			  bool released, int64_t now_ms)
{
	if (epoch < c->epoch || (epoch == c->epoch && !released))
		return;
	c->epoch = epoch;
	c->mine = mine && !released;
	c->released = released;
	c->dead = false;
	c->busy = false;
	c->heard_ms = now_ms;
	c->confirmed_ms = now_ms;
	c->check_after_ms = 0;
	c->vacant_since_ms = released ? now_ms : 0;
}

void election_caught_up(struct claim *c, int64_t now_ms)
{
	c->known = true;
	if (!c->epoch && !c->vacant_since_ms)
		c->vacant_since_ms = now_ms;
}

void election_owner_heard(struct claim *c, uint64_t epoch, int64_t now_ms)
{
	if (epoch < c->epoch || c->released)
		return;
	c->heard_ms = now_ms;
	c->dead = false;
	if (!c->mine)
		c->vacant_since_ms = 0;
}

void election_owner_dead(struct claim *c, uint64_t epoch, int64_t now_ms)
{
	if (epoch != c->epoch || c->mine || c->dead)
		return;
	c->dead = true;
	if (!c->vacant_since_ms)
		c->vacant_since_ms = now_ms;
}

void election_owner_checked(struct claim *c, bool writes, bool failed,
			    int64_t now_ms)
{
	c->busy = false;
	c->check_after_ms = now_ms + (failed ? LOOK_FAILED_MS : LOOK_PAUSE_MS);
	if (failed || writes)
		return;
	if (now_ms - c->heard_ms >= SILENT_MS && !c->vacant_since_ms)
		c->vacant_since_ms = now_ms;
}

void election_claim_refused(struct claim *c, int64_t now_ms)
{
	c->busy = false;
	if (c->vacant_since_ms)
		c->vacant_since_ms = now_ms + REFUSED_PAUSE_MS;
}

void election_node_reached_store(struct claim *c, int64_t now_ms)
{
	c->reached_ms = now_ms;
}

void election_owner_resigned(struct claim *c, uint64_t epoch, int64_t now_ms)
{
	if (epoch == c->epoch && !c->mine && !c->vacant_since_ms)
		c->vacant_since_ms = now_ms;
}

static enum election_action owner_tick(struct claim *c, int64_t now_ms,
				       const struct election_view *v)
{
	int64_t away_ms = now_ms - MAX(v->answered_ms, c->confirmed_ms);

	if (away_ms < (v->refused ? TURNED_AWAY_MS : UNANSWERED_MS))
		return ELECTION_NO_ACTION;
	if (now_ms - c->reached_ms < ASK_PAUSE_MS)
		return ELECTION_STEP_DOWN;
	if (now_ms - c->confirmed_ms >= UNPROVED_MS &&
	    (!v->peers || v->peers_reach_store))
		return ELECTION_STEP_DOWN;
	/* Down for all: nobody can claim, and what runs goes on. */
	if (!v->peers || now_ms < c->ask_after_ms)
		return ELECTION_NO_ACTION;
	c->ask_after_ms = now_ms + ASK_PAUSE_MS;
	return ELECTION_PROBE_NODES;
}

enum election_action election_tick(struct claim *c, int64_t now_ms,
				   const struct election_view *view)
{
	if (c->mine)
		return owner_tick(c, now_ms, view);
	if (!c->known || c->busy)
		return ELECTION_NO_ACTION;
	if (c->vacant_since_ms) {
		if (now_ms - c->vacant_since_ms < c->delay_ms)
			return ELECTION_NO_ACTION;
		c->busy = true;
		return ELECTION_WRITE_CLAIM;
	}
	if (now_ms - c->heard_ms < LOOK_AFTER_MS || now_ms < c->check_after_ms)
		return ELECTION_NO_ACTION;
	c->busy = true;
	return ELECTION_CHECK_OWNER;
}

bool election_should_yield(struct election_candidate own,
			   struct election_candidate other,
			   int64_t connected_ms)
{
	if (connected_ms < YIELD_KNOWN_MS)
		return false;
	if (other.cpu_share_milli >= own.cpu_share_milli * YIELD_STRONGER)
		return true;
	return other.cpu_share_milli >= own.cpu_share_milli &&
	       other.store_ms + YIELD_NEARER_MS <= own.store_ms;
}

int64_t election_former_owner_ms(void)
{
	return UNPROVED_MS + FORMER_SLACK_MS;
}

void election_stepped_down(struct claim *c, int64_t now_ms)
{
	c->mine = false;
	c->heard_ms = now_ms;
	c->busy = false;
	c->vacant_since_ms = 0;
}
