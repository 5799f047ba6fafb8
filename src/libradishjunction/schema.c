#include "private/schema.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* Exceeds the longest path in any schema; a longer one would be truncated. */
#define PATH_BYTES 160

/*
 * Format the path from the root, such as `accounts[2].guarantees[0].tasks`.
 * Returns its length.
 */
static size_t format_path(const struct rj_schema_path *path,
			  char out[PATH_BYTES])
{
	size_t length = 0;
	int written;

	out[0] = 0;
	if (!path)
		return 0;
	length = format_path(path->parent, out);
	if (path->field)
		written = snprintf(out + length, PATH_BYTES - length, "%s%s",
				   length ? "." : "", path->field);
	else
		written = snprintf(out + length, PATH_BYTES - length, "[%u]",
				   path->index);
	length += (size_t)written;
	return length < PATH_BYTES ? length : PATH_BYTES - 1;
}

/*
 * Add an error whose message is prefixed with the path of the value.
 */
void rj_schema_report(struct rj_schema_check *check,
		      const struct rj_schema_path *path, const char *format,
		      ...)
{
	char where[PATH_BYTES];
	char message[RJ_ERROR_MESSAGE_BYTES];
	va_list args;

	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	format_path(path, where);
	check->failed = true;
	rj_error_list_add(check->errors, RJ_ERR_INVALID, "%s: %s",
			  where[0] ? where : "(top)", message);
}

/*
 * Format `value`, which may be external text, for an error message: as ASCII on
 * one line, so that it cannot break a log line, and with "..." for the end when
 * it is long.
 */
void rj_schema_format_value(char out[RJ_SCHEMA_VALUE_BYTES],
			    const json_t *value)
{
	const char *shown = "a value that cannot be shown";
	char *text = NULL;

	if (json_is_object(value))
		shown = "an object";
	else if (json_is_array(value))
		shown = "an array";
	else
		text = json_dumps(value, JSON_ENCODE_ANY | JSON_ENSURE_ASCII);
	if (text)
		shown = text;
	if (snprintf(out, RJ_SCHEMA_VALUE_BYTES, "%s", shown) >=
	    RJ_SCHEMA_VALUE_BYTES)
		memcpy(out + RJ_SCHEMA_VALUE_BYTES - 4, "...", 4);
	free(text);
}

/*
 * Report a value of the wrong JSON type.
 */
void rj_schema_report_type(struct rj_schema_check *check,
			   const struct rj_schema_field *field,
			   const struct rj_schema_path *path,
			   const json_t *value)
{
	char shown[RJ_SCHEMA_VALUE_BYTES];

	rj_schema_format_value(shown, value);
	rj_schema_report(check, path, "%s is not %s; give %s", shown,
			 field->type->name, field->type->name);
}

/*
 * Find the field with that name. Returns NULL if there is none.
 */
static const struct rj_schema_field *find_field(const struct rj_schema *schema,
						const char *name)
{
	for (uint32_t i = 0; i < schema->field_count; i++)
		if (!strcmp(schema->fields[i].name, name))
			return &schema->fields[i];
	return NULL;
}

/*
 * Report each field that is not in the schema. A misspelt optional field would
 * otherwise be treated as absent.
 */
static void report_unknown_fields(struct rj_schema_check *check,
				  const struct rj_schema *schema,
				  const struct rj_schema_path *path,
				  const json_t *object)
{
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)object, name, value)
	{
		char known[RJ_ERROR_MESSAGE_BYTES / 2] = "";
		struct rj_schema_path at = { .parent = path };
		char shown[RJ_SCHEMA_VALUE_BYTES];
		json_t *name_json;

		if (find_field(schema, name))
			continue;
		for (uint32_t i = 0; i < schema->field_count; i++)
			snprintf(known + strlen(known),
				 sizeof(known) - strlen(known), "%s%s",
				 i ? ", " : "", schema->fields[i].name);
		name_json = json_string(name);
		rj_schema_format_value(shown, name_json);
		json_decref(name_json);
		at.field = shown;
		rj_schema_report(check, &at,
				 "unknown field; remove it or use one of: %s",
				 known);
	}
}

/*
 * Decode one object into the struct at `out`.
 */
static void decode_struct(struct rj_schema_check *check,
			  const struct rj_schema *schema,
			  const struct rj_schema_path *path,
			  const json_t *object, void *out)
{
	memset(out, 0, schema->size);
	if (!schema->allow_unknown)
		report_unknown_fields(check, schema, path, object);
	for (uint32_t i = 0; i < schema->field_count; i++) {
		const struct rj_schema_field *field = &schema->fields[i];
		struct rj_schema_path at = { path, field->name, 0 };
		void *member = (char *)out + field->offset;
		const json_t *value = json_object_get(object, field->name);

		assert(field->offset < schema->size);
		if (value)
			field->type->decode(check, field, &at, value, member);
		else if (field->optional)
			field->type->fill(check, field, &at, member);
		else
			rj_schema_report(check, &at, "missing; give %s",
					 field->type->name);
	}
}

/*
 * Decode an object into the nested struct at `out`.
 */
static void object_decode(struct rj_schema_check *check,
			  const struct rj_schema_field *field,
			  const struct rj_schema_path *path,
			  const json_t *value, void *out)
{
	if (!json_is_object(value)) {
		rj_schema_report_type(check, field, path, value);
		return;
	}
	decode_struct(check, field->schema, path, value, out);
}

/*
 * Treat an absent object as an empty one: its optional fields get their default
 * values, and the others are reported as missing.
 */
static void object_fill(struct rj_schema_check *check,
			const struct rj_schema_field *field,
			const struct rj_schema_path *path, void *out)
{
	json_t *empty = json_object();

	decode_struct(check, field->schema, path, empty, out);
	json_decref(empty);
}

/*
 * Encode the nested struct; an optional one without any fields is omitted.
 */
static json_t *object_encode(const struct rj_schema_field *field,
			     const void *in)
{
	json_t *object = rj_schema_encode(field->schema, in);

	if (field->optional && !json_object_size(object)) {
		json_decref(object);
		return NULL;
	}
	return object;
}

const struct rj_schema_type rj_schema_object = {
	.name = "an object",
	.decode = object_decode,
	.fill = object_fill,
	.encode = object_encode,
};

/*
 * Report each element with the same "name" as an earlier element.
 */
static void report_duplicate_names(struct rj_schema_check *check,
				   const struct rj_schema_path *path,
				   const json_t *array)
{
	size_t count = json_array_size(array);
	json_t *seen = json_object();

	for (size_t i = 0; i < count; i++) {
		json_t *element = json_array_get(array, i);
		const char *name =
			json_string_value(json_object_get(element, "name"));
		struct rj_schema_path index = { path, NULL, (uint32_t)i };
		struct rj_schema_path at = { &index, "name", 0 };
		char shown[RJ_SCHEMA_VALUE_BYTES];
		json_t *first;

		if (!name)
			continue;
		first = json_object_get(seen, name);
		if (!first) {
			json_object_set_new(seen, name,
					    json_integer((json_int_t)i));
			continue;
		}
		rj_schema_format_value(shown, json_object_get(element, "name"));
		rj_schema_report(check, &at,
				 "%s is a duplicate of element %d; rename one",
				 shown, (int)json_integer_value(first));
	}
	json_decref(seen);
}

/*
 * Check the count and decode all elements into one talloc array, reporting the
 * errors of every element.
 */
static void array_decode(struct rj_schema_check *check,
			 const struct rj_schema_field *field,
			 const struct rj_schema_path *path, const json_t *value,
			 void *out)
{
	/* The count is a member of the same struct as the pointer. */
	uint32_t *count =
		(uint32_t *)((char *)out - field->offset + field->count_offset);
	size_t size = field->schema->size;
	char *elements;
	size_t length;

	if (!json_is_array(value)) {
		rj_schema_report_type(check, field, path, value);
		return;
	}
	length = json_array_size(value);
	if (length < field->min || length > field->max) {
		rj_schema_report(check, path,
				 "%zu elements; give from %llu to %llu", length,
				 (unsigned long long)field->min,
				 (unsigned long long)field->max);
		return;
	}
	if (!length)
		return;
	elements = talloc_zero_size(check->mem, size * length);
	assert(elements);
	for (size_t i = 0; i < length; i++) {
		const json_t *element = json_array_get(value, i);
		struct rj_schema_path at = { path, NULL, (uint32_t)i };

		if (json_is_object(element))
			decode_struct(check, field->schema, &at, element,
				      elements + i * size);
		else
			rj_schema_report(check, &at,
					 "not an object; give an object");
	}
	if (field->schema->unique_names)
		report_duplicate_names(check, path, value);
	memcpy(out, &elements, sizeof(elements));
	*count = (uint32_t)length;
}

/*
 * An absent array is empty: pointer and count stay zero.
 */
static void array_fill(struct rj_schema_check *check,
		       const struct rj_schema_field *field,
		       const struct rj_schema_path *path, void *out)
{
	assert(!field->min);
}

/*
 * Encode the elements in order; an optional empty array is omitted.
 */
static json_t *array_encode(const struct rj_schema_field *field, const void *in)
{
	const uint32_t *count =
		(const uint32_t *)((const char *)in - field->offset +
				   field->count_offset);
	const char *elements;
	json_t *array;

	if (field->optional && !*count)
		return NULL;
	memcpy(&elements, in, sizeof(elements));
	array = json_array();
	for (uint32_t i = 0; i < *count; i++)
		json_array_append_new(
			array,
			rj_schema_encode(field->schema,
					 elements + i * field->schema->size));
	return array;
}

const struct rj_schema_type rj_schema_array = {
	.name = "an array",
	.decode = array_decode,
	.fill = array_fill,
	.encode = array_encode,
};

/*
 * Parse JSON text. Returns a new reference, or NULL with one error that names
 * line and column. Duplicate fields of an object are an error.
 */
json_t *rj_schema_load(const char *text, struct rj_error_list *errors)
{
	json_error_t where;
	json_t *json = json_loads(text, JSON_REJECT_DUPLICATES, &where);

	if (!json)
		rj_error_list_add(errors, RJ_ERR_INVALID,
				  "line %d, column %d: %s; mend the JSON there",
				  where.line, where.column, where.text);
	return json;
}

/*
 * Validate `json` against `schema` and decode all valid fields into `out`, so
 * that the caller can make further checks and report all errors at once.
 *
 * Returns 0, or -1 with every error added to `errors`; invalid members of
 * `out` are zero. Pointers in `out` are talloc children of `mem`.
 */
int rj_schema_decode_partly(const struct rj_schema *schema, void *mem,
			    const json_t *json, void *out,
			    struct rj_error_list *errors)
{
	struct rj_schema_check check = { mem, errors, false };

	memset(out, 0, schema->size);
	if (json_is_object(json))
		decode_struct(&check, schema, NULL, json, out);
	else
		rj_schema_report(&check, NULL, "not an object; give an object");
	return check.failed ? -1 : 0;
}

/*
 * Like `rj_schema_decode_partly`, but on an error `out` is zeroed and what it
 * points to is freed. Returns 0, or -1 with the errors in `errors`.
 */
int rj_schema_decode(const struct rj_schema *schema, void *mem,
		     const json_t *json, void *out,
		     struct rj_error_list *errors)
{
	/* Parent of all allocations, so that an error can free them. */
	void *children = talloc_new(mem);

	assert(children);
	if (rj_schema_decode_partly(schema, children, json, out, errors)) {
		talloc_free(children);
		memset(out, 0, schema->size);
		return -1;
	}
	/* Nothing was allocated: the parent is not needed. */
	if (talloc_total_blocks(children) == 1)
		talloc_free(children);
	return 0;
}

/*
 * Like `rj_schema_decode`, from JSON text.
 */
int rj_schema_parse(const struct rj_schema *schema, void *mem, const char *text,
		    void *out, struct rj_error_list *errors)
{
	json_t *json = rj_schema_load(text, errors);
	int result;

	if (!json) {
		memset(out, 0, schema->size);
		return -1;
	}
	result = rj_schema_decode(schema, mem, json, out, errors);
	json_decref(json);
	return result;
}

/*
 * Set the optional fields of the struct to their default values and all others
 * to zero.
 */
void rj_schema_defaults(const struct rj_schema *schema, void *out)
{
	struct rj_error_list missing;
	json_t *empty = json_object();

	rj_error_list_init(&missing, NULL);
	rj_schema_decode_partly(schema, NULL, empty, out, &missing);
	rj_error_list_finish(&missing);
	json_decref(empty);
}

/*
 * Encode a struct as JSON; returns a new reference. Optional fields that equal
 * their fallback are omitted; decoding the result gives the same struct.
 */
json_t *rj_schema_encode(const struct rj_schema *schema, const void *in)
{
	json_t *object = json_object();

	assert(object);
	for (uint32_t i = 0; i < schema->field_count; i++) {
		const struct rj_schema_field *field = &schema->fields[i];
		json_t *value = field->type->encode(
			field, (const char *)in + field->offset);

		if (value)
			json_object_set_new(object, field->name, value);
	}
	return object;
}
