#include "support/plan_simulation.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "support/quantile.h"

/* Time to stop a task, and to checkpoint one. */
#define STOP_US (50 * RJ_US_PER_MS)
#define CHECKPOINT_US RJ_US_PER_S

/* Run time of a task on a failing worker, and the core's handling of it:
 * back-off of the job, failures in a row that exclude the worker, and for
 * how long. */
#define FAIL_US (200 * RJ_US_PER_MS)
#define FAIL_BACK_OFF_US RJ_US_PER_S
#define FAILURES_TO_EXCLUDE 3
#define EXCLUSION_US (60 * RJ_US_PER_S)

/* Time until a lost instance is replaced and has read its workers. */
#define INSTANCE_REPLACEMENT_US (3 * RJ_US_PER_S)

/* A job that is unfinished after this many horizons counts as ending then. */
#define TIME_LIMIT_HORIZONS 4

/* A guaranteed shape is late after the checkpoint limit plus this time. */
#define LATE_US RJ_US_PER_S

/*
 * Returns the time at which the simulation ends even if jobs still wait.
 */
static uint64_t time_limit_us(const struct plan_simulation *simulation)
{
	return TIME_LIMIT_HORIZONS * simulation->stream->horizon_us;
}

/*
 * Returns the job's specification in the stream.
 */
static const struct stream_job *
stream_job_of(const struct plan_simulation *simulation, uint32_t index)
{
	return &simulation->stream->jobs[index];
}

/*
 * Returns the number of accelerators of all tasks together.
 */
static double job_accelerators(const struct stream_job *stream_job)
{
	return stream_job->plan.shape.tasks *
	       stream_job->plan.shape.each.accelerators;
}

/*
 * Releases the resources of a running job.
 */
static void release_workers(struct plan_simulation *simulation, uint32_t index)
{
	const struct stream_job *stream_job = stream_job_of(simulation, index);
	struct plan_simulation_job *job = &simulation->jobs[index];

	for (uint32_t i = 0; i < job->member_count; i++)
		rj_resources_subtract(
			&simulation->allocated[job->members[i].worker],
			&stream_job->plan.shape.each, job->members[i].tasks);
	TALLOC_FREE(job->members);
	job->member_count = 0;
	job->stopping = false;
	simulation->busy -= (uint64_t)job_accelerators(stream_job);
}

/*
 * Returns whether the job is a gang of the largest shape.
 */
static bool is_largest(const struct plan_simulation *simulation,
		       const struct stream_job *stream_job)
{
	return stream_job->class_index == STREAM_GANG &&
	       job_accelerators(stream_job) >= 64;
}

/*
 * Records that a job finished at `at_us`, with any outcome. Cancelled jobs are
 * left out of the statistics.
 */
static void record_completion(struct plan_simulation *simulation,
			      uint32_t index, uint64_t at_us)
{
	const struct stream_job *stream_job = stream_job_of(simulation, index);
	struct plan_simulation_job *job = &simulation->jobs[index];
	double took_s =
		(double)(at_us - stream_job->plan.queued_us) / RJ_US_PER_S;
	uint64_t started_us = MIN(job->first_start_us, at_us);
	double waited_s =
		(double)(started_us - stream_job->plan.queued_us) / RJ_US_PER_S;

	job->state = PLAN_JOB_FINISHED;
	rj_resources_subtract(&simulation->open_resources[stream_job->account],
			      &stream_job->plan.shape.each,
			      stream_job->plan.shape.tasks);
	if (stream_job->cancel_us != RJ_NEVER_US)
		return;
	g_array_append_val(simulation->completions[stream_job->class_index]
						  [stream_job->account],
			   took_s);
	g_array_append_val(simulation->completions[stream_job->class_index]
						  [STREAM_ACCOUNTS],
			   took_s);
	if (is_largest(simulation, stream_job))
		g_array_append_val(simulation->gang_waits, waited_s);
}

/*
 * Records a refused job, which counts as finishing at its deadline.
 */
static void record_refusal(struct plan_simulation *simulation, uint32_t index)
{
	const struct stream_job *stream_job = stream_job_of(simulation, index);

	simulation->result->refusals++;
	record_completion(simulation, index,
			  stream_job->plan.deadline_us == RJ_NEVER_US ?
				  time_limit_us(simulation) :
				  stream_job->plan.deadline_us);
}

/*
 * Submits a job to the planner. While no instance is up it waits outside.
 */
static void submit(struct plan_simulation *simulation, uint32_t index)
{
	const struct stream_job *stream_job = stream_job_of(simulation, index);
	struct rj_plan_job plan = stream_job->plan;
	enum rj_reason reason;
	uint64_t retry_after_us;

	simulation->jobs[index].state = PLAN_JOB_WAITING;
	if (simulation->instance_down)
		return;
	if (simulation->planner->ops->submit(simulation->planner, &plan,
					     simulation->now_us, &reason,
					     &retry_after_us))
		record_refusal(simulation, index);
}

/*
 * Handles the arrival of a job and determines whether its account's guarantee
 * covers it.
 */
static void handle_arrival(struct plan_simulation *simulation, uint32_t index)
{
	const struct stream_job *stream_job = stream_job_of(simulation, index);
	const struct rj_guarantee *guarantee =
		&simulation->stream->guarantees[stream_job->account];
	struct rj_resources all = { 0 };

	/* All unfinished jobs of the account must fit into its guarantee. */
	rj_resources_add(&simulation->open_resources[stream_job->account],
			 &stream_job->plan.shape.each,
			 stream_job->plan.shape.tasks);
	rj_resources_add(&all, &guarantee->shape.each,
			 guarantee->shape.tasks * guarantee->count);
	if (stream_job->guaranteed && stream_job->cancel_us == RJ_NEVER_US &&
	    rj_resources_fit(&simulation->open_resources[stream_job->account],
			     &all)) {
		simulation->jobs[index].guarantee_due = true;
		simulation->result->guaranteed_due++;
	}
	if (stream_job->cancel_us != RJ_NEVER_US)
		plan_simulation_push(simulation, stream_job->cancel_us,
				     PLAN_EVENT_CANCEL, index, 0);
	submit(simulation, index);
}

/*
 * Cancels a job in any state; no effect once it has finished.
 */
static void handle_cancel(struct plan_simulation *simulation, uint32_t index)
{
	struct plan_simulation_job *job = &simulation->jobs[index];

	if (job->state == PLAN_JOB_FINISHED)
		return;
	if (job->state == PLAN_JOB_RUNNING)
		release_workers(simulation, index);
	simulation->planner->ops->ended(simulation->planner, index + 1, false,
					0, simulation->now_us);
	record_completion(simulation, index, simulation->now_us);
}

/*
 * Completes a job, unless it was stopped before.
 */
static void handle_completion(struct plan_simulation *simulation,
			      const struct plan_event *event)
{
	struct plan_simulation_job *job = &simulation->jobs[event->index];

	if (job->state != PLAN_JOB_RUNNING || job->attempt != event->attempt)
		return;
	release_workers(simulation, event->index);
	record_completion(simulation, event->index, simulation->now_us);
	if (!simulation->instance_down)
		simulation->planner->ops->ended(
			simulation->planner, event->index + 1, true,
			simulation->now_us - job->started_us,
			simulation->now_us);
}

/*
 * Returns the accelerator seconds used since the start of the job.
 */
static double ran_area(const struct plan_simulation *simulation, uint32_t index)
{
	const struct plan_simulation_job *job = &simulation->jobs[index];

	return (double)(simulation->now_us - job->started_us) / RJ_US_PER_S *
	       job_accelerators(stream_job_of(simulation, index));
}

/*
 * Requeues a reclaimed job that has stopped. Its progress is kept only if it
 * supports checkpoints.
 */
static void handle_stopped(struct plan_simulation *simulation,
			   const struct plan_event *event)
{
	struct plan_simulation_job *job = &simulation->jobs[event->index];
	const struct stream_job *stream_job =
		stream_job_of(simulation, event->index);

	if (job->state != PLAN_JOB_RUNNING || job->attempt != event->attempt)
		return;
	if (stream_job->plan.checkpoint)
		job->remaining_us -=
			simulation->now_us - job->started_us - CHECKPOINT_US;
	else
		simulation->lost_s += ran_area(simulation, event->index);
	if (stream_job->plan.checkpoint)
		simulation->lost_s += job_accelerators(stream_job) *
				      CHECKPOINT_US / RJ_US_PER_S;
	release_workers(simulation, event->index);
	job->state = PLAN_JOB_WAITING;
	if (!simulation->instance_down)
		simulation->planner->ops->requeue(
			simulation->planner, event->index + 1,
			simulation->now_us, simulation->now_us);
}

/*
 * Updates the planner's state of a worker.
 */
static void update_worker(struct plan_simulation *simulation, uint32_t index)
{
	struct rj_plan_worker worker = simulation->stream->workers[index];

	worker.usable = !simulation->excluded[index];
	simulation->planner->ops->worker(simulation->planner, &worker,
					 simulation->now_us);
}

/*
 * Handles a failed task: the job is requeued with a back-off, and a failing
 * worker is excluded after several failures in a row.
 */
static void handle_failure(struct plan_simulation *simulation,
			   const struct plan_event *event)
{
	struct plan_simulation_job *job = &simulation->jobs[event->index];
	uint32_t count = job->member_count;

	if (job->state != PLAN_JOB_RUNNING || job->attempt != event->attempt)
		return;
	simulation->result->failures++;
	simulation->lost_s += ran_area(simulation, event->index);
	for (uint32_t i = 0; i < count; i++) {
		uint32_t worker = job->members[i].worker;

		if (!simulation->failing[worker] ||
		    simulation->excluded[worker] ||
		    ++simulation->consecutive_failures[worker] <
			    FAILURES_TO_EXCLUDE)
			continue;
		simulation->excluded[worker] = true;
		update_worker(simulation, worker);
		plan_simulation_push(simulation,
				     simulation->now_us + EXCLUSION_US,
				     PLAN_EVENT_PROBE, worker, 0);
	}
	release_workers(simulation, event->index);
	job->state = PLAN_JOB_WAITING;
	simulation->planner->ops->requeue(simulation->planner, event->index + 1,
					  simulation->now_us + FAIL_BACK_OFF_US,
					  simulation->now_us);
}

/*
 * Readmits an excluded worker. One more failure excludes it again.
 */
static void probe_worker(struct plan_simulation *simulation, uint32_t worker)
{
	simulation->excluded[worker] = false;
	simulation->consecutive_failures[worker] =
		simulation->failing[worker] ? FAILURES_TO_EXCLUDE - 1 : 0;
	update_worker(simulation, worker);
}

/*
 * Creates a planner and configures it as a new instance does.
 */
static void make_planner(struct plan_simulation *simulation)
{
	simulation->planner =
		simulation->options.factory->make(simulation->mem);
	simulation->planner->ops->configure(simulation->planner,
					    &simulation->stream->config,
					    STREAM_DOMAIN, simulation->now_us);
	for (uint32_t i = 0; i < STREAM_WORKERS; i++)
		update_worker(simulation, i);
}

/*
 * Replaces the lost instance: the new planner adopts running jobs, and waiting
 * jobs are submitted to it.
 */
static void replace_instance(struct plan_simulation *simulation)
{
	simulation->instance_down = false;
	simulation->planner->ops->finish(simulation->planner);
	make_planner(simulation);
	for (uint32_t i = 0; i < simulation->stream->count; i++) {
		struct plan_simulation_job *job = &simulation->jobs[i];

		if (job->state == PLAN_JOB_RUNNING)
			simulation->planner->ops->adopt(
				simulation->planner,
				&stream_job_of(simulation, i)->plan,
				job->members, job->member_count,
				simulation->now_us);
		else if (job->state == PLAN_JOB_WAITING)
			submit(simulation, i);
	}
}

/*
 * Dispatches an event to its handler.
 */
static void handle_event(struct plan_simulation *simulation,
			 const struct plan_event *event)
{
	switch (event->kind) {
	case PLAN_EVENT_ARRIVAL:
		handle_arrival(simulation, event->index);
		break;
	case PLAN_EVENT_CANCEL:
		handle_cancel(simulation, event->index);
		break;
	case PLAN_EVENT_COMPLETION:
		handle_completion(simulation, event);
		break;
	case PLAN_EVENT_FAILURE:
		handle_failure(simulation, event);
		break;
	case PLAN_EVENT_STOPPED:
		handle_stopped(simulation, event);
		break;
	case PLAN_EVENT_WORKERS_FAIL:
		simulation->failing[3] = true;
		simulation->failing[9] = true;
		break;
	case PLAN_EVENT_WORKERS_RECOVER:
		memset(simulation->failing, 0, sizeof(simulation->failing));
		break;
	case PLAN_EVENT_PROBE:
		probe_worker(simulation, event->index);
		break;
	case PLAN_EVENT_INSTANCE_LOST:
		simulation->instance_down = true;
		break;
	case PLAN_EVENT_INSTANCE_REPLACED:
		replace_instance(simulation);
		break;
	case PLAN_EVENT_WAKE:
		break;
	}
}

/*
 * Executes a START decision. Asserts that the gang is whole and that no worker
 * is over-allocated.
 */
static void apply_start(struct plan_simulation *simulation,
			const struct rj_decision *decision)
{
	uint32_t index = (uint32_t)decision->job_id - 1;
	const struct stream_job *stream_job = stream_job_of(simulation, index);
	const struct rj_shape *shape = &stream_job->plan.shape;
	struct plan_simulation_job *job = &simulation->jobs[index];
	bool fails = false;
	uint32_t tasks = 0;

	g_assert_cmpint(job->state, ==, PLAN_JOB_WAITING);
	for (uint32_t i = 0; i < decision->member_count; i++) {
		const struct rj_plan_member *member = &decision->members[i];
		struct rj_resources *allocated =
			&simulation->allocated[member->worker];

		tasks += member->tasks;
		rj_resources_add(allocated, &shape->each, member->tasks);
		g_assert_true(rj_resources_fit(
			allocated, &simulation->stream->domain.worker));
		if (shape->adjacent)
			g_assert_cmpuint(member->worker / STREAM_RACK_WORKERS,
					 ==,
					 decision->members[0].worker /
						 STREAM_RACK_WORKERS);
		fails |= simulation->failing[member->worker];
	}
	g_assert_cmpuint(tasks, ==, shape->tasks);
	job->members =
		talloc_memdup(simulation->mem, decision->members,
			      sizeof(*job->members) * decision->member_count);
	job->member_count = decision->member_count;
	job->state = PLAN_JOB_RUNNING;
	job->attempt++;
	job->started_us = simulation->now_us;
	if (job->first_start_us == RJ_NEVER_US && job->guarantee_due) {
		uint64_t wait_us =
			simulation->now_us - stream_job->plan.queued_us;
		uint64_t limit_us =
			simulation->stream->config.limits.checkpoint_limit_ms *
				RJ_US_PER_MS +
			LATE_US;
		double wait_s = (double)wait_us / RJ_US_PER_S;

		simulation->result->guaranteed_late += wait_us > limit_us;
		simulation->result->guaranteed_wait_max_s =
			MAX(simulation->result->guaranteed_wait_max_s, wait_s);
	}
	job->first_start_us = MIN(job->first_start_us, simulation->now_us);
	simulation->busy += (uint64_t)job_accelerators(stream_job);
	plan_simulation_push(simulation,
			     simulation->now_us +
				     (fails ? FAIL_US : job->remaining_us),
			     fails ? PLAN_EVENT_FAILURE : PLAN_EVENT_COMPLETION,
			     index, job->attempt);
}

/*
 * Executes a RECLAIM decision. Asserts that the job can be stopped and is not
 * being stopped already.
 */
static void apply_reclaim(struct plan_simulation *simulation,
			  const struct rj_decision *decision)
{
	uint32_t index = (uint32_t)decision->job_id - 1;
	struct plan_simulation_job *job = &simulation->jobs[index];

	g_assert_cmpint(job->state, ==, PLAN_JOB_RUNNING);
	g_assert_true(stream_job_of(simulation, index)->plan.preemptible);
	g_assert_false(job->stopping);
	job->stopping = true;
	simulation->result->reclaims++;
	plan_simulation_push(simulation,
			     simulation->now_us + (decision->checkpoint ?
							   CHECKPOINT_US :
							   STOP_US),
			     PLAN_EVENT_STOPPED, index, job->attempt);
}

/*
 * Runs a planner pass, executes its decisions and schedules its next wake-up.
 */
static void run_pass(struct plan_simulation *simulation)
{
	uint64_t wake_us;

	if (simulation->instance_down)
		return;
	rj_decisions_clear(&simulation->decisions);
	simulation->planner->ops->pass(simulation->planner, simulation->now_us,
				       &simulation->decisions);
	for (uint32_t i = 0; i < simulation->decisions.count; i++) {
		const struct rj_decision *decision =
			&simulation->decisions.list[i];

		if (decision->kind == RJ_DECISION_START)
			apply_start(simulation, decision);
		else if (decision->kind == RJ_DECISION_RECLAIM)
			apply_reclaim(simulation, decision);
		else
			record_refusal(simulation,
				       (uint32_t)decision->job_id - 1);
	}
	if (simulation->options.check)
		simulation->options.check(simulation);
	wake_us = simulation->planner->ops->wake_us(simulation->planner);
	g_assert_cmpuint(wake_us, >, simulation->now_us);
	if (wake_us >= simulation->wake_at_us &&
	    simulation->wake_at_us > simulation->now_us)
		return;
	simulation->wake_at_us = wake_us;
	if (wake_us != RJ_NEVER_US)
		plan_simulation_push(simulation, wake_us, PLAN_EVENT_WAKE, 0,
				     0);
}

/*
 * Adds the interval up to `until_us`, in which no event occurs, to the
 * utilisation and fragmentation statistics.
 */
static void account_time(struct plan_simulation *simulation, uint64_t until_us)
{
	uint64_t from_us =
		MIN(simulation->now_us, simulation->stream->horizon_us);
	double time_s = (double)(MIN(until_us, simulation->stream->horizon_us) -
				 from_us) /
			RJ_US_PER_S;
	struct rj_plan_view view;

	if (time_s <= 0)
		return;
	simulation->busy_s += time_s * (double)simulation->busy;
	simulation->planner->ops->view(simulation->planner, simulation->now_us,
				       &view);
	if (!view.largest_waiting)
		return;
	simulation->waiting_s += time_s;
	if (view.accelerators_free)
		simulation->stranded_s += time_s * view.accelerators_stranded /
					  view.accelerators_free;
}

/*
 * Computes the median, p95 and p99 of the samples.
 */
static void quantiles(GArray *samples, double values[PLAN_QUANTILE_COUNT])
{
	static const double shares[PLAN_QUANTILE_COUNT] = { 0.5, 0.95, 0.99 };

	for (uint32_t i = 0; i < PLAN_QUANTILE_COUNT; i++)
		values[i] = quantile_of((double *)samples->data, samples->len,
					shares[i]);
}

/*
 * Initialises a simulation at time 0 and schedules all arrivals and faults.
 */
static void plan_init(struct plan_simulation *simulation,
		      const struct plan_stream *stream,
		      const struct plan_simulation_options *options,
		      struct plan_result *result)
{
	uint64_t horizon_us = stream->horizon_us;

	memset(simulation, 0, sizeof(*simulation));
	memset(result, 0, sizeof(*result));
	simulation->mem = talloc_new(NULL);
	simulation->stream = stream;
	simulation->options = *options;
	simulation->result = result;
	simulation->wake_at_us = RJ_NEVER_US;
	simulation->events =
		g_array_new(FALSE, FALSE, sizeof(struct plan_event));
	simulation->gang_waits = g_array_new(FALSE, FALSE, sizeof(double));
	for (uint32_t i = 0; i < STREAM_CLASSES; i++)
		for (uint32_t j = 0; j <= STREAM_ACCOUNTS; j++)
			simulation->completions[i][j] =
				g_array_new(FALSE, FALSE, sizeof(double));
	simulation->jobs = talloc_zero_array(
		simulation->mem, struct plan_simulation_job, stream->count);
	for (uint32_t i = 0; i < stream->count; i++) {
		simulation->jobs[i].first_start_us = RJ_NEVER_US;
		simulation->jobs[i].remaining_us = stream->jobs[i].run_us;
		plan_simulation_push(simulation, stream->jobs[i].plan.queued_us,
				     PLAN_EVENT_ARRIVAL, i, 0);
	}
	rj_decisions_init(&simulation->decisions, simulation->mem);
	make_planner(simulation);
	if (stream->load == STREAM_FAILING_WORKERS) {
		plan_simulation_push(simulation, horizon_us / 3,
				     PLAN_EVENT_WORKERS_FAIL, 0, 0);
		plan_simulation_push(simulation, horizon_us / 3 * 2,
				     PLAN_EVENT_WORKERS_RECOVER, 0, 0);
	}
	if (stream->load == STREAM_INSTANCE_LOST) {
		plan_simulation_push(simulation, horizon_us / 2,
				     PLAN_EVENT_INSTANCE_LOST, 0, 0);
		plan_simulation_push(simulation,
				     horizon_us / 2 + INSTANCE_REPLACEMENT_US,
				     PLAN_EVENT_INSTANCE_REPLACED, 0, 0);
	}
}

/*
 * Computes the result and frees the simulation.
 */
static void plan_finish(struct plan_simulation *simulation)
{
	struct plan_result *result = simulation->result;
	double all_s = STREAM_WORKERS * 8.0 * simulation->stream->horizon_us /
		       RJ_US_PER_S;

	for (uint32_t i = 0; i < STREAM_CLASSES; i++)
		for (uint32_t j = 0; j <= STREAM_ACCOUNTS; j++) {
			result->count[i][j] =
				simulation->completions[i][j]->len;
			quantiles(simulation->completions[i][j],
				  result->completion_s[i][j]);
			g_array_free(simulation->completions[i][j], TRUE);
		}
	quantiles(simulation->gang_waits, result->gang_wait_s);
	result->fragmentation = simulation->stranded_s * RJ_US_PER_S /
				simulation->stream->horizon_us;
	result->fragmentation_waiting =
		simulation->waiting_s > 0 ?
			simulation->stranded_s / simulation->waiting_s :
			0;
	result->utilisation = (simulation->busy_s - simulation->lost_s) / all_s;
	result->lost_share = simulation->busy_s > 0 ?
				     simulation->lost_s / simulation->busy_s :
				     0;
	g_array_free(simulation->gang_waits, TRUE);
	g_array_free(simulation->events, TRUE);
	rj_decisions_finish(&simulation->decisions);
	simulation->planner->ops->finish(simulation->planner);
	talloc_free(simulation->mem);
}

/*
 * Runs the planner over the stream until all jobs have finished or the time
 * limit is reached.
 */
void plan_simulation_run(const struct plan_stream *stream,
			 const struct plan_simulation_options *options,
			 struct plan_result *result)
{
	struct plan_simulation simulation;

	plan_init(&simulation, stream, options, result);
	while (simulation.events->len) {
		struct plan_event event = plan_simulation_pop(&simulation);

		if (event.at_us > time_limit_us(&simulation))
			break;
		account_time(&simulation, event.at_us);
		simulation.now_us = event.at_us;
		handle_event(&simulation, &event);
		if (!simulation.events->len ||
		    plan_simulation_event(&simulation, 0)->at_us >
			    simulation.now_us)
			run_pass(&simulation);
	}
	for (uint32_t i = 0; i < stream->count; i++)
		if (simulation.jobs[i].state != PLAN_JOB_FINISHED)
			record_completion(&simulation, i,
					  time_limit_us(&simulation));
	plan_finish(&simulation);
}
