/*
 * Tasks of other instances' jobs on the workers that this instance plans.
 *
 * An instance that owned a rack for some time has started tasks there and keeps
 * their leases after the rack returns to its owner. The owner plans such tasks
 * as running tasks of their accounts, so that they count against guarantees,
 * and stops them where a guaranteed shape needs their capacity: it asks the
 * lease holder, and stops them at the worker if the holder is unreachable or
 * exceeds the time limit.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

/* Delay before the first check whether a task has stopped; each later check
 * waits twice as long, up to the maximum. */
#define STOP_POLL_FIRST_US (50 * RJ_US_PER_MS)
#define STOP_POLL_MAX_US (2 * RJ_US_PER_S)

struct rj_foreign_task {
	struct rj_list link; /* in the worker's foreign_tasks */
	struct rj_upstream *upstream;
	uint64_t plan_id; /* id used with the planner */
	struct rj_attempt attempt;
	uint64_t holder; /* incarnation that holds the lease */
	uint32_t member;
	uint64_t token;
	struct rj_resources each;
	char account[RJ_NAME_BYTES];
	bool idempotent;
	bool reported; /* in the report being processed */
	uint64_t stop_us; /* from then on stopped at the worker */
	uint64_t stop_poll_us; /* delay until the next check */
	struct rj_timer stop_poll;
};

/*
 * Initialises an empty table.
 */
void rj_foreign_init(struct rj_core_state *core)
{
	core->foreign = g_hash_table_new(g_int64_hash, g_int64_equal);
}

/*
 * Frees the table; the tasks are talloc children of the core.
 */
void rj_foreign_finish(struct rj_core_state *core)
{
	g_hash_table_destroy(core->foreign);
}

/* The id of a task with the planner. The job id would be ambiguous, since a job
 * may have two attempts, one here and one elsewhere. */
static uint64_t plan_id_of(const struct rj_task_report *task)
{
	const uint64_t parts[] = { task->attempt.job_id, task->attempt.owner,
				   task->attempt.number, task->member };

	return rj_hash64(parts, sizeof(parts), 0);
}

/* The planned task that a report names, or NULL. */
static struct rj_foreign_task *
find_task(const struct rj_core_state *core, const struct rj_upstream *upstream,
	  const struct rj_task_report *task_report)
{
	uint64_t plan_id = plan_id_of(task_report);
	struct rj_foreign_task *task =
		g_hash_table_lookup(core->foreign, &plan_id);

	return task && task->upstream == upstream ? task : NULL;
}

/*
 * Whether the planner counts a reported task as a running task of its account.
 */
bool rj_foreign_is_planned(const struct rj_core_state *core,
			   const struct rj_upstream *upstream,
			   const struct rj_task_report *task_report)
{
	return find_task(core, upstream, task_report) != NULL;
}

/* Whether a job here has this attempt: it belongs to this instance, or is about
 * to be adopted. */
static bool is_own(const struct rj_core_state *core,
		   const struct rj_attempt *attempt)
{
	const struct rj_job *job = rj_jobs_find(core, attempt->job_id);

	return job && job->member_count &&
	       job->attempt.owner == attempt->owner &&
	       job->attempt.number == attempt->number;
}

/*
 * Whether a reported task may be stopped for others. A non-idempotent task is
 * stopped only by its lease holder, which saves its checkpoint; here it counts
 * as capacity in use.
 */
static bool may_stop(const struct rj_core_state *core,
		     const struct rj_task_report *task_report)
{
	const struct rj_job_class *class =
		core->config ?
			rj_config_class(core->config, task_report->class_name) :
			NULL;

	if (!class || task_report->state != RJ_TASK_RUNNING ||
	    task_report->holder == core->incarnation ||
	    is_own(core, &task_report->attempt))
		return false;
	return class->idempotent ||
	       (class->checkpoint &&
		rj_membership_incarnation_alive(core, task_report->holder));
}

/* Removes a task from the plan. */
static void remove_task(struct rj_core_state *core,
			struct rj_foreign_task *task)
{
	core->planner->ops->ended(core->planner, task->plan_id, false, 0,
				  core->now_us);
	core->jobs.plan_wanted = true;
	rj_timer_clear(&core->timers, &task->stop_poll);
	g_hash_table_remove(core->foreign, &task->plan_id);
	rj_list_remove(&task->link);
	talloc_free(task);
}

/* Stops every member of the task's gang that is planned here. The lease holder
 * sees this and stops the others; if it is dead, their leases expire. */
static void stop_gang(struct rj_core_state *core,
		      const struct rj_foreign_task *task)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, core->foreign);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rj_foreign_task *other = value;

		if (other->attempt.job_id == task->attempt.job_id &&
		    other->attempt.owner == task->attempt.owner &&
		    other->attempt.number == task->attempt.number)
			rj_call_clean_up(core, other->upstream, RJ_WORKER_STOP,
					 &other->attempt, other->member,
					 other->token);
	}
}

/*
 * Checks whether a task that has to stop has stopped.
 *
 * The lease holder may be unreachable from here but not from the workers and
 * would renew the lease indefinitely, so that a guaranteed shape waits for the
 * end of another account's job. Past the limit an idempotent task is stopped
 * without the holder's consent; the holder learns of it from the next report
 * and requeues the job.
 */
static void stop_poll_due(struct rj_core_state *core, struct rj_timer *timer)
{
	struct rj_foreign_task *task =
		RJ_CONTAINER(timer, struct rj_foreign_task, stop_poll);
	uint64_t next_us = core->now_us + task->stop_poll_us;

	if (core->now_us >= task->stop_us && task->idempotent)
		stop_gang(core, task);
	rj_upstreams_poll_now(core, task->upstream);
	if (core->now_us < task->stop_us && next_us > task->stop_us)
		next_us = task->stop_us;
	task->stop_poll_us = MIN(2 * task->stop_poll_us, STOP_POLL_MAX_US);
	rj_timer_set(&core->timers, timer, next_us);
}

/* Adds a task to the plan as a running task of its account. */
static struct rj_foreign_task *
plan_task(struct rj_core_state *core, struct rj_upstream *upstream,
	  const struct rj_task_report *task_report)
{
	const struct rj_job_class *class =
		rj_config_class(core->config, task_report->class_name);
	struct rj_plan_member where = { .worker = upstream->index, .tasks = 1 };
	struct rj_foreign_task *task =
		talloc_zero(core, struct rj_foreign_task);
	struct rj_plan_job job;

	assert(task);
	task->upstream = upstream;
	task->plan_id = plan_id_of(task_report);
	task->attempt = task_report->attempt;
	task->member = task_report->member;
	task->token = task_report->token;
	task->each = task_report->each;
	task->idempotent = class->idempotent;
	g_strlcpy(task->account, task_report->account, sizeof(task->account));
	rj_timer_init(&task->stop_poll, stop_poll_due);
	rj_list_append(&upstream->foreign_tasks, &task->link);
	g_hash_table_insert(core->foreign, &task->plan_id, task);
	memset(&job, 0, sizeof(job));
	job.job_id = task->plan_id;
	g_strlcpy(job.account, task_report->account, sizeof(job.account));
	g_strlcpy(job.class_name, task_report->class_name,
		  sizeof(job.class_name));
	job.shape.tasks = 1;
	job.shape.each = task_report->each;
	job.priority = class->priority;
	job.preemptible = true;
	job.checkpoint = class->checkpoint;
	job.queued_us = core->now_us;
	job.deadline_us = RJ_NEVER_US;
	core->planner->ops->adopt(
		core->planner, &job, &where, 1,
		core->now_us - MIN(core->now_us, task_report->ran_us));
	return task;
}

/*
 * Applies a full report of an owned worker: tasks of other instances that may
 * be stopped for a guarantee are added to the plan, and planned tasks that it
 * no longer contains are removed.
 */
void rj_foreign_apply_report(struct rj_core_state *core,
			     struct rj_upstream *upstream,
			     const struct rj_worker_report *report)
{
	struct rj_foreign_task *task;
	struct rj_list *at;
	struct rj_list *next;

	for (uint32_t i = 0; upstream->owned && i < report->task_count; i++) {
		const struct rj_task_report *task_report = &report->tasks[i];

		if (!may_stop(core, task_report))
			continue;
		task = find_task(core, upstream, task_report);
		if (!task)
			task = plan_task(core, upstream, task_report);
		task->reported = true;
		task->holder = task_report->holder;
	}
	RJ_FOR_EACH (at, next, &upstream->foreign_tasks) {
		task = RJ_CONTAINER(at, struct rj_foreign_task, link);
		if (!task->reported)
			remove_task(core, task);
		else
			task->reported = false;
	}
}

/*
 * Handles the loss of ownership of the worker: tasks of other instances there
 * count as capacity in use until the next report.
 */
void rj_foreign_disown(struct rj_core_state *core, struct rj_upstream *upstream)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &upstream->foreign_tasks) {
		struct rj_foreign_task *task =
			RJ_CONTAINER(at, struct rj_foreign_task, link);

		rj_resources_add(&upstream->foreign, &task->each, 1);
		remove_task(core, task);
	}
}

/* Asks the lease holder to stop the task's whole job. Returns whether the
 * holder is believed alive. */
static bool request_stop(struct rj_core_state *core,
			 const struct rj_foreign_task *task, uint64_t limit_us)
{
	const char *peer =
		rj_membership_name_by_incarnation(core, task->holder);
	struct rj_peer_cancel *cancel;

	if (!peer)
		return false;
	cancel = &rj_membership_send(core, peer, RJ_PEER_CANCEL)->u.cancel;
	cancel->job_id = task->attempt.job_id;
	cancel->reclaim_owner = task->attempt.owner;
	cancel->reclaim_attempt = task->attempt.number;
	cancel->limit_us = limit_us;
	return true;
}

/*
 * Reclaims the capacity of a task whose lease another instance holds.
 */
void rj_foreign_reclaim(struct rj_core_state *core,
			const struct rj_decision *decision)
{
	struct rj_foreign_task *task =
		g_hash_table_lookup(core->foreign, &decision->job_id);
	struct rj_decision_log *log;

	if (!task)
		return;
	rj_core_count(core, RJ_COUNT_RECLAIMS);
	log = rj_core_log(core, RJ_LOG_RECLAIM, decision->reason, NULL,
			  task->upstream->name);
	log->job_id = task->attempt.job_id;
	g_strlcpy(log->account, task->account, sizeof(log->account));
	rj_upstreams_update_offer(core, task->upstream);
	task->stop_us = core->now_us;
	if (request_stop(core, task, decision->limit_us))
		task->stop_us += decision->limit_us;
	task->stop_poll_us = STOP_POLL_FIRST_US;
	rj_timer_set(&core->timers, &task->stop_poll,
		     task->stop_us > core->now_us ?
			     core->now_us + STOP_POLL_FIRST_US :
			     core->now_us);
}
