/*
 * STARTING, RUNNING and STOPPING: from held leases to the end of every
 * member.
 *
 * A gang's members start held still; only when all of them have started are
 * they let run. One that does not start, or ends early, stops all.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

#define CALL_TIMEOUT_US (2 * RJ_US_PER_S)
/* A call that answers at the end of the task; reports notice a dead worker
 * long before. */
#define WAIT_TIMEOUT_US (3600 * RJ_US_PER_S)
#define STOP_BACKOFF_US (300 * RJ_US_PER_MS)
/* After so many unanswered stops the lease's own end is waited for. */
#define STOP_TRIES 4
/* So many different workers failing one job point to the job. */
#define FAILURES_MAX 3
#define RETRY_DELAY_US (100 * RJ_US_PER_MS)
#define RETRY_TOKENS_MAX 50.0

/*
 * Make the members of the next attempt, without workers yet.
 */
void rj_job_set_members(struct rj_job *job, uint32_t count)
{
	rj_job_drop_members(job);
	job->members = talloc_zero_array(job, struct rj_member, count);
	assert(job->members);
	job->member_count = count;
}

/*
 * Put a member on its worker, which is polled from now on.
 */
void rj_member_attach(struct rj_job *job, struct rj_member *member,
		      struct rj_upstream *upstream)
{
	struct rj_core_state *core = job->core;

	member->job = job;
	member->upstream = upstream;
	rj_list_append(&upstream->members, &member->link);
	g_strlcpy(member->worker, upstream->name, sizeof(member->worker));
	upstream->own_members++;
	if (!upstream->owned && !upstream->polling && !upstream->poll.index)
		rj_timer_set(&core->timers, &upstream->poll,
			     core->now_us + RJ_US_PER_S);
}

/*
 * Forget the members of an attempt that is over.
 */
void rj_job_drop_members(struct rj_job *job)
{
	for (uint32_t i = 0; i < job->member_count; i++) {
		struct rj_upstream *upstream = job->members[i].upstream;

		if (!upstream)
			continue;
		assert(upstream->own_members);
		upstream->own_members--;
		rj_list_remove(&job->members[i].link);
		TALLOC_FREE(job->members[i].result);
	}
	TALLOC_FREE(job->members);
	job->member_count = 0;
}

/* What a member needs of its worker in all. */
static struct rj_resources member_needs(const struct rj_job *job,
					const struct rj_member *member)
{
	struct rj_resources needs;

	memset(&needs, 0, sizeof(needs));
	rj_resources_add(&needs, &job->spec.shape.each, member->tasks);
	return needs;
}

/*
 * Call a member's worker; the reply comes back to this member as long as the
 * attempt lasts. Returns the call, for what `op` needs besides.
 */
struct rj_worker_call *rj_job_call(struct rj_job *job, struct rj_member *member,
				   enum rj_worker_op op)
{
	struct rj_core_state *core = job->core;
	struct rj_action *action;
	struct rj_worker_call *out;
	struct rj_call *call;

	call = talloc_zero(core, struct rj_call);
	assert(call);
	call->call_id = rj_core_next_id(core);
	call->op = op;
	call->job_id = job->spec.job_id;
	call->owner = job->attempt.owner;
	call->attempt = job->attempt.number;
	call->member = (uint32_t)(member - job->members);
	call->sent_us = core->now_us;
	g_hash_table_insert(core->jobs.calls, &call->call_id, call);
	member->call_id = call->call_id;
	action = rj_actions_add(core->actions, RJ_ACTION_WORKER_CALL);
	out = &action->u.worker_call;
	out->call_id = call->call_id;
	out->op = op;
	g_strlcpy(out->worker, member->worker, sizeof(out->worker));
	if (member->upstream)
		out->address = member->upstream->address;
	out->timeout_us = CALL_TIMEOUT_US;
	out->holder = core->incarnation;
	out->attempt = job->attempt;
	out->member = call->member;
	out->gang = job->member_count;
	out->token = member->token;
	g_strlcpy(out->account, job->spec.account, sizeof(out->account));
	g_strlcpy(out->class_name, job->spec.class_name,
		  sizeof(out->class_name));
	out->each = member_needs(job, member);
	out->life_us = rj_upstreams_lease_life_us(core);
	if (op == RJ_WORKER_LEASE || op == RJ_WORKER_RENEW)
		member->lease_until_us = core->now_us + out->life_us;
	return out;
}

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
void rj_job_run_on(struct rj_job *job)
{
	struct rj_core_state *core = job->core;
	struct rj_worker_call *call;

	assert(job->member_count == 1 && job->idempotent);
	rj_job_enter(job, RJ_JOB_RUNNING);
	job->started = true;
	job->started_us = core->now_us;
	job->members[0].start_sent = true;
	job->members[0].start_us = core->now_us;
	call = rj_job_call(job, &job->members[0], RJ_WORKER_RUN);
	call->timeout_us = WAIT_TIMEOUT_US;
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

	rj_job_enter(job, RJ_JOB_STARTING);
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
			call->timeout_us = WAIT_TIMEOUT_US;
		fill_start(job, call);
	}
	if (single && job->spec.wait)
		rj_job_enter(job, RJ_JOB_RUNNING);
}

/*
 * Keep the result of a member until the job ends.
 */
void rj_member_keep_result(struct rj_job *job, struct rj_member *member,
			   const struct rj_bytes *result)
{
	TALLOC_FREE(member->result);
	member->result_length = result->length;
	if (!result->length)
		return;
	member->result = talloc_memdup(job, result->data, result->length);
	assert(member->result);
}

/* End the job with the result of its first member. */
static void end_with_result(struct rj_job *job, enum rj_answer_kind kind,
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
		rj_job_give_up(job, RJ_REASON_CANCELLED, 0);
		return;
	}
	if (job->accepted) {
		rj_job_requeue(job, rj_core_jitter_us(core, RJ_US_PER_S),
			       reason);
		return;
	}
	if (core->jobs.retry_tokens < 1.0) {
		rj_job_give_up(job, RJ_REASON_RETRY_BUDGET,
			       rj_core_jitter_us(core, 2 * RJ_US_PER_S));
		return;
	}
	core->jobs.retry_tokens -= 1.0;
	rj_core_count(core, RJ_COUNT_RETRIES);
	rj_job_requeue(job, rj_core_jitter_us(core, RETRY_DELAY_US), reason);
}

/* The job's work ended well. */
static void succeeded(struct rj_job *job)
{
	struct rj_core_state *core = job->core;
	double share =
		core->config ? core->config->limits.retry_percent / 100.0 : 0.1;

	for (uint32_t i = 0; i < job->member_count; i++)
		if (job->members[i].upstream)
			rj_upstreams_succeeded(core, job->members[i].upstream);
	core->jobs.retry_tokens += share;
	if (core->jobs.retry_tokens > RETRY_TOKENS_MAX)
		core->jobs.retry_tokens = RETRY_TOKENS_MAX;
	end_with_result(job, RJ_ANSWER_DONE, RJ_REASON_NONE);
}

/* A member failed: the worker or the job is at fault. */
static void member_failed(struct rj_job *job, struct rj_member *member)
{
	struct rj_core_state *core = job->core;

	if (member->upstream) {
		if (job->failures < RJ_PLAN_AVOID_MAX)
			job->failed_on[job->failures] = member->upstream->index;
		rj_upstreams_failed(core, member->upstream, job->spec.job_id);
	}
	job->failures++;
}

/* Whether a member is in a state. */
static struct rj_member *member_in(struct rj_job *job, enum rj_task_state state)
{
	for (uint32_t i = 0; i < job->member_count; i++)
		if (job->members[i].state == state)
			return &job->members[i];
	return NULL;
}

/* Whether all members have ended well. */
static bool all_done(const struct rj_job *job)
{
	for (uint32_t i = 0; i < job->member_count; i++)
		if (job->members[i].state != RJ_TASK_DONE)
			return false;
	return job->member_count > 0;
}

/* Stop what still runs, then try again elsewhere or end as failed. */
static void stop_after_failure(struct rj_job *job, enum rj_reason reason)
{
	bool again = job->idempotent && job->failures < FAILURES_MAX;

	job->ending = !again;
	job->final.kind = RJ_ANSWER_FAILED;
	job->final.reason = reason;
	rj_job_stop(job, false, 0);
}

/*
 * Look at the members of a running job: all done, one failed, one stopped.
 */
void rj_job_check(struct rj_job *job)
{
	struct rj_member *member;

	if (job->state != RJ_JOB_RUNNING && job->state != RJ_JOB_STARTING)
		return;
	if (all_done(job)) {
		succeeded(job);
		return;
	}
	member = member_in(job, RJ_TASK_FAILED);
	if (member) {
		member_failed(job, member);
		if (job->member_count == 1 &&
		    (!job->idempotent || job->failures >= FAILURES_MAX))
			end_with_result(job, RJ_ANSWER_FAILED,
					RJ_REASON_TASK_FAILED);
		else
			stop_after_failure(job, RJ_REASON_TASK_FAILED);
		return;
	}
	if (member_in(job, RJ_TASK_STOPPED) || member_in(job, RJ_TASK_DEAD) ||
	    member_in(job, RJ_TASK_NONE))
		stop_after_failure(job, RJ_REASON_WORKER_LOST);
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
static void let_run(struct rj_job *job)
{
	rj_job_enter(job, RJ_JOB_RUNNING);
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
		rj_upstreams_poll_soon(job->core, member->upstream);
	if (job->member_count > 1) {
		stop_after_failure(job, RJ_REASON_LEASE_LAPSED);
		return;
	}
	job->started = false;
	if (job->claimed)
		rj_claims_void(job);
	rj_job_retry(job, RJ_REASON_LEASE_LAPSED);
}

/* Nobody can say whether that member started. Work that may run again is
 * stopped there, unheard, and tried elsewhere; for all other work the worker
 * is asked until it tells. */
static void start_lost(struct rj_job *job, struct rj_member *member)
{
	if (!job->idempotent || job->claimed) {
		rj_job_settle(job);
		return;
	}
	if (job->member_count > 1) {
		stop_after_failure(job, RJ_REASON_WORKER_LOST);
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
		start_lost(job, member);
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
		let_run(job);
	if (reply->state != RJ_TASK_RUNNING)
		rj_job_check(job);
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
	if (reply->status == RJ_REPLY_LOST && member->tries++ < STOP_TRIES)
		rj_job_call(job, member, RJ_WORKER_THROTTLE)->throttle_percent =
			100;
}

/* Whether a member may still run or hold its lease. */
static bool member_live(const struct rj_member *member)
{
	return member->state == RJ_TASK_HELD ||
	       member->state == RJ_TASK_RUNNING ||
	       (member->state == RJ_TASK_NONE && member->start_sent);
}

/* Whether no member ever started: each worker says that its token died. */
static bool all_dead(const struct rj_job *job)
{
	for (uint32_t i = 0; i < job->member_count; i++)
		if (job->members[i].state != RJ_TASK_DEAD)
			return false;
	return job->member_count > 0;
}

/* The starts never arrived, and never will: the job did not run. */
static void stopped_unstarted(struct rj_job *job)
{
	job->started = false;
	if (job->claimed)
		rj_claims_void(job);
	if (job->cancelled)
		rj_job_give_up(job, job->final.reason, 0);
	else
		rj_job_retry(job, RJ_REASON_LEASE_LAPSED);
}

/* Every member has stopped: end the job or let it wait again. */
static void stopped(struct rj_job *job)
{
	if (all_done(job)) {
		succeeded(job);
		return;
	}
	if (all_dead(job)) {
		stopped_unstarted(job);
		return;
	}
	if (job->ending) {
		end_with_result(job, job->final.kind, job->final.reason);
		return;
	}
	if (job->claimed)
		rj_claims_void(job);
	if (job->reclaimed) {
		rj_job_requeue(job, 0, RJ_REASON_RECLAIMED);
		return;
	}
	rj_job_retry(job, job->final.reason);
}

/*
 * Stop every member that may still run, with a checkpoint first where
 * `checkpoint` says so. Called again by the timer while workers do not
 * answer; after STOP_TRIES the end of the lease, which nobody renews, is
 * taken for the stop.
 */
void rj_job_stop(struct rj_job *job, bool checkpoint, uint64_t limit_us)
{
	struct rj_core_state *core = job->core;
	bool first = job->state != RJ_JOB_STOPPING;
	bool open = false;

	if (first) {
		rj_job_enter(job, RJ_JOB_STOPPING);
	}
	for (uint32_t i = 0; i < job->member_count; i++) {
		struct rj_member *member = &job->members[i];
		struct rj_worker_call *call;

		if (first)
			member->tries = 0;
		if (!member_live(member))
			continue;
		if (member->tries++ >= STOP_TRIES &&
		    core->now_us > job->step_started_us +
					   rj_upstreams_lease_life_us(core)) {
			member->state = RJ_TASK_STOPPED;
			continue;
		}
		open = true;
		call = rj_job_call(job, member,
				   checkpoint ? RJ_WORKER_CHECKPOINT :
						RJ_WORKER_STOP);
		call->limit_us = limit_us;
		if (checkpoint)
			call->timeout_us = limit_us + CALL_TIMEOUT_US;
	}
	if (!open) {
		stopped(job);
		return;
	}
	/* A checkpoint that is not done within its limit is cut by a stop. */
	rj_timer_set(&core->timers, &job->step,
		     core->now_us + (checkpoint ? limit_us : CALL_TIMEOUT_US) +
			     STOP_BACKOFF_US);
}

/* Whether no member may still run. */
static bool none_live(const struct rj_job *job)
{
	for (uint32_t i = 0; i < job->member_count; i++)
		if (member_live(&job->members[i]))
			return false;
	return true;
}

/*
 * A worker answered a STOP or a CHECKPOINT. A task that had ended before is
 * taken as it ended: it did run.
 */
void rj_job_stop_reply(struct rj_job *job, struct rj_member *member,
		       const struct rj_worker_reply *reply)
{
	if (job->state != RJ_JOB_STOPPING || reply->status == RJ_REPLY_LOST)
		return; /* the timer tries again */
	if (reply->status == RJ_REPLY_REFUSED || reply->state == RJ_TASK_NONE) {
		/* The worker knows no such lease: nothing of it runs, but it
		   may have run before the worker forgot it. */
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
	if (none_live(job))
		stopped(job);
}

/* Take what a report says of one task of the job. */
static void report_task(struct rj_job *job, struct rj_member *member,
			const struct rj_task_report *task)
{
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
 * A report that was asked for well after the start does not show the member
 * started.
 *
 * Guards against a start whose loss nobody tells, because the call waits for
 * the task's end: the job would hang until its deadline. The margin is the
 * time in which any call arrives or is given up.
 */
static bool vanished(const struct rj_member *member, uint64_t asked_us)
{
	return !member->reported && member->start_sent &&
	       asked_us > member->start_us + CALL_TIMEOUT_US &&
	       (member->state == RJ_TASK_NONE ||
		member->state == RJ_TASK_HELD ||
		member->state == RJ_TASK_RUNNING);
}

/* Whether a member has ended, by what is known of it. */
static bool ended(const struct rj_member *member)
{
	return member->state == RJ_TASK_FAILED ||
	       member->state == RJ_TASK_STOPPED ||
	       member->state == RJ_TASK_DEAD;
}

/*
 * Take a worker's report, asked for at `asked_us`: how members of own jobs
 * are, and which of them are gone without a word.
 */
void rj_jobs_report(struct rj_core_state *core, struct rj_upstream *upstream,
		    const struct rj_worker_report *report, uint64_t asked_us)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &upstream->members)
		RJ_CONTAINER(at, struct rj_member, link)->reported = false;
	for (uint32_t i = 0; i < report->task_count; i++) {
		struct rj_member *member =
			member_of(core, upstream, &report->tasks[i]);

		if (member && member->job->state == RJ_JOB_RUNNING)
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
			if (vanished(member, asked_us))
				start_lost(member->job, member);
			else if (ended(member) || all_done(member->job))
				rj_job_check(member->job);
			else
				continue;
			again = true;
			break;
		}
	}
}

/* Go on without a member whose worker is lost. */
static void member_lost(struct rj_member *member)
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
		stop_after_failure(job, RJ_REASON_WORKER_LOST);
		break;
	case RJ_JOB_STOPPING:
		member->state = RJ_TASK_STOPPED;
		if (none_live(job))
			stopped(job);
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
static struct rj_member *next_lost(const struct rj_upstream *upstream)
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
	while ((member = next_lost(upstream)))
		member_lost(member);
}

/* An answer to a call of an attempt that is over: leave nothing behind. */
static void stale_reply(struct rj_core_state *core, const struct rj_call *call,
			const struct rj_worker_reply *reply)
{
	struct rj_upstream *upstream = rj_upstreams_find(core, reply->worker);
	struct rj_action *action;
	struct rj_worker_call *out;

	if (call->op != RJ_WORKER_LEASE || reply->status != RJ_REPLY_OK ||
	    !upstream)
		return;
	action = rj_actions_add(core->actions, RJ_ACTION_WORKER_CALL);
	out = &action->u.worker_call;
	out->call_id = rj_core_next_id(core);
	out->op = RJ_WORKER_RELEASE;
	g_strlcpy(out->worker, upstream->name, sizeof(out->worker));
	out->address = upstream->address;
	out->timeout_us = CALL_TIMEOUT_US;
	out->holder = core->incarnation;
	out->attempt = reply->attempt;
	out->member = call->member;
	out->token = reply->token;
}

/* Whether a reply names the attempt that was asked about. One that names
 * another was crossed on its way, and says nothing about this one. */
static bool echoes(const struct rj_job *job, const struct rj_call *call,
		   const struct rj_worker_reply *reply)
{
	return reply->attempt.job_id == call->job_id &&
	       reply->attempt.owner == job->attempt.owner &&
	       reply->attempt.number == call->attempt;
}

/* Hand a reply to the job and member whose call it answers. */
static void job_reply(struct rj_core_state *core, const struct rj_call *call,
		      const struct rj_worker_reply *reply)
{
	struct rj_job *job = rj_jobs_find(core, call->job_id);
	struct rj_worker_reply crossed;
	struct rj_member *member;

	if (!job || job->attempt.owner != call->owner ||
	    job->attempt.number != call->attempt ||
	    call->member >= job->member_count) {
		stale_reply(core, call, reply);
		return;
	}
	if (!echoes(job, call, reply)) {
		crossed = *reply;
		crossed.status = RJ_REPLY_LOST;
		reply = &crossed;
	}
	member = &job->members[call->member];
	if (member->call_id == call->call_id)
		member->call_id = 0;
	if (reply->leaving && member->upstream)
		rj_upstreams_leaving(core, member->upstream,
				     reply->incarnation);
	switch (call->op) {
	case RJ_WORKER_LEASE:
		rj_job_lease_reply(job, member, reply);
		break;
	case RJ_WORKER_START:
	case RJ_WORKER_RUN:
		rj_job_start_reply(job, member, reply);
		break;
	case RJ_WORKER_THROTTLE:
		rj_job_throttle_reply(job, member, reply);
		break;
	case RJ_WORKER_STOP:
	case RJ_WORKER_CHECKPOINT:
		rj_job_stop_reply(job, member, reply);
		break;
	case RJ_WORKER_FENCE:
		rj_job_fence_reply(job, member, reply);
		break;
	case RJ_WORKER_RENEW:
		rj_job_renew_reply(job, member, reply);
		break;
	case RJ_WORKER_RELEASE:
	case RJ_WORKER_REPORT:
	case RJ_WORKER_OP_COUNT:
		break;
	}
}

/*
 * What became of a call to a worker. A reply without a call is a repeat of
 * one that was answered, and is dropped.
 */
void rj_jobs_worker_reply(struct rj_core_state *core,
			  const struct rj_worker_reply *reply)
{
	struct rj_call *call =
		g_hash_table_lookup(core->jobs.calls, &reply->call_id);

	if (!call)
		return;
	g_hash_table_remove(core->jobs.calls, &reply->call_id);
	if (call->op == RJ_WORKER_REPORT)
		rj_upstreams_report(core,
				    core->upstreams.by_index[call->upstream],
				    reply, call->sent_us);
	else
		job_reply(core, call, reply);
	talloc_free(call);
}
