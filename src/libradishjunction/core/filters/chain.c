/*
 * The filter chain. Every request passes the filters in this order until one of
 * them has handled it.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

const char *const rj_filter_verdict_string[RJ_FILTER_VERDICT_COUNT] = {
	[RJ_FILTER_NEXT] = "next",
	[RJ_FILTER_HANDLED] = "taken",
};

static const struct rj_filter *const chain[] = {
	&rj_filter_identify, /* authentication */
	&rj_filter_find, /* ends the chain for lookups and cancels */
	&rj_filter_validate, /* class, shape, key */
	&rj_filter_repeat, /* repeats of a known job */
	&rj_filter_limit, /* limits of account and class */
	&rj_filter_log, /* jobs that need the log while it is unavailable */
	&rj_filter_route, /* here, a peer, or another domain */
	&rj_filter_place, /* to the planner, or to the log first */
};

#define CHAIN_LENGTH (sizeof(chain) / sizeof(chain[0]))

/* Runs the chain from filter `first` on. */
static void run_from(struct rj_core_state *core,
		     struct rj_submission *submission, size_t first)
{
	for (size_t i = first; i < CHAIN_LENGTH; i++)
		if (chain[i]->pass(core, submission) == RJ_FILTER_HANDLED)
			return;
}

static size_t index_of(const struct rj_filter *filter)
{
	size_t i = 0;

	while (chain[i] != filter)
		i++;
	assert(i < CHAIN_LENGTH);
	return i;
}

/*
 * Whether another request with the same key, or the job that is looked up, may
 * have run. This instance's view of the log may be older than the request, so
 * it cannot be ruled out for any key.
 */
static bool may_have_run(const struct rj_submission *submission)
{
	return submission->op != RJ_REQUEST_SUBMIT || submission->spec.key[0];
}

/*
 * Whether the refusal is final: no instance can ever run this submission,
 * whatever became of other requests with its key.
 */
static bool never_runs(enum rj_reason reason)
{
	return reason == RJ_REASON_KEY_REUSED ||
	       reason == RJ_REASON_BAD_REQUEST ||
	       reason == RJ_REASON_KEY_REQUIRED ||
	       reason == RJ_REASON_UNAUTHORIZED;
}

/*
 * Answers the caller or peer that the submission came from. The answer must not
 * have a result.
 */
void rj_filter_answer(struct rj_core_state *core,
		      const struct rj_submission *submission,
		      const struct rj_answer *answer)
{
	struct rj_peer_message *message;

	assert(!answer->result.length);
	if (submission->request_id) {
		rj_core_answer(core, submission->request_id, answer);
		return;
	}
	message = rj_membership_send(core, submission->peer,
				     RJ_PEER_FORWARD_ANSWER);
	message->u.forward_answer.forward_id = submission->forward_id;
	message->u.forward_answer.answer = *answer;
}

/*
 * Answers a submission without creating a job. `not_run` becomes `unknown` if
 * an earlier request with the same key may have run. `detail` may be NULL.
 */
enum rj_filter_verdict rj_filter_refuse(struct rj_core_state *core,
					const struct rj_submission *submission,
					enum rj_answer_kind kind,
					enum rj_reason reason,
					uint64_t retry_after_us,
					const char *detail)
{
	struct rj_answer answer;

	memset(&answer, 0, sizeof(answer));
	answer.kind = kind;
	answer.reason = reason;
	answer.job_id = submission->spec.job_id;
	if (kind == RJ_ANSWER_NOT_RUN && !never_runs(reason) &&
	    may_have_run(submission))
		answer.kind = RJ_ANSWER_UNKNOWN;
	answer.retry_after_us = retry_after_us;
	if (detail)
		g_strlcpy(answer.detail, detail, sizeof(answer.detail));
	rj_core_log(core, RJ_LOG_REFUSE, reason, NULL, submission->peer)
		->answer = answer.kind;
	rj_filter_answer(core, submission, &answer);
	return RJ_FILTER_HANDLED;
}

/*
 * Returns the job of a submission. Creates it if necessary, with the caller as
 * a waiter.
 */
struct rj_job *rj_filter_ensure_job(struct rj_core_state *core,
				    struct rj_submission *submission)
{
	struct rj_job *job = submission->job;

	if (job)
		return job;
	job = rj_job_new(core, &submission->spec, submission->class);
	job->hops = submission->hops;
	job->other_domain = submission->other_domain;
	rj_job_add_waiter(job, submission->request_id, submission->peer,
			  submission->forward_id);
	rj_job_set_deadline(job, submission->spec.deadline_in_us);
	rj_core_log(core, RJ_LOG_ADMIT, RJ_REASON_NONE, job, submission->peer);
	submission->job = job;
	return job;
}

/*
 * Processes a caller's request.
 */
void rj_filters_request(struct rj_core_state *core,
			const struct rj_request *request)
{
	struct rj_submission submission;

	rj_core_count(core, RJ_COUNT_REQUESTS);
	memset(&submission, 0, sizeof(submission));
	submission.request_id = request->request_id;
	submission.op = request->op;
	submission.token = request->token;
	submission.wait = request->wait;
	submission.spec = request->spec;
	if (request->op != RJ_REQUEST_SUBMIT)
		submission.spec.job_id = request->job_id;
	run_from(core, &submission, 0);
}

/*
 * Processes a job forwarded by a peer, which has authenticated the caller.
 */
void rj_filters_forward(struct rj_core_state *core, const char *peer,
			const struct rj_peer_forward *forward)
{
	struct rj_submission submission;

	memset(&submission, 0, sizeof(submission));
	submission.peer = peer;
	submission.forward_id = forward->forward_id;
	submission.hops = forward->hops;
	submission.other_domain = forward->other_domain;
	submission.op = RJ_REQUEST_SUBMIT;
	submission.spec = forward->spec;
	if (core->config)
		submission.account =
			rj_config_account(core->config, forward->spec.account);
	run_from(core, &submission, index_of(&rj_filter_validate));
}

/*
 * Serves a job again after a peer failed to serve it, or after its claim
 * elsewhere was voided. Resumes the chain at the repeat filter.
 */
void rj_filters_resubmit(struct rj_job *job)
{
	struct rj_core_state *core = job->core;
	struct rj_submission submission;

	assert(!job->planned && !job->claimed);
	if (job->forward_id) {
		g_hash_table_remove(core->jobs.forwards, &job->forward_id);
		job->forward_id = 0;
	}
	rj_job_enter_state(job, RJ_JOB_QUEUED);
	job->attempt.owner = core->incarnation;
	job->attempt.number = ++core->last_attempt;
	memset(&submission, 0, sizeof(submission));
	submission.op = RJ_REQUEST_SUBMIT;
	submission.spec = job->spec;
	submission.hops = job->hops;
	submission.other_domain = job->other_domain;
	submission.job = job;
	if (core->config) {
		submission.account =
			rj_config_account(core->config, job->spec.account);
		submission.class =
			rj_config_class(core->config, job->spec.class_name);
	}
	run_from(core, &submission, index_of(&rj_filter_repeat));
}
