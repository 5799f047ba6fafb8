#include "http_server.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <jansson.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "private/clock.h"

/* Enough for a burst of new connections between two turns of the loop. */
#define LISTEN_BACKLOG 512
/* Connections beyond the limit are accepted to be closed, so that their
   callers see a refusal and do not wait in the backlog. */
#define REFUSAL_ROOM 16
/* How often suspended connections are looked at for clients that went. */
#define GONE_CHECK_US (250 * RJ_US_PER_MS)

static void pump(struct rj_http_server *server);
static void watch_gone(struct rj_http_server *server);

static void pump_timer(struct tevent_context *ev, struct tevent_timer *timer,
		       struct timeval now, void *private_data)
{
	struct rj_http_server *server = private_data;

	server->timer = NULL;
	pump(server);
}

static void pump_in(struct rj_http_server *server, uint64_t delay_us)
{
	TALLOC_FREE(server->timer);
	server->timer = tevent_add_timer(server->ev, server->mem,
					 rj_clock_timeval_in(delay_us),
					 pump_timer, server);
	assert(server->timer);
}

/* Let libmicrohttpd work off what is ready, and come back when it asks. */
static void pump(struct rj_http_server *server)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	MHD_run(server->daemon);
	if (MHD_get_timeout(server->daemon, &timeout_ms) == MHD_YES)
		pump_in(server, timeout_ms * RJ_US_PER_MS);
	else
		TALLOC_FREE(server->timer);
}

static void epoll_ready(struct tevent_context *ev, struct tevent_fd *fde,
			uint16_t flags, void *private_data)
{
	pump(private_data);
}

/* Keep `length` more bytes of the body, or note that it is too large. */
static void take_body(struct rj_http_request *request, const char *data,
		      size_t length)
{
	if (request->body.length + length >
	    request->server->options.body_max_bytes)
		request->too_large = true;
	if (!request->too_large)
		rj_buffer_append(&request->body, request, data, length);
}

/*
 * Whether the client of an open request has closed its connection.
 */
bool rj_http_request_gone(const struct rj_http_request *request)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	char byte;
	ssize_t got = recv(info->connect_fd, &byte, sizeof(byte),
			   MSG_PEEK | MSG_DONTWAIT);

	return !got || (got < 0 && errno != EAGAIN && errno != EINTR);
}

/*
 * Abort the requests whose clients have gone.
 *
 * Guards against connections that are never given back: libmicrohttpd does
 * not watch a suspended connection, so that the limit would fill up with
 * clients that timed out. A closed connection reads as ended, which a look
 * at intervals finds.
 */
static void abort_gone(struct tevent_context *ev, struct tevent_timer *timer,
		       struct timeval now, void *private_data)
{
	struct rj_http_server *server = private_data;
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &server->open) {
		struct rj_http_request *request =
			RJ_CONTAINER(at, struct rj_http_request, link);

		if (rj_http_request_gone(request))
			rj_http_request_abort(request);
	}
	server->gone_timer = NULL;
	watch_gone(server);
}

/* Look again later, while any request is open. */
static void watch_gone(struct rj_http_server *server)
{
	if (server->gone_timer || server->open.next == &server->open)
		return;
	server->gone_timer = tevent_add_timer(
		server->ev, server->mem, rj_clock_timeval_in(GONE_CHECK_US),
		abort_gone, server);
	assert(server->gone_timer);
}

static int request_destructor(struct rj_http_request *request)
{
	rj_list_remove(&request->link);
	if (request->response)
		MHD_destroy_response(request->response);
	return 0;
}

static struct rj_http_request *request_new(struct rj_http_server *server,
					   struct MHD_Connection *connection,
					   const char *path, const char *method)
{
	struct rj_http_request *request =
		talloc_zero(server->mem, struct rj_http_request);

	assert(request);
	rj_list_init(&request->link);
	request->server = server;
	request->connection = connection;
	request->path = talloc_strdup(request, path);
	request->method = talloc_strdup(request, method);
	talloc_set_destructor(request, request_destructor);
	return request;
}

static void handle(struct rj_http_request *request)
{
	struct rj_http_server *server = request->server;

	request->handled = true;
	rj_list_append(&server->open, &request->link);
	if (!request->body.data)
		take_body(request, "", 0);
	if (request->too_large)
		rj_http_request_error(request, MHD_HTTP_CONTENT_TOO_LARGE,
				      "body: too large; send a smaller one");
	else
		server->options.handle(server->options.private_data, request);
}

/*
 * libmicrohttpd calls this when the headers are read, for each part of the
 * body, when the request is whole, and again after a resume.
 */
static enum MHD_Result
access_handler(void *cls, struct MHD_Connection *connection, const char *url,
	       const char *method, const char *version, const char *upload_data,
	       size_t *upload_data_size, void **con_cls)
{
	struct rj_http_request *request = *con_cls;
	enum MHD_Result queued;

	if (!request) {
		*con_cls = request_new(cls, connection, url, method);
		return MHD_YES;
	}
	if (*upload_data_size) {
		take_body(request, upload_data, *upload_data_size);
		*upload_data_size = 0;
		return MHD_YES;
	}
	if (!request->handled)
		handle(request);
	if (request->aborted)
		return MHD_NO;
	if (!request->response) {
		if (!request->suspended)
			MHD_suspend_connection(connection);
		request->suspended = true;
		watch_gone(request->server);
		return MHD_YES;
	}
	queued = MHD_queue_response(connection, request->status,
				    request->response);
	MHD_destroy_response(request->response);
	request->response = NULL;
	return queued;
}

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

static enum MHD_Result accept_policy(void *cls, const struct sockaddr *address,
				     socklen_t length)
{
	const struct rj_http_server *server = cls;

	return server->connections < server->options.connections_max ? MHD_YES :
								       MHD_NO;
}

/* The socket address of `address`, or -1 when its IP number is not one. */
static int socket_address(const struct rj_address *address,
			  struct sockaddr_storage *storage, socklen_t *length)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)storage;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)storage;

	memset(storage, 0, sizeof(*storage));
	if (inet_pton(AF_INET, address->ip, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(address->port);
		*length = sizeof(*v4);
		return 0;
	}
	if (inet_pton(AF_INET6, address->ip, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(address->port);
		*length = sizeof(*v6);
		return 0;
	}
	return -1;
}

/* A listening socket on server->address, whose port is filled in. */
static int listen_on(struct rj_http_server *server, struct rj_error *err)
{
	struct rj_address *address = &server->address;
	struct sockaddr_storage storage;
	socklen_t length;
	int yes = 1;
	int fd;

	if (socket_address(address, &storage, &length))
		return rj_error_set(err, RJ_ERR_INVALID,
				    "address: \"%s\" is not an IP number; "
				    "give one such as 127.0.0.1",
				    address->ip);
	fd = socket(storage.ss_family,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		goto fail;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
	if (bind(fd, (struct sockaddr *)&storage, length) ||
	    listen(fd, LISTEN_BACKLOG) ||
	    getsockname(fd, (struct sockaddr *)&storage, &length))
		goto fail;
	if (storage.ss_family == AF_INET)
		address->port =
			ntohs(((struct sockaddr_in *)&storage)->sin_port);
	else
		address->port =
			ntohs(((struct sockaddr_in6 *)&storage)->sin6_port);
	return fd;

fail:
	rj_error_set(err, RJ_ERR_IO,
		     "address: cannot listen on %s port %u (%s); choose a "
		     "free port or 0 for any",
		     address->ip, address->port, strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

/*
 * Listen on options->address and serve it from `ev`. server->address then
 * has the port. Returns 0, or -1 with `err` when the address cannot be had.
 */
int rj_http_server_init(struct rj_http_server *server, void *mem,
			struct tevent_context *ev,
			const struct rj_http_server_options *options,
			struct rj_error *err)
{
	const union MHD_DaemonInfo *info;
	int fd;

	memset(server, 0, sizeof(*server));
	server->options = *options;
	server->address = options->address;
	server->ev = ev;
	rj_list_init(&server->open);
	fd = listen_on(server, err);
	if (fd < 0)
		return -1;
	server->mem = talloc_named_const(mem, 0, "http server");
	assert(server->mem);
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, accept_policy,
		server, access_handler, server, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_CONNECTION_LIMIT,
		options->connections_max + REFUSAL_ROOM,
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
	info = MHD_get_daemon_info(server->daemon,
				   MHD_DAEMON_INFO_EPOLL_FD_LINUX_ONLY);
	assert(info);
	if (!tevent_add_fd(ev, server->mem, info->epoll_fd, TEVENT_FD_READ,
			   epoll_ready, server))
		assert(0);
	return 0;
}

/*
 * The value of a header, or NULL; it lives as long as the request.
 */
const char *rj_http_request_header(struct rj_http_request *request,
				   const char *name)
{
	return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
					   name);
}

/*
 * The value of a query argument, or NULL; it lives as long as the request.
 */
const char *rj_http_request_argument(struct rj_http_request *request,
				     const char *name)
{
	return MHD_lookup_connection_value(request->connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

/* Wake a suspended request, so that access_handler sends its answer. */
static void resume(struct rj_http_request *request)
{
	rj_list_remove(&request->link);
	if (!request->suspended)
		return;
	request->suspended = false;
	MHD_resume_connection(request->connection);
	pump_in(request->server, 0);
}

/*
 * Answer with `length` bytes of JSON, which are copied. Once a request; the
 * answer to an aborted one is dropped.
 */
void rj_http_request_answer(struct rj_http_request *request,
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
	request->status = status;
	resume(request);
}

/*
 * Answer with {"error": message}; the message names the remedy.
 */
void rj_http_request_error(struct rj_http_request *request, unsigned int status,
			   const char *message)
{
	json_t *object = json_pack("{s:s}", "error", message);
	char *text = json_dumps(object, JSON_COMPACT);

	assert(text);
	rj_http_request_answer(request, status, text, strlen(text));
	free(text);
	json_decref(object);
}

/*
 * Close the connection without an answer.
 */
void rj_http_request_abort(struct rj_http_request *request)
{
	assert(!request->response);
	if (request->aborted)
		return;
	request->aborted = true;
	resume(request);
}

/*
 * Abort every request that waits for its answer, but for `except`.
 */
void rj_http_server_abort_open(struct rj_http_server *server,
			       const struct rj_http_request *except)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &server->open) {
		struct rj_http_request *request =
			RJ_CONTAINER(at, struct rj_http_request, link);

		if (request != except)
			rj_http_request_abort(request);
	}
}

/*
 * Close all connections, without answers to what is open, and stop
 * listening. Not from within a handler.
 */
void rj_http_server_finish(struct rj_http_server *server)
{
	if (!server->daemon)
		return;
	rj_http_server_abort_open(server, NULL);
	MHD_stop_daemon(server->daemon);
	server->daemon = NULL;
	TALLOC_FREE(server->mem);
}
