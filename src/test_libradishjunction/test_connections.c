#include <glib.h>
#include <talloc.h>

#include "support/simulation.h"

#define SETTLED_US (5 * RJ_US_PER_S)
#define CUT_US (10 * RJ_US_PER_S)
#define NODES 8

/*
 * Returns the connections that all instances together may open to a worker,
 * according to their last calls; one of them may still have the connections
 * open that it had as the owner.
 */
static uint32_t connections_to(const struct fake_worker *worker)
{
	uint32_t sum = 0;
	uint32_t largest = 0;

	for (uint32_t i = 0; i < NODES; i++) {
		uint32_t connections = worker->connections_max[i];

		sum += connections;
		largest = MAX(largest, connections);
	}
	return sum - largest + RJ_WORKER_CONNECTIONS_OWNER;
}

static void cut_all_links(struct simulation *simulation)
{
	for (uint32_t a = 0; a < NODES; a++)
		for (uint32_t b = a + 1; b < NODES; b++)
			simulation->links[a][b].cut = true;
}

/*
 * The eight instances of a failure domain lose contact with each other, and
 * each takes itself for the owner of every rack. If each uses the connections
 * of a rack's only owner, a worker with 64 connections is asked for 112,
 * refuses some of those that renew leases, and running jobs are stopped.
 */
static void test_isolated_instances_share_connections(void)
{
	struct simulation_options options = { .engine = &engine_core,
					      .seed = 3,
					      .domains = 1,
					      .nodes_per_domain = NODES,
					      .racks_per_domain = 2,
					      .workers_per_rack = 4 };
	struct simulation *simulation = simulation_create(NULL, &options);

	simulation_run_until(simulation, SETTLED_US);
	for (uint32_t i = 0; i < simulation->worker_count; i++)
		g_assert_cmpuint(connections_to(&simulation->workers[i]), <=,
				 RJ_WORKER_CONNECTIONS);
	cut_all_links(simulation);
	simulation_run_until(simulation, SETTLED_US + CUT_US);
	for (uint32_t i = 0; i < simulation->worker_count; i++)
		g_assert_cmpuint(connections_to(&simulation->workers[i]), <=,
				 RJ_WORKER_CONNECTIONS);
	talloc_free(simulation);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/connections/split",
			test_isolated_instances_share_connections);
	return g_test_run();
}
