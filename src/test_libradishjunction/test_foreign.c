#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "support/simulation.h"

#define SETTLED_US (5 * RJ_US_PER_S)
#define LONG_RUN_US (20 * RJ_US_PER_S)
/* After this time a dead instance owns no rack. */
#define TAKEOVER_US (8 * RJ_US_PER_S)
/* Long enough to place the quote before the previews fill the rack. */
#define FILL_US (6 * RJ_US_PER_S)
#define SEEDS 8

/* How guaranteed shapes were reclaimed, summed over the seeds. */
struct reclaim_counts {
	uint32_t asked; /* cancellations requested from the driving instance */
	uint32_t stopped; /* tasks stopped at the worker, without the driver */
};

/* Returns how often `what` occurs in the transcript. */
static uint32_t count_matches(const char *text, const char *what)
{
	uint32_t times = 0;

	for (const char *at = strstr(text, what); at; at = strstr(at + 1, what))
		times++;
	return times;
}

/* A long job that occupies a whole worker. */
static struct fake_caller_options
whole_worker(const struct simulation *simulation)
{
	return (struct fake_caller_options){
		.class_name = "preview",
		.account = SIMULATION_OTHER_ACCOUNT,
		.tasks = 1,
		.accelerators = simulation->workers[0].capacity.accelerators,
		.run_us = LONG_RUN_US,
		.idempotent = true,
		.waits = true,
	};
}

/* A job within the account's guarantee. */
static struct fake_caller_options guaranteed(void)
{
	return (struct fake_caller_options){
		.class_name = "pack",
		.account = SIMULATION_GUARANTEED_ACCOUNT,
		.key = 9,
		.tasks = SIMULATION_GUARANTEED_TASKS,
		.accelerators = 4,
		.adjacent = true,
		.run_us = RJ_US_PER_S,
		.idempotent = true,
		.guaranteed = true,
		.waits = true,
	};
}

/*
 * One instance is dead while previews and a quote fill the rack, and is
 * restarted before the account uses its guarantee; `cut` separates the two
 * instances from then on. The checker checks the reclaim time and all answers.
 */
static void run(uint64_t seed, uint32_t dead_node, bool cut,
		struct reclaim_counts *reclaim_counts)
{
	char *text = NULL;
	size_t size = 0;
	FILE *transcript = open_memstream(&text, &size);
	struct simulation_options options = { .engine = &engine_core,
					      .seed = seed,
					      .domains = 1,
					      .nodes_per_domain = 2,
					      .racks_per_domain = 1,
					      .workers_per_rack = 4,
					      .transcript = transcript };
	struct simulation *simulation = simulation_create(NULL, &options);
	struct fake_caller_options preview = whole_worker(simulation);
	struct fake_caller_options quote = preview;
	struct fake_caller_options pack = guaranteed();
	const struct fake_caller *priced;

	fake_log_publish(simulation, 0, "first",
			 simulation_config_text(simulation, simulation, 0));
	simulation_run_until(simulation, SETTLED_US);
	node_kill(simulation, dead_node);
	simulation_run_until(simulation, SETTLED_US + TAKEOVER_US);
	quote.class_name = "quote";
	quote.key = 7;
	quote.idempotent = false;
	priced = fake_caller_add(simulation, 0, &quote);
	for (uint32_t i = 0; i < 3; i++)
		fake_caller_add(simulation, FILL_US / 2, &preview);
	simulation_run_until(simulation, SETTLED_US + TAKEOVER_US + FILL_US);
	node_start(simulation, dead_node);
	simulation_run_until(simulation, SETTLED_US + 2 * TAKEOVER_US);
	simulation->links[0][1].cut = cut;
	simulation_run_until(simulation, SETTLED_US + 3 * TAKEOVER_US);
	simulation->checker.recovered_us = 0;
	fake_caller_add(simulation, 0, &pack);
	simulation_run_until(simulation,
			     SETTLED_US + 3 * TAKEOVER_US + LONG_RUN_US);
	g_assert_cmpuint(simulation->checker.checks[INVARIANT_GUARANTEE], ==,
			 1);
	g_assert_cmpuint(
		checker_intent_get(&simulation->checker, priced->intent)
			->completed,
		==, 1);
	for (uint32_t i = 0; i < INVARIANT_COUNT; i++)
		g_assert_cmpstr(simulation->checker.first[i], ==, "");
	fflush(transcript);
	reclaim_counts->asked +=
		count_matches(text, "> peer_send d0-n0 cancel") +
		count_matches(text, "> peer_send d0-n1 cancel");
	reclaim_counts->stopped += count_matches(text, "> worker_call stop");
	talloc_free(simulation);
	fclose(transcript);
	free(text);
}

/* Each instance is the dead one once per seed: either may own the rack. */
static struct reclaim_counts run_all(bool cut)
{
	struct reclaim_counts reclaim_counts = { 0 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		for (uint32_t dead_node = 0; dead_node < 2; dead_node++)
			run(seed, dead_node, cut, &reclaim_counts);
	return reclaim_counts;
}

/*
 * An owner must reclaim from jobs that another instance drives. The rack's
 * owner dies, its peer fills the rack, the owner returns and needs a guaranteed
 * shape. The owner must know whom to ask for the peer's jobs.
 */
static void test_driver_is_asked(void)
{
	struct reclaim_counts reclaim_counts = run_all(false);

	g_assert_cmpuint(reclaim_counts.asked, >, 0);
}

/*
 * As above, but the driver cannot be asked: it is cut off from the owner, not
 * from the workers, where it keeps renewing its leases. The owner must stop the
 * jobs itself. The quote in the rack, which must not run twice, is not stopped.
 */
static void test_unreachable_driver_is_bypassed(void)
{
	struct reclaim_counts reclaim_counts = run_all(true);

	g_assert_cmpuint(reclaim_counts.stopped, >, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/foreign/asked", test_driver_is_asked);
	g_test_add_func("/foreign/unreachable",
			test_unreachable_driver_is_bypassed);
	return g_test_run();
}
