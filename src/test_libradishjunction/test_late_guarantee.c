#include <glib.h>

#include "support/faults.h"

/* Plays a seed under which no guaranteed shape may start late. */
static void run_seed(uint64_t seed)
{
	struct faults_result result;

	faults_result_init(&result);
	faults_run(&engine_core, INVARIANT_GUARANTEE, seed, NULL, &result);
	g_assert_cmpstr(result.first[INVARIANT_GUARANTEE], ==, "");
	faults_result_finish(&result);
}

/* Guards against a guaranteed job that waits for its own reservation while its
 * shape is free elsewhere. */
static void test_freed_shape_is_seen_in_time(void)
{
	run_seed(6569);
}

/* Guards against a guaranteed job that stays at an instance that no longer owns
 * its rack, as the new owner has forwarded it there and refuses it. */
static void test_forwarded_job_returns_to_the_owner(void)
{
	run_seed(92009905);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/late_guarantee/lost_report",
			test_freed_shape_is_seen_in_time);
	g_test_add_func("/late_guarantee/forwarded",
			test_forwarded_job_returns_to_the_owner);
	return g_test_run();
}
