/*
 * Guarantees of client accounts: which urgent jobs hold a part of the accelerators
 * that the configuration guarantees to their account.
 *
 * An account has its guarantee at all times, however much more its jobs need.
 * Each urgent job that has not ended holds what it still needs, or nothing, by
 * these rules:
 * - A job that has not begun keeps what it holds until all tasks of its first
 *   step have begun: no other job, lost run or configuration takes it away.
 * - A job that has begun keeps it while the guarantee suffices, also for those
 *   above; of several, the earlier ones do.
 * - The rest goes to jobs that have runs, then to those that wait, in the order
 *   in which the log took them; a job for which it does not suffice is passed
 *   over.
 * - Shortly before its bound, a job that has not begun also gets what jobs hold
 *   that are expected to have ended by then.
 * A successor applies them anew to the jobs and runs that it adopts.
 *
 * Runs of a job that holds its need are never preempted, and it may preempt any
 * run of a job that holds nothing. `rj_cell_guarantees_update` decides who holds
 * what; admission, the order of placement and preemption ask its result. Life
 * cycle: `rj_cell_guarantees_init`, any number of updates,
 * `rj_cell_guarantees_finish`.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_GUARANTEE_H
#define RADISHJUNCTION_PRIVATE_CELL_GUARANTEE_H

#include <glib.h>

#include "private/cell_active_job.h"
#include "private/cell_config.h"
#include "private/cell_forecast.h"

/* The guarantee of one account, in accelerators. */
struct rj_cell_guarantee {
	char account[RJ_NAME_BYTES];
	bool configured; /* the account exists */
	uint64_t limit; /* by the configuration */
	uint64_t needed; /* by its urgent jobs that have not ended */
	/* Held by its jobs; above `limit` for a while after the limit was
	 * lowered or shortly before the bound of a job. */
	uint64_t held;
	bool bound_near; /* a job that holds nothing has to begin now */
	uint64_t ending; /* if so: part of `held` of jobs about to end */
	bool exceeded; /* `needed` was above `limit` in the last update */
};

struct rj_cell_guarantees {
	GHashTable *by_account; /* name -> struct rj_cell_guarantee */
	uint32_t bound_ms; /* guaranteed jobs begin within this; 0: no bound */
	uint64_t lead_us; /* takes a job at most to stop others and begin */
	uint64_t config_version; /* of the last update; 0: none */
	/* Urgent jobs that have not begun within the bound, without and with a
	 * guarantee at that time. */
	uint64_t late_starts[2];
};

void rj_cell_guarantees_init(struct rj_cell_guarantees *guarantees,
			     uint32_t bound_ms, uint32_t stop_ms);
void rj_cell_guarantees_finish(struct rj_cell_guarantees *guarantees);
void rj_cell_guarantees_update(struct rj_cell_guarantees *guarantees,
			       struct rj_list *jobs,
			       const struct rj_cell_config *config,
			       const struct rj_cell_forecast *forecast,
			       uint64_t now_us);
bool rj_cell_guarantees_bound_is_near(
	const struct rj_cell_guarantees *guarantees,
	const struct rj_cell_job *job, uint64_t now_us);
bool rj_cell_guarantees_bound_is_ahead(
	const struct rj_cell_guarantees *guarantees,
	const struct rj_cell_job *job, uint64_t now_us);
struct rj_cell_guarantee
rj_cell_guarantees_get(const struct rj_cell_guarantees *guarantees,
		       const char *account);
bool rj_cell_guarantee_has_room(const struct rj_cell_guarantee *guarantee);
bool rj_cell_guarantees_have_room(const struct rj_cell_guarantees *guarantees,
				  const struct rj_cell_config *config);

#endif
