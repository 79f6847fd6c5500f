#include "eng_priv.h"

/* Cost of placing a task on a worker, by which eng_place.c chooses workers. */
#define CORE_MILLI 1000 /* thousandths of a processor */

/* Terms of the cost, in the unit of one processor left free. */
#define LATENCY_COST_PER_MS 0.15 /* of start latency, for short steps */
#define DATA_RACK_BONUS 1000 /* for a worker in the rack of the step's data */
#define FAILURE_COST 4	     /* per point of the failure score */
#define RESERVED_COST 500.0  /* for a worker that a gang waits for */
#define TRIAL_COST 500.0     /* for a worker with a task on trial */
#define TRIAL_COST_PER_MS 5  /* of start latency, for a task on trial */
#define AT_RISK_COST 50.0    /* per task that one on trial may take with it */

/*
 * Cost of placing a task on a worker; lower is better. Prefers a tight fit, few
 * failures, low latency for short steps, a suitable speed, and the rack of the
 * step's data. Keeps tasks on trial, see eng_loss.c, and other work apart.
 */
double eng_placement_cost(const struct engine *e, const struct step *s,
			  const struct worker *w, bool on_trial)
{
	double left = (double)(w->capacity.cpu_milli - w->used.cpu_milli -
			       s->spec->need.cpu_milli) /
		      CORE_MILLI;
	double c = left + FAILURE_COST * w->failure_score +
		   LATENCY_COST_PER_MS * eng_worker_latency_ms(w, s) +
		   eng_speed_cost(s, w);

	if (w->cold_until_ms || e->n_drained_zones)
		c += eng_zone_cost(e, s, w);
	if (eng_worker_trial_active(e, w))
		c += TRIAL_COST;
	/* A near one, since a reply that is faster than the crash proves that
	 * the run had started. */
	if (on_trial)
		c += AT_RISK_COST * w->tasks->len +
		     TRIAL_COST_PER_MS * w->start_latency_ms;
	/* Keeps tasks that are placed before a waiting gang off its workers. */
	if (eng_recently_reserved(e, w))
		c += RESERVED_COST;
	if (s->spec->rack.len) {
		for (char **l = w->labels; *l; l++) {
			if (vh_slice_eq_str(s->spec->rack, *l))
				return c - DATA_RACK_BONUS;
		}
	}
	return c;
}
