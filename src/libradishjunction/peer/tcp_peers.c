#include "radishjunction/tcp_peers.h"

#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "private/clock.h"
#include "private/list.h"
#include "private/peer_session.h"
#include "private/tcp_link.h"
#include "private/tcp_socket.h"

/* Two round trips, also over a slow link between regions. */
#define HANDSHAKE_LIMIT_US (5 * RJ_US_PER_S)
/* Strangers hold at most so many connections at once. */
#define UNPROVEN_MAX 64
/* Reconnects back off from here to there, doubling. */
#define RETRY_FIRST_US (100 * RJ_US_PER_MS)
#define RETRY_MAX_US (5 * RJ_US_PER_S)
/* The side with the higher name first leaves it to the other to connect. */
#define HIGHER_NAME_WAIT_US (1 * RJ_US_PER_S)
/* Without a free descriptor an accept fails and would be tried at once. */
#define ACCEPT_PAUSE_US (100 * RJ_US_PER_MS)

const char *const rj_peer_close_string[RJ_PEER_CLOSE_COUNT] = {
	[RJ_PEER_CLOSE_END] = "end",
	[RJ_PEER_CLOSE_IO] = "io",
	[RJ_PEER_CLOSE_OVERSIZED] = "oversized",
	[RJ_PEER_CLOSE_MALFORMED] = "malformed",
	[RJ_PEER_CLOSE_AUTHENTICATION] = "authentication",
	[RJ_PEER_CLOSE_VERSION] = "version",
	[RJ_PEER_CLOSE_NAME] = "name",
	[RJ_PEER_CLOSE_TIMEOUT] = "timeout",
	[RJ_PEER_CLOSE_QUEUE_FULL] = "queue_full",
	[RJ_PEER_CLOSE_REPLACED] = "replaced",
	[RJ_PEER_CLOSE_DROPPED] = "dropped",
	[RJ_PEER_CLOSE_TOO_MANY] = "too_many",
};

struct peer_link;

/* An instance that is wanted or linked. */
struct peer {
	struct rj_tcp_peers_state *state;
	char name[RJ_NAME_BYTES];
	struct rj_address address;
	bool wanted; /* keep a link */
	uint32_t failures; /* since a link last stood */
	struct peer_link *link; /* proven */
	struct peer_link *attempt; /* going out, not yet proven */
	struct tevent_timer *retry;
};

/* A connection, proven or not. */
struct peer_link {
	struct rj_tcp_link tcp; /* first member, always */
	struct rj_tcp_peers_state *state;
	struct rj_list node; /* in the state's links */
	struct peer *attempt_of; /* of a connection that went out */
	struct rj_peer_session session;
	bool outgoing;
	bool hello_taken;
	bool proven;
	struct tevent_timer *deadline;
};

struct rj_tcp_peers_state {
	struct rj_tcp_peers_options options;
	struct rj_address bound;
	int listener;
	struct tevent_fd *listener_event;
	struct tevent_timer *accept_pause;
	GHashTable *peers; /* name -> struct peer */
	struct rj_list links;
	uint32_t unproven_incoming;
	uint64_t random;
	uint64_t closed[RJ_PEER_CLOSE_COUNT];
};

static void schedule_retry(struct peer *peer);

/* The entry of `name`, made if there is none. */
static struct peer *peer_get(struct rj_tcp_peers_state *state, const char *name)
{
	struct peer *peer = g_hash_table_lookup(state->peers, name);

	if (peer)
		return peer;
	peer = talloc_zero(state, struct peer);
	assert(peer);
	peer->state = state;
	rj_name_set(peer->name, name);
	g_hash_table_insert(state->peers, peer->name, peer);
	return peer;
}

/* Forget a peer that nobody wants and that has no connection. */
static void peer_release(struct peer *peer)
{
	if (peer->wanted || peer->link || peer->attempt)
		return;
	g_hash_table_remove(peer->state->peers, peer->name);
	talloc_free(peer);
}

/* Tell the sink that a link stands, ended or brought a message. */
static void deliver(struct rj_tcp_peers_state *state, enum rj_event_kind kind,
		    const char *name, const struct rj_peer_message *message)
{
	struct rj_event event = { .kind = kind };

	rj_name_set(event.u.peer.name, name);
	event.u.peer.message = message;
	state->options.sink->deliver(state->options.sink, &event);
}

/* Free a link and its socket. */
static void link_free(struct peer_link *link)
{
	struct rj_tcp_peers_state *state = link->state;

	if (!link->outgoing && !link->proven)
		state->unproven_incoming--;
	rj_list_remove(&link->node);
	rj_tcp_link_finish(&link->tcp);
	talloc_free(link);
}

/* The connection has ended: tell, count and, if it is wanted, come back. */
static void on_closed(struct rj_tcp_link *tcp, enum rj_peer_close reason)
{
	struct peer_link *link = (struct peer_link *)tcp;
	struct rj_tcp_peers_state *state = link->state;
	struct peer *peer = link->attempt_of;

	state->closed[reason]++;
	if (link->proven)
		peer = g_hash_table_lookup(state->peers,
					   link->session.other.name);
	if (peer && peer->attempt == link) {
		peer->attempt = NULL;
		peer->failures++;
	} else if (peer && peer->link == link) {
		peer->link = NULL;
		peer->failures = 1;
		deliver(state, RJ_EVENT_PEER_DOWN, link->session.other.name,
			NULL);
		/* The sink may have dropped it. */
		peer = g_hash_table_lookup(state->peers,
					   link->session.other.name);
	} else {
		peer = NULL;
	}
	link_free(link);
	if (!peer)
		return;
	if (peer->wanted)
		schedule_retry(peer);
	peer_release(peer);
}

/* The instance that made the connection. */
static const char *initiator(const struct peer_link *link)
{
	return link->outgoing ? link->session.own.name :
				link->session.other.name;
}

/*
 * Which of two proven links to one peer stays.
 *
 * Both sides connect at once, and if each kept its own both links would be
 * closed. The link that the lower name made stays, which both sides see
 * alike. Of two by one maker, or after a restart, the older one is dead.
 */
static bool newer_stays(const struct peer_link *older,
			const struct peer_link *newer)
{
	const char *own = newer->session.own.name;
	const char *other = newer->session.other.name;
	const char *lower = strcmp(own, other) < 0 ? own : other;

	if (older->session.other.incarnation !=
	    newer->session.other.incarnation)
		return true;
	if (strcmp(initiator(older), initiator(newer)) == 0)
		return true;
	return strcmp(initiator(newer), lower) == 0;
}

/* The other side has proven the key: the link may stand. */
static void on_proven(struct peer_link *link)
{
	struct rj_tcp_peers_state *state = link->state;
	struct peer *peer = peer_get(state, link->session.other.name);
	struct peer_link *older = peer->link;

	TALLOC_FREE(link->deadline);
	if (!link->outgoing)
		state->unproven_incoming--;
	link->proven = true;
	link->tcp.frame_max = RJ_FRAME_MAX_BYTES;
	if (peer->attempt == link)
		peer->attempt = NULL;
	if (older && !newer_stays(older, link)) {
		rj_tcp_link_close(&link->tcp, RJ_PEER_CLOSE_REPLACED);
		return;
	}
	peer->link = link;
	peer->failures = 0;
	TALLOC_FREE(peer->retry);
	if (older) {
		rj_tcp_link_close(&older->tcp, RJ_PEER_CLOSE_REPLACED);
		deliver(state, RJ_EVENT_PEER_DOWN, link->session.other.name,
			NULL);
	}
	deliver(state, RJ_EVENT_PEER_UP, link->session.other.name, NULL);
}

/* Seal and queue one frame. */
static void send_sealed(struct peer_link *link, struct rj_bytes body)
{
	uint8_t mac[RJ_PEER_MAC_BYTES];
	struct rj_bytes parts[2] = { { mac, sizeof(mac) }, body };

	rj_peer_session_seal(&link->session, mac, body);
	rj_tcp_link_send(&link->tcp, parts, 2);
}

/* The reason to close after a bad frame. */
static enum rj_peer_close close_reason(const struct rj_error *err)
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

/* The first frame: learn who it is and prove the key. */
static int take_hello(struct peer_link *link, struct rj_bytes frame,
		      struct rj_error *err)
{
	static const struct rj_bytes nothing = { NULL, 0 };
	const struct rj_peer_hello *other = &link->session.other;

	if (rj_peer_session_take_hello(&link->session, frame, err))
		return -1;
	if (link->outgoing && strcmp(other->name, link->attempt_of->name) != 0)
		return rj_error_set(err, RJ_ERR_CONFLICT,
				    "hello: %s answers at the address of %s; "
				    "correct the peers of the settings",
				    other->name, link->attempt_of->name);
	link->hello_taken = true;
	send_sealed(link, nothing);
	return 0;
}

/* A later frame: check it and hand its message to the sink. */
static int take_sealed(struct peer_link *link, struct rj_bytes frame,
		       struct rj_error *err)
{
	struct rj_peer_message message;
	struct rj_bytes body;
	void *mem;

	if (rj_peer_session_open(&link->session, frame, &body, err))
		return -1;
	if (!link->proven) {
		on_proven(link);
		return 0;
	}
	mem = talloc_new(link->state);
	if (rj_peer_decode(mem, body, &message, err)) {
		talloc_free(mem);
		return -1;
	}
	deliver(link->state, RJ_EVENT_PEER_MESSAGE, link->session.other.name,
		&message);
	talloc_free(mem);
	return 0;
}

/*
 * A frame has come. A bad one closes its link and nothing else: what one
 * peer sends wrongly must not cut this instance off from the others.
 */
static void on_frame(struct rj_tcp_link *tcp, struct rj_bytes frame)
{
	struct peer_link *link = (struct peer_link *)tcp;
	struct rj_error err;
	int failed;

	if (!link->hello_taken)
		failed = take_hello(link, frame, &err);
	else
		failed = take_sealed(link, frame, &err);
	if (!failed)
		return;
	g_info("peer link closed: %s", err.message);
	rj_tcp_link_close(tcp, close_reason(&err));
}

/* The connection stands: introduce this instance. */
static void on_connected(struct rj_tcp_link *tcp)
{
	struct peer_link *link = (struct peer_link *)tcp;
	struct rj_bytes hello = { link->session.own_bytes,
				  link->session.own_length };

	rj_tcp_link_send(tcp, &hello, 1);
}

static const struct rj_tcp_link_ops link_ops = {
	.connected = on_connected,
	.frame = on_frame,
	.closed = on_closed,
};

/* The other side did not prove itself in time. */
static void on_deadline(struct tevent_context *loop, struct tevent_timer *timer,
			struct timeval now, void *private_data)
{
	struct peer_link *link = private_data;

	link->deadline = NULL;
	rj_tcp_link_close(&link->tcp, RJ_PEER_CLOSE_TIMEOUT);
}

/* Start the handshake over `fd`; `peer` is who it goes out to, or NULL. */
static struct peer_link *link_new(struct rj_tcp_peers_state *state, int fd,
				  struct peer *peer)
{
	const struct rj_tcp_peers_options *options = &state->options;
	struct peer_link *link = talloc_zero(state, struct peer_link);
	struct rj_peer_hello hello = {
		.version = RJ_PEER_VERSION,
		.version_min = RJ_PEER_VERSION,
		.incarnation = options->incarnation,
	};

	assert(link);
	rj_name_set(hello.name, options->name);
	rj_name_set(hello.domain, options->domain);
	randombytes_buf(hello.nonce, sizeof(hello.nonce));
	link->state = state;
	link->attempt_of = peer;
	link->outgoing = peer != NULL;
	rj_peer_session_init(&link->session, options->key, &hello);
	rj_tcp_link_init(&link->tcp, link, &link_ops, options->loop, fd,
			 link->outgoing);
	link->tcp.frame_max = RJ_PEER_HELLO_MAX_BYTES;
	link->deadline = tevent_add_timer(
		options->loop, link, rj_clock_timeval_in(HANDSHAKE_LIMIT_US),
		on_deadline, link);
	assert(link->deadline);
	rj_list_append(&state->links, &link->node);
	if (!link->outgoing) {
		state->unproven_incoming++;
		on_connected(&link->tcp);
	}
	return link;
}

/* Try to connect, unless a link has come in meanwhile. */
static void on_retry(struct tevent_context *loop, struct tevent_timer *timer,
		     struct timeval now, void *private_data)
{
	struct peer *peer = private_data;
	struct rj_error err;
	int fd;

	peer->retry = NULL;
	if (peer->link || peer->attempt)
		return;
	fd = rj_tcp_connect(&peer->address, &err);
	if (fd >= 0) {
		peer->attempt = link_new(peer->state, fd, peer);
		return;
	}
	g_info("peer %s: %s", peer->name, err.message);
	peer->state->closed[RJ_PEER_CLOSE_IO]++;
	peer->failures++;
	schedule_retry(peer);
}

/*
 * Connect after a delay: none at first, then doubling up to a bound, with
 * half of it left to chance so that instances do not come back together.
 */
static void schedule_retry(struct peer *peer)
{
	struct rj_tcp_peers_state *state = peer->state;
	uint64_t delay_us = 0;

	if (peer->link || peer->attempt)
		return;
	if (peer->failures) {
		delay_us = RETRY_FIRST_US;
		for (uint32_t i = 1;
		     i < peer->failures && delay_us < RETRY_MAX_US; i++)
			delay_us *= 2;
		if (delay_us > RETRY_MAX_US)
			delay_us = RETRY_MAX_US;
		delay_us = delay_us / 2 +
			   rj_random64(&state->random) % (delay_us / 2);
	}
	if (strcmp(state->options.name, peer->name) > 0)
		delay_us += HIGHER_NAME_WAIT_US;
	talloc_free(peer->retry);
	peer->retry =
		tevent_add_timer(state->options.loop, peer,
				 rj_clock_timeval_in(delay_us), on_retry, peer);
	assert(peer->retry);
}

/* See rj_peers_ops: keep a link to `name`, at the newest address given. */
static void peers_connect(struct rj_peers *base, const char *name,
			  const struct rj_address *address)
{
	struct rj_tcp_peers *peers = (struct rj_tcp_peers *)base;
	struct rj_tcp_peers_state *state = peers->state;
	struct peer *peer;
	bool moved;

	if (strcmp(name, state->options.name) == 0)
		return;
	peer = peer_get(state, name);
	moved = peer->address.port != address->port ||
		strcmp(peer->address.ip, address->ip) != 0;
	if (peer->wanted && !moved)
		return;
	peer->wanted = true;
	peer->address = *address;
	peer->failures = 0;
	schedule_retry(peer);
}

/* See rj_peers_ops: end the link and do not come back. */
static void peers_drop(struct rj_peers *base, const char *name)
{
	struct rj_tcp_peers *peers = (struct rj_tcp_peers *)base;
	struct peer *peer = g_hash_table_lookup(peers->state->peers, name);

	if (!peer)
		return;
	peer->wanted = false;
	TALLOC_FREE(peer->retry);
	if (peer->link)
		rj_tcp_link_close(&peer->link->tcp, RJ_PEER_CLOSE_DROPPED);
	if (peer->attempt)
		rj_tcp_link_close(&peer->attempt->tcp, RJ_PEER_CLOSE_DROPPED);
	peer_release(peer);
}

/* See rj_peers_ops: queue a message on the link, if one stands. */
static void peers_send(struct rj_peers *base, const char *name,
		       const struct rj_peer_message *message)
{
	struct rj_tcp_peers *peers = (struct rj_tcp_peers *)base;
	struct peer *peer = g_hash_table_lookup(peers->state->peers, name);
	struct rj_bytes body;

	if (!peer || !peer->link || peer->link->tcp.ended)
		return;
	body = rj_peer_encode(peers->state, message);
	send_sealed(peer->link, body);
	talloc_free((void *)body.data);
}

/* Send what is still queued, as far as the socket takes it, and close. */
static void finish_link(struct peer_link *link)
{
	if (link->proven)
		rj_tcp_link_flush(&link->tcp);
	link_free(link);
}

/* Close every link and the listener, without events. */
static void peers_finish(struct rj_peers *base)
{
	struct rj_tcp_peers *peers = (struct rj_tcp_peers *)base;
	struct rj_tcp_peers_state *state = peers->state;
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &state->links)
		finish_link(RJ_CONTAINER(at, struct peer_link, node));
	TALLOC_FREE(state->listener_event);
	close(state->listener);
	g_hash_table_destroy(state->peers);
	TALLOC_FREE(peers->state);
}

static const struct rj_peers_ops tcp_peers_ops = {
	.name = "tcp",
	.connect = peers_connect,
	.drop = peers_drop,
	.send = peers_send,
	.finish = peers_finish,
};

/* Accept again after a pause. */
static void on_accept_pause(struct tevent_context *loop,
			    struct tevent_timer *timer, struct timeval now,
			    void *private_data)
{
	struct rj_tcp_peers_state *state = private_data;

	state->accept_pause = NULL;
	TEVENT_FD_READABLE(state->listener_event);
}

/*
 * Connections wait to be accepted.
 *
 * Without a free descriptor accept fails and the listener stays readable:
 * the loop would spin on it and starve all links, so it pauses.
 */
static void on_listener(struct tevent_context *loop, struct tevent_fd *event,
			uint16_t flags, void *private_data)
{
	struct rj_tcp_peers_state *state = private_data;
	int fd = rj_tcp_accept(state->listener);

	if (fd < 0 && (errno == EMFILE || errno == ENFILE)) {
		TEVENT_FD_NOT_READABLE(state->listener_event);
		state->accept_pause = tevent_add_timer(
			loop, state, rj_clock_timeval_in(ACCEPT_PAUSE_US),
			on_accept_pause, state);
		return;
	}
	if (fd < 0)
		return;
	if (state->unproven_incoming >= UNPROVEN_MAX) {
		state->closed[RJ_PEER_CLOSE_TOO_MANY]++;
		close(fd);
		return;
	}
	link_new(state, fd, NULL);
}

/*
 * Listen for other instances. The state is a talloc child of `mem`.
 *
 * Returns 0, or -1 with `err` of kind RJ_ERR_INVALID (the address) or
 * RJ_ERR_IO (the port is taken).
 */
int rj_tcp_peers_init(struct rj_tcp_peers *peers, void *mem,
		      const struct rj_tcp_peers_options *options,
		      struct rj_error *err)
{
	struct rj_tcp_peers_state *state;

	state = talloc_zero(mem, struct rj_tcp_peers_state);
	assert(state);
	state->options = *options;
	state->random = options->seed;
	rj_list_init(&state->links);
	state->listener = rj_tcp_listen(&options->address, &state->bound, err);
	if (state->listener < 0) {
		talloc_free(state);
		return -1;
	}
	state->peers = g_hash_table_new(g_str_hash, g_str_equal);
	state->listener_event =
		tevent_add_fd(options->loop, state, state->listener,
			      TEVENT_FD_READ, on_listener, state);
	assert(state->listener_event);
	peers->base.ops = &tcp_peers_ops;
	peers->state = state;
	return 0;
}

/*
 * Where this instance listens, with the port that it was given.
 */
struct rj_address rj_tcp_peers_address(const struct rj_tcp_peers *peers)
{
	return peers->state->bound;
}

/*
 * How many links ended for `reason` since the start.
 */
uint64_t rj_tcp_peers_closed(const struct rj_tcp_peers *peers,
			     enum rj_peer_close reason)
{
	assert(reason < RJ_PEER_CLOSE_COUNT);
	return peers->state->closed[reason];
}
