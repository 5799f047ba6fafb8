/*
 * Where the job is served: here, at the peer that owns a fitting rack, or in
 * another failure domain.
 */
#include <string.h>

#include "private/core_state.h"

/* Views of who owns a rack may differ for a moment, not for long. */
#define HOPS_MAX 3
/* Another domain must be this much quicker: the link costs time and money. */
#define OTHER_DOMAIN_MARGIN_US (2 * RJ_US_PER_S)

/* The rack of a guaranteed shape of this failure domain that the job may
 * claim, or UINT32_MAX. */
static uint32_t guaranteed_rack(const struct rj_core_state *core,
				const struct rj_submission *submission)
{
	const struct rj_planner_ops *ops = core->planner->ops;

	if (!ops->home_rack)
		return UINT32_MAX;
	return ops->home_rack(core->planner, submission->spec.account,
			      &submission->spec.shape);
}

/* The peer that owns a guaranteed shape that the job may claim, or NULL when
 * there is none, or this instance owns it. */
static const char *guarantee_owner(struct rj_core_state *core,
				   const struct rj_submission *submission)
{
	uint32_t rack = guaranteed_rack(core, submission);

	if (rack == UINT32_MAX)
		return NULL;
	return rj_ownership_owner(core, rj_racks_key(core, rack));
}

/*
 * Whether the job waits here for a guaranteed shape that a peer owns.
 *
 * Guards against a rack that changes its owner while a job on its account's
 * guarantee starts: its former owner cannot reclaim the shape, and takes from
 * the rack only what its owner offers. It shows as a guaranteed shape that is
 * late, though the owner would have had it.
 */
bool rj_route_leads_away(const struct rj_job *job)
{
	struct rj_submission submission = { .spec = job->spec };

	return job->spec.wait && !job->accepted &&
	       guarantee_owner(job->core, &submission);
}

/* The peer with the shortest queue of those that own a rack with room now;
 * `*here` is set when an own rack has room. */
static const struct rj_member_view *
owner_with_room(struct rj_core_state *core, const struct rj_shape *shape,
		bool *here)
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

/* Whether a peer has just handed the job here: it is not handed back. */
static bool is_sender(const struct rj_submission *submission, const char *peer)
{
	return submission->peer && !strcmp(submission->peer, peer);
}

/* The peer of the failure domain with the shortest queue, or NULL. */
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

/* A peer of the domain to serve the job, or NULL to serve it here. */
static const char *choose_peer(struct rj_core_state *core,
			       const struct rj_submission *submission)
{
	const struct rj_member_view *best;
	const char *owner;
	bool here;

	best = owner_with_room(core, &submission->spec.shape, &here);
	if (here)
		return NULL;
	if (best && !is_sender(submission, best->name))
		return best->name;
	/* Nobody has room now. Where the account has a guarantee, its owner
	   can reclaim it; else the job waits here, or at any peer when this
	   instance has no rack or is to stop. */
	owner = guarantee_owner(core, submission);
	if (owner && !is_sender(submission, owner))
		return owner;
	if (!rj_racks_cannot_place(core))
		return NULL;
	best = shortest_queue(core, submission);
	return best ? best->name : NULL;
}

/*
 * Whether the account can have a guaranteed shape for the job here, counting
 * the jobs that it has open at this instance against its guarantees.
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

/* An instance of another domain that is much quicker, or NULL. A guarantee
 * holds in its own failure domain: elsewhere the job would wait its turn with
 * others, and its shape would come late. */
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

/* Forward the job to where it is best served, at most once each way. */
static enum rj_filter_verdict route(struct rj_core_state *core,
				    struct rj_submission *submission)
{
	const char *peer = NULL;
	bool other = false;

	if (!submission->spec.wait)
		return RJ_FILTER_NEXT; /* the log gives it an owner */
	if (!submission->hops ||
	    (submission->hops < HOPS_MAX && rj_racks_cannot_place(core)))
		peer = choose_peer(core, submission);
	if (!peer && !submission->other_domain && !submission->hops) {
		peer = choose_domain(core, submission);
		other = peer != NULL;
	}
	if (!peer)
		return RJ_FILTER_NEXT;
	if (rj_job_forward(rj_filter_job(core, submission), peer, other))
		return RJ_FILTER_TAKEN;
	return RJ_FILTER_NEXT;
}

const struct rj_filter rj_filter_route = { "route", route };
