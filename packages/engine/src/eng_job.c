#include "vh/eng_job.h"

#include <glib.h>

#define JOB_FORMAT 1		   /* version of the format */
#define JOB_FIELDS 19		   /* elements of a job's array */
#define STEP_FIELDS 12		   /* elements of a step's array */
#define ADVICE_WORKERS_ESTIMATE 30 /* in one call, for critical paths */
#define ID_DIGITS 16

enum step_flag {
	STEP_GANG = 1,
	STEP_ONE_RACK = 2,
	STEP_SPECULATIVE = 4,
	STEP_CHECKPOINTS = 8,
	STEP_SERVICE = 16,
	STEP_FILLER = 32
};

bool eng_job_id_parse(struct vh_slice s, uint64_t *id)
{
	uint64_t v = 0;

	if (s.len != ID_DIGITS)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		if (!g_ascii_isxdigit(s.data[i]))
			return false;
		v = v << 4 | (uint64_t)g_ascii_xdigit_value(s.data[i]);
	}
	*id = v;
	return true;
}

static const char *validate_step(const struct eng_step_spec *s, size_t number)
{
	if (!s->n_tasks)
		return "a step has no tasks";
	if (s->need.cpu_milli < 0 || s->need.mem_mb < 0 || s->need.gpu < 0)
		return "a step requests a negative amount of resources";
	if (s->label.len > ENG_NAME_MAX || s->rack.len > ENG_NAME_MAX ||
	    s->image.len > ENG_NAME_MAX)
		return "a label, rack or image is too long";
	for (size_t i = 0; i < s->n_after; i++) {
		if (s->after[i] >= number)
			return "a step depends on itself or a later step";
	}
	return NULL;
}

const char *eng_job_validate(const struct eng_job_spec *spec)
{
	uint64_t n = 0;

	if (!spec->n_steps)
		return "a job needs at least one step";
	if (spec->n_steps > ENG_STEPS_MAX)
		return "too many steps";
	if (spec->occurrences)
		return "jobs that run at set times are not supported";
	if (spec->payload.len > ENG_PAYLOAD_BYTES_MAX)
		return "spec is too long";
	for (size_t i = 0; i < spec->n_steps; i++) {
		const char *error = validate_step(&spec->steps[i], i);

		if (error)
			return error;
		n += spec->steps[i].n_tasks;
	}
	return n > ENG_TASKS_MAX ? "too many tasks" : NULL;
}

static void pack_str(msgpack_packer *pk, struct vh_slice s)
{
	msgpack_pack_bin(pk, s.len);
	msgpack_pack_bin_body(pk, s.data, s.len);
}

static unsigned int step_flags(const struct eng_step_spec *s)
{
	return (s->gang ? STEP_GANG : 0u) | (s->one_rack ? STEP_ONE_RACK : 0u) |
	       (s->speculative ? STEP_SPECULATIVE : 0u) |
	       (s->checkpoints ? STEP_CHECKPOINTS : 0u) |
	       (s->service ? STEP_SERVICE : 0u) |
	       (s->filler ? STEP_FILLER : 0u);
}

static void pack_step(msgpack_packer *pk, const struct eng_step_spec *s)
{
	msgpack_pack_array(pk, STEP_FIELDS);
	msgpack_pack_uint32(pk, s->n_tasks);
	msgpack_pack_int64(pk, s->need.cpu_milli);
	msgpack_pack_int64(pk, s->need.mem_mb);
	msgpack_pack_int64(pk, s->need.gpu);
	msgpack_pack_int64(pk, s->estimate_ms);
	msgpack_pack_array(pk, s->n_after);
	for (size_t i = 0; i < s->n_after; i++)
		msgpack_pack_uint32(pk, s->after[i]);
	pack_str(pk, s->label);
	pack_str(pk, s->rack);
	pack_str(pk, s->image);
	msgpack_pack_uint32(pk, s->max_per_worker);
	msgpack_pack_array(pk, 2);
	msgpack_pack_int64(pk, s->target_ms);
	msgpack_pack_uint32(pk, s->max_unavailable);
	msgpack_pack_uint32(pk, step_flags(s));
}

void eng_job_pack(const struct eng_job_spec *j, struct vh_buf *out)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, JOB_FIELDS);
	msgpack_pack_int(&pk, JOB_FORMAT);
	msgpack_pack_uint64(&pk, j->id);
	pack_str(&pk, j->queue);
	pack_str(&pk, j->service);
	pack_str(&pk, j->team);
	msgpack_pack_uint32(&pk, j->priority);
	msgpack_pack_uint32(&pk, j->max_attempts);
	msgpack_pack_double(&pk, j->stretch);
	msgpack_pack_int64(&pk, j->target_ms);
	msgpack_pack_int(&pk, j->advice.needed);
	msgpack_pack_double(&pk, j->advice.decide_ms);
	msgpack_pack_double(&pk, j->advice.each_ms);
	msgpack_pack_int64(&pk, j->advice.valid_ms);
	msgpack_pack_int64(&pk, j->received_ms);
	pack_str(&pk, j->payload);
	msgpack_pack_uint32(&pk, j->occurrences);
	msgpack_pack_int64(&pk, j->first_ms);
	msgpack_pack_int64(&pk, j->interval_ms);
	msgpack_pack_array(&pk, j->n_steps);
	for (size_t i = 0; i < j->n_steps; i++)
		pack_step(&pk, &j->steps[i]);
	vh_buf_add(out, sb.data, sb.size);
	msgpack_sbuffer_destroy(&sb);
}

/* Cursor over the elements of an array; @invalid is set by the first error. */
struct reader {
	const msgpack_object *p;
	size_t left;
	bool invalid;
};

static const msgpack_object *next_object(struct reader *r)
{
	static const msgpack_object nil = { .type = MSGPACK_OBJECT_NIL };

	if (!r->left) {
		r->invalid = true;
		return &nil;
	}
	r->left--;
	return r->p++;
}

static int64_t read_int(struct reader *r, int64_t min, int64_t max)
{
	const msgpack_object *o = next_object(r);
	int64_t v = 0;

	if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    o->via.u64 <= INT64_MAX)
		v = (int64_t)o->via.u64;
	else if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		v = o->via.i64;
	else
		r->invalid = true;
	if (v < min || v > max)
		r->invalid = true;
	return r->invalid ? 0 : v;
}

static uint64_t read_u64(struct reader *r)
{
	const msgpack_object *o = next_object(r);

	if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		return o->via.u64;
	r->invalid = true;
	return 0;
}

static double read_double(struct reader *r)
{
	const msgpack_object *o = next_object(r);

	if (o->type == MSGPACK_OBJECT_FLOAT64 ||
	    o->type == MSGPACK_OBJECT_FLOAT32)
		return o->via.f64;
	r->invalid = true;
	return 0;
}

static struct vh_slice read_str(struct reader *r)
{
	const msgpack_object *o = next_object(r);

	if (o->type == MSGPACK_OBJECT_BIN) {
		struct vh_slice s = vh_slice(o->via.bin.ptr, o->via.bin.size);

		return vh_slice(vh_slice_dup(s), s.len);
	}
	r->invalid = true;
	return vh_slice(NULL, 0);
}

/* Consumers may submit any number; a larger one means the same as @max. */
static int64_t read_up_to(struct reader *r, int64_t max)
{
	int64_t v = read_int(r, 0, INT64_MAX);

	return MIN(v, max);
}

static struct reader read_array(struct reader *r)
{
	const msgpack_object *o = next_object(r);
	struct reader in = { NULL, 0, false };

	if (o->type != MSGPACK_OBJECT_ARRAY) {
		r->invalid = true;
		return in;
	}
	in.p = o->via.array.ptr;
	in.left = o->via.array.size;
	return in;
}

static bool unpack_step(struct reader *list, struct eng_step_spec *s)
{
	struct reader r = read_array(list);
	struct reader after;
	struct reader service;
	unsigned int flags;

	s->n_tasks = (uint32_t)read_int(&r, 1, ENG_TASKS_MAX);
	s->need.cpu_milli = read_up_to(&r, ENG_AMOUNT_MAX);
	s->need.mem_mb = read_up_to(&r, ENG_AMOUNT_MAX);
	s->need.gpu = read_up_to(&r, ENG_AMOUNT_MAX);
	s->estimate_ms = read_up_to(&r, ENG_DURATION_MAX_MS);
	after = read_array(&r);
	s->n_after = after.left;
	s->after = g_new0(uint32_t, s->n_after);
	for (size_t i = 0; i < s->n_after; i++)
		s->after[i] = (uint32_t)read_int(&after, 0, ENG_STEPS_MAX);
	s->label = read_str(&r);
	s->rack = read_str(&r);
	s->image = read_str(&r);
	s->max_per_worker = (uint32_t)read_int(&r, 0, UINT32_MAX);
	service = read_array(&r);
	s->target_ms = read_up_to(&service, ENG_DURATION_MAX_MS);
	s->max_unavailable = (uint32_t)read_int(&service, 0, UINT32_MAX);
	flags = (unsigned int)read_int(&r, 0, UINT32_MAX);
	s->gang = flags & STEP_GANG;
	s->one_rack = flags & STEP_ONE_RACK;
	s->speculative = flags & STEP_SPECULATIVE;
	s->checkpoints = flags & STEP_CHECKPOINTS;
	s->service = flags & STEP_SERVICE;
	s->filler = flags & STEP_FILLER;
	return !r.invalid && !after.invalid && !service.invalid &&
	       !list->invalid;
}

static bool unpack_steps(struct reader *r, struct eng_job_spec *j)
{
	struct reader list = read_array(r);

	if (list.left > ENG_STEPS_MAX)
		return false;
	j->n_steps = list.left;
	j->steps = g_new0(struct eng_step_spec, j->n_steps);
	for (size_t i = 0; i < j->n_steps; i++) {
		if (!unpack_step(&list, &j->steps[i]))
			return false;
	}
	return true;
}

static bool unpack_job(struct reader *list, struct eng_job_spec *j)
{
	struct reader r = read_array(list);

	read_int(&r, JOB_FORMAT, JOB_FORMAT);
	j->id = read_u64(&r);
	j->queue = read_str(&r);
	j->service = read_str(&r);
	j->team = read_str(&r);
	j->priority = (uint32_t)read_int(&r, 0, UINT32_MAX);
	j->max_attempts = (uint32_t)read_int(&r, 0, UINT32_MAX);
	j->stretch = read_double(&r);
	j->target_ms = read_int(&r, 0, INT64_MAX);
	j->advice.needed = read_int(&r, 0, 1);
	j->advice.decide_ms = read_double(&r);
	j->advice.each_ms = read_double(&r);
	j->advice.valid_ms = read_int(&r, 0, INT64_MAX);
	j->received_ms = read_int(&r, INT64_MIN, INT64_MAX);
	j->payload = read_str(&r);
	j->occurrences = (uint32_t)read_int(&r, 0, UINT32_MAX);
	j->first_ms = read_int(&r, INT64_MIN, INT64_MAX);
	j->interval_ms = read_int(&r, INT64_MIN, INT64_MAX);
	return unpack_steps(&r, j) && !r.invalid && !list->invalid &&
	       !eng_job_validate(j);
}

struct eng_job_spec *eng_job_unpack(struct vh_slice bytes)
{
	struct eng_job_spec *j = NULL;
	msgpack_unpacked u;
	size_t off = 0;

	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, bytes.data, bytes.len, &off) ==
	    MSGPACK_UNPACK_SUCCESS) {
		struct reader r = { &u.data, 1, false };

		j = g_new0(struct eng_job_spec, 1);
		if (!unpack_job(&r, j)) {
			eng_job_free(j);
			j = NULL;
		}
	}
	msgpack_unpacked_destroy(&u);
	return j;
}

static void free_slice(struct vh_slice s)
{
	g_free((char *)s.data);
}

void eng_job_free(struct eng_job_spec *j)
{
	if (!j)
		return;
	for (size_t i = 0; i < j->n_steps; i++) {
		g_free(j->steps[i].after);
		free_slice(j->steps[i].label);
		free_slice(j->steps[i].rack);
		free_slice(j->steps[i].image);
	}
	g_free(j->steps);
	free_slice(j->queue);
	free_slice(j->service);
	free_slice(j->team);
	free_slice(j->payload);
	g_free(j);
}

static int64_t step_ms(const struct eng_job_spec *j, size_t step)
{
	int64_t ms = j->steps[step].estimate_ms;

	if (j->advice.needed)
		ms += (int64_t)(j->advice.decide_ms +
				j->advice.each_ms * ADVICE_WORKERS_ESTIMATE);
	return ms;
}

void eng_critical_paths_ms(const struct eng_job_spec *j, int64_t *paths)
{
	for (size_t i = 0; i < j->n_steps; i++)
		paths[i] = 0;
	for (size_t i = j->n_steps; i-- > 0;) {
		const struct eng_step_spec *s = &j->steps[i];

		paths[i] += step_ms(j, i);
		for (size_t k = 0; k < s->n_after; k++) {
			int64_t *dep_path = &paths[s->after[k]];

			*dep_path = MAX(*dep_path, paths[i]);
		}
	}
}
