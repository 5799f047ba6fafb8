/*
 * Tests of the lease bounds that owners store: how long a successor waits for a
 * worker that it cannot reach.
 */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_evacuate.h"
#include "private/cell_lease_bounds.h"
#include "private/cell_metrics.h"
#include "private/pack.h"
#include "support/cell_fixture.h"
#include "support/cell_load.h"

#define LEASE_MS 6000
#define LONG_LEASE_MS 10000
static const struct cell_sim_options site = {
	CELL_SITE(1, 4, 12, 4, 32),
	.lease_max_ms = LEASE_MS,
};

/* The same where the platform allows 10 s: leases last 8 s, and are granted for
 * 8 s without the log. */
static const struct cell_sim_options long_leases = {
	CELL_SITE(1, 4, 12, 4, 32),
	.lease_max_ms = LONG_LEASE_MS,
};
#define LONG_LEASE_GRANTS_US (8 * S)
#define LONG_EXPIRY_MAX_US ((8000 * 102 / 100 + 1000) * MS)

/* A lease by the slowest clock, and one second to notice and start again. */
#define EXPIRY_MAX_US ((LEASE_MS * 102 / 100 + 1000) * MS)
/* A leaving worker may hold leases for this much longer than one lasts. */
#define LEAVING_AHEAD_US S
/* Time for a takeover and for the new owner's first polls. */
#define TAKEOVER_US (3 * S)

static void kill_owner(struct cell_sim *sim)
{
	cell_sim_node_kill(sim, (uint32_t)cell_sim_owner(sim));
}

/* Starts a job of one long task, and returns it. */
static struct cell_client_job *start_job(struct cell_sim *sim)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 8, 30000);
	struct cell_client_job *job =
		cell_load_submit(sim, "normal", "a", &step, 30 * S);

	cell_load_run(sim, 2 * S);
	g_assert_cmpuint(job->starts, ==, 1);
	return job;
}

/* Runs until the job has been started again, and checks when it was. */
static void expect_restart(struct cell_sim *sim,
			   const struct cell_client_job *job, uint64_t until_us)
{
	while (job->starts < 2 && sim->now_us <= until_us)
		cell_load_run(sim, 100 * MS);
	g_assert_cmpuint(job->starts, ==, 2);
	g_assert_cmpuint(sim->now_us, <=, until_us);
}

/* Cuts a worker off from the log and from all nodes, except `node` unless that
 * is negative. */
static void leave_reachable(struct cell_sim *sim, uint32_t worker, int node)
{
	cell_sim_worker_partition(sim, worker, true);
	if (node >= 0)
		sim->workers[worker].partitioned[node] = false;
}

/* Guards against a task that waits for the lease of a crashed worker anew, as
 * the owner that had noticed the crash fails. */
static void test_successor_knows_unreachable_workers(struct cell_fixture *f,
						     const void *data)
{
	struct cell_client_job *job = start_job(&f->sim);
	uint64_t crashed_us = f->sim.now_us;

	cell_sim_worker_kill(&f->sim, cell_sim_busy_worker(&f->sim));
	cell_load_run(&f->sim, TAKEOVER_US);
	kill_owner(&f->sim);
	expect_restart(&f->sim, job, crashed_us + EXPIRY_MAX_US);
}

/* Whether the owner's metrics have this line. */
static bool has_metric(const struct cell_sim *sim, const char *line)
{
	GString *text = g_string_new(NULL);
	bool found;

	rj_cell_metrics_write(&sim->nodes[cell_sim_owner(sim)].node,
			      sim->now_us, text);
	found = strstr(text->str, line) != NULL;
	g_string_free(text, TRUE);
	return found;
}

/* Guards against a task that waits for its lost worker for as long as the
 * platform allows a lease to last, and of which operators see nothing. */
static void test_leases_are_shorter_than_allowed(struct cell_fixture *f,
						 const void *data)
{
	static const char waits[] =
		"\nradishjunction_workers_awaiting_lease_end 1\n";
	struct cell_client_job *job = start_job(&f->sim);
	uint64_t killed_us;

	/* Until the lease that was assumed at the first contact is over. */
	cell_load_run(&f->sim, 3 * S);
	killed_us = f->sim.now_us;
	cell_sim_worker_kill(&f->sim, cell_sim_busy_worker(&f->sim));
	g_assert_false(has_metric(&f->sim, waits));
	cell_load_run(&f->sim, 3 * S);
	g_assert_true(has_metric(&f->sim, waits));
	expect_restart(&f->sim, job, killed_us + LONG_EXPIRY_MAX_US);
	g_assert_false(has_metric(&f->sim, waits));
}

/* Guards against a task that waits for renewals by an owner that has released
 * the cell, as its worker vanishes during the handover. */
static void test_released_owner_renews_no_leases(struct cell_fixture *f,
						 const void *data)
{
	struct cell_client_job *job = start_job(&f->sim);
	struct cell_sim_node *owner = &f->sim.nodes[cell_sim_owner(&f->sim)];
	uint64_t released_us = f->sim.now_us;

	cell_sim_worker_kill(&f->sim, cell_sim_busy_worker(&f->sim));
	rj_cell_node_drain(&owner->node, f->sim.now_us);
	cell_load_run(&f->sim, TAKEOVER_US);
	kill_owner(&f->sim);
	expect_restart(&f->sim, job,
		       released_us + RJ_CELL_RELEASED_GRANTS_US +
			       EXPIRY_MAX_US);
}

/* Guards against a second run of a task: an owner that reaches its worker, but
 * cannot store that, renews a lease of which its successor does not know. */
static void test_leases_wait_for_the_record(struct cell_fixture *f,
					    const void *data)
{
	struct cell_client_job *job = start_job(&f->sim);
	uint32_t worker = cell_sim_busy_worker(&f->sim);
	int owner;

	leave_reachable(&f->sim, worker, -1);
	kill_owner(&f->sim);
	cell_load_run(&f->sim, TAKEOVER_US);
	owner = cell_sim_owner(&f->sim);
	f->sim.log.progress_unreachable = true;
	leave_reachable(&f->sim, worker, owner);
	/* Until just before the stored bound: the first owner's renewals and a
	 * lease. */
	cell_load_run(&f->sim, RJ_CELL_FORMER_GRANTS_US);
	f->sim.log.progress_unreachable = false;
	kill_owner(&f->sim);
	cell_load_run(&f->sim, 15 * S);
	g_assert_cmpuint(job->starts, ==, 2);
}

/* Isolates the owner and a worker with the job's run: they reach each other, but
 * neither the log nor any other node. Returns the worker. */
static uint32_t isolate_owner(struct cell_sim *sim)
{
	uint32_t worker = cell_sim_busy_worker(sim);
	int owner = cell_sim_owner(sim);

	for (uint32_t i = 0; i < sim->options.workers; i++)
		sim->workers[i].partitioned[owner] = i != worker;
	leave_reachable(sim, worker, owner);
	sim->log.modes[owner] = CELL_LOG_UNREACHABLE;
	return worker;
}

/* Guards against a task that waits for 20 s for its worker, which left while it
 * was isolated together with the owner. */
static void test_worker_leaves_with_an_isolated_owner(struct cell_fixture *f,
						      const void *data)
{
	struct cell_client_job *job = start_job(&f->sim);
	uint64_t isolated_us = f->sim.now_us;
	uint32_t worker = isolate_owner(&f->sim);

	cell_load_run(&f->sim, 2 * S);
	cell_sim_worker_kill(&f->sim, worker);
	expect_restart(&f->sim, job,
		       isolated_us + LONG_LEASE_GRANTS_US + LONG_EXPIRY_MAX_US);
}

/* Ends the isolation of a node. */
static void reconnect(struct cell_sim *sim, uint32_t node)
{
	for (uint32_t i = 0; i < sim->options.workers; i++)
		sim->workers[i].partitioned[node] = false;
	sim->log.modes[node] = CELL_LOG_AVAILABLE;
}

/* Guards against a task that waits for all leases that a lost owner may have
 * granted, as its worker left before a successor could reach it. */
static void test_worker_leaves_as_the_owner_is_lost(struct cell_fixture *f,
						    const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 8, 30000);
	struct cell_client_job *job;
	uint64_t lost_us;
	uint32_t worker;

	step.checkpoints = true;
	job = cell_load_submit(&f->sim, "normal", "a", &step, 30 * S);
	cell_load_run(&f->sim, 2 * S);
	worker = cell_sim_busy_worker(&f->sim);
	cell_sim_worker_drain(&f->sim, worker, 4000);
	cell_load_run(&f->sim, S);
	g_assert_cmpuint(f->sim.workers[worker].runs->len, ==, 1);
	lost_us = f->sim.now_us;
	kill_owner(&f->sim);
	cell_sim_worker_deregister(&f->sim, worker);
	expect_restart(&f->sim, job,
		       lost_us + LONG_EXPIRY_MAX_US + LEAVING_AHEAD_US);
}

/* Guards against runs that an owner which is cut off lets go on until their
 * worker has left, as it expects them to end just then. */
static void test_evacuation_by_an_isolated_owner(void)
{
	static const struct {
		uint64_t now_us;
		bool checkpoints;
		bool cut_off;
		bool due;
	} cases[] = {
		{ 9000 * MS, true, false, false },
		{ 9300 * MS, true, false, false },
		{ 9000 * MS, true, true, false },
		{ 9300 * MS, true, true, true },
		{ 9000 * MS, false, false, false },
		{ 9300 * MS, false, false, false },
		{ 9000 * MS, false, true, false },
		{ 9300 * MS, false, true, true },
	};

	/* The runs are expected to end as the worker leaves. */
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct rj_cell_step step = { .checkpoints =
						     cases[i].checkpoints };

		g_assert_cmpint(
			rj_cell_evacuate_is_due(&step, 10 * S - cases[i].now_us,
						cases[i].now_us, 10 * S,
						cases[i].cut_off),
			==, cases[i].due);
	}
}

/* Guards against the loss of a completion that only the isolated owner has seen,
 * as its worker left before the successor could reach it. */
static void test_completion_seen_by_an_isolated_owner(struct cell_fixture *f,
						      const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 8, 4000);
	uint32_t owner = (uint32_t)cell_sim_owner(&f->sim);
	struct cell_client_job *job =
		cell_load_submit(&f->sim, "normal", "a", &step, 4 * S);
	uint32_t worker;

	cell_load_run(&f->sim, 2 * S);
	worker = isolate_owner(&f->sim);
	cell_load_run(&f->sim, 4 * S);
	cell_sim_worker_kill(&f->sim, worker);
	reconnect(&f->sim, owner);
	cell_load_run(&f->sim, 3 * S);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(job->starts, ==, 1);
}

/* Guards against a task that waits for leases although the isolated owner has
 * seen its run stop on the worker, which then left. */
static void test_stop_seen_by_an_isolated_owner(struct cell_fixture *f,
						const void *data)
{
	uint32_t owner = (uint32_t)cell_sim_owner(&f->sim);
	struct cell_client_job *job = start_job(&f->sim);
	uint32_t worker = cell_sim_busy_worker(&f->sim);
	const struct rj_cell_worker *known =
		rj_cell_fleet_find(&f->sim.nodes[owner].node.owner.fleet,
				   f->sim.workers[worker].id);

	cell_sim_worker_drain(&f->sim, worker, 1600);
	while (!known->heartbeat.draining)
		cell_sim_run(&f->sim, 10 * MS);
	isolate_owner(&f->sim);
	g_assert_cmpuint(job->starts, ==, 1);
	cell_load_run(&f->sim, 3 * S);
	g_assert_cmpuint(f->sim.workers[worker].runs->len, ==, 0);
	cell_sim_worker_kill(&f->sim, worker);
	reconnect(&f->sim, owner);
	expect_restart(&f->sim, job, f->sim.now_us + 2 * S);
}

/* Guards against the loss of a completion that the isolated owner publishes while
 * its successor is still taking over. */
static void test_completion_published_in_a_takeover(struct cell_fixture *f,
						    const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 8, 2000);
	uint32_t owner = (uint32_t)cell_sim_owner(&f->sim);
	struct cell_client_job *job =
		cell_load_submit(&f->sim, "normal", "a", &step, 2 * S);
	uint32_t worker;

	cell_load_run(&f->sim, 1500 * MS);
	worker = isolate_owner(&f->sim);
	f->sim.log.progress_unreachable = true;
	cell_load_run(&f->sim, 2 * S);
	cell_sim_worker_kill(&f->sim, worker);
	reconnect(&f->sim, owner);
	cell_load_run(&f->sim, 2 * S);
	g_assert_cmpint(cell_sim_owner(&f->sim), ==, -1);
	f->sim.log.progress_unreachable = false;
	cell_load_run(&f->sim, 3 * S);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(job->starts, ==, 1);
}

/* Guards against a second run of a task beside the one that an owner in between
 * has sent again under its number, after the worker restarted: the failure that
 * an isolated owner has seen is of the former incarnation. */
static void test_failure_seen_before_a_restart(struct cell_fixture *f,
					       const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 8, 4000);
	uint32_t owner = (uint32_t)cell_sim_owner(&f->sim);
	struct cell_client_job *job =
		cell_load_submit(&f->sim, "normal", "a", &step, 4 * S);
	uint32_t index;
	struct cell_fake_worker *worker;

	job->failing_runs = 1;
	cell_load_run(&f->sim, 500 * MS);
	index = isolate_owner(&f->sim);
	worker = &f->sim.workers[index];
	cell_load_run(&f->sim, 3 * S);
	g_assert_cmpuint(worker->runs->len, ==, 0);
	job->failing_runs = 0;
	job->duration_us = 30 * S;
	cell_sim_worker_kill(&f->sim, index);
	cell_sim_worker_start(&f->sim, index);
	leave_reachable(&f->sim, index, -1);
	worker->partitioned_from_log = false; /* its new entry is read first */
	cell_load_run(&f->sim, 2 * S);
	cell_sim_worker_partition(&f->sim, index, false);
	worker->partitioned[owner] = true;
	cell_load_run(&f->sim, 4 * S);
	g_assert_cmpuint(job->starts, ==, 2);
	g_assert_cmpuint(worker->runs->len, ==, 1);
	leave_reachable(&f->sim, index, -1);
	for (uint32_t i = 0; i < f->sim.options.nodes; i++)
		if (i != owner && f->sim.nodes[i].node.owner.active)
			cell_sim_node_kill(&f->sim, i);
	cell_load_run(&f->sim, TAKEOVER_US);
	reconnect(&f->sim, owner);
	worker->partitioned[owner] = true;
	cell_load_run(&f->sim, S);
	cell_sim_worker_partition(&f->sim, index, false);
	cell_load_run(&f->sim, 40 * S);
	g_assert_cmpuint(job->starts, ==, 2);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
}

/* Guards against a second run of a task beside its first one, under leases that
 * an isolated owner grants for as long as it may. */
static void test_isolated_owner_stops_in_time(struct cell_fixture *f,
					      const void *data)
{
	struct cell_client_job *job = start_job(&f->sim);
	uint64_t isolated_us = f->sim.now_us;

	isolate_owner(&f->sim);
	expect_restart(&f->sim, job,
		       isolated_us + LONG_LEASE_GRANTS_US + LONG_EXPIRY_MAX_US);
	g_assert_cmpuint(f->sim.now_us, >, isolated_us + LONG_LEASE_GRANTS_US);
}

/* Guards against runs whose leases expire in the longest outage of the log. */
static void test_leases_outlive_an_outage(struct cell_fixture *f,
					  const void *data)
{
	struct cell_client_job *job = start_job(&f->sim);

	for (uint32_t i = 0; i < f->sim.options.nodes; i++)
		f->sim.log.modes[i] = CELL_LOG_UNREACHABLE;
	cell_load_run(&f->sim, 9 * S);
	for (uint32_t i = 0; i < f->sim.options.nodes; i++)
		f->sim.log.modes[i] = CELL_LOG_AVAILABLE;
	cell_load_run(&f->sim, 5 * S);
	g_assert_cmpuint(job->starts, ==, 1);
}

/* An owner of an earlier version does not record how long it grants leases, or
 * how long these last; both are longer, and its successor waits for that. */
static void test_grants_of_an_earlier_version(void)
{
	struct rj_cell_lease_record record = { 0 };
	struct rj_packer out;
	struct rj_error err;
	struct rj_bytes bytes;

	g_assert_cmpuint(rj_cell_lease_grants_us(6000), ==, 10 * S);
	g_assert_cmpuint(rj_cell_lease_grants_us(10000), ==, 6 * S);
	g_assert_cmpuint(rj_cell_lease_grants_us(60000), ==, 2 * S);
	g_assert_cmpuint(rj_cell_lease_duration_ms(10000), ==, 8000);
	g_assert_cmpuint(rj_cell_lease_duration_ms(6000), ==, 6000);
	for (uint32_t recorded = 0; recorded < 3; recorded++) {
		rj_pack_init(&out);
		rj_pack_number(&out, 1);
		rj_pack_number(&out, 5);
		rj_pack_text(&out, "n0");
		for (uint32_t i = 0; i < 3; i++)
			rj_pack_number(&out, 0);
		for (uint32_t i = 0; i < recorded; i++)
			rj_pack_number(&out, 6000 + i);
		bytes = rj_pack_finish(&out, NULL);
		g_assert_cmpint(
			rj_cell_lease_record_decode(bytes, &record, &err), ==,
			0);
		g_assert_cmpuint(record.grants_ms, ==, recorded ? 6000 : 10000);
		g_assert_cmpuint(record.lease_ms, ==, recorded > 1 ? 6001 : 0);
		talloc_free((void *)bytes.data);
	}
	rj_cell_lease_record_finish(&record);
}

/* Guards against leases that expire although each owner reaches the worker. */
static void test_leases_are_renewed_after_a_takeover(struct cell_fixture *f,
						     const void *data)
{
	struct cell_client_job *job = start_job(&f->sim);

	for (int i = 0; i < 3; i++) {
		kill_owner(&f->sim);
		cell_load_run(&f->sim, TAKEOVER_US);
	}
	cell_load_run(&f->sim, 30 * S);
	g_assert_cmpuint(job->starts, ==, 1);
}

/* Guards against a second run of a task beside the one that an owner of an earlier
 * version has granted a long lease: the owner after it met the worker, restarted
 * and takes its own shorter leases for the longest. */
static void test_long_lease_of_an_earlier_version(struct cell_fixture *f,
						  const void *data)
{
	struct cell_client_job *job = start_job(&f->sim);
	uint32_t first = (uint32_t)cell_sim_owner(&f->sim);
	uint32_t worker = cell_sim_busy_worker(&f->sim);
	struct rj_cell_lease_bounds *leases =
		&f->sim.nodes[first].node.owner.leases;
	int next;

	leases->lease_ms = LONG_LEASE_MS;
	leases->lease_us = rj_cell_lease_max_us(LONG_LEASE_MS * MS);
	f->sim.workers[worker].clock_rate = 0.98;
	cell_load_run(&f->sim, 3 * S);
	rj_cell_node_drain(&f->sim.nodes[first].node, f->sim.now_us);
	while ((next = cell_sim_owner(&f->sim)) < 0 || next == (int)first)
		cell_load_run(&f->sim, 10 * MS);
	cell_load_run(&f->sim, 40 * MS);
	leave_reachable(&f->sim, worker, -1);
	cell_sim_node_kill(&f->sim, (uint32_t)next);
	cell_sim_node_start(&f->sim, (uint32_t)next);
	while (f->sim.workers[worker].runs->len)
		cell_load_run(&f->sim, 20 * MS);
	g_assert_cmpuint(job->starts, ==, 1);
	expect_restart(&f->sim, job, f->sim.now_us + 2 * S);
}

/* Guards against a bound that is taken for a known one although the former
 * owner is of a version that stores none. */
static void test_earlier_versions_store_no_bounds(void)
{
	const struct rj_bytes mark = { (const uint8_t *)"\xc0", 1 };
	struct rj_cell_lease_record record = { .known = true };
	struct rj_error err;

	g_assert_cmpint(rj_cell_lease_record_decode(mark, &record, &err), ==,
			-1);
	g_assert_false(record.known);
}

/* A reader's clock is behind the owner's, and never steps back. */
static void test_term_clock(void)
{
	struct rj_cell_term_clock clock = { 0 };

	g_assert_cmpuint(rj_cell_term_clock_ms(&clock, 0, 9 * S), ==, 0);
	rj_cell_term_clock_read(&clock, 7, 1000, 10 * S);
	g_assert_cmpuint(rj_cell_term_clock_ms(&clock, 7, 12 * S), ==, 3000);
	/* A heartbeat that was read late. */
	rj_cell_term_clock_read(&clock, 7, 1400, 12 * S);
	g_assert_cmpuint(rj_cell_term_clock_ms(&clock, 7, 12 * S), ==, 3000);
	g_assert_cmpuint(rj_cell_term_clock_ms(&clock, 9, 12 * S), ==, 0);
	/* The first sign of the end applies, and only to this term. */
	rj_cell_term_clock_end(&clock, 7, 20 * S, false);
	g_assert_cmpuint(clock.ended_us, ==, 0);
	rj_cell_term_clock_end(&clock, 8, 21 * S, true);
	rj_cell_term_clock_end(&clock, 9, 25 * S, false);
	g_assert_cmpuint(clock.ended_us, ==, 21 * S);
	g_assert_true(clock.released);
	rj_cell_term_clock_read(&clock, 9, 0, 26 * S);
	g_assert_cmpuint(clock.ended_us, ==, 0);
	g_assert_false(clock.released);
	rj_cell_term_clock_read(&clock, 7, 90000, 27 * S);
	g_assert_cmpuint(clock.token, ==, 9);
}

/* A store that leaves the answers to the test. */
struct silent_store {
	struct rj_cell_store store; /* first: its operations cast it back */
	struct rj_cell_store_done done; /* of the last append */
};

static void keep_append(struct rj_cell_store *store,
			const struct rj_cell_append *append,
			struct rj_cell_store_done done)
{
	((struct silent_store *)store)->done = done;
}

static const struct rj_cell_store_ops silent_store_ops = {
	.append = keep_append,
};

static void answer_append(const struct silent_store *silent,
			  enum rj_cell_store_status status, uint64_t now_us)
{
	const struct rj_cell_store_reply reply = { .status = status,
						   .now_us = now_us };

	silent->done.call(silent->done.private_data, &reply);
}

static void ignore_outcome(void *unused, enum rj_cell_write_outcome outcome)
{
}

/* Guards against an owner that grants leases for longer than its successor
 * expects: a repeated append is answered long after others have read it. */
static void test_repeated_append_counts_from_its_first_attempt(void)
{
	struct silent_store silent = { .store.ops = &silent_store_ops };
	const struct rj_cell_write_done done = { ignore_outcome, NULL };
	const struct rj_bytes value = { (const uint8_t *)"x", 1 };
	struct rj_cell_writer writer;

	rj_cell_writer_init(&writer, NULL, &silent.store, RJ_CELL_TOPIC_JOBS,
			    "owner");
	rj_cell_writer_open(&writer, 1, 0, 0);
	rj_cell_writer_add(&writer, "b", value, done);
	rj_cell_writer_flush(&writer, S);
	answer_append(&silent, RJ_CELL_STORE_LOST, 2 * S);
	rj_cell_writer_tick(&writer, 5 * S);
	answer_append(&silent, RJ_CELL_STORE_OK, 6 * S);
	g_assert_cmpuint(writer.stored_us, ==, S);
	rj_cell_writer_close(&writer);
}

/* Adds a busy worker that has not answered yet. */
static struct rj_cell_worker *add_worker(struct rj_cell_fleet *fleet,
					 const char *id, uint64_t expired_us)
{
	struct rj_cell_worker *worker = rj_cell_fleet_obtain(fleet, id);
	struct rj_cell_run *run = talloc_zero(NULL, struct rj_cell_run);

	run->worker = worker;
	rj_list_init(&run->in_task);
	rj_cell_run_allocate(run);
	worker->lease_expired_us = expired_us;
	return worker;
}

/* Adds busy workers; returns the last one. */
static struct rj_cell_worker *add_workers(struct rj_cell_fleet *fleet,
					  uint32_t count)
{
	struct rj_cell_worker *last = NULL;

	for (uint32_t i = 0; i < count; i++) {
		char id[RJ_NAME_BYTES];

		(void)snprintf(id, sizeof(id), "worker-%06u", i);
		last = add_worker(fleet, id, 0);
	}
	return last;
}

/* Encodes a record, decodes it again and reports it as stored or not. */
static struct rj_cell_lease_record
store_record(struct rj_cell_lease_bounds *bounds, struct rj_cell_fleet *fleet,
	     bool stored, uint64_t now_us)
{
	struct rj_cell_lease_record record = { 0 };
	struct rj_error err;
	struct rj_bytes bytes;

	g_assert_true(rj_cell_lease_bounds_due(bounds, false, now_us));
	bytes = rj_cell_lease_bounds_encode(bounds, NULL, "n0", 5, fleet, 0,
					    now_us);
	g_assert_cmpint(rj_cell_lease_record_decode(bytes, &record, &err), ==,
			0);
	talloc_free((void *)bytes.data);
	rj_cell_lease_bounds_written(bounds, fleet, stored, now_us);
	return record;
}

/* Guards against a lease for a worker that a stored record lists: it may be
 * granted only after a record without the worker is stored. */
static void test_listed_workers_get_no_leases(void)
{
	const struct rj_cell_lease_record unknown = { 0 };
	const struct rj_cell_term_clock clock = { 0 };
	struct rj_cell_lease_bounds bounds;
	struct rj_cell_lease_record record;
	struct rj_cell_fleet fleet;
	struct rj_cell_worker *worker;

	rj_cell_fleet_init(&fleet, NULL, NULL);
	rj_cell_lease_bounds_init(&bounds);
	worker = add_worker(&fleet, "w0", 0);
	rj_cell_lease_bounds_begin(&bounds, &fleet, &unknown, &clock, 26 * S,
				   10 * S);
	g_assert_cmpuint(worker->lease_expired_us, ==, 26 * S);
	g_assert_false(rj_cell_lease_bounds_allow(&bounds, worker, 10 * S));
	record = store_record(&bounds, &fleet, true, 10 * S);
	g_assert_cmpuint(
		GPOINTER_TO_SIZE(g_hash_table_lookup(record.workers, "w0")), ==,
		/* 16 s, rounded up; decoded values are one higher. */
		16000 + 1 + 1);
	rj_cell_lease_record_finish(&record);
	/* Not before it has answered, nor before that is stored. */
	g_assert_false(rj_cell_lease_bounds_allow(&bounds, worker, 11 * S));
	g_assert_false(rj_cell_lease_bounds_due(&bounds, true, 11 * S));
	worker->incarnation = 1;
	worker->answers = true;
	g_assert_false(rj_cell_lease_bounds_allow(&bounds, worker, 11 * S));
	record = store_record(&bounds, &fleet, false, 11 * S);
	rj_cell_lease_record_finish(&record);
	g_assert_false(rj_cell_lease_bounds_allow(&bounds, worker, 12 * S));
	record = store_record(&bounds, &fleet, true, 12 * S);
	g_assert_cmpuint(g_hash_table_size(record.workers), ==, 0);
	rj_cell_lease_record_finish(&record);
	g_assert_true(rj_cell_lease_bounds_allow(&bounds, worker, 12 * S));
	rj_cell_lease_bounds_finish(&bounds);
	rj_cell_fleet_finish(&fleet);
}

/* Returns the time between two records that list `count` workers. */
static uint64_t record_interval_us(uint32_t count)
{
	const struct rj_cell_lease_record unknown = { 0 };
	const struct rj_cell_term_clock clock = { 0 };
	struct rj_cell_lease_bounds bounds;
	struct rj_cell_lease_record record;
	struct rj_cell_fleet fleet;
	uint64_t interval_us = 0;

	rj_cell_fleet_init(&fleet, NULL, NULL);
	rj_cell_lease_bounds_init(&bounds);
	(void)add_workers(&fleet, count);
	rj_cell_lease_bounds_begin(&bounds, &fleet, &unknown, &clock, 26 * S,
				   10 * S);
	record = store_record(&bounds, &fleet, false, 10 * S);
	rj_cell_lease_record_finish(&record);
	while (!rj_cell_lease_bounds_due(&bounds, false, 10 * S + interval_us))
		interval_us += MS;
	rj_cell_lease_bounds_finish(&bounds);
	rj_cell_fleet_finish(&fleet);
	return interval_us;
}

/* Guards against an owner that encodes lease bounds all the time after it has
 * taken over a large fleet: twice the list takes twice the time to encode. */
static void test_long_lists_are_written_less_often(void)
{
	g_assert_cmpuint(record_interval_us(1), <=, 50 * MS);
	g_assert_cmpuint(record_interval_us(10000), >=,
			 2 * record_interval_us(5000));
}

/* Guards against a record that is too long for the log: the workers that do not
 * fit share the latest of their bounds. */
static void test_long_lists_are_cut(void)
{
	enum { WORKERS = 20000 };
	const struct rj_cell_lease_record unknown = { 0 };
	struct rj_cell_term_clock clock = { 0 };
	struct rj_cell_lease_bounds bounds;
	struct rj_cell_lease_record record;
	struct rj_cell_fleet fleet;
	struct rj_cell_worker *last = NULL;
	guint listed;

	rj_cell_fleet_init(&fleet, NULL, NULL);
	rj_cell_lease_bounds_init(&bounds);
	last = add_workers(&fleet, WORKERS);
	rj_cell_lease_bounds_begin(&bounds, &fleet, &unknown, &clock, 26 * S,
				   10 * S);
	record = store_record(&bounds, &fleet, true, 10 * S);
	listed = g_hash_table_size(record.workers);
	g_assert_cmpuint(listed, >, WORKERS / 4);
	g_assert_cmpuint(listed, <, WORKERS);
	g_assert_cmpuint(record.others_ms, ==, 16000 + 1);
	/* 4 s of the term have passed for the successor; its own bound for the
	 * workers that are not listed would be earlier. */
	rj_cell_term_clock_read(&clock, 5, 4000, 100 * S);
	rj_cell_lease_bounds_begin(&bounds, &fleet, &record, &clock, 106 * S,
				   100 * S);
	g_assert_cmpuint(last->lease_expired_us, ==, 112 * S + MS);
	rj_cell_lease_record_finish(&record);
	rj_cell_lease_bounds_finish(&bounds);
	rj_cell_fleet_finish(&fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CELL_TEST("/leases/unreachable_worker", &site,
		  test_successor_knows_unreachable_workers);
	CELL_TEST("/leases/vanished", &long_leases,
		  test_leases_are_shorter_than_allowed);
	CELL_TEST("/leases/released_owner", &site,
		  test_released_owner_renews_no_leases);
	CELL_TEST("/leases/unstored_record", &site,
		  test_leases_wait_for_the_record);
	CELL_TEST("/leases/worker_left", &long_leases,
		  test_worker_leaves_with_an_isolated_owner);
	CELL_TEST("/leases/left_with_owner", &long_leases,
		  test_worker_leaves_as_the_owner_is_lost);
	g_test_add_func("/leases/evacuation",
			test_evacuation_by_an_isolated_owner);
	CELL_TEST("/leases/isolated_owner", &long_leases,
		  test_isolated_owner_stops_in_time);
	CELL_TEST("/leases/completion_seen", &long_leases,
		  test_completion_seen_by_an_isolated_owner);
	CELL_TEST("/leases/completion_in_takeover", &long_leases,
		  test_completion_published_in_a_takeover);
	CELL_TEST("/leases/stop_seen", &long_leases,
		  test_stop_seen_by_an_isolated_owner);
	CELL_TEST("/leases/failure_seen_before_restart", &long_leases,
		  test_failure_seen_before_a_restart);
	CELL_TEST("/leases/outage", &long_leases,
		  test_leases_outlive_an_outage);
	g_test_add_func("/leases/grants", test_grants_of_an_earlier_version);
	CELL_TEST("/leases/upgrade", &long_leases,
		  test_long_lease_of_an_earlier_version);
	CELL_TEST("/leases/renewed", &site,
		  test_leases_are_renewed_after_a_takeover);
	g_test_add_func("/leases/earlier_version",
			test_earlier_versions_store_no_bounds);
	g_test_add_func("/leases/term_clock", test_term_clock);
	g_test_add_func("/leases/repeated_append",
			test_repeated_append_counts_from_its_first_attempt);
	g_test_add_func("/leases/listed", test_listed_workers_get_no_leases);
	g_test_add_func("/leases/interval",
			test_long_lists_are_written_less_often);
	g_test_add_func("/leases/long_list", test_long_lists_are_cut);
	return g_test_run();
}
