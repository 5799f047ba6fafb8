/* Tests how a server that is about to stop ends its connections. */
#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "http_server.h"
#include "private/http_client.h"
#include "support/event_loop.h"

#define REQUEST "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"

struct fixture {
	struct tevent_context *ev;
	struct rj_http_server server;
	struct rj_http_client client;
	struct rj_http_exchange *request; /* waits for its answer */
	uint32_t answered;
	char body[256]; /* of the last answer */
};

/* Stores the request; the test answers it. */
static void receive(void *private_data, struct rj_http_exchange *request)
{
	struct fixture *f = private_data;

	f->request = request;
}

static void set_up(struct fixture *f, gconstpointer data)
{
	struct rj_http_server_options options = {
		.address = { "127.0.0.1", 0 },
		.connections_max = 4,
		.body_max_bytes = 1024,
		.handle = receive,
		.private_data = f,
	};

	f->ev = tevent_context_init(NULL);
	g_assert_cmpint(
		rj_http_server_init(&f->server, f->ev, f->ev, &options, NULL),
		==, 0);
	g_assert_cmpint(
		rj_http_client_init(&f->client, f->ev, f->ev, NULL, 1, NULL),
		==, 0);
}

static void tear_down(struct fixture *f, gconstpointer data)
{
	rj_http_client_finish(&f->client);
	rj_http_server_finish(&f->server);
	talloc_free(f->ev);
}

/* The client has received its answer. */
static void done(void *private_data, const struct rj_http_result *result)
{
	struct fixture *f = *(struct fixture **)private_data;

	g_assert_cmpint(result->outcome, ==, RJ_HTTP_ANSWERED);
	g_assert_cmpuint(result->length, <, sizeof(f->body));
	memcpy(f->body, result->body, result->length);
	f->body[result->length] = 0;
	f->answered++;
}

/* Sends a request and waits until the server has received it. */
static void send_one(struct fixture *f)
{
	struct fixture **self = talloc(f->ev, struct fixture *);
	char *url = rj_http_url(f->ev, &f->server.address, "/");
	struct rj_http_request send = { .method = "POST",
					.url = url,
					.body = "{}",
					.length = 2,
					.timeout_us = 60 * RJ_US_PER_S,
					.response_max_bytes = 256,
					.done = done,
					.private_data = self };

	*self = f;
	f->request = NULL;
	rj_http_client_send(&f->client, &send);
	RUN_UNTIL(f->ev, f->request);
}

/*
 * A server must not end before its answers are sent. If an instance checks only
 * for requests without an answer, it stores a job, answers and exits before the
 * answer leaves the process.
 */
static void test_answers_are_sent_before_the_end(struct fixture *f,
						 gconstpointer data)
{
	send_one(f);
	g_assert_cmpuint(f->server.requests, ==, 1);
	rj_http_exchange_answer(f->request, MHD_HTTP_OK, "{}", 2);
	g_assert_true(f->server.open.next == &f->server.open);
	g_assert_cmpuint(f->server.requests, ==, 1);
	RUN_UNTIL(f->ev, f->answered == 1);
	RUN_UNTIL(f->ev, !f->server.requests);
	g_assert_cmpuint(f->server.connections, ==, 1);
}

/*
 * A server that is about to stop must close each connection after its answer;
 * over persistent connections it would get requests until it exits.
 */
static void test_draining_server_closes_connections(struct fixture *f,
						    gconstpointer data)
{
	send_one(f);
	rj_http_server_drain(&f->server);
	rj_http_exchange_answer(f->request, MHD_HTTP_OK, "{}", 2);
	RUN_UNTIL(f->ev, f->answered == 1);
	RUN_UNTIL(f->ev, !f->server.connections);
	g_assert_cmpuint(f->server.requests, ==, 0);
}

/* An error message that quotes half of a character does not end the server; the
 * client gets JSON. */
static void test_an_error_quotes_half_a_character(struct fixture *f,
						  gconstpointer data)
{
	json_t *answer;

	send_one(f);
	rj_http_exchange_error(f->request, MHD_HTTP_BAD_REQUEST,
			       "body: invalid escape near '\"a\\\xc3'");
	RUN_UNTIL(f->ev, f->answered == 1);
	answer = json_loads(f->body, 0, NULL);
	g_assert_true(json_is_string(json_object_get(answer, "error")));
	json_decref(answer);
}

/* Closes a connection by a reset. */
static void reset_connection(int fd)
{
	struct linger at_once = { .l_onoff = 1 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	close(fd);
}

/* Returns the socket of a new connection, or -1. */
static int try_to_connect(struct fixture *f)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons(f->server.address.port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	return connect(fd, (struct sockaddr *)&to, sizeof(to)) ? -1 : fd;
}

/* Sends bytes over a new connection. Returns its socket. */
static int connect_and_send(struct fixture *f, const char *bytes)
{
	int fd = try_to_connect(f);

	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(send(fd, bytes, strlen(bytes), 0), ==, strlen(bytes));
	return fd;
}

/* A request that ends without an answer is not counted, so that nobody can tell
 * whether the client or the process closed. */
static void test_unanswered_requests_are_counted(struct fixture *f,
						 gconstpointer data)
{
	const uint64_t *unanswered = f->server.unanswered;
	int fd = connect_and_send(f, REQUEST);

	RUN_UNTIL(f->ev, f->request);
	reset_connection(fd);
	RUN_UNTIL(f->ev, !f->server.connections);
	g_assert_cmpuint(unanswered[RJ_HTTP_UNANSWERED_CLIENT_GONE], ==, 1);
	f->request = NULL;
	fd = connect_and_send(f, REQUEST);
	RUN_UNTIL(f->ev, f->request);
	rj_http_server_finish(&f->server);
	g_assert_cmpuint(unanswered[RJ_HTTP_UNANSWERED_STOPPED], ==, 1);
	g_assert_cmpuint(unanswered[RJ_HTTP_UNANSWERED_CLIENT_GONE], ==, 1);
	close(fd);
}

/* A client that connects while all connections wait for answers is closed with
 * its request unanswered. */
static void test_client_without_room_is_told(struct fixture *f,
					     gconstpointer data)
{
	char text[512];
	int fds[5];

	for (uint32_t i = 0; i < 4; i++) {
		f->request = NULL;
		fds[i] = connect_and_send(f, REQUEST);
		RUN_UNTIL(f->ev, f->request);
	}
	fds[4] = connect_and_send(f, REQUEST);
	RUN_UNTIL(f->ev, recv(fds[4], text, sizeof(text), MSG_DONTWAIT) > 0);
	g_assert_true(g_str_has_prefix(text, "HTTP/1.1 503"));
	RUN_UNTIL(f->ev, f->server.connections == 4);
	for (uint32_t i = 0; i < 5; i++)
		close(fds[i]);
}

/* A client that connects as the server stops is closed with its first request on
 * the way, or reset by the listener. */
static void test_new_client_is_served_before_the_end(struct fixture *f,
						     gconstpointer data)
{
	int fd = connect_and_send(f, "");

	g_assert_false(rj_http_server_is_settled(&f->server));
	RUN_UNTIL(f->ev, f->server.connections == 1);
	rj_http_server_stop_listening(&f->server);
	g_assert_false(rj_http_server_is_settled(&f->server));
	g_assert_cmpint(send(fd, REQUEST, strlen(REQUEST), 0), ==,
			strlen(REQUEST));
	RUN_UNTIL(f->ev, f->request);
	rj_http_exchange_answer(f->request, MHD_HTTP_OK, "{}", 2);
	RUN_UNTIL(f->ev, rj_http_server_is_settled(&f->server));
	close(fd);
	fd = try_to_connect(f);
	g_assert_cmpint(fd, ==, -1);
	g_assert_cmpint(errno, ==, ECONNREFUSED);
}

static void set_flag(struct tevent_context *ev, struct tevent_timer *timer,
		     struct timeval now, void *private_data)
{
	*(bool *)private_data = true;
}

/* Refused clients that go on sending keep the listener from all others. */
static void test_refused_clients_leave_room(struct fixture *f,
					    gconstpointer data)
{
	int fds[44];

	for (uint32_t i = 0; i < 4; i++) {
		f->request = NULL;
		fds[i] = connect_and_send(f, REQUEST);
		RUN_UNTIL(f->ev, f->request);
	}
	for (uint32_t i = 4; i < 44; i++)
		fds[i] = connect_and_send(f, "P");
	for (uint32_t round = 0;
	     round < 6 || (round < 20 && f->server.connections != 4); round++) {
		bool over = false;
		struct tevent_timer *timer = tevent_add_timer(
			f->ev, f->ev, tevent_timeval_current_ofs(0, 400 * 1000),
			set_flag, &over);

		g_assert_nonnull(timer);
		RUN_UNTIL(f->ev, over);
		for (uint32_t i = 4; i < 44; i++)
			(void)!send(fds[i], "x", 1, MSG_NOSIGNAL);
	}
	g_assert_cmpuint(f->server.connections, ==, 4);
	for (uint32_t i = 0; i < 44; i++)
		close(fds[i]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/http_server/sent", struct fixture, NULL, set_up,
		   test_answers_are_sent_before_the_end, tear_down);
	g_test_add("/http_server/elsewhere", struct fixture, NULL, set_up,
		   test_draining_server_closes_connections, tear_down);
	g_test_add("/http_server/error", struct fixture, NULL, set_up,
		   test_an_error_quotes_half_a_character, tear_down);
	g_test_add("/http_server/unanswered", struct fixture, NULL, set_up,
		   test_unanswered_requests_are_counted, tear_down);
	g_test_add("/http_server/room", struct fixture, NULL, set_up,
		   test_client_without_room_is_told, tear_down);
	g_test_add("/http_server/new", struct fixture, NULL, set_up,
		   test_new_client_is_served_before_the_end, tear_down);
	g_test_add("/http_server/trickle", struct fixture, NULL, set_up,
		   test_refused_clients_leave_room, tear_down);
	return g_test_run();
}
