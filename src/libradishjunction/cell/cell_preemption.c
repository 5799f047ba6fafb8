#include "private/cell_preemption.h"

/* Work that is not urgent preempts after waiting for this long, at the least. */
#define PREEMPTION_WAIT_US RJ_US_PER_S
/* Parts of its own work that such work may discard by preemption: one in this
 * many, and one in EARLY_LOSS_DIVISOR while it can wait. That allows to stop runs
 * which resume from a checkpoint within a few tenths of a second. */
#define LOSS_DIVISOR 8
#define EARLY_LOSS_DIVISOR 32
/* Restart time from a checkpoint where the deployment does not state one. */
#define DEFAULT_RESTORE_MS 300
/* A task that has lost this many runs is stopped for urgent or guaranteed work
 * only, so that it ends even on a cell that is always full. */
#define LOSSES_MAX 2

/*
 * Whether a group that is not urgent has waited for long enough to stop runs at
 * no loss.
 */
bool rj_cell_preemption_has_waited(const struct rj_cell_plan *plan,
				   const struct rj_cell_task_group *group)
{
	return plan->now_us - group->waiting_since_us >= PREEMPTION_WAIT_US;
}

/*
 * Returns the work that a group that is not urgent may discard by preemption, in
 * core-milliseconds, if its own work is `work_milli`.
 *
 * With the feature it is less until half of the group's slack is used: until
 * then runs that complete by themselves may make room.
 */
uint64_t
rj_cell_preemption_max_loss_milli(const struct rj_cell_plan *plan,
				  const struct rj_cell_task_group *group,
				  uint64_t work_milli)
{
	bool can_wait = plan->features.restore_ms && !group->overdue;

	return work_milli / (can_wait ? EARLY_LOSS_DIVISOR : LOSS_DIVISOR);
}

/*
 * Whether a run is not to be stopped for a group, as its task has lost too many
 * runs already. Urgent groups, which include all guaranteed ones, stop it.
 */
bool rj_cell_preemption_protects(const struct rj_cell_plan *plan,
				 const struct rj_cell_run *run,
				 const struct rj_cell_task_group *group)
{
	return plan->features.restore_ms && group->job->job_spec->priority &&
	       run->task->losses >= LOSSES_MAX;
}

/*
 * Returns the time for which the resources of a run are lost if it is stopped
 * now, in milliseconds: the work since its checkpoint, or the restart from it,
 * and with the feature also the stop itself.
 */
uint64_t rj_cell_preemption_lost_ms(const struct rj_cell_plan *plan,
				    const struct rj_cell_run *run)
{
	uint32_t restore_ms = plan->features.restore_ms;
	uint64_t elapsed_ms =
		(plan->now_us - MIN(plan->now_us, run->placed_us)) /
		RJ_US_PER_MS;

	if (rj_cell_task_step(run->task)->checkpoints)
		elapsed_ms = MIN(elapsed_ms,
				 restore_ms ? restore_ms : DEFAULT_RESTORE_MS);
	return elapsed_ms + (restore_ms ? plan->stop_ms : 0);
}
