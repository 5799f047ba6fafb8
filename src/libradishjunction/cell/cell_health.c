#include "private/cell_health.h"

#include <glib.h>

#include "private/cell_calls.h"
#include "private/log_event.h"

/* A run whose percentage does not rise for so long stands still: even at a
 * seventh of the usual speed a task of 11 s gains a percent in a second. */
#define STALL_US (3 * RJ_US_PER_S)
/*
 * What serves and has been over its bound for so long gets its worker for
 * itself: users allow 4 s on end, of which a stop takes up to half a second,
 * and the worker's figure is of its last half second.
 */
#define SLOW_US (1500 * RJ_US_PER_MS)
/* Nothing is put beside it for so long then. */
#define HARMED_US (20 * RJ_US_PER_S)
/* New work stays off the worker where a run stood still. */
#define STALL_SUSPECT_US (6 * RJ_US_PER_S)

/* About when a run that was taken over has begun. */
static uint64_t begun_by_progress(const struct rj_cell_owner *owner,
				  const struct rj_cell_run *run,
				  uint32_t percent)
{
	uint64_t ran_us;

	if (!run->task)
		return owner->now_us;
	ran_us = rj_cell_forecast_task_ms(&owner->forecast,
					  run->task->round->work->def,
					  run->task->step) *
		 RJ_US_PER_MS * percent / RJ_CELL_PERCENT_ALL;
	return owner->now_us > ran_us ? owner->now_us - ran_us : 0;
}

/*
 * Take in what a listed run says of its progress.
 */
void rj_cell_health_progress(struct rj_cell_owner *owner,
			     struct rj_cell_run *run,
			     const struct rj_cell_row *row)
{
	if (run->state == RJ_CELL_RUN_PLACED ||
	    run->state == RJ_CELL_RUN_STARTING) {
		run->state = RJ_CELL_RUN_SEEN;
		run->progress_us = owner->now_us;
		if (!run->begun_us)
			run->begun_us = owner->now_us;
		if (run->adopted)
			run->begun_us =
				begun_by_progress(owner, run, row->percent);
	}
	if (row->percent != run->percent || !run->progress_us)
		run->progress_us = owner->now_us;
	if (!run->adopted && run->begun_us > run->worker->sound_us &&
	    !rj_cell_failure_is_early(owner->now_us - run->begun_us))
		run->worker->sound_us = run->begun_us;
	run->percent = row->percent;
	run->listed_us = owner->now_us;
	if (!rj_cell_run_serves(run) ||
	    row->figure <= rj_cell_task_step(run->task)->target_ms)
		run->slow_us = 0;
	else if (!run->slow_us)
		run->slow_us = owner->now_us;
	g_strlcpy(run->saved, row->saved, sizeof(run->saved));
}

/* Whether a run may stand still: a member of a gang that is through waits for
 * the others, and what serves for good has no end to get to. */
static bool may_stand(const struct rj_cell_run *run)
{
	const struct rj_cell_step *step = rj_cell_task_step(run->task);

	return step->perpetual ||
	       (step->gang && run->percent >= RJ_CELL_PERCENT_ALL);
}

/* Stop runs that do not get on. */
static void check_stalls(struct rj_cell_owner *owner,
			 struct rj_cell_worker *worker)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		if (run->state != RJ_CELL_RUN_SEEN || !run->task ||
		    may_stand(run) ||
		    owner->now_us - run->progress_us < STALL_US)
			continue;
		worker->suspect_until_us = owner->now_us + STALL_SUSPECT_US;
		rj_cell_ends_avoid(owner, run->task, worker);
		rj_log_event("run_stalled", RJ_LOG_TEXT("task", run->name),
			     RJ_LOG_TEXT("worker", worker->id),
			     RJ_LOG_NUMBER("percent", run->percent));
		rj_cell_ends_stop_run(owner, run, "stalled");
	}
}

/* Stop what fills the room of a worker beside work that serves. */
static void stop_filling(struct rj_cell_owner *owner,
			 struct rj_cell_worker *worker)
{
	struct rj_list *at;
	struct rj_list *next;

	worker->harmed_until_us = owner->now_us + HARMED_US;
	RJ_FOR_EACH (at, next, &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		if (!rj_cell_run_serves(run))
			rj_cell_ends_stop_run(owner, run, "slows_others");
	}
}

/*
 * See whether work that serves is kept from its bound.
 *
 * Load that it answers: a full site, on which work that serves users within a
 * bound and work that fills share workers. What fills goes, as it can be done
 * elsewhere or later.
 */
static void check_bounds(struct rj_cell_owner *owner,
			 struct rj_cell_worker *worker)
{
	struct rj_list *at;
	struct rj_list *next;

	if (!worker->serving || !worker->filling)
		return;
	RJ_FOR_EACH (at, next, &worker->runs) {
		struct rj_cell_run *run =
			RJ_CONTAINER(at, struct rj_cell_run, in_worker);

		if (!run->slow_us || owner->now_us - run->slow_us < SLOW_US)
			continue;
		rj_log_event("bound_missed", RJ_LOG_TEXT("task", run->name),
			     RJ_LOG_TEXT("worker", worker->id),
			     RJ_LOG_NUMBER("beside", worker->filling));
		stop_filling(owner, worker);
		return;
	}
}

/*
 * Stop what does not get on at a worker, and what keeps others from it.
 */
void rj_cell_health_check(struct rj_cell_owner *owner,
			  struct rj_cell_worker *worker)
{
	check_stalls(owner, worker);
	check_bounds(owner, worker);
}
