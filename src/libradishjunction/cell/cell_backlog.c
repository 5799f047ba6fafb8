#include "private/cell_backlog.h"

#include <string.h>

#include "private/cell_place.h"
#include "private/log_event.h"

/* Add the tasks of one step that have not started. */
static void add_unit(struct rj_cell_backlog *backlog,
		     const struct rj_cell_plan *plan,
		     const struct rj_cell_unit *unit)
{
	struct rj_cell_backlog_class *class =
		&backlog->classes[rj_cell_work_class(unit->work)];

	if (unit->started >= unit->waiting)
		return;
	class->tasks += unit->waiting - unit->started;
	if (unit->too_late)
		class->late_tasks += unit->waiting - unit->started;
	class->oldest_us =
		MAX(class->oldest_us, plan->now_us - unit->waiting_us);
}

/* Add what one worker has that is not open to all. */
static void add_room(struct rj_cell_backlog *backlog,
		     const struct rj_cell_room *room)
{
	uint32_t accelerators = room->worker->said.capacity.accelerators;

	backlog->promised += room->promised.accelerators;
	if (!room->reserved)
		return;
	backlog->reserved += accelerators;
	backlog->reserved_free += room->now.accelerators;
	if (room->exclusive)
		backlog->exclusive += accelerators;
}

/*
 * Sum up what a plan leaves waiting and idle.
 */
void rj_cell_backlog_sum(const struct rj_cell_plan *plan,
			 struct rj_cell_backlog *backlog)
{
	memset(backlog, 0, sizeof(*backlog));
	for (guint i = 0; i < plan->units->len; i++)
		add_unit(backlog, plan,
			 &g_array_index(plan->units, struct rj_cell_unit, i));
	for (uint32_t i = 0; i < plan->room_count; i++)
		add_room(backlog, &plan->rooms[i]);
	for (uint32_t i = 0; i < RJ_CELL_PRIORITIES; i++)
		backlog->classes[i].held = plan->held[i].accelerators;
	backlog->usage = plan->usage;
	backlog->workers = plan->room_count;
	backlog->urgent =
		(uint32_t)rj_cell_forecast_urgent(plan->forecast, plan->now_us);
}

/*
 * Write a backlog into the log, as one line.
 */
void rj_cell_backlog_note(const struct rj_cell_backlog *backlog)
{
	const struct rj_cell_usage *usage = &backlog->usage;
	const struct rj_cell_backlog_class *urgent = &backlog->classes[0];
	const struct rj_cell_backlog_class *normal = &backlog->classes[1];
	const struct rj_cell_backlog_class *batch = &backlog->classes[2];

	rj_log_event(
		"backlog", RJ_LOG_NUMBER("urgent_tasks", urgent->tasks),
		RJ_LOG_NUMBER("normal_tasks", normal->tasks),
		RJ_LOG_NUMBER("batch_tasks", batch->tasks),
		RJ_LOG_AGE_MS("urgent_oldest_ms", urgent->oldest_us),
		RJ_LOG_AGE_MS("normal_oldest_ms", normal->oldest_us),
		RJ_LOG_AGE_MS("batch_oldest_ms", batch->oldest_us),
		RJ_LOG_NUMBER("urgent_held", urgent->held),
		RJ_LOG_NUMBER("normal_held", normal->held),
		RJ_LOG_NUMBER("batch_held", batch->held),
		RJ_LOG_NUMBER("late_tasks", urgent->late_tasks +
						    normal->late_tasks +
						    batch->late_tasks),
		RJ_LOG_NUMBER("workers", backlog->workers),
		RJ_LOG_NUMBER("accelerators", usage->accelerators.all),
		RJ_LOG_NUMBER("accelerators_used", usage->accelerators.used),
		RJ_LOG_NUMBER("cpu_milli", usage->cpu.all),
		RJ_LOG_NUMBER("cpu_milli_used", usage->cpu.used),
		RJ_LOG_NUMBER("memory_mb", usage->memory.all),
		RJ_LOG_NUMBER("memory_mb_used", usage->memory.used),
		RJ_LOG_NUMBER("reserved", backlog->reserved),
		RJ_LOG_NUMBER("exclusive", backlog->exclusive),
		RJ_LOG_NUMBER("reserved_free", backlog->reserved_free),
		RJ_LOG_NUMBER("promised", backlog->promised),
		RJ_LOG_NUMBER("urgent_of_late", backlog->urgent));
}
