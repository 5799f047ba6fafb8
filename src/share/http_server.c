#include "http_server.h"

#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "private/tcp_socket.h"

/* Connections above the limit are accepted and closed at once, so that their
 * clients see a refusal rather than wait in the listen backlog. */
#define REFUSED_CONNECTIONS_MAX 16

/* Appends to the body, or sets `too_large` once it exceeds the limit. */
static void append_body(struct rj_http_exchange *request, const char *data,
			size_t length)
{
	if (request->body.length + length >
	    request->server->options.body_max_bytes)
		request->too_large = true;
	if (!request->too_large)
		rj_buffer_append(&request->body, request, data, length);
}

static int request_socket(const struct rj_http_exchange *request)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	return info->connect_fd;
}

/*
 * Whether the client of an open request has closed its connection. Does not
 * block.
 */
bool rj_http_exchange_disconnected(const struct rj_http_exchange *request)
{
	char byte;
	ssize_t got = recv(request_socket(request), &byte, sizeof(byte),
			   MSG_PEEK | MSG_DONTWAIT);

	return !got || (got < 0 && errno != EAGAIN && errno != EINTR);
}

/*
 * Handles a readable socket of a suspended connection: the client has closed
 * it, or has already sent its next request.
 *
 * libmicrohttpd does not watch suspended connections, so without this check
 * the connections of clients that timed out would count against the limit
 * until it is exhausted. A closed connection reads as end of file.
 */
static void watch_ready(struct tevent_context *ev, struct tevent_fd *fde,
			uint16_t flags, void *private_data)
{
	struct rj_http_exchange *request = private_data;

	TALLOC_FREE(request->close_watch);
	if (rj_http_exchange_disconnected(request))
		rj_http_exchange_abort(request);
}

/* Suspends the connection until there is an answer or the client closes it. */
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
	rj_list_remove(&request->link);
	request->server->requests--;
	if (request->response)
		MHD_destroy_response(request->response);
	return 0;
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
	request->path = talloc_strdup(request, path);
	request->method = talloc_strdup(request, method);
	talloc_set_destructor(request, request_destructor);
	return request;
}

/* Passes a complete request to the handler; refuses one that is too large. */
static void handle(struct rj_http_exchange *request)
{
	struct rj_http_server *server = request->server;

	request->handled = true;
	rj_list_append(&server->open, &request->link);
	if (!request->body.data)
		append_body(request, "", 0);
	if (request->too_large)
		rj_http_exchange_error(request, MHD_HTTP_CONTENT_TOO_LARGE,
				       "body: too large; send a smaller one");
	else
		server->options.handle(server->options.private_data, request);
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
	struct rj_http_exchange *request = *con_cls;
	enum MHD_Result queued;

	if (!request) {
		*con_cls = request_new(cls, connection, url, method);
		return MHD_YES;
	}
	if (*upload_data_size) {
		append_body(request, upload_data, *upload_data_size);
		*upload_data_size = 0;
		return MHD_YES;
	}
	if (!request->handled)
		handle(request);
	if (request->aborted)
		return MHD_NO;
	if (!request->response) {
		suspend(request);
		return MHD_YES;
	}
	queued = MHD_queue_response(connection, request->status,
				    request->response);
	MHD_destroy_response(request->response);
	request->response = NULL;
	return queued;
}

/* Frees a request whose answer was sent, or whose connection closed early. */
static void request_completed(void *cls, struct MHD_Connection *connection,
			      void **con_cls,
			      enum MHD_RequestTerminationCode code)
{
	talloc_free(*con_cls);
	*con_cls = NULL;
}

static void connection_changed(void *cls, struct MHD_Connection *connection,
			       void **socket_context,
			       enum MHD_ConnectionNotificationCode code)
{
	struct rj_http_server *server = cls;

	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		server->connections++;
	else
		server->connections--;
}

/* Rejects connections above the limit as soon as they are accepted. */
static enum MHD_Result accept_policy(void *cls, const struct sockaddr *address,
				     socklen_t length)
{
	const struct rj_http_server *server = cls;

	return server->connections < server->options.connections_max ? MHD_YES :
								       MHD_NO;
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
	server->ev = ev;
	rj_list_init(&server->open);
	fd = rj_tcp_listen(&options->address, &server->address, err);
	if (fd < 0)
		return -1;
	server->mem = talloc_named_const(mem, 0, "http server");
	assert(server->mem);
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, accept_policy,
		server, access_handler, server, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_CONNECTION_LIMIT,
		options->connections_max + REFUSED_CONNECTIONS_MAX,
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

/*
 * Makes each further answer close its connection, so that clients move to
 * other instances. All answers have been sent once `requests` is 0.
 */
void rj_http_server_drain(struct rj_http_server *server)
{
	server->draining = true;
}

/*
 * Stops listening and closes all connections; open requests get no answer.
 * Must not be called from within a handler.
 */
void rj_http_server_finish(struct rj_http_server *server)
{
	if (!server->daemon)
		return;
	rj_http_server_abort_open(server, NULL);
	rj_http_loop_finish(&server->loop);
	MHD_stop_daemon(server->daemon);
	server->daemon = NULL;
	TALLOC_FREE(server->mem);
}
