/*
 * Reference planner: first come, first served with best-fit placement and EASY
 * backfill, based on the run times that callers declare.
 *
 * Life cycle: as any `struct rj_planner`. It ignores guarantees, priorities and
 * shares, and serves as the baseline for the topology planner.
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
