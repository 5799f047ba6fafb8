/*
 * Delays of the instances that try to acquire a cell.
 */
#include <glib.h>

#include "private/cell_acquire.h"
#include "radishjunction/types.h"

#define INSTANCES_MAX 6000
#define TOKENS 50
/* Mean number of instances that try before the first one's record is read. */
#define TRIES_MAX 12

/* Delays of some instances for one token, and the first of them. */
struct delays {
	uint64_t us[INSTANCES_MAX];
	uint64_t first_us;
};

static void compute(struct delays *delays, uint32_t instances, uint64_t token,
		    uint64_t answer_us)
{
	delays->first_us = UINT64_MAX;
	for (uint32_t i = 0; i < instances; i++) {
		char name[32];

		(void)g_snprintf(name, sizeof(name), "entry-%u", i);
		delays->us[i] =
			rj_cell_acquire_delay_us(name, token, answer_us);
		delays->first_us = MIN(delays->first_us, delays->us[i]);
	}
}

/* Checks how many of some instances try, and how long the first one waits. */
static void assert_few_try(uint32_t instances, uint64_t answer_us)
{
	struct delays *delays = g_new(struct delays, 1);
	uint32_t tries = 0;
	uint64_t wait_us = 0;

	for (uint64_t token = 1; token <= TOKENS; token++) {
		compute(delays, instances, token, answer_us);
		wait_us += delays->first_us;
		for (uint32_t i = 0; i < instances; i++)
			tries += delays->us[i] <=
				 delays->first_us + 2 * answer_us;
	}
	g_assert_cmpuint(tries, <=, TOKENS * TRIES_MAX);
	g_assert_cmpuint(wait_us, <=, TOKENS * 12 * answer_us);
	g_free(delays);
}

/* Guards against a takeover for which each instance of a large fleet appends a
 * record. */
static void test_tries_do_not_grow_with_the_fleet(void)
{
	assert_few_try(8, 8 * RJ_US_PER_MS);
	assert_few_try(600, 8 * RJ_US_PER_MS);
	assert_few_try(6000, 8 * RJ_US_PER_MS);
}

/* Guards against the same while the log answers slowly, so that no record is
 * seen for longer than usual. */
static void test_tries_do_not_grow_with_the_answer_time(void)
{
	assert_few_try(600, 100 * RJ_US_PER_MS);
	assert_few_try(6000, 100 * RJ_US_PER_MS);
}

/* Guards against takeovers that always wait for the same instance. */
static void test_order_differs_by_token(void)
{
	struct delays *delays = g_new(struct delays, 1);
	uint32_t firsts[8] = { 0 };

	for (uint64_t token = 1; token <= TOKENS; token++) {
		compute(delays, G_N_ELEMENTS(firsts), token, 8 * RJ_US_PER_MS);
		for (uint32_t i = 0; i < G_N_ELEMENTS(firsts); i++)
			firsts[i] += delays->us[i] == delays->first_us;
	}
	for (uint32_t i = 0; i < G_N_ELEMENTS(firsts); i++)
		g_assert_cmpuint(firsts[i], <, TOKENS / 2);
	g_free(delays);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell_acquire/fleet",
			test_tries_do_not_grow_with_the_fleet);
	g_test_add_func("/cell_acquire/slow_log",
			test_tries_do_not_grow_with_the_answer_time);
	g_test_add_func("/cell_acquire/order", test_order_differs_by_token);
	return g_test_run();
}
