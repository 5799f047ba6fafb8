/*
 * Members of jobs, the calls to their workers, and the replies to those calls.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

/* A worker grants or refuses a lease at once, and an unanswered lease request
 * has started nothing. The timeout is therefore short, so that a guaranteed
 * shape whose capacity was just freed is soon placed elsewhere. */
#define LEASE_TIMEOUT_US (500 * RJ_US_PER_MS)

/*
 * Allocates `count` members for the next attempt, without workers, and frees
 * those of the previous attempt.
 */
void rj_job_alloc_members(struct rj_job *job, uint32_t count)
{
	rj_job_free_members(job);
	job->members = talloc_zero_array(job, struct rj_member, count);
	assert(job->members);
	job->member_count = count;
}

/*
 * Assigns a worker to a member. The worker is polled from now on, also if this
 * instance does not own it.
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
 * Frees the members of a finished attempt with their results.
 */
void rj_job_free_members(struct rj_job *job)
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

/*
 * Keeps a copy of a member's result until the members of the attempt are freed.
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

/* Total resources that a member needs on its worker. */
static struct rj_resources member_needs(const struct rj_job *job,
					const struct rj_member *member)
{
	struct rj_resources needs;

	memset(&needs, 0, sizeof(needs));
	rj_resources_add(&needs, &job->spec.shape.each, member->tasks);
	return needs;
}

/*
 * Calls a member's worker. The reply is delivered to this member while the
 * attempt lasts. Returns the call, so that the caller can set the fields
 * specific to `op`; it is valid until the next action is added.
 */
struct rj_worker_call *rj_job_call(struct rj_job *job, struct rj_member *member,
				   enum rj_worker_op op)
{
	struct rj_core_state *core = job->core;
	struct rj_action *action;
	struct rj_worker_call *worker_call;
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
	worker_call = &action->u.worker_call;
	worker_call->call_id = call->call_id;
	worker_call->op = op;
	g_strlcpy(worker_call->worker, member->worker,
		  sizeof(worker_call->worker));
	if (member->upstream)
		worker_call->address = member->upstream->address;
	worker_call->timeout_us =
		op == RJ_WORKER_LEASE ? LEASE_TIMEOUT_US : RJ_CALL_TIMEOUT_US;
	worker_call->holder = core->incarnation;
	worker_call->attempt = job->attempt;
	worker_call->member = call->member;
	worker_call->gang = job->member_count;
	worker_call->token = member->token;
	g_strlcpy(worker_call->account, job->spec.account,
		  sizeof(worker_call->account));
	g_strlcpy(worker_call->class_name, job->spec.class_name,
		  sizeof(worker_call->class_name));
	worker_call->each = member_needs(job, member);
	worker_call->life_us = rj_upstreams_lease_duration_us(core);
	worker_call->connections_max = rj_membership_worker_connections(core);
	return worker_call;
}

/*
 * Cleans up on a worker after an attempt that is over: RELEASE for a lease or a
 * finished task, STOP for a running task. The reply is ignored.
 */
void rj_call_clean_up(struct rj_core_state *core,
		      const struct rj_upstream *upstream, enum rj_worker_op op,
		      const struct rj_attempt *attempt, uint32_t member,
		      uint64_t token)
{
	struct rj_action *action =
		rj_actions_add(core->actions, RJ_ACTION_WORKER_CALL);
	struct rj_worker_call *worker_call = &action->u.worker_call;

	worker_call->call_id = rj_core_next_id(core);
	worker_call->op = op;
	g_strlcpy(worker_call->worker, upstream->name,
		  sizeof(worker_call->worker));
	worker_call->address = upstream->address;
	worker_call->timeout_us = RJ_CALL_TIMEOUT_US;
	worker_call->holder = core->incarnation;
	worker_call->attempt = *attempt;
	worker_call->member = member;
	worker_call->token = token;
}

/* Handles a reply to a call of an attempt that is over: a lease that was
 * granted meanwhile is released. */
static void release_stale_lease(struct rj_core_state *core,
				const struct rj_call *call,
				const struct rj_worker_reply *reply)
{
	const struct rj_upstream *upstream =
		rj_upstreams_find(core, reply->worker);

	if (call->op == RJ_WORKER_LEASE && reply->status == RJ_REPLY_OK &&
	    upstream)
		rj_call_clean_up(core, upstream, RJ_WORKER_RELEASE,
				 &reply->attempt, call->member, reply->token);
}

/* Whether a reply names the attempt of the call. One that names another attempt
 * was misdelivered and does not apply to this one. */
static bool matches_attempt(const struct rj_job *job,
			    const struct rj_call *call,
			    const struct rj_worker_reply *reply)
{
	return reply->attempt.job_id == call->job_id &&
	       reply->attempt.owner == job->attempt.owner &&
	       reply->attempt.number == call->attempt;
}

/* Delivers a reply to the job and member of its call. */
static void dispatch_reply(struct rj_core_state *core,
			   const struct rj_call *call,
			   const struct rj_worker_reply *reply)
{
	struct rj_job *job = rj_jobs_find(core, call->job_id);
	struct rj_worker_reply mismatched;
	struct rj_member *member;

	if (!job || job->attempt.owner != call->owner ||
	    job->attempt.number != call->attempt ||
	    call->member >= job->member_count) {
		release_stale_lease(core, call, reply);
		return;
	}
	if (!matches_attempt(job, call, reply)) {
		mismatched = *reply;
		mismatched.status = RJ_REPLY_LOST;
		reply = &mismatched;
	}
	member = &job->members[call->member];
	if (member->call_id == call->call_id)
		member->call_id = 0;
	if (reply->leaving && member->upstream)
		rj_upstreams_mark_leaving(core, member->upstream,
					  reply->incarnation);
	if (reply->status == RJ_REPLY_OK)
		rj_job_record_progress(job, reply->state, reply->ran_us);
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
 * Handles a worker's reply, or the loss of a call. A reply to an unknown call
 * is a duplicate and is dropped.
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
		rj_upstreams_receive_report(
			core, core->upstreams.by_index[call->upstream], reply,
			call->sent_us);
	else
		dispatch_reply(core, call, reply);
	talloc_free(call);
}
