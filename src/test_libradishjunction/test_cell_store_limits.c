/*
 * Records that the log does not accept: one that it rejects for its contents,
 * and progress that grows with the work of a job.
 */
#include <string.h>
#include <talloc.h>

#include "private/cell_progress.h"
#include "private/cell_record.h"
#include "support/cell_fixture.h"
#include "support/cell_load.h"

/* Length of a record in a log whose limit is low. */
#define SHORT_RECORD_BYTES 4096

/* Twelve workers with eight accelerators each in three racks; three nodes. */
static const struct cell_sim_options small = {
	CELL_SITE(1, 3, 12, 4, 32),
};

/* The same with a log that accepts short records only. */
static const struct cell_sim_options short_records = {
	CELL_SITE(2, 3, 12, 4, 32),
	.record_max_bytes = SHORT_RECORD_BYTES,
};

/* Submits a job of four tasks of one second. */
static struct cell_client_job *submit_small(struct cell_sim *sim,
					    const char *queue)
{
	struct rj_cell_step step = cell_sim_plain_step(4, 1, 1000);

	return cell_load_submit(sim, queue, "a", &step, S);
}

/* The log rejects the progress of one job for good: jobs of other queues
 * complete meanwhile, and the job itself once its record is accepted. */
static void test_a_rejected_record_holds_up_its_job_only(struct cell_fixture *f,
							 const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(12, 1, 1000);
	struct cell_client_job *rejected =
		cell_sim_job_new(&f->sim, "bulk", "b", &step, 1, S);
	char *key = g_strconcat("s", rejected->id, NULL);
	int owner = cell_sim_owner(&f->sim);

	f->sim.log.invalid_key = key;
	cell_sim_submit(&f->sim, 0, rejected);
	cell_load_run(&f->sim, S);
	for (uint32_t i = 0; i < 10; i++) {
		struct cell_client_job *job = submit_small(&f->sim, "urgent");

		cell_load_run(&f->sim, 2 * S);
		g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	}
	g_assert_true(rejected->accepted);
	g_assert_cmpuint(rejected->starts, ==, 0);
	g_assert_cmpint(cell_sim_owner(&f->sim), ==, owner);
	f->sim.log.invalid_key = NULL;
	cell_load_run(&f->sim, 4 * S);
	g_assert_cmpint(rejected->state, ==, RJ_CELL_JOB_COMPLETED);
	cell_sim_check_final(&f->sim);
	g_free(key);
}

/* The log begins to reject the progress of a job whose tasks run: their ends
 * are kept by the workers until they are stored, so that the next owner does not
 * start them again, while other jobs on the same workers complete. */
static void test_unstorable_ends_are_not_acknowledged(struct cell_fixture *f,
						      const void *data)
{
	uint32_t first = 0;
	struct rj_cell_step steps[2] = { cell_sim_plain_step(24, 1, 1000),
					 cell_sim_plain_step(1, 1, 1000) };
	struct cell_client_job *rejected;
	struct cell_client_job *other;
	uint32_t owner;
	char *key;

	steps[1].after = &first;
	steps[1].after_count = 1;
	rejected = cell_sim_job_new(&f->sim, "bulk", "b", steps, 2, 2 * S);
	key = g_strconcat("s", rejected->id, NULL);
	cell_sim_submit(&f->sim, 0, rejected);
	cell_load_run(&f->sim, S);
	g_assert_cmpuint(rejected->starts, ==, 24);
	f->sim.log.invalid_key = key;
	cell_load_run(&f->sim, 4 * S);
	other = submit_small(&f->sim, "urgent");
	cell_load_run(&f->sim, 3 * S);
	g_assert_cmpint(other->state, ==, RJ_CELL_JOB_COMPLETED);
	owner = (uint32_t)cell_sim_owner(&f->sim);
	cell_sim_node_kill(&f->sim, owner);
	f->sim.log.invalid_key = NULL;
	cell_load_run(&f->sim, 3 * S);
	cell_sim_node_start(&f->sim, owner);
	cell_load_run(&f->sim, 7 * S);
	g_assert_cmpint(rejected->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(rejected->starts, ==, 25);
	cell_sim_check_final(&f->sim);
	g_free(key);
}

/* The log rejects one of several submissions in an append: its caller is told
 * that it is not accepted, the callers of the others that theirs are. */
static void test_a_rejected_submission_spares_others(struct cell_fixture *f,
						     const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(2, 1, 500);
	struct cell_client_job *jobs[8];
	char *key = NULL;

	for (uint32_t i = 0; i < G_N_ELEMENTS(jobs); i++)
		jobs[i] = cell_sim_job_new(&f->sim, "normal", "a", &step, 1, S);
	key = g_strconcat("j", jobs[3]->id, NULL);
	f->sim.log.invalid_key = key;
	for (uint32_t i = 0; i < G_N_ELEMENTS(jobs); i++)
		cell_sim_submit(&f->sim, 0, jobs[i]);
	cell_load_run(&f->sim, 4 * S);
	for (uint32_t i = 0; i < G_N_ELEMENTS(jobs); i++) {
		g_assert_cmpint(jobs[i]->accepted, ==, i != 3);
		g_assert_cmpuint(jobs[i]->starts, ==, i != 3 ? 2 : 0);
	}
	cell_sim_check_final(&f->sim);
	g_free(key);
}

/* Submits a job of one task whose occurrences are all due. */
static struct cell_client_job *submit_repeated(struct cell_sim *sim,
					       uint32_t repeats)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 1, 500);
	struct cell_client_job *job =
		cell_sim_job_new(sim, "bulk", "b", &step, 1, 500 * MS);

	job->spec->repeats = repeats;
	job->spec->first_run_ms = cell_sim_wall_ms(sim);
	cell_sim_submit(sim, 0, job);
	return job;
}

/* Number of records that the log has rejected on all nodes. */
static uint64_t count_invalid(const struct cell_sim *sim)
{
	uint64_t count = 0;

	for (uint32_t i = 0; i < sim->options.nodes; i++)
		count += sim->nodes[i].node.owner.progress_writer.invalid +
			 sim->nodes[i].node.owner.writer.invalid +
			 sim->nodes[i].node.writer.invalid;
	return count;
}

/* More occurrences of a job are due than a record can hold: it completes, and
 * urgent jobs are not held up. */
static void test_more_occurrences_than_a_record_holds(struct cell_fixture *f,
						      const void *data)
{
	struct cell_client_job *large = submit_repeated(&f->sim, 1200);

	cell_load_run(&f->sim, S);
	g_assert_true(large->accepted);
	for (uint32_t i = 0; i < 5; i++) {
		struct cell_client_job *job = submit_small(&f->sim, "urgent");

		cell_load_run(&f->sim, 2 * S);
		g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	}
	cell_load_run(&f->sim, 10 * S);
	g_assert_cmpint(large->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(large->starts, ==, 1200);
	g_assert_cmpuint(count_invalid(&f->sim), ==, 0);
	cell_sim_check_final(&f->sim);
}

/* An earlier version has stored a job with nearly all occurrences open that a
 * record holds: its successor completes it. */
static void test_a_full_record_is_taken_over(struct cell_fixture *f,
					     const void *data)
{
	struct cell_client_job *large = submit_repeated(&f->sim, 800);

	cell_load_run(&f->sim, S);
	g_assert_true(large->accepted);
	for (uint32_t i = 0; i < f->sim.options.nodes; i++)
		cell_sim_node_kill(&f->sim, i);
	f->sim.options.record_max_bytes = SHORT_RECORD_BYTES;
	f->sim.log.record_max_bytes = SHORT_RECORD_BYTES;
	for (uint32_t i = 0; i < f->sim.options.nodes; i++)
		cell_sim_node_start(&f->sim, i);
	cell_load_run(&f->sim, 20 * S);
	g_assert_cmpint(large->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_cmpuint(large->starts, ==, 800);
	cell_sim_check_final(&f->sim);
}

/* Jobs whose tasks would never fit a record are rejected at once: a step that
 * is too wide, and too many occurrences that never complete. */
static void test_a_job_that_never_fits_is_rejected(struct cell_fixture *f,
						   const void *data)
{
	struct rj_cell_step wide = cell_sim_plain_step(400, 1, 1000);
	struct rj_cell_step perpetual = cell_sim_plain_step(10, 0, 1000);
	struct cell_client_job *jobs[2];

	perpetual.perpetual = true;
	jobs[0] = cell_sim_job_new(&f->sim, "bulk", "b", &wide, 1, S);
	jobs[1] = cell_sim_job_new(&f->sim, "bulk", "b", &perpetual, 1, S);
	jobs[1]->spec->repeats = 100;
	for (uint32_t i = 0; i < G_N_ELEMENTS(jobs); i++)
		cell_sim_submit(&f->sim, 0, jobs[i]);
	cell_load_run(&f->sim, 4 * S);
	for (uint32_t i = 0; i < G_N_ELEMENTS(jobs); i++) {
		g_assert_false(jobs[i]->accepted);
		g_assert_cmpuint(jobs[i]->starts, ==, 0);
	}
}

/* Creates a job with one step, its first occurrence, and an intent of each task
 * on a worker of its own. */
static struct rj_cell_job *new_intended_job(void *mem,
					    struct rj_cell_fleet *fleet,
					    const struct rj_cell_step *step)
{
	struct rj_cell_job_spec *spec =
		talloc_zero(mem, struct rj_cell_job_spec);
	struct rj_cell_occurrence *occurrence;
	struct rj_cell_job *job;

	spec->steps = talloc_memdup(spec, step, sizeof(*step));
	spec->step_count = 1;
	spec->task_count = step->task_count;
	job = rj_cell_job_new(mem, spec);
	occurrence = rj_cell_job_begin_occurrence(job, 0);
	for (uint32_t i = 0; i < spec->task_count; i++) {
		char *id = talloc_asprintf(spec, "worker-%u", i);

		occurrence->tasks[i].run = 1;
		(void)rj_cell_run_new(rj_cell_fleet_obtain(fleet, id),
				      &occurrence->tasks[i], 1);
	}
	return job;
}

static void count_run(struct rj_cell_run *run, void *private_data)
{
	(*(uint32_t *)private_data)++;
}

static uint32_t run_count(const struct rj_cell_job *job)
{
	uint32_t count = 0;

	rj_cell_job_each_run(job, count_run, &count);
	return count;
}

/* A record is too long with the checkpoints of its tasks, and without them with
 * all intents: checkpoints are left out, then intents are withdrawn, of a gang
 * all or none. */
static void test_a_long_record_is_trimmed(void)
{
	struct rj_cell_step step = cell_sim_plain_step(100, 1, 1000);
	struct rj_cell_fleet fleet;
	struct rj_cell_cordons cordons;
	struct rj_cell_job *job;
	struct rj_bytes value;
	void *mem = talloc_new(NULL);

	rj_cell_cordons_init(&cordons);
	rj_cell_fleet_init(&fleet, mem, &cordons);
	job = new_intended_job(mem, &fleet, &step);
	for (uint32_t i = 0; i < 100; i++)
		rj_cell_task_set_checkpoint(
			&RJ_CONTAINER(job->occurrences.next,
				      struct rj_cell_occurrence, link)
				 ->tasks[i],
			"0123456789abcdef");
	value = rj_cell_progress_encode_within(mem, job, SHORT_RECORD_BYTES, S);
	g_assert_cmpuint(value.length, >, 3000);
	value = rj_cell_progress_encode_within(mem, job, 3000, S);
	g_assert_cmpuint(value.length, <, 3000);
	g_assert_cmpuint(run_count(job), ==, 100);
	g_assert_cmpuint(job->start_due_us, ==, 0);
	value = rj_cell_progress_encode_within(mem, job, 1500, S);
	g_assert_cmpuint(value.length, <, 1500);
	g_assert_cmpuint(run_count(job), >, 25);
	g_assert_cmpuint(run_count(job), <, 100);
	g_assert_cmpuint(job->start_due_us, >, S);
	step.gang = true;
	job = new_intended_job(mem, &fleet, &step);
	value = rj_cell_progress_encode_within(mem, job, 1500, S);
	g_assert_cmpuint(value.length, <, 1500);
	g_assert_cmpuint(run_count(job), ==, 0);
	talloc_free(job);
	rj_cell_fleet_finish(&fleet);
	rj_cell_cordons_finish(&cordons);
	talloc_free(mem);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CELL_TEST("/cell/store_limits/rejected_record", &small,
		  test_a_rejected_record_holds_up_its_job_only);
	CELL_TEST("/cell/store_limits/unstorable_ends", &small,
		  test_unstorable_ends_are_not_acknowledged);
	CELL_TEST("/cell/store_limits/rejected_submission", &small,
		  test_a_rejected_submission_spares_others);
	CELL_TEST("/cell/store_limits/occurrences", &short_records,
		  test_more_occurrences_than_a_record_holds);
	CELL_TEST("/cell/store_limits/takeover", &small,
		  test_a_full_record_is_taken_over);
	CELL_TEST("/cell/store_limits/never_fits", &short_records,
		  test_a_job_that_never_fits_is_rejected);
	g_test_add_func("/cell/store_limits/trimmed",
			test_a_long_record_is_trimmed);
	return g_test_run();
}
