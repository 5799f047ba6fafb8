/*
 * History of a worker or of a rack: how often its work ended badly and how long
 * it worked, both decaying, so that the rate of bad ends can be estimated with
 * its uncertainty.
 *
 * A zeroed history is that of a worker of which nothing is known. No function
 * reads a clock.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_WORKER_HISTORY_H
#define RADISHJUNCTION_PRIVATE_CELL_WORKER_HISTORY_H

#include <stdint.h>

struct rj_cell_worker_history {
	double bad_ends; /* weighted number */
	double exposure_s; /* time for which it could have ended badly */
	uint64_t updated_us; /* both have decayed up to then */
	/* Until then it gets only work that can be lost cheaply. */
	uint64_t probation_until_us;
};

#endif
