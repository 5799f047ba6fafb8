/*
 * Table-driven validation and conversion between JSON and structs.
 *
 * A schema is a constant table of fields and needs no set-up.
 * `rj_schema_parse` validates a whole text, collects every error and fills the
 * struct; memory that the struct points to is a talloc child of `mem`. Each
 * error message names the path, the value and the remedy.
 */
#ifndef RADISHJUNCTION_PRIVATE_SCHEMA_H
#define RADISHJUNCTION_PRIVATE_SCHEMA_H

#include <jansson.h>

#include "radishjunction/error.h"
#include "radishjunction/types.h"

struct rj_schema;
struct rj_schema_field;

/* Path of a value in the text, linked from the value to the root. */
struct rj_schema_path {
	const struct rj_schema_path *parent;
	const char *field; /* NULL for an element of an array */
	uint32_t index;
};

/* State of the validation of one text. */
struct rj_schema_check {
	void *mem;
	struct rj_error_list *errors;
	bool failed;
};

/* Operations of a field type; the types are the constants below. */
struct rj_schema_type {
	const char *name; /* as in error messages: "a whole number" */
	/* Validate `value` and store it at `out`; errors name `path`. */
	void (*decode)(struct rj_schema_check *check,
		       const struct rj_schema_field *field,
		       const struct rj_schema_path *path, const json_t *value,
		       void *out);
	/* Store the fallback of an optional field that is absent. */
	void (*fill)(struct rj_schema_check *check,
		     const struct rj_schema_field *field,
		     const struct rj_schema_path *path, void *out);
	/* Returns a new JSON value, or NULL to omit the field. */
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
	size_t count_offset; /* array: of its uint32_t count member */
	/* Bounds of a number, a text or byte length, or an array count. */
	uint64_t min;
	uint64_t max;
	/* Value of an absent number, bool or choice. A u64 fallback is scaled,
	 * a u32 fallback is not. */
	uint64_t fallback;
	uint64_t scale; /* member value = JSON value x scale; 0 means 1 */
	const struct rj_schema *schema; /* object, array */
	const char *const *choices; /* choice: strings by enum value */
	uint32_t size; /* text, hex: size of the member in bytes */
	bool optional;
	bool lenient; /* choice: decode an unknown word as the fallback */
};

struct rj_schema {
	const struct rj_schema_field *fields;
	size_t size; /* of the struct */
	uint32_t field_count;
	bool allow_unknown; /* ignore unknown fields */
	bool unique_names; /* array elements must differ in "name" */
};

/* Initialises the type, JSON name and offset of a field of that name. */
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

/* For implementations of field types. */
#define RJ_SCHEMA_VALUE_BYTES 64 /* of a value in an error message */
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
