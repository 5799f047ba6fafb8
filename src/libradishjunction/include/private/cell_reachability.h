/*
 * The owner's failure detector: which workers are reachable at the moment.
 *
 * An answer to any call confirms the path to a worker for a short time. A
 * worker without a recent answer is probed before tasks are started on it,
 * because a start that is lost on its way blocks its task until the lease that
 * it carried has expired. A failure domain that has not answered since a call
 * to it was lost gets no work.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_REACHABILITY_H
#define RADISHJUNCTION_PRIVATE_CELL_REACHABILITY_H

#include "private/cell_owner.h"

bool rj_cell_reachability_confirmed(const struct rj_cell_owner *owner,
				    const struct rj_cell_worker *worker);
void rj_cell_reachability_probe(struct rj_cell_owner *owner,
				struct rj_cell_worker *worker);

#endif
