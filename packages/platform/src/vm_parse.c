#include <jansson.h>

#include "vh/vm_list.h"

#define MILLI_PER_CPU 1000
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

static bool parse_string(const json_t *o, const char *key, struct vh_slice *out)
{
	const json_t *v = json_object_get(o, key);

	if (!json_is_string(v) || !json_string_length(v))
		return false;
	out->len = json_string_length(v);
	out->data = g_strndup(json_string_value(v), out->len);
	return true;
}

static bool parse_amount(const json_t *o, const char *key, uint32_t factor,
			 uint32_t *out)
{
	const json_t *v = json_object_get(o, key);
	double n = json_number_value(v);

	if (!json_is_number(v) || n < 0 || n * factor > UINT32_MAX)
		return false;
	*out = (uint32_t)(n * factor);
	return true;
}

static bool parse_state(const json_t *o, struct vh_vm *vm)
{
	const char *state = json_string_value(json_object_get(o, "state"));

	if (!state)
		return false;
	vm->leaving = !strcmp(state, "leaving");
	vm->gone = !strcmp(state, "failed");
	return true;
}

static bool parse_vm(const json_t *o, struct vh_vm *vm)
{
	uint32_t port = 0;

	if (!parse_string(o, "id", &vm->id) ||
	    !parse_string(o, "address", &vm->address) ||
	    !parse_string(o, "region", &vm->region) ||
	    !parse_string(o, "zone", &vm->zone) ||
	    !parse_string(o, "rack", &vm->rack) || !parse_state(o, vm))
		return false;
	if (!parse_amount(o, "port", 1, &port) || port > UINT16_MAX)
		return false;
	vm->port = (uint16_t)port;
	return parse_amount(o, "cpus", MILLI_PER_CPU,
			    &vm->capacity.v[VH_CPU]) &&
	       parse_amount(o, "memory_mb", 1, &vm->capacity.v[VH_MEM]) &&
	       parse_amount(o, "accelerators", 1, &vm->capacity.v[VH_ACCEL]) &&
	       parse_amount(o, "slots", 1, &vm->capacity.v[VH_SLOTS]) &&
	       parse_amount(o, "connections", 1, &vm->capacity.v[VH_CONNS]);
}

static bool is_worker(const json_t *o)
{
	const char *kind = json_string_value(json_object_get(o, "kind"));

	return kind && !strcmp(kind, "worker");
}

/* Returns how many workers are left out, as they are malformed. */
static size_t parse_array(const json_t *vms, struct vh_vm **out, size_t *n)
{
	size_t malformed = 0;
	const json_t *o;
	size_t i;

	json_array_foreach(vms, i, o)
	{
		struct vh_vm vm = { 0 };

		if (!is_worker(o))
			continue;
		if (!parse_vm(o, &vm)) {
			vh_vm_finish(&vm);
			malformed++;
			continue;
		}
		*out = g_realloc_n(*out, *n + 1, sizeof(**out));
		(*out)[(*n)++] = vm;
	}
	return malformed;
}

bool vh_vm_list_parse(struct vh_slice json, struct vh_vm **out, size_t *n,
		      uint64_t *version, size_t *malformed, GError **err)
{
	json_t *root =
		json_loadb(json.data ? json.data : "", json.len, 0, NULL);
	const json_t *vms = json_object_get(root, "vms");
	const json_t *v = json_object_get(root, "version");
	bool ok = false;

	if (!json_is_array(vms) || json_array_size(vms) > MAX_VMS ||
	    !json_is_integer(v)) {
		g_set_error(err, VH_ERROR, VH_ERR_CORRUPT,
			    "VM list: expected an array \"vms\" and an "
			    "integer \"version\"");
	} else {
		*version = (uint64_t)json_integer_value(v);
		*malformed = parse_array(vms, out, n);
		ok = true;
	}
	json_decref(root);
	return ok;
}
