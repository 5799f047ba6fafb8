#include "private/cell_admission_forecast.h"

#include <string.h>

#include "private/cell_place.h"
#include "private/log_event.h"

/*
 * Part of the time in which a job is of use that it may wait and run for, by the
 * forecast. The rest covers the error of the forecast, which reaches as far as a
 * minute ahead, and callers whose objective counts less than the run time that
 * slow workers take.
 */
#define USABLE_TIME_PERCENT 65
/* The measured wait counts up to this multiple of the estimate from all
 * capacity: forecasts reach a minute ahead, and what a burst of urgent work
 * holds is free again after some 6 s. */
#define ESTIMATE_FACTOR 1.5
/* Work that is lost by stopping a task with checkpoints: the time of a restart
 * from one. */
#define CHECKPOINT_RESTORE_US (300 * RJ_US_PER_MS)
/* Jobs accepted longer ago are found by a takeover and did not arrive now. */
#define ARRIVAL_AGE_MAX_US (2 * RJ_US_PER_S)
/* A job that starts within this has not waited for capacity: its record takes
 * some 20 ms, and urgent jobs for which runs are stopped 0.4 s. */
#define PROMPT_START_MAX_US (300 * RJ_US_PER_MS)
/* A queue of which a job has started so within this has capacity for more. */
#define PROMPT_START_AGE_MAX_US RJ_US_PER_S
/* Cores, in thousandths, that an accelerator counts as, by the users' prices. */
#define ACCELERATOR_CORES_MILLI 8000.0

/* Returns the expected run time of a task of a step, in milliseconds. */
static double task_ms(const struct rj_cell_owner *owner,
		      const struct rj_cell_job *job, uint32_t step)
{
	return (double)rj_cell_forecast_task_ms(&owner->forecast, job->job_spec,
						step);
}

/* Returns the run of a task that is not being stopped, or NULL. */
static const struct rj_cell_run *running(const struct rj_cell_task *task)
{
	const struct rj_list *at;

	for (at = task->runs.next; at != &task->runs; at = at->next) {
		const struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_task);

		if (run->state != RJ_CELL_RUN_STOPPING)
			return run;
	}
	return NULL;
}

/* Returns the remaining work of a step in milliseconds of one task: what is left
 * of its runs and, unless the job is too late to be of use, its other tasks. */
static double step_left_ms(const struct rj_cell_owner *owner,
			   const struct rj_cell_occurrence *occurrence,
			   uint32_t step, bool expired)
{
	const struct rj_cell_job *job = occurrence->job;
	uint32_t first = rj_cell_job_spec_first_task(job->job_spec, step);
	double each_ms = task_ms(owner, job, step);
	double left_ms = 0;

	if (!job->started)
		return expired ? 0 : each_ms * occurrence->left[step];
	for (uint32_t i = first;
	     i < first + job->job_spec->steps[step].task_count; i++) {
		const struct rj_cell_task *task = &occurrence->tasks[i];
		const struct rj_cell_run *run;

		if (task->done)
			continue;
		run = running(task);
		if (run)
			left_ms +=
				(double)rj_cell_forecast_remaining_us(
					&owner->forecast, run, owner->now_us) /
				RJ_US_PER_MS;
		else if (!expired)
			left_ms += each_ms;
	}
	return left_ms;
}

/* Adds the remaining work of one job. */
static void add_job(const struct rj_cell_owner *owner,
		    const struct rj_cell_job *job,
		    struct rj_cell_service_load *work)
{
	const struct rj_cell_job_spec *spec = job->job_spec;
	bool expired = !spec->repeats && owner->now_us > job->late_us;
	const struct rj_list *at;

	for (at = job->occurrences.next; at != &job->occurrences;
	     at = at->next) {
		const struct rj_cell_occurrence *occurrence =
			RJ_CONTAINER(at, struct rj_cell_occurrence, link);

		for (uint32_t i = 0; i < spec->step_count; i++) {
			struct rj_cell_demand each =
				rj_cell_step_allocation(&spec->steps[i]);

			if (!spec->steps[i].perpetual && occurrence->left[i])
				rj_cell_service_load_add(
					work, &each,
					step_left_ms(owner, occurrence, i,
						     expired));
		}
	}
}

/*
 * Sums up the remaining work of all jobs by priority class, in resources times
 * milliseconds. Of jobs that are too late to be of use only the runs count:
 * their waiting tasks come after all others.
 */
void rj_cell_admission_forecast_sum_work(
	const struct rj_cell_owner *owner,
	struct rj_cell_service_load work[RJ_CELL_PRIORITY_CLASSES])
{
	const struct rj_list *at;

	for (uint32_t i = 0; i < RJ_CELL_PRIORITY_CLASSES; i++)
		work[i] = (struct rj_cell_service_load){ 0 };
	for (at = owner->jobs.next; at != &owner->jobs; at = at->next) {
		const struct rj_cell_job *job =
			RJ_CONTAINER(at, struct rj_cell_job, link);

		if (!job->cancelled && job->state < RJ_CELL_JOB_COMPLETED)
			add_job(owner, job,
				&work[rj_cell_job_priority_class(job)]);
	}
}

/* Argument of subtract_run. */
struct perpetual_runs {
	struct rj_cell_service_load *held;
	uint32_t step;
};

/* Subtracts the resources of one run of a step on the plan's workers. */
static void subtract_run(struct rj_cell_run *run, void *private_data)
{
	const struct perpetual_runs *runs = private_data;

	if (run->task->step == runs->step && run->worker->plan_worker &&
	    run->state != RJ_CELL_RUN_STOPPING)
		rj_cell_service_load_add(runs->held, &run->allocated, -1);
}

/* Subtracts what perpetual runs hold, as they complete no work. */
static void subtract_perpetual(
	const struct rj_cell_plan *plan,
	struct rj_cell_service_sample samples[RJ_CELL_PRIORITY_CLASSES])
{
	const struct rj_list *at;

	for (at = plan->jobs->next; at != plan->jobs; at = at->next) {
		const struct rj_cell_job *job =
			RJ_CONTAINER(at, struct rj_cell_job, link);

		for (uint32_t i = 0; i < job->job_spec->step_count; i++) {
			struct perpetual_runs runs = {
				&samples[rj_cell_job_priority_class(job)].held,
				i
			};

			if (job->job_spec->steps[i].perpetual)
				rj_cell_job_each_run(job, subtract_run, &runs);
		}
	}
}

/* Whether a group waits for capacity that any job may use, and is in time. A
 * group that only some workers may run does not show that the cell is short. */
static bool waits(const struct rj_cell_task_group *group)
{
	return group->started_tasks < group->waiting_tasks && !group->expired &&
	       !group->advised &&
	       !group->job->job_spec->steps[group->step].label[0];
}

/*
 * Records what a plan shows: which classes wait and what each holds. A plan that
 * left starts to the next one shows no backlog.
 */
void rj_cell_admission_forecast_observe_plan(struct rj_cell_owner *owner,
					     const struct rj_cell_plan *plan)
{
	struct rj_cell_service_sample samples[RJ_CELL_PRIORITY_CLASSES] = {
		{ 0 }
	};
	const struct rj_cell_service_load total = {
		(double)plan->usage.cpu.total, (double)plan->usage.memory.total,
		(double)plan->usage.accelerators.total
	};

	if (!owner->limits.features.admission_forecast || plan->truncated ||
	    !rj_cell_service_rate_is_due(&owner->service_rate, owner->now_us))
		return;
	for (uint32_t i = 0; i < RJ_CELL_PRIORITY_CLASSES; i++)
		samples[i].held = (struct rj_cell_service_load){
			(double)plan->allocated[i].cpu_milli,
			(double)plan->allocated[i].memory_mb,
			(double)plan->allocated[i].accelerators
		};
	for (guint i = 0; i < plan->task_groups->len; i++) {
		const struct rj_cell_task_group *group = &g_array_index(
			plan->task_groups, struct rj_cell_task_group, i);

		if (waits(group))
			samples[rj_cell_job_priority_class(group->job)].waits =
				true;
	}
	if (plan->worker_count)
		subtract_perpetual(plan, samples);
	rj_cell_service_rate_observe(&owner->service_rate, samples,
				     plan->worker_count ? &total : NULL,
				     owner->now_us);
}

/*
 * Records the work of a job that has just been accepted.
 */
void rj_cell_admission_forecast_observe_job(struct rj_cell_owner *owner,
					    const struct rj_cell_job *job)
{
	struct rj_cell_service_load work = { 0 };

	if (!owner->limits.features.admission_forecast ||
	    owner->now_us > job->accepted_us + ARRIVAL_AGE_MAX_US)
		return;
	add_job(owner, job, &work);
	rj_cell_service_rate_record_arrival(&owner->service_rate,
					    rj_cell_job_priority_class(job),
					    &work, owner->now_us);
}

/*
 * Records that the first task of a job starts.
 */
void rj_cell_admission_forecast_observe_start(struct rj_cell_owner *owner,
					      const struct rj_cell_job *job)
{
	struct rj_cell_service_decision *decision;

	if (!owner->limits.features.admission_forecast ||
	    owner->now_us > job->accepted_us + PROMPT_START_MAX_US)
		return;
	decision = rj_cell_service_rate_decision(&owner->service_rate,
						 job->job_spec->queue);
	if (decision)
		decision->prompt_start_us = owner->now_us;
}

/* Returns for how long a run has run. Of a run that was adopted and is done that
 * is the expected run time; its begin is not known. */
static uint64_t ran_for_us(const struct rj_cell_owner *owner,
			   const struct rj_cell_run *run,
			   enum rj_cell_completion end)
{
	const struct rj_cell_task *task = run->task;

	if (run->adopted && end == RJ_CELL_COMPLETION_DONE)
		return (uint64_t)task_ms(owner, task->occurrence->job,
					 task->step) *
		       RJ_US_PER_MS;
	return owner->now_us - MIN(owner->now_us, run->placed_us);
}

/*
 * Records the work of a run that has ended, and how much of it is lost.
 */
void rj_cell_admission_forecast_observe_end(struct rj_cell_owner *owner,
					    const struct rj_cell_run *run,
					    enum rj_cell_completion end)
{
	const struct rj_cell_step *step = rj_cell_task_step(run->task);
	uint64_t ran_us = ran_for_us(owner, run, end);
	uint64_t lost_us = end == RJ_CELL_COMPLETION_DONE ? 0 : ran_us;
	double cores_milli =
		run->allocated.cpu_milli +
		ACCELERATOR_CORES_MILLI * run->allocated.accelerators;

	if (!owner->limits.features.admission_forecast || !run->placed_us ||
	    step->perpetual)
		return;
	if (step->checkpoints)
		lost_us = MIN(lost_us, CHECKPOINT_RESTORE_US);
	rj_cell_service_rate_record_end(
		&owner->service_rate,
		rj_cell_job_priority_class(run->task->occurrence->job),
		cores_milli * (double)(ran_us - lost_us) / RJ_US_PER_MS,
		cores_milli * (double)lost_us / RJ_US_PER_MS, owner->now_us);
}

/* Whether capacity is free for jobs of a queue, though its class has a backlog:
 * all have started, or one has just started without waiting. */
static bool has_free_capacity(const struct rj_cell_owner *owner,
			      const struct rj_cell_service_decision *decision,
			      const struct rj_cell_queue_load *queue_load)
{
	return !queue_load->pending ||
	       (decision->prompt_start_us &&
		owner->now_us <=
			decision->prompt_start_us + PROMPT_START_AGE_MAX_US);
}

/* Whether an urgent queue accepts jobs for the sake of an account within its
 * guarantee, as it cannot accept those of this account alone. */
static bool accepts_for_guarantee(const struct rj_cell_owner *owner,
				  const struct rj_cell_queue *queue)
{
	return !queue->priority && !owner->limits.features.account_shares &&
	       rj_cell_guarantees_have_room(&owner->guarantees, owner->config);
}

/* Tells on what the decision on a queue can be based. */
static enum rj_cell_service_basis
basis_of(const struct rj_cell_owner *owner, const struct rj_cell_queue *queue,
	 uint32_t class, const struct rj_cell_service_decision *decision,
	 const struct rj_cell_queue_load *queue_load)
{
	enum rj_cell_service_basis basis = rj_cell_service_rate_basis(
		&owner->service_rate, class, owner->now_us);

	if (basis == RJ_CELL_SERVICE_MEASURED &&
	    (has_free_capacity(owner, decision, queue_load) ||
	     accepts_for_guarantee(owner, queue)))
		return RJ_CELL_SERVICE_NO_BACKLOG;
	return basis;
}

/* Logs that a queue begins or ceases to reject jobs. */
static void log_decision(const struct rj_cell_owner *owner, uint32_t class,
			 const struct rj_cell_service_decision *decision,
			 const struct rj_cell_service_load *work,
			 double estimate_ms)
{
	const struct rj_cell_service_rate *rate = &owner->service_rate;
	const struct rj_cell_service_load *held =
		&rate->classes[class].held[class];

	rj_log_event(
		"admission", RJ_LOG_TEXT("queue", decision->queue),
		RJ_LOG_NUMBER("rejects", decision->rejects),
		RJ_LOG_TEXT("why",
			    rj_cell_service_basis_string[decision->basis]),
		RJ_LOG_NUMBER("ahead_core_s", work->cpu_milli / 1e6),
		RJ_LOG_NUMBER("ahead_accelerator_s", work->accelerators / 1e3),
		RJ_LOG_NUMBER("held_cores", held->cpu_milli / 1e3),
		RJ_LOG_NUMBER("held_accelerators", held->accelerators),
		RJ_LOG_NUMBER("useful_percent",
			      100 * rj_cell_service_rate_useful_share(
					    rate, class, owner->now_us)),
		RJ_LOG_NUMBER("estimate_ms", estimate_ms),
		RJ_LOG_NUMBER("wait_ms", decision->wait_ms),
		RJ_LOG_NUMBER("limit_ms", decision->limit_ms),
		RJ_LOG_NUMBER("retry_ms", decision->retry_after_ms));
}

/*
 * Decides whether a queue accepts jobs, whose results are of no use after
 * `late_ms`. `estimate_ms` is the wait of a new job by the capacity of all
 * workers; `work` is the remaining work of all jobs by class. Returns false if
 * too little is measured for a decision.
 *
 * Guards against an overload of several times the capacity: what reservations,
 * stops and failures leave is less than a fixed part of the cell, so that jobs
 * would be accepted that are served too late.
 */
bool rj_cell_admission_forecast_decide(
	struct rj_cell_owner *owner, const struct rj_cell_queue *queue,
	bool has_enough_workers, double late_ms, double estimate_ms,
	const struct rj_cell_service_load work[RJ_CELL_PRIORITY_CLASSES],
	struct rj_cell_queue_load *queue_load)
{
	uint32_t class = MIN(queue->priority, RJ_CELL_PRIORITY_CLASSES - 1);
	struct rj_cell_service_decision *decision =
		rj_cell_service_rate_decision(&owner->service_rate,
					      queue->name);
	enum rj_cell_service_basis basis = RJ_CELL_SERVICE_UNMEASURED;
	/* The job's own runs may end badly, too. */
	double limit_ms =
		late_ms * USABLE_TIME_PERCENT / 100 -
		queue_load->mean_ms /
			rj_cell_service_rate_useful_share(&owner->service_rate,
							  class, owner->now_us);
	double wait_ms = 0;

	if (!decision)
		return false;
	if (has_enough_workers)
		basis = basis_of(owner, queue, class, decision, queue_load);
	if (basis == RJ_CELL_SERVICE_MEASURED)
		wait_ms = MIN(rj_cell_service_rate_wait_ms(&owner->service_rate,
							   class, work,
							   owner->now_us),
			      ESTIMATE_FACTOR * estimate_ms);
	if (rj_cell_service_decide(decision, basis, wait_ms, MAX(limit_ms, 0)))
		log_decision(owner, class, decision, &work[class], estimate_ms);
	if (decision->rejects) {
		queue_load->refuse = true;
		queue_load->retry_after_ms = decision->retry_after_ms;
	}
	return basis != RJ_CELL_SERVICE_UNMEASURED;
}
