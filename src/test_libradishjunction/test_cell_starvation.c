/*
 * No kind of work starves for the sake of another: each test replays a load
 * on a site in virtual time.
 */
#include "support/cell_fixture.h"
#include "support/cell_load.h"

/* 24 workers of eight accelerators in six racks, three nodes. */
static const struct cell_world_plan site = {
	.seed = 11,
	.nodes = 3,
	.workers = 24,
	.rack_workers = 4,
	.capacity = { 64000, 64000, 8 },
	.guaranteed = 64,
};

/* What clients of a kind are owed at least, in percent. */
#define FLOOR_PERCENT 29

/* Steps of the three kinds: urgent and normal gangs, single batch tasks. */
static struct rj_cell_step gang_of(uint32_t tasks, uint32_t accelerators,
				   uint32_t estimate_ms)
{
	struct rj_cell_step step =
		cell_world_step(tasks, accelerators, estimate_ms);

	step.gang = true;
	return step;
}

/*
 * Load: five sixths of the site, by kinds of all priorities, without a fault.
 * Guards against batch work that waits while room stands idle for others.
 */
static void test_batch_work_has_a_share(struct cell_fixture *f,
					const void *data)
{
	const struct cell_load_stream streams[] = {
		{ "urgent", "a", gang_of(4, 4, 2500), 2500 * MS, S, 0, 0 },
		{ "normal", "a", gang_of(6, 4, 6000), 6 * S, 1800 * MS, 0, 0 },
		{ "bulk", "b", cell_world_step(16, 1, 9000), 9 * S, 3600 * MS,
		  0, 0 },
	};
	uint64_t begin_us = f->world.now_us;

	cell_load_play(&f->world, streams, G_N_ELEMENTS(streams), 75 * S);
	g_assert_cmpuint(
		cell_load_earned_percent(&f->world, "bulk", begin_us + 45 * S),
		>=, FLOOR_PERCENT);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CELL_TEST("/cell_starvation/share", &site, test_batch_work_has_a_share);
	return g_test_run();
}
