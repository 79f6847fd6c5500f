#include "eng_priv.h"

/*
 * Minimum shares of teams and classes at overload.
 *
 * Least work first would never reach wide jobs, nor a team with only such jobs.
 * So part of what is placed is due to each class and to each team that has
 * steps which can be in time: equally by class, by weight among the teams. What
 * it is short of is placed first, in the usual order of eng_order.c.
 */
/* Larger shares took more in time from urgent work than others gained; see the
 * design note. */
#define CLASS_SHARE 0.15 /* of the work placed, for all classes together */
#define TEAM_SHARE 0.2	 /* the same for all teams */
/* Bounds what a deficit or a surplus can grow to, so that either is made up for
 * within seconds; the work that the service can do in this time. */
#define DEFICIT_MS_MAX 3000

uint32_t eng_step_class(const struct step *s)
{
	return MIN(s->job->spec->priority, ENG_CLASSES - 1);
}

void eng_floor_placed(struct engine *e, const struct step *s)
{
	double work;

	if (!s->ranked)
		return;
	work = eng_step_work(s, 1);
	e->class_floors[eng_step_class(s)].placed += work;
	s->job->team->floor.placed += work;
}

static void settle(struct floor *f, double share, double placed)
{
	double max = share * DEFICIT_MS_MAX;

	f->deficit += share * placed - f->placed;
	f->deficit = f->waiting ? CLAMP(f->deficit, -max, max) : 0;
	f->left = MAX(f->deficit, 0);
	f->placed = 0;
}

static void clear_waiting(struct engine *e)
{
	GHashTableIter it;
	gpointer team;

	for (size_t i = 0; i < ENG_CLASSES; i++)
		e->class_floors[i].waiting = false;
	g_hash_table_iter_init(&it, e->teams);
	while (g_hash_table_iter_next(&it, NULL, &team))
		((struct team *)team)->floor.waiting = false;
}

/* What waits and could be in time, by class and team. */
struct claims {
	unsigned int classes;
	unsigned int unweighted; /* teams without a weight */
	unsigned int weighted;
	double weight; /* sum of those that have one */
};

static void add_claim(struct engine *e, const struct step *s, struct claims *c)
{
	struct floor *class = &e->class_floors[eng_step_class(s)];
	struct team *t = s->job->team;

	c->classes += !class->waiting;
	class->waiting = true;
	if (t->floor.waiting)
		return;
	t->floor.waiting = true;
	c->weighted += t->weight > 0;
	c->unweighted += t->weight <= 0;
	c->weight += MAX(t->weight, 0);
}

static bool has_claim(const struct engine *e, const struct step *s)
{
	return s->ranked && s->tier == TIER_IN_TIME &&
	       s->latest_start_ms >= e->now_ms;
}

/* A team without a weight counts as the mean of the others. */
static double team_share(const struct team *t, const struct claims *c)
{
	double mean = c->weighted ? c->weight / c->weighted : 1;
	double sum = c->weight + mean * c->unweighted;

	return sum > 0 ? TEAM_SHARE * (t->weight > 0 ? t->weight : mean) / sum
		       : 0;
}

void eng_floors_begin(struct engine *e, const GPtrArray *steps)
{
	struct claims c = { 0 };
	double placed = 0;
	GHashTableIter it;
	gpointer team;

	clear_waiting(e);
	for (guint i = 0; i < steps->len; i++) {
		if (has_claim(e, steps->pdata[i]))
			add_claim(e, steps->pdata[i], &c);
	}
	for (size_t i = 0; i < ENG_CLASSES; i++)
		placed += e->class_floors[i].placed;
	for (size_t i = 0; i < ENG_CLASSES; i++)
		settle(&e->class_floors[i], CLASS_SHARE / MAX(c.classes, 1),
		       placed);
	g_hash_table_iter_init(&it, e->teams);
	while (g_hash_table_iter_next(&it, NULL, &team))
		settle(&((struct team *)team)->floor, team_share(team, &c),
		       placed);
}

bool eng_floor_take(struct engine *e, struct step *s)
{
	struct floor *class = &e->class_floors[eng_step_class(s)];
	struct floor *team = &s->job->team->floor;
	double work;

	if (!has_claim(e, s) || (class->left <= 0 && team->left <= 0))
		return false;
	work = eng_step_work(s, s->n_waiting);
	class->left -= work;
	team->left -= work;
	return true;
}
