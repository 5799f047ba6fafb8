#include <glib.h>
#include <talloc.h>

#include "support/simulation.h"

#define SETTLED_US (5 * RJ_US_PER_S)
/* Until a reader takes the log for lost. */
#define NOTICED_US (8 * RJ_US_PER_S)
#define RUN_US (200 * RJ_US_PER_MS)
#define CUT 0 /* the failure domain that is cut off from the platform */

/* Two failure domains of one instance each, the first cut off. */
static struct simulation *cut_world(void)
{
	struct simulation_options options = { .engine = &engine_core,
					      .seed = 3,
					      .domains = 2,
					      .nodes_per_domain = 1,
					      .racks_per_domain = 1,
					      .workers_per_rack = 4 };
	struct simulation *simulation = simulation_create(NULL, &options);

	simulation_run_until(simulation, SETTLED_US);
	simulation->log.cut[CUT] = true;
	simulation_reachability_changed(simulation);
	simulation_run_until(simulation, SETTLED_US + NOTICED_US);
	return simulation;
}

/* A caller in the cut domain asks now. */
static struct fake_caller *ask(struct simulation *simulation,
			       const char *class_name, bool idempotent,
			       bool waits)
{
	struct fake_caller_options plan = { .class_name = class_name,
					    .account = SIMULATION_OTHER_ACCOUNT,
					    .domain = CUT,
					    .key = 7,
					    .tasks = 1,
					    .accelerators = 1,
					    .run_us = RUN_US,
					    .idempotent = idempotent,
					    .waits = waits };

	return fake_caller_add(simulation, 0, &plan);
}

/* What the caller of a job in the cut domain has been told after a while. */
static enum rj_answer_kind told(struct simulation *simulation,
				const char *class_name, bool idempotent,
				bool waits)
{
	struct fake_caller *caller =
		ask(simulation, class_name, idempotent, waits);
	enum rj_answer_kind kind;

	simulation_run_until(simulation, simulation->now_us + 3 * RJ_US_PER_S);
	kind = checker_intent_get(&simulation->checker, caller->intent)->answer;
	g_assert_cmpuint(caller->served_us, !=, RJ_NEVER_US);
	g_assert_cmpuint(checker_violations(&simulation->checker), ==, 0);
	return kind;
}

/*
 * A rep is told "come back" by every instance of a failure domain, and quotes
 * from memory.
 * The domain is cut off from the platform, and not from the others, which
 * have the log and room.
 * Cause: a key that needs a claim was refused where the log could not be
 * read, though a peer could have claimed it.
 */
static void test_quote_in_a_cut_domain(void)
{
	struct simulation *simulation = cut_world();

	g_assert_cmpuint(told(simulation, "quote", false, true), ==,
			 RJ_ANSWER_DONE);
	talloc_free(simulation);
}

/*
 * A tutor cannot hand in a render for the night.
 * The same cut; the render is to be accepted, which needs the log.
 * Cause: as above, for jobs whose callers do not wait.
 */
static void test_render_in_a_cut_domain(void)
{
	struct simulation *simulation = cut_world();

	told(simulation, "preview", true, false);
	talloc_free(simulation);
}

/*
 * The other side: when nobody has the log, the caller is told so at once and
 * the job does not go round between instances that hope of each other.
 */
static void test_nobody_has_the_log(void)
{
	struct simulation *simulation = cut_world();
	struct fake_caller *caller;

	simulation->log.down = true;
	simulation_reachability_changed(simulation);
	simulation_run_until(simulation, simulation->now_us + NOTICED_US);
	caller = ask(simulation, "quote", false, true);
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
	g_test_add_func("/log_relay/nobody", test_nobody_has_the_log);
	return g_test_run();
}
