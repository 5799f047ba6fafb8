#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "support/simulation.h"

#define SETTLED_US (5 * RJ_US_PER_S)
#define LONG_RUN_US (10 * RJ_US_PER_S)
/* Ids of requests that the test sends itself; the transcript names them. */
#define WAITING_REQUEST_ID 901
#define REPEAT_REQUEST_ID 902
#define OUTAGE_US (30 * RJ_US_PER_S)

/* Returns whether any worker was asked to start a task of the job. */
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
 * An accepted job must not start while the log is unavailable: otherwise an
 * instance starts it without a claim, while another, which can read the log,
 * reads its cancellation and answers "not run". The job waits for capacity; the
 * log becomes unavailable; then capacity becomes free.
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
	const uint32_t worker_accelerators =
		simulation->workers[0].capacity.accelerators;
	struct fake_caller_options blocking_plan = {
		.class_name = "preview",
		.account = SIMULATION_OTHER_ACCOUNT,
		.tasks = 4,
		.accelerators = worker_accelerators,
		.run_us = LONG_RUN_US,
		.idempotent = true,
		.waits = true
	};
	struct fake_caller_options waiting_plan = blocking_plan;
	struct fake_caller *waiting_job;

	fake_log_publish(simulation, 0, "first",
			 simulation_config_text(simulation, simulation, 0));
	simulation_run_until(simulation, SETTLED_US);
	fake_caller_add(simulation, 0, &blocking_plan);
	waiting_plan.waits = false;
	waiting_plan.key = 7;
	waiting_plan.tasks = 1;
	waiting_job = fake_caller_add(simulation, RJ_US_PER_S, &waiting_plan);
	simulation_run_until(simulation, SETTLED_US + 3 * RJ_US_PER_S);
	g_assert_cmpuint(waiting_job->job_id, !=, 0);
	simulation->log.down = true;
	simulation_reachability_changed(simulation);
	simulation_run_until(simulation, SETTLED_US + OUTAGE_US);
	g_assert_false(has_started(simulation, waiting_job->job_id));
	simulation->log.down = false;
	simulation_reachability_changed(simulation);
	simulation_run_until(simulation, SETTLED_US + OUTAGE_US + LONG_RUN_US);
	g_assert_true(has_started(simulation, waiting_job->job_id));
	talloc_free(simulation);
}

/* Sends the first instance a request on a caller's job. */
static void send_request(struct simulation *simulation,
			 const struct fake_caller *caller,
			 enum rj_request_op op, uint64_t request_id)
{
	struct node *node = &simulation->nodes[0];
	struct rj_event *event =
		fake_caller_event(simulation, caller, node, op, request_id);

	node_deliver_after(simulation, node, 1, event);
}

/*
 * The answer to a repeated submission must go to its own request only. A caller
 * waits for an accepted job; the same job is submitted again with the same key,
 * without waiting. Its answer must not go to the requests that wait.
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
	struct fake_caller *accepted_job;

	fake_log_publish(simulation, 0, "first",
			 simulation_config_text(simulation, simulation, 0));
	simulation_run_until(simulation, SETTLED_US);
	accepted_job = fake_caller_add(simulation, 0, &plan);
	simulation_run_until(simulation, SETTLED_US + RJ_US_PER_S);
	g_assert_cmpuint(accepted_job->job_id, !=, 0);
	send_request(simulation, accepted_job, RJ_REQUEST_LOOKUP,
		     WAITING_REQUEST_ID);
	send_request(simulation, accepted_job, RJ_REQUEST_SUBMIT,
		     REPEAT_REQUEST_ID);
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
