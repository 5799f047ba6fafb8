/*
 * Drives the decision core: passes events from the adapters to the core and
 * executes the resulting actions. Contains no scheduling decisions.
 *
 * Life cycle: `core_runner_init`, then the adapters with `&runner->sink` as
 * their sink, then `core_runner_start`; the event loop runs until `exiting`;
 * `core_runner_finish` after the adapters have finished.
 */
#ifndef RADISHJUNCTIOND_CORE_RUNNER_H
#define RADISHJUNCTIOND_CORE_RUNNER_H

#include "radishjunction/adapter.h"
#include "radishjunction/core.h"
#include "radishjunction/http_callers.h"
#include "radishjunction/tcp_peers.h"

struct tevent_context;
struct tevent_fd;
struct action_batch;

struct core_runner {
	struct rj_sink sink; /* must be the first member */
	struct rj_caller_views views;
	struct tevent_context *loop;
	struct rj_core core;
	struct rj_platform *platform;
	struct rj_workers *workers;
	struct rj_peers *peers;
	struct rj_callers *callers;
	const struct rj_tcp_peers *tcp_peers; /* for metrics */
	struct action_batch *first; /* actions to execute, in order */
	struct action_batch *last;
	struct action_batch *free_batches;
	bool executing;
	bool exiting; /* stop requested and nothing open */
	int timer_fd;
	struct tevent_fd *timer_event;
	uint64_t armed_us; /* expiry of the timer, or RJ_NEVER_US */
};

int core_runner_init(struct core_runner *runner, struct tevent_context *loop,
		     const struct rj_core_options *options,
		     struct rj_error *err);
void core_runner_start(struct core_runner *runner);
void core_runner_stop(struct core_runner *runner);
void core_runner_finish(struct core_runner *runner);

#endif
