/*
 * Stand-ins of the platform's store, the workers and the consumers for the
 * scripts of review/6 to review/9. Starts the nodes with the command and the
 * settings template of the deploy file. Speaks what the users' PROTOCOL.md says,
 * on loopback addresses, on the real clock. Each script's course includes it.
 */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <arpa/inet.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using std::string;

static const auto start_time = std::chrono::steady_clock::now();

static int64_t now_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::steady_clock::now() - start_time)
		.count();
}

static int64_t wall_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::system_clock::now().time_since_epoch())
		.count();
}

static void sleep_ms(int64_t ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/* The record of what was sent, answered and run. */
static FILE *record_file;
static std::mutex record_lock;

static void note(const char *format, ...)
{
	std::lock_guard<std::mutex> guard(record_lock);
	va_list args;

	fprintf(record_file, "%8.3f ", (double)now_ms() / 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
}

/* HTTP */

struct Request {
	string method;
	string path;
	std::map<string, string> query;
	std::map<string, string> headers; /* names in lower case */
	string body;
};

struct Response {
	int status = 200;
	string body;
	string type = "application/json";
};

static bool read_more(int fd, string &in)
{
	char bytes[65536];
	ssize_t n = recv(fd, bytes, sizeof(bytes), 0);

	if (n <= 0)
		return false;
	in.append(bytes, (size_t)n);
	return true;
}

static bool write_all(int fd, const string &out)
{
	size_t done = 0;

	while (done < out.size()) {
		ssize_t n = send(fd, out.data() + done, out.size() - done,
				 MSG_NOSIGNAL);
		if (n <= 0)
			return false;
		done += (size_t)n;
	}
	return true;
}

static string lower(string s)
{
	std::transform(s.begin(), s.end(), s.begin(),
		       [](unsigned char c) { return (char)tolower(c); });
	return s;
}

static string percent_decode(const string &s)
{
	string out;

	for (size_t i = 0; i < s.size(); i++) {
		if (s[i] == '%' && i + 2 < s.size()) {
			out += (char)strtol(s.substr(i + 1, 2).c_str(), NULL,
					    16);
			i += 2;
		} else {
			out += s[i];
		}
	}
	return out;
}

/* Reads a start line, the headers and a body. */
static bool read_message(int fd, string &in, string &line,
			 std::map<string, string> &headers, string &body)
{
	size_t end;
	size_t len = 0;

	while ((end = in.find("\r\n\r\n")) == string::npos) {
		if (!read_more(fd, in))
			return false;
	}
	std::istringstream head(in.substr(0, end));
	string row;
	std::getline(head, line);
	if (!line.empty() && line.back() == '\r')
		line.pop_back();
	while (std::getline(head, row)) {
		size_t colon = row.find(':');

		if (!row.empty() && row.back() == '\r')
			row.pop_back();
		if (colon == string::npos)
			continue;
		size_t value = row.find_first_not_of(' ', colon + 1);
		headers[lower(row.substr(0, colon))] =
			value == string::npos ? "" : row.substr(value);
	}
	if (headers.count("content-length"))
		len = strtoul(headers["content-length"].c_str(), NULL, 10);
	while (in.size() < end + 4 + len) {
		if (!read_more(fd, in))
			return false;
	}
	body = in.substr(end + 4, len);
	in.erase(0, end + 4 + len);
	return true;
}

static bool read_request(int fd, string &in, Request &r)
{
	string line;

	r = Request();
	if (!read_message(fd, in, line, r.headers, r.body))
		return false;
	std::istringstream words(line);
	string target;
	words >> r.method >> target;
	size_t mark = target.find('?');
	r.path = target.substr(0, mark);
	if (mark == string::npos)
		return true;
	std::istringstream fields(target.substr(mark + 1));
	string field;
	while (std::getline(fields, field, '&')) {
		size_t eq = field.find('=');

		if (eq != string::npos)
			r.query[field.substr(0, eq)] =
				percent_decode(field.substr(eq + 1));
	}
	return true;
}

/* A free port below those that the kernel gives to channels. */
static int free_port()
{
	static int next = 20000 + (int)(getpid() % 90) * 130;

	for (;;) {
		struct sockaddr_in at = {};
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		int port = next++;

		at.sin_family = AF_INET;
		at.sin_port = htons((uint16_t)port);
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		int failed = bind(fd, (struct sockaddr *)&at, sizeof(at));
		close(fd);
		if (!failed)
			return port;
	}
}

/* A server with a thread for each channel. It can go away like a process that is
 * killed, and come back at the same port. */
class Server
{
      public:
	std::function<Response(const Request &)> handle;
	int port = free_port();

	void open()
	{
		struct sockaddr_in at = {};
		int on = 1;
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		at.sin_family = AF_INET;
		at.sin_port = htons((uint16_t)port);
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (bind(fd, (struct sockaddr *)&at, sizeof(at)) ||
		    listen(fd, 256)) {
			note("cannot listen on port %d", port);
			_exit(2);
		}
		listener = fd;
		std::thread([this, fd] { accept_all(fd); }).detach();
	}

	/* Resets all channels and refuses new ones. */
	void close_all()
	{
		std::lock_guard<std::mutex> guard(lock);
		struct linger reset = { 1, 0 };

		shutdown(listener, SHUT_RDWR);
		close(listener);
		for (int fd : channels) {
			setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset,
				   sizeof(reset));
			shutdown(fd, SHUT_RDWR);
		}
	}

      private:
	int listener = -1;
	std::mutex lock;
	std::set<int> channels;

	void accept_all(int fd)
	{
		for (;;) {
			int on = 1;
			int c = accept4(fd, NULL, NULL, SOCK_CLOEXEC);

			if (c < 0)
				return;
			setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &on,
				   sizeof(on));
			{
				std::lock_guard<std::mutex> guard(lock);
				channels.insert(c);
			}
			std::thread([this, c] { serve(c); }).detach();
		}
	}

	void serve(int fd)
	{
		string in;
		Request r;

		while (read_request(fd, in, r)) {
			Response a = handle(r);
			std::ostringstream out;

			out << "HTTP/1.1 " << a.status
			    << " X\r\nContent-Type: " << a.type
			    << "\r\nContent-Length: " << a.body.size()
			    << "\r\n\r\n"
			    << a.body;
			if (!write_all(fd, out.str()))
				break;
		}
		std::lock_guard<std::mutex> guard(lock);
		channels.erase(fd);
		close(fd);
	}
};

static string get_string(json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s ? s : "";
}

static int64_t get_int(json_t *o, const char *name)
{
	return json_integer_value(json_object_get(o, name));
}

static string dump(json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT);
	string s = text;

	free(text);
	json_decref(o);
	return s;
}

static string base64(const string &in)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	string out;

	for (size_t i = 0; i < in.size(); i += 3) {
		uint32_t v = 0;
		size_t n = std::min<size_t>(3, in.size() - i);

		for (size_t k = 0; k < 3; k++)
			v = v << 8 | (k < n ? (unsigned char)in[i + k] : 0u);
		for (size_t k = 0; k < 4; k++)
			out += k <= n ? digits[v >> (18 - 6 * k) & 63] : '=';
	}
	return out;
}

/* The platform's store */

struct Topic {
	std::vector<std::pair<string, string>> records;
	std::map<string, size_t> newest; /* key to offset */
	uint64_t epoch = 0;
	uint64_t sequence = 0;
};

/* How one machine reaches the store. */
struct StoreLink {
	Server server;
	std::atomic<int64_t> answer_ms{ 4 };
	std::atomic<bool> turned_away{ false }; /* answered 503 */
};

class Store
{
      public:
	StoreLink link; /* of all machines that have none of their own */
	std::atomic<int64_t> &answer_ms = link.answer_ms;
	/* Called after each append, without the lock. */
	std::function<void(const string &topic, const string &value)> appended;

	void open(StoreLink &l)
	{
		l.server.handle = [this, &l](const Request &r) {
			return handle(r, l);
		};
		l.server.open();
	}

	void put(const string &topic, const string &key, const string &value)
	{
		std::lock_guard<std::mutex> guard(lock);

		add(topics[topic], key, value);
		changed.notify_all();
	}

	/* The newest records whose keys begin with the prefix. */
	std::map<string, string> newest_of(const string &topic,
					   const string &prefix)
	{
		std::lock_guard<std::mutex> guard(lock);
		Topic &t = topics[topic];
		std::map<string, string> out;

		for (auto i = t.newest.lower_bound(prefix);
		     i != t.newest.end() &&
		     !i->first.compare(0, prefix.size(), prefix);
		     ++i)
			out[i->first] = t.records[i->second].second;
		return out;
	}

      private:
	std::mutex lock;
	std::condition_variable changed;
	std::map<string, Topic> topics;

	static void add(Topic &t, const string &key, const string &value)
	{
		t.records.emplace_back(key, value);
		if (value.empty())
			t.newest.erase(key);
		else
			t.newest[key] = t.records.size() - 1;
	}

	static Response refused()
	{
		Response a;

		a.status = 503;
		return a;
	}

	Response handle(const Request &r, StoreLink &l)
	{
		Response a;

		if (l.turned_away)
			return refused();
		if (r.path == "/log-append")
			a = append(r);
		else if (r.path == "/log-read")
			a = read(r, l);
		else if (r.path == "/log-newest")
			a = newest(r);
		else
			a.status = 404;
		sleep_ms(l.answer_ms);
		return a;
	}

	static uint64_t number(const Request &r, const char *name)
	{
		auto i = r.query.find(name);

		return i == r.query.end()
			       ? 0
			       : strtoull(i->second.c_str(), NULL, 10);
	}

	static Response error(int status, json_t *body)
	{
		Response a;

		a.status = status;
		a.body = dump(body);
		return a;
	}

	Response append(const Request &r)
	{
		string name = r.query.at("topic");
		string last;
		Response a;
		{
			std::lock_guard<std::mutex> guard(lock);
			Topic &t = topics[name];
			size_t offset = t.records.size();
			size_t at = 0;

			if (r.query.count("at") && number(r, "at") != offset)
				return error(412,
					     json_pack("{s:I}", "end",
						       (json_int_t)offset));
			if (r.query.count("producer")) {
				uint64_t epoch = number(r, "epoch");
				uint64_t sequence = number(r, "seq");

				if (epoch < t.epoch)
					return error(409, json_pack("{s:s}",
								    "reason",
								    "fenced"));
				if (epoch == t.epoch &&
				    sequence != t.sequence + 1)
					return error(
						409,
						json_pack(
							"{s:s,s:I}", "reason",
							"seq", "seq",
							(json_int_t)t.sequence +
								1));
				t.epoch = epoch;
				t.sequence = sequence;
			}
			while (at + 4 < r.body.size()) {
				const unsigned char *p =
					(const unsigned char *)r.body.data() +
					at;
				size_t len = (size_t)p[0] << 24 | p[1] << 16 |
					     p[2] << 8 | p[3];
				size_t key = p[4];

				last = r.body.substr(at + 5 + key,
						     len - 1 - key);
				add(t, r.body.substr(at + 5, key), last);
				at += 4 + len;
			}
			a.body = dump(json_pack("{s:I,s:I}", "offset",
						(json_int_t)offset, "end",
						(json_int_t)t.records.size()));
			changed.notify_all();
		}
		if (appended)
			appended(name, last);
		return a;
	}

	static void add_be(string &out, uint64_t v, int bytes)
	{
		while (bytes--)
			out += (char)(v >> 8 * bytes & 255);
	}

	Response read(const Request &r, StoreLink &l)
	{
		std::unique_lock<std::mutex> guard(lock);
		Topic &t = topics[r.query.at("topic")];
		size_t from = number(r, "from");
		int64_t end_ms = now_ms() + (int64_t)number(r, "waitMs");
		Response a;

		while (t.records.size() <= from && now_ms() < end_ms) {
			if (l.turned_away)
				return refused();
			changed.wait_for(guard, std::chrono::milliseconds(20));
		}
		a.type = "application/octet-stream";
		add_be(a.body, t.records.size(), 8);
		add_be(a.body, 0, 8);
		for (size_t i = from; i < t.records.size() && i < from + 1024;
		     i++) {
			const auto &rec = t.records[i];

			add_be(a.body, 1 + rec.first.size() + rec.second.size(),
			       4);
			add_be(a.body, rec.first.size(), 1);
			a.body += rec.first + rec.second;
		}
		return a;
	}

	Response newest(const Request &r)
	{
		std::lock_guard<std::mutex> guard(lock);
		Topic &t = topics[r.query.at("topic")];
		auto after = r.query.find("dependsOn");
		auto i = after == r.query.end()
				 ? t.newest.begin()
				 : t.newest.upper_bound(after->second);
		json_t *items = json_array();
		Response a;

		for (; i != t.newest.end() && json_array_size(items) < 500; ++i)
			json_array_append_new(
				items,
				json_pack("{s:s,s:s,s:I}", "key",
					  i->first.c_str(), "value",
					  base64(t.records[i->second].second)
						  .c_str(),
					  "offset", (json_int_t)i->second));
		a.body = dump(json_pack("{s:o,s:b,s:I}", "items", items, "more",
					i != t.newest.end(), "end",
					(json_int_t)t.records.size()));
		return a;
	}
};

/* Workers */

struct Run {
	uint32_t run;
	int64_t ends_ms; /* on the worker's clock */
	string spec;
};

struct End {
	int64_t number;
	string task;
	uint32_t run;
	string how;
};

/* What a worker began, for the check of the rules. */
struct Start {
	int64_t at_ms;
	string task;
	uint32_t run;
	int worker;
	string spec;
};

class Fleet;

class Worker
{
      public:
	int number = 0;
	string id;
	Server server;
	bool up = false;
	std::map<string, Run> running;
	std::vector<End> finished;
	Fleet *fleet = NULL;

	void boot();
	void crash();
	void beat();
	void tick();

      private:
	int64_t born = 0; /* Unix ms */
	int64_t booted_ms = 0;
	int64_t fence = 0;
	int64_t lease_ms = 0; /* on the worker's clock */
	int64_t ends = 0;
	int64_t beats = 0;
	std::map<string, uint32_t> over; /* highest run stopped or ended */

	int64_t clock() const
	{
		return now_ms() - booted_ms + 1000;
	}
	void end(const string &task, const string &how);
	Response handle(const Request &r);
	Response start(json_t *o);
	Response stop(json_t *o);
	Response hold(json_t *o, std::unique_lock<std::mutex> &guard);
	Response answer(int status, const char *reason);
};

class Fleet
{
      public:
	std::mutex lock;
	std::condition_variable changed;
	std::vector<std::unique_ptr<Worker>> workers;
	std::vector<Start> starts;
	std::vector<std::pair<int64_t, End>> ends; /* all that were listed */
	Store *store = NULL;
	int64_t hold_max_ms = 6000;
	/* How long a run takes, from its spec. */
	std::function<int64_t(const string &spec)> work_ms;
	/* Whether a ticket is valid for a task's step on a worker. */
	std::function<bool(const string &step, const string &worker,
			   const string &ticket)>
		ticket_valid;

	void open(int n, Store *s)
	{
		store = s;
		for (int i = 0; i < n; i++) {
			auto w = std::make_unique<Worker>();

			w->number = i;
			w->id = "i-0000000" + std::to_string(i);
			w->fleet = this;
			workers.push_back(std::move(w));
		}
		for (auto &w : workers)
			w->boot();
		std::thread([this] { tick_all(); }).detach();
	}

	/* The worker that runs a task of the job; -1: none. */
	int runs(const string &job)
	{
		std::lock_guard<std::mutex> guard(lock);

		for (auto &w : workers) {
			for (auto &r : w->running) {
				if (w->up && !r.first.compare(0, 16, job))
					return w->number;
			}
		}
		return -1;
	}

	int n_ends(const string &job, const string &how)
	{
		std::lock_guard<std::mutex> guard(lock);
		int n = 0;

		for (auto &e : ends)
			n += !e.second.task.compare(0, 16, job) &&
			     e.second.how == how;
		return n;
	}

      private:
	void tick_all()
	{
		for (int64_t i = 0;; i++) {
			sleep_ms(10);
			for (auto &w : workers) {
				w->tick();
				if ((i + w->number * 7) % 150 == 0)
					w->beat();
			}
		}
	}
};

void Worker::boot()
{
	{
		std::lock_guard<std::mutex> guard(fleet->lock);

		born = wall_ms();
		booted_ms = now_ms();
		fence = lease_ms = ends = 0;
		running.clear();
		finished.clear();
		over.clear();
		up = true;
		server.handle = [this](const Request &r) { return handle(r); };
		server.open();
	}
	note("worker %s boots", id.c_str());
	beat();
}

void Worker::crash()
{
	std::lock_guard<std::mutex> guard(fleet->lock);

	note("worker %s crashes, with %zu runs", id.c_str(), running.size());
	up = false;
	running.clear();
	finished.clear();
	server.close_all();
	fleet->changed.notify_all();
}

void Worker::beat()
{
	json_t *o;

	{
		std::lock_guard<std::mutex> guard(fleet->lock);

		if (!up)
			return;
		o = json_pack(
			"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},"
			"s:[s,s],s:I,s:I,s:I}",
			"service", "ledger", "address",
			("127.0.0.1:" + std::to_string(server.port)).c_str(),
			"zone", "zone-a", "version", "v1", "slots", 8, "state",
			"ready", "coldRemainingMs", 0, "capacity", "cpu", 16000,
			"memMb", 64000, "gpu", 0, "labels", "a", "r1-1",
			"clockMs", (json_int_t)clock(), "seq",
			(json_int_t)++beats, "born", (json_int_t)born);
	}
	fleet->store->put("keyed.servers", id, dump(o));
}

void Worker::end(const string &task, const string &how)
{
	End e = { ++ends, task, running[task].run, how };

	over[task] = std::max(over[task], e.run);
	running.erase(task);
	finished.push_back(e);
	fleet->ends.emplace_back(now_ms(), e);
	note("worker %s: %s run %u ends %s", id.c_str(), task.c_str(), e.run,
	     how.c_str());
	fleet->changed.notify_all();
}

void Worker::tick()
{
	std::lock_guard<std::mutex> guard(fleet->lock);
	std::vector<std::pair<string, string>> due;

	if (!up)
		return;
	for (auto &r : running) {
		if (lease_ms <= clock())
			due.emplace_back(r.first, "lapsed");
		else if (r.second.ends_ms <= clock())
			due.emplace_back(r.first, "done");
	}
	for (auto &d : due)
		end(d.first, d.second);
}

Response Worker::answer(int status, const char *reason)
{
	json_t *o = json_pack("{s:I}", "clockMs", (json_int_t)clock());
	Response a;

	if (reason)
		json_object_set_new(o, "reason", json_string(reason));
	a.status = status;
	a.body = dump(o);
	return a;
}

Response Worker::start(json_t *o)
{
	string task = get_string(o, "task");
	uint32_t run = (uint32_t)get_int(o, "run");
	int64_t until =
		std::min(get_int(o, "untilMs"), clock() + fleet->hold_max_ms);
	auto present = running.find(task);

	if (present != running.end() && present->second.run == run)
		return answer(200, NULL);
	if (over.count(task) && run <= over[task])
		return answer(409, "old");
	if (until <= clock())
		return answer(409, "late");
	if (fleet->ticket_valid &&
	    !fleet->ticket_valid(task.substr(0, task.rfind('.')), id,
				 get_string(o, "ticket"))) {
		note("worker %s rejects %s run %u: ticket", id.c_str(),
		     task.c_str(), run);
		return answer(409, "ticket");
	}
	lease_ms = std::max(lease_ms, until);
	running[task] = { run, clock() + fleet->work_ms(get_string(o, "spec")),
			  get_string(o, "spec") };
	fleet->starts.push_back(
		{ now_ms(), task, run, number, get_string(o, "spec") });
	note("worker %s begins %s run %u", id.c_str(), task.c_str(), run);
	return answer(200, NULL);
}

Response Worker::stop(json_t *o)
{
	string task = get_string(o, "task");
	uint32_t run = (uint32_t)get_int(o, "run");
	auto present = running.find(task);

	if (present != running.end() && present->second.run <= run)
		end(task, "stopped");
	over[task] = std::max(over[task], run);
	return answer(200, NULL);
}

Response Worker::hold(json_t *o, std::unique_lock<std::mutex> &guard)
{
	int64_t ack = get_int(o, "ackPosition");
	int64_t until =
		std::min(get_int(o, "untilMs"), clock() + fleet->hold_max_ms);
	json_t *body;
	Response a;

	lease_ms = std::max(lease_ms, until);
	finished.erase(
		std::remove_if(finished.begin(), finished.end(),
			       [&](const End &e) { return e.number <= ack; }),
		finished.end());
	fleet->changed.wait_for(guard,
				std::chrono::milliseconds(std::min<int64_t>(
					get_int(o, "waitMs"), 2000)),
				[&] { return !up || !finished.empty(); });
	body = json_pack("{s:I,s:I,s:[],s:[]}", "clockMs", (json_int_t)clock(),
			 "born", (json_int_t)born, "running", "finished");
	for (auto &r : running)
		json_array_append_new(json_object_get(body, "running"),
				      json_pack("[s,I,s,i,i]", r.first.c_str(),
						(json_int_t)r.second.run, "",
						50, 100));
	for (size_t i = 0; i < finished.size() && i < 500; i++)
		json_array_append_new(json_object_get(body, "finished"),
				      json_pack("[I,s,I,s,s]",
						(json_int_t)finished[i].number,
						finished[i].task.c_str(),
						(json_int_t)finished[i].run,
						finished[i].how.c_str(), ""));
	a.body = dump(body);
	return a;
}

Response Worker::handle(const Request &r)
{
	std::unique_lock<std::mutex> guard(fleet->lock);
	auto instance = r.headers.find("x-expect-instance");
	json_t *o;
	Response a;

	if (r.path == "/healthz")
		return a;
	if (instance != r.headers.end() && instance->second != id)
		return answer(421, NULL);
	o = json_loads(r.body.c_str(), 0, NULL);
	if (!o)
		return answer(400, NULL);
	if (get_int(o, "fencingToken") < fence) {
		json_decref(o);
		return answer(409, "fence");
	}
	fence = get_int(o, "fencingToken");
	if (r.path == "/run-start")
		a = start(o);
	else if (r.path == "/run-stop")
		a = stop(o);
	else if (r.path == "/hold")
		a = hold(o, guard);
	else
		a = answer(404, NULL);
	json_decref(o);
	return a;
}

/* The policy service: which workers may run a step. */
class Policy
{
      public:
	Server server;
	int64_t decide_ms = 440;
	double each_ms = 6.3;
	int64_t valid_ms = 1500;
	/* Whether the queue's policy allows a worker for a step. */
	std::function<bool(const string &step, const string &worker)> allows;
	/* Called when a call arrives. */
	std::function<void(const string &step)> asked;

	void open()
	{
		server.handle = [this](const Request &r) { return advise(r); };
		server.open();
	}

	bool valid(const string &step, const string &worker,
		   const string &ticket)
	{
		std::lock_guard<std::mutex> guard(lock);
		auto i = tickets.find(ticket);

		return i != tickets.end() && i->second.step == step &&
		       i->second.worker == worker &&
		       i->second.until_ms > now_ms();
	}

      private:
	struct Ticket {
		string step;
		string worker;
		int64_t until_ms;
	};
	std::mutex lock;
	std::map<string, Ticket> tickets;

	Response advise(const Request &r)
	{
		json_t *o = json_loads(r.body.c_str(), 0, NULL);
		string step = get_string(o, "step");
		json_t *ids = json_object_get(o, "workers");
		json_t *good = json_array();
		Response a;

		if (asked)
			asked(step);
		sleep_ms(decide_ms +
			 (int64_t)(each_ms * (double)json_array_size(ids)));
		for (size_t i = 0; i < json_array_size(ids); i++) {
			string id = json_string_value(json_array_get(ids, i));
			std::lock_guard<std::mutex> guard(lock);
			string ticket = "t-" + std::to_string(tickets.size());

			if (!allows(step, id))
				continue;
			tickets[ticket] = { step, id, now_ms() + valid_ms };
			json_array_append_new(good,
					      json_pack("[s,s]", id.c_str(),
							ticket.c_str()));
		}
		note("policy: %s, %zu of %zu workers are good", step.c_str(),
		     json_array_size(good), json_array_size(ids));
		a.body = dump(json_pack("{s:o,s:I}", "good", good, "validMs",
					(json_int_t)valid_ms));
		json_decref(o);
		return a;
	}
};

/* Nodes */

static string read_file(const string &path)
{
	std::ifstream in(path);
	std::ostringstream out;

	out << in.rdbuf();
	return out.str();
}

class Node
{
      public:
	string name;
	string settings_path;
	string log_path;
	int front = free_port();
	int readiness = free_port();
	int peer = free_port();
	int metrics = free_port();
	std::unique_ptr<StoreLink> store_link;
	pid_t pid = 0;

	void write_settings(const string &folder, int store_port,
			    int policy_port)
	{
		string local = "127.0.0.1:";
		std::map<string, string> fields = {
			{ "nodeName", name },
			{ "zone", "zone-a" },
			{ "ip", "127.0.0.1" },
			{ "listen.frontend", local + std::to_string(front) },
			{ "listen.readiness",
			  local + std::to_string(readiness) },
			{ "portRange.0", std::to_string(peer) },
			{ "portRange.1", std::to_string(metrics) },
			{ "platform.address",
			  local + std::to_string(store_port) },
			{ "advice", local + std::to_string(policy_port) },
			{ "limits.cpuShare", "0.25" },
			{ "heartbeatMs", "1500" },
			{ "bounds.holdMaxMs", "6000" },
			{ "bounds.contactMs", "4000" },
			{ "bounds.stopMs", "900" },
			{ "bounds.gangMs", "3000" },
			{ "bounds.revokeMs", "5000" },
			{ "bounds.graceS", "6" },
		};
		string text = read_file("deploy/node.ini");

		for (auto &f : fields) {
			string mark = "{{" + f.first + "}}";

			for (size_t at; (at = text.find(mark)) != string::npos;)
				text.replace(at, mark.size(), f.second);
		}
		settings_path = folder + "/" + name + ".ini";
		log_path = folder + "/" + name + ".log";
		std::ofstream(settings_path) << text;
	}

	void start()
	{
		note("node %s starts", name.c_str());
		pid = fork();
		if (pid)
			return;
		prctl(PR_SET_PDEATHSIG, SIGKILL); /* ends with the script */
		setenv("VANILLAHOLLOW_NODE_FILE", settings_path.c_str(), 1);
		if (!freopen(log_path.c_str(), "a", stdout))
			_exit(2);
		dup2(1, 2);
		execl("target/bin/vanillahollowd", "vanillahollowd",
		      "--platform", (char *)NULL);
		_exit(2);
	}

	void signal_process(int sig)
	{
		if (pid <= 0)
			return;
		note("node %s gets signal %d", name.c_str(), sig);
		kill(pid, sig);
	}

	/* As the platform does it: a process that has ended starts again. */
	bool restart_if_ended()
	{
		int status;

		if (pid <= 0 || waitpid(pid, &status, WNOHANG) != pid)
			return false;
		note("node %s has ended", name.c_str());
		sleep_ms(500);
		start();
		return true;
	}
};

/* Consumers */

static const char key_one[] = "key-of-team-one";
static const char key_two[] = "key-of-team-two";

/* Sends one request on a channel of its own. 0: no answer. */
static int call(int port, const string &method, const string &path,
		const string &body, string *answer, const char *key = key_one)
{
	struct sockaddr_in at = {};
	struct timeval limit = { 3, 0 };
	std::map<string, string> headers;
	std::ostringstream out;
	string in;
	string line;
	string text;
	int status = 0;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	at.sin_family = AF_INET;
	at.sin_port = htons((uint16_t)port);
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	out << method << " " << path << " HTTP/1.1\r\nHost: jobs.example\r\n";
	if (key)
		out << "Authorization: Token " << key << "\r\n";
	out << "X-Deadline-Ms: 3000\r\nContent-Type: application/json\r\n"
	    << "Content-Length: " << body.size() << "\r\n\r\n"
	    << body;
	if (!connect(fd, (struct sockaddr *)&at, sizeof(at)) &&
	    write_all(fd, out.str()) &&
	    read_message(fd, in, line, headers, text) && line.size() > 12)
		status = atoi(line.c_str() + 9);
	close(fd);
	if (answer)
		*answer = text;
	return status;
}

class World
{
      public:
	Store store;
	Fleet fleet;
	Policy policy;
	std::vector<std::unique_ptr<Node>> nodes;
	string folder;
	bool own_links = false; /* to the store, one for each node */

	void open(int n_nodes, int n_workers)
	{
		char name[] = "/tmp/vh-review-XXXXXX";

		folder = mkdtemp(name);
		fleet.work_ms = [](const string &spec) {
			return (int64_t)atoi(spec.c_str());
		};
		store.open(store.link);
		policy.open();
		put_config();
		fleet.open(n_workers, &store);
		for (int i = 0; i < n_nodes; i++) {
			auto node = std::make_unique<Node>();

			node->name = "edge-" + std::to_string(i + 1);
			node->write_settings(folder, store_port(*node),
					     policy.server.port);
			node->start();
			nodes.push_back(std::move(node));
		}
	}

	/* The store's port for a node. */
	int store_port(Node &n)
	{
		if (!own_links)
			return store.link.server.port;
		n.store_link = std::make_unique<StoreLink>();
		store.open(*n.store_link);
		return n.store_link->server.port;
	}

	void close_all()
	{
		for (auto &n : nodes) {
			if (n->pid > 0) {
				kill(n->pid, SIGKILL);
				waitpid(n->pid, NULL, 0);
			}
			if (getenv("KEEP"))
				continue;
			unlink(n->settings_path.c_str());
			unlink(n->log_path.c_str());
		}
		if (!getenv("KEEP"))
			rmdir(folder.c_str());
	}

	bool wait_ready()
	{
		for (int i = 0; i < 150; i++) {
			bool all = true;

			for (auto &n : nodes)
				all &= call(n->readiness, "GET", "/readyz", "",
					    NULL) == 200;
			if (all)
				return true;
			sleep_ms(100);
		}
		return false;
	}

	/* Sends a job until it is accepted, at one node after the other. */
	bool submit(const string &id, const string &body,
		    const string &prefix = "/q/", const char *key = key_one)
	{
		for (int i = 0; i < 12; i++) {
			Node &n = *nodes[(size_t)i % nodes.size()];
			int status = call(n.front, "POST", prefix + id, body,
					  NULL, key);

			note("POST %s at %s: %d", id.c_str(), n.name.c_str(),
			     status);
			if (status == 200)
				return true;
			sleep_ms(500);
		}
		return false;
	}

	/* The state that a node shows; empty: no answer with a state. */
	string state(const string &id, const string &prefix = "/q/")
	{
		for (auto &n : nodes) {
			string text;
			int status =
				call(n->front, "GET", prefix + id, "", &text);

			if (status == 410)
				return "410";
			if (status != 200)
				continue;
			json_t *o = json_loads(text.c_str(), 0, NULL);
			string s = get_string(o, "state");
			json_decref(o);
			return s;
		}
		return "";
	}

	static string tasks(int count, int cpu, int work_ms)
	{
		return dump(json_pack("{s:s,s:[{s:i,s:i,s:i,s:i}]}", "spec",
				      std::to_string(work_ms).c_str(), "steps",
				      "count", count, "cpu", cpu, "memMb", 256,
				      "estimateMs", work_ms));
	}

	static string one_task(int work_ms)
	{
		return tasks(1, 500, work_ms);
	}

      private:
	static json_t *route(const char *name, const char *prefix,
			     bool open = false)
	{
		return json_pack(
			"{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f,s:b}", "name",
			name, "host", "jobs.example", "prefix", prefix, "kind",
			"mutating", "timeoutMs", 3000, "targetDurationMs", 3000,
			"priority", 1, "service", "ledger", "maxAttempts", 3,
			"stretch", 4.0, "public", open);
	}

	/* A queue whose policy allows some workers only. */
	static json_t *advised(const char *name, const char *prefix,
			       int priority, double stretch, int target_ms)
	{
		json_t *o = route(name, prefix);

		json_object_set_new(o, "priority", json_integer(priority));
		json_object_set_new(o, "stretch", json_real(stretch));
		json_object_set_new(o, "targetDurationMs",
				    json_integer(target_ms));
		json_object_set_new(o, "advice",
				    json_pack("{s:f,s:f,s:i}", "decideMs",
					      440.0, "eachMs", 6.3, "validMs",
					      1500));
		return o;
	}

	static json_t *tenant(const char *name, const char *key)
	{
		return json_pack("{s:s,s:[s],s:i,s:{s:i,s:i,s:i}}", "name",
				 name, "apiKeys", key, "weight", 100, "cap",
				 "cpu", 0, "memMb", 0, "gpu", 0);
	}

	/* A queue and a tenant for each of two teams. */
	void put_config()
	{
		store.put("keyed.op", "config",
			  dump(json_pack(
				  "{s:i,s:[o,o,o,o,o],s:[{s:s,s:b}],s:{s:i},s:["
				  "o,o]}",
				  "version", 1, "routes", route("r-one", "/q/"),
				  route("r-two", "/p/"),
				  route("r-open", "/o/", true),
				  advised("r-plan", "/x/", 1, 1.5, 600),
				  advised("r-urgent", "/y/", 0, 4.0, 3000),
				  "services", "name", "ledger",
				  "admissionCheck", 0, "limits", "maxBodyBytes",
				  262144, "tenants",
				  tenant("team-one", key_one),
				  tenant("team-two", key_two))));
	}
};

#endif
