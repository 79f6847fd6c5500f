#include "home_priv.h"

#include "config.h"
#include "owners.h"
#include "vh/log.h"

#define MAINTENANCE_MS 300
#define OPEN_DELAY_MS 20
#define MAX_ATTEMPTS 8
#define DEFAULT_DEDUPE_WINDOW_S 86400 /* until the configuration is known */

struct home *home_find(struct vh_homes *hs, struct vh_slice unit)
{
	for (struct home *h = hs->list; h; h = h->next) {
		if (vh_slice_eq_str(unit, h->unit) && !h->closing)
			return h;
	}
	return NULL;
}

int64_t home_now_ms(const struct home *h)
{
	return vh_kernel_now_ms(h->homes->core->kernel);
}

struct home_op *home_op_new(struct home *h, bool call)
{
	struct home_op *op = g_new0(struct home_op, 1);

	op->home = h;
	op->call = call;
	op->next = h->ops;
	h->ops = op;
	return op;
}

static void op_free_memory(struct home_op *op)
{
	g_free(op->id);
	g_free(op->rack);
	g_free(op);
}

void home_op_free(struct home_op *op)
{
	if (op->home) {
		struct home_op **at = &op->home->ops;

		while (*at != op)
			at = &(*at)->next;
		*at = op->next;
	}
	op_free_memory(op);
}

void home_schedule_dispatch(struct home *h)
{
	if (!vh_timer_pending(&h->dispatch))
		vh_timer_start(&h->dispatch, 0);
}

/* The home is freed: appends are not called back, calls complete without it. */
static void detach_ops(struct home *h)
{
	while (h->ops) {
		struct home_op *op = h->ops;

		h->ops = op->next;
		op->home = NULL;
		if (op->reply)
			vh_peer_answer(op->reply, VH_ERR_UNKNOWN_OUTCOME,
				       vh_slice("", 0));
		op->reply = NULL;
		if (!op->call || op->retry_scheduled)
			op_free_memory(op);
	}
}

static void home_free(struct home *h)
{
	home_cancel_waiters(h);
	home_gangs_finish(h);
	vh_log_stream_close(h->stream);
	detach_ops(h);
	vh_timer_finish(&h->dispatch);
	vh_timer_finish(&h->maintenance);
	vh_home_free(h->state);
	while (h->racks) {
		struct home_rack *r = h->racks;

		h->racks = r->next;
		g_free(r->name);
		g_free(r);
	}
	g_free(h->unit);
	g_free(h->team);
	g_free(h);
}

static void home_release(void *ctx)
{
	struct home *h = ctx;
	struct home **at = &h->homes->list;

	while (*at != h)
		at = &(*at)->next;
	*at = h->next;
	home_free(h);
}

static void home_close(struct home *h)
{
	if (h->closing)
		return;
	vh_log(G_LOG_LEVEL_INFO, "home closed", "home", h->unit, NULL);
	h->closing = true;
	h->open = false;
	vh_timer_stop(&h->dispatch);
	vh_timer_stop(&h->maintenance);
	vh_home_close(h->state);
	/* Deferred, as callbacks of the home's stream may be on the stack. */
	vh_kernel_defer(h->homes->core->kernel, home_release, h);
}

static void on_batch(void *ctx, uint64_t offset, const struct vh_batch *batch)
{
	struct home *h = ctx;
	struct vh_slice rest = batch->records;
	struct vh_slice body;
	uint32_t kind;

	while (vh_record_next(&rest, &kind, &body))
		vh_home_apply(h->state, offset, batch->epoch, kind, body,
			      home_now_ms(h));
	if (h->open)
		home_schedule_dispatch(h);
}

static void dump(void *ctx, struct vh_buf *out)
{
	vh_home_dump(((struct home *)ctx)->state, out);
}

static void home_restart(struct home *h);

static struct vh_home *state_new(const struct home *h)
{
	const struct vh_objects *set = core_objects(h->homes->core);
	uint32_t window_s =
		set ? set->fleet.dedupe_window_s : DEFAULT_DEDUPE_WINDOW_S;
	struct vh_home_settings settings = {
		.team = vh_slice_str(h->team),
		.index = h->index,
		.homes = h->n_homes,
		.dedupe_window_ms = (int64_t)window_s * VH_MS_PER_S,
		.max_attempts = MAX_ATTEMPTS,
	};

	return vh_home_new(&settings);
}

/* Loads a snapshot, but only before the home is open. An open home gets here if
 * it was cut off from the log for longer than the retention; it restarts. */
static bool load(void *ctx, struct vh_slice state)
{
	struct home *h = ctx;
	struct vh_home *loaded;

	if (h->open || h->open_requested) {
		home_restart(h);
		return false;
	}
	loaded = state_new(h);
	if (!vh_home_load(loaded, state, home_now_ms(h))) {
		vh_home_free(loaded);
		return false;
	}
	vh_home_free(h->state);
	h->state = loaded;
	return true;
}

static uint32_t rank(void *ctx)
{
	(void)ctx;
	return 0;
}

static void apply_team_limit(struct home *h)
{
	const struct vh_objects *set = core_objects(h->homes->core);
	const struct vh_team *team =
		set ? vh_objects_find_team(set, vh_slice_str(h->team)) : NULL;

	if (team)
		vh_home_set_limit(h->state, team->limit);
}

static void append_end(void *ctx, struct vh_slice body)
{
	struct home *h = ctx;

	vh_log_stream_append(h->stream, VH_REC_END, body, NULL, NULL);
}

void home_expire(struct home *h)
{
	vh_home_expire(h->state, home_now_ms(h),
		       vh_clock_wall_ms(h->homes->core->kernel->clock),
		       append_end, h);
}

static void open_done(void *arg, enum vh_err err, uint64_t offset)
{
	struct home_op *op = arg;
	struct home *h = op->home;
	struct vh_slice names[1024];
	size_t n = 0;

	(void)offset;
	home_op_free(op);
	if (err != VH_OK || h->closing) {
		h->open_requested = false;
		return;
	}
	home_racks_refresh(h);
	for (struct home_rack *r = h->racks; r; r = r->next) {
		if (n < G_N_ELEMENTS(names))
			names[n++] = vh_slice_str(r->name);
	}
	vh_home_open(h->state, h->epoch, names, n, home_now_ms(h));
	apply_team_limit(h);
	h->open = true;
	vh_log(G_LOG_LEVEL_INFO, "home opened", "home", h->unit, NULL);
	home_reconcile_racks(h);
	home_schedule_dispatch(h);
}

/* Opens the home once its stream has been read to the end and the VM list is
 * known. */
static void open_if_ready(struct home *h)
{
	struct vh_core *core = h->homes->core;

	if (h->open_requested || !vh_log_stream_caught_up(h->stream) ||
	    !vh_vm_list_loaded(core->vms))
		return;
	h->open_requested = true;
	vh_log_stream_append(h->stream, VH_REC_OPEN, vh_slice("", 0), open_done,
			     home_op_new(h, false));
}

static void stop_cancelled(void *ctx, struct vh_job *job)
{
	struct home *h = ctx;

	if (!job->cancelled || !job->n_unfinished)
		return;
	for (uint32_t i = 0; i < job->spec.n_tasks; i++) {
		if (job->tasks[i].state == VH_TASK_RUNNING)
			home_send_stop(h, &job->tasks[i], VH_STOP_KILL);
	}
}

static void maintenance(void *ctx)
{
	struct home *h = ctx;

	vh_timer_start(&h->maintenance, MAINTENANCE_MS);
	if (!h->open) {
		open_if_ready(h);
		return;
	}
	home_racks_refresh(h);
	home_reconcile_racks(h);
	home_expire(h);
	vh_home_each_job(h->state, stop_cancelled, h);
	home_reconcile_replicas(h);
	home_gangs_prune(h);
	home_schedule_dispatch(h);
}

/* Splits "home/TEAM/K"; returns false for other units. */
static bool unit_parse(struct vh_slice unit, struct vh_slice *team,
		       uint32_t *index)
{
	static const struct vh_slice prefix = VH_SLICE("home/");
	uint64_t k;
	size_t slash;

	if (unit.len <= prefix.len ||
	    memcmp(unit.data, prefix.data, prefix.len))
		return false;
	for (slash = unit.len; slash-- > prefix.len;) {
		if (unit.data[slash] == '/')
			break;
	}
	if (slash <= prefix.len ||
	    !vh_slice_to_u64(
		    vh_slice(unit.data + slash + 1, unit.len - slash - 1), &k))
		return false;
	*team = vh_slice(unit.data + prefix.len, slash - prefix.len);
	*index = (uint32_t)k;
	return true;
}

static void home_create(struct vh_homes *hs, struct vh_slice unit,
			struct vh_slice team, uint32_t index, uint64_t epoch)
{
	const struct vh_objects *set = core_objects(hs->core);
	const struct vh_team *t = set ? vh_objects_find_team(set, team) : NULL;
	struct home *h = g_new0(struct home, 1);
	struct vh_log_stream_user user = { on_batch, dump, load, rank, h };
	char *name;

	h->homes = hs;
	h->unit = vh_slice_dup(unit);
	h->team = vh_slice_dup(team);
	h->index = index;
	h->epoch = epoch;
	h->n_homes = t ? t->homes : 1;
	h->state = state_new(h);
	vh_timer_init(&h->dispatch, hs->core->kernel, home_dispatch, h);
	vh_timer_init(&h->maintenance, hs->core->kernel, maintenance, h);
	h->next = hs->list;
	hs->list = h;
	name = g_strdup_printf("home.%s.%u", h->team, index);
	h->stream = vh_log_stream_open(&hs->core->streams, vh_slice_str(name),
				       epoch, &user);
	g_free(name);
	vh_timer_start(&h->maintenance, OPEN_DELAY_MS);
	vh_log(G_LOG_LEVEL_INFO, "home acquired", "home", h->unit, NULL);
}

/* Replaces the home by a new one under the same epoch. */
static void home_restart(struct home *h)
{
	home_close(h);
	home_create(h->homes, vh_slice_str(h->unit), vh_slice_str(h->team),
		    h->index, h->epoch);
}

static void on_claim(void *ctx, const struct vh_claim *claim)
{
	static const struct vh_slice rack = VH_SLICE("rack/");
	struct vh_homes *hs = ctx;
	struct vh_slice team;
	uint32_t index;
	struct home *h;

	if (claim->unit.len > rack.len &&
	    !memcmp(claim->unit.data, rack.data, rack.len)) {
		for (h = hs->list; h; h = h->next)
			home_rack_owner_changed(
				h, vh_slice(claim->unit.data + rack.len,
					    claim->unit.len - rack.len));
		return;
	}
	if (!unit_parse(claim->unit, &team, &index))
		return;
	h = home_find(hs, claim->unit);
	if (h)
		home_close(h);
	if (core_is_self(hs->core, claim))
		home_create(hs, claim->unit, team, index, claim->epoch);
}

static void on_objects(void *ctx)
{
	struct vh_homes *hs = ctx;

	for (struct home *h = hs->list; h; h = h->next) {
		if (h->open)
			apply_team_limit(h);
	}
}

static bool homes_start(void *self, struct vh_kernel *kernel, GError **err)
{
	struct vh_homes *hs = self;

	(void)kernel;
	(void)err;
	owners_watch(hs->core->owners, on_claim, hs);
	config_watch(hs->core->config, on_objects, hs);
	home_rpc_register(hs);
	home_credit_register(hs);
	return true;
}

static void homes_stop(void *self)
{
	struct vh_homes *hs = self;

	hs->stopping = true;
	for (struct home *h = hs->list; h; h = h->next) {
		vh_timer_stop(&h->dispatch);
		vh_timer_stop(&h->maintenance);
	}
}

struct vh_homes *homes_new(struct vh_core *core)
{
	struct vh_homes *hs = g_new0(struct vh_homes, 1);

	hs->core = core;
	hs->service.name = "homes";
	hs->service.self = hs;
	hs->service.start = homes_start;
	hs->service.stop = homes_stop;
	return hs;
}

void homes_free(struct vh_homes *hs)
{
	if (!hs)
		return;
	while (hs->list) {
		struct home *h = hs->list;

		hs->list = h->next;
		home_free(h);
	}
	g_free(hs);
}

struct vh_service *homes_service(struct vh_homes *hs)
{
	return &hs->service;
}

void homes_each(struct vh_homes *hs,
		void (*fn)(void *ctx, struct vh_home *home), void *ctx)
{
	for (struct home *h = hs->list; h; h = h->next) {
		if (h->open)
			fn(ctx, h->state);
	}
}
