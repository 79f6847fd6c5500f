#ifndef VH_FLEET_H
#define VH_FLEET_H

/*
 * Describes the VMs of the simulated platform and reads them from INI files
 * and JSON. Internal to the package: the VM list, the VM server, the worker
 * server, the fault schedule and their programs use it.
 */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct vh_fleet_vm - a VM of the simulated platform
 * @kind: "worker" or "entry"
 * @state: "live", "leaving" or "failed"; "gone" once it is no longer listed
 * @cpus: number of processors
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
 * vh_fleet_load - reads a fleet from an INI file
 *
 * The file has a group [rack NAME] for each rack, with the keys region, zone,
 * workers, cpus, memory_mb, accelerators, slots and connections. Worker N of
 * a rack gets the id RACK-wN. All ports are set to 0.
 */
bool vh_fleet_load(struct vh_fleet *f, const char *path, GError **err);

/* vh_fleet_generate - makes @n workers, 8 per rack, in three regions */
void vh_fleet_generate(struct vh_fleet *f, uint32_t n);

/* vh_fleet_from_json - reads an array of VMs in the format of the VM list in
 * docs/PLATFORM.md */
bool vh_fleet_from_json(struct vh_fleet *f, const json_t *list, GError **err);
void vh_fleet_finish(struct vh_fleet *f);

bool vh_fleet_vm_from_json(struct vh_fleet_vm *vm, json_t *json, GError **err);
json_t *vh_fleet_vm_to_json(const struct vh_fleet_vm *vm);
void vh_fleet_vm_copy(struct vh_fleet_vm *to, const struct vh_fleet_vm *from);
void vh_fleet_vm_finish(struct vh_fleet_vm *vm);

#endif
