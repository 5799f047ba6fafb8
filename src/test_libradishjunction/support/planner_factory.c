#include <talloc.h>

#include "naive/planner_easy.h"
#include "radishjunction/planner_topology.h"
#include "support/plan_simulation.h"

/*
 * Creates a first-fit planner.
 */
static struct rj_planner *make_first_fit(void *mem)
{
	struct rj_planner_first_fit *planner =
		talloc_zero(mem, struct rj_planner_first_fit);

	rj_planner_first_fit_init(planner, mem);
	return &planner->base;
}

/*
 * Creates an EASY backfill planner.
 */
static struct rj_planner *make_easy(void *mem)
{
	struct planner_easy *planner = talloc_zero(mem, struct planner_easy);

	planner_easy_init(planner, mem);
	return &planner->base;
}

/*
 * Creates a topology planner.
 */
static struct rj_planner *make_topology(void *mem)
{
	struct rj_planner_topology *planner =
		talloc_zero(mem, struct rj_planner_topology);

	rj_planner_topology_init(planner, mem);
	return &planner->base;
}

const struct planner_factory planner_factory_first_fit = { "first_fit",
							   make_first_fit };
const struct planner_factory planner_factory_easy = { "easy", make_easy };
const struct planner_factory planner_factory_topology = { "topology",
							  make_topology };
