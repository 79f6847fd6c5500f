#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "../src/append_limiter.h"
}

namespace
{
/* Counts what reaches the log; answers at once. */
struct sink {
	int appends = 0;
	static void append(void *ctx, struct vh_slice, struct vh_slice,
			   void (*done)(void *, enum vh_err, uint64_t),
			   void *arg)
	{
		auto *s = static_cast<struct sink *>(ctx);

		s->appends++;
		done(arg, VH_OK, (uint64_t)s->appends);
	}
	static void read(void *, struct vh_slice, uint64_t, size_t, int64_t,
			 void (*)(void *, const struct vh_log_read *), void *)
	{
	}
};

struct order {
	std::vector<int> *done;
	int number;
};

void note(void *arg, enum vh_err err, uint64_t)
{
	auto *o = static_cast<struct order *>(arg);

	EXPECT_EQ(err, VH_OK);
	o->done->push_back(o->number);
}

uint32_t three(void *)
{
	return 3;
}
} // namespace

/* 30 a second over three nodes is 10 here: a fake clock of 2 s lets 20 more
 * through than the burst, in order, and none is lost. */
TEST(Budget, KeepsToTheNodesPartAndToTheOrder)
{
	struct vh_fake_clock clock;
	struct vh_kernel kernel;
	struct sink sink;
	struct vh_log_transport inner = { sink::append, sink::read, &sink };
	struct budget b;
	std::vector<int> done;
	std::vector<struct order> orders(60);

	vh_fake_clock_init(&clock, 1000);
	vh_kernel_init(&kernel, &clock.clock);
	append_limiter_init(&b, &kernel, &inner, 30, three, nullptr);
	for (int i = 0; i < 60; i++) {
		orders[i] = { &done, i };
		b.transport.append(b.transport.ctx, vh_slice_str("s"),
				   vh_slice_str("x"), note, &orders[i]);
	}
	EXPECT_EQ(sink.appends, 1);
	for (int ms = 0; ms < 2000; ms += 5) {
		vh_fake_clock_advance(&clock, 5);
		b.release.fn(b.release.ctx);
	}
	EXPECT_GE(sink.appends, 20);
	EXPECT_LE(sink.appends, 22);
	for (size_t i = 0; i < done.size(); i++)
		EXPECT_EQ(done[i], (int)i);
	append_limiter_finish(&b);
	vh_kernel_finish(&kernel);
}
