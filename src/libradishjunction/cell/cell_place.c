#include "private/cell_advice.h"
#include "private/cell_candidates.h"
#include "private/cell_place.h"
#include "private/cell_release.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/* Parts of a placement's cost, from the least weight to the greatest. */
#define COST_MEMORY_BITS 32 /* of what would be left over, in MB */
#define COST_MIXED_BIT 50 /* work that serves beside work that fills */
#define COST_UNPROVEN_BIT 49 /* last failed, and so did the task */
#define COST_FAR_BIT 48 /* away from the task's data */
#define COST_COLD_BIT 47 /* on a worker that is slow after its start */
#define COST_RESERVED_BIT 46 /* on the wrong side of what is reserved */

/* Count one run of the step that is being placed at its worker. */
static void count_sibling(const struct rj_cell_run *run)
{
	if (run->worker->room)
		run->worker->room->siblings++;
}

/*
 * Count at each worker the runs of a step of which one worker may have so many.
 *
 * Load that it answers: steps of hundreds of tasks that are to be kept apart;
 * each task would count all of them on each worker.
 */
void rj_cell_place_count_siblings(struct rj_cell_plan *plan,
				  const struct rj_cell_unit *unit)
{
	const struct rj_cell_def *def = unit->work->def;
	uint32_t first = rj_cell_def_first_task(def, unit->step);

	if (!def->steps[unit->step].per_worker_max)
		return;
	for (uint32_t i = 0; i < plan->room_count; i++)
		plan->rooms[i].siblings = 0;
	for (guint i = 0; i < plan->starts->len; i++) {
		const struct rj_cell_choice *choice =
			&g_array_index(plan->starts, struct rj_cell_choice, i);

		if (choice->task->round == unit->round &&
		    choice->task->step == unit->step)
			choice->worker->room->siblings++;
	}
	for (uint32_t i = 0; i < def->steps[unit->step].task_count; i++) {
		const struct rj_list *runs =
			&unit->round->tasks[first + i].runs;
		const struct rj_list *at;

		for (at = runs->next; at != runs; at = at->next)
			count_sibling(
				RJ_CONTAINER(at, struct rj_cell_run, in_task));
	}
}

/* Whether a worker has as many runs of a step as it may. */
static bool has_all_siblings(const struct rj_cell_room *room,
			     const struct rj_cell_step *step)
{
	return step->per_worker_max && room->siblings >= step->per_worker_max;
}

/* Whether a task has no attempt left after the next one. */
static bool is_last_attempt(struct rj_cell_task *task)
{
	const struct rj_cell_task *head = rj_cell_task_head(task);

	return head->failures && !rj_cell_task_step(task)->perpetual &&
	       head->failures + 1 >= task->round->work->def->attempts_max;
}

/*
 * Whether a task has to keep to workers that are known to be sound: it has no
 * attempt left after this one, and workers have begun to fail.
 */
bool rj_cell_place_wants_sound(const struct rj_cell_plan *plan,
			       struct rj_cell_task *task)
{
	return is_last_attempt(task) &&
	       rj_cell_failure_requires_healthy(&plan->failures,
						task->waiting_us, plan->now_us);
}

/* Whether a worker is too likely to fail a task that must not fail. */
static bool is_too_risky(const struct rj_cell_plan *plan,
			 const struct rj_cell_worker *worker,
			 struct rj_cell_task *task)
{
	if (!rj_cell_failure_is_burst(&plan->failures, plan->now_us) ||
	    !is_last_attempt(task))
		return false;
	return worker->bad_streak ||
	       (!rj_cell_failure_is_healthy(&plan->failures,
					    worker->sound_us) &&
		rj_cell_place_wants_sound(plan, task));
}

/*
 * Whether a worker may run a task at all, its room aside.
 */
bool rj_cell_place_may_run(const struct rj_cell_plan *plan,
			   const struct rj_cell_room *room,
			   const struct rj_cell_unit *unit,
			   struct rj_cell_task *task,
			   const struct rj_cell_way *way)
{
	const struct rj_cell_step *step = rj_cell_task_step(task);
	const struct rj_cell_worker *worker = room->worker;

	if (way->domain && worker->domain != way->domain)
		return false;
	if ((room->reserved && !unit->into_reserved) ||
	    (room->exclusive && !unit->into_exclusive))
		return false;
	if (worker->service != unit->service)
		return false;
	if (step->label[0] && strcmp(step->label, worker->said.kind) != 0 &&
	    strcmp(step->label, worker->said.rack) != 0)
		return false;
	if (step->rack[0] && !unit->far &&
	    strcmp(step->rack, worker->said.rack) != 0)
		return false;
	if (plan->now_us < task->avoid_until_us &&
	    !strcmp(task->avoid, worker->id))
		return false;
	if (unit->advised && !rj_cell_advice_ticket(task->round, task->step,
						    worker, plan->now_us))
		return false;
	if (is_too_risky(plan, worker, task))
		return false;
	if (!step->target_ms && plan->now_us < worker->harmed_until_us)
		return false;
	return !has_all_siblings(room, step);
}

/* The bounds on what is free in a range for a way, or NULL where others may be
 * stopped or are waited for. */
static const struct rj_cell_rack_free *
free_for(const struct rj_cell_range *range, const struct rj_cell_way *way)
{
	if (way->stop_others || way->when == RJ_CELL_LATER)
		return NULL;
	return way->when == RJ_CELL_NOW ? &range->now : &range->soon;
}

/* Whether a range is allowed, and may hold one task that wants so much. */
static bool may_hold_one(const struct rj_cell_range *range,
			 const struct rj_cell_way *way,
			 const struct rj_cell_demand *want)
{
	const struct rj_cell_rack_free *have = free_for(range, way);

	if (way->domain && range->domain && range->domain != way->domain)
		return false;
	return !have || rj_cell_demand_fits(want, &have->most);
}

/*
 * Begin a walk over the rooms that a way allows, those of a rack or all, for
 * tasks that want so much each. `way` must outlast it.
 */
void rj_cell_walk_init(struct rj_cell_walk *walk, struct rj_cell_plan *plan,
		       const struct rj_cell_way *way,
		       const struct rj_cell_demand *want)
{
	memset(walk, 0, sizeof(*walk));
	walk->plan = plan;
	walk->way = way;
	walk->want = *want;
	walk->range = way->rack ? way->rack->range : 0;
	walk->ranges_end = way->rack ? walk->range + 1 : plan->ranges->len;
}

/*
 * The next room, in the order of the plan's rooms, or NULL at the end.
 */
struct rj_cell_room *rj_cell_walk_next(struct rj_cell_walk *walk)
{
	while (walk->room == walk->end) {
		const struct rj_cell_range *range;

		if (walk->range >= walk->ranges_end)
			return NULL;
		range = &g_array_index(walk->plan->ranges, struct rj_cell_range,
				       walk->range++);
		if (!may_hold_one(range, walk->way, &walk->want))
			continue;
		walk->room = walk->plan->rooms + range->first;
		walk->end = walk->room + range->count;
		walk->plan->effort += range->count;
	}
	return walk->room++;
}

/*
 * Whether the rooms that a way allows may hold `count` tasks that want so much
 * each, by bounds that are cheap to look up.
 *
 * Load that it answers: a full site with a backlog of gangs, each of which
 * would weigh all workers for each of its members in each plan.
 */
bool rj_cell_place_may_hold(const struct rj_cell_plan *plan,
			    const struct rj_cell_way *way,
			    const struct rj_cell_demand *want, uint32_t count)
{
	uint64_t wanted = (uint64_t)want->accelerators * count;
	guint first = way->rack ? way->rack->range : 0;
	guint end = way->rack ? first + 1 : plan->ranges->len;
	uint64_t sum = 0;

	for (guint i = first; i < end; i++) {
		const struct rj_cell_range *range =
			&g_array_index(plan->ranges, struct rj_cell_range, i);
		const struct rj_cell_rack_free *have = free_for(range, way);

		if (!have)
			return true;
		if (!may_hold_one(range, way, want))
			continue;
		sum += have->accelerators;
		if (sum >= wanted)
			return true;
	}
	return false;
}

/*
 * Whether a worker may fail a task that had better not fail: one that has
 * failed before, or a member of a gang while workers begin to fail. Then a
 * worker is good that has started something since and did not fail it.
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
	       !rj_cell_failure_is_healthy(&plan->failures, worker->sound_us);
}

/*
 * What placing a task on a worker costs. Accelerators that would be left over come first, so that
 * small tasks fill workers that are in use already and whole workers stay
 * free for gangs; then memory, of which the large tasks need half a worker.
 * Data that is far away outweighs these, and urgent work goes to what is
 * reserved for it before it takes other workers. Workers that are slow after
 * their start come after all that are not. A task that has failed goes, if it
 * can, where the last run did not fail: a worker that fails all it starts has
 * room again at once, and would use up the task's attempts. What serves users
 * within a bound and what fills the room beside it disturb each other, so
 * they share a worker only where there is no other.
 */
static uint64_t placement_cost(const struct rj_cell_plan *plan,
			       const struct rj_cell_room *room,
			       const struct rj_cell_unit *unit,
			       struct rj_cell_task *task,
			       const struct rj_cell_demand *have)
{
	const struct rj_cell_step *step = rj_cell_task_step(task);
	uint64_t left = have->accelerators - step->each.accelerators;
	bool far = step->rack[0] && strcmp(step->rack, room->worker->said.rack);
	bool unproven = is_unproven(plan, room->worker, task);
	bool wrong_side = room->reserved != !unit->work->def->priority;
	bool cold = plan->now_us < room->worker->cold_until_us;
	bool mixed = step->target_ms ? room->filling : room->serving;

	return ((uint64_t)mixed << COST_MIXED_BIT) |
	       ((uint64_t)unproven << COST_UNPROVEN_BIT) |
	       ((uint64_t)far << COST_FAR_BIT) |
	       ((uint64_t)cold << COST_COLD_BIT) |
	       ((uint64_t)wrong_side << COST_RESERVED_BIT) |
	       (left << COST_MEMORY_BITS) |
	       (have->memory_mb - step->each.memory_mb);
}

/* The best room for one task in what is free now or soon, or NULL. */
static struct rj_cell_room *best_fit(struct rj_cell_plan *plan,
				     const struct rj_cell_unit *unit,
				     struct rj_cell_task *task,
				     const struct rj_cell_way *way)
{
	struct rj_cell_demand want =
		rj_cell_step_counted(rj_cell_task_step(task));
	struct rj_cell_room *best = NULL;
	struct rj_cell_room *room;
	struct rj_cell_walk walk;
	uint64_t best_cost = 0;

	rj_cell_walk_init(&walk, plan, way, &want);
	while ((room = rj_cell_walk_next(&walk))) {
		const struct rj_cell_demand *have =
			way->when == RJ_CELL_NOW ? &room->now : &room->soon;
		uint64_t cost;

		if (!rj_cell_demand_fits(&want, have) ||
		    !rj_cell_place_may_run(plan, room, unit, task, way))
			continue;
		cost = placement_cost(plan, room, unit, task, have);
		if (best && cost >= best_cost)
			continue;
		best = room;
		best_cost = cost;
	}
	return best;
}

/*
 * In how long a worker will have room for `want` beside what is promised
 * there, if nothing else starts on it; RJ_NEVER_US when it never will.
 */
static uint64_t ready_in_us(struct rj_cell_plan *plan,
			    const struct rj_cell_room *room,
			    const struct rj_cell_demand *want)
{
	struct rj_cell_demand need = *want;
	struct rj_cell_demand have = room->soon;
	const struct rj_cell_releases *releases;
	uint64_t ready_us = 0;

	rj_cell_demand_give(&need, &room->promised);
	if (rj_cell_demand_fits(&need, &have))
		return 0;
	if (!rj_cell_demand_fits(&need, &room->worker->said.capacity))
		return RJ_NEVER_US;
	releases = rj_cell_releases_of(plan, room);
	for (uint32_t i = 0;
	     i < releases->count && !rj_cell_demand_fits(&need, &have); i++) {
		const struct rj_cell_release *release = &releases->by_time[i];

		/* The room of a victim is counted as free already. */
		if (release->run->victim || release->run->why)
			continue;
		rj_cell_demand_give(&have, &release->run->held);
		ready_us = release->left_us;
	}
	return rj_cell_demand_fits(&need, &have) ? ready_us : RJ_NEVER_US;
}

/* The room that comes free first for one task, or NULL. */
static struct rj_cell_room *first_ready(struct rj_cell_plan *plan,
					struct rj_cell_trial *trial,
					const struct rj_cell_unit *unit,
					struct rj_cell_task *task,
					const struct rj_cell_way *way)
{
	struct rj_cell_demand want =
		rj_cell_step_counted(rj_cell_task_step(task));
	struct rj_cell_room *best = NULL;
	struct rj_cell_room *room;
	struct rj_cell_walk walk;
	uint64_t best_us = RJ_NEVER_US;

	rj_cell_walk_init(&walk, plan, way, &want);
	while ((room = rj_cell_walk_next(&walk))) {
		uint64_t ready_us;

		if (!rj_cell_place_may_run(plan, room, unit, task, way))
			continue;
		ready_us = ready_in_us(plan, room, &want);
		if (ready_us >= best_us)
			continue;
		best = room;
		best_us = ready_us;
	}
	if (best && best_us > trial->ready_us)
		trial->ready_us = best_us;
	return best;
}

/* Take the room of one task; what is not free yet is promised. */
static void take_room(struct rj_cell_room *room,
		      const struct rj_cell_step *step, enum rj_cell_when when)
{
	struct rj_cell_demand want = rj_cell_step_counted(step);

	if (when == RJ_CELL_LATER)
		rj_cell_demand_give(&room->promised, &want);
	else
		rj_cell_demand_take(&room->soon, &want);
	rj_cell_demand_take(&room->now, &want);
	room->siblings++;
	if (step->target_ms)
		room->serving++;
	else
		room->filling++;
}

/*
 * Begin a trial.
 */
void rj_cell_trial_init(struct rj_cell_trial *trial, struct rj_cell_plan *plan)
{
	memset(trial, 0, sizeof(*trial));
	trial->plan = plan;
	trial->changes = g_array_new(FALSE, FALSE, sizeof(struct rj_cell_room));
	trial->workers = g_ptr_array_new();
	trial->victims = g_ptr_array_new();
}

/*
 * A room is about to be changed by a trial.
 */
void rj_cell_trial_change(struct rj_cell_trial *trial,
			  struct rj_cell_room *room)
{
	g_array_append_val(trial->changes, *room);
}

/*
 * End a trial: what has not been taken is undone.
 */
void rj_cell_trial_finish(struct rj_cell_trial *trial)
{
	for (guint i = trial->changes->len; i > 0; i--) {
		const struct rj_cell_room *before = &g_array_index(
			trial->changes, struct rj_cell_room, i - 1);

		*before->worker->room = *before;
	}
	for (guint i = 0; i < trial->victims->len; i++) {
		struct rj_cell_run *run = trial->victims->pdata[i];

		run->victim = false;
		rj_cell_plan_retain(trial->plan, run);
	}
	g_array_free(trial->changes, TRUE);
	g_ptr_array_free(trial->workers, TRUE);
	g_ptr_array_free(trial->victims, TRUE);
}

/*
 * Whether what decides on a task's worker is the same for all tasks of its
 * step, or of its gang: it keeps off no worker, and is in no danger of using
 * up its attempts.
 */
bool rj_cell_place_is_plain(const struct rj_cell_plan *plan,
			    struct rj_cell_task *task)
{
	return plan->now_us >= task->avoid_until_us &&
	       !rj_cell_task_head(task)->failures;
}

/* Whether all of a group's tasks weigh workers alike. */
static bool are_alike(const struct rj_cell_plan *plan,
		      struct rj_cell_task **tasks, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		if (!rj_cell_place_is_plain(plan, tasks[i]))
			return false;
	return true;
}

/* What placing one more of some tasks in a room costs, or RJ_NEVER_US where it
 * cannot be placed there. */
static uint64_t cost_of(struct rj_cell_plan *plan, struct rj_cell_room *room,
			const struct rj_cell_unit *unit,
			struct rj_cell_task *task,
			const struct rj_cell_demand *want,
			const struct rj_cell_way *way)
{
	const struct rj_cell_demand *have =
		way->when == RJ_CELL_NOW ? &room->now : &room->soon;

	if (has_all_siblings(room, rj_cell_task_step(task)))
		return RJ_NEVER_US;
	if (way->when == RJ_CELL_LATER)
		return ready_in_us(plan, room, want);
	if (!rj_cell_demand_fits(want, have))
		return RJ_NEVER_US;
	return placement_cost(plan, room, unit, task, have);
}

/*
 * Try to place tasks that weigh workers alike, as many as find a place.
 * Returns how many do. They go where they would go one by one: a room that has
 * taken one only changes its own cost.
 */
uint32_t rj_cell_place_alike(struct rj_cell_plan *plan,
			     struct rj_cell_trial *trial,
			     const struct rj_cell_unit *unit,
			     struct rj_cell_task **tasks, uint32_t count,
			     const struct rj_cell_way *way)
{
	const struct rj_cell_step *step = rj_cell_task_step(tasks[0]);
	struct rj_cell_demand want = rj_cell_step_counted(step);
	struct rj_cell_candidates candidates;
	struct rj_cell_walk walk;
	struct rj_cell_room *room;
	uint32_t placed = 0;

	assert(!way->stop_others);
	rj_cell_candidates_init(&candidates);
	rj_cell_walk_init(&walk, plan, way, &want);
	while ((room = rj_cell_walk_next(&walk))) {
		uint64_t cost = cost_of(plan, room, unit, tasks[0], &want, way);

		if (cost != RJ_NEVER_US &&
		    rj_cell_place_may_run(plan, room, unit, tasks[0], way))
			rj_cell_candidates_push(&candidates, cost, room);
	}
	while (placed < count) {
		struct rj_cell_candidate best =
			rj_cell_candidates_pop(&candidates);
		uint64_t cost;

		if (!best.room)
			break;
		if (way->when == RJ_CELL_LATER && best.cost > trial->ready_us)
			trial->ready_us = best.cost;
		rj_cell_trial_change(trial, best.room);
		take_room(best.room, step, way->when);
		g_ptr_array_add(trial->workers, best.room->worker);
		placed++;
		cost = cost_of(plan, best.room, unit, tasks[0], &want, way);
		if (cost != RJ_NEVER_US)
			rj_cell_candidates_push(&candidates, cost, best.room);
	}
	rj_cell_candidates_finish(&candidates);
	return placed;
}

/*
 * Try to place all of `tasks`. Returns whether all of them have a place.
 */
bool rj_cell_place_group(struct rj_cell_plan *plan, struct rj_cell_trial *trial,
			 const struct rj_cell_unit *unit,
			 struct rj_cell_task **tasks, uint32_t count,
			 const struct rj_cell_way *way)
{
	struct rj_cell_demand want =
		rj_cell_step_counted(rj_cell_task_step(tasks[0]));

	if (!rj_cell_place_may_hold(plan, way, &want, count))
		return false;
	if (count > 1 && !way->stop_others && are_alike(plan, tasks, count))
		return rj_cell_place_alike(plan, trial, unit, tasks, count,
					   way) == count;
	for (uint32_t i = 0; i < count; i++) {
		struct rj_cell_room *room =
			way->when == RJ_CELL_LATER ?
				first_ready(plan, trial, unit, tasks[i], way) :
				best_fit(plan, unit, tasks[i], way);

		if (!room && way->stop_others)
			room = rj_cell_reclaim_room(plan, trial, unit, tasks[i],
						    way);
		if (!room || trial->loss_milli > way->loss_max_milli)
			return false;
		rj_cell_trial_change(trial, room);
		take_room(room, rj_cell_task_step(tasks[i]), way->when);
		g_ptr_array_add(trial->workers, room->worker);
	}
	return true;
}

/*
 * Keep what a trial has changed, and list its victims, which the owner has to
 * stop.
 */
void rj_cell_trial_take(struct rj_cell_trial *trial)
{
	g_array_set_size(trial->changes, 0);
	for (guint i = 0; i < trial->victims->len; i++) {
		struct rj_cell_run *run = trial->victims->pdata[i];

		run->victim = false;
		run->why = RJ_CELL_WHY_RECLAIMED;
		g_ptr_array_add(trial->plan->stops, run);
	}
	g_ptr_array_set_size(trial->victims, 0);
}
