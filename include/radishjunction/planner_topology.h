/*
 * The planner that knows racks, guarantees and learnt run times.
 *
 * Life cycle: `rj_planner_topology_init` on the caller's memory, then as
 * any `struct rj_planner`; its `finish` frees the state. What it weighs is
 * told in docs/POLICY.md.
 */
#ifndef RADISHJUNCTION_PLANNER_TOPOLOGY_H
#define RADISHJUNCTION_PLANNER_TOPOLOGY_H

#include "radishjunction/planner.h"

struct rj_planner_topology {
	struct rj_planner base;
	struct rj_topology_state *state;
};

int rj_planner_topology_init(struct rj_planner_topology *planner, void *mem);

#endif
