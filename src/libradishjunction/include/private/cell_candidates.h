/*
 * A priority queue of the workers that a task may be placed on, the lowest cost
 * first; a binary heap.
 *
 * Life cycle: `rj_cell_candidates_init`; push each candidate and pop the
 * cheapest; a popped candidate whose cost has changed is pushed again.
 * `rj_cell_candidates_finish` frees it.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_CANDIDATES_H
#define RADISHJUNCTION_PRIVATE_CELL_CANDIDATES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct rj_cell_plan_worker;

struct rj_cell_candidate {
	uint64_t cost; /* equal costs are ordered by worker address */
	struct rj_cell_plan_worker *plan_worker;
};

struct rj_cell_candidates {
	GArray *heap; /* struct rj_cell_candidate */
};

void rj_cell_candidates_init(struct rj_cell_candidates *candidates);
void rj_cell_candidates_finish(struct rj_cell_candidates *candidates);
void rj_cell_candidates_push(struct rj_cell_candidates *candidates,
			     uint64_t cost,
			     struct rj_cell_plan_worker *plan_worker);
struct rj_cell_candidate
rj_cell_candidates_pop(struct rj_cell_candidates *candidates);

#endif
