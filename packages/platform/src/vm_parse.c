#include <jansson.h>

#include "vh/vm_list.h"

#define CPU_MILLI 1000
#define MAX_VMS 20000

void vh_vm_finish(struct vh_vm *vm)
{
	g_free((char *)vm->id.data);
	g_free((char *)vm->address.data);
	g_free((char *)vm->region.data);
	g_free((char *)vm->zone.data);
	g_free((char *)vm->rack.data);
	memset(vm, 0, sizeof(*vm));
}

static bool take_string(const json_t *o, const char *key, struct vh_slice *out)
{
	const json_t *v = json_object_get(o, key);

	if (!json_is_string(v) || !json_string_length(v))
		return false;
	out->len = json_string_length(v);
	out->data = g_strndup(json_string_value(v), out->len);
	return true;
}

static bool take_number(const json_t *o, const char *key, uint32_t factor,
			uint32_t *out)
{
	const json_t *v = json_object_get(o, key);
	double n = json_number_value(v);

	if (!json_is_number(v) || n < 0 || n * factor > UINT32_MAX)
		return false;
	*out = (uint32_t)(n * factor);
	return true;
}

static bool take_state(const json_t *o, struct vh_vm *vm)
{
	const char *state = json_string_value(json_object_get(o, "state"));

	if (!state)
		return false;
	vm->leaving = !strcmp(state, "leaving");
	vm->gone = !strcmp(state, "failed");
	return true;
}

static bool parse_one(const json_t *o, struct vh_vm *vm)
{
	uint32_t port = 0;

	if (!take_string(o, "id", &vm->id) ||
	    !take_string(o, "address", &vm->address) ||
	    !take_string(o, "region", &vm->region) ||
	    !take_string(o, "zone", &vm->zone) ||
	    !take_string(o, "rack", &vm->rack) || !take_state(o, vm))
		return false;
	if (!take_number(o, "port", 1, &port) || port > UINT16_MAX)
		return false;
	vm->port = (uint16_t)port;
	return take_number(o, "cpus", CPU_MILLI, &vm->capacity.v[VH_CPU]) &&
	       take_number(o, "memory_mb", 1, &vm->capacity.v[VH_MEM]) &&
	       take_number(o, "accelerators", 1, &vm->capacity.v[VH_ACCEL]) &&
	       take_number(o, "slots", 1, &vm->capacity.v[VH_SLOTS]) &&
	       take_number(o, "connections", 1, &vm->capacity.v[VH_CONNS]);
}

static bool is_worker(const json_t *o)
{
	const char *kind = json_string_value(json_object_get(o, "kind"));

	return kind && !strcmp(kind, "worker");
}

static bool parse_array(const json_t *vms, struct vh_vm **out, size_t *n,
			GError **err)
{
	const json_t *o;
	size_t i;

	json_array_foreach(vms, i, o)
	{
		if (!is_worker(o))
			continue;
		*out = g_realloc_n(*out, *n + 1, sizeof(**out));
		memset(&(*out)[*n], 0, sizeof(**out));
		(*n)++;
		if (!parse_one(o, &(*out)[*n - 1])) {
			g_set_error(err, VH_ERROR, VH_ERR_CORRUPT,
				    "VM %zu of the list is malformed", i);
			return false;
		}
	}
	return true;
}

bool vh_vm_list_parse(struct vh_slice json, struct vh_vm **out, size_t *n,
		      uint64_t *version, GError **err)
{
	json_t *root =
		json_loadb(json.data ? json.data : "", json.len, 0, NULL);
	const json_t *vms = json_object_get(root, "vms");
	const json_t *v = json_object_get(root, "version");
	bool ok = false;

	if (!json_is_array(vms) || json_array_size(vms) > MAX_VMS ||
	    !json_is_integer(v)) {
		g_set_error(err, VH_ERROR, VH_ERR_CORRUPT,
			    "the VM list is no list of VMs with a version");
	} else {
		*version = (uint64_t)json_integer_value(v);
		ok = parse_array(vms, out, n, err);
	}
	json_decref(root);
	return ok;
}
