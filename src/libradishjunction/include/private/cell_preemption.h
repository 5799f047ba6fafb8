/*
 * Decides when preemption pays: which waiting work may stop runs of others, what
 * a stop costs, and which runs are not stopped again.
 *
 * Load: wide gangs that are not urgent on a cell full of small tasks of a lower
 * priority. Each gang stops dozens of them, those that started last first, and
 * the same tasks again a second later.
 *
 * Pure functions over a plan; in force where `plan->features.restore_ms` is set.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_PREEMPTION_H
#define RADISHJUNCTION_PRIVATE_CELL_PREEMPTION_H

#include "private/cell_place.h"

bool rj_cell_preemption_has_waited(const struct rj_cell_plan *plan,
				   const struct rj_cell_task_group *group);
uint64_t
rj_cell_preemption_max_loss_milli(const struct rj_cell_plan *plan,
				  const struct rj_cell_task_group *group,
				  uint64_t work_milli);
bool rj_cell_preemption_protects(const struct rj_cell_plan *plan,
				 const struct rj_cell_run *run,
				 const struct rj_cell_task_group *group);
uint64_t rj_cell_preemption_lost_ms(const struct rj_cell_plan *plan,
				    const struct rj_cell_run *run);

#endif
