/*
 * Waiting, rejection and placement under extreme load: each test replays one
 * load pattern on a simulated site.
 */
#include <string.h>
#include <talloc.h>

#include "support/cell_fixture.h"
#include "support/cell_load.h"

/* 24 workers with eight accelerators each in six racks; three nodes. */
#define SITE                                                     \
	.seed = 7, .nodes = 3, .workers = 24, .rack_workers = 4, \
	.capacity = { 64000, 64000, 8 }, .guaranteed = 64
static const struct cell_sim_options site = { SITE };
/* The same site; checkpoints have long names. */
static const struct cell_sim_options long_checkpoints = { SITE,
							  .checkpoint_digits =
								  64 };
/* The same site; a task may fail once. */
static const struct cell_sim_options two_attempts = { SITE, .attempts_max = 2 };
/* Bound from the acceptance of a guaranteed job to its start: the site's
 * reclaim time. */
#define RECLAIM_US (2900 * MS)
/* Bound for the time that a serving task is over its latency target without a
 * break. */
#define OVER_TARGET_MAX_US (4 * S)

/*
 * Load: an urgent gang that a school class waits for, within its account's
 * guarantee, on a site full of bulk jobs without checkpoints.
 * Guards against a start after the reclaim time, and against preempting more
 * runs than the gang needs.
 */
static void test_guaranteed_gang_on_a_full_site(struct cell_fixture *f,
						const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(4, 8, 2500);
	struct cell_client_job *job;

	step.gang = true;
	step.one_rack = true;
	cell_load_fill(&f->sim, 8, false, 60 * S);
	job = cell_load_submit(&f->sim, "urgent", "a", &step, 2500 * MS);
	cell_load_run(&f->sim, 4 * S);
	g_assert_cmpuint(job->begun_us, !=, 0);
	g_assert_cmpuint(job->begun_us - job->accepted_us, <, RECLAIM_US);
	/* 32 tasks that ran for at most 6 s each. */
	g_assert_cmpuint(f->sim.wasted_us, <, 32 * 6 * S);
}

/*
 * Load: more bulk jobs than the site can run.
 * Guards against a backlog that does not show operators what waits, for how
 * long, and that no capacity is free.
 */
static void test_backlog_is_shown(struct cell_fixture *f, const void *data)
{
	const struct rj_cell_backlog *backlog;

	cell_load_fill(&f->sim, 10, false, 20 * S);
	backlog = cell_load_backlog(&f->sim);
	g_assert_cmpuint(backlog->workers, ==, site.workers);
	g_assert_cmpuint(backlog->usage.accelerators.used, ==,
			 backlog->usage.accelerators.total);
	g_assert_cmpuint(backlog->classes[2].allocated, ==,
			 backlog->usage.accelerators.total);
	g_assert_cmpuint(backlog->classes[2].tasks, ==, 2 * 24);
	g_assert_cmpuint(backlog->classes[2].longest_wait_us, >, S);
	g_assert_cmpuint(backlog->classes[1].tasks, ==, 0);
	g_assert_cmpuint(backlog->reserved, ==, 0);
}

/*
 * Load: urgent gangs one after the other, and always enough bulk jobs.
 * Guards against reservations that do not follow urgent load: once racks are
 * reserved, later gangs start at once and preempt nothing without a checkpoint.
 */
static void test_later_gangs_use_reserved_racks(struct cell_fixture *f,
						const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(4, 8, 2500);
	struct cell_client_job *job = NULL;
	uint64_t wasted_us = 0;

	step.gang = true;
	step.one_rack = true;
	cell_load_fill(&f->sim, 8, false, 10 * S);
	for (uint32_t i = 0; i < 8; i++) {
		if (i == 4)
			wasted_us = f->sim.wasted_us;
		job = cell_load_submit(&f->sim, "urgent", i % 2 ? "a" : "b",
				       &step, 2500 * MS);
		cell_load_run(&f->sim, 3 * S);
		cell_load_fill(&f->sim, 5, false, 10 * S);
	}
	g_assert_cmpuint(job->begun_us - job->accepted_us, <, 500 * MS);
	g_assert_cmpuint(f->sim.wasted_us, ==, wasted_us);
}

/*
 * Load: an urgent gang on a site full of bulk jobs, half of them with
 * checkpoints.
 * Guards against preempting jobs without checkpoints first, and against losing
 * the progress of preempted jobs with checkpoints.
 */
static void test_checkpointed_jobs_are_preempted_first(struct cell_fixture *f,
						       const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(2, 8, 2500);

	step.gang = true;
	cell_load_fill(&f->sim, 4, true, 12 * S);
	cell_load_fill(&f->sim, 4, false, 12 * S);
	cell_load_submit(&f->sim, "urgent", "a", &step, 2500 * MS);
	cell_load_run(&f->sim, 40 * S);
	for (guint i = 0; i < f->sim.job_list->len; i++) {
		const struct cell_client_job *job = f->sim.job_list->pdata[i];

		g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
		if (!job->spec->steps[0].checkpoints)
			g_assert_cmpuint(job->starts, ==,
					 job->spec->task_count);
	}
}

/*
 * Load: an endless stream of small bulk tasks that take every free accelerator,
 * and a normal gang that needs four whole workers.
 * Guards against a gang that starves: capacity is promised to it as runs end,
 * so that it starts early enough for its objective of three times 6 s plus one
 * second.
 */
static void test_wide_gang_among_small_tasks(struct cell_fixture *f,
					     const void *data)
{
	struct rj_cell_step small = cell_sim_plain_step(30, 1, 6000);
	struct rj_cell_step wide = cell_sim_plain_step(4, 8, 6000);
	struct cell_client_job *job;

	wide.gang = true;
	cell_load_fill(&f->sim, 8, false, 6 * S);
	job = cell_load_submit(&f->sim, "normal", "a", &wide, 6 * S);
	for (uint32_t i = 0; i < 20; i++) {
		cell_load_submit(&f->sim, "bulk", "b", &small, 6 * S);
		cell_load_run(&f->sim, 600 * MS);
	}
	g_assert_cmpuint(job->begun_us, !=, 0);
	g_assert_cmpuint(job->begun_us - job->accepted_us, <, 12 * S);
}

/*
 * Load: for a minute, far more bulk jobs than can end while they are useful.
 * Guards against clients that wait for a rejection or all retry at the same
 * time, against accepted jobs that end after three times their objective, and
 * against urgent jobs that are rejected because of the bulk load.
 */
static void test_overload_is_rejected_at_once(struct cell_fixture *f,
					      const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(40, 1, 6000);
	struct rj_cell_step urgent_step = cell_sim_plain_step(2, 4, 1000);
	struct cell_client_job *urgent;
	uint32_t refused = 0;
	uint32_t late = 0;
	uint32_t accepted = 0;

	cell_load_fill(&f->sim, 4, false, 6 * S);
	cell_load_run(&f->sim, 6 * S); /* run times are learnt */
	for (uint32_t i = 0; i < 120; i++) {
		cell_load_submit(&f->sim, "bulk", "b", &step, 6 * S);
		cell_load_run(&f->sim, 300 * MS);
	}
	urgent = cell_load_submit(&f->sim, "urgent", "a", &urgent_step, S);
	cell_sim_run(&f->sim, 50 * MS);
	g_assert_true(urgent->accepted);
	cell_load_run(&f->sim, 80 * S);
	for (guint i = 0; i < f->sim.job_list->len; i++) {
		const struct cell_client_job *job = f->sim.job_list->pdata[i];
		/* Three times the objective of the bulk queue. */
		uint64_t limit_us = 3 * (3 * 6 * S + 3 * S);

		refused += job->refusals;
		if (job->accepted && job != urgent) {
			accepted++;
			late += !job->ended_us ||
				job->ended_us - job->sent_us > limit_us;
		}
	}
	g_assert_cmpuint(refused, >, 20);
	g_assert_cmpuint(accepted, >, 50);
	/* The forecast is accurate to a fifth: most jobs are in time. */
	g_assert_cmpuint(late * 10, <=, accepted);
}

/*
 * Load: a queue of single tasks; a sixth of the workers fail every run at once,
 * and so always have free capacity.
 * Guards against jobs that use up their attempts on these workers.
 */
static void test_failing_worker_is_avoided(struct cell_fixture *f,
					   const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(6, 1, 1000);

	for (uint32_t i = 0; i < 4; i++)
		f->sim.workers[i * 5].fails_all = true;
	for (uint32_t i = 0; i < 60; i++) {
		cell_load_submit(&f->sim, "normal", "a", &step, S);
		cell_load_run(&f->sim, 100 * MS);
	}
	cell_load_run(&f->sim, 10 * S);
	for (guint i = 0; i < f->sim.job_list->len; i++)
		g_assert_cmpint(
			((struct cell_client_job *)f->sim.job_list->pdata[i])
				->state,
			==, RJ_CELL_JOB_COMPLETED);
}

/*
 * Load: tasks on some workers make no progress, though the workers answer.
 * Guards against tasks that stay there: nothing but their progress shows it.
 */
static void test_stalled_tasks_are_moved(struct cell_fixture *f,
					 const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(24, 1, 2000);
	struct cell_client_job *job;

	for (uint32_t i = 0; i < 4; i++)
		f->sim.workers[i].stalled = true;
	job = cell_load_submit(&f->sim, "normal", "a", &step, 2 * S);
	cell_load_run(&f->sim, 12 * S);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
}

#define ADD(name, function) CELL_TEST("/cell_load/" name, &site, function)

/*
 * Load: half of the workers finish tasks, but never report their completion.
 * Guards against clients that wait for ever; the tasks have to be started
 * elsewhere.
 */
static void test_unreported_completions_are_moved(struct cell_fixture *f,
						  const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(8, 1, 2000);
	struct cell_client_job *job;

	for (uint32_t i = 0; i < site.workers; i += 2)
		f->sim.workers[i].never_completes = true;
	job = cell_load_submit(&f->sim, "normal", "a", &step, 2 * S);
	cell_load_run(&f->sim, 20 * S);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
}

/* Submits a job whose tasks serve users, with a latency target, until it is
 * cancelled. */
static struct cell_client_job *submit_serving_job(struct cell_sim *sim,
						  uint32_t tasks)
{
	struct rj_cell_step step = cell_sim_plain_step(tasks, 1, 1000);

	step.perpetual = true;
	step.target_ms = 100;
	return cell_load_submit(sim, "normal", "a", &step, S);
}

/*
 * Load: serving tasks with a latency target, and bulk jobs that leave workers
 * free.
 * Guards against placing both on one worker, where they disturb each other.
 */
static void test_serving_tasks_are_isolated(struct cell_fixture *f,
					    const void *data)
{
	struct cell_client_job *job = submit_serving_job(&f->sim, 4);

	cell_load_fill(&f->sim, 6, true, 3 * S);
	cell_load_run(&f->sim, 12 * S);
	g_assert_cmpuint(job->begun_us, !=, 0);
	g_assert_cmpuint(f->sim.over_target_max_us, ==, 0);
}

/*
 * Load: serving tasks with a latency target on a site full of bulk jobs.
 * Guards against tasks that stay over their target because bulk tasks run on
 * the same worker: these are stopped, and no others are placed there.
 */
static void test_serving_tasks_on_a_full_site(struct cell_fixture *f,
					      const void *data)
{
	struct cell_client_job *job;

	cell_load_fill(&f->sim, 8, true, 20 * S);
	job = submit_serving_job(&f->sim, 4);
	cell_load_fill(&f->sim, 2, true, 20 * S);
	cell_load_run(&f->sim, 20 * S);
	g_assert_cmpuint(job->begun_us, !=, 0);
	g_assert_cmpuint(f->sim.over_target_max_us, >, 0);
	g_assert_cmpuint(f->sim.over_target_max_us, <, OVER_TARGET_MAX_US);
}

/*
 * Load: wide gangs with two attempts, and single tasks; a sixth of the workers
 * begin to fail every run.
 * Guards against gangs that use up their attempts before these workers are
 * known: each attempt of a gang includes some of them.
 */
static void test_gangs_survive_failing_workers(struct cell_fixture *f,
					       const void *data)
{
	struct rj_cell_step wide = cell_sim_plain_step(8, 4, 4000);
	struct rj_cell_step single = cell_sim_plain_step(6, 1, 2000);

	wide.gang = true;
	for (uint32_t i = 0; i < 40; i++) {
		for (uint32_t j = 0; i == 10 && j < 4; j++)
			f->sim.workers[j * 5].fails_all = true;
		cell_load_submit(&f->sim, "bulk", "b", &single, 2 * S);
		if (i % 3 == 0)
			cell_load_submit(&f->sim, "normal", "a", &wide, 4 * S);
		cell_load_run(&f->sim, 300 * MS);
	}
	cell_load_run(&f->sim, 20 * S);
	for (guint i = 0; i < f->sim.job_list->len; i++)
		g_assert_cmpint(
			((struct cell_client_job *)f->sim.job_list->pdata[i])
				->state,
			==, RJ_CELL_JOB_COMPLETED);
}

/* Runs a job of one task for a second; then its worker reports that it leaves
 * in 1.6 s. */
static struct cell_client_job *run_on_draining_worker(struct cell_sim *sim,
						      uint64_t duration_us,
						      uint32_t *worker)
{
	struct rj_cell_step step =
		cell_sim_plain_step(1, 8, (uint32_t)(duration_us / MS));
	struct cell_client_job *job =
		cell_load_submit(sim, "normal", "a", &step, duration_us);

	cell_load_run(sim, S);
	*worker = cell_sim_busy_worker(sim);
	cell_sim_worker_drain(sim, *worker, 1600);
	return job;
}

/*
 * Load: a worker leaves at short notice, with a task of 6 s that cannot end
 * there.
 * Guards against a task that starts elsewhere only after the worker's lease
 * expired, not at once.
 */
static void test_task_moves_off_a_draining_worker(struct cell_fixture *f,
						  const void *data)
{
	uint32_t worker;
	struct cell_client_job *job =
		run_on_draining_worker(&f->sim, 6 * S, &worker);

	cell_sim_run(&f->sim, 1600 * MS);
	cell_sim_worker_kill(&f->sim, worker);
	g_assert_cmpuint(job->starts, ==, 2);
	cell_load_run(&f->sim, 9 * S);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
}

/*
 * Load: a worker leaves at short notice, with a task that ends before.
 * Guards against moving a task that can end there in time.
 */
static void test_task_that_ends_before_the_drain_stays(struct cell_fixture *f,
						       const void *data)
{
	uint32_t worker;
	struct cell_client_job *job =
		run_on_draining_worker(&f->sim, 2 * S, &worker);

	cell_load_run(&f->sim, 1600 * MS);
	g_assert_cmpuint(job->starts, ==, 1);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
}

/*
 * Load: as above, with a task that saves checkpoints whose names have 64
 * characters.
 * Guards against a task that starts elsewhere with a part of its checkpoint's
 * name.
 */
static void test_long_checkpoints_are_restored(struct cell_fixture *f,
					       const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 8, 12000);
	struct cell_client_job *job;
	uint32_t worker;

	step.checkpoints = true;
	job = cell_load_submit(&f->sim, "normal", "a", &step, 12 * S);
	cell_load_run(&f->sim, 6 * S);
	worker = cell_sim_busy_worker(&f->sim);
	cell_sim_worker_drain(&f->sim, worker, 1600);
	cell_load_run(&f->sim, 3 * S);
	g_assert_cmpuint(job->starts, ==, 2);
	cell_load_run(&f->sim, 9 * S);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
}

/*
 * Load: tasks so small that thousands fit one worker.
 * Guards against a worker whose list of runs is too long to be read, so that it
 * counts as unreachable and its runs are lost.
 */
static void test_runs_of_a_worker_are_limited(struct cell_fixture *f,
					      const void *data)
{
	struct rj_cell_step step = { .task_count = 100, .estimate_ms = 1000 };
	struct cell_sim_node *owner = &f->sim.nodes[cell_sim_owner(&f->sim)];
	struct cell_client_job *job;

	for (uint32_t i = 0; i < f->sim.options.workers; i++)
		if (i != 5)
			rj_cell_fleet_find(&owner->node.owner.fleet,
					   f->sim.workers[i].id)
				->other_runs += RJ_CELL_WORKER_RUNS_MAX;
	job = cell_load_submit(&f->sim, "normal", "a", &step, 5 * S);
	cell_load_run(&f->sim, 2 * S);
	g_assert_cmpuint(job->starts, ==, 100);
	g_assert_cmpuint(f->sim.workers[5].runs->len, ==, 100);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("guaranteed", test_guaranteed_gang_on_a_full_site);
	ADD("kept", test_later_gangs_use_reserved_racks);
	ADD("backlog", test_backlog_is_shown);
	ADD("saves", test_checkpointed_jobs_are_preempted_first);
	ADD("wide", test_wide_gang_among_small_tasks);
	ADD("overload", test_overload_is_rejected_at_once);
	ADD("fails_all", test_failing_worker_is_avoided);
	CELL_TEST("/cell_load/gangs_fail", &two_attempts,
		  test_gangs_survive_failing_workers);
	ADD("still", test_stalled_tasks_are_moved);
	ADD("never_ends", test_unreported_completions_are_moved);
	ADD("short_notice", test_task_moves_off_a_draining_worker);
	CELL_TEST("/cell_load/long_checkpoints", &long_checkpoints,
		  test_long_checkpoints_are_restored);
	ADD("runs_of_a_worker", test_runs_of_a_worker_are_limited);
	ADD("ends_in_time", test_task_that_ends_before_the_drain_stays);
	ADD("apart", test_serving_tasks_are_isolated);
	ADD("beside", test_serving_tasks_on_a_full_site);
	return g_test_run();
}
