// Past use of teams: accounting, order of placement and learned records. Hours
// pass through the time that is given to the engine.

#include <gtest/gtest.h>
#include <glib.h>

#include <cmath>

#include "simulation.h"

extern "C" {
#include "eng_priv.h"
}

namespace
{

constexpr int64_t HOUR_MS = 3600000;
constexpr int64_t HALF_LIFE_MS = 4 * HOUR_MS;
constexpr int64_t OBJECTIVE_MS = 100000;
constexpr int64_t RUN_MS = 1000;

using Records = std::map<std::string, std::string>;

struct vh_slice str(const std::string &s)
{
	return vh_slice(s.data(), s.size());
}

std::string team_name(int i)
{
	return "t" + std::to_string(i);
}

// Past use in seconds of the cell after a share of it was held for some time.
double used_s(double share, int64_t ms)
{
	return share * HALF_LIFE_MS / 1000 / M_LN2 *
	       (1 - exp2(-(double)ms / HALF_LIFE_MS));
}

// An engine with one worker of 100 processors, whose tasks the test assigns and
// releases.
class Cell
{
      public:
	explicit Cell(int64_t half_life_ms = HALF_LIFE_MS,
		      int64_t now_ms = 1000)
	    : now(now_ms)
	{
		eng_settings s = {};
		eng_callbacks callbacks = {};
		eng_worker_info info = {};

		s.fence = 1;
		s.lease_ms = s.lease_max_ms = 5000;
		s.past_use_half_life_ms = half_life_ms;
		callbacks.hold = [](void *, const eng_hold_request *) {};
		callbacks.decided = on_decided;
		callbacks.ctx = this;
		e = eng_new(&s, &callbacks, now);
		info.id = vh_slice_str("w");
		info.service = vh_slice_str("svc");
		info.capacity = { 100000, 100000, 0 };
		eng_worker_listed(e, &info, now);
		worker = eng_worker_find(e, vh_slice_str("w"));
	}

	~Cell()
	{
		for (auto &t : placed)
			eng_task_release(e, t);
		eng_free(e);
	}

	void restore(const Records &records)
	{
		for (auto &r : records)
			eng_learned_restore(e, str(r.first), str(r.second),
					    now);
	}

	void recover(const Records &records = {})
	{
		restore(records);
		eng_recovery_done(e, now);
	}

	void set_weight(const std::string &name, double weight)
	{
		eng_team t = { str(name), weight, {} };

		eng_set_teams(e, &t, 1);
	}

	struct job *add(const std::string &team, int64_t target_ms,
			int64_t cpu = 1000, int64_t run_ms = RUN_MS)
	{
		eng_job_spec spec = {};
		eng_step_spec step = engine_sim::step(1, cpu, run_ms);
		vh_buf bytes = {};

		step.need.mem_mb = 0;
		spec.id = ++last_id;
		spec.service = vh_slice_str("svc");
		spec.team = str(team);
		spec.stretch = 1;
		spec.target_ms = target_ms;
		spec.received_ms = now;
		spec.steps = &step;
		spec.n_steps = 1;
		eng_job_pack(&spec, &bytes);
		eng_job_add(e, eng_job_unpack(vh_buf_slice(&bytes)), now, now);
		vh_buf_finish(&bytes);
		return (struct job *)g_hash_table_lookup(e->jobs, &last_id);
	}

	struct task *hold(const std::string &team, int64_t cpu)
	{
		struct task *t =
			&add(team, OBJECTIVE_MS, cpu)->steps[0].tasks[0];

		eng_task_assign(e, t, worker);
		eng_task_set_state(e, t, TASK_RUNNING);
		eng_step_update(e, t->step);
		placed.insert(t);
		return t;
	}

	void release(struct task *t)
	{
		e->now_ms = now;
		t->done = true; /* it does not wait again */
		t->step->n_done = 1;
		eng_task_release(e, t);
		t->step->n_waiting = 0;
		eng_step_update(e, t->step);
		placed.erase(t);
	}

	// A team holds processors for some time, and then none.
	void use(const std::string &team, int64_t cpu, int64_t ms)
	{
		struct task *t = hold(team, cpu);

		pass(ms);
		release(t);
	}

	void pass(int64_t ms)
	{
		now += ms;
		e->now_ms = now;
		eng_usage_refresh(e);
	}

	double past_use(const std::string &team)
	{
		struct team *t = eng_team_get(e, str(team));

		e->now_ms = now;
		eng_usage_charge(e, t);
		return t->usage.held.cpu_milli / 100000;
	}

	int level(const std::string &team)
	{
		struct team *t = eng_team_get(e, str(team));

		e->usage.refreshed_ms = 0;
		e->now_ms = now;
		eng_usage_refresh(e);
		return t->usage.level;
	}

	std::vector<uint64_t> order()
	{
		GPtrArray *steps = g_ptr_array_new();
		std::vector<uint64_t> ids;

		e->now_ms = now;
		eng_order_steps(e, steps);
		for (guint i = 0; i < steps->len; i++) {
			auto *s = (struct step *)steps->pdata[i];

			eng_usage_passed(e, s);
			ids.push_back(s->job->id);
		}
		g_ptr_array_free(steps, TRUE);
		return ids;
	}

	// Passes the learned records that are due to the store.
	size_t write(Records *store)
	{
		eng_record *records = nullptr;
		size_t n = 0;
		size_t learned = 0;
		uint64_t batch;

		e->now_ms = now;
		batch = eng_flush(e, &records, &n);
		for (size_t i = 0; i < n; i++) {
			if (!records[i].name)
				continue;
			learned++;
			(*store)[records[i].name] = std::string(
				records[i].bytes.data, records[i].bytes.len);
		}
		if (batch) {
			eng_records_free(records, n);
			eng_batch_stored(e, batch, now);
		}
		return learned;
	}

	static void on_decided(void *ctx, const eng_decision *d)
	{
		auto *c = (Cell *)ctx;

		if (!d->usage)
			return;
		c->waits.push_back({ d->task.job, d->usage->ahead_job });
		EXPECT_GT(d->usage->own.past_use_s, d->usage->ahead.past_use_s);
		EXPECT_GT(d->usage->shift_ms, 0);
	}

	int64_t now;
	uint64_t last_id = 0;
	struct engine *e;
	struct worker *worker;
	std::set<struct task *> placed;
	std::vector<std::pair<uint64_t, uint64_t>> waits;
};

TEST(Usage, DecaysWithTheHalfLife)
{
	Cell c;

	c.recover();
	c.use("a", 10000, 100000);
	EXPECT_NEAR(c.past_use("a"), used_s(0.1, 100000), 1e-6);
	EXPECT_NEAR(c.past_use("a"), 10, 0.1);
	c.pass(HALF_LIFE_MS);
	EXPECT_NEAR(c.past_use("a"), used_s(0.1, 100000) / 2, 1e-6);
}

// How often a team is charged must not change what it is charged.
TEST(Usage, TheChargeDoesNotDependOnItsIntervals)
{
	Cell once, often;

	once.recover();
	often.recover();
	once.hold("a", 50000);
	often.hold("a", 50000);
	once.pass(3 * HOUR_MS);
	for (int i = 0; i < 3 * 3600; i++)
		often.pass(1000);
	EXPECT_NEAR(once.past_use("a"), often.past_use("a"), 1e-3);
	EXPECT_NEAR(once.past_use("a"), used_s(0.5, 3 * HOUR_MS), 1e-3);
}

// The most used resource counts, not the sum.
TEST(Usage, ChargesTheDominantResource)
{
	Cell c;

	c.recover();
	struct team *a = eng_team_get(c.e, vh_slice_str("a"));
	struct team *b = eng_team_get(c.e, vh_slice_str("b"));

	c.pass(1000);
	a->used = { 10000, 40000, 2 };
	b->used = { 30000, 10000, 0 };
	c.pass(100000);
	EXPECT_NEAR(a->usage.past_use_s, used_s(0.4, 100000), 1e-6);
	EXPECT_NEAR(b->usage.past_use_s, used_s(0.3, 100000), 1e-6);
}

// Time that runs backwards must not count the same seconds twice.
TEST(Usage, AClockThatRunsBackwardsChangesNothing)
{
	Cell c;
	struct task *t;

	c.recover();
	t = c.hold("a", 10000);
	c.pass(100000);
	c.now -= 60000;
	EXPECT_NEAR(c.past_use("a"), used_s(0.1, 100000), 1e-6);
	c.pass(60000);
	EXPECT_NEAR(c.past_use("a"), used_s(0.1, 100000), 1e-6);
	c.release(t);
}

TEST(Usage, WeightsThatChangeTakeEffectAtOnce)
{
	Cell c;

	c.recover();
	c.set_weight("a", 1);
	c.set_weight("b", 1);
	c.use("a", 80000, 2 * HOUR_MS);
	c.use("b", 20000, 2 * HOUR_MS);
	EXPECT_GT(c.level("a"), c.level("b"));
	c.set_weight("a", 16);
	EXPECT_LT(c.level("a"), c.level("b"));
}

// A weight of zero is unlimited, not nothing.
TEST(Usage, ATeamWithoutAWeightCountsAsOneWithTheMeanWeight)
{
	Cell c;

	c.recover();
	c.set_weight("a", 8);
	c.set_weight("b", 8);
	c.use("a", 30000, 2 * HOUR_MS);
	c.use("b", 30000, 2 * HOUR_MS);
	c.use("c", 30000, 2 * HOUR_MS);
	EXPECT_EQ(c.level("a"), c.level("c"));
	EXPECT_EQ(c.level("b"), c.level("c"));
}

// A weight that makes no sense must not disturb the order of other teams.
TEST(Usage, WeightsThatMakeNoSenseCountAsTheMeanWeight)
{
	Cell c;
	const double weights[] = { NAN, INFINITY, -1, 1e-320, 1e300 };

	c.recover();
	c.set_weight("a", 1);
	c.use("a", 30000, 2 * HOUR_MS);
	c.use("b", 30000, 2 * HOUR_MS);
	for (double weight : weights) {
		c.set_weight("b", weight);
		EXPECT_EQ(c.level("a"), c.level("b")) << weight;
		EXPECT_TRUE(std::isfinite(c.e->usage.mean_s)) << weight;
	}
}

TEST(Usage, ATeamThatUsedLittleGoesFirst)
{
	Cell c;

	c.recover();
	c.use("heavy", 90000, 2 * HOUR_MS);
	c.use("light", 5000, 2 * HOUR_MS);
	uint64_t heavy = c.add("heavy", OBJECTIVE_MS)->id;
	uint64_t light = c.add("light", OBJECTIVE_MS * 5 / 4)->id;
	EXPECT_EQ(c.order(), (std::vector<uint64_t>{ light, heavy }));
	EXPECT_EQ(c.order().size(), 2u);
	// Reported once, with the job that goes first.
	EXPECT_EQ(c.waits, (decltype(c.waits){ { heavy, light } }));
}

// Noise in the past use must not reorder teams that used about the same.
TEST(Usage, TeamsOfAboutEqualPastUseKeepTheOrder)
{
	Cell c;

	c.recover();
	for (int i = 0; i < 8; i++)
		c.use(team_name(i), 50000 + 2500 * i, HOUR_MS / 4);
	for (int i = 0; i < 8; i++)
		c.add(team_name(i), OBJECTIVE_MS + 10 * ((i * 5) % 8));
	std::vector<uint64_t> with = c.order();
	c.e->settings.past_use_half_life_ms = 0;
	EXPECT_EQ(with, c.order());
}

// A cell that was hardly used must not take the first seconds for a habit.
TEST(Usage, TheFirstMinutesOfACellDoNotRankTeams)
{
	Cell c;

	c.recover();
	c.use("a", 50000, 30000);
	EXPECT_EQ(c.level("a"), c.level("b"));
}

// A step that a delay would make late is not delayed, however much its team
// used: not in its last moments, and not for a run that does not fit before it.
TEST(Usage, AStepInTimeIsNotMadeLate)
{
	Cell c;

	c.recover();
	c.use("heavy", 95000, 8 * HOUR_MS);
	ASSERT_EQ(c.level("heavy") - c.level("light"), 2);
	for (int64_t slack : { 0, 100, 500, 5000, 9999 }) {
		uint64_t heavy = c.add("heavy", slack)->id;
		uint64_t light = c.add("light", slack + 1, 1000, 10000)->id;
		std::vector<uint64_t> ids = c.order();
		auto at = [&](uint64_t id) {
			return std::find(ids.begin(), ids.end(), id);
		};

		EXPECT_LT(at(heavy), at(light)) << slack;
	}
}

// One room, two steps that both fit one after the other: the shift must not
// put the one that can wait first if the other is late then.
TEST(Usage, TwoStepsThatFitInTheirOrderBothEndInTime)
{
	std::mt19937_64 rng(1);
	int shifted = 0;

	for (int i = 0; i < 2000; i++) {
		Cell c;
		int64_t run[2], target[2];

		c.recover();
		eng_team_get(c.e, vh_slice_str("heavy"))->usage.held.cpu_milli =
			1e12;
		c.level("heavy");
		for (int k = 0; k < 2; k++) {
			run[k] = 1 + (int64_t)(rng() % 5000);
			target[k] = 600 + (int64_t)(rng() % 10000);
		}
		uint64_t heavy = c.add("heavy", target[0], 1, run[0])->id;
		c.add("light", target[1], 1, run[1]);
		/* With the later latest start, it is first by past use only. */
		if (c.order()[0] == heavy || target[1] <= target[0])
			continue;
		shifted++;
		// The objective is the run time plus the target.
		EXPECT_LE(run[1] + run[0], run[0] + target[0]) << i;
	}
	EXPECT_GT(shifted, 0);
}

// A team that is away for a week has the smallest past use, but its advantage
// ends as it uses the cell again, and it never exceeds half of what others can
// wait.
TEST(Usage, ATeamThatReturnsAfterAWeekHasABoundedAdvantage)
{
	Cell c;

	c.recover();
	c.use("away", 50000, HOUR_MS);
	for (int i = 0; i < 7 * 24; i++)
		c.use("here", 50000, HOUR_MS);
	EXPECT_LT(c.past_use("away"), 1e-6);
	EXPECT_EQ(c.level("away"), 0);
	struct step *s = &c.add("here", OBJECTIVE_MS)->steps[0];
	c.order();
	EXPECT_LE(s->order_ms - s->latest_start_ms, OBJECTIVE_MS / 2);
	struct task *t = c.hold("away", 50000);
	struct task *u = c.hold("here", 50000);
	c.pass(2 * HALF_LIFE_MS);
	EXPECT_EQ(c.level("away"), c.level("here"));
	c.release(t);
	c.release(u);
}

// A team that is split into several with parts of its weight gains nothing.
TEST(Usage, SplittingATeamGainsNothing)
{
	Cell whole, split;

	whole.recover();
	split.recover();
	whole.set_weight("x", 4);
	split.set_weight("x", 4);
	whole.set_weight("a", 4);
	whole.use("x", 20000, HOUR_MS);
	split.use("x", 20000, HOUR_MS);
	struct task *t = whole.hold("a", 80000);
	std::vector<struct task *> parts;
	for (int i = 0; i < 4; i++) {
		split.set_weight(team_name(i), 1);
		parts.push_back(split.hold(team_name(i), 20000));
	}
	whole.pass(2 * HOUR_MS);
	split.pass(2 * HOUR_MS);
	EXPECT_EQ(whole.level("x"), split.level("x"));
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(split.level(team_name(i)), whole.level("a"));
	whole.release(t);
	for (auto *p : parts)
		split.release(p);
}

// As its latest start comes near, a step loses its delay: newer steps of a team
// with less past use do not pass it for ever.
TEST(Usage, NoTeamStarves)
{
	Cell c;

	c.recover();
	c.use("heavy", 95000, 8 * HOUR_MS);
	uint64_t heavy = c.add("heavy", OBJECTIVE_MS)->id;
	for (int i = 0; i < 100; i++) {
		c.add("light", OBJECTIVE_MS);
		c.pass(1000);
	}
	EXPECT_EQ(c.order()[0], heavy);
	// Late steps as well: only what is late for two thirds as long passes.
	c.pass(OBJECTIVE_MS);
	uint64_t last = c.last_id;
	std::vector<uint64_t> ids = c.order();
	EXPECT_LT(std::find(ids.begin(), ids.end(), heavy),
		  std::find(ids.begin(), ids.end(), last));
}

// With the setting off, the order is that of the latest start, also if records
// of past use are in the store.
TEST(Usage, OffIsTheOrderWithout)
{
	Cell on;
	Cell off(0);
	Records store;
	std::mt19937_64 rng(2);

	on.recover();
	on.use("t0", 90000, HOUR_MS);
	on.write(&store);
	ASSERT_EQ(store.count("ut0"), 1u);
	off.recover(store);
	off.use("t1", 90000, HOUR_MS);
	std::vector<std::pair<int64_t, uint64_t>> expected;
	for (int i = 0; i < 500; i++) {
		int64_t target = (int64_t)(rng() % OBJECTIVE_MS);
		struct job *j = off.add(team_name(i % 65), target);

		expected.push_back({ target, j->id });
	}
	std::sort(expected.begin(), expected.end());
	std::vector<uint64_t> ids = off.order();
	ASSERT_EQ(ids.size(), expected.size());
	for (size_t i = 0; i < ids.size(); i++)
		EXPECT_EQ(ids[i], expected[i].second);
	off.pass(10000);
	store.clear();
	EXPECT_EQ(off.write(&store), 0u);
	EXPECT_EQ(off.past_use("t0") + off.past_use("t1"), 0);
}

TEST(Usage, ASuccessorStartsWithTheRecordsAndCountsNothingTwice)
{
	Cell former;
	Records store;

	former.recover();
	former.use("a", 50000, HOUR_MS);
	former.pass(5000);
	former.write(&store);
	double written = former.past_use("a");
	Cell next(HALF_LIFE_MS, 77); // another clock

	next.restore({ { "ua", std::string("\x94\x01\xcb", 3) } });
	next.hold("a", 50000); // placed by the former owner
	next.now += 2000;
	next.recover(store);
	next.restore(store); // too late, ignored
	next.now += 10000;
	EXPECT_NEAR(next.past_use("a"), written + 0.5 * 12, 2);
	EXPECT_GE(next.past_use("a"), written);
}

// An older record of the same team may be passed before the newer one.
TEST(Usage, TheLastRecordOfATeamCounts)
{
	Cell former, next;
	Records older, newer;

	former.recover();
	former.use("a", 50000, HOUR_MS);
	former.write(&older);
	former.use("a", 50000, HOUR_MS);
	former.write(&newer);
	next.restore(older);
	next.recover(newer);
	EXPECT_DOUBLE_EQ(next.past_use("a"), former.past_use("a"));
}

TEST(Usage, WithoutARecordASuccessorStartsFromNothing)
{
	Cell c;

	c.recover();
	EXPECT_EQ(c.past_use("a"), 0);
	EXPECT_EQ(c.level("a"), c.level("b"));
}

// What a lost owner loses: what was used since the last write, at most 5 s or a
// twentieth of the past use.
TEST(Usage, LostWritesLoseLittle)
{
	Cell former;
	Records store;
	double most = 0;

	former.recover();
	former.use("other", 100000, HOUR_MS);
	former.hold("a", 50000);
	for (int i = 0; i < 3600; i++) {
		former.pass(1000);
		former.write(&store);
		if (i % 60)
			continue;
		Cell next(HALF_LIFE_MS, 5);

		next.recover(store);
		double use = former.past_use("a");
		double lost = use - next.past_use("a");
		double mean = former.e->usage.mean_s + former.e->usage.prior_s;
		EXPECT_GE(lost, -1e-9);
		EXPECT_LE(lost, 0.06 * std::max(use, mean) + 2.5);
		most = std::max(most, lost);
	}
	EXPECT_GT(most, 0);
}

// The store takes nothing for an hour; the owner goes on counting.
TEST(Usage, AnOwnerGoesOnCountingWhileNothingIsWritten)
{
	Cell c;
	Records store;

	c.recover();
	c.hold("a", 50000);
	c.pass(HOUR_MS);
	c.write(&store);
	Cell next(HALF_LIFE_MS, 5);
	next.recover(store);
	EXPECT_DOUBLE_EQ(next.past_use("a"), c.past_use("a"));
}

// At most one write in 5 s, and few bytes: learned records share the store.
TEST(Usage, RecordsOf65TeamsAreSmallAndRare)
{
	Cell c;
	Records store;
	size_t bytes = 0;

	c.recover();
	for (int i = 0; i < 65; i++)
		c.hold(team_name(i), 1500);
	for (int i = 0; i < 3600; i++) {
		Records batch;

		c.pass(1000);
		c.write(&batch);
		for (auto &r : batch)
			bytes += r.first.size() + r.second.size();
		EXPECT_TRUE(batch.empty() || i % 5 == 0) << i;
	}
	EXPECT_GT(bytes, 0u);
	EXPECT_LT(bytes, 3600u * 100); // a tenth of 1 KB a second
}

// The store's keys have one byte for their length: a longer key would become
// that of another record.
TEST(Usage, TeamsWithNamesThatAreTooLongForAKeyHaveNoRecord)
{
	Cell c;
	Records store;

	c.recover();
	c.use(std::string(250, 'a'), 50000, HOUR_MS);
	c.use(std::string(251, 'b'), 50000, HOUR_MS);
	c.write(&store);
	ASSERT_EQ(store.size(), 1u);
	EXPECT_EQ(store.begin()->first, "u" + std::string(250, 'a'));
}

TEST(Usage, MalformedAndUnknownRecordsAreIgnored)
{
	Cell former, c;
	Records store;

	former.recover();
	former.use("a", 50000, HOUR_MS);
	former.write(&store);
	std::string good = store["ua"];
	std::string bad[] = {
		"",
		"x",
		good.substr(0, good.size() - 1),
		good + "x",
		std::string("\x94\x02") + good.substr(2),
		std::string("\x93\x01") + good.substr(2, 18),
		good.substr(0, 3) + "\xff" + good.substr(4), // negative
		good.substr(0, 3) + "\x7f\xf0" + good.substr(5),
		good.substr(0, 3) + "\x7f\xe0" + good.substr(5) // too large
	};

	ASSERT_EQ(good.size(), 29u);
	for (auto &b : bad)
		EXPECT_FALSE(eng_learned_restore(c.e, vh_slice_str("ua"),
						 str(b), c.now))
			<< b.size();
	EXPECT_FALSE(
		eng_learned_restore(c.e, vh_slice_str("xa"), str(good), c.now));
	EXPECT_FALSE(eng_learned_restore(
		c.e, str("u" + std::string(ENG_NAME_MAX + 1, 'a')), str(good),
		c.now));
	c.recover();
	EXPECT_EQ(c.past_use("a"), 0);
}

// The order must be total, with the levels of 65 teams and late steps, since a
// sort with an inconsistent order may lose its way.
TEST(Usage, TheOrderOf65TeamsIsTotal)
{
	Cell c;
	std::mt19937_64 rng(3);

	c.recover();
	for (int i = 0; i < 65; i++)
		eng_team_get(c.e, str(team_name(i)))->usage.held.cpu_milli =
			1e9 * exp2(i % 9);
	c.level("t0");
	for (int i = 0; i < 650; i++)
		c.add(team_name(i % 65), (int64_t)(rng() % OBJECTIVE_MS));
	c.now += OBJECTIVE_MS / 2;
	std::vector<uint64_t> ids = c.order();
	std::map<std::string, int64_t> last;
	GPtrArray *steps = g_ptr_array_new();
	eng_order_steps(c.e, steps);
	for (guint i = 1; i < steps->len; i++) {
		auto *a = (struct step *)steps->pdata[i - 1];
		auto *b = (struct step *)steps->pdata[i];

		EXPECT_LE(a->tier, b->tier);
		EXPECT_TRUE(a->tier < b->tier || a->order_ms <= b->order_ms);
		EXPECT_GE(b->order_ms, b->latest_start_ms);
	}
	// Steps of one team keep their order.
	for (guint i = 0; i < steps->len; i++) {
		auto *s = (struct step *)steps->pdata[i];
		std::string key = std::string(s->job->team->name) + "/" +
				  std::to_string(s->tier);

		EXPECT_TRUE(!last.count(key) ||
			    last[key] <= s->latest_start_ms);
		last[key] = s->latest_start_ms;
	}
	g_ptr_array_free(steps, TRUE);
	EXPECT_EQ(ids.size(), 650u);
}

// All invariants of the simulation hold with past use, faults and takeovers.
TEST(Usage, TheSimulationHoldsItsInvariants)
{
	for (uint64_t seed = 1; seed <= 5; seed++) {
		engine_sim::Faults f;

		f.lose_reply = 0.03;
		f.crash = 0.2;
		f.takeover = 0.1;
		f.slow_store = 0.1;
		engine_sim::Simulation sim(seed, f, 6);

		sim.past_use_half_life_ms = 60000;
		sim.take_over();
		for (uint64_t id = 1; id <= 130; id++) {
			sim.team = team_name((int)(id % 65));
			sim.submit(id,
				   { engine_sim::step(2, 4000 + 90 * id, 500) },
				   id % 3);
			sim.run_for(200, true);
		}
		sim.run_for(60000, false);
		for (auto &v : sim.violations)
			ADD_FAILURE() << seed << ": " << v;
		EXPECT_FALSE(sim.learned_records.empty());
		EXPECT_EQ(sim.count_jobs(ENG_COMPLETE) +
				  sim.count_jobs(ENG_FAILED),
			  130u);
	}
}

} // namespace
