#include "support/faults.h"

#include <string.h>
#include <talloc.h>

#include "support/fault_load.h"
#include "support/fault_strikes.h"

#define FAULTS_MAX 8
#define SHORT_RETENTION_US (20 * RJ_US_PER_S)
#define CALLERS 24

const char *const trouble_string[TROUBLE_COUNT] = {
	[TROUBLE_NONE] = "none",
	[TROUBLE_OUTAGE] = "outage",
	[TROUBLE_CUT_DOMAIN] = "cut_domain",
	[TROUBLE_KILLED_INSTANCE] = "killed_instance",
	[TROUBLE_ROLLING_REPLACEMENT] = "rolling_replacement",
};

static void share_rates(struct world *world, const struct fault_rates *most)
{
	const uint32_t *from = (const uint32_t *)most;
	uint32_t *to = (uint32_t *)&world->rates;

	/* Half of the rates are off in any one run. */
	for (size_t i = 0; i < sizeof(*most) / sizeof(*from); i++)
		if (from[i] && world_random(world, 2) == 0)
			to[i] = (uint32_t)world_random(world, from[i]);
}

static struct world *make_world(void *mem, const struct engine_ops *engine,
				uint64_t seed, uint64_t retention_us,
				FILE *transcript)
{
	struct world_options options = {
		.engine = engine,
		.seed = rj_hash64(&seed, sizeof(seed), 1),
		.domains = 2,
		.nodes_per_domain = 2,
		.racks_per_domain = 2,
		.workers_per_rack = 4,
		.retention_us = retention_us,
		.transcript = transcript,
	};

	return world_create(mem, &options);
}

/* Where claims, outcomes and configurations matter, the log forgets within
 * the run in two seeds of seven. */
static uint64_t short_retention_us(enum promise promise, uint64_t seed)
{
	bool matters = promise == PROMISE_ONCE || promise == PROMISE_CONFIG ||
		       promise == PROMISE_ACCEPTED;

	return matters && seed % 7 >= 5 ? SHORT_RETENTION_US : 0;
}

/*
 * Run one seed of a promise's profile and add what came of it.
 */
void faults_run(const struct engine_ops *engine, enum promise promise,
		uint64_t seed, FILE *transcript, struct faults_result *result)
{
	const struct fault_profile *profile = &fault_profiles[promise];
	void *mem = talloc_new(NULL);
	struct world *world =
		make_world(mem, engine, seed, short_retention_us(promise, seed),
			   transcript);
	uint32_t count = 1 + (uint32_t)world_random(world, FAULTS_MAX);

	share_rates(world, &profile->rates);
	load_add(world, profile->load,
		 profile->callers ? profile->callers : CALLERS);
	for (uint32_t i = 0; i < count; i++) {
		struct world_event *event = world_after(
			world,
			FAULTS_LOAD_FROM_US +
				world_random(world,
					     FAULTS_LOAD_UNTIL_US -
						     FAULTS_LOAD_FROM_US),
			fault_strike);

		event->other =
			profile_pick(world, profile->faults, FAULT_KIND_COUNT);
	}
	(void)world_after(world, 0, fault_replace_stopped);
	(void)world_after(world, FAULTS_CALM_US, fault_calm);
	world_run_until(world,
			profile->end_us ? profile->end_us : FAULTS_END_US);
	checker_finish_run(&world->checker, world->now_us);
	faults_result_add_world(world, result);
	talloc_free(mem);
}

static void stop_one(struct world *world, struct world_event *event)
{
	node_stop(world, event->index);
}

static void cause(struct world *world, enum trouble trouble)
{
	switch (trouble) {
	case TROUBLE_OUTAGE:
		fault_strike_platform(world, FAULT_OUTAGE, 10 * RJ_US_PER_S);
		break;
	case TROUBLE_CUT_DOMAIN:
		world->domain_cut[0] = true;
		world->log.cut[0] = true;
		world_reach_changed(world);
		(void)world_after(world, 10 * RJ_US_PER_S, fault_links_back);
		(void)world_after(world, 10 * RJ_US_PER_S, fault_platform_back);
		break;
	case TROUBLE_KILLED_INSTANCE:
		fault_kill_nodes(world, 0, 1);
		break;
	case TROUBLE_ROLLING_REPLACEMENT:
		for (uint32_t i = 0; i < world->node_count; i++)
			world_after(world, i * 3 * RJ_US_PER_S, stop_one)
				->index = i;
		break;
	default:
		break;
	}
}

/*
 * Run mixed load under one kind of trouble, from the load's first third on
 * for about ten seconds, and count what is served.
 */
void faults_served(const struct engine_ops *engine, enum trouble trouble,
		   uint64_t seed, struct faults_result *result)
{
	static const uint8_t mixed[LOAD_KIND_COUNT] = {
		[LOAD_PREVIEW] = 6, [LOAD_QUOTE] = 4,  [LOAD_QUOTE_DOUBLED] = 1,
		[LOAD_GANG] = 1,    [LOAD_RENDER] = 2,
	};
	void *mem = talloc_new(NULL);
	struct world *world = make_world(mem, engine, seed, 0, NULL);

	load_add(world, mixed, 2 * CALLERS);
	(void)world_after(world, 0, fault_replace_stopped);
	world_run_until(world, 8 * RJ_US_PER_S);
	cause(world, trouble);
	world_run_until(world, FAULTS_END_US);
	checker_finish_run(&world->checker, world->now_us);
	faults_result_add_world(world, result);
	talloc_free(mem);
}

/*
 * A world with load and without a fault, to be run by the caller. Nothing is
 * cancelled, and there is room for all.
 */
struct world *faults_quiet_world(void *mem, const struct engine_ops *engine,
				 uint64_t seed)
{
	static const uint8_t light[LOAD_KIND_COUNT] = {
		[LOAD_PREVIEW] = 4,
		[LOAD_QUOTE] = 3,
		[LOAD_QUOTE_DOUBLED] = 2,
	};
	struct world *world = make_world(mem, engine, seed, 0, NULL);

	/* What was drawn so far depends on the engine; the callers must not. */
	world->random = seed;
	load_add(world, light, CALLERS);
	return world;
}
