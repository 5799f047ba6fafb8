#include "support/engine.h"

#include <assert.h>
#include <talloc.h>

#include "radishjunction/planner_topology.h"

struct core_engine {
	struct engine base;
	struct rj_core core;
	struct rj_planner *planner;
	struct rj_planner_topology topology;
	struct rj_planner_first_fit first_fit;
};

static int release(struct core_engine *engine)
{
	rj_core_finish(&engine->core);
	engine->planner->ops->finish(engine->planner);
	return 0;
}

/* Initialises the core with the planner that `engine` already has. */
static struct engine *start(struct core_engine *engine,
			    const struct rj_core_options *options)
{
	struct rj_core_options whole = *options;
	struct rj_error err;
	int failed;

	whole.planner = engine->planner;
	failed = rj_core_init(&engine->core, engine, &whole, &err);
	assert(!failed);
	talloc_set_destructor(engine, release);
	return &engine->base;
}

static struct engine *create(void *mem, const struct rj_core_options *options)
{
	struct core_engine *engine = talloc_zero(mem, struct core_engine);
	int failed;

	assert(engine);
	engine->base.ops = &engine_core;
	failed = rj_planner_topology_init(&engine->topology, engine);
	assert(!failed);
	engine->planner = &engine->topology.base;
	return start(engine, options);
}

static struct engine *create_first_fit(void *mem,
				       const struct rj_core_options *options)
{
	struct core_engine *engine = talloc_zero(mem, struct core_engine);
	int failed;

	assert(engine);
	engine->base.ops = &engine_core_first_fit;
	failed = rj_planner_first_fit_init(&engine->first_fit, engine);
	assert(!failed);
	engine->planner = &engine->first_fit.base;
	return start(engine, options);
}

static void process(struct engine *base, const struct rj_event *event,
		    struct rj_actions *actions)
{
	struct core_engine *engine = (struct core_engine *)base;

	rj_core_process(&engine->core, event, actions);
}

static uint64_t wake_us(const struct engine *base)
{
	const struct core_engine *engine = (const struct core_engine *)base;

	return rj_core_wake_us(&engine->core);
}

const struct engine_ops engine_core = {
	.name = "core",
	.create = create,
	.process = process,
	.wake_us = wake_us,
};

const struct engine_ops engine_core_first_fit = {
	.name = "first_fit",
	.create = create_first_fit,
	.process = process,
	.wake_us = wake_us,
};
