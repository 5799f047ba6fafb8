/*
 * STARTING and RUNNING: from granted leases to the end of every member.
 *
 * The members of a gang start throttled to 0 %, which is lifted once all have
 * started. A member that does not start, or ends early, stops the whole gang.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

/* Timeout of a call that is answered at the end of the task; reports detect a
 * dead worker much earlier. */
#define TASK_END_TIMEOUT_US (3600 * RJ_US_PER_S)
/* How often lifting a member's throttle is retried after a lost answer; then
 * the next reports show whether the member runs. */
#define THROTTLE_TRIES 4
/* Failures on this many different workers are attributed to the job. */
#define FAILURES_MAX 3
#define RETRY_DELAY_US (100 * RJ_US_PER_MS)
#define RETRY_TOKENS_MAX 50.0

/* Sets the fields that only START and RUN need. */
static void fill_start(struct rj_job *job, struct rj_worker_call *call)
{
	call->declared_us = job->spec.declared_us;
	call->resume_us = job->resume_us;
	rj_bytes_copy(job->core->actions->mem, &call->body, &job->spec.body);
}

/*
 * Leases and starts a single idempotent task in one call, whose reply carries
 * the result. Small jobs thus cost one call and never use the log.
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
 * Starts all members. Every lease is held and, if a claim is needed, it was
 * read back as the winning one. A gang starts throttled to 0 %.
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
 * Ends the job with the result of its first member.
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
	/* A worker reports a finished task until it is released. */
	for (uint32_t i = 0; i < job->member_count; i++)
		if (job->members[i].token && !job->spec.wait)
			rj_job_call(job, &job->members[i], RJ_WORKER_RELEASE);
	rj_job_end(job, &answer);
}

/*
 * Retries the job within the retry budget. Retries are limited to a share of
 * the successes, so that a fault that affects every job does not multiply the
 * load.
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
			       rj_core_jitter_us(core, RJ_RETRY_AFTER_US));
		return;
	}
	core->jobs.retry_tokens -= 1.0;
	rj_core_count(core, RJ_COUNT_RETRIES);
	rj_job_requeue(job, rj_core_jitter_us(core, RETRY_DELAY_US), reason);
}

/*
 * Ends the job as done, resets the failure counts of its workers and adds to
 * the retry budget.
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

/* Attributes a failure to the worker and to the job; which of them is at fault
 * is not known yet. */
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

/* Returns a member in this state, or NULL. */
static struct rj_member *find_member_in(struct rj_job *job,
					enum rj_task_state state)
{
	for (uint32_t i = 0; i < job->member_count; i++)
		if (job->members[i].state == state)
			return &job->members[i];
	return NULL;
}

/*
 * Whether all members are done.
 */
bool rj_job_all_done(const struct rj_job *job)
{
	for (uint32_t i = 0; i < job->member_count; i++)
		if (job->members[i].state != RJ_TASK_DONE)
			return false;
	return job->member_count > 0;
}

/*
 * Stops the members that still run, then retries the job elsewhere or ends it
 * as failed.
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
 * Checks the members of a running job: ends it if all are done, and handles one
 * that failed or stopped.
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

/* All members have started: removes the throttle of a gang. */
static void release_gang(struct rj_job *job)
{
	rj_job_enter_state(job, RJ_JOB_RUNNING);
	if (job->member_count == 1)
		return;
	for (uint32_t i = 0; i < job->member_count; i++)
		rj_job_call(job, &job->members[i], RJ_WORKER_THROTTLE)
			->throttle_percent = 100;
}

/* A start was refused: this member did not start. */
static void start_refused(struct rj_job *job, struct rj_member *member)
{
	member->state = RJ_TASK_DEAD;
	if (member->upstream)
		rj_upstreams_poll_now(job->core, member->upstream);
	if (job->member_count > 1) {
		rj_job_stop_after_failure(job, RJ_REASON_LEASE_EXPIRED);
		return;
	}
	job->started = false;
	if (job->claimed)
		rj_claims_append_void(job);
	rj_job_retry(job, RJ_REASON_LEASE_EXPIRED);
}

/*
 * Handles a member that may or may not have started. An idempotent, unclaimed
 * job is stopped there without waiting for the answer and retried; for all
 * others the worker is fenced until it answers.
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
 * Handles the answer to a START or a RUN. After a lost answer the member may or
 * may not have started.
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
 * Handles the answer to lifting a gang member's throttle. A lost call is
 * retried up to THROTTLE_TRIES times; after that, and after a refusal, the next
 * report shows whether the member still runs.
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
