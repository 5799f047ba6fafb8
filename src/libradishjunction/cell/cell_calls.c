#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_calls.h"
#include "private/log_event.h"

const char *const rj_cell_order_status_string[RJ_CELL_ORDER_STATUS_COUNT] = {
	[RJ_CELL_ORDER_OK] = "ok",
	[RJ_CELL_ORDER_FENCED] = "fenced",
	[RJ_CELL_ORDER_OLD] = "old",
	[RJ_CELL_ORDER_LATE] = "late",
	[RJ_CELL_ORDER_FULL] = "full",
	[RJ_CELL_ORDER_TICKET] = "ticket",
	[RJ_CELL_ORDER_BAD] = "bad",
	[RJ_CELL_ORDER_SICK] = "sick",
	[RJ_CELL_ORDER_OTHER] = "other_life",
	[RJ_CELL_ORDER_UNSENT] = "unsent",
	[RJ_CELL_ORDER_LOST] = "lost",
};

/*
 * Remember a call.
 */
struct rj_cell_call_note *rj_cell_call_new(struct rj_cell_owner *owner,
					   const struct rj_cell_worker *worker,
					   const struct rj_cell_run *run)
{
	struct rj_cell_call_note *call =
		talloc_zero(owner->mem, struct rj_cell_call_note);

	assert(call && worker);
	call->owner = owner;
	call->generation = owner->generation;
	call->sent_us = owner->now_us;
	memcpy(call->worker, worker->id, sizeof(call->worker));
	if (run) {
		call->name = talloc_strdup(call, run->name);
		call->number = run->number;
	}
	return call;
}

/*
 * The run of a worker that has this name and number, or NULL.
 */
struct rj_cell_run *rj_cell_call_run(const struct rj_cell_worker *worker,
				     const char *name, uint32_t number)
{
	const struct rj_list *at;

	for (at = worker->runs.next; at != &worker->runs; at = at->next) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		if (run->number == number && !strcmp(run->name, name))
			return run;
	}
	return NULL;
}

/*
 * Take the worker's clock from an answer.
 */
void rj_cell_call_clock(struct rj_cell_worker *worker,
			const struct rj_cell_order_reply *reply)
{
	if (!reply->clock_ms)
		return;
	worker->clock_ms = reply->clock_ms;
	worker->clock_at_us = reply->now_us;
}

/*
 * The deadline that an order carries, or 0 when leases must not grow.
 */
uint64_t rj_cell_call_deadline(struct rj_cell_owner *owner,
			       struct rj_cell_worker *worker)
{
	uint64_t deadline_ms;

	if (!worker->clock_ms || rj_cell_owner_blind(owner))
		return 0;
	deadline_ms = rj_cell_worker_clock_ms(worker, owner->now_us) +
		      owner->terms.lease_max_ms;
	rj_cell_worker_note_lease(worker, deadline_ms);
	return deadline_ms;
}

/*
 * Every run of a worker has ended without a trace.
 */
void rj_cell_call_lose_runs(struct rj_cell_owner *owner,
			    struct rj_cell_worker *worker, const char *why)
{
	/* The end of one run may free others of its gang. */
	while (worker->runs.next != &worker->runs) {
		struct rj_cell_run *run = RJ_CONTAINER(
			worker->runs.next, struct rj_cell_run, in_worker);

		run->why = why;
		rj_cell_ends_run(owner, run, RJ_CELL_END_LOST, NULL);
	}
}

/*
 * A worker has stopped answering, or answers again.
 */
void rj_cell_call_answers(struct rj_cell_owner *owner,
			  struct rj_cell_worker *worker, bool answers,
			  enum rj_cell_order_status status)
{
	if (worker->answers == answers)
		return;
	worker->answers = answers;
	rj_log_event(answers ? "worker_regained" : "worker_silent",
		     RJ_LOG_TEXT("worker", worker->id),
		     RJ_LOG_TEXT("why", rj_cell_order_status_string[status]),
		     RJ_LOG_AGE_MS("answered_ms",
				   owner->now_us - worker->answered_us));
	owner->plan_wanted = true;
}

/*
 * The worker whose call this was, unless owner or worker have changed.
 */
struct rj_cell_worker *
rj_cell_call_worker(struct rj_cell_call_note *call,
		    const struct rj_cell_order_reply *reply)
{
	struct rj_cell_owner *owner = call->owner;
	struct rj_cell_worker *worker;

	if (call->generation != owner->generation || !owner->active)
		return NULL;
	owner->now_us = reply->now_us;
	worker = rj_cell_fleet_find(&owner->fleet, call->worker);
	if (worker)
		rj_cell_worker_heard(worker, call->sent_us,
				     reply->status != RJ_CELL_ORDER_LOST &&
					     reply->status !=
						     RJ_CELL_ORDER_UNSENT,
				     reply->now_us);
	return worker;
}

/*
 * Another life of the worker answers: nothing of the former one is left.
 */
void rj_cell_call_other_life(struct rj_cell_owner *owner,
			     struct rj_cell_worker *worker)
{
	rj_cell_call_answers(owner, worker, false, RJ_CELL_ORDER_OTHER);
	rj_cell_call_lose_runs(owner, worker, "worker_reborn");
}
