/*
 * The HTTP adapter for callers in front of a scripted core, and callers that
 * connect to it over TCP.
 *
 * Life cycle: the test program sets `callers_loop`; `callers_server_init`, then
 * `callers_expect` or clients of the test, then `callers_server_finish`.
 */
#ifndef SUPPORT_CALLERS_FIXTURE_H
#define SUPPORT_CALLERS_FIXTURE_H

#include "radishjunction/http_callers.h"

struct tevent_fd;

#define BODY_MAX_BYTES 4096

/* The adapter under test with a core that returns `answer`. */
struct callers_server {
	struct rj_sink sink; /* must be the first member */
	struct rj_caller_views views;
	struct rj_http_callers callers;
	struct rj_request last_request; /* its body is not valid; see `body` */
	char body[64];
	uint32_t request_count;
	uint64_t disconnected_id;
	bool defer_answers; /* leave requests unanswered */
	struct rj_answer answer;
};

/* A caller that sends its text, then reads until the connection closes. */
struct callers_client {
	int fd;
	struct tevent_fd *event;
	const char *text;
	size_t length;
	size_t sent;
	GString *received;
	bool closed;
};

extern struct tevent_context *callers_loop;

void callers_server_init_as(struct callers_server *server, uint32_t connections,
			    uint32_t requests, bool deferred);
void callers_server_init(struct callers_server *server, uint32_t connections,
			 uint32_t requests);
void callers_server_finish(struct callers_server *server);
void callers_client_init(struct callers_client *client,
			 const struct callers_server *server, const char *text);
void callers_client_finish(struct callers_client *client);
unsigned int callers_client_status(const struct callers_client *client);
void callers_expect(struct callers_server *server, const char *text,
		    unsigned int status, const char *part);
const char *callers_request(const char *line, const char *headers,
			    const char *body);
const char *callers_post(const char *body);

#endif
