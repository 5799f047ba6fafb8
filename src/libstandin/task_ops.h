/*
 * Functions of the lease and task table (tasks.c) for the worker operations.
 */
#ifndef RADISHJUNCTION_STANDIN_TASK_OPS_H
#define RADISHJUNCTION_STANDIN_TASK_OPS_H

#include "tasks.h"

struct rj_task *rj_task_new(struct rj_tasks *tasks,
			    const struct rj_worker_call *call);
void rj_task_reserve(struct rj_tasks *tasks, struct rj_task *task,
		     const struct rj_worker_call *call, uint64_t now_us);
void rj_task_start(struct rj_tasks *tasks, struct rj_task *task,
		   const struct rj_worker_call *call, uint64_t now_us);
void rj_task_end(struct rj_tasks *tasks, struct rj_task *task,
		 enum rj_task_state state, uint64_t now_us);
void rj_task_remove(struct rj_tasks *tasks, struct rj_task *task);
void rj_task_count_progress(struct rj_task *task, uint64_t now_us);

#endif
