/*
 * A cell that has served for hours: the store holds what the system itself has
 * left there of each job that has ended. Then all processes are killed at the
 * same moment, and start again. As the pages say, a process that exceeds memoryMb
 * is killed.
 */
#include "../standins-2/world.h"

#define OLD_JOBS 1800000 /* 9 hours at 56.4 jobs a second */
#define FIRST_JOBS 20
#define LAST_JOBS 8
#define MEMORY_MB 260
#define RECOVER_MS 12000
#define END_MS 105000

static string job_id(uint64_t i)
{
	char id[20];

	snprintf(id, sizeof(id), "%016llx", (unsigned long long)i);
	return id;
}

static int64_t memory_mb(pid_t pid)
{
	char path[64];
	long size = 0;
	long resident = 0;

	snprintf(path, sizeof(path), "/proc/%d/comm", pid);
	if (read_file(path).compare(0, 13, "vanillahollow"))
		return 0; /* not yet the node's program */
	snprintf(path, sizeof(path), "/proc/%d/statm", pid);
	std::ifstream(path) >> size >> resident;
	return resident * sysconf(_SC_PAGESIZE) >> 20;
}

/* The platform's part, for each process. */
static void supervise(World &w, std::map<string, int64_t> &peak)
{
	for (auto &n : w.nodes) {
		int64_t mb = memory_mb(n->pid);

		peak[n->name] = std::max(peak[n->name], mb);
		if (mb > MEMORY_MB) {
			note("node %s has %lld MB, the limit is %d",
			     n->name.c_str(), (long long)mb, MEMORY_MB);
			n->signal_process(SIGKILL);
		}
		n->restart_if_ended();
	}
}

static bool finish_all(World &w, uint64_t first, int n, int64_t until_ms)
{
	for (int done = 0; done < n && now_ms() < until_ms; sleep_ms(100)) {
		done = 0;
		for (int i = 0; i < n; i++)
			done += w.state(job_id(first + (uint64_t)i)) ==
				"complete";
		if (done == n)
			return true;
	}
	return false;
}

/* Jobs of the past, as those that the system has just run have left them. */
static bool age_store(World &w)
{
	std::map<string, string> left =
		w.store.newest_of("keyed.vh-state", "s");
	std::map<string, string> jobs = w.store.newest_of("keyed.vh-jobs", "j");

	note("of %d ended jobs the store keeps %zu states and %zu jobs",
	     FIRST_JOBS, left.size(), jobs.size());
	if (left.size() != FIRST_JOBS)
		return false;
	note("a state has %zu bytes", left.begin()->second.size());
	for (uint64_t i = 0; i < OLD_JOBS; i++)
		w.store.put("keyed.vh-state",
			    "s" + job_id(0x1000000 + i * 0x9e3779b97f4aull),
			    left.begin()->second);
	note("the store holds the states of %d more jobs", OLD_JOBS);
	return true;
}

int main(int argc, char **argv)
{
	static World w;
	std::map<string, int64_t> peak;
	int64_t back_ms = 0;
	int asked = 0;
	int served = 0;
	int result = 2;

	if (argc < 3)
		return 2;
	record_file = fopen(argv[1], "w");
	w.open(3, 8);
	if (!w.wait_ready())
		goto out;
	for (uint64_t i = 0; i < FIRST_JOBS; i++) {
		if (!w.submit(job_id(1 + i), World::one_task(500)))
			goto out;
	}
	if (!finish_all(w, 1, FIRST_JOBS, 20000))
		goto out;
	sleep_ms(3000);
	if (!age_store(w))
		goto out;
	for (uint64_t i = 0; i < LAST_JOBS; i++) {
		if (!w.submit(job_id(100 + i), World::one_task(3000)))
			goto out;
	}
	if (atoi(argv[2])) {
		for (auto &n : w.nodes)
			n->signal_process(SIGKILL);
		sleep_ms(1000);
		supervise(w, peak);
	}
	back_ms = now_ms();
	while (now_ms() < END_MS) {
		bool counts = now_ms() > back_ms + RECOVER_MS;

		for (uint64_t i = 0; i < LAST_JOBS && counts; i++) {
			Node &n = *w.nodes[(size_t)asked % w.nodes.size()];
			string text;

			served += call(n.front, "GET", "/q/" + job_id(100 + i),
				       "", &text) == 200;
			asked++;
		}
		for (int i = 0; i < 5; i++) {
			supervise(w, peak);
			sleep_ms(100);
		}
		if (!atoi(argv[2]) && now_ms() > back_ms + 2 * RECOVER_MS)
			break;
	}
	for (auto &p : peak)
		note("node %s: at most %lld MB", p.first.c_str(),
		     (long long)p.second);
	note("later than %d s after the start, %d of %d requests were served",
	     RECOVER_MS / 1000, served, asked);
	result = served * 4 < asked;
out:
	w.close_all();
	note("result: %d", result);
	_exit(result);
}
