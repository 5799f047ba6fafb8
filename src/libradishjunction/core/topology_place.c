#include "private/topology.h"

#include <assert.h>
#include <stdlib.h>

/*
 * A job may be backfilled if nine in ten jobs of its kind end in time.
 */
#define BACKFILL_PERCENTILE 90

/*
 * Maximum accelerator time, in accelerator microseconds, that a backfilled job
 * without checkpoints may lose when it is stopped. It admits a task of ten
 * seconds on one accelerator, and equals what a gang of a worker and a half
 * loses if it is stopped with a checkpoint.
 */
#define BACKFILL_LOSS_MAX_US (12 * RJ_US_PER_S)

/* Components of a score in descending order of weight; lower is better. */
#define SCORE_NOT_OWNED (1ULL << 50)
#define SCORE_OTHERS_GUARANTEE (1ULL << 49)
#define SCORE_RESERVED (1ULL << 48)
#define SCORE_EMPTY_RACK (1ULL << 47)
#define SCORE_EMPTY_WORKER (1ULL << 46)
#define SCORE_GANG_BLOCKING_UNIT (1ULL << 33)
#define SCORE_LEFTOVER_UNIT (1ULL << 24)
#define SCORE_WORST UINT64_MAX

/*
 * Maximum of the accelerators counted per rack, so that this component stays
 * below SCORE_EMPTY_WORKER.
 */
#define GANG_BLOCKING_MAX 4095

/*
 * Whether stopping the job would lose so little that it may start on capacity
 * from which it is likely to be preempted: it has checkpoints, or is small and
 * short according to recorded run times. Urgent jobs without checkpoints do not
 * qualify.
 */
static bool is_cheap_to_stop(const struct rj_plan_entry *entry, uint64_t run_us)
{
	if (!entry->job.preemptible)
		return false;
	if (entry->job.checkpoint)
		return true;
	return entry->job.priority != RJ_PRIORITY_URGENT &&
	       run_us * rj_topology_job_size(entry) <= BACKFILL_LOSS_MAX_US;
}

/*
 * Whether the job may run on capacity reserved for another: only if the
 * reservation is soft, and the job is expected to end in time or is cheap to
 * stop when the reservation's job starts.
 */
static bool may_backfill(const struct rj_plan_entry *entry,
			 const struct rj_reservation *reservation,
			 uint64_t now_us)
{
	uint64_t run_us;

	if (reservation->firm)
		return false;
	run_us = rj_runtime_quantile_us(entry->runtime, BACKFILL_PERCENTILE, 0);
	return is_cheap_to_stop(entry, run_us) ||
	       now_us + run_us <= reservation->due_us;
}

/*
 * Returns the capacity of `worker` that `entry` may allocate now: its free
 * capacity less the reservations of other jobs (soft ones only if the job may
 * not be backfilled, none of them with `firm_only`) and, for a non-preemptible
 * job, less what must stay reclaimable.
 *
 * On a worker in a peer's rack every job is treated as non-preemptible: the
 * peer cannot preempt jobs that it does not plan, so a guaranteed shape that it
 * has to reclaim would be delayed.
 */
struct rj_resources
rj_topology_available(const struct rj_capacity_worker *worker,
		      const struct rj_plan_entry *entry, uint64_t now_us,
		      bool firm_only)
{
	const struct rj_ledger *ledger = worker->ledger;
	struct rj_resources available = worker->free;
	struct rj_resources limit;

	for (uint32_t i = 0; ledger && i < ledger->reservation_count; i++) {
		const struct rj_reservation *reservation =
			ledger->reservations[i].reservation;

		if (reservation->entry == entry ||
		    (firm_only && !reservation->firm) ||
		    may_backfill(entry, reservation, now_us))
			continue;
		rj_resources_subtract_saturating(
			&available, &ledger->reservations[i].amount);
	}
	if (entry->job.preemptible && worker->plan.owned)
		return available;
	limit = rj_ledger_non_preemptible_limit(worker, entry->account);
	rj_resources_clamp(&available, &limit);
	return available;
}

/*
 * Returns the idle accelerators that are guaranteed to other accounts.
 */
static uint32_t
idle_guaranteed_to_others(const struct rj_capacity_worker *worker,
			  const struct rj_plan_entry *entry)
{
	const struct rj_ledger *ledger = worker->ledger;
	uint32_t idle = 0;

	for (uint32_t i = 0; ledger && i < ledger->usage_count; i++) {
		const struct rj_worker_usage *usage = &ledger->usages[i];
		uint32_t guaranteed = usage->guaranteed.accelerators;

		if (usage->account != entry->account)
			idle += guaranteed -
				MIN(guaranteed, usage->used.accelerators);
	}
	return idle;
}

/*
 * Whether no task of this planner runs in the rack.
 */
static bool rack_is_empty(struct rj_worker_set rack)
{
	for (uint32_t i = 0; i < rack.count; i++)
		if (rack.workers[i]->tasks)
			return false;
	return true;
}

/*
 * Scores one task on a worker, apart from its rack. Prefers workers in owned
 * racks, then without guarantees or reservations of others, then those already
 * in use, then the tightest fit.
 */
static uint64_t score_worker(const struct rj_capacity_worker *worker,
			     const struct rj_plan_entry *entry,
			     const struct rj_resources *available)
{
	uint32_t needed = entry->job.shape.each.accelerators;
	uint32_t left = worker->free.accelerators - needed;
	uint64_t score = left * SCORE_LEFTOVER_UNIT;

	(void)available;
	if (!worker->plan.owned)
		score += SCORE_NOT_OWNED;
	if (idle_guaranteed_to_others(worker, entry) > left)
		score += SCORE_OTHERS_GUARANTEE;
	if (worker->ledger && worker->ledger->reservation_count)
		score += SCORE_RESERVED;
	if (!worker->tasks)
		score += SCORE_EMPTY_WORKER;
	return score;
}

static uint32_t rack_free(struct rj_worker_set rack)
{
	uint32_t free = 0;

	for (uint32_t i = 0; i < rack.count; i++)
		free += rack.workers[i]->free.accelerators;
	return free;
}

/*
 * Scores a rack for work that no gang may preempt. Such work is packed together
 * to fragment few racks: the rack with the most of it is best.
 */
static uint64_t score_gang_blocking(struct rj_worker_set rack,
				    const struct rj_plan_entry *entry)
{
	uint64_t blocking = 0;

	if (!rj_ledger_blocks_gangs(&entry->job))
		return 0;
	for (uint32_t i = 0; i < rack.count; i++)
		blocking += rack.workers[i]->ledger->gang_blocking;
	return (GANG_BLOCKING_MAX - MIN(blocking, GANG_BLOCKING_MAX)) *
	       SCORE_GANG_BLOCKING_UNIT;
}

/*
 * Places a single task on the best worker. Returns 1, or 0 if it fits none.
 */
static uint32_t place_task(struct rj_topology_state *state,
			   struct rj_plan_entry *entry, uint64_t now_us)
{
	const struct rj_resources *each = &entry->job.shape.each;
	uint64_t best = SCORE_WORST;

	for (uint32_t i = 0; i < state->capacity.rack_count; i++) {
		struct rj_worker_set rack = rj_topology_rack_workers(state, i);
		uint64_t rack_score =
			rack_free(rack) + score_gang_blocking(rack, entry);

		if (rack_is_empty(rack))
			rack_score += SCORE_EMPTY_RACK;
		state->considered += rack.count;
		for (uint32_t j = 0; j < rack.count; j++) {
			const struct rj_capacity_worker *worker =
				rack.workers[j];
			struct rj_resources available;
			uint64_t score;

			if (!rj_resources_fit(each, &worker->free))
				continue;
			available = rj_topology_available(worker, entry, now_us,
							  false);
			if (!rj_resources_fit(each, &available))
				continue;
			score = rack_score +
				score_worker(worker, entry, &available);
			if (score >= best)
				continue;
			best = score;
			state->members[0].worker = worker->plan.id;
			state->members[0].tasks = 1;
		}
	}
	return best != SCORE_WORST;
}

/*
 * Returns how many tasks of a gang fit the set, at most all of them.
 */
static uint32_t set_fit_count(struct rj_topology_state *state,
			      struct rj_worker_set set,
			      const struct rj_plan_entry *entry,
			      uint64_t now_us)
{
	const struct rj_shape *shape = &entry->job.shape;
	uint32_t fits = 0;

	state->considered += set.count;
	for (uint32_t i = 0; i < set.count && fits < shape->tasks; i++) {
		struct rj_resources available;

		if (!rj_resources_fit(&shape->each, &set.workers[i]->free))
			continue;
		available = rj_topology_available(set.workers[i], entry, now_us,
						  false);
		fits += rj_resources_fit_count(&shape->each, &available,
					       shape->tasks - fits);
	}
	return fits;
}

/*
 * Scores a rack that fits the whole gang.
 */
static uint64_t score_rack(struct rj_worker_set rack,
			   const struct rj_plan_entry *entry)
{
	uint64_t free = rack_free(rack);
	uint64_t left = free - MIN(free, rj_topology_job_size(entry));
	uint64_t score = left * SCORE_LEFTOVER_UNIT;
	uint64_t idle = 0;

	for (uint32_t i = 0; i < rack.count; i++) {
		const struct rj_capacity_worker *worker = rack.workers[i];

		idle += idle_guaranteed_to_others(worker, entry);
		if (worker->ledger && worker->ledger->reservation_count)
			score |= SCORE_RESERVED;
	}
	if (idle > left)
		score += SCORE_OTHERS_GUARANTEE;
	if (!rack.workers[0]->plan.owned)
		score += SCORE_NOT_OWNED;
	return score;
}

struct candidate {
	struct rj_capacity_worker *worker;
	uint32_t tasks;
};

/*
 * Workers with the least free capacity first.
 */
static int compare_candidates(const void *a, const void *b)
{
	const struct candidate *one = a;
	const struct candidate *two = b;
	uint32_t one_free = one->worker->free.accelerators;
	uint32_t two_free = two->worker->free.accelerators;

	if (one_free != two_free)
		return one_free < two_free ? -1 : 1;
	return one->worker->plan.id < two->worker->plan.id ? -1 : 1;
}

/*
 * Places up to `*needed` tasks on the workers of a rack, those with the least
 * free capacity first, after the `count` members so far. Returns the new number
 * of members.
 */
static uint32_t fill_rack(struct rj_topology_state *state,
			  struct rj_worker_set rack,
			  const struct rj_plan_entry *entry, uint64_t now_us,
			  uint32_t count, uint32_t *needed)
{
	struct candidate *candidates = g_new(struct candidate, rack.count);
	uint32_t found = 0;

	for (uint32_t i = 0; i < rack.count; i++) {
		struct rj_resources available = rj_topology_available(
			rack.workers[i], entry, now_us, false);
		uint32_t tasks = rj_resources_fit_count(
			&entry->job.shape.each, &available, RJ_GANG_MAX);

		if (!tasks)
			continue;
		candidates[found].worker = rack.workers[i];
		candidates[found].tasks = tasks;
		found++;
	}
	qsort(candidates, found, sizeof(*candidates), compare_candidates);
	for (uint32_t i = 0; i < found && *needed; i++) {
		uint32_t tasks = MIN(candidates[i].tasks, *needed);

		state->members[count].worker = candidates[i].worker->plan.id;
		state->members[count].tasks = tasks;
		count++;
		*needed -= tasks;
	}
	g_free(candidates);
	return count;
}

/*
 * Returns the rack with the best score that fits the whole gang, or the number
 * of racks if none does. Fills in `fits` for every rack.
 */
static uint32_t best_rack(struct rj_topology_state *state,
			  const struct rj_plan_entry *entry, uint64_t now_us,
			  uint32_t *fits)
{
	uint32_t best = state->capacity.rack_count;
	uint64_t best_score = SCORE_WORST;

	for (uint32_t i = 0; i < state->capacity.rack_count; i++) {
		struct rj_worker_set rack = rj_topology_rack_workers(state, i);
		uint64_t score;

		fits[i] = set_fit_count(state, rack, entry, now_us);
		if (fits[i] < entry->job.shape.tasks)
			continue;
		score = score_rack(rack, entry);
		if (score >= best_score)
			continue;
		best_score = score;
		best = i;
	}
	return best;
}

/*
 * Returns the next rack for a gang that spans racks: the tightest that fits all
 * remaining tasks, else the one that fits most.
 */
static uint32_t next_rack(const struct rj_topology_state *state,
			  const uint32_t *fits, uint32_t needed)
{
	uint32_t best = 0;

	for (uint32_t i = 1; i < state->capacity.rack_count; i++) {
		bool takes_all = fits[i] >= needed;

		if (takes_all && (fits[best] < needed || fits[i] < fits[best]))
			best = i;
		else if (!takes_all && fits[best] < needed &&
			 fits[i] > fits[best])
			best = i;
	}
	return best;
}

/*
 * Places a gang in one rack or, unless its tasks must be adjacent, in few
 * racks. Returns the number of members, 0 if it does not fit.
 */
static uint32_t place_gang(struct rj_topology_state *state,
			   struct rj_plan_entry *entry, uint64_t now_us)
{
	uint32_t racks = state->capacity.rack_count;
	uint32_t *fits = g_new0(uint32_t, racks + 1);
	uint32_t best = best_rack(state, entry, now_us, fits);
	uint32_t needed = entry->job.shape.tasks;
	uint64_t total = 0;
	uint32_t count = 0;

	for (uint32_t i = 0; i < racks; i++)
		total += fits[i];
	if (best < racks)
		count = fill_rack(state, rj_topology_rack_workers(state, best),
				  entry, now_us, 0, &needed);
	else if (!entry->job.shape.adjacent && total >= needed)
		while (needed) {
			best = next_rack(state, fits, needed);
			assert(fits[best]);
			count = fill_rack(state,
					  rj_topology_rack_workers(state, best),
					  entry, now_us, count, &needed);
			fits[best] = 0;
		}
	g_free(fits);
	return count;
}

/*
 * Finds a placement for a waiting job; the members are in `state->members`.
 * Returns their number, 0 if the job does not fit.
 */
uint32_t rj_topology_place(struct rj_topology_state *state,
			   struct rj_plan_entry *entry, uint64_t now_us)
{
	state->considered = 0;
	if (entry->job.shape.tasks == 1)
		return place_task(state, entry, now_us);
	return place_gang(state, entry, now_us);
}

/*
 * Whether any of the members is on capacity reserved for another job.
 */
bool rj_topology_is_backfill(const struct rj_plan_entry *entry,
			     const struct rj_plan_member *members,
			     uint32_t count, const struct rj_capacity *capacity)
{
	for (uint32_t i = 0; i < count; i++) {
		const struct rj_capacity_worker *worker =
			rj_capacity_find(capacity, members[i].worker);

		for (uint32_t j = 0;
		     worker->ledger && j < worker->ledger->reservation_count;
		     j++)
			if (worker->ledger->reservations[j]
				    .reservation->entry != entry)
				return true;
	}
	return false;
}
