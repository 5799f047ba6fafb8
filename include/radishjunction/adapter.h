/*
 * Interfaces to the external systems, one vtable each, so that a new wire
 * format is one new file.
 *
 * An adapter is initialised on the caller's memory with an event loop and an
 * event sink. Calls never block; the result of each call is delivered to the
 * sink as an event. Everything a call points to is copied before it returns.
 */
#ifndef RADISHJUNCTION_ADAPTER_H
#define RADISHJUNCTION_ADAPTER_H

#include "radishjunction/action.h"
#include "radishjunction/event.h"

struct rj_platform;

struct rj_platform_ops {
	const char *name;
	/* Results in RJ_EVENT_APPENDED. */
	void (*append)(struct rj_platform *platform,
		       const struct rj_append *append);
	/* Results in RJ_EVENT_RECORDS or RJ_EVENT_READ_FAILED. */
	void (*read)(struct rj_platform *platform, const struct rj_read *read);
	/* Results in RJ_EVENT_INSTANCES, or in no event. */
	void (*list)(struct rj_platform *platform);
	void (*finish)(struct rj_platform *platform);
};

struct rj_platform {
	const struct rj_platform_ops *ops; /* first member, always */
};

struct rj_workers;

struct rj_workers_ops {
	const char *name;
	/* Results in RJ_EVENT_WORKER_REPLY; RJ_REPLY_LOST on timeout. */
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
	/* Discards the message if there is no link; closes a link whose send
	   queue is full. */
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
	/* Ignored when the request is no longer open. */
	void (*answer)(struct rj_callers *callers, uint64_t request_id,
		       const struct rj_answer *answer);
	void (*finish)(struct rj_callers *callers);
};

struct rj_callers {
	const struct rj_callers_ops *ops; /* first member, always */
};

#endif
