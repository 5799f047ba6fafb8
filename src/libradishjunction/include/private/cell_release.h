/*
 * What each worker's runs would free, and when: listed once a plan for a
 * worker, however many tasks ask for room there.
 *
 * Life cycle: made on first use while a plan is made, freed with its rooms.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_RELEASE_H
#define RADISHJUNCTION_PRIVATE_CELL_RELEASE_H

#include "private/cell_plan.h"

/* A run that is not being stopped yet. */
struct rj_cell_release {
	struct rj_cell_run *run;
	uint64_t remaining_us; /* until it ends by itself */
	uint64_t loss_milli; /* core-milliseconds lost if it is stopped */
};

/* The runs of one worker. */
struct rj_cell_releases {
	bool computed;
	uint32_t count;
	struct rj_cell_release *by_time; /* the first to end first */
	struct rj_cell_release *by_loss; /* the cheapest first */
};

const struct rj_cell_releases *
rj_cell_releases_get(struct rj_cell_plan *plan,
		     const struct rj_cell_plan_worker *plan_worker);

#endif
