#include "private/topology.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/*
 * A reclaim that has not freed its shape by the time limit plus this is
 * cancelled.
 */
#define RECLAIM_GRACE_US (200 * RJ_US_PER_MS)

/*
 * A job is small compared with a gang that is at least this many times as
 * large.
 */
#define SMALL_JOB_DIVISOR 2

/*
 * Maximum work that may be lost for a waiting gang, relative to the gang's
 * expected work: its median run time on all its accelerators.
 */
#define WAITED_LOSS_MAX_PERCENT 5

/* Maximum run time lost when a job with checkpoints is stopped. */
#define CHECKPOINT_COST_US RJ_US_PER_S

/* Weight of lost urgent work relative to other work. */
#define URGENT_LOSS_FACTOR 20

/* Urgent work waits this long before it preempts jobs that borrow. */
#define URGENT_PREEMPTION_DELAY_US RJ_US_PER_S

/*
 * Minimum wait of a gang before it preempts small jobs: most jobs that last a
 * few seconds end meanwhile and need not be stopped.
 */
#define GANG_PREEMPTION_DELAY_US (3 * RJ_US_PER_S)

/*
 * Additional wait of a gang for each point that the fragmentation weight is
 * below 100.
 */
#define FRAGMENTATION_POINT_DELAY_US (100 * RJ_US_PER_MS)

/* The policy by which a job may preempt others. */
enum policy {
	POLICY_GUARANTEE, /* for its account's guarantee */
	POLICY_GUARANTEE_OVER_RESERVATIONS, /* also over other reservations */
	POLICY_URGENT, /* urgent job: jobs that borrow capacity */
	POLICY_BACKFILLED, /* jobs backfilled on its reservation */
	POLICY_WAITED, /* waiting gang: small or backfilled jobs */
};

struct victim {
	struct rj_plan_entry *entry;
	double cost; /* lost accelerator time per accelerator freed */
	uint64_t lost; /* accelerator microseconds, see lost_work */
	bool chosen;
};

/* A search of one set of workers for jobs to preempt. */
struct search {
	struct rj_topology_state *state;
	struct rj_plan_entry *entry;
	enum policy policy;
	struct rj_worker_set set;
	uint64_t now_us;
	uint32_t *fits; /* tasks that fit each worker of `set` */
	uint32_t total; /* sum of `fits` */
	struct victim *victims;
	uint32_t victim_count;
	uint64_t lost; /* by the chosen victims */
};

/*
 * Returns the work lost if the job is stopped now, in accelerator microseconds.
 * Urgent work is weighted so that it is preempted last.
 */
static uint64_t lost_work(const struct rj_plan_entry *entry, uint64_t now_us)
{
	uint64_t ran_us = now_us - MIN(now_us, entry->started_us);

	if (entry->job.checkpoint)
		ran_us = MIN(ran_us, CHECKPOINT_COST_US);
	if (entry->job.priority == RJ_PRIORITY_URGENT)
		ran_us = (ran_us + RJ_US_PER_S) * URGENT_LOSS_FACTOR;
	/* Even a task that has just started has to be started again. */
	return (ran_us + RJ_US_PER_MS) * rj_topology_job_size(entry);
}

static bool is_guarantee_policy(enum policy policy)
{
	return policy == POLICY_GUARANTEE ||
	       policy == POLICY_GUARANTEE_OVER_RESERVATIONS;
}

/*
 * Whether the search must leave the reservation alone. With
 * POLICY_GUARANTEE_OVER_RESERVATIONS, only reservations for guarantees count.
 */
static bool must_respect(const struct search *search,
			 const struct rj_reservation *reservation)
{
	return reservation->firm &&
	       (search->policy != POLICY_GUARANTEE_OVER_RESERVATIONS ||
		reservation->reason == RJ_REASON_GUARANTEE);
}

/*
 * Whether the search must leave idle guarantees of other accounts alone. Only
 * preemptible work may borrow them, in racks whose owner can preempt it, and
 * not by a guarantee policy, so that two claims on guarantees never conflict.
 */
static bool must_leave_idle_guarantees(const struct search *search,
				       const struct rj_capacity_worker *worker)
{
	return is_guarantee_policy(search->policy) ||
	       !search->entry->job.preemptible || !worker->plan.owned;
}

/*
 * Returns the capacity of the worker that the job may use once the chosen
 * victims, and jobs being stopped already, have ended.
 */
static struct rj_resources
available_after(const struct search *search,
		const struct rj_capacity_worker *worker)
{
	const struct rj_ledger *ledger = worker->ledger;
	struct rj_resources available = worker->free;
	struct rj_resources limit;

	if (!worker->plan.usable || worker->removed ||
	    ledger->skip_until_us > search->now_us)
		return (struct rj_resources){ 0 };
	for (uint32_t i = 0; i < ledger->run_count; i++)
		if (ledger->runs[i].entry->reclaiming)
			rj_resources_add(&available,
					 &ledger->runs[i].entry->job.shape.each,
					 ledger->runs[i].tasks);
	for (uint32_t i = 0; i < ledger->usage_count; i++)
		rj_resources_add(&available, &ledger->usages[i].evicted, 1);
	for (uint32_t i = 0; i < ledger->reservation_count; i++)
		if (must_respect(search, ledger->reservations[i].reservation))
			rj_resources_subtract_saturating(
				&available, &ledger->reservations[i].amount);
	for (uint32_t i = 0; must_leave_idle_guarantees(search, worker) &&
			     i < ledger->usage_count;
	     i++) {
		const struct rj_worker_usage *usage = &ledger->usages[i];
		struct rj_resources used;
		struct rj_resources idle;

		if (usage->account == search->entry->account)
			continue;
		used = rj_resources_remaining(&usage->used, &usage->evicted);
		idle = rj_resources_remaining(&usage->guaranteed, &used);
		rj_resources_subtract_saturating(&available, &idle);
	}
	if (search->entry->job.preemptible && worker->plan.owned)
		return available;
	limit = rj_ledger_non_preemptible_limit(worker, search->entry->account);
	rj_resources_clamp(&available, &limit);
	return available;
}

/*
 * Recomputes how many tasks fit the worker at index `at` of the set.
 */
static void update_fit(struct search *search, uint32_t at)
{
	struct rj_resources available =
		available_after(search, search->set.workers[at]);

	search->total -= search->fits[at];
	search->fits[at] = rj_resources_fit_count(
		&search->entry->job.shape.each, &available,
		search->entry->job.shape.tasks);
	search->total += search->fits[at];
}

/*
 * Whether the whole job fits after the evictions so far.
 */
static bool fits_all_tasks(const struct search *search)
{
	return search->total >= search->entry->job.shape.tasks;
}

/*
 * Whether the job is urgent and was stopped before, so that it waits since
 * then.
 */
static bool is_preempted_urgent(const struct rj_plan_entry *entry)
{
	return entry->job.priority == RJ_PRIORITY_URGENT &&
	       entry->waiting_since_us > entry->job.queued_us;
}

/*
 * Whether the policy allows preempting `entry`, wherever it runs.
 */
static bool may_preempt(const struct search *search,
			const struct rj_plan_entry *entry)
{
	const struct rj_plan_job *job = &entry->job;

	if (!job->preemptible || entry->reclaiming)
		return false;
	switch (search->policy) {
	case POLICY_GUARANTEE:
	case POLICY_GUARANTEE_OVER_RESERVATIONS:
		return entry->account != search->entry->account ||
		       job->priority > search->entry->job.priority;
	case POLICY_URGENT:
		return job->priority != RJ_PRIORITY_URGENT;
	case POLICY_BACKFILLED:
		return entry->backfilled && !is_preempted_urgent(entry);
	case POLICY_WAITED:
		/*
		 * Never another gang, or the two would preempt each other in
		 * turn. A backfilled job was only admitted until its capacity
		 * is needed, and is treated like small work, urgent or not: the
		 * limit of lost work applies to both.
		 */
		return (entry->backfilled && !is_preempted_urgent(entry)) ||
		       (job->priority != RJ_PRIORITY_URGENT &&
			rj_topology_job_size(entry) * SMALL_JOB_DIVISOR <=
				rj_topology_job_size(search->entry));
	}
	return false;
}

/*
 * Whether the job borrows on a worker of the set, that is, its account uses
 * more there than its guarantee. Use within a guarantee is never preempted for
 * another account.
 */
static bool borrows(const struct search *search,
		    const struct rj_plan_entry *entry)
{
	if (entry->account == search->entry->account)
		return true;
	for (uint32_t i = 0; i < entry->member_count; i++) {
		const struct rj_capacity_worker *worker = rj_capacity_find(
			&search->state->capacity, entry->members[i].worker);
		const struct rj_worker_usage *usage;
		struct rj_resources used;

		if (worker->ledger->set_stamp != search->state->stamp)
			continue;
		usage = rj_ledger_usage(worker->ledger, entry->account);
		used = rj_resources_remaining(&usage->used, &usage->evicted);
		if (rj_resources_exceed(&used, &usage->guaranteed))
			return true;
	}
	return false;
}

/*
 * Tentatively removes the job from its workers (`evicted`), or puts it back.
 */
static void evict(struct search *search, struct victim *victim, bool evicted)
{
	const struct rj_plan_entry *entry = victim->entry;

	for (uint32_t i = 0; i < entry->member_count; i++) {
		const struct rj_plan_member *member = &entry->members[i];
		struct rj_capacity_worker *worker = rj_capacity_find(
			&search->state->capacity, member->worker);
		struct rj_worker_usage *usage =
			rj_ledger_usage(worker->ledger, entry->account);

		if (evicted)
			rj_resources_add(&usage->evicted,
					 &entry->job.shape.each, member->tasks);
		else
			rj_resources_subtract(&usage->evicted,
					      &entry->job.shape.each,
					      member->tasks);
		if (worker->ledger->set_stamp == search->state->stamp)
			update_fit(search, worker->ledger->set_index);
	}
	victim->chosen = evicted;
}

/*
 * Lowest cost first; the job id breaks ties.
 */
static int compare_victims(const void *a, const void *b)
{
	const struct victim *one = a;
	const struct victim *two = b;

	if (one->cost != two->cost)
		return one->cost < two->cost ? -1 : 1;
	return one->entry->job.job_id < two->entry->job.job_id ? -1 : 1;
}

/*
 * Returns the accelerators of the job within the set, at most as many as are
 * needed: a gang stopped for a single task frees no more than that task uses.
 */
static uint64_t freed_in_set(const struct search *search,
			     const struct rj_plan_entry *entry)
{
	uint64_t tasks = 0;

	for (uint32_t i = 0; i < entry->member_count; i++) {
		const struct rj_capacity_worker *worker = rj_capacity_find(
			&search->state->capacity, entry->members[i].worker);

		if (worker->ledger->set_stamp == search->state->stamp)
			tasks += entry->members[i].tasks;
	}
	tasks *= MAX(entry->job.shape.each.accelerators, 1);
	return MIN(tasks, rj_topology_job_size(search->entry));
}

/*
 * Lists the jobs of the set that may be preempted, lowest cost first.
 */
static void list_victims(struct search *search)
{
	GArray *victims = g_array_new(FALSE, FALSE, sizeof(struct victim));
	uint64_t stamp = search->state->stamp;

	for (uint32_t i = 0; i < search->set.count; i++) {
		const struct rj_ledger *ledger = search->set.workers[i]->ledger;

		for (uint32_t j = 0; j < ledger->run_count; j++) {
			struct rj_plan_entry *entry = ledger->runs[j].entry;
			struct victim victim = { .entry = entry };

			if (entry->stamp == stamp ||
			    !may_preempt(search, entry))
				continue;
			entry->stamp = stamp;
			victim.lost = lost_work(entry, search->now_us);
			victim.cost = (double)victim.lost /
				      (double)freed_in_set(search, entry);
			g_array_append_val(victims, victim);
		}
	}
	search->victim_count = victims->len;
	search->victims = (struct victim *)g_array_free(victims, FALSE);
	if (search->victim_count)
		qsort(search->victims, search->victim_count,
		      sizeof(struct victim), compare_victims);
}

/*
 * Begins a search of the set: nothing evicted, victims listed.
 */
static void search_init(struct search *search, struct rj_topology_state *state,
			struct rj_plan_entry *entry, enum policy policy,
			struct rj_worker_set set, uint64_t now_us)
{
	memset(search, 0, sizeof(*search));
	search->state = state;
	search->entry = entry;
	search->policy = policy;
	search->set = set;
	search->now_us = now_us;
	search->fits = g_new0(uint32_t, set.count + 1);
	state->stamp++;
	for (uint32_t i = 0; i < set.count; i++) {
		struct rj_ledger *ledger = rj_ledger_get(set.workers[i]);

		ledger->set_index = i;
		ledger->set_stamp = state->stamp;
		update_fit(search, i);
	}
	list_victims(search);
}

static void search_finish(struct search *search)
{
	g_free(search->fits);
	g_free(search->victims);
}

/*
 * Chooses victims, lowest cost first, until the job fits, then drops those that
 * turn out to be unnecessary, highest cost first. Returns whether the job fits.
 */
static bool search_run(struct search *search)
{
	for (uint32_t i = 0;
	     i < search->victim_count && !fits_all_tasks(search); i++)
		if (borrows(search, search->victims[i].entry))
			evict(search, &search->victims[i], true);
	if (!fits_all_tasks(search))
		return false;
	for (uint32_t i = search->victim_count; i--;) {
		if (!search->victims[i].chosen)
			continue;
		evict(search, &search->victims[i], false);
		if (!fits_all_tasks(search))
			evict(search, &search->victims[i], true);
		else
			continue;
		search->lost += search->victims[i].lost;
	}
	return true;
}

/*
 * Puts every chosen victim back; the ledgers are as before the search.
 */
static void search_undo(struct search *search)
{
	for (uint32_t i = 0; i < search->victim_count; i++)
		if (search->victims[i].chosen)
			evict(search, &search->victims[i], false);
}

/*
 * Fills in the members of the job, in the order of the set. Returns their
 * number.
 */
static uint32_t search_members(const struct search *search,
			       struct rj_plan_member *members)
{
	uint32_t remaining = search->entry->job.shape.tasks;
	uint32_t count = 0;

	for (uint32_t i = 0; remaining && i < search->set.count; i++) {
		uint32_t tasks = MIN(remaining, search->fits[i]);

		if (!tasks)
			continue;
		members[count].worker = search->set.workers[i]->plan.id;
		members[count].tasks = tasks;
		count++;
		remaining -= tasks;
	}
	return count;
}

/*
 * Requests a stop of every chosen victim.
 */
static void stop_victims(const struct search *search,
			 struct rj_decisions *decisions)
{
	uint64_t limit_us =
		search->state->limits.checkpoint_limit_ms * RJ_US_PER_MS;

	for (uint32_t i = 0; i < search->victim_count; i++) {
		struct rj_plan_entry *entry = search->victims[i].entry;
		struct rj_decision *decision;

		if (!search->victims[i].chosen)
			continue;
		decision = rj_decisions_add(decisions, RJ_DECISION_RECLAIM);
		decision->job_id = entry->job.job_id;
		decision->reason = RJ_REASON_LEAST_LOST;
		decision->checkpoint = entry->job.checkpoint;
		decision->limit_us = limit_us;
		decision->for_job = search->entry->job.job_id;
		decision->considered = search->victim_count;
		entry->reclaiming = true;
	}
}

/*
 * Returns the work lost by preempting in the set, RJ_NEVER_US if the job would
 * not fit.
 */
static uint64_t cost_of(struct rj_topology_state *state,
			struct rj_plan_entry *entry, enum policy policy,
			struct rj_worker_set set, uint64_t now_us)
{
	struct search search;
	uint64_t cost = RJ_NEVER_US;

	search_init(&search, state, entry, policy, set, now_us);
	if (search_run(&search))
		cost = search.lost;
	search_undo(&search);
	search_finish(&search);
	return cost;
}

static const enum rj_reason reason_of[] = {
	[POLICY_GUARANTEE] = RJ_REASON_GUARANTEE,
	[POLICY_GUARANTEE_OVER_RESERVATIONS] = RJ_REASON_GUARANTEE,
	[POLICY_URGENT] = RJ_REASON_RECLAIMED,
	[POLICY_BACKFILLED] = RJ_REASON_RESERVATION,
	[POLICY_WAITED] = RJ_REASON_RECLAIMED,
};

/*
 * Returns the most work that may be lost by the policy, in accelerator
 * microseconds.
 */
static uint64_t max_lost_work(const struct rj_plan_entry *entry,
			      enum policy policy)
{
	if (policy != POLICY_WAITED)
		return RJ_NEVER_US - 1;
	return rj_runtime_quantile_us(entry->runtime, 50, 0) *
	       rj_topology_job_size(entry) * WAITED_LOSS_MAX_PERCENT / 100;
}

/*
 * Preempts jobs in the set and makes a firm reservation for the job. Returns
 * whether it did.
 */
static bool preempt_in(struct rj_topology_state *state,
		       struct rj_plan_entry *entry, enum policy policy,
		       struct rj_worker_set set, uint64_t now_us,
		       struct rj_decisions *decisions)
{
	struct rj_reservation *reservation;
	struct search search;
	uint32_t count;
	bool fits;

	search_init(&search, state, entry, policy, set, now_us);
	fits = search_run(&search) &&
	       search.lost <= max_lost_work(entry, policy);
	count = fits ? search_members(&search, state->members) : 0;
	if (fits)
		stop_victims(&search, decisions);
	search_undo(&search);
	search_finish(&search);
	if (!fits)
		return false;
	if (entry->reservation)
		rj_topology_unreserve(state, entry->reservation);
	if (policy == POLICY_GUARANTEE_OVER_RESERVATIONS)
		rj_topology_displace_reservations(state, state->members, count,
						  now_us);
	reservation = rj_topology_reserve(
		state, entry, state->members, count, true,
		now_us + state->limits.checkpoint_limit_ms * RJ_US_PER_MS +
			RECLAIM_GRACE_US);
	reservation->reason = reason_of[policy];
	if (is_guarantee_policy(policy))
		rj_topology_grant(entry);
	return true;
}

/*
 * Preempts where the least work is lost: in one rack, or in all racks together
 * if no single rack will do and the gang may span racks.
 */
static bool reclaim_by(struct rj_topology_state *state,
		       struct rj_plan_entry *entry, enum policy policy,
		       uint64_t now_us, struct rj_decisions *decisions)
{
	const struct rj_shape *shape = &entry->job.shape;
	uint64_t best_cost = RJ_NEVER_US;
	uint32_t best = 0;

	for (uint32_t i = 0; i < state->capacity.rack_count; i++) {
		uint64_t cost =
			cost_of(state, entry, policy,
				rj_topology_rack_workers(state, i), now_us);

		if (cost >= best_cost)
			continue;
		best_cost = cost;
		best = i;
	}
	if (best_cost != RJ_NEVER_US)
		return preempt_in(state, entry, policy,
				  rj_topology_rack_workers(state, best), now_us,
				  decisions);
	if (shape->adjacent || shape->tasks == 1)
		return false;
	return preempt_in(state, entry, policy, rj_topology_all_workers(state),
			  now_us, decisions);
}

/*
 * Whether an urgent job may preempt jobs that borrow: it has waited long
 * enough, and its account stays within its guarantee and fair share.
 */
static bool urgent_may_preempt(const struct rj_topology_state *state,
			       const struct rj_plan_entry *entry,
			       uint64_t now_us)
{
	const struct rj_plan_account *account = entry->account;

	return entry->job.priority == RJ_PRIORITY_URGENT &&
	       now_us >= entry->job.queued_us + URGENT_PREEMPTION_DELAY_US &&
	       account->used + rj_topology_job_size(entry) <=
		       account->guaranteed +
			       rj_topology_fair_share(state, account);
}

/*
 * Returns how long a job waits before it may preempt others. For a gang it is
 * shorter the higher the fragmentation weight that operators have set;
 * RJ_NEVER_US for other jobs that are not urgent.
 */
uint64_t rj_topology_preemption_delay_us(const struct rj_topology_state *state,
					 const struct rj_plan_entry *entry)
{
	uint32_t weight = MIN(state->limits.fragmentation_weight, 100);

	if (entry->job.priority == RJ_PRIORITY_URGENT)
		return URGENT_PREEMPTION_DELAY_US;
	if (rj_topology_job_size(entry) <= state->worker_accelerators)
		return RJ_NEVER_US;
	return GANG_PREEMPTION_DELAY_US +
	       (100 - weight) * FRAGMENTATION_POINT_DELAY_US;
}

/*
 * Whether the gang has waited long enough to preempt small jobs.
 */
static bool gang_may_preempt(const struct rj_topology_state *state,
			     const struct rj_plan_entry *entry, uint64_t now_us)
{
	uint64_t delay_us = rj_topology_preemption_delay_us(state, entry);

	return entry->job.priority != RJ_PRIORITY_URGENT &&
	       delay_us != RJ_NEVER_US &&
	       now_us >= entry->waiting_since_us + delay_us;
}

/*
 * Preempts for a job that does not fit. The policies are tried in order: its
 * account's guarantee, urgency, jobs backfilled on its reservation, then its
 * wait. Gangs are stopped as a whole, and the victims with the least lost work
 * are chosen. Returns whether a firm reservation was made; its capacity is free
 * when all victims have ended.
 */
bool rj_topology_reclaim(struct rj_topology_state *state,
			 struct rj_plan_entry *entry, uint64_t now_us,
			 struct rj_decisions *decisions)
{
	if (rj_topology_is_entitled(state, entry) &&
	    (reclaim_by(state, entry, POLICY_GUARANTEE, now_us, decisions) ||
	     reclaim_by(state, entry, POLICY_GUARANTEE_OVER_RESERVATIONS,
			now_us, decisions)))
		return true;
	if (urgent_may_preempt(state, entry, now_us) &&
	    reclaim_by(state, entry, POLICY_URGENT, now_us, decisions))
		return true;
	if (entry->reservation &&
	    reclaim_by(state, entry, POLICY_BACKFILLED, now_us, decisions))
		return true;
	return gang_may_preempt(state, entry, now_us) &&
	       reclaim_by(state, entry, POLICY_WAITED, now_us, decisions);
}
