#include "support/callers_fixture.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "private/tcp_socket.h"
#include "support/event_loop.h"

struct tevent_context *callers_loop;

/* Records a request or disconnection, and answers unless `defer_answers` is
 * set. */
static void on_event(struct rj_sink *sink, struct rj_event *event)
{
	struct callers_server *server = (struct callers_server *)sink;
	const struct rj_bytes *body = &event->u.request.spec.body;

	if (event->kind == RJ_EVENT_CALLER_DISCONNECTED) {
		server->disconnected_id = event->u.request_id;
		return;
	}
	g_assert_cmpint(event->kind, ==, RJ_EVENT_REQUEST);
	server->last_request = event->u.request;
	memset(server->body, 0, sizeof(server->body));
	if (body->length)
		memcpy(server->body, body->data,
		       MIN(body->length, sizeof(server->body) - 1));
	server->request_count++;
	if (!server->defer_answers)
		server->callers.base.ops->answer(
			&server->callers.base, server->last_request.request_id,
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

/*
 * Starts the adapter on a free port of the loopback address. With `deferred` it
 * serves no caller until it is requested to.
 */
void callers_server_init_as(struct callers_server *server, uint32_t connections,
			    uint32_t requests, bool deferred)
{
	struct rj_http_callers_options options = {
		.loop = callers_loop,
		.sink = &server->sink,
		.views = &server->views,
		.address = { "127.0.0.1", 0 },
		.memory_bytes = 64 * 1024 * 1024,
		.body_max_bytes = BODY_MAX_BYTES,
		.connections_max = connections,
		.requests_max = requests,
		.idle_timeout_s = 1,
		.deferred = deferred,
	};

	memset(server, 0, sizeof(*server));
	server->sink.deliver = on_event;
	server->views.ops = &views_ops;
	g_assert_cmpint(rj_http_callers_init(&server->callers, callers_loop,
					     &options, NULL),
			==, 0);
}

/*
 * Starts the adapter and serves callers immediately.
 */
void callers_server_init(struct callers_server *server, uint32_t connections,
			 uint32_t requests)
{
	callers_server_init_as(server, connections, requests, false);
}

void callers_server_finish(struct callers_server *server)
{
	server->callers.base.ops->finish(&server->callers.base);
}

static void on_client(struct tevent_context *context, struct tevent_fd *event,
		      uint16_t flags, void *private_data)
{
	struct callers_client *client = private_data;
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
		g_string_append_len(client->received, data, done);
	if (done == 0)
		client->closed = true;
	if (client->closed)
		TEVENT_FD_NOT_READABLE(client->event);
}

/*
 * Connects and sends `text`, which must outlive the client.
 */
void callers_client_init(struct callers_client *client,
			 const struct callers_server *server, const char *text)
{
	struct rj_address address = rj_http_callers_address(&server->callers);

	memset(client, 0, sizeof(*client));
	client->text = text;
	client->length = strlen(text);
	client->received = g_string_new(NULL);
	client->fd = rj_tcp_connect(&address, NULL);
	client->event = tevent_add_fd(callers_loop, callers_loop, client->fd,
				      TEVENT_FD_READ | TEVENT_FD_WRITE,
				      on_client, client);
}

/*
 * Closes the connection and frees the received text.
 */
void callers_client_finish(struct callers_client *client)
{
	talloc_free(client->event);
	close(client->fd);
	g_string_free(client->received, TRUE);
}

/*
 * Returns the HTTP status code, 0 before the status line has arrived.
 */
unsigned int callers_client_status(const struct callers_client *client)
{
	return client->received->len < 12 ?
		       0 :
		       (unsigned int)atoi(client->received->str + 9);
}

/*
 * Sends `text` and checks that the response has `status` and contains `part`.
 */
void callers_expect(struct callers_server *server, const char *text,
		    unsigned int status, const char *part)
{
	struct callers_client client;

	callers_client_init(&client, server, text);
	RUN_UNTIL(callers_loop, client.closed);
	if (callers_client_status(&client) != status ||
	    !strstr(client.received->str, part))
		g_test_message("sent %s\ngot %s", text, client.received->str);
	g_assert_cmpuint(callers_client_status(&client), ==, status);
	g_assert_nonnull(strstr(client.received->str, part));
	callers_client_finish(&client);
}

/*
 * Formats a complete request. The text is a talloc child of `callers_loop`.
 */
const char *callers_request(const char *line, const char *headers,
			    const char *body)
{
	return talloc_asprintf(callers_loop,
			       "%s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
			       "Content-Length: %zu\r\n%s\r\n%s",
			       line, strlen(body), headers, body);
}

/*
 * Formats the submission of a job with an idempotency key.
 */
const char *callers_post(const char *body)
{
	return callers_request(
		"POST /v1/jobs",
		"Authorization: Bearer t\r\nIdempotency-Key: k-1\r\n", body);
}
