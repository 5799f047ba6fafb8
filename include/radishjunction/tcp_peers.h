/*
 * Links to the other instances: msgpack in authenticated frames over TCP.
 *
 * Life cycle: `rj_tcp_peers_init` listens immediately; the core's actions
 * connect, send and drop; `base.ops->finish` closes every link. Each pair of
 * instances shares one link. Both sides prove the shared key over both nonces,
 * and each later frame carries a keyed MAC that covers its sequence number.
 * Delivers RJ_EVENT_PEER_UP, PEER_DOWN and PEER_MESSAGE; the sink sets their
 * `now_us`.
 */
#ifndef RADISHJUNCTION_TCP_PEERS_H
#define RADISHJUNCTION_TCP_PEERS_H

#include "radishjunction/adapter.h"
#include "radishjunction/error.h"

struct tevent_context;

/* Why a link ended; each reason has a counter. */
enum rj_peer_close_reason {
	RJ_PEER_CLOSE_END, /* the remote side closed the connection */
	RJ_PEER_CLOSE_IO, /* connect failed, or the connection broke */
	RJ_PEER_CLOSE_OVERSIZED, /* a frame above the size limit */
	RJ_PEER_CLOSE_MALFORMED,
	RJ_PEER_CLOSE_AUTHENTICATION, /* different key, or a replayed frame */
	RJ_PEER_CLOSE_VERSION, /* no common protocol version */
	RJ_PEER_CLOSE_NAME, /* not the peer expected at that address */
	RJ_PEER_CLOSE_TIMEOUT, /* handshake not completed in time */
	RJ_PEER_CLOSE_QUEUE_FULL, /* the remote side reads too slowly */
	RJ_PEER_CLOSE_REPLACED, /* by another link to the same peer */
	RJ_PEER_CLOSE_DROPPED, /* on request of the core */
	RJ_PEER_CLOSE_TOO_MANY, /* too many unauthenticated connections */
	RJ_PEER_CLOSE_COUNT
};

extern const char *const rj_peer_close_reason_string[RJ_PEER_CLOSE_COUNT];

struct rj_tcp_peers_options {
	struct tevent_context *loop;
	struct rj_sink *sink;
	char name[RJ_NAME_BYTES];
	char domain[RJ_NAME_BYTES];
	uint64_t incarnation;
	struct rj_address address; /* port 0: any free one */
	char key[RJ_TOKEN_BYTES]; /* shared by all instances */
	uint64_t seed; /* for the jitter of reconnect delays */
};

struct rj_tcp_peers_state;

struct rj_tcp_peers {
	struct rj_peers base; /* first member, always */
	struct rj_tcp_peers_state *state; /* talloc child of init's mem */
};

int rj_tcp_peers_init(struct rj_tcp_peers *peers, void *mem,
		      const struct rj_tcp_peers_options *options,
		      struct rj_error *err);
struct rj_address rj_tcp_peers_address(const struct rj_tcp_peers *peers);
uint64_t rj_tcp_peers_close_count(const struct rj_tcp_peers *peers,
				  enum rj_peer_close_reason reason);

#endif
