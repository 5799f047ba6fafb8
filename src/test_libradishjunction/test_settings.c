#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "radishjunction/settings.h"
#include "support/text_check.h"

#define KEY "0123456789abcdef0123456789abcdef"

/* Returns a daemon's settings with more fields; single quotes for double. */
static char *settings_text(void *mem, const char *more)
{
	return text_check_json(
		mem,
		"{'name':'entry-1','domain':'caxias',"
		"'caller_address':'127.0.0.1:0','peer_address':'[::1]:7001',"
		"'platform_address':'127.0.0.1:7100','peer_key':'" KEY "'%s}",
		more);
}

static void test_good_settings(void)
{
	void *mem = talloc_new(NULL);
	struct rj_error_list errors;
	struct rj_settings *settings;

	rj_error_list_init(&errors, mem);
	settings = rj_settings_parse(
		mem,
		settings_text(mem, ",'drain_limit_s':7,'peers':["
				   "{'name':'entry-1','domain':'caxias',"
				   "'address':'[::1]:7001'},"
				   "{'name':'entry-2','domain':'lajeado',"
				   "'address':'127.0.0.1:7002'}]"),
		&errors);
	g_assert_nonnull(settings);
	g_assert_cmpstr(settings->peer_address.ip, ==, "::1");
	g_assert_cmpuint(settings->peer_address.port, ==, 7001);
	g_assert_cmpuint(settings->drain_limit_s, ==, 7);
	g_assert_cmpuint(settings->body_max_bytes, ==, RJ_BODY_MAX_BYTES);
	/* Its own name is left out. */
	g_assert_cmpuint(settings->peer_count, ==, 1);
	g_assert_cmpstr(settings->peers[0].name, ==, "entry-2");
	g_assert_cmpstr(settings->peers[0].domain, ==, "lajeado");
	g_assert_cmpint(settings->peers[0].role, ==, RJ_ROLE_ENTRY);
	talloc_free(mem);
}

static void check_one_error(const char *more, const char *start,
			    const char *remedy)
{
	void *mem = talloc_new(NULL);
	struct rj_error_list errors;

	rj_error_list_init(&errors, mem);
	g_assert_null(
		rj_settings_parse(mem, settings_text(mem, more), &errors));
	text_check_one_error(&errors, start, remedy);
	talloc_free(mem);
}

static void test_each_error(void)
{
	check_one_error(",'colour':1", "\"colour\": unknown field",
			"remove it");
	check_one_error(",'drain_limit_s':0", "drain_limit_s: 0 is below 1",
			"raise it");
	check_one_error(",'drain_limit_s':'7'", "drain_limit_s: \"7\" is not",
			"whole number");
	check_one_error(",'peers':[{'name':'a','domain':'b',"
			"'address':'localhost:1'}]",
			"peers[0].address: \"localhost:1\"", "IP number");
	check_one_error(",'peers':[{'name':'a','domain':'b',"
			"'address':'127.0.0.1:0'}]",
			"peers[0].address: \"127.0.0.1:0\"", "port");
	check_one_error(",'peers':[{'name':'a','domain':'b',"
			"'address':'127.0.0.1:1'},{'name':'a','domain':'b',"
			"'address':'127.0.0.1:2'}]",
			"peers[1].name: \"a\" is a duplicate", "rename");
	check_one_error(",'peers':[{'name':'a b','domain':'b',"
			"'address':'127.0.0.1:1'}]",
			"peers[0].name: \"a b\" is no name", "letters");
	check_one_error(",'name':'again'", "line 1", "mend the JSON");
}

static void test_missing_fields_are_all_named(void)
{
	void *mem = talloc_new(NULL);
	struct rj_error_list errors;

	rj_error_list_init(&errors, mem);
	g_assert_null(rj_settings_parse(mem, "{}", &errors));
	g_assert_cmpuint(errors.count, ==, 6);
	for (uint32_t i = 0; i < errors.count; i++)
		g_assert_nonnull(strstr(errors.errors[i].message, "missing"));
	talloc_free(mem);
}

static void test_addresses(void)
{
	static const char *const bad[] = { "",
					   ":1",
					   "127.0.0.1",
					   "1.2.3:4",
					   "127.0.0.1:65536",
					   "127.0.0.1:-1",
					   "127.0.0.1:",
					   "127.0.0.1:1x",
					   "::1:70",
					   "[127.0.0.1]:1",
					   "[]:1",
					   "host:1" };
	struct rj_address address;

	for (uint32_t i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_cmpint(rj_address_parse(&address, bad[i]), ==, -1);
	g_assert_cmpint(rj_address_parse(&address, "10.0.0.7:65535"), ==, 0);
	g_assert_cmpuint(address.port, ==, 65535);
	g_assert_cmpint(rj_address_parse(&address, "[fe80::1]:0"), ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settings/good", test_good_settings);
	g_test_add_func("/settings/errors", test_each_error);
	g_test_add_func("/settings/missing", test_missing_fields_are_all_named);
	g_test_add_func("/settings/addresses", test_addresses);
	return g_test_run();
}
