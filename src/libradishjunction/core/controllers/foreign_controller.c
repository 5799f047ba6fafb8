/*
 * Tasks of other instances' jobs on the workers that this instance plans.
 *
 * An instance that owned a rack for a while has placed work there, and goes
 * on driving it when the rack has gone back to its owner. The owner plans
 * such tasks as running work of their accounts, so that they count against
 * guarantees, and stops them where a guaranteed shape is in their place: it
 * asks the instance that drives them, and stops them at the worker itself
 * when that instance is out of reach or lets the limit pass.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

/* The first look at whether a task has stopped; each later one waits twice
 * as long as the one before. */
#define STOP_POLL_FIRST_US (50 * RJ_US_PER_MS)
#define STOP_POLL_MAX_US (2 * RJ_US_PER_S)

struct rj_foreign_task {
	struct rj_list link; /* in its worker's */
	struct rj_upstream *upstream;
	uint64_t plan_id; /* by which the planner knows it */
	struct rj_attempt attempt;
	uint64_t holder; /* the incarnation that drives it */
	uint32_t member;
	uint64_t token;
	struct rj_resources each;
	char account[RJ_NAME_BYTES];
	bool idempotent;
	bool reported; /* in the report that is being read */
	uint64_t stop_us; /* stopped at the worker from then on */
	uint64_t stop_poll_us; /* until the next look */
	struct rj_timer stop_poll;
};

/*
 * Start with no such task.
 */
void rj_foreign_init(struct rj_core_state *core)
{
	core->foreign = g_hash_table_new(g_int64_hash, g_int64_equal);
}

/*
 * Free the table; the tasks are talloc children of the core.
 */
void rj_foreign_finish(struct rj_core_state *core)
{
	g_hash_table_destroy(core->foreign);
}

/* The id of a task towards the planner. One job may have an attempt here and
 * another elsewhere, so the job's own id would stand for two. */
static uint64_t plan_id_of(const struct rj_task_report *task)
{
	const uint64_t parts[] = { task->attempt.job_id, task->attempt.owner,
				   task->attempt.number, task->member };

	return rj_hash64(parts, sizeof(parts), 0);
}

/* The planned task that a line of a report is of, or NULL. */
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
 * Whether the planner counts a reported task as running work of its account.
 */
bool rj_foreign_is_planned(const struct rj_core_state *core,
			   const struct rj_upstream *upstream,
			   const struct rj_task_report *task_report)
{
	return find_task(core, upstream, task_report) != NULL;
}

/* Whether a job here has this attempt: it is no one else's, or is about to be
 * adopted. */
static bool is_own(const struct rj_core_state *core,
		   const struct rj_attempt *attempt)
{
	const struct rj_job *job = rj_jobs_find(core, attempt->job_id);

	return job && job->member_count &&
	       job->attempt.owner == attempt->owner &&
	       job->attempt.number == attempt->number;
}

/*
 * Whether a reported task may be stopped for others. Work that is not
 * idempotent is stopped by nobody but the instance that drives it, which
 * keeps its checkpoint: here it counts as capacity that is not there.
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

/* Stop counting a task. */
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

/* Have every member of the task's gang that is planned here stopped. The
 * instance that drives the gang sees it and stops the rest; if it is dead,
 * the leases of the rest lapse. */
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
 * Look whether a task that was to stop has stopped.
 *
 * Guards against a driver that does not answer: it may be cut off from here
 * and not from the workers, and would renew the lease for ever. It shows as a
 * guaranteed shape that waits for the end of another account's job. Only
 * idempotent work is stopped unheard; its driver reads in the next report
 * that it was stopped, and lets it wait again.
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

/* Count a task as running work of its account. */
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
	job.stoppable = true;
	job.checkpoint = class->checkpoint;
	job.queued_us = core->now_us;
	job.deadline_us = RJ_NEVER_US;
	core->planner->ops->adopt(
		core->planner, &job, &where, 1,
		core->now_us - MIN(core->now_us, task_report->ran_us));
	return task;
}

/*
 * Take from the whole report of an owned worker which tasks of others may be
 * stopped for a guarantee.
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
 * This instance plans the worker no more: what others run there is taken as
 * capacity that is not there until the next report.
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

/* Ask the instance that drives the task to stop its whole job. Returns
 * whether it is believed alive. */
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
 * The planner wants the room of a task that another instance drives.
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
