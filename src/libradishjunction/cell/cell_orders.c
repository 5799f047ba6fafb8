#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_calls.h"
#include "private/cell_evacuate.h"
#include "private/cell_incarnation.h"
#include "private/cell_worker_evidence.h"
#include "private/log_event.h"

/* Delay before an order without an answer is sent again. */
#define ORDER_RETRY_US (100 * RJ_US_PER_MS)
/* Number of attempts after which an unanswered start is stopped: the task may
 * have to run elsewhere, and the stop keeps a late start from running. */
#define START_TRIES_MAX 2
/* How long a worker that refused a start, as it is unhealthy or full, gets no
 * new work. */
#define UNHEALTHY_PAUSE_US (1500 * RJ_US_PER_MS)
#define FULL_PAUSE_US (300 * RJ_US_PER_MS)
/* Delay before a task is sent again that its worker could not parse or whose
 * ticket it refused. */
#define REJECTED_PAUSE_US RJ_US_PER_S
/* Minimum time between checks of workers that hold runs. */
#define BUSY_CHECK_INTERVAL_US (4 * RJ_US_PER_MS)
/* Delay before a task is sent again whose former run may still be listed by the
 * worker. */
#define STALE_PAUSE_US (100 * RJ_US_PER_MS)

/*
 * Delay before a task is started again after a refusal that any other worker
 * would repeat. Without it, a task that no worker accepts would be sent again
 * with each plan, as it never uses any capacity.
 */
static uint64_t refusal_backoff_us(enum rj_cell_order_status status)
{
	switch (status) {
	case RJ_CELL_ORDER_MALFORMED:
	case RJ_CELL_ORDER_TICKET_INVALID:
		return REJECTED_PAUSE_US;
	case RJ_CELL_ORDER_STALE:
	case RJ_CELL_ORDER_DEADLINE_PASSED:
		return STALE_PAUSE_US;
	default:
		return 0;
	}
}

/*
 * Ends a run that could not be started: its task waits again, and so does the
 * rest of its gang.
 */
static void abort_start(struct rj_cell_owner *owner, struct rj_cell_run *run,
			enum rj_cell_order_status status)
{
	rj_log_event("start_refused", RJ_LOG_TEXT("task", run->name),
		     RJ_LOG_NUMBER("run", run->number),
		     RJ_LOG_TEXT("worker", run->worker->id),
		     RJ_LOG_TEXT("why", rj_cell_order_status_string[status]));
	run->reason = rj_cell_order_status_string[status];
	if (run->task)
		run->task->not_before_us =
			owner->now_us + refusal_backoff_us(status);
	rj_cell_completions_apply(owner, run, RJ_CELL_COMPLETION_LOST, NULL);
}

/* Suspends a worker that refused a start, for a time that depends on the
 * status. */
static void suspend_worker(struct rj_cell_owner *owner,
			   struct rj_cell_worker *worker,
			   enum rj_cell_order_status status)
{
	uint64_t pause_us = 0;

	if (status == RJ_CELL_ORDER_UNHEALTHY)
		pause_us = UNHEALTHY_PAUSE_US;
	if (status == RJ_CELL_ORDER_NO_CAPACITY ||
	    status == RJ_CELL_ORDER_DEADLINE_PASSED)
		pause_us = FULL_PAUSE_US;
	worker->refuses_until_us =
		MAX(worker->refuses_until_us, owner->now_us + pause_us);
}

/* Finds the run that an answer is about, and its worker; NULL if either no
 * longer exists. */
static struct rj_cell_run *find_run(struct rj_cell_call_context *call,
				    const struct rj_cell_order_reply *reply,
				    struct rj_cell_worker **worker)
{
	*worker = rj_cell_call_find_worker(call, reply);
	if (!*worker)
		return NULL;
	return rj_cell_run_find(*worker, call->name, call->number);
}

/* Handles the answer to a start. */
static void start_done(void *private_data,
		       const struct rj_cell_order_reply *reply)
{
	struct rj_cell_call_context *call = private_data;
	struct rj_cell_owner *owner = call->owner;
	struct rj_cell_worker *worker;
	struct rj_cell_run *run = find_run(call, reply, &worker);
	uint64_t sent_us = call->sent_us;
	uint64_t incarnation = call->incarnation;

	talloc_free(call);
	if (!run)
		return;
	run->start_in_flight = false;
	if (reply->status == RJ_CELL_ORDER_FENCED) {
		owner->fenced = true;
		return;
	}
	if (run->state != RJ_CELL_RUN_STARTING) {
		/* Being stopped: the answer to the stop decides, unless there
		 * is nothing to stop. */
		if (reply->status == RJ_CELL_ORDER_UNSENT &&
		    run->start_tries == 1)
			abort_start(owner, run, reply->status);
		return;
	}
	switch (reply->status) {
	case RJ_CELL_ORDER_OK:
		rj_latency_add(&owner->counters.start_latency,
			       owner->now_us - sent_us);
		run->state = RJ_CELL_RUN_PLACED;
		run->placed_us = owner->now_us;
		rj_cell_task_set_begun(run->task, owner->now_us);
		run->progress_us = owner->now_us;
		run->settled_us = owner->now_us;
		break;
	case RJ_CELL_ORDER_LOST:
		rj_cell_run_schedule_order(run, owner->now_us + ORDER_RETRY_US);
		if (run->order_tries >= START_TRIES_MAX)
			rj_cell_completions_stop_run(owner, run, "no_answer");
		break;
	case RJ_CELL_ORDER_OTHER_INCARNATION:
		rj_cell_call_other_incarnation(owner, worker, incarnation);
		break;
	case RJ_CELL_ORDER_UNSENT:
		/* An earlier attempt may have arrived. */
		if (run->order_tries > 1) {
			rj_cell_completions_stop_run(owner, run, "no_answer");
			break;
		}
		rj_cell_call_set_answering(owner, worker, false, reply->status);
		abort_start(owner, run, reply->status);
		break;
	default:
		suspend_worker(owner, worker, reply->status);
		if (reply->status == RJ_CELL_ORDER_UNHEALTHY)
			rj_cell_worker_evidence_refused(owner, worker);
		if (reply->status == RJ_CELL_ORDER_TICKET_INVALID) {
			rj_cell_advice_invalidate(run->task, worker);
			run->task->occurrence->job->ticket_wanted = true;
		}
		if (run->order_tries > 1)
			rj_cell_completions_stop_run(owner, run, "no_answer");
		else
			abort_start(owner, run, reply->status);
	}
}

/* Sends a start, for the first time or again. Sends nothing while leases must
 * not be extended. */
static void send_start(struct rj_cell_owner *owner, struct rj_cell_run *run)
{
	struct rj_cell_worker *worker = run->worker;
	const struct rj_cell_job_spec *job_spec =
		run->task->occurrence->job->job_spec;
	struct rj_cell_start start = { .incarnation = run->incarnation,
				       .name = run->name,
				       .number = run->number,
				       .spec = job_spec->spec,
				       .checkpoint = run->checkpoint ?
							     run->checkpoint :
							     "",
				       .ticket = run->ticket ? run->ticket : "",
				       .token = owner->token };
	struct rj_cell_order_done done;
	struct rj_cell_call_context *call;

	start.deadline_ms = rj_cell_call_next_deadline(owner, worker);
	if (!start.deadline_ms)
		return;
	done.call = start_done;
	call = rj_cell_call_new(owner, worker, run);
	call->incarnation = start.incarnation;
	rj_cell_call_enter_window(call, &owner->order_window);
	done.private_data = call;
	run->start_in_flight = true;
	run->order_tries++;
	run->start_tries++;
	owner->counters.starts++;
	owner->workers->ops->start(owner->workers, worker, &start, done);
}

/* Handles the answer to a stop. */
static void stop_done(void *private_data,
		      const struct rj_cell_order_reply *reply)
{
	struct rj_cell_call_context *call = private_data;
	struct rj_cell_owner *owner = call->owner;
	struct rj_cell_worker *worker;
	struct rj_cell_run *run = find_run(call, reply, &worker);
	uint64_t incarnation = call->incarnation;

	talloc_free(call);
	if (!run)
		return;
	run->stop_in_flight = false;
	switch (reply->status) {
	case RJ_CELL_ORDER_OK:
		run->settled_us = owner->now_us;
		break;
	case RJ_CELL_ORDER_FENCED:
		owner->fenced = true;
		break;
	case RJ_CELL_ORDER_OTHER_INCARNATION:
		rj_cell_call_other_incarnation(owner, worker, incarnation);
		break;
	default:
		rj_cell_run_schedule_order(run, owner->now_us + ORDER_RETRY_US);
		if (run->ended_by_us)
			rj_cell_call_set_answering(owner, worker, false,
						   reply->status);
	}
}

/* Logs the first stop of a run, with what tells whether its job was within the
 * guarantee of its account. */
static void log_stop(const struct rj_cell_owner *owner,
		     const struct rj_cell_run *run)
{
	const struct rj_cell_job *job =
		run->task ? run->task->occurrence->job : NULL;
	struct rj_cell_guarantee guarantee = rj_cell_guarantees_get(
		&owner->guarantees, job ? job->job_spec->account : "");

	rj_log_event(
		"stop", RJ_LOG_TEXT("task", run->name),
		RJ_LOG_NUMBER("run", run->number),
		RJ_LOG_TEXT("worker", run->worker->id),
		RJ_LOG_TEXT("why", run->reason),
		RJ_LOG_TEXT("for", run->preempted_for),
		RJ_LOG_AGE_MS("age_ms", job ? owner->now_us - job->accepted_us :
					      RJ_NEVER_US),
		RJ_LOG_NUMBER("begun", job && job->begun),
		RJ_LOG_NUMBER("guaranteed", job && job->guaranteed),
		RJ_LOG_NUMBER("needed", guarantee.needed),
		RJ_LOG_NUMBER("held", guarantee.held),
		RJ_LOG_NUMBER("limit", guarantee.limit),
		RJ_LOG_NUMBER("config", owner->guarantees.config_version));
}

/* Sends a stop, for the first time or again. */
static void send_stop(struct rj_cell_owner *owner, struct rj_cell_run *run)
{
	const struct rj_cell_stop stop = { .incarnation = run->incarnation,
					   .name = run->name,
					   .number = run->number,
					   .token = owner->token };
	struct rj_cell_order_done done;
	struct rj_cell_call_context *call;

	if (!run->order_tries)
		log_stop(owner, run);
	done.call = stop_done;
	call = rj_cell_call_new(owner, run->worker, run);
	call->incarnation = stop.incarnation;
	rj_cell_call_enter_window(call, &owner->order_window);
	done.private_data = call;
	run->stop_in_flight = true;
	run->order_tries++;
	owner->counters.stops++;
	owner->workers->ops->stop(owner->workers, run->worker, &stop, done);
}

/* Whether a run has an order to be sent that is not in flight. */
static bool needs_order(const struct rj_cell_run *run)
{
	if (run->state == RJ_CELL_RUN_STARTING)
		return !run->start_in_flight;
	return run->state == RJ_CELL_RUN_STOPPING && !run->stop_in_flight &&
	       !run->settled_us;
}

/*
 * Cancels a start that must not be sent any more: the task waits again. A start
 * that was sent before may still arrive, so its run is stopped.
 */
static void cancel_start(struct rj_cell_owner *owner, struct rj_cell_run *run)
{
	const char *reason = "worker_restarted";

	if (rj_cell_worker_cordoned(run->worker))
		reason = "cordoned";
	else if (!run->worker->listed || run->worker->heartbeat.draining)
		reason = "worker_leaves";

	if (run->order_tries) {
		rj_cell_completions_stop_run(owner, run, reason);
		return;
	}
	run->reason = reason;
	rj_cell_completions_apply(owner, run, RJ_CELL_COMPLETION_LOST, NULL);
}

/*
 * Cancels the unsent starts that a worker must not get any more. The owner
 * stores an intent between plan and order, and may have read meanwhile that the
 * worker drains or has restarted; the start would then arrive long after that
 * was published.
 */
static void cancel_unsent_starts(struct rj_cell_owner *owner,
				 struct rj_cell_worker *worker)
{
	struct rj_list *at = worker->runs.next;

	while (at != &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		at = at->next;
		if (run->state != RJ_CELL_RUN_STARTING ||
		    run->start_in_flight || rj_cell_incarnation_may_start(run))
			continue;
		cancel_start(owner, run);
		/* Other members of its gang may have been freed too. */
		at = worker->runs.next;
	}
}

static void send_order(struct rj_cell_owner *owner, struct rj_cell_run *run)
{
	if (run->state == RJ_CELL_RUN_STOPPING)
		send_stop(owner, run);
	else if (rj_cell_owner_may_start(owner))
		send_start(owner, run);
}

/* Whether the order window has room. If not, records that orders wait for it. */
static bool has_room(struct rj_cell_owner *owner)
{
	if (rj_cell_call_window_has_room(&owner->order_window, owner->now_us))
		return true;
	owner->orders_wait = true;
	return false;
}

/* Sends the due orders for the runs of a worker. Returns whether more are to be
 * sent later. */
static bool send_worker_orders(struct rj_cell_owner *owner,
			       struct rj_cell_worker *worker)
{
	bool more = false;
	struct rj_list *at;
	struct rj_list *next;

	cancel_unsent_starts(owner, worker);
	RJ_FOR_EACH (at, next, &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		if (!needs_order(run))
			continue;
		if (owner->now_us >= run->order_due_us &&
		    worker->heartbeat.address.port && has_room(owner))
			send_order(owner, run);
		more |= needs_order(run);
	}
	return more;
}

/*
 * Ends the runs of a worker that has not answered until its leases have
 * expired.
 */
static void check_lease_expiry(struct rj_cell_owner *owner,
			       struct rj_cell_worker *worker)
{
	if (worker->answers || worker->runs.next == &worker->runs ||
	    owner->now_us <= worker->lease_expired_us)
		return;
	rj_log_event("worker_lapsed", RJ_LOG_TEXT("worker", worker->id),
		     RJ_LOG_AGE_MS("answered_ms",
				   owner->now_us - worker->answered_us));
	worker->abandoned_us = owner->now_us;
	rj_cell_call_lose_runs(owner, worker, "lease_lapsed");
}

/*
 * Sends the due orders as far as the order window has room. Of thousands of runs
 * only a few begin or end between two calls, so only workers with an order to be
 * sent are visited.
 */
static void send_orders(struct rj_cell_owner *owner)
{
	struct rj_list *at;
	struct rj_list *next;

	owner->orders_wait = false;
	RJ_FOR_EACH (at, next, &owner->fleet.order_queue) {
		struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, in_order_queue);

		if (!has_room(owner))
			break;
		if (!send_worker_orders(owner, worker))
			rj_list_remove(&worker->in_order_queue);
	}
}

/* Polls workers that hold runs, and handles expired leases, ended gangs and
 * workers that are about to leave. */
static void check_busy_workers(struct rj_cell_owner *owner)
{
	struct rj_list *at;
	struct rj_list *next;

	if (owner->now_us < owner->busy_check_due_us)
		return;
	owner->busy_check_due_us = owner->now_us + BUSY_CHECK_INTERVAL_US;
	RJ_FOR_EACH (at, next,
		     &owner->fleet.by_poll_state[RJ_CELL_POLL_STATE_BUSY]) {
		struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, in_poll_state);

		check_lease_expiry(owner, worker);
		if (!worker->answers)
			rj_cell_completions_end_gang_runs(owner, worker);
		if (worker->departure_us)
			rj_cell_evacuate(owner, worker);
		rj_cell_polls_poll_busy(owner, worker);
	}
}

/*
 * Sends due orders and polls, and ends the runs of workers whose leases have
 * expired. Call it every few milliseconds.
 */
void rj_cell_orders_tick(struct rj_cell_owner *owner)
{
	send_orders(owner);
	check_busy_workers(owner);
	rj_cell_polls_tick(owner);
}
