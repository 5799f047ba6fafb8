#include "private/wire_json.h"

#include <assert.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define BASE64_VARIANT sodium_base64_VARIANT_ORIGINAL

/*
 * Set a 64-bit id as 16 hex digits: JSON numbers lose bits above 53 in many
 * readers.
 */
void rj_wire_set_hex(json_t *object, const char *field, uint64_t value)
{
	char text[RJ_HEX64_BYTES];

	snprintf(text, sizeof(text), "%016" PRIx64, value);
	json_object_set_new(object, field, json_string(text));
}

/*
 * Set a count or duration as an integer; what JSON cannot carry (such as
 * RJ_NEVER_US) becomes the largest that it can.
 */
void rj_wire_set_count(json_t *object, const char *field, uint64_t value)
{
	if (value > INT64_MAX)
		value = INT64_MAX;
	json_object_set_new(object, field, json_integer((json_int_t)value));
}

/*
 * Set bytes as base64 text.
 */
void rj_wire_set_bytes(json_t *object, const char *field,
		       const struct rj_bytes *bytes)
{
	size_t size = sodium_base64_encoded_len(bytes->length, BASE64_VARIANT);
	char *text = talloc_array(NULL, char, size);

	assert(text);
	sodium_bin2base64(text, size, bytes->data, bytes->length,
			  BASE64_VARIANT);
	json_object_set_new(object, field, json_string(text));
	talloc_free(text);
}

/* The text of a string field, or NULL with `err` set. */
static const char *get_string(const json_t *object, const char *field,
			      struct rj_error *err)
{
	const char *text = json_string_value(json_object_get(object, field));

	if (!text)
		rj_error_set(err, RJ_ERR_MALFORMED,
			     "%s: missing or not a string; send a string",
			     field);
	return text;
}

/*
 * Read 16 hex digits.
 */
int rj_wire_get_hex(const json_t *object, const char *field, uint64_t *value,
		    struct rj_error *err)
{
	const char *text = get_string(object, field, err);
	int end = 0;

	if (!text)
		return -1;
	if (strlen(text) != RJ_HEX64_BYTES - 1 ||
	    strspn(text, "0123456789abcdef") != RJ_HEX64_BYTES - 1 ||
	    sscanf(text, "%" SCNx64 "%n", value, &end) != 1)
		return rj_error_set(err, RJ_ERR_MALFORMED,
				    "%s: \"%.32s\" is not an id; send 16 hex "
				    "digits in lower case",
				    field, text);
	return 0;
}

/*
 * Read a count or duration that is not negative.
 */
int rj_wire_get_u64(const json_t *object, const char *field, uint64_t *value,
		    struct rj_error *err)
{
	const json_t *number = json_object_get(object, field);

	if (!json_is_integer(number) || json_integer_value(number) < 0)
		return rj_error_set(err, RJ_ERR_MALFORMED,
				    "%s: missing or not a count; send an "
				    "integer from 0",
				    field);
	*value = (uint64_t)json_integer_value(number);
	return 0;
}

/*
 * Read a count that fits 32 bits.
 */
int rj_wire_get_u32(const json_t *object, const char *field, uint32_t *value,
		    struct rj_error *err)
{
	uint64_t wide = 0;

	if (rj_wire_get_u64(object, field, &wide, err))
		return -1;
	if (wide > UINT32_MAX)
		return rj_error_set(err, RJ_ERR_MALFORMED,
				    "%s: %" PRIu64 " is too large; send at "
				    "most %u",
				    field, wide, UINT32_MAX);
	*value = (uint32_t)wide;
	return 0;
}

/*
 * Read a boolean.
 */
int rj_wire_get_bool(const json_t *object, const char *field, bool *value,
		     struct rj_error *err)
{
	const json_t *flag = json_object_get(object, field);

	if (!json_is_boolean(flag))
		return rj_error_set(err, RJ_ERR_MALFORMED,
				    "%s: missing or not a boolean; send true "
				    "or false",
				    field);
	*value = json_is_true(flag);
	return 0;
}

/*
 * Read a name; it may be empty.
 */
int rj_wire_get_name(const json_t *object, const char *field,
		     char name[RJ_NAME_BYTES], struct rj_error *err)
{
	const char *text = get_string(object, field, err);

	if (!text)
		return -1;
	if (rj_name_set(name, text) && *text)
		return rj_error_set(err, RJ_ERR_MALFORMED,
				    "%s: \"%.60s\" is too long; send at most "
				    "%d bytes",
				    field, text, RJ_NAME_BYTES - 1);
	return 0;
}

/*
 * Read one of the `count` strings of an enum's table.
 */
int rj_wire_get_choice(const json_t *object, const char *field,
		       const char *const *strings, uint32_t count,
		       uint32_t *value, struct rj_error *err)
{
	const char *text = get_string(object, field, err);

	if (!text)
		return -1;
	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(text, strings[i]) != 0)
			continue;
		*value = i;
		return 0;
	}
	return rj_error_set(err, RJ_ERR_MALFORMED,
			    "%s: \"%.60s\" is unknown; send one such as "
			    "\"%s\"",
			    field, text, strings[0]);
}

/*
 * Read base64 text into bytes that are a talloc child of `mem`.
 */
int rj_wire_get_bytes(void *mem, const json_t *object, const char *field,
		      struct rj_bytes *bytes, struct rj_error *err)
{
	const char *text = get_string(object, field, err);
	size_t text_length;
	size_t length;
	uint8_t *data;

	if (!text)
		return -1;
	text_length = strlen(text);
	data = talloc_array(mem, uint8_t, text_length / 4 * 3 + 3);
	assert(data);
	if (sodium_base642bin(data, talloc_get_size(data), text, text_length,
			      NULL, &length, NULL, BASE64_VARIANT)) {
		talloc_free(data);
		return rj_error_set(err, RJ_ERR_MALFORMED,
				    "%s: not base64; encode the bytes with "
				    "the standard alphabet and padding",
				    field);
	}
	bytes->data = data;
	bytes->length = (uint32_t)length;
	return 0;
}

/*
 * The compact text of `object`, as a talloc child of `mem`.
 */
char *rj_wire_text(void *mem, const json_t *object)
{
	size_t size = json_dumpb(object, NULL, 0, JSON_COMPACT);
	char *text = talloc_array(mem, char, size + 1);

	assert(text);
	json_dumpb(object, text, size, JSON_COMPACT);
	text[size] = 0;
	return text;
}
