#ifndef CELL_PRIV_H
#define CELL_PRIV_H

#include "claim.h"
#include "lead.h"
#include "spoke.h"
#include "vh/cell.h"
#include "writer.h"

/**
 * struct vh_cell
 * @incarnation: random, new for each start of the process
 * @look_end: where the owner's topic ended at the first look
 */
struct vh_cell {
	struct vh_kernel *kernel;
	const struct vh_ports *ports;
	struct vh_service service;
	char *name;
	char *peer_address;
	int64_t key_proof_ms;
	uint64_t strength;
	struct lead_settings lead_settings;
	uint64_t incarnation;

	struct follow objects;
	struct follow owner;
	struct vh_config_view *view;
	struct writer writer;

	struct claim claim;
	struct vh_timer tick;
	struct vh_timer look;
	uint64_t look_end;
	bool leaving;
	bool stopped;
	unsigned int calls; /* to the store, that are out */
	unsigned int leads; /* that have not freed themselves yet */

	struct hub hub;
	struct spoke spoke;
	struct lead *lead;
};

/* owner.c: who owns the cell */
void owner_init(struct vh_cell *c);
bool owner_start(struct vh_cell *c, GError **err);
void owner_stop(struct vh_cell *c);

/* owner_idle - after owner_stop(): no call is out any more */
bool owner_idle(const struct vh_cell *c);
void owner_finish(struct vh_cell *c);

/* own_advice.c: calls to the policy service for the owner */
void own_advice(struct vh_cell *c, const struct vh_frame *f);

#endif
