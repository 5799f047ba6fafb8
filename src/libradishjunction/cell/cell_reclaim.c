#include <string.h>
#include <talloc.h>

#include "private/cell_place.h"
#include "private/cell_release.h"
#include "private/cell_share.h"

/* An accelerator counts as so many cores when work lost is weighed; so the
 * users price it. */
#define ACCELERATOR_CORES 8
/* Stopping a task that saves its progress loses about its restoring. */
#define CHECKPOINT_RESTORE_MS 300
/* Urgent work is stopped last: it is worth so much more a core-second. */
#define URGENT_LOSS_FACTOR 10
/* What ends by itself within this is waited for: a stop takes as long. */
#define PREEMPTION_DELAY_US (400 * RJ_US_PER_MS)
/* Weighing the runs of a worker takes so many times as long as its room. */
#define CHOOSE_VICTIMS_EFFORT 6

/* Thousandths of cores that a task of a step keeps busy. */
static uint64_t cores_milli(const struct rj_cell_step *step)
{
	return step->each.cpu_milli +
	       1000ULL * ACCELERATOR_CORES * step->each.accelerators;
}

/*
 * The work of `count` tasks of a unit, in core-milliseconds.
 */
uint64_t
rj_cell_reclaim_group_cost_milli(const struct rj_cell_plan *plan,
				 const struct rj_cell_task_group *group,
				 uint32_t count)
{
	const struct rj_cell_def *spec = group->work->def;

	return count * cores_milli(&spec->steps[group->step]) *
	       rj_cell_forecast_task_ms(plan->forecast, spec, group->step) /
	       1000;
}

/* Core-milliseconds of work that stopping one run throws away. */
static uint64_t run_loss_milli(const struct rj_cell_plan *plan,
			       const struct rj_cell_run *run)
{
	const struct rj_cell_step *step = rj_cell_task_step(run->task);
	uint64_t elapsed_ms =
		(plan->now_us - MIN(plan->now_us, run->begun_us)) /
		RJ_US_PER_MS;

	if (step->checkpoints && elapsed_ms > CHECKPOINT_RESTORE_MS)
		elapsed_ms = CHECKPOINT_RESTORE_MS;
	return cores_milli(step) * elapsed_ms / 1000;
}

/* Whether the work of one job gives way to that of a unit: by priority, but
 * for the share that only urgent work may stop; and to guaranteed work also
 * what others have beyond their guarantees. */
static bool yields_to(const struct rj_cell_plan *plan,
		      const struct rj_cell_work *work,
		      const struct rj_cell_task_group *group)
{
	if (work->def->priority > group->work->def->priority)
		return !group->work->def->priority ||
		       !rj_cell_share_protects(plan, work);
	return group->guaranteed && !work->guaranteed;
}

/* Whether a run may be stopped for the work of a unit. */
static bool is_preemptible(const struct rj_cell_plan *plan,
			   const struct rj_cell_run *run,
			   const struct rj_cell_task_group *group)
{
	return run->task && !run->why && run->state != RJ_CELL_RUN_STOPPING &&
	       run->state != RJ_CELL_RUN_INTENDED &&
	       run->state != RJ_CELL_RUN_STARTING &&
	       yields_to(plan, run->task->round->work, group) &&
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
	uint64_t loss_milli;

	if (!run->task)
		return 0;
	step = rj_cell_task_step(run->task);
	loss_milli =
		run_loss_milli(plan, run) * (step->gang ? step->task_count : 1);
	loss_milli *= 1 + run->task->losses;
	return run->task->round->work->def->priority ?
		       loss_milli :
		       loss_milli * URGENT_LOSS_FACTOR;
}

/* Whether a run may be stopped for a unit, and is not going to be. */
static bool is_candidate(const struct rj_cell_plan *plan,
			 const struct rj_cell_release *release,
			 const struct rj_cell_task_group *group)
{
	return !release->run->victim &&
	       is_preemptible(plan, release->run, group);
}

/*
 * The cheapest runs of one worker that make room for `want`, added to
 * `chosen` unless that is NULL. Returns what is lost, or UINT64_MAX when there
 * is no way.
 */
static uint64_t choose_victims(struct rj_cell_plan *plan,
			       const struct rj_cell_task_group *group,
			       const struct rj_cell_plan_worker *plan_worker,
			       const struct rj_cell_demand *demand,
			       GPtrArray *chosen)
{
	const struct rj_cell_releases *releases =
		rj_cell_releases_get(plan, plan_worker);
	const struct rj_cell_release *releases_end =
		releases->by_time + releases->count;
	const struct rj_cell_release *release;
	struct rj_cell_demand available = plan_worker->free_after_stops;
	uint64_t loss_milli = 0;

	for (release = releases->by_time;
	     release < releases_end &&
	     release->remaining_us < PREEMPTION_DELAY_US;
	     release++)
		if (is_candidate(plan, release, group))
			rj_cell_demand_add(&available, &release->run->held);
	releases_end = releases->by_loss + releases->count;
	for (release = releases->by_loss;
	     release < releases_end && !rj_cell_demand_fits(demand, &available);
	     release++) {
		if (release->remaining_us < PREEMPTION_DELAY_US ||
		    !is_candidate(plan, release, group))
			continue;
		rj_cell_demand_add(&available, &release->run->held);
		loss_milli += release->loss_milli;
		if (chosen)
			g_ptr_array_add(chosen, release->run);
	}
	return rj_cell_demand_fits(demand, &available) ? loss_milli :
							 UINT64_MAX;
}

/* The room of a victim comes free. */
static void free_victim(struct rj_cell_placement *placement,
			struct rj_cell_run *run)
{
	struct rj_cell_plan_worker *plan_worker = run->worker->plan_worker;

	run->victim = true;
	rj_cell_plan_release_run(placement->plan, run);
	g_ptr_array_add(placement->victims, run);
	if (!plan_worker)
		return;
	rj_cell_placement_save_worker(placement, plan_worker);
	rj_cell_demand_add(&plan_worker->free_after_stops, &run->held);
	rj_cell_plan_raise_bounds(placement->plan, plan_worker);
}

/* Note one victim and, with it, the other members of its gang. */
static void add_victim(struct rj_cell_placement *placement,
		       struct rj_cell_run *run)
{
	const struct rj_cell_round *occurrence = run->task->round;
	const struct rj_cell_step *step = rj_cell_task_step(run->task);
	uint32_t first = (uint32_t)(run->task - occurrence->tasks);
	uint32_t count = 1;

	if (step->gang) {
		first -= run->task->index;
		count = step->task_count;
	}
	for (uint32_t i = first; i < first + count; i++) {
		struct rj_list *release;
		struct rj_list *next;

		RJ_FOR_EACH (release, next, &occurrence->tasks[i].runs) {
			struct rj_cell_run *member = RJ_CONTAINER(
				release, struct rj_cell_run, in_task);

			if (!member->why &&
			    member->state != RJ_CELL_RUN_STOPPING &&
			    !member->victim)
				free_victim(placement, member);
		}
	}
}

/*
 * Whether enough accelerators of a worker are free or held by work that may
 * give way to a unit; a bound that is cheap to look up.
 */
static bool may_reclaim(const struct rj_cell_plan_worker *plan_worker,
			const struct rj_cell_task_group *group, uint32_t demand)
{
	uint32_t sum = plan_worker->free_after_stops.accelerators;
	uint32_t from = group->guaranteed ? 0 : group->work->def->priority + 1;

	/* The last sum is of several priorities. */
	for (uint32_t i = MIN(from, RJ_CELL_PRIORITIES - 1);
	     i < RJ_CELL_PRIORITIES; i++)
		sum += plan_worker->worker->held_by[i].accelerators;
	return sum >= demand;
}

/*
 * The worker on which making room for a task loses least, or NULL. Its
 * victims are noted in the trial.
 */
struct rj_cell_plan_worker *rj_cell_reclaim_find_worker(
	struct rj_cell_plan *plan, struct rj_cell_placement *placement,
	const struct rj_cell_task_group *group, struct rj_cell_task *task,
	const struct rj_cell_placement_options *options)
{
	struct rj_cell_demand demand =
		rj_cell_step_allocation(rj_cell_task_step(task));
	struct rj_cell_plan_worker *best = NULL;
	struct rj_cell_plan_worker *plan_worker;
	struct rj_cell_worker_iterator iterator;
	uint64_t budget_milli = options->max_loss_milli - placement->loss_milli;
	uint64_t best_loss_milli =
		budget_milli < UINT64_MAX ? budget_milli + 1 : budget_milli;
	GPtrArray *victims;

	rj_cell_worker_iterator_init(&iterator, plan, options, &demand);
	while (best_loss_milli &&
	       (plan_worker = rj_cell_worker_iterator_next(&iterator))) {
		uint64_t loss_milli;

		if (!may_reclaim(plan_worker, group, demand.accelerators) ||
		    !rj_cell_demand_fits(&demand,
					 &plan_worker->worker->said.capacity) ||
		    !rj_cell_place_is_eligible(plan, plan_worker, group, task,
					       options))
			continue;
		plan->effort += CHOOSE_VICTIMS_EFFORT;
		loss_milli =
			choose_victims(plan, group, plan_worker, &demand, NULL);
		if (loss_milli >= best_loss_milli)
			continue;
		best = plan_worker;
		best_loss_milli = loss_milli;
	}
	if (!best)
		return NULL;
	victims = g_ptr_array_new();
	(void)choose_victims(plan, group, best, &demand, victims);
	for (guint i = 0; i < victims->len; i++)
		add_victim(placement, victims->pdata[i]);
	g_ptr_array_free(victims, TRUE);
	placement->loss_milli += best_loss_milli;
	return best;
}
