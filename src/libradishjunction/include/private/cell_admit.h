/*
 * Admission control: decides for each queue whether the cell can still complete
 * new jobs in time. The owner evaluates its backlog and sends the result to the
 * entries with its heartbeat; they apply it to each submission.
 *
 * Reads the owner's jobs, fleet and forecast and changes none of them. With the
 * feature admission_forecast it keeps its decisions in the service rate.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_ADMIT_H
#define RADISHJUNCTION_PRIVATE_CELL_ADMIT_H

#include "private/cell_owner.h"

void rj_cell_admit_queues(struct rj_cell_owner *owner,
			  struct rj_cell_owner_heartbeat *heartbeat);
bool rj_cell_admit_is_ahead(const struct rj_cell_owner *owner,
			    const struct rj_cell_job *job, uint32_t priority);
uint32_t rj_cell_admit_retry_after_ms(double excess_ms);

#endif
