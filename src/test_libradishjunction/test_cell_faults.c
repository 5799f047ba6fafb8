/*
 * Checks the users' rules under seeded random fault injection. `--seeds N
 * --from K` runs N seeds from K on, and `--trace K` prints the log events of
 * one seed; with `restarts` or `departures` before these, of that profile.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support/cell_faults.h"

#define SEEDS 60
#define RESTART_SEEDS 20
#define DEPARTURE_SEEDS 6

/* Runs some seeds; returns how many violated a rule. */
static uint32_t run_seeds(enum cell_fault_profile profile, uint64_t from,
			  uint64_t count, bool verbose)
{
	uint32_t broken = 0;
	uint64_t accepted = 0;
	uint64_t completed = 0;
	uint64_t longest_us = 0;

	for (uint64_t seed = from; seed < from + count; seed++) {
		struct cell_fault_result result;

		cell_faults_run(profile, seed, false, &result);
		accepted += result.accepted;
		completed += result.completed;
		if (verbose && result.longest_us > longest_us)
			printf("# seed %" G_GUINT64_FORMAT
			       ": %s stands still %.1f s after a fault\n",
			       seed, result.longest,
			       (double)result.longest_us / (double)S);
		longest_us = MAX(longest_us, result.longest_us);
		if (result.violations) {
			broken++;
			printf("# seed %" G_GUINT64_FORMAT ": %u: %s\n", seed,
			       result.violations, result.first_violation);
		}
		g_free(result.first_violation);
	}
	if (verbose)
		printf("{\"seeds\":%" G_GUINT64_FORMAT ",\"broken\":%u,"
		       "\"accepted\":%" G_GUINT64_FORMAT
		       ",\"completed\":%" G_GUINT64_FORMAT "}\n",
		       count, broken, accepted, completed);
	/* A simulation that serves too few jobs checks nothing. */
	g_assert_cmpuint(completed, >, accepted / 2);
	return broken;
}

/*
 * Seeds for which the checks once wrongly reported a violation:
 * 16012: a query made before a job's end was reported returned the earlier
 * state, which is allowed;
 * 72140: a worker executed a start 5.9 s late, after its job had been
 * cancelled, which is allowed; the owner has to stop the run;
 * 170013: the fake log dropped a draining worker's entry before it could have
 * expired.
 */
static void test_regression_seeds(void)
{
	g_assert_cmpuint(run_seeds(CELL_FAULTS_ALL, 16012, 1, false), ==, 0);
	g_assert_cmpuint(run_seeds(CELL_FAULTS_ALL, 72140, 1, false), ==, 0);
	g_assert_cmpuint(run_seeds(CELL_FAULTS_ALL, 170013, 1, false), ==, 0);
}

/* Guards against a violation of the rules in any of the first seeds. */
static void test_short_run(void)
{
	g_assert_cmpuint(run_seeds(CELL_FAULTS_ALL, 1, SEEDS, false), ==, 0);
}

/* Guards against what one incarnation of a worker has said counting for the
 * next one. */
static void test_restarted_workers(void)
{
	g_assert_cmpuint(
		run_seeds(CELL_FAULTS_RESTARTS, 1, RESTART_SEEDS, false), ==,
		0);
}

/* Guards against work that could run and does not after workers have left, were
 * lost or came back under their ids and owners were replaced. In seeds 1132, 2043
 * and 2101 jobs that fail make most workers suspect. */
static void test_departures(void)
{
	static const uint64_t kept[] = { 1132, 2043, 2101 };

	for (guint i = 0; i < G_N_ELEMENTS(kept); i++)
		g_assert_cmpuint(
			run_seeds(CELL_FAULTS_DEPARTURES, kept[i], 1, false),
			==, 0);
	g_assert_cmpuint(
		run_seeds(CELL_FAULTS_DEPARTURES, 1, DEPARTURE_SEEDS, false),
		==, 0);
}

int main(int argc, char **argv)
{
	enum cell_fault_profile profile = CELL_FAULTS_ALL;

	if (argc > 1 &&
	    (!strcmp(argv[1], "restarts") || !strcmp(argv[1], "departures"))) {
		profile = argv[1][0] == 'r' ? CELL_FAULTS_RESTARTS :
					      CELL_FAULTS_DEPARTURES;
		argc--;
		argv++;
	}
	if (argc == 5 && !strcmp(argv[1], "--seeds"))
		return run_seeds(profile, strtoull(argv[4], NULL, 10),
				 strtoull(argv[2], NULL, 10), true) != 0;
	if (argc == 3 && !strcmp(argv[1], "--trace")) {
		struct cell_fault_result result;

		cell_faults_run(profile, strtoull(argv[2], NULL, 10), true,
				&result);
		printf("%u: %s\n", result.violations,
		       result.first_violation ? result.first_violation : "");
		return result.violations != 0;
	}
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell_faults/kept", test_regression_seeds);
	g_test_add_func("/cell_faults/short", test_short_run);
	g_test_add_func("/cell_faults/restarts", test_restarted_workers);
	g_test_add_func("/cell_faults/departures", test_departures);
	return g_test_run();
}
