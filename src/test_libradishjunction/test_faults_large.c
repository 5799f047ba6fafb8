#include <glib.h>

#include "support/faults.h"

/* Few enough to be quick; scripts/bench faults --place runs any number. */
#define SEEDS 4

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

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (uint32_t i = 0; i < PROMISE_COUNT; i++) {
		char *path =
			g_strdup_printf("/faults_large/%s", promise_string[i]);

		g_test_add_data_func(path, GUINT_TO_POINTER(i), test_large);
		g_free(path);
	}
	return g_test_run();
}
