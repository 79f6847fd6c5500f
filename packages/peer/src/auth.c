#include "auth.h"

#include <event2/util.h>
#include <glib.h>

void vh_auth_generate_nonce(unsigned char nonce[VH_AUTH_NONCE_SIZE])
{
	evutil_secure_rng_get_bytes(nonce, VH_AUTH_NONCE_SIZE);
}

void vh_auth_mac(const struct vh_auth *a, enum vh_auth_role side,
		 struct vh_slice id, uint64_t incarnation,
		 unsigned char mac[VH_AUTH_MAC_SIZE])
{
	GHmac *h = g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)a->secret.data,
			      a->secret.len);
	guint64 inc = GUINT64_TO_BE(incarnation);
	gsize len = VH_AUTH_MAC_SIZE;
	guchar label = side == VH_AUTH_INITIATOR ? 'c' : 'a';

	g_hmac_update(h, &label, 1);
	g_hmac_update(h, a->challenge, VH_AUTH_NONCE_SIZE);
	g_hmac_update(h, a->nonce, VH_AUTH_NONCE_SIZE);
	g_hmac_update(h, (const guchar *)&inc, sizeof(inc));
	g_hmac_update(h, (const guchar *)id.data, (gssize)id.len);
	g_hmac_get_digest(h, mac, &len);
	g_hmac_unref(h);
}

bool vh_auth_verify(const struct vh_auth *a, enum vh_auth_role side,
		    struct vh_slice id, uint64_t incarnation,
		    struct vh_slice mac)
{
	unsigned char want[VH_AUTH_MAC_SIZE];

	vh_auth_mac(a, side, id, incarnation, want);
	return vh_slice_eq_consttime(mac, vh_slice((char *)want, sizeof(want)));
}
