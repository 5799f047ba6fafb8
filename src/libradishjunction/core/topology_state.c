#include "private/topology.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Assumed run time of a class without a configured estimate. */
#define EXPECTED_US_DEFAULT (10 * RJ_US_PER_S)

/*
 * Returns the account, creating it if necessary. It is kept as long as the
 * planner, since configurations may drop its name and add it again.
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

/*
 * Returns the configured run time estimate of a class.
 */
static uint64_t expected_us(const struct rj_topology_state *state,
			    const char *class_name)
{
	for (uint32_t i = 0; i < state->class_count; i++)
		if (!strcmp(state->classes[i].name, class_name) &&
		    state->classes[i].expected_us)
			return state->classes[i].expected_us;
	return EXPECTED_US_DEFAULT;
}

/*
 * Returns the histogram with this key, creating an empty one if necessary.
 */
static struct rj_runtime *runtime_get(struct rj_topology_state *state,
				      const char *key, const char *class_name,
				      struct rj_runtime *fallback)
{
	struct rj_runtime *runtime = g_hash_table_lookup(state->runtimes, key);

	if (runtime)
		return runtime;
	runtime = talloc_zero(state->mem, struct rj_runtime);
	assert(runtime);
	runtime->expected_us = expected_us(state, class_name);
	runtime->fallback = fallback;
	g_hash_table_insert(state->runtimes, talloc_strdup(runtime, key),
			    runtime);
	return runtime;
}

/*
 * Returns the histogram of the job's class and account.
 */
struct rj_runtime *rj_topology_runtime(struct rj_topology_state *state,
				       const struct rj_plan_job *job)
{
	char key[2 * RJ_NAME_BYTES];

	snprintf(key, sizeof(key), "%s/%s", job->class_name, job->account);
	return runtime_get(
		state, key, job->class_name,
		runtime_get(state, job->class_name, job->class_name, NULL));
}

/*
 * Returns when `percent` of the jobs like this running one have ended.
 */
uint64_t rj_topology_expected_end_us(const struct rj_plan_entry *entry,
				     uint32_t percent, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - MIN(now_us, entry->started_us);
	uint64_t whole_us =
		rj_runtime_quantile_us(entry->runtime, percent, elapsed_us);

	return MAX(entry->started_us + whole_us, now_us);
}

/*
 * Returns the accelerators of the job; a task without any counts as one.
 */
uint32_t rj_topology_job_size(const struct rj_plan_entry *entry)
{
	return entry->job.shape.tasks *
	       MAX(entry->job.shape.each.accelerators, 1);
}

struct rj_worker_set
rj_topology_rack_workers(const struct rj_topology_state *state, uint32_t index)
{
	const struct rj_capacity_rack *rack = state->capacity.racks[index];

	return (struct rj_worker_set){ rack->workers, rack->count };
}

/*
 * Returns all workers, those of owned racks first.
 */
struct rj_worker_set rj_topology_all_workers(struct rj_topology_state *state)
{
	g_ptr_array_set_size(state->all_workers, 0);
	for (uint32_t owned = 2; owned--;)
		for (uint32_t i = 0; i < state->capacity.rack_count; i++) {
			struct rj_worker_set rack =
				rj_topology_rack_workers(state, i);

			for (uint32_t j = 0; j < rack.count; j++)
				if (rack.workers[j]->plan.owned == owned)
					g_ptr_array_add(state->all_workers,
							rack.workers[j]);
		}
	return (struct rj_worker_set){ (void *)state->all_workers->pdata,
				       state->all_workers->len };
}

/*
 * Counts the job as running on the members.
 */
void rj_topology_attach(struct rj_topology_state *state,
			struct rj_plan_entry *entry,
			const struct rj_plan_member *members, uint32_t count,
			uint64_t now_us)
{
	rj_plan_entry_place(entry, &state->capacity, members, count, now_us);
	for (uint32_t i = 0; i < count; i++)
		rj_ledger_add_run(
			rj_capacity_find(&state->capacity, members[i].worker),
			entry, members[i].tasks);
	entry->account->used += rj_topology_job_size(entry);
	rj_topology_update_active(state, entry->account);
}

/*
 * Removes the job from its workers or from the queue, with its reservation.
 */
void rj_topology_detach(struct rj_topology_state *state,
			struct rj_plan_entry *entry)
{
	if (entry->reservation)
		rj_topology_unreserve(state, entry->reservation);
	rj_topology_revoke(entry);
	if (!entry->members) {
		rj_topology_dequeue(state, entry);
		return;
	}
	for (uint32_t i = 0; i < entry->member_count; i++) {
		struct rj_capacity_worker *worker = rj_capacity_find(
			&state->capacity, entry->members[i].worker);

		rj_ledger_remove_run(worker, entry, entry->members[i].tasks);
		worker->ledger->skip_until_us = 0;
	}
	entry->account->used -= rj_topology_job_size(entry);
	rj_topology_update_active(state, entry->account);
	entry->reclaiming = false;
	entry->backfilled = false;
	rj_plan_entry_unplace(entry, &state->capacity);
	state->version++;
}

/*
 * Detaches the job and removes it from the table.
 */
void rj_topology_remove(struct rj_topology_state *state,
			struct rj_plan_entry *entry)
{
	rj_topology_detach(state, entry);
	rj_plan_table_remove(&state->table, entry);
}
