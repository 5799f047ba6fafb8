/*
 * Active jobs of a cell as its owner keeps them: jobs, their occurrences and
 * tasks, and the runs of tasks on workers.
 *
 * Occurrences and tasks are talloc children of their job. Runs are freed with
 * `rj_cell_run_free`, which unlinks them from the worker and the task. Only the
 * owner modifies these objects.
 */
#ifndef RADISHJUNCTION_PRIVATE_CELL_ACTIVE_JOB_H
#define RADISHJUNCTION_PRIVATE_CELL_ACTIVE_JOB_H

#include <glib.h>

#include "private/cell_job_spec.h"
#include "private/cell_unsaved_ends.h"
#include "private/list.h"

enum rj_cell_job_state {
	RJ_CELL_JOB_QUEUED, /* accepted, no task has started */
	RJ_CELL_JOB_RUNNING,
	RJ_CELL_JOB_COMPLETED,
	RJ_CELL_JOB_FAILED,
	RJ_CELL_JOB_CANCELLED,
	RJ_CELL_JOB_STATE_COUNT
};

extern const char *const rj_cell_job_state_string[RJ_CELL_JOB_STATE_COUNT];

enum rj_cell_run_state {
	RJ_CELL_RUN_INTENDED, /* its record is not stored yet */
	RJ_CELL_RUN_STARTING, /* the start order is in flight */
	RJ_CELL_RUN_PLACED, /* the worker accepted the order */
	RJ_CELL_RUN_LISTED, /* the worker reported it in a poll */
	RJ_CELL_RUN_STOPPING, /* to be stopped; its resources stay allocated */
	RJ_CELL_RUN_STATE_COUNT
};

/* A job that takes longer than its objective is late. A result later than this
 * multiple of the objective is of no use to the client. */
#define RJ_CELL_LATE_FACTOR 3

/* Progress of a finished run; a gang member then waits for the others, and a
 * perpetual run is at work. */
#define RJ_CELL_PERCENT_ALL 100

extern const char *const rj_cell_run_state_string[RJ_CELL_RUN_STATE_COUNT];

/* Number of priority classes: one per priority, but the last one also includes
 * all higher numbers. */
#define RJ_CELL_PRIORITY_CLASSES 3

/* Resources allocated to several runs. */
struct rj_cell_allocation {
	uint64_t cpu_milli;
	uint64_t memory_mb;
	uint64_t accelerators;
};

/* Runs of a gang that are remembered as counted failures. Restarts are delayed
 * more with each failure, so that no member of an earlier run has a lease. */
#define RJ_CELL_FAILED_RUNS_MAX 64

struct rj_cell_account_share;
struct rj_cell_worker;
struct rj_cell_task;

/* One start of one task on one worker. */
struct rj_cell_run {
	struct rj_list in_worker;
	struct rj_list in_task;
	struct rj_cell_worker *worker;
	struct rj_cell_task *task; /* NULL: its job is unknown */
	/* Of the worker, for which it was placed or which has listed it; 0: not
	 * known, as a former owner has started it. */
	uint64_t incarnation;
	char *name; /* as the worker reports it */
	uint32_t number; /* rises with each start of the task */
	enum rj_cell_run_state state;
	struct rj_cell_demand allocated;
	bool adopted; /* started by an earlier owner at an unknown time */
	bool recording; /* its record is being appended */
	bool listed; /* in the worker's last answer to a poll */
	/* When the last order got its final answer; polls sent later show
	 * whether the run exists. 0: not yet. */
	uint64_t settled_us;
	bool start_in_flight;
	bool stop_in_flight;
	uint32_t order_tries;
	uint32_t start_tries; /* starts that may have arrived, or were unsent */
	/* When to send the next order, see rj_cell_run_schedule_order. */
	uint64_t order_due_us;
	uint64_t placed_us; /* when the worker accepted it */
	uint32_t percent;
	uint64_t listed_us; /* when the worker last reported it */
	uint64_t progress_us; /* when `percent` last rose */
	/* Progress from which its pace is measured, and the latest one before
	 * it was complete; both 0: not reported. */
	uint64_t pace_from_us;
	uint32_t pace_from_percent;
	uint64_t pace_until_us;
	uint32_t pace_until_percent;
	uint64_t slow_us; /* over its latency target since then; 0: it is not */
	char *checkpoint; /* restored at its start, or NULL */
	char *saved; /* last one saved by this run, or NULL */
	/* On an unreachable worker, it counts as ended from then on because its
	 * gang has ended; 0: not set. */
	uint64_t ended_by_us;
	bool victim; /* preempted in the current tentative placement */
	bool backfilled; /* started beside a promise, see cell_backfill.h */
	const char *reason; /* of its stop, for the log */
	char preempted_for[RJ_CELL_ID_BYTES]; /* job, or "" */
	char *ticket; /* from the policy service, or NULL */
};

struct rj_cell_task {
	struct rj_cell_occurrence *occurrence;
	uint32_t step;
	uint32_t index; /* within the step */
	bool done;
	bool begun; /* a worker has started it */
	uint32_t run; /* highest number of its runs, past ones included */
	uint32_t failures; /* failed runs; for a gang, kept on its first task */
	/* Gang: run numbers with a member that counted as ended before its
	 * worker reported its completion, which may be a failure. */
	uint32_t unreported;
	uint32_t unreported_run; /* last such run number */
	/* Completions of these are waited for until then. */
	uint64_t unreported_until_us;
	/* Gang: numbers of the runs that count as its failures, the latest ones
	 * in rising order of counting; NULL: none. */
	uint32_t *failed_runs;
	uint32_t failed_run_count;
	uint32_t losses; /* runs that ended for other reasons */
	uint32_t stalls; /* runs that this owner stopped as stalled */
	char *checkpoint; /* last one saved, or NULL */
	struct rj_list runs;
	/* When it became ready to run; 0: not since its last run ended. */
	uint64_t waiting_us;
	uint64_t not_before_us; /* it is not started before this */
	bool planned; /* the current plan starts it */
	/* Next search for runs to preempt for it or its gang. */
	uint64_t preemption_due_us;
	char avoid[RJ_NAME_BYTES]; /* worker of its last failure */
	uint64_t avoid_until_us; /* `avoid` applies until then */
};

struct rj_cell_occurrence {
	struct rj_list link; /* in the job */
	struct rj_cell_job *job;
	uint32_t number; /* index of the occurrence, from 0 */
	struct rj_cell_task *tasks; /* of all steps, in order */
	uint32_t *left; /* per step: tasks that are not done */
	uint32_t steps_left;
	/* Per step, the policy service's answers by worker; NULL if it was
	 * not asked. See cell_advice.h. */
	GHashTable **policy_decisions;
	bool closed; /* all tasks are done; runs may still be reported */
};

/* A job, until its end is stored and it has no runs left. */
struct rj_cell_job {
	struct rj_list link; /* in the owner's list */
	/* Owned by the job's view entry. */
	const struct rj_cell_job_spec *job_spec;
	enum rj_cell_job_state state;
	bool cancelled; /* cancellation requested; its runs are being stopped */
	bool dirty; /* has changes that are not stored */
	struct rj_list in_dirty; /* in the owner's list of dirty jobs */
	uint64_t store_due_us; /* its progress is not stored before this */
	uint64_t start_due_us; /* none of its tasks is started before this */
	/* Its last record was too long, so that something was left out. */
	bool trimmed;
	/* In the owner's list of jobs whose last record was invalid. */
	struct rj_list in_unstorable;
	struct rj_cell_unsaved_ends unsaved_ends;
	bool started; /* the start of a task was decided */
	bool ticket_wanted; /* a worker rejected a start for its ticket */
	/* Within its account's guarantee, according to the plan. */
	bool guaranteed;
	bool any_begun; /* a worker has started one of its tasks */
	/* All tasks of its first step have started, on workers. */
	bool begun;
	uint32_t first_tasks_begun;
	uint64_t begun_us; /* 0: it has not, or under an earlier owner */
	bool start_late; /* logged, see rj_cell_guarantees_update */
	struct rj_cell_allocation allocated; /* by its runs */
	/* Of its account, as of the last plan; NULL: not known. */
	struct rj_cell_account_share *share;
	uint32_t occurrences_begun;
	uint32_t occurrences_done;
	struct rj_list occurrences; /* begun and not done */
	uint32_t occurrences_open; /* number of these */
	uint32_t tasks_open; /* their tasks that are not done */
	uint64_t accepted_us; /* by this node's clock, approximate */
	uint64_t objective_us; /* when it should complete */
	uint64_t late_us; /* its result is of no use after this */
	/* Logged when the job ends. */
	uint64_t first_start_us; /* 0: none, or by an earlier owner */
	uint32_t runs_lost; /* runs that ended without completing their task */
	/* Changes of the worker on which its tasks failed, and the hash of the
	 * last one's id. */
	uint32_t failed_workers;
	uint32_t failed_on;
	bool split; /* a gang that prefers one rack was placed on several */
	void *entry; /* its struct rj_cell_view_entry */
};

struct rj_cell_job *rj_cell_job_new(void *mem,
				    const struct rj_cell_job_spec *job_spec);
struct rj_cell_occurrence *rj_cell_job_begin_occurrence(struct rj_cell_job *job,
							uint32_t number);
void rj_cell_occurrence_free(struct rj_cell_occurrence *occurrence);
uint32_t rj_cell_job_priority_class(const struct rj_cell_job *job);
uint64_t
rj_cell_occurrence_due_after_us(const struct rj_cell_occurrence *occurrence);
bool rj_cell_occurrence_step_ready(const struct rj_cell_occurrence *occurrence,
				   uint32_t step);
void rj_cell_task_set_begun(struct rj_cell_task *task, uint64_t now_us);
void rj_cell_task_complete(struct rj_cell_task *task);
struct rj_cell_task *rj_cell_task_head(struct rj_cell_task *task);
bool rj_cell_task_has_failed_in(const struct rj_cell_task *head,
				uint32_t number);
bool rj_cell_task_add_failed_run(struct rj_cell_task *head, uint32_t number);
const struct rj_cell_step *rj_cell_task_step(const struct rj_cell_task *task);
void rj_cell_task_name(const struct rj_cell_task *task, char *name,
		       size_t size);
struct rj_cell_task *rj_cell_job_find_task(struct rj_cell_job *job,
					   uint32_t occurrence, uint32_t step,
					   uint32_t index);
void rj_cell_task_set_checkpoint(struct rj_cell_task *task,
				 const char *checkpoint);
struct rj_cell_run *rj_cell_run_new(struct rj_cell_worker *worker,
				    struct rj_cell_task *task, uint32_t number);
GHashTable *rj_cell_run_index_new(void);
struct rj_cell_run *rj_cell_run_find(const struct rj_cell_worker *worker,
				     const char *name, uint32_t number);
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
