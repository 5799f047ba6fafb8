#include "private/cell_log_reader.h"

#include <assert.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "private/log_event.h"

/* Initial delay after a failed read, doubled with each consecutive failure so
 * that retries do not add load to a store that rejects calls. */
#define RETRY_US (100 * RJ_US_PER_MS)
#define RETRY_MAX_US (800 * RJ_US_PER_MS)

const char *const rj_cell_topic_string[RJ_CELL_TOPIC_COUNT] = {
	[RJ_CELL_TOPIC_JOBS] = "jobs",
	[RJ_CELL_TOPIC_REQUESTS] = "requests",
	[RJ_CELL_TOPIC_PROGRESS] = "progress",
	[RJ_CELL_TOPIC_CONFIG] = "config",
	[RJ_CELL_TOPIC_WORKERS] = "workers",
};

const char *const rj_cell_store_status_string[RJ_CELL_STORE_STATUS_COUNT] = {
	[RJ_CELL_STORE_OK] = "ok",
	[RJ_CELL_STORE_REFUSED] = "refused",
	[RJ_CELL_STORE_INVALID] = "invalid",
	[RJ_CELL_STORE_FENCED] = "fenced",
	[RJ_CELL_STORE_SEQUENCE] = "sequence",
	[RJ_CELL_STORE_EXPIRED] = "gone",
	[RJ_CELL_STORE_LOST] = "lost",
	[RJ_CELL_STORE_MALFORMED] = "bad",
};

/* A long poll normally returns records within a round trip. Records known to
 * exist for longer are fetched with a read that does not wait. */
#define POLL_LAG_US (30 * RJ_US_PER_MS)

/* Context of a call until its answer arrives. */
struct call {
	struct rj_cell_log_reader *reader;
	uint32_t generation;
	uint64_t sent_us;
	uint64_t from;
	bool immediate; /* a read that does not wait for records */
};

static void send_read(struct rj_cell_log_reader *reader, bool immediate);
static void send_newest(struct rj_cell_log_reader *reader);

/*
 * Initializes a reader. Nothing is read before rj_cell_log_reader_start.
 */
void rj_cell_log_reader_init(struct rj_cell_log_reader *reader, void *mem,
			     struct rj_cell_store *store,
			     enum rj_cell_topic topic,
			     const struct rj_cell_log_reader_ops *ops,
			     void *private_data)
{
	memset(reader, 0, sizeof(*reader));
	reader->mem = mem;
	reader->store = store;
	reader->topic = topic;
	reader->ops = ops;
	reader->private_data = private_data;
	rj_list_init(&reader->syncs);
}

static struct call *call_new(struct rj_cell_log_reader *reader, bool immediate)
{
	struct call *call = talloc_zero(reader->mem, struct call);

	assert(call);
	call->reader = reader;
	call->generation = reader->generation;
	call->sent_us = reader->now_us;
	call->from = reader->next;
	call->immediate = immediate;
	return call;
}

/* Ends the syncs that began no later than `until_us`. */
static void end_syncs(struct rj_cell_log_reader *reader, uint64_t until_us,
		      bool reached)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &reader->syncs) {
		struct rj_cell_sync *sync =
			RJ_CONTAINER(at, struct rj_cell_sync, link);

		if (sync->since_us > until_us)
			continue;
		rj_list_remove(at);
		sync->done(sync, reached);
	}
}

/* Delays the next read after a failed one; an immediate read that failed delays
 * the next long poll. Only the first failure in a row is logged. */
static void record_failure(struct rj_cell_log_reader *reader,
			   enum rj_cell_store_status status)
{
	uint64_t delay_us = RETRY_US
			    << (reader->failures < 3 ? reader->failures : 3);

	if (!reader->failures)
		rj_log_event(
			"log_lost",
			RJ_LOG_TEXT("log", rj_cell_topic_string[reader->topic]),
			RJ_LOG_TEXT("why", rj_cell_store_status_string[status]),
			RJ_LOG_NUMBER("from", reader->next),
			RJ_LOG_AGE_MS("confirmed_ms",
				      rj_cell_log_reader_age_us(
					      reader, reader->now_us)));
	reader->failures++;
	if (delay_us > RETRY_MAX_US)
		delay_us = RETRY_MAX_US;
	reader->due_us = reader->now_us + delay_us;
}

/* Resets the failure count, and logs the recovery if there was one. */
static void record_success(struct rj_cell_log_reader *reader)
{
	if (reader->failures)
		rj_log_event(
			"log_regained",
			RJ_LOG_TEXT("log", rj_cell_topic_string[reader->topic]),
			RJ_LOG_NUMBER("failures", reader->failures));
	reader->failures = 0;
	reader->answered_us = reader->now_us;
}

/* Passes on the records that are new; a long poll and an immediate read may
 * return the same ones. */
static void take_records(struct rj_cell_log_reader *reader,
			 const struct rj_cell_store_reply *reply)
{
	for (uint32_t i = 0; i < reply->count; i++) {
		if (reply->records[i].offset < reader->next)
			continue;
		reader->next = reply->records[i].offset + 1;
		reader->ops->record(reader->private_data, &reply->records[i]);
	}
	if (reply->next > reader->next)
		reader->next = reply->next;
}

/* Returns the time between the marks before and after one. */
static uint64_t gap_without(const struct rj_cell_log_reader *reader,
			    uint32_t index)
{
	return reader->marks[index + 1].sent_us -
	       reader->marks[index - 1].sent_us;
}

/* Drops the mark that leaves the smallest gap, so that the others stay spread
 * over the lag of the reader, however long it is and however often it reads. */
static void drop_mark(struct rj_cell_log_reader *reader)
{
	uint32_t least = 1;

	for (uint32_t i = 2; i + 1 < reader->mark_count; i++)
		if (gap_without(reader, i) < gap_without(reader, least))
			least = i;
	reader->mark_count--;
	memmove(&reader->marks[least], &reader->marks[least + 1],
		(reader->mark_count - least) * sizeof(reader->marks[0]));
}

/*
 * Records the end of the log that the answer to a read reported, and confirms
 * the log up to the latest reported end that has been passed.
 *
 * Guards against an age that grows with the time since the end was last
 * reached: at a high rate of records a reader may be a fraction of a second
 * behind all the time.
 */
static void confirm(struct rj_cell_log_reader *reader, uint64_t sent_us,
		    uint64_t end)
{
	uint32_t passed = 0;

	if (reader->next >= end) {
		reader->confirmed_us = MAX(reader->confirmed_us, sent_us);
		reader->mark_count = 0;
		return;
	}
	while (passed < reader->mark_count &&
	       reader->marks[passed].end <= reader->next) {
		reader->confirmed_us = MAX(reader->confirmed_us,
					   reader->marks[passed].sent_us);
		passed++;
	}
	reader->mark_count -= passed;
	memmove(reader->marks, &reader->marks[passed],
		reader->mark_count * sizeof(reader->marks[0]));
	if (reader->mark_count == RJ_CELL_LOG_READER_MARKS)
		drop_mark(reader);
	reader->marks[reader->mark_count++] =
		(struct rj_cell_log_mark){ end, sent_us };
}

/* Loads again, because the records at the current offset have expired. */
static void reload(struct rj_cell_log_reader *reader)
{
	rj_log_event("log_reload",
		     RJ_LOG_TEXT("log", rj_cell_topic_string[reader->topic]),
		     RJ_LOG_NUMBER("from", reader->next));
	rj_cell_log_reader_start(reader, reader->now_us);
}

/* Returns the reader of an answered call, and updates its time; NULL if the call
 * is of an earlier generation, and was freed. */
static struct rj_cell_log_reader *
reader_of_answer(struct call *call, const struct rj_cell_store_reply *reply)
{
	struct rj_cell_log_reader *reader = call->reader;

	if (call->generation != reader->generation) {
		talloc_free(call);
		return NULL;
	}
	reader->now_us = reply->now_us;
	return reader;
}

/* Handles the answer to a read. */
static void read_done(void *private_data,
		      const struct rj_cell_store_reply *reply)
{
	struct call *call = private_data;
	struct rj_cell_log_reader *reader = reader_of_answer(call, reply);
	bool reached;

	if (!reader)
		return;
	if (call->immediate)
		reader->immediate_in_flight = false;
	else
		reader->poll_in_flight = false;
	if (reply->status == RJ_CELL_STORE_EXPIRED) {
		reload(reader);
	} else if (reply->status != RJ_CELL_STORE_OK) {
		record_failure(reader, reply->status);
		end_syncs(reader, call->sent_us, false);
	} else {
		record_success(reader);
		take_records(reader, reply);
		confirm(reader, call->sent_us, reply->end);
		reached = reader->next >= reply->end;
		if (reached)
			reader->caught_up = true;
		if (!call->immediate)
			reader->due_us =
				reached ? reader->now_us + reader->pause_us :
					  reader->now_us;
		end_syncs(reader, reader->confirmed_us, true);
	}
	reader->ops->progress(reader->private_data, reader);
	/* Syncs added while the immediate read was in flight need another
	 * one. */
	if (call->immediate && reader->state == RJ_CELL_LOG_READER_READING &&
	    !reader->immediate_in_flight &&
	    reader->syncs.next != &reader->syncs)
		send_read(reader, true);
	talloc_free(call);
}

/* Returns the key after which the page that follows begins, or NULL. */
static const char *last_key(const struct rj_cell_store_reply *reply)
{
	if (reply->after)
		return reply->after;
	return reply->count ? reply->records[reply->count - 1].key : NULL;
}

/* Handles a page of newest records. */
static void newest_done(void *private_data,
			const struct rj_cell_store_reply *reply)
{
	struct call *call = private_data;
	struct rj_cell_log_reader *reader = reader_of_answer(call, reply);

	if (!reader)
		return;
	reader->poll_in_flight = false;
	if (reply->status != RJ_CELL_STORE_OK) {
		record_failure(reader, reply->status);
		end_syncs(reader, call->sent_us, false);
		talloc_free(call);
		return;
	}
	record_success(reader);
	/* Records may be appended between the pages of a load: reading
	 * continues at the end offset that came with the first page. */
	if (!reader->first_page_loaded)
		reader->next = reader->loaded_end = reply->end;
	reader->first_page_loaded = true;
	for (uint32_t i = 0; i < reply->count; i++)
		reader->ops->record(reader->private_data, &reply->records[i]);
	talloc_free(reader->after);
	reader->after = talloc_strdup(reader->mem, last_key(reply));
	if (!reply->more || !reply->count) {
		reader->state = RJ_CELL_LOG_READER_READING;
		if (reader->ops->load_end)
			reader->ops->load_end(reader->private_data);
	}
	reader->due_us = reader->now_us;
	talloc_free(call);
	rj_cell_log_reader_tick(reader, reader->now_us);
}

/* Requests the next page of newest records. */
static void send_newest(struct rj_cell_log_reader *reader)
{
	struct rj_cell_store_done done = { newest_done,
					   call_new(reader, false) };

	reader->poll_in_flight = true;
	reader->store->ops->newest(reader->store, reader->topic, reader->after,
				   done);
}

/* Reads from the current offset; an immediate read does not wait for
 * records. */
static void send_read(struct rj_cell_log_reader *reader, bool immediate)
{
	struct rj_cell_store_done done = { read_done,
					   call_new(reader, immediate) };
	uint32_t wait_ms =
		immediate || !reader->caught_up ? 0 : reader->wait_ms;

	if (immediate)
		reader->immediate_in_flight = true;
	else
		reader->poll_in_flight = true;
	reader->store->ops->read(reader->store, reader->topic, reader->next,
				 wait_ms, done);
}

/*
 * Starts or restarts with a load of the newest record of each key.
 */
void rj_cell_log_reader_start(struct rj_cell_log_reader *reader,
			      uint64_t now_us)
{
	rj_cell_log_reader_stop(reader);
	reader->state = RJ_CELL_LOG_READER_LOADING;
	if (reader->ops->load_begin)
		reader->ops->load_begin(reader->private_data);
	rj_cell_log_reader_tick(reader, now_us);
}

/*
 * Stops reading. Answers in flight are ignored, and waiting syncs fail.
 */
void rj_cell_log_reader_stop(struct rj_cell_log_reader *reader)
{
	reader->state = RJ_CELL_LOG_READER_IDLE;
	reader->generation++;
	reader->caught_up = false;
	reader->first_page_loaded = false;
	reader->mark_count = 0;
	reader->poll_in_flight = false;
	reader->immediate_in_flight = false;
	reader->history_in_flight = false;
	reader->history_next = reader->history_end;
	reader->due_us = 0;
	TALLOC_FREE(reader->after);
	end_syncs(reader, RJ_NEVER_US, false);
}

/*
 * Records that the log extends at least to `end`, as learned from an append.
 */
void rj_cell_log_reader_expect(struct rj_cell_log_reader *reader, uint64_t end,
			       uint64_t now_us)
{
	if (end <= reader->known_end)
		return;
	reader->known_end = end;
	reader->known_us = now_us;
}

/*
 * Reads records that exist according to rj_cell_log_reader_expect, if the long
 * poll does not return them.
 *
 * The store may wake no long poll for up to a second while it discards expired
 * history.
 */
static void read_known_records(struct rj_cell_log_reader *reader)
{
	if (reader->state != RJ_CELL_LOG_READER_READING ||
	    reader->immediate_in_flight || reader->next >= reader->known_end ||
	    reader->now_us < reader->known_us + POLL_LAG_US)
		return;
	reader->known_us = reader->now_us;
	send_read(reader, true);
}

/* Handles the answer to a read of earlier records. */
static void history_done(void *private_data,
			 const struct rj_cell_store_reply *reply)
{
	struct call *call = private_data;
	struct rj_cell_log_reader *reader = reader_of_answer(call, reply);

	if (!reader)
		return;
	reader->history_in_flight = false;
	if (reply->status == RJ_CELL_STORE_OK) {
		for (uint32_t i = 0; i < reply->count; i++)
			if (reply->records[i].offset < reader->history_end)
				reader->ops->history(reader->private_data,
						     &reply->records[i]);
		reader->history_next = reply->next > reader->history_next ?
					       reply->next :
					       reader->history_end;
	} else if (reply->status == RJ_CELL_STORE_EXPIRED) {
		reader->history_next = reader->history_end;
	} else {
		reader->history_due_us = reader->now_us + RETRY_MAX_US;
	}
	talloc_free(call);
}

/* Requests earlier records, if any are left to be read back. */
static void read_history(struct rj_cell_log_reader *reader)
{
	struct rj_cell_store_done done = { history_done, NULL };

	if (reader->history_in_flight ||
	    reader->history_next >= reader->history_end ||
	    reader->now_us < reader->history_due_us)
		return;
	reader->history_in_flight = true;
	done.private_data = call_new(reader, true);
	reader->store->ops->read(reader->store, reader->topic,
				 reader->history_next, 0, done);
}

/*
 * Reads the last `count` records before the end of the last load, for
 * ops->history, beside the records that follow. If some of them have expired,
 * none is read.
 */
void rj_cell_log_reader_read_back(struct rj_cell_log_reader *reader,
				  uint64_t count)
{
	assert(reader->state == RJ_CELL_LOG_READER_READING);
	reader->history_end = reader->loaded_end;
	reader->history_next =
		reader->loaded_end - MIN(reader->loaded_end, count);
	reader->history_due_us = reader->now_us;
}

/*
 * Sends the calls that are due.
 */
void rj_cell_log_reader_tick(struct rj_cell_log_reader *reader, uint64_t now_us)
{
	reader->now_us = now_us;
	read_known_records(reader);
	read_history(reader);
	if (reader->state == RJ_CELL_LOG_READER_IDLE || now_us < reader->due_us)
		return;
	if (reader->poll_in_flight)
		return;
	if (reader->state == RJ_CELL_LOG_READER_LOADING)
		send_newest(reader);
	else
		send_read(reader, false);
}

/*
 * Calls sync->done once all records appended before now are known, or a read
 * failed. `sync` must stay valid until then, unless the caller removes its
 * link.
 */
void rj_cell_log_reader_sync(struct rj_cell_log_reader *reader,
			     struct rj_cell_sync *sync, uint64_t now_us)
{
	reader->now_us = now_us;
	sync->since_us = now_us;
	rj_list_init(&sync->link);
	rj_list_append(&reader->syncs, &sync->link);
	if (reader->state == RJ_CELL_LOG_READER_READING &&
	    !reader->immediate_in_flight)
		send_read(reader, true);
}

/*
 * Upper bound of the age of the reader's data: all records appended longer ago
 * have been passed on. Returns RJ_NEVER_US if the end has not been reached yet.
 */
uint64_t rj_cell_log_reader_age_us(const struct rj_cell_log_reader *reader,
				   uint64_t now_us)
{
	if (!reader->confirmed_us)
		return RJ_NEVER_US;
	return now_us > reader->confirmed_us ? now_us - reader->confirmed_us :
					       0;
}
