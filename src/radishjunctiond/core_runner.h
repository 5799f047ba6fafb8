/*
 * The shell around the decision core: events in from the adapters, actions
 * out to them. It decides nothing.
 *
 * Life cycle: `shell_init`, then the adapters with `&shell->sink` as their
 * sink, then `shell_start`; the event loop runs until `exiting`;
 * `shell_finish` before the adapters.
 */
#ifndef RADISHJUNCTIOND_SHELL_H
#define RADISHJUNCTIOND_SHELL_H

#include "radishjunction/adapter.h"
#include "radishjunction/core.h"
#include "radishjunction/http_callers.h"
#include "radishjunction/tcp_peers.h"

struct tevent_context;
struct tevent_fd;
struct shell_batch;

struct shell {
	struct rj_sink sink; /* first member, always */
	struct rj_caller_views views;
	struct tevent_context *loop;
	struct rj_core core;
	struct rj_platform *platform;
	struct rj_workers *workers;
	struct rj_peers *peers;
	struct rj_callers *callers;
	const struct rj_tcp_peers *links; /* for the metrics */
	struct shell_batch *first; /* actions to carry out, in order */
	struct shell_batch *last;
	struct shell_batch *spare;
	bool carrying_out;
	bool exiting; /* a stop was asked for, and nothing is open */
	int timer_fd;
	struct tevent_fd *timer_event;
	uint64_t armed_us;
};

int shell_init(struct shell *shell, struct tevent_context *loop,
	       const struct rj_core_options *options, struct rj_error *err);
void shell_start(struct shell *shell);
void shell_stop(struct shell *shell);
void shell_finish(struct shell *shell);

#endif
