#include "private/caller_json.h"

#include <assert.h>
#include <inttypes.h>
#include <microhttpd.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "private/schema.h"

/* 90 days: longer than any training job; keeps sums of durations in range. */
#define DURATION_MAX_MS (90ULL * 24 * 3600 * 1000)
#define CORES_MAX 4096
#define MEMORY_MAX_MB (64 * 1024 * 1024)
#define ACCELERATORS_MAX 1024
/* Size of the text that represents a shape in the digest. */
#define SHAPE_TEXT_BYTES 96

/*
 * Store a value of any type as canonical JSON text (compact, sorted keys), so
 * that equal bodies have equal digests.
 */
static void json_decode(struct rj_schema_check *check,
			const struct rj_schema_field *field,
			const struct rj_schema_path *path, const json_t *value,
			void *out)
{
	struct rj_bytes *bytes = out;
	char *text = json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS |
					       JSON_ENCODE_ANY);

	assert(text);
	bytes->length = (uint32_t)strlen(text);
	bytes->data = talloc_memdup(check->mem, text, bytes->length);
	assert(bytes->data);
	free(text);
}

/* An omitted body is empty. */
static void json_fill(struct rj_schema_check *check,
		      const struct rj_schema_field *field,
		      const struct rj_schema_path *path, void *out)
{
}

static const struct rj_schema_type type_json = {
	.name = "any JSON value",
	.decode = json_decode,
	.fill = json_fill,
};

#define SPEC_FIELD(type_, name_, member)           \
	.type = &rj_schema_##type_, .name = name_, \
	.offset = offsetof(struct rj_job_spec, member)

static const struct rj_schema_field submit_fields[] = {
	{ SPEC_FIELD(name, "class", class_name) },
	{ SPEC_FIELD(u32, "tasks", shape.tasks), .optional = true, .min = 1,
	  .max = RJ_GANG_MAX, .fallback = 1 },
	{ SPEC_FIELD(u32, "accelerators", shape.each.accelerators),
	  .optional = true, .max = ACCELERATORS_MAX },
	{ SPEC_FIELD(u32, "cores", shape.each.cores), .optional = true,
	  .min = 1, .max = CORES_MAX, .fallback = 1 },
	{ SPEC_FIELD(u32, "memory_mb", shape.each.memory_mb), .optional = true,
	  .max = MEMORY_MAX_MB },
	{ SPEC_FIELD(bool, "adjacent", shape.adjacent), .optional = true },
	{ SPEC_FIELD(u64, "declared_ms", declared_us), .optional = true,
	  .max = DURATION_MAX_MS, .scale = RJ_US_PER_MS },
	{ SPEC_FIELD(u64, "deadline_ms", deadline_in_us), .optional = true,
	  .min = 1, .max = DURATION_MAX_MS, .scale = RJ_US_PER_MS },
	{ SPEC_FIELD(bool, "wait", wait), .optional = true, .fallback = true },
	{ .type = &type_json,
	  .name = "body",
	  .offset = offsetof(struct rj_job_spec, body),
	  .optional = true },
};

static const struct rj_schema submit_schema = {
	.fields = submit_fields,
	.field_count = RJ_FIELD_COUNT(submit_fields),
	.size = sizeof(struct rj_job_spec),
};

/* Set the digest over class, shape and body. */
static void fill_digest(struct rj_job_spec *spec)
{
	const struct rj_shape *shape = &spec->shape;
	char text[SHAPE_TEXT_BYTES];
	int length = snprintf(text, sizeof(text), "%u/%u/%u/%u/%u/%d",
			      shape->tasks, shape->each.slots,
			      shape->each.accelerators, shape->each.cores,
			      shape->each.memory_mb, shape->adjacent);
	struct rj_bytes parts[] = {
		{ (const uint8_t *)spec->class_name,
		  (uint32_t)strlen(spec->class_name) },
		{ (const uint8_t *)text, (uint32_t)length },
		spec->body,
	};

	assert(length > 0 && length < SHAPE_TEXT_BYTES);
	rj_digest(spec->digest, parts, 3);
}

/*
 * Parse the body of a submission. The spec's body is a talloc child of `mem`;
 * account, key and job id are left empty.
 *
 * Returns 0, or -1 with all errors added to `errors`; each names the field,
 * the value and the remedy.
 */
int rj_caller_parse_submit(void *mem, const char *text,
			   struct rj_job_spec *spec,
			   struct rj_error_list *errors)
{
	if (rj_schema_parse(&submit_schema, mem, text, spec, errors))
		return -1;
	spec->shape.each.slots = 1;
	fill_digest(spec);
	return 0;
}

/*
 * Parse a job id of exactly sixteen hexadecimal digits. Returns 0, or -1.
 */
int rj_caller_parse_job_id(uint64_t *job_id, const char *text)
{
	size_t length = strspn(text, "0123456789abcdefABCDEF");

	if (length != RJ_JOB_ID_BYTES - 1 || text[length])
		return -1;
	*job_id = strtoull(text, NULL, 16);
	return 0;
}

/* The HTTP status of a `not_run` or `unknown` answer, by its reason. */
static unsigned int refusal_status(enum rj_reason reason)
{
	switch (reason) {
	case RJ_REASON_BAD_REQUEST:
	case RJ_REASON_NO_SUCH_CLASS:
	case RJ_REASON_KEY_REQUIRED:
		return MHD_HTTP_BAD_REQUEST;
	case RJ_REASON_TOO_LARGE:
		return MHD_HTTP_CONTENT_TOO_LARGE;
	case RJ_REASON_UNAUTHORIZED:
		return MHD_HTTP_UNAUTHORIZED;
	case RJ_REASON_NO_SUCH_JOB:
		return MHD_HTTP_NOT_FOUND;
	case RJ_REASON_KEY_REUSED:
		return MHD_HTTP_CONFLICT;
	case RJ_REASON_KEY_EXPIRED:
		return MHD_HTTP_GONE;
	case RJ_REASON_NEVER_FITS:
		return MHD_HTTP_UNPROCESSABLE_CONTENT;
	case RJ_REASON_ACCOUNT_LIMIT:
		return MHD_HTTP_TOO_MANY_REQUESTS;
	case RJ_REASON_CANCELLED:
		return MHD_HTTP_OK;
	case RJ_REASON_IN_PROGRESS:
		return MHD_HTTP_ACCEPTED;
	default:
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	}
}

/*
 * The HTTP status of an answer; docs/API.md has the table.
 */
unsigned int rj_caller_http_status(const struct rj_answer *answer)
{
	switch (answer->kind) {
	case RJ_ANSWER_DONE:
	case RJ_ANSWER_FAILED:
		return MHD_HTTP_OK;
	case RJ_ANSWER_ACCEPTED:
		return MHD_HTTP_ACCEPTED;
	default:
		return refusal_status(answer->reason);
	}
}

/* Encode bytes that are neither JSON nor text. */
static json_t *base64_json(struct rj_bytes bytes)
{
	size_t size = sodium_base64_encoded_len(bytes.length,
						sodium_base64_VARIANT_ORIGINAL);
	char *text = malloc(size);
	json_t *json;

	assert(text);
	sodium_bin2base64(text, size, bytes.data, bytes.length,
			  sodium_base64_VARIANT_ORIGINAL);
	json = json_pack("{s:s}", "base64", text);
	free(text);
	return json;
}

/* A result as JSON value if it is valid JSON, else as text, else as base64. */
static json_t *result_json(struct rj_bytes result)
{
	const char *data = (const char *)result.data;
	json_t *json;

	if (!result.length)
		return json_null();
	json = json_loadb(data, result.length, JSON_DECODE_ANY, NULL);
	if (!json)
		json = json_stringn(data, result.length);
	if (!json)
		json = base64_json(result);
	return json;
}

static json_t *errors_json(const struct rj_error_list *errors)
{
	json_t *array = json_array();

	for (uint32_t i = 0; i < errors->count; i++)
		json_array_append_new(array,
				      json_string(errors->errors[i].message));
	return array;
}

/*
 * Encode an answer as JSON text, to be freed with free(). The messages of
 * `errors`, which may be NULL, are included.
 */
char *rj_caller_answer_text(const struct rj_answer *answer,
			    const struct rj_error_list *errors)
{
	json_t *json = json_object();
	char id[RJ_JOB_ID_BYTES];
	char *text;

	json_object_set_new(json, "answer",
			    json_string(rj_answer_kind_string[answer->kind]));
	json_object_set_new(json, "reason",
			    json_string(rj_reason_string[answer->reason]));
	if (answer->job_id) {
		snprintf(id, sizeof(id), "%016" PRIx64, answer->job_id);
		json_object_set_new(json, "job", json_string(id));
	}
	if (answer->retry_after_us)
		json_object_set_new(
			json, "retry_after_ms",
			json_integer((json_int_t)((answer->retry_after_us +
						   RJ_US_PER_MS - 1) /
						  RJ_US_PER_MS)));
	if (answer->kind == RJ_ANSWER_DONE || answer->kind == RJ_ANSWER_FAILED)
		json_object_set_new(json, "result",
				    result_json(answer->result));
	if (answer->detail[0])
		json_object_set_new(json, "detail",
				    json_string(answer->detail));
	if (errors && errors->count)
		json_object_set_new(json, "errors", errors_json(errors));
	text = json_dumps(json, JSON_COMPACT);
	assert(text);
	json_decref(json);
	return text;
}
