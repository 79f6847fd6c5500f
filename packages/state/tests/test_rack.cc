#include <gtest/gtest.h>

#include <memory>
#include <set>

#include "fake_log.h"
#include "fake_worker.h"

extern "C" {
#include "vh/invariant.h"
#include "vh/rack.h"
}

enum Delivery {
	DELIVER,
	LOSE_REQUEST,
	LOSE_REPLY,
	UNREACHABLE
};

static const int64_t LEASE = 6000, RENEW = 2000, VOID_MS = 3000, MARGIN = 500;

class RackTest : public ::testing::Test
{
      protected:
	Events events;
	std::vector<std::unique_ptr<FakeWorker>> workers;
	struct vh_rack *r = NULL;
	std::vector<std::string> notices; /* the rack's notices, in order */
	bool ack_ends = true;
	bool claims_fresh = true;
	bool ignore_capacity = false; /* choose() ignores the capacity */
	int64_t latency = 1;
	std::function<Delivery(const FakeWorker &)> delivery;
	std::map<std::string, int> begin_count;

	void SetUp() override
	{
		vh_invariant_set_abort(true);
		for (int i = 0; i < 2; i++) {
			struct vh_res cap = { { 4000, 1000, 0, 8, 64 } };

			workers.push_back(std::make_unique<FakeWorker>(
				"w" + std::to_string(i), cap,
				1000000 * (i + 1)));
			workers.back()->on_begin =
				[this](const FakeWorker::Run &run) {
					begin_count[run.task]++;
				};
		}
		r = rack_new(true);
		vh_rack_take_ownership(r, 10, events.now);
	}
	void TearDown() override
	{
		vh_rack_free(r);
		vh_invariant_set_abort(false);
	}
	struct vh_rack *rack_new(bool hold)
	{
		struct vh_rack_settings s = {};
		struct vh_rack_callbacks cb = { choose, on_placed, on_refused,
						on_ended, this };

		s.name = vh_slice_str("a-r1");
		s.lease_ms = LEASE;
		s.renew_ms = RENEW;
		s.start_void_ms = VOID_MS;
		s.clock_margin_ms = MARGIN;
		s.hold = hold;
		struct vh_rack *rack = vh_rack_new(&s, &cb);
		for (size_t i = 0; i < workers.size(); i++)
			vm(rack, i, false);
		return rack;
	}
	void vm(struct vh_rack *rack, size_t i, bool gone)
	{
		struct vh_vm v = {};

		v.id = slice(workers[i]->id);
		v.capacity = workers[i]->capacity;
		v.gone = gone;
		vh_rack_update_vm(rack, &v, events.now);
	}
	static size_t choose(void *ctx, const struct vh_start *start,
			     const struct vh_worker_view *views, size_t n,
			     enum vh_err *why)
	{
		if (((RackTest *)ctx)->ignore_capacity)
			return 0;
		for (size_t i = 0; i < n; i++)
			if (views[i].usable &&
			    vh_res_fits(&start->size, &views[i].free))
				return i;
		*why = VH_ERR_NO_CAPACITY;
		return n;
	}
	static void on_placed(void *ctx, struct vh_slice task, uint32_t attempt,
			      struct vh_slice, struct vh_slice worker)
	{
		((RackTest *)ctx)
			->notices.push_back("placed " + str(task) + "#" +
					    std::to_string(attempt) + " " +
					    str(worker));
	}
	static void on_refused(void *ctx, struct vh_slice task,
			       uint32_t attempt, struct vh_slice,
			       enum vh_err why)
	{
		RackTest *t = (RackTest *)ctx;

		t->notices.push_back("refused " + str(task) + "#" +
				     std::to_string(attempt) + " " +
				     vh_err_info(why)->name);
		if (t->ack_ends)
			vh_rack_ack_end(t->r, task, attempt);
	}
	static void on_ended(void *ctx, struct vh_slice,
			     const struct vh_ended_task *e)
	{
		RackTest *t = (RackTest *)ctx;
		const char *ends[] = { "done", "failed", "stopped", "lost",
				       "void" };

		t->notices.push_back("ended " + str(e->task) + "#" +
				     std::to_string(e->attempt) + " " +
				     ends[e->end]);
		if (t->ack_ends)
			vh_rack_ack_end(t->r, e->task, e->attempt);
	}
	enum vh_err place(const char *task, uint32_t attempt = 1,
			  uint32_t cpu = 1000, uint64_t home_epoch = 5,
			  bool again = false)
	{
		struct vh_place_req req = {};

		req.start.task = vh_slice_str(task);
		req.start.attempt = attempt;
		req.start.home = vh_slice_str("home/t/0");
		req.start.home_epoch = home_epoch;
		req.start.size.v[VH_CPU] = cpu;
		req.again = again;
		req.rack_epoch = vh_rack_epoch(r);
		return vh_rack_place(r, &req, events.now);
	}
	FakeWorker &by_id(struct vh_slice id)
	{
		for (auto &w : workers)
			if (w->id == str(id))
				return *w;
		abort();
	}
	typedef std::shared_ptr<SyncRequest> Request;

	void reply(FakeWorker &w, Request q, int incarnation, bool lose)
	{
		auto out = std::make_shared<SyncReply>();
		uint64_t id = q->req.exchange;
		struct vh_rack *rack = r;

		if (w.incarnation != incarnation || !w.up) {
			fail(id, VH_ERR_TIMEOUT, 100);
			return;
		}
		w.answer(q->req, events.now, *out);
		if (lose) {
			fail(id, VH_ERR_TIMEOUT, 1000);
			return;
		}
		events.at(events.now + latency, [=] {
			if (r == rack)
				vh_rack_exchange_done(r, id, &out->reply,
						      events.now);
		});
	}
	void wait(FakeWorker &w, Request q, int incarnation, bool lose,
		  int64_t until)
	{
		if (w.incarnation != incarnation || events.now >= until ||
		    w.unacked(q->req.ack)) {
			reply(w, q, incarnation, lose);
			return;
		}
		events.at(events.now + 1, [=, &w] {
			w.advance(events.now);
			wait(w, q, incarnation, lose, until);
		});
	}
	void fail(uint64_t id, enum vh_err err, int64_t after)
	{
		struct vh_rack *rack = r;

		events.at(events.now + after, [=] {
			if (r == rack)
				vh_rack_exchange_failed(r, id, err, events.now);
		});
	}
	void send(struct vh_slice worker, const struct vh_sync_req &req)
	{
		FakeWorker &w = by_id(worker);
		auto q = std::make_shared<SyncRequest>(req);
		Delivery f = delivery ? delivery(w) : DELIVER;
		uint64_t id = req.exchange;

		if (!w.up || f == UNREACHABLE) {
			fail(id, VH_ERR_UNREACHABLE, 1);
			return;
		}
		if (f == LOSE_REQUEST) {
			fail(id, VH_ERR_TIMEOUT, 1000);
			return;
		}
		events.at(events.now + latency, [=, &w] {
			SyncReply first;

			if (!w.up) {
				fail(id, VH_ERR_TIMEOUT, 100);
			} else if (!w.read(q->req, events.now, first)) {
				fail(id, VH_ERR_STALE_EPOCH, 1);
			} else if (!first.refused.empty()) {
				refuse(w, q, f == LOSE_REPLY);
			} else {
				wait(w, q, w.incarnation, f == LOSE_REPLY,
				     events.now + q->req.wait_ms);
			}
		});
	}
	/* Replies at once with the refusals of this request. */
	void refuse(FakeWorker &w, Request q, bool lose)
	{
		auto out = std::make_shared<SyncReply>();
		uint64_t id = q->req.exchange;
		struct vh_rack *rack = r;

		w.read(q->req, events.now, *out);
		w.answer(q->req, events.now, *out);
		if (lose) {
			fail(id, VH_ERR_TIMEOUT, 1000);
			return;
		}
		events.at(events.now + latency, [=] {
			if (r == rack)
				vh_rack_exchange_done(r, id, &out->reply,
						      events.now);
		});
	}
	void tick()
	{
		struct vh_sync_req req;
		struct vh_slice worker;

		if (claims_fresh)
			vh_rack_ownership_confirmed(r, events.now);
		vh_rack_tick(r, events.now);
		while (vh_rack_sync_due(r, events.now, &worker, &req))
			send(worker, req);
	}
	void run(int64_t until)
	{
		while (events.now < until) {
			tick();
			events.run_until(events.now + 1);
			for (auto &w : workers)
				w->advance(events.now);
		}
	}
	size_t count(const std::string &line)
	{
		size_t n = 0;

		for (auto &t : notices)
			n += t == line;
		return n;
	}
};

typedef std::vector<std::string> Lines;

TEST_F(RackTest, PlacesRunsAndReportsEnds)
{
	EXPECT_EQ(place("t/0"), VH_ERR_NO_CAPACITY); /* no worker adopted */
	run(20);
	EXPECT_EQ(place("t/0"), VH_OK);
	EXPECT_EQ(place("t/0"), VH_OK); /* requested twice, decided once */
	run(40);
	EXPECT_EQ(notices, (Lines{ "placed t/0#1 w0" }));
	/* the end is reported at once, not with the next renewal */
	run(1040);
	EXPECT_EQ(notices, (Lines{ "placed t/0#1 w0", "ended t/0#1 done" }));
	run(10000);
	EXPECT_EQ(notices.size(), 2u);
	EXPECT_EQ(begin_count["t/0"], 1);
	EXPECT_TRUE(workers[0]->ended.empty()); /* acknowledged */
	EXPECT_EQ(place("t/0"), VH_OK);		/* a late repeat */
	run(11000);
	EXPECT_EQ(begin_count["t/0"], 1);
}

TEST_F(RackTest, NeverCommitsMoreThanAWorkersCapacity)
{
	run(20);
	for (int i = 0; i < 8; i++)
		EXPECT_EQ(place(("t/" + std::to_string(i)).c_str()), VH_OK);
	EXPECT_EQ(place("t/8"), VH_ERR_NO_CAPACITY);
	run(500);
	EXPECT_EQ(workers[0]->running.size(), 4u);
	EXPECT_EQ(workers[1]->running.size(), 4u);
	run(1100);
	EXPECT_EQ(place("t/8"), VH_OK);
}

TEST_F(RackTest, PolicyThatChoosesAFullWorkerCommitsNothing)
{
	run(20);
	ignore_capacity = true;
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(place(("t/" + std::to_string(i)).c_str()), VH_OK);
	EXPECT_EQ(place("t/4"), VH_ERR_NO_CAPACITY);
}

TEST_F(RackTest, StartDoesNotWaitBehindALongPoll)
{
	run(20);
	for (auto &w : workers)
		w->run_ms = [](const std::string &) { return 100000; };
	place("t/0");
	run(100);
	place("t/1");
	run(105);
	EXPECT_EQ(begin_count["t/1"], 1);
}

TEST_F(RackTest, StartsWithUnknownOutcomeAreResentOrExpire)
{
	struct {
		Delivery delivery;
		int times;
		const char *end; /* expected notice */
		int begin_count;
	} rows[] = {
		{ LOSE_REPLY, 1, "ended t/0#1 done", 1 },
		{ LOSE_REQUEST, 1, "ended t/0#1 done", 1 },
		{ UNREACHABLE, 1, "ended t/0#1 done", 1 },
		{ LOSE_REQUEST, 4, "refused t/0#1 deadline", 0 },
		{ UNREACHABLE, 40, "refused t/0#1 unreachable", 0 },
		{ LOSE_REPLY, 4, "ended t/0#1 done", 1 },
	};

	for (auto &row : rows) {
		int left = row.times;

		vh_rack_take_ownership(r, vh_rack_epoch(r) + 1, events.now);
		notices.clear();
		begin_count.clear();
		delivery = nullptr;
		run(events.now + 20);
		delivery = [&](const FakeWorker &) {
			return left-- > 0 ? row.delivery : DELIVER;
		};
		EXPECT_EQ(place("t/0"), VH_OK);
		run(events.now + 9000);
		EXPECT_EQ(count(row.end), 1u) << row.end << row.times;
		EXPECT_EQ(begin_count["t/0"], row.begin_count)
			<< row.end << row.times;
		delivery = nullptr;
		for (auto &w : workers)
			w->past_attempts.clear();
	}
}

TEST_F(RackTest, EndsAreReportedUntilAcknowledged)
{
	run(20);
	ack_ends = false;
	place("t/0");
	run(6000);
	EXPECT_GE(count("ended t/0#1 done"), 2u);
	EXPECT_EQ(workers[0]->ended.size(), 1u); /* kept by the worker */
	ack_ends = true;
	run(12000);
	EXPECT_TRUE(workers[0]->ended.empty());
	size_t n = count("ended t/0#1 done");
	run(20000);
	EXPECT_EQ(count("ended t/0#1 done"), n);
}

TEST_F(RackTest, AcknowledgementOfADeposedHomeIsIgnored)
{
	struct vh_slice task = vh_slice_str("t/0");

	run(20);
	ack_ends = false;
	place("t/0");
	run(1500);
	vh_rack_fence_home(r, vh_slice_str("home/t/0"), 7);
	vh_rack_ack_end_from(r, task, 1, 5);
	size_t n = count("ended t/0#1 done");
	run(6000);
	EXPECT_GT(count("ended t/0#1 done"), n); /* still reported */
	vh_rack_ack_end_from(r, task, 1, 7);
	n = count("ended t/0#1 done");
	run(12000);
	EXPECT_EQ(count("ended t/0#1 done"), n);
}

TEST_F(RackTest, TakeoverAdoptsBeforePlacing)
{
	Lines seen;
	auto note = [](void *ctx, const struct vh_running_task *run,
		       struct vh_slice worker) {
		((Lines *)ctx)->push_back(str(run->task) + " " + str(worker));
	};
	struct vh_slice home = vh_slice_str("home/t/0");

	run(20);
	workers[0]->run_ms = [](const std::string &) { return 10000; };
	for (int i = 0; i < 4; i++)
		place(("t/" + std::to_string(i)).c_str());
	run(100);
	vh_rack_free(r);
	r = rack_new(true);
	vh_rack_take_ownership(r, 20, events.now);
	EXPECT_FALSE(vh_rack_fence_home(r, home, 5));
	EXPECT_EQ(place("t/9"), VH_ERR_NO_CAPACITY);
	run(120);
	EXPECT_TRUE(vh_rack_fence_home(r, home, 5));
	vh_rack_each_home_run(r, home, note, &seen);
	std::sort(seen.begin(), seen.end());
	EXPECT_EQ(seen, (Lines{ "t/0 w0", "t/1 w0", "t/2 w0", "t/3 w0" }));
	EXPECT_EQ(place("t/0", 1, 1000, 5, true), VH_OK); /* adopted */
	EXPECT_EQ(place("t/9"), VH_OK); /* on the other worker */
	run(200);
	EXPECT_EQ(begin_count["t/0"], 1);
	EXPECT_EQ(workers[1]->running.size(), 1u);
}

TEST_F(RackTest, DeposedOwnerIsFencedByTheWorker)
{
	run(20);
	workers[0]->epoch = 11; /* a newer owner was here */
	place("t/0");
	run(100);
	EXPECT_EQ(begin_count["t/0"], 0);
	EXPECT_EQ(vh_rack_epoch(r), 0u);
	EXPECT_EQ(place("t/1"), VH_ERR_NOT_OWNER);
}

TEST_F(RackTest, RequestForAnotherOwnerIsRejected)
{
	struct vh_place_req req = {};

	run(20);
	req.start.task = vh_slice_str("t/0");
	req.start.attempt = 1;
	req.start.home = vh_slice_str("home/t/0");
	req.rack_epoch = 9;
	EXPECT_EQ(vh_rack_place(r, &req, events.now), VH_ERR_NOT_OWNER);
	req.rack_epoch = 10;
	EXPECT_EQ(vh_rack_place(r, &req, events.now), VH_OK);
}

TEST_F(RackTest, OlderHomeIsFenced)
{
	run(20);
	EXPECT_EQ(place("t/0", 1, 1000, 5), VH_OK);
	vh_rack_fence_home(r, vh_slice_str("home/t/0"), 7);
	EXPECT_EQ(place("t/1", 1, 1000, 5), VH_ERR_STALE_EPOCH);
	EXPECT_EQ(place("t/1", 1, 1000, 7), VH_OK);
	EXPECT_EQ(place("t/2", 1, 1000, 9), VH_OK);
	EXPECT_EQ(place("t/3", 1, 1000, 7), VH_ERR_STALE_EPOCH);
}

TEST_F(RackTest, LeaseExpiryCountsOnlyWithFreshClaims)
{
	run(20);
	workers[0]->run_ms = [](const std::string &) { return 100000; };
	place("t/0");
	run(1000);
	delivery = [](const FakeWorker &w) {
		return w.id == "w0" ? LOSE_REQUEST : DELIVER;
	};
	claims_fresh = false;
	run(30000);
	EXPECT_TRUE(workers[0]->running.empty()); /* its lease expired */
	EXPECT_EQ(count("ended t/0#1 lost"), 0u);
	EXPECT_EQ(place("t/1", 1, 4000), VH_OK); /* on the other worker */
	EXPECT_EQ(place("t/2", 1, 1000), VH_ERR_NO_CAPACITY);
	claims_fresh = true;
	run(30010);
	EXPECT_EQ(count("ended t/0#1 lost"), 1u);
	/* it is reachable again, and used after a full list */
	delivery = nullptr;
	run(33000);
	EXPECT_EQ(place("t/2", 1, 4000), VH_OK);
	run(33100);
	EXPECT_EQ(begin_count["t/2"], 1);
}

TEST_F(RackTest, LeaseExpiryIsNeverBeforeTheWorkersOwn)
{
	/* replies are slow, so the latest clock reading is old */
	latency = 400;
	run(3000);
	workers[0]->run_ms = [](const std::string &) { return 100000; };
	place("t/0");
	run(6000);
	ASSERT_EQ(begin_count["t/0"], 1);
	delivery = [](const FakeWorker &) { return LOSE_REPLY; };
	while (!count("ended t/0#1 lost") && events.now < 60000) {
		run(events.now + 1);
		ASSERT_TRUE(!count("ended t/0#1 lost") ||
			    workers[0]->running.empty());
	}
	EXPECT_EQ(count("ended t/0#1 lost"), 1u);
}

TEST_F(RackTest, NewIncarnationLosesAllRuns)
{
	run(20);
	workers[0]->run_ms = [](const std::string &) { return 100000; };
	place("t/0");
	run(500);
	workers[0]->crash(true);
	run(8000);
	EXPECT_EQ(count("ended t/0#1 lost"), 1u);
	EXPECT_EQ(place("t/1", 1, 4000), VH_OK);
	run(8100);
	EXPECT_EQ(begin_count["t/1"], 1);
}

TEST_F(RackTest, RequestsForAnEarlierIncarnationStartNothing)
{
	run(20);
	place("t/0");
	workers[0]->crash(true); /* not detected yet */
	workers[0]->clock_offset -= 100000;
	run(200);
	EXPECT_EQ(begin_count["t/0"], 0);
	EXPECT_EQ(count("ended t/0#1 lost"), 1u);
	/* its first lease is on its own clock */
	EXPECT_GT(workers[0]->lease, 0);
	EXPECT_LE(workers[0]->lease, workers[0]->clock(events.now) + LEASE);
}

TEST_F(RackTest, GoneVmLosesItsRunsAfterLeaseExpiry)
{
	run(20);
	workers[0]->run_ms = [](const std::string &) { return 100000; };
	place("t/0");
	run(100);
	workers[0]->crash(false);
	vm(r, 0, true);
	EXPECT_EQ(place("t/1", 1, 4000), VH_OK); /* not on the gone worker */
	run(4000);
	EXPECT_EQ(count("ended t/0#1 lost"), 0u);
	run(100 + LEASE + MARGIN + 100);
	EXPECT_EQ(count("ended t/0#1 lost"), 1u);
	size_t views = 0;
	vh_rack_each_worker(
		r,
		[](void *ctx, const struct vh_worker_view *,
		   const struct vh_vm *) { (*(size_t *)ctx)++; },
		&views);
	EXPECT_EQ(views, 1u);
}

TEST_F(RackTest, GoneVmNeverAdoptedDelaysReconciliationForOneLease)
{
	run(20);
	vh_rack_take_ownership(r, 20, events.now);
	workers[0]->up = false;
	vm(r, 0, true);
	run(1000);
	EXPECT_FALSE(vh_rack_fence_home(r, vh_slice_str("home/t/0"), 5));
	run(20 + LEASE + MARGIN + 10);
	EXPECT_TRUE(vh_rack_fence_home(r, vh_slice_str("home/t/0"), 5));
}

TEST_F(RackTest, StopsAreResentUntilDelivered)
{
	int lose = 2;

	run(20);
	workers[0]->run_ms = [](const std::string &) { return 100000; };
	EXPECT_EQ(vh_rack_stop(r, vh_slice_str("t/0"), 1, VH_STOP_KILL),
		  VH_ERR_NOT_FOUND);
	place("t/0");
	EXPECT_EQ(vh_rack_stop(r, vh_slice_str("t/0"), 1, VH_STOP_KILL), VH_OK);
	EXPECT_EQ(notices, (Lines{ "ended t/0#1 void" })); /* never sent */
	place("t/1");
	run(100);
	delivery = [&](const FakeWorker &) {
		return lose-- > 0 ? LOSE_REQUEST : DELIVER;
	};
	EXPECT_EQ(vh_rack_stop(r, vh_slice_str("t/1"), 1, VH_STOP_CHECKPOINT),
		  VH_OK);
	run(6000);
	EXPECT_EQ(count("ended t/1#1 stopped"), 1u);
}

TEST_F(RackTest, StartsUnsentDuringAPauseExpire)
{
	run(20);
	place("t/0");
	events.now += 40000; /* the process is paused */
	run(events.now + 3000);
	EXPECT_EQ(begin_count["t/0"], 0);
	EXPECT_EQ(count("refused t/0#1 deadline") +
			  count("refused t/0#1 unreachable"),
		  1u);
}

TEST_F(RackTest, LeavingWorkerGetsNoNewStarts)
{
	run(20);
	workers[0]->leaving = true;
	run(RENEW + 100);
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(place(("t/" + std::to_string(i)).c_str()), VH_OK);
	EXPECT_EQ(place("t/4"), VH_ERR_NO_CAPACITY);
	run(RENEW + 200);
	EXPECT_TRUE(workers[0]->running.empty());
	EXPECT_EQ(workers[1]->running.size(), 4u);
}

TEST_F(RackTest, WorksWithOneExchangePerWorker)
{
	vh_rack_free(r);
	r = rack_new(false);
	vh_rack_take_ownership(r, 11, events.now);
	run(20);
	place("t/0");
	run(300);
	place("t/1");
	run(300 + VH_RACK_SHORT_POLL_MS + 10);
	EXPECT_EQ(begin_count["t/1"], 1);
	run(3000);
	EXPECT_EQ(count("ended t/0#1 done"), 1u);
	EXPECT_EQ(count("ended t/1#1 done"), 1u);
}

TEST_F(RackTest, RenewalsAreFew)
{
	size_t exchanges = 0;

	run(20);
	workers[0]->run_ms = [](const std::string &) { return 1000000; };
	place("t/0");
	run(1000);
	delivery = [&](const FakeWorker &) {
		exchanges++;
		return DELIVER;
	};
	run(1000 + 60000);
	EXPECT_LE(exchanges, 2u * 60000 / RENEW + 2);
	EXPECT_EQ(workers[0]->running.size(), 1u);
}
