/*
 * The platform's log as its contract says: keyed topics of one partition,
 * producers with epochs and sequence numbers in each.
 */
#include <string.h>
#include <talloc.h>

#include "support/cell_sim.h"

/* A producer's repeats of so many last appends are answered again. */
#define REPEATS 5
#define PAGE_RECORDS 40
/* Without an answer a call ends so late, as adapters give up. */
#define TIMEOUT_US (900 * MS)

struct producer {
	uint64_t epoch;
	bool has_appended;
	uint64_t sequence; /* of the last append */
	uint64_t ends[REPEATS]; /* the answers to the last appends */
};

/* A long poll or any other call on its way. */
struct call {
	struct cell_sim_node *node;
	uint32_t life;
	struct rj_cell_store_done done;
	enum rj_cell_topic topic;
	uint64_t from;
	uint64_t until_us;
	char *after;
	bool newest;
	/* appends */
	struct rj_cell_append append;
	struct rj_cell_record *records;
	bool answered; /* false: it is done, and nobody hears of it */
	/* the answer */
	struct rj_cell_store_reply reply;
};

/*
 * Make an empty log.
 */
void cell_log_init(struct cell_sim *world)
{
	for (int i = 0; i < RJ_CELL_TOPIC_COUNT; i++)
		world->log.records[i] = g_ptr_array_new();
	world->log.producers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world->log.latency_us = 4 * MS;
}

/*
 * Free it.
 */
void cell_log_finish(struct cell_sim *world)
{
	for (int i = 0; i < RJ_CELL_TOPIC_COUNT; i++) {
		GPtrArray *records = world->log.records[i];

		for (guint j = 0; j < records->len; j++) {
			struct cell_log_record *record = records->pdata[j];

			g_free(record->key);
			if (record->value)
				g_bytes_unref(record->value);
			g_free(record);
		}
		g_ptr_array_free(records, TRUE);
	}
	g_hash_table_destroy(world->log.producers);
}

/*
 * Append one record at once, as operators and workers do.
 */
void cell_log_put(struct cell_sim *world, enum rj_cell_topic topic,
		  const char *key, const void *value, size_t length)
{
	struct cell_log_record *record = g_new0(struct cell_log_record, 1);

	record->key = g_strdup(key);
	record->value = length ? g_bytes_new(value, length) : NULL;
	g_ptr_array_add(world->log.records[topic], record);
}

/* Whether the node that called still waits for the answer. */
static void deliver(void *data)
{
	struct call *call = data;
	struct cell_sim_node *node = call->node;

	if (!cell_sim_node_is_current(node, call->life)) {
		talloc_free(call);
		return;
	}
	if (cell_sim_defer_if_paused(node, deliver, call))
		return;
	cell_sim_node_enter(node);
	call->reply.now_us = node->world->now_us;
	call->done.call(call->done.private_data, &call->reply);
	rj_cell_node_advance(&node->node, node->world->now_us,
			     cell_sim_wall_ms(node->world));
	cell_sim_node_leave(node);
	talloc_free(call);
}

/* The answer is on its way back. */
static void answer(struct call *call, enum rj_cell_store_status status)
{
	struct cell_sim *world = call->node->world;

	call->reply.status = status;
	cell_sim_schedule(world, world->log.latency_us / 2, deliver, call);
}

/* A call that gets no answer. */
static void lose(struct call *call)
{
	call->reply.status = RJ_CELL_STORE_LOST;
	cell_sim_schedule(call->node->world,
			  TIMEOUT_US + (call->until_us ? 1000 * MS : 0),
			  deliver, call);
}

/* Put one record into a reply. */
static void add_record(struct call *call, GArray *records, uint64_t offset,
		       const struct cell_log_record *record)
{
	struct rj_cell_record copy = { .offset = offset };
	gsize length = 0;
	const void *data =
		record->value ? g_bytes_get_data(record->value, &length) : NULL;

	copy.key = talloc_strdup(call, record->key);
	copy.value.data = talloc_memdup(call, data, length);
	copy.value.length = (uint32_t)length;
	call->node->world->log.read_bytes[call->node->index] += length;
	g_array_append_val(records, copy);
}

/* Hand the gathered records to the reply. */
static void set_records(struct call *call, GArray *records)
{
	call->reply.records =
		talloc_memdup(call, records->data,
			      records->len * sizeof(struct rj_cell_record));
	call->reply.count = records->len;
	g_array_free(records, TRUE);
}

/* A read, which waits for its first record. */
static void try_read(void *data)
{
	struct call *call = data;
	struct cell_sim *world = call->node->world;
	GPtrArray *log = world->log.records[call->topic];
	GArray *records;

	if (!cell_sim_node_is_current(call->node, call->life)) {
		talloc_free(call);
		return;
	}
	if (world->log.modes[call->node->index] == CELL_LOG_UNREACHABLE ||
	    world->log.reads_silent[call->topic]) {
		lose(call);
		return;
	}
	if (call->from < world->log.first_kept[call->topic]) {
		answer(call, RJ_CELL_STORE_EXPIRED);
		return;
	}
	if ((call->from >= log->len ||
	     world->now_us < world->log.deaf_until_us) &&
	    world->now_us < call->until_us) {
		cell_sim_schedule(world, 2 * MS, try_read, call);
		return;
	}
	records = g_array_new(FALSE, FALSE, sizeof(struct rj_cell_record));
	for (uint64_t i = call->from; i < log->len; i++)
		add_record(call, records, i, log->pdata[i]);
	call->reply.end = log->len;
	call->reply.next = MAX(call->from, log->len);
	set_records(call, records);
	answer(call, RJ_CELL_STORE_OK);
}

/* Keys in their order. */
static gint by_key(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* A page of the newest record of each key. */
static void do_newest(void *data)
{
	struct call *call = data;
	struct cell_sim *world = call->node->world;
	GPtrArray *log = world->log.records[call->topic];
	GHashTable *newest = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *keys = g_ptr_array_new();
	GArray *records =
		g_array_new(FALSE, FALSE, sizeof(struct rj_cell_record));
	GHashTableIter iter;
	gpointer key;

	for (guint i = 0; i < log->len; i++) {
		struct cell_log_record *record = log->pdata[i];

		g_hash_table_insert(newest, record->key, GUINT_TO_POINTER(i));
	}
	g_hash_table_iter_init(&iter, newest);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(keys, key);
	g_ptr_array_sort(keys, by_key);
	call->reply.end = log->len;
	for (guint i = 0; i < keys->len; i++) {
		guint offset = GPOINTER_TO_UINT(
			g_hash_table_lookup(newest, keys->pdata[i]));
		struct cell_log_record *record = log->pdata[offset];

		if (!record->value ||
		    (call->after && strcmp(record->key, call->after) <= 0))
			continue;
		if (records->len == PAGE_RECORDS) {
			call->reply.more = true;
			break;
		}
		add_record(call, records, offset, record);
	}
	set_records(call, records);
	g_ptr_array_free(keys, TRUE);
	g_hash_table_destroy(newest);
	if (world->log.modes[call->node->index] == CELL_LOG_UNREACHABLE ||
	    world->log.reads_silent[call->topic])
		lose(call);
	else
		answer(call, RJ_CELL_STORE_OK);
}

/* Whether an append may be done; else its status. */
static enum rj_cell_store_status judge(const struct call *call,
				       struct producer *producer)
{
	const struct rj_cell_append *append = &call->append;

	if (append->epoch < producer->epoch)
		return RJ_CELL_STORE_FENCED;
	if (append->epoch > producer->epoch) {
		producer->epoch = append->epoch;
		producer->has_appended = false;
		return RJ_CELL_STORE_OK;
	}
	if (producer->has_appended &&
	    append->sequence != producer->sequence + 1)
		return RJ_CELL_STORE_SEQUENCE;
	return RJ_CELL_STORE_OK;
}

/* Whether an append repeats one that is remembered. */
static bool is_repeat(const struct call *call, const struct producer *producer)
{
	const struct rj_cell_append *append = &call->append;

	return producer->has_appended && append->epoch == producer->epoch &&
	       append->sequence <= producer->sequence &&
	       producer->sequence - append->sequence < REPEATS;
}

/* The producer of a name in one topic, made when it is new. */
static struct producer *obtain_producer(struct cell_sim *world,
					enum rj_cell_topic topic,
					const char *name)
{
	char *key = g_strdup_printf("%d %s", topic, name);
	struct producer *producer =
		g_hash_table_lookup(world->log.producers, key);

	if (producer) {
		g_free(key);
		return producer;
	}
	producer = g_new0(struct producer, 1);
	g_hash_table_insert(world->log.producers, key, producer);
	return producer;
}

/* Carry an append out. */
static enum rj_cell_store_status apply(struct cell_sim *world,
				       struct call *call)
{
	const struct rj_cell_append *append = &call->append;
	struct producer *producer =
		obtain_producer(world, append->topic, append->producer);
	enum rj_cell_store_status status;

	if (is_repeat(call, producer)) {
		call->reply.end = producer->ends[append->sequence % REPEATS];
		return RJ_CELL_STORE_OK;
	}
	status = judge(call, producer);
	if (status != RJ_CELL_STORE_OK)
		return status;
	for (uint32_t i = 0; i < append->count; i++)
		cell_log_put(world, append->topic, call->records[i].key,
			     call->records[i].value.data,
			     call->records[i].value.length);
	producer->has_appended = true;
	producer->sequence = append->sequence;
	call->reply.end = world->log.records[append->topic]->len;
	producer->ends[append->sequence % REPEATS] = call->reply.end;
	return RJ_CELL_STORE_OK;
}

/* A lost append is carried out late. */
static void apply_late(void *data)
{
	struct call *call = data;

	apply(call->node->world, call);
	talloc_free(call);
}

/* An append arrives. */
static void do_append(void *data)
{
	struct call *call = data;
	struct cell_sim *world = call->node->world;
	struct cell_log *log = &world->log;

	log->appends++;
	if (log->modes[call->node->index] == CELL_LOG_UNREACHABLE ||
	    (log->progress_silent &&
	     call->append.topic == RJ_CELL_TOPIC_PROGRESS)) {
		lose(call);
		return;
	}
	if (log->modes[call->node->index] == CELL_LOG_REFUSING) {
		answer(call, RJ_CELL_STORE_REFUSED);
		return;
	}
	if (cell_sim_random(world, 100) >= log->lose_percent) {
		answer(call, apply(world, call));
		return;
	}
	if (log->late_us) {
		struct call *late =
			talloc_memdup(world->mem, call, sizeof(*call));

		/* The records outlive the answer. */
		late->records = talloc_steal(late, call->records);
		late->append.producer =
			talloc_strdup(late, call->append.producer);
		cell_sim_schedule(world, log->late_us, apply_late, late);
	} else {
		apply(world, call);
	}
	lose(call);
}

/* Remember one call. */
static struct call *call_new(struct rj_cell_store *store,
			     struct rj_cell_store_done done)
{
	struct cell_sim_node *node = (struct cell_sim_node *)store;
	struct call *call = talloc_zero(node->world->mem, struct call);

	call->node = node;
	call->life = node->life;
	call->done = done;
	return call;
}

/* An append of a node. */
static void log_append(struct rj_cell_store *store,
		       const struct rj_cell_append *append,
		       struct rj_cell_store_done done)
{
	struct call *call = call_new(store, done);

	call->append = *append;
	call->append.producer = talloc_strdup(call, append->producer);
	call->records =
		talloc_array(call, struct rj_cell_record, append->count);
	for (uint32_t i = 0; i < append->count; i++) {
		call->records[i].key =
			talloc_strdup(call->records, append->records[i].key);
		call->records[i].value.data = talloc_memdup(
			call->records, append->records[i].value.data,
			append->records[i].value.length);
		call->records[i].value.length = append->records[i].value.length;
	}
	cell_sim_schedule(call->node->world,
			  call->node->world->log.latency_us / 2, do_append,
			  call);
}

/* A read of a node. */
static void log_read(struct rj_cell_store *store, enum rj_cell_topic topic,
		     uint64_t from, uint32_t wait_ms,
		     struct rj_cell_store_done done)
{
	struct call *call = call_new(store, done);
	struct cell_sim *world = call->node->world;

	world->log.reads++;
	call->topic = topic;
	call->from = from;
	call->reply.next = from;
	call->until_us = wait_ms ? world->now_us + wait_ms * MS : 0;
	if (world->log.modes[call->node->index] == CELL_LOG_REFUSING)
		answer(call, RJ_CELL_STORE_REFUSED);
	else
		cell_sim_schedule(world, world->log.latency_us / 2, try_read,
				  call);
}

/* A load of a node. */
static void log_newest(struct rj_cell_store *store, enum rj_cell_topic topic,
		       const char *after, struct rj_cell_store_done done)
{
	struct call *call = call_new(store, done);
	struct cell_sim *world = call->node->world;

	world->log.reads++;
	call->topic = topic;
	call->after = talloc_strdup(call, after);
	if (world->log.modes[call->node->index] == CELL_LOG_REFUSING)
		answer(call, RJ_CELL_STORE_REFUSED);
	else
		cell_sim_schedule(world, world->log.latency_us / 2, do_newest,
				  call);
}

const struct rj_cell_store_ops cell_log_ops = {
	.append = log_append,
	.read = log_read,
	.newest = log_newest,
};
