#include "private/cell_task_groups.h"

#include <string.h>

/*
 * A task runs three times as long away from its data. So it waits for a worker
 * near its data for half of its estimate, and at most this long, as users
 * expect idle capacity to be used within 3 s.
 */
#define REMOTE_WAIT_MAX_MS 1500

/*
 * Workers reserved for urgent jobs, and capacity promised for later, are opened
 * to other tasks that have waited this long while usage is below this percentage:
 * users expect idle capacity to be used.
 */
#define RESERVED_WAIT_US (2 * RJ_US_PER_S)
#define RESERVED_USAGE_MAX_PERCENT 55
/* A task that is not urgent and has waited for this part of the time that its
 * objective allows is overdue: it may use the minimum share of its priority, see
 * cell_share.h. */
#define OVERDUE_PERCENT 50
/* A job that has not started by this part of the time in which it is of use
 * goes ahead of other jobs of its priority. */
#define LAST_START_PERCENT 60

/* First sort key of task groups, before their priority. */
enum tier {
	TIER_GUARANTEED, /* the account is guaranteed the capacity */
	TIER_NORMAL, /* in time to be of use to its caller */
	TIER_EXPIRED, /* too late for that, but still has to complete */
};

/* Sort key of task groups that are not urgent, within a priority. */
enum rank {
	RANK_FIRST, /* has started, or is too late unless it starts soon */
	RANK_ON_TIME, /* can meet its objective */
	RANK_LATE,
};

/*
 * Whether a task waits for capacity.
 */
bool rj_cell_plan_task_waits(const struct rj_cell_plan *plan,
			     const struct rj_cell_task *task)
{
	return !task->done && !task->planned &&
	       task->runs.next == &task->runs &&
	       plan->now_us >= task->not_before_us;
}

/*
 * Returns since when a task that is ready for the first time since its last run
 * waits. One that has never run and depends on no step has waited since its job
 * was accepted or its occurrence was due.
 *
 * Guards against tasks that start to wait anew with each owner: their turn for
 * reserved or remote workers would not come while owners are replaced.
 */
static uint64_t ready_since_us(const struct rj_cell_plan *plan,
			       const struct rj_cell_task *task)
{
	const struct rj_cell_job *job = task->occurrence->job;
	uint64_t due_us = job->accepted_us +
			  rj_cell_occurrence_due_after_us(task->occurrence);

	if (!plan->features.snapshot_ms || task->run || task->failures ||
	    job->job_spec->steps[task->step].after_count)
		return plan->now_us;
	return CLAMP(due_us, 1, plan->now_us);
}

/* Counts the waiting tasks of a step and sets since when the first of them
 * waits. Returns 0 for a gang while a member runs or may not start yet. */
static uint32_t count_waiting(struct rj_cell_plan *plan,
			      struct rj_cell_occurrence *occurrence,
			      uint32_t step, uint64_t *since_us)
{
	const struct rj_cell_job_spec *spec = occurrence->job->job_spec;
	uint32_t first = rj_cell_job_spec_first_task(spec, step);
	uint32_t waiting = 0;

	*since_us = plan->now_us;
	for (uint32_t i = first; i < first + spec->steps[step].task_count;
	     i++) {
		struct rj_cell_task *task = &occurrence->tasks[i];

		if (plan->now_us < task->not_before_us)
			plan->next_retry_us =
				MIN(plan->next_retry_us, task->not_before_us);
		if (!rj_cell_plan_task_waits(plan, task)) {
			if (spec->steps[step].gang)
				return 0;
			continue;
		}
		if (!task->waiting_us)
			task->waiting_us = ready_since_us(plan, task);
		if (task->waiting_us < *since_us)
			*since_us = task->waiting_us;
		waiting++;
	}
	return waiting;
}

/* Whether a step may run away from its data: it has waited long enough, or its
 * rack is cordoned. */
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

/* Whether a step has waited for workers that are not reserved. */
static bool has_waited(const struct rj_cell_plan *plan,
		       const struct rj_cell_task_group *group)
{
	return plan->now_us - group->waiting_since_us >= RESERVED_WAIT_US;
}

/*
 * Whether usage is low enough to open capacity that is kept for others to a step
 * that has waited. Starts of this plan count as used: many runs may complete at
 * once, and this plan then starts the next tasks in their place.
 */
bool rj_cell_task_group_may_use_idle(const struct rj_cell_plan *plan,
				     const struct rj_cell_task_group *group)
{
	return rj_cell_usage_percent(&plan->usage) <
		       RESERVED_USAGE_MAX_PERCENT &&
	       has_waited(plan, group);
}

/* Whether only some workers may run a step, whatever capacity others have. */
static bool is_restricted(const struct rj_cell_task_group *group)
{
	return group->job->job_spec->steps[group->step].label[0] ||
	       group->advised;
}

/*
 * Sets which workers reserved for urgent jobs a step may use: all of them if it
 * is urgent, if usage is low, if it is overdue and restricted to some workers, or
 * if it is perpetual and has waited, as its tasks have to be at work however full
 * the cell is; those that are not exclusive if it can be preempted at no loss.
 *
 * Also sets whether it may use workers that are suspected of failing their
 * tasks. Tasks of a job that fails everywhere make sound workers suspect faster
 * than these recover, so a step that has waited beside idle ones uses them.
 */
void rj_cell_task_group_set_reserved(const struct rj_cell_plan *plan,
				     struct rj_cell_task_group *group)
{
	const struct rj_cell_job_spec *spec = group->job->job_spec;
	const struct rj_cell_step *step = &spec->steps[group->step];
	bool may_use_idle = rj_cell_task_group_may_use_idle(plan, group);
	bool lasting_waited = step->perpetual && has_waited(plan, group);

	group->may_use_exclusive = !spec->priority || may_use_idle ||
				   (group->overdue && is_restricted(group)) ||
				   lasting_waited;
	group->may_use_reserved = group->may_use_exclusive ||
				  (step->checkpoints && !step->perpetual);
	group->may_use_suspect = may_use_idle || lasting_waited;
}

/*
 * Whether completions that have not been reported yet may have used up a gang's
 * attempts.
 *
 * Guards against one attempt too many: a worker that was unreachable reports a
 * failure only once it is reachable again.
 */
static bool
may_have_used_all_attempts(const struct rj_cell_plan *plan,
			   const struct rj_cell_occurrence *occurrence,
			   uint32_t step)
{
	const struct rj_cell_job_spec *spec = occurrence->job->job_spec;
	const struct rj_cell_task *head =
		&occurrence->tasks[rj_cell_job_spec_first_task(spec, step)];

	return spec->steps[step].gang && !spec->steps[step].perpetual &&
	       head->unreported && plan->now_us < head->unreported_until_us &&
	       head->failures + head->unreported >= spec->attempts_max;
}

/*
 * Returns how long a step could have been served, in microseconds: since its
 * job was accepted or its occurrence was due; for a perpetual step, since its
 * tasks wait.
 */
static uint64_t service_age_us(const struct rj_cell_plan *plan,
			       const struct rj_cell_task_group *group)
{
	const struct rj_cell_job *job = group->job;
	uint64_t due_us = job->accepted_us +
			  rj_cell_occurrence_due_after_us(group->occurrence);

	if (job->job_spec->steps[group->step].perpetual)
		due_us = group->waiting_since_us;
	return plan->now_us - MIN(plan->now_us, due_us);
}

static enum tier tier_of(const struct rj_cell_task_group *group,
			 uint64_t age_us)
{
	const struct rj_cell_job *job = group->job;

	if (group->guaranteed)
		return TIER_GUARANTEED;
	if (!job->job_spec->steps[group->step].perpetual &&
	    age_us > job->late_us - job->accepted_us)
		return TIER_EXPIRED;
	return TIER_NORMAL;
}

/*
 * Ranks tasks that are not urgent by their objectives, marks overdue ones, and
 * sets the plan's `misses_objective` and `starves`.
 *
 * Guards against a temporary overload of a priority: in the order of acceptance
 * all of its jobs would complete late.
 */
static void set_rank(struct rj_cell_plan *plan,
		     struct rj_cell_task_group *group, uint64_t age_us)
{
	const struct rj_cell_job *job = group->job;
	uint64_t critical_path_us = rj_cell_forecast_critical_path_ms(
					    plan->forecast, job->job_spec) *
				    RJ_US_PER_MS;
	uint64_t objective_us = job->objective_us - job->accepted_us;
	uint64_t slack_us = objective_us - MIN(objective_us, critical_path_us);
	uint64_t late_us = job->late_us - job->accepted_us;
	bool last_start = age_us * 100 >= late_us * LAST_START_PERCENT;
	bool waits = !is_restricted(group) && has_waited(plan, group);

	if (!job->job_spec->priority)
		return;
	if (job->started || last_start)
		group->rank = RANK_FIRST;
	else if (age_us <= slack_us)
		group->rank = RANK_ON_TIME;
	else
		group->rank = RANK_LATE;
	if (group->tier == TIER_EXPIRED)
		return;
	group->overdue = age_us * 100 >= slack_us * OVERDUE_PERCENT;
	plan->misses_objective |= age_us >= slack_us && waits;
	plan->starves |= last_start && waits;
}

/* Adds the waiting tasks of one step. */
static void add_task_group(struct rj_cell_plan *plan,
			   struct rj_cell_occurrence *occurrence, uint32_t step)
{
	struct rj_cell_job *job = occurrence->job;
	const struct rj_cell_queue *queue =
		plan->config ? rj_cell_config_queue(plan->config,
						    job->job_spec->queue) :
			       NULL;
	struct rj_cell_task_group group = { .job = job,
					    .occurrence = occurrence,
					    .step = step };
	uint64_t age_us;

	group.waiting_tasks =
		count_waiting(plan, occurrence, step, &group.waiting_since_us);
	if (!group.waiting_tasks ||
	    may_have_used_all_attempts(plan, occurrence, step))
		return;
	/* After a queue has been removed, its jobs use the service in their
	 * specs, and their steps still have a policy. Earlier versions did not
	 * record that; a worker tells. */
	group.service = g_intern_string(queue ? queue->service :
						job->job_spec->service);
	group.advised = job->job_spec->advised || job->ticket_wanted ||
			(queue && queue->advised);
	group.remote_allowed = may_run_remote(plan, &job->job_spec->steps[step],
					      group.waiting_since_us);
	group.guaranteed = job->guaranteed;
	group.bound_near = job->guaranteed &&
			   rj_cell_guarantees_bound_is_near(plan->guarantees,
							    job, plan->now_us);
	/* In time on several racks rather than late on one. */
	group.remote_allowed |= group.bound_near;
	age_us = service_age_us(plan, &group);
	group.tier = tier_of(&group, age_us);
	group.expired = group.tier == TIER_EXPIRED;
	group.accepted_us = job->accepted_us;
	set_rank(plan, &group, age_us);
	plan->has_suspects |= has_waited(plan, &group);
	if (!group.expired)
		rj_cell_account_shares_add_waiting(job);
	g_array_append_val(plan->task_groups, group);
}

/* Gathers all steps that are ready. */
static void gather_task_groups(struct rj_cell_plan *plan)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, plan->jobs) {
		struct rj_cell_job *job =
			RJ_CONTAINER(at, struct rj_cell_job, link);
		struct rj_list *occurrence_at;
		struct rj_list *occurrence_next;

		if (plan->account_shares)
			rj_cell_account_shares_add_job(plan->account_shares,
						       job);
		if (job->state >= RJ_CELL_JOB_COMPLETED || job->cancelled ||
		    plan->now_us < job->start_due_us)
			continue;
		RJ_FOR_EACH (occurrence_at, occurrence_next,
			     &job->occurrences) {
			struct rj_cell_occurrence *occurrence = RJ_CONTAINER(
				occurrence_at, struct rj_cell_occurrence, link);

			for (uint32_t i = 0; i < job->job_spec->step_count; i++)
				if (occurrence->left[i] &&
				    rj_cell_occurrence_step_ready(occurrence,
								  i))
					add_task_group(plan, occurrence, i);
		}
	}
}

/*
 * Orders by tier, priority, whether the account is within its share, rank, how
 * far it is over its share, and time of acceptance.
 *
 * Guards against an account that floods a queue: its backlog always has jobs
 * that will soon be too late or have started, and with their rank they would
 * take all capacity ahead of the first jobs of others.
 */
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
	if (!left->share_excess_milli != !right->share_excess_milli)
		return left->share_excess_milli ? 1 : -1;
	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	if (left->share_excess_milli != right->share_excess_milli)
		return left->share_excess_milli < right->share_excess_milli ?
			       -1 :
			       1;
	if (left->accepted_us != right->accepted_us)
		return left->accepted_us < right->accepted_us ? -1 : 1;
	return strcmp(left->job->job_spec->id, right->job->job_spec->id);
}

/* Updates the shares of the accounts, and sets the groups' excess. Guaranteed
 * groups go first whatever the share of their account. */
static void apply_account_shares(struct rj_cell_plan *plan)
{
	rj_cell_account_shares_update(plan->account_shares, plan->config,
				      plan->now_us);
	for (guint i = 0; i < plan->task_groups->len; i++) {
		struct rj_cell_task_group *group = &g_array_index(
			plan->task_groups, struct rj_cell_task_group, i);

		if (!group->guaranteed)
			group->share_excess_milli =
				rj_cell_job_share_excess_milli(group->job);
	}
}

/*
 * Gathers the steps whose tasks wait for capacity, in the order of placement.
 */
void rj_cell_task_groups_gather(struct rj_cell_plan *plan)
{
	rj_cell_guarantees_update(plan->guarantees, plan->jobs, plan->config,
				  plan->forecast, plan->now_us);
	if (plan->account_shares)
		rj_cell_account_shares_begin(plan->account_shares);
	gather_task_groups(plan);
	if (plan->account_shares)
		apply_account_shares(plan);
	g_array_sort(plan->task_groups, by_order);
}
