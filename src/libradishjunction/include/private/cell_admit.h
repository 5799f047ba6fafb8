/*
 * Decides whether a queue takes more jobs: by what the cell can still serve
 * in time. The owner decides from its backlog and tells the entries with its
 * heartbeat; they apply it to each submission.
 *
 * Pure functions of the owner's work and fleet.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_ADMIT_H
#define RADISHJUNCTION_PRIVATE_CELL_ADMIT_H

#include "private/cell_owner.h"

void rj_cell_admit_queues(const struct rj_cell_owner *owner,
			  struct rj_cell_beat *beat);

#endif
