#ifndef CELL_ADMISSION_H
#define CELL_ADMISSION_H

/*
 * Admission control: whether a new job is refused, and when its caller may
 * return. Does no I/O; the time is passed in. Internal to the package; called
 * by cell.c and owner_admission.c. See docs/design/admission.md.
 */

#include "vh/eng_load.h"

#define ADMISSION_VIEW_MAX_AGE_MS 2000 /* with an older view: accept */
#define ADMISSION_RETRY_MAX_S 8
#define ADMISSION_REFUSED_SLOTS 1024
#define ADMISSION_SUSPENDED_MS 2000

/**
 * struct admission_job - a job that asks to be accepted
 * @over_share: it is beyond its team's share
 */
struct admission_job {
	uint64_t id;
	struct vh_slice queue;
	struct vh_slice team;
	struct eng_job_size size;
	bool over_share;
};

/* admission_view_usable - whether @view, computed at @at_ms, may be used */
bool admission_view_usable(int64_t at_ms, int64_t now_ms);

/**
 * admission_excess_ms - by how much a job would end too late
 * @wait_ms: receives the expected wait
 *
 * Returns 0 or less if the job has to be accepted.
 */
int64_t admission_excess_ms(const struct eng_load *load,
			    const struct admission_job *job, int64_t *wait_ms);

/* A job that was refused recently. */
struct admission_refused {
	uint64_t id;
	int64_t at_ms;
	unsigned int times;
};

/**
 * struct admission - memory of the node that decides
 * @accepted_ms: when a job of each team and queue was last accepted
 * @suspended_until_ms: nothing is refused before
 * @refused: by hash of the job's id; a collision only forgets the older one
 */
struct admission {
	GHashTable *accepted_ms;
	int64_t suspended_until_ms;
	struct admission_refused refused[ADMISSION_REFUSED_SLOTS];
};

void admission_init(struct admission *a);
void admission_finish(struct admission *a);

/* admission_note_accepted - counts a job for the minimum rates */
void admission_note_accepted(struct admission *a,
			     const struct admission_job *job, int64_t now_ms);

/* admission_suspend - accepts everything for ADMISSION_SUSPENDED_MS, since jobs
 * may be stored that the owner does not know */
void admission_suspend(struct admission *a, int64_t now_ms);

/* admission_may_refuse - refusals are not suspended, and the job's team and
 * queue have their minimum rate */
bool admission_may_refuse(const struct admission *a,
			  const struct eng_load *load,
			  const struct admission_job *job, int64_t now_ms);

/* admission_refuse - remembers the refusal and returns the Retry-After in
 * seconds */
int admission_refuse(struct admission *a, const struct admission_job *job,
		     int64_t excess_ms, int64_t now_ms);

#endif
