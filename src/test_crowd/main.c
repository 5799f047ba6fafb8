/*
 * rj-crowd: clients that don't behave. Opens connections to one listener,
 * sends the same request on each, and holds them open until SIGTERM. Prints
 * one line of JSON once no connection can send any more.
 */
#include <argtable2.h>
#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#define SEND_BYTES 16384
#define PIECE_BYTES 8192
#define ANSWER_BYTES 4096
#define ERRORS_MAX 8
/* The crowd has settled once nothing was sent for this long. */
#define SETTLED_MS 1000
/* With --again, closed connections are opened again at this interval. */
#define AGAIN_INTERVAL_MS 500

/* What a crowd sends. A body is `body_bytes` long; a request that stops short
 * lacks its last byte, or its last chunk. */
struct kind {
	const char *name;
	uint32_t piece_bytes; /* each connection sends so much in turn */
	uint32_t chunk_bytes; /* 0: the length is announced */
	uint64_t announced_bytes; /* 0: the length of the body */
	bool stops_short;
	bool headers_only; /* the headers don't end */
	/* Text instead of a body. */
	const char *pattern;
	uint32_t pattern_repeats;
};

static const struct kind kinds[] = {
	{ .name = "whole", .piece_bytes = SEND_BYTES },
	{ .name = "whole-in-pieces", .piece_bytes = PIECE_BYTES },
	{ .name = "short", .piece_bytes = SEND_BYTES, .stops_short = true },
	{ .name = "short-in-pieces",
	  .piece_bytes = PIECE_BYTES,
	  .stops_short = true },
	{ .name = "large-chunks",
	  .piece_bytes = SEND_BYTES,
	  .chunk_bytes = 32768,
	  .stops_short = true },
	{ .name = "small-chunks",
	  .piece_bytes = SEND_BYTES,
	  .chunk_bytes = 4,
	  .stops_short = true },
	{ .name = "announced",
	  .piece_bytes = SEND_BYTES,
	  .announced_bytes = 10000000000,
	  .stops_short = true },
	{ .name = "headers", .piece_bytes = SEND_BYTES, .headers_only = true },
	{ .name = "values",
	  .piece_bytes = SEND_BYTES,
	  .pattern = "{},",
	  .pattern_repeats = 1 },
	/* A chunk whose size line is longer than any buffer. */
	{ .name = "chunk-extension",
	  .piece_bytes = SEND_BYTES,
	  .chunk_bytes = 1,
	  .pattern = "x",
	  .pattern_repeats = 40000,
	  .stops_short = true },
};

struct client {
	int fd; /* -1: closed */
	size_t sent;
};

struct crowd {
	const struct kind *kind;
	struct sockaddr_in address;
	GString *request;
	struct client *clients;
	struct pollfd *polls;
	uint32_t count;
	uint32_t answers;
	uint32_t closed;
	bool again; /* closed connections are opened again */
};

static volatile sig_atomic_t stopped;

static void on_term(int number)
{
	stopped = 1;
}

static void append_fill(GString *text, size_t length)
{
	for (size_t i = 0; i < length; i++)
		g_string_append_c(text, ' ');
}

static void append_chunked(GString *text, const struct kind *kind,
			   size_t length)
{
	for (size_t done = 0; done < length; done += kind->chunk_bytes) {
		g_string_append_printf(text, "%x\r\n", kind->chunk_bytes);
		append_fill(text, kind->chunk_bytes);
		g_string_append(text, "\r\n");
	}
	if (!kind->stops_short)
		g_string_append(text, "0\r\n\r\n");
}

/* The request that each client sends. */
static GString *make_request(const struct kind *kind, const char *path,
			     size_t body_bytes)
{
	GString *text = g_string_new(NULL);
	uint64_t announced =
		kind->announced_bytes ? kind->announced_bytes : body_bytes;

	g_string_append_printf(text,
			       "POST %s HTTP/1.1\r\nHost: h.example\r\n"
			       "Authorization: Token k1\r\n",
			       path);
	if (kind->headers_only) {
		g_string_append(text, "Padding: ");
		append_fill(text, body_bytes);
		return text;
	}
	if (kind->chunk_bytes) {
		g_string_append(text, "Transfer-Encoding: chunked\r\n\r\n");
		if (!kind->pattern) {
			append_chunked(text, kind, body_bytes);
			return text;
		}
		g_string_append(text, "1;");
		for (uint32_t i = 0; i < kind->pattern_repeats; i++)
			g_string_append(text, kind->pattern);
		return text;
	}
	g_string_append_printf(text,
			       "Content-Length: %" G_GUINT64_FORMAT "\r\n\r\n",
			       announced);
	if (kind->pattern) {
		size_t end = text->len + body_bytes;

		g_string_append(text, "{\"Spec\":\"1\",\"Steps\":[");
		while (text->len + strlen(kind->pattern) + 4 < end)
			g_string_append(text, kind->pattern);
		g_string_append(text, "{}");
		append_fill(text, end - text->len - 2);
		g_string_append(text, "]}");
		return text;
	}
	append_fill(text, kind->stops_short ? body_bytes - 1 : body_bytes);
	return text;
}

static void open_client(struct crowd *crowd, struct client *client)
{
	client->sent = 0;
	client->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	assert(client->fd >= 0);
	if (connect(client->fd, (struct sockaddr *)&crowd->address,
		    sizeof(crowd->address)) &&
	    errno != EINPROGRESS) {
		close(client->fd);
		client->fd = -1;
		crowd->closed++;
	}
}

static void close_client(struct crowd *crowd, struct client *client)
{
	close(client->fd);
	client->fd = -1;
	crowd->closed++;
}

/* Sends the next piece. Returns whether anything was sent. */
static bool send_piece(struct crowd *crowd, struct client *client)
{
	size_t left = crowd->request->len - client->sent;
	ssize_t sent = send(client->fd, crowd->request->str + client->sent,
			    MIN(left, crowd->kind->piece_bytes), MSG_NOSIGNAL);

	if (sent > 0)
		client->sent += (size_t)sent;
	else if (sent < 0 && errno != EAGAIN)
		close_client(crowd, client);
	return sent > 0;
}

/* Reads what the server has answered, or notices that it has closed. */
static void receive(struct crowd *crowd, struct client *client)
{
	char answer[ANSWER_BYTES];
	ssize_t got = recv(client->fd, answer, sizeof(answer), 0);

	if (got > 0)
		crowd->answers++;
	else if (!got || errno != EAGAIN)
		close_client(crowd, client);
}

/* Serves all connections once. Returns whether anything was sent. */
static bool run_once(struct crowd *crowd)
{
	bool progress = false;

	for (uint32_t i = 0; i < crowd->count; i++) {
		struct client *client = &crowd->clients[i];

		crowd->polls[i].fd = client->fd;
		crowd->polls[i].events = POLLIN;
		if (client->sent < crowd->request->len)
			crowd->polls[i].events |= POLLOUT;
	}
	if (poll(crowd->polls, crowd->count, SETTLED_MS) <= 0)
		return false;
	for (uint32_t i = 0; i < crowd->count; i++) {
		struct client *client = &crowd->clients[i];
		int events = crowd->polls[i].revents;

		if (client->fd >= 0 && (events & POLLOUT))
			progress |= send_piece(crowd, client);
		if (client->fd >= 0 && (events & (POLLIN | POLLERR | POLLHUP)))
			receive(crowd, client);
	}
	return progress;
}

/* Opens the connections again that were closed. */
static void reopen(struct crowd *crowd)
{
	for (uint32_t i = 0; i < crowd->count; i++)
		if (crowd->clients[i].fd < 0)
			open_client(crowd, &crowd->clients[i]);
}

static const struct kind *find_kind(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (!strcmp(kinds[i].name, name))
			return &kinds[i];
	return NULL;
}

/* Opens the connections, sends, and holds on until SIGTERM. */
static void run(struct crowd *crowd)
{
	int64_t progress_us = g_get_monotonic_time();
	int64_t reopened_us = progress_us;
	bool settled = false;

	crowd->clients = g_new0(struct client, crowd->count);
	crowd->polls = g_new0(struct pollfd, crowd->count);
	for (uint32_t i = 0; i < crowd->count; i++)
		open_client(crowd, &crowd->clients[i]);
	while (!stopped) {
		int64_t now_us;

		if (run_once(crowd))
			progress_us = g_get_monotonic_time();
		now_us = g_get_monotonic_time();
		if (crowd->again &&
		    now_us - reopened_us > AGAIN_INTERVAL_MS * 1000) {
			reopened_us = now_us;
			reopen(crowd);
		}
		if (settled || now_us - progress_us < SETTLED_MS * 1000)
			continue;
		settled = true;
		printf("{\"settled\":%u,\"closed\":%u,\"answers\":%u}\n",
		       crowd->count, crowd->closed, crowd->answers);
		fflush(stdout);
	}
	g_free(crowd->clients);
	g_free(crowd->polls);
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int1(NULL, "port", "PORT", "of a listener");
	struct arg_str *kind = arg_str1(NULL, "kind", "KIND", "what to send");
	struct arg_int *count = arg_int1(NULL, "count", "N", "connections");
	struct arg_int *body = arg_int1(NULL, "body", "BYTES", "of a body");
	struct arg_str *path = arg_str1(NULL, "path", "PATH", "to send to");
	struct arg_lit *again = arg_lit0(NULL, "again", "reopen connections");
	struct arg_end *errors = arg_end(ERRORS_MAX);
	void *table[] = { port, kind, count, body, path, again, errors };
	struct crowd crowd = { .address = { .sin_family = AF_INET } };
	int status = EXIT_FAILURE;

	if (arg_nullcheck(table) || arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, errors, "rj-crowd");
		goto free_table;
	}
	crowd.kind = find_kind(kind->sval[0]);
	if (!crowd.kind) {
		fprintf(stderr, "rj-crowd: %s: no such kind\n", kind->sval[0]);
		goto free_table;
	}
	signal(SIGTERM, on_term);
	crowd.again = again->count;
	crowd.address.sin_port = htons((uint16_t)port->ival[0]);
	crowd.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	crowd.count = (uint32_t)count->ival[0];
	crowd.request =
		make_request(crowd.kind, path->sval[0], (size_t)body->ival[0]);
	run(&crowd);
	g_string_free(crowd.request, TRUE);
	status = EXIT_SUCCESS;
free_table:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
