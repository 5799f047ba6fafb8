#include "private/cell_share.h"

/* Returns how many tasks that take `each` of a resource fit into the rest of
 * the share; the last one may exceed it. */
static uint64_t tasks_below_share(uint64_t allocated, uint64_t total,
				  uint64_t each)
{
	uint64_t share = total / RJ_CELL_SHARE_DIVISOR;

	if (!total)
		return UINT32_MAX;
	if (allocated >= share)
		return 0;
	return each ? (share - allocated + each - 1) / each : UINT32_MAX;
}

/* Returns how many more tasks of a demand fit into the share of a priority,
 * over all resources. */
static uint64_t free_tasks(const struct rj_cell_plan *plan,
			   const struct rj_cell_demand *each,
			   const struct rj_cell_job *job)
{
	const struct rj_cell_allocation *allocated =
		&plan->allocated[rj_cell_job_priority_class(job)];
	const struct rj_cell_usage *usage = &plan->usage;
	uint64_t tasks = tasks_below_share(allocated->cpu_milli,
					   usage->cpu.total, each->cpu_milli);

	tasks = MIN(tasks,
		    tasks_below_share(allocated->memory_mb, usage->memory.total,
				      each->memory_mb));
	return MIN(tasks, tasks_below_share(allocated->accelerators,
					    usage->accelerators.total,
					    each->accelerators));
}

/*
 * Returns how many more tasks of a step fit into the share of its job's
 * priority.
 */
uint32_t rj_cell_share_free_tasks(const struct rj_cell_plan *plan,
				  const struct rj_cell_step *step,
				  const struct rj_cell_job *job)
{
	struct rj_cell_demand each = rj_cell_step_allocation(step);

	return (uint32_t)MIN(free_tasks(plan, &each, job), UINT32_MAX);
}

/*
 * Whether the priority of a job is below its share, so that only urgent jobs
 * may preempt it.
 */
bool rj_cell_share_protects(const struct rj_cell_plan *plan,
			    const struct rj_cell_job *job)
{
	const struct rj_cell_demand none = { 0 };

	return free_tasks(plan, &none, job) > 0;
}
