#include "support/faults.h"

#include <string.h>
#include <talloc.h>

#include "support/fault_load.h"
#include "support/fault_injection.h"

#define APART_US (3600 * RJ_US_PER_S)

/* A little of everything that callers ask for. */
static const uint8_t mixed[LOAD_KIND_COUNT] = {
	[LOAD_PREVIEW] = 6, [LOAD_QUOTE] = 4,  [LOAD_QUOTE_DOUBLED] = 1,
	[LOAD_GANG] = 1,    [LOAD_RENDER] = 2,
};

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
				const struct fault_place_options *place,
				uint64_t seed, uint64_t retention_us,
				FILE *transcript)
{
	struct world_options options = {
		.engine = engine,
		.seed = rj_hash64(&seed, sizeof(seed), 1),
		.domains = place->domains,
		.nodes_per_domain = place->nodes_per_domain,
		.racks_per_domain = place->racks_per_domain,
		.workers_per_rack = place->workers_per_rack,
		.retention_us = retention_us,
		.key_life_s = place->key_life_s,
		.drift_ppm = place->drift_ppm,
		.transcript = transcript,
	};

	return world_create(mem, &options);
}

/* Where claims, outcomes and configurations matter, the log forgets within
 * the run in two seeds of seven. */
static uint64_t retention_us(const struct fault_place_options *place,
			     enum promise promise, uint64_t seed)
{
	bool matters = promise == PROMISE_ONCE || promise == PROMISE_CONFIG ||
		       promise == PROMISE_ACCEPTED;

	return matters && seed % 7 >= 5 ? place->short_retention_us : 0;
}

/* Plan the faults of one run: those of the profile and of the place. */
static void add_faults(struct world *world,
		       const struct fault_place_options *place,
		       const struct fault_profile *profile, uint32_t count)
{
	uint8_t weights[FAULT_KIND_COUNT];

	for (uint32_t i = 0; i < FAULT_KIND_COUNT; i++)
		weights[i] = profile->faults[i] + place->faults[i];
	for (uint32_t i = 0; i < count; i++) {
		uint64_t span_us = place->load_until_us - FAULTS_LOAD_FROM_US;
		struct world_event *event = world_after(
			world,
			FAULTS_LOAD_FROM_US + world_random(world, span_us),
			fault_strike);

		event->other = profile_pick(world, weights, FAULT_KIND_COUNT);
		event->life = place->lasts_max_us;
	}
}

/*
 * Run one seed of a promise's profile at a place and add what came of it.
 */
void faults_run_at(const struct engine_ops *engine, enum fault_place where,
		   enum promise promise, uint64_t seed, FILE *transcript,
		   struct faults_result *result)
{
	const struct fault_place_options *place = &fault_places[where];
	const struct fault_profile *profile = &fault_profiles[promise];
	uint64_t end_us = profile->end_us ? profile->end_us : FAULTS_END_US;
	void *mem = talloc_new(NULL);
	struct world *world =
		make_world(mem, engine, place, seed,
			   retention_us(place, promise, seed), transcript);
	uint32_t count = 1 + (uint32_t)world_random(world, place->faults_max);

	share_rates(world, &profile->rates);
	if (profile->peers_lose)
		share_rates(world, &place->rates);
	load_add(world, place, profile->load,
		 profile->callers > place->callers ? profile->callers :
						     place->callers);
	add_faults(world, place, profile, count);
	(void)world_after(world, 0, fault_replace_stopped);
	(void)world_after(world, place->calm_us, fault_calm);
	world_run_until(world, end_us + place->more_us);
	checker_finish_run(&world->checker, world->now_us);
	faults_result_add_world(world, result);
	talloc_free(mem);
}

/*
 * Run one seed of a promise's profile in the small world.
 */
void faults_run(const struct engine_ops *engine, enum promise promise,
		uint64_t seed, FILE *transcript, struct faults_result *result)
{
	faults_run_at(engine, FAULT_PLACE_SMALL, promise, seed, transcript,
		      result);
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
		fault_cut_alone(world, 0, 10 * RJ_US_PER_S);
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
	const struct fault_place_options *place =
		&fault_places[FAULT_PLACE_SMALL];
	void *mem = talloc_new(NULL);
	struct world *world = make_world(mem, engine, place, seed, 0, NULL);

	load_add(world, place, mixed, 2 * place->callers);
	(void)world_after(world, 0, fault_replace_stopped);
	world_run_until(world, 8 * RJ_US_PER_S);
	cause(world, trouble);
	world_run_until(world, FAULTS_END_US);
	checker_finish_run(&world->checker, world->now_us);
	faults_result_add_world(world, result);
	talloc_free(mem);
}

/*
 * Let one region lose the others and the platform for an hour, in the midst
 * of its load; its links come back in the midst of more of it. Keys live
 * longer than that, and the log keeps its records for two hours.
 */
void faults_apart(const struct engine_ops *engine, uint64_t seed,
		  FILE *transcript, struct faults_result *result)
{
	const struct fault_place_options *place =
		&fault_places[FAULT_PLACE_APART];
	const uint64_t cut_us = place->load_until_us / 2;
	void *mem = talloc_new(NULL);
	struct world *world =
		make_world(mem, engine, place, seed, 2 * APART_US, transcript);

	load_add(world, place, mixed, place->callers);
	world_run_until(world, cut_us);
	fault_cut_alone(world, 0, APART_US);
	world_run_until(world, APART_US);
	load_add(world, place, mixed, place->callers);
	(void)world_after(world, place->calm_us, fault_calm);
	world_run_until(world, APART_US + 2 * FAULTS_END_US);
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
	const struct fault_place_options *place =
		&fault_places[FAULT_PLACE_SMALL];
	struct world *world = make_world(mem, engine, place, seed, 0, NULL);

	/* What was drawn so far depends on the engine; the callers must not. */
	world->random = seed;
	load_add(world, place, light, place->callers);
	return world;
}
