#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "support/world.h"

#define SETTLED_US (5 * RJ_US_PER_S)
#define LONG_RUN_US (10 * RJ_US_PER_S)
/* Ids of requests that the test sends itself; the transcript names them. */
#define WAITING_REQUEST_ID 901
#define REPEAT_REQUEST_ID 902
#define OUTAGE_US (30 * RJ_US_PER_S)

/* Returns whether any worker was asked to start a task of the job. */
static bool has_started(const struct world *world, uint64_t job_id)
{
	for (uint32_t i = 0; i < world->worker_count; i++) {
		const GPtrArray *tasks = world->workers[i].tasks;

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
	struct world_options options = { .engine = &engine_core,
					 .seed = 1639,
					 .domains = 1,
					 .nodes_per_domain = 1,
					 .racks_per_domain = 1,
					 .workers_per_rack = 4 };
	struct world *world = world_create(NULL, &options);
	const uint32_t worker_accelerators =
		world->workers[0].capacity.accelerators;
	struct caller_plan blocking_plan = { .class_name = "preview",
					     .account = WORLD_OTHER_ACCOUNT,
					     .tasks = 4,
					     .accelerators =
						     worker_accelerators,
					     .run_us = LONG_RUN_US,
					     .idempotent = true,
					     .waits = true };
	struct caller_plan waiting_plan = blocking_plan;
	struct fake_caller *waiting_job;

	fake_log_publish(world, 0, "first", world_config_text(world, world, 0));
	world_run_until(world, SETTLED_US);
	fake_caller_add(world, 0, &blocking_plan);
	waiting_plan.waits = false;
	waiting_plan.key = 7;
	waiting_plan.tasks = 1;
	waiting_job = fake_caller_add(world, RJ_US_PER_S, &waiting_plan);
	world_run_until(world, SETTLED_US + 3 * RJ_US_PER_S);
	g_assert_cmpuint(waiting_job->job_id, !=, 0);
	world->log.down = true;
	world_reach_changed(world);
	world_run_until(world, SETTLED_US + OUTAGE_US);
	g_assert_false(has_started(world, waiting_job->job_id));
	world->log.down = false;
	world_reach_changed(world);
	world_run_until(world, SETTLED_US + OUTAGE_US + LONG_RUN_US);
	g_assert_true(has_started(world, waiting_job->job_id));
	talloc_free(world);
}

/* Sends the first instance a request on a caller's job. */
static void send_request(struct world *world, const struct fake_caller *caller,
			 enum rj_request_op op, uint64_t request_id)
{
	struct node *node = &world->nodes[0];
	struct rj_event *event =
		fake_caller_event(world, caller, node, op, request_id);

	node_deliver_after(world, node, 1, event);
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
	struct world_options options = { .engine = &engine_core,
					 .seed = 1,
					 .domains = 1,
					 .nodes_per_domain = 1,
					 .racks_per_domain = 1,
					 .workers_per_rack = 4,
					 .transcript = transcript };
	struct world *world = world_create(NULL, &options);
	struct caller_plan plan = { .class_name = "preview",
				    .account = WORLD_OTHER_ACCOUNT,
				    .key = 7,
				    .tasks = 1,
				    .accelerators = 1,
				    .run_us = LONG_RUN_US,
				    .idempotent = true };
	struct fake_caller *accepted_job;

	fake_log_publish(world, 0, "first", world_config_text(world, world, 0));
	world_run_until(world, SETTLED_US);
	accepted_job = fake_caller_add(world, 0, &plan);
	world_run_until(world, SETTLED_US + RJ_US_PER_S);
	g_assert_cmpuint(accepted_job->job_id, !=, 0);
	send_request(world, accepted_job, RJ_REQUEST_LOOKUP,
		     WAITING_REQUEST_ID);
	send_request(world, accepted_job, RJ_REQUEST_SUBMIT, REPEAT_REQUEST_ID);
	world_run_until(world, SETTLED_US + 2 * RJ_US_PER_S);
	fflush(transcript);
	g_assert_nonnull(strstr(text, "answer id=902 accepted"));
	g_assert_null(strstr(text, "answer id=901 "));
	world_run_until(world, SETTLED_US + 2 * LONG_RUN_US);
	fflush(transcript);
	g_assert_nonnull(strstr(text, "answer id=901 done"));
	talloc_free(world);
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
