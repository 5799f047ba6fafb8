/*
 * The textbook scheduler: best fit, first come first served, with EASY
 * backfill by the run times that callers declare.
 *
 * Life cycle: as any `struct rj_planner`. Knows no guarantee, priority or
 * share; it is what the planner by topology is measured beside.
 */
#ifndef NAIVE_PLANNER_EASY_H
#define NAIVE_PLANNER_EASY_H

#include "radishjunction/planner.h"

struct planner_easy {
	struct rj_planner base;
	struct easy_state *state;
};

int planner_easy_init(struct planner_easy *planner, void *mem);

#endif
