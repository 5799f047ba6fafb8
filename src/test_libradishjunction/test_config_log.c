#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "support/config_stream.h"

#define HASH "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define GOOD_TEXT                                                      \
	"{\"domains\":[{\"name\":\"d\",\"region\":\"r\",\"racks\":1,"  \
	"\"workers_per_rack\":1,\"worker\":{\"slots\":1,"              \
	"\"accelerators\":1,\"cores\":1,\"memory_mb\":1}}],"           \
	"\"accounts\":[{\"name\":\"a\",\"token_hash\":\"" HASH "\"}]," \
	"\"classes\":[{\"name\":\"c\",\"idempotent\":true,"            \
	"\"expected_ms\":1}]}"
#define LOG_MAX 256

/*
 * Of two operators who publish from the same revision, every reader accepts the
 * same one, whatever records lie between the two.
 */
static void test_racing_operators(void)
{
	struct config_stream *stream = config_stream_new();
	struct rj_config_log log;

	rj_config_log_init(&log, NULL);
	config_stream_publish(stream, "bad", 0, "{}");
	g_assert_cmpint(config_stream_read(stream, &log, 9), ==,
			RJ_CONFIG_BAD_TEXT);
	config_stream_append(stream); /* malformed */
	g_assert_cmpint(config_stream_read(stream, &log, 9), ==,
			RJ_CONFIG_MALFORMED);
	config_stream_publish(stream, "first", 0, GOOD_TEXT);
	g_assert_cmpint(config_stream_read(stream, &log, 9), ==,
			RJ_CONFIG_ACCEPTED);
	config_stream_publish(stream, "second", 0, GOOD_TEXT);
	g_assert_cmpint(config_stream_read(stream, &log, 9), ==,
			RJ_CONFIG_STALE);
	config_stream_publish(stream, "first", 0,
			      GOOD_TEXT); /* its answer was lost */
	g_assert_cmpint(config_stream_read(stream, &log, 9), ==,
			RJ_CONFIG_REPEATED);
	config_stream_publish(stream, "ahead", 7, GOOD_TEXT);
	g_assert_cmpint(config_stream_read(stream, &log, 9), ==,
			RJ_CONFIG_STALE);
	config_stream_publish(stream, "third", 1, GOOD_TEXT);
	g_assert_cmpint(config_stream_read(stream, &log, 9), ==,
			RJ_CONFIG_ACCEPTED);
	g_assert_cmpuint(rj_config_log_revision(&log), ==, 2);
	g_assert_cmpstr(log.config->id, ==, "third");
	rj_config_log_finish(&log);
	config_stream_free(stream);
}

/*
 * A publication must not be judged without its predecessors. A new instance
 * starts after the log's beginning was trimmed and reads a refused publication,
 * then the winner, carried by an instance that was behind. The refused one must
 * not come into force.
 */
static void test_start_on_a_trimmed_log(void)
{
	struct config_stream *stream = config_stream_new();
	struct rj_config_log old;
	struct rj_config_log new;

	rj_config_log_init(&old, NULL);
	rj_config_log_init(&new, NULL);
	config_stream_publish(stream, "first", 0, GOOD_TEXT);
	config_stream_read(stream, &old, 1);
	config_stream_publish(stream, "loser", 0, GOOD_TEXT);
	config_stream_publish(stream, "second", 1, GOOD_TEXT);
	config_stream_carry(stream, &old);
	config_stream_publish(stream, "late", 1, GOOD_TEXT);
	stream->oldest = 1;

	g_assert_cmpint(config_stream_read(stream, &new, 1), ==,
			RJ_CONFIG_UNDECIDED);
	g_assert_null(new.config);
	config_stream_read(stream, &new, 99);
	config_stream_read(stream, &old, 99);
	g_assert_cmpstr(old.config->id, ==, "second");
	g_assert_cmpstr(new.config->id, ==, "second");
	rj_config_log_finish(&old);
	rj_config_log_finish(&new);
	config_stream_free(stream);
}

/*
 * All instances are cut off from the log past its retention while an operator
 * publishes: each has a gap, judges nothing, and none may carry. An operator
 * publishes again from the revision that all report; of two who do, one wins.
 */
static void test_restart_after_all_missed_records(void)
{
	struct config_stream *stream = config_stream_new();
	struct rj_config_log logs[2];

	for (int i = 0; i < 2; i++)
		rj_config_log_init(&logs[i], NULL);
	config_stream_publish(stream, "first", 0, GOOD_TEXT);
	for (int i = 0; i < 2; i++)
		config_stream_read(stream, &logs[i], 9);
	config_stream_publish(stream, "missed", 1, GOOD_TEXT);
	config_stream_publish(stream, "unjudged", 1, GOOD_TEXT);
	stream->oldest = 2;
	config_stream_publish(stream, "restart", 1, GOOD_TEXT);
	stream->records[3].carried = true;
	stream->records[3].as_of = 3;
	config_stream_publish(stream, "other", 1, GOOD_TEXT);
	stream->records[4].carried = true;
	stream->records[4].as_of = 3;

	for (int i = 0; i < 2; i++) {
		g_assert_cmpint(config_stream_read(stream, &logs[i], 1), ==,
				RJ_CONFIG_UNDECIDED);
		g_assert_false(rj_config_log_carry_due(&logs[i], 0, 0));
		config_stream_read(stream, &logs[i], 99);
		g_assert_cmpstr(logs[i].config->id, ==, "restart");
		g_assert_cmpuint(logs[i].config->revision, ==, 2);
		g_assert_false(logs[i].gap);
		rj_config_log_finish(&logs[i]);
	}
	config_stream_free(stream);
}

static void test_peer_forwards_the_newest(void)
{
	struct config_stream *stream = config_stream_new();
	struct rj_error_list errors;
	struct rj_config_log log;

	rj_error_list_init(&errors, NULL);
	rj_config_log_init(&log, NULL);
	config_stream_publish(stream, "first", 0, GOOD_TEXT);
	config_stream_publish(stream, "second", 1, GOOD_TEXT);
	config_stream_publish(stream, "third", 2, GOOD_TEXT);
	g_assert_true(
		rj_config_log_adopt(&log, 2, "second", GOOD_TEXT, 2, &errors));
	g_assert_false(
		rj_config_log_adopt(&log, 1, "first", GOOD_TEXT, 1, &errors));
	g_assert_false(rj_config_log_adopt(&log, 9, "bad", "{}", 2, &errors));
	g_assert_cmpstr(log.config->id, ==, "second");
	config_stream_read(stream, &log, 9);
	g_assert_cmpstr(log.config->id, ==, "third");
	rj_error_list_finish(&errors);
	rj_config_log_finish(&log);
	config_stream_free(stream);
}

static void test_carried_before_retention_ends(void)
{
	struct config_stream *stream = config_stream_new();
	struct rj_error_list errors;
	struct rj_config_log log;

	rj_error_list_init(&errors, NULL);
	rj_config_log_init(&log, NULL);
	g_assert_false(rj_config_log_carry_due(&log, 0, 100));
	config_stream_publish(stream, "first", 0, GOOD_TEXT);
	stream->records[0].age_us = 40;
	rj_config_log_apply(&log, &stream->records[0], 1000, &errors);
	g_assert_false(rj_config_log_carry_due(&log, 1010, 100));
	g_assert_true(rj_config_log_carry_due(&log, 1011, 100));
	config_stream_carry(stream, &log);
	rj_config_log_apply(&log, &stream->records[1], 1012, &errors);
	g_assert_false(rj_config_log_carry_due(&log, 1062, 100));
	rj_config_log_finish(&log);
	config_stream_free(stream);
}

/*
 * Operators publish from old and new revisions, instances with any delay carry
 * their configuration, records are dropped, readers start anywhere and pause
 * past retention. A reader must have the configuration that a reader of the
 * whole log had at that revision, and must never go back to an older one.
 */
static void one_random_log(uint64_t seed)
{
	struct config_stream *stream = config_stream_new();
	char accepted_ids[LOG_MAX][RJ_CONFIG_ID_BYTES] = { "" };
	struct rj_config_log readers[5]; /* the first reads everything */
	uint64_t newest_revision[5] = { 0 };

	for (uint32_t i = 0; i < 5; i++)
		rj_config_log_init(&readers[i], NULL);
	while (stream->head < LOG_MAX) {
		uint64_t oldest_offset = stream->oldest;
		uint32_t reader = 1 + (uint32_t)(rj_random64(&seed) % 4);
		struct rj_config_log *log = &readers[reader];

		if (rj_random64(&seed) % 3) {
			char id[RJ_CONFIG_ID_BYTES];

			snprintf(id, sizeof(id), "p%d", (int)stream->head);
			config_stream_publish(
				stream, id, rj_config_log_revision(log),
				rj_random64(&seed) % 8 ? GOOD_TEXT : "{}");
		} else if (log->config && !log->gap) {
			config_stream_carry(stream, log);
		}
		stream->oldest = 0;
		config_stream_read(stream, &readers[0], LOG_MAX);
		if (readers[0].config)
			memcpy(accepted_ids[readers[0].config->revision],
			       readers[0].config->id, RJ_CONFIG_ID_BYTES);
		stream->oldest = stream->head > oldest_offset + 12 ?
					 oldest_offset + 3 :
					 oldest_offset;
		if (rj_random64(&seed) % 32 == 0) {
			rj_config_log_finish(log); /* replaced */
			rj_config_log_init(log, NULL);
			newest_revision[reader] = 0;
		}
		if (rj_random64(&seed) % 4)
			config_stream_read(stream, log, rj_random64(&seed) % 6);
		if (!log->config)
			continue;
		g_assert_cmpuint(log->config->revision, >=,
				 newest_revision[reader]);
		newest_revision[reader] = log->config->revision;
		g_assert_cmpstr(log->config->id, ==,
				accepted_ids[newest_revision[reader]]);
	}
	for (uint32_t i = 0; i < 5; i++)
		rj_config_log_finish(&readers[i]);
	config_stream_free(stream);
}

static void test_random_logs(void)
{
	for (uint64_t seed = 0; seed < 300; seed++)
		one_random_log(seed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config-log/race", test_racing_operators);
	g_test_add_func("/config-log/trimmed", test_start_on_a_trimmed_log);
	g_test_add_func("/config-log/restart",
			test_restart_after_all_missed_records);
	g_test_add_func("/config-log/peer", test_peer_forwards_the_newest);
	g_test_add_func("/config-log/carry",
			test_carried_before_retention_ends);
	g_test_add_func("/config-log/random", test_random_logs);
	return g_test_run();
}
