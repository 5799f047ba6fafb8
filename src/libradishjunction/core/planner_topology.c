#include "radishjunction/planner_topology.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "private/topology.h"

/* Until a configuration says otherwise. */
#define QUEUE_MAX_DEFAULT 1000
#define CHECKPOINT_LIMIT_MS_DEFAULT 5000
#define EXPECTED_US_DEFAULT (10 * RJ_US_PER_S)

/* So many blocked gangs have room kept for them at once. */
#define LOOSE_MAX 2

/* A worker that kept what was reclaimed is not asked again for this long. */
#define SILENT_US (30 * RJ_US_PER_S)

static struct rj_topology_state *state_of(const struct rj_planner *planner)
{
	return ((const struct rj_planner_topology *)planner)->state;
}

/*
 * The account of this name, made at the first call; it is never freed
 * before the planner, so that its name may come and go in configurations.
 */
struct rj_plan_account *rj_topology_account(struct rj_topology_state *state,
					    const char *name)
{
	struct rj_plan_account *account =
		g_hash_table_lookup(state->accounts, name);

	if (account)
		return account;
	account = talloc_zero(state->mem, struct rj_plan_account);
	assert(account);
	snprintf(account->name, sizeof(account->name), "%s", name);
	g_hash_table_insert(state->accounts, account->name, account);
	return account;
}

static uint64_t expected_us(const struct rj_topology_state *state,
			    const char *class_name)
{
	for (uint32_t i = 0; i < state->class_count; i++)
		if (!strcmp(state->classes[i].name, class_name) &&
		    state->classes[i].expected_us)
			return state->classes[i].expected_us;
	return EXPECTED_US_DEFAULT;
}

static struct rj_runtime *runtime_at(struct rj_topology_state *state,
				     const char *key, const char *class_name,
				     struct rj_runtime *wider)
{
	struct rj_runtime *runtime = g_hash_table_lookup(state->runtimes, key);

	if (runtime)
		return runtime;
	runtime = talloc_zero(state->mem, struct rj_runtime);
	assert(runtime);
	runtime->expected_us = expected_us(state, class_name);
	runtime->wider = wider;
	g_hash_table_insert(state->runtimes, talloc_strdup(runtime, key),
			    runtime);
	return runtime;
}

/*
 * What has been learnt of the job's class and account.
 */
struct rj_runtime *rj_topology_runtime(struct rj_topology_state *state,
				       const struct rj_plan_job *job)
{
	char key[2 * RJ_NAME_BYTES];

	snprintf(key, sizeof(key), "%s/%s", job->class_name, job->account);
	return runtime_at(
		state, key, job->class_name,
		runtime_at(state, job->class_name, job->class_name, NULL));
}

/*
 * When `percent` of the jobs like this running one have ended.
 */
uint64_t rj_topology_ends_us(const struct rj_plan_entry *entry,
			     uint32_t percent, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - MIN(now_us, entry->started_us);
	uint64_t whole_us =
		rj_runtime_quantile_us(entry->runtime, percent, elapsed_us);

	return MAX(entry->started_us + whole_us, now_us);
}

/*
 * The accelerators of the job; a task without any counts as one.
 */
uint32_t rj_topology_size(const struct rj_plan_entry *entry)
{
	return entry->job.shape.tasks *
	       MAX(entry->job.shape.each.accelerators, 1);
}

/*
 * The workers of the rack at `index`.
 */
struct rj_site rj_topology_rack(const struct rj_topology_state *state,
				uint32_t index)
{
	const struct rj_capacity_rack *rack = state->capacity.racks[index];

	return (struct rj_site){ rack->workers, rack->count };
}

/*
 * All workers, those of racks that this instance owns first.
 */
struct rj_site rj_topology_all(struct rj_topology_state *state)
{
	g_ptr_array_set_size(state->all, 0);
	for (uint32_t owned = 2; owned--;)
		for (uint32_t i = 0; i < state->capacity.rack_count; i++) {
			struct rj_site rack = rj_topology_rack(state, i);

			for (uint32_t j = 0; j < rack.count; j++)
				if (rack.workers[j]->plan.owned == owned)
					g_ptr_array_add(state->all,
							rack.workers[j]);
		}
	return (struct rj_site){ (void *)state->all->pdata, state->all->len };
}

/*
 * Take over shares, guarantees, classes, limits and the topology.
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
		rj_topology_note_active(state, account);
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
	rj_topology_assign_homes(state, config);
	state->workers_changed = true;
}

static bool is_same_worker(const struct rj_plan_worker *one,
			   const struct rj_plan_worker *two)
{
	return one->rack == two->rack && one->usable == two->usable &&
	       one->owned == two->owned &&
	       !memcmp(&one->capacity, &two->capacity, sizeof(one->capacity)) &&
	       !memcmp(&one->foreign, &two->foreign, sizeof(one->foreign));
}

static void topology_worker(struct rj_planner *planner,
			    const struct rj_plan_worker *worker,
			    uint64_t now_us)
{
	struct rj_topology_state *state = state_of(planner);
	const struct rj_capacity_worker *known =
		rj_capacity_find(&state->capacity, worker->id);

	/* Most reports repeat what is known. */
	if (known && !known->gone && is_same_worker(&known->plan, worker))
		return;
	rj_ledger_of(rj_capacity_set(&state->capacity, worker));
	state->workers_changed = true;
}

/*
 * Whether a reservation keeps part of the worker.
 */
static bool keeps(const struct rj_reservation *reservation, uint32_t worker)
{
	for (uint32_t i = 0; i < reservation->member_count; i++)
		if (reservation->members[i].worker == worker)
			return true;
	return false;
}

/*
 * The job's account no longer has room on its guarantee's behalf by it.
 */
static void revoke_grant(struct rj_plan_entry *entry)
{
	if (!entry->granted)
		return;
	entry->granted = false;
	rj_resources_take(&entry->account->granted, &entry->job.shape.each,
			  entry->job.shape.tasks);
}

/*
 * Keep nothing for the job any more. One that waited outside of its bucket
 * for firmly kept room goes back to it.
 */
static void drop_reservation(struct rj_topology_state *state,
			     struct rj_reservation *reservation,
			     uint64_t now_us)
{
	struct rj_plan_entry *entry = reservation->entry;
	bool firm = reservation->firm;

	revoke_grant(entry);
	rj_topology_unreserve(state, reservation);
	if (!firm)
		return;
	rj_topology_dequeue(state, entry);
	entry->not_before_us = now_us;
	rj_topology_enqueue(state, entry, now_us);
}

/*
 * Give up what is firmly kept on the members for anything but a guarantee.
 */
void rj_topology_displace(struct rj_topology_state *state,
			  const struct rj_plan_member *members, uint32_t count,
			  uint64_t now_us)
{
	for (uint32_t i = state->reservations->len; i--;) {
		struct rj_reservation *reservation =
			g_ptr_array_index(state->reservations, i);
		bool in_the_way = false;

		for (uint32_t j = 0; j < count; j++)
			in_the_way |= keeps(reservation, members[j].worker);
		if (in_the_way && reservation->firm &&
		    reservation->reason != RJ_REASON_GUARANTEE)
			drop_reservation(state, reservation, now_us);
	}
}

static void topology_worker_gone(struct rj_planner *planner, uint32_t worker,
				 uint64_t now_us)
{
	struct rj_topology_state *state = state_of(planner);

	for (uint32_t i = state->reservations->len; i--;) {
		struct rj_reservation *reservation =
			g_ptr_array_index(state->reservations, i);

		if (keeps(reservation, worker))
			drop_reservation(state, reservation, now_us);
	}
	rj_capacity_remove(&state->capacity, worker);
	state->workers_changed = true;
}

/*
 * The job gives back what it holds; it waits for nothing and runs nowhere
 * afterwards.
 */
static void detach(struct rj_topology_state *state, struct rj_plan_entry *entry)
{
	if (entry->reservation)
		rj_topology_unreserve(state, entry->reservation);
	revoke_grant(entry);
	if (!entry->members) {
		rj_topology_dequeue(state, entry);
		return;
	}
	for (uint32_t i = 0; i < entry->member_count; i++) {
		struct rj_capacity_worker *worker = rj_capacity_find(
			&state->capacity, entry->members[i].worker);

		rj_ledger_remove_run(worker, entry, entry->members[i].tasks);
		worker->ledger->silent_until_us = 0;
	}
	entry->account->used -= rj_topology_size(entry);
	rj_topology_note_active(state, entry->account);
	entry->reclaiming = false;
	entry->on_loan = false;
	rj_plan_entry_unplace(entry, &state->capacity);
	state->version++;
}

static void forget(struct rj_topology_state *state, struct rj_plan_entry *entry)
{
	detach(state, entry);
	rj_plan_table_remove(&state->table, entry);
}

static struct rj_plan_entry *add_entry(struct rj_topology_state *state,
				       const struct rj_plan_job *job)
{
	struct rj_plan_entry *entry = rj_plan_table_add(&state->table, job);

	entry->account = rj_topology_account(state, job->account);
	entry->runtime = rj_topology_runtime(state, job);
	return entry;
}

/*
 * Whether the job can be taken in; if not, why, and when to come back. A
 * job that by the learnt run times will miss its deadline is told at once.
 */
static bool admit(const struct rj_topology_state *state,
		  const struct rj_plan_entry *entry, uint64_t now_us,
		  enum rj_reason *reason, uint64_t *retry_after_us)
{
	const struct rj_plan_job *job = &entry->job;
	bool known = state->capacity.worker_count || state->domain.racks;
	uint64_t wait_us = rj_topology_wait_us(state, job->priority);
	uint64_t run_us = rj_runtime_quantile_us(entry->runtime, 50, 0);

	*retry_after_us = 0;
	*reason = RJ_REASON_NEVER_FITS;
	if (known && !rj_capacity_could_fit(&state->capacity, &state->domain,
					    &job->shape))
		return false;
	*retry_after_us = rj_topology_spread_us(wait_us, job->job_id);
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

static void topology_ended(struct rj_planner *planner, uint64_t job_id,
			   bool succeeded, uint64_t ran_us, uint64_t now_us)
{
	struct rj_topology_state *state = state_of(planner);
	struct rj_plan_entry *entry = rj_plan_table_find(&state->table, job_id);

	if (!entry)
		return;
	if (succeeded)
		rj_runtime_learn(entry->runtime, ran_us);
	forget(state, entry);
}

static void topology_requeue(struct rj_planner *planner, uint64_t job_id,
			     uint64_t not_before_us, uint64_t now_us)
{
	struct rj_topology_state *state = state_of(planner);
	struct rj_plan_entry *entry = rj_plan_table_find(&state->table, job_id);

	if (!entry)
		return;
	detach(state, entry);
	entry->not_before_us = not_before_us;
	entry->waiting_since_us = now_us;
	rj_topology_enqueue(state, entry, now_us);
}

/*
 * Count the job as running on the members.
 */
static void attach(struct rj_topology_state *state, struct rj_plan_entry *entry,
		   const struct rj_plan_member *members, uint32_t count,
		   uint64_t now_us)
{
	rj_plan_entry_place(entry, &state->capacity, members, count, now_us);
	for (uint32_t i = 0; i < count; i++)
		rj_ledger_add_run(
			rj_capacity_find(&state->capacity, members[i].worker),
			entry, members[i].tasks);
	entry->account->used += rj_topology_size(entry);
	rj_topology_note_active(state, entry->account);
}

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
		detach(state, entry);
	else
		entry = add_entry(state, job);
	attach(state, entry, members, count, now_us);
}

/*
 * Whether all members lie on what the account is guaranteed there.
 */
static bool is_at_home(const struct rj_topology_state *state,
		       const struct rj_plan_entry *entry)
{
	for (uint32_t i = 0; i < entry->member_count; i++) {
		const struct rj_capacity_worker *worker = rj_capacity_find(
			&state->capacity, entry->members[i].worker);
		const struct rj_worker_share *share =
			rj_ledger_share(worker->ledger, entry->account);

		if (rj_resources_exceed(&share->used, &share->guaranteed))
			return false;
	}
	return true;
}

/*
 * Start a waiting job on the members in `state->members`.
 */
static void start(struct rj_topology_state *state, struct rj_plan_entry *entry,
		  uint32_t count, enum rj_reason reason, uint64_t now_us,
		  struct rj_decisions *decisions)
{
	struct rj_decision *decision =
		rj_decisions_add(decisions, RJ_DECISION_START);

	decision->job_id = entry->job.job_id;
	decision->reason = reason;
	decision->considered = state->considered;
	decision->members = talloc_memdup(decisions->mem, state->members,
					  sizeof(*state->members) * count);
	assert(decision->members);
	decision->member_count = count;
	if (entry->reservation)
		rj_topology_unreserve(state, entry->reservation);
	entry->on_loan = reason == RJ_REASON_BACKFILL;
	rj_topology_dequeue(state, entry);
	attach(state, entry, decision->members, count, now_us);
	if (is_at_home(state, entry))
		revoke_grant(entry);
}

static void refuse(struct rj_topology_state *state, struct rj_plan_entry *entry,
		   enum rj_reason reason, struct rj_decisions *decisions)
{
	struct rj_decision *decision =
		rj_decisions_add(decisions, RJ_DECISION_REFUSE);

	decision->job_id = entry->job.job_id;
	decision->reason = reason;
	decision->retry_after_us = rj_topology_spread_us(
		rj_topology_wait_us(state, entry->job.priority),
		entry->job.job_id);
	forget(state, entry);
}

static void refuse_late(struct rj_topology_state *state, uint64_t now_us,
			struct rj_decisions *decisions)
{
	for (;;) {
		GSequenceIter *first =
			g_sequence_get_begin_iter(state->deadlines);
		struct rj_plan_entry *entry;

		if (g_sequence_iter_is_end(first))
			return;
		entry = g_sequence_get(first);
		if (entry->job.deadline_us > now_us)
			return;
		refuse(state, entry, RJ_REASON_DEADLINE_PASSED, decisions);
	}
}

/*
 * Whether all that is firmly kept is free by now. Of two that wait for parts
 * of the same worker the older is served first, so that one silent task
 * cannot keep both waiting.
 */
static bool is_ready(const struct rj_topology_state *state,
		     const struct rj_reservation *reservation)
{
	const struct rj_plan_entry *entry = reservation->entry;

	for (uint32_t i = 0; i < reservation->member_count; i++) {
		const struct rj_plan_member *member = &reservation->members[i];
		const struct rj_capacity_worker *worker =
			rj_capacity_find(&state->capacity, member->worker);
		struct rj_resources room = worker->free;
		struct rj_resources limit =
			rj_ledger_pin_room(worker, entry->account);

		for (uint32_t j = 0;
		     worker->ledger->holds[j].reservation != reservation; j++)
			if (worker->ledger->holds[j].reservation->firm)
				rj_resources_take_or_zero(
					&room, &worker->ledger->holds[j].want);
		if (!entry->job.stoppable)
			rj_resources_limit(&room, &limit);
		if (rj_resources_times(&entry->job.shape.each, &room,
				       member->tasks) < member->tasks)
			return false;
	}
	return true;
}

/*
 * Note the workers that did not give back what was reclaimed in time, so
 * that the next search chooses another shape.
 */
static void note_silent(struct rj_topology_state *state,
			const struct rj_reservation *reservation,
			uint64_t now_us)
{
	for (uint32_t i = 0; i < reservation->member_count; i++) {
		struct rj_ledger *ledger =
			rj_capacity_find(&state->capacity,
					 reservation->members[i].worker)
				->ledger;

		for (uint32_t j = 0; j < ledger->run_count; j++)
			if (ledger->runs[j].entry->reclaiming)
				ledger->silent_until_us = now_us + SILENT_US;
	}
}

/*
 * Start what is ready, and give up what is overdue.
 */
static void serve_reservations(struct rj_topology_state *state, uint64_t now_us,
			       struct rj_decisions *decisions)
{
	for (uint32_t i = 0; i < state->reservations->len;) {
		struct rj_reservation *reservation =
			g_ptr_array_index(state->reservations, i);
		struct rj_plan_entry *entry = reservation->entry;

		if (reservation->firm && is_ready(state, reservation)) {
			memcpy(state->members, reservation->members,
			       sizeof(*state->members) *
				       reservation->member_count);
			start(state, entry, reservation->member_count,
			      reservation->reason, now_us, decisions);
		} else if (reservation->firm && reservation->at_us <= now_us) {
			note_silent(state, reservation, now_us);
			drop_reservation(state, reservation, now_us);
		} else if (!reservation->firm &&
			   reservation->refresh_us <= now_us) {
			drop_reservation(state, reservation, now_us);
		} else {
			i++;
		}
	}
}

/*
 * Try to start the job at the head of a bucket as things lie.
 */
static bool try_start(struct rj_topology_state *state,
		      struct rj_plan_entry *entry, uint64_t now_us,
		      struct rj_decisions *decisions)
{
	uint32_t count = rj_topology_place(state, entry, now_us);
	enum rj_reason reason = RJ_REASON_BEST_FIT;

	if (!count)
		return false;
	if (rj_topology_passes_loosely(entry, state->members, count,
				       &state->capacity))
		reason = RJ_REASON_BACKFILL;
	else if (entry->reservation)
		reason = RJ_REASON_RESERVATION;
	start(state, entry, count, reason, now_us, decisions);
	return true;
}

static uint32_t loose_count(const struct rj_topology_state *state)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < state->reservations->len; i++) {
		const struct rj_reservation *reservation =
			g_ptr_array_index(state->reservations, i);

		count += !reservation->firm;
	}
	return count;
}

/*
 * Do for a job that does not fit what may be done: reclaim, or keep room.
 * One that has room firmly kept waits for it outside of its bucket.
 */
static void handle_blocked(struct rj_topology_state *state,
			   struct rj_plan_entry *entry, uint64_t now_us,
			   struct rj_decisions *decisions)
{
	uint64_t patience_us = rj_topology_patience_us(state, entry);

	entry->bucket->blocked_version = state->version;
	if (rj_topology_reclaim(state, entry, now_us, decisions)) {
		rj_topology_dequeue(state, entry);
		entry->not_before_us = entry->reservation->at_us;
		rj_topology_enqueue(state, entry, now_us);
		return;
	}
	if (patience_us != RJ_NEVER_US &&
	    entry->waiting_since_us + patience_us > now_us)
		state->retry_us = MIN(state->retry_us,
				      entry->waiting_since_us + patience_us);
	if (!entry->reservation && loose_count(state) < LOOSE_MAX &&
	    rj_topology_size(entry) > state->worker_accelerators)
		rj_topology_reserve_soonest(state, entry, now_us);
}

/*
 * Take over what has changed of the workers as a whole.
 */
static void survey(struct rj_topology_state *state)
{
	state->accelerators = 0;
	state->worker_accelerators = 1;
	for (uint32_t i = 0; i < state->capacity.rack_count; i++) {
		struct rj_site rack = rj_topology_rack(state, i);

		for (uint32_t j = 0; j < rack.count; j++) {
			uint32_t has =
				rack.workers[j]->plan.capacity.accelerators;

			rj_ledger_of(rack.workers[j]);
			if (rack.workers[j]->plan.usable)
				state->accelerators += has;
			state->worker_accelerators =
				MAX(state->worker_accelerators, has);
		}
	}
	rj_topology_apply_homes(state);
	state->workers_changed = false;
	state->version++;
}

/*
 * Decide all that can be decided now. Jobs are tried in the order of the
 * queue; one that does not fit keeps no other back but by a reservation.
 */
static void topology_pass(struct rj_planner *planner, uint64_t now_us,
			  struct rj_decisions *decisions)
{
	struct rj_topology_state *state = state_of(planner);
	struct rj_plan_bucket *bucket;

	if (state->workers_changed)
		survey(state);
	if (state->retry_us <= now_us)
		state->version++;
	if (state->retry_us <= now_us)
		state->retry_us = RJ_NEVER_US;
	refuse_late(state, now_us, decisions);
	serve_reservations(state, now_us, decisions);
	rj_topology_release_delayed(state, now_us);
	while ((bucket = rj_topology_next(state, now_us))) {
		struct rj_plan_entry *entry = bucket->queue.head->data;

		if (!try_start(state, entry, now_us, decisions))
			handle_blocked(state, entry, now_us, decisions);
	}
	serve_reservations(state, now_us, decisions);
}

/*
 * The first deadline, end of a back-off, refresh or retry.
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

		wake_us = MIN(wake_us, reservation->firm ?
					       reservation->at_us :
					       reservation->refresh_us);
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
	view->small_wait_us = rj_topology_wait_us(state, RJ_PRIORITY_NORMAL);
}

static void topology_finish(struct rj_planner *planner)
{
	struct rj_planner_topology *topology =
		(struct rj_planner_topology *)planner;
	struct rj_topology_state *state = topology->state;

	g_ptr_array_free(state->buckets, TRUE);
	g_ptr_array_free(state->reservations, TRUE);
	g_ptr_array_free(state->homes, TRUE);
	g_ptr_array_free(state->all, TRUE);
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

static uint32_t topology_home_rack(const struct rj_planner *planner,
				   const char *account,
				   const struct rj_shape *shape)
{
	return rj_topology_home_rack(state_of(planner), account, shape);
}

static const struct rj_planner_ops topology_ops = {
	.name = "topology",
	.configure = topology_configure,
	.worker = topology_worker,
	.worker_gone = topology_worker_gone,
	.submit = topology_submit,
	.ended = topology_ended,
	.requeue = topology_requeue,
	.adopt = topology_adopt,
	.pass = topology_pass,
	.wake_us = topology_wake_us,
	.view = topology_view,
	.rack_group = topology_rack_group,
	.home_rack = topology_home_rack,
	.finish = topology_finish,
};

/*
 * Make the planner on the caller's memory; its state is a talloc child of
 * `mem`. Returns 0.
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
	state->homes = g_ptr_array_new();
	state->all = g_ptr_array_new();
	state->deadlines = g_sequence_new(NULL);
	g_queue_init(&state->delayed);
	state->limits.queue_max = QUEUE_MAX_DEFAULT;
	state->limits.checkpoint_limit_ms = CHECKPOINT_LIMIT_MS_DEFAULT;
	state->version = 1;
	state->retry_us = RJ_NEVER_US;
	return 0;
}
