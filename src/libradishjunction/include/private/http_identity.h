/*
 * Requests that one process of a server must receive, and no later one at the
 * same address.
 *
 * A connection ends with the process that it leads to. So each new connection
 * first carries a handshake, a request without such content whose response
 * names the process. A request is then sent over a connection to its process,
 * or not at all, and is never sent again on another one.
 *
 * Life cycle: `rj_http_identity_init` on the caller's memory, with a client that
 * outlives it; each `rj_http_identity_send` leads to exactly one call of `done`,
 * never before it has returned, unless the client is finished first;
 * `rj_http_identity_finish` after the client.
 */
#ifndef RADISHJUNCTION_PRIVATE_HTTP_IDENTITY_H
#define RADISHJUNCTION_PRIVATE_HTTP_IDENTITY_H

#include "private/http_client.h"

/* The request that identifies the process at the end of a connection. All
 * texts are copied. */
struct rj_http_handshake {
	const char *url;
	const char *body;
	uint64_t timeout_us;
	/* Returns the identity that a response states; 0: none. */
	uint64_t (*read_identity)(const struct rj_http_result *result);
};

struct rj_http_identity {
	struct rj_http_client *client;
	GHashTable *targets; /* those with requests that wait */
	uint64_t handshakes; /* sent */
};

/* The status of a result whose process no longer serves its address. */
#define RJ_HTTP_STATUS_MISDIRECTED 421

void rj_http_identity_init(struct rj_http_identity *identity,
			   struct rj_http_client *client);
void rj_http_identity_send(struct rj_http_identity *identity,
			   const struct rj_http_request *request,
			   const struct rj_http_handshake *handshake);
void rj_http_identity_idle(struct rj_http_identity *identity,
			   const char *handshake_url, uint64_t process);
void rj_http_identity_finish(struct rj_http_identity *identity);

#endif
