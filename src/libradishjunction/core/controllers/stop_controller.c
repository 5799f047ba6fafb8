/*
 * STOPPING: until no member of a job can run any more.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

#define STOP_BACKOFF_US (300 * RJ_US_PER_MS)
/* After this many unanswered stops, the expiry of the lease is awaited. */
#define STOP_TRIES 4

/* Whether a member may still run or hold its lease. */
static bool may_still_run(const struct rj_member *member)
{
	return member->state == RJ_TASK_HELD ||
	       member->state == RJ_TASK_RUNNING ||
	       (member->state == RJ_TASK_NONE && member->start_sent);
}

/* Whether no member ever started: each worker reports its token as dead. */
static bool no_member_started(const struct rj_job *job)
{
	for (uint32_t i = 0; i < job->member_count; i++)
		if (job->members[i].state != RJ_TASK_DEAD)
			return false;
	return job->member_count > 0;
}

/* The starts never arrived and can no longer take effect: the job did not
 * run. */
static void end_unstarted(struct rj_job *job)
{
	job->started = false;
	if (job->claimed)
		rj_claims_append_void(job);
	if (job->cancelled)
		rj_job_abandon(job, job->final.reason, 0);
	else if (!rj_job_drop_if_body_missing(job))
		rj_job_retry(job, RJ_REASON_LEASE_EXPIRED);
}

/* Every member has stopped: ends the job or queues it again. */
static void on_all_stopped(struct rj_job *job)
{
	if (rj_job_all_done(job)) {
		rj_job_succeeded(job);
		return;
	}
	if (no_member_started(job)) {
		end_unstarted(job);
		return;
	}
	if (job->ending) {
		if (job->final.kind == RJ_ANSWER_FAILED && !job->ran)
			job->final.kind = RJ_ANSWER_UNKNOWN;
		rj_job_end_with_result(job, job->final.kind, job->final.reason);
		return;
	}
	if (job->claimed)
		rj_claims_append_void(job);
	if (rj_job_drop_if_body_missing(job))
		return;
	if (job->reclaimed) {
		rj_job_requeue(job, 0, RJ_REASON_RECLAIMED);
		return;
	}
	rj_job_retry(job, job->final.reason);
}

/*
 * Stops every member that may still run, after a checkpoint if `checkpoint`,
 * within `limit_us`. The timer repeats this while workers do not answer; after
 * STOP_TRIES a member counts as stopped when its lease, which is no longer
 * renewed, has expired.
 */
void rj_job_stop(struct rj_job *job, bool checkpoint, uint64_t limit_us)
{
	struct rj_core_state *core = job->core;
	bool first = job->state != RJ_JOB_STOPPING;
	bool pending = false;

	if (first) {
		rj_job_enter_state(job, RJ_JOB_STOPPING);
	}
	for (uint32_t i = 0; i < job->member_count; i++) {
		struct rj_member *member = &job->members[i];
		struct rj_worker_call *call;

		if (first)
			member->tries = 0;
		if (!may_still_run(member))
			continue;
		if (member->tries++ >= STOP_TRIES &&
		    core->now_us >
			    job->state_entered_us +
				    rj_upstreams_lease_duration_us(core)) {
			member->state = RJ_TASK_STOPPED;
			continue;
		}
		pending = true;
		call = rj_job_call(job, member,
				   checkpoint ? RJ_WORKER_CHECKPOINT :
						RJ_WORKER_STOP);
		call->limit_us = limit_us;
		if (checkpoint)
			call->timeout_us = limit_us + RJ_CALL_TIMEOUT_US;
	}
	if (!pending) {
		on_all_stopped(job);
		return;
	}
	/* A checkpoint that exceeds its limit is interrupted by a stop. */
	rj_timer_set(&core->timers, &job->state_timer,
		     core->now_us +
			     (checkpoint ? limit_us : RJ_CALL_TIMEOUT_US) +
			     STOP_BACKOFF_US);
}

static bool none_may_run(const struct rj_job *job)
{
	for (uint32_t i = 0; i < job->member_count; i++)
		if (may_still_run(&job->members[i]))
			return false;
	return true;
}

/*
 * Continues once no member of a stopping job may run.
 */
void rj_job_check_stopped(struct rj_job *job)
{
	if (none_may_run(job))
		on_all_stopped(job);
}

/*
 * Handles the answer to a STOP or a CHECKPOINT. A task that had already
 * finished keeps its result.
 */
void rj_job_stop_reply(struct rj_job *job, struct rj_member *member,
		       const struct rj_worker_reply *reply)
{
	if (job->state != RJ_JOB_STOPPING || reply->status == RJ_REPLY_LOST)
		return; /* the timer retries */
	if (reply->status == RJ_REPLY_REFUSED || reply->state == RJ_TASK_NONE) {
		/* The worker does not know the lease: the task does not run,
		 * but may have run before the worker lost its state. */
		member->state =
			member->start_sent ? RJ_TASK_STOPPED : RJ_TASK_DEAD;
	} else {
		member->state = reply->state;
		if (reply->op == RJ_WORKER_CHECKPOINT)
			job->resume_us = reply->ran_us;
		if (reply->state == RJ_TASK_DONE ||
		    reply->state == RJ_TASK_FAILED)
			rj_member_keep_result(job, member, &reply->result);
	}
	rj_job_check_stopped(job);
}
