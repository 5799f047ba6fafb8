#include "private/capacity.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/*
 * Initialises with no workers. All memory is a talloc child of `mem`.
 */
void rj_capacity_init(struct rj_capacity *capacity, void *mem)
{
	memset(capacity, 0, sizeof(*capacity));
	capacity->by_id = g_hash_table_new(NULL, NULL);
	capacity->mem = talloc_new(mem);
}

void rj_capacity_finish(struct rj_capacity *capacity)
{
	g_hash_table_destroy(capacity->by_id);
	TALLOC_FREE(capacity->mem);
}

/*
 * Returns the worker with this id, or NULL.
 */
struct rj_capacity_worker *rj_capacity_find(const struct rj_capacity *capacity,
					    uint32_t id)
{
	return g_hash_table_lookup(capacity->by_id, GUINT_TO_POINTER(id));
}

/*
 * Subtracts `part` from `have`, saturating at 0 in each dimension. A report of
 * foreign tasks may be late and temporarily too high.
 */
void rj_resources_subtract_saturating(struct rj_resources *have,
				      const struct rj_resources *part)
{
	have->slots -= MIN(have->slots, part->slots);
	have->accelerators -= MIN(have->accelerators, part->accelerators);
	have->cores -= MIN(have->cores, part->cores);
	have->memory_mb -= MIN(have->memory_mb, part->memory_mb);
}

/*
 * Limits `have` to at most `limit` in each dimension.
 */
void rj_resources_clamp(struct rj_resources *have,
			const struct rj_resources *limit)
{
	have->slots = MIN(have->slots, limit->slots);
	have->accelerators = MIN(have->accelerators, limit->accelerators);
	have->cores = MIN(have->cores, limit->cores);
	have->memory_mb = MIN(have->memory_mb, limit->memory_mb);
}

/*
 * Recomputes the free capacity of `worker`. In a peer's rack it is limited to
 * what that peer offers.
 *
 * The limit guards against an instance that runs a job in a rack it does not
 * own: when the job ends, even if the owner preempted it for a guarantee, the
 * instance would reuse the capacity before the owner sees it free. The owner
 * would then reclaim the same guaranteed shape repeatedly.
 */
static void update_free(struct rj_capacity_worker *worker)
{
	memset(&worker->free, 0, sizeof(worker->free));
	if (!worker->plan.usable || worker->removed)
		return;
	worker->free = worker->plan.capacity;
	rj_resources_subtract_saturating(&worker->free, &worker->plan.foreign);
	rj_resources_subtract_saturating(&worker->free, &worker->allocated);
	if (worker->plan.limited)
		rj_resources_clamp(&worker->free, &worker->plan.offered);
}

/*
 * Returns the index of rack `number`, or where it would be inserted.
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
 * Returns the rack with this number, or NULL if none of its workers is known.
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
 * Returns the rack with this number, creating it if necessary.
 */
static struct rj_capacity_rack *rack_get(struct rj_capacity *capacity,
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

static bool position_is_taken(const struct rj_capacity_rack *rack,
			      uint32_t position)
{
	for (uint32_t i = 0; i < rack->count; i++)
		if (rack->workers[i]->position == position)
			return true;
	return false;
}

/*
 * Returns the lowest unused position of `rack`. A replacement thus takes the
 * position of the worker it replaces, and the others keep theirs.
 */
static uint32_t free_position(const struct rj_capacity_rack *rack)
{
	uint32_t position = 0;

	while (position_is_taken(rack, position))
		position++;
	return position;
}

/*
 * Sort order within a rack: by name, which is the same at every instance, then
 * by id for workers without a name.
 */
static bool precedes(const struct rj_capacity_worker *one,
		     const struct rj_capacity_worker *two)
{
	int order = strcmp(one->plan.name, two->plan.name);

	return order ? order < 0 : one->plan.id < two->plan.id;
}

/*
 * Assigns the rack's workers their positions by name.
 *
 * Guards against instances that discover workers in different orders and map a
 * guarantee to different workers. Non-preemptible work that one instance places
 * beside the guarantee would then occupy it as seen by the other, and the
 * guaranteed shape would wait for that work to end.
 */
static void assign_positions(const struct rj_capacity_rack *rack)
{
	for (uint32_t i = 0; i < rack->count; i++)
		rack->workers[i]->position = i;
}

static void rack_insert(struct rj_capacity *capacity,
			struct rj_capacity_worker *worker)
{
	struct rj_capacity_rack *rack = rack_get(capacity, worker->plan.rack);
	uint32_t at = rack->count;

	worker->position = free_position(rack);
	rack->workers =
		talloc_realloc(rack, rack->workers, struct rj_capacity_worker *,
			       rack->count + 1);
	assert(rack->workers);
	while (at && precedes(worker, rack->workers[at - 1])) {
		rack->workers[at] = rack->workers[at - 1];
		at--;
	}
	rack->workers[at] = worker;
	rack->count++;
	if (worker->plan.name[0])
		assign_positions(rack);
}

/*
 * Removes `worker` from its rack, and the rack when it is empty.
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
 * Adds or updates a worker.
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
	worker->removed = false;
	update_free(worker);
	return worker;
}

static void free_worker(struct rj_capacity *capacity,
			struct rj_capacity_worker *worker)
{
	rack_remove(capacity, worker);
	g_hash_table_remove(capacity->by_id, GUINT_TO_POINTER(worker->plan.id));
	capacity->worker_count--;
	talloc_free(worker);
}

/*
 * Marks the worker as removed. It is freed once it runs no task of this
 * planner.
 */
void rj_capacity_remove(struct rj_capacity *capacity, uint32_t id)
{
	struct rj_capacity_worker *worker = rj_capacity_find(capacity, id);

	if (!worker)
		return;
	worker->removed = true;
	update_free(worker);
	if (!worker->tasks)
		free_worker(capacity, worker);
}

/*
 * Adds an unusable placeholder for a worker that is not known yet. An adopted
 * job may be found before its worker is described, and its capacity must be
 * allocated nonetheless.
 */
static struct rj_capacity_worker *add_placeholder(struct rj_capacity *capacity,
						  uint32_t id)
{
	struct rj_plan_worker plan = { .id = id, .rack = UINT32_MAX };
	struct rj_capacity_worker *worker = rj_capacity_set(capacity, &plan);

	worker->removed = true;
	return worker;
}

/*
 * Allocates capacity on the workers of `members`.
 */
void rj_capacity_allocate(struct rj_capacity *capacity,
			  const struct rj_resources *each,
			  const struct rj_plan_member *members, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		struct rj_capacity_worker *worker =
			rj_capacity_find(capacity, members[i].worker);

		if (!worker)
			worker = add_placeholder(capacity, members[i].worker);
		rj_resources_add(&worker->allocated, each, members[i].tasks);
		worker->tasks += members[i].tasks;
		update_free(worker);
	}
}

/*
 * Releases capacity on the workers of `members`.
 */
void rj_capacity_release(struct rj_capacity *capacity,
			 const struct rj_resources *each,
			 const struct rj_plan_member *members, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		struct rj_capacity_worker *worker =
			rj_capacity_find(capacity, members[i].worker);

		assert(worker && worker->tasks >= members[i].tasks);
		rj_resources_subtract(&worker->allocated, each,
				      members[i].tasks);
		worker->tasks -= members[i].tasks;
		update_free(worker);
		if (worker->removed && !worker->tasks)
			free_worker(capacity, worker);
	}
}

bool rj_shape_equal(const struct rj_shape *one, const struct rj_shape *two)
{
	return one->tasks == two->tasks && one->adjacent == two->adjacent &&
	       !memcmp(&one->each, &two->each, sizeof(one->each));
}

/*
 * Returns how many times `each` fits into `have`, at most `limit`.
 */
uint32_t rj_resources_fit_count(const struct rj_resources *each,
				const struct rj_resources *have, uint32_t limit)
{
	uint32_t times = limit;

	/* Avoids the divisions, as most searches end here. */
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
 * Whether `shape` would fit on idle workers: on the known workers, or on the
 * domain as configured (`domain` may be NULL), since not all workers have
 * reported yet after a start.
 */
bool rj_capacity_could_fit(const struct rj_capacity *capacity,
			   const struct rj_domain *domain,
			   const struct rj_shape *shape)
{
	uint64_t all = 0;
	uint64_t limit = 0;

	for (uint32_t i = 0; i < capacity->rack_count; i++) {
		const struct rj_capacity_rack *rack = capacity->racks[i];
		uint64_t here = 0;

		for (uint32_t j = 0; j < rack->count; j++)
			here += rj_resources_fit_count(
				&shape->each, &rack->workers[j]->plan.capacity,
				shape->tasks);
		all += here;
		limit = MAX(limit, here);
	}
	if (domain && domain->racks) {
		uint64_t here = rj_resources_fit_count(
			&shape->each, &domain->worker, shape->tasks);

		here *= domain->workers_per_rack;
		limit = MAX(limit, here);
		all = MAX(all, here * domain->racks);
	}
	return (shape->adjacent ? limit : all) >= shape->tasks;
}

/*
 * Adds the accelerators to `view`: all, free, and stranded ones, which are free
 * but unusable for shape `largest` (NULL: no job waits).
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

			if (!worker->plan.usable || worker->removed)
				continue;
			view->accelerators +=
				worker->plan.capacity.accelerators;
			view->accelerators_free += worker->free.accelerators;
			if (largest)
				tasks += rj_resources_fit_count(&largest->each,
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
