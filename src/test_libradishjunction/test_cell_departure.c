/*
 * Tests of departures that a successor infers from the history of the workers'
 * log.
 */
#include "support/cell_fake.h"
#include "support/cell_fixture.h"
#include "support/cell_load.h"

static const struct cell_sim_options site = {
	CELL_SITE(1, 4, 12, 4, 32),
	.lease_max_ms = 10000,
};

/* Time for the first takeover of a site, polls and an order. */
#define RESTART_MAX_US (3 * S)
/* The worker leaves this long after its announcement; the nodes are started
 * again as much later. */
#define DRAIN_MS 2000
#define DOWN_US S

static void set_nodes(struct cell_sim *sim,
		      void (*set)(struct cell_sim *, uint32_t))
{
	for (uint32_t i = 0; i < sim->options.nodes; i++)
		set(sim, i);
}

/* Starts a job of one long task, whose worker announces that it leaves as all
 * nodes are killed. Returns the worker. */
static uint32_t drain_as_all_are_killed(struct cell_sim *sim,
					struct cell_client_job **job)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 8, 60000);
	uint32_t worker;

	step.checkpoints = true;
	*job = cell_load_submit(sim, "normal", "a", &step, 60 * S);
	cell_load_run(sim, 2 * S);
	g_assert_cmpuint((*job)->starts, ==, 1);
	worker = cell_sim_busy_worker(sim);
	cell_sim_worker_drain(sim, worker, DRAIN_MS);
	set_nodes(sim, cell_sim_node_kill);
	return worker;
}

/* Ends a worker and removes its entry without writing another one before. */
static void remove_worker(struct cell_sim *sim, uint32_t worker)
{
	cell_sim_worker_kill(sim, worker);
	sim->workers[worker].listed = false;
	cell_log_put(sim, RJ_CELL_TOPIC_WORKERS, sim->workers[worker].id, NULL,
		     0);
}

/* Guards against a task that waits for leases, as its worker left and removed
 * its entry while nobody owned the cell. */
static void test_departure_without_an_owner(struct cell_fixture *f,
					    const void *data)
{
	struct cell_client_job *job;
	uint32_t worker = drain_as_all_are_killed(&f->sim, &job);

	cell_load_run(&f->sim, DRAIN_MS * MS);
	cell_sim_worker_deregister(&f->sim, worker);
	cell_load_run(&f->sim, DOWN_US);
	set_nodes(&f->sim, cell_sim_node_start);
	cell_load_run(&f->sim, RESTART_MAX_US);
	g_assert_cmpuint(job->starts, ==, 2);
}

/* Guards against a task that waits for leases, as its worker removes its entry
 * before the successor has read a heartbeat of it. */
static void test_departure_after_the_load(struct cell_fixture *f,
					  const void *data)
{
	struct cell_client_job *job;
	uint32_t worker = drain_as_all_are_killed(&f->sim, &job);

	set_nodes(&f->sim, cell_sim_node_start);
	for (uint32_t i = 0; i < f->sim.options.nodes; i++)
		f->sim.workers[worker].partitioned[i] = true;
	while (cell_sim_owner(&f->sim) < 0)
		cell_load_run(&f->sim, 10 * MS);
	cell_load_run(&f->sim, 100 * MS);
	remove_worker(&f->sim, worker);
	cell_load_run(&f->sim, RESTART_MAX_US);
	g_assert_cmpuint(job->starts, ==, 2);
}

/* Guards against a task that waits for leases, as its worker has answered the
 * successor and leaves before a heartbeat of it is read. */
static void test_departure_after_an_answer(void)
{
	for (uint64_t met_us = 0; met_us <= 800 * MS; met_us += 200 * MS) {
		struct cell_client_job *job;
		struct cell_fixture f;
		uint32_t worker;

		cell_fixture_setup(&f, &site);
		worker = drain_as_all_are_killed(&f.sim, &job);
		set_nodes(&f.sim, cell_sim_node_start);
		while (cell_sim_owner(&f.sim) < 0)
			cell_load_run(&f.sim, 10 * MS);
		cell_load_run(&f.sim, met_us);
		remove_worker(&f.sim, worker);
		cell_load_run(&f.sim, RESTART_MAX_US);
		g_assert_cmpuint(job->starts, ==, 2);
		cell_fixture_teardown(&f, &site);
	}
}

/* Guards against a task that waits for leases, as its worker was lost with all
 * nodes and another worker answers at its address. */
static void test_address_of_another_worker(struct cell_fixture *f,
					   const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 8, 60000);
	struct cell_client_job *job =
		cell_load_submit(&f->sim, "normal", "a", &step, 60 * S);
	uint32_t worker;

	cell_load_run(&f->sim, 2 * S);
	worker = cell_sim_busy_worker(&f->sim);
	cell_sim_worker_kill(&f->sim, worker);
	set_nodes(&f->sim, cell_sim_node_kill);
	set_nodes(&f->sim, cell_sim_node_start);
	while (f->sim.workers[worker].listed)
		cell_load_run(&f->sim, 100 * MS);
	cell_load_run(&f->sim, S);
	g_assert_cmpuint(job->starts, ==, 1);
	f->sim.workers[worker].address_reused = true;
	cell_load_run(&f->sim, S);
	g_assert_cmpuint(job->starts, ==, 2);
}

/* Guards against a second run of a task, whose draining worker was cut off and
 * goes on as its entry expires. */
static void test_expiry_is_no_departure(void)
{
	for (uint64_t down_us = 0; down_us <= 6 * S; down_us += 500 * MS) {
		struct cell_client_job *job;
		struct cell_fixture f;
		uint32_t worker;

		cell_fixture_setup(&f, &site);
		worker = drain_as_all_are_killed(&f.sim, &job);
		cell_sim_worker_partition(&f.sim, worker, true);
		cell_load_run(&f.sim, down_us);
		set_nodes(&f.sim, cell_sim_node_start);
		while (f.sim.workers[worker].runs->len) {
			g_assert_cmpuint(job->starts, ==, 1);
			cell_load_run(&f.sim, 20 * MS);
		}
		cell_fixture_teardown(&f, &site);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CELL_TEST("/departure/without_an_owner", &site,
		  test_departure_without_an_owner);
	CELL_TEST("/departure/after_the_load", &site,
		  test_departure_after_the_load);
	g_test_add_func("/departure/after_an_answer",
			test_departure_after_an_answer);
	CELL_TEST("/departure/address", &site, test_address_of_another_worker);
	g_test_add_func("/departure/expiry", test_expiry_is_no_departure);
	return g_test_run();
}
