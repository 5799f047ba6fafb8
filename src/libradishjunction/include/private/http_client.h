/*
 * Asynchronous HTTP client: a libcurl multi handle driven by a tevent loop.
 *
 * Life cycle: `rj_http_client_init` on the caller's memory; each
 * `rj_http_client_send` leads to exactly one call of `done`, never before
 * `rj_http_client_send` has returned; `rj_http_client_finish` cancels open
 * requests without calling `done`. `done` must not finish the client.
 *
 * A turn of the loop serves a bounded number of the client's sockets, so that
 * other sources of events wait for a bounded time, however many requests are
 * open.
 */
#ifndef RADISHJUNCTION_PRIVATE_HTTP_CLIENT_H
#define RADISHJUNCTION_PRIVATE_HTTP_CLIENT_H

#include <curl/curl.h>
#include <glib.h>
#include <tevent.h>

#include "private/http_connections.h"
#include "private/list.h"
#include "radishjunction/error.h"
#include "radishjunction/types.h"

enum rj_http_outcome {
	RJ_HTTP_ANSWERED, /* complete response, with any status */
	RJ_HTTP_NOT_SENT, /* no byte of the request body was sent */
	/* Not sent: no idle connection leads to the process that the request
	 * is meant for. */
	RJ_HTTP_NO_CONNECTION,
	RJ_HTTP_LOST, /* no complete response; may have taken effect */
	RJ_HTTP_OUTCOME_COUNT
};

extern const char *const rj_http_outcome_string[RJ_HTTP_OUTCOME_COUNT];

struct rj_http_result {
	enum rj_http_outcome outcome;
	uint32_t status; /* with RJ_HTTP_ANSWERED */
	const char *body; /* with RJ_HTTP_ANSWERED, freed after `done` */
	size_t length;
	bool too_long; /* lost: longer than response_max_bytes */
	/* Over which it was sent, for rj_http_client_identify. */
	struct rj_http_connection_use connection;
};

struct rj_http_request {
	const char *method;
	const char *url;
	const char *body; /* may be empty; copied */
	size_t length;
	/* From now until the body is sent, if there is one, and again from then
	 * until the complete response. While the client is behind with its
	 * sockets, a response may take as long once more. */
	uint64_t timeout_us;
	size_t response_max_bytes; /* a longer response counts as lost */
	const char *const *headers; /* added to the client's; "Name: value" */
	uint32_t header_count;
	/* Not 0: the request is only sent over a connection that is known to
	 * lead to this server process, see rj_http_client_identify. */
	uint64_t identity;
	void (*done)(void *private_data, const struct rj_http_result *result);
	void *private_data; /* talloc; taken over, freed after `done` */
};

struct rj_http_client {
	void *mem; /* parent of all transfers */
	struct tevent_context *ev;
	CURLM *multi;
	struct curl_slist *headers;
	struct tevent_timer *timer;
	int epoll_fd; /* all sockets of this client */
	/* The last time at which no socket was left that was ready. */
	uint64_t drained_us;
	struct rj_list transfers;
	GSequence *deadlines; /* open transfers, earliest deadline first */
	struct tevent_timer *deadline_timer;
	uint64_t deadline_us; /* expiry of deadline_timer */
	GPtrArray *idle_handles; /* CURL handles kept for reuse */
	struct rj_http_connections connections;
};

int rj_http_client_init(struct rj_http_client *client, void *mem,
			struct tevent_context *ev, const char *instance,
			uint32_t host_connections_max, struct rj_error *err);
void rj_http_client_set_connections_max(struct rj_http_client *client,
					uint32_t connections_max);
void rj_http_client_set_host_connections_max(struct rj_http_client *client,
					     uint32_t host_connections_max);
void rj_http_client_add_header(struct rj_http_client *client,
			       const char *header);
void rj_http_client_send(struct rj_http_client *client,
			 const struct rj_http_request *request);
void rj_http_client_identify(struct rj_http_client *client,
			     const struct rj_http_result *result,
			     uint64_t identity);
char *rj_http_url(void *mem, const struct rj_address *address,
		  const char *path);
void rj_http_client_finish(struct rj_http_client *client);

#endif
