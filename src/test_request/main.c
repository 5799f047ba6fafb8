/*
 * rj-request: sends standard input over one connection, as it is, and prints
 * all that comes back until the other side closes. Fails if the connection is
 * reset, or silent for so long that nothing can be expected.
 */
#include <argtable2.h>
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define SILENT_MAX_MS 20000
#define PIECE_BYTES 16384
#define ERRORS_MAX 4

/* Sends all of standard input. Returns 0, or -1 if the connection broke. */
static int send_input(int fd)
{
	char piece[PIECE_BYTES];
	ssize_t length;

	while ((length = read(STDIN_FILENO, piece, sizeof(piece))) > 0)
		if (send(fd, piece, (size_t)length, MSG_NOSIGNAL) != length)
			return -1;
	return 0;
}

/* Prints all that arrives. Returns 0 at the end of the connection, or -1. */
static int print_answers(int fd)
{
	struct pollfd readable = { .fd = fd, .events = POLLIN };
	char piece[PIECE_BYTES];

	while (poll(&readable, 1, SILENT_MAX_MS) > 0) {
		ssize_t length = recv(fd, piece, sizeof(piece), 0);

		if (length <= 0)
			return (int)length;
		(void)fwrite(piece, 1, (size_t)length, stdout);
	}
	return -1;
}

int main(int argc, char **argv)
{
	struct arg_int *port =
		arg_int1(NULL, "port", "PORT", "port on 127.0.0.1");
	struct arg_lit *half_close = arg_lit0(
		NULL, "half-close", "close the sending side after the input");
	struct arg_end *errors = arg_end(ERRORS_MAX);
	void *table[] = { port, half_close, errors };
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (arg_nullcheck(table) || arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, errors, "rj-request");
		return 2;
	}
	to.sin_port = htons((uint16_t)port->ival[0]);
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) || send_input(fd) ||
	    (half_close->count && shutdown(fd, SHUT_WR)) || print_answers(fd)) {
		perror("rj-request");
		return 1;
	}
	return 0;
}
