#ifndef CELL_WIRE_H
#define CELL_WIRE_H

/*
 * Messages between the nodes: their types, and functions to build, send and
 * read them. Internal to the package; called by owner_client.c, peer_server.c,
 * advice_proxy.c and the sources of the owner.
 */

#include <event2/bufferevent.h>

#include "vh/engine.h"
#include "vh/frame.h"
#include "vh/kernel.h"

/**
 * enum wire_type - messages between nodes, with their elements
 * @WIRE_HELLO: name, incarnation, CPU share, store latency in ms, whether the
 *		node reads WIRE_LOAD
 * @WIRE_PONG: newest epoch that the node knows, time since the store last
 *	       answered it in ms, time of the WIRE_PING
 * @WIRE_STATUS_REQUEST: sequence, job
 * @WIRE_COUNT_REQUEST: sequence, queue
 * @WIRE_SUBMIT_REQUEST: sequence, key, value, timeout in ms, whether the owner may
 *			 refuse it
 * @WIRE_ADVICE_REPLY: sequence, ok, valid_ms, [worker, ticket, ...]
 * @WIRE_PING: epoch, incarnation of the owner, rank of the receiving node, time
 *	       on the owner's clock in ms
 * @WIRE_STATUS_REPLY: sequence, status; a value above ENG_UNKNOWN means that
 *		       the status is not known
 * @WIRE_COUNT_REPLY: sequence, known, jobs
 * @WIRE_ADVICE_REQUEST: sequence, job, step, [worker, ...]
 * @WIRE_SUBMIT_REPLY: sequence, outcome: an enum write_outcome, or
 *		       WIRE_SUBMIT_REFUSED plus the Retry-After in seconds
 * @WIRE_STORE_PROBE: epoch; asks whether the node reaches the store
 * @WIRE_STORE_REACHED: epoch; the node reaches the store
 * @WIRE_OWNER_RESIGNED: epoch; the owner of this epoch has stopped
 * @WIRE_LOAD: epoch, wall-clock time in ms, [[queue, pool, priority, late, work,
 *	       work beyond shares, work without value, rate], ...]; see
 *	       struct eng_queue_load; only to nodes that asked for it, since
 *	       others close the connection on an unknown type
 *
 * A frame is a four-byte length and a msgpack array, whose first element is the
 * type. Every other node keeps one connection to the owner; the nodes have no
 * connections otherwise.
 */
enum wire_type {
	WIRE_HELLO = 1,
	WIRE_PONG,
	WIRE_STATUS_REQUEST,
	WIRE_COUNT_REQUEST,
	WIRE_SUBMIT_REQUEST,
	WIRE_ADVICE_REPLY,
	WIRE_PING,
	WIRE_STATUS_REPLY,
	WIRE_COUNT_REPLY,
	WIRE_ADVICE_REQUEST,
	WIRE_SUBMIT_REPLY,
	WIRE_STORE_PROBE,
	WIRE_STORE_REACHED,
	WIRE_OWNER_RESIGNED,
	WIRE_LOAD
};

/* Outcomes above it say that the owner has refused the record. */
#define WIRE_SUBMIT_REFUSED 256

/* A frame under construction: wire_begin(), pack into .pk, wire_send(). */
struct wire_msg {
	msgpack_sbuffer sb;
	msgpack_packer pk;
};

void wire_begin(struct wire_msg *msg, enum wire_type type, size_t n_args);

/* wire_send - sends and frees @msg; only frees it if @bev is NULL */
void wire_send(struct wire_msg *msg, struct bufferevent *bev);

/**
 * wire_read - passes the complete frames in a connection's input to @on_frame
 * @on_frame: returns false if the connection has to be closed or was closed
 *
 * Returns false if @on_frame does or if the input is malformed.
 */
bool wire_read(struct bufferevent *bev,
	       bool (*on_frame)(void *ctx, const struct vh_frame *f),
	       void *ctx);

/* wire_u64 - element @i of a frame; 0 if it is missing or of another type */
uint64_t wire_u64(const struct vh_frame *f, size_t i);

/* wire_bytes - likewise; empty if it is missing or of another type */
struct vh_slice wire_bytes(const struct vh_frame *f, size_t i);

/* wire_set_socket_options - disables Nagle and limits unacknowledged data */
void wire_set_socket_options(struct bufferevent *bev);

#endif
