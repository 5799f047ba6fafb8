/*
 * Work that depends on the log, where this instance has none: to a peer that
 * has it, or back to the caller at once.
 */
#include <string.h>

#include "private/core_state.h"

/*
 * Whether the submission can only go on with the log: a key that must not run
 * twice may have run elsewhere, and a job is accepted only once it is in the
 * log.
 */
static bool needs_log(const struct rj_submission *submission)
{
	if (submission->job && submission->job->accepted)
		return false; /* it waits for the log in its queue */
	return !submission->spec.wait || !submission->class ||
	       !submission->class->idempotent;
}

/*
 * The peer with the shortest queue of those that have the log, of the own
 * failure domain if there is one, or NULL. A job that was forwarded here is
 * not forwarded on: in an outage the peers' views of each other are old for a
 * moment, and it would go round.
 */
static const struct rj_member_view *
peer_with_log(struct rj_core_state *core,
	      const struct rj_submission *submission, bool other_domain)
{
	const struct rj_member_view *best = NULL;
	struct rj_list *at;
	struct rj_list *next;

	if (submission->hops || (other_domain && submission->other_domain))
		return NULL;
	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);

		if (!strcmp(member->domain, core->domain) == other_domain ||
		    !member->log_usable ||
		    !rj_membership_accepts_jobs(core, member))
			continue;
		if (!best || member->queued < best->queued)
			best = member;
	}
	return best;
}

/* Hand the submission to a peer that has the log; false if none takes it. */
static bool forwarded(struct rj_core_state *core,
		      struct rj_submission *submission)
{
	const struct rj_member_view *peer =
		peer_with_log(core, submission, false);
	bool other_domain = !peer;

	if (!peer)
		peer = peer_with_log(core, submission, true);
	if (!peer)
		return false;
	if (!rj_job_forward(rj_filter_job(core, submission), peer->name,
			    other_domain))
		return false;
	rj_core_count(core, RJ_COUNT_FORWARDS_LOG);
	return true;
}

/*
 * Refuse a job while the log cannot be read here.
 *
 * Guards against an earlier attempt elsewhere, perhaps in another failure
 * domain, that this instance has not read of: the job would run twice. With a
 * key the answer is `unknown`, since that attempt may have run.
 */
static enum rj_filter_verdict refuse(struct rj_core_state *core,
				     struct rj_submission *submission)
{
	enum rj_reason reason = rj_log_unavailable_reason(core);
	uint64_t retry_after_us = rj_core_jitter_us(core, RJ_COME_BACK_US);

	if (submission->job) {
		rj_job_abandon(submission->job, reason, retry_after_us);
		return RJ_FILTER_TAKEN;
	}
	if (!submission->class->idempotent)
		return rj_filter_refuse(
			core, submission, RJ_ANSWER_UNKNOWN, reason,
			retry_after_us,
			"the log cannot be read now, and an earlier request "
			"with this key may have run: ask again with the same "
			"key");
	return rj_filter_refuse(
		core, submission, RJ_ANSWER_NOT_RUN, reason, retry_after_us,
		"a job is accepted only once it is in the log, which cannot "
		"be reached now: wait on the connection, or come back");
}

/*
 * Let pass what can go on here. What depends on the log goes to a peer that
 * has it.
 *
 * Guards against refusals by an instance that alone is cut off from the
 * platform, or by a failure domain that is: charges and lesson packs would
 * come back again and again, though a peer a few milliseconds away could
 * claim or accept them. The peer's claim and the log's order decide as for
 * any other request.
 */
static enum rj_filter_verdict log_at_hand(struct rj_core_state *core,
					  struct rj_submission *submission)
{
	if (!needs_log(submission) || rj_log_usable(core))
		return RJ_FILTER_NEXT;
	if (forwarded(core, submission))
		return RJ_FILTER_TAKEN;
	return refuse(core, submission);
}

const struct rj_filter rj_filter_log = { "log", log_at_hand };
