/*
 * Demands that could not be placed in the plan being made. Other groups that
 * need as much or more are not evaluated against all workers again. Part of
 * making a plan; see cell_plan.h.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_SHORTAGE_H
#define RADISHJUNCTION_PRIVATE_CELL_SHORTAGE_H

#include "private/cell_place.h"

/* A group of tasks that could not be placed, and the workers that were
 * searched. */
struct rj_cell_shortage {
	const struct rj_cell_step *step;
	const char *service; /* interned */
	enum rj_cell_horizon horizon;
	uint32_t count; /* tasks to be placed together */
	bool remote_allowed;
	bool may_use_reserved;
	bool may_use_exclusive;
	bool may_use_suspect;
	bool in_one_rack;
};

bool rj_cell_shortage_is_known(const struct rj_cell_plan *plan,
			       const struct rj_cell_task_group *group,
			       uint32_t count, enum rj_cell_horizon horizon);
void rj_cell_shortage_record(struct rj_cell_plan *plan,
			     const struct rj_cell_task_group *group,
			     uint32_t count, enum rj_cell_horizon horizon);

#endif
