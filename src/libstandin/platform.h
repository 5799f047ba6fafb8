/*
 * Stand-in for the platform: an append-only log of streams with offsets and
 * limited retention, and an instance list that shows changes after a lag
 * (docs/PLATFORM-PROTOCOL.md).
 *
 * Life cycle: `rj_standin_platform_init` on the caller's memory serves until
 * `rj_standin_platform_finish`.
 */
#ifndef RADISHJUNCTION_STANDIN_PLATFORM_H
#define RADISHJUNCTION_STANDIN_PLATFORM_H

#include <glib.h>

#include "list_history.h"
#include "fault_injector.h"
#include "http_server.h"
#include "radishjunction/event.h"

struct rj_standin_platform_options {
	struct rj_address address;
	uint64_t retention_us;
	uint64_t list_lag_us;
	uint32_t append_rate; /* appends a second; 0: unlimited */
};

struct rj_standin_platform {
	struct rj_standin_platform_options options;
	void *mem;
	struct tevent_context *ev;
	struct rj_http_server server;
	struct rj_fault_injector fault_injector;
	GHashTable *streams; /* name -> struct rj_standin_stream */
	struct rj_list pending_reads; /* long polls that wait for an append */
	struct rj_instance *instances; /* as listed, talloc array */
	uint32_t instance_count;
	struct rj_standin_history history; /* of the list */
	uint64_t lose_answers; /* next appends to leave unanswered */
	uint64_t drop_appends; /* next appends to discard */
	uint64_t append_credit_us; /* token bucket of append_rate */
	uint64_t credited_at_us;
};

int rj_standin_platform_init(struct rj_standin_platform *platform, void *mem,
			     struct tevent_context *ev,
			     const struct rj_standin_platform_options *options,
			     struct rj_error *err);
void rj_standin_platform_finish(struct rj_standin_platform *platform);

#endif
