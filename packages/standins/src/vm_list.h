#ifndef VH_VM_LIST_H
#define VH_VM_LIST_H

/*
 * Simulates the platform's list of VMs, which shows changes after a lag.
 * Internal to the package: the VM server uses it.
 */

#include "fleet.h"

/**
 * struct vh_vm_list - the VMs as listed and in their current state
 * @lag_ms: delay until a change becomes visible
 * @version: incremented when changes become visible
 *
 * Performs no I/O; the caller passes the time.
 */
struct vh_vm_list {
	struct _GHashTable *visible; /* id to struct vh_fleet_vm, as listed */
	struct _GHashTable *actual;  /* the same in the current state; keeps
				      * VMs that are gone */
	struct _GQueue *changes;     /* not yet visible, by time */
	int64_t lag_ms;
	uint64_t version;
};

void vh_vm_list_init(struct vh_vm_list *l, int64_t lag_ms);
void vh_vm_list_finish(struct vh_vm_list *l);

/* vh_vm_list_set - adds or changes a VM after the lag; copies @vm. The state
 * "gone" removes it from the list. */
void vh_vm_list_set(struct vh_vm_list *l, const struct vh_fleet_vm *vm,
		    int64_t now_ms);

/* vh_vm_list_find - returns the current state of a VM, even if it is not yet
 * or no longer listed; NULL if it is unknown */
const struct vh_fleet_vm *vh_vm_list_find(const struct vh_vm_list *l,
					  const char *id);

/* vh_vm_list_apply_due - makes due changes visible; returns true if there were
 * any */
bool vh_vm_list_apply_due(struct vh_vm_list *l, int64_t now_ms);

/* vh_vm_list_next_due_ms - returns when the next change is due; INT64_MAX if
 * there is none */
int64_t vh_vm_list_next_due_ms(const struct vh_vm_list *l);

/* vh_vm_list_ids - returns the sorted ids of the visible VMs on @rack, or of
 * all visible VMs if it is NULL */
struct _GPtrArray *vh_vm_list_ids(const struct vh_vm_list *l, const char *rack);

/* vh_vm_list_json - returns {"version":V,"vms":[...]}, sorted by id */
json_t *vh_vm_list_json(const struct vh_vm_list *l);

#endif
