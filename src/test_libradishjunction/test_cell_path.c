/*
 * The whole path over fakes in virtual time: submit, place, run, store, show.
 */
#include <string.h>
#include <talloc.h>

#include "private/pack.h"
#include "support/cell_fixture.h"

/* Twelve workers of eight accelerators in three racks, three nodes. */
static const struct cell_sim_options small = {
	.seed = 1,
	.nodes = 3,
	.workers = 12,
	.rack_workers = 4,
	.capacity = { 64000, 64000, 8 },
	.guaranteed = 32,
};

/* Let time pass while a client asks for each job now and then. */
static void follow(struct cell_sim *world, uint64_t for_us)
{
	for (uint64_t ran_us = 0; ran_us < for_us; ran_us += 200 * MS) {
		cell_sim_run(world, 200 * MS);
		for (guint i = 0; i < world->job_list->len; i++)
			cell_sim_query(world, (i + 1) % world->plan.nodes,
				       world->job_list->pdata[i]);
	}
}

/* A job of two steps is accepted in milliseconds, ends, and is shown so at an
 * instance that did not take it. */
static void test_a_job_runs(struct cell_fixture *f, const void *data)
{
	uint32_t first = 0;
	struct rj_cell_step steps[2] = { cell_sim_plain_step(4, 1, 1000),
					 cell_sim_plain_step(2, 2, 1000) };
	struct cell_client_job *job;

	steps[1].after = &first;
	steps[1].after_count = 1;
	job = cell_sim_job_new(&f->world, "normal", "a", steps, 2, S);
	cell_sim_submit(&f->world, 0, job);
	cell_sim_run(&f->world, 50 * MS);
	g_assert_true(job->accepted);
	follow(&f->world, 6 * S);
	g_assert_cmpint(job->shown, ==, RJ_CELL_JOB_COMPLETED);
	cell_sim_check_final(&f->world);
}

/* A gang over two workers of a rack works together and ends as one. */
static void test_a_gang_runs(struct cell_fixture *f, const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(3, 8, 1000);
	struct cell_client_job *job;

	step.gang = true;
	step.one_rack = true;
	job = cell_sim_job_new(&f->world, "urgent", "a", &step, 1, 2 * S);
	cell_sim_submit(&f->world, 1, job);
	follow(&f->world, 5 * S);
	g_assert_cmpint(job->shown, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(f->world.starts, ==, 3);
	cell_sim_check_final(&f->world);
}

/* What is cancelled stops, and is shown so. */
static void test_a_cancelled_job_stops(struct cell_fixture *f, const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(4, 1, 1000);
	struct cell_client_job *job =
		cell_sim_job_new(&f->world, "bulk", "a", &step, 1, 60 * S);

	cell_sim_submit(&f->world, 0, job);
	follow(&f->world, S);
	cell_sim_cancel(&f->world, 2, job);
	follow(&f->world, 2 * S);
	g_assert_true(job->cancelled);
	g_assert_cmpint(job->shown, ==, RJ_CELL_JOB_CANCELLED);
	for (uint32_t i = 0; i < small.workers; i++)
		g_assert_cmpuint(f->world.workers[i].runs->len, ==, 0);
}

/* A job whose tasks fail three times ends on the fourth attempt; one that
 * always fails is shown as failed after its attempts. */
static void test_attempts_are_counted(struct cell_fixture *f, const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 500);
	struct cell_client_job *lucky =
		cell_sim_job_new(&f->world, "normal", "a", &step, 1, 500 * MS);
	struct cell_client_job *hopeless =
		cell_sim_job_new(&f->world, "normal", "a", &step, 1, 500 * MS);

	lucky->fail_times = 3;
	hopeless->fail_times = 99;
	cell_sim_submit(&f->world, 0, lucky);
	cell_sim_submit(&f->world, 0, hopeless);
	follow(&f->world, 8 * S);
	g_assert_cmpint(lucky->shown, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpint(hopeless->shown, ==, RJ_CELL_JOB_FAILED);
}

/* A submission that is repeated, also after the end, stays one job. */
static void test_a_repeated_submission_is_one_job(struct cell_fixture *f,
						  const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(2, 1, 500);
	struct cell_client_job *job =
		cell_sim_job_new(&f->world, "normal", "a", &step, 1, 500 * MS);

	cell_sim_submit(&f->world, 0, job);
	cell_sim_submit(&f->world, 1, job);
	follow(&f->world, 3 * S);
	cell_sim_submit(&f->world, 2, job);
	follow(&f->world, 3 * S);
	g_assert_cmpint(job->shown, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(f->world.starts, ==, 2);
}

/*
 * Two tasks that must not share a worker are started on one.
 * Both are placed by one plan, and the rule was checked only against what the
 * worker runs already.
 */
static void test_tasks_kept_apart_in_one_plan(struct cell_fixture *f,
					      const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(6, 1, 500);
	struct cell_client_job *job;

	step.per_worker_max = 1;
	job = cell_sim_job_new(&f->world, "bulk", "a", &step, 1, S);
	cell_sim_submit(&f->world, 0, job);
	follow(&f->world, 3 * S);
	g_assert_cmpint(job->shown, ==, RJ_CELL_JOB_COMPLETED);
}

/*
 * A gang starts anew just before its end.
 * Its members run at different speeds; the fast ones are through and wait,
 * their percentage stands at 100, and they were taken for stuck.
 */
static void test_a_member_that_is_through_is_not_stuck(struct cell_fixture *f,
						       const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(3, 8, 1000);
	struct cell_client_job *job;

	step.gang = true;
	job = cell_sim_job_new(&f->world, "normal", "a", &step, 1, 16 * S);
	cell_sim_submit(&f->world, 0, job);
	follow(&f->world, 24 * S);
	g_assert_cmpint(job->shown, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(f->world.starts, ==, 3);
}

/*
 * A queue whose tasks no worker takes keeps the workers busy with orders.
 * Each refusal made room for the next one, many times a second.
 */
static void test_refusals_are_not_repeated_at_once(struct cell_fixture *f,
						   const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 500);
	struct cell_client_job *job =
		cell_sim_job_new(&f->world, "normal", "a", &step, 1, S);

	for (uint32_t i = 0; i < small.workers; i++)
		f->world.workers[i].wants_ticket = true;
	cell_sim_submit(&f->world, 0, job);
	cell_sim_run(&f->world, 5 * S);
	g_assert_true(job->accepted);
	g_assert_cmpuint(f->world.refused_starts, >, 0);
	g_assert_cmpuint(f->world.refused_starts, <, 10);
}

/* An occurrence starts when it is due, not before; the last one ends the
 * job. */
static void test_occurrences_start_when_due(struct cell_fixture *f,
					    const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(2, 1, 300);
	struct cell_client_job *job =
		cell_sim_job_new(&f->world, "normal", "a", &step, 1, 300 * MS);

	job->job_spec->repeats = 3;
	job->job_spec->first_run_ms = cell_sim_wall_ms(&f->world) + 2000;
	job->job_spec->interval_ms = 1500;
	cell_sim_submit(&f->world, 0, job);
	cell_sim_run(&f->world, 1900 * MS);
	g_assert_cmpuint(job->starts, ==, 0);
	cell_sim_run(&f->world, 300 * MS);
	g_assert_cmpuint(job->starts, ==, 2);
	follow(&f->world, 2 * S);
	g_assert_cmpuint(job->starts, ==, 4);
	follow(&f->world, 3 * S);
	g_assert_cmpuint(job->starts, ==, 6);
	g_assert_cmpint(job->shown, ==, RJ_CELL_JOB_COMPLETED);
}

/*
 * A job waits for ever although the one worker that has its label is idle.
 * The first run failed there, by the job's own fault.
 * Cause: a task never went back to the worker of its last failure.
 */
static void test_the_only_worker_is_tried_again(struct cell_fixture *f,
						const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 500);
	struct cell_client_job *job;

	g_strlcpy(step.label, f->world.workers[0].heartbeat.rack,
		  sizeof(step.label));
	for (uint32_t i = 1; i < small.rack_workers; i++)
		cell_sim_worker_kill(&f->world, i);
	follow(&f->world, 6 * S);
	job = cell_sim_job_new(&f->world, "normal", "a", &step, 1, 500 * MS);
	job->fail_times = 1;
	cell_sim_submit(&f->world, 0, job);
	follow(&f->world, 6 * S);
	g_assert_cmpuint(job->starts, ==, 2);
	g_assert_cmpint(job->shown, ==, RJ_CELL_JOB_COMPLETED);
}

/*
 * On a deployment with short leases no task ever ends, and no call is served.
 * The owner's polls waited longer than a lease lasts, and the configuration
 * was asked for less often than keys are good.
 */
static void test_short_leases_and_bounds(void)
{
	struct cell_sim_options plan = small;
	struct cell_sim *world = g_new0(struct cell_sim, 1);
	struct rj_cell_step step = cell_sim_plain_step(4, 1, 5000);
	struct cell_client_job *job;

	plan.lease_max_ms = 1200;
	plan.revoke_ms = 1200;
	cell_sim_init(world, &plan);
	cell_sim_run(world, 3 * S);
	job = cell_sim_job_new(world, "normal", "a", &step, 1, 5 * S);
	cell_sim_submit(world, 0, job);
	follow(world, 8 * S);
	g_assert_cmpint(job->shown, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(job->starts, ==, 4);
	g_assert_cmpuint(world->violations->len, ==, 0);
	cell_sim_finish(world);
	g_free(world);
}

/*
 * All instances lose power, and a worker leaves meanwhile with a task on it.
 * Its caller waits: nobody can reach the worker, and its lease has to lapse.
 * That takes a lease's time, and not ten seconds more, for which an owner that
 * lives goes on without the log: the former owner has just started anew.
 */
static void test_a_task_lost_with_all_power(struct cell_fixture *f,
					    const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 2000);
	struct cell_client_job *job;

	follow(&f->world, 20 * S);
	job = cell_sim_job_new(&f->world, "normal", "a", &step, 1, 2 * S);
	cell_sim_submit(&f->world, 0, job);
	cell_sim_run(&f->world, S);
	g_assert_cmpuint(job->starts, ==, 1);
	for (uint32_t i = 0; i < small.nodes; i++)
		cell_sim_node_kill(&f->world, i);
	for (uint32_t i = 0; i < small.workers; i++)
		if (f->world.workers[i].runs->len)
			cell_sim_worker_kill(&f->world, i);
	cell_sim_run(&f->world, S);
	for (uint32_t i = 0; i < small.nodes; i++)
		cell_sim_node_start(&f->world, i);
	follow(&f->world, 10 * S);
	g_assert_cmpuint(job->starts, ==, 2);
	g_assert_cmpint(job->shown, ==, RJ_CELL_JOB_COMPLETED);
}

/* A worker that ends its tasks behind a cut and then deregisters keeps them
 * until its lease lapses, though the next step could run. */
static void test_a_worker_that_left_after_a_cut(struct cell_fixture *f,
						const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 2000);
	struct cell_client_job *job =
		cell_sim_job_new(&f->world, "normal", "a", &step, 1, 2 * S);
	uint32_t worker = 0;

	cell_sim_submit(&f->world, 0, job);
	follow(&f->world, S);
	while (!f->world.workers[worker].runs->len)
		worker++;
	cell_sim_worker_partition(&f->world, worker, true);
	follow(&f->world, 2 * S);
	g_assert_cmpuint(f->world.workers[worker].completions->len, ==, 1);
	cell_sim_worker_partition(&f->world, worker, false);
	cell_sim_worker_deregister(&f->world, worker);
	follow(&f->world, 2 * S);
	g_assert_cmpuint(job->starts, ==, 2);
	follow(&f->world, 3 * S);
	g_assert_cmpint(job->shown, ==, RJ_CELL_JOB_COMPLETED);
}

/* A perpetual task is started again however it ends, at another instance's
 * hands too, until its job is cancelled. */
static void test_perpetual_tasks_are_restarted(struct cell_fixture *f,
					       const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(2, 1, 300);
	struct cell_client_job *job;
	int owner;

	step.perpetual = true;
	job = cell_sim_job_new(&f->world, "normal", "a", &step, 1, 900 * S);
	job->fail_times = 6;
	job->work_us = 2 * S; /* they fail half-way, six times */
	cell_sim_submit(&f->world, 0, job);
	follow(&f->world, 4 * S);
	owner = cell_sim_owner(&f->world);
	cell_sim_node_kill(&f->world, (uint32_t)owner);
	follow(&f->world, 12 * S);
	g_assert_cmpuint(job->starts, >=, 12);
	g_assert_cmpint(job->shown, ==, RJ_CELL_JOB_RUNNING);
	cell_sim_cancel(&f->world, (uint32_t)(owner + 1) % small.nodes, job);
	follow(&f->world, 3 * S);
	for (uint32_t i = 0; i < small.workers; i++)
		g_assert_cmpuint(f->world.workers[i].runs->len, ==, 0);
}

/* A job that nobody has handed in does not exist, once the log was read. */
static void test_an_unknown_job_is_gone(struct cell_fixture *f,
					const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 500);
	struct cell_client_job *job =
		cell_sim_job_new(&f->world, "normal", "a", &step, 1, S);

	job->accepted = true; /* so that the answer is noted */
	cell_sim_query(&f->world, 0, job);
	cell_sim_run(&f->world, 50 * MS);
	g_assert_true(job->gone);
}

/* Put a job into the jobs' log as the version before did. */
static void put_former(struct cell_sim *world,
		       const struct cell_client_job *job, uint32_t state)
{
	char key[RJ_CELL_KEY_BYTES];
	struct rj_packer out;
	struct rj_bytes bytes =
		rj_cell_job_spec_encode(world->mem, job->job_spec);

	rj_cell_record_key(key, RJ_CELL_RECORD_JOB_SPEC, job->id);
	cell_log_put(world, RJ_CELL_TOPIC_JOBS, key, bytes.data, bytes.length);
	rj_pack_init(&out);
	rj_pack_number(&out, 1); /* format */
	rj_pack_number(&out, state);
	rj_pack_bool(&out, true); /* started */
	rj_pack_number(&out, 1); /* occurrences begun, and done */
	rj_pack_number(&out, 1);
	bytes = rj_pack_finish(&out, world->mem);
	rj_cell_record_key(key, RJ_CELL_RECORD_PROGRESS, job->id);
	cell_log_put(world, RJ_CELL_TOPIC_JOBS, key, bytes.data, bytes.length);
}

/* After an upgrade, a job that had ended before runs again. */
static void test_ended_before_an_upgrade(struct cell_fixture *f,
					 const void *data)
{
	struct cell_sim *world = &f->world;
	struct rj_cell_step step = cell_sim_plain_step(2, 1, 1000);
	struct cell_client_job *job =
		cell_sim_job_new(world, "normal", "a", &step, 1, S);

	for (uint32_t i = 0; i < world->plan.nodes; i++)
		cell_sim_node_kill(world, i);
	put_former(world, job, RJ_CELL_JOB_COMPLETED);
	for (uint32_t i = 0; i < world->plan.nodes; i++)
		cell_sim_node_start(world, i);
	cell_sim_run(world, 3 * S);
	cell_sim_query(world, 0, job);
	cell_sim_run(world, 100 * MS);
	g_assert_cmpint(job->shown, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(job->starts, ==, 0);
}

#define ADD(name, function) CELL_TEST("/cell_path/" name, &small, function)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("job", test_a_job_runs);
	ADD("gang", test_a_gang_runs);
	ADD("cancel", test_a_cancelled_job_stops);
	ADD("attempts", test_attempts_are_counted);
	ADD("repeat", test_a_repeated_submission_is_one_job);
	ADD("apart", test_tasks_kept_apart_in_one_plan);
	ADD("through", test_a_member_that_is_through_is_not_stuck);
	ADD("unknown", test_an_unknown_job_is_gone);
	ADD("refusals", test_refusals_are_not_repeated_at_once);
	ADD("occurrences", test_occurrences_start_when_due);
	ADD("only_worker", test_the_only_worker_is_tried_again);
	ADD("all_power", test_a_task_lost_with_all_power);
	ADD("left", test_a_worker_that_left_after_a_cut);
	ADD("perpetual", test_perpetual_tasks_are_restarted);
	g_test_add_func("/cell_path/short_leases",
			test_short_leases_and_bounds);
	ADD("upgrade", test_ended_before_an_upgrade);
	return g_test_run();
}
