#include "private/peer_link.h"

#include <assert.h>
#include <glib.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>

#include "private/clock.h"

/* Covers two round trips on a slow link between regions. */
#define HANDSHAKE_LIMIT_US (5 * RJ_US_PER_S)

/* Queue one frame with its MAC. */
static void send_sealed(struct rj_peer_link *link, struct rj_bytes body)
{
	uint8_t mac[RJ_PEER_MAC_BYTES];
	struct rj_bytes parts[2] = { { mac, sizeof(mac) }, body };

	rj_peer_session_seal(&link->session, mac, body);
	rj_tcp_link_send(&link->tcp, parts, 2);
}

/* The close reason for the error of a rejected frame. */
static enum rj_peer_close_reason close_reason(const struct rj_error *err)
{
	switch (err->kind) {
	case RJ_ERR_VERSION:
		return RJ_PEER_CLOSE_VERSION;
	case RJ_ERR_CONFLICT:
		return RJ_PEER_CLOSE_NAME;
	case RJ_ERR_UNAUTHORIZED:
		return RJ_PEER_CLOSE_AUTHENTICATION;
	default:
		return RJ_PEER_CLOSE_MALFORMED;
	}
}

/* Handle the first frame, the remote hello, and reply with the key proof. */
static int receive_hello(struct rj_peer_link *link, struct rj_bytes frame,
			 struct rj_error *err)
{
	static const struct rj_bytes empty_body = { NULL, 0 };
	const struct rj_peer_hello *remote = &link->session.remote;

	if (rj_peer_session_receive_hello(&link->session, frame, err))
		return -1;
	if (link->expected_name &&
	    strcmp(remote->name, link->expected_name) != 0)
		return rj_error_set(err, RJ_ERR_CONFLICT,
				    "hello: %s answers at the address of %s; "
				    "correct the peers of the settings",
				    remote->name, link->expected_name);
	link->hello_received = true;
	send_sealed(link, empty_body);
	return 0;
}

/*
 * The first frame with a valid MAC proves the shared key: mark the link as
 * authenticated and accept frames of the full size.
 */
static void receive_proof(struct rj_peer_link *link)
{
	TALLOC_FREE(link->handshake_timer);
	link->authenticated = true;
	link->tcp.frame_max = RJ_FRAME_MAX_BYTES;
	link->ops->authenticated(link);
}

/* Verify a frame after the hello and deliver its message to the owner. */
static int receive_sealed(struct rj_peer_link *link, struct rj_bytes frame,
			  struct rj_error *err)
{
	struct rj_peer_message message;
	struct rj_bytes body;
	void *mem;

	if (rj_peer_session_open(&link->session, frame, &body, err))
		return -1;
	if (!link->authenticated) {
		receive_proof(link);
		return 0;
	}
	mem = talloc_new(NULL);
	if (rj_peer_decode(mem, body, &message, err)) {
		talloc_free(mem);
		return -1;
	}
	link->ops->message(link, &message);
	talloc_free(mem);
	return 0;
}

/*
 * Handle one received frame. An invalid frame closes only this link, so that
 * a faulty peer does not affect the links to others.
 */
static void on_frame(struct rj_tcp_link *tcp, struct rj_bytes frame)
{
	struct rj_peer_link *link = (struct rj_peer_link *)tcp;
	struct rj_error err;
	int failed;

	if (!link->hello_received)
		failed = receive_hello(link, frame, &err);
	else
		failed = receive_sealed(link, frame, &err);
	if (!failed)
		return;
	g_info("peer link closed: %s", err.message);
	rj_tcp_link_close(tcp, close_reason(&err));
}

/* Send the local hello once the connection is established. */
static void on_connected(struct rj_tcp_link *tcp)
{
	struct rj_peer_link *link = (struct rj_peer_link *)tcp;
	struct rj_bytes hello = { link->session.local_hello,
				  link->session.local_hello_length };

	rj_tcp_link_send(tcp, &hello, 1);
}

static void on_closed(struct rj_tcp_link *tcp, enum rj_peer_close_reason reason)
{
	struct rj_peer_link *link = (struct rj_peer_link *)tcp;

	link->ops->closed(link, reason);
}

static const struct rj_tcp_link_ops tcp_ops = {
	.connected = on_connected,
	.frame = on_frame,
	.closed = on_closed,
};

/* Close the link: the remote side did not authenticate in time. */
static void on_deadline(struct tevent_context *loop, struct tevent_timer *timer,
			struct timeval now, void *private_data)
{
	struct rj_peer_link *link = private_data;

	link->handshake_timer = NULL;
	rj_tcp_link_close(&link->tcp, RJ_PEER_CLOSE_TIMEOUT);
}

/*
 * Start the handshake on `fd`. `expected_name` is the remote instance of an
 * outgoing connection, NULL for an incoming one; it must outlive the link. The
 * link allocates from `mem`.
 */
void rj_peer_link_init(struct rj_peer_link *link, void *mem,
		       const struct rj_peer_link_ops *ops,
		       const struct rj_tcp_peers_options *options, int fd,
		       const char *expected_name)
{
	struct rj_peer_hello hello = {
		.version = RJ_PEER_VERSION,
		.version_min = RJ_PEER_VERSION,
		.incarnation = options->incarnation,
	};

	rj_name_set(hello.name, options->name);
	rj_name_set(hello.domain, options->domain);
	randombytes_buf(hello.nonce, sizeof(hello.nonce));
	link->ops = ops;
	link->expected_name = expected_name;
	link->hello_received = false;
	link->authenticated = false;
	rj_peer_session_init(&link->session, options->key, &hello);
	rj_tcp_link_init(&link->tcp, mem, &tcp_ops, options->loop, fd,
			 expected_name != NULL);
	link->tcp.frame_max = RJ_PEER_HELLO_MAX_BYTES;
	link->handshake_timer = tevent_add_timer(
		options->loop, mem, rj_clock_timeval_in(HANDSHAKE_LIMIT_US),
		on_deadline, link);
	assert(link->handshake_timer);
	if (!expected_name)
		on_connected(&link->tcp);
}

/*
 * Queue a message on an authenticated link; dropped if the link has ended.
 */
void rj_peer_link_send(struct rj_peer_link *link,
		       const struct rj_peer_message *message)
{
	struct rj_bytes body;

	assert(link->authenticated);
	if (link->tcp.ended)
		return;
	body = rj_peer_encode(NULL, message);
	send_sealed(link, body);
	talloc_free((void *)body.data);
}

/*
 * End the link; `closed` is called later, from the event loop.
 */
void rj_peer_link_close(struct rj_peer_link *link,
			enum rj_peer_close_reason reason)
{
	rj_tcp_link_close(&link->tcp, reason);
}

/*
 * Close the socket immediately and free the link's resources; `closed` is not
 * called any more.
 */
void rj_peer_link_finish(struct rj_peer_link *link)
{
	TALLOC_FREE(link->handshake_timer);
	rj_tcp_link_finish(&link->tcp);
}
