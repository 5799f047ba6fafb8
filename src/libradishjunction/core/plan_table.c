#include "private/plan_table.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/*
 * Start an empty table whose entries are talloc children of `mem`.
 */
void rj_plan_table_init(struct rj_plan_table *table, void *mem)
{
	table->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	table->mem = talloc_new(mem);
}

/*
 * Free all entries.
 */
void rj_plan_table_finish(struct rj_plan_table *table)
{
	g_hash_table_destroy(table->by_id);
	TALLOC_FREE(table->mem);
}

/*
 * The entry of the job, or NULL.
 */
struct rj_plan_entry *rj_plan_table_find(const struct rj_plan_table *table,
					 uint64_t job_id)
{
	return g_hash_table_lookup(table->by_id, &job_id);
}

/*
 * Add a job that is not in the table yet; it waits.
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
 * Forget a job that holds no capacity any more and is in no queue.
 */
void rj_plan_table_remove(struct rj_plan_table *table,
			  struct rj_plan_entry *entry)
{
	assert(!entry->members);
	g_hash_table_remove(table->by_id, &entry->job.job_id);
	talloc_free(entry);
}

/*
 * How many jobs the table holds.
 */
uint32_t rj_plan_table_count(const struct rj_plan_table *table)
{
	return g_hash_table_size(table->by_id);
}

/*
 * Let the job run on `members` from `now_us`, and take their capacity.
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
 * Give back the capacity of a job that runs; nothing for one that waits.
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
 * Put `entry` into a queue that is in order of arrival. A job that returns
 * takes its old place, so it is sought from the end.
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
 * The first deadline or end of a back-off of a waiting job, or RJ_NEVER_US.
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
 * The shape in the queue that asks for most accelerators, NULL if none asks
 * for any; `*accelerators` is how many.
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
