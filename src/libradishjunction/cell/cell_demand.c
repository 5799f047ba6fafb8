#include "private/cell_job.h"

#include <glib.h>

/*
 * Whether `want` fits into `have`.
 */
bool rj_cell_demand_fits(const struct rj_cell_demand *want,
			 const struct rj_cell_demand *have)
{
	return want->cpu_milli <= have->cpu_milli &&
	       want->memory_mb <= have->memory_mb &&
	       want->accelerators <= have->accelerators;
}

/*
 * Take `part` off `from`, down to nothing.
 */
void rj_cell_demand_subtract(struct rj_cell_demand *from,
			     const struct rj_cell_demand *part)
{
	from->cpu_milli -= MIN(from->cpu_milli, part->cpu_milli);
	from->memory_mb -= MIN(from->memory_mb, part->memory_mb);
	from->accelerators -= MIN(from->accelerators, part->accelerators);
}

/*
 * Give `part` back.
 */
void rj_cell_demand_add(struct rj_cell_demand *to,
			const struct rj_cell_demand *part)
{
	to->cpu_milli += part->cpu_milli;
	to->memory_mb += part->memory_mb;
	to->accelerators += part->accelerators;
}

/*
 * What a task of a step takes of its worker's room; the cores of scavenging
 * steps are not counted.
 */
struct rj_cell_demand rj_cell_step_allocation(const struct rj_cell_step *step)
{
	struct rj_cell_demand demand = step->each;

	if (step->scavenges)
		demand.cpu_milli = 0;
	return demand;
}
