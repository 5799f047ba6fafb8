#include "private/cell_view.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/log_event.h"

/*
 * Initializes an empty view.
 */
void rj_cell_view_init(struct rj_cell_view *view, void *mem)
{
	memset(view, 0, sizeof(*view));
	view->mem = talloc_named_const(mem, 0, "cell view");
	view->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	rj_list_init(&view->entries);
}

/*
 * Frees all entries.
 */
void rj_cell_view_finish(struct rj_cell_view *view)
{
	if (!view->by_id)
		return;
	g_hash_table_destroy(view->by_id);
	view->by_id = NULL;
	TALLOC_FREE(view->mem);
}

/*
 * Returns the entry of a job, or NULL. Its spec may not have been read yet.
 */
struct rj_cell_view_entry *rj_cell_view_find(const struct rj_cell_view *view,
					     const char *id)
{
	return g_hash_table_lookup(view->by_id, id);
}

static struct rj_cell_view_entry *get_or_create(struct rj_cell_view *view,
						const char *id)
{
	struct rj_cell_view_entry *entry = rj_cell_view_find(view, id);

	if (entry)
		return entry;
	entry = talloc_zero(view->mem, struct rj_cell_view_entry);
	assert(entry);
	g_strlcpy(entry->id, id, sizeof(entry->id));
	rj_list_append(&view->entries, &entry->link);
	g_hash_table_insert(view->by_id, entry->id, entry);
	view->count++;
	return entry;
}

/*
 * Removes a job, which must not be active in the owner.
 */
void rj_cell_view_drop(struct rj_cell_view *view,
		       struct rj_cell_view_entry *entry)
{
	assert(!entry->job);
	rj_list_remove(&entry->link);
	g_hash_table_remove(view->by_id, entry->id);
	view->count--;
	talloc_free(entry);
}

/* Applies a submission; a repeated one is ignored. */
static void apply_job_spec(struct rj_cell_view_entry *entry,
			   const struct rj_cell_record *record, uint64_t now_us)
{
	struct rj_error err;

	entry->spec_removed = false;
	if (entry->job_spec)
		return;
	entry->job_spec = rj_cell_job_spec_decode(entry, record->value, &err);
	if (!entry->job_spec)
		rj_log_event("record_bad", RJ_LOG_TEXT("job", entry->id),
			     RJ_LOG_TEXT("error", err.message));
	entry->accepted |= entry->job_spec != NULL;
	entry->seen_us = now_us;
}

/*
 * Sets the state that callers see. States only advance: a record that is read
 * late does not revert one.
 */
void rj_cell_view_set_summary(struct rj_cell_view_entry *entry,
			      const struct rj_cell_summary *summary,
			      uint64_t now_us)
{
	if (summary->state < entry->summary.state ||
	    entry->summary.state >= RJ_CELL_JOB_COMPLETED)
		return;
	entry->summary = *summary;
	if (summary->state >= RJ_CELL_JOB_COMPLETED && !entry->ended_us)
		entry->ended_us = now_us;
}

/* Applies the state published by the owner. */
static void apply_state(struct rj_cell_view_entry *entry,
			const struct rj_cell_record *record, uint64_t now_us)
{
	struct rj_cell_summary summary;
	struct rj_error err;

	if (rj_cell_summary_decode(record->value, &summary, &err)) {
		rj_log_event("record_bad", RJ_LOG_TEXT("job", entry->id),
			     RJ_LOG_TEXT("error", err.message));
		return;
	}
	entry->state_published = true;
	rj_cell_view_set_summary(entry, &summary, now_us);
}

/* Applies the deletion of a key: the spec is deleted once the job has ended,
 * the state once callers no longer need it. */
static void apply_deletion(struct rj_cell_view *view, const char *id,
			   enum rj_cell_record_kind kind)
{
	struct rj_cell_view_entry *entry = rj_cell_view_find(view, id);

	if (!entry || entry->job)
		return;
	if (kind == RJ_CELL_RECORD_STATE) {
		rj_cell_view_drop(view, entry);
	} else if (kind == RJ_CELL_RECORD_JOB_SPEC) {
		TALLOC_FREE(entry->job_spec);
		entry->spec_removed = true;
	}
}

/* Keeps the progress stored by an owner, for the next owner. */
static void keep_progress(struct rj_cell_view_entry *entry,
			  struct rj_bytes value)
{
	talloc_free((void *)entry->progress.data);
	entry->progress.data = talloc_memdup(entry, value.data, value.length);
	entry->progress.length = value.length;
}

/*
 * Keeps a job's progress from the progress log, for a takeover.
 */
void rj_cell_view_keep_progress(struct rj_cell_view *view, const char *id,
				struct rj_bytes value)
{
	struct rj_cell_view_entry *entry = rj_cell_view_find(view, id);

	if (!entry || !entry->job_spec)
		return;
	keep_progress(entry, value);
	entry->in_progress_log = true;
}

/* Applies progress in the jobs' log, where the previous version stored it. */
static void apply_former_progress(struct rj_cell_view_entry *entry,
				  const struct rj_cell_record *record,
				  uint64_t now_us)
{
	struct rj_cell_summary summary;
	struct rj_error err;

	if (rj_cell_progress_summary(record->value, &summary, &err)) {
		rj_log_event("record_bad", RJ_LOG_TEXT("job", entry->id),
			     RJ_LOG_TEXT("error", err.message));
		return;
	}
	rj_cell_view_set_summary(entry, &summary, now_us);
	if (!entry->in_progress_log)
		keep_progress(entry, record->value);
}

/* Applies a cancellation request. */
static void apply_cancellation(struct rj_cell_view_entry *entry,
			       uint64_t now_us)
{
	entry->cancelled = true;
	if (!entry->cancelled_us)
		entry->cancelled_us = now_us;
}

/*
 * Applies a record of a job. Returns its entry, or NULL if the record is not of
 * a job or removed it.
 */
struct rj_cell_view_entry *
rj_cell_view_apply(struct rj_cell_view *view,
		   const struct rj_cell_record *record, uint64_t now_us)
{
	enum rj_cell_record_kind kind;
	struct rj_cell_view_entry *entry;
	const char *id;

	if (rj_cell_record_kind(record->key, &kind, &id) ||
	    kind > RJ_CELL_RECORD_CANCEL)
		return NULL;
	if (!record->value.length) {
		apply_deletion(view, id, kind);
		return NULL;
	}
	entry = get_or_create(view, id);
	if (kind == RJ_CELL_RECORD_JOB_SPEC)
		apply_job_spec(entry, record, now_us);
	else if (kind == RJ_CELL_RECORD_STATE)
		apply_state(entry, record, now_us);
	else if (kind == RJ_CELL_RECORD_PROGRESS)
		apply_former_progress(entry, record, now_us);
	else
		apply_cancellation(entry, now_us);
	return entry;
}

/*
 * Returns the time from which on the records of a job need not be kept for
 * longer than its status: its end, or its cancellation if it was not submitted;
 * 0 if there was neither.
 */
uint64_t rj_cell_view_over_us(const struct rj_cell_view_entry *entry)
{
	if (entry->ended_us || entry->job_spec ||
	    rj_cell_view_is_accepted(entry))
		return entry->ended_us;
	return entry->cancelled_us;
}

/*
 * Records that a job's spec is stored.
 */
void rj_cell_view_accept(struct rj_cell_view *view, const char *id)
{
	get_or_create(view, id)->accepted = true;
}

/*
 * Frees the specs of jobs, which only an owner needs, unless they can't be
 * loaded again. No job may be active in the owner.
 */
void rj_cell_view_drop_specs(struct rj_cell_view *view)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &view->entries) {
		struct rj_cell_view_entry *entry =
			RJ_CONTAINER(at, struct rj_cell_view_entry, link);

		assert(!entry->job);
		if (!entry->spec_in_jobs_log)
			TALLOC_FREE(entry->job_spec);
	}
}

/*
 * Whether a job has been accepted.
 */
bool rj_cell_view_is_accepted(const struct rj_cell_view_entry *entry)
{
	return entry && (entry->accepted || entry->state_published);
}

/*
 * Frees the progress of all jobs.
 */
void rj_cell_view_drop_progress(struct rj_cell_view *view)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &view->entries) {
		struct rj_cell_view_entry *entry =
			RJ_CONTAINER(at, struct rj_cell_view_entry, link);

		talloc_free((void *)entry->progress.data);
		entry->progress = (struct rj_bytes){ NULL, 0 };
	}
}
