#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "private/core_state.h"

#define NOW_US (100 * RJ_US_PER_S)
#define JOB_ID 7

struct fixture {
	struct rj_job_ledger ledger;
	void *mem;
};

static void setup(struct fixture *fixture, gconstpointer data)
{
	(void)data;
	fixture->mem = talloc_new(NULL);
	rj_job_ledger_init(&fixture->ledger, fixture->mem);
}

static void teardown(struct fixture *fixture, gconstpointer data)
{
	(void)data;
	rj_job_ledger_finish(&fixture->ledger);
	talloc_free(fixture->mem);
}

/* Returns a record of the job's first attempt with the given age. */
static struct rj_record record(enum rj_record_kind kind, uint64_t age_us)
{
	struct rj_record made = { .kind = kind, .age_us = age_us };

	made.attempt = (struct rj_attempt){ JOB_ID, 11, 1 };
	made.outcome = RJ_ANSWER_DONE;
	return made;
}

static struct rj_job_entry *apply(struct fixture *fixture,
				  struct rj_record made)
{
	return rj_job_ledger_apply(&fixture->ledger, fixture->mem, &made,
				   NOW_US);
}

/*
 * An outcome must be kept although its claim was trimmed from the log, as after
 * a long outage. Otherwise an instance that starts then takes the key for a new
 * one and runs the job again.
 */
static void test_outcome_without_its_claim(struct fixture *fixture,
					   gconstpointer data)
{
	struct rj_job_entry *entry =
		apply(fixture, record(RJ_RECORD_OUTCOME, 0));

	(void)data;
	g_assert_nonnull(entry);
	g_assert_true(entry->settled);
	g_assert_cmpuint(entry->outcome, ==, RJ_ANSWER_UNKNOWN);
	entry = apply(fixture, record(RJ_RECORD_CLAIM, 0));
	g_assert_false(entry->claimed);
}

/*
 * An instance that has the claim carries the outcome, which makes it known
 * again.
 */
static void test_carried_outcome_is_known(struct fixture *fixture,
					  gconstpointer data)
{
	struct rj_record carried = record(RJ_RECORD_OUTCOME, 0);
	struct rj_job_entry *entry;

	(void)data;
	apply(fixture, record(RJ_RECORD_OUTCOME, 0));
	carried.carried = true;
	entry = apply(fixture, carried);
	g_assert_cmpuint(entry->outcome, ==, RJ_ANSWER_DONE);
}

/*
 * An outcome must be carried according to the age of its claim. By its own age,
 * an outcome that was appended long after the claim is carried half a retention
 * later, when the claim is gone.
 */
static void test_an_outcome_is_as_old_as_its_claim(struct fixture *fixture,
						   gconstpointer data)
{
	struct rj_record carried = record(RJ_RECORD_OUTCOME, RJ_US_PER_S);
	struct rj_job_entry *entry;

	(void)data;
	apply(fixture, record(RJ_RECORD_CLAIM, 50 * RJ_US_PER_S));
	entry = apply(fixture, record(RJ_RECORD_OUTCOME, 10 * RJ_US_PER_S));
	g_assert_cmpuint(entry->outcome, ==, RJ_ANSWER_DONE);
	g_assert_cmpuint(entry->oldest_record_us, ==,
			 NOW_US - 50 * RJ_US_PER_S);
	carried.carried = true;
	entry = apply(fixture, carried);
	g_assert_cmpuint(entry->oldest_record_us, ==, NOW_US - RJ_US_PER_S);
}

/*
 * A carried acceptance must name the attempt that was claimed. An accepted job
 * runs and is stopped for a guarantee; its claim and void are trimmed. An
 * instance that starts then and reads the cancellation would answer "not run".
 */
static void test_carried_acceptance_names_the_attempt(struct fixture *fixture,
						      gconstpointer data)
{
	struct rj_record first = record(RJ_RECORD_ACCEPT, 0);
	struct rj_record carried = first;
	struct rj_job_entry *entry;

	(void)data;
	carried.carried = true;
	entry = apply(fixture, carried);
	g_assert_true(entry->accepted);
	g_assert_cmpuint(entry->attempt.number, ==, 1);
	rj_job_ledger_reset(&fixture->ledger);
	entry = apply(fixture, first);
	g_assert_cmpuint(entry->attempt.number, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/job_ledger/orphan", struct fixture, NULL, setup,
		   test_outcome_without_its_claim, teardown);
	g_test_add("/job_ledger/carried", struct fixture, NULL, setup,
		   test_carried_outcome_is_known, teardown);
	g_test_add("/job_ledger/base", struct fixture, NULL, setup,
		   test_an_outcome_is_as_old_as_its_claim, teardown);
	g_test_add("/job_ledger/accepted", struct fixture, NULL, setup,
		   test_carried_acceptance_names_the_attempt, teardown);
	return g_test_run();
}
