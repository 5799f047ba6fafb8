#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "support/checker.h"

/* A hand-made history: one intent, submitted once at node 0. */
struct history {
	void *mem;
	struct checker checker;
	uint32_t intent;
	struct rj_attempt attempt;
	uint64_t now_us;
};

#define REQUEST 7

static void history_start(struct history *history, struct checker_intent intent)
{
	memset(history, 0, sizeof(*history));
	history->mem = talloc_new(NULL);
	checker_init(&history->checker, history->mem);
	if (!intent.gang)
		intent.gang = 1;
	(void)g_strlcpy(intent.result, "whole;", sizeof(intent.result));
	history->intent = checker_intent_add(&history->checker, &intent);
	history->attempt.job_id = 1;
	history->attempt.owner = 1;
	history->attempt.number = 1;
	history->now_us = RJ_US_PER_S;
	checker_request(&history->checker, history->now_us, REQUEST, 0,
			history->intent, RJ_REQUEST_SUBMIT);
	checker_request_delivered(&history->checker, REQUEST);
}

/* Starts a member and lets it make progress. */
static void history_run_task(struct history *history, uint32_t member)
{
	checker_task_started(
		&history->checker, history->now_us, &history->attempt,
		history->intent, member,
		checker_intent_get(&history->checker, history->intent)->gang);
	checker_task_progress(&history->checker, history->now_us,
			      &history->attempt, member, true);
}

static void history_end_task(struct history *history, uint32_t member,
			     enum rj_task_state state)
{
	checker_task_ended(&history->checker, history->now_us,
			   &history->attempt, member, state);
}

static void history_answer(struct history *history, enum rj_answer_kind kind,
			   const char *result)
{
	struct rj_answer answer = { .kind = kind };

	answer.result.data = (const uint8_t *)result;
	answer.result.length = (uint32_t)strlen(result);
	checker_answer(&history->checker, history->now_us, 0, REQUEST, &answer);
}

/*
 * Asserts that this invariant alone was violated, at least once, and frees the
 * history.
 */
static void history_expect(struct history *history, enum invariant invariant)
{
	g_assert_cmpuint(history->checker.violations[invariant], >, 0);
	g_assert_cmpuint(history->checker.violations[invariant], ==,
			 checker_violations(&history->checker));
	talloc_free(history->mem);
}

static void test_clean_history_has_no_violation(void)
{
	struct history history;

	history_start(&history, (struct checker_intent){ .gang = 1 });
	history_run_task(&history, 0);
	history_end_task(&history, 0, RJ_TASK_DONE);
	history_answer(&history, RJ_ANSWER_DONE, "whole;");
	checker_exit(&history.checker, history.now_us, 0);
	checker_tick(&history.checker, 100 * RJ_US_PER_S);
	checker_finish_run(&history.checker, 100 * RJ_US_PER_S);
	g_assert_cmpuint(checker_violations(&history.checker), ==, 0);
	talloc_free(history.mem);
}

/*
 * A guaranteed shape is still occupied by others after every fault has ended,
 * because nothing was reclaimed.
 */
static void test_guarantee_that_is_not_reclaimed_is_detected(void)
{
	struct history history;

	history_start(&history, (struct checker_intent){ .guaranteed = true });
	history.checker.recovered_us = 2 * RJ_US_PER_S;
	checker_tick(&history.checker,
		     history.checker.guarantee_limit_us + RJ_US_PER_S);
	g_assert_cmpuint(checker_violations(&history.checker), ==, 0);
	checker_tick(&history.checker,
		     history.checker.guarantee_limit_us + 3 * RJ_US_PER_S);
	history_expect(&history, INVARIANT_GUARANTEE);
}

/* One member of a gang runs while the other was never started. */
static void test_gang_that_runs_in_part_is_detected(void)
{
	struct history history;

	history_start(&history, (struct checker_intent){ .gang = 2 });
	history_run_task(&history, 0);
	history_expect(&history, INVARIANT_GANG);
}

/*
 * A member's worker dies and the other members run on: their owner does not
 * notice and keeps renewing the leases.
 */
static void test_gang_that_outlives_a_member_is_detected(void)
{
	struct history history;

	history_start(&history, (struct checker_intent){ .gang = 2 });
	checker_task_started(&history.checker, history.now_us, &history.attempt,
			     history.intent, 0, 2);
	checker_task_started(&history.checker, history.now_us, &history.attempt,
			     history.intent, 1, 2);
	checker_task_progress(&history.checker, history.now_us,
			      &history.attempt, 0, true);
	checker_task_progress(&history.checker, history.now_us,
			      &history.attempt, 1, true);
	history_end_task(&history, 0, RJ_TASK_NONE);
	checker_tick(&history.checker,
		     history.now_us + history.checker.lease_life_us);
	g_assert_cmpuint(checker_violations(&history.checker), ==, 0);
	checker_tick(&history.checker, history.now_us +
					       history.checker.lease_life_us +
					       CHECKER_GANG_MARGIN_US + 1);
	history_expect(&history, INVARIANT_GANG);
}

/* The caller gets part of a result, or the result of another job. */
static void test_wrong_results_are_detected(void)
{
	static const char *const wrong[] = { "who", "other;", "",
					     "whole;whole" };

	for (uint32_t i = 0; i < 4; i++) {
		struct history history;

		history_start(&history, (struct checker_intent){ .gang = 1 });
		history_run_task(&history, 0);
		history_end_task(&history, 0, RJ_TASK_DONE);
		history_answer(&history, RJ_ANSWER_DONE, wrong[i]);
		history_expect(&history, INVARIANT_ANSWER);
	}
}

/*
 * "done" is answered while the task still runs, "failed" for a task that never
 * started, or one request gets two answers.
 */
static void test_answers_without_their_run_are_detected(void)
{
	struct history history;

	history_start(&history, (struct checker_intent){ .gang = 1 });
	history_run_task(&history, 0);
	history_answer(&history, RJ_ANSWER_DONE, "whole;");
	history_expect(&history, INVARIANT_ANSWER);
	history_start(&history, (struct checker_intent){ .gang = 1 });
	history_answer(&history, RJ_ANSWER_FAILED, "");
	history_expect(&history, INVARIANT_ANSWER);
	history_start(&history, (struct checker_intent){ .gang = 1 });
	history_answer(&history, RJ_ANSWER_UNKNOWN, "");
	history_answer(&history, RJ_ANSWER_UNKNOWN, "");
	history_expect(&history, INVARIANT_ANSWER);
}

/* "not run" is answered, and the job runs afterwards or had run before. */
static void test_false_not_run_is_detected(void)
{
	struct history history;

	history_start(&history, (struct checker_intent){ .gang = 1 });
	history_answer(&history, RJ_ANSWER_NOT_RUN, "");
	history_run_task(&history, 0);
	history_expect(&history, INVARIANT_NOT_RUN);
	history_start(&history, (struct checker_intent){ .gang = 1 });
	history_run_task(&history, 0);
	history_answer(&history, RJ_ANSWER_NOT_RUN, "");
	history_expect(&history, INVARIANT_NOT_RUN);
}

/*
 * A refused request is repeated with its key and the second one runs: no
 * violation.
 */
static void test_not_run_of_one_of_two_requests_is_valid(void)
{
	struct history history;

	history_start(&history, (struct checker_intent){ .key = 3 });
	history_answer(&history, RJ_ANSWER_NOT_RUN, "");
	checker_request(&history.checker, history.now_us, REQUEST + 1, 1,
			history.intent, RJ_REQUEST_SUBMIT);
	history_run_task(&history, 0);
	g_assert_cmpuint(checker_violations(&history.checker), ==, 0);
	talloc_free(history.mem);
}

/*
 * A job runs twice: two attempts with one body, or with two bodies under one
 * key.
 */
static void test_second_run_is_detected(void)
{
	struct history history;
	struct checker_intent other = { .key = 3, .gang = 1 };

	history_start(&history, (struct checker_intent){ .key = 3 });
	history_run_task(&history, 0);
	history.attempt.owner = 2;
	history_run_task(&history, 0);
	history_expect(&history, INVARIANT_ONCE);
	history_start(&history, (struct checker_intent){ .key = 3 });
	history_run_task(&history, 0);
	history.intent = checker_intent_add(&history.checker, &other);
	checker_request(&history.checker, history.now_us, REQUEST + 1, 1,
			history.intent, RJ_REQUEST_SUBMIT);
	history.attempt.job_id = 2;
	history_run_task(&history, 0);
	history_expect(&history, INVARIANT_ONCE);
}

/*
 * An upstream that has announced that it is leaving gets a new job more than
 * CHECKER_LEAVING_US (5 s) later. The sender knew of it, or was connected to an
 * instance that did, even if it is connected to no third one.
 */
static void test_job_sent_to_a_leaving_worker_is_detected(void)
{
	uint64_t late_us = RJ_US_PER_S + CHECKER_LEAVING_US + 1;
	uint64_t contact_us[CHECKER_NODES_MAX] = { 0, 0, RJ_NEVER_US };
	uint64_t late_contact_us[CHECKER_NODES_MAX] = { late_us };
	uint64_t no_contact_us[CHECKER_NODES_MAX] = { RJ_NEVER_US };
	struct history history;

	for (uint32_t node = 0; node < 2; node++) {
		history_start(&history, (struct checker_intent){ .gang = 1 });
		checker_leaving_known(&history.checker, RJ_US_PER_S, 0, 5, 1);
		checker_job_sent(&history.checker, late_us - 1, node, 5, 1,
				 contact_us);
		checker_job_sent(&history.checker, late_us, node, 5, 2,
				 contact_us);
		checker_job_sent(&history.checker, late_us, 1, 5, 1,
				 late_contact_us);
		checker_job_sent(&history.checker, late_us, 1, 5, 1,
				 no_contact_us);
		g_assert_cmpuint(checker_violations(&history.checker), ==, 0);
		checker_job_sent(&history.checker, late_us, node, 5, 1,
				 contact_us);
		history_expect(&history, INVARIANT_LEAVING);
	}
}

/*
 * An instance completes its planned stop while a caller still waits for an
 * answer.
 */
static void test_exit_with_an_open_request_is_detected(void)
{
	struct history history;

	history_start(&history, (struct checker_intent){ .gang = 1 });
	checker_exit(&history.checker, history.now_us, 1);
	g_assert_cmpuint(checker_violations(&history.checker), ==, 0);
	checker_exit(&history.checker, history.now_us, 0);
	history_expect(&history, INVARIANT_STOP);
}

/*
 * Violations: an instance returns to an older configuration; an accepted one
 * does not reach an instance connected to the platform, or to a peer that is;
 * one that was never accepted is in force; the loser of a race is forwarded.
 */
static void test_config_violations_are_detected(void)
{
	struct history history;

	history_start(&history, (struct checker_intent){ .gang = 1 });
	checker_config_accepted(&history.checker, 1, 1, "one");
	checker_config_accepted(&history.checker, 2, 2, "two");
	checker_config_in_force(&history.checker, 3, 0, 1, 2);
	checker_config_in_force(&history.checker, 4, 0, 1, 1);
	history_expect(&history, INVARIANT_CONFIG);
	history_start(&history, (struct checker_intent){ .gang = 1 });
	checker_node_platform(&history.checker, 1, 0, true);
	checker_config_accepted(&history.checker, 1, 1, "one");
	checker_tick(&history.checker, 1 + CHECKER_CONFIG_US);
	g_assert_cmpuint(checker_violations(&history.checker), ==, 0);
	checker_tick(&history.checker, 2 + CHECKER_CONFIG_US);
	history_expect(&history, INVARIANT_CONFIG);
	history_start(&history, (struct checker_intent){ .gang = 1 });
	checker_config_accepted(&history.checker, 1, 1, "one");
	checker_node_peer(&history.checker, 0, 5);
	checker_tick(&history.checker, 5 + CHECKER_CONFIG_US);
	g_assert_cmpuint(checker_violations(&history.checker), ==, 0);
	checker_tick(&history.checker, 6 + CHECKER_CONFIG_US);
	history_expect(&history, INVARIANT_CONFIG);
	history_start(&history, (struct checker_intent){ .gang = 1 });
	checker_config_in_force(&history.checker, 2, 0, 1, 1);
	history_expect(&history, INVARIANT_CONFIG);
	history_start(&history, (struct checker_intent){ .gang = 1 });
	checker_config_accepted(&history.checker, 1, 1, "one");
	checker_config_forwarded(&history.checker, 2, 0, 1, "one");
	g_assert_cmpuint(checker_violations(&history.checker), ==, 0);
	checker_config_forwarded(&history.checker, 2, 0, 1, "other");
	history_expect(&history, INVARIANT_CONFIG);
}

/* "accepted" was answered, and the job is lost. */
static void test_lost_accepted_job_is_detected(void)
{
	struct history history;

	history_start(&history, (struct checker_intent){ .gang = 1 });
	history_answer(&history, RJ_ANSWER_ACCEPTED, "");
	checker_finish_run(&history.checker, 100 * RJ_US_PER_S);
	history_expect(&history, INVARIANT_ACCEPTED);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/checker/clean", test_clean_history_has_no_violation);
	g_test_add_func("/checker/guarantee",
			test_guarantee_that_is_not_reclaimed_is_detected);
	g_test_add_func("/checker/gang/part",
			test_gang_that_runs_in_part_is_detected);
	g_test_add_func("/checker/gang/outlives",
			test_gang_that_outlives_a_member_is_detected);
	g_test_add_func("/checker/answer/result",
			test_wrong_results_are_detected);
	g_test_add_func("/checker/answer/run",
			test_answers_without_their_run_are_detected);
	g_test_add_func("/checker/not_run", test_false_not_run_is_detected);
	g_test_add_func("/checker/not_run/one_of_two",
			test_not_run_of_one_of_two_requests_is_valid);
	g_test_add_func("/checker/once", test_second_run_is_detected);
	g_test_add_func("/checker/leaving",
			test_job_sent_to_a_leaving_worker_is_detected);
	g_test_add_func("/checker/stop",
			test_exit_with_an_open_request_is_detected);
	g_test_add_func("/checker/config", test_config_violations_are_detected);
	g_test_add_func("/checker/accepted",
			test_lost_accepted_job_is_detected);
	return g_test_run();
}
