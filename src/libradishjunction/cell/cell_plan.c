#include "private/cell_plan.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_place.h"
#include "private/cell_share.h"
#include "private/cell_shortage.h"
#include "private/cell_task_groups.h"

/* Gangs of lower priority that room is promised to at a time. More would
 * leave too much of it idle. */
#define GANG_PROMISES_MAX 2
/* Urgent work that has no right to its room may throw away so many times its
 * own work: it is worth about ten times as much a core-second, half of which
 * is left for the wait of those that it stops. */
#define URGENT_LOSS_FACTOR 4
/* Work that is not urgent may stop work of lower priority once it has waited
 * for a while, where that throws away at most this part of its own. */
#define PREEMPTION_WAIT_US RJ_US_PER_S
#define PREEMPTION_LOSS_DIVISOR 8
/* Urgent groups that room is promised to in one plan; those behind them have
 * to wait for more than the next ends. */
#define URGENT_PROMISES_MAX 16
/*
 * Searches in one plan that found too little, for room in a share or for work to
 * stop, and the pause before the same group searches for work to stop again.
 * Such a search changes nothing, so that leaving it out only delays the next.
 */
#define FAILED_SEARCHES_MAX 8
#define SEARCH_RETRY_US (100 * RJ_US_PER_MS)

/*
 * Prepare a plan without inputs.
 */
void rj_cell_plan_init(struct rj_cell_plan *plan)
{
	memset(plan, 0, sizeof(*plan));
	plan->next_retry_us = RJ_NEVER_US;
	plan->starts =
		g_array_new(FALSE, FALSE, sizeof(struct rj_cell_planned_start));
	plan->stops = g_ptr_array_new();
	plan->racks =
		g_array_new(FALSE, FALSE, sizeof(struct rj_cell_plan_rack));
	plan->ranges =
		g_array_new(FALSE, FALSE, sizeof(struct rj_cell_worker_range));
	plan->urgent_needs = g_hash_table_new(g_str_hash, g_str_equal);
	plan->task_groups =
		g_array_new(FALSE, FALSE, sizeof(struct rj_cell_task_group));
	plan->shortages =
		g_array_new(FALSE, FALSE, sizeof(struct rj_cell_shortage));
}

/*
 * Free what the plan holds.
 */
void rj_cell_plan_finish(struct rj_cell_plan *plan)
{
	g_array_free(plan->starts, TRUE);
	g_ptr_array_free(plan->stops, TRUE);
	g_array_free(plan->racks, TRUE);
	g_array_free(plan->ranges, TRUE);
	g_array_free(plan->task_groups, TRUE);
	g_array_free(plan->shortages, TRUE);
	g_hash_table_destroy(plan->urgent_needs);
	TALLOC_FREE(plan->workers);
}

/* One task starts there. */
static void add_start(struct rj_cell_plan *plan, struct rj_cell_task *task,
		      struct rj_cell_worker *worker)
{
	struct rj_cell_planned_start start = { task, worker };
	struct rj_cell_demand used =
		rj_cell_step_allocation(rj_cell_task_step(task));

	g_array_append_val(plan->starts, start);
	task->planned = true;
	rj_cell_usage_add(&plan->usage, &used);
	rj_cell_plan_add_allocation(plan, task->round->work, &used);
	if (worker->domain && !task->round->work->def->priority)
		worker->domain->urgent +=
			rj_cell_task_step(task)->each.accelerators;
}

/* Whether one trial is better than another: it loses less, or is ready
 * sooner. */
static bool is_better(const struct rj_cell_placement *a,
		      const struct rj_cell_placement *b)
{
	if (a->loss_milli != b->loss_milli)
		return a->loss_milli < b->loss_milli;
	return a->ready_us < b->ready_us;
}

/* The rack where a group is placed best, or NULL. */
static const struct rj_cell_plan_rack *
best_rack(struct rj_cell_plan *plan, const struct rj_cell_task_group *group,
	  struct rj_cell_task **tasks, uint32_t count,
	  const struct rj_cell_placement_options *options)
{
	const struct rj_cell_plan_rack *best = NULL;
	struct rj_cell_placement best_placement = { .loss_milli = 0 };

	for (guint i = 0; i < plan->racks->len; i++) {
		struct rj_cell_placement_options local = *options;
		struct rj_cell_placement placement;

		local.rack = &g_array_index(plan->racks,
					    struct rj_cell_plan_rack, i);
		if (options->domain && local.rack->domain != options->domain)
			continue;
		rj_cell_placement_init(&placement, plan);
		if (rj_cell_place_group(plan, &placement, group, tasks, count,
					&local) &&
		    (!best || is_better(&placement, &best_placement))) {
			best = local.rack;
			best_placement.loss_milli = placement.loss_milli;
			best_placement.ready_us = placement.ready_us;
		}
		rj_cell_placement_finish(&placement);
		/* Nothing is better than a place at once and at no loss. */
		if (best && !best_placement.loss_milli &&
		    !best_placement.ready_us)
			break;
	}
	return best;
}

/* Try to place a group: within one rack if it should be, and else anywhere
 * once it has waited long enough. */
static bool try_placement(struct rj_cell_plan *plan,
			  const struct rj_cell_task_group *group,
			  struct rj_cell_task **tasks, uint32_t count,
			  const struct rj_cell_placement_options *options,
			  struct rj_cell_placement *placement)
{
	const struct rj_cell_step *step = rj_cell_task_step(tasks[0]);
	struct rj_cell_placement_options resolved = *options;

	if (step->one_rack && count > 1) {
		resolved.rack = best_rack(plan, group, tasks, count, options);
		if (!resolved.rack && !group->remote_allowed)
			return false;
	}
	return rj_cell_place_group(plan, placement, group, tasks, count,
				   &resolved);
}

/* The failure domain with the least urgent work of those where a group finds
 * its place, or NULL. */
static const struct rj_cell_domain *
best_domain(struct rj_cell_plan *plan, const struct rj_cell_task_group *group,
	    struct rj_cell_task **tasks, uint32_t count,
	    const struct rj_cell_placement_options *options)
{
	const GPtrArray *domains = plan->fleet->domains;
	const struct rj_cell_domain *best = NULL;

	for (guint i = 0; i < domains->len; i++) {
		const struct rj_cell_domain *domain = domains->pdata[i];
		struct rj_cell_placement_options local = *options;
		struct rj_cell_placement placement;

		if (best && domain->urgent >= best->urgent)
			continue;
		local.domain = domain;
		rj_cell_placement_init(&placement, plan);
		if (try_placement(plan, group, tasks, count, &local,
				  &placement))
			best = domain;
		rj_cell_placement_finish(&placement);
	}
	return best;
}

/* Try one way; when it works out the room is taken, and with RJ_CELL_HORIZON_NOW the
 * tasks start. */
static bool commit_placement(struct rj_cell_plan *plan,
			     const struct rj_cell_task_group *group,
			     struct rj_cell_task **tasks, uint32_t count,
			     const struct rj_cell_placement_options *options)
{
	struct rj_cell_placement_options resolved = *options;
	struct rj_cell_placement placement;
	bool placed;

	if (!group->work->def->priority &&
	    options->horizon == RJ_CELL_HORIZON_NOW)
		resolved.domain =
			best_domain(plan, group, tasks, count, options);
	rj_cell_placement_init(&placement, plan);
	placed =
		try_placement(plan, group, tasks, count, &resolved, &placement);
	for (uint32_t i = 0;
	     placed && options->horizon == RJ_CELL_HORIZON_NOW && i < count;
	     i++)
		add_start(plan, tasks[i], placement.workers->pdata[i]);
	if (placed)
		rj_cell_placement_commit(&placement);
	rj_cell_placement_finish(&placement);
	return placed;
}

/* Work that urgent tasks may throw away. */
static uint64_t loss_allowed(const struct rj_cell_plan *plan,
			     const struct rj_cell_task_group *group,
			     uint32_t count)
{
	if (group->guaranteed &&
	    plan->now_us <=
		    group->work->accepted_us + plan->reclaim_ms * RJ_US_PER_MS)
		return UINT64_MAX;
	return URGENT_LOSS_FACTOR *
	       rj_cell_reclaim_group_cost_milli(plan, group, count);
}

/* Whether all of some tasks weigh workers alike. */
static bool are_uniform(const struct rj_cell_plan *plan,
			struct rj_cell_task **tasks, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		if (!rj_cell_place_is_uniform(plan, tasks[i]))
			return false;
	return true;
}

/* Try to place a group without stopping others, unless others have shown that
 * there is no room. */
static bool place_without_preemption(struct rj_cell_plan *plan,
				     const struct rj_cell_task_group *group,
				     struct rj_cell_task **tasks,
				     uint32_t count,
				     enum rj_cell_horizon horizon)
{
	const struct rj_cell_placement_options options = { .horizon = horizon };

	if (rj_cell_shortage_is_known(plan, group, count, horizon))
		return false;
	if (commit_placement(plan, group, tasks, count, &options))
		return true;
	if (are_uniform(plan, tasks, count))
		rj_cell_shortage_record(plan, group, count, horizon);
	return false;
}

/*
 * Try to place a group where others are stopped, at a loss of at most
 * `max_loss_milli`.
 *
 * Load that it answers: hundreds of urgent groups that wait on a full site.
 * Each search weighs the runs of all workers, and a plan that takes a second
 * has the owner taken for dead.
 */
static bool place_with_preemption(struct rj_cell_plan *plan,
				  const struct rj_cell_task_group *group,
				  struct rj_cell_task **tasks, uint32_t count,
				  uint64_t max_loss_milli)
{
	const struct rj_cell_placement_options options = {
		.horizon = RJ_CELL_HORIZON_STOPS,
		.may_preempt = true,
		.max_loss_milli = max_loss_milli
	};

	if (plan->failed_searches >= FAILED_SEARCHES_MAX ||
	    plan->now_us < tasks[0]->search_due_us)
		return false;
	if (commit_placement(plan, group, tasks, count, &options))
		return true;
	plan->failed_searches++;
	tasks[0]->search_due_us = plan->now_us + SEARCH_RETRY_US;
	return false;
}

/* Promise a group what comes free first, if few others have a promise. */
static void promise_capacity(struct rj_cell_plan *plan,
			     const struct rj_cell_task_group *group,
			     struct rj_cell_task **tasks, uint32_t count,
			     uint32_t *promise_count, uint32_t promises_max)
{
	const struct rj_cell_placement_options later = {
		.horizon = RJ_CELL_HORIZON_COMPLETIONS
	};

	if (*promise_count < promises_max &&
	    commit_placement(plan, group, tasks, count, &later))
		(*promise_count)++;
}

/*
 * Find room for urgent tasks that do not fit now: what is stopping already,
 * what has to be stopped; else what ends first.
 */
static void find_capacity_urgent(struct rj_cell_plan *plan,
				 const struct rj_cell_task_group *group,
				 struct rj_cell_task **tasks, uint32_t count)
{
	if (place_without_preemption(plan, group, tasks, count,
				     RJ_CELL_HORIZON_STOPS) ||
	    place_with_preemption(plan, group, tasks, count,
				  loss_allowed(plan, group, count)))
		return;
	promise_capacity(plan, group, tasks, count, &plan->urgent_promise_count,
			 URGENT_PROMISES_MAX);
}

/* Find room for other tasks that do not fit now: once they have waited for a
 * while, what is stopping already or can be stopped at little loss; for gangs
 * what ends first. */
static void find_capacity_other(struct rj_cell_plan *plan,
				const struct rj_cell_task_group *group,
				struct rj_cell_task **tasks, uint32_t count)
{
	uint64_t max_loss_milli =
		rj_cell_reclaim_group_cost_milli(plan, group, count) /
		PREEMPTION_LOSS_DIVISOR;

	if (plan->now_us - group->waiting_since_us >= PREEMPTION_WAIT_US &&
	    (place_without_preemption(plan, group, tasks, count,
				      RJ_CELL_HORIZON_STOPS) ||
	     place_with_preemption(plan, group, tasks, count, max_loss_milli)))
		return;
	if (rj_cell_task_step(tasks[0])->gang)
		promise_capacity(plan, group, tasks, count,
				 &plan->promise_count, GANG_PROMISES_MAX);
}

/*
 * Place a group of tasks now; or find room for it that comes free. Returns
 * whether it starts now.
 */
static bool place_tasks(struct rj_cell_plan *plan,
			const struct rj_cell_task_group *group,
			struct rj_cell_task **tasks, uint32_t count)
{
	if (place_without_preemption(plan, group, tasks, count,
				     RJ_CELL_HORIZON_NOW))
		return true;
	if (group->work->def->priority)
		find_capacity_other(plan, group, tasks, count);
	else
		find_capacity_urgent(plan, group, tasks, count);
	return false;
}

/* How many of the first tasks weigh workers alike, so that they can be placed
 * together though each starts by itself. */
static uint32_t count_uniform(const struct rj_cell_plan *plan,
			      const struct rj_cell_task_group *group,
			      struct rj_cell_task **tasks, uint32_t count)
{
	uint32_t uniform = 0;

	if (!group->work->def->priority)
		return 0;
	while (uniform < count && are_uniform(plan, &tasks[uniform], 1))
		uniform++;
	return uniform;
}

/*
 * Start those of the first tasks of a unit that find a place now. Returns how
 * many.
 *
 * Load that it answers: wide jobs of small tasks; each task by itself would
 * weigh all workers.
 */
static uint32_t start_uniform(struct rj_cell_plan *plan,
			      const struct rj_cell_task_group *group,
			      struct rj_cell_task **tasks, uint32_t count)
{
	const struct rj_cell_placement_options now = {
		.horizon = RJ_CELL_HORIZON_NOW
	};
	uint32_t uniform = count_uniform(plan, group, tasks, count);
	struct rj_cell_placement placement;
	uint32_t placed;

	if (!uniform)
		return 0;
	rj_cell_placement_init(&placement, plan);
	placed = rj_cell_place_uniform(plan, &placement, group, tasks, uniform,
				       &now);
	for (uint32_t i = 0; i < placed; i++)
		add_start(plan, tasks[i], placement.workers->pdata[i]);
	rj_cell_placement_commit(&placement);
	rj_cell_placement_finish(&placement);
	return placed;
}

/* The tasks of a step that wait and that this plan has not started. Returns
 * how many. */
static uint32_t collect_waiting(const struct rj_cell_plan *plan,
				const struct rj_cell_task_group *group,
				struct rj_cell_task **tasks)
{
	const struct rj_cell_def *spec = group->work->def;
	uint32_t first = rj_cell_def_first_task(spec, group->step);
	uint32_t count = 0;

	for (uint32_t i = first;
	     i < first + spec->steps[group->step].task_count; i++)
		if (rj_cell_plan_task_waits(plan, &group->round->tasks[i]))
			tasks[count++] = &group->round->tasks[i];
	return count;
}

/* Place a gang as a whole. */
static void place_gang(struct rj_cell_plan *plan,
		       struct rj_cell_task_group *group,
		       struct rj_cell_task **tasks, uint32_t count)
{
	if (place_tasks(plan, group, tasks, count))
		group->started_tasks = count;
	else
		plan->waiting_tasks += count;
}

/* Place tasks singly, until one that stands for the others finds no room. */
static void place_singly(struct rj_cell_plan *plan,
			 struct rj_cell_task_group *group,
			 struct rj_cell_task **tasks, uint32_t count)
{
	uint32_t placed = start_uniform(plan, group, tasks, count);

	group->started_tasks += placed;
	for (uint32_t i = placed; i < count; i++) {
		if (place_tasks(plan, group, &tasks[i], 1)) {
			group->started_tasks++;
			continue;
		}
		/* That it is choosy says nothing of the others. */
		if (rj_cell_place_needs_healthy(plan, tasks[i])) {
			plan->waiting_tasks++;
			continue;
		}
		plan->waiting_tasks += count - i;
		if (group->work->def->priority)
			break;
	}
}

/* Place the waiting tasks of a step. */
static void place_task_group(struct rj_cell_plan *plan,
			     struct rj_cell_task_group *group)
{
	const struct rj_cell_def *spec = group->work->def;
	const struct rj_cell_step *step = &spec->steps[group->step];
	struct rj_cell_task **tasks;
	uint32_t count;

	rj_cell_task_group_set_reserved(plan, group);
	if (spec->priority &&
	    rj_cell_shortage_is_known(plan, group, 1, RJ_CELL_HORIZON_NOW)) {
		plan->waiting_tasks +=
			group->waiting_tasks - group->started_tasks;
		return;
	}
	rj_cell_place_count_step_runs(plan, group);
	tasks = talloc_array(NULL, struct rj_cell_task *, step->task_count);
	count = collect_waiting(plan, group, tasks);
	if (step->gang && count)
		place_gang(plan, group, tasks, count);
	else
		place_singly(plan, group, tasks, count);
	talloc_free(tasks);
}

/* Start those of some tasks that find a place now. Returns how many. */
static uint32_t start_fitting(struct rj_cell_plan *plan,
			      const struct rj_cell_task_group *group,
			      struct rj_cell_task **tasks, uint32_t count)
{
	uint32_t first = start_uniform(plan, group, tasks, count);
	uint32_t started = first;

	for (uint32_t i = first; i < count; i++) {
		if (place_without_preemption(plan, group, &tasks[i], 1,
					     RJ_CELL_HORIZON_NOW))
			started++;
		/* That it is choosy says nothing of the others. */
		else if (!rj_cell_place_needs_healthy(plan, tasks[i]))
			break;
	}
	return started;
}

/*
 * Start what the share of its priority has room for of an overdue step. A gang
 * may exceed it, as it starts whole or not at all. Returns whether anything
 * starts.
 */
static bool place_within_share(struct rj_cell_plan *plan,
			       struct rj_cell_task_group *group,
			       uint32_t tasks_max)
{
	const struct rj_cell_step *step = &group->work->def->steps[group->step];
	struct rj_cell_task **tasks;
	uint32_t count;

	rj_cell_place_count_step_runs(plan, group);
	tasks = talloc_array(NULL, struct rj_cell_task *, step->task_count);
	count = collect_waiting(plan, group, tasks);
	if (!step->gang)
		group->started_tasks = start_fitting(plan, group, tasks,
						     MIN(count, tasks_max));
	else if (place_without_preemption(plan, group, tasks, count,
					  RJ_CELL_HORIZON_NOW))
		group->started_tasks = count;
	talloc_free(tasks);
	return group->started_tasks;
}

/*
 * Start overdue work of priorities that hold less than their share.
 *
 * Load that it answers: work that goes first and never ends, and holds or is
 * promised all that comes free; the work behind it would starve.
 */
static void place_overdue(struct rj_cell_plan *plan, guint from)
{
	uint32_t failed_searches = 0;

	for (guint i = from; i < plan->task_groups->len &&
			     failed_searches < FAILED_SEARCHES_MAX;
	     i++) {
		struct rj_cell_task_group *group = &g_array_index(
			plan->task_groups, struct rj_cell_task_group, i);
		uint32_t tasks_max = rj_cell_share_free_tasks(
			plan, &group->work->def->steps[group->step],
			group->work);

		rj_cell_task_group_set_reserved(plan, group);
		if (group->overdue && tasks_max &&
		    !rj_cell_shortage_is_known(plan, group, 1,
					       RJ_CELL_HORIZON_NOW) &&
		    !place_within_share(plan, group, tasks_max))
			failed_searches++;
	}
}

/* The plan has been made: its starts are told from what waits by their runs. */
static void clear_planned(struct rj_cell_plan *plan)
{
	for (guint i = 0; i < plan->starts->len; i++)
		g_array_index(plan->starts, struct rj_cell_planned_start, i)
			.task->planned = false;
}

/*
 * Decide what starts now, and what is stopped to make room.
 */
void rj_cell_plan_make(struct rj_cell_plan *plan)
{
	bool shared = false;

	rj_cell_task_groups_gather(plan);
	/* Most plans follow an end that nobody waited for. */
	if (!plan->task_groups->len)
		return;
	rj_cell_plan_gather_workers(plan);
	for (guint i = 0; i < plan->task_groups->len; i++) {
		struct rj_cell_task_group *group = &g_array_index(
			plan->task_groups, struct rj_cell_task_group, i);

		if (group->work->def->priority && !shared) {
			place_overdue(plan, i);
			shared = true;
		}
		place_task_group(plan, group);
	}
	clear_planned(plan);
}
