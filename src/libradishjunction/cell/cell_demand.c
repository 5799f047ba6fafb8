#include "private/cell_job_spec.h"

#include <glib.h>

bool rj_cell_demand_fits(const struct rj_cell_demand *demand,
			 const struct rj_cell_demand *available)
{
	return demand->cpu_milli <= available->cpu_milli &&
	       demand->memory_mb <= available->memory_mb &&
	       demand->accelerators <= available->accelerators;
}

/*
 * Subtracts `part` from `from`; each resource stops at 0.
 */
void rj_cell_demand_subtract(struct rj_cell_demand *from,
			     const struct rj_cell_demand *part)
{
	from->cpu_milli -= MIN(from->cpu_milli, part->cpu_milli);
	from->memory_mb -= MIN(from->memory_mb, part->memory_mb);
	from->accelerators -= MIN(from->accelerators, part->accelerators);
}

void rj_cell_demand_add(struct rj_cell_demand *to,
			const struct rj_cell_demand *part)
{
	to->cpu_milli += part->cpu_milli;
	to->memory_mb += part->memory_mb;
	to->accelerators += part->accelerators;
}

/*
 * Returns the resources that a task of a step is allocated on its worker. The
 * cores of a scavenging step are not counted.
 */
struct rj_cell_demand rj_cell_step_allocation(const struct rj_cell_step *step)
{
	struct rj_cell_demand demand = step->each;

	if (step->scavenges)
		demand.cpu_milli = 0;
	return demand;
}
