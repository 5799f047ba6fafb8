#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "radishjunction/config_change.h"

#define SEEDS 400
#define ACCOUNTS 290
/* Upper bound of a change of one field of one account. */
#define SMALL_CHANGE_BYTES 100

/*
 * Returns a random JSON value of at most `depth` levels; some names need
 * escapes.
 */
static json_t *random_value(uint64_t *seed, uint32_t depth)
{
	static const char *const names[] = { "a", "b/c", "d~e", "~1", "f", "" };
	json_t *value;

	switch (rj_random64(seed) % (depth ? 5 : 3)) {
	case 0:
		return json_integer((json_int_t)(rj_random64(seed) % 4));
	case 1:
		return json_string(names[rj_random64(seed) % 6]);
	case 2:
		return json_boolean(rj_random64(seed) % 2);
	case 3:
		value = json_array();
		for (uint64_t i = rj_random64(seed) % 5; i; i--)
			json_array_append_new(value,
					      random_value(seed, depth - 1));
		return value;
	default:
		value = json_object();
		for (uint64_t i = rj_random64(seed) % 5; i; i--)
			json_object_set_new(value, names[rj_random64(seed) % 6],
					    random_value(seed, depth - 1));
		return value;
	}
}

/* Returns a random object as text that shares some fields with `earlier`. */
static char *random_text(void *mem, const char *earlier, uint64_t *seed)
{
	json_t *json = json_loads(earlier, 0, NULL);
	char key[] = "list 0";
	char *dumped;
	char *text;

	for (key[5] = '0'; key[5] < '8'; key[5]++)
		if (!json_object_get(json, key) || rj_random64(seed) % 4 == 0)
			json_object_set_new(json, key, random_value(seed, 3));
	dumped = json_dumps(json, JSON_INDENT(1));
	text = talloc_strdup(mem, dumped);
	free(dumped);
	json_decref(json);
	return text;
}

/* A change made from any two texts must turn the first into the second. */
static void test_change_between_any_two_texts(void)
{
	uint32_t made = 0;

	for (uint64_t seed = 0; seed < SEEDS; seed++) {
		void *mem = talloc_new(NULL);
		uint64_t random = seed;
		char *from = random_text(mem, "{}", &random);
		char *to = random_text(mem, from, &random);
		struct rj_config_change change;
		struct rj_error_list errors;
		char *result;

		rj_error_list_init(&errors, mem);
		if (!rj_config_change_make(mem, from, to, &change))
			made++;
		result = rj_config_change_apply(mem, from, &change, &errors);
		g_assert_cmpstr(result, ==, rj_config_canonical(mem, to));
		/* Formatting of the base does not matter. */
		g_assert_cmpstr(rj_config_change_apply(
					mem, rj_config_canonical(mem, from),
					&change, &errors),
				==, result);
		talloc_free(mem);
	}
	g_assert_cmpuint(made, >, 0);
}

/* Returns a configuration text; the last account has the given limit. */
static char *site_text(void *mem, uint32_t accounts, int limit)
{
	json_t *json = json_object();
	json_t *list = json_array();
	char *dumped;
	char *text;

	for (uint32_t i = 0; i < accounts; i++)
		json_array_append_new(
			list, json_pack("{s:i,s:i}", "name", (int)i, "open_max",
					i + 1 == accounts ? limit : 1));
	json_object_set_new(json, "accounts", list);
	dumped = json_dumps(json, JSON_COMPACT);
	text = talloc_strdup(mem, dumped);
	free(dumped);
	json_decref(json);
	return text;
}

static void test_change_is_small(void)
{
	void *mem = talloc_new(NULL);
	struct rj_config_change change;

	g_assert_cmpint(rj_config_change_make(mem, site_text(mem, ACCOUNTS, 1),
					      site_text(mem, ACCOUNTS, 2),
					      &change),
			==, 0);
	g_assert_cmpuint(strlen(change.patch), <, SMALL_CHANGE_BYTES);
	g_assert_cmpint(rj_config_change_make(mem, site_text(mem, ACCOUNTS, 1),
					      site_text(mem, ACCOUNTS + 1, 1),
					      &change),
			==, 0);
	g_assert_cmpuint(strlen(change.patch), <, SMALL_CHANGE_BYTES);
	/* Refused: longer than the whole text, or made from invalid text. */
	g_assert_cmpint(
		rj_config_change_make(mem, "{\"a\":1}", "{\"b\":2}", &change),
		==, -1);
	g_assert_cmpint(rj_config_change_make(mem, "[1]", "{\"b\":2}", &change),
			==, -1);
	g_assert_cmpint(rj_config_change_make(mem, "{\"a\":1}", "{", &change),
			==, -1);
	talloc_free(mem);
}

/* Applies a patch whose digest matches the result of its operations. */
static char *apply_patch(void *mem, const char *patch)
{
	static const char base[] = "{\"a\":{\"b\":[1,2]},\"c\":3}";
	struct rj_config_change change;
	struct rj_error_list errors;
	char *result;

	rj_error_list_init(&errors, mem);
	rj_config_change_make(mem, base, base, &change);
	change.patch = patch;
	result = rj_config_change_apply(mem, base, &change, &errors);
	g_assert_cmpuint(errors.count, ==, result ? 0 : 1);
	return result;
}

/*
 * A malformed hand-written patch must not crash a reader, be applied in part,
 * or take more memory than its length allows.
 */
static void test_bad_patches_are_refused(void)
{
	static const char *const bad[] = {
		"",
		"{}",
		"7",
		"[7]",
		"[{}]",
		"[{\"op\":\"add\",\"path\":\"/c\"}]",
		"[{\"op\":\"add\",\"path\":\"\",\"value\":{}}]",
		"[{\"op\":\"add\",\"path\":\"/\",\"value\":3}]",
		"[{\"op\":\"add\",\"path\":\"c\",\"value\":3}]",
		"[{\"op\":\"set\",\"path\":\"/c\",\"value\":3}]",
		"[{\"op\":\"move\",\"path\":\"/c\",\"from\":\"/a\","
		"\"value\":3}]",
		"[{\"op\":\"remove\",\"path\":\"/d\"}]",
		"[{\"op\":\"replace\",\"path\":\"/d\",\"value\":3}]",
		"[{\"op\":\"replace\",\"path\":\"/a/b/2\",\"value\":3}]",
		"[{\"op\":\"add\",\"path\":\"/a/b/3\",\"value\":3}]",
		"[{\"op\":\"add\",\"path\":\"/a/b/-\",\"value\":3}]",
		"[{\"op\":\"replace\",\"path\":\"/a/b/00\",\"value\":1}]",
		"[{\"op\":\"replace\",\"path\":\"/a/b/9999999999\","
		"\"value\":1}]",
		"[{\"op\":\"replace\",\"path\":\"/a/b/0/x\",\"value\":1}]",
		"[{\"op\":\"replace\",\"path\":\"/x/y\",\"value\":1}]",
		"[{\"op\":\"add\",\"path\":\"/c\",\"path\":\"/c\","
		"\"value\":3}]",
		"[{\"op\":\"replace\",\"path\":\"/d\",\"value\":3},"
		"{\"op\":\"remove\",\"path\":\"/d\"}]",
		/* All operations but the last would succeed. */
		"[{\"op\":\"replace\",\"path\":\"/c\",\"value\":3},"
		"{\"op\":\"remove\",\"path\":\"/d\"}]",
		/* Applies, but the result does not match the digest. */
		"[{\"op\":\"replace\",\"path\":\"/c\",\"value\":4}]",
	};
	void *mem = talloc_new(NULL);
	GString *deep =
		g_string_new("[{\"op\":\"add\",\"value\":3,\"path\":\"");
	GString *longer = g_string_new("[");

	g_assert_nonnull(apply_patch(mem, "[]"));
	g_assert_nonnull(apply_patch(
		mem, "[{\"op\":\"replace\",\"path\":\"/c\",\"value\":3}]"));
	for (uint32_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		g_assert_null(apply_patch(mem, bad[i]));
	for (int i = 0; i < 20000; i++)
		g_string_append(deep, "/a");
	g_string_append(deep, "\"}]");
	g_assert_null(apply_patch(mem, deep->str));
	for (int i = 0; i < RJ_CONFIG_CHANGE_MAX_BYTES; i++)
		g_string_append_c(longer, ' ');
	g_string_append_c(longer, ']');
	g_assert_null(apply_patch(mem, longer->str));
	g_string_free(deep, TRUE);
	g_string_free(longer, TRUE);
	talloc_free(mem);
}

/* Nesting depth of a value that the parser still accepts. */
#define VALUE_DEPTH 2000
#define OPERATIONS 4

/*
 * A change must have a bound on its length. Otherwise each operation can put a
 * value as deep as the parser accepts into the innermost value of the previous
 * one; the result is deeper than any parsed text, and serializing it overflows
 * the stack of every instance that reads the stream.
 */
static void test_deep_results_are_refused(void)
{
	GString *value = g_string_new(NULL);
	GString *patch = g_string_new("[");
	GString *path = g_string_new("/d");
	void *mem = talloc_new(NULL);

	for (int i = 0; i < VALUE_DEPTH; i++)
		g_string_append_c(value, '[');
	for (int i = 0; i < VALUE_DEPTH; i++)
		g_string_append_c(value, ']');
	for (int i = 0; i < OPERATIONS; i++) {
		g_string_append_printf(
			patch,
			"%s{\"op\":\"add\",\"path\":\"%s\",\"value\":%s}",
			i ? "," : "", path->str, value->str);
		for (int j = 0; j < VALUE_DEPTH; j++)
			g_string_append(path, "/0");
	}
	g_string_append_c(patch, ']');
	g_assert_cmpuint(patch->len, <, RJ_CONFIG_CHANGE_MAX_BYTES);
	g_assert_null(apply_patch(mem, patch->str));
	g_string_free(value, TRUE);
	g_string_free(patch, TRUE);
	g_string_free(path, TRUE);
	talloc_free(mem);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config-change/any",
			test_change_between_any_two_texts);
	g_test_add_func("/config-change/small", test_change_is_small);
	g_test_add_func("/config-change/bad", test_bad_patches_are_refused);
	g_test_add_func("/config-change/deep", test_deep_results_are_refused);
	return g_test_run();
}
