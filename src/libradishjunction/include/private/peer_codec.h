/*
 * msgpack encoding of the messages between instances.
 *
 * A message is a flat sequence of msgpack scalars that starts with its kind.
 * A newer version may append fields; a reader ignores what follows the fields
 * it knows. Encoded bytes are a talloc child of the given context. A decoded
 * message points into the frame for bodies and results; the texts of a
 * configuration are talloc children of the context.
 */
#ifndef RADISHJUNCTION_PRIVATE_PEER_CODEC_H
#define RADISHJUNCTION_PRIVATE_PEER_CODEC_H

#include "radishjunction/error.h"
#include "radishjunction/peer_message.h"

#define RJ_PEER_NONCE_BYTES 32

/* The first frame each side sends, in plaintext and without a MAC. */
struct rj_peer_hello {
	uint32_t version; /* highest protocol version supported */
	uint32_t version_min; /* lowest protocol version supported */
	char name[RJ_NAME_BYTES];
	char domain[RJ_NAME_BYTES];
	uint64_t incarnation;
	uint8_t nonce[RJ_PEER_NONCE_BYTES];
};

struct rj_bytes rj_peer_encode(void *mem,
			       const struct rj_peer_message *message);
int rj_peer_decode(void *mem, struct rj_bytes bytes,
		   struct rj_peer_message *message, struct rj_error *err);
struct rj_bytes rj_peer_hello_encode(void *mem,
				     const struct rj_peer_hello *hello);
int rj_peer_hello_decode(struct rj_bytes bytes, struct rj_peer_hello *hello,
			 struct rj_error *err);

#endif
