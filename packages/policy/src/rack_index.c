#include "vh/rack_index.h"

#include <glib.h>

#define WORD_BITS 64
#define LEVELS 64	  /* a level is four codes, half a power of two */
#define SAMPLE_PER_PICK 4 /* racks compared for each that is returned */
#define SAMPLE_MAX (SAMPLE_PER_PICK * VH_PICK_MAX)
#define TIGHT_LEVELS 3 /* tight: has less than 2 to 3 times what is wanted */

/* Longest that a task waits for its own region. */
#define PATIENCE_MAX_MS 600000

enum plane {
	PLANE_FREE,
	PLANE_PREEMPT,
	PLANE_CAPACITY,
	PLANE_COUNT
};

struct rack_entry {
	struct vh_rack_summary summary;
	bool known;
	uint8_t region;
	uint16_t asked;
	uint32_t zone;
};

struct vh_rack_bitmaps {
	size_t max_racks;
	size_t n_words;
	struct rack_entry *racks;
	uint64_t *region[VH_REGIONS_MAX];
	uint64_t *bits[PLANE_COUNT][VH_SUMMARY_DIMS][LEVELS];
	uint64_t *words; /* all planes and regions, one allocation */
	size_t words_len;
};

/** struct scan - one search through the planes */
struct scan {
	const struct vh_rack_bitmaps *index;
	const struct vh_pick_request *want;
	uint8_t code[VH_DIMS];
	uint32_t found[SAMPLE_MAX];
	unsigned int n;
	unsigned int max;
	uint32_t examined;
};

/** struct filter - which racks one pass of a search looks at */
struct filter {
	enum plane plane;
	bool other_regions;
	bool no_accels; /* only racks without free accelerators */
	bool tight;
};

static unsigned int level(uint8_t code)
{
	return code >> 2;
}

static uint64_t mix(uint64_t x)
{
	x += UINT64_C(0x9e3779b97f4a7c15);
	x = (x ^ x >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ x >> 27) * UINT64_C(0x94d049bb133111eb);
	return x ^ x >> 31;
}

void vh_rack_index_init(struct vh_rack_index *c, size_t max_racks)
{
	struct vh_rack_bitmaps *x = g_new0(struct vh_rack_bitmaps, 1);
	uint64_t *next;

	x->max_racks = max_racks;
	x->n_words = (max_racks + WORD_BITS - 1) / WORD_BITS;
	x->words_len = x->n_words * (VH_REGIONS_MAX +
				     PLANE_COUNT * VH_SUMMARY_DIMS * LEVELS);
	x->racks = g_new0(struct rack_entry, max_racks);
	x->words = g_new0(uint64_t, x->words_len);
	next = x->words;
	for (int r = 0; r < VH_REGIONS_MAX; r++, next += x->n_words)
		x->region[r] = next;
	for (int p = 0; p < PLANE_COUNT; p++) {
		for (int d = 0; d < VH_SUMMARY_DIMS; d++) {
			for (int l = 0; l < LEVELS; l++, next += x->n_words)
				x->bits[p][d][l] = next;
		}
	}
	c->index = x;
}

void vh_rack_index_finish(struct vh_rack_index *c)
{
	g_free(c->index->racks);
	g_free(c->index->words);
	g_free(c->index);
	c->index = NULL;
}

size_t vh_rack_index_bytes(const struct vh_rack_index *c)
{
	return sizeof(*c->index) +
	       c->index->max_racks * sizeof(struct rack_entry) +
	       c->index->words_len * sizeof(uint64_t);
}

static const uint8_t *plane_codes(const struct vh_rack_summary *s,
				  enum plane plane)
{
	switch (plane) {
	case PLANE_FREE:
		return s->max_free;
	case PLANE_PREEMPT:
		return s->max_preemptible;
	default:
		return s->max_capacity;
	}
}

/* Sets or clears the rack's bit in every level up to its own. */
static void mark(struct vh_rack_bitmaps *x, uint32_t rack, bool on)
{
	const struct rack_entry *e = &x->racks[rack];
	uint64_t bit = UINT64_C(1) << rack % WORD_BITS;
	size_t word = rack / WORD_BITS;

	for (int p = 0; p < PLANE_COUNT; p++) {
		const uint8_t *codes = plane_codes(&e->summary, (enum plane)p);

		if (p != PLANE_CAPACITY && !e->summary.usable)
			continue;
		for (int d = 0; d < VH_SUMMARY_DIMS; d++) {
			for (unsigned int l = 0; l <= level(codes[d]); l++) {
				if (on)
					x->bits[p][d][l][word] |= bit;
				else
					x->bits[p][d][l][word] &= ~bit;
			}
		}
	}
	if (on)
		x->region[e->region][word] |= bit;
	else
		x->region[e->region][word] &= ~bit;
}

void vh_rack_index_update(struct vh_rack_index *c, uint32_t rack,
			  uint32_t region, uint32_t zone,
			  const struct vh_rack_summary *summary)
{
	struct vh_rack_bitmaps *x = c->index;
	struct rack_entry *e;

	g_assert(rack < x->max_racks && region < VH_REGIONS_MAX);
	e = &x->racks[rack];
	if (e->known)
		mark(x, rack, false);
	e->summary = *summary;
	e->known = true;
	e->region = (uint8_t)region;
	e->zone = zone;
	e->asked = 0;
	mark(x, rack, true);
}

void vh_rack_index_remove(struct vh_rack_index *c, uint32_t rack)
{
	struct vh_rack_bitmaps *x = c->index;

	g_assert(rack < x->max_racks);
	if (!x->racks[rack].known)
		return;
	mark(x, rack, false);
	x->racks[rack].known = false;
}

void vh_rack_index_note_request(struct vh_rack_index *c, uint32_t rack)
{
	g_assert(rack < c->index->max_racks);
	if (c->index->racks[rack].asked < UINT16_MAX)
		c->index->racks[rack].asked++;
}

/* Racks of one word that pass the filter, to the precision of levels. */
static uint64_t filter_word(const struct scan *s, const struct filter *f,
			    size_t word)
{
	const struct vh_rack_bitmaps *x = s->index;
	uint32_t region = s->want->want.region;
	uint64_t bits = ~UINT64_C(0);
	unsigned int tight = level(s->code[VH_CPU]) + TIGHT_LEVELS;

	for (int d = 0; d < VH_SUMMARY_DIMS; d++)
		bits &= x->bits[f->plane][d][level(s->code[d])][word];
	if (region < VH_REGIONS_MAX)
		bits &= f->other_regions ? ~x->region[region][word]
					 : x->region[region][word];
	if (f->no_accels)
		bits &= ~x->bits[PLANE_FREE][VH_ACCEL][level(4)][word] &
			~x->bits[PLANE_CAPACITY][VH_ACCEL][level(4)][word];
	if (f->tight && tight < LEVELS)
		bits &= ~x->bits[f->plane][VH_CPU][tight][word];
	return bits;
}

/* The check to the precision of codes, and in every dimension. */
static bool may_hold(const struct scan *s, const struct rack_entry *e,
		     enum plane plane)
{
	const uint8_t *has = plane_codes(&e->summary, plane);
	int dims = plane == PLANE_PREEMPT ? VH_SUMMARY_DIMS : VH_DIMS;

	for (int d = 0; d < dims; d++) {
		if (s->code[d] > has[d])
			return false;
	}
	return true;
}

static bool already_found(const struct scan *s, uint32_t rack)
{
	for (unsigned int i = 0; i < s->n; i++) {
		if (s->found[i] == rack)
			return true;
	}
	return false;
}

static void scan_word(struct scan *s, const struct filter *f, size_t word,
		      unsigned int rotate)
{
	uint64_t bits = filter_word(s, f, word);

	s->examined++;
	while (bits && s->n < s->max) {
		uint64_t high = bits >> rotate << rotate;
		unsigned int bit =
			(unsigned int)__builtin_ctzll(high ? high : bits);
		uint32_t rack = (uint32_t)(word * WORD_BITS + bit);

		bits &= ~(UINT64_C(1) << bit);
		s->examined++;
		if (rack != s->want->refused &&
		    may_hold(s, &s->index->racks[rack], f->plane) &&
		    !already_found(s, rack))
			s->found[s->n++] = rack;
	}
}

/* Goes over the words from a place that the seed decides until enough racks
 * are found. */
static void scan_pass(struct scan *s, struct filter f)
{
	uint64_t r = mix(s->want->seed);
	size_t n = s->index->n_words;

	for (size_t i = 0; i < n && s->n < s->max; i++)
		scan_word(s, &f, (r + i) % n, r >> 32 & (WORD_BITS - 1));
}

/* The racks of one region set, those that suit the class best first. */
static void scan_region(struct scan *s, enum plane plane, bool other_regions)
{
	const struct vh_place_request *w = &s->want->want;
	struct filter f = { .plane = plane, .other_regions = other_regions };

	f.no_accels = !w->size.v[VH_ACCEL] && plane == PLANE_FREE;
	f.tight = !w->spread && plane == PLANE_FREE;
	if (f.tight)
		scan_pass(s, f);
	f.tight = false;
	if (f.no_accels)
		scan_pass(s, f);
	f.no_accels = false;
	if (!s->n || plane != PLANE_FREE)
		scan_pass(s, f);
}

static uint64_t count_at(const uint16_t *counts, size_t n, uint32_t i)
{
	return counts && i < n ? counts[i] : 0;
}

/* Lower is better. */
static uint64_t pick_score(const struct scan *s, uint32_t rack,
			   enum plane plane)
{
	const struct rack_entry *e = &s->index->racks[rack];
	const struct vh_pick_request *w = s->want;
	unsigned int holders = vh_summary_fit_count(&e->summary, &w->want.size);
	uint64_t score = plane == PLANE_FREE && e->asked >= holders;

	if (plane == PLANE_CAPACITY)
		return (uint64_t)e->summary.waiting << 16 |
		       (mix(w->seed ^ rack) & 0xffff);
	if (w->want.spread) {
		score = score << 16 |
			count_at(w->zone_count, w->n_zones, e->zone);
		score = score << 16 | count_at(w->rack_count, w->n_racks, rack);
	}
	score = score << 8 | e->summary.max_free[VH_CPU];
	score = score << 8 | e->summary.waiting;
	return score << 8 | (mix(w->seed ^ rack) & 0xff);
}

/* Moves the best k of the racks found to the answer. */
static void choose(struct scan *s, enum plane plane, struct vh_pick *out)
{
	uint64_t score[SAMPLE_MAX];

	for (unsigned int i = 0; i < s->n; i++)
		score[i] = pick_score(s, s->found[i], plane);
	while (out->n < s->want->k && out->n < s->n) {
		unsigned int best = out->n;

		for (unsigned int i = best + 1; i < s->n; i++) {
			if (score[i] < score[best])
				best = i;
		}
		out->rack[out->n] = s->found[best];
		s->found[best] = s->found[out->n];
		score[best] = score[out->n];
		out->n++;
	}
}

static bool try_plane(struct scan *s, enum plane plane, enum vh_pick_kind kind,
		      struct vh_pick *out)
{
	s->n = 0;
	scan_region(s, plane, false);
	if (!s->n && s->want->want.region < VH_REGIONS_MAX && s->want->away)
		scan_region(s, plane, true);
	out->kind = kind;
	choose(s, plane, out);
	return out->n > 0;
}

void vh_rack_index_pick(const struct vh_rack_index *c,
			const struct vh_pick_request *want, struct vh_pick *out)
{
	struct scan s = { .index = c->index, .want = want };
	struct vh_pick_request any = *want;

	*out = (struct vh_pick){ .kind = VH_PICK_NEVER_FITS };
	s.max = SAMPLE_PER_PICK *
		(want->k < VH_PICK_MAX ? want->k : VH_PICK_MAX);
	for (int d = 0; d < VH_DIMS; d++)
		s.code[d] = vh_summary_quantize(want->want.size.v[d]);
	if (try_plane(&s, PLANE_FREE, VH_PICK_FREE, out))
		goto done;
	if (want->want.cls == VH_CLASS_URGENT &&
	    try_plane(&s, PLANE_PREEMPT, VH_PICK_PREEMPT, out))
		goto done;
	if (try_plane(&s, PLANE_CAPACITY, VH_PICK_WAIT, out))
		goto done;
	any.away = true;
	any.refused = UINT32_MAX;
	s.want = &any;
	if (!try_plane(&s, PLANE_CAPACITY, VH_PICK_WAIT, out))
		out->kind = VH_PICK_NEVER_FITS;
done:
	out->examined = s.examined;
}

int64_t vh_region_wait_limit_ms(enum vh_class cls, uint64_t transfer_bytes,
				uint64_t bytes_per_ms)
{
	uint64_t ms;

	if (cls == VH_CLASS_URGENT || !bytes_per_ms)
		return 0;
	ms = transfer_bytes / bytes_per_ms;
	return ms < PATIENCE_MAX_MS ? (int64_t)ms : PATIENCE_MAX_MS;
}
