#include "auth.h"

#include <event2/util.h>
#include <glib.h>

void vh_auth_generate_nonce(unsigned char nonce[VH_AUTH_NONCE_SIZE])
{
	evutil_secure_rng_get_bytes(nonce, VH_AUTH_NONCE_SIZE);
}

void vh_auth_mac(const struct vh_auth *a, enum vh_auth_role role,
		 struct vh_slice id, uint64_t incarnation,
		 unsigned char mac[VH_AUTH_MAC_SIZE])
{
	GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256,
				 (const guchar *)a->secret.data, a->secret.len);
	guint64 incarnation_be = GUINT64_TO_BE(incarnation);
	gsize len = VH_AUTH_MAC_SIZE;
	guchar role_label = role == VH_AUTH_INITIATOR ? 'c' : 'a';

	g_hmac_update(hmac, &role_label, 1);
	g_hmac_update(hmac, a->challenge, VH_AUTH_NONCE_SIZE);
	g_hmac_update(hmac, a->nonce, VH_AUTH_NONCE_SIZE);
	g_hmac_update(hmac, (const guchar *)&incarnation_be,
		      sizeof(incarnation_be));
	g_hmac_update(hmac, (const guchar *)id.data, (gssize)id.len);
	g_hmac_get_digest(hmac, mac, &len);
	g_hmac_unref(hmac);
}

bool vh_auth_verify(const struct vh_auth *a, enum vh_auth_role role,
		    struct vh_slice id, uint64_t incarnation,
		    struct vh_slice mac)
{
	unsigned char expected[VH_AUTH_MAC_SIZE];

	vh_auth_mac(a, role, id, incarnation, expected);
	return vh_slice_eq_consttime(mac, vh_slice((char *)expected,
						   sizeof(expected)));
}
