#include "private/cell_advice.h"
#include "private/cell_backfill.h"
#include "private/cell_candidates.h"
#include "private/cell_place.h"
#include "private/cell_release.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/* Lowest bits of the parts of a placement's cost, see placement_cost. Bits 0 to
 * 31 are the memory left over, in MB. */
#define COST_ACCELERATORS_BIT 32 /* accelerators left over */
#define COST_PACE_BIT 46 /* rj_cell_pace_rank of urgent tasks' workers */
#define COST_RISK_BIT 50 /* see risk_rank */
#define COST_RESERVED_BIT 52 /* see wrong_reservation */
#define COST_HIGHEST_RISK_BIT 53 /* a worker of the highest rank */
#define COST_WARMUP_BIT 54 /* worker is slow after its start */
#define COST_REMOTE_BIT 55 /* away from the task's data */
#define COST_UNPROVEN_BIT 56 /* suspect, or see is_unproven */
#define COST_INTERFERENCE_BIT 57 /* latency-bound runs beside others */

/* Delay of capacity that a recall frees, so that what is free goes first. */
#define RECALL_DELAY_US 1

/* Counts a run of the step being placed in step_runs of its worker. */
static void count_step_run(const struct rj_cell_run *run)
{
	if (run->worker->plan_worker)
		run->worker->plan_worker->step_runs++;
}

/*
 * Sets step_runs of each of the plan's workers to the number of runs of a step
 * there, if the step limits them for each worker.
 *
 * Guards against long plans with steps of hundreds of tasks that are to be kept
 * apart: counted for each task and worker, each task would visit all others.
 */
void rj_cell_place_count_step_runs(struct rj_cell_plan *plan,
				   const struct rj_cell_task_group *group)
{
	const struct rj_cell_job_spec *spec = group->job->job_spec;
	uint32_t first = rj_cell_job_spec_first_task(spec, group->step);

	if (!spec->steps[group->step].per_worker_max)
		return;
	for (uint32_t i = 0; i < plan->worker_count; i++)
		plan->workers[i].step_runs = 0;
	for (guint i = 0; i < plan->starts->len; i++) {
		const struct rj_cell_planned_start *start = &g_array_index(
			plan->starts, struct rj_cell_planned_start, i);

		if (start->task->occurrence == group->occurrence &&
		    start->task->step == group->step)
			start->worker->plan_worker->step_runs++;
	}
	for (uint32_t i = 0; i < spec->steps[group->step].task_count; i++) {
		const struct rj_list *runs =
			&group->occurrence->tasks[first + i].runs;
		const struct rj_list *at;

		for (at = runs->next; at != runs; at = at->next)
			count_step_run(
				RJ_CONTAINER(at, struct rj_cell_run, in_task));
	}
}

/* Whether a worker has the maximum of runs of a step. */
static bool has_max_step_runs(const struct rj_cell_plan_worker *plan_worker,
			      const struct rj_cell_step *step)
{
	return step->per_worker_max &&
	       plan_worker->step_runs >= step->per_worker_max;
}

/* Whether the next run of a task is its last attempt. */
static bool is_last_attempt(struct rj_cell_task *task)
{
	const struct rj_cell_task *head = rj_cell_task_head(task);

	return head->failures && !rj_cell_task_step(task)->perpetual &&
	       head->failures + 1 >=
		       task->occurrence->job->job_spec->attempts_max;
}

/*
 * Whether a task may only run on workers that are known to be healthy: its next
 * run is its last attempt, and several workers have begun to fail.
 */
bool rj_cell_place_needs_healthy(const struct rj_cell_plan *plan,
				 struct rj_cell_task *task)
{
	return is_last_attempt(task) &&
	       rj_cell_failure_requires_healthy(&plan->failures,
						task->waiting_us, plan->now_us);
}

/* Whether a worker is too likely to fail a task on its last attempt, so that it
 * is rejected. rj_cell_place_needs_healthy restricts a task to healthy workers;
 * is_unproven only raises the cost of a worker. */
static bool is_too_risky(const struct rj_cell_plan *plan,
			 const struct rj_cell_worker *worker,
			 struct rj_cell_task *task)
{
	if (!rj_cell_failure_is_burst(&plan->failures, plan->now_us) ||
	    !is_last_attempt(task))
		return false;
	return worker->bad_streak ||
	       (!rj_cell_failure_is_healthy(&plan->failures,
					    worker->healthy_us) &&
		rj_cell_place_needs_healthy(plan, task));
}

/*
 * Whether a worker may run a task, irrespective of free capacity.
 */
bool rj_cell_place_is_eligible(const struct rj_cell_plan *plan,
			       const struct rj_cell_plan_worker *plan_worker,
			       const struct rj_cell_task_group *group,
			       struct rj_cell_task *task,
			       const struct rj_cell_placement_options *options)
{
	const struct rj_cell_step *step = rj_cell_task_step(task);
	const struct rj_cell_worker *worker = plan_worker->worker;

	if (options->domain && worker->domain != options->domain)
		return false;
	if (options->avoid_slow && rj_cell_pace_is_slow(&worker->pace))
		return false;
	if (options->avoid_risky && plan_worker->risky)
		return false;
	if ((plan_worker->reserved && !group->may_use_reserved) ||
	    (plan_worker->exclusive && !group->may_use_exclusive))
		return false;
	if (plan_worker->suspect && !group->may_use_suspect)
		return false;
	if (worker->service != group->service)
		return false;
	if (!rj_cell_worker_has_label(worker, step->label))
		return false;
	if (step->rack[0] && !group->remote_allowed &&
	    strcmp(step->rack, worker->heartbeat.rack) != 0)
		return false;
	if (plan->now_us < task->avoid_until_us &&
	    !strcmp(task->avoid, worker->id))
		return false;
	if (group->advised &&
	    !rj_cell_advice_ticket(task->occurrence, task->step, worker,
				   plan->now_us))
		return false;
	if (is_too_risky(plan, worker, task))
		return false;
	if (!step->target_ms && plan->now_us < worker->exclusive_until_us)
		return false;
	if (options->backfill_us &&
	    !rj_cell_backfill_is_eligible(plan, worker, step))
		return false;
	return !has_max_step_runs(plan_worker, step);
}

/* Returns the bounds of the free capacity of a range, or NULL where preemption
 * or completions may free more. */
static const struct rj_cell_free_bounds *
free_bounds(const struct rj_cell_worker_range *range,
	    const struct rj_cell_placement_options *options)
{
	if (options->may_preempt ||
	    options->horizon == RJ_CELL_HORIZON_COMPLETIONS)
		return NULL;
	return options->horizon == RJ_CELL_HORIZON_NOW ?
		       &range->free_now :
		       &range->free_after_stops;
}

/* Whether the options and the bounds of a range's free capacity permit one task
 * of this demand in it. */
static bool may_fit_task(const struct rj_cell_worker_range *range,
			 const struct rj_cell_placement_options *options,
			 const struct rj_cell_demand *demand)
{
	const struct rj_cell_free_bounds *available =
		free_bounds(range, options);

	if (options->domain && range->domain &&
	    range->domain != options->domain)
		return false;
	return !available ||
	       rj_cell_demand_fits(demand, &available->max_per_worker);
}

/*
 * Starts an iteration over the workers that options allow, of one rack or all,
 * for tasks that take `demand` each. `options` must outlive it.
 */
void rj_cell_worker_iterator_init(
	struct rj_cell_worker_iterator *iterator, struct rj_cell_plan *plan,
	const struct rj_cell_placement_options *options,
	const struct rj_cell_demand *demand)
{
	memset(iterator, 0, sizeof(*iterator));
	iterator->plan = plan;
	iterator->options = options;
	iterator->demand = *demand;
	iterator->next_range = options->rack ? options->rack->range : 0;
	iterator->range_end =
		options->rack ? iterator->next_range + 1 : plan->ranges->len;
}

/*
 * Returns the next worker in the order of the plan, or NULL at the end.
 */
struct rj_cell_plan_worker *
rj_cell_worker_iterator_next(struct rj_cell_worker_iterator *iterator)
{
	while (iterator->next_worker == iterator->worker_end) {
		const struct rj_cell_worker_range *range;

		if (iterator->next_range >= iterator->range_end)
			return NULL;
		range = &g_array_index(iterator->plan->ranges,
				       struct rj_cell_worker_range,
				       iterator->next_range++);
		if (!may_fit_task(range, iterator->options, &iterator->demand))
			continue;
		iterator->next_worker = iterator->plan->workers + range->first;
		iterator->worker_end = iterator->next_worker + range->count;
		iterator->plan->effort += range->count;
	}
	return iterator->next_worker++;
}

/*
 * Whether the workers that options allow may hold `count` tasks that take
 * `demand` each, by bounds that are cheap to look up.
 *
 * Guards against long plans on a full site with a backlog of gangs, each of
 * which would evaluate all workers for each of its members.
 */
bool rj_cell_place_may_fit(const struct rj_cell_plan *plan,
			   const struct rj_cell_placement_options *options,
			   const struct rj_cell_demand *demand, uint32_t count)
{
	uint64_t wanted = (uint64_t)demand->accelerators * count;
	guint first = options->rack ? options->rack->range : 0;
	guint end = options->rack ? first + 1 : plan->ranges->len;
	uint64_t sum = 0;

	for (guint i = first; i < end; i++) {
		const struct rj_cell_worker_range *range = &g_array_index(
			plan->ranges, struct rj_cell_worker_range, i);
		const struct rj_cell_free_bounds *available =
			free_bounds(range, options);

		if (!available)
			return true;
		if (!may_fit_task(range, options, demand))
			continue;
		sum += available->total_accelerators;
		if (sum >= wanted)
			return true;
	}
	return false;
}

/*
 * Whether a worker may fail a task that should not fail again: a task that has
 * failed before, or a member of a gang while workers begin to fail. During such
 * a burst of early failures a worker is proven once a run that started there
 * after the first of them has not failed early.
 */
static bool is_unproven(const struct rj_cell_plan *plan,
			const struct rj_cell_worker *worker,
			struct rj_cell_task *task)
{
	bool failed_before = rj_cell_task_head(task)->failures;

	if (worker->bad_streak && failed_before)
		return true;
	return (failed_before || rj_cell_task_step(task)->gang) &&
	       rj_cell_failure_is_burst(&plan->failures, plan->now_us) &&
	       !rj_cell_failure_is_healthy(&plan->failures, worker->healthy_us);
}

/* Whether a task loses little with a run: it resumes from a checkpoint, no
 * other tasks end with it, and a failed run is not one of its last attempts. */
static bool loses_little(struct rj_cell_task *task)
{
	const struct rj_cell_step *step = rj_cell_task_step(task);

	return step->checkpoints && !step->gang && !task->failures;
}

/*
 * Returns the rank of a worker for a task by what is at risk there, from 0 to
 * RJ_CELL_HISTORY_RANK_MAX. Tasks that lose little go first to the risky
 * workers, which leaves the others to gangs, but not to those of the highest
 * rank: a worker that fails all it starts always has free capacity.
 */
static uint64_t risk_rank(const struct rj_cell_plan_worker *plan_worker,
			  struct rj_cell_task *task)
{
	uint32_t rank =
		rj_cell_plan_worker_rank(plan_worker, rj_cell_task_step(task));

	if (!loses_little(task) ||
	    plan_worker->gang_rank == RJ_CELL_HISTORY_RANK_MAX)
		return rank;
	return plan_worker->gang_rank ? 0 : 1;
}

/*
 * Returns the cost of placing a task on a worker. Its parts, the least weight
 * first:
 * - memory left over, as large tasks need half a worker;
 * - accelerators left over, so that small tasks fill workers in use and whole
 *   workers stay free for gangs;
 * - urgent tasks go to workers with a fast pace, as a gang ends with its
 *   slowest member;
 * - workers that may lose the run, by their history;
 * - reserved workers are for urgent tasks, the others for all other tasks;
 * - workers that are most likely to lose the run;
 * - workers that are slow after their start;
 * - racks away from the task's data;
 * - workers that may fail the task again: one that fails each run at once
 *   always has free capacity, and would use up the task's attempts;
 * - latency-bound runs and others on one worker slow each other down, so they
 *   share it only if there is no other place.
 */
static uint64_t placement_cost(const struct rj_cell_plan *plan,
			       const struct rj_cell_plan_worker *plan_worker,
			       const struct rj_cell_task_group *group,
			       struct rj_cell_task *task,
			       const struct rj_cell_demand *available)
{
	const struct rj_cell_step *step = rj_cell_task_step(task);
	uint64_t left_over = available->accelerators - step->each.accelerators;
	bool remote = step->rack[0] &&
		      strcmp(step->rack, plan_worker->worker->heartbeat.rack);
	bool unproven = plan_worker->suspect ||
			is_unproven(plan, plan_worker->worker, task);
	bool wrong_reservation =
		plan_worker->reserved != !group->job->job_spec->priority;
	bool warming_up = plan->now_us < plan_worker->worker->cold_until_us;
	bool disturbs = step->target_ms ? plan_worker->other_runs :
					  plan_worker->latency_runs;
	uint64_t pace_rank =
		group->job->job_spec->priority ?
			0 :
			rj_cell_pace_rank(&plan_worker->worker->pace);
	uint64_t risk = risk_rank(plan_worker, task);
	bool highest_risk = risk == RJ_CELL_HISTORY_RANK_MAX;

	return ((uint64_t)disturbs << COST_INTERFERENCE_BIT) |
	       ((uint64_t)unproven << COST_UNPROVEN_BIT) |
	       ((uint64_t)remote << COST_REMOTE_BIT) |
	       ((uint64_t)warming_up << COST_WARMUP_BIT) |
	       ((uint64_t)highest_risk << COST_HIGHEST_RISK_BIT) |
	       ((uint64_t)wrong_reservation << COST_RESERVED_BIT) |
	       (risk << COST_RISK_BIT) | (pace_rank << COST_PACE_BIT) |
	       (left_over << COST_ACCELERATORS_BIT) |
	       (available->memory_mb - step->each.memory_mb);
}

/* Returns the capacity of a worker within the options' horizon, now or once the
 * runs that are being stopped have ended. */
static struct rj_cell_demand
available_on(const struct rj_cell_plan *plan,
	     const struct rj_cell_plan_worker *plan_worker,
	     const struct rj_cell_placement_options *options)
{
	return options->horizon == RJ_CELL_HORIZON_NOW ?
		       rj_cell_backfill_available(plan, plan_worker, options) :
		       plan_worker->free_after_stops;
}

/* Returns the cheapest worker for one task within the options' horizon, or
 * NULL. */
static struct rj_cell_plan_worker *
best_fit(struct rj_cell_plan *plan, const struct rj_cell_task_group *group,
	 struct rj_cell_task *task,
	 const struct rj_cell_placement_options *options)
{
	struct rj_cell_demand demand =
		rj_cell_step_allocation(rj_cell_task_step(task));
	struct rj_cell_plan_worker *best = NULL;
	struct rj_cell_plan_worker *plan_worker;
	struct rj_cell_worker_iterator iterator;
	uint64_t best_cost = 0;

	rj_cell_worker_iterator_init(&iterator, plan, options, &demand);
	while ((plan_worker = rj_cell_worker_iterator_next(&iterator))) {
		struct rj_cell_demand available =
			available_on(plan, plan_worker, options);
		uint64_t cost;

		if (!rj_cell_demand_fits(&demand, &available) ||
		    !rj_cell_place_is_eligible(plan, plan_worker, group, task,
					       options))
			continue;
		cost = placement_cost(plan, plan_worker, group, task,
				      &available);
		if (best && cost >= best_cost)
			continue;
		best = plan_worker;
		best_cost = cost;
	}
	return best;
}

/*
 * Returns the time until a worker has capacity for `demand` of a group beside
 * what is promised there, in microseconds, if nothing else starts on it;
 * RJ_NEVER_US if it never will. Runs that may be recalled for the group count as
 * free, at the least delay.
 */
static uint64_t ready_delay_us(struct rj_cell_plan *plan,
			       const struct rj_cell_plan_worker *plan_worker,
			       const struct rj_cell_task_group *group,
			       const struct rj_cell_demand *demand)
{
	struct rj_cell_demand need = *demand;
	struct rj_cell_demand available = plan_worker->free_after_stops;
	const struct rj_cell_releases *releases;
	uint64_t ready_us = 0;

	rj_cell_demand_add(&need, &plan_worker->promised);
	if (rj_cell_demand_fits(&need, &available))
		return 0;
	if (!rj_cell_demand_fits(&need,
				 &plan_worker->worker->heartbeat.capacity))
		return RJ_NEVER_US;
	releases = rj_cell_releases_get(plan, plan_worker);
	for (uint32_t i = 0; i < releases->count; i++) {
		const struct rj_cell_release *release = &releases->by_time[i];

		if (!rj_cell_backfill_may_recall(plan, release, group))
			continue;
		rj_cell_demand_add(&available, &release->run->allocated);
		ready_us = RECALL_DELAY_US;
	}
	for (uint32_t i = 0;
	     i < releases->count && !rj_cell_demand_fits(&need, &available);
	     i++) {
		const struct rj_cell_release *release = &releases->by_time[i];

		/* The capacity of victims, of runs that are being stopped and
		 * of those that may be recalled is counted as free already. */
		if (release->run->victim || release->run->reason ||
		    rj_cell_backfill_may_recall(plan, release, group))
			continue;
		rj_cell_demand_add(&available, &release->run->allocated);
		ready_us = MAX(ready_us, release->remaining_us);
	}
	return rj_cell_demand_fits(&need, &available) ? ready_us : RJ_NEVER_US;
}

/* Returns the worker that has capacity for one task first, or NULL. */
static struct rj_cell_plan_worker *
earliest_fit(struct rj_cell_plan *plan, struct rj_cell_placement *placement,
	     const struct rj_cell_task_group *group, struct rj_cell_task *task,
	     const struct rj_cell_placement_options *options)
{
	struct rj_cell_demand demand =
		rj_cell_step_allocation(rj_cell_task_step(task));
	struct rj_cell_plan_worker *best = NULL;
	struct rj_cell_plan_worker *plan_worker;
	struct rj_cell_worker_iterator iterator;
	uint64_t best_delay_us = RJ_NEVER_US;

	rj_cell_worker_iterator_init(&iterator, plan, options, &demand);
	while ((plan_worker = rj_cell_worker_iterator_next(&iterator))) {
		uint64_t ready_us;

		if (!rj_cell_place_is_eligible(plan, plan_worker, group, task,
					       options))
			continue;
		ready_us = ready_delay_us(plan, plan_worker, group, &demand);
		if (ready_us >= best_delay_us)
			continue;
		best = plan_worker;
		best_delay_us = ready_us;
	}
	if (best && best_delay_us > placement->ready_us)
		placement->ready_us = best_delay_us;
	return best;
}

/* Allocates capacity to one task; capacity that is not free yet is promised. */
static void allocate(struct rj_cell_plan_worker *plan_worker,
		     const struct rj_cell_step *step,
		     enum rj_cell_horizon horizon)
{
	struct rj_cell_demand demand = rj_cell_step_allocation(step);
	struct rj_cell_demand kept = plan_worker->free_now;

	if (horizon == RJ_CELL_HORIZON_COMPLETIONS) {
		rj_cell_demand_add(&plan_worker->promised, &demand);
		rj_cell_demand_subtract(&plan_worker->free_now, &demand);
		rj_cell_demand_subtract(&kept, &plan_worker->free_now);
		rj_cell_demand_add(&plan_worker->held, &kept);
	} else {
		rj_cell_demand_subtract(&plan_worker->free_after_stops,
					&demand);
		rj_cell_backfill_take(plan_worker, &demand);
	}
	plan_worker->step_runs++;
	if (step->target_ms)
		plan_worker->latency_runs++;
	else
		plan_worker->other_runs++;
}

/*
 * Starts a tentative placement.
 */
void rj_cell_placement_init(struct rj_cell_placement *placement,
			    struct rj_cell_plan *plan)
{
	memset(placement, 0, sizeof(*placement));
	placement->plan = plan;
	placement->changes =
		g_array_new(FALSE, FALSE, sizeof(struct rj_cell_plan_worker));
	placement->workers = g_ptr_array_new();
	placement->victims = g_ptr_array_new();
}

/*
 * Saves a worker that the placement is about to change.
 */
void rj_cell_placement_save_worker(struct rj_cell_placement *placement,
				   struct rj_cell_plan_worker *plan_worker)
{
	g_array_append_val(placement->changes, *plan_worker);
}

/*
 * Frees a placement; what has not been committed is undone.
 */
void rj_cell_placement_finish(struct rj_cell_placement *placement)
{
	for (guint i = placement->changes->len; i > 0; i--) {
		const struct rj_cell_plan_worker *before = &g_array_index(
			placement->changes, struct rj_cell_plan_worker, i - 1);

		*before->worker->plan_worker = *before;
	}
	for (guint i = 0; i < placement->victims->len; i++) {
		struct rj_cell_run *run = placement->victims->pdata[i];

		run->victim = false;
		rj_cell_plan_restore_run(placement->plan, run);
	}
	g_array_free(placement->changes, TRUE);
	g_ptr_array_free(placement->workers, TRUE);
	g_ptr_array_free(placement->victims, TRUE);
}

/*
 * Whether the choice of a worker for a task is the same as for the other tasks
 * of its step or gang: it avoids no worker, and has not failed.
 */
bool rj_cell_place_is_uniform(const struct rj_cell_plan *plan,
			      struct rj_cell_task *task)
{
	return plan->now_us >= task->avoid_until_us &&
	       !rj_cell_task_head(task)->failures;
}

/* Whether the choice of a worker is the same for all tasks of a group. */
static bool are_uniform(const struct rj_cell_plan *plan,
			struct rj_cell_task **tasks, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		if (!rj_cell_place_is_uniform(plan, tasks[i]))
			return false;
	return true;
}

/* Returns the cost of placing one more of a group's uniform tasks on a worker,
 * or RJ_NEVER_US if it can't be placed there. With RJ_CELL_HORIZON_COMPLETIONS
 * the cost is the delay in microseconds. */
static uint64_t candidate_cost(struct rj_cell_plan *plan,
			       struct rj_cell_plan_worker *plan_worker,
			       const struct rj_cell_task_group *group,
			       struct rj_cell_task *task,
			       const struct rj_cell_demand *demand,
			       const struct rj_cell_placement_options *options)
{
	struct rj_cell_demand available =
		available_on(plan, plan_worker, options);

	if (has_max_step_runs(plan_worker, rj_cell_task_step(task)))
		return RJ_NEVER_US;
	if (options->horizon == RJ_CELL_HORIZON_COMPLETIONS)
		return ready_delay_us(plan, plan_worker, group, demand);
	if (!rj_cell_demand_fits(demand, &available))
		return RJ_NEVER_US;
	return placement_cost(plan, plan_worker, group, task, &available);
}

/*
 * Places as many of some uniform tasks as have capacity, and returns how many.
 * They get the same workers as if each were placed by itself, because the
 * placement of one changes only the cost of its own worker.
 */
uint32_t rj_cell_place_uniform(struct rj_cell_plan *plan,
			       struct rj_cell_placement *placement,
			       const struct rj_cell_task_group *group,
			       struct rj_cell_task **tasks, uint32_t count,
			       const struct rj_cell_placement_options *options)
{
	const struct rj_cell_step *step = rj_cell_task_step(tasks[0]);
	struct rj_cell_demand demand = rj_cell_step_allocation(step);
	struct rj_cell_candidates candidates;
	struct rj_cell_worker_iterator iterator;
	struct rj_cell_plan_worker *plan_worker;
	uint32_t placed = 0;

	assert(!options->may_preempt);
	rj_cell_candidates_init(&candidates);
	rj_cell_worker_iterator_init(&iterator, plan, options, &demand);
	while ((plan_worker = rj_cell_worker_iterator_next(&iterator))) {
		uint64_t cost = candidate_cost(plan, plan_worker, group,
					       tasks[0], &demand, options);

		if (cost != RJ_NEVER_US &&
		    rj_cell_place_is_eligible(plan, plan_worker, group,
					      tasks[0], options))
			rj_cell_candidates_push(&candidates, cost, plan_worker);
	}
	while (placed < count) {
		struct rj_cell_candidate best =
			rj_cell_candidates_pop(&candidates);
		uint64_t cost;

		if (!best.plan_worker)
			break;
		if (options->horizon == RJ_CELL_HORIZON_COMPLETIONS &&
		    best.cost > placement->ready_us)
			placement->ready_us = best.cost;
		rj_cell_placement_save_worker(placement, best.plan_worker);
		allocate(best.plan_worker, step, options->horizon);
		g_ptr_array_add(placement->workers, best.plan_worker->worker);
		placed++;
		cost = candidate_cost(plan, best.plan_worker, group, tasks[0],
				      &demand, options);
		if (cost != RJ_NEVER_US)
			rj_cell_candidates_push(&candidates, cost,
						best.plan_worker);
	}
	rj_cell_candidates_finish(&candidates);
	return placed;
}

/*
 * Places `tasks` tentatively. Returns whether all of them were placed; if not,
 * the placement is to be finished without a commit.
 */
bool rj_cell_place_group(struct rj_cell_plan *plan,
			 struct rj_cell_placement *placement,
			 const struct rj_cell_task_group *group,
			 struct rj_cell_task **tasks, uint32_t count,
			 const struct rj_cell_placement_options *options)
{
	struct rj_cell_demand demand =
		rj_cell_step_allocation(rj_cell_task_step(tasks[0]));

	if (!rj_cell_place_may_fit(plan, options, &demand, count))
		return false;
	if (count > 1 && !options->may_preempt &&
	    are_uniform(plan, tasks, count))
		return rj_cell_place_uniform(plan, placement, group, tasks,
					     count, options) == count;
	for (uint32_t i = 0; i < count; i++) {
		struct rj_cell_plan_worker *plan_worker =
			options->horizon == RJ_CELL_HORIZON_COMPLETIONS ?
				earliest_fit(plan, placement, group, tasks[i],
					     options) :
				best_fit(plan, group, tasks[i], options);

		if (!plan_worker && options->may_preempt)
			plan_worker = rj_cell_reclaim_find_worker(
				plan, placement, group, tasks[i], options);
		if (!plan_worker ||
		    placement->loss_milli > options->max_loss_milli)
			return false;
		rj_cell_placement_save_worker(placement, plan_worker);
		allocate(plan_worker, rj_cell_task_step(tasks[i]),
			 options->horizon);
		g_ptr_array_add(placement->workers, plan_worker->worker);
	}
	return true;
}

/*
 * Keeps the changes of a placement, and adds its victims to the plan's stops.
 */
void rj_cell_placement_commit(struct rj_cell_placement *placement)
{
	g_array_set_size(placement->changes, 0);
	for (guint i = 0; i < placement->victims->len; i++) {
		struct rj_cell_run *run = placement->victims->pdata[i];

		run->victim = false;
		rj_cell_plan_stop_run(placement->plan, run,
				      RJ_CELL_WHY_RECLAIMED,
				      placement->preempting_job);
	}
	g_ptr_array_set_size(placement->victims, 0);
}
