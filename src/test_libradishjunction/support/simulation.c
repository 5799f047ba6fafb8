#include "support/simulation.h"

#include <assert.h>
#include <inttypes.h>
#include <stdarg.h>
#include <string.h>
#include <talloc.h>

#include "support/transcript.h"

/* Interval of the periodic checks. */
#define TICK_US (250 * RJ_US_PER_MS)
/* More events than this at one instant mean that an engine keeps waking itself
 * without making progress. */
#define EVENTS_PER_INSTANT_MAX 1000

/* Orders events by time, then by creation. */
static gint queue_order(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct simulation_event *a = left;
	const struct simulation_event *b = right;

	if (a->at_us != b->at_us)
		return a->at_us < b->at_us ? -1 : 1;
	return a->order < b->order ? -1 : 1;
}

/*
 * Draws a number from 0 to `below` - 1 from the seed of the simulation.
 */
uint64_t simulation_random(struct simulation *simulation, uint64_t below)
{
	assert(below);
	return rj_random64(&simulation->random) % below;
}

/*
 * Returns whether a fault of this probability occurs now, and counts it if so.
 * Draws no number for a probability of 0.
 */
bool simulation_chance(struct simulation *simulation, uint32_t thousandths)
{
	if (!thousandths || simulation_random(simulation, 1000) >= thousandths)
		return false;
	simulation->faults++;
	return true;
}

/*
 * Draws the drift of a new clock. Draws no number without configured drift.
 */
int64_t simulation_drift_ppm(struct simulation *simulation)
{
	int64_t limit_ppm = simulation->options.drift_ppm;

	if (!limit_ppm)
		return 0;
	return (int64_t)simulation_random(simulation,
					  2 * (uint64_t)limit_ppm + 1) -
	       limit_ppm;
}

/*
 * Schedules `run` to be called `delay_us` from now with the returned event,
 * which is freed with its talloc children after the call.
 */
struct simulation_event *
simulation_schedule(struct simulation *simulation, uint64_t delay_us,
		    void (*run)(struct simulation *simulation,
				struct simulation_event *event))
{
	struct simulation_event *event =
		talloc_zero(simulation, struct simulation_event);

	assert(event);
	event->at_us = simulation->now_us + delay_us;
	event->order = simulation->next_order++;
	event->run = run;
	g_sequence_insert_sorted(simulation->queue, event, queue_order, NULL);
	return event;
}

/*
 * Writes a line about the simulation itself to the transcript, if there is one.
 */
void simulation_trace(struct simulation *simulation, const char *format, ...)
{
	va_list args;

	if (!simulation->options.transcript)
		return;
	(void)fprintf(simulation->options.transcript, "%" PRIu64 " world ",
		      simulation->now_us);
	va_start(args, format);
	(void)vfprintf(simulation->options.transcript, format, args);
	va_end(args);
	(void)fputc('\n', simulation->options.transcript);
}

/*
 * Returns whether traffic passes between two failure domains.
 */
bool simulation_domains_connected(const struct simulation *simulation,
				  uint32_t a, uint32_t b)
{
	return a == b ||
	       (!simulation->domain_cut[a] && !simulation->domain_cut[b]);
}

/*
 * Draws a one-way network delay: about 0.3 ms within a failure domain and about
 * 5 ms between two.
 */
uint64_t simulation_delay_us(struct simulation *simulation, uint32_t from,
			     uint32_t to)
{
	if (from == to)
		return 200 + simulation_random(simulation, 200);
	return 4500 + simulation_random(simulation, 1000);
}

/*
 * Formats the configuration of the simulation as JSON. `variation` only changes
 * how many gangs are guaranteed, on which no request depends.
 */
char *simulation_config_text(const struct simulation *simulation, void *mem,
			     uint32_t variation)
{
	char *domains = talloc_strdup(mem, "");
	char *guarantees = talloc_strdup(mem, "");
	char *accounts = talloc_strdup(mem, "");
	const char *const names[] = { SIMULATION_GUARANTEED_ACCOUNT,
				      SIMULATION_OTHER_ACCOUNT };

	for (uint32_t i = 0; i < simulation->options.domains; i++) {
		domains = talloc_asprintf_append(
			domains,
			"%s{\"name\":\"d%u\",\"region\":\"r\",\"racks\":%u,"
			"\"workers_per_rack\":%u,\"worker\":{\"slots\":8,"
			"\"accelerators\":8,\"cores\":64,\"memory_mb\":65536}}",
			i ? "," : "", i, simulation->options.racks_per_domain,
			simulation->options.workers_per_rack);
		guarantees = talloc_asprintf_append(
			guarantees,
			"%s{\"domain\":\"d%u\",\"tasks\":%u,\"adjacent\":true,"
			"\"slots\":1,\"accelerators\":4,\"cores\":1,"
			"\"memory_mb\":64,\"count\":%u}",
			i ? "," : "", i, SIMULATION_GUARANTEED_TASKS,
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
		simulation->options.key_life_s ?
			simulation->options.key_life_s :
			SIMULATION_KEY_LIFE_S);
}

/*
 * Creates an event for an instance as a talloc child of the simulation.
 */
struct rj_event *node_event(struct simulation *simulation,
			    enum rj_event_kind kind)
{
	struct rj_event *event = talloc_zero(simulation, struct rj_event);

	assert(event);
	event->kind = kind;
	return event;
}

static void node_exit(struct simulation *simulation, struct node *node)
{
	checker_exit(&simulation->checker, simulation->now_us, node->index);
	node_kill(simulation, node->index);
}

/* Executes an action by calling the fake of its target. */
static void execute_action(struct simulation *simulation, struct node *node,
			   const struct rj_action *action)
{
	switch (action->kind) {
	case RJ_ACTION_ANSWER:
		fake_caller_answer(simulation, node,
				   action->u.answer.request_id,
				   &action->u.answer.answer);
		break;
	case RJ_ACTION_APPEND:
		fake_log_append(simulation, node, &action->u.append);
		break;
	case RJ_ACTION_READ:
		fake_log_read(simulation, node, &action->u.read);
		break;
	case RJ_ACTION_LIST:
		fake_log_list(simulation, node);
		break;
	case RJ_ACTION_WORKER_CALL:
		fake_worker_call(simulation, node, &action->u.worker_call);
		break;
	case RJ_ACTION_PEER_CONNECT:
		fake_peers_connect(simulation, node, action->u.peer.name);
		break;
	case RJ_ACTION_PEER_DROP:
		fake_peers_drop(simulation, node, action->u.peer.name);
		break;
	case RJ_ACTION_PEER_SEND:
		fake_peers_send(simulation, node, action->u.peer.name,
				action->u.peer.message);
		break;
	default:
		break;
	}
}

static void on_timer(struct simulation *simulation,
		     struct simulation_event *event);

/* Returns an instance's clock at a time of the simulation. */
static uint64_t node_clock_us(const struct node *node, uint64_t at_us)
{
	int64_t gained_us = (int64_t)at_us * node->drift_ppm / SIMULATION_PPM;

	return at_us + node->clock_offset_us + (uint64_t)gained_us;
}

/* Returns the first simulation time at which an instance's clock shows `own_us`
 * or more. */
static uint64_t node_simulation_time_us(const struct node *node,
					uint64_t own_us)
{
	int64_t at_us = (int64_t)(own_us - node->clock_offset_us);

	at_us -= at_us * node->drift_ppm / SIMULATION_PPM;
	while (node_clock_us(node, (uint64_t)at_us) < own_us)
		at_us += (int64_t)(own_us -
				   node_clock_us(node, (uint64_t)at_us));
	return (uint64_t)at_us;
}

/* Schedules the instance's next wake-up, at once if it is overdue, unless one
 * is scheduled for that time or earlier. */
static void arm_timer(struct simulation *simulation, struct node *node)
{
	uint64_t wake_us = node->engine->ops->wake_us(node->engine);
	struct simulation_event *event;

	if (wake_us == RJ_NEVER_US)
		return;
	wake_us = node_simulation_time_us(node, wake_us);
	if ((int64_t)wake_us < (int64_t)simulation->now_us)
		wake_us = simulation->now_us;
	if (node->wake_us <= wake_us)
		return;
	node->wake_us = wake_us;
	event = simulation_schedule(simulation, wake_us - simulation->now_us,
				    on_timer);
	event->index = node->index;
	event->epoch = node->epoch;
}

/* Lets an instance process one event and executes the resulting actions. */
static void process_event(struct simulation *simulation, struct node *node,
			  struct rj_event *event)
{
	bool exits = false;

	event->now_us = node_clock_us(node, simulation->now_us);
	if (simulation->options.transcript && event->kind != RJ_EVENT_TIMER &&
	    !(simulation->options.brief && transcript_event_is_periodic(event)))
		transcript_event(simulation->options.transcript,
				 simulation->now_us, node->name, event);
	if (event->kind == RJ_EVENT_REQUEST)
		checker_request_delivered(&simulation->checker,
					  event->u.request.request_id);
	node->engine->ops->process(node->engine, event, &node->actions);
	for (uint32_t i = 0; i < node->actions.count; i++) {
		const struct rj_action *action = &node->actions.list[i];

		if (simulation->options.transcript &&
		    !(simulation->options.brief &&
		      transcript_action_is_periodic(action)))
			transcript_action(simulation->options.transcript,
					  simulation->now_us, node->name,
					  action);
		exits |= action->kind == RJ_ACTION_EXIT;
		execute_action(simulation, node, action);
	}
	rj_actions_clear(&node->actions);
	if (exits)
		node_exit(simulation, node);
	else
		arm_timer(simulation, node);
}

static void on_timer(struct simulation *simulation,
		     struct simulation_event *event)
{
	struct node *node = &simulation->nodes[event->index];
	struct rj_event timer = { .kind = RJ_EVENT_TIMER };

	if (node->epoch != event->epoch || node->wake_us != event->at_us)
		return;
	node->wake_us = RJ_NEVER_US;
	if (node->paused)
		return; /* armed again on resumption */
	process_event(simulation, node, &timer);
}

static void deliver(struct simulation *simulation,
		    struct simulation_event *event)
{
	struct node *node = &simulation->nodes[event->index];
	struct rj_event *received = talloc_steal(simulation, event->data);

	if (node->epoch != event->epoch) {
		talloc_free(received);
		return;
	}
	if (node->paused) {
		g_queue_push_tail(&node->deferred, received);
		return;
	}
	process_event(simulation, node, received);
	talloc_free(received);
}

/*
 * Delivers an event after `delay_us`, unless the instance has ended or
 * restarted by then. Takes ownership of the event.
 */
void node_deliver_after(struct simulation *simulation, struct node *node,
			uint64_t delay_us, struct rj_event *event)
{
	struct simulation_event *later =
		simulation_schedule(simulation, delay_us, deliver);

	later->index = node->index;
	later->epoch = node->epoch;
	later->data = talloc_steal(later, event);
}

/*
 * Tells the checker which instances run and reach the platform. Must be called
 * after every change.
 */
void simulation_reachability_changed(struct simulation *simulation)
{
	for (uint32_t i = 0; i < simulation->node_count; i++) {
		const struct node *node = &simulation->nodes[i];

		checker_node_platform(
			&simulation->checker, simulation->now_us, i,
			node->engine && !node->paused && !node->stopping &&
				fake_log_reachable(simulation, node));
	}
}

/*
 * Starts an instance, which has no state of an earlier run, with a new
 * incarnation.
 */
void node_start(struct simulation *simulation, uint32_t index)
{
	struct node *node = &simulation->nodes[index];
	struct rj_core_options options = {
		.seed = rj_random64(&simulation->random),
		.retention_us = simulation->log_retention_us
	};
	struct rj_instance peers[CHECKER_NODES_MAX];
	struct rj_event timer = { .kind = RJ_EVENT_TIMER };

	assert(!node->engine);
	memset(peers, 0, sizeof(peers));
	for (uint32_t i = 0; i < simulation->node_count; i++) {
		struct rj_instance *peer = &peers[options.peer_count];

		if (i == index)
			continue;
		options.peer_count++;
		(void)rj_name_set(peer->name, simulation->nodes[i].name);
		(void)snprintf(peer->domain, sizeof(peer->domain), "d%u",
			       simulation->nodes[i].domain);
		(void)g_strlcpy(peer->address.ip, "127.0.0.1", RJ_IP_BYTES);
		peer->address.port = (uint16_t)(1 + i);
	}
	node->epoch++;
	node->incarnation = (uint64_t)(index + 1) << 16 | node->epoch;
	node->clock_offset_us =
		RJ_US_PER_S + simulation_random(simulation, 1ULL << 40);
	node->drift_ppm = simulation_drift_ppm(simulation);
	node->wake_us = RJ_NEVER_US;
	node->stopping = false;
	node->paused = false;
	node->resumed_us = simulation->now_us;
	checker_node_resumed(&simulation->checker, simulation->now_us, index,
			     true);
	options.peers = peers;
	options.incarnation = node->incarnation;
	(void)rj_name_set(options.name, node->name);
	(void)snprintf(options.domain, sizeof(options.domain), "d%u",
		       node->domain);
	simulation_trace(simulation, "%s starts as %" PRIx64, node->name,
			 node->incarnation);
	node->engine = simulation->options.engine->create(simulation, &options);
	checker_node_platform(&simulation->checker, simulation->now_us, index,
			      fake_log_reachable(simulation, node));
	process_event(simulation, node, &timer);
}

/*
 * Ends an instance abruptly, closing its callers' connections and its links.
 */
void node_kill(struct simulation *simulation, uint32_t index)
{
	struct node *node = &simulation->nodes[index];
	struct rj_event *event;

	if (!node->engine)
		return;
	simulation_trace(simulation, "%s ends", node->name);
	node->epoch++;
	while ((event = g_queue_pop_head(&node->deferred)))
		talloc_free(event);
	TALLOC_FREE(node->engine);
	checker_node_platform(&simulation->checker, simulation->now_us, index,
			      false);
	checker_node_ended(&simulation->checker, index);
	fake_peers_node_ended(simulation, node);
	fake_caller_node_ended(simulation, node);
}

/*
 * Pauses or resumes an instance. Events that arrived during the pause are
 * delivered together on resumption.
 */
void node_pause(struct simulation *simulation, uint32_t index, bool paused)
{
	struct node *node = &simulation->nodes[index];
	struct rj_event *event;
	uint64_t epoch = node->epoch;

	if (!node->engine || node->paused == paused)
		return;
	simulation_trace(simulation, "%s %s", node->name,
			 paused ? "pauses" : "goes on");
	node->paused = paused;
	checker_node_platform(&simulation->checker, simulation->now_us, index,
			      !paused && fake_log_reachable(simulation, node));
	if (paused)
		return;
	node->resumed_us = simulation->now_us;
	checker_node_resumed(&simulation->checker, simulation->now_us, index,
			     false);
	while (node->epoch == epoch &&
	       (event = g_queue_pop_head(&node->deferred))) {
		process_event(simulation, node, event);
		talloc_free(event);
	}
	if (node->epoch == epoch && node->wake_us == RJ_NEVER_US)
		arm_timer(simulation, node);
}

/*
 * Requests a graceful stop of an instance.
 */
void node_stop(struct simulation *simulation, uint32_t index)
{
	struct node *node = &simulation->nodes[index];

	if (!node->engine)
		return;
	simulation_trace(simulation, "%s is asked to stop", node->name);
	node->stopping = true;
	checker_node_platform(&simulation->checker, simulation->now_us, index,
			      false);
	node_deliver_after(simulation, node, 0,
			   node_event(simulation, RJ_EVENT_STOP));
}

/* Returns the time since which an instance has been in contact with a peer that
 * reaches the platform, RJ_NEVER_US if there is none. */
static uint64_t peer_contact_us(const struct simulation *simulation,
				uint32_t index)
{
	const struct node *node = &simulation->nodes[index];
	uint64_t contact_us[CHECKER_NODES_MAX];
	uint64_t since_us = RJ_NEVER_US;

	if (!node->engine || node->paused || node->stopping)
		return RJ_NEVER_US;
	fake_peers_contact(simulation, index, contact_us);
	for (uint32_t i = 0; i < simulation->node_count; i++)
		since_us = MIN(
			since_us,
			MAX(contact_us[i],
			    simulation->checker.nodes[i].platform_since_us));
	return since_us;
}

/* Runs the periodic checks. Reschedules itself. */
static void check_tick(struct simulation *simulation,
		       struct simulation_event *event)
{
	for (uint32_t i = 0; i < simulation->node_count; i++)
		checker_node_peer(&simulation->checker, i,
				  peer_contact_us(simulation, i));
	checker_tick(&simulation->checker, simulation->now_us);
	(void)simulation_schedule(simulation, TICK_US, check_tick);
}

static void trace_violation(void *data, const char *text)
{
	struct simulation *simulation = data;

	if (simulation->options.transcript)
		(void)fprintf(simulation->options.transcript, "%s\n", text);
}

static int release(struct simulation *simulation)
{
	for (uint32_t i = 0; i < simulation->node_count; i++) {
		struct rj_event *event;

		while ((event = g_queue_pop_head(
				&simulation->nodes[i].deferred)))
			talloc_free(event);
		TALLOC_FREE(simulation->nodes[i].engine);
		rj_actions_finish(&simulation->nodes[i].actions);
	}
	for (uint32_t i = 0; i < simulation->worker_count; i++)
		fake_worker_finish(simulation, i);
	fake_log_finish(simulation);
	g_sequence_free(simulation->queue);
	g_ptr_array_unref(simulation->callers);
	return 0;
}

static void init_nodes(struct simulation *simulation)
{
	const struct simulation_options *options = &simulation->options;

	simulation->node_count = options->domains * options->nodes_per_domain;
	assert(simulation->node_count <= CHECKER_NODES_MAX);
	for (uint32_t i = 0; i < simulation->node_count; i++) {
		struct node *node = &simulation->nodes[i];

		node->index = i;
		node->domain = i / options->nodes_per_domain;
		simulation->checker.nodes[i].domain = node->domain;
		(void)snprintf(node->name, sizeof(node->name), "d%u-n%u",
			       node->domain, i % options->nodes_per_domain);
		g_queue_init(&node->deferred);
		rj_actions_init(&node->actions, simulation);
	}
}

static void init_workers(struct simulation *simulation)
{
	const struct simulation_options *options = &simulation->options;
	uint32_t per_domain =
		options->racks_per_domain * options->workers_per_rack;

	simulation->worker_count = options->domains * per_domain;
	assert(simulation->worker_count <= CHECKER_WORKERS_MAX);
	for (uint32_t i = 0; i < simulation->worker_count; i++) {
		struct fake_worker *worker = &simulation->workers[i];

		worker->index = i;
		worker->domain = i / per_domain;
		worker->rack = i % per_domain / options->workers_per_rack;
		(void)snprintf(worker->name, sizeof(worker->name), "d%u-w%u",
			       worker->domain, i % per_domain);
		fake_worker_init(simulation, i);
	}
}

/*
 * Creates a simulation and starts its instances one after another, each up to
 * 100 ms after the previous one. The first configuration is in the log from the
 * start.
 */
struct simulation *simulation_create(void *mem,
				     const struct simulation_options *options)
{
	struct simulation *simulation = talloc_zero(mem, struct simulation);

	assert(simulation && options->domains <= SIMULATION_DOMAINS_MAX);
	simulation->options = *options;
	simulation->random = options->seed;
	simulation->next_request = 1;
	simulation->next_key = 1;
	simulation->queue = g_sequence_new(NULL);
	simulation->callers = g_ptr_array_new();
	simulation->log_retention_us = options->retention_us ?
					       options->retention_us :
					       SIMULATION_RETENTION_US;
	checker_init(&simulation->checker, simulation);
	simulation->checker.lease_life_us = 3 * RJ_US_PER_S;
	simulation->checker.report = trace_violation;
	simulation->checker.report_data = simulation;
	talloc_set_destructor(simulation, release);
	init_nodes(simulation);
	init_workers(simulation);
	fake_log_init(simulation);
	fake_peers_init(simulation);
	fake_log_publish(simulation, 0, "first",
			 simulation_config_text(simulation, simulation, 0));
	for (uint32_t i = 0; i < simulation->node_count; i++) {
		simulation->now_us +=
			simulation_random(simulation, 100 * RJ_US_PER_MS);
		node_start(simulation, i);
	}
	(void)simulation_schedule(simulation, TICK_US, check_tick);
	return simulation;
}

/*
 * Advances the virtual clock to `until_us`, running all due events in order.
 */
void simulation_run_until(struct simulation *simulation, uint64_t until_us)
{
	uint32_t events_at_instant = 0;

	for (;;) {
		GSequenceIter *first =
			g_sequence_get_begin_iter(simulation->queue);
		struct simulation_event *event;

		if (g_sequence_iter_is_end(first))
			break;
		event = g_sequence_get(first);
		if (event->at_us > until_us)
			break;
		g_sequence_remove(first);
		events_at_instant = event->at_us == simulation->now_us ?
					    events_at_instant + 1 :
					    0;
		if (events_at_instant > EVENTS_PER_INSTANT_MAX)
			g_error("simulation time does not advance at %" PRIu64,
				simulation->now_us);
		if (event->at_us > simulation->now_us)
			simulation->now_us = event->at_us;
		event->run(simulation, event);
		talloc_free(event);
	}
	if (until_us > simulation->now_us)
		simulation->now_us = until_us;
}
