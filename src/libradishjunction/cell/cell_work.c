#include "private/cell_work.h"

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
	[RJ_CELL_RUN_SEEN] = "seen",
	[RJ_CELL_RUN_STOPPING] = "stopping",
};

/* A run ends with the work that it belongs to. */
static void drop_run(struct rj_cell_run *run, void *unused)
{
	rj_cell_run_free(run);
}

static int work_destructor(struct rj_cell_work *work)
{
	rj_cell_work_each_run(work, drop_run, NULL);
	rj_list_remove(&work->link);
	rj_list_remove(&work->in_dirty);
	return 0;
}

/*
 * The work of one job, with no occurrence begun; a talloc child of `mem`.
 */
struct rj_cell_work *rj_cell_work_new(void *mem, const struct rj_cell_def *def)
{
	struct rj_cell_work *work = talloc_zero(mem, struct rj_cell_work);

	assert(work);
	work->def = def;
	rj_list_init(&work->link);
	rj_list_init(&work->in_dirty);
	rj_list_init(&work->rounds);
	talloc_set_destructor(work, work_destructor);
	return work;
}

/*
 * The place of a job among the priorities that are counted apart.
 */
uint32_t rj_cell_work_class(const struct rj_cell_work *work)
{
	return MIN(work->def->priority, RJ_CELL_PRIORITIES - 1);
}

/*
 * Begin an occurrence: all its tasks wait.
 */
struct rj_cell_round *rj_cell_work_begin_round(struct rj_cell_work *work,
					       uint32_t number)
{
	const struct rj_cell_def *def = work->def;
	struct rj_cell_round *round = talloc_zero(work, struct rj_cell_round);
	struct rj_cell_task *task;

	assert(round);
	round->work = work;
	round->number = number;
	round->steps_left = def->step_count;
	round->tasks =
		talloc_zero_array(round, struct rj_cell_task, def->task_count);
	round->left = talloc_array(round, uint32_t, def->step_count);
	assert(round->tasks && round->left);
	task = round->tasks;
	for (uint32_t i = 0; i < def->step_count; i++) {
		round->left[i] = def->steps[i].task_count;
		for (uint32_t j = 0; j < def->steps[i].task_count; j++) {
			task->round = round;
			task->step = i;
			task->index = j;
			rj_list_init(&task->runs);
			task++;
		}
	}
	rj_list_append(&work->rounds, &round->link);
	if (number >= work->rounds_begun)
		work->rounds_begun = number + 1;
	return round;
}

/*
 * How long after its job was accepted an occurrence is due, in microseconds.
 */
uint64_t rj_cell_round_due_after_us(const struct rj_cell_round *round)
{
	const struct rj_cell_def *def = round->work->def;
	uint64_t due_ms = def->first_run_ms + round->number * def->interval_ms;

	if (!def->repeats)
		return 0;
	return (due_ms - MIN(due_ms, def->accepted_ms)) * RJ_US_PER_MS;
}

/*
 * Whether the turn of a step has come: all steps before it have ended.
 */
bool rj_cell_round_ready(const struct rj_cell_round *round, uint32_t step)
{
	const struct rj_cell_step *wanted = &round->work->def->steps[step];

	for (uint32_t i = 0; i < wanted->after_count; i++)
		if (round->left[wanted->after[i]])
			return false;
	return true;
}

/*
 * A task has ended well, for good.
 */
void rj_cell_round_task_done(struct rj_cell_task *task)
{
	struct rj_cell_round *round = task->round;

	assert(!task->done && round->left[task->step]);
	task->done = true;
	if (!--round->left[task->step])
		round->steps_left--;
}

/*
 * The step that a task belongs to.
 */
const struct rj_cell_step *rj_cell_task_step(const struct rj_cell_task *task)
{
	return &task->round->work->def->steps[task->step];
}

/*
 * The task that stands for `task` where failures are counted: of a gang, its
 * first member.
 */
struct rj_cell_task *rj_cell_task_head(struct rj_cell_task *task)
{
	return rj_cell_task_step(task)->gang ? task - task->index : task;
}

/*
 * How workers list a task: job, occurrence, step and index.
 */
void rj_cell_task_name(const struct rj_cell_task *task, char *name, size_t size)
{
	(void)g_snprintf(name, size, "%s.%u.%u.%u", task->round->work->def->id,
			 task->round->number, task->step, task->index);
}

/*
 * A task by its numbers, or NULL when its occurrence is not under way.
 */
struct rj_cell_task *rj_cell_work_find(struct rj_cell_work *work,
				       uint32_t round, uint32_t step,
				       uint32_t index)
{
	struct rj_list *at;
	struct rj_list *next;

	if (step >= work->def->step_count ||
	    index >= work->def->steps[step].task_count)
		return NULL;
	RJ_FOR_EACH (at, next, &work->rounds) {
		struct rj_cell_round *candidate =
			RJ_CONTAINER(at, struct rj_cell_round, link);

		if (candidate->number == round)
			return &candidate->tasks[rj_cell_def_first_task(
							 work->def, step) +
						 index];
	}
	return NULL;
}

/*
 * Note a run of a task on a worker; its room is taken from now on.
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
	run->held = rj_cell_step_allocation(rj_cell_task_step(task));
	rj_cell_task_name(task, name, sizeof(name));
	run->name = talloc_strdup(run, name);
	memcpy(run->checkpoint, task->checkpoint, sizeof(run->checkpoint));
	rj_list_append(&task->runs, &run->in_task);
	rj_cell_run_hold(run);
	return run;
}

/*
 * Whether a run serves users of its own within a bound of its step; what
 * fills the room beside it may slow it down.
 */
bool rj_cell_run_serves(const struct rj_cell_run *run)
{
	return run->task && rj_cell_task_step(run->task)->target_ms;
}

/* The worker's sum over runs of this run's priority; its job is known. */
static struct rj_cell_demand *held_by(const struct rj_cell_run *run)
{
	uint32_t class = rj_cell_work_class(run->task->round->work);

	return &run->worker->held_by[class];
}

/* The worker's count of runs of this kind. */
static uint32_t *count_of(const struct rj_cell_run *run)
{
	return rj_cell_run_serves(run) ? &run->worker->serving :
					 &run->worker->filling;
}

/*
 * The next order of a run, a start or a stop by its state, is to be sent at
 * `due_us`.
 */
void rj_cell_run_order(struct rj_cell_run *run, uint64_t due_us)
{
	struct rj_cell_worker *worker = run->worker;

	run->order_due_us = due_us;
	if (worker->in_ordered.next == &worker->in_ordered)
		rj_list_append(&worker->fleet->ordered, &worker->in_ordered);
}

/*
 * Count a run at its worker: it takes room there, and is looked after.
 */
void rj_cell_run_hold(struct rj_cell_run *run)
{
	struct rj_cell_worker *worker = run->worker;

	rj_list_append(&worker->runs, &run->in_worker);
	rj_cell_demand_add(&worker->held, &run->held);
	(*count_of(run))++;
	if (run->task)
		rj_cell_demand_add(held_by(run), &run->held);
	if (worker->watch != RJ_CELL_WATCH_BUSY)
		rj_cell_worker_watch(worker, RJ_CELL_WATCH_BUSY);
}

/*
 * The run is no more: its room is free.
 */
void rj_cell_run_free(struct rj_cell_run *run)
{
	struct rj_cell_worker *worker = run->worker;

	rj_cell_demand_subtract(&worker->held, &run->held);
	(*count_of(run))--;
	if (run->task)
		rj_cell_demand_subtract(held_by(run), &run->held);
	rj_list_remove(&run->in_worker);
	rj_list_remove(&run->in_task);
	talloc_free(run);
}

/*
 * Call `call` with each run of a job; it may free that run.
 */
void rj_cell_work_each_run(const struct rj_cell_work *work,
			   void (*call)(struct rj_cell_run *run,
					void *private_data),
			   void *private_data)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &work->rounds) {
		struct rj_cell_round *round =
			RJ_CONTAINER(at, struct rj_cell_round, link);

		for (uint32_t i = 0; i < work->def->task_count; i++) {
			struct rj_list *run_at;
			struct rj_list *run_next;

			RJ_FOR_EACH (run_at, run_next, &round->tasks[i].runs)
				call(RJ_CONTAINER(run_at, struct rj_cell_run,
						  in_task),
				     private_data);
		}
	}
}

/* There is a run. */
static void note_busy(struct rj_cell_run *run, void *private_data)
{
	*(bool *)private_data = true;
}

/*
 * Whether nothing of the job runs or is being stopped.
 */
bool rj_cell_work_idle(const struct rj_cell_work *work)
{
	bool busy = false;

	rj_cell_work_each_run(work, note_busy, &busy);
	return !busy;
}
