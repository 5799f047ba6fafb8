/*
 * Tests of queues for which an outside policy decides which workers may run a
 * step.
 */
#include "support/cell_fixture.h"

static const struct cell_sim_options site = {
	.seed = 11,
	.nodes = 3,
	.workers = 60,
	.rack_workers = 10,
	.capacity = { 64000, 64000, 8 },
	.guaranteed = 64,
};

/* Submits a job to the advised queue. */
static struct cell_client_job *submit_job(struct cell_fixture *f,
					  const struct rj_cell_step *step,
					  uint64_t duration_us)
{
	struct cell_client_job *job =
		cell_sim_job_new(&f->sim, "advised", "a", step, 1, duration_us);

	cell_sim_submit(&f->sim, 0, job);
	return job;
}

/* Advances the time while the client polls the job, until it ends. */
static void run_with_queries(struct cell_fixture *f,
			     struct cell_client_job *job, uint32_t seconds)
{
	for (uint32_t i = 0; i < seconds * 10 && !job->ended_us; i++) {
		cell_sim_run(&f->sim, 100 * MS);
		cell_sim_query(&f->sim, 1, job);
	}
}

/*
 * Guards against a job of an advised queue that waits for ever because no node
 * asks the policy. Three of four workers may run it, and they reject starts
 * without a ticket.
 */
static void test_gang_runs_on_allowed_workers(struct cell_fixture *f,
					      const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(40, 8, 2000);
	struct cell_client_job *job;

	step.gang = true;
	job = submit_job(f, &step, 2 * S);
	run_with_queries(f, job, 10);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(f->sim.refused_starts, ==, 0);
	/* Two requests are enough to name all workers. */
	g_assert_cmpuint(f->sim.advice_requests, <=, 3);
}

/*
 * Guards against starts with expired tickets: the step has more tasks than fit
 * its workers at once, and its tickets expire before there is free capacity
 * again.
 */
static void test_tickets_are_renewed(struct cell_fixture *f, const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(120, 8, 2000);
	struct cell_client_job *job = submit_job(f, &step, 4 * S);

	run_with_queries(f, job, 40);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(f->sim.refused_starts, ==, 0);
}

/*
 * Guards against a job that is never started after the policy did not answer
 * for some seconds and the owner was killed meanwhile.
 */
static void test_unreachable_advisor(struct cell_fixture *f, const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(2, 2, 1000);
	struct cell_client_job *job;
	uint32_t owner = (uint32_t)cell_sim_owner(&f->sim);

	f->sim.advisor_unreachable = true;
	job = submit_job(f, &step, S);
	run_with_queries(f, job, 2);
	g_assert_cmpuint(job->starts, ==, 0);
	cell_sim_node_kill(&f->sim, owner);
	f->sim.advisor_unreachable = false;
	cell_sim_run(&f->sim, S);
	cell_sim_node_start(&f->sim, owner);
	run_with_queries(f, job, 12);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CELL_TEST("/cell_advice/gang", &site,
		  test_gang_runs_on_allowed_workers);
	CELL_TEST("/cell_advice/renewed", &site, test_tickets_are_renewed);
	CELL_TEST("/cell_advice/silent", &site, test_unreachable_advisor);
	return g_test_run();
}
