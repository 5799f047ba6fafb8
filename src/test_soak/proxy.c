#include "proxy.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "private/clock.h"
#include "radishjunction/types.h"

#define DELAY_US (250 * RJ_US_PER_MS)
#define CHUNK_BYTES 65536
#define BACKLOG 256
/* Data buffered for one side; above it, the other side is not read. */
#define PENDING_MAX_BYTES (4UL * 1024 * 1024)

const char *const soak_proxy_mode_string[SOAK_PROXY_MODE_COUNT] = {
	[SOAK_PROXY_PASS] = "pass",
	[SOAK_PROXY_DELAY] = "delay",
	[SOAK_PROXY_HOLD_TO_TARGET] = "hold_to",
	[SOAK_PROXY_HOLD_FROM_TARGET] = "hold_from",
	[SOAK_PROXY_HOLD_BOTH] = "hold",
	[SOAK_PROXY_REFUSE] = "refuse",
};

enum side {
	CLIENT,
	TARGET,
	SIDE_COUNT,
};

/* A proxied connection: a socket to the client and one to the target. */
struct connection {
	struct rj_list link;
	struct soak_proxy *proxy;
	int fd[SIDE_COUNT];
	struct tevent_fd *event[SIDE_COUNT];
	GByteArray *pending[SIDE_COUNT]; /* bytes to send to that side */
	uint64_t send_after_us[SIDE_COUNT]; /* earliest time to send */
	bool eof[SIDE_COUNT]; /* received from that side */
	bool blackholed; /* nothing is forwarded any more */
};

/* Close both sockets and free the connection; with `reset`, send RST. */
static void close_connection(struct connection *connection, bool reset)
{
	const struct linger immediate = { 1, 0 };

	for (int i = 0; i < SIDE_COUNT; i++) {
		TALLOC_FREE(connection->event[i]);
		if (reset)
			(void)setsockopt(connection->fd[i], SOL_SOCKET,
					 SO_LINGER, &immediate,
					 sizeof(immediate));
		close(connection->fd[i]);
		g_byte_array_free(connection->pending[i], TRUE);
	}
	rj_list_remove(&connection->link);
	talloc_free(connection);
}

/* Whether data to a side is held back at present. */
static bool is_blocked(const struct connection *connection, enum side to)
{
	enum soak_proxy_mode mode = connection->proxy->mode;

	return connection->blackholed || mode == SOAK_PROXY_HOLD_BOTH ||
	       mode == (to == TARGET ? SOAK_PROXY_HOLD_TO_TARGET :
				       SOAK_PROXY_HOLD_FROM_TARGET);
}

/* Poll both sockets for the operations that are possible now. */
static void update_events(struct connection *connection)
{
	for (int i = 0; i < SIDE_COUNT; i++) {
		uint16_t flags = 0;

		if (!connection->eof[i] &&
		    connection->pending[!i]->len < PENDING_MAX_BYTES)
			flags |= TEVENT_FD_READ;
		if (connection->pending[i]->len &&
		    !is_blocked(connection, (enum side)i) &&
		    rj_clock_now_us() >= connection->send_after_us[i])
			flags |= TEVENT_FD_WRITE;
		tevent_fd_set_flags(connection->event[i], flags);
	}
}

/* Timer: resume sending once the delay is over. */
static void delay_over(struct tevent_context *ev, struct tevent_timer *timer,
		       struct timeval now, void *private_data)
{
	update_events(private_data);
}

/* Read from a side. Returns false when the connection is to be closed. */
static bool receive(struct connection *connection, enum side from)
{
	enum side to = from == CLIENT ? TARGET : CLIENT;
	uint8_t chunk[CHUNK_BYTES];
	ssize_t count = recv(connection->fd[from], chunk, sizeof(chunk), 0);
	struct tevent_timer *timer;

	if (count < 0)
		return errno == EAGAIN || errno == EINTR;
	if (!count) {
		connection->eof[from] = true;
		if (!connection->pending[to]->len && !connection->blackholed)
			(void)shutdown(connection->fd[to], SHUT_WR);
		return !connection->eof[to];
	}
	g_byte_array_append(connection->pending[to], chunk, (guint)count);
	if (connection->proxy->mode != SOAK_PROXY_DELAY)
		return true;
	connection->send_after_us[to] = rj_clock_now_us() + DELAY_US;
	timer = tevent_add_timer(connection->proxy->ev, connection,
				 rj_clock_timeval_in(DELAY_US), delay_over,
				 connection);
	assert(timer);
	(void)timer;
	return true;
}

/* Send pending data to a side. Returns false when the connection is to be
 * closed. */
static bool forward(struct connection *connection, enum side to)
{
	enum side from = to == CLIENT ? TARGET : CLIENT;
	ssize_t count = send(connection->fd[to], connection->pending[to]->data,
			     connection->pending[to]->len, MSG_NOSIGNAL);

	if (count < 0)
		return errno == EAGAIN || errno == EINTR;
	g_byte_array_remove_range(connection->pending[to], 0, (guint)count);
	if (!connection->pending[to]->len && connection->eof[from])
		(void)shutdown(connection->fd[to], SHUT_WR);
	return true;
}

/* Socket event on one side of a connection. */
static void serve(struct tevent_context *ev, struct tevent_fd *event,
		  uint16_t flags, void *private_data)
{
	struct connection *connection = private_data;
	enum side side = event == connection->event[TARGET] ? TARGET : CLIENT;

	if (((flags & TEVENT_FD_READ) && !receive(connection, side)) ||
	    ((flags & TEVENT_FD_WRITE) && !forward(connection, side)))
		close_connection(connection, true);
	else
		update_events(connection);
}

/* Returns a TCP socket, or -1. */
static int open_nonblocking_socket(void)
{
	return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

static struct sockaddr_in loopback_address(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

/* Start to connect to the target. Returns a socket, or -1 when there is no
 * target or the attempt fails at once. */
static int connect_target(const struct soak_proxy *proxy)
{
	struct sockaddr_in address = loopback_address(proxy->target);
	int fd;

	if (!proxy->target)
		return -1;
	fd = open_nonblocking_socket();
	if (fd >= 0 &&
	    connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Accept a client and connect it to the target, or reset it when the mode
 * refuses connections or there is no target. */
static void accept_client(struct tevent_context *ev, struct tevent_fd *event,
			  uint16_t flags, void *private_data)
{
	struct soak_proxy *proxy = private_data;
	const struct linger immediate = { 1, 0 };
	int client =
		accept4(proxy->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int target = -1;
	struct connection *connection;

	if (client < 0)
		return;
	if (proxy->mode != SOAK_PROXY_REFUSE)
		target = connect_target(proxy);
	if (target < 0) {
		(void)setsockopt(client, SOL_SOCKET, SO_LINGER, &immediate,
				 sizeof(immediate));
		close(client);
		return;
	}
	connection = talloc_zero(proxy->mem, struct connection);
	assert(connection);
	connection->proxy = proxy;
	connection->fd[CLIENT] = client;
	connection->fd[TARGET] = target;
	for (int i = 0; i < SIDE_COUNT; i++) {
		connection->pending[i] = g_byte_array_new();
		connection->event[i] =
			tevent_add_fd(ev, connection, connection->fd[i],
				      TEVENT_FD_READ, serve, connection);
		assert(connection->event[i]);
	}
	rj_list_append(&proxy->connections, &connection->link);
}

/*
 * Listen on a free loopback port and store it in `port`; there is no target
 * yet. Aborts when it cannot listen.
 */
void soak_proxy_init(struct soak_proxy *proxy, void *mem,
		     struct tevent_context *ev)
{
	struct sockaddr_in address = loopback_address(0);
	socklen_t size = sizeof(address);

	memset(proxy, 0, sizeof(*proxy));
	proxy->ev = ev;
	proxy->mem = talloc_named_const(mem, 0, "proxy");
	rj_list_init(&proxy->connections);
	proxy->fd = open_nonblocking_socket();
	if (proxy->fd < 0 ||
	    bind(proxy->fd, (struct sockaddr *)&address, size) ||
	    listen(proxy->fd, BACKLOG) ||
	    getsockname(proxy->fd, (struct sockaddr *)&address, &size))
		g_error("proxy: %s; free some ports or descriptors",
			g_strerror(errno));
	proxy->port = ntohs(address.sin_port);
	proxy->accept_event =
		tevent_add_fd(ev, proxy->mem, proxy->fd, TEVENT_FD_READ,
			      accept_client, proxy);
	assert(proxy->accept_event);
}

/*
 * Change the mode for open and new connections.
 */
void soak_proxy_set_mode(struct soak_proxy *proxy, enum soak_proxy_mode mode)
{
	struct rj_list *at;
	struct rj_list *next;

	proxy->mode = mode;
	if (mode == SOAK_PROXY_REFUSE)
		soak_proxy_reset(proxy);
	RJ_FOR_EACH (at, next, &proxy->connections)
		update_events(RJ_CONTAINER(at, struct connection, link));
}

/*
 * Reset all open connections; new ones work if the mode permits.
 */
void soak_proxy_reset(struct soak_proxy *proxy)
{
	while (proxy->connections.next != &proxy->connections)
		close_connection(RJ_CONTAINER(proxy->connections.next,
					      struct connection, link),
				 true);
}

/*
 * Stop forwarding on all open connections, for good and without closing them;
 * new ones work.
 */
void soak_proxy_blackhole(struct soak_proxy *proxy)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &proxy->connections) {
		struct connection *connection =
			RJ_CONTAINER(at, struct connection, link);

		connection->blackholed = true;
		update_events(connection);
	}
}

/*
 * Reset all connections and stop listening.
 */
void soak_proxy_finish(struct soak_proxy *proxy)
{
	soak_proxy_reset(proxy);
	talloc_free(proxy->mem);
	close(proxy->fd);
}
