#include <glib.h>

#include "support/faults.h"

/* Kept low for a short run; scripts/bench faults --place runs any number. */
#define SEEDS 4
#define TRIMMED_SEEDS 50
#define PARTITION_SEEDS 3

/* Runs one seed in which no invariant may be violated. */
static void check_seed(enum fault_setup_kind place, enum invariant invariant,
		       uint64_t seed)
{
	struct faults_result result;

	faults_result_init(&result);
	faults_run_at(&engine_core, place, invariant, seed, NULL, &result);
	g_assert_cmpuint(result.checks[invariant], >, 0);
	for (uint32_t i = 0; i < INVARIANT_COUNT; i++)
		g_assert_cmpstr(result.first[i], ==, "");
	faults_result_finish(&result);
}

/*
 * Three failure domains of four instances and twelve workers. Up to 24 faults
 * in a minute, of up to 16 s each: whole domains partitioned from the others
 * and from the platform, instances partitioned from each other, clocks that
 * drift up to 500 ppm, and callers that time out before a pause ends.
 */
static void test_large(gconstpointer data)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		check_seed(FAULT_SETUP_LARGE, GPOINTER_TO_UINT(data), seed);
}

/*
 * A region is partitioned from the others and from the platform for an hour
 * with jobs in progress, while their callers ask elsewhere. No job may run
 * twice, or be answered "not run" when it ran.
 */
static void test_region_partitioned_for_an_hour(void)
{
	struct faults_result result;

	faults_result_init(&result);
	for (uint64_t seed = 1; seed <= PARTITION_SEEDS; seed++)
		faults_run_isolated_region(&engine_core, seed, NULL, &result);
	for (uint32_t i = 0; i < INVARIANT_COUNT; i++)
		g_assert_cmpstr(result.first[i], ==, "");
	g_assert_cmpuint(result.unsettled, ==, 0);
	faults_result_finish(&result);
}

/* Records that were dropped before any live instance read them are lost. */
static void check_trimmed(enum invariant invariant, uint64_t seed)
{
	struct faults_result result;

	faults_result_init(&result);
	faults_run_at(&engine_core, FAULT_SETUP_TRIMMED, invariant, seed, NULL,
		      &result);
	for (uint32_t i = 0; i < INVARIANT_COUNT; i++)
		if (i != INVARIANT_ACCEPTED)
			g_assert_cmpstr(result.first[i], ==, "");
	faults_result_finish(&result);
}

/*
 * A reader must not take the beginning of a trimmed log for the whole log. The
 * platform drops records before their retention ends; an instance starts, takes
 * a used key for a new one, and the job runs twice, unless the other instances
 * append the dropped records again.
 */
static void test_trimmed_log(gconstpointer data)
{
	for (uint64_t seed = 1; seed <= TRIMMED_SEEDS; seed++)
		check_trimmed(GPOINTER_TO_UINT(data), seed);
}

/*
 * A "not run" of a peer must not be passed on for a job that ran before it was
 * forwarded. A job runs twice and fails; the third attempt is handed to a peer
 * whose worker refuses it, and the peer's answer is true only of itself.
 */
static void test_job_that_ran_before_it_was_forwarded(void)
{
	check_trimmed(INVARIANT_GANG, 75);
}

/*
 * A void record must not hide that the job ran. An accepted job runs, is
 * stopped for a guarantee, is claimed again without a start, and is cancelled.
 * The instance that settles the last attempt must find the first one in the
 * log, or it answers "not run".
 */
static void test_settled_attempt_was_not_the_first(void)
{
	check_trimmed(INVARIANT_ACCEPTED, 93);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (uint32_t i = 0; i < INVARIANT_COUNT; i++) {
		char *path = g_strdup_printf("/faults_large/%s",
					     invariant_string[i]);

		g_test_add_data_func(path, GUINT_TO_POINTER(i), test_large);
		g_free(path);
	}
	g_test_add_func("/faults_apart/hour",
			test_region_partitioned_for_an_hour);
	g_test_add_data_func("/faults_trimmed/once",
			     GUINT_TO_POINTER(INVARIANT_ONCE),
			     test_trimmed_log);
	g_test_add_data_func("/faults_trimmed/not_run",
			     GUINT_TO_POINTER(INVARIANT_NOT_RUN),
			     test_trimmed_log);
	g_test_add_func("/faults_trimmed/handed_on",
			test_job_that_ran_before_it_was_forwarded);
	g_test_add_func("/faults_trimmed/earlier_attempt",
			test_settled_attempt_was_not_the_first);
	return g_test_run();
}
