#include "private/cell_starts.h"

#include <talloc.h>

#include "private/cell_reach.h"
#include "private/log_event.h"

/* Whether a member of a gang that had better be in one rack starts in another
 * rack than the first. */
static bool is_split(const struct rj_cell_task *task,
		     const struct rj_cell_worker *worker)
{
	const struct rj_cell_step *step = rj_cell_task_step(task);
	const struct rj_list *first = task[-(ptrdiff_t)task->index].runs.next;

	if (!step->gang || !step->one_rack || !task->index)
		return false;
	return RJ_CONTAINER(first, struct rj_cell_run, in_task)->worker->rack !=
	       worker->rack;
}

/* Note a decided start; it goes out once that is stored. */
static void begin_run(struct rj_cell_owner *owner,
		      const struct rj_cell_choice *choice)
{
	struct rj_cell_task *task = choice->task;
	struct rj_cell_work *work = task->round->work;
	struct rj_cell_run *run =
		rj_cell_run_new(choice->worker, task, task->run + 1);

	task->run = run->number;
	run->ticket = talloc_strdup(
		run, rj_cell_advice_ticket(task->round, task->step,
					   choice->worker, owner->now_us));
	if (!work->started)
		rj_latency_add(&owner->counters.waits[rj_cell_work_class(work)],
			       owner->now_us - work->accepted_us);
	work->started = true;
	if (!work->began_us)
		work->began_us = owner->now_us;
	work->split |= is_split(task, choice->worker);
	if (work->state == RJ_CELL_JOB_QUEUED)
		work->state = RJ_CELL_JOB_RUNNING;
	rj_cell_owner_dirty(owner, work);
	rj_log_event(
		"place", RJ_LOG_TEXT("task", run->name),
		RJ_LOG_NUMBER("run", run->number),
		RJ_LOG_TEXT("worker", choice->worker->id),
		RJ_LOG_AGE_MS("heard_ms",
			      owner->now_us - choice->worker->answered_us),
		RJ_LOG_AGE_MS("waited_ms", owner->now_us - task->waiting_us));
}

/* The members of a gang start under one number. */
static void level_gang_runs(const struct rj_cell_plan *plan)
{
	for (guint i = 0; i < plan->starts->len; i++) {
		struct rj_cell_task *task =
			g_array_index(plan->starts, struct rj_cell_choice, i)
				.task;
		const struct rj_cell_step *step = rj_cell_task_step(task);
		struct rj_cell_task *head = task - task->index;
		uint32_t highest = 0;

		if (!step->gang || task->index)
			continue;
		for (uint32_t j = 0; j < step->task_count; j++)
			highest = MAX(highest, head[j].run);
		for (uint32_t j = 0; j < step->task_count; j++)
			head[j].run = highest;
	}
}

/* How many starts from `first` on belong together: a whole gang, or one. */
static guint group_length(const GArray *starts, guint first)
{
	const struct rj_cell_task *task =
		g_array_index(starts, struct rj_cell_choice, first).task;
	const struct rj_cell_step *step = rj_cell_task_step(task);

	return step->gang ? step->task_count : 1;
}

/* Whether all workers of some starts are proven to be reachable; those that
 * are not are probed. */
static bool are_proven(struct rj_cell_owner *owner, const GArray *starts,
		       guint first, guint count)
{
	bool proven = true;

	for (guint i = first; i < first + count; i++) {
		struct rj_cell_worker *worker =
			g_array_index(starts, struct rj_cell_choice, i).worker;

		if (rj_cell_reach_proven(owner, worker))
			continue;
		rj_cell_reach_probe(owner, worker);
		proven = false;
	}
	return proven;
}

/*
 * Begin the starts of a plan whose workers can be reached. The others are
 * planned anew once their probes have ended, a gang as a whole.
 */
void rj_cell_starts_begin(struct rj_cell_owner *owner,
			  const struct rj_cell_plan *plan)
{
	guint count;

	level_gang_runs(plan);
	for (guint i = 0; i < plan->starts->len; i += count) {
		count = group_length(plan->starts, i);
		if (!are_proven(owner, plan->starts, i, count))
			continue;
		for (guint j = i; j < i + count; j++)
			begin_run(owner,
				  &g_array_index(plan->starts,
						 struct rj_cell_choice, j));
	}
}
