#ifndef CELL_PRIV_H
#define CELL_PRIV_H

/*
 * State of a node, shared by the sources that serve requests, handle the
 * ownership of the cell and call the policy service for the owner. Internal to
 * the package; also included by the tests' fake_cluster.h.
 */

#include "election.h"
#include "owner.h"
#include "owner_client.h"
#include "vh/cell.h"
#include "writer.h"
#include "zones.h"

/**
 * struct vh_cell - one node
 * @incarnation: random number that identifies this start of the process
 * @check_from_end: end of the state topic when the check of the owner began; if
 *		    it has not moved at the end of the check, the owner does not
 *		    write
 * @claimed_former_owners_ms: in the last record that was written, see
 *			      election_claim_wait_ms()
 * @recorded_owner: the owner that the newest record names, if it is another process
 * @pending_calls: calls to the store or the policy service without a result
 * @live_owners: owners, ended ones included, that are not freed yet
 * @last_direct_ms: when a write of a caller's record by this node itself last
 *		    began or ended
 * @owner: NULL unless this node owns the cell
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

	struct topic_reader objects_reader;
	struct topic_reader owner_reader;
	struct vh_config_view *config_view;
	struct zones zones;
	struct writer writer;
	int64_t last_direct_ms;

	struct election election;
	struct vh_timer election_timer;
	struct vh_timer check_timer;
	uint64_t check_from_end;
	int64_t claimed_former_owners_ms;
	struct owner_former recorded_owner;
	bool leaving;
	bool stopped;
	unsigned int pending_calls;
	unsigned int live_owners;

	struct peer_server peer_server;
	struct owner_client owner_client;
	struct owner *owner;
};

/* ownership.c: claims and releases the ownership of the cell */
void ownership_init(struct vh_cell *c);
bool ownership_start(struct vh_cell *c, GError **err);
void ownership_stop(struct vh_cell *c);

/* ownership_idle - whether no calls are pending after ownership_stop() */
bool ownership_idle(const struct vh_cell *c);

/* ownership_finish - frees timers and reader; see ownership_idle() */
void ownership_finish(struct vh_cell *c);

/* cell.c: passes the drained zones to the owner, if they are known */
void cell_pass_zones(struct vh_cell *c);

/* cell.c: how closely the topic of objects is followed */
void cell_follow_objects(struct vh_cell *c, bool is_owner);

/* advice_proxy.c: calls the policy service on behalf of the owner */
void advice_proxy_call(struct vh_cell *c, const struct vh_frame *f);

#endif
