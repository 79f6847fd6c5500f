// Drain of availability zones: no task may start on a worker of a drained zone,
// and the work goes on in the others. The simulation checks every start.

#include <gtest/gtest.h>

#include "simulation.h"

using engine_sim::Faults;
using engine_sim::Simulation;
using engine_sim::step;
using engine_sim::Worker;

namespace
{

const char *const ZONES[] = { "z0", "z1", "z2" };

struct Zones : testing::Test {
	std::unique_ptr<Simulation> sim;

	// Workers of three zones, without tasks that fail.
	void start(uint64_t seed, int workers, Faults f = Faults())
	{
		f.fail_task = 0;
		sim = std::make_unique<Simulation>(seed, f, workers);
		for (size_t i = 0; i < sim->workers.size(); i++)
			sim->workers[i].zone = ZONES[i % 3];
		sim->take_over();
		sim->run_for(200, false);
	}

	void submit(uint64_t from, uint64_t to, uint32_t tasks = 4,
		    bool advice = false)
	{
		for (uint64_t id = from; id <= to; id++)
			sim->submit(id, { step(tasks, 2000, 600) }, 1, advice);
	}

	// Jobs come in steadily.
	void run_with_load(uint64_t from, uint64_t to)
	{
		for (uint64_t id = from; id <= to; id++) {
			submit(id, id);
			sim->run_for(50, false);
		}
	}

	void expect_complete(size_t jobs)
	{
		for (auto &v : sim->violations)
			ADD_FAILURE() << v;
		EXPECT_EQ(sim->count_jobs(ENG_COMPLETE), jobs);
	}

	int starts_in(const std::string &zone)
	{
		int n = 0;

		for (auto &w : sim->workers)
			n += w.zone == zone ? w.starts : 0;
		return n;
	}

	bool event_seen(const std::string &what)
	{
		for (auto &e : sim->zone_events)
			if (e == what)
				return true;
		return false;
	}
};

// Guards against sending a placement that was being stored when the drain came.
TEST_F(Zones, PlacementsThatWaitForASlowStoreAreNotSent)
{
	Faults f;

	f.slow_store = 1;
	for (uint64_t seed = 1; seed <= 10; seed++) {
		start(seed, 9, f);
		submit(1, 3);
		sim->run_for(100, false);
		sim->drain("z0");
		sim->store_down = true;
		sim->run_for(2000, false);
		sim->store_down = false;
		submit(4, 12);
		sim->run_for(8000, false);
		expect_complete(12);
		EXPECT_EQ(starts_in("z0"), 0);
	}
}

// Guards against a new owner that uses the zone for what its predecessor had
// placed and not sent, or for what it places itself.
TEST_F(Zones, ANewOwnerKeepsTheDrain)
{
	for (uint64_t seed = 1; seed <= 10; seed++) {
		start(seed, 9);
		run_with_load(1, 20);
		sim->drain("z1");
		run_with_load(21, 24);
		sim->take_over();
		run_with_load(25, 60);
		sim->run_for(15000, false);
		expect_complete(60);
	}
}

// Guards against starts by an owner that wakes with placements that were stored
// meanwhile, before it has read the topic.
TEST_F(Zones, AnOwnerThatWakesSendsNothingBeforeItKnowsTheZones)
{
	for (uint64_t seed = 1; seed <= 10; seed++) {
		start(seed, 9);
		submit(1, 6, 12);
		sim->run_engine();
		sim->owner_asleep = true;
		sim->run_for(500, false);
		sim->drained["z0"] = sim->now; // not read by the owner
		sim->run_for(4500, false);
		sim->wake_owner();
		run_with_load(7, 20);
		sim->run_for(15000, false);
		expect_complete(20);
	}
}

// Guards against a start that a worker carries out seconds late: its run has to
// be stopped before.
TEST_F(Zones, StartsThatAreCarriedOutLateAreStopped)
{
	Faults f;

	f.delay_request = 0.3;
	for (uint64_t seed = 1; seed <= 10; seed++) {
		start(seed, 9, f);
		run_with_load(1, 10);
		sim->drain("z2");
		sim->faults.delay_request = 0;
		run_with_load(11, 20);
		sim->run_for(20000, false);
		expect_complete(20);
	}
}

TEST_F(Zones, GangsAndAdviceLeaveTheZoneOut)
{
	start(1, 30);
	sim->drain("z0");
	sim->asked_workers.clear();
	for (uint64_t id = 1; id <= 6; id++) {
		eng_step_spec gang = step(20, 4000, 800);

		gang.gang = true;
		sim->submit(id, { gang }, 1, true);
	}
	sim->run_for(15000, false);
	expect_complete(6);
	for (auto &w : sim->workers)
		EXPECT_TRUE(w.zone != "z0" || !sim->asked_workers.count(w.id));
}

// Guards against work that crowds into one of the zones that are left.
TEST_F(Zones, WorkSpreadsOverTheOtherZones)
{
	start(1, 30);
	for (size_t i = 0; i < 30; i++) {
		sim->workers[i].zone = ZONES[i / 10];
		sim->list_worker(sim->workers[i]);
	}
	sim->drain("z0");
	submit(1, 10);
	sim->run_for(3000, false);
	expect_complete(10);
	EXPECT_EQ(starts_in("z0"), 0);
	EXPECT_GT(starts_in("z1"), 10);
	EXPECT_GT(starts_in("z2"), 10);
}

TEST_F(Zones, TwoZonesThenAllAndTheirReturn)
{
	start(1, 9);
	sim->drain("z0");
	sim->drain("z1");
	submit(1, 4);
	sim->run_for(3000, false);
	expect_complete(4);
	EXPECT_EQ(starts_in("z0") + starts_in("z1"), 0);
	sim->drain("z2");
	EXPECT_TRUE(event_seen("z2: zone drained, no workers are left"));
	submit(5, 6);
	sim->run_for(3000, false);
	expect_complete(4);
	EXPECT_TRUE(event_seen("z2: drained zone is empty"));
	sim->end_drain("z1");
	sim->run_for(3000, false);
	expect_complete(6);
	EXPECT_GT(starts_in("z1"), 0);
}

// Guards against a drain that is lost since no worker was known when it began,
// and against a worker that enters a drained zone.
TEST_F(Zones, WorkersThatAppearInADrainedZoneAreNotUsed)
{
	start(1, 3);
	sim->drain("z9");
	EXPECT_TRUE(event_seen("z9: zone drained, it has no workers"));
	run_with_load(1, 5);
	for (auto &w : sim->workers) {
		if (w.zone == "z0")
			continue;
		w.zone = "z9";
		sim->list_worker(w);
		w.starts = 0;
	}
	sim->drained["z9"] = sim->now - 1000;
	run_with_load(6, 10);
	sim->run_for(8000, false);
	expect_complete(10);
	EXPECT_EQ(starts_in("z9"), 0);
}

TEST_F(Zones, ADrainThatIsSetAgainAtOnceIsInForce)
{
	start(1, 6);
	sim->drain("z0");
	sim->end_drain("z0");
	run_with_load(1, 8);
	sim->drain("z0");
	run_with_load(9, 40);
	sim->run_for(8000, false);
	expect_complete(40);
	EXPECT_GT(starts_in("z0"), 0);
	EXPECT_TRUE(event_seen("z0: zone drain ended"));
}

// Guards against runs that are lost or counted twice while zones drain and
// return under all other faults.
TEST_F(Zones, DrainsUnderFaults)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		Faults f;

		f.lose_reply = 0.05;
		f.crash = 0.2;
		f.takeover = 0.3;
		f.slow_store = 0.2;
		start(seed, 12, f);
		for (uint64_t id = 1; id <= 30; id++) {
			sim->submit(id, { step(4, 3000, 1500) });
			if (id % 10 == 3)
				sim->drain(ZONES[id / 10]);
			if (id % 10 == 9)
				sim->end_drain(ZONES[id / 10]);
			sim->run_for(400, true);
		}
		for (auto &v : sim->violations)
			ADD_FAILURE() << "seed " << seed << ": " << v;
	}
}

// Without late starts: no owner can keep one from a zone that is drained meanwhile.
TEST_F(Zones, DrainsWhileCallsAreLateOrLost)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		Faults f;

		f.lose_reply = 0.05;
		f.crash = 0.2;
		f.takeover = 0.3;
		f.slow_store = 0.2;
		f = engine_sim::with_call_faults(f, seed);
		f.slow_request = 0;
		start(seed, 12, f);
		for (uint64_t id = 1; id <= 30; id++) {
			sim->submit(id, { step(4, 3000, 1500) });
			if (id % 10 == 3)
				sim->drain(ZONES[id / 10]);
			if (id % 10 == 9)
				sim->end_drain(ZONES[id / 10]);
			sim->run_for(400, true);
		}
		for (auto &v : sim->violations)
			ADD_FAILURE() << "seed " << seed << ": " << v;
	}
}

TEST_F(Zones, UrgentStepsAndGangsAvoidColdWorkers)
{
	eng_step_spec gang = step(4, 2000, 300);

	start(1, 9);
	for (auto &w : sim->workers) {
		w.cold_ms = w.zone == "z0" ? 60000 : 0;
		sim->list_worker(w);
	}
	gang.gang = true;
	sim->submit(1, { step(8, 2000, 300) }, 0);
	sim->submit(2, { gang });
	sim->run_for(1500, false);
	expect_complete(2);
	EXPECT_EQ(starts_in("z0"), 0);
	sim->submit(3, { step(60, 2000, 300) }, 0);
	sim->run_for(1500, false);
	expect_complete(3);
	EXPECT_GT(starts_in("z0"), 0);
}

} // namespace
