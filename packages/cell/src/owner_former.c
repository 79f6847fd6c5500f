#include "owner_priv.h"

#include <inttypes.h>

#include "vh/log.h"

/*
 * The owner before this one may not have known the node that this owner runs on. It
 * may then act for a minute while the store is down for it, and tasks on workers
 * that do not answer wait as long. They need not if its process has ended, which
 * shows when another process of its node answers.
 */

void owner_set_former(struct owner *o, const struct owner_former *former)
{
	g_free(o->former.node);
	o->former = *former;
	o->former.node = g_strdup(former->node);
	o->former_since_ms = owner_now_ms(o);
}

void owner_former_check(struct owner *o)
{
	int64_t now = owner_now_ms(o);
	int64_t end_ms =
		MAX(now + o->former.settle_ms, o->former.earlier_end_ms);
	char left[24];

	if (!o->former.node ||
	    !peer_server_process_ended(o->peer_server, o->former.node,
				       o->former.incarnation,
				       o->former_since_ms))
		return;
	g_snprintf(left, sizeof(left), "%" PRId64, end_ms - now);
	vh_log(G_LOG_LEVEL_INFO, "former owner's process has ended", "peer",
	       o->former.node, "former_owners_ms", left, NULL);
	eng_former_owners_end(o->engine, end_ms, now);
	o->ops.former_owners_end(o->ctx, end_ms);
	owner_former_finish(o);
}

void owner_former_finish(struct owner *o)
{
	g_free(o->former.node);
	o->former.node = NULL;
}
