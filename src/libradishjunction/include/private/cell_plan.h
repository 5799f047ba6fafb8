/*
 * Decides which waiting tasks start where, and what is stopped for them.
 *
 * A plan is made from the owner's work and fleet and a time; it reads no
 * clock and sends nothing. Life cycle: `rj_cell_plan_init`, set the inputs,
 * `rj_cell_plan_make`, read starts and stops, `rj_cell_plan_finish`.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_PLAN_H
#define RADISHJUNCTION_PRIVATE_CELL_PLAN_H

#include <glib.h>

#include "private/cell_failure.h"
#include "private/cell_fleet.h"
#include "private/cell_forecast.h"

#define RJ_CELL_WHY_RECLAIMED "reclaimed"

struct rj_cell_releases;

/* A worker's room while a plan is made. */
struct rj_cell_plan_worker {
	struct rj_cell_worker *worker;
	uint32_t range; /* its place among the plan's ranges */
	bool reserved; /* for urgent work; others only if they can be stopped */
	bool exclusive; /* for urgent work alone */
	struct rj_cell_demand free_now; /* free */
	struct rj_cell_demand
		free_after_stops; /* free once what is stopping has gone */
	struct rj_cell_demand promised; /* of what will come free later */
	/* Runs there of the step that is being placed, if that has a limit. */
	uint32_t step_runs;
	uint32_t serving_runs; /* runs there, as the worker counts them */
	uint32_t other_runs;
};

/* At most so much is free in a rack: the most on one worker, of each kind of
 * room apart, and the accelerators of all workers together. */
struct rj_cell_free_bounds {
	struct rj_cell_demand max_per_worker;
	uint32_t accelerators;
};

/* The rooms of one rack, which stand side by side. */
struct rj_cell_plan_rack {
	const char *name;
	const struct rj_cell_domain *domain; /* of its first worker */
	bool mixed_domains; /* some of its workers are in other domains */
	uint32_t domain_rank; /* among the racks of its domain */
	uint32_t first;
	uint32_t count;
	uint32_t range; /* its place among the plan's ranges */
};

/* The rooms from `first` on, with bounds on what is free there. */
struct rj_cell_worker_range {
	const struct rj_cell_domain *domain; /* NULL: of several */
	uint32_t first;
	uint32_t count;
	struct rj_cell_free_bounds free_now;
	struct rj_cell_free_bounds free_after_stops;
};

/* What is in use, and what there is, of one kind of room. */
struct rj_cell_utilization {
	uint64_t used;
	uint64_t total;
};

/* What the runs of one priority hold. */
struct rj_cell_allocation {
	uint64_t cpu_milli;
	uint64_t memory_mb;
	uint64_t accelerators;
};

/* The sums over all rooms. */
struct rj_cell_usage {
	struct rj_cell_utilization cpu;
	struct rj_cell_utilization memory;
	struct rj_cell_utilization accelerators;
};

/* One task is to start on one worker. */
struct rj_cell_planned_start {
	struct rj_cell_task *task;
	struct rj_cell_worker *worker;
};

struct rj_cell_plan {
	/* inputs */
	struct rj_cell_fleet *fleet;
	struct rj_list *works; /* struct rj_cell_work */
	const struct rj_cell_config *config;
	const struct rj_cell_forecast *forecast;
	struct rj_cell_failure_burst failures;
	uint32_t reclaim_ms; /* guaranteed work begins so soon */
	uint64_t now_us;
	/* outputs; the runs to be stopped have their reason set */
	GArray *starts; /* struct rj_cell_planned_start */
	GPtrArray *stops; /* struct rj_cell_run */
	uint32_t
		waiting_tasks; /* tasks whose turn has come and that found no room */
	uint64_t next_retry_us; /* when the first pause of a task ends */
	/* while it is made */
	struct rj_cell_plan_worker *workers;
	struct rj_cell_releases *releases; /* of each room, once asked for */
	uint32_t worker_count;
	GArray *racks; /* struct rj_cell_plan_rack, domains take turns */
	GArray *ranges; /* struct rj_cell_worker_range: each rack, in room order */
	struct rj_cell_usage usage; /* with what this plan starts */
	/* By each priority on the plan's rooms, with what this plan starts and
	 * without what is stopping. */
	struct rj_cell_allocation allocated[RJ_CELL_PRIORITIES];
	/* Some work that is not urgent, that any worker may run and that has
	 * waited for room cannot meet its objective any more. */
	bool misses_objective;
	GArray *task_groups;
	uint32_t promise_count; /* groups of others that have room promised */
	uint32_t urgent_promise_count; /* urgent groups that have */
	GHashTable
		*urgent_needs; /* account -> accelerators of its urgent jobs */
	GArray *shortages; /* struct rj_cell_shortage, found by this plan */
	uint32_t
		failed_searches; /* searches for work to stop that found too little */
	uint64_t effort; /* workers weighed, some of them many times */
};

void rj_cell_plan_init(struct rj_cell_plan *plan);
void rj_cell_plan_make(struct rj_cell_plan *plan);
void rj_cell_plan_gather_workers(struct rj_cell_plan *plan);
void rj_cell_plan_raise_bounds(struct rj_cell_plan *plan,
			       const struct rj_cell_plan_worker *plan_worker);
void rj_cell_plan_add_allocation(struct rj_cell_plan *plan,
				 const struct rj_cell_work *work,
				 const struct rj_cell_demand *demand);
void rj_cell_plan_restore_run(struct rj_cell_plan *plan,
			      const struct rj_cell_run *run);
void rj_cell_plan_release_run(struct rj_cell_plan *plan,
			      const struct rj_cell_run *run);
void rj_cell_usage_add(struct rj_cell_usage *usage,
		       const struct rj_cell_demand *used);
uint32_t rj_cell_usage_percent(const struct rj_cell_usage *usage);
void rj_cell_plan_finish(struct rj_cell_plan *plan);

#endif
