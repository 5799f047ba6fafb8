/*
 * Admission by the measured service rate: what the owner's plans, jobs and runs
 * show of it, the work ahead of a new job, and the decision on a queue; see
 * cell_service_rate.h.
 *
 * Reads the owner's jobs, runs and plans and changes only its service rate.
 * Without the feature admission_forecast nothing is recorded.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_ADMISSION_FORECAST_H
#define RADISHJUNCTION_PRIVATE_CELL_ADMISSION_FORECAST_H

#include "private/cell_owner.h"
#include "private/cell_plan.h"

void rj_cell_admission_forecast_observe_plan(struct rj_cell_owner *owner,
					     const struct rj_cell_plan *plan);
void rj_cell_admission_forecast_observe_job(struct rj_cell_owner *owner,
					    const struct rj_cell_job *job);
void rj_cell_admission_forecast_observe_start(struct rj_cell_owner *owner,
					      const struct rj_cell_job *job);
void rj_cell_admission_forecast_observe_end(struct rj_cell_owner *owner,
					    const struct rj_cell_run *run,
					    enum rj_cell_completion end);
void rj_cell_admission_forecast_sum_work(
	const struct rj_cell_owner *owner,
	struct rj_cell_service_load work[RJ_CELL_PRIORITY_CLASSES]);
bool rj_cell_admission_forecast_decide(
	struct rj_cell_owner *owner, const struct rj_cell_queue *queue,
	bool has_enough_workers, double late_ms, double estimate_ms,
	const struct rj_cell_service_load work[RJ_CELL_PRIORITY_CLASSES],
	struct rj_cell_queue_load *queue_load);

#endif
