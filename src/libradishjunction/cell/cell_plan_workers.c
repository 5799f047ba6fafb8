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
#define RESERVED_EXTRA 16.0
/*
 * Of what urgent work has used of late this part is closed to all others:
 * there it starts at once, where stopping others first takes some 0.4 s of
 * the 1.5 s that it can wait.
 */
#define EXCLUSIVE_FACTOR 1.6
/* Never more than this part of the racks; the rest serves all others. */
#define RESERVED_RACKS_PERCENT 67

/* Gathering a room takes so many times as long as weighing it. */
#define GATHER_EFFORT 4

/* Add what some runs hold. */
static void hold(struct rj_cell_allocation *held,
		 const struct rj_cell_demand *demand)
{
	held->cpu_milli += demand->cpu_milli;
	held->memory_mb += demand->memory_mb;
	held->accelerators += demand->accelerators;
}

/*
 * A task of a job is started.
 */
void rj_cell_plan_add_allocation(struct rj_cell_plan *plan,
				 const struct rj_cell_work *work,
				 const struct rj_cell_demand *demand)
{
	hold(&plan->held[rj_cell_work_class(work)], demand);
}

/* What the priority of a run holds, or NULL: it is not on one of the plan's
 * rooms, or its job is not known. */
static struct rj_cell_allocation *held_by(struct rj_cell_plan *plan,
					  const struct rj_cell_run *run)
{
	if (!run->task || !run->worker->room)
		return NULL;
	return &plan->held[rj_cell_work_class(run->task->round->work)];
}

/*
 * A run is not stopped after all, and counts as held again.
 */
void rj_cell_plan_restore_run(struct rj_cell_plan *plan,
			      const struct rj_cell_run *run)
{
	struct rj_cell_allocation *held = held_by(plan, run);

	if (held)
		hold(held, &run->held);
}

/*
 * A run is stopped, and does not count as held any more.
 */
void rj_cell_plan_release_run(struct rj_cell_plan *plan,
			      const struct rj_cell_run *run)
{
	struct rj_cell_allocation *held = held_by(plan, run);

	if (!held)
		return;
	held->cpu_milli -= run->held.cpu_milli;
	held->memory_mb -= run->held.memory_mb;
	held->accelerators -= run->held.accelerators;
}

/* What is left of a capacity. */
static struct rj_cell_demand room_of(const struct rj_cell_worker *worker)
{
	struct rj_cell_demand left = worker->said.capacity;

	rj_cell_demand_subtract(&left, &worker->held);
	return left;
}

/* Room that comes free when what is stopping has gone. */
static void add_stopping(struct rj_cell_plan *plan,
			 struct rj_cell_plan_worker *room)
{
	const struct rj_list *at;

	for (at = room->worker->runs.next; at != &room->worker->runs;
	     at = at->next) {
		const struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		if (run->state != RJ_CELL_RUN_STOPPING)
			continue;
		rj_cell_demand_add(&room->soon, &run->held);
		rj_cell_plan_release_run(plan, run);
	}
}

/*
 * Add what is in use.
 */
void rj_cell_usage_add(struct rj_cell_usage *usage,
		       const struct rj_cell_demand *used)
{
	usage->cpu.used += used->cpu_milli;
	usage->memory.used += used->memory_mb;
	usage->accelerators.used += used->accelerators;
}

/* Add what one worker has. */
static void add_worker(struct rj_cell_usage *usage,
		       const struct rj_cell_worker *worker)
{
	const struct rj_cell_demand *all = &worker->said.capacity;

	rj_cell_usage_add(usage, &worker->held);
	usage->cpu.all += all->cpu_milli;
	usage->memory.all += all->memory_mb;
	usage->accelerators.all += all->accelerators;
}

/* How much of one kind of room is in use. */
static uint32_t percent(const struct rj_cell_utilization *share)
{
	return share->all ? (uint32_t)(share->used * 100 / share->all) : 0;
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
		struct rj_cell_plan_worker *room = &plan->rooms[i];

		room->reserved = true;
		room->exclusive = exclusive;
		accelerators += room->worker->said.capacity.accelerators;
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
	double need = RESERVED_FACTOR * urgent + RESERVED_EXTRA;
	double exclusive = EXCLUSIVE_FACTOR * urgent;
	guint count = plan->racks->len * RESERVED_RACKS_PERCENT / 100;

	if (!plan->forecast->urgent_updated_us)
		return;
	if (plan->misses_objective) {
		need = MIN(need,
			   (double)plan->held[0].accelerators + RESERVED_EXTRA);
		exclusive = MIN(exclusive, (double)plan->held[0].accelerators);
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
static gint by_rank(gconstpointer a, gconstpointer b)
{
	const struct rj_cell_plan_rack *left = a;
	const struct rj_cell_plan_rack *right = b;

	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	return left->first < right->first ? -1 : 1;
}

/*
 * Put the racks in an order in which failure domains take turns.
 *
 * Load that it answers: the loss of a failure domain. What is reserved for
 * urgent work is at the front of that order.
 */
static void order_racks(struct rj_cell_plan *plan)
{
	g_array_sort(plan->racks, by_rank);
}

/* Raise one bound by a room's share of it. */
static void raise_bound(struct rj_cell_demand *most,
			const struct rj_cell_demand *have)
{
	most->cpu_milli = MAX(most->cpu_milli, have->cpu_milli);
	most->memory_mb = MAX(most->memory_mb, have->memory_mb);
	most->accelerators = MAX(most->accelerators, have->accelerators);
}

/* Add the rooms of one rack, with bounds on what is free there. */
static void add_range(struct rj_cell_plan *plan,
		      const struct rj_cell_plan_rack *rack)
{
	struct rj_cell_worker_range range = { .domain = rack->mixed ?
								NULL :
								rack->domain,
					      .first = rack->first,
					      .count = rack->count };

	for (uint32_t i = rack->first; i < rack->first + rack->count; i++) {
		struct rj_cell_plan_worker *room = &plan->rooms[i];

		room->rack = plan->ranges->len;
		raise_bound(&range.now.most, &room->now);
		raise_bound(&range.soon.most, &room->soon);
		range.now.accelerators += room->now.accelerators;
		range.soon.accelerators += room->soon.accelerators;
	}
	g_array_append_val(plan->ranges, range);
}

/*
 * A trial has freed something of a room that comes free soon: the bounds of
 * its rack must not be too low.
 */
void rj_cell_plan_raise_bounds(struct rj_cell_plan *plan,
			       const struct rj_cell_plan_worker *room)
{
	struct rj_cell_worker_range *range = &g_array_index(
		plan->ranges, struct rj_cell_worker_range, room->rack);

	raise_bound(&range->soon.most, &room->soon);
	range->soon.accelerators += room->worker->said.capacity.accelerators;
}

/* Add the room of one worker, if it may get work. */
static void add_room(struct rj_cell_plan *plan, struct rj_cell_worker *worker)
{
	struct rj_cell_plan_worker *room = &plan->rooms[plan->room_count];

	worker->room = NULL;
	if (!rj_cell_worker_usable(worker, plan->now_us))
		return;
	worker->room = room;
	room->worker = worker;
	room->now = room_of(worker);
	room->serving = worker->serving;
	room->filling = worker->filling;
	room->soon = room->now;
	if (worker->domain)
		worker->domain->urgent += worker->held_by[0].accelerators;
	add_worker(&plan->usage, worker);
	for (uint32_t i = 0; i < RJ_CELL_PRIORITIES; i++)
		hold(&plan->held[i], &worker->held_by[i]);
	add_stopping(plan, room);
	plan->room_count++;
}

/*
 * Gather the rooms of all workers that may get work, rack by rack in an order
 * that does not change.
 */
void rj_cell_plan_gather_workers(struct rj_cell_plan *plan)
{
	const GPtrArray *racks = plan->fleet->racks;
	struct rj_cell_domain *domain;

	plan->rooms = talloc_zero_array(NULL, struct rj_cell_plan_worker,
					plan->fleet->count);
	assert(plan->rooms || !plan->fleet->count);
	plan->releases = talloc_zero_array(plan->rooms, struct rj_cell_releases,
					   plan->fleet->count);
	assert(plan->releases || !plan->fleet->count);
	for (guint i = 0; i < plan->fleet->domains->len; i++) {
		domain = plan->fleet->domains->pdata[i];
		domain->urgent = 0;
		domain->racks = 0;
	}
	for (guint i = 0; i < racks->len; i++) {
		struct rj_cell_rack *rack = racks->pdata[i];
		struct rj_cell_plan_rack rooms = { .name = rack->name,
						   .first = plan->room_count };
		struct rj_list *at;
		struct rj_list *next;

		RJ_FOR_EACH (at, next, &rack->workers)
			add_room(plan, RJ_CONTAINER(at, struct rj_cell_worker,
						    in_rack));
		rooms.count = plan->room_count - rooms.first;
		if (!rooms.count)
			continue;
		domain = plan->rooms[rooms.first].worker->domain;
		rooms.domain = domain;
		for (uint32_t j = 1; j < rooms.count; j++)
			rooms.mixed |=
				plan->rooms[rooms.first + j].worker->domain !=
				domain;
		rooms.rank = domain->racks++;
		rooms.range = plan->ranges->len;
		add_range(plan, &rooms);
		g_array_append_val(plan->racks, rooms);
	}
	plan->effort += (uint64_t)plan->room_count * GATHER_EFFORT;
	order_racks(plan);
	reserve_racks(plan);
}
