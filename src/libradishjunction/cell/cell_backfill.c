#include "private/cell_backfill.h"

#include <string.h>

#include "private/cell_release.h"
#include "private/cell_task_groups.h"

/* A task is let in if a promise is due after this multiple of its expected run
 * time: neither that nor the start of the promised group is certain. */
#define MARGIN_FACTOR 2
/* A group that may use idle capacity is let in, whatever its length, if a promise
 * is due after this. Stopping it sooner would throw away its start. */
#define LOAN_MIN_US RJ_US_PER_S
/* Maximum number of groups of a plan that find no capacity so; each search
 * evaluates all workers. */
#define FAILED_SEARCHES_MAX 8
/* A task that has lost this many runs is not let in again, so that it is not
 * started and stopped in turn. */
#define LOSSES_MAX 2

/* Returns when a worker has what is promised there, in microseconds from now, if
 * the runs that were let in beside a promise are left out. */
static uint64_t promise_due_us(struct rj_cell_plan *plan,
			       const struct rj_cell_plan_worker *plan_worker)
{
	const struct rj_cell_releases *releases =
		rj_cell_releases_get(plan, plan_worker);
	struct rj_cell_demand available = plan_worker->free_after_stops;
	uint64_t due_us = 0;

	for (uint32_t i = 0; i < releases->count; i++)
		if (releases->by_time[i].run->backfilled)
			rj_cell_demand_add(
				&available,
				&releases->by_time[i].run->allocated);
	for (uint32_t i = 0;
	     i < releases->count &&
	     !rj_cell_demand_fits(&plan_worker->promised, &available);
	     i++) {
		const struct rj_cell_release *release = &releases->by_time[i];

		if (release->run->backfilled || release->run->reason)
			continue;
		rj_cell_demand_add(&available, &release->run->allocated);
		due_us = release->remaining_us;
	}
	return due_us;
}

/*
 * Sets until when the free capacity on the workers of a promise may be used by
 * other tasks. Returns the time until the promise is due, in microseconds;
 * RJ_NEVER_US if it is not known.
 */
uint64_t rj_cell_backfill_hold(struct rj_cell_plan *plan,
			       const struct rj_cell_placement *placement)
{
	uint64_t due_us = 0;
	uint64_t until_us;

	for (guint i = 0; i < placement->workers->len; i++) {
		const struct rj_cell_worker *worker =
			placement->workers->pdata[i];

		due_us = MAX(due_us, promise_due_us(plan, worker->plan_worker));
	}
	if (due_us == RJ_NEVER_US)
		return due_us;
	until_us = plan->now_us + due_us;
	for (guint i = 0; i < placement->workers->len; i++) {
		const struct rj_cell_worker *worker =
			placement->workers->pdata[i];
		struct rj_cell_plan_worker *plan_worker = worker->plan_worker;

		if (!plan_worker->held_until_us ||
		    until_us < plan_worker->held_until_us)
			plan_worker->held_until_us = until_us;
	}
	plan->held_longest_us = MAX(plan->held_longest_us, due_us);
	return due_us;
}

/*
 * Whether a run was let in beside a promise and may be stopped for a group: it
 * loses no more than the work of the group.
 */
bool rj_cell_backfill_may_recall(const struct rj_cell_plan *plan,
				 const struct rj_cell_release *release,
				 const struct rj_cell_task_group *group)
{
	const struct rj_cell_run *run = release->run;
	const struct rj_cell_job *job;

	if (!run->backfilled || !run->task || run->reason || run->victim)
		return false;
	job = run->task->occurrence->job;
	return !job->guaranteed &&
	       job->job_spec->priority >= group->job->job_spec->priority &&
	       release->loss_milli <=
		       rj_cell_reclaim_group_cost_milli(plan, group,
							group->waiting_tasks);
}

/* Adds to `runs` those that have to end for a worker to have what is promised
 * there, the ones with the least loss first. Returns whether they are enough. */
static bool collect_recalled(struct rj_cell_plan *plan,
			     const struct rj_cell_plan_worker *plan_worker,
			     const struct rj_cell_task_group *group,
			     GPtrArray *runs)
{
	const struct rj_cell_releases *releases =
		rj_cell_releases_get(plan, plan_worker);
	struct rj_cell_demand available = plan_worker->free_after_stops;

	for (uint32_t i = 0;
	     i < releases->count &&
	     !rj_cell_demand_fits(&plan_worker->promised, &available);
	     i++) {
		const struct rj_cell_release *release = &releases->by_loss[i];

		if (!rj_cell_backfill_may_recall(plan, release, group))
			continue;
		rj_cell_demand_add(&available, &release->run->allocated);
		g_ptr_array_add(runs, release->run);
	}
	return rj_cell_demand_fits(&plan_worker->promised, &available);
}

/* Adds a run to the plan's stops, and what it frees to its worker. */
static void recall(struct rj_cell_plan *plan, struct rj_cell_run *run,
		   const struct rj_cell_task_group *group)
{
	struct rj_cell_plan_worker *plan_worker = run->worker->plan_worker;

	/* A worker is listed once for each task that it is promised to. */
	if (run->reason)
		return;
	rj_cell_plan_stop_run(plan, run, RJ_CELL_WHY_RECALLED, group->job);
	rj_cell_plan_release_run(plan, run);
	rj_cell_demand_add(&plan_worker->free_after_stops, &run->allocated);
	rj_cell_plan_raise_bounds(plan, plan_worker);
}

/*
 * Stops runs that were let in beside a promise which is due, if they are all that
 * its group waits for.
 *
 * Guards against a gang that waits for tasks whose estimates are far too low.
 */
void rj_cell_backfill_recall(struct rj_cell_plan *plan,
			     const struct rj_cell_placement *placement,
			     const struct rj_cell_task_group *group)
{
	GPtrArray *runs = g_ptr_array_new();
	bool enough = true;

	for (guint i = 0; enough && i < placement->workers->len; i++) {
		const struct rj_cell_worker *worker =
			placement->workers->pdata[i];

		enough = collect_recalled(plan, worker->plan_worker, group,
					  runs);
	}
	for (guint i = 0; enough && i < runs->len; i++)
		recall(plan, runs->pdata[i], group);
	g_ptr_array_free(runs, TRUE);
}

/*
 * Whether a task may be let in beside a promise.
 */
bool rj_cell_backfill_may_start(const struct rj_cell_task *task)
{
	return task->losses < LOSSES_MAX;
}

/*
 * Returns how long capacity has to be free of promises for a group's tasks to
 * start there, in microseconds; 0 if they cannot, as no promise is that far off.
 * If their run time is not known or too long for it, they can only if they may
 * use idle capacity and no urgent group has a promise: those have no time to wait
 * for a stop.
 *
 * Guards against capacity that stays idle for a gang while tasks wait which all
 * take as long as the runs that it waits for.
 */
uint64_t rj_cell_backfill_needs_us(const struct rj_cell_plan *plan,
				   const struct rj_cell_task_group *group)
{
	const struct rj_cell_job_spec *spec = group->job->job_spec;
	const struct rj_cell_step *step = &spec->steps[group->step];
	uint64_t task_ms =
		MAX(rj_cell_forecast_task_ms(plan->forecast, spec, group->step),
		    step->estimate_ms);
	uint64_t needs_us = task_ms * RJ_US_PER_MS * MARGIN_FACTOR;

	if (!plan->urgent_promise_count &&
	    rj_cell_task_group_may_use_idle(plan, group) &&
	    (!needs_us || needs_us > LOAN_MIN_US))
		needs_us = LOAN_MIN_US;
	if (step->perpetual || needs_us > plan->held_longest_us ||
	    plan->failed_backfills >= FAILED_SEARCHES_MAX)
		return 0;
	return needs_us;
}

/*
 * Whether a worker runs the tasks of a step at their usual speed.
 */
bool rj_cell_backfill_is_eligible(const struct rj_cell_plan *plan,
				  const struct rj_cell_worker *worker,
				  const struct rj_cell_step *step)
{
	return !rj_cell_pace_is_slow(&worker->pace) &&
	       plan->now_us >= worker->cold_until_us &&
	       (!step->rack[0] || !strcmp(step->rack, worker->heartbeat.rack));
}

/*
 * Returns the capacity of a worker for tasks that start now: what is free, and
 * with `backfill_us` what is promised for later than that.
 */
struct rj_cell_demand
rj_cell_backfill_available(const struct rj_cell_plan *plan,
			   const struct rj_cell_plan_worker *plan_worker,
			   const struct rj_cell_placement_options *options)
{
	struct rj_cell_demand available = plan_worker->free_now;

	if (options->backfill_us &&
	    plan->now_us + options->backfill_us <= plan_worker->held_until_us)
		rj_cell_demand_add(&available, &plan_worker->held);
	return available;
}

/*
 * Allocates the capacity of a worker to a task that starts now: first what is
 * not promised.
 */
void rj_cell_backfill_take(struct rj_cell_plan_worker *plan_worker,
			   const struct rj_cell_demand *demand)
{
	struct rj_cell_demand rest = *demand;

	rj_cell_demand_subtract(&rest, &plan_worker->free_now);
	rj_cell_demand_subtract(&plan_worker->free_now, demand);
	rj_cell_demand_subtract(&plan_worker->held, &rest);
}
