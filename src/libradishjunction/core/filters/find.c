/*
 * Look-ups and cancels of jobs by their id.
 */
#include <string.h>

#include "private/core_state.h"

/* Make a job that watches what the log will say of an entry. */
static struct rj_job *watch_entry(struct rj_core_state *core,
				  const struct rj_job_entry *entry)
{
	struct rj_job *job;

	job = rj_job_new(core, &entry->spec,
			 rj_config_class(core->config, entry->spec.class_name));
	job->bodiless = !entry->accepted;
	rj_job_watch(job);
	return job;
}

/* Answer from what the log says of the job. */
static enum rj_filter_verdict found_in_log(struct rj_core_state *core,
					   struct rj_submission *submission,
					   const struct rj_job_entry *entry)
{
	struct rj_answer answer;
	struct rj_job *job;

	if (entry->settled) {
		rj_claims_fill_answer(entry, &answer);
		rj_core_answer(core, submission->request_id, &answer);
		return RJ_FILTER_TAKEN;
	}
	if (!entry->claimed && !entry->accepted)
		return rj_filter_refuse(core, submission, RJ_ANSWER_UNKNOWN,
					RJ_REASON_CLAIM_LOST, RJ_US_PER_S,
					"no attempt of this job is open: "
					"submit it again with the same key");
	if (submission->op == RJ_REQUEST_LOOKUP && !submission->wait)
		return rj_filter_refuse(core, submission,
					entry->accepted ? RJ_ANSWER_ACCEPTED :
							  RJ_ANSWER_UNKNOWN,
					RJ_REASON_IN_PROGRESS, RJ_US_PER_S,
					NULL);
	job = watch_entry(core, entry);
	rj_job_add_waiter(job, submission->request_id, NULL, 0);
	if (submission->op == RJ_REQUEST_CANCEL)
		rj_claims_append_cancel(job);
	return RJ_FILTER_TAKEN;
}

/* Answer from a job of this instance. */
static enum rj_filter_verdict found_here(struct rj_core_state *core,
					 struct rj_submission *submission,
					 struct rj_job *job)
{
	if (rj_job_answer_is_final(job)) {
		rj_core_answer(core, submission->request_id, &job->final);
		return RJ_FILTER_TAKEN;
	}
	if (submission->op == RJ_REQUEST_LOOKUP && !submission->wait)
		return rj_filter_refuse(
			core, submission,
			job->accepted ? RJ_ANSWER_ACCEPTED : RJ_ANSWER_UNKNOWN,
			RJ_REASON_IN_PROGRESS, RJ_US_PER_S, NULL);
	rj_job_add_waiter(job, submission->request_id, NULL, 0);
	if (submission->op == RJ_REQUEST_CANCEL)
		rj_job_cancel(job, RJ_REASON_CANCELLED);
	return RJ_FILTER_TAKEN;
}

/* Take look-ups and cancels; a job of another account is not found. */
static enum rj_filter_verdict find(struct rj_core_state *core,
				   struct rj_submission *submission)
{
	uint64_t job_id = submission->spec.job_id;
	struct rj_job_entry *entry;
	struct rj_job *job;

	if (submission->op == RJ_REQUEST_SUBMIT)
		return RJ_FILTER_NEXT;
	job = rj_jobs_find(core, job_id);
	if (job && !strcmp(job->spec.account, submission->account->name))
		return found_here(core, submission, job);
	entry = rj_job_ledger_find(&core->ledger, job_id);
	if (entry && !job &&
	    !strcmp(entry->spec.account, submission->account->name))
		return found_in_log(core, submission, entry);
	if (!rj_log_usable(core))
		return rj_filter_refuse(
			core, submission, RJ_ANSWER_UNKNOWN,
			rj_log_unavailable_reason(core),
			rj_core_jitter_us(core, RJ_COME_BACK_US),
			"the log cannot be read now, so the job may exist");
	return rj_filter_refuse(core, submission, RJ_ANSWER_UNKNOWN,
				RJ_REASON_NO_SUCH_JOB, 0,
				"no accepted or keyed job of this account has "
				"this id; check the id");
}

const struct rj_filter rj_filter_find = { "find", find };
