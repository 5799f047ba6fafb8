#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_calls.h"
#include "private/cell_evacuate.h"
#include "private/log_event.h"

/* An order without an answer is sent again after this. */
#define ORDER_RETRY_US (100 * RJ_US_PER_MS)
/* A start that got no answer twice is stopped: the task may have to go
 * elsewhere, and the stop keeps a late start from running. */
#define START_TRIES_MAX 2
/* A worker that turns a start away rests this long. */
#define SICK_PAUSE_US (1500 * RJ_US_PER_MS)
#define FULL_PAUSE_US (300 * RJ_US_PER_MS)
/* A task that its worker does not understand is not sent again at once. */
#define BAD_PAUSE_US RJ_US_PER_S
/* Workers that hold something are visited so often at most. */
#define WATCH_PAUSE_US (4 * RJ_US_PER_MS)
/* A run of the task may still be listed there. */
#define OLD_PAUSE_US (100 * RJ_US_PER_MS)

/*
 * How long a task waits after a refusal that another worker would repeat.
 *
 * Guards against orders without end: a task that no worker takes has room
 * everywhere, and would be ordered anew with each plan.
 */
static uint64_t refusal_pause_us(enum rj_cell_order_status status)
{
	switch (status) {
	case RJ_CELL_ORDER_BAD:
	case RJ_CELL_ORDER_TICKET:
		return BAD_PAUSE_US;
	case RJ_CELL_ORDER_OLD:
	case RJ_CELL_ORDER_LATE:
		return OLD_PAUSE_US;
	default:
		return 0;
	}
}

/*
 * A run could not be started: its task waits again, and so does the rest of
 * its gang.
 */
static void withdraw(struct rj_cell_owner *owner, struct rj_cell_run *run,
		     enum rj_cell_order_status status)
{
	rj_log_event("start_refused", RJ_LOG_TEXT("task", run->name),
		     RJ_LOG_NUMBER("run", run->number),
		     RJ_LOG_TEXT("worker", run->worker->id),
		     RJ_LOG_TEXT("why", rj_cell_order_status_string[status]));
	run->why = rj_cell_order_status_string[status];
	if (run->task)
		run->task->not_before_us =
			owner->now_us + refusal_pause_us(status);
	rj_cell_ends_run(owner, run, RJ_CELL_END_LOST, NULL);
}

/* What a refused start says of its worker. */
static void rest_worker(struct rj_cell_owner *owner,
			struct rj_cell_worker *worker,
			enum rj_cell_order_status status)
{
	uint64_t pause_us = 0;

	if (status == RJ_CELL_ORDER_SICK)
		pause_us = SICK_PAUSE_US;
	if (status == RJ_CELL_ORDER_FULL || status == RJ_CELL_ORDER_LATE)
		pause_us = FULL_PAUSE_US;
	if (owner->now_us + pause_us > worker->suspect_until_us)
		worker->suspect_until_us = owner->now_us + pause_us;
}

/* The run that an answer is about, with its worker, or NULL if it is of no
 * more interest. */
static struct rj_cell_run *find_run(struct rj_cell_call_note *call,
				    const struct rj_cell_order_reply *reply,
				    struct rj_cell_worker **worker)
{
	*worker = rj_cell_call_worker(call, reply);
	if (!*worker)
		return NULL;
	return rj_cell_call_run(*worker, call->name, call->number);
}

/* The answer to a start. */
static void start_done(void *private_data,
		       const struct rj_cell_order_reply *reply)
{
	struct rj_cell_call_note *call = private_data;
	struct rj_cell_owner *owner = call->owner;
	struct rj_cell_worker *worker;
	struct rj_cell_run *run = find_run(call, reply, &worker);
	uint64_t sent_us = call->sent_us;

	talloc_free(call);
	if (!run)
		return;
	run->start_open = false;
	rj_cell_call_clock(worker, reply);
	if (reply->status == RJ_CELL_ORDER_FENCED) {
		owner->lost = true;
		return;
	}
	if (run->state != RJ_CELL_RUN_STARTING)
		return; /* it is being stopped; the stop settles it */
	switch (reply->status) {
	case RJ_CELL_ORDER_OK:
		rj_latency_add(&owner->counters.orders,
			       owner->now_us - sent_us);
		run->state = RJ_CELL_RUN_PLACED;
		run->begun_us = owner->now_us;
		run->progress_us = owner->now_us;
		run->settled_us = owner->now_us;
		break;
	case RJ_CELL_ORDER_LOST:
		rj_cell_run_order(run, owner->now_us + ORDER_RETRY_US);
		if (run->order_tries >= START_TRIES_MAX)
			rj_cell_ends_stop_run(owner, run, "no_answer");
		break;
	case RJ_CELL_ORDER_OTHER:
		rj_cell_call_other_life(owner, worker);
		break;
	case RJ_CELL_ORDER_UNSENT:
		/* An earlier try of this start may have arrived. */
		if (run->order_tries > 1) {
			rj_cell_ends_stop_run(owner, run, "no_answer");
			break;
		}
		rj_cell_call_answers(owner, worker, false, reply->status);
		withdraw(owner, run, reply->status);
		break;
	default:
		rest_worker(owner, worker, reply->status);
		if (reply->status == RJ_CELL_ORDER_TICKET)
			rj_cell_advice_void(run->task, worker);
		if (run->order_tries > 1)
			rj_cell_ends_stop_run(owner, run, "no_answer");
		else
			withdraw(owner, run, reply->status);
	}
}

/* Order one start, for the first time or again. */
static void send_start(struct rj_cell_owner *owner, struct rj_cell_run *run)
{
	struct rj_cell_worker *worker = run->worker;
	const struct rj_cell_def *def = run->task->round->work->def;
	struct rj_cell_start start = { .name = run->name,
				       .number = run->number,
				       .spec = def->spec,
				       .checkpoint = run->checkpoint,
				       .ticket = run->ticket ? run->ticket : "",
				       .token = owner->token };
	struct rj_cell_order_done done;

	start.deadline_ms = rj_cell_call_deadline(owner, worker);
	if (!start.deadline_ms)
		return;
	done.call = start_done;
	done.private_data = rj_cell_call_new(owner, worker, run);
	run->start_open = true;
	run->order_tries++;
	owner->counters.starts++;
	owner->workers->ops->start(owner->workers, worker, &start, done);
}

/* The answer to a stop. */
static void stop_done(void *private_data,
		      const struct rj_cell_order_reply *reply)
{
	struct rj_cell_call_note *call = private_data;
	struct rj_cell_owner *owner = call->owner;
	struct rj_cell_worker *worker;
	struct rj_cell_run *run = find_run(call, reply, &worker);

	talloc_free(call);
	if (!run)
		return;
	run->stop_open = false;
	rj_cell_call_clock(worker, reply);
	switch (reply->status) {
	case RJ_CELL_ORDER_OK:
		run->settled_us = owner->now_us;
		break;
	case RJ_CELL_ORDER_FENCED:
		owner->lost = true;
		break;
	case RJ_CELL_ORDER_OTHER:
		rj_cell_call_other_life(owner, worker);
		break;
	default:
		rj_cell_run_order(run, owner->now_us + ORDER_RETRY_US);
		if (run->over_us)
			rj_cell_call_answers(owner, worker, false,
					     reply->status);
	}
}

/* Order one stop, for the first time or again. */
static void send_stop(struct rj_cell_owner *owner, struct rj_cell_run *run)
{
	struct rj_cell_order_done done;

	if (!run->order_tries)
		rj_log_event("stop", RJ_LOG_TEXT("task", run->name),
			     RJ_LOG_NUMBER("run", run->number),
			     RJ_LOG_TEXT("worker", run->worker->id),
			     RJ_LOG_TEXT("why", run->why));
	done.call = stop_done;
	done.private_data = rj_cell_call_new(owner, run->worker, run);
	run->stop_open = true;
	run->order_tries++;
	owner->counters.stops++;
	owner->workers->ops->stop(owner->workers, run->worker, run->name,
				  run->number, owner->token, done);
}

/* Whether a run has an order that is not on its way. */
static bool needs_order(const struct rj_cell_run *run)
{
	if (run->state == RJ_CELL_RUN_STARTING)
		return !run->start_open;
	return run->state == RJ_CELL_RUN_STOPPING && !run->stop_open &&
	       !run->settled_us;
}

/*
 * A start must not be sent to its worker any more: the task waits again. A
 * start that was sent before may still arrive, and is stopped.
 */
static void call_off(struct rj_cell_owner *owner, struct rj_cell_run *run)
{
	const char *why = rj_cell_worker_cordoned(run->worker) ?
				  "cordoned" :
				  "worker_leaves";

	if (run->order_tries) {
		rj_cell_ends_stop_run(owner, run, why);
		return;
	}
	run->why = why;
	rj_cell_ends_run(owner, run, RJ_CELL_END_LOST, NULL);
}

/*
 * Call the unsent starts of a worker off on which nothing may start any more.
 *
 * Guards against starts on workers that said long ago that they leave: between
 * plan and order an owner stores the intent, and may have read more meanwhile.
 */
static void call_off_starts(struct rj_cell_owner *owner,
			    struct rj_cell_worker *worker)
{
	struct rj_list *at = worker->runs.next;

	while (at != &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		at = at->next;
		if (run->state != RJ_CELL_RUN_STARTING || run->start_open)
			continue;
		call_off(owner, run);
		/* Others of its gang may have gone with it. */
		at = worker->runs.next;
	}
}

/* Send the next order of a run. */
static void send_order(struct rj_cell_owner *owner, struct rj_cell_run *run)
{
	if (run->state == RJ_CELL_RUN_STOPPING)
		send_stop(owner, run);
	else if (rj_cell_owner_may_start(owner))
		send_start(owner, run);
}

/* Send the orders that are due for the runs of a worker. Returns whether
 * there are more. */
static bool tick_runs(struct rj_cell_owner *owner,
		      struct rj_cell_worker *worker)
{
	bool more = false;
	struct rj_list *at;
	struct rj_list *next;

	if (!rj_cell_worker_stays(worker))
		call_off_starts(owner, worker);
	RJ_FOR_EACH (at, next, &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		if (!needs_order(run))
			continue;
		if (owner->now_us >= run->order_due_us &&
		    worker->said.address.port)
			send_order(owner, run);
		more |= needs_order(run);
	}
	return more;
}

/*
 * A worker that has been silent until its leases must have lapsed runs
 * nothing any more.
 */
static void check_lapse(struct rj_cell_owner *owner,
			struct rj_cell_worker *worker)
{
	if (worker->answers || worker->runs.next == &worker->runs ||
	    owner->now_us <= worker->lapsed_us)
		return;
	rj_log_event("worker_lapsed", RJ_LOG_TEXT("worker", worker->id),
		     RJ_LOG_AGE_MS("answered_ms",
				   owner->now_us - worker->answered_us));
	worker->given_up_us = owner->now_us;
	rj_cell_call_lose_runs(owner, worker, "lease_lapsed");
}

/*
 * Send the orders that are due.
 *
 * Load that it answers: thousands of runs, of which a few begin or end between
 * two calls; only workers with an order to be sent are visited.
 */
static void send_orders(struct rj_cell_owner *owner)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &owner->fleet.ordered) {
		struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, in_ordered);

		if (!tick_runs(owner, worker))
			rj_list_remove(&worker->in_ordered);
	}
}

/* Poll the workers that hold something, and see whether leases lapsed. */
static void watch_busy(struct rj_cell_owner *owner)
{
	struct rj_list *at;
	struct rj_list *next;

	if (owner->now_us < owner->watch_due_us)
		return;
	owner->watch_due_us = owner->now_us + WATCH_PAUSE_US;
	RJ_FOR_EACH (at, next, &owner->fleet.watched[RJ_CELL_WATCH_BUSY]) {
		struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, in_watch);

		check_lapse(owner, worker);
		if (!worker->answers)
			rj_cell_ends_over(owner, worker);
		if (worker->leaves_us)
			rj_cell_evacuate(owner, worker);
		rj_cell_polls_busy(owner, worker);
	}
}

/*
 * Send what is due, and take note of leases that have lapsed.
 */
void rj_cell_orders_tick(struct rj_cell_owner *owner)
{
	send_orders(owner);
	watch_busy(owner);
	rj_cell_polls_tick(owner);
}
