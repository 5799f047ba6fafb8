/*
 * The minimum share of a cell for each priority. Jobs of a priority below its
 * share go ahead of other jobs that are not urgent, so that they don't starve.
 * The share is measured in the resource of which the priority is allocated
 * most.
 *
 * Reads a plan whose workers have been gathered, including its starts and
 * stops, and changes nothing.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_SHARE_H
#define RADISHJUNCTION_PRIVATE_CELL_SHARE_H

#include "private/cell_plan.h"

/* The share of a priority is one part in this many of each resource. */
#define RJ_CELL_SHARE_DIVISOR 8

uint32_t rj_cell_share_free_tasks(const struct rj_cell_plan *plan,
				  const struct rj_cell_step *step,
				  const struct rj_cell_job *job);
bool rj_cell_share_protects(const struct rj_cell_plan *plan,
			    const struct rj_cell_job *job);

#endif
