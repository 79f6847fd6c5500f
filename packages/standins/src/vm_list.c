#include "vm_list.h"

#include <string.h>

struct change {
	int64_t due_ms;
	struct vh_fleet_vm vm;
};

static void free_vm(void *ptr)
{
	vh_fleet_vm_finish(ptr);
	g_free(ptr);
}

static void free_change(void *ptr)
{
	struct change *c = ptr;

	vh_fleet_vm_finish(&c->vm);
	g_free(c);
}

void vh_vm_list_init(struct vh_vm_list *l, int64_t lag_ms)
{
	l->visible =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_vm);
	l->actual =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_vm);
	l->changes = g_queue_new();
	l->lag_ms = lag_ms;
	l->version = 1;
}

void vh_vm_list_finish(struct vh_vm_list *l)
{
	g_hash_table_destroy(l->visible);
	g_hash_table_destroy(l->actual);
	g_queue_free_full(l->changes, free_change);
}

static void put_copy(GHashTable *table, const struct vh_fleet_vm *vm)
{
	struct vh_fleet_vm *copy = g_new0(struct vh_fleet_vm, 1);

	vh_fleet_vm_copy(copy, vm);
	g_hash_table_replace(table, copy->id, copy);
}

void vh_vm_list_set(struct vh_vm_list *l, const struct vh_fleet_vm *vm,
		    int64_t now_ms)
{
	struct change *c = g_new0(struct change, 1);

	c->due_ms = now_ms + l->lag_ms;
	vh_fleet_vm_copy(&c->vm, vm);
	g_queue_push_tail(l->changes, c);
	put_copy(l->actual, vm);
}

const struct vh_fleet_vm *vh_vm_list_find(const struct vh_vm_list *l,
					  const char *id)
{
	return g_hash_table_lookup(l->actual, id);
}

static void apply_change(struct vh_vm_list *l, struct change *c)
{
	if (strcmp(c->vm.state, "gone"))
		put_copy(l->visible, &c->vm);
	else
		g_hash_table_remove(l->visible, c->vm.id);
}

bool vh_vm_list_apply_due(struct vh_vm_list *l, int64_t now_ms)
{
	struct change *c = g_queue_peek_head(l->changes);
	bool any = false;

	while (c && c->due_ms <= now_ms) {
		apply_change(l, c);
		free_change(g_queue_pop_head(l->changes));
		any = true;
		c = g_queue_peek_head(l->changes);
	}
	l->version += any;
	return any;
}

int64_t vh_vm_list_next_due_ms(const struct vh_vm_list *l)
{
	struct change *c = g_queue_peek_head(l->changes);

	return c ? c->due_ms : INT64_MAX;
}

static int compare_strings(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

GPtrArray *vh_vm_list_ids(const struct vh_vm_list *l, const char *rack)
{
	GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter it;
	void *ptr;

	g_hash_table_iter_init(&it, l->visible);
	while (g_hash_table_iter_next(&it, NULL, &ptr)) {
		const struct vh_fleet_vm *vm = ptr;

		if (!rack || !strcmp(vm->rack, rack))
			g_ptr_array_add(ids, g_strdup(vm->id));
	}
	g_ptr_array_sort(ids, compare_strings);
	return ids;
}

json_t *vh_vm_list_json(const struct vh_vm_list *l)
{
	GPtrArray *ids = vh_vm_list_ids(l, NULL);
	json_t *vms = json_array();

	for (unsigned int i = 0; i < ids->len; i++) {
		const struct vh_fleet_vm *vm =
			g_hash_table_lookup(l->visible, ids->pdata[i]);

		json_array_append_new(vms, vh_fleet_vm_to_json(vm));
	}
	g_ptr_array_free(ids, TRUE);
	return json_pack("{s:I,s:o}", "version", (json_int_t)l->version, "vms",
			 vms);
}
