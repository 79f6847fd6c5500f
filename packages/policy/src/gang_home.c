#include "vh/gang.h"

/* Time that a confirmation is given to reach a rack before the holds there
 * expire. */
#define CONFIRM_MARGIN_MS 1000

void vh_gang_init(struct vh_gang *g, const struct vh_gang_ticket *ticket,
		  const struct vh_place_request *want, uint32_t tasks,
		  int64_t now_ms)
{
	*g = (struct vh_gang){ .ticket = *ticket,
			       .want = *want,
			       .tasks = tasks,
			       .next_ms = now_ms };
}

static struct vh_gang_rack *find_part(struct vh_gang *g, uint32_t rack)
{
	for (size_t i = 0; i < g->n_parts; i++) {
		if (g->parts[i].rack == rack)
			return &g->parts[i];
	}
	return NULL;
}

static struct vh_gang_rack *find_or_add_part(struct vh_gang *g, uint32_t rack)
{
	struct vh_gang_rack *p = find_part(g, rack);

	if (p || g->n_parts == VH_GANG_RACKS_MAX)
		return p;
	p = &g->parts[g->n_parts++];
	*p = (struct vh_gang_rack){ .rack = rack };
	return p;
}

void vh_gang_plan(struct vh_gang *g, const uint32_t *racks,
		  const uint32_t *room, size_t n)
{
	uint32_t missing = vh_gang_missing(g);

	if (g->state != VH_GANG_ACQUIRING)
		return;
	for (size_t i = 0; i < g->n_parts; i++) {
		g->parts[i].wanted = g->parts[i].held;
		g->parts[i].drain = 0;
	}
	for (size_t i = 0; i < n; i++) {
		struct vh_gang_rack *p = find_or_add_part(g, racks[i]);
		uint32_t most;

		if (!p)
			break;
		most = p->held + missing;
		p->wanted = room[i] < most ? room[i] : most;
	}
	for (size_t i = 0; i < g->n_parts && missing; i++) {
		struct vh_gang_rack *p = &g->parts[i];
		uint32_t more = p->wanted - p->held;

		p->drain = more < missing ? more : missing;
		missing -= p->drain;
	}
}

uint32_t vh_gang_missing(const struct vh_gang *g)
{
	uint32_t held = 0;

	for (size_t i = 0; i < g->n_parts; i++)
		held += g->parts[i].held;
	return held < g->tasks ? g->tasks - held : 0;
}

/* Keeps only the holds that the gang needs, on the racks with most of them. */
static void trim_surplus(struct vh_gang *g)
{
	uint32_t left = g->tasks;

	for (size_t i = 0; i < g->n_parts; i++) {
		size_t most = i;
		struct vh_gang_rack p;

		for (size_t j = i + 1; j < g->n_parts; j++) {
			if (g->parts[j].held > g->parts[most].held)
				most = j;
		}
		p = g->parts[most];
		g->parts[most] = g->parts[i];
		p.held = p.held < left ? p.held : left;
		p.wanted = p.held;
		left -= p.held;
		g->parts[i] = p;
	}
}

/* Drops holds that may expire at their rack before a confirmation arrives, and
 * racks from which no holds are wanted. */
static void expire_holds(struct vh_gang *g, int64_t now_ms)
{
	for (size_t i = 0; i < g->n_parts;) {
		struct vh_gang_rack *p = &g->parts[i];

		if (p->held && now_ms + CONFIRM_MARGIN_MS > p->held_until_ms)
			p->held = 0;
		if (!p->held && !p->wanted)
			*p = g->parts[--g->n_parts];
		else
			i++;
	}
}

void vh_gang_hold_reply(struct vh_gang *g, uint32_t rack, uint32_t held,
			int64_t asked_ms, int64_t now_ms)
{
	struct vh_gang_rack *p = find_part(g, rack);

	if (!p || g->state != VH_GANG_ACQUIRING)
		return;
	p->held = held < p->wanted ? held : p->wanted;
	p->held_until_ms = asked_ms + VH_GANG_HOLD_TTL_MS;
	vh_gang_tick(g, now_ms);
}

static bool all_confirmed(const struct vh_gang *g)
{
	for (size_t i = 0; i < g->n_parts; i++) {
		if (g->parts[i].held && !g->parts[i].confirmed)
			return false;
	}
	return true;
}

void vh_gang_confirm_reply(struct vh_gang *g, uint32_t rack, bool ok,
			   int64_t now_ms)
{
	struct vh_gang_rack *p = find_part(g, rack);

	if (!p || g->state != VH_GANG_CONFIRMING)
		return;
	if (!ok) {
		g->state = VH_GANG_FAILED;
		return;
	}
	p->confirmed = true;
	p->held_until_ms = now_ms + VH_GANG_HOLD_TTL_MS;
	if (all_confirmed(g))
		g->state = VH_GANG_STARTING;
}

static void restart_acquisition(struct vh_gang *g, int64_t now_ms)
{
	for (size_t i = 0; i < g->n_parts; i++) {
		g->parts[i].held = 0;
		g->parts[i].confirmed = false;
	}
	g->state = VH_GANG_ACQUIRING;
	g->next_ms = now_ms + VH_GANG_RETRY_MS;
}

enum vh_gang_state vh_gang_tick(struct vh_gang *g, int64_t now_ms)
{
	switch (g->state) {
	case VH_GANG_FAILED:
		restart_acquisition(g, now_ms);
		break;
	case VH_GANG_ACQUIRING:
		expire_holds(g, now_ms);
		if (!vh_gang_missing(g)) {
			trim_surplus(g);
			g->state = VH_GANG_CONFIRMING;
		} else if (now_ms >= g->next_ms) {
			g->next_ms = now_ms + VH_GANG_RETRY_MS;
		}
		break;
	case VH_GANG_CONFIRMING:
		for (size_t i = 0; i < g->n_parts; i++) {
			const struct vh_gang_rack *p = &g->parts[i];

			if (p->held && !p->confirmed &&
			    now_ms > p->held_until_ms)
				g->state = VH_GANG_FAILED;
		}
		break;
	case VH_GANG_STARTING:
		break;
	}
	return g->state;
}
