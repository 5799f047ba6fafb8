/*
 * Jobs of a cell as read from the logs. Every instance keeps a view: the owner
 * with specs, the others with what callers may see.
 *
 * Records are applied in log order. Entries stay until their keys are deleted.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_VIEW_H
#define RADISHJUNCTION_PRIVATE_CELL_VIEW_H

#include <glib.h>

#include "private/cell_record.h"
#include "private/cell_store.h"

struct rj_cell_view_entry {
	struct rj_list link; /* in the view, in the order of the first record */
	char id[RJ_CELL_ID_BYTES];
	/* NULL until it is read, after the job has ended, and in instances that
	 * do not own the cell. */
	struct rj_cell_job_spec *job_spec;
	/* The previous version stored its spec in the jobs' log, which is not
	 * loaded again at a takeover. */
	bool spec_in_jobs_log;
	bool accepted; /* its spec is or was in a log */
	bool state_published; /* the owner has stored a state of it */
	bool cancelled; /* a cancellation request is in the log */
	uint64_t cancelled_us; /* when it was read, or 0 */
	struct rj_cell_summary summary; /* what callers may see */
	struct rj_bytes progress; /* until a takeover has loaded it */
	bool in_progress_log; /* its progress is in the progress log */
	uint64_t seen_us; /* when its spec was read */
	uint64_t ended_us; /* when its end was read, or 0 */
	bool spec_removed; /* its spec has been removed from the log since */
	uint64_t spec_removal_due_us; /* when to remove it again, if not */
	struct rj_cell_job *job; /* the owner's state of it, or NULL */
};

struct rj_cell_view {
	void *mem;
	GHashTable *by_id;
	struct rj_list entries;
	uint32_t count;
};

void rj_cell_view_init(struct rj_cell_view *view, void *mem);
void rj_cell_view_finish(struct rj_cell_view *view);
uint64_t rj_cell_view_over_us(const struct rj_cell_view_entry *entry);
struct rj_cell_view_entry *rj_cell_view_find(const struct rj_cell_view *view,
					     const char *id);
struct rj_cell_view_entry *
rj_cell_view_apply(struct rj_cell_view *view,
		   const struct rj_cell_record *record, uint64_t now_us);
void rj_cell_view_set_summary(struct rj_cell_view_entry *entry,
			      const struct rj_cell_summary *summary,
			      uint64_t now_us);
void rj_cell_view_accept(struct rj_cell_view *view, const char *id);
void rj_cell_view_drop_specs(struct rj_cell_view *view);
bool rj_cell_view_is_accepted(const struct rj_cell_view_entry *entry);
void rj_cell_view_keep_progress(struct rj_cell_view *view, const char *id,
				struct rj_bytes value);
void rj_cell_view_drop_progress(struct rj_cell_view *view);
void rj_cell_view_drop(struct rj_cell_view *view,
		       struct rj_cell_view_entry *entry);

#endif
