#include "private/topology.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* Interval at which soft reservations are recomputed, as estimates change. */
#define SOFT_RESERVATION_REFRESH_US (5 * RJ_US_PER_S)

/* A job is expected to end when half of its kind have ended. */
#define END_PERCENTILE 50

/*
 * Reserves `members`, which are copied, for `entry`, which must not have a
 * reservation yet; their workers must be known. See `struct rj_reservation`.
 * Returns the reservation, valid until `rj_topology_unreserve`.
 */
struct rj_reservation *rj_topology_reserve(struct rj_topology_state *state,
					   struct rj_plan_entry *entry,
					   const struct rj_plan_member *members,
					   uint32_t count, bool firm,
					   uint64_t at_us)
{
	struct rj_reservation *reservation =
		talloc_zero(state->mem, struct rj_reservation);

	assert(reservation && !entry->reservation);
	reservation->entry = entry;
	reservation->members =
		talloc_memdup(reservation, members, sizeof(*members) * count);
	assert(reservation->members);
	reservation->member_count = count;
	reservation->firm = firm;
	reservation->due_us = at_us;
	for (uint32_t i = 0; i < count; i++)
		rj_ledger_reserve(
			rj_capacity_find(&state->capacity, members[i].worker),
			reservation, members[i].tasks);
	g_ptr_array_add(state->reservations, reservation);
	entry->reservation = reservation;
	return reservation;
}

/*
 * Removes and frees the reservation and increments the version, so that blocked
 * jobs are tried again.
 */
void rj_topology_unreserve(struct rj_topology_state *state,
			   struct rj_reservation *reservation)
{
	for (uint32_t i = 0; i < reservation->member_count; i++) {
		struct rj_capacity_worker *worker = rj_capacity_find(
			&state->capacity, reservation->members[i].worker);

		if (worker)
			rj_ledger_unreserve(worker, reservation);
	}
	reservation->entry->reservation = NULL;
	g_ptr_array_remove(state->reservations, reservation);
	talloc_free(reservation);
	state->version++;
}

/*
 * Whether the reservation has a member on the worker with this id.
 */
bool rj_reservation_includes(const struct rj_reservation *reservation,
			     uint32_t worker)
{
	for (uint32_t i = 0; i < reservation->member_count; i++)
		if (reservation->members[i].worker == worker)
			return true;
	return false;
}

/*
 * Counts the job towards its account's guarantees, although its workers do not
 * hold them.
 */
void rj_topology_grant(struct rj_plan_entry *entry)
{
	entry->granted = true;
	rj_resources_add(&entry->account->granted, &entry->job.shape.each,
			 entry->job.shape.tasks);
}

/*
 * Reverts `rj_topology_grant`, if the job was granted.
 */
void rj_topology_revoke(struct rj_plan_entry *entry)
{
	if (!entry->granted)
		return;
	entry->granted = false;
	rj_resources_subtract(&entry->account->granted, &entry->job.shape.each,
			      entry->job.shape.tasks);
}

/*
 * Cancels the reservation and reverts a grant of its job. If it was firm, the
 * job is queued again without a back-off.
 */
void rj_topology_cancel_reservation(struct rj_topology_state *state,
				    struct rj_reservation *reservation,
				    uint64_t now_us)
{
	struct rj_plan_entry *entry = reservation->entry;
	bool firm = reservation->firm;

	rj_topology_revoke(entry);
	rj_topology_unreserve(state, reservation);
	if (!firm)
		return;
	rj_topology_dequeue(state, entry);
	entry->not_before_us = now_us;
	rj_topology_enqueue(state, entry, now_us);
}

/*
 * Cancels firm reservations that include the members' workers, except those for
 * guarantees.
 */
void rj_topology_displace_reservations(struct rj_topology_state *state,
				       const struct rj_plan_member *members,
				       uint32_t count, uint64_t now_us)
{
	for (uint32_t i = state->reservations->len; i--;) {
		struct rj_reservation *reservation =
			g_ptr_array_index(state->reservations, i);
		bool overlaps = false;

		for (uint32_t j = 0; j < count; j++)
			overlaps |= rj_reservation_includes(reservation,
							    members[j].worker);
		if (!overlaps || !reservation->firm ||
		    reservation->reason == RJ_REASON_GUARANTEE)
			continue;
		/*
		 * Restart the wait of the displaced job, which would otherwise
		 * be due to preempt others again at once, in vain.
		 */
		reservation->entry->waiting_since_us = now_us;
		rj_topology_cancel_reservation(state, reservation, now_us);
	}
}

/* The expected end of a run, which frees part of a worker. */
struct expected_end {
	uint64_t at_us;
	uint32_t worker; /* index in the set */
	const struct rj_worker_run *run;
};

/*
 * Earliest first; the index in the set, then the order of the worker's runs
 * break ties.
 */
static int compare_expected_ends(const void *a, const void *b)
{
	const struct expected_end *one = a;
	const struct expected_end *two = b;

	if (one->at_us != two->at_us)
		return one->at_us < two->at_us ? -1 : 1;
	if (one->worker != two->worker)
		return one->worker < two->worker ? -1 : 1;
	return one->run < two->run ? -1 : one->run > two->run;
}

/*
 * Returns the upper bound of what the job may use on the worker: nothing while
 * the worker is unusable, is skipped after it did not respond to a reclaim, or
 * has reservations of other jobs; for a non-preemptible job not what others are
 * guaranteed.
 */
static struct rj_resources
max_available(const struct rj_capacity_worker *worker,
	      const struct rj_plan_entry *entry, uint64_t now_us)
{
	const struct rj_ledger *ledger = worker->ledger;
	struct rj_resources limit = { 0 };

	if (!worker->plan.usable || worker->removed)
		return limit;
	limit = rj_resources_remaining(&worker->plan.capacity,
				       &worker->plan.foreign);
	if (!ledger)
		return limit;
	if (ledger->skip_until_us > now_us)
		return (struct rj_resources){ 0 };
	for (uint32_t i = 0; i < ledger->reservation_count; i++)
		if (ledger->reservations[i].reservation->entry != entry)
			return (struct rj_resources){ 0 };
	for (uint32_t i = 0; !entry->job.preemptible && i < ledger->usage_count;
	     i++)
		if (ledger->usages[i].account != entry->account)
			rj_resources_subtract_saturating(
				&limit, &ledger->usages[i].guaranteed);
	return limit;
}

/* Forecast of the free capacity in one set of workers. */
struct forecast {
	struct rj_worker_set set;
	struct rj_resources *free; /* by worker: free at the forecast time */
	struct rj_resources *limit; /* by worker: see max_available() */
	uint32_t *fits; /* by worker: tasks of the job that fit */
	uint32_t total; /* sum of `fits` */
	struct expected_end *expected_ends; /* earliest first */
	uint32_t expected_end_count;
};

/*
 * Recomputes how many tasks fit the worker at index `at` of the set.
 */
static void forecast_refit(struct forecast *forecast,
			   const struct rj_plan_entry *entry, uint32_t at)
{
	struct rj_resources available = forecast->free[at];

	rj_resources_clamp(&available, &forecast->limit[at]);
	forecast->total -= forecast->fits[at];
	forecast->fits[at] = rj_resources_fit_count(
		&entry->job.shape.each, &available, entry->job.shape.tasks);
	forecast->total += forecast->fits[at];
}

/*
 * Initialises a worker with its present free capacity and adds its runs.
 */
static void forecast_worker(struct forecast *forecast,
			    const struct rj_plan_entry *entry, uint32_t at,
			    uint64_t now_us)
{
	static const struct rj_resources none;
	const struct rj_capacity_worker *worker = forecast->set.workers[at];

	forecast->free[at] = worker->free;
	forecast->limit[at] = max_available(worker, entry, now_us);
	forecast_refit(forecast, entry, at);
	if (!worker->ledger ||
	    !rj_resources_exceed(&forecast->limit[at], &none))
		return;
	for (uint32_t i = 0; i < worker->ledger->run_count; i++) {
		struct expected_end *expected_end =
			&forecast->expected_ends
				 [forecast->expected_end_count++];

		expected_end->run = &worker->ledger->runs[i];
		expected_end->worker = at;
		expected_end->at_us = rj_topology_expected_end_us(
			expected_end->run->entry, END_PERCENTILE, now_us);
	}
}

/*
 * Initialises the forecast with the present state, its runs in order of their
 * expected ends.
 */
static void forecast_init(struct forecast *forecast, struct rj_worker_set set,
			  const struct rj_plan_entry *entry, uint64_t now_us)
{
	uint32_t runs = 0;

	memset(forecast, 0, sizeof(*forecast));
	forecast->set = set;
	for (uint32_t i = 0; i < set.count; i++)
		if (set.workers[i]->ledger)
			runs += set.workers[i]->ledger->run_count;
	forecast->free = g_new0(struct rj_resources, set.count + 1);
	forecast->limit = g_new0(struct rj_resources, set.count + 1);
	forecast->fits = g_new0(uint32_t, set.count + 1);
	forecast->expected_ends = g_new(struct expected_end, runs + 1);
	for (uint32_t i = 0; i < set.count; i++)
		forecast_worker(forecast, entry, i, now_us);
	qsort(forecast->expected_ends, forecast->expected_end_count,
	      sizeof(struct expected_end), compare_expected_ends);
}

static void forecast_finish(struct forecast *forecast)
{
	g_free(forecast->free);
	g_free(forecast->limit);
	g_free(forecast->fits);
	g_free(forecast->expected_ends);
}

/*
 * Lets runs end until the job fits. Returns that time, or RJ_NEVER_US if it
 * does not fit after all have ended.
 */
static uint64_t forecast_run(struct forecast *forecast,
			     const struct rj_plan_entry *entry, uint64_t now_us)
{
	uint64_t at_us = now_us;

	for (uint32_t i = 0; i < forecast->expected_end_count; i++) {
		const struct expected_end *expected_end =
			&forecast->expected_ends[i];

		if (forecast->total >= entry->job.shape.tasks)
			break;
		at_us = expected_end->at_us;
		rj_resources_add(&forecast->free[expected_end->worker],
				 &expected_end->run->entry->job.shape.each,
				 expected_end->run->tasks);
		forecast_refit(forecast, entry, expected_end->worker);
	}
	return forecast->total >= entry->job.shape.tasks ? at_us : RJ_NEVER_US;
}

/*
 * Fills in the members of the job at the forecast time. Returns their number.
 */
static uint32_t forecast_members(const struct forecast *forecast,
				 const struct rj_plan_entry *entry,
				 struct rj_plan_member *members)
{
	uint32_t remaining = entry->job.shape.tasks;
	uint32_t count = 0;

	for (uint32_t i = 0; remaining && i < forecast->set.count; i++) {
		uint32_t tasks = MIN(remaining, forecast->fits[i]);

		if (!tasks)
			continue;
		members[count].worker = forecast->set.workers[i]->plan.id;
		members[count].tasks = tasks;
		count++;
		remaining -= tasks;
	}
	assert(!remaining);
	return count;
}

/*
 * Finds the earliest time at which the job fits the set. If it is before
 * `*best_us`, updates it, fills in `state->members` and returns their number;
 * otherwise returns 0.
 */
static uint32_t earliest_in(struct rj_topology_state *state,
			    struct rj_worker_set set,
			    const struct rj_plan_entry *entry, uint64_t now_us,
			    uint64_t *best_us)
{
	struct forecast forecast;
	uint32_t count = 0;
	uint64_t at_us;

	forecast_init(&forecast, set, entry, now_us);
	at_us = forecast_run(&forecast, entry, now_us);
	if (at_us < *best_us) {
		*best_us = at_us;
		count = forecast_members(&forecast, entry, state->members);
	}
	forecast_finish(&forecast);
	return count;
}

/*
 * Makes a soft reservation for a blocked job where it is expected to fit first.
 * A job that would not fit after all runs have ended gets none: it may never
 * run, and the reserved capacity would stay idle.
 */
void rj_topology_reserve_earliest(struct rj_topology_state *state,
				  struct rj_plan_entry *entry, uint64_t now_us)
{
	uint64_t best_us = RJ_NEVER_US;
	uint32_t count = 0;

	if (entry->job.shape.adjacent || entry->job.shape.tasks == 1) {
		for (uint32_t i = 0; i < state->capacity.rack_count; i++) {
			uint32_t found = earliest_in(
				state, rj_topology_rack_workers(state, i),
				entry, now_us, &best_us);

			count = found ? found : count;
		}
	} else {
		count = earliest_in(state, rj_topology_all_workers(state),
				    entry, now_us, &best_us);
	}
	if (!count)
		return;
	rj_topology_reserve(state, entry, state->members, count, false, best_us)
		->refresh_us = now_us + SOFT_RESERVATION_REFRESH_US;
}
