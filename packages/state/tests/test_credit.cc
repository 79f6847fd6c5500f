#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "vh/credit.h"
#include "vh/invariant.h"
}

/* The homes of one team, each with the records of its stream. */
class CreditTest : public ::testing::Test
{
      protected:
	struct Home {
		struct vh_home *h;
		std::vector<std::string> log;
	};
	std::vector<Home> homes;
	struct vh_limit limit = {};
	uint64_t epoch = 10;

	void SetUp() override
	{
		vh_invariant_set_abort(true);
		for (int d = 0; d < VH_DIM_COUNT; d++)
			limit.running.v[d] = VH_RES_UNLIMITED;
		limit.tasks = 100;
		homes.resize(4);
		for (uint32_t i = 0; i < homes.size(); i++)
			open(i);
	}
	void TearDown() override
	{
		for (auto &h : homes)
			vh_home_free(h.h);
		vh_invariant_set_abort(false);
	}
	/* A new owner replays the stream. */
	void open(uint32_t i)
	{
		struct vh_home_settings s = {};

		s.team = vh_slice_str("shop");
		s.index = i;
		s.homes = (uint32_t)homes.size();
		s.dedupe_window_ms = 1000;
		s.max_attempts = 3;
		if (homes[i].h)
			vh_home_free(homes[i].h);
		homes[i].h = vh_home_new(&s);
		vh_home_set_limit(homes[i].h, &limit);
		for (auto &r : homes[i].log)
			apply(i, r);
		vh_home_open(homes[i].h, ++epoch, NULL, 0, 0);
	}
	void apply(uint32_t i, const std::string &body)
	{
		vh_home_apply(homes[i].h, 1, epoch, VH_REC_TRANSFER,
			      vh_slice(body.data(), body.size()), 0);
	}
	void record(uint32_t i, struct vh_buf *body)
	{
		homes[i].log.push_back(std::string(body->data, body->len));
		apply(i, homes[i].log.back());
		vh_buf_clear(body);
	}
	bool send(uint32_t from, uint32_t to, uint32_t parts)
	{
		struct vh_buf body;
		bool ok;

		vh_buf_init(&body);
		ok = vh_home_transfer_out(homes[from].h, to, parts, &body);
		if (ok)
			record(from, &body);
		vh_buf_finish(&body);
		return ok;
	}
	/* Offers the oldest transfer of @from to its receiver. */
	bool offer(uint32_t from)
	{
		struct vh_credit_transfer m;
		struct vh_buf body;
		bool received;

		if (!vh_home_transfer_pending(homes[from].h, &m))
			return false;
		vh_buf_init(&body);
		received = vh_home_transfer_in(homes[m.to].h, from, m.seq,
					       m.parts, &body);
		if (received)
			record(m.to, &body);
		vh_buf_finish(&body);
		return received;
	}
	void settle(uint32_t from)
	{
		struct vh_credit_transfer m;
		struct vh_buf body;

		if (!vh_home_transfer_pending(homes[from].h, &m))
			return;
		vh_buf_init(&body);
		if (vh_home_transfer_settle(
			    homes[from].h, m.to,
			    vh_home_transfer_received(homes[m.to].h, from),
			    &body))
			record(from, &body);
		vh_buf_finish(&body);
	}
	uint64_t total()
	{
		uint64_t sum = 0;

		for (auto &h : homes)
			sum += vh_home_credit_parts(h.h);
		return sum;
	}
	struct vh_job *submit(uint32_t i, const char *key, uint32_t n)
	{
		std::vector<struct vh_task_spec> tasks(n);
		struct vh_job_spec spec = {};
		struct vh_job *job;
		struct vh_buf body;

		spec.idempotent = true;
		spec.n_tasks = n;
		spec.tasks = tasks.data();
		vh_buf_init(&body);
		vh_home_submit(homes[i].h, vh_slice_str(key), 1, &spec, 0, 0,
			       &body, &job);
		vh_home_apply(homes[i].h, 1, epoch, VH_REC_JOB,
			      vh_buf_slice(&body), 0);
		vh_buf_finish(&body);
		return job;
	}
	uint32_t start(uint32_t i, struct vh_job *job)
	{
		struct vh_buf body;
		uint32_t n = 0;

		vh_buf_init(&body);
		for (uint32_t t = 0; t < job->spec.n_tasks; t++)
			n += vh_home_start_attempt(homes[i].h, &job->tasks[t],
						   vh_slice_str("r"),
						   &body) == VH_OK;
		vh_buf_finish(&body);
		return n;
	}
};

TEST_F(CreditTest, TransfersOnceAndIsUnusableInTransit)
{
	EXPECT_EQ(vh_home_credit_parts(homes[0].h), VH_CREDIT_PARTS);
	EXPECT_FALSE(send(1, 0, 1)); /* has none */
	EXPECT_TRUE(send(0, 1, 400000));
	EXPECT_EQ(total(), 600000u);
	EXPECT_TRUE(offer(0));
	EXPECT_FALSE(offer(0)); /* offered again, received once */
	EXPECT_EQ(total(), VH_CREDIT_PARTS);
	settle(0);
	EXPECT_FALSE(offer(0));
	EXPECT_TRUE(send(1, 2, 400000));
	EXPECT_TRUE(offer(1));
	EXPECT_EQ(vh_home_credit_parts(homes[2].h), 400000u);
}

TEST_F(CreditTest, NewOwnerInheritsTheCredit)
{
	EXPECT_TRUE(send(0, 1, 250000));
	open(0); /* crashed before offering */
	EXPECT_EQ(vh_home_credit_parts(homes[0].h), 750000u);
	EXPECT_TRUE(offer(0));
	open(1); /* crashed before replying */
	EXPECT_EQ(vh_home_credit_parts(homes[1].h), 250000u);
	EXPECT_FALSE(offer(0));
	open(0);
	settle(0);
	open(0);
	EXPECT_FALSE(offer(0));
	EXPECT_EQ(total(), VH_CREDIT_PARTS);
}

TEST_F(CreditTest, StartsStayWithinTheCreditOfEachHome)
{
	struct vh_job *a = submit(0, "a", 100), *b = submit(1, "b", 100);

	EXPECT_EQ(start(1, b), 0u);
	EXPECT_EQ(start(0, a), 100u);
	EXPECT_FALSE(send(0, 1, 10000)); /* all of it is in use */
	for (uint32_t i = 0; i < 30; i++) {
		std::string task = std::string(a->id.data, a->id.len) + "/" +
				   std::to_string(i);
		struct vh_ended_task e = {};
		struct vh_buf body;

		e.task = vh_slice(task.data(), task.size());
		e.attempt = 1;
		vh_buf_init(&body);
		vh_home_attempt_ended(homes[0].h, &e, 0, &body);
		vh_buf_finish(&body);
	}
	EXPECT_FALSE(send(0, 1, 310000));
	EXPECT_TRUE(send(0, 1, 300000));
	EXPECT_TRUE(offer(0));
	EXPECT_EQ(start(1, b), 30u);
	/* a lower limit scales both homes; running tasks continue */
	limit.tasks = 50;
	vh_home_set_limit(homes[1].h, &limit);
	EXPECT_EQ(start(1, b), 0u);
}

TEST_F(CreditTest, TransferSizesFollowDemandAndEqualShares)
{
	struct {
		struct vh_credit_state sender, receiver;
		uint32_t expected;
	} rows[] = {
		/* index, parts, used, wanted */
		{ { 0, 1000000, 0, 0 }, { 1, 0, 0, 300000 }, 300000 },
		{ { 0, 1000000, 0, 0 }, { 1, 0, 0, 1000000 }, 1000000 },
		{ { 0, 1000000, 0, 1000000 }, { 1, 0, 0, 1000000 }, 750000 },
		{ { 0, 1000000, 900000, 1000000 },
		  { 1, 0, 0, 1000000 },
		  100000 },
		{ { 0, 250000, 0, 1000000 }, { 1, 250000, 0, 1000000 }, 0 },
		{ { 0, 250000, 0, 100000 }, { 1, 250000, 0, 1000000 }, 150000 },
		{ { 0, 1000000, 0, 0 }, { 1, 10, 0, 10 }, 0 },
		{ { 0, 0, 0, 0 }, { 1, 0, 0, 10 }, 0 },
	};

	for (auto &r : rows)
		EXPECT_EQ(vh_credit_transfer_parts(&r.sender, &r.receiver, 4),
			  r.expected);
}

/* Random transfers, repeats and takeovers never create credit. */
TEST_F(CreditTest, RandomTransfersNeverCreateCredit)
{
	std::mt19937_64 rng(7);

	for (int step = 0; step < 20000; step++) {
		uint32_t a = (uint32_t)(rng() % homes.size());
		uint32_t b = (uint32_t)(rng() % homes.size());

		switch (rng() % 8) {
		case 0:
			open(a);
			break;
		case 1:
		case 2:
		case 3:
			offer(a);
			break;
		case 4:
		case 5:
			settle(a);
			break;
		default:
			send(a, b, 1 + (uint32_t)(rng() % 200000));
		}
		ASSERT_LE(total(), VH_CREDIT_PARTS) << step;
		if (homes[a].log.size() > 200)
			break;
	}
	for (int i = 0; i < 400; i++)
		for (uint32_t a = 0; a < homes.size(); a++) {
			offer(a);
			settle(a);
		}
	EXPECT_EQ(total(), VH_CREDIT_PARTS);
}
