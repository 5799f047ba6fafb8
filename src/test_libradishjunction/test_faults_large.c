#include <glib.h>

#include "support/faults.h"

/* Few enough to be quick; scripts/bench faults --place runs any number. */
#define SEEDS 4
#define TRIMMED_SEEDS 50
#define PARTITION_SEEDS 3

/* Nothing at all may be violated in this run. */
static void check_seed(enum fault_place place, enum promise promise,
		       uint64_t seed)
{
	struct faults_result result;

	faults_result_init(&result);
	faults_run_at(&engine_core, place, promise, seed, NULL, &result);
	g_assert_cmpuint(result.checks[promise], >, 0);
	for (uint32_t i = 0; i < PROMISE_COUNT; i++)
		g_assert_cmpstr(result.first[i], ==, "");
	faults_result_finish(&result);
}

/*
 * Three failure domains of four instances and twelve workers, up to 24 faults
 * in a minute that last up to 16 s, whole domains cut off from the others and
 * from the platform at once, or their instances from each other, clocks that
 * run up to 500 ppm fast or slow, and callers that give up before a pause
 * ends.
 */
static void test_large(gconstpointer data)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		check_seed(FAULT_PLACE_LARGE, GPOINTER_TO_UINT(data), seed);
}

/*
 * A rep is told two prices, or that a quote did not run which did.
 * A region loses the others and the platform for an hour, with quotes and
 * renders under way there, and their callers ask elsewhere meanwhile.
 */
static void test_region_partitioned_for_an_hour(void)
{
	struct faults_result result;

	faults_result_init(&result);
	for (uint64_t seed = 1; seed <= PARTITION_SEEDS; seed++)
		faults_apart(&engine_core, seed, NULL, &result);
	for (uint32_t i = 0; i < PROMISE_COUNT; i++)
		g_assert_cmpstr(result.first[i], ==, "");
	g_assert_cmpuint(result.unsettled, ==, 0);
	faults_result_finish(&result);
}

/* What the log dropped before anybody alive had read it, nobody knows. */
static void check_trimmed(enum promise promise, uint64_t seed)
{
	struct faults_result result;

	faults_result_init(&result);
	faults_run_at(&engine_core, FAULT_PLACE_TRIMMED, promise, seed, NULL,
		      &result);
	for (uint32_t i = 0; i < PROMISE_COUNT; i++)
		if (i != PROMISE_ACCEPTED)
			g_assert_cmpstr(result.first[i], ==, "");
	faults_result_finish(&result);
}

/*
 * A student is charged twice.
 * The platform's log drops records that it should still keep; an instance
 * starts, reads what is left, and takes the student's key for a new one.
 * Cause: a reader took whatever the log began with for all that there was,
 * and nobody told the log again what it had dropped.
 */
static void test_trimmed_log(gconstpointer data)
{
	for (uint64_t seed = 1; seed <= TRIMMED_SEEDS; seed++)
		check_trimmed(GPOINTER_TO_UINT(data), seed);
}

/*
 * A tutor is told that a preview did not run; it had run, twice, and failed.
 * Its instance hands the third attempt to a peer, whose worker refuses it;
 * the peer says truly of itself that it ran nothing.
 * Cause: the peer's answer was passed on as it came.
 */
static void test_job_that_ran_before_it_was_forwarded(void)
{
	check_trimmed(PROMISE_GANG, 75);
}

/*
 * A tutor is told that a render did not run, and half of it had.
 * It is accepted, runs, and is stopped for another's guarantee; its next
 * attempt is claimed and not started, and it is cancelled. Who settles that
 * attempt hears that it never ran.
 * Cause: the log's void of the first attempt left no trace.
 */
static void test_settled_attempt_was_not_the_first(void)
{
	check_trimmed(PROMISE_ACCEPTED, 93);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (uint32_t i = 0; i < PROMISE_COUNT; i++) {
		char *path =
			g_strdup_printf("/faults_large/%s", promise_string[i]);

		g_test_add_data_func(path, GUINT_TO_POINTER(i), test_large);
		g_free(path);
	}
	g_test_add_func("/faults_apart/hour",
			test_region_partitioned_for_an_hour);
	g_test_add_data_func("/faults_trimmed/once",
			     GUINT_TO_POINTER(PROMISE_ONCE), test_trimmed_log);
	g_test_add_data_func("/faults_trimmed/not_run",
			     GUINT_TO_POINTER(PROMISE_NOT_RUN),
			     test_trimmed_log);
	g_test_add_func("/faults_trimmed/handed_on",
			test_job_that_ran_before_it_was_forwarded);
	g_test_add_func("/faults_trimmed/earlier_attempt",
			test_settled_attempt_was_not_the_first);
	return g_test_run();
}
