/*
 * Encoding of structs as JSON text by their schema, as used for all HTTP
 * bodies between programs.
 */
#ifndef RADISHJUNCTION_PRIVATE_WIRE_H
#define RADISHJUNCTION_PRIVATE_WIRE_H

#include "private/schema.h"

char *rj_wire_text(void *mem, const json_t *json);
char *rj_wire_encode(void *mem, const struct rj_schema *schema, const void *in);
int rj_wire_decode(const struct rj_schema *schema, void *mem, const char *text,
		   void *out, struct rj_error *err);

#endif
