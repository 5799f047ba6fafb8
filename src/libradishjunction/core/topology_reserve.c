#include "private/topology.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* A loose reservation is worked out again this often: estimates change. */
#define REFRESH_US (5 * RJ_US_PER_S)

/* The time at which half of a kind of jobs have ended. */
#define END_PERCENT 50

/*
 * Keep `members` for `entry`. See `struct rj_reservation` for the two ways.
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
	reservation->at_us = at_us;
	for (uint32_t i = 0; i < count; i++)
		rj_ledger_hold(
			rj_capacity_find(&state->capacity, members[i].worker),
			reservation, members[i].tasks);
	g_ptr_array_add(state->reservations, reservation);
	entry->reservation = reservation;
	return reservation;
}

/*
 * Keep nothing for the job any more; others may fit now.
 */
void rj_topology_unreserve(struct rj_topology_state *state,
			   struct rj_reservation *reservation)
{
	for (uint32_t i = 0; i < reservation->member_count; i++) {
		struct rj_capacity_worker *worker = rj_capacity_find(
			&state->capacity, reservation->members[i].worker);

		if (worker)
			rj_ledger_release(worker, reservation);
	}
	reservation->entry->reservation = NULL;
	g_ptr_array_remove(state->reservations, reservation);
	talloc_free(reservation);
	state->version++;
}

/*
 * Whether a reservation keeps part of the worker.
 */
bool rj_topology_keeps(const struct rj_reservation *reservation,
		       uint32_t worker)
{
	for (uint32_t i = 0; i < reservation->member_count; i++)
		if (reservation->members[i].worker == worker)
			return true;
	return false;
}

/*
 * The job's account has room on its guarantee's behalf by it.
 */
void rj_topology_grant(struct rj_plan_entry *entry)
{
	entry->granted = true;
	rj_resources_add(&entry->account->granted, &entry->job.shape.each,
			 entry->job.shape.tasks);
}

/*
 * The job's account no longer has room on its guarantee's behalf by it.
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
 * Keep nothing for the job any more. One that waited outside of its bucket
 * for firmly kept room goes back to it.
 */
void rj_topology_drop(struct rj_topology_state *state,
		      struct rj_reservation *reservation, uint64_t now_us)
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
 * Give up what is firmly kept on the members for anything but a guarantee.
 */
void rj_topology_displace(struct rj_topology_state *state,
			  const struct rj_plan_member *members, uint32_t count,
			  uint64_t now_us)
{
	for (uint32_t i = state->reservations->len; i--;) {
		struct rj_reservation *reservation =
			g_ptr_array_index(state->reservations, i);
		bool in_the_way = false;

		for (uint32_t j = 0; j < count; j++)
			in_the_way |= rj_topology_keeps(reservation,
							members[j].worker);
		if (!in_the_way || !reservation->firm ||
		    reservation->reason == RJ_REASON_GUARANTEE)
			continue;
		/* Or it would stop others again at once, for nothing. */
		reservation->entry->waiting_since_us = now_us;
		rj_topology_drop(state, reservation, now_us);
	}
}

/* A run that is expected to end and free part of a worker. */
struct ending {
	uint64_t at_us;
	uint32_t worker; /* index in the site */
	const struct rj_worker_run *run;
};

/*
 * The soonest first; the place in the site breaks ties.
 */
static int compare_endings(const void *a, const void *b)
{
	const struct ending *one = a;
	const struct ending *two = b;

	if (one->at_us != two->at_us)
		return one->at_us < two->at_us ? -1 : 1;
	if (one->worker != two->worker)
		return one->worker < two->worker ? -1 : 1;
	return one->run < two->run ? -1 : one->run > two->run;
}

/*
 * The most that a job may ever take of the worker: none while it cannot be
 * used or is kept for another, and not what others are guaranteed if the job
 * cannot be stopped.
 */
static struct rj_resources ceiling(const struct rj_capacity_worker *worker,
				   const struct rj_plan_entry *entry,
				   uint64_t now_us)
{
	const struct rj_ledger *ledger = worker->ledger;
	struct rj_resources most = { 0 };

	if (!worker->plan.usable || worker->gone)
		return most;
	most = rj_resources_rest(&worker->plan.capacity, &worker->plan.foreign);
	if (!ledger)
		return most;
	if (ledger->silent_until_us > now_us)
		return (struct rj_resources){ 0 };
	for (uint32_t i = 0; i < ledger->hold_count; i++)
		if (ledger->holds[i].reservation->entry != entry)
			return (struct rj_resources){ 0 };
	for (uint32_t i = 0; !entry->job.stoppable && i < ledger->share_count;
	     i++)
		if (ledger->shares[i].account != entry->account)
			rj_resources_take_or_zero(
				&most, &ledger->shares[i].guaranteed);
	return most;
}

/* The state of the search of one site. */
struct forecast {
	struct rj_site site;
	struct rj_resources *free;
	struct rj_resources *most;
	uint32_t *fits;
	uint32_t total;
	struct ending *endings;
	uint32_t ending_count;
};

/*
 * Count again how many tasks fit the worker at this place of the site.
 */
static void forecast_refit(struct forecast *forecast,
			   const struct rj_plan_entry *entry, uint32_t at)
{
	struct rj_resources room = forecast->free[at];

	rj_resources_limit(&room, &forecast->most[at]);
	forecast->total -= forecast->fits[at];
	forecast->fits[at] = rj_resources_times(&entry->job.shape.each, &room,
						entry->job.shape.tasks);
	forecast->total += forecast->fits[at];
}

/*
 * Begin with what is free on the worker now, and list its runs.
 */
static void forecast_worker(struct forecast *forecast,
			    const struct rj_plan_entry *entry, uint32_t at,
			    uint64_t now_us)
{
	static const struct rj_resources none;
	const struct rj_capacity_worker *worker = forecast->site.workers[at];

	forecast->free[at] = worker->free;
	forecast->most[at] = ceiling(worker, entry, now_us);
	forecast_refit(forecast, entry, at);
	if (!worker->ledger || !rj_resources_exceed(&forecast->most[at], &none))
		return;
	for (uint32_t i = 0; i < worker->ledger->run_count; i++) {
		struct ending *ending =
			&forecast->endings[forecast->ending_count++];

		ending->run = &worker->ledger->runs[i];
		ending->worker = at;
		ending->at_us = rj_topology_ends_us(ending->run->entry,
						    END_PERCENT, now_us);
	}
}

/*
 * Begin with the site as it is now, and list its runs by their expected ends.
 */
static void forecast_init(struct forecast *forecast, struct rj_site site,
			  const struct rj_plan_entry *entry, uint64_t now_us)
{
	uint32_t runs = 0;

	memset(forecast, 0, sizeof(*forecast));
	forecast->site = site;
	for (uint32_t i = 0; i < site.count; i++)
		if (site.workers[i]->ledger)
			runs += site.workers[i]->ledger->run_count;
	forecast->free = g_new0(struct rj_resources, site.count + 1);
	forecast->most = g_new0(struct rj_resources, site.count + 1);
	forecast->fits = g_new0(uint32_t, site.count + 1);
	forecast->endings = g_new(struct ending, runs + 1);
	for (uint32_t i = 0; i < site.count; i++)
		forecast_worker(forecast, entry, i, now_us);
	qsort(forecast->endings, forecast->ending_count, sizeof(struct ending),
	      compare_endings);
}

/*
 * Free what the forecast took.
 */
static void forecast_finish(struct forecast *forecast)
{
	g_free(forecast->free);
	g_free(forecast->most);
	g_free(forecast->fits);
	g_free(forecast->endings);
}

/*
 * Let runs end until the job fits. Returns the time, RJ_NEVER_US if it does
 * not fit though all have ended.
 */
static uint64_t forecast_run(struct forecast *forecast,
			     const struct rj_plan_entry *entry, uint64_t now_us)
{
	uint64_t at_us = now_us;

	for (uint32_t i = 0; i < forecast->ending_count; i++) {
		const struct ending *ending = &forecast->endings[i];

		if (forecast->total >= entry->job.shape.tasks)
			break;
		at_us = ending->at_us;
		rj_resources_add(&forecast->free[ending->worker],
				 &ending->run->entry->job.shape.each,
				 ending->run->tasks);
		forecast_refit(forecast, entry, ending->worker);
	}
	return forecast->total >= entry->job.shape.tasks ? at_us : RJ_NEVER_US;
}

/*
 * Write down the places that the job has at the forecast's time.
 */
static uint32_t forecast_members(const struct forecast *forecast,
				 const struct rj_plan_entry *entry,
				 struct rj_plan_member *members)
{
	uint32_t want = entry->job.shape.tasks;
	uint32_t count = 0;

	for (uint32_t i = 0; want && i < forecast->site.count; i++) {
		uint32_t tasks = MIN(want, forecast->fits[i]);

		if (!tasks)
			continue;
		members[count].worker = forecast->site.workers[i]->plan.id;
		members[count].tasks = tasks;
		count++;
		want -= tasks;
	}
	assert(!want);
	return count;
}

/*
 * When and where the job will fit in the site; the members are in
 * `state->members` if that is before `*best_us`. Returns how many, or 0.
 */
static uint32_t soonest_in(struct rj_topology_state *state, struct rj_site site,
			   const struct rj_plan_entry *entry, uint64_t now_us,
			   uint64_t *best_us)
{
	struct forecast forecast;
	uint32_t count = 0;
	uint64_t at_us;

	forecast_init(&forecast, site, entry, now_us);
	at_us = forecast_run(&forecast, entry, now_us);
	if (at_us < *best_us) {
		*best_us = at_us;
		count = forecast_members(&forecast, entry, state->members);
	}
	forecast_finish(&forecast);
	return count;
}

/*
 * Keep for a blocked job the place that is expected to be free soonest.
 * Nothing is kept for a job that does not fit even when all has ended: it
 * may never run, and what were kept for it would idle for ever.
 */
void rj_topology_reserve_soonest(struct rj_topology_state *state,
				 struct rj_plan_entry *entry, uint64_t now_us)
{
	uint64_t best_us = RJ_NEVER_US;
	uint32_t count = 0;

	if (entry->job.shape.adjacent || entry->job.shape.tasks == 1) {
		for (uint32_t i = 0; i < state->capacity.rack_count; i++) {
			uint32_t found =
				soonest_in(state, rj_topology_rack(state, i),
					   entry, now_us, &best_us);

			count = found ? found : count;
		}
	} else {
		count = soonest_in(state, rj_topology_all(state), entry, now_us,
				   &best_us);
	}
	if (!count)
		return;
	rj_topology_reserve(state, entry, state->members, count, false, best_us)
		->refresh_us = now_us + REFRESH_US;
}
