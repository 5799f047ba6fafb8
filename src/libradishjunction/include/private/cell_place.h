/*
 * Finds workers for tasks: what fits where, which fit is best, when room
 * will come free, and what would have to be stopped for it. Part of making a
 * plan; see cell_plan.h.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_PLACE_H
#define RADISHJUNCTION_PRIVATE_CELL_PLACE_H

#include "private/cell_plan.h"

/* Tasks of one step of one occurrence that wait for room. */
struct rj_cell_task_group {
	struct rj_cell_work *work;
	struct rj_cell_round *round;
	uint32_t step;
	uint32_t tier; /* lower tiers go first */
	uint32_t rank; /* within its priority; lower ones go first */
	bool expired; /* its caller has given up on it */
	bool overdue; /* goes first while its priority is below its share */
	uint64_t accepted_us;
	uint64_t waiting_since_us; /* since when */
	uint32_t waiting_tasks; /* tasks */
	uint32_t started_tasks; /* of these, by this plan */
	bool remote_allowed; /* may run away from its data */
	bool advised; /* an outside policy says which workers may run it */
	bool guaranteed; /* its account has a right to the room at once */
	bool may_use_exclusive; /* is urgent, or much is idle */
	bool may_use_reserved; /* may use what is kept for urgent work */
	const char *service; /* interned */
};

/* Room as it is now, as it is once what is stopping has gone, or as it is
 * once enough has ended by itself. */
enum rj_cell_horizon {
	RJ_CELL_HORIZON_NOW,
	RJ_CELL_HORIZON_STOPS,
	RJ_CELL_HORIZON_COMPLETIONS,
};

/* How a group is to be placed. */
struct rj_cell_placement_options {
	enum rj_cell_horizon horizon;
	const struct rj_cell_domain *domain; /* NULL: anywhere */
	const struct rj_cell_plan_rack *rack; /* NULL: anywhere */
	bool may_preempt; /* work of lower priority makes way, */
	uint64_t max_loss_milli; /* of which so much may be thrown away */
};

/*
 * A trial to place a group of tasks. It changes the plan's rooms, and unless
 * it is taken its end undoes that; one trial at a time.
 */
struct rj_cell_placement {
	struct rj_cell_plan *plan;
	GArray *changes; /* rooms as they were, in the order of changes */
	GPtrArray *workers; /* one for each task */
	GPtrArray *victims; /* struct rj_cell_run */
	uint64_t loss_milli; /* core-milliseconds that would be lost */
	uint64_t
		ready_us; /* RJ_CELL_HORIZON_COMPLETIONS: in so long all have room */
};

void rj_cell_placement_init(struct rj_cell_placement *placement,
			    struct rj_cell_plan *plan);
void rj_cell_placement_save_worker(struct rj_cell_placement *placement,
				   struct rj_cell_plan_worker *next_worker);
void rj_cell_placement_finish(struct rj_cell_placement *placement);
void rj_cell_placement_commit(struct rj_cell_placement *placement);
/* A walk over the rooms that a way allows, without racks that can't hold a
 * demand. */
struct rj_cell_worker_iterator {
	struct rj_cell_plan *plan;
	const struct rj_cell_placement_options *options;
	struct rj_cell_demand demand;
	guint next_range; /* the next one */
	guint range_end;
	struct rj_cell_plan_worker
		*next_worker; /* the next one, of those up to `end` */
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
			       const struct rj_cell_plan_worker *next_worker,
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
struct rj_cell_plan_worker *rj_cell_reclaim_find_worker(
	struct rj_cell_plan *plan, struct rj_cell_placement *placement,
	const struct rj_cell_task_group *group, struct rj_cell_task *task,
	const struct rj_cell_placement_options *options);
uint64_t rj_cell_reclaim_loss(const struct rj_cell_plan *plan,
			      const struct rj_cell_run *run);
uint64_t
rj_cell_reclaim_group_cost_milli(const struct rj_cell_plan *plan,
				 const struct rj_cell_task_group *group,
				 uint32_t count);

#endif
