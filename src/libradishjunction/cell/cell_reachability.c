#include "private/cell_reachability.h"

#include <talloc.h>

#include "private/cell_incarnation.h"

/*
 * How long an answer confirms the path to its worker. While the log is slow
 * this is as long as two appends take, since plans are made between appends.
 */
#define CONFIRMATION_US (100 * RJ_US_PER_MS)
#define CONFIRMATION_APPENDS 2
#define CONFIRMATION_MAX_US (1000 * RJ_US_PER_MS)
/*
 * A worker that has answered its last poll is as reachable as its failure
 * domain. Polls are answered within about two seconds.
 */
#define POLL_CONFIRMATION_US (2500 * RJ_US_PER_MS)
/* Several times the round trip between failure domains. */
#define PROBE_TIMEOUT_MS 150

/* Heartbeats in the time in which an entry of the log expires, and how many of
 * their intervals an entry shows that its worker is reachable. */
#define EXPIRY_HEARTBEATS 3
#define HEARTBEAT_CONFIRMATIONS 2

/* Whether the worker, by itself, is as reachable as its failure domain. */
static bool is_as_reachable_as_domain(const struct rj_cell_owner *owner,
				      const struct rj_cell_worker *worker)
{
	uint64_t heartbeat_us = owner->limits.entry_expiry_ms * RJ_US_PER_MS /
				EXPIRY_HEARTBEATS;

	if (owner->now_us <= worker->answered_us + POLL_CONFIRMATION_US)
		return true;
	return rj_cell_fleet_is_large(&owner->fleet) &&
	       owner->now_us <= worker->written_us +
					heartbeat_us * HEARTBEAT_CONFIRMATIONS;
}

/*
 * Whether a start may be sent to the worker: it has answered recently, or its
 * failure domain has, and a recent poll or, in a large fleet, its entry in the
 * log shows that it is not alone unreachable there.
 *
 * In a large domain hundreds of starts a second would otherwise each wait for a
 * probe. Domains are cut off as a whole, so a recent answer of any worker shows
 * that the domain is not.
 */
bool rj_cell_reachability_confirmed(const struct rj_cell_owner *owner,
				    const struct rj_cell_worker *worker)
{
	uint64_t append_us =
		MAX(owner->writer.took_us, owner->progress_writer.took_us);
	uint64_t confirmation_us = CLAMP(append_us * CONFIRMATION_APPENDS,
					 CONFIRMATION_US, CONFIRMATION_MAX_US);

	if (owner->now_us <= worker->answered_us + confirmation_us)
		return true;
	return worker->answers && worker->domain &&
	       is_as_reachable_as_domain(owner, worker) &&
	       owner->now_us <= worker->domain->answered_us + confirmation_us;
}

/* Handles the answer to a probe. The runs and completions that it lists are
 * left to the polls, whose answers are in order. */
static void probe_done(void *private_data,
		       const struct rj_cell_order_reply *reply)
{
	struct rj_cell_call_context *call = private_data;
	struct rj_cell_owner *owner = call->owner;
	struct rj_cell_worker *worker = rj_cell_call_find_worker(call, reply);

	if (!worker)
		goto free_call;
	worker->probe_in_flight = false;
	owner->plan_wanted = true;
	if (reply->status == RJ_CELL_ORDER_FENCED) {
		owner->fenced = true;
		goto free_call;
	}
	if (reply->status != RJ_CELL_ORDER_OK) {
		rj_cell_call_set_answering(owner, worker, false, reply->status);
		goto free_call;
	}
	if (reply->incarnation != worker->incarnation &&
	    !rj_cell_incarnation_is_former(worker, call, reply))
		rj_cell_incarnation_changed(owner, worker);
free_call:
	talloc_free(call);
}

/*
 * Sends a probe to a worker, unless one is pending or the order window is full. A
 * plan is requested once it is answered or has timed out.
 */
void rj_cell_reachability_probe(struct rj_cell_owner *owner,
				struct rj_cell_worker *worker)
{
	struct rj_cell_poll poll = { .token = owner->token,
				     .timeout_ms = PROBE_TIMEOUT_MS };
	struct rj_cell_order_done done = { probe_done, NULL };
	struct rj_cell_call_context *call;

	if (worker->probe_in_flight ||
	    !rj_cell_call_window_has_room(&owner->order_window, owner->now_us))
		return;
	worker->probe_in_flight = true;
	call = rj_cell_call_new(owner, worker, NULL);
	rj_cell_call_enter_window(call, &owner->order_window);
	owner->counters.probes++;
	done.private_data = call;
	owner->workers->ops->poll(owner->workers, worker, &poll, done);
}
