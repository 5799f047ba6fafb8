/*
 * Admission by account. A queue that rejects jobs for its backlog still accepts
 * those of accounts within their share, as far as their entitlement serves.
 *
 * The owner evaluates each queue with `rj_cell_account_admission_add_queue`,
 * which names the rejected accounts in its heartbeat; the frontends apply that
 * with `rj_cell_account_admission_refuses`. Reads the owner and changes nothing
 * of it.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_ACCOUNT_ADMISSION_H
#define RADISHJUNCTION_PRIVATE_CELL_ACCOUNT_ADMISSION_H

#include "private/cell_owner.h"

void rj_cell_account_admission_add_queue(
	const struct rj_cell_owner *owner, uint32_t priority, double wait_ms,
	double wait_max_ms, struct rj_cell_owner_heartbeat *heartbeat);
bool rj_cell_account_admission_refuses(
	const struct rj_cell_owner_heartbeat *heartbeat, uint32_t queue,
	const char *account, uint32_t *retry_after_ms);

#endif
