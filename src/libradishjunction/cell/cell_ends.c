#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_owner.h"
#include "private/log_event.h"

const char *const rj_cell_end_string[RJ_CELL_END_COUNT] = {
	[RJ_CELL_END_DONE] = "done",	   [RJ_CELL_END_FAILED] = "failed",
	[RJ_CELL_END_STOPPED] = "stopped", [RJ_CELL_END_LAPSED] = "lapsed",
	[RJ_CELL_END_BROKEN] = "broken",   [RJ_CELL_END_ALONE] = "alone",
	[RJ_CELL_END_LOST] = "lost",
};

/* A task that failed starts again after this, times its failures: a worker
 * or a store that is briefly unwell is left alone meanwhile. */
#define FAILURE_PAUSE_US (50 * RJ_US_PER_MS)
/*
 * After so many bad ends in a row a worker gets no work for a while: a
 * worker that fails all that it starts would use up the attempts of every
 * job. Three are rare by chance, as a twentieth of tasks fail at most.
 */
#define BAD_STREAK_MAX 2
#define SUSPECT_US (6 * RJ_US_PER_S)
/* One early failure is reason enough for a shorter pause. */
#define SUSPECT_EARLY_US (2 * RJ_US_PER_S)
/* A task keeps off the worker of its last trouble for so long: users expect
 * idle capacity to be used within 3 s of calm. */
#define AVOID_US (2 * RJ_US_PER_S)
/* Covers the steps in which workers end runs. */
#define MEMBERS_END_SLACK_US (50 * RJ_US_PER_MS)

/*
 * A stop was decided for a run; the order goes out with the next tick.
 */
void rj_cell_ends_stop_run(struct rj_cell_owner *owner, struct rj_cell_run *run,
			   const char *why)
{
	if (run->state == RJ_CELL_RUN_STOPPING)
		return;
	/* Nobody has been told of it: there is nothing to stop. */
	if (run->state == RJ_CELL_RUN_INTENDED) {
		rj_cell_owner_dirty(owner, run->task->round->work);
		rj_cell_run_free(run);
		return;
	}
	run->state = RJ_CELL_RUN_STOPPING;
	run->why = why;
	run->settled_us = 0;
	run->order_tries = 0;
	rj_cell_run_order(run, owner->now_us);
}

/* Stop all runs of one task. */
static void stop_task(struct rj_cell_owner *owner, struct rj_cell_task *task,
		      const char *why)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &task->runs)
		rj_cell_ends_stop_run(
			owner, RJ_CONTAINER(at, struct rj_cell_run, in_task),
			why);
}

/* What stops a whole job. */
struct job_stop {
	struct rj_cell_owner *owner;
	const char *why;
};

/* Stop one run of it. */
static void stop_for_job(struct rj_cell_run *run, void *private_data)
{
	const struct job_stop *stop = private_data;

	rj_cell_ends_stop_run(stop->owner, run, stop->why);
}

/*
 * Stop all that runs of a job.
 */
void rj_cell_ends_stop_work(struct rj_cell_owner *owner,
			    struct rj_cell_work *work, const char *why)
{
	struct job_stop stop = { owner, why };

	rj_cell_work_each_run(work, stop_for_job, &stop);
}

/*
 * A job has ended as `state`: what still runs of it is stopped.
 */
void rj_cell_ends_close(struct rj_cell_owner *owner, struct rj_cell_work *work,
			enum rj_cell_job_state state)
{
	if (work->state >= RJ_CELL_JOB_COMPLETED)
		return;
	work->state = state;
	if (state == RJ_CELL_JOB_COMPLETED)
		owner->counters.completed++;
	if (state == RJ_CELL_JOB_FAILED)
		owner->counters.failed++;
	rj_log_event(
		"job_end", RJ_LOG_TEXT("job", work->def->id),
		RJ_LOG_TEXT("account", work->def->account),
		RJ_LOG_TEXT("state", rj_cell_job_state_string[state]),
		RJ_LOG_AGE_MS("after_ms", owner->now_us - work->accepted_us),
		RJ_LOG_AGE_MS("objective_ms",
			      work->objective_us - work->accepted_us),
		RJ_LOG_AGE_MS("began_ms",
			      work->began_us ?
				      work->began_us - work->accepted_us :
				      RJ_NEVER_US),
		RJ_LOG_NUMBER("runs_lost", work->runs_lost),
		RJ_LOG_NUMBER("split", work->split));
	if (state != RJ_CELL_JOB_COMPLETED)
		rj_cell_ends_stop_work(owner, work,
				       rj_cell_job_state_string[state]);
	rj_cell_owner_dirty(owner, work);
}

/*
 * Begin the occurrences of a job whose time has come.
 */
void rj_cell_ends_begin_rounds(struct rj_cell_owner *owner,
			       struct rj_cell_work *work)
{
	const struct rj_cell_def *def = work->def;
	uint32_t rounds = def->repeats ? def->repeats : 1;

	while (work->rounds_begun < rounds &&
	       (!def->repeats ||
		owner->wall_ms >=
			def->first_run_ms +
				work->rounds_begun * def->interval_ms)) {
		rj_cell_work_begin_round(work, work->rounds_begun);
		owner->plan_wanted = true;
	}
}

/* Whether nothing of an occurrence is listed by a worker any more. */
static bool is_idle(const struct rj_cell_round *round)
{
	for (uint32_t i = 0; i < round->work->def->task_count; i++)
		if (round->tasks[i].runs.next != &round->tasks[i].runs)
			return false;
	return true;
}

/*
 * All tasks of an occurrence are done; with the last one, the job is. Runs
 * that are still listed, members of a gang whose end is not seen yet, keep
 * the occurrence in memory.
 */
static void end_round(struct rj_cell_owner *owner, struct rj_cell_round *round)
{
	struct rj_cell_work *work = round->work;
	uint32_t rounds = work->def->repeats ? work->def->repeats : 1;

	if (!round->closed) {
		round->closed = true;
		work->rounds_done++;
		if (work->rounds_done >= rounds)
			rj_cell_ends_close(owner, work, RJ_CELL_JOB_COMPLETED);
	}
	if (is_idle(round)) {
		rj_list_remove(&round->link);
		talloc_free(round);
	}
}

/* A task has ended well: a gang has as a whole. */
static void note_done(struct rj_cell_owner *owner, struct rj_cell_task *task)
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
static void note_saved(struct rj_cell_task *task, const char *saved)
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
void rj_cell_ends_avoid(struct rj_cell_owner *owner, struct rj_cell_task *task,
			const struct rj_cell_worker *worker)
{
	g_strlcpy(task->avoid, worker->id, sizeof(task->avoid));
	task->avoid_until_us = owner->now_us + AVOID_US;
}

/* A run failed: the task gets another attempt, elsewhere, or the job ends. */
static void note_failed(struct rj_cell_owner *owner, struct rj_cell_task *task,
			const struct rj_cell_run *run)
{
	const struct rj_cell_step *step = rj_cell_task_step(task);
	struct rj_cell_task *head = rj_cell_task_head(task);
	struct rj_cell_work *work = task->round->work;

	/* Members that fail in the same run are one failure of the gang. */
	if (head->failed_run != run->number)
		head->failures++;
	head->failed_run = run->number;
	rj_cell_ends_avoid(owner, task, run->worker);
	task->not_before_us = owner->now_us + FAILURE_PAUSE_US * head->failures;
	if (!step->perpetual && head->failures >= work->def->attempts_max)
		rj_cell_ends_close(owner, work, RJ_CELL_JOB_FAILED);
}

/* Judge a worker by what has become of a run there. */
static void judge_worker(struct rj_cell_owner *owner,
			 const struct rj_cell_run *run, enum rj_cell_end end)
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
		rj_cell_failure_note(&owner->failures, owner->now_us);
	if (!early && worker->bad_streak < BAD_STREAK_MAX)
		return;
	if (owner->now_us >= worker->suspect_until_us)
		rj_log_event(
			"worker_suspect", RJ_LOG_TEXT("worker", worker->id),
			RJ_LOG_TEXT("why", early ? "failed_early" : "failures"),
			RJ_LOG_NUMBER("streak", worker->bad_streak));
	worker->suspect_until_us =
		owner->now_us + (worker->bad_streak < BAD_STREAK_MAX ?
					 SUSPECT_EARLY_US :
					 SUSPECT_US);
}

/* The other members of a gang of which one has ended without success. */
static void break_gang(struct rj_cell_owner *owner, struct rj_cell_task *task)
{
	struct rj_cell_task *head = rj_cell_task_head(task);

	for (uint32_t i = 0; i < rj_cell_task_step(task)->task_count; i++)
		stop_task(owner, &head[i], "gang_broken");
}

/* Whether a run is known to have begun: a start that was never answered may
 * still arrive at its worker. */
static bool has_begun(const struct rj_cell_run *run)
{
	return run->begun_us && (!run->adopted || run->listed_us);
}

/*
 * Whether an end that a worker lists tells that the whole gang has ended. One
 * that we stopped does not: a gang that is not complete yet does not end with
 * its first member.
 */
static bool ends_gang(enum rj_cell_end end)
{
	return end == RJ_CELL_END_BROKEN || end == RJ_CELL_END_FAILED;
}

/*
 * Whether a gang may start again though the ends of some of its members are
 * not known: each may be a failure, which the users count when they hear of
 * it.
 */
static bool has_attempts(const struct rj_cell_task *head)
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
static void note_members_over(struct rj_cell_owner *owner,
			      struct rj_cell_task *task)
{
	struct rj_cell_task *head = rj_cell_task_head(task);
	uint64_t members_end_us =
		owner->terms.stop_ms * RJ_US_PER_MS + MEMBERS_END_SLACK_US;

	if (!has_attempts(head))
		return;
	for (uint32_t i = 0; i < rj_cell_task_step(task)->task_count; i++) {
		struct rj_list *at;
		struct rj_list *next;

		RJ_FOR_EACH (at, next, &head[i].runs) {
			struct rj_cell_run *run =
				RJ_CONTAINER(at, struct rj_cell_run, in_task);

			if (has_begun(run) && !run->over_us)
				run->over_us = owner->now_us + members_end_us;
		}
	}
}

/* A member of a gang that has ended, on a worker that cannot be asked. */
static void end_over(struct rj_cell_owner *owner, struct rj_cell_run *run)
{
	struct rj_cell_task *head = rj_cell_task_head(run->task);

	/* Members of one run are one failure at most. */
	if (head->unseen_run != run->number && head->failed_run != run->number)
		head->unseen++;
	head->unseen_run = run->number;
	head->unseen_until_us =
		MAX(head->unseen_until_us, run->worker->lapsed_us);
	run->why = "gang_over";
	rj_cell_ends_run(owner, run, RJ_CELL_END_LOST, NULL);
}

/*
 * End the runs of a worker that does not answer whose gangs have ended.
 */
void rj_cell_ends_over(struct rj_cell_owner *owner,
		       struct rj_cell_worker *worker)
{
	struct rj_list *at = worker->runs.next;

	while (at != &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		at = at->next;
		if (!run->over_us || owner->now_us < run->over_us)
			continue;
		end_over(owner, run);
		/* Others of its gang may have gone with it. */
		at = worker->runs.next;
	}
}

/*
 * A run has ended: say what that does to its task and its job, and free it.
 * What changes must be stored before the worker forgets the end.
 */
void rj_cell_ends_run(struct rj_cell_owner *owner, struct rj_cell_run *run,
		      enum rj_cell_end end, const char *saved)
{
	struct rj_cell_task *task = run->task;
	struct rj_cell_worker *worker = run->worker;
	struct rj_cell_work *work;
	struct rj_cell_round *round;

	owner->counters.ends[end]++;
	owner->plan_wanted = true;
	rj_log_event(
		"run_end", RJ_LOG_TEXT("task", run->name),
		RJ_LOG_NUMBER("run", run->number),
		RJ_LOG_TEXT("worker", worker->id),
		RJ_LOG_TEXT("end", rj_cell_end_string[end]),
		RJ_LOG_TEXT("why", run->why),
		RJ_LOG_AGE_MS("ran_ms", run->begun_us ?
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
	judge_worker(owner, run, end);
	round = task->round;
	work = round->work;
	work->runs_lost += end != RJ_CELL_END_DONE;
	note_saved(task, saved && saved[0] ? saved : run->saved);
	if (end == RJ_CELL_END_DONE && run->begun_us && !run->adopted &&
	    !run->checkpoint[0])
		rj_cell_forecast_learn(&owner->forecast, work->def->queue,
				       owner->now_us - run->begun_us);
	if (work->state < RJ_CELL_JOB_COMPLETED && !task->done) {
		if (end == RJ_CELL_END_DONE)
			note_done(owner, task);
		else if (end == RJ_CELL_END_FAILED)
			note_failed(owner, task, run);
		else
			task->losses++;
		task->waiting_us = 0;
	}
	rj_cell_run_free(run);
	if (end != RJ_CELL_END_DONE && rj_cell_task_step(task)->gang &&
	    !task->done) {
		break_gang(owner, task);
		if (ends_gang(end))
			note_members_over(owner, task);
	}
	rj_cell_owner_dirty(owner, work);
	if (!round->steps_left)
		end_round(owner, round);
}

/* Whether a task is done by a run that was given up before: it ended well
 * while its worker was out of reach, and the task has run anew since. */
static bool was_done_before(const struct rj_cell_task *task,
			    const struct rj_cell_end_row *row)
{
	return task && row->end == RJ_CELL_END_DONE && !task->done &&
	       row->number <= task->run &&
	       !rj_cell_task_step(task)->perpetual &&
	       task->round->work->state < RJ_CELL_JOB_COMPLETED;
}

/* A failure of a run that was taken to have ended with its gang. */
static void count_unseen(struct rj_cell_owner *owner, struct rj_cell_task *task,
			 const struct rj_cell_end_row *row)
{
	struct rj_cell_task *head = task ? rj_cell_task_head(task) : NULL;
	struct rj_cell_work *work;

	if (!head || row->end != RJ_CELL_END_FAILED || !head->unseen ||
	    head->failed_run == row->number)
		return;
	head->unseen--;
	head->failures++;
	work = head->round->work;
	if (!rj_cell_task_step(head)->perpetual &&
	    head->failures >= work->def->attempts_max)
		rj_cell_ends_close(owner, work, RJ_CELL_JOB_FAILED);
	rj_cell_owner_dirty(owner, work);
}

/*
 * An end of a run that is not known at the worker: it was given up when the
 * worker's lease had lapsed or its gang had ended, or was never known. A task
 * that ended well is done, and what runs of it since is stopped; of other ends
 * only failures count.
 */
void rj_cell_ends_orphan(struct rj_cell_owner *owner,
			 struct rj_cell_worker *worker,
			 const struct rj_cell_end_row *row)
{
	struct rj_cell_task *task = rj_cell_owner_task(owner, row->name, NULL);
	struct rj_cell_round *round;

	rj_log_event("orphan_end", RJ_LOG_TEXT("task", row->name),
		     RJ_LOG_NUMBER("run", row->number),
		     RJ_LOG_TEXT("worker", worker->id),
		     RJ_LOG_TEXT("end", rj_cell_end_string[row->end]));
	count_unseen(owner, task, row);
	if (!was_done_before(task, row))
		return;
	round = task->round;
	note_done(owner, task);
	if (rj_cell_task_step(task)->gang)
		break_gang(owner, task);
	rj_cell_owner_dirty(owner, round->work);
	if (!round->steps_left)
		end_round(owner, round);
}
