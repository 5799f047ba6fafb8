/*
 * Samples of workers' paces from the runs on them, see cell_pace.h:
 * `rj_cell_run_pace_report` for each report of a run,
 * `rj_cell_run_pace_learn` when the first member of a gang is done.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_RUN_PACE_H
#define RADISHJUNCTION_PRIVATE_CELL_RUN_PACE_H

#include "private/cell_owner.h"

void rj_cell_run_pace_report(struct rj_cell_run *run, uint64_t now_us);
void rj_cell_run_pace_learn(struct rj_cell_owner *owner,
			    const struct rj_cell_run *done);

#endif
