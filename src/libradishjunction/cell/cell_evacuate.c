#include "private/cell_evacuate.h"

#define RJ_CELL_WHY_LEAVES "worker_leaves"

/* A stop and its confirmation take up to this long. */
#define STOP_LEAD_US (800 * RJ_US_PER_MS)
/* Forecasts of a run's end are off by about this much. */
#define FORECAST_ERROR_US (500 * RJ_US_PER_MS)

/*
 * Whether a run on a worker that may leave from `leaves_us` on is to be
 * stopped at `now_us`; it would end by itself in `left_us`.
 *
 * Load that it answers: workers that are taken away at short notice by the
 * hundred. What dies with them starts again only once its lease must have
 * lapsed. A run that saves its progress, or has no end to get to, goes on for
 * as long as it can be stopped in time; any other that cannot end has nothing
 * to win by going on.
 */
bool rj_cell_evacuate_is_due(const struct rj_cell_step *step, uint64_t left_us,
			     uint64_t now_us, uint64_t leaves_us)
{
	if (step->perpetual)
		return now_us + STOP_LEAD_US >= leaves_us;
	if (now_us + left_us <= leaves_us + FORECAST_ERROR_US)
		return false;
	return !step->checkpoints || now_us + STOP_LEAD_US >= leaves_us;
}

/*
 * Stop what cannot end on a worker before it leaves.
 */
void rj_cell_evacuate(struct rj_cell_owner *owner,
		      struct rj_cell_worker *worker)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		if (!run->task || run->state == RJ_CELL_RUN_STOPPING ||
		    run->state == RJ_CELL_RUN_INTENDED)
			continue;
		if (rj_cell_evacuate_is_due(
			    rj_cell_task_step(run->task),
			    rj_cell_forecast_left_us(&owner->forecast, run,
						     owner->now_us),
			    owner->now_us, worker->leaves_us))
			rj_cell_completions_stop_run(owner, run,
						     RJ_CELL_WHY_LEAVES);
	}
}
