/*
 * Tasks that start on capacity which is promised to a gang for later: that they
 * do not wait beside idle workers, and that the gang does not wait for them.
 */
#include "support/cell_fixture.h"
#include "support/cell_load.h"

#define WORKERS 7
#define BUSY_TASKS 3
#define GANG_TASKS 5

/* Seven workers with eight accelerators each in two racks; three nodes. */
static const struct cell_sim_options site = {
	CELL_SITE(1, 3, WORKERS, 4, 8),
};

/* Starts tasks that keep three workers busy for `duration_us`, as estimated. */
static struct cell_client_job *keep_busy(struct cell_sim *sim,
					 uint64_t duration_us)
{
	struct rj_cell_step step = cell_sim_plain_step(
		BUSY_TASKS, 8, (uint32_t)(duration_us / MS));
	struct cell_client_job *job =
		cell_load_submit(sim, "normal", "a", &step, duration_us);

	cell_load_run(sim, S);
	g_assert_cmpuint(job->starts, ==, BUSY_TASKS);
	return job;
}

/* Submits a gang that needs five whole workers. */
static struct cell_client_job *submit_gang(struct cell_sim *sim)
{
	struct rj_cell_step step = cell_sim_plain_step(GANG_TASKS, 8, 20000);

	step.gang = true;
	return cell_load_submit(sim, "normal", "a", &step, 20 * S);
}

/* Submits a job of one small task. */
static struct cell_client_job *
submit_small(struct cell_sim *sim, uint32_t estimate_ms, uint64_t duration_us)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, estimate_ms);

	return cell_load_submit(sim, "bulk", "b", &step, duration_us);
}

/* Runs until a job has begun. Returns when, or fails after `max_us`. */
static uint64_t begin_of(struct cell_sim *sim,
			 const struct cell_client_job *job, uint64_t max_us)
{
	uint64_t until_us = sim->now_us + max_us;

	while (!job->begun_us && sim->now_us < until_us)
		cell_load_run(sim, 100 * MS);
	g_assert_cmpuint(job->begun_us, >, 0);
	return job->begun_us;
}

/*
 * Load: a gang waits for one of three workers for 110 s, four are idle.
 * Guards against small tasks that wait beside them although they would end long
 * before the gang can start.
 */
static void test_small_tasks_run_beside_a_promise(struct cell_fixture *f,
						  const void *data)
{
	struct cell_client_job *small[3] = { NULL };

	(void)keep_busy(&f->sim, 110 * S);
	submit_gang(&f->sim);
	cell_load_run(&f->sim, S);
	for (guint i = 0; i < G_N_ELEMENTS(small); i++)
		small[i] = submit_small(&f->sim, 25000, 25 * S);
	cell_load_run(&f->sim, 2 * S);
	for (guint i = 0; i < G_N_ELEMENTS(small); i++)
		g_assert_cmpuint(small[i]->starts, ==, 1);
}

/* The gang begins within this after the workers that it waits for are free. */
#define GANG_DELAY_MAX_US (1500 * MS)

/*
 * Load: three workers are busy for 30 s, a gang waits for one, and a small job
 * comes each second, as long as it says.
 * Guards against a gang that waits for them.
 */
static void test_gang_begins_as_soon_as_it_can(struct cell_fixture *f,
					       const void *data)
{
	struct cell_client_job *busy = keep_busy(&f->sim, 30 * S);
	struct cell_client_job *gang = submit_gang(&f->sim);
	uint32_t begun = 0;
	struct cell_client_job *first;
	struct cell_client_job *third = NULL;

	cell_load_run(&f->sim, S);
	first = submit_small(&f->sim, 12000, 12 * S);
	for (uint32_t i = 1; i < 40 && !gang->begun_us; i++) {
		struct cell_client_job *small;

		cell_load_run(&f->sim, S);
		small = submit_small(&f->sim, 12000, 12 * S);
		if (i == 2)
			third = small;
		begun = i;
	}
	g_assert_nonnull(third);
	g_assert_cmpuint(begin_of(&f->sim, gang, S), <=,
			 busy->begun_us + 30 * S + GANG_DELAY_MAX_US);
	g_assert_cmpuint(first->starts, ==, 1);
	g_assert_cmpuint(third->starts, ==, 1);
	g_assert_cmpuint(begun, >, 25);
}

/*
 * Load: the same, but each small task takes five times as long as it says, and
 * they never cease to come.
 * Guards against a gang that starves: its start may move by what was let in
 * before it was due, and by nothing later.
 */
static void test_wrong_estimates_delay_a_gang_once(struct cell_fixture *f,
						   const void *data)
{
	struct cell_client_job *busy = keep_busy(&f->sim, 30 * S);
	struct cell_client_job *gang = submit_gang(&f->sim);

	for (uint32_t i = 0; i < 80 && !gang->begun_us; i++) {
		cell_load_run(&f->sim, S);
		submit_small(&f->sim, 8000, 40 * S);
	}
	/* Tasks of 8 s are let in until 16 s before its start is due. */
	g_assert_cmpuint(begin_of(&f->sim, gang, S), <=,
			 busy->begun_us + (30 - 16 + 40) * S +
				 GANG_DELAY_MAX_US);
}

/* Guards against tasks that are let in beside a promise although it is not known
 * how long they run, or they never end. */
static void test_endless_tasks_keep_off_a_promise(struct cell_fixture *f,
						  const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 8, 1000);
	struct cell_client_job *unknown;
	struct cell_client_job *perpetual;
	struct cell_client_job *gang;
	struct cell_client_job *busy = keep_busy(&f->sim, 10 * S);

	gang = submit_gang(&f->sim);
	cell_load_run(&f->sim, S);
	unknown = submit_small(&f->sim, 0, 30 * S);
	step.perpetual = true;
	perpetual = cell_load_submit(&f->sim, "bulk", "b", &step, 0);
	cell_load_run(&f->sim, S); /* none of them is overdue yet */
	g_assert_cmpuint(unknown->starts, ==, 0);
	g_assert_cmpuint(perpetual->starts, ==, 0);
	g_assert_cmpuint(begin_of(&f->sim, gang, 20 * S), <=,
			 busy->begun_us + 10 * S + GANG_DELAY_MAX_US);
}

/*
 * Load: as with wrong estimates, and the owner is replaced again and again.
 * Guards against successors that take the tasks which were let in for work that
 * the gang has to wait for, and let in more.
 */
static void test_takeovers_let_in_no_more(struct cell_fixture *f,
					  const void *data)
{
	struct cell_client_job *busy = keep_busy(&f->sim, 30 * S);
	struct cell_client_job *gang = submit_gang(&f->sim);

	for (uint32_t i = 0; i < 90 && !gang->begun_us; i++) {
		cell_load_run(&f->sim, S);
		submit_small(&f->sim, 8000, 40 * S);
		if (i % 12 == 11) {
			uint32_t owner = (uint32_t)cell_sim_owner(&f->sim);

			cell_sim_node_kill(&f->sim, owner);
			cell_load_run(&f->sim, 3 * S);
			cell_sim_node_start(&f->sim, owner);
		}
	}
	/* Besides, one takeover. */
	g_assert_cmpuint(begin_of(&f->sim, gang, S), <=,
			 busy->begun_us + (30 - 16 + 40) * S + 3 * S +
				 GANG_DELAY_MAX_US);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CELL_TEST("/backfill/small", &site,
		  test_small_tasks_run_beside_a_promise);
	CELL_TEST("/backfill/gang", &site, test_gang_begins_as_soon_as_it_can);
	CELL_TEST("/backfill/wrong_estimates", &site,
		  test_wrong_estimates_delay_a_gang_once);
	CELL_TEST("/backfill/endless", &site,
		  test_endless_tasks_keep_off_a_promise);
	CELL_TEST("/backfill/takeovers", &site, test_takeovers_let_in_no_more);
	return g_test_run();
}
