/*
 * Starts what a plan has placed: each run is recorded, and its start is sent
 * once that intent is stored.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_STARTS_H
#define RADISHJUNCTION_PRIVATE_CELL_STARTS_H

#include "private/cell_owner.h"
#include "private/cell_plan.h"

void rj_cell_starts_begin(struct rj_cell_owner *owner,
			  const struct rj_cell_plan *plan);

#endif
