#include <gtest/gtest.h>

#include <list>
#include <memory>

#include "fake_log.h"

/* A client of one stream that keeps the batches and results it received. */
struct Client {
	struct Arg {
		Client *c;
		std::string body;
	};

	std::list<Arg> args;
	Events &events;
	std::string writer;
	struct vh_log_transport transport;
	struct vh_stream_settings settings = {};
	struct vh_stream *s;
	std::vector<std::string> seen; /* "offset:body" */
	std::vector<uint64_t> gone;
	std::map<std::string, std::pair<enum vh_err, uint64_t>> ended;

	Client(Events &events, FakeLog &log, const char *writer)
	    : events(events), writer(writer), transport(log.transport())
	{
		struct vh_stream_callbacks cb = { on_batch, on_gone, this };

		settings.name = vh_slice_str("claims");
		settings.writer = vh_slice_str(this->writer.c_str());
		settings.max_queued_bytes = 4096;
		settings.max_batch_bytes = 1024;
		settings.min_append_interval_ms = 10;
		settings.reply_timeout_ms = 500;
		settings.poll_wait_ms = 100;
		settings.seed = 5;
		s = vh_stream_new(&settings, &transport, &cb);
	}
	~Client()
	{
		vh_stream_free(s);
	}
	static void on_batch(void *ctx, uint64_t offset,
			     const struct vh_batch *batch)
	{
		Client *c = (Client *)ctx;
		struct vh_slice rest = batch->records, body;
		uint32_t kind;

		while (vh_record_next(&rest, &kind, &body))
			c->seen.push_back(std::to_string(offset) + ":" +
					  std::string(body.data, body.len));
	}
	static void on_gone(void *ctx, uint64_t first)
	{
		((Client *)ctx)->gone.push_back(first);
	}
	static void on_done(void *arg, enum vh_err err, uint64_t offset)
	{
		Arg *a = (Arg *)arg;

		EXPECT_EQ(a->c->ended.count(a->body), 0u);
		a->c->ended[a->body] = { err, offset };
	}
	void append(const std::string &body,
		    enum vh_rec_kind kind = VH_REC_CLAIM)
	{
		args.push_back({ this, body });
		vh_stream_append(s, kind, vh_slice(body.data(), body.size()),
				 on_done, &args.back());
	}
	void run(int64_t until)
	{
		while (events.now < until) {
			int64_t next = vh_stream_tick(s, events.now);

			EXPECT_GE(next, events.now);
			events.run_until(events.now + 1);
		}
	}
};

class StreamTest : public ::testing::Test
{
      protected:
	Events events;
	FakeLog log{ events };

	std::unique_ptr<Client> client(const char *writer = "a/1")
	{
		return std::make_unique<Client>(events, log, writer);
	}
	/* Appends a batch of one record to the log. */
	void put(const char *writer, uint64_t seq, uint64_t epoch,
		 const char *body, enum vh_rec_kind kind = VH_REC_CLAIM)
	{
		struct vh_buf records, packed;
		struct vh_batch batch = {};

		vh_buf_init(&records);
		vh_buf_init(&packed);
		vh_record_add(&records, kind, vh_slice_str(body));
		batch.writer = vh_slice_str(writer);
		batch.seq = seq;
		batch.epoch = epoch;
		batch.records = vh_buf_slice(&records);
		vh_batch_pack(&batch, &packed);
		log.streams["claims"].records.push_back(
			std::string(packed.data, packed.len));
		vh_buf_finish(&records);
		vh_buf_finish(&packed);
	}
	/* Answers all outstanding requests before the clients are freed. */
	void TearDown() override
	{
		log.append_outcome = nullptr;
		log.read_fails = nullptr;
		while (events.step())
			;
	}
};

typedef std::vector<std::string> Strings;

TEST_F(StreamTest, AppendsInBatchesAndAppliesBeforeDone)
{
	auto c = client();

	vh_stream_start(c->s, 1, 0);
	c->append("x1");
	vh_stream_tick(c->s, 0);
	for (int i = 2; i <= 20; i++)
		c->append("x" + std::to_string(i));
	EXPECT_TRUE(c->ended.empty());
	c->run(100);
	EXPECT_EQ(log.appends, 2u);
	EXPECT_EQ(c->seen.size(), 20u);
	EXPECT_EQ(c->ended["x1"], std::make_pair(VH_OK, (uint64_t)1));
	EXPECT_EQ(c->ended["x20"], std::make_pair(VH_OK, (uint64_t)2));
	EXPECT_TRUE(vh_stream_caught_up(c->s));
	EXPECT_EQ(vh_stream_next(c->s), 3u);
}

TEST_F(StreamTest, EveryAppendOutcomeTakesEffectOnce)
{
	AppendOutcome outcomes[] = {
		{ 1, -1, VH_OK },	       /* reply lost */
		{ 1, 2, VH_ERR_TIMEOUT },      /* error after it took effect */
		{ -1, 2, VH_ERR_UNREACHABLE }, /* not sent */
		{ -1, -1, VH_OK },	       /* request lost */
		{ 1500, -1, VH_OK }, /* takes effect long after the repeat */
		{ 700, 900, VH_OK }, /* slow */
	};

	for (auto &f : outcomes) {
		FakeLog fresh(events);
		int64_t start = events.now;
		int n = 0;
		Client c(events, fresh, "a/1");

		fresh.append_outcome = [&](const std::string &) {
			return n++ ? AppendOutcome() : f;
		};
		vh_stream_start(c.s, 1, start);
		c.append("x");
		c.append("y");
		c.run(start + 100);
		c.append("z");
		c.run(start + 5000);
		Strings bodies;
		for (auto &s : c.seen)
			bodies.push_back(s.substr(s.find(':') + 1));
		EXPECT_EQ(bodies, (Strings{ "x", "y", "z" }));
		EXPECT_EQ(c.ended["x"].first, VH_OK);
		EXPECT_EQ(c.ended["z"].first, VH_OK);
		/* another reader sees the same */
		Client d(events, fresh, "d/1");
		vh_stream_start(d.s, 1, events.now);
		d.run(events.now + 100);
		EXPECT_EQ(c.seen, d.seen);
		while (events.step())
			;
	}
}

TEST_F(StreamTest, DuplicatesAndCorruptRecordsAreSkippedAndCounted)
{
	auto c = client();

	put("b/1", 1, 0, "one");
	put("b/1", 1, 0, "one");
	log.streams["claims"].records.push_back("junk");
	put("b/1", 3, 0, "three");
	put("b/1", 2, 0, "two");
	put("c/1", 1, 0, "other");
	log.streams["claims"].records.back()[20] ^= 1;
	put("b/2", 1, 0, "again");
	vh_stream_start(c->s, 1, 0);
	c->run(50);
	EXPECT_EQ(c->seen, (Strings{ "1:one", "4:three", "7:again" }));
	EXPECT_EQ(vh_stream_stats(c->s)->duplicates, 2u);
	EXPECT_EQ(vh_stream_stats(c->s)->corrupt, 2u);
	EXPECT_TRUE(vh_stream_caught_up(c->s));
}

TEST_F(StreamTest, OpenOfANewerEpochInvalidatesOlderBatches)
{
	auto c = client();

	put("b/1", 1, 5, "open5", VH_REC_OPEN);
	put("b/1", 2, 5, "job5", VH_REC_JOB);
	put("d/1", 1, 9, "open9", VH_REC_OPEN);
	put("b/1", 3, 5, "late5", VH_REC_JOB);
	put("e/1", 1, 7, "open7", VH_REC_OPEN);
	put("d/1", 2, 9, "job9", VH_REC_JOB);
	vh_stream_start(c->s, 1, 0);
	c->run(50);
	EXPECT_EQ(c->seen,
		  (Strings{ "1:open5", "2:job5", "3:open9", "6:job9" }));
	EXPECT_EQ(vh_stream_stats(c->s)->stale, 2u);
}

TEST_F(StreamTest, AppendBehindANewerOpenIsStale)
{
	auto c = client();

	put("b/1", 1, 5, "open5", VH_REC_OPEN);
	vh_stream_start(c->s, 1, 0);
	vh_stream_set_epoch(c->s, 5);
	c->run(20);
	/* it takes effect, and is acknowledged, after another owner's OPEN */
	log.append_outcome = [&](const std::string &) {
		return AppendOutcome{ 20, 21, VH_OK };
	};
	c->append("mine", VH_REC_JOB);
	vh_stream_tick(c->s, events.now);
	c->append("queued", VH_REC_JOB);
	put("d/1", 1, 9, "open9", VH_REC_OPEN);
	c->run(200);
	EXPECT_EQ(c->ended["mine"].first, VH_ERR_STALE_EPOCH);
	EXPECT_EQ(c->ended["queued"].first, VH_ERR_STALE_EPOCH);
	c->append("later", VH_REC_JOB);
	EXPECT_EQ(c->ended["later"].first, VH_ERR_STALE_EPOCH);
	EXPECT_EQ(c->seen, (Strings{ "1:open5", "2:open9" }));
	EXPECT_EQ(log.streams["claims"].records.size(), 3u);
	/* under a newer epoch it continues */
	vh_stream_set_epoch(c->s, 12);
	c->append("open12", VH_REC_OPEN);
	c->run(400);
	EXPECT_EQ(c->ended["open12"], std::make_pair(VH_OK, (uint64_t)4));
}

TEST_F(StreamTest, AckBeyondUnreadRecordsWaitsForThem)
{
	auto c = client();

	vh_stream_start(c->s, 1, 0);
	c->run(10);
	put("b/1", 1, 0, "before");
	c->append("mine");
	c->run(300);
	EXPECT_EQ(c->seen, (Strings{ "1:before", "2:mine" }));
	EXPECT_EQ(c->ended["mine"], std::make_pair(VH_OK, (uint64_t)2));
}

TEST_F(StreamTest, RetentionGapIsReportedAndNeverReadAsEmpty)
{
	auto c = client();

	for (int i = 1; i <= 5; i++)
		put("b/1", i, 0, std::to_string(i).c_str());
	log.retain("claims", 4);
	vh_stream_start(c->s, 1, 0);
	c->run(50);
	EXPECT_EQ(c->gone, (std::vector<uint64_t>{ 4 }));
	EXPECT_TRUE(c->seen.empty());
	EXPECT_FALSE(vh_stream_caught_up(c->s));
	vh_stream_start(c->s, 4, events.now);
	c->run(100);
	EXPECT_EQ(c->seen, (Strings{ "4:4", "5:5" }));
}

TEST_F(StreamTest, RetentionGapInAnEmptiedStreamIsReported)
{
	auto c = client();

	put("b/1", 1, 0, "1");
	put("b/1", 2, 0, "2");
	log.retain("claims", 3);
	vh_stream_start(c->s, 2, 0);
	c->run(50);
	EXPECT_EQ(c->gone, (std::vector<uint64_t>{ 3 }));
	EXPECT_FALSE(vh_stream_caught_up(c->s));
}

TEST_F(StreamTest, AppendInFlightAcrossARetentionGapIsUnknown)
{
	auto c = client();

	log.read_latency = 50;
	vh_stream_start(c->s, 1, 0);
	put("b/1", 1, 0, "1");
	c->append("mine");
	c->run(20);
	EXPECT_TRUE(c->ended.empty());
	log.retain("claims", 3);
	c->run(200);
	ASSERT_EQ(c->gone.size(), 1u);
	vh_stream_start(c->s, 3, events.now);
	EXPECT_EQ(c->ended["mine"].first, VH_ERR_UNKNOWN_OUTCOME);
}

TEST_F(StreamTest, LogThatLostRecordsIsAnErrorNotTheEnd)
{
	auto c = client();

	for (int i = 1; i <= 3; i++)
		put("b/1", i, 0, std::to_string(i).c_str());
	vh_stream_start(c->s, 1, 0);
	c->run(50);
	int64_t fresh = vh_stream_fresh_ms(c->s);
	log.streams["claims"].records.pop_back();
	c->run(2000);
	EXPECT_GT(vh_stream_stats(c->s)->service_errors, 0u);
	/* reads before the loss may count, later ones must not */
	EXPECT_LE(vh_stream_fresh_ms(c->s), fresh + 100);
	EXPECT_EQ(vh_stream_next(c->s), 4u);
}

TEST_F(StreamTest, AckOfAnOffsetAlreadyReadIsRejected)
{
	struct RepeatedAck {
		static void append(void *, struct vh_slice, struct vh_slice,
				   void (*done)(void *, enum vh_err, uint64_t),
				   void *arg)
		{
			done(arg, VH_OK, 1);
		}
	};
	auto c = client();
	struct vh_stream_callbacks cb = { Client::on_batch, Client::on_gone,
					  c.get() };

	put("b/1", 1, 0, "1");
	vh_stream_free(c->s);
	c->transport.append = RepeatedAck::append;
	c->s = vh_stream_new(&c->settings, &c->transport, &cb);
	vh_stream_start(c->s, 1, 0);
	c->run(20);
	c->append("mine");
	c->run(3000);
	EXPECT_TRUE(c->ended.empty());
	EXPECT_GT(vh_stream_stats(c->s)->service_errors, 2u);
	EXPECT_LT(vh_stream_stats(c->s)->service_errors, 12u);
	vh_stream_free(c->s);
	c->s = NULL;
}

TEST_F(StreamTest, OutageKeepsQueuedRecordsWithinTheLimit)
{
	auto c = client();
	bool down = true;
	size_t refused = 0;

	log.append_outcome = [&](const std::string &) {
		return down ? AppendOutcome{ -1, 5, VH_ERR_LOG_UNAVAILABLE }
			    : AppendOutcome();
	};
	log.read_fails = [&] { return down; };
	vh_stream_start(c->s, 1, 0);
	for (int i = 0; i < 1000; i++)
		c->append(std::to_string(10000 + i));
	for (auto &e : c->ended)
		refused += e.second.first == VH_ERR_LOG_UNAVAILABLE;
	EXPECT_GT(refused, 0u);
	EXPECT_EQ(vh_stream_stats(c->s)->refused, refused);
	c->run(60000);
	EXPECT_LT(log.appends, 30u); /* backs off */
	EXPECT_EQ(c->ended.size(), refused);
	EXPECT_FALSE(vh_stream_caught_up(c->s));
	down = false;
	c->run(70000);
	EXPECT_EQ(c->ended.size(), 1000u);
	EXPECT_EQ(c->seen.size(), 1000u - refused);
}

TEST_F(StreamTest, SecondStreamOfOneProcessIsAnotherWriter)
{
	for (int i = 0; i < 2; i++) {
		auto c = client("a/1");

		vh_stream_start(c->s, 1, events.now);
		c->append("x" + std::to_string(i));
		c->run(events.now + 100);
		EXPECT_EQ(c->ended.size(), 1u);
		EXPECT_EQ(c->seen.size(), 1u + i);
	}
}

TEST_F(StreamTest, MinimumAppendIntervalIsKept)
{
	auto c = client();

	c->settings.min_append_interval_ms = 100;
	struct vh_stream_callbacks cb = { Client::on_batch, Client::on_gone,
					  c.get() };
	vh_stream_free(c->s);
	c->s = vh_stream_new(&c->settings, &c->transport, &cb);
	vh_stream_start(c->s, 1, 0);
	for (int i = 0; i < 1000; i++) {
		c->append(std::to_string(i));
		c->run(i + 1);
	}
	EXPECT_GE(log.appends, 9u);
	EXPECT_LE(log.appends, 11u);
}

TEST_F(StreamTest, LostReadIsRetried)
{
	struct SilentLog {
		static void
		read(void *, struct vh_slice, uint64_t, size_t, int64_t,
		     void (*done)(void *, const struct vh_log_read *),
		     void *arg)
		{
			calls().push_back({ done, arg });
		}
		typedef std::pair<void (*)(void *, const struct vh_log_read *),
				  void *>
			Call;
		static std::vector<Call> &calls()
		{
			static std::vector<Call> c;
			return c;
		}
	};
	auto c = client();
	struct vh_stream_callbacks cb = { Client::on_batch, Client::on_gone,
					  c.get() };
	struct vh_log_read late = {};

	vh_stream_free(c->s);
	c->transport.read = SilentLog::read;
	c->s = vh_stream_new(&c->settings, &c->transport, &cb);
	vh_stream_start(c->s, 1, 0);
	c->run(1500);
	EXPECT_GE(SilentLog::calls().size(), 2u);
	/* late replies are ignored, also after the stream is freed */
	late.first = 7;
	late.next = 7;
	SilentLog::calls()[0].first(SilentLog::calls()[0].second, &late);
	EXPECT_TRUE(c->gone.empty());
	vh_stream_free(c->s);
	c->s = NULL;
	for (size_t i = 1; i < SilentLog::calls().size(); i++)
		SilentLog::calls()[i].first(SilentLog::calls()[i].second,
					    &late);
}
