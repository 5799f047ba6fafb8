/*
 * Repeats of a key: what this instance serves already, and what the log
 * knows of the job.
 */
#include <assert.h>
#include <string.h>

#include "private/core_state.h"

/* The same key with another body: refused, and nothing of it runs. */
static enum rj_filter_verdict key_reused(struct rj_core_state *core,
					 struct rj_submission *submission)
{
	return rj_filter_refuse(core, submission, RJ_ANSWER_NOT_RUN,
				RJ_REASON_KEY_REUSED, 0,
				"Idempotency-Key: was used for another class, "
				"shape or body; use a new key for a new job");
}

/* A repeat that does not wait: the job is accepted. Others may wait for its
 * end, so only this caller is answered. */
static enum rj_filter_verdict
accepted_already(struct rj_core_state *core,
		 const struct rj_submission *submission)
{
	struct rj_answer answer;

	memset(&answer, 0, sizeof(answer));
	answer.kind = RJ_ANSWER_ACCEPTED;
	answer.job_id = submission->spec.job_id;
	rj_filter_answer(core, submission, &answer);
	return RJ_FILTER_TAKEN;
}

/* A job that this instance has handed on comes back to it.
 *
 * Guards against instances whose views of the racks' owners differ: each
 * would wait for the next, and the caller for ever. Nothing was started here;
 * the sender serves the job itself. */
static enum rj_filter_verdict sent_round(struct rj_core_state *core,
					 struct rj_submission *submission)
{
	return rj_filter_refuse(core, submission, RJ_ANSWER_UNKNOWN,
				RJ_REASON_IN_PROGRESS, 0, NULL);
}

/* A repeat that waits, of a job that was forwarded to be accepted: the peer's
 * answer will not be the job's end. By then this caller can look it up. */
static enum rj_filter_verdict
acceptance_under_way(struct rj_core_state *core,
		     const struct rj_submission *submission)
{
	return rj_filter_refuse(core, submission, RJ_ANSWER_UNKNOWN,
				RJ_REASON_IN_PROGRESS, RJ_US_PER_S, NULL);
}

/* Let the submission's caller wait for a job that is served already. */
static enum rj_filter_verdict join(struct rj_core_state *core,
				   struct rj_submission *submission,
				   struct rj_job *job)
{
	rj_core_count(core, RJ_COUNT_REPEATS);
	if (memcmp(job->spec.digest, submission->spec.digest, RJ_DIGEST_BYTES))
		return key_reused(core, submission);
	if (job->bodiless) {
		rj_bytes_copy(job, &job->spec.body, &submission->spec.body);
		job->bodiless = false;
	}
	if (rj_job_answer_is_final(job)) {
		rj_job_add_waiter(job, submission->request_id, submission->peer,
				  submission->forward_id);
		rj_job_answer_waiters(job, &job->final);
		return RJ_FILTER_TAKEN;
	}
	if (submission->peer && job->state == RJ_JOB_FORWARDED)
		return sent_round(core, submission);
	if (job->state == RJ_JOB_FORWARDED && !job->spec.wait &&
	    submission->spec.wait)
		return acceptance_under_way(core, submission);
	if (job->accepted && !submission->spec.wait)
		return accepted_already(core, submission);
	rj_job_add_waiter(job, submission->request_id, submission->peer,
			  submission->forward_id);
	return RJ_FILTER_TAKEN;
}

/* The log knows the job: answer from it, or wait for what it will say. */
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
		return RJ_FILTER_NEXT; /* every attempt of it was void */
	job = rj_filter_job(core, submission);
	if (entry->settled) {
		rj_claims_fill_answer(entry, &answer);
		rj_job_answer_waiters(job, &answer);
		rj_job_free(job);
		return RJ_FILTER_TAKEN;
	}
	rj_job_watch(job);
	if (entry->accepted && !submission->spec.wait) {
		rj_job_answer_without_result(job, RJ_ANSWER_ACCEPTED,
					     RJ_REASON_NONE, 0);
		rj_job_free(job);
	}
	return RJ_FILTER_TAKEN;
}

/* Answer or join repeats; let first requests pass. */
static enum rj_filter_verdict repeat(struct rj_core_state *core,
				     struct rj_submission *submission)
{
	struct rj_job *job = rj_jobs_find(core, submission->spec.job_id);
	struct rj_job_entry *entry;

	if (job && job != submission->job)
		return join(core, submission, job);
	entry = rj_job_ledger_find(&core->ledger, submission->spec.job_id);
	if (entry && known_in_log(core, submission, entry) == RJ_FILTER_TAKEN)
		return RJ_FILTER_TAKEN;
	return RJ_FILTER_NEXT;
}

const struct rj_filter rj_filter_repeat = { "repeat", repeat };
