/*
 * Decides which waiting tasks start on which workers, and which runs are
 * preempted for them.
 *
 * A plan is computed from the owner's jobs and fleet at a given time; it reads
 * no clock and sends nothing. Life cycle: `rj_cell_plan_init`, set the inputs,
 * `rj_cell_plan_make`, read starts and stops, `rj_cell_plan_finish`.
 *
 * A waiting group whose capacity is not free yet may get a promise: the plan
 * reserves capacity for it on the workers whose runs are expected to complete
 * first. What is free there is kept from tasks that could start now, unless they
 * are expected to end in time (see cell_backfill.h), and later promises come
 * after it.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_PLAN_H
#define RADISHJUNCTION_PRIVATE_CELL_PLAN_H

#include <glib.h>

#include "private/cell_account_shares.h"
#include "private/cell_failure.h"
#include "private/cell_features.h"
#include "private/cell_fleet.h"
#include "private/cell_forecast.h"
#include "private/cell_guarantee.h"

#define RJ_CELL_WHY_RECLAIMED "reclaimed"
#define RJ_CELL_WHY_RECALLED "recalled"

struct rj_cell_releases;

/* The capacity of one worker while a plan is made. */
struct rj_cell_plan_worker {
	struct rj_cell_worker *worker;
	uint32_t range; /* index in the plan's ranges */
	/* Closed to tasks that are not urgent and lose work if preempted; for
	 * exceptions see rj_cell_task_group_set_reserved. */
	bool reserved;
	bool exclusive; /* closed to all tasks that are not urgent; likewise */
	bool suspect; /* closed to all that have not waited; likewise */
	struct rj_cell_demand free_now; /* not allocated */
	/* Free once the runs that are being stopped have ended. */
	struct rj_cell_demand free_after_stops;
	/* Capacity that is not free yet and is promised to waiting groups. */
	struct rj_cell_demand promised;
	/* Free now, but kept for these groups, the first of which may start
	 * then; 0: nothing is kept. */
	struct rj_cell_demand held;
	uint64_t held_until_us;
	/* Held by runs of jobs that are too late to be of use; an upper
	 * bound. */
	uint32_t expired_accelerators;
	/* Runs on this worker of the step being placed, if the step limits
	 * them. */
	uint32_t step_runs;
	uint32_t latency_runs; /* runs with a latency target */
	uint32_t other_runs;
	/* By its history, see rj_cell_worker_rank; 0 unless the deployment
	 * calls for `worker_history`. */
	uint32_t rank; /* for single tasks */
	uint32_t gang_rank;
	bool risky; /* on probation, or likely to lose a gang's member */
};

/* Upper bounds of the free capacity of a range: the most on one worker, for
 * each resource by itself, and the accelerators of all its workers. */
struct rj_cell_free_bounds {
	struct rj_cell_demand max_per_worker;
	uint32_t total_accelerators;
};

/* The workers of one rack; they are adjacent in the plan's workers. */
struct rj_cell_plan_rack {
	const char *name;
	const struct rj_cell_domain *domain; /* of its first worker */
	bool mixed_domains; /* some workers are in other domains */
	uint32_t domain_rank; /* index among the racks of its domain */
	uint32_t first;
	uint32_t count;
	uint32_t range; /* index in the plan's ranges */
};

/* Consecutive workers from `first` on, with bounds of their free capacity. */
struct rj_cell_worker_range {
	const struct rj_cell_domain *domain; /* NULL: several */
	uint32_t first;
	uint32_t count;
	struct rj_cell_free_bounds free_now;
	struct rj_cell_free_bounds free_after_stops;
};

/* One resource of all workers. */
struct rj_cell_utilization {
	uint64_t used;
	uint64_t total;
};

/* Sums over all workers of the plan. */
struct rj_cell_usage {
	struct rj_cell_utilization cpu;
	struct rj_cell_utilization memory;
	struct rj_cell_utilization accelerators;
};

/* A task to be started on a worker. */
struct rj_cell_planned_start {
	struct rj_cell_task *task;
	struct rj_cell_worker *worker;
	bool backfills; /* capacity that is promised to others */
};

struct rj_cell_plan {
	/* inputs */
	struct rj_cell_fleet *fleet;
	struct rj_list *jobs; /* struct rj_cell_job */
	const struct rj_cell_config *config;
	const struct rj_cell_forecast *forecast;
	struct rj_cell_failure_burst failures;
	uint32_t stop_ms; /* a run ends within this after its stop */
	struct rj_cell_features features;
	struct rj_cell_guarantees *guarantees; /* updated by the plan */
	/* Updated by the plan; NULL: it ignores the shares of accounts. */
	struct rj_cell_account_shares *account_shares;
	uint64_t now_us;
	/* The plan starts no further tasks once it has started this many; 0: no
	 * limit. */
	uint32_t starts_max;
	/* outputs; `reason` is set in the runs to be stopped */
	/* `starts_max` has left tasks to the next plan. */
	bool truncated;
	GArray *starts; /* struct rj_cell_planned_start */
	GPtrArray *stops; /* struct rj_cell_run */
	uint32_t waiting_tasks; /* ready tasks that were not placed */
	/* Earliest end of a task's retry delay; RJ_NEVER_US: none. */
	uint64_t next_retry_us;
	/* working state */
	struct rj_cell_plan_worker *workers;
	struct rj_cell_releases *releases; /* of each worker, on demand */
	uint32_t worker_count;
	uint32_t risky_workers;
	/* A group has waited, so that suspect workers are among `workers`. */
	bool has_suspects;
	GArray *racks; /* struct rj_cell_plan_rack, domains interleaved */
	GArray *ranges; /* struct rj_cell_worker_range, in worker order */
	struct rj_cell_usage usage; /* includes the starts of this plan */
	/* Of each priority class on the plan's workers, with the starts of this
	 * plan and without runs that are being stopped. */
	struct rj_cell_allocation allocated[RJ_CELL_PRIORITY_CLASSES];
	/* A task that is not urgent has waited for capacity and can no longer
	 * meet its objective, though any worker may run it. */
	bool misses_objective;
	/* One of them is too late to be of use unless it starts soon. */
	bool starves;
	GArray *task_groups; /* struct rj_cell_task_group */
	uint32_t promise_count; /* promises to gangs that are not urgent */
	uint32_t urgent_promise_count; /* promises to urgent groups */
	GArray *shortages; /* struct rj_cell_shortage */
	uint32_t failed_searches; /* for runs to preempt */
	/* The promise that is furthest off, from now. */
	uint64_t held_longest_us;
	uint32_t failed_backfills;
	/* Runs of jobs that are too late to be of use and may be stopped for
	 * others. */
	uint32_t expired_runs;
	uint64_t effort; /* unit: the evaluation of one worker */
};

void rj_cell_plan_init(struct rj_cell_plan *plan);
void rj_cell_plan_make(struct rj_cell_plan *plan);
void rj_cell_plan_gather_workers(struct rj_cell_plan *plan);
uint32_t rj_cell_plan_worker_rank(const struct rj_cell_plan_worker *plan_worker,
				  const struct rj_cell_step *step);
void rj_cell_plan_raise_bounds(struct rj_cell_plan *plan,
			       const struct rj_cell_plan_worker *plan_worker);
void rj_cell_plan_add_allocation(struct rj_cell_plan *plan,
				 const struct rj_cell_job *job,
				 const struct rj_cell_demand *demand);
void rj_cell_plan_restore_run(struct rj_cell_plan *plan,
			      const struct rj_cell_run *run);
void rj_cell_plan_release_run(struct rj_cell_plan *plan,
			      const struct rj_cell_run *run);
void rj_cell_plan_stop_run(struct rj_cell_plan *plan, struct rj_cell_run *run,
			   const char *reason, const struct rj_cell_job *job);
void rj_cell_usage_add(struct rj_cell_usage *usage,
		       const struct rj_cell_demand *allocated);
uint32_t rj_cell_usage_percent(const struct rj_cell_usage *usage);
void rj_cell_plan_finish(struct rj_cell_plan *plan);

#endif
