/*
 * Interface to the workers, as an owner calls them. An adapter provides the
 * operations.
 *
 * Every operation calls `done` exactly once, and not before it has returned.
 * The reply and all it points to are valid until `done` returns.
 *
 * An order that names an incarnation of the worker is carried out by this one,
 * however late, or by none. If it is known that another one serves the worker,
 * nothing is sent, and the status is RJ_CELL_ORDER_OTHER_INCARNATION.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_WORKERS_H
#define RADISHJUNCTION_PRIVATE_CELL_WORKERS_H

#include "private/cell_fleet.h"

enum rj_cell_order_status {
	RJ_CELL_ORDER_OK,
	RJ_CELL_ORDER_FENCED, /* the worker has seen a higher fencing token */
	RJ_CELL_ORDER_STALE, /* the run was stopped or has ended */
	RJ_CELL_ORDER_DEADLINE_PASSED,
	RJ_CELL_ORDER_NO_CAPACITY, /* it does not fit on the worker */
	RJ_CELL_ORDER_TICKET_INVALID, /* the ticket is missing or expired */
	RJ_CELL_ORDER_MALFORMED, /* the worker could not parse the order */
	RJ_CELL_ORDER_UNHEALTHY, /* the worker is unhealthy; nothing was done */
	/* Another incarnation serves the worker; nothing was done. */
	RJ_CELL_ORDER_OTHER_INCARNATION,
	RJ_CELL_ORDER_UNSENT, /* no connection; nothing was done */
	RJ_CELL_ORDER_LOST, /* no answer; it may be carried out, even later */
	RJ_CELL_ORDER_STATUS_COUNT
};

extern const char
	*const rj_cell_order_status_string[RJ_CELL_ORDER_STATUS_COUNT];

enum rj_cell_completion {
	RJ_CELL_COMPLETION_DONE,
	RJ_CELL_COMPLETION_FAILED, /* by a fault of the task or of the worker */
	RJ_CELL_COMPLETION_STOPPED,
	RJ_CELL_COMPLETION_EXPIRED, /* its lease was not renewed */
	RJ_CELL_COMPLETION_GANG_BROKEN, /* another member of its gang ended */
	/* Other members of its gang did not start. */
	RJ_CELL_COMPLETION_GANG_INCOMPLETE,
	/* Lost with its worker; never reported by a worker. */
	RJ_CELL_COMPLETION_LOST,
	RJ_CELL_COMPLETION_COUNT
};

extern const char *const rj_cell_completion_string[RJ_CELL_COMPLETION_COUNT];

/* A run that the worker reports. */
struct rj_cell_run_report {
	const char *name;
	uint32_t number;
	const char *saved; /* checkpoint, or "" */
	uint32_t percent;
	/* Tail latency in ms, or thousandths of cores in use. */
	uint32_t measurement;
};

/* A run completion that the worker reports. */
struct rj_cell_completion_report {
	uint64_t position; /* rises from 1 in each incarnation of the worker */
	const char *name;
	uint32_t number;
	enum rj_cell_completion end;
	const char *saved;
};

struct rj_cell_order_reply {
	enum rj_cell_order_status status;
	uint64_t now_us; /* when the answer arrived, by the node's clock */
	uint64_t clock_ms; /* the worker's clock; 0: not reported */
	uint64_t incarnation; /* polls: of the worker */
	const struct rj_cell_run_report *rows;
	uint32_t row_count;
	/* Completions that were not acknowledged, the first ones first. */
	const struct rj_cell_completion_report *completions;
	uint32_t completion_count;
	bool more_completions; /* the worker may have further ones */
};

/* Completion callback of an operation. */
struct rj_cell_order_done {
	void (*call)(void *private_data,
		     const struct rj_cell_order_reply *reply);
	void *private_data;
};

struct rj_cell_start {
	uint64_t incarnation; /* of the worker that it is meant for; 0: any */
	const char *name;
	uint32_t number;
	const char *spec;
	const char *checkpoint; /* or "" */
	const char *ticket; /* from the policy service, or "" */
	uint64_t deadline_ms; /* by the worker's clock */
	uint64_t token;
};

struct rj_cell_stop {
	uint64_t incarnation; /* as of a start */
	const char *name;
	uint32_t number;
	uint64_t token;
};

struct rj_cell_poll {
	/* As of a start; not 0 if the poll has a position or a deadline. */
	uint64_t incarnation;
	uint64_t token;
	/* The worker may discard completions up to here. */
	uint64_t stored_position;
	/* New lease deadline; 0: leases are not renewed. */
	uint64_t deadline_ms;
	uint32_t wait_ms; /* how long the worker waits for a completion */
	/* Added to wait_ms before the poll counts as lost. */
	uint32_t timeout_ms;
};

struct rj_cell_workers;

struct rj_cell_workers_ops {
	void (*start)(struct rj_cell_workers *workers,
		      const struct rj_cell_worker *worker,
		      const struct rj_cell_start *start,
		      struct rj_cell_order_done done);
	void (*stop)(struct rj_cell_workers *workers,
		     const struct rj_cell_worker *worker,
		     const struct rj_cell_stop *stop,
		     struct rj_cell_order_done done);
	void (*poll)(struct rj_cell_workers *workers,
		     const struct rj_cell_worker *worker,
		     const struct rj_cell_poll *poll,
		     struct rj_cell_order_done done);
};

struct rj_cell_workers {
	const struct rj_cell_workers_ops *ops; /* must be the first member */
	/* Calls that the adapter made to learn to which incarnation a new
	 * connection leads. */
	uint64_t handshakes;
};

#endif
