#include "private/cell_run_health.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_calls.h"
#include "private/cell_run_pace.h"
#include "private/log_event.h"

/*
 * A run that reports no progress for this long is stalled; or for as long as a
 * percent takes at a seventh of the usual speed, if that is longer. Where
 * nothing is known of a task's run time, it may be hours.
 */
#define STALL_TIMEOUT_US (3 * RJ_US_PER_S)
#define STALL_SLOWDOWN 7
#define STALL_UNKNOWN_TIMEOUT_US (60 * RJ_US_PER_S)
/* A task that has stalled this often, each time on another worker, is itself the
 * cause, as its estimate may be too low. From then on the timeout doubles with
 * each stall, up to so many times, so that the task ends after all. */
#define STALLS_BY_WORKERS_MAX 2
#define STALL_DOUBLINGS_MAX 12
/*
 * How long a run may exceed its latency target before the batch runs on its
 * worker, those without a latency target, are stopped. A target may be exceeded
 * for 4 s at a time. Of these a stop takes up to half a second, and the latency
 * that the worker reports covers its last half second.
 */
#define SLOW_TIMEOUT_US (1500 * RJ_US_PER_MS)
/* After that no batch run is placed on the worker for this long. */
#define EXCLUSIVE_PERIOD_US (20 * RJ_US_PER_S)
/* A worker on which a run stalled gets no new work for this long. */
#define STALL_SUSPECT_PERIOD_US (6 * RJ_US_PER_S)

/* Estimates when an adopted run began, from its progress and forecast
 * duration. */
static uint64_t estimate_begin_us(const struct rj_cell_owner *owner,
				  const struct rj_cell_run *run,
				  uint32_t percent)
{
	uint64_t ran_us;

	if (!run->task)
		return owner->now_us;
	ran_us = rj_cell_forecast_task_ms(&owner->forecast,
					  run->task->occurrence->job->job_spec,
					  run->task->step) *
		 RJ_US_PER_MS * percent / RJ_CELL_PERCENT_ALL;
	return owner->now_us > ran_us ? owner->now_us - ran_us : 0;
}

/* Updates the health of a worker from a run that it lists. */
static void update_worker_health(const struct rj_cell_owner *owner,
				 const struct rj_cell_run *run)
{
	struct rj_cell_worker *worker = run->worker;

	if (run->adopted ||
	    rj_cell_failure_is_early(owner->now_us - run->placed_us))
		return;
	worker->healthy_us = MAX(worker->healthy_us, run->placed_us);
	if (run->task && rj_cell_task_step(run->task)->perpetual &&
	    run->percent >= RJ_CELL_PERCENT_ALL &&
	    run->placed_us > worker->failed_us)
		worker->bad_streak = 0;
}

/*
 * Updates a run from the row in which its worker lists it: state, progress,
 * checkpoint, and since when it has exceeded its latency target. A perpetual run
 * that is at work, and has begun after the last failure, ends the failure streak
 * of its worker.
 */
void rj_cell_run_health_update(struct rj_cell_owner *owner,
			       struct rj_cell_run *run,
			       const struct rj_cell_run_report *row)
{
	if (run->state == RJ_CELL_RUN_PLACED ||
	    run->state == RJ_CELL_RUN_STARTING) {
		run->state = RJ_CELL_RUN_LISTED;
		run->progress_us = owner->now_us;
		if (!run->placed_us)
			run->placed_us = owner->now_us;
		if (run->task)
			rj_cell_task_set_begun(run->task, owner->now_us);
		if (run->adopted)
			run->placed_us =
				estimate_begin_us(owner, run, row->percent);
	}
	run->incarnation = run->worker->incarnation;
	/* A checkpoint is saved after some work, whatever the percentage. */
	if (row->percent != run->percent || !run->progress_us ||
	    strcmp(run->saved ? run->saved : "", row->saved) != 0)
		run->progress_us = owner->now_us;
	run->percent = row->percent;
	update_worker_health(owner, run);
	rj_cell_run_pace_report(run, owner->now_us);
	run->listed_us = owner->now_us;
	if (!rj_cell_run_has_latency_target(run) ||
	    row->measurement <= rj_cell_task_step(run->task)->target_ms)
		run->slow_us = 0;
	else if (!run->slow_us)
		run->slow_us = owner->now_us;
	if (!run->saved || strcmp(run->saved, row->saved) != 0) {
		TALLOC_FREE(run->saved);
		if (row->saved[0])
			run->saved = talloc_strdup(run, row->saved);
	}
}

/* Whether a run may stop making progress: a finished gang member waits for the
 * others, and a perpetual run has no end. */
static bool may_stall(const struct rj_cell_run *run)
{
	const struct rj_cell_step *step = rj_cell_task_step(run->task);

	return step->perpetual ||
	       (step->gang && run->percent >= RJ_CELL_PERCENT_ALL);
}

/* Returns how long a run may report no progress: percentages are whole numbers,
 * and one of them may take minutes. */
static uint64_t stall_timeout_us(const struct rj_cell_owner *owner,
				 const struct rj_cell_run *run)
{
	const struct rj_cell_task *task = run->task;
	uint64_t task_ms =
		MAX(rj_cell_forecast_task_ms(&owner->forecast,
					     task->occurrence->job->job_spec,
					     task->step),
		    rj_cell_task_step(task)->estimate_ms);
	uint64_t percent_us = task_ms * RJ_US_PER_MS / RJ_CELL_PERCENT_ALL;
	uint64_t timeout_us =
		task_ms ? MAX(STALL_TIMEOUT_US, percent_us * STALL_SLOWDOWN) :
			  STALL_UNKNOWN_TIMEOUT_US;

	return timeout_us << MIN(
		       task->stalls - MIN(task->stalls, STALLS_BY_WORKERS_MAX),
		       STALL_DOUBLINGS_MAX);
}

/* Stops a stalled run. Its worker gets no new work for a while, unless the task
 * is the cause, or uses only what others leave unused. */
static void stop_stalled_run(struct rj_cell_owner *owner,
			     struct rj_cell_run *run)
{
	struct rj_cell_worker *worker = run->worker;

	rj_log_event(
		"run_stalled", RJ_LOG_TEXT("task", run->name),
		RJ_LOG_TEXT("worker", worker->id),
		RJ_LOG_NUMBER("percent", run->percent),
		RJ_LOG_AGE_MS("silent_ms", owner->now_us - run->progress_us),
		RJ_LOG_NUMBER("stalls", run->task->stalls));
	if (run->task->stalls < STALLS_BY_WORKERS_MAX &&
	    !rj_cell_task_step(run->task)->scavenges)
		worker->suspect_until_us =
			owner->now_us + STALL_SUSPECT_PERIOD_US;
	run->task->stalls++;
	rj_cell_completions_avoid_worker(owner, run->task, worker);
	rj_cell_completions_stop_run(owner, run, "stalled");
}

static void check_stalls(struct rj_cell_owner *owner,
			 struct rj_cell_worker *worker)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		if (run->state == RJ_CELL_RUN_LISTED && run->task &&
		    !may_stall(run) &&
		    owner->now_us - run->progress_us >=
			    stall_timeout_us(owner, run))
			stop_stalled_run(owner, run);
	}
}

/* Stops the batch runs of a worker, and keeps others away for a time. */
static void stop_batch_runs(struct rj_cell_owner *owner,
			    struct rj_cell_worker *worker)
{
	struct rj_list *at;
	struct rj_list *next;

	worker->exclusive_until_us = owner->now_us + EXCLUSIVE_PERIOD_US;
	RJ_FOR_EACH (at, next, &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		if (!rj_cell_run_has_latency_target(run))
			rj_cell_completions_stop_run(owner, run,
						     "slows_others");
	}
}

/*
 * Stops the batch runs of a worker where a run exceeds its latency target. When
 * the cell is full, both kinds of run share workers; batch work can run
 * elsewhere or later.
 */
static void check_latency_targets(struct rj_cell_owner *owner,
				  struct rj_cell_worker *worker)
{
	struct rj_list *at;
	struct rj_list *next;

	if (!worker->latency_runs || !worker->other_runs)
		return;
	RJ_FOR_EACH (at, next, &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		if (!run->slow_us ||
		    owner->now_us - run->slow_us < SLOW_TIMEOUT_US)
			continue;
		rj_log_event("bound_missed", RJ_LOG_TEXT("task", run->name),
			     RJ_LOG_TEXT("worker", worker->id),
			     RJ_LOG_NUMBER("beside", worker->other_runs));
		stop_batch_runs(owner, worker);
		return;
	}
}

/*
 * Stops runs of a worker that have stalled, and batch runs that slow down runs
 * with a latency target.
 */
void rj_cell_run_health_check(struct rj_cell_owner *owner,
			      struct rj_cell_worker *worker)
{
	check_stalls(owner, worker);
	check_latency_targets(owner, worker);
}
