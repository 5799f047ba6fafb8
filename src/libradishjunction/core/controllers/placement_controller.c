/*
 * QUEUED and LEASING: carries out the planner's decisions and obtains the
 * leases they need.
 *
 * All leases of a gang are requested at once, and one refusal releases the
 * others. No job waits while holding a lease, so two gangs that need the same
 * workers cannot deadlock; the back-off with jitter lets one of them succeed.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

#define LEASE_BACKOFF_US (50 * RJ_US_PER_MS)
#define ACCEPTED_BACKOFF_US (1 * RJ_US_PER_S)

/*
 * Fills the planner's description of the job.
 */
void rj_job_fill_plan(const struct rj_job *job, struct rj_plan_job *plan)
{
	memset(plan, 0, sizeof(*plan));
	plan->job_id = job->spec.job_id;
	g_strlcpy(plan->account, job->spec.account, sizeof(plan->account));
	g_strlcpy(plan->class_name, job->spec.class_name,
		  sizeof(plan->class_name));
	plan->shape = job->spec.shape;
	plan->priority = job->priority;
	plan->preemptible = job->idempotent || job->checkpoint;
	plan->checkpoint = job->checkpoint;
	plan->declared_us = job->spec.declared_us;
	plan->queued_us = job->arrived_us;
	plan->deadline_us = job->accepted ? RJ_NEVER_US : job->deadline_us;
	plan->avoid_count = job->failures < RJ_PLAN_AVOID_MAX ?
				    job->failures :
				    RJ_PLAN_AVOID_MAX;
	memcpy(plan->avoid, job->failed_on, sizeof(plan->avoid));
}

/*
 * Submits the job to the planner. A refused job is answered at once with a
 * retry time; an accepted job cannot be refused and is submitted again after a
 * back-off.
 */
void rj_job_submit(struct rj_job *job)
{
	struct rj_core_state *core = job->core;
	struct rj_plan_job plan;
	enum rj_reason reason = RJ_REASON_NONE;
	uint64_t retry_after_us = 0;

	assert(!job->planned);
	rj_job_enter_state(job, RJ_JOB_QUEUED);
	rj_job_fill_plan(job, &plan);
	if (!core->planner->ops->submit(core->planner, &plan, core->now_us,
					&reason, &retry_after_us)) {
		job->planned = true;
		core->jobs.plan_wanted = true;
		return;
	}
	rj_core_log(core, RJ_LOG_REFUSE, reason, job, NULL);
	if (!job->accepted) {
		rj_job_not_started(job, reason, retry_after_us);
		return;
	}
	rj_timer_set(&core->timers, &job->state_timer,
		     core->now_us +
			     rj_core_jitter_us(core, ACCEPTED_BACKOFF_US));
}

/*
 * Removes the job from the plan. `succeeded` tells the planner that its run
 * time is representative.
 */
void rj_job_remove_from_plan(struct rj_job *job, bool succeeded)
{
	struct rj_core_state *core = job->core;
	uint64_t ran_us = 0;

	if (!job->planned)
		return;
	if (job->started_us)
		ran_us = core->now_us - job->started_us;
	core->planner->ops->ended(core->planner, job->spec.job_id, succeeded,
				  ran_us, core->now_us);
	job->planned = false;
	core->jobs.plan_wanted = true;
}

/*
 * Queues the job again as a new attempt, after at least `delay_us`.
 */
void rj_job_requeue(struct rj_job *job, uint64_t delay_us,
		    enum rj_reason reason)
{
	struct rj_core_state *core = job->core;

	rj_core_log(core, RJ_LOG_RETRY, reason, job, NULL);
	rj_job_free_members(job);
	rj_job_enter_state(job, RJ_JOB_QUEUED);
	job->attempt.owner = core->incarnation;
	job->attempt.number = ++core->last_attempt;
	job->claimed = false;
	job->ran_before = job->ran_before || job->started;
	job->started = false;
	job->started_us = 0;
	job->reclaimed = false;
	if (!job->planned || job->failures || rj_route_prefers_peer(job)) {
		/* It is submitted again, with the workers to avoid, or handed
		 * over. */
		rj_job_remove_from_plan(job, false);
		rj_timer_set(&core->timers, &job->state_timer,
			     core->now_us + delay_us);
		return;
	}
	core->planner->ops->requeue(core->planner, job->spec.job_id,
				    core->now_us + delay_us, core->now_us);
	core->jobs.plan_wanted = true;
}

/* Assigns the workers named by a decision to the job's members. Returns false
 * if the decision has no members or names an unknown worker. */
static bool assign_members(struct rj_job *job,
			   const struct rj_decision *decision)
{
	struct rj_core_state *core = job->core;

	rj_job_alloc_members(job, decision->member_count);
	for (uint32_t i = 0; i < decision->member_count; i++) {
		uint32_t worker = decision->members[i].worker;

		if (worker >= core->upstreams.count)
			return false;
		job->members[i].tasks = decision->members[i].tasks;
		rj_member_attach(job, &job->members[i],
				 core->upstreams.by_index[worker]);
	}
	return decision->member_count > 0;
}

/* Requests the leases of all members. */
static void request_leases(struct rj_job *job)
{
	rj_job_enter_state(job, RJ_JOB_LEASING);
	for (uint32_t i = 0; i < job->member_count; i++) {
		rj_core_count(job->core, RJ_COUNT_LEASES);
		rj_job_call(job, &job->members[i], RJ_WORKER_LEASE);
	}
}

/* Starts a job where the planner placed it. */
static void handle_start(struct rj_job *job, const struct rj_decision *decision)
{
	assert(job->state == RJ_JOB_QUEUED);
	if (job->accepted && !rj_log_usable(job->core)) {
		/* Holds no lease while nothing can be claimed. */
		rj_job_requeue(job, ACCEPTED_BACKOFF_US,
			       RJ_REASON_PLATFORM_DOWN);
		return;
	}
	if (!assign_members(job, decision)) {
		rj_job_requeue(job, LEASE_BACKOFF_US, RJ_REASON_WORKER_LOST);
		return;
	}
	rj_core_log(job->core, RJ_LOG_PLACE, decision->reason, job,
		    job->members[0].worker);
	if (job->member_count == 1 && job->idempotent && job->spec.wait &&
	    !rj_job_needs_claim(job))
		rj_job_lease_and_start(job);
	else
		request_leases(job);
}

/* Makes the job give its capacity back within `limit_us`. */
static void reclaim(struct rj_job *job, enum rj_reason reason,
		    uint64_t limit_us)
{
	struct rj_core_state *core = job->core;

	rj_core_count(core, RJ_COUNT_RECLAIMS);
	rj_core_log(core, RJ_LOG_RECLAIM, reason, job,
		    job->member_count ? job->members[0].worker : NULL);
	switch (job->state) {
	case RJ_JOB_LEASING:
	case RJ_JOB_CLAIMING:
		/* Nothing has started, and without tokens nothing can. A claim
		 * that appears in the log later is fenced and voided. */
		rj_job_release_members(job);
		rj_job_requeue(job, LEASE_BACKOFF_US, RJ_REASON_RECLAIMED);
		break;
	case RJ_JOB_STARTING:
	case RJ_JOB_RUNNING:
		job->reclaimed = true;
		rj_job_stop(job, job->checkpoint, limit_us);
		break;
	case RJ_JOB_ACCEPTING:
	case RJ_JOB_QUEUED:
	case RJ_JOB_STOPPING:
	case RJ_JOB_SETTLING:
	case RJ_JOB_FORWARDED:
	case RJ_JOB_WATCHING:
	case RJ_JOB_ENDED:
	case RJ_JOB_STATE_COUNT:
		break;
	}
}

/* Updates the offers of the job's workers to the peers: the capacity that it
 * will free is reserved for a job here. */
static void update_offers(const struct rj_job *job)
{
	for (uint32_t i = 0; i < job->member_count; i++)
		if (job->members[i].upstream)
			rj_upstreams_update_offer(job->core,
						  job->members[i].upstream);
}

/*
 * Handles a rack owner's request to reclaim the capacity of a job that this
 * instance runs. An attempt that is over, or a job that can be neither repeated
 * nor checkpointed, is left alone.
 */
void rj_job_reclaim_for_peer(struct rj_core_state *core,
			     const struct rj_peer_cancel *cancel)
{
	struct rj_job *job = rj_jobs_find(core, cancel->job_id);

	if (!job || job->attempt.owner != cancel->reclaim_owner ||
	    job->attempt.number != cancel->reclaim_attempt ||
	    (!job->idempotent && !job->checkpoint))
		return;
	reclaim(job, RJ_REASON_OWNER, cancel->limit_us);
}

/* Handles a waiting job that the planner refuses. */
static void handle_refusal(struct rj_job *job,
			   const struct rj_decision *decision)
{
	job->planned = false;
	rj_core_log(job->core, RJ_LOG_REFUSE, decision->reason, job, NULL);
	if (!job->accepted)
		rj_job_not_started(job, decision->reason,
				   decision->retry_after_us);
	else if (decision->reason == RJ_REASON_NEVER_FITS)
		rj_job_abandon(job, decision->reason, 0);
	else
		rj_job_requeue(job, ACCEPTED_BACKOFF_US, decision->reason);
}

/* Carries out one decision of the planner. */
static void handle_decision(struct rj_core_state *core,
			    const struct rj_decision *decision)
{
	struct rj_job *job = rj_jobs_find(core, decision->job_id);

	if (!job && decision->kind == RJ_DECISION_RECLAIM)
		rj_foreign_reclaim(core, decision);
	if (!job || !job->planned)
		return;
	switch (decision->kind) {
	case RJ_DECISION_START:
		handle_start(job, decision);
		break;
	case RJ_DECISION_RECLAIM:
		update_offers(job);
		reclaim(job, decision->reason, decision->limit_us);
		break;
	case RJ_DECISION_REFUSE:
		handle_refusal(job, decision);
		break;
	case RJ_DECISION_KIND_COUNT:
		break;
	}
}

/*
 * Runs the planner if anything has changed, carries out its decisions and sets
 * its timer.
 */
void rj_jobs_plan(struct rj_core_state *core)
{
	struct rj_decisions *decisions = &core->jobs.decisions;
	uint64_t wake_us;

	/* A decision that frees capacity or refuses a job needs another pass.
	 * Two passes suffice for this; the timer handles the rest. */
	for (int pass = 0; pass < 2 && core->jobs.plan_wanted; pass++) {
		core->jobs.plan_wanted = false;
		core->planner->ops->pass(core->planner, core->now_us,
					 decisions);
		for (uint32_t i = 0; i < decisions->count; i++)
			handle_decision(core, &decisions->list[i]);
		rj_decisions_clear(decisions);
	}
	wake_us = core->planner->ops->wake_us(core->planner);
	/* A pass that changed nothing is not repeated at the same time. */
	if (core->jobs.plan_wanted || wake_us <= core->now_us)
		wake_us = core->now_us + RJ_US_PER_MS;
	rj_timer_set(&core->timers, &core->jobs.plan, wake_us);
}

/*
 * Releases every lease that is held or may be held. Nothing was started, so a
 * lost call only keeps its lease until that expires.
 */
void rj_job_release_members(struct rj_job *job)
{
	assert(!job->started);
	for (uint32_t i = 0; i < job->member_count; i++) {
		struct rj_member *member = &job->members[i];

		if (member->token || member->call_id)
			rj_job_call(job, member, RJ_WORKER_RELEASE);
	}
	rj_job_free_members(job);
}

static bool all_leased(const struct rj_job *job)
{
	for (uint32_t i = 0; i < job->member_count; i++)
		if (!job->members[i].token)
			return false;
	return true;
}

/*
 * Handles the answer to a lease request. One refusal releases all leases.
 */
void rj_job_lease_reply(struct rj_job *job, struct rj_member *member,
			const struct rj_worker_reply *reply)
{
	struct rj_core_state *core = job->core;
	struct rj_upstream *upstream = member->upstream;

	if (job->state != RJ_JOB_LEASING)
		return;
	if (reply->status == RJ_REPLY_OK && reply->token) {
		member->token = reply->token;
		member->incarnation = reply->incarnation;
		member->state = RJ_TASK_HELD;
		if (!all_leased(job))
			return;
		if (rj_job_needs_claim(job))
			rj_job_claim(job);
		else
			rj_job_start(job);
		return;
	}
	rj_core_count(core, RJ_COUNT_LEASES_REFUSED);
	if (reply->status == RJ_REPLY_LOST)
		member->call_id =
			reply->call_id; /* it may have granted a lease */
	rj_job_release_members(job);
	if (upstream)
		rj_upstreams_poll_now(core, upstream);
	rj_job_requeue(job, rj_core_jitter_us(core, LEASE_BACKOFF_US),
		       RJ_REASON_LEASE_REFUSED);
}
