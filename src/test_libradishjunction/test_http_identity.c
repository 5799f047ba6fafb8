/*
 * Requests that only one process of a server may receive, against a server that
 * restarts at its address.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "http_server.h"
#include "private/clock.h"
#include "private/http_identity.h"

#define TIMEOUT_US (5 * RJ_US_PER_S)
#define SHORT_US (50 * RJ_US_PER_MS)
#define HOST_CONNECTIONS_MAX 2
#define CALLS 6

struct fixture {
	struct tevent_context *ev;
	struct rj_http_server server;
	struct rj_http_client client;
	struct rj_http_identity identity;
	uint64_t process; /* that serves the address */
	unsigned int handshake_status; /* 0: no answer */
	bool holds_orders; /* does not answer them */
	bool slow_handshakes; /* they may take as long as a request */
	bool drops_orders; /* closes their connections */
	uint32_t handshakes; /* received */
	uint32_t orders; /* received by the present process */
	uint32_t ended; /* requests, and the last result */
	enum rj_http_outcome outcome;
	uint32_t status;
};

static void receive(void *private_data, struct rj_http_exchange *exchange)
{
	struct fixture *f = private_data;
	char *text = talloc_asprintf(exchange, "%u", (unsigned int)f->process);

	if (!strcmp(exchange->path, "/hello")) {
		f->handshakes++;
		if (f->handshake_status)
			rj_http_exchange_answer(exchange, f->handshake_status,
						text, strlen(text));
		return;
	}
	f->orders++;
	if (f->drops_orders)
		rj_http_exchange_abort(exchange);
	else if (!f->holds_orders)
		rj_http_exchange_answer(exchange, 200, "", 0);
}

static void serve(struct fixture *f, uint64_t process)
{
	struct rj_http_server_options options = {
		.address = { "127.0.0.1", 0 },
		.connections_max = 8,
		.body_max_bytes = 1024,
		.handle = receive,
		.private_data = f,
	};

	if (f->process) {
		options.address = f->server.address;
		rj_http_server_finish(&f->server);
	}
	f->process = process;
	f->orders = 0;
	g_assert_cmpint(
		rj_http_server_init(&f->server, f->ev, f->ev, &options, NULL),
		==, 0);
}

static void set_up(struct fixture *f, gconstpointer data)
{
	memset(f, 0, sizeof(*f));
	f->ev = tevent_context_init(NULL);
	f->handshake_status = 200;
	serve(f, 1);
	g_assert_cmpint(rj_http_client_init(&f->client, f->ev, f->ev, NULL,
					    HOST_CONNECTIONS_MAX, NULL),
			==, 0);
	rj_http_identity_init(&f->identity, &f->client);
}

static void tear_down(struct fixture *f, gconstpointer data)
{
	rj_http_client_finish(&f->client);
	rj_http_identity_finish(&f->identity);
	rj_http_server_finish(&f->server);
	talloc_free(f->ev);
}

static uint64_t read_identity(const struct rj_http_result *result)
{
	return result->status == 200 ?
		       g_ascii_strtoull(result->body, NULL, 10) :
		       0;
}

static void done(void *private_data, const struct rj_http_result *result)
{
	struct fixture *f = *(struct fixture **)private_data;

	f->ended++;
	f->outcome = result->outcome;
	f->status = result->status;
}

static void send_order(struct fixture *f, uint64_t process)
{
	struct fixture **data = talloc(NULL, struct fixture *);
	struct rj_http_handshake handshake = {
		.body = "{}",
		.timeout_us = f->slow_handshakes ? TIMEOUT_US : SHORT_US,
		.read_identity = read_identity
	};
	struct rj_http_request request = { .method = "POST",
					   .body = "order",
					   .length = 5,
					   .timeout_us = TIMEOUT_US,
					   .response_max_bytes = 64,
					   .identity = process,
					   .done = done,
					   .private_data = data };

	*data = f;
	request.url = rj_http_url(data, &f->server.address, "/order");
	handshake.url = rj_http_url(data, &f->server.address, "/hello");
	rj_http_identity_send(&f->identity, &request, &handshake);
}

static void wait_ended(struct fixture *f, uint32_t ended)
{
	while (f->ended < ended)
		tevent_loop_once(f->ev);
}

/* Guards against a handshake for each request: a connection needs one. */
static void test_connection_is_identified_once(struct fixture *f,
					       gconstpointer data)
{
	for (uint32_t i = 1; i <= CALLS; i++) {
		send_order(f, 1);
		wait_ended(f, i);
		g_assert_cmpuint(f->status, ==, 200);
	}
	g_assert_cmpuint(f->handshakes, ==, 1);
	g_assert_cmpuint(f->orders, ==, CALLS);
}

/* Guards against requests that wait for ever, or open more connections than
 * allowed, when several are sent at the same time. */
static void test_requests_share_connections(struct fixture *f,
					    gconstpointer data)
{
	for (uint32_t i = 0; i < CALLS; i++)
		send_order(f, 1);
	wait_ended(f, CALLS);
	g_assert_cmpuint(f->orders, ==, CALLS);
	g_assert_cmpuint(f->handshakes, <=, HOST_CONNECTIONS_MAX);
}

/* Guards against the next process at an address receiving a request for the
 * former one, whether its connection was idle or never used. */
static void test_restarted_server_gets_nothing(struct fixture *f,
					       gconstpointer data)
{
	send_order(f, 1);
	wait_ended(f, 1);
	serve(f, 2);
	send_order(f, 1);
	wait_ended(f, 2);
	/* Nothing was sent, or it was sent over the dead connection. */
	g_assert_true(f->outcome == RJ_HTTP_LOST ||
		      f->status == RJ_HTTP_STATUS_MISDIRECTED);
	send_order(f, 1);
	wait_ended(f, 3);
	g_assert_cmpuint(f->status, ==, RJ_HTTP_STATUS_MISDIRECTED);
	g_assert_cmpuint(f->orders, ==, 0);
	send_order(f, 2);
	wait_ended(f, 4);
	g_assert_cmpuint(f->status, ==, 200);
	g_assert_cmpuint(f->orders, ==, 1);
}

/* Guards against requests that wait for a connection being sent to the next
 * process once the former one has closed all of its connections. */
static void test_waiting_requests_are_not_redirected(struct fixture *f,
						     gconstpointer data)
{
	f->holds_orders = true;
	for (uint32_t i = 0; i < CALLS; i++)
		send_order(f, 1);
	while (f->orders < HOST_CONNECTIONS_MAX)
		tevent_loop_once(f->ev);
	f->holds_orders = false;
	serve(f, 2);
	wait_ended(f, CALLS);
	g_assert_cmpuint(f->orders, ==, 0);
}

/* Guards against a request that is sent, or counts as such, although the
 * handshake was refused or not answered. */
static void test_failed_handshakes(struct fixture *f, gconstpointer data)
{
	static const struct {
		unsigned int handshake_status;
		enum rj_http_outcome outcome;
		uint32_t status;
	} cases[] = {
		{ 409, RJ_HTTP_ANSWERED, 409 },
		{ 503, RJ_HTTP_ANSWERED, 503 },
		{ 0, RJ_HTTP_LOST, 0 },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		f->handshake_status = cases[i].handshake_status;
		send_order(f, 1);
		wait_ended(f, i + 1);
		g_assert_cmpint(f->outcome, ==, cases[i].outcome);
		g_assert_cmpuint(f->status, ==, cases[i].status);
	}
	g_assert_cmpuint(f->orders, ==, 0);
}

/* Guards against a request that fails before it is sent, as the handle that it
 * uses still has to repeat the body of a former one. */
static void test_lost_request_leaves_nothing_behind(struct fixture *f,
						    gconstpointer data)
{
	send_order(f, 1);
	wait_ended(f, 1);
	f->drops_orders = true;
	send_order(f, 1);
	wait_ended(f, 2);
	g_assert_cmpint(f->outcome, ==, RJ_HTTP_LOST);
	f->drops_orders = false;
	for (uint32_t i = 3; i < 3 + CALLS; i++) {
		send_order(f, 0);
		wait_ended(f, i);
		g_assert_cmpint(f->outcome, ==, RJ_HTTP_ANSWERED);
	}
}

/* Guards against a request that waits for a handshake, which takes long, beside
 * a connection to its process that has become idle. */
static void test_idle_connection_is_used(struct fixture *f, gconstpointer data)
{
	struct rj_http_exchange *held;

	send_order(f, 1);
	wait_ended(f, 1);
	f->holds_orders = true;
	send_order(f, 1);
	while (f->orders < 2)
		tevent_loop_once(f->ev);
	held = RJ_CONTAINER(f->server.open.next, struct rj_http_exchange, link);
	f->handshake_status = 0;
	f->slow_handshakes = true;
	f->holds_orders = false;
	send_order(f, 1);
	while (f->handshakes < 2)
		tevent_loop_once(f->ev);
	rj_http_exchange_answer(held, 200, "", 0);
	wait_ended(f, 3);
	g_assert_cmpint(f->outcome, ==, RJ_HTTP_ANSWERED);
	g_assert_cmpuint(f->orders, ==, 3);
	g_assert_cmpuint(f->handshakes, ==, 2);
}

#define ADD(name, function)                                              \
	g_test_add("/http_identity/" name, struct fixture, NULL, set_up, \
		   function, tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	ADD("once", test_connection_is_identified_once);
	ADD("parallel", test_requests_share_connections);
	ADD("restarted", test_restarted_server_gets_nothing);
	ADD("waiting", test_waiting_requests_are_not_redirected);
	ADD("failed", test_failed_handshakes);
	ADD("idle", test_idle_connection_is_used);
	ADD("lost", test_lost_request_leaves_nothing_behind);
	return g_test_run();
}
