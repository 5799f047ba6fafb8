/*
 * Jobs that need the log while this instance cannot use it: forwards them to a
 * peer that can, or refuses them at once.
 */
#include <string.h>

#include "private/core_state.h"

/*
 * Whether the submission cannot proceed without the log: a key that must not run
 * twice may have run elsewhere, and a job is accepted only once it is in the log.
 */
static bool needs_log(const struct rj_submission *submission)
{
	if (submission->job && submission->job->accepted)
		return false; /* stays queued until the log is usable */
	return !submission->spec.wait || !submission->class ||
	       !submission->class->idempotent;
}

/*
 * Returns the peer with the shortest queue among those that can use the log, in
 * this failure domain or another (`other_domain`), or NULL. A forwarded job is
 * not forwarded again: during an outage the peers' views of each other are
 * briefly stale, and it would loop.
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

/*
 * Forwards the submission to a peer that can use the log. Returns false if none
 * accepts it.
 */
static bool forward_to_peer(struct rj_core_state *core,
			    struct rj_submission *submission)
{
	const struct rj_member_view *peer =
		peer_with_log(core, submission, false);
	bool other_domain = !peer;

	if (!peer)
		peer = peer_with_log(core, submission, true);
	if (!peer)
		return false;
	if (!rj_job_forward(rj_filter_ensure_job(core, submission), peer->name,
			    other_domain))
		return false;
	rj_core_count(core, RJ_COUNT_FORWARDS_LOG);
	return true;
}

/*
 * Refuses a job while the log cannot be read here.
 *
 * Guards against running a job twice: there may be an earlier attempt
 * elsewhere, perhaps in another failure domain, that this instance has not read
 * of. With a key the answer is `unknown`, since that attempt may have run.
 */
static enum rj_filter_verdict refuse(struct rj_core_state *core,
				     struct rj_submission *submission)
{
	enum rj_reason reason = rj_log_unavailable_reason(core);
	uint64_t retry_after_us = rj_core_jitter_us(core, RJ_RETRY_AFTER_US);

	if (submission->job) {
		rj_job_abandon(submission->job, reason, retry_after_us);
		return RJ_FILTER_HANDLED;
	}
	if (!submission->class->idempotent)
		return rj_filter_refuse(
			core, submission, RJ_ANSWER_UNKNOWN, reason,
			retry_after_us,
			"the log cannot be read now, and an earlier request "
			"with this key may have run: retry with the same "
			"key");
	return rj_filter_refuse(
		core, submission, RJ_ANSWER_NOT_RUN, reason, retry_after_us,
		"a job is accepted only once it is in the log, which is "
		"unavailable now: wait on the connection, or retry later");
}

/*
 * Lets submissions pass that do not need the log, or if it is usable; forwards
 * others to a peer that can use it.
 *
 * Guards against refusals by an instance or failure domain that alone is cut
 * off from the platform: callers would retry jobs that need the log in vain
 * although a peer a few milliseconds away could claim or accept them. The
 * peer's claim and the order of the log decide as for any other request.
 */
static enum rj_filter_verdict require_log(struct rj_core_state *core,
					  struct rj_submission *submission)
{
	if (!needs_log(submission) || rj_log_usable(core))
		return RJ_FILTER_NEXT;
	if (forward_to_peer(core, submission))
		return RJ_FILTER_HANDLED;
	return refuse(core, submission);
}

const struct rj_filter rj_filter_log = { "log", require_log };
