#ifndef VH_FLEET_H
#define VH_FLEET_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct vh_fleet_vm - a VM of the platform
 * @kind: "worker" or "entry"
 * @state: "live", "leaving" or "failed"; "gone" once it is no longer listed
 * @cpus: whole processors
 */
struct vh_fleet_vm {
	char *id;
	char *kind;
	char *address;
	uint16_t port;
	char *region;
	char *zone;
	char *rack;
	char *state;
	uint32_t cpus;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t slots;
	uint32_t connections;
};

struct vh_fleet {
	struct vh_fleet_vm *vms;
	size_t n;
};

/**
 * vh_fleet_load - reads the layout of a fleet
 *
 * An INI file with a group [rack NAME] for each rack; its keys are region,
 * zone, workers, cpus, memory_mb, accelerators, slots and connections. Worker
 * N of a rack is named RACK-wN. Ports are 0.
 */
bool vh_fleet_load(struct vh_fleet *f, const char *path, GError **err);

/* vh_fleet_generate - @n workers, 8 to a rack, racks over three regions */
void vh_fleet_generate(struct vh_fleet *f, uint32_t n);

/* vh_fleet_from_json - reads an array of VMs as docs/PLATFORM.md lists them */
bool vh_fleet_from_json(struct vh_fleet *f, const json_t *list, GError **err);
void vh_fleet_finish(struct vh_fleet *f);

bool vh_fleet_vm_from_json(struct vh_fleet_vm *vm, json_t *json, GError **err);
json_t *vh_fleet_vm_to_json(const struct vh_fleet_vm *vm);
void vh_fleet_vm_copy(struct vh_fleet_vm *to, const struct vh_fleet_vm *from);
void vh_fleet_vm_finish(struct vh_fleet_vm *vm);

#endif
