#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "http_server.h"
#include "private/clock.h"
#include "private/http_client.h"

#define LONG_US (60 * RJ_US_PER_S)
#define SHORT_US (20 * RJ_US_PER_MS)
#define ANSWER_MAX_BYTES 64
/* Calls of which the answers arrive at the same time, and the most of them that
 * a turn of the loop may take. */
#define PARALLEL_CALLS 100
#define PARALLEL_PER_TURN_MAX 32
/* Bound for a call of SHORT_US on a busy client, with time for a slow machine. */
#define BUSY_LOST_MAX_US (2 * RJ_US_PER_S)

/* How the server handles the next requests. */
enum behaviour { ANSWER, CLOSE, KEEP, ANSWER_LONG };

struct fixture {
	struct tevent_context *ev;
	struct rj_http_server server;
	struct rj_http_client client;
	enum behaviour behaviour;
	uint32_t received; /* requests at the server */
	uint32_t ended; /* calls of done */
	struct rj_http_result result; /* of the last call */
	char text[ANSWER_MAX_BYTES + 1];
};

static void receive(void *private_data, struct rj_http_exchange *request)
{
	struct fixture *fixture = private_data;
	char text[2 * ANSWER_MAX_BYTES];

	fixture->received++;
	memset(text, 'x', sizeof(text));
	if (fixture->behaviour == CLOSE)
		rj_http_exchange_abort(request);
	else if (fixture->behaviour == ANSWER)
		rj_http_exchange_answer(request, MHD_HTTP_OK,
					request->body.data,
					request->body.length);
	else if (fixture->behaviour == ANSWER_LONG)
		rj_http_exchange_answer(request, MHD_HTTP_OK, text,
					sizeof(text));
}

static void set_up(struct fixture *fixture, gconstpointer data)
{
	struct rj_http_server_options options = {
		.address = { "127.0.0.1", 0 },
		.connections_max = 2,
		.body_max_bytes = 1024,
		.handle = receive,
		.private_data = fixture,
	};

	memset(fixture, 0, sizeof(*fixture));
	fixture->ev = tevent_context_init(NULL);
	g_assert_cmpint(rj_http_server_init(&fixture->server, fixture->ev,
					    fixture->ev, &options, NULL),
			==, 0);
	g_assert_cmpint(rj_http_client_init(&fixture->client, fixture->ev,
					    fixture->ev, "entry-1", 1, NULL),
			==, 0);
}

static void tear_down(struct fixture *fixture, gconstpointer data)
{
	rj_http_client_finish(&fixture->client);
	rj_http_server_finish(&fixture->server);
	talloc_free(fixture->ev);
}

static void done(void *private_data, const struct rj_http_result *result)
{
	struct fixture *fixture = *(struct fixture **)private_data;

	fixture->ended++;
	fixture->result = *result;
	if (result->outcome == RJ_HTTP_ANSWERED) {
		g_assert_cmpuint(result->length, <=, ANSWER_MAX_BYTES);
		memcpy(fixture->text, result->body, result->length + 1);
	}
}

static void send_call(struct fixture *fixture, const struct rj_address *address,
		      const char *body, uint64_t timeout_us,
		      size_t response_max_bytes)
{
	struct fixture **data = talloc(NULL, struct fixture *);
	struct rj_http_request send = {
		.method = "POST",
		.body = body,
		.length = strlen(body),
		.timeout_us = timeout_us,
		.response_max_bytes = response_max_bytes,
		.done = done,
		.private_data = data,
	};

	*data = fixture;
	send.url = rj_http_url(data, address, "/path");
	rj_http_client_send(&fixture->client, &send);
}

static void post_to(struct fixture *fixture, const struct rj_address *address,
		    const char *body, uint64_t timeout_us)
{
	send_call(fixture, address, body, timeout_us, ANSWER_MAX_BYTES);
}

static void post(struct fixture *fixture, const char *body, uint64_t timeout_us)
{
	post_to(fixture, &fixture->server.address, body, timeout_us);
}

static void wait_for(struct fixture *fixture, uint32_t ended)
{
	while (fixture->ended < ended)
		tevent_loop_once(fixture->ev);
}

static void assert_outcome(struct fixture *fixture,
			   enum rj_http_outcome outcome)
{
	g_assert_cmpstr(rj_http_outcome_string[fixture->result.outcome], ==,
			rj_http_outcome_string[outcome]);
}

static void test_answer_is_whole(struct fixture *fixture, gconstpointer data)
{
	post(fixture, "one", LONG_US);
	wait_for(fixture, 1);
	assert_outcome(fixture, RJ_HTTP_ANSWERED);
	g_assert_cmpstr(fixture->text, ==, "one");
	post(fixture, "two", LONG_US);
	wait_for(fixture, 2);
	g_assert_cmpstr(fixture->text, ==, "two");
	g_assert_cmpuint(fixture->server.connections, ==, 1);
}

/*
 * A request on a kept connection must not be sent again when the connection
 * ends before the answer: libcurl retries by default, which appends a claim to
 * the log twice.
 */
static void test_lost_answer_is_not_sent_again(struct fixture *fixture,
					       gconstpointer data)
{
	post(fixture, "one", LONG_US);
	wait_for(fixture, 1);
	fixture->behaviour = CLOSE;
	post(fixture, "two", LONG_US);
	wait_for(fixture, 2);
	assert_outcome(fixture, RJ_HTTP_LOST);
	g_assert_cmpuint(fixture->received, ==, 2);
	fixture->behaviour = ANSWER;
	post(fixture, "three", LONG_US);
	wait_for(fixture, 3);
	assert_outcome(fixture, RJ_HTTP_ANSWERED);
	g_assert_cmpuint(fixture->received, ==, 3);
}

static void test_timeout_is_lost(struct fixture *fixture, gconstpointer data)
{
	fixture->behaviour = KEEP;
	post(fixture, "one", LONG_US);
	while (!fixture->received)
		tevent_loop_once(fixture->ev);
	post(fixture, "two", SHORT_US);
	wait_for(fixture, 1);
	/* The second waits for the only connection: it was never sent. */
	assert_outcome(fixture, RJ_HTTP_NOT_SENT);
	rj_http_server_abort_open(&fixture->server, NULL);
	wait_for(fixture, 2);
	assert_outcome(fixture, RJ_HTTP_LOST);
	/* On a loaded machine the timeout may pass before it is sent. */
	do {
		post(fixture, "three", SHORT_US);
		wait_for(fixture, fixture->ended + 1);
	} while (fixture->result.outcome == RJ_HTTP_NOT_SENT);
	assert_outcome(fixture, RJ_HTTP_LOST);
}

static void test_answer_that_is_too_long_is_lost(struct fixture *fixture,
						 gconstpointer data)
{
	fixture->behaviour = ANSWER_LONG;
	post(fixture, "one", LONG_US);
	wait_for(fixture, 1);
	assert_outcome(fixture, RJ_HTTP_LOST);
}

/* Binds a loopback port without listening, so that connects are refused. */
static int bound_socket(struct rj_address *address)
{
	struct sockaddr_in name = { .sin_family = AF_INET };
	socklen_t length = sizeof(name);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&name, length), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)&name, &length), ==,
			0);
	g_strlcpy(address->ip, "127.0.0.1", sizeof(address->ip));
	address->port = ntohs(name.sin_port);
	return fd;
}

static void test_refused_connect_is_not_sent(struct fixture *fixture,
					     gconstpointer data)
{
	struct rj_address address;
	int fd = bound_socket(&address);

	post_to(fixture, &address, "one", LONG_US);
	wait_for(fixture, 1);
	assert_outcome(fixture, RJ_HTTP_NOT_SENT);
	close(fd);
}

/* Reads the request, sends the head and half of the body, and closes. */
static void answer_half(struct tevent_context *ev, struct tevent_fd *fde,
			uint16_t flags, void *private_data)
{
	static const char half[] = "HTTP/1.1 200 OK\r\n"
				   "Content-Length: 20\r\n\r\n{\"result\":";
	int fd = (int)tevent_fd_get_tag(fde);
	char request[1024];

	g_assert_cmpint(recv(fd, request, sizeof(request), 0), >, 0);
	g_assert_cmpint(write(fd, half, sizeof(half) - 1), >, 0);
	talloc_free(fde);
	close(fd);
}

static const char whole_answer[] = "HTTP/1.1 200 OK\r\n"
				   "Content-Length: 2\r\n\r\n{}";

/* Answers the request, and keeps the process busy until the call's deadline has
 * passed. */
static void answer_before_a_stall(struct tevent_context *ev,
				  struct tevent_fd *fde, uint16_t flags,
				  void *private_data)
{
	int fd = (int)tevent_fd_get_tag(fde);
	uint64_t until_us = rj_clock_now_us() + 2 * SHORT_US;
	char request[1024];

	g_assert_cmpint(recv(fd, request, sizeof(request), 0), >, 0);
	g_assert_cmpint(write(fd, whole_answer, sizeof(whole_answer) - 1), >,
			0);
	while (rj_clock_now_us() < until_us)
		;
	talloc_free(fde);
	close(fd);
}

/* Connections of which the request has been received. */
struct waiting_calls {
	int fds[PARALLEL_CALLS];
	uint32_t count;
};

static void note_request(struct tevent_context *ev, struct tevent_fd *fde,
			 uint16_t flags, void *private_data)
{
	struct waiting_calls *calls = private_data;
	int fd = (int)tevent_fd_get_tag(fde);
	char request[1024];

	g_assert_cmpint(recv(fd, request, sizeof(request), 0), >, 0);
	calls->fds[calls->count++] = fd;
	talloc_free(fde);
}

/* A server of which a test handles each connection. */
struct raw_server {
	struct rj_address address;
	int fd;
	struct tevent_fd *listener;
	tevent_fd_handler_t handler; /* of a connection with a request */
	void *private_data;
};

static void accept_raw(struct tevent_context *ev, struct tevent_fd *fde,
		       uint16_t flags, void *private_data)
{
	struct raw_server *server = private_data;
	int fd = accept(server->fd, NULL, NULL);
	struct tevent_fd *connection =
		tevent_add_fd(ev, ev, fd, TEVENT_FD_READ, server->handler,
			      server->private_data);

	g_assert_nonnull(connection);
	tevent_fd_set_tag(connection, (uint64_t)fd);
}

static void raw_server_init(struct raw_server *server,
			    struct tevent_context *ev,
			    tevent_fd_handler_t handler, void *private_data)
{
	server->fd = bound_socket(&server->address);
	server->handler = handler;
	server->private_data = private_data;
	g_assert_cmpint(listen(server->fd, PARALLEL_CALLS), ==, 0);
	server->listener = tevent_add_fd(ev, ev, server->fd, TEVENT_FD_READ,
					 accept_raw, server);
	g_assert_nonnull(server->listener);
}

static void raw_server_finish(struct raw_server *server)
{
	talloc_free(server->listener);
	close(server->fd);
}

/* Makes one call, which `handler` answers, and checks its outcome. */
static void check_raw_call(struct fixture *fixture, tevent_fd_handler_t handler,
			   uint64_t timeout_us, enum rj_http_outcome outcome)
{
	struct raw_server server;

	raw_server_init(&server, fixture->ev, handler, NULL);
	post_to(fixture, &server.address, "one", timeout_us);
	wait_for(fixture, 1);
	assert_outcome(fixture, outcome);
	raw_server_finish(&server);
}

/* Guards against calls that count as lost though their answers have arrived
 * while this process was busy. */
static void test_answer_before_a_stall_counts(struct fixture *fixture,
					      gconstpointer data)
{
	check_raw_call(fixture, answer_before_a_stall, SHORT_US,
		       RJ_HTTP_ANSWERED);
}

/* Sends as much of an endless answer as the connection takes. */
static void send_endless(struct tevent_context *ev, struct tevent_fd *fde,
			 uint16_t flags, void *private_data)
{
	static const char part[256];
	int fd = (int)tevent_fd_get_tag(fde);

	if (send(fd, part, sizeof(part), MSG_DONTWAIT | MSG_NOSIGNAL) < 0 &&
	    errno != EAGAIN)
		talloc_free(fde);
}

/* Sends the head of an endless answer, and goes on with its body. */
static void begin_endless_answer(struct tevent_context *ev,
				 struct tevent_fd *fde, uint16_t flags,
				 void *private_data)
{
	static const char head[] = "HTTP/1.1 200 OK\r\n"
				   "Content-Length: 1000000000\r\n\r\n";
	int fd = (int)tevent_fd_get_tag(fde);
	struct waiting_calls *calls = private_data;
	char request[1024];

	g_assert_cmpint(recv(fd, request, sizeof(request), 0), >, 0);
	g_assert_cmpint(write(fd, head, sizeof(head) - 1), >, 0);
	calls->fds[calls->count++] = fd;
	talloc_free(fde);
	fde = tevent_add_fd(ev, ev, fd, TEVENT_FD_WRITE, send_endless, NULL);
	g_assert_nonnull(fde);
	tevent_fd_set_tag(fde, (uint64_t)fd);
}

/* Guards against a call without an answer that never ends while the client is
 * never done with its sockets. */
static void test_a_busy_client_loses_a_call(struct fixture *fixture,
					    gconstpointer data)
{
	struct waiting_calls calls = { .count = 0 };
	struct raw_server endless;
	struct rj_address silent;
	int fd = bound_socket(&silent);
	uint64_t until_us;

	g_assert_cmpint(listen(fd, 1), ==, 0);
	rj_http_client_set_host_connections_max(&fixture->client,
						PARALLEL_CALLS);
	raw_server_init(&endless, fixture->ev, begin_endless_answer, &calls);
	for (uint32_t i = 0; i < PARALLEL_CALLS; i++)
		send_call(fixture, &endless.address, "one", LONG_US, SIZE_MAX);
	while (calls.count < PARALLEL_CALLS)
		tevent_loop_once(fixture->ev);
	post_to(fixture, &silent, "one", SHORT_US);
	until_us = rj_clock_now_us() + BUSY_LOST_MAX_US;
	while (!fixture->ended && rj_clock_now_us() < until_us)
		tevent_loop_once(fixture->ev);
	g_assert_cmpuint(fixture->ended, ==, 1);
	assert_outcome(fixture, RJ_HTTP_LOST);
	raw_server_finish(&endless);
	close(fd);
}

/* Guards against thousands of answers from workers before which the store's
 * answers have to wait. */
static void test_a_turn_takes_a_bounded_number(struct fixture *fixture,
					       gconstpointer data)
{
	struct waiting_calls calls = { .count = 0 };
	struct raw_server server;

	rj_http_client_set_host_connections_max(&fixture->client,
						PARALLEL_CALLS);
	raw_server_init(&server, fixture->ev, note_request, &calls);
	for (uint32_t i = 0; i < PARALLEL_CALLS; i++)
		post_to(fixture, &server.address, "one", LONG_US);
	while (calls.count < PARALLEL_CALLS)
		tevent_loop_once(fixture->ev);
	for (uint32_t i = 0; i < PARALLEL_CALLS; i++)
		g_assert_cmpint(write(calls.fds[i], whole_answer,
				      sizeof(whole_answer) - 1),
				>, 0);
	while (fixture->ended < PARALLEL_CALLS) {
		uint32_t ended = fixture->ended;

		tevent_loop_once(fixture->ev);
		g_assert_cmpuint(fixture->ended - ended, <=,
				 PARALLEL_PER_TURN_MAX);
	}
	for (uint32_t i = 0; i < PARALLEL_CALLS; i++)
		close(calls.fds[i]);
	raw_server_finish(&server);
}

/*
 * An answer that is cut by the end of the connection must be reported as lost,
 * not passed on as a whole result.
 */
static void test_answer_cut_short_is_lost(struct fixture *fixture,
					  gconstpointer data)
{
	check_raw_call(fixture, answer_half, LONG_US, RJ_HTTP_LOST);
}

/* Opens an idle connection to the server. */
static int connect_to(const struct fixture *fixture)
{
	struct sockaddr_in name = {
		.sin_family = AF_INET,
		.sin_port = htons(fixture->server.address.port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(connect(fd, (struct sockaddr *)&name, sizeof(name)), ==,
			0);
	return fd;
}

static void note_close(struct tevent_context *ev, struct tevent_fd *fde,
		       uint16_t flags, void *private_data)
{
	uint32_t *closed = private_data;
	char byte;

	g_assert_cmpint(recv((int)tevent_fd_get_tag(fde), &byte, 1, 0), ==, 0);
	(*closed)++;
	talloc_free(fde);
}

/*
 * A connection above the server's limit must be closed at once. If it waits in
 * the backlog until the client's timeout, a worker with too many clients is
 * taken for dead.
 */
static void test_connection_above_the_limit_is_closed(struct fixture *fixture,
						      gconstpointer data)
{
	uint32_t closed = 0;
	int fds[3];

	for (uint32_t i = 0; i < 3; i++) {
		struct tevent_fd *fde;

		fds[i] = connect_to(fixture);
		fde = tevent_add_fd(fixture->ev, fixture->ev, fds[i],
				    TEVENT_FD_READ, note_close, &closed);
		tevent_fd_set_tag(fde, (uint64_t)fds[i]);
	}
	while (!closed)
		tevent_loop_once(fixture->ev);
	g_assert_cmpuint(closed, ==, 1);
	g_assert_cmpuint(fixture->server.connections, ==, 2);
	for (uint32_t i = 0; i < 3; i++)
		close(fds[i]);
}

static void send_raw(int fd)
{
	static const char call[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

	g_assert_cmpint(send(fd, call, strlen(call), 0), ==, strlen(call));
}

/* Connections whose clients have closed at least their sending sides. */
static uint32_t count_ended(const struct rj_http_server *server)
{
	struct rj_list *at;
	struct rj_list *next;
	uint32_t ended = 0;

	RJ_FOR_EACH (at, next, &server->listener.budget->clients)
		ended += RJ_CONTAINER(at, struct rj_client, link)->may_be_gone;
	return ended;
}

/*
 * Clients that close while their calls wait must not keep others out. If their
 * connections stay until the answers, they take all connections of a worker.
 */
static void test_disconnected_clients_keep_nobody_out(struct fixture *fixture,
						      gconstpointer data)
{
	fixture->behaviour = KEEP;
	for (uint32_t i = 0; i < 3; i++) {
		int fd = connect_to(fixture);

		send_raw(fd);
		while (fixture->received <= i)
			tevent_loop_once(fixture->ev);
		close(fd);
		while (count_ended(&fixture->server) < MIN(i + 1, 2))
			tevent_loop_once(fixture->ev);
	}
	fixture->behaviour = ANSWER;
	post(fixture, "four", LONG_US);
	wait_for(fixture, 1);
	assert_outcome(fixture, RJ_HTTP_ANSWERED);
	while (fixture->server.connections > 2)
		tevent_loop_once(fixture->ev);
}

/* A client that resets its connection while its call waits must free it at
 * once. */
static void test_reset_frees_its_connection(struct fixture *fixture,
					    gconstpointer data)
{
	struct linger at_once = { .l_onoff = 1 };
	int fd = connect_to(fixture);

	fixture->behaviour = KEEP;
	send_raw(fd);
	while (!fixture->received)
		tevent_loop_once(fixture->ev);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	close(fd);
	while (fixture->server.connections)
		tevent_loop_once(fixture->ev);
	g_assert_true(fixture->server.open.next == &fixture->server.open);
}

static void add(const char *path,
		void (*test)(struct fixture *fixture, gconstpointer data))
{
	g_test_add(path, struct fixture, NULL, set_up, test, tear_down);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add("/http_client/whole", test_answer_is_whole);
	add("/http_client/lost", test_lost_answer_is_not_sent_again);
	add("/http_client/timeout", test_timeout_is_lost);
	add("/http_client/too_long", test_answer_that_is_too_long_is_lost);
	add("/http_client/refused", test_refused_connect_is_not_sent);
	add("/http_client/cut", test_answer_cut_short_is_lost);
	add("/http_client/stall", test_answer_before_a_stall_counts);
	add("/http_client/busy", test_a_busy_client_loses_a_call);
	add("/http_client/turn", test_a_turn_takes_a_bounded_number);
	add("/http_server/limit", test_connection_above_the_limit_is_closed);
	add("/http_server/gone", test_disconnected_clients_keep_nobody_out);
	add("/http_server/reset", test_reset_frees_its_connection);
	return g_test_run();
}
