/*
 * Graceful shutdown: no new jobs, waiting jobs handed over to peers, every open
 * request answered, outcomes written to the log, then exit.
 */
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

/* Requests still open after this time are answered `unknown` with a retry
 * time. */
#define DRAIN_LIMIT_US (30 * RJ_US_PER_S)
/* Time for outcomes to reach the log after the last answer. */
#define DRAIN_OUTCOMES_US (5 * RJ_US_PER_S)
/* The load balancer notices within this time that the instance is not ready;
 * requests that arrive until then are forwarded to peers. */
#define DRAIN_ADMIT_US (10 * RJ_US_PER_S)
/* A job of another instance can be waited for at any instance, so these callers
 * are redirected early. */
#define DRAIN_WATCH_US (3 * RJ_US_PER_S)

/* Answers all waiters of a job; they ask again at another instance. */
static void redirect_waiters(struct rj_job *job, enum rj_answer_kind kind)
{
	rj_job_answer_without_result(job, kind, RJ_REASON_DRAINING,
				     RJ_US_PER_S);
}

/* The drain limit has passed: answers all open requests. */
static void limit_due(struct rj_core_state *core, struct rj_timer *timer)
{
	struct rj_list *at;
	struct rj_list *next;

	(void)timer;
	core->drain_expired = true;
	RJ_FOR_EACH (at, next, &core->jobs.list)
		redirect_waiters(RJ_CONTAINER(at, struct rj_job, link),
				 RJ_ANSWER_UNKNOWN);
}

/*
 * Redirects callers that wait here for a job of another instance.
 *
 * The drain would otherwise last as long as that job; the platform would end
 * the process and cut off the callers.
 */
static void watch_due(struct rj_core_state *core, struct rj_timer *timer)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->jobs.list) {
		struct rj_job *job = RJ_CONTAINER(at, struct rj_job, link);

		if (job->state != RJ_JOB_WATCHING)
			continue;
		redirect_waiters(job, RJ_ANSWER_UNKNOWN);
		rj_job_free(job);
	}
	rj_timer_set(&core->timers, timer, core->now_us + RJ_US_PER_S);
}

/*
 * Initialises the drain timers. A limit that was not set becomes
 * DRAIN_LIMIT_US.
 */
void rj_drain_init(struct rj_core_state *core)
{
	if (!core->drain_limit_us)
		core->drain_limit_us = DRAIN_LIMIT_US;
	rj_timer_init(&core->drain, limit_due);
	rj_timer_init(&core->drain_watch, watch_due);
}

/*
 * Hands a waiting job over. An accepted job is freed after its waiters were
 * answered; any other is resubmitted to the filters, which forward it to a peer
 * or, if there is none, serve it here.
 */
void rj_job_hand_over(struct rj_job *job)
{
	if (job->accepted) {
		/* Status requests may have arrived since the drain began. */
		redirect_waiters(job, RJ_ANSWER_ACCEPTED);
		rj_job_free(job); /* its next owner reads it in the log */
		return;
	}
	rj_job_remove_from_plan(job, false);
	job->hops = 0; /* rack ownership has changed since */
	rj_filters_resubmit(job);
}

/*
 * Hands waiting jobs over to peers: all of them if this instance is stopping or
 * owns no rack, else those that wait for a guaranteed shape that a peer owns
 * now. Called again when the view of the peers changes; while no peer is alive
 * the jobs are served here.
 */
void rj_drain_hand_over_jobs(struct rj_core_state *core)
{
	bool all = rj_racks_cannot_place(core);
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->jobs.list) {
		struct rj_job *job = RJ_CONTAINER(at, struct rj_job, link);

		if (job->state == RJ_JOB_QUEUED &&
		    (all || rj_route_prefers_peer(job)))
			rj_job_hand_over(job);
	}
}

/* Whether a peer of this failure domain accepts jobs. */
static bool peer_accepts_jobs(const struct rj_core_state *core)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);

		if (!strcmp(member->domain, core->domain) &&
		    rj_membership_accepts_jobs(core, member))
			return true;
	}
	return false;
}

/*
 * Whether a request of `class` is still admitted during a drain: within
 * DRAIN_ADMIT_US, if a peer can take it or its expected run time is less than
 * half of the drain limit.
 *
 * An instance that is replaced right after its start may know no peer yet;
 * refusing would answer "not run" though the service is healthy. The drain
 * stays bounded by DRAIN_ADMIT_US and by the half of the limit left to an
 * admitted request.
 */
bool rj_drain_admits(const struct rj_core_state *core,
		     const struct rj_job_class *class)
{
	if (core->now_us > core->stopping_us + DRAIN_ADMIT_US)
		return false;
	return peer_accepts_jobs(core) ||
	       2 * class->expected_us < core->drain_limit_us;
}

/*
 * Starts the drain; repeated calls have no effect.
 *
 * New jobs are refused, jobs that have not started are handed over to a named
 * peer, and the exit waits for every answer, so that a planned stop neither
 * cuts off callers nor loses their jobs.
 */
void rj_drain_start(struct rj_core_state *core)
{
	struct rj_list *at;
	struct rj_list *next;

	if (core->stopping)
		return;
	core->stopping = true;
	core->stopping_us = core->now_us;
	rj_core_log(core, RJ_LOG_DRAIN, RJ_REASON_DRAINING, NULL, NULL);
	rj_membership_send_heartbeats(core);
	rj_racks_update_ownership(core);
	rj_timer_set(&core->timers, &core->drain,
		     core->now_us + core->drain_limit_us);
	rj_timer_set(&core->timers, &core->drain_watch,
		     core->now_us + DRAIN_WATCH_US);
	RJ_FOR_EACH (at, next, &core->jobs.list) {
		struct rj_job *job = RJ_CONTAINER(at, struct rj_job, link);

		if (job->accepted)
			redirect_waiters(job, RJ_ANSWER_ACCEPTED);
	}
	rj_drain_hand_over_jobs(core);
}

/* Whether an outcome is still to be read back from the log. */
static bool outcomes_pending(const struct rj_core_state *core)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->jobs.list) {
		const struct rj_job *job =
			RJ_CONTAINER(at, struct rj_job, link);

		if (job->state == RJ_JOB_ENDED)
			return true;
	}
	return !rj_log_idle(core);
}

/* Restores the drain limit when a request arrives after all others were
 * answered; until then the shorter limit for outcomes applied. */
static void restore_drain_limit(struct rj_core_state *core)
{
	if (!core->drain_answered_us)
		return;
	core->drain_answered_us = 0;
	rj_timer_set(&core->timers, &core->drain,
		     core->stopping_us + core->drain_limit_us);
}

/*
 * Requests the exit when no request is open and the outcomes are in the log.
 * Accepted jobs without a waiter here keep running on their workers for their
 * next owner.
 *
 * The exit action is repeated after every event while this holds: a request
 * that still arrives on an open connection is served or forwarded, and the
 * process may end once it is answered.
 */
void rj_drain_check_finished(struct rj_core_state *core)
{
	if (!core->stopping)
		return;
	if (core->jobs.waiter_count) {
		restore_drain_limit(core);
		return;
	}
	if (!core->drain_answered_us) {
		core->drain_answered_us = core->now_us;
		rj_timer_set(&core->timers, &core->drain,
			     core->now_us + DRAIN_OUTCOMES_US);
	}
	if (outcomes_pending(core) && !core->drain_expired &&
	    core->now_us < core->drain_answered_us + DRAIN_OUTCOMES_US)
		return;
	rj_actions_add(core->actions, RJ_ACTION_EXIT);
}
