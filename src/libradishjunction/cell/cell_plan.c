#include "private/cell_plan.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_backfill.h"
#include "private/cell_place.h"
#include "private/cell_preemption.h"
#include "private/cell_share.h"
#include "private/cell_shortage.h"
#include "private/cell_task_groups.h"

/* Maximum number of gangs that are not urgent and get a promise in one plan.
 * More promises would leave too much capacity idle. */
#define GANG_PROMISES_MAX 2
/* Urgent jobs without a guarantee may discard up to this many times their own
 * work. A core-second of theirs is worth about ten times as much; more than
 * half of that is left for the delay of the preempted jobs. */
#define URGENT_LOSS_FACTOR 4
/* Maximum number of urgent groups that get a promise in one plan. Later groups
 * could only be promised capacity that is free after the next completions. */
#define URGENT_PROMISES_MAX 16
/* Limit of failed searches in one plan: of those for capacity within a share,
 * and of those for runs to preempt. Further searches are left to later plans,
 * as each evaluates all workers. */
#define FAILED_SEARCHES_MAX 8
/* Maximum number of tasks of a step that stop runs of jobs past their time in one
 * plan, besides the first task that waits. Each evaluates all workers. */
#define EXPIRED_PREEMPTIONS_MAX 32
/* Delay before a group that found no runs to preempt searches again. A failed
 * search changes nothing, so that skipping one only delays the next. */
#define SEARCH_RETRY_US (100 * RJ_US_PER_MS)

/*
 * Initializes a plan; the caller sets the inputs.
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
	plan->task_groups =
		g_array_new(FALSE, FALSE, sizeof(struct rj_cell_task_group));
	plan->shortages =
		g_array_new(FALSE, FALSE, sizeof(struct rj_cell_shortage));
}

/*
 * Frees what the plan owns; its tasks, runs and workers are the owner's.
 */
void rj_cell_plan_finish(struct rj_cell_plan *plan)
{
	g_array_free(plan->starts, TRUE);
	g_ptr_array_free(plan->stops, TRUE);
	g_array_free(plan->racks, TRUE);
	g_array_free(plan->ranges, TRUE);
	g_array_free(plan->task_groups, TRUE);
	g_array_free(plan->shortages, TRUE);
	TALLOC_FREE(plan->workers);
}

/* Returns how many of `count` tasks the plan may still start, and records
 * whether some are left to the next plan. A gang may exceed the limit, as it
 * starts whole. */
static uint32_t limit_starts(struct rj_cell_plan *plan, uint32_t count)
{
	uint32_t left =
		plan->starts_max - MIN(plan->starts_max, plan->starts->len);

	if (!plan->starts_max || count <= left)
		return count;
	plan->truncated = true;
	return left;
}

/* Starts a task on a worker in this plan. */
static void add_start(struct rj_cell_plan *plan, struct rj_cell_task *task,
		      struct rj_cell_worker *worker, bool backfills)
{
	struct rj_cell_planned_start start = { task, worker, backfills };
	struct rj_cell_demand used =
		rj_cell_step_allocation(rj_cell_task_step(task));

	g_array_append_val(plan->starts, start);
	task->planned = true;
	rj_cell_usage_add(&plan->usage, &used);
	rj_cell_plan_add_allocation(plan, task->occurrence->job, &used);
	if (worker->domain && !task->occurrence->job->job_spec->priority)
		worker->domain->urgent +=
			rj_cell_task_step(task)->each.accelerators;
}

/* Whether one placement loses less than another, or is ready sooner at the same
 * loss. */
static bool is_cheaper_or_sooner(const struct rj_cell_placement *a,
				 const struct rj_cell_placement *b)
{
	if (a->loss_milli != b->loss_milli)
		return a->loss_milli < b->loss_milli;
	return a->ready_us < b->ready_us;
}

/* Returns the rack with the best placement of a group, or NULL. */
static const struct rj_cell_plan_rack *
best_rack(struct rj_cell_plan *plan, const struct rj_cell_task_group *group,
	  struct rj_cell_task **tasks, uint32_t count,
	  const struct rj_cell_placement_options *options)
{
	const struct rj_cell_plan_rack *best = NULL;
	struct rj_cell_placement best_placement = { .loss_milli = 0 };

	for (guint i = 0; i < plan->racks->len; i++) {
		struct rj_cell_placement_options candidate = *options;
		struct rj_cell_placement placement;

		candidate.rack = &g_array_index(plan->racks,
						struct rj_cell_plan_rack, i);
		if (options->domain &&
		    candidate.rack->domain != options->domain)
			continue;
		rj_cell_placement_init(&placement, plan);
		if (rj_cell_place_group(plan, &placement, group, tasks, count,
					&candidate) &&
		    (!best ||
		     is_cheaper_or_sooner(&placement, &best_placement))) {
			best = candidate.rack;
			best_placement.loss_milli = placement.loss_milli;
			best_placement.ready_us = placement.ready_us;
		}
		rj_cell_placement_finish(&placement);
		/* No rack is better than one with a place at once and at no
		 * loss. */
		if (best && !best_placement.loss_milli &&
		    !best_placement.ready_us)
			break;
	}
	return best;
}

/* Places a group tentatively. A group whose step prefers one rack is placed in
 * one; only once remote_allowed is set may it be spread over several. */
static bool place_tentatively(struct rj_cell_plan *plan,
			      const struct rj_cell_task_group *group,
			      struct rj_cell_task **tasks, uint32_t count,
			      const struct rj_cell_placement_options *options,
			      struct rj_cell_placement *placement)
{
	const struct rj_cell_step *step = rj_cell_task_step(tasks[0]);
	struct rj_cell_placement_options resolved = *options;

	if (step->one_rack && count > 1) {
		resolved.rack = best_rack(plan, group, tasks, count, options);
		/* Spread over several it would run for longer. */
		if (!resolved.rack &&
		    (!group->remote_allowed || options->backfill_us))
			return false;
	}
	return rj_cell_place_group(plan, placement, group, tasks, count,
				   &resolved);
}

/* Returns the failure domain with the fewest accelerators in use by urgent jobs
 * among those that have capacity for a group, or NULL. */
static const struct rj_cell_domain *
best_domain(struct rj_cell_plan *plan, const struct rj_cell_task_group *group,
	    struct rj_cell_task **tasks, uint32_t count,
	    const struct rj_cell_placement_options *options)
{
	const GPtrArray *domains = plan->fleet->domains;
	const struct rj_cell_domain *best = NULL;

	for (guint i = 0; i < domains->len; i++) {
		const struct rj_cell_domain *domain = domains->pdata[i];
		struct rj_cell_placement_options candidate = *options;
		struct rj_cell_placement placement;

		if (best && domain->urgent >= best->urgent)
			continue;
		candidate.domain = domain;
		rj_cell_placement_init(&placement, plan);
		if (place_tentatively(plan, group, tasks, count, &candidate,
				      &placement))
			best = domain;
		rj_cell_placement_finish(&placement);
	}
	return best;
}

/* Places a group and commits the placement. With RJ_CELL_HORIZON_NOW its tasks
 * start. */
static bool place_and_commit(struct rj_cell_plan *plan,
			     const struct rj_cell_task_group *group,
			     struct rj_cell_task **tasks, uint32_t count,
			     const struct rj_cell_placement_options *options)
{
	struct rj_cell_placement placement;
	bool placed;

	rj_cell_placement_init(&placement, plan);
	placed = place_tentatively(plan, group, tasks, count, options,
				   &placement);
	for (uint32_t i = 0;
	     placed && options->horizon == RJ_CELL_HORIZON_NOW && i < count;
	     i++)
		add_start(plan, tasks[i], placement.workers->pdata[i],
			  options->backfill_us != 0);
	if (placed && options->horizon == RJ_CELL_HORIZON_COMPLETIONS &&
	    !rj_cell_backfill_hold(plan, &placement))
		rj_cell_backfill_recall(plan, &placement, group);
	if (placed)
		rj_cell_placement_commit(&placement);
	rj_cell_placement_finish(&placement);
	return placed;
}

/*
 * Starts an urgent group now, in the best domain: if possible off the workers
 * known to be slow and off those that are likely to lose a member, else off
 * either kind, the slow ones first.
 *
 * A gang ends with its slowest member and with the first that is lost, and
 * urgent work has no time to lose.
 */
static bool start_urgent(struct rj_cell_plan *plan,
			 const struct rj_cell_task_group *group,
			 struct rj_cell_task **tasks, uint32_t count)
{
	static const struct {
		bool avoid_slow;
		bool avoid_risky;
	} tries[] = { { true, true },
		      { true, false },
		      { false, true },
		      { false, false } };
	struct rj_cell_placement_options options = {
		.horizon = RJ_CELL_HORIZON_NOW
	};

	for (guint i = 0; i < G_N_ELEMENTS(tries) && !options.domain; i++) {
		if (tries[i].avoid_risky && !plan->risky_workers)
			continue;
		options.avoid_slow = tries[i].avoid_slow;
		options.avoid_risky = tries[i].avoid_risky;
		options.domain =
			best_domain(plan, group, tasks, count, &options);
	}
	return place_and_commit(plan, group, tasks, count, &options);
}

/* Returns the work that urgent tasks may discard, in core-milliseconds; no limit
 * for guaranteed tasks. */
static uint64_t loss_allowed(const struct rj_cell_plan *plan,
			     const struct rj_cell_task_group *group,
			     uint32_t count)
{
	if (group->guaranteed)
		return UINT64_MAX;
	return URGENT_LOSS_FACTOR *
	       rj_cell_reclaim_group_cost_milli(plan, group, count);
}

/* Whether the choice of a worker is the same for all of some tasks. */
static bool are_uniform(const struct rj_cell_plan *plan,
			struct rj_cell_task **tasks, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		if (!rj_cell_place_is_uniform(plan, tasks[i]))
			return false;
	return true;
}

/* Starts a gang that is not urgent and prefers one rack now, off the workers
 * that are likely to lose a member if that is possible. Its rack is the first
 * that has capacity, whatever the risk; within racks, and for other groups, the
 * cost of a placement weighs it. One that may be spread over racks is not, as
 * all of it would run slower to avoid a loss that is only likely. */
static bool start_off_risky(struct rj_cell_plan *plan,
			    const struct rj_cell_task_group *group,
			    struct rj_cell_task **tasks, uint32_t count)
{
	const struct rj_cell_step *step = rj_cell_task_step(tasks[0]);
	const struct rj_cell_placement_options options = {
		.horizon = RJ_CELL_HORIZON_NOW, .avoid_risky = true
	};

	return plan->risky_workers && step->gang && step->one_rack &&
	       !group->remote_allowed &&
	       place_and_commit(plan, group, tasks, count, &options);
}

/* Starts a group now. */
static bool start_now(struct rj_cell_plan *plan,
		      const struct rj_cell_task_group *group,
		      struct rj_cell_task **tasks, uint32_t count)
{
	const struct rj_cell_placement_options options = {
		.horizon = RJ_CELL_HORIZON_NOW
	};

	if (!group->job->job_spec->priority)
		return start_urgent(plan, group, tasks, count);
	return start_off_risky(plan, group, tasks, count) ||
	       place_and_commit(plan, group, tasks, count, &options);
}

/* Places a group without preemption, unless a shortage already shows that there
 * is no capacity. */
static bool place_without_preemption(struct rj_cell_plan *plan,
				     const struct rj_cell_task_group *group,
				     struct rj_cell_task **tasks,
				     uint32_t count,
				     enum rj_cell_horizon horizon)
{
	const struct rj_cell_placement_options options = { .horizon = horizon };

	if (rj_cell_shortage_is_known(plan, group, count, horizon))
		return false;
	if (horizon == RJ_CELL_HORIZON_NOW ?
		    start_now(plan, group, tasks, count) :
		    place_and_commit(plan, group, tasks, count, &options))
		return true;
	if (are_uniform(plan, tasks, count))
		rj_cell_shortage_record(plan, group, count, horizon);
	return false;
}

/*
 * Places a group with preemption, at a loss of at most `max_loss_milli`.
 *
 * Guards against long plans with hundreds of urgent groups that wait on a full
 * site: each search evaluates the runs of all workers, and a plan that takes a
 * second delays the owner's heartbeat so that another instance takes over.
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
	    plan->now_us < tasks[0]->preemption_due_us)
		return false;
	if (place_and_commit(plan, group, tasks, count, &options))
		return true;
	plan->failed_searches++;
	tasks[0]->preemption_due_us = plan->now_us + SEARCH_RETRY_US;
	return false;
}

/* Promises a group the capacity that comes free first, unless promises_max
 * groups have a promise. */
static void promise_capacity(struct rj_cell_plan *plan,
			     const struct rj_cell_task_group *group,
			     struct rj_cell_task **tasks, uint32_t count,
			     uint32_t *promise_count, uint32_t promises_max)
{
	const struct rj_cell_placement_options later = {
		.horizon = RJ_CELL_HORIZON_COMPLETIONS
	};

	if (*promise_count < promises_max &&
	    place_and_commit(plan, group, tasks, count, &later))
		(*promise_count)++;
}

/*
 * Finds capacity for urgent tasks that can't start now: from runs that are
 * being stopped, by preemption, or else from the earliest completions.
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

/* Finds capacity for tasks that are not urgent and can't start now. Those that
 * have waited get it from runs that are being stopped, or by preemption at a
 * small loss. Gangs may also be promised that of the earliest completions. */
static void find_capacity_other(struct rj_cell_plan *plan,
				const struct rj_cell_task_group *group,
				struct rj_cell_task **tasks, uint32_t count)
{
	uint64_t max_loss_milli = rj_cell_preemption_max_loss_milli(
		plan, group,
		rj_cell_reclaim_group_cost_milli(plan, group, count));

	if (rj_cell_preemption_has_waited(plan, group) &&
	    (place_without_preemption(plan, group, tasks, count,
				      RJ_CELL_HORIZON_STOPS) ||
	     place_with_preemption(plan, group, tasks, count, max_loss_milli)))
		return;
	if (rj_cell_task_step(tasks[0])->gang)
		promise_capacity(plan, group, tasks, count,
				 &plan->promise_count, GANG_PROMISES_MAX);
}

/* Finds capacity that comes free later. */
static void find_capacity(struct rj_cell_plan *plan,
			  const struct rj_cell_task_group *group,
			  struct rj_cell_task **tasks, uint32_t count)
{
	if (group->job->job_spec->priority)
		find_capacity_other(plan, group, tasks, count);
	else
		find_capacity_urgent(plan, group, tasks, count);
}

/*
 * Starts a group of tasks now, or finds capacity for it that comes free later.
 * Returns whether it starts now.
 */
static bool place_tasks(struct rj_cell_plan *plan,
			const struct rj_cell_task_group *group,
			struct rj_cell_task **tasks, uint32_t count)
{
	if (place_without_preemption(plan, group, tasks, count,
				     RJ_CELL_HORIZON_NOW))
		return true;
	find_capacity(plan, group, tasks, count);
	return false;
}

/* Returns how many of the first tasks are uniform, so that they can be placed
 * in one pass though each starts by itself. 0 for urgent tasks. */
static uint32_t count_uniform(const struct rj_cell_plan *plan,
			      const struct rj_cell_task_group *group,
			      struct rj_cell_task **tasks, uint32_t count)
{
	uint32_t uniform = 0;

	if (!group->job->job_spec->priority)
		return 0;
	while (uniform < count && are_uniform(plan, &tasks[uniform], 1))
		uniform++;
	return uniform;
}

/*
 * Starts those of the first, uniform tasks of a group that can be placed now.
 * Returns how many.
 *
 * Guards against long plans with wide jobs of small tasks: placed one by one,
 * each would evaluate all workers.
 */
static uint32_t start_uniform(struct rj_cell_plan *plan,
			      const struct rj_cell_task_group *group,
			      struct rj_cell_task **tasks, uint32_t count,
			      uint64_t backfill_us)
{
	const struct rj_cell_placement_options now = {
		.horizon = RJ_CELL_HORIZON_NOW, .backfill_us = backfill_us
	};
	uint32_t uniform = count_uniform(plan, group, tasks, count);
	struct rj_cell_placement placement;
	uint32_t placed;

	uniform = limit_starts(plan, uniform);
	if (!uniform)
		return 0;
	rj_cell_placement_init(&placement, plan);
	placed = rj_cell_place_uniform(plan, &placement, group, tasks, uniform,
				       &now);
	for (uint32_t i = 0; i < placed; i++)
		add_start(plan, tasks[i], placement.workers->pdata[i],
			  backfill_us != 0);
	rj_cell_placement_commit(&placement);
	rj_cell_placement_finish(&placement);
	return placed;
}

/* Collects the waiting tasks of a step that this plan has not started. Returns
 * how many. */
static uint32_t collect_waiting(const struct rj_cell_plan *plan,
				const struct rj_cell_task_group *group,
				struct rj_cell_task **tasks)
{
	const struct rj_cell_job_spec *spec = group->job->job_spec;
	uint32_t first = rj_cell_job_spec_first_task(spec, group->step);
	uint32_t count = 0;

	for (uint32_t i = first;
	     i < first + spec->steps[group->step].task_count; i++)
		if (rj_cell_plan_task_waits(plan, &group->occurrence->tasks[i]))
			tasks[count++] = &group->occurrence->tasks[i];
	return count;
}

/* Starts tasks of a group on capacity that is promised to others for later, a
 * gang as a whole. Returns how many. */
static uint32_t backfill(struct rj_cell_plan *plan,
			 const struct rj_cell_task_group *group,
			 struct rj_cell_task **tasks, uint32_t count)
{
	const struct rj_cell_placement_options options = {
		.horizon = RJ_CELL_HORIZON_NOW,
		.backfill_us = rj_cell_backfill_needs_us(plan, group)
	};
	uint32_t eligible = 0;
	uint32_t started = 0;

	while (eligible < count && rj_cell_backfill_may_start(tasks[eligible]))
		eligible++;
	if (!options.backfill_us || !eligible)
		return 0;
	if (!rj_cell_task_step(tasks[0])->gang)
		started = start_uniform(plan, group, tasks, eligible,
					options.backfill_us);
	else if (eligible == count &&
		 place_and_commit(plan, group, tasks, count, &options))
		started = count;
	plan->failed_backfills += !started;
	return started;
}

/* Places a gang, all of its tasks or none. */
static void place_gang(struct rj_cell_plan *plan,
		       struct rj_cell_task_group *group,
		       struct rj_cell_task **tasks, uint32_t count)
{
	if (place_without_preemption(plan, group, tasks, count,
				     RJ_CELL_HORIZON_NOW) ||
	    backfill(plan, group, tasks, count)) {
		group->started_tasks = count;
		return;
	}
	find_capacity(plan, group, tasks, count);
	plan->waiting_tasks += count;
}

/*
 * Finds capacity for tasks that are not urgent from runs of jobs that are too
 * late to be of use.
 *
 * Otherwise each plan would stop one such run for a step of many tasks.
 */
static void preempt_expired(struct rj_cell_plan *plan,
			    const struct rj_cell_task_group *group,
			    struct rj_cell_task **tasks, uint32_t count)
{
	count = MIN(count, MIN(plan->expired_runs, EXPIRED_PREEMPTIONS_MAX));
	if (!rj_cell_preemption_has_waited(plan, group))
		return;
	for (uint32_t i = 0; i < count; i++)
		if (!place_without_preemption(plan, group, &tasks[i], 1,
					      RJ_CELL_HORIZON_STOPS) &&
		    !place_with_preemption(plan, group, &tasks[i], 1, 0))
			break;
}

/* Places tasks one by one. Tasks that are not urgent stop at the first one
 * without capacity, unless it alone needs a healthy worker; urgent ones are all
 * tried, as preemption may differ for each. */
static void place_singly(struct rj_cell_plan *plan,
			 struct rj_cell_task_group *group,
			 struct rj_cell_task **tasks, uint32_t count)
{
	uint32_t placed = start_uniform(plan, group, tasks, count, 0);

	placed += backfill(plan, group, tasks + placed, count - placed);
	group->started_tasks += placed;
	for (uint32_t i = placed; i < count; i++) {
		if (!limit_starts(plan, 1)) {
			plan->waiting_tasks += count - i;
			break;
		}
		if (place_tasks(plan, group, &tasks[i], 1)) {
			group->started_tasks++;
			continue;
		}
		/* Only this task is restricted to healthy workers. */
		if (rj_cell_place_needs_healthy(plan, tasks[i])) {
			plan->waiting_tasks++;
			continue;
		}
		plan->waiting_tasks += count - i;
		if (group->job->job_spec->priority) {
			preempt_expired(plan, group, &tasks[i + 1],
					count - i - 1);
			break;
		}
	}
}

/* Places the waiting tasks of a step. */
static void place_task_group(struct rj_cell_plan *plan,
			     struct rj_cell_task_group *group)
{
	const struct rj_cell_job_spec *spec = group->job->job_spec;
	const struct rj_cell_step *step = &spec->steps[group->step];
	struct rj_cell_task **tasks;
	uint32_t count;

	rj_cell_task_group_set_reserved(plan, group);
	if (spec->priority && !rj_cell_backfill_needs_us(plan, group) &&
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

/* Starts those of some tasks that can be placed now. Returns how many. */
static uint32_t start_fitting(struct rj_cell_plan *plan,
			      const struct rj_cell_task_group *group,
			      struct rj_cell_task **tasks, uint32_t count)
{
	uint32_t first = start_uniform(plan, group, tasks, count, 0);
	uint32_t started = first;

	for (uint32_t i = first; i < count && limit_starts(plan, 1); i++) {
		if (place_without_preemption(plan, group, &tasks[i], 1,
					     RJ_CELL_HORIZON_NOW))
			started++;
		/* Only this task is restricted to healthy workers. */
		else if (!rj_cell_place_needs_healthy(plan, tasks[i]))
			break;
	}
	return started;
}

/*
 * Starts tasks of an overdue step up to the share of its priority. A gang may
 * exceed it, as it starts whole or not at all. Returns whether anything starts.
 */
static bool place_within_share(struct rj_cell_plan *plan,
			       struct rj_cell_task_group *group,
			       uint32_t tasks_max)
{
	const struct rj_cell_step *step =
		&group->job->job_spec->steps[group->step];
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
 * Starts overdue tasks of priorities that are below their share.
 *
 * Guards against starvation by a steady stream of tasks that go first and use,
 * or are promised, all capacity that comes free.
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
			plan, &group->job->job_spec->steps[group->step],
			group->job);

		rj_cell_task_group_set_reserved(plan, group);
		if (group->overdue && tasks_max &&
		    !rj_cell_shortage_is_known(plan, group, 1,
					       RJ_CELL_HORIZON_NOW) &&
		    !place_within_share(plan, group, tasks_max))
			failed_searches++;
	}
}

/* Clears the marks of planned starts. The owner then records each start as a
 * run, and a task with a run does not count as waiting. */
static void clear_planned(struct rj_cell_plan *plan)
{
	for (guint i = 0; i < plan->starts->len; i++)
		g_array_index(plan->starts, struct rj_cell_planned_start, i)
			.task->planned = false;
}

/*
 * Computes the plan's starts and stops from its inputs; call it once.
 */
void rj_cell_plan_make(struct rj_cell_plan *plan)
{
	bool overdue_placed = false;

	rj_cell_task_groups_gather(plan);
	/* Most plans follow a completion while no task waits. */
	if (!plan->task_groups->len)
		return;
	rj_cell_plan_gather_workers(plan);
	rj_cell_reclaim_sum_expired(plan);
	for (guint i = 0; i < plan->task_groups->len; i++) {
		struct rj_cell_task_group *group = &g_array_index(
			plan->task_groups, struct rj_cell_task_group, i);

		if (!limit_starts(plan, 1))
			break;
		if (group->job->job_spec->priority && !overdue_placed) {
			place_overdue(plan, i);
			overdue_placed = true;
		}
		place_task_group(plan, group);
	}
	clear_planned(plan);
}
