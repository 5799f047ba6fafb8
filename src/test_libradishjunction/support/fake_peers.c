#include "support/simulation.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "support/copy.h"

#define CONNECT_PERIOD_US (250 * RJ_US_PER_MS)
/* A cut is noticed by what is sent into it. */
#define NOTICE_US (2 * RJ_US_PER_S)
#define LATE_MAX_US (2 * RJ_US_PER_S)

static struct fake_link *link_of(struct world *world, uint32_t a, uint32_t b)
{
	return a < b ? &world->links[a][b] : &world->links[b][a];
}

static struct node *node_find(struct world *world, const char *name)
{
	for (uint32_t i = 0; i < world->node_count; i++)
		if (!strcmp(world->nodes[i].name, name))
			return &world->nodes[i];
	return NULL;
}

static bool can_pass(const struct world *world, uint32_t a, uint32_t b)
{
	const struct fake_link *link =
		a < b ? &world->links[a][b] : &world->links[b][a];

	return !link->cut && world_domains_joined(world, world->nodes[a].domain,
						  world->nodes[b].domain);
}

static void tell(struct world *world, struct node *node, uint64_t delay_us,
		 enum rj_event_kind kind, const char *peer)
{
	struct rj_event *event;

	if (!node->engine)
		return;
	event = node_event(world, kind);
	(void)rj_name_set(event->u.peer.name, peer);
	node_deliver_after(world, node, delay_us, event);
}

static void set_link(struct world *world, uint32_t a, uint32_t b, bool up)
{
	struct fake_link *link = link_of(world, a, b);
	enum rj_event_kind kind = up ? RJ_EVENT_PEER_UP : RJ_EVENT_PEER_DOWN;

	if (link->up == up)
		return;
	link->up = up;
	link->up_us = world->now_us;
	link->life++;
	tell(world, &world->nodes[a], 1000, kind, world->nodes[b].name);
	tell(world, &world->nodes[b], 1000, kind, world->nodes[a].name);
}

static void notice_cut(struct world *world, struct world_event *event)
{
	struct fake_link *link = link_of(world, event->index, event->other);

	if (link->life == event->life &&
	    !can_pass(world, event->index, event->other))
		set_link(world, event->index, event->other, false);
}

/* Bring up wanted links, and notice those that nothing passes any more. */
static void keep_links(struct world *world, struct world_event *event)
{
	for (uint32_t a = 0; a < world->node_count; a++) {
		for (uint32_t b = a + 1; b < world->node_count; b++) {
			struct fake_link *link = &world->links[a][b];
			bool both = world->nodes[a].engine &&
				    world->nodes[b].engine;
			bool awake = both && !world->nodes[a].paused &&
				     !world->nodes[b].paused;

			if (!link->up && link->wanted && awake &&
			    can_pass(world, a, b))
				set_link(world, a, b, true);
			else if (link->up && !can_pass(world, a, b)) {
				struct world_event *cut = world_after(
					world, NOTICE_US, notice_cut);

				cut->index = a;
				cut->other = b;
				cut->life = link->life;
			}
		}
	}
	(void)world_after(world, CONNECT_PERIOD_US, keep_links);
}

/*
 * Start without a link.
 */
void fake_peers_init(struct world *world)
{
	(void)world_after(world, CONNECT_PERIOD_US, keep_links);
}

/*
 * Keep a link from this instance to that peer.
 */
void fake_peers_connect(struct world *world, struct node *node,
			const char *name)
{
	struct node *peer = node_find(world, name);

	if (peer && peer != node)
		link_of(world, node->index, peer->index)->wanted = true;
}

/*
 * End the link between this instance and that peer.
 */
void fake_peers_drop(struct world *world, struct node *node, const char *name)
{
	struct node *peer = node_find(world, name);

	if (!peer)
		return;
	link_of(world, node->index, peer->index)->wanted = false;
	set_link(world, node->index, peer->index, false);
}

static void message_arrives(struct world *world, struct world_event *event)
{
	struct node *to = &world->nodes[event->other];
	const struct fake_link *link =
		link_of(world, event->index, event->other);
	struct rj_event *told;

	if (link->life != event->life || !to->engine ||
	    !can_pass(world, event->index, event->other))
		return;
	told = node_event(world, RJ_EVENT_PEER_MESSAGE);
	(void)rj_name_set(told->u.peer.name, world->nodes[event->index].name);
	told->u.peer.message = talloc_steal(told, event->data);
	if (told->u.peer.message->kind == RJ_PEER_LEAVING) {
		const struct rj_peer_leaving *leaving =
			&told->u.peer.message->u.leaving;
		struct fake_worker *worker =
			fake_worker_find(world, leaving->worker);

		checker_leaving_learnt(&world->checker, world->now_us,
				       event->other, worker->index,
				       leaving->incarnation);
	}
	node_deliver_after(world, to, 0, told);
}

/*
 * Send a message; one link delivers in order, and loses what is under way
 * when it ends.
 */
void fake_peers_send(struct world *world, struct node *node, const char *name,
		     const struct rj_peer_message *message)
{
	struct node *peer = node_find(world, name);
	struct fake_link *link;
	struct world_event *event;
	uint64_t at_us;
	uint64_t *last_us;

	if (message->kind == RJ_PEER_HEARTBEAT)
		checker_config_seen(&world->checker, world->now_us, node->index,
				    node->incarnation,
				    message->u.heartbeat.config_revision);
	if (message->kind == RJ_PEER_CONFIG)
		checker_config_offered(&world->checker, world->now_us,
				       node->index, message->u.config.revision,
				       message->u.config.id);
	if (!peer || peer == node)
		return;
	link = link_of(world, node->index, peer->index);
	if (!link->up || world_chance(world, world->rates.peer_lost))
		return;
	last_us = &link->last_us[node->index < peer->index];
	at_us = world->now_us +
		world_delay_us(world, node->domain, peer->domain);
	if (world_chance(world, world->rates.peer_late))
		at_us += world_random(world, LATE_MAX_US);
	if (at_us < *last_us)
		at_us = *last_us;
	*last_us = at_us;
	event = world_after(world, at_us - world->now_us, message_arrives);
	event->index = node->index;
	event->other = peer->index;
	event->life = link->life;
	event->data = copy_message(event, message);
}

/*
 * An instance has ended: its links go down.
 */
void fake_peers_node_gone(struct world *world, struct node *node)
{
	for (uint32_t i = 0; i < world->node_count; i++) {
		if (i == node->index)
			continue;
		set_link(world, node->index, i, false);
		link_of(world, node->index, i)->last_us[0] = 0;
		link_of(world, node->index, i)->last_us[1] = 0;
	}
}

/*
 * Since when an instance has heard each other one without a break;
 * RJ_NEVER_US where it does not. One that goes on after a pause hears, and is
 * heard, only from then on.
 */
void fake_peers_heard(const struct world *world, uint32_t node,
		      uint64_t heard_us[CHECKER_NODES_MAX])
{
	for (uint32_t i = 0; i < CHECKER_NODES_MAX; i++)
		heard_us[i] = RJ_NEVER_US;
	for (uint32_t i = 0; i < world->node_count; i++) {
		const struct fake_link *link = i < node ?
						       &world->links[i][node] :
						       &world->links[node][i];

		if (i == node || !link->up || !can_pass(world, i, node) ||
		    world->nodes[i].paused)
			continue;
		heard_us[i] = MAX(link->up_us, link->whole_us);
		heard_us[i] = MAX(heard_us[i], world->nodes[i].resumed_us);
		heard_us[i] = MAX(heard_us[i], world->nodes[node].resumed_us);
	}
}

/*
 * End every cut between instances and between failure domains.
 */
void fake_peers_mend(struct world *world)
{
	for (uint32_t a = 0; a < world->node_count; a++)
		for (uint32_t b = a + 1; b < world->node_count; b++)
			if (!can_pass(world, a, b))
				world->links[a][b].whole_us = world->now_us;
	memset(world->domain_cut, 0, sizeof(world->domain_cut));
	for (uint32_t a = 0; a < world->node_count; a++)
		for (uint32_t b = a + 1; b < world->node_count; b++)
			world->links[a][b].cut = false;
}
