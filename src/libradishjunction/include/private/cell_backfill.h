/*
 * Backfill: tasks that start on capacity which is free now and promised to a
 * group for later, if they are expected to end well before that group can start,
 * or if they have waited while most of the cell is idle.
 *
 * Load: a gang that waits for one worker for minutes, while others stand idle
 * for it and small tasks wait. The promise is kept: what was let in does not move
 * the group's expected start, and if it still runs then it is stopped.
 * Part of making a plan; see cell_plan.h.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_BACKFILL_H
#define RADISHJUNCTION_PRIVATE_CELL_BACKFILL_H

#include "private/cell_release.h"
#include "private/cell_place.h"

uint64_t rj_cell_backfill_hold(struct rj_cell_plan *plan,
			       const struct rj_cell_placement *placement);
bool rj_cell_backfill_may_recall(const struct rj_cell_plan *plan,
				 const struct rj_cell_release *release,
				 const struct rj_cell_task_group *group);
void rj_cell_backfill_recall(struct rj_cell_plan *plan,
			     const struct rj_cell_placement *placement,
			     const struct rj_cell_task_group *group);
bool rj_cell_backfill_may_start(const struct rj_cell_task *task);
uint64_t rj_cell_backfill_needs_us(const struct rj_cell_plan *plan,
				   const struct rj_cell_task_group *group);
bool rj_cell_backfill_is_eligible(const struct rj_cell_plan *plan,
				  const struct rj_cell_worker *worker,
				  const struct rj_cell_step *step);
struct rj_cell_demand
rj_cell_backfill_available(const struct rj_cell_plan *plan,
			   const struct rj_cell_plan_worker *plan_worker,
			   const struct rj_cell_placement_options *options);
void rj_cell_backfill_take(struct rj_cell_plan_worker *plan_worker,
			   const struct rj_cell_demand *demand);

#endif
