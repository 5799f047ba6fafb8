#include "private/cell_forecast.h"

#include <assert.h>
#include <math.h>
#include <string.h>

/* A new run time counts for this part of a mean: fast enough to follow a
 * slow spell of some seconds at ten ends a second. */
#define MEAN_WEIGHT 0.05
/* The first ends count fully, up to this many. */
#define MEAN_INITIAL_SAMPLES 20
/* Demand for urgent work is forgotten with this time constant: a burst
 * lasts some 6 s, and room for it is kept about as long. */
#define URGENT_DECAY_US (5 * RJ_US_PER_S)
/* A percentage below this says too little of the time that is left. */
#define PROGRESS_MIN_PERCENT 15

/* The mean run time of the tasks of one queue. */
struct mean {
	double ms;
	uint32_t samples;
};

/*
 * Prepare a forecast that knows nothing.
 */
void rj_cell_forecast_init(struct rj_cell_forecast *forecast)
{
	memset(forecast, 0, sizeof(*forecast));
	forecast->means =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/*
 * Forget what was learnt.
 */
void rj_cell_forecast_finish(struct rj_cell_forecast *forecast)
{
	if (forecast->means)
		g_hash_table_destroy(forecast->means);
	forecast->means = NULL;
}

/* The mean of a queue, made when it is missing. */
static struct mean *obtain_mean(struct rj_cell_forecast *forecast,
				const char *queue)
{
	struct mean *mean = g_hash_table_lookup(forecast->means, queue);

	if (mean)
		return mean;
	mean = g_new0(struct mean, 1);
	g_hash_table_insert(forecast->means, g_strdup(queue), mean);
	return mean;
}

/*
 * A task of the queue has ended well after `ran_us`.
 */
void rj_cell_forecast_record_run(struct rj_cell_forecast *forecast,
				 const char *queue, uint64_t ran_us)
{
	struct mean *mean = obtain_mean(forecast, queue);
	double ms = (double)ran_us / RJ_US_PER_MS;
	double weight = 1.0 / (mean->samples + 1);

	if (mean->samples >= MEAN_INITIAL_SAMPLES)
		weight = MEAN_WEIGHT;
	mean->ms += weight * (ms - mean->ms);
	mean->samples++;
}

/*
 * Take over what a former owner had learnt.
 */
void rj_cell_forecast_seed(struct rj_cell_forecast *forecast, const char *queue,
			   uint32_t mean_ms)
{
	struct mean *mean = obtain_mean(forecast, queue);

	if (!mean_ms || mean->samples)
		return;
	mean->ms = mean_ms;
	mean->samples = MEAN_INITIAL_SAMPLES;
}

/*
 * The mean run time of a queue's tasks, 0 when nothing was learnt.
 */
uint32_t rj_cell_forecast_mean_ms(const struct rj_cell_forecast *forecast,
				  const char *queue)
{
	const struct mean *mean = g_hash_table_lookup(forecast->means, queue);

	return mean && mean->samples ? (uint32_t)mean->ms : 0;
}

/*
 * How long a task of a step will run, in milliseconds.
 */
uint64_t rj_cell_forecast_task_ms(const struct rj_cell_forecast *forecast,
				  const struct rj_cell_def *spec, uint32_t step)
{
	uint32_t mean_ms = rj_cell_forecast_mean_ms(forecast, spec->queue);

	return mean_ms ? mean_ms : spec->steps[step].estimate_ms;
}

/*
 * The longest chain of steps, by what was learnt, in milliseconds.
 */
uint64_t
rj_cell_forecast_critical_path_ms(const struct rj_cell_forecast *forecast,
				  const struct rj_cell_def *spec)
{
	uint64_t ends_ms[RJ_CELL_STEPS_MAX];
	uint64_t longest_ms = 0;

	for (uint32_t i = 0; i < spec->step_count; i++) {
		const struct rj_cell_step *step = &spec->steps[i];
		uint64_t begin_ms = 0;

		for (uint32_t j = 0; j < step->after_count; j++)
			if (ends_ms[step->after[j]] > begin_ms)
				begin_ms = ends_ms[step->after[j]];
		ends_ms[i] =
			begin_ms + rj_cell_forecast_task_ms(forecast, spec, i);
		if (ends_ms[i] > longest_ms)
			longest_ms = ends_ms[i];
	}
	return longest_ms;
}

/* How long a run will go on by its own progress; false when that says too
 * little. */
static bool remaining_by_progress(const struct rj_cell_run *run,
				  uint64_t ran_us, uint64_t *remaining_us)
{
	uint64_t total_us;

	if (run->percent < PROGRESS_MIN_PERCENT ||
	    run->listed_us <= run->begun_us)
		return false;
	total_us = (run->listed_us - run->begun_us) * 100 / run->percent;
	*remaining_us = total_us > ran_us ? total_us - ran_us : 0;
	return true;
}

/*
 * How long a run will go on, in microseconds: by its own progress once that
 * says enough, else by what was learnt. What has run for longer than usual
 * is taken to go on for half as long again.
 *
 * Guards against urgent work that waits for ever for a run which should have
 * ended: one that is overdue may be slow, and is not about to end.
 */
uint64_t rj_cell_forecast_remaining_us(const struct rj_cell_forecast *forecast,
				       const struct rj_cell_run *run,
				       uint64_t now_us)
{
	const struct rj_cell_task *task = run->task;
	uint64_t total_us;
	uint64_t remaining_us;
	uint64_t ran_us = run->begun_us && now_us > run->begun_us ?
				  now_us - run->begun_us :
				  0;

	if (!task)
		return 0;
	if (remaining_by_progress(run, ran_us, &remaining_us) && remaining_us)
		return remaining_us;
	total_us = rj_cell_forecast_task_ms(forecast, task->round->work->def,
					    task->step) *
		   RJ_US_PER_MS;
	return total_us > ran_us ? total_us - ran_us : total_us / 2;
}

/* Bring the demand up to date. */
static double decayed_urgent(const struct rj_cell_forecast *forecast,
			     uint64_t now_us)
{
	uint64_t age_us = now_us > forecast->urgent_updated_us ?
				  now_us - forecast->urgent_updated_us :
				  0;

	return forecast->urgent_accelerators *
	       exp(-(double)age_us / (double)URGENT_DECAY_US);
}

/*
 * An urgent job has come: it asks for accelerators for as long as it runs.
 */
void rj_cell_forecast_record_urgent(struct rj_cell_forecast *forecast,
				    const struct rj_cell_def *spec,
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
 * How many accelerators urgent work keeps busy, on average of late.
 */
double
rj_cell_forecast_urgent_accelerators(const struct rj_cell_forecast *forecast,
				     uint64_t now_us)
{
	return decayed_urgent(forecast, now_us);
}
