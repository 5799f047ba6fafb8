/*
 * The steps whose tasks wait for capacity, in the order in which a plan places
 * them. Part of making a plan; see cell_plan.h.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_TASK_GROUPS_H
#define RADISHJUNCTION_PRIVATE_CELL_TASK_GROUPS_H

#include "private/cell_place.h"

void rj_cell_task_groups_gather(struct rj_cell_plan *plan);
bool rj_cell_plan_task_waits(const struct rj_cell_plan *plan,
			     const struct rj_cell_task *task);
bool rj_cell_task_group_may_use_idle(const struct rj_cell_plan *plan,
				     const struct rj_cell_task_group *group);
void rj_cell_task_group_set_reserved(const struct rj_cell_plan *plan,
				     struct rj_cell_task_group *group);

#endif
