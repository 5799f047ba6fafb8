#include "private/cell_writer.h"

#include <assert.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "private/log_event.h"

/* Base delay before a lost append is repeated, doubled with each try. The store
 * answers within 4 ms, or 0.25 s when it is slow. */
#define RETRY_US (60 * RJ_US_PER_MS)
#define RETRY_MAX_US (480 * RJ_US_PER_MS)
/* Limits of an append, besides those of the log. */
#define BATCH_BYTES (1024 * 1024)
#define BATCH_RECORDS 512
/* Length of a record in an append besides its key and value: its own length,
 * and that of the key. */
#define FRAME_BYTES 4
#define KEY_LENGTH_BYTES 1

/* A record that is waiting or being appended. */
struct write {
	struct rj_list link;
	char *key;
	struct rj_bytes value;
	struct rj_cell_write_done done;
};

/* Context of an append until its answer arrives. */
struct call {
	struct rj_cell_writer *writer;
	uint32_t generation;
};

/*
 * Initializes a writer. Records can be added after rj_cell_writer_open.
 */
void rj_cell_writer_init(struct rj_cell_writer *writer, void *mem,
			 struct rj_cell_store *store, enum rj_cell_topic topic,
			 const char *producer)
{
	memset(writer, 0, sizeof(*writer));
	writer->mem = mem;
	writer->store = store;
	writer->topic = topic;
	g_strlcpy(writer->producer, producer, sizeof(writer->producer));
	rj_list_init(&writer->waiting);
	rj_list_init(&writer->sent);
}

/*
 * Sets the limits of the log; see struct rj_cell_limits.
 */
void rj_cell_writer_set_limits(struct rj_cell_writer *writer,
			       uint32_t record_max_bytes,
			       uint32_t append_max_bytes)
{
	writer->record_max_bytes = record_max_bytes;
	writer->append_max_bytes = append_max_bytes;
}

/*
 * Returns the maximum length of a value under a key of `key_length` bytes in a
 * record of at most `record_max_bytes`; 0 stands for no limit.
 */
uint32_t rj_cell_writer_value_max_bytes(uint32_t record_max_bytes,
					size_t key_length)
{
	size_t rest = KEY_LENGTH_BYTES + key_length;

	if (!record_max_bytes)
		return UINT32_MAX;
	return record_max_bytes > rest ? record_max_bytes - (uint32_t)rest : 0;
}

/*
 * Writes under `epoch` from now on, starting with sequence number `sequence`.
 */
void rj_cell_writer_open(struct rj_cell_writer *writer, uint64_t epoch,
			 uint64_t sequence, uint64_t now_us)
{
	rj_cell_writer_close(writer);
	writer->open = true;
	writer->epoch = epoch;
	writer->sequence = sequence;
	writer->stored_us = now_us;
	writer->now_us = now_us;
}

/*
 * Whether an append is in flight or waits for its retry.
 */
bool rj_cell_writer_busy(const struct rj_cell_writer *writer)
{
	return writer->sent.next != &writer->sent;
}

/* Reports the outcome to all writes of a list, and frees them. */
static void complete_writes(struct rj_list *list,
			    enum rj_cell_write_outcome outcome)
{
	struct rj_list completed;

	/* Records that `done` adds belong to the next batch. */
	rj_list_init(&completed);
	while (list->next != list) {
		struct rj_list *link = list->next;

		rj_list_remove(link);
		rj_list_append(&completed, link);
	}
	while (completed.next != &completed) {
		struct write *write =
			RJ_CONTAINER(completed.next, struct write, link);

		rj_list_remove(&write->link);
		write->done.call(write->done.private_data, outcome);
		talloc_free(write);
	}
}

/* Whether a record is too long for the log. */
static bool is_too_long(const struct rj_cell_writer *writer,
			const struct write *write)
{
	return write->value.length >
	       rj_cell_writer_value_max_bytes(writer->record_max_bytes,
					      strlen(write->key));
}

/* Logs and counts a record that the log does not accept. */
static void record_invalid(struct rj_cell_writer *writer,
			   const struct write *write)
{
	rj_log_event("record_invalid",
		     RJ_LOG_TEXT("producer", writer->producer),
		     RJ_LOG_TEXT("key", write->key),
		     RJ_LOG_NUMBER("bytes", write->value.length));
	writer->invalid++;
}

/* Moves the waiting records that are too long to `invalid`. */
static void take_too_long(struct rj_cell_writer *writer,
			  struct rj_list *invalid)
{
	struct rj_list *at;
	struct rj_list *next;

	rj_list_init(invalid);
	RJ_FOR_EACH (at, next, &writer->waiting) {
		struct write *write = RJ_CONTAINER(at, struct write, link);

		if (!is_too_long(writer, write))
			continue;
		record_invalid(writer, write);
		rj_list_remove(at);
		rj_list_append(invalid, at);
	}
}

/* Maximum length of one append, with all that the store counts. */
static size_t batch_max_bytes(const struct rj_cell_writer *writer)
{
	return writer->append_max_bytes ?
		       MIN(BATCH_BYTES, writer->append_max_bytes) :
		       BATCH_BYTES;
}

/* Moves waiting records into the batch, up to the limits of one call. */
static void fill_batch(struct rj_cell_writer *writer)
{
	size_t bytes = 0;
	uint32_t count = 0;

	while (writer->waiting.next != &writer->waiting &&
	       count < BATCH_RECORDS) {
		struct write *write =
			RJ_CONTAINER(writer->waiting.next, struct write, link);

		bytes += FRAME_BYTES + KEY_LENGTH_BYTES + strlen(write->key) +
			 write->value.length;
		if (count && bytes > batch_max_bytes(writer))
			break;
		rj_list_remove(&write->link);
		rj_list_append(&writer->sent, &write->link);
		count++;
	}
	writer->tries = 0;
	writer->uncertain = false;
}

static void append_done(void *private_data,
			const struct rj_cell_store_reply *reply);

/* Sends the batch, for the first time or again. */
static void send_batch(struct rj_cell_writer *writer)
{
	struct rj_cell_record *records =
		talloc_array(writer->mem, struct rj_cell_record, BATCH_RECORDS);
	struct rj_cell_append append = { .topic = writer->topic,
					 .producer = writer->producer,
					 .epoch = writer->epoch,
					 .sequence = writer->sequence,
					 .records = records };
	struct call *call = talloc_zero(writer->mem, struct call);
	struct rj_list *at;
	struct rj_list *next;

	assert(records && call);
	RJ_FOR_EACH (at, next, &writer->sent) {
		struct write *write = RJ_CONTAINER(at, struct write, link);

		records[append.count].key = write->key;
		records[append.count].value = write->value;
		append.count++;
	}
	call->writer = writer;
	call->generation = writer->generation;
	writer->in_flight = true;
	writer->sent_us = writer->now_us;
	if (!writer->tries)
		writer->first_sent_us = writer->now_us;
	writer->tries++;
	writer->store->ops->append(
		writer->store, &append,
		(struct rj_cell_store_done){ append_done, call });
	talloc_free(records);
}

/* Reports the outcome of the batch and sends the next one. */
static void complete_batch(struct rj_cell_writer *writer,
			   enum rj_cell_write_outcome outcome)
{
	uint32_t generation = writer->generation;

	if (outcome == RJ_CELL_WRITE_STORED) {
		writer->sequence++;
		writer->stored_us = writer->first_sent_us;
	}
	complete_writes(&writer->sent, outcome);
	if (generation == writer->generation)
		rj_cell_writer_flush(writer, writer->now_us);
}

/* Number of records in the batch. */
static uint32_t batch_count(const struct rj_cell_writer *writer)
{
	const struct rj_list *at;
	uint32_t count = 0;

	for (at = writer->sent.next; at != &writer->sent; at = at->next)
		count++;
	return count;
}

/* Schedules a retry of the batch with the same sequence number. */
static void retry_later(struct rj_cell_writer *writer)
{
	uint64_t delay_us = RETRY_US << (writer->tries < 4 ? writer->tries : 4);

	if (delay_us > RETRY_MAX_US)
		delay_us = RETRY_MAX_US;
	writer->retry_us = writer->now_us + delay_us;
}

/* The log expects another sequence number, so the outcome of the batch is
 * unknown; a higher epoch allows further appends. */
static void renew_epoch(struct rj_cell_writer *writer)
{
	rj_log_event("append_out_of_sequence",
		     RJ_LOG_TEXT("producer", writer->producer),
		     RJ_LOG_NUMBER("epoch", writer->epoch),
		     RJ_LOG_NUMBER("sequence", writer->sequence));
	writer->epoch++;
	writer->sequence = 0;
	complete_batch(writer, RJ_CELL_WRITE_UNKNOWN);
}

/* Moves the second half of the batch back to the waiting records, in order. */
static void return_second_half(struct rj_cell_writer *writer, uint32_t count)
{
	struct rj_list *before = writer->waiting.next;

	for (uint32_t i = count / 2; i < count; i++) {
		struct rj_list *last = writer->sent.prev;

		rj_list_remove(last);
		rj_list_append(before, last);
		before = last;
	}
}

/*
 * Handles a batch that the log rejects as invalid: a single record is dropped,
 * a larger batch is sent in two halves.
 *
 * Guards against one record that is never accepted: all others would wait
 * behind it.
 */
static void split_batch(struct rj_cell_writer *writer)
{
	struct write *first =
		RJ_CONTAINER(writer->sent.next, struct write, link);
	uint32_t count = batch_count(writer);

	if (count > 1) {
		return_second_half(writer, count);
		writer->tries = 0;
		send_batch(writer);
		return;
	}
	record_invalid(writer, first);
	complete_batch(writer, RJ_CELL_WRITE_INVALID);
}

/* Whether a status shows that the store is serving this instance. */
static bool is_answer(enum rj_cell_store_status status)
{
	return status != RJ_CELL_STORE_REFUSED &&
	       status != RJ_CELL_STORE_LOST &&
	       status != RJ_CELL_STORE_MALFORMED;
}

/*
 * Handles the answer to an append.
 *
 * An append whose answer was lost may still be carried out, so a later refusal
 * applies only to its own attempt. Such a batch is repeated until the log
 * confirms it; the sequence number prevents a duplicate. Contents that are
 * invalid were so in every attempt.
 */
static void append_done(void *private_data,
			const struct rj_cell_store_reply *reply)
{
	struct call *call = private_data;
	struct rj_cell_writer *writer = call->writer;
	bool current = call->generation == writer->generation;

	talloc_free(call);
	if (!current)
		return;
	writer->in_flight = false;
	writer->now_us = reply->now_us;
	if (is_answer(reply->status))
		writer->answered_us = writer->now_us;
	switch (reply->status) {
	case RJ_CELL_STORE_OK:
		writer->end = MAX(writer->end, reply->end);
		writer->took_us = writer->now_us - writer->sent_us;
		rj_latency_add(&writer->appends, writer->took_us);
		complete_batch(writer, RJ_CELL_WRITE_STORED);
		break;
	case RJ_CELL_STORE_FENCED:
		complete_batch(writer, RJ_CELL_WRITE_FENCED);
		break;
	case RJ_CELL_STORE_SEQUENCE:
		renew_epoch(writer);
		break;
	case RJ_CELL_STORE_INVALID:
		split_batch(writer);
		break;
	case RJ_CELL_STORE_REFUSED:
		writer->refused++;
		if (!writer->uncertain) {
			complete_batch(writer, RJ_CELL_WRITE_NOT_STORED);
			break;
		}
		retry_later(writer);
		break;
	default:
		if (!writer->uncertain)
			rj_log_event(
				"append_lost",
				RJ_LOG_TEXT("producer", writer->producer),
				RJ_LOG_NUMBER("sequence", writer->sequence));
		writer->lost++;
		writer->uncertain = true;
		retry_later(writer);
	}
}

/*
 * Adds a record. Key and value are copied; an empty value deletes the key. The
 * record is sent by rj_cell_writer_flush, or after the append in flight.
 */
void rj_cell_writer_add(struct rj_cell_writer *writer, const char *key,
			struct rj_bytes value, struct rj_cell_write_done done)
{
	struct write *write = talloc_zero(writer->mem, struct write);

	assert(write && writer->open);
	write->key = talloc_strdup(write, key);
	if (value.length) {
		write->value.data =
			talloc_memdup(write, value.data, value.length);
		write->value.length = value.length;
	}
	write->done = done;
	rj_list_append(&writer->waiting, &write->link);
}

/*
 * Sends the added records unless an append is in flight.
 */
void rj_cell_writer_flush(struct rj_cell_writer *writer, uint64_t now_us)
{
	struct rj_list invalid;

	writer->now_us = now_us;
	if (!writer->open || rj_cell_writer_busy(writer))
		return;
	take_too_long(writer, &invalid);
	complete_writes(&invalid, RJ_CELL_WRITE_INVALID);
	/* What these completions have added may have been sent by them. */
	if (!writer->open || rj_cell_writer_busy(writer) ||
	    writer->waiting.next == &writer->waiting)
		return;
	fill_batch(writer);
	send_batch(writer);
}

/*
 * Sends a retry that is due, or waiting records.
 */
void rj_cell_writer_tick(struct rj_cell_writer *writer, uint64_t now_us)
{
	writer->now_us = now_us;
	if (rj_cell_writer_busy(writer) && !writer->in_flight &&
	    now_us >= writer->retry_us)
		send_batch(writer);
	else
		rj_cell_writer_flush(writer, now_us);
}

/*
 * Closes the writer. Reports pending records as unknown if they were sent,
 * otherwise as not stored.
 */
void rj_cell_writer_close(struct rj_cell_writer *writer)
{
	writer->generation++;
	writer->open = false;
	writer->in_flight = false;
	complete_writes(&writer->sent, RJ_CELL_WRITE_UNKNOWN);
	complete_writes(&writer->waiting, RJ_CELL_WRITE_NOT_STORED);
}
