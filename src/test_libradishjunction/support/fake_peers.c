#include "support/simulation.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "support/copy.h"

#define CONNECT_PERIOD_US (250 * RJ_US_PER_MS)
/* Time until a cut link is reported down. */
#define CUT_DETECTION_US (2 * RJ_US_PER_S)
#define LATE_MAX_US (2 * RJ_US_PER_S)

static struct fake_link *link_of(struct simulation *simulation, uint32_t a,
				 uint32_t b)
{
	return a < b ? &simulation->links[a][b] : &simulation->links[b][a];
}

static struct node *node_find(struct simulation *simulation, const char *name)
{
	for (uint32_t i = 0; i < simulation->node_count; i++)
		if (!strcmp(simulation->nodes[i].name, name))
			return &simulation->nodes[i];
	return NULL;
}

/* Returns whether messages pass between two instances. */
static bool is_connected(const struct simulation *simulation, uint32_t a,
			 uint32_t b)
{
	const struct fake_link *link =
		a < b ? &simulation->links[a][b] : &simulation->links[b][a];

	return !link->cut && simulation_domains_connected(
				     simulation, simulation->nodes[a].domain,
				     simulation->nodes[b].domain);
}

static void notify_link_change(struct simulation *simulation, struct node *node,
			       uint64_t delay_us, enum rj_event_kind kind,
			       const char *peer)
{
	struct rj_event *event;

	if (!node->engine)
		return;
	event = node_event(simulation, kind);
	(void)rj_name_set(event->u.peer.name, peer);
	node_deliver_after(simulation, node, delay_us, event);
}

/* Changes the state of a link and notifies both instances. */
static void set_link(struct simulation *simulation, uint32_t a, uint32_t b,
		     bool up)
{
	struct fake_link *link = link_of(simulation, a, b);
	enum rj_event_kind kind = up ? RJ_EVENT_PEER_UP : RJ_EVENT_PEER_DOWN;

	if (link->up == up)
		return;
	link->up = up;
	link->up_us = simulation->now_us;
	link->epoch++;
	notify_link_change(simulation, &simulation->nodes[a], 1000, kind,
			   simulation->nodes[b].name);
	notify_link_change(simulation, &simulation->nodes[b], 1000, kind,
			   simulation->nodes[a].name);
}

static void detect_cut(struct simulation *simulation,
		       struct simulation_event *event)
{
	struct fake_link *link =
		link_of(simulation, event->index, event->other);

	if (link->epoch == event->epoch &&
	    !is_connected(simulation, event->index, event->other))
		set_link(simulation, event->index, event->other, false);
}

/* Brings up wanted links and schedules the detection of cut ones. */
static void maintain_links(struct simulation *simulation,
			   struct simulation_event *event)
{
	for (uint32_t a = 0; a < simulation->node_count; a++) {
		for (uint32_t b = a + 1; b < simulation->node_count; b++) {
			struct fake_link *link = &simulation->links[a][b];
			bool both = simulation->nodes[a].engine &&
				    simulation->nodes[b].engine;
			bool awake = both && !simulation->nodes[a].paused &&
				     !simulation->nodes[b].paused;

			if (!link->up && link->wanted && awake &&
			    is_connected(simulation, a, b))
				set_link(simulation, a, b, true);
			else if (link->up && !is_connected(simulation, a, b)) {
				struct simulation_event *cut =
					simulation_schedule(simulation,
							    CUT_DETECTION_US,
							    detect_cut);

				cut->index = a;
				cut->other = b;
				cut->epoch = link->epoch;
			}
		}
	}
	(void)simulation_schedule(simulation, CONNECT_PERIOD_US,
				  maintain_links);
}

/*
 * Starts link maintenance. All links are down at first.
 */
void fake_peers_init(struct simulation *simulation)
{
	(void)simulation_schedule(simulation, CONNECT_PERIOD_US,
				  maintain_links);
}

/*
 * Connects an instance to a peer and keeps the link up.
 */
void fake_peers_connect(struct simulation *simulation, struct node *node,
			const char *name)
{
	struct node *peer = node_find(simulation, name);

	if (peer && peer != node)
		link_of(simulation, node->index, peer->index)->wanted = true;
}

/*
 * Closes the link between an instance and a peer.
 */
void fake_peers_drop(struct simulation *simulation, struct node *node,
		     const char *name)
{
	struct node *peer = node_find(simulation, name);

	if (!peer)
		return;
	link_of(simulation, node->index, peer->index)->wanted = false;
	set_link(simulation, node->index, peer->index, false);
}

static void message_arrives(struct simulation *simulation,
			    struct simulation_event *event)
{
	struct node *to = &simulation->nodes[event->other];
	const struct fake_link *link =
		link_of(simulation, event->index, event->other);
	struct rj_event *received;

	if (link->epoch != event->epoch || !to->engine ||
	    !is_connected(simulation, event->index, event->other))
		return;
	received = node_event(simulation, RJ_EVENT_PEER_MESSAGE);
	(void)rj_name_set(received->u.peer.name,
			  simulation->nodes[event->index].name);
	received->u.peer.message = talloc_steal(received, event->data);
	if (received->u.peer.message->kind == RJ_PEER_LEAVING) {
		const struct rj_peer_leaving *leaving =
			&received->u.peer.message->u.leaving;
		struct fake_worker *worker =
			fake_worker_find(simulation, leaving->worker);

		checker_leaving_known(&simulation->checker, simulation->now_us,
				      event->other, worker->index,
				      leaving->incarnation);
	}
	node_deliver_after(simulation, to, 0, received);
}

/*
 * Sends a message. A link delivers in order and loses the messages in transit
 * when it goes down.
 */
void fake_peers_send(struct simulation *simulation, struct node *node,
		     const char *name, const struct rj_peer_message *message)
{
	struct node *peer = node_find(simulation, name);
	struct fake_link *link;
	struct simulation_event *event;
	uint64_t at_us;
	uint64_t *last_us;

	if (message->kind == RJ_PEER_HEARTBEAT)
		checker_config_in_force(&simulation->checker,
					simulation->now_us, node->index,
					node->incarnation,
					message->u.heartbeat.config_revision);
	if (message->kind == RJ_PEER_CONFIG)
		checker_config_forwarded(
			&simulation->checker, simulation->now_us, node->index,
			message->u.config.revision, message->u.config.id);
	if (!peer || peer == node)
		return;
	link = link_of(simulation, node->index, peer->index);
	if (!link->up ||
	    simulation_chance(simulation, simulation->rates.peer_lost))
		return;
	last_us = &link->last_us[node->index < peer->index];
	at_us = simulation->now_us +
		simulation_delay_us(simulation, node->domain, peer->domain);
	if (simulation_chance(simulation, simulation->rates.peer_late))
		at_us += simulation_random(simulation, LATE_MAX_US);
	if (at_us < *last_us)
		at_us = *last_us;
	*last_us = at_us;
	event = simulation_schedule(simulation, at_us - simulation->now_us,
				    message_arrives);
	event->index = node->index;
	event->other = peer->index;
	event->epoch = link->epoch;
	event->data = copy_message(event, message);
}

/*
 * Takes down all links of an instance that has ended.
 */
void fake_peers_node_ended(struct simulation *simulation, struct node *node)
{
	for (uint32_t i = 0; i < simulation->node_count; i++) {
		if (i == node->index)
			continue;
		set_link(simulation, node->index, i, false);
		link_of(simulation, node->index, i)->last_us[0] = 0;
		link_of(simulation, node->index, i)->last_us[1] = 0;
	}
}

/*
 * Fills `contact_us` with the start of the uninterrupted contact of an instance
 * with each other one, RJ_NEVER_US where there is none. A pause of either side
 * interrupts the contact until the resumption.
 */
void fake_peers_contact(const struct simulation *simulation, uint32_t node,
			uint64_t contact_us[CHECKER_NODES_MAX])
{
	for (uint32_t i = 0; i < CHECKER_NODES_MAX; i++)
		contact_us[i] = RJ_NEVER_US;
	for (uint32_t i = 0; i < simulation->node_count; i++) {
		const struct fake_link *link =
			i < node ? &simulation->links[i][node] :
				   &simulation->links[node][i];

		if (i == node || !link->up ||
		    !is_connected(simulation, i, node) ||
		    simulation->nodes[i].paused)
			continue;
		contact_us[i] = MAX(link->up_us, link->healed_us);
		contact_us[i] =
			MAX(contact_us[i], simulation->nodes[i].resumed_us);
		contact_us[i] =
			MAX(contact_us[i], simulation->nodes[node].resumed_us);
	}
}

/*
 * Ends all partitions between instances and between failure domains.
 */
void fake_peers_heal(struct simulation *simulation)
{
	for (uint32_t a = 0; a < simulation->node_count; a++)
		for (uint32_t b = a + 1; b < simulation->node_count; b++)
			if (!is_connected(simulation, a, b))
				simulation->links[a][b].healed_us =
					simulation->now_us;
	memset(simulation->domain_cut, 0, sizeof(simulation->domain_cut));
	for (uint32_t a = 0; a < simulation->node_count; a++)
		for (uint32_t b = a + 1; b < simulation->node_count; b++)
			simulation->links[a][b].cut = false;
}
