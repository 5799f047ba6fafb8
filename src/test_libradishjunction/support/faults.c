#include "support/faults.h"

#include <string.h>
#include <talloc.h>

#include "support/fault_load.h"
#include "support/fault_injection.h"

#define ISOLATION_US (3600 * RJ_US_PER_S)

/* Weights of a load with jobs of most kinds. */
static const uint8_t mixed_load[LOAD_KIND_COUNT] = {
	[LOAD_PREVIEW] = 6, [LOAD_QUOTE] = 4,  [LOAD_QUOTE_DUPLICATED] = 1,
	[LOAD_GANG] = 1,    [LOAD_RENDER] = 2,
};

const char *const fault_scenario_string[FAULT_SCENARIO_COUNT] = {
	[FAULT_SCENARIO_NONE] = "none",
	[FAULT_SCENARIO_OUTAGE] = "outage",
	[FAULT_SCENARIO_CUT_DOMAIN] = "cut_domain",
	[FAULT_SCENARIO_KILLED_INSTANCE] = "killed_instance",
	[FAULT_SCENARIO_ROLLING_REPLACEMENT] = "rolling_replacement",
};

/* Draws the fault rates of a run below their limits. struct fault_rates is
 * read as an array, as it has only uint32_t members. */
static void draw_rates(struct simulation *simulation,
		       const struct fault_rates *limits)
{
	const uint32_t *from = (const uint32_t *)limits;
	uint32_t *to = (uint32_t *)&simulation->rates;

	/* About half of the rates are 0 in each run. */
	for (size_t i = 0; i < sizeof(*limits) / sizeof(*from); i++)
		if (from[i] && simulation_random(simulation, 2) == 0)
			to[i] = (uint32_t)simulation_random(simulation,
							    from[i]);
}

static struct simulation *make_simulation(void *mem,
					  const struct engine_ops *engine,
					  const struct fault_setup *setup,
					  uint64_t seed, uint64_t retention_us,
					  FILE *transcript)
{
	struct simulation_options options = {
		.engine = engine,
		.seed = rj_hash64(&seed, sizeof(seed), 1),
		.domains = setup->domains,
		.nodes_per_domain = setup->nodes_per_domain,
		.racks_per_domain = setup->racks_per_domain,
		.workers_per_rack = setup->workers_per_rack,
		.retention_us = retention_us,
		.key_life_s = setup->key_life_s,
		.drift_ppm = setup->drift_ppm,
		.transcript = transcript,
	};

	return simulation_create(mem, &options);
}

/* For invariants that depend on claims, outcomes or configurations, the log
 * trims records during the run in two seeds of seven. */
static uint64_t retention_us(const struct fault_setup *setup,
			     enum invariant invariant, uint64_t seed)
{
	bool matters = invariant == INVARIANT_ONCE ||
		       invariant == INVARIANT_CONFIG ||
		       invariant == INVARIANT_ACCEPTED;

	return matters && seed % 7 >= 5 ? setup->short_retention_us : 0;
}

/* Schedules the faults of one run, from the profile and the setup. */
static void schedule_faults(struct simulation *simulation,
			    const struct fault_setup *setup,
			    const struct fault_profile *profile, uint32_t count)
{
	uint8_t weights[FAULT_KIND_COUNT];

	for (uint32_t i = 0; i < FAULT_KIND_COUNT; i++)
		weights[i] = profile->faults[i] + setup->faults[i];
	for (uint32_t i = 0; i < count; i++) {
		uint64_t span_us = setup->load_until_us - FAULTS_LOAD_FROM_US;
		struct simulation_event *event = simulation_schedule(
			simulation,
			FAULTS_LOAD_FROM_US +
				simulation_random(simulation, span_us),
			fault_inject);

		event->other =
			profile_pick(simulation, weights, FAULT_KIND_COUNT);
		event->epoch = setup->duration_max_us;
	}
}

/*
 * Runs one seed of an invariant's profile in a setup and adds the outcome to
 * `result`. `transcript` may be NULL.
 */
void faults_run_at(const struct engine_ops *engine,
		   enum fault_setup_kind setup_kind, enum invariant invariant,
		   uint64_t seed, FILE *transcript,
		   struct faults_result *result)
{
	const struct fault_setup *setup = &fault_setups[setup_kind];
	const struct fault_profile *profile = &fault_profiles[invariant];
	uint64_t end_us = profile->end_us ? profile->end_us : FAULTS_END_US;
	void *mem = talloc_new(NULL);
	struct simulation *simulation = make_simulation(
		mem, engine, setup, seed, retention_us(setup, invariant, seed),
		transcript);
	uint32_t count =
		1 + (uint32_t)simulation_random(simulation, setup->faults_max);

	draw_rates(simulation, &profile->rates);
	if (profile->lossy_peers)
		draw_rates(simulation, &setup->rates);
	load_add(simulation, setup, profile->load,
		 profile->callers > setup->callers ? profile->callers :
						     setup->callers);
	schedule_faults(simulation, setup, profile, count);
	(void)simulation_schedule(simulation, 0, fault_replace_stopped);
	(void)simulation_schedule(simulation, setup->recovery_us,
				  fault_recover_all);
	simulation_run_until(simulation, end_us + setup->extra_us);
	checker_finish_run(&simulation->checker, simulation->now_us);
	faults_result_add_simulation(simulation, result);
	talloc_free(mem);
}

/*
 * Runs one seed of an invariant's profile in the small setup.
 */
void faults_run(const struct engine_ops *engine, enum invariant invariant,
		uint64_t seed, FILE *transcript, struct faults_result *result)
{
	faults_run_at(engine, FAULT_SETUP_SMALL, invariant, seed, transcript,
		      result);
}

static void stop_node(struct simulation *simulation,
		      struct simulation_event *event)
{
	node_stop(simulation, event->index);
}

/* Injects the fault of a scenario. */
static void inject_scenario(struct simulation *simulation,
			    enum fault_scenario fault_scenario)
{
	switch (fault_scenario) {
	case FAULT_SCENARIO_OUTAGE:
		fault_inject_platform(simulation, FAULT_OUTAGE,
				      10 * RJ_US_PER_S);
		break;
	case FAULT_SCENARIO_CUT_DOMAIN:
		fault_isolate_domain(simulation, 0, 10 * RJ_US_PER_S);
		break;
	case FAULT_SCENARIO_KILLED_INSTANCE:
		fault_kill_nodes(simulation, 0, 1);
		break;
	case FAULT_SCENARIO_ROLLING_REPLACEMENT:
		for (uint32_t i = 0; i < simulation->node_count; i++)
			simulation_schedule(simulation, i * 3 * RJ_US_PER_S,
					    stop_node)
				->index = i;
		break;
	default:
		break;
	}
}

/*
 * Runs mixed load under one fault scenario and counts the requests served. The
 * fault begins in the first third of the load and lasts about ten seconds.
 */
void faults_run_scenario(const struct engine_ops *engine,
			 enum fault_scenario fault_scenario, uint64_t seed,
			 struct faults_result *result)
{
	const struct fault_setup *setup = &fault_setups[FAULT_SETUP_SMALL];
	void *mem = talloc_new(NULL);
	struct simulation *simulation =
		make_simulation(mem, engine, setup, seed, 0, NULL);

	load_add(simulation, setup, mixed_load, 2 * setup->callers);
	(void)simulation_schedule(simulation, 0, fault_replace_stopped);
	simulation_run_until(simulation, 8 * RJ_US_PER_S);
	inject_scenario(simulation, fault_scenario);
	simulation_run_until(simulation, FAULTS_END_US);
	checker_finish_run(&simulation->checker, simulation->now_us);
	faults_result_add_simulation(simulation, result);
	talloc_free(mem);
}

/*
 * Isolates one region from the others and from the platform for an hour while
 * it has load, and reconnects it during further load. Keys live longer than
 * that, and the log retains records for two hours.
 */
void faults_run_isolated_region(const struct engine_ops *engine, uint64_t seed,
				FILE *transcript, struct faults_result *result)
{
	const struct fault_setup *setup = &fault_setups[FAULT_SETUP_ISOLATED];
	const uint64_t cut_us = setup->load_until_us / 2;
	void *mem = talloc_new(NULL);
	struct simulation *simulation = make_simulation(
		mem, engine, setup, seed, 2 * ISOLATION_US, transcript);

	load_add(simulation, setup, mixed_load, setup->callers);
	simulation_run_until(simulation, cut_us);
	fault_isolate_domain(simulation, 0, ISOLATION_US);
	simulation_run_until(simulation, ISOLATION_US);
	load_add(simulation, setup, mixed_load, setup->callers);
	(void)simulation_schedule(simulation, setup->recovery_us,
				  fault_recover_all);
	simulation_run_until(simulation, ISOLATION_US + 2 * FAULTS_END_US);
	checker_finish_run(&simulation->checker, simulation->now_us);
	faults_result_add_simulation(simulation, result);
	talloc_free(mem);
}

/*
 * Creates a simulation with load and without faults, for the caller to run.
 * Nothing is cancelled, and the capacity suffices for all jobs.
 */
struct simulation *
faults_simulation_without_faults(void *mem, const struct engine_ops *engine,
				 uint64_t seed)
{
	static const uint8_t light[LOAD_KIND_COUNT] = {
		[LOAD_PREVIEW] = 4,
		[LOAD_QUOTE] = 3,
		[LOAD_QUOTE_DUPLICATED] = 2,
	};
	const struct fault_setup *setup = &fault_setups[FAULT_SETUP_SMALL];
	struct simulation *simulation =
		make_simulation(mem, engine, setup, seed, 0, NULL);

	/* The engine affects the numbers drawn so far; reseeding gives every
	   engine the same callers. */
	simulation->random = seed;
	load_add(simulation, setup, light, setup->callers);
	return simulation;
}
