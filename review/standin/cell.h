#ifndef REVIEW_CELL_H
#define REVIEW_CELL_H

/*
 * A small cell for the review's scripts: a store and workers that follow the
 * users' pages (PROTOCOL.md), served by one background thread, and the
 * project's own daemon as separate processes, started with the command and the
 * settings template of deploy/.
 *
 * All functions are called from the scenario's thread, or from threads of its
 * own; they take the lock of the background thread where needed.
 */

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CELL_NODES_MAX 7
#define CELL_WORKERS_MAX 48
#define CELL_HOST "cell.example"
#define CELL_PREFIX "/jobs/"
#define CELL_KEY "key-of-team-a"

/**
 * struct cell_settings - what a script runs on
 * @far_ms: one way to workers with an odd number, and from those nodes to the
 *	    store whose bit is set in @far_nodes
 * @workers_far: all workers are as far, whatever their number
 * @max_attempts: of the queue
 */
struct cell_settings {
	unsigned int nodes;
	unsigned int workers;
	unsigned int far_ms;
	unsigned int far_nodes;
	bool workers_far;
	unsigned int max_attempts;
};

/* cell_now_ms - time since the start of the script */
int64_t cell_now_ms(void);
void cell_sleep_ms(int64_t ms);
/* cell_sleep_until_ms - sleeps until a time since the start of the script */
void cell_sleep_until_ms(int64_t at_ms);

/* cell_record - writes a line to record.txt */
void cell_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* cell_start - starts the store, the workers and the nodes, and waits until the
 * nodes are ready and one of them owns the cell; ends the script if that fails */
void cell_start(const struct cell_settings *s);

/* cell_finish - ends all processes and the script, with this exit status */
void cell_finish(int status) __attribute__((noreturn));

/* cell_skip - ends the script because the case could not run */
void cell_skip(const char *why) __attribute__((noreturn));

bool cell_trouble(void); /* false with TROUBLE=0 */

/* Nodes */
void cell_node_signal(unsigned int node, int signal);
/* cell_node_start - starts the process again, with the same settings */
void cell_node_start(unsigned int node);
/* cell_owner - the node that last claimed the cell, by the claims stored */
unsigned int cell_owner(void);
/* cell_node_rss_kb - resident memory of the node's process */
long cell_node_rss_kb(unsigned int node);

/* Calls of a consumer */

/* Both return the status of the response, 0 if there was none. */
int cell_call(unsigned int node, const char *method, const char *path,
	      const char *body, int timeout_ms, char *reply, size_t size);
int cell_job_status(unsigned int node, uint64_t id, char *state, size_t size);

/**
 * cell_submit - hands a job in, at other nodes too while it is not accepted
 * @steps: the value of the field "steps"
 * @spec: commands for the workers, see below
 *
 * Returns whether the job was accepted with a 2xx response.
 */
bool cell_submit(uint64_t id, const char *spec, const char *steps);

/*
 * The text of a job's spec tells the workers what its tasks do:
 *   run MS		each task takes MS
 *   gang N MS		N tasks work together, from when all are present, for MS
 *   forever		until they are stopped
 */

/* Workers */

/* cell_worker_silence - the worker goes dark, and all that it runs ends */
void cell_worker_silence(unsigned int worker);
/* cell_worker_restart - a new boot answers in its place, under its id */
void cell_worker_restart(unsigned int worker);
/* cell_worker_of - the worker on which a task of the job works; -1: none */
int cell_worker_of(uint64_t id);
/* cell_starts - how many tasks of the job workers have started */
unsigned int cell_starts(uint64_t id);
/* cell_ends - how many ends of this kind workers have listed for the job */
unsigned int cell_ends(uint64_t id, const char *how);
/* cell_idle_ms - for how long no task of the job has worked; 0: one does */
int64_t cell_idle_ms(uint64_t id);

/* Store */

/* cell_store_down - the partition of a topic is down: calls have no effect
 * and no answer */
void cell_store_down(const char *topic, bool down);
/* cell_store_keys - number of keys in a topic that begin with @prefix */
size_t cell_store_keys(const char *topic, const char *prefix);
/* cell_store_has - whether the topic holds a record of this key */
bool cell_store_has(const char *topic, const char *key);
/* cell_store_value - copies a record's value; returns its length, -1: none */
int cell_store_value(const char *topic, const char *key, void *out,
		     size_t size);
/* cell_store_add - adds a record, as an earlier call would have */
void cell_store_add(const char *topic, const char *key, const void *value,
		    size_t len);

#endif
