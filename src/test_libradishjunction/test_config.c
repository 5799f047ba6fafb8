#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "radishjunction/config.h"
#include "support/text_check.h"

#define HASH_A \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define CLASSES "[{'name':'render','idempotent':true,'expected_ms':90000}]"

/*
 * Returns a configuration of two racks of eight workers with 8 accelerators
 * each and one account with these guarantees. Single quotes stand for double
 * quotes.
 */
static char *config_with_guarantees(void *mem, const char *guarantees)
{
	return text_check_json(
		mem,
		"{'domains':[{'name':'estrela','region':'rs','racks':2,"
		"'workers_per_rack':8,'worker':{'slots':8,'accelerators':8,"
		"'cores':64,'memory_mb':131072}}],"
		"'accounts':[{'name':'lajes','token_hash':'" HASH_A "',"
		"'guarantees':[%s]}],'classes':" CLASSES "}",
		guarantees);
}

/* Expects exactly one error, which begins with `path` and contains `remedy`. */
static void check_one_error(const char *guarantees, const char *path,
			    const char *remedy)
{
	void *mem = talloc_new(NULL);
	struct rj_error_list errors;

	rj_error_list_init(&errors, mem);
	g_assert_null(rj_config_parse(
		mem, config_with_guarantees(mem, guarantees), &errors));
	text_check_one_error(&errors, path, remedy);
	talloc_free(mem);
}

static void test_good_config(void)
{
	void *mem = talloc_new(NULL);
	struct rj_error_list errors;
	struct rj_config *config;

	rj_error_list_init(&errors, mem);
	config = rj_config_parse(
		mem,
		config_with_guarantees(
			mem, "{'domain':'estrela','tasks':8,'slots':8,"
			     "'accelerators':8,'adjacent':true,'count':2}"),
		&errors);
	g_assert_nonnull(config);
	g_assert_cmpuint(errors.count, ==, 0);
	g_assert_cmpuint(config->accounts[0].guarantees[0].shape.tasks, ==, 8);
	g_assert_true(config->accounts[0].guarantees[0].shape.adjacent);
	g_assert_cmpuint(config->classes[0].expected_us, ==, 90000000);
	g_assert_cmpuint(config->classes[0].priority, ==, RJ_PRIORITY_NORMAL);
	g_assert_cmpuint(config->limits.lease_life_ms, ==, 5000);
	g_assert_nonnull(rj_config_domain(config, "estrela"));
	g_assert_null(rj_config_domain(config, "caxias"));
	g_assert_nonnull(rj_config_account(config, "lajes"));
	g_assert_nonnull(rj_config_class(config, "render"));
	rj_config_unref(rj_config_ref(config));
	rj_config_unref(config);
	g_assert_cmpuint(talloc_total_blocks(mem), ==, 2);
	talloc_free(mem);
}

static void test_guarantee_in_an_unknown_domain(void)
{
	check_one_error("{'domain':'caxias'}",
			"accounts[0].guarantees[0].domain: \"caxias\"",
			"\"estrela\"");
}

static void test_guarantee_that_fits_no_worker(void)
{
	check_one_error("{'domain':'estrela','accelerators':96}",
			"accounts[0].guarantees[0].accelerators: 96",
			"lower it");
}

static void test_adjacent_guarantee_that_fits_no_rack(void)
{
	check_one_error("{'domain':'estrela','tasks':9,'accelerators':8,"
			"'adjacent':true}",
			"accounts[0].guarantees[0].tasks: 9",
			"set \"adjacent\" to false");
	check_one_error("{'domain':'estrela','tasks':17,'accelerators':8}",
			"accounts[0].guarantees[0].tasks: 17",
			"guarantee less");
}

/*
 * Guarantees must be placed as shapes. Three adjacent gangs of five whole
 * workers need 15 of the 16 workers of two racks: the sum fits, but the third
 * gang would span the racks.
 */
static void test_guarantees_pack_as_shapes(void)
{
	check_one_error("{'domain':'estrela','tasks':5,'accelerators':8,"
			"'adjacent':true,'count':3}",
			"accounts[0].guarantees[0].count: 3",
			"lower it or add racks");
}

static void test_guarantees_above_the_capacity(void)
{
	check_one_error("{'domain':'estrela','tasks':10,'accelerators':8},"
			"{'domain':'estrela','tasks':7,'accelerators':8}",
			"accounts[0].guarantees[1].count: 1", "1 tasks");
}

/*
 * All errors must be reported at once, not only the first. One text has a wrong
 * type, an unknown field and a guarantee that fits nowhere.
 */
static void test_all_errors_at_once(void)
{
	void *mem = talloc_new(NULL);
	struct rj_error_list errors;
	char *text = config_with_guarantees(
		mem, "{'domain':'estrela','accelerators':96,"
		     "'colour':'red','count':'two'}");

	rj_error_list_init(&errors, mem);
	g_assert_null(rj_config_parse(mem, text, &errors));
	g_assert_cmpuint(errors.count, ==, 2);
	text = config_with_guarantees(mem,
				      "{'domain':'estrela','accelerators':96,"
				      "'colour':'red'}");
	rj_error_list_finish(&errors);
	g_assert_null(rj_config_parse(mem, text, &errors));
	g_assert_cmpuint(errors.count, ==, 2);
	g_assert_nonnull(strstr(errors.errors[0].message, "unknown field"));
	g_assert_nonnull(strstr(errors.errors[1].message, "lower it"));
	talloc_free(mem);
}

static void test_token_identifies_its_account(void)
{
	void *mem = talloc_new(NULL);
	struct rj_error_list errors;
	struct rj_config *config;

	rj_error_list_init(&errors, mem);
	config = rj_config_parse(mem, config_with_guarantees(mem, ""), &errors);
	g_assert_nonnull(config);
	rj_token_hash(config->accounts[0].token_hash, "a token");
	g_assert_true(rj_config_account_by_token(config, "a token") ==
		      &config->accounts[0]);
	g_assert_null(rj_config_account_by_token(config, "a toke"));
	g_assert_null(rj_config_account_by_token(config, ""));
	rj_config_unref(config);
	talloc_free(mem);
}

static void test_two_accounts_share_a_token(void)
{
	void *mem = talloc_new(NULL);
	struct rj_error_list errors;
	char *text = config_with_guarantees(mem, "");
	char *copy = g_strdup(text);
	GString *whole = g_string_new(copy);

	rj_error_list_init(&errors, mem);
	g_string_replace(whole, "\"guarantees\":[]}]",
			 "\"guarantees\":[]},{\"name\":\"lajes\","
			 "\"token_hash\":\"" HASH_A "\"}]",
			 0);
	g_assert_null(rj_config_parse(mem, whole->str, &errors));
	g_assert_cmpuint(errors.count, ==, 2);
	g_assert_nonnull(strstr(errors.errors[0].message, "duplicate"));
	g_assert_nonnull(strstr(errors.errors[1].message, "token of its own"));
	g_string_free(whole, TRUE);
	g_free(copy);
	talloc_free(mem);
}

static void test_uninterruptible_class_is_reported(void)
{
	void *mem = talloc_new(NULL);
	struct rj_error_list list;
	struct rj_config *config;

	rj_error_list_init(&list, mem);
	config = rj_config_parse(mem, config_with_guarantees(mem, ""), &list);
	rj_config_warnings(config, &list);
	g_assert_cmpuint(list.count, ==, 0);
	config->classes[0].idempotent = false;
	rj_config_warnings(config, &list);
	g_assert_cmpuint(list.count, ==, 1);
	g_assert_cmpint(list.errors[0].kind, ==, RJ_ERR_NONE);
	rj_config_unref(config);
	talloc_free(mem);
}

/*
 * A truncated or corrupted text is either parsed completely or refused with an
 * error, and leaks no memory.
 */
static void test_corrupted_text(void)
{
	void *mem = talloc_new(NULL);
	struct rj_error_list errors;
	char *good = config_with_guarantees(
		mem, "{'domain':'estrela','tasks':4,"
		     "'accelerators':8,'adjacent':true}");
	size_t length = strlen(good);
	uint64_t seed = 11;

	rj_error_list_init(&errors, mem);
	for (int i = 0; i < 4000; i++) {
		char *text = talloc_strdup(mem, good);
		struct rj_config *config;

		for (uint64_t n = 1 + rj_random64(&seed) % 3; n; n--)
			text[rj_random64(&seed) % length] =
				(char)(rj_random64(&seed) % 256);
		config = rj_config_parse(mem, text, &errors);
		g_assert_true(config ? !errors.count : errors.count > 0);
		rj_config_unref(config);
		rj_error_list_finish(&errors);
		talloc_free(text);
	}
	g_assert_cmpuint(talloc_total_blocks(mem), ==, 2);
	talloc_free(mem);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config/good", test_good_config);
	g_test_add_func("/config/no-domain",
			test_guarantee_in_an_unknown_domain);
	g_test_add_func("/config/no-worker",
			test_guarantee_that_fits_no_worker);
	g_test_add_func("/config/no-rack",
			test_adjacent_guarantee_that_fits_no_rack);
	g_test_add_func("/config/pack", test_guarantees_pack_as_shapes);
	g_test_add_func("/config/above", test_guarantees_above_the_capacity);
	g_test_add_func("/config/all-errors", test_all_errors_at_once);
	g_test_add_func("/config/token", test_token_identifies_its_account);
	g_test_add_func("/config/same-token", test_two_accounts_share_a_token);
	g_test_add_func("/config/notes",
			test_uninterruptible_class_is_reported);
	g_test_add_func("/config/mangled", test_corrupted_text);
	return g_test_run();
}
