#include <glib.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "private/peer_session.h"
#include "private/tcp_link.h"
#include "private/tcp_socket.h"
#include "radishjunction/tcp_peers.h"
#include "support/event_loop.h"
#include "support/peer_frames.h"

#define KEY "the key of all instances"

/* One instance's links, and the events that its sink received. */
struct node {
	struct rj_sink sink; /* must be the first member */
	struct rj_tcp_peers peers;
	uint32_t ups;
	uint32_t downs;
	uint32_t messages;
	uint64_t last_value;
};

/* A peer that the test controls frame by frame. */
struct raw_peer {
	struct rj_tcp_link link; /* must be the first member */
	struct rj_peer_session session;
	uint32_t frames;
	struct rj_bytes body; /* of the newest frame after the hello */
	bool closed;
};

static struct tevent_context *loop;

static void on_event(struct rj_sink *sink, struct rj_event *event)
{
	struct node *node = (struct node *)sink;

	node->ups += event->kind == RJ_EVENT_PEER_UP;
	node->downs += event->kind == RJ_EVENT_PEER_DOWN;
	if (event->kind != RJ_EVENT_PEER_MESSAGE)
		return;
	node->messages++;
	node->last_value = event->u.peer.message->u.cancel.job_id;
}

static void node_init(struct node *node, const char *name, const char *key,
		      uint16_t port)
{
	struct rj_tcp_peers_options options = {
		.loop = loop,
		.sink = &node->sink,
		.incarnation = 1,
		.address = { "127.0.0.1", port },
		.seed = 1,
	};

	memset(node, 0, sizeof(*node));
	node->sink.deliver = on_event;
	rj_name_set(options.name, name);
	rj_name_set(options.domain, "lhr-dha");
	g_strlcpy(options.key, key, sizeof(options.key));
	g_assert_cmpint(rj_tcp_peers_init(&node->peers, loop, &options, NULL),
			==, 0);
}

static void node_finish(struct node *node)
{
	node->peers.base.ops->finish(&node->peers.base);
}

static void node_connect(struct node *node, const char *name,
			 const struct node *other)
{
	struct rj_address address = rj_tcp_peers_address(&other->peers);

	node->peers.base.ops->connect(&node->peers.base, name, &address);
}

/* Sends a message that carries `value`. */
static void node_send(struct node *node, const char *name, uint64_t value)
{
	struct rj_peer_message message = { .kind = RJ_PEER_CANCEL };

	message.u.cancel.job_id = value;
	node->peers.base.ops->send(&node->peers.base, name, &message);
}

static void raw_frame(struct rj_tcp_link *link, struct rj_bytes frame)
{
	struct raw_peer *raw_peer = (struct raw_peer *)link;

	if (raw_peer->frames++ == 0) {
		rj_peer_session_receive_hello(&raw_peer->session, frame, NULL);
		return;
	}
	g_assert_cmpint(rj_peer_session_open(&raw_peer->session, frame,
					     &raw_peer->body, NULL),
			==, 0);
	raw_peer->body.data =
		talloc_memdup(loop, raw_peer->body.data, raw_peer->body.length);
}

static void raw_connected(struct rj_tcp_link *link)
{
	struct raw_peer *raw_peer = (struct raw_peer *)link;
	struct rj_bytes hello = { raw_peer->session.local_hello,
				  raw_peer->session.local_hello_length };

	rj_tcp_link_send(link, &hello, 1);
}

static void raw_closed(struct rj_tcp_link *link,
		       enum rj_peer_close_reason reason)
{
	((struct raw_peer *)link)->closed = true;
}

static const struct rj_tcp_link_ops raw_ops = { raw_connected, raw_frame,
						raw_closed };

/* Connects to `node` and sends `hello`. */
static void raw_init_hello(struct raw_peer *raw_peer, const struct node *node,
			   const struct rj_peer_hello *hello)
{
	struct rj_address address = rj_tcp_peers_address(&node->peers);

	memset(raw_peer, 0, sizeof(*raw_peer));
	rj_peer_session_init(&raw_peer->session, KEY, hello);
	rj_tcp_link_init(&raw_peer->link, loop, &raw_ops, loop,
			 rj_tcp_connect(&address, NULL), true);
}

/* Connects to `node` with a hello that offers this version only. */
static void raw_init(struct raw_peer *raw_peer, const struct node *node,
		     const char *name, uint32_t version)
{
	struct rj_peer_hello hello = { .version = version,
				       .version_min = version };

	rj_name_set(hello.name, name);
	rj_name_set(hello.domain, "lhr-dha");
	randombytes_buf(hello.nonce, sizeof(hello.nonce));
	raw_init_hello(raw_peer, node, &hello);
}

/* Seals `body`; the whole frame is a talloc child of `loop`. */
static struct rj_bytes raw_seal(struct raw_peer *raw_peer, struct rj_bytes body)
{
	uint8_t *data = talloc_size(loop, RJ_PEER_MAC_BYTES + body.length);

	rj_peer_session_seal(&raw_peer->session, data, body);
	if (body.length)
		memcpy(data + RJ_PEER_MAC_BYTES, body.data, body.length);
	return (struct rj_bytes){ data, RJ_PEER_MAC_BYTES + body.length };
}

/* Completes the handshake with a valid proof. */
static void raw_authenticate(struct raw_peer *raw_peer, struct node *node)
{
	struct rj_bytes proof;
	uint32_t ups = node->ups;

	RUN_UNTIL(loop, raw_peer->frames >= 1);
	proof = raw_seal(raw_peer, (struct rj_bytes){ NULL, 0 });
	rj_tcp_link_send(&raw_peer->link, &proof, 1);
	RUN_UNTIL(loop, node->ups == ups + 1);
}

static uint64_t closed(const struct node *node,
		       enum rj_peer_close_reason reason)
{
	return rj_tcp_peers_close_count(&node->peers, reason);
}

/* Two linked instances; the test then attacks the first. */
static void pair_init(struct node *node, struct node *other)
{
	node_init(node, "b", KEY, 0);
	node_init(other, "a", KEY, 0);
	node_connect(other, "b", node);
	RUN_UNTIL(loop, node->ups == 1 && other->ups == 1);
}

/* The link of the pair still carries messages and was never closed. */
static void pair_finish(struct node *node, struct node *other)
{
	uint32_t messages = node->messages;

	node_send(other, "b", 4711);
	RUN_UNTIL(loop, node->messages == messages + 1);
	g_assert_cmpuint(node->last_value, ==, 4711);
	g_assert_cmpuint(other->downs, ==, 0);
	node_finish(node);
	node_finish(other);
}

/* Both connect at the same time; one link remains and carries messages. */
static void test_both_connect(void)
{
	struct node a;
	struct node b;

	node_init(&a, "a", KEY, 0);
	node_init(&b, "b", KEY, 0);
	node_connect(&b, "a", &a);
	node_connect(&a, "b", &b);
	RUN_UNTIL(loop, a.ups > a.downs && b.ups > b.downs);
	node_send(&a, "b", 1);
	node_send(&b, "a", 2);
	RUN_UNTIL(loop, a.messages == 1 && b.messages == 1);
	g_assert_cmpuint(a.last_value, ==, 2);
	g_assert_cmpuint(b.last_value, ==, 1);
	g_assert_cmpuint(a.ups, ==, 1);
	g_assert_cmpuint(b.ups, ==, 1);
	node_finish(&a);
	node_finish(&b);
}

/* An instance that was replaced at its address is connected again. */
static void test_reconnects(void)
{
	struct node a;
	struct node b;
	struct rj_address address;

	node_init(&a, "a", KEY, 0);
	node_init(&b, "b", KEY, 0);
	node_connect(&a, "b", &b);
	RUN_UNTIL(loop, a.ups == 1);
	address = rj_tcp_peers_address(&b.peers);
	node_finish(&b);
	RUN_UNTIL(loop, a.downs == 1);
	node_init(&b, "b", KEY, address.port);
	RUN_UNTIL(loop, a.ups == 2 && b.ups == 1);
	node_finish(&a);
	node_finish(&b);
}

/*
 * A stranger that knows the addresses and the frame format but not the key must
 * not be able to read or forge messages.
 */
static void test_wrong_key(void)
{
	struct node node;
	struct node other;
	struct node stranger;

	pair_init(&node, &other);
	node_init(&stranger, "a2", "another key", 0);
	node_connect(&stranger, "b", &node);
	RUN_UNTIL(loop, closed(&node, RJ_PEER_CLOSE_AUTHENTICATION) == 1);
	g_assert_cmpuint(node.ups, ==, 1);
	g_assert_cmpuint(stranger.ups, ==, 0);
	node_finish(&stranger);
	pair_finish(&node, &other);
}

/*
 * A replayed frame must be refused, or a forwarded job arrives twice. A frame
 * must be verified with its position in the sequence.
 */
static void test_replayed_frame(void)
{
	struct rj_peer_message message = { .kind = RJ_PEER_CANCEL };
	struct rj_bytes frame;
	struct node node;
	struct node other;
	struct raw_peer raw_peer;

	pair_init(&node, &other);
	raw_init(&raw_peer, &node, "c", RJ_PEER_VERSION);
	raw_authenticate(&raw_peer, &node);
	frame = raw_seal(&raw_peer, rj_peer_encode(loop, &message));
	rj_tcp_link_send(&raw_peer.link, &frame, 1);
	rj_tcp_link_send(&raw_peer.link, &frame, 1);
	RUN_UNTIL(loop, closed(&node, RJ_PEER_CLOSE_AUTHENTICATION) == 1);
	g_assert_cmpuint(node.messages, ==, 1);
	rj_tcp_link_finish(&raw_peer.link);
	pair_finish(&node, &other);
}

/* An authenticated peer sends bytes that are no message. */
static void test_malformed_message(void)
{
	struct rj_bytes garbage = { (const uint8_t *)"\xc1\xc1\xc1", 3 };
	struct node node;
	struct node other;
	struct raw_peer raw_peer;

	pair_init(&node, &other);
	raw_init(&raw_peer, &node, "c", RJ_PEER_VERSION);
	raw_authenticate(&raw_peer, &node);
	garbage = raw_seal(&raw_peer, garbage);
	rj_tcp_link_send(&raw_peer.link, &garbage, 1);
	RUN_UNTIL(loop, closed(&node, RJ_PEER_CLOSE_MALFORMED) == 1 &&
				raw_peer.closed);
	g_assert_cmpuint(node.downs, ==, 1);
	rj_tcp_link_finish(&raw_peer.link);
	pair_finish(&node, &other);
}

/* A stranger's first frame is larger than any hello. */
static void test_oversized_frame(void)
{
	static const uint8_t zeros[RJ_PEER_HELLO_MAX_BYTES + 1];
	struct rj_bytes frame = { zeros, sizeof(zeros) };
	struct node node;
	struct node other;
	struct raw_peer raw_peer;

	pair_init(&node, &other);
	raw_init(&raw_peer, &node, "c", RJ_PEER_VERSION);
	rj_tcp_link_send(&raw_peer.link, &frame, 1);
	RUN_UNTIL(loop, closed(&node, RJ_PEER_CLOSE_OVERSIZED) == 1);
	rj_tcp_link_finish(&raw_peer.link);
	pair_finish(&node, &other);
}

/* A peer offers only a version that is no longer, or not yet, supported. */
static void test_no_common_version(void)
{
	struct node node;
	struct node other;
	struct raw_peer raw_peer;

	pair_init(&node, &other);
	raw_init(&raw_peer, &node, "c", RJ_PEER_VERSION + 1);
	RUN_UNTIL(loop, closed(&node, RJ_PEER_CLOSE_VERSION) == 1);
	rj_tcp_link_finish(&raw_peer.link);
	pair_finish(&node, &other);
}

/* Sends a message of each kind and waits until all have arrived. */
static void raw_send_all(struct raw_peer *raw_peer, struct node *node,
			 struct rj_bytes (*body_of)(enum rj_peer_message_kind))
{
	for (uint32_t kind = 0; kind < RJ_PEER_MESSAGE_KIND_COUNT; kind++) {
		struct rj_bytes frame = raw_seal(raw_peer, body_of(kind));

		rj_tcp_link_send(&raw_peer->link, &frame, 1);
	}
	RUN_UNTIL(loop, node->messages == RJ_PEER_MESSAGE_KIND_COUNT);
	g_assert_cmpuint(node->last_value, ==, 77);
	g_assert_cmpuint(node->downs, ==, 0);
	g_assert_false(raw_peer->closed);
}

/* What an instance of the oldest accepted version sends. */
static struct rj_bytes recorded_body(enum rj_peer_message_kind kind)
{
	return peer_frames_recorded(loop, kind);
}

/*
 * A new instance must accept the recorded frames of older versions. If it
 * requires fields that they do not send, it closes the links again and again
 * during a rolling replacement.
 */
static void test_older_instance(void)
{
	struct rj_peer_hello hello = PEER_FRAMES_HELLO;
	struct rj_bytes recorded = peer_frames_recorded_hello(loop);
	struct rj_peer_message message;
	struct node node;
	struct node other;
	struct raw_peer raw_peer;
	uint32_t frames;

	pair_init(&node, &other);
	raw_init_hello(&raw_peer, &node, &hello);
	g_assert_cmpmem(raw_peer.session.local_hello, recorded.length,
			recorded.data, recorded.length);
	memcpy(raw_peer.session.local_hello, recorded.data, recorded.length);
	raw_peer.session.local_hello_length = recorded.length;
	raw_authenticate(&raw_peer, &node);
	raw_send_all(&raw_peer, &node, recorded_body);

	/* The frame begins with the fields that the old instance knows. */
	frames = raw_peer.frames;
	peer_frames_fill(&message, RJ_PEER_HEARTBEAT);
	node.peers.base.ops->send(&node.peers.base, "c", &message);
	RUN_UNTIL(loop, raw_peer.frames == frames + 1);
	recorded = peer_frames_recorded(loop, RJ_PEER_HEARTBEAT);
	g_assert_cmpuint(raw_peer.body.length, >=, recorded.length);
	g_assert_cmpmem(raw_peer.body.data, recorded.length, recorded.data,
			recorded.length);
	rj_tcp_link_finish(&raw_peer.link);
	pair_finish(&node, &other);
}

/* What an instance of a later version might send: more fields at the end. */
static struct rj_bytes longer_body(enum rj_peer_message_kind kind)
{
	static const uint8_t more[] = { 0x92, 0x01, 0xa1, 'x' };
	struct rj_peer_message message;
	struct rj_bytes bytes;
	uint8_t *data;

	peer_frames_fill(&message, kind);
	bytes = rj_peer_encode(loop, &message);
	data = talloc_size(loop, bytes.length + sizeof(more));
	memcpy(data, bytes.data, bytes.length);
	memcpy(data + bytes.length, more, sizeof(more));
	return (struct rj_bytes){ data, bytes.length + sizeof(more) };
}

/*
 * An old instance must accept peers that also offer an unknown newer version
 * and append fields to every message. If it refuses the hello, or the longer
 * frames, no messages pass between instances during a rolling replacement.
 */
static void test_newer_instance(void)
{
	struct rj_peer_hello hello = { RJ_PEER_VERSION + 1,
				       RJ_PEER_VERSION,
				       "c",
				       "lhr-dha",
				       9,
				       { 1, 2 } };
	struct node node;
	struct node other;
	struct raw_peer raw_peer;

	pair_init(&node, &other);
	raw_init_hello(&raw_peer, &node, &hello);
	raw_authenticate(&raw_peer, &node);
	g_assert_cmpuint(raw_peer.session.version, ==, RJ_PEER_VERSION);
	raw_send_all(&raw_peer, &node, longer_body);
	rj_tcp_link_finish(&raw_peer.link);
	pair_finish(&node, &other);
}

/*
 * A stranger without the key that sends back every frame it gets, the proof
 * included, must not be taken for a peer. The two directions of a link
 * therefore use different keys.
 */
static void test_reflected_hello(void)
{
	struct node node;
	struct node other;
	struct raw_peer raw_peer;

	pair_init(&node, &other);
	raw_init(&raw_peer, &node, "b", RJ_PEER_VERSION);
	RUN_UNTIL(loop, closed(&node, RJ_PEER_CLOSE_NAME) == 1);
	g_assert_cmpuint(node.ups, ==, 1);
	rj_tcp_link_finish(&raw_peer.link);
	pair_finish(&node, &other);
}

/*
 * The queue to a peer that does not read must be bounded. The peer is paused
 * with its connection open, and the sender would grow until it is killed.
 */
static void test_slow_reader(void)
{
	struct rj_peer_message message = { .kind = RJ_PEER_FORWARD };
	struct node node;
	struct node other;
	struct raw_peer raw_peer;
	uint32_t sent;

	pair_init(&node, &other);
	raw_init(&raw_peer, &node, "c", RJ_PEER_VERSION);
	raw_authenticate(&raw_peer, &node);
	TALLOC_FREE(raw_peer.link.fd_event);
	message.u.forward.spec.body.data =
		talloc_zero_size(loop, RJ_BODY_MAX_BYTES);
	message.u.forward.spec.body.length = RJ_BODY_MAX_BYTES;
	for (sent = 0; sent < RJ_LINK_QUEUE_MAX_BYTES / RJ_BODY_MAX_BYTES;
	     sent++)
		node.peers.base.ops->send(&node.peers.base, "c", &message);
	RUN_UNTIL(loop, closed(&node, RJ_PEER_CLOSE_QUEUE_FULL) == 1);
	rj_tcp_link_finish(&raw_peer.link);
	pair_finish(&node, &other);
}

/* Connections that never authenticate keep a peer out until they time out. */
static void test_silent_connections_make_room(void)
{
	struct node node;
	struct node peer;
	struct rj_address address;
	int silent[80];

	node_init(&node, "a", KEY, 0);
	node_init(&peer, "b", KEY, 0);
	address = rj_tcp_peers_address(&node.peers);
	for (size_t i = 0; i < G_N_ELEMENTS(silent); i++)
		silent[i] = rj_tcp_connect(&address, NULL);
	node_connect(&peer, "a", &node);
	RUN_UNTIL(loop, node.ups == 1 && peer.ups == 1);
	g_assert_cmpuint(
		rj_tcp_peers_close_count(&node.peers, RJ_PEER_CLOSE_TIMEOUT),
		==, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(silent); i++)
		close(silent[i]);
	node_finish(&peer);
	node_finish(&node);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	loop = tevent_context_init(NULL);
	g_test_add_func("/tcp_peers/both_connect", test_both_connect);
	g_test_add_func("/tcp_peers/reconnects", test_reconnects);
	g_test_add_func("/tcp_peers/wrong_key", test_wrong_key);
	g_test_add_func("/tcp_peers/replayed", test_replayed_frame);
	g_test_add_func("/tcp_peers/malformed", test_malformed_message);
	g_test_add_func("/tcp_peers/oversized", test_oversized_frame);
	g_test_add_func("/tcp_peers/version", test_no_common_version);
	g_test_add_func("/tcp_peers/older", test_older_instance);
	g_test_add_func("/tcp_peers/newer", test_newer_instance);
	g_test_add_func("/tcp_peers/reflected", test_reflected_hello);
	g_test_add_func("/tcp_peers/silent", test_silent_connections_make_room);
	g_test_add_func("/tcp_peers/slow_reader", test_slow_reader);
	status = g_test_run();
	talloc_free(loop);
	return status;
}
