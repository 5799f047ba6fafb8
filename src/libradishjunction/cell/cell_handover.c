#include "private/cell_handover.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_owner.h"
#include "private/cell_record.h"
#include "private/log_event.h"

#define SHARD_SEED 0x5ead
/* Minimum time between two appends with parts, whatever the setting: an owner's
 * heartbeats. Whether a part is due is checked at this interval. */
#define WRITE_INTERVAL_US (400 * RJ_US_PER_MS)
/* Parts are added to appends that are made anyway. While the cell is idle there
 * are none; then an append is made for a part that has waited this long. */
#define WAIT_MAX_US (2 * RJ_US_PER_S)
/* A part without changes is written again after this, as records of twice this
 * age are refused. */
#define REFRESH_US (RJ_CELL_SNAPSHOT_AGE_MAX_MS / 2 * RJ_US_PER_MS)
/* How long the rows of workers that are not listed are kept, so that an owner
 * that is replaced soon stores them again. Longer than a worker is away that
 * comes back under its incarnation. */
#define UNLISTED_ROWS_US (60 * RJ_US_PER_S)
#define LOG_INTERVAL_US (10 * RJ_US_PER_S)

/* Smallest noticeable changes. */
#define PACE_LOG_STEP 0.03
#define PACE_KNOWN_STEP_PERCENT 10
#define BAD_ENDS_STEP 0.25
#define EXPOSURE_STEP_S 60
#define PROBATION_STEP_US RJ_US_PER_S

/* A worker as a former owner has stored it. */
struct row {
	struct rj_cell_snapshot_worker worker;
	bool applied;
};

/* A worker or row to be stored, and its shard. */
struct source {
	uint32_t shard;
	const struct rj_cell_worker *worker; /* NULL: `row` */
	const struct row *row;
};

/* Context of a record until it is stored. */
struct handover_write {
	struct rj_cell_handover *handover;
	uint32_t generation;
	uint32_t part;
	uint64_t former_us; /* `written_us` of the part before */
};

/* What there is to store now. */
struct contents {
	GArray *sources; /* struct source */
	uint64_t digests[RJ_CELL_HANDOVER_PARTS];
	/* The last part. */
	struct rj_cell_snapshot last;
	struct rj_cell_queue_mean queues[RJ_CELL_SNAPSHOT_QUEUES_MAX];
	struct rj_cell_account_use accounts[RJ_CELL_SNAPSHOT_ACCOUNTS_MAX];
};

static bool is_enabled(const struct rj_cell_handover *handover)
{
	return handover->owner->limits.features.snapshot_ms != 0;
}

/*
 * Initializes a handover of `owner`, which must outlive it.
 */
void rj_cell_handover_init(struct rj_cell_handover *handover,
			   struct rj_cell_owner *owner)
{
	memset(handover, 0, sizeof(*handover));
	handover->owner = owner;
	handover->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

void rj_cell_handover_finish(struct rj_cell_handover *handover)
{
	g_hash_table_destroy(handover->rows);
	TALLOC_FREE(handover->former);
}

/*
 * Begins a term: nothing is read and nothing is written yet.
 */
void rj_cell_handover_begin(struct rj_cell_handover *handover)
{
	const struct rj_cell_handover_counters counters = handover->counters;
	struct rj_cell_owner *owner = handover->owner;

	rj_cell_handover_finish(handover);
	rj_cell_handover_init(handover, owner);
	handover->counters = counters;
	handover->logged = counters;
}

/* Keeps the rows of a part. */
static void keep_rows(struct rj_cell_handover *handover,
		      const struct rj_cell_snapshot *snapshot)
{
	for (uint32_t i = 0; i < snapshot->worker_count; i++) {
		struct row *row = g_new0(struct row, 1);

		row->worker = snapshot->workers[i];
		g_hash_table_replace(handover->rows, row->worker.id, row);
		handover->paces_read += row->worker.pace.samples != 0;
	}
	handover->rows_read += snapshot->worker_count;
}

/* Keeps the part with queues and accounts. */
static void keep_last_part(struct rj_cell_handover *handover,
			   struct rj_cell_snapshot *snapshot, uint64_t age_us)
{
	uint64_t now_us = handover->owner->now_us;

	TALLOC_FREE(handover->former);
	handover->former = snapshot;
	handover->former_us = now_us - MIN(now_us, age_us);
}

/*
 * Reads a record of a former owner; `id` is the number of its part. Call it
 * between `_begin` and `_complete`.
 */
void rj_cell_handover_read(struct rj_cell_handover *handover, const char *id,
			   const struct rj_cell_record *record)
{
	const struct rj_cell_owner *owner = handover->owner;
	const struct rj_cell_snapshot_reader reader = { owner->token,
							owner->wall_ms,
							owner->now_us };
	char *end;
	unsigned long part = strtoul(id, &end, 16);
	struct rj_cell_snapshot *snapshot;
	enum rj_cell_snapshot_status status;
	uint64_t age_us;

	/* A load that begins anew passes records on again. */
	if (!is_enabled(handover) || *end || part >= RJ_CELL_HANDOVER_PARTS ||
	    handover->parts[part].read)
		return;
	snapshot = talloc_zero(owner->mem, struct rj_cell_snapshot);
	assert(snapshot);
	status = rj_cell_snapshot_decode(snapshot, record->value, &reader,
					 snapshot);
	handover->parts[part].read = status + 1;
	if (status != RJ_CELL_SNAPSHOT_ACCEPTED) {
		handover->counters.refused++;
		talloc_free(snapshot);
		return;
	}
	age_us = rj_cell_snapshot_age_us(snapshot, &reader);
	handover->age_us = MAX(handover->age_us, age_us);
	keep_rows(handover, snapshot);
	if (part == RJ_CELL_HANDOVER_SHARDS)
		keep_last_part(handover, snapshot, age_us);
	else
		talloc_free(snapshot);
}

/*
 * Applies the mean run times of queues. Call it before jobs are adopted, as
 * their objectives depend on them.
 */
void rj_cell_handover_complete_queues(struct rj_cell_handover *handover)
{
	const struct rj_cell_snapshot *former = handover->former;

	for (uint32_t i = 0; former && i < former->queue_count; i++)
		rj_cell_forecast_import(&handover->owner->forecast,
					&former->queues[i]);
}

/* Logs what was read, with the number of records that were refused for each
 * reason. */
static void log_read(const struct rj_cell_handover *handover)
{
	uint32_t counts[RJ_CELL_SNAPSHOT_STATUS_COUNT] = { 0 };
	uint32_t refused = 0;

	for (uint32_t i = 0; i < RJ_CELL_HANDOVER_PARTS; i++)
		if (handover->parts[i].read)
			counts[handover->parts[i].read - 1]++;
	for (int i = RJ_CELL_SNAPSHOT_ACCEPTED + 1;
	     i < RJ_CELL_SNAPSHOT_STATUS_COUNT; i++)
		refused += counts[i];
	rj_log_event(
		"snapshot_read", RJ_LOG_NUMBER("token", handover->owner->token),
		RJ_LOG_NUMBER("records", counts[RJ_CELL_SNAPSHOT_ACCEPTED]),
		RJ_LOG_NUMBER("workers", handover->rows_read),
		RJ_LOG_NUMBER("paces", handover->paces_read),
		RJ_LOG_NUMBER("refused", refused),
		RJ_LOG_NUMBER("damaged", counts[RJ_CELL_SNAPSHOT_DAMAGED]),
		RJ_LOG_NUMBER("other_version",
			      counts[RJ_CELL_SNAPSHOT_OTHER_VERSION]),
		RJ_LOG_NUMBER("old", counts[RJ_CELL_SNAPSHOT_OLD]),
		RJ_LOG_NUMBER("higher_token",
			      counts[RJ_CELL_SNAPSHOT_HIGHER_TOKEN]),
		RJ_LOG_AGE_MS("age_ms", handover->age_us));
}

/*
 * Applies the urgent demand, and the rows of workers whose incarnation is
 * known. Call it once the jobs are adopted.
 */
void rj_cell_handover_complete(struct rj_cell_handover *handover)
{
	struct rj_cell_owner *owner = handover->owner;
	struct rj_list *at;
	struct rj_list *next;

	if (!is_enabled(handover))
		return;
	if (handover->former)
		rj_cell_forecast_import_urgent(
			&owner->forecast, handover->former->urgent_accelerators,
			handover->former_us, owner->now_us);
	if (handover->former && owner->limits.features.account_shares)
		rj_cell_account_shares_import(
			&owner->account_shares, handover->former->accounts,
			handover->former->account_count, handover->former_us);
	RJ_FOR_EACH (at, next, &owner->fleet.workers)
		rj_cell_handover_worker_listed(
			handover,
			RJ_CONTAINER(at, struct rj_cell_worker, link));
	handover->rows_until_us = owner->now_us + UNLISTED_ROWS_US;
	log_read(handover);
}

/* Applies a row to a worker of the same incarnation. What this owner has learnt
 * of the worker's failures so far is added. */
static void apply_row(struct row *row, struct rj_cell_worker *worker)
{
	const struct rj_cell_worker_history *former = &row->worker.history;
	struct rj_cell_worker_history *history = &worker->history;

	worker->pace = row->worker.pace;
	if (row->applied)
		return;
	row->applied = true;
	history->bad_ends += former->bad_ends;
	history->exposure_s += former->exposure_s;
	history->updated_us = MAX(history->updated_us, former->updated_us);
	history->probation_until_us =
		MAX(history->probation_until_us, former->probation_until_us);
}

/*
 * Applies the row of a worker that has been listed with its incarnation and has
 * not answered yet. In a large fleet tasks start on such workers.
 */
void rj_cell_handover_worker_listed(struct rj_cell_handover *handover,
				    struct rj_cell_worker *worker)
{
	struct row *row = g_hash_table_lookup(handover->rows, worker->id);

	if (!row || worker->incarnation || !worker->heartbeat.incarnation)
		return;
	if (row->worker.incarnation == worker->heartbeat.incarnation) {
		apply_row(row, worker);
		return;
	}
	/* The entry may be older than the row: the former owner met the worker
	 * before its new incarnation wrote one. */
	if (!row->applied)
		return;
	/* It has restarted since the row was applied. */
	rj_cell_pace_init(&worker->pace);
	g_hash_table_remove(handover->rows, worker->id);
}

/*
 * Applies the row of a worker that has answered with its incarnation, after its
 * pace was reset.
 */
void rj_cell_handover_worker_met(struct rj_cell_handover *handover,
				 struct rj_cell_worker *worker)
{
	struct row *row = g_hash_table_lookup(handover->rows, worker->id);

	if (!row)
		return;
	if (row->worker.incarnation == worker->incarnation)
		apply_row(row, worker);
	g_hash_table_remove(handover->rows, worker->id);
}

/* Whether the owner knows an incarnation of the worker of a row, so that the
 * worker is stored and not the row. */
static bool is_row_of_known_worker(const struct rj_cell_handover *handover,
				   const struct row *row)
{
	const struct rj_cell_worker *worker =
		rj_cell_fleet_find(&handover->owner->fleet, row->worker.id);

	return worker && rj_cell_worker_expected_incarnation(worker);
}

/* Whether no worker with the incarnation of a row is listed. */
static gboolean is_unclaimed(gpointer id, gpointer row, gpointer handover)
{
	return !((const struct row *)row)->applied ||
	       !is_row_of_known_worker(handover, row);
}

/* Drops at intervals the rows of workers that did not come back, and of those
 * that have left before they answered: each owner would store them again as
 * new. */
static void drop_unclaimed(struct rj_cell_handover *handover)
{
	uint64_t now_us = handover->owner->now_us;

	if (now_us < handover->rows_until_us)
		return;
	handover->rows_until_us = now_us + UNLISTED_ROWS_US;
	g_hash_table_foreach_remove(handover->rows, is_unclaimed, handover);
}

static struct rj_cell_snapshot_worker row_of(const struct source *source)
{
	struct rj_cell_snapshot_worker row;

	if (!source->worker)
		return source->row->worker;
	memcpy(row.id, source->worker->id, sizeof(row.id));
	row.incarnation = rj_cell_worker_expected_incarnation(source->worker);
	row.pace = source->worker->pace;
	row.history = source->worker->history;
	return row;
}

/* Whether something is known of a worker. */
static bool has_contents(const struct rj_cell_snapshot_worker *row,
			 uint64_t now_us)
{
	return row->pace.samples || row->history.bad_ends > 0 ||
	       row->history.exposure_s > 0 ||
	       row->history.probation_until_us > now_us;
}

/* Returns a number that changes when a row has changed noticeably. */
static uint64_t digest_of(const struct rj_cell_snapshot_worker *row,
			  uint64_t id_hash)
{
	const uint64_t steps[] = {
		row->incarnation,
		(uint64_t)llround(row->pace.log_ratio / PACE_LOG_STEP),
		rj_cell_pace_known_percent(&row->pace) /
			PACE_KNOWN_STEP_PERCENT,
		row->pace.samples ? 1 : 0,
		(uint64_t)llround(row->history.bad_ends / BAD_ENDS_STEP),
		(uint64_t)llround(row->history.exposure_s / EXPOSURE_STEP_S),
		row->history.probation_until_us / PROBATION_STEP_US,
	};

	return rj_hash64(steps, sizeof(steps), id_hash);
}

/* Adds a worker to the contents of its shard. */
static void add_source(struct contents *contents, struct source source,
		       uint64_t now_us)
{
	const struct rj_cell_snapshot_worker row = row_of(&source);
	uint64_t id_hash;

	if (!row.incarnation || !has_contents(&row, now_us))
		return;
	id_hash = rj_hash64_string(row.id, SHARD_SEED);
	source.shard = (uint32_t)(id_hash % RJ_CELL_HANDOVER_SHARDS);
	contents->digests[source.shard] += digest_of(&row, id_hash);
	g_array_append_val(contents->sources, source);
}

/* Collects workers, and rows of workers that are not known yet, so that an
 * owner that is replaced soon hands them on. */
static void collect_workers(struct rj_cell_handover *handover,
			    struct contents *contents)
{
	const struct rj_cell_owner *owner = handover->owner;
	const struct rj_list *at;
	GHashTableIter iter;
	gpointer row;

	handover->paces_known = 0;
	for (at = owner->fleet.workers.next; at != &owner->fleet.workers;
	     at = at->next) {
		const struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, link);

		handover->paces_known += worker->listed && worker->pace.samples;
		add_source(contents, (struct source){ .worker = worker },
			   owner->now_us);
	}
	g_hash_table_iter_init(&iter, handover->rows);
	while (g_hash_table_iter_next(&iter, NULL, &row))
		if (!is_row_of_known_worker(handover, row))
			add_source(contents, (struct source){ .row = row },
				   owner->now_us);
}

/* Collects queues, urgent demand and accounts. */
static void collect_last_part(struct rj_cell_handover *handover,
			      struct contents *contents)
{
	const struct rj_cell_owner *owner = handover->owner;
	struct rj_cell_snapshot *last = &contents->last;
	struct rj_bytes bytes;

	last->queues = contents->queues;
	last->queue_count =
		rj_cell_forecast_export(&owner->forecast, contents->queues,
					RJ_CELL_SNAPSHOT_QUEUES_MAX);
	last->urgent_accelerators =
		(uint32_t)lround(rj_cell_forecast_urgent_accelerators(
			&owner->forecast, owner->now_us));
	last->accounts = contents->accounts;
	if (owner->limits.features.account_shares)
		last->account_count = rj_cell_account_shares_export(
			&owner->account_shares, contents->accounts,
			RJ_CELL_SNAPSHOT_ACCOUNTS_MAX, owner->now_us);
	if (!last->queue_count && !last->urgent_accelerators &&
	    !last->account_count)
		return;
	bytes = rj_cell_snapshot_encode(owner->mem, last, 0);
	contents->digests[RJ_CELL_HANDOVER_SHARDS] =
		rj_hash64(bytes.data, bytes.length, SHARD_SEED);
	talloc_free((void *)bytes.data);
}

/* Whether a part is to be written: it has changed, or it would soon be too
 * old. */
static bool is_due(const struct rj_cell_handover *handover,
		   const struct contents *contents, uint32_t part)
{
	const struct rj_cell_handover_part *stored = &handover->parts[part];
	const struct rj_cell_owner *owner = handover->owner;
	uint64_t digest = contents->digests[part];

	return digest != stored->digest ||
	       (digest && owner->now_us >= stored->written_us + REFRESH_US);
}

/* Returns the part that is due and was written the longest ago, or -1. */
static int next_part(const struct rj_cell_handover *handover,
		     const struct contents *contents)
{
	int oldest = -1;

	for (uint32_t i = 0; i < RJ_CELL_HANDOVER_PARTS; i++)
		if (is_due(handover, contents, i) &&
		    (oldest < 0 || handover->parts[i].written_us <
					   handover->parts[oldest].written_us))
			oldest = (int)i;
	return oldest;
}

/* Returns the bytes that may still be appended within the last second. At least
 * one record may be, if there was none. */
static size_t budget(const struct rj_cell_handover *handover)
{
	size_t used = 0;

	for (uint32_t i = 0; i < RJ_CELL_HANDOVER_APPENDS; i++)
		if (handover->appends[i].bytes &&
		    handover->owner->now_us <
			    handover->appends[i].at_us + RJ_US_PER_S)
			used += handover->appends[i].bytes;
	if (!used)
		return SIZE_MAX;
	return RJ_CELL_HANDOVER_BYTES_PER_S -
	       MIN(used, RJ_CELL_HANDOVER_BYTES_PER_S);
}

/* Returns when the oldest of the appends within the last second no longer
 * counts. */
static uint64_t budget_due_us(const struct rj_cell_handover *handover)
{
	uint64_t now_us = handover->owner->now_us;
	uint64_t due_us = now_us + RJ_US_PER_S;

	for (uint32_t i = 0; i < RJ_CELL_HANDOVER_APPENDS; i++) {
		uint64_t until_us = handover->appends[i].at_us + RJ_US_PER_S;

		if (handover->appends[i].bytes && now_us < until_us)
			due_us = MIN(due_us, until_us);
	}
	return due_us;
}

/* Returns the slot for the present append: that of the oldest one, which was
 * made more than a second ago. */
static struct rj_cell_handover_append *
obtain_append(struct rj_cell_handover *handover)
{
	struct rj_cell_handover_append *oldest = &handover->appends[0];
	uint64_t now_us = handover->owner->now_us;

	for (uint32_t i = 1; i < RJ_CELL_HANDOVER_APPENDS; i++)
		if (handover->appends[i].at_us < oldest->at_us)
			oldest = &handover->appends[i];
	assert(!oldest->bytes || now_us >= oldest->at_us + RJ_US_PER_S);
	oldest->at_us = now_us;
	oldest->bytes = 0;
	return oldest;
}

/* Handles the outcome of one record: a part that was not stored is due. */
static void write_done(void *private_data, enum rj_cell_write_outcome outcome)
{
	struct handover_write *write = private_data;
	struct rj_cell_handover *handover = write->handover;

	if (write->generation == handover->owner->generation) {
		handover->appending--;
		if (outcome != RJ_CELL_WRITE_STORED) {
			handover->parts[write->part].written_us =
				write->former_us;
			handover->parts[write->part].digest = ~(uint64_t)0;
		}
		if (outcome == RJ_CELL_WRITE_FENCED)
			handover->owner->fenced = true;
	}
	talloc_free(write);
}

/* Encodes a part, at this time. The caller frees it. */
static struct rj_bytes encode_part(const struct rj_cell_handover *handover,
				   const struct contents *contents,
				   uint32_t part)
{
	const struct rj_cell_owner *owner = handover->owner;
	struct rj_cell_snapshot snapshot = { 0 };
	GArray *rows = g_array_new(FALSE, FALSE,
				   sizeof(struct rj_cell_snapshot_worker));
	struct rj_bytes value;

	if (part == RJ_CELL_HANDOVER_SHARDS)
		snapshot = contents->last;
	for (guint i = 0; i < contents->sources->len &&
			  rows->len < RJ_CELL_SNAPSHOT_WORKERS_MAX;
	     i++) {
		const struct source *source =
			&g_array_index(contents->sources, struct source, i);
		struct rj_cell_snapshot_worker row;

		if (source->shard != part)
			continue;
		row = row_of(source);
		g_array_append_val(rows, row);
	}
	snapshot.token = owner->token;
	snapshot.wall_ms = owner->wall_ms;
	snapshot.workers = (void *)rows->data;
	snapshot.worker_count = rows->len;
	value = rj_cell_snapshot_encode(owner->mem, &snapshot, owner->now_us);
	g_array_free(rows, TRUE);
	return value;
}

/* Adds one part to the present append. */
static void add_part(struct rj_cell_handover *handover, uint32_t part,
		     uint64_t digest, const char *key, struct rj_bytes value)
{
	struct rj_cell_owner *owner = handover->owner;
	struct handover_write *write =
		talloc_zero(owner->mem, struct handover_write);

	assert(write);
	write->handover = handover;
	write->generation = owner->generation;
	write->part = part;
	write->former_us = handover->parts[part].written_us;
	handover->parts[part].written_us = owner->now_us;
	handover->parts[part].due_since_us = 0;
	handover->parts[part].digest = digest;
	handover->appending++;
	handover->counters.records++;
	rj_cell_writer_add(&owner->progress_writer, key, value,
			   (struct rj_cell_write_done){ write_done, write });
}

/* Adds one part to the present append if it fits. Returns whether it did. */
static bool try_part(struct rj_cell_handover *handover,
		     const struct contents *contents, uint32_t part,
		     struct rj_cell_handover_append *append)
{
	struct rj_bytes value = encode_part(handover, contents, part);
	char id[RJ_CELL_PART_ID_BYTES];
	char key[RJ_CELL_KEY_BYTES];
	size_t bytes;
	bool fits;

	(void)g_snprintf(id, sizeof(id), "%02x", part);
	rj_cell_record_key(key, RJ_CELL_RECORD_SNAPSHOT, id);
	bytes = strlen(key) + value.length;
	fits = bytes <= budget(handover);
	if (fits) {
		add_part(handover, part, contents->digests[part], key, value);
		append->bytes += bytes;
		handover->counters.bytes += bytes;
	}
	talloc_free((void *)value.data);
	return fits;
}

/* Returns the minimum time between two appends with parts. */
static uint64_t write_interval_us(const struct rj_cell_handover *handover)
{
	uint64_t interval_us =
		handover->owner->limits.features.snapshot_ms * RJ_US_PER_MS;

	return MAX(interval_us, WRITE_INTERVAL_US);
}

/* Adds the parts that are due and fit, those that were written the longest ago
 * first. Sets when the next ones may be added. */
static void add_parts(struct rj_cell_handover *handover,
		      const struct contents *contents)
{
	struct rj_cell_handover_append *append = obtain_append(handover);
	uint64_t now_us = handover->owner->now_us;
	uint64_t budget_us = 0;
	int part;

	while (!budget_us && (part = next_part(handover, contents)) >= 0)
		if (!try_part(handover, contents, (uint32_t)part, append))
			budget_us = budget_due_us(handover);
	handover->due_us =
		MAX(budget_us,
		    now_us + (append->bytes ? write_interval_us(handover) :
					      WRITE_INTERVAL_US));
}

/* Logs at intervals what was written since the last such event. */
static void log_written(struct rj_cell_handover *handover)
{
	const struct rj_cell_handover_counters *counters = &handover->counters;
	uint64_t now_us = handover->owner->now_us;

	if (counters->records == handover->logged.records ||
	    now_us < handover->log_due_us)
		return;
	rj_log_event("snapshot_written",
		     RJ_LOG_NUMBER("records", counters->records -
						      handover->logged.records),
		     RJ_LOG_NUMBER("bytes",
				   counters->bytes - handover->logged.bytes),
		     RJ_LOG_NUMBER("paces", handover->paces_known));
	handover->logged = *counters;
	handover->log_due_us = now_us + LOG_INTERVAL_US;
}

/* Notes which parts are due. Returns the time since which the first of them
 * waits; RJ_NEVER_US if none does. */
static uint64_t note_due(struct rj_cell_handover *handover,
			 const struct contents *contents)
{
	uint64_t first_us = RJ_NEVER_US;

	for (uint32_t i = 0; i < RJ_CELL_HANDOVER_PARTS; i++) {
		struct rj_cell_handover_part *part = &handover->parts[i];

		if (!is_due(handover, contents, i)) {
			part->due_since_us = 0;
			continue;
		}
		if (!part->due_since_us)
			part->due_since_us = handover->owner->now_us;
		first_us = MIN(first_us, part->due_since_us);
	}
	return first_us;
}

/* Adds parts that are due, or waits for an append to which to add them. */
static void write_or_wait(struct rj_cell_handover *handover,
			  const struct contents *contents, bool appends)
{
	uint64_t now_us = handover->owner->now_us;
	uint64_t first_us = note_due(handover, contents);

	handover->wait_until_us = 0;
	if (first_us != RJ_NEVER_US && !appends &&
	    now_us < first_us + WAIT_MAX_US) {
		handover->wait_until_us = first_us + WAIT_MAX_US;
		return;
	}
	add_parts(handover, contents);
}

/*
 * Adds the parts that are due to the present flush of the log of progress. Call
 * it after everything else is added. Nothing waits for these records: if they
 * are not stored, the snapshot is older.
 */
void rj_cell_handover_write(struct rj_cell_handover *handover)
{
	const struct rj_cell_owner *owner = handover->owner;
	const struct rj_list *waiting = &owner->progress_writer.waiting;
	bool appends = waiting->next != waiting;
	struct contents contents;

	if (!is_enabled(handover) || !owner->active || handover->appending ||
	    owner->now_us < handover->due_us ||
	    (!appends && owner->now_us < handover->wait_until_us))
		return;
	memset(&contents, 0, sizeof(contents));
	contents.sources = g_array_new(FALSE, FALSE, sizeof(struct source));
	drop_unclaimed(handover);
	collect_workers(handover, &contents);
	collect_last_part(handover, &contents);
	write_or_wait(handover, &contents, appends);
	log_written(handover);
	g_array_free(contents.sources, TRUE);
}
