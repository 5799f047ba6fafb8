/*
 * Tests of what an owner knows of the past runs of a task, which decides the
 * meaning of their ends: that its successor has it too.
 */
#include <talloc.h>

#include "private/cell_record.h"
#include "private/pack.h"
#include "support/cell_fixture.h"
#include "support/cell_load.h"

/* Time for a takeover and for the new owner's first polls. */
#define TAKEOVER_US (3 * S)
#define GANG_TASKS 2

/* Tasks may fail once. */
static const struct cell_sim_options two_attempts = {
	CELL_SITE(1, 4, 12, 4, 32),
	.attempts_max = 2,
	.gangs_fail_together = true,
};

/* Submits a gang that takes whole workers, and fails in its first run. */
static struct cell_client_job *submit_failing_gang(struct cell_sim *sim)
{
	struct rj_cell_step step = cell_sim_plain_step(GANG_TASKS, 8, 2000);
	struct cell_client_job *job;

	step.gang = true;
	job = cell_sim_job_new(sim, "normal", "a", &step, 1, 2 * S);
	job->failing_runs = 1;
	cell_sim_submit(sim, 0, job);
	return job;
}

/* Returns the worker of the gang's member with this index. */
static uint32_t worker_of(struct cell_sim *sim,
			  const struct cell_client_job *job, uint32_t index)
{
	char *name = g_strdup_printf("%s.0.0.%u", job->id, index);
	uint32_t worker = UINT32_MAX;

	for (uint32_t i = 0; i < sim->options.workers; i++)
		for (guint j = 0; j < sim->workers[i].runs->len; j++) {
			struct cell_fake_run_info info =
				cell_fake_run_info_at(&sim->workers[i], j);

			if (!strcmp(info.name, name))
				worker = i;
		}
	g_free(name);
	g_assert_cmpuint(worker, !=, UINT32_MAX);
	return worker;
}

/* Cuts a worker off from all nodes, or ends that. */
static void set_cut_off(struct cell_sim *sim, uint32_t worker, bool cut_off)
{
	for (uint32_t i = 0; i < sim->options.nodes; i++)
		sim->workers[worker].partitioned[i] = cut_off;
}

/* Submits a gang whose members fail in the same run, of which one is on a
 * worker that cannot report it yet. Returns the job. */
static struct cell_client_job *fail_half_seen(struct cell_sim *sim,
					      uint32_t *unseen)
{
	struct cell_client_job *job = submit_failing_gang(sim);

	cell_load_run(sim, 500 * MS);
	*unseen = worker_of(sim, job, 1);
	set_cut_off(sim, *unseen, true);
	cell_load_run(sim, 2 * S);
	g_assert_cmpuint(sim->workers[*unseen].runs->len, ==, 0);
	return job;
}

/* Guards against a failure of a gang that a successor counts once more, as a
 * second member reports it after the takeover. */
static void test_gang_failure_spans_a_takeover(struct cell_fixture *f,
					       const void *data)
{
	uint32_t unseen;
	struct cell_client_job *job = fail_half_seen(&f->sim, &unseen);
	uint32_t owner = (uint32_t)cell_sim_owner(&f->sim);

	cell_sim_node_kill(&f->sim, owner);
	cell_load_run(&f->sim, TAKEOVER_US);
	cell_sim_node_start(&f->sim, owner);
	set_cut_off(&f->sim, unseen, false);
	cell_load_run(&f->sim, 20 * S);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(job->starts, ==, 2 * GANG_TASKS);
}

/* Guards against the same as the owner is paused, and takes the cell over
 * again. */
static void test_gang_failure_spans_a_pause(struct cell_fixture *f,
					    const void *data)
{
	uint32_t unseen;
	struct cell_client_job *job = fail_half_seen(&f->sim, &unseen);

	cell_sim_node_pause(&f->sim, (uint32_t)cell_sim_owner(&f->sim), 4 * S);
	cell_load_run(&f->sim, TAKEOVER_US);
	set_cut_off(&f->sim, unseen, false);
	cell_load_run(&f->sim, 20 * S);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(job->starts, ==, 2 * GANG_TASKS);
}

/* A job of one gang of two, with its decoded copy. */
struct record_fixture {
	void *mem;
	struct rj_cell_fleet fleet;
	struct rj_cell_step step;
	struct rj_cell_job_spec spec;
	struct rj_cell_job *job;
	struct rj_cell_task *head;
	struct rj_cell_job *copy;
	struct rj_cell_task *copied_head;
};

static void record_setup(struct record_fixture *f, const void *data)
{
	f->mem = talloc_new(NULL);
	rj_cell_fleet_init(&f->fleet, f->mem, NULL);
	f->step = cell_sim_plain_step(GANG_TASKS, 8, 2000);
	f->step.gang = true;
	f->spec.steps = &f->step;
	f->spec.step_count = 1;
	f->spec.task_count = GANG_TASKS;
	f->spec.attempts_max = 100;
	f->job = rj_cell_job_new(f->mem, &f->spec);
	f->head = rj_cell_job_begin_occurrence(f->job, 0)->tasks;
	f->copy = rj_cell_job_new(f->mem, &f->spec);
}

static void record_teardown(struct record_fixture *f, const void *data)
{
	talloc_free(f->job);
	talloc_free(f->copy);
	rj_cell_fleet_finish(&f->fleet);
	talloc_free(f->mem);
}

/* Decodes a record into the copy. */
static void decode(struct record_fixture *f, struct rj_bytes record)
{
	struct rj_error err;

	g_assert_cmpint(
		rj_cell_progress_decode(record, f->copy, &f->fleet, S, &err),
		==, 0);
	f->copied_head = RJ_CONTAINER(f->copy->occurrences.next,
				      struct rj_cell_occurrence, link)
				 ->tasks;
}

/* Guards against a count that begins anew at a takeover. */
static void test_history_is_stored(struct record_fixture *f, const void *data)
{
	const uint32_t failed[] = { 1, 3, 4 };

	f->head->run = 5;
	f->head->failures = G_N_ELEMENTS(failed);
	f->head->unreported = 1;
	f->head->unreported_run = 5;
	f->head->losses = 7;
	f->head[1].stalls = 2;
	for (guint i = 0; i < G_N_ELEMENTS(failed); i++)
		g_assert_true(rj_cell_task_add_failed_run(f->head, failed[i]));
	decode(f, rj_cell_progress_encode(f->mem, f->job, true));
	g_assert_cmpuint(f->copied_head->failures, ==, G_N_ELEMENTS(failed));
	g_assert_cmpuint(f->copied_head->unreported, ==, 1);
	g_assert_cmpuint(f->copied_head->unreported_run, ==, 5);
	g_assert_cmpuint(f->copied_head->losses, ==, 7);
	g_assert_cmpuint(f->copied_head[1].stalls, ==, 2);
	for (guint i = 0; i < G_N_ELEMENTS(failed); i++)
		g_assert_false(
			rj_cell_task_add_failed_run(f->copied_head, failed[i]));
	g_assert_true(rj_cell_task_add_failed_run(f->copied_head, 2));
}

/* A task of a gang that has failed is one that a worker has begun. */
static void test_failed_task_has_begun(struct record_fixture *f,
				       const void *data)
{
	f->head->run = 1;
	f->head->failures = 1;
	decode(f, rj_cell_progress_encode(f->mem, f->job, true));
	g_assert_true(f->copied_head->begun);
	g_assert_false(f->copied_head[1].begun);
}

/* Encodes the fixed fields of a record of a gang whose head has started
 * `runs` times and failed `failures` times. */
static void pack_gang(struct rj_packer *out, uint32_t runs, uint32_t failures)
{
	rj_pack_init(out);
	rj_pack_number(out, 1); /* format */
	rj_pack_number(out, RJ_CELL_JOB_RUNNING);
	rj_pack_bool(out, true);
	rj_pack_number(out, 1); /* occurrences begun */
	rj_pack_number(out, 0); /* and done */
	rj_pack_number(out, 0); /* workers */
	rj_pack_number(out, 1); /* occurrences */
	rj_pack_number(out, 0); /* number of the first one */
	rj_pack_number(out, 2); /* details of the head */
	rj_pack_number(out, runs);
	rj_pack_number(out, failures);
	rj_pack_text(out, "");
	rj_pack_number(out, 0); /* runs */
	rj_pack_number(out, 0); /* the second member has not started */
}

/* The records of earlier versions, with and without unreported failures, are
 * read. */
static void test_records_of_earlier_versions(struct record_fixture *f,
					     const void *data)
{
	static const uint32_t row[] = { 0, 0, 2, 1, 3 };
	struct rj_packer out;

	pack_gang(&out, 3, 2);
	for (guint i = 0; i < G_N_ELEMENTS(row); i++)
		rj_pack_number(&out, row[i]);
	decode(f, rj_pack_finish(&out, f->mem));
	g_assert_cmpuint(f->copied_head->failures, ==, 2);
	g_assert_cmpuint(f->copied_head->unreported, ==, 1);
	g_assert_cmpuint(f->copied_head->unreported_run, ==, 3);
	g_assert_true(rj_cell_task_has_failed_in(f->copied_head, 2));
	talloc_free(f->copy);
	f->copy = rj_cell_job_new(f->mem, &f->spec);
	pack_gang(&out, 3, 2);
	decode(f, rj_pack_finish(&out, f->mem));
	g_assert_cmpuint(f->copied_head->failures, ==, 2);
	g_assert_cmpuint(f->copied_head->failed_run_count, ==, 0);
}

/* Guards against a record that an earlier version rejects or misreads: it takes
 * each row for a task's last failed run, the number of its unreported failures
 * and the last run with one. */
static void test_record_for_earlier_versions(struct record_fixture *f,
					     const void *data)
{
	struct rj_unpacker in;
	struct rj_bytes record;
	struct rj_packer out;
	struct rj_error err;
	uint64_t row[5] = { 0 };
	uint32_t rows = 0;

	f->head->run = 3;
	f->head->failures = 2;
	f->head->stalls = 1;
	f->head->losses = 1;
	f->head->unreported = 1;
	f->head->unreported_run = 3;
	(void)rj_cell_task_add_failed_run(f->head, 1);
	(void)rj_cell_task_add_failed_run(f->head, 2);
	f->job->state = RJ_CELL_JOB_RUNNING;
	f->job->started = true;
	rj_cell_task_set_begun(f->head, 0);
	record = rj_cell_progress_encode(f->mem, f->job, true);
	rj_unpack_init(&in, record);
	pack_gang(&out, 3, 2);
	in.offset = rj_pack_finish(&out, f->mem).length;
	for (; rj_unpack_has_more(&in); rows++) {
		for (guint i = 0; i < G_N_ELEMENTS(row); i++)
			row[i] = rj_unpack_number(&in, "row", UINT32_MAX);
		g_assert_cmpuint(row[0], ==, 0);
		g_assert_cmpuint(row[1], <, GANG_TASKS);
	}
	g_assert_cmpint(rj_unpack_finish(&in, &err), ==, 0);
	g_assert_cmpuint(rows, ==, 4);
	g_assert_cmpuint(row[2], ==, 2);
	g_assert_cmpuint(row[3], ==, 1);
	g_assert_cmpuint(row[4], ==, 3);
}

/* Guards against a lost run of a gang that an earlier version takes for the last
 * run with an unreported failure: the last row is the one that it knows. */
static void test_last_row_is_known(struct record_fixture *f, const void *data)
{
	struct rj_bytes record;

	f->head->run = 3;
	f->head->failures = 1;
	f->head->losses = 2;
	record = rj_cell_progress_encode(f->mem, f->job, true);
	/* Occurrence, task, failed run, unreported failures and their run. */
	g_assert_cmpmem(record.data + record.length - 5, 5, "\0\0\0\0\0", 5);
}

/* Guards against a successor that takes a job whose starts were refused for one
 * that has begun, or the other way round; and against a row of it that an earlier
 * version takes for a failed run. */
static void test_whether_any_task_has_begun(struct record_fixture *f,
					    const void *data)
{
	struct rj_bytes record;

	f->head->run = 1;
	f->job->state = RJ_CELL_JOB_RUNNING;
	f->job->started = true;
	record = rj_cell_progress_encode(f->mem, f->job, true);
	g_assert_cmpmem(record.data + record.length - 5, 5, "\0\0\0\0\0", 5);
	decode(f, record);
	g_assert_false(f->copy->any_begun);
	talloc_free(f->copy);
	f->copy = rj_cell_job_new(f->mem, &f->spec);
	rj_cell_task_set_begun(f->head, 0);
	decode(f, rj_cell_progress_encode(f->mem, f->job, true));
	g_assert_true(f->copy->any_begun);
}

/* The number of remembered failures is limited; the latest ones are kept. */
static void test_failed_runs_are_limited(struct record_fixture *f,
					 const void *data)
{
	for (uint32_t i = 1; i <= RJ_CELL_FAILED_RUNS_MAX + 5; i++)
		g_assert_true(rj_cell_task_add_failed_run(f->head, i));
	g_assert_cmpuint(f->head->failed_run_count, ==,
			 RJ_CELL_FAILED_RUNS_MAX);
	g_assert_false(rj_cell_task_has_failed_in(f->head, 5));
	g_assert_true(rj_cell_task_has_failed_in(f->head, 6));
}

#define RECORD_TEST(path, function)                                           \
	g_test_add(path, struct record_fixture, NULL, record_setup, function, \
		   record_teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CELL_TEST("/task_history/takeover", &two_attempts,
		  test_gang_failure_spans_a_takeover);
	CELL_TEST("/task_history/pause", &two_attempts,
		  test_gang_failure_spans_a_pause);
	RECORD_TEST("/task_history/stored", test_history_is_stored);
	RECORD_TEST("/task_history/begun", test_failed_task_has_begun);
	RECORD_TEST("/task_history/earlier_records",
		    test_records_of_earlier_versions);
	RECORD_TEST("/task_history/earlier_readers",
		    test_record_for_earlier_versions);
	RECORD_TEST("/task_history/last_row", test_last_row_is_known);
	RECORD_TEST("/task_history/any_begun", test_whether_any_task_has_begun);
	RECORD_TEST("/task_history/limited", test_failed_runs_are_limited);
	return g_test_run();
}
