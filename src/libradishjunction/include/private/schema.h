/*
 * A table-driven checker that turns JSON into structs and back.
 *
 * A schema is a constant table of fields; nothing has to be started or
 * finished. `rj_schema_parse` checks a whole text, collects every error, and
 * fills the struct; what the struct points to becomes a talloc child of
 * `mem`. Each message names the path, the value and the remedy.
 */
#ifndef RADISHJUNCTION_PRIVATE_SCHEMA_H
#define RADISHJUNCTION_PRIVATE_SCHEMA_H

#include <jansson.h>

#include "radishjunction/error.h"
#include "radishjunction/types.h"

struct rj_schema;
struct rj_schema_field;

/* Where in the text a value stands; a list from the value to the root. */
struct rj_schema_path {
	const struct rj_schema_path *parent;
	const char *field; /* NULL for an element of an array */
	uint32_t index;
};

/* One check of one text. */
struct rj_schema_check {
	void *mem;
	struct rj_error_list *errors;
	bool failed;
};

/* What a type of field does; each type is one constant below. */
struct rj_schema_type {
	const char *name; /* as a message says it: "a whole number" */
	/* Check `value` and store it at `out`, reporting at `path`. */
	void (*decode)(struct rj_schema_check *check,
		       const struct rj_schema_field *field,
		       const struct rj_schema_path *path, const json_t *value,
		       void *out);
	/* Store the fallback of an optional field that was left out. */
	void (*fill)(struct rj_schema_check *check,
		     const struct rj_schema_field *field,
		     const struct rj_schema_path *path, void *out);
	/* A new JSON value, or NULL when it equals the fallback. */
	json_t *(*encode)(const struct rj_schema_field *field, const void *in);
};

extern const struct rj_schema_type rj_schema_bool; /* bool */
extern const struct rj_schema_type rj_schema_u32; /* uint32_t */
extern const struct rj_schema_type rj_schema_u64; /* uint64_t */
extern const struct rj_schema_type rj_schema_id; /* uint64_t, 16 hex digits */
extern const struct rj_schema_type rj_schema_name; /* char[RJ_NAME_BYTES] */
extern const struct rj_schema_type rj_schema_text; /* char[size] */
extern const struct rj_schema_type rj_schema_string; /* const char * */
extern const struct rj_schema_type rj_schema_hex; /* uint8_t[size] */
extern const struct rj_schema_type rj_schema_base64; /* struct rj_bytes */
extern const struct rj_schema_type rj_schema_choice; /* an enum */
extern const struct rj_schema_type rj_schema_address; /* struct rj_address */
extern const struct rj_schema_type rj_schema_object; /* a nested struct */
extern const struct rj_schema_type rj_schema_array; /* pointer and count */

struct rj_schema_field {
	const struct rj_schema_type *type; /* first member, always */
	const char *name;
	size_t offset; /* of the member in its struct */
	size_t count_offset; /* array: of its uint32_t count */
	/* Bounds of a number, of a text's or bytes' length, or of a count. */
	uint64_t min;
	uint64_t max;
	uint64_t fallback; /* number, bool or choice that is left out */
	uint64_t scale; /* the member's unit in the text's unit; 0 is 1 */
	const struct rj_schema *schema; /* object, array */
	const char *const *choices; /* choice: the enum's strings */
	uint32_t size; /* text, hex: bytes of the member */
	bool optional;
	bool lenient; /* choice: an unknown word counts as the fallback */
};

struct rj_schema {
	const struct rj_schema_field *fields;
	size_t size; /* of the struct */
	uint32_t field_count;
	bool allow_unknown; /* unknown fields are passed over */
	bool unique_names; /* elements of an array differ in "name" */
};

/* The first three members of a row: type, name of the field, its place. */
#define RJ_FIELD(type_, struct_, member)             \
	.type = &rj_schema_##type_, .name = #member, \
	.offset = offsetof(struct struct_, member)
#define RJ_FIELD_COUNT(fields) (sizeof(fields) / sizeof((fields)[0]))

json_t *rj_schema_load(const char *text, struct rj_error_list *errors);
int rj_schema_decode_partly(const struct rj_schema *schema, void *mem,
			    const json_t *json, void *out,
			    struct rj_error_list *errors);
int rj_schema_decode(const struct rj_schema *schema, void *mem,
		     const json_t *json, void *out,
		     struct rj_error_list *errors);
int rj_schema_parse(const struct rj_schema *schema, void *mem, const char *text,
		    void *out, struct rj_error_list *errors);
void rj_schema_defaults(const struct rj_schema *schema, void *out);
json_t *rj_schema_encode(const struct rj_schema *schema, const void *in);

/* For the types. */
#define RJ_SCHEMA_VALUE_BYTES 64 /* a value as a message shows it */
void rj_schema_report(struct rj_schema_check *check,
		      const struct rj_schema_path *path, const char *format,
		      ...) __attribute__((format(printf, 3, 4)));
void rj_schema_report_type(struct rj_schema_check *check,
			   const struct rj_schema_field *field,
			   const struct rj_schema_path *path,
			   const json_t *value);
void rj_schema_fill_zero(struct rj_schema_check *check,
			 const struct rj_schema_field *field,
			 const struct rj_schema_path *path, void *out);
void rj_schema_format_value(char out[RJ_SCHEMA_VALUE_BYTES],
			    const json_t *value);

#endif
