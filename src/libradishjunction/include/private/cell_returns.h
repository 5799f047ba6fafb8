/*
 * Applies the order of return in the owner: reads the instances' rejections from
 * the log of requests, announces whose turn it is with each heartbeat, and
 * removes the records of instances that are gone. Without the feature
 * `return_order` every function has no effect.
 *
 * The list is part of the owner and lives as long as it; it is loaded again at
 * each takeover.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_RETURNS_H
#define RADISHJUNCTION_PRIVATE_CELL_RETURNS_H

#include "private/cell_owner.h"

void rj_cell_returns_begin(struct rj_cell_owner *owner);
void rj_cell_returns_read(struct rj_cell_owner *owner,
			  const struct rj_cell_record *record,
			  uint64_t wall_ms);
void rj_cell_returns_accepted(struct rj_cell_owner *owner,
			      const struct rj_cell_job_spec *spec);
void rj_cell_returns_announce(struct rj_cell_owner *owner,
			      struct rj_cell_owner_heartbeat *heartbeat);

#endif
