#include "private/guarantee_layout.h"

#include <assert.h>
#include <talloc.h>

#include "private/capacity.h"

/*
 * Initialise with an empty domain; memory is a talloc child of `mem`.
 */
void rj_layout_init(struct rj_layout *layout, void *mem,
		    const struct rj_domain *domain)
{
	uint32_t workers = domain->racks * domain->workers_per_rack;

	layout->domain = domain;
	layout->free = talloc_array(mem, struct rj_resources, workers);
	assert(layout->free);
	for (uint32_t i = 0; i < workers; i++)
		layout->free[i] = domain->worker;
}

void rj_layout_finish(struct rj_layout *layout)
{
	TALLOC_FREE(layout->free);
}

/*
 * Order shapes by decreasing difficulty of placement: adjacent shapes first, by
 * the accelerators of the whole shape; then the others, by the accelerators of
 * one task. Ties are ordered by the slots of one task. The caller must keep
 * equal shapes (0) in configuration order.
 */
int rj_layout_compare(const struct rj_shape *one, const struct rj_shape *two)
{
	uint64_t one_size = (uint64_t)one->each.accelerators *
			    (one->adjacent ? one->tasks : 1);
	uint64_t two_size = (uint64_t)two->each.accelerators *
			    (two->adjacent ? two->tasks : 1);

	if (one->adjacent != two->adjacent)
		return one->adjacent ? -1 : 1;
	if (one_size != two_size)
		return one_size > two_size ? -1 : 1;
	if (one->each.slots != two->each.slots)
		return one->each.slots > two->each.slots ? -1 : 1;
	return 0;
}

/*
 * Record the tasks placed on a worker, unless `parts` is NULL.
 */
static void record_part(const struct rj_layout *layout,
			struct rj_layout_parts *parts, uint32_t worker,
			uint32_t tasks)
{
	uint32_t width = layout->domain->workers_per_rack;

	if (!parts)
		return;
	parts->list = talloc_realloc(parts->mem, parts->list,
				     struct rj_layout_part, parts->count + 1);
	assert(parts->list);
	parts->list[parts->count].rack = worker / width;
	parts->list[parts->count].position = worker % width;
	parts->list[parts->count].tasks = tasks;
	parts->count++;
}

/*
 * Place up to `tasks` tasks on `count` workers from `first` on. Workers that
 * fit the fewest tasks are filled first, to keep empty workers empty. Returns
 * the number of tasks that could not be placed.
 */
static uint32_t place_tasks(struct rj_layout *layout,
			    const struct rj_resources *each, uint32_t tasks,
			    uint32_t first, uint32_t count,
			    struct rj_layout_parts *parts)
{
	while (tasks) {
		uint32_t best_fit = UINT32_MAX;
		uint32_t best = 0;

		for (uint32_t i = first; i < first + count; i++) {
			uint32_t fit = rj_resources_fit_count(
				each, &layout->free[i], UINT32_MAX);

			if (fit && fit < best_fit) {
				best_fit = fit;
				best = i;
			}
		}
		if (best_fit == UINT32_MAX)
			return tasks;
		best_fit = MIN(best_fit, tasks);
		rj_resources_subtract(&layout->free[best], each, best_fit);
		record_part(layout, parts, best, best_fit);
		tasks -= best_fit;
	}
	return 0;
}

/*
 * The number of tasks of size `each` that fit the workers of a rack; a task
 * does not span workers.
 */
static uint64_t tasks_in_rack(const struct rj_layout *layout, uint32_t rack,
			      const struct rj_resources *each)
{
	uint32_t width = layout->domain->workers_per_rack;
	uint64_t sum = 0;

	for (uint32_t i = 0; i < width; i++)
		sum += rj_resources_fit_count(
			each, &layout->free[rack * width + i], UINT32_MAX);
	return sum;
}

/*
 * Place the shape in the rack with the least sufficient free capacity (best
 * fit). A shape that need not be adjacent and fits no rack is spread over the
 * workers that fit the fewest of its tasks. One rack is preferred because it
 * has one owner. Appends the placement to `parts`, which may be NULL. Returns
 * the number of tasks that could not be placed: for an adjacent shape, all or
 * none.
 */
uint32_t rj_layout_place(struct rj_layout *layout, const struct rj_shape *shape,
			 struct rj_layout_parts *parts)
{
	uint32_t width = layout->domain->workers_per_rack;
	uint64_t best_free_tasks = UINT64_MAX;
	uint32_t best = 0;

	for (uint32_t rack = 0; rack < layout->domain->racks; rack++) {
		uint64_t free_tasks = tasks_in_rack(layout, rack, &shape->each);

		if (free_tasks >= shape->tasks &&
		    free_tasks < best_free_tasks) {
			best_free_tasks = free_tasks;
			best = rack;
		}
	}
	if (best_free_tasks == UINT64_MAX && shape->adjacent)
		return shape->tasks;
	if (best_free_tasks == UINT64_MAX)
		return place_tasks(layout, &shape->each, shape->tasks, 0,
				   layout->domain->racks * width, parts);
	return place_tasks(layout, &shape->each, shape->tasks, best * width,
			   width, parts);
}
