/*
 * What workers report of the members of own jobs, and what is gone with a
 * worker that is lost.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

#define RETRY_DELAY_US (100 * RJ_US_PER_MS)

/*
 * A worker told how a member is. A gang's member that is held still is
 * running, too, and has made no progress.
 */
void rj_job_record_progress(struct rj_job *job, enum rj_task_state state,
			    uint64_t ran_us)
{
	if (state == RJ_TASK_DONE || state == RJ_TASK_FAILED || ran_us ||
	    (state == RJ_TASK_RUNNING && job->member_count == 1))
		job->ran = true;
}

/* Take what a report says of one task of the job. */
static void report_task(struct rj_job *job, struct rj_member *member,
			const struct rj_task_report *task)
{
	rj_job_record_progress(job, task->state, task->ran_us);
	member->ran_us = task->ran_us;
	if (task->state == RJ_TASK_HELD)
		return; /* an older picture than the start, or a lost start */
	member->reported = true;
	if (member->state == RJ_TASK_DONE || member->state == RJ_TASK_FAILED)
		return;
	/* The result of a RUN comes with its own answer. */
	if (!member->token && task->state != RJ_TASK_RUNNING)
		return;
	if (member->token)
		member->state = task->state;
	if (task->state == RJ_TASK_DONE || task->state == RJ_TASK_FAILED)
		rj_member_keep_result(job, member, &task->result);
}

/* The member that a task in a report is of, or NULL. */
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
 * Clear away a lease or task of this instance that belongs to no job of it.
 *
 * Guards against a release or a stop that was lost: reports renew all leases
 * of this instance, those of abandoned attempts as well, so the worker would
 * stay taken for as long as the instance lives. It shows as workers full of
 * foreign tasks that nobody runs.
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
 * A report that was asked for well after the start does not show the member
 * started.
 *
 * Guards against a start whose loss nobody tells, because the call waits for
 * the task's end: the job would hang until its deadline. The margin is the
 * time in which any call arrives or is given up.
 */
static bool start_was_lost(const struct rj_member *member, uint64_t asked_us)
{
	return !member->reported && member->start_sent &&
	       asked_us > member->start_us + RJ_CALL_TIMEOUT_US &&
	       (member->state == RJ_TASK_NONE ||
		member->state == RJ_TASK_HELD ||
		member->state == RJ_TASK_RUNNING);
}

/* Whether a member has ended, by what is known of it. */
static bool has_ended(const struct rj_member *member)
{
	return member->state == RJ_TASK_FAILED ||
	       member->state == RJ_TASK_STOPPED ||
	       member->state == RJ_TASK_DEAD;
}

/*
 * Take a worker's report, asked for at `asked_us`: how members of own jobs
 * are, and which of them are gone without a word.
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
	/* One member's job may end others here: start over after each. */
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
 * A worker reports nothing new. Returns whether that is enough: a member that
 * was not in the last whole report can be judged only by another whole one.
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

/* Go on without a member whose worker is lost. */
static void handle_member_lost(struct rj_member *member)
{
	struct rj_job *job = member->job;

	switch (job->state) {
	case RJ_JOB_HOLDING:
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

/* A member of a job that has to go on without its worker, or NULL. */
static struct rj_member *
next_affected_member(const struct rj_upstream *upstream)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &upstream->members) {
		struct rj_member *member =
			RJ_CONTAINER(at, struct rj_member, link);
		bool live = member->state != RJ_TASK_STOPPED &&
			    member->state != RJ_TASK_DONE &&
			    member->state != RJ_TASK_FAILED;

		if (member->job->state == RJ_JOB_HOLDING ||
		    (live && (member->job->state == RJ_JOB_STARTING ||
			      member->job->state == RJ_JOB_RUNNING ||
			      member->job->state == RJ_JOB_STOPPING)))
			return member;
	}
	return NULL;
}

/*
 * A worker restarted, or was silent for longer than its leases live: all
 * that ran there has ended, and nobody can say how.
 */
void rj_jobs_worker_lost(struct rj_core_state *core,
			 struct rj_upstream *upstream)
{
	struct rj_member *member;

	(void)core;
	while ((member = next_affected_member(upstream)))
		handle_member_lost(member);
}
