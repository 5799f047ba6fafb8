#include "private/pack.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

/* Initialise a writer with an empty buffer. */
void rj_pack_init(struct rj_packer *writer)
{
	msgpack_sbuffer_init(&writer->buffer);
	msgpack_packer_init(&writer->packer, &writer->buffer,
			    msgpack_sbuffer_write);
}

/* Return the written bytes as a talloc child of `mem` and free the writer. */
struct rj_bytes rj_pack_finish(struct rj_packer *writer, void *mem)
{
	struct rj_bytes bytes;

	bytes.data =
		talloc_memdup(mem, writer->buffer.data, writer->buffer.size);
	assert(bytes.data);
	bytes.length = (uint32_t)writer->buffer.size;
	msgpack_sbuffer_destroy(&writer->buffer);
	return bytes;
}

/* Write an unsigned number in the shortest encoding of its value. */
void rj_pack_number(struct rj_packer *writer, uint64_t value)
{
	msgpack_pack_uint64(&writer->packer, value);
}

void rj_pack_bool(struct rj_packer *writer, bool value)
{
	if (value)
		msgpack_pack_true(&writer->packer);
	else
		msgpack_pack_false(&writer->packer);
}

/* Write a text without its terminating zero. */
void rj_pack_text(struct rj_packer *writer, const char *text)
{
	msgpack_pack_str_with_body(&writer->packer, text, strlen(text));
}

/* Write arbitrary bytes. */
void rj_pack_data(struct rj_packer *writer, const void *data, size_t length)
{
	msgpack_pack_bin_with_body(&writer->packer, data, length);
}

/* Initialise a reader of `bytes`, which must outlive it. */
void rj_unpack_init(struct rj_unpacker *reader, struct rj_bytes bytes)
{
	memset(reader, 0, sizeof(*reader));
	reader->data = (const char *)bytes.data;
	reader->length = bytes.length;
	msgpack_unpacked_init(&reader->unpacked);
}

/* Free the reader. Returns 0, or -1 with `err` if a field was invalid. */
int rj_unpack_finish(struct rj_unpacker *reader, struct rj_error *err)
{
	msgpack_unpacked_destroy(&reader->unpacked);
	if (!reader->bad_field)
		return 0;
	return rj_error_set(err, RJ_ERR_MALFORMED,
			    "packed data: %s is missing, of the wrong type or "
			    "out of range near byte %zu; run the same version "
			    "of the program on both sides",
			    reader->bad_field, reader->offset);
}

/* Mark `field` as invalid; only the first invalid field is kept. */
void rj_unpack_fail(struct rj_unpacker *reader, const char *field)
{
	if (!reader->bad_field)
		reader->bad_field = field;
}

/*
 * Whether a value with this first byte is an array, a map or an extension.
 *
 * Guards against a frame of a few bytes that declares an array of millions of
 * elements: msgpack allocates memory for all of them first, and the process
 * would grow by gigabytes. Messages hold only scalars, so these types are
 * rejected before unpacking.
 */
static bool is_container(uint8_t first)
{
	return (first >= 0x80 && first <= 0x9f) ||
	       (first >= 0xc7 && first <= 0xc9) ||
	       (first >= 0xd4 && first <= 0xd8) ||
	       (first >= 0xdc && first <= 0xdf);
}

/* The next scalar, or NULL after marking `field` if it is not of `type`. */
static const msgpack_object *read_object(struct rj_unpacker *reader,
					 const char *field,
					 msgpack_object_type type)
{
	msgpack_unpack_return status;
	uint8_t first;

	if (reader->bad_field)
		return NULL;
	if (reader->offset >= reader->length) {
		rj_unpack_fail(reader, field);
		return NULL;
	}
	first = (uint8_t)reader->data[reader->offset];
	if (is_container(first)) {
		rj_unpack_fail(reader, field);
		return NULL;
	}
	status = msgpack_unpack_next(&reader->unpacked, reader->data,
				     reader->length, &reader->offset);
	if (status != MSGPACK_UNPACK_SUCCESS ||
	    reader->unpacked.data.type != type) {
		rj_unpack_fail(reader, field);
		return NULL;
	}
	return &reader->unpacked.data;
}

/* Read an unsigned number of at most `max`; 0 if invalid. */
uint64_t rj_unpack_number(struct rj_unpacker *reader, const char *field,
			  uint64_t max)
{
	const msgpack_object *object =
		read_object(reader, field, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (!object)
		return 0;
	if (object->via.u64 > max) {
		rj_unpack_fail(reader, field);
		return 0;
	}
	return object->via.u64;
}

/* Read a boolean; false if invalid. */
bool rj_unpack_bool(struct rj_unpacker *reader, const char *field)
{
	const msgpack_object *object =
		read_object(reader, field, MSGPACK_OBJECT_BOOLEAN);

	return object && object->via.boolean;
}

/*
 * Read a text without zero bytes into `text`, a buffer of `size` bytes, and
 * terminate it; "" if invalid.
 */
void rj_unpack_text(struct rj_unpacker *reader, const char *field, char *text,
		    size_t size)
{
	const msgpack_object *object =
		read_object(reader, field, MSGPACK_OBJECT_STR);

	memset(text, 0, size);
	if (!object || !object->via.str.size)
		return;
	if (object->via.str.size >= size ||
	    memchr(object->via.str.ptr, 0, object->via.str.size)) {
		rj_unpack_fail(reader, field);
		return;
	}
	memcpy(text, object->via.str.ptr, object->via.str.size);
}

/* Read at most `max` bytes without copying: they point into the input. */
struct rj_bytes rj_unpack_data(struct rj_unpacker *reader, const char *field,
			       uint32_t max)
{
	const msgpack_object *object =
		read_object(reader, field, MSGPACK_OBJECT_BIN);
	struct rj_bytes bytes = { NULL, 0 };

	if (!object)
		return bytes;
	if (object->via.bin.size > max) {
		rj_unpack_fail(reader, field);
		return bytes;
	}
	bytes.data = (const uint8_t *)object->via.bin.ptr;
	bytes.length = object->via.bin.size;
	return bytes;
}

/*
 * Whether more fields follow, which older versions do not write.
 */
bool rj_unpack_has_more(const struct rj_unpacker *reader)
{
	return !reader->bad_field && reader->offset < reader->length;
}

/* Read exactly `length` bytes into `data`; all zero if invalid. */
void rj_unpack_fixed_data(struct rj_unpacker *reader, const char *field,
			  uint8_t *data, uint32_t length)
{
	struct rj_bytes bytes = rj_unpack_data(reader, field, length);

	memset(data, 0, length);
	if (bytes.length != length)
		rj_unpack_fail(reader, field);
	else
		memcpy(data, bytes.data, length);
}
