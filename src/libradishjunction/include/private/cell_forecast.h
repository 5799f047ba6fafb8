/*
 * Forecasts from completed runs: mean run time of a queue's tasks, recent
 * demand of urgent jobs, and the remaining time of a run.
 *
 * Callers' estimates are off by a factor of two and more, so measured run times
 * replace them as soon as there are some. Life cycle: `rj_cell_forecast_init`,
 * `_record_run` at each successful completion, `_record_urgent` at each urgent
 * job, `_finish`. It reads no clock.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_FORECAST_H
#define RADISHJUNCTION_PRIVATE_CELL_FORECAST_H

#include <glib.h>

#include "private/cell_active_job.h"
#include "private/cell_pace.h"

/* What is learnt of one queue. */
struct rj_cell_queue_mean {
	char queue[RJ_NAME_BYTES];
	double ms; /* mean run time of its tasks */
	uint32_t samples;
	struct rj_cell_estimate_error estimate_error;
};

struct rj_cell_forecast {
	/* queue name -> struct rj_cell_queue_mean */
	GHashTable *means;
	double urgent_accelerators; /* used by urgent jobs, decaying average */
	uint64_t urgent_updated_us; /* last update of urgent_accelerators */
};

void rj_cell_forecast_init(struct rj_cell_forecast *forecast);
void rj_cell_forecast_finish(struct rj_cell_forecast *forecast);
void rj_cell_forecast_record_run(struct rj_cell_forecast *forecast,
				 const char *queue, uint64_t ran_us);
void rj_cell_forecast_seed(struct rj_cell_forecast *forecast, const char *queue,
			   uint32_t mean_ms);
uint32_t rj_cell_forecast_mean_ms(const struct rj_cell_forecast *forecast,
				  const char *queue);
uint64_t rj_cell_forecast_task_ms(const struct rj_cell_forecast *forecast,
				  const struct rj_cell_job_spec *spec,
				  uint32_t step);
uint64_t
rj_cell_forecast_critical_path_ms(const struct rj_cell_forecast *forecast,
				  const struct rj_cell_job_spec *spec);
bool rj_cell_forecast_may_end(const struct rj_cell_forecast *forecast,
			      const struct rj_cell_run *run, uint64_t now_us,
			      uint64_t within_us);
uint64_t rj_cell_forecast_remaining_us(const struct rj_cell_forecast *forecast,
				       const struct rj_cell_run *run,
				       uint64_t now_us);
struct rj_cell_estimate_error *
rj_cell_forecast_estimate_error(struct rj_cell_forecast *forecast,
				const char *queue);
void rj_cell_forecast_record_urgent(struct rj_cell_forecast *forecast,
				    const struct rj_cell_job_spec *spec,
				    uint64_t now_us);
double
rj_cell_forecast_urgent_accelerators(const struct rj_cell_forecast *forecast,
				     uint64_t now_us);
uint32_t rj_cell_forecast_export(const struct rj_cell_forecast *forecast,
				 struct rj_cell_queue_mean *means,
				 uint32_t max);
void rj_cell_forecast_import(struct rj_cell_forecast *forecast,
			     const struct rj_cell_queue_mean *mean);
void rj_cell_forecast_import_urgent(struct rj_cell_forecast *forecast,
				    double accelerators, uint64_t at_us,
				    uint64_t now_us);

#endif
