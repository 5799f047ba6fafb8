/*
 * Tests of a log reader against a store whose records arrive at a given rate.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "private/cell_log_reader.h"

#define MS RJ_US_PER_MS
#define S RJ_US_PER_S
/* Records that one read returns at most. */
#define READ_RECORDS 400
/* Added to the time of a slow read. */
#define STALL_US (1500 * MS)

/* A log that grows at a constant rate, and answers each read after a while. */
struct fake_log {
	struct rj_cell_store store; /* must be the first member */
	uint64_t now_us;
	uint64_t per_s; /* records appended a second */
	uint64_t answer_us; /* from a read to its answer */
	uint64_t stall_at_us; /* the next read from then on is slow; 0: none */
	bool reading;
	uint64_t from;
	uint64_t due_us;
	struct rj_cell_store_done done;
	uint64_t taken; /* records passed on */
};

static uint64_t log_end(const struct fake_log *log, uint64_t at_us)
{
	return at_us * log->per_s / S;
}

static void log_newest(struct rj_cell_store *store, enum rj_cell_topic topic,
		       const char *after, struct rj_cell_store_done done)
{
	struct fake_log *log = (struct fake_log *)store;
	struct rj_cell_store_reply reply = { .now_us = log->now_us,
					     .end = log_end(log, log->now_us) };

	done.call(done.private_data, &reply);
}

static void log_read(struct rj_cell_store *store, enum rj_cell_topic topic,
		     uint64_t from, uint32_t wait_ms,
		     struct rj_cell_store_done done)
{
	struct fake_log *log = (struct fake_log *)store;

	g_assert_false(log->reading);
	log->reading = true;
	log->from = from;
	log->due_us = log->now_us + log->answer_us;
	if (log->stall_at_us && log->now_us >= log->stall_at_us) {
		log->due_us += STALL_US;
		log->stall_at_us = 0;
	}
	log->done = done;
}

static const struct rj_cell_store_ops log_ops = { .newest = log_newest,
						  .read = log_read };

/* Answers the read whose time has come. */
static void log_answer(struct fake_log *log)
{
	static struct rj_cell_record records[READ_RECORDS];
	struct rj_cell_store_reply reply = { .now_us = log->now_us,
					     .records = records };

	if (!log->reading || log->now_us < log->due_us)
		return;
	log->reading = false;
	reply.end = log_end(log, log->now_us);
	reply.count = (uint32_t)MIN(reply.end - log->from, READ_RECORDS);
	reply.next = log->from + reply.count;
	for (uint32_t i = 0; i < reply.count; i++) {
		records[i].key = "key";
		records[i].offset = log->from + i;
	}
	log->done.call(log->done.private_data, &reply);
}

static void take_record(void *private_data, const struct rj_cell_record *record)
{
	struct fake_log *log = private_data;

	log->taken++;
}

static void ignore_progress(void *private_data,
			    struct rj_cell_log_reader *reader)
{
}

static const struct rj_cell_log_reader_ops reader_ops = {
	.record = take_record,
	.progress = ignore_progress,
};

/* Reads a log for a time, and returns the longest age from `after_us` on. */
static uint64_t longest_age_us(struct fake_log *log, uint64_t after_us,
			       uint64_t until_us)
{
	struct rj_cell_log_reader reader;
	void *mem = talloc_new(NULL);
	uint64_t longest_us = 0;

	log->store.ops = &log_ops;
	log->now_us = S;
	rj_cell_log_reader_init(&reader, mem, &log->store,
				RJ_CELL_TOPIC_WORKERS, &reader_ops, log);
	reader.wait_ms = 1000;
	rj_cell_log_reader_start(&reader, log->now_us);
	for (; log->now_us < until_us; log->now_us += MS) {
		log_answer(log);
		rj_cell_log_reader_tick(&reader, log->now_us);
		if (log->now_us >= after_us)
			longest_us =
				MAX(longest_us, rj_cell_log_reader_age_us(
							&reader, log->now_us));
	}
	rj_cell_log_reader_stop(&reader);
	talloc_free(mem);
	return longest_us;
}

/* Guards against a log that counts as not read for as long as a reader needs to
 * reach the end again after one slow read, although it is 1.5 s behind. */
static void test_age_is_the_real_lag(void)
{
	struct fake_log log = { .per_s = 3900,
				.answer_us = 100 * MS,
				.stall_at_us = 5 * S };

	g_assert_cmpuint(longest_age_us(&log, 2 * S, 25 * S), <, 3200 * MS);
	g_assert_cmpuint(log.taken, >, 3600 * 24);
}

/* Guards against an age of twice the lag, when a reader that stays behind reads
 * more often than it can keep the ends that it was told. */
static void test_age_follows_a_lasting_lag(void)
{
	struct fake_log log = { .per_s = 13300,
				.answer_us = 30 * MS,
				.stall_at_us = 5 * S };

	/* 0.25 % above the rate: the lag of 1.5 s lasts for minutes. */
	g_assert_cmpuint(longest_age_us(&log, 10 * S, 60 * S), <, 2 * S);
	g_assert_cmpuint(log.taken, >, 13200 * 57);
}

/* Guards against an age that is lower than the lag of a reader that falls
 * behind for good: 4,000 of 8,000 records a second are read. */
static void test_age_grows_with_the_lag(void)
{
	struct fake_log log = { .per_s = 8000, .answer_us = 100 * MS };

	g_assert_cmpuint(longest_age_us(&log, 20 * S, 20 * S + MS), >, 8 * S);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell_log_reader/lag", test_age_is_the_real_lag);
	g_test_add_func("/cell_log_reader/lasting",
			test_age_follows_a_lasting_lag);
	g_test_add_func("/cell_log_reader/behind", test_age_grows_with_the_lag);
	return g_test_run();
}
