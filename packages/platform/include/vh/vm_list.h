#ifndef VH_VM_LIST_H
#define VH_VM_LIST_H

/*
 * The service "vms": polls the platform's list of workers and reports changes
 * to it. packages/core creates it and looks up workers in it.
 */

#include "vh/kernel.h"
#include "vh/rack.h"

/**
 * struct vh_vm_list - the newest list that was read
 *
 * The list may be stale and is only a hint. While the platform does not answer,
 * the last list is kept. A VM that is no longer listed is reported to the
 * watchers once more, with gone set.
 */
struct vh_vm_list;

struct vh_vm_list *vh_vm_list_new(struct vh_kernel *kernel,
				  struct vh_slice address, uint16_t port);
void vh_vm_list_free(struct vh_vm_list *l);
struct vh_service *vh_vm_list_service(struct vh_vm_list *l);

/* vh_vm_list_workers - the current list; valid until control returns to the
 * event loop */
size_t vh_vm_list_workers(const struct vh_vm_list *l, const struct vh_vm **out);

/* vh_vm_list_find - returns the worker with this id, or NULL */
const struct vh_vm *vh_vm_list_find(const struct vh_vm_list *l,
				    struct vh_slice id);

/* vh_vm_list_loaded - whether a list has been read since the start */
bool vh_vm_list_loaded(const struct vh_vm_list *l);

/* vh_vm_list_watch - calls @fn with each VM that changed, and with NULL after
 * the last change of an update */
void vh_vm_list_watch(struct vh_vm_list *l,
		      void (*fn)(void *ctx, const struct vh_vm *vm), void *ctx);

/**
 * vh_vm_list_parse - parses the workers of a platform response
 * @out: an array grown with g_realloc(); release each with vh_vm_finish()
 * @malformed: how many workers are left out, as the platform describes them in a way
 *	       that cannot be used; the others are good
 *
 * Returns false and sets @err if the response is not a list.
 */
bool vh_vm_list_parse(struct vh_slice json, struct vh_vm **out, size_t *n,
		      uint64_t *version, size_t *malformed, GError **err);
void vh_vm_finish(struct vh_vm *vm);

#endif
