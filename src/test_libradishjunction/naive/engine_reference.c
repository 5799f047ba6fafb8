#include "support/engine.h"

#include <assert.h>
#include <talloc.h>

#include "naive/reference_core.h"

struct reference_engine {
	struct engine base;
	struct reference_core *core;
};

static struct engine *create(void *mem, const struct rj_core_options *options)
{
	struct reference_engine *engine =
		talloc_zero(mem, struct reference_engine);

	assert(engine);
	engine->base.ops = &engine_reference;
	engine->core = reference_core_create(engine, options);
	return &engine->base;
}

static void process(struct engine *base, const struct rj_event *event,
		    struct rj_actions *actions)
{
	struct reference_engine *engine = (struct reference_engine *)base;

	reference_core_process(engine->core, event, actions);
}

static uint64_t wake_us(const struct engine *base)
{
	const struct reference_engine *engine =
		(const struct reference_engine *)base;

	return reference_core_wake_us(engine->core);
}

const struct engine_ops engine_reference = {
	.name = "naive",
	.create = create,
	.process = process,
	.wake_us = wake_us,
};
