#include "radishjunction/tcp_peers.h"

#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "private/clock.h"
#include "private/list.h"
#include "private/peer_link.h"
#include "private/tcp_socket.h"

/* Limit of concurrent incoming connections that have not authenticated. */
#define UNAUTHENTICATED_MAX 64
/* Reconnect delays double from the minimum to the maximum. */
#define RETRY_DELAY_MIN_US (100 * RJ_US_PER_MS)
#define RETRY_DELAY_MAX_US (5 * RJ_US_PER_S)
/* Lets the side with the lower name connect first. */
#define HIGHER_NAME_DELAY_US (1 * RJ_US_PER_S)
/* Pause after accept failed for lack of a free file descriptor. */
#define ACCEPT_PAUSE_US (100 * RJ_US_PER_MS)

const char *const rj_peer_close_reason_string[RJ_PEER_CLOSE_COUNT] = {
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

/* A peer that is to be kept connected or has a connection. */
struct peer {
	struct rj_tcp_peers_state *state;
	char name[RJ_NAME_BYTES];
	struct rj_address address;
	bool keep_connected; /* requested by the core */
	uint32_t failures; /* since the last established link */
	struct peer_link *link; /* authenticated */
	struct peer_link *attempt; /* outgoing, not yet authenticated */
	struct tevent_timer *retry_timer;
};

/* A connection, authenticated or not. */
struct peer_link {
	struct rj_peer_link base; /* first member, always */
	struct rj_tcp_peers_state *state;
	struct rj_list node; /* in the state's links */
	struct peer *outgoing_peer; /* NULL if incoming */
};

struct rj_tcp_peers_state {
	struct rj_tcp_peers_options options;
	struct rj_address bound_address;
	int listener;
	struct tevent_fd *listener_event;
	struct tevent_timer *accept_pause;
	GHashTable *peers; /* name -> struct peer */
	struct rj_list links;
	uint32_t unauthenticated_incoming;
	uint64_t random;
	uint64_t closed[RJ_PEER_CLOSE_COUNT];
};

static void schedule_retry(struct peer *peer);

static struct peer *peer_find_or_create(struct rj_tcp_peers_state *state,
					const char *name)
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

/* Free a peer without a connection that is not to be kept connected. */
static void peer_release(struct peer *peer)
{
	if (peer->keep_connected || peer->link || peer->attempt)
		return;
	g_hash_table_remove(peer->state->peers, peer->name);
	talloc_free(peer);
}

/* Deliver an event of the link to peer `name`; `message` may be NULL. */
static void deliver(struct rj_tcp_peers_state *state, enum rj_event_kind kind,
		    const char *name, const struct rj_peer_message *message)
{
	struct rj_event event = { .kind = kind };

	rj_name_set(event.u.peer.name, name);
	event.u.peer.message = message;
	state->options.sink->deliver(state->options.sink, &event);
}

static void link_free(struct peer_link *link)
{
	struct rj_tcp_peers_state *state = link->state;

	if (!link->outgoing_peer && !link->base.authenticated)
		state->unauthenticated_incoming--;
	rj_list_remove(&link->node);
	rj_peer_link_finish(&link->base);
	talloc_free(link);
}

/*
 * Handle the end of a connection: count the reason, deliver RJ_EVENT_PEER_DOWN
 * for an established link, free the connection and, if the peer is to be kept
 * connected, schedule a reconnect.
 */
static void on_closed(struct rj_peer_link *base,
		      enum rj_peer_close_reason reason)
{
	struct peer_link *link = (struct peer_link *)base;
	const char *name = base->session.remote.name;
	struct rj_tcp_peers_state *state = link->state;
	struct peer *peer = link->outgoing_peer;

	state->closed[reason]++;
	if (base->authenticated)
		peer = g_hash_table_lookup(state->peers, name);
	if (peer && peer->attempt == link) {
		peer->attempt = NULL;
		peer->failures++;
	} else if (peer && peer->link == link) {
		peer->link = NULL;
		peer->failures = 1; /* delays the reconnect */
		deliver(state, RJ_EVENT_PEER_DOWN, name, NULL);
		/* The sink may have dropped it. */
		peer = g_hash_table_lookup(state->peers, name);
	} else {
		peer = NULL;
	}
	link_free(link);
	if (!peer)
		return;
	if (peer->keep_connected)
		schedule_retry(peer);
	peer_release(peer);
}

/* The name of the instance that opened the connection. */
static const char *initiator(const struct rj_peer_link *link)
{
	return link->expected_name ? link->session.local.name :
				     link->session.remote.name;
}

/*
 * Whether the newer of two authenticated links to one peer replaces the older.
 *
 * If both sides connect at once and each keeps the link that it opened, each
 * closes the link of the other and none remains. Therefore the link opened by
 * the lower name is kept, which both sides decide alike. If both links have the
 * same initiator, or the peer has restarted, the older link is dead.
 */
static bool newer_link_stays(const struct rj_peer_link *older,
			     const struct rj_peer_link *newer)
{
	const char *local = newer->session.local.name;
	const char *remote = newer->session.remote.name;
	const char *lower = strcmp(local, remote) < 0 ? local : remote;

	if (older->session.remote.incarnation !=
	    newer->session.remote.incarnation)
		return true;
	if (strcmp(initiator(older), initiator(newer)) == 0)
		return true;
	return strcmp(initiator(newer), lower) == 0;
}

/* Make an authenticated link the peer's link, unless the older one is kept. */
static void on_authenticated(struct rj_peer_link *base)
{
	struct peer_link *link = (struct peer_link *)base;
	struct rj_tcp_peers_state *state = link->state;
	const char *name = base->session.remote.name;
	struct peer *peer = peer_find_or_create(state, name);
	struct peer_link *older = peer->link;

	if (!link->outgoing_peer)
		state->unauthenticated_incoming--;
	if (peer->attempt == link)
		peer->attempt = NULL;
	if (older && !newer_link_stays(&older->base, base)) {
		rj_peer_link_close(base, RJ_PEER_CLOSE_REPLACED);
		return;
	}
	peer->link = link;
	peer->failures = 0;
	TALLOC_FREE(peer->retry_timer);
	if (older) {
		rj_peer_link_close(&older->base, RJ_PEER_CLOSE_REPLACED);
		deliver(state, RJ_EVENT_PEER_DOWN, name, NULL);
	}
	deliver(state, RJ_EVENT_PEER_UP, name, NULL);
}

/* Deliver a message of an authenticated link. */
static void on_message(struct rj_peer_link *base,
		       const struct rj_peer_message *message)
{
	struct peer_link *link = (struct peer_link *)base;

	deliver(link->state, RJ_EVENT_PEER_MESSAGE, base->session.remote.name,
		message);
}

static const struct rj_peer_link_ops link_ops = {
	.authenticated = on_authenticated,
	.message = on_message,
	.closed = on_closed,
};

/* Start the handshake on `fd`; `peer` is NULL for an incoming connection. */
static struct peer_link *link_new(struct rj_tcp_peers_state *state, int fd,
				  struct peer *peer)
{
	struct peer_link *link = talloc_zero(state, struct peer_link);

	assert(link);
	link->state = state;
	link->outgoing_peer = peer;
	rj_list_append(&state->links, &link->node);
	if (!peer)
		state->unauthenticated_incoming++;
	rj_peer_link_init(&link->base, link, &link_ops, &state->options, fd,
			  peer ? peer->name : NULL);
	return link;
}

/* Try to connect, unless the peer has connected in the meantime. */
static void on_retry(struct tevent_context *loop, struct tevent_timer *timer,
		     struct timeval now, void *private_data)
{
	struct peer *peer = private_data;
	struct rj_error err;
	int fd;

	peer->retry_timer = NULL;
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
 * Connect after a delay: none at first, then exponential backoff up to
 * RETRY_DELAY_MAX_US. Half of the delay is random, so that instances do not
 * reconnect simultaneously. The side with the higher name always waits
 * HIGHER_NAME_DELAY_US longer.
 */
static void schedule_retry(struct peer *peer)
{
	struct rj_tcp_peers_state *state = peer->state;
	uint64_t delay_us = 0;

	if (peer->link || peer->attempt)
		return;
	if (peer->failures) {
		delay_us = RETRY_DELAY_MIN_US;
		for (uint32_t i = 1;
		     i < peer->failures && delay_us < RETRY_DELAY_MAX_US; i++)
			delay_us *= 2;
		if (delay_us > RETRY_DELAY_MAX_US)
			delay_us = RETRY_DELAY_MAX_US;
		delay_us = delay_us / 2 +
			   rj_random64(&state->random) % (delay_us / 2);
	}
	if (strcmp(state->options.name, peer->name) > 0)
		delay_us += HIGHER_NAME_DELAY_US;
	talloc_free(peer->retry_timer);
	peer->retry_timer =
		tevent_add_timer(state->options.loop, peer,
				 rj_clock_timeval_in(delay_us), on_retry, peer);
	assert(peer->retry_timer);
}

/* See rj_peers_ops: keep a link to `name`; a new address is used from the next
 * connect on. */
static void peers_connect(struct rj_peers *base, const char *name,
			  const struct rj_address *address)
{
	struct rj_tcp_peers *peers = (struct rj_tcp_peers *)base;
	struct rj_tcp_peers_state *state = peers->state;
	struct peer *peer;
	bool moved;

	if (strcmp(name, state->options.name) == 0)
		return;
	peer = peer_find_or_create(state, name);
	moved = peer->address.port != address->port ||
		strcmp(peer->address.ip, address->ip) != 0;
	if (peer->keep_connected && !moved)
		return;
	peer->keep_connected = true;
	peer->address = *address;
	peer->failures = 0;
	schedule_retry(peer);
}

/* See rj_peers_ops: end the link and do not reconnect. */
static void peers_drop(struct rj_peers *base, const char *name)
{
	struct rj_tcp_peers *peers = (struct rj_tcp_peers *)base;
	struct peer *peer = g_hash_table_lookup(peers->state->peers, name);

	if (!peer)
		return;
	peer->keep_connected = false;
	TALLOC_FREE(peer->retry_timer);
	/* on_closed() is called later, so `peer` stays valid. */
	if (peer->link)
		rj_peer_link_close(&peer->link->base, RJ_PEER_CLOSE_DROPPED);
	if (peer->attempt)
		rj_peer_link_close(&peer->attempt->base, RJ_PEER_CLOSE_DROPPED);
	peer_release(peer);
}

/* See rj_peers_ops: queue a message; dropped if there is no link. */
static void peers_send(struct rj_peers *base, const char *name,
		       const struct rj_peer_message *message)
{
	struct rj_tcp_peers *peers = (struct rj_tcp_peers *)base;
	struct peer *peer = g_hash_table_lookup(peers->state->peers, name);

	if (peer && peer->link)
		rj_peer_link_send(&peer->link->base, message);
}

/* Flush the queue, as far as the socket accepts it, and free the link. */
static void finish_link(struct peer_link *link)
{
	if (link->base.authenticated)
		rj_tcp_link_flush(&link->base.tcp);
	link_free(link);
}

/* Close every link and the listener, without delivering events. */
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

/* Resume accepting connections. */
static void on_accept_pause(struct tevent_context *loop,
			    struct tevent_timer *timer, struct timeval now,
			    void *private_data)
{
	struct rj_tcp_peers_state *state = private_data;

	state->accept_pause = NULL;
	TEVENT_FD_READABLE(state->listener_event);
}

/*
 * Makes the oldest incoming connection that has not authenticated give way to a
 * new one; others would keep peers out by holding theirs open. Returns whether
 * there was one.
 */
static bool close_oldest_unauthenticated(struct rj_tcp_peers_state *state)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &state->links) {
		struct peer_link *link =
			RJ_CONTAINER(at, struct peer_link, node);

		if (link->outgoing_peer || link->base.authenticated ||
		    link->base.tcp.ended)
			continue;
		rj_tcp_link_close(&link->base.tcp, RJ_PEER_CLOSE_TOO_MANY);
		return true;
	}
	return false;
}

/*
 * Accept a connection.
 *
 * Without a free file descriptor accept fails and the listener stays readable:
 * the event loop would spin and starve all links, so accepting is paused.
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
	if (state->unauthenticated_incoming >= UNAUTHENTICATED_MAX &&
	    !close_oldest_unauthenticated(state)) {
		state->closed[RJ_PEER_CLOSE_TOO_MANY]++;
		close(fd);
		return;
	}
	link_new(state, fd, NULL);
}

/*
 * Start to listen for connections of other instances. The state is a talloc
 * child of `mem`.
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
	state->listener =
		rj_tcp_listen(&options->address, &state->bound_address, err);
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
 * The address on which this instance listens, with the assigned port.
 */
struct rj_address rj_tcp_peers_address(const struct rj_tcp_peers *peers)
{
	return peers->state->bound_address;
}

/*
 * The number of connections that ended or failed for `reason` since init.
 */
uint64_t rj_tcp_peers_close_count(const struct rj_tcp_peers *peers,
				  enum rj_peer_close_reason reason)
{
	assert(reason < RJ_PEER_CLOSE_COUNT);
	return peers->state->closed[reason];
}
