#include "peer_impl.h"

#include <arpa/inet.h>

#include "vh/log.h"

#define BACKOFF_BASE_MS 100
#define BACKOFF_MAX_MS 5000
#define IDLE_TIMEOUT_MS 60000  /* unused links are closed after it */
#define UNAUTHENTICATED_MAX 64 /* accepted links still in the handshake */

static size_t count_unauthenticated(const struct vh_peer *p)
{
	size_t n = 0;

	for (const struct vh_link *l = p->links; l; l = l->next)
		n += !l->ready && !l->outgoing;
	return n;
}

static void add_link(struct vh_peer *p, struct vh_link *link)
{
	link->next = p->links;
	p->links = link;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *from, int len, void *ctx)
{
	struct vh_peer *p = ctx;

	(void)listener;
	(void)from;
	(void)len;
	if (count_unauthenticated(p) >= UNAUTHENTICATED_MAX) {
		evutil_closesocket(fd);
		return;
	}
	add_link(p, vh_link_accept(&p->owner, fd));
}

bool vh_peer_listen(struct vh_peer *p, GError **err)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(p->settings.port) };
	socklen_t len = sizeof(addr);

	if (inet_pton(AF_INET, p->settings.address.data, &addr.sin_addr) != 1) {
		g_set_error(err, VH_ERROR, VH_ERR_BAD_REQUEST,
			    "peer address %s is not an IPv4 address",
			    p->settings.address.data);
		return false;
	}
	p->listener = evconnlistener_new_bind(
		p->kernel->base, on_accept, p,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
		(struct sockaddr *)&addr, sizeof(addr));
	if (!p->listener) {
		g_set_error(err, VH_ERROR, VH_ERR_INTERNAL,
			    "cannot listen on %s:%u for peers: %s",
			    p->settings.address.data, p->settings.port,
			    g_strerror(errno));
		return false;
	}
	getsockname(evconnlistener_get_fd(p->listener),
		    (struct sockaddr *)&addr, &len);
	p->port = ntohs(addr.sin_port);
	return true;
}

struct vh_link *vh_peer_ready_link(struct vh_peer *p, struct vh_slice id)
{
	for (struct vh_link *l = p->links; l; l = l->next) {
		if (l->ready && vh_slice_eq_str(id, l->id))
			return l;
	}
	return NULL;
}

static struct vh_connect_target *
find_target(struct vh_peer *p, struct vh_slice address, uint16_t port)
{
	struct vh_connect_target *t = p->targets;

	while (t && (t->port != port || !vh_slice_eq_str(address, t->address)))
		t = t->next;
	if (t || address.len >= VH_ADDRESS_MAX)
		return t;
	t = g_new0(struct vh_connect_target, 1);
	memcpy(t->address, address.data, address.len);
	t->port = port;
	t->next = p->targets;
	p->targets = t;
	return t;
}

static void record_failure(struct vh_peer *p, struct vh_connect_target *t)
{
	int64_t delay = BACKOFF_BASE_MS;

	for (unsigned int i = 0; i < t->failures && delay < BACKOFF_MAX_MS; i++)
		delay *= 2;
	if (delay > BACKOFF_MAX_MS)
		delay = BACKOFF_MAX_MS;
	delay = (int64_t)((double)delay *
			  g_rand_double_range(p->rng, 0.5, 1.5));
	t->failures++;
	t->connecting = false;
	t->connect_after_ms = vh_kernel_now_ms(p->kernel) + delay;
}

bool vh_peer_connect(struct vh_peer *p, struct vh_slice address, uint16_t port)
{
	struct vh_connect_target *t = find_target(p, address, port);
	struct vh_link *link;

	if (!t || (!t->connecting &&
		   vh_kernel_now_ms(p->kernel) < t->connect_after_ms))
		return false;
	if (t->connecting)
		return true;
	link = vh_link_connect(&p->owner, address, port);
	if (!link) {
		record_failure(p, t);
		return false;
	}
	t->connecting = true;
	add_link(p, link);
	return true;
}

void vh_peer_connect_succeeded(struct vh_peer *p, const struct vh_link *link)
{
	struct vh_connect_target *t;

	if (!link->outgoing)
		return;
	t = find_target(p, vh_slice_str(link->address), link->port);
	t->connecting = false;
	t->failures = 0;
}

void vh_peer_remove_link(struct vh_peer *p, struct vh_link *link)
{
	struct vh_link **at = &p->links;

	while (*at && *at != link)
		at = &(*at)->next;
	if (*at)
		*at = link->next;
	if (link->outgoing && !link->id[0])
		record_failure(p, find_target(p, vh_slice_str(link->address),
					      link->port));
	vh_link_unref(link);
}

/*
 * True for links without traffic for IDLE_TIMEOUT_MS, and for silent links to
 * dead nodes: calls on those would wait for their timeout instead of failing.
 */
static bool should_close(const struct vh_peer *p, const struct vh_link *link,
			 int64_t now_ms)
{
	int64_t idle_ms = now_ms - link->last_received_ms;
	size_t i;

	if (!link->ready)
		return false;
	if (!link->outstanding && idle_ms > IDLE_TIMEOUT_MS)
		return true;
	i = vh_members_find(&p->members, vh_link_id(link));
	return i < p->members.n && p->members.nodes[i].state == VH_NODE_DEAD &&
	       idle_ms > p->settings.suspect_ms;
}

void vh_peer_check_links(struct vh_peer *p, int64_t now_ms)
{
	struct vh_link *next;

	for (struct vh_link *l = p->links; l; l = next) {
		vh_link_ref(l);
		if (should_close(p, l, now_ms))
			vh_link_close(l);
		else if (vh_link_check_timeout(l, now_ms))
			vh_probes_send_keepalive(p, l);
		next = l->closed ? p->links : l->next;
		vh_link_unref(l);
	}
}

void vh_peer_close_all(struct vh_peer *p)
{
	if (p->listener)
		evconnlistener_free(p->listener);
	p->listener = NULL;
	while (p->links)
		vh_link_close(p->links);
	while (p->targets) {
		struct vh_connect_target *t = p->targets;

		p->targets = t->next;
		g_free(t);
	}
}
