/*
 * The topology planner: aware of racks, guarantees and recorded run times.
 *
 * Life cycle: `rj_planner_topology_init`, then as for any `struct rj_planner`;
 * `finish` frees the state. docs/POLICY.md describes the policy.
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
