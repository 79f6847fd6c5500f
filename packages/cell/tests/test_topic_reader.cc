// What a reader may claim to know of a topic that changes while it is read.

#include <gtest/gtest.h>

#include <functional>
#include <string>

extern "C" {
#include "topic_reader.h"
#include "vh/log.h"
}

namespace
{

constexpr int64_t HOUR_MS = 3600000;

using ReadDone = void (*)(void *, const struct vh_read_reply *);

// One read at a time, which the test answers.
class TopicReader : public testing::Test
{
      public:
	TopicReader()
	{
		vh_fake_clock_init(&clock, 1000000);
		vh_kernel_init(&kernel, &clock.clock);
		ports.store = &store_ops;
		ports.store_self = this;
		reader.kernel = &kernel;
		reader.ports = &ports;
		reader.topic = VH_TOPIC_JOBS;
		reader.poll_interval_ms = 250;
		reader.on_record = [](void *, const struct vh_record *) {};
		topic_reader_start(&reader);
	}

	~TopicReader() override
	{
		topic_reader_stop(&reader);
		topic_reader_finish(&reader);
		vh_kernel_finish(&kernel);
	}

	void wait_for_read()
	{
		vh_fake_clock_advance(&clock, 10);
		for (int i = 0; i < 100 && !done; i++)
			event_base_loop(kernel.base, EVLOOP_ONCE);
		ASSERT_TRUE(done);
	}

	void answer(bool more)
	{
		std::string key = "j0000000000000001";
		struct vh_record record = {};
		struct vh_read_reply r = {};
		ReadDone fn = done;

		record.key = { key.data(), key.size() };
		r.records = &record;
		r.n = more ? 1 : 0;
		r.more = more;
		done = nullptr;
		fn(ctx, &r);
	}

	int64_t now()
	{
		return vh_kernel_now_ms(&kernel);
	}

	struct vh_fake_clock clock;
	struct vh_kernel kernel;
	struct vh_ports ports = {};
	struct topic_reader reader = {};
	ReadDone done = nullptr;
	void *ctx = nullptr;
	bool pages = false; // the pending read is one of a page

      private:
	static void read(void *self, enum vh_topic, uint64_t, int64_t,
			 ReadDone fn, void *ctx)
	{
		expect((TopicReader *)self, false, fn, ctx);
	}

	static void newest(void *self, enum vh_topic, struct vh_slice,
			   ReadDone fn, void *ctx)
	{
		expect((TopicReader *)self, true, fn, ctx);
	}

	static void expect(TopicReader *t, bool pages, ReadDone fn, void *ctx)
	{
		t->pages = pages;
		t->done = fn;
		t->ctx = ctx;
	}

	static constexpr struct vh_store_ops store_ops = { nullptr, read,
							   newest };
};

// The time of the last page counted for all, so that a record stored on an
// earlier page meanwhile was taken for one that does not exist.
TEST_F(TopicReader, ALaterPageCountsForAnEarlierOne)
{
	wait_for_read();
	int64_t first_ms = now();

	answer(true);
	wait_for_read();
	ASSERT_TRUE(pages);
	answer(false);
	EXPECT_EQ(reader.caught_up_ms, first_ms);
	wait_for_read();
	EXPECT_FALSE(pages);
}

// The same for what a new owner waits for, between two pages.
TEST_F(TopicReader, ALaterPageEndsARefresh)
{
	wait_for_read();
	topic_reader_refresh(&reader);
	answer(true);
	wait_for_read();
	answer(false);
	EXPECT_FALSE(reader.refreshed);
	wait_for_read();
	answer(false);
	EXPECT_TRUE(reader.refreshed);
}

// The same if no read is on its way.
TEST_F(TopicReader, ALaterPageEndsARefreshBetweenTwoPages)
{
	wait_for_read();
	answer(true);
	topic_reader_refresh(&reader);
	wait_for_read();
	answer(false);
	EXPECT_FALSE(reader.refreshed);
	wait_for_read();
	answer(false);
	EXPECT_TRUE(reader.refreshed);
}

// A read that was on its way before. The next one waited for a poll interval, by
// which each takeover took longer.
TEST_F(TopicReader, AReadInFlightEndsARefresh)
{
	reader.poll_interval_ms = HOUR_MS;
	wait_for_read();
	topic_reader_refresh(&reader);
	answer(false);
	EXPECT_FALSE(reader.refreshed);
	for (int i = 0; i < 1000 && !done; i++)
		event_base_loop(kernel.base, EVLOOP_NONBLOCK);
	ASSERT_TRUE(done);
	answer(false);
	EXPECT_TRUE(reader.refreshed);
}

} // namespace
