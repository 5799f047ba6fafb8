/*
 * The end of the chain: into the planner of this instance, or first into the
 * log when the caller does not wait.
 */
#include <string.h>

#include "private/core_state.h"

/* Serve the job here, also during a stop when no peer could take it. */
static enum rj_filter_verdict place(struct rj_core_state *core,
				    struct rj_submission *submission)
{
	struct rj_job *job;

	job = rj_filter_ensure_job(core, submission);
	if (!submission->spec.wait && !job->accepted)
		rj_job_accept(job);
	else
		rj_job_submit(job);
	return RJ_FILTER_HANDLED;
}

const struct rj_filter rj_filter_place = { "place", place };
