#include "private/http_loop.h"

#include <assert.h>
#include <string.h>
#include <sys/eventfd.h>
#include <talloc.h>
#include <unistd.h>

#include "private/clock.h"
#include "radishjunction/types.h"

/* The daemon runs so often in turn, before other events are served. */
#define BURST_RUNS 8
/* After so many runs without progress the daemon is run at intervals. */
#define IDLE_RUNS 64
#define IDLE_INTERVAL_US (5 * RJ_US_PER_MS)
/* The daemon has stalled if it asked to be run all the time for this long. */
#define STALL_US RJ_US_PER_S

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

/* Set the timer, unless it is set earlier. */
static void set_timer(struct rj_http_loop *loop, uint64_t in_us)
{
	uint64_t at_us = rj_clock_now_us() + in_us;

	if (loop->timer && loop->timer_at_us <= at_us)
		return;
	talloc_free(loop->timer);
	loop->timer_at_us = at_us;
	loop->timer =
		tevent_add_timer(loop->ev, loop->mem,
				 rj_clock_timeval_in(in_us), timer_due, loop);
	assert(loop->timer);
}

/* It is this daemon's turn among all descriptors that are ready. */
static void turn_due(struct tevent_context *ev, struct tevent_fd *fde,
		     uint16_t flags, void *private_data)
{
	TEVENT_FD_NOT_READABLE(fde);
	run_daemon(private_data);
}

/*
 * Run the daemon after the descriptors that are ready now. An immediate event
 * would precede them, so that a daemon that always has work would be the only
 * one that is served.
 */
static void run_in_turn(struct rj_http_loop *loop)
{
	if (!loop->turn) {
		loop->turn_fd = eventfd(1, EFD_CLOEXEC | EFD_NONBLOCK);
		if (loop->turn_fd < 0) {
			set_timer(loop, RJ_US_PER_MS);
			return;
		}
		loop->turn = tevent_add_fd(loop->ev, loop->mem, loop->turn_fd,
					   0, turn_due, loop);
		assert(loop->turn);
	}
	TEVENT_FD_READABLE(loop->turn);
}

/* The daemon asks to be run again at once. */
static void run_again(struct rj_http_loop *loop)
{
	uint64_t now_us = rj_clock_now_us();

	if (!loop->busy_since_us)
		loop->busy_since_us = now_us;
	if (loop->stalled && now_us - loop->busy_since_us >= STALL_US) {
		loop->stalled(loop->private_data, loop->busy_since_us);
		loop->busy_since_us = now_us;
	}
	if (loop->progress != loop->progress_seen) {
		loop->progress_seen = loop->progress;
		loop->idle_runs = 0;
	}
	loop->idle_runs++;
	if (loop->idle_runs > IDLE_RUNS)
		set_timer(loop, IDLE_INTERVAL_US);
	else if (++loop->burst <= BURST_RUNS)
		rj_http_loop_kick(loop);
	else
		run_in_turn(loop);
}

/* Plan the daemon's next run, unless it is planned earlier. */
static void plan_run(struct rj_http_loop *loop)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;
	bool has_timeout =
		MHD_get_timeout(loop->daemon, &timeout_ms) == MHD_YES;

	if (has_timeout && !timeout_ms) {
		run_again(loop);
		return;
	}
	loop->busy_since_us = 0;
	loop->burst = 0;
	loop->idle_runs = 0;
	if (has_timeout)
		set_timer(loop, timeout_ms * RJ_US_PER_MS);
}

/* Run the daemon once without blocking and set the timer for its next run. */
static void run_daemon(struct rj_http_loop *loop)
{
	MHD_run(loop->daemon);
	plan_run(loop);
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
	plan_run(loop);
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
	bool has_turn = loop->turn;

	TALLOC_FREE(loop->mem);
	if (has_turn)
		close(loop->turn_fd);
}
