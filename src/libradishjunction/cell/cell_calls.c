#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_calls.h"
#include "private/cell_incarnation.h"
#include "private/cell_worker_evidence.h"
#include "private/log_event.h"

const char *const rj_cell_order_status_string[RJ_CELL_ORDER_STATUS_COUNT] = {
	[RJ_CELL_ORDER_OK] = "ok",
	[RJ_CELL_ORDER_FENCED] = "fenced",
	[RJ_CELL_ORDER_STALE] = "old",
	[RJ_CELL_ORDER_DEADLINE_PASSED] = "late",
	[RJ_CELL_ORDER_NO_CAPACITY] = "full",
	[RJ_CELL_ORDER_TICKET_INVALID] = "ticket",
	[RJ_CELL_ORDER_MALFORMED] = "bad",
	[RJ_CELL_ORDER_UNHEALTHY] = "sick",
	[RJ_CELL_ORDER_OTHER_INCARNATION] = "other_life",
	[RJ_CELL_ORDER_UNSENT] = "unsent",
	[RJ_CELL_ORDER_LOST] = "lost",
};

/*
 * Allocates the context of a call to `worker`, about `run` unless that is NULL.
 * The function that handles the answer frees it.
 */
struct rj_cell_call_context *
rj_cell_call_new(struct rj_cell_owner *owner,
		 const struct rj_cell_worker *worker,
		 const struct rj_cell_run *run)
{
	struct rj_cell_call_context *call =
		talloc_zero(owner->mem, struct rj_cell_call_context);

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
 * Counts a call in a window of the owner until it is answered.
 */
void rj_cell_call_enter_window(struct rj_cell_call_context *call,
			       struct rj_cell_call_window *window)
{
	call->window = window;
	rj_cell_call_window_sent(window, call->sent_us);
}

/*
 * Returns the deadline for an order, by the worker's clock in milliseconds, and
 * records the longer lease; 0 if leases must not be extended.
 */
uint64_t rj_cell_call_next_deadline(struct rj_cell_owner *owner,
				    struct rj_cell_worker *worker)
{
	uint64_t clock_ms = rj_cell_worker_clock_ms(worker, owner->now_us);
	uint64_t deadline_ms;

	if (!worker->clock_ms || !rj_cell_owner_may_grant(owner, worker))
		return 0;
	deadline_ms = MIN(clock_ms + owner->leases.lease_ms,
			  rj_cell_worker_deadline_within(
				  worker, rj_cell_lease_bounds_until_us(
						  &owner->leases, worker)));
	if (deadline_ms <= clock_ms)
		return 0;
	rj_cell_worker_extend_lease(worker, deadline_ms);
	return deadline_ms;
}

/*
 * Ends all runs of a worker as lost.
 */
void rj_cell_call_lose_runs(struct rj_cell_owner *owner,
			    struct rj_cell_worker *worker, const char *reason)
{
	/* The end of one run may free others of its gang. */
	while (worker->runs.next != &worker->runs) {
		struct rj_cell_run *run = RJ_CONTAINER(
			worker->runs.next, struct rj_cell_run, in_worker);

		run->reason = reason;
		rj_cell_completions_apply(owner, run, RJ_CELL_COMPLETION_LOST,
					  NULL);
	}
}

/*
 * Records whether the worker answers, and logs a change.
 */
void rj_cell_call_set_answering(struct rj_cell_owner *owner,
				struct rj_cell_worker *worker, bool answers,
				enum rj_cell_order_status status)
{
	if (worker->answers == answers)
		return;
	worker->answers = answers;
	if (answers)
		rj_cell_worker_evidence_regained(owner, worker);
	else
		rj_cell_worker_evidence_silent(owner, worker);
	rj_log_event(answers ? "worker_regained" : "worker_silent",
		     RJ_LOG_TEXT("worker", worker->id),
		     RJ_LOG_TEXT("why", rj_cell_order_status_string[status]),
		     RJ_LOG_AGE_MS("answered_ms",
				   owner->now_us - worker->answered_us));
	owner->plan_wanted = true;
}

/*
 * Returns the worker of an answered call, and records the contact and its
 * clock; NULL if the ownership has changed or the worker is unknown.
 */
struct rj_cell_worker *
rj_cell_call_find_worker(struct rj_cell_call_context *call,
			 const struct rj_cell_order_reply *reply)
{
	struct rj_cell_owner *owner = call->owner;
	struct rj_cell_worker *worker;

	if (call->generation != owner->generation || !owner->active)
		return NULL;
	owner->now_us = reply->now_us;
	owner->counters.answers[reply->status]++;
	if (call->window)
		rj_cell_call_window_answered(call->window, call->sent_us);
	worker = rj_cell_fleet_find(&owner->fleet, call->worker);
	if (!worker)
		return NULL;
	rj_cell_worker_record_contact(worker, call->sent_us,
				      reply->status != RJ_CELL_ORDER_LOST &&
					      reply->status !=
						      RJ_CELL_ORDER_UNSENT,
				      reply->now_us);
	rj_cell_incarnation_update_clock(worker, call, reply);
	return worker;
}

/*
 * Handles a call that was not sent, as another incarnation of the worker has
 * replaced the one that it was meant for: all runs of this one are lost.
 */
void rj_cell_call_other_incarnation(struct rj_cell_owner *owner,
				    struct rj_cell_worker *worker,
				    uint64_t incarnation)
{
	if (incarnation == rj_cell_worker_expected_incarnation(worker))
		rj_cell_incarnation_changed(owner, worker);
	rj_cell_incarnation_ended(owner, worker, incarnation);
}
