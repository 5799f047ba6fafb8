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

/* Submits a job of one task, which is of the wrong length if the durations
 * differ. */
static struct cell_client_job *
submit_task(struct cell_sim *sim, const char *queue, uint32_t accelerators,
	    uint32_t estimate_ms, uint64_t duration_us)
{
	struct rj_cell_step step =
		cell_sim_plain_step(1, accelerators, estimate_ms);

	return cell_load_submit(sim, queue, "b", &step, duration_us);
}

/* Kills the owner, and starts its node again once another one owns the cell. */
static void replace_owner(struct cell_sim *sim)
{
	uint32_t owner = (uint32_t)cell_sim_owner(sim);

	cell_sim_node_kill(sim, owner);
	cell_load_run(sim, 3 * S);
	cell_sim_node_start(sim, owner);
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
		small[i] = submit_task(&f->sim, "bulk", 1, 25000, 25 * S);
	cell_load_run(&f->sim, 2 * S);
	for (guint i = 0; i < G_N_ELEMENTS(small); i++)
		g_assert_cmpuint(small[i]->starts, ==, 1);
}

/* The gang begins within this after the workers that it waits for are free. */
#define GANG_DELAY_MAX_US (1500 * MS)
#define BUSY_US (30 * S)
/* Starts of a task that comes beside the gang: two that were let in and are lost,
 * one as overdue, and one for each of two owners that are replaced. */
#define STARTS_MAX 5

/* A task comes each second; the owner is replaced at times. */
struct stream {
	const char *queue;
	uint32_t accelerators;
	uint32_t estimate_ms;
	uint64_t duration_us;
	uint32_t first_loss_s; /* of the owner; 0: none */
	uint32_t next_losses_s;
};

/* Whole workers, or parts of them; as long as they say, or much longer. */
static const struct stream streams[] = {
	{ "bulk", 1, 12000, 12 * S, 0, 0 },
	{ "bulk", 8, 12000, 12 * S, 0, 0 },
	{ "bulk", 8, 12000, 20 * S, 0, 0 },
	{ "bulk", 1, 8000, 40 * S, 0, 0 },
	{ "bulk", 8, 8000, 40 * S, 0, 0 },
	{ "bulk", 8, 5000, 120 * S, 0, 0 },
	{ "bulk", 8, 8000, 40 * S, 12, 15 },
	{ "bulk", 8, 8000, 40 * S, 26, 0 },
	{ "bulk", 8, 5000, 120 * S, 20, 10 },
	{ "normal", 1, 8000, 40 * S, 0, 0 },
	{ "normal", 8, 8000, 40 * S, 0, 0 },
	{ "normal", 8, 5000, 120 * S, 20, 10 },
	{ "normal", 1, 20000, 20 * S, 0, 0 },
	{ "normal", 8, 20000, 20 * S, 0, 0 },
	{ "normal", 8, 60000, 60 * S, 12, 15 },
	{ "bulk", 8, 60000, 60 * S, 0, 0 },
	{ "bulk", 8, 60000, 60 * S, 12, 15 },
};

/* Returns the highest number of starts of a job. */
static uint32_t most_starts(const struct cell_sim *sim)
{
	uint32_t most = 0;

	for (guint i = 0; i < sim->job_list->len; i++) {
		const struct cell_client_job *job = sim->job_list->pdata[i];

		most = MAX(most, job->starts);
	}
	return most;
}

/*
 * Load: three workers are busy for 30 s, a gang waits for one, and a task comes
 * each second.
 * Guards against a gang that waits for tasks that were let in, whatever they say
 * and however often the owner is replaced; against tasks that are kept out, and
 * those that are stopped for the gang again and again.
 */
static void test_gang_begins_as_soon_as_it_can(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(streams); i++) {
		const struct stream *stream = &streams[i];
		uint32_t next_loss_s = stream->first_loss_s;
		struct cell_client_job *first = NULL;
		struct cell_client_job *busy;
		struct cell_client_job *gang;
		struct cell_fixture f;

		cell_fixture_setup(&f, &site);
		busy = keep_busy(&f.sim, BUSY_US);
		gang = submit_gang(&f.sim);
		while (!gang->begun_us &&
		       f.sim.now_us < busy->begun_us + 5 * BUSY_US) {
			struct cell_client_job *job;

			cell_load_run(&f.sim, S);
			job = submit_task(
				&f.sim, stream->queue, stream->accelerators,
				stream->estimate_ms, stream->duration_us);
			if (!first)
				first = job;
			if (next_loss_s &&
			    f.sim.now_us >= busy->begun_us + next_loss_s * S) {
				replace_owner(&f.sim);
				next_loss_s =
					stream->next_losses_s ?
						next_loss_s +
							stream->next_losses_s :
						0;
			}
		}
		g_test_message("stream %u", i);
		g_assert_cmpuint(gang->begun_us, >, 0);
		g_assert_cmpuint(gang->begun_us - busy->begun_us, <=,
				 BUSY_US + GANG_DELAY_MAX_US);
		g_assert_nonnull(first);
		g_assert_cmpuint(first->starts, >=, 1);
		g_assert_cmpuint(most_starts(&f.sim), <=, STARTS_MAX);
		cell_fixture_teardown(&f, &site);
	}
}

/* Guards against tasks that are let in although they may not end in time: less
 * than twice their length is left, they never end, or their length is not
 * known. */
static void test_tasks_that_keep_off_a_promise(struct cell_fixture *f,
					       const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 8, 1000);
	struct cell_client_job *jobs[3];

	(void)keep_busy(&f->sim, BUSY_US);
	(void)submit_gang(&f->sim);
	cell_load_run(&f->sim, 8 * S);
	jobs[0] = submit_task(&f->sim, "bulk", 1, 12000, 12 * S);
	jobs[1] = submit_task(&f->sim, "bulk", 1, 0, BUSY_US);
	step.perpetual = true;
	jobs[2] = cell_load_submit(&f->sim, "bulk", "b", &step, 0);
	cell_load_run(&f->sim, S); /* none of them is overdue yet */
	for (guint i = 0; i < G_N_ELEMENTS(jobs); i++)
		g_assert_cmpuint(jobs[i]->starts, ==, 0);
}

/* Time in which a task has to begin beside capacity that stands idle. */
#define IDLE_MAX_US (3 * S)

/*
 * Load: four workers are idle for 22 s more, beside a gang that waits for a
 * fifth, and a gang of two comes that would not end in half of that time.
 * Guards against a gang that waits although most of the site is idle, and against
 * the first gang waiting for it.
 */
static void test_idle_capacity_is_lent(struct cell_fixture *f, const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(2, 8, 20000);
	struct cell_client_job *busy = keep_busy(&f->sim, BUSY_US);
	struct cell_client_job *gang = submit_gang(&f->sim);
	struct cell_client_job *lent;

	step.gang = true;
	cell_load_run(&f->sim, 8 * S);
	lent = cell_load_submit(&f->sim, "normal", "a", &step, 20 * S);
	cell_load_run(&f->sim, IDLE_MAX_US);
	g_assert_cmpuint(lent->starts, ==, 2);
	cell_load_run(&f->sim, BUSY_US);
	g_assert_cmpuint(gang->begun_us - busy->begun_us, <=,
			 BUSY_US + GANG_DELAY_MAX_US);
	cell_load_run(&f->sim, 2 * BUSY_US);
	g_assert_cmpint(lent->state, ==, RJ_CELL_JOB_COMPLETED);
}

/*
 * Load: urgent tasks, accepted after a gang, hold the workers that it waits for
 * when all earlier runs have ended.
 * Guards against promises that count as due while nothing can be stopped for
 * them, and keep the free workers idle.
 */
static void test_promise_that_is_put_off(struct cell_fixture *f,
					 const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(3, 8, 60000);
	struct cell_client_job *gang;
	struct cell_client_job *small;

	(void)keep_busy(&f->sim, 10 * S);
	gang = submit_gang(&f->sim);
	cell_load_run(&f->sim, S);
	(void)cell_load_submit(&f->sim, "urgent", "a", &step, 60 * S);
	cell_load_run(&f->sim, 12 * S);
	g_assert_cmpuint(gang->begun_us, ==, 0);
	small = submit_task(&f->sim, "normal", 1, 5000, 5 * S);
	cell_load_run(&f->sim, IDLE_MAX_US);
	g_assert_cmpuint(small->starts, ==, 1);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CELL_TEST("/backfill/small", &site,
		  test_small_tasks_run_beside_a_promise);
	g_test_add_func("/backfill/gang", test_gang_begins_as_soon_as_it_can);
	CELL_TEST("/backfill/kept_off", &site,
		  test_tasks_that_keep_off_a_promise);
	CELL_TEST("/backfill/lent", &site, test_idle_capacity_is_lent);
	CELL_TEST("/backfill/put_off", &site, test_promise_that_is_put_off);
	return g_test_run();
}
