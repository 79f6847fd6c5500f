#ifndef VH_RACK_H
#define VH_RACK_H

#include "vh/sync.h"

/**
 * struct vh_vm - a worker as the platform's VM list gives it
 * @gone: no longer listed, or listed as failed
 */
struct vh_vm {
	struct vh_slice id;
	struct vh_slice address; /* IP number */
	uint16_t port;
	struct vh_slice region;
	struct vh_slice zone;
	struct vh_slice rack;
	struct vh_res capacity;
	bool leaving;
	bool gone;
};

/**
 * struct vh_place_req - a home asks a rack's owner to run a task
 * @start: not_after_ms is ignored; the rack sets it
 * @deadline_ms: owner's clock: not decided later; 0 for none
 * @rack_epoch: whom is asked: decided under this epoch of the rack or not at
 *		all (VH_ERR_NOT_OWNER)
 * @again: this attempt was asked of the same owner before
 *
 * An attempt must be asked of one owner only. When the rack gets another one,
 * vh_home_rack_owner_changed() and the seal that follows say what became of it: were
 * it asked of the new one as well, a late word of the old one, true by itself,
 * would be taken for the new one's.
 */
struct vh_place_req {
	struct vh_start start;
	int64_t deadline_ms;
	uint64_t rack_epoch;
	bool again;
};

/**
 * struct vh_worker_view - what placement may look at, one per worker
 * @free: capacity less what is committed
 * @n_tasks: tasks committed
 * @usable: adopted, not leaving, lease alive, not set aside
 */
struct vh_worker_view {
	struct vh_slice id;
	struct vh_res capacity;
	struct vh_res free;
	uint32_t n_tasks;
	bool usable;
};

/**
 * struct vh_rack_callbacks - what a rack tells its user
 * @choose: picks a worker for @start among @n views; returns an index, or @n
 *	    and sets *@why
 * @placed: the worker took the start on
 * @refused: it surely did not begin and will not (the commitment is undone)
 * @ended: an attempt ended. Call vh_rack_ack_end() once the home has it;
 *	   until then the end is told again, every VH_RACK_END_RESEND_MS and
 *	   after each adoption.
 *
 * Slices are valid during the call. The callbacks come from within calls on
 * the rack, and may call vh_rack_ack_end() and vh_rack_place() only.
 */
#define VH_RACK_END_RESEND_MS 2000

struct vh_rack_callbacks {
	size_t (*choose)(void *ctx, const struct vh_start *start,
			 const struct vh_worker_view *views, size_t n,
			 enum vh_err *why);
	void (*placed)(void *ctx, struct vh_slice task, uint32_t attempt,
		       struct vh_slice home, struct vh_slice worker);
	void (*refused)(void *ctx, struct vh_slice task, uint32_t attempt,
			struct vh_slice home, enum vh_err why);
	void (*ended)(void *ctx, struct vh_slice worker,
		      const struct vh_ended_task *ended);
	void *ctx;
};

struct vh_rack_settings {
	struct vh_slice name;
	int64_t lease_ms;
	int64_t renew_ms; /* renewal period */
	int64_t start_void_ms;
	int64_t clock_margin_ms; /* for drift over one lease */
	bool hold; /* two exchanges with a worker: see vh_rack_sync_due() */
};

/**
 * struct vh_rack - one rack in the hands of its owner
 *
 * Pure: what is committed on each worker, what was told to it and what it
 * said. Asserts I1 and I2 on each change. The user carries sync requests to
 * workers: vh_rack_sync_due() says which are wanted.
 */
struct vh_rack;

struct vh_rack *vh_rack_new(const struct vh_rack_settings *settings,
			    const struct vh_rack_callbacks *callbacks);
void vh_rack_free(struct vh_rack *r);

/* vh_rack_update_vm - tells of a worker of this rack, whenever the list changes */
void vh_rack_update_vm(struct vh_rack *r, const struct vh_vm *vm,
		       int64_t now_ms);

/**
 * vh_rack_take_ownership - begins to own under @epoch; no worker is adopted yet
 *
 * Fence every home right after it, with the epoch that "claims" gives it, and
 * again whenever a home gets a new owner: that is what keeps a deposed home
 * from starting anything here.
 */
void vh_rack_take_ownership(struct vh_rack *r, uint64_t epoch, int64_t now_ms);

/* vh_rack_drop_ownership - forgets all commitments; no callbacks */
void vh_rack_drop_ownership(struct vh_rack *r);
uint64_t vh_rack_epoch(const struct vh_rack *r); /* 0: not owned */

/**
 * vh_rack_ownership_confirmed - the rack was still ours at @fresh_ms
 *
 * Tell it from vh_stream_fresh_ms() of "claims" after each of its changes. A
 * lapsed lease counts only once the claims were read after the lapse: before,
 * an owner that has been deposed cannot know that its successor did not renew
 * the lease. While the log is down, runs of lost workers stay committed.
 */
void vh_rack_ownership_confirmed(struct vh_rack *r, int64_t fresh_ms);

/**
 * vh_rack_fence_home - refuses starts of this home under older epochs
 *
 * Returns true if every worker of the rack that may run anything has been
 * adopted, so that vh_rack_each_home_run() is the whole truth. A rack of which no
 * worker is known yet tells nothing.
 */
bool vh_rack_fence_home(struct vh_rack *r, struct vh_slice home,
			uint64_t home_epoch);

/* vh_rack_each_home_run - calls @fn for each run of this home committed here,
 * with the worker's id. Ended and refused runs that are not settled are
 * among them: ended() or refused() is told for them as well. */
void vh_rack_each_home_run(const struct vh_rack *r, struct vh_slice home,
			   void (*fn)(void *ctx,
				      const struct vh_running_task *run,
				      struct vh_slice worker),
			   void *ctx);

/**
 * vh_rack_place - decides on a start
 *
 * VH_OK: committed; placed() or refused() follows. The same task and attempt
 * asked again is VH_OK again and decided once. Else nothing was committed and
 * the error says why (VH_ERR_NO_CAPACITY, VH_ERR_NEVER_FITS,
 * VH_ERR_STALE_EPOCH, VH_ERR_NOT_READY, VH_ERR_DEADLINE, VH_ERR_NOT_OWNER).
 *
 * A request whose answer was lost is asked again with @again set until an
 * answer comes; so is one that was answered VH_OK when neither placed() nor
 * refused() has followed. Decisions are remembered for VH_RACK_DECISION_TTL_MS; a
 * request must not arrive later than that after it was sent.
 */
#define VH_RACK_DECISION_TTL_MS 60000

enum vh_err vh_rack_place(struct vh_rack *r, const struct vh_place_req *req,
			  int64_t now_ms);

/* vh_rack_stop - asks to stop a run; ended() follows. VH_ERR_NOT_FOUND. */
enum vh_err vh_rack_stop(struct vh_rack *r, struct vh_slice task,
			 uint32_t attempt, enum vh_stop_mode mode);

/**
 * vh_rack_sync_due - the next worker that wants an exchange now
 * @worker: set to its id
 * @req: filled; its arrays are valid until the next call on @r
 * @now_ms: read right before; starts whose time has run out are not sent
 *
 * Returns false if none is due. A returned exchange must be ended with
 * vh_rack_exchange_done() or vh_rack_exchange_failed(), naming @req->exchange.
 *
 * With settings.hold a worker has at most two exchanges under way: one held by
 * the worker until a task ends or the lease wants renewal (@req->wait_ms is
 * not 0), and one with starts, stops or a first adoption, which must not wait
 * behind it. Without, it has one, held for VH_RACK_SHORT_POLL_MS at the most;
 * then vh_rack_sync_done() and vh_rack_sync_failed() may name it by its worker.
 */
#define VH_RACK_SHORT_POLL_MS 200

bool vh_rack_sync_due(struct vh_rack *r, int64_t now_ms,
		      struct vh_slice *worker, struct vh_sync_req *req);
void vh_rack_sync_done(struct vh_rack *r, struct vh_slice worker,
		       const struct vh_sync_reply *reply, int64_t now_ms);

void vh_rack_exchange_done(struct vh_rack *r, uint64_t exchange,
			   const struct vh_sync_reply *reply, int64_t now_ms);
void vh_rack_exchange_failed(struct vh_rack *r, uint64_t exchange,
			     enum vh_err err, int64_t now_ms);

/* vh_rack_sync_failed - VH_ERR_UNREACHABLE: surely not received;
 * VH_ERR_STALE_EPOCH: fenced, the rack is disowned; else: unknown, told again */
void vh_rack_sync_failed(struct vh_rack *r, struct vh_slice worker,
			 enum vh_err err, int64_t now_ms);

/* vh_rack_ack_end - the home has made the end durable */
void vh_rack_ack_end(struct vh_rack *r, struct vh_slice task, uint32_t attempt);

/* vh_rack_ack_end_from - the same, said by the home's owner of @home_epoch.
 * The word of a deposed one has no effect: its successor may have been told of
 * this run by a seal and waits for its end. */
void vh_rack_ack_end_from(struct vh_rack *r, struct vh_slice task,
			  uint32_t attempt, uint64_t home_epoch);

/* vh_rack_tick - lapses leases; returns when it wants the next call */
int64_t vh_rack_tick(struct vh_rack *r, int64_t now_ms);

/* vh_rack_each_run - calls @fn with each running task that is not being
 * stopped, the index of its worker as in vh_rack_each_worker(), and since when it
 * runs, on the owner's clock */
void vh_rack_each_run(const struct vh_rack *r,
		      void (*fn)(void *ctx, const struct vh_running_task *run,
				 size_t worker, int64_t since_ms),
		      void *ctx);

/* vh_rack_each_worker - calls @fn with each worker and where to reach it */
void vh_rack_each_worker(const struct vh_rack *r,
			 void (*fn)(void *ctx,
				    const struct vh_worker_view *view,
				    const struct vh_vm *vm),
			 void *ctx);

#endif
