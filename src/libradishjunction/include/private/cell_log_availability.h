/*
 * Whether the log is available to an instance, and when clients are to retry
 * while it is not. Pure functions of times.
 *
 * Life cycle: a zeroed value; `rj_cell_log_availability_update` every few
 * milliseconds.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_LOG_AVAILABILITY_H
#define RADISHJUNCTION_PRIVATE_CELL_LOG_AVAILABILITY_H

#include "radishjunction/types.h"

struct rj_cell_log_availability {
	uint64_t unavailable_since_us; /* 0: the log is available */
};

bool rj_cell_log_availability_update(
	struct rj_cell_log_availability *availability, uint64_t answered_us,
	bool refuses_reads, uint64_t now_us);
uint32_t rj_cell_log_availability_retry_after_ms(
	const struct rj_cell_log_availability *availability, uint64_t now_us);

#endif
