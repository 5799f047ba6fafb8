/*
 * Ends of runs that workers have reported to an owner and that are not stored.
 *
 * An owner that is cut off from the log may be the only one to know of them, as
 * the worker may leave before a successor reaches it. When it is replaced, it
 * publishes them in the log of requests, and the successor applies them instead
 * of waiting for the leases of the worker. What a successor reads before it has
 * taken over is kept until then.
 *
 * A zeroed struct is empty. Call `rj_cell_ended_runs_add` for each reported end,
 * `_storing` when everything so far is being stored, and `_stored` when it is;
 * `_publish` and `_finish` empty it.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_ENDED_RUNS_H
#define RADISHJUNCTION_PRIVATE_CELL_ENDED_RUNS_H

#include <glib.h>

#include "private/cell_workers.h"
#include "private/cell_writer.h"

struct rj_cell_owner;

struct rj_cell_ended_runs {
	GPtrArray *rows; /* struct row, in the order of the reports; or NULL */
	guint storing; /* the first ones, which are being stored */
	/* Published ones that were read during a takeover, or NULL. */
	GPtrArray *early;
	uint64_t early_token; /* of the owner that published them */
};

void rj_cell_ended_runs_add(struct rj_cell_ended_runs *ended,
			    const char *worker,
			    const struct rj_cell_completion_report *report);
void rj_cell_ended_runs_storing(struct rj_cell_ended_runs *ended);
void rj_cell_ended_runs_stored(struct rj_cell_ended_runs *ended);
void rj_cell_ended_runs_publish(struct rj_cell_ended_runs *ended,
				struct rj_cell_writer *writer,
				const char *instance, uint64_t token,
				uint64_t now_us);
void rj_cell_ended_runs_read(struct rj_cell_owner *owner,
			     const struct rj_cell_record *record);
void rj_cell_ended_runs_apply_early(struct rj_cell_owner *owner);
void rj_cell_ended_runs_finish(struct rj_cell_ended_runs *ended);

#endif
