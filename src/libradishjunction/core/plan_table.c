#include "private/plan_table.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/*
 * Initialises an empty table whose entries are talloc children of `mem`.
 */
void rj_plan_table_init(struct rj_plan_table *table, void *mem)
{
	table->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	table->mem = talloc_new(mem);
}

void rj_plan_table_finish(struct rj_plan_table *table)
{
	g_hash_table_destroy(table->by_id);
	TALLOC_FREE(table->mem);
}

/*
 * Returns the entry of the job, or NULL.
 */
struct rj_plan_entry *rj_plan_table_find(const struct rj_plan_table *table,
					 uint64_t job_id)
{
	return g_hash_table_lookup(table->by_id, &job_id);
}

/*
 * Adds a waiting job that is not in the table yet.
 */
struct rj_plan_entry *rj_plan_table_add(struct rj_plan_table *table,
					const struct rj_plan_job *job)
{
	struct rj_plan_entry *entry =
		talloc_zero(table->mem, struct rj_plan_entry);

	assert(entry);
	assert(job->shape.tasks && job->shape.tasks <= RJ_GANG_MAX);
	assert(!rj_plan_table_find(table, job->job_id));
	entry->job = *job;
	entry->link.data = entry;
	g_hash_table_insert(table->by_id, &entry->job.job_id, entry);
	return entry;
}

/*
 * Frees the entry of a job that is neither placed nor queued.
 */
void rj_plan_table_remove(struct rj_plan_table *table,
			  struct rj_plan_entry *entry)
{
	assert(!entry->members);
	g_hash_table_remove(table->by_id, &entry->job.job_id);
	talloc_free(entry);
}

uint32_t rj_plan_table_count(const struct rj_plan_table *table)
{
	return g_hash_table_size(table->by_id);
}

/*
 * Places the job on `members` at `now_us` and allocates their capacity.
 */
void rj_plan_entry_place(struct rj_plan_entry *entry,
			 struct rj_capacity *capacity,
			 const struct rj_plan_member *members, uint32_t count,
			 uint64_t now_us)
{
	assert(!entry->members && count);
	entry->members =
		talloc_memdup(entry, members, sizeof(*members) * count);
	assert(entry->members);
	entry->member_count = count;
	entry->started_us = now_us;
	rj_capacity_allocate(capacity, &entry->job.shape.each, members, count);
}

/*
 * Releases the capacity of a running job; no effect on a waiting one.
 */
void rj_plan_entry_unplace(struct rj_plan_entry *entry,
			   struct rj_capacity *capacity)
{
	if (!entry->members)
		return;
	rj_capacity_release(capacity, &entry->job.shape.each, entry->members,
			    entry->member_count);
	TALLOC_FREE(entry->members);
	entry->member_count = 0;
}

/*
 * Inserts `entry` into a queue sorted by arrival time, after jobs with the same
 * time. Searches from the tail, where new jobs belong; a requeued job keeps its
 * arrival time and so is inserted further ahead.
 */
void rj_plan_queue_insert(GQueue *queue, struct rj_plan_entry *entry)
{
	GList *before = queue->tail;

	while (before) {
		const struct rj_plan_entry *other = before->data;

		if (other->job.queued_us <= entry->job.queued_us)
			break;
		before = before->prev;
	}
	entry->link.prev = NULL;
	entry->link.next = NULL;
	if (before)
		g_queue_insert_after_link(queue, before, &entry->link);
	else
		g_queue_push_head_link(queue, &entry->link);
}

/*
 * Returns the earliest deadline or `not_before_us` of a queued job, or
 * RJ_NEVER_US.
 */
uint64_t rj_plan_queue_wake_us(const GQueue *queue)
{
	uint64_t wake_us = RJ_NEVER_US;

	for (const GList *at = queue->head; at; at = at->next) {
		const struct rj_plan_entry *entry = at->data;

		wake_us = MIN(wake_us, entry->job.deadline_us);
		if (entry->not_before_us)
			wake_us = MIN(wake_us, entry->not_before_us);
	}
	return wake_us;
}

/*
 * Returns the queued shape with the most accelerators, NULL if none needs any;
 * `*accelerators` is their number.
 */
const struct rj_shape *rj_plan_queue_largest(const GQueue *queue,
					     uint32_t *accelerators)
{
	const struct rj_shape *largest = NULL;

	*accelerators = 0;
	for (const GList *at = queue->head; at; at = at->next) {
		const struct rj_plan_entry *entry = at->data;
		const struct rj_shape *shape = &entry->job.shape;

		if (shape->tasks * shape->each.accelerators <= *accelerators)
			continue;
		*accelerators = shape->tasks * shape->each.accelerators;
		largest = shape;
	}
	return largest;
}
