#include <glib.h>
#include <sodium.h>
#include <talloc.h>
#include <tevent.h>

#include "support/callers_fixture.h"
#include "support/event_loop.h"

static void test_submit(void)
{
	static const char *body =
		"{\"class\":\"quote\",\"tasks\":2,\"accelerators\":4,"
		"\"cores\":8,\"memory_mb\":1024,\"adjacent\":true,"
		"\"declared_ms\":5,\"deadline_ms\":7,\"wait\":false,"
		"\"body\": {\"b\": [1, 2], \"a\": null}}";
	struct callers_server server;
	const struct rj_job_spec *spec = &server.last_request.spec;
	const char *result = "{\"price\":12}";

	callers_server_init(&server, 8, 8);
	server.answer.kind = RJ_ANSWER_DONE;
	server.answer.job_id = 0xabc;
	server.answer.result.data = (const uint8_t *)result;
	server.answer.result.length = (uint32_t)strlen(result);
	callers_expect(
		&server, callers_post(body), 200,
		"{\"answer\":\"done\",\"reason\":\"none\","
		"\"job\":\"0000000000000abc\",\"result\":{\"price\":12}}");
	g_assert_cmpint(server.last_request.op, ==, RJ_REQUEST_SUBMIT);
	g_assert_cmpstr(server.last_request.token, ==, "t");
	g_assert_cmpstr(spec->key, ==, "k-1");
	g_assert_cmpstr(spec->class_name, ==, "quote");
	g_assert_cmpuint(spec->shape.tasks, ==, 2);
	g_assert_cmpuint(spec->shape.each.slots, ==, 1);
	g_assert_cmpuint(spec->shape.each.accelerators, ==, 4);
	g_assert_cmpuint(spec->shape.each.memory_mb, ==, 1024);
	g_assert_true(spec->shape.adjacent);
	g_assert_cmpuint(spec->declared_us, ==, 5000);
	g_assert_cmpuint(spec->deadline_in_us, ==, 7000);
	g_assert_false(spec->wait);
	g_assert_cmpstr(server.body, ==, "{\"a\":null,\"b\":[1,2]}");
	callers_server_finish(&server);
}

/*
 * A repeat with another order of fields has the same digest; another body does
 * not.
 */
static void test_digest_of_a_repeat(void)
{
	uint8_t first[RJ_DIGEST_BYTES];
	struct callers_server server;

	callers_server_init(&server, 8, 8);
	callers_expect(
		&server,
		callers_post("{\"class\":\"q\",\"body\":{\"a\":1,\"b\":2}}"),
		200, "done");
	memcpy(first, server.last_request.spec.digest, sizeof(first));
	callers_expect(
		&server,
		callers_post(
			"{ \"body\": {\"b\":2, \"a\":1}, \"class\": \"q\"}"),
		200, "done");
	g_assert_cmpmem(first, sizeof(first), server.last_request.spec.digest,
			RJ_DIGEST_BYTES);
	callers_expect(
		&server,
		callers_post("{\"class\":\"q\",\"body\":{\"a\":1,\"b\":3}}"),
		200, "done");
	g_assert_cmpint(
		memcmp(first, server.last_request.spec.digest, sizeof(first)),
		!=, 0);
	callers_server_finish(&server);
}

/* All errors of a body are reported at once, and nothing reaches the core. */
static void test_bad_input(void)
{
	static const char *jobs = "POST /v1/jobs";
	static const char *token = "Authorization: Bearer t\r\n";
	static const char *one_job = "GET /v1/jobs/00000000000000ff";
	struct callers_server server;

	callers_server_init(&server, 8, 8);
	callers_expect(&server,
		       callers_post("{\"clas\":\"q\",\"tasks\":\"two\"}"), 400,
		       "clas");
	callers_expect(&server,
		       callers_post("{\"clas\":\"q\",\"tasks\":\"two\"}"), 400,
		       "class: missing");
	callers_expect(&server,
		       callers_post("{\"clas\":\"q\",\"tasks\":\"two\"}"), 400,
		       "tasks: ");
	callers_expect(&server, callers_post("{"), 400, "bad_request");
	callers_expect(&server, callers_post(""), 400, "bad_request");
	callers_expect(&server, callers_request(jobs, "", "{}"), 401,
		       "unauthorized");
	callers_expect(
		&server,
		callers_request(jobs, "Authorization: Basic t\r\n", "{}"), 401,
		"unauthorized");
	callers_expect(
		&server,
		callers_request(
			jobs,
			"Authorization: Bearer t\r\nIdempotency-Key: a b\r\n",
			"{\"class\":\"q\"}"),
		400, "Idempotency-Key");
	callers_expect(&server, callers_request(one_job, "", ""), 401,
		       "unauthorized");
	callers_expect(&server, callers_request("GET /v1/jobs/ff", token, ""),
		       400, "job: ");
	callers_expect(&server, callers_request("GET /v2", token, ""), 404,
		       "path: ");
	callers_expect(&server, callers_request("PUT /v1/jobs", token, ""), 404,
		       "path: ");
	g_assert_cmpuint(server.request_count, ==, 0);
	callers_server_finish(&server);
}

/* Only a caller who may see the job gets its explanation. */
static void test_explain(void)
{
	static const char *line = "GET /v1/jobs/00000000000000ff/explain";
	static const char *token = "Authorization: Bearer t\r\n";
	struct callers_server server;

	callers_server_init(&server, 8, 8);
	server.answer.kind = RJ_ANSWER_UNKNOWN;
	server.answer.reason = RJ_REASON_IN_PROGRESS;
	callers_expect(&server, callers_request(line, token, ""), 200,
		       "{\"explained\":255}");
	g_assert_cmpint(server.last_request.op, ==, RJ_REQUEST_LOOKUP);
	server.answer.kind = RJ_ANSWER_NOT_RUN;
	server.answer.reason = RJ_REASON_NO_SUCH_JOB;
	callers_expect(&server, callers_request(line, token, ""), 404,
		       "no_such_job");
	server.answer.reason = RJ_REASON_UNAUTHORIZED;
	callers_expect(&server, callers_request(line, token, ""), 401,
		       "unauthorized");
	callers_expect(&server, callers_request(line, "", ""), 401,
		       "unauthorized");
	callers_server_finish(&server);
}

static void test_lookup_and_cancel(void)
{
	static const char *token = "Authorization: Bearer t\r\n";
	struct callers_server server;

	callers_server_init(&server, 8, 8);
	callers_expect(&server,
		       callers_request("GET /v1/jobs/00000000000000ff?wait=1",
				       token, ""),
		       200, "done");
	g_assert_cmpint(server.last_request.op, ==, RJ_REQUEST_LOOKUP);
	g_assert_cmpuint(server.last_request.job_id, ==, 0xff);
	g_assert_true(server.last_request.wait);
	callers_expect(
		&server,
		callers_request("DELETE /v1/jobs/00000000000000ff", token, ""),
		200, "done");
	g_assert_cmpint(server.last_request.op, ==, RJ_REQUEST_CANCEL);
	callers_server_finish(&server);
}

/* The status and the time to retry after of each kind of answer. */
static void test_statuses(void)
{
	static const struct {
		enum rj_answer_kind kind;
		enum rj_reason reason;
		unsigned int status;
	} cases[] = {
		{ RJ_ANSWER_FAILED, RJ_REASON_TASK_FAILED, 200 },
		{ RJ_ANSWER_ACCEPTED, RJ_REASON_NONE, 202 },
		{ RJ_ANSWER_UNKNOWN, RJ_REASON_IN_PROGRESS, 202 },
		{ RJ_ANSWER_UNKNOWN, RJ_REASON_LOG_GAP, 503 },
		{ RJ_ANSWER_UNKNOWN, RJ_REASON_NO_SUCH_JOB, 404 },
		{ RJ_ANSWER_NOT_RUN, RJ_REASON_KEY_REUSED, 409 },
		{ RJ_ANSWER_NOT_RUN, RJ_REASON_ACCOUNT_LIMIT, 429 },
		{ RJ_ANSWER_NOT_RUN, RJ_REASON_NEVER_FITS, 422 },
		{ RJ_ANSWER_NOT_RUN, RJ_REASON_DRAINING, 503 },
		{ RJ_ANSWER_NOT_RUN, RJ_REASON_CANCELLED, 200 },
	};
	struct callers_server server;

	callers_server_init(&server, 8, 8);
	server.answer.retry_after_us = 1500001;
	for (uint32_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		server.answer.kind = cases[i].kind;
		server.answer.reason = cases[i].reason;
		callers_expect(&server, callers_post("{\"class\":\"q\"}"),
			       cases[i].status, "\"retry_after_ms\":1501");
		callers_expect(&server, callers_post("{\"class\":\"q\"}"),
			       cases[i].status, "Retry-After: 2\r\n");
	}
	callers_expect(&server, callers_request("GET /metrics", "", ""), 200,
		       "of_the_core 1");
	callers_expect(&server, callers_request("GET /metrics", "", ""), 200,
		       "radishjunction_answer_ms_count{answer=\"failed\"} 2");
	callers_expect(&server, callers_request("GET /v1/status", "", ""), 200,
		       "\"racks\":6");
	callers_expect(&server, callers_request("GET /v1/revision", "", ""),
		       200, "\"revision\":7");
	rj_http_callers_drain(&server.callers);
	callers_expect(&server, callers_request("GET /v1/ready", "", ""), 503,
		       "false");
	callers_server_finish(&server);
}

/*
 * Requests that are open when the core takes no more events must not all be
 * answered "not run": a job that was started may have run. Callers with and
 * without a key arrive just before the end; one still waits for a started job.
 */
static void test_answers_after_the_core_stopped(void)
{
	static const char *jobs = "POST /v1/jobs";
	static const char *job = "GET /v1/jobs/00000000000000ff";
	static const char *token = "Authorization: Bearer t\r\n";
	struct callers_server server;
	struct callers_client waiting;

	callers_server_init(&server, 8, 8);
	server.defer_answers = true;
	callers_client_init(&waiting, &server,
			    callers_request(jobs, token, "{\"class\":\"q\"}"));
	RUN_UNTIL(callers_loop, server.request_count == 1);
	rj_http_callers_stop_dispatch(&server.callers);
	RUN_UNTIL(callers_loop, waiting.closed);
	g_assert_nonnull(strstr(waiting.received->str, "\"unknown\""));
	callers_expect(&server, callers_post("{\"class\":\"q\"}"), 503,
		       "\"unknown\"");
	callers_expect(&server,
		       callers_request(jobs, token, "{\"class\":\"q\"}"), 503,
		       "\"not_run\"");
	callers_expect(&server, callers_request(job, token, ""), 503,
		       "\"unknown\"");
	g_assert_cmpuint(server.request_count, ==, 1);
	callers_client_finish(&waiting);
	callers_server_finish(&server);
}

/*
 * A request that arrives before the configuration must wait for it. An instance
 * that has just started must not answer "not run".
 */
static void test_callers_wait_for_the_configuration(void)
{
	struct callers_server server;
	struct callers_client early;

	callers_server_init_as(&server, 8, 8, true);
	callers_client_init(&early, &server, callers_post("{\"class\":\"q\"}"));
	RUN_UNTIL(callers_loop, early.sent == early.length);
	g_assert_cmpuint(server.request_count, ==, 0);
	server.answer.kind = RJ_ANSWER_DONE;
	rj_http_callers_serve(&server.callers);
	RUN_UNTIL(callers_loop, early.closed);
	g_assert_cmpuint(callers_client_status(&early), ==, 200);
	callers_client_finish(&early);
	callers_server_finish(&server);
}

/*
 * An instance whose stop is complete must still answer its last connections, so
 * that peers can serve the requests. A request comes on an idle connection, and
 * another caller connects: neither may be refused or reset.
 */
static void test_last_connections_are_served(void)
{
	struct callers_server server;
	struct callers_client idle;
	struct callers_client late;
	const char *text = callers_post("{\"class\":\"q\"}");

	callers_server_init(&server, 8, 8);
	server.answer.kind = RJ_ANSWER_DONE;
	callers_client_init(&idle, &server, "");
	RUN_UNTIL(callers_loop,
		  rj_http_callers_connections(&server.callers) == 1);
	rj_http_callers_stop_listening(&server.callers);
	callers_client_init(&late, &server, text);
	idle.text = text;
	idle.length = strlen(text);
	TEVENT_FD_WRITEABLE(idle.event);
	RUN_UNTIL(callers_loop, idle.closed);
	g_assert_cmpuint(callers_client_status(&idle), ==, 200);
	RUN_UNTIL(callers_loop, late.closed);
	g_assert_cmpuint(callers_client_status(&late), ==, 0);
	g_assert_cmpuint(server.request_count, ==, 1);
	callers_client_finish(&late);
	callers_client_finish(&idle);
	callers_server_finish(&server);
}

/*
 * A result that is not JSON is returned as text, one that is not text as
 * base64.
 */
static void test_results_of_any_bytes(void)
{
	struct callers_server server;

	callers_server_init(&server, 8, 8);
	server.answer.result = (struct rj_bytes){ (const uint8_t *)"a b", 3 };
	callers_expect(&server, callers_post("{\"class\":\"q\"}"), 200,
		       "\"result\":\"a b\"");
	server.answer.result = (struct rj_bytes){ (const uint8_t *)"\xff", 1 };
	callers_expect(&server, callers_post("{\"class\":\"q\"}"), 200,
		       "\"result\":{\"base64\":\"/w==\"}");
	callers_server_finish(&server);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	callers_loop = tevent_context_init(NULL);
	g_test_add_func("/http_callers/submit", test_submit);
	g_test_add_func("/http_callers/digest", test_digest_of_a_repeat);
	g_test_add_func("/http_callers/bad_input", test_bad_input);
	g_test_add_func("/http_callers/explain", test_explain);
	g_test_add_func("/http_callers/lookup", test_lookup_and_cancel);
	g_test_add_func("/http_callers/statuses", test_statuses);
	g_test_add_func("/http_callers/after_the_core",
			test_answers_after_the_core_stopped);
	g_test_add_func("/http_callers/start",
			test_callers_wait_for_the_configuration);
	g_test_add_func("/http_callers/last_connections",
			test_last_connections_are_served);
	g_test_add_func("/http_callers/results", test_results_of_any_bytes);
	status = g_test_run();
	talloc_free(callers_loop);
	return status;
}
