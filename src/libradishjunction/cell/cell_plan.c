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
#define PROMISES_MAX 2
/* Urgent work that has no right to its room may throw away so many times its
 * own work: it is worth about ten times as much a core-second, half of which
 * is left for the wait of those that it stops. */
#define LOSS_FACTOR 4
/* Work that is not urgent may stop work of lower priority once it has waited
 * for a while, where that throws away at most this part of its own. */
#define CHEAP_WAIT_US RJ_US_PER_S
#define CHEAP_LOSS_PART 8
/* Urgent groups that room is promised to in one plan; those behind them have
 * to wait for more than the next ends. */
#define URGENT_PROMISES_MAX 16
/*
 * Searches in one plan that found too little, for room in a share or for work to
 * stop, and the pause before the same group searches for work to stop again.
 * Such a search changes nothing, so that leaving it out only delays the next.
 */
#define FUTILE_MAX 8
#define FUTILE_PAUSE_US (100 * RJ_US_PER_MS)

/*
 * Prepare a plan without inputs.
 */
void rj_cell_plan_init(struct rj_cell_plan *plan)
{
	memset(plan, 0, sizeof(*plan));
	plan->next_us = RJ_NEVER_US;
	plan->starts =
		g_array_new(FALSE, FALSE, sizeof(struct rj_cell_planned_start));
	plan->stops = g_ptr_array_new();
	plan->racks =
		g_array_new(FALSE, FALSE, sizeof(struct rj_cell_plan_rack));
	plan->ranges =
		g_array_new(FALSE, FALSE, sizeof(struct rj_cell_worker_range));
	plan->needs = g_hash_table_new(g_str_hash, g_str_equal);
	plan->units =
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
	g_array_free(plan->units, TRUE);
	g_array_free(plan->shortages, TRUE);
	g_hash_table_destroy(plan->needs);
	TALLOC_FREE(plan->rooms);
}

/* One task starts there. */
static void add_start(struct rj_cell_plan *plan, struct rj_cell_task *task,
		      struct rj_cell_worker *worker)
{
	struct rj_cell_planned_start choice = { task, worker };
	struct rj_cell_demand used =
		rj_cell_step_allocation(rj_cell_task_step(task));

	g_array_append_val(plan->starts, choice);
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
best_rack(struct rj_cell_plan *plan, const struct rj_cell_task_group *unit,
	  struct rj_cell_task **tasks, uint32_t count,
	  const struct rj_cell_placement_options *way)
{
	const struct rj_cell_plan_rack *best = NULL;
	struct rj_cell_placement best_trial = { .loss_milli = 0 };

	for (guint i = 0; i < plan->racks->len; i++) {
		struct rj_cell_placement_options here = *way;
		struct rj_cell_placement trial;

		here.rack = &g_array_index(plan->racks,
					   struct rj_cell_plan_rack, i);
		if (way->domain && here.rack->domain != way->domain)
			continue;
		rj_cell_placement_init(&trial, plan);
		if (rj_cell_place_group(plan, &trial, unit, tasks, count,
					&here) &&
		    (!best || is_better(&trial, &best_trial))) {
			best = here.rack;
			best_trial.loss_milli = trial.loss_milli;
			best_trial.ready_us = trial.ready_us;
		}
		rj_cell_placement_finish(&trial);
		/* Nothing is better than a place at once and at no loss. */
		if (best && !best_trial.loss_milli && !best_trial.ready_us)
			break;
	}
	return best;
}

/* Try to place a group: within one rack if it should be, and else anywhere
 * once it has waited long enough. */
static bool try_group(struct rj_cell_plan *plan,
		      const struct rj_cell_task_group *unit,
		      struct rj_cell_task **tasks, uint32_t count,
		      const struct rj_cell_placement_options *way,
		      struct rj_cell_placement *trial)
{
	const struct rj_cell_step *step = rj_cell_task_step(tasks[0]);
	struct rj_cell_placement_options chosen = *way;

	if (step->one_rack && count > 1) {
		chosen.rack = best_rack(plan, unit, tasks, count, way);
		if (!chosen.rack && !unit->far)
			return false;
	}
	return rj_cell_place_group(plan, trial, unit, tasks, count, &chosen);
}

/* The failure domain with the least urgent work of those where a group finds
 * its place, or NULL. */
static const struct rj_cell_domain *
best_domain(struct rj_cell_plan *plan, const struct rj_cell_task_group *unit,
	    struct rj_cell_task **tasks, uint32_t count,
	    const struct rj_cell_placement_options *way)
{
	const GPtrArray *domains = plan->fleet->domains;
	const struct rj_cell_domain *best = NULL;

	for (guint i = 0; i < domains->len; i++) {
		const struct rj_cell_domain *domain = domains->pdata[i];
		struct rj_cell_placement_options here = *way;
		struct rj_cell_placement trial;

		if (best && domain->urgent >= best->urgent)
			continue;
		here.domain = domain;
		rj_cell_placement_init(&trial, plan);
		if (try_group(plan, unit, tasks, count, &here, &trial))
			best = domain;
		rj_cell_placement_finish(&trial);
	}
	return best;
}

/* Try one way; when it works out the room is taken, and with RJ_CELL_HORIZON_NOW the
 * tasks start. */
static bool attempt(struct rj_cell_plan *plan,
		    const struct rj_cell_task_group *unit,
		    struct rj_cell_task **tasks, uint32_t count,
		    const struct rj_cell_placement_options *way)
{
	struct rj_cell_placement_options chosen = *way;
	struct rj_cell_placement trial;
	bool placed;

	if (!unit->work->def->priority && way->when == RJ_CELL_HORIZON_NOW)
		chosen.domain = best_domain(plan, unit, tasks, count, way);
	rj_cell_placement_init(&trial, plan);
	placed = try_group(plan, unit, tasks, count, &chosen, &trial);
	for (uint32_t i = 0;
	     placed && way->when == RJ_CELL_HORIZON_NOW && i < count; i++)
		add_start(plan, tasks[i], trial.workers->pdata[i]);
	if (placed)
		rj_cell_placement_commit(&trial);
	rj_cell_placement_finish(&trial);
	return placed;
}

/* Work that urgent tasks may throw away. */
static uint64_t loss_allowed(const struct rj_cell_plan *plan,
			     const struct rj_cell_task_group *unit,
			     uint32_t count)
{
	if (unit->guaranteed &&
	    plan->now_us <=
		    unit->work->accepted_us + plan->reclaim_ms * RJ_US_PER_MS)
		return UINT64_MAX;
	return LOSS_FACTOR *
	       rj_cell_reclaim_group_cost_milli(plan, unit, count);
}

/* Whether all of some tasks weigh workers alike. */
static bool are_plain(const struct rj_cell_plan *plan,
		      struct rj_cell_task **tasks, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		if (!rj_cell_place_is_uniform(plan, tasks[i]))
			return false;
	return true;
}

/* Try to place a group without stopping others, unless others have shown that
 * there is no room. */
static bool attempt_free(struct rj_cell_plan *plan,
			 const struct rj_cell_task_group *unit,
			 struct rj_cell_task **tasks, uint32_t count,
			 enum rj_cell_horizon when)
{
	const struct rj_cell_placement_options way = { .when = when };

	if (rj_cell_shortage_is_known(plan, unit, count, when))
		return false;
	if (attempt(plan, unit, tasks, count, &way))
		return true;
	if (are_plain(plan, tasks, count))
		rj_cell_shortage_record(plan, unit, count, when);
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
static bool attempt_stop(struct rj_cell_plan *plan,
			 const struct rj_cell_task_group *unit,
			 struct rj_cell_task **tasks, uint32_t count,
			 uint64_t max_loss_milli)
{
	const struct rj_cell_placement_options way = {
		.when = RJ_CELL_HORIZON_STOPS,
		.may_preempt = true,
		.max_loss_milli = max_loss_milli
	};

	if (plan->futile >= FUTILE_MAX ||
	    plan->now_us < tasks[0]->search_due_us)
		return false;
	if (attempt(plan, unit, tasks, count, &way))
		return true;
	plan->futile++;
	tasks[0]->search_due_us = plan->now_us + FUTILE_PAUSE_US;
	return false;
}

/* Promise a group what comes free first, if few others have a promise. */
static void promise(struct rj_cell_plan *plan,
		    const struct rj_cell_task_group *unit,
		    struct rj_cell_task **tasks, uint32_t count,
		    uint32_t *promises, uint32_t promises_max)
{
	const struct rj_cell_placement_options later = {
		.when = RJ_CELL_HORIZON_COMPLETIONS
	};

	if (*promises < promises_max &&
	    attempt(plan, unit, tasks, count, &later))
		(*promises)++;
}

/*
 * Find room for urgent tasks that do not fit now: what is stopping already,
 * what has to be stopped; else what ends first.
 */
static void find_urgent(struct rj_cell_plan *plan,
			const struct rj_cell_task_group *unit,
			struct rj_cell_task **tasks, uint32_t count)
{
	if (attempt_free(plan, unit, tasks, count, RJ_CELL_HORIZON_STOPS) ||
	    attempt_stop(plan, unit, tasks, count,
			 loss_allowed(plan, unit, count)))
		return;
	promise(plan, unit, tasks, count, &plan->urgent_promise_count,
		URGENT_PROMISES_MAX);
}

/* Find room for other tasks that do not fit now: once they have waited for a
 * while, what is stopping already or can be stopped at little loss; for gangs
 * what ends first. */
static void find_other(struct rj_cell_plan *plan,
		       const struct rj_cell_task_group *unit,
		       struct rj_cell_task **tasks, uint32_t count)
{
	uint64_t cheap_milli =
		rj_cell_reclaim_group_cost_milli(plan, unit, count) /
		CHEAP_LOSS_PART;

	if (plan->now_us - unit->waiting_us >= CHEAP_WAIT_US &&
	    (attempt_free(plan, unit, tasks, count, RJ_CELL_HORIZON_STOPS) ||
	     attempt_stop(plan, unit, tasks, count, cheap_milli)))
		return;
	if (rj_cell_task_step(tasks[0])->gang)
		promise(plan, unit, tasks, count, &plan->promises,
			PROMISES_MAX);
}

/*
 * Place a group of tasks now; or find room for it that comes free. Returns
 * whether it starts now.
 */
static bool place_tasks(struct rj_cell_plan *plan,
			const struct rj_cell_task_group *unit,
			struct rj_cell_task **tasks, uint32_t count)
{
	if (attempt_free(plan, unit, tasks, count, RJ_CELL_HORIZON_NOW))
		return true;
	if (unit->work->def->priority)
		find_other(plan, unit, tasks, count);
	else
		find_urgent(plan, unit, tasks, count);
	return false;
}

/* How many of the first tasks weigh workers alike, so that they can be placed
 * together though each starts by itself. */
static uint32_t count_plain(const struct rj_cell_plan *plan,
			    const struct rj_cell_task_group *unit,
			    struct rj_cell_task **tasks, uint32_t count)
{
	uint32_t plain = 0;

	if (!unit->work->def->priority)
		return 0;
	while (plain < count && are_plain(plan, &tasks[plain], 1))
		plain++;
	return plain;
}

/*
 * Start those of the first tasks of a unit that find a place now. Returns how
 * many.
 *
 * Load that it answers: wide jobs of small tasks; each task by itself would
 * weigh all workers.
 */
static uint32_t start_plain(struct rj_cell_plan *plan,
			    const struct rj_cell_task_group *unit,
			    struct rj_cell_task **tasks, uint32_t count)
{
	const struct rj_cell_placement_options now = {
		.when = RJ_CELL_HORIZON_NOW
	};
	uint32_t plain = count_plain(plan, unit, tasks, count);
	struct rj_cell_placement trial;
	uint32_t placed;

	if (!plain)
		return 0;
	rj_cell_placement_init(&trial, plan);
	placed = rj_cell_place_uniform(plan, &trial, unit, tasks, plain, &now);
	for (uint32_t i = 0; i < placed; i++)
		add_start(plan, tasks[i], trial.workers->pdata[i]);
	rj_cell_placement_commit(&trial);
	rj_cell_placement_finish(&trial);
	return placed;
}

/* The tasks of a step that wait and that this plan has not started. Returns
 * how many. */
static uint32_t collect_waiting(const struct rj_cell_plan *plan,
				const struct rj_cell_task_group *unit,
				struct rj_cell_task **tasks)
{
	const struct rj_cell_def *def = unit->work->def;
	uint32_t first = rj_cell_def_first_task(def, unit->step);
	uint32_t count = 0;

	for (uint32_t i = first; i < first + def->steps[unit->step].task_count;
	     i++)
		if (rj_cell_plan_task_waits(plan, &unit->round->tasks[i]))
			tasks[count++] = &unit->round->tasks[i];
	return count;
}

/* Place a gang as a whole. */
static void place_gang(struct rj_cell_plan *plan,
		       struct rj_cell_task_group *unit,
		       struct rj_cell_task **tasks, uint32_t count)
{
	if (place_tasks(plan, unit, tasks, count))
		unit->started = count;
	else
		plan->waiting += count;
}

/* Place tasks singly, until one that stands for the others finds no room. */
static void place_singly(struct rj_cell_plan *plan,
			 struct rj_cell_task_group *unit,
			 struct rj_cell_task **tasks, uint32_t count)
{
	uint32_t placed = start_plain(plan, unit, tasks, count);

	unit->started += placed;
	for (uint32_t i = placed; i < count; i++) {
		if (place_tasks(plan, unit, &tasks[i], 1)) {
			unit->started++;
			continue;
		}
		/* That it is choosy says nothing of the others. */
		if (rj_cell_place_needs_healthy(plan, tasks[i])) {
			plan->waiting++;
			continue;
		}
		plan->waiting += count - i;
		if (unit->work->def->priority)
			break;
	}
}

/* Place the waiting tasks of a step. */
static void place_unit(struct rj_cell_plan *plan,
		       struct rj_cell_task_group *unit)
{
	const struct rj_cell_def *def = unit->work->def;
	const struct rj_cell_step *step = &def->steps[unit->step];
	struct rj_cell_task **tasks;
	uint32_t count;

	rj_cell_task_group_set_reserved(plan, unit);
	if (def->priority &&
	    rj_cell_shortage_is_known(plan, unit, 1, RJ_CELL_HORIZON_NOW)) {
		plan->waiting += unit->waiting - unit->started;
		return;
	}
	rj_cell_place_count_step_runs(plan, unit);
	tasks = talloc_array(NULL, struct rj_cell_task *, step->task_count);
	count = collect_waiting(plan, unit, tasks);
	if (step->gang && count)
		place_gang(plan, unit, tasks, count);
	else
		place_singly(plan, unit, tasks, count);
	talloc_free(tasks);
}

/* Start those of some tasks that find a place now. Returns how many. */
static uint32_t start_free(struct rj_cell_plan *plan,
			   const struct rj_cell_task_group *unit,
			   struct rj_cell_task **tasks, uint32_t count)
{
	uint32_t first = start_plain(plan, unit, tasks, count);
	uint32_t started = first;

	for (uint32_t i = first; i < count; i++) {
		if (attempt_free(plan, unit, &tasks[i], 1, RJ_CELL_HORIZON_NOW))
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
static bool place_in_share(struct rj_cell_plan *plan,
			   struct rj_cell_task_group *unit, uint32_t tasks_max)
{
	const struct rj_cell_step *step = &unit->work->def->steps[unit->step];
	struct rj_cell_task **tasks;
	uint32_t count;

	rj_cell_place_count_step_runs(plan, unit);
	tasks = talloc_array(NULL, struct rj_cell_task *, step->task_count);
	count = collect_waiting(plan, unit, tasks);
	if (!step->gang)
		unit->started =
			start_free(plan, unit, tasks, MIN(count, tasks_max));
	else if (attempt_free(plan, unit, tasks, count, RJ_CELL_HORIZON_NOW))
		unit->started = count;
	talloc_free(tasks);
	return unit->started;
}

/*
 * Start overdue work of priorities that hold less than their share.
 *
 * Load that it answers: work that goes first and never ends, and holds or is
 * promised all that comes free; the work behind it would starve.
 */
static void place_shares(struct rj_cell_plan *plan, guint from)
{
	uint32_t futile = 0;

	for (guint i = from; i < plan->units->len && futile < FUTILE_MAX; i++) {
		struct rj_cell_task_group *unit = &g_array_index(
			plan->units, struct rj_cell_task_group, i);
		uint32_t tasks_max = rj_cell_share_free_tasks(
			plan, &unit->work->def->steps[unit->step], unit->work);

		rj_cell_task_group_set_reserved(plan, unit);
		if (unit->overdue && tasks_max &&
		    !rj_cell_shortage_is_known(plan, unit, 1,
					       RJ_CELL_HORIZON_NOW) &&
		    !place_in_share(plan, unit, tasks_max))
			futile++;
	}
}

/* The plan has been made: its starts are told from what waits by their runs. */
static void forget_planned(struct rj_cell_plan *plan)
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
	if (!plan->units->len)
		return;
	rj_cell_plan_gather_workers(plan);
	for (guint i = 0; i < plan->units->len; i++) {
		struct rj_cell_task_group *unit = &g_array_index(
			plan->units, struct rj_cell_task_group, i);

		if (unit->work->def->priority && !shared) {
			place_shares(plan, i);
			shared = true;
		}
		place_unit(plan, unit);
	}
	forget_planned(plan);
}
