/*
 * Incarnations of workers: for which one a call is meant, and which one has
 * answered it.
 *
 * A worker that restarts under its id knows nothing of before, and its clock,
 * the positions of its completions and its fencing token start anew. What one
 * incarnation has said therefore holds for this one alone. A call that carries
 * such a thing names the incarnation, and the adapter sends it over a connection
 * to that process or not at all.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_INCARNATION_H
#define RADISHJUNCTION_PRIVATE_CELL_INCARNATION_H

#include "private/cell_calls.h"

bool rj_cell_incarnation_may_start(const struct rj_cell_run *run);
void rj_cell_incarnation_address_poll(struct rj_cell_owner *owner,
				      struct rj_cell_worker *worker,
				      struct rj_cell_poll *poll);
bool rj_cell_incarnation_is_former(const struct rj_cell_worker *worker,
				   const struct rj_cell_call_context *call,
				   const struct rj_cell_order_reply *reply);
void rj_cell_incarnation_update_clock(struct rj_cell_worker *worker,
				      const struct rj_cell_call_context *call,
				      const struct rj_cell_order_reply *reply);
void rj_cell_incarnation_accept(struct rj_cell_owner *owner,
				struct rj_cell_worker *worker,
				const struct rj_cell_call_context *call,
				const struct rj_cell_order_reply *reply);
void rj_cell_incarnation_changed(struct rj_cell_owner *owner,
				 struct rj_cell_worker *worker);
void rj_cell_incarnation_ended(struct rj_cell_owner *owner,
			       struct rj_cell_worker *worker,
			       uint64_t incarnation);

#endif
