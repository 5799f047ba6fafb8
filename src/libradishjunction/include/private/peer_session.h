/*
 * The secrets of one link: who the other side is, and the MAC of each frame.
 *
 * Life cycle: init, take the other side's hello, then seal and open frames
 * in order; owns no memory and does no I/O. Frame number 0 of each side is
 * empty: to seal it is to prove the shared key over both hellos.
 */
#ifndef RADISHJUNCTION_PRIVATE_PEER_SESSION_H
#define RADISHJUNCTION_PRIVATE_PEER_SESSION_H

#include "private/peer_codec.h"

#define RJ_PEER_KEY_BYTES 32
#define RJ_PEER_MAC_BYTES 16
/* Names, numbers and a nonce, with room for fields of newer versions. */
#define RJ_PEER_HELLO_MAX_BYTES 1024

struct rj_peer_session {
	uint8_t shared_key[RJ_PEER_KEY_BYTES];
	struct rj_peer_hello local;
	struct rj_peer_hello remote;
	uint8_t local_hello[RJ_PEER_HELLO_MAX_BYTES];
	uint32_t local_hello_length;
	uint32_t version; /* the lower of the two sides' */
	uint8_t send_key[RJ_PEER_KEY_BYTES];
	uint8_t receive_key[RJ_PEER_KEY_BYTES];
	uint64_t sent; /* frames sealed */
	uint64_t received; /* frames opened */
};

void rj_peer_session_init(struct rj_peer_session *session, const char *key,
			  const struct rj_peer_hello *local);
int rj_peer_session_receive_hello(struct rj_peer_session *session,
				  struct rj_bytes hello, struct rj_error *err);
void rj_peer_session_seal(struct rj_peer_session *session,
			  uint8_t mac[RJ_PEER_MAC_BYTES], struct rj_bytes body);
int rj_peer_session_open(struct rj_peer_session *session, struct rj_bytes frame,
			 struct rj_bytes *body, struct rj_error *err);

#endif
