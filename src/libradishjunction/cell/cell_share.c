#include "private/cell_share.h"

/* Each priority may hold this part of each kind of room. */
#define SHARE_PART 8

/* How many tasks that take `each` fit between what is held of one kind of room
 * and the share of it; the last one may exceed it. */
static uint64_t tasks_left(uint64_t held, uint64_t all, uint64_t each)
{
	uint64_t share = all / SHARE_PART;

	if (!all)
		return UINT32_MAX;
	if (held >= share)
		return 0;
	return each ? (share - held + each - 1) / each : UINT32_MAX;
}

/* The share of a priority holds that many more tasks of a demand. */
static uint64_t tasks_of(const struct rj_cell_plan *plan,
			 const struct rj_cell_demand *each,
			 const struct rj_cell_work *work)
{
	const struct rj_cell_allocation *held =
		&plan->held[rj_cell_work_class(work)];
	const struct rj_cell_usage *usage = &plan->usage;
	uint64_t tasks =
		tasks_left(held->cpu_milli, usage->cpu.all, each->cpu_milli);

	tasks = MIN(tasks, tasks_left(held->memory_mb, usage->memory.all,
				      each->memory_mb));
	return MIN(tasks,
		   tasks_left(held->accelerators, usage->accelerators.all,
			      each->accelerators));
}

/*
 * How many more tasks of a step the share of its job's priority holds.
 */
uint32_t rj_cell_share_free_tasks(const struct rj_cell_plan *plan,
				  const struct rj_cell_step *step,
				  const struct rj_cell_work *work)
{
	struct rj_cell_demand each = rj_cell_step_allocation(step);

	return (uint32_t)MIN(tasks_of(plan, &each, work), UINT32_MAX);
}

/*
 * Whether the work of a job's priority holds less than its share, so that other
 * work does not stop it unless that is urgent.
 */
bool rj_cell_share_protects(const struct rj_cell_plan *plan,
			    const struct rj_cell_work *work)
{
	const struct rj_cell_demand none = { 0 };

	return tasks_of(plan, &none, work) > 0;
}
