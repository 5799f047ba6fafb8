/*
 * Evidence that an owner gathers about its workers and their racks, for their
 * histories: how runs end, which starts are refused, which workers become
 * silent, return or restart. See cell_worker_history.h.
 *
 * Nothing is gathered unless the deployment calls for `worker_history`.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_WORKER_EVIDENCE_H
#define RADISHJUNCTION_PRIVATE_CELL_WORKER_EVIDENCE_H

#include "private/cell_owner.h"

void rj_cell_worker_evidence_run_ended(struct rj_cell_owner *owner,
				       const struct rj_cell_run *run,
				       enum rj_cell_completion end);
void rj_cell_worker_evidence_refused(struct rj_cell_owner *owner,
				     struct rj_cell_worker *worker);
void rj_cell_worker_evidence_silent(struct rj_cell_owner *owner,
				    struct rj_cell_worker *worker);
void rj_cell_worker_evidence_regained(struct rj_cell_owner *owner,
				      struct rj_cell_worker *worker);
void rj_cell_worker_evidence_restarted(struct rj_cell_owner *owner,
				       struct rj_cell_worker *worker,
				       uint64_t former_incarnation);

#endif
