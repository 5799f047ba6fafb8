#include <glib.h>
#include <talloc.h>

#include "support/simulation.h"

#define SETTLED_US (5 * RJ_US_PER_S)
#define BREAK_US (6 * RJ_US_PER_S)
#define CALLERS 40

/* Submits previews one after another until `until_us`. */
static void submit_previews(struct simulation *simulation, uint64_t until_us)
{
	struct fake_caller_options plan = { .class_name = "preview",
					    .account = SIMULATION_OTHER_ACCOUNT,
					    .tasks = 1,
					    .accelerators = 1,
					    .run_us = RJ_US_PER_S,
					    .idempotent = true,
					    .waits = true };

	for (uint32_t i = 0; i < CALLERS; i++)
		(void)fake_caller_add(
			simulation,
			i * (until_us - simulation->now_us) / CALLERS, &plan);
}

/*
 * An instance must repeat to a peer who is leaving when their link is
 * re-established. It learns from the platform's list that an upstream is
 * leaving while a link is down; the peer, which is cut off from the platform,
 * would keep sending jobs there, which are cut off half-way.
 */
static void test_leaving_is_resent_on_a_new_link(void)
{
	struct simulation_options options = { .engine = &engine_core,
					      .seed = 11,
					      .domains = 1,
					      .nodes_per_domain = 2,
					      .racks_per_domain = 2,
					      .workers_per_rack = 4 };
	struct simulation *simulation = simulation_create(NULL, &options);

	simulation_run_until(simulation, SETTLED_US);
	for (uint32_t i = 0; i < simulation->worker_count; i++)
		simulation->workers[i].leaving = true;
	/* It owns both racks. */
	simulation->log.cut_node[0] = true;
	simulation_reachability_changed(simulation);
	simulation->links[0][1].cut = true;
	simulation_run_until(simulation, SETTLED_US + BREAK_US);
	fake_peers_heal(simulation);
	submit_previews(simulation, SETTLED_US + 4 * BREAK_US);
	simulation_run_until(simulation, SETTLED_US + 5 * BREAK_US);
	g_assert_cmpstr(simulation->checker.first[INVARIANT_LEAVING], ==, "");
	talloc_free(simulation);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/leaving/new_link",
			test_leaving_is_resent_on_a_new_link);
	return g_test_run();
}
