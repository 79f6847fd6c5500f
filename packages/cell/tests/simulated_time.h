#ifndef CELL_TESTS_SIMULATED_TIME_H
#define CELL_TESTS_SIMULATED_TIME_H

/*
 * Replaces the clocks of a test program and the wait of its event loop: time
 * passes only while the loop waits for a timer, and then at once. So the results
 * do not depend on the machine's load, and minutes pass in seconds. To be
 * included by one source file of a program with one thread.
 */

#include <cerrno>
#include <ctime>
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace fake
{

/* Not 0, which means "never" to the code under test. */
inline int64_t simulated_ms = 1000000;

} // namespace fake

extern "C" int clock_gettime(clockid_t, struct timespec *t) noexcept
{
	t->tv_sec = (time_t)(fake::simulated_ms / 1000);
	t->tv_nsec = (long)(fake::simulated_ms % 1000) * 1000000;
	return 0;
}

/* Loopback data is there when its sender returns, so that one look finds it. */
extern "C" int epoll_wait(int epfd, struct epoll_event *events, int max,
			  int timeout_ms)
{
	int real_timeout_ms = timeout_ms < 0 ? -1 : 0;
	int n = (int)syscall(SYS_epoll_pwait, epfd, events, max,
			     real_timeout_ms, nullptr, 0);

	if (!n && timeout_ms > 0)
		fake::simulated_ms += timeout_ms;
	return n;
}

#endif
