/*
 * Platform adapter over HTTP and JSON (docs/PLATFORM-PROTOCOL.md), an
 * implementation of `struct rj_platform` in radishjunction/adapter.h.
 *
 * Life cycle: `rj_http_platform_init` on caller-provided memory, calls through
 * `base.ops`, and `base.ops->finish`, after which no more events are delivered.
 */
#ifndef RADISHJUNCTION_HTTP_PLATFORM_H
#define RADISHJUNCTION_HTTP_PLATFORM_H

#include <tevent.h>

#include "radishjunction/adapter.h"
#include "radishjunction/error.h"
#include "radishjunction/instance_list.h"

struct rj_http_client;

struct rj_http_platform {
	struct rj_platform base; /* first member, always */
	struct rj_sink *sink;
	struct rj_http_client *client; /* talloc child of init's mem */
	struct rj_address address;
	struct rj_instance_list list; /* as last delivered */
	/* Records to request per read; reduced after a page was too long. */
	uint32_t read_max[RJ_STREAM_COUNT];
};

int rj_http_platform_init(struct rj_http_platform *platform, void *mem,
			  struct tevent_context *ev, struct rj_sink *sink,
			  const struct rj_address *address,
			  const char *instance_name, struct rj_error *err);

#endif
