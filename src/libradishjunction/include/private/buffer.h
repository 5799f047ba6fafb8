/*
 * Bytes that grow as they come in, with a terminating zero behind them.
 *
 * A zeroed struct is empty; its bytes are a talloc child of the context of
 * the first append.
 */
#ifndef RADISHJUNCTION_PRIVATE_BUFFER_H
#define RADISHJUNCTION_PRIVATE_BUFFER_H

#include <stddef.h>

struct rj_buffer {
	char *data; /* NULL while nothing was appended */
	size_t length;
	size_t capacity;
};

void rj_buffer_append(struct rj_buffer *buffer, void *mem, const char *data,
		      size_t length);

#endif
