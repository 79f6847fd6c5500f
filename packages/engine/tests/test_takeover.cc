// What a new owner has to know of what a former one left behind.

#include <gtest/gtest.h>

#include "simulation.h"

using world::Faults;
using world::World;

namespace
{

void expect_kept(const World &w)
{
	for (auto &v : w.violations)
		ADD_FAILURE() << v;
}

// Load: a job is cancelled while its worker does not answer, and the owner
// dies. The job's tasks go on there, and keep their room.
void cancelled_job_keeps_its_room(bool jobs_first)
{
	World w(1, Faults(), 1);

	w.faults.fail_task = 0;
	w.jobs_first = jobs_first;
	w.take_over();
	w.submit(1, { world::step(2, 8000, 60000) });
	w.play(1000, false);
	w.workers[0].reachable = false;
	w.cancel(1);
	w.play(1000, false);
	w.take_over();
	w.workers[0].reachable = true;
	w.submit(2, { world::step(2, 8000, 100) });
	w.play(3000, false);
	expect_kept(w);
	EXPECT_EQ(eng_job_status(w.engine, 1), ENG_CANCELLED);
	EXPECT_EQ(eng_job_status(w.engine, 2), ENG_COMPLETE);
}

TEST(TakeOver, TasksOfACancelledJobKeepTheirRoom)
{
	cancelled_job_keeps_its_room(false);
}

// The cancelling is read before the state.
TEST(TakeOver, TasksOfACancelledJobKeepTheirRoomWhateverIsReadFirst)
{
	cancelled_job_keeps_its_room(true);
}

// Load: a caller sends a job again while a new owner reads back; the job comes
// before its state.
TEST(TakeOver, AJobThatComesBeforeItsStateIsNotRunAnew)
{
	World w(1, Faults(), 2);

	w.faults.fail_task = 0;
	w.take_over();
	w.submit(1, { world::step(2, 1000, 200) });
	w.play(2000, false);
	ASSERT_EQ(eng_job_status(w.engine, 1), ENG_COMPLETE);
	w.jobs_first = true;
	w.take_over();
	w.play(2000, false);
	expect_kept(w);
	EXPECT_EQ(eng_job_status(w.engine, 1), ENG_COMPLETE);
	EXPECT_EQ(w.starts, 2);
}

TEST(TakeOver, RunningTasksAreAdopted)
{
	World w(1, Faults(), 4);

	w.faults.fail_task = 0;
	w.take_over();
	w.submit(1, { world::step(8, 4000, 3000) });
	w.play(500, false);
	w.take_over();
	w.play(5000, false);
	expect_kept(w);
	EXPECT_EQ(eng_job_status(w.engine, 1), ENG_COMPLETE);
	EXPECT_EQ(w.starts, 8);
}

// A worker that is out of reach may run on until its lease has run out.
TEST(TakeOver, TasksOfAWorkerOutOfReachWaitForItsLease)
{
	World w(1, Faults(), 2);

	w.faults.fail_task = 0;
	w.take_over();
	w.submit(1, { world::step(2, 16000, 30000) });
	w.play(500, false);
	w.workers[0].reachable = false;
	w.take_over();
	w.play(30000, false);
	expect_kept(w);
}

} // namespace
