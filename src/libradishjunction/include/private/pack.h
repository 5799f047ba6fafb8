/*
 * Scalars in msgpack, one after the other: what frames between instances and
 * records in the log have in common.
 *
 * Life cycle: `rj_pack_init`, any number of writes, `rj_pack_finish` hands
 * the bytes over. `rj_unpack_init` on bytes that outlive the reader, reads in
 * the same order, `rj_unpack_finish` says whether all of them were good. After
 * the first bad field every read gives zero, so one check at the end will do.
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

/* Reads scalars in order; after the first error it reads only zeros. */
struct rj_unpacker {
	const char *data;
	size_t length;
	size_t offset;
	const char *bad_field; /* the field that could not be read */
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
