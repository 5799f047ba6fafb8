/*
 * The other instances: which are believed alive, and who owns what.
 *
 * The view is built from the settings, the platform's list, which lags, and the
 * peers' heartbeats, and may be wrong. Ownership decides which instance acts
 * first; leases and the order of the log decide which one may.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

#define HEARTBEAT_INTERVAL_US (1 * RJ_US_PER_S)
/* Heartbeats that may be lost on a poor link before a peer counts as dead. */
#define HEARTBEATS_LOST_MAX 3
#define ALIVE_TIMEOUT_US \
	(HEARTBEATS_LOST_MAX * HEARTBEAT_INTERVAL_US + 500 * RJ_US_PER_MS)
/* Number of links to each other failure domain: with two, one may fail; a fixed
 * number keeps the traffic constant. */
#define LINKS_PER_OTHER_DOMAIN 2
#define LIST_INTERVAL_US (2 * RJ_US_PER_S)
/* Nothing can be served until the first list has arrived. */
#define LIST_STARTUP_INTERVAL_US (300 * RJ_US_PER_MS)

/* Returns the peer with this name, added if it is new, or NULL for this
 * instance's own name. */
static struct rj_member_view *find_or_add_member(struct rj_core_state *core,
						 const char *name)
{
	struct rj_member_view *member = rj_membership_find(core, name);

	if (member || !strcmp(name, core->name))
		return member;
	member = talloc_zero(core, struct rj_member_view);
	assert(member);
	g_strlcpy(member->name, name, sizeof(member->name));
	rj_list_init(&member->summaries);
	rj_list_append(&core->membership.members, &member->link);
	core->membership.count++;
	return member;
}

/*
 * Returns the peer with this name, or NULL.
 */
struct rj_member_view *rj_membership_find(struct rj_core_state *core,
					  const char *name)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->membership.members) {
		struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);

		if (!strcmp(member->name, name))
			return member;
	}
	return NULL;
}

/*
 * Returns the n for which only every n-th heartbeat is sent to other failure
 * domains, if there are `domains` in all. It is 1 for up to four domains and
 * then grows with their number, so that the total rate stays constant. A dead
 * instance is still detected at once, as its link closes; only one that is
 * unreachable is detected later.
 */
uint32_t rj_membership_cross_domain_interval(uint32_t domains)
{
	return MAX((domains - 1) / LINKS_PER_OTHER_DOMAIN, 1);
}

/* The same for the configuration in force. */
static uint32_t cross_domain_interval(const struct rj_core_state *core)
{
	return rj_membership_cross_domain_interval(
		core->config ? core->config->domain_count : 1);
}

/*
 * Whether a peer is believed alive: its link is up and a heartbeat arrived
 * recently.
 */
bool rj_membership_alive(const struct rj_core_state *core,
			 const struct rj_member_view *member)
{
	uint64_t timeout_us = ALIVE_TIMEOUT_US;

	if (strcmp(member->domain, core->domain) != 0)
		timeout_us += HEARTBEATS_LOST_MAX * HEARTBEAT_INTERVAL_US *
			      (cross_domain_interval(core) - 1);
	return member->connected && member->heartbeat_seen &&
	       core->now_us < member->last_heartbeat_us + timeout_us;
}

/*
 * Whether jobs may be handed to a peer: it is believed alive and is not
 * draining.
 */
bool rj_membership_accepts_jobs(const struct rj_core_state *core,
				const struct rj_member_view *member)
{
	return !member->draining && rj_membership_alive(core, member);
}

/*
 * Returns the name of the live peer with this incarnation, or NULL.
 */
const char *rj_membership_name_by_incarnation(const struct rj_core_state *core,
					      uint64_t incarnation)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);

		if (member->incarnation == incarnation &&
		    rj_membership_alive(core, member))
			return member->name;
	}
	return NULL;
}

/*
 * Whether the instance with this incarnation is believed alive; true for this
 * instance.
 */
bool rj_membership_incarnation_alive(const struct rj_core_state *core,
				     uint64_t incarnation)
{
	return incarnation == core->incarnation ||
	       rj_membership_name_by_incarnation(core, incarnation);
}

/*
 * Returns how many connections to a worker of its failure domain this instance
 * may open now: the share of an owner while it receives heartbeats from all
 * peers of the domain.
 *
 * Instances that cannot reach each other each believe that they own every rack.
 * With an owner's share each, eight of them would request 112 connections from
 * a worker that allows 64, and those it refuses could not renew their leases.
 * Therefore an owner's share is left for what the former owner has open, and a
 * smaller one for each listed peer that cannot be another owner; the rest is
 * divided between this instance and the domain's listed peers that it does not
 * believe alive.
 */
uint32_t rj_membership_worker_connections(const struct rj_core_state *core)
{
	uint32_t available =
		RJ_WORKER_CONNECTIONS - RJ_WORKER_CONNECTIONS_OWNER;
	uint32_t others = 0;
	uint32_t owners = 1;
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);

		if (!member->listed)
			continue;
		if (!strcmp(member->domain, core->domain) &&
		    !rj_membership_alive(core, member))
			owners++;
		else
			others++;
	}
	if (owners == 1)
		return RJ_WORKER_CONNECTIONS_OWNER;
	others *= RJ_WORKER_CONNECTIONS_OTHER;
	available = available > others ? (available - others) / owners : 0;
	return CLAMP(available, RJ_WORKER_CONNECTIONS_MIN,
		     RJ_WORKER_CONNECTIONS_OWNER);
}

/*
 * Adds a message to a peer and returns it for the caller to fill. The message
 * is dropped if there is no link.
 */
struct rj_peer_message *rj_membership_send(struct rj_core_state *core,
					   const char *peer,
					   enum rj_peer_message_kind kind)
{
	struct rj_member_view *member = rj_membership_find(core, peer);
	struct rj_action *action;
	struct rj_peer_message *message;

	message = talloc_zero(core->actions->mem, struct rj_peer_message);
	assert(message);
	message->kind = kind;
	if (member && kind != RJ_PEER_HEARTBEAT)
		member->sent++;
	action = rj_actions_add(core->actions, RJ_ACTION_PEER_SEND);
	g_strlcpy(action->u.peer.name, peer, sizeof(action->u.peer.name));
	action->u.peer.message = message;
	return message;
}

/*
 * Sends a copy of `message`, which must contain no pointers, to every connected
 * peer of this failure domain.
 */
void rj_membership_send_domain(struct rj_core_state *core,
			       const struct rj_peer_message *message)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);

		if (member->connected && !strcmp(member->domain, core->domain))
			*rj_membership_send(core, member->name, message->kind) =
				*message;
	}
}

/* Fills the fields of a heartbeat that are the same for all peers. */
static void fill_heartbeat(struct rj_core_state *core,
			   struct rj_peer_heartbeat *heartbeat)
{
	struct rj_plan_view view;

	memset(heartbeat, 0, sizeof(*heartbeat));
	memset(&view, 0, sizeof(view));
	core->planner->ops->view(core->planner, core->now_us, &view);
	g_strlcpy(heartbeat->domain, core->domain, sizeof(heartbeat->domain));
	heartbeat->incarnation = core->incarnation;
	heartbeat->draining = core->stopping;
	heartbeat->log_usable = rj_log_usable(core);
	heartbeat->cut_off = rj_ownership_cut_off(core);
	heartbeat->config_revision = core->config ? core->config->revision : 0;
	heartbeat->queued = view.queued;
	heartbeat->wait_us = view.small_wait_us;
	heartbeat->config_changes = true;
	rj_log_fill_heartbeat(core, heartbeat);
}

/* Sends a heartbeat to one peer, with the message counts of its link. */
static void send_heartbeat(struct rj_core_state *core,
			   const struct rj_member_view *member,
			   const struct rj_peer_heartbeat *heartbeat)
{
	struct rj_peer_heartbeat *out =
		&rj_membership_send(core, member->name, RJ_PEER_HEARTBEAT)
			 ->u.heartbeat;

	*out = *heartbeat;
	out->sent = member->sent;
	out->lost = member->lost;
}

/* Sends a heartbeat to the connected peers of this failure domain and, if
 * `others`, of all other domains. */
static void send_heartbeats(struct rj_core_state *core, bool others)
{
	struct rj_peer_heartbeat message;
	struct rj_list *at;
	struct rj_list *next;

	fill_heartbeat(core, &message);
	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);

		if (member->connected &&
		    (others || !strcmp(member->domain, core->domain)))
			send_heartbeat(core, member, &message);
	}
}

/*
 * Sends a heartbeat to every connected peer.
 */
void rj_membership_send_heartbeats(struct rj_core_state *core)
{
	send_heartbeats(core, true);
}

/* Updates what depends on the view: the racks that this instance owns, and jobs
 * to hand over. */
static void on_view_changed(struct rj_core_state *core)
{
	rj_racks_update_ownership(core);
	rj_drain_hand_over_jobs(core);
}

/* A digest of which peers accept jobs, and of which of these and of this
 * instance are cut off, to detect changes. */
static uint64_t view_digest(const struct rj_core_state *core)
{
	uint64_t digest = core->stopping + 2 * rj_ownership_cut_off(core);
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);

		if (rj_membership_accepts_jobs(core, member))
			digest += rj_hash64_string(member->name,
						   1 + member->cut_off);
	}
	return digest;
}

/* Updates the time since which this instance cannot use the log while a live
 * peer of its failure domain can; 0: not so. */
static void update_log_isolation(struct rj_core_state *core)
{
	bool isolated = false;
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);

		if (member->log_usable && rj_membership_alive(core, member) &&
		    !strcmp(member->domain, core->domain))
			isolated = !rj_log_usable(core);
	}
	if (!isolated)
		core->membership.log_isolated_us = 0;
	else if (!core->membership.log_isolated_us)
		core->membership.log_isolated_us = core->now_us;
}

/* Periodic round: sends heartbeats and checks which peers have become
 * unreachable. */
static void heartbeat_due(struct rj_core_state *core, struct rj_timer *timer)
{
	uint64_t digest;

	update_log_isolation(core);
	digest = view_digest(core);
	send_heartbeats(core, core->membership.heartbeats_sent++ %
					      cross_domain_interval(core) ==
				      0);
	rj_upstreams_resend_leaving(core);
	if (digest != core->membership.view_digest) {
		core->membership.view_digest = digest;
		on_view_changed(core);
	}
	rj_config_controller_tick(core);
	rj_timer_set(&core->timers, timer,
		     core->now_us + HEARTBEAT_INTERVAL_US);
}

/* Timer: requests the platform's list and schedules the next request. */
static void list_due(struct rj_core_state *core, struct rj_timer *timer)
{
	rj_actions_add(core->actions, RJ_ACTION_LIST);
	rj_timer_set(&core->timers, timer,
		     core->now_us +
			     rj_core_jitter_us(
				     core, core->upstreams.count ?
						   LIST_INTERVAL_US :
						   LIST_STARTUP_INTERVAL_US));
}

/* How many peers of `member`'s failure domain precede it in the link order of
 * this instance. */
static uint32_t link_rank(const struct rj_core_state *core,
			  const struct rj_member_view *member)
{
	uint64_t seed = rj_hash64_string(core->name, 0);
	uint64_t weight = rj_ownership_weight(member->name, seed, false);
	uint32_t rank = 0;
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *other =
			RJ_CONTAINER(at, struct rj_member_view, link);

		if (other != member && other->listed &&
		    !strcmp(other->domain, member->domain) &&
		    rj_ownership_weight(other->name, seed, false) > weight)
			rank++;
	}
	return rank;
}

/*
 * Maintains links to all peers of this failure domain and to a few in each
 * other one; drops the others.
 */
static void update_links(struct rj_core_state *core)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->membership.members) {
		struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);
		bool same = !strcmp(member->domain, core->domain);
		bool want = member->listed &&
			    (same ||
			     link_rank(core, member) < LINKS_PER_OTHER_DOMAIN);
		struct rj_action *action;

		if (want == member->link_wanted)
			continue;
		member->link_wanted = want;
		action = rj_actions_add(core->actions,
					want ? RJ_ACTION_PEER_CONNECT :
					       RJ_ACTION_PEER_DROP);
		g_strlcpy(action->u.peer.name, member->name,
			  sizeof(action->u.peer.name));
		action->u.peer.address = member->address;
	}
}

/* Adds an instance from the settings or from the platform's list to the view,
 * or updates it. */
static void apply_instance(struct rj_core_state *core,
			   const struct rj_instance *instance)
{
	struct rj_member_view *member =
		find_or_add_member(core, instance->name);

	if (!member)
		return;
	if (member->link_wanted &&
	    (strcmp(member->address.ip, instance->address.ip) ||
	     member->address.port != instance->address.port))
		member->link_wanted =
			false; /* connect again to the new address */
	g_strlcpy(member->domain, instance->domain, sizeof(member->domain));
	member->address = instance->address;
	member->listed = true;
	if (instance->leaving)
		member->draining = true;
}

/*
 * Initialises the view with the peers in the settings.
 */
void rj_membership_init(struct rj_core_state *core,
			const struct rj_core_options *options)
{
	struct rj_member_view *member;

	rj_list_init(&core->membership.members);
	rj_timer_init(&core->membership.heartbeat, heartbeat_due);
	rj_timer_init(&core->membership.list, list_due);
	for (uint32_t i = 0; i < options->peer_count; i++) {
		apply_instance(core, &options->peers[i]);
		member = rj_membership_find(core, options->peers[i].name);
		if (member)
			member->in_settings = true;
	}
}

/*
 * Connects to the first peers and starts the periodic work.
 */
void rj_membership_start(struct rj_core_state *core)
{
	update_links(core);
	rj_actions_add(core->actions, RJ_ACTION_LIST);
	rj_timer_set(&core->timers, &core->membership.list,
		     core->now_us +
			     rj_core_jitter_us(core, LIST_STARTUP_INTERVAL_US));
	rj_timer_set(&core->timers, &core->membership.heartbeat,
		     core->now_us +
			     rj_core_jitter_us(core, HEARTBEAT_INTERVAL_US));
}

/*
 * Applies the platform's list of entry instances. As the list lags, an instance
 * that it does not contain keeps its link while that is up, and a peer in the
 * settings always counts as listed: it is reconnected to without limit.
 */
void rj_membership_apply_list(struct rj_core_state *core,
			      const struct rj_instance *list, uint32_t count)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->membership.members) {
		struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);

		member->listed = member->connected || member->in_settings;
	}
	for (uint32_t i = 0; i < count; i++)
		if (list[i].role == RJ_ROLE_ENTRY)
			apply_instance(core, &list[i]);
	update_links(core);
}

/*
 * Handles a new link: sends a heartbeat, the configuration in force and the
 * free capacity at once.
 */
void rj_membership_link_up(struct rj_core_state *core, const char *name)
{
	struct rj_member_view *member = find_or_add_member(core, name);
	struct rj_peer_heartbeat own;

	if (!member)
		return;
	member->connected = true;
	member->heartbeat_seen = false;
	member->sent = 0;
	member->received = 0;
	member->lost = 0;
	member->lost_at_peer = 0;
	fill_heartbeat(core, &own);
	send_heartbeat(core, member, &own);
	rj_config_controller_send(core, name);
	rj_racks_send_summaries(core, name);
	if (!strcmp(member->domain, core->domain))
		rj_upstreams_send_leaving(core, name);
}

/*
 * Handles a closed link: jobs forwarded over it may be lost, and other
 * instances now own what the peer owned.
 */
void rj_membership_link_down(struct rj_core_state *core, const char *name)
{
	struct rj_member_view *member = rj_membership_find(core, name);

	if (!member)
		return;
	member->connected = false;
	member->heartbeat_seen = false;
	core->membership.view_digest = view_digest(core);
	rj_forward_peer_lost(core, name);
	on_view_changed(core);
}

/*
 * Counts a message other than a heartbeat from a peer.
 */
void rj_membership_count_received(struct rj_core_state *core, const char *name)
{
	struct rj_member_view *member = rj_membership_find(core, name);

	if (member)
		member->received++;
}

/*
 * Detects by a peer's heartbeat whether the link has lost messages in either
 * direction. A link delivers in order, so a message sent before the heartbeat
 * that has not arrived never will.
 *
 * Without this a forwarded job or its answer that is lost on a link that stays
 * up would leave the caller waiting until its timeout, even for a guaranteed
 * shape. Forwarded jobs are served again, as after a closed link; the key or
 * the id finds an attempt that already runs.
 */
static void detect_message_loss(struct rj_core_state *core,
				struct rj_member_view *member,
				const struct rj_peer_heartbeat *heartbeat)
{
	bool missed = heartbeat->sent > member->received + member->lost;
	bool missed_by_peer = heartbeat->lost > member->lost_at_peer;
	struct rj_peer_heartbeat own;

	if (!missed && !missed_by_peer)
		return;
	member->lost_at_peer = heartbeat->lost;
	if (missed) {
		member->lost = heartbeat->sent - member->received;
		fill_heartbeat(core, &own);
		send_heartbeat(core, member, &own);
	}
	if (missed_by_peer)
		rj_racks_send_summaries(core, member->name);
	rj_forward_peer_lost(core, member->name);
}

/*
 * Handles a peer's heartbeat. A peer with an older configuration is sent the
 * one in force; a peer with a newer one sends it unasked.
 */
void rj_membership_receive_heartbeat(struct rj_core_state *core,
				     const char *name,
				     const struct rj_peer_heartbeat *heartbeat)
{
	struct rj_member_view *member = find_or_add_member(core, name);
	uint64_t digest;

	if (!member)
		return;
	member->connected = true;
	member->heartbeat_seen = true;
	member->last_heartbeat_us = core->now_us;
	g_strlcpy(member->domain, heartbeat->domain, sizeof(member->domain));
	member->incarnation = heartbeat->incarnation;
	member->draining = heartbeat->draining;
	member->log_usable = heartbeat->log_usable;
	member->cut_off = heartbeat->cut_off;
	member->config_revision = heartbeat->config_revision;
	member->queued = heartbeat->queued;
	member->wait_us = heartbeat->wait_us;
	member->log_from = heartbeat->log_from;
	member->log_next = heartbeat->log_next;
	member->config_changes = heartbeat->config_changes;
	rj_log_check_gap(core);
	if (core->config && member->config_revision < core->config->revision)
		rj_config_controller_send(core, name);
	detect_message_loss(core, member, heartbeat);
	digest = view_digest(core);
	if (digest == core->membership.view_digest)
		return;
	core->membership.view_digest = digest;
	on_view_changed(core);
}

/*
 * Handles a peer's summary of the free capacity in a rack that it owns. It
 * replaces the last one if its owner differs; from the same owner, late and
 * duplicate versions are dropped.
 */
void rj_membership_receive_summary(struct rj_core_state *core, const char *name,
				   const struct rj_peer_summary *summary)
{
	struct rj_member_view *member = find_or_add_member(core, name);
	struct rj_rack_summary *stored = NULL;
	struct rj_list *at;
	struct rj_list *next;

	if (!member || summary->worker_count > RJ_RACK_WORKERS_MAX)
		return;
	RJ_FOR_EACH (at, next, &member->summaries) {
		struct rj_rack_summary *known =
			RJ_CONTAINER(at, struct rj_rack_summary, link);

		if (known->rack == summary->rack)
			stored = known;
	}
	if (!stored) {
		stored = talloc_zero(member, struct rj_rack_summary);
		assert(stored);
		stored->rack = summary->rack;
		rj_list_append(&member->summaries, &stored->link);
	}
	if (stored->owner == summary->owner &&
	    stored->version >= summary->version)
		return;
	stored->owner = summary->owner;
	stored->version = summary->version;
	stored->worker_count = summary->worker_count;
	memcpy(stored->free, summary->free, sizeof(stored->free));
	rj_racks_receive_summary(core, summary);
}

/*
 * Applies the peers' last summaries of their racks again, for workers that were
 * not listed yet or were owned here when the summary arrived: a summary is sent
 * only when it changes.
 */
void rj_membership_reapply_summaries(struct rj_core_state *core)
{
	struct rj_list *at;
	struct rj_list *next;
	struct rj_list *rack;
	struct rj_list *next_rack;

	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);

		RJ_FOR_EACH (rack, next_rack, &member->summaries) {
			const struct rj_rack_summary *known = RJ_CONTAINER(
				rack, struct rj_rack_summary, link);
			struct rj_peer_summary summary;

			if (!rj_racks_owned_by(core, known->rack, member->name))
				continue;
			memset(&summary, 0, sizeof(summary));
			memcpy(summary.domain, member->domain,
			       sizeof(summary.domain));
			summary.rack = known->rack;
			summary.worker_count = known->worker_count;
			memcpy(summary.free, known->free, sizeof(summary.free));
			rj_racks_receive_summary(core, &summary);
		}
	}
}
