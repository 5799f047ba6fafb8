#include "private/schema.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ID_DIGITS 16

/*
 * Leave the member zero, as decoding has initialised it.
 */
void rj_schema_fill_zero(struct rj_schema_check *check,
			 const struct rj_schema_field *field,
			 const struct rj_schema_path *path, void *out)
{
}

/*
 * Decode true or false; numbers and texts are not converted.
 */
static void bool_decode(struct rj_schema_check *check,
			const struct rj_schema_field *field,
			const struct rj_schema_path *path, const json_t *value,
			void *out)
{
	if (!json_is_boolean(value)) {
		rj_schema_report_type(check, field, path, value);
		return;
	}
	*(bool *)out = json_is_true(value);
}

static void bool_fill(struct rj_schema_check *check,
		      const struct rj_schema_field *field,
		      const struct rj_schema_path *path, void *out)
{
	*(bool *)out = field->fallback;
}

/*
 * Encode true or false; an optional fallback is omitted.
 */
static json_t *bool_encode(const struct rj_schema_field *field, const void *in)
{
	bool value = *(const bool *)in;

	if (field->optional && value == (bool)field->fallback)
		return NULL;
	return json_boolean(value);
}

const struct rj_schema_type rj_schema_bool = {
	.name = "true or false",
	.decode = bool_decode,
	.fill = bool_fill,
	.encode = bool_encode,
};

/*
 * Check an integer against the field's bounds. Returns it in the unit of the
 * member, or 0 after reporting an error.
 */
static uint64_t check_number(struct rj_schema_check *check,
			     const struct rj_schema_field *field,
			     const struct rj_schema_path *path,
			     const json_t *value)
{
	json_int_t number = json_integer_value(value);
	uint64_t scale = field->scale ? field->scale : 1;

	assert(field->max <= INT64_MAX / scale);
	if (!json_is_integer(value)) {
		rj_schema_report_type(check, field, path, value);
		return 0;
	}
	if (number < 0 || (uint64_t)number < field->min) {
		rj_schema_report(check, path,
				 "%" JSON_INTEGER_FORMAT " is below %" PRIu64
				 "; raise it",
				 number, field->min);
		return 0;
	}
	if ((uint64_t)number > field->max) {
		rj_schema_report(check, path,
				 "%" JSON_INTEGER_FORMAT " is above %" PRIu64
				 "; lower it",
				 number, field->max);
		return 0;
	}
	return (uint64_t)number * scale;
}

/*
 * Encode a number in the unit of the JSON value; NULL for an optional fallback.
 */
static json_t *number_json(const struct rj_schema_field *field, uint64_t value)
{
	uint64_t scale = field->scale ? field->scale : 1;

	if (field->optional && value == field->fallback * scale)
		return NULL;
	return json_integer((json_int_t)(value / scale));
}

/*
 * Decode an integer within the field's bounds, which fit 32 bits.
 */
static void u32_decode(struct rj_schema_check *check,
		       const struct rj_schema_field *field,
		       const struct rj_schema_path *path, const json_t *value,
		       void *out)
{
	assert(field->max <= UINT32_MAX);
	*(uint32_t *)out = (uint32_t)check_number(check, field, path, value);
}

/*
 * Store the fallback, which is in the unit of the member: it is not scaled.
 */
static void u32_fill(struct rj_schema_check *check,
		     const struct rj_schema_field *field,
		     const struct rj_schema_path *path, void *out)
{
	*(uint32_t *)out = (uint32_t)field->fallback;
}

static json_t *u32_encode(const struct rj_schema_field *field, const void *in)
{
	return number_json(field, *(const uint32_t *)in);
}

const struct rj_schema_type rj_schema_u32 = {
	.name = "a whole number",
	.decode = u32_decode,
	.fill = u32_fill,
	.encode = u32_encode,
};

/*
 * Decode an integer within the field's bounds, scaled to the member's unit.
 */
static void u64_decode(struct rj_schema_check *check,
		       const struct rj_schema_field *field,
		       const struct rj_schema_path *path, const json_t *value,
		       void *out)
{
	*(uint64_t *)out = check_number(check, field, path, value);
}

/*
 * Store the fallback, which is in the unit of the JSON value, scaled.
 */
static void u64_fill(struct rj_schema_check *check,
		     const struct rj_schema_field *field,
		     const struct rj_schema_path *path, void *out)
{
	*(uint64_t *)out = field->fallback * (field->scale ? field->scale : 1);
}

static json_t *u64_encode(const struct rj_schema_field *field, const void *in)
{
	return number_json(field, *(const uint64_t *)in);
}

const struct rj_schema_type rj_schema_u64 = {
	.name = "a whole number",
	.decode = u64_decode,
	.fill = u64_fill,
	.encode = u64_encode,
};

/*
 * Decode an identifier or lease token. These use all 64 bits, which a JSON
 * number cannot represent; 16 hexadecimal digits also look the same in logs
 * and URLs.
 */
static void id_decode(struct rj_schema_check *check,
		      const struct rj_schema_field *field,
		      const struct rj_schema_path *path, const json_t *value,
		      void *out)
{
	const char *text = json_string_value(value);

	if (!text || strlen(text) != ID_DIGITS ||
	    strspn(text, "0123456789abcdef") != ID_DIGITS) {
		rj_schema_report_type(check, field, path, value);
		return;
	}
	*(uint64_t *)out = strtoull(text, NULL, 16);
}

/*
 * Encode 16 digits; an optional 0 is omitted.
 */
static json_t *id_encode(const struct rj_schema_field *field, const void *in)
{
	uint64_t value = *(const uint64_t *)in;

	if (field->optional && !value)
		return NULL;
	return json_sprintf("%016" PRIx64, value);
}

const struct rj_schema_type rj_schema_id = {
	.name = "16 hexadecimal digits in lower case",
	.decode = id_decode,
	.fill = rj_schema_fill_zero,
	.encode = id_encode,
};

/*
 * Decode a word to its index in field->choices.
 */
static void choice_decode(struct rj_schema_check *check,
			  const struct rj_schema_field *field,
			  const struct rj_schema_path *path,
			  const json_t *value, void *out)
{
	char known[RJ_ERROR_MESSAGE_BYTES / 2] = "";
	const char *text = json_string_value(value);
	char shown[RJ_SCHEMA_VALUE_BYTES];

	if (!text) {
		rj_schema_report_type(check, field, path, value);
		return;
	}
	for (uint32_t i = 0; i < field->max; i++) {
		if (!strcmp(text, field->choices[i])) {
			*(uint32_t *)out = i;
			return;
		}
		snprintf(known + strlen(known), sizeof(known) - strlen(known),
			 "%s%s", i ? ", " : "", field->choices[i]);
	}
	if (field->lenient) {
		*(uint32_t *)out = (uint32_t)field->fallback;
		return;
	}
	rj_schema_format_value(shown, value);
	rj_schema_report(check, path, "%s is not known; use one of: %s", shown,
			 known);
}

/*
 * Encode the word at the index; an optional fallback is omitted.
 */
static json_t *choice_encode(const struct rj_schema_field *field,
			     const void *in)
{
	uint32_t value = *(const uint32_t *)in;

	assert(value < field->max);
	if (field->optional && value == field->fallback)
		return NULL;
	return json_string(field->choices[value]);
}

const struct rj_schema_type rj_schema_choice = {
	.name = "one of the known words",
	.decode = choice_decode,
	.fill = u32_fill,
	.encode = choice_encode,
};
