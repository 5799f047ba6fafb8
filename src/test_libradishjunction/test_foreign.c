#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "support/simulation.h"

#define SETTLED_US (5 * RJ_US_PER_S)
#define LONG_RUN_US (20 * RJ_US_PER_S)
/* After it a dead instance owns nothing any more. */
#define MOVED_US (8 * RJ_US_PER_S)
/* The quote is placed before the previews fill the rack. */
#define FILLED_US (6 * RJ_US_PER_S)
#define SEEDS 8

/* What was seen of the ways to give a shape back, over several seeds. */
struct ways {
	uint32_t asked; /* the instance that drives the work */
	uint32_t stopped; /* at the worker, unheard */
};

/* How often `what` stands in the transcript. */
static uint32_t count(const char *text, const char *what)
{
	uint32_t times = 0;

	for (const char *at = strstr(text, what); at; at = strstr(at + 1, what))
		times++;
	return times;
}

/* A job that takes a whole worker for a long time. */
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

/* A job on the account's guarantee. */
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
 * One instance is dead while previews and a quote fill the rack, and is back
 * when the account wants its shape; `cut` parts the two from then on. The
 * checker judges the time, and all that callers are told.
 */
static void run(uint64_t seed, uint32_t dead, bool cut, struct ways *ways)
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
	node_kill(simulation, dead);
	simulation_run_until(simulation, SETTLED_US + MOVED_US);
	quote.class_name = "quote";
	quote.key = 7;
	quote.idempotent = false;
	priced = fake_caller_add(simulation, 0, &quote);
	for (uint32_t i = 0; i < 3; i++)
		fake_caller_add(simulation, FILLED_US / 2, &preview);
	simulation_run_until(simulation, SETTLED_US + MOVED_US + FILLED_US);
	node_start(simulation, dead);
	simulation_run_until(simulation, SETTLED_US + 2 * MOVED_US);
	simulation->links[0][1].cut = cut;
	simulation_run_until(simulation, SETTLED_US + 3 * MOVED_US);
	simulation->checker.recovered_us = 0;
	fake_caller_add(simulation, 0, &pack);
	simulation_run_until(simulation,
			     SETTLED_US + 3 * MOVED_US + LONG_RUN_US);
	g_assert_cmpuint(simulation->checker.checks[INVARIANT_GUARANTEE], ==,
			 1);
	g_assert_cmpuint(
		checker_intent_get(&simulation->checker, priced->intent)
			->completed,
		==, 1);
	for (uint32_t i = 0; i < INVARIANT_COUNT; i++)
		g_assert_cmpstr(simulation->checker.first[i], ==, "");
	fflush(transcript);
	ways->asked += count(text, "> peer_send d0-n0 cancel") +
		       count(text, "> peer_send d0-n1 cancel");
	ways->stopped += count(text, "> worker_call stop");
	talloc_free(simulation);
	fclose(transcript);
	free(text);
}

/* Both instances are dead once in each seed: one of them owns the rack. */
static struct ways run_all(bool cut)
{
	struct ways ways = { 0 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		for (uint32_t dead = 0; dead < 2; dead++)
			run(seed, dead, cut, &ways);
	return ways;
}

/*
 * A tutor's lesson pack waits for the previews of another studio.
 * The owner of the rack dies; its peer fills the rack; the owner comes back
 * and wants a guaranteed shape from it.
 * Cause: what the peer drives was nobody's work to the owner.
 */
static void test_driver_is_asked(void)
{
	struct ways ways = run_all(false);

	g_assert_cmpuint(ways.asked, >, 0);
}

/*
 * The same, and the peer cannot be asked: it is cut off from the owner, not
 * from the workers, where it goes on to renew its leases.
 * Cause: only its driver could stop a job. The quote in the rack, which must
 * not run twice, runs to its end all the same.
 */
static void test_unreachable_driver_is_passed_over(void)
{
	struct ways ways = run_all(true);

	g_assert_cmpuint(ways.stopped, >, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/foreign/asked", test_driver_is_asked);
	g_test_add_func("/foreign/unreachable",
			test_unreachable_driver_is_passed_over);
	return g_test_run();
}
