#ifndef VH_VM_LIST_H
#define VH_VM_LIST_H

#include "fleet.h"

/**
 * struct vh_vm_list - the platform's lagging list of VMs
 * @lag_ms: how long a change takes to be seen
 * @version: grows with each change that is seen
 *
 * Pure: time comes in as milliseconds.
 */
struct vh_vm_list {
	struct _GHashTable *visible; /* id to struct vh_fleet_vm */
	struct _GHashTable *actual;  /* all ever set, as they truly are */
	struct _GQueue *changes;     /* not yet seen, by time */
	int64_t lag_ms;
	uint64_t version;
};

void vh_vm_list_init(struct vh_vm_list *l, int64_t lag_ms);
void vh_vm_list_finish(struct vh_vm_list *l);

/* vh_vm_list_set - adds or changes a VM; it is copied. State "gone" takes it
 * off the list. Seen after the lag. */
void vh_vm_list_set(struct vh_vm_list *l, const struct vh_fleet_vm *vm,
		    int64_t now_ms);

/* vh_vm_list_find - the VM as it truly is, seen or not; NULL if unknown */
const struct vh_fleet_vm *vh_vm_list_find(const struct vh_vm_list *l,
					  const char *id);

/* vh_vm_list_apply_due - makes due changes seen; returns true if any was */
bool vh_vm_list_apply_due(struct vh_vm_list *l, int64_t now_ms);

/* vh_vm_list_next_due_ms - when the next change is due, INT64_MAX for none */
int64_t vh_vm_list_next_due_ms(const struct vh_vm_list *l);

/* vh_vm_list_ids - ids of all VMs seen on rack @rack, of all for NULL */
struct _GPtrArray *vh_vm_list_ids(const struct vh_vm_list *l, const char *rack);

/* vh_vm_list_json - {"version":V,"vms":[...]}, by id */
json_t *vh_vm_list_json(const struct vh_vm_list *l);

#endif
