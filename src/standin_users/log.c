#include <arpa/inet.h>
#include <assert.h>
#include <endian.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "private/clock.h"
#include "private/wire.h"
#include "standin.h"

#define BODY_MAX_BYTES (4 * 1024 * 1024)
#define CONNECTIONS_MAX 256
#define LENGTH_BYTES 4
/* Records in a page of newest records; the platform's pages are longer. */
#define PAGE_RECORDS 40
/* Delay of the appends that are carried out late. */
#define LATE_US (3 * RJ_US_PER_S)

/* The last append of a producer to one topic. */
struct producer {
	uint64_t epoch;
	bool has_appended;
	uint64_t sequence;
	uint64_t end; /* end offset of the topic after it */
};

/* The parts of an append that its execution needs. */
struct append {
	struct standin_log *log;
	char *topic;
	char *producer;
	uint64_t epoch;
	uint64_t sequence;
	GByteArray *body;
};

/* A long poll that waits for a record. */
struct waiting_read {
	struct standin_log *log;
	struct rj_http_exchange *exchange;
	struct standin_topic *topic;
	uint64_t from;
	struct waiting_read **disconnect_hook; /* freed with the exchange */
};

/* Returns a topic, and creates it on its first use. */
static struct standin_topic *topic_of(struct standin_log *log, const char *name)
{
	struct standin_topic *topic = g_hash_table_lookup(log->topics, name);

	if (topic)
		return topic;
	topic = g_new0(struct standin_topic, 1);
	topic->records = g_ptr_array_new();
	g_hash_table_insert(log->topics, g_strdup(name), topic);
	return topic;
}

/* Returns a number from the query, or 0. */
static uint64_t query_number(struct rj_http_exchange *exchange,
			     const char *name)
{
	const char *text = rj_http_exchange_argument(exchange, name);

	return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

/* Answers a read with all records from an offset on. */
static void answer_read(struct rj_http_exchange *exchange,
			const struct standin_topic *topic, uint64_t from)
{
	GByteArray *body = g_byte_array_new();
	uint64_t header[2] = { htobe64(topic->records->len),
			       htobe64(topic->first_retained) };

	g_byte_array_append(body, (const guint8 *)header, sizeof(header));
	for (uint64_t i = from; i < topic->records->len; i++) {
		const struct standin_record *record = topic->records->pdata[i];
		uint8_t key_length = (uint8_t)strlen(record->key);
		uint32_t size =
			htonl((uint32_t)(1 + key_length + record->length));

		g_byte_array_append(body, (const guint8 *)&size, LENGTH_BYTES);
		g_byte_array_append(body, &key_length, 1);
		g_byte_array_append(body, (const guint8 *)record->key,
				    key_length);
		if (record->length)
			g_byte_array_append(body, (const guint8 *)record->value,
					    (guint)record->length);
	}
	rj_http_exchange_answer(exchange, 200, (const char *)body->data,
				body->len);
	g_byte_array_free(body, TRUE);
}

/* Answers a waiting read and frees it. */
static void answer_waiting_read(struct waiting_read *read)
{
	struct rj_http_exchange *exchange = read->exchange;

	g_ptr_array_remove(read->log->waiting_reads, read);
	*read->disconnect_hook = NULL;
	answer_read(exchange, read->topic, read->from);
	g_free(read);
}

/* Drops a waiting read whose client has disconnected. */
static int detach_read(struct waiting_read **disconnect_hook)
{
	if (*disconnect_hook) {
		g_ptr_array_remove((*disconnect_hook)->log->waiting_reads,
				   *disconnect_hook);
		g_free(*disconnect_hook);
	}
	return 0;
}

/* Answers a read whose wait time has passed. */
static void waited(struct tevent_context *ev, struct tevent_timer *timer,
		   struct timeval now, void *private_data)
{
	struct waiting_read **disconnect_hook = private_data;

	if (*disconnect_hook)
		answer_waiting_read(*disconnect_hook);
}

/* Answers a read at once or, as a long poll, when a record is appended. */
static void handle_read(struct standin_log *log,
			struct rj_http_exchange *exchange)
{
	const char *name = rj_http_exchange_argument(exchange, "Topic");
	struct standin_topic *topic = topic_of(log, name ? name : "");
	uint64_t from = query_number(exchange, "From");
	uint64_t wait_ms = query_number(exchange, "WaitMs");
	struct waiting_read *read;
	struct tevent_timer *timer;

	if (from < topic->first_retained) {
		char *text = talloc_asprintf(
			exchange, "{\"StartOffset\":%" G_GUINT64_FORMAT "}",
			topic->first_retained);

		rj_http_exchange_answer(exchange, 410, text, strlen(text));
		return;
	}
	if (from < topic->records->len || !wait_ms) {
		answer_read(exchange, topic, from);
		return;
	}
	read = g_new0(struct waiting_read, 1);
	read->log = log;
	read->exchange = exchange;
	read->topic = topic;
	read->from = from;
	read->disconnect_hook = talloc(exchange, struct waiting_read *);
	*read->disconnect_hook = read;
	talloc_set_destructor(read->disconnect_hook, detach_read);
	g_ptr_array_add(log->waiting_reads, read);
	timer = tevent_add_timer(log->ev, read->disconnect_hook,
				 rj_clock_timeval_in(wait_ms * RJ_US_PER_MS),
				 waited, read->disconnect_hook);
	assert(timer);
	(void)timer;
}

/*
 * Appends a copy of a record, and answers the reads that wait for it.
 */
void standin_log_append(struct standin_log *log, const char *name,
			const char *key, const char *value, size_t length)
{
	struct standin_topic *topic = topic_of(log, name);
	struct standin_record *record = g_new0(struct standin_record, 1);

	record->key = g_strdup(key);
	record->value = length ? g_memdup2(value, length) : NULL;
	record->length = length;
	g_ptr_array_add(topic->records, record);
	for (guint i = log->waiting_reads->len; i > 0; i--) {
		struct waiting_read *read = log->waiting_reads->pdata[i - 1];

		if (read->topic == topic)
			answer_waiting_read(read);
	}
}

static gint by_key(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Returns the row of a page for a record. */
static json_t *newest_row(const struct standin_record *record, uint64_t offset)
{
	char *value =
		g_base64_encode((const guchar *)record->value, record->length);
	json_t *row = json_pack("{s:s,s:s,s:I}", "Key", record->key, "Value",
				value, "Offset", (json_int_t)offset);

	g_free(value);
	return row;
}

/* Answers with a page of the newest record of each key, in the order of the
 * keys. */
static void handle_newest(struct standin_log *log,
			  struct rj_http_exchange *exchange)
{
	const char *name = rj_http_exchange_argument(exchange, "Topic");
	const char *after = rj_http_exchange_argument(exchange, "After");
	struct standin_topic *topic = topic_of(log, name ? name : "");
	GHashTable *newest = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *keys = g_ptr_array_new();
	json_t *items = json_array();
	bool more = false;
	json_t *answer;
	char *text;

	for (guint i = 0; i < topic->records->len; i++) {
		struct standin_record *record = topic->records->pdata[i];

		if (!g_hash_table_contains(newest, record->key) &&
		    (!after || strcmp(record->key, after) > 0))
			g_ptr_array_add(keys, record->key);
		g_hash_table_insert(newest, record->key, GUINT_TO_POINTER(i));
	}
	g_ptr_array_sort(keys, by_key);
	for (guint i = 0; i < keys->len && !more; i++) {
		guint offset = GPOINTER_TO_UINT(
			g_hash_table_lookup(newest, keys->pdata[i]));
		const struct standin_record *record =
			topic->records->pdata[offset];

		if (!record->length)
			continue;
		more = json_array_size(items) == PAGE_RECORDS;
		if (!more)
			json_array_append_new(items,
					      newest_row(record, offset));
	}
	answer = json_pack("{s:o,s:b,s:I}", "items", items, "HasMore", more,
			   "EndOffset", (json_int_t)topic->records->len);
	text = rj_wire_text(exchange, answer);
	rj_http_exchange_answer(exchange, 200, text, strlen(text));
	json_decref(answer);
	g_ptr_array_free(keys, TRUE);
	g_hash_table_destroy(newest);
}

static void answer_append(struct rj_http_exchange *exchange,
			  unsigned int status, uint64_t end, const char *reason)
{
	char *text = talloc_asprintf(exchange,
				     "{\"EndOffset\":%" G_GUINT64_FORMAT
				     ",\"Reason\":\"%s\"}",
				     end, reason);

	rj_http_exchange_answer(exchange, status, text, strlen(text));
}

/* Appends the records in the body of an append. */
static void append_body(struct standin_log *log, const char *name,
			const GByteArray *body)
{
	size_t position = 0;

	while (position + LENGTH_BYTES < body->len) {
		uint32_t size;
		uint8_t key_length;
		char *key;

		memcpy(&size, body->data + position, sizeof(size));
		size = ntohl(size);
		position += LENGTH_BYTES;
		key_length = (uint8_t)body->data[position];
		key = g_strndup((const char *)body->data + position + 1,
				key_length);
		standin_log_append(log, name, key,
				   (const char *)body->data + position + 1 +
					   key_length,
				   size - 1 - key_length);
		g_free(key);
		position += size;
	}
}

/* Returns a producer of a topic, and creates it on its first use. */
static struct producer *obtain_producer(struct standin_log *log,
					const char *topic,
					const char *producer_id)
{
	char *key = g_strdup_printf("%s %s", topic, producer_id);
	struct producer *producer = g_hash_table_lookup(log->producers, key);

	if (producer) {
		g_free(key);
		return producer;
	}
	producer = g_new0(struct producer, 1);
	g_hash_table_insert(log->producers, key, producer);
	return producer;
}

/* Appends once per sequence number; rejects older epochs and gaps in the
 * sequence. Returns the status, the end of the topic and the reason. */
static unsigned int execute(const struct append *append, uint64_t *end,
			    const char **reason)
{
	struct producer *producer =
		obtain_producer(append->log, append->topic, append->producer);
	const struct standin_topic *topic =
		topic_of(append->log, append->topic);
	bool known = append->epoch == producer->epoch && producer->has_appended;

	*end = topic->records->len;
	*reason = append->epoch < producer->epoch ? "fenced" : "seq";
	if (append->epoch < producer->epoch)
		return 409;
	if (known && append->sequence == producer->sequence) {
		*end = producer->end;
		return 200;
	}
	if (known && append->sequence != producer->sequence + 1)
		return 409;
	producer->epoch = append->epoch;
	producer->sequence = append->sequence;
	producer->has_appended = true;
	append_body(append->log, append->topic, append->body);
	producer->end = topic->records->len;
	*end = producer->end;
	return 200;
}

static void free_append(struct append *append)
{
	g_free(append->topic);
	g_free(append->producer);
	g_byte_array_free(append->body, TRUE);
	g_free(append);
}

/* Carries out an append that nobody waits for any more. */
static void execute_late(struct tevent_context *ev, struct tevent_timer *timer,
			 struct timeval now, void *private_data)
{
	const char *reason;
	uint64_t end;

	execute(private_data, &end, &reason);
	free_append(private_data);
}

/* Handles an append, as the mode says. One that is late gets no answer. */
static void handle_append(struct standin_log *log,
			  struct rj_http_exchange *exchange)
{
	const char *name = rj_http_exchange_argument(exchange, "Topic");
	const char *producer =
		rj_http_exchange_argument(exchange, "ProducerId");
	struct append *append = g_new0(struct append, 1);
	const char *reason;
	unsigned int status;
	uint64_t end;

	append->log = log;
	append->topic = g_strdup(name ? name : "");
	append->producer = g_strdup(producer ? producer : "");
	append->epoch = query_number(exchange, "epoch");
	append->sequence = query_number(exchange, "Sequence");
	append->body = g_byte_array_new();
	g_byte_array_append(append->body, (const guint8 *)exchange->body.data,
			    (guint)exchange->body.length);
	if (log->mode == STANDIN_MODE_LATE) {
		printf("{\"event\":\"late_append\",\"topic\":\"%s\"}\n",
		       append->topic);
		fflush(stdout);
		if (!tevent_add_timer(log->ev, log->ev,
				      rj_clock_timeval_in(LATE_US),
				      execute_late, append))
			free_append(append);
		return;
	}
	status = execute(append, &end, &reason);
	if (status == 200 && log->mode == STANDIN_MODE_LOSE_ANSWER)
		rj_http_exchange_abort(exchange);
	else
		answer_append(exchange, status, end,
			      status == 200 ? "" : reason);
	free_append(append);
}

/* Drops the history of all topics but the newest record of each key. */
static void handle_trim(struct standin_log *log,
			struct rj_http_exchange *exchange)
{
	GHashTableIter each;
	gpointer topic;

	g_hash_table_iter_init(&each, log->topics);
	while (g_hash_table_iter_next(&each, NULL, &topic))
		((struct standin_topic *)topic)->first_retained =
			((struct standin_topic *)topic)->records->len;
	rj_http_exchange_answer(exchange, 200, "{}", 2);
}

/* Sets how calls are treated from now on. */
static void handle_mode(struct standin_log *log,
			struct rj_http_exchange *exchange)
{
	static const char *const names[] = {
		[STANDIN_MODE_OK] = "ok",
		[STANDIN_MODE_REFUSE] = "refuse",
		[STANDIN_MODE_NO_ANSWER] = "silent",
		[STANDIN_MODE_LOSE_ANSWER] = "lose",
		[STANDIN_MODE_LATE] = "late",
	};

	for (int i = 0; i < (int)G_N_ELEMENTS(names); i++)
		if (!strcmp(names[i], exchange->body.data))
			log->mode = (enum standin_mode)i;
	rj_http_exchange_answer(exchange, 200, "{}", 2);
}

/* Injects the fault of the current mode. Returns whether the call
 * must not be handled. */
static bool inject_fault(struct standin_log *log,
			 struct rj_http_exchange *exchange)
{
	bool appends = !strcmp(exchange->path, "/-/log-append");

	if (log->mode == STANDIN_MODE_REFUSE)
		rj_http_exchange_error(exchange, 503, "refused, as requested");
	/* A call without an answer stays open until its client times out. */
	return log->mode == STANDIN_MODE_REFUSE ||
	       log->mode == STANDIN_MODE_NO_ANSWER ||
	       (log->mode == STANDIN_MODE_LOSE_ANSWER && !appends &&
		g_random_int_range(0, 3) == 0);
}

/* Handles a call of an instance, or of a test, which publishes a configuration
 * or sets a fault. */
static void handle(void *private_data, struct rj_http_exchange *exchange)
{
	struct standin_log *log = private_data;

	if (!strcmp(exchange->path, "/standin/mode")) {
		handle_mode(log, exchange);
		return;
	}
	if (!strcmp(exchange->path, "/standin/trim")) {
		handle_trim(log, exchange);
		return;
	}
	if (g_str_has_prefix(exchange->path, "/-/") &&
	    inject_fault(log, exchange))
		return;
	if (!strcmp(exchange->path, "/-/log-append")) {
		handle_append(log, exchange);
	} else if (!strcmp(exchange->path, "/-/log-read")) {
		handle_read(log, exchange);
	} else if (!strcmp(exchange->path, "/-/log-newest")) {
		handle_newest(log, exchange);
	} else if (!strcmp(exchange->path, "/standin/config")) {
		standin_log_append(log, "keyed.op", "config",
				   exchange->body.data, exchange->body.length);
		rj_http_exchange_answer(exchange, 200, "{}", 2);
	} else {
		rj_http_exchange_error(exchange, 404, "no such call");
	}
}

/*
 * Serves the log on a free port of 127.0.0.1. Returns 0, or -1 with `err`.
 */
int standin_log_init(struct standin_log *log, void *mem,
		     struct tevent_context *ev, struct rj_error *err)
{
	struct rj_http_server_options options = {
		.address = { .ip = "127.0.0.1" },
		.connections_max = CONNECTIONS_MAX,
		.body_max_bytes = BODY_MAX_BYTES,
		.handle = handle,
		.private_data = log
	};

	log->ev = ev;
	log->topics = g_hash_table_new(g_str_hash, g_str_equal);
	log->producers = g_hash_table_new(g_str_hash, g_str_equal);
	log->waiting_reads = g_ptr_array_new();
	return rj_http_server_init(&log->server, mem, ev, &options, err);
}
