/*
 * Requests to the HTTP server: headers, framing and bodies, in pieces.
 */
#include <assert.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "http_server.h"
#include "private/tcp_socket.h"
#include "support/fuzz_targets.h"

#define CONNECTIONS_MAX 4
#define HEADERS_MAX_BYTES 1024
#define BODY_MAX_BYTES 4096
#define MEMORY_BYTES (8 * 1024)
/* The server is watched for so long after the last piece. */
#define WATCH_US 2000
/* A server that does not spin handles far fewer events meanwhile. */
#define EVENTS_MAX 500

static void answer(void *private_data, struct rj_http_exchange *exchange)
{
	assert(exchange->body.length <= BODY_MAX_BYTES);
	rj_http_exchange_release_body(exchange);
	rj_http_exchange_answer(exchange, MHD_HTTP_OK, "{}", 2);
}

static void stop_watching(struct tevent_context *ev, struct tevent_timer *timer,
			  struct timeval now, void *private_data)
{
	*(bool *)private_data = true;
}

/* Handles events for a while. */
static void watch(struct tevent_context *ev)
{
	bool done = false;
	uint32_t events = 0;

	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, WATCH_US),
			 stop_watching, &done);
	while (!done) {
		tevent_loop_once(ev);
		assert(++events < EVENTS_MAX);
	}
}

/*
 * Whatever a client sends, the server does not spin, keeps to its budget and
 * returns all of it. The first byte gives the length of the pieces.
 */
void fuzz_requests(const uint8_t *data, size_t length)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	struct rj_client_budget budget;
	struct rj_http_server server;
	struct rj_http_server_options options = {
		.address = { "127.0.0.1", 0 },
		.budget = &budget,
		.connections_max = CONNECTIONS_MAX,
		.headers_max_bytes = HEADERS_MAX_BYTES,
		.body_max_bytes = BODY_MAX_BYTES,
		.handle = answer,
	};
	size_t piece = length ? 1 + (size_t)data[0] * 16 : 1;
	uint64_t reserved_bytes;
	int fd;

	rj_client_budget_init(&budget, UINT64_MAX, UINT32_MAX);
	assert(!rj_http_server_init(&server, ev, ev, &options, NULL));
	reserved_bytes = budget.memory_bytes;
	budget.memory_max_bytes = reserved_bytes + MEMORY_BYTES;
	fd = rj_tcp_connect(&server.address, NULL);
	assert(fd >= 0);
	tevent_loop_once(ev);
	for (size_t at = 1; at < length; at += piece) {
		size_t left = length - at;

		if (send(fd, data + at, left < piece ? left : piece,
			 MSG_NOSIGNAL) < 0)
			break;
		if (piece > 256)
			watch(ev);
	}
	watch(ev);
	close(fd);
	watch(ev);
	rj_http_server_finish(&server);
	assert(budget.memory_bytes == reserved_bytes);
	talloc_free(ev);
}
