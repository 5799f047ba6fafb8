#include "private/cell_failure.h"

/* Tasks that fail by themselves do so at any time of their run, which takes
 * seconds. */
#define EARLY_FAILURE_MAX_US (400 * RJ_US_PER_MS)
/* Number of early failures that make a burst. Tasks that fail by themselves
 * rarely do so early, but single cases occur. */
#define BURST_COUNT_MIN 2
/* A burst is over when no early failure has occurred for this long. */
#define BURST_GAP_US (6 * RJ_US_PER_S)
/* How long a last attempt waits for a worker that is known to be healthy. Idle
 * capacity has to be used within 3 s once conditions are stable. */
#define LAST_ATTEMPT_HOLD_US (2500 * RJ_US_PER_MS)

/*
 * Whether a run that failed after `ran_us` indicates a fault of its worker
 * rather than of its task.
 */
bool rj_cell_failure_is_early(uint64_t ran_us)
{
	return ran_us < EARLY_FAILURE_MAX_US;
}

/*
 * Records an early failure at `now_us`.
 */
void rj_cell_failure_record_early(struct rj_cell_failure_burst *burst,
				  uint64_t now_us)
{
	if (!burst->count || now_us >= burst->last_us + BURST_GAP_US) {
		burst->first_us = now_us;
		burst->count = 0;
	}
	burst->last_us = now_us;
	burst->count++;
}

/*
 * Whether a burst of early failures is under way, a sign that workers have
 * begun to fail.
 */
bool rj_cell_failure_is_burst(const struct rj_cell_failure_burst *burst,
			      uint64_t now_us)
{
	return burst->count >= BURST_COUNT_MIN &&
	       now_us < burst->last_us + BURST_GAP_US;
}

/*
 * Whether a last attempt that has waited since `waiting_us` may be made only on
 * healthy workers, see rj_cell_failure_is_healthy.
 *
 * When some of the workers begin to fail what they start, each attempt of a
 * wide gang includes one of them, and the gang would use up its attempts before
 * these workers are known. Other work finds them within seconds.
 */
bool rj_cell_failure_requires_healthy(const struct rj_cell_failure_burst *burst,
				      uint64_t waiting_us, uint64_t now_us)
{
	return rj_cell_failure_is_burst(burst, now_us) &&
	       now_us < waiting_us + LAST_ATTEMPT_HOLD_US;
}

/*
 * Whether a run that the worker started at `healthy_us`, and that did not fail
 * early, shows that the worker is not one of those that have begun to fail.
 */
bool rj_cell_failure_is_healthy(const struct rj_cell_failure_burst *burst,
				uint64_t healthy_us)
{
	return healthy_us >= burst->first_us;
}
