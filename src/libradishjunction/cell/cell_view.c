#include "private/cell_view.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/log_event.h"

/*
 * Prepare an empty view.
 */
void rj_cell_view_init(struct rj_cell_view *view, void *mem)
{
	memset(view, 0, sizeof(*view));
	view->mem = talloc_named_const(mem, 0, "cell view");
	view->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	rj_list_init(&view->entries);
}

/*
 * Forget everything.
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
 * What is known of a job, or NULL. Its definition may still be missing.
 */
struct rj_cell_entry *rj_cell_view_find(const struct rj_cell_view *view,
					const char *id)
{
	return g_hash_table_lookup(view->by_id, id);
}

/* The entry of a job, made when it is missing. */
static struct rj_cell_entry *obtain(struct rj_cell_view *view, const char *id)
{
	struct rj_cell_entry *entry = rj_cell_view_find(view, id);

	if (entry)
		return entry;
	entry = talloc_zero(view->mem, struct rj_cell_entry);
	assert(entry);
	g_strlcpy(entry->id, id, sizeof(entry->id));
	rj_list_append(&view->entries, &entry->link);
	g_hash_table_insert(view->by_id, entry->id, entry);
	view->count++;
	return entry;
}

/*
 * Forget a job; its work must be gone.
 */
void rj_cell_view_drop(struct rj_cell_view *view, struct rj_cell_entry *entry)
{
	assert(!entry->work);
	rj_list_remove(&entry->link);
	g_hash_table_remove(view->by_id, entry->id);
	view->count--;
	talloc_free(entry);
}

/* A submission; that of a job that is known changes nothing. */
static void apply_definition(struct rj_cell_entry *entry,
			     const struct rj_cell_record *record,
			     uint64_t now_us)
{
	struct rj_error err;

	if (entry->def)
		return;
	entry->def = rj_cell_def_decode(entry, record->value, &err);
	if (!entry->def)
		rj_log_event("record_bad", RJ_LOG_TEXT("job", entry->id),
			     RJ_LOG_TEXT("error", err.message));
	entry->seen_us = now_us;
}

/*
 * Let callers see a new state of a job. States only move on: one that was
 * shown is not taken back by a record that is read late.
 */
void rj_cell_view_tell(struct rj_cell_entry *entry,
		       const struct rj_cell_summary *summary, uint64_t now_us)
{
	if (summary->state < entry->told.state ||
	    entry->told.state >= RJ_CELL_JOB_COMPLETED)
		return;
	entry->told = *summary;
	if (summary->state >= RJ_CELL_JOB_COMPLETED && !entry->ended_us)
		entry->ended_us = now_us;
}

/* What the owner lets callers know of a job. */
static void apply_state(struct rj_cell_entry *entry,
			const struct rj_cell_record *record, uint64_t now_us)
{
	struct rj_cell_summary summary;
	struct rj_error err;

	if (rj_cell_summary_decode(record->value, &summary, &err)) {
		rj_log_event("record_bad", RJ_LOG_TEXT("job", entry->id),
			     RJ_LOG_TEXT("error", err.message));
		return;
	}
	rj_cell_view_tell(entry, &summary, now_us);
}

/* A key of a job was dropped: its definition once it has ended, and its state
 * when nobody has to be told of it any more. */
static void apply_drop(struct rj_cell_view *view, const char *id,
		       enum rj_cell_record_kind kind)
{
	struct rj_cell_entry *entry = rj_cell_view_find(view, id);

	if (!entry || entry->work)
		return;
	if (kind == RJ_CELL_RECORD_STATE)
		rj_cell_view_drop(view, entry);
	else if (kind == RJ_CELL_RECORD_DEFINITION)
		TALLOC_FREE(entry->def);
}

/* Keep what an owner has stored of a job, for the one that takes over. */
static void keep_progress(struct rj_cell_entry *entry, struct rj_bytes value)
{
	talloc_free((void *)entry->progress.data);
	entry->progress.data = talloc_memdup(entry, value.data, value.length);
	entry->progress.length = value.length;
}

/*
 * Keep a record of the progress log.
 */
void rj_cell_view_keep_progress(struct rj_cell_view *view, const char *id,
				struct rj_bytes value)
{
	struct rj_cell_entry *entry = rj_cell_view_find(view, id);

	if (!entry || !entry->def)
		return;
	keep_progress(entry, value);
	entry->moved = true;
}

/* Progress in the jobs' log was written by the version before. */
static void apply_former_progress(struct rj_cell_entry *entry,
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
	rj_cell_view_tell(entry, &summary, now_us);
	if (!entry->moved)
		keep_progress(entry, record->value);
}

/*
 * Take one record of a job in. Returns its entry, or NULL when the record
 * is of no job, or has dropped the job.
 */
struct rj_cell_entry *rj_cell_view_apply(struct rj_cell_view *view,
					 const struct rj_cell_record *record,
					 uint64_t now_us)
{
	enum rj_cell_record_kind kind;
	struct rj_cell_entry *entry;
	const char *id;

	if (rj_cell_record_kind(record->key, &kind, &id) ||
	    kind > RJ_CELL_RECORD_CANCEL)
		return NULL;
	if (!record->value.length) {
		apply_drop(view, id, kind);
		return NULL;
	}
	entry = obtain(view, id);
	if (kind == RJ_CELL_RECORD_DEFINITION)
		apply_definition(entry, record, now_us);
	else if (kind == RJ_CELL_RECORD_STATE)
		apply_state(entry, record, now_us);
	else if (kind == RJ_CELL_RECORD_PROGRESS)
		apply_former_progress(entry, record, now_us);
	else
		entry->cancelled = true;
	return entry;
}

/*
 * Whether a job has been accepted; its definition is gone once it has ended.
 */
bool rj_cell_view_knows(const struct rj_cell_entry *entry)
{
	return entry &&
	       (entry->def || entry->told.state >= RJ_CELL_JOB_COMPLETED);
}

/*
 * Forget the progress of all jobs.
 */
void rj_cell_view_drop_progress(struct rj_cell_view *view)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &view->entries) {
		struct rj_cell_entry *entry =
			RJ_CONTAINER(at, struct rj_cell_entry, link);

		talloc_free((void *)entry->progress.data);
		entry->progress = (struct rj_bytes){ NULL, 0 };
	}
}

/*
 * How many jobs of a queue wait without anything begun, those that wait for
 * their time left out.
 */
uint32_t rj_cell_view_pending(const struct rj_cell_view *view,
			      const char *queue)
{
	const struct rj_list *at;
	uint32_t count = 0;

	for (at = view->entries.next; at != &view->entries; at = at->next) {
		const struct rj_cell_entry *entry =
			RJ_CONTAINER(at, struct rj_cell_entry, link);

		if (entry->def && !entry->told.started && !entry->cancelled &&
		    entry->told.state == RJ_CELL_JOB_QUEUED &&
		    !entry->def->repeats && !strcmp(entry->def->queue, queue))
			count++;
	}
	return count;
}
