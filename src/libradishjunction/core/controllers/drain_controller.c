/*
 * A planned stop: no new work, waiting jobs handed to peers, every open
 * request answered, outcomes in the log, then the exit.
 */
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

/* Work that takes longer is answered `unknown` with when to ask again. */
#define DRAIN_LIMIT_US (30 * RJ_US_PER_S)
/* After the answers, so long is left for outcomes to reach the log. */
#define DRAIN_OUTCOMES_US (5 * RJ_US_PER_S)
/* The balancer learns within this that the instance is not ready; what it
 * still sends until then is handed to peers. */
#define DRAIN_ADMIT_US (10 * RJ_US_PER_S)
/* Who waits for another instance's job can wait at any instance. */
#define DRAIN_WATCH_US (3 * RJ_US_PER_S)

/* Answer all who wait for a job: they ask again at another instance. */
static void redirect_waiters(struct rj_job *job, enum rj_answer_kind kind)
{
	rj_job_answer_without_result(job, kind, RJ_REASON_DRAINING,
				     RJ_US_PER_S);
}

/* The limit of the drain has passed: answer what is still open. */
static void limit_due(struct rj_core_state *core, struct rj_timer *timer)
{
	struct rj_list *at;
	struct rj_list *next;

	(void)timer;
	core->drain_over = true;
	RJ_FOR_EACH (at, next, &core->jobs.list)
		redirect_waiters(RJ_CONTAINER(at, struct rj_job, link),
				 RJ_ANSWER_UNKNOWN);
}

/*
 * Those who wait here for a job of another instance have waited a while.
 *
 * Guards against a stop that lasts as long as another instance's job: the
 * platform would end the process, and cut off those who wait.
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
 * No stop was asked for yet.
 */
void rj_drain_init(struct rj_core_state *core)
{
	if (!core->drain_limit_us)
		core->drain_limit_us = DRAIN_LIMIT_US;
	rj_timer_init(&core->drain, limit_due);
	rj_timer_init(&core->drain_watch, watch_due);
}

/*
 * Hand a waiting job to a peer, or answer it with when to come back.
 */
void rj_job_hand_over(struct rj_job *job)
{
	if (job->accepted) {
		/* Look-ups may have come since the stop began. */
		redirect_waiters(job, RJ_ANSWER_ACCEPTED);
		rj_job_free(job); /* its next owner reads it in the log */
		return;
	}
	rj_job_remove_from_plan(job, false);
	job->hops = 0; /* who owns the racks has changed since */
	rj_filters_again(job);
}

/*
 * Hand waiting jobs to peers: all of them if this instance stops or owns no
 * rack any more, else those that wait for a guaranteed shape that a peer owns
 * now. Called again when the view of the peers changes: while none is alive,
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
		    (all || rj_route_leads_away(job)))
			rj_job_hand_over(job);
	}
}

/* Whether a peer of the failure domain can take work. */
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
 * Whether a request of `class` that arrives during a stop is still let in:
 * for a while, if a peer can take it or it is expected to end here well
 * before the drain's limit.
 *
 * Guards against refusals by an instance that is replaced right after its
 * start and knows no peer yet: its caller would be told "not run" though
 * nothing was wrong. The stop stays bounded, since nothing is let in after
 * DRAIN_ADMIT_US, and what is let in has half of the limit to spare.
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
 * The process was asked to stop. A second request changes nothing.
 *
 * Guards against callers that are cut off by a planned stop: their jobs
 * would be lost or run unheard. Nothing new is let in, what has not started
 * goes to a peer by name, and the exit waits for every answer.
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

/* A request came after all had been answered: the drain's limit holds again,
 * and not the shorter one for outcomes alone. */
static void restore_drain_limit(struct rj_core_state *core)
{
	if (!core->drain_answered_us)
		return;
	core->drain_answered_us = 0;
	rj_timer_set(&core->timers, &core->drain,
		     core->stopping_us + core->drain_limit_us);
}

/*
 * Exit when nothing is open any more. Jobs that run for nobody here, because
 * they were accepted, stay on their workers for their next owner.
 *
 * Said after every event for as long as it holds: a request that still comes
 * on a caller's last connection is served or handed on like any other, and
 * the process may end once it is answered.
 */
void rj_drain_check_finished(struct rj_core_state *core)
{
	if (!core->stopping)
		return;
	if (core->jobs.open) {
		restore_drain_limit(core);
		return;
	}
	if (!core->drain_answered_us) {
		core->drain_answered_us = core->now_us;
		rj_timer_set(&core->timers, &core->drain,
			     core->now_us + DRAIN_OUTCOMES_US);
	}
	if (outcomes_pending(core) && !core->drain_over &&
	    core->now_us < core->drain_answered_us + DRAIN_OUTCOMES_US)
		return;
	rj_actions_add(core->actions, RJ_ACTION_EXIT);
}
