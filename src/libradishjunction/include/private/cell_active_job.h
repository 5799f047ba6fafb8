/*
 * The work of a cell as its owner knows it: jobs, their occurrences, tasks,
 * and the runs of tasks on workers.
 *
 * A job's work is a talloc tree below its own context. Whoever frees a run
 * takes it out of its worker's and its task's list first, with
 * `rj_cell_run_free`. The owner alone writes any of this.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_WORK_H
#define RADISHJUNCTION_PRIVATE_CELL_WORK_H

#include <glib.h>

#include "private/cell_job_spec.h"
#include "private/list.h"

/* Long enough for what workers name a saved state, with the zero. */
#define RJ_CELL_CHECKPOINT_NAME_BYTES 40

enum rj_cell_job_state {
	RJ_CELL_JOB_QUEUED, /* accepted, nothing has started */
	RJ_CELL_JOB_RUNNING,
	RJ_CELL_JOB_COMPLETED,
	RJ_CELL_JOB_FAILED,
	RJ_CELL_JOB_CANCELLED,
	RJ_CELL_JOB_STATE_COUNT
};

extern const char *const rj_cell_job_state_string[RJ_CELL_JOB_STATE_COUNT];

enum rj_cell_run_state {
	RJ_CELL_RUN_INTENDED, /* its record is not stored yet */
	RJ_CELL_RUN_STARTING, /* the order is on its way */
	RJ_CELL_RUN_PLACED, /* the worker has taken the order */
	RJ_CELL_RUN_LISTED, /* the worker has listed it */
	RJ_CELL_RUN_STOPPING, /* to be stopped; its room is still taken */
	RJ_CELL_RUN_STATE_COUNT
};

/* Up to so many times its objective a job is late; after that its caller has
 * no use for it. */
#define RJ_CELL_LATE_FACTOR 3

extern const char *const rj_cell_run_state_string[RJ_CELL_RUN_STATE_COUNT];

/* Priorities are counted apart up to this; the rest together. */
#define RJ_CELL_PRIORITY_CLASSES 3

struct rj_cell_worker;
struct rj_cell_task;

/* One start of one task on one worker. */
struct rj_cell_run {
	struct rj_list in_worker;
	struct rj_list in_task;
	struct rj_cell_worker *worker;
	struct rj_cell_task *task; /* NULL: of a job that is not known */
	char *name; /* as the worker lists it */
	uint32_t number; /* rises with each start of the task */
	enum rj_cell_run_state state;
	struct rj_cell_demand allocated;
	bool adopted; /* begun by a former owner, nobody here knows when */
	bool recording; /* its record is on its way into the log */
	/* When the last order was answered for good: a list that was asked for
	 * later tells whether the run is there. 0: not yet. */
	uint64_t settled_us;
	bool start_in_flight; /* a call to start it is on its way */
	bool stop_in_flight;
	uint32_t order_tries;
	uint64_t
		order_due_us; /* when to send the next; rj_cell_run_schedule_order */
	uint64_t placed_us; /* when it was placed */
	uint32_t percent;
	uint64_t listed_us; /* when the worker said so */
	uint64_t progress_us; /* when the percentage last rose */
	uint64_t slow_us; /* since when it has been over its bound, or 0 */
	char checkpoint
		[RJ_CELL_CHECKPOINT_NAME_BYTES]; /* it started from this */
	char saved[RJ_CELL_CHECKPOINT_NAME_BYTES]; /* what it has saved since */
	uint64_t
		ended_by_us; /* its gang has ended, and by then so has it; 0: no */
	bool victim; /* in the trial that is being made, it would be stopped */
	const char *why; /* it is being stopped, for the log */
	char *ticket; /* of an outside policy, or NULL */
};

/* One task of one occurrence. */
struct rj_cell_task {
	struct rj_cell_occurrence *occurrence;
	uint32_t step;
	uint32_t index; /* within the step */
	bool done;
	uint32_t run; /* the highest run number that was used */
	uint32_t failures; /* runs that ended failed; a gang's: of its head */
	uint32_t unreported; /* runs of a gang whose ends nobody has listed */
	uint32_t unreported_run; /* the last of them */
	uint64_t unreported_until_us; /* then they count no more */
	uint32_t failed_run; /* the last of them */
	uint32_t losses; /* runs that ended for other causes */
	char checkpoint[RJ_CELL_CHECKPOINT_NAME_BYTES];
	struct rj_list runs;
	uint64_t waiting_us; /* since when it waits, once its turn has come */
	uint64_t not_before_us;
	bool planned; /* the plan that is being made starts it */
	uint64_t preemption_due_us; /* of work to stop for it; of its gang */
	char avoid[RJ_NAME_BYTES]; /* the worker of its last failure, */
	uint64_t avoid_until_us; /* for a while */
};

struct rj_cell_occurrence {
	struct rj_list link; /* in the job */
	struct rj_cell_job *job;
	uint32_t number; /* the occurrence, from 0 */
	struct rj_cell_task *tasks; /* of all steps, in their order */
	uint32_t *left; /* of each step: tasks that are not done */
	uint32_t steps_left;
	/* Of each step, what an outside policy has said of workers; NULL where
	 * it was not asked. See cell_advice.h. */
	GHashTable **policy_decisions;
	bool closed; /* all its tasks are done; runs may still be listed */
};

/* One job that has not ended. */
struct rj_cell_job {
	struct rj_list link; /* in the owner's list */
	const struct rj_cell_job_spec *job_spec; /* owned by the job's entry */
	enum rj_cell_job_state state;
	bool cancelled; /* asked for; its runs are being stopped */
	bool dirty; /* has changes that are not stored */
	struct rj_list in_dirty; /* in the owner's list of these */
	bool started; /* some task has begun */
	bool guaranteed; /* its account has a right to the room, as planned */
	uint32_t occurrences_begun;
	uint32_t occurrences_done;
	struct rj_list occurrences; /* begun and not done */
	uint64_t accepted_us; /* by this node's clock, about */
	uint64_t objective_us; /* when it should have ended */
	uint64_t late_us; /* when it is of no use any more */
	/* What its end is explained by. */
	uint64_t
		first_start_us; /* its first start; 0: not yet, or by a former owner */
	uint32_t runs_lost; /* that ended otherwise than done */
	bool split; /* a gang that had better be in one rack was not */
	void *entry; /* of the view */
};

struct rj_cell_job *rj_cell_job_new(void *mem,
				    const struct rj_cell_job_spec *job_spec);
struct rj_cell_occurrence *rj_cell_job_begin_occurrence(struct rj_cell_job *job,
							uint32_t number);
uint32_t rj_cell_job_priority_class(const struct rj_cell_job *job);
uint64_t
rj_cell_occurrence_due_after_us(const struct rj_cell_occurrence *occurrence);
bool rj_cell_occurrence_step_ready(const struct rj_cell_occurrence *occurrence,
				   uint32_t step);
void rj_cell_task_complete(struct rj_cell_task *task);
struct rj_cell_task *rj_cell_task_head(struct rj_cell_task *task);
const struct rj_cell_step *rj_cell_task_step(const struct rj_cell_task *task);
void rj_cell_task_name(const struct rj_cell_task *task, char *name,
		       size_t size);
struct rj_cell_task *rj_cell_job_find_task(struct rj_cell_job *job,
					   uint32_t occurrence, uint32_t step,
					   uint32_t index);
struct rj_cell_run *rj_cell_run_new(struct rj_cell_worker *worker,
				    struct rj_cell_task *task, uint32_t number);
bool rj_cell_run_has_latency_target(const struct rj_cell_run *run);
void rj_cell_run_schedule_order(struct rj_cell_run *run, uint64_t due_us);
void rj_cell_run_allocate(struct rj_cell_run *run);
void rj_cell_run_free(struct rj_cell_run *run);
void rj_cell_job_each_run(const struct rj_cell_job *job,
			  void (*call)(struct rj_cell_run *run,
				       void *private_data),
			  void *private_data);
bool rj_cell_job_is_idle(const struct rj_cell_job *job);

#endif
