#ifndef ENGINE_TESTS_GANG_SIMULATION_H
#define ENGINE_TESTS_GANG_SIMULATION_H

/*
 * The simulation with gangs that work as the worker API says: from the moment
 * when all members of one run are present, and until they end together.
 */

#include "simulation.h"

namespace engine_sim
{

constexpr int64_t GANG_WAIT_MS = 3000; /* then a member ends alone */
constexpr int64_t GANG_WORK_MS = 600;

class GangSimulation : public Simulation
{
      public:
	GangSimulation(uint64_t seed, Faults f, int workers)
	    : Simulation(seed, f, workers)
	{
		gangs_end_together = true;
	}

	void advance_workers() override
	{
		begin_gangs();
		Simulation::advance_workers();
		end_gangs();
	}

	int gangs_done = 0, gangs_broken = 0, members_alone = 0;

      private:
	struct GangRun {
		TaskKey unit;
		uint32_t run;
		bool operator<(const GangRun &o) const
		{
			return std::tie(unit, run) < std::tie(o.unit, o.run);
		}
	};

	struct Work {
		bool fails = false;
		bool done = false;
		bool broken = false;
	};

	using Members = std::map<GangRun, std::vector<Run *>>;

	uint32_t gang_size(const TaskKey &k)
	{
		return jobs[k.job].spec->steps[k.step].n_tasks;
	}

	GangRun gang_run(const Run &r)
	{
		return { unit_of(r.key), r.run };
	}

	Members present_members()
	{
		Members out;

		for (auto &w : workers) {
			for (auto &r : w.running) {
				if (w.up && is_gang(r.key))
					out[gang_run(r)].push_back(&r);
			}
		}
		return out;
	}

	/* Members that are not complete wait; a complete gang begins. */
	void begin_gangs()
	{
		for (auto &m : present_members()) {
			bool fails = false;

			if (work.count(m.first))
				continue;
			for (Run *r : m.second) {
				r->ends_ms = -1;
				fails = fails || r->fails;
			}
			if (m.second.size() < gang_size(m.first.unit))
				continue;
			work[m.first].fails = fails;
			for (Run *r : m.second) {
				if (!fails || r->fails)
					r->ends_ms = now + GANG_WORK_MS;
			}
		}
	}

	/* All members of a gang end with its first one, in the same way if that
	 * was done. */
	void end_gangs()
	{
		for (auto &w : workers) {
			for (auto &end : w.ends) {
				if (end.ended_ms == now && is_gang(end.key))
					note_end(end);
			}
		}
		note_crashes();
		for (auto &w : workers) {
			for (size_t i = w.running.size(); i-- > 0;)
				end_member(w, i);
		}
	}

	/* At the same time as other ends, a done one decides. */
	void note_end(const End &end)
	{
		auto it = work.find({ unit_of(end.key), end.run });

		if (it == work.end() || it->second.done)
			return;
		if (end.how == ENG_END_DONE)
			gang_done(it->first, it->second);
		else
			it->second.broken = true;
	}

	void gang_done(const GangRun &g, Work &w)
	{
		w.done = true;
		gangs_done++;
		for (uint32_t k = 0; k < gang_size(g.unit); k++)
			done_tasks.insert({ g.unit.job, g.unit.step, k });
	}

	/* A member whose worker has crashed has no end. */
	void note_crashes()
	{
		Members present = present_members();

		for (auto &w : work) {
			if (!w.second.done && !w.second.broken &&
			    present[w.first].size() < gang_size(w.first.unit))
				w.second.broken = true;
		}
	}

	void end_member(Worker &w, size_t i)
	{
		const Run &r = w.running[i];
		auto it = is_gang(r.key) ? work.find(gang_run(r)) : work.end();

		if (!w.up || !is_gang(r.key))
			return;
		if (it == work.end()) {
			if (now - r.started_ms < GANG_WAIT_MS)
				return;
			members_alone++;
			end_run(w, i, ENG_END_ALONE);
		} else if (it->second.done) {
			end_run(w, i, ENG_END_DONE);
		} else if (it->second.broken) {
			gangs_broken++;
			end_run(w, i, ENG_END_BROKEN);
		}
	}

	std::map<GangRun, Work> work; /* of the runs that were complete */
};

} // namespace engine_sim

#endif
