/*
 * Runs a libmicrohttpd daemon in external epoll mode from a tevent loop.
 *
 * Life cycle: `rj_http_loop_init` with a started daemon; `rj_http_loop_kick`
 * each time a connection is resumed; `rj_http_loop_finish` before the daemon
 * is stopped. The owner counts each callback of the daemon in `progress`, and
 * may set `stalled`, which is called when the daemon asked to be run without a
 * pause for a second, and ends the connection that causes it.
 */
#ifndef RADISHJUNCTION_PRIVATE_HTTP_LOOP_H
#define RADISHJUNCTION_PRIVATE_HTTP_LOOP_H

#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

struct rj_http_loop {
	struct MHD_Daemon *daemon;
	struct tevent_context *ev;
	void *mem; /* parent of the loop's events */
	struct tevent_timer *timer; /* for the daemon's next timeout */
	uint64_t timer_at_us;
	struct tevent_immediate *kick; /* runs the daemon soon */
	bool kicked; /* `kick` is scheduled */
	struct tevent_fd *turn; /* runs the daemon after other descriptors */
	int turn_fd; /* always readable; valid if `turn` is set */
	uint32_t burst; /* runs in turn that precede other events */
	uint32_t idle_runs; /* without progress */
	uint64_t progress; /* counted by the owner */
	uint64_t progress_seen;
	uint64_t busy_since_us; /* 0: the daemon waits for events */
	void (*stalled)(void *private_data, uint64_t busy_since_us);
	void *private_data;
};

void rj_http_loop_init(struct rj_http_loop *loop, void *mem,
		       struct tevent_context *ev, struct MHD_Daemon *daemon);
void rj_http_loop_kick(struct rj_http_loop *loop);
void rj_http_loop_finish(struct rj_http_loop *loop);

#endif
