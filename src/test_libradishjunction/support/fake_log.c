#include "support/simulation.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "support/copy.h"

#define ROUND_TRIP_US (3 * RJ_US_PER_MS)
/* A client that hears nothing gives up after this. */
#define TIMEOUT_US (2 * RJ_US_PER_S)
/* How late an append may still take effect. */
#define LATE_MAX_US (8 * RJ_US_PER_S)
#define LIST_PERIOD_US (500 * RJ_US_PER_MS)
#define LIST_SNAPSHOTS 40
#define READ_RECORDS_MAX 100

struct stored {
	struct rj_record record;
	uint64_t at_us;
};

/* An append on its way. */
struct pending_append {
	struct rj_append append;
};

struct list_snapshot {
	uint64_t at_us;
	struct rj_instance list[CHECKER_NODES_MAX + CHECKER_WORKERS_MAX];
	uint32_t count;
};

/*
 * Whether an instance reaches the platform.
 */
bool fake_log_reachable(const struct world *world, const struct node *node)
{
	return !world->log.down && !world->log.cut[node->domain] &&
	       !world->log.cut_node[node->index];
}

static uint64_t round_trip_us(struct world *world)
{
	return ROUND_TRIP_US + world_random(world, ROUND_TRIP_US) +
	       world->log.slow_us;
}

static void take_snapshot(struct world *world, struct world_event *event)
{
	struct list_snapshot *snapshot =
		talloc_zero(world, struct list_snapshot);

	assert(snapshot);
	snapshot->at_us = world->now_us;
	for (uint32_t i = 0; i < world->node_count; i++) {
		struct rj_instance *line = &snapshot->list[snapshot->count];
		const struct node *node = &world->nodes[i];

		if (!node->engine)
			continue;
		snapshot->count++;
		memcpy(line->name, node->name, sizeof(line->name));
		line->role = RJ_ROLE_ENTRY;
		(void)snprintf(line->domain, sizeof(line->domain), "d%u",
			       node->domain);
		(void)g_strlcpy(line->address.ip, "127.0.0.1", RJ_IP_BYTES);
		line->address.port = (uint16_t)(1 + i);
		line->incarnation = node->incarnation;
		line->leaving = node->stopping;
	}
	for (uint32_t i = 0; i < world->worker_count; i++) {
		struct rj_instance *line = &snapshot->list[snapshot->count];
		const struct fake_worker *worker = &world->workers[i];

		if (worker->down)
			continue;
		snapshot->count++;
		memcpy(line->name, worker->name, sizeof(line->name));
		line->role = RJ_ROLE_WORKER;
		(void)snprintf(line->domain, sizeof(line->domain), "d%u",
			       worker->domain);
		line->rack = worker->rack;
		(void)g_strlcpy(line->address.ip, "127.0.0.1", RJ_IP_BYTES);
		line->address.port = (uint16_t)(1000 + i);
		line->incarnation = worker->incarnation;
		line->leaving = worker->leaving;
	}
	g_queue_push_tail(&world->log.lists, snapshot);
	if (g_queue_get_length(&world->log.lists) > LIST_SNAPSHOTS)
		talloc_free(g_queue_pop_head(&world->log.lists));
	(void)world_after(world, LIST_PERIOD_US, take_snapshot);
}

/*
 * Start with empty streams; the list lags by a second.
 */
void fake_log_init(struct world *world)
{
	struct fake_log *log = &world->log;

	for (uint32_t i = 0; i < RJ_STREAM_COUNT; i++) {
		log->streams[i] = g_ptr_array_new();
		log->readers[i] = g_queue_new();
	}
	g_queue_init(&log->lists);
	log->list_lag_us = RJ_US_PER_S;
	(void)world_after(world, 0, take_snapshot);
}

/*
 * Free what GLib holds for the log.
 */
void fake_log_finish(struct world *world)
{
	for (uint32_t i = 0; i < RJ_STREAM_COUNT; i++) {
		g_ptr_array_unref(world->log.streams[i]);
		g_queue_free(world->log.readers[i]);
	}
	g_queue_clear(&world->log.lists);
}

static void trim(struct world *world, enum rj_stream stream)
{
	GPtrArray *records = world->log.streams[stream];

	while (world->log.oldest[stream] < records->len) {
		const struct stored *oldest =
			records->pdata[world->log.oldest[stream]];

		if (oldest->at_us + world->log_retention_us > world->now_us)
			break;
		world->log.oldest[stream]++;
	}
}

/* Answer a read with what the stream holds from `from` on. */
static void answer_read(struct world *world, struct node *node,
			enum rj_stream stream, uint64_t from)
{
	GPtrArray *stored = world->log.streams[stream];
	struct rj_event *event = node_event(world, RJ_EVENT_RECORDS);
	struct rj_records *records = &event->u.records;

	trim(world, stream);
	records->stream = stream;
	records->from = from;
	records->oldest = world->log.oldest[stream];
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
		record->age_us = world->now_us - one->at_us;
	}
	records->next = from;
	node_deliver_after(world, node, round_trip_us(world) / 2, event);
}

static void fail_read(struct world *world, struct node *node,
		      enum rj_stream stream)
{
	struct rj_event *event = node_event(world, RJ_EVENT_READ_FAILED);

	event->u.stream = stream;
	node_deliver_after(world, node, TIMEOUT_US, event);
}

static void wake_readers(struct world *world, enum rj_stream stream)
{
	GQueue *readers = world->log.readers[stream];
	GQueue waiting = *readers;
	struct world_event *reader;

	g_queue_init(readers);
	while ((reader = g_queue_pop_head(&waiting))) {
		struct node *node = &world->nodes[reader->index];

		if (reader->run && node->life == reader->life) {
			if (fake_log_reachable(world, node))
				answer_read(world, node, stream, reader->order);
			else
				fail_read(world, node, stream);
		}
		reader->run = NULL;
	}
}

/* The config stream's rule, by which the checker knows what was accepted. */
static void replay_config(struct world *world, const struct rj_record *record)
{
	const char *text = record->config_text;
	struct rj_error_list errors;
	struct rj_config *config;

	if (record->base_revision != world->log.revision)
		return;
	rj_error_list_init(&errors, world);
	if (!text)
		text = rj_config_change_apply(world, world->log.config_text,
					      &record->config_change, &errors);
	config = text ? rj_config_parse(world, text, &errors) : NULL;
	rj_error_list_finish(&errors);
	if (!config)
		return;
	world->log.config_text = talloc_strdup(world, text);
	rj_config_unref(config);
	world->log.revision++;
	(void)snprintf(world->log.config_id, RJ_CONFIG_ID_BYTES, "%s",
		       record->config_id);
	world_note(world, "revision %" PRIu64 " is accepted",
		   world->log.revision);
	checker_config_accepted(&world->checker, world->now_us,
				world->log.revision, record->config_id);
}

static uint64_t store(struct world *world, const struct rj_append *append)
{
	GPtrArray *records = world->log.streams[append->stream];
	uint64_t first = records->len;

	for (uint32_t i = 0; i < append->count; i++) {
		struct stored *stored = talloc_zero(world, struct stored);

		assert(stored);
		copy_record(stored, &stored->record, &append->records[i]);
		stored->at_us = world->now_us;
		g_ptr_array_add(records, stored);
		if (append->stream == RJ_STREAM_CONFIG &&
		    append->records[i].kind == RJ_RECORD_CONFIG &&
		    !append->records[i].carried)
			replay_config(world, &append->records[i]);
	}
	wake_readers(world, append->stream);
	return first;
}

static void store_late(struct world *world, struct world_event *event)
{
	const struct pending_append *pending = event->data;

	world_note(world, "a late append takes effect");
	(void)store(world, &pending->append);
}

static void append_arrives(struct world *world, struct world_event *event)
{
	struct pending_append *pending = event->data;
	struct node *node = &world->nodes[event->index];
	struct rj_event *told = node_event(world, RJ_EVENT_APPENDED);
	struct rj_appended *appended = &told->u.appended;
	uint64_t delay_us = round_trip_us(world) / 2;

	appended->append_id = pending->append.append_id;
	if (!fake_log_reachable(world, node)) {
		appended->status = RJ_APPEND_LOST;
		delay_us = TIMEOUT_US;
	} else if (world_chance(world, world->rates.append_refused)) {
		appended->status = RJ_APPEND_REFUSED;
	} else if (world_chance(world, world->rates.append_late)) {
		struct world_event *late = world_after(
			world, world_random(world, LATE_MAX_US), store_late);

		late->data = talloc_steal(late, pending);
		appended->status = RJ_APPEND_LOST;
		delay_us = TIMEOUT_US;
	} else {
		appended->first_offset = store(world, &pending->append);
		if (world_chance(world, world->rates.append_answer_lost)) {
			appended->status = RJ_APPEND_LOST;
			delay_us = TIMEOUT_US;
		}
	}
	/* An append outlives the instance that sent it; its answer does not. */
	if (node->life == event->life)
		node_deliver_after(world, node, delay_us, told);
	else
		talloc_free(told);
}

/*
 * Append the records together, or not at all.
 */
void fake_log_append(struct world *world, struct node *node,
		     const struct rj_append *append)
{
	struct world_event *event =
		world_after(world, round_trip_us(world) / 2, append_arrives);
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
	event->life = node->life;
	event->data = pending;
}

static void poll_ends(struct world *world, struct world_event *event)
{
	struct node *node = &world->nodes[event->index];
	struct world_event *reader = event->data;

	if (!reader->run || node->life != event->life)
		return;
	reader->run = NULL;
	if (fake_log_reachable(world, node))
		answer_read(world, node, event->other, reader->order);
	else
		fail_read(world, node, event->other);
}

static void read_arrives(struct world *world, struct world_event *event)
{
	struct node *node = &world->nodes[event->index];
	const struct rj_read *read = event->data;
	struct world_event *reader;
	struct world_event *end;

	if (node->life != event->life)
		return;
	if (!fake_log_reachable(world, node) ||
	    world_chance(world, world->rates.read_failed)) {
		fail_read(world, node, read->stream);
		return;
	}
	if (read->from < world->log.streams[read->stream]->len ||
	    !read->wait_us) {
		answer_read(world, node, read->stream, read->from);
		return;
	}
	/* A long poll: `order` holds the offset, `run` that it still waits. */
	reader = talloc_zero(world, struct world_event);
	assert(reader);
	reader->index = event->index;
	reader->life = event->life;
	reader->order = read->from;
	reader->run = poll_ends;
	g_queue_push_tail(world->log.readers[read->stream], reader);
	end = world_after(world, read->wait_us, poll_ends);
	end->index = event->index;
	end->other = read->stream;
	end->life = event->life;
	end->data = reader;
}

/*
 * Read a stream; waits for something new when there is nothing.
 */
void fake_log_read(struct world *world, struct node *node,
		   const struct rj_read *read)
{
	struct world_event *event =
		world_after(world, round_trip_us(world) / 2, read_arrives);

	event->index = node->index;
	event->life = node->life;
	event->data = talloc_memdup(event, read, sizeof(*read));
}

/*
 * Tell an instance the list of instances and workers as it was a while ago;
 * nothing comes when the platform is out of reach.
 */
void fake_log_list(struct world *world, struct node *node)
{
	const struct list_snapshot *shown = NULL;
	struct rj_event *event;

	if (!fake_log_reachable(world, node))
		return;
	for (GList *at = world->log.lists.head; at; at = at->next) {
		const struct list_snapshot *snapshot = at->data;

		if (shown &&
		    snapshot->at_us + world->log.list_lag_us > world->now_us)
			break;
		shown = snapshot;
	}
	if (!shown)
		return;
	event = node_event(world, RJ_EVENT_INSTANCES);
	event->u.instances.list = talloc_memdup(
		event, shown->list, shown->count * sizeof(shown->list[0]));
	event->u.instances.count = shown->count;
	for (uint32_t i = 0; i < shown->count; i++) {
		const struct rj_instance *line = &shown->list[i];

		if (line->role == RJ_ROLE_WORKER && line->leaving)
			checker_leaving_learnt(
				&world->checker, world->now_us, node->index,
				fake_worker_find(world, line->name)->index,
				line->incarnation);
	}
	node_deliver_after(world, node, round_trip_us(world), event);
}

/* Append an operator's publication of `record`, which has its content. */
static void publish(struct world *world, uint64_t base, const char *id,
		    struct rj_record *record)
{
	struct rj_append append = { .stream = RJ_STREAM_CONFIG,
				    .records = record,
				    .count = 1 };

	record->kind = RJ_RECORD_CONFIG;
	record->base_revision = base;
	record->revision = base + 1;
	(void)snprintf(record->config_id, sizeof(record->config_id), "%s", id);
	(void)rj_name_set(record->author, "operator");
	(void)store(world, &append);
}

/*
 * Publish a configuration as an operator does, without a fault on the way.
 */
void fake_log_publish(struct world *world, uint64_t base, const char *id,
		      const char *text)
{
	struct rj_record record = { .config_text = text };

	publish(world, base, id, &record);
}

/*
 * Publish what changes the newest accepted configuration into `text`.
 */
void fake_log_publish_change(struct world *world, uint64_t base, const char *id,
			     const char *text)
{
	struct rj_record record = { 0 };

	(void)rj_config_change_make(world, world->log.config_text, text,
				    &record.config_change);
	publish(world, base, id, &record);
}
