/*
 * Configurations of which a part cannot be read: keys that they take away are
 * not accepted, and they allow nothing that no valid version allows.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "support/cell_fixture.h"
#include "wire.h"

#define ROUTE(name, prefix, more)                                      \
	"{\"Name\":\"" name "\",\"Host\":\"h\",\"PathPrefix\":" prefix \
	",\"Service\":\"s\"" more "}"
#define TENANT(name, keys, more) \
	"{\"Name\":" name ",\"ApiKeys\":[" keys "]" more "}"
#define CONFIG(version, routes, tenants)                                \
	"{\"Version\":" version ",\"Routes\":" routes ",\"Services\":[" \
	"{\"Name\":\"s\",\"EnforceLimits\":true}],\"Tenants\":" tenants "}"

/* Keys k1 and k2, a public queue, and one below it that needs a key. */
#define FORMER                                                          \
	CONFIG("1",                                                     \
	       "[" ROUTE("all", "\"/\"", ",\"Public\":true") "," ROUTE( \
		       "own", "\"/own/\"", "") "]",                     \
	       "[" TENANT("\"t\"", "\"k1\",\"k2\"",                     \
			  ",\"Guaranteed\":{\"Gpu\":8}") "]")

static struct rj_cell_config *decode(const char *text)
{
	struct rj_error err;

	return platform_wire_decode_config(
		NULL,
		(struct rj_bytes){ (const uint8_t *)text,
				   (uint32_t)strlen(text) },
		&err);
}

/* Returns what is in force after FORMER and then `text`. */
static struct rj_cell_config *apply(const char *text)
{
	struct rj_cell_config *config = decode(text);

	g_assert_nonnull(config);
	return rj_cell_config_replace(decode(FORMER), config);
}

/* Guards against a removed key that stays valid, as another part of the version
 * cannot be read. */
static void test_removed_keys(void)
{
	static const char *const texts[] = {
		CONFIG("2", "7", "[" TENANT("\"t\"", "\"k1\"", "") "]"),
		CONFIG("2", "[7]", "[" TENANT("\"t\"", "\"k1\"", "") "]"),
		CONFIG("2", "[" ROUTE("all", "[]", "") "]",
		       "[" TENANT("\"t\"", "\"k1\"", "") "]"),
		CONFIG("2", "[" ROUTE("all", "\"/\"", ",\"Priority\":-1") "]",
		       "[" TENANT("\"t\"", "\"k1\"", "") "]"),
		CONFIG("2", "[" ROUTE("all", "\"/\"", "") "]",
		       "[7," TENANT("5", "\"k2\"", "") "," TENANT(
			       "\"t\"", "\"k1\",9,null,{}", "") "]"),
		CONFIG("2", "[" ROUTE("all", "\"/\"", "") "]",
		       "[" TENANT("\"t\"", "\"k1\"",
				  ",\"Guaranteed\":\"all\"") "]"),
	};

	for (guint i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct rj_cell_config *config = apply(texts[i]);

		g_assert_cmpuint(config->version, ==, 2);
		g_assert_cmpuint(config->invalid_count, >, 0);
		g_assert_nonnull(config->invalid_error);
		g_assert_null(rj_cell_config_key(config, "k2"));
		g_assert_nonnull(rj_cell_config_key(config, "k1"));
		talloc_free(config);
	}
}

/* Guards against calls that reach a public queue, as the queue with the longer
 * prefix that they are meant for cannot be read. */
static void test_invalid_queue_takes_its_calls(void)
{
	struct rj_cell_config *config = apply(
		CONFIG("2",
		       "[" ROUTE("all", "\"/\"", ",\"Public\":true") "," ROUTE(
			       "own", "\"/own/\"", ",\"Priority\":\"x\"") "]",
		       "[" TENANT("\"t\"", "\"k1\"", "") "]"));

	g_assert_true(rj_cell_config_route(config, "h", "/own/1")->invalid);
	g_assert_false(rj_cell_config_route(config, "h", "/1")->invalid);
	talloc_free(config);
}

/* Guards against a new key that may use a queue of the former version which the
 * new one may not have. */
static void test_new_keys_wait_for_known_queues(void)
{
	static const char text[] =
		CONFIG("2", "[" ROUTE("all", "[]", "") "]",
		       "[" TENANT("\"t\"", "\"k2\",\"k3\"",
				  "") "," TENANT("\"u\"", "\"k1\"", "") "]");
	struct rj_cell_config *config = apply(text);

	g_assert_true(config->queues_unknown);
	g_assert_nonnull(rj_cell_config_route(config, "h", "/own/1"));
	g_assert_nonnull(rj_cell_config_key(config, "k2"));
	g_assert_null(rj_cell_config_key(config, "k3"));
	/* It is another account's now. */
	g_assert_null(rj_cell_config_key(config, "k1"));
	talloc_free(config);
	/* Without a former version no queue is known. */
	config = rj_cell_config_replace(NULL, decode(text));
	g_assert_true(config->queues_unknown);
	g_assert_null(rj_cell_config_route(config, "h", "/own/1"));
	talloc_free(config);
}

/* Guards against a guarantee that is lost, as its new amount cannot be read. */
static void test_unreadable_guarantee(void)
{
	struct rj_cell_config *config = apply(CONFIG(
		"2", "[" ROUTE("all", "\"/\"", "") "]",
		"[" TENANT("\"t\"", "\"k1\"", ",\"Guaranteed\":{\"Gpu\":\"x\"}") "," TENANT(
			"\"u\"", "\"k3\"",
			",\"Guaranteed\":{\"Gpu\":99999999999}") "]"));

	g_assert_cmpuint(
		rj_cell_config_account(config, "t")->guaranteed_accelerators,
		==, 8);
	g_assert_cmpuint(
		rj_cell_config_account(config, "u")->guaranteed_accelerators,
		==, 0);
	g_assert_nonnull(rj_cell_config_key(config, "k3"));
	talloc_free(config);
}

/* Versions of which it is not known which they are, or which keys they have, are
 * not applied. */
static void test_unknown_versions(void)
{
	static const char *const texts[] = {
		"",
		"{",
		"[]",
		CONFIG("\"2\"", "[]", "[]"),
		CONFIG("-1", "[]", "[]"),
		CONFIG("2", "[]", "{\"a\":1}"),
		CONFIG("2", "[]", "\"t\""),
		CONFIG("1e400", "[]", "[]"),
	};

	for (guint i = 0; i < G_N_ELEMENTS(texts); i++)
		g_assert_null(decode(texts[i]));
}

static const struct cell_sim_options site = {
	CELL_SITE(1, 3, 4, 4, 16),
	.revoke_ms = 4000,
};

/* Guards against keys that are accepted for ever, as the version that may take
 * them away cannot be read; the next one that can be read ends this. */
static void test_keys_expire_with_an_unreadable_version(struct cell_fixture *f,
							const void *data)
{
	const struct rj_cell_frontend *frontend =
		&f->sim.nodes[1].node.frontend;

	cell_log_put(&f->sim, RJ_CELL_TOPIC_CONFIG, "config", "x", 1);
	cell_sim_run(&f->sim, S);
	g_assert_true(rj_cell_frontend_keys_fresh(frontend, f->sim.now_us));
	cell_sim_run(&f->sim, 4 * S);
	g_assert_false(rj_cell_frontend_keys_fresh(frontend, f->sim.now_us));
	cell_sim_publish(&f->sim, f->sim.key);
	cell_sim_run(&f->sim, S);
	g_assert_true(rj_cell_frontend_keys_fresh(frontend, f->sim.now_us));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config_parts/removed_keys", test_removed_keys);
	g_test_add_func("/config_parts/queue",
			test_invalid_queue_takes_its_calls);
	g_test_add_func("/config_parts/new_keys",
			test_new_keys_wait_for_known_queues);
	g_test_add_func("/config_parts/guarantee", test_unreadable_guarantee);
	g_test_add_func("/config_parts/unknown", test_unknown_versions);
	CELL_TEST("/config_parts/expiry", &site,
		  test_keys_expire_with_an_unreadable_version);
	return g_test_run();
}
