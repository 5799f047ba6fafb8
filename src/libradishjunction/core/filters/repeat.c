/*
 * Repeats of a key: jobs that this instance serves already, and jobs known from
 * the log.
 */
#include <assert.h>
#include <string.h>

#include "private/core_state.h"

/* Refuses a key that was used with other content; nothing is run. */
static enum rj_filter_verdict key_reused(struct rj_core_state *core,
					 struct rj_submission *submission)
{
	return rj_filter_refuse(
		core, submission, RJ_ANSWER_NOT_RUN, RJ_REASON_KEY_REUSED, 0,
		"Idempotency-Key: already used for another class, "
		"shape or body; use a new key for a new job");
}

/*
 * Answers a repeat that does not wait, of an accepted job. Only this caller is
 * answered, as others may wait for the job to end.
 */
static enum rj_filter_verdict
answer_accepted(struct rj_core_state *core,
		const struct rj_submission *submission)
{
	struct rj_answer answer;

	memset(&answer, 0, sizeof(answer));
	answer.kind = RJ_ANSWER_ACCEPTED;
	answer.job_id = submission->spec.job_id;
	rj_filter_answer(core, submission, &answer);
	return RJ_FILTER_HANDLED;
}

/*
 * Refuses a job that this instance has forwarded and that comes back to it.
 *
 * Guards against instances that disagree on rack owners: each would wait for
 * the next, and the caller for ever. Nothing was started here, so the sender
 * serves the job itself.
 */
static enum rj_filter_verdict
refuse_forward_loop(struct rj_core_state *core,
		    struct rj_submission *submission)
{
	return rj_filter_refuse(core, submission, RJ_ANSWER_UNKNOWN,
				RJ_REASON_IN_PROGRESS, 0, NULL);
}

/*
 * Whether a forwarded job is to be served here when the peer that it was
 * forwarded to sends it back: this instance owns a guaranteed shape for it.
 *
 * Guards against a guaranteed job whose rack comes to this instance after the
 * forward: the peer can no longer reclaim capacity for it.
 */
static bool is_handed_back(struct rj_core_state *core,
			   const struct rj_submission *submission,
			   const struct rj_job *job)
{
	return !strcmp(submission->peer, job->peer) && !core->stopping &&
	       !job->cancelled && rj_route_owns_guarantee(core, submission);
}

/* Serves a job here that was handed back. The peer, which has not started it,
 * waits for it now. */
static enum rj_filter_verdict take_back(struct rj_core_state *core,
					const struct rj_submission *submission,
					struct rj_job *job)
{
	rj_core_log(core, RJ_LOG_ROUTE, RJ_REASON_OWNER, job, core->name);
	rj_job_add_waiter(job, submission->request_id, submission->peer,
			  submission->forward_id);
	job->hops++; /* prevents forwarding it again */
	rj_filters_resubmit(job);
	return RJ_FILTER_HANDLED;
}

/*
 * Refuses a repeat that waits, of a job that was forwarded only to be accepted:
 * the peer's answer will not be the job's outcome. When the caller retries, the
 * job can be found by its id.
 */
static enum rj_filter_verdict
refuse_pending_acceptance(struct rj_core_state *core,
			  const struct rj_submission *submission)
{
	return rj_filter_refuse(core, submission, RJ_ANSWER_UNKNOWN,
				RJ_REASON_IN_PROGRESS, RJ_US_PER_S, NULL);
}

/* Adds the caller as a waiter of a job that is served already. */
static enum rj_filter_verdict join(struct rj_core_state *core,
				   struct rj_submission *submission,
				   struct rj_job *job)
{
	rj_core_count(core, RJ_COUNT_REPEATS);
	if (memcmp(job->spec.digest, submission->spec.digest, RJ_DIGEST_BYTES))
		return key_reused(core, submission);
	if (job->body_missing) {
		rj_bytes_copy(job, &job->spec.body, &submission->spec.body);
		job->body_missing = false;
	}
	if (rj_job_answer_is_final(job)) {
		rj_job_add_waiter(job, submission->request_id, submission->peer,
				  submission->forward_id);
		rj_job_answer_waiters(job, &job->final);
		return RJ_FILTER_HANDLED;
	}
	if (submission->peer && job->state == RJ_JOB_FORWARDED)
		return is_handed_back(core, submission, job) ?
			       take_back(core, submission, job) :
			       refuse_forward_loop(core, submission);
	if (job->state == RJ_JOB_FORWARDED && !job->spec.wait &&
	    submission->spec.wait)
		return refuse_pending_acceptance(core, submission);
	if (job->accepted && !submission->spec.wait)
		return answer_accepted(core, submission);
	rj_job_add_waiter(job, submission->request_id, submission->peer,
			  submission->forward_id);
	return RJ_FILTER_HANDLED;
}

/* Answers from the ledger, or follows the job's records in the log. */
static enum rj_filter_verdict known_in_log(struct rj_core_state *core,
					   struct rj_submission *submission,
					   const struct rj_job_entry *entry)
{
	struct rj_answer answer;
	struct rj_job *job;

	rj_core_count(core, RJ_COUNT_REPEATS);
	if (memcmp(entry->spec.digest, submission->spec.digest,
		   RJ_DIGEST_BYTES))
		return key_reused(core, submission);
	if (!entry->settled && !entry->claimed && !entry->accepted)
		return RJ_FILTER_NEXT; /* all attempts were voided */
	job = rj_filter_ensure_job(core, submission);
	if (entry->settled) {
		rj_claims_fill_answer(entry, &answer);
		rj_job_answer_waiters(job, &answer);
		rj_job_free(job);
		return RJ_FILTER_HANDLED;
	}
	rj_job_watch(job);
	if (entry->accepted && !submission->spec.wait) {
		rj_job_answer_without_result(job, RJ_ANSWER_ACCEPTED,
					     RJ_REASON_NONE, 0);
		rj_job_free(job);
	}
	return RJ_FILTER_HANDLED;
}

/* Answers or joins repeats; lets first requests pass. */
static enum rj_filter_verdict repeat(struct rj_core_state *core,
				     struct rj_submission *submission)
{
	struct rj_job *job = rj_jobs_find(core, submission->spec.job_id);
	struct rj_job_entry *entry;

	if (job && job != submission->job)
		return join(core, submission, job);
	entry = rj_job_ledger_find(&core->ledger, submission->spec.job_id);
	if (entry && known_in_log(core, submission, entry) == RJ_FILTER_HANDLED)
		return RJ_FILTER_HANDLED;
	return RJ_FILTER_NEXT;
}

const struct rj_filter rj_filter_repeat = { "repeat", repeat };
