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
/* What is held for a reader that does not read. */
#define HELD_MAX_BYTES (4UL * 1024 * 1024)

const char *const soak_proxy_mode_string[SOAK_PROXY_MODE_COUNT] = {
	[SOAK_PROXY_PASS] = "pass",
	[SOAK_PROXY_DELAY] = "delay",
	[SOAK_PROXY_HOLD_TO_TARGET] = "hold_to",
	[SOAK_PROXY_HOLD_FROM_TARGET] = "hold_from",
	[SOAK_PROXY_HOLD_BOTH] = "hold",
	[SOAK_PROXY_REFUSE] = "refuse",
};

/* The two ends of a connection. */
enum side {
	CLIENT,
	TARGET,
	SIDES,
};

/* One connection through the proxy. */
struct pair {
	struct rj_list link;
	struct soak_proxy *proxy;
	int fd[SIDES];
	struct tevent_fd *event[SIDES];
	GByteArray *held[SIDES]; /* to be written to that side */
	uint64_t due_us[SIDES]; /* not before */
	bool ended[SIDES]; /* nothing more comes from that side */
	bool silent; /* nothing passes any more */
};

/* A connection ends; with a reset, its ends see one. */
static void close_pair(struct pair *pair, bool reset)
{
	const struct linger at_once = { 1, 0 };

	for (int i = 0; i < SIDES; i++) {
		TALLOC_FREE(pair->event[i]);
		if (reset)
			(void)setsockopt(pair->fd[i], SOL_SOCKET, SO_LINGER,
					 &at_once, sizeof(at_once));
		close(pair->fd[i]);
		g_byte_array_free(pair->held[i], TRUE);
	}
	rj_list_remove(&pair->link);
	talloc_free(pair);
}

/* Whether bytes to a side are held just now. */
static bool is_held(const struct pair *pair, enum side to)
{
	enum soak_proxy_mode mode = pair->proxy->mode;

	return pair->silent || mode == SOAK_PROXY_HOLD_BOTH ||
	       mode == (to == TARGET ? SOAK_PROXY_HOLD_TO_TARGET :
				       SOAK_PROXY_HOLD_FROM_TARGET);
}

/* Wait for what can be done next on both sides. */
static void watch(struct pair *pair)
{
	for (int i = 0; i < SIDES; i++) {
		uint16_t flags = 0;

		if (!pair->ended[i] && pair->held[!i]->len < HELD_MAX_BYTES)
			flags |= TEVENT_FD_READ;
		if (pair->held[i]->len && !is_held(pair, (enum side)i) &&
		    rj_clock_now_us() >= pair->due_us[i])
			flags |= TEVENT_FD_WRITE;
		tevent_fd_set_flags(pair->event[i], flags);
	}
}

/* The delay of what goes to some side may be over. */
static void delay_over(struct tevent_context *ev, struct tevent_timer *timer,
		       struct timeval now, void *private_data)
{
	watch(private_data);
}

/* Read what a side sends. Returns false when the connection is gone. */
static bool take(struct pair *pair, enum side from)
{
	enum side to = from == CLIENT ? TARGET : CLIENT;
	uint8_t chunk[CHUNK_BYTES];
	ssize_t count = recv(pair->fd[from], chunk, sizeof(chunk), 0);
	struct tevent_timer *timer;

	if (count < 0)
		return errno == EAGAIN || errno == EINTR;
	if (!count) {
		pair->ended[from] = true;
		if (!pair->held[to]->len && !pair->silent)
			(void)shutdown(pair->fd[to], SHUT_WR);
		return !pair->ended[to];
	}
	g_byte_array_append(pair->held[to], chunk, (guint)count);
	if (pair->proxy->mode != SOAK_PROXY_DELAY)
		return true;
	pair->due_us[to] = rj_clock_now_us() + DELAY_US;
	timer = tevent_add_timer(pair->proxy->ev, pair,
				 rj_clock_timeval_in(DELAY_US), delay_over,
				 pair);
	assert(timer);
	(void)timer;
	return true;
}

/* Write what is held for a side. Returns false when the connection is gone. */
static bool give(struct pair *pair, enum side to)
{
	enum side from = to == CLIENT ? TARGET : CLIENT;
	ssize_t count = send(pair->fd[to], pair->held[to]->data,
			     pair->held[to]->len, MSG_NOSIGNAL);

	if (count < 0)
		return errno == EAGAIN || errno == EINTR;
	g_byte_array_remove_range(pair->held[to], 0, (guint)count);
	if (!pair->held[to]->len && pair->ended[from])
		(void)shutdown(pair->fd[to], SHUT_WR);
	return true;
}

/* Something can be done on one side of a connection. */
static void serve(struct tevent_context *ev, struct tevent_fd *event,
		  uint16_t flags, void *private_data)
{
	struct pair *pair = private_data;
	enum side side = event == pair->event[TARGET] ? TARGET : CLIENT;

	if (((flags & TEVENT_FD_READ) && !take(pair, side)) ||
	    ((flags & TEVENT_FD_WRITE) && !give(pair, side)))
		close_pair(pair, true);
	else
		watch(pair);
}

/* A socket that does not block; -1 when there is none. */
static int open_socket(void)
{
	return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

/* A loopback address. */
static struct sockaddr_in loopback(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

/* Connect to the target; -1 when nobody is there. */
static int connect_target(const struct soak_proxy *proxy)
{
	struct sockaddr_in address = loopback(proxy->target);
	int fd;

	if (!proxy->target)
		return -1;
	fd = open_socket();
	if (fd >= 0 &&
	    connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

/* A client has connected. */
static void accept_client(struct tevent_context *ev, struct tevent_fd *event,
			  uint16_t flags, void *private_data)
{
	struct soak_proxy *proxy = private_data;
	const struct linger at_once = { 1, 0 };
	int client =
		accept4(proxy->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int target = -1;
	struct pair *pair;

	if (client < 0)
		return;
	if (proxy->mode != SOAK_PROXY_REFUSE)
		target = connect_target(proxy);
	if (target < 0) {
		(void)setsockopt(client, SOL_SOCKET, SO_LINGER, &at_once,
				 sizeof(at_once));
		close(client);
		return;
	}
	pair = talloc_zero(proxy->mem, struct pair);
	assert(pair);
	pair->proxy = proxy;
	pair->fd[CLIENT] = client;
	pair->fd[TARGET] = target;
	for (int i = 0; i < SIDES; i++) {
		pair->held[i] = g_byte_array_new();
		pair->event[i] = tevent_add_fd(ev, pair, pair->fd[i],
					       TEVENT_FD_READ, serve, pair);
		assert(pair->event[i]);
	}
	rj_list_append(&proxy->pairs, &pair->link);
}

/*
 * Listen on any free port of loopback.
 */
void soak_proxy_init(struct soak_proxy *proxy, void *mem,
		     struct tevent_context *ev)
{
	struct sockaddr_in address = loopback(0);
	socklen_t size = sizeof(address);

	memset(proxy, 0, sizeof(*proxy));
	proxy->ev = ev;
	proxy->mem = talloc_named_const(mem, 0, "proxy");
	rj_list_init(&proxy->pairs);
	proxy->fd = open_socket();
	if (proxy->fd < 0 ||
	    bind(proxy->fd, (struct sockaddr *)&address, size) ||
	    listen(proxy->fd, BACKLOG) ||
	    getsockname(proxy->fd, (struct sockaddr *)&address, &size))
		g_error("proxy: %s; free some ports or descriptors",
			g_strerror(errno));
	proxy->port = ntohs(address.sin_port);
	proxy->accepts = tevent_add_fd(ev, proxy->mem, proxy->fd,
				       TEVENT_FD_READ, accept_client, proxy);
	assert(proxy->accepts);
}

/*
 * Treat what passes in another way from now on.
 */
void soak_proxy_set_mode(struct soak_proxy *proxy, enum soak_proxy_mode mode)
{
	struct rj_list *at;
	struct rj_list *next;

	proxy->mode = mode;
	if (mode == SOAK_PROXY_REFUSE)
		soak_proxy_reset(proxy);
	RJ_FOR_EACH (at, next, &proxy->pairs)
		watch(RJ_CONTAINER(at, struct pair, link));
}

/*
 * Reset all open connections.
 */
void soak_proxy_reset(struct soak_proxy *proxy)
{
	while (proxy->pairs.next != &proxy->pairs)
		close_pair(RJ_CONTAINER(proxy->pairs.next, struct pair, link),
			   true);
}

/*
 * Open connections go silent for good; new ones work.
 */
void soak_proxy_blackhole(struct soak_proxy *proxy)
{
	struct rj_list *at;
	struct rj_list *next;

	RJ_FOR_EACH (at, next, &proxy->pairs) {
		struct pair *pair = RJ_CONTAINER(at, struct pair, link);

		pair->silent = true;
		watch(pair);
	}
}

/*
 * Close everything.
 */
void soak_proxy_finish(struct soak_proxy *proxy)
{
	soak_proxy_reset(proxy);
	talloc_free(proxy->mem);
	close(proxy->fd);
}
