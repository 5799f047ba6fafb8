/*
 * A TCP proxy between one instance and the platform's store, on loopback.
 *
 * usage: review-proxy PORT_OF_THE_STORE
 *
 * Prints its own port. After SIGUSR1 it gives no response: it reads and drops
 * what arrives, on open and on new connections. After SIGUSR2 it forwards new
 * connections again; those that were silent stay silent until their client
 * closes them. After SIGHUP it forwards, and holds back what the store answers
 * for SLOW_MS.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define PAIRS_MAX 256
#define SLOW_MS 212 /* 53 times the 4 ms of the sheets */

/* An answer that is held back. */
struct chunk {
	struct chunk *next;
	long long due_ms;
	ssize_t length;
	char data[];
};

struct pair {
	int client; /* -1: free */
	int store; /* -1: silent */
	struct chunk *first;
	struct chunk *last;
};

static struct pair pairs[PAIRS_MAX];
static volatile sig_atomic_t silent;
static volatile sig_atomic_t slow;

static void on_signal(int number)
{
	silent = number == SIGUSR1;
	slow = number == SIGHUP;
}

static long long now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

static int connect_to(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_port = htons((unsigned short)port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd >= 0 &&
	    connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		close(fd);
		return -1;
	}
	return fd;
}

static int listen_on_free_port(int *port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 64) ||
	    getsockname(fd, (struct sockaddr *)&address, &length))
		return -1;
	*port = ntohs(address.sin_port);
	return fd;
}

static void close_pair(struct pair *pair)
{
	close(pair->client);
	if (pair->store >= 0)
		close(pair->store);
	while (pair->first) {
		struct chunk *next = pair->first->next;

		free(pair->first);
		pair->first = next;
	}
	pair->last = NULL;
	pair->client = -1;
	pair->store = -1;
}

static bool write_all(int fd, const char *data, ssize_t length)
{
	while (length > 0) {
		ssize_t written = write(fd, data, (size_t)length);

		if (written < 0 && errno == EINTR)
			continue;
		if (written <= 0)
			return false;
		data += written;
		length -= written;
	}
	return true;
}

/* Reads and forwards, or drops; returns false at the end of the connection. */
static bool forward(int from, int to)
{
	char buffer[65536];
	ssize_t length = read(from, buffer, sizeof(buffer));

	if (length < 0 && errno == EINTR)
		return true;
	if (length <= 0)
		return false;
	return to < 0 || write_all(to, buffer, length);
}

/* Reads an answer of the store, to be sent when it is due. */
static bool hold_back(struct pair *pair)
{
	char buffer[65536];
	ssize_t length = read(pair->store, buffer, sizeof(buffer));
	struct chunk *chunk;

	if (length < 0 && errno == EINTR)
		return true;
	if (length <= 0)
		return false;
	chunk = malloc(sizeof(*chunk) + (size_t)length);
	if (!chunk)
		return false;
	chunk->next = NULL;
	chunk->due_ms = now_ms() + (slow ? SLOW_MS : 0);
	chunk->length = length;
	memcpy(chunk->data, buffer, (size_t)length);
	if (pair->last)
		pair->last->next = chunk;
	else
		pair->first = chunk;
	pair->last = chunk;
	return true;
}

/* Sends the answers that are due; returns the time until the next one. */
static int send_due(void)
{
	long long now = now_ms();
	long long wait = 20;

	for (int i = 0; i < PAIRS_MAX; i++) {
		struct pair *pair = &pairs[i];

		while (pair->client >= 0 && pair->first &&
		       pair->first->due_ms <= now) {
			struct chunk *chunk = pair->first;
			bool ok = write_all(pair->client, chunk->data,
					    chunk->length);

			pair->first = chunk->next;
			if (!pair->first)
				pair->last = NULL;
			free(chunk);
			if (!ok)
				close_pair(pair);
		}
		if (pair->client >= 0 && pair->first &&
		    pair->first->due_ms - now < wait)
			wait = pair->first->due_ms - now;
	}
	return (int)wait;
}

static void accept_client(int listener, int store_port)
{
	int client = accept(listener, NULL, NULL);

	if (client < 0)
		return;
	for (int i = 0; i < PAIRS_MAX; i++) {
		if (pairs[i].client >= 0)
			continue;
		pairs[i].client = client;
		pairs[i].store = silent ? -1 : connect_to(store_port);
		if (!silent && pairs[i].store < 0)
			close_pair(&pairs[i]);
		return;
	}
	close(client);
}

static void go_silent(void)
{
	for (int i = 0; i < PAIRS_MAX; i++)
		if (pairs[i].client >= 0 && pairs[i].store >= 0) {
			close(pairs[i].store);
			pairs[i].store = -1;
		}
}

int main(int argc, char **argv)
{
	int port = 0;
	int listener = listen_on_free_port(&port);
	struct sigaction action = { .sa_handler = on_signal };

	if (argc != 2 || listener < 0)
		return 2;
	for (int i = 0; i < PAIRS_MAX; i++)
		pairs[i].client = pairs[i].store = -1;
	signal(SIGPIPE, SIG_IGN);
	sigaction(SIGUSR1, &action, NULL);
	sigaction(SIGUSR2, &action, NULL);
	sigaction(SIGHUP, &action, NULL);
	printf("port %d\n", port);
	fflush(stdout);
	for (;;) {
		struct pollfd fds[1 + 2 * PAIRS_MAX];
		struct pair *owner[1 + 2 * PAIRS_MAX];
		int count = 0;

		fds[count++] = (struct pollfd){ listener, POLLIN, 0 };
		for (int i = 0; i < PAIRS_MAX; i++) {
			if (pairs[i].client < 0)
				continue;
			owner[count] = &pairs[i];
			fds[count++] =
				(struct pollfd){ pairs[i].client, POLLIN, 0 };
			if (pairs[i].store < 0)
				continue;
			owner[count] = &pairs[i];
			fds[count++] =
				(struct pollfd){ pairs[i].store, POLLIN, 0 };
		}
		if (poll(fds, (nfds_t)count, send_due()) <= 0) {
			if (silent)
				go_silent();
			continue;
		}
		if (silent)
			go_silent();
		for (int i = 1; i < count; i++) {
			struct pair *pair = owner[i];
			bool ok = true;

			if (!fds[i].revents)
				continue;
			if (fds[i].fd == pair->client)
				ok = forward(pair->client, pair->store);
			else if (fds[i].fd == pair->store)
				ok = hold_back(pair);
			if (!ok)
				close_pair(pair);
		}
		if (fds[0].revents)
			accept_client(listener, atoi(argv[1]));
	}
}
