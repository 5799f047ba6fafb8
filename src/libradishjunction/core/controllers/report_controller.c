/*
 * Workers' reports about the members of this instance's jobs, and the loss of a
 * worker.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

#define RETRY_DELAY_US (100 * RJ_US_PER_MS)

/*
 * Records progress of the job that a worker reports. A gang member that is
 * still throttled to 0 % is running too, but has made no progress.
 */
void rj_job_record_progress(struct rj_job *job, enum rj_task_state state,
			    uint64_t ran_us)
{
	if (state == RJ_TASK_DONE || state == RJ_TASK_FAILED || ran_us ||
	    (state == RJ_TASK_RUNNING && job->member_count == 1))
		job->ran = true;
}

/* Applies a report's entry for one of the job's tasks. */
static void report_task(struct rj_job *job, struct rj_member *member,
			const struct rj_task_report *task)
{
	rj_job_record_progress(job, task->state, task->ran_us);
	member->ran_us = task->ran_us;
	if (task->state == RJ_TASK_HELD)
		return; /* it precedes the start, or the start was lost */
	member->reported = true;
	if (member->state == RJ_TASK_DONE || member->state == RJ_TASK_FAILED)
		return;
	/* The result of a RUN arrives with its reply. */
	if (!member->token && task->state != RJ_TASK_RUNNING)
		return;
	if (member->token)
		member->state = task->state;
	if (task->state == RJ_TASK_DONE || task->state == RJ_TASK_FAILED)
		rj_member_keep_result(job, member, &task->result);
}

/* The member that a reported task belongs to, or NULL. */
static struct rj_member *member_of(struct rj_core_state *core,
				   const struct rj_upstream *upstream,
				   const struct rj_task_report *task)
{
	struct rj_job *job = rj_jobs_find(core, task->attempt.job_id);

	if (!job || job->attempt.owner != task->attempt.owner ||
	    job->attempt.number != task->attempt.number ||
	    task->member >= job->member_count ||
	    job->members[task->member].upstream != upstream)
		return NULL;
	return &job->members[task->member];
}

/*
 * Cleans up a lease or task of this instance that belongs to none of its jobs.
 *
 * A release or stop may be lost. Polls renew all leases of this instance,
 * including those of abandoned attempts, so the worker's capacity would stay
 * allocated for the lifetime of the instance, with foreign tasks that no job
 * uses.
 */
static void clean_up_orphan(struct rj_core_state *core,
			    const struct rj_upstream *upstream,
			    const struct rj_task_report *task)
{
	if (task->holder != core->incarnation)
		return;
	rj_call_clean_up(core, upstream,
			 task->state == RJ_TASK_RUNNING ? RJ_WORKER_STOP :
							  RJ_WORKER_RELEASE,
			 &task->attempt, task->member, task->token);
}

/*
 * Whether a report that was requested well after the start shows that the
 * member did not start.
 *
 * A start call that waits for the end of the task does not time out early if it
 * is lost, and the job would hang until its deadline. The margin is the time
 * after which any other call has arrived or timed out.
 */
static bool start_was_lost(const struct rj_member *member, uint64_t asked_us)
{
	return !member->reported && member->start_sent &&
	       asked_us > member->start_us + RJ_CALL_TIMEOUT_US &&
	       (member->state == RJ_TASK_NONE ||
		member->state == RJ_TASK_HELD ||
		member->state == RJ_TASK_RUNNING);
}

static bool has_ended(const struct rj_member *member)
{
	return member->state == RJ_TASK_FAILED ||
	       member->state == RJ_TASK_STOPPED ||
	       member->state == RJ_TASK_DEAD;
}

/*
 * Applies a worker's report that was requested at `asked_us`: updates the
 * members of this instance's jobs and finds those that the worker no longer
 * has.
 */
void rj_jobs_apply_report(struct rj_core_state *core,
			  struct rj_upstream *upstream,
			  const struct rj_worker_report *report,
			  uint64_t asked_us)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &upstream->members)
		RJ_CONTAINER(at, struct rj_member, link)->reported = false;
	for (uint32_t i = 0; i < report->task_count; i++) {
		struct rj_member *member =
			member_of(core, upstream, &report->tasks[i]);

		if (!member)
			clean_up_orphan(core, upstream, &report->tasks[i]);
		else if (member->job->state == RJ_JOB_RUNNING)
			report_task(member->job, member, &report->tasks[i]);
	}
	/* Checking one job may end others in this list: restart after each. */
	for (bool again = true; again;) {
		again = false;
		RJ_FOR_EACH (at, next, &upstream->members) {
			struct rj_member *member =
				RJ_CONTAINER(at, struct rj_member, link);

			if (member->job->state != RJ_JOB_RUNNING)
				continue;
			if (start_was_lost(member, asked_us))
				rj_job_start_unconfirmed(member->job, member);
			else if (has_ended(member) ||
				 rj_job_all_done(member->job))
				rj_job_check_members(member->job);
			else
				continue;
			again = true;
			break;
		}
	}
}

/*
 * Whether a report without changes suffices. A member that was not in the last
 * full report can be judged only by another full one.
 */
bool rj_jobs_unchanged_suffices(const struct rj_upstream *upstream)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &upstream->members) {
		const struct rj_member *member =
			RJ_CONTAINER(at, struct rj_member, link);

		if (member->job->state == RJ_JOB_RUNNING && !member->reported)
			return false;
	}
	return true;
}

/* Continues a job after the loss of a member's worker. */
static void handle_member_lost(struct rj_member *member)
{
	struct rj_job *job = member->job;

	switch (job->state) {
	case RJ_JOB_LEASING:
		rj_job_release_members(job);
		rj_job_requeue(job, RETRY_DELAY_US, RJ_REASON_WORKER_LOST);
		break;
	case RJ_JOB_STARTING:
	case RJ_JOB_RUNNING:
		if (!job->idempotent) {
			rj_job_settle(job);
			break;
		}
		member->state = RJ_TASK_STOPPED;
		rj_job_stop_after_failure(job, RJ_REASON_WORKER_LOST);
		break;
	case RJ_JOB_STOPPING:
		member->state = RJ_TASK_STOPPED;
		rj_job_check_stopped(job);
		break;
	case RJ_JOB_ACCEPTING:
	case RJ_JOB_QUEUED:
	case RJ_JOB_CLAIMING:
	case RJ_JOB_SETTLING:
	case RJ_JOB_FORWARDED:
	case RJ_JOB_WATCHING:
	case RJ_JOB_ENDED:
	case RJ_JOB_STATE_COUNT:
		break;
	}
}

/* A member whose job has to react to the loss of the worker, or NULL. */
static struct rj_member *
next_affected_member(const struct rj_upstream *upstream)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &upstream->members) {
		struct rj_member *member =
			RJ_CONTAINER(at, struct rj_member, link);
		bool active = member->state != RJ_TASK_STOPPED &&
			      member->state != RJ_TASK_DONE &&
			      member->state != RJ_TASK_FAILED;

		if (member->job->state == RJ_JOB_LEASING ||
		    (active && (member->job->state == RJ_JOB_STARTING ||
				member->job->state == RJ_JOB_RUNNING ||
				member->job->state == RJ_JOB_STOPPING)))
			return member;
	}
	return NULL;
}

/*
 * Handles a worker that restarted or was unreachable for longer than its leases
 * last: all tasks on it have ended, with an unknown result.
 */
void rj_jobs_worker_lost(struct rj_core_state *core,
			 struct rj_upstream *upstream)
{
	struct rj_member *member;

	(void)core;
	while ((member = next_affected_member(upstream)))
		handle_member_lost(member);
}
