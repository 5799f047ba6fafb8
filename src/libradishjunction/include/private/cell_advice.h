/*
 * Placement policy: an external service that decides which workers may run the
 * steps of some queues, and issues tickets for them.
 *
 * A decision for a worker and a step holds for that incarnation of the worker;
 * a ticket expires and is requested again. An owner has one request in flight,
 * because the policy serves the requests of an instance one at a time.
 * Decisions belong to an occurrence and are freed with it; a new owner requests
 * them again.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_ADVICE_H
#define RADISHJUNCTION_PRIVATE_CELL_ADVICE_H

#include <glib.h>

#include "private/cell_fleet.h"

/* Workers in one request: the number on which users base a job's objective. */
#define RJ_CELL_ADVICE_WORKERS 30

/* A worker that may run the step, and its ticket. */
struct rj_cell_ticket {
	char worker[RJ_NAME_BYTES];
	const char *ticket;
};

struct rj_cell_advice_reply {
	bool answered; /* false: nothing is known; retry later */
	uint64_t now_us; /* when the answer arrived, by the node's clock */
	const struct rj_cell_ticket *tickets;
	uint32_t count;
	uint32_t valid_ms; /* lifetime of the tickets */
};

struct rj_cell_advice_done {
	void (*call)(void *private_data,
		     const struct rj_cell_advice_reply *reply);
	void *private_data;
};

struct rj_cell_advisor;

struct rj_cell_advisor_ops {
	/* Calls `done` exactly once, and not before it has returned. */
	void (*ask)(struct rj_cell_advisor *advisor, const char *step,
		    const char *const *workers, uint32_t count,
		    struct rj_cell_advice_done done);
};

struct rj_cell_advisor {
	const struct rj_cell_advisor_ops *ops; /* must be the first member */
};

struct rj_cell_owner;
struct rj_cell_plan;

const char *rj_cell_advice_ticket(const struct rj_cell_occurrence *occurrence,
				  uint32_t step,
				  const struct rj_cell_worker *worker,
				  uint64_t now_us);
void rj_cell_advice_invalidate(struct rj_cell_task *task,
			       const struct rj_cell_worker *worker);
void rj_cell_advice_ask(struct rj_cell_owner *owner,
			const struct rj_cell_plan *plan);

#endif
