#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_owner.h"
#include "private/note.h"

const char *const rj_cell_end_string[RJ_CELL_END_COUNT] = {
	[RJ_CELL_END_DONE] = "done",	   [RJ_CELL_END_FAILED] = "failed",
	[RJ_CELL_END_STOPPED] = "stopped", [RJ_CELL_END_LAPSED] = "lapsed",
	[RJ_CELL_END_BROKEN] = "broken",   [RJ_CELL_END_ALONE] = "alone",
	[RJ_CELL_END_LOST] = "lost",
};

/* A task that failed starts again after this, times its failures: a worker
 * or a store that is briefly unwell is left alone meanwhile. */
#define FAILURE_BACKOFF_US (50 * RJ_US_PER_MS)
/*
 * After so many bad ends in a row a worker gets no work for a while: a
 * worker that fails all that it starts would use up the attempts of every
 * job. Three are rare by chance, as a twentieth of tasks fail at most.
 */
#define FAILURE_STREAK_MAX 2
#define SUSPECT_PERIOD_US (6 * RJ_US_PER_S)
/* One early failure is reason enough for a shorter pause. */
#define SUSPECT_EARLY_PERIOD_US (2 * RJ_US_PER_S)
/* A task keeps off the worker of its last trouble for so long: users expect
 * idle capacity to be used within 3 s of calm. */
#define AVOID_PERIOD_US (2 * RJ_US_PER_S)
/* Covers the steps in which workers end runs. */
#define GANG_END_SLACK_US (50 * RJ_US_PER_MS)

/*
 * A stop was decided for a run; the order goes out with the next tick.
 */
void rj_cell_completions_stop_run(struct rj_cell_owner *owner,
				  struct rj_cell_run *run, const char *reason)
{
	if (run->state == RJ_CELL_RUN_STOPPING)
		return;
	/* Nobody has been told of it: there is nothing to stop. */
	if (run->state == RJ_CELL_RUN_INTENDED) {
		rj_cell_owner_mark_dirty(owner, run->task->round->work);
		rj_cell_run_free(run);
		return;
	}
	run->state = RJ_CELL_RUN_STOPPING;
	run->why = reason;
	run->settled_us = 0;
	run->order_tries = 0;
	rj_cell_run_order(run, owner->now_us);
}

/* Stop all runs of one task. */
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

/* What stops a whole job. */
struct job_stop {
	struct rj_cell_owner *owner;
	const char *reason;
};

/* Stop one run of it. */
static void stop_run_of_job(struct rj_cell_run *run, void *private_data)
{
	const struct job_stop *stop = private_data;

	rj_cell_completions_stop_run(stop->owner, run, stop->reason);
}

/*
 * Stop all that runs of a job.
 */
void rj_cell_completions_stop_job(struct rj_cell_owner *owner,
				  struct rj_cell_work *job, const char *reason)
{
	struct job_stop stop = { owner, reason };

	rj_cell_work_each_run(job, stop_run_of_job, &stop);
}

/*
 * A job has ended as `state`: what still runs of it is stopped.
 */
void rj_cell_completions_close_job(struct rj_cell_owner *owner,
				   struct rj_cell_work *job,
				   enum rj_cell_job_state state)
{
	if (job->state >= RJ_CELL_JOB_COMPLETED)
		return;
	job->state = state;
	if (state == RJ_CELL_JOB_COMPLETED)
		owner->counters.completed++;
	if (state == RJ_CELL_JOB_FAILED)
		owner->counters.failed++;
	rj_note("job_end", RJ_NOTE_TEXT("job", job->def->id),
		RJ_NOTE_TEXT("account", job->def->account),
		RJ_NOTE_TEXT("state", rj_cell_job_state_string[state]),
		RJ_NOTE_AGE_MS("after_ms", owner->now_us - job->accepted_us),
		RJ_NOTE_AGE_MS("objective_ms",
			       job->objective_us - job->accepted_us),
		RJ_NOTE_AGE_MS("began_ms",
			       job->began_us ?
				       job->began_us - job->accepted_us :
				       RJ_NEVER_US),
		RJ_NOTE_NUMBER("runs_lost", job->runs_lost),
		RJ_NOTE_NUMBER("split", job->split));
	if (state != RJ_CELL_JOB_COMPLETED)
		rj_cell_completions_stop_job(owner, job,
					     rj_cell_job_state_string[state]);
	rj_cell_owner_mark_dirty(owner, job);
}

/*
 * Begin the occurrences of a job whose time has come.
 */
void rj_cell_completions_begin_occurrences(struct rj_cell_owner *owner,
					   struct rj_cell_work *job)
{
	const struct rj_cell_def *spec = job->def;
	uint32_t occurrence_count = spec->repeats ? spec->repeats : 1;

	while (job->rounds_begun < occurrence_count &&
	       (!spec->repeats ||
		owner->wall_ms >=
			spec->first_run_ms +
				job->rounds_begun * spec->interval_ms)) {
		rj_cell_work_begin_round(job, job->rounds_begun);
		owner->plan_wanted = true;
	}
}

/* Whether nothing of an occurrence is listed by a worker any more. */
static bool has_no_runs(const struct rj_cell_round *occurrence)
{
	for (uint32_t i = 0; i < occurrence->work->def->task_count; i++)
		if (occurrence->tasks[i].runs.next !=
		    &occurrence->tasks[i].runs)
			return false;
	return true;
}

/*
 * All tasks of an occurrence are done; with the last one, the job is. Runs
 * that are still listed, members of a gang whose end is not seen yet, keep
 * the occurrence in memory.
 */
static void finish_occurrence(struct rj_cell_owner *owner,
			      struct rj_cell_round *occurrence)
{
	struct rj_cell_work *job = occurrence->work;
	uint32_t occurrence_count = job->def->repeats ? job->def->repeats : 1;

	if (!occurrence->closed) {
		occurrence->closed = true;
		job->rounds_done++;
		if (job->rounds_done >= occurrence_count)
			rj_cell_completions_close_job(owner, job,
						      RJ_CELL_JOB_COMPLETED);
	}
	if (has_no_runs(occurrence)) {
		rj_list_remove(&occurrence->link);
		talloc_free(occurrence);
	}
}

/* A task has ended well: a gang has as a whole. */
static void mark_done(struct rj_cell_owner *owner, struct rj_cell_task *task)
{
	const struct rj_cell_step *step = rj_cell_task_step(task);
	struct rj_cell_task *first = rj_cell_task_head(task);
	uint32_t count = step->gang ? step->task_count : 1;

	if (step->perpetual)
		return;
	for (uint32_t i = 0; i < count; i++)
		if (!first[i].done)
			rj_cell_round_task_done(&first[i]);
	/* Members of a gang end by themselves; copies have to be stopped. */
	if (!step->gang)
		stop_task(owner, task, "copy_done");
}

/* The saved progress of a run counts for its task, or for its whole gang. */
static void record_checkpoint(struct rj_cell_task *task, const char *saved)
{
	const struct rj_cell_step *step = rj_cell_task_step(task);
	struct rj_cell_task *first = rj_cell_task_head(task);
	uint32_t count = step->gang ? step->task_count : 1;

	if (!saved[0] || !step->checkpoints)
		return;
	for (uint32_t i = 0; i < count; i++)
		g_strlcpy(first[i].checkpoint, saved,
			  sizeof(first[i].checkpoint));
}

/*
 * A task has met with trouble on a worker: it is to go elsewhere.
 *
 * Guards against a task that waits for ever: where the worker is the only one
 * that may run it, it goes there again after a while.
 */
void rj_cell_completions_avoid_worker(struct rj_cell_owner *owner,
				      struct rj_cell_task *task,
				      const struct rj_cell_worker *worker)
{
	g_strlcpy(task->avoid, worker->id, sizeof(task->avoid));
	task->avoid_until_us = owner->now_us + AVOID_PERIOD_US;
}

/* A run failed: the task gets another attempt, elsewhere, or the job ends. */
static void record_failure(struct rj_cell_owner *owner,
			   struct rj_cell_task *task,
			   const struct rj_cell_run *run)
{
	const struct rj_cell_step *step = rj_cell_task_step(task);
	struct rj_cell_task *head = rj_cell_task_head(task);
	struct rj_cell_work *job = task->round->work;

	/* Members that fail in the same run are one failure of the gang. */
	if (head->failed_run != run->number)
		head->failures++;
	head->failed_run = run->number;
	rj_cell_completions_avoid_worker(owner, task, run->worker);
	task->not_before_us =
		owner->now_us + FAILURE_BACKOFF_US * head->failures;
	if (!step->perpetual && head->failures >= job->def->attempts_max)
		rj_cell_completions_close_job(owner, job, RJ_CELL_JOB_FAILED);
}

/* Judge a worker by what has become of a run there. */
static void update_worker_health(struct rj_cell_owner *owner,
				 const struct rj_cell_run *run,
				 enum rj_cell_end end)
{
	struct rj_cell_worker *worker = run->worker;
	bool early = run->begun_us && !run->adopted &&
		     rj_cell_failure_is_early(owner->now_us - run->begun_us);

	if (end == RJ_CELL_END_DONE)
		worker->bad_streak = 0;
	if (end != RJ_CELL_END_FAILED)
		return;
	worker->bad_streak++;
	if (early)
		rj_cell_failure_record_early(&owner->failure_burst,
					     owner->now_us);
	if (!early && worker->bad_streak < FAILURE_STREAK_MAX)
		return;
	if (owner->now_us >= worker->suspect_until_us)
		rj_note("worker_suspect", RJ_NOTE_TEXT("worker", worker->id),
			RJ_NOTE_TEXT("why",
				     early ? "failed_early" : "failures"),
			RJ_NOTE_NUMBER("streak", worker->bad_streak));
	worker->suspect_until_us =
		owner->now_us + (worker->bad_streak < FAILURE_STREAK_MAX ?
					 SUSPECT_EARLY_PERIOD_US :
					 SUSPECT_PERIOD_US);
}

/* The other members of a gang of which one has ended without success. */
static void stop_gang(struct rj_cell_owner *owner, struct rj_cell_task *task)
{
	struct rj_cell_task *head = rj_cell_task_head(task);

	for (uint32_t i = 0; i < rj_cell_task_step(task)->task_count; i++)
		stop_task(owner, &head[i], "gang_broken");
}

/* Whether a run is known to have begun: a start that was never answered may
 * still arrive at its worker. */
static bool is_known_started(const struct rj_cell_run *run)
{
	return run->begun_us && (!run->adopted || run->listed_us);
}

/*
 * Whether an end that a worker lists tells that the whole gang has ended. One
 * that we stopped does not: a gang that is not complete yet does not end with
 * its first member.
 */
static bool ends_whole_gang(enum rj_cell_end end)
{
	return end == RJ_CELL_END_BROKEN || end == RJ_CELL_END_FAILED;
}

/*
 * Whether a gang may start again though the ends of some of its members are
 * not known: each may be a failure, which the users count when they hear of
 * it.
 */
static bool has_attempts_left(const struct rj_cell_task *head)
{
	return rj_cell_task_step(head)->perpetual ||
	       head->failures + head->unseen + 1 <
		       head->round->work->def->attempts_max;
}

/*
 * A worker has listed the end of a gang: its members end with it, as fast as a
 * stop takes, so that those on workers that do not answer have ended by then.
 *
 * Load that it answers: workers that crash with members of many gangs, which
 * would wait for the end of a lease.
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

			if (is_known_started(run) && !run->over_us)
				run->over_us = owner->now_us + gang_end_us;
		}
	}
}

/* A member of a gang that has ended, on a worker that cannot be asked. */
static void lose_unreported_run(struct rj_cell_owner *owner,
				struct rj_cell_run *run)
{
	struct rj_cell_task *head = rj_cell_task_head(run->task);

	/* Members of one run are one failure at most. */
	if (head->unseen_run != run->number && head->failed_run != run->number)
		head->unseen++;
	head->unseen_run = run->number;
	head->unseen_until_us =
		MAX(head->unseen_until_us, run->worker->lapsed_us);
	run->why = "gang_over";
	rj_cell_completions_apply(owner, run, RJ_CELL_END_LOST, NULL);
}

/*
 * End the runs of a worker that does not answer whose gangs have ended.
 */
void rj_cell_completions_expire_gangs(struct rj_cell_owner *owner,
				      struct rj_cell_worker *worker)
{
	struct rj_list *at = worker->runs.next;

	while (at != &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		at = at->next;
		if (!run->over_us || owner->now_us < run->over_us)
			continue;
		lose_unreported_run(owner, run);
		/* Others of its gang may have gone with it. */
		at = worker->runs.next;
	}
}

/*
 * A run has ended: say what that does to its task and its job, and free it.
 * What changes must be stored before the worker forgets the end.
 */
void rj_cell_completions_apply(struct rj_cell_owner *owner,
			       struct rj_cell_run *run, enum rj_cell_end end,
			       const char *saved)
{
	struct rj_cell_task *task = run->task;
	struct rj_cell_worker *worker = run->worker;
	struct rj_cell_work *job;
	struct rj_cell_round *occurrence;

	owner->counters.completions[end]++;
	owner->plan_wanted = true;
	rj_note("run_end", RJ_NOTE_TEXT("task", run->name),
		RJ_NOTE_NUMBER("run", run->number),
		RJ_NOTE_TEXT("worker", worker->id),
		RJ_NOTE_TEXT("end", rj_cell_end_string[end]),
		RJ_NOTE_TEXT("why", run->why),
		RJ_NOTE_AGE_MS("ran_ms", run->begun_us ?
						 owner->now_us - run->begun_us :
						 0));
	if (!task) {
		rj_cell_run_free(run);
		return;
	}
	/*
	 * Guards against freeing the run twice: an owner that does not know
	 * yet that it was fenced may see the end of its successor's run under the
	 * number of one that it only intended, and with the job's end all
	 * that is only intended goes.
	 */
	run->state = RJ_CELL_RUN_STOPPING;
	update_worker_health(owner, run, end);
	occurrence = task->round;
	job = occurrence->work;
	job->runs_lost += end != RJ_CELL_END_DONE;
	record_checkpoint(task, saved && saved[0] ? saved : run->saved);
	if (end == RJ_CELL_END_DONE && run->begun_us && !run->adopted &&
	    !run->checkpoint[0])
		rj_cell_forecast_learn(&owner->forecast, job->def->queue,
				       owner->now_us - run->begun_us);
	if (job->state < RJ_CELL_JOB_COMPLETED && !task->done) {
		if (end == RJ_CELL_END_DONE)
			mark_done(owner, task);
		else if (end == RJ_CELL_END_FAILED)
			record_failure(owner, task, run);
		else
			task->losses++;
		task->waiting_us = 0;
	}
	rj_cell_run_free(run);
	if (end != RJ_CELL_END_DONE && rj_cell_task_step(task)->gang &&
	    !task->done) {
		stop_gang(owner, task);
		if (ends_whole_gang(end))
			expect_gang_end(owner, task);
	}
	rj_cell_owner_mark_dirty(owner, job);
	if (!occurrence->steps_left)
		finish_occurrence(owner, occurrence);
}

/* Whether a task is done by a run that was given up before: it ended well
 * while its worker was out of reach, and the task has run anew since. */
static bool completes_task(const struct rj_cell_task *task,
			   const struct rj_cell_end_row *row)
{
	return task && row->end == RJ_CELL_END_DONE && !task->done &&
	       row->number <= task->run &&
	       !rj_cell_task_step(task)->perpetual &&
	       task->round->work->state < RJ_CELL_JOB_COMPLETED;
}

/* A failure of a run that was taken to have ended with its gang. */
static void count_unreported_failure(struct rj_cell_owner *owner,
				     struct rj_cell_task *task,
				     const struct rj_cell_end_row *row)
{
	struct rj_cell_task *head = task ? rj_cell_task_head(task) : NULL;
	struct rj_cell_work *job;

	if (!head || row->end != RJ_CELL_END_FAILED || !head->unseen ||
	    head->failed_run == row->number)
		return;
	head->unseen--;
	head->failures++;
	job = head->round->work;
	if (!rj_cell_task_step(head)->perpetual &&
	    head->failures >= job->def->attempts_max)
		rj_cell_completions_close_job(owner, job, RJ_CELL_JOB_FAILED);
	rj_cell_owner_mark_dirty(owner, job);
}

/*
 * An end of a run that is not known at the worker: it was given up when the
 * worker's lease had lapsed or its gang had ended, or was never known. A task
 * that ended well is done, and what runs of it since is stopped; of other ends
 * only failures count.
 */
void rj_cell_completions_apply_orphan(struct rj_cell_owner *owner,
				      struct rj_cell_worker *worker,
				      const struct rj_cell_end_row *row)
{
	struct rj_cell_task *task =
		rj_cell_owner_find_task(owner, row->name, NULL);
	struct rj_cell_round *occurrence;

	rj_note("orphan_end", RJ_NOTE_TEXT("task", row->name),
		RJ_NOTE_NUMBER("run", row->number),
		RJ_NOTE_TEXT("worker", worker->id),
		RJ_NOTE_TEXT("end", rj_cell_end_string[row->end]));
	count_unreported_failure(owner, task, row);
	if (!completes_task(task, row))
		return;
	occurrence = task->round;
	mark_done(owner, task);
	if (rj_cell_task_step(task)->gang)
		stop_gang(owner, task);
	rj_cell_owner_mark_dirty(owner, occurrence->work);
	if (!occurrence->steps_left)
		finish_occurrence(owner, occurrence);
}
