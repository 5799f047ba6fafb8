/*
 * Where the job is served: here, at the peer that owns a fitting rack, or in
 * another failure domain.
 */
#include <string.h>

#include "private/core_state.h"

/* Another domain must be this much quicker: the link costs time and money. */
#define OTHER_DOMAIN_MARGIN_US (2 * RJ_US_PER_S)

/* How many tasks of `shape` fit on the listed free resources. */
static uint32_t tasks_that_fit(const struct rj_shape *shape,
			       const struct rj_resources *free, uint32_t count)
{
	uint32_t tasks = 0;

	for (uint32_t i = 0; i < count && tasks < shape->tasks; i++) {
		struct rj_resources left = free[i];

		while (tasks < shape->tasks &&
		       rj_resources_fit(&shape->each, &left)) {
			rj_resources_take(&left, &shape->each, 1);
			tasks++;
		}
	}
	return tasks;
}

/*
 * Whether a peer says that one of its racks has room for the job now. What it
 * said of a rack that it owns no more is out of date: the job would wait at
 * a peer that has no rack for it.
 */
static bool peer_has_room(struct rj_core_state *core,
			  const struct rj_member_view *member,
			  const struct rj_shape *shape)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &member->summaries) {
		const struct rj_rack_summary *summary =
			RJ_CONTAINER(at, struct rj_rack_summary, link);
		const char *owner = rj_membership_owner(
			core, rj_upstreams_rack_key(core, summary->rack));

		if (summary->owner == member->incarnation && owner &&
		    !strcmp(owner, member->name) &&
		    tasks_that_fit(shape, summary->free,
				   summary->worker_count) == shape->tasks)
			return true;
	}
	return false;
}

/* Whether an own rack has room for the job now, or could ever have. */
static bool own_rack_fits(const struct rj_core_state *core,
			  const struct rj_shape *shape, bool ever)
{
	for (uint32_t i = 0; i < core->upstreams.count; i++) {
		const struct rj_upstream *first = core->upstreams.by_index[i];
		uint32_t tasks = 0;

		if (!first->owned || !first->known)
			continue;
		for (uint32_t j = i; j < core->upstreams.count; j++) {
			const struct rj_upstream *upstream =
				core->upstreams.by_index[j];

			if (!upstream->owned || !upstream->known ||
			    upstream->rack != first->rack ||
			    upstream->leaving ||
			    upstream->health != RJ_UPSTREAM_HEALTHY)
				continue;
			tasks += tasks_that_fit(shape,
						ever ? &upstream->capacity :
						       &upstream->free_now,
						1);
			if (tasks >= shape->tasks)
				return true;
		}
	}
	return false;
}

/* Whether this instance owns any rack. */
static bool owns_racks(const struct rj_core_state *core)
{
	for (uint32_t i = 0; i < core->upstreams.count; i++)
		if (core->upstreams.by_index[i]->owned)
			return true;
	return false;
}

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
	return rj_membership_owner(core, rj_upstreams_rack_key(core, rack));
}

/* A peer of the domain to serve the job, or NULL to serve it here. */
static const char *choose_peer(struct rj_core_state *core,
			       const struct rj_submission *submission)
{
	const struct rj_shape *shape = &submission->spec.shape;
	bool must = core->stopping || !owns_racks(core);
	const struct rj_member_view *best = NULL;
	bool best_room = false;
	struct rj_list *at;
	struct rj_list *next;

	if (!must && own_rack_fits(core, shape, false))
		return NULL;
	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);
		bool room;

		if (strcmp(member->domain, core->domain) || member->draining ||
		    !rj_membership_alive(core, member))
			continue;
		/* One without racks is of use only to an instance that stops
		   or has none either: it is about to own some. */
		if (!must && member->summaries.next == &member->summaries)
			continue;
		room = peer_has_room(core, member, shape);
		if (!best || (room && !best_room) ||
		    (room == best_room && member->queued < best->queued)) {
			best = member;
			best_room = room;
		}
	}
	if (!best)
		return NULL;
	if (must || best_room)
		return best->name;
	/* Nobody has room now. Where the account has a guarantee, its owner
	   can reclaim it; else the job waits here. */
	return guarantee_owner(core, submission);
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
	return rj_jobs_open(core, false, account->name) <= count;
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

		if (!strcmp(member->domain, core->domain) || member->draining ||
		    !rj_membership_alive(core, member))
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
	if (!submission->hops || core->stopping)
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
