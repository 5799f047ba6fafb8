#include "private/cell_failure.h"

/* Tasks that fail by themselves do so at any time of their run, which takes
 * seconds. */
#define EARLY_FAILURE_MAX_US (400 * RJ_US_PER_MS)
/* So many make a burst, as tasks that fail by themselves do so early once in
 * a while; */
#define BURST_COUNT_MIN 2
/* ... it is over once no failure was early for so long. */
#define BURST_GAP_US (6 * RJ_US_PER_S)
/* A last attempt waits so long for a worker that is known to be sound: users
 * expect idle capacity to be used within 3 s of calm. */
#define LAST_ATTEMPT_HOLD_US (2500 * RJ_US_PER_MS)

/*
 * Whether a run that failed after `ran_us` says more of its worker than of its
 * task.
 */
bool rj_cell_failure_is_early(uint64_t ran_us)
{
	return ran_us < EARLY_FAILURE_MAX_US;
}

/*
 * A run has failed early.
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
 * Whether workers are known to have begun to fail of late.
 */
bool rj_cell_failure_is_burst(const struct rj_cell_failure_burst *burst,
			      uint64_t now_us)
{
	return burst->count >= BURST_COUNT_MIN &&
	       now_us < burst->last_us + BURST_GAP_US;
}

/*
 * Whether a last attempt that has waited since `waiting_us` is to be made only
 * on workers that are sound, see rj_cell_failure_is_healthy.
 *
 * Load that it answers: some of all workers begin to fail what they start. A
 * wide gang meets one of them at each attempt, and would use up its attempts
 * before these workers are known. Other work finds them within seconds.
 */
bool rj_cell_failure_requires_healthy(const struct rj_cell_failure_burst *burst,
				      uint64_t waiting_us, uint64_t now_us)
{
	return rj_cell_failure_is_burst(burst, now_us) &&
	       now_us < waiting_us + LAST_ATTEMPT_HOLD_US;
}

/*
 * Whether what a worker started at `sound_us`, and did not fail, shows that it
 * is none of those that have begun to fail.
 */
bool rj_cell_failure_is_healthy(const struct rj_cell_failure_burst *burst,
				uint64_t healthy_us)
{
	return healthy_us >= burst->first_us;
}
