/*
 * Accepted work of a cell_sim that could run and does not.
 *
 * Life cycle: `cell_standing_init`; `cell_standing_observe` at each tick;
 * `cell_standing_finish`.
 */
#ifndef TEST_SUPPORT_CELL_STANDING_H
#define TEST_SUPPORT_CELL_STANDING_H

#include "support/cell_sim.h"

/* How long work may stand still; a perpetual task from the end of its run. */
#define CELL_STANDING_MAX_US (3 * S)
#define CELL_STANDING_PERPETUAL_MAX_US (6 * S)
/* Time after the last fault from which that is a violation. */
#define CELL_STANDING_RECOVERY_US (14 * S)

struct cell_standing {
	/* Job, or name of a perpetual task -> struct stand. */
	GHashTable *stands;
	uint64_t disturbed_us; /* latest fault */
	uint64_t state; /* hash of what is up */
	/* Latest time after a fault at which something still stood. */
	uint64_t longest_us;
	char longest[64]; /* what did */
};

void cell_standing_init(struct cell_standing *standing);
void cell_standing_observe(struct cell_standing *standing,
			   struct cell_sim *sim);
void cell_standing_finish(struct cell_standing *standing);

#endif
