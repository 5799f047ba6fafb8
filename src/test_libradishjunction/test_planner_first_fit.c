#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "radishjunction/planner.h"

#define RACK_WORKERS 4

struct fixture {
	struct rj_planner_first_fit first_fit;
	struct rj_planner *planner;
	struct rj_decisions decisions;
	void *mem;
};

/* Two racks of four workers with 8 slots and 8 accelerators. */
static void setup(struct fixture *f, const void *data)
{
	f->mem = talloc_new(NULL);
	g_assert_cmpint(rj_planner_first_fit_init(&f->first_fit, f->mem), ==,
			0);
	f->planner = &f->first_fit.base;
	rj_decisions_init(&f->decisions, f->mem);
	for (uint32_t i = 0; i < 2 * RACK_WORKERS; i++) {
		struct rj_plan_worker worker = {
			.id = i,
			.rack = i / RACK_WORKERS,
			.capacity = { 8, 8, 64, 65536 },
			.usable = true,
			.owned = true,
		};

		f->planner->ops->worker(f->planner, &worker, 0);
	}
}

static void teardown(struct fixture *f, const void *data)
{
	rj_decisions_finish(&f->decisions);
	f->planner->ops->finish(f->planner);
	talloc_free(f->mem);
}

static int submit(struct fixture *f, uint64_t id, uint32_t tasks,
		  uint32_t accelerators, bool adjacent, enum rj_reason *reason)
{
	struct rj_plan_job job = {
		.job_id = id,
		.account = "a",
		.class_name = "c",
		.shape = { tasks, { 1, accelerators, 1, 1024 }, adjacent },
		.queued_us = id,
		.deadline_us = RJ_NEVER_US,
	};
	uint64_t retry_after_us;

	return f->planner->ops->submit(f->planner, &job, id, reason,
				       &retry_after_us);
}

/* Runs a pass; returns the number of jobs it started. */
static uint32_t pass(struct fixture *f)
{
	rj_decisions_clear(&f->decisions);
	f->planner->ops->pass(f->planner, 100, &f->decisions);
	return f->decisions.count;
}

static void test_starts_whole_gangs_in_one_rack(struct fixture *f,
						const void *data)
{
	enum rj_reason reason;

	submit(f, 1, 1, 8, false, &reason);
	submit(f, 2, 4, 8, true, &reason);
	submit(f, 3, 4, 8, true, &reason);
	g_assert_cmpuint(pass(f), ==, 2);
	g_assert_cmpuint(f->decisions.list[1].job_id, ==, 2);
	g_assert_cmpuint(f->decisions.list[1].member_count, ==, 4);
	for (uint32_t i = 0; i < 4; i++)
		g_assert_cmpuint(f->decisions.list[1].members[i].worker, >=,
				 RACK_WORKERS);
	f->planner->ops->ended(f->planner, 2, true, 1, 100);
	g_assert_cmpuint(pass(f), ==, 1);
	g_assert_cmpuint(f->decisions.list[0].job_id, ==, 3);
}

static void test_spans_racks_and_skips_jobs_that_do_not_fit(struct fixture *f,
							    const void *data)
{
	enum rj_reason reason;

	submit(f, 1, 6, 8, false, &reason);
	submit(f, 2, 3, 8, false, &reason);
	submit(f, 3, 2, 8, false, &reason);
	g_assert_cmpuint(pass(f), ==, 2);
	g_assert_cmpuint(f->decisions.list[1].job_id, ==, 3);
}

static void test_refuses_jobs_that_can_never_run(struct fixture *f,
						 const void *data)
{
	enum rj_reason reason;

	g_assert_cmpint(submit(f, 1, 5, 8, true, &reason), ==, -1);
	g_assert_cmpint(reason, ==, RJ_REASON_NEVER_FITS);
	g_assert_cmpint(submit(f, 2, 1, 9, false, &reason), ==, -1);
	g_assert_cmpint(reason, ==, RJ_REASON_NEVER_FITS);
	g_assert_cmpint(submit(f, 3, 8, 8, false, &reason), ==, 0);
}

static void test_queue_is_bounded(struct fixture *f, const void *data)
{
	struct rj_config config = { .limits = { .queue_max = 2 } };
	enum rj_reason reason;

	f->planner->ops->configure(f->planner, &config, "d", 0);
	g_assert_cmpint(submit(f, 1, 1, 1, false, &reason), ==, 0);
	g_assert_cmpint(submit(f, 2, 1, 1, false, &reason), ==, 0);
	g_assert_cmpint(submit(f, 3, 1, 1, false, &reason), ==, -1);
	g_assert_cmpint(reason, ==, RJ_REASON_QUEUE_FULL);
}

static void test_slots_cores_and_memory_count(struct fixture *f,
					      const void *data)
{
	enum rj_reason reason;

	for (uint64_t id = 1; id <= 70; id++)
		submit(f, id, 1, 0, false, &reason);
	g_assert_cmpuint(pass(f), ==, 64);
}

/*
 * A worker that returns must still count its running gang. The worker
 * disappears while a gang runs and returns before the job is requeued; as a new
 * worker its accelerators would be allocated twice.
 */
static void test_returning_worker_is_still_allocated(struct fixture *f,
						     const void *data)
{
	struct rj_plan_worker worker = {
		.capacity = { 8, 8, 64, 65536 },
		.usable = true,
	};
	enum rj_reason reason;

	submit(f, 1, 8, 8, false, &reason);
	g_assert_cmpuint(pass(f), ==, 1);
	f->planner->ops->worker_removed(f->planner, 0, 1);
	f->planner->ops->worker(f->planner, &worker, 2);
	submit(f, 2, 1, 8, false, &reason);
	g_assert_cmpuint(pass(f), ==, 0);
	f->planner->ops->requeue(f->planner, 1, 0, 3);
	g_assert_cmpuint(pass(f), ==, 1);
	g_assert_cmpuint(f->decisions.list[0].job_id, ==, 1);
}

/*
 * Tasks adopted before their worker is known must count as allocated when it
 * becomes known. Otherwise a new instance overbooks the worker.
 */
static void test_adopted_before_its_worker_is_known(struct fixture *f,
						    const void *data)
{
	struct rj_plan_job job = {
		.job_id = 9,
		.shape = { 1, { 1, 8, 1, 1024 }, false },
		.deadline_us = RJ_NEVER_US,
	};
	struct rj_plan_member member = { .worker = 20, .tasks = 1 };
	struct rj_plan_worker worker = {
		.id = 20,
		.rack = 3,
		.capacity = { 8, 8, 64, 65536 },
		.usable = true,
	};
	enum rj_reason reason;

	f->planner->ops->adopt(f->planner, &job, &member, 1, 0);
	f->planner->ops->worker(f->planner, &worker, 0);
	submit(f, 1, 8, 8, false, &reason);
	submit(f, 2, 1, 1, false, &reason);
	g_assert_cmpuint(pass(f), ==, 1);
	f->planner->ops->ended(f->planner, 9, true, 1, 1);
	g_assert_cmpuint(pass(f), ==, 1);
	g_assert_cmpuint(f->decisions.list[0].members[0].worker, ==, 20);
}

/*
 * The end of a job's back-off must wake the planner only once. If the job still
 * does not fit and the end stays the next wake-up time, the daemon uses a whole
 * core.
 */
static void test_ended_back_off_wakes_once(struct fixture *f, const void *data)
{
	enum rj_reason reason;

	g_assert_cmpint(submit(f, 1, 8, 8, false, &reason), ==, 0);
	g_assert_cmpint(submit(f, 2, 1, 1, false, &reason), ==, 0);
	g_assert_cmpuint(pass(f), ==, 1);
	f->planner->ops->requeue(f->planner, 1, 90, 80);
	f->planner->ops->requeue(f->planner, 2, 90, 80);
	g_assert_cmpuint(f->planner->ops->wake_us(f->planner), ==, 90);
	g_assert_cmpuint(pass(f), ==, 1);
	g_assert_cmpuint(f->planner->ops->wake_us(f->planner), ==, RJ_NEVER_US);
}

#define ADD(name, function)                                                 \
	g_test_add("/planner_first_fit/" name, struct fixture, NULL, setup, \
		   function, teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("gang", test_starts_whole_gangs_in_one_rack);
	ADD("span", test_spans_racks_and_skips_jobs_that_do_not_fit);
	ADD("never_fits", test_refuses_jobs_that_can_never_run);
	ADD("queue_max", test_queue_is_bounded);
	ADD("resources", test_slots_cores_and_memory_count);
	ADD("worker_returns", test_returning_worker_is_still_allocated);
	ADD("adopt_early", test_adopted_before_its_worker_is_known);
	ADD("back_off", test_ended_back_off_wakes_once);
	return g_test_run();
}
