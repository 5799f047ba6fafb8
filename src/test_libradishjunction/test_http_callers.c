#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "private/tcp_socket.h"
#include "radishjunction/http_callers.h"
#include "support/event_loop.h"

#define BODY_MAX_BYTES 4096

/* The adapter under test, with a core that answers as it is told. */
struct server {
	struct rj_sink sink; /* first member, always */
	struct rj_caller_views views;
	struct rj_http_callers callers;
	struct rj_request asked; /* the newest; its body is not kept */
	char body[64];
	uint32_t asked_count;
	uint64_t gone_id;
	bool hold; /* do not answer */
	struct rj_answer answer;
};

/* A caller: sends its text, then reads to the end of the connection. */
struct client {
	int fd;
	struct tevent_fd *event;
	const char *text;
	size_t length;
	size_t sent;
	GString *got;
	bool closed;
};

static struct tevent_context *loop;

static void on_event(struct rj_sink *sink, struct rj_event *event)
{
	struct server *server = (struct server *)sink;
	const struct rj_bytes *body = &event->u.request.spec.body;

	if (event->kind == RJ_EVENT_CALLER_GONE) {
		server->gone_id = event->u.request_id;
		return;
	}
	g_assert_cmpint(event->kind, ==, RJ_EVENT_REQUEST);
	server->asked = event->u.request;
	memset(server->body, 0, sizeof(server->body));
	if (body->length)
		memcpy(server->body, body->data,
		       MIN(body->length, sizeof(server->body) - 1));
	server->asked_count++;
	if (!server->hold)
		server->callers.base.ops->answer(&server->callers.base,
						 server->asked.request_id,
						 &server->answer);
}

static bool view_ready(struct rj_caller_views *views)
{
	return true;
}

static json_t *view_status(struct rj_caller_views *views)
{
	return json_pack("{s:i}", "racks", 6);
}

static json_t *view_explain(struct rj_caller_views *views, uint64_t job_id)
{
	return json_pack("{s:I}", "explained", (json_int_t)job_id);
}

static void view_metrics(struct rj_caller_views *views, GString *text)
{
	g_string_append(text, "of_the_core 1\n");
}

static json_t *view_revision(struct rj_caller_views *views)
{
	return json_pack("{s:i}", "revision", 7);
}

static const struct rj_caller_views_ops views_ops = {
	view_ready, view_status, view_explain, view_metrics, view_revision
};

static void server_init_as(struct server *server, uint32_t connections,
			   uint32_t requests, bool deferred)
{
	struct rj_http_callers_options options = {
		.loop = loop,
		.sink = &server->sink,
		.views = &server->views,
		.address = { "127.0.0.1", 0 },
		.body_max_bytes = BODY_MAX_BYTES,
		.connections_max = connections,
		.requests_max = requests,
		.idle_timeout_s = 1,
		.deferred = deferred,
	};

	memset(server, 0, sizeof(*server));
	server->sink.deliver = on_event;
	server->views.ops = &views_ops;
	g_assert_cmpint(
		rj_http_callers_init(&server->callers, loop, &options, NULL),
		==, 0);
}

static void server_init(struct server *server, uint32_t connections,
			uint32_t requests)
{
	server_init_as(server, connections, requests, false);
}

static void server_finish(struct server *server)
{
	server->callers.base.ops->finish(&server->callers.base);
}

static void on_client(struct tevent_context *context, struct tevent_fd *event,
		      uint16_t flags, void *private_data)
{
	struct client *client = private_data;
	char data[4096];
	ssize_t done;

	if (flags & TEVENT_FD_WRITE && client->sent < client->length) {
		done = send(client->fd, client->text + client->sent,
			    client->length - client->sent, MSG_NOSIGNAL);
		if (done > 0)
			client->sent += (size_t)done;
	}
	if (client->sent == client->length)
		TEVENT_FD_NOT_WRITEABLE(client->event);
	if (!(flags & TEVENT_FD_READ))
		return;
	done = recv(client->fd, data, sizeof(data), 0);
	if (done > 0)
		g_string_append_len(client->got, data, done);
	if (done == 0)
		client->closed = true;
	if (client->closed)
		TEVENT_FD_NOT_READABLE(client->event);
}

/* Connect and send `text`, which outlives the client. */
static void client_init(struct client *client, const struct server *server,
			const char *text)
{
	struct rj_address address = rj_http_callers_address(&server->callers);

	memset(client, 0, sizeof(*client));
	client->text = text;
	client->length = strlen(text);
	client->got = g_string_new(NULL);
	client->fd = rj_tcp_connect(&address, NULL);
	client->event = tevent_add_fd(loop, loop, client->fd,
				      TEVENT_FD_READ | TEVENT_FD_WRITE,
				      on_client, client);
}

static void client_finish(struct client *client)
{
	talloc_free(client->event);
	close(client->fd);
	g_string_free(client->got, TRUE);
}

/* The status line's number, 0 while nothing has come. */
static unsigned int client_status(const struct client *client)
{
	return client->got->len < 12 ? 0 :
				       (unsigned int)atoi(client->got->str + 9);
}

/* Send `text` and check the status and a part of what comes back. */
static void expect(struct server *server, const char *text, unsigned int status,
		   const char *part)
{
	struct client client;

	client_init(&client, server, text);
	RUN_UNTIL(loop, client.closed);
	if (client_status(&client) != status || !strstr(client.got->str, part))
		g_test_message("sent %s\ngot %s", text, client.got->str);
	g_assert_cmpuint(client_status(&client), ==, status);
	g_assert_nonnull(strstr(client.got->str, part));
	client_finish(&client);
}

/* A whole request; the result is freed by the test's end. */
static const char *request(const char *line, const char *headers,
			   const char *body)
{
	return talloc_asprintf(loop,
			       "%s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
			       "Content-Length: %zu\r\n%s\r\n%s",
			       line, strlen(body), headers, body);
}

static const char *post(const char *body)
{
	return request("POST /v1/jobs",
		       "Authorization: Bearer t\r\nIdempotency-Key: k-1\r\n",
		       body);
}

static void test_submit(void)
{
	static const char *body =
		"{\"class\":\"quote\",\"tasks\":2,\"accelerators\":4,"
		"\"cores\":8,\"memory_mb\":1024,\"adjacent\":true,"
		"\"declared_ms\":5,\"deadline_ms\":7,\"wait\":false,"
		"\"body\": {\"b\": [1, 2], \"a\": null}}";
	struct server server;
	const struct rj_job_spec *spec = &server.asked.spec;
	const char *result = "{\"price\":12}";

	server_init(&server, 8, 8);
	server.answer.kind = RJ_ANSWER_DONE;
	server.answer.job_id = 0xabc;
	server.answer.result.data = (const uint8_t *)result;
	server.answer.result.length = (uint32_t)strlen(result);
	expect(&server, post(body), 200,
	       "{\"answer\":\"done\",\"reason\":\"none\","
	       "\"job\":\"0000000000000abc\",\"result\":{\"price\":12}}");
	g_assert_cmpint(server.asked.op, ==, RJ_REQUEST_SUBMIT);
	g_assert_cmpstr(server.asked.token, ==, "t");
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
	server_finish(&server);
}

/* A repeat written in another order is the same job; another body is not. */
static void test_digest_of_a_repeat(void)
{
	uint8_t first[RJ_DIGEST_BYTES];
	struct server server;

	server_init(&server, 8, 8);
	expect(&server, post("{\"class\":\"q\",\"body\":{\"a\":1,\"b\":2}}"),
	       200, "done");
	memcpy(first, server.asked.spec.digest, sizeof(first));
	expect(&server,
	       post("{ \"body\": {\"b\":2, \"a\":1}, \"class\": \"q\"}"), 200,
	       "done");
	g_assert_cmpmem(first, sizeof(first), server.asked.spec.digest,
			RJ_DIGEST_BYTES);
	expect(&server, post("{\"class\":\"q\",\"body\":{\"a\":1,\"b\":3}}"),
	       200, "done");
	g_assert_cmpint(memcmp(first, server.asked.spec.digest, sizeof(first)),
			!=, 0);
	server_finish(&server);
}

/* All errors of one body at once, and nothing reaches the core. */
static void test_bad_input(void)
{
	static const char *jobs = "POST /v1/jobs";
	static const char *token = "Authorization: Bearer t\r\n";
	static const char *one_job = "GET /v1/jobs/00000000000000ff";
	struct server server;

	server_init(&server, 8, 8);
	expect(&server, post("{\"clas\":\"q\",\"tasks\":\"two\"}"), 400,
	       "clas");
	expect(&server, post("{\"clas\":\"q\",\"tasks\":\"two\"}"), 400,
	       "class: missing");
	expect(&server, post("{\"clas\":\"q\",\"tasks\":\"two\"}"), 400,
	       "tasks: ");
	expect(&server, post("{"), 400, "bad_request");
	expect(&server, post(""), 400, "bad_request");
	expect(&server, request(jobs, "", "{}"), 401, "unauthorized");
	expect(&server, request(jobs, "Authorization: Basic t\r\n", "{}"), 401,
	       "unauthorized");
	expect(&server,
	       request(jobs,
		       "Authorization: Bearer t\r\nIdempotency-Key: a b\r\n",
		       "{\"class\":\"q\"}"),
	       400, "Idempotency-Key");
	expect(&server, request(one_job, "", ""), 401, "unauthorized");
	expect(&server, request("GET /v1/jobs/ff", token, ""), 400, "job: ");
	expect(&server, request("GET /v2", token, ""), 404, "path: ");
	expect(&server, request("PUT /v1/jobs", token, ""), 404, "path: ");
	g_assert_cmpuint(server.asked_count, ==, 0);
	server_finish(&server);
}

static void test_bounds_of_a_request(void)
{
	struct server server;
	char *large = g_strnfill(BODY_MAX_BYTES + 1, ' ');
	char *header = g_strnfill(9000, 'x');
	char *chunked = g_strdup_printf(
		"POST /v1/jobs HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
		"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		BODY_MAX_BYTES + 1, large);
	char *many = g_strdup_printf("X: %s\r\n", header);

	server_init(&server, 8, 8);
	expect(&server, post(large), 413, "too_large");
	expect(&server, chunked, 413, "too_large");
	expect(&server, request("GET /v1/ready", many, ""), 431, "too_large");
	expect(&server, request("GET /v1/ready", "", ""), 200, "true");
	g_assert_cmpuint(server.asked_count, ==, 0);
	server_finish(&server);
	g_free(large);
	g_free(header);
	g_free(chunked);
	g_free(many);
}

/* One above the bound is refused, and told when to come back. */
static void test_bounds_of_the_server(void)
{
	struct server server;
	struct client first;
	struct rj_answer done = { .kind = RJ_ANSWER_DONE };

	server_init(&server, 8, 1);
	server.hold = true;
	client_init(&first, &server, post("{\"class\":\"q\"}"));
	RUN_UNTIL(loop, server.asked_count == 1);
	expect(&server, post("{\"class\":\"q\"}"), 503, "Retry-After: 1");
	g_assert_cmpuint(server.asked_count, ==, 1);
	server.callers.base.ops->answer(&server.callers.base,
					server.asked.request_id, &done);
	RUN_UNTIL(loop, first.closed);
	g_assert_cmpuint(client_status(&first), ==, 200);
	client_finish(&first);
	server_finish(&server);

	server_init(&server, 1, 8);
	server.hold = true;
	client_init(&first, &server, post("{\"class\":\"q\"}"));
	RUN_UNTIL(loop, server.asked_count == 1);
	expect(&server, post("{\"class\":\"q\"}"), 503, "connections: ");
	client_finish(&first);
	server_finish(&server);
}

/*
 * Previews stand still while one studio's modem stalls.
 * A caller sends half a request and no more; others ask meanwhile.
 * Cause: the reader of one connection held up all.
 */
static void test_stalled_caller(void)
{
	struct server server;
	struct client stalled;

	server_init(&server, 8, 8);
	client_init(&stalled, &server, "POST /v1/jobs HTTP/1.1\r\nHost: h\r\n");
	RUN_UNTIL(loop, stalled.sent == stalled.length);
	expect(&server, post("{\"class\":\"q\"}"), 200, "done");
	g_assert_false(stalled.closed);
	RUN_UNTIL(loop, stalled.closed);
	g_assert_cmpuint(server.asked_count, ==, 1);
	client_finish(&stalled);
	server_finish(&server);
}

/* A caller that sends one byte at a time, however long it takes. */
struct dribble {
	struct client client;
	struct tevent_timer *timer;
};

static void dribble_next(struct dribble *dribble);

static void on_dribble(struct tevent_context *context,
		       struct tevent_timer *timer, struct timeval now,
		       void *private_data)
{
	struct dribble *dribble = private_data;
	struct client *client = &dribble->client;

	dribble->timer = NULL;
	if (client->sent == client->length || client->closed)
		return;
	if (send(client->fd, client->text + client->sent, 1, MSG_NOSIGNAL) == 1)
		client->sent++;
	dribble_next(dribble);
}

/* Far more often than the server's limit of one second. */
static void dribble_next(struct dribble *dribble)
{
	dribble->timer = tevent_add_timer(loop, loop,
					  tevent_timeval_current_ofs(0, 50000),
					  on_dribble, dribble);
}

static void dribble_init(struct dribble *dribble, const struct server *server,
			 const char *text)
{
	client_init(&dribble->client, server, "");
	TEVENT_FD_NOT_WRITEABLE(dribble->client.event);
	dribble->client.text = text;
	dribble->client.length = strlen(text);
	dribble_next(dribble);
}

static void dribble_finish(struct dribble *dribble)
{
	talloc_free(dribble->timer);
	client_finish(&dribble->client);
}

/*
 * No caller gets in any more, though hardly anything is asked for.
 * Some send a request byte by byte, and never the last one.
 * Cause: each byte counts as a sign of life, and the connection is kept.
 */
static void test_dribbling_callers(void)
{
	char *endless = g_strnfill(1000, 'x');
	char *headers =
		g_strdup_printf("POST /v1/jobs HTTP/1.1\r\nX: %s", endless);
	char *body = g_strdup_printf("POST /v1/jobs HTTP/1.1\r\nHost: h\r\n"
				     "Authorization: Bearer t\r\n"
				     "Content-Length: 1000\r\n\r\n{%s",
				     endless);
	struct server server;
	struct dribble in_headers;
	struct dribble in_body;

	server_init(&server, 2, 8);
	dribble_init(&in_headers, &server, headers);
	dribble_init(&in_body, &server, body);
	RUN_UNTIL(loop, in_body.client.closed && in_headers.client.closed);
	g_assert_cmpuint(in_headers.client.sent, <, in_headers.client.length);
	g_assert_cmpuint(in_body.client.sent, <, in_body.client.length);
	RUN_UNTIL(loop, !rj_http_callers_connections(&server.callers));
	g_assert_cmpuint(server.asked_count, ==, 0);
	expect(&server, post("{\"class\":\"q\"}"), 200, "done");
	dribble_finish(&in_headers);
	dribble_finish(&in_body);
	server_finish(&server);
	g_free(endless);
	g_free(headers);
	g_free(body);
}

/* The number after "retry_after_ms" in an answer. */
static uint64_t retry_after_ms(const struct client *client)
{
	static const char *name = "\"retry_after_ms\":";
	const char *found = strstr(client->got->str, name);

	g_assert_nonnull(found);
	return strtoull(found + strlen(name), NULL, 10);
}

/*
 * A class hub sends 32 previews at once, then all of them again at once, and
 * so on; hardly any gets in.
 * All were refused for want of room, and told to come back a second later.
 * Cause: the door gave each the same time, unlike the core.
 */
static void test_refused_do_not_return_together(void)
{
	struct client clients[32];
	struct client held;
	struct server server;
	bool seen[1501] = { false };
	uint32_t different = 0;

	server_init(&server, G_N_ELEMENTS(clients) + 1, 1);
	server.hold = true;
	client_init(&held, &server, post("{\"class\":\"q\"}"));
	RUN_UNTIL(loop, server.asked_count == 1);
	for (uint32_t i = 0; i < G_N_ELEMENTS(clients); i++)
		client_init(&clients[i], &server, post("{\"class\":\"q\"}"));
	for (uint32_t i = 0; i < G_N_ELEMENTS(clients); i++) {
		uint64_t after_ms;

		RUN_UNTIL(loop, clients[i].closed);
		g_assert_cmpuint(client_status(&clients[i]), ==, 503);
		after_ms = retry_after_ms(&clients[i]);
		g_assert_cmpuint(after_ms, >=, 500);
		g_assert_cmpuint(after_ms, <, G_N_ELEMENTS(seen));
		g_assert_nonnull(strstr(clients[i].got->str,
					after_ms <= 1000 ?
						"Retry-After: 1\r\n" :
						"Retry-After: 2\r\n"));
		different += !seen[after_ms];
		seen[after_ms] = true;
		client_finish(&clients[i]);
	}
	g_assert_cmpuint(different, >, G_N_ELEMENTS(clients) / 2);
	g_assert_cmpuint(server.asked_count, ==, 1);
	client_finish(&held);
	server_finish(&server);
}

/* The core learns that the caller left; its late answer harms nothing. */
static void test_caller_gone(void)
{
	struct server server;
	struct client client;
	struct rj_answer done = { .kind = RJ_ANSWER_DONE };

	server_init(&server, 8, 8);
	server.hold = true;
	client_init(&client, &server, post("{\"class\":\"q\"}"));
	RUN_UNTIL(loop, server.asked_count == 1);
	client_finish(&client);
	RUN_UNTIL(loop, server.gone_id == server.asked.request_id);
	server.callers.base.ops->answer(&server.callers.base,
					server.asked.request_id, &done);
	server.hold = false;
	expect(&server, post("{\"class\":\"q\"}"), 200, "done");
	RUN_UNTIL(loop, !rj_http_callers_open(&server.callers));
	server_finish(&server);
}

/* Only a caller who may see the job gets its explanation. */
static void test_explain(void)
{
	static const char *line = "GET /v1/jobs/00000000000000ff/explain";
	static const char *token = "Authorization: Bearer t\r\n";
	struct server server;

	server_init(&server, 8, 8);
	server.answer.kind = RJ_ANSWER_UNKNOWN;
	server.answer.reason = RJ_REASON_IN_PROGRESS;
	expect(&server, request(line, token, ""), 200, "{\"explained\":255}");
	g_assert_cmpint(server.asked.op, ==, RJ_REQUEST_LOOKUP);
	server.answer.kind = RJ_ANSWER_NOT_RUN;
	server.answer.reason = RJ_REASON_NO_SUCH_JOB;
	expect(&server, request(line, token, ""), 404, "no_such_job");
	server.answer.reason = RJ_REASON_UNAUTHORIZED;
	expect(&server, request(line, token, ""), 401, "unauthorized");
	expect(&server, request(line, "", ""), 401, "unauthorized");
	server_finish(&server);
}

static void test_lookup_and_cancel(void)
{
	static const char *token = "Authorization: Bearer t\r\n";
	struct server server;

	server_init(&server, 8, 8);
	expect(&server,
	       request("GET /v1/jobs/00000000000000ff?wait=1", token, ""), 200,
	       "done");
	g_assert_cmpint(server.asked.op, ==, RJ_REQUEST_LOOKUP);
	g_assert_cmpuint(server.asked.job_id, ==, 0xff);
	g_assert_true(server.asked.wait);
	expect(&server, request("DELETE /v1/jobs/00000000000000ff", token, ""),
	       200, "done");
	g_assert_cmpint(server.asked.op, ==, RJ_REQUEST_CANCEL);
	server_finish(&server);
}

/* The status of each kind of answer, and when to come back. */
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
	struct server server;

	server_init(&server, 8, 8);
	server.answer.retry_after_us = 1500001;
	for (uint32_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		server.answer.kind = cases[i].kind;
		server.answer.reason = cases[i].reason;
		expect(&server, post("{\"class\":\"q\"}"), cases[i].status,
		       "\"retry_after_ms\":1501");
		expect(&server, post("{\"class\":\"q\"}"), cases[i].status,
		       "Retry-After: 2\r\n");
	}
	expect(&server, request("GET /metrics", "", ""), 200, "of_the_core 1");
	expect(&server, request("GET /metrics", "", ""), 200,
	       "radishjunction_answer_ms_count{answer=\"failed\"} 2");
	expect(&server, request("GET /v1/status", "", ""), 200, "\"racks\":6");
	expect(&server, request("GET /v1/revision", "", ""), 200,
	       "\"revision\":7");
	rj_http_callers_drain(&server.callers);
	expect(&server, request("GET /v1/ready", "", ""), 503, "false");
	server_finish(&server);
}

/*
 * A buyer is told "not run", and the quote has run.
 * Callers with and without a key reach an instance in its last moments, when
 * the core takes no more events; one still waits for a job that was started.
 * Cause: whatever was open at the end was called not run.
 */
static void test_answers_after_the_core(void)
{
	static const char *jobs = "POST /v1/jobs";
	static const char *job = "GET /v1/jobs/00000000000000ff";
	static const char *token = "Authorization: Bearer t\r\n";
	struct server server;
	struct client waiting;

	server_init(&server, 8, 8);
	server.hold = true;
	client_init(&waiting, &server,
		    request(jobs, token, "{\"class\":\"q\"}"));
	RUN_UNTIL(loop, server.asked_count == 1);
	rj_http_callers_close(&server.callers);
	RUN_UNTIL(loop, waiting.closed);
	g_assert_nonnull(strstr(waiting.got->str, "\"unknown\""));
	expect(&server, post("{\"class\":\"q\"}"), 503, "\"unknown\"");
	expect(&server, request(jobs, token, "{\"class\":\"q\"}"), 503,
	       "\"not_run\"");
	expect(&server, request(job, token, ""), 503, "\"unknown\"");
	g_assert_cmpuint(server.asked_count, ==, 1);
	client_finish(&waiting);
	server_finish(&server);
}

/*
 * A tutor is told "not run" by an instance that has started a moment ago.
 * The preview arrives before the instance has its configuration.
 * Cause: callers were served before there was anything to serve them with.
 */
static void test_callers_wait_for_the_start(void)
{
	struct server server;
	struct client early;

	server_init_as(&server, 8, 8, true);
	client_init(&early, &server, post("{\"class\":\"q\"}"));
	RUN_UNTIL(loop, early.sent == early.length);
	g_assert_cmpuint(server.asked_count, ==, 0);
	server.answer.kind = RJ_ANSWER_DONE;
	rj_http_callers_serve(&server.callers);
	RUN_UNTIL(loop, early.closed);
	g_assert_cmpuint(client_status(&early), ==, 200);
	client_finish(&early);
	server_finish(&server);
}

/*
 * A preview is told "not run" by an instance whose stop is complete, though
 * its peers could serve it.
 * The request comes on a connection that was idle; another caller connects.
 * Cause: the last connections were refused, not served, and new ones reset.
 */
static void test_last_connections_are_served(void)
{
	struct server server;
	struct client idle;
	struct client late;
	const char *text = post("{\"class\":\"q\"}");

	server_init(&server, 8, 8);
	server.answer.kind = RJ_ANSWER_DONE;
	client_init(&idle, &server, "");
	RUN_UNTIL(loop, rj_http_callers_connections(&server.callers) == 1);
	rj_http_callers_stop_listening(&server.callers);
	client_init(&late, &server, text);
	idle.text = text;
	idle.length = strlen(text);
	TEVENT_FD_WRITEABLE(idle.event);
	RUN_UNTIL(loop, idle.closed);
	g_assert_cmpuint(client_status(&idle), ==, 200);
	RUN_UNTIL(loop, late.closed);
	g_assert_cmpuint(client_status(&late), ==, 0);
	g_assert_cmpuint(server.asked_count, ==, 1);
	client_finish(&late);
	client_finish(&idle);
	server_finish(&server);
}

/* A result that is no JSON comes as text, one that is no text in base64. */
static void test_results_of_any_bytes(void)
{
	struct server server;

	server_init(&server, 8, 8);
	server.answer.result = (struct rj_bytes){ (const uint8_t *)"a b", 3 };
	expect(&server, post("{\"class\":\"q\"}"), 200, "\"result\":\"a b\"");
	server.answer.result = (struct rj_bytes){ (const uint8_t *)"\xff", 1 };
	expect(&server, post("{\"class\":\"q\"}"), 200,
	       "\"result\":{\"base64\":\"/w==\"}");
	server_finish(&server);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	loop = tevent_context_init(NULL);
	g_test_add_func("/http_callers/submit", test_submit);
	g_test_add_func("/http_callers/digest", test_digest_of_a_repeat);
	g_test_add_func("/http_callers/bad_input", test_bad_input);
	g_test_add_func("/http_callers/request", test_bounds_of_a_request);
	g_test_add_func("/http_callers/server", test_bounds_of_the_server);
	g_test_add_func("/http_callers/stalled", test_stalled_caller);
	g_test_add_func("/http_callers/dribbling", test_dribbling_callers);
	g_test_add_func("/http_callers/spread",
			test_refused_do_not_return_together);
	g_test_add_func("/http_callers/gone", test_caller_gone);
	g_test_add_func("/http_callers/explain", test_explain);
	g_test_add_func("/http_callers/lookup", test_lookup_and_cancel);
	g_test_add_func("/http_callers/statuses", test_statuses);
	g_test_add_func("/http_callers/after_the_core",
			test_answers_after_the_core);
	g_test_add_func("/http_callers/start", test_callers_wait_for_the_start);
	g_test_add_func("/http_callers/last_connections",
			test_last_connections_are_served);
	g_test_add_func("/http_callers/results", test_results_of_any_bytes);
	status = g_test_run();
	talloc_free(loop);
	return status;
}
