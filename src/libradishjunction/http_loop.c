#include "private/http_loop.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/clock.h"
#include "radishjunction/types.h"

static void run_daemon(struct rj_http_loop *loop);

static void kicked(struct tevent_context *ev, struct tevent_immediate *kick,
		   void *private_data)
{
	struct rj_http_loop *loop = private_data;

	loop->kicked = false;
	run_daemon(loop);
}

static void timer_due(struct tevent_context *ev, struct tevent_timer *timer,
		      struct timeval now, void *private_data)
{
	struct rj_http_loop *loop = private_data;

	loop->timer = NULL;
	run_daemon(loop);
}

/* A socket in the daemon's epoll set is ready. */
static void epoll_ready(struct tevent_context *ev, struct tevent_fd *fde,
			uint16_t flags, void *private_data)
{
	run_daemon(private_data);
}

/* Set the timer to the daemon's next timeout, unless it is set earlier. */
static void arm_timer(struct rj_http_loop *loop)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;
	uint64_t at_us;

	if (MHD_get_timeout(loop->daemon, &timeout_ms) != MHD_YES)
		return;
	if (!timeout_ms) {
		rj_http_loop_kick(loop);
		return;
	}
	at_us = rj_clock_now_us() + timeout_ms * RJ_US_PER_MS;
	if (loop->timer && loop->timer_at_us <= at_us)
		return;
	talloc_free(loop->timer);
	loop->timer_at_us = at_us;
	loop->timer =
		tevent_add_timer(loop->ev, loop->mem,
				 rj_clock_timeval_in(timeout_ms * RJ_US_PER_MS),
				 timer_due, loop);
	assert(loop->timer);
}

/* Run the daemon once without blocking and set the timer for its next run. */
static void run_daemon(struct rj_http_loop *loop)
{
	MHD_run(loop->daemon);
	arm_timer(loop);
}

/*
 * Start running `daemon` from `ev`. The events are talloc children of `mem`.
 */
void rj_http_loop_init(struct rj_http_loop *loop, void *mem,
		       struct tevent_context *ev, struct MHD_Daemon *daemon)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD);
	struct tevent_fd *fde;

	assert(info);
	memset(loop, 0, sizeof(*loop));
	loop->daemon = daemon;
	loop->ev = ev;
	loop->mem = talloc_named_const(mem, 0, "http loop");
	loop->kick = tevent_create_immediate(loop->mem);
	fde = tevent_add_fd(ev, loop->mem, info->epoll_fd, TEVENT_FD_READ,
			    epoll_ready, loop);
	assert(loop->mem && loop->kick && fde);
	(void)fde;
	arm_timer(loop);
}

/*
 * Run the daemon from the next iteration of the event loop.
 *
 * Guards against a resumed connection that is not served: a connection that is
 * resumed while the daemon runs is not in its epoll set, and the daemon
 * requests no timeout, so the client would wait until another connection has
 * traffic. The kick is separate from the timer, which may expire later.
 */
void rj_http_loop_kick(struct rj_http_loop *loop)
{
	if (loop->kicked)
		return;
	loop->kicked = true;
	tevent_schedule_immediate(loop->kick, loop->ev, kicked, loop);
}

/*
 * Stop running the daemon, which can then be stopped.
 */
void rj_http_loop_finish(struct rj_http_loop *loop)
{
	TALLOC_FREE(loop->mem);
}
