/*
 * The interface through which the simulation drives the decision core or its
 * reference implementation.
 *
 * Life cycle: `create` returns a talloc child of `mem`; `process` and `wake_us`
 * work as in core.h; freed with talloc. A killed instance is freed without a
 * stop event.
 */
#ifndef SUPPORT_ENGINE_H
#define SUPPORT_ENGINE_H

#include "radishjunction/core.h"

struct engine {
	const struct engine_ops *ops; /* must be the first member */
};

struct engine_ops {
	const char *name;
	struct engine *(*create)(void *mem,
				 const struct rj_core_options *options);
	void (*process)(struct engine *engine, const struct rj_event *event,
			struct rj_actions *actions);
	uint64_t (*wake_us)(const struct engine *engine);
};

extern const struct engine_ops engine_core;
extern const struct engine_ops engine_core_first_fit;
extern const struct engine_ops engine_reference;

#endif
