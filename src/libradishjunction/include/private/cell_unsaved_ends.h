/*
 * Completions whose effects on a job are not stored yet: for each worker, the
 * position of the first of them. A worker keeps them until they are
 * acknowledged, and they are acknowledged once they are stored.
 *
 * A zeroed struct is empty. Call `rj_cell_unsaved_ends_add` for each completion
 * of a run of the job, `_append_begin` when the job's record is encoded and
 * `_append_end` with its outcome; `_finish` frees everything.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_UNSAVED_ENDS_H
#define RADISHJUNCTION_PRIVATE_CELL_UNSAVED_ENDS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct rj_cell_worker;

struct rj_cell_unsaved_ends {
	/* Worker -> its first completion; NULL: none. */
	GHashTable *waiting;
	GHashTable *appending; /* in the record that is being appended */
};

void rj_cell_unsaved_ends_add(struct rj_cell_unsaved_ends *ends,
			      const struct rj_cell_worker *worker,
			      uint64_t position);
void rj_cell_unsaved_ends_append_begin(struct rj_cell_unsaved_ends *ends);
void rj_cell_unsaved_ends_append_end(struct rj_cell_unsaved_ends *ends,
				     bool stored);
uint64_t rj_cell_unsaved_ends_first(const struct rj_cell_unsaved_ends *ends,
				    const struct rj_cell_worker *worker);
void rj_cell_unsaved_ends_finish(struct rj_cell_unsaved_ends *ends);

#endif
