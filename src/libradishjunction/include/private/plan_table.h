/*
 * The jobs known to a planner: waiting, running or being stopped.
 *
 * Life cycle: `rj_plan_table_init`, `rj_plan_table_add` for each job,
 * `rj_plan_entry_place` when it starts, `rj_plan_entry_unplace` when it stops,
 * `rj_plan_table_remove`, `rj_plan_table_finish`. The table owns its entries;
 * pointers to an entry are valid until it is removed.
 */
#ifndef RADISHJUNCTION_PRIVATE_PLAN_TABLE_H
#define RADISHJUNCTION_PRIVATE_PLAN_TABLE_H

#include "private/capacity.h"

struct rj_plan_entry {
	struct rj_plan_job job;
	struct rj_plan_member *members; /* NULL while waiting */
	uint32_t member_count;
	uint64_t not_before_us; /* earliest start; 0: no limit */
	uint64_t started_us;
	GList link; /* in the planner's queue */
	/* Used by the topology planner only. */
	struct rj_plan_account *account;
	struct rj_plan_bucket *bucket;
	struct rj_runtime *runtime;
	struct rj_reservation *reservation;
	GSequenceIter *deadline;
	uint64_t waiting_since_us; /* since arrival or its last stop */
	uint64_t backlog; /* while queued: median run time x job size */
	uint64_t stamp; /* number of the last search that visited it */
	bool reclaiming; /* asked to stop; has not stopped yet */
	bool on_guarantee; /* placed on its account's guarantee */
	bool backfilled; /* runs on softly reserved capacity */
	bool granted; /* counted in its account's `granted` */
};

struct rj_plan_table {
	GHashTable *by_id;
	void *mem;
};

void rj_plan_table_init(struct rj_plan_table *table, void *mem);
void rj_plan_table_finish(struct rj_plan_table *table);
struct rj_plan_entry *rj_plan_table_find(const struct rj_plan_table *table,
					 uint64_t job_id);
struct rj_plan_entry *rj_plan_table_add(struct rj_plan_table *table,
					const struct rj_plan_job *job);
void rj_plan_table_remove(struct rj_plan_table *table,
			  struct rj_plan_entry *entry);
uint32_t rj_plan_table_count(const struct rj_plan_table *table);
void rj_plan_entry_place(struct rj_plan_entry *entry,
			 struct rj_capacity *capacity,
			 const struct rj_plan_member *members, uint32_t count,
			 uint64_t now_us);
void rj_plan_entry_unplace(struct rj_plan_entry *entry,
			   struct rj_capacity *capacity);
void rj_plan_queue_insert(GQueue *queue, struct rj_plan_entry *entry);
uint64_t rj_plan_queue_wake_us(const GQueue *queue);
const struct rj_shape *rj_plan_queue_largest(const GQueue *queue,
					     uint32_t *accelerators);

#endif
