#include "radishjunction/record.h"

#include <assert.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "private/schema.h"

/* JSON integers are signed in jansson; half of the range is sufficient. */
#define NUMBER_MAX INT64_MAX

static const struct rj_schema_field attempt_fields[] = {
	{ RJ_FIELD(id, rj_attempt, job_id), .optional = true },
	{ RJ_FIELD(id, rj_attempt, owner), .optional = true },
	{ RJ_FIELD(u32, rj_attempt, number), .optional = true,
	  .max = UINT32_MAX },
};

static const struct rj_schema attempt_schema = {
	.fields = attempt_fields,
	.field_count = RJ_FIELD_COUNT(attempt_fields),
	.size = sizeof(struct rj_attempt),
	.allow_unknown = true,
};

static const struct rj_schema_field each_fields[] = {
	{ RJ_FIELD(u32, rj_resources, slots), .optional = true,
	  .max = UINT32_MAX },
	{ RJ_FIELD(u32, rj_resources, accelerators), .optional = true,
	  .max = UINT32_MAX },
	{ RJ_FIELD(u32, rj_resources, cores), .optional = true,
	  .max = UINT32_MAX },
	{ RJ_FIELD(u32, rj_resources, memory_mb), .optional = true,
	  .max = UINT32_MAX },
};

static const struct rj_schema each_schema = {
	.fields = each_fields,
	.field_count = RJ_FIELD_COUNT(each_fields),
	.size = sizeof(struct rj_resources),
	.allow_unknown = true,
};

static const struct rj_schema_field shape_fields[] = {
	{ RJ_FIELD(u32, rj_shape, tasks), .optional = true,
	  .max = RJ_GANG_MAX },
	{ RJ_FIELD(object, rj_shape, each), .optional = true,
	  .schema = &each_schema },
	{ RJ_FIELD(bool, rj_shape, adjacent), .optional = true },
};

static const struct rj_schema shape_schema = {
	.fields = shape_fields,
	.field_count = RJ_FIELD_COUNT(shape_fields),
	.size = sizeof(struct rj_shape),
	.allow_unknown = true,
};

static const struct rj_schema_field spec_fields[] = {
	{ RJ_FIELD(id, rj_job_spec, job_id), .optional = true },
	{ RJ_FIELD(name, rj_job_spec, account), .optional = true },
	{ RJ_FIELD(name, rj_job_spec, class_name), .optional = true },
	{ RJ_FIELD(text, rj_job_spec, key), .optional = true,
	  .size = RJ_KEY_BYTES },
	{ RJ_FIELD(hex, rj_job_spec, digest), .optional = true,
	  .size = RJ_DIGEST_BYTES },
	{ RJ_FIELD(object, rj_job_spec, shape), .optional = true,
	  .schema = &shape_schema },
	{ RJ_FIELD(u64, rj_job_spec, declared_us), .optional = true,
	  .max = NUMBER_MAX },
	{ RJ_FIELD(u64, rj_job_spec, deadline_in_us), .optional = true,
	  .max = NUMBER_MAX },
	{ RJ_FIELD(bool, rj_job_spec, wait), .optional = true },
	{ RJ_FIELD(base64, rj_job_spec, body), .optional = true,
	  .max = RJ_BODY_MAX_BYTES },
};

static const struct rj_schema spec_schema = {
	.fields = spec_fields,
	.field_count = RJ_FIELD_COUNT(spec_fields),
	.size = sizeof(struct rj_job_spec),
	.allow_unknown = true,
};

static const struct rj_schema_field member_fields[] = {
	{ RJ_FIELD(name, rj_claim_member, worker) },
	{ RJ_FIELD(id, rj_claim_member, worker_incarnation) },
	{ RJ_FIELD(id, rj_claim_member, token) },
	{ RJ_FIELD(u32, rj_claim_member, tasks), .max = RJ_GANG_MAX },
};

static const struct rj_schema member_schema = {
	.fields = member_fields,
	.field_count = RJ_FIELD_COUNT(member_fields),
	.size = sizeof(struct rj_claim_member),
	.allow_unknown = true,
};

#define KIND_FIELD                                       \
	{                                                \
		RJ_FIELD(choice, rj_record, kind),       \
			.max = RJ_RECORD_KIND_COUNT,     \
			.choices = rj_record_kind_string \
	}

/* Fields of claim, void, outcome, accept and cancel records. */
#define JOB_FIELDS                                                            \
	KIND_FIELD, { RJ_FIELD(bool, rj_record, carried), .optional = true }, \
		{ RJ_FIELD(name, rj_record, author), .optional = true },      \
		{ RJ_FIELD(name, rj_record, domain), .optional = true },      \
		{ RJ_FIELD(object, rj_record, attempt), .optional = true,     \
		  .schema = &attempt_schema },                                \
	{                                                                     \
		RJ_FIELD(object, rj_record, spec), .optional = true,          \
						   .schema = &spec_schema     \
	}

static const struct rj_schema_field job_fields[] = { JOB_FIELDS };

static const struct rj_schema_field claim_fields[] = {
	JOB_FIELDS,
	{ RJ_FIELD(array, rj_record, members), .optional = true,
	  .count_offset = offsetof(struct rj_record, member_count),
	  .max = RJ_GANG_MAX, .schema = &member_schema },
	{ RJ_FIELD(u64, rj_record, lease_life_us), .max = NUMBER_MAX },
};

/*
 * The reason is lenient: an instance of a newer version may write a reason
 * that this version does not know, and the outcome is valid regardless.
 */
static const struct rj_schema_field outcome_fields[] = {
	JOB_FIELDS,
	{ RJ_FIELD(choice, rj_record, outcome), .max = RJ_ANSWER_KIND_COUNT,
	  .choices = rj_answer_kind_string },
	{ RJ_FIELD(choice, rj_record, reason), .optional = true,
	  .lenient = true, .max = RJ_REASON_COUNT, .fallback = RJ_REASON_NONE,
	  .choices = rj_reason_string },
	{ RJ_FIELD(base64, rj_record, result), .optional = true,
	  .max = RJ_RESULT_MAX_BYTES },
};

static const struct rj_schema_field config_fields[] = {
	KIND_FIELD,
	{ RJ_FIELD(bool, rj_record, carried), .optional = true },
	{ RJ_FIELD(name, rj_record, author), .optional = true },
	{ RJ_FIELD(text, rj_record, config_id), .min = 1,
	  .size = RJ_CONFIG_ID_BYTES },
	{ RJ_FIELD(u64, rj_record, base_revision), .max = NUMBER_MAX },
	{ RJ_FIELD(u64, rj_record, revision), .min = 1, .max = NUMBER_MAX },
	{ RJ_FIELD(u64, rj_record, as_of), .optional = true,
	  .max = NUMBER_MAX },
	{ RJ_FIELD(string, rj_record, config_text), .optional = true,
	  .max = RJ_CONFIG_TEXT_MAX_BYTES },
	{ .type = &rj_schema_string,
	  .name = "config_change",
	  .optional = true,
	  .offset = offsetof(struct rj_record, config_change.patch),
	  .max = RJ_CONFIG_CHANGE_MAX_BYTES },
	{ .type = &rj_schema_hex,
	  .name = "config_digest",
	  .optional = true,
	  .offset = offsetof(struct rj_record, config_change.digest),
	  .size = RJ_DIGEST_BYTES },
};

#define RECORD_SCHEMA(fields_)                                               \
	{                                                                    \
		.fields = (fields_), .field_count = RJ_FIELD_COUNT(fields_), \
		.size = sizeof(struct rj_record), .allow_unknown = true      \
	}

/* By kind; RJ_RECORD_MALFORMED is never written and has no schema. */
static const struct rj_schema record_schemas[RJ_RECORD_KIND_COUNT] = {
	[RJ_RECORD_CONFIG] = RECORD_SCHEMA(config_fields),
	[RJ_RECORD_CLAIM] = RECORD_SCHEMA(claim_fields),
	[RJ_RECORD_VOID] = RECORD_SCHEMA(job_fields),
	[RJ_RECORD_OUTCOME] = RECORD_SCHEMA(outcome_fields),
	[RJ_RECORD_ACCEPT] = RECORD_SCHEMA(job_fields),
	[RJ_RECORD_CANCEL] = RECORD_SCHEMA(job_fields),
};

/*
 * Whether all texts of the record are valid UTF-8. JSON cannot represent other
 * texts: a claim would be written without its idempotency key, and the same
 * request could be claimed a second time.
 */
static bool texts_are_utf8(const struct rj_record *record)
{
	const char *const texts[] = {
		record->spec.key,	 record->spec.account,
		record->spec.class_name, record->author,
		record->domain,		 record->config_id,
		record->config_text,	 record->config_change.patch,
	};

	for (uint32_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		if (texts[i] && !g_utf8_validate(texts[i], -1, NULL))
			return false;
	return true;
}

/*
 * Encode a record as JSON text, a talloc child of `mem`. Only the fields of
 * its kind are written. Returns NULL if a text of the record is not UTF-8 or
 * the result is longer than RJ_RECORD_TEXT_MAX_BYTES; such a request must be
 * rejected and not claimed.
 */
char *rj_record_encode(void *mem, const struct rj_record *record)
{
	char *result = NULL;
	json_t *json;
	char *text;

	assert(record->kind > RJ_RECORD_MALFORMED);
	assert(record->kind < RJ_RECORD_KIND_COUNT);
	if (!texts_are_utf8(record))
		return NULL;
	json = rj_schema_encode(&record_schemas[record->kind], record);
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	assert(text);
	if (strlen(text) <= RJ_RECORD_TEXT_MAX_BYTES) {
		result = talloc_strdup(mem, text);
		assert(result);
	}
	free(text);
	return result;
}

/*
 * The kind named in the JSON, or RJ_RECORD_MALFORMED if missing or unknown.
 */
static enum rj_record_kind find_kind(const json_t *json)
{
	const char *name = json_string_value(json_object_get(json, "kind"));

	for (uint32_t i = RJ_RECORD_MALFORMED + 1;
	     name && i < RJ_RECORD_KIND_COUNT; i++)
		if (!strcmp(name, rj_record_kind_string[i]))
			return (enum rj_record_kind)i;
	return RJ_RECORD_MALFORMED;
}

/*
 * Decode one log record. `offset` and `age_us` are left 0 for the caller to
 * set; pointers in `record` are talloc children of `mem`.
 *
 * Returns 0, or -1 with `err` of kind RJ_ERR_MALFORMED; `record` is then
 * zeroed, so that its kind is RJ_RECORD_MALFORMED and every reader skips it.
 * Unknown fields are ignored: instances of newer versions may add some.
 */
int rj_record_decode(void *mem, const char *text, struct rj_record *record,
		     struct rj_error *err)
{
	struct rj_error_list errors;
	enum rj_record_kind kind;
	json_t *json = NULL;
	int result = -1;

	memset(record, 0, sizeof(*record));
	rj_error_list_init(&errors, NULL);
	if (strlen(text) > RJ_RECORD_TEXT_MAX_BYTES) {
		rj_error_set(err, RJ_ERR_MALFORMED,
			     "record: longer than %d bytes; shorten it",
			     RJ_RECORD_TEXT_MAX_BYTES);
		return -1;
	}
	json = rj_schema_load(text, &errors);
	if (!json)
		goto out;
	kind = find_kind(json);
	if (kind == RJ_RECORD_MALFORMED) {
		rj_error_list_add(&errors, RJ_ERR_MALFORMED,
				  "kind: missing or unknown; write a kind that "
				  "this version supports");
		goto out;
	}
	result = rj_schema_decode(&record_schemas[kind], mem, json, record,
				  &errors);
out:
	if (result) {
		assert(errors.count);
		rj_error_set(err, RJ_ERR_MALFORMED, "%s",
			     errors.errors[0].message);
	}
	rj_error_list_finish(&errors);
	json_decref(json);
	return result;
}
