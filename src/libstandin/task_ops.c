#include "task_ops.h"

#include <assert.h>
#include <string.h>

/* Refuses a call, which had no effect. */
static void refuse(struct rj_worker_reply *reply, enum rj_reason reason)
{
	reply->status = RJ_REPLY_REFUSED;
	reply->reason = reason;
}

/*
 * Whether the call may act on `task`: it has the task's token, or none.
 */
static bool token_matches(const struct rj_worker_call *call,
			  const struct rj_task *task)
{
	return !call->token || call->token == task->token;
}

/*
 * Finds or reserves the task of a LEASE or RUN call. Returns NULL, with
 * `reply` refused, if the attempt is fenced or its token is dead, if the
 * worker is leaving, or if its resources do not suffice.
 *
 * A delayed call may arrive after its attempt was fenced and its job started
 * elsewhere, and would run the job twice. Fenced attempts are therefore
 * remembered, and the late call is refused.
 */
static struct rj_task *lease(struct rj_tasks *tasks,
			     const struct rj_worker_call *call, uint64_t now_us,
			     struct rj_worker_reply *reply)
{
	struct rj_task *task = rj_tasks_find(tasks, call);

	if (task && (task->fenced || task->state == RJ_TASK_DEAD)) {
		refuse(reply, RJ_REASON_LEASE_EXPIRED);
		return NULL;
	}
	if (task)
		return task;
	if (tasks->leaving) {
		refuse(reply, RJ_REASON_DRAINING);
		return NULL;
	}
	if (!rj_resources_fit(&call->each, &tasks->unused)) {
		refuse(reply, RJ_REASON_LEASE_REFUSED);
		return NULL;
	}
	task = rj_task_new(tasks, call);
	rj_task_reserve(tasks, task, call, now_us);
	return task;
}

/* Leases and starts a task in one call. */
static struct rj_task *run(struct rj_tasks *tasks,
			   const struct rj_worker_call *call, uint64_t now_us,
			   struct rj_worker_reply *reply)
{
	struct rj_task *task = lease(tasks, call, now_us, reply);

	if (task && task->state == RJ_TASK_HELD)
		rj_task_start(tasks, task, call, now_us);
	return task;
}

/*
 * Starts a task under the token of its lease.
 *
 * An owner that was paused until after its lease expired would otherwise start
 * a job that another instance has settled: a token that has expired, was
 * fenced or released, or is unknown never starts a task.
 */
static struct rj_task *start(struct rj_tasks *tasks,
			     const struct rj_worker_call *call, uint64_t now_us,
			     struct rj_worker_reply *reply)
{
	struct rj_task *task = rj_tasks_find(tasks, call);

	if (!task || task->token != call->token || !call->token ||
	    task->fenced || task->state == RJ_TASK_DEAD) {
		refuse(reply, RJ_REASON_LEASE_EXPIRED);
		return NULL;
	}
	if (task->state == RJ_TASK_HELD)
		rj_task_start(tasks, task, call, now_us);
	return task;
}

/* Extends the lease of an active task and takes over its holder. */
static struct rj_task *renew(struct rj_tasks *tasks,
			     const struct rj_worker_call *call, uint64_t now_us,
			     struct rj_worker_reply *reply)
{
	struct rj_task *task = rj_tasks_find(tasks, call);

	if (!task || !token_matches(call, task) || task->fenced ||
	    task->state == RJ_TASK_DEAD) {
		refuse(reply, RJ_REASON_LEASE_EXPIRED);
		return task;
	}
	if (rj_task_is_active(task)) {
		task->holder = call->holder;
		task->lease_until_us = now_us + call->life_us;
	}
	return task;
}

/*
 * Starts a checkpoint; rj_tasks_advance stops the task when it is saved, or
 * at limit_us.
 */
static void checkpoint(struct rj_task *task, const struct rj_worker_call *call,
		       uint64_t now_us)
{
	if (task->state != RJ_TASK_RUNNING || task->saving)
		return;
	rj_task_count_progress(task, now_us);
	task->saving = true;
	task->checkpoint_completes = task->checkpoint_us <= call->limit_us;
	task->checkpoint_until_us =
		now_us + (task->checkpoint_completes ? task->checkpoint_us :
						       call->limit_us);
}

/* Changes the speed of a running task, after counting its progress so far. */
static void throttle(struct rj_task *task, const struct rj_worker_call *call,
		     uint64_t now_us)
{
	rj_task_count_progress(task, now_us);
	if (task->state == RJ_TASK_RUNNING)
		task->throttle_percent = call->throttle_percent;
}

/* Stops a running task; the token of a leased task becomes dead. */
static void stop(struct rj_tasks *tasks, struct rj_task *task, uint64_t now_us)
{
	if (task->state == RJ_TASK_RUNNING)
		rj_task_end(tasks, task, RJ_TASK_STOPPED, now_us);
	else if (task->state == RJ_TASK_HELD)
		rj_task_end(tasks, task, RJ_TASK_DEAD, now_us);
}

/*
 * Releases a lease or an ended task. The token of a lease becomes dead. The
 * result of an ended task is dropped, but its attempt stays fenced, so that a
 * late START or RUN is refused.
 */
static void release(struct rj_tasks *tasks, struct rj_task *task,
		    uint64_t now_us, struct rj_worker_reply *reply)
{
	if (task->state == RJ_TASK_RUNNING) {
		refuse(reply, RJ_REASON_IN_PROGRESS);
		return;
	}
	if (task->state == RJ_TASK_HELD) {
		rj_task_end(tasks, task, RJ_TASK_DEAD, now_us);
		return;
	}
	if (task->state != RJ_TASK_DEAD)
		task->state = RJ_TASK_NONE;
	task->fenced = true;
	memset(&task->result, 0, sizeof(task->result));
}

/* Settles an attempt: one that the answer reports as not started never starts
 * afterwards. */
static struct rj_task *fence(struct rj_tasks *tasks,
			     const struct rj_worker_call *call, uint64_t now_us)
{
	struct rj_task *task = rj_tasks_find(tasks, call);

	if (!task) {
		task = rj_task_new(tasks, call);
		task->fenced = true;
		rj_task_end(tasks, task, RJ_TASK_NONE, now_us);
	} else if (task->state == RJ_TASK_HELD) {
		rj_task_end(tasks, task, RJ_TASK_DEAD, now_us);
	}
	return task;
}

/* Renews all leases of the holder that requests a report. */
static void renew_holder(struct rj_tasks *tasks,
			 const struct rj_worker_call *call, uint64_t now_us)
{
	struct rj_list *at;
	struct rj_list *next;

	if (!call->life_us)
		return;
	RJ_FOR_EACH (at, next, &tasks->active) {
		struct rj_task *task = RJ_CONTAINER(at, struct rj_task, link);

		if (task->holder == call->holder)
			task->lease_until_us = now_us + call->life_us;
	}
}

/* Executes CHECKPOINT, THROTTLE, STOP or RELEASE on a known task. */
static struct rj_task *act_on_task(struct rj_tasks *tasks,
				   const struct rj_worker_call *call,
				   uint64_t now_us,
				   struct rj_worker_reply *reply)
{
	struct rj_task *task = rj_tasks_find(tasks, call);

	if (!task)
		return NULL;
	if (!token_matches(call, task)) {
		refuse(reply, RJ_REASON_LEASE_EXPIRED);
		return task;
	}
	if (call->op == RJ_WORKER_CHECKPOINT)
		checkpoint(task, call, now_us);
	else if (call->op == RJ_WORKER_THROTTLE)
		throttle(task, call, now_us);
	else if (call->op == RJ_WORKER_STOP)
		stop(tasks, task, now_us);
	else
		release(tasks, task, now_us, reply);
	return task;
}

/* Fills the fields common to all replies. */
static void begin_reply(const struct rj_tasks *tasks,
			const struct rj_worker_call *call,
			struct rj_worker_reply *reply)
{
	memset(reply, 0, sizeof(*reply));
	reply->call_id = call->call_id;
	reply->op = call->op;
	memcpy(reply->worker, tasks->worker, sizeof(reply->worker));
	reply->status = RJ_REPLY_OK;
	reply->leaving = tasks->leaving;
	reply->incarnation = tasks->incarnation;
	reply->attempt = call->attempt;
}

/*
 * Executes one call at `now_us` and fills `reply`, except for its report; see
 * rj_tasks_report. Returns the task of the call, or NULL. To reply with the
 * end of a task, wait until it is no longer active, then call
 * rj_tasks_fill_reply.
 */
struct rj_task *rj_tasks_call(struct rj_tasks *tasks,
			      const struct rj_worker_call *call,
			      uint64_t now_us, struct rj_worker_reply *reply)
{
	struct rj_task *task = NULL;

	assert(call->op < RJ_WORKER_OP_COUNT);
	rj_tasks_advance(tasks, now_us);
	begin_reply(tasks, call, reply);
	if (call->op == RJ_WORKER_LEASE)
		task = lease(tasks, call, now_us, reply);
	else if (call->op == RJ_WORKER_RUN)
		task = run(tasks, call, now_us, reply);
	else if (call->op == RJ_WORKER_START)
		task = start(tasks, call, now_us, reply);
	else if (call->op == RJ_WORKER_RENEW)
		task = renew(tasks, call, now_us, reply);
	else if (call->op == RJ_WORKER_FENCE)
		task = fence(tasks, call, now_us);
	else if (call->op == RJ_WORKER_REPORT)
		renew_holder(tasks, call, now_us);
	else
		task = act_on_task(tasks, call, now_us, reply);
	rj_tasks_advance(tasks, now_us);
	if (task)
		rj_tasks_fill_reply(tasks, task, now_us, reply);
	return task;
}

/*
 * Fills `reply` with the state of `task` at `now_us`. The result belongs to
 * the task.
 */
void rj_tasks_fill_reply(struct rj_tasks *tasks, struct rj_task *task,
			 uint64_t now_us, struct rj_worker_reply *reply)
{
	rj_task_count_progress(task, now_us);
	reply->leaving = tasks->leaving;
	reply->token = task->token;
	reply->state = task->state;
	reply->ran_us = task->progress_us;
	memset(&reply->result, 0, sizeof(reply->result));
	if (task->state == RJ_TASK_DONE || task->state == RJ_TASK_FAILED)
		reply->result = task->result;
}
