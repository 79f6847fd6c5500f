#ifndef VH_FAKE_LOG_H
#define VH_FAKE_LOG_H

/*
 * Simulated time and an in-memory log service whose calls can fail. Used by the
 * tests of streams, racks and snapshots, and by the simulation in sim.h.
 */

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "vh/stream.h"
}

/* Scheduled callbacks, run in order of time, then of scheduling. */
class Events
{
      public:
	int64_t now = 0;

	void at(int64_t when, std::function<void()> fn)
	{
		events[{ when, ++count }] = fn;
	}
	bool step()
	{
		if (events.empty())
			return false;
		auto first = events.begin();
		auto fn = first->second;

		if (first->first.first > now)
			now = first->first.first;
		events.erase(first);
		fn();
		return true;
	}
	void run_until(int64_t when)
	{
		while (!events.empty() && events.begin()->first.first <= when)
			step();
		now = when;
	}
	size_t size() const
	{
		return events.size();
	}

      private:
	uint64_t count = 0;
	std::map<std::pair<int64_t, uint64_t>, std::function<void()>> events;
};

/* The simulated outcome of one append. */
struct AppendOutcome {
	int64_t effect_after = 1; /* -1: never takes effect */
	int64_t reply_after = 2;  /* -1: the reply is lost */
	enum vh_err error = VH_OK;
};

/* The platform's log in memory, with a configurable outcome for each call. */
class FakeLog
{
      public:
	explicit FakeLog(Events &events) : events(events)
	{
	}

	struct Stream {
		uint64_t first = 1;
		std::vector<std::string> records; /* from @first on */

		uint64_t next() const
		{
			return first + records.size();
		}
	};

	std::map<std::string, Stream> streams;
	std::function<AppendOutcome(const std::string &)> append_outcome;
	std::function<bool()> read_fails;
	int64_t read_latency = 1;
	int64_t poll_interval = 1; /* re-check interval of a waiting read */
	uint64_t appends = 0;

	void retain(const std::string &name, uint64_t first)
	{
		Stream &s = streams[name];

		while (s.first < first && !s.records.empty()) {
			s.records.erase(s.records.begin());
			s.first++;
		}
	}

	/* One client's connection to the log. */
	struct Port {
		FakeLog *log;
		/* replies are handled when the client runs again */
		std::function<int64_t()> resumes_at;
		std::function<bool()> cut;
	};

	struct vh_log_transport transport(Port *port)
	{
		struct vh_log_transport t = { append, read, port };

		return t;
	}
	struct vh_log_transport transport()
	{
		static std::deque<Port> ports;

		ports.push_back({ this, nullptr, nullptr });
		return transport(&ports.back());
	}

	/* Calls @fn at @when, or later if the client is paused then. */
	void deliver(Port *port, int64_t when, std::function<void()> fn)
	{
		events.at(when, [=] {
			int64_t at = port->resumes_at ? port->resumes_at() : 0;

			if (at > events.now)
				deliver(port, at, fn);
			else
				fn();
		});
	}

      private:
	Events &events;

	static std::string str(struct vh_slice s)
	{
		return std::string(s.data ? s.data : "", s.len);
	}

	static void append(void *ctx, struct vh_slice stream,
			   struct vh_slice bytes,
			   void (*done)(void *, enum vh_err, uint64_t),
			   void *arg)
	{
		Port *port = (Port *)ctx;
		FakeLog *log = port->log;
		std::string name = str(stream);
		std::string data = str(bytes);
		AppendOutcome f = log->append_outcome
					  ? log->append_outcome(name)
					  : AppendOutcome();
		int64_t now = log->events.now;
		auto offset = std::make_shared<uint64_t>(0);

		log->appends++;
		if (port->cut && port->cut())
			f = { -1, 5, VH_ERR_UNREACHABLE };
		if (f.effect_after >= 0) {
			log->events.at(now + f.effect_after, [=] {
				Stream &s = log->streams[name];

				*offset = s.next();
				s.records.push_back(data);
			});
		}
		log->deliver(port,
			     now + (f.reply_after < 0 ? 60000 : f.reply_after),
			     [=] {
				     bool ok = f.reply_after >= 0 && !f.error &&
					       *offset;

				     done(arg,
					  ok	    ? VH_OK
					  : f.error ? f.error
						    : VH_ERR_TIMEOUT,
					  ok ? *offset : 0);
			     });
	}

	static void read(void *ctx, struct vh_slice stream, uint64_t from,
			 size_t max_bytes, int64_t wait_ms,
			 void (*done)(void *, const struct vh_log_read *),
			 void *arg)
	{
		Port *port = (Port *)ctx;

		port->log->answer(port, str(stream), from, max_bytes,
				  port->log->events.now + wait_ms,
				  [=](const struct vh_log_read *r) {
					  done(arg, r);
				  });
	}

	/* A reply to a read, as of the time when the log sent it. */
	struct Answer {
		struct vh_log_read r = {};
		std::vector<std::string> copies;
		std::vector<struct vh_log_entry> entries;
	};

	void fill(Answer &a, const Stream &s, uint64_t from, size_t max_bytes)
	{
		size_t bytes = 0;

		a.r.first = s.first;
		a.r.next = s.next();
		if (from < s.first)
			a.r.err = VH_ERR_OFFSET_GONE;
		for (uint64_t o = from; !a.r.err && o < s.next() &&
					(a.copies.empty() || bytes < max_bytes);
		     o++) {
			a.copies.push_back(s.records[o - s.first]);
			bytes += a.copies.back().size();
		}
		for (size_t i = 0; i < a.copies.size(); i++)
			a.entries.push_back(
				{ from + i, vh_slice(a.copies[i].data(),
						     a.copies[i].size()) });
		a.r.entries = a.entries.data();
		a.r.n = a.entries.size();
	}

	void answer(Port *port, std::string name, uint64_t from,
		    size_t max_bytes, int64_t until,
		    std::function<void(const struct vh_log_read *)> done,
		    bool again = false)
	{
		int64_t wait = again ? poll_interval : read_latency;

		events.at(events.now + wait, [=] {
			auto a = std::make_shared<Answer>();
			Stream &s = streams[name];

			if ((read_fails && read_fails()) ||
			    (port->cut && port->cut()))
				a->r.err = VH_ERR_TIMEOUT;
			else if (from >= s.next() && events.now < until)
				return answer(port, name, from, max_bytes,
					      until, done, true);
			else
				fill(*a, s, from, max_bytes);
			deliver(port, events.now, [=] { done(&a->r); });
		});
	}
};

#endif
