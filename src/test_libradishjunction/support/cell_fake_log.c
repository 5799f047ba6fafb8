/*
 * The platform's log as its contract describes it: topics of one partition with
 * keyed records; in each topic, producers with epochs and sequence numbers.
 */
#include <string.h>
#include <talloc.h>

#include "support/cell_sim.h"

/* Number of a producer's last appends whose answers are kept for repeats. */
#define REPEATS_MAX 5
#define PAGE_RECORDS 40
/* Before the key of a record: the length of the key. */
#define KEY_LENGTH_BYTES 1
/* A call without an answer times out after this, as in the adapters. */
#define TIMEOUT_US (900 * MS)

struct producer {
	uint64_t epoch;
	bool has_appended;
	uint64_t sequence; /* of the last append */
	uint64_t end_offsets[REPEATS_MAX]; /* answers to the last appends */
};

/* A call in flight; a long poll may wait. */
struct call {
	struct cell_sim_node *node;
	uint32_t node_incarnation;
	struct rj_cell_store_done done;
	enum rj_cell_topic topic;
	uint64_t from; /* first offset to read */
	uint64_t until_us; /* end of a long poll's wait; 0: no wait */
	char *after; /* last key of the previous page, or NULL */
	bool newest;
	/* For appends. */
	struct rj_cell_append append;
	struct rj_cell_record *records;
	bool answered; /* false: applied, but not answered */
	/* The answer. */
	struct rj_cell_store_reply reply;
};

/*
 * Creates an empty log.
 */
void cell_log_init(struct cell_sim *sim)
{
	for (int i = 0; i < RJ_CELL_TOPIC_COUNT; i++)
		sim->log.records[i] = g_ptr_array_new();
	sim->log.producers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sim->log.latency_us = 4 * MS;
	sim->log.record_max_bytes = sim->options.record_max_bytes;
}

/*
 * Frees the log.
 */
void cell_log_finish(struct cell_sim *sim)
{
	for (int i = 0; i < RJ_CELL_TOPIC_COUNT; i++) {
		GPtrArray *records = sim->log.records[i];

		for (guint j = 0; j < records->len; j++) {
			struct cell_log_record *record = records->pdata[j];

			g_free(record->key);
			if (record->value)
				g_bytes_unref(record->value);
			g_free(record);
		}
		g_ptr_array_free(records, TRUE);
	}
	g_hash_table_destroy(sim->log.producers);
}

/*
 * Appends one record at once, as operators and workers do; length 0 deletes the
 * key.
 */
void cell_log_put(struct cell_sim *sim, enum rj_cell_topic topic,
		  const char *key, const void *value, size_t length)
{
	struct cell_log_record *record = g_new0(struct cell_log_record, 1);

	record->key = g_strdup(key);
	record->value = length ? g_bytes_new(value, length) : NULL;
	g_ptr_array_add(sim->log.records[topic], record);
}

/* Delivers the answer, unless the node's process has ended. */
static void deliver(void *data)
{
	struct call *call = data;
	struct cell_sim_node *node = call->node;

	if (!cell_sim_node_is_current(node, call->node_incarnation)) {
		talloc_free(call);
		return;
	}
	if (cell_sim_defer_if_paused(node, deliver, call))
		return;
	cell_sim_node_enter(node);
	call->reply.now_us = node->sim->now_us;
	call->done.call(call->done.private_data, &call->reply);
	rj_cell_node_advance(&node->node, node->sim->now_us,
			     cell_sim_wall_ms(node->sim));
	cell_sim_node_leave(node);
	talloc_free(call);
}

/* Sends the answer. */
static void answer(struct call *call, enum rj_cell_store_status status)
{
	struct cell_sim *sim = call->node->sim;

	call->reply.status = status;
	cell_sim_schedule(sim, sim->log.latency_us / 2, deliver, call);
}

/* Lets a call time out, a long poll one second later than others. */
static void drop_answer(struct call *call)
{
	call->reply.status = RJ_CELL_STORE_LOST;
	cell_sim_schedule(call->node->sim,
			  TIMEOUT_US + (call->until_us ? 1000 * MS : 0),
			  deliver, call);
}

/* Adds one record to a reply. */
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
	call->node->sim->log.read_bytes[call->node->index] += length;
	g_array_append_val(records, copy);
}

/* Moves the collected records into the reply. */
static void set_records(struct call *call, GArray *records)
{
	call->reply.records =
		talloc_memdup(call, records->data,
			      records->len * sizeof(struct rj_cell_record));
	call->reply.count = records->len;
	g_array_free(records, TRUE);
}

/* Answers a read once there is a record or its wait has ended. */
static void try_read(void *data)
{
	struct call *call = data;
	struct cell_sim *sim = call->node->sim;
	GPtrArray *log = sim->log.records[call->topic];
	GArray *records;

	if (!cell_sim_node_is_current(call->node, call->node_incarnation)) {
		talloc_free(call);
		return;
	}
	if (sim->log.modes[call->node->index] == CELL_LOG_UNREACHABLE ||
	    sim->log.reads_unreachable[call->topic]) {
		drop_answer(call);
		return;
	}
	if (call->from < sim->log.first_retained[call->topic]) {
		answer(call, RJ_CELL_STORE_EXPIRED);
		return;
	}
	if ((call->from >= log->len ||
	     sim->now_us < sim->log.no_wakeup_until_us) &&
	    sim->now_us < call->until_us) {
		cell_sim_schedule(sim, 2 * MS, try_read, call);
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

static gint by_key(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Answers with a page of the newest record of each key. */
static void do_newest(void *data)
{
	struct call *call = data;
	struct cell_sim *sim = call->node->sim;
	GPtrArray *log = sim->log.records[call->topic];
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
	if (sim->log.modes[call->node->index] == CELL_LOG_UNREACHABLE ||
	    sim->log.reads_unreachable[call->topic])
		drop_answer(call);
	else
		answer(call, RJ_CELL_STORE_OK);
}

/* Checks epoch and sequence of an append; adopts a higher epoch. */
static enum rj_cell_store_status check_sequence(const struct call *call,
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

/* Whether an append repeats one whose answer is kept. */
static bool is_repeat(const struct call *call, const struct producer *producer)
{
	const struct rj_cell_append *append = &call->append;

	return producer->has_appended && append->epoch == producer->epoch &&
	       append->sequence <= producer->sequence &&
	       producer->sequence - append->sequence < REPEATS_MAX;
}

/* Returns the producer of a name in a topic; creates it at first use. */
static struct producer *obtain_producer(struct cell_sim *sim,
					enum rj_cell_topic topic,
					const char *name)
{
	char *key = g_strdup_printf("%d %s", topic, name);
	struct producer *producer =
		g_hash_table_lookup(sim->log.producers, key);

	if (producer) {
		g_free(key);
		return producer;
	}
	producer = g_new0(struct producer, 1);
	g_hash_table_insert(sim->log.producers, key, producer);
	return producer;
}

/* Whether the log rejects an append for its records. */
static bool is_invalid(const struct cell_log *log, const struct call *call)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < call->append.count; i++) {
		const struct rj_cell_record *record = &call->records[i];
		uint64_t bytes = KEY_LENGTH_BYTES + strlen(record->key) +
				 record->value.length;

		sum += bytes;
		if (bytes > log->record_max_bytes ||
		    (log->invalid_key &&
		     !strcmp(record->key, log->invalid_key)))
			return true;
	}
	return sum > CELL_SIM_APPEND_MAX_BYTES;
}

/* Applies an append. */
static enum rj_cell_store_status apply(struct cell_sim *sim, struct call *call)
{
	const struct rj_cell_append *append = &call->append;
	struct producer *producer =
		obtain_producer(sim, append->topic, append->producer);
	enum rj_cell_store_status status;

	if (is_repeat(call, producer)) {
		call->reply.end =
			producer->end_offsets[append->sequence % REPEATS_MAX];
		return RJ_CELL_STORE_OK;
	}
	status = check_sequence(call, producer);
	if (status != RJ_CELL_STORE_OK)
		return status;
	if (is_invalid(&sim->log, call))
		return RJ_CELL_STORE_INVALID;
	for (uint32_t i = 0; i < append->count; i++)
		cell_log_put(sim, append->topic, call->records[i].key,
			     call->records[i].value.data,
			     call->records[i].value.length);
	producer->has_appended = true;
	producer->sequence = append->sequence;
	call->reply.end = sim->log.records[append->topic]->len;
	producer->end_offsets[append->sequence % REPEATS_MAX] = call->reply.end;
	return RJ_CELL_STORE_OK;
}

/* Applies an unanswered append after a delay. */
static void apply_delayed(void *data)
{
	struct call *call = data;

	apply(call->node->sim, call);
	talloc_free(call);
}

/* Handles an append that arrives. */
static void do_append(void *data)
{
	struct call *call = data;
	struct cell_sim *sim = call->node->sim;
	struct cell_log *log = &sim->log;

	log->appends++;
	if (log->modes[call->node->index] == CELL_LOG_UNREACHABLE ||
	    (log->progress_unreachable &&
	     call->append.topic == RJ_CELL_TOPIC_PROGRESS)) {
		drop_answer(call);
		return;
	}
	if (log->modes[call->node->index] == CELL_LOG_REFUSING) {
		answer(call, RJ_CELL_STORE_REFUSED);
		return;
	}
	if (cell_sim_random(sim, 100) >= log->lost_answer_percent) {
		answer(call, apply(sim, call));
		return;
	}
	if (log->apply_delay_us) {
		struct call *delayed =
			talloc_memdup(sim->mem, call, sizeof(*call));

		/* The records must outlive the answer. */
		delayed->records = talloc_steal(delayed, call->records);
		delayed->append.producer =
			talloc_strdup(delayed, call->append.producer);
		cell_sim_schedule(sim, log->apply_delay_us, apply_delayed,
				  delayed);
	} else {
		apply(sim, call);
	}
	drop_answer(call);
}

/* Creates a call of a node. */
static struct call *call_new(struct rj_cell_store *store,
			     struct rj_cell_store_done done)
{
	struct cell_sim_node *node = (struct cell_sim_node *)store;
	struct call *call = talloc_zero(node->sim->mem, struct call);

	call->node = node;
	call->node_incarnation = node->incarnation;
	call->done = done;
	return call;
}

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
	cell_sim_schedule(call->node->sim, call->node->sim->log.latency_us / 2,
			  do_append, call);
}

static void log_read(struct rj_cell_store *store, enum rj_cell_topic topic,
		     uint64_t from, uint32_t wait_ms,
		     struct rj_cell_store_done done)
{
	struct call *call = call_new(store, done);
	struct cell_sim *sim = call->node->sim;

	sim->log.reads++;
	call->topic = topic;
	call->from = from;
	call->reply.next = from;
	call->until_us = wait_ms ? sim->now_us + wait_ms * MS : 0;
	if (sim->log.modes[call->node->index] == CELL_LOG_REFUSING)
		answer(call, RJ_CELL_STORE_REFUSED);
	else
		cell_sim_schedule(sim, sim->log.latency_us / 2, try_read, call);
}

static void log_newest(struct rj_cell_store *store, enum rj_cell_topic topic,
		       const char *after, struct rj_cell_store_done done)
{
	struct call *call = call_new(store, done);
	struct cell_sim *sim = call->node->sim;

	sim->log.reads++;
	call->topic = topic;
	call->after = talloc_strdup(call, after);
	if (sim->log.modes[call->node->index] == CELL_LOG_REFUSING)
		answer(call, RJ_CELL_STORE_REFUSED);
	else
		cell_sim_schedule(sim, sim->log.latency_us / 2, do_newest,
				  call);
}

const struct rj_cell_store_ops cell_log_ops = {
	.append = log_append,
	.read = log_read,
	.newest = log_newest,
};
