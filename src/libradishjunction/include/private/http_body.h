/*
 * What both HTTP servers do with a request of a client: the length of its
 * headers, and the body that they keep within the client's budget.
 */
#ifndef RADISHJUNCTION_PRIVATE_HTTP_BODY_H
#define RADISHJUNCTION_PRIVATE_HTTP_BODY_H

#include <microhttpd.h>

#include "private/buffer.h"
#include "private/client_budget.h"

size_t rj_http_headers_length(struct MHD_Connection *connection);
int rj_http_body_append(struct rj_buffer *body, void *mem,
			struct rj_client *client, uint32_t body_max_bytes,
			const char *data, size_t length);

#endif
