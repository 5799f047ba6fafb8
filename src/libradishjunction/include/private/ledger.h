/*
 * Use of one worker by account: guarantees, preemptible and non-preemptible
 * tasks, and reservations.
 *
 * Invariant that keeps guarantees reclaimable: on each worker, the sum over the
 * client accounts of max(guarantee on the worker, non-preemptible tasks on the
 * worker) does not exceed its capacity. Stopping all preemptible tasks then
 * frees every guarantee at once.
 *
 * Life cycle: `rj_ledger_get` creates it as a talloc child of its worker.
 */
#ifndef RADISHJUNCTION_PRIVATE_LEDGER_H
#define RADISHJUNCTION_PRIVATE_LEDGER_H

#include "private/plan_table.h"

struct rj_plan_account;
struct rj_reservation;

/* What an account is guaranteed and uses on one worker. */
struct rj_worker_usage {
	struct rj_plan_account *account;
	struct rj_resources guaranteed;
	struct rj_resources non_preemptible; /* used by non-preemptible tasks */
	struct rj_resources used; /* used by all of its tasks */
	struct rj_resources evicted; /* scratch: tentatively preempted */
};

/* Tasks of one job on the worker. */
struct rj_worker_run {
	struct rj_plan_entry *entry;
	uint32_t tasks;
};

struct rj_worker_reservation {
	struct rj_reservation *reservation;
	struct rj_resources amount;
};

struct rj_ledger {
	struct rj_worker_usage *usages;
	uint32_t usage_count;
	struct rj_worker_run *runs;
	uint32_t run_count;
	struct rj_worker_reservation *reservations;
	uint32_t reservation_count;
	struct rj_resources committed; /* the sum in the invariant above */
	uint32_t gang_blocking; /* accelerators that no gang may preempt */
	uint64_t skip_until_us; /* reclaims skip the worker until then */
	uint32_t set_index; /* scratch: index in the set searched last */
	uint64_t set_stamp; /* scratch: number of that search */
};

/*
 * Capacity reserved for a waiting job. A firm reservation is exclusive. A soft
 * one may be used for backfill by jobs that end in time or are cheap to stop.
 */
struct rj_reservation {
	struct rj_plan_entry *entry;
	struct rj_plan_member *members;
	uint32_t member_count;
	uint64_t due_us; /* expected to be free; firm: expires */
	uint64_t backoff_until_us; /* firm: back-off of its job; 0: none */
	uint64_t refresh_us; /* soft: when to recompute it */
	bool firm; /* no other job may start on it */
	/* Firm: the planner's version at which its job did not fit elsewhere
	 * either. */
	uint64_t tried_version;
	enum rj_reason reason;
};

bool rj_ledger_blocks_gangs(const struct rj_plan_job *job);
struct rj_ledger *rj_ledger_get(struct rj_capacity_worker *worker);
void rj_ledger_guarantee(struct rj_capacity_worker *worker,
			 struct rj_plan_account *account,
			 const struct rj_resources *each, uint32_t tasks);
void rj_ledger_clear_guarantees(struct rj_capacity_worker *worker);
void rj_ledger_add_run(struct rj_capacity_worker *worker,
		       struct rj_plan_entry *entry, uint32_t tasks);
void rj_ledger_remove_run(struct rj_capacity_worker *worker,
			  struct rj_plan_entry *entry, uint32_t tasks);
void rj_ledger_reserve(struct rj_capacity_worker *worker,
		       struct rj_reservation *reservation, uint32_t tasks);
void rj_ledger_unreserve(struct rj_capacity_worker *worker,
			 struct rj_reservation *reservation);
struct rj_worker_usage *rj_ledger_usage(const struct rj_ledger *ledger,
					const struct rj_plan_account *account);
struct rj_resources
rj_ledger_non_preemptible_limit(const struct rj_capacity_worker *worker,
				const struct rj_plan_account *account);
bool rj_resources_exceed(const struct rj_resources *one,
			 const struct rj_resources *two);
struct rj_resources rj_resources_remaining(const struct rj_resources *have,
					   const struct rj_resources *part);

#endif
