/*
 * The bounds of an account and of a class at this instance, and the end of
 * new work during a stop.
 */
#include <string.h>

#include "private/core_state.h"

#define LIMIT_RETRY_US (2 * RJ_US_PER_S)
#define DRAINING_RETRY_US (100 * RJ_US_PER_MS)

/* Refuse what is over a bound, with when to come back. */
static enum rj_filter_verdict limit(struct rj_core_state *core,
				    struct rj_submission *submission)
{
	uint64_t retry_us = rj_core_jitter_us(core, LIMIT_RETRY_US);

	if (submission->job)
		return RJ_FILTER_NEXT; /* it was let in before */
	if (core->stopping && !rj_drain_admits(core, submission->class))
		return rj_filter_refuse(
			core, submission, RJ_ANSWER_NOT_RUN, RJ_REASON_DRAINING,
			DRAINING_RETRY_US,
			"this instance is stopping: ask another one");
	if (submission->account &&
	    rj_jobs_open_count(core, false, submission->account->name) >=
		    submission->account->open_max)
		return rj_filter_refuse(
			core, submission, RJ_ANSWER_NOT_RUN,
			RJ_REASON_ACCOUNT_LIMIT, retry_us,
			"the account has as many open jobs here as its "
			"open_max: wait for some, or raise it");
	if (rj_jobs_open_count(core, true, submission->class->name) >=
	    submission->class->open_max)
		return rj_filter_refuse(
			core, submission, RJ_ANSWER_NOT_RUN,
			RJ_REASON_QUEUE_FULL, retry_us,
			"the class has as many open jobs here as its "
			"open_max: wait for some, or raise it");
	return RJ_FILTER_NEXT;
}

const struct rj_filter rj_filter_limit = { "limit", limit };
