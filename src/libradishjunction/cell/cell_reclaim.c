#include <string.h>
#include <talloc.h>

#include "private/cell_place.h"
#include "private/cell_release.h"
#include "private/cell_share.h"

/* An accelerator counts as so many cores when work lost is weighed; so the
 * users price it. */
#define ACCELERATOR_CORES 8
/* Stopping a task that saves its progress loses about its restoring. */
#define RESTORE_LOSS_MS 300
/* Urgent work is stopped last: it is worth so much more a core-second. */
#define URGENT_WEIGHT 10
/* What ends by itself within this is waited for: a stop takes as long. */
#define ENDS_SOON_US (400 * RJ_US_PER_MS)
/* Weighing the runs of a worker takes so many times as long as its room. */
#define VICTIMS_EFFORT 6

/* Thousandths of cores that a task of a step keeps busy. */
static uint64_t cores_milli(const struct rj_cell_step *step)
{
	return step->each.cpu_milli +
	       1000ULL * ACCELERATOR_CORES * step->each.accelerators;
}

/*
 * The work of `count` tasks of a unit, in core-milliseconds.
 */
uint64_t rj_cell_reclaim_group_cost_milli(const struct rj_cell_plan *plan,
					  const struct rj_cell_task_group *unit,
					  uint32_t count)
{
	const struct rj_cell_def *def = unit->work->def;

	return count * cores_milli(&def->steps[unit->step]) *
	       rj_cell_forecast_task_ms(plan->forecast, def, unit->step) / 1000;
}

/* Core-milliseconds of work that stopping one run throws away. */
static uint64_t loss_of(const struct rj_cell_plan *plan,
			const struct rj_cell_run *run)
{
	const struct rj_cell_step *step = rj_cell_task_step(run->task);
	uint64_t lost_ms = (plan->now_us - MIN(plan->now_us, run->begun_us)) /
			   RJ_US_PER_MS;

	if (step->checkpoints && lost_ms > RESTORE_LOSS_MS)
		lost_ms = RESTORE_LOSS_MS;
	return cores_milli(step) * lost_ms / 1000;
}

/* Whether the work of one job gives way to that of a unit: by priority, but
 * for the share that only urgent work may stop; and to guaranteed work also
 * what others have beyond their guarantees. */
static bool gives_way(const struct rj_cell_plan *plan,
		      const struct rj_cell_work *work,
		      const struct rj_cell_task_group *unit)
{
	if (work->def->priority > unit->work->def->priority)
		return !unit->work->def->priority ||
		       !rj_cell_share_protects(plan, work);
	return unit->guaranteed && !work->guaranteed;
}

/* Whether a run may be stopped for the work of a unit. */
static bool may_stop(const struct rj_cell_plan *plan,
		     const struct rj_cell_run *run,
		     const struct rj_cell_task_group *unit)
{
	return run->task && !run->why && run->state != RJ_CELL_RUN_STOPPING &&
	       run->state != RJ_CELL_RUN_INTENDED &&
	       run->state != RJ_CELL_RUN_STARTING &&
	       gives_way(plan, run->task->round->work, unit) &&
	       !rj_cell_task_step(run->task)->perpetual;
}

/*
 * What stopping a run loses, in core-milliseconds; the runs of a gang end
 * together. What has been stopped before counts more each time, so that it
 * ends some day.
 */
uint64_t rj_cell_reclaim_loss(const struct rj_cell_plan *plan,
			      const struct rj_cell_run *run)
{
	const struct rj_cell_step *step;
	uint64_t loss;

	if (!run->task)
		return 0;
	step = rj_cell_task_step(run->task);
	loss = loss_of(plan, run) * (step->gang ? step->task_count : 1);
	loss *= 1 + run->task->losses;
	return run->task->round->work->def->priority ? loss :
						       loss * URGENT_WEIGHT;
}

/* Whether a run may be stopped for a unit, and is not going to be. */
static bool is_candidate(const struct rj_cell_plan *plan,
			 const struct rj_cell_release *release,
			 const struct rj_cell_task_group *unit)
{
	return !release->run->victim && may_stop(plan, release->run, unit);
}

/*
 * The cheapest runs of one worker that make room for `want`, added to
 * `chosen` unless that is NULL. Returns what is lost, or UINT64_MAX when there
 * is no way.
 */
static uint64_t choose_victims(struct rj_cell_plan *plan,
			       const struct rj_cell_task_group *unit,
			       const struct rj_cell_plan_worker *room,
			       const struct rj_cell_demand *want,
			       GPtrArray *chosen)
{
	const struct rj_cell_releases *releases =
		rj_cell_releases_get(plan, room);
	const struct rj_cell_release *end = releases->by_time + releases->count;
	const struct rj_cell_release *at;
	struct rj_cell_demand have = room->soon;
	uint64_t loss_milli = 0;

	for (at = releases->by_time; at < end && at->left_us < ENDS_SOON_US;
	     at++)
		if (is_candidate(plan, at, unit))
			rj_cell_demand_add(&have, &at->run->held);
	end = releases->by_loss + releases->count;
	for (at = releases->by_loss;
	     at < end && !rj_cell_demand_fits(want, &have); at++) {
		if (at->left_us < ENDS_SOON_US || !is_candidate(plan, at, unit))
			continue;
		rj_cell_demand_add(&have, &at->run->held);
		loss_milli += at->loss_milli;
		if (chosen)
			g_ptr_array_add(chosen, at->run);
	}
	return rj_cell_demand_fits(want, &have) ? loss_milli : UINT64_MAX;
}

/* The room of a victim comes free. */
static void free_victim(struct rj_cell_placement *trial,
			struct rj_cell_run *run)
{
	struct rj_cell_plan_worker *room = run->worker->room;

	run->victim = true;
	rj_cell_plan_release_run(trial->plan, run);
	g_ptr_array_add(trial->victims, run);
	if (!room)
		return;
	rj_cell_placement_save_worker(trial, room);
	rj_cell_demand_add(&room->soon, &run->held);
	rj_cell_plan_raise_bounds(trial->plan, room);
}

/* Note one victim and, with it, the other members of its gang. */
static void add_victim(struct rj_cell_placement *trial, struct rj_cell_run *run)
{
	const struct rj_cell_round *round = run->task->round;
	const struct rj_cell_step *step = rj_cell_task_step(run->task);
	uint32_t first = (uint32_t)(run->task - round->tasks);
	uint32_t count = 1;

	if (step->gang) {
		first -= run->task->index;
		count = step->task_count;
	}
	for (uint32_t i = first; i < first + count; i++) {
		struct rj_list *at;
		struct rj_list *next;

		RJ_FOR_EACH (at, next, &round->tasks[i].runs) {
			struct rj_cell_run *member =
				RJ_CONTAINER(at, struct rj_cell_run, in_task);

			if (!member->why &&
			    member->state != RJ_CELL_RUN_STOPPING &&
			    !member->victim)
				free_victim(trial, member);
		}
	}
}

/*
 * Whether enough accelerators of a worker are free or held by work that may
 * give way to a unit; a bound that is cheap to look up.
 */
static bool may_give_way(const struct rj_cell_plan_worker *room,
			 const struct rj_cell_task_group *unit, uint32_t want)
{
	uint32_t sum = room->soon.accelerators;
	uint32_t from = unit->guaranteed ? 0 : unit->work->def->priority + 1;

	/* The last sum is of several priorities. */
	for (uint32_t i = MIN(from, RJ_CELL_PRIORITIES - 1);
	     i < RJ_CELL_PRIORITIES; i++)
		sum += room->worker->held_by[i].accelerators;
	return sum >= want;
}

/*
 * The worker on which making room for a task loses least, or NULL. Its
 * victims are noted in the trial.
 */
struct rj_cell_plan_worker *rj_cell_reclaim_find_worker(
	struct rj_cell_plan *plan, struct rj_cell_placement *trial,
	const struct rj_cell_task_group *unit, struct rj_cell_task *task,
	const struct rj_cell_placement_options *way)
{
	struct rj_cell_demand want =
		rj_cell_step_allocation(rj_cell_task_step(task));
	struct rj_cell_plan_worker *best = NULL;
	struct rj_cell_plan_worker *room;
	struct rj_cell_worker_iterator walk;
	uint64_t left = way->max_loss_milli - trial->loss_milli;
	uint64_t best_loss = left < UINT64_MAX ? left + 1 : left;
	GPtrArray *victims;

	rj_cell_worker_iterator_init(&walk, plan, way, &want);
	while (best_loss && (room = rj_cell_worker_iterator_next(&walk))) {
		uint64_t loss;

		if (!may_give_way(room, unit, want.accelerators) ||
		    !rj_cell_demand_fits(&want, &room->worker->said.capacity) ||
		    !rj_cell_place_is_eligible(plan, room, unit, task, way))
			continue;
		plan->effort += VICTIMS_EFFORT;
		loss = choose_victims(plan, unit, room, &want, NULL);
		if (loss >= best_loss)
			continue;
		best = room;
		best_loss = loss;
	}
	if (!best)
		return NULL;
	victims = g_ptr_array_new();
	(void)choose_victims(plan, unit, best, &want, victims);
	for (guint i = 0; i < victims->len; i++)
		add_victim(trial, victims->pdata[i]);
	g_ptr_array_free(victims, TRUE);
	trial->loss_milli += best_loss;
	return best;
}
