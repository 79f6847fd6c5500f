#include "eng_priv.h"

/*
 * Index of the workers by their free resources, so that a search costs the
 * workers that have room and not all workers.
 *
 * There is one tree per service, and one per service and label that steps
 * require. A leaf holds what is free on one worker, an inner node the largest
 * amount of each resource below it, so a search passes over a full part of the
 * cell at its root. A search finds all workers with room, in the order of
 * their positions; the caller decides among them.
 *
 * A worker that a search finds not usable is left out until begin_pass finds it
 * usable again, since that depends on the time too.
 */
#define LABELS_MAX 16 /* trees for labels; further labels use the service's */
#define LEAVES_MIN 64 /* of a tree; doubled as workers are added */
#define ABSENT INT32_MIN /* no amount, not even zero, is free */

/* Free amounts, or the least amounts to search for. */
struct room {
	int32_t cpu_milli;
	int32_t mem_mb;
	int32_t gpu;
	int32_t nearness; /* 0, or less by one for each latency bucket */
};

/**
 * struct room_index - workers of one service
 * @label: the workers have this label; NULL: all of the service
 * @n_leaves: a power of two
 * @nodes: the root at 1, the children of i at 2 i and 2 i + 1
 */
struct room_index {
	const char *service;
	char *label;
	guint n_leaves;
	struct room *nodes;
};

static const struct room no_room = { ABSENT, ABSENT, ABSENT, ABSENT };

void eng_set_add(struct worker_set *set, guint position)
{
	guint word = position / 64;

	if (word >= set->n_words) {
		set->words = g_renew(uint64_t, set->words, word + 1);
		memset(set->words + set->n_words, 0,
		       (word + 1 - set->n_words) * sizeof(*set->words));
		set->n_words = word + 1;
	}
	set->words[word] |= UINT64_C(1) << position % 64;
}

bool eng_set_contains(const struct worker_set *set, guint position)
{
	guint word = position / 64;

	return word < set->n_words &&
	       set->words[word] & UINT64_C(1) << position % 64;
}

static int32_t clamp_amount(int64_t amount)
{
	return (int32_t)CLAMP(amount, ABSENT + 1, INT32_MAX);
}

static bool has_room(const struct room *r, const struct room *need)
{
	return r->cpu_milli >= need->cpu_milli && r->mem_mb >= need->mem_mb &&
	       r->gpu >= need->gpu && r->nearness >= need->nearness;
}

static bool same_room(const struct room *a, const struct room *b)
{
	return a->cpu_milli == b->cpu_milli && a->mem_mb == b->mem_mb &&
	       a->gpu == b->gpu && a->nearness == b->nearness;
}

static struct room larger_of(const struct room *a, const struct room *b)
{
	return (struct room){ MAX(a->cpu_milli, b->cpu_milli),
			      MAX(a->mem_mb, b->mem_mb), MAX(a->gpu, b->gpu),
			      MAX(a->nearness, b->nearness) };
}

static struct room room_on(const struct room_index *x, const struct worker *w)
{
	struct eng_resources free = eng_free_resources(w);

	if (!w->listed || w->hidden || w->service != x->service ||
	    (x->label && !eng_worker_has_label(w, vh_slice_str(x->label))))
		return no_room;
	return (struct room){ clamp_amount(free.cpu_milli),
			      clamp_amount(free.mem_mb), clamp_amount(free.gpu),
			      -eng_latency_bucket(w->start_latency_ms) };
}

/* What a step needs; an amount of zero also fits where nothing is free. */
static struct room room_needed(const struct step *s)
{
	const struct eng_resources *need = &s->spec->need;

	return (struct room){
		s->spec->filler ? ABSENT + 1 : clamp_amount(need->cpu_milli),
		need->mem_mb > 0 ? clamp_amount(need->mem_mb) : ABSENT + 1,
		need->gpu > 0 ? clamp_amount(need->gpu) : ABSENT + 1, ABSENT + 1
	};
}

static void set_leaf(struct engine *e, struct room_index *x, guint index,
		     struct room r)
{
	guint i = x->n_leaves + index;

	if (same_room(&x->nodes[i], &r))
		return;
	if (!has_room(&x->nodes[i], &r))
		eng_set_add(&e->grown, index);
	x->nodes[i] = r;
	while (i /= 2) {
		r = larger_of(&x->nodes[2 * i], &x->nodes[2 * i + 1]);
		if (same_room(&x->nodes[i], &r))
			return;
		x->nodes[i] = r;
	}
}

static void fill_index(struct engine *e, struct room_index *x)
{
	x->n_leaves = LEAVES_MIN;
	while (x->n_leaves < e->worker_list->len)
		x->n_leaves *= 2;
	g_free(x->nodes);
	x->nodes = g_new(struct room, 2 * (gsize)x->n_leaves);
	for (guint i = 0; i < 2 * x->n_leaves; i++)
		x->nodes[i] = no_room;
	for (guint i = 0; i < e->worker_list->len; i++)
		set_leaf(e, x, i, room_on(x, e->worker_list->pdata[i]));
}

void eng_index_update(struct engine *e, const struct worker *w)
{
	for (guint i = 0; i < e->room_indexes->len; i++) {
		struct room_index *x = e->room_indexes->pdata[i];

		if (w->index >= x->n_leaves)
			fill_index(e, x);
		else if (x->service == w->service)
			set_leaf(e, x, w->index, room_on(x, w));
	}
}

void eng_index_relist(struct engine *e, struct worker *w)
{
	bool counted = w->listed && !w->zone_drained;
	int64_t cpu = counted ? w->capacity.cpu_milli : 0;

	e->cpu_capacity += cpu - w->counted_cpu;
	w->counted_cpu = cpu;
	for (guint i = 0; i < e->room_indexes->len; i++) {
		struct room_index *x = e->room_indexes->pdata[i];

		if (w->index >= x->n_leaves)
			fill_index(e, x);
		else
			set_leaf(e, x, w->index, room_on(x, w));
	}
}

void eng_index_free(gpointer p)
{
	struct room_index *x = p;

	g_free(x->label);
	g_free(x->nodes);
	g_free(x);
}

static struct room_index *find_index(struct engine *e, const struct step *s,
				     bool with_label, guint *n_labels)
{
	*n_labels = 0;
	for (guint i = 0; i < e->room_indexes->len; i++) {
		struct room_index *x = e->room_indexes->pdata[i];

		*n_labels += x->label != NULL;
		if (x->service != s->job->service ||
		    (x->label != NULL) != with_label)
			continue;
		if (!with_label || vh_slice_eq_str(s->spec->label, x->label))
			return x;
	}
	return NULL;
}

/* Indexes are never freed, so that a step may keep a reference. */
static const struct room_index *index_for(struct engine *e, struct step *s)
{
	bool with_label = s->spec->label.len > 0;
	guint n_labels;
	struct room_index *x;

	if (s->rooms)
		return s->rooms;
	x = find_index(e, s, with_label, &n_labels);
	if (!x && with_label && n_labels >= LABELS_MAX) {
		with_label = false;
		x = find_index(e, s, false, &n_labels);
	}
	if (!x) {
		x = g_new0(struct room_index, 1);
		x->service = s->job->service;
		x->label = with_label ? vh_slice_dup(s->spec->label) : NULL;
		fill_index(e, x);
		g_ptr_array_add(e->room_indexes, x);
	}
	s->rooms = x;
	return x;
}

bool eng_index_usable(struct engine *e, struct worker *w)
{
	if (eng_worker_usable(e, w))
		return true;
	if (w->hidden)
		return false;
	w->hidden = true;
	g_ptr_array_add(e->hidden_workers, w);
	eng_index_update(e, w);
	return false;
}

static bool fits(struct engine *e, const struct room_index *x, guint index,
		 const struct room *need)
{
	e->stats.workers_examined++;
	return has_room(&x->nodes[x->n_leaves + index], need);
}

/* Keeps the open workers that still have room and have not grown. */
static void keep_open(struct engine *e, struct step *s,
		      const struct room_index *x, const struct room *need)
{
	guint n = 0;

	for (guint i = 0; i < s->open->len; i++) {
		struct approval a = g_array_index(s->open, struct approval, i);

		if (eng_set_contains(&e->grown_before_pass, a.w->index) ||
		    !fits(e, x, a.w->index, need))
			continue;
		g_array_index(s->open, struct approval, n++) = a;
	}
	g_array_set_size(s->open, n);
}

static void open_if_room(struct engine *e, struct step *s,
			 const struct room_index *x, const struct room *need,
			 guint index)
{
	struct approval a = { e->worker_list->pdata[index], NULL };

	if (!fits(e, x, index, need))
		return;
	a.advice = eng_advice_find(s, a.w);
	g_array_append_val(s->open, a);
}

static void open_all(struct engine *e, struct step *s,
		     const struct room_index *x, const struct room *need)
{
	g_array_set_size(s->open, 0);
	for (guint i = 0; i < s->approved->len; i++) {
		struct approval a =
			g_array_index(s->approved, struct approval, i);

		if (fits(e, x, a.w->index, need))
			g_array_append_val(s->open, a);
	}
}

void eng_step_examine(struct engine *e, struct step *s)
{
	/* A pass that left the step out did not see what grew before it. */
	bool current = s->examined_pass && s->examined_pass + 1 >= e->pass;
	const struct room_index *x;
	struct room need;
	guint n = MIN(s->approved_set.n_words, e->grown_before_pass.n_words);

	s->examined_pass = e->pass;
	if (!s->approved->len)
		return;
	x = index_for(e, s);
	need = room_needed(s);
	if (!current) {
		open_all(e, s, x, &need);
		return;
	}
	keep_open(e, s, x, &need);
	for (guint i = 0; i < n; i++) {
		uint64_t grown = s->approved_set.words[i] &
				 e->grown_before_pass.words[i];

		for (; grown; grown &= grown - 1)
			open_if_room(e, s, x, &need,
				     i * 64 + (guint)__builtin_ctzll(grown));
	}
}

/* Workers that are no longer listed come back by eng_index_relist(). */
static void recheck_hidden(struct engine *e)
{
	guint i = 0;

	while (i < e->hidden_workers->len) {
		struct worker *w = e->hidden_workers->pdata[i];

		e->stats.workers_examined++;
		if (w->listed && !eng_worker_usable(e, w)) {
			i++;
			continue;
		}
		w->hidden = false;
		g_ptr_array_remove_index_fast(e->hidden_workers, i);
		eng_index_update(e, w);
	}
}

void eng_index_begin_pass(struct engine *e)
{
	struct worker_set before = e->grown_before_pass;

	recheck_hidden(e);
	e->grown_before_pass = e->grown;
	e->grown = before;
	if (e->grown.n_words)
		memset(e->grown.words, 0,
		       e->grown.n_words * sizeof(*e->grown.words));
}

guint eng_part_workers(const struct engine *e)
{
	return MAX(PART_WORKERS, e->worker_list->len / ENG_PARTS_MAX + 1);
}

uint64_t eng_part_key(const struct step *s, uint64_t part)
{
	uint64_t x = (s->job->id ^ s->number) + part * ORDER_MULTIPLIER;

	x ^= x >> 32;
	x *= ORDER_MULTIPLIER;
	return x & ~UINT64_C(0xffffffff);
}

static void order_parts(struct room_scan *scan, guint n_workers)
{
	scan->n_parts =
		(n_workers + scan->part_workers - 1) / scan->part_workers;
	for (guint i = 0; i < scan->n_parts; i++) {
		uint64_t key = eng_part_key(scan->step, i);
		guint at = i;

		for (;
		     at && key < eng_part_key(scan->step, scan->parts[at - 1]);
		     at--)
			scan->parts[at] = scan->parts[at - 1];
		scan->parts[at] = (uint16_t)i;
	}
}

void eng_scan_begin(struct engine *e, struct step *s, struct room_scan *scan)
{
	scan->engine = e;
	scan->step = s;
	scan->part_workers = eng_part_workers(e);
	scan->part = 0;
	scan->position = 0;
	scan->end = 0;
	scan->bucket = -1;
	order_parts(scan, e->worker_list->len);
}

void eng_scan_restart(struct room_scan *scan, int bucket)
{
	scan->part = 0;
	scan->position = 0;
	scan->end = 0;
	scan->bucket = bucket;
}

bool eng_scan_next_part(struct room_scan *scan)
{
	if (scan->part == scan->n_parts)
		return false;
	scan->position = scan->parts[scan->part++] * scan->part_workers;
	scan->end = MIN(scan->position + scan->part_workers,
			scan->engine->worker_list->len);
	return true;
}

/* The first leaf from position @from on that has room; G_MAXUINT: none. */
static guint next_leaf(const struct room_index *x, guint from,
		       const struct room *need)
{
	guint i = x->n_leaves + from;

	while (!has_room(&x->nodes[i], need) || i < x->n_leaves) {
		if (has_room(&x->nodes[i], need)) {
			i *= 2;
			continue;
		}
		while (i & 1)
			i /= 2;
		if (!i)
			return G_MAXUINT;
		i++;
	}
	return i - x->n_leaves;
}

struct worker *eng_scan_next(struct room_scan *scan)
{
	struct engine *e = scan->engine;
	const struct room_index *x = index_for(e, scan->step);
	struct room need = room_needed(scan->step);

	if (scan->bucket >= 0)
		need.nearness = -scan->bucket;
	while (scan->position < scan->end) {
		guint at = next_leaf(x, scan->position, &need);
		struct worker *w;

		scan->position = MIN(at, scan->end - 1) + 1;
		if (at >= scan->end)
			return NULL;
		w = e->worker_list->pdata[at];
		e->stats.workers_examined++;
		if (scan->bucket > 0 &&
		    eng_latency_bucket(w->start_latency_ms) < scan->bucket)
			continue; /* found in a nearer bucket */
		if (eng_index_usable(e, w) && eng_worker_matches(scan->step, w))
			return w;
	}
	return NULL;
}

struct worker *eng_scan_next_listed(struct room_scan *scan)
{
	while (scan->position < scan->end) {
		struct worker *w =
			scan->engine->worker_list->pdata[scan->position++];

		scan->engine->stats.workers_examined++;
		if (w->listed && !w->zone_drained &&
		    eng_worker_matches(scan->step, w))
			return w;
	}
	return NULL;
}
