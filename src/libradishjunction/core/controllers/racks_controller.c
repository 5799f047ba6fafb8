/*
 * The racks of this instance's failure domain: who owns each, its free
 * capacity, and the summaries sent to the peers.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

/*
 * Returns the key that decides who owns a rack of this failure domain: that of
 * its group, so that no guaranteed shape has two owners.
 */
uint64_t rj_racks_key(const struct rj_core_state *core, uint32_t rack)
{
	const struct rj_planner_ops *ops = core->planner->ops;

	if (ops->rack_group)
		rack = ops->rack_group(core->planner, rack);
	return rj_hash64_string(core->domain, rack + 1);
}

/*
 * Returns the key that decides who owns a job in the log: in this failure
 * domain the key of a rack, so that the job's owner also plans a rack.
 *
 * An owner without racks would place accepted jobs on its peers' racks. There
 * they are foreign to the rack's owner, and a guaranteed shape that has to
 * reclaim their capacity would be late.
 */
uint64_t rj_racks_job_key(const struct rj_core_state *core, const char *domain,
			  uint64_t job_id)
{
	const struct rj_domain *own = NULL;

	if (core->config && !strcmp(domain, core->domain))
		own = rj_config_domain(core->config, domain);
	if (!own || !own->racks)
		return job_id;
	return rj_racks_key(core, (uint32_t)(job_id % own->racks));
}

static struct rj_rack *find_rack(const struct rj_core_state *core,
				 uint32_t number)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->upstreams.racks) {
		struct rj_rack *rack = RJ_CONTAINER(at, struct rj_rack, link);

		if (rack->number == number)
			return rack;
	}
	return NULL;
}

static struct rj_rack *find_or_add_rack(struct rj_core_state *core,
					uint32_t number)
{
	struct rj_rack *rack = find_rack(core, number);

	if (rack)
		return rack;
	rack = talloc_zero(core, struct rj_rack);
	assert(rack);
	rack->number = number;
	rj_list_append(&core->upstreams.racks, &rack->link);
	return rack;
}

static void rack_remove(struct rj_rack *rack, const struct rj_upstream *worker)
{
	uint32_t left = 0;

	for (uint32_t i = 0; i < rack->count; i++)
		if (rack->workers[i] != worker)
			rack->workers[left++] = rack->workers[i];
	rack->count = left;
}

/*
 * Adds a worker of this failure domain to its rack, sorted by name: a summary
 * does not name workers, so all instances must order them alike.
 */
void rj_racks_add_worker(struct rj_core_state *core,
			 struct rj_upstream *upstream)
{
	struct rj_rack *rack;
	uint32_t at;

	if (strcmp(upstream->domain, core->domain))
		return;
	rack = find_or_add_rack(core, upstream->rack);
	if (upstream->rack_view == rack)
		return;
	if (upstream->rack_view)
		rack_remove(upstream->rack_view, upstream);
	rack->workers = talloc_realloc(rack, rack->workers,
				       struct rj_upstream *, rack->count + 1);
	assert(rack->workers);
	at = rack->count++;
	while (at && strcmp(rack->workers[at - 1]->name, upstream->name) > 0) {
		rack->workers[at] = rack->workers[at - 1];
		at--;
	}
	rack->workers[at] = upstream;
	upstream->rack_view = rack;
}

/*
 * Whether the peer with this name owns the rack.
 */
bool rj_racks_owned_by(const struct rj_core_state *core, uint32_t number,
		       const char *name)
{
	const struct rj_rack *rack = find_rack(core, number);

	return rack && rack->owner && !strcmp(rack->owner, name);
}

/*
 * Computes again who owns each rack. Called when the view of the instances, of
 * the workers or of the guaranteed shapes has changed. If a rack was lost,
 * summaries that its new owner sent earlier are applied.
 */
void rj_racks_update_ownership(struct rj_core_state *core)
{
	bool lost_rack = false;
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->upstreams.racks) {
		struct rj_rack *rack = RJ_CONTAINER(at, struct rj_rack, link);
		uint64_t key = rj_racks_key(core, rack->number);
		bool before = rack->owned;

		rack->owner = rj_ownership_owner(core, key);
		rack->owned = !rack->owner;
		for (uint32_t i = 0; i < rack->count; i++)
			rj_upstreams_set_owned(core, rack->workers[i],
					       rack->owned);
		lost_rack |= before && !rack->owned;
	}
	if (lost_rack)
		rj_membership_reapply_summaries(core);
}

/*
 * Whether a job queued here cannot be placed and has to be handed over: this
 * instance is stopping or owns no rack.
 */
bool rj_racks_cannot_place(const struct rj_core_state *core)
{
	struct rj_list *at;
	struct rj_list *next;

	if (core->stopping)
		return true;
	RJ_FOR_EACH (at, next, &core->upstreams.racks)
		if (RJ_CONTAINER(at, struct rj_rack, link)->owned)
			return false;
	return true;
}

/* How many tasks of `shape`, at most `most`, fit on a worker now. */
static uint32_t tasks_that_fit(const struct rj_shape *shape,
			       const struct rj_upstream *upstream,
			       uint32_t max_tasks)
{
	struct rj_resources left = upstream->free_now;
	uint32_t tasks = 0;

	if (!rj_upstreams_usable(upstream))
		return 0;
	while (tasks < max_tasks && rj_resources_fit(&shape->each, &left)) {
		rj_resources_subtract(&left, &shape->each, 1);
		tasks++;
	}
	return tasks;
}

/*
 * Whether all of `shape` fits into the rack now, by the last report or offer of
 * each worker.
 */
bool rj_rack_shape_fits(const struct rj_rack *rack,
			const struct rj_shape *shape)
{
	uint32_t tasks = 0;

	for (uint32_t i = 0; i < rack->count && tasks < shape->tasks; i++)
		tasks += tasks_that_fit(shape, rack->workers[i],
					shape->tasks - tasks);
	return tasks == shape->tasks;
}

static void fill_summary(struct rj_core_state *core, const struct rj_rack *rack,
			 struct rj_peer_summary *summary)
{
	memset(summary, 0, sizeof(*summary));
	g_strlcpy(summary->domain, core->domain, sizeof(summary->domain));
	summary->rack = rack->number;
	summary->owner = core->incarnation;
	summary->version = ++core->upstreams.summary_version;
	for (uint32_t i = 0; i < rack->count && i < RJ_RACK_WORKERS_MAX; i++) {
		if (rj_upstreams_usable(rack->workers[i]))
			summary->free[i] = rack->workers[i]->offered;
		summary->worker_count++;
	}
}

/*
 * Sends the free capacity of a rack to the peers of this failure domain.
 */
void rj_racks_send_summary(struct rj_core_state *core,
			   const struct rj_rack *rack)
{
	struct rj_peer_message message;

	memset(&message, 0, sizeof(message));
	message.kind = RJ_PEER_SUMMARY;
	fill_summary(core, rack, &message.u.summary);
	rj_membership_send_domain(core, &message);
}

/*
 * Sends the free capacity of every owned rack to one peer, whose link has just
 * come up.
 */
void rj_racks_send_summaries(struct rj_core_state *core, const char *peer)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->upstreams.racks) {
		const struct rj_rack *rack =
			RJ_CONTAINER(at, struct rj_rack, link);

		if (rack->owned)
			fill_summary(
				core, rack,
				&rj_membership_send(core, peer, RJ_PEER_SUMMARY)
					 ->u.summary);
	}
}

/*
 * Handles a peer's summary of a rack that it owns. Jobs are routed by it, and
 * gangs that fit no owned rack are planned with it. It may be outdated; the
 * lease request decides.
 */
void rj_racks_receive_summary(struct rj_core_state *core,
			      const struct rj_peer_summary *summary)
{
	struct rj_rack *rack;

	if (strcmp(summary->domain, core->domain))
		return;
	rack = find_or_add_rack(core, summary->rack);
	for (uint32_t i = 0; i < rack->count && i < summary->worker_count; i++)
		rj_upstreams_receive_offer(core, rack->workers[i],
					   &summary->free[i]);
}
