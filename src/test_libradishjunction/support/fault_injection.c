#include "support/fault_injection.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Long enough for work to reach it after it should have been known. */
#define LEAVING_LASTS_US (10 * RJ_US_PER_S)

static void node_back(struct world *world, struct simulation_event *event)
{
	if (!world->nodes[event->index].engine)
		node_start(world, event->index);
}

static void node_back_after(struct world *world, uint32_t index,
			    uint64_t delay_us)
{
	simulation_schedule(world, delay_us, node_back)->index = index;
}

/*
 * Kill `count` instances from `first` on; each is replaced within 6 s.
 */
void fault_kill_nodes(struct world *world, uint32_t first, uint32_t count)
{
	for (uint32_t i = first; i < first + count; i++) {
		node_kill(world, i);
		node_back_after(world, i,
				simulation_random(world, 6 * RJ_US_PER_S));
	}
}

static void publish_race(struct world *world)
{
	uint32_t racers = 1 + (uint32_t)simulation_random(world, 2);
	uint64_t base = world->log.revision;

	if (simulation_random(world, 4) == 0) {
		simulation_trace(world, "a bad configuration is published");
		fake_log_publish(world, base, "bad", "{\"domains\":7}");
	}
	if (base && simulation_random(world, 4) == 0) {
		simulation_trace(world, "a configuration made from an old one");
		fake_log_publish(world, simulation_random(world, base), "stale",
				 simulation_config_text(world, world, 0));
	}
	for (uint32_t i = 0; i < racers; i++) {
		char id[RJ_CONFIG_ID_BYTES];
		const char *text;

		(void)snprintf(id, sizeof(id), "p%" PRIu64 "-%u", base, i);
		text = simulation_config_text(world, world, (uint32_t)base + i);
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
	simulation_trace(world, "fault %d at %s", kind, worker->name);
	switch (kind) {
	case FAULT_WORKER_KILL:
		fake_worker_kill(world, worker->index);
		break;
	case FAULT_WORKER_PAUSE:
		fake_worker_pause(world, worker->index, true);
		break;
	case FAULT_WORKER_UNREACHABLE:
		worker->silent = true;
		break;
	case FAULT_WORKER_FAILS:
		worker->fails_all = true;
		break;
	case FAULT_WORKER_REFUSES:
		worker->refuses = true;
		break;
	case FAULT_WORKER_SLOW:
		worker->slow_us = simulation_random(world, 3 * RJ_US_PER_S);
		break;
	default:
		worker->leaving = true;
		worker->reports_leaving = simulation_random(world, 2) == 0;
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

static void worker_back(struct world *world, struct simulation_event *event)
{
	mend_worker(world, &world->workers[event->index]);
}

static void node_goes_on(struct world *world, struct simulation_event *event)
{
	if (world->nodes[event->index].life == event->life)
		node_pause(world, event->index, false);
}

/*
 * The platform answers everybody again, and soon.
 */
void fault_restore_platform(struct world *world, struct simulation_event *event)
{
	simulation_trace(world, "the platform is in reach");
	world->log.down = false;
	world->log.slow_us = 0;
	world->log.list_lag_us = RJ_US_PER_S;
	memset(world->log.cut, 0, sizeof(world->log.cut));
	memset(world->log.cut_node, 0, sizeof(world->log.cut_node));
	simulation_reachability_changed(world);
}

/*
 * All links carry messages again.
 */
void fault_restore_links(struct world *world, struct simulation_event *event)
{
	simulation_trace(world, "links are whole");
	fake_peers_heal(world);
}

static void strike_node(struct world *world, enum fault_kind kind,
			uint32_t node, uint64_t lasts_us)
{
	struct simulation_event *event;
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
		event = simulation_schedule(world, lasts_us, node_goes_on);
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
void fault_inject_platform(struct world *world, enum fault_kind kind,
			   uint64_t lasts_us)
{
	simulation_trace(world, "fault %d at the platform", kind);
	if (kind == FAULT_OUTAGE)
		world->log.down = true;
	else if (kind == FAULT_SLOW_LOG)
		world->log.slow_us = simulation_random(world, 4 * RJ_US_PER_S);
	else if (kind == FAULT_LIST_LAG)
		world->log.list_lag_us =
			simulation_random(world, 15 * RJ_US_PER_S);
	else if (kind == FAULT_CUT_INSTANCE)
		world->log
			.cut_node[simulation_random(world, world->node_count)] =
			true;
	else
		world->log
			.cut[simulation_random(world, world->options.domains)] =
			true;
	simulation_reachability_changed(world);
	(void)simulation_schedule(world, lasts_us, fault_restore_platform);
}

/*
 * Cut a failure domain off from the others and from the platform at once.
 */
void fault_isolate_domain(struct world *world, uint32_t domain,
			  uint64_t lasts_us)
{
	simulation_trace(world, "domain %u is cut off", domain);
	world->domain_cut[domain] = true;
	world->log.cut[domain] = true;
	simulation_reachability_changed(world);
	(void)simulation_schedule(world, lasts_us, fault_restore_links);
	(void)simulation_schedule(world, lasts_us, fault_restore_platform);
}

/* No instance of the domain hears another one of it: each takes itself for
 * the owner of all racks. */
static void cut_within(struct world *world, uint32_t domain)
{
	uint32_t per_domain = world->options.nodes_per_domain;
	uint32_t first = domain * per_domain;

	simulation_trace(world, "links within domain %u are cut", domain);
	for (uint32_t a = first; a < first + per_domain; a++)
		for (uint32_t b = a + 1; b < first + per_domain; b++)
			world->links[a][b].cut = true;
}

/* The log drops all jobs' records that it holds, however young. */
static void trim(struct world *world)
{
	simulation_trace(world, "the log is trimmed before its time");
	world->log.oldest[RJ_STREAM_JOBS] =
		world->log.streams[RJ_STREAM_JOBS]->len;
}

/*
 * Bring about the fault of kind `event->other` somewhere, for up to
 * `event->life` beyond a second.
 */
void fault_inject(struct world *world, struct simulation_event *event)
{
	enum fault_kind kind = event->other;
	uint64_t lasts_us =
		RJ_US_PER_S + simulation_random(world, (uint64_t)event->life);
	uint32_t node = (uint32_t)simulation_random(world, world->node_count);
	uint32_t other = (uint32_t)simulation_random(world, world->node_count);
	uint32_t worker =
		(uint32_t)simulation_random(world, world->worker_count);

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
		fault_inject_platform(world, kind, lasts_us);
		break;
	case FAULT_CUT_DOMAIN:
		world->domain_cut[world->nodes[node].domain] = true;
		(void)simulation_schedule(world, lasts_us, fault_restore_links);
		break;
	case FAULT_CUT_LINK:
		if (node != other)
			world->links[node < other ? node : other]
				    [node < other ? other : node]
					    .cut = true;
		(void)simulation_schedule(world, lasts_us, fault_restore_links);
		break;
	case FAULT_PUBLISH:
		publish_race(world);
		break;
	case FAULT_ISOLATE_DOMAIN:
		fault_isolate_domain(world, world->nodes[node].domain,
				     lasts_us);
		break;
	case FAULT_CUT_WITHIN:
		cut_within(world, world->nodes[node].domain);
		(void)simulation_schedule(world, lasts_us, fault_restore_links);
		break;
	case FAULT_TRIM:
		trim(world);
		break;
	default:
		strike_worker(world, kind, &world->workers[worker]);
		if (kind == FAULT_LEAVING)
			lasts_us += LEAVING_LASTS_US;
		simulation_schedule(world, lasts_us, worker_back)->index =
			worker;
		break;
	}
}

/*
 * Stopped instances are replaced as soon as they have gone.
 */
void fault_replace_stopped(struct world *world, struct simulation_event *event)
{
	for (uint32_t i = 0; i < world->node_count; i++)
		if (world->nodes[i].stopping && !world->nodes[i].engine) {
			world->nodes[i].stopping = false;
			node_back_after(world, i,
					simulation_random(world, RJ_US_PER_S));
		}
	(void)simulation_schedule(world, RJ_US_PER_S / 2,
				  fault_replace_stopped);
}

/*
 * Every fault ends, and from now on time limits hold.
 */
void fault_recover_all(struct world *world, struct simulation_event *event)
{
	simulation_trace(world, "faults have ended");
	memset(&world->rates, 0, sizeof(world->rates));
	fault_restore_platform(world, event);
	fault_restore_links(world, event);
	for (uint32_t i = 0; i < world->node_count; i++) {
		node_pause(world, i, false);
		if (!world->nodes[i].engine)
			node_start(world, i);
	}
	for (uint32_t i = 0; i < world->worker_count; i++)
		mend_worker(world, &world->workers[i]);
	world->checker.calm_us = world->now_us;
}
