#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_plan.h"
#include "private/cell_release.h"

/*
 * Urgent work comes in bursts and has no time to wait, so racks are reserved for
 * it: for this much more than it has used of late, and for one gang more. A
 * gang of the users' median takes 12 accelerators.
 */
#define RESERVED_FACTOR 1.8
#define RESERVED_EXTRA_ACCELERATORS 16.0
/*
 * Of what urgent work has used of late this part is closed to all others:
 * there it starts at once, where stopping others first takes some 0.4 s of
 * the 1.5 s that it can wait.
 */
#define EXCLUSIVE_FACTOR 1.6
/* Never more than this part of the racks; the rest serves all others. */
#define RESERVED_RACKS_PERCENT 67

/* Gathering a room takes so many times as long as weighing it. */
#define GATHER_WORKER_EFFORT 4

/* Add what some runs hold. */
static void add_allocation(struct rj_cell_allocation *allocation,
			   const struct rj_cell_demand *demand)
{
	allocation->cpu_milli += demand->cpu_milli;
	allocation->memory_mb += demand->memory_mb;
	allocation->accelerators += demand->accelerators;
}

/*
 * A task of a job is started.
 */
void rj_cell_plan_add_allocation(struct rj_cell_plan *plan,
				 const struct rj_cell_work *work,
				 const struct rj_cell_demand *demand)
{
	add_allocation(&plan->allocated[rj_cell_work_class(work)], demand);
}

/* What the priority of a run holds, or NULL: it is not on one of the plan's
 * rooms, or its job is not known. */
static struct rj_cell_allocation *allocation_of(struct rj_cell_plan *plan,
						const struct rj_cell_run *run)
{
	if (!run->task || !run->worker->plan_worker)
		return NULL;
	return &plan->allocated[rj_cell_work_class(run->task->round->work)];
}

/*
 * A run is not stopped after all, and counts as held again.
 */
void rj_cell_plan_restore_run(struct rj_cell_plan *plan,
			      const struct rj_cell_run *run)
{
	struct rj_cell_allocation *allocation = allocation_of(plan, run);

	if (allocation)
		add_allocation(allocation, &run->held);
}

/*
 * A run is stopped, and does not count as held any more.
 */
void rj_cell_plan_release_run(struct rj_cell_plan *plan,
			      const struct rj_cell_run *run)
{
	struct rj_cell_allocation *allocation = allocation_of(plan, run);

	if (!allocation)
		return;
	allocation->cpu_milli -= run->held.cpu_milli;
	allocation->memory_mb -= run->held.memory_mb;
	allocation->accelerators -= run->held.accelerators;
}

/* What is left of a capacity. */
static struct rj_cell_demand unallocated(const struct rj_cell_worker *worker)
{
	struct rj_cell_demand available = worker->said.capacity;

	rj_cell_demand_subtract(&available, &worker->held);
	return available;
}

/* Room that comes free when what is stopping has gone. */
static void add_stopping_runs(struct rj_cell_plan *plan,
			      struct rj_cell_plan_worker *plan_worker)
{
	const struct rj_list *at;

	for (at = plan_worker->worker->runs.next;
	     at != &plan_worker->worker->runs; at = at->next) {
		const struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		if (run->state != RJ_CELL_RUN_STOPPING)
			continue;
		rj_cell_demand_add(&plan_worker->free_after_stops, &run->held);
		rj_cell_plan_release_run(plan, run);
	}
}

/*
 * Add what is in use.
 */
void rj_cell_usage_add(struct rj_cell_usage *usage,
		       const struct rj_cell_demand *allocated)
{
	usage->cpu.used += allocated->cpu_milli;
	usage->memory.used += allocated->memory_mb;
	usage->accelerators.used += allocated->accelerators;
}

/* Add what one worker has. */
static void add_usage(struct rj_cell_usage *usage,
		      const struct rj_cell_worker *worker)
{
	const struct rj_cell_demand *capacity = &worker->said.capacity;

	rj_cell_usage_add(usage, &worker->held);
	usage->cpu.total += capacity->cpu_milli;
	usage->memory.total += capacity->memory_mb;
	usage->accelerators.total += capacity->accelerators;
}

/* How much of one kind of room is in use. */
static uint32_t percent(const struct rj_cell_utilization *share)
{
	return share->total ? (uint32_t)(share->used * 100 / share->total) : 0;
}

/*
 * How much of what counts most is in use, in percent.
 */
uint32_t rj_cell_usage_percent(const struct rj_cell_usage *usage)
{
	return MAX(percent(&usage->cpu),
		   MAX(percent(&usage->memory), percent(&usage->accelerators)));
}

/* Reserve one rack; returns its accelerators. */
static double reserve_rack(struct rj_cell_plan *plan,
			   const struct rj_cell_plan_rack *rack, bool exclusive)
{
	double accelerators = 0;

	for (uint32_t i = rack->first; i < rack->first + rack->count; i++) {
		struct rj_cell_plan_worker *plan_worker = &plan->workers[i];

		plan_worker->reserved = true;
		plan_worker->exclusive = exclusive;
		accelerators += plan_worker->worker->said.capacity.accelerators;
	}
	return accelerators;
}

/*
 * Reserve racks for urgent work.
 *
 * Load that it answers: bursts of urgent gangs, of which half must be in one
 * rack, over a site that longer work has filled. Without it each of them
 * stopped work that does not save its progress. Whole racks are reserved, as
 * room that is spread over all racks holds no gang. While other work misses its
 * objective, no more is reserved than urgent work uses, and one gang more.
 */
static void reserve_racks(struct rj_cell_plan *plan)
{
	double urgent = rj_cell_forecast_urgent_accelerators(plan->forecast,
							     plan->now_us);
	double need = RESERVED_FACTOR * urgent + RESERVED_EXTRA_ACCELERATORS;
	double exclusive = EXCLUSIVE_FACTOR * urgent;
	guint count = plan->racks->len * RESERVED_RACKS_PERCENT / 100;

	if (!plan->forecast->urgent_updated_us)
		return;
	if (plan->misses_objective) {
		need = MIN(need, (double)plan->allocated[0].accelerators +
					 RESERVED_EXTRA_ACCELERATORS);
		exclusive =
			MIN(exclusive, (double)plan->allocated[0].accelerators);
	}
	for (guint i = 0; i < count && need > 0; i++) {
		double reserved = reserve_rack(
			plan,
			&g_array_index(plan->racks, struct rj_cell_plan_rack,
				       i),
			exclusive > 0);

		need -= reserved;
		exclusive -= reserved;
	}
}

/* Racks of different failure domains take turns. */
static gint by_domain_rank(gconstpointer a, gconstpointer b)
{
	const struct rj_cell_plan_rack *left = a;
	const struct rj_cell_plan_rack *right = b;

	if (left->domain_rank != right->domain_rank)
		return left->domain_rank < right->domain_rank ? -1 : 1;
	return left->first < right->first ? -1 : 1;
}

/*
 * Put the racks in an order in which failure domains take turns.
 *
 * Load that it answers: the loss of a failure domain. What is reserved for
 * urgent work is at the front of that order.
 */
static void interleave_domains(struct rj_cell_plan *plan)
{
	g_array_sort(plan->racks, by_domain_rank);
}

/* Raise one bound by a room's share of it. */
static void raise_bound(struct rj_cell_demand *maximum,
			const struct rj_cell_demand *available)
{
	maximum->cpu_milli = MAX(maximum->cpu_milli, available->cpu_milli);
	maximum->memory_mb = MAX(maximum->memory_mb, available->memory_mb);
	maximum->accelerators =
		MAX(maximum->accelerators, available->accelerators);
}

/* Add the rooms of one rack, with bounds on what is free there. */
static void add_worker_range(struct rj_cell_plan *plan,
			     const struct rj_cell_plan_rack *rack)
{
	struct rj_cell_worker_range range = { .domain = rack->mixed_domains ?
								NULL :
								rack->domain,
					      .first = rack->first,
					      .count = rack->count };

	for (uint32_t i = rack->first; i < rack->first + rack->count; i++) {
		struct rj_cell_plan_worker *plan_worker = &plan->workers[i];

		plan_worker->range = plan->ranges->len;
		raise_bound(&range.free_now.max_per_worker,
			    &plan_worker->free_now);
		raise_bound(&range.free_after_stops.max_per_worker,
			    &plan_worker->free_after_stops);
		range.free_now.accelerators +=
			plan_worker->free_now.accelerators;
		range.free_after_stops.accelerators +=
			plan_worker->free_after_stops.accelerators;
	}
	g_array_append_val(plan->ranges, range);
}

/*
 * A trial has freed something of a room that comes free soon: the bounds of
 * its rack must not be too low.
 */
void rj_cell_plan_raise_bounds(struct rj_cell_plan *plan,
			       const struct rj_cell_plan_worker *plan_worker)
{
	struct rj_cell_worker_range *range = &g_array_index(
		plan->ranges, struct rj_cell_worker_range, plan_worker->range);

	raise_bound(&range->free_after_stops.max_per_worker,
		    &plan_worker->free_after_stops);
	range->free_after_stops.accelerators +=
		plan_worker->worker->said.capacity.accelerators;
}

/* Add the room of one worker, if it may get work. */
static void add_plan_worker(struct rj_cell_plan *plan,
			    struct rj_cell_worker *worker)
{
	struct rj_cell_plan_worker *plan_worker =
		&plan->workers[plan->worker_count];

	worker->plan_worker = NULL;
	if (!rj_cell_worker_usable(worker, plan->now_us))
		return;
	worker->plan_worker = plan_worker;
	plan_worker->worker = worker;
	plan_worker->free_now = unallocated(worker);
	plan_worker->serving_runs = worker->serving;
	plan_worker->other_runs = worker->filling;
	plan_worker->free_after_stops = plan_worker->free_now;
	if (worker->domain)
		worker->domain->urgent += worker->held_by[0].accelerators;
	add_usage(&plan->usage, worker);
	for (uint32_t i = 0; i < RJ_CELL_PRIORITIES; i++)
		add_allocation(&plan->allocated[i], &worker->held_by[i]);
	add_stopping_runs(plan, plan_worker);
	plan->worker_count++;
}

/*
 * Gather the rooms of all workers that may get work, rack by rack in an order
 * that does not change.
 */
void rj_cell_plan_gather_workers(struct rj_cell_plan *plan)
{
	const GPtrArray *racks = plan->fleet->racks;
	struct rj_cell_domain *domain;

	plan->workers = talloc_zero_array(NULL, struct rj_cell_plan_worker,
					  plan->fleet->count);
	assert(plan->workers || !plan->fleet->count);
	plan->releases = talloc_zero_array(
		plan->workers, struct rj_cell_releases, plan->fleet->count);
	assert(plan->releases || !plan->fleet->count);
	for (guint i = 0; i < plan->fleet->domains->len; i++) {
		domain = plan->fleet->domains->pdata[i];
		domain->urgent = 0;
		domain->racks = 0;
	}
	for (guint i = 0; i < racks->len; i++) {
		struct rj_cell_rack *rack = racks->pdata[i];
		struct rj_cell_plan_rack plan_rack = {
			.name = rack->name, .first = plan->worker_count
		};
		struct rj_list *at;
		struct rj_list *next;

		RJ_FOR_EACH (at, next, &rack->workers)
			add_plan_worker(plan,
					RJ_CONTAINER(at, struct rj_cell_worker,
						     in_rack));
		plan_rack.count = plan->worker_count - plan_rack.first;
		if (!plan_rack.count)
			continue;
		domain = plan->workers[plan_rack.first].worker->domain;
		plan_rack.domain = domain;
		for (uint32_t j = 1; j < plan_rack.count; j++)
			plan_rack.mixed_domains |=
				plan->workers[plan_rack.first + j]
					.worker->domain != domain;
		plan_rack.domain_rank = domain->racks++;
		plan_rack.range = plan->ranges->len;
		add_worker_range(plan, &plan_rack);
		g_array_append_val(plan->racks, plan_rack);
	}
	plan->effort += (uint64_t)plan->worker_count * GATHER_WORKER_EFFORT;
	interleave_domains(plan);
	reserve_racks(plan);
}
