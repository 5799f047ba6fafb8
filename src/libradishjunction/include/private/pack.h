/*
 * Serialization of a sequence of scalars as msgpack, used by the frames
 * between instances and by the records in the log.
 *
 * Life cycle of a writer: `rj_pack_init`, any number of writes, then
 * `rj_pack_finish` transfers the bytes to the caller. Of a reader:
 * `rj_unpack_init` on bytes that outlive it, reads in the order of the writes,
 * then `rj_unpack_finish` reports the first invalid field. After an invalid
 * field every read returns zero, so one check at the end is enough.
 */
#ifndef RADISHJUNCTION_PRIVATE_PACK_H
#define RADISHJUNCTION_PRIVATE_PACK_H

#include <msgpack.h>

#include "radishjunction/error.h"
#include "radishjunction/types.h"

struct rj_packer {
	msgpack_sbuffer buffer;
	msgpack_packer packer;
};

struct rj_unpacker {
	const char *data;
	size_t length;
	size_t offset;
	const char *bad_field; /* first invalid field, or NULL */
	msgpack_unpacked unpacked;
};

void rj_pack_init(struct rj_packer *writer);
struct rj_bytes rj_pack_finish(struct rj_packer *writer, void *mem);
void rj_pack_number(struct rj_packer *writer, uint64_t value);
void rj_pack_bool(struct rj_packer *writer, bool value);
void rj_pack_text(struct rj_packer *writer, const char *text);
void rj_pack_data(struct rj_packer *writer, const void *data, size_t length);
void rj_unpack_init(struct rj_unpacker *reader, struct rj_bytes bytes);
int rj_unpack_finish(struct rj_unpacker *reader, struct rj_error *err);
void rj_unpack_fail(struct rj_unpacker *reader, const char *field);
uint64_t rj_unpack_number(struct rj_unpacker *reader, const char *field,
			  uint64_t max);
bool rj_unpack_bool(struct rj_unpacker *reader, const char *field);
void rj_unpack_text(struct rj_unpacker *reader, const char *field, char *text,
		    size_t size);
struct rj_bytes rj_unpack_data(struct rj_unpacker *reader, const char *field,
			       uint32_t max);
bool rj_unpack_has_more(const struct rj_unpacker *reader);
void rj_unpack_fixed_data(struct rj_unpacker *reader, const char *field,
			  uint8_t *data, uint32_t length);

#endif
