#include "private/ledger.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/*
 * Returns the maximum in each dimension.
 */
static struct rj_resources resources_max(const struct rj_resources *one,
					 const struct rj_resources *two)
{
	return (struct rj_resources){
		MAX(one->slots, two->slots),
		MAX(one->accelerators, two->accelerators),
		MAX(one->cores, two->cores),
		MAX(one->memory_mb, two->memory_mb),
	};
}

/*
 * Whether `one` is larger than `two` in any dimension.
 */
bool rj_resources_exceed(const struct rj_resources *one,
			 const struct rj_resources *two)
{
	return !rj_resources_fit(one, two);
}

/*
 * Returns `have` minus `part`, saturating at 0 in each dimension.
 */
struct rj_resources rj_resources_remaining(const struct rj_resources *have,
					   const struct rj_resources *part)
{
	struct rj_resources rest = *have;

	rj_resources_subtract_saturating(&rest, part);
	return rest;
}

/*
 * Returns the ledger of `worker`, creating it at the first call.
 */
struct rj_ledger *rj_ledger_get(struct rj_capacity_worker *worker)
{
	if (!worker->ledger) {
		worker->ledger = talloc_zero(worker, struct rj_ledger);
		assert(worker->ledger);
	}
	return worker->ledger;
}

/*
 * Returns the usage of `account`, or NULL if it has none on this worker.
 */
struct rj_worker_usage *rj_ledger_usage(const struct rj_ledger *ledger,
					const struct rj_plan_account *account)
{
	for (uint32_t i = 0; i < ledger->usage_count; i++)
		if (ledger->usages[i].account == account)
			return &ledger->usages[i];
	return NULL;
}

/*
 * Returns the usage of `account`, creating it if necessary.
 */
static struct rj_worker_usage *usage_add(struct rj_ledger *ledger,
					 struct rj_plan_account *account)
{
	struct rj_worker_usage *usage = rj_ledger_usage(ledger, account);

	if (usage)
		return usage;
	ledger->usages =
		talloc_realloc(ledger, ledger->usages, struct rj_worker_usage,
			       ledger->usage_count + 1);
	assert(ledger->usages);
	usage = &ledger->usages[ledger->usage_count++];
	memset(usage, 0, sizeof(*usage));
	usage->account = account;
	return usage;
}

/*
 * Recomputes `committed`, the sum in the invariant in ledger.h, and removes
 * empty usages.
 */
static void update_committed(struct rj_ledger *ledger)
{
	static const struct rj_resources none;
	uint32_t remaining = 0;

	memset(&ledger->committed, 0, sizeof(ledger->committed));
	for (uint32_t i = 0; i < ledger->usage_count; i++) {
		const struct rj_worker_usage *usage = &ledger->usages[i];
		struct rj_resources committed = resources_max(
			&usage->guaranteed, &usage->non_preemptible);

		if (!rj_resources_exceed(&committed, &none) &&
		    !rj_resources_exceed(&usage->used, &none))
			continue;
		rj_resources_add(&ledger->committed, &committed, 1);
		ledger->usages[remaining++] = *usage;
	}
	ledger->usage_count = remaining;
}

/*
 * Adds `tasks` times `each` to what `account` is guaranteed on the worker.
 */
void rj_ledger_guarantee(struct rj_capacity_worker *worker,
			 struct rj_plan_account *account,
			 const struct rj_resources *each, uint32_t tasks)
{
	struct rj_ledger *ledger = rj_ledger_get(worker);

	rj_resources_add(&usage_add(ledger, account)->guaranteed, each, tasks);
	update_committed(ledger);
}

/*
 * Clears all guarantees, before those of a new configuration are applied.
 */
void rj_ledger_clear_guarantees(struct rj_capacity_worker *worker)
{
	struct rj_ledger *ledger = rj_ledger_get(worker);

	for (uint32_t i = 0; i < ledger->usage_count; i++)
		memset(&ledger->usages[i].guaranteed, 0,
		       sizeof(struct rj_resources));
	update_committed(ledger);
}

/*
 * Whether the job is never preempted for a waiting gang.
 */
bool rj_ledger_blocks_gangs(const struct rj_plan_job *job)
{
	return !job->preemptible || job->priority == RJ_PRIORITY_URGENT;
}

/*
 * Adds the tasks of a job that were placed on the worker as one run. A job must
 * have at most one run on a worker.
 */
void rj_ledger_add_run(struct rj_capacity_worker *worker,
		       struct rj_plan_entry *entry, uint32_t tasks)
{
	struct rj_ledger *ledger = rj_ledger_get(worker);
	struct rj_worker_usage *usage = usage_add(ledger, entry->account);
	const struct rj_resources *each = &entry->job.shape.each;

	rj_resources_add(&usage->used, each, tasks);
	if (!entry->job.preemptible)
		rj_resources_add(&usage->non_preemptible, each, tasks);
	ledger->runs =
		talloc_realloc(ledger, ledger->runs, struct rj_worker_run,
			       ledger->run_count + 1);
	assert(ledger->runs);
	ledger->runs[ledger->run_count].entry = entry;
	ledger->runs[ledger->run_count].tasks = tasks;
	ledger->run_count++;
	update_committed(ledger);
}

/*
 * Removes the run of a job from the worker. `tasks` must be the number that was
 * added.
 */
void rj_ledger_remove_run(struct rj_capacity_worker *worker,
			  struct rj_plan_entry *entry, uint32_t tasks)
{
	struct rj_ledger *ledger = rj_ledger_get(worker);
	struct rj_worker_usage *usage = rj_ledger_usage(ledger, entry->account);
	const struct rj_resources *each = &entry->job.shape.each;
	uint32_t at = 0;

	assert(usage);
	rj_resources_subtract(&usage->used, each, tasks);
	if (!entry->job.preemptible)
		rj_resources_subtract(&usage->non_preemptible, each, tasks);
	if (rj_ledger_blocks_gangs(&entry->job))
		ledger->gang_blocking -= each->accelerators * tasks;
	while (ledger->runs[at].entry != entry)
		at++;
	ledger->run_count--;
	memmove(&ledger->runs[at], &ledger->runs[at + 1],
		(ledger->run_count - at) * sizeof(*ledger->runs));
	update_committed(ledger);
}

/*
 * Reserves capacity on this worker for `tasks` tasks of the reservation's job.
 */
void rj_ledger_reserve(struct rj_capacity_worker *worker,
		       struct rj_reservation *reservation, uint32_t tasks)
{
	struct rj_ledger *ledger = rj_ledger_get(worker);
	struct rj_worker_reservation *reserved;

	ledger->reservations = talloc_realloc(ledger, ledger->reservations,
					      struct rj_worker_reservation,
					      ledger->reservation_count + 1);
	assert(ledger->reservations);
	reserved = &ledger->reservations[ledger->reservation_count++];
	memset(reserved, 0, sizeof(*reserved));
	reserved->reservation = reservation;
	rj_resources_add(&reserved->amount, &reservation->entry->job.shape.each,
			 tasks);
}

/*
 * Removes the reservation from this worker.
 */
void rj_ledger_unreserve(struct rj_capacity_worker *worker,
			 struct rj_reservation *reservation)
{
	struct rj_ledger *ledger = rj_ledger_get(worker);
	uint32_t remaining = 0;

	for (uint32_t i = 0; i < ledger->reservation_count; i++)
		if (ledger->reservations[i].reservation != reservation)
			ledger->reservations[remaining++] =
				ledger->reservations[i];
	ledger->reservation_count = remaining;
}

/*
 * Returns how much non-preemptible tasks of `account` may still allocate on
 * this worker without violating the invariant in ledger.h, where foreign use
 * reduces the capacity.
 */
struct rj_resources
rj_ledger_non_preemptible_limit(const struct rj_capacity_worker *worker,
				const struct rj_plan_account *account)
{
	const struct rj_ledger *ledger = worker->ledger;
	const struct rj_worker_usage *usage;
	struct rj_resources others;
	struct rj_resources own;
	struct rj_resources limit = rj_resources_remaining(
		&worker->plan.capacity, &worker->plan.foreign);

	if (!ledger)
		return limit;
	usage = rj_ledger_usage(ledger, account);
	others = ledger->committed;
	if (usage) {
		own = resources_max(&usage->guaranteed,
				    &usage->non_preemptible);
		rj_resources_subtract(&others, &own, 1);
		rj_resources_subtract_saturating(&limit,
						 &usage->non_preemptible);
	}
	rj_resources_subtract_saturating(&limit, &others);
	return limit;
}
