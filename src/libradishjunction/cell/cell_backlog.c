#include "private/cell_backlog.h"

#include <string.h>

#include "private/cell_place.h"
#include "private/log_event.h"

/* Adds the tasks of one step that have not started. */
static void add_task_group(struct rj_cell_backlog *backlog,
			   const struct rj_cell_plan *plan,
			   const struct rj_cell_task_group *group)
{
	struct rj_cell_backlog_class *class =
		&backlog->classes[rj_cell_job_priority_class(group->job)];

	if (group->started_tasks >= group->waiting_tasks)
		return;
	class->tasks += group->waiting_tasks - group->started_tasks;
	if (group->expired)
		class->late_tasks +=
			group->waiting_tasks - group->started_tasks;
	class->longest_wait_us = MAX(class->longest_wait_us,
				     plan->now_us - group->waiting_since_us);
}

/* Adds the reserved and the promised accelerators of one worker. */
static void add_worker(struct rj_cell_backlog *backlog,
		       const struct rj_cell_plan_worker *plan_worker)
{
	uint32_t accelerators =
		plan_worker->worker->heartbeat.capacity.accelerators;

	backlog->promised += plan_worker->promised.accelerators;
	if (!plan_worker->reserved)
		return;
	backlog->reserved += accelerators;
	backlog->reserved_free += plan_worker->free_now.accelerators;
	if (plan_worker->exclusive)
		backlog->exclusive += accelerators;
}

/*
 * Sums up the tasks that a plan leaves waiting and the capacity it leaves idle.
 */
void rj_cell_backlog_sum(const struct rj_cell_plan *plan,
			 struct rj_cell_backlog *backlog)
{
	memset(backlog, 0, sizeof(*backlog));
	for (guint i = 0; i < plan->task_groups->len; i++)
		add_task_group(backlog, plan,
			       &g_array_index(plan->task_groups,
					      struct rj_cell_task_group, i));
	for (uint32_t i = 0; i < plan->worker_count; i++)
		add_worker(backlog, &plan->workers[i]);
	for (uint32_t i = 0; i < RJ_CELL_PRIORITY_CLASSES; i++)
		backlog->classes[i].allocated = plan->allocated[i].accelerators;
	backlog->usage = plan->usage;
	backlog->workers = plan->worker_count;
	backlog->urgent_demand = (uint32_t)rj_cell_forecast_urgent_accelerators(
		plan->forecast, plan->now_us);
}

/*
 * Logs a backlog as one event.
 */
void rj_cell_backlog_log(const struct rj_cell_backlog *backlog)
{
	const struct rj_cell_usage *usage = &backlog->usage;
	const struct rj_cell_backlog_class *urgent = &backlog->classes[0];
	const struct rj_cell_backlog_class *normal = &backlog->classes[1];
	const struct rj_cell_backlog_class *batch = &backlog->classes[2];

	rj_log_event(
		"backlog", RJ_LOG_NUMBER("urgent_tasks", urgent->tasks),
		RJ_LOG_NUMBER("normal_tasks", normal->tasks),
		RJ_LOG_NUMBER("batch_tasks", batch->tasks),
		RJ_LOG_AGE_MS("urgent_oldest_ms", urgent->longest_wait_us),
		RJ_LOG_AGE_MS("normal_oldest_ms", normal->longest_wait_us),
		RJ_LOG_AGE_MS("batch_oldest_ms", batch->longest_wait_us),
		RJ_LOG_NUMBER("urgent_held", urgent->allocated),
		RJ_LOG_NUMBER("normal_held", normal->allocated),
		RJ_LOG_NUMBER("batch_held", batch->allocated),
		RJ_LOG_NUMBER("late_tasks", urgent->late_tasks +
						    normal->late_tasks +
						    batch->late_tasks),
		RJ_LOG_NUMBER("workers", backlog->workers),
		RJ_LOG_NUMBER("accelerators", usage->accelerators.total),
		RJ_LOG_NUMBER("accelerators_used", usage->accelerators.used),
		RJ_LOG_NUMBER("cpu_milli", usage->cpu.total),
		RJ_LOG_NUMBER("cpu_milli_used", usage->cpu.used),
		RJ_LOG_NUMBER("memory_mb", usage->memory.total),
		RJ_LOG_NUMBER("memory_mb_used", usage->memory.used),
		RJ_LOG_NUMBER("reserved", backlog->reserved),
		RJ_LOG_NUMBER("exclusive", backlog->exclusive),
		RJ_LOG_NUMBER("reserved_free", backlog->reserved_free),
		RJ_LOG_NUMBER("promised", backlog->promised),
		RJ_LOG_NUMBER("urgent_of_late", backlog->urgent_demand));
}
