#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "../src/append_limiter.h"
}

namespace
{
/* Counts the appends that reach the log; completes each immediately. */
struct log_sink {
	int appends = 0;
	static void append(void *ctx, struct vh_slice, struct vh_slice,
			   void (*done)(void *, enum vh_err, uint64_t),
			   void *arg)
	{
		auto *s = static_cast<struct log_sink *>(ctx);

		s->appends++;
		done(arg, VH_OK, (uint64_t)s->appends);
	}
	static void read(void *, struct vh_slice, uint64_t, size_t, int64_t,
			 void (*)(void *, const struct vh_log_read *), void *)
	{
	}
};

struct append_order {
	std::vector<int> *done;
	int number;
};

void record_done(void *arg, enum vh_err err, uint64_t)
{
	auto *o = static_cast<struct append_order *>(arg);

	EXPECT_EQ(err, VH_OK);
	o->done->push_back(o->number);
}

uint32_t three_nodes(void *)
{
	return 3;
}
} // namespace

/* A limit of 30 appends/s shared by three nodes allows 10/s here: 2 s of the
 * fake clock let 20 appends more through than the first one, in order. */
TEST(AppendLimiter, LimitsToTheNodesShareInOrder)
{
	struct vh_fake_clock clock;
	struct vh_kernel kernel;
	struct log_sink log_sink;
	struct vh_log_transport inner = { log_sink::append, log_sink::read,
					  &log_sink };
	struct append_limiter limiter;
	std::vector<int> done;
	std::vector<struct append_order> orders(60);

	vh_fake_clock_init(&clock, 1000);
	vh_kernel_init(&kernel, &clock.clock);
	append_limiter_init(&limiter, &kernel, &inner, 30, three_nodes,
			    nullptr);
	for (int i = 0; i < 60; i++) {
		orders[i] = { &done, i };
		limiter.transport.append(limiter.transport.ctx,
					 vh_slice_str("s"), vh_slice_str("x"),
					 record_done, &orders[i]);
	}
	EXPECT_EQ(log_sink.appends, 1);
	for (int ms = 0; ms < 2000; ms += 5) {
		vh_fake_clock_advance(&clock, 5);
		limiter.timer.fn(limiter.timer.ctx);
	}
	EXPECT_GE(log_sink.appends, 20);
	EXPECT_LE(log_sink.appends, 22);
	for (size_t i = 0; i < done.size(); i++)
		EXPECT_EQ(done[i], (int)i);
	append_limiter_finish(&limiter);
	vh_kernel_finish(&kernel);
}
