/*
 * HTTP requests under a tevent loop: a libcurl multi handle whose sockets
 * and timer are tevent's.
 *
 * Life cycle: `rj_http_client_init` on the caller's memory; each
 * `rj_http_client_send` ends in exactly one call of its `done`, never before
 * it has returned; `rj_http_client_finish` drops what is open without
 * calling `done`. `done` must not finish the client.
 */
#ifndef RADISHJUNCTION_PRIVATE_HTTP_CLIENT_H
#define RADISHJUNCTION_PRIVATE_HTTP_CLIENT_H

#include <curl/curl.h>
#include <glib.h>
#include <tevent.h>

#include "private/list.h"
#include "radishjunction/error.h"
#include "radishjunction/types.h"

enum rj_http_outcome {
	RJ_HTTP_ANSWERED, /* a whole answer, of whatever status */
	RJ_HTTP_NOT_SENT, /* no byte of the request's body left here */
	RJ_HTTP_LOST, /* no whole answer: it may have taken effect */
	RJ_HTTP_OUTCOME_COUNT
};

extern const char *const rj_http_outcome_string[RJ_HTTP_OUTCOME_COUNT];

struct rj_http_result {
	enum rj_http_outcome outcome;
	uint32_t status; /* with RJ_HTTP_ANSWERED */
	const char *body; /* with RJ_HTTP_ANSWERED, freed after `done` */
	size_t length;
	bool too_long; /* lost because of response_max_bytes */
};

struct rj_http_request {
	const char *method;
	const char *url;
	const char *body; /* may be empty; copied */
	size_t length;
	uint64_t timeout_us; /* from now to the whole answer */
	size_t response_max_bytes; /* a longer answer is lost */
	const char *const *headers; /* beside the client's, "Name: value" */
	uint32_t header_count;
	void (*done)(void *private_data, const struct rj_http_result *result);
	void *private_data; /* talloc: owned by the client, freed after done */
};

struct rj_http_client {
	void *mem; /* parent of all transfers */
	struct tevent_context *ev;
	CURLM *multi;
	struct curl_slist *headers;
	struct tevent_timer *timer;
	struct rj_list transfers;
	GSequence *deadlines; /* of the open transfers, the earliest first */
	struct tevent_timer *deadline_timer;
	uint64_t deadline_us; /* that it is for */
	GPtrArray *idle_handles; /* CURL handles for the next calls */
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
char *rj_http_url(void *mem, const struct rj_address *address,
		  const char *path);
void rj_http_client_finish(struct rj_http_client *client);

#endif
