/*
 * Stand-in for one worker: serves a table of leases and tasks over HTTP, with
 * fault injection (docs/WORKER-PROTOCOL.md).
 *
 * Life cycle: `rj_standin_worker_init` on the caller's memory serves until
 * `rj_standin_worker_finish`.
 */
#ifndef RADISHJUNCTION_STANDIN_WORKER_H
#define RADISHJUNCTION_STANDIN_WORKER_H

#include "fault_injector.h"
#include "http_server.h"
#include "tasks.h"

struct rj_standin_worker;

struct rj_standin_worker_options {
	char name[RJ_NAME_BYTES];
	struct rj_address address;
	uint32_t connections_max;
	struct rj_resources capacity;
	/* Called after fault injection, which may have changed the leaving
	 * state or the incarnation. */
	void (*changed)(struct rj_standin_worker *worker);
};

struct rj_standin_worker {
	struct rj_standin_worker_options options;
	void *mem;
	struct tevent_context *ev;
	struct rj_http_server server;
	struct rj_fault_injector fault_injector;
	struct rj_tasks tasks;
	struct tevent_timer *timer; /* for rj_tasks_due_us */
	struct rj_list waiting; /* calls that wait for the end of a task */
	uint64_t report_lag_us; /* maximum age of a cached report */
	void *cached_report_mem;
	struct rj_worker_report cached_report; /* see report_lag_us */
	uint64_t cached_report_at_us;
	uint64_t lose_answers; /* next answers to drop */
	uint64_t cut_answers; /* next answers to truncate */
	uint64_t cross_answers; /* next answers to replace by the last */
	char *last_answer;
};

int rj_standin_worker_init(struct rj_standin_worker *worker, void *mem,
			   struct tevent_context *ev,
			   const struct rj_standin_worker_options *options,
			   struct rj_error *err);
void rj_standin_worker_finish(struct rj_standin_worker *worker);

#endif
