/*
 * Where guaranteed shapes lie on the workers that a failure domain is
 * configured to have.
 *
 * The check of a configuration and the planner lay out by the same steps, so
 * that what was accepted can be kept: sort the shapes by
 * `rj_layout_compare`, then `rj_layout_place` each.
 *
 * Life cycle: `rj_layout_init` on the caller's memory, any number of
 * `rj_layout_place`, `rj_layout_finish`. The domain must outlive it.
 */
#ifndef RADISHJUNCTION_PRIVATE_GUARANTEE_LAYOUT_H
#define RADISHJUNCTION_PRIVATE_GUARANTEE_LAYOUT_H

#include "radishjunction/config.h"

/* Some tasks of a shape on one worker, by its place and not by its name. */
struct rj_layout_part {
	uint32_t rack;
	uint32_t position; /* in the rack */
	uint32_t tasks;
};

struct rj_layout {
	const struct rj_domain *domain;
	struct rj_resources *free; /* racks x workers_per_rack */
};

/* Where a shape was put; zeroed memory is an empty one. */
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
