/*
 * Watches the runs that workers list: their progress, those that stand still,
 * and those that serve users and are kept from their bound.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_HEALTH_H
#define RADISHJUNCTION_PRIVATE_CELL_HEALTH_H

#include "private/cell_owner.h"

void rj_cell_run_health_update(struct rj_cell_owner *owner,
			       struct rj_cell_run *run,
			       const struct rj_cell_row *row);
void rj_cell_run_health_check(struct rj_cell_owner *owner,
			      struct rj_cell_worker *worker);

#endif
