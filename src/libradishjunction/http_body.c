#include "private/http_body.h"

#include <string.h>

#define MIN_CAPACITY_BYTES 1024

/* MHD iterator: add the length of one header to `*sum`. */
static enum MHD_Result add_header(void *sum, enum MHD_ValueKind kind,
				  const char *name, const char *value)
{
	*(size_t *)sum += strlen(name) + (value ? strlen(value) : 0);
	return MHD_YES;
}

/*
 * Returns the length of the names and values of a request's headers, in bytes.
 */
size_t rj_http_headers_length(struct MHD_Connection *connection)
{
	size_t length = 0;

	MHD_get_connection_values(connection, MHD_HEADER_KIND, add_header,
				  &length);
	return length;
}

/*
 * Appends a piece of a body, which stays within `body_max_bytes`. Memory is
 * charged to the client before it is allocated on `mem`.
 *
 * Returns 0; or -1 if the budget is exhausted, or if this client is the one
 * that gave way.
 */
int rj_http_body_append(struct rj_buffer *body, void *mem,
			struct rj_client *client, uint32_t body_max_bytes,
			const char *data, size_t length)
{
	size_t required = body->length + length + 1;
	size_t capacity = MAX(2 * body->capacity, MIN_CAPACITY_BYTES);

	if (required > body->capacity) {
		capacity = MAX(required,
			       MIN(capacity, (size_t)body_max_bytes + 1));
		if (rj_client_charge(client, capacity - body->capacity))
			return -1;
		rj_buffer_reserve(body, mem, capacity);
	}
	rj_buffer_append(body, mem, data, length);
	return 0;
}
