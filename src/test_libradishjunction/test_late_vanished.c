/*
 * A worker that has left for good while no owner watched it.
 */
#include "support/cell_fixture.h"
#include "support/cell_load.h"

static const struct cell_sim_options site = {
	.seed = 1,
	.nodes = 4,
	.workers = 12,
	.rack_workers = 4,
	.capacity = { 64000, 64000, 8 },
	.guaranteed = 32,
	.lease_max_ms = 6000,
};

/* No run of a former owner outlasts its renewals and a lease, by the slowest
 * clock; one second for the takeover and the next start. */
#define RESTART_MAX_US (RJ_CELL_FORMER_GRANTS_US + 6200 * MS + S)
/* The first successor fails after this. */
#define SECOND_TAKEOVER_US (8 * S)

static void kill_owner(struct cell_sim *sim)
{
	cell_sim_node_kill(sim, (uint32_t)cell_sim_owner(sim));
}

/* Guards against a task that waits anew with each takeover for the lease of a
 * worker that has vanished before the first of them. */
static void test_takeovers_do_not_restart_the_wait(struct cell_fixture *f,
						   const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 8, 20000);
	struct cell_client_job *job =
		cell_load_submit(&f->sim, "normal", "a", &step, 20 * S);
	uint64_t vanished_us;

	cell_load_run(&f->sim, 2 * S);
	g_assert_cmpuint(job->starts, ==, 1);
	kill_owner(&f->sim);
	cell_sim_worker_kill(&f->sim, cell_sim_busy_worker(&f->sim));
	vanished_us = f->sim.now_us;
	cell_load_run(&f->sim, SECOND_TAKEOVER_US);
	kill_owner(&f->sim);
	while (job->starts < 2 &&
	       f->sim.now_us < vanished_us + 2 * RESTART_MAX_US)
		cell_load_run(&f->sim, 100 * MS);
	g_assert_cmpuint(f->sim.now_us - vanished_us, <=, RESTART_MAX_US);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CELL_TEST("/late_vanished/second_takeover", &site,
		  test_takeovers_do_not_restart_the_wait);
	return g_test_run();
}
