#ifndef CELL_WIRE_H
#define CELL_WIRE_H

#include <event2/bufferevent.h>

#include "vh/engine.h"
#include "vh/frame.h"
#include "vh/kernel.h"

/*
 * What nodes tell each other: frames of a four-byte length and a msgpack
 * array, whose first element is a type. Every node keeps one connection to the
 * owner; nothing else is connected.
 */
enum wire_type {
	WIRE_HELLO =
		1, /* name, incarnation, strength, milliseconds to the store */
	WIRE_PONG, /* epoch known, milliseconds since the store answered */
	WIRE_STATUS_REQUEST, /* sequence, job */
	WIRE_COUNT_REQUEST,  /* sequence, queue */
	WIRE_SUBMIT_REQUEST, /* sequence, key, value, patience in milliseconds */
	WIRE_ADVICE_REPLY,   /* sequence, ok, valid_ms, [worker, ticket, ...] */
	WIRE_PING, /* epoch, incarnation of the owner, the node's rank */
	WIRE_STATUS_REPLY,   /* sequence, status */
	WIRE_COUNT_REPLY,    /* sequence, known, jobs */
	WIRE_ADVICE_REQUEST, /* sequence, job, step, [worker, ...] */
	WIRE_SUBMIT_REPLY,   /* sequence, outcome */
	WIRE_STORE_PROBE,    /* epoch: does this node reach the store? */
	WIRE_STORE_REACHED,  /* epoch: it does */
	WIRE_OWNER_RESIGNED  /* epoch: its owner has stopped acting */
};

/* A frame being made: WIRE_BEGIN, pack into .pk, wire_send(). */
struct wire_msg {
	msgpack_sbuffer sb;
	msgpack_packer pk;
};

void wire_begin(struct wire_msg *o, enum wire_type type, size_t n_args);

/* wire_send - frees @o; nothing is sent if @bev is NULL */
void wire_send(struct wire_msg *o, struct bufferevent *bev);

/**
 * wire_read - hands out the frames at the front of a connection's input
 * @frame: returns false if the connection is to be closed, or was
 *
 * Returns false then, and if the bytes are not frames.
 */
bool wire_read(struct bufferevent *bev,
	       bool (*frame)(void *ctx, const struct vh_frame *f), void *ctx);

/* wire_u64 - element @i of a frame; 0 if there is none of that type */
uint64_t wire_u64(const struct vh_frame *f, size_t i);
struct vh_slice wire_bytes(const struct vh_frame *f, size_t i);

/* wire_set_socket_options - options of a connection between nodes */
void wire_set_socket_options(struct bufferevent *bev);

#endif
