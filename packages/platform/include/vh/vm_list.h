#ifndef VH_VM_LIST_H
#define VH_VM_LIST_H

#include "vh/kernel.h"
#include "vh/rack.h"

/**
 * struct vh_vm_list - the service "vms": the platform's list of workers
 *
 * The list lags and is a hint. While the platform does not answer, the newest
 * list stays. A VM that is no longer listed is told once more as gone.
 */
struct vh_vm_list;

struct vh_vm_list *vh_vm_list_new(struct vh_kernel *kernel,
				  struct vh_slice address, uint16_t port);
void vh_vm_list_free(struct vh_vm_list *l);
struct vh_service *vh_vm_list_service(struct vh_vm_list *l);

/* vh_vm_list_workers - workers known now; valid until the loop turns */
size_t vh_vm_list_workers(const struct vh_vm_list *l, const struct vh_vm **out);

/* vh_vm_list_find - the worker of that id or NULL */
const struct vh_vm *vh_vm_list_find(const struct vh_vm_list *l,
				    struct vh_slice id);

/* vh_vm_list_loaded - has a list ever been read? */
bool vh_vm_list_loaded(const struct vh_vm_list *l);

/* vh_vm_list_watch - @fn is called with each VM that changed, then with NULL
 * once all changes of one reading are told */
void vh_vm_list_watch(struct vh_vm_list *l,
		      void (*fn)(void *ctx, const struct vh_vm *vm), void *ctx);

/* vh_vm_list_parse - adds the workers of a platform answer to @out, an array
 * grown with g_realloc(); each is freed with vh_vm_finish() */
bool vh_vm_list_parse(struct vh_slice json, struct vh_vm **out, size_t *n,
		      uint64_t *version, GError **err);
void vh_vm_finish(struct vh_vm *vm);

#endif
