#include "private/cell_worker_evidence.h"

#include <math.h>

#include "private/log_event.h"

/* Failures of a job's tasks on this many workers, and on more than one for this
 * many of its tasks, show that the job is at fault. */
#define JOB_FAULT_WORKERS 2
#define JOB_FAULT_TASKS_PER_WORKER 8
/* Failures of one task after which it is at fault. Each is on another worker,
 * see rj_cell_completions_avoid_worker. */
#define TASK_FAULT_FAILURES 2
/* Longest time after which the silence of a worker is found that is polled
 * without a break: the wait of a long poll, its timeout and a retry. Idle workers
 * of a large fleet may have answered long before. */
#define SILENCE_DETECTION_US (3 * RJ_US_PER_S)

static bool is_enabled(const struct rj_cell_owner *owner)
{
	return owner->limits.features.worker_history;
}

/* Logs the rank of a worker if it has changed. */
static void log_rank(struct rj_cell_owner *owner, struct rj_cell_worker *worker,
		     const char *reason)
{
	struct rj_cell_worker_history *history = &worker->history;
	uint32_t rank = rj_cell_worker_rank(worker, true, owner->now_us);

	if (rank == history->rank)
		return;
	history->rank = rank;
	rj_log_event("worker_history", RJ_LOG_TEXT("worker", worker->id),
		     RJ_LOG_TEXT("rack", worker->heartbeat.rack),
		     RJ_LOG_NUMBER("rank", rank),
		     RJ_LOG_NUMBER("bad_ends_milli",
				   lround(history->bad_ends * 1000)),
		     RJ_LOG_NUMBER("exposure_ms",
				   lround(history->exposure_s * 1000)),
		     RJ_LOG_TEXT("why", reason));
}

/* Records a bad end of a worker. */
static void record(struct rj_cell_owner *owner, struct rj_cell_worker *worker,
		   enum rj_cell_bad_end kind, double share)
{
	if (rj_cell_worker_history_record(&worker->history, kind,
					  worker->bad_streak > 1, share,
					  owner->now_us))
		owner->counters.bad_ends[kind]++;
	log_rank(owner, worker, rj_cell_bad_end_string[kind]);
}

/* Whether a worker that became silent at `silent_us` was cut off together with
 * its failure domain. */
static bool was_cut_off(const struct rj_cell_domain *domain, uint64_t silent_us)
{
	return domain && domain->cut_until_us &&
	       silent_us >= domain->cut_from_us &&
	       silent_us <= domain->cut_until_us + SILENCE_DETECTION_US;
}

/* Returns the rack of a worker, or NULL. Workers that name none are not in one
 * rack: a fault of some would count against all. */
static struct rj_cell_rack *rack_of(const struct rj_cell_worker *worker)
{
	return worker->rack && worker->rack->name[0] ? worker->rack : NULL;
}

/*
 * Counts a burst of silence as a bad end of its rack, once it is known that the
 * failure domain was not cut off as a whole: another worker of it has answered
 * since the burst.
 */
static void settle_burst(struct rj_cell_owner *owner,
			 const struct rj_cell_worker *worker)
{
	struct rj_cell_rack *rack = rack_of(worker);
	struct rj_cell_silence_burst *burst;

	if (!rack || !worker->domain)
		return;
	burst = &rack->silence;
	if (burst->settled || !rj_cell_silence_burst_is_rack(burst) ||
	    !rj_cell_silence_burst_is_over(burst, owner->now_us) ||
	    worker->domain->answered_us <= burst->found_us)
		return;
	burst->settled = true;
	if (was_cut_off(worker->domain, burst->found_us))
		return;
	rj_cell_worker_history_record_rack(&rack->history, owner->now_us);
	rj_log_event("rack_history", RJ_LOG_TEXT("rack", rack->name),
		     RJ_LOG_NUMBER("workers", burst->count),
		     RJ_LOG_NUMBER("rack_workers", burst->rack_workers),
		     RJ_LOG_NUMBER("bad_ends_milli",
				   lround(rack->history.bad_ends * 1000)),
		     RJ_LOG_TEXT("why", "silent"));
}

/*
 * Whether a run's failure is its job's fault: tasks of the job have failed on
 * several workers. Counts the workers on which they fail one after the other.
 *
 * Otherwise one job that fails everywhere would make risky workers of a whole
 * site.
 */
static bool is_job_at_fault(const struct rj_cell_run *run)
{
	struct rj_cell_job *job = run->task->occurrence->job;
	guint failed_on = g_str_hash(run->worker->id);

	if (!job->failed_workers || job->failed_on != failed_on)
		job->failed_workers++;
	job->failed_on = failed_on;
	return rj_cell_task_head(run->task)->failures >= TASK_FAULT_FAILURES ||
	       job->failed_workers > MAX(JOB_FAULT_WORKERS,
					 job->job_spec->task_count /
						 JOB_FAULT_TASKS_PER_WORKER);
}

/* Records a failed run. A late failure counts less the more runs there are
 * beside it, as each of them could have failed. */
static void record_failure(struct rj_cell_owner *owner,
			   const struct rj_cell_run *run)
{
	struct rj_cell_worker *worker = run->worker;
	uint32_t runs = worker->latency_runs + worker->other_runs;

	if (is_job_at_fault(run))
		return;
	if (run->placed_us && !run->adopted &&
	    rj_cell_failure_is_early(owner->now_us - run->placed_us))
		record(owner, worker, RJ_CELL_BAD_END_FAILED_EARLY, 1);
	else
		record(owner, worker, RJ_CELL_BAD_END_FAILED,
		       1.0 / MAX(runs, 1));
}

/*
 * Records how a run of a known job ended. The run still counts as allocated.
 */
void rj_cell_worker_evidence_run_ended(struct rj_cell_owner *owner,
				       const struct rj_cell_run *run,
				       enum rj_cell_completion end)
{
	struct rj_cell_worker *worker = run->worker;

	if (!is_enabled(owner))
		return;
	settle_burst(owner, worker);
	if (run->placed_us) {
		rj_cell_worker_history_expose(&worker->history, run->placed_us,
					      owner->now_us);
		if (rack_of(worker))
			rj_cell_worker_history_expose(&worker->rack->history,
						      run->placed_us,
						      owner->now_us);
	}
	if (end == RJ_CELL_COMPLETION_FAILED)
		record_failure(owner, run);
	if (end == RJ_CELL_COMPLETION_DONE && run->placed_us)
		rj_cell_worker_history_good_end(&worker->history,
						run->placed_us, owner->now_us);
	log_rank(owner, worker, "run_end");
}

/*
 * Records that a worker refused a start as it is unhealthy.
 */
void rj_cell_worker_evidence_refused(struct rj_cell_owner *owner,
				     struct rj_cell_worker *worker)
{
	if (is_enabled(owner))
		record(owner, worker, RJ_CELL_BAD_END_REFUSED, 1);
}

/* Counts the silence of a worker for the burst of its rack, once if it becomes
 * silent several times during the burst. */
static void add_to_burst(struct rj_cell_worker *worker, uint64_t former_from_us,
			 uint64_t now_us)
{
	struct rj_cell_rack *rack = rack_of(worker);

	if (!rack ||
	    (former_from_us &&
	     rj_cell_silence_burst_belongs(&rack->silence, former_from_us)))
		return;
	rj_cell_silence_burst_add(&rack->silence, rack->worker_count,
				  worker->history.silent_from_us, now_us);
}

/*
 * Records that a worker does not answer any more. One that has given notice
 * that it leaves is not to blame. The silence counts at its end, when its
 * length is known and whether the failure domain was cut off.
 */
void rj_cell_worker_evidence_silent(struct rj_cell_owner *owner,
				    struct rj_cell_worker *worker)
{
	uint64_t former_from_us = worker->history.silent_from_us;

	if (!is_enabled(owner) || worker->heartbeat.draining ||
	    worker->deregistered_us)
		return;
	worker->history.silent_us = owner->now_us;
	worker->history.silent_from_us = worker->answered_us;
	if (owner->now_us > worker->answered_us + SILENCE_DETECTION_US)
		worker->history.silent_from_us =
			owner->now_us - SILENCE_DETECTION_US;
	settle_burst(owner, worker);
	add_to_burst(worker, former_from_us, owner->now_us);
}

/* Returns what a silence that ends now shows of its worker. */
static enum rj_cell_bad_end kind_of_silence(const struct rj_cell_owner *owner,
					    const struct rj_cell_worker *worker,
					    uint64_t silent_us)
{
	if (rj_cell_silence_is_short(silent_us, owner->now_us))
		return RJ_CELL_BAD_END_LOST_CALL;
	if (worker->lease_expired_us > silent_us &&
	    worker->lease_expired_us < owner->now_us)
		return RJ_CELL_BAD_END_EXPIRED;
	return RJ_CELL_BAD_END_SILENT;
}

/* Records the end of a worker's silence, if it was silent. With a restart a
 * short one is no lost call; both are one episode. */
static void end_silence(struct rj_cell_owner *owner,
			struct rj_cell_worker *worker, bool restarted)
{
	uint64_t silent_us = worker->history.silent_us;
	enum rj_cell_bad_end kind;
	double share = 1;

	if (!silent_us)
		return;
	worker->history.silent_us = 0;
	settle_burst(owner, worker);
	if (was_cut_off(worker->domain, silent_us)) {
		rj_cell_worker_history_excuse(&worker->history, owner->now_us);
		return;
	}
	if (rack_of(worker))
		share = rj_cell_silence_burst_share(
			&worker->rack->silence, worker->history.silent_from_us);
	kind = kind_of_silence(owner, worker, silent_us);
	if (restarted && kind == RJ_CELL_BAD_END_LOST_CALL)
		kind = RJ_CELL_BAD_END_RESTARTED;
	record(owner, worker, kind, share);
}

/*
 * Records that a worker answers again.
 */
void rj_cell_worker_evidence_regained(struct rj_cell_owner *owner,
				      struct rj_cell_worker *worker)
{
	if (is_enabled(owner))
		end_silence(owner, worker, false);
}

/*
 * Records that a worker answers under another incarnation than
 * `former_incarnation`; 0: it had not answered before. Call it before
 * rj_cell_worker_evidence_regained.
 */
void rj_cell_worker_evidence_restarted(struct rj_cell_owner *owner,
				       struct rj_cell_worker *worker,
				       uint64_t former_incarnation)
{
	bool restarted =
		former_incarnation &&
		former_incarnation != worker->history.leaving_incarnation;

	if (!is_enabled(owner))
		return;
	end_silence(owner, worker, restarted);
	if (restarted)
		record(owner, worker, RJ_CELL_BAD_END_RESTARTED, 1);
}
