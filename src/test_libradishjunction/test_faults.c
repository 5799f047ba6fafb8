#include <glib.h>

#include "support/faults.h"

/* Kept low for a short run; scripts/bench faults runs any number. */
#define SEEDS 40

/* Returns the violations of an invariant in its profile's first seeds. */
static uint32_t violations_of(const struct engine_ops *engine,
			      enum invariant invariant)
{
	struct faults_result result;
	uint32_t count;

	faults_result_init(&result);
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		faults_run(engine, invariant, seed, NULL, &result);
	g_assert_cmpuint(result.checks[invariant], >, 0);
	count = result.violations[invariant];
	if (count)
		g_test_message("%s", result.first[invariant]);
	faults_result_finish(&result);
	return count;
}

static void test_invariant_holds(gconstpointer data)
{
	enum invariant invariant = GPOINTER_TO_UINT(data);

	g_assert_cmpuint(violations_of(&engine_core, invariant), ==, 0);
}

/*
 * Runs the same faults against an implementation without claims, read-back,
 * fences and reclaim. If it passes, the faults test nothing.
 */
static void test_reference_implementation_violates_invariant(gconstpointer data)
{
	enum invariant invariant = GPOINTER_TO_UINT(data);

	g_assert_cmpuint(violations_of(&engine_reference, invariant), >, 0);
}

/* Runs one seed in which no invariant may be violated. */
static void check_seed(enum invariant invariant, uint64_t seed)
{
	struct faults_result result;

	faults_result_init(&result);
	faults_run(&engine_core, invariant, seed, NULL, &result);
	for (uint32_t i = 0; i < INVARIANT_COUNT; i++)
		g_assert_cmpstr(result.first[i], ==, "");
	faults_result_finish(&result);
}

/*
 * A look-up must not start a job that is known only from its claim. The owner
 * of the claim dies; a peer that is asked for the job settles the claim as
 * never started, and would start the job with an empty body, because a claim in
 * the log has no body.
 */
static void test_job_known_from_its_claim_is_not_started(void)
{
	check_seed(INVARIANT_ONCE, 277);
	check_seed(INVARIANT_NOT_RUN, 73);
}

/*
 * A start that was sent must not count as a run. The start is lost, the retry
 * budget is spent, and the caller is told that the job ran and failed, though
 * no worker ever received it.
 */
static void test_lost_start_is_not_a_failed_run(void)
{
	check_seed(INVARIANT_GANG, 49);
	check_seed(INVARIANT_NOT_RUN, 87);
}

/*
 * A look-up must not be answered from memory before the outcome is read back.
 * An instance cancels a job, is paused before the log has the outcome, and
 * answers "not run"; a peer takes the job over and runs it.
 */
static void test_lookup_of_a_cancelled_job_waits_for_the_log(void)
{
	check_seed(INVARIANT_ANSWER, 265);
}

/*
 * An instance must read the log after a pause before it starts accepted jobs. A
 * job is cancelled and answered "not run" while its former owner is paused; the
 * owner resumes while the platform is unavailable and starts the job without a
 * claim.
 */
static void test_resumed_instance_reads_before_starting_accepted_jobs(void)
{
	check_seed(INVARIANT_NOT_RUN, 316);
}

/*
 * After a pause, a key that is not in memory must not be taken for a new one.
 * One instance serves a request; another, which resumes from a pause and is
 * draining, is asked with the same key and answers "not run" from what it had
 * read before the pause.
 */
static void test_resumed_instance_reads_before_taking_a_key_as_new(void)
{
	check_seed(INVARIANT_NOT_RUN, 894);
	check_seed(INVARIANT_ONCE, 919);
}

/*
 * A cancellation that is decided in an outage must not be answered "not run"
 * once the log is available again: a peer may have started the job without a
 * claim meanwhile. The outcome is decided before the outage and written after
 * it.
 */
static void test_cancelled_in_an_outage_is_not_answered_not_run(void)
{
	check_seed(INVARIANT_ACCEPTED, 501);
}

/*
 * One lost read of the log must not count as an outage. An instance adopts a
 * job from another domain, where all instances are dead, loses one read, and
 * starts the job without a claim although the log has just recorded its
 * cancellation.
 */
static void test_one_lost_read_is_no_outage(void)
{
	check_seed(INVARIANT_ACCEPTED, 937);
}

/*
 * A job that was started without a claim in an outage must be claimed when the
 * log is available again. Otherwise no other instance knows of the run, and a
 * cancellation is answered "not run" while it runs to its end.
 */
static void test_started_in_an_outage_is_claimed_after_it(void)
{
	check_seed(INVARIANT_NOT_RUN, 554);
}

/*
 * A rack summary that arrives before the list of workers must not be dropped:
 * it is not sent again. Without it, an owner that starts while the platform is
 * unavailable never places an accepted job.
 */
static void test_summary_before_the_list_is_not_lost(void)
{
	check_seed(INVARIANT_ACCEPTED, 136);
	check_seed(INVARIANT_NOT_RUN, 194);
	check_seed(INVARIANT_GUARANTEE, 19);
}

/*
 * The claim of an attempt that is over must be closed. The first attempt is
 * voided during an outage that loses the void record; the second runs without a
 * claim. Otherwise readers ignore its outcome, and the caller waits forever.
 */
static void test_outcome_after_a_lost_void_is_read(void)
{
	check_seed(INVARIANT_ACCEPTED, 359);
	check_seed(INVARIANT_NOT_RUN, 500);
}

/*
 * A job stays accepted when its claim is settled by a peer that only watched
 * it. A running job is cancelled, its owner stops it and dies; the peer settles
 * the claim, takes the job for one that was never accepted and records no
 * outcome; the job then ends as one that never started.
 */
static void test_watched_job_that_is_settled_stays_accepted(void)
{
	check_seed(INVARIANT_ACCEPTED, 58);
}

/*
 * The instance that has to reclaim a guaranteed shape must be the one that
 * places the job. Otherwise a peer that does not plan the rack places another
 * account's accepted job there, or the guaranteed job itself waits at a peer
 * that no longer owns the rack.
 */
static void test_reclaiming_instance_places_the_job(void)
{
	check_seed(INVARIANT_GUARANTEE, 38);
	check_seed(INVARIANT_GUARANTEE, 17);
}

/*
 * Leases of abandoned attempts must be released. The answer to a lease is lost,
 * then its release; the attempt is abandoned, but each report renews the lease
 * with all others of the instance, until no capacity is left in the failure
 * domain. Reports must be checked for abandoned attempts.
 */
static void test_leases_of_abandoned_attempts_are_cleared(void)
{
	check_seed(INVARIANT_GUARANTEE, 32);
}

/*
 * A job with a guarantee must not be forwarded to another failure domain, where
 * its account has nothing to reclaim. Its own domain is full of borrowers, and
 * another one is less loaded.
 */
static void test_entitled_job_stays_in_its_domain(void)
{
	check_seed(INVARIANT_GUARANTEE, 1);
	check_seed(INVARIANT_GUARANTEE, 79);
}

/*
 * A look-up that arrives during a drain must be forwarded with its job. A job
 * that is being stopped is looked up, returns to the queue and is handed to its
 * next owner. If only requests that waited when the drain began are forwarded,
 * the instance exits with a failed assertion.
 */
static void test_lookup_during_a_drain_is_forwarded(void)
{
	check_seed(INVARIANT_NOT_RUN, 770);
}

/*
 * An outcome whose claim was trimmed from the log still answers its key.
 * Otherwise an instance that starts after an outage and is asked with the same
 * key runs the job again; see test_job_ledger.
 */
static void test_outcome_outlives_its_claim(void)
{
	check_seed(INVARIANT_ONCE, 894);
}

/*
 * A job that was forwarded without an answer must be taken back when the log
 * names the forwarding instance as its owner. The peer's answer is lost and a
 * later request accepted at the peer; if the first instance still takes the job
 * for forwarded, it never ends.
 */
static void test_forward_without_an_answer_is_taken_back(void)
{
	check_seed(INVARIANT_ANSWER, 64);
	check_seed(INVARIANT_STOP, 75);
}

/*
 * A message that is lost on a link which is cut for a moment and stays
 * established must be detected. If only the end of a link counts as a possible
 * loss, a forwarded job with a guarantee is never started, though all workers
 * are free.
 */
static void test_forward_lost_on_an_established_link(void)
{
	check_seed(INVARIANT_STOP, 8745);
}

/*
 * An owner must reclaim capacity from jobs that another instance drives. An
 * instance dies and its peer places jobs on all racks; the instance returns and
 * owns its racks again. A guaranteed job waits 4 to 11 s for the end of the
 * peer's jobs if the owner cannot ask for their capacity, or if the peer, when
 * asked, takes the capacity again.
 */
static void test_jobs_of_an_interim_owner_are_reclaimed(void)
{
	check_seed(INVARIANT_GUARANTEE, 337);
	check_seed(INVARIANT_GUARANTEE, 788);
	check_seed(INVARIANT_GUARANTEE, 857);
}

/*
 * Tasks reported before the configuration is known must be reclaimable later.
 * After a restart an instance gets the workers' reports before its
 * configuration, and reports without changes do not repeat the tasks. If a task
 * without a class counts as one that cannot be stopped, a guaranteed shape is
 * reclaimed 3 s late.
 */
static void test_tasks_seen_before_the_configuration_are_reclaimed(void)
{
	check_seed(INVARIANT_GUARANTEE, 4642);
}

/*
 * A freed guaranteed shape must stay allocated to its job until it starts. A
 * lease is lost, or refused because a release is still in flight, or the victim
 * waits for its claim to appear in an unavailable log. The whole shape must not
 * be held for 2 s, nor be filled by other jobs meanwhile.
 */
static void test_freed_shape_is_kept_until_the_start(void)
{
	check_seed(INVARIANT_GUARANTEE, 101);
	check_seed(INVARIANT_GUARANTEE, 153);
	check_seed(INVARIANT_GUARANTEE, 301);
	check_seed(INVARIANT_GUARANTEE, 1445);
}

/*
 * A job with a guarantee must wait at the owner of its rack. An interim owner
 * starts it, the start is lost, and the job waits again, at an instance that
 * cannot reclaim, if the place to wait is chosen only on submission.
 */
static void test_job_waits_at_the_owner_of_its_shape(void)
{
	check_seed(INVARIANT_GUARANTEE, 862);
	check_seed(INVARIANT_GUARANTEE, 1732);
	check_seed(INVARIANT_GUARANTEE, 1968);
}

/* Invariants that the core keeps in every seed of this test. */
static const enum invariant kept_by_core[] = {
	INVARIANT_GUARANTEE, INVARIANT_GANG,   INVARIANT_ANSWER,
	INVARIANT_NOT_RUN,   INVARIANT_CONFIG, INVARIANT_ONCE,
	INVARIANT_LEAVING,   INVARIANT_STOP,   INVARIANT_ACCEPTED
};

/* Invariants that the reference implementation violates in these seeds. */
static const enum invariant violated_by_reference[] = {
	INVARIANT_GUARANTEE, INVARIANT_GANG,   INVARIANT_ANSWER,
	INVARIANT_NOT_RUN,   INVARIANT_ONCE,   INVARIANT_LEAVING,
	INVARIANT_STOP,	     INVARIANT_CONFIG, INVARIANT_ACCEPTED
};

static void add_invariant(const char *prefix, enum invariant invariant,
			  GTestDataFunc test)
{
	char *path = g_strdup_printf("/faults/%s/%s", prefix,
				     invariant_string[invariant]);

	g_test_add_data_func(path, GUINT_TO_POINTER(invariant), test);
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
