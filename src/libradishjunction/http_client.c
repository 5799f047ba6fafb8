#include "private/http_client.h"

#include <assert.h>
#include <string.h>
#include <sys/epoll.h>
#include <talloc.h>
#include <unistd.h>

#include "private/buffer.h"
#include "private/clock.h"

/* Default limit of connections kept open to all hosts together. */
#define CACHED_CONNECTIONS_MAX 2048L
/*
 * Interval of TCP keepalive probes. Guards against a host that is replaced at
 * its address while a call waits for its response: without probes the call
 * would occupy its connection until its timeout, and a few such calls would
 * occupy all connections allowed to the new host, which answers the first
 * probe with a reset.
 */
#define KEEPALIVE_S 5L
/* Handles kept for reuse: an owner completes about as many calls at a time. */
#define IDLE_HANDLES_MAX 64

/* Sockets served in one turn of the event loop. */
#define SOCKETS_PER_TURN 32
/* Delay of transfers that are past their deadline while sockets that are ready
 * have not been served. */
#define DRAIN_RETRY_US (2 * RJ_US_PER_MS)

const char *const rj_http_outcome_string[RJ_HTTP_OUTCOME_COUNT] = {
	[RJ_HTTP_ANSWERED] = "answered",
	[RJ_HTTP_NOT_SENT] = "not_sent",
	[RJ_HTTP_NO_CONNECTION] = "no_connection",
	[RJ_HTTP_LOST] = "lost",
};

struct transfer {
	struct rj_list link; /* in the client's `transfers` */
	struct rj_http_client *client;
	uint64_t timeout_us;
	uint64_t deadline_us;
	GSequenceIter *deadline_iter;
	CURL *easy;
	struct curl_slist *headers; /* NULL: uses the client's */
	char *body;
	size_t length;
	size_t sent; /* bytes of the body passed to libcurl */
	bool has_body;
	struct rj_buffer response;
	size_t response_max_bytes;
	bool too_long;
	uint64_t identity; /* of the server process; 0: any */
	bool no_connection; /* none leads to that process */
	bool succeeded;
	struct rj_http_opened opened; /* the last one for this transfer */
	struct rj_http_connection_use connection;
	void (*done)(void *private_data, const struct rj_http_result *result);
	void *private_data;
};

/* Take an idle handle or create one. */
static CURL *acquire_handle(struct rj_http_client *client)
{
	CURL *easy;

	if (client->idle_handles->len)
		return g_ptr_array_steal_index_fast(
			client->idle_handles, client->idle_handles->len - 1);
	easy = curl_easy_init();
	assert(easy);
	return easy;
}

/*
 * Reset the options of a handle and keep it for reuse, unless its transfer did
 * not succeed. A retry that libcurl has given up leaves the request to rewind
 * the body behind, which a reset does not clear, and the next transfer fails.
 */
static void release_handle(struct rj_http_client *client, CURL *easy,
			   bool succeeded)
{
	if (!succeeded || client->idle_handles->len >= IDLE_HANDLES_MAX) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	g_ptr_array_add(client->idle_handles, easy);
}

/* Detach the handle from libcurl's multi handle and keep it for reuse. */
static int transfer_destructor(struct transfer *transfer)
{
	rj_list_remove(&transfer->link);
	g_sequence_remove(transfer->deadline_iter);
	curl_multi_remove_handle(transfer->client->multi, transfer->easy);
	release_handle(transfer->client, transfer->easy, transfer->succeeded);
	curl_slist_free_all(transfer->headers);
	return 0;
}

/* Earliest first. */
static gint compare_deadlines(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct transfer *left = a;
	const struct transfer *right = b;

	return left->deadline_us < right->deadline_us ? -1 :
	       left->deadline_us > right->deadline_us ? 1 :
							0;
}

/*
 * Start the time limit for the response, as the request is being sent.
 *
 * Guards against counting the time in which a request waited for this process,
 * or for a connection, against the server.
 */
static void restart_deadline(struct transfer *transfer)
{
	transfer->deadline_us = rj_clock_now_us() + transfer->timeout_us;
	g_sequence_sort_changed(transfer->deadline_iter, compare_deadlines,
				NULL);
}

/*
 * libcurl read callback: copy the next part of the body.
 *
 * Guards against libcurl sending a request twice. When a reused connection is
 * closed before the response, libcurl repeats the request on a new one, and an
 * append that had taken effect would be in the log twice. No seek callback is
 * set, so libcurl cannot rewind a body that was partly read; it fails the
 * transfer, which is reported as lost.
 */
static size_t read_body(char *buffer, size_t size, size_t count,
			void *private_data)
{
	struct transfer *transfer = private_data;
	size_t left = transfer->length - transfer->sent;
	size_t part = size * count < left ? size * count : left;

	if (!transfer->sent)
		restart_deadline(transfer);
	memcpy(buffer, transfer->body + transfer->sent, part);
	transfer->sent += part;
	return part;
}

/*
 * libcurl write callback: store a part of the response. A short count makes
 * libcurl fail the transfer.
 */
static size_t write_response(char *data, size_t size, size_t count,
			     void *private_data)
{
	struct transfer *transfer = private_data;
	size_t length = size * count;

	if (transfer->response.length + length > transfer->response_max_bytes) {
		transfer->too_long = true;
		return 0;
	}
	rj_buffer_append(&transfer->response, transfer, data, length);
	return length;
}

/* libcurl callback: open a socket for a new connection. Nobody knows yet to
 * which process it will lead. */
static curl_socket_t open_socket(void *private_data, curlsocktype purpose,
				 struct curl_sockaddr *address)
{
	struct transfer *transfer = private_data;

	if (transfer->identity) {
		transfer->no_connection = true;
		return CURL_SOCKET_BAD;
	}
	transfer->opened = rj_http_connections_open(
		&transfer->client->connections, address);
	return transfer->opened.fd;
}

/* libcurl callback: close a socket. */
static int close_socket(void *private_data, curl_socket_t fd)
{
	struct rj_http_client *client = private_data;

	return rj_http_connections_close(&client->connections, fd);
}

/*
 * libcurl callback: the request is about to be sent over a connection.
 *
 * A connection ends with the process at its other end, so that a request cannot
 * reach a process that was started later at the same address.
 */
static int before_request(void *private_data, char *remote_ip, char *local_ip,
			  int remote_port, int local_port)
{
	struct transfer *transfer = private_data;
	struct rj_http_route route = { .remote_port = (uint32_t)remote_port,
				       .local_port = (uint32_t)local_port };

	g_strlcpy(route.remote_ip, remote_ip, sizeof(route.remote_ip));
	transfer->connection = rj_http_connections_use(
		&transfer->client->connections, &route, &transfer->opened);
	transfer->opened.number = 0;
	if (!transfer->identity ||
	    transfer->connection.identity == transfer->identity)
		return CURL_PREREQFUNC_OK;
	transfer->no_connection = true;
	return CURL_PREREQFUNC_ABORT;
}

/* Call `done` with the result of a transfer and free the transfer. */
static void finish_transfer(struct transfer *transfer, CURLcode code)
{
	struct rj_http_result result = { .outcome = RJ_HTTP_LOST };
	long status = 0;

	transfer->succeeded = code == CURLE_OK;
	if (code == CURLE_OK) {
		curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE,
				  &status);
		result.outcome = RJ_HTTP_ANSWERED;
		result.status = (uint32_t)status;
		result.body =
			transfer->response.data ? transfer->response.data : "";
		result.length = transfer->response.length;
	} else if (transfer->no_connection && !transfer->sent) {
		result.outcome = RJ_HTTP_NO_CONNECTION;
	} else if (transfer->has_body && !transfer->sent) {
		/* None of the body was sent, and a server does not act on a
		 * request without its body. */
		result.outcome = RJ_HTTP_NOT_SENT;
	}
	result.too_long = transfer->too_long;
	result.connection = transfer->connection;
	rj_list_remove(&transfer->link);
	transfer->done(transfer->private_data, &result);
	talloc_free(transfer);
}

/* Report the transfers that libcurl has completed. */
static void report_completed(struct rj_http_client *client)
{
	struct transfer *transfer;
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(client->multi, &left))) {
		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  &transfer);
		finish_transfer(transfer, message->data.result);
	}
}

/*
 * Pass the events of a bounded number of sockets to libcurl, and finish
 * completed transfers.
 *
 * An error of a socket counts as an event of either kind, so that libcurl finds
 * out about a refused connection at once.
 */
static void serve_sockets(struct rj_http_client *client)
{
	struct epoll_event events[SOCKETS_PER_TURN];
	uint64_t now_us = rj_clock_now_us();
	int count = epoll_wait(client->epoll_fd, events, SOCKETS_PER_TURN, 0);

	for (int i = 0; i < count; i++) {
		uint32_t ready = events[i].events;
		int mask = 0;
		int running;

		if (ready & (EPOLLIN | EPOLLERR | EPOLLHUP))
			mask |= CURL_CSELECT_IN;
		if (ready & (EPOLLOUT | EPOLLERR | EPOLLHUP))
			mask |= CURL_CSELECT_OUT;
		curl_multi_socket_action(client->multi, events[i].data.fd, mask,
					 &running);
	}
	if (count < SOCKETS_PER_TURN)
		client->drained_us = now_us;
	report_completed(client);
}

static void arm_deadlines(struct rj_http_client *client);

/*
 * Whether a transfer has failed because its deadline has passed.
 *
 * Its response may have arrived while this process was busy, so a deadline
 * counts only once all sockets that were ready after it have been served. A
 * client that never gets that far waits for one more time limit.
 */
static bool has_expired(const struct transfer *transfer, uint64_t now_us)
{
	if (now_us < transfer->deadline_us)
		return false;
	return transfer->deadline_us <= transfer->client->drained_us ||
	       now_us >= transfer->deadline_us + transfer->timeout_us;
}

/* Report the transfers that have expired as failed. */
static void deadline_due(struct tevent_context *ev, struct tevent_timer *timer,
			 struct timeval now, void *private_data)
{
	struct rj_http_client *client = private_data;
	uint64_t now_us;

	client->deadline_timer = NULL;
	client->deadline_us = RJ_NEVER_US;
	serve_sockets(client);
	now_us = rj_clock_now_us();
	while (!g_sequence_is_empty(client->deadlines)) {
		struct transfer *first = g_sequence_get(
			g_sequence_get_begin_iter(client->deadlines));

		if (!has_expired(first, now_us))
			break;
		finish_transfer(first, CURLE_OPERATION_TIMEDOUT);
	}
	arm_deadlines(client);
}

/*
 * Set the timer to the earliest deadline.
 *
 * One timer serves all transfers: tevent keeps its timers in a sorted list,
 * and with one per call, each new timer would walk past those of a thousand
 * open calls. libcurl's own timeout does not cover a call that waits for a
 * connection.
 */
static void arm_deadlines(struct rj_http_client *client)
{
	const struct transfer *first;
	uint64_t now_us;
	uint64_t delay_us;

	if (g_sequence_is_empty(client->deadlines))
		return;
	first = g_sequence_get(g_sequence_get_begin_iter(client->deadlines));
	if (first->deadline_us >= client->deadline_us)
		return;
	now_us = rj_clock_now_us();
	TALLOC_FREE(client->deadline_timer);
	client->deadline_us = first->deadline_us;
	delay_us = first->deadline_us > now_us ? first->deadline_us - now_us :
						 DRAIN_RETRY_US;
	client->deadline_timer = tevent_add_timer(client->ev, client->mem,
						  rj_clock_timeval_in(delay_us),
						  deadline_due, client);
	assert(client->deadline_timer);
}

/* A socket of the client is ready. */
static void sockets_ready(struct tevent_context *ev, struct tevent_fd *fde,
			  uint16_t flags, void *private_data)
{
	serve_sockets(private_data);
}

/* libcurl socket callback: watch a socket for the requested events. A socket
 * that is watched already has a non-NULL `socket_data`. */
static int socket_callback(CURL *easy, curl_socket_t fd, int what,
			   void *private_data, void *socket_data)
{
	struct rj_http_client *client = private_data;
	struct epoll_event event = { .data.fd = fd };
	int status;

	if (what == CURL_POLL_REMOVE) {
		/* A socket that libcurl has closed is not in the set. */
		(void)epoll_ctl(client->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		curl_multi_assign(client->multi, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		event.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		event.events |= EPOLLOUT;
	status = epoll_ctl(client->epoll_fd,
			   socket_data ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd,
			   &event);
	assert(!status);
	(void)status;
	curl_multi_assign(client->multi, fd, client);
	return 0;
}

/* The timer that libcurl set with timer_callback has expired. */
static void timer_due(struct tevent_context *ev, struct tevent_timer *timer,
		      struct timeval now, void *private_data)
{
	struct rj_http_client *client = private_data;
	int running;

	client->timer = NULL;
	curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0,
				 &running);
	report_completed(client);
}

/* libcurl timer callback; a timeout of -1 deletes the timer. */
static int timer_callback(CURLM *multi, long timeout_ms, void *private_data)
{
	struct rj_http_client *client = private_data;

	TALLOC_FREE(client->timer);
	if (timeout_ms < 0)
		return 0;
	client->timer = tevent_add_timer(
		client->ev, client->mem,
		rj_clock_timeval_in((uint64_t)timeout_ms * RJ_US_PER_MS),
		timer_due, client);
	assert(client->timer);
	return 0;
}

/*
 * Add `header`, such as "Name: value", to every further request.
 */
void rj_http_client_add_header(struct rj_http_client *client,
			       const char *header)
{
	struct curl_slist *headers = curl_slist_append(client->headers, header);

	assert(headers);
	client->headers = headers;
}

/*
 * Limit the connections to one address and port. Connections above the limit
 * that are already open are not closed.
 */
void rj_http_client_set_host_connections_max(struct rj_http_client *client,
					     uint32_t host_connections_max)
{
	curl_multi_setopt(client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)host_connections_max);
}

/*
 * Limit the connections kept open to all hosts together, in use or idle. Each
 * takes a file descriptor and some kilobytes.
 */
void rj_http_client_set_connections_max(struct rj_http_client *client,
					uint32_t connections_max)
{
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
			  (long)connections_max);
}

/*
 * Initialise a client on `ev`. It sends `instance`, unless NULL, as the header
 * X-Instance and opens at most `host_connections_max` connections to one
 * address and port. Returns 0, or -1 with `err` if libcurl is out of memory.
 */
int rj_http_client_init(struct rj_http_client *client, void *mem,
			struct tevent_context *ev, const char *instance,
			uint32_t host_connections_max, struct rj_error *err)
{
	struct tevent_fd *fde;

	memset(client, 0, sizeof(*client));
	client->ev = ev;
	rj_list_init(&client->transfers);
	client->multi = curl_multi_init();
	client->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (!client->multi || client->epoll_fd < 0) {
		curl_multi_cleanup(client->multi);
		client->multi = NULL;
		if (client->epoll_fd >= 0)
			close(client->epoll_fd);
		return rj_error_set(err, RJ_ERR_IO,
				    "http client: out of memory or "
				    "descriptors; free some memory, or raise "
				    "the limit of open files");
	}
	client->mem = talloc_named_const(mem, 0, "http client");
	fde = tevent_add_fd(ev, client->mem, client->epoll_fd, TEVENT_FD_READ,
			    sockets_ready, client);
	assert(client->mem && fde);
	(void)fde;
	client->deadlines = g_sequence_new(NULL);
	client->deadline_us = RJ_NEVER_US;
	client->idle_handles =
		g_ptr_array_new_with_free_func(curl_easy_cleanup);
	rj_http_connections_init(&client->connections);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION,
			  socket_callback);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION,
			  timer_callback);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	rj_http_client_set_host_connections_max(client, host_connections_max);
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
			  CACHED_CONNECTIONS_MAX);
	/* An empty Expect header stops libcurl from awaiting "100 Continue". */
	client->headers = curl_slist_append(NULL, "Expect:");
	client->headers = curl_slist_append(client->headers,
					    "Content-Type: application/json");
	if (instance) {
		char *header =
			talloc_asprintf(NULL, "X-Instance: %s", instance);

		rj_http_client_add_header(client, header);
		talloc_free(header);
	}
	assert(client->headers);
	return 0;
}

/* Give the transfer the client's headers, then those of the request. */
static void merge_headers(struct transfer *transfer,
			  const struct rj_http_request *request)
{
	const struct curl_slist *at;

	for (at = transfer->client->headers; at; at = at->next)
		transfer->headers =
			curl_slist_append(transfer->headers, at->data);
	for (uint32_t i = 0; i < request->header_count; i++)
		transfer->headers = curl_slist_append(transfer->headers,
						      request->headers[i]);
	assert(transfer->headers);
}

/* Set all libcurl options of one transfer. */
static void set_options(struct transfer *transfer,
			const struct rj_http_request *request)
{
	CURL *easy = transfer->easy;

	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	if (request->header_count)
		merge_headers(transfer, request);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER,
			 transfer->headers ? transfer->headers :
					     transfer->client->headers);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	/* Ignore the proxy settings of the environment. */
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	/* Never expire cached addresses: they are numeric, and libcurl would
	 * scan its whole cache for expired entries at each call. */
	curl_easy_setopt(easy, CURLOPT_DNS_CACHE_TIMEOUT, -1L);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_S);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_S);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, transfer->client);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_request);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, write_response);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	if (transfer->has_body) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)request->length);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_body);
		curl_easy_setopt(easy, CURLOPT_READDATA, transfer);
	}
	/* Replaces the method that CURLOPT_POST has set. */
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
}

/*
 * Start one request. Everything `request` points to is copied, except
 * private_data, which is moved to the client with talloc_steal(). `done` is
 * called when it ends, unless the client is finished first.
 */
void rj_http_client_send(struct rj_http_client *client,
			 const struct rj_http_request *request)
{
	struct transfer *transfer = talloc_zero(client->mem, struct transfer);

	assert(transfer && request->done);
	rj_list_append(&client->transfers, &transfer->link);
	transfer->client = client;
	transfer->has_body = request->length > 0;
	transfer->body =
		talloc_memdup(transfer, request->body, request->length);
	transfer->length = request->length;
	transfer->response_max_bytes = request->response_max_bytes;
	transfer->identity = request->identity;
	transfer->done = request->done;
	transfer->private_data = talloc_steal(transfer, request->private_data);
	transfer->easy = acquire_handle(client);
	transfer->timeout_us = request->timeout_us;
	transfer->deadline_us = rj_clock_now_us() + request->timeout_us;
	transfer->deadline_iter = g_sequence_insert_sorted(
		client->deadlines, transfer, compare_deadlines, NULL);
	talloc_set_destructor(transfer, transfer_destructor);
	set_options(transfer, request);
	arm_deadlines(client);
	curl_multi_add_handle(client->multi, transfer->easy);
}

/*
 * Record which server process has sent the response to a request. Call it from
 * `done`. Requests for this process may then use the connection; a process that
 * is started later at the same address has connections of its own.
 */
void rj_http_client_identify(struct rj_http_client *client,
			     const struct rj_http_result *result,
			     uint64_t identity)
{
	rj_http_connections_identify(&client->connections, &result->connection,
				     identity);
}

/*
 * The HTTP URL of `path`, which starts with a slash, at `address`; a talloc
 * child of `mem`.
 */
char *rj_http_url(void *mem, const struct rj_address *address, const char *path)
{
	bool v6 = strchr(address->ip, ':');
	char *url = talloc_asprintf(mem, "http://%s%s%s:%u%s", v6 ? "[" : "",
				    address->ip, v6 ? "]" : "", address->port,
				    path);

	assert(url);
	return url;
}

/*
 * Cancel open requests without calling `done` and close all connections. Does
 * nothing for a client that is zeroed, but not initialised.
 */
void rj_http_client_finish(struct rj_http_client *client)
{
	struct rj_list *at;
	struct rj_list *next;

	if (!client->multi)
		return;
	RJ_FOR_EACH (at, next, &client->transfers)
		talloc_free(RJ_CONTAINER(at, struct transfer, link));
	g_sequence_free(client->deadlines);
	g_ptr_array_free(client->idle_handles, TRUE);
	curl_multi_cleanup(client->multi);
	client->multi = NULL;
	rj_http_connections_finish(&client->connections);
	curl_slist_free_all(client->headers);
	TALLOC_FREE(client->mem);
	close(client->epoll_fd);
}
