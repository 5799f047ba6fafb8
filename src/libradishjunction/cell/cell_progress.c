#include "private/cell_progress.h"

#include <inttypes.h>
#include <talloc.h>

#include "private/cell_record.h"
#include "private/cell_writer.h"
#include "private/log_event.h"

/* Estimated length of an occurrence in a record, besides its tasks, and of a
 * task while it is not done: numbers of its run, failures and worker. */
#define OCCURRENCE_BYTES 6
#define DONE_TASK_BYTES 1
#define OPEN_TASK_BYTES 16
/* Part of a record for which occurrences begin, in percent. The rest is for the
 * ids of workers, and for checkpoints. */
#define BEGIN_PERCENT 75
/* Maximum number of open occurrences; earlier versions read 65,535. */
#define OPEN_OCCURRENCES_MAX 32768
/* How long nothing of a job starts after intents were withdrawn. */
#define WITHDRAWN_PAUSE_US (100 * RJ_US_PER_MS)

/* Estimated length of `occurrences` with `open_tasks` tasks that are not
 * done. */
static uint64_t estimate_bytes(const struct rj_cell_job_spec *job_spec,
			       uint64_t occurrences, uint64_t open_tasks)
{
	uint64_t done_tasks = occurrences * job_spec->task_count - open_tasks;

	return occurrences * OCCURRENCE_BYTES + done_tasks * DONE_TASK_BYTES +
	       open_tasks * OPEN_TASK_BYTES;
}

/* Whether a step of the job never completes, so that its occurrences stay
 * open. */
static bool is_perpetual(const struct rj_cell_job_spec *job_spec)
{
	for (uint32_t i = 0; i < job_spec->step_count; i++)
		if (job_spec->steps[i].perpetual)
			return true;
	return false;
}

/*
 * Checks that the tasks of a job that have to be open at the same time fit a
 * record: those of one occurrence, or of all if they never complete. Returns 0,
 * or -1 with `err`.
 */
int rj_cell_progress_check(const struct rj_cell_job_spec *job_spec,
			   uint32_t record_max_bytes, struct rj_error *err)
{
	uint64_t occurrences =
		is_perpetual(job_spec) ? MAX(job_spec->repeats, 1U) : 1;
	uint64_t tasks = occurrences * job_spec->task_count;

	if (!record_max_bytes ||
	    (occurrences <= OPEN_OCCURRENCES_MAX &&
	     estimate_bytes(job_spec, occurrences, tasks) * 100 <=
		     (uint64_t)record_max_bytes * BEGIN_PERCENT))
		return 0;
	return rj_error_set(err, RJ_ERR_TOO_LARGE,
			    "steps: %" PRIu64
			    " tasks at the same time in %" PRIu64
			    " occurrences do not fit a record of the log; "
			    "split the job",
			    tasks, occurrences);
}

/*
 * Whether the next occurrence of a job may begin. The occurrences of a perpetual
 * job wait for nothing, as no other one ends.
 */
bool rj_cell_progress_has_room(const struct rj_cell_job *job,
			       uint32_t record_max_bytes)
{
	const struct rj_cell_job_spec *job_spec = job->job_spec;
	uint64_t bytes;

	if (!record_max_bytes || !job->occurrences_open ||
	    is_perpetual(job_spec))
		return true;
	if (job->occurrences_open >= OPEN_OCCURRENCES_MAX)
		return false;
	bytes = estimate_bytes(job_spec, job->occurrences_open + 1,
			       job->tasks_open + job_spec->task_count);
	return bytes * 100 <= (uint64_t)record_max_bytes * BEGIN_PERCENT;
}

static void add_intent(struct rj_cell_run *run, void *private_data)
{
	if (run->state == RJ_CELL_RUN_INTENDED)
		g_ptr_array_add(private_data, run->task);
}

/* Frees the intents of a task, or of its whole gang. */
static void withdraw(struct rj_cell_task *task)
{
	const struct rj_cell_step *step = rj_cell_task_step(task);
	struct rj_cell_task *first = rj_cell_task_head(task);
	uint32_t count = step->gang ? step->task_count : 1;

	for (uint32_t i = 0; i < count; i++) {
		struct rj_list *at;
		struct rj_list *next;

		RJ_FOR_EACH (at, next, &first[i].runs) {
			struct rj_cell_run *run =
				RJ_CONTAINER(at, struct rj_cell_run, in_task);

			if (run->state == RJ_CELL_RUN_INTENDED)
				rj_cell_run_free(run);
		}
	}
}

/* Withdraws half of the intents of a job, the last ones first. Returns false if
 * it has none. */
static bool withdraw_half(struct rj_cell_job *job)
{
	GPtrArray *tasks = g_ptr_array_new();
	bool found;

	rj_cell_job_each_run(job, add_intent, tasks);
	found = tasks->len > 0;
	for (guint i = tasks->len / 2; i < tasks->len; i++)
		withdraw(tasks->pdata[i]);
	g_ptr_array_free(tasks, TRUE);
	return found;
}

/* Logs when records of a job begin or cease to be trimmed. */
static void set_trimmed(struct rj_cell_job *job, bool trimmed, uint32_t bytes)
{
	if (job->trimmed != trimmed)
		rj_log_event("progress_trimmed",
			     RJ_LOG_TEXT("job", job->job_spec->id),
			     RJ_LOG_NUMBER("trimmed", trimmed),
			     RJ_LOG_NUMBER("bytes", bytes),
			     RJ_LOG_NUMBER("tasks_open", job->tasks_open));
	job->trimmed = trimmed;
}

/*
 * Encodes the progress of a job as a talloc child of `mem`, trimmed to what a
 * record holds. If that takes the withdrawal of intents, nothing of the job
 * starts for a while. The result is too long if the runs of the job alone are.
 */
struct rj_bytes rj_cell_progress_encode_within(void *mem,
					       struct rj_cell_job *job,
					       uint32_t record_max_bytes,
					       uint64_t now_us)
{
	uint32_t value_max_bytes = rj_cell_writer_value_max_bytes(
		record_max_bytes, RJ_CELL_KEY_BYTES - 1);
	struct rj_bytes value = rj_cell_progress_encode(mem, job, true);
	bool trimmed = value.length > value_max_bytes;

	set_trimmed(job, trimmed, value.length);
	if (!trimmed)
		return value;
	do {
		talloc_free((void *)value.data);
		value = rj_cell_progress_encode(mem, job, false);
		if (value.length <= value_max_bytes)
			break;
		job->start_due_us = now_us + WITHDRAWN_PAUSE_US;
	} while (withdraw_half(job));
	return value;
}
