#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "radishjunction/planner_topology.h"

#define RACKS 2
#define RACK_WORKERS 4
#define WORKERS (RACKS * RACK_WORKERS)
#define LIMIT_MS 2000
#define S RJ_US_PER_S

struct fixture {
	struct rj_planner_topology topology;
	struct rj_planner *planner;
	struct rj_decisions decisions;
	struct rj_domain domain;
	struct rj_account accounts[3];
	struct rj_guarantee guarantees[3];
	struct rj_config config;
	void *mem;
};

static void configure(struct fixture *f)
{
	f->planner->ops->configure(f->planner, &f->config, "d", 0);
}

/* A planner that knows the configuration and no worker. */
static void prepare(struct fixture *f)
{
	f->mem = talloc_new(NULL);
	rj_planner_topology_init(&f->topology, f->mem);
	f->planner = &f->topology.base;
	rj_decisions_init(&f->decisions, f->mem);
	f->domain = (struct rj_domain){
		.name = "d",
		.racks = RACKS,
		.workers_per_rack = RACK_WORKERS,
		.worker = { 8, 8, 64, 65536 },
	};
	f->guarantees[0] =
		(struct rj_guarantee){ "d", { 4, { 1, 8, 1, 1 }, true }, 1 };
	f->guarantees[1] =
		(struct rj_guarantee){ "d", { 2, { 1, 8, 1, 1 }, true }, 1 };
	for (uint32_t i = 0; i < 3; i++) {
		f->accounts[i].name[0] = (char)('a' + i);
		f->accounts[i].share = 1;
		f->accounts[i].guarantees = &f->guarantees[i];
		f->accounts[i].guarantee_count = i < 2;
	}
	f->config = (struct rj_config){
		.domains = &f->domain,
		.domain_count = 1,
		.accounts = f->accounts,
		.account_count = 3,
		.limits = { .queue_max = 1000,
			    .checkpoint_limit_ms = LIMIT_MS },
	};
	configure(f);
}

/* Let the planner know of a worker with nothing on it. */
static void add_worker(struct fixture *f, uint32_t id, uint32_t rack,
		       const char *name)
{
	struct rj_plan_worker worker = {
		.id = id,
		.rack = rack,
		.capacity = { 8, 8, 64, 65536 },
		.usable = true,
		.owned = true,
	};

	(void)rj_name_set(worker.name, name);
	f->planner->ops->worker(f->planner, &worker, 0);
}

/* Guarantee nothing to anybody, and expect of the classes what they say. */
static void configure_classes(struct fixture *f, struct rj_job_class *classes,
			      uint32_t count)
{
	f->accounts[0].guarantee_count = 0;
	f->accounts[1].guarantee_count = 0;
	f->config.classes = classes;
	f->config.class_count = count;
	configure(f);
}

/*
 * Two racks of four workers with 8 accelerators. Account a is guaranteed a
 * whole rack, b two adjacent workers, c nothing.
 */
static void setup(struct fixture *f, const void *data)
{
	prepare(f);
	for (uint32_t i = 0; i < WORKERS; i++)
		add_worker(f, i, i / RACK_WORKERS, "");
}

static void teardown(struct fixture *f, const void *data)
{
	rj_decisions_finish(&f->decisions);
	f->planner->ops->finish(f->planner);
	talloc_free(f->mem);
}

/* A stoppable job of normal priority; tests change what they need. */
static struct rj_plan_job job_of(uint64_t id, char account, uint32_t tasks,
				 uint32_t accelerators)
{
	struct rj_plan_job job = {
		.job_id = id,
		.class_name = "class",
		.shape = { tasks, { 1, accelerators, 1, 1 }, tasks > 1 },
		.priority = RJ_PRIORITY_NORMAL,
		.stoppable = true,
		.deadline_us = RJ_NEVER_US,
	};

	job.account[0] = account;
	return job;
}

static enum rj_reason submit(struct fixture *f, struct rj_plan_job job,
			     uint64_t now_us)
{
	enum rj_reason reason = RJ_REASON_NONE;
	uint64_t retry_after_us;

	job.queued_us = now_us;
	f->planner->ops->submit(f->planner, &job, now_us, &reason,
				&retry_after_us);
	return reason;
}

static void submit_many(struct fixture *f, struct rj_plan_job job,
			uint32_t count)
{
	for (uint32_t i = 0; i < count; i++, job.job_id++)
		g_assert_cmpint(submit(f, job, 0), ==, RJ_REASON_NONE);
}

static void pass(struct fixture *f, uint64_t now_us)
{
	rj_decisions_clear(&f->decisions);
	f->planner->ops->pass(f->planner, now_us, &f->decisions);
}

static uint32_t count_of(const struct fixture *f, enum rj_decision_kind kind)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < f->decisions.count; i++)
		count += f->decisions.list[i].kind == kind;
	return count;
}

static const struct rj_decision *decision_on(const struct fixture *f,
					     uint64_t job_id)
{
	for (uint32_t i = 0; i < f->decisions.count; i++)
		if (f->decisions.list[i].job_id == job_id)
			return &f->decisions.list[i];
	return NULL;
}

static void ended(struct fixture *f, uint64_t job_id, uint64_t ran_us,
		  uint64_t now_us)
{
	f->planner->ops->ended(f->planner, job_id, true, ran_us, now_us);
}

/* Stop all that the last pass asked for, but `except`. */
static void obey(struct fixture *f, uint64_t except, uint64_t now_us)
{
	for (uint32_t i = 0; i < f->decisions.count; i++) {
		const struct rj_decision *decision = &f->decisions.list[i];

		if (decision->kind == RJ_DECISION_RECLAIM &&
		    decision->job_id != except)
			f->planner->ops->requeue(f->planner, decision->job_id,
						 now_us + 600 * S, now_us);
	}
}

static bool is_in_one_rack(const struct rj_decision *start)
{
	for (uint32_t i = 1; i < start->member_count; i++)
		if (start->members[i].worker / RACK_WORKERS !=
		    start->members[0].worker / RACK_WORKERS)
			return false;
	return true;
}

/*
 * A studio's guaranteed rack is full of other people's renders when its
 * class begins. The renders came while the rack was idle; then the studio
 * submits. Cause: freeing the right number of accelerators, but scattered.
 */
static void test_guarantee_occupied_by_gangs(struct fixture *f,
					     const void *data)
{
	const struct rj_decision *start;
	uint32_t reclaims;

	submit_many(f, job_of(1, 'c', 2, 8), 4);
	pass(f, 0);
	g_assert_cmpuint(count_of(f, RJ_DECISION_START), ==, 4);
	submit(f, job_of(10, 'a', 4, 8), S);
	pass(f, S);
	reclaims = count_of(f, RJ_DECISION_RECLAIM);
	g_assert_cmpuint(reclaims, ==, 2);
	for (uint32_t i = 0; i < reclaims; i++) {
		g_assert_cmpuint(f->decisions.list[i].for_job, ==, 10);
		g_assert_cmpuint(f->decisions.list[i].limit_us, ==,
				 LIMIT_MS * RJ_US_PER_MS);
	}
	obey(f, 0, S + 1);
	pass(f, S + 1);
	start = decision_on(f, 10);
	g_assert_nonnull(start);
	g_assert_cmpint(start->reason, ==, RJ_REASON_GUARANTEE);
	g_assert_true(is_in_one_rack(start));
}

/*
 * A buyer's charge runs on a studio's guaranteed rack and cannot be stopped
 * when the studio needs it. Cause: it was let in because the rack was idle.
 */
static void test_unstoppable_work_stays_off_guarantees(struct fixture *f,
						       const void *data)
{
	struct rj_plan_job charge = job_of(1, 'c', 1, 8);

	charge.stoppable = false;
	submit_many(f, charge, WORKERS);
	pass(f, 0);
	g_assert_cmpuint(count_of(f, RJ_DECISION_START), ==, 2);
	submit(f, job_of(20, 'a', 4, 8), S);
	submit(f, job_of(21, 'b', 2, 8), S);
	pass(f, S);
	g_assert_cmpint(decision_on(f, 20)->kind, ==, RJ_DECISION_START);
	g_assert_cmpint(decision_on(f, 21)->kind, ==, RJ_DECISION_START);
}

static void test_unstoppable_work_runs_on_its_own_guarantee(struct fixture *f,
							    const void *data)
{
	struct rj_plan_job charge = job_of(1, 'b', 1, 8);

	charge.stoppable = false;
	submit_many(f, charge, WORKERS);
	pass(f, 0);
	g_assert_cmpuint(count_of(f, RJ_DECISION_START), ==, 4);
}

/*
 * Two studios claim their guarantees in the same second and one starves.
 * Renders fill both racks; both claims choose victims. Cause: the second
 * claim counted capacity that the first had just claimed.
 */
static void test_two_accounts_reclaim_at_once(struct fixture *f,
					      const void *data)
{
	submit_many(f, job_of(1, 'c', 1, 8), WORKERS);
	pass(f, 0);
	submit(f, job_of(20, 'a', 4, 8), S);
	submit(f, job_of(21, 'b', 2, 8), S);
	pass(f, S);
	g_assert_cmpuint(count_of(f, RJ_DECISION_RECLAIM), ==, 6);
	obey(f, 0, S + 1);
	pass(f, S + 1);
	g_assert_cmpuint(count_of(f, RJ_DECISION_START), ==, 2);
	g_assert_true(is_in_one_rack(decision_on(f, 20)));
	g_assert_true(is_in_one_rack(decision_on(f, 21)));
}

/*
 * A tutor's second lesson waits though half of the guarantee is unused.
 * The guarantee's worker is away; a lesson of two accelerators gets its room
 * elsewhere, then one of one accelerator asks. Cause: what was granted was
 * counted in tasks of the new lesson, so that the first seemed to be two.
 */
static void test_mixed_sizes_share_a_guarantee(struct fixture *f,
					       const void *data)
{
	f->guarantees[1].shape = (struct rj_shape){ 1, { 1, 2, 1, 1 }, false };
	f->guarantees[1].count = 2;
	configure(f);
	f->planner->ops->worker_gone(f->planner, RACK_WORKERS, 0);
	submit_many(f, job_of(1, 'c', 1, 8), WORKERS - 1);
	pass(f, 0);
	submit(f, job_of(20, 'b', 1, 2), S);
	pass(f, S);
	obey(f, 0, S);
	pass(f, S);
	g_assert_cmpint(decision_on(f, 20)->kind, ==, RJ_DECISION_START);
	/* The rest of that worker goes to others again. */
	submit_many(f, job_of(30, 'c', 1, 6), 1);
	pass(f, S);
	submit(f, job_of(21, 'b', 1, 1), S);
	pass(f, S);
	g_assert_cmpuint(count_of(f, RJ_DECISION_RECLAIM), ==, 1);
	obey(f, 0, S);
	pass(f, S);
	g_assert_cmpint(decision_on(f, 21)->kind, ==, RJ_DECISION_START);
	/* Now the guarantee is used up. */
	submit_many(f, job_of(40, 'c', 1, 5), 1);
	submit_many(f, job_of(41, 'b', 1, 2), 1);
	pass(f, S);
	g_assert_cmpuint(count_of(f, RJ_DECISION_RECLAIM), ==, 0);
}

/*
 * A studio waits for ever for a worker that has hung. It claims two workers;
 * the task on one of them neither stops nor reports. Cause: the claim waited
 * for that worker instead of choosing another shape.
 */
static void test_silent_worker_gives_another_shape(struct fixture *f,
						   const void *data)
{
	uint64_t now_us = S;
	uint64_t silent;

	submit_many(f, job_of(1, 'c', 1, 8), WORKERS);
	pass(f, 0);
	submit(f, job_of(20, 'b', 2, 8), now_us);
	pass(f, now_us);
	g_assert_cmpuint(count_of(f, RJ_DECISION_RECLAIM), ==, 2);
	silent = f->decisions.list[0].job_id;
	obey(f, silent, now_us);
	pass(f, now_us);
	g_assert_null(decision_on(f, 20));
	now_us = f->planner->ops->wake_us(f->planner);
	g_assert_cmpuint(now_us, <=, S + LIMIT_MS * RJ_US_PER_MS + S);
	pass(f, now_us);
	g_assert_cmpuint(count_of(f, RJ_DECISION_RECLAIM), >=, 1);
	obey(f, silent, now_us);
	pass(f, now_us);
	g_assert_cmpint(decision_on(f, 20)->kind, ==, RJ_DECISION_START);
}

/*
 * A claim is lost with the workers that it waited for.
 * A studio claims two workers; they die while they are being freed, and the
 * other two of the rack would do. Cause: the claim was tied to its workers.
 */
static void test_workers_die_during_reclaim(struct fixture *f, const void *data)
{
	uint32_t worker_of[WORKERS + 1];
	uint64_t victims[2];

	submit_many(f, job_of(1, 'c', 1, 8), WORKERS);
	pass(f, 0);
	for (uint32_t i = 0; i < WORKERS; i++)
		worker_of[f->decisions.list[i].job_id] =
			f->decisions.list[i].members[0].worker;
	submit(f, job_of(20, 'b', 2, 8), S);
	pass(f, S);
	g_assert_cmpuint(count_of(f, RJ_DECISION_RECLAIM), ==, 2);
	for (uint32_t i = 0; i < 2; i++)
		victims[i] = f->decisions.list[i].job_id;
	for (uint32_t i = 0; i < 2; i++)
		f->planner->ops->worker_gone(f->planner, worker_of[victims[i]],
					     S);
	pass(f, S);
	g_assert_cmpuint(count_of(f, RJ_DECISION_RECLAIM), ==, 2);
	obey(f, 0, S);
	pass(f, S);
	g_assert_cmpint(decision_on(f, 20)->kind, ==, RJ_DECISION_START);
}

/*
 * After a guarantee was cut its old rack stays closed to quotes, or after
 * one was raised quotes are still let in. Cause: the homes of guaranteed
 * shapes were worked out once and not with each configuration.
 */
static void test_guarantee_shrinks_and_grows(struct fixture *f,
					     const void *data)
{
	struct rj_plan_job charge = job_of(1, 'c', 1, 8);

	charge.stoppable = false;
	f->accounts[0].guarantee_count = 0;
	configure(f);
	submit_many(f, charge, 1);
	pass(f, 0);
	g_assert_cmpuint(count_of(f, RJ_DECISION_START), ==, 1);
	f->accounts[0].guarantee_count = 1;
	configure(f);
	charge.job_id = 2;
	submit_many(f, charge, WORKERS);
	pass(f, 0);
	g_assert_cmpuint(count_of(f, RJ_DECISION_START), <=, 2);
	/* The rest still waits, and fits once nothing is guaranteed. */
	f->accounts[0].guarantee_count = 0;
	f->accounts[1].guarantee_count = 0;
	configure(f);
	pass(f, 1);
	g_assert_cmpuint(count_of(f, RJ_DECISION_START), >=, 5);
}

/*
 * Two racks idle for a gang that can never run. Half of the workers are
 * dead, the gang needs more than are left, and room is kept for it.
 */
static void test_nothing_is_kept_for_what_cannot_run(struct fixture *f,
						     const void *data)
{
	struct rj_plan_job gang = job_of(1, 'c', 8, 8);

	gang.shape.adjacent = false;
	for (uint32_t i = 0; i < RACK_WORKERS; i++)
		f->planner->ops->worker_gone(f->planner, i, 0);
	submit(f, gang, 0);
	submit_many(f, job_of(10, 'c', 1, 8), 4);
	pass(f, 0);
	g_assert_cmpuint(count_of(f, RJ_DECISION_START), ==, 4);
}

/*
 * A gang waits for hours while short jobs pass it, because each says that it
 * takes a millisecond. Cause: the declared run time was believed.
 */
static void test_learnt_run_time_decides_who_passes(struct fixture *f,
						    const void *data)
{
	struct rj_plan_job liar = job_of(100, 'c', 1, 8);
	struct rj_plan_job gang = job_of(200, 'b', 8, 8);

	f->accounts[0].guarantee_count = 0;
	f->accounts[1].guarantee_count = 0;
	configure(f);
	liar.stoppable = false;
	liar.declared_us = 1000;
	for (uint32_t i = 0; i < 20; i++, liar.job_id++) {
		submit(f, liar, 0);
		pass(f, 0);
		ended(f, liar.job_id, 1000 * S, 0);
	}
	strcpy(gang.class_name, "gang");
	gang.shape.adjacent = false;
	/* One runs, the gang waits for it, and another asks to pass. */
	submit(f, liar, 0);
	pass(f, 0);
	submit(f, gang, 0);
	pass(f, 0);
	g_assert_null(decision_on(f, 200));
	liar.job_id++;
	submit(f, liar, 900 * S);
	pass(f, 900 * S);
	g_assert_cmpuint(f->decisions.count, ==, 0);
	ended(f, liar.job_id - 1, 1000 * S, 1000 * S);
	pass(f, 1000 * S);
	g_assert_cmpint(decision_on(f, 200)->kind, ==, RJ_DECISION_START);
}

/*
 * A pricing gang waits for hours while previews come and go in its rack: at
 * no time are all of them gone at once.
 */
static void test_small_work_makes_way_for_a_gang(struct fixture *f,
						 const void *data)
{
	struct rj_job_class class = { .name = "class", .expected_us = 100 * S };
	struct rj_plan_job small = job_of(1, 'c', 1, 1);

	f->config.limits.fragmentation_weight = 100;
	configure_classes(f, &class, 1);
	small.checkpoint = true;
	submit_many(f, small, 8 * WORKERS);
	pass(f, 0);
	submit(f, job_of(200, 'c', 4, 8), 0);
	pass(f, 0);
	g_assert_cmpuint(f->decisions.count, ==, 0);
	pass(f, 2 * S);
	g_assert_cmpuint(f->decisions.count, ==, 0);
	g_assert_cmpuint(f->planner->ops->wake_us(f->planner), <=, 3 * S);
	pass(f, 3 * S);
	g_assert_cmpuint(count_of(f, RJ_DECISION_RECLAIM), ==, 32);
	g_assert_true(f->decisions.list[0].checkpoint);
	obey(f, 0, 3 * S);
	pass(f, 3 * S);
	g_assert_cmpint(decision_on(f, 200)->reason, ==, RJ_REASON_RECLAIMED);
}

/*
 * A pricing gang waits for hours though all that is in its way may be
 * stopped. A smaller gang with checkpoints was let pass it and took most of
 * the rack, a render the rest. Cause: what was let pass was stopped
 * only if that was enough, and so was small work, but never both together.
 */
static void test_loans_and_small_work_make_way_together(struct fixture *f,
							const void *data)
{
	struct rj_job_class class = { .name = "class", .expected_us = 100 * S };
	struct rj_plan_job render = job_of(1, 'c', 1, 8);
	struct rj_plan_job passing = job_of(300, 'c', 3, 8);

	f->config.limits.fragmentation_weight = 100;
	configure_classes(f, &class, 1);
	for (uint32_t i = 1; i < RACK_WORKERS; i++)
		f->planner->ops->worker_gone(f->planner, RACK_WORKERS + i, 0);
	/* One fills the only worker of the other rack. */
	render.checkpoint = true;
	submit_many(f, render, 2);
	pass(f, 0);
	submit(f, job_of(200, 'c', 4, 8), 0);
	pass(f, 0);
	passing.checkpoint = true;
	submit(f, passing, S);
	pass(f, S);
	g_assert_cmpint(decision_on(f, 300)->reason, ==, RJ_REASON_BACKFILL);
	pass(f, 30 * S);
	g_assert_cmpuint(count_of(f, RJ_DECISION_RECLAIM), ==, 2);
	obey(f, 0, 30 * S);
	pass(f, 30 * S);
	g_assert_cmpint(decision_on(f, 200)->kind, ==, RJ_DECISION_START);
}

/*
 * A lesson pack is stopped again and again, and handed out after the class.
 * It was stopped for a guarantee, came back where a waiting gang let it pass,
 * and was stopped for the gang. Cause: that it had been stopped before and
 * that it is urgent counted for nothing there.
 */
static void test_urgent_work_is_not_stopped_again_for_a_gang(struct fixture *f,
							     const void *data)
{
	struct rj_job_class class = { .name = "class",
				      .expected_us = 1000 * S };
	struct rj_plan_job render = job_of(1, 'c', 1, 8);
	struct rj_plan_job lesson = job_of(300, 'c', 3, 8);

	f->config.limits.fragmentation_weight = 100;
	configure_classes(f, &class, 1);
	for (uint32_t i = 1; i < RACK_WORKERS; i++)
		f->planner->ops->worker_gone(f->planner, RACK_WORKERS + i, 0);
	lesson.checkpoint = true;
	lesson.priority = RJ_PRIORITY_URGENT;
	submit(f, lesson, 0);
	pass(f, 0);
	f->planner->ops->requeue(f->planner, lesson.job_id, 2 * S, S);
	render.checkpoint = true;
	submit_many(f, render, 2);
	pass(f, S);
	submit(f, job_of(200, 'c', 4, 8), S);
	pass(f, S);
	pass(f, 2 * S);
	g_assert_cmpint(decision_on(f, 300)->reason, ==, RJ_REASON_BACKFILL);
	pass(f, 30 * S);
	g_assert_cmpuint(count_of(f, RJ_DECISION_RECLAIM), ==, 0);
}

/*
 * Previews wait beside idle accelerators, which are kept for a gang whose
 * turn is minutes away, though stopping them would cost a few seconds.
 * Cause: only what ends in time or has checkpoints was let pass.
 */
static void test_short_small_work_passes_a_reservation(struct fixture *f,
						       const void *data)
{
	struct rj_job_class classes[] = {
		{ .name = "class", .expected_us = 100 * S },
		{ .name = "preview", .expected_us = 6 * S },
	};
	struct rj_plan_job preview = job_of(300, 'c', 1, 2);
	struct rj_plan_job gang = job_of(200, 'c', WORKERS, 8);

	configure_classes(f, classes, 2);
	/* It may end at any moment: nothing is sure to end before it. */
	submit(f, job_of(1, 'c', 1, 8), 0);
	pass(f, 0);
	gang.shape.adjacent = false;
	submit(f, gang, 0);
	pass(f, 99 * S);
	strcpy(preview.class_name, "preview");
	submit(f, preview, 99 * S);
	preview.job_id++;
	preview.priority = RJ_PRIORITY_URGENT;
	submit(f, preview, 99 * S);
	preview.job_id++;
	preview.priority = RJ_PRIORITY_NORMAL;
	preview.shape.each.accelerators = 4;
	submit(f, preview, 99 * S);
	pass(f, 99 * S);
	g_assert_cmpuint(f->decisions.count, ==, 1);
	g_assert_cmpint(decision_on(f, 300)->reason, ==, RJ_REASON_BACKFILL);
}

/*
 * A tutor waits for a lesson pack that was dead an hour ago: it sits in the
 * queue past its deadline and nobody says so.
 */
static void test_late_jobs_are_given_up(struct fixture *f, const void *data)
{
	struct rj_plan_job late = job_of(20, 'c', 1, 8);

	submit_many(f, job_of(1, 'c', 1, 8), WORKERS);
	pass(f, 0);
	late.deadline_us = 60 * S;
	g_assert_cmpint(submit(f, late, 0), ==, RJ_REASON_NONE);
	pass(f, 0);
	g_assert_cmpuint(f->planner->ops->wake_us(f->planner), <=, 60 * S);
	pass(f, 60 * S);
	g_assert_cmpint(decision_on(f, 20)->kind, ==, RJ_DECISION_REFUSE);
	g_assert_cmpint(decision_on(f, 20)->reason, ==,
			RJ_REASON_DEADLINE_PASSED);
}

/*
 * Refused callers come back together, again and again. Cause: all were told
 * the same time.
 */
static void test_refused_callers_return_apart(struct fixture *f,
					      const void *data)
{
	GHashTable *times = g_hash_table_new(NULL, NULL);
	struct rj_plan_job late = job_of(100, 'c', 1, 8);

	submit_many(f, job_of(1, 'c', 1, 8), 90);
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
 * A portfolio gang waits while the rooms that it needs go to previews that
 * came minutes later. All ends at once, and the previews are served first.
 * Cause: the gang is of low priority, and its size counted for nothing.
 */
static void test_a_large_gang_goes_before_later_small_work(struct fixture *f,
							   const void *data)
{
	struct rj_plan_job gang = job_of(2, 'c', WORKERS, 8);
	struct rj_plan_job small = job_of(3, 'c', 1, 8);
	struct rj_plan_job first = gang;

	first.job_id = 1;
	first.shape.adjacent = false;
	gang.shape.adjacent = false;
	gang.priority = RJ_PRIORITY_BULK;
	small.checkpoint = true;
	submit(f, first, 0);
	pass(f, 0);
	submit(f, gang, 0);
	submit(f, small, 100 * S);
	pass(f, 100 * S);
	g_assert_cmpuint(f->decisions.count, ==, 0);
	ended(f, 1, 200 * S, 200 * S);
	pass(f, 200 * S);
	g_assert_cmpuint(f->decisions.count, ==, 1);
	g_assert_cmpint(decision_on(f, 2)->kind, ==, RJ_DECISION_START);
}

/*
 * One account's burst of previews shuts everybody out: it fills the queue.
 */
static void test_queue_is_shared(struct fixture *f, const void *data)
{
	struct rj_plan_job urgent = job_of(900, 'a', 1, 8);
	uint32_t taken = 0;

	f->config.limits.queue_max = 90;
	configure(f);
	for (uint64_t id = 1; id <= 200; id++)
		taken += submit(f, job_of(id, 'c', 1, 1), 0) == RJ_REASON_NONE;
	g_assert_cmpuint(taken, ==, 45);
	g_assert_cmpint(submit(f, job_of(500, 'a', 1, 1), 0), ==,
			RJ_REASON_NONE);
	urgent.priority = RJ_PRIORITY_URGENT;
	g_assert_cmpint(submit(f, urgent, 0), ==, RJ_REASON_NONE);
}

static void test_small_jobs_fill_broken_workers(struct fixture *f,
						const void *data)
{
	uint32_t used = 0;
	bool seen[WORKERS] = { false };

	submit_many(f, job_of(1, 'c', 1, 1), 16);
	pass(f, 0);
	for (uint32_t i = 0; i < f->decisions.count; i++) {
		uint32_t worker = f->decisions.list[i].members[0].worker;

		used += !seen[worker];
		seen[worker] = true;
	}
	g_assert_cmpuint(used, ==, 2);
	submit(f, job_of(30, 'a', 4, 8), 0);
	pass(f, 0);
	g_assert_cmpint(decision_on(f, 30)->kind, ==, RJ_DECISION_START);
}

static void test_gangs_span_as_few_racks_as_will_do(struct fixture *f,
						    const void *data)
{
	struct rj_plan_job gang = job_of(2, 'c', 4, 8);

	gang.shape.adjacent = false;
	submit(f, job_of(1, 'c', 1, 8), 0);
	submit(f, gang, 0);
	pass(f, 0);
	g_assert_true(is_in_one_rack(decision_on(f, 2)));
	gang.job_id = 3;
	gang.shape.tasks = 3;
	submit(f, gang, 0);
	pass(f, 0);
	g_assert_cmpuint(decision_on(f, 3)->member_count, ==, 3);
}

/*
 * After an instance is replaced a guarantee cannot be reclaimed: its
 * successor found the renders running and took them for its own account's.
 */
static void test_adopted_work_is_reclaimed(struct fixture *f, const void *data)
{
	for (uint32_t i = 0; i < WORKERS; i++) {
		struct rj_plan_job job = job_of(i + 1, 'c', 1, 8);
		struct rj_plan_member member = { .worker = i, .tasks = 1 };

		f->planner->ops->adopt(f->planner, &job, &member, 1, 0);
	}
	submit(f, job_of(20, 'a', 4, 8), S);
	pass(f, S);
	g_assert_cmpuint(count_of(f, RJ_DECISION_RECLAIM), ==, 4);
	obey(f, 0, S);
	pass(f, S);
	g_assert_cmpint(decision_on(f, 20)->kind, ==, RJ_DECISION_START);
}

/*
 * Studio a, which borrows all, has its own guaranteed work stopped for b.
 * Cause: the victims were chosen by lost work alone.
 */
static void test_what_is_within_a_guarantee_is_not_stopped(struct fixture *f,
							   const void *data)
{
	submit(f, job_of(1, 'a', 4, 8), 0);
	pass(f, 0);
	submit_many(f, job_of(2, 'c', 1, 8), 4);
	pass(f, S);
	submit(f, job_of(20, 'b', 2, 8), 2 * S);
	pass(f, 2 * S);
	g_assert_cmpuint(count_of(f, RJ_DECISION_RECLAIM), ==, 2);
	for (uint32_t i = 0; i < f->decisions.count; i++)
		g_assert_cmpuint(f->decisions.list[i].job_id, >=, 2);
}

/*
 * A guaranteed gang is cancelled while its room is being freed, and the
 * room stays kept for ever.
 */
static void test_cancelled_while_reclaiming(struct fixture *f, const void *data)
{
	submit_many(f, job_of(1, 'c', 1, 8), WORKERS);
	pass(f, 0);
	submit(f, job_of(20, 'a', 4, 8), S);
	pass(f, S);
	obey(f, 0, S);
	f->planner->ops->ended(f->planner, 20, false, 0, S);
	submit(f, job_of(21, 'c', 4, 8), S);
	pass(f, S);
	g_assert_cmpint(decision_on(f, 21)->kind, ==, RJ_DECISION_START);
}

#define ADD(name, function)                                                \
	g_test_add("/planner_topology/" name, struct fixture, NULL, setup, \
		   function, teardown)

/* On which workers of eight, "w0" to "w7", work that cannot be stopped goes,
 * as a bit for each, if they become known in this order. */
static uint32_t unguaranteed(bool reversed)
{
	struct fixture f;
	uint32_t workers = 0;

	prepare(&f);
	for (uint32_t id = 0; id < WORKERS; id++) {
		uint32_t number = reversed ? WORKERS - 1 - id : id;
		char name[RJ_NAME_BYTES];

		(void)g_snprintf(name, sizeof(name), "w%u", number);
		add_worker(&f, id, number / RACK_WORKERS, name);
	}
	for (uint64_t id = 1; id <= WORKERS; id++) {
		struct rj_plan_job job = job_of(id, 'c', 1, 8);

		job.stoppable = false;
		submit(&f, job, 0);
	}
	f.planner->ops->pass(f.planner, 0, &f.decisions);
	for (uint32_t i = 0; i < f.decisions.count; i++) {
		uint32_t id = f.decisions.list[i].members[0].worker;

		workers |= 1U << (reversed ? WORKERS - 1 - id : id);
	}
	teardown(&f, NULL);
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
	g_assert_cmpuint(unguaranteed(false), !=, 0);
	g_assert_cmpuint(unguaranteed(false), ==, unguaranteed(true));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("guarantee/gangs", test_guarantee_occupied_by_gangs);
	ADD("guarantee/unstoppable",
	    test_unstoppable_work_stays_off_guarantees);
	ADD("guarantee/own", test_unstoppable_work_runs_on_its_own_guarantee);
	ADD("guarantee/two", test_two_accounts_reclaim_at_once);
	ADD("guarantee/sizes", test_mixed_sizes_share_a_guarantee);
	ADD("guarantee/silent", test_silent_worker_gives_another_shape);
	ADD("guarantee/dies", test_workers_die_during_reclaim);
	ADD("guarantee/changes", test_guarantee_shrinks_and_grows);
	ADD("guarantee/adopted", test_adopted_work_is_reclaimed);
	ADD("guarantee/within", test_what_is_within_a_guarantee_is_not_stopped);
	ADD("guarantee/cancelled", test_cancelled_while_reclaiming);
	ADD("reservation/never", test_nothing_is_kept_for_what_cannot_run);
	ADD("reservation/learnt", test_learnt_run_time_decides_who_passes);
	ADD("reservation/waited", test_small_work_makes_way_for_a_gang);
	ADD("reservation/together",
	    test_loans_and_small_work_make_way_together);
	ADD("reservation/urgent_again",
	    test_urgent_work_is_not_stopped_again_for_a_gang);
	ADD("reservation/short", test_short_small_work_passes_a_reservation);
	ADD("queue/late", test_late_jobs_are_given_up);
	ADD("queue/apart", test_refused_callers_return_apart);
	ADD("queue/shared", test_queue_is_shared);
	ADD("queue/size", test_a_large_gang_goes_before_later_small_work);
	ADD("place/broken", test_small_jobs_fill_broken_workers);
	ADD("place/span", test_gangs_span_as_few_racks_as_will_do);
	g_test_add_func("/planner_topology/home/order",
			test_homes_do_not_depend_on_the_order_of_discovery);
	return g_test_run();
}
