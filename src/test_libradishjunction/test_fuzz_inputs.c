#include <glib.h>

#include "radishjunction/types.h"
#include "support/fuzz_targets.h"

#define MUTATIONS 300

/*
 * Runs one corpus input and copies of it with bytes changed, cut or duplicated;
 * the mutations are the same in every run.
 */
static void run_input(const struct fuzz_target *target, const char *data,
		      size_t length)
{
	uint64_t random = rj_hash64(data, length, 1);

	target->run((const uint8_t *)data, length);
	for (int i = 0; i < MUTATIONS && length; i++) {
		GByteArray *copy = g_byte_array_new();
		uint64_t at = rj_random64(&random) % length;

		g_byte_array_append(copy, (const uint8_t *)data, (guint)length);
		switch (rj_random64(&random) % 3) {
		case 0:
			copy->data[at] = (uint8_t)rj_random64(&random);
			break;
		case 1:
			g_byte_array_set_size(copy, (guint)at);
			break;
		default:
			g_byte_array_append(copy, (const uint8_t *)data + at,
					    (guint)(length - at));
		}
		target->run(copy->data, copy->len);
		g_byte_array_free(copy, TRUE);
	}
}

/*
 * Malformed texts and frames must not crash a parser: reads past the end,
 * half-filled structs. The inputs are findings of the coverage-guided fuzzer
 * (scripts/fuzz) or valid examples.
 */
static void test_inputs(gconstpointer user)
{
	const struct fuzz_target *target = user;
	char *path = g_build_filename(RJ_SOURCE_DIR,
				      "src/test_libradishjunction/fuzz",
				      target->name, NULL);
	GDir *folder = g_dir_open(path, 0, NULL);
	const char *name;
	uint32_t count = 0;

	g_assert_nonnull(folder);
	while ((name = g_dir_read_name(folder))) {
		char *file = g_build_filename(path, name, NULL);
		char *data;
		size_t length;

		g_assert_true(g_file_get_contents(file, &data, &length, NULL));
		run_input(target, data, length);
		g_free(data);
		g_free(file);
		count++;
	}
	g_assert_cmpuint(count, >, 0);
	g_dir_close(folder);
	g_free(path);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (const struct fuzz_target *target = fuzz_targets; target->name;
	     target++) {
		char *name = g_strdup_printf("/fuzz/%s", target->name);

		g_test_add_data_func(name, target, test_inputs);
		g_free(name);
	}
	return g_test_run();
}
