#include "private/cell_flush.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_admit.h"
#include "private/cell_progress.h"
#include "private/cell_returns.h"
#include "private/log_event.h"

/* Interval of the owner's heartbeats. Other instances take over once they have
 * read nothing from the owner for 0.9 s or more, see cell_node.c. */
#define HEARTBEAT_INTERVAL_US (400 * RJ_US_PER_MS)
/* Delay before a job is stored again whose record the log rejected as
 * invalid. */
#define INVALID_RETRY_US RJ_US_PER_S
/* Interval between checks for ended jobs whose retention has expired. */
#define RETENTION_CHECK_INTERVAL_US (5 * RJ_US_PER_S)
/* Delay before a spec is removed again whose removal has not been read. */
#define SPEC_REMOVAL_RETRY_US (60 * RJ_US_PER_S)

/* Context of a record until it is stored. */
struct owner_write {
	struct rj_cell_owner *owner;
	struct rj_cell_writer *writer;
	uint32_t generation;
	enum rj_cell_record_kind kind;
	char id[RJ_CELL_ID_BYTES]; /* "" unless of a job */
	bool removes; /* the key */
	struct rj_cell_summary summary; /* of the job's state */
};

/* Frees the state of a job that has ended and has no runs left, once its end is
 * published. */
static void free_ended_job(struct rj_cell_owner *owner, struct rj_cell_job *job)
{
	struct rj_cell_view_entry *entry = job->entry;

	if (job->dirty || job->state < RJ_CELL_JOB_COMPLETED ||
	    entry->summary.state < RJ_CELL_JOB_COMPLETED ||
	    !rj_cell_job_is_idle(job))
		return;
	entry->job = NULL;
	talloc_free(job);
	g_ptr_array_add(owner->ended_jobs, g_strdup(entry->id));
}

/* Allows the start of a run, as its intent is stored. */
static void allow_start(struct rj_cell_run *run, void *private_data)
{
	const struct rj_cell_owner *owner = private_data;

	if (!run->recording || run->state != RJ_CELL_RUN_INTENDED)
		return;
	run->recording = false;
	run->state = RJ_CELL_RUN_STARTING;
	run->order_tries = 0;
	rj_cell_run_schedule_order(run, owner->now_us);
}

/* Returns up to which position the completions of a worker may be acknowledged:
 * all that the last flush covered, but for those of jobs that could not be
 * stored. */
static uint64_t saved_position(const struct rj_cell_owner *owner,
			       const struct rj_cell_worker *worker)
{
	uint64_t position = worker->storing_position;
	const struct rj_list *at;

	for (at = owner->unstorable_jobs.next; at != &owner->unstorable_jobs;
	     at = at->next) {
		const struct rj_cell_job *job =
			RJ_CONTAINER(at, struct rj_cell_job, in_unstorable);
		uint64_t first =
			rj_cell_unsaved_ends_first(&job->unsaved_ends, worker);

		if (first && first <= position)
			position = first - 1;
	}
	return position;
}

/* Acknowledges to workers all completions whose effects are stored, now that no
 * write is pending. */
static void acknowledge_completions(struct rj_cell_owner *owner)
{
	struct rj_list *at;
	struct rj_list *next;

	rj_cell_ended_runs_stored(&owner->ended_runs);
	RJ_FOR_EACH (at, next, &owner->fleet.unstored) {
		struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, in_unstored);
		uint64_t position = saved_position(owner, worker);

		if (position > worker->stored_position) {
			worker->stored_position = position;
			worker->poll_due_us = owner->now_us;
		}
		if (worker->stored_position >= worker->applied_position)
			rj_list_remove(at);
	}
}

/* Applies a stored record about a job. What a removal changes is applied when it
 * is read: the id may be of a job that was cancelled and never submitted. */
static void apply_record(struct rj_cell_owner *owner,
			 const struct owner_write *write,
			 struct rj_cell_view_entry *entry)
{
	if (write->removes)
		return;
	if (write->kind == RJ_CELL_RECORD_STATE) {
		entry->state_published = true;
		rj_cell_view_set_summary(entry, &write->summary, owner->now_us);
	} else if (write->kind == RJ_CELL_RECORD_PROGRESS && entry->job) {
		rj_cell_job_each_run(entry->job, allow_start, owner);
	}
}

/* Frees a run that is only intended. */
static void withdraw_intent(struct rj_cell_run *run, void *unused)
{
	if (run->state == RJ_CELL_RUN_INTENDED)
		rj_cell_run_free(run);
}

/*
 * Suspends a job whose progress the log has rejected as invalid: its intents are
 * withdrawn and nothing is started until its record is sent again, which may be
 * accepted by then. All other jobs go on.
 */
static void suspend_job(struct rj_cell_owner *owner, struct rj_cell_job *job)
{
	rj_log_event("job_unstorable", RJ_LOG_TEXT("job", job->job_spec->id),
		     RJ_LOG_TEXT("account", job->job_spec->account),
		     RJ_LOG_NUMBER("begun", job->occurrences_begun),
		     RJ_LOG_NUMBER("done", job->occurrences_done));
	rj_cell_job_each_run(job, withdraw_intent, NULL);
	job->store_due_us = owner->now_us + INVALID_RETRY_US;
	job->start_due_us = job->store_due_us;
	if (job->in_unstorable.next == &job->in_unstorable)
		rj_list_append(&owner->unstorable_jobs, &job->in_unstorable);
	rj_cell_owner_mark_dirty(owner, job);
}

/* Handles the outcome of a job's progress record. */
static void progress_done(struct rj_cell_owner *owner, struct rj_cell_job *job,
			  enum rj_cell_write_outcome outcome)
{
	rj_cell_unsaved_ends_append_end(&job->unsaved_ends,
					outcome == RJ_CELL_WRITE_STORED);
	if (outcome == RJ_CELL_WRITE_INVALID)
		suspend_job(owner, job);
	else if (outcome == RJ_CELL_WRITE_STORED)
		rj_list_remove(&job->in_unstorable);
}

/* Handles the outcome of the record that releases the cell: one that was not
 * stored is repeated. */
static void release_done(struct rj_cell_owner *owner,
			 enum rj_cell_write_outcome outcome)
{
	if (outcome != RJ_CELL_WRITE_NOT_STORED)
		return;
	owner->released_us = 0;
	owner->release_pending = true;
}

/* Handles the outcome of one record of a flush. */
static void write_done(void *private_data, enum rj_cell_write_outcome outcome)
{
	struct owner_write *write = private_data;
	struct rj_cell_owner *owner = write->owner;
	struct rj_cell_view_entry *entry;

	if (write->generation != owner->generation) {
		talloc_free(write);
		return;
	}
	owner->now_us = write->writer->now_us;
	owner->writes_pending--;
	if (write->kind == RJ_CELL_RECORD_OWNER)
		release_done(owner, outcome);
	else if (write->kind == RJ_CELL_RECORD_LEASE_BOUNDS)
		rj_cell_lease_bounds_written(&owner->leases, &owner->fleet,
					     outcome == RJ_CELL_WRITE_STORED,
					     owner->now_us);
	entry = write->id[0] ? rj_cell_view_find(owner->view, write->id) : NULL;
	if (entry && entry->job && write->kind == RJ_CELL_RECORD_PROGRESS)
		progress_done(owner, entry->job, outcome);
	if (outcome == RJ_CELL_WRITE_STORED && entry) {
		apply_record(owner, write, entry);
	} else if (outcome == RJ_CELL_WRITE_NOT_STORED) {
		owner->write_failed = true;
		if (entry && entry->job)
			rj_cell_owner_mark_dirty(owner, entry->job);
		owner->heartbeat_due_us = owner->now_us;
	} else if (outcome != RJ_CELL_WRITE_STORED &&
		   outcome != RJ_CELL_WRITE_INVALID) {
		owner->fenced = true;
	}
	if (!owner->writes_pending && !owner->fenced && !owner->write_failed)
		acknowledge_completions(owner);
	if (entry && entry->job)
		free_ended_job(owner, entry->job);
	talloc_free(write);
}

/* Adds one record to the flush; `summary` is the job's state that it publishes,
 * or NULL. */
static void add_record(struct rj_cell_owner *owner,
		       struct rj_cell_writer *writer,
		       enum rj_cell_record_kind kind, const char *id,
		       struct rj_bytes value,
		       const struct rj_cell_summary *summary)
{
	struct owner_write *write = talloc_zero(owner->mem, struct owner_write);
	char key[RJ_CELL_KEY_BYTES];

	assert(write);
	write->owner = owner;
	write->writer = writer;
	write->generation = owner->generation;
	write->kind = kind;
	g_strlcpy(write->id, id, sizeof(write->id));
	write->removes = !value.length;
	if (summary)
		write->summary = *summary;
	rj_cell_record_key(key, kind, id);
	owner->writes_pending++;
	rj_cell_writer_add(write->writer, key, value,
			   (struct rj_cell_write_done){ write_done, write });
}

/* Adds the removal of a job's key. */
static void add_removal(struct rj_cell_owner *owner,
			enum rj_cell_record_kind kind, const char *id)
{
	add_record(owner,
		   kind == RJ_CELL_RECORD_PROGRESS ? &owner->progress_writer :
						     &owner->writer,
		   kind, id, (struct rj_bytes){ NULL, 0 }, NULL);
}

/* A removed request that was not stored is removed again when the job's
 * retention expires. */
static void request_removed(void *private_data,
			    enum rj_cell_write_outcome outcome)
{
}

/* Adds the removal of a key from the log of requests. The owner does not wait
 * for it, so that a slow append there does not delay anything else. */
static void add_request_removal(struct rj_cell_owner *owner,
				enum rj_cell_record_kind kind, const char *id)
{
	char key[RJ_CELL_KEY_BYTES];

	rj_cell_record_key(key, kind, id);
	rj_cell_writer_add(
		owner->requests_writer, key, (struct rj_bytes){ NULL, 0 },
		(struct rj_cell_write_done){ request_removed, NULL });
}

/* Marks a run as contained in the job record that is about to be written. */
static void mark_recording(struct rj_cell_run *run, void *unused)
{
	run->recording = true;
}

/* Sets the term clock of a heartbeat: of the present term once its lease bounds
 * are stored, until then of the former one, as a successor would need that. */
static void add_term_clock(const struct rj_cell_owner *owner,
			   struct rj_cell_owner_heartbeat *heartbeat)
{
	if (owner->active && owner->leases.recorded) {
		heartbeat->term_token = owner->token;
		heartbeat->term_ms = rj_cell_lease_bounds_term_ms(
			&owner->leases, owner->now_us);
	} else {
		heartbeat->term_token = owner->term_clock->token;
		heartbeat->term_ms = rj_cell_term_clock_ms(
			owner->term_clock, owner->term_clock->token,
			owner->now_us);
	}
}

/*
 * Adds the owner's heartbeat, with the load of the queues.
 *
 * An owner that has not loaded the jobs yet would publish that none are pending,
 * which callers at all instances would be told.
 */
static void add_heartbeat(struct rj_cell_owner *owner)
{
	struct rj_cell_owner_heartbeat heartbeat = {
		.incarnation = owner->incarnation,
		.number = owner->heartbeat_number++
	};
	struct rj_bytes value;

	if (owner->active) {
		rj_cell_admit_queues(owner, &heartbeat);
		rj_cell_returns_announce(owner, &heartbeat);
	} else {
		rj_cell_owner_heartbeat_copy(&heartbeat,
					     &owner->former_heartbeat);
		heartbeat.incarnation = owner->incarnation;
		heartbeat.number = owner->heartbeat_number - 1;
	}
	add_term_clock(owner, &heartbeat);
	value = rj_cell_owner_heartbeat_encode(owner->mem, &heartbeat);
	add_record(owner, &owner->writer, RJ_CELL_RECORD_HEARTBEAT, "", value,
		   NULL);
	talloc_free((void *)value.data);
	rj_cell_owner_heartbeat_finish(&heartbeat);
	owner->heartbeat_due_us = owner->now_us + HEARTBEAT_INTERVAL_US;
}

/* Adds the record that releases the cell. */
static void add_release(struct rj_cell_owner *owner)
{
	struct rj_cell_owner_record record = { .incarnation =
						       owner->incarnation,
					       .leaving = true };
	struct rj_bytes value;

	memcpy(record.name, owner->name, sizeof(record.name));
	value = rj_cell_owner_encode(owner->mem, &record);
	add_record(owner, &owner->writer, RJ_CELL_RECORD_OWNER, "", value,
		   NULL);
	talloc_free((void *)value.data);
	owner->release_pending = false;
	owner->released_us = owner->now_us;
}

/* Adds the bounds of the leases that workers may hold. */
static void add_lease_bounds(struct rj_cell_owner *owner)
{
	struct rj_bytes value = rj_cell_lease_bounds_encode(
		&owner->leases, owner->mem, owner->name, owner->token,
		&owner->fleet, owner->limits.record_max_bytes, owner->now_us);

	add_record(owner, &owner->progress_writer, RJ_CELL_RECORD_LEASE_BOUNDS,
		   "", value, NULL);
	talloc_free((void *)value.data);
}

/* Adds the progress of a job, and its state if that changes what clients may be
 * told. */
static void add_job(struct rj_cell_owner *owner, struct rj_cell_job *job)
{
	const struct rj_cell_view_entry *entry = job->entry;
	struct rj_cell_summary summary = { job->state, job->started };
	struct rj_bytes value = rj_cell_progress_encode_within(
		owner->mem, job, owner->limits.record_max_bytes, owner->now_us);

	rj_cell_job_each_run(job, mark_recording, NULL);
	rj_cell_unsaved_ends_append_begin(&job->unsaved_ends);
	add_record(owner, &owner->progress_writer, RJ_CELL_RECORD_PROGRESS,
		   job->job_spec->id, value, NULL);
	talloc_free((void *)value.data);
	if (entry->state_published && summary.state <= entry->summary.state &&
	    summary.started == entry->summary.started)
		return;
	value = rj_cell_summary_encode(owner->mem, &summary);
	add_record(owner, &owner->writer, RJ_CELL_RECORD_STATE,
		   job->job_spec->id, value, &summary);
	talloc_free((void *)value.data);
}

/*
 * Removes the progress and specs of jobs that are known to have ended and have
 * no runs left. When all instances start at the same time, each of them loads
 * everything that is kept.
 */
static void add_ended_job_removals(struct rj_cell_owner *owner)
{
	for (guint i = 0; i < owner->ended_jobs->len; i++) {
		const char *id = owner->ended_jobs->pdata[i];

		add_removal(owner, RJ_CELL_RECORD_PROGRESS, id);
		add_request_removal(owner, RJ_CELL_RECORD_JOB_SPEC, id);
	}
	g_ptr_array_set_size(owner->ended_jobs, 0);
	rj_cell_writer_flush(owner->requests_writer, owner->now_us);
}

/*
 * Marks the jobs whose state has never been published, so that the next flush
 * publishes it: other instances do not follow the log of requests.
 */
static void mark_unpublished_jobs(struct rj_cell_owner *owner)
{
	const struct rj_list *at;

	for (at = owner->jobs.next; at != &owner->jobs; at = at->next) {
		struct rj_cell_job *job =
			RJ_CONTAINER(at, struct rj_cell_job, link);
		const struct rj_cell_view_entry *entry = job->entry;

		if (!entry->state_published)
			rj_cell_owner_mark_dirty(owner, job);
	}
}

/*
 * Writes a heartbeat while an append to the progress log is pending.
 *
 * An append without an answer is repeated after a second, and nothing else is
 * stored until then. Without the heartbeat another instance would replace a
 * working owner.
 */
static void flush_heartbeat(struct rj_cell_owner *owner)
{
	if (owner->now_us < owner->heartbeat_due_us ||
	    rj_cell_writer_busy(&owner->writer))
		return;
	add_heartbeat(owner);
	rj_cell_writer_flush(&owner->writer, owner->now_us);
}

/*
 * Stores all changes, in one append to each log, unless an append is pending.
 */
void rj_cell_flush(struct rj_cell_owner *owner)
{
	struct rj_list *at;
	struct rj_list *next;

	if (owner->writes_pending) {
		flush_heartbeat(owner);
		return;
	}
	owner->write_failed = false;
	/* Before the jobs: they may wait for what it records. */
	if (owner->active &&
	    rj_cell_lease_bounds_due(&owner->leases,
				     owner->now_us >= owner->heartbeat_due_us,
				     owner->now_us))
		add_lease_bounds(owner);
	if (owner->active && owner->now_us >= owner->heartbeat_due_us)
		mark_unpublished_jobs(owner);
	RJ_FOR_EACH (at, next, &owner->dirty_jobs) {
		struct rj_cell_job *job =
			RJ_CONTAINER(at, struct rj_cell_job, in_dirty);

		if (owner->now_us < job->store_due_us)
			continue;
		job->dirty = false;
		rj_list_remove(&job->in_dirty);
		add_job(owner, job);
	}
	if (owner->now_us >= owner->heartbeat_due_us) {
		add_heartbeat(owner);
		add_ended_job_removals(owner);
	}
	if (owner->release_pending)
		add_release(owner);
	rj_cell_handover_write(&owner->handover);
	RJ_FOR_EACH (at, next, &owner->fleet.unstored) {
		struct rj_cell_worker *worker =
			RJ_CONTAINER(at, struct rj_cell_worker, in_unstored);

		worker->storing_position = worker->applied_position;
	}
	rj_cell_ended_runs_storing(&owner->ended_runs);
	if (!owner->writes_pending) {
		acknowledge_completions(owner);
		return;
	}
	rj_cell_writer_flush(&owner->progress_writer, owner->now_us);
	rj_cell_writer_flush(&owner->writer, owner->now_us);
}

/* Adds the removal of the spec of an ended job, unless one has been added
 * recently. */
static void remove_spec(struct rj_cell_owner *owner,
			struct rj_cell_view_entry *entry)
{
	if (owner->now_us < entry->spec_removal_due_us)
		return;
	add_request_removal(owner, RJ_CELL_RECORD_JOB_SPEC, entry->id);
	entry->spec_removal_due_us = owner->now_us + SPEC_REMOVAL_RETRY_US;
}

/*
 * Removes the keys of jobs that ended longer ago than their status is kept, if
 * a check is due.
 *
 * A successor would take a spec without a state for a new job, so the state is
 * removed only after the removal of the spec has been read from the log.
 */
void rj_cell_flush_expired(struct rj_cell_owner *owner)
{
	struct rj_list *at;
	struct rj_list *next;

	if (owner->writes_pending ||
	    owner->now_us < owner->retention_check_due_us)
		return;
	owner->retention_check_due_us =
		owner->now_us + RETENTION_CHECK_INTERVAL_US;
	RJ_FOR_EACH (at, next, &owner->view->entries) {
		struct rj_cell_view_entry *entry =
			RJ_CONTAINER(at, struct rj_cell_view_entry, link);
		uint64_t retention_us =
			owner->limits.status_retention_ms * RJ_US_PER_MS;

		if (entry->job || !rj_cell_view_over_us(entry) ||
		    owner->now_us < rj_cell_view_over_us(entry) + retention_us)
			continue;
		if (!entry->spec_removed) {
			remove_spec(owner, entry);
			continue;
		}
		add_removal(owner, RJ_CELL_RECORD_PROGRESS, entry->id);
		add_removal(owner, RJ_CELL_RECORD_STATE, entry->id);
		add_request_removal(owner, RJ_CELL_RECORD_CANCEL, entry->id);
		entry->ended_us = owner->now_us; /* retry later if not stored */
	}
}
