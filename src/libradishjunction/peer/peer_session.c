#include "private/peer_session.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>

/*
 * Start a session whose hello is `local`. `key` is the shared key as text of
 * any length.
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

/* Derive the key for the frames that instance `name` sends. */
static void direction_key(uint8_t key[RJ_PEER_KEY_BYTES],
			  const uint8_t link_key[RJ_PEER_KEY_BYTES],
			  const char *name)
{
	crypto_generichash(key, RJ_PEER_KEY_BYTES, (const uint8_t *)name,
			   strlen(name), link_key, RJ_PEER_KEY_BYTES);
}

/*
 * Derive the keys of both directions from the shared key and both hellos,
 * that of the lower name first, so that both sides compute the same keys.
 *
 * The hellos contain both nonces, names and versions: frames of an earlier
 * link, of another pair or with a modified version fail verification.
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
 * Process the remote hello: agree on the lower version and derive the keys.
 *
 * A hello with the local name is rejected, against reflection attacks: with
 * equal names both directions would use the same key, and a remote side that
 * echoes each frame would authenticate without the shared key.
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
				    "hello: %u bytes; at most %u are accepted",
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
		return rj_error_set(
			err, RJ_ERR_VERSION,
			"hello: %s supports versions %u to %u, this "
			"instance %u to %u; replace the older one",
			remote->name, remote->version_min, remote->version,
			local->version_min, local->version);
	derive_keys(session, hello);
	return 0;
}

/* Compute the MAC of `body` as frame `number` of its direction. */
static void frame_mac(uint8_t mac[RJ_PEER_MAC_BYTES],
		      const uint8_t key[RJ_PEER_KEY_BYTES], uint64_t number,
		      struct rj_bytes body)
{
	crypto_generichash_state state;
	uint8_t number_bytes[8];

	for (uint32_t i = 0; i < sizeof(number_bytes); i++)
		number_bytes[i] = (uint8_t)(number >> (8 * i));
	crypto_generichash_init(&state, key, RJ_PEER_KEY_BYTES,
				RJ_PEER_MAC_BYTES);
	crypto_generichash_update(&state, number_bytes, sizeof(number_bytes));
	if (body.length)
		crypto_generichash_update(&state, body.data, body.length);
	crypto_generichash_final(&state, mac, RJ_PEER_MAC_BYTES);
}

/*
 * Compute the MAC of the next frame to send. Frames must be sent in the order
 * in which they are sealed, the MAC before the body.
 */
void rj_peer_session_seal(struct rj_peer_session *session,
			  uint8_t mac[RJ_PEER_MAC_BYTES], struct rj_bytes body)
{
	frame_mac(mac, session->send_key, session->sent++, body);
}

/*
 * Verify the next received frame; `*body` points into it.
 *
 * Detects frames that were replayed, reordered or dropped in transit, which
 * would submit a forwarded job twice or restore an outdated capacity. The
 * frame number is covered by the MAC, so any other order fails verification.
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
