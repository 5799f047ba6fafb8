#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "support/planner_fixture.h"

/*
 * Reclaim must free adjacent capacity. Other accounts' renders fill a
 * guaranteed rack; the right number of accelerators is not enough if they are
 * scattered.
 */
static void test_guarantee_occupied_by_gangs(struct planner_fixture *f,
					     const void *data)
{
	const struct rj_decision *start;
	uint32_t reclaims;

	planner_submit_many(f, planner_job_of(1, 'c', 2, 8), 4);
	planner_pass(f, 0);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_START), ==, 4);
	planner_submit(f, planner_job_of(10, 'a', 4, 8), S);
	planner_pass(f, S);
	reclaims = planner_count_of(f, RJ_DECISION_RECLAIM);
	g_assert_cmpuint(reclaims, ==, 2);
	for (uint32_t i = 0; i < reclaims; i++) {
		g_assert_cmpuint(f->decisions.list[i].for_job, ==, 10);
		g_assert_cmpuint(f->decisions.list[i].limit_us, ==,
				 LIMIT_MS * RJ_US_PER_MS);
	}
	planner_apply_reclaims(f, 0, S + 1);
	planner_pass(f, S + 1);
	start = planner_decision_on(f, 10);
	g_assert_nonnull(start);
	g_assert_cmpint(start->reason, ==, RJ_REASON_GUARANTEE);
	g_assert_true(planner_is_in_one_rack(start));
}

/*
 * A job that cannot be stopped must not be placed on another account's
 * guaranteed rack, even if the rack is idle: it cannot be reclaimed.
 */
static void test_unstoppable_jobs_stay_off_guarantees(struct planner_fixture *f,
						      const void *data)
{
	struct rj_plan_job charge = planner_job_of(1, 'c', 1, 8);

	charge.preemptible = false;
	planner_submit_many(f, charge, WORKERS);
	planner_pass(f, 0);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_START), ==, 2);
	planner_submit(f, planner_job_of(20, 'a', 4, 8), S);
	planner_submit(f, planner_job_of(21, 'b', 2, 8), S);
	planner_pass(f, S);
	g_assert_cmpint(planner_decision_on(f, 20)->kind, ==,
			RJ_DECISION_START);
	g_assert_cmpint(planner_decision_on(f, 21)->kind, ==,
			RJ_DECISION_START);
}

static void
test_unstoppable_jobs_run_on_their_own_guarantee(struct planner_fixture *f,
						 const void *data)
{
	struct rj_plan_job charge = planner_job_of(1, 'b', 1, 8);

	charge.preemptible = false;
	planner_submit_many(f, charge, WORKERS);
	planner_pass(f, 0);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_START), ==, 4);
}

/*
 * Two accounts reclaim their guarantees at the same time from jobs that fill
 * both racks. If the second claim counts capacity that the first has claimed,
 * one account starves.
 */
static void test_two_accounts_reclaim_at_once(struct planner_fixture *f,
					      const void *data)
{
	planner_submit_many(f, planner_job_of(1, 'c', 1, 8), WORKERS);
	planner_pass(f, 0);
	planner_submit(f, planner_job_of(20, 'a', 4, 8), S);
	planner_submit(f, planner_job_of(21, 'b', 2, 8), S);
	planner_pass(f, S);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_RECLAIM), ==, 6);
	planner_apply_reclaims(f, 0, S + 1);
	planner_pass(f, S + 1);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_START), ==, 2);
	g_assert_true(planner_is_in_one_rack(planner_decision_on(f, 20)));
	g_assert_true(planner_is_in_one_rack(planner_decision_on(f, 21)));
}

/*
 * Jobs of different sizes must share a guarantee. Its worker is unavailable; a
 * job of two accelerators is placed elsewhere, then one of one accelerator is
 * submitted. If use is counted in tasks of the new job, the first job counts as
 * two, and half of the guarantee stays unused.
 */
static void test_mixed_sizes_share_a_guarantee(struct planner_fixture *f,
					       const void *data)
{
	f->guarantees[1].shape = (struct rj_shape){ 1, { 1, 2, 1, 1 }, false };
	f->guarantees[1].count = 2;
	planner_configure(f);
	f->planner->ops->worker_removed(f->planner, RACK_WORKERS, 0);
	planner_submit_many(f, planner_job_of(1, 'c', 1, 8), WORKERS - 1);
	planner_pass(f, 0);
	planner_submit(f, planner_job_of(20, 'b', 1, 2), S);
	planner_pass(f, S);
	planner_apply_reclaims(f, 0, S);
	planner_pass(f, S);
	g_assert_cmpint(planner_decision_on(f, 20)->kind, ==,
			RJ_DECISION_START);
	/* Others may use the rest of that worker again. */
	planner_submit_many(f, planner_job_of(30, 'c', 1, 6), 1);
	planner_pass(f, S);
	planner_submit(f, planner_job_of(21, 'b', 1, 1), S);
	planner_pass(f, S);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_RECLAIM), ==, 1);
	planner_apply_reclaims(f, 0, S);
	planner_pass(f, S);
	g_assert_cmpint(planner_decision_on(f, 21)->kind, ==,
			RJ_DECISION_START);
	/* Now the guarantee is used up. */
	planner_submit_many(f, planner_job_of(40, 'c', 1, 5), 1);
	planner_submit_many(f, planner_job_of(41, 'b', 1, 2), 1);
	planner_pass(f, S);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_RECLAIM), ==, 0);
}

/*
 * A reclaim must choose another shape if a worker does not respond. It claims
 * two workers; the task on one of them neither stops nor reports, and the job
 * would wait forever.
 */
static void
test_reclaim_avoids_an_unresponsive_worker(struct planner_fixture *f,
					   const void *data)
{
	uint64_t now_us = S;
	uint64_t unresponsive;

	planner_submit_many(f, planner_job_of(1, 'c', 1, 8), WORKERS);
	planner_pass(f, 0);
	planner_submit(f, planner_job_of(20, 'b', 2, 8), now_us);
	planner_pass(f, now_us);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_RECLAIM), ==, 2);
	unresponsive = f->decisions.list[0].job_id;
	planner_apply_reclaims(f, unresponsive, now_us);
	planner_pass(f, now_us);
	g_assert_null(planner_decision_on(f, 20));
	now_us = f->planner->ops->wake_us(f->planner);
	g_assert_cmpuint(now_us, <=, S + LIMIT_MS * RJ_US_PER_MS + S);
	planner_pass(f, now_us);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_RECLAIM), >=, 1);
	planner_apply_reclaims(f, unresponsive, now_us);
	planner_pass(f, now_us);
	g_assert_cmpint(planner_decision_on(f, 20)->kind, ==,
			RJ_DECISION_START);
}

/*
 * A reclaim must survive its workers. Two claimed workers die while they are
 * being freed; the other two of the rack are enough.
 */
static void test_workers_die_during_reclaim(struct planner_fixture *f,
					    const void *data)
{
	uint32_t worker_of[WORKERS + 1];
	uint64_t victims[2];

	planner_submit_many(f, planner_job_of(1, 'c', 1, 8), WORKERS);
	planner_pass(f, 0);
	for (uint32_t i = 0; i < WORKERS; i++)
		worker_of[f->decisions.list[i].job_id] =
			f->decisions.list[i].members[0].worker;
	planner_submit(f, planner_job_of(20, 'b', 2, 8), S);
	planner_pass(f, S);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_RECLAIM), ==, 2);
	for (uint32_t i = 0; i < 2; i++)
		victims[i] = f->decisions.list[i].job_id;
	for (uint32_t i = 0; i < 2; i++)
		f->planner->ops->worker_removed(f->planner,
						worker_of[victims[i]], S);
	planner_pass(f, S);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_RECLAIM), ==, 2);
	planner_apply_reclaims(f, 0, S);
	planner_pass(f, S);
	g_assert_cmpint(planner_decision_on(f, 20)->kind, ==,
			RJ_DECISION_START);
}

/*
 * The homes of guaranteed shapes must follow the configuration. Computed once,
 * they keep unstoppable jobs off the rack after a guarantee is lowered, and let
 * them in after one is raised.
 */
static void test_guarantee_shrinks_and_grows(struct planner_fixture *f,
					     const void *data)
{
	struct rj_plan_job charge = planner_job_of(1, 'c', 1, 8);

	charge.preemptible = false;
	f->accounts[0].guarantee_count = 0;
	planner_configure(f);
	planner_submit_many(f, charge, 1);
	planner_pass(f, 0);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_START), ==, 1);
	f->accounts[0].guarantee_count = 1;
	planner_configure(f);
	charge.job_id = 2;
	planner_submit_many(f, charge, WORKERS);
	planner_pass(f, 0);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_START), <=, 2);
	/* The rest still waits, and fits once nothing is guaranteed. */
	f->accounts[0].guarantee_count = 0;
	f->accounts[1].guarantee_count = 0;
	planner_configure(f);
	planner_pass(f, 1);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_START), >=, 5);
}

static void test_small_jobs_fill_broken_workers(struct planner_fixture *f,
						const void *data)
{
	uint32_t used = 0;
	bool seen[WORKERS] = { false };

	planner_submit_many(f, planner_job_of(1, 'c', 1, 1), 16);
	planner_pass(f, 0);
	for (uint32_t i = 0; i < f->decisions.count; i++) {
		uint32_t worker = f->decisions.list[i].members[0].worker;

		used += !seen[worker];
		seen[worker] = true;
	}
	g_assert_cmpuint(used, ==, 2);
	planner_submit(f, planner_job_of(30, 'a', 4, 8), 0);
	planner_pass(f, 0);
	g_assert_cmpint(planner_decision_on(f, 30)->kind, ==,
			RJ_DECISION_START);
}

static void test_gangs_span_as_few_racks_as_will_do(struct planner_fixture *f,
						    const void *data)
{
	struct rj_plan_job gang = planner_job_of(2, 'c', 4, 8);

	gang.shape.adjacent = false;
	planner_submit(f, planner_job_of(1, 'c', 1, 8), 0);
	planner_submit(f, gang, 0);
	planner_pass(f, 0);
	g_assert_true(planner_is_in_one_rack(planner_decision_on(f, 2)));
	gang.job_id = 3;
	gang.shape.tasks = 3;
	planner_submit(f, gang, 0);
	planner_pass(f, 0);
	g_assert_cmpuint(planner_decision_on(f, 3)->member_count, ==, 3);
}

/*
 * Adopted jobs must be reclaimable. An instance that replaces another finds
 * running jobs and must not take them for jobs of the guaranteed account.
 */
static void test_adopted_jobs_are_reclaimed(struct planner_fixture *f,
					    const void *data)
{
	for (uint32_t i = 0; i < WORKERS; i++) {
		struct rj_plan_job job = planner_job_of(i + 1, 'c', 1, 8);
		struct rj_plan_member member = { .worker = i, .tasks = 1 };

		f->planner->ops->adopt(f->planner, &job, &member, 1, 0);
	}
	planner_submit(f, planner_job_of(20, 'a', 4, 8), S);
	planner_pass(f, S);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_RECLAIM), ==, 4);
	planner_apply_reclaims(f, 0, S);
	planner_pass(f, S);
	g_assert_cmpint(planner_decision_on(f, 20)->kind, ==,
			RJ_DECISION_START);
}

/*
 * A job within its account's guarantee must not be stopped for another account,
 * even if the account also borrows. Lost run time is not the only criterion for
 * victims.
 */
static void
test_jobs_within_a_guarantee_are_not_stopped(struct planner_fixture *f,
					     const void *data)
{
	planner_submit(f, planner_job_of(1, 'a', 4, 8), 0);
	planner_pass(f, 0);
	planner_submit_many(f, planner_job_of(2, 'c', 1, 8), 4);
	planner_pass(f, S);
	planner_submit(f, planner_job_of(20, 'b', 2, 8), 2 * S);
	planner_pass(f, 2 * S);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_RECLAIM), ==, 2);
	for (uint32_t i = 0; i < f->decisions.count; i++)
		g_assert_cmpuint(f->decisions.list[i].job_id, >=, 2);
}

/*
 * Cancelling a guaranteed gang while its capacity is being reclaimed must
 * release that capacity.
 */
static void test_cancelled_while_reclaiming(struct planner_fixture *f,
					    const void *data)
{
	planner_submit_many(f, planner_job_of(1, 'c', 1, 8), WORKERS);
	planner_pass(f, 0);
	planner_submit(f, planner_job_of(20, 'a', 4, 8), S);
	planner_pass(f, S);
	planner_apply_reclaims(f, 0, S);
	f->planner->ops->ended(f->planner, 20, false, 0, S);
	planner_submit(f, planner_job_of(21, 'c', 4, 8), S);
	planner_pass(f, S);
	g_assert_cmpint(planner_decision_on(f, 21)->kind, ==,
			RJ_DECISION_START);
}

/*
 * Returns which of eight workers, "w0" to "w7", get jobs which cannot be
 * stopped, one bit each, if the workers become known in this order.
 */
static uint32_t unstoppable_placement(bool reversed)
{
	struct planner_fixture f;
	uint32_t workers = 0;

	planner_prepare(&f);
	for (uint32_t id = 0; id < WORKERS; id++) {
		uint32_t number = reversed ? WORKERS - 1 - id : id;
		char name[RJ_NAME_BYTES];

		(void)g_snprintf(name, sizeof(name), "w%u", number);
		planner_add_worker(&f, id, number / RACK_WORKERS, name);
	}
	for (uint64_t id = 1; id <= WORKERS; id++) {
		struct rj_plan_job job = planner_job_of(id, 'c', 1, 8);

		job.preemptible = false;
		planner_submit(&f, job, 0);
	}
	f.planner->ops->pass(f.planner, 0, &f.decisions);
	for (uint32_t i = 0; i < f.decisions.count; i++) {
		uint32_t id = f.decisions.list[i].members[0].worker;

		workers |= 1U << (reversed ? WORKERS - 1 - id : id);
	}
	planner_teardown(&f, NULL);
	return workers;
}

/*
 * The homes of guaranteed shapes must not depend on the order in which workers
 * become known. Otherwise, after the rack moves to another owner, a job that
 * cannot be stopped occupies a home, and the guaranteed shape waits for its
 * end.
 */
static void test_homes_do_not_depend_on_the_order_of_discovery(void)
{
	g_assert_cmpuint(unstoppable_placement(false), !=, 0);
	g_assert_cmpuint(unstoppable_placement(false), ==,
			 unstoppable_placement(true));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	PLANNER_TEST("guarantee/gangs", test_guarantee_occupied_by_gangs);
	PLANNER_TEST("guarantee/unstoppable",
		     test_unstoppable_jobs_stay_off_guarantees);
	PLANNER_TEST("guarantee/own",
		     test_unstoppable_jobs_run_on_their_own_guarantee);
	PLANNER_TEST("guarantee/two", test_two_accounts_reclaim_at_once);
	PLANNER_TEST("guarantee/sizes", test_mixed_sizes_share_a_guarantee);
	PLANNER_TEST("guarantee/silent",
		     test_reclaim_avoids_an_unresponsive_worker);
	PLANNER_TEST("guarantee/dies", test_workers_die_during_reclaim);
	PLANNER_TEST("guarantee/changes", test_guarantee_shrinks_and_grows);
	PLANNER_TEST("guarantee/adopted", test_adopted_jobs_are_reclaimed);
	PLANNER_TEST("guarantee/within",
		     test_jobs_within_a_guarantee_are_not_stopped);
	PLANNER_TEST("guarantee/cancelled", test_cancelled_while_reclaiming);
	PLANNER_TEST("place/broken", test_small_jobs_fill_broken_workers);
	PLANNER_TEST("place/span", test_gangs_span_as_few_racks_as_will_do);
	g_test_add_func("/planner_topology/homes/order",
			test_homes_do_not_depend_on_the_order_of_discovery);
	return g_test_run();
}
