#ifndef ENG_PRIV_H
#define ENG_PRIV_H

/*
 * Functions that the sources of the engine share; its state is in eng_state.h.
 * Internal to the package; included by all of its sources except eng_job.c.
 */

#include "eng_state.h"

/* eng_tasks.c: life cycle of a task */
/* eng_find_task - the task of @ref, whatever its run; NULL: no such task */
struct task *eng_find_task(struct engine *e, struct eng_task_ref ref);
struct eng_task_ref eng_task_ref(const struct task *t);
/* eng_resources_add - adds (@sign 1) or subtracts (-1) one task's needs */
void eng_resources_add(struct eng_resources *to, const struct eng_step_spec *s,
		       int sign);
void eng_task_set_state(struct engine *e, struct task *t, enum task_state s);
/* eng_task_confirm - its worker says that the current run is there */
void eng_task_confirm(struct engine *e, struct task *t);
/* eng_task_assign - allocates the resources; the caller sets the state */
void eng_task_assign(struct engine *e, struct task *t, struct worker *w);
/* eng_task_release - takes a task off its worker and frees its resources */
void eng_task_release(struct engine *e, struct task *t);
void eng_task_stop(struct engine *e, struct task *t);
/* eng_task_stop_again - sends a stop, also if another one was sent before */
void eng_task_stop_again(struct engine *e, struct task *t);
/* eng_task_lost - the current run is not on its worker and will never be */
void eng_task_lost(struct engine *e, struct task *t, const char *reason);
/* eng_task_ended - a worker listed an end for the first time */
void eng_task_ended(struct engine *e, struct task *t,
		    const struct eng_finished_task *f);
/* eng_task_started - a worker confirmed that the task has started */
void eng_task_started(struct engine *e, struct task *t);
/* eng_task_send - starts a task whose placement is stored, if it still may */
void eng_task_send(struct engine *e, struct task *t);
/* eng_task_failed_too_often - as many runs of it, or of its gang, have failed as the
 * job allows */
bool eng_task_failed_too_often(const struct task *t);
/* eng_task_mark_done - has no effect if it is done */
void eng_task_mark_done(struct task *t);
/* eng_retry_due_ms - when eng_retry_requests() is due; INT64_MAX: never */
int64_t eng_retry_due_ms(const struct worker *w);
/* eng_retry_requests - resends starts and stops that got no reply */
void eng_retry_requests(struct engine *e, struct worker *w);

/* engine.c: jobs */
/* eng_intern - the one copy of a name, never freed */
const char *eng_intern(struct vh_slice name);
void eng_job_mark_dirty(struct engine *e, struct job *j);
/* eng_job_get - finds a job, or adds one of which only the id is known */
struct job *eng_job_get(struct engine *e, uint64_t id);
/* eng_job_update_steps - eng_step_update() for all steps */
void eng_job_update_steps(struct engine *e, struct job *j);
/* eng_queue_get - finds a queue or creates it */
struct queue *eng_queue_get(struct engine *e, struct vh_slice name);
/* eng_milestone - reports a job's start or end, except during recovery */
void eng_milestone(struct engine *e, const struct job *j,
		   enum eng_job_status status);
void eng_job_end(struct engine *e, struct job *j, enum eng_job_status status);
/* eng_step_update - adds a step to the runnable list or removes it */
void eng_step_update(struct engine *e, struct step *s);
bool eng_step_deps_done(const struct step *s);
/* eng_job_reclaim - frees an ended job's steps and spec once they are unused */
void eng_job_reclaim(struct engine *e, struct job *j);
bool eng_job_active(const struct job *j);
/* eng_may_start - whether starts may be placed and sent, see
 * eng_set_start_limit() */
bool eng_may_start(const struct engine *e);
/* eng_decision_set_boot - adds what is known of the present boot of a worker */
void eng_decision_set_boot(const struct engine *e, struct eng_decision *d,
			   const struct worker *w);
void eng_report_decision(struct engine *e, const char *what,
			 const struct task *t, const struct worker *w);
/* eng_report_usage_wait - reports that a step waits because of past use */
void eng_report_usage_wait(struct engine *e, const struct step *s,
			   const struct eng_usage_wait *wait);

/* eng_team.c */
struct team *eng_team_get(struct engine *e, struct vh_slice name);
void eng_team_free(gpointer team);
/* eng_team_quota_allows - the team's limit allows @n more tasks of a step; 0: what
 * it has placed */
bool eng_team_quota_allows(const struct step *s, int64_t n);
/* eng_team_take_token - counts a submitted job; false: exceeds the share */
bool eng_team_take_token(struct team *t, int64_t now_ms);

/* eng_workers.c */
/* eng_worker_get - finds a worker or creates an unlisted one */
struct worker *eng_worker_get(struct engine *e, struct vh_slice id);
/* eng_worker_find - NULL if the worker is not known */
struct worker *eng_worker_find(struct engine *e, struct vh_slice id);
void eng_worker_set_address(struct worker *w, struct vh_slice address);
/* eng_longest_lease_ms - by when a worker has stopped its tasks after it was
 * given the longest lease that it accepts */
int64_t eng_longest_lease_ms(const struct engine *e);
void eng_worker_record_latency(struct worker *w, int64_t latency_ms);
/* eng_latency_matters - the step is short, so that start latency matters */
bool eng_latency_matters(const struct step *s);
/* eng_worker_latency_ms - start latency; 0 if the critical path is long */
double eng_worker_latency_ms(const struct worker *w, const struct step *s);
/* eng_worker_report_event - reports a change; @problem: it cannot be used */
void eng_worker_report_event(struct engine *e, const struct worker *w,
			     const char *what, bool problem);
bool eng_worker_usable(const struct engine *e, const struct worker *w);
/* eng_worker_accepts - whether a task that is assigned to it may be started:
 * its capacity is known and not exceeded, and it does not drain */
bool eng_worker_accepts(const struct engine *e, const struct worker *w);
/**
 * eng_worker_grant_lease - extends the lease that is to be sent to a worker
 *
 * Returns its end on the worker's clock, 0 if that clock is not known. The
 * lease of an unreachable worker is not extended.
 */
int64_t eng_worker_grant_lease(struct engine *e, struct worker *w);
/* eng_worker_boot - the present boot, for which requests are meant */
struct eng_boot eng_worker_boot(const struct worker *w);
/* eng_worker_touch - its state has changed, so it is polled at the next pass */
void eng_worker_touch(struct engine *e, const struct worker *w);
/* eng_poll_workers - sends due holds, resends requests, expires leases */
void eng_poll_workers(struct engine *e);

/* eng_boot.c: boots of workers */
/* eng_boot_entry - follows the boot that a worker's entry names */
void eng_boot_entry(struct engine *e, struct worker *w,
		    const struct eng_worker_info *info);
/* eng_boot_moved - sets the address; another worker may have taken the former */
void eng_boot_moved(struct engine *e, struct worker *w,
		    struct vh_slice address);
/* eng_boot_reported - follows the boot that a report names; false if the report
 * must be ignored */
bool eng_boot_reported(struct engine *e, struct worker *w,
		       const struct eng_worker_report *r);
/* eng_worker_boot_over - another boot, with another id, has taken its place */
void eng_worker_boot_over(struct engine *e, struct worker *w);

/* eng_zone.c: drained zones and cold workers */
/* eng_zone_get - finds a zone or creates one */
struct zone *eng_zone_get(struct engine *e, struct vh_slice name);
void eng_zone_free(gpointer zone);
/* eng_zone_clear_worker - follows a change of the worker's zone or its state: if
 * drained, takes back reservations and what may still start on the worker */
void eng_zone_clear_worker(struct engine *e, struct worker *w);
/* eng_zone_prevented - counts a start that a drain prevents */
void eng_zone_prevented(struct engine *e, struct task *t);
/* eng_poll_zones - clears drained zones; called before each pass */
void eng_poll_zones(struct engine *e);
/* eng_worker_set_cold - ignores times that cannot be meant */
void eng_worker_set_cold(struct engine *e, struct worker *w,
			 int64_t remaining_ms);
/* eng_zone_cost - part of the placement cost: avoids cold workers, and spreads
 * the work over the other zones while one is drained */
double eng_zone_cost(const struct engine *e, const struct step *s,
		     const struct worker *w);

/* eng_loss.c: runs that are lost with their workers */
/* eng_task_losses - how many runs of a task were lost */
unsigned int eng_task_losses(const struct task *t);
/* eng_task_needs_trial - it is to run where a crash does least harm */
bool eng_task_needs_trial(const struct task *t);
/* eng_worker_trial_starting - a task on trial has not run for long */
bool eng_worker_trial_starting(const struct engine *e, const struct worker *w);
/* eng_worker_trial_active - the task on trial may still crash the worker */
bool eng_worker_trial_active(const struct engine *e, const struct worker *w);
void eng_loss_add(struct task *t, const struct loss *l);
/* eng_loss_remove - a run turned out not to be lost with its worker */
void eng_loss_remove(struct engine *e, struct task *t, uint32_t run);
/* eng_loss_limit_reached - the task must not be started any more */
bool eng_loss_limit_reached(const struct task *t);
/* eng_job_give_up - fails the job of a task whose limit is reached */
void eng_job_give_up(struct engine *e, struct task *t);
/* eng_loss_crashed - the boot of a worker is proven to be over: charges that to
 * the runs on it, which are lost next */
void eng_loss_crashed(struct engine *e, struct worker *w);
/* eng_worker_lease_expired - a silent worker has stopped its tasks by now */
void eng_worker_lease_expired(struct engine *e, struct worker *w);
/* eng_worker_survived - a silent worker answers, still in the same boot */
void eng_worker_survived(struct engine *e, struct worker *w);
/* eng_worker_needs_proof - whether a silent worker has crashed matters */
bool eng_worker_needs_proof(const struct engine *e, const struct worker *w);

/* eng_record.c */
#define RECORD_FORMAT_JOB 4 /* all that is stored of a job */
#define RECORD_FORMAT_HEAD \
	5 /* of a job in parts; a node of an older version ignores it */
void eng_record_pack(const struct job *j, struct vh_buf *out);
bool eng_record_apply(struct engine *e, struct job *j, struct vh_slice bytes);
/**
 * eng_record_status - reads the status in a record
 * @placed: whether the record has steps; for an ended job: whether some of its
 *	    tasks were placed
 * @in_parts: the tasks are in other records
 *
 * Returns false if the record is invalid.
 */
bool eng_record_status(struct vh_slice bytes, enum eng_job_status *status,
		       bool *placed, bool *in_parts);
/* eng_job_has_placed_tasks - whether any of its tasks is on a worker */
bool eng_job_has_placed_tasks(const struct job *j);

/**
 * struct task_range - tasks of a job, counted through all steps
 * @step, @index: the next one
 */
struct task_range {
	const struct job *job;
	size_t step;
	uint32_t index;
	uint32_t left;
};

struct task_range eng_job_tasks(const struct job *j, uint32_t first,
				uint32_t n);
/* eng_range_next - NULL after the last one */
struct task *eng_range_next(struct task_range *r);

/**
 * struct recorded_worker - a worker in the list of a record
 * @rebooted: it has started again since, as far as is known
 */
struct recorded_worker {
	struct worker *w;
	bool rebooted;
};

/* What records of jobs and of parts have in common. The restoring ones return false on
 * malformed data. */
bool eng_record_uint(const msgpack_object *o, uint64_t max, uint64_t *out);
bool eng_record_array(const msgpack_object *o, const msgpack_object **p,
		      size_t *n);
void eng_record_pack_bytes(msgpack_packer *pk, struct vh_slice s);
/* eng_record_pack_workers - packs the list of the workers that the tasks are assigned
 * to, and returns it */
GPtrArray *eng_record_pack_workers(msgpack_packer *pk,
				   const struct task_range *tasks);
void eng_record_pack_task(msgpack_packer *pk, const struct task *t,
			  GPtrArray *workers);
/* eng_record_restore_workers - appends struct recorded_worker */
bool eng_record_restore_workers(struct engine *e, const msgpack_object *o,
				GArray *workers);
bool eng_record_restore_task(struct engine *e, struct task *t,
			     const msgpack_object *o, const GArray *workers);

/* eng_parts.c: the state of a large job in several records */
struct job_parts;
void eng_parts_free(struct job_parts *p);
/* eng_parts_add_records - appends the records that have changed of a job's state, of
 * struct eng_record; the first call that needs several begins to use parts */
void eng_parts_add_records(struct engine *e, struct job *j, GArray *records);
/* eng_parts_written_anew - the next records hold the whole state */
void eng_parts_written_anew(struct job *j);
/* eng_parts_apply - restores a job from its head and its stored parts; false: some are
 * missing or malformed */
bool eng_parts_apply(struct engine *e, struct job *j);
/* eng_parts_settle - ends a restored job if its parts tell that it has ended */
void eng_parts_settle(struct engine *e, struct job *j);
/* eng_parts_drop_stored - the stored parts of a job are of no use; their records are
 * deleted. Returns false if there are none. */
bool eng_parts_drop_stored(struct job *j);

/* eng_unstored.c: jobs whose state the store refuses for good */
/* eng_unstored_retry - marks those dirty that are to be stored again by now */
void eng_unstored_retry(struct engine *e);
/* eng_unstored_confirm - @batch and all before it are stored */
void eng_unstored_confirm(struct engine *e, uint64_t batch);

/* eng_place.c */
/* eng_worker_failed - a run failed on a worker, or it refused a start */
void eng_worker_failed(struct engine *e, struct worker *w);
/* eng_place_steps - false if its time was used up, as in eng_schedule() */
bool eng_place_steps(struct engine *e);

/* eng_learned.c: statistics that a new owner takes over */
/* eng_learned_due - whether eng_learned_pack() would be called now */
bool eng_learned_due(const struct engine *e);
/* eng_learned_pack - appends learned records (struct eng_record) that changed */
void eng_learned_pack(struct engine *e, GArray *records);
/* eng_learned_add - appends an empty record and returns its buffer */
struct vh_buf *eng_learned_add(GArray *records, char prefix,
			       struct vh_slice name);

/* eng_usage.c: past use of teams; without effect if the settings have no
 * half-life */
#define USAGE_RECORD_PREFIX 'u'
/* eng_usage_charge - charges the team for what it holds; called before that
 * changes */
void eng_usage_charge(struct engine *e, struct team *t);
/* eng_usage_refresh - computes the levels of all teams, once a second */
void eng_usage_refresh(struct engine *e);
/* eng_usage_begin_pass - called before the steps of a pass are ordered */
void eng_usage_begin_pass(struct engine *e);
/**
 * eng_usage_start_ms - latest_start_ms, shifted by the team's past use
 * @late: the steps of this tier are late in any case
 *
 * Grows with latest_start_ms among steps of teams with the same level, if they
 * have the same priority and the same @late.
 */
int64_t eng_usage_start_ms(const struct engine *e, const struct step *s,
			   bool late);
/* eng_usage_passed - called for each step of a pass, in the order of placement;
 * reports steps that wait because of past use */
void eng_usage_passed(struct engine *e, struct step *s);
void eng_usage_pack(struct engine *e, GArray *records);
bool eng_usage_restore(struct engine *e, struct vh_slice team,
		       struct vh_slice bytes);
/* eng_usage_recovered - adds what the records of the former owner said */
void eng_usage_recovered(struct engine *e);

/* eng_order.c */
/* eng_order_steps - appends the runnable steps in the order of placement */
void eng_order_steps(struct engine *e, GPtrArray *out);
/* eng_order_idle - no step waits, so a running overload may end */
void eng_order_idle(struct engine *e);

/* eng_floor.c: minimum shares of teams and classes at overload */
/* eng_floors_begin - updates the deficits; @steps are the waiting ones */
void eng_floors_begin(struct engine *e, const GPtrArray *steps);
/* eng_floor_take - charges a step to the minimum shares of its team and class;
 * false: neither is short of its share */
bool eng_floor_take(struct engine *e, struct step *s);
/* eng_floor_placed - a task was placed */
void eng_floor_placed(struct engine *e, const struct step *s);
/* eng_step_class - the class of a step's priority */
uint32_t eng_step_class(const struct step *s);

/* eng_overload.c: recognition of overload, and room kept for urgent work */
struct pool *eng_pool_get(struct engine *e, const char *service);
/**
 * eng_overload_update - decides for each pool whether it is overloaded
 * @steps: the waiting steps in the usual order
 *
 * Returns whether any pool is.
 */
bool eng_overload_update(struct engine *e, const GPtrArray *steps);
/* eng_pool_wait_ms - expected time until @cpu more is free for waiting steps */
int64_t eng_pool_wait_ms(const struct pool *p, int64_t cpu);
/* eng_step_cpu - what the waiting tasks of a step need */
int64_t eng_step_cpu(const struct step *s);
/* eng_step_work - usual work of @n tasks of a step: milliseconds times the
 * dominant share of the service's capacity */
double eng_step_work(const struct step *s, uint32_t n);
void eng_overload_job_added(struct engine *e, const struct job *j);
void eng_overload_assigned(const struct task *t);
void eng_overload_released(const struct engine *e, const struct task *t);
/* eng_headroom_allows - @n tasks of a step leave enough room for urgent work */
bool eng_headroom_allows(const struct step *s, int64_t n);

/* eng_long_wait.c */
/* eng_long_waits_report - reports the steps that have waited longest, if it is
 * due; called after each whole pass */
void eng_long_waits_report(struct engine *e);

/* eng_waiting.c */
/**
 * eng_waiting_report - reports by team and class what waits, if it is due
 * @steps: the waiting steps, in order
 */
void eng_waiting_report(struct engine *e, const GPtrArray *steps);

/* eng_cost.c */
/* eng_placement_cost - cost of placing a task of a step on a worker; lower is
 * better */
double eng_placement_cost(const struct engine *e, const struct step *s,
			  const struct worker *w, bool on_trial);

/* eng_advice.c */
void eng_request_advice(struct engine *e, struct step *s);
void eng_advice_free(gpointer advice);
/* eng_ticket_valid - approved, with a ticket that outlasts a start request */
bool eng_ticket_valid(const struct engine *e, const struct worker_advice *a);
struct worker_advice *eng_advice_find(const struct step *s,
				      const struct worker *w);
/* eng_free_slots - how many tasks of a step can be placed on a worker now */
uint32_t eng_free_slots(struct engine *e, const struct step *s,
			const struct worker *w);
/* eng_worker_matches - the worker has the step's service and label */
bool eng_worker_matches(const struct step *s, const struct worker *w);
/* eng_free_resources - what is neither used nor reserved for a gang */
struct eng_resources eng_free_resources(const struct worker *w);
/* eng_tasks_fitting - how many tasks of a step fit into @free, at most all */
uint32_t eng_tasks_fitting(const struct step *s, struct eng_resources free);

bool eng_worker_has_label(const struct worker *w, struct vh_slice label);

/**
 * struct room_scan - a search for workers with room for a step
 * @parts: parts of the cell, in the order of the step, see order_for()
 * @part: position in @parts of the next part
 * @position: of the next worker in the part
 * @end: end of the part
 * @bucket: only workers of this latency bucket, -1: all
 */
struct room_scan {
	struct engine *engine;
	struct step *step;
	guint part_workers;
	guint n_parts;
	uint16_t parts[ENG_PARTS_MAX];
	guint part;
	guint position;
	guint end;
	int bucket;
};

/* eng_index.c: index of the workers by their free resources */
/* eng_index_update - free resources, latency or usability have changed */
void eng_index_update(struct engine *e, const struct worker *w);
/* eng_index_relist - its entry in the fleet's list was added or removed, or the
 * drain of its zone began or ended */
void eng_index_relist(struct engine *e, struct worker *w);
void eng_index_free(gpointer index);
void eng_index_begin_pass(struct engine *e);
/* eng_index_usable - eng_worker_usable(); leaves it out of the index if not */
bool eng_index_usable(struct engine *e, struct worker *w);
void eng_set_add(struct worker_set *set, guint position);
bool eng_set_contains(const struct worker_set *set, guint position);
/**
 * eng_step_examine - brings a step's list of open workers up to date
 *
 * Called once per pass, before the step is placed. Looks only at the approved
 * workers on which room has grown since the pass before.
 */
void eng_step_examine(struct engine *e, struct step *s);
/* eng_part_workers - number of workers of a part of the cell */
guint eng_part_workers(const struct engine *e);
/* eng_part_key - order of the parts of the cell; differs by step */
uint64_t eng_part_key(const struct step *s, uint64_t part);
void eng_scan_begin(struct engine *e, struct step *s, struct room_scan *scan);
/* eng_scan_restart - begins anew, with the workers of one latency bucket */
void eng_scan_restart(struct room_scan *scan, int bucket);
/* eng_scan_next_part - begins the next part of the cell; false: no more */
bool eng_scan_next_part(struct room_scan *scan);
/* eng_scan_next - the next usable worker with room in the part; NULL: none */
struct worker *eng_scan_next(struct room_scan *scan);
/* eng_scan_next_listed - the next listed worker that matches, full or not */
struct worker *eng_scan_next_listed(struct room_scan *scan);

static inline int eng_latency_bucket(double latency_ms)
{
	return CLAMP((int)(latency_ms / LATENCY_BUCKET_MS), 0,
		     LATENCY_BUCKETS - 1);
}

/* eng_reserve.c: reservations for gangs that do not fit yet */
void eng_reservations_clear(struct engine *e);
/**
 * eng_gang_plan - chooses the workers that a gang is expected to fit on first
 *
 * Returns why the gang waits, constant text.
 */
const char *eng_gang_plan(struct engine *e, struct step *s);
/* eng_gang_reserve - reserves the planned resources if reservation_active */
void eng_gang_reserve(struct engine *e, const struct step *s);
/* eng_gang_preempt - stops tasks for a gang, if it can then start soon */
void eng_gang_preempt(struct engine *e, struct step *s);
/* eng_reserved_slots - tasks of a waiting gang reserved on a worker */
uint32_t eng_reserved_slots(const struct step *s, const struct worker *w);
/* eng_recently_reserved - a gang waits for the worker, or did so recently */
bool eng_recently_reserved(const struct engine *e, const struct worker *w);

/* eng_speed.c: speeds of workers and run times of queues */
/* eng_speed - of a worker; 1 if it is not known */
double eng_speed(const struct worker *w);
/* eng_expected_ms - what a task of a step takes at the usual speed */
double eng_expected_ms(const struct step *s);
/* eng_path_ms - critical_path_ms at the usual ratio of the queue */
int64_t eng_path_ms(const struct step *s);
/* eng_speed_remaining_ms - time until a task that was not stopped ends */
int64_t eng_speed_remaining_ms(const struct engine *e, const struct task *t);
/* eng_speed_run_done - learns from the current run of a task, which is done */
void eng_speed_run_done(struct engine *e, const struct task *t);
/* eng_update_speeds - lowers the speed of workers whose runs are overdue */
void eng_update_speeds(struct engine *e);
/* eng_speed_set - sets the speed that was known from @n samples */
void eng_speed_set(struct engine *e, struct worker *w, double speed,
		   unsigned int n);
/* eng_speed_reset - forgets the speed, of a new or restarted worker */
void eng_speed_reset(struct worker *w);
/* eng_speed_plan - what speed a step needs now; before the next two */
void eng_speed_plan(const struct engine *e, struct step *s);
/* eng_speed_cost - the part of the cost of a placement */
static inline double eng_speed_cost(const struct step *s,
				    const struct worker *w)
{
	if (s->min_speed <= 0)
		return 0;
	if (w->speed.value < s->min_speed)
		return SPEED_FAST_COST * w->speed.slowness;
	return s->any_in_time ? 0 : -SPEED_SLOW_BONUS * w->speed.slowness;
}

/**
 * eng_speed_class - how well the speed of a worker suits a step
 *
 * Lower is better: for a gang 0 if it is in time there; for urgent steps less
 * on faster workers, and for those with slack on slower ones.
 */
static inline int eng_speed_class(const struct step *s, const struct worker *w)
{
	if (s->min_speed <= 0)
		return 0;
	if (w->speed.value < s->min_speed)
		return SPEED_CLASSES + w->speed.rank;
	return s->any_in_time ? 0 : -w->speed.rank;
}

/* eng_queue_ratios_changed - updates what depends on the histogram */
void eng_queue_ratios_changed(struct queue *q);

/* eng_speed_record.c: learned records of speeds, of kind "w" */
void eng_speeds_pack(struct engine *e, GArray *records);
bool eng_speeds_restore(struct engine *e, struct vh_slice name,
			struct vh_slice bytes);
/* eng_speed_worker_known - applies the restored speed of a listed worker */
void eng_speed_worker_known(struct engine *e, struct worker *w);

/* eng_worker_cold_for - cold, and the step is urgent or a gang; inline, as it is
 * called for each candidate of each step */
static inline bool eng_worker_cold_for(const struct engine *e,
				       const struct step *s,
				       const struct worker *w)
{
	return w->cold_until_ms > e->now_ms &&
	       (s->spec->gang || !s->job->spec->priority);
}

static inline struct vh_slice eng_str(const char *s)
{
	return vh_slice_str(s);
}

#endif
