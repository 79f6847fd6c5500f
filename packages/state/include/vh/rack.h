#ifndef VH_RACK_H
#define VH_RACK_H

/*
 * The state machine of a rack's owner: places runs on the rack's workers and
 * synchronises with them. Does no I/O. Called by packages/core, which runs the
 * racks; packages/platform uses its struct vh_vm.
 */

#include "vh/sync.h"

/**
 * struct vh_vm - a worker in the platform's VM list
 * @gone: no longer listed, or listed as failed
 */
struct vh_vm {
	struct vh_slice id;
	struct vh_slice address; /* IP address */
	uint16_t port;
	struct vh_slice region;
	struct vh_slice zone;
	struct vh_slice rack;
	struct vh_res capacity;
	bool leaving;
	bool gone;
};

/**
 * struct vh_place_req - a home's request to a rack's owner to run a task
 * @start: not_after_ms is ignored; the rack sets it
 * @deadline_ms: on the owner's clock: no decision after it; 0 for none
 * @rack_epoch: the owner addressed: a rack with another epoch rejects the
 *       request with VH_ERR_NOT_OWNER
 * @again: repeat of a request for the same attempt to the same owner
 *
 * An attempt may be requested from one owner only. When the rack's owner
 * changes, vh_home_rack_owner_changed() and the following reconciliation
 * determine what became of it. If the new owner were asked as well, a late
 * reply from the old owner, though correct for the old one, would be taken for
 * the new owner's.
 */
struct vh_place_req {
	struct vh_start start;
	int64_t deadline_ms;
	uint64_t rack_epoch;
	bool again;
};

/**
 * struct vh_worker_view - one worker as placement sees it
 * @free: capacity minus committed resources
 * @n_tasks: tasks committed
 * @usable: adopted, not leaving or gone, holds a lease, and its recent
 *       exchanges have not failed repeatedly
 */
struct vh_worker_view {
	struct vh_slice id;
	struct vh_res capacity;
	struct vh_res free;
	uint32_t n_tasks;
	bool usable;
};

/**
 * struct vh_rack_callbacks - notifications from a rack
 * @choose: picks a worker for @start among @n views; returns an index, or @n
 *       and sets *@why
 * @placed: the worker accepted the start
 * @refused: the start did not and will not begin; the commitment is undone
 * @ended: an attempt ended. Call vh_rack_ack_end() once the home has recorded
 *       it; until then the callback is repeated every VH_RACK_END_RESEND_MS and
 *       after each adoption.
 *
 * Slices are valid during the callback only. Callbacks are made from within
 * calls on the rack and may call only vh_rack_ack_end() and vh_rack_place().
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
	int64_t clock_margin_ms; /* allowance for clock drift over one lease */
	bool hold;		 /* long polling; see vh_rack_sync_due() */
};

/**
 * struct vh_rack - a rack as its owner manages it
 *
 * A state machine without I/O. Holds what is committed on each worker, what was
 * sent to it and what it reported. Asserts I1 and I2 on each change. The caller
 * transports the sync requests that vh_rack_sync_due() returns to the workers.
 */
struct vh_rack;

struct vh_rack *vh_rack_new(const struct vh_rack_settings *settings,
			    const struct vh_rack_callbacks *callbacks);
void vh_rack_free(struct vh_rack *r);

/* vh_rack_update_vm - adds or updates a worker after a VM list change */
void vh_rack_update_vm(struct vh_rack *r, const struct vh_vm *vm,
		       int64_t now_ms);

/**
 * vh_rack_take_ownership - starts ownership under @epoch with no worker adopted
 *
 * Fence every home right afterwards with its epoch in "claims", and again
 * whenever a home's owner changes. Without this a deposed home could still
 * start tasks here.
 */
void vh_rack_take_ownership(struct vh_rack *r, uint64_t epoch, int64_t now_ms);

/* vh_rack_drop_ownership - discards all commitments; makes no callbacks */
void vh_rack_drop_ownership(struct vh_rack *r);
uint64_t vh_rack_epoch(const struct vh_rack *r); /* 0: not owned */

/**
 * vh_rack_ownership_confirmed - this node still owned the rack at @fresh_ms
 *
 * Call it with vh_stream_fresh_ms() of "claims" after each change of it. A
 * lease counts as expired only if the claims were read after its expiry: until
 * then a deposed owner cannot know whether its successor renewed the lease.
 * While the log is down, runs of lost workers therefore stay committed.
 */
void vh_rack_ownership_confirmed(struct vh_rack *r, int64_t fresh_ms);

/**
 * vh_rack_fence_home - refuses starts of this home under older epochs
 *
 * Returns true if every worker of the rack that may run anything is adopted, so
 * that vh_rack_each_home_run() is complete. A rack without known workers is
 * never complete.
 */
bool vh_rack_fence_home(struct vh_rack *r, struct vh_slice home,
			uint64_t home_epoch);

/*
 * vh_rack_each_home_run - calls @fn with the worker's id for each run of this
 * home, including ended and refused runs that are not yet acknowledged; ended()
 * or refused() is called for those as well.
 */
void vh_rack_each_home_run(const struct vh_rack *r, struct vh_slice home,
			   void (*fn)(void *ctx,
				      const struct vh_running_task *run,
				      struct vh_slice worker),
			   void *ctx);

/**
 * vh_rack_place - decides on a start
 *
 * VH_OK: the start is committed; placed() or refused() follows. A repeated
 * request for the same task and attempt gets the same answer. On any other
 * result nothing is committed: VH_ERR_NO_CAPACITY, VH_ERR_NEVER_FITS,
 * VH_ERR_STALE_EPOCH, VH_ERR_NOT_READY, VH_ERR_DEADLINE or VH_ERR_NOT_OWNER.
 *
 * A request whose reply was lost is repeated with @again set until a reply
 * arrives, as is one that got VH_OK but neither placed() nor refused().
 * Decisions are kept for VH_RACK_DECISION_TTL_MS; a request must not arrive
 * later than that after it was sent.
 */
#define VH_RACK_DECISION_TTL_MS 60000

enum vh_err vh_rack_place(struct vh_rack *r, const struct vh_place_req *req,
			  int64_t now_ms);

/*
 * vh_rack_stop - requests that a run be stopped; ended() follows. Returns
 * VH_ERR_NOT_FOUND if no such run holds resources.
 */
enum vh_err vh_rack_stop(struct vh_rack *r, struct vh_slice task,
			 uint32_t attempt, enum vh_stop_mode mode);

/**
 * vh_rack_sync_due - returns the next worker that needs an exchange now
 * @worker: set to its id
 * @req: filled in; its arrays are valid until the next call on @r
 * @now_ms: read just before the call; starts past their time limit are not sent
 *
 * Returns false if none is due. Complete each returned exchange with
 * vh_rack_exchange_done() or vh_rack_exchange_failed() and @req->exchange.
 *
 * With settings.hold a worker has at most two concurrent exchanges: a long poll
 * that the worker holds until a task ends or the lease needs renewal
 * (@req->wait_ms is not 0), and one for starts, stops or the first adoption,
 * which must not wait behind the poll. Without it, a worker has one exchange,
 * held for at most VH_RACK_SHORT_POLL_MS; vh_rack_sync_done() and
 * vh_rack_sync_failed() may then identify it by its worker.
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

/*
 * vh_rack_sync_failed - VH_ERR_UNREACHABLE: certainly not received.
 * VH_ERR_STALE_EPOCH: fenced; ownership of the rack is dropped. Other errors:
 * outcome unknown; the orders are sent again.
 */
void vh_rack_sync_failed(struct vh_rack *r, struct vh_slice worker,
			 enum vh_err err, int64_t now_ms);

/* vh_rack_ack_end - the home has recorded the end durably */
void vh_rack_ack_end(struct vh_rack *r, struct vh_slice task, uint32_t attempt);

/*
 * vh_rack_ack_end_from - acknowledges for the home's owner of @home_epoch. An
 * acknowledgement from a deposed owner is ignored: its successor may have
 * learnt of this run by reconciliation and still wait for its end.
 */
void vh_rack_ack_end_from(struct vh_rack *r, struct vh_slice task,
			  uint32_t attempt, uint64_t home_epoch);

/*
 * vh_rack_tick - expires leases and resends notices; returns the time of the
 * next call
 */
int64_t vh_rack_tick(struct vh_rack *r, int64_t now_ms);

/*
 * vh_rack_each_run - calls @fn with each running task that is not being
 * stopped, the index of its worker as in vh_rack_each_worker(), and its start
 * time on the owner's clock
 */
void vh_rack_each_run(const struct vh_rack *r,
		      void (*fn)(void *ctx, const struct vh_running_task *run,
				 size_t worker, int64_t since_ms),
		      void *ctx);

/* vh_rack_each_worker - calls @fn with each worker and its VM entry */
void vh_rack_each_worker(const struct vh_rack *r,
			 void (*fn)(void *ctx,
				    const struct vh_worker_view *view,
				    const struct vh_vm *vm),
			 void *ctx);

#endif
