/*
 * A job waits for the workers that its queue's policy allows, which are busy. They
 * become free while another tenant sends many jobs, which wait for other workers.
 * Then these end too, and all workers are idle.
 */
#include "../standins-2/world.h"

#define WORKERS 8
#define BLOCK_MS 6500
#define WORK_MS 100
#define BURST_JOBS 12
#define BURST_TASKS 20
#define BURST_WORK_MS 1500
#define FINISH_MS 14000 /* finish_s, after the end of the traffic */
#define NOTHING_RUNS_MS 3000
#define GIVE_UP_MS 100000

static const char block[] = "00c0ffee00000001";
static const char waiting[] = "00c0ffee00000002";

static string burst_id(int i)
{
	char id[20];

	snprintf(id, sizeof(id), "00c0ffee1%07x", i);
	return id;
}

static int judge(World &w, bool trouble)
{
	int64_t idle_since = 0;
	int64_t end = now_ms() + FINISH_MS;
	bool burst_done = !trouble;

	while (now_ms() < GIVE_UP_MS) {
		string s = w.state(waiting, "/x/");
		int done = 0;

		if (s == "complete")
			break;
		for (int i = 0; !burst_done && i < BURST_JOBS; i++)
			done += w.state(burst_id(i), "/y/") == "complete";
		if (!burst_done && done == BURST_JOBS) {
			burst_done = true;
			end = now_ms() + FINISH_MS;
			note("all other jobs are complete");
		}
		if (!burst_done || w.state(block, "/x/") != "complete")
			idle_since = 0;
		else if (!idle_since)
			idle_since = now_ms();
		if (idle_since && now_ms() > end &&
		    now_ms() > idle_since + FINISH_MS)
			break;
		sleep_ms(200);
	}
	if (w.state(waiting, "/x/") == "complete")
		return 0;
	note("job %s has nothing running, while all workers are idle for "
	     "%.1f s; state %s",
	     waiting, (double)(now_ms() - idle_since) / 1000,
	     w.state(waiting, "/x/").c_str());
	return idle_since && now_ms() - idle_since > NOTHING_RUNS_MS ? 1 : 2;
}

int main(int argc, char **argv)
{
	static World w;
	int result = 2;
	bool trouble;

	if (argc < 3)
		return 2;
	record_file = fopen(argv[1], "w");
	trouble = atoi(argv[2]);
	/* The plans run on the first two workers, the burst on the others. */
	w.policy.allows = [](const string &step, const string &worker) {
		int i = worker.back() - '0';

		return step.compare(0, 9, "00c0ffee1") ? i < 2 : i >= 2;
	};
	w.fleet.ticket_valid = [](const string &step, const string &worker,
				  const string &ticket) {
		return w.policy.valid(step, worker, ticket);
	};
	w.open(3, WORKERS);
	if (!w.wait_ready())
		goto out;
	sleep_ms(1000);
	if (!w.submit(block, World::tasks(2, 16000, BLOCK_MS), "/x/"))
		goto out;
	sleep_ms(1500);
	if (!w.submit(waiting, World::tasks(1, 4000, WORK_MS), "/x/"))
		goto out;
	sleep_ms(500);
	for (int i = 0; trouble && i < BURST_JOBS; i++) {
		if (!w.submit(burst_id(i),
			      World::tasks(BURST_TASKS, 4000, BURST_WORK_MS),
			      "/y/", key_two))
			goto out;
	}
	result = judge(w, trouble);
out:
	w.close_all();
	note("result: %d", result);
	_exit(result);
}
