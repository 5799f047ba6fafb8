/*
 * Cost of an owner in a large fleet: it follows the load, not the number of
 * workers.
 */
#include <string.h>
#include <talloc.h>

#include "support/cell_sim.h"

#define LARGE_WORKERS 3000
/* Calls to workers per second that a quarter of a core makes beside its other
 * tasks; see docs/CAPACITY.md. */
#define POLLS_PER_S_MAX 320
/* Jobs of 100 tasks, and what an instance may read for each: its spec, its
 * states, and heartbeats of the owner. */
#define JOB_COUNT 20
#define JOB_BYTES_MAX 1500

/* Starts a simulation of two nodes without faults. */
static void start_sim(struct cell_sim *sim, uint32_t workers)
{
	const struct cell_sim_options options = {
		.seed = 3,
		.nodes = 2,
		.workers = workers,
		.rack_workers = 20,
		.capacity = { 64000, 64000, 8 },
		.guaranteed = 64,
	};

	cell_sim_init(sim, &options);
}

/* Counts the owner's polls in the next seconds. */
static uint64_t polls_in(struct cell_sim *sim, uint32_t seconds)
{
	int owner = cell_sim_owner(sim);
	uint64_t before;

	g_assert_cmpint(owner, >=, 0);
	before = sim->nodes[owner].node.owner.counters.polls;
	cell_sim_run(sim, seconds * S);
	g_assert_cmpint(cell_sim_owner(sim), ==, owner);
	return sim->nodes[owner].node.owner.counters.polls - before;
}

/*
 * Guards against jobs that are no longer served when a site grows to 3,000
 * workers. If the owner polls each worker every 1.5 s, idle or not, a quarter
 * of a core cannot make the 2,000 calls per second; calls time out, and all
 * workers count as unreachable.
 */
static void test_idle_workers_are_polled_rarely(void)
{
	struct cell_sim *sim = g_new0(struct cell_sim, 1);

	start_sim(sim, LARGE_WORKERS);
	cell_sim_run(sim, 20 * S);
	g_assert_cmpuint(polls_in(sim, 10), <, 10 * POLLS_PER_S_MAX);
	cell_sim_finish(sim);
	g_free(sim);
}

/*
 * Guards against polling the workers of a small site less often.
 */
static void test_small_site_is_polled_often(void)
{
	struct cell_sim *sim = g_new0(struct cell_sim, 1);

	start_sim(sim, 48);
	cell_sim_run(sim, 5 * S);
	g_assert_cmpuint(polls_in(sim, 6), >=, 48 * 3);
	cell_sim_finish(sim);
	g_free(sim);
}

/*
 * Guards against a job that waits after a takeover until the successor has
 * contacted all workers of a large site, and against leases that are not
 * renewed meanwhile.
 */
static void test_large_site_serves_after_a_takeover(void)
{
	struct cell_sim *sim = g_new0(struct cell_sim, 1);
	struct rj_cell_step step = cell_sim_plain_step(24, 8, 3000);
	struct cell_client_job *job;

	start_sim(sim, LARGE_WORKERS);
	cell_sim_run(sim, 10 * S);
	job = cell_sim_job_new(sim, "normal", "a", &step, 1, 9 * S);
	cell_sim_submit(sim, 0, job);
	cell_sim_run(sim, 2 * S);
	g_assert_true(job->accepted);
	cell_sim_node_kill(sim, (uint32_t)cell_sim_owner(sim));
	cell_sim_run(sim, 500 * MS);
	cell_sim_node_start(sim, 0);
	cell_sim_node_start(sim, 1);
	for (int i = 0; i < 120 && !job->ended_us; i++) {
		cell_sim_run(sim, 200 * MS);
		cell_sim_query(sim, 1, job);
	}
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(sim->wasted_us, ==, 0);
	g_assert_cmpuint(sim->violations->len, ==, 0);
	cell_sim_finish(sim);
	g_free(sim);
}

/* Guards against a successor that polls a whole large fleet before it starts
 * anything. */
static void test_successor_starts_jobs_before_polling_the_fleet(void)
{
	struct cell_sim *sim = g_new0(struct cell_sim, 1);
	struct rj_cell_step step = cell_sim_plain_step(24, 8, 3000);
	struct cell_client_job *job;
	int owner;

	start_sim(sim, LARGE_WORKERS);
	cell_sim_run(sim, 10 * S);
	owner = cell_sim_owner(sim);
	cell_sim_node_kill(sim, (uint32_t)owner);
	while (cell_sim_owner(sim) < 0)
		cell_sim_run(sim, 10 * MS);
	job = cell_sim_job_new(sim, "normal", "a", &step, 1, 3 * S);
	cell_sim_submit(sim, (uint32_t)cell_sim_owner(sim), job);
	g_assert_cmpuint(polls_in(sim, 1), <, 2 * POLLS_PER_S_MAX);
	g_assert_cmpuint(job->starts, ==, 24);
	cell_sim_finish(sim);
	g_free(sim);
}

/* Guards against instances that all read the progress of all tasks: together
 * they would use up the read throughput of the log. */
static void test_only_owners_read_progress(void)
{
	struct cell_sim *sim = g_new0(struct cell_sim, 1);
	struct rj_cell_step step = cell_sim_plain_step(100, 1, 1000);
	uint64_t before;
	uint32_t other;

	start_sim(sim, 48);
	cell_sim_run(sim, 5 * S);
	other = cell_sim_owner(sim) ? 0 : 1;
	before = sim->log.read_bytes[other];
	for (uint32_t i = 0; i < JOB_COUNT; i++) {
		struct cell_client_job *job = cell_sim_job_new(
			sim, "normal", "a", &step, 1, (1 + i % 5) * S);

		cell_sim_submit(sim, other, job);
		cell_sim_run(sim, 200 * MS);
	}
	cell_sim_run(sim, 20 * S);
	g_assert_cmpuint(sim->log.read_bytes[other] - before, <,
			 JOB_COUNT * JOB_BYTES_MAX);
	cell_sim_finish(sim);
	g_free(sim);
}

/* With this many evaluations per worker a plan takes a tenth of a second on
 * half a core. */
#define EFFORT_PER_WORKER_MAX 900

/* Submits jobs of one step. */
static void submit_jobs(struct cell_sim *sim, const char *queue, uint32_t jobs,
			const struct rj_cell_step *step, uint64_t duration_us)
{
	for (uint32_t i = 0; i < jobs; i++)
		cell_sim_submit(sim, i % sim->options.nodes,
				cell_sim_job_new(sim, queue, "a", step, 1,
						 duration_us));
}

/* Largest number of evaluations in one of the owner's plans, per worker of the
 * site. */
static uint64_t effort_per_worker(const struct cell_sim *sim)
{
	int owner = cell_sim_owner(sim);

	g_assert_cmpint(owner, >=, 0);
	return sim->nodes[owner].node.owner.counters.plan_effort_max /
	       sim->options.workers;
}

/* Guards against a plan that takes seconds when hundreds of urgent gangs wait
 * on a full site, and each evaluates the runs of all workers for preemption. */
static void test_a_backlog_of_urgent_gangs(void)
{
	struct cell_sim *sim = g_new0(struct cell_sim, 1);
	struct rj_cell_step full = cell_sim_plain_step(8, 8, 20000);
	struct rj_cell_step urgent = cell_sim_plain_step(8, 4, 2500);

	full.gang = true;
	urgent.gang = true;
	start_sim(sim, 200);
	cell_sim_run(sim, 4 * S);
	submit_jobs(sim, "normal", 25, &full, 20 * S);
	cell_sim_run(sim, 8 * S);
	submit_jobs(sim, "urgent", 300, &urgent, 2500 * MS);
	cell_sim_run(sim, 3 * S);
	g_assert_cmpuint(effort_per_worker(sim), <, EFFORT_PER_WORKER_MAX);
	g_assert_cmpuint(sim->violations->len, ==, 0);
	cell_sim_finish(sim);
	g_free(sim);
}

/* Guards against a plan that takes seconds for jobs of hundreds of tasks that
 * must run on different workers, when each task evaluates each worker by
 * itself. */
static void test_many_tasks_on_separate_workers(void)
{
	struct cell_sim *sim = g_new0(struct cell_sim, 1);
	struct rj_cell_step separate = cell_sim_plain_step(300, 1, 3000);

	separate.per_worker_max = 1;
	start_sim(sim, 400);
	cell_sim_run(sim, 5 * S);
	submit_jobs(sim, "bulk", 2, &separate, 3 * S);
	cell_sim_run(sim, 2 * S);
	g_assert_cmpuint(sim->starts, ==, 600);
	g_assert_cmpuint(effort_per_worker(sim), <, 30);
	g_assert_cmpuint(sim->violations->len, ==, 0);
	cell_sim_finish(sim);
	g_free(sim);
}

/* Length of the description in a large job spec. */
#define SPEC_BYTES 3000

/* Submits large jobs to one instance, and checks what each idle instance reads
 * meanwhile. */
static void assert_idle_instances_read_no_specs(uint32_t nodes)
{
	const struct cell_sim_options options = {
		.seed = 5,
		.nodes = nodes,
		.workers = 48,
		.rack_workers = 12,
		.capacity = { 64000, 64000, 8 },
		.guaranteed = 64,
	};
	struct cell_sim *sim = g_new0(struct cell_sim, 1);
	struct rj_cell_step step = cell_sim_plain_step(4, 1, 1000);
	uint64_t before[CELL_SIM_NODES_MAX];
	uint32_t caller;

	cell_sim_init(sim, &options);
	cell_sim_run(sim, 5 * S);
	caller = cell_sim_owner(sim) ? 0 : 1;
	memcpy(before, sim->log.read_bytes, sizeof(before));
	for (uint32_t i = 0; i < JOB_COUNT; i++) {
		struct cell_client_job *job =
			cell_sim_job_new(sim, "normal", "a", &step, 1, S);

		job->spec->spec = talloc_zero_size(job->spec, SPEC_BYTES + 1);
		memset((char *)job->spec->spec, 's', SPEC_BYTES);
		cell_sim_submit(sim, caller, job);
		cell_sim_run(sim, 200 * MS);
	}
	cell_sim_run(sim, 10 * S);
	for (uint32_t i = 0; i < nodes; i++)
		if ((int)i != cell_sim_owner(sim))
			g_assert_cmpuint(sim->log.read_bytes[i] - before[i], <,
					 JOB_COUNT * JOB_BYTES_MAX);
	g_assert_cmpuint(sim->starts, ==, 4 * JOB_COUNT);
	g_assert_cmpuint(sim->violations->len, ==, 0);
	cell_sim_finish(sim);
	g_free(sim);
}

/* Guards against a log whose read throughput is used up by instances that all
 * read the specs of all jobs. */
static void test_idle_instances_read_no_specs(void)
{
	assert_idle_instances_read_no_specs(4);
	assert_idle_instances_read_no_specs(12);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell_scale/idle",
			test_idle_workers_are_polled_rarely);
	g_test_add_func("/cell_scale/small", test_small_site_is_polled_often);
	g_test_add_func("/cell_scale/takeover",
			test_large_site_serves_after_a_takeover);
	g_test_add_func("/cell_scale/taken_at_its_word",
			test_successor_starts_jobs_before_polling_the_fleet);
	g_test_add_func("/cell_scale/backlog", test_a_backlog_of_urgent_gangs);
	g_test_add_func("/cell_scale/apart",
			test_many_tasks_on_separate_workers);
	g_test_add_func("/cell_scale/progress", test_only_owners_read_progress);
	g_test_add_func("/cell_scale/specs", test_idle_instances_read_no_specs);
	return g_test_run();
}
