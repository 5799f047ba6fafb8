/*
 * Connections of an HTTP client, and the server process that each leads to.
 *
 * libcurl chooses the connection of a request. Its callbacks report when a
 * socket is opened or closed, and over which ports a request is about to be
 * sent; from these the connection is known before the first byte is sent.
 *
 * Life cycle: `rj_http_connections_init` on the caller's memory;
 * `rj_http_connections_finish` after libcurl has closed all sockets.
 */
#ifndef RADISHJUNCTION_PRIVATE_HTTP_CONNECTIONS_H
#define RADISHJUNCTION_PRIVATE_HTTP_CONNECTIONS_H

#include <curl/curl.h>
#include <glib.h>
#include <stdint.h>

#include "radishjunction/types.h"

/* Addresses and ports of a connection. While it is open they are unique. */
struct rj_http_route {
	char remote_ip[RJ_IP_BYTES];
	uint32_t remote_port;
	uint32_t local_port;
};

/* A socket that was opened for a request. */
struct rj_http_opened {
	curl_socket_t fd;
	uint64_t number; /* of the connection, from 1; 0: none was opened */
};

/* A connection over which a request is sent. */
struct rj_http_connection_use {
	uint64_t number; /* 0: not known */
	struct rj_http_route route;
	/* What the server process at its other end is known as; 0: unknown. */
	uint64_t identity;
};

struct rj_http_connections {
	GHashTable *by_socket;
	GHashTable *by_route;
	uint64_t opened; /* number of connections opened so far */
};

void rj_http_connections_init(struct rj_http_connections *connections);
struct rj_http_opened
rj_http_connections_open(struct rj_http_connections *connections,
			 const struct curl_sockaddr *address);
int rj_http_connections_close(struct rj_http_connections *connections,
			      curl_socket_t fd);
struct rj_http_connection_use
rj_http_connections_use(struct rj_http_connections *connections,
			const struct rj_http_route *route,
			const struct rj_http_opened *opened);
void rj_http_connections_identify(struct rj_http_connections *connections,
				  const struct rj_http_connection_use *use,
				  uint64_t identity);
void rj_http_connections_finish(struct rj_http_connections *connections);

#endif
