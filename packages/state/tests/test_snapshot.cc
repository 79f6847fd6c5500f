#include <gtest/gtest.h>

#include <memory>

#include "fake_log.h"
#include "fake_worker.h"

extern "C" {
#include "vh/claims.h"
#include "vh/home.h"
#include "vh/invariant.h"
#include "vh/snapshot.h"
}

/* A node that reads the claims, writes snapshots and starts from one. */
struct Reader {
	Events &events;
	std::string name;
	struct vh_log_transport transport;
	struct vh_stream *s;
	struct vh_claims *claims = vh_claims_new();
	struct vh_snap_reader snaps = {};
	bool scanning = false, load_failed = false;
	int64_t newest_ms = 0;
	uint64_t covers = 0;
	std::vector<enum vh_err> written;
	uint64_t from = 0; /* offset of the next start; 0: none */

	Reader(Events &events, FakeLog &log, const std::string &name)
	    : events(events), name(name), transport(log.transport())
	{
		struct vh_stream_settings st = {};
		struct vh_stream_callbacks cb = { on_batch, on_gone, this };

		st.name = vh_slice_str("claims");
		st.writer = slice(this->name);
		st.max_queued_bytes = 1 << 20;
		st.max_batch_bytes = 60000;
		st.min_append_interval_ms = 1;
		st.reply_timeout_ms = 500;
		st.poll_wait_ms = 20;
		s = vh_stream_new(&st, &transport, &cb);
		vh_stream_start(s, 1, events.now);
	}
	~Reader()
	{
		vh_stream_free(s);
		vh_claims_free(claims);
		vh_snap_reader_finish(&snaps);
	}
	static void on_gone(void *ctx, uint64_t first)
	{
		Reader *r = (Reader *)ctx;

		vh_claims_free(r->claims);
		r->claims = vh_claims_new();
		r->scanning = true;
		r->from = first;
	}
	static void on_batch(void *ctx, uint64_t offset,
			     const struct vh_batch *batch)
	{
		Reader *r = (Reader *)ctx;
		struct vh_slice rest = batch->records, body;
		struct vh_snapshot snap;
		struct vh_claim changed;
		uint32_t kind;

		while (vh_record_next(&rest, &kind, &body)) {
			if (vh_snap_reader_apply(&r->snaps, kind, body, &snap))
				r->complete(snap);
			else if (!r->scanning)
				vh_claims_apply(r->claims, offset, kind, body,
						&changed);
		}
	}
	void complete(const struct vh_snapshot &snap)
	{
		newest_ms = events.now;
		covers = snap.covers;
		if (!scanning || from)
			return;
		load_failed = !vh_claims_load(claims, snap.state) ||
			      !vh_stream_restore(s, snap.stream);
		scanning = false;
		from = snap.covers + 1;
	}
	static void on_written(void *arg, enum vh_err err, uint64_t)
	{
		((Reader *)arg)->written.push_back(err);
	}
	void write()
	{
		struct vh_buf state;

		vh_buf_init(&state);
		vh_claims_dump(claims, &state);
		vh_snap_write(s, vh_stream_next(s) - 1, vh_buf_slice(&state),
			      on_written, this);
		vh_buf_finish(&state);
	}
	void claim(const std::string &unit)
	{
		struct vh_claim now;
		struct vh_buf body;

		vh_claims_get(claims, slice(unit), &now);
		vh_buf_init(&body);
		vh_claim_pack(&body, slice(unit), vh_slice_str("n"), 1,
			      now.epoch);
		vh_stream_append(s, VH_REC_CLAIM, vh_buf_slice(&body), NULL,
				 NULL);
		vh_buf_finish(&body);
	}
	void tick()
	{
		if (from) {
			vh_stream_start(s, from, events.now);
			from = 0;
		}
		vh_stream_tick(s, events.now);
	}
	void run(int64_t ms)
	{
		for (int64_t end = events.now + ms; events.now < end;) {
			tick();
			events.run_until(events.now + 1);
		}
	}
	std::string dump()
	{
		struct vh_buf b;

		vh_buf_init(&b);
		vh_claims_dump(claims, &b);
		std::string out(b.data, b.len);
		vh_buf_finish(&b);
		return out;
	}
};

class SnapshotTest : public ::testing::Test
{
      protected:
	Events events;
	FakeLog log{ events };

	std::unique_ptr<Reader> reader(const char *name)
	{
		return std::make_unique<Reader>(events, log, name);
	}
	void TearDown() override
	{
		log.append_outcome = nullptr;
		while (events.step())
			;
	}
};

TEST_F(SnapshotTest, ReaderBehindRetentionStartsFromTheSnapshot)
{
	auto a = reader("a");

	for (int i = 0; i < 3000; i++)
		a->claim("rack/number-" + std::to_string(i));
	a->run(100);
	a->write();
	for (int i = 0; i < 50; i++)
		a->claim("rack/number-" + std::to_string(i)); /* meanwhile */
	a->run(200);
	ASSERT_EQ(a->written, (std::vector<enum vh_err>{ VH_OK }));
	for (int i = 0; i < 10; i++)
		a->claim("rack/late-" + std::to_string(i));
	a->run(100);
	log.retain("claims", a->covers + 1);
	auto b = reader("b");
	b->run(300);
	EXPECT_FALSE(b->load_failed);
	EXPECT_FALSE(b->scanning);
	EXPECT_EQ(vh_claims_count(b->claims), 3010u);
	EXPECT_EQ(a->dump(), b->dump());
}

TEST_F(SnapshotTest, DuplicatesFromBeforeTheSnapshotAreDetected)
{
	auto a = reader("a");

	a->claim("rack/x");
	a->run(50);
	std::string first = log.streams["claims"].records[0];
	a->write();
	a->run(100);
	log.retain("claims", 2);
	log.streams["claims"].records.push_back(first); /* a late append */
	auto b = reader("b");
	b->run(300);
	/* once while looking for a snapshot, once after loading it */
	EXPECT_EQ(vh_stream_stats(b->s)->duplicates, 2u);
	EXPECT_EQ(a->dump(), b->dump());
}

TEST_F(SnapshotTest, CorruptSnapshotIsIgnoredAndTheNextIsUsed)
{
	auto a = reader("a");

	for (int i = 0; i < 3000; i++)
		a->claim("rack/number-" + std::to_string(i));
	a->run(100);
	size_t before = log.streams["claims"].records.size();
	a->write();
	a->run(200);
	auto &records = log.streams["claims"].records;
	ASSERT_GT(records.size(), before + 1);
	records[before + 1] = "torn"; /* a corrupt chunk */
	log.retain("claims", before + 1);
	auto b = reader("b");
	b->run(300);
	EXPECT_TRUE(b->scanning); /* state unknown, and reported as such */
	EXPECT_EQ(vh_claims_count(b->claims), 0u);
	a->write();
	a->run(200);
	b->run(300);
	EXPECT_FALSE(b->scanning);
	EXPECT_EQ(a->dump(), b->dump());
}

TEST_F(SnapshotTest, InterleavedWritersDoNotInterfere)
{
	auto a = reader("a"), b = reader("b");

	for (int i = 0; i < 3000; i++)
		a->claim("rack/number-" + std::to_string(i));
	for (int i = 0; i < 100; i++) {
		a->run(1);
		b->run(1);
	}
	a->write();
	b->write();
	for (int i = 0; i < 200; i++) {
		a->run(1);
		b->run(1);
	}
	ASSERT_EQ(a->written.size(), 1u);
	ASSERT_EQ(b->written.size(), 1u);
	log.retain("claims", a->covers + 1);
	auto c = reader("c");
	c->run(300);
	EXPECT_EQ(a->dump(), c->dump());
}

TEST_F(SnapshotTest, RefusedSnapshotIsReportedAndHasNoEffect)
{
	auto a = reader("a");

	log.append_outcome = [](const std::string &) {
		return AppendOutcome{ -1, 5, VH_ERR_LOG_UNAVAILABLE };
	};
	for (int i = 0; i < 1 << 20; i += 40)
		a->claim("rack/filler-that-fills-the-waiting-bytes");
	a->write();
	log.append_outcome = nullptr;
	a->run(3000);
	EXPECT_EQ(a->newest_ms, 0);
	EXPECT_EQ(a->written,
		  (std::vector<enum vh_err>{ VH_ERR_LOG_UNAVAILABLE }));
}

/* Two consecutive writers fail right when a snapshot is due. */
TEST_F(SnapshotTest, TwoFailedWritersStillLeaveASnapshotInTime)
{
	const int64_t retention = 16000;
	struct {
		uint32_t dead;
		bool in_time;
	} rows[] = { { 0, true }, { 1, true }, { 2, true }, { 13, false } };

	for (auto &r : rows) {
		int64_t written = vh_snap_due_ms(0, retention, r.dead);
		/* the next one must exist before this one is removed */
		EXPECT_EQ(written <= retention / 2, r.in_time) << r.dead;
	}
}

/* State restored from a snapshot equals the state replayed from records. */
TEST(HomeSnapshot, LoadsWhatWasDumped)
{
	struct vh_home_settings hs = {};
	std::vector<std::pair<uint32_t, std::string>> records;
	struct vh_home *a, *b, *c;
	struct vh_buf body, dump_a, dump_b;
	struct vh_task_spec specs[3] = {};
	struct vh_job_spec spec = {};
	struct vh_job *job = NULL;
	uint32_t status;

	hs.team = vh_slice_str("shop");
	hs.dedupe_window_ms = 86400000;
	hs.max_attempts = 3;
	a = vh_home_new(&hs);
	b = vh_home_new(&hs);
	c = vh_home_new(&hs);
	vh_buf_init(&body);
	vh_buf_init(&dump_a);
	vh_buf_init(&dump_b);
	auto record = [&](uint32_t kind) {
		vh_home_apply(a, 1, 10, kind, vh_buf_slice(&body), 0);
		vh_buf_clear(&body);
	};
	record(VH_REC_OPEN);
	vh_home_open(a, 10, NULL, 0, 0);
	spec.n_tasks = 3;
	spec.tasks = specs;
	for (int i = 0; i < 20; i++) {
		std::string key = "k" + std::to_string(i);

		spec.idempotent = i % 2;
		vh_home_submit(a, slice(key), (uint64_t)i, &spec, 1000 + i, 0,
			       &body, &job);
		record(VH_REC_JOB);
		for (int t = 0; t < i % 4 && t < 3; t++) {
			struct vh_ended_task e = {};
			std::string task =
				str(job->id) + "/" + std::to_string(t);

			vh_home_start_attempt(a, &job->tasks[t],
					      vh_slice_str("r"), &body);
			record(VH_REC_ATTEMPT);
			if (i % 3)
				continue;
			e.task = slice(task);
			e.attempt = 1;
			e.end = i % 5 ? VH_END_DONE : VH_END_FAILED;
			e.result = vh_slice("a\0b", 3);
			vh_home_attempt_ended(a, &e, 0, &body);
			record(VH_REC_END);
		}
	}
	EXPECT_TRUE(vh_home_cancel(a, job, &body));
	record(VH_REC_CANCEL);
	for (int i = 0; i < 3; i++) {
		vh_home_request(a, slice("r" + std::to_string(i)), 7, 2000,
				&body, &status);
		record(VH_REC_REQUEST);
	}
	vh_home_request_ended(a, vh_slice_str("r1"), 201, &body);
	record(VH_REC_REQUEST_END);
	/* a job that is not durable is not included */
	vh_home_submit(a, vh_slice_str("open"), 1, &spec, 3000, 0, &body, &job);
	vh_buf_clear(&body);
	vh_home_dump(a, &dump_a);
	ASSERT_TRUE(vh_home_load(b, vh_buf_slice(&dump_a), 0));
	vh_home_dump(b, &dump_b);
	EXPECT_EQ(str(vh_buf_slice(&dump_a)), str(vh_buf_slice(&dump_b)));
	EXPECT_EQ(vh_home_submit(b, vh_slice_str("k3"), 3, &spec, 0, 0, &body,
				 &job),
		  VH_SUBMIT_DUPLICATE);
	EXPECT_EQ(vh_home_request(b, vh_slice_str("r1"), 7, 0, &body, &status),
		  VH_REQUEST_ENDED);
	EXPECT_EQ(status, 201u);
	EXPECT_EQ(vh_home_request(b, vh_slice_str("r2"), 7, 0, &body, &status),
		  VH_REQUEST_UNDER_WAY);
	/* truncated snapshots are rejected without reading past their end */
	for (size_t n = 0; n < dump_a.len; n += 1 + dump_a.len / 200) {
		EXPECT_FALSE(vh_home_load(c, vh_slice(dump_a.data, n), 0)) << n;
		vh_home_free(c);
		c = vh_home_new(&hs);
	}
	vh_home_free(a);
	vh_home_free(b);
	vh_home_free(c);
	vh_buf_finish(&body);
	vh_buf_finish(&dump_a);
	vh_buf_finish(&dump_b);
}
