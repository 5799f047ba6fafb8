/*
 * Names that are longer than the project's own: of client accounts, queues,
 * services, failure domains, labels, images, workers and instances.
 */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <talloc.h>

#include "adapters.h"
#include "support/cell_fixture.h"
#include "support/cell_load.h"
#include "wire.h"

/* As long as a record of the log allows for a name in a configuration. */
#define LONG_NAME_BYTES 200000

static struct rj_bytes bytes_of(const char *text)
{
	return (struct rj_bytes){ (const uint8_t *)text,
				  (uint32_t)strlen(text) };
}

/* Returns a text of `length` bytes that ends with `end`. */
static char *long_text(size_t length, const char *end)
{
	char *text = g_strnfill(length, 'x');

	memcpy(text + length - strlen(end), end, strlen(end));
	return text;
}

/* Texts that fit stay as they are. */
static void test_short_names_are_kept(void)
{
	const char *const texts[] = {
		"", "a", "h.example~1",
		"12345678901234567890123456789012345678901234567"
	};
	char name[RJ_NAME_BYTES];

	for (guint i = 0; i < G_N_ELEMENTS(texts); i++) {
		rj_name_shorten(name, texts[i]);
		g_assert_cmpstr(name, ==, texts[i]);
	}
}

/* Guards against two accounts that become one, as their names are cut off, or
 * as one is named like the short form of the other. */
static void test_different_names_stay_different(void)
{
	char *texts[] = { long_text(48, "a"), long_text(48, "b"),
			  long_text(63, "a"), long_text(LONG_NAME_BYTES, "a"),
			  long_text(LONG_NAME_BYTES, "b") };
	GHashTable *names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < G_N_ELEMENTS(texts); i++) {
		char name[RJ_NAME_BYTES];
		char of_name[RJ_NAME_BYTES];

		rj_name_shorten(name, texts[i]);
		rj_name_shorten(of_name, name);
		g_assert_cmpuint(strlen(name), <, RJ_NAME_BYTES);
		g_assert_true(g_hash_table_add(names, g_strdup(name)));
		g_assert_true(g_hash_table_add(names, g_strdup(of_name)));
		rj_name_shorten(of_name, texts[i]);
		g_assert_cmpstr(name, ==, of_name);
		g_free(texts[i]);
	}
	g_hash_table_destroy(names);
}

/* Guards against a name that ends within a character, and so cannot be written
 * to logs and metrics. */
static void test_shortened_names_are_utf8(void)
{
	char name[RJ_NAME_BYTES];

	for (int i = 0; i < 4; i++) {
		char *text = g_strdup_printf(
			"%.*s\u017e\u00e1k\u016fv \u00fa\u010det "
			"\u017e\u00e1k\u016fv \u00fa\u010det %s",
			i, "abcd", "\u017e\u00e1k\u016fv \u00fa\u010det");

		rj_name_shorten(name, text);
		g_assert_true(g_utf8_validate(name, -1, NULL));
		g_free(text);
	}
}

/* Guards against a configuration that is rejected for the length of a name, so
 * that a removed key stays valid. */
static void test_configuration_with_long_names(void)
{
	static const size_t lengths[] = {
		47, 48, 63, 255, 4096, LONG_NAME_BYTES
	};

	for (guint i = 0; i < G_N_ELEMENTS(lengths); i++) {
		void *mem = talloc_new(NULL);
		struct rj_error err = { .message = "" };
		char *one = long_text(lengths[i], "1");
		char *other = long_text(lengths[i], "2");
		char *text = g_strdup_printf(
			"{\"Version\":7,\"Routes\":[{\"Name\":\"%s\","
			"\"Host\":\"%s\",\"PathPrefix\":\"/%s/\","
			"\"Service\":\"%s\"},{\"Name\":\"%s\","
			"\"Host\":\"h\",\"PathPrefix\":\"/o/\","
			"\"Service\":\"s\"}],\"Services\":[{\"Name\":"
			"\"%s\",\"EnforceLimits\":true}],\"Tenants\":["
			"{\"Name\":\"%s\",\"ApiKeys\":[\"k1\"],"
			"\"Guaranteed\":{\"Gpu\":1}},{\"Name\":\"%s\","
			"\"ApiKeys\":[\"k2\"],\"Guaranteed\":{\"Gpu\":2}}]}",
			one, one, one, one, other, one, one, other);
		char *path = g_strdup_printf("/%s/0123", one);
		struct rj_cell_config *config =
			platform_wire_decode_config(mem, bytes_of(text), &err);
		const struct rj_cell_queue *queue;

		g_assert_cmpstr(err.message, ==, "");
		g_assert_nonnull(config);
		queue = rj_cell_config_route(config, one, path);
		g_assert_true(queue == &config->queues[0]);
		g_assert_null(rj_cell_config_route(config, one, "/0123"));
		g_assert_true(
			rj_cell_config_enforces_limits(config, queue->service));
		g_assert_cmpuint(rj_cell_config_key(config, "k1")
					 ->guaranteed_accelerators,
				 ==, 1);
		g_assert_cmpuint(
			rj_cell_config_account(
				config, rj_cell_config_key(config, "k2")->name)
				->guaranteed_accelerators,
			==, 2);
		g_free(text);
		g_free(path);
		g_free(one);
		g_free(other);
		talloc_free(mem);
	}
}

/* Guards against a worker that is not used, or a job that is rejected, for the
 * length of a label: the same text is the same name in both. */
static void test_labels_match(void)
{
	void *mem = talloc_new(NULL);
	struct rj_cell_heartbeat heartbeat;
	struct rj_cell_job_spec *spec;
	struct rj_error err;
	char *kind = long_text(300, "k");
	char *rack = long_text(300, "r");
	char *entry = g_strdup_printf(
		"{\"Service\":\"%s\",\"Address\":\"10.1.0.9:8080\","
		"\"Zone\":\"%s\",\"State\":\"ready\",\"Capacity\":{\"Cpu\":1},"
		"\"Labels\":[\"%s\",\"%s\"],\"born\":1}",
		kind, rack, kind, rack);
	char *job = g_strdup_printf(
		"{\"Spec\":\"x\",\"Steps\":[{\"Count\":1,\"Constraints\":\"%s\","
		"\"Affinity\":\"%s\",\"Image\":\"%s\"}]}",
		kind, rack, kind);

	g_assert_cmpint(
		platform_wire_decode_worker(bytes_of(entry), &heartbeat, &err),
		==, 0);
	spec = platform_wire_decode_job(mem, bytes_of(job), &err);
	g_assert_nonnull(spec);
	g_assert_cmpstr(spec->steps[0].label, ==, heartbeat.kind);
	g_assert_cmpstr(spec->steps[0].rack, ==, heartbeat.rack);
	g_assert_cmpstr(heartbeat.domain, ==, heartbeat.rack);
	g_assert_cmpstr(heartbeat.kind, !=, heartbeat.rack);
	g_free(kind);
	g_free(rack);
	g_free(entry);
	g_free(job);
	talloc_free(mem);
}

/* Guards against a process that does not start for its machine's name, and two
 * machines that use one name. */
static void test_settings_with_long_names(void)
{
	struct platform_settings settings[2];

	for (int i = 0; i < 2; i++) {
		char *path = NULL;
		int fd = g_file_open_tmp("settings-XXXXXX", &path, NULL);
		char *name = long_text(100, i ? "1" : "2");
		char *text = g_strdup_printf(
			"{\"name\":\"%s\",\"domain\":\"z 1\","
			"\"callers\":\"127.0.0.1:1\",\"ready\":\"127.0.0.1:2\","
			"\"metrics\":\"127.0.0.1:3\",\"store\":\"127.0.0.1:4\","
			"\"advice\":\"\",\"orders\":\"rpc\",\"cpu_share\":\"\","
			"\"cpu_speed\":\"\",\"grace_s\":\"\","
			"\"descriptors_max\":\"\",\"link_mbps\":\"\","
			"\"lease_max_ms\":\"\",\"status_s\":\"\","
			"\"reclaim_ms\":\"\",\"revoke_ms\":\"\","
			"\"drain_ms\":\"\",\"cordon_ms\":\"\","
			"\"stop_ms\":\"\",\"heartbeat_ms\":\"\"}",
			name);
		struct rj_error err = { .message = "" };

		g_assert_true(g_close(fd, NULL));
		g_assert_true(g_file_set_contents(path, text, -1, NULL));
		(void)platform_settings_load(path, &settings[i], &err);
		g_assert_cmpstr(err.message, ==, "");
		g_assert_cmpint(g_unlink(path), ==, 0);
		g_free(path);
		g_free(name);
		g_free(text);
	}
	g_assert_cmpstr(settings[0].name, !=, settings[1].name);
	g_assert_cmpstr(settings[0].domain, ==, "z 1");
}

static const struct cell_sim_options site = {
	CELL_SITE(1, 3, 8, 4, 32),
};

/* Guards against a worker that is not used for the length of its id, and against
 * one whose runs a successor does not find. */
static void test_worker_with_a_long_id(struct cell_fixture *f, const void *data)
{
	struct rj_cell_step step = cell_sim_plain_step(1, 8, 8000);
	struct cell_client_job *job;
	uint32_t owner = (uint32_t)cell_sim_owner(&f->sim);
	char *id = long_text(255, "w");
	const struct rj_cell_worker *worker;
	char name[RJ_NAME_BYTES];

	rj_name_shorten(name, id);
	cell_log_put(&f->sim, RJ_CELL_TOPIC_WORKERS, id,
		     &f->sim.workers[0].reported,
		     sizeof(f->sim.workers[0].reported));
	cell_load_run(&f->sim, S);
	worker =
		rj_cell_fleet_find(&f->sim.nodes[owner].node.owner.fleet, name);
	g_assert_nonnull(worker);
	g_assert_cmpstr(rj_cell_worker_listed_id(worker), ==, id);
	job = cell_load_submit(&f->sim, "normal", "a", &step, 8 * S);
	cell_load_run(&f->sim, 2 * S);
	cell_log_put(&f->sim, RJ_CELL_TOPIC_WORKERS, id, NULL, 0);
	cell_load_run(&f->sim, 10 * S);
	g_assert_cmpint(job->state, ==, RJ_CELL_JOB_COMPLETED);
	g_assert_null(rj_cell_fleet_find(&f->sim.nodes[owner].node.owner.fleet,
					 name));
	g_free(id);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/long_names/short", test_short_names_are_kept);
	g_test_add_func("/long_names/different",
			test_different_names_stay_different);
	g_test_add_func("/long_names/utf8", test_shortened_names_are_utf8);
	g_test_add_func("/long_names/configuration",
			test_configuration_with_long_names);
	g_test_add_func("/long_names/labels", test_labels_match);
	g_test_add_func("/long_names/settings", test_settings_with_long_names);
	CELL_TEST("/long_names/worker", &site, test_worker_with_a_long_id);
	return g_test_run();
}
