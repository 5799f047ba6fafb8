/*
 * What a plan leaves waiting, and what it leaves idle: the figures that tell
 * a full site from one whose free room is closed to those who wait.
 *
 * Life cycle: `rj_cell_backlog_sum` on a plan that has been made and not
 * finished; the result borrows nothing from it.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_BACKLOG_H
#define RADISHJUNCTION_PRIVATE_CELL_BACKLOG_H

#include "private/cell_plan.h"

/* One priority; the tasks are those whose turn has come and that have not
 * started. */
struct rj_cell_backlog_class {
	uint32_t tasks;
	uint32_t late_tasks; /* of jobs whose callers have given up on them */
	uint64_t longest_wait_us; /* the longest wait */
	uint64_t allocated; /* accelerators that tasks of this priority use */
};

struct rj_cell_backlog {
	struct rj_cell_backlog_class classes[RJ_CELL_PRIORITIES];
	struct rj_cell_usage usage; /* of workers that may get work */
	uint32_t workers; /* of these */
	/* Accelerators of racks that are reserved for urgent work, and of
	 * those among them that are closed to all others. */
	uint32_t reserved;
	uint32_t exclusive;
	uint32_t reserved_free; /* of these, in no use */
	uint32_t promised; /* to gangs that wait; some of it is still in use */
	uint32_t urgent_demand; /* in use by urgent work on average, of late */
};

void rj_cell_backlog_sum(const struct rj_cell_plan *plan,
			 struct rj_cell_backlog *backlog);
void rj_cell_backlog_log(const struct rj_cell_backlog *backlog);

#endif
