/*
 * The owner's failure detector: which workers can be reached just now.
 *
 * An answer to any call proves the path to a worker for a moment. A worker
 * that was not heard from for longer is probed before tasks are started on
 * it, as a start that is lost on its way holds its task until the lease that
 * it carried has expired. A failure domain from which nothing has been heard
 * since a call to it was lost gets no work.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_REACHABILITY_H
#define RADISHJUNCTION_PRIVATE_CELL_REACHABILITY_H

#include "private/cell_owner.h"

bool rj_cell_reachability_confirmed(const struct rj_cell_owner *owner,
				    const struct rj_cell_worker *worker);
void rj_cell_reachability_probe(struct rj_cell_owner *owner,
				struct rj_cell_worker *worker);

#endif
