#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "radishjunction/http_workers.h"
#include "worker.h"

#define TIMEOUT_US (60 * RJ_US_PER_S)
#define SHORT_US (20 * RJ_US_PER_MS)
#define LEASE_LIFE_US (60 * RJ_US_PER_S)
/* A call that takes longer has failed. */
#define CALL_LIMIT_US (10 * RJ_US_PER_S)
#define RESULT_MAX_BYTES 512

struct fixture {
	struct rj_sink sink; /* first member: the fixture is found from it */
	struct tevent_context *ev;
	struct rj_standin_worker worker;
	struct rj_http_workers workers;
	struct rj_worker_call call;
	uint32_t replies;
	struct rj_worker_reply reply; /* the last, without its bytes */
	struct rj_task_report task; /* the first of its report */
	char result[RESULT_MAX_BYTES];
};

static void deliver(struct rj_sink *sink, struct rj_event *event)
{
	struct fixture *fixture = (struct fixture *)sink;
	struct rj_worker_reply *reply = &event->u.worker_reply;

	g_assert_cmpint(event->kind, ==, RJ_EVENT_WORKER_REPLY);
	g_assert_cmpuint(event->now_us, >, 0);
	g_assert_cmpuint(reply->result.length, <, RESULT_MAX_BYTES);
	fixture->replies++;
	fixture->reply = *reply;
	memset(fixture->result, 0, RESULT_MAX_BYTES);
	if (reply->result.length)
		memcpy(fixture->result, reply->result.data,
		       reply->result.length);
	if (reply->report.task_count)
		fixture->task = reply->report.tasks[0];
}

static void set_body(struct fixture *fixture, const char *text)
{
	fixture->call.body.data = (const uint8_t *)text;
	fixture->call.body.length = (uint32_t)strlen(text);
}

static void set_up(struct fixture *fixture, gconstpointer data)
{
	struct rj_standin_worker_options options = {
		.name = "w-000",
		.address = { "127.0.0.1", 0 },
		.connections_max = 64,
		.capacity = { 8, 8, 64, 1024 },
	};
	struct rj_worker_call *call = &fixture->call;

	memset(fixture, 0, sizeof(*fixture));
	fixture->sink.deliver = deliver;
	fixture->ev = tevent_context_init(NULL);
	g_assert_cmpint(rj_standin_worker_init(&fixture->worker, fixture->ev,
					       fixture->ev, &options, NULL),
			==, 0);
	g_assert_cmpint(rj_http_workers_init(&fixture->workers, fixture->ev,
					     fixture->ev, &fixture->sink,
					     "entry-1", NULL),
			==, 0);
	memcpy(call->worker, "w-000", sizeof("w-000"));
	call->address = fixture->worker.server.address;
	call->timeout_us = TIMEOUT_US;
	call->holder = 7;
	call->attempt = (struct rj_attempt){ 11, 7, 1 };
	call->gang = 1;
	call->each = (struct rj_resources){ 1, 1, 1, 1 };
	call->life_us = LEASE_LIFE_US;
	call->throttle_percent = 100;
	memcpy(call->account, "association", sizeof("association"));
	set_body(fixture, "{\"echo\":\"lesson\"}");
}

static void tear_down(struct fixture *fixture, gconstpointer data)
{
	fixture->workers.base.ops->finish(&fixture->workers.base);
	rj_standin_worker_finish(&fixture->worker);
	talloc_free(fixture->ev);
}

/* Sends a call with the next id without waiting for its reply. */
static void post(struct fixture *fixture, enum rj_worker_op op)
{
	fixture->call.op = op;
	fixture->call.call_id++;
	fixture->workers.base.ops->call(&fixture->workers.base, &fixture->call);
}

static void wait_for(struct fixture *fixture, uint32_t replies)
{
	while (fixture->replies < replies)
		tevent_loop_once(fixture->ev);
}

static void call(struct fixture *fixture, enum rj_worker_op op)
{
	post(fixture, op);
	wait_for(fixture, fixture->replies + 1);
	g_assert_cmpuint(fixture->reply.call_id, ==, fixture->call.call_id);
	g_assert_cmpint(fixture->reply.op, ==, op);
	g_assert_cmpuint(fixture->reply.attempt.job_id, ==, 11);
}

static void assert_status(const struct fixture *fixture,
			  enum rj_reply_status status, enum rj_reason reason)
{
	g_assert_cmpstr(rj_reply_status_string[fixture->reply.status], ==,
			rj_reply_status_string[status]);
	g_assert_cmpstr(rj_reason_string[fixture->reply.reason], ==,
			rj_reason_string[reason]);
}

/* Returns how often the attempt of the call was started. */
static uint32_t starts(const struct fixture *fixture)
{
	struct rj_task_key key = { fixture->call.attempt,
				   fixture->call.member };
	const struct rj_task_start_record *ran =
		g_hash_table_lookup(fixture->worker.tasks.ran, &key);

	return ran ? ran->starts : 0;
}

static void test_run_returns_its_result(struct fixture *fixture,
					gconstpointer data)
{
	call(fixture, RJ_WORKER_RUN);
	assert_status(fixture, RJ_REPLY_OK, RJ_REASON_NONE);
	g_assert_cmpint(fixture->reply.state, ==, RJ_TASK_DONE);
	g_assert_cmpuint(fixture->reply.incarnation, ==,
			 fixture->worker.tasks.incarnation);
	g_assert_nonnull(strstr(fixture->result, "\"echo\":\"lesson\""));
	g_assert_nonnull(strstr(fixture->result, "000000000000000b"));
}

static void test_report_lists_a_lease(struct fixture *fixture,
				      gconstpointer data)
{
	call(fixture, RJ_WORKER_LEASE);
	call(fixture, RJ_WORKER_REPORT);
	g_assert_cmpuint(fixture->reply.report.task_count, ==, 1);
	g_assert_cmpint(fixture->task.state, ==, RJ_TASK_HELD);
	g_assert_cmpuint(fixture->task.attempt.job_id, ==, 11);
	g_assert_cmpstr(fixture->task.account, ==, "association");
	g_assert_cmpuint(fixture->task.lease_left_us, >, 0);
	g_assert_cmpuint(fixture->task.lease_left_us, <=, LEASE_LIFE_US);
}

/*
 * A lost answer to a run must not be taken for a refusal, or the job is started
 * again elsewhere and runs twice. The instance fences the attempt and learns
 * that it is done.
 */
static void test_lost_answer_is_lost_not_refused(struct fixture *fixture,
						 gconstpointer data)
{
	call(fixture, RJ_WORKER_LEASE);
	fixture->call.token = fixture->reply.token;
	fixture->call.wait = true;
	fixture->worker.lose_answers = 1;
	call(fixture, RJ_WORKER_START);
	assert_status(fixture, RJ_REPLY_LOST, RJ_REASON_NONE);
	g_assert_cmpuint(starts(fixture), ==, 1);
	call(fixture, RJ_WORKER_FENCE);
	g_assert_cmpint(fixture->reply.state, ==, RJ_TASK_DONE);
	g_assert_nonnull(strstr(fixture->result, "lesson"));
	g_assert_cmpuint(starts(fixture), ==, 1);
}

/*
 * An answer that is truncated, or that belongs to the previous call, must be
 * reported as lost, not passed on.
 */
static void test_cut_or_crossed_answer_is_lost(struct fixture *fixture,
					       gconstpointer data)
{
	call(fixture, RJ_WORKER_LEASE);
	fixture->worker.cut_answers = 1;
	call(fixture, RJ_WORKER_RUN);
	assert_status(fixture, RJ_REPLY_LOST, RJ_REASON_NONE);
	g_assert_cmpstr(fixture->result, ==, "");
	fixture->worker.cross_answers = 1;
	call(fixture, RJ_WORKER_RUN);
	assert_status(fixture, RJ_REPLY_LOST, RJ_REASON_NONE);
	g_assert_cmpstr(fixture->result, ==, "");
	call(fixture, RJ_WORKER_RUN);
	assert_status(fixture, RJ_REPLY_OK, RJ_REASON_NONE);
	g_assert_cmpuint(starts(fixture), ==, 1);
}

/*
 * An expired lease must refuse a start: its holder may be paused past the
 * expiry, resume, and run a job twice that was settled meanwhile.
 */
static void test_expired_lease_refuses_the_start(struct fixture *fixture,
						 gconstpointer data)
{
	fixture->call.life_us = 1;
	call(fixture, RJ_WORKER_LEASE);
	fixture->call.token = fixture->reply.token;
	call(fixture, RJ_WORKER_START);
	assert_status(fixture, RJ_REPLY_REFUSED, RJ_REASON_LEASE_EXPIRED);
	g_assert_cmpuint(starts(fixture), ==, 0);
}

static void test_expiry_ends_a_waiting_run(struct fixture *fixture,
					   gconstpointer data)
{
	set_body(fixture, "{\"run_ms\":60000}");
	fixture->call.life_us = SHORT_US;
	call(fixture, RJ_WORKER_RUN);
	assert_status(fixture, RJ_REPLY_OK, RJ_REASON_NONE);
	g_assert_cmpint(fixture->reply.state, ==, RJ_TASK_STOPPED);
}

/*
 * A fence that answers "none" must keep a delayed run from starting. A worker
 * is paused while a run is in flight and the instance times out; the worker
 * resumes and may still execute the run. The job may be started elsewhere only
 * if it never ran.
 */
static void test_fence_after_a_pause_is_reliable(struct fixture *fixture,
						 gconstpointer data)
{
	struct rj_standin_worker *worker = &fixture->worker;
	json_t *resumed = json_pack("{s:b}", "pause", 0);
	uint32_t ran;

	worker->fault_injector.paused = true;
	fixture->call.timeout_us = SHORT_US;
	/* On a loaded machine the timeout may pass before the call is sent. */
	do
		call(fixture, RJ_WORKER_RUN);
	while (fixture->reply.status == RJ_REPLY_REFUSED);
	assert_status(fixture, RJ_REPLY_LOST, RJ_REASON_NONE);
	g_assert_cmpint(rj_fault_injector_configure(&worker->fault_injector,
						    &worker->server, resumed,
						    NULL),
			==, 0);
	json_decref(resumed);
	fixture->call.timeout_us = TIMEOUT_US;
	call(fixture, RJ_WORKER_FENCE);
	assert_status(fixture, RJ_REPLY_OK, RJ_REASON_NONE);
	ran = fixture->reply.state == RJ_TASK_DONE ? 1 : 0;
	g_assert_cmpuint(starts(fixture), ==, ran);
	call(fixture, RJ_WORKER_RUN);
	g_assert_cmpuint(starts(fixture), ==, ran);
}

static void test_closed_worker_refuses(struct fixture *fixture,
				       gconstpointer data)
{
	rj_http_server_finish(&fixture->worker.server);
	call(fixture, RJ_WORKER_RUN);
	assert_status(fixture, RJ_REPLY_REFUSED, RJ_REASON_WORKER_LOST);
}

static void test_call_for_another_worker_is_refused(struct fixture *fixture,
						    gconstpointer data)
{
	memcpy(fixture->call.worker, "w-001", sizeof("w-001"));
	call(fixture, RJ_WORKER_RUN);
	assert_status(fixture, RJ_REPLY_REFUSED, RJ_REASON_BAD_REQUEST);
	g_assert_cmpuint(starts(fixture), ==, 0);
}

/* Starts a run of one minute in each slot and waits until all have started. */
static void fill_slots(struct fixture *fixture)
{
	const struct rj_resources *unused = &fixture->worker.tasks.unused;

	set_body(fixture, "{\"run_ms\":60000,\"checkpoint_ms\":60000}");
	fixture->call.timeout_us = CALL_LIMIT_US;
	for (uint32_t i = 0; i < fixture->worker.tasks.capacity.slots; i++) {
		fixture->call.member = i;
		post(fixture, RJ_WORKER_RUN);
	}
	while (unused->slots && !fixture->replies)
		tevent_loop_once(fixture->ev);
	g_assert_cmpuint(unused->slots, ==, 0);
	fixture->call.timeout_us = TIMEOUT_US;
}

/*
 * There must be a connection for each slot. Long runs each wait for their end
 * on a connection, and with fewer connections than slots the start of another
 * job is not sent although a slot is free.
 */
static void test_every_slot_can_be_waited_on(struct fixture *fixture,
					     gconstpointer data)
{
	fill_slots(fixture);
	g_assert_cmpuint(fixture->replies, ==, 0);
}

/*
 * Calls that wait must not delay the report that renews the leases. Runs and
 * checkpoints that wait on all connections to a worker would block it until the
 * leases expire.
 */
static void test_renewal_passes_waiting_calls(struct fixture *fixture,
					      gconstpointer data)
{
	fill_slots(fixture);
	fixture->call.limit_us = LEASE_LIFE_US;
	for (uint32_t i = 0; i < fixture->worker.tasks.capacity.slots; i++) {
		fixture->call.member = i;
		post(fixture, RJ_WORKER_CHECKPOINT);
	}
	fixture->call.timeout_us = CALL_LIMIT_US;
	call(fixture, RJ_WORKER_REPORT);
	assert_status(fixture, RJ_REPLY_OK, RJ_REASON_NONE);
	g_assert_cmpuint(fixture->replies, ==, 1);
	g_assert_cmpuint(fixture->worker.server.connections, <=,
			 RJ_WORKER_CONNECTIONS_OWNER);
}

/*
 * An instance must keep to its share of a worker's connections. With a fixed
 * number each, instances without contact to each other use up the connections,
 * and the worker refuses the report that renews its leases.
 */
static void test_connection_share_is_respected(struct fixture *fixture,
					       gconstpointer data)
{
	set_body(fixture, "{\"run_ms\":60000}");
	fixture->call.connections_max = RJ_WORKER_CONNECTIONS_MIN;
	fixture->call.timeout_us = CALL_LIMIT_US;
	for (uint32_t i = 0; i < fixture->worker.tasks.capacity.slots; i++) {
		fixture->call.member = i;
		post(fixture, RJ_WORKER_RUN);
	}
	call(fixture, RJ_WORKER_REPORT);
	assert_status(fixture, RJ_REPLY_OK, RJ_REASON_NONE);
	g_assert_cmpuint(fixture->worker.server.connections, <=,
			 RJ_WORKER_CONNECTIONS_MIN);
}

static void add(const char *path,
		void (*test)(struct fixture *fixture, gconstpointer data))
{
	g_test_add(path, struct fixture, NULL, set_up, test, tear_down);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add("/http_workers/run", test_run_returns_its_result);
	add("/http_workers/report", test_report_lists_a_lease);
	add("/http_workers/lost", test_lost_answer_is_lost_not_refused);
	add("/http_workers/cut", test_cut_or_crossed_answer_is_lost);
	add("/http_workers/lapsed", test_expired_lease_refuses_the_start);
	add("/http_workers/lapse", test_expiry_ends_a_waiting_run);
	add("/http_workers/pause", test_fence_after_a_pause_is_reliable);
	add("/http_workers/closed", test_closed_worker_refuses);
	add("/http_workers/other", test_call_for_another_worker_is_refused);
	add("/http_workers/slots", test_every_slot_can_be_waited_on);
	add("/http_workers/renewal", test_renewal_passes_waiting_calls);
	add("/http_workers/share", test_connection_share_is_respected);
	return g_test_run();
}
