/*
 * Growable byte buffer that keeps a terminating zero after its contents.
 *
 * A zeroed struct is an empty buffer. The bytes are a talloc child of the
 * context passed to the first append.
 */
#ifndef RADISHJUNCTION_PRIVATE_BUFFER_H
#define RADISHJUNCTION_PRIVATE_BUFFER_H

#include <stddef.h>

struct rj_buffer {
	char *data; /* NULL before the first append */
	size_t length;
	size_t capacity;
};

void rj_buffer_reserve(struct rj_buffer *buffer, void *mem, size_t capacity);
void rj_buffer_clear(struct rj_buffer *buffer);
void rj_buffer_append(struct rj_buffer *buffer, void *mem, const char *data,
		      size_t length);

#endif
