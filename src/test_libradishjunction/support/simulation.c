#include "support/simulation.h"

#include <assert.h>
#include <inttypes.h>
#include <stdarg.h>
#include <string.h>
#include <talloc.h>

#include "support/transcript.h"

#define TICK_US (250 * RJ_US_PER_MS)
/* Beyond this the same instant repeats: an engine wakes itself for ever. */
#define WAKES_AT_ONE_TIME_MAX 1000

static gint queue_order(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct world_event *a = left;
	const struct world_event *b = right;

	if (a->at_us != b->at_us)
		return a->at_us < b->at_us ? -1 : 1;
	return a->order < b->order ? -1 : 1;
}

/*
 * A number from 0 to `below` - 1 from the world's seed.
 */
uint64_t world_random(struct world *world, uint64_t below)
{
	assert(below);
	return rj_random64(&world->random) % below;
}

/*
 * Whether a fault of this probability strikes now. Counts those that do, and
 * draws no number for a fault that is switched off.
 */
bool world_chance(struct world *world, uint32_t thousandths)
{
	if (!thousandths || world_random(world, 1000) >= thousandths)
		return false;
	world->faults++;
	return true;
}

/*
 * How fast a clock that is made now runs; draws nothing without drift.
 */
int64_t world_drift_ppm(struct world *world)
{
	int64_t most = world->options.drift_ppm;

	if (!most)
		return 0;
	return (int64_t)world_random(world, 2 * (uint64_t)most + 1) - most;
}

/*
 * Have `run` called after `delay_us`. The event is freed when it has run;
 * what hangs on it goes with it.
 */
struct world_event *world_after(struct world *world, uint64_t delay_us,
				void (*run)(struct world *world,
					    struct world_event *event))
{
	struct world_event *event = talloc_zero(world, struct world_event);

	assert(event);
	event->at_us = world->now_us + delay_us;
	event->order = world->next_order++;
	event->run = run;
	g_sequence_insert_sorted(world->queue, event, queue_order, NULL);
	return event;
}

/*
 * Write a line of the world's own into the transcript.
 */
void world_note(struct world *world, const char *format, ...)
{
	va_list args;

	if (!world->options.transcript)
		return;
	(void)fprintf(world->options.transcript, "%" PRIu64 " world ",
		      world->now_us);
	va_start(args, format);
	(void)vfprintf(world->options.transcript, format, args);
	va_end(args);
	(void)fputc('\n', world->options.transcript);
}

/*
 * Whether traffic passes between two failure domains.
 */
bool world_domains_joined(const struct world *world, uint32_t a, uint32_t b)
{
	return a == b || (!world->domain_cut[a] && !world->domain_cut[b]);
}

/*
 * One way between two failure domains: about 0.3 ms within one and about 5
 * between two.
 */
uint64_t world_delay_us(struct world *world, uint32_t from, uint32_t to)
{
	if (from == to)
		return 200 + world_random(world, 200);
	return 4500 + world_random(world, 1000);
}

/*
 * The configuration that the world publishes, as JSON. `variation` changes
 * the guarantee and nothing that requests depend on.
 */
char *world_config_text(const struct world *world, void *mem,
			uint32_t variation)
{
	char *domains = talloc_strdup(mem, "");
	char *guarantees = talloc_strdup(mem, "");
	char *accounts = talloc_strdup(mem, "");
	const char *const names[] = { WORLD_GUARANTEED_ACCOUNT,
				      WORLD_OTHER_ACCOUNT };

	for (uint32_t i = 0; i < world->options.domains; i++) {
		domains = talloc_asprintf_append(
			domains,
			"%s{\"name\":\"d%u\",\"region\":\"r\",\"racks\":%u,"
			"\"workers_per_rack\":%u,\"worker\":{\"slots\":8,"
			"\"accelerators\":8,\"cores\":64,\"memory_mb\":65536}}",
			i ? "," : "", i, world->options.racks_per_domain,
			world->options.workers_per_rack);
		guarantees = talloc_asprintf_append(
			guarantees,
			"%s{\"domain\":\"d%u\",\"tasks\":%u,\"adjacent\":true,"
			"\"slots\":1,\"accelerators\":4,\"cores\":1,"
			"\"memory_mb\":64,\"count\":%u}",
			i ? "," : "", i, WORLD_GUARANTEED_TASKS,
			1 + variation % 2);
	}
	for (uint32_t i = 0; i < 2; i++) {
		uint8_t hash[RJ_TOKEN_HASH_BYTES];

		rj_token_hash(hash, names[i]);
		accounts = talloc_asprintf_append(
			accounts, "%s{\"name\":\"%s\",\"token_hash\":\"",
			i ? "," : "", names[i]);
		for (uint32_t j = 0; j < RJ_TOKEN_HASH_BYTES; j++)
			accounts = talloc_asprintf_append(accounts, "%02x",
							  hash[j]);
		accounts = talloc_asprintf_append(accounts,
						  "\",\"guarantees\":[%s]}",
						  i ? "" : guarantees);
	}
	return talloc_asprintf(
		mem,
		"{\"domains\":[%s],\"accounts\":[%s],\"classes\":["
		"{\"name\":\"preview\",\"idempotent\":true,"
		"\"expected_ms\":300},"
		"{\"name\":\"pack\",\"idempotent\":true,\"checkpoint\":true,"
		"\"priority\":\"urgent\",\"expected_ms\":2000},"
		"{\"name\":\"render\",\"idempotent\":true,\"checkpoint\":true,"
		"\"priority\":\"bulk\",\"expected_ms\":10000},"
		"{\"name\":\"quote\",\"idempotent\":false,"
		"\"expected_ms\":500}],"
		"\"limits\":{\"lease_life_ms\":3000,"
		"\"checkpoint_limit_ms\":2000,\"retry_percent\":100,"
		"\"key_life_s\":%u}}",
		domains, accounts,
		world->options.key_life_s ? world->options.key_life_s :
					    WORLD_KEY_LIFE_S);
}

/*
 * A new event for an instance, a talloc child of the world.
 */
struct rj_event *node_event(struct world *world, enum rj_event_kind kind)
{
	struct rj_event *event = talloc_zero(world, struct rj_event);

	assert(event);
	event->kind = kind;
	return event;
}

static void node_exit(struct world *world, struct node *node)
{
	checker_exit(&world->checker, world->now_us, node->index);
	node_kill(world, node->index);
}

static void carry_out(struct world *world, struct node *node,
		      const struct rj_action *action)
{
	switch (action->kind) {
	case RJ_ACTION_ANSWER:
		fake_caller_answer(world, node, action->u.answer.request_id,
				   &action->u.answer.answer);
		break;
	case RJ_ACTION_APPEND:
		fake_log_append(world, node, &action->u.append);
		break;
	case RJ_ACTION_READ:
		fake_log_read(world, node, &action->u.read);
		break;
	case RJ_ACTION_LIST:
		fake_log_list(world, node);
		break;
	case RJ_ACTION_WORKER_CALL:
		fake_worker_call(world, node, &action->u.worker_call);
		break;
	case RJ_ACTION_PEER_CONNECT:
		fake_peers_connect(world, node, action->u.peer.name);
		break;
	case RJ_ACTION_PEER_DROP:
		fake_peers_drop(world, node, action->u.peer.name);
		break;
	case RJ_ACTION_PEER_SEND:
		fake_peers_send(world, node, action->u.peer.name,
				action->u.peer.message);
		break;
	default:
		break;
	}
}

static void wake(struct world *world, struct world_event *event);

/* What an instance's clock says at a time of the world. */
static uint64_t node_clock_us(const struct node *node, uint64_t at_us)
{
	int64_t gained_us = (int64_t)at_us * node->drift_ppm / WORLD_PPM;

	return at_us + node->clock_offset_us + (uint64_t)gained_us;
}

/* The first time at which an instance's clock says `own_us` or more. */
static uint64_t node_when_us(const struct node *node, uint64_t own_us)
{
	int64_t at_us = (int64_t)(own_us - node->clock_offset_us);

	at_us -= at_us * node->drift_ppm / WORLD_PPM;
	while (node_clock_us(node, (uint64_t)at_us) < own_us)
		at_us += (int64_t)(own_us -
				   node_clock_us(node, (uint64_t)at_us));
	return (uint64_t)at_us;
}

/* Arm the instance's one timer, if it has to come earlier than the armed. */
static void arm(struct world *world, struct node *node)
{
	uint64_t wake_us = node->engine->ops->wake_us(node->engine);
	struct world_event *event;

	if (wake_us == RJ_NEVER_US)
		return;
	wake_us = node_when_us(node, wake_us);
	if ((int64_t)wake_us < (int64_t)world->now_us)
		wake_us = world->now_us;
	if (node->wake_us <= wake_us)
		return;
	node->wake_us = wake_us;
	event = world_after(world, wake_us - world->now_us, wake);
	event->index = node->index;
	event->life = node->life;
}

/* Let an instance process one event and carry out its actions. */
static void process(struct world *world, struct node *node,
		    struct rj_event *event)
{
	bool exits = false;

	event->now_us = node_clock_us(node, world->now_us);
	if (world->options.transcript && event->kind != RJ_EVENT_TIMER &&
	    !(world->options.brief && transcript_event_is_upkeep(event)))
		transcript_event(world->options.transcript, world->now_us,
				 node->name, event);
	if (event->kind == RJ_EVENT_REQUEST)
		checker_request_delivered(&world->checker,
					  event->u.request.request_id);
	node->engine->ops->process(node->engine, event, &node->actions);
	for (uint32_t i = 0; i < node->actions.count; i++) {
		const struct rj_action *action = &node->actions.list[i];

		if (world->options.transcript &&
		    !(world->options.brief &&
		      transcript_action_is_upkeep(action)))
			transcript_action(world->options.transcript,
					  world->now_us, node->name, action);
		exits |= action->kind == RJ_ACTION_EXIT;
		carry_out(world, node, action);
	}
	rj_actions_clear(&node->actions);
	if (exits)
		node_exit(world, node);
	else
		arm(world, node);
}

static void wake(struct world *world, struct world_event *event)
{
	struct node *node = &world->nodes[event->index];
	struct rj_event timer = { .kind = RJ_EVENT_TIMER };

	if (node->life != event->life || node->wake_us != event->at_us)
		return;
	node->wake_us = RJ_NEVER_US;
	if (node->paused)
		return; /* armed again when it goes on */
	process(world, node, &timer);
}

static void deliver(struct world *world, struct world_event *event)
{
	struct node *node = &world->nodes[event->index];
	struct rj_event *told = talloc_steal(world, event->data);

	if (node->life != event->life) {
		talloc_free(told);
		return;
	}
	if (node->paused) {
		g_queue_push_tail(&node->held, told);
		return;
	}
	process(world, node, told);
	talloc_free(told);
}

/*
 * Deliver an event to this life of an instance; the world owns it now.
 */
void node_deliver_after(struct world *world, struct node *node,
			uint64_t delay_us, struct rj_event *event)
{
	struct world_event *later = world_after(world, delay_us, deliver);

	later->index = node->index;
	later->life = node->life;
	later->data = talloc_steal(later, event);
}

/*
 * Tell the checker which instances reach the platform, after that changed.
 */
void world_reach_changed(struct world *world)
{
	for (uint32_t i = 0; i < world->node_count; i++) {
		const struct node *node = &world->nodes[i];

		checker_node_reach(&world->checker, world->now_us, i,
				   node->engine && !node->paused &&
					   !node->stopping &&
					   fake_log_reachable(world, node));
	}
}

/*
 * Start an instance, empty and with a new incarnation.
 */
void node_start(struct world *world, uint32_t index)
{
	struct node *node = &world->nodes[index];
	struct rj_core_options options = { .seed = rj_random64(&world->random),
					   .retention_us =
						   world->log_retention_us };
	struct rj_instance peers[CHECKER_NODES_MAX];
	struct rj_event timer = { .kind = RJ_EVENT_TIMER };

	assert(!node->engine);
	memset(peers, 0, sizeof(peers));
	for (uint32_t i = 0; i < world->node_count; i++) {
		struct rj_instance *peer = &peers[options.peer_count];

		if (i == index)
			continue;
		options.peer_count++;
		(void)rj_name_set(peer->name, world->nodes[i].name);
		(void)snprintf(peer->domain, sizeof(peer->domain), "d%u",
			       world->nodes[i].domain);
		(void)g_strlcpy(peer->address.ip, "127.0.0.1", RJ_IP_BYTES);
		peer->address.port = (uint16_t)(1 + i);
	}
	node->life++;
	node->incarnation = (uint64_t)(index + 1) << 16 | node->life;
	node->clock_offset_us = RJ_US_PER_S + world_random(world, 1ULL << 40);
	node->drift_ppm = world_drift_ppm(world);
	node->wake_us = RJ_NEVER_US;
	node->stopping = false;
	node->paused = false;
	node->resumed_us = world->now_us;
	checker_node_wakes(&world->checker, world->now_us, index, true);
	options.peers = peers;
	options.incarnation = node->incarnation;
	(void)rj_name_set(options.name, node->name);
	(void)snprintf(options.domain, sizeof(options.domain), "d%u",
		       node->domain);
	world_note(world, "%s starts as %" PRIx64, node->name,
		   node->incarnation);
	node->engine = world->options.engine->create(world, &options);
	checker_node_reach(&world->checker, world->now_us, index,
			   fake_log_reachable(world, node));
	process(world, node, &timer);
}

/*
 * End an instance without a word; its callers see their connections close.
 */
void node_kill(struct world *world, uint32_t index)
{
	struct node *node = &world->nodes[index];
	struct rj_event *event;

	if (!node->engine)
		return;
	world_note(world, "%s ends", node->name);
	node->life++;
	while ((event = g_queue_pop_head(&node->held)))
		talloc_free(event);
	TALLOC_FREE(node->engine);
	checker_node_reach(&world->checker, world->now_us, index, false);
	checker_node_gone(&world->checker, index);
	fake_peers_node_gone(world, node);
	fake_caller_node_gone(world, node);
}

/*
 * Freeze an instance, or let it go on: what came meanwhile reaches it then,
 * all at once.
 */
void node_pause(struct world *world, uint32_t index, bool paused)
{
	struct node *node = &world->nodes[index];
	struct rj_event *event;
	uint64_t life = node->life;

	if (!node->engine || node->paused == paused)
		return;
	world_note(world, "%s %s", node->name, paused ? "pauses" : "goes on");
	node->paused = paused;
	checker_node_reach(&world->checker, world->now_us, index,
			   !paused && fake_log_reachable(world, node));
	if (paused)
		return;
	node->resumed_us = world->now_us;
	checker_node_wakes(&world->checker, world->now_us, index, false);
	while (node->life == life && (event = g_queue_pop_head(&node->held))) {
		process(world, node, event);
		talloc_free(event);
	}
	if (node->life == life && node->wake_us == RJ_NEVER_US)
		arm(world, node);
}

/*
 * Ask an instance to stop gracefully.
 */
void node_stop(struct world *world, uint32_t index)
{
	struct node *node = &world->nodes[index];

	if (!node->engine)
		return;
	world_note(world, "%s is asked to stop", node->name);
	node->stopping = true;
	checker_node_reach(&world->checker, world->now_us, index, false);
	node_deliver_after(world, node, 0, node_event(world, RJ_EVENT_STOP));
}

/* Since when an instance hears a peer that reaches the platform: by the
 * longest of all ways. */
static uint64_t reached_by_peer_us(const struct world *world, uint32_t index)
{
	const struct node *node = &world->nodes[index];
	uint64_t heard_us[CHECKER_NODES_MAX];
	uint64_t since_us = RJ_NEVER_US;

	if (!node->engine || node->paused || node->stopping)
		return RJ_NEVER_US;
	fake_peers_heard(world, index, heard_us);
	for (uint32_t i = 0; i < world->node_count; i++)
		since_us =
			MIN(since_us, MAX(heard_us[i],
					  world->checker.nodes[i].reached_us));
	return since_us;
}

static void tick(struct world *world, struct world_event *event)
{
	for (uint32_t i = 0; i < world->node_count; i++)
		checker_node_peer(&world->checker, i,
				  reached_by_peer_us(world, i));
	checker_tick(&world->checker, world->now_us);
	(void)world_after(world, TICK_US, tick);
}

static void tell_violation(void *data, const char *text)
{
	struct world *world = data;

	if (world->options.transcript)
		(void)fprintf(world->options.transcript, "%s\n", text);
}

static int world_release(struct world *world)
{
	for (uint32_t i = 0; i < world->node_count; i++) {
		struct rj_event *event;

		while ((event = g_queue_pop_head(&world->nodes[i].held)))
			talloc_free(event);
		TALLOC_FREE(world->nodes[i].engine);
		rj_actions_finish(&world->nodes[i].actions);
	}
	for (uint32_t i = 0; i < world->worker_count; i++)
		fake_worker_finish(world, i);
	fake_log_finish(world);
	g_sequence_free(world->queue);
	g_ptr_array_unref(world->callers);
	return 0;
}

static void init_nodes(struct world *world)
{
	const struct world_options *options = &world->options;

	world->node_count = options->domains * options->nodes_per_domain;
	assert(world->node_count <= CHECKER_NODES_MAX);
	for (uint32_t i = 0; i < world->node_count; i++) {
		struct node *node = &world->nodes[i];

		node->index = i;
		node->domain = i / options->nodes_per_domain;
		world->checker.nodes[i].domain = node->domain;
		(void)snprintf(node->name, sizeof(node->name), "d%u-n%u",
			       node->domain, i % options->nodes_per_domain);
		g_queue_init(&node->held);
		rj_actions_init(&node->actions, world);
	}
}

static void init_workers(struct world *world)
{
	const struct world_options *options = &world->options;
	uint32_t per_domain =
		options->racks_per_domain * options->workers_per_rack;

	world->worker_count = options->domains * per_domain;
	assert(world->worker_count <= CHECKER_WORKERS_MAX);
	for (uint32_t i = 0; i < world->worker_count; i++) {
		struct fake_worker *worker = &world->workers[i];

		worker->index = i;
		worker->domain = i / per_domain;
		worker->rack = i % per_domain / options->workers_per_rack;
		(void)snprintf(worker->name, sizeof(worker->name), "d%u-w%u",
			       worker->domain, i % per_domain);
		fake_worker_init(world, i);
	}
}

/*
 * Make a world and start its instances, each at its own moment of the first
 * half second. The first configuration is in the log already.
 */
struct world *world_create(void *mem, const struct world_options *options)
{
	struct world *world = talloc_zero(mem, struct world);

	assert(world && options->domains <= WORLD_DOMAINS_MAX);
	world->options = *options;
	world->random = options->seed;
	world->next_request = 1;
	world->next_key = 1;
	world->queue = g_sequence_new(NULL);
	world->callers = g_ptr_array_new();
	world->log_retention_us = options->retention_us ?
					  options->retention_us :
					  WORLD_RETENTION_US;
	checker_init(&world->checker, world);
	world->checker.lease_life_us = 3 * RJ_US_PER_S;
	world->checker.tell = tell_violation;
	world->checker.tell_data = world;
	talloc_set_destructor(world, world_release);
	init_nodes(world);
	init_workers(world);
	fake_log_init(world);
	fake_peers_init(world);
	fake_log_publish(world, 0, "first", world_config_text(world, world, 0));
	for (uint32_t i = 0; i < world->node_count; i++) {
		world->now_us += world_random(world, 100 * RJ_US_PER_MS);
		node_start(world, i);
	}
	(void)world_after(world, TICK_US, tick);
	return world;
}

/*
 * Let time pass until `until_us`, running every event in its order.
 */
void world_run_until(struct world *world, uint64_t until_us)
{
	uint32_t at_one_time = 0;

	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(world->queue);
		struct world_event *event;

		if (g_sequence_iter_is_end(first))
			break;
		event = g_sequence_get(first);
		if (event->at_us > until_us)
			break;
		g_sequence_remove(first);
		at_one_time =
			event->at_us == world->now_us ? at_one_time + 1 : 0;
		if (at_one_time > WAKES_AT_ONE_TIME_MAX)
			g_error("the world stands still at %" PRIu64,
				world->now_us);
		if (event->at_us > world->now_us)
			world->now_us = event->at_us;
		event->run(world, event);
		talloc_free(event);
	}
	if (until_us > world->now_us)
		world->now_us = until_us;
}
