#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_incarnation.h"
#include "private/cell_run_health.h"
#include "private/cell_worker_evidence.h"
#include "private/log_event.h"

/* How long a worker may delay its answer to a poll until a run completes; the
 * worker protocol allows at most 2,000 ms. Shorter polls detect an unreachable
 * worker sooner, but cost more calls. */
#define POLL_WAIT_MS 1500
/* A poll waits for at most the lease divided by this, so that two polls may be
 * lost before the lease expires. */
#define POLL_WAIT_LEASE_DIVISOR 4
/* Time for the answer beyond the wait that the poll requests. */
#define POLL_TIMEOUT_MS 700
/* Timeout of repeated polls at a worker that does not answer, and the delay
 * between them. At idle workers the delay doubles up to the maximum. */
#define POLL_RETRY_TIMEOUT_MS 300
#define POLL_RETRY_US (150 * RJ_US_PER_MS)
#define POLL_RETRY_MAX_US (1000 * RJ_US_PER_MS)
/* Limit for the retries at all unreachable workers with runs together. */
#define POLL_RETRIES_PER_S 200
#define POLL_RETRY_BURST 200
/* How long a worker is still polled after its runs were abandoned. */
#define ABANDONED_RUNS_POLL_US (15 * RJ_US_PER_S)
/* A poll returns at once while the worker lists completions that are not
 * stored, so that continuous polling would send calls without a pause. Until
 * they are stored, polls are sent, and leases renewed, at this interval; also
 * until the lease bounds are stored that allow to renew leases. */
#define POLL_UNSTORED_DELAY_US (700 * RJ_US_PER_MS)
/* Limits for the polls at all idle workers together, per second and in a burst
 * after a takeover, so that their cost does not grow with the number of
 * workers. */
#define IDLE_POLLS_PER_S 300
#define IDLE_POLL_BURST 450
/* Delay of the next poll of a busy worker in a large fleet: this part of the time
 * until the first of its runs is expected to end, in percent, and at most the
 * lease divided by this, so that with the wait of a poll two polls may be lost
 * before the lease expires. */
#define POLL_DELAY_PERCENT 50
#define POLL_DELAY_LEASE_DIVISOR 8
/* The same in a large fleet; see rj_cell_fleet_is_large. */
#define LARGE_FLEET_IDLE_POLLS_PER_S 50

/* Stops a listed run that the owner does not know, and counts its allocation
 * until it has ended. Returns it. */
static struct rj_cell_run *stop_orphan(struct rj_cell_owner *owner,
				       struct rj_cell_worker *worker,
				       const struct rj_cell_run_report *row)
{
	struct rj_cell_view_entry *entry = NULL;
	struct rj_cell_run *run = talloc_zero(NULL, struct rj_cell_run);
	unsigned int step = 0;

	assert(run);
	(void)rj_cell_owner_find_task(owner, row->name, &entry);
	run->worker = worker;
	run->incarnation = worker->incarnation;
	run->name = talloc_strdup(run, row->name);
	run->number = row->number;
	run->state = RJ_CELL_RUN_STOPPING;
	run->reason = "orphaned";
	run->placed_us = owner->now_us;
	if (entry && entry->job_spec &&
	    sscanf(row->name, "%*[^.].%*u.%u", &step) == 1 &&
	    step < entry->job_spec->step_count)
		run->allocated = entry->job_spec->steps[step].each;
	else
		run->allocated = worker->heartbeat.capacity;
	rj_list_init(&run->in_task);
	rj_cell_run_allocate(run);
	rj_cell_run_schedule_order(run, owner->now_us);
	return run;
}

/* Updates the runs that the worker lists, and stops unknown ones. */
static void process_runs(struct rj_cell_owner *owner,
			 struct rj_cell_worker *worker,
			 const struct rj_cell_order_reply *reply)
{
	const struct rj_list *at;

	for (at = worker->runs.next; at != &worker->runs; at = at->next)
		RJ_CONTAINER(at, struct rj_cell_run, in_worker)->listed = false;
	for (uint32_t i = 0; i < reply->row_count; i++) {
		const struct rj_cell_run_report *row = &reply->rows[i];
		struct rj_cell_run *run =
			rj_cell_run_find(worker, row->name, row->number);

		if (run)
			rj_cell_run_health_update(owner, run, row);
		else
			run = stop_orphan(owner, worker, row);
		run->listed = true;
	}
}

/*
 * Whether a worker is still one that a run of a former owner could be placed on.
 * It may have restarted since, as another kind, in another service or with less
 * capacity; the run counts as allocated.
 */
static bool suits_run(const struct rj_cell_owner *owner,
		      const struct rj_cell_run *run)
{
	const struct rj_cell_worker *worker = run->worker;
	const struct rj_cell_queue *queue =
		owner->config ?
			rj_cell_config_queue(
				owner->config,
				run->task->occurrence->job->job_spec->queue) :
			NULL;

	return (!queue || (worker->service &&
			   !strcmp(queue->service, worker->service))) &&
	       rj_cell_worker_has_label(worker,
					rj_cell_task_step(run->task)->label) &&
	       rj_cell_demand_fits(&worker->allocated,
				   &worker->heartbeat.capacity);
}

/*
 * Sends the start of an adopted run again that its worker does not list, as the
 * former owner may have stopped between storing the intent and sending the
 * order. Returns whether the run is started again.
 *
 * If an owner fails while a gang starts, the members that have started wait a
 * few seconds for the others. Starting the others lets the gang go on, instead
 * of beginning again as a whole.
 */
static bool restart_adopted(struct rj_cell_owner *owner,
			    struct rj_cell_run *run)
{
	if (!run->adopted || run->state != RJ_CELL_RUN_PLACED || !run->task ||
	    !rj_cell_worker_schedulable(run->worker) || !suits_run(owner, run))
		return false;
	/* No run is needed if the gang is done or the job has ended; a worker
	 * that has been restarted since does not list the run. */
	if (run->task->done ||
	    run->task->occurrence->job->state >= RJ_CELL_JOB_COMPLETED)
		return false;
	run->adopted = false;
	run->placed_us = 0;
	run->settled_us = 0;
	run->incarnation = run->worker->incarnation;
	run->state = RJ_CELL_RUN_STARTING;
	run->order_tries = 0;
	run->start_tries = 1; /* of the earlier owner */
	rj_cell_run_schedule_order(run, owner->now_us);
	rj_log_event("start_again", RJ_LOG_TEXT("task", run->name),
		     RJ_LOG_NUMBER("run", run->number),
		     RJ_LOG_TEXT("worker", run->worker->id));
	return true;
}

/*
 * Ends the runs that the worker should list and does not. It lists neither runs
 * that have ended nor, while it has more completions than an answer holds, all
 * of these: then none is taken for lost. Acknowledged completions make room for
 * the others.
 *
 * A run whose start order has not been answered must not be taken for lost, so
 * a list counts only if it was requested after the answer. Adopted runs are
 * settled from the beginning, as the fencing token keeps the former owner's
 * orders from being carried out.
 */
static void end_missing_runs(struct rj_cell_owner *owner,
			     struct rj_cell_worker *worker, uint64_t sent_us,
			     const struct rj_cell_order_reply *reply)
{
	struct rj_list *at;
	struct rj_list *next;

	if (reply->more_completions)
		return;
	RJ_FOR_EACH (at, next, &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);
		bool settled = run->settled_us && run->settled_us < sent_us;

		if (run->state == RJ_CELL_RUN_INTENDED || !settled ||
		    run->listed || restart_adopted(owner, run))
			continue;
		if (!run->reason)
			run->reason = "not_listed";
		rj_cell_completions_apply(owner, run,
					  run->state == RJ_CELL_RUN_STOPPING ?
						  RJ_CELL_COMPLETION_STOPPED :
						  RJ_CELL_COMPLETION_LOST,
					  NULL);
		/* Other runs of the worker may have been freed too. */
		next = worker->runs.next;
	}
}

/* Records that a completion is not stored yet; `run` is NULL if it is not known
 * at the worker. */
static void add_unsaved_end(struct rj_cell_owner *owner,
			    const struct rj_cell_worker *worker,
			    const struct rj_cell_run *run,
			    const struct rj_cell_completion_report *row)
{
	const struct rj_cell_task *task =
		run ? run->task :
		      rj_cell_owner_find_task(owner, row->name, NULL);

	if (task)
		rj_cell_unsaved_ends_add(&task->occurrence->job->unsaved_ends,
					 worker, row->position);
}

/* Applies the completions that the owner has not seen yet. */
static void process_completions(struct rj_cell_owner *owner,
				struct rj_cell_worker *worker,
				const struct rj_cell_order_reply *reply)
{
	for (uint32_t i = 0; i < reply->completion_count; i++) {
		const struct rj_cell_completion_report *row =
			&reply->completions[i];
		struct rj_cell_run *run;

		if (row->position <= worker->applied_position)
			continue;
		worker->applied_position = row->position;
		run = rj_cell_run_find(worker, row->name, row->number);
		add_unsaved_end(owner, worker, run, row);
		rj_cell_ended_runs_add(&owner->ended_runs, worker->id, row);
		if (run)
			rj_cell_completions_apply(owner, run, row->end,
						  row->saved);
		else
			rj_cell_completions_apply_orphan(owner, worker->id,
							 row);
	}
	if (worker->applied_position > worker->stored_position &&
	    worker->in_unstored.next == &worker->in_unstored)
		rj_list_append(&owner->fleet.unstored, &worker->in_unstored);
}

/*
 * Whether a worker may list completions of abandoned runs. It is then polled
 * like one that holds runs, as it may leave again soon after it is back.
 */
static bool may_list_abandoned_runs(const struct rj_cell_owner *owner,
				    const struct rj_cell_worker *worker)
{
	return worker->abandoned_us &&
	       owner->now_us < worker->abandoned_us + ABANDONED_RUNS_POLL_US;
}

/* Whether a worker is polled even while it is unreachable. */
static bool needs_polling(const struct rj_cell_owner *owner,
			  const struct rj_cell_worker *worker)
{
	return worker->runs.next != &worker->runs ||
	       may_list_abandoned_runs(owner, worker);
}

/* Whether nothing runs on a worker, and it has been sent the acknowledgement of
 * all its completions. */
static bool is_idle(const struct rj_cell_owner *owner,
		    const struct rj_cell_worker *worker)
{
	return !needs_polling(owner, worker) &&
	       worker->acknowledged_position >= worker->applied_position;
}

/* Whether a worker's leases are renewed only after a record of the lease bounds
 * is stored. */
static bool waits_for_lease(struct rj_cell_owner *owner,
			    const struct rj_cell_worker *worker)
{
	return worker->runs.next != &worker->runs &&
	       !rj_cell_lease_bounds_allow(&owner->leases, worker,
					   owner->now_us);
}

/*
 * Returns the delay of the next poll of a worker that has just answered.
 *
 * In a large fleet most polls would end without a completion. They are fewer if
 * a worker is not polled while none of its runs is expected to end.
 */
static uint64_t poll_delay_us(const struct rj_cell_owner *owner,
			      const struct rj_cell_worker *worker)
{
	uint64_t delay_us = owner->leases.lease_ms * RJ_US_PER_MS /
			    POLL_DELAY_LEASE_DIVISOR;
	const struct rj_list *at;

	if (!rj_cell_fleet_is_large(&owner->fleet) ||
	    worker->runs.next == &worker->runs)
		return 0;
	for (at = worker->runs.next; at != &worker->runs; at = at->next) {
		const struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);
		uint64_t remaining_us;

		if (run->state != RJ_CELL_RUN_PLACED &&
		    run->state != RJ_CELL_RUN_LISTED)
			return 0;
		remaining_us = rj_cell_forecast_remaining_us(
			&owner->forecast, run, owner->now_us);
		delay_us =
			MIN(delay_us, remaining_us * POLL_DELAY_PERCENT / 100);
	}
	return delay_us;
}

/* Handles the lists in the answer to a poll. */
static void process_poll(struct rj_cell_owner *owner,
			 struct rj_cell_worker *worker,
			 const struct rj_cell_call_context *call,
			 const struct rj_cell_order_reply *reply)
{
	bool restarted = worker->incarnation != reply->incarnation;

	worker->poll_failures = 0;
	worker->deregistered_us = 0;
	worker->abandoned_us = 0;
	if (restarted)
		rj_cell_worker_evidence_restarted(owner, worker,
						  worker->incarnation);
	rj_cell_call_set_answering(owner, worker, true, reply->status);
	if (restarted)
		rj_cell_incarnation_accept(owner, worker, call, reply);
	else
		worker->acknowledged_position = MAX(
			worker->acknowledged_position, call->stored_position);
	process_completions(owner, worker, reply);
	process_runs(owner, worker, reply);
	end_missing_runs(owner, worker, call->sent_us, reply);
	rj_cell_run_health_check(owner, worker);
	worker->poll_due_us = owner->now_us;
	if (worker->applied_position > worker->stored_position ||
	    waits_for_lease(owner, worker))
		worker->poll_due_us += POLL_UNSTORED_DELAY_US;
	else
		worker->poll_due_us += poll_delay_us(owner, worker);
}

/*
 * Handles the failure of a poll.
 *
 * A worker that deregisters ends all its runs. As its deregistration is only
 * inferred from the time at which its entry was removed, the runs are abandoned
 * only after one more poll has failed.
 */
static void record_poll_failure(struct rj_cell_owner *owner,
				struct rj_cell_worker *worker,
				const struct rj_cell_call_context *call,
				enum rj_cell_order_status status)
{
	uint64_t delay_us = POLL_RETRY_US;

	if (worker->deregistered_us && call->sent_us >= worker->deregistered_us)
		rj_cell_call_lose_runs(owner, worker, "worker_left");
	else
		rj_cell_departures_check(owner, worker);
	if (status == RJ_CELL_ORDER_OTHER_INCARNATION)
		rj_cell_call_other_incarnation(owner, worker,
					       call->incarnation);
	else
		rj_cell_call_set_answering(owner, worker, false, status);
	if (!needs_polling(owner, worker))
		delay_us <<= MIN(worker->poll_failures, 3U);
	worker->poll_failures++;
	rj_cell_lease_bounds_unreachable(&owner->leases, worker);
	worker->poll_due_us = owner->now_us + MIN(delay_us, POLL_RETRY_MAX_US);
}

/* Handles the answer to a poll. */
static void poll_done(void *private_data,
		      const struct rj_cell_order_reply *reply)
{
	struct rj_cell_call_context *call = private_data;
	struct rj_cell_owner *owner = call->owner;
	struct rj_cell_worker *worker = rj_cell_call_find_worker(call, reply);

	if (!worker)
		goto free_call;
	worker->poll_in_flight = false;
	if (reply->status == RJ_CELL_ORDER_FENCED) {
		owner->fenced = true;
		goto free_call;
	}
	if (rj_cell_incarnation_is_former(worker, call, reply))
		worker->poll_due_us = owner->now_us;
	else if (reply->status == RJ_CELL_ORDER_OK)
		process_poll(owner, worker, call, reply);
	else
		record_poll_failure(owner, worker, call, reply->status);
	if (!is_idle(owner, worker))
		rj_cell_worker_set_poll_state(worker, RJ_CELL_POLL_STATE_BUSY);
	else if (worker->answers)
		rj_cell_worker_set_poll_state(worker, RJ_CELL_POLL_STATE_IDLE);
	else
		rj_cell_worker_set_poll_state(worker,
					      RJ_CELL_POLL_STATE_UNREACHABLE);
free_call:
	talloc_free(call);
}

/* Whether a poll of a worker may wait for a completion: the worker has answered
 * this owner, and its last call. */
static bool may_long_poll(const struct rj_cell_worker *worker)
{
	return worker->incarnation && worker->answers;
}

/* Whether the poll window allows to poll a worker now. */
static bool window_allows(const struct rj_cell_owner *owner,
			  const struct rj_cell_worker *worker)
{
	return may_long_poll(worker) ||
	       rj_cell_call_window_has_room(&owner->poll_window, owner->now_us);
}

/* Requests the lists of a worker, and renews the leases of its runs. */
static void send_poll(struct rj_cell_owner *owner,
		      struct rj_cell_worker *worker)
{
	struct rj_cell_poll poll = { .token = owner->token,
				     .timeout_ms =
					     worker->poll_failures ?
						     POLL_RETRY_TIMEOUT_MS :
						     POLL_TIMEOUT_MS };
	struct rj_cell_order_done done;
	struct rj_cell_call_context *call;

	if (may_long_poll(worker))
		poll.wait_ms =
			MIN(POLL_WAIT_MS,
			    owner->leases.lease_ms / POLL_WAIT_LEASE_DIVISOR);
	rj_cell_incarnation_address_poll(owner, worker, &poll);
	call = rj_cell_call_new(owner, worker, NULL);
	call->incarnation = poll.incarnation;
	call->stored_position = poll.stored_position;
	if (!poll.wait_ms)
		rj_cell_call_enter_window(call, &owner->poll_window);
	done.call = poll_done;
	done.private_data = call;
	worker->poll_in_flight = true;
	owner->counters.polls++;
	owner->workers->ops->poll(owner->workers, worker, &poll, done);
}

/*
 * Fills the rate limits for polls, so that all idle workers may be polled after
 * a takeover.
 */
void rj_cell_polls_reset_limits(struct rj_cell_owner *owner)
{
	owner->idle_poll_limit.available = IDLE_POLL_BURST;
	owner->idle_poll_limit.updated_us = owner->now_us;
	owner->retry_poll_limit.available = POLL_RETRY_BURST;
	owner->retry_poll_limit.updated_us = owner->now_us;
}

/* Adds the tokens that have become available since the last update. */
static void refill(struct rj_cell_rate_limit *limit, uint64_t now_us,
		   uint32_t per_s, double burst)
{
	uint64_t elapsed_us = now_us - limit->updated_us;

	limit->updated_us = now_us;
	limit->available += (double)elapsed_us * per_s / RJ_US_PER_S;
	limit->available = MIN(limit->available, burst);
}

/* Takes one token from a rate limit. Returns whether there was one. */
static bool take_token(struct rj_cell_rate_limit *limit)
{
	if (limit->available < 1)
		return false;
	limit->available--;
	return true;
}

/*
 * Decides from a worker's heartbeat whether it may get work before it has
 * answered any call, and if so takes its clock from the heartbeat.
 *
 * Otherwise a takeover of a large fleet would wait until thousands of workers
 * have answered. The clock in the entry is behind the worker's clock by the age
 * of the entry, so a lease computed from it ends early rather than late, and
 * the first poll renews it.
 */
void rj_cell_polls_accept_heartbeat(struct rj_cell_owner *owner,
				    struct rj_cell_worker *worker)
{
	if (!rj_cell_fleet_is_large(&owner->fleet) || worker->incarnation ||
	    worker->poll_failures || !worker->heartbeat.clock_ms ||
	    !worker->heartbeat.incarnation)
		return;
	worker->answers = true;
	worker->clock_ms = worker->heartbeat.clock_ms;
	worker->clock_at_us = owner->now_us;
}

/*
 * Prepares the workers once all their entries are loaded and the size of the
 * fleet is known: a small fleet is polled at once, in a large one the
 * heartbeats are trusted.
 *
 * Otherwise an instance with a fraction of a core that takes over a large fleet
 * would poll thousands of idle workers before it starts anything.
 */
void rj_cell_polls_fleet_loaded(struct rj_cell_owner *owner)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &owner->fleet.workers) {
		struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, link);

		if (!worker->listed)
			continue;
		if (rj_cell_fleet_is_large(&owner->fleet))
			rj_cell_polls_accept_heartbeat(owner, worker);
		else
			rj_cell_polls_schedule_now(owner, worker);
	}
	owner->plan_wanted = true;
}

/*
 * Makes a poll of the worker due now.
 */
void rj_cell_polls_schedule_now(struct rj_cell_owner *owner,
				struct rj_cell_worker *worker)
{
	worker->poll_due_us = owner->now_us;
	if (worker->poll_state != RJ_CELL_POLL_STATE_POLLING)
		rj_cell_worker_set_poll_state(worker, RJ_CELL_POLL_STATE_BUSY);
}

/*
 * Handles the first entry of a worker, or a change of its drain state.
 *
 * Guards against thousands of polls as a large fleet comes up: there the
 * heartbeat of a new worker is trusted.
 */
void rj_cell_polls_worker_listed(struct rj_cell_owner *owner,
				 struct rj_cell_worker *worker)
{
	if (!rj_cell_fleet_is_large(&owner->fleet) || worker->incarnation)
		rj_cell_polls_schedule_now(owner, worker);
}

/*
 * Polls a worker that holds runs or unstored completions, if a poll is due and
 * the limits allow it.
 */
void rj_cell_polls_poll_busy(struct rj_cell_owner *owner,
			     struct rj_cell_worker *worker)
{
	if (worker->poll_in_flight || owner->now_us < worker->poll_due_us ||
	    !window_allows(owner, worker))
		return;
	if (worker->poll_failures && !take_token(&owner->retry_poll_limit))
		return;
	if (worker->heartbeat.address.port &&
	    (worker->listed || needs_polling(owner, worker)))
		send_poll(owner, worker);
	else if (!needs_polling(owner, worker))
		/* poll_idle_workers drops it if it is not listed. */
		rj_cell_worker_set_poll_state(worker, RJ_CELL_POLL_STATE_IDLE);
}

/* Polls the workers in a poll state in order, as far as the rate limit allows,
 * and drops workers without an entry. */
static void poll_idle_workers(struct rj_cell_owner *owner,
			      enum rj_cell_poll_state poll_state)
{
	struct rj_list *list = &owner->fleet.by_poll_state[poll_state];

	while (owner->idle_poll_limit.available >= 1 && list->next != list) {
		struct rj_cell_worker *worker = RJ_CONTAINER(
			list->next, struct rj_cell_worker, in_poll_state);

		/* The entry was removed, and the worker holds nothing. */
		if (!worker->listed) {
			rj_cell_fleet_drop(&owner->fleet, worker);
			continue;
		}
		if (owner->now_us < worker->poll_due_us ||
		    !window_allows(owner, worker))
			break;
		(void)take_token(&owner->idle_poll_limit);
		rj_cell_worker_set_poll_state(worker,
					      RJ_CELL_POLL_STATE_POLLING);
		send_poll(owner, worker);
	}
}

/*
 * Polls idle workers. Workers with runs are polled continuously, as their
 * leases and completions depend on it. Idle ones share a rate limit, so that
 * the cost of polling follows the work even with many more workers than tasks.
 */
void rj_cell_polls_tick(struct rj_cell_owner *owner)
{
	uint32_t per_s = rj_cell_fleet_is_large(&owner->fleet) ?
				 LARGE_FLEET_IDLE_POLLS_PER_S :
				 IDLE_POLLS_PER_S;

	refill(&owner->idle_poll_limit, owner->now_us, per_s, IDLE_POLL_BURST);
	refill(&owner->retry_poll_limit, owner->now_us, POLL_RETRIES_PER_S,
	       POLL_RETRY_BURST);
	poll_idle_workers(owner, RJ_CELL_POLL_STATE_IDLE);
	poll_idle_workers(owner, RJ_CELL_POLL_STATE_UNREACHABLE);
}
