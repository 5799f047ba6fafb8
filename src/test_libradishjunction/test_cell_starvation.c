/*
 * Guards against starvation of one kind of job by another: each test replays a
 * load on a simulated site.
 */
#include "support/cell_fixture.h"
#include "support/cell_load.h"

/* 24 workers with eight accelerators each in six racks; three nodes. */
static const struct cell_sim_options site = {
	CELL_SITE(11, 3, 24, 4, 64),
};

/* Utility that batch jobs receive at least, in percent. */
#define UTILITY_MIN_PERCENT 29
/* Only jobs submitted in this first part of a load are evaluated; later ones may
 * still run at its end. */
#define EVALUATED_PERCENT 60

/* Returns a step that is a gang. */
static struct rj_cell_step gang_of(uint32_t tasks, uint32_t accelerators,
				   uint32_t estimate_ms)
{
	struct rj_cell_step step =
		cell_sim_plain_step(tasks, accelerators, estimate_ms);

	step.gang = true;
	return step;
}

/* Runs a load, and checks the utility of the batch jobs of its first part. */
static void assert_batch_utility(struct cell_sim *sim,
				 const struct cell_load_stream *streams,
				 uint32_t count, uint64_t for_us)
{
	uint64_t evaluated_until_us =
		sim->now_us + for_us * EVALUATED_PERCENT / 100;

	cell_load_run_streams(sim, streams, count, for_us, NULL);
	g_assert_cmpuint(
		cell_load_utility_percent(sim, "bulk", evaluated_until_us), >=,
		UTILITY_MIN_PERCENT);
}

/*
 * Load: five sixths of the site, jobs of all priorities, no faults.
 * Guards against batch jobs that wait while capacity is idle for others.
 */
static void test_batch_jobs_have_a_share(struct cell_fixture *f,
					 const void *data)
{
	const struct cell_load_stream streams[] = {
		{ "urgent", "a", gang_of(4, 4, 2500), 2500 * MS, S, 0, 0 },
		{ "normal", "a", gang_of(6, 4, 6000), 6 * S, 1800 * MS, 0, 0 },
		{ "bulk", "b", cell_sim_plain_step(16, 1, 9000), 9 * S,
		  3600 * MS, 0, 0 },
	};

	assert_batch_utility(&f->sim, streams, G_N_ELEMENTS(streams), 75 * S);
}

/*
 * Load: more normal jobs than the site can run, and a few batch jobs.
 * Guards against batch jobs that get no capacity while others wait.
 */
static void test_a_share_outlasts_an_overload(struct cell_fixture *f,
					      const void *data)
{
	const struct cell_load_stream streams[] = {
		{ "normal", "a", gang_of(6, 4, 6000), 6 * S, 600 * MS, 0, 0 },
		{ "bulk", "b", cell_sim_plain_step(16, 1, 9000), 9 * S,
		  3600 * MS, 0, 0 },
	};

	assert_batch_utility(&f->sim, streams, G_N_ELEMENTS(streams), 90 * S);
}

/*
 * Load: more normal jobs than the site can run, and batch tasks that must run
 * on different workers.
 * Guards against two of them on one worker when a plan starts some within the
 * share and the others after it.
 */
static void test_a_share_keeps_tasks_apart(struct cell_fixture *f,
					   const void *data)
{
	struct cell_load_stream streams[] = {
		{ "normal", "a", gang_of(3, 4, 6000), 6 * S, 700 * MS, 0, 0 },
		{ "bulk", "b", cell_sim_plain_step(20, 1, 6000), 6 * S, 2 * S,
		  0, 0 },
	};

	streams[1].step.per_worker_max = 1;
	cell_load_run_streams(&f->sim, streams, G_N_ELEMENTS(streams), 60 * S,
			      NULL);
}

/* A normal job of 6 s, on workers of different speeds, misses its objective
 * when it has waited for this long. */
#define NORMAL_WAIT_MAX_US (20 * S)
/* Reserved beyond what urgent jobs use: one more gang, and the rest of the rack
 * that it opens. */
#define RESERVED_SPARE_ACCELERATORS (16 + 32)

/* Checks that no more is reserved than needed while normal jobs miss their
 * objective. */
static void check_reserved(struct cell_sim *sim)
{
	const struct rj_cell_backlog *backlog = cell_load_backlog(sim);

	if (backlog->classes[1].longest_wait_us > NORMAL_WAIT_MAX_US)
		g_assert_cmpuint(backlog->reserved, <=,
				 backlog->classes[0].allocated +
					 RESERVED_SPARE_ACCELERATORS);
}

/*
 * Load: urgent and normal gangs that need three quarters of the site; twice
 * what the urgent ones use is reserved for them.
 * Guards against racks that stay reserved and idle while other jobs miss their
 * objective.
 */
static void test_idle_reservations_are_released(struct cell_fixture *f,
						const void *data)
{
	const struct cell_load_stream streams[] = {
		{ "urgent", "a", gang_of(4, 4, 2500), 2500 * MS, 700 * MS, 0,
		  0 },
		{ "normal", "a", gang_of(3, 4, 6000), 6 * S, 800 * MS, 0, 0 },
	};

	cell_load_run_streams(&f->sim, streams, G_N_ELEMENTS(streams), 75 * S,
			      check_reserved);
}

/* A normal job of 6 s will soon be too late when it has waited for this
 * long. */
#define NORMAL_LAST_START_US (40 * S)

/* Room for one more urgent gang is reserved as a whole rack. */
#define RACK_ACCELERATORS 32

/* Checks that no more than one rack is reserved and idle while normal jobs will
 * soon be too late. */
static void check_reserved_free(struct cell_sim *sim)
{
	const struct rj_cell_backlog *backlog = cell_load_backlog(sim);

	if (backlog->classes[1].longest_wait_us > NORMAL_LAST_START_US)
		g_assert_cmpuint(backlog->reserved_free, <=, RACK_ACCELERATORS);
}

/*
 * Load: urgent jobs of minutes on half of the site, which is not reserved as
 * the other half is full when they begin, short urgent jobs, and more normal
 * jobs than the site can run.
 * Guards against racks that are reserved for what urgent jobs use elsewhere, and
 * stay idle while other jobs become useless.
 */
static void test_reservations_count_use_elsewhere(struct cell_fixture *f,
						  const void *data)
{
	const struct cell_load_stream streams[] = {
		{ "urgent", "a", gang_of(2, 8, 2500), 2500 * MS, S, 0, 0 },
		{ "normal", "a", gang_of(6, 4, 6000), 6 * S, 600 * MS, 0, 0 },
	};
	struct rj_cell_step normal =
		cell_sim_plain_step(site.workers / 2, 8, 6000);
	struct rj_cell_step urgent = cell_sim_plain_step(1, 8, 100000);

	(void)cell_load_submit(&f->sim, "normal", "a", &normal, 6 * S);
	cell_load_run(&f->sim, 500 * MS);
	for (uint32_t i = 0; i < site.workers / 2; i++)
		(void)cell_load_submit(&f->sim, "urgent", "b", &urgent,
				       200 * S);
	cell_load_run_streams(&f->sim, streams, G_N_ELEMENTS(streams), 90 * S,
			      check_reserved_free);
}

/* Submits a gang that takes the whole site. */
static struct cell_client_job *submit_whole_site_gang(struct cell_sim *sim,
						      const char *queue,
						      uint64_t duration_us)
{
	struct rj_cell_step step =
		gang_of(site.workers, 8, (uint32_t)(duration_us / MS));

	return cell_load_submit(sim, queue, "a", &step, duration_us);
}

/* Speed of the slowest fake worker. */
#define SLOWEST_PERCENT 80

/* Lets two jobs wait for the whole site, which becomes free when the first has
 * waited for `wait_us` and the second for 2 s. Returns whether the first one
 * starts first. */
static bool older_starts_first(struct cell_sim *sim, uint64_t wait_us)
{
	struct cell_client_job *older;
	struct cell_client_job *younger;

	(void)submit_whole_site_gang(
		sim, "urgent", (wait_us + 500 * MS) * SLOWEST_PERCENT / 100);
	cell_load_run(sim, 500 * MS);
	older = submit_whole_site_gang(sim, "normal", S);
	cell_load_run(sim, wait_us - 2 * S);
	younger = submit_whole_site_gang(sim, "normal", S);
	cell_load_run(sim, 6 * S);
	g_assert_cmpint(older->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpint(younger->state, ==, RJ_CELL_JOB_COMPLETED);
	return older->begun_us < younger->begun_us;
}

/*
 * Load: two jobs of 1 s with an objective of 4 s, useless after 12 s. When the
 * site becomes free one is late, and the other can still end in time.
 * Guards against a queue in which all jobs are late because the first one is.
 */
static void
test_jobs_that_can_meet_their_objective_run_first(struct cell_fixture *f,
						  const void *data)
{
	g_assert_false(older_starts_first(&f->sim, 5 * S));
}

/*
 * Load: the same, but the late job will soon be useless.
 * Guards against a late job that is passed over until it is useless.
 */
static void test_late_job_runs_before_it_is_useless(struct cell_fixture *f,
						    const void *data)
{
	g_assert_true(older_starts_first(&f->sim, 8 * S));
}

/* Returns an endless stream of more normal jobs than the site can run. */
static const struct cell_load_stream *overload_stream(void)
{
	static struct cell_load_stream stream;

	stream = (struct cell_load_stream){
		.queue = "normal",
		.account = "a",
		.step = gang_of(6, 4, 6000),
		.duration_us = 6 * S,
		.every_us = 600 * MS,
	};
	return &stream;
}

/*
 * Load: more normal jobs than the site can run, and a batch job.
 * Guards against batch tasks that are preempted as soon as they start, because
 * a run that has just started is cheap to stop.
 */
static void
test_jobs_within_their_share_are_not_preempted(struct cell_fixture *f,
					       const void *data)
{
	const struct cell_load_stream normal = {
		"normal", "a", gang_of(1, 8, 6000), 6 * S, 200 * MS, 0, 0
	};
	struct rj_cell_step step = cell_sim_plain_step(8, 1, 6000);
	struct cell_client_job *job;

	cell_load_run_streams(&f->sim, &normal, 1, 10 * S, NULL);
	job = cell_load_submit(&f->sim, "bulk", "b", &step, 6 * S);
	cell_load_run_streams(&f->sim, &normal, 1, 40 * S, NULL);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(job->starts, ==, job->spec->task_count);
}

/*
 * Load: batch tasks that need only cores fill the site, then a normal job
 * arrives.
 * Guards against a share that counts accelerators alone, and so is never used
 * up.
 */
static void test_share_counts_all_resources(struct cell_fixture *f,
					    const void *data)
{
	struct rj_cell_step batch = { .task_count = 192,
				      .each = { 8000, 1000, 0 },
				      .estimate_ms = 30000,
				      .checkpoints = true };
	struct rj_cell_step normal = { .task_count = 4,
				       .each = { 32000, 1000, 0 },
				       .estimate_ms = 6000 };
	struct cell_client_job *job;

	(void)cell_load_submit(&f->sim, "bulk", "b", &batch, 30 * S);
	cell_load_run(&f->sim, 2 * S);
	job = cell_load_submit(&f->sim, "normal", "a", &normal, 6 * S);
	cell_load_run(&f->sim, 10 * S);
	g_assert_cmpuint(job->begun_us, !=, 0);
}

/*
 * Load: a batch job that is due long after its acceptance, and more normal jobs
 * than the site can run.
 * Guards against occurrences that count as late before they are due.
 */
static void
test_scheduled_job_is_not_late_before_it_is_due(struct cell_fixture *f,
						const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(4, 1, 2000);
	struct cell_client_job *job =
		cell_sim_job_new(&f->sim, "bulk", "b", &step, 1, 2 * S);

	job->spec->repeats = 1;
	job->spec->first_run_ms = cell_sim_wall_ms(&f->sim) + 45000;
	job->spec->interval_ms = 1000;
	cell_sim_submit(&f->sim, 0, job);
	cell_load_run_streams(&f->sim, overload_stream(), 1, 75 * S, NULL);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
}

/*
 * Load: a perpetual batch job that loses a worker, and more normal jobs than
 * the site can run.
 * Guards against tasks that count as late because their job has run for long,
 * and so are not started again.
 */
static void test_perpetual_job_is_restarted(struct cell_fixture *f,
					    const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(4, 1, 1000);
	struct cell_client_job *job;

	step.perpetual = true;
	job = cell_load_submit(&f->sim, "bulk", "b", &step, S);
	cell_load_run(&f->sim, S);
	g_assert_cmpuint(job->starts, ==, 4);
	cell_load_run_streams(&f->sim, overload_stream(), 1, 45 * S, NULL);
	g_assert_cmpuint(job->starts, ==, 4);
	for (uint32_t i = 0; i < site.workers; i++)
		for (guint j = 0; j < f->sim.workers[i].runs->len; j++)
			if (g_str_has_prefix(
				    cell_fake_run_info_at(&f->sim.workers[i], j)
					    .name,
				    job->id)) {
				cell_sim_worker_kill(&f->sim, i);
				break;
			}
	cell_load_run_streams(&f->sim, overload_stream(), 1, 30 * S, NULL);
	g_assert_cmpuint(job->starts, ==, 8);
}

/* Jobs of four perpetual tasks on four workers; each run fails after 6 s, and
 * each second another job has its turn. */
#define FAILING_JOBS 10
#define FAILING_RUN_US (6 * S)

static const struct cell_sim_options small_site = {
	CELL_SITE(3, 3, 4, 4, 16),
};

/*
 * Load: perpetual tasks that fail now and then, on all workers.
 * Guards against workers that are all suspended for it, so that the tasks are
 * not started again and nothing else starts.
 */
static void test_failing_perpetual_tasks_are_restarted(struct cell_fixture *f,
						       const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(4, 0, 1000);
	struct cell_client_job *jobs[FAILING_JOBS];
	struct cell_client_job *other;

	step.perpetual = true;
	step.per_worker_max = 1;
	for (guint i = 0; i < FAILING_JOBS; i++) {
		jobs[i] = cell_sim_job_new(&f->sim, "normal", "a", &step, 1,
					   2 * FAILING_RUN_US);
		jobs[i]->failing_runs = UINT32_MAX;
		cell_sim_submit(&f->sim, 0, jobs[i]);
		cell_load_run(&f->sim, S);
	}
	cell_load_run(&f->sim, 10 * FAILING_RUN_US);
	step = cell_sim_plain_step(1, 1, 1000);
	other = cell_load_submit(&f->sim, "normal", "b", &step, S);
	cell_load_run(&f->sim, 3 * S);
	g_assert_cmpint(other->state, ==, RJ_CELL_JOB_COMPLETED);
	/* Each task has run ten times, or less by the short pauses between. */
	for (guint i = 0; i < FAILING_JOBS; i++)
		g_assert_cmpuint(jobs[i]->starts, >=, 8 * 4);
}

/* A perpetual task runs again within 9 s, and each of its runs fails after a
 * second. */
#define FAILURES_S 2400
#define CYCLE_MAX_S 10

/* Guards against a perpetual task whose restarts are delayed more with each
 * failure of its life. */
static void test_restarts_are_not_delayed_for_ever(struct cell_fixture *f,
						   const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 0, 1000);
	struct cell_client_job *job;
	uint32_t starts;

	step.perpetual = true;
	job = cell_sim_job_new(&f->sim, "normal", "a", &step, 1, 2 * S);
	job->failing_runs = UINT32_MAX;
	cell_sim_submit(&f->sim, 0, job);
	cell_sim_run(&f->sim, FAILURES_S * S);
	starts = job->starts;
	cell_sim_run(&f->sim, 6 * CYCLE_MAX_S * S);
	g_assert_cmpuint(job->starts, >=, starts + 6);
}

/*
 * Load: a batch job that must run in the rack that is reserved first, and more
 * normal jobs than the site can run.
 * Guards against a job that waits for ever beside idle workers that no other
 * job may use.
 */
static void test_confined_job_uses_a_reserved_rack(struct cell_fixture *f,
						   const void *data)
{
	struct rj_cell_step urgent = gang_of(1, 1, 500);
	struct rj_cell_step step = cell_sim_plain_step(4, 1, 6000);
	struct cell_client_job *job;

	(void)cell_load_submit(&f->sim, "urgent", "a", &urgent, 500 * MS);
	cell_load_run_streams(&f->sim, overload_stream(), 1, 10 * S, NULL);
	g_strlcpy(step.label, f->sim.workers[0].reported.rack,
		  sizeof(step.label));
	job = cell_load_submit(&f->sim, "bulk", "b", &step, 6 * S);
	cell_load_run_streams(&f->sim, overload_stream(), 1, 25 * S, NULL);
	g_assert_cmpuint(job->begun_us, !=, 0);
}

/* A job whose tasks fail wherever they run must not keep sound, idle workers
 * from other jobs. */
static void test_failing_job_leaves_workers(struct cell_fixture *f,
					    const void *data)
{
	struct rj_cell_step failing = cell_sim_plain_step(48, 1, 300);
	const struct rj_cell_step plain = cell_sim_plain_step(2, 8, 500);
	struct cell_client_job *job;

	failing.perpetual = true;
	job = cell_load_submit(&f->sim, "normal", "b", &failing, 300 * MS);
	job->failing_runs = UINT32_MAX;
	cell_load_run(&f->sim, 4 * S);
	for (uint32_t i = 0; i < 12; i++) {
		job = cell_load_submit(&f->sim, "bulk", "a", &plain, 500 * MS);
		cell_load_run(&f->sim, 4 * S);
		g_assert_cmpuint(job->begun_us, >, 0);
		g_assert_cmpuint(job->begun_us, <, job->accepted_us + 3 * S);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CELL_TEST("/cell_starvation/share", &site,
		  test_batch_jobs_have_a_share);
	CELL_TEST("/cell_starvation/overload", &site,
		  test_a_share_outlasts_an_overload);
	CELL_TEST("/cell_starvation/apart", &site,
		  test_a_share_keeps_tasks_apart);
	CELL_TEST("/cell_starvation/reserved", &site,
		  test_idle_reservations_are_released);
	CELL_TEST("/cell_starvation/reserved_elsewhere", &site,
		  test_reservations_count_use_elsewhere);
	CELL_TEST("/cell_starvation/in_time", &site,
		  test_jobs_that_can_meet_their_objective_run_first);
	CELL_TEST("/cell_starvation/last_chance", &site,
		  test_late_job_runs_before_it_is_useless);
	CELL_TEST("/cell_starvation/not_stopped", &site,
		  test_jobs_within_their_share_are_not_preempted);
	CELL_TEST("/cell_starvation/cores", &site,
		  test_share_counts_all_resources);
	CELL_TEST("/cell_starvation/scheduled", &site,
		  test_scheduled_job_is_not_late_before_it_is_due);
	CELL_TEST("/cell_starvation/lasting", &site,
		  test_perpetual_job_is_restarted);
	CELL_TEST("/cell_starvation/failing", &small_site,
		  test_failing_perpetual_tasks_are_restarted);
	CELL_TEST("/cell_starvation/restarts", &small_site,
		  test_restarts_are_not_delayed_for_ever);
	CELL_TEST("/cell_starvation/confined", &site,
		  test_confined_job_uses_a_reserved_rack);
	CELL_TEST("/cell_starvation/failing_job", &site,
		  test_failing_job_leaves_workers);
	return g_test_run();
}
