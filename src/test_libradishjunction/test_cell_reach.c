/*
 * What happens when somebody cannot be reached: workers, failure domains, the
 * log, the owner.
 */
#include <string.h>
#include <talloc.h>

#include "private/cell_reachability.h"
#include "support/cell_fake.h"
#include "support/cell_fixture.h"

/* An owner that was killed is replaced within this time. */
#define TAKEOVER_MAX_US (1350 * MS)

/* Twelve workers of eight accelerators in three racks, one for each failure
 * domain; three nodes. */
#define SITE                                                     \
	.seed = 3, .nodes = 3, .workers = 12, .rack_workers = 4, \
	.capacity = { 64000, 64000, 8 }, .guaranteed = 32
static const struct cell_sim_options site = { SITE };
/* The same with tasks that may fail once. */
static const struct cell_sim_options two_attempts = { SITE, .attempts_max = 2 };

/* A failure domain is cut off from all nodes, or is back. */
static void cut_domain(struct cell_sim *world, const char *domain, bool cut)
{
	for (uint32_t i = 0; i < world->plan.workers; i++)
		if (!strcmp(world->workers[i].heartbeat.domain, domain))
			cell_sim_worker_partition(world, i, cut);
}

/* Runs on the workers of a failure domain. */
static guint runs_in(const struct cell_sim *world, const char *domain)
{
	guint runs = 0;

	for (uint32_t i = 0; i < world->plan.workers; i++)
		if (!strcmp(world->workers[i].heartbeat.domain, domain))
			runs += world->workers[i].runs->len;
	return runs;
}

/* A node that does not own the cell. */
static uint32_t other_node(const struct cell_sim *world)
{
	return (uint32_t)(cell_sim_owner(world) + 1) % world->plan.nodes;
}

/* Hand in an urgent job of one step. */
static struct cell_client_job *hand_in(struct cell_sim *world, uint32_t node,
				       const struct rj_cell_step *step)
{
	struct cell_client_job *job =
		cell_sim_job_new(world, "urgent", "a", step, 1, 2 * S);

	cell_sim_submit(world, node, job);
	return job;
}

/* Tasks that are started in a failure domain just after it was cut off wait
 * there until their leases expire. */
static void test_starts_avoid_a_cut_domain(struct cell_fixture *f,
					   const void *data)
{
	static const char *const domains[] = { "d0", "d1", "d2" };
	struct rj_cell_step step = cell_sim_plain_step(4, 4, 2000);

	step.gang = true;
	for (guint i = 0; i < G_N_ELEMENTS(domains); i++) {
		struct cell_client_job *job;

		cut_domain(&f->world, domains[i], true);
		cell_sim_run(&f->world, 30 * MS);
		job = hand_in(&f->world, 0, &step);
		cell_sim_run(&f->world, 300 * MS);
		g_assert_cmpuint(job->begun_us, !=, 0);
		g_assert_cmpuint(runs_in(&f->world, domains[i]), ==, 0);
		cut_domain(&f->world, domains[i], false);
		cell_sim_run(&f->world, 4 * S);
	}
}

/* One task ends behind a cut of `cut_us`, and its worker leaves half a second
 * after that has healed. */
static void end_behind_cut(struct cell_sim *world, uint64_t cut_us)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 2000);
	struct cell_client_job *job = hand_in(world, 0, &step);
	uint32_t worker;

	cell_sim_run(world, S);
	worker = cell_sim_busy_worker(world);
	cell_sim_worker_partition(world, worker, true);
	cell_sim_run(world, cut_us);
	cell_sim_worker_partition(world, worker, false);
	cell_sim_run(world, 500 * MS);
	cell_sim_worker_deregister(world, worker);
	cell_sim_run(world, 2 * S);
	cell_sim_query(world, 1, job);
	cell_sim_run(world, 100 * MS);
	g_assert_cmpuint(job->starts, ==, 1);
	g_assert_cmpint(job->shown, ==, RJ_CELL_JOB_COMPLETED);
}

/* What ended behind a cut is learnt too late: the worker leaves soon after the
 * cut has healed, and its tasks run again. */
static void test_completions_are_polled_after_a_cut(struct cell_fixture *f,
						    const void *data)
{
	for (uint32_t i = 0; i < 5; i++)
		end_behind_cut(&f->world, (3400 + 300 * i) * MS);
}

/* A task that ended behind a cut is run anew to its end, though its first
 * worker lists it as done once the cut has healed, and then leaves. */
static void test_a_completion_that_comes_late(struct cell_fixture *f,
					      const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 2000);
	struct cell_client_job *job = hand_in(&f->world, 0, &step);
	uint32_t worker;

	cell_sim_run(&f->world, S);
	worker = cell_sim_busy_worker(&f->world);
	job->work_us = 30 * S; /* of the second run */
	cell_sim_worker_partition(&f->world, worker, true);
	cell_sim_run(&f->world, 8 * S);
	g_assert_cmpuint(job->starts, ==, 2);
	cell_sim_worker_partition(&f->world, worker, false);
	cell_sim_run(&f->world, 500 * MS);
	cell_sim_worker_deregister(&f->world, worker);
	cell_sim_run(&f->world, 1500 * MS);
	cell_sim_query(&f->world, 1, job);
	cell_sim_run(&f->world, 100 * MS);
	g_assert_cmpint(job->shown, ==, RJ_CELL_JOB_COMPLETED);
	for (uint32_t i = 0; i < site.workers; i++)
		g_assert_cmpuint(f->world.workers[i].runs->len, ==, 0);
}

/* Urgent work concentrates in the first racks, and the loss of their failure
 * domain takes all of it. */
static void test_urgent_work_spreads_over_domains(struct cell_fixture *f,
						  const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(2, 4, 2000);

	step.gang = true;
	for (uint32_t i = 0; i < 6; i++) {
		hand_in(&f->world, i % site.nodes, &step);
		cell_sim_run(&f->world, 50 * MS);
	}
	cell_sim_run(&f->world, 300 * MS);
	g_assert_cmpuint(runs_in(&f->world, "d0"), ==, 4);
	g_assert_cmpuint(runs_in(&f->world, "d1"), ==, 4);
	g_assert_cmpuint(runs_in(&f->world, "d2"), ==, 4);
}

/* Clients of an instance that is cut off from the log are held until they
 * give up, and no health check sends them elsewhere. */
static void test_an_instance_without_the_log(struct cell_fixture *f,
					     const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 2000);
	uint32_t node = other_node(&f->world);
	const struct rj_cell_node *cut = &f->world.nodes[node].node;
	struct cell_client_job *job;

	g_assert_true(rj_cell_node_ready(cut, f->world.now_us));
	f->world.log.modes[node] = CELL_LOG_UNREACHABLE;
	cell_sim_run(&f->world, 1100 * MS);
	g_assert_false(rj_cell_node_ready(cut, f->world.now_us));
	job = hand_in(&f->world, node, &step);
	cell_sim_run(&f->world, 10 * MS);
	g_assert_cmpuint(job->refusals, ==, 1);
	f->world.log.modes[node] = CELL_LOG_AVAILABLE;
	cell_sim_run(&f->world, 2 * S);
	g_assert_true(rj_cell_node_ready(cut, f->world.now_us));
	cell_sim_submit(&f->world, node, job);
	cell_sim_run(&f->world, 50 * MS);
	g_assert_true(job->accepted);
}

/* An instance that the log turns away shows itself ready for seconds. */
static void test_an_instance_that_the_log_refuses(struct cell_fixture *f,
						  const void *data)
{
	uint32_t node = other_node(&f->world);

	f->world.log.modes[node] = CELL_LOG_REFUSING;
	cell_sim_run(&f->world, 1300 * MS);
	g_assert_false(rj_cell_node_ready(&f->world.nodes[node].node,
					  f->world.now_us));
}

/* The owner learns of no job while the log wakes no long poll. */
static void test_a_log_that_wakes_nobody(struct cell_fixture *f,
					 const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 2000);
	struct cell_client_job *job;

	cell_sim_run(&f->world, S);
	f->world.log.deaf_until_us = f->world.now_us + 6 * S;
	cell_sim_run(&f->world, 200 * MS);
	for (uint32_t i = 0; i < 10; i++) {
		job = hand_in(&f->world, other_node(&f->world), &step);
		cell_sim_run(&f->world, 550 * MS);
		g_assert_cmpuint(job->begun_us, !=, 0);
	}
}

/* Urgent work waits longer than it can for the successor of a killed owner. */
static void test_a_killed_owner_is_replaced_in_time(struct cell_fixture *f,
						    const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 2000);
	uint32_t node = other_node(&f->world);
	struct cell_client_job *job;

	cell_sim_node_kill(&f->world, (uint32_t)cell_sim_owner(&f->world));
	job = hand_in(&f->world, node, &step);
	cell_sim_run(&f->world, 1350 * MS);
	g_assert_cmpuint(job->begun_us, !=, 0);
}

/* While the log is slow nothing starts: each answer of a worker is too old
 * again by the time that a plan may be made. */
static void test_proofs_outlast_slow_appends(struct cell_fixture *f,
					     const void *data)
{
	struct rj_cell_owner *owner =
		&f->world.nodes[cell_sim_owner(&f->world)].node.owner;
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

/* Clients of an instance that is cut off use up their tries within a second,
 * or wait for seconds although others would serve them. */
static void test_when_to_come_back(void)
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

/* A successor loses each attempt to acquire the cell against records that come all the time. */
static void test_a_busy_log_is_taken_over(struct cell_fixture *f,
					  const void *data)
{
	struct cell_sim *world = &f->world;
	int owner = cell_sim_owner(world);
	uint64_t silent_us = world->now_us;

	cell_sim_node_kill(world, (uint32_t)owner);
	while (cell_sim_owner(world) < 0 &&
	       world->now_us < silent_us + TAKEOVER_MAX_US) {
		cell_log_put(world, RJ_CELL_TOPIC_JOBS, "c00000000000000ff",
			     "\xc0", 1);
		cell_sim_run(world, MS);
	}
	g_assert_cmpint(cell_sim_owner(world), >=, 0);
}

/* A gang that lost a member with its worker waits for the end of a lease. */
static void test_a_gang_does_not_wait_for_a_dead_worker(struct cell_fixture *f,
							const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(4, 8, 3000);
	struct cell_client_job *job;
	uint32_t worker;

	step.gang = true;
	job = hand_in(&f->world, other_node(&f->world), &step);
	cell_sim_run(&f->world, S);
	g_assert_cmpuint(job->starts, ==, 4);
	worker = cell_sim_busy_worker(&f->world);
	cell_sim_worker_kill(&f->world, worker);
	cell_sim_run(&f->world, 1500 * MS);
	g_assert_cmpuint(job->starts, ==, 8);
}

/* A gang starts again while a member still runs on a worker that does not
 * answer: members end a moment after the first. */
static void test_members_take_a_moment_to_end(struct cell_fixture *f,
					      const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(2, 8, 6000);
	struct cell_client_job *job;
	uint32_t members[2];
	uint32_t found = 0;
	struct cell_fake_run *run;

	f->world.plan.break_us = 190 * MS;
	step.gang = true;
	job = cell_sim_job_new(&f->world, "urgent", "a", &step, 1, 6 * S);
	cell_sim_submit(&f->world, 0, job);
	cell_sim_run(&f->world, 500 * MS);
	for (uint32_t i = 0; i < site.workers && found < 2; i++)
		if (f->world.workers[i].runs->len)
			members[found++] = i;
	g_assert_cmpuint(found, ==, 2);
	cell_sim_worker_partition(&f->world, members[1], true);
	cell_sim_run(&f->world, 3500 * MS);
	run = f->world.workers[members[0]].runs->pdata[0];
	run->fails_at_us = run->done_us;
	cell_sim_run(&f->world, 700 * MS);
	g_assert_cmpuint(job->starts, ==, 4);
	cell_sim_worker_partition(&f->world, members[1], false);
	cell_sim_run(&f->world, 8 * S);
}

/* A gang that is not complete yet runs on where its worker is silent, though
 * one of its members was stopped. */
static void test_a_stopped_member_ends_no_other(struct cell_fixture *f,
						const void *data)
{
	struct rj_cell_owner *owner =
		&f->world.nodes[cell_sim_owner(&f->world)].node.owner;
	struct rj_cell_step step = cell_sim_plain_step(2, 8, 2000);
	struct cell_client_job *job;
	struct rj_cell_task *tasks;
	struct rj_cell_run *runs[2];

	step.gang = true;
	job = hand_in(&f->world, 0, &step);
	cell_sim_run(&f->world, 300 * MS);
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

/* A failure that is not seen, as its worker is cut off, is one attempt too
 * many once it is. */
static void test_unseen_failures_count(struct cell_fixture *f, const void *data)
{
	for (uint32_t cut = 0; cut < 2; cut++) {
		struct rj_cell_step step = cell_sim_plain_step(2, 8, 2000);
		struct cell_client_job *job;
		uint32_t members[2];
		uint32_t found = 0;

		step.gang = true;
		job = cell_sim_job_new(&f->world, "normal", "a", &step, 1,
				       2 * S);
		job->fail_times = 9;
		cell_sim_submit(&f->world, 0, job);
		cell_sim_run(&f->world, 500 * MS);
		for (uint32_t i = 0; i < site.workers && found < 2; i++)
			if (f->world.workers[i].runs->len)
				members[found++] = i;
		g_assert_cmpuint(found, ==, 2);
		cell_sim_worker_partition(&f->world, members[cut], true);
		cell_sim_run(&f->world, 4 * S);
		cell_sim_worker_partition(&f->world, members[cut], false);
		cell_sim_run(&f->world, 12 * S);
		cell_sim_query(&f->world, 0, job);
		cell_sim_run(&f->world, 100 * MS);
		g_assert_cmpint(job->shown, ==, RJ_CELL_JOB_FAILED);
		g_assert_cmpuint(job->starts, ==, 4);
	}
}

/* Let the first member of a job's gang fail in a moment. Returns its worker. */
static uint32_t fail_first_member(struct cell_sim *world,
				  const struct cell_client_job *job)
{
	char *name = g_strdup_printf("%s.0.0.0", job->id);
	struct cell_fake_run *run = NULL;
	uint32_t worker = 0;

	for (uint32_t i = 0; i < world->plan.workers && !run; i++) {
		run = cell_fake_find_run(&world->workers[i], name);
		worker = i;
	}
	g_assert_nonnull(run);
	run->fails_at_us = run->done_us + 500 * MS;
	g_free(name);
	return worker;
}

/* A failure that a former owner did not see, as its worker was cut off, is
 * one attempt too many once its successor hears of it. */
static void test_unseen_failures_outlast_an_owner(struct cell_fixture *f,
						  const void *data)
{
	struct cell_sim *world = &f->world;
	struct rj_cell_step step = cell_sim_plain_step(2, 8, 8000);
	uint32_t owner = (uint32_t)cell_sim_owner(world);
	struct cell_client_job *job;
	uint32_t worker;

	step.gang = true;
	job = cell_sim_job_new(world, "normal", "a", &step, 1, 8 * S);
	cell_sim_submit(world, other_node(world), job);
	cell_sim_run(world, 500 * MS);
	worker = fail_first_member(world, job);
	cell_sim_worker_partition(world, worker, true);
	for (uint32_t i = 0; i < 400 && job->starts < 4; i++)
		cell_sim_run(world, 10 * MS);
	g_assert_cmpuint(job->starts, ==, 4);
	cell_sim_node_kill(world, owner);
	cell_sim_run(world, TAKEOVER_MAX_US);
	g_assert_cmpint(cell_sim_owner(world), >=, 0);
	cell_sim_worker_partition(world, worker, false);
	cell_sim_run(world, S);
	(void)fail_first_member(world, job);
	cell_sim_run(world, 4 * S);
	cell_sim_query(world, (uint32_t)cell_sim_owner(world), job);
	cell_sim_run(world, 100 * MS);
	g_assert_cmpint(job->shown, ==, RJ_CELL_JOB_FAILED);
	g_assert_cmpuint(job->starts, ==, 4);
}

/* An owner is replaced because an append to the progress log gets no answer,
 * though it lives and everybody can read the jobs' log. */
static void test_an_owner_shows_its_life(struct cell_fixture *f,
					 const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(4, 1, 2000);
	int owner = cell_sim_owner(&f->world);

	cell_sim_run(&f->world, S);
	f->world.log.progress_silent = true;
	hand_in(&f->world, other_node(&f->world), &step);
	cell_sim_run(&f->world, 3 * S);
	g_assert_cmpint(cell_sim_owner(&f->world), ==, owner);
	f->world.log.progress_silent = false;
	cell_sim_run(&f->world, 6 * S);
}

/* What the store has answered. */
static void note_status(void *private_data,
			const struct rj_cell_store_reply *reply)
{
	*(enum rj_cell_store_status *)private_data = reply->status;
}

/* A former owner stores an intent that its successor never reads. */
static void test_a_former_owner_stores_no_progress(struct cell_fixture *f,
						   const void *data)
{
	struct cell_sim *world = &f->world;
	int owner = cell_sim_owner(world);
	enum rj_cell_store_status status = RJ_CELL_STORE_OK;
	struct rj_cell_record record = { .key = "s00000000000000ff",
					 .value = { (const uint8_t *)"x", 1 } };
	struct rj_cell_append late = {
		.topic = RJ_CELL_TOPIC_PROGRESS,
		.producer = "owner",
		.epoch = world->nodes[owner].node.owner.progress_writer.epoch,
		.sequence =
			world->nodes[owner].node.owner.progress_writer.sequence,
		.records = &record,
		.count = 1
	};
	struct cell_sim_node *other = &world->nodes[other_node(world)];

	cell_sim_node_kill(world, (uint32_t)owner);
	cell_sim_run(world, TAKEOVER_MAX_US);
	g_assert_cmpint(cell_sim_owner(world), >=, 0);
	other->store.ops->append(
		&other->store, &late,
		(struct rj_cell_store_done){ note_status, &status });
	cell_sim_run(world, 50 * MS);
	g_assert_cmpint(status, ==, RJ_CELL_STORE_FENCED);
}

/* A start that was planned before its worker said that it drains is sent long
 * after, because the intent took so long to store. */
static void
test_starts_on_draining_workers_are_called_off(struct cell_fixture *f,
					       const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(8, 1, 2000);
	struct cell_client_job *job;
	uint32_t drained = 0;

	f->world.log.latency_us = 240 * MS;
	cell_sim_run(&f->world, 2 * S);
	job = hand_in(&f->world, 0, &step);
	cell_sim_run(&f->world, 600 * MS);
	f->world.log.progress_silent = true;
	for (uint32_t i = 0; i < site.workers; i++) {
		if (cell_sim_random(&f->world, 2))
			continue;
		cell_sim_worker_drain(&f->world, i, 0);
		drained++;
	}
	cell_sim_run(&f->world, 3200 * MS);
	f->world.log.progress_silent = false;
	f->world.log.latency_us = 4 * MS;
	cell_sim_run(&f->world, 4 * S);
	g_assert_cmpuint(drained, >, 0);
	g_assert_cmpuint(job->starts, ==, 8);
}

/* An owner that no longer reads the workers' log starts work on a worker that
 * said long ago that it drains. */
static void test_unread_workers_stop_all_starts(struct cell_fixture *f,
						const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(200, 4, 1000);
	struct cell_client_job *job =
		cell_sim_job_new(&f->world, "normal", "a", &step, 1, 500 * MS);

	cell_sim_submit(&f->world, 0, job);
	f->world.log.reads_silent[RJ_CELL_TOPIC_WORKERS] = true;
	cell_sim_run(&f->world, 20 * MS);
	for (uint32_t i = 0; i < site.workers; i += 2)
		cell_sim_worker_drain(&f->world, i, 0);
	cell_sim_run(&f->world, 6 * S);
	g_assert_cmpuint(job->starts, <, 200);
	f->world.log.reads_silent[RJ_CELL_TOPIC_WORKERS] = false;
	cell_sim_run(&f->world, 15 * S);
	g_assert_cmpuint(job->starts, ==, 200);
}

#define ADD(name, function) CELL_TEST("/cell_reach/" name, &site, function)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("cut_domain", test_starts_avoid_a_cut_domain);
	ADD("draining", test_starts_on_draining_workers_are_called_off);
	ADD("workers_unread", test_unread_workers_stop_all_starts);
	ADD("completions", test_completions_are_polled_after_a_cut);
	ADD("late_completion", test_a_completion_that_comes_late);
	ADD("spread", test_urgent_work_spreads_over_domains);
	ADD("log_silent", test_an_instance_without_the_log);
	ADD("log_refuses", test_an_instance_that_the_log_refuses);
	ADD("log_deaf", test_a_log_that_wakes_nobody);
	ADD("log_slow", test_proofs_outlast_slow_appends);
	ADD("successor", test_a_killed_owner_is_replaced_in_time);
	ADD("dead_member", test_a_gang_does_not_wait_for_a_dead_worker);
	ADD("slow_break", test_members_take_a_moment_to_end);
	ADD("shows_life", test_an_owner_shows_its_life);
	ADD("stopped_member", test_a_stopped_member_ends_no_other);
	CELL_TEST("/cell_reach/unseen_failure", &two_attempts,
		  test_unseen_failures_count);
	CELL_TEST("/cell_reach/unseen_outlasts", &two_attempts,
		  test_unseen_failures_outlast_an_owner);
	ADD("progress_fenced", test_a_former_owner_stores_no_progress);
	ADD("busy_log", test_a_busy_log_is_taken_over);
	g_test_add_func("/cell_reach/come_back", test_when_to_come_back);
	return g_test_run();
}
