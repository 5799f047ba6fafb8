#include "private/schema.h"

#include <arpa/inet.h>
#include <assert.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "radishjunction/settings.h"

#define ID_DIGITS 16

/*
 * Keep the zero that the struct was filled with.
 */
static void zero_fill(struct rj_schema_check *check,
		      const struct rj_schema_field *field,
		      const struct rj_schema_path *path, void *out)
{
}

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
 * Check a whole number against the field's bounds and return it in the
 * member's unit; 0 after an error.
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
 * The JSON of a number in the text's unit, or NULL for the fallback.
 */
static json_t *number_json(const struct rj_schema_field *field, uint64_t value)
{
	uint64_t scale = field->scale ? field->scale : 1;

	if (field->optional && value == field->fallback * scale)
		return NULL;
	return json_integer((json_int_t)(value / scale));
}

static void u32_decode(struct rj_schema_check *check,
		       const struct rj_schema_field *field,
		       const struct rj_schema_path *path, const json_t *value,
		       void *out)
{
	assert(field->max <= UINT32_MAX);
	*(uint32_t *)out = (uint32_t)check_number(check, field, path, value);
}

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

static void u64_decode(struct rj_schema_check *check,
		       const struct rj_schema_field *field,
		       const struct rj_schema_path *path, const json_t *value,
		       void *out)
{
	*(uint64_t *)out = check_number(check, field, path, value);
}

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
 * Identifiers and lease tokens use all 64 bits, which a JSON number does not
 * keep; as 16 digits they also read the same in logs and URLs.
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
	.fill = zero_fill,
	.encode = id_encode,
};

/*
 * The text of a string value if its length is within min..max, or NULL after
 * an error.
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
 * Names stand in URLs, logs and terminals, so they keep to characters that
 * mean nothing special in any of these.
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
	rj_schema_value(shown, value);
	rj_schema_report(check, path,
			 "%s is no name; use 1 to %d letters, digits, "
			 "'.', '_' or '-'",
			 shown, RJ_NAME_BYTES - 1);
}

/*
 * The JSON of a zero-terminated text, or NULL for an optional empty one.
 */
static json_t *text_json(const struct rj_schema_field *field, const char *text)
{
	if (field->optional && (!text || !text[0]))
		return NULL;
	return json_string(text ? text : "");
}

static json_t *text_encode(const struct rj_schema_field *field, const void *in)
{
	return text_json(field, in);
}

const struct rj_schema_type rj_schema_name = {
	.name = "a name",
	.decode = name_decode,
	.fill = zero_fill,
	.encode = text_encode,
};

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
	.fill = zero_fill,
	.encode = text_encode,
};

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
	.fill = zero_fill,
	.encode = string_encode,
};

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
	.fill = zero_fill,
	.encode = hex_encode,
};

static void base64_decode(struct rj_schema_check *check,
			  const struct rj_schema_field *field,
			  const struct rj_schema_path *path,
			  const json_t *value, void *out)
{
	struct rj_bytes bytes = { NULL, 0 };
	const char *text = json_string_value(value);
	const char *end = text;
	size_t room;
	size_t length = 0;
	uint8_t *data;

	if (!text) {
		rj_schema_report_type(check, field, path, value);
		return;
	}
	room = strlen(text) / 4 * 3 + 3;
	if (room > field->max + 5) {
		rj_schema_report(check, path, "longer than %" PRIu64 " bytes",
				 field->max);
		return;
	}
	data = talloc_size(check->mem, room);
	assert(data);
	if (sodium_base642bin(data, room, text, strlen(text), NULL, &length,
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

static json_t *base64_encode(const struct rj_schema_field *field,
			     const void *in)
{
	const struct rj_bytes *bytes = in;
	size_t room = sodium_base64_encoded_len(bytes->length,
						sodium_base64_VARIANT_ORIGINAL);
	char *text;
	json_t *json;

	if (field->optional && !bytes->length)
		return NULL;
	text = talloc_size(NULL, room);
	assert(text);
	sodium_bin2base64(text, room, bytes->data, bytes->length,
			  sodium_base64_VARIANT_ORIGINAL);
	json = json_string(text);
	talloc_free(text);
	return json;
}

const struct rj_schema_type rj_schema_base64 = {
	.name = "base64",
	.decode = base64_decode,
	.fill = zero_fill,
	.encode = base64_encode,
};

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
	rj_schema_value(shown, value);
	rj_schema_report(check, path, "%s is not known; use one of: %s", shown,
			 known);
}

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

/*
 * Read an address such as `127.0.0.1:7070` or `[::1]:7070`. Only IP numbers
 * are taken: nothing here resolves names. Returns 0, or -1 when `text` is no
 * such address; `address` is zeroed then.
 */
int rj_address_parse(struct rj_address *address, const char *text)
{
	const char *colon = strrchr(text, ':');
	unsigned char number[sizeof(struct in6_addr)];
	size_t length;
	unsigned long port;
	char *end;
	int family = AF_INET;

	memset(address, 0, sizeof(*address));
	if (!colon || colon == text || colon[1] < '0' || colon[1] > '9')
		return -1;
	length = (size_t)(colon - text);
	if (text[0] == '[' && colon[-1] == ']') {
		family = AF_INET6;
		text++;
		length -= 2;
	}
	port = strtoul(colon + 1, &end, 10);
	if (*end || port > UINT16_MAX || !length ||
	    length >= sizeof(address->ip))
		return -1;
	memcpy(address->ip, text, length);
	if (inet_pton(family, address->ip, number) != 1) {
		memset(address, 0, sizeof(*address));
		return -1;
	}
	address->port = (uint16_t)port;
	return 0;
}

/*
 * `min` and `max` bound the port: 1 as the least where 0, "any free one",
 * makes no sense.
 */
static void address_decode(struct rj_schema_check *check,
			   const struct rj_schema_field *field,
			   const struct rj_schema_path *path,
			   const json_t *value, void *out)
{
	struct rj_address *address = out;
	const char *text = json_string_value(value);
	char shown[RJ_SCHEMA_VALUE_BYTES];

	rj_schema_value(shown, value);
	if (!text || rj_address_parse(address, text))
		rj_schema_report(check, path,
				 "%s is no address; give an IP number and a "
				 "port, such as 127.0.0.1:7070 or [::1]:7070",
				 shown);
	else if (address->port < field->min)
		rj_schema_report(check, path,
				 "%s has port 0; give the port of the other "
				 "side",
				 shown);
}

static json_t *address_encode(const struct rj_schema_field *field,
			      const void *in)
{
	const struct rj_address *address = in;

	return json_sprintf(strchr(address->ip, ':') ? "[%s]:%d" : "%s:%d",
			    address->ip, (int)address->port);
}

const struct rj_schema_type rj_schema_address = {
	.name = "an IP number and a port",
	.decode = address_decode,
	.fill = zero_fill,
	.encode = address_encode,
};
