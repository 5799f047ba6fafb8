#include "private/cell_release.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_place.h"

/* Cost of listing a worker's runs, relative to evaluating the worker. */
#define LIST_RUNS_EFFORT 40

/* Orders by remaining time, ascending. */
static int compare_time(const void *a, const void *b)
{
	const struct rj_cell_release *left = a;
	const struct rj_cell_release *right = b;

	return left->remaining_us < right->remaining_us ? -1 :
	       left->remaining_us > right->remaining_us ? 1 :
							  0;
}

/* Orders by the loss by which victims are chosen, ascending. */
static int compare_loss(const void *a, const void *b)
{
	const struct rj_cell_release *left = a;
	const struct rj_cell_release *right = b;

	return left->order_milli < right->order_milli ? -1 :
	       left->order_milli > right->order_milli ? 1 :
							0;
}

/* Lists the runs of one worker in both orders. */
static void compute_releases(struct rj_cell_plan *plan,
			     struct rj_cell_releases *releases,
			     const struct rj_cell_worker *worker)
{
	uint32_t capacity = worker->latency_runs + worker->other_runs;
	const struct rj_list *at;

	releases->computed = true;
	plan->effort += LIST_RUNS_EFFORT;
	if (!capacity)
		return;
	releases->by_time =
		talloc_array(plan->workers, struct rj_cell_release, capacity);
	releases->by_loss =
		talloc_array(plan->workers, struct rj_cell_release, capacity);
	assert(releases->by_time && releases->by_loss);
	for (at = worker->runs.next; at != &worker->runs; at = at->next) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);
		struct rj_cell_release *release;

		if (run->state == RJ_CELL_RUN_STOPPING)
			continue;
		assert(releases->count < capacity);
		release = &releases->by_time[releases->count++];
		release->run = run;
		release->remaining_us =
			run->task && rj_cell_task_step(run->task)->perpetual ?
				RJ_NEVER_US :
				rj_cell_forecast_remaining_us(
					plan->forecast, run, plan->now_us);
		release->loss_milli = rj_cell_reclaim_loss(plan, run);
		release->order_milli =
			rj_cell_reclaim_order(run, release->loss_milli);
	}
	memcpy(releases->by_loss, releases->by_time,
	       releases->count * sizeof(*releases->by_loss));
	qsort(releases->by_time, releases->count, sizeof(*releases->by_time),
	      compare_time);
	qsort(releases->by_loss, releases->count, sizeof(*releases->by_loss),
	      compare_loss);
}

/*
 * Returns what the runs of a worker would free; valid until the plan is
 * finished.
 *
 * Guards against long plans on a full site with a backlog: each waiting task
 * evaluates all workers, and their runs change only between plans.
 */
const struct rj_cell_releases *
rj_cell_releases_get(struct rj_cell_plan *plan,
		     const struct rj_cell_plan_worker *plan_worker)
{
	struct rj_cell_releases *releases =
		&plan->releases[plan_worker - plan->workers];

	if (!releases->computed)
		compute_releases(plan, releases, plan_worker->worker);
	return releases;
}
