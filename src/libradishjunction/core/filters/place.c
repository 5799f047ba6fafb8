/*
 * End of the chain: submits the job to the planner or, if the caller does not
 * wait, to the log first.
 */
#include <string.h>

#include "private/core_state.h"

/* Serves the job here, even during a drain if no peer could take it. */
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
