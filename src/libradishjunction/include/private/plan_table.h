/*
 * The jobs that a planner knows: waiting, running or being stopped.
 *
 * Life cycle: `rj_plan_table_init` on the caller's memory, `add` for each
 * job, `place` when it starts, `unplace` when it stops, `remove`, `finish`.
 * The table owns its entries; a pointer to one lives until `remove`.
 */
#ifndef RADISHJUNCTION_PRIVATE_PLAN_TABLE_H
#define RADISHJUNCTION_PRIVATE_PLAN_TABLE_H

#include "private/capacity.h"

struct rj_plan_entry {
	struct rj_plan_job job;
	struct rj_plan_member *members; /* NULL while it waits */
	uint32_t member_count;
	uint64_t not_before_us;
	uint64_t started_us;
	GList link; /* of the queue that the planner keeps */
	/* Kept by the planner by topology alone. */
	struct rj_plan_account *account;
	struct rj_plan_bucket *bucket;
	struct rj_runtime *runtime;
	struct rj_reservation *reservation;
	GSequenceIter *deadline;
	uint64_t waiting_since_us; /* its arrival, or when it was stopped */
	uint64_t backlog; /* what it added to the backlog when it came */
	uint64_t stamp; /* of the last search that met it */
	bool reclaiming;
	bool on_guarantee; /* was placed on its account's guarantee */
	bool backfilled; /* runs where a reservation let it pass */
	bool granted; /* by a guarantee, and not on its home (yet) */
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
