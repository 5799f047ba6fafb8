#include "private/cell_active_job.h"

#include <assert.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_fleet.h"

const char *const rj_cell_job_state_string[RJ_CELL_JOB_STATE_COUNT] = {
	[RJ_CELL_JOB_QUEUED] = "queued",
	[RJ_CELL_JOB_RUNNING] = "running",
	[RJ_CELL_JOB_COMPLETED] = "completed",
	[RJ_CELL_JOB_FAILED] = "failed",
	[RJ_CELL_JOB_CANCELLED] = "cancelled",
};

const char *const rj_cell_run_state_string[RJ_CELL_RUN_STATE_COUNT] = {
	[RJ_CELL_RUN_INTENDED] = "intended",
	[RJ_CELL_RUN_STARTING] = "starting",
	[RJ_CELL_RUN_PLACED] = "placed",
	[RJ_CELL_RUN_LISTED] = "seen",
	[RJ_CELL_RUN_STOPPING] = "stopping",
};

static void free_run(struct rj_cell_run *run, void *unused)
{
	rj_cell_run_free(run);
}

static int job_destructor(struct rj_cell_job *job)
{
	rj_cell_job_each_run(job, free_run, NULL);
	rj_list_remove(&job->link);
	rj_list_remove(&job->in_dirty);
	rj_list_remove(&job->in_unstorable);
	rj_cell_unsaved_ends_finish(&job->unsaved_ends);
	return 0;
}

/*
 * Creates a job without occurrences as a talloc child of `mem`. `job_spec` must
 * outlive it.
 */
struct rj_cell_job *rj_cell_job_new(void *mem,
				    const struct rj_cell_job_spec *job_spec)
{
	struct rj_cell_job *job = talloc_zero(mem, struct rj_cell_job);

	assert(job);
	job->job_spec = job_spec;
	rj_list_init(&job->link);
	rj_list_init(&job->in_dirty);
	rj_list_init(&job->in_unstorable);
	rj_list_init(&job->occurrences);
	talloc_set_destructor(job, job_destructor);
	return job;
}

/*
 * The job's priority, limited to the last priority class.
 */
uint32_t rj_cell_job_priority_class(const struct rj_cell_job *job)
{
	return MIN(job->job_spec->priority, RJ_CELL_PRIORITY_CLASSES - 1);
}

/*
 * Adds an occurrence whose tasks all wait.
 */
struct rj_cell_occurrence *rj_cell_job_begin_occurrence(struct rj_cell_job *job,
							uint32_t number)
{
	const struct rj_cell_job_spec *job_spec = job->job_spec;
	struct rj_cell_occurrence *occurrence =
		talloc_zero(job, struct rj_cell_occurrence);
	struct rj_cell_task *task;

	assert(occurrence);
	occurrence->job = job;
	occurrence->number = number;
	occurrence->steps_left = job_spec->step_count;
	occurrence->tasks = talloc_zero_array(occurrence, struct rj_cell_task,
					      job_spec->task_count);
	occurrence->left =
		talloc_array(occurrence, uint32_t, job_spec->step_count);
	assert(occurrence->tasks && occurrence->left);
	task = occurrence->tasks;
	for (uint32_t i = 0; i < job_spec->step_count; i++) {
		occurrence->left[i] = job_spec->steps[i].task_count;
		for (uint32_t j = 0; j < job_spec->steps[i].task_count; j++) {
			task->occurrence = occurrence;
			task->step = i;
			task->index = j;
			rj_list_init(&task->runs);
			task++;
		}
	}
	rj_list_append(&job->occurrences, &occurrence->link);
	job->occurrences_open++;
	job->tasks_open += job_spec->task_count;
	if (number >= job->occurrences_begun)
		job->occurrences_begun = number + 1;
	return occurrence;
}

/*
 * Frees an occurrence whose tasks are all done and have no runs left.
 */
void rj_cell_occurrence_free(struct rj_cell_occurrence *occurrence)
{
	assert(!occurrence->steps_left);
	occurrence->job->occurrences_open--;
	rj_list_remove(&occurrence->link);
	talloc_free(occurrence);
}

/*
 * When an occurrence is due, in microseconds after its job was accepted.
 */
uint64_t
rj_cell_occurrence_due_after_us(const struct rj_cell_occurrence *occurrence)
{
	const struct rj_cell_job_spec *job_spec = occurrence->job->job_spec;
	uint64_t due_ms = job_spec->first_run_ms +
			  occurrence->number * job_spec->interval_ms;

	if (!job_spec->repeats)
		return 0;
	return (due_ms - MIN(due_ms, job_spec->accepted_ms)) * RJ_US_PER_MS;
}

/*
 * Whether a step may start: all steps that it depends on have completed.
 */
bool rj_cell_occurrence_step_ready(const struct rj_cell_occurrence *occurrence,
				   uint32_t step)
{
	const struct rj_cell_step *wanted =
		&occurrence->job->job_spec->steps[step];

	for (uint32_t i = 0; i < wanted->after_count; i++)
		if (occurrence->left[wanted->after[i]])
			return false;
	return true;
}

/*
 * Records that a worker has started a task at `now_us` (0: not known when), and
 * whether all tasks of the first step of its job have started.
 */
void rj_cell_task_set_begun(struct rj_cell_task *task, uint64_t now_us)
{
	struct rj_cell_job *job = task->occurrence->job;

	if (task->begun)
		return;
	task->begun = true;
	job->any_begun = true;
	if (task->step || task->occurrence->number)
		return;
	job->begun =
		++job->first_tasks_begun == job->job_spec->steps[0].task_count;
	if (job->begun)
		job->begun_us = now_us;
}

/*
 * Marks a task as done; this is final.
 */
void rj_cell_task_complete(struct rj_cell_task *task)
{
	struct rj_cell_occurrence *occurrence = task->occurrence;

	assert(!task->done && occurrence->left[task->step]);
	task->done = true;
	rj_cell_task_set_begun(task, 0);
	occurrence->job->tasks_open--;
	if (!--occurrence->left[task->step])
		occurrence->steps_left--;
}

const struct rj_cell_step *rj_cell_task_step(const struct rj_cell_task *task)
{
	return &task->occurrence->job->job_spec->steps[task->step];
}

/*
 * Returns the task on which failures are counted: the first task of a gang,
 * otherwise the task itself.
 */
struct rj_cell_task *rj_cell_task_head(struct rj_cell_task *task)
{
	return rj_cell_task_step(task)->gang ? task - task->index : task;
}

/*
 * Whether a member of the gang has failed in the run with this number, and the
 * gang's failures include it.
 */
bool rj_cell_task_has_failed_in(const struct rj_cell_task *head,
				uint32_t number)
{
	for (uint32_t i = 0; i < head->failed_run_count; i++)
		if (head->failed_runs[i] == number)
			return true;
	return false;
}

/*
 * Records that a run of a task, or of the gang of which it is the head, has
 * failed. Returns whether this is a further failure: members of a gang that
 * fail in the same run are one failure of the gang.
 */
bool rj_cell_task_add_failed_run(struct rj_cell_task *head, uint32_t number)
{
	if (!rj_cell_task_step(head)->gang)
		return true;
	if (rj_cell_task_has_failed_in(head, number))
		return false;
	if (head->failed_run_count == RJ_CELL_FAILED_RUNS_MAX) {
		head->failed_run_count--;
		memmove(head->failed_runs, head->failed_runs + 1,
			head->failed_run_count * sizeof(*head->failed_runs));
	}
	head->failed_runs =
		talloc_realloc(head->occurrence, head->failed_runs, uint32_t,
			       head->failed_run_count + 1);
	assert(head->failed_runs);
	head->failed_runs[head->failed_run_count++] = number;
	return true;
}

/*
 * Formats the name under which workers report a task: job, occurrence, step and
 * index.
 */
void rj_cell_task_name(const struct rj_cell_task *task, char *name, size_t size)
{
	(void)g_snprintf(name, size, "%s.%u.%u.%u",
			 task->occurrence->job->job_spec->id,
			 task->occurrence->number, task->step, task->index);
}

/*
 * Returns a task by its numbers, or NULL if its occurrence is not active.
 */
struct rj_cell_task *rj_cell_job_find_task(struct rj_cell_job *job,
					   uint32_t occurrence, uint32_t step,
					   uint32_t index)
{
	struct rj_list *at;
	struct rj_list *next;

	if (step >= job->job_spec->step_count ||
	    index >= job->job_spec->steps[step].task_count)
		return NULL;
	RJ_FOR_EACH (at, next, &job->occurrences) {
		struct rj_cell_occurrence *candidate =
			RJ_CONTAINER(at, struct rj_cell_occurrence, link);

		if (candidate->number == occurrence)
			return &candidate->tasks[rj_cell_job_spec_first_task(
							 job->job_spec, step) +
						 index];
	}
	return NULL;
}

/*
 * Sets the checkpoint from which the next run of a task starts; NULL or "" for
 * none.
 */
void rj_cell_task_set_checkpoint(struct rj_cell_task *task,
				 const char *checkpoint)
{
	TALLOC_FREE(task->checkpoint);
	if (checkpoint && checkpoint[0])
		task->checkpoint = talloc_strdup(task->occurrence, checkpoint);
}

/*
 * Creates a run of a task and allocates its resources on the worker.
 */
struct rj_cell_run *rj_cell_run_new(struct rj_cell_worker *worker,
				    struct rj_cell_task *task, uint32_t number)
{
	struct rj_cell_run *run = talloc_zero(NULL, struct rj_cell_run);
	char name[RJ_NAME_BYTES * 2];

	assert(run);
	run->worker = worker;
	run->task = task;
	run->number = number;
	run->allocated = rj_cell_step_allocation(rj_cell_task_step(task));
	rj_cell_task_name(task, name, sizeof(name));
	run->name = talloc_strdup(run, name);
	run->checkpoint = talloc_strdup(run, task->checkpoint);
	rj_list_append(&task->runs, &run->in_task);
	rj_cell_run_allocate(run);
	return run;
}

/*
 * Whether the run's step has a latency target; other runs on the same worker
 * may slow such a run down.
 */
bool rj_cell_run_has_latency_target(const struct rj_cell_run *run)
{
	return run->task && rj_cell_task_step(run->task)->target_ms;
}

/* The worker's allocation in this run's priority class. The job must be
 * known. */
static struct rj_cell_demand *class_allocation(const struct rj_cell_run *run)
{
	uint32_t class = rj_cell_job_priority_class(run->task->occurrence->job);

	return &run->worker->allocated_by_class[class];
}

/* The worker's counter of runs of this kind. */
static uint32_t *run_counter(const struct rj_cell_run *run)
{
	return rj_cell_run_has_latency_target(run) ?
		       &run->worker->latency_runs :
		       &run->worker->other_runs;
}

/*
 * Schedules the run's next order, a start or a stop depending on its state, for
 * `due_us`.
 */
void rj_cell_run_schedule_order(struct rj_cell_run *run, uint64_t due_us)
{
	struct rj_cell_worker *worker = run->worker;

	run->order_due_us = due_us;
	if (worker->in_order_queue.next == &worker->in_order_queue)
		rj_list_append(&worker->fleet->order_queue,
			       &worker->in_order_queue);
}

/* Adds the resources of a run to the allocation of its job, which must be
 * known. */
static void add_to_job(const struct rj_cell_run *run)
{
	struct rj_cell_allocation *allocated =
		&run->task->occurrence->job->allocated;

	allocated->cpu_milli += run->allocated.cpu_milli;
	allocated->memory_mb += run->allocated.memory_mb;
	allocated->accelerators += run->allocated.accelerators;
}

/* Undoes add_to_job. */
static void subtract_from_job(const struct rj_cell_run *run)
{
	struct rj_cell_allocation *allocated =
		&run->task->occurrence->job->allocated;

	allocated->cpu_milli -= run->allocated.cpu_milli;
	allocated->memory_mb -= run->allocated.memory_mb;
	allocated->accelerators -= run->allocated.accelerators;
}

/* Hash of a run in the index. */
static guint hash_run(gconstpointer key)
{
	const struct rj_cell_run *run = key;

	return g_direct_hash(run->worker) ^ run->number ^
	       (run->name ? g_str_hash(run->name) : 0);
}

static gboolean is_same_run(gconstpointer key, gconstpointer other_key)
{
	const struct rj_cell_run *run = key;
	const struct rj_cell_run *other = other_key;

	return run->number == other->number && run->worker == other->worker &&
	       !g_strcmp0(run->name, other->name);
}

/*
 * Creates the index of the runs of a fleet, by worker, name and number. Finding
 * a run takes the same time however many runs a worker has.
 */
GHashTable *rj_cell_run_index_new(void)
{
	return g_hash_table_new(hash_run, is_same_run);
}

/*
 * Finds the run of a worker by name and number; NULL if there is none.
 */
struct rj_cell_run *rj_cell_run_find(const struct rj_cell_worker *worker,
				     const char *name, uint32_t number)
{
	const struct rj_cell_run key = {
		.worker = (struct rj_cell_worker *)worker,
		.name = (char *)name,
		.number = number,
	};

	return g_hash_table_lookup(worker->fleet->runs, &key);
}

/*
 * Links a run to its worker and adds its resources to the allocations of the
 * worker and of its job.
 */
void rj_cell_run_allocate(struct rj_cell_run *run)
{
	struct rj_cell_worker *worker = run->worker;

	rj_list_append(&worker->runs, &run->in_worker);
	g_hash_table_add(worker->fleet->runs, run);
	rj_cell_demand_add(&worker->allocated, &run->allocated);
	(*run_counter(run))++;
	if (run->task) {
		rj_cell_demand_add(class_allocation(run), &run->allocated);
		add_to_job(run);
	}
	if (worker->poll_state != RJ_CELL_POLL_STATE_BUSY)
		rj_cell_worker_set_poll_state(worker, RJ_CELL_POLL_STATE_BUSY);
}

/*
 * Unlinks a run, releases its resources on the worker, and frees it.
 */
void rj_cell_run_free(struct rj_cell_run *run)
{
	struct rj_cell_worker *worker = run->worker;

	rj_cell_demand_subtract(&worker->allocated, &run->allocated);
	(*run_counter(run))--;
	if (run->task) {
		rj_cell_demand_subtract(class_allocation(run), &run->allocated);
		subtract_from_job(run);
	}
	if (g_hash_table_lookup(worker->fleet->runs, run) == run)
		g_hash_table_remove(worker->fleet->runs, run);
	rj_list_remove(&run->in_worker);
	rj_list_remove(&run->in_task);
	talloc_free(run);
}

/*
 * Calls `call` for each run of a job; `call` may free that run.
 */
void rj_cell_job_each_run(const struct rj_cell_job *job,
			  void (*call)(struct rj_cell_run *run,
				       void *private_data),
			  void *private_data)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &job->occurrences) {
		struct rj_cell_occurrence *occurrence =
			RJ_CONTAINER(at, struct rj_cell_occurrence, link);

		for (uint32_t i = 0; i < job->job_spec->task_count; i++) {
			struct rj_list *run_at;
			struct rj_list *run_next;

			RJ_FOR_EACH (run_at, run_next,
				     &occurrence->tasks[i].runs)
				call(RJ_CONTAINER(run_at, struct rj_cell_run,
						  in_task),
				     private_data);
		}
	}
}

static void set_busy(struct rj_cell_run *run, void *private_data)
{
	*(bool *)private_data = true;
}

/*
 * Whether the job has no runs, including runs that are being stopped.
 */
bool rj_cell_job_is_idle(const struct rj_cell_job *job)
{
	bool busy = false;

	rj_cell_job_each_run(job, set_busy, &busy);
	return !busy;
}
