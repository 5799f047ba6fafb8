#include "private/cell_incarnation.h"

#include "private/log_event.h"

/*
 * Whether the start of a run may still be sent. Its worker was chosen for the
 * kind, capacity, clock and ticket of one incarnation.
 */
bool rj_cell_incarnation_may_start(const struct rj_cell_run *run)
{
	return rj_cell_worker_schedulable(run->worker) &&
	       run->incarnation ==
		       rj_cell_worker_expected_incarnation(run->worker);
}

/*
 * Adds to a poll what is meant for the present incarnation of the worker alone:
 * the acknowledgement of its completions, unless it has been answered, and the
 * deadline of its leases. A poll without these may be answered by any.
 *
 * A worker that has not answered its last call gets neither. It may carry out
 * the poll late, and every deadline delays the time at which its tasks may start
 * elsewhere.
 */
void rj_cell_incarnation_address_poll(struct rj_cell_owner *owner,
				      struct rj_cell_worker *worker,
				      struct rj_cell_poll *poll)
{
	if (!worker->incarnation || !worker->answers)
		return;
	if (worker->stored_position > worker->acknowledged_position)
		poll->stored_position = worker->stored_position;
	if (worker->runs.next != &worker->runs)
		poll->deadline_ms = rj_cell_call_next_deadline(owner, worker);
	if (poll->stored_position || poll->deadline_ms)
		poll->incarnation = worker->incarnation;
}

/* Returns the incarnation that has answered a call; 0: unknown. */
static uint64_t answered_by(const struct rj_cell_call_context *call,
			    const struct rj_cell_order_reply *reply)
{
	return reply->incarnation ? reply->incarnation : call->incarnation;
}

/*
 * Whether an answer is of an incarnation that has been replaced. Answers on
 * different connections may overtake each other, so only a call that was sent
 * after the present incarnation had answered may show a later one.
 */
bool rj_cell_incarnation_is_former(const struct rj_cell_worker *worker,
				   const struct rj_cell_call_context *call,
				   const struct rj_cell_order_reply *reply)
{
	return worker->incarnation &&
	       answered_by(call, reply) != worker->incarnation &&
	       call->sent_us <= worker->met_us;
}

/*
 * Records the worker's clock from an answer of its present incarnation.
 */
void rj_cell_incarnation_update_clock(struct rj_cell_worker *worker,
				      const struct rj_cell_call_context *call,
				      const struct rj_cell_order_reply *reply)
{
	uint64_t incarnation = answered_by(call, reply);

	if (!reply->clock_ms || !incarnation ||
	    incarnation != rj_cell_worker_expected_incarnation(worker))
		return;
	worker->clock_ms = reply->clock_ms;
	worker->clock_at_us = reply->now_us;
}

/*
 * Handles the first answer of a worker or of a new incarnation. The runs of the
 * former one have ended with it. Runs of former owners may be of either, and the
 * lists in the answer decide.
 */
void rj_cell_incarnation_accept(struct rj_cell_owner *owner,
				struct rj_cell_worker *worker,
				const struct rj_cell_call_context *call,
				const struct rj_cell_order_reply *reply)
{
	uint64_t former = worker->incarnation;

	rj_log_event("worker_met", RJ_LOG_TEXT("worker", worker->id),
		     RJ_LOG_NUMBER("incarnation", reply->incarnation),
		     RJ_LOG_NUMBER("before", former),
		     RJ_LOG_NUMBER("meant_for", call->incarnation),
		     RJ_LOG_NUMBER("acknowledged", call->stored_position),
		     RJ_LOG_NUMBER("rows", reply->row_count));
	worker->incarnation = reply->incarnation;
	worker->met_us = owner->now_us;
	worker->met_sent_us = call->sent_us;
	worker->met_clock_ms = reply->clock_ms;
	worker->stored_position = 0;
	worker->applied_position = 0;
	worker->storing_position = 0;
	worker->acknowledged_position = 0;
	worker->bad_streak = 0;
	rj_cell_pace_init(&worker->pace);
	rj_cell_handover_worker_met(&owner->handover, worker);
	rj_cell_incarnation_update_clock(worker, call, reply);
	/* From now on only this owner's orders extend leases. A former owner may
	 * just have granted as long a lease as the platform allows. */
	worker->lease_deadline_ms =
		worker->clock_ms + owner->limits.lease_max_ms;
	worker->lease_expired_us = 0;
	rj_cell_worker_extend_lease(worker, worker->lease_deadline_ms);
	if (former)
		rj_cell_incarnation_ended(owner, worker, former);
	owner->plan_wanted = true;
}

/*
 * Handles an answer or an entry that shows another incarnation than expected:
 * the worker gets no new work until a poll has told which one it is.
 */
void rj_cell_incarnation_changed(struct rj_cell_owner *owner,
				 struct rj_cell_worker *worker)
{
	worker->answers = false;
	rj_cell_polls_schedule_now(owner, worker);
}

/*
 * Ends all runs that were started on an incarnation of a worker as lost, as it
 * has been replaced.
 */
void rj_cell_incarnation_ended(struct rj_cell_owner *owner,
			       struct rj_cell_worker *worker,
			       uint64_t incarnation)
{
	struct rj_list *at = worker->runs.next;

	while (at != &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		at = at->next;
		if (run->incarnation != incarnation)
			continue;
		run->reason = "worker_reborn";
		rj_cell_completions_apply(owner, run, RJ_CELL_COMPLETION_LOST,
					  NULL);
		/* Other members of its gang may have been freed too. */
		at = worker->runs.next;
	}
}
