/*
 * Selects workers for tasks: which workers are eligible and have capacity,
 * which of them is best, when capacity comes free, and which runs would be
 * preempted for it. Part of making a plan; see cell_plan.h.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_PLACE_H
#define RADISHJUNCTION_PRIVATE_CELL_PLACE_H

#include "private/cell_plan.h"

/* Tasks of one step of one occurrence that wait for capacity. */
struct rj_cell_task_group {
	struct rj_cell_job *job;
	struct rj_cell_occurrence *occurrence;
	uint32_t step;
	/* 0: guaranteed, 1: normal, 2: expired; lower tiers go first. */
	uint32_t tier;
	uint32_t rank; /* within its priority; lower ranks go first */
	/* By how much its account exceeds its share, in thousandths of it; 0:
	 * it does not, or no account within its share waits. */
	uint32_t share_excess_milli;
	bool expired; /* too late to be of use to its client */
	bool overdue; /* goes first while its priority is below its share */
	uint64_t accepted_us;
	uint64_t waiting_since_us; /* of the longest waiting task */
	uint32_t waiting_tasks;
	uint32_t started_tasks; /* by this plan */
	bool remote_allowed; /* may run on other racks than its data */
	bool advised; /* the policy service decides on workers */
	bool guaranteed; /* its account is guaranteed the capacity */
	bool bound_near; /* and it has to get it now to begin in time */
	bool may_use_exclusive; /* see rj_cell_plan_worker */
	bool may_use_reserved;
	bool may_use_suspect;
	const char *service; /* interned */
};

/* Availability horizon: capacity that is free now, once the runs that are being
 * stopped have ended, or once enough runs have completed. */
enum rj_cell_horizon {
	RJ_CELL_HORIZON_NOW,
	RJ_CELL_HORIZON_STOPS,
	RJ_CELL_HORIZON_COMPLETIONS,
};

/* Constraints and permissions for the placement of a group. */
struct rj_cell_placement_options {
	enum rj_cell_horizon horizon;
	const struct rj_cell_domain *domain; /* NULL: anywhere */
	const struct rj_cell_plan_rack *rack; /* NULL: anywhere */
	bool avoid_slow; /* not on workers known to be slow */
	bool avoid_risky; /* not on workers that are likely to lose it */
	bool may_preempt;
	uint64_t max_loss_milli; /* core-milliseconds, by preemption */
	/* Also on capacity that is promised for later than this; 0: no. */
	uint64_t backfill_us;
};

/*
 * A tentative placement of a group of tasks. It changes the plan's workers;
 * rj_cell_placement_finish restores them unless the placement was committed.
 * Only one placement may exist at a time.
 */
struct rj_cell_placement {
	struct rj_cell_plan *plan;
	GArray *changes; /* struct rj_cell_plan_worker before each change */
	GPtrArray *workers; /* one for each task */
	GPtrArray *victims; /* struct rj_cell_run */
	const struct rj_cell_job *preempting_job; /* NULL: no victims */
	uint64_t loss_milli; /* core-milliseconds discarded by preemption */
	/* Delay until all tasks fit, in microseconds; 0 unless the horizon is
	 * RJ_CELL_HORIZON_COMPLETIONS. */
	uint64_t ready_us;
};

void rj_cell_placement_init(struct rj_cell_placement *placement,
			    struct rj_cell_plan *plan);
void rj_cell_placement_save_worker(struct rj_cell_placement *placement,
				   struct rj_cell_plan_worker *plan_worker);
void rj_cell_placement_finish(struct rj_cell_placement *placement);
void rj_cell_placement_commit(struct rj_cell_placement *placement);

/* Iterates over the workers that placement options allow, skipping racks that
 * can't hold a demand. */
struct rj_cell_worker_iterator {
	struct rj_cell_plan *plan;
	const struct rj_cell_placement_options *options;
	struct rj_cell_demand demand;
	guint next_range;
	guint range_end;
	struct rj_cell_plan_worker *next_worker; /* up to worker_end */
	struct rj_cell_plan_worker *worker_end;
};

void rj_cell_worker_iterator_init(
	struct rj_cell_worker_iterator *iterator, struct rj_cell_plan *plan,
	const struct rj_cell_placement_options *options,
	const struct rj_cell_demand *demand);
struct rj_cell_plan_worker *
rj_cell_worker_iterator_next(struct rj_cell_worker_iterator *iterator);
bool rj_cell_place_may_fit(const struct rj_cell_plan *plan,
			   const struct rj_cell_placement_options *options,
			   const struct rj_cell_demand *demand, uint32_t count);
uint32_t rj_cell_place_uniform(struct rj_cell_plan *plan,
			       struct rj_cell_placement *placement,
			       const struct rj_cell_task_group *group,
			       struct rj_cell_task **tasks, uint32_t count,
			       const struct rj_cell_placement_options *options);
void rj_cell_place_count_step_runs(struct rj_cell_plan *plan,
				   const struct rj_cell_task_group *group);
bool rj_cell_place_is_uniform(const struct rj_cell_plan *plan,
			      struct rj_cell_task *task);
bool rj_cell_place_is_eligible(const struct rj_cell_plan *plan,
			       const struct rj_cell_plan_worker *plan_worker,
			       const struct rj_cell_task_group *group,
			       struct rj_cell_task *task,
			       const struct rj_cell_placement_options *options);
bool rj_cell_place_needs_healthy(const struct rj_cell_plan *plan,
				 struct rj_cell_task *task);
bool rj_cell_place_group(struct rj_cell_plan *plan,
			 struct rj_cell_placement *placement,
			 const struct rj_cell_task_group *group,
			 struct rj_cell_task **tasks, uint32_t count,
			 const struct rj_cell_placement_options *options);

/* Defined in cell_reclaim.c. */
struct rj_cell_plan_worker *rj_cell_reclaim_find_worker(
	struct rj_cell_plan *plan, struct rj_cell_placement *placement,
	const struct rj_cell_task_group *group, struct rj_cell_task *task,
	const struct rj_cell_placement_options *options);
void rj_cell_reclaim_sum_expired(struct rj_cell_plan *plan);
uint64_t rj_cell_reclaim_loss(const struct rj_cell_plan *plan,
			      const struct rj_cell_run *run);
uint64_t rj_cell_reclaim_order(const struct rj_cell_run *run,
			       uint64_t loss_milli);
uint64_t
rj_cell_reclaim_group_cost_milli(const struct rj_cell_plan *plan,
				 const struct rj_cell_task_group *group,
				 uint32_t count);

#endif
