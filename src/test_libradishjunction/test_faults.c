#include <glib.h>

#include "support/faults.h"

/* Few enough to be quick; scripts/bench faults runs any number. */
#define SEEDS 40

/* Violations of `promise` in its own profile's first seeds. */
static uint32_t violations_of(const struct engine_ops *engine,
			      enum promise promise)
{
	struct faults_result result;
	uint32_t count;

	faults_result_init(&result);
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		faults_run(engine, promise, seed, NULL, &result);
	g_assert_cmpuint(result.checks[promise], >, 0);
	count = result.violations[promise];
	if (count)
		g_test_message("%s", result.first[promise]);
	faults_result_finish(&result);
	return count;
}

static void test_invariant_holds(gconstpointer data)
{
	enum promise promise = GPOINTER_TO_UINT(data);

	g_assert_cmpuint(violations_of(&engine_core, promise), ==, 0);
}

/*
 * The same faults against decisions without claims, read-back, fences and
 * reclaim: if these were not seen to fail, the proof would prove nothing.
 */
static void test_reference_implementation_violates_invariant(gconstpointer data)
{
	enum promise promise = GPOINTER_TO_UINT(data);

	g_assert_cmpuint(violations_of(&engine_naive, promise), >, 0);
}

/* A seed that once failed: nothing at all may be violated in it. */
static void check_seed(enum promise promise, uint64_t seed)
{
	struct faults_result result;

	faults_result_init(&result);
	faults_run(&engine_core, promise, seed, NULL, &result);
	for (uint32_t i = 0; i < PROMISE_COUNT; i++)
		g_assert_cmpstr(result.first[i], ==, "");
	faults_result_finish(&result);
}

/*
 * A quote with an empty body is priced.
 * The owner of a claim dies; a buyer looks its job up at another instance,
 * which settles the claim as never started and starts the job anew.
 * Cause: a claim in the log has no body, and the look-up brought none.
 */
static void test_job_known_from_its_claim_is_not_started(void)
{
	check_seed(PROMISE_ONCE, 277);
	check_seed(PROMISE_NOT_RUN, 73);
}

/*
 * A tutor is told that a preview ran and failed; no worker ever saw it.
 * Its start is lost on the way, the retry budget is spent, and the job is
 * given up.
 * Cause: a start that was sent was taken for a task that ran.
 */
static void test_lost_start_is_not_a_failed_run(void)
{
	check_seed(PROMISE_GANG, 49);
	check_seed(PROMISE_NOT_RUN, 87);
}

/*
 * A tutor looks a cancelled job up, is told "not run", and then it runs.
 * The instance that was asked had cancelled it in its memory and was paused
 * before the log knew; a peer took the job over and started it.
 * Cause: a look-up was answered from memory before the outcome was read back.
 */
static void test_lookup_of_a_cancelled_job_waits_for_the_log(void)
{
	check_seed(PROMISE_ANSWER, 265);
}

/*
 * A tutor cancels an accepted job and is told "not run"; it runs afterwards.
 * Its former owner slept through the cancellation, wakes while the platform
 * is down, and starts the job without a claim.
 * Cause: what an instance knew before a pause was taken for the present.
 */
static void test_resumed_instance_reads_before_starting_accepted_jobs(void)
{
	check_seed(PROMISE_NOT_RUN, 316);
}

/*
 * A buyer asks at two instances with one key. One prices the quote; the
 * other, which wakes from a pause and is draining, says "not run".
 * Cause: what it had read of the log before the pause was taken for fresh.
 */
static void test_resumed_instance_reads_before_taking_a_key_as_new(void)
{
	check_seed(PROMISE_NOT_RUN, 894);
	check_seed(PROMISE_ONCE, 919);
}

/*
 * A tutor cancels an accepted job in an outage and is told "not run" once
 * the log is back; a peer had started it meanwhile without a claim.
 * Cause: the outcome was settled on before the outage and written after it.
 */
static void test_cancelled_in_an_outage_is_not_answered_not_run(void)
{
	check_seed(PROMISE_ACCEPTED, 501);
}

/*
 * A tutor's cancelled job runs.
 * A peer in another domain adopts it, because all of its own domain are dead,
 * and has lost one read: it takes that for an outage and starts without a
 * claim what the log has just ended.
 * Cause: one lost read counted as an outage.
 */
static void test_one_lost_read_is_no_outage(void)
{
	check_seed(PROMISE_ACCEPTED, 937);
}

/*
 * A tutor cancels an accepted job after an outage and is told "not run"; it
 * was started during the outage by a peer, where it runs to its end.
 * Cause: what was started without a claim was not claimed when the log was
 * there again, so that nobody else knew of it.
 */
static void test_started_in_an_outage_is_claimed_after_it(void)
{
	check_seed(PROMISE_NOT_RUN, 554);
}

/*
 * An accepted job waits for ever.
 * Its owner starts while the platform is down, so that a peer's summaries of
 * the racks come before the list of workers; they are not sent again.
 * Cause: a summary that named no known worker was dropped.
 */
static void test_summary_before_the_list_is_not_lost(void)
{
	check_seed(PROMISE_ACCEPTED, 136);
	check_seed(PROMISE_NOT_RUN, 194);
	check_seed(PROMISE_GUARANTEE, 19);
}

/*
 * An accepted job is done, and its caller asks for it for ever.
 * Its first attempt is voided during an outage that swallows the void; the
 * second runs without a claim, and readers ignore its outcome.
 * Cause: the claim of an attempt that was over stayed open.
 */
static void test_outcome_after_a_lost_void_is_read(void)
{
	check_seed(PROMISE_ACCEPTED, 359);
	check_seed(PROMISE_NOT_RUN, 500);
}

/*
 * A tutor cancels a running job and is told at last that it did not run.
 * Its owner stops it and dies; the peer that had only watched it settles the
 * claim, takes it for a job that was never accepted, and records no outcome;
 * the next round ends the cancelled job as one that never started.
 * Cause: whether a job was accepted was asked only of new ones.
 */
static void test_watched_job_that_is_settled_stays_accepted(void)
{
	check_seed(PROMISE_ACCEPTED, 58);
}

/*
 * A tutor's guaranteed shape is not given back.
 * An accepted job of another account is placed on the rack by a peer that
 * does not plan it; or the tutor's own job is sent to a peer that owned the
 * rack once, and waits there.
 * Cause: who has to reclaim was not who had placed.
 */
static void test_reclaiming_instance_places_the_job(void)
{
	check_seed(PROMISE_GUARANTEE, 38);
	check_seed(PROMISE_GUARANTEE, 17);
}

/*
 * A failure domain slowly fills with leases that nobody uses, until nothing
 * starts there any more.
 * A lease's answer is lost, then its release; the attempt is given up, and
 * every report renews the lease with all others of the instance.
 * Cause: what a report showed of abandoned attempts was not looked at.
 */
static void test_leases_of_abandoned_attempts_are_cleared(void)
{
	check_seed(PROMISE_GUARANTEE, 32);
}

/*
 * A tutor's job with a guarantee waits its turn in another failure domain.
 * Its own domain is full of borrowers, so it was sent to a quicker one, where
 * the account has nothing to get back.
 * Cause: the way to another domain did not ask for a guarantee at home.
 */
static void test_entitled_job_stays_in_its_domain(void)
{
	check_seed(PROMISE_GUARANTEE, 1);
	check_seed(PROMISE_GUARANTEE, 79);
}

/*
 * An instance that drains ends with a failed assertion, and its callers are
 * cut off.
 * A tutor looks an accepted job up while it is being stopped; it goes back to
 * the queue and is handed to its next owner.
 * Cause: only those who waited when the stop began were sent on.
 */
static void test_lookup_during_a_drain_is_forwarded(void)
{
	check_seed(PROMISE_NOT_RUN, 770);
}

/*
 * A buyer gets two prices for one quote.
 * Its claim was trimmed in an outage and its outcome was not; an instance
 * that started meanwhile is asked again with the same key.
 * Cause: see test_job_ledger.
 */
static void test_outcome_outlives_its_claim(void)
{
	check_seed(PROMISE_ONCE, 894);
}

/*
 * A render that was accepted never ends.
 * Its first request was forwarded and the peer's answer lost; a later one is
 * accepted at the peer, and the log makes the first instance its owner.
 * Cause: to that instance the job was still with the peer.
 */
static void test_forward_without_an_answer_is_taken_back(void)
{
	check_seed(PROMISE_ANSWER, 64);
	check_seed(PROMISE_STOP, 75);
}

/*
 * A tutor's guaranteed lesson pack is not started, though all workers are
 * free.
 * Its instance forwards it to the owner of the rack over a link that is cut
 * for a moment and goes on to stand; nobody hears of the loss.
 * Cause: only the end of a link said that what it carried may be lost.
 */
static void test_forward_lost_on_an_established_link(void)
{
	check_seed(PROMISE_STOP, 8745);
}

/*
 * A tutor's guaranteed lesson pack waits for the end of another account's
 * renders, 4 to 11 s.
 * An instance dies, and its peer places renders on all racks; the instance
 * comes back, owns its racks again, and finds them full.
 * Cause: what another instance drives was nobody's work to the owner, who
 * could not ask for its room; asked for it, the other took the room again.
 */
static void test_jobs_of_an_interim_owner_are_reclaimed(void)
{
	check_seed(PROMISE_GUARANTEE, 337);
	check_seed(PROMISE_GUARANTEE, 788);
	check_seed(PROMISE_GUARANTEE, 857);
}

/*
 * A tutor's guaranteed shape is reclaimed 3 s late after a restart.
 * The instance hears what runs on its workers before its configuration, and
 * reports without news do not say it again.
 * Cause: without a class, a task was taken for one that cannot be stopped.
 */
static void test_tasks_seen_before_the_configuration_are_reclaimed(void)
{
	check_seed(PROMISE_GUARANTEE, 4642);
}

/*
 * A tutor's guaranteed shape is freed in time and starts seconds later.
 * A lease is lost, or refused by a release that is still on its way; or what
 * was to make way waits for its claim to show in a log that is down.
 * Cause: the whole shape was held for 2 s, or was filled by others meanwhile.
 */
static void test_freed_shape_is_kept_until_the_start(void)
{
	check_seed(PROMISE_GUARANTEE, 101);
	check_seed(PROMISE_GUARANTEE, 153);
	check_seed(PROMISE_GUARANTEE, 301);
	check_seed(PROMISE_GUARANTEE, 1445);
}

/*
 * A tutor's guaranteed lesson pack competes with the owner of its rack.
 * An interim owner starts it, the start is lost, and it waits again at an
 * instance that can reclaim nothing.
 * Cause: where a job waits was chosen once, at the door.
 */
static void test_job_waits_at_the_owner_of_its_shape(void)
{
	check_seed(PROMISE_GUARANTEE, 862);
	check_seed(PROMISE_GUARANTEE, 1732);
	check_seed(PROMISE_GUARANTEE, 1968);
}

/* Promises that the core keeps in every seed that was run. */
static const enum promise kept_by_core[] = { PROMISE_GUARANTEE, PROMISE_GANG,
					     PROMISE_ANSWER,	PROMISE_NOT_RUN,
					     PROMISE_CONFIG,	PROMISE_ONCE,
					     PROMISE_LEAVING,	PROMISE_STOP,
					     PROMISE_ACCEPTED };

/* Promises that the naive version breaks within the seeds of this test. */
static const enum promise violated_by_reference[] = {
	PROMISE_GUARANTEE, PROMISE_GANG,   PROMISE_ANSWER,
	PROMISE_NOT_RUN,   PROMISE_ONCE,   PROMISE_LEAVING,
	PROMISE_STOP,	   PROMISE_CONFIG, PROMISE_ACCEPTED
};

static void add_invariant(const char *prefix, enum promise promise,
			  GTestDataFunc test)
{
	char *path = g_strdup_printf("/faults/%s/%s", prefix,
				     promise_string[promise]);

	g_test_add_data_func(path, GUINT_TO_POINTER(promise), test);
	g_free(path);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < sizeof(kept_by_core) / sizeof(kept_by_core[0]);
	     i++)
		add_invariant("core", kept_by_core[i], test_invariant_holds);
	for (size_t i = 0; i < sizeof(violated_by_reference) /
				       sizeof(violated_by_reference[0]);
	     i++)
		add_invariant("naive", violated_by_reference[i],
			      test_reference_implementation_violates_invariant);
	g_test_add_func("/faults/body",
			test_job_known_from_its_claim_is_not_started);
	g_test_add_func("/faults/lost_start",
			test_lost_start_is_not_a_failed_run);
	g_test_add_func("/faults/lookup_of_cancelled",
			test_lookup_of_a_cancelled_job_waits_for_the_log);
	g_test_add_func(
		"/faults/sleeper",
		test_resumed_instance_reads_before_starting_accepted_jobs);
	g_test_add_func("/faults/sleeper_key",
			test_resumed_instance_reads_before_taking_a_key_as_new);
	g_test_add_func("/faults/cancelled_in_outage",
			test_cancelled_in_an_outage_is_not_answered_not_run);
	g_test_add_func("/faults/lost_read", test_one_lost_read_is_no_outage);
	g_test_add_func("/faults/claimed_after_outage",
			test_started_in_an_outage_is_claimed_after_it);
	g_test_add_func("/faults/early_summary",
			test_summary_before_the_list_is_not_lost);
	g_test_add_func("/faults/lost_void",
			test_outcome_after_a_lost_void_is_read);
	g_test_add_func("/faults/watched_accepted",
			test_watched_job_that_is_settled_stays_accepted);
	g_test_add_func("/faults/who_reclaims",
			test_reclaiming_instance_places_the_job);
	g_test_add_func("/faults/left_over_leases",
			test_leases_of_abandoned_attempts_are_cleared);
	g_test_add_func("/faults/entitled",
			test_entitled_job_stays_in_its_domain);
	g_test_add_func("/faults/trimmed_claim",
			test_outcome_outlives_its_claim);
	g_test_add_func("/faults/lost_forward_answer",
			test_forward_without_an_answer_is_taken_back);
	g_test_add_func("/faults/drain_lookup",
			test_lookup_during_a_drain_is_forwarded);
	g_test_add_func("/faults/lost_forward",
			test_forward_lost_on_an_established_link);
	g_test_add_func("/faults/interim_owner",
			test_jobs_of_an_interim_owner_are_reclaimed);
	g_test_add_func("/faults/before_config",
			test_tasks_seen_before_the_configuration_are_reclaimed);
	g_test_add_func("/faults/freed_shape",
			test_freed_shape_is_kept_until_the_start);
	g_test_add_func("/faults/waits_at_owner",
			test_job_waits_at_the_owner_of_its_shape);
	return g_test_run();
}
