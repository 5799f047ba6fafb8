/*
 * Key agreement of one link and the MAC of each of its frames.
 *
 * Life cycle: init, receive the remote hello, then seal and open frames in
 * order. Owns no memory and does no I/O. Frame 0 of each side has an empty
 * body: its MAC proves possession of the shared key over both hellos.
 */
#ifndef RADISHJUNCTION_PRIVATE_PEER_SESSION_H
#define RADISHJUNCTION_PRIVATE_PEER_SESSION_H

#include "private/peer_codec.h"

#define RJ_PEER_KEY_BYTES 32
#define RJ_PEER_MAC_BYTES 16
/* Leaves space for fields that newer versions append. */
#define RJ_PEER_HELLO_MAX_BYTES 1024

struct rj_peer_session {
	uint8_t shared_key[RJ_PEER_KEY_BYTES];
	struct rj_peer_hello local;
	struct rj_peer_hello remote;
	uint8_t local_hello[RJ_PEER_HELLO_MAX_BYTES];
	uint32_t local_hello_length;
	uint32_t version; /* agreed: the lower of the two sides' */
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
