#ifndef VH_AUTH_H
#define VH_AUTH_H

/*
 * Mutual authentication of two nodes by a shared secret: nonces and HMACs.
 * Internal to the package: link.c runs the handshake; peer.c generates the
 * node's incarnation with vh_auth_generate_nonce().
 */

#include "vh/slice.h"

#define VH_AUTH_NONCE_SIZE 16 /* bytes */
#define VH_AUTH_MAC_SIZE 32   /* bytes: HMAC with SHA-256 */

enum vh_auth_role {
	VH_AUTH_INITIATOR,
	VH_AUTH_RESPONDER
};

/**
 * struct vh_auth - inputs of the mutual authentication of one connection
 * @challenge: nonce of the responder, which accepted the connection
 * @nonce: nonce of the initiator, which connected
 */
struct vh_auth {
	struct vh_slice secret;
	unsigned char challenge[VH_AUTH_NONCE_SIZE];
	unsigned char nonce[VH_AUTH_NONCE_SIZE];
};

void vh_auth_generate_nonce(unsigned char nonce[VH_AUTH_NONCE_SIZE]);

/* vh_auth_mac - computes one side's proof that it knows the secret and is node
 * @id */
void vh_auth_mac(const struct vh_auth *a, enum vh_auth_role role,
		 struct vh_slice id, uint64_t incarnation,
		 unsigned char mac[VH_AUTH_MAC_SIZE]);

/* vh_auth_verify - compares @mac with the expected proof in constant time */
bool vh_auth_verify(const struct vh_auth *a, enum vh_auth_role role,
		    struct vh_slice id, uint64_t incarnation,
		    struct vh_slice mac);

#endif
