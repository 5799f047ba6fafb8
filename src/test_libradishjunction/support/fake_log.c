#include "support/simulation.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "support/copy.h"

#define ROUND_TRIP_US (3 * RJ_US_PER_MS)
/* Time after which a client without an answer reports a failure. */
#define TIMEOUT_US (2 * RJ_US_PER_S)
/* Longest delay after which an append still takes effect. */
#define LATE_MAX_US (8 * RJ_US_PER_S)
#define LIST_PERIOD_US (500 * RJ_US_PER_MS)
#define LIST_SNAPSHOTS 40
#define READ_RECORDS_MAX 100

struct stored {
	struct rj_record record;
	uint64_t at_us;
};

/* An append in transit. */
struct pending_append {
	struct rj_append append;
};

struct list_snapshot {
	uint64_t at_us;
	struct rj_instance list[CHECKER_NODES_MAX + CHECKER_WORKERS_MAX];
	uint32_t count;
};

/*
 * Returns whether an instance reaches the platform.
 */
bool fake_log_reachable(const struct simulation *simulation,
			const struct node *node)
{
	return !simulation->log.down && !simulation->log.cut[node->domain] &&
	       !simulation->log.cut_node[node->index];
}

static uint64_t round_trip_us(struct simulation *simulation)
{
	return ROUND_TRIP_US + simulation_random(simulation, ROUND_TRIP_US) +
	       simulation->log.slow_us;
}

/* Records the instance list for delayed delivery. Reschedules itself. */
static void record_snapshot(struct simulation *simulation,
			    struct simulation_event *event)
{
	struct list_snapshot *snapshot =
		talloc_zero(simulation, struct list_snapshot);

	assert(snapshot);
	snapshot->at_us = simulation->now_us;
	for (uint32_t i = 0; i < simulation->node_count; i++) {
		struct rj_instance *entry = &snapshot->list[snapshot->count];
		const struct node *node = &simulation->nodes[i];

		if (!node->engine)
			continue;
		snapshot->count++;
		memcpy(entry->name, node->name, sizeof(entry->name));
		entry->role = RJ_ROLE_ENTRY;
		(void)snprintf(entry->domain, sizeof(entry->domain), "d%u",
			       node->domain);
		(void)g_strlcpy(entry->address.ip, "127.0.0.1", RJ_IP_BYTES);
		entry->address.port = (uint16_t)(1 + i);
		entry->incarnation = node->incarnation;
		entry->leaving = node->stopping;
	}
	for (uint32_t i = 0; i < simulation->worker_count; i++) {
		struct rj_instance *entry = &snapshot->list[snapshot->count];
		const struct fake_worker *worker = &simulation->workers[i];

		if (worker->down)
			continue;
		snapshot->count++;
		memcpy(entry->name, worker->name, sizeof(entry->name));
		entry->role = RJ_ROLE_WORKER;
		(void)snprintf(entry->domain, sizeof(entry->domain), "d%u",
			       worker->domain);
		entry->rack = worker->rack;
		(void)g_strlcpy(entry->address.ip, "127.0.0.1", RJ_IP_BYTES);
		entry->address.port = (uint16_t)(1000 + i);
		entry->incarnation = worker->incarnation;
		entry->leaving = worker->leaving;
	}
	g_queue_push_tail(&simulation->log.lists, snapshot);
	if (g_queue_get_length(&simulation->log.lists) > LIST_SNAPSHOTS)
		talloc_free(g_queue_pop_head(&simulation->log.lists));
	(void)simulation_schedule(simulation, LIST_PERIOD_US, record_snapshot);
}

/*
 * Initialises the log with empty streams. The instance list lags by 1 s.
 */
void fake_log_init(struct simulation *simulation)
{
	struct fake_log *log = &simulation->log;

	for (uint32_t i = 0; i < RJ_STREAM_COUNT; i++) {
		log->streams[i] = g_ptr_array_new();
		log->readers[i] = g_queue_new();
	}
	g_queue_init(&log->lists);
	log->list_lag_us = RJ_US_PER_S;
	(void)simulation_schedule(simulation, 0, record_snapshot);
}

/*
 * Frees the GLib containers of the log.
 */
void fake_log_finish(struct simulation *simulation)
{
	for (uint32_t i = 0; i < RJ_STREAM_COUNT; i++) {
		g_ptr_array_unref(simulation->log.streams[i]);
		g_queue_free(simulation->log.readers[i]);
	}
	g_queue_clear(&simulation->log.lists);
}

/* Trims the records whose retention has ended. */
static void trim_expired(struct simulation *simulation, enum rj_stream stream)
{
	GPtrArray *records = simulation->log.streams[stream];

	while (simulation->log.oldest[stream] < records->len) {
		const struct stored *oldest =
			records->pdata[simulation->log.oldest[stream]];

		if (oldest->at_us + simulation->log_retention_us >
		    simulation->now_us)
			break;
		simulation->log.oldest[stream]++;
	}
}

/* Answers a read with the records from offset `from` on. */
static void answer_read(struct simulation *simulation, struct node *node,
			enum rj_stream stream, uint64_t from)
{
	GPtrArray *stored = simulation->log.streams[stream];
	struct rj_event *event = node_event(simulation, RJ_EVENT_RECORDS);
	struct rj_records *records = &event->u.records;

	trim_expired(simulation, stream);
	records->stream = stream;
	records->from = from;
	records->oldest = simulation->log.oldest[stream];
	records->head = stored->len;
	if (from < records->oldest)
		from = records->oldest;
	records->records =
		talloc_array(event, struct rj_record, READ_RECORDS_MAX);
	assert(records->records);
	while (from < stored->len && records->count < READ_RECORDS_MAX) {
		struct rj_record *record = &records->records[records->count++];
		const struct stored *one = stored->pdata[from];

		copy_record(event, record, &one->record);
		record->offset = from++;
		record->age_us = simulation->now_us - one->at_us;
	}
	records->next = from;
	node_deliver_after(simulation, node, round_trip_us(simulation) / 2,
			   event);
}

/* Reports a failed read after the client's timeout. */
static void fail_read(struct simulation *simulation, struct node *node,
		      enum rj_stream stream)
{
	struct rj_event *event = node_event(simulation, RJ_EVENT_READ_FAILED);

	event->u.stream = stream;
	node_deliver_after(simulation, node, TIMEOUT_US, event);
}

/* Ends all long polls of a stream. */
static void wake_readers(struct simulation *simulation, enum rj_stream stream)
{
	GQueue *readers = simulation->log.readers[stream];
	GQueue waiting = *readers;
	struct simulation_event *reader;

	g_queue_init(readers);
	while ((reader = g_queue_pop_head(&waiting))) {
		struct node *node = &simulation->nodes[reader->index];

		if (reader->run && node->epoch == reader->epoch) {
			if (fake_log_reachable(simulation, node))
				answer_read(simulation, node, stream,
					    reader->order);
			else
				fail_read(simulation, node, stream);
		}
		reader->run = NULL;
	}
}

/* Applies the acceptance rule of the config stream, so that the checker knows
 * which publications were accepted. */
static void replay_config(struct simulation *simulation,
			  const struct rj_record *record)
{
	const char *text = record->config_text;
	struct rj_error_list errors;
	struct rj_config *config;

	if (record->base_revision != simulation->log.revision)
		return;
	rj_error_list_init(&errors, simulation);
	if (!text)
		text = rj_config_change_apply(simulation,
					      simulation->log.config_text,
					      &record->config_change, &errors);
	config = text ? rj_config_parse(simulation, text, &errors) : NULL;
	rj_error_list_finish(&errors);
	if (!config)
		return;
	simulation->log.config_text = talloc_strdup(simulation, text);
	rj_config_unref(config);
	simulation->log.revision++;
	(void)snprintf(simulation->log.config_id, RJ_CONFIG_ID_BYTES, "%s",
		       record->config_id);
	simulation_trace(simulation, "revision %" PRIu64 " is accepted",
			 simulation->log.revision);
	checker_config_accepted(&simulation->checker, simulation->now_us,
				simulation->log.revision, record->config_id);
}

/* Stores copies of the records and ends the stream's long polls. Returns
 * the offset of the first record. */
static uint64_t store_records(struct simulation *simulation,
			      const struct rj_append *append)
{
	GPtrArray *records = simulation->log.streams[append->stream];
	uint64_t first = records->len;

	for (uint32_t i = 0; i < append->count; i++) {
		struct stored *stored = talloc_zero(simulation, struct stored);

		assert(stored);
		copy_record(stored, &stored->record, &append->records[i]);
		stored->at_us = simulation->now_us;
		g_ptr_array_add(records, stored);
		if (append->stream == RJ_STREAM_CONFIG &&
		    append->records[i].kind == RJ_RECORD_CONFIG &&
		    !append->records[i].carried)
			replay_config(simulation, &append->records[i]);
	}
	wake_readers(simulation, append->stream);
	return first;
}

static void store_late(struct simulation *simulation,
		       struct simulation_event *event)
{
	const struct pending_append *pending = event->data;

	simulation_trace(simulation, "a late append takes effect");
	(void)store_records(simulation, &pending->append);
}

/* Applies an append subject to the configured faults, and answers it. */
static void append_arrives(struct simulation *simulation,
			   struct simulation_event *event)
{
	struct pending_append *pending = event->data;
	struct node *node = &simulation->nodes[event->index];
	struct rj_event *reply = node_event(simulation, RJ_EVENT_APPENDED);
	struct rj_appended *appended = &reply->u.appended;
	uint64_t delay_us = round_trip_us(simulation) / 2;

	appended->append_id = pending->append.append_id;
	if (!fake_log_reachable(simulation, node)) {
		appended->status = RJ_APPEND_LOST;
		delay_us = TIMEOUT_US;
	} else if (simulation_chance(simulation,
				     simulation->rates.append_refused)) {
		appended->status = RJ_APPEND_REFUSED;
	} else if (simulation_chance(simulation,
				     simulation->rates.append_late)) {
		struct simulation_event *late = simulation_schedule(
			simulation, simulation_random(simulation, LATE_MAX_US),
			store_late);

		late->data = talloc_steal(late, pending);
		appended->status = RJ_APPEND_LOST;
		delay_us = TIMEOUT_US;
	} else {
		appended->first_offset =
			store_records(simulation, &pending->append);
		if (simulation_chance(simulation,
				      simulation->rates.append_answer_lost)) {
			appended->status = RJ_APPEND_LOST;
			delay_us = TIMEOUT_US;
		}
	}
	/* An append outlives the instance that sent it; its answer does not. */
	if (node->epoch == event->epoch)
		node_deliver_after(simulation, node, delay_us, reply);
	else
		talloc_free(reply);
}

/*
 * Appends all records, or none, as an instance does.
 */
void fake_log_append(struct simulation *simulation, struct node *node,
		     const struct rj_append *append)
{
	struct simulation_event *event = simulation_schedule(
		simulation, round_trip_us(simulation) / 2, append_arrives);
	struct pending_append *pending =
		talloc_zero(event, struct pending_append);

	assert(pending);
	pending->append = *append;
	pending->append.records =
		talloc_array(pending, struct rj_record, append->count);
	for (uint32_t i = 0; i < append->count; i++)
		copy_record(pending, &pending->append.records[i],
			    &append->records[i]);
	event->index = node->index;
	event->epoch = node->epoch;
	event->data = pending;
}

static void poll_expired(struct simulation *simulation,
			 struct simulation_event *event)
{
	struct node *node = &simulation->nodes[event->index];
	struct simulation_event *reader = event->data;

	if (!reader->run || node->epoch != event->epoch)
		return;
	reader->run = NULL;
	if (fake_log_reachable(simulation, node))
		answer_read(simulation, node, event->other, reader->order);
	else
		fail_read(simulation, node, event->other);
}

/* Answers a read, or starts a long poll. */
static void read_arrives(struct simulation *simulation,
			 struct simulation_event *event)
{
	struct node *node = &simulation->nodes[event->index];
	const struct rj_read *read = event->data;
	struct simulation_event *reader;
	struct simulation_event *expiry;

	if (node->epoch != event->epoch)
		return;
	if (!fake_log_reachable(simulation, node) ||
	    simulation_chance(simulation, simulation->rates.read_failed)) {
		fail_read(simulation, node, read->stream);
		return;
	}
	if (read->from < simulation->log.streams[read->stream]->len ||
	    !read->wait_us) {
		answer_read(simulation, node, read->stream, read->from);
		return;
	}
	/* A long poll: `order` is the offset, `run` is set while it waits. */
	reader = talloc_zero(simulation, struct simulation_event);
	assert(reader);
	reader->index = event->index;
	reader->epoch = event->epoch;
	reader->order = read->from;
	reader->run = poll_expired;
	g_queue_push_tail(simulation->log.readers[read->stream], reader);
	expiry = simulation_schedule(simulation, read->wait_us, poll_expired);
	expiry->index = event->index;
	expiry->other = read->stream;
	expiry->epoch = event->epoch;
	expiry->data = reader;
}

/*
 * Reads a stream as an instance does, as a long poll if there is no new record.
 */
void fake_log_read(struct simulation *simulation, struct node *node,
		   const struct rj_read *read)
{
	struct simulation_event *event = simulation_schedule(
		simulation, round_trip_us(simulation) / 2, read_arrives);

	event->index = node->index;
	event->epoch = node->epoch;
	event->data = talloc_memdup(event, read, sizeof(*read));
}

/*
 * Sends an instance the list of instances and workers, delayed by the lag of
 * the list. Sends nothing while the platform is unavailable.
 */
void fake_log_list(struct simulation *simulation, struct node *node)
{
	const struct list_snapshot *shown = NULL;
	struct rj_event *event;

	if (!fake_log_reachable(simulation, node))
		return;
	for (GList *at = simulation->log.lists.head; at; at = at->next) {
		const struct list_snapshot *snapshot = at->data;

		if (shown && snapshot->at_us + simulation->log.list_lag_us >
				     simulation->now_us)
			break;
		shown = snapshot;
	}
	if (!shown)
		return;
	event = node_event(simulation, RJ_EVENT_INSTANCES);
	event->u.instances.list = talloc_memdup(
		event, shown->list, shown->count * sizeof(shown->list[0]));
	event->u.instances.count = shown->count;
	for (uint32_t i = 0; i < shown->count; i++) {
		const struct rj_instance *entry = &shown->list[i];

		if (entry->role == RJ_ROLE_WORKER && entry->leaving)
			checker_leaving_known(
				&simulation->checker, simulation->now_us,
				node->index,
				fake_worker_find(simulation, entry->name)
					->index,
				entry->incarnation);
	}
	node_deliver_after(simulation, node, round_trip_us(simulation), event);
}

/* Appends an operator's publication. `record` has the content already. */
static void publish(struct simulation *simulation, uint64_t base,
		    const char *id, struct rj_record *record)
{
	struct rj_append append = { .stream = RJ_STREAM_CONFIG,
				    .records = record,
				    .count = 1 };

	record->kind = RJ_RECORD_CONFIG;
	record->base_revision = base;
	record->revision = base + 1;
	(void)snprintf(record->config_id, sizeof(record->config_id), "%s", id);
	(void)rj_name_set(record->author, "operator");
	(void)store_records(simulation, &append);
}

/*
 * Publishes a complete configuration as an operator does, without faults in
 * transit.
 */
void fake_log_publish(struct simulation *simulation, uint64_t base,
		      const char *id, const char *text)
{
	struct rj_record record = { .config_text = text };

	publish(simulation, base, id, &record);
}

/*
 * Publishes the change from the newest accepted configuration to `text`.
 */
void fake_log_publish_change(struct simulation *simulation, uint64_t base,
			     const char *id, const char *text)
{
	struct rj_record record = { 0 };

	(void)rj_config_change_make(simulation, simulation->log.config_text,
				    text, &record.config_change);
	publish(simulation, base, id, &record);
}
