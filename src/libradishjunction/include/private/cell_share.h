/*
 * The share of a cell that the work of each priority may take ahead of other
 * work that is not urgent, so that it does not starve behind it. It is
 * measured in the kind of room of which the priority holds most.
 *
 * Pure functions of a plan whose rooms have been gathered; what the plan
 * starts and stops is counted.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_SHARE_H
#define RADISHJUNCTION_PRIVATE_CELL_SHARE_H

#include "private/cell_plan.h"

uint32_t rj_cell_share_free_tasks(const struct rj_cell_plan *plan,
				  const struct rj_cell_step *step,
				  const struct rj_cell_work *job);
bool rj_cell_share_protects(const struct rj_cell_plan *plan,
			    const struct rj_cell_work *job);

#endif
