/*
 * The workers over HTTP and JSON (docs/WORKER-PROTOCOL.md), behind the
 * vtable of radishjunction/adapter.h.
 *
 * Life cycle: `rj_http_workers_init` on the caller's memory, calls through
 * `base.ops`, and `base.ops->finish`, after which no more events arrive.
 */
#ifndef RADISHJUNCTION_HTTP_WORKERS_H
#define RADISHJUNCTION_HTTP_WORKERS_H

#include <tevent.h>

#include "radishjunction/adapter.h"
#include "radishjunction/error.h"

/*
 * How a call uses a connection, and so from which pool it gets one. One pool
 * never waits for another, so that no call that must not wait is held up.
 */
enum rj_worker_pool {
	RJ_WORKER_POOL_RUN, /* RUN, START with wait: until a task's end */
	RJ_WORKER_POOL_CHECKPOINT, /* until the progress is saved */
	RJ_WORKER_POOL_CONTROL, /* all others: answered at once */
	RJ_WORKER_POOL_COUNT
};

extern const char *const rj_worker_pool_string[RJ_WORKER_POOL_COUNT];

/* A worker has 8 slots, and a task in each may be waited for. */
#define RJ_WORKER_RUN_CONNECTIONS 8
#define RJ_WORKER_CHECKPOINT_CONNECTIONS 4
#define RJ_WORKER_CONTROL_CONNECTIONS 2
struct rj_http_client;

struct rj_http_workers {
	struct rj_workers base; /* first member, always */
	struct rj_sink *sink;
	uint32_t connections_max; /* to one worker, by the last call */
	/* Talloc children of init's mem. */
	struct rj_http_client *pools[RJ_WORKER_POOL_COUNT];
};

int rj_http_workers_init(struct rj_http_workers *workers, void *mem,
			 struct tevent_context *ev, struct rj_sink *sink,
			 const char *instance_name, struct rj_error *err);

#endif
