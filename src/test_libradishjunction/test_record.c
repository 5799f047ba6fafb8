#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "radishjunction/record.h"

static const uint8_t some_bytes[] = { 0, 1, 2, 0xff, 'x', '"' };

/* Fills a record with every field that its kind may have. */
static void fill_record(struct rj_record *record, enum rj_record_kind kind,
			struct rj_claim_member members[2])
{
	memset(record, 0, sizeof(*record));
	record->kind = kind;
	record->carried = true;
	rj_name_set(record->author, "entry-1");
	if (kind == RJ_RECORD_CONFIG) {
		memcpy(record->config_id, "pub-1", 6);
		record->base_revision = 41;
		record->revision = 42;
		record->as_of = 7;
		record->config_text = "{\"a\":\"\\u00e9\"}";
		return;
	}
	rj_name_set(record->domain, "caxias");
	record->attempt = (struct rj_attempt){ UINT64_MAX, 1, 3 };
	record->spec.job_id = UINT64_MAX;
	rj_name_set(record->spec.account, "reps");
	rj_name_set(record->spec.class_name, "quote");
	memcpy(record->spec.key, "visit 7", 8);
	memset(record->spec.digest, 0xab, RJ_DIGEST_BYTES);
	record->spec.shape.tasks = 2;
	record->spec.shape.adjacent = true;
	record->spec.shape.each = (struct rj_resources){ 1, 8, 4, 1024 };
	record->spec.declared_us = 5;
	record->spec.deadline_in_us = 6;
	record->spec.wait = true;
	record->spec.body = (struct rj_bytes){ some_bytes, sizeof(some_bytes) };
	if (kind == RJ_RECORD_CLAIM) {
		memset(members, 0, 2 * sizeof(*members));
		rj_name_set(members[0].worker, "w1");
		rj_name_set(members[1].worker, "w2");
		members[1].token = 0x8000000000000001ULL;
		record->members = members;
		record->member_count = 2;
		record->lease_life_us = 5000000;
	} else if (kind == RJ_RECORD_OUTCOME) {
		record->outcome = RJ_ANSWER_FAILED;
		record->reason = RJ_REASON_TASK_FAILED;
		record->result = record->spec.body;
	}
}

static void test_round_trip_of_each_kind(void)
{
	struct rj_claim_member members[2];

	for (int kind = 1; kind < RJ_RECORD_KIND_COUNT; kind++) {
		void *mem = talloc_new(NULL);
		struct rj_record in;
		struct rj_record out;
		char *text;
		char *again;

		fill_record(&in, (enum rj_record_kind)kind, members);
		text = rj_record_encode(mem, &in);
		g_assert_nonnull(text);
		g_assert_cmpint(rj_record_decode(mem, text, &out, NULL), ==, 0);
		g_assert_cmpint(out.kind, ==, kind);
		again = rj_record_encode(mem, &out);
		g_assert_cmpstr(text, ==, again);
		g_assert_cmpuint(in.attempt.job_id, ==, out.attempt.job_id);
		g_assert_cmpuint(in.attempt.number, ==, out.attempt.number);
		g_assert_cmpstr(in.spec.key, ==, out.spec.key);
		g_assert_cmpmem(in.spec.body.data, in.spec.body.length,
				out.spec.body.data, out.spec.body.length);
		g_assert_cmpmem(in.result.data, in.result.length,
				out.result.data, out.result.length);
		g_assert_cmpuint(in.member_count, ==, out.member_count);
		g_assert_cmpstr(in.config_text, ==, out.config_text);
		talloc_free(mem);
	}
}

static void test_largest_body(void)
{
	void *mem = talloc_new(NULL);
	uint8_t *body = talloc_zero_size(mem, RJ_BODY_MAX_BYTES + 1);
	struct rj_record in = { .kind = RJ_RECORD_ACCEPT };
	struct rj_record out;

	in.spec.body = (struct rj_bytes){ body, RJ_BODY_MAX_BYTES };
	g_assert_cmpint(
		rj_record_decode(mem, rj_record_encode(mem, &in), &out, NULL),
		==, 0);
	g_assert_cmpuint(out.spec.body.length, ==, RJ_BODY_MAX_BYTES);
	in.spec.body.length++;
	g_assert_cmpint(
		rj_record_decode(mem, rj_record_encode(mem, &in), &out, NULL),
		==, -1);
	talloc_free(mem);
}

/*
 * Records of a newer version with an unknown field and an unknown reason are
 * still read: the job has ended.
 */
static void test_newer_records(void)
{
	struct rj_record record;

	g_assert_cmpint(
		rj_record_decode(NULL,
				 "{\"kind\":\"outcome\",\"outcome\":\"done\","
				 "\"reason\":\"of_tomorrow\",\"new\":[1]}",
				 &record, NULL),
		==, 0);
	g_assert_cmpint(record.outcome, ==, RJ_ANSWER_DONE);
	g_assert_cmpint(record.reason, ==, RJ_REASON_NONE);
}

static void test_each_malformed_text(void)
{
	static const char *const bad[] = {
		"",
		"[]",
		"{}",
		"{\"kind\":7}",
		"{\"kind\":\"malformed\"}",
		"{\"kind\":\"later\"}",
		"{\"kind\":\"void\"",
		"{\"kind\":\"claim\"}",
		"{\"kind\":\"claim\",\"lease_life_us\":-1}",
		"{\"kind\":\"claim\",\"lease_life_us\":1,\"members\":[{}]}",
		"{\"kind\":\"claim\",\"lease_life_us\":1,\"members\":[1]}",
		"{\"kind\":\"void\",\"attempt\":{\"job_id\":\"12\"}}",
		"{\"kind\":\"void\",\"attempt\":{\"job_id\":12}}",
		"{\"kind\":\"void\",\"author\":\"a/b\"}",
		"{\"kind\":\"void\",\"spec\":{\"digest\":\"abcd\"}}",
		"{\"kind\":\"accept\",\"spec\":{\"body\":\"*\"}}",
		"{\"kind\":\"accept\",\"spec\":{\"shape\":{\"tasks\":513}}}",
		"{\"kind\":\"outcome\",\"outcome\":\"perhaps\"}",
		"{\"kind\":\"config\",\"config_id\":\"\",\"revision\":1}",
	};

	for (uint32_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct rj_error err = { 0 };
		struct rj_record record;

		g_assert_cmpint(rj_record_decode(NULL, bad[i], &record, &err),
				==, -1);
		g_assert_cmpint(err.kind, ==, RJ_ERR_MALFORMED);
		g_assert_cmpint(record.kind, ==, RJ_RECORD_MALFORMED);
		g_assert_null(record.members);
	}
}

/*
 * A key that is not UTF-8 must be refused: JSON cannot hold it, and a claim
 * without its key would allow the same job to be claimed again.
 */
static void test_key_that_json_cannot_carry(void)
{
	struct rj_record record = { .kind = RJ_RECORD_CLAIM };

	memcpy(record.spec.key, "\xff", 2);
	g_assert_null(rj_record_encode(NULL, &record));
}

/*
 * A corrupted record is either decoded completely or refused, and leaks no
 * memory.
 */
static void test_corrupted_records(void)
{
	void *mem = talloc_new(NULL);
	struct rj_claim_member members[2];
	uint64_t seed = 5;

	for (int i = 0; i < 20000; i++) {
		static const struct rj_record zero;
		struct rj_record record;
		size_t length;
		char *text;

		fill_record(&record,
			    (enum rj_record_kind)(
				    1 + i % (RJ_RECORD_KIND_COUNT - 1)),
			    members);
		text = rj_record_encode(NULL, &record);
		length = strlen(text);
		for (uint64_t n = rj_random64(&seed) % 4; n; n--)
			text[rj_random64(&seed) % length] =
				(char)(rj_random64(&seed) % 256);
		if (rj_record_decode(mem, text, &record, NULL)) {
			g_assert_cmpmem(&record, sizeof(record), &zero,
					sizeof(zero));
			g_assert_cmpuint(talloc_total_blocks(mem), ==, 1);
		}
		talloc_free_children(mem);
		talloc_free(text);
	}
	talloc_free(mem);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/record/round-trip", test_round_trip_of_each_kind);
	g_test_add_func("/record/largest-body", test_largest_body);
	g_test_add_func("/record/newer", test_newer_records);
	g_test_add_func("/record/malformed", test_each_malformed_text);
	g_test_add_func("/record/key", test_key_that_json_cannot_carry);
	g_test_add_func("/record/mangled", test_corrupted_records);
	return g_test_run();
}
