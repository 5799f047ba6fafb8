/*
 * A submitted job as the cells work on it: steps of equal tasks, what each
 * task needs, and the terms of the queue that it came through.
 *
 * A definition never changes once it is accepted. It is a talloc tree, made
 * by an adapter or by `rj_cell_def_decode`, and freed with its parent.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_JOB_H
#define RADISHJUNCTION_PRIVATE_CELL_JOB_H

#include "radishjunction/error.h"
#include "radishjunction/types.h"

#define RJ_CELL_ID_BYTES 17 /* 16 hexadecimal digits and the zero */
/* Bounds of one job; a job beyond them is refused as malformed. The widest
 * job of the users has 94 tasks a step and up to 4 steps. */
#define RJ_CELL_STEPS_MAX 64
#define RJ_CELL_TASKS_MAX 8192
#define RJ_CELL_SPEC_MAX_BYTES 65536

/* What one task takes of its worker. */
struct rj_cell_demand {
	uint32_t cpu_milli; /* thousandths of a core */
	uint32_t memory_mb;
	uint32_t accelerators;
};

struct rj_cell_step {
	uint32_t task_count;
	struct rj_cell_demand each;
	uint32_t estimate_ms; /* the caller's guess of one task's run time */
	uint32_t *after; /* earlier steps that must have ended */
	uint32_t after_count;
	bool checkpoints; /* tasks save their progress */
	bool gang; /* tasks run only all together */
	bool one_rack; /* slower by a factor when on more than one rack */
	bool speculative; /* copies may run side by side */
	bool perpetual; /* runs until cancelled, restarted at each end */
	bool scavenges; /* its cores are what others leave unused */
	char label[RJ_NAME_BYTES]; /* that the worker must have, or "" */
	char rack[RJ_NAME_BYTES]; /* where its data is, or "" */
	uint32_t per_worker_max; /* tasks of the step on one worker; 0: any */
	uint32_t may_miss; /* perpetual: how many may be away at once */
	char image[RJ_NAME_BYTES]; /* what the tasks run, or "" */
	uint32_t target_ms; /* perpetual: bound of the tail; 0: none */
};

struct rj_cell_def {
	char id[RJ_CELL_ID_BYTES];
	char queue[RJ_NAME_BYTES];
	char service[RJ_NAME_BYTES]; /* whose workers run it */
	char account[RJ_NAME_BYTES]; /* client account, or "" */
	char *spec; /* handed to the workers as it came */
	uint32_t priority; /* 0 comes first and may stop others */
	uint32_t attempts_max; /* failed runs of one task */
	uint32_t stretch_milli; /* objective, in thousandths of the chain */
	uint32_t latency_ms; /* added to the objective */
	uint64_t accepted_ms; /* since 1970, by the clock of its entry */
	uint64_t first_run_ms; /* since 1970; 0: at once */
	uint64_t interval_ms;
	uint32_t repeats; /* occurrences; 0: runs once, at once */
	struct rj_cell_step *steps;
	uint32_t step_count;
	uint32_t task_count; /* of all steps */
};

bool rj_cell_demand_fits(const struct rj_cell_demand *want,
			 const struct rj_cell_demand *have);
void rj_cell_demand_subtract(struct rj_cell_demand *from,
			     const struct rj_cell_demand *part);
void rj_cell_demand_add(struct rj_cell_demand *to,
			const struct rj_cell_demand *part);
struct rj_cell_demand rj_cell_step_allocation(const struct rj_cell_step *step);
int rj_cell_def_check(struct rj_cell_def *def, struct rj_error *err);
struct rj_bytes rj_cell_def_encode(void *mem, const struct rj_cell_def *def);
struct rj_cell_def *rj_cell_def_decode(void *mem, struct rj_bytes bytes,
				       struct rj_error *err);
uint32_t rj_cell_def_first_task(const struct rj_cell_def *def, uint32_t step);

#endif
