/*
 * The codecs of the users' platform, with valid input and with input that
 * violates its protocol.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "wire.h"

static struct rj_bytes bytes_of(const char *text)
{
	return (struct rj_bytes){ (const uint8_t *)text,
				  (uint32_t)strlen(text) };
}

/* Every field of a job and of its steps is decoded. */
static void test_job(void)
{
	void *mem = talloc_new(NULL);
	struct rj_error err;
	struct rj_cell_job_spec *job_spec = platform_wire_decode_job(
		mem,
		bytes_of("{\"Spec\":\"x\",\"RepeatCount\":3,\"FirstRunMs\":5,"
			 "\"IntervalMs\":7,\"New\":1,\"Steps\":[{\"Count\":4,"
			 "\"Cpu\":500,\"MemMb\":256,\"Gpu\":2,"
			 "\"EstimateMs\":900,\"Affinity\":\"r1-3\"},"
			 "{\"Count\":20,\"After\":[0],\"Checkpoints\":true,"
			 "\"Gang\":true,\"SameRack\":true,"
			 "\"Constraints\":\"a\",\"AntiAffinity\":2,"
			 "\"Perpetual\":true,\"MayMiss\":1,"
			 "\"Utilization\":true,\"TargetMs\":40,"
			 "\"Image\":\"i\",\"Speculative\":true}]}"),
		&err);

	g_assert_nonnull(job_spec);
	g_assert_cmpuint(job_spec->step_count, ==, 2);
	g_assert_cmpuint(job_spec->task_count, ==, 24);
	g_assert_cmpuint(job_spec->repeats, ==, 3);
	g_assert_cmpuint(job_spec->first_run_ms, ==, 5);
	g_assert_cmpuint(job_spec->interval_ms, ==, 7);
	g_assert_cmpuint(job_spec->steps[0].each.accelerators, ==, 2);
	g_assert_cmpuint(job_spec->steps[0].each.cpu_milli, ==, 500);
	g_assert_cmpstr(job_spec->steps[0].rack, ==, "r1-3");
	g_assert_cmpuint(job_spec->steps[1].after[0], ==, 0);
	g_assert_true(job_spec->steps[1].gang && job_spec->steps[1].one_rack &&
		      job_spec->steps[1].checkpoints &&
		      job_spec->steps[1].perpetual &&
		      job_spec->steps[1].scavenges &&
		      job_spec->steps[1].speculative);
	g_assert_cmpstr(job_spec->steps[1].label, ==, "a");
	g_assert_cmpuint(job_spec->steps[1].per_worker_max, ==, 2);
	g_assert_cmpuint(job_spec->steps[1].may_miss, ==, 1);
	g_assert_cmpuint(job_spec->steps[1].target_ms, ==, 40);
	talloc_free(mem);
}

/* An invalid job is rejected, and the message names the invalid field. */
static void test_invalid_jobs(void)
{
	static const struct {
		const char *body;
		const char *fault; /* part of the message */
	} cases[] = {
		{ "", "not valid JSON" },
		{ "[]", "job" },
		{ "{\"Spec\":1,\"Steps\":[{\"Count\":1}]}", "Spec" },
		{ "{\"Spec\":\"x\"}", "steps" },
		{ "{\"Spec\":\"x\",\"Steps\":[{\"Count\":0}]}", "no tasks" },
		{ "{\"Spec\":\"x\",\"Steps\":[{\"Count\":-1}]}", "Count" },
		{ "{\"Spec\":\"x\",\"Steps\":[{\"Count\":9999999}]}", "Count" },
		{ "{\"Spec\":\"x\",\"Steps\":[{\"Count\":1,\"After\":[0]}]}",
		  "earlier steps" },
		{ "{\"Spec\":\"x\",\"Steps\":[{\"Count\":1,\"After\":[-1]}]}",
		  "After" },
		{ "{\"Spec\":\"x\",\"Steps\":[{\"Count\":1,\"Gang\":\"yes\"}]}",
		  "Gang" },
		{ "{\"Spec\":\"x\",\"Steps\":[7]}", "object" },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		void *mem = talloc_new(NULL);
		struct rj_error err = { .message = "" };

		g_assert_null(platform_wire_decode_job(
			mem, bytes_of(cases[i].body), &err));
		if (!strstr(err.message, cases[i].fault))
			g_error("%s: %s", cases[i].body, err.message);
		talloc_free(mem);
	}
}

/* Queues, services, API keys and guarantees of a configuration are decoded. */
static void test_config(void)
{
	void *mem = talloc_new(NULL);
	struct rj_error err;
	struct rj_cell_config *config = platform_wire_decode_config(
		mem,
		bytes_of("{\"Version\":7,\"Routes\":[{\"Name\":\"r\","
			 "\"Host\":\"h.example\",\"PathPrefix\":\"/p/\","
			 "\"TimeoutMs\":3000,\"TargetLatencyMs\":250,"
			 "\"Priority\":0,\"Service\":\"s\",\"MaxAttempts\":4,"
			 "\"Stretch\":1.5,\"Public\":false}],"
			 "\"Services\":[{\"Name\":\"s\","
			 "\"EnforceLimits\":true}],\"Limits\":{},"
			 "\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"k\"],"
			 "\"Guaranteed\":{\"Gpu\":72}}]}"),
		&err);

	g_assert_nonnull(config);
	g_assert_cmpuint(config->queues[0].stretch_milli, ==, 1500);
	g_assert_nonnull(
		rj_cell_config_route(config, "H.example:80", "/p/0123"));
	g_assert_null(rj_cell_config_route(config, "h.example", "/q/0123"));
	g_assert_nonnull(rj_cell_config_key(config, "k"));
	g_assert_null(rj_cell_config_key(config, "K"));
	g_assert_cmpuint(config->accounts[0].guaranteed_accelerators, ==, 72);
	g_assert_true(rj_cell_config_enforces_limits(config, "s"));
	talloc_free(mem);
}

/* Guards against taking a maintenance wave, or a key that only resembles a
 * known one, for a configuration or a cordon. */
static void test_classify_key(void)
{
	const char *name = NULL;

	g_assert_cmpint(platform_wire_classify_key("config", &name), ==,
			RJ_CELL_PUBLISHED_CONFIG);
	g_assert_cmpint(platform_wire_classify_key("evacuate/z-1", &name), ==,
			RJ_CELL_PUBLISHED_CORDON);
	g_assert_cmpstr(name, ==, "z-1");
	g_assert_cmpint(platform_wire_classify_key("wave/1", &name), ==,
			RJ_CELL_PUBLISHED_UNKNOWN);
	g_assert_cmpint(platform_wire_classify_key("evacuate", &name), ==,
			RJ_CELL_PUBLISHED_UNKNOWN);
	g_assert_cmpint(platform_wire_classify_key("configs", &name), ==,
			RJ_CELL_PUBLISHED_UNKNOWN);
}

/* Guards against taking an invalid configuration for an empty one. */
static void test_invalid_config(void)
{
	void *mem = talloc_new(NULL);
	struct rj_error err = { .kind = RJ_ERR_NONE };

	g_assert_null(platform_wire_decode_config(mem, bytes_of("{"), &err));
	g_assert_cmpint(err.kind, ==, RJ_ERR_MALFORMED);
	talloc_free(mem);
}

/*
 * Guards against sending tasks to a worker that does not exist: another writer
 * may append entries to the workers' topic whose fields are missing, of another
 * type or unreadable. Such entries are rejected.
 */
static void test_worker_entries(void)
{
	static const char good[] =
		"{\"Service\":\"s\",\"Address\":\"10.1.0.9:8080\","
		"\"Zone\":\"z\",\"State\":\"draining\","
		"\"DrainRemainingMs\":1500,\"Capacity\":{\"Cpu\":1,"
		"\"MemMb\":2,\"Gpu\":3},\"Labels\":[\"a\",\"r1\"],"
		"\"born\":1700000000123}";
	static const char *const bad[] = {
		"",
		"\xff\xfe",
		"[]",
		"{}",
		"{\"Service\":\"s\",\"Address\":\"10.1.0.9:8080\","
		"\"State\":\"asleep\",\"Labels\":[\"a\"]}",
		"{\"Service\":\"s\",\"Address\":\"10.1.0.9\","
		"\"State\":\"ready\",\"Labels\":[\"a\"]}",
		"{\"Service\":\"s\",\"Address\":\"10.1.0.9:8080\","
		"\"State\":\"ready\",\"Labels\":[]}",
		"{\"Service\":5,\"Address\":\"10.1.0.9:8080\","
		"\"State\":\"ready\",\"Labels\":[\"a\"]}",
	};
	struct rj_cell_heartbeat heartbeat;
	struct rj_error err;

	g_assert_false(
		platform_wire_decode_worker(bytes_of(good), &heartbeat, &err));
	g_assert_true(heartbeat.draining);
	g_assert_cmpuint(heartbeat.drain_left_ms, ==, 1500);
	g_assert_cmpuint(heartbeat.incarnation, ==, 1700000000123);
	g_assert_cmpuint(heartbeat.address.port, ==, 8080);
	g_assert_cmpstr(heartbeat.rack, ==, "r1");
	for (guint i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_true(platform_wire_decode_worker(bytes_of(bad[i]),
							  &heartbeat, &err));
}

/* Guards against a heartbeat that reports something new and is taken for one
 * that repeats the last. */
static void test_repeated_heartbeats(void)
{
#define ENTRY(state, clock, labels, sequence)                           \
	"{\"Service\":\"s\",\"State\":\"" state "\",\"ClockMs\":" clock \
	",\"Labels\":[" labels "],\"Sequence\":" sequence "}"
	static const char first[] = ENTRY("ready", "99", "\"a\"", "4");
	static const struct {
		const char *text;
		bool same;
		uint64_t clock_ms;
	} entries[] = {
		{ ENTRY("ready", "99", "\"a\"", "4"), true, 99 },
		{ ENTRY("ready", "1700", "\"a\"", "15"), true, 1700 },
		{ ENTRY("draining", "100", "\"a\"", "5"), false, 0 },
		{ ENTRY("ready", "100", "\"b\"", "5"), false, 0 },
		{ ENTRY("ready", "100", "\"a\",\"b\"", "5"), false, 0 },
		{ ENTRY("ready", "100.5", "\"a\"", "5"), false, 0 },
		{ ENTRY("ready", "\"100\"", "\"a\"", "5"), false, 0 },
		{ ENTRY("ready", "", "\"a\"", "5"), false, 0 },
		{ ENTRY("ready", "12345678901234567890", "\"a\"", "5"), false,
		  0 },
		{ ENTRY("ready", "100", "\"a\"", "5") "x", false, 0 },
		{ "{\"Service\":\"s\",\"State\":\"ready\",\"ClockMs\":9", false,
		  0 },
		{ "", false, 0 },
	};
#undef ENTRY

	for (guint i = 0; i < G_N_ELEMENTS(entries); i++) {
		uint64_t clock_ms;
		bool same = platform_wire_is_same_entry(
			bytes_of(first), bytes_of(entries[i].text), &clock_ms);

		g_assert_cmpint(same, ==, entries[i].same);
		if (same)
			g_assert_cmpuint(clock_ms, ==, entries[i].clock_ms);
	}
}

/* Records are encoded and decoded unchanged, and a body that is truncated
 * within a record is rejected at every length. */
static void test_records_round_trip(void)
{
	void *mem = talloc_new(NULL);
	const struct rj_cell_record records[] = {
		{ .key = "j1", .value = { (const uint8_t *)"ab", 2 } },
		{ .key = "s1", .value = { NULL, 0 } },
	};
	const struct rj_cell_append append = { .records = records, .count = 2 };
	struct rj_bytes body = platform_wire_encode_append(mem, &append);
	GString *read = g_string_new(NULL);
	struct rj_cell_store_reply reply = { 0 };
	static const char head[16] = { 0, 0, 0, 0, 0, 0, 0, 9,
				       0, 0, 0, 0, 0, 0, 0, 3 };

	g_string_append_len(read, head, sizeof(head));
	g_string_append_len(read, (const char *)body.data, body.length);
	g_assert_false(platform_wire_decode_records(mem, read->str, read->len,
						    7, &reply));
	g_assert_cmpuint(reply.count, ==, 2);
	g_assert_cmpuint(reply.end, ==, 9);
	g_assert_cmpuint(reply.next, ==, 9);
	g_assert_cmpuint(reply.records[1].offset, ==, 8);
	g_assert_cmpstr(reply.records[0].key, ==, "j1");
	g_assert_cmpuint(reply.records[0].value.length, ==, 2);
	g_assert_cmpuint(reply.records[1].value.length, ==, 0);
	for (gsize length = 0; length < read->len; length++) {
		bool complete = length == sizeof(head) ||
				length == sizeof(head) + 4 + 1 + 2 + 2;

		g_assert_cmpint(!platform_wire_decode_records(
					mem, read->str, length, 7, &reply),
				==, complete);
	}
	g_string_free(read, TRUE);
	talloc_free(mem);
}

/* A page of newest records is decoded; a truncated one is rejected. */
static void test_newest_records(void)
{
	void *mem = talloc_new(NULL);
	static const char page[] =
		"{\"items\":[{\"Key\":\"j1\",\"Value\":\"YWI=\",\"Offset\":4}],"
		"\"HasMore\":true,\"EndOffset\":6}";
	struct rj_cell_store_reply reply = { 0 };

	g_assert_false(
		platform_wire_decode_newest(mem, page, strlen(page), &reply));
	g_assert_true(reply.more);
	g_assert_cmpuint(reply.end, ==, 6);
	g_assert_cmpuint(reply.records[0].offset, ==, 4);
	g_assert_cmpmem(reply.records[0].value.data,
			reply.records[0].value.length, "ab", 2);
	g_assert_true(platform_wire_decode_newest(mem, "{", 1, &reply));
	talloc_free(mem);
}

/* A worker's lists are decoded, also with rows that are short or of other
 * types, and with an unknown outcome. */
static void test_worker_lists(void)
{
	void *mem = talloc_new(NULL);
	static const char body[] =
		"{\"ClockMs\":482113,\"born\":17,"
		"\"Running\":[[\"a.0.1.17\",2,\"0b\",41,7],[\"b\"],3],"
		"\"Finished\":[[58,\"a.0.1.9\",1,\"done\",\"\"],"
		"[59,\"a.0.1.8\",1,\"melted\",\"\"]]}";
	struct rj_cell_order_reply reply = { 0 };
	char reason[RJ_NAME_BYTES];

	g_assert_false(platform_wire_decode_order_reply(mem, body, strlen(body),
							&reply, reason));
	g_assert_cmpuint(reply.clock_ms, ==, 482113);
	g_assert_cmpuint(reply.incarnation, ==, 17);
	g_assert_cmpuint(reply.row_count, ==, 3);
	g_assert_cmpuint(reply.rows[0].percent, ==, 41);
	g_assert_cmpuint(reply.rows[0].measurement, ==, 7);
	g_assert_cmpstr(reply.rows[1].saved, ==, "");
	g_assert_cmpint(reply.completions[0].end, ==, RJ_CELL_COMPLETION_DONE);
	g_assert_cmpint(reply.completions[1].end, ==, RJ_CELL_COMPLETION_LOST);
	g_assert_true(platform_wire_decode_order_reply(mem, "<html>", 6, &reply,
						       reason));
	talloc_free(mem);
}

/* An answer with as many completions as a worker lists at once may not have all
 * of them; a shorter one has. */
static void test_a_full_list_of_completions(void)
{
	for (uint32_t count = 499; count <= 500; count++) {
		GString *body = g_string_new("{\"ClockMs\":1,\"born\":17,"
					     "\"Running\":[],\"Finished\":[");
		struct rj_cell_order_reply reply = { 0 };
		char reason[RJ_NAME_BYTES];
		void *mem = talloc_new(NULL);

		for (uint32_t i = 1; i <= count; i++)
			g_string_append_printf(
				body, "%s[%u,\"a.0.0.%u\",1,\"done\",\"\"]",
				i > 1 ? "," : "", i, i);
		g_string_append(body, "]}");
		g_assert_false(platform_wire_decode_order_reply(
			mem, body->str, body->len, &reply, reason));
		g_assert_cmpuint(reply.completion_count, ==, count);
		g_assert_cmpint(reply.more_completions, ==, count == 500);
		g_string_free(body, TRUE);
		talloc_free(mem);
	}
}

/* A request to the policy service, and its valid and invalid answers. */
static void test_advice(void)
{
	static const char *const workers[] = { "i-1", "i-2" };
	static const char *const bad[] = {
		"",
		"[]",
		"{\"Eligible\":3,\"ValidMs\":1}",
		"{\"Eligible\":[],\"ValidMs\":\"soon\"}",
	};
	const char *good = "{\"Eligible\":[[\"i-2\",\"t2\"]],\"ValidMs\":3000}";
	struct rj_cell_advice_reply reply;
	void *mem = talloc_new(NULL);

	g_assert_cmpstr(
		platform_wire_encode_advice_request(mem, "j.0.1", workers, 2),
		==, "{\"Step\":\"j.0.1\",\"Workers\":[\"i-1\",\"i-2\"]}");
	g_assert_cmpint(platform_wire_decode_advice_reply(mem, good,
							  strlen(good), &reply),
			==, 0);
	g_assert_cmpuint(reply.count, ==, 1);
	g_assert_cmpuint(reply.valid_ms, ==, 3000);
	g_assert_cmpstr(reply.tickets[0].worker, ==, "i-2");
	g_assert_cmpstr(reply.tickets[0].ticket, ==, "t2");
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_cmpint(platform_wire_decode_advice_reply(
					mem, bad[i], strlen(bad[i]), &reply),
				==, -1);
	talloc_free(mem);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform_wire/job", test_job);
	g_test_add_func("/platform_wire/bad_jobs", test_invalid_jobs);
	g_test_add_func("/platform_wire/config", test_config);
	g_test_add_func("/platform_wire/repeated", test_repeated_heartbeats);
	g_test_add_func("/platform_wire/published", test_classify_key);
	g_test_add_func("/platform_wire/broken_config", test_invalid_config);
	g_test_add_func("/platform_wire/entries", test_worker_entries);
	g_test_add_func("/platform_wire/records", test_records_round_trip);
	g_test_add_func("/platform_wire/newest", test_newest_records);
	g_test_add_func("/platform_wire/lists", test_worker_lists);
	g_test_add_func("/platform_wire/full_list",
			test_a_full_list_of_completions);
	g_test_add_func("/platform_wire/advice", test_advice);
	return g_test_run();
}
