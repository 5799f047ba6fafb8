/*
 * The bytes of what instances tell each other: msgpack.
 *
 * A message is a plain sequence of msgpack scalars, its kind first. A newer
 * version may append fields; a reader ignores what follows the fields that
 * it knows. Encoded bytes are a talloc child of the given context; a decoded
 * message points into the frame for bodies and into the context for text.
 */
#ifndef RADISHJUNCTION_PRIVATE_PEER_CODEC_H
#define RADISHJUNCTION_PRIVATE_PEER_CODEC_H

#include "radishjunction/error.h"
#include "radishjunction/peer_message.h"

#define RJ_PEER_NONCE_BYTES 32

/* The first frame of each side. */
struct rj_peer_hello {
	uint32_t version; /* the highest that the sender speaks */
	uint32_t version_min; /* the lowest that it still speaks */
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
