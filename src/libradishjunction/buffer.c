#include "private/buffer.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#define INITIAL_CAPACITY_BYTES 1024

/*
 * Grow the buffer to `capacity` bytes, one of which is the terminating zero.
 */
void rj_buffer_reserve(struct rj_buffer *buffer, void *mem, size_t capacity)
{
	assert(capacity > buffer->length);
	buffer->capacity = capacity;
	buffer->data = talloc_realloc(mem, buffer->data, char, capacity);
	assert(buffer->data);
}

/*
 * Free the contents. The buffer is empty.
 */
void rj_buffer_clear(struct rj_buffer *buffer)
{
	TALLOC_FREE(buffer->data);
	memset(buffer, 0, sizeof(*buffer));
}

/*
 * Append `length` bytes. Appending 0 bytes to an empty buffer makes it a valid
 * empty string.
 */
void rj_buffer_append(struct rj_buffer *buffer, void *mem, const char *data,
		      size_t length)
{
	size_t required = buffer->length + length + 1;

	if (required > buffer->capacity || !buffer->data) {
		size_t grown = buffer->capacity ? 2 * buffer->capacity :
						  INITIAL_CAPACITY_BYTES;

		buffer->capacity = grown > required ? grown : required;
		buffer->data = talloc_realloc(mem, buffer->data, char,
					      buffer->capacity);
		assert(buffer->data);
	}
	if (length)
		memcpy(buffer->data + buffer->length, data, length);
	buffer->length += length;
	buffer->data[buffer->length] = 0;
}
