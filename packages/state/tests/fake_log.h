#ifndef VH_FAKE_LOG_H
#define VH_FAKE_LOG_H

#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "vh/stream.h"
}

/* Things to do at a time, in order of time, then of scheduling. */
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

/* What becomes of one append. */
struct AppendFate {
	int64_t effect_after = 1; /* -1: never takes effect */
	int64_t reply_after = 2;  /* -1: the reply is lost */
	enum vh_err error = VH_OK;
};

/* The platform's log in memory, under a chosen fate for each call. */
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
	std::function<AppendFate(const std::string &)> fate;
	std::function<bool()> read_fails;
	int64_t read_latency = 1;
	uint64_t appends = 0;

	void retain(const std::string &name, uint64_t first)
	{
		Stream &s = streams[name];

		while (s.first < first && !s.records.empty()) {
			s.records.erase(s.records.begin());
			s.first++;
		}
	}

	struct vh_log_transport transport()
	{
		struct vh_log_transport t = { append, read, this };

		return t;
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
		FakeLog *log = (FakeLog *)ctx;
		std::string name = str(stream);
		std::string data = str(bytes);
		AppendFate f = log->fate ? log->fate(name) : AppendFate();
		int64_t now = log->events.now;
		auto offset = std::make_shared<uint64_t>(0);

		log->appends++;
		if (f.effect_after >= 0) {
			log->events.at(now + f.effect_after, [=] {
				Stream &s = log->streams[name];

				*offset = s.next();
				s.records.push_back(data);
			});
		}
		log->events.at(
			f.reply_after < 0 ? now + 60000 : now + f.reply_after,
			[=] {
				if (f.reply_after < 0 || !*offset)
					done(arg,
					     f.error ? f.error : VH_ERR_TIMEOUT,
					     0);
				else
					done(arg, f.error, *offset);
			});
	}

	static void read(void *ctx, struct vh_slice stream, uint64_t from,
			 size_t max_bytes, int64_t wait_ms,
			 void (*done)(void *, const struct vh_log_read *),
			 void *arg)
	{
		FakeLog *log = (FakeLog *)ctx;

		log->answer(str(stream), from, max_bytes,
			    log->events.now + wait_ms, done, arg);
	}

	void answer(std::string name, uint64_t from, size_t max_bytes,
		    int64_t until,
		    void (*done)(void *, const struct vh_log_read *), void *arg)
	{
		events.at(events.now + read_latency, [=] {
			struct vh_log_read r = {};
			std::vector<std::string> copies;
			std::vector<struct vh_log_entry> entries;
			Stream &s = streams[name];
			size_t bytes = 0;

			if (read_fails && read_fails()) {
				r.err = VH_ERR_TIMEOUT;
				done(arg, &r);
				return;
			}
			if (from >= s.next() && events.now < until) {
				answer(name, from, max_bytes, until, done, arg);
				return;
			}
			r.first = s.first;
			r.next = s.next();
			if (from < s.first)
				r.err = VH_ERR_OFFSET_GONE;
			for (uint64_t o = from;
			     !r.err && o < s.next() &&
			     (copies.empty() || bytes < max_bytes);
			     o++) {
				copies.push_back(s.records[o - s.first]);
				bytes += copies.back().size();
			}
			for (size_t i = 0; i < copies.size(); i++)
				entries.push_back(
					{ from + i,
					  vh_slice(copies[i].data(),
						   copies[i].size()) });
			r.entries = entries.data();
			r.n = entries.size();
			done(arg, &r);
		});
	}
};

#endif
