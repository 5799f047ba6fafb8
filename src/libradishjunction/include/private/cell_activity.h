/*
 * Log of an owner's activity, an event a second: its calls to workers, their
 * outcomes, and what prevents plans while tasks may be waiting.
 *
 * A zeroed struct is ready for use, and nothing has to be freed.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_ACTIVITY_H
#define RADISHJUNCTION_PRIVATE_CELL_ACTIVITY_H

#include <stdint.h>

/* What prevents a plan that is due. */
enum rj_cell_plan_block {
	RJ_CELL_PLAN_ALLOWED,
	RJ_CELL_PLAN_BLOCK_APPEND, /* changes are being stored */
	RJ_CELL_PLAN_BLOCK_LOG_AGE, /* a log was not read recently enough */
	RJ_CELL_PLAN_BLOCK_PAUSE, /* the pause after the last plan */
	RJ_CELL_PLAN_BLOCK_WINDOW, /* orders wait for room in their window */
	RJ_CELL_PLAN_BLOCK_COUNT
};

extern const char *const rj_cell_plan_block_string[RJ_CELL_PLAN_BLOCK_COUNT];

struct rj_cell_activity {
	uint64_t handshakes; /* with workers, as of the last log event */
	uint64_t log_due_us;
	uint64_t advanced_us; /* the last time the owner was advanced */
	uint64_t gap_max_us; /* longest time between two advances */
};

struct rj_cell_owner;

void rj_cell_activity_advanced(struct rj_cell_owner *owner);

#endif
