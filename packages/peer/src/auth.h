#ifndef VH_AUTH_H
#define VH_AUTH_H

#include "vh/slice.h"

#define VH_AUTH_NONCE 16 /* bytes */
#define VH_AUTH_MAC 32	 /* bytes: HMAC with SHA-256 */

enum vh_auth_side {
	VH_AUTH_CONNECTING,
	VH_AUTH_ACCEPTING
};

/**
 * struct vh_auth - what both sides of one connection prove
 * @challenge: nonce of the side that accepted the connection
 * @nonce: nonce of the side that connected
 */
struct vh_auth {
	struct vh_slice secret;
	unsigned char challenge[VH_AUTH_NONCE];
	unsigned char nonce[VH_AUTH_NONCE];
};

void vh_auth_random(unsigned char nonce[VH_AUTH_NONCE]);

/* vh_auth_mac - one side's proof that it knows the secret and is node @id */
void vh_auth_mac(const struct vh_auth *a, enum vh_auth_side side,
		 struct vh_slice id, uint64_t incarnation,
		 unsigned char mac[VH_AUTH_MAC]);

/* vh_auth_check - is @mac that proof? Takes the same time for any @mac. */
bool vh_auth_check(const struct vh_auth *a, enum vh_auth_side side,
		   struct vh_slice id, uint64_t incarnation,
		   struct vh_slice mac);

#endif
