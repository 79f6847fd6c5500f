#include "fleet.h"

#include <string.h>

#include "vh/error.h"

#define WORKERS_PER_RACK 8
#define MAX_WORKERS_PER_RACK 1024

struct rack {
	char *name;
	char *region;
	char *zone;
	uint32_t workers;
	uint32_t cpus;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t slots;
	uint32_t connections;
};

static void add_rack(struct vh_fleet *f, const struct rack *r)
{
	f->vms = g_renew(struct vh_fleet_vm, f->vms, f->n + r->workers);
	for (uint32_t i = 0; i < r->workers; i++) {
		struct vh_fleet_vm *vm = &f->vms[f->n++];

		memset(vm, 0, sizeof(*vm));
		vm->id = g_strdup_printf("%s-w%u", r->name, i + 1);
		vm->kind = g_strdup("worker");
		vm->address = g_strdup("127.0.0.1");
		vm->region = g_strdup(r->region);
		vm->zone = g_strdup(r->zone);
		vm->rack = g_strdup(r->name);
		vm->state = g_strdup("live");
		vm->cpus = r->cpus;
		vm->memory_mb = r->memory_mb;
		vm->accelerators = r->accelerators;
		vm->slots = r->slots;
		vm->connections = r->connections;
	}
}

static uint32_t get_uint(GKeyFile *kf, const char *group, const char *key,
			 uint32_t default_value, GError **err)
{
	GError *e = NULL;
	int value;

	if (!g_key_file_has_key(kf, group, key, NULL))
		return default_value;
	value = g_key_file_get_integer(kf, group, key, &e);
	if (!e && value >= 0)
		return (uint32_t)value;
	g_clear_error(&e);
	if (err && !*err)
		g_set_error(err, VH_ERROR, VH_ERR_INVALID_CONFIG,
			    "[%s] %s: expected a non-negative integer", group,
			    key);
	return default_value;
}

static bool read_rack(struct vh_fleet *f, GKeyFile *kf, const char *group,
		      GError **err)
{
	struct rack r = { 0 };
	GError *e = NULL;

	r.name = g_strdup(group + strlen("rack "));
	r.region = g_key_file_get_string(kf, group, "region", NULL);
	r.zone = g_key_file_get_string(kf, group, "zone", NULL);
	r.workers = get_uint(kf, group, "workers", WORKERS_PER_RACK, &e);
	r.cpus = get_uint(kf, group, "cpus", 16, &e);
	r.memory_mb = get_uint(kf, group, "memory_mb", 65536, &e);
	r.accelerators = get_uint(kf, group, "accelerators", 0, &e);
	r.slots = get_uint(kf, group, "slots", 8, &e);
	r.connections = get_uint(kf, group, "connections", 64, &e);
	if (!e && (!r.region || !r.zone || r.workers > MAX_WORKERS_PER_RACK))
		g_set_error(&e, VH_ERROR, VH_ERR_INVALID_CONFIG,
			    "[%s] needs region, zone and at most %d workers",
			    group, MAX_WORKERS_PER_RACK);
	if (!e)
		add_rack(f, &r);
	g_free(r.name);
	g_free(r.region);
	g_free(r.zone);
	if (!e)
		return true;
	g_propagate_error(err, e);
	return false;
}

bool vh_fleet_load(struct vh_fleet *f, const char *path, GError **err)
{
	GKeyFile *kf = g_key_file_new();
	char **groups = NULL;
	bool ok;

	memset(f, 0, sizeof(*f));
	ok = g_key_file_load_from_file(kf, path, G_KEY_FILE_NONE, err);
	if (ok)
		groups = g_key_file_get_groups(kf, NULL);
	for (char **g = groups; ok && *g; g++) {
		if (g_str_has_prefix(*g, "rack "))
			ok = read_rack(f, kf, *g, err);
	}
	if (ok && !f->n) {
		g_set_error(err, VH_ERROR, VH_ERR_INVALID_CONFIG,
			    "%s: no group [rack NAME]", path);
		ok = false;
	}
	g_strfreev(groups);
	g_key_file_free(kf);
	if (!ok)
		vh_fleet_finish(f);
	return ok;
}

void vh_fleet_generate(struct vh_fleet *f, uint32_t n)
{
	static const char *const regions[] = { "north", "middle", "south" };

	memset(f, 0, sizeof(*f));
	for (uint32_t i = 0; n; i++) {
		const char *region = regions[i % 3];
		struct rack r = { .cpus = 16,
				  .memory_mb = 65536,
				  .slots = 8,
				  .connections = 64,
				  .workers = MIN(n, WORKERS_PER_RACK) };

		r.region = (char *)region;
		r.zone =
			g_strdup_printf("%s-%c", region, i / 3 % 2 ? 'b' : 'a');
		r.name = g_strdup_printf("%s-r%u", r.zone, i / 6 + 1);
		add_rack(f, &r);
		g_free(r.name);
		g_free(r.zone);
		n -= r.workers;
	}
}

bool vh_fleet_vm_from_json(struct vh_fleet_vm *vm, json_t *json, GError **err)
{
	const char *id = NULL, *kind = "worker", *address = "127.0.0.1";
	const char *region = "", *zone = "", *rack = "", *state = "live";
	int port = 0, cpus = 0, memory_mb = 0, accel = 0, slots = 0, conns = 0;
	json_error_t e;

	memset(vm, 0, sizeof(*vm));
	if (json_unpack_ex(json, &e, 0,
			   "{s:s,s?s,s?s,s?i,s?s,s?s,s?s,s?s,s?i,s?i,s?i,s?i,"
			   "s?i}",
			   "id", &id, "kind", &kind, "address", &address,
			   "port", &port, "region", &region, "zone", &zone,
			   "rack", &rack, "state", &state, "cpus", &cpus,
			   "memory_mb", &memory_mb, "accelerators", &accel,
			   "slots", &slots, "connections", &conns)) {
		g_set_error(err, VH_ERROR, VH_ERR_BAD_REQUEST, "VM: %s",
			    e.text);
		return false;
	}
	vm->id = g_strdup(id);
	vm->kind = g_strdup(kind);
	vm->address = g_strdup(address);
	vm->port = (uint16_t)port;
	vm->region = g_strdup(region);
	vm->zone = g_strdup(zone);
	vm->rack = g_strdup(rack);
	vm->state = g_strdup(state);
	vm->cpus = (uint32_t)cpus;
	vm->memory_mb = (uint32_t)memory_mb;
	vm->accelerators = (uint32_t)accel;
	vm->slots = (uint32_t)slots;
	vm->connections = (uint32_t)conns;
	return true;
}

bool vh_fleet_from_json(struct vh_fleet *f, const json_t *list, GError **err)
{
	size_t n = json_array_size(list);

	memset(f, 0, sizeof(*f));
	if (!json_is_array(list)) {
		g_set_error(err, VH_ERROR, VH_ERR_BAD_REQUEST,
			    "expected an array of VMs");
		return false;
	}
	f->vms = g_new0(struct vh_fleet_vm, n);
	for (size_t i = 0; i < n; i++) {
		if (!vh_fleet_vm_from_json(&f->vms[i], json_array_get(list, i),
					   err)) {
			vh_fleet_finish(f);
			return false;
		}
		f->n++;
	}
	return true;
}

json_t *vh_fleet_vm_to_json(const struct vh_fleet_vm *vm)
{
	return json_pack(
		"{s:s,s:s,s:s,s:i,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i}", "id",
		vm->id, "kind", vm->kind, "address", vm->address, "port",
		(int)vm->port, "region", vm->region, "zone", vm->zone, "rack",
		vm->rack, "state", vm->state, "cpus", (int)vm->cpus,
		"memory_mb", (int)vm->memory_mb, "accelerators",
		(int)vm->accelerators, "slots", (int)vm->slots, "connections",
		(int)vm->connections);
}

void vh_fleet_vm_copy(struct vh_fleet_vm *to, const struct vh_fleet_vm *from)
{
	*to = *from;
	to->id = g_strdup(from->id);
	to->kind = g_strdup(from->kind);
	to->address = g_strdup(from->address);
	to->region = g_strdup(from->region);
	to->zone = g_strdup(from->zone);
	to->rack = g_strdup(from->rack);
	to->state = g_strdup(from->state);
}

void vh_fleet_vm_finish(struct vh_fleet_vm *vm)
{
	g_free(vm->id);
	g_free(vm->kind);
	g_free(vm->address);
	g_free(vm->region);
	g_free(vm->zone);
	g_free(vm->rack);
	g_free(vm->state);
}

void vh_fleet_finish(struct vh_fleet *f)
{
	for (size_t i = 0; i < f->n; i++)
		vh_fleet_vm_finish(&f->vms[i]);
	g_free(f->vms);
	memset(f, 0, sizeof(*f));
}
