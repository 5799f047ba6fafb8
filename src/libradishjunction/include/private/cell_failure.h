/*
 * Distinguishes workers that fail everything they start from tasks that fail by
 * themselves: such workers cause failures soon after the start, several of them
 * at the same time.
 *
 * No function reads a clock; a zeroed burst is empty.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_FAILURE_H
#define RADISHJUNCTION_PRIVATE_CELL_FAILURE_H

#include "radishjunction/types.h"

/* Early failures in close succession. */
struct rj_cell_failure_burst {
	uint64_t first_us;
	uint64_t last_us;
	uint32_t count;
};

bool rj_cell_failure_is_early(uint64_t ran_us);
void rj_cell_failure_record_early(struct rj_cell_failure_burst *burst,
				  uint64_t now_us);
bool rj_cell_failure_is_burst(const struct rj_cell_failure_burst *burst,
			      uint64_t now_us);
bool rj_cell_failure_requires_healthy(const struct rj_cell_failure_burst *burst,
				      uint64_t waiting_us, uint64_t now_us);
bool rj_cell_failure_is_healthy(const struct rj_cell_failure_burst *burst,
				uint64_t healthy_us);

#endif
