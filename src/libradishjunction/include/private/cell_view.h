/*
 * What an instance knows of the jobs of a cell from the jobs' log: every
 * instance has one, whether it owns the cell or not.
 *
 * Life cycle: `rj_cell_view_init`, `rj_cell_view_apply` for each record in
 * the order of the log, `rj_cell_view_finish`. Entries stay until their keys
 * are dropped.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_VIEW_H
#define RADISHJUNCTION_PRIVATE_CELL_VIEW_H

#include <glib.h>

#include "private/cell_record.h"
#include "private/cell_store.h"

struct rj_cell_view_entry {
	struct rj_list link; /* in the view, in the order of discovery */
	char id[RJ_CELL_ID_BYTES];
	struct rj_cell_job_spec
		*job_spec; /* NULL until seen, and once it has ended */
	bool cancelled; /* a wish to cancel it stands in the log */
	struct rj_cell_summary summary; /* what callers may be told */
	struct rj_bytes progress; /* while a takeover is under way */
	bool in_progress_log; /* its progress stands in the progress log */
	uint64_t seen_us; /* when its definition was seen here */
	uint64_t ended_us; /* when it was seen to have ended, or 0 */
	struct rj_cell_job *job; /* of the owner, or NULL */
};

struct rj_cell_view {
	void *mem;
	GHashTable *by_id;
	struct rj_list entries;
	uint32_t count;
};

void rj_cell_view_init(struct rj_cell_view *view, void *mem);
void rj_cell_view_finish(struct rj_cell_view *view);
struct rj_cell_view_entry *rj_cell_view_find(const struct rj_cell_view *view,
					     const char *id);
struct rj_cell_view_entry *
rj_cell_view_apply(struct rj_cell_view *view,
		   const struct rj_cell_record *record, uint64_t now_us);
void rj_cell_view_set_summary(struct rj_cell_view_entry *entry,
			      const struct rj_cell_summary *summary,
			      uint64_t now_us);
bool rj_cell_view_is_accepted(const struct rj_cell_view_entry *entry);
void rj_cell_view_keep_progress(struct rj_cell_view *view, const char *id,
				struct rj_bytes value);
void rj_cell_view_drop_progress(struct rj_cell_view *view);
void rj_cell_view_drop(struct rj_cell_view *view,
		       struct rj_cell_view_entry *entry);
uint32_t rj_cell_view_pending(const struct rj_cell_view *view,
			      const char *queue);

#endif
