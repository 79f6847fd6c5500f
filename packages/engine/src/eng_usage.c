#include "eng_priv.h"

#include <math.h>
#include <msgpack.h>

/*
 * Past use of teams, which delays the steps of teams that used much.
 *
 * A team is charged for the resources that its tasks hold, from assignment to
 * release. The charge decays with a half-life that the settings give, 0: off.
 * Within a tier and a priority, steps are ordered by a latest start that is
 * shifted by a part of what the step can still wait. The part grows with the
 * logarithm of the team's past use relative to its weight, in levels of one
 * octave, so that teams of about equal past use keep the order without it. See
 * docs/design/past-use.md.
 */
#define MS_PER_S 1000.0
#define REFRESH_INTERVAL_MS 1000 /* between two refreshes of the levels */
#define LEVEL_MEAN 2		 /* level of a team with the mean past use */
#define LEVEL_MAX 4		 /* four times the mean, or more */
#define LEVEL_HYSTERESIS 0.25	 /* octaves beyond a level's bounds */
#define DELAY_PER_LEVEL 0.125	 /* part of the time that a step can wait */
#define PRIOR_SHARE (1.0 / 32)	 /* of the past use of a cell that is full */
#define ACTIVE_SHARE 0.001	 /* of all past use, to count in the mean */
#define WEIGHT_MIN 1e-9
#define WEIGHT_MAX 1e9
#define RECORD_FORMAT 1	    /* version of a learned record */
#define RECORD_TEAM_MAX 250 /* bytes; the store's keys have at most 255 */
#define RECORD_FIELDS 4	    /* elements of a learned record */
#define AMOUNT_MAX 1e18	    /* larger amounts are taken for errors */
#define SPARE_MAX_MS INT64_C(86400000) /* keeps the arithmetic in range */

/* A step that can wait for less than this has no time to give away: storing
 * and sending a start takes up to so long (STORE_LATENCY_MAX_MS). */
#define SPARE_MIN_MS 600

/* A record is written again once the past use differs from it by more than
 * this. It bounds what a lost owner loses; log2(1.05) is 0.07 octaves, well
 * below LEVEL_HYSTERESIS. */
#define RECORD_CHANGE_MIN 0.05

static bool enabled(const struct engine *e)
{
	return e->settings.past_use_half_life_ms > 0;
}

static void add_decayed(double *to, int64_t held, double lost, double held_s)
{
	*to += *to * lost + (double)held * held_s;
}

void eng_usage_charge(struct engine *e, struct team *t)
{
	struct team_usage *u = &t->usage;
	double half_life_s =
		(double)e->settings.past_use_half_life_ms / MS_PER_S;
	int64_t elapsed_ms = e->now_ms - u->charged_ms;
	double lost; /* change by decay, -1 to 0 */
	double held_s;

	/* A clock that runs backwards is waited for: no time counts twice. */
	if (!enabled(e) || elapsed_ms <= 0)
		return;
	u->charged_ms = e->now_ms;
	lost = expm1(-G_LN2 * (double)elapsed_ms / MS_PER_S / half_life_s);
	held_s = -lost * half_life_s / G_LN2;
	add_decayed(&u->held.cpu_milli, t->used.cpu_milli, lost, held_s);
	add_decayed(&u->held.mem_mb, t->used.mem_mb, lost, held_s);
	add_decayed(&u->held.gpu, t->used.gpu, lost, held_s);
}

static double part(double amount, int64_t capacity)
{
	return capacity > 0 ? amount / (double)capacity : 0;
}

/* Seconds for which the whole cell would have to be held for the same use of
 * the resource that is used most. */
static double dominant_s(const struct engine *e,
			 const struct resource_seconds *r)
{
	const struct eng_resources *c = &e->usage.capacity;
	double most = part(r->cpu_milli, c->cpu_milli);

	most = MAX(most, part(r->mem_mb, c->mem_mb));
	return MAX(most, part(r->gpu, c->gpu));
}

/* Weights beyond these bounds are taken for errors, and like no weight. */
static bool has_weight(const struct team *t)
{
	return t->weight >= WEIGHT_MIN && t->weight <= WEIGHT_MAX;
}

static double team_weight(const struct engine *e, const struct team *t)
{
	return has_weight(t) ? t->weight : e->usage.mean_weight;
}

static void sum_capacity(struct engine *e)
{
	struct eng_resources sum = { 0 };

	for (guint i = 0; i < e->worker_list->len; i++) {
		const struct worker *w = e->worker_list->pdata[i];

		if (!w->listed)
			continue;
		sum.cpu_milli += w->capacity.cpu_milli;
		sum.mem_mb += w->capacity.mem_mb;
		sum.gpu += w->capacity.gpu;
	}
	e->usage.capacity = sum;
}

static void set_mean_weight(struct engine *e)
{
	GHashTableIter it;
	gpointer p;
	double sum = 0;
	size_t n = 0;

	g_hash_table_iter_init(&it, e->teams);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct team *t = p;

		if (!has_weight(t))
			continue;
		sum += t->weight;
		n++;
	}
	e->usage.mean_weight = n ? sum / (double)n : 1;
}

static void charge_teams(struct engine *e)
{
	GHashTableIter it;
	gpointer p;

	e->usage.total_s = 0;
	g_hash_table_iter_init(&it, e->teams);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct team *t = p;

		eng_usage_charge(e, t);
		t->usage.past_use_s = dominant_s(e, &t->usage.held);
		e->usage.total_s += t->usage.past_use_s;
	}
}

/*
 * The mean past use by weight, of the teams that used the cell. Teams that did
 * not would pull the mean so low that all others reach the highest level.
 */
static void set_mean(struct engine *e)
{
	double full_s =
		(double)e->settings.past_use_half_life_ms / MS_PER_S / G_LN2;
	GHashTableIter it;
	gpointer p;
	double use_s = 0;
	double weight = 0;

	g_hash_table_iter_init(&it, e->teams);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct team *t = p;

		if (t->usage.past_use_s <= ACTIVE_SHARE * e->usage.total_s)
			continue;
		use_s += t->usage.past_use_s;
		weight += team_weight(e, t);
	}
	e->usage.active_weight = weight > 0 ? weight : e->usage.mean_weight;
	e->usage.mean_s = use_s / e->usage.active_weight;
	/* Added to each team's past use: as long as all used little, their
	 * ratios are noise. */
	e->usage.prior_s = PRIOR_SHARE * full_s / e->usage.active_weight;
}

static struct eng_team_usage team_status(const struct engine *e,
					 const struct team *t)
{
	const struct team_usage *u = &t->usage;
	struct eng_team_usage out = {
		.team = eng_str(t->name),
		.past_use_s = u->past_use_s,
		.delay = DELAY_PER_LEVEL * u->level,
	};

	if (e->usage.total_s > 0)
		out.share = u->past_use_s / e->usage.total_s;
	if (e->usage.active_weight > 0)
		out.due_share =
			MIN(team_weight(e, t) / e->usage.active_weight, 1);
	return out;
}

static void report_level(struct engine *e, const struct team *t, bool rises)
{
	struct eng_team_usage s = team_status(e, t);

	if (e->callbacks.usage_event)
		e->callbacks.usage_event(e->callbacks.ctx,
					 rises ? "past use delays team more"
					       : "past use delays team less",
					 &s);
}

static void set_level(struct engine *e, struct team *t)
{
	struct team_usage *u = &t->usage;
	double mean_s = e->usage.mean_s + e->usage.prior_s;
	double use_s = u->past_use_s / team_weight(e, t) + e->usage.prior_s;
	double at = CLAMP(LEVEL_MEAN + log2(use_s / mean_s), 0, LEVEL_MAX);
	int before = u->level;
	bool first = !u->ranked;

	if (!first && fabs(at - before) <= 0.5 + LEVEL_HYSTERESIS)
		return;
	u->ranked = true;
	u->level = (int)lround(at);
	if (!first)
		report_level(e, t, u->level > before);
}

void eng_usage_refresh(struct engine *e)
{
	int64_t elapsed_ms = e->now_ms - e->usage.refreshed_ms;
	GHashTableIter it;
	gpointer p;

	if (!enabled(e) || !e->ready)
		return;
	if (e->usage.refreshed_ms && elapsed_ms >= 0 &&
	    elapsed_ms < REFRESH_INTERVAL_MS)
		return;
	e->usage.refreshed_ms = e->now_ms;
	sum_capacity(e);
	set_mean_weight(e);
	charge_teams(e);
	set_mean(e);
	g_hash_table_iter_init(&it, e->teams);
	while (g_hash_table_iter_next(&it, NULL, &p))
		set_level(e, p);
}

static guint priority_slot(const struct step *s)
{
	return MIN(s->job->spec->priority, USAGE_PRIORITIES - 1);
}

void eng_usage_begin_pass(struct engine *e)
{
	struct usage *u = &e->usage;

	if (!enabled(e))
		return;
	u->ahead.team = NULL;
	memset(u->longest_ms, 0, sizeof(u->longest_ms));
	for (guint i = 0; i < e->runnable_steps->len; i++) {
		const struct step *s = e->runnable_steps->pdata[i];
		int64_t *longest = &u->longest_ms[priority_slot(s)];

		if (!s->spec->service)
			*longest = MAX(*longest, s->spec->estimate_ms);
	}
}

/*
 * The shift is a fixed part of the time to wait, so that the order is total,
 * steps of teams of one level keep their order, and the shift ends by itself as
 * the latest start comes near. A step that goes first may hold its room for
 * the longest run of its priority; that time is not given away.
 */
int64_t eng_usage_start_ms(const struct engine *e, const struct step *s,
			   bool late)
{
	int level = s->job->team->usage.level;
	double delay = DELAY_PER_LEVEL * level;
	int64_t slack = s->latest_start_ms - e->now_ms;
	int64_t spare;

	if (!level || !enabled(e))
		return s->latest_start_ms;
	if (late && slack < 0)
		return e->now_ms + (int64_t)((double)slack / (1 + delay));
	spare = slack - SPARE_MIN_MS - e->usage.longest_ms[priority_slot(s)];
	if (spare <= 0)
		return s->latest_start_ms;
	return s->latest_start_ms +
	       (int64_t)(delay * (double)MIN(spare, SPARE_MAX_MS));
}

static void report_wait(struct engine *e, struct step *s)
{
	const struct usage_ahead *a = &e->usage.ahead;
	struct eng_usage_wait wait = {
		.own = team_status(e, s->job->team),
		.ahead = team_status(e, a->team),
		.ahead_job = a->job,
		.shift_ms = s->order_ms - s->latest_start_ms,
	};

	eng_report_usage_wait(e, s, &wait);
}

static bool in_group(const struct usage_ahead *a, const struct step *s)
{
	return a->team && a->tier == s->tier &&
	       a->priority == s->job->spec->priority;
}

/* Whether a step of another team, which could start later, was placed first. */
static bool stands_behind(const struct usage_ahead *a, const struct step *s)
{
	return in_group(a, s) && a->team != s->job->team &&
	       a->latest_start_ms > s->latest_start_ms;
}

void eng_usage_passed(struct engine *e, struct step *s)
{
	struct usage_ahead *a = &e->usage.ahead;
	int level = s->job->team->usage.level;

	if (!enabled(e))
		return;
	if (s->n_waiting && s->usage_level_reported != level &&
	    stands_behind(a, s)) {
		s->usage_level_reported = level;
		report_wait(e, s);
	}
	if (in_group(a, s) && a->latest_start_ms >= s->latest_start_ms)
		return;
	a->tier = s->tier;
	a->priority = s->job->spec->priority;
	a->latest_start_ms = s->latest_start_ms;
	a->job = s->job->id;
	a->team = s->job->team;
}

size_t eng_team_usages(const struct engine *e, struct eng_team_usage *out,
		       size_t max)
{
	GHashTableIter it;
	gpointer p;
	size_t n = 0;

	if (!enabled(e))
		return 0;
	g_hash_table_iter_init(&it, e->teams);
	while (n < max && g_hash_table_iter_next(&it, NULL, &p))
		out[n++] = team_status(e, p);
	return n;
}

/* Learned records: an array of the format and the amounts. */

static bool has_changed(const struct engine *e, const struct team *t)
{
	double written_s = dominant_s(e, &t->usage.written);
	double change_s = fabs(dominant_s(e, &t->usage.held) - written_s);
	double mean_s =
		(e->usage.mean_s + e->usage.prior_s) * team_weight(e, t);

	return change_s > RECORD_CHANGE_MIN * MAX(written_s, mean_s);
}

static void pack_team(struct team *t, struct vh_buf *out)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, RECORD_FIELDS);
	msgpack_pack_int(&pk, RECORD_FORMAT);
	msgpack_pack_double(&pk, t->usage.held.cpu_milli);
	msgpack_pack_double(&pk, t->usage.held.mem_mb);
	msgpack_pack_double(&pk, t->usage.held.gpu);
	vh_buf_add(out, sb.data, sb.size);
	msgpack_sbuffer_destroy(&sb);
	t->usage.written = t->usage.held;
}

void eng_usage_pack(struct engine *e, GArray *records)
{
	GHashTableIter it;
	gpointer p;

	if (!enabled(e) || !e->usage.refreshed_ms)
		return;
	g_hash_table_iter_init(&it, e->teams);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct team *t = p;

		eng_usage_charge(e, t);
		if (strlen(t->name) <= RECORD_TEAM_MAX && has_changed(e, t))
			pack_team(t,
				  eng_learned_add(records, USAGE_RECORD_PREFIX,
						  eng_str(t->name)));
	}
}

static bool get_amount(const msgpack_object *o, double *out)
{
	if (o->type != MSGPACK_OBJECT_FLOAT64 || !isfinite(o->via.f64) ||
	    o->via.f64 < 0 || o->via.f64 > AMOUNT_MAX)
		return false;
	*out = o->via.f64;
	return true;
}

static bool unpack_amounts(const msgpack_object *o, struct resource_seconds *r)
{
	const msgpack_object *p;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != RECORD_FIELDS)
		return false;
	p = o->via.array.ptr;
	return p[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	       p[0].via.u64 == RECORD_FORMAT &&
	       get_amount(&p[1], &r->cpu_milli) &&
	       get_amount(&p[2], &r->mem_mb) && get_amount(&p[3], &r->gpu);
}

static bool unpack_record(struct vh_slice bytes, struct resource_seconds *r)
{
	msgpack_unpacked u;
	size_t off = 0;
	bool ok;

	msgpack_unpacked_init(&u);
	ok = msgpack_unpack_next(&u, bytes.data, bytes.len, &off) ==
		     MSGPACK_UNPACK_SUCCESS &&
	     off == bytes.len && unpack_amounts(&u.data, r);
	msgpack_unpacked_destroy(&u);
	return ok;
}

bool eng_usage_restore(struct engine *e, struct vh_slice team,
		       struct vh_slice bytes)
{
	struct resource_seconds r = { 0 };

	if (team.len > RECORD_TEAM_MAX || !unpack_record(bytes, &r))
		return false;
	/* Kept apart until recovery is done, since the topic may pass several
	 * records of one team: the last one counts. */
	if (enabled(e))
		eng_team_get(e, team)->usage.inherited = r;
	return true;
}

void eng_usage_recovered(struct engine *e)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, e->teams);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct team_usage *u = &((struct team *)p)->usage;

		eng_usage_charge(e, p);
		u->held.cpu_milli += u->inherited.cpu_milli;
		u->held.mem_mb += u->inherited.mem_mb;
		u->held.gpu += u->inherited.gpu;
		u->written = u->inherited;
	}
	eng_usage_refresh(e);
}
