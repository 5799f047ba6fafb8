#include <string.h>
#include <talloc.h>

#include "private/cell_place.h"
#include "private/cell_preemption.h"
#include "private/cell_release.h"
#include "private/cell_share.h"

/* Cores that an accelerator counts as in lost work, by the users' prices. */
#define ACCELERATOR_CORES 8
/* Urgent runs are preempted last: a core-second of theirs is worth this many
 * times as much. */
#define URGENT_LOSS_WEIGHT 10
/* Among them, those of jobs that still have to begin within their bound are
 * preempted last: they may have to start again in the time that is left. */
#define BOUND_AHEAD_LOSS_WEIGHT 10
/* Runs of accounts over their share are preempted before others: for that choice
 * their loss counts as one part in this many. */
#define OVER_SHARE_LOSS_DIVISOR 2
/* Runs expected to complete within this are waited for: stopping a run takes as
 * long. */
#define PREEMPTION_DELAY_US (400 * RJ_US_PER_MS)
/* A task of a job that is too late to be of use is stopped at no loss only while
 * it has lost fewer runs than this. Otherwise it could be stopped for ever. */
#define EXPIRED_LOSSES_MAX 3
/* Cost of choosing victims on a worker, relative to evaluating it. */
#define CHOOSE_VICTIMS_EFFORT 6

/* Returns the cores that one task of a step uses, in thousandths. */
static uint64_t cores_milli(const struct rj_cell_step *step)
{
	return step->each.cpu_milli +
	       1000ULL * ACCELERATOR_CORES * step->each.accelerators;
}

/*
 * Returns the expected work of `count` tasks of a group, in core-milliseconds.
 */
uint64_t
rj_cell_reclaim_group_cost_milli(const struct rj_cell_plan *plan,
				 const struct rj_cell_task_group *group,
				 uint32_t count)
{
	const struct rj_cell_job_spec *spec = group->job->job_spec;

	return count * cores_milli(&spec->steps[group->step]) *
	       rj_cell_forecast_task_ms(plan->forecast, spec, group->step) /
	       1000;
}

/* Returns the work discarded by stopping one run, in core-milliseconds. */
static uint64_t run_loss_milli(const struct rj_cell_plan *plan,
			       const struct rj_cell_run *run)
{
	const struct rj_cell_step *step = rj_cell_task_step(run->task);

	return cores_milli(step) * rj_cell_preemption_lost_ms(plan, run) / 1000;
}

/*
 * Whether a run holds capacity of which nobody has a use: its job is too late,
 * neither guaranteed its capacity nor run at set times, and the task has not
 * been stopped too often.
 */
static bool is_expired(const struct rj_cell_plan *plan,
		       const struct rj_cell_run *run)
{
	const struct rj_cell_job *job = run->task->occurrence->job;

	return plan->features.admission_forecast &&
	       plan->now_us > job->late_us && !job->guaranteed &&
	       !job->job_spec->repeats &&
	       !rj_cell_task_step(run->task)->perpetual &&
	       run->task->losses < EXPIRED_LOSSES_MAX;
}

/* Counts a run if it is expired, and adds its accelerators to its worker's
 * sum. */
static void add_expired(struct rj_cell_run *run, void *private_data)
{
	struct rj_cell_plan *plan = private_data;

	if (!run->worker->plan_worker || run->state == RJ_CELL_RUN_STOPPING ||
	    !is_expired(plan, run))
		return;
	plan->expired_runs++;
	run->worker->plan_worker->expired_accelerators +=
		run->allocated.accelerators;
}

/*
 * Counts the runs that hold capacity for nothing, and sums up their accelerators
 * for each worker.
 *
 * Guards against long plans: without the sum every worker would have to be
 * evaluated for such runs.
 */
void rj_cell_reclaim_sum_expired(struct rj_cell_plan *plan)
{
	const struct rj_list *at;

	if (!plan->features.admission_forecast)
		return;
	for (at = plan->jobs->next; at != plan->jobs; at = at->next) {
		const struct rj_cell_job *job =
			RJ_CONTAINER(at, struct rj_cell_job, link);

		if (plan->now_us > job->late_us && job->started)
			rj_cell_job_each_run(job, add_expired, plan);
	}
}

/* Whether a job may be preempted for a group: if its priority is lower, except
 * that only urgent groups preempt a priority below its share. Guaranteed groups
 * also preempt jobs beyond their accounts' guarantees. */
static bool yields_to(const struct rj_cell_plan *plan,
		      const struct rj_cell_job *job,
		      const struct rj_cell_task_group *group)
{
	if (job->job_spec->priority > group->job->job_spec->priority)
		return !group->job->job_spec->priority ||
		       !rj_cell_share_protects(plan, job);
	return group->guaranteed && !job->guaranteed;
}

/* Whether a task has a run that is at work: fully started, on a worker that
 * answers, and not to be stopped. */
static bool is_at_work(const struct rj_cell_task *task)
{
	const struct rj_list *at;

	for (at = task->runs.next; at != &task->runs; at = at->next) {
		const struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_task);

		if (run->state == RJ_CELL_RUN_LISTED && !run->victim &&
		    run->percent >= RJ_CELL_PERCENT_ALL && run->worker->answers)
			return true;
	}
	return false;
}

/*
 * Whether a perpetual run may be stopped, beside `others` that are chosen
 * already. Of a step that states how many of its tasks may be unavailable at
 * once, no more than that are.
 */
static bool may_miss(struct rj_cell_plan *plan, const struct rj_cell_run *run,
		     uint32_t others)
{
	const struct rj_cell_step *step = rj_cell_task_step(run->task);
	const struct rj_cell_task *first = run->task - run->task->index;
	uint32_t away = others;

	if (!step->may_miss)
		return true;
	if (!is_at_work(run->task))
		return true; /* it is away already */
	plan->effort += step->task_count;
	for (uint32_t i = 0; i < step->task_count; i++)
		away += !is_at_work(&first[i]);
	return away < step->may_miss;
}

/*
 * Whether a run may be stopped for a group, beside `others` of its worker.
 * Perpetual runs are stopped for guaranteed groups alone: these hold at all
 * times, and nothing else would ever end there.
 */
static bool is_preemptible(struct rj_cell_plan *plan,
			   const struct rj_cell_run *run,
			   const struct rj_cell_task_group *group,
			   uint32_t others)
{
	return run->task && !run->reason &&
	       run->state != RJ_CELL_RUN_STOPPING &&
	       run->state != RJ_CELL_RUN_INTENDED &&
	       run->state != RJ_CELL_RUN_STARTING &&
	       ((yields_to(plan, run->task->occurrence->job, group) &&
		 !rj_cell_preemption_protects(plan, run, group)) ||
		(is_expired(plan, run) && !group->expired)) &&
	       (!rj_cell_task_step(run->task)->perpetual ||
		(group->guaranteed && may_miss(plan, run, others)));
}

/*
 * Returns the loss of stopping a run in core-milliseconds, over all members of
 * a gang, as they stop together. Each run of the task that was stopped or
 * lost raises it, so that a task is not preempted again and again. A run that
 * is too late to be of use is stopped at no loss.
 */
uint64_t rj_cell_reclaim_loss(const struct rj_cell_plan *plan,
			      const struct rj_cell_run *run)
{
	const struct rj_cell_step *step;
	const struct rj_cell_job *job;
	uint64_t loss_milli;

	if (!run->task || is_expired(plan, run))
		return 0;
	job = run->task->occurrence->job;
	step = rj_cell_task_step(run->task);
	loss_milli =
		run_loss_milli(plan, run) * (step->gang ? step->task_count : 1);
	loss_milli *= 1 + run->task->losses;
	if (!job->job_spec->priority)
		loss_milli *= URGENT_LOSS_WEIGHT;
	if (rj_cell_guarantees_bound_is_ahead(plan->guarantees, job,
					      plan->now_us))
		loss_milli *= BOUND_AHEAD_LOSS_WEIGHT;
	return loss_milli;
}

/*
 * Returns the loss of stopping a run, for the choice among victims.
 */
uint64_t rj_cell_reclaim_order(const struct rj_cell_run *run,
			       uint64_t loss_milli)
{
	return run->task && rj_cell_job_over_share(run->task->occurrence->job) ?
		       loss_milli / OVER_SHARE_LOSS_DIVISOR :
		       loss_milli;
}

/* Whether a run may be stopped for a group, beside `others` of its worker, and is
 * not a victim yet. */
static bool is_candidate(struct rj_cell_plan *plan,
			 const struct rj_cell_release *release,
			 const struct rj_cell_task_group *group,
			 uint32_t others)
{
	return !release->run->victim &&
	       is_preemptible(plan, release->run, group, others);
}

/* Cost of making room on one worker, in core-milliseconds; both UINT64_MAX if
 * that is not possible. */
struct stop_cost {
	uint64_t loss_milli; /* that counts against the limit of a placement */
	uint64_t order_milli; /* by which workers are compared */
};

/*
 * Returns up to which remaining time a run is waited for rather than stopped for
 * a group.
 *
 * Guards against guaranteed jobs that begin late: a run that is always expected
 * to complete soon would be waited for again and again.
 */
static uint64_t max_wait_us(const struct rj_cell_task_group *group)
{
	return group->bound_near ? 0 : PREEMPTION_DELAY_US;
}

/*
 * Chooses the runs of one worker whose stop frees `demand` at the least cost,
 * and adds them to `chosen` unless that is NULL. Runs about to complete are
 * waited for at no loss, see max_wait_us.
 */
static struct stop_cost
choose_victims(struct rj_cell_plan *plan,
	       const struct rj_cell_task_group *group,
	       const struct rj_cell_plan_worker *plan_worker,
	       const struct rj_cell_demand *demand, GPtrArray *chosen)
{
	const struct rj_cell_releases *releases =
		rj_cell_releases_get(plan, plan_worker);
	const struct rj_cell_release *releases_end =
		releases->by_time + releases->count;
	const struct rj_cell_release *release;
	struct rj_cell_demand available = plan_worker->free_after_stops;
	struct stop_cost cost = { 0, 0 };
	uint32_t perpetual = 0; /* chosen runs */

	for (release = releases->by_time;
	     release < releases_end &&
	     release->remaining_us < max_wait_us(group);
	     release++)
		if (is_candidate(plan, release, group, 0))
			rj_cell_demand_add(&available,
					   &release->run->allocated);
	releases_end = releases->by_loss + releases->count;
	for (release = releases->by_loss;
	     release < releases_end && !rj_cell_demand_fits(demand, &available);
	     release++) {
		if (release->remaining_us < max_wait_us(group) ||
		    !is_candidate(plan, release, group, perpetual))
			continue;
		perpetual += rj_cell_task_step(release->run->task)->perpetual;
		rj_cell_demand_add(&available, &release->run->allocated);
		cost.loss_milli += release->loss_milli;
		cost.order_milli += release->order_milli;
		if (chosen)
			g_ptr_array_add(chosen, release->run);
	}
	if (!rj_cell_demand_fits(demand, &available))
		cost.loss_milli = cost.order_milli = UINT64_MAX;
	return cost;
}

/* Marks a run as a victim and counts its capacity as free after stops. */
static void mark_victim(struct rj_cell_placement *placement,
			struct rj_cell_run *run)
{
	struct rj_cell_plan_worker *plan_worker = run->worker->plan_worker;

	run->victim = true;
	rj_cell_plan_release_run(placement->plan, run);
	g_ptr_array_add(placement->victims, run);
	if (!plan_worker)
		return;
	rj_cell_placement_save_worker(placement, plan_worker);
	rj_cell_demand_add(&plan_worker->free_after_stops, &run->allocated);
	rj_cell_plan_raise_bounds(placement->plan, plan_worker);
}

/* Adds a victim and, with it, the other members of its gang. */
static void add_victim(struct rj_cell_placement *placement,
		       struct rj_cell_run *run)
{
	const struct rj_cell_occurrence *occurrence = run->task->occurrence;
	const struct rj_cell_step *step = rj_cell_task_step(run->task);
	uint32_t first = (uint32_t)(run->task - occurrence->tasks);
	uint32_t count = 1;

	if (step->gang) {
		first -= run->task->index;
		count = step->task_count;
	}
	for (uint32_t i = first; i < first + count; i++) {
		struct rj_list *at;
		struct rj_list *next;

		RJ_FOR_EACH (at, next, &occurrence->tasks[i].runs) {
			struct rj_cell_run *member =
				RJ_CONTAINER(at, struct rj_cell_run, in_task);

			if (!member->reason &&
			    member->state != RJ_CELL_RUN_STOPPING &&
			    !member->victim)
				mark_victim(placement, member);
		}
	}
}

/*
 * Whether a worker has enough accelerators that are free or allocated to runs
 * that a group may preempt; an upper bound that is cheap to look up.
 */
static bool may_reclaim(const struct rj_cell_plan_worker *plan_worker,
			const struct rj_cell_task_group *group, uint32_t demand)
{
	uint32_t sum = plan_worker->free_after_stops.accelerators +
		       plan_worker->expired_accelerators;
	uint32_t from =
		group->guaranteed ? 0 : group->job->job_spec->priority + 1;

	/* The last class sums up several priorities. */
	for (uint32_t i = MIN(from, RJ_CELL_PRIORITY_CLASSES - 1);
	     i < RJ_CELL_PRIORITY_CLASSES; i++)
		sum += plan_worker->worker->allocated_by_class[i].accelerators;
	return sum >= demand;
}

/*
 * Returns the worker where making room for a task discards the least work, or
 * NULL if none is within the options' limit. Adds its victims to the placement.
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
	struct stop_cost best_cost = { 0, UINT64_MAX };
	GPtrArray *victims;

	rj_cell_worker_iterator_init(&iterator, plan, options, &demand);
	while (best_cost.order_milli &&
	       (plan_worker = rj_cell_worker_iterator_next(&iterator))) {
		struct stop_cost cost;

		if (!may_reclaim(plan_worker, group, demand.accelerators) ||
		    !rj_cell_demand_fits(
			    &demand,
			    &plan_worker->worker->heartbeat.capacity) ||
		    !rj_cell_place_is_eligible(plan, plan_worker, group, task,
					       options))
			continue;
		plan->effort += CHOOSE_VICTIMS_EFFORT;
		cost = choose_victims(plan, group, plan_worker, &demand, NULL);
		if (cost.loss_milli > budget_milli ||
		    cost.order_milli >= best_cost.order_milli)
			continue;
		best = plan_worker;
		best_cost = cost;
	}
	if (!best)
		return NULL;
	victims = g_ptr_array_new();
	(void)choose_victims(plan, group, best, &demand, victims);
	placement->preempting_job = group->job;
	for (guint i = 0; i < victims->len; i++)
		add_victim(placement, victims->pdata[i]);
	g_ptr_array_free(victims, TRUE);
	placement->loss_milli += best_cost.loss_milli;
	return best;
}
