#include "private/cell_starts.h"

#include <talloc.h>

#include "private/cell_admission_forecast.h"
#include "private/cell_reachability.h"
#include "private/log_event.h"

/* Whether a member of a gang that prefers one rack starts in another rack than
 * the gang's first member. */
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

/* Records a planned start as a run; the order is sent once the intent is
 * stored. */
static void begin_run(struct rj_cell_owner *owner,
		      const struct rj_cell_planned_start *choice)
{
	struct rj_cell_task *task = choice->task;
	struct rj_cell_job *job = task->occurrence->job;
	struct rj_cell_run *run =
		rj_cell_run_new(choice->worker, task, task->run + 1);
	struct rj_cell_guarantee guarantee = rj_cell_guarantees_get(
		&owner->guarantees, job->job_spec->account);

	task->run = run->number;
	run->backfilled = choice->backfills;
	owner->counters.backfills += choice->backfills;
	run->incarnation = rj_cell_worker_expected_incarnation(choice->worker);
	run->ticket = talloc_strdup(
		run, rj_cell_advice_ticket(task->occurrence, task->step,
					   choice->worker, owner->now_us));
	if (!job->started) {
		rj_latency_add(&owner->counters.first_start_waits
					[rj_cell_job_priority_class(job)],
			       owner->now_us - job->accepted_us);
		rj_cell_admission_forecast_observe_start(owner, job);
	}
	job->started = true;
	if (!job->first_start_us)
		job->first_start_us = owner->now_us;
	job->split |= is_split(task, choice->worker);
	if (job->state == RJ_CELL_JOB_QUEUED)
		job->state = RJ_CELL_JOB_RUNNING;
	rj_cell_owner_mark_dirty(owner, job);
	rj_log_event(
		"place", RJ_LOG_TEXT("task", run->name),
		RJ_LOG_NUMBER("run", run->number),
		RJ_LOG_TEXT("worker", choice->worker->id),
		RJ_LOG_AGE_MS("heard_ms",
			      owner->now_us - choice->worker->answered_us),
		RJ_LOG_AGE_MS("waited_ms", owner->now_us - task->waiting_us),
		RJ_LOG_AGE_MS("age_ms", owner->now_us - job->accepted_us),
		RJ_LOG_NUMBER("backfill", run->backfilled),
		RJ_LOG_NUMBER("guaranteed", job->guaranteed),
		RJ_LOG_NUMBER("needed", guarantee.needed),
		RJ_LOG_NUMBER("held", guarantee.held),
		RJ_LOG_NUMBER("limit", guarantee.limit),
		RJ_LOG_NUMBER("config", owner->guarantees.config_version),
		RJ_LOG_NUMBER("pace_percent",
			      rj_cell_pace_percent(&choice->worker->pace)),
		RJ_LOG_NUMBER(
			"pace_known_percent",
			rj_cell_pace_known_percent(&choice->worker->pace)),
		RJ_LOG_NUMBER("rank", rj_cell_plan_worker_rank(
					      choice->worker->plan_worker,
					      rj_cell_task_step(task))));
}

/* Gives all members of a gang the same run number. */
static void align_gang_run_numbers(const struct rj_cell_plan *plan)
{
	for (guint i = 0; i < plan->starts->len; i++) {
		struct rj_cell_task *task =
			g_array_index(plan->starts,
				      struct rj_cell_planned_start, i)
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

/* Number of starts from `first` on that belong together: a whole gang, or
 * one. */
static guint group_length(const GArray *starts, guint first)
{
	const struct rj_cell_task *task =
		g_array_index(starts, struct rj_cell_planned_start, first).task;
	const struct rj_cell_step *step = rj_cell_task_step(task);

	return step->gang ? step->task_count : 1;
}

/* Whether the workers of all these starts are confirmed to be reachable. Probes
 * those that are not. */
static bool are_reachable(struct rj_cell_owner *owner, const GArray *starts,
			  guint first, guint count)
{
	bool reachable = true;

	for (guint i = first; i < first + count; i++) {
		struct rj_cell_worker *worker =
			g_array_index(starts, struct rj_cell_planned_start, i)
				.worker;

		if (rj_cell_reachability_confirmed(owner, worker))
			continue;
		rj_cell_reachability_probe(owner, worker);
		reachable = false;
	}
	return reachable;
}

/*
 * Begins the starts of a plan whose workers are reachable. The others, a gang
 * as a whole, are planned again once their probes have ended.
 */
void rj_cell_starts_begin(struct rj_cell_owner *owner,
			  const struct rj_cell_plan *plan)
{
	guint count;

	align_gang_run_numbers(plan);
	for (guint i = 0; i < plan->starts->len; i += count) {
		count = group_length(plan->starts, i);
		if (!are_reachable(owner, plan->starts, i, count))
			continue;
		for (guint j = i; j < i + count; j++)
			begin_run(owner,
				  &g_array_index(plan->starts,
						 struct rj_cell_planned_start,
						 j));
	}
}
