/*
 * Decides when an instance replaces the owner of the cell: it becomes a
 * candidate when the owner has failed or is too weak, waits for a delay of its
 * own, and appends an ownership record unless another candidate was first.
 *
 * Call `rj_cell_candidate_init` when the node starts, `_tick` every few
 * milliseconds, and `_pause` when the node gives up ownership.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_CANDIDATE_H
#define RADISHJUNCTION_PRIVATE_CELL_CANDIDATE_H

#include "private/cell_node.h"

void rj_cell_candidate_init(struct rj_cell_node *node);
void rj_cell_candidate_tick(struct rj_cell_node *node);
void rj_cell_candidate_pause(struct rj_cell_node *node);

#endif
