/*
 * Runs that report no progress: stalled ones are stopped, and those of long tasks
 * are not taken for stalled.
 */
#include "support/cell_fixture.h"
#include "support/cell_load.h"

static const struct cell_sim_options site = {
	CELL_SITE(1, 3, 6, 3, 8),
};

/* One task, on sound workers or on workers of which the first ones stall. */
struct health_case {
	uint64_t duration_s;
	uint32_t estimate_ms;
	bool checkpoints;
	bool stalled;
	uint32_t starts_max; /* within `within_s` */
	uint64_t within_s;
	bool completes; /* within that time */
};

/* Guards against long tasks that are stopped for ever as their percentage is
 * coarse, and against stalled ones that nobody notices. */
static void test_progress(void)
{
	static const struct health_case cases[] = {
		/* A percent of a long task takes 6 s. */
		{ 600, 600000, false, false, 1, 800, true },
		/* Half an hour, with an estimate of ten minutes. */
		{ 1800, 600000, false, false, 1, 2400, true },
		/* The estimate is wrong, but checkpoints show the work. */
		{ 600, 5000, true, false, 1, 800, true },
		/* The estimate is wrong, and nothing else is known. */
		{ 600, 5000, false, false, 4, 900, true },
		{ 600, 0, false, false, 1, 800, true },
		/* Its worker stalls. */
		{ 8, 8000, false, true, 2, 6, false },
		{ 600, 600000, false, true, 2, 60, false },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct health_case *c = &cases[i];
		struct rj_cell_step step =
			cell_sim_plain_step(1, 8, c->estimate_ms);
		struct cell_fixture f;
		struct cell_client_job *job;

		cell_fixture_setup(&f, &site);
		step.checkpoints = c->checkpoints;
		job = cell_load_submit(&f.sim, "bulk", "a", &step,
				       c->duration_s * S);
		cell_load_run(&f.sim, 2 * S);
		if (c->stalled)
			f.sim.workers[cell_sim_busy_worker(&f.sim)].stalled =
				true;
		cell_load_run(&f.sim, c->within_s * S);
		g_assert_cmpuint(job->starts, <=, c->starts_max);
		g_assert_cmpint(c->completes, ==,
				job->state == RJ_CELL_JOB_COMPLETED);
		if (c->stalled)
			g_assert_cmpuint(job->starts, ==, 2);
		cell_fixture_teardown(&f, &site);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell_run_health/progress", test_progress);
	return g_test_run();
}
