/*
 * The whole path of a job in a simulation: submit, place, run, store, query.
 */
#include <string.h>
#include <talloc.h>

#include "private/pack.h"
#include "support/cell_fixture.h"

/* Twelve workers with eight accelerators each in three racks; three nodes. */
static const struct cell_sim_options small = {
	CELL_SITE(1, 3, 12, 4, 32),
};

/* The same with more queues than a heartbeat has rows of loads. */
static const struct cell_sim_options many_queues = {
	CELL_SITE(1, 3, 12, 4, 32),
	.extra_queues = 300,
};
#define PENDING_JOBS 3

/* Advances the time while the clients query each job. */
static void run_with_queries(struct cell_sim *sim, uint64_t for_us)
{
	for (uint64_t ran_us = 0; ran_us < for_us; ran_us += 200 * MS) {
		cell_sim_run(sim, 200 * MS);
		for (guint i = 0; i < sim->job_list->len; i++)
			cell_sim_query(sim, (i + 1) % sim->options.nodes,
				       sim->job_list->pdata[i]);
	}
}

/* A job of two steps is accepted within 50 ms and completes, and an instance
 * that did not accept it reports so. */
static void test_a_job_runs(struct cell_fixture *f, const void *data)
{
	uint32_t first = 0;
	struct rj_cell_step steps[2] = { cell_sim_plain_step(4, 1, 1000),
					 cell_sim_plain_step(2, 2, 1000) };
	struct cell_client_job *job;

	steps[1].after = &first;
	steps[1].after_count = 1;
	job = cell_sim_job_new(&f->sim, "normal", "a", steps, 2, S);
	cell_sim_submit(&f->sim, 0, job);
	cell_sim_run(&f->sim, 50 * MS);
	g_assert_true(job->accepted);
	run_with_queries(&f->sim, 6 * S);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	cell_sim_check_final(&f->sim);
}

/* A gang on three workers of one rack runs and completes as one. */
static void test_a_gang_runs(struct cell_fixture *f, const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(3, 8, 1000);
	struct cell_client_job *job;

	step.gang = true;
	step.one_rack = true;
	job = cell_sim_job_new(&f->sim, "urgent", "a", &step, 1, 2 * S);
	cell_sim_submit(&f->sim, 1, job);
	run_with_queries(&f->sim, 5 * S);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(f->sim.starts, ==, 3);
	cell_sim_check_final(&f->sim);
}

/* A cancelled job stops, and is reported as cancelled. */
static void test_a_cancelled_job_stops(struct cell_fixture *f, const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(4, 1, 1000);
	struct cell_client_job *job =
		cell_sim_job_new(&f->sim, "bulk", "a", &step, 1, 60 * S);

	cell_sim_submit(&f->sim, 0, job);
	run_with_queries(&f->sim, S);
	cell_sim_cancel(&f->sim, 2, job);
	run_with_queries(&f->sim, 2 * S);
	g_assert_true(job->cancelled);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_CANCELLED);
	for (uint32_t i = 0; i < small.workers; i++)
		g_assert_cmpuint(f->sim.workers[i].runs->len, ==, 0);
}

/* A job whose tasks fail three times completes at the fourth attempt; one that
 * always fails ends as failed. */
static void test_attempts_are_counted(struct cell_fixture *f, const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 500);
	struct cell_client_job *recovering =
		cell_sim_job_new(&f->sim, "normal", "a", &step, 1, 500 * MS);
	struct cell_client_job *failing =
		cell_sim_job_new(&f->sim, "normal", "a", &step, 1, 500 * MS);

	recovering->failing_runs = 3;
	failing->failing_runs = 99;
	cell_sim_submit(&f->sim, 0, recovering);
	cell_sim_submit(&f->sim, 0, failing);
	run_with_queries(&f->sim, 8 * S);
	g_assert_cmpint(recovering->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpint(failing->state, ==, RJ_CELL_JOB_FAILED);
}

/* Repeated submissions of a job, also after its end, create one job. */
static void test_a_repeated_submission_is_one_job(struct cell_fixture *f,
						  const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(2, 1, 500);
	struct cell_client_job *job =
		cell_sim_job_new(&f->sim, "normal", "a", &step, 1, 500 * MS);

	cell_sim_submit(&f->sim, 0, job);
	cell_sim_submit(&f->sim, 1, job);
	run_with_queries(&f->sim, 3 * S);
	cell_sim_submit(&f->sim, 2, job);
	run_with_queries(&f->sim, 3 * S);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(f->sim.starts, ==, 2);
}

/*
 * Guards against two tasks on one worker that must not share one, when one plan
 * places both and the rule is checked only against the runs already on the
 * worker.
 */
static void test_tasks_kept_apart_in_one_plan(struct cell_fixture *f,
					      const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(6, 1, 500);
	struct cell_client_job *job;

	step.per_worker_max = 1;
	job = cell_sim_job_new(&f->sim, "bulk", "a", &step, 1, S);
	cell_sim_submit(&f->sim, 0, job);
	run_with_queries(&f->sim, 3 * S);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
}

/*
 * Guards against restarting a gang just before its end: members run at
 * different speeds, and the fast ones, which wait at 100 percent, look stalled.
 */
static void test_finished_member_is_not_stalled(struct cell_fixture *f,
						const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(3, 8, 1000);
	struct cell_client_job *job;

	step.gang = true;
	job = cell_sim_job_new(&f->sim, "normal", "a", &step, 1, 16 * S);
	cell_sim_submit(&f->sim, 0, job);
	run_with_queries(&f->sim, 24 * S);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(f->sim.starts, ==, 3);
}

/*
 * Guards against starts repeated many times a second when workers reject them:
 * each rejection frees the capacity for the next start.
 */
static void test_refusals_are_not_repeated_at_once(struct cell_fixture *f,
						   const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 500);
	struct cell_client_job *job =
		cell_sim_job_new(&f->sim, "normal", "a", &step, 1, S);

	for (uint32_t i = 0; i < small.workers; i++)
		f->sim.workers[i].requires_ticket = true;
	cell_sim_submit(&f->sim, 0, job);
	cell_sim_run(&f->sim, 5 * S);
	g_assert_true(job->accepted);
	g_assert_cmpuint(f->sim.refused_starts, >, 0);
	g_assert_cmpuint(f->sim.refused_starts, <, 10);
}

/* An occurrence starts when it is due and not earlier; the last one ends the
 * job. */
static void test_occurrences_start_when_due(struct cell_fixture *f,
					    const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(2, 1, 300);
	struct cell_client_job *job =
		cell_sim_job_new(&f->sim, "normal", "a", &step, 1, 300 * MS);

	job->spec->repeats = 3;
	job->spec->first_run_ms = cell_sim_wall_ms(&f->sim) + 2000;
	job->spec->interval_ms = 1500;
	cell_sim_submit(&f->sim, 0, job);
	cell_sim_run(&f->sim, 1900 * MS);
	g_assert_cmpuint(job->starts, ==, 0);
	cell_sim_run(&f->sim, 300 * MS);
	g_assert_cmpuint(job->starts, ==, 2);
	run_with_queries(&f->sim, 2 * S);
	g_assert_cmpuint(job->starts, ==, 4);
	run_with_queries(&f->sim, 3 * S);
	g_assert_cmpuint(job->starts, ==, 6);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
}

/*
 * Guards against a job that waits for ever although the only worker with its
 * label is idle, because its first run failed there by the job's own fault and
 * a task is never placed on the worker of its last failure.
 */
static void test_only_matching_worker_is_retried(struct cell_fixture *f,
						 const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 500);
	struct cell_client_job *job;

	g_strlcpy(step.label, f->sim.workers[0].reported.rack,
		  sizeof(step.label));
	for (uint32_t i = 1; i < small.rack_workers; i++)
		cell_sim_worker_kill(&f->sim, i);
	run_with_queries(&f->sim, 6 * S);
	job = cell_sim_job_new(&f->sim, "normal", "a", &step, 1, 500 * MS);
	job->failing_runs = 1;
	cell_sim_submit(&f->sim, 0, job);
	run_with_queries(&f->sim, 6 * S);
	g_assert_cmpuint(job->starts, ==, 2);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
}

/*
 * Guards against a deployment with a short lease and revocation bound in which
 * no task ends and no call is served, because the owner's polls wait longer
 * than a lease lasts and the configuration is read too rarely for keys to be
 * accepted.
 */
static void test_short_leases_and_bounds(void)
{
	struct cell_sim_options options = small;
	struct cell_sim *sim = g_new0(struct cell_sim, 1);
	struct rj_cell_step step = cell_sim_plain_step(4, 1, 5000);
	struct cell_client_job *job;

	options.lease_max_ms = 1200;
	options.revoke_ms = 1200;
	cell_sim_init(sim, &options);
	cell_sim_run(sim, 3 * S);
	job = cell_sim_job_new(sim, "normal", "a", &step, 1, 5 * S);
	cell_sim_submit(sim, 0, job);
	run_with_queries(sim, 8 * S);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(job->starts, ==, 4);
	g_assert_cmpuint(sim->violations->len, ==, 0);
	cell_sim_finish(sim);
	g_free(sim);
}

/*
 * Guards against a client that waits too long after all instances lost power
 * and a worker was lost with its task meanwhile. The lease of the unreachable
 * worker has to expire, but not also the ten seconds that a running owner
 * continues without the log: the former owner has just restarted.
 */
static void test_task_lost_in_a_power_failure(struct cell_fixture *f,
					      const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 2000);
	struct cell_client_job *job;

	run_with_queries(&f->sim, 20 * S);
	job = cell_sim_job_new(&f->sim, "normal", "a", &step, 1, 2 * S);
	cell_sim_submit(&f->sim, 0, job);
	cell_sim_run(&f->sim, S);
	g_assert_cmpuint(job->starts, ==, 1);
	for (uint32_t i = 0; i < small.nodes; i++)
		cell_sim_node_kill(&f->sim, i);
	for (uint32_t i = 0; i < small.workers; i++)
		if (f->sim.workers[i].runs->len)
			cell_sim_worker_kill(&f->sim, i);
	cell_sim_run(&f->sim, S);
	for (uint32_t i = 0; i < small.nodes; i++)
		cell_sim_node_start(&f->sim, i);
	run_with_queries(&f->sim, 10 * S);
	g_assert_cmpuint(job->starts, ==, 2);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
}

/* Guards against tasks that completed on a partitioned worker which then
 * deregistered: they must not wait for its lease to expire. */
static void test_worker_deregisters_after_a_partition(struct cell_fixture *f,
						      const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 2000);
	struct cell_client_job *job =
		cell_sim_job_new(&f->sim, "normal", "a", &step, 1, 2 * S);
	uint32_t worker = 0;

	cell_sim_submit(&f->sim, 0, job);
	run_with_queries(&f->sim, S);
	while (!f->sim.workers[worker].runs->len)
		worker++;
	cell_sim_worker_partition(&f->sim, worker, true);
	run_with_queries(&f->sim, 2 * S);
	g_assert_cmpuint(f->sim.workers[worker].completions->len, ==, 1);
	cell_sim_worker_partition(&f->sim, worker, false);
	cell_sim_worker_deregister(&f->sim, worker);
	run_with_queries(&f->sim, 2 * S);
	g_assert_cmpuint(job->starts, ==, 2);
	run_with_queries(&f->sim, 3 * S);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
}

/* A perpetual task is started again however it ends, also by another owner,
 * until its job is cancelled. */
static void test_perpetual_tasks_are_restarted(struct cell_fixture *f,
					       const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(2, 1, 300);
	struct cell_client_job *job;
	int owner;

	step.perpetual = true;
	job = cell_sim_job_new(&f->sim, "normal", "a", &step, 1, 900 * S);
	job->failing_runs = 6;
	job->duration_us = 2 * S; /* each run fails half-way, six times */
	cell_sim_submit(&f->sim, 0, job);
	run_with_queries(&f->sim, 4 * S);
	owner = cell_sim_owner(&f->sim);
	cell_sim_node_kill(&f->sim, (uint32_t)owner);
	run_with_queries(&f->sim, 12 * S);
	g_assert_cmpuint(job->starts, >=, 12);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_RUNNING);
	cell_sim_cancel(&f->sim, (uint32_t)(owner + 1) % small.nodes, job);
	run_with_queries(&f->sim, 3 * S);
	for (uint32_t i = 0; i < small.workers; i++)
		g_assert_cmpuint(f->sim.workers[i].runs->len, ==, 0);
}

/* A job that was never submitted is reported as not found once the log has been
 * read. */
static void test_unknown_job_is_not_found(struct cell_fixture *f,
					  const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 500);
	struct cell_client_job *job =
		cell_sim_job_new(&f->sim, "normal", "a", &step, 1, S);

	job->accepted = true; /* so that the answer is recorded */
	cell_sim_query(&f->sim, 0, job);
	cell_sim_run(&f->sim, 50 * MS);
	g_assert_true(job->not_found);
}

/* Writes a job into the jobs topic in the format of the previous version. */
static void put_old_format(struct cell_sim *sim,
			   const struct cell_client_job *job, uint32_t state)
{
	char key[RJ_CELL_KEY_BYTES];
	struct rj_packer out;
	struct rj_bytes bytes = rj_cell_job_spec_encode(sim->mem, job->spec);

	rj_cell_record_key(key, RJ_CELL_RECORD_JOB_SPEC, job->id);
	cell_log_put(sim, RJ_CELL_TOPIC_JOBS, key, bytes.data, bytes.length);
	rj_pack_init(&out);
	rj_pack_number(&out, 1); /* format */
	rj_pack_number(&out, state);
	rj_pack_bool(&out, true); /* started */
	rj_pack_number(&out, 1); /* occurrences started, and completed */
	rj_pack_number(&out, 1);
	bytes = rj_pack_finish(&out, sim->mem);
	rj_cell_record_key(key, RJ_CELL_RECORD_PROGRESS, job->id);
	cell_log_put(sim, RJ_CELL_TOPIC_JOBS, key, bytes.data, bytes.length);
}

/* Guards against running a job again that ended before an upgrade. */
static void test_ended_before_an_upgrade(struct cell_fixture *f,
					 const void *data)
{
	struct cell_sim *sim = &f->sim;
	struct rj_cell_step step = cell_sim_plain_step(2, 1, 1000);
	struct cell_client_job *job =
		cell_sim_job_new(sim, "normal", "a", &step, 1, S);

	for (uint32_t i = 0; i < sim->options.nodes; i++)
		cell_sim_node_kill(sim, i);
	put_old_format(sim, job, RJ_CELL_JOB_COMPLETED);
	for (uint32_t i = 0; i < sim->options.nodes; i++)
		cell_sim_node_start(sim, i);
	cell_sim_run(sim, 3 * S);
	cell_sim_query(sim, 0, job);
	cell_sim_run(sim, 100 * MS);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(job->starts, ==, 0);
}

/* Kills all instances and starts them again half a second later. */
static void restart_all(struct cell_sim *sim)
{
	for (uint32_t i = 0; i < sim->options.nodes; i++)
		cell_sim_node_kill(sim, i);
	cell_sim_run(sim, 500 * MS);
	for (uint32_t i = 0; i < sim->options.nodes; i++)
		cell_sim_node_start(sim, i);
}

/* Whether the newest record of a job's state removes it. */
static bool is_state_removed(const struct cell_sim *sim,
			     const struct cell_client_job *job)
{
	const GPtrArray *records = sim->log.records[RJ_CELL_TOPIC_JOBS];
	char key[RJ_CELL_KEY_BYTES];

	rj_cell_record_key(key, RJ_CELL_RECORD_STATE, job->id);
	for (guint i = records->len; i > 0; i--) {
		const struct cell_log_record *record = records->pdata[i - 1];

		if (!strcmp(record->key, key))
			return !record->value;
	}
	return false;
}

/* Guards against a job that has ended and runs again: all instances were lost
 * before its spec was removed, and again just after its state was. */
static void test_expired_job_does_not_return(struct cell_fixture *f,
					     const void *data)
{
	struct cell_sim *sim = &f->sim;
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 500);
	struct cell_client_job *job =
		cell_sim_job_new(sim, "normal", "a", &step, 1, 500 * MS);

	cell_sim_submit(sim, 0, job);
	while (!job->ended_us) {
		cell_sim_run(sim, 10 * MS);
		cell_sim_query(sim, (uint32_t)cell_sim_owner(sim), job);
	}
	restart_all(sim);
	cell_sim_run(sim, 100 * S);
	while (!is_state_removed(sim, job))
		cell_sim_run(sim, MS);
	restart_all(sim);
	cell_sim_run(sim, 10 * S);
	g_assert_cmpuint(job->starts, ==, 1);
}

/* Guards against a job that is accepted and not stored: the removal of an earlier
 * cancellation of its id counted as the end of a job. */
static void
test_id_is_submitted_as_its_cancellation_expires(struct cell_fixture *f,
						 const void *data)
{
	struct cell_sim *sim = &f->sim;
	uint32_t owner = (uint32_t)cell_sim_owner(sim);
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 500);
	struct cell_client_job *job =
		cell_sim_job_new(sim, "normal", "a", &step, 1, 500 * MS);

	cell_sim_cancel(sim, owner, job);
	cell_sim_run(sim, 100 * S);
	while (!is_state_removed(sim, job))
		cell_sim_run(sim, MS);
	cell_sim_run(sim, 10 * MS);
	cell_sim_submit(sim, owner, job);
	cell_sim_run(sim, 5 * S);
	g_assert_true(job->accepted);
	cell_sim_query(sim, owner, job);
	cell_sim_run(sim, S);
	g_assert_false(job->not_found);
}

/* Returns an instance that is neither the owner nor `other`. */
static uint32_t third_node(const struct cell_sim *sim, uint32_t other)
{
	for (uint32_t i = 0; i < sim->options.nodes; i++)
		if ((int)i != cell_sim_owner(sim) && i != other)
			return i;
	g_assert_not_reached();
}

/* Guards against a job that is not found at another instance than the one that
 * accepted it, while no owner has published its state. */
static void test_unpublished_job_is_found(struct cell_fixture *f,
					  const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 2000);
	uint32_t owner = (uint32_t)cell_sim_owner(&f->sim);
	uint32_t node = owner ? 0 : 1;
	uint32_t third = third_node(&f->sim, node);
	struct cell_client_job *job =
		cell_sim_job_new(&f->sim, "normal", "a", &step, 1, 2000 * MS);

	cell_sim_node_kill(&f->sim, owner);
	cell_sim_submit(&f->sim, node, job);
	cell_sim_run(&f->sim, 30 * MS);
	g_assert_true(job->accepted);
	cell_sim_query(&f->sim, third, job);
	cell_sim_run(&f->sim, 100 * MS);
	g_assert_true(job->has_state);
	g_assert_false(job->not_found);
}

/* Guards against an instance that follows the log of requests for good once a
 * client has asked for a job that does not exist. */
static void test_missing_job_is_looked_up_once(struct cell_fixture *f,
					       const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 2000);
	uint32_t node = cell_sim_owner(&f->sim) ? 0 : 1;
	struct cell_client_job *job =
		cell_sim_job_new(&f->sim, "normal", "a", &step, 1, 2000 * MS);

	job->accepted = true;
	cell_sim_query(&f->sim, node, job);
	cell_sim_run(&f->sim, 200 * MS);
	g_assert_true(job->not_found);
	g_assert_cmpint(f->sim.nodes[node].node.requests.state, ==,
			RJ_CELL_LOG_READER_IDLE);
	job->accepted = false;
	job->not_found = false;
}

/* Number of pending jobs that a node tells its callers. */
static uint32_t pending_at(const struct cell_sim *sim, uint32_t node,
			   const char *queue)
{
	return rj_cell_owner_heartbeat_pending(
		&sim->nodes[node].node.frontend.heartbeat, queue);
}

/* Guards against a successor that reports no pending jobs before it has loaded
 * them. */
static void test_pending_jobs_are_known_in_a_takeover(struct cell_fixture *f,
						      const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(12, 8, 20000);
	uint32_t owner = (uint32_t)cell_sim_owner(&f->sim);
	uint32_t node = owner ? 0 : 1;

	for (uint32_t i = 0; i < 5; i++) {
		cell_sim_submit(&f->sim, node,
				cell_sim_job_new(&f->sim, "normal", "a", &step,
						 1, 20 * S));
		cell_sim_run(&f->sim, 100 * MS);
	}
	cell_sim_run(&f->sim, 2 * S);
	g_assert_cmpuint(pending_at(&f->sim, node, "normal"), ==, 4);
	f->sim.log.latency_us = 100 * MS;
	cell_sim_node_kill(&f->sim, owner);
	for (uint32_t i = 0; i < 500; i++) {
		cell_sim_run(&f->sim, 10 * MS);
		g_assert_cmpuint(pending_at(&f->sim, node, "normal"), ==, 4);
	}
	g_assert_cmpint(cell_sim_owner(&f->sim), >=, 0);
}

/* Guards against jobs that are not counted as pending while the workers refuse
 * to start them, also in a takeover. */
static void test_refused_jobs_are_pending(struct cell_fixture *f,
					  const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(2, 1, 500);
	uint32_t owner = (uint32_t)cell_sim_owner(&f->sim);
	uint32_t node = owner ? 0 : 1;

	for (uint32_t i = 0; i < small.workers; i++)
		f->sim.workers[i].unhealthy = true;
	for (uint32_t i = 0; i < PENDING_JOBS; i++)
		cell_sim_submit(&f->sim, node,
				cell_sim_job_new(&f->sim, "normal", "a", &step,
						 1, 500 * MS));
	cell_sim_run(&f->sim, 3 * S);
	g_assert_cmpuint(pending_at(&f->sim, node, "normal"), ==, PENDING_JOBS);
	cell_sim_node_kill(&f->sim, owner);
	for (uint32_t i = 0; i < 100; i++) {
		cell_sim_run(&f->sim, 100 * MS);
		g_assert_cmpuint(pending_at(&f->sim, node, "normal"), ==,
				 PENDING_JOBS);
	}
	for (uint32_t i = 0; i < small.workers; i++)
		f->sim.workers[i].unhealthy = false;
	cell_sim_run(&f->sim, 10 * S);
	g_assert_cmpuint(pending_at(&f->sim, node, "normal"), ==, 0);
}

#define ADD(name, function) CELL_TEST("/cell_path/" name, &small, function)

/* Checks the pending jobs of all extra queues at all nodes but one. */
static void check_pending(const struct cell_sim *sim, uint32_t except)
{
	for (uint32_t i = 0; i < sim->options.extra_queues; i++) {
		char queue[RJ_NAME_BYTES];

		(void)g_snprintf(queue, sizeof(queue), "q%u", i);
		for (uint32_t node = 0; node < sim->options.nodes; node++)
			if (node != except)
				g_assert_cmpuint(pending_at(sim, node, queue),
						 ==, PENDING_JOBS);
	}
}

/* Guards against queues whose pending jobs callers are not told, as there are
 * more queues than the heartbeat's table of loads holds, also in a takeover. */
static void test_pending_jobs_of_many_queues(struct cell_fixture *f,
					     const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 8, 1000);
	uint32_t owner = (uint32_t)cell_sim_owner(&f->sim);

	for (uint32_t i = 0; i < f->sim.options.workers; i++)
		cell_sim_worker_kill(&f->sim, i);
	for (uint32_t i = 0; i < f->sim.options.extra_queues * PENDING_JOBS;
	     i++) {
		char queue[RJ_NAME_BYTES];

		(void)g_snprintf(queue, sizeof(queue), "q%u", i / PENDING_JOBS);
		cell_sim_submit(
			&f->sim, 0,
			cell_sim_job_new(&f->sim, queue, "a", &step, 1, S));
	}
	cell_sim_run(&f->sim, 3 * S);
	check_pending(&f->sim, f->sim.options.nodes);
	cell_sim_node_kill(&f->sim, owner);
	for (uint32_t i = 0; i < 30; i++) {
		cell_sim_run(&f->sim, 100 * MS);
		check_pending(&f->sim, owner);
	}
	g_assert_cmpint(cell_sim_owner(&f->sim), >=, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("job", test_a_job_runs);
	ADD("gang", test_a_gang_runs);
	ADD("cancel", test_a_cancelled_job_stops);
	ADD("attempts", test_attempts_are_counted);
	ADD("repeat", test_a_repeated_submission_is_one_job);
	ADD("apart", test_tasks_kept_apart_in_one_plan);
	ADD("through", test_finished_member_is_not_stalled);
	ADD("unknown", test_unknown_job_is_not_found);
	ADD("refusals", test_refusals_are_not_repeated_at_once);
	ADD("occurrences", test_occurrences_start_when_due);
	ADD("unpublished", test_unpublished_job_is_found);
	ADD("pending", test_pending_jobs_are_known_in_a_takeover);
	ADD("refused_pending", test_refused_jobs_are_pending);
	ADD("missing", test_missing_job_is_looked_up_once);
	ADD("only_worker", test_only_matching_worker_is_retried);
	ADD("all_power", test_task_lost_in_a_power_failure);
	ADD("left", test_worker_deregisters_after_a_partition);
	ADD("perpetual", test_perpetual_tasks_are_restarted);
	g_test_add_func("/cell_path/short_leases",
			test_short_leases_and_bounds);
	ADD("upgrade", test_ended_before_an_upgrade);
	ADD("expired", test_expired_job_does_not_return);
	ADD("cancellation_expires",
	    test_id_is_submitted_as_its_cancellation_expires);
	CELL_TEST("/cell_path/pending_of_many_queues", &many_queues,
		  test_pending_jobs_of_many_queues);
	return g_test_run();
}
