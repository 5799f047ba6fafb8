/*
 * The table of jobs that this instance serves, their waiters, and how they end.
 * What happens in each state is in the controllers for placement, claims, runs
 * and forwarding.
 */
#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

#define TICK_INTERVAL_US (1 * RJ_US_PER_S)
#define RETRY_TOKENS_INITIAL 10.0

const char *const rj_job_state_string[RJ_JOB_STATE_COUNT] = {
	[RJ_JOB_ACCEPTING] = "accepting", [RJ_JOB_QUEUED] = "queued",
	[RJ_JOB_LEASING] = "holding",	  [RJ_JOB_CLAIMING] = "claiming",
	[RJ_JOB_STARTING] = "starting",	  [RJ_JOB_RUNNING] = "running",
	[RJ_JOB_STOPPING] = "stopping",	  [RJ_JOB_SETTLING] = "settling",
	[RJ_JOB_FORWARDED] = "forwarded", [RJ_JOB_WATCHING] = "watching",
	[RJ_JOB_ENDED] = "ended",
};

/* Runs the periodic checks of the log and of its jobs. */
static void tick_due(struct rj_core_state *core, struct rj_timer *timer)
{
	rj_log_tick(core);
	rj_claims_tick(core);
	rj_timer_set(&core->timers, timer, core->now_us + TICK_INTERVAL_US);
}

/* The planner requested a pass at this time. */
static void plan_due(struct rj_core_state *core, struct rj_timer *timer)
{
	(void)timer;
	core->jobs.plan_wanted = true;
}

/*
 * Initialises an empty job table and starts the periodic check.
 */
void rj_jobs_init(struct rj_core_state *core)
{
	struct rj_jobs *jobs = &core->jobs;

	rj_list_init(&jobs->list);
	jobs->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	jobs->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	jobs->waiters = g_hash_table_new(g_int64_hash, g_int64_equal);
	jobs->forwards = g_hash_table_new(g_int64_hash, g_int64_equal);
	for (int i = 0; i < 2; i++)
		jobs->open_by_name[i] = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
	jobs->retry_tokens = RETRY_TOKENS_INITIAL;
	rj_decisions_init(&jobs->decisions, core);
	rj_timer_init(&jobs->plan, plan_due);
	rj_timer_init(&jobs->tick, tick_due);
	rj_timer_set(&core->timers, &jobs->tick, TICK_INTERVAL_US);
}

/*
 * Frees the tables; jobs and calls are talloc children of the core.
 */
void rj_jobs_finish(struct rj_core_state *core)
{
	g_hash_table_destroy(core->jobs.by_id);
	g_hash_table_destroy(core->jobs.calls);
	g_hash_table_destroy(core->jobs.waiters);
	g_hash_table_destroy(core->jobs.forwards);
	for (int i = 0; i < 2; i++)
		g_hash_table_destroy(core->jobs.open_by_name[i]);
	rj_decisions_finish(&core->jobs.decisions);
}

/*
 * Returns the job with this id, or NULL.
 */
struct rj_job *rj_jobs_find(const struct rj_core_state *core, uint64_t job_id)
{
	return g_hash_table_lookup(core->jobs.by_id, &job_id);
}

/* The deadline set by the caller has passed. */
static void deadline_due(struct rj_core_state *core, struct rj_timer *timer);

/* The retry delay or the time limit of the current state has passed. */
static void step_due(struct rj_core_state *core, struct rj_timer *timer);

/* Adds `change` to the number of open jobs of the job's account and class. */
static void update_open_counts(struct rj_core_state *core,
			       const struct rj_job *job, int change)
{
	const char *names[] = { job->spec.account, job->spec.class_name };

	for (int i = 0; i < 2; i++) {
		GHashTable *table = core->jobs.open_by_name[i];
		int count =
			GPOINTER_TO_INT(g_hash_table_lookup(table, names[i]));

		g_hash_table_insert(table, g_strdup(names[i]),
				    GINT_TO_POINTER(count + change));
	}
}

/*
 * Returns the number of open jobs of a class if `of_class`, else of an account.
 */
uint32_t rj_jobs_open_count(const struct rj_core_state *core, bool of_class,
			    const char *name)
{
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(core->jobs.open_by_name[of_class], name));
}

/*
 * Adds a job to the table, in state QUEUED. `class` is NULL if the class was
 * removed from the configuration; the job then counts as non-idempotent and
 * without checkpoints.
 */
struct rj_job *rj_job_new(struct rj_core_state *core,
			  const struct rj_job_spec *spec,
			  const struct rj_job_class *class)
{
	struct rj_job *job = talloc_zero(core, struct rj_job);

	assert(job);
	assert(!rj_jobs_find(core, spec->job_id));
	job->core = core;
	job->spec = *spec;
	rj_bytes_copy(job, &job->spec.body, &spec->body);
	job->priority = class ? class->priority : RJ_PRIORITY_NORMAL;
	job->idempotent = class && class->idempotent;
	job->checkpoint = class && class->checkpoint;
	job->state = RJ_JOB_QUEUED;
	job->attempt.job_id = spec->job_id;
	job->attempt.owner = core->incarnation;
	job->attempt.number = ++core->last_attempt;
	job->arrived_us = core->now_us;
	job->deadline_us = RJ_NEVER_US;
	rj_list_init(&job->waiters);
	rj_timer_init(&job->deadline, deadline_due);
	rj_timer_init(&job->state_timer, step_due);
	rj_list_append(&core->jobs.list, &job->link);
	update_open_counts(core, job, 1);
	g_hash_table_insert(core->jobs.by_id, &job->spec.job_id, job);
	core->jobs.count++;
	return job;
}

/*
 * Enters a state. Clears the timer of the previous state, which must not fire
 * in the new one.
 */
void rj_job_enter_state(struct rj_job *job, enum rj_job_state state)
{
	rj_timer_clear(&job->core->timers, &job->state_timer);
	job->state = state;
	job->state_entered_us = job->core->now_us;
}

/*
 * Frees a job that has no waiters.
 */
void rj_job_free(struct rj_job *job)
{
	struct rj_core_state *core = job->core;

	assert(job->waiters.next == &job->waiters);
	rj_job_remove_from_plan(job, false);
	rj_job_free_members(job);
	rj_timer_clear(&core->timers, &job->deadline);
	rj_timer_clear(&core->timers, &job->state_timer);
	if (job->forward_id)
		g_hash_table_remove(core->jobs.forwards, &job->forward_id);
	g_hash_table_remove(core->jobs.by_id, &job->spec.job_id);
	update_open_counts(core, job, -1);
	rj_list_remove(&job->link);
	core->jobs.count--;
	talloc_free(job);
}

/*
 * Adds a waiter for the job's answer: a caller (`request_id`) or a peer (`peer`
 * and `forward_id`).
 */
void rj_job_add_waiter(struct rj_job *job, uint64_t request_id,
		       const char *peer, uint64_t forward_id)
{
	struct rj_waiter *waiter = talloc_zero(job, struct rj_waiter);

	assert(waiter);
	waiter->job = job;
	waiter->request_id = request_id;
	waiter->forward_id = forward_id;
	waiter->since_us = job->core->now_us;
	if (peer)
		g_strlcpy(waiter->peer, peer, sizeof(waiter->peer));
	rj_list_append(&job->waiters, &waiter->link);
	if (request_id)
		g_hash_table_insert(job->core->jobs.waiters,
				    &waiter->request_id, waiter);
	job->core->jobs.waiter_count++;
}

static void waiter_free(struct rj_waiter *waiter)
{
	struct rj_core_state *core = waiter->job->core;

	if (waiter->request_id)
		g_hash_table_remove(core->jobs.waiters, &waiter->request_id);
	rj_list_remove(&waiter->link);
	core->jobs.waiter_count--;
	talloc_free(waiter);
}

/* Answers a peer that forwarded the job here. */
static void answer_peer(struct rj_core_state *core,
			const struct rj_waiter *waiter,
			const struct rj_answer *answer)
{
	struct rj_peer_message *message;

	message =
		rj_membership_send(core, waiter->peer, RJ_PEER_FORWARD_ANSWER);
	message->u.forward_answer.forward_id = waiter->forward_id;
	message->u.forward_answer.answer = *answer;
	rj_bytes_copy(message, &message->u.forward_answer.answer.result,
		      &answer->result);
}

/*
 * Answers and removes all waiters.
 */
void rj_job_answer_waiters(struct rj_job *job, const struct rj_answer *answer)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &job->waiters) {
		struct rj_waiter *waiter =
			RJ_CONTAINER(at, struct rj_waiter, link);

		if (waiter->request_id)
			rj_core_answer(job->core, waiter->request_id, answer);
		else
			answer_peer(job->core, waiter, answer);
		waiter_free(waiter);
	}
}

/*
 * Whether the job has ended and its answer may be sent. That an accepted job
 * did not run may be reported only once its outcome was read back from the log.
 */
bool rj_job_answer_is_final(const struct rj_job *job)
{
	return job->state == RJ_JOB_ENDED &&
	       !(job->accepted && job->final.kind == RJ_ANSWER_NOT_RUN);
}

/*
 * Answers and removes all waiters, without a result.
 */
void rj_job_answer_without_result(struct rj_job *job, enum rj_answer_kind kind,
				  enum rj_reason reason,
				  uint64_t retry_after_us)
{
	struct rj_answer answer;

	memset(&answer, 0, sizeof(answer));
	answer.kind = kind;
	answer.reason = reason;
	answer.job_id = job->spec.job_id;
	answer.retry_after_us = retry_after_us;
	rj_job_answer_waiters(job, &answer);
}

/*
 * Ends the job: frees its capacity, answers the waiters, and appends an outcome
 * if the log has a record of the job. The job then stays in the table until the
 * outcome was read back.
 *
 * That an accepted job did not run is reported only after reading the outcome
 * back: a peer that believed this instance dead may have claimed the job, and
 * the order of the log decides whether the claim or the outcome came first.
 */
void rj_job_end(struct rj_job *job, const struct rj_answer *answer)
{
	struct rj_core_state *core = job->core;

	job->final = *answer;
	job->final.job_id = job->spec.job_id;
	rj_bytes_copy(job, &job->final.result, &answer->result);
	rj_core_log(core, RJ_LOG_END, answer->reason, job,
		    job->member_count ? job->members[0].worker : NULL);
	rj_job_remove_from_plan(job, answer->kind == RJ_ANSWER_DONE);
	rj_timer_clear(&core->timers, &job->deadline);
	rj_timer_clear(&core->timers, &job->state_timer);
	core->jobs.plan_wanted = true;
	rj_job_enter_state(job, RJ_JOB_ENDED);
	if (rj_job_answer_is_final(job))
		rj_job_answer_waiters(job, &job->final);
	if (!job->accepted && !job->claimed) {
		rj_job_free(job);
		return;
	}
	rj_claims_append_outcome(job);
}

/*
 * Ends the job with an answer that has no result.
 */
void rj_job_end_without_result(struct rj_job *job, enum rj_answer_kind kind,
			       enum rj_reason reason, uint64_t retry_after_us)
{
	struct rj_answer answer;

	memset(&answer, 0, sizeof(answer));
	answer.kind = kind;
	answer.reason = reason;
	answer.retry_after_us = retry_after_us;
	rj_job_end(job, &answer);
}

/*
 * Ends a job of which this instance has started nothing and will start nothing.
 * Without a key the answer is `not_run`. With a key it is `unknown`: the log
 * may contain newer records, and another request with the same key may have
 * been started elsewhere. Retrying with the same key is safe.
 */
void rj_job_not_started(struct rj_job *job, enum rj_reason reason,
			uint64_t retry_after_us)
{
	assert(!job->started);
	if (job->spec.key[0])
		rj_job_end_without_result(job, RJ_ANSWER_UNKNOWN, reason,
					  retry_after_us);
	else
		rj_job_abandon(job, reason, retry_after_us);
}

/*
 * Whether another instance ever had an open claim of the job.
 *
 * A void record does not prove that nothing ran: an idempotent job is voided
 * also after a start whose answer was lost. Without this check a job that ran
 * at a peer, in an attempt that the peer abandoned, would be reported as
 * `not_run`.
 */
static bool claimed_elsewhere(const struct rj_job *job)
{
	const struct rj_job_entry *entry =
		rj_job_ledger_find(&job->core->ledger, job->spec.job_id);

	if (!entry || (!entry->first_owner && !entry->incomplete))
		return false;
	return entry->incomplete || entry->several_owners ||
	       entry->first_owner != job->core->incarnation;
}

/*
 * Whether another request with the job's key may be served elsewhere by now,
 * whatever became of this one. An accepted job is answered only from the log;
 * for any other job the log may contain newer records.
 *
 * An instance that reads its own claim back after a pause may be too late: a
 * peer may have voided the claim and served the key. A job that ran would be
 * reported as `not_run`.
 */
static bool key_may_run_elsewhere(const struct rj_job *job)
{
	return job->spec.key[0] && !job->accepted;
}

/*
 * Ends a job whose current attempt has stopped or never started. The answer is
 * `failed` only if a worker reported that it ran, and `not_run` only if no
 * attempt was started here, at a lost peer or under the same key.
 */
void rj_job_abandon(struct rj_job *job, enum rj_reason reason,
		    uint64_t retry_after_us)
{
	enum rj_answer_kind kind = RJ_ANSWER_NOT_RUN;

	if (job->ran)
		kind = RJ_ANSWER_FAILED;
	else if (job->started || job->ran_before || job->ran_elsewhere ||
		 key_may_run_elsewhere(job) || claimed_elsewhere(job))
		kind = RJ_ANSWER_UNKNOWN;
	rj_job_end_without_result(job, kind, reason, retry_after_us);
}

/*
 * Sets the time after which the waiters are answered with the state reached by
 * then, in microseconds from now. 0 sets no deadline.
 */
void rj_job_set_deadline(struct rj_job *job, uint64_t in_us)
{
	if (!in_us)
		return;
	job->deadline_us = job->core->now_us + in_us;
	rj_timer_set(&job->core->timers, &job->deadline, job->deadline_us);
}

/*
 * Answers the waiters that the job may have run or may still run, with a retry
 * time.
 */
void rj_job_answer_in_progress(struct rj_job *job, enum rj_reason reason)
{
	rj_job_answer_without_result(
		job, RJ_ANSWER_UNKNOWN, reason,
		rj_core_jitter_us(job->core, RJ_RETRY_AFTER_US));
}

static void deadline_due(struct rj_core_state *core, struct rj_timer *timer)
{
	struct rj_job *job = RJ_CONTAINER(timer, struct rj_job, deadline);

	(void)core;
	switch (job->state) {
	case RJ_JOB_QUEUED:
	case RJ_JOB_LEASING:
		if (job->accepted) {
			rj_job_answer_in_progress(job,
						  RJ_REASON_DEADLINE_PASSED);
			break;
		}
		rj_job_release_members(job);
		rj_job_not_started(job, RJ_REASON_DEADLINE_PASSED, 0);
		break;
	case RJ_JOB_STARTING:
	case RJ_JOB_RUNNING:
		rj_job_answer_in_progress(job, RJ_REASON_DEADLINE_PASSED);
		/* It has no waiter left and cannot be asked for again. */
		if (!job->accepted && !job->claimed)
			rj_job_cancel(job, RJ_REASON_DEADLINE_PASSED);
		break;
	case RJ_JOB_FORWARDED:
	case RJ_JOB_WATCHING:
		rj_job_answer_in_progress(job, RJ_REASON_DEADLINE_PASSED);
		rj_job_free(job);
		break;
	case RJ_JOB_CLAIMING:
	case RJ_JOB_SETTLING:
		/* What has not started need not be started. */
		job->cancelled = !job->accepted;
		rj_job_answer_in_progress(job, RJ_REASON_DEADLINE_PASSED);
		break;
	case RJ_JOB_ACCEPTING:
	case RJ_JOB_STOPPING:
	case RJ_JOB_ENDED:
	case RJ_JOB_STATE_COUNT:
		rj_job_answer_in_progress(job, RJ_REASON_DEADLINE_PASSED);
		break;
	}
}

static void step_due(struct rj_core_state *core, struct rj_timer *timer)
{
	struct rj_job *job = RJ_CONTAINER(timer, struct rj_job, state_timer);

	(void)core;
	switch (job->state) {
	case RJ_JOB_QUEUED:
		if (rj_route_prefers_peer(job))
			rj_job_hand_over(job);
		else
			rj_job_submit(job);
		break;
	case RJ_JOB_ACCEPTING:
	case RJ_JOB_CLAIMING:
		rj_claims_append_timeout(job);
		break;
	case RJ_JOB_SETTLING:
		rj_job_settle(job);
		break;
	case RJ_JOB_STOPPING:
		rj_job_stop(job, false, 0);
		break;
	case RJ_JOB_ENDED:
		rj_claims_append_outcome(job);
		break;
	case RJ_JOB_LEASING:
	case RJ_JOB_STARTING:
	case RJ_JOB_RUNNING:
	case RJ_JOB_FORWARDED:
	case RJ_JOB_WATCHING:
	case RJ_JOB_STATE_COUNT:
		break;
	}
}

/*
 * Cancels the job, for a caller or because it has no waiter left. A started job
 * is stopped first; its answer then tells whether it ran.
 */
void rj_job_cancel(struct rj_job *job, enum rj_reason reason)
{
	switch (job->state) {
	case RJ_JOB_QUEUED:
	case RJ_JOB_LEASING:
		rj_job_release_members(job);
		if (job->accepted)
			rj_job_abandon(job, reason, 0);
		else
			rj_job_not_started(job, reason, 0);
		break;
	case RJ_JOB_STARTING:
	case RJ_JOB_RUNNING:
		job->cancelled = true;
		job->ending = true;
		job->final.kind = RJ_ANSWER_FAILED;
		job->final.reason = reason;
		rj_job_stop(job, false, 0);
		break;
	case RJ_JOB_STOPPING:
		job->cancelled = true;
		if (job->ending)
			break;
		job->ending = true;
		job->final.kind = RJ_ANSWER_FAILED;
		job->final.reason = reason;
		break;
	case RJ_JOB_FORWARDED:
		rj_forward_cancel(job);
		break;
	case RJ_JOB_WATCHING:
		rj_claims_append_cancel(job);
		break;
	case RJ_JOB_ACCEPTING:
	case RJ_JOB_CLAIMING:
	case RJ_JOB_SETTLING:
		job->cancelled = true;
		break;
	case RJ_JOB_ENDED:
	case RJ_JOB_STATE_COUNT:
		break;
	}
}

/*
 * Handles a closed caller connection: its waiter is removed without an answer.
 * A job that only this caller waited for and that cannot be asked for again is
 * cancelled.
 */
void rj_jobs_caller_disconnected(struct rj_core_state *core,
				 uint64_t request_id)
{
	struct rj_waiter *waiter =
		g_hash_table_lookup(core->jobs.waiters, &request_id);
	struct rj_job *job;

	if (!waiter)
		return;
	job = waiter->job;
	waiter_free(waiter);
	if (job->waiters.next != &job->waiters || job->accepted ||
	    job->claimed || job->state == RJ_JOB_ACCEPTING ||
	    job->state == RJ_JOB_ENDED)
		return;
	if (job->state == RJ_JOB_WATCHING)
		rj_job_free(job);
	else
		rj_job_cancel(job, RJ_REASON_CANCELLED);
}
