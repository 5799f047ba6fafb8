/*
 * Specification of a submitted job: steps of identical tasks, the resources of
 * each task, and the terms of the queue that accepted it.
 *
 * A spec does not change after its job is accepted. It is a talloc tree,
 * created by an adapter or by `rj_cell_job_spec_decode`, and freed with its
 * parent.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_JOB_SPEC_H
#define RADISHJUNCTION_PRIVATE_CELL_JOB_SPEC_H

#include "radishjunction/error.h"
#include "radishjunction/types.h"

#define RJ_CELL_ID_BYTES 17 /* 16 hexadecimal digits and the terminating zero */
/* Limits of one job; a larger one is rejected as malformed. Jobs in use have up
 * to 94 tasks a step and 4 steps. */
#define RJ_CELL_STEPS_MAX 64
#define RJ_CELL_TASKS_MAX 8192
#define RJ_CELL_SPEC_MAX_BYTES 65536

/* Resources that one task takes on its worker. */
struct rj_cell_demand {
	uint32_t cpu_milli; /* thousandths of a core */
	uint32_t memory_mb;
	uint32_t accelerators;
};

struct rj_cell_step {
	uint32_t task_count;
	struct rj_cell_demand each;
	uint32_t estimate_ms; /* the caller's estimate of a task's run time */
	uint32_t *after; /* earlier steps that must complete first */
	uint32_t after_count;
	bool checkpoints; /* tasks save checkpoints */
	bool gang; /* all tasks run at the same time or none does */
	bool one_rack; /* runs slower when spread over several racks */
	bool speculative; /* a second copy of a task may run in parallel */
	bool perpetual; /* runs until cancelled; restarted whenever it ends */
	bool scavenges; /* uses only cores that other tasks leave idle */
	char label[RJ_NAME_BYTES]; /* required label of the worker, or "" */
	char rack[RJ_NAME_BYTES]; /* rack of its input data, or "" */
	/* Tasks of this step on one worker; 0: no limit. */
	uint32_t per_worker_max;
	uint32_t may_miss; /* perpetual: tasks that may be down at once */
	char image[RJ_NAME_BYTES]; /* image that the tasks run, or "" */
	uint32_t target_ms; /* perpetual: tail latency target; 0: none */
};

struct rj_cell_job_spec {
	char id[RJ_CELL_ID_BYTES];
	char queue[RJ_NAME_BYTES];
	char service[RJ_NAME_BYTES]; /* whose workers run it */
	char account[RJ_NAME_BYTES]; /* client account, or "" */
	char *spec; /* passed to the workers unchanged */
	uint32_t priority; /* 0 is the highest and may preempt others */
	uint32_t attempts_max; /* failed runs allowed per task */
	/* Objective, in thousandths of the critical path's duration. */
	uint32_t stretch_milli;
	uint32_t latency_ms; /* added to the objective */
	/* Unix time, by the clock of the accepting instance. */
	uint64_t accepted_ms;
	uint64_t first_run_ms; /* Unix time; 0: at once */
	uint64_t interval_ms;
	uint32_t repeats; /* occurrences; 0: runs once, at once */
	/* The queue had a policy when it accepted the job. */
	bool advised;
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
int rj_cell_job_spec_check(struct rj_cell_job_spec *job_spec,
			   struct rj_error *err);
struct rj_bytes
rj_cell_job_spec_encode(void *mem, const struct rj_cell_job_spec *job_spec);
struct rj_cell_job_spec *
rj_cell_job_spec_decode(void *mem, struct rj_bytes bytes, struct rj_error *err);
uint32_t rj_cell_job_spec_first_task(const struct rj_cell_job_spec *job_spec,
				     uint32_t step);

#endif
