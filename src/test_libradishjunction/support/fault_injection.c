#include "support/fault_injection.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Long enough for work to reach it after it should have been known. */
#define LEAVING_LASTS_US (10 * RJ_US_PER_S)

static void node_back(struct world *world, struct world_event *event)
{
	if (!world->nodes[event->index].engine)
		node_start(world, event->index);
}

static void node_back_after(struct world *world, uint32_t index,
			    uint64_t delay_us)
{
	world_after(world, delay_us, node_back)->index = index;
}

/*
 * Kill `count` instances from `first` on; each is replaced within 6 s.
 */
void fault_kill_nodes(struct world *world, uint32_t first, uint32_t count)
{
	for (uint32_t i = first; i < first + count; i++) {
		node_kill(world, i);
		node_back_after(world, i, world_random(world, 6 * RJ_US_PER_S));
	}
}

static void publish_race(struct world *world)
{
	uint32_t racers = 1 + (uint32_t)world_random(world, 2);
	uint64_t base = world->log.revision;

	if (world_random(world, 4) == 0) {
		world_note(world, "a bad configuration is published");
		fake_log_publish(world, base, "bad", "{\"domains\":7}");
	}
	if (base && world_random(world, 4) == 0) {
		world_note(world, "a configuration made from an old one");
		fake_log_publish(world, world_random(world, base), "stale",
				 world_config_text(world, world, 0));
	}
	for (uint32_t i = 0; i < racers; i++) {
		char id[RJ_CONFIG_ID_BYTES];
		const char *text;

		(void)snprintf(id, sizeof(id), "p%" PRIu64 "-%u", base, i);
		text = world_config_text(world, world, (uint32_t)base + i);
		/* Changes race with whole configurations, and follow them. */
		if (base && (base + i) % 3)
			fake_log_publish_change(world, base, id, text);
		else
			fake_log_publish(world, base, id, text);
	}
}

static void strike_worker(struct world *world, enum fault_kind kind,
			  struct fake_worker *worker)
{
	world_note(world, "fault %d at %s", kind, worker->name);
	switch (kind) {
	case FAULT_WORKER_KILL:
		fake_worker_kill(world, worker->index);
		break;
	case FAULT_WORKER_PAUSE:
		fake_worker_pause(world, worker->index, true);
		break;
	case FAULT_WORKER_SILENT:
		worker->silent = true;
		break;
	case FAULT_WORKER_FAILS:
		worker->fails_all = true;
		break;
	case FAULT_WORKER_REFUSES:
		worker->refuses = true;
		break;
	case FAULT_WORKER_SLOW:
		worker->slow_us = world_random(world, 3 * RJ_US_PER_S);
		break;
	default:
		worker->leaving = true;
		worker->tells_leaving = world_random(world, 2) == 0;
		break;
	}
}

static void mend_worker(struct world *world, struct fake_worker *worker)
{
	if (worker->down || worker->leaving)
		fake_worker_restart(world, worker->index);
	fake_worker_pause(world, worker->index, false);
	worker->silent = false;
	worker->fails_all = false;
	worker->refuses = false;
	worker->slow_us = 0;
}

static void worker_back(struct world *world, struct world_event *event)
{
	mend_worker(world, &world->workers[event->index]);
}

static void node_goes_on(struct world *world, struct world_event *event)
{
	if (world->nodes[event->index].life == event->life)
		node_pause(world, event->index, false);
}

/*
 * The platform answers everybody again, and soon.
 */
void fault_platform_back(struct world *world, struct world_event *event)
{
	world_note(world, "the platform is in reach");
	world->log.down = false;
	world->log.slow_us = 0;
	world->log.list_lag_us = RJ_US_PER_S;
	memset(world->log.cut, 0, sizeof(world->log.cut));
	memset(world->log.cut_node, 0, sizeof(world->log.cut_node));
	world_reach_changed(world);
}

/*
 * All links carry messages again.
 */
void fault_links_back(struct world *world, struct world_event *event)
{
	world_note(world, "links are whole");
	fake_peers_mend(world);
}

static void strike_node(struct world *world, enum fault_kind kind,
			uint32_t node, uint64_t lasts_us)
{
	struct world_event *event;
	uint32_t per_domain = world->options.nodes_per_domain;

	switch (kind) {
	case FAULT_KILL:
		fault_kill_nodes(world, node, 1);
		break;
	case FAULT_KILL_DOMAIN:
		fault_kill_nodes(world, node / per_domain * per_domain,
				 per_domain);
		break;
	case FAULT_PAUSE:
		node_pause(world, node, true);
		event = world_after(world, lasts_us, node_goes_on);
		event->index = node;
		event->life = world->nodes[node].life;
		break;
	default:
		node_stop(world, node);
		break;
	}
}

/*
 * Bring about a fault of the platform for `lasts_us`.
 */
void fault_strike_platform(struct world *world, enum fault_kind kind,
			   uint64_t lasts_us)
{
	world_note(world, "fault %d at the platform", kind);
	if (kind == FAULT_OUTAGE)
		world->log.down = true;
	else if (kind == FAULT_SLOW_LOG)
		world->log.slow_us = world_random(world, 4 * RJ_US_PER_S);
	else if (kind == FAULT_LIST_LAG)
		world->log.list_lag_us = world_random(world, 15 * RJ_US_PER_S);
	else if (kind == FAULT_CUT_INSTANCE)
		world->log.cut_node[world_random(world, world->node_count)] =
			true;
	else
		world->log.cut[world_random(world, world->options.domains)] =
			true;
	world_reach_changed(world);
	(void)world_after(world, lasts_us, fault_platform_back);
}

/*
 * Cut a failure domain off from the others and from the platform at once.
 */
void fault_cut_alone(struct world *world, uint32_t domain, uint64_t lasts_us)
{
	world_note(world, "domain %u is cut off", domain);
	world->domain_cut[domain] = true;
	world->log.cut[domain] = true;
	world_reach_changed(world);
	(void)world_after(world, lasts_us, fault_links_back);
	(void)world_after(world, lasts_us, fault_platform_back);
}

/* No instance of the domain hears another one of it: each takes itself for
 * the owner of all racks. */
static void cut_within(struct world *world, uint32_t domain)
{
	uint32_t per_domain = world->options.nodes_per_domain;
	uint32_t first = domain * per_domain;

	world_note(world, "links within domain %u are cut", domain);
	for (uint32_t a = first; a < first + per_domain; a++)
		for (uint32_t b = a + 1; b < first + per_domain; b++)
			world->links[a][b].cut = true;
}

/* The log drops all jobs' records that it holds, however young. */
static void trim(struct world *world)
{
	world_note(world, "the log is trimmed before its time");
	world->log.oldest[RJ_STREAM_JOBS] =
		world->log.streams[RJ_STREAM_JOBS]->len;
}

/*
 * Bring about the fault of kind `event->other` somewhere, for up to
 * `event->life` beyond a second.
 */
void fault_strike(struct world *world, struct world_event *event)
{
	enum fault_kind kind = event->other;
	uint64_t lasts_us =
		RJ_US_PER_S + world_random(world, (uint64_t)event->life);
	uint32_t node = (uint32_t)world_random(world, world->node_count);
	uint32_t other = (uint32_t)world_random(world, world->node_count);
	uint32_t worker = (uint32_t)world_random(world, world->worker_count);

	world->faults++;
	switch (kind) {
	case FAULT_KILL:
	case FAULT_KILL_DOMAIN:
	case FAULT_PAUSE:
	case FAULT_STOP:
		strike_node(world, kind, node, lasts_us);
		break;
	case FAULT_OUTAGE:
	case FAULT_SLOW_LOG:
	case FAULT_LIST_LAG:
	case FAULT_CUT_PLATFORM:
	case FAULT_CUT_INSTANCE:
		fault_strike_platform(world, kind, lasts_us);
		break;
	case FAULT_CUT_DOMAIN:
		world->domain_cut[world->nodes[node].domain] = true;
		(void)world_after(world, lasts_us, fault_links_back);
		break;
	case FAULT_CUT_LINK:
		if (node != other)
			world->links[node < other ? node : other]
				    [node < other ? other : node]
					    .cut = true;
		(void)world_after(world, lasts_us, fault_links_back);
		break;
	case FAULT_PUBLISH:
		publish_race(world);
		break;
	case FAULT_CUT_ALONE:
		fault_cut_alone(world, world->nodes[node].domain, lasts_us);
		break;
	case FAULT_CUT_WITHIN:
		cut_within(world, world->nodes[node].domain);
		(void)world_after(world, lasts_us, fault_links_back);
		break;
	case FAULT_TRIM:
		trim(world);
		break;
	default:
		strike_worker(world, kind, &world->workers[worker]);
		if (kind == FAULT_LEAVING)
			lasts_us += LEAVING_LASTS_US;
		world_after(world, lasts_us, worker_back)->index = worker;
		break;
	}
}

/*
 * Stopped instances are replaced as soon as they have gone.
 */
void fault_replace_stopped(struct world *world, struct world_event *event)
{
	for (uint32_t i = 0; i < world->node_count; i++)
		if (world->nodes[i].stopping && !world->nodes[i].engine) {
			world->nodes[i].stopping = false;
			node_back_after(world, i,
					world_random(world, RJ_US_PER_S));
		}
	(void)world_after(world, RJ_US_PER_S / 2, fault_replace_stopped);
}

/*
 * Every fault ends, and from now on time limits hold.
 */
void fault_calm(struct world *world, struct world_event *event)
{
	world_note(world, "faults have ended");
	memset(&world->rates, 0, sizeof(world->rates));
	fault_platform_back(world, event);
	fault_links_back(world, event);
	for (uint32_t i = 0; i < world->node_count; i++) {
		node_pause(world, i, false);
		if (!world->nodes[i].engine)
			node_start(world, i);
	}
	for (uint32_t i = 0; i < world->worker_count; i++)
		mend_worker(world, &world->workers[i]);
	world->checker.calm_us = world->now_us;
}
