/*
 * The outside parties, each behind a vtable of its own: a new wire format
 * costs one file.
 *
 * An adapter is initialised on the caller's memory with an event loop and a
 * sink; calls never block; what becomes of each call arrives at the sink as
 * an event. Whatever a call points to is copied before it returns.
 */
#ifndef RADISHJUNCTION_ADAPTER_H
#define RADISHJUNCTION_ADAPTER_H

#include "radishjunction/action.h"
#include "radishjunction/event.h"

struct rj_platform;

struct rj_platform_ops {
	const char *name;
	/* Ends in RJ_EVENT_APPENDED. */
	void (*append)(struct rj_platform *platform,
		       const struct rj_append *append);
	/* Ends in RJ_EVENT_RECORDS or RJ_EVENT_READ_FAILED. */
	void (*read)(struct rj_platform *platform, const struct rj_read *read);
	/* Ends in RJ_EVENT_INSTANCES, or in nothing. */
	void (*list)(struct rj_platform *platform);
	void (*finish)(struct rj_platform *platform);
};

struct rj_platform {
	const struct rj_platform_ops *ops; /* first member, always */
};

struct rj_workers;

struct rj_workers_ops {
	const char *name;
	/* Ends in RJ_EVENT_WORKER_REPLY, with LOST after the timeout. */
	void (*call)(struct rj_workers *workers,
		     const struct rj_worker_call *call);
	void (*finish)(struct rj_workers *workers);
};

struct rj_workers {
	const struct rj_workers_ops *ops; /* first member, always */
};

struct rj_peers;

struct rj_peers_ops {
	const char *name;
	void (*connect)(struct rj_peers *peers, const char *name,
			const struct rj_address *address);
	void (*drop)(struct rj_peers *peers, const char *name);
	/* Lost without a link; a link that is full is closed. */
	void (*send)(struct rj_peers *peers, const char *name,
		     const struct rj_peer_message *message);
	void (*finish)(struct rj_peers *peers);
};

struct rj_peers {
	const struct rj_peers_ops *ops; /* first member, always */
};

struct rj_callers;

struct rj_callers_ops {
	const char *name;
	/* An answer to a request that is gone is dropped. */
	void (*answer)(struct rj_callers *callers, uint64_t request_id,
		       const struct rj_answer *answer);
	void (*finish)(struct rj_callers *callers);
};

struct rj_callers {
	const struct rj_callers_ops *ops; /* first member, always */
};

#endif
