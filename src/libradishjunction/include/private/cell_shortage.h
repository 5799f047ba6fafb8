/*
 * Demands that found no room in the plan that is being made, so that others
 * that want as much or more are not weighed against all workers again. Part
 * of making a plan; see cell_plan.h.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_SHORTAGE_H
#define RADISHJUNCTION_PRIVATE_CELL_SHORTAGE_H

#include "private/cell_place.h"

/* A group of tasks that found no room, and where it looked. */
struct rj_cell_shortage {
	const struct rj_cell_step *step;
	const char *service; /* interned */
	enum rj_cell_horizon horizon;
	uint32_t count; /* of tasks that were to be placed together */
	bool remote_allowed;
	bool may_use_reserved;
	bool may_use_exclusive;
	bool in_one_rack;
};

bool rj_cell_shortage_is_known(const struct rj_cell_plan *plan,
			       const struct rj_cell_task_group *group,
			       uint32_t count, enum rj_cell_horizon horizon);
void rj_cell_shortage_record(struct rj_cell_plan *plan,
			     const struct rj_cell_task_group *group,
			     uint32_t count, enum rj_cell_horizon horizon);

#endif
