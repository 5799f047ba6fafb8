/*
 * What each worker's runs would free, and when. Computed once for each worker
 * and plan, however many tasks are evaluated there.
 *
 * Life cycle: computed on first use while a plan is made, freed with the plan's
 * workers.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_RELEASE_H
#define RADISHJUNCTION_PRIVATE_CELL_RELEASE_H

#include "private/cell_plan.h"

/* A run that is not being stopped. */
struct rj_cell_release {
	struct rj_cell_run *run;
	uint64_t remaining_us; /* expected time to completion */
	uint64_t loss_milli; /* core-milliseconds lost if it is stopped */
	/* By which victims are chosen, the lowest first: the loss, but less for
	 * accounts over their share. */
	uint64_t order_milli;
};

/* The runs of one worker that are not being stopped. */
struct rj_cell_releases {
	bool computed;
	uint32_t count;
	struct rj_cell_release *by_time; /* the earliest completion first */
	struct rj_cell_release *by_loss; /* the smallest loss first */
};

const struct rj_cell_releases *
rj_cell_releases_get(struct rj_cell_plan *plan,
		     const struct rj_cell_plan_worker *plan_worker);

#endif
