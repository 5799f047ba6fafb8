/*
 * What an owner spends on a large fleet: its cost follows the work, not the
 * number of workers.
 */
#include "support/cell_world.h"

#define LARGE_WORKERS 3000
/* A quarter of a core makes so many calls to workers a second beside its
 * other work; see docs/CAPACITY.md. */
#define POLLS_PER_S_MAX 320
/* Jobs of 100 tasks, and what an instance may read of each: its definition,
 * its states, and heartbeats of the owner. */
#define PROGRESS_JOBS 20
#define JOB_BYTES_MAX 1500

/* Begin a calm site of two nodes. */
static void begin(struct cell_world *world, uint32_t workers)
{
	const struct cell_world_plan plan = {
		.seed = 3,
		.nodes = 2,
		.workers = workers,
		.rack_workers = 20,
		.capacity = { 64000, 64000, 8 },
		.guaranteed = 64,
	};

	cell_world_init(world, &plan);
}

/* How many calls for lists the owner makes in the next seconds. */
static uint64_t polls_in(struct cell_world *world, uint32_t seconds)
{
	int owner = cell_world_owner(world);
	uint64_t before;

	g_assert_cmpint(owner, >=, 0);
	before = world->nodes[owner].node.owner.counters.polls;
	cell_world_run(world, seconds * S);
	g_assert_cmpint(cell_world_owner(world), ==, owner);
	return world->nodes[owner].node.owner.counters.polls - before;
}

/*
 * A site grows to 3,000 workers and its jobs stop being served.
 * The owner asks each worker for its lists every 1.5 s, whether anything runs
 * there or not; a quarter of a core cannot make 2,000 calls a second, calls
 * time out, and all workers are taken to be silent.
 * Cause: the calls followed the number of workers.
 */
static void test_idle_workers_cost_little(void)
{
	struct cell_world *world = g_new0(struct cell_world, 1);

	begin(world, LARGE_WORKERS);
	cell_world_run(world, 20 * S);
	g_assert_cmpuint(polls_in(world, 10), <, 10 * POLLS_PER_S_MAX);
	cell_world_finish(world);
	g_free(world);
}

/*
 * A small site is watched as closely as ever.
 */
static void test_small_site_is_watched(void)
{
	struct cell_world *world = g_new0(struct cell_world, 1);

	begin(world, 48);
	cell_world_run(world, 5 * S);
	g_assert_cmpuint(polls_in(world, 6), >=, 48 * 3);
	cell_world_finish(world);
	g_free(world);
}

/*
 * A job comes to a large site just after an owner has died: it begins
 * although the successor has not met all workers yet, and what runs is renewed.
 */
static void test_large_site_serves_after_a_takeover(void)
{
	struct cell_world *world = g_new0(struct cell_world, 1);
	struct rj_cell_step step = cell_world_step(24, 8, 3000);
	struct cell_client_job *job;

	begin(world, LARGE_WORKERS);
	cell_world_run(world, 10 * S);
	job = cell_world_job(world, "normal", "a", &step, 1, 9 * S);
	cell_world_submit(world, 0, job);
	cell_world_run(world, 2 * S);
	g_assert_true(job->accepted);
	cell_world_kill(world, (uint32_t)cell_world_owner(world));
	cell_world_run(world, 500 * MS);
	cell_world_start(world, 0);
	cell_world_start(world, 1);
	for (int i = 0; i < 120 && !job->ended_us; i++) {
		cell_world_run(world, 200 * MS);
		cell_world_ask(world, 1, job);
	}
	g_assert_cmpint(job->shown, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(world->wasted_us, ==, 0);
	g_assert_cmpuint(world->violations->len, ==, 0);
	cell_world_finish(world);
	g_free(world);
}

/* Each instance reads what happens to all tasks, and a large fleet of them
 * shares what the log can be read at. */
static void test_only_owners_read_progress(void)
{
	struct cell_world *world = g_new0(struct cell_world, 1);
	struct rj_cell_step step = cell_world_step(100, 1, 1000);
	uint64_t before;
	uint32_t other;

	begin(world, 48);
	cell_world_run(world, 5 * S);
	other = cell_world_owner(world) ? 0 : 1;
	before = world->log.read_bytes[other];
	for (uint32_t i = 0; i < PROGRESS_JOBS; i++) {
		struct cell_client_job *job = cell_world_job(
			world, "normal", "a", &step, 1, (1 + i % 5) * S);

		cell_world_submit(world, other, job);
		cell_world_run(world, 200 * MS);
	}
	cell_world_run(world, 20 * S);
	g_assert_cmpuint(world->log.read_bytes[other] - before, <,
			 PROGRESS_JOBS * JOB_BYTES_MAX);
	cell_world_finish(world);
	g_free(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell_scale/idle", test_idle_workers_cost_little);
	g_test_add_func("/cell_scale/small", test_small_site_is_watched);
	g_test_add_func("/cell_scale/takeover",
			test_large_site_serves_after_a_takeover);
	g_test_add_func("/cell_scale/progress", test_only_owners_read_progress);
	return g_test_run();
}
