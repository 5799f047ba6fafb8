#include "naive/planner_easy.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "private/plan_table.h"

/* Run time assumed for a job without a declared one. */
#define DECLARED_US_DEFAULT (60 * RJ_US_PER_S)

/* Queued jobs that one pass considers, as in production schedulers. */
#define BACKFILL_DEPTH 200

/* Shapes recorded per pass so that equal jobs are not placed again. */
#define FAILURES_MAX 16

struct easy_state {
	struct rj_capacity capacity;
	struct rj_plan_table table;
	GQueue queue; /* in arrival order */
	GPtrArray *running; /* in start order */
	struct rj_domain domain;
	uint32_t queue_max;
	struct rj_plan_member members[RJ_GANG_MAX];
	struct rj_plan_member reserved[RJ_GANG_MAX]; /* for the queue head */
	uint32_t reserved_count;
	uint64_t shadow_us; /* earliest expected start of the head */
	const struct rj_shape *head;
};

static struct easy_state *state_of(const struct rj_planner *planner)
{
	return ((const struct planner_easy *)planner)->state;
}

/*
 * Applies the queue limit and the topology of the failure domain.
 */
static void easy_configure(struct rj_planner *planner,
			   const struct rj_config *config, const char *domain,
			   uint64_t now_us)
{
	struct easy_state *state = state_of(planner);

	for (uint32_t i = 0; i < config->domain_count; i++)
		if (!strcmp(config->domains[i].name, domain))
			state->domain = config->domains[i];
	state->queue_max = config->limits.queue_max;
}

/*
 * Adds or updates a worker.
 */
static void easy_worker(struct rj_planner *planner,
			const struct rj_plan_worker *worker, uint64_t now_us)
{
	rj_capacity_set(&state_of(planner)->capacity, worker);
}

/*
 * Removes a worker.
 */
static void easy_worker_gone(struct rj_planner *planner, uint32_t worker,
			     uint64_t now_us)
{
	rj_capacity_remove(&state_of(planner)->capacity, worker);
}

/*
 * Queues the job. Returns -1 with `*reason` if it can never fit or the queue is
 * full.
 */
static int easy_submit(struct rj_planner *planner,
		       const struct rj_plan_job *job, uint64_t now_us,
		       enum rj_reason *reason, uint64_t *retry_after_us)
{
	struct easy_state *state = state_of(planner);

	*retry_after_us = RJ_US_PER_S;
	*reason = RJ_REASON_NEVER_FITS;
	if (!rj_capacity_could_fit(&state->capacity, &state->domain,
				   &job->shape))
		return -1;
	*reason = RJ_REASON_QUEUE_FULL;
	if (state->queue.length >= state->queue_max)
		return -1;
	rj_plan_queue_insert(&state->queue,
			     rj_plan_table_add(&state->table, job));
	return 0;
}

/*
 * Removes the job from the queue or from the running jobs, releasing its
 * capacity.
 */
static void detach(struct easy_state *state, struct rj_plan_entry *entry)
{
	if (!entry->members) {
		g_queue_unlink(&state->queue, &entry->link);
		return;
	}
	g_ptr_array_remove(state->running, entry);
	rj_plan_entry_unplace(entry, &state->capacity);
}

/*
 * Removes a completed job.
 */
static void easy_ended(struct rj_planner *planner, uint64_t job_id,
		       bool succeeded, uint64_t ran_us, uint64_t now_us)
{
	struct easy_state *state = state_of(planner);
	struct rj_plan_entry *entry = rj_plan_table_find(&state->table, job_id);

	if (!entry)
		return;
	detach(state, entry);
	rj_plan_table_remove(&state->table, entry);
}

/*
 * Returns the job to its original place in the queue.
 */
static void easy_requeue(struct rj_planner *planner, uint64_t job_id,
			 uint64_t not_before_us, uint64_t now_us)
{
	struct easy_state *state = state_of(planner);
	struct rj_plan_entry *entry = rj_plan_table_find(&state->table, job_id);

	if (!entry)
		return;
	detach(state, entry);
	entry->not_before_us = not_before_us;
	rj_plan_queue_insert(&state->queue, entry);
}

/*
 * Allocates the members to the job and records it as running.
 */
static void attach(struct easy_state *state, struct rj_plan_entry *entry,
		   const struct rj_plan_member *members, uint32_t count,
		   uint64_t now_us)
{
	rj_plan_entry_place(entry, &state->capacity, members, count, now_us);
	g_ptr_array_add(state->running, entry);
}

/*
 * Adopts a job that is running already.
 */
static void easy_adopt(struct rj_planner *planner,
		       const struct rj_plan_job *job,
		       const struct rj_plan_member *members, uint32_t count,
		       uint64_t now_us)
{
	struct easy_state *state = state_of(planner);

	attach(state, rj_plan_table_add(&state->table, job), members, count,
	       now_us);
}

/*
 * Returns the run time that the planner assumes for the job.
 */
static uint64_t declared_us(const struct rj_plan_entry *entry)
{
	return entry->job.declared_us ? entry->job.declared_us :
					DECLARED_US_DEFAULT;
}

/*
 * Returns the free capacity of the worker. The reservation of the head is
 * subtracted unless the job completes before the shadow time.
 */
static struct rj_resources
unreserved_capacity(const struct easy_state *state,
		    const struct rj_capacity_worker *worker, bool before_shadow)
{
	struct rj_resources available = worker->free;

	for (uint32_t i = 0; !before_shadow && i < state->reserved_count; i++) {
		struct rj_resources reserved = { 0 };

		if (state->reserved[i].worker != worker->plan.id)
			continue;
		rj_resources_add(&reserved, &state->head->each,
				 state->reserved[i].tasks);
		rj_resources_subtract_saturating(&available, &reserved);
	}
	return available;
}

/*
 * Places up to `*remaining` tasks on the workers of a rack, tightest fit first,
 * and appends them after `count` members. Returns the new member count and
 * decrements `*remaining`.
 */
static uint32_t fill_rack(struct easy_state *state,
			  const struct rj_capacity_rack *rack,
			  const struct rj_shape *shape, bool before_shadow,
			  uint32_t count, uint32_t *remaining)
{
	uint32_t first = count;

	while (*remaining) {
		uint32_t best = rack->count;
		uint32_t best_tasks = 0;

		for (uint32_t i = 0; i < rack->count; i++) {
			struct rj_resources available = unreserved_capacity(
				state, rack->workers[i], before_shadow);
			uint32_t tasks = rj_resources_fit_count(
				&shape->each, &available, RJ_GANG_MAX);
			bool used = false;

			for (uint32_t j = first; j < count; j++)
				used |= state->members[j].worker ==
					rack->workers[i]->plan.id;
			if (used || !tasks ||
			    (best_tasks && tasks >= best_tasks))
				continue;
			best = i;
			best_tasks = tasks;
		}
		if (best == rack->count)
			return count;
		state->members[count].worker = rack->workers[best]->plan.id;
		state->members[count].tasks = MIN(best_tasks, *remaining);
		*remaining -= state->members[count].tasks;
		count++;
	}
	return count;
}

/*
 * Places the shape in the rack with the tightest fit, or across racks if it
 * need not be adjacent. Returns the number of members, 0 if it does not fit.
 */
static uint32_t find_placement(struct easy_state *state,
			       const struct rj_shape *shape, bool before_shadow)
{
	uint32_t best = state->capacity.rack_count;
	uint32_t best_fits = UINT32_MAX;
	uint32_t remaining = shape->tasks;
	uint32_t count = 0;

	for (uint32_t i = 0; i < state->capacity.rack_count; i++) {
		const struct rj_capacity_rack *rack = state->capacity.racks[i];
		uint32_t fits = 0;

		for (uint32_t j = 0; j < rack->count; j++) {
			struct rj_resources available = unreserved_capacity(
				state, rack->workers[j], before_shadow);

			fits += rj_resources_fit_count(&shape->each, &available,
						       RJ_GANG_MAX);
		}
		if (fits < shape->tasks || fits >= best_fits)
			continue;
		best = i;
		best_fits = fits;
	}
	if (best < state->capacity.rack_count)
		return fill_rack(state, state->capacity.racks[best], shape,
				 before_shadow, 0, &remaining);
	for (uint32_t i = 0; !shape->adjacent && i < state->capacity.rack_count;
	     i++)
		count = fill_rack(state, state->capacity.racks[i], shape,
				  before_shadow, count, &remaining);
	return remaining ? 0 : count;
}

/*
 * Starts a queued job on the first `count` members of the state.
 */
static void start_job(struct easy_state *state, struct rj_plan_entry *entry,
		      uint32_t count, enum rj_reason reason, uint64_t now_us,
		      struct rj_decisions *decisions)
{
	rj_decisions_add_start(decisions, entry->job.job_id, reason,
			       state->members, count);
	g_queue_unlink(&state->queue, &entry->link);
	attach(state, entry, state->members, count, now_us);
}

/*
 * Orders running jobs by expected completion, earliest first.
 */
static gint compare_completions(gconstpointer a, gconstpointer b)
{
	const struct rj_plan_entry *one =
		*(const struct rj_plan_entry *const *)a;
	const struct rj_plan_entry *two =
		*(const struct rj_plan_entry *const *)b;
	uint64_t one_us = one->started_us + declared_us(one);
	uint64_t two_us = two->started_us + declared_us(two);

	if (one_us != two_us)
		return one_us < two_us ? -1 : 1;
	return one->job.job_id < two->job.job_id ? -1 : 1;
}

/*
 * Computes the shadow time and the reservation of the head of the queue.
 * Running jobs are released in order of expected completion until the head
 * fits, and are then restored.
 */
static void find_shadow(struct easy_state *state,
			const struct rj_plan_entry *head, uint64_t now_us)
{
	GPtrArray *by_completion = g_ptr_array_copy(state->running, NULL, NULL);
	uint32_t count = 0;
	uint32_t released = 0;

	g_ptr_array_sort(by_completion, compare_completions);
	state->shadow_us = RJ_NEVER_US;
	while (released < by_completion->len && !count) {
		const struct rj_plan_entry *entry =
			g_ptr_array_index(by_completion, released);

		rj_capacity_release(&state->capacity, &entry->job.shape.each,
				    entry->members, entry->member_count);
		state->shadow_us =
			MAX(entry->started_us + declared_us(entry), now_us);
		count = find_placement(state, &head->job.shape, true);
		released++;
	}
	for (uint32_t i = 0; i < released; i++) {
		const struct rj_plan_entry *entry =
			g_ptr_array_index(by_completion, i);

		rj_capacity_allocate(&state->capacity, &entry->job.shape.each,
				     entry->members, entry->member_count);
	}
	g_ptr_array_free(by_completion, TRUE);
	if (!count)
		return;
	memcpy(state->reserved, state->members,
	       sizeof(*state->reserved) * count);
	state->reserved_count = count;
	state->head = &head->job.shape;
}

/*
 * Rejects a queued job whose deadline has passed.
 */
static void reject_expired(struct easy_state *state,
			   struct rj_plan_entry *entry,
			   struct rj_decisions *decisions)
{
	struct rj_decision *decision =
		rj_decisions_add(decisions, RJ_DECISION_REFUSE);

	decision->job_id = entry->job.job_id;
	decision->reason = RJ_REASON_DEADLINE_PASSED;
	detach(state, entry);
	rj_plan_table_remove(&state->table, entry);
}

/* Shapes that did not fit in this pass, by whether the job completes before the
 * shadow time. */
struct failures {
	const struct rj_shape *shapes[2][FAILURES_MAX];
	uint32_t count[2];
};

/*
 * Returns whether a job of this shape failed to fit earlier in this pass.
 */
static bool has_failed(const struct failures *failures,
		       const struct rj_shape *shape, bool before_shadow)
{
	for (uint32_t i = 0; i < failures->count[before_shadow]; i++)
		if (rj_shape_equal(failures->shapes[before_shadow][i], shape))
			return true;
	return false;
}

static void record_failure(struct failures *failures,
			   const struct rj_shape *shape, bool before_shadow)
{
	if (failures->count[before_shadow] < FAILURES_MAX)
		failures->shapes[before_shadow]
				[failures->count[before_shadow]++] = shape;
}

/*
 * Starts queued jobs in arrival order until one does not fit. That job gets a
 * reservation, and later jobs are backfilled only if they do not delay it.
 */
static void easy_pass(struct rj_planner *planner, uint64_t now_us,
		      struct rj_decisions *decisions)
{
	struct easy_state *state = state_of(planner);
	struct rj_plan_entry *failed = NULL;
	struct failures failures = { 0 };
	uint32_t depth = 0;
	GList *next;

	state->reserved_count = 0;
	for (GList *at = state->queue.head; at; at = next) {
		struct rj_plan_entry *entry = at->data;
		bool before_shadow = !failed || now_us + declared_us(entry) <=
							state->shadow_us;
		uint32_t count;

		next = at->next;
		if (entry->job.deadline_us <= now_us) {
			reject_expired(state, entry, decisions);
			continue;
		}
		if (entry->not_before_us > now_us || depth == BACKFILL_DEPTH)
			continue;
		entry->not_before_us = 0;
		depth++;
		if (has_failed(&failures, &entry->job.shape, before_shadow))
			continue;
		count = find_placement(state, &entry->job.shape, before_shadow);
		if (count) {
			depth--;
			start_job(state, entry, count,
				  failed ? RJ_REASON_BACKFILL :
					   RJ_REASON_BEST_FIT,
				  now_us, decisions);
			continue;
		}
		if (failed) {
			record_failure(&failures, &entry->job.shape,
				       before_shadow);
			continue;
		}
		failed = entry;
		find_shadow(state, entry, now_us);
	}
	state->reserved_count = 0;
}

/*
 * Returns the earliest deadline or end of a back-off.
 */
static uint64_t easy_wake_us(const struct rj_planner *planner)
{
	return rj_plan_queue_wake_us(&state_of(planner)->queue);
}

/*
 * Fills the view with queue, running and capacity counts.
 */
static void easy_view(const struct rj_planner *planner, uint64_t now_us,
		      struct rj_plan_view *view)
{
	const struct easy_state *state = state_of(planner);
	const struct rj_shape *largest;

	memset(view, 0, sizeof(*view));
	view->queued = state->queue.length;
	view->running = state->running->len;
	largest = rj_plan_queue_largest(&state->queue, &view->largest_waiting);
	rj_capacity_view(&state->capacity, largest, view);
}

static void easy_finish(struct rj_planner *planner)
{
	struct planner_easy *easy = (struct planner_easy *)planner;

	g_ptr_array_free(easy->state->running, TRUE);
	rj_plan_table_finish(&easy->state->table);
	rj_capacity_finish(&easy->state->capacity);
	TALLOC_FREE(easy->state);
}

static const struct rj_planner_ops easy_ops = {
	.name = "easy",
	.configure = easy_configure,
	.worker = easy_worker,
	.worker_removed = easy_worker_gone,
	.submit = easy_submit,
	.ended = easy_ended,
	.requeue = easy_requeue,
	.adopt = easy_adopt,
	.pass = easy_pass,
	.wake_us = easy_wake_us,
	.view = easy_view,
	.finish = easy_finish,
};

/*
 * Initialises the planner. Its state is a talloc child of `mem`. Returns 0.
 */
int planner_easy_init(struct planner_easy *planner, void *mem)
{
	planner->base.ops = &easy_ops;
	planner->state = talloc_zero(mem, struct easy_state);
	assert(planner->state);
	rj_capacity_init(&planner->state->capacity, planner->state);
	rj_plan_table_init(&planner->state->table, planner->state);
	g_queue_init(&planner->state->queue);
	planner->state->running = g_ptr_array_new();
	return 0;
}
