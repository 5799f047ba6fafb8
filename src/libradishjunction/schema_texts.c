#include "private/schema.h"

#include <assert.h>
#include <inttypes.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>

#include "radishjunction/settings.h"

/*
 * The text of a string value whose length is within field->min..max, or NULL
 * after reporting an error.
 */
static const char *check_text(struct rj_schema_check *check,
			      const struct rj_schema_field *field,
			      const struct rj_schema_path *path,
			      const json_t *value, uint64_t max)
{
	if (!json_is_string(value)) {
		rj_schema_report_type(check, field, path, value);
		return NULL;
	}
	if (json_string_length(value) < field->min ||
	    json_string_length(value) > max) {
		rj_schema_report(check, path,
				 "%zu characters; give from %" PRIu64
				 " to %" PRIu64,
				 json_string_length(value), field->min, max);
		return NULL;
	}
	return json_string_value(value);
}

/*
 * Decode a name. Names appear in URLs, logs and terminals, so they are limited
 * to characters without a special meaning there.
 */
static void name_decode(struct rj_schema_check *check,
			const struct rj_schema_field *field,
			const struct rj_schema_path *path, const json_t *value,
			void *out)
{
	const char *text = json_string_value(value);
	char shown[RJ_SCHEMA_VALUE_BYTES];

	if (!text) {
		rj_schema_report_type(check, field, path, value);
		return;
	}
	if (strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789"
			 "ABCDEFGHIJKLMNOPQRSTUVWXYZ._-") == strlen(text) &&
	    !rj_name_set(out, text))
		return;
	rj_schema_format_value(shown, value);
	rj_schema_report(check, path,
			 "%s is no name; use 1 to %d letters, digits, "
			 "'.', '_' or '-'",
			 shown, RJ_NAME_BYTES - 1);
}

/*
 * Encode a zero-terminated text; NULL for an optional empty one.
 */
static json_t *text_json(const struct rj_schema_field *field, const char *text)
{
	if (field->optional && (!text || !text[0]))
		return NULL;
	return json_string(text ? text : "");
}

/*
 * Encode the text in a buffer; an optional empty one is omitted.
 */
static json_t *text_encode(const struct rj_schema_field *field, const void *in)
{
	return text_json(field, in);
}

const struct rj_schema_type rj_schema_name = {
	.name = "a name",
	.decode = name_decode,
	.fill = rj_schema_fill_zero,
	.encode = text_encode,
};

/*
 * Copy a text into the member, a buffer of field->size bytes.
 */
static void text_decode(struct rj_schema_check *check,
			const struct rj_schema_field *field,
			const struct rj_schema_path *path, const json_t *value,
			void *out)
{
	const char *text =
		check_text(check, field, path, value, field->size - 1);

	assert(field->size);
	if (text)
		memcpy(out, text, strlen(text) + 1);
}

const struct rj_schema_type rj_schema_text = {
	.name = "a text",
	.decode = text_decode,
	.fill = rj_schema_fill_zero,
	.encode = text_encode,
};

/*
 * Store a copy of a text as a talloc child of check->mem.
 */
static void string_decode(struct rj_schema_check *check,
			  const struct rj_schema_field *field,
			  const struct rj_schema_path *path,
			  const json_t *value, void *out)
{
	const char *text = check_text(check, field, path, value, field->max);
	char *copy;

	if (!text)
		return;
	copy = talloc_strdup(check->mem, text);
	assert(copy);
	memcpy(out, &copy, sizeof(copy));
}

/*
 * Encode the text that the member points to; NULL is empty.
 */
static json_t *string_encode(const struct rj_schema_field *field,
			     const void *in)
{
	const char *text;

	memcpy(&text, in, sizeof(text));
	return text_json(field, text);
}

const struct rj_schema_type rj_schema_string = {
	.name = "a text",
	.decode = string_decode,
	.fill = rj_schema_fill_zero,
	.encode = string_encode,
};

/*
 * Fill the member from exactly two digits per byte.
 */
static void hex_decode(struct rj_schema_check *check,
		       const struct rj_schema_field *field,
		       const struct rj_schema_path *path, const json_t *value,
		       void *out)
{
	const char *text = json_string_value(value);
	const char *end = text;
	size_t length = 0;

	if (text && strlen(text) == 2 * (size_t)field->size &&
	    !sodium_hex2bin(out, field->size, text, strlen(text), NULL, &length,
			    &end) &&
	    !*end && length == field->size)
		return;
	rj_schema_report(check, path, "give %u hexadecimal digits",
			 2 * field->size);
}

/*
 * Encode two digits per byte; optional all-zero bytes are omitted.
 */
static json_t *hex_encode(const struct rj_schema_field *field, const void *in)
{
	char text[2 * 64 + 1];

	assert(field->size <= 64);
	if (field->optional && sodium_is_zero(in, field->size))
		return NULL;
	sodium_bin2hex(text, sizeof(text), in, field->size);
	return json_string(text);
}

const struct rj_schema_type rj_schema_hex = {
	.name = "hexadecimal digits",
	.decode = hex_decode,
	.fill = rj_schema_fill_zero,
	.encode = hex_encode,
};

/*
 * Store the decoded bytes, at most field->max, as a talloc child of
 * check->mem. A text that is clearly too long is rejected before memory is
 * allocated.
 */
static void base64_decode(struct rj_schema_check *check,
			  const struct rj_schema_field *field,
			  const struct rj_schema_path *path,
			  const json_t *value, void *out)
{
	struct rj_bytes bytes = { NULL, 0 };
	const char *text = json_string_value(value);
	const char *end = text;
	size_t capacity;
	size_t length = 0;
	uint8_t *data;

	if (!text) {
		rj_schema_report_type(check, field, path, value);
		return;
	}
	capacity = strlen(text) / 4 * 3 + 3;
	if (capacity > field->max + 5) {
		rj_schema_report(check, path, "longer than %" PRIu64 " bytes",
				 field->max);
		return;
	}
	data = talloc_size(check->mem, capacity);
	assert(data);
	if (sodium_base642bin(data, capacity, text, strlen(text), NULL, &length,
			      &end, sodium_base64_VARIANT_ORIGINAL) ||
	    *end || length > field->max) {
		rj_schema_report(check, path,
				 "not base64 of at most %" PRIu64 " bytes",
				 field->max);
		return;
	}
	bytes.data = data;
	bytes.length = (uint32_t)length;
	memcpy(out, &bytes, sizeof(bytes));
}

/*
 * Encode the bytes as base64 with padding; optional empty ones are omitted.
 */
static json_t *base64_encode(const struct rj_schema_field *field,
			     const void *in)
{
	const struct rj_bytes *bytes = in;
	size_t capacity = sodium_base64_encoded_len(
		bytes->length, sodium_base64_VARIANT_ORIGINAL);
	char *text;
	json_t *json;

	if (field->optional && !bytes->length)
		return NULL;
	text = talloc_size(NULL, capacity);
	assert(text);
	sodium_bin2base64(text, capacity, bytes->data, bytes->length,
			  sodium_base64_VARIANT_ORIGINAL);
	json = json_string(text);
	talloc_free(text);
	return json;
}

const struct rj_schema_type rj_schema_base64 = {
	.name = "base64",
	.decode = base64_decode,
	.fill = rj_schema_fill_zero,
	.encode = base64_encode,
};

/*
 * Decode an address. A `min` of 1 rejects port 0 ("any free port") where it is
 * not valid.
 */
static void address_decode(struct rj_schema_check *check,
			   const struct rj_schema_field *field,
			   const struct rj_schema_path *path,
			   const json_t *value, void *out)
{
	struct rj_address *address = out;
	const char *text = json_string_value(value);
	char shown[RJ_SCHEMA_VALUE_BYTES];

	rj_schema_format_value(shown, value);
	if (!text || rj_address_parse(address, text))
		rj_schema_report(
			check, path,
			"%s is not an address; give an IP number and a "
			"port, such as 127.0.0.1:7070 or [::1]:7070",
			shown);
	else if (address->port < field->min)
		rj_schema_report(check, path,
				 "%s has port 0; give the port of the other "
				 "side",
				 shown);
}

/*
 * Encode an address in the form that `rj_address_parse` accepts.
 */
static json_t *address_encode(const struct rj_schema_field *field,
			      const void *in)
{
	char text[RJ_ADDRESS_BYTES];

	rj_address_format(text, in);
	return json_string(text);
}

const struct rj_schema_type rj_schema_address = {
	.name = "an IP number and a port",
	.decode = address_decode,
	.fill = rj_schema_fill_zero,
	.encode = address_encode,
};
