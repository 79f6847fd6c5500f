#ifndef VH_VM_SERVER_H
#define VH_VM_SERVER_H

/*
 * Serves the simulated VM list over HTTP, with faults to inject. Internal to
 * the package: vh-standin-vms runs it.
 */

#include "httpd.h"
#include "vm_list.h"

/**
 * struct vh_vm_server - serves the platform's VM list over HTTP
 *
 * POST /control accepts {"vm":ID,"state":STATE}, {"rack":NAME,"state":STATE},
 * {"add":{VM}}, {"down":bool} and {"lag_ms":N}, also combined. While it is
 * down, the server closes connections without a response.
 */
struct vh_vm_server {
	struct vh_httpd http;
	struct vh_vm_list list;
	struct vh_timer lag_timer;
	struct _GPtrArray *long_polls;
	bool down;
};

/* vh_vm_server_start - starts the server; the VMs of @fleet are visible at
 * once */
bool vh_vm_server_start(struct vh_vm_server *s, struct vh_kernel *kernel,
			uint16_t port, const struct vh_fleet *fleet,
			int64_t lag_ms, GError **err);
void vh_vm_server_stop(struct vh_vm_server *s);

#endif
