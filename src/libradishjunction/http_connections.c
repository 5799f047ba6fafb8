#include "private/http_connections.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct connection {
	uint64_t number;
	struct rj_http_route route; /* known from its first request on */
	bool has_route;
	uint64_t identity;
};

static guint hash_route(gconstpointer key)
{
	const struct rj_http_route *route = key;

	return g_str_hash(route->remote_ip) ^ (route->remote_port << 16) ^
	       route->local_port;
}

static gboolean routes_equal(gconstpointer a, gconstpointer b)
{
	const struct rj_http_route *left = a;
	const struct rj_http_route *right = b;

	return left->remote_port == right->remote_port &&
	       left->local_port == right->local_port &&
	       !strcmp(left->remote_ip, right->remote_ip);
}

/*
 * Initializes an empty set of connections.
 */
void rj_http_connections_init(struct rj_http_connections *connections)
{
	memset(connections, 0, sizeof(*connections));
	connections->by_socket =
		g_hash_table_new_full(NULL, NULL, NULL, g_free);
	connections->by_route = g_hash_table_new(hash_route, routes_equal);
}

/*
 * Opens a socket for libcurl to connect, and adds its connection. Its `fd` is
 * CURL_SOCKET_BAD if there is none.
 */
struct rj_http_opened
rj_http_connections_open(struct rj_http_connections *connections,
			 const struct curl_sockaddr *address)
{
	struct rj_http_opened opened = { .fd = CURL_SOCKET_BAD };
	struct connection *connection;
	int fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
			address->protocol);

	if (fd < 0)
		return opened;
	connection = g_new0(struct connection, 1);
	connection->number = ++connections->opened;
	g_hash_table_replace(connections->by_socket, GINT_TO_POINTER(fd),
			     connection);
	opened.fd = fd;
	opened.number = connection->number;
	return opened;
}

/* Removes the route of a connection, unless a later one has taken it over. */
static void remove_route(struct rj_http_connections *connections,
			 const struct connection *connection)
{
	if (connection->has_route &&
	    g_hash_table_lookup(connections->by_route, &connection->route) ==
		    connection)
		g_hash_table_remove(connections->by_route, &connection->route);
}

/*
 * Closes a socket and removes its connection. Returns the result of close(2).
 */
int rj_http_connections_close(struct rj_http_connections *connections,
			      curl_socket_t fd)
{
	struct connection *connection = g_hash_table_lookup(
		connections->by_socket, GINT_TO_POINTER(fd));

	if (connection) {
		remove_route(connections, connection);
		g_hash_table_remove(connections->by_socket,
				    GINT_TO_POINTER(fd));
	}
	return close(fd);
}

/* Gives the connection that was opened for a request its route. Returns NULL if
 * it has been closed. */
static struct connection *set_route(struct rj_http_connections *connections,
				    const struct rj_http_route *route,
				    const struct rj_http_opened *opened)
{
	struct connection *connection = g_hash_table_lookup(
		connections->by_socket, GINT_TO_POINTER(opened->fd));

	if (!connection || connection->number != opened->number)
		return NULL;
	remove_route(connections, connection);
	connection->route = *route;
	connection->has_route = true;
	g_hash_table_replace(connections->by_route, &connection->route,
			     connection);
	return connection;
}

/*
 * Returns the connection over which a request is about to be sent. `opened` is
 * the socket that was opened for the request, if one was.
 */
struct rj_http_connection_use
rj_http_connections_use(struct rj_http_connections *connections,
			const struct rj_http_route *route,
			const struct rj_http_opened *opened)
{
	struct rj_http_connection_use use = { .route = *route };
	const struct connection *connection =
		opened->number ?
			set_route(connections, route, opened) :
			g_hash_table_lookup(connections->by_route, route);

	if (connection) {
		use.number = connection->number;
		use.identity = connection->identity;
	}
	return use;
}

/*
 * Records what a response over a connection says of the server process. Does
 * nothing if the connection has been closed.
 */
void rj_http_connections_identify(struct rj_http_connections *connections,
				  const struct rj_http_connection_use *use,
				  uint64_t identity)
{
	struct connection *connection;

	if (!use->number)
		return;
	connection = g_hash_table_lookup(connections->by_route, &use->route);
	if (connection && connection->number == use->number)
		connection->identity = identity;
}

/*
 * Frees the connections.
 */
void rj_http_connections_finish(struct rj_http_connections *connections)
{
	g_hash_table_destroy(connections->by_route);
	g_hash_table_destroy(connections->by_socket);
}
