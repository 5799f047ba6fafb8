/*
 * Worker adapter over HTTP and JSON (docs/WORKER-PROTOCOL.md), an
 * implementation of `struct rj_workers` in radishjunction/adapter.h.
 *
 * Life cycle: `rj_http_workers_init` on caller-provided memory, calls through
 * `base.ops`, and `base.ops->finish`, after which no more events are delivered.
 */
#ifndef RADISHJUNCTION_HTTP_WORKERS_H
#define RADISHJUNCTION_HTTP_WORKERS_H

#include <tevent.h>

#include "radishjunction/adapter.h"
#include "radishjunction/error.h"

/*
 * Connection pools by how long a call occupies its connection. A pool never
 * waits for another, so that calls that block cannot delay control calls.
 */
enum rj_worker_pool {
	RJ_WORKER_POOL_RUN, /* RUN, START with `wait`: until task completion */
	RJ_WORKER_POOL_CHECKPOINT, /* until the progress is saved */
	RJ_WORKER_POOL_CONTROL, /* all others: answered immediately */
	RJ_WORKER_POOL_COUNT
};

extern const char *const rj_worker_pool_string[RJ_WORKER_POOL_COUNT];

/* A worker has 8 slots; a call may wait for the task in each. */
#define RJ_WORKER_RUN_CONNECTIONS 8
#define RJ_WORKER_CHECKPOINT_CONNECTIONS 4
#define RJ_WORKER_CONTROL_CONNECTIONS 2
struct rj_http_client;

struct rj_http_workers {
	struct rj_workers base; /* first member, always */
	struct rj_sink *sink;
	uint32_t connections_max; /* to one worker, from the last call */
	/* Talloc children of init's mem. */
	struct rj_http_client *pools[RJ_WORKER_POOL_COUNT];
};

int rj_http_workers_init(struct rj_http_workers *workers, void *mem,
			 struct tevent_context *ev, struct rj_sink *sink,
			 const char *instance_name, struct rj_error *err);

#endif
