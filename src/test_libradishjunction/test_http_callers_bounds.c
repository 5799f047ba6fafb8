#include <glib.h>
#include <sodium.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>

#include "support/callers_fixture.h"
#include "support/event_loop.h"

static void test_bounds_of_a_request(void)
{
	struct callers_server server;
	char *large = g_strnfill(BODY_MAX_BYTES + 1, ' ');
	char *header = g_strnfill(9000, 'x');
	char *chunked = g_strdup_printf(
		"POST /v1/jobs HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
		"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		BODY_MAX_BYTES + 1, large);
	char *many = g_strdup_printf("X: %s\r\n", header);

	callers_server_init(&server, 8, 8);
	callers_expect(&server, callers_post(large), 413, "too_large");
	callers_expect(&server, chunked, 413, "too_large");
	callers_expect(&server, callers_request("GET /v1/ready", many, ""), 431,
		       "too_large");
	callers_expect(&server, callers_request("GET /v1/ready", "", ""), 200,
		       "true");
	g_assert_cmpuint(server.request_count, ==, 0);
	callers_server_finish(&server);
	g_free(large);
	g_free(header);
	g_free(chunked);
	g_free(many);
}

/* A request above the bound is refused, with a time to retry after. */
static void test_bounds_of_the_server(void)
{
	struct callers_server server;
	struct callers_client first;
	struct rj_answer done = { .kind = RJ_ANSWER_DONE };

	callers_server_init(&server, 8, 1);
	server.defer_answers = true;
	callers_client_init(&first, &server, callers_post("{\"class\":\"q\"}"));
	RUN_UNTIL(callers_loop, server.request_count == 1);
	callers_expect(&server, callers_post("{\"class\":\"q\"}"), 503,
		       "Retry-After: 1");
	g_assert_cmpuint(server.request_count, ==, 1);
	server.callers.base.ops->answer(&server.callers.base,
					server.last_request.request_id, &done);
	RUN_UNTIL(callers_loop, first.closed);
	g_assert_cmpuint(callers_client_status(&first), ==, 200);
	callers_client_finish(&first);
	callers_server_finish(&server);

	callers_server_init(&server, 1, 8);
	server.defer_answers = true;
	callers_client_init(&first, &server, callers_post("{\"class\":\"q\"}"));
	RUN_UNTIL(callers_loop, server.request_count == 1);
	callers_expect(&server, callers_post("{\"class\":\"q\"}"), 503,
		       "connections: ");
	callers_client_finish(&first);
	callers_server_finish(&server);
}

/* A caller that sends half a request and stalls must not block the others. */
static void test_stalled_caller(void)
{
	struct callers_server server;
	struct callers_client stalled;

	callers_server_init(&server, 8, 8);
	callers_client_init(&stalled, &server,
			    "POST /v1/jobs HTTP/1.1\r\nHost: h\r\n");
	RUN_UNTIL(callers_loop, stalled.sent == stalled.length);
	callers_expect(&server, callers_post("{\"class\":\"q\"}"), 200, "done");
	g_assert_false(stalled.closed);
	RUN_UNTIL(callers_loop, stalled.closed);
	g_assert_cmpuint(server.request_count, ==, 1);
	callers_client_finish(&stalled);
	callers_server_finish(&server);
}

/* A caller that sends one byte at a time, without a time limit. */
struct byte_sender {
	struct callers_client client;
	struct tevent_timer *timer;
};

static void byte_sender_next(struct byte_sender *byte_sender);

static void on_dribble(struct tevent_context *context,
		       struct tevent_timer *timer, struct timeval now,
		       void *private_data)
{
	struct byte_sender *byte_sender = private_data;
	struct callers_client *client = &byte_sender->client;

	byte_sender->timer = NULL;
	if (client->sent == client->length || client->closed)
		return;
	if (send(client->fd, client->text + client->sent, 1, MSG_NOSIGNAL) == 1)
		client->sent++;
	byte_sender_next(byte_sender);
}

/* Far more often than the server's idle limit of one second. */
static void byte_sender_next(struct byte_sender *byte_sender)
{
	byte_sender->timer = tevent_add_timer(
		callers_loop, callers_loop,
		tevent_timeval_current_ofs(0, 50000), on_dribble, byte_sender);
}

static void byte_sender_init(struct byte_sender *byte_sender,
			     const struct callers_server *server,
			     const char *text)
{
	callers_client_init(&byte_sender->client, server, "");
	TEVENT_FD_NOT_WRITEABLE(byte_sender->client.event);
	byte_sender->client.text = text;
	byte_sender->client.length = strlen(text);
	byte_sender_next(byte_sender);
}

static void byte_sender_finish(struct byte_sender *byte_sender)
{
	talloc_free(byte_sender->timer);
	callers_client_finish(&byte_sender->client);
}

/*
 * Callers that send a request byte by byte and never the last one must not keep
 * their connections. If each byte counts as activity, other callers find no
 * free connection.
 */
static void test_byte_by_byte_callers(void)
{
	char *endless = g_strnfill(1000, 'x');
	char *headers =
		g_strdup_printf("POST /v1/jobs HTTP/1.1\r\nX: %s", endless);
	char *body = g_strdup_printf("POST /v1/jobs HTTP/1.1\r\nHost: h\r\n"
				     "Authorization: Bearer t\r\n"
				     "Content-Length: 1000\r\n\r\n{%s",
				     endless);
	struct callers_server server;
	struct byte_sender in_headers;
	struct byte_sender in_body;

	callers_server_init(&server, 2, 8);
	byte_sender_init(&in_headers, &server, headers);
	byte_sender_init(&in_body, &server, body);
	RUN_UNTIL(callers_loop,
		  in_body.client.closed && in_headers.client.closed);
	g_assert_cmpuint(in_headers.client.sent, <, in_headers.client.length);
	g_assert_cmpuint(in_body.client.sent, <, in_body.client.length);
	RUN_UNTIL(callers_loop, !rj_http_callers_connections(&server.callers));
	g_assert_cmpuint(server.request_count, ==, 0);
	callers_expect(&server, callers_post("{\"class\":\"q\"}"), 200, "done");
	byte_sender_finish(&in_headers);
	byte_sender_finish(&in_body);
	callers_server_finish(&server);
	g_free(endless);
	g_free(headers);
	g_free(body);
}

/* Returns the number after "retry_after_ms" in an answer. */
static uint64_t retry_after_ms(const struct callers_client *client)
{
	static const char *name = "\"retry_after_ms\":";
	const char *found = strstr(client->received->str, name);

	g_assert_nonnull(found);
	return strtoull(found + strlen(name), NULL, 10);
}

/*
 * Refused callers must get different times to retry after. A client sends 32
 * requests at once; if all that are refused get the same second, they return
 * together. The HTTP server must spread the times as the core does.
 */
static void test_refused_callers_retry_at_different_times(void)
{
	struct callers_client clients[32];
	struct callers_client held;
	struct callers_server server;
	bool seen[1501] = { false };
	uint32_t different = 0;

	callers_server_init(&server, G_N_ELEMENTS(clients) + 1, 1);
	server.defer_answers = true;
	callers_client_init(&held, &server, callers_post("{\"class\":\"q\"}"));
	RUN_UNTIL(callers_loop, server.request_count == 1);
	for (uint32_t i = 0; i < G_N_ELEMENTS(clients); i++)
		callers_client_init(&clients[i], &server,
				    callers_post("{\"class\":\"q\"}"));
	for (uint32_t i = 0; i < G_N_ELEMENTS(clients); i++) {
		uint64_t after_ms;

		RUN_UNTIL(callers_loop, clients[i].closed);
		g_assert_cmpuint(callers_client_status(&clients[i]), ==, 503);
		after_ms = retry_after_ms(&clients[i]);
		g_assert_cmpuint(after_ms, >=, 500);
		g_assert_cmpuint(after_ms, <, G_N_ELEMENTS(seen));
		g_assert_nonnull(strstr(clients[i].received->str,
					after_ms <= 1000 ?
						"Retry-After: 1\r\n" :
						"Retry-After: 2\r\n"));
		different += !seen[after_ms];
		seen[after_ms] = true;
		callers_client_finish(&clients[i]);
	}
	g_assert_cmpuint(different, >, G_N_ELEMENTS(clients) / 2);
	g_assert_cmpuint(server.request_count, ==, 1);
	callers_client_finish(&held);
	callers_server_finish(&server);
}

/*
 * The core is notified when the caller disconnects, and its late answer is
 * ignored.
 */
static void test_caller_disconnected(void)
{
	struct callers_server server;
	struct callers_client client;
	struct rj_answer done = { .kind = RJ_ANSWER_DONE };

	callers_server_init(&server, 8, 8);
	server.defer_answers = true;
	callers_client_init(&client, &server,
			    callers_post("{\"class\":\"q\"}"));
	RUN_UNTIL(callers_loop, server.request_count == 1);
	callers_client_finish(&client);
	RUN_UNTIL(callers_loop,
		  server.disconnected_id == server.last_request.request_id);
	server.callers.base.ops->answer(&server.callers.base,
					server.last_request.request_id, &done);
	server.defer_answers = false;
	callers_expect(&server, callers_post("{\"class\":\"q\"}"), 200, "done");
	RUN_UNTIL(callers_loop,
		  !rj_http_callers_open_requests(&server.callers));
	callers_server_finish(&server);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	callers_loop = tevent_context_init(NULL);
	g_test_add_func("/http_callers/request", test_bounds_of_a_request);
	g_test_add_func("/http_callers/server", test_bounds_of_the_server);
	g_test_add_func("/http_callers/stalled", test_stalled_caller);
	g_test_add_func("/http_callers/dribbling", test_byte_by_byte_callers);
	g_test_add_func("/http_callers/spread",
			test_refused_callers_retry_at_different_times);
	g_test_add_func("/http_callers/gone", test_caller_disconnected);
	status = g_test_run();
	talloc_free(callers_loop);
	return status;
}
