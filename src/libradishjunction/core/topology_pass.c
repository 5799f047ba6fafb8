#include "private/topology.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/* Number of blocked gangs that have soft reservations at the same time. */
#define SOFT_RESERVATIONS_MAX 2

/*
 * A worker that does not release reclaimed capacity in time is skipped by
 * reclaims for this long.
 */
#define SKIP_WORKER_US (30 * RJ_US_PER_S)

/*
 * Whether all members are within the account's guarantee on their workers.
 */
static bool is_within_guarantee(const struct rj_topology_state *state,
				const struct rj_plan_entry *entry)
{
	for (uint32_t i = 0; i < entry->member_count; i++) {
		const struct rj_capacity_worker *worker = rj_capacity_find(
			&state->capacity, entry->members[i].worker);
		const struct rj_worker_usage *usage =
			rj_ledger_usage(worker->ledger, entry->account);

		if (rj_resources_exceed(&usage->used, &usage->guaranteed))
			return false;
	}
	return true;
}

/*
 * Starts a waiting job on the members in `state->members`.
 */
static void start(struct rj_topology_state *state, struct rj_plan_entry *entry,
		  uint32_t count, enum rj_reason reason, uint64_t now_us,
		  struct rj_decisions *decisions)
{
	struct rj_decision *decision = rj_decisions_add_start(
		decisions, entry->job.job_id, reason, state->members, count);

	decision->considered = state->considered;
	if (entry->reservation)
		rj_topology_unreserve(state, entry->reservation);
	entry->backfilled = reason == RJ_REASON_BACKFILL;
	entry->on_guarantee = reason == RJ_REASON_GUARANTEE;
	rj_topology_dequeue(state, entry);
	rj_topology_attach(state, entry, decision->members, count, now_us);
	if (is_within_guarantee(state, entry))
		rj_topology_revoke(entry);
}

/*
 * Refuses a waiting job with a retry delay.
 */
static void refuse(struct rj_topology_state *state, struct rj_plan_entry *entry,
		   enum rj_reason reason, struct rj_decisions *decisions)
{
	struct rj_decision *decision =
		rj_decisions_add(decisions, RJ_DECISION_REFUSE);

	decision->job_id = entry->job.job_id;
	decision->reason = reason;
	decision->retry_after_us = rj_topology_retry_after_us(
		rj_topology_expected_wait_us(state, entry->job.priority),
		entry->job.job_id);
	rj_topology_remove(state, entry);
}

/*
 * Refuses every job whose deadline has passed.
 */
static void refuse_expired(struct rj_topology_state *state, uint64_t now_us,
			   struct rj_decisions *decisions)
{
	for (;;) {
		GSequenceIter *first =
			g_sequence_get_begin_iter(state->deadlines);
		struct rj_plan_entry *entry;

		if (g_sequence_iter_is_end(first))
			return;
		entry = g_sequence_get(first);
		if (entry->job.deadline_us > now_us)
			return;
		refuse(state, entry, RJ_REASON_DEADLINE_PASSED, decisions);
	}
}

/*
 * Whether all capacity of a firm reservation is free. If several reservations
 * include the same worker, the older one is served first, so that a single
 * unresponsive task cannot block them all.
 */
static bool is_ready(const struct rj_topology_state *state,
		     const struct rj_reservation *reservation)
{
	const struct rj_plan_entry *entry = reservation->entry;

	for (uint32_t i = 0; i < reservation->member_count; i++) {
		const struct rj_plan_member *member = &reservation->members[i];
		const struct rj_capacity_worker *worker =
			rj_capacity_find(&state->capacity, member->worker);
		struct rj_resources available = worker->free;
		struct rj_resources limit =
			rj_ledger_non_preemptible_limit(worker, entry->account);

		for (uint32_t j = 0;
		     worker->ledger->reservations[j].reservation != reservation;
		     j++)
			if (worker->ledger->reservations[j].reservation->firm)
				rj_resources_subtract_saturating(
					&available,
					&worker->ledger->reservations[j]
						 .amount);
		if (!entry->job.preemptible)
			rj_resources_clamp(&available, &limit);
		if (rj_resources_fit_count(&entry->job.shape.each, &available,
					   member->tasks) < member->tasks)
			return false;
	}
	return true;
}

/*
 * Marks the workers that did not release reclaimed capacity in time, so that
 * the next search chooses others.
 */
static void skip_unresponsive_workers(struct rj_topology_state *state,
				      const struct rj_reservation *reservation,
				      uint64_t now_us)
{
	for (uint32_t i = 0; i < reservation->member_count; i++) {
		struct rj_ledger *ledger =
			rj_capacity_find(&state->capacity,
					 reservation->members[i].worker)
				->ledger;

		for (uint32_t j = 0; j < ledger->run_count; j++)
			if (ledger->runs[j].entry->reclaiming)
				ledger->skip_until_us = now_us + SKIP_WORKER_US;
	}
}

/*
 * Starts a job if all capacity of its firm reservation is free. Returns whether
 * it did.
 */
static bool start_reserved(struct rj_topology_state *state,
			   struct rj_reservation *reservation, uint64_t now_us,
			   struct rj_decisions *decisions)
{
	if (!is_ready(state, reservation))
		return false;
	memcpy(state->members, reservation->members,
	       sizeof(*state->members) * reservation->member_count);
	start(state, reservation->entry, reservation->member_count,
	      reservation->reason, now_us, decisions);
	return true;
}

/*
 * Starts a job with a firm reservation on other capacity that has come free.
 * Returns whether it did.
 *
 * Guards against a guaranteed job that waits for a worker which releases its
 * capacity late, or never, while its shape is free elsewhere.
 */
static bool start_elsewhere(struct rj_topology_state *state,
			    struct rj_reservation *reservation, uint64_t now_us,
			    struct rj_decisions *decisions)
{
	uint32_t count;

	if (reservation->tried_version == state->version)
		return false;
	reservation->tried_version = state->version;
	count = rj_topology_place(state, reservation->entry, now_us);
	if (!count)
		return false;
	start(state, reservation->entry, count, reservation->reason, now_us,
	      decisions);
	return true;
}

/*
 * Starts jobs whose reservations are ready, or that fit elsewhere meanwhile, and
 * cancels reservations that are overdue.
 */
static void process_reservations(struct rj_topology_state *state,
				 uint64_t now_us,
				 struct rj_decisions *decisions)
{
	for (uint32_t i = 0; i < state->reservations->len;) {
		struct rj_reservation *reservation =
			g_ptr_array_index(state->reservations, i);
		uint64_t due_us = reservation->firm ? reservation->due_us :
						      reservation->refresh_us;

		if (reservation->backoff_until_us <= now_us)
			reservation->backoff_until_us = 0;
		if (reservation->firm && !reservation->backoff_until_us &&
		    (start_reserved(state, reservation, now_us, decisions) ||
		     start_elsewhere(state, reservation, now_us, decisions)))
			continue;
		if (due_us > now_us) {
			i++;
			continue;
		}
		if (reservation->firm)
			skip_unresponsive_workers(state, reservation, now_us);
		rj_topology_cancel_reservation(state, reservation, now_us);
	}
}

/*
 * Tries to start the job at the head of a bucket with the present free
 * capacity.
 */
static bool try_start(struct rj_topology_state *state,
		      struct rj_plan_entry *entry, uint64_t now_us,
		      struct rj_decisions *decisions)
{
	uint32_t count = rj_topology_place(state, entry, now_us);
	enum rj_reason reason = RJ_REASON_BEST_FIT;

	if (!count)
		return false;
	if (rj_topology_is_backfill(entry, state->members, count,
				    &state->capacity))
		reason = RJ_REASON_BACKFILL;
	else if (entry->reservation)
		reason = RJ_REASON_RESERVATION;
	start(state, entry, count, reason, now_us, decisions);
	return true;
}

/*
 * Returns the number of soft reservations.
 */
static uint32_t soft_reservation_count(const struct rj_topology_state *state)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < state->reservations->len; i++) {
		const struct rj_reservation *reservation =
			g_ptr_array_index(state->reservations, i);

		count += !reservation->firm;
	}
	return count;
}

/*
 * Handles a job that does not fit: preempts other jobs for it, or makes a soft
 * reservation. A job with a firm reservation waits outside of its bucket.
 */
static void handle_blocked(struct rj_topology_state *state,
			   struct rj_plan_entry *entry, uint64_t now_us,
			   struct rj_decisions *decisions)
{
	uint64_t delay_us = rj_topology_preemption_delay_us(state, entry);

	entry->bucket->blocked_version = state->version;
	if (rj_topology_reclaim(state, entry, now_us, decisions)) {
		rj_topology_dequeue(state, entry);
		entry->not_before_us = entry->reservation->due_us;
		rj_topology_enqueue(state, entry, now_us);
		return;
	}
	if (delay_us != RJ_NEVER_US &&
	    entry->waiting_since_us + delay_us > now_us)
		state->retry_us = MIN(state->retry_us,
				      entry->waiting_since_us + delay_us);
	if (!entry->reservation &&
	    soft_reservation_count(state) < SOFT_RESERVATIONS_MAX &&
	    rj_topology_job_size(entry) > state->worker_accelerators)
		rj_topology_reserve_earliest(state, entry, now_us);
}

/*
 * Recomputes state derived from the workers.
 */
static void refresh_workers(struct rj_topology_state *state)
{
	state->accelerators = 0;
	state->worker_accelerators = 1;
	for (uint32_t i = 0; i < state->capacity.rack_count; i++) {
		struct rj_worker_set rack = rj_topology_rack_workers(state, i);

		for (uint32_t j = 0; j < rack.count; j++) {
			uint32_t accelerators =
				rack.workers[j]->plan.capacity.accelerators;

			rj_ledger_get(rack.workers[j]);
			if (rack.workers[j]->plan.usable)
				state->accelerators += accelerators;
			state->worker_accelerators =
				MAX(state->worker_accelerators, accelerators);
		}
	}
	if (state->guarantees_changed)
		rj_topology_apply_guarantees(state);
	state->guarantees_changed = false;
	state->workers_changed = false;
	state->version++;
}

/*
 * Makes all decisions that are possible now. Jobs are tried in queue order; a
 * job that does not fit delays others only by a reservation.
 */
void rj_topology_pass(struct rj_topology_state *state, uint64_t now_us,
		      struct rj_decisions *decisions)
{
	struct rj_plan_bucket *bucket;

	if (state->workers_changed)
		refresh_workers(state);
	if (state->retry_us <= now_us)
		state->version++;
	if (state->retry_us <= now_us)
		state->retry_us = RJ_NEVER_US;
	refuse_expired(state, now_us, decisions);
	process_reservations(state, now_us, decisions);
	rj_topology_release_delayed(state, now_us);
	while ((bucket = rj_topology_next_bucket(state, now_us))) {
		struct rj_plan_entry *entry = bucket->queue.head->data;

		if (!try_start(state, entry, now_us, decisions))
			handle_blocked(state, entry, now_us, decisions);
	}
	process_reservations(state, now_us, decisions);
}
