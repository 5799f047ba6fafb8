/*
 * Tests of what happens when workers, failure domains, the log or the owner are
 * unreachable.
 */
#include <string.h>
#include <talloc.h>

#include "private/cell_reachability.h"
#include "support/cell_fake.h"
#include "support/cell_fixture.h"
#include "support/cell_load.h"

/* Bound for the takeover from a killed owner. */
#define TAKEOVER_MAX_US (1350 * MS)

/* Twelve workers with eight accelerators each in three racks, each rack a
 * failure domain; three nodes. */
#define SITE                                                     \
	.seed = 3, .nodes = 3, .workers = 12, .rack_workers = 4, \
	.capacity = { 64000, 64000, 8 }, .guaranteed = 32
static const struct cell_sim_options site = { SITE };
/* The same site; a task may fail once. */
static const struct cell_sim_options two_attempts = { SITE, .attempts_max = 2 };

/* Three workers of one rack. */
static const struct cell_sim_options three_workers = {
	.seed = 3,
	.nodes = 3,
	.workers = 3,
	.rack_workers = 3,
	.capacity = { 64000, 64000, 8 },
	.guaranteed = 24,
};

/* Partitions the workers of a failure domain from all nodes and the log, or
 * heals the partition. */
static void partition_domain(struct cell_sim *sim, const char *domain,
			     bool partitioned)
{
	for (uint32_t i = 0; i < sim->options.workers; i++)
		if (!strcmp(sim->workers[i].reported.domain, domain))
			cell_sim_worker_partition(sim, i, partitioned);
}

/* Counts the runs on the workers of a failure domain. */
static guint runs_in(const struct cell_sim *sim, const char *domain)
{
	guint runs = 0;

	for (uint32_t i = 0; i < sim->options.workers; i++)
		if (!strcmp(sim->workers[i].reported.domain, domain))
			runs += sim->workers[i].runs->len;
	return runs;
}

/* Returns a node that does not own the cell. */
static uint32_t other_node(const struct cell_sim *sim)
{
	return (uint32_t)(cell_sim_owner(sim) + 1) % sim->options.nodes;
}

/* Submits an urgent job of one step. */
static struct cell_client_job *submit_job(struct cell_sim *sim, uint32_t node,
					  const struct rj_cell_step *step)
{
	struct cell_client_job *job =
		cell_sim_job_new(sim, "urgent", "a", step, 1, 2 * S);

	cell_sim_submit(sim, node, job);
	return job;
}

/* Guards against starts in a failure domain that was just partitioned: they
 * would wait there until their leases expire. */
static void test_starts_avoid_a_partitioned_domain(struct cell_fixture *f,
						   const void *data)
{
	static const char *const domains[] = { "d0", "d1", "d2" };
	struct rj_cell_step step = cell_sim_plain_step(4, 4, 2000);

	step.gang = true;
	for (guint i = 0; i < G_N_ELEMENTS(domains); i++) {
		struct cell_client_job *job;

		partition_domain(&f->sim, domains[i], true);
		cell_sim_run(&f->sim, 30 * MS);
		job = submit_job(&f->sim, 0, &step);
		cell_sim_run(&f->sim, 300 * MS);
		g_assert_cmpuint(job->begun_us, !=, 0);
		g_assert_cmpuint(runs_in(&f->sim, domains[i]), ==, 0);
		partition_domain(&f->sim, domains[i], false);
		cell_sim_run(&f->sim, 4 * S);
	}
}

/* Guards against a gang that waits for a stop of a member whose start, as that
 * of the others, was never sent. */
static void test_unsent_gang_is_placed_again(struct cell_fixture *f,
					     const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(2, 4, 1000);
	struct cell_client_job *jobs[2];

	step.gang = true;
	/* Connecting to it fails. */
	cell_sim_worker_partition(&f->sim, 0, true);
	for (guint i = 0; i < G_N_ELEMENTS(jobs); i++)
		jobs[i] = submit_job(&f->sim, 0, &step);
	cell_sim_run(&f->sim, 1500 * MS);
	for (guint i = 0; i < G_N_ELEMENTS(jobs); i++)
		g_assert_cmpuint(jobs[i]->begun_us, !=, 0);
	g_assert_cmpuint(f->sim.workers[0].runs->len, ==, 0);
	cell_sim_worker_partition(&f->sim, 0, false);
	cell_sim_run(&f->sim, 3 * S);
}

/* Lets a task complete during a partition of its worker; the worker deregisters
 * half a second after the partition has healed. */
static void complete_behind_partition(struct cell_sim *sim,
				      uint64_t partition_us)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 2000);
	struct cell_client_job *job = submit_job(sim, 0, &step);
	uint32_t worker;

	cell_sim_run(sim, S);
	worker = cell_sim_busy_worker(sim);
	cell_sim_worker_partition(sim, worker, true);
	cell_sim_run(sim, partition_us);
	cell_sim_worker_partition(sim, worker, false);
	cell_sim_run(sim, 500 * MS);
	cell_sim_worker_deregister(sim, worker);
	cell_sim_run(sim, 2 * S);
	cell_sim_query(sim, 1, job);
	cell_sim_run(sim, 100 * MS);
	g_assert_cmpuint(job->starts, ==, 1);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
}

/* Guards against running tasks again that completed during a partition: the
 * worker deregisters soon after it has healed, before it is polled. */
static void
test_completions_are_polled_after_a_partition(struct cell_fixture *f,
					      const void *data)
{
	for (uint32_t i = 0; i < 5; i++)
		complete_behind_partition(&f->sim, (3400 + 300 * i) * MS);
}

/* Guards against a second run that goes on though the first worker, after the
 * partition has healed, lists the task as done and then deregisters. */
static void test_late_completion(struct cell_fixture *f, const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 2000);
	struct cell_client_job *job = submit_job(&f->sim, 0, &step);
	uint32_t worker;

	cell_sim_run(&f->sim, S);
	worker = cell_sim_busy_worker(&f->sim);
	job->duration_us = 30 * S; /* of the second run */
	cell_sim_worker_partition(&f->sim, worker, true);
	cell_sim_run(&f->sim, 8 * S);
	g_assert_cmpuint(job->starts, ==, 2);
	cell_sim_worker_partition(&f->sim, worker, false);
	cell_sim_run(&f->sim, 500 * MS);
	cell_sim_worker_deregister(&f->sim, worker);
	cell_sim_run(&f->sim, 1500 * MS);
	cell_sim_query(&f->sim, 1, job);
	cell_sim_run(&f->sim, 100 * MS);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	for (uint32_t i = 0; i < site.workers; i++)
		g_assert_cmpuint(f->sim.workers[i].runs->len, ==, 0);
}

/* Guards against a job that runs after its cancellation was acknowledged, as its
 * submission, which got no answer, is stored later; and against records of such
 * cancellations that are kept for ever. */
static void test_cancelled_before_it_was_stored(struct cell_fixture *f,
						const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 2000);
	uint32_t owner = (uint32_t)cell_sim_owner(&f->sim);
	uint32_t cut_off = (owner + 1) % site.nodes;
	uint32_t other = (owner + 2) % site.nodes;
	struct cell_client_job *job;

	f->sim.log.modes[cut_off] = CELL_LOG_UNREACHABLE;
	job = submit_job(&f->sim, cut_off, &step);
	cell_sim_run(&f->sim, 2 * S);
	g_assert_false(job->accepted);
	cell_sim_cancel(&f->sim, other, job);
	cell_sim_run(&f->sim, 500 * MS);
	g_assert_true(job->cancelled);
	f->sim.log.modes[cut_off] = CELL_LOG_AVAILABLE;
	cell_sim_run(&f->sim, 10 * S);
	g_assert_cmpuint(job->starts, ==, 0);
	cell_sim_query(&f->sim, other, job);
	cell_sim_run(&f->sim, 500 * MS);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_CANCELLED);

	job = cell_sim_job_new(&f->sim, "normal", "a", &step, 1, S);
	cell_sim_cancel(&f->sim, other, job);
	cell_sim_run(&f->sim, 140 * S);
	g_assert_true(job->cancelled);
	g_assert_cmpuint(f->sim.nodes[owner].node.view.count, ==, 0);
}

/* Guards against urgent jobs that concentrate in the first racks, so that the
 * loss of one failure domain stops all of them. */
static void test_urgent_jobs_spread_over_domains(struct cell_fixture *f,
						 const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(2, 4, 2000);

	step.gang = true;
	for (uint32_t i = 0; i < 6; i++) {
		submit_job(&f->sim, i % site.nodes, &step);
		cell_sim_run(&f->sim, 50 * MS);
	}
	cell_sim_run(&f->sim, 300 * MS);
	g_assert_cmpuint(runs_in(&f->sim, "d0"), ==, 4);
	g_assert_cmpuint(runs_in(&f->sim, "d1"), ==, 4);
	g_assert_cmpuint(runs_in(&f->sim, "d2"), ==, 4);
}

/* Guards against an instance that cannot reach the log and still reports itself
 * ready: clients are not redirected, and their calls time out. */
static void test_instance_with_unreachable_log(struct cell_fixture *f,
					       const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 2000);
	uint32_t node = other_node(&f->sim);
	const struct rj_cell_node *node_state = &f->sim.nodes[node].node;
	struct cell_client_job *job;

	g_assert_true(rj_cell_node_ready(node_state, f->sim.now_us));
	f->sim.log.modes[node] = CELL_LOG_UNREACHABLE;
	cell_sim_run(&f->sim, 1100 * MS);
	g_assert_false(rj_cell_node_ready(node_state, f->sim.now_us));
	job = submit_job(&f->sim, node, &step);
	cell_sim_run(&f->sim, 10 * MS);
	g_assert_cmpuint(job->refusals, ==, 1);
	f->sim.log.modes[node] = CELL_LOG_AVAILABLE;
	cell_sim_run(&f->sim, 2 * S);
	g_assert_true(rj_cell_node_ready(node_state, f->sim.now_us));
	cell_sim_submit(&f->sim, node, job);
	cell_sim_run(&f->sim, 50 * MS);
	g_assert_true(job->accepted);
}

/* Guards against an instance that reports itself ready for seconds while the
 * log refuses its calls. */
static void test_instance_refused_by_the_log(struct cell_fixture *f,
					     const void *data)
{
	uint32_t node = other_node(&f->sim);

	f->sim.log.modes[node] = CELL_LOG_REFUSING;
	cell_sim_run(&f->sim, 1300 * MS);
	g_assert_false(
		rj_cell_node_ready(&f->sim.nodes[node].node, f->sim.now_us));
}

/* Guards against an owner that learns of no job while the log wakes no long
 * poll. */
static void test_long_polls_not_woken(struct cell_fixture *f, const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 2000);
	struct cell_client_job *job;

	cell_sim_run(&f->sim, S);
	f->sim.log.no_wakeup_until_us = f->sim.now_us + 6 * S;
	cell_sim_run(&f->sim, 200 * MS);
	for (uint32_t i = 0; i < 10; i++) {
		job = submit_job(&f->sim, other_node(&f->sim), &step);
		cell_sim_run(&f->sim, 550 * MS);
		g_assert_cmpuint(job->begun_us, !=, 0);
	}
}

/* Guards against urgent jobs that wait too long for the successor of a killed
 * owner. */
static void test_a_killed_owner_is_replaced_in_time(struct cell_fixture *f,
						    const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 2000);
	uint32_t node = other_node(&f->sim);
	struct cell_client_job *job;

	cell_sim_node_kill(&f->sim, (uint32_t)cell_sim_owner(&f->sim));
	job = submit_job(&f->sim, node, &step);
	cell_sim_run(&f->sim, 1350 * MS);
	g_assert_cmpuint(job->begun_us, !=, 0);
}

/* Guards against a site where nothing starts while the log is slow. Plans are
 * made between appends, so a worker's answer must count for longer when an
 * append takes longer. */
static void test_reachability_proof_with_slow_appends(struct cell_fixture *f,
						      const void *data)
{
	struct rj_cell_owner *owner =
		&f->sim.nodes[cell_sim_owner(&f->sim)].node.owner;
	struct rj_cell_worker *worker = RJ_CONTAINER(
		owner->fleet.workers.next, struct rj_cell_worker, link);

	worker->answered_us = owner->now_us - 400 * MS;
	owner->writer.took_us = 6 * MS;
	g_assert_false(rj_cell_reachability_confirmed(owner, worker));
	owner->writer.took_us = 300 * MS;
	g_assert_true(rj_cell_reachability_confirmed(owner, worker));
	worker->answered_us = owner->now_us - 700 * MS;
	g_assert_false(rj_cell_reachability_confirmed(owner, worker));
}

/* Guards against clients of a partitioned instance that use up their retries
 * within a second, or wait for seconds although other instances would serve
 * them. */
static void test_retry_after(void)
{
	struct rj_cell_log_availability contact = { 0 };
	uint64_t answered_us = 3600 * S;

	g_assert_false(rj_cell_log_availability_update(
		&contact, answered_us, false, answered_us + 900 * MS));
	g_assert_true(rj_cell_log_availability_update(
		&contact, answered_us, true, answered_us + 250 * MS));
	g_assert_true(rj_cell_log_availability_update(&contact, answered_us + S,
						      false, answered_us + S));
	g_assert_cmpuint(contact.unavailable_since_us, ==, 0);
	g_assert_true(rj_cell_log_availability_update(
		&contact, answered_us, false, answered_us + 1100 * MS));
	g_assert_cmpuint(rj_cell_log_availability_retry_after_ms(
				 &contact, answered_us + 2 * S),
			 ==, 1000);
	g_assert_cmpuint(
		rj_cell_log_availability_retry_after_ms(
			&contact, contact.unavailable_since_us + 6 * S),
		==, 3000);
	g_assert_cmpuint(
		rj_cell_log_availability_retry_after_ms(
			&contact, contact.unavailable_since_us + 60 * S),
		==, 4000);
}

/* Guards against a successor that loses every attempt to acquire the cell
 * because other records are appended all the time. */
static void test_takeover_of_a_busy_log(struct cell_fixture *f,
					const void *data)
{
	struct cell_sim *sim = &f->sim;
	int owner = cell_sim_owner(sim);
	uint64_t killed_us = sim->now_us;

	cell_sim_node_kill(sim, (uint32_t)owner);
	while (cell_sim_owner(sim) < 0 &&
	       sim->now_us < killed_us + TAKEOVER_MAX_US) {
		cell_log_put(sim, RJ_CELL_TOPIC_JOBS, "c00000000000000ff",
			     "\xc0", 1);
		cell_sim_run(sim, MS);
	}
	g_assert_cmpint(cell_sim_owner(sim), >=, 0);
}

/* Guards against a gang that waits for a lease to expire after it lost a member
 * with its worker. */
static void test_gang_does_not_wait_for_a_crashed_worker(struct cell_fixture *f,
							 const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(4, 8, 3000);
	struct cell_client_job *job;
	uint32_t worker;

	step.gang = true;
	job = submit_job(&f->sim, other_node(&f->sim), &step);
	cell_sim_run(&f->sim, S);
	g_assert_cmpuint(job->starts, ==, 4);
	worker = cell_sim_busy_worker(&f->sim);
	cell_sim_worker_kill(&f->sim, worker);
	cell_sim_run(&f->sim, 1500 * MS);
	g_assert_cmpuint(job->starts, ==, 8);
}

/* Guards against restarting a gang while a member still runs on a partitioned
 * worker. Members end as late as 190 ms after the first one. */
static void test_gang_members_end_with_a_delay(struct cell_fixture *f,
					       const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(2, 8, 6000);
	struct cell_client_job *job;
	uint32_t members[2];
	uint32_t found = 0;
	struct cell_fake_run *run;

	f->sim.options.gang_break_us = 190 * MS;
	step.gang = true;
	job = cell_sim_job_new(&f->sim, "urgent", "a", &step, 1, 6 * S);
	cell_sim_submit(&f->sim, 0, job);
	cell_sim_run(&f->sim, 500 * MS);
	for (uint32_t i = 0; i < site.workers && found < 2; i++)
		if (f->sim.workers[i].runs->len)
			members[found++] = i;
	g_assert_cmpuint(found, ==, 2);
	cell_sim_worker_partition(&f->sim, members[1], true);
	cell_sim_run(&f->sim, 3500 * MS);
	run = f->sim.workers[members[0]].runs->pdata[0];
	run->fails_at_us = run->progress_us;
	cell_sim_run(&f->sim, 700 * MS);
	g_assert_cmpuint(job->starts, ==, 4);
	cell_sim_worker_partition(&f->sim, members[1], false);
	cell_sim_run(&f->sim, 8 * S);
}

/* Guards against taking a gang member on an unreachable worker for ended when
 * another member was stopped: it still runs if the gang was incomplete. */
static void test_a_stopped_member_ends_no_other(struct cell_fixture *f,
						const void *data)
{
	struct rj_cell_owner *owner =
		&f->sim.nodes[cell_sim_owner(&f->sim)].node.owner;
	struct rj_cell_step step = cell_sim_plain_step(2, 8, 2000);
	struct cell_client_job *job;
	struct rj_cell_task *tasks;
	struct rj_cell_run *runs[2];

	step.gang = true;
	job = submit_job(&f->sim, 0, &step);
	cell_sim_run(&f->sim, 300 * MS);
	tasks = rj_cell_job_find_task(
		rj_cell_view_find(owner->view, job->id)->job, 0, 0, 0);
	for (uint32_t i = 0; i < 2; i++)
		runs[i] = RJ_CONTAINER(tasks[i].runs.next, struct rj_cell_run,
				       in_task);
	runs[0]->worker->answers = false;
	rj_cell_completions_apply(owner, runs[1], RJ_CELL_COMPLETION_STOPPED,
				  NULL);
	g_assert_true(tasks[0].runs.next == &runs[0]->in_task);
}

/* Guards against one attempt too many: a gang fails on a partitioned worker,
 * and the owner restarts it before it learns of the failure. */
static void test_unacknowledged_failures_count(struct cell_fixture *f,
					       const void *data)
{
	for (uint32_t partitioned = 0; partitioned < 2; partitioned++) {
		struct rj_cell_step step = cell_sim_plain_step(2, 8, 2000);
		struct cell_client_job *job;
		uint32_t members[2];
		uint32_t found = 0;

		step.gang = true;
		job = cell_sim_job_new(&f->sim, "normal", "a", &step, 1, 2 * S);
		job->failing_runs = 9;
		cell_sim_submit(&f->sim, 0, job);
		cell_sim_run(&f->sim, 500 * MS);
		for (uint32_t i = 0; i < site.workers && found < 2; i++)
			if (f->sim.workers[i].runs->len)
				members[found++] = i;
		g_assert_cmpuint(found, ==, 2);
		cell_sim_worker_partition(&f->sim, members[partitioned], true);
		cell_sim_run(&f->sim, 4 * S);
		cell_sim_worker_partition(&f->sim, members[partitioned], false);
		cell_sim_run(&f->sim, 12 * S);
		cell_sim_query(&f->sim, 0, job);
		cell_sim_run(&f->sim, 100 * MS);
		g_assert_cmpint(job->state, ==, RJ_CELL_JOB_FAILED);
		g_assert_cmpuint(job->starts, ==, 4);
	}
}

/* Makes the first member of a job's gang fail half a second later. Returns its
 * worker. */
static uint32_t fail_first_member(struct cell_sim *sim,
				  const struct cell_client_job *job)
{
	char *name = g_strdup_printf("%s.0.0.0", job->id);
	struct cell_fake_run *run = NULL;
	uint32_t worker = 0;

	for (uint32_t i = 0; i < sim->options.workers && !run; i++) {
		run = cell_fake_find_run(&sim->workers[i], name);
		worker = i;
	}
	g_assert_nonnull(run);
	run->fails_at_us = run->progress_us + 500 * MS;
	g_free(name);
	return worker;
}

/* Guards against one attempt too many: a gang fails on a partitioned worker,
 * the owner is killed before it learns of the failure, and its successor does
 * not count it. */
static void
test_unacknowledged_failures_survive_a_takeover(struct cell_fixture *f,
						const void *data)
{
	struct cell_sim *sim = &f->sim;
	struct rj_cell_step step = cell_sim_plain_step(2, 8, 8000);
	uint32_t owner = (uint32_t)cell_sim_owner(sim);
	struct cell_client_job *job;
	uint32_t worker;

	step.gang = true;
	job = cell_sim_job_new(sim, "normal", "a", &step, 1, 8 * S);
	cell_sim_submit(sim, other_node(sim), job);
	cell_sim_run(sim, 500 * MS);
	worker = fail_first_member(sim, job);
	cell_sim_worker_partition(sim, worker, true);
	for (uint32_t i = 0; i < 400 && job->starts < 4; i++)
		cell_sim_run(sim, 10 * MS);
	g_assert_cmpuint(job->starts, ==, 4);
	cell_sim_node_kill(sim, owner);
	cell_sim_run(sim, TAKEOVER_MAX_US);
	g_assert_cmpint(cell_sim_owner(sim), >=, 0);
	cell_sim_worker_partition(sim, worker, false);
	cell_sim_run(sim, S);
	(void)fail_first_member(sim, job);
	cell_sim_run(sim, 4 * S);
	cell_sim_query(sim, (uint32_t)cell_sim_owner(sim), job);
	cell_sim_run(sim, 100 * MS);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_FAILED);
	g_assert_cmpuint(job->starts, ==, 4);
}

/* Guards against replacing a working owner while its appends to the progress
 * topic get no answer. Its heartbeats are in the jobs topic. */
static void test_owner_heartbeat_without_progress_log(struct cell_fixture *f,
						      const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(4, 1, 2000);
	int owner = cell_sim_owner(&f->sim);

	cell_sim_run(&f->sim, S);
	f->sim.log.progress_unreachable = true;
	submit_job(&f->sim, other_node(&f->sim), &step);
	cell_sim_run(&f->sim, 3 * S);
	g_assert_cmpint(cell_sim_owner(&f->sim), ==, owner);
	f->sim.log.progress_unreachable = false;
	cell_sim_run(&f->sim, 6 * S);
}

/* Records the status of a reply. */
static void store_status(void *private_data,
			 const struct rj_cell_store_reply *reply)
{
	*(enum rj_cell_store_status *)private_data = reply->status;
}

/* Guards against a former owner that stores the intent of a start after the
 * takeover: its successor would never read it. */
static void test_a_former_owner_stores_no_progress(struct cell_fixture *f,
						   const void *data)
{
	struct cell_sim *sim = &f->sim;
	int owner = cell_sim_owner(sim);
	enum rj_cell_store_status status = RJ_CELL_STORE_OK;
	struct rj_cell_record record = { .key = "s00000000000000ff",
					 .value = { (const uint8_t *)"x", 1 } };
	struct rj_cell_append late = {
		.topic = RJ_CELL_TOPIC_PROGRESS,
		.producer = "owner",
		.epoch = sim->nodes[owner].node.owner.progress_writer.epoch,
		.sequence =
			sim->nodes[owner].node.owner.progress_writer.sequence,
		.records = &record,
		.count = 1
	};
	struct cell_sim_node *other = &sim->nodes[other_node(sim)];

	cell_sim_node_kill(sim, (uint32_t)owner);
	cell_sim_run(sim, TAKEOVER_MAX_US);
	g_assert_cmpint(cell_sim_owner(sim), >=, 0);
	other->store.ops->append(
		&other->store, &late,
		(struct rj_cell_store_done){ store_status, &status });
	cell_sim_run(sim, 50 * MS);
	g_assert_cmpint(status, ==, RJ_CELL_STORE_FENCED);
}

/* Guards against a second run of a task beside the one that the former owner has
 * started: it stored the intent before the fence, of a job that its successor
 * had not read yet. */
static void test_intent_of_an_unread_job(struct cell_fixture *f,
					 const void *data)
{
	struct cell_sim *sim = &f->sim;
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 5000);
	uint32_t owner = (uint32_t)cell_sim_owner(sim);
	uint32_t next = (owner + 1) % site.nodes;
	struct rj_cell_node *successor = &sim->nodes[next].node;
	struct cell_client_job *job;

	successor->options.strength *= 4;
	successor->requests.pause_us = S;
	while (!successor->owner.taking_over)
		cell_sim_run(sim, MS);
	/* The log refuses the first attempt of the fence. */
	sim->log.modes[next] = CELL_LOG_REFUSING;
	cell_sim_run(sim, 3 * MS);
	sim->log.modes[next] = CELL_LOG_AVAILABLE;
	while (!successor->requests.caught_up)
		cell_sim_run(sim, MS);
	job = submit_job(sim, (owner + 2) % site.nodes, &step);
	cell_sim_run(sim, 60 * MS);
	g_assert_cmpuint(job->starts, ==, 1);
	g_assert_false(successor->owner.active);
	cell_sim_run(sim, 3 * S);
	g_assert_true(successor->owner.active);
	g_assert_cmpuint(job->starts, ==, 1);
}

/* Guards against sending a start long after its worker reported that it drains.
 * The start was planned before the report, and storing its intent took long. */
static void
test_starts_on_draining_workers_are_cancelled(struct cell_fixture *f,
					      const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(8, 1, 2000);
	struct cell_client_job *job;
	uint32_t drained = 0;

	f->sim.log.latency_us = 240 * MS;
	cell_sim_run(&f->sim, 2 * S);
	job = submit_job(&f->sim, 0, &step);
	cell_sim_run(&f->sim, 600 * MS);
	f->sim.log.progress_unreachable = true;
	for (uint32_t i = 0; i < site.workers; i++) {
		if (cell_sim_random(&f->sim, 2))
			continue;
		cell_sim_worker_drain(&f->sim, i, 0);
		drained++;
	}
	cell_sim_run(&f->sim, 3200 * MS);
	f->sim.log.progress_unreachable = false;
	f->sim.log.latency_us = 4 * MS;
	cell_sim_run(&f->sim, 4 * S);
	g_assert_cmpuint(drained, >, 0);
	g_assert_cmpuint(job->starts, ==, 8);
}

/* Guards against an owner that no longer reads the workers' topic and starts
 * tasks on a worker that reported long ago that it drains. */
static void test_unread_workers_stop_all_starts(struct cell_fixture *f,
						const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(200, 4, 1000);
	struct cell_client_job *job =
		cell_sim_job_new(&f->sim, "normal", "a", &step, 1, 500 * MS);

	cell_sim_submit(&f->sim, 0, job);
	f->sim.log.reads_unreachable[RJ_CELL_TOPIC_WORKERS] = true;
	cell_sim_run(&f->sim, 20 * MS);
	for (uint32_t i = 0; i < site.workers; i += 2)
		cell_sim_worker_drain(&f->sim, i, 0);
	cell_sim_run(&f->sim, 6 * S);
	g_assert_cmpuint(job->starts, <, 200);
	f->sim.log.reads_unreachable[RJ_CELL_TOPIC_WORKERS] = false;
	cell_sim_run(&f->sim, 15 * S);
	g_assert_cmpuint(job->starts, ==, 200);
}

/* Guards against a task that needs a kind of worker and starts on one of another
 * kind: the workers have restarted as that kind, and answer before the owner has
 * read their new entries. */
static void test_workers_restart_as_another_kind(struct cell_fixture *f,
						 const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(4, 1, 1000);
	struct cell_client_job *job;

	g_strlcpy(step.label, "a", sizeof(step.label));
	for (uint32_t i = 0; i < f->sim.options.workers; i++) {
		cell_sim_worker_kill(&f->sim, i);
		g_strlcpy(f->sim.workers[i].reported.kind, "b", RJ_NAME_BYTES);
	}
	job = submit_job(&f->sim, 0, &step);
	cell_sim_run(&f->sim, 3 * S);
	f->sim.log.reads_unreachable[RJ_CELL_TOPIC_WORKERS] = true;
	for (uint32_t i = 0; i < f->sim.options.workers; i++)
		cell_sim_worker_start(&f->sim, i);
	cell_sim_run(&f->sim, 1300 * MS);
	f->sim.log.reads_unreachable[RJ_CELL_TOPIC_WORKERS] = false;
	cell_sim_run(&f->sim, 4 * S);
	g_assert_true(job->accepted);
	g_assert_cmpuint(job->starts, ==, 0);
	cell_sim_worker_kill(&f->sim, 0);
	g_strlcpy(f->sim.workers[0].reported.kind, "a", RJ_NAME_BYTES);
	cell_sim_worker_start(&f->sim, 0);
	cell_load_run(&f->sim, 6 * S);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
}

#define ADD(name, function) CELL_TEST("/cell_reach/" name, &site, function)

/* Guards against jobs that wait while other workers of the domain are idle, as a
 * lost worker is called again and again. */
static void test_lost_worker_blocks_no_domain(struct cell_fixture *f,
					      const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 60000);
	struct rj_cell_step next = cell_sim_plain_step(1, 1, 100);

	(void)cell_load_submit(&f->sim, "normal", "a", &step, 60 * S);
	cell_load_run(&f->sim, S);
	cell_sim_worker_kill(&f->sim, cell_sim_busy_worker(&f->sim));
	cell_load_run(&f->sim, 5 * S);
	for (int i = 0; i < 8; i++) {
		struct cell_client_job *job = cell_load_submit(
			&f->sim, "normal", "a", &next, 100 * MS);

		cell_load_run(&f->sim, 700 * MS);
		g_assert_cmpuint(job->starts, ==, 1);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("cut_domain", test_starts_avoid_a_partitioned_domain);
	CELL_TEST("/cell_reach/unsent_gang", &three_workers,
		  test_unsent_gang_is_placed_again);
	CELL_TEST("/cell_reach/lost_worker", &three_workers,
		  test_lost_worker_blocks_no_domain);
	ADD("draining", test_starts_on_draining_workers_are_cancelled);
	ADD("workers_unread", test_unread_workers_stop_all_starts);
	ADD("completions", test_completions_are_polled_after_a_partition);
	ADD("late_completion", test_late_completion);
	ADD("cancelled", test_cancelled_before_it_was_stored);
	ADD("spread", test_urgent_jobs_spread_over_domains);
	ADD("log_silent", test_instance_with_unreachable_log);
	ADD("log_refuses", test_instance_refused_by_the_log);
	ADD("log_deaf", test_long_polls_not_woken);
	ADD("log_slow", test_reachability_proof_with_slow_appends);
	ADD("successor", test_a_killed_owner_is_replaced_in_time);
	ADD("dead_member", test_gang_does_not_wait_for_a_crashed_worker);
	ADD("slow_break", test_gang_members_end_with_a_delay);
	ADD("shows_life", test_owner_heartbeat_without_progress_log);
	ADD("stopped_member", test_a_stopped_member_ends_no_other);
	CELL_TEST("/cell_reach/unseen_failure", &two_attempts,
		  test_unacknowledged_failures_count);
	CELL_TEST("/cell_reach/unseen_outlasts", &two_attempts,
		  test_unacknowledged_failures_survive_a_takeover);
	ADD("progress_fenced", test_a_former_owner_stores_no_progress);
	ADD("unread_job", test_intent_of_an_unread_job);
	ADD("busy_log", test_takeover_of_a_busy_log);
	g_test_add_func("/cell_reach/come_back", test_retry_after);
	ADD("kind", test_workers_restart_as_another_kind);
	return g_test_run();
}
