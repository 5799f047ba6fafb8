#include "private/cell_pace.h"

#include <glib.h>
#include <math.h>

/* Variance of the paces of workers of which nothing is known: their times
 * differ by a factor of 1.5. */
#define UNKNOWN_VARIANCE 0.16
/* Variance of a sample. */
#define SAMPLE_VARIANCE 0.04
/* Lower limit of a pace's variance, so that a pace that changes is followed. */
#define KNOWN_VARIANCE 0.01
/* Samples that are off by more than a factor of 4 are ignored: workers do not
 * differ by that much. */
#define OUTLIER_LOG_RATIO 1.386
/* A sample moves a pace as if it were off by at most this, a factor of 1.8, so
 * that one false report does not make a known worker slow. */
#define DEVIATION_LOG_RATIO_MAX 0.6
/* A worker without this many samples is not taken for a fast one. */
#define FAST_SAMPLES_MIN 2
/* No member takes longer than its gang; its progress is known to a few
 * percent. */
#define DURATION_LOG_SLACK 0.1
/* A worker is slow if it takes this much longer than the typical one, and its
 * standard deviation more. */
#define SLOW_RATIO 1.04
/* Initial variance of a queue's estimates: off by a factor of two. */
#define ESTIMATE_VARIANCE 0.5
/* Lower limit of that variance. */
#define ESTIMATE_VARIANCE_MIN 0.04
/* Weight of a new sample of an estimate's error. */
#define ESTIMATE_WEIGHT 0.05
/* Up to this many samples, mean and variance are arithmetic. */
#define ESTIMATE_INITIAL_SAMPLES 20

/* Difference of one rank, about 13 %, and the rank of the typical pace. */
#define RANK_LOG_STEP 0.125
#define RANK_TYPICAL 5

/* A normally distributed estimate of some value. */
struct belief {
	double mean;
	double variance;
};

/*
 * Initializes the pace of a worker of which nothing is known; it counts as
 * typical.
 */
void rj_cell_pace_init(struct rj_cell_pace *pace)
{
	pace->log_ratio = 0;
	pace->variance = UNKNOWN_VARIANCE;
	pace->samples = 0;
}

/*
 * Initializes the error of a queue's estimates before any of them is known.
 */
void rj_cell_estimate_error_init(struct rj_cell_estimate_error *error)
{
	error->mean = 0;
	error->variance = ESTIMATE_VARIANCE;
	error->samples = 0;
}

/* Combines two independent estimates of one value. */
static struct belief combine(struct belief a, struct belief b)
{
	double sum = a.variance + b.variance;
	struct belief combined = {
		(a.mean * b.variance + b.mean * a.variance) / sum,
		a.variance * b.variance / sum,
	};

	return combined;
}

/* Returns the logarithm of the work that a sample shows, given the pace of its
 * worker. */
static struct belief work_of(const struct rj_cell_pace_sample *sample)
{
	struct belief work = {
		sample->log_time - sample->pace->log_ratio,
		sample->pace->variance + SAMPLE_VARIANCE,
	};

	return work;
}

/* Returns `all` without one of the independent estimates that it combines. */
static struct belief without(struct belief all, struct belief one)
{
	double precision = 1 / all.variance - 1 / one.variance;
	struct belief rest = {
		(all.mean / all.variance - one.mean / one.variance) / precision,
		1 / precision,
	};

	return rest;
}

/* Returns the pace of a sample's worker, given the gang's work. */
static struct rj_cell_pace corrected(const struct rj_cell_pace_sample *sample,
				     struct belief work)
{
	struct belief before = { sample->pace->log_ratio,
				 sample->pace->variance };
	double deviation = sample->log_time - work.mean - before.mean;
	struct belief shown = {
		before.mean + CLAMP(deviation, -DEVIATION_LOG_RATIO_MAX,
				    DEVIATION_LOG_RATIO_MAX),
		work.variance + SAMPLE_VARIANCE,
	};
	struct belief after = combine(before, shown);
	struct rj_cell_pace pace = { after.mean,
				     MAX(after.variance, KNOWN_VARIANCE),
				     sample->pace->samples + 1 };

	if (fabs(deviation) > OUTLIER_LOG_RATIO)
		return *sample->pace;
	return pace;
}

/* Updates the error of a queue's estimates by the work of one gang. */
static void learn_error(struct rj_cell_estimate_error *error, double off)
{
	double weight = MAX(1.0 / (error->samples + 1), ESTIMATE_WEIGHT);
	double deviation = off - error->mean;

	error->mean += weight * deviation;
	/* The first sample says nothing about the variance. */
	if (error->samples)
		error->variance +=
			weight * (deviation * deviation - error->variance);
	error->variance = MAX(error->variance, ESTIMATE_VARIANCE_MIN);
	error->samples++;
}

/* Learns from samples that are possible. */
static void learn(const struct rj_cell_pace_sample *samples, uint32_t count,
		  double log_estimate, struct rj_cell_estimate_error *error)
{
	struct belief estimated = { log_estimate + error->mean,
				    error->variance };
	struct belief work;
	struct belief all;
	struct rj_cell_pace *after;

	if (!count)
		return;
	work = work_of(&samples[0]);
	for (uint32_t i = 1; i < count; i++)
		work = combine(work, work_of(&samples[i]));
	all = combine(work, estimated);
	after = g_new(struct rj_cell_pace, count);
	for (uint32_t i = 0; i < count; i++)
		after[i] = corrected(&samples[i],
				     without(all, work_of(&samples[i])));
	for (uint32_t i = 0; i < count; i++)
		*samples[i].pace = after[i];
	learn_error(error, work.mean - log_estimate);
	g_free(after);
}

/*
 * Learns from one gang the paces of the workers on which it has run, and the
 * error of its estimate. `log_duration` and `log_estimate` are the logarithms of
 * the gang's time and of its estimate, in the unit of the samples' times. A
 * sample above the duration is a false report, and is ignored; INFINITY means
 * that the duration is not known.
 */
void rj_cell_pace_learn(const struct rj_cell_pace_sample *samples,
			uint32_t count, double log_duration,
			double log_estimate,
			struct rj_cell_estimate_error *error)
{
	struct rj_cell_pace_sample *possible =
		g_new(struct rj_cell_pace_sample, MAX(count, 1));
	uint32_t possible_count = 0;

	for (uint32_t i = 0; i < count; i++)
		if (samples[i].log_time <= log_duration + DURATION_LOG_SLACK)
			possible[possible_count++] = samples[i];
	learn(possible, possible_count, log_estimate, error);
	g_free(possible);
}

/*
 * Returns the time that a worker takes for some work, in percent of the typical
 * worker's.
 */
uint32_t rj_cell_pace_percent(const struct rj_cell_pace *pace)
{
	return (uint32_t)lround(100 * exp(pace->log_ratio));
}

/*
 * Returns how much of a worker's pace is known, in percent; 0 without history.
 */
uint32_t rj_cell_pace_known_percent(const struct rj_cell_pace *pace)
{
	return (uint32_t)lround(100 * (1 - pace->variance / UNKNOWN_VARIANCE));
}

/*
 * Returns the rank of a worker by its pace, from 0 for a fast one to
 * RJ_CELL_PACE_RANK_MAX for a slow one.
 */
uint32_t rj_cell_pace_rank(const struct rj_cell_pace *pace)
{
	double steps = pace->log_ratio / RANK_LOG_STEP;

	if (pace->samples < FAST_SAMPLES_MIN)
		steps = MAX(steps, 0);

	return (uint32_t)CLAMP(lround(steps) + RANK_TYPICAL, 0,
			       RJ_CELL_PACE_RANK_MAX);
}

/*
 * Whether a worker is known to be slower than the typical one. False for a
 * worker without history.
 */
bool rj_cell_pace_is_slow(const struct rj_cell_pace *pace)
{
	return pace->log_ratio - sqrt(pace->variance) > log(SLOW_RATIO);
}
