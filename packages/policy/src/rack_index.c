#include "vh/rack_index.h"

#include <glib.h>

#define WORD_BITS 64
#define LEVELS 64	  /* of four codes each; two levels double the amount */
#define SAMPLE_PER_PICK 4 /* racks compared for each one picked */
#define SAMPLE_MAX (SAMPLE_PER_PICK * VH_PICK_MAX)
/* In a tight fit, less than 2 to 3 times the requested processors are free. */
#define TIGHT_LEVELS 3

#define REGION_WAIT_MAX_MS 600000

/** enum plane - the maximum of a summary that a set of bitmaps indexes */
enum plane {
	PLANE_FREE,	/* max_free */
	PLANE_PREEMPT,	/* max_preemptible */
	PLANE_CAPACITY, /* max_capacity */
	PLANE_COUNT
};

struct rack_entry {
	struct vh_rack_summary summary;
	bool valid;
	uint8_t region;
	uint16_t sent_tasks; /* tasks sent since the last summary */
	uint32_t zone;
};

/**
 * struct vh_rack_bitmaps - bitmaps with one bit for each rack
 * @region: the racks of each region
 * @bits: the racks whose amount is in a level or a higher one, by plane,
 *	  dimension and level
 * @words: the memory of all bitmaps
 */
struct vh_rack_bitmaps {
	size_t max_racks;
	size_t n_words;
	struct rack_entry *racks;
	uint64_t *region[VH_REGIONS_MAX];
	uint64_t *bits[PLANE_COUNT][VH_SUMMARY_DIMS][LEVELS];
	uint64_t *words;
	size_t words_len;
};

/**
 * struct scan - state of one search through the bitmaps
 * @code: the requested amounts, quantized
 * @found: the @n racks found, at most @max
 * @examined: see struct vh_pick
 */
struct scan {
	const struct vh_rack_bitmaps *bitmaps;
	const struct vh_pick_request *want;
	uint8_t code[VH_DIM_COUNT];
	uint32_t found[SAMPLE_MAX];
	unsigned int n;
	unsigned int max;
	uint32_t examined;
};

/** struct filter - which racks one pass of a scan considers */
struct filter {
	enum plane plane;
	bool other_regions;
	bool few_accels; /* only racks of workers below 4 accelerators */
	bool tight;	 /* only racks whose free processors fit tightly */
};

static unsigned int level(uint8_t code)
{
	return code >> 2;
}

/* One step of SplitMix64. */
static uint64_t hash64(uint64_t x)
{
	x += UINT64_C(0x9e3779b97f4a7c15);
	x = (x ^ x >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ x >> 27) * UINT64_C(0x94d049bb133111eb);
	return x ^ x >> 31;
}

void vh_rack_index_init(struct vh_rack_index *idx, size_t max_racks)
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
	idx->bitmaps = x;
}

void vh_rack_index_finish(struct vh_rack_index *idx)
{
	g_free(idx->bitmaps->racks);
	g_free(idx->bitmaps->words);
	g_free(idx->bitmaps);
	idx->bitmaps = NULL;
}

size_t vh_rack_index_bytes(const struct vh_rack_index *idx)
{
	return sizeof(*idx->bitmaps) +
	       idx->bitmaps->max_racks * sizeof(struct rack_entry) +
	       idx->bitmaps->words_len * sizeof(uint64_t);
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

/* Sets or clears the rack's bit in every level up to that of its amount. */
static void set_rack_bits(struct vh_rack_bitmaps *x, uint32_t rack, bool on)
{
	const struct rack_entry *entry = &x->racks[rack];
	uint64_t bit = UINT64_C(1) << rack % WORD_BITS;
	size_t word = rack / WORD_BITS;

	for (int p = 0; p < PLANE_COUNT; p++) {
		const uint8_t *codes =
			plane_codes(&entry->summary, (enum plane)p);

		if (p != PLANE_CAPACITY && !entry->summary.usable)
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
		x->region[entry->region][word] |= bit;
	else
		x->region[entry->region][word] &= ~bit;
}

void vh_rack_index_update(struct vh_rack_index *idx, uint32_t rack,
			  uint32_t region, uint32_t zone,
			  const struct vh_rack_summary *summary)
{
	struct vh_rack_bitmaps *x = idx->bitmaps;
	struct rack_entry *entry;

	g_assert(rack < x->max_racks && region < VH_REGIONS_MAX);
	entry = &x->racks[rack];
	if (entry->valid)
		set_rack_bits(x, rack, false);
	entry->summary = *summary;
	entry->valid = true;
	entry->region = (uint8_t)region;
	entry->zone = zone;
	entry->sent_tasks = 0;
	set_rack_bits(x, rack, true);
}

void vh_rack_index_remove(struct vh_rack_index *idx, uint32_t rack)
{
	struct vh_rack_bitmaps *x = idx->bitmaps;

	g_assert(rack < x->max_racks);
	if (!x->racks[rack].valid)
		return;
	set_rack_bits(x, rack, false);
	x->racks[rack].valid = false;
}

void vh_rack_index_note_request(struct vh_rack_index *idx, uint32_t rack)
{
	g_assert(rack < idx->bitmaps->max_racks);
	if (idx->bitmaps->racks[rack].sent_tasks < UINT16_MAX)
		idx->bitmaps->racks[rack].sent_tasks++;
}

/* The racks of one bitmap word that pass the filter. Amounts are compared with
 * the precision of a level; VH_SLOTS and VH_CONNS, which have no bitmaps, are
 * ignored. */
static uint64_t filter_word(const struct scan *s, const struct filter *f,
			    size_t word)
{
	const struct vh_rack_bitmaps *x = s->bitmaps;
	uint32_t region = s->want->want.region;
	uint64_t bits = ~UINT64_C(0);
	unsigned int tight = level(s->code[VH_CPU]) + TIGHT_LEVELS;

	for (int d = 0; d < VH_SUMMARY_DIMS; d++)
		bits &= x->bits[f->plane][d][level(s->code[d])][word];
	if (region < VH_REGIONS_MAX)
		bits &= f->other_regions ? ~x->region[region][word]
					 : x->region[region][word];
	if (f->few_accels)
		bits &= ~x->bits[PLANE_FREE][VH_ACCEL][level(4)][word] &
			~x->bits[PLANE_CAPACITY][VH_ACCEL][level(4)][word];
	if (f->tight && tight < LEVELS)
		bits &= ~x->bits[f->plane][VH_CPU][tight][word];
	return bits;
}

/* Compares amounts with the precision of a code, in all dimensions that the
 * summary contains for the plane. */
static bool may_hold(const struct scan *s, const struct rack_entry *entry,
		     enum plane plane)
{
	const uint8_t *has = plane_codes(&entry->summary, plane);
	int dims = plane == PLANE_PREEMPT ? VH_SUMMARY_DIMS : VH_DIM_COUNT;

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
		    may_hold(s, &s->bitmaps->racks[rack], f->plane) &&
		    !already_found(s, rack))
			s->found[s->n++] = rack;
	}
}

/* Scans the words, starting at one that depends on the seed, until enough racks
 * are found. */
static void scan_pass(struct scan *s, struct filter f)
{
	uint64_t r = hash64(s->want->seed);
	size_t n = s->bitmaps->n_words;

	for (size_t i = 0; i < n && s->n < s->max; i++)
		scan_word(s, &f, (r + i) % n, r >> 32 & (WORD_BITS - 1));
}

/* Scans the preferred region or the others, first for the racks that suit the
 * task best. */
static void scan_region(struct scan *s, enum plane plane, bool other_regions)
{
	const struct vh_place_request *w = &s->want->want;
	struct filter f = { .plane = plane, .other_regions = other_regions };

	f.few_accels = !w->size.v[VH_ACCEL] && plane == PLANE_FREE;
	f.tight = !w->spread && plane == PLANE_FREE;
	if (f.tight)
		scan_pass(s, f);
	f.tight = false;
	if (f.few_accels)
		scan_pass(s, f);
	f.few_accels = false;
	if (!s->n || plane != PLANE_FREE)
		scan_pass(s, f);
}

static uint64_t get_count(const uint16_t *counts, size_t n, uint32_t i)
{
	return counts && i < n ? counts[i] : 0;
}

/* Lower is better. Among racks that may have room now, those with room only for
 * the tasks sent since their last summary come last. */
static uint64_t pick_score(const struct scan *s, uint32_t rack,
			   enum plane plane)
{
	const struct rack_entry *entry = &s->bitmaps->racks[rack];
	const struct vh_pick_request *w = s->want;
	unsigned int holders =
		vh_summary_fit_count(&entry->summary, &w->want.size);
	uint64_t score = plane == PLANE_FREE && entry->sent_tasks >= holders;

	if (plane == PLANE_CAPACITY)
		return (uint64_t)entry->summary.waiting << 16 |
		       (hash64(w->seed ^ rack) & 0xffff);
	if (w->want.spread) {
		score = score << 16 |
			get_count(w->zone_count, w->n_zones, entry->zone);
		score = score << 16 |
			get_count(w->rack_count, w->n_racks, rack);
	}
	score = score << 8 | entry->summary.max_free[VH_CPU];
	score = score << 8 | entry->summary.waiting;
	return score << 8 | (hash64(w->seed ^ rack) & 0xff);
}

/* Moves the best k of the racks found to @out. */
static void select_best(struct scan *s, enum plane plane, struct vh_pick *out)
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
	select_best(s, plane, out);
	return out->n > 0;
}

void vh_rack_index_pick(const struct vh_rack_index *idx,
			const struct vh_pick_request *want, struct vh_pick *out)
{
	struct scan s = { .bitmaps = idx->bitmaps, .want = want };
	struct vh_pick_request any = *want;

	*out = (struct vh_pick){ .kind = VH_PICK_NEVER_FITS };
	s.max = SAMPLE_PER_PICK *
		(want->k < VH_PICK_MAX ? want->k : VH_PICK_MAX);
	for (int d = 0; d < VH_DIM_COUNT; d++)
		s.code[d] = vh_summary_quantize(want->want.size.v[d]);
	if (try_plane(&s, PLANE_FREE, VH_PICK_FREE, out))
		goto done;
	if (want->want.cls == VH_CLASS_URGENT &&
	    try_plane(&s, PLANE_PREEMPT, VH_PICK_PREEMPT, out))
		goto done;
	if (try_plane(&s, PLANE_CAPACITY, VH_PICK_WAIT, out))
		goto done;
	/* NEVER_FITS requires that no rack of any region could hold it. */
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
	return ms < REGION_WAIT_MAX_MS ? (int64_t)ms : REGION_WAIT_MAX_MS;
}
