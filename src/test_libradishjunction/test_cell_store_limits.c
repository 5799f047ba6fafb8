/*
 * Records that the log does not accept: one that it rejects for its contents,
 * and progress that grows with the work of a job.
 */
#include <string.h>
#include <talloc.h>

#include "support/cell_fixture.h"
#include "support/cell_load.h"

/* Twelve workers with eight accelerators each in three racks; three nodes. */
static const struct cell_sim_options small = {
	.seed = 1,
	.nodes = 3,
	.workers = 12,
	.rack_workers = 4,
	.capacity = { 64000, 64000, 8 },
	.guaranteed = 32,
};

/* Submits a job of four tasks of one second. */
static struct cell_client_job *submit_small(struct cell_sim *sim,
					    const char *queue)
{
	struct rj_cell_step step = cell_sim_plain_step(4, 1, 1000);

	return cell_load_submit(sim, queue, "a", &step, S);
}

/* The log rejects the progress of one job for good: jobs of other queues
 * complete meanwhile, and the job itself once its record is accepted. */
static void test_a_rejected_record_holds_up_its_job_only(struct cell_fixture *f,
							 const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(12, 1, 1000);
	struct cell_client_job *rejected =
		cell_sim_job_new(&f->sim, "bulk", "b", &step, 1, S);
	char *key = g_strconcat("s", rejected->id, NULL);
	int owner = cell_sim_owner(&f->sim);

	f->sim.log.invalid_key = key;
	cell_sim_submit(&f->sim, 0, rejected);
	cell_load_run(&f->sim, S);
	for (uint32_t i = 0; i < 10; i++) {
		struct cell_client_job *job = submit_small(&f->sim, "urgent");

		cell_load_run(&f->sim, 2 * S);
		g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	}
	g_assert_true(rejected->accepted);
	g_assert_cmpuint(rejected->starts, ==, 0);
	g_assert_cmpint(cell_sim_owner(&f->sim), ==, owner);
	f->sim.log.invalid_key = NULL;
	cell_load_run(&f->sim, 4 * S);
	g_assert_cmpint(rejected->state, ==, RJ_CELL_JOB_COMPLETED);
	cell_sim_check_final(&f->sim);
	g_free(key);
}

/* The log begins to reject the progress of a job whose tasks run: their ends
 * are kept by the workers until they are stored, so that the next owner does not
 * start them again, while other jobs on the same workers complete. */
static void test_unstorable_ends_are_not_acknowledged(struct cell_fixture *f,
						      const void *data)
{
	uint32_t first = 0;
	struct rj_cell_step steps[2] = { cell_sim_plain_step(24, 1, 1000),
					 cell_sim_plain_step(1, 1, 1000) };
	struct cell_client_job *rejected;
	struct cell_client_job *other;
	uint32_t owner;
	char *key;

	steps[1].after = &first;
	steps[1].after_count = 1;
	rejected = cell_sim_job_new(&f->sim, "bulk", "b", steps, 2, 2 * S);
	key = g_strconcat("s", rejected->id, NULL);
	cell_sim_submit(&f->sim, 0, rejected);
	cell_load_run(&f->sim, S);
	g_assert_cmpuint(rejected->starts, ==, 24);
	f->sim.log.invalid_key = key;
	cell_load_run(&f->sim, 4 * S);
	other = submit_small(&f->sim, "urgent");
	cell_load_run(&f->sim, 3 * S);
	g_assert_cmpint(other->state, ==, RJ_CELL_JOB_COMPLETED);
	owner = (uint32_t)cell_sim_owner(&f->sim);
	cell_sim_node_kill(&f->sim, owner);
	f->sim.log.invalid_key = NULL;
	cell_load_run(&f->sim, 3 * S);
	cell_sim_node_start(&f->sim, owner);
	cell_load_run(&f->sim, 7 * S);
	g_assert_cmpint(rejected->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(rejected->starts, ==, 25);
	cell_sim_check_final(&f->sim);
	g_free(key);
}

/* The log rejects one of several submissions in an append: its caller is told
 * that it is not accepted, the callers of the others that theirs are. */
static void test_a_rejected_submission_spares_others(struct cell_fixture *f,
						     const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(2, 1, 500);
	struct cell_client_job *jobs[8];
	char *key = NULL;

	for (uint32_t i = 0; i < G_N_ELEMENTS(jobs); i++)
		jobs[i] = cell_sim_job_new(&f->sim, "normal", "a", &step, 1, S);
	key = g_strconcat("j", jobs[3]->id, NULL);
	f->sim.log.invalid_key = key;
	for (uint32_t i = 0; i < G_N_ELEMENTS(jobs); i++)
		cell_sim_submit(&f->sim, 0, jobs[i]);
	cell_load_run(&f->sim, 4 * S);
	for (uint32_t i = 0; i < G_N_ELEMENTS(jobs); i++) {
		g_assert_cmpint(jobs[i]->accepted, ==, i != 3);
		g_assert_cmpuint(jobs[i]->starts, ==, i != 3 ? 2 : 0);
	}
	cell_sim_check_final(&f->sim);
	g_free(key);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CELL_TEST("/cell/store_limits/rejected_record", &small,
		  test_a_rejected_record_holds_up_its_job_only);
	CELL_TEST("/cell/store_limits/unstorable_ends", &small,
		  test_unstorable_ends_are_not_acknowledged);
	CELL_TEST("/cell/store_limits/rejected_submission", &small,
		  test_a_rejected_submission_spares_others);
	return g_test_run();
}
