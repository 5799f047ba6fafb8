#include "private/cell_flush.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_admit.h"
#include "private/note.h"

/* The owner shows its life in the log so often. Others wait for three of
 * these in vain before they take over. */
#define BEAT_US (400 * RJ_US_PER_MS)
/* Ended jobs are looked through for those to be forgotten so often. */
#define DROP_CHECK_US (5 * RJ_US_PER_S)

/* What a write of a job's progress remembers until it is stored. */
struct progress_write {
	struct rj_cell_owner *owner;
	uint32_t generation;
	char id[RJ_CELL_ID_BYTES]; /* "" for records of no job */
	struct rj_cell_summary summary;
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

	RJ_FOR_EACH (at, next, &owner->fleet.watched[RJ_CELL_WATCH_BUSY]) {
		struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, in_watch);

		if (worker->seen_storing <= worker->seen)
			continue;
		worker->seen = worker->seen_storing;
		worker->look_due_us = owner->now_us;
	}
}

/* One record of a flush has ended. */
static void progress_stored(void *private_data,
			    enum rj_cell_write_outcome outcome)
{
	struct progress_write *write = private_data;
	struct rj_cell_owner *owner = write->owner;
	struct rj_cell_entry *entry;
	bool current = write->generation == owner->generation && owner->active;

	if (!current) {
		talloc_free(write);
		return;
	}
	owner->now_us = owner->writer.now_us;
	owner->writes_open--;
	entry = write->id[0] ? rj_cell_view_find(owner->view, write->id) : NULL;
	if (outcome == RJ_CELL_WRITE_STORED && entry) {
		rj_cell_view_tell(entry, &write->summary, owner->now_us);
		if (entry->work)
			rj_cell_work_each_run(entry->work, release_run, owner);
	} else if (outcome == RJ_CELL_WRITE_NOT_STORED) {
		if (entry && entry->work)
			rj_cell_owner_dirty(owner, entry->work);
		owner->beat_due_us = owner->now_us;
	} else if (outcome != RJ_CELL_WRITE_STORED) {
		owner->lost = true;
	}
	if (!owner->writes_open && !owner->lost &&
	    outcome == RJ_CELL_WRITE_STORED)
		ends_stored(owner);
	if (entry && entry->work)
		free_ended(owner, entry->work);
	talloc_free(write);
}

/* Add one record to the flush. */
static void add_write(struct rj_cell_owner *owner,
		      enum rj_cell_record_kind kind, const char *id,
		      struct rj_bytes value,
		      const struct rj_cell_summary *summary)
{
	struct progress_write *write =
		talloc_zero(owner->mem, struct progress_write);
	char key[RJ_CELL_KEY_BYTES];

	assert(write);
	write->owner = owner;
	write->generation = owner->generation;
	if (summary) {
		g_strlcpy(write->id, id, sizeof(write->id));
		write->summary = *summary;
	}
	rj_cell_record_key(key, kind, id);
	owner->writes_open++;
	rj_cell_writer_add(
		&owner->writer, key, value,
		(struct rj_cell_write_done){ progress_stored, write });
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

/*
 * Store all changes in one append, if none is on its way.
 */
void rj_cell_flush(struct rj_cell_owner *owner)
{
	struct rj_list *at;
	struct rj_list *next;

	if (owner->writes_open)
		return;
	RJ_FOR_EACH (at, next, &owner->dirty) {
		struct rj_cell_work *work =
			RJ_CONTAINER(at, struct rj_cell_work, in_dirty);
		struct rj_cell_summary summary = { work->state, work->started };
		struct rj_bytes value;

		work->dirty = false;
		rj_list_remove(&work->in_dirty);
		rj_cell_work_each_run(work, mark_recording, NULL);
		value = rj_cell_progress_encode(owner->mem, work);
		add_write(owner, RJ_CELL_RECORD_PROGRESS, work->def->id, value,
			  &summary);
		talloc_free((void *)value.data);
	}
	if (owner->now_us >= owner->beat_due_us)
		add_beat(owner);
	if (owner->leaving)
		add_leave(owner);
	RJ_FOR_EACH (at, next, &owner->fleet.watched[RJ_CELL_WATCH_BUSY]) {
		struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, in_watch);

		worker->seen_storing = worker->seen_taken;
	}
	if (owner->writes_open)
		rj_cell_writer_flush(&owner->writer, owner->now_us);
	else
		ends_stored(owner);
}

/*
 * Drop the keys of jobs that ended long ago, if it is time to look for them.
 */
void rj_cell_flush_old(struct rj_cell_owner *owner)
{
	const struct rj_cell_summary none = { RJ_CELL_JOB_COMPLETED, true };
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
			add_write(owner, (enum rj_cell_record_kind)kind,
				  entry->id, (struct rj_bytes){ NULL, 0 },
				  &none);
		entry->ended_us = owner->now_us; /* once, unless it fails */
	}
}
