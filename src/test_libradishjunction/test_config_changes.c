#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "support/config_stream.h"

/* A stream with revision 1 in force at two readers. */
struct fixture {
	struct config_stream *stream;
	struct rj_error_list errors;
	struct rj_config_log readers[2];
	char *text[8]; /* differ in one limit */
};

static void fixture_init(struct fixture *fixture)
{
	fixture->stream = config_stream_new();
	rj_error_list_init(&fixture->errors, fixture->stream->mem);
	for (uint32_t i = 0; i < 8; i++)
		fixture->text[i] =
			config_stream_text(fixture->stream->mem, 10 + i);
	config_stream_publish(fixture->stream, "first", 0, fixture->text[1]);
	for (int i = 0; i < 2; i++) {
		rj_config_log_init(&fixture->readers[i], fixture->stream->mem);
		config_stream_read(fixture->stream, &fixture->readers[i], 1);
	}
}

static void fixture_finish(struct fixture *fixture)
{
	for (int i = 0; i < 2; i++)
		rj_config_log_finish(&fixture->readers[i]);
	config_stream_free(fixture->stream);
}

/* Asserts that the reader has this publication and text in force. */
static void assert_in_force(const struct fixture *fixture,
			    const struct rj_config_log *log, uint64_t revision,
			    const char *id, const char *text)
{
	g_assert_cmpuint(rj_config_log_revision(log), ==, revision);
	g_assert_cmpstr(log->config->id, ==, id);
	g_assert_cmpstr(
		rj_config_canonical(fixture->stream->mem, log->config->text),
		==, rj_config_canonical(fixture->stream->mem, text));
}

/*
 * Two operators change the same revision, and the winner's append is repeated
 * because its answer was lost. Every reader must have the winner's change alone
 * in force.
 */
static void test_racing_changes(void)
{
	struct fixture fixture;
	struct config_stream *stream;
	struct rj_config_log *log = &fixture.readers[0];

	fixture_init(&fixture);
	stream = fixture.stream;
	config_stream_change(stream, "winner", 1, fixture.text[1],
			     fixture.text[2]);
	config_stream_change(stream, "loser", 1, fixture.text[1],
			     fixture.text[3]);
	config_stream_change(stream, "winner", 1, fixture.text[1],
			     fixture.text[2]);
	g_assert_cmpint(config_stream_read(stream, log, 1), ==,
			RJ_CONFIG_ACCEPTED);
	g_assert_cmpint(config_stream_read(stream, log, 1), ==,
			RJ_CONFIG_STALE);
	g_assert_cmpint(config_stream_read(stream, log, 1), ==,
			RJ_CONFIG_REPEATED);
	assert_in_force(&fixture, log, 2, "winner", fixture.text[2]);
	config_stream_publish(stream, "whole", 1, fixture.text[4]);
	g_assert_cmpint(config_stream_read(stream, log, 1), ==,
			RJ_CONFIG_STALE);
	config_stream_change(stream, "next", 2, fixture.text[2],
			     fixture.text[3]);
	g_assert_cmpint(config_stream_read(stream, log, 1), ==,
			RJ_CONFIG_ACCEPTED);
	assert_in_force(&fixture, log, 3, "next", fixture.text[3]);
	fixture_finish(&fixture);
}

/*
 * A revision alone does not identify its text. The log lost every record, an
 * operator published an older file again, and a change made from the lost text
 * names the same revision: it must be refused.
 */
static void test_change_of_another_base(void)
{
	struct fixture fixture;
	struct config_stream *stream;

	fixture_init(&fixture);
	stream = fixture.stream;
	config_stream_change(stream, "lost", 1, fixture.text[5],
			     fixture.text[6]);
	stream->records[1].config_change.patch =
		"[{\"op\":\"replace\",\"path\":\"/classes/0/expected_ms\","
		"\"value\":7}]";
	for (int i = 0; i < 2; i++) {
		g_assert_cmpint(
			config_stream_read(stream, &fixture.readers[i], 9), ==,
			RJ_CONFIG_BAD_CHANGE);
		assert_in_force(&fixture, &fixture.readers[i], 1, "first",
				fixture.text[1]);
	}
	fixture_finish(&fixture);
}

/*
 * Invalid changes are refused by every reader alike, and the next valid change
 * of the same base is accepted. Invalid: the result is no valid configuration,
 * the patch does not apply, is not a patch, comes with a text, is marked as
 * carried, or is the first record of the log.
 */
static void test_bad_changes_are_refused(void)
{
	struct fixture fixture;
	struct config_stream *stream;
	struct rj_config_log *log = &fixture.readers[0];
	struct rj_config_log empty;
	struct rj_record *record;

	fixture_init(&fixture);
	stream = fixture.stream;
	config_stream_change(stream, "invalid", 1, fixture.text[1],
			     "{\"domains\":[]}");
	g_assert_cmpint(config_stream_read(stream, log, 1), ==,
			RJ_CONFIG_BAD_TEXT);
	config_stream_change(stream, "unfit", 1, "{}", fixture.text[2])
		->config_change.patch =
		"[{\"op\":\"remove\",\"path\":\"/nothing\"}]";
	g_assert_cmpint(config_stream_read(stream, log, 1), ==,
			RJ_CONFIG_BAD_CHANGE);
	config_stream_change(stream, "text", 1, "{}", fixture.text[2])
		->config_change.patch = "{}";
	g_assert_cmpint(config_stream_read(stream, log, 1), ==,
			RJ_CONFIG_BAD_CHANGE);
	config_stream_change(stream, "both", 1, fixture.text[1],
			     fixture.text[2])
		->config_text = fixture.text[2];
	g_assert_cmpint(config_stream_read(stream, log, 1), ==,
			RJ_CONFIG_MALFORMED);
	record = config_stream_change(stream, "carried", 1, fixture.text[1],
				      fixture.text[2]);
	record->carried = true;
	record->as_of = 1;
	g_assert_cmpint(config_stream_read(stream, log, 1), ==,
			RJ_CONFIG_MALFORMED);
	assert_in_force(&fixture, log, 1, "first", fixture.text[1]);
	config_stream_change(stream, "good", 1, fixture.text[1],
			     fixture.text[2]);
	g_assert_cmpint(config_stream_read(stream, log, 1), ==,
			RJ_CONFIG_ACCEPTED);
	assert_in_force(&fixture, log, 2, "good", fixture.text[2]);

	rj_config_log_init(&empty, NULL);
	stream->records[0] = stream->records[stream->head - 1];
	stream->records[0].offset = 0;
	stream->records[0].base_revision = 0;
	stream->records[0].revision = 1;
	g_assert_cmpint(config_stream_read(stream, &empty, 1), ==,
			RJ_CONFIG_BAD_CHANGE);
	g_assert_null(empty.config);
	rj_config_log_finish(&empty);
	fixture_finish(&fixture);
}

/* Sends `to` the configuration in force at `from`, as a change or whole. */
static bool offer(struct fixture *fixture, const struct rj_config_log *from,
		  struct rj_config_log *to, bool change)
{
	if (change)
		return rj_config_log_adopt_change(
			to, from->config->revision, from->config->id,
			&from->change, from->as_of, &fixture->errors);
	return rj_config_log_adopt(to, from->config->revision, from->config->id,
				   from->config->text, from->as_of,
				   &fixture->errors);
}

/*
 * A change must be applied to its own base only. An instance without access to
 * the log gets the second of two changes from its peer; the link lost the
 * first. The second may not be applied to what is in force.
 */
static void test_change_arrives_before_its_base(void)
{
	struct fixture fixture;
	struct rj_config_log *peer = &fixture.readers[0];
	struct rj_config_log *cut_off = &fixture.readers[1];

	fixture_init(&fixture);
	config_stream_change(fixture.stream, "second", 1, fixture.text[1],
			     fixture.text[2]);
	config_stream_change(fixture.stream, "third", 2, fixture.text[2],
			     "{\"accounts\":[]}");
	/* It applies to revision 1 too, with a matching digest. */
	fixture.stream->records[2].config_change =
		fixture.stream->records[1].config_change;
	config_stream_read(fixture.stream, peer, 1);
	peer->config->revision = 3;
	g_assert_false(offer(&fixture, peer, cut_off, true));
	assert_in_force(&fixture, cut_off, 1, "first", fixture.text[1]);
	peer->config->revision = 2;
	/* The next heartbeat shows that the reader is behind. */
	g_assert_true(offer(&fixture, peer, cut_off, false));
	assert_in_force(&fixture, cut_off, 2, "second", fixture.text[2]);
	fixture_finish(&fixture);
}

/*
 * A peer with an outdated view offers a change to a revision that the reader
 * has left: nothing may revert. A change that fits is put in force at once and
 * can be forwarded in turn.
 */
static void test_peers_forward_changes(void)
{
	struct fixture fixture;
	struct rj_config_log *peer = &fixture.readers[0];
	struct rj_config_log *cut_off = &fixture.readers[1];
	struct rj_config_log third;

	fixture_init(&fixture);
	rj_config_log_init(&third, NULL);
	g_assert_true(offer(&fixture, peer, &third, false));
	config_stream_change(fixture.stream, "second", 1, fixture.text[1],
			     fixture.text[2]);
	config_stream_read(fixture.stream, peer, 1);
	g_assert_true(offer(&fixture, peer, cut_off, true));
	assert_in_force(&fixture, cut_off, 2, "second", fixture.text[2]);
	g_assert_true(offer(&fixture, cut_off, &third, true));
	assert_in_force(&fixture, &third, 2, "second", fixture.text[2]);
	g_assert_false(offer(&fixture, peer, cut_off, true));

	config_stream_change(fixture.stream, "third", 2, fixture.text[2],
			     fixture.text[3]);
	config_stream_read(fixture.stream, &third, 1);
	assert_in_force(&fixture, &third, 3, "third", fixture.text[3]);
	g_assert_false(offer(&fixture, peer, &third, true));
	assert_in_force(&fixture, &third, 3, "third", fixture.text[3]);
	/* A whole publication leaves no change to forward. */
	config_stream_publish(fixture.stream, "whole", 3, fixture.text[4]);
	config_stream_read(fixture.stream, &third, 1);
	g_assert_null(third.change.patch);
	rj_config_log_finish(&third);
	fixture_finish(&fixture);
}

/*
 * A new instance starts after retention dropped the base of a change. It must
 * not judge any publication until a carried configuration gives a starting
 * point, and then applies the later changes; refused ones stay refused.
 */
static void test_base_dropped_by_retention(void)
{
	struct fixture fixture;
	struct config_stream *stream;
	struct rj_config_log new;

	fixture_init(&fixture);
	stream = fixture.stream;
	rj_config_log_init(&new, NULL);
	config_stream_change(stream, "second", 1, fixture.text[1],
			     fixture.text[2]);
	config_stream_change(stream, "third", 2, fixture.text[2],
			     fixture.text[3]);
	config_stream_change(stream, "loser", 2, fixture.text[2],
			     fixture.text[4]);
	config_stream_read(stream, &fixture.readers[0], 2);
	config_stream_carry(stream, &fixture.readers[0]); /* as of "loser" */
	config_stream_change(stream, "fourth", 3, fixture.text[3],
			     fixture.text[5]);
	stream->oldest = 2;
	g_assert_cmpint(config_stream_read(stream, &new, 1), ==,
			RJ_CONFIG_UNDECIDED);
	g_assert_cmpint(config_stream_read(stream, &new, 1), ==,
			RJ_CONFIG_UNDECIDED);
	config_stream_read(stream, &new, 99);
	config_stream_read(stream, &fixture.readers[0], 99);
	assert_in_force(&fixture, &new, 4, "fourth", fixture.text[5]);
	assert_in_force(&fixture, &fixture.readers[0], 4, "fourth",
			fixture.text[5]);
	rj_config_log_finish(&new);
	fixture_finish(&fixture);
}

/*
 * Publishes changes in sequence, optionally carrying the configuration when
 * due.
 */
static void publish_many(struct fixture *fixture, uint32_t count, bool carried)
{
	struct rj_config_log *log = &fixture->readers[0];

	for (uint32_t i = 0; i < count; i++) {
		char id[RJ_CONFIG_ID_BYTES];

		snprintf(id, sizeof(id), "p%u", i);
		config_stream_change(
			fixture->stream, id, rj_config_log_revision(log),
			log->config->text,
			fixture->text[rj_config_log_revision(log) % 8]);
		config_stream_read(fixture->stream, log, 1);
		if (carried && rj_config_log_carry_due(log, 0, UINT64_MAX)) {
			config_stream_carry(fixture->stream, log);
			config_stream_read(fixture->stream, log, 1);
		}
	}
}

/*
 * A starting instance must not apply a week of changes, which takes minutes,
 * when a configuration that was carried an hour ago is in the log.
 */
static void test_new_reader_starts_near_the_end(void)
{
	struct fixture fixture;
	struct rj_config_log new;
	uint32_t read = 0;

	fixture_init(&fixture);
	rj_config_log_init(&new, NULL);
	for (int i = 0; i < 35; i++) {
		publish_many(&fixture, 100, true);
		config_stream_publish(fixture.stream, "stale", 0,
				      fixture.text[0]);
		config_stream_read(fixture.stream, &fixture.readers[0], 1);
	}
	while (new.next < fixture.stream->head && read < CONFIG_STREAM_MAX) {
		config_stream_read(fixture.stream, &new, 1);
		g_assert_true(!new.config || new.config->revision > 1);
		read++;
	}
	/*
	 * It reads the newest records and goes back to the start of the carried
	 * one.
	 */
	g_assert_cmpuint(read, <, 2 * RJ_CONFIG_CARRY_RECORDS + 100);
	assert_in_force(&fixture, &new, 3501, "p99",
			fixture.readers[0].config->text);
	rj_config_log_finish(&new);
	fixture_finish(&fixture);
}

/*
 * A starting instance goes to the newest records first. If no configuration was
 * carried there, it must go back instead of never becoming ready.
 */
static void test_new_reader_without_a_carried_configuration(void)
{
	struct fixture fixture;
	struct rj_config_log new;

	fixture_init(&fixture);
	rj_config_log_init(&new, NULL);
	publish_many(&fixture, 3000, false);
	config_stream_read(fixture.stream, &new, CONFIG_STREAM_MAX);
	g_assert_null(new.config);
	config_stream_read(fixture.stream, &new, CONFIG_STREAM_MAX);
	assert_in_force(&fixture, &new, 3001, "p2999",
			fixture.readers[0].config->text);
	rj_config_log_finish(&new);
	fixture_finish(&fixture);
}

/* Reference implementation of a reader; applies whole configurations only. */
struct reference_reader {
	uint64_t revision;
	char id[RJ_CONFIG_ID_BYTES];
	const char *text;
};

/*
 * Returns whether the reference accepts the record with its whole text, and
 * applies it.
 */
static bool reference_accepts(struct reference_reader *reference,
			      const struct rj_record *record, const char *whole)
{
	struct rj_config *config;
	struct rj_error_list errors;

	if (record->kind != RJ_RECORD_CONFIG || record->carried ||
	    record->base_revision != reference->revision ||
	    !strcmp(record->config_id, reference->id))
		return false;
	rj_error_list_init(&errors, NULL);
	config = rj_config_parse(NULL, whole, &errors);
	rj_error_list_finish(&errors);
	if (!config)
		return false;
	rj_config_unref(config);
	reference->revision++;
	memcpy(reference->id, record->config_id, sizeof(reference->id));
	reference->text = whole;
	return true;
}

#define READERS 4
#define RECORDS 200
#define SEEDS 300

/* One history: accepted configurations by revision, and the readers' states. */
struct history {
	struct config_stream *stream;
	struct rj_error_list errors;
	uint64_t random;
	struct reference_reader reference;
	char ids[RECORDS + 2][RJ_CONFIG_ID_BYTES];
	char *texts[RECORDS + 2];
	struct rj_config_log readers[READERS];
	uint64_t newest_revision[READERS];
	struct {
		uint64_t revision;
		uint64_t as_of;
		char id[RJ_CONFIG_ID_BYTES];
		char *text;
		struct rj_config_change change;
	} offer; /* in flight between peers */
	uint32_t changes_accepted;
	uint32_t changes_adopted;
};

static uint64_t chance(struct history *history, uint64_t count)
{
	return rj_random64(&history->random) % count;
}

/* Publishes from the configuration in force at one reader. */
static void history_publish(struct history *history,
			    const struct rj_config_log *log)
{
	struct config_stream *stream = history->stream;
	uint64_t base = rj_config_log_revision(log);
	const char *text = config_stream_text(
		stream->mem, 1 + (uint32_t)chance(history, 50));
	char id[RJ_CONFIG_ID_BYTES];
	struct rj_record *record;
	const char *whole = text;

	snprintf(id, sizeof(id), "p%u", (uint32_t)stream->head);
	if (!log->config || chance(history, 4) == 0) {
		if (chance(history, 8) == 0)
			whole = "{}";
		record = config_stream_publish(stream, id, base, whole);
	} else {
		if (chance(history, 12) == 0)
			text = whole = "{\"domains\":[],\"accounts\":[]}";
		record = config_stream_change(stream, id, base,
					      log->config->text, text);
		if (chance(history, 10) == 0) {
			record->config_change.digest[3] ^= 1;
			whole = "";
		} else if (chance(history, 10) == 0) {
			record->config_change.patch = "[{\"op\":\"remove\","
						      "\"path\":\"/none\"}]";
			whole = "";
		}
	}
	if (reference_accepts(&history->reference, record, whole)) {
		memcpy(history->ids[history->reference.revision], id,
		       sizeof(id));
		history->texts[history->reference.revision] =
			rj_config_canonical(stream->mem, whole);
		history->changes_accepted += record->config_text == NULL;
	}
	if (chance(history, 6) == 0) { /* repeated: its answer was lost */
		struct rj_record *again = config_stream_append(stream);
		uint64_t offset = again->offset;

		*again = *record;
		again->offset = offset;
		(void)reference_accepts(&history->reference, again, whole);
	}
}

/* Sends an offer, as a change or as a whole. */
static void history_offer(struct history *history,
			  const struct rj_config_log *from)
{
	void *mem = history->stream->mem;
	bool change = from->change.patch && chance(history, 3);

	history->offer.revision = from->config->revision;
	history->offer.as_of = from->as_of;
	memcpy(history->offer.id, from->config->id, RJ_CONFIG_ID_BYTES);
	history->offer.text = talloc_strdup(mem, from->config->text);
	history->offer.change = from->change;
	history->offer.change.patch =
		change ? talloc_strdup(mem, from->change.patch) : NULL;
}

/* Delivers the offer, possibly late or to another reader. */
static void history_adopt(struct history *history, struct rj_config_log *to)
{
	if (!history->offer.revision)
		return;
	if (!history->offer.change.patch)
		rj_config_log_adopt(to, history->offer.revision,
				    history->offer.id, history->offer.text,
				    history->offer.as_of, &history->errors);
	else if (rj_config_log_adopt_change(
			 to, history->offer.revision, history->offer.id,
			 &history->offer.change, history->offer.as_of,
			 &history->errors))
		history->changes_adopted++;
}

/* A reader must have the reference's configuration of its revision. */
static void history_check(struct history *history, uint32_t reader)
{
	struct rj_config_log *log = &history->readers[reader];
	uint64_t revision = rj_config_log_revision(log);

	g_assert_cmpuint(revision, >=, history->newest_revision[reader]);
	history->newest_revision[reader] = revision;
	if (!revision)
		return;
	g_assert_cmpstr(log->config->id, ==, history->ids[revision]);
	g_assert_cmpstr(
		rj_config_canonical(history->stream->mem, log->config->text),
		==, history->texts[revision]);
}

/* Runs one step of a random reader: publish or carry, read, offer, adopt. */
static void history_step(struct history *history)
{
	struct config_stream *stream = history->stream;
	uint32_t reader = (uint32_t)chance(history, READERS);
	struct rj_config_log *log = &history->readers[reader];

	if (chance(history, 2))
		history_publish(history, log);
	else if (log->config && !log->gap)
		config_stream_carry(stream, log);
	if (stream->head > stream->oldest + 24)
		stream->oldest += 3;
	if (chance(history, 32) == 0) {
		rj_config_log_finish(log); /* replaced */
		rj_config_log_init(log, NULL);
		history->newest_revision[reader] = 0;
	}
	if (chance(history, 4))
		config_stream_read(stream, log, (uint32_t)chance(history, 16));
	if (log->config && chance(history, 3) == 0)
		history_offer(history, log);
	if (chance(history, 3) == 0) {
		reader = (uint32_t)chance(history, READERS);
		history_adopt(history, &history->readers[reader]);
	}
	for (reader = 0; reader < READERS; reader++)
		history_check(history, reader);
}

/*
 * Random histories: operators publish valid and invalid changes and whole
 * configurations from old and new revisions, some twice; instances carry
 * configurations, are replaced and offer changes late; retention drops records.
 * At each revision every reader must have the configuration of a reference
 * reader that gets all publications as whole texts.
 */
static void test_matches_the_reference_reader(void)
{
	uint32_t accepted = 0;
	uint32_t adopted = 0;

	for (uint64_t seed = 0; seed < SEEDS; seed++) {
		struct history *history = g_new0(struct history, 1);

		history->random = seed;
		history->stream = config_stream_new();
		rj_error_list_init(&history->errors, history->stream->mem);
		for (uint32_t i = 0; i < READERS; i++)
			rj_config_log_init(&history->readers[i], NULL);
		while (history->stream->head < RECORDS)
			history_step(history);
		accepted += history->changes_accepted;
		adopted += history->changes_adopted;
		for (uint32_t i = 0; i < READERS; i++)
			rj_config_log_finish(&history->readers[i]);
		config_stream_free(history->stream);
		g_free(history);
	}
	g_test_message("%u changes accepted, %u adopted", accepted, adopted);
	g_assert_cmpuint(accepted, >, 10 * SEEDS);
	g_assert_cmpuint(adopted, >, SEEDS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config-changes/race", test_racing_changes);
	g_test_add_func("/config-changes/base", test_change_of_another_base);
	g_test_add_func("/config-changes/bad", test_bad_changes_are_refused);
	g_test_add_func("/config-changes/early",
			test_change_arrives_before_its_base);
	g_test_add_func("/config-changes/peers", test_peers_forward_changes);
	g_test_add_func("/config-changes/retention",
			test_base_dropped_by_retention);
	g_test_add_func("/config-changes/start",
			test_new_reader_starts_near_the_end);
	g_test_add_func("/config-changes/back",
			test_new_reader_without_a_carried_configuration);
	g_test_add_func("/config-changes/differential",
			test_matches_the_reference_reader);
	return g_test_run();
}
