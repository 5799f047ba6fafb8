/*
 * Preemption by work that is not urgent: each test replays a load on a simulated
 * site.
 */
#include "support/cell_fixture.h"
#include "support/cell_load.h"

/* 24 workers with eight accelerators each in six racks; three nodes. */
#define SITE                                                      \
	.seed = 17, .nodes = 3, .workers = 24, .rack_workers = 4, \
	.capacity = { 64000, 64000, 8 }, .guaranteed = 64
static const struct cell_sim_options site = { SITE };
static const struct cell_sim_options weighed = {
	SITE, .features = { .restore_ms = 600 }
};

/* Normal gangs that half fill the site over more batch tasks than fit. */
static void run_gangs_over_batch(struct cell_sim *sim)
{
	struct cell_load_stream streams[] = {
		{ "normal", "a", cell_sim_plain_step(8, 4, 6000), 6 * S,
		  1900 * MS, 0, 0 },
		{ "bulk", "b", cell_sim_plain_step(24, 1, 6000), 6 * S,
		  1300 * MS, 0, 0 },
	};

	streams[0].step.gang = true;
	cell_load_run_streams(sim, streams, G_N_ELEMENTS(streams), 60 * S,
			      NULL);
}

/* Returns the work that the same load loses without the feature. */
static uint64_t wasted_without_us(void)
{
	struct cell_fixture f;
	uint64_t wasted_us;

	cell_fixture_setup(&f, &site);
	run_gangs_over_batch(&f.sim);
	wasted_us = f.sim.wasted_us;
	cell_fixture_teardown(&f, &site);
	return wasted_us;
}

/* Utility that normal jobs receive at least, in percent. */
#define NORMAL_UTILITY_MIN_PERCENT 95

/*
 * Load: normal gangs on a site full of batch tasks.
 * Guards against gangs that each stop the batch tasks that have just started,
 * though they can wait for others to end.
 */
static void test_gangs_wait_within_their_slack(struct cell_fixture *f,
					       const void *data)
{
	uint64_t evaluated_until_us = f->sim.now_us + 36 * S;

	run_gangs_over_batch(&f->sim);
	g_assert_cmpuint(f->sim.wasted_us, <=, wasted_without_us() / 2);
	g_assert_cmpuint(cell_load_utility_percent(&f->sim, "normal",
						   evaluated_until_us),
			 >=, NORMAL_UTILITY_MIN_PERCENT);
}

/*
 * Load: the same, and urgent gangs.
 * Guards against urgent work that waits because a task has lost runs before.
 */
static void test_urgent_work_preempts_at_once(struct cell_fixture *f,
					      const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(4, 8, 2500);
	struct cell_client_job *job;

	step.gang = true;
	for (uint32_t i = 0; i < 4; i++) {
		cell_load_fill(&f->sim, 9, false, 60 * S);
		job = cell_load_submit(&f->sim, "urgent", "a", &step,
				       2500 * MS);
		cell_load_run(&f->sim, 4 * S);
		g_assert_cmpuint(job->begun_us, !=, 0);
		g_assert_cmpuint(job->begun_us - job->accepted_us, <, 2 * S);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CELL_TEST("/cell_preemption/slack", &weighed,
		  test_gangs_wait_within_their_slack);
	CELL_TEST("/cell_preemption/urgent", &weighed,
		  test_urgent_work_preempts_at_once);
	return g_test_run();
}
