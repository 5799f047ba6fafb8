/*
 * FORWARDED: jobs that a peer serves for a caller here, and jobs that are
 * served here for a peer.
 *
 * A job received from a peer is forwarded again only if this instance cannot
 * place it, a limited number of times, and not to another failure domain, so
 * that two instances do not pass it back and forth. The count of forwards starts
 * anew when a waiting job is handed over.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

/*
 * Forwards the job to a peer. Returns false if the peer is not believed alive;
 * the job is then unchanged.
 */
bool rj_job_forward(struct rj_job *job, const char *peer, bool other_domain)
{
	struct rj_core_state *core = job->core;
	struct rj_member_view *member = rj_membership_find(core, peer);
	struct rj_peer_message *message;
	struct rj_peer_forward *forward;

	if (!member || !rj_membership_alive(core, member))
		return false;
	assert(!job->planned && !job->started && !job->claimed);
	if (job->forward_id)
		g_hash_table_remove(core->jobs.forwards, &job->forward_id);
	rj_job_enter_state(job, RJ_JOB_FORWARDED);
	job->forward_id = rj_core_next_id(core);
	g_strlcpy(job->peer, peer, sizeof(job->peer));
	g_hash_table_insert(core->jobs.forwards, &job->forward_id, job);
	message = rj_membership_send(core, peer, RJ_PEER_FORWARD);
	forward = &message->u.forward;
	forward->forward_id = job->forward_id;
	forward->hops = job->hops + 1;
	forward->other_domain = other_domain || job->other_domain;
	forward->spec = job->spec;
	rj_bytes_copy(message, &forward->spec.body, &job->spec.body);
	if (job->deadline_us != RJ_NEVER_US)
		forward->spec.deadline_in_us =
			job->deadline_us > core->now_us ?
				job->deadline_us - core->now_us :
				1;
	rj_core_count(core, RJ_COUNT_FORWARDS);
	if (other_domain)
		rj_core_count(core, RJ_COUNT_FORWARDS_OTHER_DOMAIN);
	rj_core_log(core, RJ_LOG_ROUTE,
		    other_domain ? RJ_REASON_OTHER_DOMAIN : RJ_REASON_OWNER,
		    job, peer);
	return true;
}

/*
 * Handles a job forwarded by a peer.
 */
void rj_forward_received(struct rj_core_state *core, const char *peer,
			 const struct rj_peer_forward *forward)
{
	rj_filters_forward(core, peer, forward);
}

/* Whether the job can be served here after a peer's answer: the peer is
 * draining or has lost the log, and this instance is not and has not. If the
 * peer appended a claim, the order of the log decides as usual. */
static bool can_serve_here(const struct rj_job *job,
			   const struct rj_answer *answer)
{
	const struct rj_core_state *core = job->core;

	if (core->stopping || job->cancelled)
		return false;
	if (answer->kind == RJ_ANSWER_NOT_RUN)
		return answer->reason == RJ_REASON_DRAINING;
	if (answer->kind != RJ_ANSWER_UNKNOWN)
		return false;
	if (answer->reason == RJ_REASON_IN_PROGRESS)
		return true; /* forward loop: see the repeat filter */
	return rj_log_usable(core) &&
	       (answer->reason == RJ_REASON_PLATFORM_DOWN ||
		answer->reason == RJ_REASON_LOG_GAP);
}

/*
 * Handles a peer's answer to a forwarded job. An answer that names another job,
 * comes from another peer, or arrives after the job was taken back is dropped.
 */
void rj_forward_answered(struct rj_core_state *core, const char *peer,
			 const struct rj_peer_forward_answer *answer)
{
	struct rj_job *job =
		g_hash_table_lookup(core->jobs.forwards, &answer->forward_id);
	struct rj_answer relayed;

	if (!job || job->state != RJ_JOB_FORWARDED || strcmp(job->peer, peer) ||
	    answer->answer.job_id != job->spec.job_id)
		return;
	if (can_serve_here(job, &answer->answer)) {
		job->hops++; /* prevents forwarding it back */
		rj_filters_resubmit(job);
		return;
	}
	relayed = answer->answer;
	/* Correct for the peer, but the job ran here before it was forwarded,
	 * or may have run at an earlier peer that was lost. */
	if (relayed.kind == RJ_ANSWER_NOT_RUN && job->ran)
		relayed.kind = RJ_ANSWER_FAILED;
	else if (relayed.kind == RJ_ANSWER_NOT_RUN &&
		 (job->ran_before || job->ran_elsewhere))
		relayed.kind = RJ_ANSWER_UNKNOWN;
	job->final.kind = relayed.kind;
	rj_core_log(core, RJ_LOG_END, relayed.reason, job, peer);
	rj_job_answer_waiters(job, &relayed);
	rj_job_free(job);
}

/*
 * Cancels a forwarded job at the peer, which reports what became of it.
 */
void rj_forward_cancel(struct rj_job *job)
{
	struct rj_peer_message *message;

	message = rj_membership_send(job->core, job->peer, RJ_PEER_CANCEL);
	message->u.cancel.forward_id = job->forward_id;
	message->u.cancel.job_id = job->spec.job_id;
	job->cancelled = true;
}

/* The waiter that represents a peer's forward, or NULL. */
static struct rj_waiter *find_waiter(struct rj_job *job, const char *peer,
				     uint64_t forward_id)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &job->waiters) {
		struct rj_waiter *waiter =
			RJ_CONTAINER(at, struct rj_waiter, link);

		if (!waiter->request_id && waiter->forward_id == forward_id &&
		    !strcmp(waiter->peer, peer))
			return waiter;
	}
	return NULL;
}

/*
 * Handles a peer's request to cancel a job that it forwarded here, or to stop
 * one that runs on capacity reclaimed for a guarantee. If others wait for a
 * cancelled job by its key, it continues for them.
 */
void rj_forward_cancelled(struct rj_core_state *core, const char *peer,
			  const struct rj_peer_cancel *cancel)
{
	struct rj_job *job = rj_jobs_find(core, cancel->job_id);

	if (cancel->reclaim_owner)
		rj_job_reclaim_for_peer(core, cancel);
	if (!job || !find_waiter(job, peer, cancel->forward_id))
		return;
	if (job->waiters.next->next != &job->waiters)
		return;
	rj_job_cancel(job, RJ_REASON_CANCELLED);
}

/*
 * Handles the loss of the link to a peer. Jobs forwarded to it may run or have
 * run there: they are served again, keyed jobs too, since a claim decides which
 * attempt may start. Jobs that the peer waits for here continue; their answers
 * are dropped while there is no link.
 */
void rj_forward_peer_lost(struct rj_core_state *core, const char *peer)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->jobs.list) {
		struct rj_job *job = RJ_CONTAINER(at, struct rj_job, link);

		if (job->state != RJ_JOB_FORWARDED || strcmp(job->peer, peer))
			continue;
		rj_core_log(core, RJ_LOG_RETRY, RJ_REASON_PEER_LOST, job, peer);
		if (job->cancelled || job->waiters.next == &job->waiters) {
			rj_job_answer_without_result(job, RJ_ANSWER_UNKNOWN,
						     RJ_REASON_PEER_LOST, 0);
			rj_job_free(job);
			continue;
		}
		job->ran_elsewhere = true;
		rj_filters_resubmit(job);
	}
}
