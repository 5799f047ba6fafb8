/*
 * SETTLING: determines what became of an attempt whose owner died or whose
 * start was not answered. Also the periodic check of the log's entries, which
 * starts settling and re-appends records before the log trims them.
 *
 * The workers are asked with a fence, after which an attempt that has not
 * started never will. Running tasks are adopted, finished ones keep their
 * result, and what no worker can confirm is `unknown`.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

/* A re-appended record that has not appeared in the log after this time counts
 * as lost. */
#define CARRY_RETRY_US (3 * RJ_US_PER_S)
#define FENCE_BACKOFF_US (300 * RJ_US_PER_MS)
/* A worker that does not answer for this long is assumed dead, and its tokens
 * invalid. */
#define FENCE_TIMEOUT_US (30 * RJ_US_PER_S)

/* Number of members by the result of their fence. */
struct fence_results {
	uint32_t unanswered;
	uint32_t not_started;
	uint32_t running;
	uint32_t done;
	uint32_t failed;
	uint32_t stopped;
	uint32_t unknown; /* no worker can confirm its state */
};

static struct fence_results count_members(const struct rj_job *job)
{
	struct fence_results results;

	memset(&results, 0, sizeof(results));
	for (uint32_t i = 0; i < job->member_count; i++) {
		const struct rj_member *member = &job->members[i];

		if (!member->settled)
			results.unanswered++;
		else if (member->state == RJ_TASK_DEAD)
			results.not_started++;
		else if (member->state == RJ_TASK_RUNNING)
			results.running++;
		else if (member->state == RJ_TASK_DONE)
			results.done++;
		else if (member->state == RJ_TASK_FAILED)
			results.failed++;
		else if (member->state == RJ_TASK_STOPPED)
			results.stopped++;
		else
			results.unknown++;
	}
	return results;
}

/* Nothing of the attempt started: closes its claim and, if there is still a
 * waiter or the job is accepted, serves the job again. */
static void settle_never_started(struct rj_job *job)
{
	struct rj_core_state *core = job->core;

	job->started = false;
	if (job->claimed)
		rj_claims_append_void(job);
	if (job->cancelled) {
		rj_job_abandon(job, RJ_REASON_CANCELLED, 0);
		return;
	}
	if (job->body_missing)
		rj_job_answer_in_progress(job, RJ_REASON_CLAIM_LOST);
	if (!job->accepted && job->waiters.next == &job->waiters) {
		rj_job_free(job);
		return;
	}
	if (!job->accepted && !job->idempotent && !rj_log_usable(core)) {
		rj_job_end_without_result(
			job, RJ_ANSWER_UNKNOWN, RJ_REASON_PLATFORM_DOWN,
			rj_core_jitter_us(core, RJ_RETRY_AFTER_US));
		return;
	}
	rj_job_requeue(job, 0, RJ_REASON_LEASE_EXPIRED);
}

/* Whether the workers of all members are known and in this failure domain, as
 * the planner requires. */
static bool all_in_own_domain(const struct rj_job *job)
{
	for (uint32_t i = 0; i < job->member_count; i++) {
		const struct rj_upstream *upstream = job->members[i].upstream;

		if (!upstream || strcmp(upstream->domain, job->core->domain))
			return false;
	}
	return true;
}

/* Adopts a running attempt: renews every lease, sets a gang to full speed, in
 * case its owner died before doing so, and adds the job to the planner. */
static void adopt(struct rj_job *job)
{
	struct rj_core_state *core = job->core;
	struct rj_plan_job plan;
	struct rj_plan_member *placement;

	rj_core_count(core, RJ_COUNT_ADOPTIONS);
	rj_core_log(core, RJ_LOG_ADOPT, RJ_REASON_OWNER, job,
		    job->members[0].worker);
	rj_job_enter_state(job, RJ_JOB_RUNNING);
	job->started = true;
	if (!job->started_us)
		job->started_us = core->now_us - job->members[0].ran_us;
	for (uint32_t i = 0; i < job->member_count; i++) {
		struct rj_member *member = &job->members[i];

		if (member->state != RJ_TASK_RUNNING)
			continue;
		rj_job_call(job, member, RJ_WORKER_RENEW);
		if (job->member_count > 1)
			rj_job_call(job, member, RJ_WORKER_THROTTLE)
				->throttle_percent = 100;
	}
	if (job->planned || !all_in_own_domain(job))
		return;
	placement = talloc_zero_array(core->actions->mem, struct rj_plan_member,
				      job->member_count);
	assert(placement);
	for (uint32_t i = 0; i < job->member_count; i++) {
		placement[i].worker = job->members[i].upstream->index;
		placement[i].tasks = job->members[i].tasks;
	}
	rj_job_fill_plan(job, &plan);
	core->planner->ops->adopt(core->planner, &plan, placement,
				  job->member_count, core->now_us);
	job->planned = true;
}

/* Stops the rest of an attempt that the workers cannot confirm or that ended
 * early. An idempotent job then runs again, any other ends as unknown or
 * failed. */
static void settle_partial(struct rj_job *job, bool unknown)
{
	if (job->idempotent) {
		job->ending = false;
		job->final.reason = RJ_REASON_WORKER_LOST;
		rj_job_stop(job, false, 0);
		return;
	}
	job->ending = true;
	job->final.kind = unknown ? RJ_ANSWER_UNKNOWN : RJ_ANSWER_FAILED;
	job->final.reason = RJ_REASON_WORKER_LOST;
	rj_job_stop(job, false, 0);
}

/* Decides once every member has answered or timed out. */
static void settle_decide(struct rj_job *job)
{
	struct fence_results results = count_members(job);
	uint32_t all = job->member_count;

	if (results.not_started == all) {
		settle_never_started(job);
		return;
	}
	if (results.running + results.done == all && results.running) {
		adopt(job);
		return;
	}
	if (results.done == all || (results.failed && all == 1)) {
		rj_job_enter_state(job, RJ_JOB_RUNNING);
		job->started = true;
		rj_job_check_members(job);
		return;
	}
	job->started = true;
	settle_partial(job, results.unknown > 0);
}

/* Attaches the member to its worker, if known: a worker named in a claim may be
 * listed only after the claim was read. */
static void attach_worker(struct rj_job *job, struct rj_member *member)
{
	struct rj_upstream *upstream =
		rj_upstreams_find(job->core, member->worker);

	if (upstream)
		rj_member_attach(job, member, upstream);
}

/*
 * Fences the attempt on the worker of every member that has not answered yet.
 * The timer repeats this until all have answered or FENCE_TIMEOUT_US has
 * passed; the state of a member without an answer is then unknown.
 */
void rj_job_settle(struct rj_job *job)
{
	struct rj_core_state *core = job->core;
	bool first = job->state != RJ_JOB_SETTLING;

	if (first) {
		rj_job_enter_state(job, RJ_JOB_SETTLING);
		for (uint32_t i = 0; i < job->member_count; i++)
			job->members[i].settled = false;
	}
	for (uint32_t i = 0; i < job->member_count; i++) {
		struct rj_member *member = &job->members[i];

		if (member->settled)
			continue;
		if (core->now_us > job->state_entered_us + FENCE_TIMEOUT_US) {
			member->settled = true;
			member->state = RJ_TASK_NONE;
			member->start_sent = false;
			continue;
		}
		if (!member->upstream)
			attach_worker(job, member);
		if (member->upstream)
			rj_job_call(job, member, RJ_WORKER_FENCE);
	}
	if (!count_members(job).unanswered) {
		settle_decide(job);
		return;
	}
	rj_timer_set(&core->timers, &job->state_timer,
		     core->now_us + rj_core_jitter_us(core, FENCE_BACKOFF_US));
}

/*
 * Handles a worker's answer to a fence. A worker whose incarnation differs from
 * the one that granted the lease has lost it, and cannot confirm that the
 * member never started.
 */
void rj_job_fence_reply(struct rj_job *job, struct rj_member *member,
			const struct rj_worker_reply *reply)
{
	if (job->state != RJ_JOB_SETTLING || member->settled ||
	    reply->status == RJ_REPLY_LOST)
		return;
	member->settled = true;
	member->state = reply->state;
	member->ran_us = reply->ran_us;
	if (reply->status == RJ_REPLY_REFUSED ||
	    (member->incarnation && reply->incarnation != member->incarnation))
		member->state = RJ_TASK_NONE;
	if (member->state == RJ_TASK_NONE)
		member->start_sent = false;
	if (member->state == RJ_TASK_DONE || member->state == RJ_TASK_FAILED)
		rj_member_keep_result(job, member, &reply->result);
	if (!count_members(job).unanswered) {
		rj_timer_clear(&job->core->timers, &job->state_timer);
		settle_decide(job);
	}
}

/*
 * Handles the answer to the renewal of an adopted member's lease. A refusal
 * means that the lease has expired and the task has ended.
 */
void rj_job_renew_reply(struct rj_job *job, struct rj_member *member,
			const struct rj_worker_reply *reply)
{
	if (job->state != RJ_JOB_RUNNING || reply->status == RJ_REPLY_LOST)
		return;
	if (reply->status == RJ_REPLY_REFUSED)
		member->state = RJ_TASK_STOPPED;
	rj_job_check_members(job);
}

/* Creates the members listed in a claim. */
static void members_from_log(struct rj_job *job,
			     const struct rj_job_entry *entry)
{
	rj_job_alloc_members(job, entry->member_count);
	for (uint32_t i = 0; i < entry->member_count; i++) {
		const struct rj_claim_member *claimed = &entry->members[i];
		struct rj_member *member = &job->members[i];

		g_strlcpy(member->worker, claimed->worker,
			  sizeof(member->worker));
		member->incarnation = claimed->worker_incarnation;
		member->token = claimed->token;
		member->tasks = claimed->tasks;
		member->start_sent = true;
		attach_worker(job, member);
	}
}

/* The log has the whole job, including its body. */
static void mark_accepted(struct rj_job *job, const struct rj_job_entry *entry)
{
	job->accepted = true;
	if (!job->spec.body.length)
		rj_bytes_copy(job, &job->spec.body, &entry->spec.body);
	job->body_missing = false;
}

/*
 * Takes back a job that was forwarded to a peer, because the log shows that
 * this instance owns it.
 *
 * If the peer's answer was lost, the job would otherwise remain forwarded here
 * while no instance serves it, and an accepted job would never end. A late
 * answer is dropped.
 */
static void take_back_forwarded(struct rj_job *job,
				const struct rj_job_entry *entry)
{
	if (entry->accepted && !job->spec.wait)
		rj_job_answer_without_result(job, RJ_ANSWER_ACCEPTED,
					     RJ_REASON_NONE, 0);
	g_hash_table_remove(job->core->jobs.forwards, &job->forward_id);
	job->forward_id = 0;
	rj_job_watch(job);
}

/*
 * Settles the open claim of an attempt that no live instance runs. A job that
 * watches it here continues with the workers' answers.
 */
static void settle_claim(struct rj_core_state *core,
			 const struct rj_job_entry *entry)
{
	struct rj_job *job = rj_jobs_find(core, entry->job_id);

	if (!job) {
		job = rj_job_new(
			core, &entry->spec,
			core->config ? rj_config_class(core->config,
						       entry->spec.class_name) :
				       NULL);
		job->body_missing = true;
	}
	if (job->state == RJ_JOB_FORWARDED)
		take_back_forwarded(job, entry);
	/* A watching job may not know that it was accepted; its outcome would
	 * not be written to the log. */
	if (entry->accepted)
		mark_accepted(job, entry);
	job->cancelled = job->cancelled || entry->cancelled;
	/* Earlier attempts may have run even if the open one never did. */
	job->ran_before = job->ran_before || entry->claimed_before;
	job->attempt = entry->attempt;
	job->claimed = true;
	members_from_log(job, entry);
	rj_job_settle(job);
}

/* Whether a job here serves the entry. */
static bool is_served_here(const struct rj_job *job,
			   const struct rj_job_entry *entry)
{
	if (!job || job->state == RJ_JOB_WATCHING ||
	    job->state == RJ_JOB_FORWARDED)
		return false;
	/* This includes a new attempt that is still queued here while the claim
	 * of an older one is open in the log. */
	return true;
}

/* Serves an accepted job that has no live owner. */
static void serve_accepted(struct rj_core_state *core,
			   const struct rj_job_entry *entry)
{
	struct rj_job *job = rj_jobs_find(core, entry->job_id);

	if (is_served_here(job, entry))
		return;
	if (job && job->state == RJ_JOB_FORWARDED)
		take_back_forwarded(job, entry);
	if (!job)
		job = rj_job_new(
			core, &entry->spec,
			core->config ? rj_config_class(core->config,
						       entry->spec.class_name) :
				       NULL);
	mark_accepted(job, entry);
	/* An attempt whose claim was closed may have run before it stopped. */
	job->ran_before = job->ran_before || entry->attempt.number;
	rj_core_log(core, RJ_LOG_ADOPT, RJ_REASON_OWNER, job, NULL);
	if (entry->cancelled)
		rj_job_abandon(job, RJ_REASON_CANCELLED, 0);
	else if (entry->incomplete && !job->idempotent)
		rj_job_abandon(job, RJ_REASON_LOG_GAP, 0);
	else
		rj_job_submit(job);
}

/* Whether this instance owns the job of the entry. */
static bool owned_here(const struct rj_core_state *core,
		       const struct rj_job_entry *entry)
{
	return rj_ownership_owns(
		core, entry->domain,
		rj_racks_job_key(core, entry->domain, entry->job_id));
}

/* Re-appends what an entry consists of: its outcome; or its accept record and
 * its open claim; or a void record if it has none of these. */
static void carry_forward(struct rj_core_state *core,
			  struct rj_job_entry *entry)
{
	struct rj_record record;

	memset(&record, 0, sizeof(record));
	record.carried = true;
	record.attempt = entry->attempt;
	record.attempt.job_id = entry->job_id;
	record.spec = entry->spec;
	g_strlcpy(record.domain, entry->domain, sizeof(record.domain));
	entry->last_carried_us = core->now_us;
	if (entry->settled) {
		record.kind = RJ_RECORD_OUTCOME;
		record.outcome = entry->outcome;
		record.reason = entry->reason;
		record.result = entry->result;
		rj_log_append(core, RJ_STREAM_JOBS, &record);
		return;
	}
	if (entry->accepted) {
		record.kind = RJ_RECORD_ACCEPT;
		rj_log_append(core, RJ_STREAM_JOBS, &record);
	}
	if (entry->claimed) {
		record.kind = RJ_RECORD_CLAIM;
		record.spec.body = (struct rj_bytes){ 0 };
		record.members = entry->members;
		record.member_count = entry->member_count;
		record.lease_life_us = entry->lease_life_us;
		rj_log_append(core, RJ_STREAM_JOBS, &record);
	}
	if (!rj_job_entry_has_state(entry)) {
		record.kind = RJ_RECORD_VOID;
		rj_log_append(core, RJ_STREAM_JOBS, &record);
	}
}

/*
 * Whether the records of an entry were trimmed early and this instance has to
 * re-append them: at once as owner, else after a delay if the owner has not.
 *
 * An instance that starts on a log trimmed early does not know a key that runs
 * or ran: a non-idempotent job would run twice, or an accepted job would be
 * lost. The owner itself may not have read the trimmed records.
 */
static bool restore_due(struct rj_core_state *core, struct rj_job_entry *entry)
{
	if (entry->complete_from_offset >=
	    core->streams[RJ_STREAM_JOBS].oldest) {
		entry->restore_us = 0;
		return false;
	}
	if (!entry->restore_us)
		entry->restore_us =
			core->now_us +
			(owned_here(core, entry) ?
				 0 :
				 rj_core_jitter_us(core, CARRY_RETRY_US));
	/* The end of an attempt is re-appended once, for readers that missed
	 * it. */
	if (!rj_job_entry_has_state(entry) && entry->last_carried_us)
		return false;
	return core->now_us >= entry->restore_us &&
	       core->now_us >= entry->last_carried_us + CARRY_RETRY_US;
}

/* Whether half of the retention has passed since the oldest record of an entry
 * that still matters, and this instance owns it. */
static bool carry_due(const struct rj_core_state *core,
		      const struct rj_job_entry *entry)
{
	uint64_t half_us = core->retention_us / 2;

	return rj_job_entry_has_state(entry) &&
	       core->now_us >= entry->oldest_record_us + half_us &&
	       core->now_us >= entry->last_carried_us + half_us / 4 &&
	       owned_here(core, entry);
}

/*
 * Re-appends an entry at half of the retention, counted from its oldest record,
 * since an outcome is meaningless without its claim, and when its records were
 * trimmed early. Removes it when no work is open and the lifetime of its key
 * has passed.
 */
static void maintain_entry(struct rj_core_state *core,
			   struct rj_job_entry *entry)
{
	uint64_t key_lifetime_us =
		core->config ? core->config->limits.key_life_s * RJ_US_PER_S :
			       core->retention_us;
	uint64_t half_us = core->retention_us / 2;

	if ((entry->settled || !rj_job_entry_has_state(entry)) &&
	    core->now_us > entry->first_record_us + key_lifetime_us &&
	    core->now_us > entry->newest_record_us + half_us) {
		rj_job_ledger_remove(&core->ledger, entry);
		return;
	}
	if (restore_due(core, entry) || carry_due(core, entry))
		carry_forward(core, entry);
}

/*
 * Periodic check of the log's entries: settles what dead instances left open,
 * serves accepted jobs, and re-appends entries that must not be trimmed.
 *
 * An owner that only appears dead does no harm: its token is fenced at the
 * worker before its claim is voided, so a start that it sends late is refused.
 */
void rj_claims_tick(struct rj_core_state *core)
{
	bool log_usable = rj_log_usable(core);
	struct rj_list *at;
	struct rj_list *next;

	if (!core->streams[RJ_STREAM_JOBS].caught_up || core->stopping)
		return;
	RJ_FOR_EACH (at, next, &core->ledger.entries) {
		struct rj_job_entry *entry =
			RJ_CONTAINER(at, struct rj_job_entry, link);
		struct rj_job *job = rj_jobs_find(core, entry->job_id);

		if (!entry->settled && entry->claimed) {
			bool own = entry->attempt.owner == core->incarnation ||
				   (!rj_membership_incarnation_alive(
					    core, entry->attempt.owner) &&
				    owned_here(core, entry));

			if (own && !is_served_here(job, entry))
				settle_claim(core, entry);
		} else if (!entry->settled && entry->accepted && job &&
			   job->state == RJ_JOB_RUNNING) {
			rj_claims_claim_running(job);
		} else if (!entry->settled && entry->accepted && log_usable &&
			   owned_here(core, entry)) {
			serve_accepted(core, entry);
		}
		maintain_entry(core, entry);
	}
}
