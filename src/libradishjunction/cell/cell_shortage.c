#include "private/cell_shortage.h"

#include <string.h>

/* Whether a group has to be placed within one rack. */
static bool is_confined(const struct rj_cell_task_group *unit, uint32_t count)
{
	const struct rj_cell_step *step = &unit->work->def->steps[unit->step];

	return step->one_rack && count > 1 && !unit->far;
}

/* Whether a shortage was found among all workers that a unit may use. */
static bool covers(const struct rj_cell_shortage *shortage,
		   const struct rj_cell_task_group *unit)
{
	const struct rj_cell_step *step = &unit->work->def->steps[unit->step];
	const struct rj_cell_step *other = shortage->step;

	return step->scavenges == other->scavenges &&
	       (shortage->may_use_reserved || !unit->may_use_reserved) &&
	       (shortage->may_use_exclusive || !unit->may_use_exclusive) &&
	       (shortage->far || !unit->far) &&
	       (!other->label[0] || !strcmp(other->label, step->label)) &&
	       (!other->rack[0] || shortage->far ||
		!strcmp(other->rack, step->rack)) &&
	       shortage->service == unit->service;
}

/*
 * Whether so many tasks of a unit cannot be placed, as others that want no
 * more could not in this plan.
 *
 * Load that it answers: a backlog, which would make each plan longer: under
 * load most waiting steps find no room, and each would weigh every worker.
 */
bool rj_cell_shortage_is_known(const struct rj_cell_plan *plan,
			       const struct rj_cell_task_group *unit,
			       uint32_t count, enum rj_cell_horizon when)
{
	const struct rj_cell_demand *want =
		&unit->work->def->steps[unit->step].each;
	bool confined = is_confined(unit, count);

	for (guint i = 0; i < plan->shortages->len; i++) {
		const struct rj_cell_shortage *shortage = &g_array_index(
			plan->shortages, struct rj_cell_shortage, i);

		if (shortage->when == when && count >= shortage->count &&
		    (confined || !shortage->in_one_rack) &&
		    rj_cell_demand_fits(&shortage->step->each, want) &&
		    covers(shortage, unit))
			return true;
	}
	return false;
}

/*
 * Remember that so many tasks of a unit could not be placed. Limits that hold
 * for no other step are left out.
 */
void rj_cell_shortage_record(struct rj_cell_plan *plan,
			     const struct rj_cell_task_group *unit,
			     uint32_t count, enum rj_cell_horizon when)
{
	const struct rj_cell_step *step = &unit->work->def->steps[unit->step];
	struct rj_cell_shortage shortage = {
		.step = step,
		.service = unit->service,
		.when = when,
		.count = count,
		.far = unit->far,
		.may_use_reserved = unit->may_use_reserved,
		.may_use_exclusive = unit->may_use_exclusive,
		.in_one_rack = is_confined(unit, count),
	};

	if (!step->per_worker_max && !unit->advised)
		g_array_append_val(plan->shortages, shortage);
}
