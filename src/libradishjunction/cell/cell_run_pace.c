#include "private/cell_run_pace.h"

#include <math.h>
#include <string.h>

#include "private/cell_calls.h"

/* A run shows the pace of its worker from this much progress on. */
#define PROGRESS_MIN_PERCENT 10

/* Whether the time at which a run began its work from 0 % is known: not that of
 * a run that was adopted or has restored a checkpoint. */
static bool is_begin_known(const struct rj_cell_run *run)
{
	return run->placed_us && !run->adopted && !run->checkpoint;
}

/*
 * Records the progress that a run has reported. It is measured from the run's
 * begin, or from its first report if the begin is not known. A finished member
 * of a gang waits for the others, so that 100 % shows no time.
 */
void rj_cell_run_pace_report(struct rj_cell_run *run, uint64_t now_us)
{
	if (!run->percent || run->percent >= RJ_CELL_PERCENT_ALL)
		return;
	if (!run->pace_from_us) {
		bool begin_known = is_begin_known(run);

		run->pace_from_us = begin_known ? run->placed_us : now_us;
		run->pace_from_percent = begin_known ? 0 : run->percent;
	}
	run->pace_until_us = now_us;
	run->pace_until_percent = run->percent;
}

/* Returns the time that a run would take for all of its work, in microseconds;
 * 0 if it has reported too little progress. */
static double total_time_us(const struct rj_cell_run *run)
{
	uint32_t percent = run->pace_until_percent - run->pace_from_percent;

	if (run->pace_until_percent <
		    run->pace_from_percent + PROGRESS_MIN_PERCENT ||
	    run->pace_until_us <= run->pace_from_us)
		return 0;
	return (double)(run->pace_until_us - run->pace_from_us) *
	       RJ_CELL_PERCENT_ALL / percent;
}

/* Whether nothing but its worker's pace determines how long a run takes: the
 * worker has warmed up, and the data is near. */
static bool shows_pace(const struct rj_cell_owner *owner,
		       const struct rj_cell_run *run)
{
	const struct rj_cell_step *step = rj_cell_task_step(run->task);

	return owner->now_us >= run->worker->cold_until_us &&
	       (!step->rack[0] ||
		!strcmp(step->rack, run->worker->heartbeat.rack));
}

/* Whether a worker has a sample already: members on one worker are alike. */
static bool has_sample(const GArray *samples,
		       const struct rj_cell_worker *worker)
{
	for (guint i = 0; i < samples->len; i++)
		if (g_array_index(samples, struct rj_cell_pace_sample, i)
			    .pace == &worker->pace)
			return true;
	return false;
}

static void add_sample(GArray *samples, const struct rj_cell_owner *owner,
		       const struct rj_cell_run *run, double time_us)
{
	struct rj_cell_pace_sample sample = { &run->worker->pace, 0 };

	if (time_us <= 0 || !shows_pace(owner, run) ||
	    has_sample(samples, run->worker))
		return;
	sample.log_time = log(time_us);
	g_array_append_val(samples, sample);
}

/* Adds a sample for each worker of a gang whose members have reported progress.
 * Returns whether all members are on the worker of `done`. */
static bool add_reported(GArray *samples, const struct rj_cell_owner *owner,
			 const struct rj_cell_run *done)
{
	struct rj_cell_task *first = rj_cell_task_head(done->task);
	uint32_t count = rj_cell_task_step(done->task)->task_count;
	bool one_worker = true;

	for (uint32_t i = 0; i < count; i++) {
		const struct rj_list *at;

		for (at = first[i].runs.next; at != &first[i].runs;
		     at = at->next) {
			const struct rj_cell_run *run =
				RJ_CONTAINER(at, struct rj_cell_run, in_task);

			one_worker &= run->worker == done->worker;
			add_sample(samples, owner, run, total_time_us(run));
		}
	}
	return one_worker;
}

/*
 * Learns the paces of a gang's workers when its first member, `done`, is done
 * and the other members' runs still exist. A gang over several racks is left
 * out, as it takes longer.
 */
void rj_cell_run_pace_learn(struct rj_cell_owner *owner,
			    const struct rj_cell_run *done)
{
	const struct rj_cell_step *step = rj_cell_task_step(done->task);
	const struct rj_cell_job *job = done->task->occurrence->job;
	double log_duration = INFINITY;
	GArray *samples;

	if (!step->gang || step->perpetual || !step->estimate_ms || job->split)
		return;
	samples = g_array_new(FALSE, FALSE, sizeof(struct rj_cell_pace_sample));
	if (is_begin_known(done) && owner->now_us > done->placed_us)
		log_duration = log((double)(owner->now_us - done->placed_us));
	if (add_reported(samples, owner, done) && !samples->len &&
	    isfinite(log_duration))
		add_sample(samples, owner, done, exp(log_duration));
	rj_cell_pace_learn((const void *)samples->data, samples->len,
			   log_duration,
			   log((double)step->estimate_ms * RJ_US_PER_MS),
			   rj_cell_forecast_estimate_error(
				   &owner->forecast, job->job_spec->queue));
	g_array_free(samples, TRUE);
}
