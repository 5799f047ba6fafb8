/*
 * What an owner spends on a large fleet: its cost follows the work, not the
 * number of workers.
 */
#include "support/cell_sim.h"

#define LARGE_WORKERS 3000
/* A quarter of a core makes so many calls to workers a second beside its
 * other work; see docs/CAPACITY.md. */
#define POLLS_PER_S_MAX 320
/* Jobs of 100 tasks, and what an instance may read of each: its definition,
 * its states, and heartbeats of the owner. */
#define JOB_COUNT 20
#define JOB_BYTES_MAX 1500

/* Begin a calm site of two nodes. */
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

/* How many calls for lists the owner makes in the next seconds. */
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
 * A site grows to 3,000 workers and its jobs stop being served.
 * The owner asks each worker for its lists every 1.5 s, whether anything runs
 * there or not; a quarter of a core cannot make 2,000 calls a second, calls
 * time out, and all workers are taken to be silent.
 * Cause: the calls followed the number of workers.
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
 * A small site is watched as closely as ever.
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
 * A job comes to a large site just after an owner has died: it begins
 * although the successor has not met all workers yet, and what runs is renewed.
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

/* A successor polls all of a large fleet before it starts anything. */
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

/* Each instance reads what happens to all tasks, and a large fleet of them
 * shares what the log can be read at. */
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

/* Weighing each worker so many times takes a plan a tenth of a second on half a
 * core. */
#define EFFORT_PER_WORKER_MAX 900

/* Hand in so many jobs of one step. */
static void submit_job(struct cell_sim *sim, const char *queue, uint32_t jobs,
		       const struct rj_cell_step *step, uint64_t duration_us)
{
	for (uint32_t i = 0; i < jobs; i++)
		cell_sim_submit(sim, i % sim->options.nodes,
				cell_sim_job_new(sim, queue, "a", step, 1,
						 duration_us));
}

/* The most that a plan of the owner has weighed, a worker of the site. */
static uint64_t effort_per_worker(const struct cell_sim *sim)
{
	int owner = cell_sim_owner(sim);

	g_assert_cmpint(owner, >=, 0);
	return sim->nodes[owner].node.owner.counters.plan_effort_max /
	       sim->options.workers;
}

/* Hundreds of urgent gangs wait on a full site, and one plan takes seconds, as
 * each of them weighs the runs of all workers for work to stop. */
static void test_a_backlog_of_urgent_gangs(void)
{
	struct cell_sim *sim = g_new0(struct cell_sim, 1);
	struct rj_cell_step full = cell_sim_plain_step(8, 8, 20000);
	struct rj_cell_step urgent = cell_sim_plain_step(8, 4, 2500);

	full.gang = true;
	urgent.gang = true;
	start_sim(sim, 200);
	cell_sim_run(sim, 4 * S);
	submit_job(sim, "normal", 25, &full, 20 * S);
	cell_sim_run(sim, 8 * S);
	submit_job(sim, "urgent", 300, &urgent, 2500 * MS);
	cell_sim_run(sim, 3 * S);
	g_assert_cmpuint(effort_per_worker(sim), <, EFFORT_PER_WORKER_MAX);
	g_assert_cmpuint(sim->violations->len, ==, 0);
	cell_sim_finish(sim);
	g_free(sim);
}

/* A job of hundreds of tasks that are kept apart takes one plan seconds, as
 * each task weighs each worker by itself. */
static void test_many_tasks_on_separate_workers(void)
{
	struct cell_sim *sim = g_new0(struct cell_sim, 1);
	struct rj_cell_step apart = cell_sim_plain_step(300, 1, 3000);

	apart.per_worker_max = 1;
	start_sim(sim, 400);
	cell_sim_run(sim, 5 * S);
	submit_job(sim, "bulk", 2, &apart, 3 * S);
	cell_sim_run(sim, 2 * S);
	g_assert_cmpuint(sim->starts, ==, 600);
	g_assert_cmpuint(effort_per_worker(sim), <, 30);
	g_assert_cmpuint(sim->violations->len, ==, 0);
	cell_sim_finish(sim);
	g_free(sim);
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
	return g_test_run();
}
