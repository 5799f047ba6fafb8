#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "list_history.h"
#include "private/instance_list.h"

#define NAMES 12
#define SEEDS 200
#define STEPS 200

/* The platform's list, and an instance's copy of it. */
struct fixture {
	void *mem;
	struct rj_instance lines[NAMES];
	uint32_t count;
	struct rj_standin_history history;
	struct rj_instance_list list;
	uint64_t random;
};

static struct fixture *fixture_new(uint64_t seed)
{
	struct fixture *fixture = g_new0(struct fixture, 1);

	fixture->mem = talloc_new(NULL);
	fixture->random = seed;
	rj_instance_list_init(&fixture->list, fixture->mem);
	return fixture;
}

static void fixture_free(struct fixture *fixture)
{
	talloc_free(fixture->mem);
	g_free(fixture);
}

static uint64_t version(const struct fixture *fixture)
{
	return rj_instances_version(fixture->lines, fixture->count);
}

/* Adds a worker to the platform's list, or changes its entry. */
static void list_put(struct fixture *fixture, const char *name,
		     uint64_t incarnation)
{
	uint32_t at = 0;

	rj_standin_history_record(&fixture->history, version(fixture), name);
	while (at < fixture->count &&
	       strcmp(fixture->lines[at].name, name) != 0)
		at++;
	fixture->count += at == fixture->count;
	memset(&fixture->lines[at], 0, sizeof(fixture->lines[at]));
	fixture->lines[at].role = RJ_ROLE_WORKER;
	g_strlcpy(fixture->lines[at].name, name, RJ_NAME_BYTES);
	g_strlcpy(fixture->lines[at].domain, "d", RJ_NAME_BYTES);
	g_strlcpy(fixture->lines[at].address.ip, "127.0.0.1", RJ_IP_BYTES);
	fixture->lines[at].address.port = 1024;
	fixture->lines[at].incarnation = incarnation;
}

/* Removes one entry from the platform's list. */
static void list_remove(struct fixture *fixture, const char *name)
{
	rj_standin_history_record(&fixture->history, version(fixture), name);
	for (uint32_t i = 0; i < fixture->count; i++)
		if (!strcmp(fixture->lines[i].name, name))
			fixture->lines[i] = fixture->lines[--fixture->count];
}

/* Returns the platform's answer to a reader that knows version `known`. */
static char *answer_query(struct fixture *fixture, uint64_t known)
{
	struct rj_instances_answer answer;

	if (known == version(fixture) ||
	    !rj_standin_history_since(&fixture->history, fixture->mem, known,
				      fixture->lines, fixture->count, &answer))
		return rj_instances_encode(fixture->mem, fixture->lines,
					   fixture->count, known);
	return rj_instances_encode_changes(fixture->mem, &answer);
}

/* Applies an answer to the copy; returns whether anything changed. */
static bool apply_answer(struct fixture *fixture, const char *text)
{
	struct rj_instances_answer answer;

	g_assert_cmpint(rj_instances_decode(fixture->mem, text, &answer, NULL),
			==, 0);
	return rj_instance_list_apply(&fixture->list, &answer);
}

/* Asserts that the copy has the names and entries of the platform's list. */
static void assert_lists_equal(const struct fixture *fixture)
{
	g_assert_cmpuint(fixture->list.count, ==, fixture->count);
	for (uint32_t i = 0; i < fixture->count; i++) {
		bool found = false;

		for (uint32_t j = 0; j < fixture->count; j++)
			found |= !strcmp(fixture->list.lines[j].name,
					 fixture->lines[i].name) &&
				 fixture->list.lines[j].incarnation ==
					 fixture->lines[i].incarnation;
		g_assert_true(found);
	}
}

static void test_whole_then_changes(void)
{
	struct fixture *fixture = fixture_new(0);
	char *text;

	list_put(fixture, "a", 1);
	list_put(fixture, "b", 1);
	g_assert_true(apply_answer(fixture, answer_query(fixture, 0)));
	assert_lists_equal(fixture);
	g_assert_false(apply_answer(
		fixture, answer_query(fixture, fixture->list.version)));
	list_put(fixture, "b", 2);
	list_put(fixture, "c", 1);
	list_remove(fixture, "a");
	text = answer_query(fixture, fixture->list.version);
	g_assert_nonnull(strstr(text, "\"since\""));
	g_assert_true(apply_answer(fixture, text));
	assert_lists_equal(fixture);
	g_assert_cmpuint(fixture->list.version, ==, version(fixture));
	/* A platform without versions sends the whole list each time. */
	g_assert_true(apply_answer(fixture, "{\"instances\":[]}"));
	g_assert_cmpuint(fixture->list.count, ==, 0);
	g_assert_cmpuint(fixture->list.version, ==, 0);
	fixture_free(fixture);
}

/*
 * An answer that is older than the copy must be ignored. The list is requested
 * twice and the first answer arrives last; its outdated entry would replace a
 * newer one that no later answer repeats, and a worker would be called at an
 * address that now belongs to another.
 */
static void test_late_answer_is_ignored(void)
{
	struct fixture *fixture = fixture_new(0);
	char *late;

	list_put(fixture, "a", 1);
	apply_answer(fixture, answer_query(fixture, 0));
	list_put(fixture, "a", 2);
	late = answer_query(fixture, fixture->list.version);
	list_put(fixture, "a", 3);
	g_assert_true(apply_answer(
		fixture, answer_query(fixture, fixture->list.version)));
	g_assert_false(apply_answer(fixture, late));
	assert_lists_equal(fixture);
	fixture_free(fixture);
}

/*
 * A copy whose length differs from the platform's list must be requested whole.
 * If the platform fails to report the removal of an instance once, it would
 * stay in the copy forever.
 */
static void test_list_of_another_length_is_asked_for_whole(void)
{
	struct fixture *fixture = fixture_new(0);
	struct rj_instances_answer answer;

	list_put(fixture, "a", 1);
	list_put(fixture, "b", 1);
	apply_answer(fixture, answer_query(fixture, 0));
	list_remove(fixture, "a");
	list_put(fixture, "b", 2);
	g_assert_true(rj_standin_history_since(
		&fixture->history, fixture->mem, fixture->list.version,
		fixture->lines, fixture->count, &answer));
	answer.gone_count = 0;
	g_assert_false(apply_answer(
		fixture, rj_instances_encode_changes(fixture->mem, &answer)));
	g_assert_cmpuint(fixture->list.version, ==, 0);
	g_assert_true(apply_answer(
		fixture, answer_query(fixture, fixture->list.version)));
	assert_lists_equal(fixture);
	fixture_free(fixture);
}

/*
 * A reader with a version that the platform no longer has, or never had, gets
 * the whole list.
 */
static void test_forgotten_version(void)
{
	struct fixture *fixture = fixture_new(0);

	list_put(fixture, "a", 1);
	apply_answer(fixture, answer_query(fixture, 0));
	for (uint32_t i = 0; i < RJ_STANDIN_HISTORY_MAX + 1; i++)
		list_put(fixture, "a", 2 + i);
	g_assert_null(strstr(answer_query(fixture, fixture->list.version),
			     "\"since\""));
	g_assert_null(strstr(answer_query(fixture, 7), "\"since\""));
	apply_answer(fixture, answer_query(fixture, fixture->list.version));
	assert_lists_equal(fixture);
	fixture_free(fixture);
}

/*
 * Entries are added, changed and removed; answers are lost or arrive late. A
 * reader that applied a current answer must have the current list.
 */
static void one_random_history(uint64_t seed)
{
	struct fixture *fixture = fixture_new(seed);
	char *late = NULL;

	list_put(fixture, "stays", 1);
	for (uint32_t step = 1; step < STEPS; step++) {
		char name[] = "a";

		name[0] = (char)('a' +
				 rj_random64(&fixture->random) % (NAMES - 1));
		if (rj_random64(&fixture->random) % 3)
			list_put(fixture, name, step);
		else
			list_remove(fixture, name);
		if (rj_random64(&fixture->random) % 4 == 0)
			late = answer_query(fixture, fixture->list.version);
		if (late && rj_random64(&fixture->random) % 4 == 0)
			apply_answer(fixture, late);
		if (rj_random64(&fixture->random) % 3)
			continue;
		late = NULL; /* a current answer comes last */
		apply_answer(fixture,
			     answer_query(fixture, fixture->list.version));
		assert_lists_equal(fixture);
	}
	fixture_free(fixture);
}

static void test_random_histories(void)
{
	for (uint64_t seed = 0; seed < SEEDS; seed++)
		one_random_history(seed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/instance-list/changes", test_whole_then_changes);
	g_test_add_func("/instance-list/late", test_late_answer_is_ignored);
	g_test_add_func("/instance-list/length",
			test_list_of_another_length_is_asked_for_whole);
	g_test_add_func("/instance-list/forgotten", test_forgotten_version);
	g_test_add_func("/instance-list/random", test_random_histories);
	return g_test_run();
}
