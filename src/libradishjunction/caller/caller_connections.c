#include "private/caller_connections.h"

#include <assert.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>

#include "private/clock.h"

/*
 * Start without connections. They are talloc children of `mem`; `mem` and
 * `connections` live as long as `loop` runs.
 */
void rj_caller_connections_init(struct rj_caller_connections *connections,
				void *mem, struct tevent_context *loop,
				uint32_t max, uint64_t headers_limit_us)
{
	memset(connections, 0, sizeof(*connections));
	rj_list_init(&connections->list);
	connections->mem = mem;
	connections->loop = loop;
	connections->max = max;
	connections->headers_limit_us = headers_limit_us;
}

static void schedule_check(struct rj_caller_connections *connections);

/*
 * End each connection whose next headers have not come within the limit.
 *
 * Guards against callers that send headers byte by byte: every byte counts as
 * activity for the HTTP library, which has no limit for headers as a whole.
 * Such connections would stand until they are as many as the limit, and every
 * other caller would be refused. The limit counts from the connection's start
 * or its last answer, which no caller can put off.
 *
 * Only the socket is shut down: the library sees its end and closes it.
 */
static void on_timer(struct tevent_context *loop,
		     struct tevent_timer *check_timer, struct timeval now,
		     void *private_data)
{
	struct rj_caller_connections *connections = private_data;
	uint64_t now_us = rj_clock_now_us();
	struct rj_list *at;
	struct rj_list *next;

	connections->check_timer = NULL; /* the event loop frees it */
	RJ_FOR_EACH (at, next, &connections->list) {
		struct rj_caller_connection *connection =
			RJ_CONTAINER(at, struct rj_caller_connection, link);

		if (connection->idle_since_us &&
		    now_us - connection->idle_since_us >
			    connections->headers_limit_us)
			(void)shutdown(connection->fd, SHUT_RDWR);
	}
	if (connections->count)
		schedule_check(connections);
}

/* Look at all connections again after half of the limit. */
static void schedule_check(struct rj_caller_connections *connections)
{
	connections->check_timer = tevent_add_timer(
		connections->loop, connections->mem,
		rj_clock_timeval_in(connections->headers_limit_us / 2),
		on_timer, connections);
	assert(connections->check_timer);
}

/*
 * Take on the connection of socket `fd`, which stays the caller's.
 */
struct rj_caller_connection *
rj_caller_connection_open(struct rj_caller_connections *connections, int fd)
{
	struct rj_caller_connection *connection =
		talloc_zero(connections->mem, struct rj_caller_connection);

	assert(connection);
	connection->connections = connections;
	connection->fd = fd;
	connection->over_limit = ++connections->count > connections->max;
	rj_list_append(&connections->list, &connection->link);
	rj_caller_connection_idle(connection);
	if (!connections->check_timer)
		schedule_check(connections);
	return connection;
}

/*
 * The headers of a request have come: from here on other limits hold.
 */
void rj_caller_connection_busy(struct rj_caller_connection *connection)
{
	connection->idle_since_us = 0;
}

/*
 * The request has ended: the next one's headers are awaited.
 */
void rj_caller_connection_idle(struct rj_caller_connection *connection)
{
	connection->idle_since_us = rj_clock_now_us();
}

/*
 * The connection has ended; its memory is freed.
 */
void rj_caller_connection_close(struct rj_caller_connection *connection)
{
	connection->connections->count--;
	rj_list_remove(&connection->link);
	talloc_free(connection);
}
