#include "radishjunction/http_callers.h"

#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "private/caller_request.h"
#include "private/tcp_socket.h"

/* Connections above the limit that are still answered with a refusal. */
#define SPARE_CONNECTIONS 64
/* Holds the largest permitted headers and a piece of the body. */
#define CONNECTION_MEMORY_BYTES (24 * 1024)
/* Header limit in idle timeouts: headers may start just before the connection
 * times out, and take one more idle timeout to arrive. */
#define HEADERS_LIMIT_IDLES 2

/* The request no longer waits for the core. */
static void remove_pending(struct rj_caller_request *request)
{
	g_hash_table_remove(request->state->pending, &request->id);
	TALLOC_FREE(request->disconnect_watch);
}

/* Resume a suspended connection whose answer is set. */
static void resume(struct rj_caller_request *request)
{
	assert(request->suspended && request->answered);
	request->suspended = false;
	MHD_resume_connection(request->connection);
	rj_http_loop_kick(&request->state->loop);
}

static int connection_socket(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	return info->connect_fd;
}

/*
 * The socket of a waiting caller is readable: the caller has disconnected, or
 * has pipelined its next request, which stays in the socket.
 */
static void on_watch(struct tevent_context *loop, struct tevent_fd *event,
		     uint16_t flags, void *private_data)
{
	struct rj_caller_request *request = private_data;
	struct rj_http_callers_state *state = request->state;
	struct rj_event disconnect = { .kind = RJ_EVENT_CALLER_DISCONNECTED };
	char byte;
	ssize_t got = recv(connection_socket(request->connection), &byte, 1,
			   MSG_PEEK | MSG_DONTWAIT);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	TALLOC_FREE(request->disconnect_watch);
	if (got > 0)
		return;
	disconnect.u.request_id = request->id;
	state->metrics.disconnected++;
	remove_pending(request);
	request->status = MHD_HTTP_SERVICE_UNAVAILABLE;
	request->content_type = "text/plain";
	request->answered = true;
	resume(request);
	state->options.sink->deliver(state->options.sink, &disconnect);
}

/* Suspend the connection until the core has answered. */
static void suspend(struct rj_caller_request *request)
{
	struct rj_http_callers_state *state = request->state;

	request->suspended = true;
	MHD_suspend_connection(request->connection);
	request->disconnect_watch =
		tevent_add_fd(state->options.loop, request,
			      connection_socket(request->connection),
			      TEVENT_FD_READ, on_watch, request);
	assert(request->disconnect_watch);
}

/* Queue the response of an answered request. */
static enum MHD_Result respond(struct rj_caller_request *request)
{
	struct rj_http_callers_state *state = request->state;
	struct MHD_Response *response;
	enum MHD_Result result;
	char seconds[24];

	if (request->text)
		response = MHD_create_response_from_buffer(
			request->text_length, request->text,
			MHD_RESPMEM_MUST_FREE);
	else
		response = MHD_create_response_from_buffer(
			0, NULL, MHD_RESPMEM_PERSISTENT);
	if (!response)
		return MHD_NO;
	request->text = NULL;
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
				request->content_type);
	if (request->retry_after_us) {
		snprintf(seconds, sizeof(seconds), "%llu",
			 (unsigned long long)((request->retry_after_us +
					       RJ_US_PER_S - 1) /
					      RJ_US_PER_S));
		MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER,
					seconds);
	}
	if (request->status == MHD_HTTP_UNAUTHORIZED)
		MHD_add_response_header(
			response, MHD_HTTP_HEADER_WWW_AUTHENTICATE, "Bearer");
	if (state->draining || request->over_limit)
		MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION,
					"close");
	result = MHD_queue_response(request->connection, request->status,
				    response);
	MHD_destroy_response(response);
	return result;
}

/* The connection state that on_connection stored. */
static struct rj_caller_connection *
connection_context(struct MHD_Connection *connection)
{
	return MHD_get_connection_info(connection,
				       MHD_CONNECTION_INFO_SOCKET_CONTEXT)
		->socket_context;
}

/*
 * Request callback of libmicrohttpd: called once the headers are complete,
 * for each piece of the body, after the last piece, and again after the
 * connection was resumed.
 */
static enum MHD_Result on_access(void *private_data,
				 struct MHD_Connection *connection,
				 const char *url, const char *method,
				 const char *version, const char *upload,
				 size_t *upload_length, void **slot)
{
	struct rj_http_callers_state *state = private_data;
	struct rj_caller_request *request = *slot;

	state->loop.progress++;
	if (!request) {
		struct rj_caller_connection *peer =
			connection_context(connection);

		if (!peer->over_limit) {
			if (peer->client.state == RJ_CLIENT_GIVING_WAY)
				return MHD_NO;
			rj_client_begin(
				&peer->client,
				MHD_lookup_connection_value(
					connection, MHD_HEADER_KIND,
					MHD_HTTP_HEADER_TRANSFER_ENCODING),
				rj_clock_now_us());
		}
		request = rj_caller_request_begin(state, connection, peer,
						  method);
		rj_caller_connection_busy(peer);
		*slot = request;
		if (rj_caller_request_check_headers(request))
			return respond(request);
		return MHD_YES;
	}
	if (*upload_length) {
		size_t length = *upload_length;

		*upload_length = 0;
		if (rj_caller_request_append_body(request, upload, length))
			return MHD_NO;
		/* A body sent byte by byte never triggers the idle timeout. */
		if (rj_clock_now_us() - request->headers_received_us >
		    state->options.idle_timeout_s * RJ_US_PER_S)
			return MHD_NO;
		return MHD_YES;
	}
	if (!request->answered) {
		if (request->peer->client.state == RJ_CLIENT_GIVING_WAY)
			return MHD_NO;
		rj_client_complete(&request->peer->client, rj_clock_now_us());
		rj_caller_request_dispatch(request, url, method);
	}
	if (request->answered)
		return respond(request);
	suspend(request);
	return MHD_YES;
}

/* The answer was sent completely, or the connection ended before that. */
static void on_completed(void *private_data, struct MHD_Connection *connection,
			 void **slot, enum MHD_RequestTerminationCode code)
{
	TALLOC_FREE(*slot);
	rj_caller_connection_idle(connection_context(connection));
}

/* See struct rj_client. */
static void give_way(struct rj_client *client)
{
	struct rj_caller_connection *connection =
		(struct rj_caller_connection *)client;

	if (connection->request)
		rj_buffer_clear(&connection->request->body);
}

/* See struct rj_http_loop. */
static void stalled(void *private_data, uint64_t busy_since_us)
{
	struct rj_http_callers_state *state = private_data;

	rj_client_budget_end_stall(&state->budget, &state->connections.listener,
				   busy_since_us, rj_clock_now_us());
}

/* Run the daemon from the event loop. */
static void start_loop(struct rj_http_callers_state *state)
{
	rj_http_loop_init(&state->loop, state, state->options.loop,
			  state->daemon);
	state->loop.stalled = stalled;
	state->loop.private_data = state;
}

/* Track connections; one above the limit is marked, to be refused. */
static void on_connection(void *private_data, struct MHD_Connection *connection,
			  void **slot, enum MHD_ConnectionNotificationCode code)
{
	struct rj_http_callers_state *state = private_data;

	state->loop.progress++;
	if (code == MHD_CONNECTION_NOTIFY_CLOSED)
		rj_caller_connection_close(*slot);
	else
		*slot = rj_caller_connection_open(&state->connections,
						  connection_socket(connection),
						  give_way);
}

/* See rj_callers_ops. */
static void callers_answer(struct rj_callers *base, uint64_t request_id,
			   const struct rj_answer *answer)
{
	struct rj_http_callers *callers = (struct rj_http_callers *)base;
	struct rj_caller_request *request =
		g_hash_table_lookup(callers->state->pending, &request_id);

	if (!request)
		return;
	remove_pending(request);
	rj_caller_request_answer(request, answer, NULL);
	if (request->suspended)
		resume(request);
}

/* Answer all requests that wait for the core and will not be answered. */
static void abandon_pending(struct rj_http_callers_state *state)
{
	struct rj_caller_request *request;
	GHashTableIter iterator;

	g_hash_table_iter_init(&iterator, state->pending);
	while (g_hash_table_iter_next(&iterator, NULL, (void **)&request)) {
		g_hash_table_iter_remove(&iterator);
		TALLOC_FREE(request->disconnect_watch);
		rj_caller_request_abandon(request);
		if (request->suspended)
			resume(request);
	}
}

/* Resume all suspended connections, as libmicrohttpd requires, and stop. */
static void callers_finish(struct rj_callers *base)
{
	struct rj_http_callers *callers = (struct rj_http_callers *)base;
	struct rj_http_callers_state *state = callers->state;

	abandon_pending(state);
	MHD_run(state->daemon);
	rj_http_loop_finish(&state->loop);
	MHD_stop_daemon(state->daemon);
	g_hash_table_destroy(state->pending);
	TALLOC_FREE(callers->state);
}

static const struct rj_callers_ops http_callers_ops = {
	.name = "http",
	.answer = callers_answer,
	.finish = callers_finish,
};

/* Redirect the messages of libmicrohttpd to the log. */
static void on_library_log(void *private_data, const char *format, va_list args)
	__attribute__((format(printf, 2, 0)));

static void on_library_log(void *private_data, const char *format, va_list args)
{
	g_logv("libmicrohttpd", G_LOG_LEVEL_DEBUG, format, args);
}

/* Connections of callers: what the options allow, and the budget. */
static uint32_t connections_max(const struct rj_http_callers_state *state)
{
	uint32_t borne = rj_client_budget_connections(&state->budget);

	return MIN(state->options.connections_max, MAX(borne, 1));
}

/* Start the HTTP daemon on `listener`; on success the daemon owns it. */
static struct MHD_Daemon *start_daemon(struct rj_http_callers_state *state,
				       int listener)
{
	const struct rj_http_callers_options *options = &state->options;

	return MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0,
		NULL, NULL, on_access, state, MHD_OPTION_EXTERNAL_LOGGER,
		on_library_log, NULL, MHD_OPTION_LISTEN_SOCKET, listener,
		MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)connections_max(state) + SPARE_CONNECTIONS,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)options->idle_timeout_s,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, state,
		MHD_OPTION_END);
}

/*
 * Listen for callers. The state is a talloc child of `mem`.
 *
 * Returns 0, or -1 with `err` of kind RJ_ERR_INVALID (the address) or
 * RJ_ERR_IO (the port is taken, or the daemon did not start).
 */
int rj_http_callers_init(struct rj_http_callers *callers, void *mem,
			 const struct rj_http_callers_options *options,
			 struct rj_error *err)
{
	struct rj_http_callers_state *state =
		talloc_zero(mem, struct rj_http_callers_state);
	int listener;

	assert(state);
	state->options = *options;
	state->random = options->seed;
	rj_client_budget_init(&state->budget, options->memory_bytes,
			      UINT32_MAX);
	rj_caller_connections_init(
		&state->connections, state, options->loop, &state->budget,
		connections_max(state),
		HEADERS_LIMIT_IDLES * options->idle_timeout_s * RJ_US_PER_S);
	listener = rj_tcp_listen(&options->address, &state->bound_address, err);
	if (listener < 0)
		goto free_state;
	rj_tcp_limit_receive_buffer(listener);
	state->daemon = start_daemon(state, listener);
	if (!state->daemon) {
		rj_error_set(err, RJ_ERR_IO,
			     "callers: the HTTP daemon did not start; raise "
			     "the limit of open files");
		goto close_listener;
	}
	state->pending = g_hash_table_new(g_int64_hash, g_int64_equal);
	if (!options->deferred)
		start_loop(state);
	callers->base.ops = &http_callers_ops;
	callers->state = state;
	return 0;

close_listener:
	close(listener);
free_state:
	talloc_free(state);
	return -1;
}

/*
 * Start serving, if the options deferred it.
 *
 * A balancer that does not check readiness may send callers to an instance
 * that has no configuration yet. Until this call they wait in the listen
 * backlog instead of being refused with "not run".
 */
void rj_http_callers_serve(struct rj_http_callers *callers)
{
	struct rj_http_callers_state *state = callers->state;

	if (!state->loop.daemon)
		start_loop(state);
}

/*
 * The address on which callers are served, with the assigned port.
 */
struct rj_address rj_http_callers_address(const struct rj_http_callers *callers)
{
	return callers->state->bound_address;
}

/*
 * Report not ready from now on and close each connection after its answer, so
 * that callers move to other instances.
 */
void rj_http_callers_drain(struct rj_http_callers *callers)
{
	callers->state->draining = true;
}

/*
 * Accept no more connections; established ones are still served.
 *
 * A caller whose connection is refused can safely retry at another instance;
 * one whose connection is reset after it sent its request cannot. Connections
 * already in the listen backlog are therefore accepted first.
 */
void rj_http_callers_stop_listening(struct rj_http_callers *callers)
{
	MHD_socket listener;

	MHD_run(callers->state->daemon);
	listener = MHD_quiesce_daemon(callers->state->daemon);
	if (listener != MHD_INVALID_SOCKET)
		close(listener);
	rj_http_loop_kick(&callers->state->loop);
}

/*
 * Deliver no more events to the core: pending requests are answered `unknown`
 * and later requests are refused.
 *
 * Without this, the core would ignore requests that arrive while the last
 * answers are sent, and their callers would never get an answer.
 */
void rj_http_callers_stop_dispatch(struct rj_http_callers *callers)
{
	callers->state->dispatch_stopped = true;
	abandon_pending(callers->state);
}

/*
 * The number of requests whose answer has not been sent completely, without
 * those of whose bodies little has arrived lately.
 */
uint32_t rj_http_callers_open_requests(const struct rj_http_callers *callers)
{
	const struct rj_http_callers_state *state = callers->state;
	uint32_t stalled = rj_client_listener_stalled(
		&state->connections.listener, rj_clock_now_us());

	return state->open - MIN(stalled, state->open);
}

/*
 * The number of open connections, including those without a request.
 */
uint32_t rj_http_callers_connections(const struct rj_http_callers *callers)
{
	return callers->state->connections.count;
}
