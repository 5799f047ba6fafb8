/*
 * Lists of completions that are longer than one answer of a worker.
 */
#include "support/cell_fixture.h"
#include "support/cell_load.h"

#define TASKS 1200
#define DURATION_US (3 * S)
/* How long the worker is partitioned, less than a lease. */
#define PARTITION_US (3500 * MS)

/* Six workers, each of which has room for all tasks; three nodes. */
static const struct cell_sim_options site = {
	.seed = 1,
	.nodes = 3,
	.workers = 6,
	.rack_workers = 2,
	.capacity = { 128000, 512000, 8 },
	.guaranteed = 8,
	.lease_max_ms = 10000,
};

/* Submits the job, and returns the worker with most of its runs once all have
 * started. */
static uint32_t start_job(struct cell_sim *sim, struct cell_client_job **job)
{
	const struct rj_cell_step step = { .task_count = TASKS,
					   .each = { 100, 100, 0 },
					   .estimate_ms = 5500 };
	uint32_t busiest = 0;

	*job = cell_sim_job_new(sim, "bulk", "a", &step, 1, DURATION_US);
	cell_sim_submit(sim, 0, *job);
	while ((*job)->starts < TASKS)
		cell_sim_run(sim, 20 * MS);
	for (uint32_t i = 1; i < sim->options.workers; i++)
		if (sim->workers[i].runs->len > sim->workers[busiest].runs->len)
			busiest = i;
	return busiest;
}

/* Heals the partition of a worker, and checks that the job completes without a
 * further start. */
static void check_after_partition(struct cell_sim *sim, uint32_t worker,
				  const struct cell_client_job *job)
{
	g_assert_cmpuint(sim->workers[worker].completions->len, >, 500);
	cell_sim_worker_partition(sim, worker, false);
	cell_load_run(sim, 5 * S);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(job->starts, ==, TASKS);
	cell_sim_check_final(sim);
}

/* Most tasks end on a worker while it is partitioned: those whose completions
 * are not in its first answer are not started again. */
static void test_tasks_that_ended_are_not_lost(struct cell_fixture *f,
					       const void *data)
{
	struct cell_client_job *job;
	uint32_t worker = start_job(&f->sim, &job);

	cell_sim_worker_partition(&f->sim, worker, true);
	cell_sim_run(&f->sim, PARTITION_US);
	check_after_partition(&f->sim, worker, job);
}

/* The same if the owner is replaced meanwhile: its successor sends no start
 * again before it has read all completions. */
static void
test_tasks_that_ended_are_not_lost_in_a_takeover(struct cell_fixture *f,
						 const void *data)
{
	struct cell_client_job *job;
	uint32_t worker = start_job(&f->sim, &job);
	uint32_t owner = (uint32_t)cell_sim_owner(&f->sim);
	const struct rj_cell_owner *successor;

	cell_sim_worker_partition(&f->sim, worker, true);
	cell_sim_node_kill(&f->sim, owner);
	cell_sim_run(&f->sim, PARTITION_US);
	g_assert_cmpint(cell_sim_owner(&f->sim), >=, 0);
	successor = &f->sim.nodes[cell_sim_owner(&f->sim)].node.owner;
	cell_sim_node_start(&f->sim, owner);
	check_after_partition(&f->sim, worker, job);
	g_assert_cmpuint(successor->counters.starts, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CELL_TEST("/cell/completion_lists/partition", &site,
		  test_tasks_that_ended_are_not_lost);
	CELL_TEST("/cell/completion_lists/takeover", &site,
		  test_tasks_that_ended_are_not_lost_in_a_takeover);
	return g_test_run();
}
