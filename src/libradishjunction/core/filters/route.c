/*
 * Decides where a job is served: here, at the peer that owns a suitable rack,
 * or in another failure domain.
 */
#include <string.h>

#include "private/core_state.h"

/* Limit of forwards; views of rack ownership differ only for a short time. */
#define HOPS_MAX 3
/* Minimum reduction of the expected wait for which a job is forwarded to
 * another domain, as the link adds latency and cost. */
#define OTHER_DOMAIN_MARGIN_US (2 * RJ_US_PER_S)

/*
 * Returns a rack in this failure domain with a guaranteed shape that the job
 * may claim, or UINT32_MAX.
 */
static uint32_t guaranteed_rack(const struct rj_core_state *core,
				const struct rj_submission *submission)
{
	const struct rj_planner_ops *ops = core->planner->ops;

	if (!ops->guarantee_rack)
		return UINT32_MAX;
	return ops->guarantee_rack(core->planner, submission->spec.account,
				   &submission->spec.shape);
}

/*
 * Returns the peer that owns a guaranteed shape that the job may claim, or NULL
 * if there is none or this instance owns it.
 */
static const char *guarantee_owner(struct rj_core_state *core,
				   const struct rj_submission *submission)
{
	uint32_t rack = guaranteed_rack(core, submission);

	if (rack == UINT32_MAX)
		return NULL;
	return rj_ownership_owner(core, rj_racks_key(core, rack));
}

/*
 * Whether a job queued here should move to the peer that owns a guaranteed
 * shape for it.
 *
 * Guards against a rack that changes its owner while a job on its account's
 * guarantee starts: the former owner cannot reclaim the shape and may only use
 * what the new owner offers, so the guaranteed shape would be delayed although
 * the new owner could provide it.
 */
bool rj_route_prefers_peer(const struct rj_job *job)
{
	struct rj_submission submission = { .spec = job->spec };

	return job->spec.wait && !job->accepted &&
	       guarantee_owner(job->core, &submission);
}

/*
 * Whether this instance owns a guaranteed shape that the job may claim.
 */
bool rj_route_owns_guarantee(struct rj_core_state *core,
			     const struct rj_submission *submission)
{
	uint32_t rack = guaranteed_rack(core, submission);

	return rack != UINT32_MAX &&
	       !rj_ownership_owner(core, rj_racks_key(core, rack));
}

/*
 * Returns the peer with the shortest queue among the owners of racks with
 * enough free capacity. If a rack of this instance has enough, sets `*here` and
 * returns NULL.
 */
static const struct rj_member_view *
owner_with_free_capacity(struct rj_core_state *core,
			 const struct rj_shape *shape, bool *here)
{
	const struct rj_member_view *best = NULL;
	struct rj_list *at;
	struct rj_list *next;

	*here = false;
	RJ_FOR_EACH (at, next, &core->upstreams.racks) {
		const struct rj_rack *rack =
			RJ_CONTAINER(at, struct rj_rack, link);
		const struct rj_member_view *member;

		if ((!rack->owned && !rack->owner) ||
		    !rj_rack_shape_fits(rack, shape))
			continue;
		if (rack->owned) {
			*here = true;
			return NULL;
		}
		member = rj_membership_find(core, rack->owner);
		if (member && rj_membership_accepts_jobs(core, member) &&
		    (!best || member->queued < best->queued))
			best = member;
	}
	return best;
}

/* Whether the peer forwarded the job to this instance; it is not sent back. */
static bool is_sender(const struct rj_submission *submission, const char *peer)
{
	return submission->peer && !strcmp(submission->peer, peer);
}

/* Returns the peer of this failure domain with the shortest queue, or NULL. */
static const struct rj_member_view *
shortest_queue(struct rj_core_state *core,
	       const struct rj_submission *submission)
{
	const struct rj_member_view *best = NULL;
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);

		if (!strcmp(member->domain, core->domain) &&
		    rj_membership_accepts_jobs(core, member) &&
		    !is_sender(submission, member->name) &&
		    (!best || member->queued < best->queued))
			best = member;
	}
	return best;
}

/*
 * Returns the peer of this failure domain that should serve the job, or NULL to
 * serve it here.
 */
static const char *choose_peer(struct rj_core_state *core,
			       const struct rj_submission *submission)
{
	const struct rj_member_view *best;
	const char *owner;
	bool here;

	best = owner_with_free_capacity(core, &submission->spec.shape, &here);
	if (here)
		return NULL;
	if (best && !is_sender(submission, best->name))
		return best->name;
	/*
	 * No free capacity anywhere. An owner of the account's guarantee can
	 * reclaim it; otherwise the job waits here, or at any peer if this
	 * instance has no rack or is stopping.
	 */
	owner = guarantee_owner(core, submission);
	if (owner && !is_sender(submission, owner))
		return owner;
	if (!rj_racks_cannot_place(core))
		return NULL;
	best = shortest_queue(core, submission);
	return best ? best->name : NULL;
}

/*
 * Whether a guaranteed shape is left for the job here, after the account's
 * other open jobs at this instance.
 */
static bool within_guarantee(const struct rj_core_state *core,
			     const struct rj_submission *submission)
{
	const struct rj_account *account = submission->account;
	uint32_t count = 0;

	if (!account || guaranteed_rack(core, submission) == UINT32_MAX)
		return false;
	for (uint32_t i = 0; i < account->guarantee_count; i++)
		if (!strcmp(account->guarantees[i].domain, core->domain))
			count += account->guarantees[i].count;
	return rj_jobs_open_count(core, false, account->name) <= count;
}

/*
 * Returns an instance of another domain with a much shorter wait, or NULL. A
 * guarantee only applies in its own failure domain: elsewhere the job would
 * queue with others, and its guaranteed shape would be delayed.
 */
static const char *choose_domain(struct rj_core_state *core,
				 const struct rj_submission *submission)
{
	const struct rj_member_view *best = NULL;
	struct rj_plan_view view;
	struct rj_list *at;
	struct rj_list *next;

	memset(&view, 0, sizeof(view));
	core->planner->ops->view(core->planner, core->now_us, &view);
	if (view.accelerators && (view.small_wait_us < OTHER_DOMAIN_MARGIN_US ||
				  within_guarantee(core, submission)))
		return NULL;
	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);

		if (!strcmp(member->domain, core->domain) ||
		    !rj_membership_accepts_jobs(core, member))
			continue;
		if (!best || member->wait_us < best->wait_us)
			best = member;
	}
	if (!best)
		return NULL;
	if (view.accelerators &&
	    best->wait_us + OTHER_DOMAIN_MARGIN_US > view.small_wait_us)
		return NULL;
	return best->name;
}

/* Forwards the job to where it is best served. A job that a peer has forwarded
 * is forwarded again only if this instance cannot place it. */
static enum rj_filter_verdict route(struct rj_core_state *core,
				    struct rj_submission *submission)
{
	const char *peer = NULL;
	bool other = false;

	if (!submission->spec.wait)
		return RJ_FILTER_NEXT; /* the log determines its owner */
	if (!submission->hops ||
	    (submission->hops < HOPS_MAX && rj_racks_cannot_place(core)))
		peer = choose_peer(core, submission);
	if (!peer && !submission->other_domain && !submission->hops) {
		peer = choose_domain(core, submission);
		other = peer != NULL;
	}
	if (!peer)
		return RJ_FILTER_NEXT;
	if (rj_job_forward(rj_filter_ensure_job(core, submission), peer, other))
		return RJ_FILTER_HANDLED;
	return RJ_FILTER_NEXT;
}

const struct rj_filter rj_filter_route = { "route", route };
