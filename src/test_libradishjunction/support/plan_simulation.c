#include "support/plan_simulation.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "support/quantile.h"

/* How long the core takes to stop a task, and a task to be checkpointed. */
#define STOP_US (50 * RJ_US_PER_MS)
#define CHECKPOINT_US RJ_US_PER_S

/* A failing worker fails a task after so long; how the core deals with it. */
#define FAIL_US (200 * RJ_US_PER_MS)
#define FAIL_BACK_OFF_US RJ_US_PER_S
#define FAILURES_TO_SET_ASIDE 3
#define SET_ASIDE_US (60 * RJ_US_PER_S)

/* A lost instance is replaced, and has read its workers, after so long. */
#define INSTANCE_GAP_US (3 * RJ_US_PER_S)

/* What has not ended after so many horizons counts as if it ended then. */
#define GIVE_UP_HORIZONS 4

/* A guaranteed shape is late after the checkpoint limit and this. */
#define LATE_US RJ_US_PER_S

/*
 * When the world ends, whatever still waits.
 */
static uint64_t give_up_us(const struct plan_world *world)
{
	return GIVE_UP_HORIZONS * world->stream->horizon_us;
}

/*
 * The job as the stream has it.
 */
static const struct stream_job *truth_of(const struct plan_world *world,
					 uint32_t index)
{
	return &world->stream->jobs[index];
}

/*
 * The accelerators of the job.
 */
static double size_of(const struct stream_job *truth)
{
	return truth->plan.shape.tasks * truth->plan.shape.each.accelerators;
}

/*
 * Give the workers of a running job back.
 */
static void vacate(struct plan_world *world, uint32_t index)
{
	const struct stream_job *truth = truth_of(world, index);
	struct world_job *job = &world->jobs[index];

	for (uint32_t i = 0; i < job->member_count; i++)
		rj_resources_take(&world->taken[job->members[i].worker],
				  &truth->plan.shape.each,
				  job->members[i].tasks);
	TALLOC_FREE(job->members);
	job->member_count = 0;
	job->stopping = false;
	world->busy -= (uint64_t)size_of(truth);
}

/*
 * Whether the job is a gang of the largest shape.
 */
static bool is_largest(const struct plan_world *world,
		       const struct stream_job *truth)
{
	return truth->class_index == STREAM_GANG && size_of(truth) >= 64;
}

/*
 * The job has come to its end at `at_us`, whichever it was.
 */
static void count_end(struct plan_world *world, uint32_t index, uint64_t at_us)
{
	const struct stream_job *truth = truth_of(world, index);
	struct world_job *job = &world->jobs[index];
	double took_s = (double)(at_us - truth->plan.queued_us) / RJ_US_PER_S;
	uint64_t started_us = MIN(job->first_us, at_us);
	double waited_s =
		(double)(started_us - truth->plan.queued_us) / RJ_US_PER_S;

	job->state = WORLD_OVER;
	rj_resources_take(&world->open[truth->account], &truth->plan.shape.each,
			  truth->plan.shape.tasks);
	if (truth->cancel_us != RJ_NEVER_US)
		return;
	g_array_append_val(
		world->completions[truth->class_index][truth->account], took_s);
	g_array_append_val(
		world->completions[truth->class_index][STREAM_ACCOUNTS],
		took_s);
	if (is_largest(world, truth))
		g_array_append_val(world->gang_waits, waited_s);
}

/*
 * A refused job counts as if it had taken until its deadline.
 */
static void count_refusal(struct plan_world *world, uint32_t index)
{
	const struct stream_job *truth = truth_of(world, index);

	world->result->refusals++;
	count_end(world, index,
		  truth->plan.deadline_us == RJ_NEVER_US ?
			  give_up_us(world) :
			  truth->plan.deadline_us);
}

/*
 * Hand a job to the planner; while no instance lives it waits outside.
 */
static void submit(struct plan_world *world, uint32_t index)
{
	const struct stream_job *truth = truth_of(world, index);
	struct rj_plan_job plan = truth->plan;
	enum rj_reason reason;
	uint64_t retry_after_us;

	world->jobs[index].state = WORLD_WAITING;
	if (world->instance_down)
		return;
	if (world->planner->ops->submit(world->planner, &plan, world->now_us,
					&reason, &retry_after_us))
		count_refusal(world, index);
}

/*
 * A job arrives.
 */
static void arrive(struct plan_world *world, uint32_t index)
{
	const struct stream_job *truth = truth_of(world, index);
	const struct rj_guarantee *guarantee =
		&world->stream->guarantees[truth->account];
	struct rj_resources all = { 0 };

	/* All that the account has open fits into its guarantee. */
	rj_resources_add(&world->open[truth->account], &truth->plan.shape.each,
			 truth->plan.shape.tasks);
	rj_resources_add(&all, &guarantee->shape.each,
			 guarantee->shape.tasks * guarantee->count);
	if (truth->guaranteed && truth->cancel_us == RJ_NEVER_US &&
	    rj_resources_fit(&world->open[truth->account], &all)) {
		world->jobs[index].due = true;
		world->result->guaranteed_due++;
	}
	if (truth->cancel_us != RJ_NEVER_US)
		plan_world_push(world, truth->cancel_us, WORLD_CANCEL, index,
				0);
	submit(world, index);
}

/*
 * The caller cancels the job, wherever it is.
 */
static void cancel(struct plan_world *world, uint32_t index)
{
	struct world_job *job = &world->jobs[index];

	if (job->state == WORLD_OVER)
		return;
	if (job->state == WORLD_RUNNING)
		vacate(world, index);
	world->planner->ops->ended(world->planner, index + 1, false, 0,
				   world->now_us);
	count_end(world, index, world->now_us);
}

/*
 * A job has run to its end, unless it was stopped before.
 */
static void end(struct plan_world *world, const struct world_event *event)
{
	struct world_job *job = &world->jobs[event->index];

	if (job->state != WORLD_RUNNING || job->attempt != event->attempt)
		return;
	vacate(world, event->index);
	count_end(world, event->index, world->now_us);
	if (!world->instance_down)
		world->planner->ops->ended(
			world->planner, event->index + 1, true,
			world->now_us - job->started_us, world->now_us);
}

/*
 * Accelerator seconds since the job was started.
 */
static double ran_area(const struct plan_world *world, uint32_t index)
{
	const struct world_job *job = &world->jobs[index];

	return (double)(world->now_us - job->started_us) / RJ_US_PER_S *
	       size_of(truth_of(world, index));
}

/*
 * A reclaimed job has stopped; what it did is kept only if it could be
 * checkpointed.
 */
static void stopped(struct plan_world *world, const struct world_event *event)
{
	struct world_job *job = &world->jobs[event->index];
	const struct stream_job *truth = truth_of(world, event->index);

	if (job->state != WORLD_RUNNING || job->attempt != event->attempt)
		return;
	if (truth->plan.checkpoint)
		job->left_us -= world->now_us - job->started_us - CHECKPOINT_US;
	else
		world->lost_s += ran_area(world, event->index);
	if (truth->plan.checkpoint)
		world->lost_s += size_of(truth) * CHECKPOINT_US / RJ_US_PER_S;
	vacate(world, event->index);
	job->state = WORLD_WAITING;
	if (!world->instance_down)
		world->planner->ops->requeue(world->planner, event->index + 1,
					     world->now_us, world->now_us);
}

/*
 * Tell the planner how a worker is.
 */
static void set_worker(struct plan_world *world, uint32_t index)
{
	struct rj_plan_worker worker = world->stream->workers[index];

	worker.usable = !world->set_aside[index];
	world->planner->ops->worker(world->planner, &worker, world->now_us);
}

/*
 * A task failed on a failing worker: the job is tried again after a while,
 * and the worker set aside after several in a row.
 */
static void fail(struct plan_world *world, const struct world_event *event)
{
	struct world_job *job = &world->jobs[event->index];
	uint32_t count = job->member_count;

	if (job->state != WORLD_RUNNING || job->attempt != event->attempt)
		return;
	world->result->failures++;
	world->lost_s += ran_area(world, event->index);
	for (uint32_t i = 0; i < count; i++) {
		uint32_t worker = job->members[i].worker;

		if (!world->failing[worker] || world->set_aside[worker] ||
		    ++world->failed_in_row[worker] < FAILURES_TO_SET_ASIDE)
			continue;
		world->set_aside[worker] = true;
		set_worker(world, worker);
		plan_world_push(world, world->now_us + SET_ASIDE_US,
				WORLD_PROBE, worker, 0);
	}
	vacate(world, event->index);
	job->state = WORLD_WAITING;
	world->planner->ops->requeue(world->planner, event->index + 1,
				     world->now_us + FAIL_BACK_OFF_US,
				     world->now_us);
}

/*
 * A worker that was set aside is tried again: one more failure is enough.
 */
static void probe(struct plan_world *world, uint32_t worker)
{
	world->set_aside[worker] = false;
	world->failed_in_row[worker] =
		world->failing[worker] ? FAILURES_TO_SET_ASIDE - 1 : 0;
	set_worker(world, worker);
}

/*
 * Make a planner as a new instance would have it.
 */
static void make_planner(struct plan_world *world)
{
	world->planner = world->options.maker->make(world->mem);
	world->planner->ops->configure(world->planner, &world->stream->config,
				       STREAM_DOMAIN, world->now_us);
	for (uint32_t i = 0; i < STREAM_WORKERS; i++)
		set_worker(world, i);
}

/*
 * A new instance takes over: it adopts what runs and is given what waits.
 */
static void instance_back(struct plan_world *world)
{
	world->instance_down = false;
	world->planner->ops->finish(world->planner);
	make_planner(world);
	for (uint32_t i = 0; i < world->stream->count; i++) {
		struct world_job *job = &world->jobs[i];

		if (job->state == WORLD_RUNNING)
			world->planner->ops->adopt(
				world->planner, &truth_of(world, i)->plan,
				job->members, job->member_count, world->now_us);
		else if (job->state == WORLD_WAITING)
			submit(world, i);
	}
}

/*
 * Let an event happen.
 */
static void handle(struct plan_world *world, const struct world_event *event)
{
	switch (event->kind) {
	case WORLD_ARRIVE:
		arrive(world, event->index);
		break;
	case WORLD_CANCEL:
		cancel(world, event->index);
		break;
	case WORLD_END:
		end(world, event);
		break;
	case WORLD_FAIL:
		fail(world, event);
		break;
	case WORLD_STOPPED:
		stopped(world, event);
		break;
	case WORLD_WORKERS_FAIL:
		world->failing[3] = true;
		world->failing[9] = true;
		break;
	case WORLD_WORKERS_MEND:
		memset(world->failing, 0, sizeof(world->failing));
		break;
	case WORLD_PROBE:
		probe(world, event->index);
		break;
	case WORLD_INSTANCE_LOST:
		world->instance_down = true;
		break;
	case WORLD_INSTANCE_BACK:
		instance_back(world);
		break;
	case WORLD_WAKE:
		break;
	}
}

/*
 * Carry out a START: whole gang or nothing, and no worker over its size.
 */
static void carry_start(struct plan_world *world,
			const struct rj_decision *decision)
{
	uint32_t index = (uint32_t)decision->job_id - 1;
	const struct stream_job *truth = truth_of(world, index);
	const struct rj_shape *shape = &truth->plan.shape;
	struct world_job *job = &world->jobs[index];
	bool fails = false;
	uint32_t tasks = 0;

	g_assert_cmpint(job->state, ==, WORLD_WAITING);
	for (uint32_t i = 0; i < decision->member_count; i++) {
		const struct rj_plan_member *member = &decision->members[i];
		struct rj_resources *taken = &world->taken[member->worker];

		tasks += member->tasks;
		rj_resources_add(taken, &shape->each, member->tasks);
		g_assert_true(
			rj_resources_fit(taken, &world->stream->domain.worker));
		if (shape->adjacent)
			g_assert_cmpuint(member->worker / STREAM_RACK_WORKERS,
					 ==,
					 decision->members[0].worker /
						 STREAM_RACK_WORKERS);
		fails |= world->failing[member->worker];
	}
	g_assert_cmpuint(tasks, ==, shape->tasks);
	job->members =
		talloc_memdup(world->mem, decision->members,
			      sizeof(*job->members) * decision->member_count);
	job->member_count = decision->member_count;
	job->state = WORLD_RUNNING;
	job->attempt++;
	job->started_us = world->now_us;
	if (job->first_us == RJ_NEVER_US && job->due) {
		uint64_t wait_us = world->now_us - truth->plan.queued_us;
		uint64_t limit_us =
			world->stream->config.limits.checkpoint_limit_ms *
				RJ_US_PER_MS +
			LATE_US;
		double wait_s = (double)wait_us / RJ_US_PER_S;

		world->result->guaranteed_late += wait_us > limit_us;
		world->result->guaranteed_wait_max_s =
			MAX(world->result->guaranteed_wait_max_s, wait_s);
	}
	job->first_us = MIN(job->first_us, world->now_us);
	world->busy += (uint64_t)size_of(truth);
	plan_world_push(world, world->now_us + (fails ? FAIL_US : job->left_us),
			fails ? WORLD_FAIL : WORLD_END, index, job->attempt);
}

/*
 * Carry out a RECLAIM: only what can be stopped, and only once.
 */
static void carry_reclaim(struct plan_world *world,
			  const struct rj_decision *decision)
{
	uint32_t index = (uint32_t)decision->job_id - 1;
	struct world_job *job = &world->jobs[index];

	g_assert_cmpint(job->state, ==, WORLD_RUNNING);
	g_assert_true(truth_of(world, index)->plan.stoppable);
	g_assert_false(job->stopping);
	job->stopping = true;
	world->result->reclaims++;
	plan_world_push(world,
			world->now_us + (decision->checkpoint ? CHECKPOINT_US :
								STOP_US),
			WORLD_STOPPED, index, job->attempt);
}

/*
 * Let the planner decide, and carry it out.
 */
static void pass(struct plan_world *world)
{
	uint64_t wake_us;

	if (world->instance_down)
		return;
	rj_decisions_clear(&world->decisions);
	world->planner->ops->pass(world->planner, world->now_us,
				  &world->decisions);
	for (uint32_t i = 0; i < world->decisions.count; i++) {
		const struct rj_decision *decision = &world->decisions.list[i];

		if (decision->kind == RJ_DECISION_START)
			carry_start(world, decision);
		else if (decision->kind == RJ_DECISION_RECLAIM)
			carry_reclaim(world, decision);
		else
			count_refusal(world, (uint32_t)decision->job_id - 1);
	}
	if (world->options.check)
		world->options.check(world);
	wake_us = world->planner->ops->wake_us(world->planner);
	g_assert_cmpuint(wake_us, >, world->now_us);
	if (wake_us >= world->wake_at_us && world->wake_at_us > world->now_us)
		return;
	world->wake_at_us = wake_us;
	if (wake_us != RJ_NEVER_US)
		plan_world_push(world, wake_us, WORLD_WAKE, 0, 0);
}

/*
 * Account for the time until `until_us`, in which nothing happens.
 */
static void elapse(struct plan_world *world, uint64_t until_us)
{
	uint64_t from_us = MIN(world->now_us, world->stream->horizon_us);
	double time_s =
		(double)(MIN(until_us, world->stream->horizon_us) - from_us) /
		RJ_US_PER_S;
	struct rj_plan_view view;

	if (time_s <= 0)
		return;
	world->busy_s += time_s * (double)world->busy;
	world->planner->ops->view(world->planner, world->now_us, &view);
	if (!view.largest_waiting)
		return;
	world->waiting_s += time_s;
	if (view.accelerators_free)
		world->stranded_s += time_s * view.accelerators_stranded /
				     view.accelerators_free;
}

/*
 * The median, p95 and p99 of the samples.
 */
static void quantiles(GArray *samples, double values[PLAN_QUANTILE_COUNT])
{
	static const double shares[PLAN_QUANTILE_COUNT] = { 0.5, 0.95, 0.99 };

	for (uint32_t i = 0; i < PLAN_QUANTILE_COUNT; i++)
		values[i] = quantile_of((double *)samples->data, samples->len,
					shares[i]);
}

/*
 * Make the world at its first moment, with all arrivals and faults to come.
 */
static void world_init(struct plan_world *world,
		       const struct plan_stream *stream,
		       const struct plan_world_options *options,
		       struct plan_result *result)
{
	uint64_t horizon_us = stream->horizon_us;

	memset(world, 0, sizeof(*world));
	memset(result, 0, sizeof(*result));
	world->mem = talloc_new(NULL);
	world->stream = stream;
	world->options = *options;
	world->result = result;
	world->wake_at_us = RJ_NEVER_US;
	world->events = g_array_new(FALSE, FALSE, sizeof(struct world_event));
	world->gang_waits = g_array_new(FALSE, FALSE, sizeof(double));
	for (uint32_t i = 0; i < STREAM_CLASSES; i++)
		for (uint32_t j = 0; j <= STREAM_ACCOUNTS; j++)
			world->completions[i][j] =
				g_array_new(FALSE, FALSE, sizeof(double));
	world->jobs =
		talloc_zero_array(world->mem, struct world_job, stream->count);
	for (uint32_t i = 0; i < stream->count; i++) {
		world->jobs[i].first_us = RJ_NEVER_US;
		world->jobs[i].left_us = stream->jobs[i].run_us;
		plan_world_push(world, stream->jobs[i].plan.queued_us,
				WORLD_ARRIVE, i, 0);
	}
	rj_decisions_init(&world->decisions, world->mem);
	make_planner(world);
	if (stream->load == STREAM_FAILING_WORKERS) {
		plan_world_push(world, horizon_us / 3, WORLD_WORKERS_FAIL, 0,
				0);
		plan_world_push(world, horizon_us / 3 * 2, WORLD_WORKERS_MEND,
				0, 0);
	}
	if (stream->load == STREAM_INSTANCE_LOST) {
		plan_world_push(world, horizon_us / 2, WORLD_INSTANCE_LOST, 0,
				0);
		plan_world_push(world, horizon_us / 2 + INSTANCE_GAP_US,
				WORLD_INSTANCE_BACK, 0, 0);
	}
}

/*
 * Write the result, and free the world.
 */
static void world_finish(struct plan_world *world)
{
	struct plan_result *result = world->result;
	double all_s =
		STREAM_WORKERS * 8.0 * world->stream->horizon_us / RJ_US_PER_S;

	for (uint32_t i = 0; i < STREAM_CLASSES; i++)
		for (uint32_t j = 0; j <= STREAM_ACCOUNTS; j++) {
			result->count[i][j] = world->completions[i][j]->len;
			quantiles(world->completions[i][j],
				  result->completion_s[i][j]);
			g_array_free(world->completions[i][j], TRUE);
		}
	quantiles(world->gang_waits, result->gang_wait_s);
	result->fragmentation =
		world->stranded_s * RJ_US_PER_S / world->stream->horizon_us;
	result->fragmentation_waiting =
		world->waiting_s > 0 ? world->stranded_s / world->waiting_s : 0;
	result->utilisation = (world->busy_s - world->lost_s) / all_s;
	result->lost_share =
		world->busy_s > 0 ? world->lost_s / world->busy_s : 0;
	g_array_free(world->gang_waits, TRUE);
	g_array_free(world->events, TRUE);
	rj_decisions_finish(&world->decisions);
	world->planner->ops->finish(world->planner);
	talloc_free(world->mem);
}

/*
 * Run the planner over the stream until all jobs are over, or it is given up.
 */
void plan_world_run(const struct plan_stream *stream,
		    const struct plan_world_options *options,
		    struct plan_result *result)
{
	struct plan_world world;

	world_init(&world, stream, options, result);
	while (world.events->len) {
		struct world_event event = plan_world_pop(&world);

		if (event.at_us > give_up_us(&world))
			break;
		elapse(&world, event.at_us);
		world.now_us = event.at_us;
		handle(&world, &event);
		if (!world.events->len ||
		    plan_world_event(&world, 0)->at_us > world.now_us)
			pass(&world);
	}
	for (uint32_t i = 0; i < stream->count; i++)
		if (world.jobs[i].state != WORLD_OVER)
			count_end(&world, i, give_up_us(&world));
	world_finish(&world);
}
