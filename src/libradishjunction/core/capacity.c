#include "private/capacity.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/*
 * Start with no workers. All memory is a talloc child of `mem`.
 */
void rj_capacity_init(struct rj_capacity *capacity, void *mem)
{
	memset(capacity, 0, sizeof(*capacity));
	capacity->by_id = g_hash_table_new(NULL, NULL);
	capacity->mem = talloc_new(mem);
}

/*
 * Free all workers.
 */
void rj_capacity_finish(struct rj_capacity *capacity)
{
	g_hash_table_destroy(capacity->by_id);
	TALLOC_FREE(capacity->mem);
}

/*
 * The worker with this id, or NULL.
 */
struct rj_capacity_worker *rj_capacity_find(const struct rj_capacity *capacity,
					    uint32_t id)
{
	return g_hash_table_lookup(capacity->by_id, GUINT_TO_POINTER(id));
}

/*
 * What remains of `have` after `part`, and 0 where `part` is larger: a
 * report of foreign tasks may come late and be too high for a while.
 */
void rj_resources_take_or_zero(struct rj_resources *have,
			       const struct rj_resources *part)
{
	have->slots -= MIN(have->slots, part->slots);
	have->accelerators -= MIN(have->accelerators, part->accelerators);
	have->cores -= MIN(have->cores, part->cores);
	have->memory_mb -= MIN(have->memory_mb, part->memory_mb);
}

/*
 * Cut `have` down to `limit` in each dimension.
 */
void rj_resources_limit(struct rj_resources *have,
			const struct rj_resources *limit)
{
	have->slots = MIN(have->slots, limit->slots);
	have->accelerators = MIN(have->accelerators, limit->accelerators);
	have->cores = MIN(have->cores, limit->cores);
	have->memory_mb = MIN(have->memory_mb, limit->memory_mb);
}

/*
 * Work out again what is free on `worker`. In the rack of a peer it is no
 * more than that peer offers.
 *
 * Guards against an instance that drives work in a rack that is not its own:
 * it would fill what its own job leaves before the rack's owner hears of it,
 * even if the job was stopped for a guarantee. It shows as a shape that is
 * reclaimed again and again.
 */
static void refresh(struct rj_capacity_worker *worker)
{
	memset(&worker->free, 0, sizeof(worker->free));
	if (!worker->plan.usable || worker->gone)
		return;
	worker->free = worker->plan.capacity;
	rj_resources_take_or_zero(&worker->free, &worker->plan.foreign);
	rj_resources_take_or_zero(&worker->free, &worker->taken);
	if (worker->plan.limited)
		rj_resources_limit(&worker->free, &worker->plan.offered);
}

/*
 * The place of rack `number` in the list, or where it would be put.
 */
static uint32_t rack_index(const struct rj_capacity *capacity, uint32_t number)
{
	uint32_t low = 0;
	uint32_t high = capacity->rack_count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (capacity->racks[middle]->number < number)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/*
 * The rack with this number, or NULL if no worker of it is known.
 */
const struct rj_capacity_rack *
rj_capacity_rack_find(const struct rj_capacity *capacity, uint32_t number)
{
	uint32_t index = rack_index(capacity, number);

	if (index == capacity->rack_count ||
	    capacity->racks[index]->number != number)
		return NULL;
	return capacity->racks[index];
}

/*
 * The rack with this number, made if it is not known yet.
 */
static struct rj_capacity_rack *rack_of(struct rj_capacity *capacity,
					uint32_t number)
{
	uint32_t index = rack_index(capacity, number);
	struct rj_capacity_rack *rack;

	if (index < capacity->rack_count &&
	    capacity->racks[index]->number == number)
		return capacity->racks[index];
	capacity->racks = talloc_realloc(capacity->mem, capacity->racks,
					 struct rj_capacity_rack *,
					 capacity->rack_count + 1);
	assert(capacity->racks);
	memmove(&capacity->racks[index + 1], &capacity->racks[index],
		(capacity->rack_count - index) * sizeof(void *));
	rack = talloc_zero(capacity->mem, struct rj_capacity_rack);
	assert(rack);
	rack->number = number;
	capacity->racks[index] = rack;
	capacity->rack_count++;
	return rack;
}

/*
 * Whether a worker of `rack` has this position.
 */
static bool position_is_taken(const struct rj_capacity_rack *rack,
			      uint32_t position)
{
	for (uint32_t i = 0; i < rack->count; i++)
		if (rack->workers[i]->position == position)
			return true;
	return false;
}

/*
 * The lowest position of `rack` that no worker has. A replacement thus takes
 * the place of the worker that went, and the others keep theirs.
 */
static uint32_t free_position(const struct rj_capacity_rack *rack)
{
	uint32_t position = 0;

	while (position_is_taken(rack, position))
		position++;
	return position;
}

/*
 * Whether `one` stands before `two` in their rack: by name, which is the same
 * at every instance, and by id among workers without one.
 */
static bool stands_before(const struct rj_capacity_worker *one,
			  const struct rj_capacity_worker *two)
{
	int order = strcmp(one->plan.name, two->plan.name);

	return order ? order < 0 : one->plan.id < two->plan.id;
}

/*
 * Give the rack's workers their positions by name.
 *
 * Guards against two instances that learnt of the workers in different
 * orders: each would lay an account's guarantee on other workers, and what
 * one places beside it sits on it as the other sees it. It shows as a shape
 * that waits for the end of work that cannot be stopped.
 */
static void rank_by_name(const struct rj_capacity_rack *rack)
{
	for (uint32_t i = 0; i < rack->count; i++)
		rack->workers[i]->position = i;
}

/*
 * Put `worker` into its rack.
 */
static void rack_insert(struct rj_capacity *capacity,
			struct rj_capacity_worker *worker)
{
	struct rj_capacity_rack *rack = rack_of(capacity, worker->plan.rack);
	uint32_t at = rack->count;

	worker->position = free_position(rack);
	rack->workers =
		talloc_realloc(rack, rack->workers, struct rj_capacity_worker *,
			       rack->count + 1);
	assert(rack->workers);
	while (at && stands_before(worker, rack->workers[at - 1])) {
		rack->workers[at] = rack->workers[at - 1];
		at--;
	}
	rack->workers[at] = worker;
	rack->count++;
	if (worker->plan.name[0])
		rank_by_name(rack);
}

/*
 * Take `worker` out of its rack, and the rack out of the list with its last.
 */
static void rack_remove(struct rj_capacity *capacity,
			struct rj_capacity_worker *worker)
{
	uint32_t index = rack_index(capacity, worker->plan.rack);
	struct rj_capacity_rack *rack = capacity->racks[index];
	uint32_t at = 0;

	while (rack->workers[at] != worker)
		at++;
	rack->count--;
	memmove(&rack->workers[at], &rack->workers[at + 1],
		(rack->count - at) * sizeof(void *));
	if (rack->count)
		return;
	talloc_free(rack);
	capacity->rack_count--;
	memmove(&capacity->racks[index], &capacity->racks[index + 1],
		(capacity->rack_count - index) * sizeof(void *));
}

/*
 * Add a worker, or take over what is newly known of it.
 */
struct rj_capacity_worker *rj_capacity_set(struct rj_capacity *capacity,
					   const struct rj_plan_worker *plan)
{
	struct rj_capacity_worker *worker =
		rj_capacity_find(capacity, plan->id);

	if (worker && worker->plan.rack != plan->rack) {
		rack_remove(capacity, worker);
		worker->plan = *plan;
		rack_insert(capacity, worker);
	} else if (worker) {
		worker->plan = *plan;
	} else {
		worker = talloc_zero(capacity->mem, struct rj_capacity_worker);
		assert(worker);
		worker->plan = *plan;
		rack_insert(capacity, worker);
		g_hash_table_insert(capacity->by_id, GUINT_TO_POINTER(plan->id),
				    worker);
		capacity->worker_count++;
	}
	worker->gone = false;
	refresh(worker);
	return worker;
}

/*
 * Forget `worker`.
 */
static void drop(struct rj_capacity *capacity,
		 struct rj_capacity_worker *worker)
{
	rack_remove(capacity, worker);
	g_hash_table_remove(capacity->by_id, GUINT_TO_POINTER(worker->plan.id));
	capacity->worker_count--;
	talloc_free(worker);
}

/*
 * The worker is no more. It is forgotten once nothing of ours is on it.
 */
void rj_capacity_remove(struct rj_capacity *capacity, uint32_t id)
{
	struct rj_capacity_worker *worker = rj_capacity_find(capacity, id);

	if (!worker)
		return;
	worker->gone = true;
	refresh(worker);
	if (!worker->tasks)
		drop(capacity, worker);
}

/*
 * Stand in for a worker that is not known yet: an adopted job may be found
 * before its worker is described, and its capacity must be taken then.
 */
static struct rj_capacity_worker *stand_in(struct rj_capacity *capacity,
					   uint32_t id)
{
	struct rj_plan_worker plan = { .id = id, .rack = UINT32_MAX };
	struct rj_capacity_worker *worker = rj_capacity_set(capacity, &plan);

	worker->gone = true;
	return worker;
}

/*
 * Count the tasks of `members` as running.
 */
void rj_capacity_take(struct rj_capacity *capacity,
		      const struct rj_resources *each,
		      const struct rj_plan_member *members, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		struct rj_capacity_worker *worker =
			rj_capacity_find(capacity, members[i].worker);

		if (!worker)
			worker = stand_in(capacity, members[i].worker);
		rj_resources_add(&worker->taken, each, members[i].tasks);
		worker->tasks += members[i].tasks;
		refresh(worker);
	}
}

/*
 * Count the tasks of `members` as ended.
 */
void rj_capacity_give(struct rj_capacity *capacity,
		      const struct rj_resources *each,
		      const struct rj_plan_member *members, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		struct rj_capacity_worker *worker =
			rj_capacity_find(capacity, members[i].worker);

		assert(worker && worker->tasks >= members[i].tasks);
		rj_resources_subtract(&worker->taken, each, members[i].tasks);
		worker->tasks -= members[i].tasks;
		refresh(worker);
		if (worker->gone && !worker->tasks)
			drop(capacity, worker);
	}
}

/*
 * Whether two shapes ask for the same.
 */
bool rj_shape_equal(const struct rj_shape *one, const struct rj_shape *two)
{
	return one->tasks == two->tasks && one->adjacent == two->adjacent &&
	       !memcmp(&one->each, &two->each, sizeof(one->each));
}

/*
 * How many times `each` fits into `have`, counted up to `most`.
 */
uint32_t rj_resources_times(const struct rj_resources *each,
			    const struct rj_resources *have, uint32_t most)
{
	uint32_t times = most;

	/* Divisions are dear, and most searches end here. */
	if (!rj_resources_fit(each, have))
		return 0;
	if (each->slots)
		times = MIN(times, have->slots / each->slots);
	if (each->accelerators)
		times = MIN(times, have->accelerators / each->accelerators);
	if (each->cores)
		times = MIN(times, have->cores / each->cores);
	if (each->memory_mb)
		times = MIN(times, have->memory_mb / each->memory_mb);
	return times;
}

/*
 * Whether `shape` would fit if nothing ran: on the workers that are known,
 * or on the domain as it is configured (`domain` may be NULL), since after
 * a start not every worker has reported yet.
 */
bool rj_capacity_could_fit(const struct rj_capacity *capacity,
			   const struct rj_domain *domain,
			   const struct rj_shape *shape)
{
	uint64_t all = 0;
	uint64_t most = 0;

	for (uint32_t i = 0; i < capacity->rack_count; i++) {
		const struct rj_capacity_rack *rack = capacity->racks[i];
		uint64_t here = 0;

		for (uint32_t j = 0; j < rack->count; j++)
			here += rj_resources_times(
				&shape->each, &rack->workers[j]->plan.capacity,
				shape->tasks);
		all += here;
		most = MAX(most, here);
	}
	if (domain && domain->racks) {
		uint64_t here = rj_resources_times(
			&shape->each, &domain->worker, shape->tasks);

		here *= domain->workers_per_rack;
		most = MAX(most, here);
		all = MAX(all, here * domain->racks);
	}
	return (shape->adjacent ? most : all) >= shape->tasks;
}

/*
 * Count the accelerators into `view`: all, free, and free ones that a job
 * of shape `largest` (NULL if none waits) could not use as they lie.
 */
void rj_capacity_view(const struct rj_capacity *capacity,
		      const struct rj_shape *largest, struct rj_plan_view *view)
{
	uint64_t usable = 0;

	for (uint32_t i = 0; i < capacity->rack_count; i++) {
		const struct rj_capacity_rack *rack = capacity->racks[i];
		uint64_t tasks = 0;

		for (uint32_t j = 0; j < rack->count; j++) {
			const struct rj_capacity_worker *worker =
				rack->workers[j];

			if (!worker->plan.usable || worker->gone)
				continue;
			view->accelerators +=
				worker->plan.capacity.accelerators;
			view->accelerators_free += worker->free.accelerators;
			if (largest)
				tasks += rj_resources_times(&largest->each,
							    &worker->free,
							    UINT16_MAX);
		}
		if (!largest)
			continue;
		if (largest->adjacent)
			tasks -= tasks % largest->tasks;
		usable += tasks;
	}
	if (!largest)
		return;
	usable -= usable % largest->tasks;
	usable *= largest->each.accelerators;
	view->accelerators_stranded =
		view->accelerators_free -
		MIN(usable, (uint64_t)view->accelerators_free);
}
