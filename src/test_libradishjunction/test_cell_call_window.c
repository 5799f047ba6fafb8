/*
 * Tests of the window of calls, and of an owner that sends through it.
 */
#include <talloc.h>

#include "support/cell_sim.h"

/* Calls of an owner that may wait for their answers: 192 calls of 0.4 ms each, on
 * half a core, delay other events by 77 ms. */
#define OPEN_CALLS_MAX 192
/* Polls of 900 workers that register within 3 s: a large fleet is polled at 50 a
 * second. */
#define POLLS_MAX 300
/* Orders that may go before an urgent task: half a second at 500 a second. */
#define STARTS_PER_PLAN_MAX 256
/* Polls of idle workers in a large fleet. */
#define IDLE_POLLS_PER_S 50
#define LIMIT 40 /* of the windows below */

/* Sends as many calls as have room. */
static uint32_t fill(struct rj_cell_call_window *window, uint64_t now_us)
{
	uint32_t sent = 0;

	while (rj_cell_call_window_has_room(window, now_us)) {
		rj_cell_call_window_sent(window, now_us);
		sent++;
	}
	return sent;
}

/* Answers make room for as many calls, also after the window has wrapped. */
static void test_answers_make_room(void)
{
	struct rj_cell_call_window window;

	rj_cell_call_window_init(&window, LIMIT);
	for (uint64_t now_us = S; now_us < 2 * S; now_us += 37 * MS) {
		g_assert_cmpuint(fill(&window, now_us), ==, LIMIT);
		for (uint32_t i = 0; i < 10; i++)
			rj_cell_call_window_answered(&window, now_us);
		g_assert_cmpuint(fill(&window, now_us + MS), ==, 10);
		for (uint32_t i = 0; i < LIMIT; i++)
			rj_cell_call_window_answered(&window, now_us);
		for (uint32_t i = 0; i < 10; i++)
			rj_cell_call_window_answered(&window, now_us + MS);
	}
}

/* Guards against a window that unreachable workers keep closed. */
static void test_unanswered_calls_leave_the_window(void)
{
	struct rj_cell_call_window window;

	rj_cell_call_window_init(&window, LIMIT);
	g_assert_cmpuint(fill(&window, S), ==, LIMIT);
	g_assert_cmpuint(fill(&window, S + RJ_CELL_CALL_WINDOW_AGE_US / 2), ==,
			 0);
	g_assert_cmpuint(fill(&window, S + 2 * RJ_CELL_CALL_WINDOW_AGE_US), ==,
			 LIMIT);
	/* An answer that comes too late makes no room. */
	rj_cell_call_window_answered(&window, S);
	g_assert_false(rj_cell_call_window_has_room(
		&window, S + 2 * RJ_CELL_CALL_WINDOW_AGE_US));
}

/* Starts a site with one node and 2,500 workers. */
static struct cell_sim *large_sim(void)
{
	const struct cell_sim_options options = {
		CELL_SITE(5, 1, 2500, 20, 64),
	};
	struct cell_sim *sim = g_new0(struct cell_sim, 1);

	cell_sim_init(sim, &options);
	return sim;
}

/*
 * Guards against a burst of calls behind which the answers of the log wait: the
 * owner then loses track of the logs, starts nothing, and sends the next burst
 * when it has caught up.
 */
static void test_a_burst_of_tasks_is_paced(void)
{
	struct cell_sim *sim = large_sim();
	struct rj_cell_step step = cell_sim_plain_step(500, 8, 60000);
	struct cell_client_job *jobs[4];

	cell_sim_run(sim, 5 * S);
	for (guint i = 0; i < G_N_ELEMENTS(jobs); i++) {
		jobs[i] =
			cell_sim_job_new(sim, "normal", "a", &step, 1, 60 * S);
		cell_sim_submit(sim, 0, jobs[i]);
	}
	sim->open_calls_max = 0;
	cell_sim_run(sim, 4 * S);
	for (guint i = 0; i < G_N_ELEMENTS(jobs); i++)
		g_assert_cmpuint(jobs[i]->starts, ==, 500);
	g_assert_cmpuint(sim->open_calls_max, <=, OPEN_CALLS_MAX);
	cell_sim_finish(sim);
	g_free(sim);
}

/* Counts the runs on all workers, as the owner knows them. */
static uint32_t count_runs(const struct rj_cell_owner *owner)
{
	const struct rj_list *at;
	const struct rj_list *run;
	uint32_t count = 0;

	for (at = owner->fleet.workers.next; at != &owner->fleet.workers;
	     at = at->next) {
		const struct rj_list *runs =
			&RJ_CONTAINER(at, struct rj_cell_worker, link)->runs;

		for (run = runs->next; run != runs; run = run->next)
			count++;
	}
	return count;
}

/* Guards against urgent tasks that wait behind the orders for thousands of
 * others, which one plan has placed. */
static void test_a_plan_starts_a_bounded_number(void)
{
	struct cell_sim *sim = large_sim();
	const struct rj_cell_owner *owner = &sim->nodes[0].node.owner;
	struct rj_cell_step step = cell_sim_plain_step(2000, 1, 60000);
	uint32_t runs = 0;

	cell_sim_run(sim, 5 * S);
	cell_sim_submit(sim, 0,
			cell_sim_job_new(sim, "bulk", "a", &step, 1, 60 * S));
	for (uint32_t i = 0; i < 4000 && runs < 2000; i++) {
		uint64_t plans = owner->counters.plans;
		uint32_t before = runs;

		cell_sim_run(sim, MS);
		runs = count_runs(owner);
		g_assert_cmpuint(runs - before, <=,
				 (owner->counters.plans - plans) *
					 STARTS_PER_PLAN_MAX);
	}
	g_assert_cmpuint(runs, ==, 2000);
	cell_sim_finish(sim);
	g_free(sim);
}

/* Guards against polls that follow the number of busy workers: while no run
 * ends, a worker is polled at most once in a third of its lease. */
static void test_busy_workers_are_polled_for_their_completions(void)
{
	struct cell_sim *sim = large_sim();
	const struct rj_cell_owner *owner = &sim->nodes[0].node.owner;
	struct rj_cell_step step = cell_sim_plain_step(1000, 8, 30000);
	uint64_t polls;

	cell_sim_run(sim, 5 * S);
	cell_sim_submit(sim, 0,
			cell_sim_job_new(sim, "bulk", "a", &step, 1, 30 * S));
	cell_sim_run(sim, 5 * S);
	polls = owner->counters.polls;
	cell_sim_run(sim, 10 * S);
	polls = owner->counters.polls - polls;
	g_assert_cmpuint(count_runs(owner), ==, 1000);
	g_assert_cmpuint(polls, <=, 10 * (1000 / 2 + IDLE_POLLS_PER_S));
	cell_sim_finish(sim);
	g_free(sim);
}

/* Guards against thousands of polls as the workers of a large fleet register
 * one after the other, while nothing runs. */
static void test_registering_workers_are_not_polled_at_once(void)
{
	struct cell_sim *sim = large_sim();
	const struct rj_cell_owner *owner = &sim->nodes[0].node.owner;
	uint64_t polls;

	for (uint32_t i = 1600; i < 2500; i++)
		cell_sim_worker_kill(sim, i);
	cell_sim_run(sim, 20 * S);
	polls = owner->counters.polls;
	for (uint32_t i = 1600; i < 2500; i++)
		cell_sim_worker_start(sim, i);
	cell_sim_run(sim, 3 * S);
	g_assert_cmpuint(owner->fleet.count, ==, 2500);
	g_assert_cmpuint(owner->counters.polls - polls, <, POLLS_MAX);
	cell_sim_finish(sim);
	g_free(sim);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell_call_window/answers", test_answers_make_room);
	g_test_add_func("/cell_call_window/unanswered",
			test_unanswered_calls_leave_the_window);
	g_test_add_func("/cell_call_window/burst",
			test_a_burst_of_tasks_is_paced);
	g_test_add_func("/cell_call_window/plan",
			test_a_plan_starts_a_bounded_number);
	g_test_add_func("/cell_call_window/busy",
			test_busy_workers_are_polled_for_their_completions);
	g_test_add_func("/cell_call_window/registering",
			test_registering_workers_are_not_polled_at_once);
	return g_test_run();
}
