#include "private/ledger.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/*
 * The larger of each dimension.
 */
static struct rj_resources larger(const struct rj_resources *one,
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
 * Whether `one` is more than `two` in any dimension.
 */
bool rj_resources_exceed(const struct rj_resources *one,
			 const struct rj_resources *two)
{
	return !rj_resources_fit(one, two);
}

/*
 * What is left of `have` without `part`, never less than nothing.
 */
struct rj_resources rj_resources_rest(const struct rj_resources *have,
				      const struct rj_resources *part)
{
	struct rj_resources rest = *have;

	rj_resources_take_or_zero(&rest, part);
	return rest;
}

/*
 * The ledger of `worker`, made at the first call.
 */
struct rj_ledger *rj_ledger_of(struct rj_capacity_worker *worker)
{
	if (!worker->ledger) {
		worker->ledger = talloc_zero(worker, struct rj_ledger);
		assert(worker->ledger);
	}
	return worker->ledger;
}

/*
 * The share of `account`, or NULL if it has none here.
 */
struct rj_worker_share *rj_ledger_share(const struct rj_ledger *ledger,
					const struct rj_plan_account *account)
{
	for (uint32_t i = 0; i < ledger->share_count; i++)
		if (ledger->shares[i].account == account)
			return &ledger->shares[i];
	return NULL;
}

/*
 * The share of `account`, made if it has none here yet.
 */
static struct rj_worker_share *share_add(struct rj_ledger *ledger,
					 struct rj_plan_account *account)
{
	struct rj_worker_share *share = rj_ledger_share(ledger, account);

	if (share)
		return share;
	ledger->shares =
		talloc_realloc(ledger, ledger->shares, struct rj_worker_share,
			       ledger->share_count + 1);
	assert(ledger->shares);
	share = &ledger->shares[ledger->share_count++];
	memset(share, 0, sizeof(*share));
	share->account = account;
	return share;
}

/*
 * Work out the bound again, and drop shares that say nothing.
 */
static void settle(struct rj_ledger *ledger)
{
	static const struct rj_resources none;
	uint32_t kept = 0;

	memset(&ledger->bound, 0, sizeof(ledger->bound));
	for (uint32_t i = 0; i < ledger->share_count; i++) {
		const struct rj_worker_share *share = &ledger->shares[i];
		struct rj_resources most =
			larger(&share->guaranteed, &share->pinned);

		if (!rj_resources_exceed(&most, &none) &&
		    !rj_resources_exceed(&share->used, &none))
			continue;
		rj_resources_add(&ledger->bound, &most, 1);
		ledger->shares[kept++] = *share;
	}
	ledger->share_count = kept;
}

/*
 * Guarantee `tasks` times `each` of the worker to `account`.
 */
void rj_ledger_guarantee(struct rj_capacity_worker *worker,
			 struct rj_plan_account *account,
			 const struct rj_resources *each, uint32_t tasks)
{
	struct rj_ledger *ledger = rj_ledger_of(worker);

	rj_resources_add(&share_add(ledger, account)->guaranteed, each, tasks);
	settle(ledger);
}

/*
 * Take back all guarantees, before a new configuration gives its own.
 */
void rj_ledger_clear_guarantees(struct rj_capacity_worker *worker)
{
	struct rj_ledger *ledger = rj_ledger_of(worker);

	for (uint32_t i = 0; i < ledger->share_count; i++)
		memset(&ledger->shares[i].guaranteed, 0,
		       sizeof(struct rj_resources));
	settle(ledger);
}

/*
 * Whether the job's tasks are never stopped for a gang that has waited.
 */
bool rj_ledger_stays(const struct rj_plan_job *job)
{
	return !job->stoppable || job->priority == RJ_PRIORITY_URGENT;
}

/*
 * Tasks of a job have been placed on the worker.
 */
void rj_ledger_add_run(struct rj_capacity_worker *worker,
		       struct rj_plan_entry *entry, uint32_t tasks)
{
	struct rj_ledger *ledger = rj_ledger_of(worker);
	struct rj_worker_share *share = share_add(ledger, entry->account);
	const struct rj_resources *each = &entry->job.shape.each;

	rj_resources_add(&share->used, each, tasks);
	if (!entry->job.stoppable)
		rj_resources_add(&share->pinned, each, tasks);
	ledger->runs =
		talloc_realloc(ledger, ledger->runs, struct rj_worker_run,
			       ledger->run_count + 1);
	assert(ledger->runs);
	ledger->runs[ledger->run_count].entry = entry;
	ledger->runs[ledger->run_count].tasks = tasks;
	ledger->run_count++;
	settle(ledger);
}

/*
 * Tasks of a job are no longer on the worker.
 */
void rj_ledger_remove_run(struct rj_capacity_worker *worker,
			  struct rj_plan_entry *entry, uint32_t tasks)
{
	struct rj_ledger *ledger = rj_ledger_of(worker);
	struct rj_worker_share *share = rj_ledger_share(ledger, entry->account);
	const struct rj_resources *each = &entry->job.shape.each;
	uint32_t at = 0;

	assert(share);
	rj_resources_subtract(&share->used, each, tasks);
	if (!entry->job.stoppable)
		rj_resources_subtract(&share->pinned, each, tasks);
	if (rj_ledger_stays(&entry->job))
		ledger->staying -= each->accelerators * tasks;
	while (ledger->runs[at].entry != entry)
		at++;
	ledger->run_count--;
	memmove(&ledger->runs[at], &ledger->runs[at + 1],
		(ledger->run_count - at) * sizeof(*ledger->runs));
	settle(ledger);
}

/*
 * Keep `tasks` of the reservation's job free here, in the reservation's way.
 */
void rj_ledger_hold(struct rj_capacity_worker *worker,
		    struct rj_reservation *reservation, uint32_t tasks)
{
	struct rj_ledger *ledger = rj_ledger_of(worker);
	struct rj_worker_hold *hold;

	ledger->holds =
		talloc_realloc(ledger, ledger->holds, struct rj_worker_hold,
			       ledger->hold_count + 1);
	assert(ledger->holds);
	hold = &ledger->holds[ledger->hold_count++];
	memset(hold, 0, sizeof(*hold));
	hold->reservation = reservation;
	rj_resources_add(&hold->want, &reservation->entry->job.shape.each,
			 tasks);
}

/*
 * Keep nothing for the reservation any more.
 */
void rj_ledger_release(struct rj_capacity_worker *worker,
		       struct rj_reservation *reservation)
{
	struct rj_ledger *ledger = rj_ledger_of(worker);
	uint32_t kept = 0;

	for (uint32_t i = 0; i < ledger->hold_count; i++)
		if (ledger->holds[i].reservation != reservation)
			ledger->holds[kept++] = ledger->holds[i];
	ledger->hold_count = kept;
}

/*
 * What tasks of `account` that cannot be stopped may still take here
 * without breaking the rule.
 */
struct rj_resources rj_ledger_pin_room(const struct rj_capacity_worker *worker,
				       const struct rj_plan_account *account)
{
	const struct rj_ledger *ledger = worker->ledger;
	const struct rj_worker_share *share;
	struct rj_resources others;
	struct rj_resources own;
	struct rj_resources room = rj_resources_rest(&worker->plan.capacity,
						     &worker->plan.foreign);

	if (!ledger)
		return room;
	share = rj_ledger_share(ledger, account);
	others = ledger->bound;
	if (share) {
		own = larger(&share->guaranteed, &share->pinned);
		rj_resources_subtract(&others, &own, 1);
		rj_resources_take_or_zero(&room, &share->pinned);
	}
	rj_resources_take_or_zero(&room, &others);
	return room;
}
