#include "private/tcp_socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Without keepalive, a connection to an unreachable peer would stay open for
 * hours. It is probed after 5 s of inactivity and closed after 10 s without an
 * acknowledgement.
 */
#define KEEPALIVE_IDLE_S 5
#define KEEPALIVE_INTERVAL_S 2
#define KEEPALIVE_PROBES 3
#define UNACKNOWLEDGED_MAX_MS 10000
#define ACCEPT_BACKLOG 128
#define RECEIVE_BUFFER_BYTES (16 * 1024)

/*
 * Convert an address to a socket address. Returns its length, or 0 if the IP
 * is invalid.
 */
static socklen_t to_sockaddr(const struct rj_address *address,
			     struct sockaddr_storage *storage)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)storage;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)storage;

	memset(storage, 0, sizeof(*storage));
	if (inet_pton(AF_INET, address->ip, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(address->port);
		return sizeof(*v4);
	}
	if (inet_pton(AF_INET6, address->ip, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(address->port);
		return sizeof(*v6);
	}
	return 0;
}

/* Send small frames without delay and detect unreachable peers in seconds. */
static void set_link_options(int fd)
{
	int on = 1;
	int idle_s = KEEPALIVE_IDLE_S;
	int interval_s = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES;
	unsigned int unacknowledged_ms = UNACKNOWLEDGED_MAX_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
		   sizeof(unacknowledged_ms));
}

/*
 * Create a non-blocking socket and fill `storage` with the socket address of
 * `address`. Returns the socket, or -1 with `err`.
 */
static int open_socket(const struct rj_address *address,
		       struct sockaddr_storage *storage, socklen_t *length,
		       struct rj_error *err)
{
	int fd;

	*length = to_sockaddr(address, storage);
	if (!*length)
		return rj_error_set(err, RJ_ERR_INVALID,
				    "address: \"%s\" is not an IP number; give "
				    "one",
				    address->ip);
	fd = socket(storage->ss_family,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return rj_error_set(err, RJ_ERR_IO,
				    "socket: %s; raise the limit of open files",
				    strerror(errno));
	return fd;
}

/*
 * Start to connect. Returns a non-blocking socket that becomes writable when
 * the connection is established or has failed, or -1 with `err` of kind
 * RJ_ERR_INVALID or RJ_ERR_IO.
 */
int rj_tcp_connect(const struct rj_address *address, struct rj_error *err)
{
	struct sockaddr_storage storage;
	socklen_t length;
	int fd = open_socket(address, &storage, &length, err);

	if (fd < 0)
		return -1;
	set_link_options(fd);
	if (!connect(fd, (struct sockaddr *)&storage, length) ||
	    errno == EINPROGRESS)
		return fd;
	rj_error_set(err, RJ_ERR_IO,
		     "connect %s:%u: %s; check that it is running", address->ip,
		     address->port, strerror(errno));
	close(fd);
	return -1;
}

/* Set the port of `bound` to the one that a listening socket is bound to. */
static void bound_address(int fd, struct rj_address *bound)
{
	struct sockaddr_storage storage;
	socklen_t length = sizeof(storage);

	memset(&storage, 0, sizeof(storage));
	getsockname(fd, (struct sockaddr *)&storage, &length);
	if (storage.ss_family == AF_INET6)
		bound->port =
			ntohs(((struct sockaddr_in6 *)&storage)->sin6_port);
	else
		bound->port = ntohs(((struct sockaddr_in *)&storage)->sin_port);
}

/*
 * Listen on `address`, whose port may be 0. `*bound` is set to the address with
 * the actual port. Returns a non-blocking socket, or -1 with `err` of kind
 * RJ_ERR_INVALID or RJ_ERR_IO.
 */
int rj_tcp_listen(const struct rj_address *address, struct rj_address *bound,
		  struct rj_error *err)
{
	struct sockaddr_storage storage;
	socklen_t length;
	int on = 1;
	int fd = open_socket(address, &storage, &length, err);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&storage, length) ||
	    listen(fd, ACCEPT_BACKLOG)) {
		rj_error_set(err, RJ_ERR_IO,
			     "listen %s:%u: %s; choose a free port or 0",
			     address->ip, address->port, strerror(errno));
		close(fd);
		return -1;
	}
	*bound = *address;
	bound_address(fd, bound);
	return fd;
}

/*
 * Limit what the kernel keeps of each connection that `listener` accepts from
 * now on, while it is not read.
 */
void rj_tcp_limit_receive_buffer(int listener)
{
	int bytes = RECEIVE_BUFFER_BYTES;

	(void)setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &bytes,
			 sizeof(bytes));
}

/*
 * Accept one connection. Returns a non-blocking socket, or -1 when no
 * connection is pending or accepting one fails.
 */
int rj_tcp_accept(int listener)
{
	int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd >= 0)
		set_link_options(fd);
	return fd;
}
