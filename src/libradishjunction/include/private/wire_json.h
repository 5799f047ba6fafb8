/*
 * Fields of the JSON bodies that travel between programs: 64-bit ids as
 * 16-digit hex strings, binary bytes as base64, counts as integers.
 *
 * Each getter returns 0, or -1 with an error that names the field, when the
 * field is missing, of another type or out of range.
 */
#ifndef RADISHJUNCTION_PRIVATE_WIRE_JSON_H
#define RADISHJUNCTION_PRIVATE_WIRE_JSON_H

#include <jansson.h>

#include "radishjunction/error.h"
#include "radishjunction/types.h"

#define RJ_HEX64_BYTES 17 /* 16 digits and the terminating zero */

void rj_wire_set_hex(json_t *object, const char *field, uint64_t value);
void rj_wire_set_count(json_t *object, const char *field, uint64_t value);
void rj_wire_set_bytes(json_t *object, const char *field,
		       const struct rj_bytes *bytes);
int rj_wire_get_hex(const json_t *object, const char *field, uint64_t *value,
		    struct rj_error *err);
int rj_wire_get_u64(const json_t *object, const char *field, uint64_t *value,
		    struct rj_error *err);
int rj_wire_get_u32(const json_t *object, const char *field, uint32_t *value,
		    struct rj_error *err);
int rj_wire_get_bool(const json_t *object, const char *field, bool *value,
		     struct rj_error *err);
int rj_wire_get_name(const json_t *object, const char *field,
		     char name[RJ_NAME_BYTES], struct rj_error *err);
int rj_wire_get_choice(const json_t *object, const char *field,
		       const char *const *strings, uint32_t count,
		       uint32_t *value, struct rj_error *err);
int rj_wire_get_bytes(void *mem, const json_t *object, const char *field,
		      struct rj_bytes *bytes, struct rj_error *err);
char *rj_wire_text(void *mem, const json_t *object);

#endif
