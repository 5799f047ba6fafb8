#include <glib.h>
#include <talloc.h>

#include "support/faults.h"

#define SEEDS 20
#define END_US (60 * RJ_US_PER_S)

/* Runs the same callers against an engine, without faults. */
static struct simulation *run(void *mem, const struct engine_ops *engine,
			      uint64_t seed)
{
	struct simulation *simulation =
		faults_simulation_without_faults(mem, engine, seed);

	simulation_run_until(simulation, END_US);
	checker_finish_run(&simulation->checker, simulation->now_us);
	return simulation;
}

static const struct checker_intent *intent_of(struct simulation *simulation,
					      guint i)
{
	return checker_intent_get(&simulation->checker, i);
}

/*
 * Returns whether the reference implementation may answer differently. It may
 * only for a key that was used at two instances: it does not share keys between
 * instances, runs the job twice and answers with the first run.
 */
static bool may_differ(const struct checker_intent *reference)
{
	return reference->key && reference->ran > 1;
}

/*
 * Without faults, claims, read-backs and fences must be invisible to callers:
 * each gets the answer of the reference implementation, after one run.
 */
static void test_same_answers_without_faults(void)
{
	uint32_t differing = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		void *mem = talloc_new(NULL);
		struct simulation *core = run(mem, &engine_core, seed);
		struct simulation *reference =
			run(mem, &engine_reference, seed);

		g_assert_cmpuint(core->callers->len, ==,
				 reference->callers->len);
		g_assert_cmpuint(checker_violations(&core->checker), ==, 0);
		for (guint i = 0; i < core->callers->len; i++) {
			const struct checker_intent *core_intent =
				intent_of(core, i);
			const struct checker_intent *reference_intent =
				intent_of(reference, i);

			g_assert_cmpuint(core_intent->answered_us, !=,
					 RJ_NEVER_US);
			g_assert_cmpuint(reference_intent->answered_us, !=,
					 RJ_NEVER_US);
			if (core_intent->answer != reference_intent->answer)
				g_test_message(
					"seed %u intent %u: %s, %s",
					(unsigned)seed, i,
					rj_answer_kind_string[core_intent
								      ->answer],
					rj_answer_kind_string
						[reference_intent->answer]);
			g_assert_cmpint(core_intent->answer, ==,
					reference_intent->answer);
			g_assert_cmpuint(core_intent->completed, ==,
					 core_intent->answer == RJ_ANSWER_DONE);
			if (may_differ(reference_intent))
				differing++;
			else
				g_assert_cmpuint(reference_intent->completed,
						 ==, core_intent->completed);
		}
		talloc_free(mem);
	}
	/* The permitted difference does occur. */
	g_assert_cmpuint(differing, >, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/differential/quiet",
			test_same_answers_without_faults);
	return g_test_run();
}
