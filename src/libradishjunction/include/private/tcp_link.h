/*
 * A TCP connection that carries opaque frames, each prefixed with its length
 * as four bytes in network byte order.
 *
 * Life cycle: `rj_tcp_link_init` takes ownership of a connected or connecting
 * socket. `closed` is called exactly once, from the event loop and never from
 * within a call; the owner calls `rj_tcp_link_finish` there or later.
 */
#ifndef RADISHJUNCTION_PRIVATE_TCP_LINK_H
#define RADISHJUNCTION_PRIVATE_TCP_LINK_H

#include "radishjunction/tcp_peers.h"

/* Holds a body of RJ_BODY_MAX_BYTES or a configuration, with all fields. */
#define RJ_FRAME_MAX_BYTES (512 * 1024)
/* Several frames of the largest size; a link with a longer queue is closed. */
#define RJ_LINK_QUEUE_MAX_BYTES (4 * 1024 * 1024)

struct tevent_fd;
struct tevent_immediate;
struct rj_tcp_link;

struct rj_tcp_link_ops {
	void (*connected)(struct rj_tcp_link *link);
	/* `frame` is valid until the call returns. */
	void (*frame)(struct rj_tcp_link *link, struct rj_bytes frame);
	void (*closed)(struct rj_tcp_link *link,
		       enum rj_peer_close_reason reason);
};

struct rj_link_buffer {
	uint8_t *data;
	uint32_t start;
	uint32_t end;
	uint32_t capacity;
};

struct rj_tcp_link {
	const struct rj_tcp_link_ops *ops; /* first member, always */
	struct tevent_context *loop;
	struct tevent_fd *fd_event;
	struct tevent_immediate *closing;
	void *mem;
	int fd;
	bool connecting;
	bool ended;
	enum rj_peer_close_reason reason; /* valid once `ended` */
	uint32_t frame_max; /* bytes; peer links start with a lower one */
	struct rj_link_buffer in;
	struct rj_link_buffer out;
};

void rj_tcp_link_init(struct rj_tcp_link *link, void *mem,
		      const struct rj_tcp_link_ops *ops,
		      struct tevent_context *loop, int fd, bool connecting);
void rj_tcp_link_send(struct rj_tcp_link *link, const struct rj_bytes *parts,
		      uint32_t count);
void rj_tcp_link_close(struct rj_tcp_link *link,
		       enum rj_peer_close_reason reason);
void rj_tcp_link_flush(struct rj_tcp_link *link);
void rj_tcp_link_finish(struct rj_tcp_link *link);

#endif
