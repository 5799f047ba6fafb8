/*
 * Reading the log's streams and appending to them.
 *
 * Appends of one stream go one at a time and carry all that waits (group
 * commit), at this instance's share of the log's rate. What became of an
 * append is told to the claims controller; what was read, to the claims or
 * the configuration controller.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

/* A cut that answers nothing shows after this long and the adapter's slack. */
#define READ_WAIT_US (2 * RJ_US_PER_S)
/* A publication ends the wait at once; nothing else hangs on this stream. */
#define CONFIG_READ_WAIT_US (10 * RJ_US_PER_S)
#define READ_BACKOFF_FIRST_US (100 * RJ_US_PER_MS)
#define READ_BACKOFF_MAX_US (1 * RJ_US_PER_S)
/* Without an answer for this long, nothing new may depend on the log. */
#define READ_STALE_US (5 * RJ_US_PER_S)
/* 24 instances of one user stay under 500 appends a second at 50 ms. */
#define APPEND_INTERVAL_US (50 * RJ_US_PER_MS)
#define APPEND_RECORDS_MAX 64

/* Ask for what follows the last record that was read. */
static void read_next(struct rj_core_state *core, struct rj_log_stream *stream)
{
	struct rj_action *action;

	if (stream->reading)
		return;
	stream->reading = true;
	stream->asked_us = core->now_us;
	action = rj_actions_add(core->actions, RJ_ACTION_READ);
	action->u.read.stream = stream->stream;
	action->u.read.from = stream->next;
	if (!stream->caught_up)
		return;
	action->u.read.wait_us = stream->stream == RJ_STREAM_CONFIG ?
					 CONFIG_READ_WAIT_US :
					 READ_WAIT_US;
}

/* The back-off after a failed read is over. */
static void retry_due(struct rj_core_state *core, struct rj_timer *timer)
{
	read_next(core, RJ_CONTAINER(timer, struct rj_log_stream, retry));
}

/* Send all that waits in one append, unless one is out already. */
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

/* This instance's share allows the next append. */
static void append_due(struct rj_core_state *core, struct rj_timer *timer)
{
	start_append(core,
		     RJ_CONTAINER(timer, struct rj_log_stream, append_timer));
}

/*
 * Make the streams, not read yet.
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
 * Start reading every stream from its oldest record.
 */
void rj_log_start(struct rj_core_state *core)
{
	for (int i = 0; i < RJ_STREAM_COUNT; i++)
		read_next(core, &core->streams[i]);
}

/*
 * Queue one record for the next append of `stream`; it is copied with all
 * that it points to.
 */
void rj_log_append(struct rj_core_state *core, enum rj_stream which,
		   const struct rj_record *record)
{
	struct rj_log_stream *stream = &core->streams[which];
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
 * Whether nothing waits to be appended and no append is out.
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
 * Whether work may be started that depends on the log: every key still in
 * the log is known here, and a read that was sent a short while ago was answered.
 *
 * Guards against an instance that starts empty, or was paused: it would take
 * an old key for a new one and run its job twice. An answer proves nothing
 * beyond the time at which its read was sent, since it may have lain here
 * while this process was paused.
 */
bool rj_log_usable(const struct rj_core_state *core)
{
	const struct rj_log_stream *stream = &core->streams[RJ_STREAM_JOBS];

	return stream->caught_up && core->platform_up && !core->woke_us &&
	       !core->ledger.gap_us &&
	       core->now_us < stream->fresh_us + READ_STALE_US;
}

/*
 * Why the log is not usable: it cannot be reached, or older keys may be
 * missing in what was read of it.
 */
enum rj_reason rj_log_unavailable_reason(const struct rj_core_state *core)
{
	return core->platform_up ? RJ_REASON_LOG_GAP : RJ_REASON_PLATFORM_DOWN;
}

/* The platform has stopped answering, or its answers are not to be had. */
static void mark_platform_down(struct rj_core_state *core)
{
	if (!core->platform_up)
		return;
	core->platform_up = false;
	rj_claims_platform_down(core);
}

/*
 * What a whole log says can be known only from a record that is nearly as old
 * as the log keeps any; all that still matters was carried since then.
 */
static bool covers_retention(const struct rj_core_state *core,
			     const struct rj_records *records)
{
	return !records->oldest ||
	       (records->count &&
		records->records[0].age_us >= core->retention_us / 4 * 3);
}

/*
 * This reader goes on at the oldest record that the log keeps, because it is
 * new, or records were dropped that it had not seen. A log that reaches back
 * says all, so what was known before is forgotten.
 *
 * Guards against a log that was trimmed before its time, whose claims nobody
 * has carried yet: a key that runs or ran would seem new, and its job would
 * run twice. Such a log shows by the age of its oldest record. Until a peer
 * that has no gap says that what it knows can be read here, or every key from
 * before has ended its life, `rj_log_usable` says no. What was known before
 * is kept then: nobody else may know it, and what a peer carries counts more.
 */
static void restart_at_oldest(struct rj_core_state *core,
			      struct rj_log_stream *stream,
			      const struct rj_records *records)
{
	stream->caught_up = false;
	if (stream->stream != RJ_STREAM_JOBS)
		return;
	stream->newest_us = core->now_us;
	core->gap_from = records->oldest;
	core->ledger.gap_us =
		covers_retention(core, records) ? 0 : core->now_us;
	if (!core->ledger.gap_us)
		rj_job_ledger_reset(&core->ledger);
	else
		rj_core_log(core, RJ_LOG_REFUSE, RJ_REASON_LOG_GAP, NULL,
			    "jobs");
}

/* Whether a peer without a gap says that all it knows was read here. */
static bool peer_confirms_complete(const struct rj_core_state *core)
{
	const struct rj_log_stream *stream = &core->streams[RJ_STREAM_JOBS];
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->membership.members) {
		const struct rj_member_view *member =
			RJ_CONTAINER(at, struct rj_member_view, link);

		if (member->log_usable && rj_membership_alive(core, member) &&
		    member->log_from >= core->gap_from &&
		    member->log_next <= stream->next)
			return true;
	}
	return false;
}

/*
 * Look whether older keys may still be missing here.
 */
void rj_log_check_gap(struct rj_core_state *core)
{
	uint64_t life_us;

	if (!core->ledger.gap_us || !core->config)
		return;
	life_us = core->config->limits.key_life_s * RJ_US_PER_S;
	if (!peer_confirms_complete(core)) {
		if (core->now_us <= core->ledger.gap_us + life_us)
			return;
		rj_job_ledger_doubt(&core->ledger);
	}
	core->ledger.gap_us = 0;
	core->jobs.plan_wanted = true;
}

/*
 * Say from where on the jobs' records can be read to know what is known here.
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

		/* Who doubts a job vouches for nothing. */
		if (entry->doubtful && !entry->settled)
			heartbeat->log_from = 0;
		if (rj_job_entry_matters(entry) &&
		    entry->whole_from < heartbeat->log_from)
			heartbeat->log_from = entry->whole_from;
	}
}

/*
 * Append a record that says nothing when the log has been quiet for a while,
 * so that who starts on it can tell a quiet log from one that was trimmed
 * before its time.
 */
static void append_keepalive(struct rj_core_state *core,
			     struct rj_log_stream *stream)
{
	uint64_t quiet_us = core->retention_us / 8;
	struct rj_record record;

	if (!rj_log_usable(core) ||
	    core->now_us < stream->newest_us + quiet_us ||
	    !rj_ownership_owns(core, core->domain, stream->next))
		return;
	stream->newest_us = core->now_us;
	memset(&record, 0, sizeof(record));
	record.kind = RJ_RECORD_VOID;
	rj_log_append(core, RJ_STREAM_JOBS, &record);
}

/*
 * The regular round.
 */
void rj_log_tick(struct rj_core_state *core)
{
	rj_log_check_gap(core);
	append_keepalive(core, &core->streams[RJ_STREAM_JOBS]);
}

/* Note when the newest record that was read was appended. */
static void update_newest_time(const struct rj_core_state *core,
			       struct rj_log_stream *stream,
			       const struct rj_records *records)
{
	uint64_t age_us = records->records[records->count - 1].age_us;

	stream->newest_us = age_us < core->now_us ? core->now_us - age_us : 0;
}

/*
 * Apply what a read of a stream brought, and read on.
 */
void rj_log_receive_records(struct rj_core_state *core,
			    const struct rj_records *records)
{
	struct rj_log_stream *stream = &core->streams[records->stream];

	if (!stream->reading)
		return;
	stream->reading = false;
	/* The place to read from has moved since: ask again from there. */
	if (records->from != stream->next) {
		read_next(core, stream);
		return;
	}
	stream->backoff_us = READ_BACKOFF_FIRST_US;
	stream->fresh_us = stream->asked_us;
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
			/* An answer from before the pause proves nothing. */
			if (stream->fresh_us >= core->woke_us)
				core->woke_us = 0;
		}
	}
	read_next(core, stream);
}

/*
 * A read was not answered: try again after a back-off with jitter.
 */
void rj_log_read_failed(struct rj_core_state *core, enum rj_stream which)
{
	struct rj_log_stream *stream = &core->streams[which];

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
 * What became of an append. A lost answer is not a refusal: the records may
 * be in the log, and reading will tell.
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
