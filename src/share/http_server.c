#include "http_server.h"

#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "private/clock.h"
#include "private/http_body.h"
#include "private/tcp_socket.h"

/* Connections that give way are closed a little later; so many more may be open
 * meanwhile. */
#define CLOSING_CONNECTIONS_MAX 16
/* The library's memory for the headers and framing of a connection, besides the
 * header limit. */
#define FRAMING_BYTES (8 * 1024)
#define HEADERS_DEFAULT_BYTES (16 * 1024)
#define RETRY_AFTER "1"
/* The daemon runs at most so often to send the last answers: each connection may
 * need a few runs, which take all of them in turn. */
#define FINISH_RUNS 64
/* A refused connection is closed after this time, whatever its client sends. */
#define REFUSED_CLOSE_US RJ_US_PER_S

const char *const rj_http_unanswered_string[RJ_HTTP_UNANSWERED_COUNT] = {
	[RJ_HTTP_UNANSWERED_CLIENT_GONE] = "client_gone",
	[RJ_HTTP_UNANSWERED_SEND_FAILED] = "send_failed",
	[RJ_HTTP_UNANSWERED_STOPPED] = "stopped",
	[RJ_HTTP_UNANSWERED_UNREAD] = "unread",
};

/* A connection; the library keeps it with the socket. */
struct connection {
	struct rj_client client; /* first member, always */
	struct rj_http_server *server;
	struct rj_http_exchange *request; /* NULL: none */
	bool refused; /* there was no room for it; not in the budget */
};

/* Answers in place of the library, which takes no answer before the end of a
 * body. The connection is closed next. */
static void send_refusal(int fd, unsigned int status)
{
	char text[160];
	int length = g_snprintf(text, sizeof(text),
				"HTTP/1.1 %u %s\r\n%sConnection: close\r\n"
				"Content-Length: 0\r\n\r\n",
				status, MHD_get_reason_phrase_for(status),
				status == MHD_HTTP_SERVICE_UNAVAILABLE ?
					"Retry-After: " RETRY_AFTER "\r\n" :
					"");

	(void)!send(fd, text, (size_t)length, MSG_DONTWAIT | MSG_NOSIGNAL);
}

/* See struct rj_client: the request is refused, and its body is freed. */
static void give_way(struct rj_client *client)
{
	struct connection *connection = (struct connection *)client;

	if (!connection->request)
		return;
	if (connection->request->handled) {
		rj_http_exchange_abort(connection->request);
		return;
	}
	rj_buffer_clear(&connection->request->body);
	send_refusal(client->fd, MHD_HTTP_SERVICE_UNAVAILABLE);
}

/* Appends to the body. Returns 0, or -1 if the request was refused and its
 * connection is to be closed. */
static int append_body(struct rj_http_exchange *request, const char *data,
		       size_t length)
{
	struct rj_client *client = &request->peer->client;
	struct rj_client_listener *listener = client->listener;

	rj_client_received(client, length, rj_clock_now_us());
	if (client->state == RJ_CLIENT_GIVING_WAY)
		return -1;
	if (request->body.length + length > request->body_max) {
		rj_client_budget_refuse(listener->budget,
					RJ_CLIENT_REFUSAL_BODY, listener->name);
		send_refusal(client->fd, MHD_HTTP_CONTENT_TOO_LARGE);
		return -1;
	}
	if (!rj_http_body_append(&request->body, request, client,
				 request->body_max, data, length))
		return 0;
	/* One that gave way has been answered. */
	if (client->state != RJ_CLIENT_GIVING_WAY) {
		rj_client_budget_refuse(listener->budget,
					RJ_CLIENT_REFUSAL_MEMORY,
					listener->name);
		send_refusal(client->fd, MHD_HTTP_SERVICE_UNAVAILABLE);
	}
	return -1;
}

static int request_socket(const struct rj_http_exchange *request)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	return info->connect_fd;
}

/*
 * Whether the client of an open request has closed its connection or the
 * sending side of it. Does not block.
 */
bool rj_http_exchange_disconnected(const struct rj_http_exchange *request)
{
	char byte;
	ssize_t got = recv(request_socket(request), &byte, sizeof(byte),
			   MSG_PEEK | MSG_DONTWAIT);

	return !got || (got < 0 && errno != EAGAIN && errno != EINTR);
}

/*
 * Handles a readable socket of a suspended connection, which libmicrohttpd does
 * not watch: the client has reset it, has closed its sending side, or has
 * already sent its next request.
 *
 * A client that closes only its sending side still reads its answer, and reads
 * here like one that is gone. The latter would count against the limit of
 * connections until its answer, so both give way when it is reached.
 */
static void watch_ready(struct tevent_context *ev, struct tevent_fd *fde,
			uint16_t flags, void *private_data)
{
	struct rj_http_exchange *request = private_data;
	char byte;
	ssize_t got = recv(request_socket(request), &byte, sizeof(byte),
			   MSG_PEEK | MSG_DONTWAIT);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	TALLOC_FREE(request->close_watch);
	if (got < 0)
		rj_http_exchange_abort(request);
	else if (!got)
		rj_client_set_may_be_gone(&request->peer->client, true);
}

/* Suspends the connection until there is an answer or the client resets it. */
static void suspend(struct rj_http_exchange *request)
{
	if (request->suspended)
		return;
	request->suspended = true;
	MHD_suspend_connection(request->connection);
	request->close_watch = tevent_add_fd(
		request->server->ev, request, request_socket(request),
		TEVENT_FD_READ, watch_ready, request);
	assert(request->close_watch);
}

/* Removes a freed request from the list of open requests. */
static int request_destructor(struct rj_http_exchange *request)
{
	request->peer->request = NULL;
	rj_client_end(&request->peer->client, rj_clock_now_us());
	rj_list_remove(&request->link);
	request->server->requests--;
	if (request->response)
		MHD_destroy_response(request->response);
	return 0;
}

/* The connection of a request. */
static struct connection *connection_of(struct MHD_Connection *connection)
{
	return MHD_get_connection_info(connection,
				       MHD_CONNECTION_INFO_SOCKET_CONTEXT)
		->socket_context;
}

/* Creates a request once its headers have been received. */
static struct rj_http_exchange *request_new(struct rj_http_server *server,
					    struct MHD_Connection *connection,
					    const char *path,
					    const char *method)
{
	struct rj_http_exchange *request =
		talloc_zero(server->mem, struct rj_http_exchange);

	assert(request);
	rj_list_init(&request->link);
	request->server = server;
	server->requests++;
	request->connection = connection;
	request->peer = connection_of(connection);
	request->peer->request = request;
	request->path = talloc_strdup(request, path);
	request->method = talloc_strdup(request, method);
	request->body_max = server->options.body_max_bytes;
	talloc_set_destructor(request, request_destructor);
	return request;
}

/* Answers a request that is refused at its headers; its connection closes. */
static void refuse(struct rj_http_exchange *request, unsigned int status,
		   enum rj_client_refusal reason, const char *message)
{
	const struct rj_client_listener *listener = &request->server->listener;

	rj_client_budget_refuse(listener->budget, reason, listener->name);
	rj_http_exchange_close(request);
	/* It has its answer, and gets no other by giving way. */
	rj_client_complete(&request->peer->client, rj_clock_now_us());
	if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
		rj_http_exchange_add_header(
			request, MHD_HTTP_HEADER_RETRY_AFTER, RETRY_AFTER);
	rj_http_exchange_error(request, status, message);
}

/* Refuses a request with too long headers, one that announces too long a body,
 * or one whose path does not fit the budget. Returns whether it was refused. */
static bool refuse_at_headers(struct rj_http_exchange *request)
{
	const char *length = rj_http_exchange_header(
		request, MHD_HTTP_HEADER_CONTENT_LENGTH);
	size_t headers = strlen(request->path) +
			 rj_http_headers_length(request->connection);

	if (headers > request->server->options.headers_max_bytes)
		refuse(request, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
		       RJ_CLIENT_REFUSAL_HEADERS,
		       "headers: too large; send fewer");
	else if (length && strtoull(length, NULL, 10) > request->body_max)
		refuse(request, MHD_HTTP_CONTENT_TOO_LARGE,
		       RJ_CLIENT_REFUSAL_BODY,
		       "body: too large; send a smaller one");
	else if (rj_client_charge(&request->peer->client,
				  strlen(request->path)))
		refuse(request, MHD_HTTP_SERVICE_UNAVAILABLE,
		       RJ_CLIENT_REFUSAL_MEMORY,
		       "memory: too many requests are open; retry later or "
		       "ask another instance");
	return request->response;
}

/* Passes a complete request to the handler. */
static void handle(struct rj_http_exchange *request)
{
	struct rj_http_server *server = request->server;

	request->handled = true;
	rj_list_append(&server->open, &request->link);
	if (!request->body.data)
		rj_buffer_append(&request->body, request, "", 0);
	if (server->finishing) {
		rj_http_exchange_close(request);
		rj_http_exchange_add_header(
			request, MHD_HTTP_HEADER_RETRY_AFTER, RETRY_AFTER);
		rj_http_exchange_error(request, MHD_HTTP_SERVICE_UNAVAILABLE,
				       "stopping: ask another instance");
		return;
	}
	server->options.handle(server->options.private_data, request);
}

/* Hands the answer to the library. */
static enum MHD_Result queue_answer(struct rj_http_exchange *request)
{
	enum MHD_Result queued = MHD_queue_response(
		request->connection, request->status, request->response);

	MHD_destroy_response(request->response);
	request->response = NULL;
	return queued;
}

/* The headers of a request have been read. */
static enum MHD_Result begin(struct rj_http_exchange *request)
{
	struct rj_client *client = &request->peer->client;

	if (client->state == RJ_CLIENT_GIVING_WAY)
		return MHD_NO;
	rj_client_begin(client,
			rj_http_exchange_header(
				request, MHD_HTTP_HEADER_TRANSFER_ENCODING),
			rj_clock_now_us());
	return refuse_at_headers(request) ? queue_answer(request) : MHD_YES;
}

/*
 * libmicrohttpd calls this when the headers are read, for each part of the
 * body, when the request is complete, and again after a resume.
 */
static enum MHD_Result
access_handler(void *cls, struct MHD_Connection *connection, const char *url,
	       const char *method, const char *version, const char *upload_data,
	       size_t *upload_data_size, void **con_cls)
{
	struct rj_http_server *server = cls;
	struct rj_http_exchange *request = *con_cls;
	struct rj_client *client;

	server->loop.progress++;
	if (connection_of(connection)->refused)
		return MHD_NO;
	if (!request) {
		request = request_new(server, connection, url, method);
		*con_cls = request;
		return begin(request);
	}
	client = &request->peer->client;
	if (*upload_data_size) {
		size_t length = *upload_data_size;

		*upload_data_size = 0;
		return append_body(request, upload_data, length) ? MHD_NO :
								   MHD_YES;
	}
	if (client->state == RJ_CLIENT_GIVING_WAY)
		return MHD_NO;
	if (!request->handled) {
		rj_client_complete(client, rj_clock_now_us());
		handle(request);
	}
	if (request->aborted)
		return MHD_NO;
	if (!request->response) {
		suspend(request);
		return MHD_YES;
	}
	return queue_answer(request);
}

/* Counts a whole request that ended without a complete answer. */
static void count_unanswered(struct rj_http_server *server,
			     const struct rj_http_exchange *request)
{
	enum rj_http_unanswered why = RJ_HTTP_UNANSWERED_SEND_FAILED;

	if (server->finishing)
		why = RJ_HTTP_UNANSWERED_STOPPED;
	else if (request->aborted)
		why = RJ_HTTP_UNANSWERED_CLIENT_GONE;
	server->unanswered[why]++;
}

/* Frees a request whose answer was sent, or whose connection closed early. */
static void request_completed(void *cls, struct MHD_Connection *connection,
			      void **con_cls,
			      enum MHD_RequestTerminationCode code)
{
	struct rj_http_exchange *request = *con_cls;

	if (request && request->handled &&
	    code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
		count_unanswered(cls, request);
	talloc_free(request);
	*con_cls = NULL;
}

/* Ends the reading of a refused connection; the library closes it then. */
static void end_refused(struct tevent_context *ev, struct tevent_timer *timer,
			struct timeval now, void *private_data)
{
	const struct connection *connection = private_data;

	(void)shutdown(connection->client.fd, SHUT_RDWR);
}

/*
 * Refuses a connection for which there is no room. Its socket is still read for
 * a while, as one that is closed with unread bytes is reset, which may destroy
 * the refusal.
 */
static void refuse_connection(struct connection *connection, int fd)
{
	struct tevent_timer *timer = tevent_add_timer(
		connection->server->ev, connection,
		rj_clock_timeval_in(REFUSED_CLOSE_US), end_refused, connection);

	assert(timer);
	(void)timer;
	connection->refused = true;
	connection->client.fd = fd;
	send_refusal(fd, MHD_HTTP_SERVICE_UNAVAILABLE);
	(void)shutdown(fd, SHUT_WR);
}

/*
 * Runs the daemon again after a connection has closed. At its limit of
 * connections or descriptors the library stops accepting, and starts again not
 * in the run that closes a connection but in the next one.
 */
static void accept_again(struct rj_http_server *server)
{
	if (!server->finishing)
		rj_http_loop_kick(&server->loop);
}

/* Adds a connection to the budget, or removes it. */
static void connection_changed(void *cls, struct MHD_Connection *connection,
			       void **socket_context,
			       enum MHD_ConnectionNotificationCode code)
{
	struct rj_http_server *server = cls;
	struct connection *added;
	int fd;

	server->loop.progress++;
	fd = MHD_get_connection_info(connection,
				     MHD_CONNECTION_INFO_CONNECTION_FD)
		     ->connect_fd;
	if (code != MHD_CONNECTION_NOTIFY_STARTED) {
		added = *socket_context;
		if (!added->refused && rj_client_has_unread(&added->client))
			server->unanswered[RJ_HTTP_UNANSWERED_UNREAD]++;
		if (!added->refused)
			rj_client_close(&added->client);
		TALLOC_FREE(*socket_context);
		server->connections--;
		accept_again(server);
		return;
	}
	server->connections++;
	added = talloc_zero(server->mem, struct connection);
	assert(added);
	added->server = server;
	*socket_context = added;
	if (!rj_client_open(&added->client, &server->listener, fd, give_way,
			    rj_clock_now_us()))
		return;
	refuse_connection(added, fd);
}

/* See struct rj_http_loop. */
static void stalled(void *private_data, uint64_t busy_since_us)
{
	struct rj_http_server *server = private_data;

	rj_client_budget_end_stall(server->listener.budget, &server->listener,
				   busy_since_us, rj_clock_now_us());
}

/*
 * Listens on options->address and serves it from `ev`; server->address
 * receives the actual port. Returns 0, or -1 with `err` if the server cannot
 * listen.
 */
int rj_http_server_init(struct rj_http_server *server, void *mem,
			struct tevent_context *ev,
			const struct rj_http_server_options *options,
			struct rj_error *err)
{
	int fd;

	memset(server, 0, sizeof(*server));
	server->options = *options;
	if (!options->headers_max_bytes)
		server->options.headers_max_bytes = HEADERS_DEFAULT_BYTES;
	server->ev = ev;
	server->listen_fd = -1;
	rj_list_init(&server->open);
	rj_client_budget_init(&server->own_budget, UINT64_MAX, UINT32_MAX);
	rj_client_listener_init(&server->listener,
				options->budget ? options->budget :
						  &server->own_budget,
				options->name ? options->name : "http",
				options->connections_max);
	fd = rj_tcp_listen(&options->address, &server->address, err);
	if (fd < 0)
		return -1;
	rj_tcp_limit_receive_buffer(fd);
	server->listen_fd = fd;
	server->mem = talloc_named_const(mem, 0, "http server");
	assert(server->mem);
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		access_handler, server, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_CONNECTION_LIMIT,
		options->connections_max + CLOSING_CONNECTIONS_MAX,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)server->options.headers_max_bytes + FRAMING_BYTES,
		MHD_OPTION_NOTIFY_COMPLETED, request_completed, server,
		MHD_OPTION_NOTIFY_CONNECTION, connection_changed, server,
		MHD_OPTION_END);
	if (!server->daemon) {
		close(fd);
		TALLOC_FREE(server->mem);
		return rj_error_set(err, RJ_ERR_IO,
				    "address: the HTTP library cannot serve "
				    "%s port %u; raise the limit of open files",
				    server->address.ip, server->address.port);
	}
	rj_http_loop_init(&server->loop, server->mem, ev, server->daemon);
	server->loop.stalled = stalled;
	server->loop.private_data = server;
	return 0;
}

/*
 * Returns the value of a header, or NULL; valid as long as the request.
 */
const char *rj_http_exchange_header(struct rj_http_exchange *request,
				    const char *name)
{
	return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
					   name);
}

/*
 * Returns the value of a query argument, or NULL; valid as long as the
 * request.
 */
const char *rj_http_exchange_argument(struct rj_http_exchange *request,
				      const char *name)
{
	return MHD_lookup_connection_value(request->connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

/* Resumes a suspended connection, so that access_handler sends the answer. */
static void resume(struct rj_http_exchange *request)
{
	rj_list_remove(&request->link);
	if (!request->suspended)
		return;
	request->suspended = false;
	rj_client_set_may_be_gone(&request->peer->client, false);
	TALLOC_FREE(request->close_watch);
	MHD_resume_connection(request->connection);
	rj_http_loop_kick(&request->server->loop);
}

/*
 * Adds a header to the answer. Call at most once, before the answer.
 */
void rj_http_exchange_add_header(struct rj_http_exchange *request,
				 const char *name, const char *value)
{
	assert(!request->response && !request->extra_header_name);
	request->extra_header_name = talloc_strdup(request, name);
	request->extra_header_value = talloc_strdup(request, value);
}

/*
 * Closes the connection after the answer. Call before the answer.
 */
void rj_http_exchange_close(struct rj_http_exchange *request)
{
	request->close_after_answer = true;
}

/*
 * Answers with `length` bytes of JSON, which are copied. Call once for each
 * request; the answer to an aborted request is dropped.
 */
void rj_http_exchange_answer(struct rj_http_exchange *request,
			     unsigned int status, const char *text,
			     size_t length)
{
	assert(!request->response);
	if (request->aborted)
		return;
	request->response = MHD_create_response_from_buffer(
		length, (void *)text, MHD_RESPMEM_MUST_COPY);
	assert(request->response);
	rj_client_charge_answer(&request->peer->client, length);
	MHD_add_response_header(request->response, MHD_HTTP_HEADER_CONTENT_TYPE,
				"application/json");
	if (request->server->draining || request->close_after_answer)
		MHD_add_response_header(request->response,
					MHD_HTTP_HEADER_CONNECTION, "close");
	if (request->extra_header_name)
		MHD_add_response_header(request->response,
					request->extra_header_name,
					request->extra_header_value);
	request->status = status;
	resume(request);
}

/*
 * Answers with {"error": message}; the message states the remedy.
 */
void rj_http_exchange_error(struct rj_http_exchange *request,
			    unsigned int status, const char *message)
{
	/* A message may quote a part of the request that ends within a
	 * character, which JSON cannot hold. */
	char *valid = g_utf8_make_valid(message, -1);
	json_t *object = json_pack("{s:s}", "error", valid);
	char *text = json_dumps(object, JSON_COMPACT);

	assert(text);
	rj_http_exchange_answer(request, status, text, strlen(text));
	free(text);
	json_decref(object);
	g_free(valid);
}

/*
 * Closes the connection without an answer. Must not follow an answer.
 */
void rj_http_exchange_abort(struct rj_http_exchange *request)
{
	assert(!request->response);
	if (request->aborted)
		return;
	request->aborted = true;
	resume(request);
}

/*
 * Aborts every open request except `except`, which may be NULL.
 */
void rj_http_server_abort_open(struct rj_http_server *server,
			       const struct rj_http_exchange *except)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &server->open) {
		struct rj_http_exchange *request =
			RJ_CONTAINER(at, struct rj_http_exchange, link);

		if (request != except)
			rj_http_exchange_abort(request);
	}
}

/* Whether a connection or bytes have arrived that the library has not taken. */
static bool has_unread(const struct rj_http_server *server)
{
	struct pollfd waiting = { .fd = server->listen_fd, .events = POLLIN };

	return rj_client_listener_has_unread(&server->listener) ||
	       poll(&waiting, 1, 0) > 0;
}

/*
 * Whether a stopping server has sent all answers, to requests that are complete,
 * whose bodies are arriving, or that have arrived and were not read, and waits
 * for no first request of a new connection. A timer that is due precedes the
 * sockets, so a process that was held up may call this before it reads.
 */
bool rj_http_server_is_settled(const struct rj_http_server *server)
{
	uint64_t now_us = rj_clock_now_us();

	return server->requests <=
		       rj_client_listener_stalled(&server->listener, now_us) &&
	       !has_unread(server) &&
	       !rj_client_listener_has_new(&server->listener, now_us);
}

/*
 * Frees the body of a request that its handler no longer needs.
 */
void rj_http_exchange_release_body(struct rj_http_exchange *request)
{
	rj_buffer_clear(&request->body);
	rj_client_discharge(&request->peer->client);
}

/*
 * Appends the server's metrics.
 */
void rj_http_server_write(const struct rj_http_server *server, GString *text)
{
	for (int i = 0; i < RJ_HTTP_UNANSWERED_COUNT; i++)
		g_string_append_printf(
			text,
			"radishjunction_requests_unanswered{listener=\"%s\","
			"why=\"%s\"} %" PRIu64 "\n",
			server->listener.name, rj_http_unanswered_string[i],
			server->unanswered[i]);
}

/*
 * Makes each further answer close its connection, so that clients move to
 * other instances. All answers have been sent once `requests` is 0.
 */
void rj_http_server_drain(struct rj_http_server *server)
{
	server->draining = true;
}

/*
 * Refuses new connections from now on; those that are open are served. One that
 * is neither accepted nor refused would be reset with its request.
 */
void rj_http_server_stop_listening(struct rj_http_server *server)
{
	struct sockaddr_storage from;
	socklen_t length = sizeof(from);
	int fd;

	if (server->listen_fd < 0)
		return;
	MHD_quiesce_daemon(server->daemon);
	/* Nothing may come between the last of these and the close. */
	while ((fd = accept4(server->listen_fd, (struct sockaddr *)&from,
			     &length, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0) {
		MHD_add_connection(server->daemon, fd, (struct sockaddr *)&from,
				   length);
		length = sizeof(from);
	}
	close(server->listen_fd);
	server->listen_fd = -1;
}

/*
 * Stops listening and closes all connections. Answers that were given are sent
 * as far as the clients take them without a wait; requests that arrive until
 * then are refused, and open requests get no answer. Must not be called from
 * within a handler.
 */
void rj_http_server_finish(struct rj_http_server *server)
{
	if (!server->daemon)
		return;
	server->finishing = true;
	rj_http_server_stop_listening(server);
	for (int i = 0; i < FINISH_RUNS && !rj_http_server_is_settled(server);
	     i++)
		MHD_run(server->daemon);
	rj_http_server_abort_open(server, NULL);
	rj_http_loop_finish(&server->loop);
	MHD_stop_daemon(server->daemon);
	server->daemon = NULL;
	TALLOC_FREE(server->mem);
}
