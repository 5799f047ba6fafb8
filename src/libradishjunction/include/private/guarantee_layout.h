/*
 * Layout of guaranteed shapes on the configured workers of a failure domain.
 *
 * The configuration check and the planner compute the layout by the same
 * steps, so that every accepted guarantee can be honoured: sort the shapes
 * with `rj_layout_compare`, then call `rj_layout_place` for each.
 *
 * Life cycle: `rj_layout_init` on the caller's memory, any number of
 * `rj_layout_place`, `rj_layout_finish`. The domain must outlive the layout.
 */
#ifndef RADISHJUNCTION_PRIVATE_GUARANTEE_LAYOUT_H
#define RADISHJUNCTION_PRIVATE_GUARANTEE_LAYOUT_H

#include "radishjunction/config.h"

/* Tasks of a shape on one worker, identified by position, not by name. */
struct rj_layout_part {
	uint32_t rack;
	uint32_t position; /* in the rack */
	uint32_t tasks;
};

struct rj_layout {
	const struct rj_domain *domain;
	struct rj_resources *free; /* by worker: racks x workers_per_rack */
};

/* Placement of one shape; zeroed memory is an empty list. */
struct rj_layout_parts {
	struct rj_layout_part *list; /* talloc child of `mem` */
	uint32_t count;
	void *mem;
};

void rj_layout_init(struct rj_layout *layout, void *mem,
		    const struct rj_domain *domain);
void rj_layout_finish(struct rj_layout *layout);
int rj_layout_compare(const struct rj_shape *one, const struct rj_shape *two);
uint32_t rj_layout_place(struct rj_layout *layout, const struct rj_shape *shape,
			 struct rj_layout_parts *parts);

#endif
