#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_plan.h"

/*
 * Urgent work comes in bursts and has no time to wait, so racks are kept for
 * it: for this much more than it has used of late, and for one gang more. A
 * gang of the users' median takes 12 accelerators.
 */
#define KEPT_FACTOR 1.8
#define KEPT_EXTRA 16.0
/*
 * Of what urgent work has used of late this part is closed to all others:
 * there it starts at once, where stopping others first takes some 0.4 s of
 * the 1.5 s that it can wait.
 */
#define CLOSED_FACTOR 1.6
/* Never more than this part of the racks; the rest serves all others. */
#define KEPT_RACKS_PERCENT 67

/* What is left of a capacity. */
static struct rj_cell_demand room_of(const struct rj_cell_worker *worker)
{
	struct rj_cell_demand left = worker->said.capacity;

	rj_cell_demand_take(&left, &worker->held);
	return left;
}

/* Room that comes free when what is stopping has gone. */
static void add_stopping(struct rj_cell_room *room)
{
	const struct rj_list *at;

	for (at = room->worker->runs.next; at != &room->worker->runs;
	     at = at->next) {
		const struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		if (run->state == RJ_CELL_RUN_STOPPING)
			rj_cell_demand_give(&room->soon, &run->held);
	}
}

/* A part of a whole in percent. */
static uint32_t percent(uint64_t part, uint64_t whole)
{
	return whole ? (uint32_t)(part * 100 / whole) : 0;
}

/* How much of what counts most is in use. */
static uint32_t used_percent(const struct rj_cell_plan *plan)
{
	uint64_t cpu[2] = { 0 };
	uint64_t memory[2] = { 0 };
	uint64_t accelerators[2] = { 0 };

	for (uint32_t i = 0; i < plan->room_count; i++) {
		const struct rj_cell_worker *worker = plan->rooms[i].worker;

		cpu[0] += worker->held.cpu_milli;
		cpu[1] += worker->said.capacity.cpu_milli;
		memory[0] += worker->held.memory_mb;
		memory[1] += worker->said.capacity.memory_mb;
		accelerators[0] += worker->held.accelerators;
		accelerators[1] += worker->said.capacity.accelerators;
	}
	return MAX(percent(cpu[0], cpu[1]),
		   MAX(percent(memory[0], memory[1]),
		       percent(accelerators[0], accelerators[1])));
}

/* Names in their order. */
static gint by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* The racks of all rooms, each once, in an order that does not change. */
static GPtrArray *list_racks(const struct rj_cell_plan *plan)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *racks = g_ptr_array_new();

	for (uint32_t i = 0; i < plan->room_count; i++) {
		char *rack = plan->rooms[i].worker->said.rack;

		if (g_hash_table_add(seen, rack))
			g_ptr_array_add(racks, rack);
	}
	g_hash_table_destroy(seen);
	g_ptr_array_sort(racks, by_name);
	return racks;
}

/* Keep one rack; returns its accelerators. */
static double keep_rack(struct rj_cell_plan *plan, const char *rack,
			bool closed)
{
	double accelerators = 0;

	for (uint32_t i = 0; i < plan->room_count; i++) {
		struct rj_cell_room *room = &plan->rooms[i];

		if (strcmp(room->worker->said.rack, rack) != 0)
			continue;
		room->kept = true;
		room->closed = closed;
		accelerators += room->worker->said.capacity.accelerators;
	}
	return accelerators;
}

/*
 * Keep racks for urgent work.
 *
 * Load that it answers: bursts of urgent gangs, of which half must be in one
 * rack, over a site that longer work has filled. Without it each of them
 * stopped work that does not save its progress. Whole racks are kept, as
 * room that is spread over all racks holds no gang.
 */
static void keep_racks(struct rj_cell_plan *plan)
{
	double urgent = rj_cell_forecast_urgent(plan->forecast, plan->now_us);
	double need = KEPT_FACTOR * urgent + KEPT_EXTRA;
	double closed = CLOSED_FACTOR * urgent;
	GPtrArray *racks;

	if (!plan->forecast->urgent_us)
		return;
	racks = list_racks(plan);
	for (guint i = 0; i < racks->len * KEPT_RACKS_PERCENT / 100 && need > 0;
	     i++) {
		double kept = keep_rack(plan, racks->pdata[i], closed > 0);

		need -= kept;
		closed -= kept;
	}
	g_ptr_array_free(racks, TRUE);
}

/*
 * Gather the rooms of all workers that may get work.
 */
void rj_cell_plan_gather_rooms(struct rj_cell_plan *plan)
{
	struct rj_list *at;
	struct rj_list *next;

	plan->rooms = talloc_zero_array(NULL, struct rj_cell_room,
					plan->fleet->count);
	assert(plan->rooms || !plan->fleet->count);
	RJ_FOR_EACH (at, next, &plan->fleet->workers) {
		struct rj_cell_room *room = &plan->rooms[plan->room_count];

		room->worker = RJ_CONTAINER(at, struct rj_cell_worker, link);
		if (!rj_cell_worker_usable(room->worker, plan->now_us))
			continue;
		room->usable = true;
		room->now = room_of(room->worker);
		room->soon = room->now;
		add_stopping(room);
		plan->room_count++;
	}
	plan->used_percent = used_percent(plan);
	keep_racks(plan);
}
