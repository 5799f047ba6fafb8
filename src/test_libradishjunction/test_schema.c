#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "private/schema.h"
#include "support/text_check.h"

/* One member of each type. */
struct sample_part {
	char name[RJ_NAME_BYTES];
	uint32_t size;
};

struct sample {
	bool flag;
	uint32_t small;
	uint64_t long_us;
	uint64_t id;
	char name[RJ_NAME_BYTES];
	char text[8];
	const char *string;
	uint8_t hash[4];
	struct rj_bytes bytes;
	enum rj_priority priority;
	struct rj_address address;
	struct sample_part part;
	struct sample_part *parts;
	uint32_t part_count;
};

static const struct rj_schema_field part_fields[] = {
	{ RJ_FIELD(name, sample_part, name) },
	{ RJ_FIELD(u32, sample_part, size), .optional = true, .max = 9,
	  .fallback = 3 },
};

static const struct rj_schema part_schema = {
	.fields = part_fields,
	.field_count = RJ_FIELD_COUNT(part_fields),
	.size = sizeof(struct sample_part),
	.unique_names = true,
};

static const struct rj_schema_field sample_fields[] = {
	{ RJ_FIELD(bool, sample, flag), .optional = true, .fallback = true },
	{ RJ_FIELD(u32, sample, small), .min = 2, .max = 5 },
	{ .type = &rj_schema_u64,
	  .name = "long_ms",
	  .optional = true,
	  .offset = offsetof(struct sample, long_us),
	  .max = 1000,
	  .fallback = 7,
	  .scale = 1000 },
	{ RJ_FIELD(id, sample, id), .optional = true },
	{ RJ_FIELD(name, sample, name), .optional = true },
	{ RJ_FIELD(text, sample, text), .optional = true, .size = 8 },
	{ RJ_FIELD(string, sample, string), .optional = true, .max = 20 },
	{ RJ_FIELD(hex, sample, hash), .optional = true, .size = 4 },
	{ RJ_FIELD(base64, sample, bytes), .optional = true, .max = 6 },
	{ RJ_FIELD(choice, sample, priority), .optional = true,
	  .max = RJ_PRIORITY_COUNT, .fallback = RJ_PRIORITY_BULK,
	  .choices = rj_priority_string },
	{ RJ_FIELD(address, sample, address) },
	{ RJ_FIELD(object, sample, part), .schema = &part_schema },
	{ RJ_FIELD(array, sample, parts), .optional = true, .max = 2,
	  .count_offset = offsetof(struct sample, part_count),
	  .schema = &part_schema },
};

static const struct rj_schema sample_schema = {
	.fields = sample_fields,
	.field_count = RJ_FIELD_COUNT(sample_fields),
	.size = sizeof(struct sample),
};

#define REQUIRED "'small':2,'address':'1.2.3.4:5','part':{'name':'p'}"

static int parse(void *mem, const char *fields, struct sample *sample,
		 struct rj_error_list *errors)
{
	char *text = text_check_json(NULL, "{%s}", fields);
	int result;

	result = rj_schema_parse(&sample_schema, mem, text, sample, errors);
	talloc_free(text);
	return result;
}

static void test_fallbacks(void)
{
	struct rj_error_list errors;
	struct sample sample;

	rj_error_list_init(&errors, NULL);
	g_assert_cmpint(parse(NULL, REQUIRED, &sample, &errors), ==, 0);
	g_assert_true(sample.flag);
	g_assert_cmpuint(sample.long_us, ==, 7000);
	g_assert_cmpint(sample.priority, ==, RJ_PRIORITY_BULK);
	g_assert_cmpuint(sample.part.size, ==, 3);
	g_assert_null(sample.parts);
}

/*
 * Generating a text from parsed values must give the same text, or each
 * regeneration would look like a change.
 */
static void test_generated_text_parses_to_the_same_values(void)
{
	void *mem = talloc_new(NULL);
	struct rj_error_list errors;
	struct sample first;
	struct sample second;
	json_t *one;
	json_t *two;

	rj_error_list_init(&errors, mem);
	g_assert_cmpint(parse(mem,
			      REQUIRED
			      ",'flag':false,'long_ms':1,"
			      "'id':'80000000000000ff','name':'n','text':'t',"
			      "'string':'s','hash':'01020304',"
			      "'bytes':'AAECAw==','priority':'urgent',"
			      "'parts':[{'name':'a','size':0},{'name':'b'}]",
			      &first, &errors),
			==, 0);
	one = rj_schema_encode(&sample_schema, &first);
	g_assert_cmpuint(json_object_size(one), ==,
			 RJ_FIELD_COUNT(sample_fields));
	g_assert_cmpint(
		rj_schema_decode(&sample_schema, mem, one, &second, &errors),
		==, 0);
	two = rj_schema_encode(&sample_schema, &second);
	g_assert_true(json_equal(one, two));
	g_assert_cmpuint(second.id, ==, 0x80000000000000ffULL);
	g_assert_cmpuint(second.bytes.length, ==, 4);
	g_assert_cmpuint(second.parts[0].size, ==, 0);
	json_decref(one);
	json_decref(two);
	talloc_free(mem);
}

static void test_each_error_names_path_value_and_remedy(void)
{
	static const struct {
		const char *fields;
		const char *message;
	} rows[] = {
		{ "'flag':1", "flag: 1 is not true or false; give true or "
			      "false" },
		{ "'long_ms':1001", "long_ms: 1001 is above 1000; lower it" },
		{ "'long_ms':1.5", "long_ms: 1.5 is not a whole number; give a "
				   "whole number" },
		{ "'id':'8000'", "id: \"8000\" is not 16 hexadecimal digits" },
		{ "'name':'a b'", "name: \"a b\" is no name; use 1 to 47" },
		{ "'text':'12345678'", "text: 8 characters; give from 0 to 7" },
		{ "'hash':'xy020304'", "hash: give 8 hexadecimal digits" },
		{ "'bytes':'A'", "bytes: not base64 of at most 6 bytes" },
		{ "'bytes':'AAECAwQFBgcICQ=='", "bytes: longer than 6 bytes" },
		{ "'priority':'now'", "priority: \"now\" is not known; use one "
				      "of: urgent, normal, bulk" },
		{ "'parts':{}", "parts: an object is not an array" },
		{ "'parts':[1]", "parts[0]: not an object" },
		{ "'parts':[{},{},{}]", "parts: 3 elements; give from 0 to 2" },
		{ "'parts':[{'name':'a'},{'name':'a'}]",
		  "parts[1].name: \"a\" is a duplicate of element 0" },
		{ "'parts':[{'name':'a','size':10}]",
		  "parts[0].size: 10 is above 9; lower it" },
		{ "'Flag':true", "\"Flag\": unknown field; remove it" },
	};

	for (uint32_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *fields =
			talloc_asprintf(NULL, REQUIRED ",%s", rows[i].fields);
		static const struct sample zero;
		struct rj_error_list errors;
		struct sample sample;

		rj_error_list_init(&errors, NULL);
		g_assert_cmpint(parse(NULL, fields, &sample, &errors), ==, -1);
		g_assert_cmpuint(errors.count, ==, 1);
		if (!g_str_has_prefix(errors.errors[0].message,
				      rows[i].message))
			g_error("%s", errors.errors[0].message);
		g_assert_cmpmem(&sample, sizeof(sample), &zero, sizeof(zero));
		rj_error_list_finish(&errors);
		talloc_free(fields);
	}
}

static void test_missing_fields(void)
{
	struct rj_error_list errors;
	struct sample sample;

	rj_error_list_init(&errors, NULL);
	g_assert_cmpint(parse(NULL, "", &sample, &errors), ==, -1);
	g_assert_cmpuint(errors.count, ==, 3);
	g_assert_cmpstr(errors.errors[0].message, ==,
			"small: missing; give a whole number");
	rj_error_list_finish(&errors);
}

/* Error messages escape quoted input, which could break a log line in two. */
static void test_values_are_shown_on_one_ascii_line(void)
{
	char shown[RJ_SCHEMA_VALUE_BYTES];
	json_t *json = json_string("a\n\"\xc3\xa9\" and so on and so on and so "
				   "on and so on and so on");

	rj_schema_format_value(shown, json);
	g_assert_true(g_str_is_ascii(shown));
	g_assert_null(strchr(shown, '\n'));
	g_assert_true(g_str_has_suffix(shown, "..."));
	json_decref(json);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/schema/fallbacks", test_fallbacks);
	g_test_add_func("/schema/round-trip",
			test_generated_text_parses_to_the_same_values);
	g_test_add_func("/schema/errors",
			test_each_error_names_path_value_and_remedy);
	g_test_add_func("/schema/missing", test_missing_fields);
	g_test_add_func("/schema/shown",
			test_values_are_shown_on_one_ascii_line);
	return g_test_run();
}
