#include "radishjunction/planner.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/plan_table.h"

/* Retry delay of refused callers; this planner does not estimate waits. */
#define RETRY_AFTER_US RJ_US_PER_S

/* Queue limit until a configuration sets one. */
#define QUEUE_MAX_DEFAULT 1000

/*
 * First fit in order of arrival: each pass tries the waiting jobs in order of
 * arrival and starts each that fits on the first workers with enough free
 * capacity. A job that does not fit is skipped and reserves nothing, so later
 * jobs may overtake it indefinitely. Guarantees, priorities, shares and
 * recorded run times are ignored.
 */
struct rj_first_fit_state {
	struct rj_capacity capacity;
	struct rj_plan_table table;
	GQueue queue; /* in order of arrival */
	uint32_t queue_max;
	struct rj_domain domain;
	struct rj_plan_member members[RJ_GANG_MAX];
};

static struct rj_first_fit_state *state_of(const struct rj_planner *planner)
{
	return ((const struct rj_planner_first_fit *)planner)->state;
}

/*
 * Applies the queue limit and the domain's topology.
 */
static void first_fit_configure(struct rj_planner *planner,
				const struct rj_config *config,
				const char *domain, uint64_t now_us)
{
	struct rj_first_fit_state *state = state_of(planner);
	const struct rj_domain *found = NULL;

	for (uint32_t i = 0; i < config->domain_count; i++)
		if (!strcmp(config->domains[i].name, domain))
			found = &config->domains[i];
	memset(&state->domain, 0, sizeof(state->domain));
	if (found)
		state->domain = *found;
	state->queue_max = config->limits.queue_max;
}

/*
 * Adds or updates a worker.
 */
static void first_fit_worker(struct rj_planner *planner,
			     const struct rj_plan_worker *worker,
			     uint64_t now_us)
{
	rj_capacity_set(&state_of(planner)->capacity, worker);
}

/*
 * Removes a worker. The caller ends or requeues the jobs that ran there.
 */
static void first_fit_worker_removed(struct rj_planner *planner,
				     uint32_t worker, uint64_t now_us)
{
	rj_capacity_remove(&state_of(planner)->capacity, worker);
}

/*
 * Queues the job, unless it would not fit on the idle domain or the queue is
 * full. Jobs are not refused as too large before a worker or a topology is
 * known.
 */
static int first_fit_submit(struct rj_planner *planner,
			    const struct rj_plan_job *job, uint64_t now_us,
			    enum rj_reason *reason, uint64_t *retry_after_us)
{
	struct rj_first_fit_state *state = state_of(planner);
	bool known = state->capacity.worker_count || state->domain.racks;

	*retry_after_us = 0;
	if (known && !rj_capacity_could_fit(&state->capacity, &state->domain,
					    &job->shape)) {
		*reason = RJ_REASON_NEVER_FITS;
		return -1;
	}
	if (state->queue.length >= state->queue_max) {
		*reason = RJ_REASON_QUEUE_FULL;
		*retry_after_us = RETRY_AFTER_US;
		return -1;
	}
	rj_plan_queue_insert(&state->queue,
			     rj_plan_table_add(&state->table, job));
	return 0;
}

/*
 * Removes a waiting or running job.
 */
static void remove_job(struct rj_first_fit_state *state,
		       struct rj_plan_entry *entry)
{
	if (entry->members)
		rj_plan_entry_unplace(entry, &state->capacity);
	else
		g_queue_unlink(&state->queue, &entry->link);
	rj_plan_table_remove(&state->table, entry);
}

/*
 * Removes a job that has ended or was cancelled; ignores unknown jobs.
 */
static void first_fit_ended(struct rj_planner *planner, uint64_t job_id,
			    bool succeeded, uint64_t ran_us, uint64_t now_us)
{
	struct rj_first_fit_state *state = state_of(planner);
	struct rj_plan_entry *entry = rj_plan_table_find(&state->table, job_id);

	if (entry)
		remove_job(state, entry);
}

/*
 * Requeues the job by its original arrival time.
 */
static void first_fit_requeue(struct rj_planner *planner, uint64_t job_id,
			      uint64_t not_before_us, uint64_t now_us)
{
	struct rj_first_fit_state *state = state_of(planner);
	struct rj_plan_entry *entry = rj_plan_table_find(&state->table, job_id);

	if (!entry)
		return;
	entry->not_before_us = not_before_us;
	if (!entry->members)
		return;
	rj_plan_entry_unplace(entry, &state->capacity);
	rj_plan_queue_insert(&state->queue, entry);
}

/*
 * Adds a running job; no effect if it is known as running.
 */
static void first_fit_adopt(struct rj_planner *planner,
			    const struct rj_plan_job *job,
			    const struct rj_plan_member *members,
			    uint32_t count, uint64_t now_us)
{
	struct rj_first_fit_state *state = state_of(planner);
	struct rj_plan_entry *entry =
		rj_plan_table_find(&state->table, job->job_id);

	if (entry && entry->members)
		return;
	if (entry)
		g_queue_unlink(&state->queue, &entry->link);
	else
		entry = rj_plan_table_add(&state->table, job);
	rj_plan_entry_place(entry, &state->capacity, members, count, now_us);
}

/*
 * Places as many remaining tasks as fit on the workers of `rack`, adding to the
 * `*placed` tasks and `count` members so far. Returns the new number of
 * members.
 */
static uint32_t fill_rack(const struct rj_capacity_rack *rack,
			  const struct rj_shape *shape,
			  struct rj_plan_member *members, uint32_t count,
			  uint32_t *placed)
{
	for (uint32_t i = 0; i < rack->count && *placed < shape->tasks; i++) {
		uint32_t tasks = rj_resources_fit_count(&shape->each,
							&rack->workers[i]->free,
							shape->tasks - *placed);

		if (!tasks)
			continue;
		members[count].worker = rack->workers[i]->plan.id;
		members[count].tasks = tasks;
		count++;
		*placed += tasks;
	}
	return count;
}

/*
 * Finds the first workers that fit all tasks of `shape`. Returns the number of
 * members, 0 if it does not fit.
 */
static uint32_t first_fit_place(struct rj_first_fit_state *state,
				const struct rj_shape *shape,
				uint32_t *considered)
{
	uint32_t placed = 0;
	uint32_t count = 0;

	for (uint32_t i = 0; i < state->capacity.rack_count; i++) {
		const struct rj_capacity_rack *rack = state->capacity.racks[i];

		if (shape->adjacent) {
			placed = 0;
			count = 0;
		}
		*considered += rack->count;
		count = fill_rack(rack, shape, state->members, count, &placed);
		if (placed == shape->tasks)
			return count;
	}
	return 0;
}

/*
 * Refuses a waiting job whose deadline has passed, so that its caller is
 * answered at once.
 */
static void refuse_expired(struct rj_first_fit_state *state,
			   struct rj_plan_entry *entry,
			   struct rj_decisions *decisions)
{
	struct rj_decision *decision =
		rj_decisions_add(decisions, RJ_DECISION_REFUSE);

	decision->job_id = entry->job.job_id;
	decision->reason = RJ_REASON_DEADLINE_PASSED;
	remove_job(state, entry);
}

/*
 * Starts a waiting job on the first `count` members of the state.
 */
static void start(struct rj_first_fit_state *state, struct rj_plan_entry *entry,
		  uint32_t count, uint32_t considered, uint64_t now_us,
		  struct rj_decisions *decisions)
{
	struct rj_decision *decision = rj_decisions_add_start(
		decisions, entry->job.job_id, RJ_REASON_FIRST_FIT,
		state->members, count);

	decision->considered = considered;
	g_queue_unlink(&state->queue, &entry->link);
	rj_plan_entry_place(entry, &state->capacity, state->members, count,
			    now_us);
}

/*
 * Tries every waiting job in order of arrival. A shape that did not fit cannot
 * fit later in the same pass, so consecutive equal shapes are tried only once:
 * a burst of equal jobs costs one search.
 */
static void first_fit_pass(struct rj_planner *planner, uint64_t now_us,
			   struct rj_decisions *decisions)
{
	struct rj_first_fit_state *state = state_of(planner);
	const struct rj_shape *failed = NULL;
	struct rj_shape last;
	GList *next;

	for (GList *at = state->queue.head; at; at = next) {
		struct rj_plan_entry *entry = at->data;
		uint32_t considered = 0;
		uint32_t count;

		next = at->next;
		if (entry->job.deadline_us <= now_us) {
			refuse_expired(state, entry, decisions);
			continue;
		}
		if (entry->not_before_us > now_us)
			continue;
		/* The back-off is over; no further wake-up is needed for it. */
		entry->not_before_us = 0;
		if (failed && rj_shape_equal(failed, &entry->job.shape))
			continue;
		count = first_fit_place(state, &entry->job.shape, &considered);
		if (count) {
			start(state, entry, count, considered, now_us,
			      decisions);
		} else {
			last = entry->job.shape;
			failed = &last;
		}
	}
}

/*
 * Returns the first deadline or end of a back-off of a waiting job.
 */
static uint64_t first_fit_wake_us(const struct rj_planner *planner)
{
	return rj_plan_queue_wake_us(&state_of(planner)->queue);
}

static void first_fit_view(const struct rj_planner *planner, uint64_t now_us,
			   struct rj_plan_view *view)
{
	const struct rj_first_fit_state *state = state_of(planner);
	const struct rj_shape *largest;

	memset(view, 0, sizeof(*view));
	view->queued = state->queue.length;
	view->running =
		rj_plan_table_count(&state->table) - state->queue.length;
	largest = rj_plan_queue_largest(&state->queue, &view->largest_waiting);
	rj_capacity_view(&state->capacity, largest, view);
}

/*
 * Frees the state; the planner itself is owned by the caller.
 */
static void first_fit_finish(struct rj_planner *planner)
{
	struct rj_planner_first_fit *first_fit =
		(struct rj_planner_first_fit *)planner;

	rj_plan_table_finish(&first_fit->state->table);
	rj_capacity_finish(&first_fit->state->capacity);
	TALLOC_FREE(first_fit->state);
}

static const struct rj_planner_ops first_fit_ops = {
	.name = "first_fit",
	.configure = first_fit_configure,
	.worker = first_fit_worker,
	.worker_removed = first_fit_worker_removed,
	.submit = first_fit_submit,
	.ended = first_fit_ended,
	.requeue = first_fit_requeue,
	.adopt = first_fit_adopt,
	.pass = first_fit_pass,
	.wake_us = first_fit_wake_us,
	.view = first_fit_view,
	.finish = first_fit_finish,
};

/*
 * Initialises the planner; its state is a talloc child of `mem`. Returns 0.
 */
int rj_planner_first_fit_init(struct rj_planner_first_fit *planner, void *mem)
{
	planner->base.ops = &first_fit_ops;
	planner->state = talloc_zero(mem, struct rj_first_fit_state);
	assert(planner->state);
	rj_capacity_init(&planner->state->capacity, planner->state);
	rj_plan_table_init(&planner->state->table, planner->state);
	g_queue_init(&planner->state->queue);
	planner->state->queue_max = QUEUE_MAX_DEFAULT;
	return 0;
}
