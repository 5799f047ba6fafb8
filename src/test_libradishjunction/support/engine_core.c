#include "support/engine.h"

#include <assert.h>
#include <talloc.h>

struct engine_of_core {
	struct engine base;
	struct rj_core core;
	struct rj_planner_first_fit planner;
};

static int release(struct engine_of_core *engine)
{
	rj_core_finish(&engine->core);
	engine->planner.base.ops->finish(&engine->planner.base);
	return 0;
}

static struct engine *create(void *mem, const struct rj_core_options *options)
{
	struct engine_of_core *engine = talloc_zero(mem, struct engine_of_core);
	struct rj_core_options whole = *options;
	struct rj_error err;
	int failed;

	assert(engine);
	engine->base.ops = &engine_core;
	failed = rj_planner_first_fit_init(&engine->planner, engine);
	assert(!failed);
	whole.planner = &engine->planner.base;
	failed = rj_core_init(&engine->core, engine, &whole, &err);
	assert(!failed);
	talloc_set_destructor(engine, release);
	return &engine->base;
}

static void process(struct engine *base, const struct rj_event *event,
		    struct rj_actions *actions)
{
	struct engine_of_core *engine = (struct engine_of_core *)base;

	rj_core_process(&engine->core, event, actions);
}

static uint64_t wake_us(const struct engine *base)
{
	const struct engine_of_core *engine =
		(const struct engine_of_core *)base;

	return rj_core_wake_us(&engine->core);
}

const struct engine_ops engine_core = {
	.name = "core",
	.create = create,
	.process = process,
	.wake_us = wake_us,
};
