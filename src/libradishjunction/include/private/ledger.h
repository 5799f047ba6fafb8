/*
 * Who holds what on one worker: guarantees, tasks that can be stopped,
 * tasks that cannot, and what is kept free for a job.
 *
 * The rule that keeps guarantees reclaimable: on each worker, the sum over
 * the client accounts of the larger of (its guarantee here, its tasks here
 * that cannot be stopped) never exceeds the worker. Stopping all that can be
 * stopped then frees every guarantee at once.
 *
 * Life cycle: `rj_ledger_get` makes it with its worker, which owns it.
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
	struct rj_resources
		non_preemptible; /* by tasks that cannot be stopped */
	struct rj_resources used; /* by all of its tasks */
	struct rj_resources evicted; /* scratch of a search for victims */
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
	struct rj_resources committed; /* the sum of the rule above */
	uint32_t
		gang_blocking; /* accelerators whose tasks make way for no gang */
	uint64_t skip_until_us; /* did not give back what was reclaimed */
	uint32_t set_index; /* scratch: place in the site searched last */
	uint64_t set_stamp; /* scratch: which search that was */
};

/* Capacity that is kept for a waiting job. */
struct rj_reservation {
	struct rj_plan_entry *entry;
	struct rj_plan_member *members;
	uint32_t member_count;
	uint64_t due_us; /* expected to be free; if firm, given up then */
	uint64_t
		backoff_until_us; /* if firm, its job backs off until then; or 0 */
	uint64_t refresh_us; /* when a loose one is worked out again */
	bool firm; /* nothing else may start here */
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
