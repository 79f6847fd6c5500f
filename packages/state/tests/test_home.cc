#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "vh/credit.h"
#include "vh/home.h"
#include "vh/invariant.h"
}

static std::string str(struct vh_slice s)
{
	return std::string(s.data ? s.data : "", s.len);
}

static struct vh_slice slice(const std::string &s)
{
	return vh_slice(s.data(), s.size());
}

static const int64_t DAY_MS = 86400000;

/* A home and the records of its stream. */
class HomeTest : public ::testing::Test
{
      protected:
	struct Record {
		uint64_t epoch;
		uint32_t kind;
		std::string body;
	};
	std::vector<Record> log;
	struct vh_home *h = NULL;
	int64_t now = 1000, wall = 5000000;
	uint64_t epoch = 0;
	std::vector<std::string> racks = { "a-r1", "b-r1" };
	std::vector<std::string> end_bodies; /* from vh_home_expire() */

	void SetUp() override
	{
		vh_invariant_set_abort(true);
		h = home_new(0);
		open(10);
	}
	void TearDown() override
	{
		vh_home_free(h);
		vh_invariant_set_abort(false);
	}
	static struct vh_home *home_new(uint32_t index)
	{
		struct vh_home_settings s = {};

		s.team = vh_slice_str("shop");
		s.index = index;
		s.homes = 1;
		s.dedupe_window_ms = DAY_MS;
		s.max_attempts = 3;
		return vh_home_new(&s);
	}
	void append(uint32_t kind, const std::string &body)
	{
		log.push_back({ epoch, kind, body });
		vh_home_apply(h, log.size(), epoch, kind, slice(body), now);
	}
	void open(uint64_t e)
	{
		std::vector<struct vh_slice> names;

		epoch = e;
		append(VH_REC_OPEN, "");
		for (auto &r : racks)
			names.push_back(slice(r));
		vh_home_open(h, e, names.data(), names.size(), now);
	}
	void reconcile_all()
	{
		for (auto &r : racks)
			vh_home_rack_reconciled(h, slice(r));
	}
	/* A new process replays the log and owns the home. */
	void takeover(uint64_t e)
	{
		vh_home_free(h);
		h = home_new(0);
		for (size_t i = 0; i < log.size(); i++)
			vh_home_apply(h, i + 1, log[i].epoch, log[i].kind,
				      slice(log[i].body), now);
		open(e);
	}
	enum vh_submit_result submit(const std::string &key,
				     uint64_t fingerprint, uint32_t n,
				     bool idempotent, struct vh_job **job,
				     bool durable = true)
	{
		std::vector<struct vh_task_spec> tasks(n);
		struct vh_job_spec spec = {};
		enum vh_submit_result res;
		struct vh_buf body;

		for (auto &t : tasks)
			t.size.v[VH_CPU] = 1000;
		spec.queue = vh_slice_str("q");
		spec.cls = cls;
		spec.priority = priority;
		spec.deadline_ms = deadline;
		spec.idempotent = idempotent;
		spec.n_tasks = n;
		spec.tasks = tasks.data();
		vh_buf_init(&body);
		res = vh_home_submit(h, slice(key), fingerprint, &spec, wall,
				     now, &body, job);
		if (res == VH_SUBMIT_NEW && durable)
			append(VH_REC_JOB, str(vh_buf_slice(&body)));
		vh_buf_finish(&body);
		return res;
	}
	struct vh_job *job(uint32_t n, bool idempotent = true)
	{
		struct vh_job *j;

		EXPECT_EQ(submit("k" + std::to_string(++keys), 1, n, idempotent,
				 &j),
			  VH_SUBMIT_NEW);
		return j;
	}
	enum vh_err begin(struct vh_task *t, const char *rack = "a-r1",
			  bool durable = true)
	{
		struct vh_buf body;
		enum vh_err err;

		vh_buf_init(&body);
		err = vh_home_start_attempt(h, t, vh_slice_str(rack), &body);
		if (err == VH_OK && body.len && durable)
			append(VH_REC_ATTEMPT, str(vh_buf_slice(&body)));
		vh_buf_finish(&body);
		return err;
	}
	bool ended(const std::string &task, uint32_t attempt, enum vh_end end,
		   bool durable = true)
	{
		struct vh_ended_task e = {};
		struct vh_buf body;
		bool record;

		vh_buf_init(&body);
		e.task = slice(task);
		e.attempt = attempt;
		e.end = end;
		e.result = vh_slice_str("out");
		record = vh_home_attempt_ended(h, &e, now, &body);
		if (record && durable)
			append(VH_REC_END, str(vh_buf_slice(&body)));
		vh_buf_finish(&body);
		return record;
	}
	void reconcile_run(const std::string &task, uint32_t attempt,
			   const char *rack)
	{
		struct vh_running_task run = {};

		run.task = slice(task);
		run.attempt = attempt;
		vh_home_reconcile_run(h, vh_slice_str(rack), &run,
				      vh_slice_str("w"));
	}
	static void on_expired(void *ctx, struct vh_slice body)
	{
		((HomeTest *)ctx)->end_bodies.push_back(str(body));
	}
	size_t expire()
	{
		end_bodies.clear();
		vh_home_expire(h, now, wall, on_expired, this);
		for (auto &n : end_bodies)
			append(VH_REC_END, n);
		return end_bodies.size();
	}
	size_t waiting()
	{
		struct vh_task *out[64];

		return vh_home_waiting(h, now, out, 64);
	}
	std::string name(struct vh_task *t)
	{
		return str(t->job->id) + "/" + std::to_string(t->index);
	}

	int keys = 0;
	enum vh_class cls = VH_CLASS_BATCH;
	uint32_t priority = 0;
	uint32_t deadline = 0;
};

TEST_F(HomeTest, KeyFindsItsFirstJobAlsoAfterTakeover)
{
	struct vh_job *a, *b;

	EXPECT_EQ(submit("k", 7, 1, true, &a), VH_SUBMIT_NEW);
	std::string id = str(a->id);
	EXPECT_EQ(id, "shop.0.a.0");
	EXPECT_EQ(submit("k", 7, 1, true, &b), VH_SUBMIT_DUPLICATE);
	EXPECT_EQ(a, b);
	EXPECT_EQ(submit("k", 8, 1, true, &b), VH_SUBMIT_CONFLICT);
	takeover(20);
	EXPECT_EQ(submit("k", 7, 1, true, &b), VH_SUBMIT_DUPLICATE);
	EXPECT_EQ(str(b->id), id);
	EXPECT_EQ(submit("k", 8, 1, true, &b), VH_SUBMIT_CONFLICT);
	EXPECT_EQ(submit("k2", 8, 1, true, &b), VH_SUBMIT_NEW);
	EXPECT_EQ(str(b->id), "shop.0.14.0");
}

TEST_F(HomeTest, RefusedAppendFreesTheKey)
{
	struct vh_job *j;

	submit("k", 7, 1, true, &j, false);
	EXPECT_EQ(waiting(), 0u); /* not durable */
	vh_home_submit_failed(h, j);
	EXPECT_EQ(submit("k", 8, 1, true, &j), VH_SUBMIT_NEW);
	EXPECT_EQ(waiting(), 1u);
}

TEST_F(HomeTest, KeysExpireAfterTheDedupeWindow)
{
	struct vh_home_counts c;
	struct vh_job *j;

	submit("old", 7, 1, true, &j);
	std::string task = name(&j->tasks[0]);
	struct vh_job *open_job = job(1);
	begin(&j->tasks[0]);
	ended(task, 1, VH_END_DONE);
	wall += DAY_MS - 1;
	job(1);
	EXPECT_EQ(submit("old", 7, 1, true, &j), VH_SUBMIT_DUPLICATE);
	wall += 2;
	job(1);
	EXPECT_EQ(submit("old", 7, 1, true, &j), VH_SUBMIT_NEW);
	vh_home_counts(h, &c);
	EXPECT_EQ(c.jobs, 4u); /* the unfinished one is kept */
	EXPECT_EQ(vh_home_job(h, open_job->id), open_job);
}

TEST_F(HomeTest, WaitingIsInOrderOfClassPriorityAndAcceptance)
{
	struct {
		enum vh_class cls;
		uint32_t priority;
	} rows[] = { { VH_CLASS_BATCH, 1 },  { VH_CLASS_SERVICE, 0 },
		     { VH_CLASS_BATCH, 5 },  { VH_CLASS_URGENT, 0 },
		     { VH_CLASS_BATCH, 5 },  { VH_CLASS_URGENT, 2 },
		     { VH_CLASS_SERVICE, 9 } };
	const char *order[] = { "shop.0.a.5", "shop.0.a.3", "shop.0.a.6",
				"shop.0.a.1", "shop.0.a.2", "shop.0.a.4",
				"shop.0.a.0" };
	struct vh_task *out[16];

	for (auto &r : rows) {
		cls = r.cls;
		priority = r.priority;
		job(2);
	}
	ASSERT_EQ(vh_home_waiting(h, now, out, 16), 14u);
	for (size_t i = 0; i < 14; i++) {
		EXPECT_EQ(str(out[i]->job->id), order[i / 2]);
		EXPECT_EQ(out[i]->index, i % 2);
	}
	EXPECT_EQ(vh_home_waiting(h, now, out, 3), 3u);
}

TEST_F(HomeTest, IdempotentTaskIsRetriedUpToMaxAttempts)
{
	reconcile_all();
	struct vh_task *t = &job(1)->tasks[0];
	std::string task = name(t);

	for (uint32_t i = 1; i <= 2; i++) {
		EXPECT_EQ(begin(t), VH_OK);
		EXPECT_EQ(t->attempt, i);
		vh_home_attempt_started(h, t, i, vh_slice_str("w"));
		EXPECT_EQ(t->state, VH_TASK_RUNNING);
		EXPECT_FALSE(ended(task, i, VH_END_LOST));
		EXPECT_EQ(t->state, VH_TASK_WAITING);
	}
	begin(t);
	vh_home_attempt_not_started(h, t, 3, VH_ERR_NO_CAPACITY, now + 100);
	EXPECT_EQ(waiting(), 0u);
	now += 100;
	EXPECT_EQ(waiting(), 1u);
	begin(t);
	EXPECT_FALSE(ended(task, 3, VH_END_DONE)); /* of an earlier attempt */
	EXPECT_TRUE(ended(task, 4, VH_END_LOST));
	EXPECT_EQ(t->state, VH_TASK_ENDED);
	EXPECT_TRUE(t->unknown);
	EXPECT_FALSE(ended(task, 4, VH_END_LOST)); /* already recorded */
}

TEST_F(HomeTest, EndIsTheSameForEveryReader)
{
	reconcile_all();
	struct vh_task *t = &job(2)->tasks[0];
	std::string task = name(t);

	begin(t);
	EXPECT_TRUE(ended(task, 1, VH_END_FAILED, false));
	EXPECT_EQ(t->state, VH_TASK_ENDING);
	EXPECT_TRUE(ended(task, 1, VH_END_FAILED)); /* reported again */
	takeover(20);
	t = vh_home_task(h, slice(task));
	EXPECT_EQ(t->state, VH_TASK_ENDED);
	EXPECT_EQ(t->end, VH_END_FAILED);
	EXPECT_EQ(str(t->result), "out");
	EXPECT_EQ(t->job->n_unfinished, 1u);
}

TEST_F(HomeTest, EndWhoseRecordWasRefusedIsRecordedLater)
{
	reconcile_all();
	struct vh_task *t = &job(1)->tasks[0];

	begin(t);
	EXPECT_TRUE(ended(name(t), 1, VH_END_DONE, false));
	EXPECT_EQ(expire(), 0u);
	now += 60000;
	EXPECT_EQ(expire(), 1u);
	EXPECT_EQ(t->state, VH_TASK_ENDED);
	EXPECT_EQ(t->end, VH_END_DONE);
}

TEST_F(HomeTest, NonIdempotentStartIsRecordedFirstAndRunsOnce)
{
	reconcile_all();
	struct vh_task *t = &job(1, false)->tasks[0];

	EXPECT_EQ(begin(t, "a-r1", false), VH_OK);
	EXPECT_EQ(t->state, VH_TASK_RECORDING);
	vh_home_attempt_not_started(h, t, 1, VH_ERR_LOG_UNAVAILABLE, now);
	EXPECT_EQ(begin(t), VH_OK);
	EXPECT_EQ(t->state, VH_TASK_REQUESTED); /* the record is applied */
	/* certainly not begun: another attempt is allowed */
	vh_home_attempt_not_started(h, t, 2, VH_ERR_NO_CAPACITY, now);
	EXPECT_EQ(begin(t), VH_OK);
	EXPECT_TRUE(ended(name(t), 3, VH_END_LOST));
	EXPECT_EQ(t->state, VH_TASK_ENDED);
	EXPECT_TRUE(t->unknown);
	EXPECT_FALSE(t->not_run);
	EXPECT_EQ(waiting(), 0u);
}

TEST_F(HomeTest, TakeoverStartsNothingThatMayRun)
{
	reconcile_all();
	struct vh_job *many = job(3);
	struct vh_job *once = job(2, false);
	std::string m = str(many->id), o = str(once->id);

	begin(&many->tasks[0]);
	begin(&many->tasks[1]);
	begin(&once->tasks[0]);
	takeover(20);
	many = vh_home_job(h, slice(m));
	once = vh_home_job(h, slice(o));
	EXPECT_EQ(vh_home_unreconciled_racks(h), 2u);
	for (int i = 0; i < 3; i++) {
		EXPECT_EQ(many->tasks[i].state, VH_TASK_UNCONFIRMED);
		EXPECT_EQ(begin(&many->tasks[i]), VH_ERR_NOT_READY);
	}
	EXPECT_EQ(once->tasks[0].state, VH_TASK_UNCONFIRMED);
	EXPECT_EQ(once->tasks[1].state, VH_TASK_WAITING); /* never requested */
	reconcile_run(m + "/0", 1, "a-r1");
	vh_home_rack_reconciled(h, vh_slice_str("a-r1"));
	EXPECT_EQ(many->tasks[0].state, VH_TASK_RUNNING);
	EXPECT_EQ(many->tasks[1].state, VH_TASK_UNCONFIRMED);
	vh_home_rack_reconciled(h, vh_slice_str("b-r1"));
	EXPECT_EQ(many->tasks[1].state, VH_TASK_WAITING);
	EXPECT_EQ(expire(), 1u); /* attempted, outcome unknown */
	EXPECT_EQ(once->tasks[0].state, VH_TASK_ENDED);
	EXPECT_TRUE(once->tasks[0].unknown);
	/* new attempts continue from the owner's own range */
	begin(&many->tasks[1]);
	EXPECT_EQ(many->tasks[1].attempt, 65537u);
	EXPECT_TRUE(ended(m + "/0", 1, VH_END_DONE));
}

TEST_F(HomeTest, EndBeforeReconciliationIsFinalOnlyIfNoLaterAttemptIsPossible)
{
	struct {
		bool idempotent;
		enum vh_end end;
		uint32_t attempt;
		bool record;
		enum vh_task_state reconciled; /* no runs reported */
	} rows[] = {
		{ true, VH_END_DONE, 1, false, VH_TASK_WAITING },
		{ true, VH_END_FAILED, 1, false, VH_TASK_WAITING },
		{ true, VH_END_LOST, 1, false, VH_TASK_WAITING },
		{ true, VH_END_STOPPED, 1, false, VH_TASK_WAITING },
		{ true, VH_END_NOT_STARTED, 1, false, VH_TASK_WAITING },
		{ false, VH_END_DONE, 1, true, VH_TASK_ENDED },
		{ false, VH_END_LOST, 1, true, VH_TASK_ENDED },
		{ false, VH_END_NOT_STARTED, 1, false, VH_TASK_ENDED },
		{ false, VH_END_NOT_STARTED, 0, false, VH_TASK_ENDED },
	};
	uint64_t next_epoch = 20;

	for (auto &r : rows) {
		reconcile_all();
		struct vh_task *t = &job(1, r.idempotent)->tasks[0];
		std::string task = name(t);

		begin(t);
		uint32_t attempt = t->attempt;
		takeover(next_epoch++);
		struct vh_ended_task e = {};

		e.task = slice(task);
		e.end = r.end;
		EXPECT_EQ(vh_home_must_defer_end(h, &e),
			  r.idempotent || r.end == VH_END_NOT_STARTED);
		EXPECT_EQ(ended(task, attempt - 1 + r.attempt, r.end),
			  r.record);
		t = vh_home_task(h, slice(task));
		EXPECT_EQ(t->state,
			  r.record ? VH_TASK_ENDED : VH_TASK_UNCONFIRMED);
		reconcile_all();
		expire();
		EXPECT_EQ(t->state, r.reconciled) << vh_end_name(r.end);
	}
}

TEST_F(HomeTest, CompletedOldAttemptDoesNotEndALaterOne)
{
	reconcile_all();
	struct vh_task *t = &job(1)->tasks[0];
	std::string task = name(t);

	begin(t, "a-r1");
	ended(task, 1, VH_END_LOST); /* its worker was unreachable */
	begin(t, "b-r1");
	takeover(20);
	t = vh_home_task(h, slice(task));
	EXPECT_FALSE(ended(task, 1, VH_END_DONE)); /* it completed after all */
	reconcile_run(task, 1, "a-r1");
	reconcile_run(task, 2, "b-r1");
	reconcile_all();
	EXPECT_EQ(t->state, VH_TASK_RUNNING);
	EXPECT_FALSE(ended(task, 1, VH_END_DONE));
	EXPECT_EQ(t->state, VH_TASK_RUNNING);
	EXPECT_TRUE(ended(task, 2, VH_END_DONE));
}

TEST_F(HomeTest, LostRunReleasesNothingWhileALaterAttemptMayRun)
{
	reconcile_all();
	struct vh_task *t = &job(1)->tasks[0];
	std::string task = name(t);
	struct vh_ended_task e = {};

	begin(t, "a-r1");
	ended(task, 1, VH_END_LOST);
	begin(t, "b-r1");
	takeover(20);
	t = vh_home_task(h, slice(task));
	reconcile_run(task, 1, "a-r1"); /* its end is not acknowledged there */
	vh_home_rack_reconciled(h, vh_slice_str("a-r1"));
	e.task = slice(task);
	e.attempt = 1;
	e.end = VH_END_LOST;
	EXPECT_TRUE(vh_home_must_defer_end(h, &e));
	vh_home_rack_owner_changed(h, vh_slice_str("a-r1"));
	vh_home_rack_reconciled(h, vh_slice_str("a-r1")); /* now acked */
	EXPECT_EQ(t->state, VH_TASK_UNCONFIRMED);
	reconcile_run(task, 2, "b-r1");
	vh_home_rack_reconciled(h, vh_slice_str("b-r1"));
	EXPECT_EQ(t->state, VH_TASK_RUNNING);
	EXPECT_EQ(t->attempt, 2u);
	EXPECT_FALSE(vh_home_must_defer_end(h, &e));
	EXPECT_FALSE(ended(task, 1, VH_END_LOST));
	EXPECT_EQ(t->state, VH_TASK_RUNNING);
}

TEST_F(HomeTest, NewRackOwnerReportsLostRuns)
{
	struct vh_slice rack = vh_slice_str("a-r1");

	reconcile_all();
	struct vh_job *j = job(4);
	struct vh_job *once = job(1, false);

	for (int i = 0; i < 3; i++)
		begin(&j->tasks[i]);
	begin(&once->tasks[0]);
	vh_home_attempt_started(h, &j->tasks[0], 1, vh_slice_str("w"));
	vh_home_attempt_started(h, &j->tasks[1], 1, vh_slice_str("w"));
	vh_home_attempt_started(h, &once->tasks[0], 1, vh_slice_str("w"));
	vh_home_rack_owner_changed(h, rack);
	EXPECT_TRUE(vh_home_rack_is_unreconciled(h, rack));
	EXPECT_EQ(vh_home_unreconciled_racks(h), 0u); /* other tasks continue */
	EXPECT_EQ(begin(&j->tasks[3], "a-r1"), VH_OK);
	/* the old owner's notice arrives late */
	vh_home_attempt_started(h, &j->tasks[2], 1, vh_slice_str("w"));
	reconcile_run(name(&j->tasks[0]), 1, "a-r1");
	vh_home_rack_reconciled(h, rack);
	EXPECT_EQ(j->tasks[0].state, VH_TASK_RUNNING);
	EXPECT_EQ(j->tasks[1].state, VH_TASK_WAITING);
	EXPECT_EQ(j->tasks[1].lost, 1u);
	EXPECT_EQ(j->tasks[2].state, VH_TASK_WAITING);
	EXPECT_EQ(j->tasks[3].state, VH_TASK_REQUESTED); /* of new owner */
	EXPECT_EQ(expire(), 1u);
	EXPECT_TRUE(once->tasks[0].unknown);
}

TEST_F(HomeTest, RemovedRackLosesItsRuns)
{
	reconcile_all();
	struct vh_job *j = job(2);

	begin(&j->tasks[0], "a-r1");
	begin(&j->tasks[1], "b-r1");
	takeover(20);
	j = vh_home_job(h, vh_slice_str("shop.0.a.0"));
	ASSERT_TRUE(j);
	reconcile_run(name(&j->tasks[1]), 1, "b-r1");
	vh_home_rack_removed(h, vh_slice_str("a-r1"));
	EXPECT_EQ(vh_home_unreconciled_racks(h), 1u);
	vh_home_rack_reconciled(h, vh_slice_str("b-r1"));
	EXPECT_EQ(j->tasks[0].state, VH_TASK_WAITING);
	EXPECT_EQ(j->tasks[1].state, VH_TASK_RUNNING);
	vh_home_rack_removed(h, vh_slice_str("b-r1"));
	EXPECT_EQ(j->tasks[1].state, VH_TASK_WAITING);
}

TEST_F(HomeTest, LimitCountsAllThatMayRun)
{
	struct vh_limit limit = {};

	limit.tasks = 3;
	for (int d = 0; d < VH_DIM_COUNT; d++)
		limit.running.v[d] = VH_RES_UNLIMITED;
	vh_home_set_limit(h, &limit);
	reconcile_all();
	struct vh_job *j = job(5);
	std::string id = str(j->id);
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(begin(&j->tasks[i]), VH_OK);
	EXPECT_EQ(begin(&j->tasks[3]), VH_ERR_LIMIT_REACHED);
	takeover(20);
	vh_home_set_limit(h, &limit);
	/* no rack has reported yet, so all tasks may be running */
	struct vh_job *other = job(1);
	EXPECT_EQ(begin(&other->tasks[0]), VH_ERR_LIMIT_REACHED);
	j = vh_home_job(h, slice(id));
	reconcile_run(name(&j->tasks[0]), 1, "a-r1");
	reconcile_run(name(&j->tasks[1]), 1, "a-r1");
	reconcile_all();
	EXPECT_EQ(begin(&other->tasks[0]), VH_OK);
	EXPECT_EQ(begin(&j->tasks[3]), VH_ERR_LIMIT_REACHED);
	ended(name(&j->tasks[0]), 1, VH_END_DONE);
	EXPECT_EQ(begin(&j->tasks[3]), VH_OK);
	limit.tasks = 10;
	limit.running.v[VH_CPU] = 3500;
	vh_home_set_limit(h, &limit);
	EXPECT_EQ(begin(&j->tasks[4]), VH_ERR_LIMIT_REACHED);
	vh_home_set_limit(h, NULL);
	EXPECT_EQ(begin(&j->tasks[4]), VH_OK);
}

TEST_F(HomeTest, CancelEndsWaitingTasksAndReportsNotRunOnlyIfCertain)
{
	reconcile_all();
	struct vh_job *j = job(4);
	std::string id = str(j->id);
	struct vh_buf body;

	begin(&j->tasks[0]);
	begin(&j->tasks[1]);
	vh_home_attempt_started(h, &j->tasks[1], 1, vh_slice_str("w"));
	EXPECT_FALSE(ended(name(&j->tasks[1]), 1, VH_END_LOST));
	vh_buf_init(&body);
	EXPECT_TRUE(vh_home_cancel(h, j, &body));
	EXPECT_EQ(waiting(), 0u); /* nothing starts meanwhile */
	EXPECT_EQ(begin(&j->tasks[2]), VH_ERR_CANCELLED);
	append(VH_REC_CANCEL, str(vh_buf_slice(&body)));
	vh_buf_clear(&body);
	EXPECT_FALSE(vh_home_cancel(h, j, &body));
	vh_buf_finish(&body);
	for (int pass = 0; pass < 2; pass++) {
		EXPECT_TRUE(j->cancelled);
		EXPECT_EQ(j->n_unfinished, 1u);
		EXPECT_FALSE(j->tasks[1].not_run);
		EXPECT_TRUE(j->tasks[1].unknown);
		EXPECT_TRUE(j->tasks[2].not_run);
		EXPECT_TRUE(j->tasks[3].not_run);
		takeover(20 + (uint64_t)pass);
		j = vh_home_job(h, slice(id));
	}
	reconcile_run(id + "/0", 1, "a-r1");
	reconcile_all();
	EXPECT_TRUE(ended(id + "/0", 1, VH_END_STOPPED));
	EXPECT_EQ(j->n_unfinished, 0u);
}

TEST_F(HomeTest, DeadlineEndsWaitingTasksAlsoAfterTakeover)
{
	deadline = 5000;
	struct vh_job *j = job(2);
	std::string id = str(j->id);

	reconcile_all();
	begin(&j->tasks[0]);
	now += 4999;
	wall += 4999;
	EXPECT_EQ(expire(), 0u);
	EXPECT_EQ(waiting(), 1u);
	takeover(20);
	now += 700000; /* another machine's clock */
	wall += 1;
	reconcile_run(id + "/0", 1, "a-r1");
	reconcile_all();
	EXPECT_EQ(expire(), 1u);
	j = vh_home_job(h, slice(id));
	EXPECT_EQ(j->tasks[0].state, VH_TASK_RUNNING);
	EXPECT_EQ(j->tasks[1].state, VH_TASK_ENDED);
}

TEST_F(HomeTest, RequestsRunAtMostOnce)
{
	struct vh_slice key = vh_slice_str("r");
	struct vh_buf body;
	uint32_t status;

	vh_buf_init(&body);
	EXPECT_EQ(vh_home_request(h, key, 3, wall, &body, &status),
		  VH_REQUEST_NEW);
	std::string record = str(vh_buf_slice(&body));
	/* a repeat finds the first one even before its record is durable */
	EXPECT_EQ(vh_home_request(h, key, 3, wall, &body, &status),
		  VH_REQUEST_UNDER_WAY);
	vh_home_request_failed(h, key);
	vh_buf_clear(&body);
	EXPECT_EQ(vh_home_request(h, key, 3, wall, &body, &status),
		  VH_REQUEST_NEW);
	append(VH_REC_REQUEST, record);
	vh_home_request_failed(h, key); /* no effect now */
	takeover(20);
	EXPECT_EQ(vh_home_request(h, key, 3, wall, &body, &status),
		  VH_REQUEST_UNDER_WAY);
	EXPECT_EQ(vh_home_request(h, key, 4, wall, &body, &status),
		  VH_REQUEST_CONFLICT);
	vh_buf_clear(&body);
	vh_home_request_ended(h, key, 200, &body);
	append(VH_REC_REQUEST_END, str(vh_buf_slice(&body)));
	takeover(30);
	EXPECT_EQ(vh_home_request(h, key, 3, wall, &body, &status),
		  VH_REQUEST_ENDED);
	EXPECT_EQ(status, 200u);
	vh_buf_clear(&body);
	vh_home_request_ended(h, key, 0, &body);
	append(VH_REC_REQUEST_END, str(vh_buf_slice(&body)));
	EXPECT_EQ(vh_home_request(h, key, 3, wall, &body, &status),
		  VH_REQUEST_NEW);
	vh_buf_finish(&body);
}

TEST_F(HomeTest, OpenOfANewerOwnerClosesTheHome)
{
	reconcile_all();
	struct vh_job *j = job(1);

	epoch = 30;
	append(VH_REC_OPEN, "");
	EXPECT_EQ(vh_home_epoch(h), 0u);
	EXPECT_EQ(waiting(), 0u);
	EXPECT_EQ(begin(&j->tasks[0]), VH_ERR_NOT_OWNER);
}

TEST_F(HomeTest, ReconciledRunMayStillBeRefused)
{
	reconcile_all();
	struct vh_task *t = &job(1, false)->tasks[0];
	std::string task = name(t);

	begin(t);
	takeover(20);
	reconcile_run(task, 1, "a-r1"); /* committed, not yet sent */
	reconcile_all();
	t = vh_home_task(h, slice(task));
	EXPECT_EQ(t->state, VH_TASK_RUNNING);
	vh_home_attempt_not_started(h, t, 1, VH_ERR_DEADLINE,
				    now); /* a late reply */
	EXPECT_EQ(t->state, VH_TASK_RUNNING);
	EXPECT_FALSE(ended(task, 1, VH_END_NOT_STARTED));
	EXPECT_EQ(begin(t), VH_OK);
}

TEST_F(HomeTest, MalformedRecordsChangeNothing)
{
	struct vh_home_counts c;

	for (uint32_t kind = 0; kind < 40; kind++) {
		append(kind, "");
		append(kind, "\x91\x01");
		append(kind,
		       std::string("\x95\xc4\x01x\xc4\x01y\x01\x01\xc4\x00",
				   11));
	}
	vh_home_counts(h, &c);
	EXPECT_EQ(c.jobs, 0u);
	EXPECT_EQ(c.keys, 0u);
}
