#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "tasks.h"

#define LEASE_LIFE_US (5 * RJ_US_PER_S)

struct fixture {
	struct rj_tasks tasks;
	struct rj_worker_call call;
	struct rj_worker_reply reply;
	uint64_t now_us;
};

static void set_up(struct fixture *fixture, gconstpointer data)
{
	struct rj_resources capacity = { 2, 8, 64, 1024 };
	static const char body[] = "{\"run_ms\":1000,\"checkpoint_ms\":100}";

	memset(fixture, 0, sizeof(*fixture));
	rj_tasks_init(&fixture->tasks, NULL, "w-000", &capacity);
	fixture->now_us = RJ_US_PER_S;
	fixture->call.attempt = (struct rj_attempt){ 1, 2, 3 };
	fixture->call.holder = 2;
	fixture->call.each = (struct rj_resources){ 1, 4, 1, 1 };
	fixture->call.life_us = LEASE_LIFE_US;
	fixture->call.throttle_percent = 100;
	fixture->call.body.data = (const uint8_t *)body;
	fixture->call.body.length = sizeof(body) - 1;
}

static void tear_down(struct fixture *fixture, gconstpointer data)
{
	rj_tasks_finish(&fixture->tasks);
}

static void call(struct fixture *fixture, enum rj_worker_op op)
{
	fixture->call.op = op;
	rj_tasks_call(&fixture->tasks, &fixture->call, fixture->now_us,
		      &fixture->reply);
}

static void lease(struct fixture *fixture)
{
	call(fixture, RJ_WORKER_LEASE);
	g_assert_cmpint(fixture->reply.status, ==, RJ_REPLY_OK);
	fixture->call.token = fixture->reply.token;
}

static void assert_refused(const struct fixture *fixture, enum rj_reason why)
{
	g_assert_cmpint(fixture->reply.status, ==, RJ_REPLY_REFUSED);
	g_assert_cmpstr(rj_reason_string[fixture->reply.reason], ==,
			rj_reason_string[why]);
}

static void assert_state(const struct fixture *fixture,
			 enum rj_task_state state)
{
	g_assert_cmpint(fixture->reply.status, ==, RJ_REPLY_OK);
	g_assert_cmpstr(rj_task_state_string[fixture->reply.state], ==,
			rj_task_state_string[state]);
}

/*
 * A token must not outlive its lease. An owner is paused past the expiry, its
 * job is settled elsewhere, and then it resumes and sends its start: the job
 * would run twice.
 */
static void test_expired_token_never_starts(struct fixture *fixture,
					    gconstpointer data)
{
	lease(fixture);
	fixture->now_us += LEASE_LIFE_US;
	call(fixture, RJ_WORKER_START);
	assert_refused(fixture, RJ_REASON_LEASE_EXPIRED);
	call(fixture, RJ_WORKER_RENEW);
	assert_refused(fixture, RJ_REASON_LEASE_EXPIRED);
	g_assert_cmpuint(g_hash_table_size(fixture->tasks.ran), ==, 0);
	g_assert_cmpuint(fixture->tasks.unused.slots, ==, 2);
}

/*
 * A worker must remember fenced attempts. A run is delayed, its attempt is
 * fenced and the job run by another instance; then the run arrives.
 */
static void test_fenced_attempt_never_runs(struct fixture *fixture,
					   gconstpointer data)
{
	call(fixture, RJ_WORKER_FENCE);
	assert_state(fixture, RJ_TASK_NONE);
	call(fixture, RJ_WORKER_FENCE);
	assert_state(fixture, RJ_TASK_NONE);
	call(fixture, RJ_WORKER_RUN);
	assert_refused(fixture, RJ_REASON_LEASE_EXPIRED);
	call(fixture, RJ_WORKER_LEASE);
	assert_refused(fixture, RJ_REASON_LEASE_EXPIRED);
	g_assert_cmpuint(g_hash_table_size(fixture->tasks.ran), ==, 0);
}

static void test_fence_revokes_a_held_token(struct fixture *fixture,
					    gconstpointer data)
{
	lease(fixture);
	call(fixture, RJ_WORKER_FENCE);
	assert_state(fixture, RJ_TASK_DEAD);
	call(fixture, RJ_WORKER_START);
	assert_refused(fixture, RJ_REASON_LEASE_EXPIRED);
}

static void test_release_revokes_a_held_token(struct fixture *fixture,
					      gconstpointer data)
{
	lease(fixture);
	call(fixture, RJ_WORKER_RELEASE);
	assert_state(fixture, RJ_TASK_DEAD);
	call(fixture, RJ_WORKER_START);
	assert_refused(fixture, RJ_REASON_LEASE_EXPIRED);
	g_assert_cmpuint(fixture->tasks.unused.slots, ==, 2);
}

/*
 * A released attempt must not run again. Its task ends and is released, and
 * then a delayed start arrives.
 */
static void test_released_attempt_never_runs_again(struct fixture *fixture,
						   gconstpointer data)
{
	lease(fixture);
	call(fixture, RJ_WORKER_START);
	fixture->now_us += RJ_US_PER_S;
	call(fixture, RJ_WORKER_RELEASE);
	call(fixture, RJ_WORKER_START);
	assert_refused(fixture, RJ_REASON_LEASE_EXPIRED);
	call(fixture, RJ_WORKER_RUN);
	assert_refused(fixture, RJ_REASON_LEASE_EXPIRED);
}

static void test_repeated_calls_get_the_same_answer(struct fixture *fixture,
						    gconstpointer data)
{
	uint64_t token;

	lease(fixture);
	token = fixture->reply.token;
	lease(fixture);
	g_assert_cmpuint(fixture->reply.token, ==, token);
	call(fixture, RJ_WORKER_START);
	assert_state(fixture, RJ_TASK_RUNNING);
	call(fixture, RJ_WORKER_START);
	assert_state(fixture, RJ_TASK_RUNNING);
	fixture->now_us += RJ_US_PER_S;
	call(fixture, RJ_WORKER_START);
	assert_state(fixture, RJ_TASK_DONE);
	g_assert_cmpuint(fixture->reply.ran_us, ==, RJ_US_PER_S);
	g_assert_cmpuint(fixture->reply.result.length, >, 0);
	g_assert_cmpuint(g_hash_table_size(fixture->tasks.ran), ==, 1);
}

static void test_expiry_stops_a_running_task(struct fixture *fixture,
					     gconstpointer data)
{
	lease(fixture);
	fixture->call.throttle_percent = 0;
	call(fixture, RJ_WORKER_START);
	g_assert_cmpuint(rj_tasks_due_us(&fixture->tasks), ==,
			 fixture->now_us + LEASE_LIFE_US);
	fixture->now_us += LEASE_LIFE_US;
	call(fixture, RJ_WORKER_FENCE);
	assert_state(fixture, RJ_TASK_STOPPED);
	g_assert_cmpuint(fixture->reply.ran_us, ==, 0);
}

static void test_throttle_pauses_the_task(struct fixture *fixture,
					  gconstpointer data)
{
	lease(fixture);
	fixture->call.throttle_percent = 0;
	call(fixture, RJ_WORKER_START);
	fixture->now_us += 2 * RJ_US_PER_S;
	fixture->call.throttle_percent = 50;
	call(fixture, RJ_WORKER_THROTTLE);
	g_assert_cmpuint(fixture->reply.ran_us, ==, 0);
	g_assert_cmpuint(rj_tasks_due_us(&fixture->tasks), ==,
			 fixture->now_us + 2 * RJ_US_PER_S);
}

static void test_checkpoint_is_resumed(struct fixture *fixture,
				       gconstpointer data)
{
	lease(fixture);
	call(fixture, RJ_WORKER_START);
	fixture->now_us += RJ_US_PER_S / 2;
	fixture->call.limit_us = RJ_US_PER_S;
	call(fixture, RJ_WORKER_CHECKPOINT);
	assert_state(fixture, RJ_TASK_RUNNING);
	fixture->now_us += RJ_US_PER_S / 10;
	call(fixture, RJ_WORKER_FENCE);
	assert_state(fixture, RJ_TASK_STOPPED);
	g_assert_cmpuint(fixture->reply.ran_us, ==, RJ_US_PER_S / 2);
	fixture->call.attempt.number++;
	fixture->call.resume_us = fixture->reply.ran_us;
	call(fixture, RJ_WORKER_RUN);
	g_assert_cmpuint(rj_tasks_due_us(&fixture->tasks), ==,
			 fixture->now_us + RJ_US_PER_S / 2);
}

static void
test_checkpoint_above_the_limit_is_not_saved(struct fixture *fixture,
					     gconstpointer data)
{
	lease(fixture);
	call(fixture, RJ_WORKER_START);
	fixture->now_us += RJ_US_PER_S / 2;
	fixture->call.limit_us = RJ_US_PER_S / 100;
	call(fixture, RJ_WORKER_CHECKPOINT);
	fixture->now_us += RJ_US_PER_S / 100;
	call(fixture, RJ_WORKER_FENCE);
	assert_state(fixture, RJ_TASK_STOPPED);
	g_assert_cmpuint(fixture->reply.ran_us, ==, 0);
}

static void test_report_renews_for_its_holder(struct fixture *fixture,
					      gconstpointer data)
{
	struct rj_worker_report report;
	void *mem = talloc_new(NULL);

	lease(fixture);
	fixture->call.attempt.number++;
	fixture->call.holder = 9;
	call(fixture, RJ_WORKER_LEASE);
	fixture->now_us += LEASE_LIFE_US - 1;
	call(fixture, RJ_WORKER_REPORT);
	fixture->now_us += 1;
	call(fixture, RJ_WORKER_REPORT);
	rj_tasks_report(&fixture->tasks, mem, fixture->now_us, &report);
	g_assert_cmpuint(report.task_count, ==, 1);
	g_assert_cmpuint(report.tasks[0].holder, ==, 9);
	g_assert_cmpuint(report.tasks[0].lease_left_us, ==, LEASE_LIFE_US);
	talloc_free(mem);
}

static void test_lease_refuses_what_does_not_fit(struct fixture *fixture,
						 gconstpointer data)
{
	lease(fixture);
	fixture->call.attempt.number++;
	lease(fixture);
	fixture->call.attempt.number++;
	call(fixture, RJ_WORKER_LEASE);
	assert_refused(fixture, RJ_REASON_LEASE_REFUSED);
	fixture->tasks.leaving = true;
	call(fixture, RJ_WORKER_RUN);
	assert_refused(fixture, RJ_REASON_DRAINING);
	g_assert_true(fixture->reply.leaving);
}

static void add(const char *path,
		void (*test)(struct fixture *fixture, gconstpointer data))
{
	g_test_add(path, struct fixture, NULL, set_up, test, tear_down);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add("/tasks/lapsed", test_expired_token_never_starts);
	add("/tasks/fenced", test_fenced_attempt_never_runs);
	add("/tasks/fence_held", test_fence_revokes_a_held_token);
	add("/tasks/release_held", test_release_revokes_a_held_token);
	add("/tasks/released", test_released_attempt_never_runs_again);
	add("/tasks/repeat", test_repeated_calls_get_the_same_answer);
	add("/tasks/lapse_running", test_expiry_stops_a_running_task);
	add("/tasks/throttle", test_throttle_pauses_the_task);
	add("/tasks/checkpoint", test_checkpoint_is_resumed);
	add("/tasks/checkpoint_limit",
	    test_checkpoint_above_the_limit_is_not_saved);
	add("/tasks/report", test_report_renews_for_its_holder);
	add("/tasks/fit", test_lease_refuses_what_does_not_fit);
	return g_test_run();
}
