#include "private/cell_task_groups.h"

#include <string.h>

/*
 * Data that is far away makes a task take three times as long, so it waits
 * for a worker near it for half of its own estimate, and no longer than
 * this: users expect idle capacity to be used within 3 s.
 */
#define FAR_WAIT_MAX_MS 1500

/*
 * What is reserved for urgent work is opened to others that have waited so long
 * when less than this is in use: users expect idle capacity to be used.
 */
#define RESERVED_WAIT_US (2 * RJ_US_PER_S)
#define RESERVED_USED_PERCENT 55
/* Work that is not urgent and has waited for this part of the time that its
 * objective leaves has a claim on the share of its priority. */
#define OVERDUE_PERCENT 50
/* Work that has not begun when this part of the time has passed in which it is
 * of any use does not make way for other work of its priority any more. */
#define LAST_CHANCE_PERCENT 60

/* Work goes in this order, whatever its priority. */
enum tier {
	TIER_GUARANTEED, /* its account has a right to the room at once */
	TIER_USEFUL, /* it can still be of use to its caller */
	TIER_HOPELESS, /* too late; it only has to end some day */
};

/* Work of one priority that is not urgent goes in this order. */
enum standing {
	STANDING_FIRST, /* it has begun, or must begin to be of any use */
	STANDING_IN_TIME, /* it can still meet its objective */
	STANDING_LATE,
};

/*
 * Whether a task waits for room.
 */
bool rj_cell_plan_task_waits(const struct rj_cell_plan *plan,
			     const struct rj_cell_task *task)
{
	return !task->done && !task->planned &&
	       task->runs.next == &task->runs &&
	       plan->now_us >= task->not_before_us;
}

/* Note since when the waiting tasks of a step wait. Returns their number;
 * 0 for a gang of which a member still runs or may not start yet. */
static uint32_t count_waiting(struct rj_cell_plan *plan,
			      struct rj_cell_occurrence *occurrence,
			      uint32_t step, uint64_t *since_us)
{
	const struct rj_cell_job_spec *job_spec = occurrence->job->job_spec;
	uint32_t first = rj_cell_job_spec_first_task(job_spec, step);
	uint32_t waiting = 0;

	*since_us = plan->now_us;
	for (uint32_t i = first; i < first + job_spec->steps[step].task_count;
	     i++) {
		struct rj_cell_task *task = &occurrence->tasks[i];

		if (plan->now_us < task->not_before_us)
			plan->next_us = MIN(plan->next_us, task->not_before_us);
		if (!rj_cell_plan_task_waits(plan, task)) {
			if (job_spec->steps[step].gang)
				return 0;
			continue;
		}
		if (!task->waiting_us)
			task->waiting_us = plan->now_us;
		if (task->waiting_us < *since_us)
			*since_us = task->waiting_us;
		waiting++;
	}
	return waiting;
}

/* Whether a step has waited long enough to run away from its data, or has
 * nothing to wait for. */
static bool may_be_far(const struct rj_cell_plan *plan,
		       const struct rj_cell_step *step, uint64_t since_us)
{
	uint64_t patience_ms = step->estimate_ms / 2;

	if (step->rack[0] &&
	    rj_cell_fleet_rack_cordoned(plan->fleet, step->rack))
		return true;
	if (patience_ms > FAR_WAIT_MAX_MS)
		patience_ms = FAR_WAIT_MAX_MS;
	return plan->now_us - since_us >= patience_ms * RJ_US_PER_MS;
}

/* Whether a job is urgent and has not ended. */
static bool is_urgent(const struct rj_cell_job *job)
{
	return !job->job_spec->priority && !job->cancelled &&
	       job->state < RJ_CELL_JOB_COMPLETED;
}

/* Add up the accelerators that the urgent jobs of each account need. */
static void sum_needs(struct rj_cell_plan *plan)
{
	const struct rj_list *at;

	for (at = plan->works->next; at != plan->works; at = at->next) {
		const struct rj_cell_job *job =
			RJ_CONTAINER(at, struct rj_cell_job, link);
		const struct rj_cell_job_spec *job_spec = job->job_spec;
		guint need;

		if (!is_urgent(job))
			continue;
		need = GPOINTER_TO_UINT(
			g_hash_table_lookup(plan->needs, job_spec->account));
		for (uint32_t i = 0; i < job_spec->step_count; i++)
			need += job_spec->steps[i].task_count *
				job_spec->steps[i].each.accelerators;
		g_hash_table_insert(plan->needs, (gpointer)job_spec->account,
				    GUINT_TO_POINTER(need));
	}
}

/* Whether a job has a right to its room at once: the urgent jobs of its
 * account need no more than is guaranteed to it. */
static bool is_guaranteed(const struct rj_cell_plan *plan,
			  const struct rj_cell_job *job)
{
	const struct rj_cell_account *account =
		plan->config ? rj_cell_config_account(plan->config,
						      job->job_spec->account) :
			       NULL;

	return is_urgent(job) && account &&
	       GPOINTER_TO_UINT(
		       g_hash_table_lookup(plan->needs, account->name)) <=
		       account->guaranteed_accelerators;
}

/*
 * Whether so much is idle that what is reserved for urgent work is open to a step
 * that has waited for a while. What the plan has started counts as in use, as
 * much work may end at once and make way for the next.
 */
static bool is_idle(const struct rj_cell_plan *plan,
		    const struct rj_cell_task_group *unit)
{
	return rj_cell_usage_percent(&plan->usage) < RESERVED_USED_PERCENT &&
	       plan->now_us - unit->waiting_us >= RESERVED_WAIT_US;
}

/* Whether only some workers may run a step, however much room others have. */
static bool is_confined(const struct rj_cell_task_group *unit)
{
	return unit->job->job_spec->steps[unit->step].label[0] || unit->advised;
}

/*
 * Say what a step may use of what is reserved for urgent work: all of it if it
 * is urgent, or overdue and bound to some workers; the open part if it can be
 * stopped at no loss.
 */
void rj_cell_task_group_set_reserved(const struct rj_cell_plan *plan,
				     struct rj_cell_task_group *unit)
{
	const struct rj_cell_job_spec *job_spec = unit->job->job_spec;
	const struct rj_cell_step *step = &job_spec->steps[unit->step];

	unit->may_use_exclusive = !job_spec->priority || is_idle(plan, unit) ||
				  (unit->overdue && is_confined(unit));
	unit->may_use_reserved = unit->may_use_exclusive ||
				 (step->checkpoints && !step->perpetual);
}

/*
 * Whether ends that nobody has listed may have used up a gang's attempts.
 *
 * Guards against one attempt too many: a failure on a worker that was cut off
 * is listed once the worker is back.
 */
static bool may_be_used_up(const struct rj_cell_plan *plan,
			   const struct rj_cell_occurrence *occurrence,
			   uint32_t step)
{
	const struct rj_cell_job_spec *job_spec = occurrence->job->job_spec;
	const struct rj_cell_task *head =
		&occurrence->tasks[rj_cell_job_spec_first_task(job_spec, step)];

	return job_spec->steps[step].gang && !job_spec->steps[step].perpetual &&
	       head->unreported && plan->now_us < head->unreported_until_us &&
	       head->failures + head->unreported >= job_spec->attempts_max;
}

/*
 * For how long a step could have been served: since its job was accepted or its
 * occurrence was due; of what lasts, since its tasks wait.
 */
static uint64_t age_of(const struct rj_cell_plan *plan,
		       const struct rj_cell_task_group *unit)
{
	const struct rj_cell_job *job = unit->job;
	uint64_t due_us = job->accepted_us +
			  rj_cell_occurrence_due_after_us(unit->occurrence);

	if (job->job_spec->steps[unit->step].perpetual)
		due_us = unit->waiting_us;
	return plan->now_us - MIN(plan->now_us, due_us);
}

/* In which tier a step of a job goes. */
static enum tier tier_of(const struct rj_cell_task_group *unit, uint64_t age_us)
{
	const struct rj_cell_job *job = unit->job;

	if (unit->guaranteed)
		return TIER_GUARANTEED;
	if (!job->job_spec->steps[unit->step].perpetual &&
	    age_us > job->late_us - job->accepted_us)
		return TIER_HOPELESS;
	return TIER_USEFUL;
}

/*
 * Note how work that is not urgent stands against its objective.
 *
 * Load that it answers: more work of a priority than the cell can serve for a
 * while. In the order of acceptance all of it would end late.
 */
static void set_standing(struct rj_cell_plan *plan,
			 struct rj_cell_task_group *unit, uint64_t age_us)
{
	const struct rj_cell_job *job = unit->job;
	uint64_t chain_us = rj_cell_forecast_critical_path_ms(plan->forecast,
							      job->job_spec) *
			    RJ_US_PER_MS;
	uint64_t objective_us = job->objective_us - job->accepted_us;
	uint64_t slack_us = objective_us - MIN(objective_us, chain_us);
	uint64_t late_us = job->late_us - job->accepted_us;

	if (!job->job_spec->priority)
		return;
	if (job->started || age_us * 100 >= late_us * LAST_CHANCE_PERCENT)
		unit->standing = STANDING_FIRST;
	else if (age_us <= slack_us)
		unit->standing = STANDING_IN_TIME;
	else
		unit->standing = STANDING_LATE;
	if (unit->tier == TIER_HOPELESS)
		return;
	unit->overdue = age_us * 100 >= slack_us * OVERDUE_PERCENT;
	plan->misses_objective |=
		age_us >= slack_us && !is_confined(unit) &&
		plan->now_us - unit->waiting_us >= RESERVED_WAIT_US;
}

/* Note the waiting tasks of one step. */
static void add_unit(struct rj_cell_plan *plan,
		     struct rj_cell_occurrence *occurrence, uint32_t step)
{
	struct rj_cell_job *job = occurrence->job;
	const struct rj_cell_queue *queue =
		plan->config ? rj_cell_config_queue(plan->config,
						    job->job_spec->queue) :
			       NULL;
	struct rj_cell_task_group unit = { .job = job,
					   .occurrence = occurrence,
					   .step = step };
	uint64_t age_us;

	unit.waiting = count_waiting(plan, occurrence, step, &unit.waiting_us);
	if (!unit.waiting || may_be_used_up(plan, occurrence, step))
		return;
	/* A queue that has gone leaves its jobs where it last sent them. */
	unit.service = g_intern_string(queue ? queue->service :
					       job->job_spec->service);
	unit.advised = queue && queue->advised;
	unit.far =
		may_be_far(plan, &job->job_spec->steps[step], unit.waiting_us);
	unit.guaranteed = job->guaranteed;
	age_us = age_of(plan, &unit);
	unit.tier = tier_of(&unit, age_us);
	unit.too_late = unit.tier == TIER_HOPELESS;
	unit.order_us = job->accepted_us;
	set_standing(plan, &unit, age_us);
	g_array_append_val(plan->units, unit);
}

/* Gather all steps whose turn has come. */
static void gather(struct rj_cell_plan *plan)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, plan->works) {
		struct rj_cell_job *job =
			RJ_CONTAINER(at, struct rj_cell_job, link);
		struct rj_list *round_at;
		struct rj_list *round_next;

		if (job->state >= RJ_CELL_JOB_COMPLETED || job->cancelled)
			continue;
		job->guaranteed = is_guaranteed(plan, job);
		RJ_FOR_EACH (round_at, round_next, &job->occurrences) {
			struct rj_cell_occurrence *occurrence = RJ_CONTAINER(
				round_at, struct rj_cell_occurrence, link);

			for (uint32_t i = 0; i < job->job_spec->step_count; i++)
				if (occurrence->left[i] &&
				    rj_cell_occurrence_step_ready(occurrence,
								  i))
					add_unit(plan, occurrence, i);
		}
	}
}

/* Useful work first, by priority, then by its standing, then in the order of
 * acceptance. */
static gint by_order(gconstpointer a, gconstpointer b)
{
	const struct rj_cell_task_group *left = a;
	const struct rj_cell_task_group *right = b;

	if (left->tier != right->tier)
		return left->tier < right->tier ? -1 : 1;
	if (left->job->job_spec->priority != right->job->job_spec->priority)
		return left->job->job_spec->priority <
				       right->job->job_spec->priority ?
			       -1 :
			       1;
	if (left->standing != right->standing)
		return left->standing < right->standing ? -1 : 1;
	if (left->order_us != right->order_us)
		return left->order_us < right->order_us ? -1 : 1;
	return strcmp(left->job->job_spec->id, right->job->job_spec->id);
}

/*
 * Gather the steps whose tasks wait for room, those that go first at the front.
 */
void rj_cell_task_groups_gather(struct rj_cell_plan *plan)
{
	sum_needs(plan);
	gather(plan);
	g_array_sort(plan->units, by_order);
}
