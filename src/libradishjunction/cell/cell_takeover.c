#include "private/cell_takeover.h"

#include <string.h>

#include "private/log_event.h"

/* Delay before a fence that the store has refused is sent again. */
#define FENCE_RETRY_US (100 * RJ_US_PER_MS)

/* Keeps the lease bounds that the former owner stored. Earlier versions store a
 * value here that cannot be decoded, and grant leases without bounds. */
static void leases_record(struct rj_cell_takeover *takeover,
			  const struct rj_cell_record *record)
{
	struct rj_error err;

	if (rj_cell_lease_record_decode(record->value, &takeover->leases, &err))
		rj_log_event("lease_bounds_unknown",
			     RJ_LOG_TEXT("error", err.message));
}

/* Keeps a job's progress until the takeover is completed. */
static void progress_record(void *private_data,
			    const struct rj_cell_record *record)
{
	struct rj_cell_takeover *takeover = private_data;
	enum rj_cell_record_kind kind;
	const char *id;

	if (rj_cell_record_kind(record->key, &kind, &id) ||
	    !record->value.length)
		return;
	/* The key of RJ_CELL_RECORD_LEASE_BOUNDS. */
	if (kind == RJ_CELL_RECORD_OWNER)
		leases_record(takeover, record);
	if (kind == RJ_CELL_RECORD_SNAPSHOT)
		rj_cell_handover_read(&takeover->owner->handover, id, record);
	if (kind != RJ_CELL_RECORD_PROGRESS)
		return;
	rj_cell_view_keep_progress(takeover->owner->view, id, record->value);
}

/* Handles the end of a read of the progress log. After the fence no other
 * instance writes there, so its end needs to be reached only once. */
static void progress_read(void *private_data, struct rj_cell_log_reader *reader)
{
	struct rj_cell_takeover *takeover = private_data;

	if (!reader->caught_up)
		return;
	rj_cell_log_reader_stop(reader);
	takeover->state = RJ_CELL_TAKEOVER_LOADED;
}

static const struct rj_cell_log_reader_ops progress_ops = {
	.record = progress_record,
	.progress = progress_read,
};

/* Handles the end of the read of the log of requests: loads the progress if it
 * has reached the end. A read that failed is repeated. */
static void requests_read(struct rj_cell_sync *sync, bool reached)
{
	struct rj_cell_takeover *takeover =
		RJ_CONTAINER(sync, struct rj_cell_takeover, requests_sync);

	takeover->syncing = false;
	if (!reached || takeover->state != RJ_CELL_TAKEOVER_WAITING)
		return;
	takeover->state = RJ_CELL_TAKEOVER_LOADING;
	rj_cell_log_reader_start(&takeover->progress,
				 takeover->requests->now_us);
}

/*
 * Reads the log of requests to its end, now that the fence is stored.
 *
 * Until then the former owner could store the intents of a job that it had just
 * read. They would be dropped if the job was read after them, and its tasks
 * would start a second time.
 */
static void read_requests(struct rj_cell_takeover *takeover, uint64_t now_us)
{
	takeover->syncing = true;
	takeover->requests_sync.done = requests_read;
	rj_cell_log_reader_sync(takeover->requests, &takeover->requests_sync,
				now_us);
}

/*
 * Initializes takeovers by `owner`. It and the reader of the log of requests
 * must outlive `takeover`.
 */
void rj_cell_takeover_init(struct rj_cell_takeover *takeover, void *mem,
			   struct rj_cell_store *store,
			   struct rj_cell_owner *owner,
			   struct rj_cell_log_reader *requests)
{
	memset(takeover, 0, sizeof(*takeover));
	takeover->owner = owner;
	takeover->requests = requests;
	rj_cell_log_reader_init(&takeover->progress, mem, store,
				RJ_CELL_TOPIC_PROGRESS, &progress_ops,
				takeover);
}

/* Handles the outcome of the fence. */
static void fence_done(void *private_data, enum rj_cell_write_outcome outcome)
{
	struct rj_cell_takeover *takeover = private_data;
	struct rj_cell_owner *owner = takeover->owner;
	uint64_t now_us = owner->progress_writer.now_us;

	takeover->fence_pending = false;
	if (takeover->state != RJ_CELL_TAKEOVER_FENCING ||
	    takeover->generation != owner->generation)
		return;
	switch (outcome) {
	case RJ_CELL_WRITE_STORED:
		takeover->state = RJ_CELL_TAKEOVER_WAITING;
		break;
	case RJ_CELL_WRITE_NOT_STORED:
		takeover->fence_due_us = now_us + FENCE_RETRY_US;
		break;
	default:
		owner->fenced = true;
	}
}

/*
 * Appends the fence.
 *
 * A former owner that does not know yet that it has been replaced may store
 * intents that its successor never reads. The epoch of the fence record makes
 * the log refuse all later records of former owners.
 */
static void send_fence(struct rj_cell_takeover *takeover, uint64_t now_us)
{
	struct rj_cell_owner *owner = takeover->owner;
	/* Not empty, as that would delete the key. */
	const struct rj_bytes mark = { (const uint8_t *)"\xc0", 1 };
	char key[RJ_CELL_KEY_BYTES];

	takeover->fence_pending = true;
	takeover->generation = owner->generation;
	rj_cell_record_key(key, RJ_CELL_RECORD_FENCE, "");
	rj_cell_writer_add(&owner->progress_writer, key, mark,
			   (struct rj_cell_write_done){ fence_done, takeover });
	rj_cell_writer_flush(&owner->progress_writer, now_us);
}

/*
 * Begins to take the cell over under `token`, writing under `epoch`.
 */
void rj_cell_takeover_begin(struct rj_cell_takeover *takeover, uint64_t token,
			    uint64_t epoch, uint64_t now_us, uint64_t wall_ms)
{
	takeover->state = RJ_CELL_TAKEOVER_FENCING;
	takeover->fence_due_us = now_us;
	rj_cell_owner_begin_takeover(takeover->owner, token, epoch, now_us,
				     wall_ms);
	rj_cell_log_reader_start(takeover->requests, now_us);
	rj_cell_takeover_tick(takeover, now_us);
}

/*
 * Sends the fence if it is due, and reads the progress log. Call it every few
 * milliseconds.
 */
void rj_cell_takeover_tick(struct rj_cell_takeover *takeover, uint64_t now_us)
{
	if (takeover->state == RJ_CELL_TAKEOVER_FENCING &&
	    !takeover->fence_pending && now_us >= takeover->fence_due_us)
		send_fence(takeover, now_us);
	if (takeover->state == RJ_CELL_TAKEOVER_WAITING && !takeover->syncing &&
	    (!takeover->requests->failures ||
	     now_us >= takeover->requests->due_us))
		read_requests(takeover, now_us);
	rj_cell_log_reader_tick(&takeover->progress, now_us);
}

/*
 * Whether the progress of all jobs is loaded, so that the owner may complete
 * the takeover.
 */
bool rj_cell_takeover_is_loaded(const struct rj_cell_takeover *takeover)
{
	return takeover->state == RJ_CELL_TAKEOVER_LOADED;
}

/*
 * Ends a takeover, whether it was completed or not.
 */
void rj_cell_takeover_stop(struct rj_cell_takeover *takeover)
{
	takeover->state = RJ_CELL_TAKEOVER_IDLE;
	rj_cell_lease_record_finish(&takeover->leases);
	rj_cell_log_reader_stop(&takeover->progress);
}
