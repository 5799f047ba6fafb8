#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "support/planner_fixture.h"

/*
 * No capacity is reserved for a gang that cannot run: half of the workers of
 * two racks are dead, and the gang needs more than the rest.
 */
static void
test_no_reservation_for_a_gang_that_cannot_run(struct planner_fixture *f,
					       const void *data)
{
	struct rj_plan_job gang = planner_job_of(1, 'c', 8, 8);

	gang.shape.adjacent = false;
	for (uint32_t i = 0; i < RACK_WORKERS; i++)
		f->planner->ops->worker_removed(f->planner, i, 0);
	planner_submit(f, gang, 0);
	planner_submit_many(f, planner_job_of(10, 'c', 1, 8), 4);
	planner_pass(f, 0);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_START), ==, 4);
}

/*
 * Backfill must use the learnt run time. Otherwise short jobs that each declare
 * a millisecond pass a waiting gang for hours.
 */
static void test_learnt_run_time_decides_backfill(struct planner_fixture *f,
						  const void *data)
{
	struct rj_plan_job underdeclared = planner_job_of(100, 'c', 1, 8);
	struct rj_plan_job gang = planner_job_of(200, 'b', 8, 8);

	f->accounts[0].guarantee_count = 0;
	f->accounts[1].guarantee_count = 0;
	planner_configure(f);
	underdeclared.preemptible = false;
	underdeclared.declared_us = 1000;
	for (uint32_t i = 0; i < 20; i++, underdeclared.job_id++) {
		planner_submit(f, underdeclared, 0);
		planner_pass(f, 0);
		planner_ended(f, underdeclared.job_id, 1000 * S, 0);
	}
	strcpy(gang.class_name, "gang");
	gang.shape.adjacent = false;
	/* One runs, the gang waits for it, and another tries to pass. */
	planner_submit(f, underdeclared, 0);
	planner_pass(f, 0);
	planner_submit(f, gang, 0);
	planner_pass(f, 0);
	g_assert_null(planner_decision_on(f, 200));
	underdeclared.job_id++;
	planner_submit(f, underdeclared, 900 * S);
	planner_pass(f, 900 * S);
	g_assert_cmpuint(f->decisions.count, ==, 0);
	planner_ended(f, underdeclared.job_id - 1, 1000 * S, 1000 * S);
	planner_pass(f, 1000 * S);
	g_assert_cmpint(planner_decision_on(f, 200)->kind, ==,
			RJ_DECISION_START);
}

/*
 * Small jobs that come and go in a rack must be stopped for a waiting gang:
 * they never all end at the same time.
 */
static void test_small_jobs_are_stopped_for_a_gang(struct planner_fixture *f,
						   const void *data)
{
	struct rj_job_class class = { .name = "class", .expected_us = 100 * S };
	struct rj_plan_job small = planner_job_of(1, 'c', 1, 1);

	f->config.limits.fragmentation_weight = 100;
	planner_configure_classes(f, &class, 1);
	small.checkpoint = true;
	planner_submit_many(f, small, 8 * WORKERS);
	planner_pass(f, 0);
	planner_submit(f, planner_job_of(200, 'c', 4, 8), 0);
	planner_pass(f, 0);
	g_assert_cmpuint(f->decisions.count, ==, 0);
	planner_pass(f, 2 * S);
	g_assert_cmpuint(f->decisions.count, ==, 0);
	g_assert_cmpuint(f->planner->ops->wake_us(f->planner), <=, 3 * S);
	planner_pass(f, 3 * S);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_RECLAIM), ==, 32);
	g_assert_true(f->decisions.list[0].checkpoint);
	planner_apply_reclaims(f, 0, 3 * S);
	planner_pass(f, 3 * S);
	g_assert_cmpint(planner_decision_on(f, 200)->reason, ==,
			RJ_REASON_RECLAIMED);
}

/*
 * Backfilled jobs and small jobs must be stopped together for a gang, if
 * neither is enough alone. A smaller gang with checkpoints passes the gang and
 * takes most of the rack, a render the rest; the gang would wait for hours.
 */
static void
test_backfilled_and_small_jobs_are_stopped_together(struct planner_fixture *f,
						    const void *data)
{
	struct rj_job_class class = { .name = "class", .expected_us = 100 * S };
	struct rj_plan_job render = planner_job_of(1, 'c', 1, 8);
	struct rj_plan_job passing = planner_job_of(300, 'c', 3, 8);

	f->config.limits.fragmentation_weight = 100;
	planner_configure_classes(f, &class, 1);
	for (uint32_t i = 1; i < RACK_WORKERS; i++)
		f->planner->ops->worker_removed(f->planner, RACK_WORKERS + i,
						0);
	/* One fills the only worker of the other rack. */
	render.checkpoint = true;
	planner_submit_many(f, render, 2);
	planner_pass(f, 0);
	planner_submit(f, planner_job_of(200, 'c', 4, 8), 0);
	planner_pass(f, 0);
	passing.checkpoint = true;
	planner_submit(f, passing, S);
	planner_pass(f, S);
	g_assert_cmpint(planner_decision_on(f, 300)->reason, ==,
			RJ_REASON_BACKFILL);
	planner_pass(f, 30 * S);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_RECLAIM), ==, 2);
	planner_apply_reclaims(f, 0, 30 * S);
	planner_pass(f, 30 * S);
	g_assert_cmpint(planner_decision_on(f, 200)->kind, ==,
			RJ_DECISION_START);
}

/*
 * An urgent job that was stopped once must not be stopped again for a gang. It
 * is stopped for a guarantee and passes a waiting gang as backfill; its urgency
 * and the earlier stop must count when victims for that gang are chosen.
 */
static void
test_urgent_job_is_not_stopped_again_for_a_gang(struct planner_fixture *f,
						const void *data)
{
	struct rj_job_class class = { .name = "class",
				      .expected_us = 1000 * S };
	struct rj_plan_job render = planner_job_of(1, 'c', 1, 8);
	struct rj_plan_job lesson = planner_job_of(300, 'c', 3, 8);

	f->config.limits.fragmentation_weight = 100;
	planner_configure_classes(f, &class, 1);
	for (uint32_t i = 1; i < RACK_WORKERS; i++)
		f->planner->ops->worker_removed(f->planner, RACK_WORKERS + i,
						0);
	lesson.checkpoint = true;
	lesson.priority = RJ_PRIORITY_URGENT;
	planner_submit(f, lesson, 0);
	planner_pass(f, 0);
	f->planner->ops->requeue(f->planner, lesson.job_id, 2 * S, S);
	render.checkpoint = true;
	planner_submit_many(f, render, 2);
	planner_pass(f, S);
	planner_submit(f, planner_job_of(200, 'c', 4, 8), S);
	planner_pass(f, S);
	planner_pass(f, 2 * S);
	g_assert_cmpint(planner_decision_on(f, 300)->reason, ==,
			RJ_REASON_BACKFILL);
	planner_pass(f, 30 * S);
	g_assert_cmpuint(planner_count_of(f, RJ_DECISION_RECLAIM), ==, 0);
}

/*
 * Jobs that are cheap to stop may use accelerators that are reserved for a gang
 * which starts minutes later. Backfill is not only for jobs that end in time or
 * have checkpoints.
 */
static void
test_cheap_preemptible_jobs_backfill_a_reservation(struct planner_fixture *f,
						   const void *data)
{
	struct rj_job_class classes[] = {
		{ .name = "class", .expected_us = 100 * S },
		{ .name = "preview", .expected_us = 6 * S },
	};
	struct rj_plan_job preview = planner_job_of(300, 'c', 1, 2);
	struct rj_plan_job gang = planner_job_of(200, 'c', WORKERS, 8);

	planner_configure_classes(f, classes, 2);
	/* It may end at any moment, so no job is sure to end before it. */
	planner_submit(f, planner_job_of(1, 'c', 1, 8), 0);
	planner_pass(f, 0);
	gang.shape.adjacent = false;
	planner_submit(f, gang, 0);
	planner_pass(f, 99 * S);
	strcpy(preview.class_name, "preview");
	planner_submit(f, preview, 99 * S);
	preview.job_id++;
	preview.priority = RJ_PRIORITY_URGENT;
	planner_submit(f, preview, 99 * S);
	preview.job_id++;
	preview.priority = RJ_PRIORITY_NORMAL;
	preview.shape.each.accelerators = 4;
	planner_submit(f, preview, 99 * S);
	planner_pass(f, 99 * S);
	g_assert_cmpuint(f->decisions.count, ==, 1);
	g_assert_cmpint(planner_decision_on(f, 300)->reason, ==,
			RJ_REASON_BACKFILL);
}

/* A job in the queue must be refused when its deadline has passed. */
static void test_jobs_past_their_deadline_are_refused(struct planner_fixture *f,
						      const void *data)
{
	struct rj_plan_job late = planner_job_of(20, 'c', 1, 8);

	planner_submit_many(f, planner_job_of(1, 'c', 1, 8), WORKERS);
	planner_pass(f, 0);
	late.deadline_us = 60 * S;
	g_assert_cmpint(planner_submit(f, late, 0), ==, RJ_REASON_NONE);
	planner_pass(f, 0);
	g_assert_cmpuint(f->planner->ops->wake_us(f->planner), <=, 60 * S);
	planner_pass(f, 60 * S);
	g_assert_cmpint(planner_decision_on(f, 20)->kind, ==,
			RJ_DECISION_REFUSE);
	g_assert_cmpint(planner_decision_on(f, 20)->reason, ==,
			RJ_REASON_DEADLINE_PASSED);
}

/*
 * Refused callers must get different times to retry after, or they return
 * together again and again.
 */
static void
test_refused_callers_retry_at_different_times(struct planner_fixture *f,
					      const void *data)
{
	GHashTable *times = g_hash_table_new(NULL, NULL);
	struct rj_plan_job late = planner_job_of(100, 'c', 1, 8);

	planner_submit_many(f, planner_job_of(1, 'c', 1, 8), 90);
	late.deadline_us = S;
	for (uint32_t i = 0; i < 50; i++, late.job_id++) {
		uint64_t retry_after_us;
		enum rj_reason reason;

		g_assert_cmpint(f->planner->ops->submit(f->planner, &late, 0,
							&reason,
							&retry_after_us),
				==, -1);
		g_assert_cmpint(reason, ==, RJ_REASON_DEADLINE_TOO_SOON);
		g_hash_table_add(times, GSIZE_TO_POINTER(retry_after_us /
							 (100 * RJ_US_PER_MS)));
	}
	g_assert_cmpuint(g_hash_table_size(times), >=, 30);
	g_hash_table_destroy(times);
}

/*
 * A large gang must go before small jobs that were submitted minutes later. All
 * capacity becomes free at once, and the gang has a low priority, so its size
 * must be considered.
 */
static void
test_large_gang_goes_before_later_small_jobs(struct planner_fixture *f,
					     const void *data)
{
	struct rj_plan_job gang = planner_job_of(2, 'c', WORKERS, 8);
	struct rj_plan_job small = planner_job_of(3, 'c', 1, 8);
	struct rj_plan_job first = gang;

	first.job_id = 1;
	first.shape.adjacent = false;
	gang.shape.adjacent = false;
	gang.priority = RJ_PRIORITY_BULK;
	small.checkpoint = true;
	planner_submit(f, first, 0);
	planner_pass(f, 0);
	planner_submit(f, gang, 0);
	planner_submit(f, small, 100 * S);
	planner_pass(f, 100 * S);
	g_assert_cmpuint(f->decisions.count, ==, 0);
	planner_ended(f, 1, 200 * S, 200 * S);
	planner_pass(f, 200 * S);
	g_assert_cmpuint(f->decisions.count, ==, 1);
	g_assert_cmpint(planner_decision_on(f, 2)->kind, ==, RJ_DECISION_START);
}

/* A burst of one account must not fill the queue for all others. */
static void test_queue_is_shared(struct planner_fixture *f, const void *data)
{
	struct rj_plan_job urgent = planner_job_of(900, 'a', 1, 8);
	uint32_t taken = 0;

	f->config.limits.queue_max = 90;
	planner_configure(f);
	for (uint64_t id = 1; id <= 200; id++)
		taken += planner_submit(f, planner_job_of(id, 'c', 1, 1), 0) ==
			 RJ_REASON_NONE;
	g_assert_cmpuint(taken, ==, 45);
	g_assert_cmpint(planner_submit(f, planner_job_of(500, 'a', 1, 1), 0),
			==, RJ_REASON_NONE);
	urgent.priority = RJ_PRIORITY_URGENT;
	g_assert_cmpint(planner_submit(f, urgent, 0), ==, RJ_REASON_NONE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	PLANNER_TEST("reservation/never",
		     test_no_reservation_for_a_gang_that_cannot_run);
	PLANNER_TEST("reservation/learnt",
		     test_learnt_run_time_decides_backfill);
	PLANNER_TEST("reservation/waited",
		     test_small_jobs_are_stopped_for_a_gang);
	PLANNER_TEST("reservation/together",
		     test_backfilled_and_small_jobs_are_stopped_together);
	PLANNER_TEST("reservation/urgent_again",
		     test_urgent_job_is_not_stopped_again_for_a_gang);
	PLANNER_TEST("reservation/short",
		     test_cheap_preemptible_jobs_backfill_a_reservation);
	PLANNER_TEST("queue/late", test_jobs_past_their_deadline_are_refused);
	PLANNER_TEST("queue/apart",
		     test_refused_callers_retry_at_different_times);
	PLANNER_TEST("queue/shared", test_queue_is_shared);
	PLANNER_TEST("queue/size",
		     test_large_gang_goes_before_later_small_jobs);
	return g_test_run();
}
