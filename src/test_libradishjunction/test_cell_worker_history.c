/*
 * History of workers: what evidence counts, and where gangs are placed on a
 * site whose workers flap, fail what they start or lose a whole rack.
 */
#include "support/cell_fixture.h"
#include "support/cell_load.h"

#define RUN_US (6 * S)
#define START_US (100 * S)

/* 60 workers with eight accelerators each in six racks; each of three failure
 * domains has two of them. */
#define SITE                                                      \
	.seed = 5, .nodes = 3, .workers = 60, .rack_workers = 10, \
	.capacity = { 32000, 64000, 8 }, .guaranteed = 64
static const struct cell_sim_options site = {
	SITE, .features = { .worker_history = true }
};
static const struct cell_sim_options site_without = { SITE };

static uint32_t rank_of(const struct rj_cell_worker_history *history,
			uint64_t now_us)
{
	return rj_cell_worker_history_rank(history, NULL, true, now_us);
}

/* Records an early failure every 2 s, each after another one. */
static uint64_t fail_starts(struct rj_cell_worker_history *history,
			    uint32_t count, uint64_t now_us)
{
	for (uint32_t i = 0; i < count; i++, now_us += 2 * S)
		(void)rj_cell_worker_history_record(
			history, RJ_CELL_BAD_END_FAILED_EARLY, i > 0, 1,
			now_us);
	return now_us;
}

/* Guards against one bad report that keeps gangs off a worker, and against a
 * worker that is kept idle although its runs end well. */
static void test_one_bad_end(void)
{
	for (int kind = 0; kind < RJ_CELL_BAD_END_COUNT; kind++) {
		struct rj_cell_worker_history history = { 0 };
		uint64_t now_us = START_US;

		g_assert_true(rj_cell_worker_history_record(&history, kind,
							    false, 1, now_us));
		/* The same fault shows in all starts of the worker. */
		if (kind > RJ_CELL_BAD_END_LOST_CALL)
			g_assert_false(rj_cell_worker_history_record(
				&history, kind, true, 1, now_us + 200 * MS));
		g_assert_cmpuint(rank_of(&history, now_us), <=, 1);
		for (uint32_t i = 0; i < 6; i++, now_us += RUN_US) {
			rj_cell_worker_history_expose(&history, now_us,
						      now_us + RUN_US);
			rj_cell_worker_history_good_end(&history, now_us,
							now_us + RUN_US);
		}
		g_assert_cmpuint(rank_of(&history, now_us), ==, 0);
	}
}

/* Guards against a worker that reports good health, fails what it starts and
 * gets more to start; and against one that is avoided long after. */
static void test_failing_starts(void)
{
	struct rj_cell_worker_history history = { 0 };
	uint64_t now_us = fail_starts(&history, 2, START_US);

	g_assert_cmpuint(rank_of(&history, now_us), ==, 2);
	now_us = fail_starts(&history, 4, now_us);
	g_assert_cmpuint(rank_of(&history, now_us), ==, 3);
	g_assert_cmpuint(rank_of(&history, now_us + 180 * S), ==, 0);
}

/* Guards against ranks on quiet days: a twentieth of the runs fails by itself,
 * with eight of them side by side. */
static void test_own_failures(void)
{
	struct rj_cell_worker_history history = { 0 };
	uint64_t random = 1;
	uint32_t ranked = 0;

	for (uint32_t i = 0; i < 2000; i++) {
		uint64_t now_us = START_US + i * RUN_US;

		rj_cell_worker_history_expose(&history, now_us - RUN_US,
					      now_us);
		for (uint32_t j = 0; j < 8; j++)
			if (rj_random64(&random) % 20 == 0)
				(void)rj_cell_worker_history_record(
					&history, RJ_CELL_BAD_END_FAILED, false,
					1.0 / 8, now_us);
		ranked += rank_of(&history, now_us);
	}
	g_assert_cmpuint(ranked, <, 20);
}

/* Guards against a worker that flaps and gets gangs whenever it is back, against
 * probation without end, and against runs from before the return that end it. */
static void test_probation(void)
{
	struct rj_cell_worker_history history = { 0 };
	uint64_t now_us = START_US;

	for (uint32_t i = 0; i < 8; i++, now_us += 5 * S)
		(void)rj_cell_worker_history_record(
			&history, RJ_CELL_BAD_END_SILENT, false, 1, now_us);
	g_assert_cmpuint(history.probation_until_us, ==, now_us + 27 * S);
	rj_cell_worker_history_good_end(&history, START_US, now_us);
	g_assert_cmpuint(history.probation_until_us, >, now_us + 26 * S);
	for (uint32_t i = 0; i < 5; i++)
		rj_cell_worker_history_good_end(&history, now_us, now_us);
	g_assert_false(rj_cell_worker_history_on_probation(&history, now_us));
}

/* Guards against a worker that restarts so often that the length of its
 * probation overflows, and that gets gangs between two restarts. */
static void test_many_returns(void)
{
	struct rj_cell_worker_history history = { 0 };
	uint64_t now_us = START_US;

	for (uint32_t i = 0; i < 200; i++, now_us += S) {
		(void)rj_cell_worker_history_record(
			&history, RJ_CELL_BAD_END_RESTARTED, false, 1, now_us);
		g_assert_cmpuint(history.probation_until_us, >=,
				 now_us + 4 * S);
		g_assert_cmpuint(history.probation_until_us, <=,
				 now_us + 32 * S);
	}
	g_assert_cmpuint(history.probation_until_us, ==, now_us + 31 * S);
}

static struct rj_cell_owner *owner_of(struct cell_sim *sim)
{
	return &sim->nodes[cell_sim_owner(sim)].node.owner;
}

/* Returns the owner's record of a worker. */
static struct rj_cell_worker *worker_of(struct cell_sim *sim, uint32_t index)
{
	return rj_cell_fleet_find(&owner_of(sim)->fleet,
				  sim->workers[index].id);
}

/* Number of workers with a rank above 0. */
static uint32_t count_ranked(struct cell_sim *sim)
{
	uint32_t ranked = 0;

	for (uint32_t i = 0; i < sim->options.workers; i++)
		ranked += rj_cell_worker_rank(worker_of(sim, i), true,
					      sim->now_us) > 0;
	return ranked;
}

/* Urgent and normal gangs and batch tasks on two thirds of the site. */
static void run_load(struct cell_sim *sim, uint64_t for_us,
		     void (*check)(struct cell_sim *sim))
{
	struct cell_load_stream streams[] = {
		{ "urgent", "a", cell_sim_plain_step(5, 2, 2500), 2500 * MS,
		  800 * MS, 0, 0 },
		{ "normal", "a", cell_sim_plain_step(13, 2, 6800), 6800 * MS,
		  3 * S, 0, 0 },
		{ "bulk", "b", cell_sim_plain_step(39, 1, 6100), 6100 * MS,
		  3 * S, 0, 0 },
	};

	for (guint i = 0; i < 2; i++) {
		streams[i].step.gang = true;
		streams[i].step.one_rack = true;
		streams[i].step.each.cpu_milli = i ? 13000 : 6000;
	}
	cell_load_run_streams(sim, streams, G_N_ELEMENTS(streams), for_us,
			      check);
}

/* Every tenth worker is unreachable or restarts for 2 s in every 13 s, and one
 * in twelve fails a third of what it starts. */
static void inject_faults(struct cell_sim *sim)
{
	uint64_t tick = sim->now_us / (100 * MS);

	for (uint32_t i = 3; i < sim->options.workers; i += 10) {
		if ((tick + i * 7) % 130 == 0 && i % 20 == 3)
			cell_sim_worker_kill(sim, i);
		else if ((tick + i * 7) % 130 == 0)
			cell_sim_worker_partition(sim, i, true);
		if ((tick + i * 7) % 130 == 20) {
			cell_sim_worker_partition(sim, i, false);
			cell_sim_worker_start(sim, i);
		}
	}
	for (uint32_t i = 7; i < sim->options.workers; i += 12)
		sim->workers[i].fails_all = tick / 5 % 3 == 0;
}

/*
 * Load: gangs on a site with workers that flap and that fail part of what they
 * start.
 * Guards against gangs that break because members are placed on them, and
 * against jobs that are later than if these workers are not avoided.
 */
static void test_gangs(struct cell_fixture *f, const void *data)
{
	static const char *const queues[] = { "urgent", "normal", "bulk" };
	struct cell_fixture without;
	const uint64_t *on = owner_of(&f->sim)->counters.completions;
	const uint64_t *off;
	const uint64_t until_us = f->sim.now_us + 70 * S;

	cell_fixture_setup(&without, &site_without);
	off = owner_of(&without.sim)->counters.completions;
	run_load(&f->sim, 90 * S, inject_faults);
	run_load(&without.sim, 90 * S, inject_faults);
	g_assert_cmpuint(on[RJ_CELL_COMPLETION_GANG_BROKEN] * 100, <=,
			 off[RJ_CELL_COMPLETION_GANG_BROKEN] * 65);
	g_assert_cmpuint(f->sim.wasted_us, <, without.sim.wasted_us);
	for (guint i = 0; i < G_N_ELEMENTS(queues); i++)
		g_assert_cmpuint(
			cell_load_utility_percent(&f->sim, queues[i], until_us),
			>=,
			cell_load_utility_percent(&without.sim, queues[i],
						  until_us));
	cell_fixture_teardown(&without, &site_without);
}

/* Guards against placements that change on a quiet day. */
static void test_quiet_day(struct cell_fixture *f, const void *data)
{
	struct cell_fixture without;

	cell_fixture_setup(&without, &site_without);
	run_load(&f->sim, 30 * S, NULL);
	run_load(&without.sim, 30 * S, NULL);
	g_assert_cmpuint(count_ranked(&f->sim), ==, 0);
	for (guint i = 0; i < f->sim.job_list->len; i++) {
		const struct cell_client_job *a = f->sim.job_list->pdata[i];
		const struct cell_client_job *b =
			without.sim.job_list->pdata[i];

		g_assert_cmpuint(a->begun_us, ==, b->begun_us);
		g_assert_cmpuint(a->ended_us, ==, b->ended_us);
	}
	cell_fixture_teardown(&without, &site_without);
}

/* Cuts off a rack for 3 s, and those whose first workers are a multiple of
 * `every` after its. */
static void cut_off(struct cell_sim *sim, uint32_t every)
{
	run_load(sim, 5 * S, NULL);
	for (uint32_t i = 10; i < sim->options.workers; i++)
		cell_sim_worker_partition(sim, i, (i - 10) % every < 10);
	run_load(sim, 3 * S, NULL);
	for (uint32_t i = 0; i < sim->options.workers; i++)
		cell_sim_worker_partition(sim, i, false);
	run_load(sim, 3 * S, NULL);
}

/* Guards against workers that are blamed for the partition of their failure
 * domain, here of both racks in d1. */
static void test_partition(struct cell_fixture *f, const void *data)
{
	cut_off(&f->sim, 30);
	g_assert_cmpuint(count_ranked(&f->sim), ==, 0);
}

/* Guards against the silence of a rack that counts fully for each of its
 * workers, and against a rack that is not avoided when it returns. */
static void test_rack(struct cell_fixture *f, const void *data)
{
	double bad_ends = 0;

	cut_off(&f->sim, 60);
	for (uint32_t i = 10; i < 20; i++)
		bad_ends += worker_of(&f->sim, i)->history.bad_ends;
	g_assert_cmpfloat(bad_ends, >, 0.3);
	g_assert_cmpfloat(bad_ends, <, 2);
	g_assert_cmpuint(count_ranked(&f->sim), ==, 10);
}

/* A tenth of the site's workers; four are in one rack. */
static const uint32_t flapping[] = { 4, 21, 23, 26, 28, 55 };

/* Cuts off these workers for 3 s at a time, each at its own intervals. */
static void flap(struct cell_sim *sim)
{
	static const uint32_t interval_ticks[] = { 67, 47, 53, 59, 61, 71 };
	uint64_t tick = sim->now_us / (100 * MS);

	for (guint i = 0; i < G_N_ELEMENTS(flapping); i++)
		cell_sim_worker_partition(sim, flapping[i],
					  tick % interval_ticks[i] < 30);
}

/* Guards against a rack that counts as risky, and workers that count for less,
 * because some of its workers flap and are silent at once by chance. */
static void test_independent_silence(struct cell_fixture *f, const void *data)
{
	const struct rj_cell_fleet *fleet = &owner_of(&f->sim)->fleet;

	for (uint32_t second = 0; second < 90; second++) {
		run_load(&f->sim, S, flap);
		for (guint i = 0; i < fleet->racks->len; i++) {
			const struct rj_cell_rack *rack =
				fleet->racks->pdata[i];

			g_assert_cmpfloat(rack->history.bad_ends, ==, 0);
		}
	}
	for (guint i = 0; i < G_N_ELEMENTS(flapping); i++)
		g_assert_cmpfloat(
			worker_of(&f->sim, flapping[i])->history.bad_ends, >,
			3);
	g_assert_cmpuint(count_ranked(&f->sim), ==, G_N_ELEMENTS(flapping));
}

/* Guards against one restart that counts twice, as it also ends a short
 * silence. */
static void test_quick_restart(struct cell_fixture *f, const void *data)
{
	cell_sim_worker_kill(&f->sim, 0);
	for (uint32_t i = 0; i < 1000 && worker_of(&f->sim, 0)->answers; i++)
		cell_load_run(&f->sim, 10 * MS);
	cell_sim_worker_start(&f->sim, 0);
	cell_load_run(&f->sim, 2 * S);
	g_assert_cmpfloat(worker_of(&f->sim, 0)->history.bad_ends, >, 0.9);
	g_assert_cmpfloat(worker_of(&f->sim, 0)->history.bad_ends, <=, 1);
	g_assert_cmpuint(
		rj_cell_worker_rank(worker_of(&f->sim, 0), true, f->sim.now_us),
		==, 1);
}

/* Guards against a gang that waits although only risky workers have capacity
 * for it: they are avoided, not forbidden. */
static void test_not_forbidden(struct cell_fixture *f, const void *data)
{
	static const char *const queues[] = { "normal", "urgent" };
	struct rj_cell_step step = cell_sim_plain_step(site.workers, 8, 1000);

	step.gang = true;
	for (guint i = 0; i < G_N_ELEMENTS(queues); i++) {
		struct cell_client_job *job;

		for (uint32_t j = 0; j < site.workers; j += 3)
			(void)fail_starts(&worker_of(&f->sim, j)->history, 5,
					  f->sim.now_us);
		job = cell_load_submit(&f->sim, queues[i], "a", &step, S);
		cell_load_run(&f->sim, S);
		g_assert_cmpuint(job->begun_us, !=, 0);
		cell_load_run(&f->sim, 3 * S);
	}
}

/* Guards against a worker that counts as unknown because it was away for longer
 * than its entry lasts, and against one that gave notice and is blamed. */
static void test_absence(struct cell_fixture *f, const void *data)
{
	cell_sim_worker_kill(&f->sim, 0);
	cell_sim_worker_drain(&f->sim, 1, 2000);
	cell_load_run(&f->sim, 2 * S);
	cell_sim_worker_deregister(&f->sim, 1);
	cell_load_run(&f->sim, 10 * S);
	g_assert_null(worker_of(&f->sim, 0));
	f->sim.workers[1].reported.draining = false;
	f->sim.workers[1].reported.drain_left_ms = 0;
	cell_sim_worker_start(&f->sim, 0);
	cell_sim_worker_start(&f->sim, 1);
	cell_load_run(&f->sim, 3 * S);
	g_assert_cmpfloat(worker_of(&f->sim, 0)->history.bad_ends, >, 0.8);
	g_assert_cmpuint(count_ranked(&f->sim), ==, 1);
}

/* Guards against a worker that withdraws its notice, restarts later and is not
 * blamed. */
static void test_notice_withdrawn(struct cell_fixture *f, const void *data)
{
	cell_sim_worker_drain(&f->sim, 1, 20000);
	cell_load_run(&f->sim, 2 * S);
	g_assert_true(worker_of(&f->sim, 1)->heartbeat.draining);
	f->sim.workers[1].reported.draining = false;
	f->sim.workers[1].reported.drain_left_ms = 0;
	cell_load_run(&f->sim, 4 * S);
	g_assert_false(worker_of(&f->sim, 1)->heartbeat.draining);
	cell_sim_worker_kill(&f->sim, 1);
	cell_sim_worker_start(&f->sim, 1);
	cell_load_run(&f->sim, 3 * S);
	g_assert_cmpfloat(worker_of(&f->sim, 1)->history.bad_ends, >, 0.8);
}

/* Guards against a job that fails wherever it runs and makes risky workers of
 * the whole site. */
static void test_job_at_fault(struct cell_fixture *f, const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(40, 8, 300);
	struct cell_client_job *job =
		cell_sim_job_new(&f->sim, "normal", "a", &step, 1, 300 * MS);

	job->failing_runs = 10;
	cell_sim_submit(&f->sim, 0, job);
	cell_load_run(&f->sim, 8 * S);
	g_assert_cmpuint(
		owner_of(&f->sim)
			->counters.completions[RJ_CELL_COMPLETION_FAILED],
		>, site.workers);
	g_assert_cmpuint(count_ranked(&f->sim), <=, 2);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell_worker_history/one_bad_end", test_one_bad_end);
	g_test_add_func("/cell_worker_history/starts", test_failing_starts);
	g_test_add_func("/cell_worker_history/own_failures", test_own_failures);
	g_test_add_func("/cell_worker_history/probation", test_probation);
	g_test_add_func("/cell_worker_history/returns", test_many_returns);
	CELL_TEST("/cell_worker_history/gangs", &site, test_gangs);
	CELL_TEST("/cell_worker_history/quiet", &site, test_quiet_day);
	CELL_TEST("/cell_worker_history/domain", &site, test_partition);
	CELL_TEST("/cell_worker_history/rack", &site, test_rack);
	CELL_TEST("/cell_worker_history/independent", &site,
		  test_independent_silence);
	CELL_TEST("/cell_worker_history/restart", &site, test_quick_restart);
	CELL_TEST("/cell_worker_history/allowed", &site, test_not_forbidden);
	CELL_TEST("/cell_worker_history/absence", &site, test_absence);
	CELL_TEST("/cell_worker_history/notice", &site, test_notice_withdrawn);
	CELL_TEST("/cell_worker_history/job", &site, test_job_at_fault);
	return g_test_run();
}
