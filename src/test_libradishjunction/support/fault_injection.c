#include "support/fault_injection.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Extra duration of FAULT_LEAVING, so that jobs sent after the time limit of
 * the notification still reach the leaving worker, and count as violations. */
#define LEAVING_DURATION_US (10 * RJ_US_PER_S)

static void restart_node(struct simulation *simulation,
			 struct simulation_event *event)
{
	if (!simulation->nodes[event->index].engine)
		node_start(simulation, event->index);
}

static void restart_node_after(struct simulation *simulation, uint32_t index,
			       uint64_t delay_us)
{
	simulation_schedule(simulation, delay_us, restart_node)->index = index;
}

/*
 * Kills `count` instances from index `first` on and restarts each within 6 s.
 */
void fault_kill_nodes(struct simulation *simulation, uint32_t first,
		      uint32_t count)
{
	for (uint32_t i = first; i < first + count; i++) {
		node_kill(simulation, i);
		restart_node_after(
			simulation, i,
			simulation_random(simulation, 6 * RJ_US_PER_S));
	}
}

/* Publishes one or two configurations based on the same revision. Before them,
 * an invalid one and one based on an old revision are sometimes published. */
static void publish_concurrently(struct simulation *simulation)
{
	uint32_t publications = 1 + (uint32_t)simulation_random(simulation, 2);
	uint64_t base = simulation->log.revision;

	if (simulation_random(simulation, 4) == 0) {
		simulation_trace(simulation,
				 "a bad configuration is published");
		fake_log_publish(simulation, base, "bad", "{\"domains\":7}");
	}
	if (base && simulation_random(simulation, 4) == 0) {
		simulation_trace(simulation,
				 "a configuration made from an old one");
		fake_log_publish(
			simulation, simulation_random(simulation, base),
			"stale",
			simulation_config_text(simulation, simulation, 0));
	}
	for (uint32_t i = 0; i < publications; i++) {
		char id[RJ_CONFIG_ID_BYTES];
		const char *text;

		(void)snprintf(id, sizeof(id), "p%" PRIu64 "-%u", base, i);
		text = simulation_config_text(simulation, simulation,
					      (uint32_t)base + i);
		/* Two thirds are changes, so that these compete with complete
		 * configurations and follow them. */
		if (base && (base + i) % 3)
			fake_log_publish_change(simulation, base, id, text);
		else
			fake_log_publish(simulation, base, id, text);
	}
}

static void inject_worker_fault(struct simulation *simulation,
				enum fault_kind kind,
				struct fake_worker *worker)
{
	simulation_trace(simulation, "fault %d at %s", kind, worker->name);
	switch (kind) {
	case FAULT_WORKER_KILL:
		fake_worker_kill(simulation, worker->index);
		break;
	case FAULT_WORKER_PAUSE:
		fake_worker_pause(simulation, worker->index, true);
		break;
	case FAULT_WORKER_UNREACHABLE:
		worker->unreachable = true;
		break;
	case FAULT_WORKER_FAILS:
		worker->fails_all = true;
		break;
	case FAULT_WORKER_REFUSES:
		worker->refuses = true;
		break;
	case FAULT_WORKER_SLOW:
		worker->slow_us =
			simulation_random(simulation, 3 * RJ_US_PER_S);
		break;
	default:
		worker->leaving = true;
		worker->reports_leaving = simulation_random(simulation, 2) == 0;
		break;
	}
}

/* Ends all faults of a worker, restarting it if it is down or leaving. */
static void recover_worker(struct simulation *simulation,
			   struct fake_worker *worker)
{
	if (worker->down || worker->leaving)
		fake_worker_restart(simulation, worker->index);
	fake_worker_pause(simulation, worker->index, false);
	worker->unreachable = false;
	worker->fails_all = false;
	worker->refuses = false;
	worker->slow_us = 0;
}

static void restore_worker(struct simulation *simulation,
			   struct simulation_event *event)
{
	recover_worker(simulation, &simulation->workers[event->index]);
}

static void resume_node(struct simulation *simulation,
			struct simulation_event *event)
{
	if (simulation->nodes[event->index].epoch == event->epoch)
		node_pause(simulation, event->index, false);
}

/*
 * Ends all faults of the platform: every instance reaches it, without extra
 * delay.
 */
void fault_restore_platform(struct simulation *simulation,
			    struct simulation_event *event)
{
	simulation_trace(simulation, "the platform is in reach");
	simulation->log.down = false;
	simulation->log.slow_us = 0;
	simulation->log.list_lag_us = RJ_US_PER_S;
	memset(simulation->log.cut, 0, sizeof(simulation->log.cut));
	memset(simulation->log.cut_node, 0, sizeof(simulation->log.cut_node));
	simulation_reachability_changed(simulation);
}

/*
 * Ends all partitions between instances and between failure domains.
 */
void fault_restore_links(struct simulation *simulation,
			 struct simulation_event *event)
{
	simulation_trace(simulation, "links are whole");
	fake_peers_heal(simulation);
}

static void inject_node_fault(struct simulation *simulation,
			      enum fault_kind kind, uint32_t node,
			      uint64_t duration_us)
{
	struct simulation_event *event;
	uint32_t per_domain = simulation->options.nodes_per_domain;

	switch (kind) {
	case FAULT_KILL:
		fault_kill_nodes(simulation, node, 1);
		break;
	case FAULT_KILL_DOMAIN:
		fault_kill_nodes(simulation, node / per_domain * per_domain,
				 per_domain);
		break;
	case FAULT_PAUSE:
		node_pause(simulation, node, true);
		event = simulation_schedule(simulation, duration_us,
					    resume_node);
		event->index = node;
		event->epoch = simulation->nodes[node].epoch;
		break;
	default:
		node_stop(simulation, node);
		break;
	}
}

/*
 * Injects a fault of the platform for `duration_us`.
 */
void fault_inject_platform(struct simulation *simulation, enum fault_kind kind,
			   uint64_t duration_us)
{
	simulation_trace(simulation, "fault %d at the platform", kind);
	if (kind == FAULT_OUTAGE)
		simulation->log.down = true;
	else if (kind == FAULT_SLOW_LOG)
		simulation->log.slow_us =
			simulation_random(simulation, 4 * RJ_US_PER_S);
	else if (kind == FAULT_LIST_LAG)
		simulation->log.list_lag_us =
			simulation_random(simulation, 15 * RJ_US_PER_S);
	else if (kind == FAULT_CUT_INSTANCE)
		simulation->log.cut_node[simulation_random(
			simulation, simulation->node_count)] = true;
	else
		simulation->log.cut[simulation_random(
			simulation, simulation->options.domains)] = true;
	simulation_reachability_changed(simulation);
	(void)simulation_schedule(simulation, duration_us,
				  fault_restore_platform);
}

/*
 * Isolates a failure domain from the others and from the platform together, for
 * `duration_us`.
 */
void fault_isolate_domain(struct simulation *simulation, uint32_t domain,
			  uint64_t duration_us)
{
	simulation_trace(simulation, "domain %u is cut off", domain);
	simulation->domain_cut[domain] = true;
	simulation->log.cut[domain] = true;
	simulation_reachability_changed(simulation);
	(void)simulation_schedule(simulation, duration_us, fault_restore_links);
	(void)simulation_schedule(simulation, duration_us,
				  fault_restore_platform);
}

/* Cuts all links between instances of the domain, so that each of them
 * considers itself the owner of all racks. */
static void cut_links_within_domain(struct simulation *simulation,
				    uint32_t domain)
{
	uint32_t per_domain = simulation->options.nodes_per_domain;
	uint32_t first = domain * per_domain;

	simulation_trace(simulation, "links within domain %u are cut", domain);
	for (uint32_t a = first; a < first + per_domain; a++)
		for (uint32_t b = a + 1; b < first + per_domain; b++)
			simulation->links[a][b].cut = true;
}

/* Drops all records of the jobs stream before the end of their retention. */
static void trim_jobs_log(struct simulation *simulation)
{
	simulation_trace(simulation, "the log is trimmed before its time");
	simulation->log.oldest[RJ_STREAM_JOBS] =
		simulation->log.streams[RJ_STREAM_JOBS]->len;
}

/*
 * Injects a fault of kind `event->other` at a random target. It lasts 1 s plus
 * a random duration of less than `event->epoch` microseconds.
 */
void fault_inject(struct simulation *simulation, struct simulation_event *event)
{
	enum fault_kind kind = event->other;
	uint64_t duration_us =
		RJ_US_PER_S +
		simulation_random(simulation, (uint64_t)event->epoch);
	uint32_t node =
		(uint32_t)simulation_random(simulation, simulation->node_count);
	uint32_t other =
		(uint32_t)simulation_random(simulation, simulation->node_count);
	uint32_t worker = (uint32_t)simulation_random(simulation,
						      simulation->worker_count);

	simulation->faults++;
	switch (kind) {
	case FAULT_KILL:
	case FAULT_KILL_DOMAIN:
	case FAULT_PAUSE:
	case FAULT_STOP:
		inject_node_fault(simulation, kind, node, duration_us);
		break;
	case FAULT_OUTAGE:
	case FAULT_SLOW_LOG:
	case FAULT_LIST_LAG:
	case FAULT_CUT_PLATFORM:
	case FAULT_CUT_INSTANCE:
		fault_inject_platform(simulation, kind, duration_us);
		break;
	case FAULT_CUT_DOMAIN:
		simulation->domain_cut[simulation->nodes[node].domain] = true;
		(void)simulation_schedule(simulation, duration_us,
					  fault_restore_links);
		break;
	case FAULT_CUT_LINK:
		if (node != other)
			simulation
				->links[node < other ? node : other]
				       [node < other ? other : node]
				.cut = true;
		(void)simulation_schedule(simulation, duration_us,
					  fault_restore_links);
		break;
	case FAULT_PUBLISH:
		publish_concurrently(simulation);
		break;
	case FAULT_ISOLATE_DOMAIN:
		fault_isolate_domain(simulation, simulation->nodes[node].domain,
				     duration_us);
		break;
	case FAULT_CUT_WITHIN:
		cut_links_within_domain(simulation,
					simulation->nodes[node].domain);
		(void)simulation_schedule(simulation, duration_us,
					  fault_restore_links);
		break;
	case FAULT_TRIM:
		trim_jobs_log(simulation);
		break;
	default:
		inject_worker_fault(simulation, kind,
				    &simulation->workers[worker]);
		if (kind == FAULT_LEAVING)
			duration_us += LEAVING_DURATION_US;
		simulation_schedule(simulation, duration_us, restore_worker)
			->index = worker;
		break;
	}
}

/*
 * Replaces gracefully stopped instances after their exit. Reschedules itself.
 */
void fault_replace_stopped(struct simulation *simulation,
			   struct simulation_event *event)
{
	for (uint32_t i = 0; i < simulation->node_count; i++)
		if (simulation->nodes[i].stopping &&
		    !simulation->nodes[i].engine) {
			simulation->nodes[i].stopping = false;
			restart_node_after(
				simulation, i,
				simulation_random(simulation, RJ_US_PER_S));
		}
	(void)simulation_schedule(simulation, RJ_US_PER_S / 2,
				  fault_replace_stopped);
}

/*
 * Ends every fault. From now on the checker applies its time limits.
 */
void fault_recover_all(struct simulation *simulation,
		       struct simulation_event *event)
{
	simulation_trace(simulation, "faults have ended");
	memset(&simulation->rates, 0, sizeof(simulation->rates));
	fault_restore_platform(simulation, event);
	fault_restore_links(simulation, event);
	for (uint32_t i = 0; i < simulation->node_count; i++) {
		node_pause(simulation, i, false);
		if (!simulation->nodes[i].engine)
			node_start(simulation, i);
	}
	for (uint32_t i = 0; i < simulation->worker_count; i++)
		recover_worker(simulation, &simulation->workers[i]);
	simulation->checker.recovered_us = simulation->now_us;
}
