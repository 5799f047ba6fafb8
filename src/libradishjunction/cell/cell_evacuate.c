#include "private/cell_evacuate.h"

#define RJ_CELL_WHY_LEAVES "worker_leaves"

/* Time for a stop and its confirmation. */
#define STOP_LEAD_US (800 * RJ_US_PER_MS)
/* An owner that has stored nothing for this long is cut off from the log; it
 * writes heartbeats several times as often. */
#define CUT_OFF_US (1500 * RJ_US_PER_MS)
/* Typical error of the forecast end of a run. */
#define FORECAST_ERROR_US (500 * RJ_US_PER_MS)

/*
 * Whether a run is to be stopped at `now_us` on a worker that may leave from
 * `departure_us` on; the run is forecast to end in `left_us`.
 *
 * Hundreds of workers may leave at short notice. A run that is lost with its
 * worker starts again only after its lease has expired, so it is stopped in
 * time. A run that saves checkpoints or is perpetual goes on for as long as it
 * can still be stopped; any other run that cannot end in time is stopped at
 * once, as its further work would be lost.
 *
 * An owner that is cut off does not learn whether the worker has left, nor can
 * its successor. It stops every run in time to see its end, which is known to
 * the successor once it is published, whatever the forecast: a run whose end
 * nobody has seen waits for the leases.
 */
bool rj_cell_evacuate_is_due(const struct rj_cell_step *step, uint64_t left_us,
			     uint64_t now_us, uint64_t departure_us,
			     bool cut_off)
{
	bool ends_in_time =
		now_us + left_us <= departure_us + FORECAST_ERROR_US;

	if (now_us + STOP_LEAD_US >= departure_us)
		return step->perpetual || cut_off || !ends_in_time;
	return !step->perpetual && !step->checkpoints && !ends_in_time;
}

/*
 * Stops the runs that cannot end before their worker leaves.
 */
void rj_cell_evacuate(struct rj_cell_owner *owner,
		      struct rj_cell_worker *worker)
{
	bool cut_off = owner->now_us > owner->writer.stored_us + CUT_OFF_US;
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
			    rj_cell_forecast_remaining_us(&owner->forecast, run,
							  owner->now_us),
			    owner->now_us, worker->departure_us, cut_off))
			rj_cell_completions_stop_run(owner, run,
						     RJ_CELL_WHY_LEAVES);
	}
}
