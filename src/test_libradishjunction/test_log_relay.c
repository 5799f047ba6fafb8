#include <glib.h>
#include <talloc.h>

#include "support/simulation.h"

#define SETTLED_US (5 * RJ_US_PER_S)
/* Until a reader takes the log for unavailable. */
#define OUTAGE_DETECTED_US (8 * RJ_US_PER_S)
#define RUN_US (200 * RJ_US_PER_MS)
#define CUT_DOMAIN 0 /* the failure domain that is cut off from the platform */

/* Two failure domains of one instance each, the first cut off. */
static struct simulation *create_cut_simulation(void)
{
	struct simulation_options options = { .engine = &engine_core,
					      .seed = 3,
					      .domains = 2,
					      .nodes_per_domain = 1,
					      .racks_per_domain = 1,
					      .workers_per_rack = 4 };
	struct simulation *simulation = simulation_create(NULL, &options);

	simulation_run_until(simulation, SETTLED_US);
	simulation->log.cut[CUT_DOMAIN] = true;
	simulation_reachability_changed(simulation);
	simulation_run_until(simulation, SETTLED_US + OUTAGE_DETECTED_US);
	return simulation;
}

/* Submits a job in the cut domain now. */
static struct fake_caller *submit_in_cut_domain(struct simulation *simulation,
						const char *class_name,
						bool idempotent, bool waits)
{
	struct fake_caller_options plan = { .class_name = class_name,
					    .account = SIMULATION_OTHER_ACCOUNT,
					    .domain = CUT_DOMAIN,
					    .key = 7,
					    .tasks = 1,
					    .accelerators = 1,
					    .run_us = RUN_US,
					    .idempotent = idempotent,
					    .waits = waits };

	return fake_caller_add(simulation, 0, &plan);
}

/* Returns the answer to a job in the cut domain after 3 s. */
static enum rj_answer_kind answer_in_cut_domain(struct simulation *simulation,
						const char *class_name,
						bool idempotent, bool waits)
{
	struct fake_caller *caller =
		submit_in_cut_domain(simulation, class_name, idempotent, waits);
	enum rj_answer_kind kind;

	simulation_run_until(simulation, simulation->now_us + 3 * RJ_US_PER_S);
	kind = checker_intent_get(&simulation->checker, caller->intent)->answer;
	g_assert_cmpuint(caller->served_us, !=, RJ_NEVER_US);
	g_assert_cmpuint(checker_violations(&simulation->checker), ==, 0);
	return kind;
}

/*
 * A quote in a domain that is cut off from the platform must be served by
 * another domain. The instances of the domain must not refuse a key that needs
 * a claim while a peer with the log and free capacity can claim it.
 */
static void test_quote_in_a_cut_domain(void)
{
	struct simulation *simulation = create_cut_simulation();

	g_assert_cmpuint(answer_in_cut_domain(simulation, "quote", false, true),
			 ==, RJ_ANSWER_DONE);
	talloc_free(simulation);
}

/* As above, for a job that is to be accepted into the log. */
static void test_render_in_a_cut_domain(void)
{
	struct simulation *simulation = create_cut_simulation();

	answer_in_cut_domain(simulation, "preview", true, false);
	talloc_free(simulation);
}

/*
 * When no instance can use the log, the caller is answered at once, and the job
 * is not forwarded in a loop.
 */
static void test_log_unavailable_everywhere(void)
{
	struct simulation *simulation = create_cut_simulation();
	struct fake_caller *caller;

	simulation->log.down = true;
	simulation_reachability_changed(simulation);
	simulation_run_until(simulation,
			     simulation->now_us + OUTAGE_DETECTED_US);
	caller = submit_in_cut_domain(simulation, "quote", false, true);
	simulation_run_until(simulation,
			     simulation->now_us + 100 * RJ_US_PER_MS);
	g_assert_cmpuint(caller->request_id, ==, 0);
	g_assert_cmpuint(caller->tries, >=, 1);
	g_assert_cmpuint(caller->served_us, ==, RJ_NEVER_US);
	talloc_free(simulation);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/log_relay/quote", test_quote_in_a_cut_domain);
	g_test_add_func("/log_relay/render", test_render_in_a_cut_domain);
	g_test_add_func("/log_relay/nobody", test_log_unavailable_everywhere);
	return g_test_run();
}
