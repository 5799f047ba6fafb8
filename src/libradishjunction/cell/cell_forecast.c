#include "private/cell_forecast.h"

#include <assert.h>
#include <math.h>
#include <string.h>

/* Weight of a new run time in the moving mean: at ten completions a second the
 * mean follows a slowdown that lasts seconds. */
#define MEAN_WEIGHT 0.05
/* Up to this many samples the mean is the arithmetic one. */
#define MEAN_INITIAL_SAMPLES 20
/* Time constant of the decay of urgent demand: about the length of a burst,
 * some 6 s, so that capacity stays reserved for as long. */
#define URGENT_DECAY_US (5 * RJ_US_PER_S)
/* Progress below this does not predict the remaining time. */
#define PROGRESS_MIN_PERCENT 15

/*
 * Initializes a forecast without samples.
 */
void rj_cell_forecast_init(struct rj_cell_forecast *forecast)
{
	memset(forecast, 0, sizeof(*forecast));
	forecast->means =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/*
 * Frees what `rj_cell_forecast_init` allocated.
 */
void rj_cell_forecast_finish(struct rj_cell_forecast *forecast)
{
	if (forecast->means)
		g_hash_table_destroy(forecast->means);
	forecast->means = NULL;
}

/* Returns the mean of a queue; adds an empty one if there is none. */
static struct rj_cell_queue_mean *obtain_mean(struct rj_cell_forecast *forecast,
					      const char *queue)
{
	struct rj_cell_queue_mean *mean =
		g_hash_table_lookup(forecast->means, queue);

	if (mean)
		return mean;
	mean = g_new0(struct rj_cell_queue_mean, 1);
	g_strlcpy(mean->queue, queue, sizeof(mean->queue));
	rj_cell_estimate_error_init(&mean->estimate_error);
	g_hash_table_insert(forecast->means, g_strdup(queue), mean);
	return mean;
}

/*
 * Records that a task of the queue completed successfully after `ran_us`.
 */
void rj_cell_forecast_record_run(struct rj_cell_forecast *forecast,
				 const char *queue, uint64_t ran_us)
{
	struct rj_cell_queue_mean *mean = obtain_mean(forecast, queue);
	double ms = (double)ran_us / RJ_US_PER_MS;
	double weight = 1.0 / (mean->samples + 1);

	if (mean->samples >= MEAN_INITIAL_SAMPLES)
		weight = MEAN_WEIGHT;
	mean->ms += weight * (ms - mean->ms);
	mean->samples++;
}

/*
 * Takes over the mean run time that a former owner measured, unless this owner
 * has samples of its own.
 */
void rj_cell_forecast_seed(struct rj_cell_forecast *forecast, const char *queue,
			   uint32_t mean_ms)
{
	struct rj_cell_queue_mean *mean = obtain_mean(forecast, queue);

	if (!mean_ms || mean->samples)
		return;
	mean->ms = mean_ms;
	mean->samples = MEAN_INITIAL_SAMPLES;
}

/*
 * Returns the mean run time of a queue's tasks in milliseconds, 0 without
 * samples.
 */
uint32_t rj_cell_forecast_mean_ms(const struct rj_cell_forecast *forecast,
				  const char *queue)
{
	const struct rj_cell_queue_mean *mean =
		g_hash_table_lookup(forecast->means, queue);

	return mean && mean->samples ? (uint32_t)mean->ms : 0;
}

/*
 * Returns the expected run time of one task of a step in milliseconds: the
 * queue's mean, else the caller's estimate.
 */
uint64_t rj_cell_forecast_task_ms(const struct rj_cell_forecast *forecast,
				  const struct rj_cell_job_spec *spec,
				  uint32_t step)
{
	uint32_t mean_ms = rj_cell_forecast_mean_ms(forecast, spec->queue);

	return mean_ms ? mean_ms : spec->steps[step].estimate_ms;
}

/*
 * Returns the expected time of the longest chain of dependent steps, in
 * milliseconds.
 */
uint64_t
rj_cell_forecast_critical_path_ms(const struct rj_cell_forecast *forecast,
				  const struct rj_cell_job_spec *spec)
{
	uint64_t completion_ms[RJ_CELL_STEPS_MAX];
	uint64_t longest_ms = 0;

	for (uint32_t i = 0; i < spec->step_count; i++) {
		const struct rj_cell_step *step = &spec->steps[i];
		uint64_t start_ms = 0;

		for (uint32_t j = 0; j < step->after_count; j++)
			if (completion_ms[step->after[j]] > start_ms)
				start_ms = completion_ms[step->after[j]];
		completion_ms[i] =
			start_ms + rj_cell_forecast_task_ms(forecast, spec, i);
		if (completion_ms[i] > longest_ms)
			longest_ms = completion_ms[i];
	}
	return longest_ms;
}

/* Extrapolates the remaining time of a run from its reported progress. Returns
 * false when the progress is too low for that. */
static bool remaining_by_progress(const struct rj_cell_run *run,
				  uint64_t ran_us, uint64_t *remaining_us)
{
	uint64_t total_us;

	if (run->percent < PROGRESS_MIN_PERCENT ||
	    run->listed_us <= run->placed_us)
		return false;
	total_us = (run->listed_us - run->placed_us) * 100 / run->percent;
	*remaining_us = total_us > ran_us ? total_us - ran_us : 0;
	return true;
}

/*
 * Returns the expected remaining time of a run in microseconds: by its reported
 * progress, else by the expected run time. A run that has exceeded the expected
 * run time is assumed to need half of it again.
 *
 * Guards against urgent jobs that wait for an overdue run for ever: such a run
 * may be slow, and is not about to complete.
 */
uint64_t rj_cell_forecast_remaining_us(const struct rj_cell_forecast *forecast,
				       const struct rj_cell_run *run,
				       uint64_t now_us)
{
	const struct rj_cell_task *task = run->task;
	uint64_t total_us;
	uint64_t remaining_us;
	uint64_t ran_us = run->placed_us && now_us > run->placed_us ?
				  now_us - run->placed_us :
				  0;

	if (!task)
		return 0;
	if (remaining_by_progress(run, ran_us, &remaining_us) && remaining_us)
		return remaining_us;
	total_us = rj_cell_forecast_task_ms(forecast,
					    task->occurrence->job->job_spec,
					    task->step) *
		   RJ_US_PER_MS;
	return total_us > ran_us ? total_us - ran_us : total_us / 2;
}

/*
 * Whether a run may end within `within_us`: by its reported progress or by the
 * expected run time, whichever is earlier. So may one that has exceeded either.
 */
bool rj_cell_forecast_may_end(const struct rj_cell_forecast *forecast,
			      const struct rj_cell_run *run, uint64_t now_us,
			      uint64_t within_us)
{
	const struct rj_cell_task *task = run->task;
	uint64_t ran_us = now_us - MIN(now_us, run->placed_us);
	uint64_t remaining_us;

	if (remaining_by_progress(run, ran_us, &remaining_us) &&
	    remaining_us <= within_us)
		return true;
	return rj_cell_forecast_task_ms(
		       forecast, task->occurrence->job->job_spec, task->step) *
		       RJ_US_PER_MS <=
	       ran_us + within_us;
}

/*
 * Returns the error of a queue's estimates, for updates.
 */
struct rj_cell_estimate_error *
rj_cell_forecast_estimate_error(struct rj_cell_forecast *forecast,
				const char *queue)
{
	return &obtain_mean(forecast, queue)->estimate_error;
}

/* Returns what is left at `now_us` of the urgent demand of `at_us`. */
static double decayed(double accelerators, uint64_t at_us, uint64_t now_us)
{
	uint64_t age_us = now_us > at_us ? now_us - at_us : 0;

	return accelerators * exp(-(double)age_us / (double)URGENT_DECAY_US);
}

/* Returns the urgent demand, decayed to `now_us`. */
static double decayed_urgent(const struct rj_cell_forecast *forecast,
			     uint64_t now_us)
{
	return decayed(forecast->urgent_accelerators,
		       forecast->urgent_updated_us, now_us);
}

/*
 * Records the demand of an urgent job: its accelerators for the expected run
 * time of its tasks.
 */
void rj_cell_forecast_record_urgent(struct rj_cell_forecast *forecast,
				    const struct rj_cell_job_spec *spec,
				    uint64_t now_us)
{
	double demand = 0;

	for (uint32_t i = 0; i < spec->step_count; i++)
		demand += (double)spec->steps[i].task_count *
			  spec->steps[i].each.accelerators *
			  (double)rj_cell_forecast_task_ms(forecast, spec, i) *
			  RJ_US_PER_MS;
	forecast->urgent_accelerators = decayed_urgent(forecast, now_us) +
					demand / (double)URGENT_DECAY_US;
	forecast->urgent_updated_us = now_us;
}

/*
 * Returns the number of accelerators that recent urgent jobs keep busy, as a
 * decaying average.
 */
double
rj_cell_forecast_urgent_accelerators(const struct rj_cell_forecast *forecast,
				     uint64_t now_us)
{
	return decayed_urgent(forecast, now_us);
}

/*
 * Copies what is learnt of at most `max` queues that have samples. Returns their
 * number.
 */
uint32_t rj_cell_forecast_export(const struct rj_cell_forecast *forecast,
				 struct rj_cell_queue_mean *means, uint32_t max)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, forecast->means);
	while (count < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rj_cell_queue_mean *mean = value;

		if (mean->samples || mean->estimate_error.samples)
			means[count++] = *mean;
	}
	return count;
}

/*
 * Replaces what is learnt of a queue by what a former owner has exported, as
 * far as that has samples.
 */
void rj_cell_forecast_import(struct rj_cell_forecast *forecast,
			     const struct rj_cell_queue_mean *mean)
{
	struct rj_cell_queue_mean *own = obtain_mean(forecast, mean->queue);

	if (mean->samples) {
		own->ms = mean->ms;
		own->samples = mean->samples;
	}
	if (mean->estimate_error.samples)
		own->estimate_error = mean->estimate_error;
}

/*
 * Takes over the urgent demand of `at_us` from a former owner. It includes jobs
 * that this owner has recorded as well, so the larger of both applies.
 */
void rj_cell_forecast_import_urgent(struct rj_cell_forecast *forecast,
				    double accelerators, uint64_t at_us,
				    uint64_t now_us)
{
	forecast->urgent_accelerators =
		MAX(decayed_urgent(forecast, now_us),
		    decayed(accelerators, at_us, now_us));
	forecast->urgent_updated_us = now_us;
}
