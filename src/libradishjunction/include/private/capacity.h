/*
 * The workers known to a planner, by rack, with their free capacity.
 *
 * Life cycle: `rj_capacity_init`, `rj_capacity_set` and `rj_capacity_remove` as
 * workers are added and removed, `rj_capacity_allocate` and
 * `rj_capacity_release` as tasks start and end, `rj_capacity_finish`. Racks are
 * sorted by number and the workers of a rack by name, then id, so that
 * iteration order is deterministic. A worker that is removed while it runs
 * tasks of the planner is kept as unusable until the last of them ends.
 */
#ifndef RADISHJUNCTION_PRIVATE_CAPACITY_H
#define RADISHJUNCTION_PRIVATE_CAPACITY_H

#include <glib.h>

#include "radishjunction/planner.h"

struct rj_capacity_worker {
	struct rj_plan_worker plan;
	struct rj_resources allocated; /* to tasks of this planner */
	struct rj_resources free; /* zero while not usable */
	uint32_t tasks;
	uint32_t position; /* in its rack; by name if workers have names */
	bool removed;
	struct rj_ledger *ledger; /* NULL if the planner keeps none */
};

struct rj_capacity_rack {
	uint32_t number;
	struct rj_capacity_worker **workers;
	uint32_t count;
};

struct rj_capacity {
	struct rj_capacity_rack **racks;
	uint32_t rack_count;
	GHashTable *by_id;
	uint32_t worker_count;
	void *mem;
};

void rj_capacity_init(struct rj_capacity *capacity, void *mem);
void rj_capacity_finish(struct rj_capacity *capacity);
struct rj_capacity_worker *rj_capacity_find(const struct rj_capacity *capacity,
					    uint32_t id);
const struct rj_capacity_rack *
rj_capacity_rack_find(const struct rj_capacity *capacity, uint32_t number);
struct rj_capacity_worker *rj_capacity_set(struct rj_capacity *capacity,
					   const struct rj_plan_worker *worker);
void rj_capacity_remove(struct rj_capacity *capacity, uint32_t id);
void rj_capacity_allocate(struct rj_capacity *capacity,
			  const struct rj_resources *each,
			  const struct rj_plan_member *members, uint32_t count);
void rj_capacity_release(struct rj_capacity *capacity,
			 const struct rj_resources *each,
			 const struct rj_plan_member *members, uint32_t count);
void rj_resources_clamp(struct rj_resources *have,
			const struct rj_resources *limit);
void rj_resources_subtract_saturating(struct rj_resources *have,
				      const struct rj_resources *part);
bool rj_shape_equal(const struct rj_shape *one, const struct rj_shape *two);
uint32_t rj_resources_fit_count(const struct rj_resources *each,
				const struct rj_resources *have, uint32_t most);
bool rj_capacity_could_fit(const struct rj_capacity *capacity,
			   const struct rj_domain *domain,
			   const struct rj_shape *shape);
void rj_capacity_view(const struct rj_capacity *capacity,
		      const struct rj_shape *largest,
		      struct rj_plan_view *view);

#endif
