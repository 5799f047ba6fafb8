#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_calls.h"
#include "private/cell_health.h"
#include "private/log_event.h"

/* A poll waits so long for an end; at most 2,000 by the workers' protocol.
 * Shorter ones find a silent worker sooner, but each has its price. */
#define POLL_WAIT_MS 1500
/* ... and no longer than this part of a lease, so that two polls may be lost
 * before it lapses. */
#define POLL_WAIT_LEASE_PART 4
/* A poll may take this much longer than it asks the worker to wait. */
#define POLL_TIMEOUT_MS 700
/* Polls of a worker that does not answer; those at idle ones back off. */
#define POLL_RETRY_TIMEOUT_MS 300
#define POLL_RETRY_US (150 * RJ_US_PER_MS)
#define POLL_RETRY_MAX_US (1000 * RJ_US_PER_MS)
/* Retries of all silent workers that hold runs, together. */
#define POLL_RETRIES_PER_S 200
#define POLL_RETRIES_AT_ONCE 200
/* A worker whose lease has lapsed is still polled for so long. */
#define GIVEN_UP_POLL_US (15 * RJ_US_PER_S)
/* Ends that cannot be stored make polls return at once; until they are,
 * leases are renewed at this pace. */
#define POLL_UNSTORED_US (700 * RJ_US_PER_MS)
/* Idle workers are polled in turn, all of them together so often a second, and
 * so many at once after a takeover, so that their cost does not follow their
 * number. */
#define IDLE_POLLS_PER_S 300
#define IDLE_POLLS_AT_ONCE 450
/* Of more workers than this no instance is sure to keep a connection to each,
 * so that polls open new ones: fewer of them then, and workers are taken to be
 * as well as their heartbeats say until the first order to them. */
#define KNOWN_CLOSELY_MAX 1500
#define IDLE_POLLS_FAR_PER_S 50

/* A listed run that is not ours: stop it, and count its room meanwhile. */
static void stop_orphan(struct rj_cell_owner *owner,
			struct rj_cell_worker *worker,
			const struct rj_cell_row *row)
{
	struct rj_cell_entry *entry = NULL;
	struct rj_cell_run *run = talloc_zero(NULL, struct rj_cell_run);
	unsigned int step = 0;

	assert(run);
	(void)rj_cell_owner_task(owner, row->name, &entry);
	run->worker = worker;
	run->name = talloc_strdup(run, row->name);
	run->number = row->number;
	run->state = RJ_CELL_RUN_STOPPING;
	run->why = "orphaned";
	run->begun_us = owner->now_us;
	if (entry && entry->def &&
	    sscanf(row->name, "%*[^.].%*u.%u", &step) == 1 &&
	    step < entry->def->step_count)
		run->held = entry->def->steps[step].each;
	else
		run->held = worker->said.capacity;
	rj_list_init(&run->in_task);
	rj_cell_run_hold(run);
	rj_cell_run_order(run, owner->now_us);
}

/* Mark the runs that the worker lists. */
static void take_rows(struct rj_cell_owner *owner,
		      struct rj_cell_worker *worker,
		      const struct rj_cell_order_reply *reply)
{
	for (uint32_t i = 0; i < reply->row_count; i++) {
		const struct rj_cell_row *row = &reply->rows[i];
		struct rj_cell_run *run =
			rj_cell_call_run(worker, row->name, row->number);

		if (run)
			rj_cell_health_progress(owner, run, row);
		else
			stop_orphan(owner, worker, row);
	}
}

/* Whether a worker lists a run. */
static bool is_listed(const struct rj_cell_order_reply *reply,
		      const struct rj_cell_run *run)
{
	for (uint32_t i = 0; i < reply->row_count; i++)
		if (reply->rows[i].number == run->number &&
		    !strcmp(reply->rows[i].name, run->name))
			return true;
	return false;
}

/*
 * Order a run that was taken over and is not there, if its former owner may
 * have been stopped between storing the intent and sending the order.
 *
 * Load that it answers: an owner that dies while a gang starts. The members
 * that have started wait for the others for a few seconds; with these they
 * go on, where the whole gang would have to begin anew.
 */
static bool order_again(struct rj_cell_owner *owner, struct rj_cell_run *run)
{
	if (!run->adopted || run->state != RJ_CELL_RUN_PLACED || !run->task ||
	    !rj_cell_worker_stays(run->worker))
		return false;
	/* A gang's end speaks for members whose worker was reborn since. */
	if (run->task->done ||
	    run->task->round->work->state >= RJ_CELL_JOB_COMPLETED)
		return false;
	run->adopted = false;
	run->begun_us = 0;
	run->settled_us = 0;
	run->state = RJ_CELL_RUN_STARTING;
	run->order_tries = 0;
	rj_cell_run_order(run, owner->now_us);
	rj_log_event("start_again", RJ_LOG_TEXT("task", run->name),
		     RJ_LOG_NUMBER("run", run->number),
		     RJ_LOG_TEXT("worker", run->worker->id));
	return true;
}

/*
 * End the runs that the worker should list and does not.
 *
 * Guards against taking a run for lost whose start is still on its way: only
 * a list that was asked for after the order had been answered counts. Runs
 * taken over from a former owner are settled from the start, as the fencing
 * token keeps its orders from being carried out.
 */
static void drop_missing(struct rj_cell_owner *owner,
			 struct rj_cell_worker *worker, uint64_t sent_us,
			 const struct rj_cell_order_reply *reply)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);
		bool settled = run->settled_us && run->settled_us < sent_us;

		if (run->state == RJ_CELL_RUN_INTENDED || !settled ||
		    is_listed(reply, run) || order_again(owner, run))
			continue;
		if (!run->why)
			run->why = "not_listed";
		rj_cell_ends_run(owner, run,
				 run->state == RJ_CELL_RUN_STOPPING ?
					 RJ_CELL_END_STOPPED :
					 RJ_CELL_END_LOST,
				 NULL);
		next = worker->runs.next;
	}
}

/* Take the ends in that are new. */
static void take_ends(struct rj_cell_owner *owner,
		      struct rj_cell_worker *worker,
		      const struct rj_cell_order_reply *reply)
{
	for (uint32_t i = 0; i < reply->end_count; i++) {
		const struct rj_cell_end_row *row = &reply->ends[i];
		struct rj_cell_run *run;

		if (row->position <= worker->seen_taken)
			continue;
		worker->seen_taken = row->position;
		run = rj_cell_call_run(worker, row->name, row->number);
		if (run)
			rj_cell_ends_run(owner, run, row->end, row->saved);
		else
			rj_cell_ends_orphan(owner, worker, row);
	}
	if (worker->seen_taken > worker->seen &&
	    worker->in_unstored.next == &worker->in_unstored)
		rj_list_append(&owner->fleet.unstored, &worker->in_unstored);
}

/*
 * A worker has answered with another incarnation, or for the first time. Its
 * runs are not taken for lost by that alone: a start that was sent while the
 * worker was away may have arrived in its new life, as orders name the worker
 * and not its life. The lists that came with the answer tell.
 */
static void meet(struct rj_cell_owner *owner, struct rj_cell_worker *worker,
		 const struct rj_cell_order_reply *reply)
{
	rj_log_event("worker_met", RJ_LOG_TEXT("worker", worker->id),
		     RJ_LOG_NUMBER("incarnation", reply->incarnation),
		     RJ_LOG_NUMBER("before", worker->incarnation),
		     RJ_LOG_NUMBER("rows", reply->row_count));
	worker->incarnation = reply->incarnation;
	worker->seen = 0;
	worker->seen_taken = 0;
	worker->seen_storing = 0;
	worker->seen_told = 0;
	worker->bad_streak = 0;
	/* From here on only our orders count, so that no lease is longer. */
	worker->lease_ms = worker->clock_ms + owner->terms.lease_max_ms;
	worker->lapsed_us = 0;
	rj_cell_worker_note_lease(worker, worker->lease_ms);
	owner->plan_wanted = true;
}

/*
 * Whether a worker may list completions of runs that were given up: it is
 * polled like one that holds runs, as it may leave soon after it is back.
 */
static bool may_list_more(const struct rj_cell_owner *owner,
			  const struct rj_cell_worker *worker)
{
	return worker->given_up_us &&
	       owner->now_us < worker->given_up_us + GIVEN_UP_POLL_US;
}

/* Whether a worker is polled as long as it is silent. */
static bool is_wanted(const struct rj_cell_owner *owner,
		      const struct rj_cell_worker *worker)
{
	return worker->runs.next != &worker->runs ||
	       may_list_more(owner, worker);
}

/* Whether nothing runs on a worker, and all its ends are settled. */
static bool is_idle(const struct rj_cell_owner *owner,
		    const struct rj_cell_worker *worker)
{
	return !is_wanted(owner, worker) &&
	       worker->seen_told >= worker->seen_taken;
}

/* A worker's lists have come. */
static void take_poll(struct rj_cell_owner *owner,
		      struct rj_cell_worker *worker,
		      const struct rj_cell_call_note *call,
		      const struct rj_cell_order_reply *reply)
{
	rj_cell_call_clock(worker, reply);
	worker->poll_failures = 0;
	worker->left_us = 0;
	worker->given_up_us = 0;
	rj_cell_call_answers(owner, worker, true, reply->status);
	if (worker->incarnation != reply->incarnation)
		meet(owner, worker, reply);
	else
		worker->seen_told = call->seen;
	take_ends(owner, worker, reply);
	take_rows(owner, worker, reply);
	drop_missing(owner, worker, call->sent_us, reply);
	rj_cell_health_check(owner, worker);
	worker->poll_due_us = owner->now_us;
	if (worker->seen_taken > worker->seen)
		worker->poll_due_us += POLL_UNSTORED_US;
}

/*
 * A poll that was sent at `sent_us` has failed.
 *
 * A worker that deregistered ends all its runs. It is polled once more before
 * these are given up, as the inference rests on the timing of its entry.
 */
static void note_failure(struct rj_cell_owner *owner,
			 struct rj_cell_worker *worker, uint64_t sent_us,
			 enum rj_cell_order_status status)
{
	uint64_t delay_us = POLL_RETRY_US;

	if (worker->left_us && sent_us >= worker->left_us)
		rj_cell_call_lose_runs(owner, worker, "worker_left");
	if (status == RJ_CELL_ORDER_OTHER)
		rj_cell_call_other_life(owner, worker);
	else
		rj_cell_call_answers(owner, worker, false, status);
	if (!is_wanted(owner, worker))
		delay_us <<= MIN(worker->poll_failures, 3U);
	worker->poll_failures++;
	worker->poll_due_us = owner->now_us + MIN(delay_us, POLL_RETRY_MAX_US);
}

/* The answer to a poll. */
static void poll_done(void *private_data,
		      const struct rj_cell_order_reply *reply)
{
	struct rj_cell_call_note *call = private_data;
	struct rj_cell_owner *owner = call->owner;
	struct rj_cell_worker *worker = rj_cell_call_worker(call, reply);

	if (!worker)
		goto free_call;
	worker->poll_open = false;
	if (reply->status == RJ_CELL_ORDER_FENCED) {
		owner->lost = true;
		goto free_call;
	}
	if (reply->status == RJ_CELL_ORDER_OK)
		take_poll(owner, worker, call, reply);
	else
		note_failure(owner, worker, call->sent_us, reply->status);
	if (!is_idle(owner, worker))
		rj_cell_worker_watch(worker, RJ_CELL_WATCH_BUSY);
	else if (worker->answers)
		rj_cell_worker_watch(worker, RJ_CELL_WATCH_IDLE);
	else
		rj_cell_worker_watch(worker, RJ_CELL_WATCH_SILENT);
free_call:
	talloc_free(call);
}

/* Ask a worker for its lists, renewing what runs there. */
static void send_poll(struct rj_cell_owner *owner,
		      struct rj_cell_worker *worker)
{
	struct rj_cell_poll poll = { .token = owner->token,
				     .timeout_ms =
					     worker->poll_failures ?
						     POLL_RETRY_TIMEOUT_MS :
						     POLL_TIMEOUT_MS };
	struct rj_cell_order_done done;
	struct rj_cell_call_note *call;

	/*
	 * Guards against ends that are forgotten unseen: a worker that went
	 * silent may have been reborn, and its new life counts its ends from
	 * one again. Until it has answered, nothing counts as seen.
	 */
	if (worker->answers)
		poll.seen = worker->seen;
	if (worker->incarnation && worker->answers)
		poll.wait_ms = MIN(POLL_WAIT_MS, owner->terms.lease_max_ms /
							 POLL_WAIT_LEASE_PART);
	/*
	 * Guards against leases that never lapse: a worker that is silent may
	 * carry a poll out late, so each deadline that was sent counts, and
	 * with it the time until its tasks may start elsewhere.
	 */
	if (worker->incarnation && worker->answers &&
	    worker->runs.next != &worker->runs)
		poll.deadline_ms = rj_cell_call_deadline(owner, worker);
	call = rj_cell_call_new(owner, worker, NULL);
	call->seen = poll.seen;
	done.call = poll_done;
	done.private_data = call;
	worker->poll_open = true;
	owner->counters.polls++;
	owner->workers->ops->poll(owner->workers, worker, &poll, done);
}

/*
 * Nothing has been polled yet: all idle workers may be met.
 */
void rj_cell_polls_begin(struct rj_cell_owner *owner)
{
	owner->idle_polls.calls = IDLE_POLLS_AT_ONCE;
	owner->idle_polls.updated_us = owner->now_us;
	owner->retried_polls.calls = POLL_RETRIES_AT_ONCE;
	owner->retried_polls.updated_us = owner->now_us;
}

/* Add what has come free of an allowance since. */
static void refill(struct rj_cell_allowance *allowance, uint64_t now_us,
		   uint32_t per_s, double most)
{
	uint64_t passed_us = now_us - allowance->updated_us;

	allowance->updated_us = now_us;
	allowance->calls += (double)passed_us * per_s / RJ_US_PER_S;
	allowance->calls = MIN(allowance->calls, most);
}

/* Take one call out of an allowance, if there is one. */
static bool take_one(struct rj_cell_allowance *allowance)
{
	if (allowance->calls < 1)
		return false;
	allowance->calls--;
	return true;
}

/*
 * A heartbeat of a worker has been read: whether that is enough to give it
 * work, before it has answered any call.
 *
 * Load that it answers: a takeover of a large fleet, which would wait until
 * thousands of workers have answered. The clock that the entry names is behind
 * the worker's by the age of the entry, so that a lease reckoned from it ends
 * early rather than late, and the first poll renews it.
 */
void rj_cell_polls_trust(struct rj_cell_owner *owner,
			 struct rj_cell_worker *worker)
{
	if (owner->fleet.count <= KNOWN_CLOSELY_MAX || worker->incarnation ||
	    worker->poll_failures || !worker->said.clock_ms)
		return;
	worker->answers = true;
	worker->clock_ms = worker->said.clock_ms;
	worker->clock_at_us = owner->now_us;
}

/*
 * All entries of workers have been loaded, so that the size of the fleet is
 * known: a small one is polled at once, a large one is taken at its word.
 *
 * Load that it answers: a takeover of a large fleet by an instance with a part
 * of a core, which would poll thousands of idle workers before it starts
 * anything.
 */
void rj_cell_polls_loaded(struct rj_cell_owner *owner)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &owner->fleet.workers) {
		struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, link);

		if (!worker->listed)
			continue;
		if (owner->fleet.count > KNOWN_CLOSELY_MAX)
			rj_cell_polls_trust(owner, worker);
		else
			rj_cell_polls_soon(owner, worker);
	}
	owner->plan_wanted = true;
}

/*
 * Poll a worker as soon as can be, as there is news of it.
 */
void rj_cell_polls_soon(struct rj_cell_owner *owner,
			struct rj_cell_worker *worker)
{
	worker->poll_due_us = owner->now_us;
	if (worker->watch != RJ_CELL_WATCH_CALLED)
		rj_cell_worker_watch(worker, RJ_CELL_WATCH_BUSY);
}

/*
 * Poll a worker that holds something, if that is due.
 */
void rj_cell_polls_busy(struct rj_cell_owner *owner,
			struct rj_cell_worker *worker)
{
	if (worker->poll_open || owner->now_us < worker->poll_due_us)
		return;
	if (worker->poll_failures && !take_one(&owner->retried_polls))
		return;
	if (worker->said.address.port &&
	    (worker->listed || is_wanted(owner, worker)))
		send_poll(owner, worker);
	else if (!is_wanted(owner, worker))
		rj_cell_worker_watch(worker, RJ_CELL_WATCH_IDLE); /* to go */
}

/* Poll idle workers in their order, as far as the allowance goes. */
static void poll_idle(struct rj_cell_owner *owner, enum rj_cell_watch watch)
{
	struct rj_list *list = &owner->fleet.watched[watch];

	while (owner->idle_polls.calls >= 1 && list->next != list) {
		struct rj_cell_worker *worker = RJ_CONTAINER(
			list->next, struct rj_cell_worker, in_watch);

		/* Its entry is gone for good, and it holds nothing. */
		if (!worker->listed) {
			rj_cell_fleet_drop(&owner->fleet, worker);
			continue;
		}
		if (owner->now_us < worker->poll_due_us)
			break;
		(void)take_one(&owner->idle_polls);
		rj_cell_worker_watch(worker, RJ_CELL_WATCH_CALLED);
		send_poll(owner, worker);
	}
}

/*
 * Poll idle workers.
 *
 * Load that it answers: many more workers than work. Those that hold runs are
 * polled without a break, as their leases and ends depend on it; the rest
 * share an allowance, so that an owner's cost follows its work.
 */
void rj_cell_polls_tick(struct rj_cell_owner *owner)
{
	uint32_t per_s = owner->fleet.count > KNOWN_CLOSELY_MAX ?
				 IDLE_POLLS_FAR_PER_S :
				 IDLE_POLLS_PER_S;

	refill(&owner->idle_polls, owner->now_us, per_s, IDLE_POLLS_AT_ONCE);
	refill(&owner->retried_polls, owner->now_us, POLL_RETRIES_PER_S,
	       POLL_RETRIES_AT_ONCE);
	poll_idle(owner, RJ_CELL_WATCH_IDLE);
	poll_idle(owner, RJ_CELL_WATCH_SILENT);
}
