/*
 * Shared parts of the owner's calls to workers: the context of a call, the
 * handling of every answer, and the lease deadline that a call carries.
 *
 * A call context lives from the call to its answer. By then the run, the worker
 * or the ownership may no longer exist, so the context identifies them by name.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_CALLS_H
#define RADISHJUNCTION_PRIVATE_CELL_CALLS_H

#include "private/cell_owner.h"

struct rj_cell_call_context {
	struct rj_cell_owner *owner;
	uint32_t generation;
	uint64_t sent_us;
	char worker[RJ_NAME_BYTES];
	uint64_t incarnation; /* of the worker that it is meant for; 0: any */
	char *name; /* of the run; NULL for polls */
	uint32_t number;
	struct rj_cell_call_window *window; /* of the owner; NULL: none */
	/* Polls: completions acknowledged up to here; 0: none. */
	uint64_t stored_position;
};

struct rj_cell_call_context *
rj_cell_call_new(struct rj_cell_owner *owner,
		 const struct rj_cell_worker *worker,
		 const struct rj_cell_run *run);
void rj_cell_call_enter_window(struct rj_cell_call_context *call,
			       struct rj_cell_call_window *window);
uint64_t rj_cell_call_next_deadline(struct rj_cell_owner *owner,
				    struct rj_cell_worker *worker);
void rj_cell_call_lose_runs(struct rj_cell_owner *owner,
			    struct rj_cell_worker *worker, const char *reason);
void rj_cell_call_set_answering(struct rj_cell_owner *owner,
				struct rj_cell_worker *worker, bool answers,
				enum rj_cell_order_status status);
struct rj_cell_worker *
rj_cell_call_find_worker(struct rj_cell_call_context *call,
			 const struct rj_cell_order_reply *reply);
void rj_cell_call_other_incarnation(struct rj_cell_owner *owner,
				    struct rj_cell_worker *worker,
				    uint64_t incarnation);
void rj_cell_polls_poll_busy(struct rj_cell_owner *owner,
			     struct rj_cell_worker *worker);
void rj_cell_polls_tick(struct rj_cell_owner *owner);

#endif
