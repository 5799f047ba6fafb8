#include <glib.h>
#include <talloc.h>

#include "support/faults.h"

#define SEEDS 20
#define END_US (60 * RJ_US_PER_S)

/* Run the same callers against an engine; no fault strikes. */
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
 * Whether the naive version may answer otherwise. One reason only: a key that
 * was used at two instances at once. The naive version does not know of the
 * other one, so it runs the job twice; what it answers is of the first run.
 */
static bool may_differ(const struct checker_intent *naive)
{
	return naive->key && naive->ran > 1;
}

/*
 * Without faults the claims, read-backs and fences must not be seen by a
 * caller: each gets the same answer as from the plainest decisions, after
 * one run.
 */
static void test_same_answers_without_faults(void)
{
	uint32_t differing = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		void *mem = talloc_new(NULL);
		struct simulation *core = run(mem, &engine_core, seed);
		struct simulation *naive = run(mem, &engine_reference, seed);

		g_assert_cmpuint(core->callers->len, ==, naive->callers->len);
		g_assert_cmpuint(checker_violations(&core->checker), ==, 0);
		for (guint i = 0; i < core->callers->len; i++) {
			const struct checker_intent *one = intent_of(core, i);
			const struct checker_intent *two = intent_of(naive, i);

			g_assert_cmpuint(one->answered_us, !=, RJ_NEVER_US);
			g_assert_cmpuint(two->answered_us, !=, RJ_NEVER_US);
			if (one->answer != two->answer)
				g_test_message(
					"seed %u intent %u: %s, %s",
					(unsigned)seed, i,
					rj_answer_kind_string[one->answer],
					rj_answer_kind_string[two->answer]);
			g_assert_cmpint(one->answer, ==, two->answer);
			g_assert_cmpuint(one->completed, ==,
					 one->answer == RJ_ANSWER_DONE);
			if (may_differ(two))
				differing++;
			else
				g_assert_cmpuint(two->completed, ==,
						 one->completed);
		}
		talloc_free(mem);
	}
	/* The one way to differ does occur, and so is tested. */
	g_assert_cmpuint(differing, >, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/differential/quiet",
			test_same_answers_without_faults);
	return g_test_run();
}
