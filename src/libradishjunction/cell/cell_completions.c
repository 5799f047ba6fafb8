#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_admission_forecast.h"
#include "private/cell_owner.h"
#include "private/cell_progress.h"
#include "private/cell_run_pace.h"
#include "private/cell_worker_evidence.h"
#include "private/log_event.h"

const char *const rj_cell_completion_string[RJ_CELL_COMPLETION_COUNT] = {
	[RJ_CELL_COMPLETION_DONE] = "done",
	[RJ_CELL_COMPLETION_FAILED] = "failed",
	[RJ_CELL_COMPLETION_STOPPED] = "stopped",
	[RJ_CELL_COMPLETION_EXPIRED] = "lapsed",
	[RJ_CELL_COMPLETION_GANG_BROKEN] = "broken",
	[RJ_CELL_COMPLETION_GANG_INCOMPLETE] = "alone",
	[RJ_CELL_COMPLETION_LOST] = "lost",
};

/* Delay before a failed task starts again, per failure so far, to spare a
 * worker or a store with a brief fault. */
#define FAILURE_BACKOFF_US (50 * RJ_US_PER_MS)
/* A perpetual task fails any number of times, and has to run again soon. */
#define FAILURE_BACKOFF_MAX_US (2 * RJ_US_PER_S)
/*
 * Number of failures in a row after which a worker gets no work for a while. A
 * worker that fails everything it starts would otherwise use up the attempts of
 * every job. On a healthy worker even two in a row are rare, and three very
 * rare, as at most a twentieth of tasks fail by themselves.
 */
#define FAILURE_STREAK_MAX 2
#define SUSPECT_PERIOD_US (6 * RJ_US_PER_S)
/* A single early failure leads to this shorter pause. */
#define SUSPECT_EARLY_PERIOD_US (2 * RJ_US_PER_S)
/* How long a task avoids the worker of its last failure: less than the 3 s
 * within which idle capacity has to be used once conditions are stable. */
#define AVOID_PERIOD_US (2 * RJ_US_PER_S)
/* Added to the time in which all members of a gang end, as workers end runs
 * only at intervals. */
#define GANG_END_SLACK_US (50 * RJ_US_PER_MS)

/*
 * Marks a run as to be stopped; the order is sent with the next tick. A run
 * whose start has not been ordered yet is freed at once.
 */
void rj_cell_completions_stop_run(struct rj_cell_owner *owner,
				  struct rj_cell_run *run, const char *reason)
{
	if (run->state == RJ_CELL_RUN_STOPPING)
		return;
	if (run->state == RJ_CELL_RUN_INTENDED) {
		rj_cell_owner_mark_dirty(owner, run->task->occurrence->job);
		rj_cell_run_free(run);
		return;
	}
	run->state = RJ_CELL_RUN_STOPPING;
	run->reason = reason;
	run->settled_us = 0;
	run->order_tries = 0;
	rj_cell_run_schedule_order(run, owner->now_us);
}

static void stop_task(struct rj_cell_owner *owner, struct rj_cell_task *task,
		      const char *reason)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &task->runs)
		rj_cell_completions_stop_run(
			owner, RJ_CONTAINER(at, struct rj_cell_run, in_task),
			reason);
}

/* Argument of stop_run_of_job. */
struct job_stop {
	struct rj_cell_owner *owner;
	const char *reason;
};

static void stop_run_of_job(struct rj_cell_run *run, void *private_data)
{
	const struct job_stop *stop = private_data;

	rj_cell_completions_stop_run(stop->owner, run, stop->reason);
}

/*
 * Stops all runs of a job; the state of the job stays as it is.
 */
void rj_cell_completions_stop_job(struct rj_cell_owner *owner,
				  struct rj_cell_job *job, const char *reason)
{
	struct job_stop stop = { owner, reason };

	rj_cell_job_each_run(job, stop_run_of_job, &stop);
}

/*
 * Ends a job as `state`, unless it has ended already, and stops its remaining
 * runs unless it completed.
 */
void rj_cell_completions_close_job(struct rj_cell_owner *owner,
				   struct rj_cell_job *job,
				   enum rj_cell_job_state state)
{
	if (job->state >= RJ_CELL_JOB_COMPLETED)
		return;
	job->state = state;
	if (state == RJ_CELL_JOB_COMPLETED)
		owner->counters.completed++;
	if (state == RJ_CELL_JOB_FAILED)
		owner->counters.failed++;
	rj_log_event(
		"job_end", RJ_LOG_TEXT("job", job->job_spec->id),
		RJ_LOG_TEXT("account", job->job_spec->account),
		RJ_LOG_TEXT("state", rj_cell_job_state_string[state]),
		RJ_LOG_AGE_MS("after_ms", owner->now_us - job->accepted_us),
		RJ_LOG_AGE_MS("objective_ms",
			      job->objective_us - job->accepted_us),
		RJ_LOG_AGE_MS("began_ms",
			      job->first_start_us ?
				      job->first_start_us - job->accepted_us :
				      RJ_NEVER_US),
		RJ_LOG_AGE_MS("all_began_ms",
			      job->begun_us ? job->begun_us - job->accepted_us :
					      RJ_NEVER_US),
		RJ_LOG_NUMBER("runs_lost", job->runs_lost),
		RJ_LOG_NUMBER("split", job->split));
	if (state != RJ_CELL_JOB_COMPLETED)
		rj_cell_completions_stop_job(owner, job,
					     rj_cell_job_state_string[state]);
	rj_cell_owner_mark_dirty(owner, job);
}

/*
 * Begins the due occurrences of a job: all whose time has come and for whose
 * progress the job's record has room, or the only one of a job that is not
 * repeated.
 */
void rj_cell_completions_begin_occurrences(struct rj_cell_owner *owner,
					   struct rj_cell_job *job)
{
	const struct rj_cell_job_spec *spec = job->job_spec;
	uint32_t occurrence_count = spec->repeats ? spec->repeats : 1;

	while (job->occurrences_begun < occurrence_count &&
	       (!spec->repeats ||
		owner->wall_ms >=
			spec->first_run_ms +
				job->occurrences_begun * spec->interval_ms) &&
	       rj_cell_progress_has_room(job, owner->limits.record_max_bytes)) {
		rj_cell_job_begin_occurrence(job, job->occurrences_begun);
		owner->plan_wanted = true;
	}
}

/* Whether an occurrence has no runs left. */
static bool has_no_runs(const struct rj_cell_occurrence *occurrence)
{
	for (uint32_t i = 0; i < occurrence->job->job_spec->task_count; i++)
		if (occurrence->tasks[i].runs.next !=
		    &occurrence->tasks[i].runs)
			return false;
	return true;
}

/*
 * Handles an occurrence of which all tasks are done, and completes the job
 * after its last one. Runs that are still listed, such as gang members whose
 * end has not been seen yet, keep the occurrence in memory.
 */
static void finish_occurrence(struct rj_cell_owner *owner,
			      struct rj_cell_occurrence *occurrence)
{
	struct rj_cell_job *job = occurrence->job;
	uint32_t occurrence_count =
		job->job_spec->repeats ? job->job_spec->repeats : 1;

	if (!occurrence->closed) {
		occurrence->closed = true;
		job->occurrences_done++;
		if (job->occurrences_done >= occurrence_count)
			rj_cell_completions_close_job(owner, job,
						      RJ_CELL_JOB_COMPLETED);
	}
	if (has_no_runs(occurrence))
		rj_cell_occurrence_free(occurrence);
}

/* Marks a task as done, or its whole gang. */
static void mark_done(struct rj_cell_owner *owner, struct rj_cell_task *task)
{
	const struct rj_cell_step *step = rj_cell_task_step(task);
	struct rj_cell_task *first = rj_cell_task_head(task);
	uint32_t count = step->gang ? step->task_count : 1;

	if (step->perpetual)
		return;
	for (uint32_t i = 0; i < count; i++)
		if (!first[i].done)
			rj_cell_task_complete(&first[i]);
	/* Gang members end by themselves; speculative copies do not. */
	if (!step->gang)
		stop_task(owner, task, "copy_done");
}

/* Records the checkpoint of a run for its task, or for its whole gang. */
static void record_checkpoint(struct rj_cell_task *task, const char *saved)
{
	const struct rj_cell_step *step = rj_cell_task_step(task);
	struct rj_cell_task *first = rj_cell_task_head(task);
	uint32_t count = step->gang ? step->task_count : 1;

	if (!saved || !step->checkpoints)
		return;
	for (uint32_t i = 0; i < count; i++)
		rj_cell_task_set_checkpoint(&first[i], saved);
}

/*
 * Keeps a task off the worker on which it failed or stalled.
 *
 * This ends after a while, so that a task does not wait for ever if no other
 * worker can run it.
 */
void rj_cell_completions_avoid_worker(struct rj_cell_owner *owner,
				      struct rj_cell_task *task,
				      const struct rj_cell_worker *worker)
{
	g_strlcpy(task->avoid, worker->id, sizeof(task->avoid));
	task->avoid_until_us = owner->now_us + AVOID_PERIOD_US;
}

/* Records a failed run: the task is tried again on another worker, or the job
 * fails. */
static void record_failure(struct rj_cell_owner *owner,
			   struct rj_cell_task *task,
			   const struct rj_cell_run *run)
{
	const struct rj_cell_step *step = rj_cell_task_step(task);
	struct rj_cell_task *head = rj_cell_task_head(task);
	struct rj_cell_job *job = task->occurrence->job;
	bool further = rj_cell_task_add_failed_run(head, run->number);

	head->failures += further;
	rj_log_event("run_failed", RJ_LOG_TEXT("task", run->name),
		     RJ_LOG_NUMBER("run", run->number),
		     RJ_LOG_NUMBER("further", further),
		     RJ_LOG_NUMBER("failures", head->failures),
		     RJ_LOG_NUMBER("unreported", head->unreported),
		     RJ_LOG_NUMBER("attempts", job->job_spec->attempts_max));
	rj_cell_completions_avoid_worker(owner, task, run->worker);
	/* A gang starts again once this has passed for all of its members. */
	task->not_before_us =
		owner->now_us + MIN(FAILURE_BACKOFF_US * head->failures,
				    FAILURE_BACKOFF_MAX_US);
	if (!step->perpetual && head->failures >= job->job_spec->attempts_max)
		rj_cell_completions_close_job(owner, job, RJ_CELL_JOB_FAILED);
}

/* Updates the failure streak of a worker from the completion of a run there,
 * and marks the worker as suspect if needed. A perpetual run may fail at any
 * time and never ends well, so that only its early failure tells of the worker;
 * see rj_cell_run_health_update for the end of a streak. */
static void update_worker_health(struct rj_cell_owner *owner,
				 const struct rj_cell_run *run,
				 enum rj_cell_completion end)
{
	struct rj_cell_worker *worker = run->worker;
	bool early = run->placed_us && !run->adopted &&
		     rj_cell_failure_is_early(owner->now_us - run->placed_us);

	if (end == RJ_CELL_COMPLETION_DONE)
		worker->bad_streak = 0;
	if (end != RJ_CELL_COMPLETION_FAILED ||
	    (!early && rj_cell_task_step(run->task)->perpetual))
		return;
	worker->bad_streak++;
	worker->failed_us = owner->now_us;
	if (early)
		rj_cell_failure_record_early(&owner->failure_burst,
					     owner->now_us);
	if (!early && worker->bad_streak < FAILURE_STREAK_MAX)
		return;
	if (owner->now_us >= worker->suspect_until_us)
		rj_log_event(
			"worker_suspect", RJ_LOG_TEXT("worker", worker->id),
			RJ_LOG_TEXT("why", early ? "failed_early" : "failures"),
			RJ_LOG_NUMBER("streak", worker->bad_streak));
	worker->suspect_until_us =
		owner->now_us + (worker->bad_streak < FAILURE_STREAK_MAX ?
					 SUSPECT_EARLY_PERIOD_US :
					 SUSPECT_PERIOD_US);
}

/* Stops the other members of a gang of which one has ended without success. */
static void stop_gang(struct rj_cell_owner *owner, struct rj_cell_task *task)
{
	struct rj_cell_task *head = rj_cell_task_head(task);

	for (uint32_t i = 0; i < rj_cell_task_step(task)->task_count; i++)
		stop_task(owner, &head[i], "gang_broken");
}

/* Whether a run is known to have started. A start that was never answered may
 * still arrive at its worker. */
static bool is_known_started(const struct rj_cell_run *run)
{
	return run->placed_us && (!run->adopted || run->listed_us);
}

/*
 * Whether a completion that a worker lists means that the whole gang has ended.
 * A stop that the owner ordered does not: an incomplete gang does not end with
 * its first member.
 */
static bool ends_whole_gang(enum rj_cell_completion end)
{
	return end == RJ_CELL_COMPLETION_GANG_BROKEN ||
	       end == RJ_CELL_COMPLETION_FAILED;
}

/*
 * Whether a gang may start again although the completions of some members are
 * unknown. Each of them may be a failure, which counts as an attempt once it is
 * reported. The 1 stands for the present run, whose members may count as one
 * more unreported failure.
 */
static bool has_attempts_left(const struct rj_cell_task *head)
{
	return rj_cell_task_step(head)->perpetual ||
	       head->failures + head->unreported + 1 <
		       head->occurrence->job->job_spec->attempts_max;
}

/*
 * Expects all members of a gang to end within the time of a stop, after a
 * worker has listed the gang's end. Members on unreachable workers then count
 * as ended.
 *
 * Otherwise gangs with members on crashed workers would wait for the leases of
 * these to expire.
 */
static void expect_gang_end(struct rj_cell_owner *owner,
			    struct rj_cell_task *task)
{
	struct rj_cell_task *head = rj_cell_task_head(task);
	uint64_t gang_end_us =
		owner->limits.stop_ms * RJ_US_PER_MS + GANG_END_SLACK_US;

	if (!has_attempts_left(head))
		return;
	for (uint32_t i = 0; i < rj_cell_task_step(task)->task_count; i++) {
		struct rj_list *at;
		struct rj_list *next;

		RJ_FOR_EACH (at, next, &head[i].runs) {
			struct rj_cell_run *run =
				RJ_CONTAINER(at, struct rj_cell_run, in_task);

			if (is_known_started(run) && !run->ended_by_us)
				run->ended_by_us = owner->now_us + gang_end_us;
		}
	}
}

/* Ends a run on an unreachable worker after the run's gang has ended. The
 * completion of the run counts as unreported. */
static void lose_unreported_run(struct rj_cell_owner *owner,
				struct rj_cell_run *run)
{
	struct rj_cell_task *head = rj_cell_task_head(run->task);

	/* Members of one run count as one failure at most. */
	if (head->unreported_run != run->number &&
	    !rj_cell_task_has_failed_in(head, run->number))
		head->unreported++;
	head->unreported_run = run->number;
	head->unreported_until_us =
		MAX(head->unreported_until_us, run->worker->lease_expired_us);
	rj_cell_lease_bounds_expect_unreported(&owner->leases,
					       head->unreported_until_us);
	run->reason = "gang_over";
	rj_cell_completions_apply(owner, run, RJ_CELL_COMPLETION_LOST, NULL);
}

/*
 * Ends those runs of an unreachable worker whose gangs have ended.
 */
void rj_cell_completions_end_gang_runs(struct rj_cell_owner *owner,
				       struct rj_cell_worker *worker)
{
	struct rj_list *at = worker->runs.next;

	while (at != &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		at = at->next;
		if (!run->ended_by_us || owner->now_us < run->ended_by_us)
			continue;
		lose_unreported_run(owner, run);
		/* Other members of its gang may have been freed too. */
		at = worker->runs.next;
	}
}

/*
 * Applies the completion of a run to its task and its job, and frees the run.
 * The changes must be stored before the completion is acknowledged to the
 * worker.
 */
void rj_cell_completions_apply(struct rj_cell_owner *owner,
			       struct rj_cell_run *run,
			       enum rj_cell_completion end, const char *saved)
{
	struct rj_cell_task *task = run->task;
	struct rj_cell_worker *worker = run->worker;
	struct rj_cell_job *job;
	struct rj_cell_occurrence *occurrence;

	owner->counters.completions[end]++;
	owner->plan_wanted = true;
	rj_log_event(
		"run_end", RJ_LOG_TEXT("task", run->name),
		RJ_LOG_NUMBER("run", run->number),
		RJ_LOG_TEXT("worker", worker->id),
		RJ_LOG_TEXT("end", rj_cell_completion_string[end]),
		RJ_LOG_TEXT("why", run->reason),
		RJ_LOG_AGE_MS("ran_ms", run->placed_us ?
						owner->now_us - run->placed_us :
						0));
	if (!task) {
		rj_cell_run_free(run);
		return;
	}
	/*
	 * Prevents a double free: if the job ends below, all of its runs are
	 * stopped, which frees those that are only intended. This run may be
	 * one of these, as an owner that does not know yet that it was fenced
	 * may see the completion of a run of its successor under the number of
	 * a run that it only intended.
	 */
	run->state = RJ_CELL_RUN_STOPPING;
	update_worker_health(owner, run, end);
	rj_cell_worker_evidence_run_ended(owner, run, end);
	occurrence = task->occurrence;
	job = occurrence->job;
	/* The answer to its start may still be on its way. */
	if (end != RJ_CELL_COMPLETION_LOST)
		rj_cell_task_set_begun(task, owner->now_us);
	job->runs_lost += end != RJ_CELL_COMPLETION_DONE;
	rj_cell_admission_forecast_observe_end(owner, run, end);
	record_checkpoint(task, saved && saved[0] ? saved : run->saved);
	if (end == RJ_CELL_COMPLETION_DONE && run->placed_us && !run->adopted &&
	    !run->checkpoint)
		rj_cell_forecast_record_run(&owner->forecast,
					    job->job_spec->queue,
					    owner->now_us - run->placed_us);
	if (job->state < RJ_CELL_JOB_COMPLETED && !task->done) {
		if (end == RJ_CELL_COMPLETION_DONE) {
			rj_cell_run_pace_learn(owner, run);
			mark_done(owner, task);
		} else if (end == RJ_CELL_COMPLETION_FAILED)
			record_failure(owner, task, run);
		else
			task->losses++;
		/* The next plan for which the task is ready sets it again. */
		task->waiting_us = 0;
	}
	rj_cell_run_free(run);
	if (end != RJ_CELL_COMPLETION_DONE && rj_cell_task_step(task)->gang &&
	    !task->done) {
		stop_gang(owner, task);
		if (ends_whole_gang(end))
			expect_gang_end(owner, task);
	}
	rj_cell_owner_mark_dirty(owner, job);
	if (!occurrence->steps_left)
		finish_occurrence(owner, occurrence);
}

/* Whether a completion of an abandoned run completes its task: the run ended
 * well while its worker was unreachable, and the task has been started again
 * since. */
static bool completes_task(const struct rj_cell_task *task,
			   const struct rj_cell_completion_report *row)
{
	return task && row->end == RJ_CELL_COMPLETION_DONE && !task->done &&
	       row->number <= task->run &&
	       !rj_cell_task_step(task)->perpetual &&
	       task->occurrence->job->state < RJ_CELL_JOB_COMPLETED;
}

/* Counts a failure of a run that was assumed to have ended with its gang. */
static void
count_unreported_failure(struct rj_cell_owner *owner, struct rj_cell_task *task,
			 const struct rj_cell_completion_report *row)
{
	struct rj_cell_task *head = task ? rj_cell_task_head(task) : NULL;
	struct rj_cell_job *job;

	if (!head || row->end != RJ_CELL_COMPLETION_FAILED ||
	    !head->unreported ||
	    !rj_cell_task_add_failed_run(head, row->number))
		return;
	head->unreported--;
	head->failures++;
	job = head->occurrence->job;
	if (!rj_cell_task_step(head)->perpetual &&
	    head->failures >= job->job_spec->attempts_max)
		rj_cell_completions_close_job(owner, job, RJ_CELL_JOB_FAILED);
	rj_cell_owner_mark_dirty(owner, job);
}

/*
 * Applies a completion whose run is not known at the worker: the run was
 * abandoned when the worker's lease expired or its gang ended, or was never
 * known. A task that ended well is done, and its newer runs are stopped. Of the
 * other completions only failures count.
 */
void rj_cell_completions_apply_orphan(
	struct rj_cell_owner *owner, const char *worker,
	const struct rj_cell_completion_report *row)
{
	struct rj_cell_task *task =
		rj_cell_owner_find_task(owner, row->name, NULL);
	struct rj_cell_occurrence *occurrence;

	rj_log_event("orphan_end", RJ_LOG_TEXT("task", row->name),
		     RJ_LOG_NUMBER("run", row->number),
		     RJ_LOG_TEXT("worker", worker),
		     RJ_LOG_TEXT("end", rj_cell_completion_string[row->end]));
	count_unreported_failure(owner, task, row);
	if (!completes_task(task, row))
		return;
	occurrence = task->occurrence;
	mark_done(owner, task);
	if (rj_cell_task_step(task)->gang)
		stop_gang(owner, task);
	rj_cell_owner_mark_dirty(owner, occurrence->job);
	if (!occurrence->steps_left)
		finish_occurrence(owner, occurrence);
}
