#include "radishjunction/planner_topology.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "private/topology.h"

/* Defaults until a configuration is in force. */
#define QUEUE_MAX_DEFAULT 1000
#define CHECKPOINT_LIMIT_MS_DEFAULT 5000

/*
 * How long capacity for a claim on a guarantee stays reserved after the
 * back-off.
 */
#define GUARANTEE_RETRY_HOLD_US (300 * RJ_US_PER_MS)

static struct rj_topology_state *state_of(const struct rj_planner *planner)
{
	return ((const struct rj_planner_topology *)planner)->state;
}

/*
 * Applies shares, guarantees, classes, limits and topology.
 */
static void topology_configure(struct rj_planner *planner,
			       const struct rj_config *config,
			       const char *domain, uint64_t now_us)
{
	struct rj_topology_state *state = state_of(planner);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, state->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		((struct rj_plan_account *)value)->share = 0;
		((struct rj_plan_account *)value)->guaranteed = 0;
		((struct rj_plan_account *)value)->active = false;
	}
	state->share_total = 0;
	state->share_active = 0;
	for (uint32_t i = 0; i < config->account_count; i++) {
		struct rj_plan_account *account =
			rj_topology_account(state, config->accounts[i].name);

		account->share = config->accounts[i].share;
		state->share_total += account->share;
		rj_topology_update_active(state, account);
	}
	memset(&state->domain, 0, sizeof(state->domain));
	for (uint32_t i = 0; i < config->domain_count; i++)
		if (!strcmp(config->domains[i].name, domain))
			state->domain = config->domains[i];
	TALLOC_FREE(state->classes);
	state->class_count = config->class_count;
	if (config->class_count)
		state->classes = talloc_memdup(state->mem, config->classes,
					       sizeof(*config->classes) *
						       config->class_count);
	state->limits = config->limits;
	rj_topology_layout_guarantees(state, config);
	state->guarantees_changed = true;
	state->workers_changed = true;
}

/*
 * Whether a report of a worker contains no change.
 */
static bool is_worker_unchanged(const struct rj_plan_worker *one,
				const struct rj_plan_worker *two)
{
	return one->rack == two->rack && one->usable == two->usable &&
	       one->owned == two->owned && one->limited == two->limited &&
	       !memcmp(&one->offered, &two->offered, sizeof(one->offered)) &&
	       !memcmp(&one->capacity, &two->capacity, sizeof(one->capacity)) &&
	       !memcmp(&one->foreign, &two->foreign, sizeof(one->foreign));
}

/*
 * Adds or updates a worker. Derived state is recomputed once, in the next pass.
 */
static void topology_worker(struct rj_planner *planner,
			    const struct rj_plan_worker *worker,
			    uint64_t now_us)
{
	struct rj_topology_state *state = state_of(planner);
	const struct rj_capacity_worker *known =
		rj_capacity_find(&state->capacity, worker->id);

	/* Most reports contain no change. */
	if (known && !known->removed &&
	    is_worker_unchanged(&known->plan, worker))
		return;
	if (!known || known->removed || known->plan.rack != worker->rack)
		state->guarantees_changed = true;
	rj_ledger_get(rj_capacity_set(&state->capacity, worker));
	state->workers_changed = true;
}

/*
 * Removes a worker. Jobs with reservations on it are placed anew in the next
 * pass.
 */
static void topology_worker_removed(struct rj_planner *planner, uint32_t worker,
				    uint64_t now_us)
{
	struct rj_topology_state *state = state_of(planner);

	for (uint32_t i = state->reservations->len; i--;) {
		struct rj_reservation *reservation =
			g_ptr_array_index(state->reservations, i);

		if (rj_reservation_includes(reservation, worker))
			rj_topology_cancel_reservation(state, reservation,
						       now_us);
	}
	rj_capacity_remove(&state->capacity, worker);
	state->workers_changed = true;
}

/*
 * Adds a job to the table, with its account and run time histogram.
 */
static struct rj_plan_entry *add_entry(struct rj_topology_state *state,
				       const struct rj_plan_job *job)
{
	struct rj_plan_entry *entry = rj_plan_table_add(&state->table, job);

	entry->account = rj_topology_account(state, job->account);
	entry->runtime = rj_topology_runtime(state, job);
	return entry;
}

/*
 * Whether the job can be admitted; if not, gives the reason and a retry delay.
 * A job that is expected to miss its deadline is refused at once.
 */
static bool admit(const struct rj_topology_state *state,
		  const struct rj_plan_entry *entry, uint64_t now_us,
		  enum rj_reason *reason, uint64_t *retry_after_us)
{
	const struct rj_plan_job *job = &entry->job;
	bool known = state->capacity.worker_count || state->domain.racks;
	uint64_t wait_us = rj_topology_expected_wait_us(state, job->priority);
	uint64_t run_us = rj_runtime_quantile_us(entry->runtime, 50, 0);

	*retry_after_us = 0;
	*reason = RJ_REASON_NEVER_FITS;
	if (known && !rj_capacity_could_fit(&state->capacity, &state->domain,
					    &job->shape))
		return false;
	*retry_after_us = rj_topology_retry_after_us(wait_us, job->job_id);
	*reason = RJ_REASON_QUEUE_FULL;
	if (rj_topology_queue_is_full(state, entry))
		return false;
	*reason = RJ_REASON_DEADLINE_TOO_SOON;
	if (job->deadline_us != RJ_NEVER_US &&
	    now_us + wait_us + run_us > job->deadline_us)
		return false;
	*reason = RJ_REASON_NONE;
	return true;
}

/*
 * Queues the job, or returns the reason for its refusal and a retry delay.
 */
static int topology_submit(struct rj_planner *planner,
			   const struct rj_plan_job *job, uint64_t now_us,
			   enum rj_reason *reason, uint64_t *retry_after_us)
{
	struct rj_topology_state *state = state_of(planner);
	struct rj_plan_entry *entry = add_entry(state, job);

	if (!admit(state, entry, now_us, reason, retry_after_us)) {
		rj_plan_table_remove(&state->table, entry);
		return -1;
	}
	entry->waiting_since_us = now_us;
	rj_topology_enqueue(state, entry, now_us);
	return 0;
}

/*
 * Removes a job and records its run time if it succeeded; the run time of a
 * failed job is not representative.
 */
static void topology_ended(struct rj_planner *planner, uint64_t job_id,
			   bool succeeded, uint64_t ran_us, uint64_t now_us)
{
	struct rj_topology_state *state = state_of(planner);
	struct rj_plan_entry *entry = rj_plan_table_find(&state->table, job_id);

	if (!entry)
		return;
	if (succeeded)
		rj_runtime_record(entry->runtime, ran_us);
	rj_topology_remove(state, entry);
}

/*
 * Reserves the members of a job that claimed a guarantee, but was not granted
 * all leases, for its next attempt. The job waits outside of its bucket
 * meanwhile.
 *
 * Guards against the refusal of a single lease, for example because a release
 * is still in flight: other jobs would fill the guaranteed shape during the
 * back-off, and it would have to be reclaimed again, which delays it by another
 * reclaim.
 */
static void reserve_for_retry(struct rj_topology_state *state,
			      struct rj_plan_entry *entry,
			      const struct rj_plan_member *members,
			      uint32_t count, uint64_t from_us)
{
	struct rj_reservation *reservation;

	for (uint32_t i = 0; i < count; i++)
		if (!rj_capacity_find(&state->capacity, members[i].worker))
			return;
	reservation = rj_topology_reserve(state, entry, members, count, true,
					  from_us + GUARANTEE_RETRY_HOLD_US);
	reservation->backoff_until_us = from_us;
	reservation->reason = RJ_REASON_GUARANTEE;
	rj_topology_grant(entry);
	entry->not_before_us = reservation->due_us;
}

/*
 * Requeues the job in order of arrival, not to start before `not_before_us`. If
 * it was started on its account's guarantee and the back-off is short, its
 * members stay reserved for it.
 */
static void topology_requeue(struct rj_planner *planner, uint64_t job_id,
			     uint64_t not_before_us, uint64_t now_us)
{
	struct rj_topology_state *state = state_of(planner);
	struct rj_plan_entry *entry = rj_plan_table_find(&state->table, job_id);
	uint32_t count = 0;

	if (!entry)
		return;
	if (entry->members && entry->on_guarantee &&
	    not_before_us < now_us + GUARANTEE_RETRY_HOLD_US) {
		count = entry->member_count;
		memcpy(state->members, entry->members,
		       sizeof(*entry->members) * count);
	}
	rj_topology_detach(state, entry);
	entry->on_guarantee = false;
	entry->not_before_us = not_before_us;
	if (count)
		reserve_for_retry(state, entry, state->members, count,
				  not_before_us);
	entry->waiting_since_us = now_us;
	rj_topology_enqueue(state, entry, now_us);
}

/*
 * Adds a running job; no effect if it is known as running.
 */
static void topology_adopt(struct rj_planner *planner,
			   const struct rj_plan_job *job,
			   const struct rj_plan_member *members, uint32_t count,
			   uint64_t now_us)
{
	struct rj_topology_state *state = state_of(planner);
	struct rj_plan_entry *entry =
		rj_plan_table_find(&state->table, job->job_id);

	if (entry && entry->members)
		return;
	if (entry)
		rj_topology_detach(state, entry);
	else
		entry = add_entry(state, job);
	rj_topology_attach(state, entry, members, count, now_us);
}

static void topology_pass(struct rj_planner *planner, uint64_t now_us,
			  struct rj_decisions *decisions)
{
	rj_topology_pass(state_of(planner), now_us, decisions);
}

/*
 * Returns when the reservation needs processing: at the end of its job's
 * back-off, when it expires, or when it is to be refreshed.
 */
static uint64_t reservation_due_us(const struct rj_reservation *reservation)
{
	if (!reservation->firm)
		return reservation->refresh_us;
	return reservation->backoff_until_us ? reservation->backoff_until_us :
					       reservation->due_us;
}

/*
 * Returns the first deadline, end of a back-off, refresh or retry.
 */
static uint64_t topology_wake_us(const struct rj_planner *planner)
{
	const struct rj_topology_state *state = state_of(planner);
	GSequenceIter *first = g_sequence_get_begin_iter(state->deadlines);
	uint64_t wake_us = state->retry_us;

	if (!g_sequence_iter_is_end(first)) {
		const struct rj_plan_entry *entry = g_sequence_get(first);

		wake_us = MIN(wake_us, entry->job.deadline_us);
	}
	if (state->delayed.head) {
		const struct rj_plan_entry *entry = state->delayed.head->data;

		wake_us = MIN(wake_us, entry->not_before_us);
	}
	for (uint32_t i = 0; i < state->reservations->len; i++) {
		const struct rj_reservation *reservation =
			g_ptr_array_index(state->reservations, i);

		wake_us = MIN(wake_us, reservation_due_us(reservation));
	}
	return wake_us;
}

static void topology_view(const struct rj_planner *planner, uint64_t now_us,
			  struct rj_plan_view *view)
{
	const struct rj_topology_state *state = state_of(planner);
	const struct rj_shape *largest = NULL;

	memset(view, 0, sizeof(*view));
	view->queued = state->queued;
	view->running = rj_plan_table_count(&state->table) - state->queued;
	for (uint32_t i = 0; i < state->buckets->len; i++) {
		const struct rj_plan_bucket *bucket =
			g_ptr_array_index(state->buckets, i);
		uint32_t accelerators =
			bucket->shape.tasks * bucket->shape.each.accelerators;

		if (accelerators <= view->largest_waiting)
			continue;
		view->largest_waiting = accelerators;
		largest = &bucket->shape;
	}
	rj_capacity_view(&state->capacity, largest, view);
	view->small_wait_us =
		rj_topology_expected_wait_us(state, RJ_PRIORITY_NORMAL);
}

/*
 * Frees the state; the planner itself is owned by the caller.
 */
static void topology_finish(struct rj_planner *planner)
{
	struct rj_planner_topology *topology =
		(struct rj_planner_topology *)planner;
	struct rj_topology_state *state = topology->state;

	g_ptr_array_free(state->buckets, TRUE);
	g_ptr_array_free(state->reservations, TRUE);
	g_ptr_array_free(state->guaranteed_shapes, TRUE);
	g_ptr_array_free(state->all_workers, TRUE);
	g_sequence_free(state->deadlines);
	g_hash_table_destroy(state->accounts);
	g_hash_table_destroy(state->runtimes);
	rj_plan_table_finish(&state->table);
	rj_capacity_finish(&state->capacity);
	TALLOC_FREE(topology->state);
}

static uint32_t topology_rack_group(const struct rj_planner *planner,
				    uint32_t rack)
{
	return rj_topology_rack_group(state_of(planner), rack);
}

static uint32_t topology_guarantee_rack(const struct rj_planner *planner,
					const char *account,
					const struct rj_shape *shape)
{
	return rj_topology_guarantee_rack(state_of(planner), account, shape);
}

/*
 * Returns the capacity of the worker under firm reservations.
 */
static void topology_reserved(const struct rj_planner *planner, uint32_t worker,
			      struct rj_resources *reserved)
{
	const struct rj_capacity_worker *known =
		rj_capacity_find(&state_of(planner)->capacity, worker);

	memset(reserved, 0, sizeof(*reserved));
	if (!known || !known->ledger)
		return;
	for (uint32_t i = 0; i < known->ledger->reservation_count; i++) {
		const struct rj_worker_reservation *reservation =
			&known->ledger->reservations[i];

		if (reservation->reservation->firm)
			rj_resources_add(reserved, &reservation->amount, 1);
	}
}

static const struct rj_planner_ops topology_ops = {
	.name = "topology",
	.configure = topology_configure,
	.worker = topology_worker,
	.worker_removed = topology_worker_removed,
	.submit = topology_submit,
	.ended = topology_ended,
	.requeue = topology_requeue,
	.adopt = topology_adopt,
	.pass = topology_pass,
	.wake_us = topology_wake_us,
	.view = topology_view,
	.rack_group = topology_rack_group,
	.guarantee_rack = topology_guarantee_rack,
	.reserved = topology_reserved,
	.finish = topology_finish,
};

/*
 * Initialises the planner; its state is a talloc child of `mem`. Returns 0.
 */
int rj_planner_topology_init(struct rj_planner_topology *planner, void *mem)
{
	struct rj_topology_state *state =
		talloc_zero(mem, struct rj_topology_state);

	assert(state);
	planner->base.ops = &topology_ops;
	planner->state = state;
	state->mem = state;
	rj_capacity_init(&state->capacity, state);
	rj_plan_table_init(&state->table, state);
	state->accounts = g_hash_table_new(g_str_hash, g_str_equal);
	state->runtimes = g_hash_table_new(g_str_hash, g_str_equal);
	state->buckets = g_ptr_array_new();
	state->reservations = g_ptr_array_new();
	state->guaranteed_shapes = g_ptr_array_new();
	state->all_workers = g_ptr_array_new();
	state->deadlines = g_sequence_new(NULL);
	g_queue_init(&state->delayed);
	state->limits.queue_max = QUEUE_MAX_DEFAULT;
	state->limits.checkpoint_limit_ms = CHECKPOINT_LIMIT_MS_DEFAULT;
	state->version = 1;
	state->retry_us = RJ_NEVER_US;
	return 0;
}
