#include "private/cell_task_groups.h"

#include <string.h>

/*
 * Data that is far away makes a task take three times as long, so it waits
 * for a worker near it for half of its own estimate, and no longer than
 * this: users expect idle capacity to be used within 3 s.
 */
#define REMOTE_WAIT_MAX_MS 1500

/*
 * What is reserved for urgent work is opened to others that have waited so long
 * when less than this is in use: users expect idle capacity to be used.
 */
#define RESERVED_WAIT_US (2 * RJ_US_PER_S)
#define RESERVED_USAGE_MAX_PERCENT 55
/* Work that is not urgent and has waited for this part of the time that its
 * objective leaves has a claim on the share of its priority. */
#define OVERDUE_PERCENT 50
/* Work that has not begun when this part of the time has passed in which it is
 * of any use does not make way for other work of its priority any more. */
#define LAST_START_PERCENT 60

/* Work goes in this order, whatever its priority. */
enum tier {
	TIER_GUARANTEED, /* its account has a right to the room at once */
	TIER_NORMAL, /* it can still be of use to its caller */
	TIER_EXPIRED, /* too late; it only has to end some day */
};

/* Work of one priority that is not urgent goes in this order. */
enum rank {
	RANK_FIRST, /* it has begun, or must begin to be of any use */
	RANK_ON_TIME, /* it can still meet its objective */
	RANK_LATE,
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
			      struct rj_cell_round *round, uint32_t step,
			      uint64_t *since_us)
{
	const struct rj_cell_def *spec = round->work->def;
	uint32_t first = rj_cell_def_first_task(spec, step);
	uint32_t waiting = 0;

	*since_us = plan->now_us;
	for (uint32_t i = first; i < first + spec->steps[step].task_count;
	     i++) {
		struct rj_cell_task *task = &round->tasks[i];

		if (plan->now_us < task->not_before_us)
			plan->next_retry_us =
				MIN(plan->next_retry_us, task->not_before_us);
		if (!rj_cell_plan_task_waits(plan, task)) {
			if (spec->steps[step].gang)
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
static bool may_run_remote(const struct rj_cell_plan *plan,
			   const struct rj_cell_step *step, uint64_t since_us)
{
	uint64_t wait_ms = step->estimate_ms / 2;

	if (step->rack[0] &&
	    rj_cell_fleet_rack_cordoned(plan->fleet, step->rack))
		return true;
	if (wait_ms > REMOTE_WAIT_MAX_MS)
		wait_ms = REMOTE_WAIT_MAX_MS;
	return plan->now_us - since_us >= wait_ms * RJ_US_PER_MS;
}

/* Whether a job is urgent and has not ended. */
static bool is_urgent(const struct rj_cell_work *work)
{
	return !work->def->priority && !work->cancelled &&
	       work->state < RJ_CELL_JOB_COMPLETED;
}

/* Add up the accelerators that the urgent jobs of each account need. */
static void sum_urgent_needs(struct rj_cell_plan *plan)
{
	const struct rj_list *at;

	for (at = plan->works->next; at != plan->works; at = at->next) {
		const struct rj_cell_work *work =
			RJ_CONTAINER(at, struct rj_cell_work, link);
		const struct rj_cell_def *spec = work->def;
		guint needed_accelerators;

		if (!is_urgent(work))
			continue;
		needed_accelerators = GPOINTER_TO_UINT(
			g_hash_table_lookup(plan->urgent_needs, spec->account));
		for (uint32_t i = 0; i < spec->step_count; i++)
			needed_accelerators += spec->steps[i].task_count *
					       spec->steps[i].each.accelerators;
		g_hash_table_insert(plan->urgent_needs, (gpointer)spec->account,
				    GUINT_TO_POINTER(needed_accelerators));
	}
}

/* Whether a job has a right to its room at once: the urgent jobs of its
 * account need no more than is guaranteed to it. */
static bool is_guaranteed(const struct rj_cell_plan *plan,
			  const struct rj_cell_work *work)
{
	const struct rj_cell_account *account =
		plan->config ? rj_cell_config_account(plan->config,
						      work->def->account) :
			       NULL;

	return is_urgent(work) && account &&
	       GPOINTER_TO_UINT(g_hash_table_lookup(plan->urgent_needs,
						    account->name)) <=
		       account->guaranteed_accelerators;
}

/*
 * Whether so much is idle that what is reserved for urgent work is open to a step
 * that has waited for a while. What the plan has started counts as in use, as
 * much work may end at once and make way for the next.
 */
static bool has_idle_capacity(const struct rj_cell_plan *plan,
			      const struct rj_cell_task_group *group)
{
	return rj_cell_usage_percent(&plan->usage) <
		       RESERVED_USAGE_MAX_PERCENT &&
	       plan->now_us - group->waiting_since_us >= RESERVED_WAIT_US;
}

/* Whether only some workers may run a step, however much room others have. */
static bool is_restricted(const struct rj_cell_task_group *group)
{
	return group->work->def->steps[group->step].label[0] || group->advised;
}

/*
 * Say what a step may use of what is reserved for urgent work: all of it if it
 * is urgent, or overdue and bound to some workers; the open part if it can be
 * stopped at no loss.
 */
void rj_cell_task_group_set_reserved(const struct rj_cell_plan *plan,
				     struct rj_cell_task_group *group)
{
	const struct rj_cell_def *spec = group->work->def;
	const struct rj_cell_step *step = &spec->steps[group->step];

	group->may_use_exclusive = !spec->priority ||
				   has_idle_capacity(plan, group) ||
				   (group->overdue && is_restricted(group));
	group->may_use_reserved = group->may_use_exclusive ||
				  (step->checkpoints && !step->perpetual);
}

/*
 * Whether ends that nobody has listed may have used up a gang's attempts.
 *
 * Guards against one attempt too many: a failure on a worker that was cut off
 * is listed once the worker is back.
 */
static bool may_exhaust_attempts(const struct rj_cell_plan *plan,
				 const struct rj_cell_round *round,
				 uint32_t step)
{
	const struct rj_cell_def *spec = round->work->def;
	const struct rj_cell_task *head =
		&round->tasks[rj_cell_def_first_task(spec, step)];

	return spec->steps[step].gang && !spec->steps[step].perpetual &&
	       head->unseen && plan->now_us < head->unseen_until_us &&
	       head->failures + head->unseen >= spec->attempts_max;
}

/*
 * For how long a step could have been served: since its job was accepted or its
 * occurrence was due; of what lasts, since its tasks wait.
 */
static uint64_t service_age_us(const struct rj_cell_plan *plan,
			       const struct rj_cell_task_group *group)
{
	const struct rj_cell_work *work = group->work;
	uint64_t due_us =
		work->accepted_us + rj_cell_round_due_after_us(group->round);

	if (work->def->steps[group->step].perpetual)
		due_us = group->waiting_since_us;
	return plan->now_us - MIN(plan->now_us, due_us);
}

/* In which tier a step of a job goes. */
static enum tier tier_of(const struct rj_cell_task_group *group,
			 uint64_t age_us)
{
	const struct rj_cell_work *work = group->work;

	if (group->guaranteed)
		return TIER_GUARANTEED;
	if (!work->def->steps[group->step].perpetual &&
	    age_us > work->late_us - work->accepted_us)
		return TIER_EXPIRED;
	return TIER_NORMAL;
}

/*
 * Note how work that is not urgent stands against its objective.
 *
 * Load that it answers: more work of a priority than the cell can serve for a
 * while. In the order of acceptance all of it would end late.
 */
static void set_rank(struct rj_cell_plan *plan,
		     struct rj_cell_task_group *group, uint64_t age_us)
{
	const struct rj_cell_work *work = group->work;
	uint64_t critical_path_us =
		rj_cell_forecast_critical_path_ms(plan->forecast, work->def) *
		RJ_US_PER_MS;
	uint64_t objective_us = work->objective_us - work->accepted_us;
	uint64_t slack_us = objective_us - MIN(objective_us, critical_path_us);
	uint64_t late_us = work->late_us - work->accepted_us;

	if (!work->def->priority)
		return;
	if (work->started || age_us * 100 >= late_us * LAST_START_PERCENT)
		group->rank = RANK_FIRST;
	else if (age_us <= slack_us)
		group->rank = RANK_ON_TIME;
	else
		group->rank = RANK_LATE;
	if (group->tier == TIER_EXPIRED)
		return;
	group->overdue = age_us * 100 >= slack_us * OVERDUE_PERCENT;
	plan->misses_objective |=
		age_us >= slack_us && !is_restricted(group) &&
		plan->now_us - group->waiting_since_us >= RESERVED_WAIT_US;
}

/* Note the waiting tasks of one step. */
static void add_task_group(struct rj_cell_plan *plan,
			   struct rj_cell_round *round, uint32_t step)
{
	struct rj_cell_work *work = round->work;
	const struct rj_cell_queue *queue =
		plan->config ?
			rj_cell_config_queue(plan->config, work->def->queue) :
			NULL;
	struct rj_cell_task_group group = { .work = work,
					    .round = round,
					    .step = step };
	uint64_t age_us;

	group.waiting_tasks =
		count_waiting(plan, round, step, &group.waiting_since_us);
	if (!group.waiting_tasks || may_exhaust_attempts(plan, round, step))
		return;
	/* A queue that has gone leaves its jobs where it last sent them. */
	group.service =
		g_intern_string(queue ? queue->service : work->def->service);
	group.advised = queue && queue->advised;
	group.remote_allowed = may_run_remote(plan, &work->def->steps[step],
					      group.waiting_since_us);
	group.guaranteed = work->guaranteed;
	age_us = service_age_us(plan, &group);
	group.tier = tier_of(&group, age_us);
	group.expired = group.tier == TIER_EXPIRED;
	group.accepted_us = work->accepted_us;
	set_rank(plan, &group, age_us);
	g_array_append_val(plan->task_groups, group);
}

/* Gather all steps whose turn has come. */
static void gather_task_groups(struct rj_cell_plan *plan)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, plan->works) {
		struct rj_cell_work *work =
			RJ_CONTAINER(at, struct rj_cell_work, link);
		struct rj_list *round_at;
		struct rj_list *round_next;

		if (work->state >= RJ_CELL_JOB_COMPLETED || work->cancelled)
			continue;
		work->guaranteed = is_guaranteed(plan, work);
		RJ_FOR_EACH (round_at, round_next, &work->rounds) {
			struct rj_cell_round *round = RJ_CONTAINER(
				round_at, struct rj_cell_round, link);

			for (uint32_t i = 0; i < work->def->step_count; i++)
				if (round->left[i] &&
				    rj_cell_round_ready(round, i))
					add_task_group(plan, round, i);
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
	if (left->work->def->priority != right->work->def->priority)
		return left->work->def->priority < right->work->def->priority ?
			       -1 :
			       1;
	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	if (left->accepted_us != right->accepted_us)
		return left->accepted_us < right->accepted_us ? -1 : 1;
	return strcmp(left->work->def->id, right->work->def->id);
}

/*
 * Gather the steps whose tasks wait for room, those that go first at the front.
 */
void rj_cell_task_groups_gather(struct rj_cell_plan *plan)
{
	sum_urgent_needs(plan);
	gather_task_groups(plan);
	g_array_sort(plan->task_groups, by_order);
}
