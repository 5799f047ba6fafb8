#include "support/engine.h"

#include <assert.h>
#include <talloc.h>

#include "naive/reference_core.h"

struct engine_of_naive {
	struct engine base;
	struct naive_core *core;
};

static struct engine *create(void *mem, const struct rj_core_options *options)
{
	struct engine_of_naive *engine =
		talloc_zero(mem, struct engine_of_naive);

	assert(engine);
	engine->base.ops = &engine_naive;
	engine->core = naive_core_create(engine, options);
	return &engine->base;
}

static void process(struct engine *base, const struct rj_event *event,
		    struct rj_actions *actions)
{
	struct engine_of_naive *engine = (struct engine_of_naive *)base;

	naive_core_process(engine->core, event, actions);
}

static uint64_t wake_us(const struct engine *base)
{
	const struct engine_of_naive *engine =
		(const struct engine_of_naive *)base;

	return naive_core_wake_us(engine->core);
}

const struct engine_ops engine_naive = {
	.name = "naive",
	.create = create,
	.process = process,
	.wake_us = wake_us,
};
