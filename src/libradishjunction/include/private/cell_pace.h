/*
 * Paces of workers: how long a worker takes for some work, relative to the
 * typical worker, as learnt from gangs that have completed.
 *
 * All members of a gang have the same work, so different progress of members
 * means different workers. How far the estimate of the work is off is learnt
 * for each queue, and shows the pace of workers that run whole gangs.
 *
 * A pace and an estimate error are values with their variances; both live where
 * the caller keeps them, from `_init` on. `rj_cell_pace_learn` takes the samples
 * of one gang. It reads no clock.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_PACE_H
#define RADISHJUNCTION_PRIVATE_CELL_PACE_H

#include <stdbool.h>
#include <stdint.h>

/* Largest rank of rj_cell_pace_rank. */
#define RJ_CELL_PACE_RANK_MAX 15

/* What is known of a worker's pace. */
struct rj_cell_pace {
	/* Natural logarithm of its time relative to the typical worker's; above
	 * 0: slower. */
	double log_ratio;
	double variance;
	uint32_t samples;
};

/* How far the estimates of one queue are off, as a natural logarithm. */
struct rj_cell_estimate_error {
	double mean;
	double variance;
	uint32_t samples;
};

/* The time that a worker has taken for a part of a gang's work. */
struct rj_cell_pace_sample {
	struct rj_cell_pace *pace; /* of the worker; one sample each */
	double log_time; /* of the time for all of the work */
};

void rj_cell_pace_init(struct rj_cell_pace *pace);
void rj_cell_estimate_error_init(struct rj_cell_estimate_error *error);
void rj_cell_pace_learn(const struct rj_cell_pace_sample *samples,
			uint32_t count, double log_duration,
			double log_estimate,
			struct rj_cell_estimate_error *error);
uint32_t rj_cell_pace_rank(const struct rj_cell_pace *pace);
uint32_t rj_cell_pace_percent(const struct rj_cell_pace *pace);
uint32_t rj_cell_pace_known_percent(const struct rj_cell_pace *pace);
bool rj_cell_pace_is_slow(const struct rj_cell_pace *pace);

#endif
