// The reader of a topic must not count a snapshot as complete that is not.

#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "topic_reader.h"
#include "vh/log.h"
}

namespace
{

struct Reader : testing::Test {
	Reader()
	{
		vh_fake_clock_init(&clock, 1000000);
		vh_kernel_init(&kernel, &clock.clock);
		ports.store = &ops;
		ports.store_self = this;
		t.kernel = &kernel;
		t.ports = &ports;
		t.topic = VH_TOPIC_FLEET;
		t.poll_interval_ms = 400;
		t.on_record = [](void *c, const vh_record *) {
			((Reader *)c)->delivered++;
		};
		t.ctx = this;
		topic_reader_start(&t);
	}

	~Reader() override
	{
		topic_reader_stop(&t);
		topic_reader_finish(&t);
		vh_kernel_finish(&kernel);
	}

	void step()
	{
		vh_fake_clock_advance(&clock, 10);
		event_base_loop(kernel.base, EVLOOP_ONCE);
	}

	using Done = void (*)(void *, const vh_read_reply *);

	vh_fake_clock clock;
	vh_kernel kernel;
	vh_ports ports = {};
	topic_reader t = {};
	Done done = nullptr;
	void *done_ctx = nullptr;
	bool snapshot_asked = false;
	int delivered = 0;

	static void append(void *, const vh_append *,
			   void (*)(void *, const vh_append_reply *), void *)
	{
	}
	static void read(void *self, vh_topic, uint64_t, int64_t, Done d,
			 void *ctx)
	{
		((Reader *)self)->done = d;
		((Reader *)self)->done_ctx = ctx;
		((Reader *)self)->snapshot_asked = false;
	}
	static void newest(void *self, vh_topic, struct vh_slice, Done d,
			   void *ctx)
	{
		((Reader *)self)->done = d;
		((Reader *)self)->done_ctx = ctx;
		((Reader *)self)->snapshot_asked = true;
	}
	static constexpr vh_store_ops ops = { append, read, newest };
};

// The store has more records, and none on this page can be used: all keys of it were
// written by another program and are no text.
TEST_F(Reader, SnapshotWithAnUnusablePageCountsAsRead)
{
	vh_read_reply r = {};

	step();
	ASSERT_TRUE(done && snapshot_asked);
	r.result = VH_STORE_OK;
	r.more = true;
	r.end = 1000;
	done(done_ctx, &r);
	EXPECT_FALSE(t.snapshot_read);
	EXPECT_EQ(t.caught_up_ms, 0);
}

// The store's reply ends before what it has, and holds no whole record: reading it
// again at once, without a wait, does not end.
TEST_F(Reader, ReadWithoutProgressIsRepeatedWithoutAWait)
{
	vh_read_reply r = {};
	int reads = 0;

	step();
	ASSERT_TRUE(done && snapshot_asked);
	done(done_ctx, &r);
	vh_timer_start(&t.timer, 0);
	r.end = 5;
	done = nullptr;
	for (int i = 0; i < 50; i++) {
		struct timeval tv = { 0, 1000 };

		event_base_loopexit(kernel.base, &tv);
		event_base_loop(kernel.base, 0);
		if (!done)
			continue;
		reads++;
		Done d = done;

		done = nullptr;
		d(done_ctx, &r);
	}
	// In about 50 ms; a failed read waits for 100 ms at least.
	EXPECT_LE(reads, 2);
}

} // namespace
