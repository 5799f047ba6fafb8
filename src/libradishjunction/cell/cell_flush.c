#include "private/cell_flush.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_admit.h"
#include "private/log_event.h"

/* The owner shows its life in the log so often. Others wait for three of
 * these in vain before they take over. */
#define BEAT_US (400 * RJ_US_PER_MS)
/* Ended jobs are looked through for those to be forgotten so often. */
#define DROP_CHECK_US (5 * RJ_US_PER_S)

/* What a write remembers until it is stored. */
struct owner_write {
	struct rj_cell_owner *owner;
	struct rj_cell_writer *writer;
	uint32_t generation;
	enum rj_cell_record_kind kind;
	char id[RJ_CELL_ID_BYTES]; /* "" for records of no job */
	struct rj_cell_summary summary; /* of a job's state */
};

/* Forget the work of a job that has ended and runs nowhere. */
static void free_ended(struct rj_cell_owner *owner, struct rj_cell_work *work)
{
	struct rj_cell_entry *entry = work->entry;

	if (work->dirty || work->state < RJ_CELL_JOB_COMPLETED ||
	    entry->told.state < RJ_CELL_JOB_COMPLETED ||
	    !rj_cell_work_idle(work))
		return;
	entry->work = NULL;
	talloc_free(work);
	g_ptr_array_add(owner->ended, g_strdup(entry->id));
}

/* The intent of a run is stored: it may be started. */
static void release_run(struct rj_cell_run *run, void *private_data)
{
	const struct rj_cell_owner *owner = private_data;

	if (!run->recording || run->state != RJ_CELL_RUN_INTENDED)
		return;
	run->recording = false;
	run->state = RJ_CELL_RUN_STARTING;
	run->order_tries = 0;
	rj_cell_run_order(run, owner->now_us);
}

/* All that was flushed together is stored: workers may forget these ends. */
static void ends_stored(struct rj_cell_owner *owner)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &owner->fleet.unstored) {
		struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, in_unstored);

		if (worker->seen_storing > worker->seen) {
			worker->seen = worker->seen_storing;
			worker->poll_due_us = owner->now_us;
		}
		if (worker->seen >= worker->seen_taken)
			rj_list_remove(at);
	}
}

/* A record about a job is in the log. */
static void take_effect(struct rj_cell_owner *owner,
			const struct owner_write *write,
			struct rj_cell_entry *entry)
{
	if (write->kind == RJ_CELL_RECORD_STATE)
		rj_cell_view_tell(entry, &write->summary, owner->now_us);
	else if (write->kind == RJ_CELL_RECORD_PROGRESS && entry->work)
		rj_cell_work_each_run(entry->work, release_run, owner);
}

/* One record of a flush has ended. */
static void write_done(void *private_data, enum rj_cell_write_outcome outcome)
{
	struct owner_write *write = private_data;
	struct rj_cell_owner *owner = write->owner;
	struct rj_cell_entry *entry;

	if (write->generation != owner->generation) {
		talloc_free(write);
		return;
	}
	owner->now_us = write->writer->now_us;
	owner->writes_open--;
	entry = write->id[0] ? rj_cell_view_find(owner->view, write->id) : NULL;
	if (outcome == RJ_CELL_WRITE_STORED && entry) {
		take_effect(owner, write, entry);
	} else if (outcome == RJ_CELL_WRITE_NOT_STORED) {
		owner->write_failed = true;
		if (entry && entry->work)
			rj_cell_owner_dirty(owner, entry->work);
		owner->beat_due_us = owner->now_us;
	} else if (outcome != RJ_CELL_WRITE_STORED) {
		owner->lost = true;
	}
	if (!owner->writes_open && !owner->lost && !owner->write_failed)
		ends_stored(owner);
	if (entry && entry->work)
		free_ended(owner, entry->work);
	talloc_free(write);
}

/* Add one record to the flush; `summary` is that of a job's state. */
static void add_write(struct rj_cell_owner *owner,
		      enum rj_cell_record_kind kind, const char *id,
		      struct rj_bytes value,
		      const struct rj_cell_summary *summary)
{
	struct owner_write *write = talloc_zero(owner->mem, struct owner_write);
	char key[RJ_CELL_KEY_BYTES];

	assert(write);
	write->owner = owner;
	write->writer = kind == RJ_CELL_RECORD_PROGRESS ? &owner->progress :
							  &owner->writer;
	write->generation = owner->generation;
	write->kind = kind;
	g_strlcpy(write->id, id, sizeof(write->id));
	if (summary)
		write->summary = *summary;
	rj_cell_record_key(key, kind, id);
	owner->writes_open++;
	rj_cell_writer_add(write->writer, key, value,
			   (struct rj_cell_write_done){ write_done, write });
}

/* Add the removal of a key. */
static void add_drop(struct rj_cell_owner *owner, enum rj_cell_record_kind kind,
		     const char *id)
{
	const struct rj_cell_summary ended = { RJ_CELL_JOB_COMPLETED, true };

	add_write(owner, kind, id, (struct rj_bytes){ NULL, 0 }, &ended);
}

/* The intent of a run goes out with its job's record. */
static void mark_recording(struct rj_cell_run *run, void *unused)
{
	run->recording = true;
}

/* Add the owner's heartbeat, with what it tells of the load. */
static void add_beat(struct rj_cell_owner *owner)
{
	struct rj_cell_beat beat = { .incarnation = owner->incarnation,
				     .number = owner->beat_number++ };
	struct rj_bytes value;

	rj_cell_admit_shares(owner, &beat);
	value = rj_cell_beat_encode(owner->mem, &beat);
	add_write(owner, RJ_CELL_RECORD_BEAT, "", value, NULL);
	talloc_free((void *)value.data);
	owner->beat_due_us = owner->now_us + BEAT_US;
}

/* Add the record that gives the cell away. */
static void add_leave(struct rj_cell_owner *owner)
{
	struct rj_cell_owner_record record = { .incarnation =
						       owner->incarnation,
					       .leaving = true };
	struct rj_bytes value;

	memcpy(record.name, owner->name, sizeof(record.name));
	value = rj_cell_owner_encode(owner->mem, &record);
	add_write(owner, RJ_CELL_RECORD_OWNER, "", value, NULL);
	talloc_free((void *)value.data);
	owner->leaving = false;
}

/* Add what has changed of a job; its state only where callers are told more
 * by it. */
static void add_work(struct rj_cell_owner *owner, struct rj_cell_work *work)
{
	const struct rj_cell_entry *entry = work->entry;
	struct rj_cell_summary summary = { work->state, work->started };
	struct rj_bytes value;

	rj_cell_work_each_run(work, mark_recording, NULL);
	value = rj_cell_progress_encode(owner->mem, work);
	add_write(owner, RJ_CELL_RECORD_PROGRESS, work->def->id, value, NULL);
	talloc_free((void *)value.data);
	if (summary.state <= entry->told.state &&
	    summary.started == entry->told.started)
		return;
	value = rj_cell_summary_encode(owner->mem, &summary);
	add_write(owner, RJ_CELL_RECORD_STATE, work->def->id, value, &summary);
	talloc_free((void *)value.data);
}

/*
 * Drop what only the work of a job needs, for jobs that were shown to have
 * ended and run nowhere.
 *
 * Load that it answers: all instances start at once, and each loads all that
 * is kept.
 */
static void add_drops(struct rj_cell_owner *owner)
{
	for (guint i = 0; i < owner->ended->len; i++) {
		const char *id = owner->ended->pdata[i];

		add_drop(owner, RJ_CELL_RECORD_PROGRESS, id);
		add_drop(owner, RJ_CELL_RECORD_DEFINITION, id);
	}
	g_ptr_array_set_size(owner->ended, 0);
}

/*
 * Show the owner's life while an append to the progress log is on its way.
 *
 * Guards against an owner that is replaced while it lives: an append that
 * nobody answers is repeated after a second, and until then nothing else is
 * stored.
 */
static void flush_beat(struct rj_cell_owner *owner)
{
	if (owner->now_us < owner->beat_due_us ||
	    rj_cell_writer_busy(&owner->writer))
		return;
	add_beat(owner);
	rj_cell_writer_flush(&owner->writer, owner->now_us);
}

/*
 * Store all changes, in one append to each log, if none is on its way.
 */
void rj_cell_flush(struct rj_cell_owner *owner)
{
	struct rj_list *at;
	struct rj_list *next;

	if (owner->writes_open) {
		flush_beat(owner);
		return;
	}
	owner->write_failed = false;
	RJ_FOR_EACH (at, next, &owner->dirty) {
		struct rj_cell_work *work =
			RJ_CONTAINER(at, struct rj_cell_work, in_dirty);

		work->dirty = false;
		rj_list_remove(&work->in_dirty);
		add_work(owner, work);
	}
	if (owner->now_us >= owner->beat_due_us) {
		add_beat(owner);
		add_drops(owner);
	}
	if (owner->leaving)
		add_leave(owner);
	RJ_FOR_EACH (at, next, &owner->fleet.unstored) {
		struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, in_unstored);

		worker->seen_storing = worker->seen_taken;
	}
	if (!owner->writes_open) {
		ends_stored(owner);
		return;
	}
	rj_cell_writer_flush(&owner->progress, owner->now_us);
	rj_cell_writer_flush(&owner->writer, owner->now_us);
}

/*
 * Drop the keys of jobs that ended long ago, if it is time to look for them.
 */
void rj_cell_flush_old(struct rj_cell_owner *owner)
{
	struct rj_list *at;
	struct rj_list *next;

	if (owner->writes_open || owner->now_us < owner->drop_due_us)
		return;
	owner->drop_due_us = owner->now_us + DROP_CHECK_US;
	RJ_FOR_EACH (at, next, &owner->view->entries) {
		struct rj_cell_entry *entry =
			RJ_CONTAINER(at, struct rj_cell_entry, link);
		uint64_t keep_us = owner->terms.status_ms * RJ_US_PER_MS;

		if (entry->work || !entry->ended_us ||
		    owner->now_us < entry->ended_us + keep_us)
			continue;
		for (int kind = RJ_CELL_RECORD_DEFINITION;
		     kind <= RJ_CELL_RECORD_CANCEL; kind++)
			add_drop(owner, (enum rj_cell_record_kind)kind,
				 entry->id);
		entry->ended_us = owner->now_us; /* once, unless it fails */
	}
}
