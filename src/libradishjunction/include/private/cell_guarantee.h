/*
 * Guarantees of client accounts: which urgent jobs of an account are within the
 * accelerators that the configuration guarantees to it.
 *
 * `rj_cell_guarantees_update` decides that for all jobs of an owner; admission,
 * the order of placement and preemption ask its result. Life cycle:
 * `rj_cell_guarantees_init`, any number of updates, `rj_cell_guarantees_finish`.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_GUARANTEE_H
#define RADISHJUNCTION_PRIVATE_CELL_GUARANTEE_H

#include <glib.h>

#include "private/cell_active_job.h"
#include "private/cell_config.h"

/* The guarantee of one account, in accelerators. */
struct rj_cell_guarantee {
	char account[RJ_NAME_BYTES];
	bool configured; /* the account exists */
	uint64_t limit; /* by the configuration */
	uint64_t needed; /* by its urgent jobs that have not ended */
	bool exceeded; /* `needed` was above `limit` in the last update */
};

struct rj_cell_guarantees {
	GHashTable *by_account; /* name -> struct rj_cell_guarantee */
	uint32_t bound_ms; /* guaranteed jobs begin within this; 0: no bound */
	uint64_t config_version; /* of the last update; 0: none */
	/* Urgent jobs that have not begun within the bound, without and with a
	 * guarantee at that time. */
	uint64_t late_starts[2];
};

void rj_cell_guarantees_init(struct rj_cell_guarantees *guarantees,
			     uint32_t bound_ms);
void rj_cell_guarantees_finish(struct rj_cell_guarantees *guarantees);
void rj_cell_guarantees_update(struct rj_cell_guarantees *guarantees,
			       struct rj_list *jobs,
			       const struct rj_cell_config *config,
			       uint64_t now_us);
struct rj_cell_guarantee
rj_cell_guarantees_get(const struct rj_cell_guarantees *guarantees,
		       const char *account);
bool rj_cell_guarantee_has_room(const struct rj_cell_guarantee *guarantee);
bool rj_cell_guarantees_have_room(const struct rj_cell_guarantees *guarantees,
				  const struct rj_cell_config *config);

#endif
