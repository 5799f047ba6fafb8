/*
 * Reads the log's streams and appends to them.
 *
 * Each stream has at most one append in flight, which carries all waiting
 * records (group commit), at this instance's share of the log's rate limit.
 * Failed appends are passed to the claims controller, records to the claims or
 * the configuration controller.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

/* Duration of a long poll. A partition that drops answers is detected after
 * this time plus the adapter's margin. */
#define READ_WAIT_US (2 * RJ_US_PER_S)
/* A new configuration ends the long poll at once, and nothing else depends on
 * this stream. */
#define CONFIG_READ_WAIT_US (10 * RJ_US_PER_S)
#define READ_BACKOFF_FIRST_US (100 * RJ_US_PER_MS)
#define READ_BACKOFF_MAX_US (1 * RJ_US_PER_S)
/* Without an answer for this long, nothing new that depends on the log
 * starts. */
#define READ_STALE_US (5 * RJ_US_PER_S)
/* At 50 ms, 24 instances of one platform user stay below 500 appends per
 * second. */
#define APPEND_INTERVAL_US (50 * RJ_US_PER_MS)
#define APPEND_RECORDS_MAX 64

/* Requests the records after the last one read. */
static void read_next(struct rj_core_state *core, struct rj_log_stream *stream)
{
	struct rj_action *action;

	if (stream->reading)
		return;
	stream->reading = true;
	stream->read_sent_us = core->now_us;
	action = rj_actions_add(core->actions, RJ_ACTION_READ);
	action->u.read.stream = stream->stream;
	action->u.read.from = stream->next;
	if (!stream->caught_up)
		return;
	action->u.read.wait_us = stream->stream == RJ_STREAM_CONFIG ?
					 CONFIG_READ_WAIT_US :
					 READ_WAIT_US;
}

/* The back-off after a failed read has passed. */
static void retry_due(struct rj_core_state *core, struct rj_timer *timer)
{
	read_next(core, RJ_CONTAINER(timer, struct rj_log_stream, retry));
}

/* Sends up to APPEND_RECORDS_MAX waiting records in one append, unless one is
 * in flight or the rate limit does not allow it yet. */
static void start_append(struct rj_core_state *core,
			 struct rj_log_stream *stream)
{
	struct rj_action *action;
	uint32_t count = stream->waiting_count;

	if (stream->append_id || !count)
		return;
	if (core->now_us < stream->append_after_us) {
		rj_timer_set(&core->timers, &stream->append_timer,
			     stream->append_after_us);
		return;
	}
	if (count > APPEND_RECORDS_MAX)
		count = APPEND_RECORDS_MAX;
	stream->in_flight = talloc_array(core, struct rj_record, count);
	assert(stream->in_flight);
	for (uint32_t i = 0; i < count; i++) {
		stream->in_flight[i] = *stream->waiting[i];
		talloc_steal(stream->in_flight, stream->waiting[i]);
	}
	stream->in_flight_count = count;
	stream->waiting_count -= count;
	memmove(stream->waiting, stream->waiting + count,
		stream->waiting_count * sizeof(stream->waiting[0]));
	stream->append_id = rj_core_next_id(core);
	stream->append_after_us = core->now_us + APPEND_INTERVAL_US;
	rj_core_count(core, RJ_COUNT_APPENDS);
	action = rj_actions_add(core->actions, RJ_ACTION_APPEND);
	action->u.append.append_id = stream->append_id;
	action->u.append.stream = stream->stream;
	action->u.append.records = stream->in_flight;
	action->u.append.count = count;
}

/* The rate limit allows the next append. */
static void append_due(struct rj_core_state *core, struct rj_timer *timer)
{
	start_append(core,
		     RJ_CONTAINER(timer, struct rj_log_stream, append_timer));
}

/*
 * Initialises the streams; nothing is read yet.
 */
void rj_log_init(struct rj_core_state *core)
{
	for (int i = 0; i < RJ_STREAM_COUNT; i++) {
		struct rj_log_stream *stream = &core->streams[i];

		stream->stream = (enum rj_stream)i;
		stream->backoff_us = READ_BACKOFF_FIRST_US;
		rj_timer_init(&stream->retry, retry_due);
		rj_timer_init(&stream->append_timer, append_due);
	}
}

/*
 * Starts reading every stream at its oldest record.
 */
void rj_log_start(struct rj_core_state *core)
{
	for (int i = 0; i < RJ_STREAM_COUNT; i++)
		read_next(core, &core->streams[i]);
}

/*
 * Queues one record for the next append to `stream`. The record is copied with
 * all that it points to.
 */
void rj_log_append(struct rj_core_state *core, enum rj_stream stream_id,
		   const struct rj_record *record)
{
	struct rj_log_stream *stream = &core->streams[stream_id];
	struct rj_record *copy;

	copy = talloc_memdup(core, record, sizeof(*record));
	assert(copy);
	g_strlcpy(copy->author, core->name, sizeof(copy->author));
	rj_bytes_copy(copy, &copy->spec.body, &record->spec.body);
	rj_bytes_copy(copy, &copy->result, &record->result);
	if (record->member_count)
		copy->members = talloc_memdup(copy, record->members,
					      record->member_count *
						      sizeof(*record->members));
	if (record->config_text)
		copy->config_text = talloc_strdup(copy, record->config_text);
	stream->waiting =
		talloc_realloc(core, stream->waiting, struct rj_record *,
			       stream->waiting_count + 1);
	assert(stream->waiting);
	stream->waiting[stream->waiting_count++] = copy;
	start_append(core, stream);
}

/*
 * Whether no record waits to be appended and no append is in flight.
 */
bool rj_log_idle(const struct rj_core_state *core)
{
	for (int i = 0; i < RJ_STREAM_COUNT; i++)
		if (core->streams[i].append_id ||
		    core->streams[i].waiting_count)
			return false;
	return true;
}

/*
 * Whether work that depends on the log may start: every key still in the log is
 * known here, and a recently sent read was answered.
 *
 * An instance that starts without state, or was paused, would take an old key
 * for a new one and run its job twice. An answer is only as fresh as the time
 * at which its read was sent, since it may have been buffered while this
 * process was paused.
 */
bool rj_log_usable(const struct rj_core_state *core)
{
	const struct rj_log_stream *stream = &core->streams[RJ_STREAM_JOBS];

	return stream->caught_up && core->platform_up &&
	       !core->paused_before_us && !core->ledger.gap_us &&
	       core->now_us < stream->current_as_of_us + READ_STALE_US;
}

/*
 * Why the log is not usable: it is unreachable, or older keys may be missing
 * from what was read.
 */
enum rj_reason rj_log_unavailable_reason(const struct rj_core_state *core)
{
	return core->platform_up ? RJ_REASON_LOG_GAP : RJ_REASON_PLATFORM_DOWN;
}

/* The platform has stopped answering reads. */
static void mark_platform_down(struct rj_core_state *core)
{
	if (!core->platform_up)
		return;
	core->platform_up = false;
	rj_claims_platform_down(core);
}

/*
 * Whether the log still has the records of its whole retention: nothing was
 * trimmed yet, or the oldest record is nearly as old as the retention.
 * Everything still needed was re-appended since then.
 */
static bool covers_retention(const struct rj_core_state *core,
			     const struct rj_records *records)
{
	return !records->oldest ||
	       (records->count &&
		records->records[0].age_us >= core->retention_us / 4 * 3);
}

/*
 * Continues at the oldest record in the log, because this reader is new or
 * records that it had not read were trimmed. If the log covers its retention,
 * it is complete, and the previous state is discarded.
 *
 * A log that was trimmed early has a gap: claims that no instance has
 * re-appended yet are missing, so a key that runs or ran would appear new and
 * its job would run twice. The age of the oldest record shows this.
 * `rj_log_usable` then returns false until a peer without a gap confirms that
 * all it knows was read here, or until the lifetime of every earlier key has
 * passed. The previous state is kept in that case, since no other instance may
 * have it, and records carried by peers take precedence.
 */
static void restart_at_oldest(struct rj_core_state *core,
			      struct rj_log_stream *stream,
			      const struct rj_records *records)
{
	stream->caught_up = false;
	if (stream->stream != RJ_STREAM_JOBS)
		return;
	stream->newest_us = core->now_us;
	core->gap_end_offset = records->oldest;
	core->ledger.gap_us =
		covers_retention(core, records) ? 0 : core->now_us;
	if (!core->ledger.gap_us)
		rj_job_ledger_reset(&core->ledger);
	else
		rj_core_log(core, RJ_LOG_REFUSE, RJ_REASON_LOG_GAP, NULL,
			    "jobs");
}

/* Whether a peer without a gap reports that all it knows was read here. */
static bool peer_confirms_complete(const struct rj_core_state *core)
{
	const struct rj_log_stream *stream = &core->streams[RJ_STREAM_JOBS];
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);

		if (member->log_usable && rj_membership_alive(core, member) &&
		    member->log_from >= core->gap_end_offset &&
		    member->log_next <= stream->next)
			return true;
	}
	return false;
}

/*
 * Ends the gap when older keys can no longer be missing.
 */
void rj_log_check_gap(struct rj_core_state *core)
{
	uint64_t key_lifetime_us;

	if (!core->ledger.gap_us || !core->config)
		return;
	key_lifetime_us = core->config->limits.key_life_s * RJ_US_PER_S;
	if (!peer_confirms_complete(core)) {
		if (core->now_us <= core->ledger.gap_us + key_lifetime_us)
			return;
		rj_job_ledger_mark_incomplete(&core->ledger);
	}
	core->ledger.gap_us = 0;
	core->jobs.plan_wanted = true;
}

/*
 * Fills the range of `jobs` records that has to be read to know what this
 * instance knows.
 */
void rj_log_fill_heartbeat(const struct rj_core_state *core,
			   struct rj_peer_heartbeat *heartbeat)
{
	struct rj_list *at;
	struct rj_list *next;

	heartbeat->log_next = core->streams[RJ_STREAM_JOBS].next;
	heartbeat->log_from = heartbeat->log_next;
	RJ_FOR_EACH (at, next, &core->ledger.entries) {
		const struct rj_job_entry *entry =
			RJ_CONTAINER(at, struct rj_job_entry, link);

		/* An instance that is uncertain about a job confirms
		 * nothing. */
		if (entry->incomplete && !entry->settled)
			heartbeat->log_from = 0;
		if (rj_job_entry_has_state(entry) &&
		    entry->complete_from_offset < heartbeat->log_from)
			heartbeat->log_from = entry->complete_from_offset;
	}
}

/*
 * Appends a void record of no job to a log without recent records, so that a
 * new reader can tell an idle log from one that was trimmed early.
 */
static void append_keepalive(struct rj_core_state *core,
			     struct rj_log_stream *stream)
{
	uint64_t idle_us = core->retention_us / 8;
	struct rj_record record;

	if (!rj_log_usable(core) ||
	    core->now_us < stream->newest_us + idle_us ||
	    !rj_ownership_owns(core, core->domain, stream->next))
		return;
	stream->newest_us = core->now_us;
	memset(&record, 0, sizeof(record));
	record.kind = RJ_RECORD_VOID;
	rj_log_append(core, RJ_STREAM_JOBS, &record);
}

/*
 * Runs the periodic checks of the log.
 */
void rj_log_tick(struct rj_core_state *core)
{
	rj_log_check_gap(core);
	append_keepalive(core, &core->streams[RJ_STREAM_JOBS]);
}

/* Records when the newest record read was appended. */
static void update_newest_time(const struct rj_core_state *core,
			       struct rj_log_stream *stream,
			       const struct rj_records *records)
{
	uint64_t age_us = records->records[records->count - 1].age_us;

	stream->newest_us = age_us < core->now_us ? core->now_us - age_us : 0;
}

/*
 * Applies the result of a read of a stream and continues reading.
 */
void rj_log_receive_records(struct rj_core_state *core,
			    const struct rj_records *records)
{
	struct rj_log_stream *stream = &core->streams[records->stream];

	if (!stream->reading)
		return;
	stream->reading = false;
	/* The read position has changed since: ask again from there. */
	if (records->from != stream->next) {
		read_next(core, stream);
		return;
	}
	stream->backoff_us = READ_BACKOFF_FIRST_US;
	stream->current_as_of_us = stream->read_sent_us;
	core->platform_up = true;
	if (!stream->read_before || records->oldest > stream->next)
		restart_at_oldest(core, stream, records);
	stream->read_before = true;
	stream->oldest = records->oldest;
	core->counters[RJ_COUNT_RECORDS_READ] += records->count;
	if (records->stream == RJ_STREAM_CONFIG) {
		rj_config_controller_apply_records(core, records);
		stream->next = core->config_log.next;
		stream->caught_up = stream->next >= records->head;
	} else {
		stream->next = records->next;
		stream->caught_up = records->next >= records->head;
		stream->tried |= stream->caught_up;
		for (uint32_t i = 0; i < records->count; i++)
			rj_claims_apply_record(core, &records->records[i]);
		if (records->count)
			update_newest_time(core, stream, records);
		rj_log_check_gap(core);
		if (stream->caught_up) {
			core->jobs.plan_wanted = true;
			/* An answer to a read sent before the pause proves
			 * nothing. */
			if (stream->current_as_of_us >= core->paused_before_us)
				core->paused_before_us = 0;
		}
	}
	read_next(core, stream);
}

/*
 * Handles a failed read: retries after an exponential back-off with jitter.
 */
void rj_log_read_failed(struct rj_core_state *core, enum rj_stream stream_id)
{
	struct rj_log_stream *stream = &core->streams[stream_id];

	if (!stream->reading)
		return;
	stream->reading = false;
	stream->tried = true;
	mark_platform_down(core);
	rj_timer_set(&core->timers, &stream->retry,
		     core->now_us +
			     rj_core_jitter_us(core, stream->backoff_us));
	stream->backoff_us *= 2;
	if (stream->backoff_us > READ_BACKOFF_MAX_US)
		stream->backoff_us = READ_BACKOFF_MAX_US;
}

/*
 * Handles the result of an append. After a lost answer the records may still be
 * in the log; reading the log shows this.
 */
void rj_log_appended(struct rj_core_state *core,
		     const struct rj_appended *appended)
{
	struct rj_log_stream *stream = NULL;
	struct rj_record *records;
	uint32_t count;

	for (int i = 0; i < RJ_STREAM_COUNT; i++)
		if (core->streams[i].append_id == appended->append_id)
			stream = &core->streams[i];
	if (!stream || !appended->append_id)
		return;
	records = stream->in_flight;
	count = stream->in_flight_count;
	stream->append_id = 0;
	stream->in_flight = NULL;
	stream->in_flight_count = 0;
	if (stream->stream == RJ_STREAM_JOBS &&
	    appended->status != RJ_APPEND_OK)
		for (uint32_t i = 0; i < count; i++)
			rj_claims_append_failed(core, &records[i],
						appended->status);
	talloc_free(records);
	start_append(core, stream);
}
