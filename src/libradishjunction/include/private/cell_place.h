/*
 * Finds workers for tasks: what fits where, which fit is best, and what
 * would have to be stopped for it. Part of making a plan; see cell_plan.h.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_PLACE_H
#define RADISHJUNCTION_PRIVATE_CELL_PLACE_H

#include "private/cell_plan.h"

/* Tasks of one step of one occurrence that wait for room. */
struct rj_cell_unit {
	struct rj_cell_work *work;
	struct rj_cell_round *round;
	uint32_t step;
	uint32_t tier; /* lower tiers go first */
	uint64_t order_us;
	uint64_t waiting_us; /* since when */
	uint32_t waiting; /* tasks */
	bool far; /* may run away from its data */
	const char *service;
};

/* Room as it is now, or as it is once what is stopping has gone. */
enum rj_cell_when {
	RJ_CELL_NOW,
	RJ_CELL_SOON,
};

/* A trial to place a group of tasks, which changes nothing until taken. */
struct rj_cell_trial {
	struct rj_cell_room *rooms; /* a copy of the plan's */
	GPtrArray *workers; /* one for each task */
	GPtrArray *victims; /* struct rj_cell_run */
	uint64_t loss_milli; /* core-milliseconds that would be lost */
};

void rj_cell_trial_init(struct rj_cell_trial *trial,
			const struct rj_cell_plan *plan);
void rj_cell_trial_finish(struct rj_cell_trial *trial);
struct rj_cell_room *rj_cell_place_best(struct rj_cell_plan *plan,
					struct rj_cell_room *rooms,
					const struct rj_cell_unit *unit,
					const struct rj_cell_task *task,
					enum rj_cell_when when,
					const char *rack);
void rj_cell_place_take(struct rj_cell_room *room,
			const struct rj_cell_step *step);
bool rj_cell_place_group(struct rj_cell_plan *plan, struct rj_cell_trial *trial,
			 const struct rj_cell_unit *unit,
			 struct rj_cell_task **tasks, uint32_t count,
			 enum rj_cell_when when, const char *rack,
			 bool stop_others);
void rj_cell_trial_take(struct rj_cell_plan *plan, struct rj_cell_trial *trial);

#endif
