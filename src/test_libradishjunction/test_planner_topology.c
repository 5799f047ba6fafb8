#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "support/planner_fixture.h"

/*
 * A studio's guaranteed rack is full of other people's renders when its
 * class begins. The renders came while the rack was idle; then the studio
 * submits. Cause: freeing the right number of accelerators, but scattered.
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
	planner_obey(f, 0, S + 1);
	planner_pass(f, S + 1);
	start = planner_decision_on(f, 10);
	g_assert_nonnull(start);
	g_assert_cmpint(start->reason, ==, RJ_REASON_GUARANTEE);
	g_assert_true(planner_is_in_one_rack(start));
}

/*
 * A buyer's charge runs on a studio's guaranteed rack and cannot be stopped
 * when the studio needs it. Cause: it was let in because the rack was idle.
 */
static void test_unstoppable_jobs_stay_off_guarantees(struct planner_fixture *f,
						      const void *data)
{
	struct rj_plan_job charge = planner_job_of(1, 'c', 1, 8);

	charge.stoppable = false;
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

	charge.stoppable = false;
	planner_submit_many(f, charge, WORKERS);
	planner_pass(f, 0);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_START), ==, 4);
}

/*
 * Two studios claim their guarantees in the same second and one starves.
 * Renders fill both racks; both claims choose victims. Cause: the second
 * claim counted capacity that the first had just claimed.
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
	planner_obey(f, 0, S + 1);
	planner_pass(f, S + 1);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_START), ==, 2);
	g_assert_true(planner_is_in_one_rack(planner_decision_on(f, 20)));
	g_assert_true(planner_is_in_one_rack(planner_decision_on(f, 21)));
}

/*
 * A tutor's second lesson waits though half of the guarantee is unused.
 * The guarantee's worker is away; a lesson of two accelerators gets its room
 * elsewhere, then one of one accelerator asks. Cause: what was granted was
 * counted in tasks of the new lesson, so that the first seemed to be two.
 */
static void test_mixed_sizes_share_a_guarantee(struct planner_fixture *f,
					       const void *data)
{
	f->guarantees[1].shape = (struct rj_shape){ 1, { 1, 2, 1, 1 }, false };
	f->guarantees[1].count = 2;
	planner_configure(f);
	f->planner->ops->worker_gone(f->planner, RACK_WORKERS, 0);
	planner_submit_many(f, planner_job_of(1, 'c', 1, 8), WORKERS - 1);
	planner_pass(f, 0);
	planner_submit(f, planner_job_of(20, 'b', 1, 2), S);
	planner_pass(f, S);
	planner_obey(f, 0, S);
	planner_pass(f, S);
	g_assert_cmpint(planner_decision_on(f, 20)->kind, ==,
			RJ_DECISION_START);
	/* The rest of that worker goes to others again. */
	planner_submit_many(f, planner_job_of(30, 'c', 1, 6), 1);
	planner_pass(f, S);
	planner_submit(f, planner_job_of(21, 'b', 1, 1), S);
	planner_pass(f, S);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_RECLAIM), ==, 1);
	planner_obey(f, 0, S);
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
 * A studio waits for ever for a worker that has hung. It claims two workers;
 * the task on one of them neither stops nor reports. Cause: the claim waited
 * for that worker instead of choosing another shape.
 */
static void
test_reclaim_avoids_an_unresponsive_worker(struct planner_fixture *f,
					   const void *data)
{
	uint64_t now_us = S;
	uint64_t silent;

	planner_submit_many(f, planner_job_of(1, 'c', 1, 8), WORKERS);
	planner_pass(f, 0);
	planner_submit(f, planner_job_of(20, 'b', 2, 8), now_us);
	planner_pass(f, now_us);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_RECLAIM), ==, 2);
	silent = f->decisions.list[0].job_id;
	planner_obey(f, silent, now_us);
	planner_pass(f, now_us);
	g_assert_null(planner_decision_on(f, 20));
	now_us = f->planner->ops->wake_us(f->planner);
	g_assert_cmpuint(now_us, <=, S + LIMIT_MS * RJ_US_PER_MS + S);
	planner_pass(f, now_us);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_RECLAIM), >=, 1);
	planner_obey(f, silent, now_us);
	planner_pass(f, now_us);
	g_assert_cmpint(planner_decision_on(f, 20)->kind, ==,
			RJ_DECISION_START);
}

/*
 * A claim is lost with the workers that it waited for.
 * A studio claims two workers; they die while they are being freed, and the
 * other two of the rack would do. Cause: the claim was tied to its workers.
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
		f->planner->ops->worker_gone(f->planner, worker_of[victims[i]],
					     S);
	planner_pass(f, S);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_RECLAIM), ==, 2);
	planner_obey(f, 0, S);
	planner_pass(f, S);
	g_assert_cmpint(planner_decision_on(f, 20)->kind, ==,
			RJ_DECISION_START);
}

/*
 * After a guarantee was cut its old rack stays closed to quotes, or after
 * one was raised quotes are still let in. Cause: the homes of guaranteed
 * shapes were worked out once and not with each configuration.
 */
static void test_guarantee_shrinks_and_grows(struct planner_fixture *f,
					     const void *data)
{
	struct rj_plan_job charge = planner_job_of(1, 'c', 1, 8);

	charge.stoppable = false;
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
 * After an instance is replaced a guarantee cannot be reclaimed: its
 * successor found the renders running and took them for its own account's.
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
	planner_obey(f, 0, S);
	planner_pass(f, S);
	g_assert_cmpint(planner_decision_on(f, 20)->kind, ==,
			RJ_DECISION_START);
}

/*
 * Studio a, which borrows all, has its own guaranteed work stopped for b.
 * Cause: the victims were chosen by lost work alone.
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
 * A guaranteed gang is cancelled while its room is being freed, and the
 * room stays kept for ever.
 */
static void test_cancelled_while_reclaiming(struct planner_fixture *f,
					    const void *data)
{
	planner_submit_many(f, planner_job_of(1, 'c', 1, 8), WORKERS);
	planner_pass(f, 0);
	planner_submit(f, planner_job_of(20, 'a', 4, 8), S);
	planner_pass(f, S);
	planner_obey(f, 0, S);
	f->planner->ops->ended(f->planner, 20, false, 0, S);
	planner_submit(f, planner_job_of(21, 'c', 4, 8), S);
	planner_pass(f, S);
	g_assert_cmpint(planner_decision_on(f, 21)->kind, ==,
			RJ_DECISION_START);
}

/* On which workers of eight, "w0" to "w7", work that cannot be stopped goes,
 * as a bit for each, if they become known in this order. */
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

		job.stoppable = false;
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
 * A guaranteed shape waits for the end of a quote that cannot be stopped.
 * The rack goes to an instance that learnt of its workers in another order;
 * what its former owner placed beside the guarantee lies on it there.
 * Cause: a worker's place in its rack was the order in which it became known.
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
