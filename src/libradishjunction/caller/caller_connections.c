#include "private/caller_connections.h"

#include <assert.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>

#include "private/clock.h"

/*
 * Initialize without connections. They become talloc children of `mem`; `mem`
 * and `connections` must live as long as `loop` runs.
 */
void rj_caller_connections_init(struct rj_caller_connections *connections,
				void *mem, struct tevent_context *loop,
				struct rj_client_budget *budget, uint32_t max,
				uint64_t headers_limit_us)
{
	memset(connections, 0, sizeof(*connections));
	rj_list_init(&connections->list);
	connections->mem = mem;
	connections->loop = loop;
	rj_client_listener_init(&connections->listener, budget, "callers", max);
	connections->headers_limit_us = headers_limit_us;
}

static void schedule_check(struct rj_caller_connections *connections);

/*
 * Shut down each connection that has not received its next headers within the
 * limit.
 *
 * Protects against callers that send headers byte by byte: the HTTP library
 * counts every byte as activity and has no time limit for the headers as a
 * whole, so such connections would accumulate up to the connection limit and
 * all other callers would be refused. The limit runs from the start of the
 * connection or its last answer, which a caller cannot postpone.
 *
 * Only the socket is shut down; the library detects that and closes it.
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

/* Check all connections again after half of the limit. */
static void schedule_check(struct rj_caller_connections *connections)
{
	connections->check_timer = tevent_add_timer(
		connections->loop, connections->mem,
		rj_clock_timeval_in(connections->headers_limit_us / 2),
		on_timer, connections);
	assert(connections->check_timer);
}

/*
 * Add a connection with socket `fd`, which is not taken over. If all are taken,
 * one with less progress gives way; if none can, the new one is over the limit.
 */
struct rj_caller_connection *
rj_caller_connection_open(struct rj_caller_connections *connections, int fd,
			  void (*give_way)(struct rj_client *client))
{
	struct rj_caller_connection *connection =
		talloc_zero(connections->mem, struct rj_caller_connection);

	assert(connection);
	connection->connections = connections;
	connection->fd = fd;
	connections->count++;
	connection->over_limit =
		rj_client_open(&connection->client, &connections->listener, fd,
			       give_way, rj_clock_now_us());
	rj_list_append(&connections->list, &connection->link);
	rj_caller_connection_idle(connection);
	if (!connections->check_timer)
		schedule_check(connections);
	return connection;
}

/*
 * The headers of a request are complete: the header limit no longer applies.
 */
void rj_caller_connection_busy(struct rj_caller_connection *connection)
{
	connection->idle_since_us = 0;
}

/*
 * The request has ended: the limit for the next headers starts.
 */
void rj_caller_connection_idle(struct rj_caller_connection *connection)
{
	connection->idle_since_us = rj_clock_now_us();
}

/*
 * Remove a connection that has ended and free it.
 */
void rj_caller_connection_close(struct rj_caller_connection *connection)
{
	if (!connection->over_limit)
		rj_client_close(&connection->client);
	connection->connections->count--;
	rj_list_remove(&connection->link);
	talloc_free(connection);
}
