/*
 * ACCEPTING, CLAIMING and WATCHING: the states that depend on the log.
 *
 * A claim is appended while the leases are held and before anything starts. An
 * instance starts the job only after reading its claim back as the first one in
 * the log; an instance whose claim lost watches the winner.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

/* Time for which a record whose append was not answered is awaited in the
 * log. */
#define LOST_APPEND_WAIT_US (3 * RJ_US_PER_S)
#define OUTCOME_RETRY_US (2 * RJ_US_PER_S)
#define PLATFORM_RETRY_US (2 * RJ_US_PER_S)

/* Initialises a record about the job's current attempt, without the body. */
static void fill_record(const struct rj_job *job, enum rj_record_kind kind,
			struct rj_record *record)
{
	memset(record, 0, sizeof(*record));
	record->kind = kind;
	g_strlcpy(record->domain, job->core->domain, sizeof(record->domain));
	record->attempt = job->attempt;
	record->spec = job->spec;
	record->spec.body = (struct rj_bytes){ 0 };
}

/*
 * Whether the job may start only under a claim in the log: non-idempotent jobs,
 * which must not run twice, and all accepted jobs.
 *
 * Accepted jobs need a claim because two owners that cannot reach each other
 * may serve the same job: one would run it while the other, having read a
 * cancellation first, reports that it did not run. With a claim the order of
 * the log decides. During a log outage accepted jobs that have not started
 * wait; running jobs continue, and idempotent jobs with a waiting caller still
 * start.
 */
bool rj_job_needs_claim(const struct rj_job *job)
{
	return !job->idempotent || job->accepted;
}

/*
 * Appends the accept record. The caller gets its answer only when the record
 * was read back.
 */
void rj_job_accept(struct rj_job *job)
{
	struct rj_record record;

	rj_job_enter_state(job, RJ_JOB_ACCEPTING);
	fill_record(job, RJ_RECORD_ACCEPT, &record);
	record.spec.body = job->spec.body;
	rj_log_append(job->core, RJ_STREAM_JOBS, &record);
}

/* Appends a claim of the current attempt with its leases. */
static void append_claim(struct rj_job *job)
{
	struct rj_core_state *core = job->core;
	struct rj_claim_member *members;
	struct rj_record record;

	fill_record(job, RJ_RECORD_CLAIM, &record);
	record.lease_life_us = rj_upstreams_lease_duration_us(core);
	members = talloc_zero_array(core->actions->mem, struct rj_claim_member,
				    job->member_count);
	assert(members);
	for (uint32_t i = 0; i < job->member_count; i++) {
		g_strlcpy(members[i].worker, job->members[i].worker,
			  sizeof(members[i].worker));
		members[i].worker_incarnation = job->members[i].incarnation;
		members[i].token = job->members[i].token;
		members[i].tasks = job->members[i].tasks;
	}
	record.members = members;
	record.member_count = job->member_count;
	rj_log_append(core, RJ_STREAM_JOBS, &record);
}

/*
 * Claims the job with the leases that it holds. If the log is unavailable, the
 * leases are released and the job is requeued if accepted, else answered with a
 * retry time.
 */
void rj_job_claim(struct rj_job *job)
{
	struct rj_core_state *core = job->core;

	assert(job->state == RJ_JOB_LEASING);
	if (!rj_log_usable(core)) {
		rj_job_release_members(job);
		if (job->accepted)
			rj_job_requeue(job, PLATFORM_RETRY_US,
				       RJ_REASON_PLATFORM_DOWN);
		else
			rj_job_not_started(
				job, RJ_REASON_PLATFORM_DOWN,
				rj_core_jitter_us(core, PLATFORM_RETRY_US));
		return;
	}
	rj_job_enter_state(job, RJ_JOB_CLAIMING);
	append_claim(job);
}

/*
 * Claims a running job that was started without a claim, once the log is
 * available again.
 *
 * Without the claim a peer that does not know of the job could start it a
 * second time, or report a cancelled job as never run while it runs here.
 */
void rj_claims_claim_running(struct rj_job *job)
{
	if (job->state == RJ_JOB_RUNNING && !job->claimed &&
	    rj_log_usable(job->core))
		append_claim(job);
}

/* Abandons an attempt whose claim is not, or not certainly, in the log. */
static void abandon_claim(struct rj_job *job)
{
	rj_job_release_members(job);
	if (job->accepted) {
		rj_job_requeue(job, PLATFORM_RETRY_US, RJ_REASON_PLATFORM_DOWN);
		return;
	}
	rj_job_end_without_result(
		job, RJ_ANSWER_UNKNOWN, RJ_REASON_PLATFORM_DOWN,
		rj_core_jitter_us(job->core, PLATFORM_RETRY_US));
}

/*
 * Handles the timeout of an append with a lost answer. A claim that appears in
 * the log later is not of the current attempt: an accepted job, which has been
 * requeued, watches it, any other has ended. Its attempt is fenced and voided.
 */
void rj_claims_append_timeout(struct rj_job *job)
{
	if (job->state == RJ_JOB_CLAIMING)
		abandon_claim(job);
	else if (job->state == RJ_JOB_ACCEPTING)
		rj_job_end_without_result(
			job, RJ_ANSWER_UNKNOWN, RJ_REASON_PLATFORM_DOWN,
			rj_core_jitter_us(job->core, PLATFORM_RETRY_US));
}

/*
 * Handles an append of `record` that was refused or whose answer was lost.
 * After a lost answer the record may still be in the log; it is awaited for
 * LOST_APPEND_WAIT_US.
 */
void rj_claims_append_failed(struct rj_core_state *core,
			     const struct rj_record *record,
			     enum rj_append_status status)
{
	struct rj_job *job = rj_jobs_find(core, record->attempt.job_id);

	if (!job || job->attempt.owner != record->attempt.owner ||
	    job->attempt.number != record->attempt.number)
		return;
	if (!(job->state == RJ_JOB_CLAIMING &&
	      record->kind == RJ_RECORD_CLAIM) &&
	    !(job->state == RJ_JOB_ACCEPTING &&
	      record->kind == RJ_RECORD_ACCEPT))
		return;
	if (status == RJ_APPEND_LOST) {
		rj_timer_set(&core->timers, &job->state_timer,
			     core->now_us + LOST_APPEND_WAIT_US);
		return;
	}
	if (job->state == RJ_JOB_CLAIMING) {
		abandon_claim(job);
		return;
	}
	rj_job_enter_state(job, RJ_JOB_QUEUED);
	rj_job_not_started(job, RJ_REASON_PLATFORM_DOWN,
			   rj_core_jitter_us(core, PLATFORM_RETRY_US));
}

/*
 * Handles the loss of the platform. Non-idempotent jobs that are not accepted
 * and not claimed yet do not wait until their deadline: they are forwarded to a
 * peer that has the log, or answered at once with a retry time. Accepted jobs
 * wait for the log.
 */
void rj_claims_platform_down(struct rj_core_state *core)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &core->jobs.list) {
		struct rj_job *job = RJ_CONTAINER(at, struct rj_job, link);

		if (job->accepted || job->idempotent)
			continue;
		if (job->state != RJ_JOB_QUEUED && job->state != RJ_JOB_LEASING)
			continue;
		rj_job_release_members(job);
		rj_job_remove_from_plan(job, false);
		job->hops = 0; /* may go back: its sender may have the log */
		rj_filters_resubmit(job);
	}
}

/*
 * Fills the answer recorded in a settled log entry; the result is not copied.
 */
void rj_claims_fill_answer(const struct rj_job_entry *entry,
			   struct rj_answer *answer)
{
	assert(entry->settled);
	memset(answer, 0, sizeof(*answer));
	answer->kind = entry->outcome;
	answer->reason = entry->reason;
	answer->job_id = entry->job_id;
	answer->result = entry->result;
}

/*
 * Waits for the log to tell the outcome of a job that another instance serves
 * or has served.
 */
void rj_job_watch(struct rj_job *job)
{
	rj_job_remove_from_plan(job, false);
	rj_job_free_members(job);
	rj_job_enter_state(job, RJ_JOB_WATCHING);
	job->claimed = false;
	job->started = false;
}

/*
 * Asks the instance that serves the job, through the log, to cancel it.
 */
void rj_claims_append_cancel(struct rj_job *job)
{
	struct rj_record record;

	fill_record(job, RJ_RECORD_CANCEL, &record);
	rj_log_append(job->core, RJ_STREAM_JOBS, &record);
}

/*
 * Closes the job's own claim. Must be called only if nothing of this attempt
 * can start any more, or all of it was stopped, so that the job may run again.
 */
void rj_claims_append_void(struct rj_job *job)
{
	struct rj_record record;

	rj_core_count(job->core, RJ_COUNT_VOIDS);
	rj_core_log(job->core, RJ_LOG_VOID, RJ_REASON_LEASE_EXPIRED, job, NULL);
	fill_record(job, RJ_RECORD_VOID, &record);
	rj_log_append(job->core, RJ_STREAM_JOBS, &record);
	job->claimed = false;
}

/* Whether the entry's open claim belongs to the job's current attempt. */
static bool is_own_claim(const struct rj_job *job,
			 const struct rj_job_entry *entry)
{
	return entry->claimed && entry->attempt.owner == job->attempt.owner &&
	       entry->attempt.number == job->attempt.number;
}

/*
 * Closes a claim of an earlier attempt that is still open because its void
 * record was lost on its way to the log.
 *
 * Readers ignore the job's outcome while the older claim is open, so an
 * accepted job would never end. A claim of this instance is certainly over,
 * since the job has ended here; a peer's claim is closed only if the job is
 * done and idempotent.
 */
static void close_older_claim(const struct rj_job *job)
{
	const struct rj_job_entry *entry =
		rj_job_ledger_find(&job->core->ledger, job->spec.job_id);
	struct rj_record record;

	if (!entry || !entry->claimed || is_own_claim(job, entry))
		return;
	if (entry->attempt.owner != job->core->incarnation &&
	    !(job->idempotent && job->final.kind == RJ_ANSWER_DONE))
		return;
	fill_record(job, RJ_RECORD_VOID, &record);
	record.attempt = entry->attempt;
	rj_log_append(job->core, RJ_STREAM_JOBS, &record);
}

/*
 * Appends the job's outcome, and repeats it until it was read back.
 */
void rj_claims_append_outcome(struct rj_job *job)
{
	struct rj_core_state *core = job->core;
	struct rj_record record;

	assert(job->state == RJ_JOB_ENDED);
	close_older_claim(job);
	fill_record(job, RJ_RECORD_OUTCOME, &record);
	record.outcome = job->final.kind;
	record.reason = job->final.reason;
	if (job->final.result.length <= RJ_RESULT_MAX_BYTES)
		record.result = job->final.result;
	rj_log_append(core, RJ_STREAM_JOBS, &record);
	rj_timer_set(&core->timers, &job->state_timer,
		     core->now_us + rj_core_jitter_us(core, OUTCOME_RETRY_US));
}

/* The job's own claim was read back as the winning one. */
static void on_claim_won(struct rj_job *job)
{
	struct rj_core_state *core = job->core;

	rj_timer_clear(&core->timers, &job->state_timer);
	rj_core_count(core, RJ_COUNT_CLAIMS_WON);
	rj_core_log(core, RJ_LOG_CLAIM, RJ_REASON_NONE, job, NULL);
	job->claimed = true;
	if (!job->cancelled) {
		rj_job_start(job);
		return;
	}
	rj_job_release_members(job);
	rj_claims_append_void(job);
	rj_job_abandon(job, RJ_REASON_CANCELLED, 0);
}

/* Another claim of the same key precedes the job's own in the log. */
static void on_claim_lost(struct rj_job *job)
{
	struct rj_core_state *core = job->core;

	rj_timer_clear(&core->timers, &job->state_timer);
	rj_core_count(core, RJ_COUNT_CLAIMS_LOST);
	rj_core_log(core, RJ_LOG_CLAIM, RJ_REASON_CLAIM_LOST, job, NULL);
	rj_job_release_members(job);
	rj_job_watch(job);
}

/* The accept record of a job submitted here was read back. */
static void on_accept_read(struct rj_job *job)
{
	struct rj_core_state *core = job->core;

	rj_timer_clear(&core->timers, &job->state_timer);
	job->accepted = true;
	rj_job_answer_without_result(job, RJ_ANSWER_ACCEPTED, RJ_REASON_NONE,
				     0);
	rj_timer_clear(&core->timers, &job->deadline);
	if (job->cancelled)
		rj_job_abandon(job, RJ_REASON_CANCELLED, 0);
	else if (rj_ownership_owns(core, core->domain,
				   rj_racks_job_key(core, core->domain,
						    job->spec.job_id)))
		rj_job_submit(job);
	else
		rj_job_free(job); /* its owner reads the same record */
}

/* The job was settled, here or by another instance. */
static void on_outcome_read(struct rj_job *job,
			    const struct rj_job_entry *entry)
{
	struct rj_answer answer;

	rj_claims_fill_answer(entry, &answer);
	switch (job->state) {
	case RJ_JOB_ENDED:
	case RJ_JOB_WATCHING:
		rj_job_answer_waiters(job, &answer);
		rj_job_free(job);
		break;
	case RJ_JOB_QUEUED:
	case RJ_JOB_LEASING:
	case RJ_JOB_CLAIMING:
	case RJ_JOB_ACCEPTING:
		rj_job_release_members(job);
		rj_job_answer_waiters(job, &answer);
		rj_job_free(job);
		break;
	case RJ_JOB_STARTING:
	case RJ_JOB_RUNNING:
	case RJ_JOB_STOPPING:
	case RJ_JOB_SETTLING:
		/* A peer settled this attempt as unknown while it runs here:
		 * its actual outcome is still to be appended. */
	case RJ_JOB_FORWARDED:
	case RJ_JOB_STATE_COUNT:
		break;
	}
}

/*
 * Handles an open claim of the job in the log.
 *
 * If the log was trimmed early, the job's own claim may be the first in it only
 * because an older one is missing, and starting the job would run it twice.
 * While the log has a gap the attempt is therefore abandoned, unless the claim
 * was carried by a peer, which may know the older ones.
 */
static void on_claim_read(struct rj_job *job, const struct rj_job_entry *entry,
			  bool carried)
{
	if (job->state == RJ_JOB_CLAIMING) {
		if (is_own_claim(job, entry) && job->core->ledger.gap_us &&
		    !carried)
			abandon_claim(job);
		else if (is_own_claim(job, entry))
			on_claim_won(job);
		else
			on_claim_lost(job);
		return;
	}
	if (is_own_claim(job, entry)) {
		if (job->state == RJ_JOB_RUNNING)
			job->claimed = true;
		return;
	}
	if (job->state == RJ_JOB_ENDED &&
	    job->final.kind == RJ_ANSWER_NOT_RUN) {
		/* A peer claimed the job before this outcome was in the log,
		 * and may run it: ask the peer to cancel. */
		rj_job_watch(job);
		rj_claims_append_cancel(job);
		return;
	}
	if (job->state == RJ_JOB_QUEUED || job->state == RJ_JOB_LEASING ||
	    job->state == RJ_JOB_ACCEPTING) {
		rj_job_release_members(job);
		rj_job_watch(job);
	}
}

/* A cancel record of the job was read. */
static void on_cancel_read(struct rj_job *job)
{
	if (job->state == RJ_JOB_WATCHING || job->state == RJ_JOB_ENDED)
		return;
	rj_job_cancel(job, RJ_REASON_CANCELLED);
}

/*
 * Frees the job if it is known only from its claim, which lacks the request
 * body: it cannot be started here until it is submitted again. Its waiters are
 * answered that it may be in progress. Returns whether the job was freed.
 */
bool rj_job_drop_if_body_missing(struct rj_job *job)
{
	if (!job->body_missing)
		return false;
	rj_job_answer_in_progress(job, RJ_REASON_CLAIM_LOST);
	rj_job_free(job);
	return true;
}

/* The watched attempt never ran: serves the job from here. */
static void resume_watched(struct rj_job *job)
{
	if (!rj_job_drop_if_body_missing(job))
		rj_filters_resubmit(job);
}

/*
 * Applies one record of the `jobs` stream to the ledger and to the job it
 * names.
 */
void rj_claims_apply_record(struct rj_core_state *core,
			    const struct rj_record *record)
{
	struct rj_job_entry *entry;
	struct rj_job *job;

	entry = rj_job_ledger_apply(&core->ledger, core, record, core->now_us);
	if (!entry)
		return;
	job = rj_jobs_find(core, entry->job_id);
	if (!job)
		return;
	if (entry->settled) {
		on_outcome_read(job, entry);
		return;
	}
	switch (record->kind) {
	case RJ_RECORD_ACCEPT:
		if (job->state == RJ_JOB_ACCEPTING)
			on_accept_read(job);
		break;
	case RJ_RECORD_CLAIM:
		if (entry->claimed)
			on_claim_read(job, entry, record->carried);
		break;
	case RJ_RECORD_VOID:
		if (!entry->claimed && job->state == RJ_JOB_WATCHING)
			resume_watched(job);
		break;
	case RJ_RECORD_CANCEL:
		on_cancel_read(job);
		break;
	case RJ_RECORD_OUTCOME:
	case RJ_RECORD_CONFIG:
	case RJ_RECORD_MALFORMED:
	case RJ_RECORD_KIND_COUNT:
		break;
	}
}
