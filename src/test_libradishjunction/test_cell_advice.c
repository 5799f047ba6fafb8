/*
 * Tests of queues for which an outside policy decides which workers may run a
 * step.
 */
#include "support/cell_fixture.h"

static const struct cell_sim_options site = {
	CELL_SITE(11, 3, 60, 10, 64),
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

/* Removes the advised queue from the configuration of all nodes. */
static void remove_queue(struct cell_sim *sim)
{
	for (uint32_t i = 0; i < sim->options.nodes; i++) {
		struct rj_cell_config *config = sim->nodes[i].node.config;

		for (uint32_t j = 0; j < config->queue_count; j++)
			if (config->queues[j].advised)
				g_strlcpy(config->queues[j].name, "removed",
					  RJ_NAME_BYTES);
	}
}

/* Submits a job of two steps, and removes its queue while the first one runs;
 * `recorded` is false if an earlier version has accepted it. */
static void check_removed_queue(struct cell_fixture *f, bool recorded)
{
	uint32_t first = 0;
	struct rj_cell_step steps[2] = { cell_sim_plain_step(2, 2, 1000),
					 cell_sim_plain_step(2, 2, 1000) };
	const struct rj_cell_node *owner =
		&f->sim.nodes[cell_sim_owner(&f->sim)].node;
	struct cell_client_job *job;

	steps[1].after = &first;
	steps[1].after_count = 1;
	job = cell_sim_job_new(&f->sim, "advised", "a", steps, 2, 2 * S);
	cell_sim_submit(&f->sim, 0, job);
	run_with_queries(f, job, 1);
	g_assert_cmpuint(job->starts, ==, 2);
	if (!recorded)
		rj_cell_view_find(&owner->view, job->id)->job_spec->advised =
			false;
	remove_queue(&f->sim);
	run_with_queries(f, job, 10);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	if (recorded)
		g_assert_cmpuint(f->sim.refused_starts, ==, 0);
}

/* Guards against an accepted job that stands still once its queue is removed:
 * its starts would carry no ticket. */
static void test_removed_queue(struct cell_fixture *f, const void *data)
{
	check_removed_queue(f, true);
}

/* The same for a job that an earlier version has accepted. */
static void test_removed_queue_of_an_earlier_version(struct cell_fixture *f,
						     const void *data)
{
	check_removed_queue(f, false);
}

/* Earlier versions write no flag at the end of a spec. */
static void test_spec_of_an_earlier_version(struct cell_fixture *f,
					    const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(2, 2, 1000);
	struct cell_client_job *job =
		cell_sim_job_new(&f->sim, "advised", "a", &step, 1, S);
	struct rj_cell_job_spec *decoded;
	struct rj_bytes bytes;
	struct rj_error err;

	job->spec->advised = true;
	bytes = rj_cell_job_spec_encode(f->sim.mem, job->spec);
	decoded = rj_cell_job_spec_decode(f->sim.mem, bytes, &err);
	g_assert_true(decoded && decoded->advised);
	bytes.length--;
	decoded = rj_cell_job_spec_decode(f->sim.mem, bytes, &err);
	g_assert_true(decoded && !decoded->advised);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CELL_TEST("/cell_advice/gang", &site,
		  test_gang_runs_on_allowed_workers);
	CELL_TEST("/cell_advice/renewed", &site, test_tickets_are_renewed);
	CELL_TEST("/cell_advice/silent", &site, test_unreachable_advisor);
	CELL_TEST("/cell_advice/removed", &site, test_removed_queue);
	CELL_TEST("/cell_advice/removed_earlier", &site,
		  test_removed_queue_of_an_earlier_version);
	CELL_TEST("/cell_advice/earlier_spec", &site,
		  test_spec_of_an_earlier_version);
	return g_test_run();
}
