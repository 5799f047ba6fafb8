/*
 * Entries that another writer leaves among those of the workers: none of them
 * ends a process or a load of the list, and none names a worker that does not
 * exist or takes the place of one that does.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "support/cell_fixture.h"
#include "support/cell_load.h"
#include "wire.h"

/* An entry of a worker with all fields but its address. */
#define ENTRY(address, more)                                                \
	"{\"Service\":\"s\",\"Address\":\"" address "\",\"Zone\":\"z\","    \
	"\"State\":\"ready\",\"Capacity\":{\"Cpu\":1,\"MemMb\":1,"          \
	"\"Gpu\":1},\"Labels\":[\"a\",\"r\"],\"born\":1,\"ClockMs\":1" more \
	"}"

static struct rj_bytes bytes_of(const char *text)
{
	return (struct rj_bytes){ (const uint8_t *)text,
				  (uint32_t)strlen(text) };
}

static bool is_usable(const char *entry)
{
	struct rj_cell_heartbeat heartbeat;
	struct rj_error err;

	return !platform_wire_decode_worker(bytes_of(entry), &heartbeat, &err);
}

/* Guards against calls, with this owner's token, to an address that is no number
 * and port, and against names that are looked up. */
static void test_addresses(void)
{
	static const char *const bad[] = {
		ENTRY(":80", ""),
		ENTRY("no-such-host:80", ""),
		ENTRY("[::1:80", ""),
		ENTRY("127.0.0.1/x?:9", ""),
		ENTRY("a@127.0.0.1:9", ""),
		ENTRY("127.0.0.1\\r\\nX: y:9", ""),
		ENTRY(" 127.0.0.1:9", ""),
		ENTRY("127.0.0.1: 9", ""),
		ENTRY("127.0.0.1:+9", ""),
		ENTRY("127.0.0.1:0", ""),
		ENTRY("127.0.0.1:65536", ""),
		ENTRY("127.0.0.1:-1", ""),
		ENTRY("127.0.0.1:99999999999999999999999", ""),
		ENTRY("127.0.0.1:9x", ""),
		ENTRY("127.0.0.1", ""),
		ENTRY("127.1:9", ""),
		ENTRY("0x7f000001:9", ""),
		ENTRY("", ""),
	};

	g_assert_true(is_usable(ENTRY("127.0.0.1:9", "")));
	g_assert_true(is_usable(ENTRY("127.0.0.1:65535", "")));
	for (guint i = 0; i < G_N_ELEMENTS(bad); i++)
		if (is_usable(bad[i]))
			g_error("%s", bad[i]);
}

/* Guards against a stack that is used up by nested values, and against numbers
 * that are converted to a type that cannot hold them. */
static void test_nesting_and_numbers(void)
{
	static const char *const numbers[] = {
		"99999999999999999999999999",
		"1e400",
		"-1e400",
		"9223372036854775808",
		"18446744073709551616",
		"-1",
		"1e300",
	};
	static const char *const fields[] = { "born", "ClockMs", "Sequence",
					      "ColdLeftMs",
					      "DrainRemainingMs" };
	static const int depths[] = { 2000, 100000, 250000 };

	for (guint i = 0; i < G_N_ELEMENTS(depths); i++) {
		char *open = g_strnfill((gsize)depths[i], '[');
		char *close = g_strnfill((gsize)depths[i], ']');
		char *whole = g_strconcat(open, close, NULL);
		char *within = g_strdup_printf("{\"Service\":%s,\"Address\":"
					       "\"127.0.0.1:9\"}",
					       whole);

		g_assert_false(is_usable(open));
		g_assert_false(is_usable(whole));
		g_assert_false(is_usable(within));
		g_free(open);
		g_free(close);
		g_free(whole);
		g_free(within);
	}
	for (guint i = 0; i < G_N_ELEMENTS(numbers); i++)
		for (guint j = 0; j < G_N_ELEMENTS(fields); j++) {
			char *entry = g_strdup_printf(
				"{\"Service\":\"s\",\"Address\":"
				"\"127.0.0.1:9\",\"State\":\"ready\","
				"\"Labels\":[\"a\"],\"%s\":%s}",
				fields[j], numbers[i]);

			/* Not read at all: Sequence. */
			if (strcmp(fields[j], "Sequence") != 0)
				g_assert_false(is_usable(entry));
			g_free(entry);
		}
}

/* A page of the list with `odd` between two entries. */
static char *page_with(const char *odd)
{
	return g_strdup_printf(
		"{\"items\":[{\"Key\":\"i-1\",\"Value\":\"YQ==\","
		"\"Offset\":1},%s,{\"Key\":\"i-2\",\"Value\":\"Yg==\","
		"\"Offset\":3}],\"HasMore\":true,\"EndOffset\":9}",
		odd);
}

/* Guards against a load that never ends, as one key of a page cannot be read:
 * an owner that cannot load the list of workers starts nothing. */
static void test_page_with_an_odd_key(void)
{
	static const char *const odd[] = {
		"{\"Key\":\"i-1\\u0000x\",\"Value\":\"\",\"Offset\":2}",
		"{\"Key\":\"\\udcff\",\"Value\":\"\",\"Offset\":2}",
		"{\"Key\":\"\\ud800\\\\\",\"Value\":\"\",\"Offset\":2}",
		"{\"Key\":\"\xff\xfe\",\"Value\":\"\",\"Offset\":2}",
		"{\"Key\":null,\"Value\":\"\",\"Offset\":2}",
		"{\"Key\":7,\"Value\":7,\"Offset\":2}",
		"{\"Value\":\"YQ==\",\"Offset\":2}",
		"7",
	};

	for (guint i = 0; i < G_N_ELEMENTS(odd); i++) {
		void *mem = talloc_new(NULL);
		struct rj_cell_store_reply reply = { 0 };
		char *page = page_with(odd[i]);
		uint32_t known = 0;

		if (platform_wire_decode_newest(mem, page, strlen(page),
						&reply))
			g_error("%s", odd[i]);
		g_assert_true(reply.more);
		g_assert_cmpuint(reply.end, ==, 9);
		for (uint32_t j = 0; j < reply.count; j++) {
			const char *key = reply.records[j].key;

			if (!strcmp(key, "i-1") || !strcmp(key, "i-2")) {
				known++;
				g_assert_cmpuint(reply.records[j].value.length,
						 ==, 1);
			}
		}
		g_assert_cmpuint(known, ==, 2);
		g_assert_cmpstr(reply.after, ==, "i-2");
		g_free(page);
		talloc_free(mem);
	}
}

/* Guards against an odd last key after which the next page is not found: the
 * load goes on after the last key that is sure. */
static void test_page_ends_with_an_odd_key(void)
{
	static const char page[] =
		"{\"items\":[{\"Key\":\"i-1\",\"Value\":\"YQ==\","
		"\"Offset\":1},{\"Key\":\"\xff\",\"Value\":\"\","
		"\"Offset\":2}],\"HasMore\":true,\"EndOffset\":9}";
	void *mem = talloc_new(NULL);
	struct rj_cell_store_reply reply = { 0 };

	g_assert_cmpint(
		platform_wire_decode_newest(mem, page, strlen(page), &reply),
		==, 0);
	g_assert_cmpstr(reply.after, ==, "i-1");
	talloc_free(mem);
}

/* Guards against a key that takes the place of a worker's, as both are the same
 * up to a zero byte. */
static void test_key_with_a_zero_byte(void)
{
	static const char body[] =
		/* end 2, first retained 0 */
		"\0\0\0\0\0\0\0\2\0\0\0\0\0\0\0\0"
		/* length 7, key of 5 bytes, value of 1 */
		"\0\0\0\7\5i-1\0xv"
		"\0\0\0\5\3i-1v";
	void *mem = talloc_new(NULL);
	struct rj_cell_store_reply reply = { 0 };

	g_assert_cmpint(platform_wire_decode_records(
				mem, body, sizeof(body) - 1, 0, &reply),
			==, 0);
	g_assert_cmpuint(reply.count, ==, 2);
	g_assert_cmpstr(reply.records[0].key, ==, "");
	g_assert_cmpstr(reply.records[1].key, ==, "i-1");
	talloc_free(mem);
}

static const struct cell_sim_options site = {
	CELL_SITE(1, 3, 4, 4, 16),
};

static const struct rj_cell_fleet *fleet_of(struct cell_sim *sim)
{
	return &sim->nodes[cell_sim_owner(sim)].node.owner.fleet;
}

/* Guards against keys that are no ids: one with a line break would add a header
 * to this owner's calls. */
static void test_keys_that_are_no_ids(struct cell_fixture *f, const void *data)
{
	const struct rj_cell_heartbeat *reported = &f->sim.workers[0].reported;

	cell_log_put(&f->sim, RJ_CELL_TOPIC_WORKERS, "w\r\nX: y", reported,
		     sizeof(*reported));
	cell_log_put(&f->sim, RJ_CELL_TOPIC_WORKERS, "", reported,
		     sizeof(*reported));
	cell_log_put(&f->sim, RJ_CELL_TOPIC_WORKERS, "w\xff", reported,
		     sizeof(*reported));
	cell_log_put(&f->sim, RJ_CELL_TOPIC_WORKERS, "w\x7f", reported,
		     sizeof(*reported));
	cell_load_run(&f->sim, S);
	g_assert_cmpuint(fleet_of(&f->sim)->count, ==, 4);
}

/* Guards against memory that grows by the entries of others: only short ones are
 * kept, to be compared with the next. */
static void test_long_entries_are_not_kept(struct cell_fixture *f,
					   const void *data)
{
	struct rj_cell_worker *worker =
		rj_cell_fleet_find(fleet_of(&f->sim), "w00");
	uint8_t *text = g_malloc0(RJ_CELL_ENTRY_KEPT_MAX_BYTES + 1);

	g_assert_cmpuint(worker->entry.length, >, 0);
	rj_cell_worker_keep_entry(
		worker,
		(struct rj_bytes){ text, RJ_CELL_ENTRY_KEPT_MAX_BYTES });
	g_assert_cmpuint(worker->entry.length, ==,
			 RJ_CELL_ENTRY_KEPT_MAX_BYTES);
	rj_cell_worker_keep_entry(
		worker,
		(struct rj_bytes){ text, RJ_CELL_ENTRY_KEPT_MAX_BYTES + 1 });
	g_assert_cmpuint(worker->entry.length, ==, 0);
	g_assert_false(rj_cell_worker_entry_is_comparable(worker));
	g_free(text);
}

/* Guards against numbers in a worker's lists that no type of ours holds: a row
 * with one is no run or end of ours, and the others count. */
static void test_rows_of_a_worker(void)
{
	static const char body[] =
		"{\"ClockMs\":5,\"born\":1,\"Running\":["
		"[\"a.0.0.0\",1e300,\"\",1],"
		"[\"a.0.0.0\",4294967297,\"\",1],"
		"[\"a.0.0.0\",-1,\"\",1],"
		"[\"a.0.0.1\",2,\"\",50,1e300]],\"Finished\":["
		"[1e300,\"a.0.0.2\",1,\"done\",\"\"],"
		"[7,\"a.0.0.3\",18446744073709551616.0,\"done\",\"\"],"
		"[8,\"a.0.0.4\",3,\"done\",\"\"]]}";
	void *mem = talloc_new(NULL);
	struct rj_cell_order_reply reply = { 0 };
	char reason[RJ_NAME_BYTES];

	g_assert_cmpint(platform_wire_decode_order_reply(
				mem, body, strlen(body), &reply, reason),
			==, 0);
	g_assert_cmpuint(reply.row_count, ==, 1);
	g_assert_cmpstr(reply.rows[0].name, ==, "a.0.0.1");
	g_assert_cmpuint(reply.rows[0].percent, ==, 50);
	g_assert_cmpuint(reply.completion_count, ==, 1);
	g_assert_cmpuint(reply.completions[0].position, ==, 8);
	talloc_free(mem);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/foreign_entries/addresses", test_addresses);
	g_test_add_func("/foreign_entries/values", test_nesting_and_numbers);
	g_test_add_func("/foreign_entries/page", test_page_with_an_odd_key);
	g_test_add_func("/foreign_entries/last_key",
			test_page_ends_with_an_odd_key);
	g_test_add_func("/foreign_entries/zero_byte",
			test_key_with_a_zero_byte);
	CELL_TEST("/foreign_entries/ids", &site, test_keys_that_are_no_ids);
	CELL_TEST("/foreign_entries/kept", &site,
		  test_long_entries_are_not_kept);
	g_test_add_func("/foreign_entries/rows", test_rows_of_a_worker);
	return g_test_run();
}
