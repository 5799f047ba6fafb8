#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "support/simulation.h"

#define SETTLED_US (5 * RJ_US_PER_S)
#define LONG_RUN_US (10 * RJ_US_PER_S)
/* Requests that the fake callers did not make; the transcript names them. */
#define WAITING_ID 901
#define REPEAT_ID 902
#define OUTAGE_US (30 * RJ_US_PER_S)

/*
 * Whether any worker was ever asked to start a task of the job.
 */
static bool has_started(const struct simulation *simulation, uint64_t job_id)
{
	for (uint32_t i = 0; i < simulation->worker_count; i++) {
		const GPtrArray *tasks = simulation->workers[i].tasks;

		for (guint j = 0; j < tasks->len; j++) {
			const struct fake_task *task = tasks->pdata[j];

			if (task->attempt.job_id == job_id &&
			    task->state != RJ_TASK_HELD &&
			    task->state != RJ_TASK_DEAD)
				return true;
		}
	}
	return false;
}

/*
 * A tutor is told that a cancelled render did not run, and finds it charged
 * to the studio's quota.
 * A render is accepted and waits for capacity; the log goes away; capacity
 * comes free. The instance starts the render; another one, which can read
 * the log, reads the cancellation and says that it did not run.
 * Cause: an accepted job was started without a claim in an outage.
 */
static void test_accepted_jobs_wait_for_the_log(void)
{
	struct simulation_options options = { .engine = &engine_core,
					      .seed = 1639,
					      .domains = 1,
					      .nodes_per_domain = 1,
					      .racks_per_domain = 1,
					      .workers_per_rack = 4 };
	struct simulation *simulation = simulation_create(NULL, &options);
	const uint32_t whole = simulation->workers[0].capacity.accelerators;
	struct fake_caller_options first = { .class_name = "preview",
					     .account =
						     SIMULATION_OTHER_ACCOUNT,
					     .tasks = 4,
					     .accelerators = whole,
					     .run_us = LONG_RUN_US,
					     .idempotent = true,
					     .waits = true };
	struct fake_caller_options second = first;
	struct fake_caller *render;

	fake_log_publish(simulation, 0, "first",
			 simulation_config_text(simulation, simulation, 0));
	simulation_run_until(simulation, SETTLED_US);
	fake_caller_add(simulation, 0, &first);
	second.waits = false;
	second.key = 7;
	second.tasks = 1;
	render = fake_caller_add(simulation, RJ_US_PER_S, &second);
	simulation_run_until(simulation, SETTLED_US + 3 * RJ_US_PER_S);
	g_assert_cmpuint(render->job_id, !=, 0);
	simulation->log.down = true;
	simulation_reachability_changed(simulation);
	simulation_run_until(simulation, SETTLED_US + OUTAGE_US);
	g_assert_false(has_started(simulation, render->job_id));
	simulation->log.down = false;
	simulation_reachability_changed(simulation);
	simulation_run_until(simulation, SETTLED_US + OUTAGE_US + LONG_RUN_US);
	g_assert_true(has_started(simulation, render->job_id));
	talloc_free(simulation);
}

/*
 * Ask the first instance about a caller's job, under an id of the test's.
 */
static void ask(struct simulation *simulation, const struct fake_caller *caller,
		enum rj_request_op op, uint64_t request_id)
{
	struct node *node = &simulation->nodes[0];
	struct rj_event *event =
		fake_caller_event(simulation, caller, node, op, request_id);

	node_deliver_after(simulation, node, 1, event);
}

/*
 * A tutor who waits for a lesson pack's end hears only that it is accepted.
 * The pack was accepted; the tutor looks it up and waits; the studio's page
 * submits it again with the same key and does not wait.
 * Cause: the repeat's answer went to all who waited for the job.
 */
static void test_repeat_answers_its_own_caller(void)
{
	char *text = NULL;
	size_t size = 0;
	FILE *transcript = open_memstream(&text, &size);
	struct simulation_options options = { .engine = &engine_core,
					      .seed = 1,
					      .domains = 1,
					      .nodes_per_domain = 1,
					      .racks_per_domain = 1,
					      .workers_per_rack = 4,
					      .transcript = transcript };
	struct simulation *simulation = simulation_create(NULL, &options);
	struct fake_caller_options plan = { .class_name = "preview",
					    .account = SIMULATION_OTHER_ACCOUNT,
					    .key = 7,
					    .tasks = 1,
					    .accelerators = 1,
					    .run_us = LONG_RUN_US,
					    .idempotent = true };
	struct fake_caller *pack;

	fake_log_publish(simulation, 0, "first",
			 simulation_config_text(simulation, simulation, 0));
	simulation_run_until(simulation, SETTLED_US);
	pack = fake_caller_add(simulation, 0, &plan);
	simulation_run_until(simulation, SETTLED_US + RJ_US_PER_S);
	g_assert_cmpuint(pack->job_id, !=, 0);
	ask(simulation, pack, RJ_REQUEST_LOOKUP, WAITING_ID);
	ask(simulation, pack, RJ_REQUEST_SUBMIT, REPEAT_ID);
	simulation_run_until(simulation, SETTLED_US + 2 * RJ_US_PER_S);
	fflush(transcript);
	g_assert_nonnull(strstr(text, "answer id=902 accepted"));
	g_assert_null(strstr(text, "answer id=901 "));
	simulation_run_until(simulation, SETTLED_US + 2 * LONG_RUN_US);
	fflush(transcript);
	g_assert_nonnull(strstr(text, "answer id=901 done"));
	talloc_free(simulation);
	fclose(transcript);
	free(text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/accepted/waits_for_the_log",
			test_accepted_jobs_wait_for_the_log);
	g_test_add_func("/accepted/repeat", test_repeat_answers_its_own_caller);
	return g_test_run();
}
