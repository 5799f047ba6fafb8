/*
 * Summary of a plan for metrics and the log: tasks left waiting and capacity
 * left idle. It tells a full site from one whose free capacity is reserved
 * against the waiting tasks.
 *
 * Life cycle: `rj_cell_backlog_sum` on a plan that has been made and not
 * finished; the result keeps no pointers into the plan.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_BACKLOG_H
#define RADISHJUNCTION_PRIVATE_CELL_BACKLOG_H

#include "private/cell_plan.h"

/* Figures of one priority. Its tasks are ready and not started. */
struct rj_cell_backlog_class {
	uint32_t tasks;
	uint32_t late_tasks; /* tasks of jobs that are too late to be of use */
	uint64_t longest_wait_us; /* of a ready task */
	uint64_t allocated; /* accelerators allocated to its tasks */
};

struct rj_cell_backlog {
	struct rj_cell_backlog_class classes[RJ_CELL_PRIORITY_CLASSES];
	struct rj_cell_usage usage; /* of the usable workers */
	uint32_t workers; /* usable ones */
	/* Accelerators of racks reserved for urgent jobs, those of them that
	 * no other job may use, and the free ones of both. */
	uint32_t reserved;
	uint32_t exclusive;
	uint32_t reserved_free;
	/* Accelerators promised to waiting groups; some may be in use. */
	uint32_t promised;
	uint32_t urgent_demand; /* accelerators, recent average */
};

void rj_cell_backlog_sum(const struct rj_cell_plan *plan,
			 struct rj_cell_backlog *backlog);
void rj_cell_backlog_log(const struct rj_cell_backlog *backlog);

#endif
