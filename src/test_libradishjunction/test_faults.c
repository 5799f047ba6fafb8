#include <glib.h>

#include "support/faults.h"

/* Few enough to be quick; scripts/bench faults runs any number. */
#define SEEDS 40

/* Violations of `promise` in its own profile's first seeds. */
static uint32_t violations_of(const struct engine_ops *engine,
			      enum promise promise)
{
	struct faults_result result;
	uint32_t count;

	faults_result_init(&result);
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		faults_run(engine, promise, seed, NULL, &result);
	g_assert_cmpuint(result.checks[promise], >, 0);
	count = result.violations[promise];
	if (count)
		g_test_message("%s", result.first[promise]);
	faults_result_finish(&result);
	return count;
}

static void test_promise_holds(gconstpointer data)
{
	enum promise promise = GPOINTER_TO_UINT(data);

	g_assert_cmpuint(violations_of(&engine_core, promise), ==, 0);
}

/*
 * The same faults against decisions without claims, read-back, fences and
 * reclaim: if these were not seen to fail, the proof would prove nothing.
 */
static void test_naive_version_breaks_promise(gconstpointer data)
{
	enum promise promise = GPOINTER_TO_UINT(data);

	g_assert_cmpuint(violations_of(&engine_naive, promise), >, 0);
}

/* A seed that once failed: nothing at all may be violated in it. */
static void check_seed(enum promise promise, uint64_t seed)
{
	struct faults_result result;

	faults_result_init(&result);
	faults_run(&engine_core, promise, seed, NULL, &result);
	for (uint32_t i = 0; i < PROMISE_COUNT; i++)
		g_assert_cmpstr(result.first[i], ==, "");
	faults_result_finish(&result);
}

/*
 * A quote with an empty body is priced.
 * The owner of a claim dies; a buyer looks its job up at another instance,
 * which settles the claim as never started and starts the job anew.
 * Cause: a claim in the log has no body, and the look-up brought none.
 */
static void test_job_known_from_its_claim_is_not_started(void)
{
	check_seed(PROMISE_ONCE, 277);
	check_seed(PROMISE_NOT_RUN, 73);
}

/*
 * A tutor is told that a preview ran and failed; no worker ever saw it.
 * Its start is lost on the way, the retry budget is spent, and the job is
 * given up.
 * Cause: a start that was sent was taken for a task that ran.
 */
static void test_lost_start_is_not_a_failed_run(void)
{
	check_seed(PROMISE_GANG, 49);
	check_seed(PROMISE_NOT_RUN, 87);
}

/* Promises that the core keeps in every seed that was run. */
static const enum promise held[] = { PROMISE_GANG,    PROMISE_ANSWER,
				     PROMISE_NOT_RUN, PROMISE_CONFIG,
				     PROMISE_ONCE,    PROMISE_LEAVING,
				     PROMISE_STOP };

/* Promises that the naive version breaks within the seeds of this test. */
static const enum promise broken[] = { PROMISE_GANG,	PROMISE_ANSWER,
				       PROMISE_NOT_RUN, PROMISE_ONCE,
				       PROMISE_LEAVING, PROMISE_STOP,
				       PROMISE_CONFIG,	PROMISE_ACCEPTED };

static void add_promise(const char *prefix, enum promise promise,
			GTestDataFunc test)
{
	char *path = g_strdup_printf("/faults/%s/%s", prefix,
				     promise_string[promise]);

	g_test_add_data_func(path, GUINT_TO_POINTER(promise), test);
	g_free(path);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < sizeof(held) / sizeof(held[0]); i++)
		add_promise("core", held[i], test_promise_holds);
	for (size_t i = 0; i < sizeof(broken) / sizeof(broken[0]); i++)
		add_promise("naive", broken[i],
			    test_naive_version_breaks_promise);
	g_test_add_func("/faults/body",
			test_job_known_from_its_claim_is_not_started);
	g_test_add_func("/faults/lost_start",
			test_lost_start_is_not_a_failed_run);
	return g_test_run();
}
