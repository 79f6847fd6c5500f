#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "cell.h"

/*
 * Gangs of three tasks end all the time. The store's partition of the job states
 * is down for DOWN_MS, OUTAGES times; meanwhile the owner's process is killed
 * and started again. Afterwards each job that was accepted is asked for.
 */
#define OUTAGES 2
#define INTERVAL_MS 10000
#define LOAD_MS 26000
#define DOWN_MS 4500
#define KILL_AFTER_MS 2500
#define RESTART_AFTER_MS 3500
#define FINISH_MS 14000
#define SENDERS 8
#define JOBS_MAX 8000
#define STATE_TOPIC "keyed.vh-state"

static const char steps[] =
	"[{\"count\":3,\"cpu\":1000,\"memMb\":2800,\"estimateMs\":800,"
	"\"gang\":true,\"maxPerServer\":1}]";

static uint64_t accepted[JOBS_MAX];
static unsigned int n_accepted;
static pthread_mutex_t accepted_lock = PTHREAD_MUTEX_INITIALIZER;

static void *send_jobs(void *ctx)
{
	uint64_t id = UINT64_C(0x5c0e000000000000) + *(const uint64_t *)ctx;
	int64_t until = cell_now_ms() + LOAD_MS;
	char spec[32];

	for (unsigned int i = 0; cell_now_ms() < until; i++) {
		id += SENDERS;
		snprintf(spec, sizeof(spec), "gang 3 %u", 500 + i * 137 % 600);
		if (!cell_submit(id, spec, steps))
			continue;
		pthread_mutex_lock(&accepted_lock);
		accepted[n_accepted++] = id;
		pthread_mutex_unlock(&accepted_lock);
		cell_sleep_ms(30);
	}
	return NULL;
}

/* Returns how many accepted jobs are not known. */
static unsigned int ask_for_jobs(unsigned int node)
{
	unsigned int unknown = 0;
	char state[32];

	for (unsigned int i = 0; i < n_accepted; i++) {
		uint64_t id = accepted[i];
		int status = cell_job_status(node, id, state, sizeof(state));

		if (status != 410) {
			if (status != 200)
				cell_record("GET %016" PRIx64 ": %d", id,
					    status);
			continue;
		}
		unknown++;
		cell_record("BROKEN: GET %016" PRIx64 " from edge-%u: 410; it "
			    "was accepted, nobody has cancelled it, and its "
			    "workers listed %u ends as done",
			    id, node, cell_ends(id, "done"));
	}
	return unknown;
}

/* What the store holds of the accepted jobs: the state's second element is the
 * status, 2 for a complete job; a state of more than two elements names the
 * workers of tasks that are still assigned. */
static void record_store(void)
{
	unsigned int ended = 0;
	unsigned int deleted = 0;

	for (unsigned int i = 0; i < n_accepted; i++) {
		unsigned char state[2];
		char key[32];

		snprintf(key, sizeof(key), "s%016" PRIx64, accepted[i]);
		if (cell_store_value(STATE_TOPIC, key, state, 2) < 2 ||
		    state[0] == 0x92 || state[1] != 4)
			continue;
		if (!cell_ends(accepted[i], "done"))
			continue;
		ended++;
		key[0] = 'j';
		deleted += !cell_store_has("keyed.vh-jobs", key);
	}
	cell_record(
		"store: %u jobs whose workers listed an end have a state "
		"with assigned tasks; the records of %u of them are deleted",
		ended, deleted);
}

/* One outage of the partition, in which the owner's process is killed. */
static void outage(void)
{
	int64_t down_at = cell_now_ms();
	unsigned int owner = cell_owner();

	cell_store_down(STATE_TOPIC, true);
	cell_sleep_until_ms(down_at + KILL_AFTER_MS);
	record_store();
	cell_node_signal(owner, SIGKILL);
	cell_sleep_until_ms(down_at + RESTART_AFTER_MS);
	cell_node_start(owner);
	cell_sleep_until_ms(down_at + DOWN_MS);
	cell_store_down(STATE_TOPIC, false);
}

int main(void)
{
	static const struct cell_settings settings = { .nodes = 3,
						       .workers = 8,
						       .far_ms = 30,
						       .far_nodes = 7,
						       .max_attempts = 2 };
	static uint64_t senders[SENDERS];
	pthread_t threads[SENDERS];
	unsigned int unknown = 0;

	cell_start(&settings);
	for (unsigned int i = 0; i < SENDERS; i++) {
		senders[i] = i + 1;
		pthread_create(&threads[i], NULL, send_jobs, &senders[i]);
	}
	for (int i = 1; i <= OUTAGES; i++) {
		cell_sleep_until_ms(i * INTERVAL_MS);
		if (cell_trouble())
			outage();
	}
	for (int i = 0; i < SENDERS; i++)
		pthread_join(threads[i], NULL);
	cell_sleep_until_ms(LOAD_MS + FINISH_MS);
	cell_record("%u jobs were accepted; all are asked for", n_accepted);
	for (unsigned int i = 0; i < settings.nodes; i++)
		unknown += ask_for_jobs(i);
	if (!n_accepted)
		cell_skip("no job was accepted");
	cell_finish(unknown ? 1 : 0);
}
