#ifndef CELL_TESTS_VIEW_CHECK_H
#define CELL_TESTS_VIEW_CHECK_H

/*
 * Checks starts against what the store has answered: a task of a cancelled job,
 * on a draining worker or in a drained zone may start only within a bound after
 * the record was stored. Knows nothing of the nodes. Included by fake_cluster.h.
 */

#include <map>
#include <string>

extern "C" {
#include "keys.h"
#include "vh/ports.h"
}

namespace fake
{

/* The value of a worker's entry is its zone, with this suffix while it drains. */
constexpr const char *DRAINING_SUFFIX = " draining";
constexpr const char *ZONE_KEY_PREFIX = "evacuate/";

inline bool entry_draining(const std::string &value)
{
	const std::string suffix = DRAINING_SUFFIX;

	return value.size() > suffix.size() &&
	       value.compare(value.size() - suffix.size(), suffix.size(),
			     suffix) == 0;
}

inline std::string entry_zone(const std::string &value)
{
	return entry_draining(value)
		       ? value.substr(0, value.find(DRAINING_SUFFIX))
		       : value;
}

class ViewCheck
{
      public:
	/* The store has answered that a record is stored. */
	void stored(int topic, const std::string &key, const std::string &value,
		    int64_t now_ms)
	{
		if (topic == VH_TOPIC_JOBS)
			stored_job(key, value, now_ms);
		else if (topic == VH_TOPIC_FLEET)
			stored_worker(key, value, now_ms);
		else if (topic == VH_TOPIC_OBJECTS)
			stored_object(key, value, now_ms);
	}

	/* Returns what the start breaks, or an empty string. */
	std::string start(const eng_task_ref &task, const std::string &worker,
			  int64_t now_ms)
	{
		std::string id = std::to_string(task.job);
		std::string what;

		if (!bound_ms)
			return what;
		what += late(cancelled, id, "job cancelled", now_ms);
		what += late(draining, worker, "worker draining", now_ms);
		what += late(drained, zones[worker], "zone drained", now_ms);
		return what;
	}

	int64_t bound_ms = 0;  /* 0: nothing is checked */
	int starts_within = 0; /* starts after such a record, in the bound */

      private:
	using Times = std::map<std::string, int64_t>;

	static void set(Times &times, const std::string &key, bool on,
			int64_t now_ms)
	{
		if (on)
			times.emplace(key, now_ms);
		else
			times.erase(key);
	}

	/* The deletion of the record does not end the cancellation. */
	void stored_job(const std::string &key, const std::string &value,
			int64_t now_ms)
	{
		uint64_t id;

		if (vh_key_parse({ key.data(), key.size() }, VH_KEY_CANCEL,
				 &id) &&
		    !value.empty())
			cancelled.emplace(std::to_string(id), now_ms);
	}

	void stored_worker(const std::string &key, const std::string &value,
			   int64_t now_ms)
	{
		zones[key] = entry_zone(value);
		set(draining, key, entry_draining(value), now_ms);
	}

	void stored_object(const std::string &key, const std::string &value,
			   int64_t now_ms)
	{
		const std::string prefix = ZONE_KEY_PREFIX;

		if (key.compare(0, prefix.size(), prefix) == 0)
			set(drained, key.substr(prefix.size()), !value.empty(),
			    now_ms);
	}

	std::string late(const Times &times, const std::string &key,
			 const char *what, int64_t now_ms)
	{
		auto i = times.find(key);

		if (i == times.end())
			return "";
		if (now_ms - i->second > bound_ms)
			return std::string(what) + " " +
			       std::to_string(now_ms - i->second) +
			       " ms before; ";
		starts_within++;
		return "";
	}

	Times cancelled, draining, drained;
	std::map<std::string, std::string> zones; /* of workers */
};

} // namespace fake

#endif
