#ifndef VH_FAKE_WORKER_H
#define VH_FAKE_WORKER_H

/*
 * An in-memory worker that answers sync requests, and copies of the messages.
 * Used by the tests of racks and snapshots, and by the simulation in sim.h.
 */

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "vh/sync.h"
}

static inline std::string str(struct vh_slice s)
{
	return std::string(s.data ? s.data : "", s.len);
}

static inline struct vh_slice slice(const std::string &s)
{
	return vh_slice(s.data(), s.size());
}

/* Owns the strings that copied structures point into. */
class Strings
{
      public:
	struct vh_slice keep(struct vh_slice s)
	{
		owned.push_back(str(s));
		return slice(owned.back());
	}

      private:
	std::deque<std::string> owned;
};

/* A copy of a request that stays valid while in transit. */
struct SyncRequest {
	struct vh_sync_req req;
	std::vector<struct vh_start> starts;
	std::vector<struct vh_stop> stops;
	Strings strings;

	explicit SyncRequest(const struct vh_sync_req &r) : req(r)
	{
		starts.assign(r.starts, r.starts + r.n_starts);
		stops.assign(r.stops, r.stops + r.n_stops);
		req.owner = strings.keep(r.owner);
		req.incarnation = strings.keep(r.incarnation);
		for (auto &s : starts) {
			s.task = strings.keep(s.task);
			s.home = strings.keep(s.home);
			s.service = strings.keep(s.service);
			s.input = strings.keep(s.input);
		}
		for (auto &s : stops)
			s.task = strings.keep(s.task);
		req.starts = starts.data();
		req.stops = stops.data();
	}
	SyncRequest(const SyncRequest &) = delete;
};

struct SyncReply {
	struct vh_sync_reply reply = {};
	std::vector<struct vh_running_task> running;
	std::vector<struct vh_ended_task> ended;
	std::vector<struct vh_refused_start> refused;
	Strings strings;
	bool stale = false;

	SyncReply()
	{
	}
	SyncReply(const SyncReply &) = delete;
	void finish()
	{
		reply.running = running.data();
		reply.n_running = running.size();
		reply.ended = ended.data();
		reply.n_ended = ended.size();
		reply.refused = refused.data();
		reply.n_refused = refused.size();
	}
};

/* A worker as specified in docs/PLATFORM.md, with its own clock. */
class FakeWorker
{
      public:
	struct Run {
		std::string task, home;
		uint32_t attempt;
		uint64_t home_epoch;
		enum vh_class cls;
		struct vh_res size;
		int64_t since, until;
	};
	struct End {
		uint64_t seq;
		std::string task, home, result;
		uint32_t attempt;
		enum vh_end end;
	};

	std::string id;
	struct vh_res capacity;
	int64_t clock_offset;
	int incarnation = 1;
	bool up = true;
	bool leaving = false;
	bool check_epoch = true;
	uint64_t epoch = 0;
	int64_t lease = 0;		    /* on its own clock */
	std::map<std::string, Run> running; /* by task#attempt */
	std::vector<End> ended;
	std::map<std::string, bool> past_attempts; /* attempts ended here */
	uint64_t last_seq = 0;
	std::function<int64_t(const std::string &)> run_ms;
	std::function<void(const Run &)> on_begin;
	std::function<void(const Run &, enum vh_end)> on_end;

	FakeWorker(const std::string &id, struct vh_res capacity,
		   int64_t clock_offset)
	    : id(id), capacity(capacity), clock_offset(clock_offset)
	{
	}

	int64_t clock(int64_t now) const
	{
		return now + clock_offset;
	}
	std::string name() const
	{
		return id + "/" + std::to_string(incarnation);
	}
	static std::string key(const std::string &task, uint32_t attempt)
	{
		return task + "#" + std::to_string(attempt);
	}

	/* Ends the runs that are due, in order of time. */
	void advance(int64_t now)
	{
		if (!up)
			return;
		if (lease && clock(now) >= lease) {
			finish_due(lease - clock_offset);
			while (!running.empty())
				finish(running.begin()->first, VH_END_LOST);
			lease = 0;
		}
		finish_due(now);
	}
	/* Loses all runs; restarts as a new incarnation if @back. */
	void crash(bool back)
	{
		while (!running.empty())
			finish(running.begin()->first, VH_END_LOST);
		incarnation++;
		up = back;
		epoch = 0;
		lease = 0;
		ended.clear();
		past_attempts.clear();
		last_seq = 0;
		clock_offset += 12345;
	}
	size_t unacked(uint64_t ack) const
	{
		size_t n = 0;

		for (auto &e : ended)
			n += e.seq > ack;
		return n;
	}

	/* Processes a request at @now; answer() makes the reply. */
	bool read(const struct vh_sync_req &req, int64_t now, SyncReply &out)
	{
		bool addressed =
			!req.incarnation.len || str(req.incarnation) == name();

		advance(now);
		if (check_epoch && req.epoch < epoch) {
			out.stale = true;
			return false;
		}
		epoch = std::max(epoch, req.epoch);
		if (!addressed) {
			for (size_t i = 0; i < req.n_starts; i++)
				refuse(out, req.starts[i], "late");
			return true;
		}
		if (req.lease_until_ms > clock(now))
			lease = std::max(lease, req.lease_until_ms);
		while (!ended.empty() && ended.front().seq <= req.ack)
			ended.erase(ended.begin());
		for (size_t i = 0; i < req.n_starts; i++)
			begin(out, req.starts[i], now);
		for (size_t i = 0; i < req.n_stops; i++)
			if (req.stops[i].mode != VH_STOP_THROTTLE)
				finish(key(str(req.stops[i].task),
					   req.stops[i].attempt),
				       VH_END_STOPPED);
		return true;
	}
	void answer(const struct vh_sync_req &req, int64_t now, SyncReply &out)
	{
		advance(now);
		out.reply.epoch = epoch;
		out.reply.clock_ms = clock(now);
		out.reply.incarnation = out.strings.keep(slice(name()));
		out.reply.leaving = leaving;
		out.reply.full = req.full;
		for (auto &e : ended) {
			struct vh_ended_task v = {};

			if (e.seq <= req.ack && str(req.incarnation) == name())
				continue;
			v.seq = e.seq;
			v.task = out.strings.keep(slice(e.task));
			v.home = out.strings.keep(slice(e.home));
			v.result = out.strings.keep(slice(e.result));
			v.attempt = e.attempt;
			v.end = e.end;
			out.ended.push_back(v);
		}
		for (auto &it : running) {
			struct vh_running_task v = {};

			if (!req.full)
				break;
			v.task = out.strings.keep(slice(it.second.task));
			v.home = out.strings.keep(slice(it.second.home));
			v.attempt = it.second.attempt;
			v.home_epoch = it.second.home_epoch;
			v.cls = it.second.cls;
			v.size = it.second.size;
			v.since_ms = it.second.since;
			out.running.push_back(v);
		}
		out.finish();
	}

      private:
	void refuse(SyncReply &out, const struct vh_start &s, const char *why)
	{
		struct vh_refused_start v = {};

		v.task = out.strings.keep(s.task);
		v.attempt = s.attempt;
		v.why = vh_slice_str(why);
		out.refused.push_back(v);
	}
	void begin(SyncReply &out, const struct vh_start &s, int64_t now)
	{
		std::string k = key(str(s.task), s.attempt);
		struct vh_res used = s.size;

		for (auto &it : running)
			vh_res_add(&used, &it.second.size);
		if (running.count(k))
			return;
		if (past_attempts.count(k))
			refuse(out, s, "duplicate");
		else if (clock(now) > s.not_after_ms)
			refuse(out, s, "late");
		else if (!lease)
			refuse(out, s, "no_lease");
		else if (!vh_res_fits(&used, &capacity))
			refuse(out, s, "full");
		else {
			int64_t ms = run_ms ? run_ms(str(s.task)) : 1000;

			running[k] = { str(s.task),  str(s.home), s.attempt,
				       s.home_epoch, s.cls,	  s.size,
				       now,	     now + ms };
			if (on_begin)
				on_begin(running[k]);
		}
	}
	void finish_due(int64_t now)
	{
		std::vector<std::string> due;

		for (auto &it : running)
			if (it.second.until <= now)
				due.push_back(it.first);
		for (auto &k : due)
			finish(k, VH_END_DONE);
	}
	void finish(std::string k, enum vh_end end)
	{
		auto it = running.find(k);

		if (it == running.end())
			return;
		Run run = it->second;
		running.erase(it);
		past_attempts[k] = true;
		ended.push_back({ ++last_seq, run.task, run.home, "ok",
				  run.attempt, end });
		if (on_end)
			on_end(run, end);
	}
};

#endif
