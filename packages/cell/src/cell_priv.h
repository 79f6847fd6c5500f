#ifndef CELL_PRIV_H
#define CELL_PRIV_H

#include "election.h"
#include "owner.h"
#include "owner_client.h"
#include "vh/cell.h"
#include "writer.h"

/**
 * struct vh_cell
 * @incarnation: random, new for each start of the process
 * @check_from_end: where the owner's topic ended at the first look
 */
struct vh_cell {
	struct vh_kernel *kernel;
	const struct vh_ports *ports;
	struct vh_service service;
	char *name;
	char *peer_address;
	int64_t max_config_age_ms;
	uint64_t cpu_share_milli;
	struct owner_settings owner_settings;
	uint64_t incarnation;

	struct topic_reader objects;
	struct topic_reader owner;
	struct vh_config_view *view;
	struct writer writer;

	struct claim claim;
	struct vh_timer tick;
	struct vh_timer look;
	uint64_t check_from_end;
	bool leaving;
	bool stopped;
	unsigned int calls;	  /* to the store, that are out */
	unsigned int live_owners; /* that have not freed themselves yet */

	struct hub hub;
	struct owner_client owner_client;
	struct lead *lead;
};

/* owner.c: who owns the cell */
void ownership_init(struct vh_cell *c);
bool ownership_start(struct vh_cell *c, GError **err);
void ownership_stop(struct vh_cell *c);

/* ownership_idle - after ownership_stop(): no call is out any more */
bool ownership_idle(const struct vh_cell *c);
void ownership_finish(struct vh_cell *c);

/* advice_proxy_call.c: calls to the policy service for the owner */
void advice_proxy_call(struct vh_cell *c, const struct vh_frame *f);

#endif
