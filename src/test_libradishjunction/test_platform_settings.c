/*
 * The settings file that the platform renders from the template: numbers may
 * be fractions, and a deployment need not define all of them.
 */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "adapters.h"

/* Loads a settings file that ends with `numbers`, fields in JSON. */
static int load(const char *numbers, struct platform_settings *settings,
		struct rj_error *err)
{
	char *path = NULL;
	int fd = g_file_open_tmp("settings-XXXXXX", &path, NULL);
	char *text = g_strdup_printf(
		"{\"name\":\"n1\",\"domain\":\"z\",\"callers\":\"127.0.0.1:1\","
		"\"ready\":\"127.0.0.1:2\",\"metrics\":\"127.0.0.1:3\","
		"\"store\":\"127.0.0.1:4\",\"advice\":\"\",\"orders\":\"rpc\",%s}",
		numbers);
	int result;

	g_assert_cmpint(fd, >=, 0);
	g_assert_true(g_close(fd, NULL));
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	result = platform_settings_load(path, settings, err);
	g_assert_cmpint(g_unlink(path), ==, 0);
	g_free(text);
	g_free(path);
	return result;
}

/*
 * Guards against a deployment in which no process starts, because the rendered
 * template has a fraction, or an empty value for a rule that is not in force
 * there.
 */
static void test_fractions_and_empty_values(void)
{
	struct platform_settings settings;
	struct rj_error err;

	g_assert_cmpint(
		load("\"cpu_share\":\"0.125\",\"cpu_speed\":\"1.0\","
		     "\"grace_s\":\"2.5\",\"descriptors_max\":\"8192\","
		     "\"link_mbps\":\"0.5\",\"lease_max_ms\":\"10000.0\","
		     "\"status_s\":\"120\",\"reclaim_ms\":\"\","
		     "\"revoke_ms\":\"\",\"drain_ms\":\"2000.0\","
		     "\"cordon_ms\":\"\",\"stop_ms\":\"\",\"heartbeat_ms\":\"1500\"",
		     &settings, &err),
		==, 0);
	g_assert_cmpuint(settings.cpu_share_percent, ==, 13);
	g_assert_cmpuint(settings.grace_ms, ==, 2500);
	g_assert_cmpuint(settings.descriptors_max, ==, 8192);
	g_assert_cmpuint(settings.link_kbps, ==, 500);
	g_assert_cmpuint(settings.limits.lease_max_ms, ==, 10000);
	g_assert_cmpuint(settings.limits.status_retention_ms, ==, 120000);
	g_assert_cmpuint(settings.limits.reclaim_ms, ==, 2900);
	g_assert_cmpuint(settings.limits.revoke_ms, ==, 5000);
	g_assert_cmpuint(settings.limits.drain_ms, ==, 2000);
	g_assert_cmpuint(settings.limits.cordon_ms, ==, 0);
	g_assert_cmpuint(settings.limits.stop_ms, ==, 1000);
	g_assert_cmpuint(settings.limits.entry_expiry_ms, ==, 4500);
}

#define REQUIRED                                                       \
	"\"cpu_share\":\"\",\"cpu_speed\":\"\",\"grace_s\":\"\","      \
	"\"descriptors_max\":\"\",\"link_mbps\":\"\","                 \
	"\"lease_max_ms\":\"\",\"status_s\":\"\",\"reclaim_ms\":\"\"," \
	"\"revoke_ms\":\"\",\"drain_ms\":\"\",\"cordon_ms\":\"\","     \
	"\"stop_ms\":\"\",\"heartbeat_ms\":\"\""

/* Guards against optional decisions in a deployment that does not call for
 * them. */
static void test_features_are_called_for(void)
{
	const struct rj_cell_features none = { 0 };
	struct platform_settings settings;
	struct rj_error err;

	g_assert_cmpint(load(REQUIRED, &settings, &err), ==, 0);
	g_assert_cmpint(memcmp(&settings.limits.features, &none, sizeof(none)),
			==, 0);
	g_assert_cmpint(load(REQUIRED ",\"policies\":\"base,healthy,tenants\","
				      "\"restore_ms\":\"600\","
				      "\"snapshot_ms\":\"1000\"",
			     &settings, &err),
			==, 0);
	g_assert_false(settings.limits.features.worker_history);
	g_assert_true(settings.limits.features.account_shares);
	g_assert_false(settings.limits.features.admission_forecast);
	g_assert_cmpint(load(REQUIRED ",\"admission_forecast\":\"on\"",
			     &settings, &err),
			==, 0);
	g_assert_true(settings.limits.features.admission_forecast);
	g_assert_cmpint(load(REQUIRED ",\"restore_ms\":\"600\","
				      "\"snapshot_ms\":\"1000\"",
			     &settings, &err),
			==, 0);
	g_assert_cmpuint(settings.limits.features.restore_ms, ==, 600);
	g_assert_cmpuint(settings.limits.features.snapshot_ms, ==, 1000);
}

/* Guards against appends that a slow link does not carry before they count as
 * lost; one record can always be appended. */
static void test_appends_fit_the_link(void)
{
	static const struct {
		const char *settings;
		uint32_t append_max_bytes;
	} cases[] = {
		{ REQUIRED, 312500 },
		{ REQUIRED ",\"append_bytes\":\"65536\"", 65536 },
		{ REQUIRED ",\"record_bytes\":\"1000000\"", 1000004 },
	};
	struct platform_settings settings;
	struct rj_error err;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_assert_cmpint(load(cases[i].settings, &settings, &err), ==,
				0);
		g_assert_cmpuint(settings.limits.append_max_bytes, ==,
				 cases[i].append_max_bytes);
	}
	g_assert_cmpuint(settings.limits.record_max_bytes, ==, 1000000);
}

/* The error for an invalid number names the field and the remedy. */
static void test_invalid_number(void)
{
	struct platform_settings settings;
	struct rj_error err;

	g_assert_cmpint(
		load("\"cpu_share\":\"0.25\",\"cpu_speed\":\"1\","
		     "\"grace_s\":\"soon\",\"descriptors_max\":\"\","
		     "\"link_mbps\":\"\",\"lease_max_ms\":\"6000\","
		     "\"status_s\":\"120\",\"reclaim_ms\":\"2900\","
		     "\"revoke_ms\":\"5000\",\"drain_ms\":\"\","
		     "\"cordon_ms\":\"5000\",\"stop_ms\":\"200\",\"heartbeat_ms\":\"\"",
		     &settings, &err),
		==, -1);
	g_assert_nonnull(strstr(err.message, "grace_s"));
	g_assert_nonnull(strstr(err.message, "set a decimal number"));
}

/* Clients take more memory or descriptors than the machine has for them. */
static void test_limits_of_clients(void)
{
	struct platform_settings settings;
	struct rj_error err;
	static const char *const bad[] = { "\"memory_mb\":\"8\"",
					   "\"client_memory_percent\":\"90\"",
					   "\"client_values_max\":\"x\"",
					   "\"client_body_max_bytes\":\"10\"" };
	static const char required[] =
		"\"cpu_share\":\"\",\"cpu_speed\":\"\",\"grace_s\":\"\","
		"\"link_mbps\":\"\",\"lease_max_ms\":\"\",\"status_s\":\"\","
		"\"reclaim_ms\":\"\",\"revoke_ms\":\"\",\"drain_ms\":\"\","
		"\"cordon_ms\":\"\",\"stop_ms\":\"\",\"heartbeat_ms\":\"\"";
	char *text = g_strdup_printf("%s,\"descriptors_max\":\"3075\","
				     "\"memory_mb\":\"120\"",
				     required);

	g_assert_cmpint(load(text, &settings, &err), ==, 0);
	g_assert_cmpuint(settings.client_memory_bytes, <, 40 << 20);
	g_assert_cmpuint(settings.client_memory_bytes, >, 39 << 20);
	g_assert_cmpuint(settings.client_connections_max, ==, 1150);
	g_assert_cmpuint(settings.client_body_max_bytes, ==, 262144);
	g_free(text);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		text = g_strdup_printf("%s,\"descriptors_max\":\"\",%s",
				       required, bad[i]);
		g_assert_cmpint(load(text, &settings, &err), ==, -1);
		g_free(text);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform_settings/fractions",
			test_fractions_and_empty_values);
	g_test_add_func("/platform_settings/bad", test_invalid_number);
	g_test_add_func("/platform_settings/features",
			test_features_are_called_for);
	g_test_add_func("/platform_settings/append", test_appends_fit_the_link);
	g_test_add_func("/platform_settings/clients", test_limits_of_clients);
	return g_test_run();
}
