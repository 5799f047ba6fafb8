/*
 * Which workers an outside policy allows to run the steps of a queue, and the
 * tickets that it gives for them.
 *
 * The policy's answer for a worker and a step does not change while that
 * worker lives; a ticket is good for a while and is asked for again. An owner
 * has one question open at a time, as the policy answers each instance in
 * turn. Life cycle: opinions belong to an occurrence and go with it; a new
 * owner asks anew.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_ADVICE_H
#define RADISHJUNCTION_PRIVATE_CELL_ADVICE_H

#include <glib.h>

#include "private/cell_fleet.h"

/* Long enough for what the policy calls a ticket, with the zero. */
#define RJ_CELL_TICKET_BYTES 64
/* Workers in one question: users reckon a job's objective with so many. */
#define RJ_CELL_ADVICE_WORKERS 30

/* One worker that may run the step. */
struct rj_cell_ticket {
	const char *worker;
	const char *ticket;
};

struct rj_cell_advice_reply {
	bool answered; /* false: nothing is known; ask again later */
	uint64_t now_us; /* when the answer came, by the node's clock */
	const struct rj_cell_ticket *tickets;
	uint32_t count;
	uint32_t valid_ms; /* of the tickets */
};

struct rj_cell_advice_done {
	void (*call)(void *private_data,
		     const struct rj_cell_advice_reply *reply);
	void *private_data;
};

struct rj_cell_advisor;

struct rj_cell_advisor_ops {
	/* Ends in exactly one call of `done`, never before it has returned. */
	void (*ask)(struct rj_cell_advisor *advisor, const char *step,
		    const char *const *workers, uint32_t count,
		    struct rj_cell_advice_done done);
};

struct rj_cell_advisor {
	const struct rj_cell_advisor_ops *ops; /* first member, always */
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
