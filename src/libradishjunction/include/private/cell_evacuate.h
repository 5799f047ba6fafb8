/*
 * Stops runs on workers that are about to leave.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_EVACUATE_H
#define RADISHJUNCTION_PRIVATE_CELL_EVACUATE_H

#include "private/cell_owner.h"

bool rj_cell_evacuate_is_due(const struct rj_cell_step *step, uint64_t left_us,
			     uint64_t now_us, uint64_t departure_us,
			     bool cut_off);
void rj_cell_evacuate(struct rj_cell_owner *owner,
		      struct rj_cell_worker *worker);

#endif
