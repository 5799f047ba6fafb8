/*
 * An authenticated link between two instances: handshake, then messages.
 *
 * Life cycle: `rj_peer_link_init` takes ownership of a connected or connecting
 * socket. `authenticated` is called once the remote side has proven that it
 * holds the shared key, then `message` for each of its messages. `closed` is
 * called exactly once, from the event loop and never from within a call; the
 * owner calls `rj_peer_link_finish` there or later.
 */
#ifndef RADISHJUNCTION_PRIVATE_PEER_LINK_H
#define RADISHJUNCTION_PRIVATE_PEER_LINK_H

#include "private/peer_session.h"
#include "private/tcp_link.h"

struct tevent_timer;
struct rj_peer_link;

struct rj_peer_link_ops {
	void (*authenticated)(struct rj_peer_link *link);
	/* `message` is valid until the call returns. */
	void (*message)(struct rj_peer_link *link,
			const struct rj_peer_message *message);
	void (*closed)(struct rj_peer_link *link,
		       enum rj_peer_close_reason reason);
};

struct rj_peer_link {
	struct rj_tcp_link tcp; /* first member, cast to the link */
	const struct rj_peer_link_ops *ops;
	struct rj_peer_session session;
	const char *expected_name; /* remote instance; NULL if incoming */
	bool hello_received;
	bool authenticated;
	struct tevent_timer *handshake_timer;
};

void rj_peer_link_init(struct rj_peer_link *link, void *mem,
		       const struct rj_peer_link_ops *ops,
		       const struct rj_tcp_peers_options *options, int fd,
		       const char *expected_name);
void rj_peer_link_send(struct rj_peer_link *link,
		       const struct rj_peer_message *message);
void rj_peer_link_close(struct rj_peer_link *link,
			enum rj_peer_close_reason reason);
void rj_peer_link_finish(struct rj_peer_link *link);

#endif
