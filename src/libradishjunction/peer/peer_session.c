#include "private/peer_session.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>

/*
 * Start a session that introduces itself with `own`, under the shared key
 * given as text of any length.
 */
void rj_peer_session_init(struct rj_peer_session *session, const char *key,
			  const struct rj_peer_hello *local)
{
	struct rj_bytes bytes;

	memset(session, 0, sizeof(*session));
	session->local = *local;
	crypto_generichash(session->shared_key, RJ_PEER_KEY_BYTES,
			   (const uint8_t *)key, strlen(key), NULL, 0);
	bytes = rj_peer_hello_encode(NULL, local);
	assert(bytes.length <= RJ_PEER_HELLO_MAX_BYTES);
	memcpy(session->local_hello, bytes.data, bytes.length);
	session->local_hello_length = bytes.length;
	talloc_free((void *)bytes.data);
}

/* The key for the frames of the side called `name`. */
static void direction_key(uint8_t key[RJ_PEER_KEY_BYTES],
			  const uint8_t link_key[RJ_PEER_KEY_BYTES],
			  const char *name)
{
	crypto_generichash(key, RJ_PEER_KEY_BYTES, (const uint8_t *)name,
			   strlen(name), link_key, RJ_PEER_KEY_BYTES);
}

/*
 * Derive the keys of both directions from the shared key and both hellos,
 * the one of the lower name first, so that both sides agree.
 *
 * The hellos hold both nonces, names and versions: frames of an earlier
 * link, of another pair or after a changed version do not verify.
 */
static void derive_keys(struct rj_peer_session *session, struct rj_bytes hello)
{
	struct rj_bytes local = { session->local_hello,
				  session->local_hello_length };
	bool lower = strcmp(session->local.name, session->remote.name) < 0;
	struct rj_bytes parts[2] = { lower ? local : hello,
				     lower ? hello : local };
	uint8_t link_key[RJ_PEER_KEY_BYTES];
	crypto_generichash_state state;

	crypto_generichash_init(&state, session->shared_key, RJ_PEER_KEY_BYTES,
				RJ_PEER_KEY_BYTES);
	for (uint32_t i = 0; i < 2; i++) {
		uint8_t length[2] = { (uint8_t)(parts[i].length >> 8),
				      (uint8_t)parts[i].length };

		crypto_generichash_update(&state, length, sizeof(length));
		crypto_generichash_update(&state, parts[i].data,
					  parts[i].length);
	}
	crypto_generichash_final(&state, link_key, RJ_PEER_KEY_BYTES);
	direction_key(session->send_key, link_key, session->local.name);
	direction_key(session->receive_key, link_key, session->remote.name);
}

/*
 * Take the hello of the other side and agree on the lower version.
 *
 * A hello with one's own name is refused. Guards against a stranger that
 * sends each frame back: with one name both directions would have one key,
 * and the stranger would look like a peer that knows the secret.
 *
 * Returns 0, or -1 with `err` of kind RJ_ERR_MALFORMED, RJ_ERR_VERSION or
 * RJ_ERR_CONFLICT (the name).
 */
int rj_peer_session_receive_hello(struct rj_peer_session *session,
				  struct rj_bytes hello, struct rj_error *err)
{
	const struct rj_peer_hello *local = &session->local;
	struct rj_peer_hello *remote = &session->remote;

	if (hello.length > RJ_PEER_HELLO_MAX_BYTES)
		return rj_error_set(err, RJ_ERR_MALFORMED,
				    "hello: %u bytes; at most %u are taken",
				    hello.length, RJ_PEER_HELLO_MAX_BYTES);
	if (rj_peer_hello_decode(hello, remote, err))
		return -1;
	if (strcmp(remote->name, local->name) == 0)
		return rj_error_set(err, RJ_ERR_CONFLICT,
				    "hello: the name %s is this instance's "
				    "own; give each instance its own name",
				    remote->name);
	session->version = local->version < remote->version ? local->version :
							      remote->version;
	if (session->version < local->version_min ||
	    session->version < remote->version_min)
		return rj_error_set(err, RJ_ERR_VERSION,
				    "hello: %s speaks versions %u to %u, this "
				    "instance %u to %u; replace the older one",
				    remote->name, remote->version_min,
				    remote->version, local->version_min,
				    local->version);
	derive_keys(session, hello);
	return 0;
}

/* The MAC of `body` as frame number `number`. */
static void frame_mac(uint8_t mac[RJ_PEER_MAC_BYTES],
		      const uint8_t key[RJ_PEER_KEY_BYTES], uint64_t number,
		      struct rj_bytes body)
{
	crypto_generichash_state state;
	uint8_t place[8];

	for (uint32_t i = 0; i < sizeof(place); i++)
		place[i] = (uint8_t)(number >> (8 * i));
	crypto_generichash_init(&state, key, RJ_PEER_KEY_BYTES,
				RJ_PEER_MAC_BYTES);
	crypto_generichash_update(&state, place, sizeof(place));
	if (body.length)
		crypto_generichash_update(&state, body.data, body.length);
	crypto_generichash_final(&state, mac, RJ_PEER_MAC_BYTES);
}

/*
 * Make the MAC of the next frame to send. Frames are sent in the order in
 * which they are sealed, the MAC before the body.
 */
void rj_peer_session_seal(struct rj_peer_session *session,
			  uint8_t mac[RJ_PEER_MAC_BYTES], struct rj_bytes body)
{
	frame_mac(mac, session->send_key, session->sent++, body);
}

/*
 * Check the next frame that was received; `*body` points into it.
 *
 * Guards against a frame that is replayed, reordered or left out on the way:
 * a forwarded job would arrive twice, or an old capacity would win. The
 * number of the frame is part of its MAC, so any other order fails here.
 *
 * Returns 0, or -1 with `err` of kind RJ_ERR_UNAUTHORIZED.
 */
int rj_peer_session_open(struct rj_peer_session *session, struct rj_bytes frame,
			 struct rj_bytes *body, struct rj_error *err)
{
	uint8_t mac[RJ_PEER_MAC_BYTES];

	if (frame.length >= RJ_PEER_MAC_BYTES) {
		body->data = frame.data + RJ_PEER_MAC_BYTES;
		body->length = frame.length - RJ_PEER_MAC_BYTES;
		frame_mac(mac, session->receive_key, session->received, *body);
		if (!sodium_memcmp(mac, frame.data, RJ_PEER_MAC_BYTES)) {
			session->received++;
			return 0;
		}
	}
	return rj_error_set(err, RJ_ERR_UNAUTHORIZED,
			    "frame %llu from %s: the MAC does not verify; "
			    "give all instances the same peer_key",
			    (unsigned long long)session->received,
			    session->remote.name);
}
