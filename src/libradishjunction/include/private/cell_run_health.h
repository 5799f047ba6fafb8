/*
 * Watches the runs that workers list: their progress, stalled runs, and serving
 * runs that exceed their latency bound.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_RUN_HEALTH_H
#define RADISHJUNCTION_PRIVATE_CELL_RUN_HEALTH_H

#include "private/cell_owner.h"

void rj_cell_run_health_update(struct rj_cell_owner *owner,
			       struct rj_cell_run *run,
			       const struct rj_cell_run_report *row);
void rj_cell_run_health_check(struct rj_cell_owner *owner,
			      struct rj_cell_worker *worker);

#endif
