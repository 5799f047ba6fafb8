/*
 * What an owner asks of workers. An adapter fills the vtable.
 *
 * Every call ends in exactly one call of `done`, never before the call has
 * returned; what the reply points to lives until `done` returns.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_WORKERS_H
#define RADISHJUNCTION_PRIVATE_CELL_WORKERS_H

#include "private/cell_fleet.h"

enum rj_cell_order_status {
	RJ_CELL_ORDER_OK,
	RJ_CELL_ORDER_FENCED, /* a higher fencing token was there before */
	RJ_CELL_ORDER_STALE, /* the run has been stopped or has ended */
	RJ_CELL_ORDER_DEADLINE_PASSED, /* its deadline has passed */
	RJ_CELL_ORDER_NO_CAPACITY, /* it does not fit */
	RJ_CELL_ORDER_TICKET_INVALID, /* the ticket is missing or no longer good */
	RJ_CELL_ORDER_MALFORMED, /* not understood */
	RJ_CELL_ORDER_UNHEALTHY, /* the worker is not well; nothing was done */
	RJ_CELL_ORDER_OTHER_INCARNATION, /* another life of the worker answers there */
	RJ_CELL_ORDER_UNSENT, /* no connection: nothing was done */
	RJ_CELL_ORDER_LOST, /* no answer: it may be done, even later */
	RJ_CELL_ORDER_STATUS_COUNT
};

extern const char
	*const rj_cell_order_status_string[RJ_CELL_ORDER_STATUS_COUNT];

enum rj_cell_completion {
	RJ_CELL_COMPLETION_DONE,
	RJ_CELL_COMPLETION_FAILED, /* by its own fault or the worker's */
	RJ_CELL_COMPLETION_STOPPED,
	RJ_CELL_COMPLETION_EXPIRED, /* its lease was not renewed */
	RJ_CELL_COMPLETION_GANG_BROKEN, /* another member of its gang ended */
	RJ_CELL_COMPLETION_GANG_INCOMPLETE, /* the others of its gang did not come */
	RJ_CELL_COMPLETION_LOST, /* with its worker; no worker says this */
	RJ_CELL_COMPLETION_COUNT
};

extern const char *const rj_cell_completion_string[RJ_CELL_COMPLETION_COUNT];

/* A run that the worker lists. */
struct rj_cell_run_report {
	const char *name;
	uint32_t number;
	const char *saved; /* checkpoint, or "" */
	uint32_t percent;
	uint32_t measurement; /* tail in ms, or thousandths of cores in use */
};

/* An end that the worker lists. */
struct rj_cell_completion_report {
	uint64_t position; /* rises from 1 in each life of the worker */
	const char *name;
	uint32_t number;
	enum rj_cell_completion end;
	const char *saved;
};

struct rj_cell_order_reply {
	enum rj_cell_order_status status;
	uint64_t now_us; /* when the answer came, by the node's clock */
	uint64_t clock_ms; /* of the worker; 0 when it was not said */
	uint64_t incarnation; /* polls: of the worker */
	const struct rj_cell_run_report *rows;
	uint32_t row_count;
	const struct rj_cell_completion_report *completions;
	uint32_t completion_count;
};

/* What is called once a call has ended. */
struct rj_cell_order_done {
	void (*call)(void *private_data,
		     const struct rj_cell_order_reply *reply);
	void *private_data;
};

struct rj_cell_start {
	const char *name;
	uint32_t number;
	const char *spec;
	const char *checkpoint; /* or "" */
	const char *ticket; /* of an outside policy, or "" */
	uint64_t deadline_ms; /* by the worker's clock */
	uint64_t token;
};

struct rj_cell_poll {
	uint64_t token;
	uint64_t stored_position; /* ends up to here may be forgotten */
	uint64_t deadline_ms; /* 0: the leases stay as they are */
	uint32_t wait_ms; /* for an end */
	uint32_t timeout_ms; /* beyond that, until it counts as lost */
};

struct rj_cell_workers;

struct rj_cell_workers_ops {
	void (*start)(struct rj_cell_workers *workers,
		      const struct rj_cell_worker *worker,
		      const struct rj_cell_start *start,
		      struct rj_cell_order_done done);
	void (*stop)(struct rj_cell_workers *workers,
		     const struct rj_cell_worker *worker, const char *name,
		     uint32_t number, uint64_t token,
		     struct rj_cell_order_done done);
	void (*poll)(struct rj_cell_workers *workers,
		     const struct rj_cell_worker *worker,
		     const struct rj_cell_poll *poll,
		     struct rj_cell_order_done done);
};

struct rj_cell_workers {
	const struct rj_cell_workers_ops *ops; /* first member, always */
};

#endif
