#include "private/topology.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* A reclaim that has not freed its shape by the limit and this is given up. */
#define GRACE_US (200 * RJ_US_PER_MS)

/* Work is small beside a gang that is so many times as large. */
#define SMALL_PART 2

/* A gang that has waited may cost others so much of its own work. */
#define WAITED_LOST_PERCENT 5

/* What a checkpoint costs a job, as run time lost. */
#define CHECKPOINT_COST_US RJ_US_PER_S

/* Urgent work that is lost weighs as so much other work. */
#define URGENT_WEIGHT 20

/* Urgent work waits this long before it stops what others borrow. */
#define URGENT_PATIENCE_US RJ_US_PER_S

/*
 * A gang waits at least this long before it stops small work: most of what
 * ends within seconds has ended then, and need not be lost.
 */
#define GANG_PATIENCE_US (3 * RJ_US_PER_S)

/* It waits so much longer for each point that fragmentation weighs less. */
#define POINT_PATIENCE_US (100 * RJ_US_PER_MS)

/* On which ground a job asks for room. */
enum ground {
	GROUND_GUARANTEE, /* its account's guarantee */
	GROUND_LAST_RESORT, /* the same, before what is kept for others */
	GROUND_URGENT, /* urgent work before borrowed capacity */
	GROUND_LOAN, /* work that passed its reservation */
	GROUND_WAITED, /* a gang that has waited, before cheap small work */
};

struct victim {
	struct rj_plan_entry *entry;
	double cost; /* lost accelerator time for each accelerator of use */
	uint64_t lost;
	bool chosen;
};

/* A search of one site for the jobs to stop. */
struct search {
	struct rj_topology_state *state;
	struct rj_plan_entry *entry;
	enum ground ground;
	struct rj_site site;
	uint64_t now_us;
	uint32_t *fits;
	uint32_t total;
	struct victim *victims;
	uint32_t victim_count;
	uint64_t lost;
};

/*
 * Accelerator time that is lost if the job is stopped now; that of urgent
 * work weighs more, so that it is stopped last.
 */
static uint64_t lost_work(const struct rj_plan_entry *entry, uint64_t now_us)
{
	uint64_t ran_us = now_us - MIN(now_us, entry->started_us);

	if (entry->job.checkpoint)
		ran_us = MIN(ran_us, CHECKPOINT_COST_US);
	if (entry->job.priority == RJ_PRIORITY_URGENT)
		ran_us = (ran_us + RJ_US_PER_S) * URGENT_WEIGHT;
	/* A task that has just started still costs its start again. */
	return (ran_us + RJ_US_PER_MS) * rj_topology_size(entry);
}

/*
 * Whether the ground is the account's guarantee.
 */
static bool is_claim(enum ground ground)
{
	return ground == GROUND_GUARANTEE || ground == GROUND_LAST_RESORT;
}

/*
 * Whether the search must leave alone what the reservation keeps. A claim on
 * a guarantee that finds no other room goes before all but such claims.
 */
static bool respects(const struct search *search,
		     const struct rj_reservation *reservation)
{
	return reservation->firm &&
	       (search->ground != GROUND_LAST_RESORT ||
		reservation->reason == RJ_REASON_GUARANTEE);
}

/*
 * Whether the search must leave alone what others are guaranteed and do not
 * use. Only work that can be stopped may borrow it, in racks whose owner can
 * stop it, and not on the ground of a guarantee: two claims then never cross.
 */
static bool spares_idle(const struct search *search,
			const struct rj_capacity_worker *worker)
{
	return is_claim(search->ground) || !search->entry->job.stoppable ||
	       !worker->plan.owned;
}

/*
 * What the job may take of the worker once the chosen victims, and what is
 * being stopped already, are gone.
 */
static struct rj_resources room_after(const struct search *search,
				      const struct rj_capacity_worker *worker)
{
	const struct rj_ledger *ledger = worker->ledger;
	struct rj_resources room = worker->free;
	struct rj_resources limit;

	if (!worker->plan.usable || worker->gone ||
	    ledger->silent_until_us > search->now_us)
		return (struct rj_resources){ 0 };
	for (uint32_t i = 0; i < ledger->run_count; i++)
		if (ledger->runs[i].entry->reclaiming)
			rj_resources_add(&room,
					 &ledger->runs[i].entry->job.shape.each,
					 ledger->runs[i].tasks);
	for (uint32_t i = 0; i < ledger->share_count; i++)
		rj_resources_add(&room, &ledger->shares[i].evicted, 1);
	for (uint32_t i = 0; i < ledger->hold_count; i++)
		if (respects(search, ledger->holds[i].reservation))
			rj_resources_take_or_zero(&room,
						  &ledger->holds[i].want);
	for (uint32_t i = 0;
	     spares_idle(search, worker) && i < ledger->share_count; i++) {
		const struct rj_worker_share *share = &ledger->shares[i];
		struct rj_resources used;
		struct rj_resources idle;

		if (share->account == search->entry->account)
			continue;
		used = rj_resources_rest(&share->used, &share->evicted);
		idle = rj_resources_rest(&share->guaranteed, &used);
		rj_resources_take_or_zero(&room, &idle);
	}
	if (search->entry->job.stoppable && worker->plan.owned)
		return room;
	limit = rj_ledger_pin_room(worker, search->entry->account);
	rj_resources_limit(&room, &limit);
	return room;
}

/*
 * Count again how many tasks fit the worker at this place of the site.
 */
static void refit(struct search *search, uint32_t at)
{
	struct rj_resources room = room_after(search, search->site.workers[at]);

	search->total -= search->fits[at];
	search->fits[at] =
		rj_resources_times(&search->entry->job.shape.each, &room,
				   search->entry->job.shape.tasks);
	search->total += search->fits[at];
}

/*
 * Whether the whole job fits after what was evicted so far.
 */
static bool fits_now(const struct search *search)
{
	return search->total >= search->entry->job.shape.tasks;
}

/*
 * Whether the job is urgent and was stopped before: it waits since then.
 */
static bool urgent_again(const struct rj_plan_entry *entry)
{
	return entry->job.priority == RJ_PRIORITY_URGENT &&
	       entry->waiting_since_us > entry->job.queued_us;
}

/*
 * Whether the ground allows to stop `entry` at all, wherever it runs.
 */
static bool may_stop(const struct search *search,
		     const struct rj_plan_entry *entry)
{
	const struct rj_plan_job *job = &entry->job;

	if (!job->stoppable || entry->reclaiming)
		return false;
	switch (search->ground) {
	case GROUND_GUARANTEE:
	case GROUND_LAST_RESORT:
		return entry->account != search->entry->account ||
		       job->priority > search->entry->job.priority;
	case GROUND_URGENT:
		return job->priority != RJ_PRIORITY_URGENT;
	case GROUND_LOAN:
		return entry->on_loan && !urgent_again(entry);
	case GROUND_WAITED:
		/*
		 * Never another gang: they would take turns. What passed a
		 * reservation was let run only until the room is wanted, and
		 * goes with the small work, urgent or not: the most that may
		 * be lost holds for both.
		 */
		return (entry->on_loan && !urgent_again(entry)) ||
		       (job->priority != RJ_PRIORITY_URGENT &&
			rj_topology_size(entry) * SMALL_PART <=
				rj_topology_size(search->entry));
	}
	return false;
}

/*
 * Whether the job borrows on some worker of the site: its account uses more
 * there than its guarantee. What stays within a guarantee is never stopped
 * for another account.
 */
static bool borrows(const struct search *search,
		    const struct rj_plan_entry *entry)
{
	if (entry->account == search->entry->account)
		return true;
	for (uint32_t i = 0; i < entry->member_count; i++) {
		const struct rj_capacity_worker *worker = rj_capacity_find(
			&search->state->capacity, entry->members[i].worker);
		const struct rj_worker_share *share;
		struct rj_resources used;

		if (worker->ledger->site_stamp != search->state->stamp)
			continue;
		share = rj_ledger_share(worker->ledger, entry->account);
		used = rj_resources_rest(&share->used, &share->evicted);
		if (rj_resources_exceed(&used, &share->guaranteed))
			return true;
	}
	return false;
}

/*
 * Take the job out of the workers in thought, or put it back.
 */
static void evict(struct search *search, struct victim *victim, bool out)
{
	const struct rj_plan_entry *entry = victim->entry;

	for (uint32_t i = 0; i < entry->member_count; i++) {
		const struct rj_plan_member *member = &entry->members[i];
		struct rj_capacity_worker *worker = rj_capacity_find(
			&search->state->capacity, member->worker);
		struct rj_worker_share *share =
			rj_ledger_share(worker->ledger, entry->account);

		if (out)
			rj_resources_add(&share->evicted,
					 &entry->job.shape.each, member->tasks);
		else
			rj_resources_subtract(&share->evicted,
					      &entry->job.shape.each,
					      member->tasks);
		if (worker->ledger->site_stamp == search->state->stamp)
			refit(search, worker->ledger->site_index);
	}
	victim->chosen = out;
}

/*
 * The cheapest first; the job's id breaks ties.
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
 * Accelerators of the job that lie within the site, as far as they are
 * needed: a gang stopped for a preview frees no more than the preview.
 */
static uint64_t freed_here(const struct search *search,
			   const struct rj_plan_entry *entry)
{
	uint64_t tasks = 0;

	for (uint32_t i = 0; i < entry->member_count; i++) {
		const struct rj_capacity_worker *worker = rj_capacity_find(
			&search->state->capacity, entry->members[i].worker);

		if (worker->ledger->site_stamp == search->state->stamp)
			tasks += entry->members[i].tasks;
	}
	tasks *= MAX(entry->job.shape.each.accelerators, 1);
	return MIN(tasks, rj_topology_size(search->entry));
}

/*
 * List the jobs of the site that may be stopped, cheapest first.
 */
static void list_victims(struct search *search)
{
	GArray *victims = g_array_new(FALSE, FALSE, sizeof(struct victim));
	uint64_t seen = search->state->stamp;

	for (uint32_t i = 0; i < search->site.count; i++) {
		const struct rj_ledger *ledger =
			search->site.workers[i]->ledger;

		for (uint32_t j = 0; j < ledger->run_count; j++) {
			struct rj_plan_entry *entry = ledger->runs[j].entry;
			struct victim victim = { .entry = entry };

			if (entry->stamp == seen || !may_stop(search, entry))
				continue;
			entry->stamp = seen;
			victim.lost = lost_work(entry, search->now_us);
			victim.cost = (double)victim.lost /
				      (double)freed_here(search, entry);
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
 * Start a search of the site: nothing is evicted, the victims are listed.
 */
static void search_init(struct search *search, struct rj_topology_state *state,
			struct rj_plan_entry *entry, enum ground ground,
			struct rj_site site, uint64_t now_us)
{
	memset(search, 0, sizeof(*search));
	search->state = state;
	search->entry = entry;
	search->ground = ground;
	search->site = site;
	search->now_us = now_us;
	search->fits = g_new0(uint32_t, site.count + 1);
	state->stamp++;
	for (uint32_t i = 0; i < site.count; i++) {
		struct rj_ledger *ledger = rj_ledger_of(site.workers[i]);

		ledger->site_index = i;
		ledger->site_stamp = state->stamp;
		refit(search, i);
	}
	list_victims(search);
}

/*
 * Free what the search took.
 */
static void search_finish(struct search *search)
{
	g_free(search->fits);
	g_free(search->victims);
}

/*
 * Choose victims, cheapest first, until the job fits; then let go those
 * that turned out not to be needed, the dearest first. Returns whether the
 * job fits.
 */
static bool search_run(struct search *search)
{
	for (uint32_t i = 0; i < search->victim_count && !fits_now(search); i++)
		if (borrows(search, search->victims[i].entry))
			evict(search, &search->victims[i], true);
	if (!fits_now(search))
		return false;
	for (uint32_t i = search->victim_count; i--;) {
		if (!search->victims[i].chosen)
			continue;
		evict(search, &search->victims[i], false);
		if (!fits_now(search))
			evict(search, &search->victims[i], true);
		else
			continue;
		search->lost += search->victims[i].lost;
	}
	return true;
}

/*
 * Put every chosen victim back; the ledgers are as before the search.
 */
static void search_undo(struct search *search)
{
	for (uint32_t i = 0; i < search->victim_count; i++)
		if (search->victims[i].chosen)
			evict(search, &search->victims[i], false);
}

/*
 * Write down where the job goes, the workers with the least room first so
 * that they are filled.
 */
static uint32_t search_members(const struct search *search,
			       struct rj_plan_member *members)
{
	uint32_t want = search->entry->job.shape.tasks;
	uint32_t count = 0;

	for (uint32_t i = 0; want && i < search->site.count; i++) {
		uint32_t tasks = MIN(want, search->fits[i]);

		if (!tasks)
			continue;
		members[count].worker = search->site.workers[i]->plan.id;
		members[count].tasks = tasks;
		count++;
		want -= tasks;
	}
	return count;
}

/*
 * Ask for every chosen victim to be stopped.
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
 * The work that a search of the site would cost, RJ_NEVER_US if the job
 * would not fit.
 */
static uint64_t cost_of(struct rj_topology_state *state,
			struct rj_plan_entry *entry, enum ground ground,
			struct rj_site site, uint64_t now_us)
{
	struct search search;
	uint64_t cost = RJ_NEVER_US;

	search_init(&search, state, entry, ground, site, now_us);
	if (search_run(&search))
		cost = search.lost;
	search_undo(&search);
	search_finish(&search);
	return cost;
}

static const enum rj_reason reason_of[] = {
	[GROUND_GUARANTEE] = RJ_REASON_GUARANTEE,
	[GROUND_LAST_RESORT] = RJ_REASON_GUARANTEE,
	[GROUND_URGENT] = RJ_REASON_RECLAIMED,
	[GROUND_LOAN] = RJ_REASON_RESERVATION,
	[GROUND_WAITED] = RJ_REASON_RECLAIMED,
};

/*
 * The most work that may be lost on the ground, in accelerator microseconds.
 */
static uint64_t most_lost(const struct rj_plan_entry *entry, enum ground ground)
{
	if (ground != GROUND_WAITED)
		return RJ_NEVER_US - 1;
	return rj_runtime_quantile_us(entry->runtime, 50, 0) *
	       rj_topology_size(entry) * WAITED_LOST_PERCENT / 100;
}

/*
 * Stop what is in the way in this site and keep its room for the job.
 */
static bool carry_out(struct rj_topology_state *state,
		      struct rj_plan_entry *entry, enum ground ground,
		      struct rj_site site, uint64_t now_us,
		      struct rj_decisions *decisions)
{
	struct rj_reservation *reservation;
	struct search search;
	uint32_t count;
	bool fits;

	search_init(&search, state, entry, ground, site, now_us);
	fits = search_run(&search) && search.lost <= most_lost(entry, ground);
	count = fits ? search_members(&search, state->members) : 0;
	if (fits)
		stop_victims(&search, decisions);
	search_undo(&search);
	search_finish(&search);
	if (!fits)
		return false;
	if (entry->reservation)
		rj_topology_unreserve(state, entry->reservation);
	if (ground == GROUND_LAST_RESORT)
		rj_topology_displace(state, state->members, count, now_us);
	reservation = rj_topology_reserve(
		state, entry, state->members, count, true,
		now_us + state->limits.checkpoint_limit_ms * RJ_US_PER_MS +
			GRACE_US);
	reservation->reason = reason_of[ground];
	if (is_claim(ground))
		rj_topology_grant(entry);
	return true;
}

/*
 * The site where the job costs others least: a rack, or all racks for a
 * gang that may span them.
 */
static bool reclaim_on(struct rj_topology_state *state,
		       struct rj_plan_entry *entry, enum ground ground,
		       uint64_t now_us, struct rj_decisions *decisions)
{
	const struct rj_shape *shape = &entry->job.shape;
	uint64_t best_cost = RJ_NEVER_US;
	uint32_t best = 0;

	for (uint32_t i = 0; i < state->capacity.rack_count; i++) {
		uint64_t cost = cost_of(state, entry, ground,
					rj_topology_rack(state, i), now_us);

		if (cost >= best_cost)
			continue;
		best_cost = cost;
		best = i;
	}
	if (best_cost != RJ_NEVER_US)
		return carry_out(state, entry, ground,
				 rj_topology_rack(state, best), now_us,
				 decisions);
	if (shape->adjacent || shape->tasks == 1)
		return false;
	return carry_out(state, entry, ground, rj_topology_all(state), now_us,
			 decisions);
}

/*
 * Whether urgent work of the account may stop what others borrow: it has
 * waited a moment, and the account stays within guarantee and fair share.
 */
static bool may_hurry(const struct rj_topology_state *state,
		      const struct rj_plan_entry *entry, uint64_t now_us)
{
	const struct rj_plan_account *account = entry->account;

	return entry->job.priority == RJ_PRIORITY_URGENT &&
	       now_us >= entry->job.queued_us + URGENT_PATIENCE_US &&
	       account->used + rj_topology_size(entry) <=
		       account->guaranteed + rj_topology_fair(state, account);
}

/*
 * How long a gang waits before it may stop small work: the more the
 * operators weigh fragmentation against completion, the shorter.
 */
uint64_t rj_topology_patience_us(const struct rj_topology_state *state,
				 const struct rj_plan_entry *entry)
{
	uint32_t weight = MIN(state->limits.fragmentation_weight, 100);

	if (entry->job.priority == RJ_PRIORITY_URGENT)
		return URGENT_PATIENCE_US;
	if (rj_topology_size(entry) <= state->worker_accelerators)
		return RJ_NEVER_US;
	return GANG_PATIENCE_US + (100 - weight) * POINT_PATIENCE_US;
}

/*
 * Whether the gang has waited long enough for small work to make way.
 */
static bool may_make_way(const struct rj_topology_state *state,
			 const struct rj_plan_entry *entry, uint64_t now_us)
{
	uint64_t patience_us = rj_topology_patience_us(state, entry);

	return entry->job.priority != RJ_PRIORITY_URGENT &&
	       patience_us != RJ_NEVER_US &&
	       now_us >= entry->waiting_since_us + patience_us;
}

/*
 * Make room for a job that does not fit: first on the ground of its
 * account's guarantee, then of urgency, then of its own reservation, then of
 * its wait. Whole gangs are stopped, those with the least work lost. Returns whether room
 * is firmly kept now; it is free when all that was stopped has ended.
 */
bool rj_topology_reclaim(struct rj_topology_state *state,
			 struct rj_plan_entry *entry, uint64_t now_us,
			 struct rj_decisions *decisions)
{
	if (rj_topology_entitled(state, entry) &&
	    (reclaim_on(state, entry, GROUND_GUARANTEE, now_us, decisions) ||
	     reclaim_on(state, entry, GROUND_LAST_RESORT, now_us, decisions)))
		return true;
	if (may_hurry(state, entry, now_us) &&
	    reclaim_on(state, entry, GROUND_URGENT, now_us, decisions))
		return true;
	if (entry->reservation &&
	    reclaim_on(state, entry, GROUND_LOAN, now_us, decisions))
		return true;
	return may_make_way(state, entry, now_us) &&
	       reclaim_on(state, entry, GROUND_WAITED, now_us, decisions);
}
