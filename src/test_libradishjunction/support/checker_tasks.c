#include "support/checker_private.h"

#include <assert.h>
#include <inttypes.h>

enum member_bit {
	MEMBER_STARTED = 1,
	MEMBER_RUNNING = 2,
	MEMBER_RAN = 4,
	MEMBER_ENDED = 8,
};

static struct checker_attempt *attempt_get(struct checker *checker,
					   const struct rj_attempt *id)
{
	return g_hash_table_lookup(checker->attempts, id);
}

/*
 * Records a start with a body that no caller has sent, which is a violation.
 */
void checker_unknown_body(struct checker *checker, uint64_t now_us,
			  const struct rj_attempt *id)
{
	checker_violation(checker, now_us, INVARIANT_ANSWER,
			  "job %016" PRIx64
			  " is started with a body that no caller sent",
			  id->job_id);
}

/*
 * Records that a worker started a task, which makes no progress yet.
 */
void checker_task_started(struct checker *checker, uint64_t now_us,
			  const struct rj_attempt *id, uint32_t intent,
			  uint32_t member, uint32_t gang)
{
	struct checker_attempt *attempt = attempt_get(checker, id);

	assert(member < RJ_GANG_MAX);
	if (!attempt) {
		attempt = g_new0(struct checker_attempt, 1);
		attempt->id = *id;
		attempt->intent = intent;
		attempt->gang = gang;
		attempt->failed_us = RJ_NEVER_US;
		g_hash_table_insert(checker->attempts, &attempt->id, attempt);
		if (gang > 1)
			g_ptr_array_add(checker->gangs, attempt);
	}
	if (attempt->intent != intent)
		checker_violation(checker, now_us, INVARIANT_ANSWER,
				  "an attempt of intent %u runs the body of %u",
				  attempt->intent, intent);
	if (!(attempt->member[member] & MEMBER_STARTED))
		attempt->started++;
	else if (!checker_intent_get(checker, intent)->idempotent)
		checker_violation(checker, now_us, INVARIANT_ONCE,
				  "intent %u: member %u started twice", intent,
				  member);
	attempt->member[member] |= MEMBER_STARTED;
}

/* Checks an attempt at its first progress, from which on it counts as run. */
static void check_run(struct checker *checker, uint64_t now_us,
		      struct checker_attempt *attempt)
{
	struct checker_intent *intent =
		checker_intent_get(checker, attempt->intent);
	uint32_t ran = 0;

	attempt->ran = true;
	intent->ran++;
	checker->checks[INVARIANT_NOT_RUN]++;
	if (intent->refused >= intent->requests)
		checker_violation(
			checker, now_us, INVARIANT_NOT_RUN,
			"intent %u runs after every answer was not_run",
			attempt->intent);
	if (intent->idempotent)
		return;
	checker->checks[INVARIANT_ONCE]++;
	for (uint32_t i = 0; i < checker->intents->len; i++) {
		struct checker_intent *other = checker_intent_get(checker, i);

		if (i == attempt->intent ||
		    (intent->key && other->key == intent->key))
			ran += other->ran;
	}
	if (ran > 1)
		checker_violation(checker, now_us, INVARIANT_ONCE,
				  "intent %u (key %u) runs for the %uth time",
				  attempt->intent, intent->key, ran);
}

/*
 * Records that a started task begins or stops making progress.
 */
void checker_task_progress(struct checker *checker, uint64_t now_us,
			   const struct rj_attempt *id, uint32_t member,
			   bool progress)
{
	struct checker_attempt *attempt = attempt_get(checker, id);
	bool was;

	assert(attempt && (attempt->member[member] & MEMBER_STARTED));
	was = attempt->member[member] & MEMBER_RUNNING;
	if (was == progress)
		return;
	attempt->member[member] ^= MEMBER_RUNNING;
	if (!progress) {
		attempt->running--;
		return;
	}
	attempt->running++;
	if (!(attempt->member[member] & MEMBER_RAN))
		attempt->progressed++;
	attempt->member[member] |= MEMBER_RAN;
	if (!attempt->ran)
		check_run(checker, now_us, attempt);
	if (attempt->progressed == attempt->gang)
		checker_guarantee_met(checker, now_us, attempt);
	checker->checks[INVARIANT_GANG] += attempt->gang > 1;
	if (attempt->started < attempt->gang)
		checker_violation(
			checker, now_us, INVARIANT_GANG,
			"intent %u: member %u runs with %u of %u started",
			attempt->intent, member, attempt->started,
			attempt->gang);
}

/*
 * Records that a task ended: done, failed, stopped, or lost with its worker
 * (RJ_TASK_NONE).
 */
void checker_task_ended(struct checker *checker, uint64_t now_us,
			const struct rj_attempt *id, uint32_t member,
			enum rj_task_state state)
{
	struct checker_attempt *attempt = attempt_get(checker, id);

	if (!attempt || !(attempt->member[member] & MEMBER_STARTED) ||
	    (attempt->member[member] & MEMBER_ENDED))
		return;
	checker_task_progress(checker, now_us, id, member, false);
	attempt->member[member] |= MEMBER_ENDED;
	if (state != RJ_TASK_DONE) {
		if (attempt->failed_us == RJ_NEVER_US)
			attempt->failed_us = now_us;
		return;
	}
	if (++attempt->done == attempt->gang)
		checker_intent_get(checker, attempt->intent)->completed++;
}

/*
 * Checks that no member of a gang runs on after another member has ended
 * without being done, beyond the lease lifetime and CHECKER_GANG_MARGIN_US.
 */
void checker_gang_tick(struct checker *checker, uint64_t now_us)
{
	uint64_t limit_us = checker->lease_life_us + CHECKER_GANG_MARGIN_US;

	for (guint i = 0; i < checker->gangs->len; i++) {
		struct checker_attempt *attempt =
			g_ptr_array_index(checker->gangs, i);

		if (attempt->failed_us == RJ_NEVER_US || !attempt->running ||
		    attempt->reported ||
		    now_us <= attempt->failed_us + limit_us)
			continue;
		attempt->reported = true;
		checker_violation(
			checker, now_us, INVARIANT_GANG,
			"intent %u: %u members still run, one ended at %" PRIu64,
			attempt->intent, attempt->running, attempt->failed_us);
	}
}
