/*
 * STARTING and RUNNING: from held leases to the end of every member.
 *
 * A gang's members start held still; only when all of them have started are
 * they let run. One that does not start, or ends early, stops all.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

/* A call that answers at the end of the task; reports notice a dead worker
 * long before. */
#define TASK_END_TIMEOUT_US (3600 * RJ_US_PER_S)
/* After so many lost answers the next reports show whether it runs. */
#define THROTTLE_TRIES 4
/* So many different workers failing one job point to the job. */
#define FAILURES_MAX 3
#define RETRY_DELAY_US (100 * RJ_US_PER_MS)
#define RETRY_TOKENS_MAX 50.0

/* Fill what a START and a RUN need besides. */
static void fill_start(struct rj_job *job, struct rj_worker_call *call)
{
	call->declared_us = job->spec.declared_us;
	call->resume_us = job->resume_us;
	rj_bytes_copy(job->core->actions->mem, &call->body, &job->spec.body);
}

/*
 * Lease and start in one call, for a single task that may run again: the
 * answer is the result. Small jobs cost one call and never touch the log.
 */
void rj_job_lease_and_start(struct rj_job *job)
{
	struct rj_core_state *core = job->core;
	struct rj_worker_call *call;

	assert(job->member_count == 1 && job->idempotent);
	rj_job_enter_state(job, RJ_JOB_RUNNING);
	job->started = true;
	job->started_us = core->now_us;
	job->members[0].start_sent = true;
	job->members[0].start_us = core->now_us;
	call = rj_job_call(job, &job->members[0], RJ_WORKER_RUN);
	call->timeout_us = TASK_END_TIMEOUT_US;
	call->throttle_percent = 100;
	fill_start(job, call);
	rj_core_count(core, RJ_COUNT_STARTS);
}

/*
 * Every lease is held and, where one is needed, the claim was read back as
 * the winning one: start all members. A gang starts held still.
 */
void rj_job_start(struct rj_job *job)
{
	struct rj_core_state *core = job->core;
	bool single = job->member_count == 1;

	rj_job_enter_state(job, RJ_JOB_STARTING);
	job->started = true;
	job->started_us = core->now_us;
	rj_core_count(core, RJ_COUNT_STARTS);
	rj_core_log(core, RJ_LOG_START, RJ_REASON_NONE, job,
		    job->members[0].worker);
	for (uint32_t i = 0; i < job->member_count; i++) {
		struct rj_worker_call *call;

		job->members[i].start_sent = true;
		job->members[i].start_us = core->now_us;
		call = rj_job_call(job, &job->members[i], RJ_WORKER_START);
		call->throttle_percent = single ? 100 : 0;
		call->wait = single && job->spec.wait;
		if (call->wait)
			call->timeout_us = TASK_END_TIMEOUT_US;
		fill_start(job, call);
	}
	if (single && job->spec.wait)
		rj_job_enter_state(job, RJ_JOB_RUNNING);
}

/*
 * End the job with the result of its first member.
 */
void rj_job_end_with_result(struct rj_job *job, enum rj_answer_kind kind,
			    enum rj_reason reason)
{
	struct rj_answer answer;

	memset(&answer, 0, sizeof(answer));
	answer.kind = kind;
	answer.reason = reason;
	answer.result.data = job->members[0].result;
	answer.result.length = job->members[0].result_length;
	/* A worker lists an ended task until it is released. */
	for (uint32_t i = 0; i < job->member_count; i++)
		if (job->members[i].token && !job->spec.wait)
			rj_job_call(job, &job->members[i], RJ_WORKER_RELEASE);
	rj_job_end(job, &answer);
}

/*
 * Try the job again elsewhere, within the retry budget: retries are a share
 * of successes, so that a fault that fails everything is not multiplied.
 */
void rj_job_retry(struct rj_job *job, enum rj_reason reason)
{
	struct rj_core_state *core = job->core;

	assert(job->idempotent || !job->started);
	if (job->cancelled) {
		rj_job_abandon(job, RJ_REASON_CANCELLED, 0);
		return;
	}
	if (job->accepted) {
		rj_job_requeue(job, rj_core_jitter_us(core, RJ_US_PER_S),
			       reason);
		return;
	}
	if (core->jobs.retry_tokens < 1.0) {
		rj_job_abandon(job, RJ_REASON_RETRY_BUDGET,
			       rj_core_jitter_us(core, RJ_COME_BACK_US));
		return;
	}
	core->jobs.retry_tokens -= 1.0;
	rj_core_count(core, RJ_COUNT_RETRIES);
	rj_job_requeue(job, rj_core_jitter_us(core, RETRY_DELAY_US), reason);
}

/*
 * The job's work ended well.
 */
void rj_job_succeeded(struct rj_job *job)
{
	struct rj_core_state *core = job->core;
	double share =
		core->config ? core->config->limits.retry_percent / 100.0 : 0.1;

	for (uint32_t i = 0; i < job->member_count; i++)
		if (job->members[i].upstream)
			rj_upstreams_record_success(core,
						    job->members[i].upstream);
	core->jobs.retry_tokens += share;
	if (core->jobs.retry_tokens > RETRY_TOKENS_MAX)
		core->jobs.retry_tokens = RETRY_TOKENS_MAX;
	rj_job_end_with_result(job, RJ_ANSWER_DONE, RJ_REASON_NONE);
}

/* A member failed: the worker or the job is at fault. */
static void member_failed(struct rj_job *job, struct rj_member *member)
{
	struct rj_core_state *core = job->core;

	if (member->upstream) {
		if (job->failures < RJ_PLAN_AVOID_MAX)
			job->failed_on[job->failures] = member->upstream->index;
		rj_upstreams_record_failure(core, member->upstream,
					    job->spec.job_id);
	}
	job->failures++;
}

/* Whether a member is in a state. */
static struct rj_member *find_member_in(struct rj_job *job,
					enum rj_task_state state)
{
	for (uint32_t i = 0; i < job->member_count; i++)
		if (job->members[i].state == state)
			return &job->members[i];
	return NULL;
}

/*
 * Whether all members have ended well.
 */
bool rj_job_all_done(const struct rj_job *job)
{
	for (uint32_t i = 0; i < job->member_count; i++)
		if (job->members[i].state != RJ_TASK_DONE)
			return false;
	return job->member_count > 0;
}

/*
 * Stop what still runs, then try again elsewhere or end as failed.
 */
void rj_job_stop_after_failure(struct rj_job *job, enum rj_reason reason)
{
	bool retry = job->idempotent && job->failures < FAILURES_MAX;

	job->ending = !retry;
	job->final.kind = RJ_ANSWER_FAILED;
	job->final.reason = reason;
	rj_job_stop(job, false, 0);
}

/*
 * Look at the members of a running job: all done, one failed, one stopped.
 */
void rj_job_check_members(struct rj_job *job)
{
	struct rj_member *member;

	if (job->state != RJ_JOB_RUNNING && job->state != RJ_JOB_STARTING)
		return;
	if (rj_job_all_done(job)) {
		rj_job_succeeded(job);
		return;
	}
	member = find_member_in(job, RJ_TASK_FAILED);
	if (member) {
		member_failed(job, member);
		if (job->member_count == 1 &&
		    (!job->idempotent || job->failures >= FAILURES_MAX))
			rj_job_end_with_result(job, RJ_ANSWER_FAILED,
					       RJ_REASON_TASK_FAILED);
		else
			rj_job_stop_after_failure(job, RJ_REASON_TASK_FAILED);
		return;
	}
	if (find_member_in(job, RJ_TASK_STOPPED) ||
	    find_member_in(job, RJ_TASK_DEAD) ||
	    find_member_in(job, RJ_TASK_NONE))
		rj_job_stop_after_failure(job, RJ_REASON_WORKER_LOST);
}

/* Whether all members have started. */
static bool all_running(const struct rj_job *job)
{
	for (uint32_t i = 0; i < job->member_count; i++)
		if (job->members[i].state != RJ_TASK_RUNNING &&
		    job->members[i].state != RJ_TASK_DONE)
			return false;
	return true;
}

/* All members have started: let a gang run. */
static void release_gang(struct rj_job *job)
{
	rj_job_enter_state(job, RJ_JOB_RUNNING);
	if (job->member_count == 1)
		return;
	for (uint32_t i = 0; i < job->member_count; i++)
		rj_job_call(job, &job->members[i], RJ_WORKER_THROTTLE)
			->throttle_percent = 100;
}

/* A start was refused: that member surely did not start. */
static void start_refused(struct rj_job *job, struct rj_member *member)
{
	member->state = RJ_TASK_DEAD;
	if (member->upstream)
		rj_upstreams_poll_now(job->core, member->upstream);
	if (job->member_count > 1) {
		rj_job_stop_after_failure(job, RJ_REASON_LEASE_LAPSED);
		return;
	}
	job->started = false;
	if (job->claimed)
		rj_claims_append_void(job);
	rj_job_retry(job, RJ_REASON_LEASE_LAPSED);
}

/*
 * Nobody can say whether that member started. Work that may run again is
 * stopped there, unheard, and tried elsewhere; for all other work the worker
 * is asked until it tells.
 */
void rj_job_start_unconfirmed(struct rj_job *job, struct rj_member *member)
{
	if (!job->idempotent || job->claimed) {
		rj_job_settle(job);
		return;
	}
	if (job->member_count > 1) {
		rj_job_stop_after_failure(job, RJ_REASON_WORKER_LOST);
		return;
	}
	rj_job_call(job, member, RJ_WORKER_STOP);
	rj_job_retry(job, RJ_REASON_WORKER_LOST);
}

/*
 * A worker answered a START or a RUN. A lost answer says nothing: the worker
 * is asked, and only work that may run again is tried elsewhere.
 */
void rj_job_start_reply(struct rj_job *job, struct rj_member *member,
			const struct rj_worker_reply *reply)
{
	if (job->state != RJ_JOB_STARTING && job->state != RJ_JOB_RUNNING)
		return;
	if (reply->status == RJ_REPLY_LOST) {
		rj_job_start_unconfirmed(job, member);
		return;
	}
	if (reply->status == RJ_REPLY_REFUSED) {
		start_refused(job, member);
		return;
	}
	member->state = reply->state;
	member->ran_us = reply->ran_us;
	if (reply->token)
		member->token = reply->token;
	member->incarnation = reply->incarnation;
	if (reply->state == RJ_TASK_DONE || reply->state == RJ_TASK_FAILED)
		rj_member_keep_result(job, member, &reply->result);
	if (job->state == RJ_JOB_STARTING && all_running(job))
		release_gang(job);
	if (reply->state != RJ_TASK_RUNNING)
		rj_job_check_members(job);
}

/*
 * A worker answered that a member is let run. A lost or refused answer is
 * repeated with the next report, which shows whether the member still runs.
 */
void rj_job_throttle_reply(struct rj_job *job, struct rj_member *member,
			   const struct rj_worker_reply *reply)
{
	if (job->state != RJ_JOB_RUNNING)
		return;
	if (reply->status == RJ_REPLY_LOST && member->tries++ < THROTTLE_TRIES)
		rj_job_call(job, member, RJ_WORKER_THROTTLE)->throttle_percent =
			100;
}
