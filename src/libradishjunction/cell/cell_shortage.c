#include "private/cell_shortage.h"

#include <string.h>

/* Whether a group has to be placed within one rack. */
static bool needs_one_rack(const struct rj_cell_task_group *group,
			   uint32_t count)
{
	const struct rj_cell_step *step =
		&group->job->job_spec->steps[group->step];

	return step->one_rack && count > 1 && !group->remote_allowed;
}

/* Whether the search that found a shortage covered all workers that a group may
 * use. */
static bool applies_to(const struct rj_cell_shortage *shortage,
		       const struct rj_cell_task_group *group)
{
	const struct rj_cell_step *step =
		&group->job->job_spec->steps[group->step];
	const struct rj_cell_step *other = shortage->step;

	return step->scavenges == other->scavenges &&
	       (shortage->may_use_reserved || !group->may_use_reserved) &&
	       (shortage->may_use_exclusive || !group->may_use_exclusive) &&
	       (shortage->may_use_suspect || !group->may_use_suspect) &&
	       (shortage->remote_allowed || !group->remote_allowed) &&
	       (!other->label[0] || !strcmp(other->label, step->label)) &&
	       (!other->rack[0] || shortage->remote_allowed ||
		!strcmp(other->rack, step->rack)) &&
	       shortage->service == group->service;
}

/*
 * Whether `count` tasks of a group cannot be placed, as no place was found in
 * this plan for tasks that need no more.
 *
 * Guards against plans that grow with the backlog: under load most waiting
 * steps cannot be placed, and each would evaluate every worker.
 */
bool rj_cell_shortage_is_known(const struct rj_cell_plan *plan,
			       const struct rj_cell_task_group *group,
			       uint32_t count, enum rj_cell_horizon horizon)
{
	const struct rj_cell_demand *demand =
		&group->job->job_spec->steps[group->step].each;
	bool one_rack_needed = needs_one_rack(group, count);

	for (guint i = 0; i < plan->shortages->len; i++) {
		const struct rj_cell_shortage *shortage = &g_array_index(
			plan->shortages, struct rj_cell_shortage, i);

		if (shortage->horizon == horizon && count >= shortage->count &&
		    (one_rack_needed || !shortage->in_one_rack) &&
		    rj_cell_demand_fits(&shortage->step->each, demand) &&
		    applies_to(shortage, group))
			return true;
	}
	return false;
}

/*
 * Records that `count` tasks of a group could not be placed. Steps with a limit
 * for each worker and steps with advice are left out: their limits apply to no
 * other step.
 */
void rj_cell_shortage_record(struct rj_cell_plan *plan,
			     const struct rj_cell_task_group *group,
			     uint32_t count, enum rj_cell_horizon horizon)
{
	const struct rj_cell_step *step =
		&group->job->job_spec->steps[group->step];
	struct rj_cell_shortage shortage = {
		.step = step,
		.service = group->service,
		.horizon = horizon,
		.count = count,
		.remote_allowed = group->remote_allowed,
		.may_use_reserved = group->may_use_reserved,
		.may_use_exclusive = group->may_use_exclusive,
		.may_use_suspect = group->may_use_suspect,
		.in_one_rack = needs_one_rack(group, count),
	};

	if (!step->per_worker_max && !group->advised)
		g_array_append_val(plan->shortages, shortage);
}
